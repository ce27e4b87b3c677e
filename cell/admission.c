/*
 * Limits the rate at which each team submits jobs, and remembers the calls that
 * were refused.
 *
 * A refusal is final.  A repeat of the refused call may still arrive; accepting
 * it would run a job whose caller was told that it never runs.
 *
 * Rates are limited by token buckets, one per team.  A full bucket allows the
 * jobs of one second or more at once.
 */

#include <glib.h>

#include "admission.h"

/* No repeat of a refused call arrives later than this. */
#define REFUSAL_RETENTION (10 * OGL_SEC)

struct bucket {
	double tokens; /* jobs that the team may submit at once */
	ogl_time filled_at;
};

struct cell_admission {
	GHashTable *refused; /* "node token" -> ogl_time of the refusal */
	GHashTable *buckets; /* team -> struct bucket */
};

struct cell_admission *
cell_admission_init(void)
{
	struct cell_admission *a = g_new0(struct cell_admission, 1);

	a->refused =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	a->buckets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return a;
}

void
cell_admission_end(struct cell_admission *a)
{
	g_hash_table_unref(a->refused);
	g_hash_table_unref(a->buckets);
	g_free(a);
}

static struct bucket *
find_or_add_bucket(
    struct cell_admission *a, const char *team, double burst, ogl_time now)
{
	struct bucket *b = g_hash_table_lookup(a->buckets, team);

	if (b != NULL)
		return b;
	b = g_new0(struct bucket, 1);
	b->tokens = burst;
	b->filled_at = now;
	g_hash_table_insert(a->buckets, g_strdup(team), b);
	return b;
}

bool
cell_admission_within_rate(struct cell_admission *a, const char *team,
    double rate, double burst, ogl_time now)
{
	struct bucket *b;

	if (rate <= 0)
		return true;
	b = find_or_add_bucket(a, team, burst, now);
	b->tokens += rate * (double)(now - b->filled_at) / OGL_SEC;
	b->tokens = MIN(b->tokens, burst);
	b->filled_at = now;
	if (b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}

static char *
call_key(const char *node, uint64_t token)
{
	return g_strdup_printf("%s %" G_GUINT64_FORMAT, node, token);
}

void
cell_admission_refuse(
    struct cell_admission *a, const char *node, uint64_t token, ogl_time now)
{
	ogl_time *at = g_new(ogl_time, 1);

	*at = now;
	g_hash_table_replace(a->refused, call_key(node, token), at);
}

bool
cell_admission_was_refused(
    const struct cell_admission *a, const char *node, uint64_t token)
{
	char *key = call_key(node, token);
	bool refused = g_hash_table_contains(a->refused, key);

	g_free(key);
	return refused;
}

static gboolean
refusal_is_old(gpointer key, gpointer value, gpointer ctx)
{
	const ogl_time *at = value;
	const ogl_time *now = ctx;

	(void)key;
	return *now - *at > REFUSAL_RETENTION;
}

void
cell_admission_sweep(struct cell_admission *a, ogl_time now)
{
	g_hash_table_foreach_remove(a->refused, refusal_is_old, &now);
}
