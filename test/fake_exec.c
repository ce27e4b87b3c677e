/*
 * A fake executor of short requests, without I/O.
 *
 * An accepted request holds a slot until its finish time.  The executor keeps
 * the finish times of running requests and removes those that have passed
 * whenever it counts the slots in use.
 */

#include <string.h>

#include "fake_exec.h"
#include "fake_text.h"

struct fake_exec {
	struct fake_exec_script script;
	char *name;
	uint32_t slots;
	GArray *running;    /* of ogl_time: when each used slot becomes free */
	GHashTable *counts; /* body (GBytes) -> number of runs */
	void (*hook)(void *ctx, const struct fake_exec_event *ev);
	void *hook_ctx;
};

struct fake_exec *
fake_exec_init(const char *name, uint32_t slots)
{
	struct fake_exec *e = g_new0(struct fake_exec, 1);

	e->name = g_strdup(name);
	e->slots = slots;
	e->running = g_array_new(FALSE, FALSE, sizeof(ogl_time));
	e->counts = g_hash_table_new_full(
	    g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref, NULL);
	return e;
}

void
fake_exec_end(struct fake_exec *e)
{
	if (e == NULL)
		return;
	g_hash_table_destroy(e->counts);
	g_array_free(e->running, TRUE);
	g_free(e->name);
	g_free(e);
}

struct fake_exec_script *
fake_exec_script(struct fake_exec *e)
{
	return &e->script;
}

void
fake_exec_hook(struct fake_exec *e,
    void (*hook)(void *ctx, const struct fake_exec_event *ev), void *ctx)
{
	e->hook = hook;
	e->hook_ctx = ctx;
}

uint32_t
fake_exec_busy_slots(struct fake_exec *e, ogl_time now)
{
	for (guint i = e->running->len; i-- > 0;) {
		if (g_array_index(e->running, ogl_time, i) <= now)
			g_array_remove_index_fast(e->running, i);
	}
	return e->running->len;
}

static void
count_run(struct fake_exec *e, struct ogl_str body)
{
	GBytes *key = g_bytes_new(body.p, body.n);
	gpointer runs = g_hash_table_lookup(e->counts, key);

	g_hash_table_replace(
	    e->counts, key, GSIZE_TO_POINTER(GPOINTER_TO_SIZE(runs) + 1));
}

static bool
consume_one(uint32_t *left)
{
	if (*left == 0)
		return false;
	(*left)--;
	return true;
}

static void
refuse(struct fake_exec_answer *a, const char *why, ogl_time now)
{
	a->status = 503;
	a->finish_at = now;
	a->answer_at = now;
	a->body = g_strdup(why);
	a->n = strlen(why);
	a->sent_bytes = a->n;
}

static void
echo(struct fake_exec_answer *a, struct ogl_str body, const char *team,
    const char *kind)
{
	GString *s = g_string_new(NULL);

	g_string_append_printf(s, "%s|%s|", team, kind);
	if (body.n > 0)
		g_string_append_len(s, body.p, (gssize)body.n);
	a->n = s->len;
	a->sent_bytes = s->len;
	a->body = g_string_free(s, FALSE);
}

void
fake_exec_run(struct fake_exec *e, struct ogl_str body, const char *team,
    const char *kind, uint64_t token, ogl_time now, struct fake_exec_answer *a)
{
	struct fake_exec_script *c = &e->script;
	uint64_t run_ms = FAKE_EXEC_DEFAULT_RUN_MS;

	memset(a, 0, sizeof(*a));
	a->token = token;
	if (c->leaving) {
		refuse(a, "leaving", now);
		return;
	}
	if (fake_exec_busy_slots(e, now) >= e->slots) {
		refuse(a, "no free slot", now);
		return;
	}
	fake_text_number(body, "run_ms=", &run_ms);
	a->accepted = true;
	a->status = c->fail_all ? 500 : 200;
	a->finish_at = now + (ogl_time)run_ms * OGL_MS;
	a->answer_at = a->finish_at + c->answer_delay;
	g_array_append_val(e->running, a->finish_at);
	count_run(e, body);
	echo(a, body, team, kind);
	a->lost = consume_one(&c->lose_answers);
	if (!a->lost && consume_one(&c->truncate_answers))
		a->sent_bytes = a->n / 2;
	if (!a->lost && consume_one(&c->wrong_tokens))
		a->token = token + 1;
	if (e->hook != NULL) {
		struct fake_exec_event ev = {
		    e->name, body, team, kind, now, a->finish_at};

		e->hook(e->hook_ctx, &ev);
	}
}

void
fake_exec_answer_clear(struct fake_exec_answer *a)
{
	g_free(a->body);
	memset(a, 0, sizeof(*a));
}

uint64_t
fake_exec_run_count(const struct fake_exec *e, struct ogl_str body)
{
	GBytes *key = g_bytes_new(body.p, body.n);
	uint64_t n = GPOINTER_TO_SIZE(g_hash_table_lookup(e->counts, key));

	g_bytes_unref(key);
	return n;
}

void
fake_exec_each_run_count(const struct fake_exec *e,
    void (*fn)(void *ctx, struct ogl_str body, uint64_t runs), void *ctx)
{
	GHashTableIter it;
	gpointer key;
	gpointer runs;

	g_hash_table_iter_init(&it, e->counts);
	while (g_hash_table_iter_next(&it, &key, &runs)) {
		struct ogl_str body;

		body.p = g_bytes_get_data(key, &body.n);
		fn(ctx, body, GPOINTER_TO_SIZE(runs));
	}
}
