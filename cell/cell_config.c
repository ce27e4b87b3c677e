/*
 * Holds a configuration and looks up its entries.
 *
 * A path is routed by a linear search over the queues for the longest prefix.
 * Queues and teams are looked up by name, and teams by key, in hash tables.
 */

#include <string.h>

#include "cell_config.h"

struct cell_config {
	uint64_t version;
	unsigned refs;
	GPtrArray *queues;
	GPtrArray *services;
	GPtrArray *teams;
	GHashTable *keys; /* key -> struct cell_team, borrowed */
	/* Name -> entry, both borrowed.  Created by the first lookup, because
	 * the builder adds an entry before it sets the entry's name. */
	GHashTable *queue_names;
	GHashTable *team_names;
};

static void
queue_free(void *p)
{
	struct cell_queue *q = p;

	g_free(q->name);
	g_free(q->host);
	g_free(q->prefix);
	g_free(q->service);
	g_free(q);
}

static void
team_free(void *p)
{
	struct cell_team *t = p;

	g_free(t->name);
	g_free(t);
}

static void
service_free(void *p)
{
	struct cell_service *s = p;

	g_free(s->name);
	g_free(s);
}

struct cell_config *
cell_config_new(uint64_t version)
{
	struct cell_config *c = g_new0(struct cell_config, 1);

	c->version = version;
	c->refs = 1;
	c->queues = g_ptr_array_new_with_free_func(queue_free);
	c->services = g_ptr_array_new_with_free_func(service_free);
	c->teams = g_ptr_array_new_with_free_func(team_free);
	c->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return c;
}

struct cell_config *
cell_config_ref(struct cell_config *c)
{
	c->refs++;
	return c;
}

void
cell_config_unref(struct cell_config *c)
{
	if (c == NULL || --c->refs > 0)
		return;
	g_clear_pointer(&c->queue_names, g_hash_table_unref);
	g_clear_pointer(&c->team_names, g_hash_table_unref);
	g_hash_table_unref(c->keys);
	g_ptr_array_unref(c->queues);
	g_ptr_array_unref(c->services);
	g_ptr_array_unref(c->teams);
	g_free(c);
}

uint64_t
cell_config_version(const struct cell_config *c)
{
	return c->version;
}

struct cell_queue *
cell_config_add_queue(struct cell_config *c)
{
	struct cell_queue *q = g_new0(struct cell_queue, 1);

	g_clear_pointer(&c->queue_names, g_hash_table_unref);
	g_ptr_array_add(c->queues, q);
	return q;
}

struct cell_team *
cell_config_add_team(struct cell_config *c)
{
	struct cell_team *t = g_new0(struct cell_team, 1);

	g_clear_pointer(&c->team_names, g_hash_table_unref);
	g_ptr_array_add(c->teams, t);
	return t;
}

struct cell_service *
cell_config_add_service(struct cell_config *c)
{
	struct cell_service *s = g_new0(struct cell_service, 1);

	g_ptr_array_add(c->services, s);
	return s;
}

void
cell_config_add_key(
    struct cell_config *c, const char *key, const struct cell_team *team)
{
	g_hash_table_insert(
	    c->keys, g_strdup(key), (struct cell_team *)(uintptr_t)team);
}

/* A Host header may carry a port. */
static bool
same_host(struct ogl_str host, const char *want)
{
	const char *colon = memchr(host.p, ':', host.n);
	size_t n = colon != NULL ? (size_t)(colon - host.p) : host.n;

	return n == strlen(want) && g_ascii_strncasecmp(host.p, want, n) == 0;
}

const struct cell_queue *
cell_config_route(const struct cell_config *c, struct ogl_str host,
    struct ogl_str path, struct ogl_str *rest)
{
	const struct cell_queue *best = NULL;
	size_t best_len = 0;
	guint i;

	if (host.n == 0)
		return NULL;
	for (i = 0; i < c->queues->len; i++) {
		const struct cell_queue *q = c->queues->pdata[i];
		size_t n = strlen(q->prefix);

		if (n > path.n || memcmp(path.p, q->prefix, n) != 0)
			continue;
		if (!same_host(host, q->host))
			continue;
		if (best == NULL || n > best_len) {
			best = q;
			best_len = n;
		}
	}
	if (best != NULL) {
		rest->p = path.p + best_len;
		rest->n = path.n - best_len;
	}
	return best;
}

/* If several entries have the same name, the first is found. */
static GHashTable *
index_queues(const struct cell_config *c)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	for (i = c->queues->len; i-- > 0;) {
		struct cell_queue *q = c->queues->pdata[i];

		g_hash_table_replace(names, q->name, q);
	}
	return names;
}

static GHashTable *
index_teams(const struct cell_config *c)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	for (i = c->teams->len; i-- > 0;) {
		struct cell_team *t = c->teams->pdata[i];

		g_hash_table_replace(names, t->name, t);
	}
	return names;
}

const struct cell_queue *
cell_config_queue(struct cell_config *c, const char *name)
{
	if (c->queue_names == NULL)
		c->queue_names = index_queues(c);
	return g_hash_table_lookup(c->queue_names, name);
}

const struct cell_team *
cell_config_team(struct cell_config *c, const char *name)
{
	if (c->team_names == NULL)
		c->team_names = index_teams(c);
	return g_hash_table_lookup(c->team_names, name);
}

const struct cell_team *
cell_config_team_at(const struct cell_config *c, size_t i)
{
	return i < c->teams->len ? c->teams->pdata[i] : NULL;
}

const struct cell_team *
cell_config_team_of_key(const struct cell_config *c, struct ogl_str key)
{
	char text[256];

	if (key.n == 0 || key.n >= sizeof text)
		return NULL;
	if (memchr(key.p, '\0', key.n) != NULL)
		return NULL;
	memcpy(text, key.p, key.n);
	text[key.n] = '\0';
	return g_hash_table_lookup(c->keys, text);
}

struct cell_queue
cell_queue_of_job(struct cell_config *c, const Ogl__CellJob *def)
{
	const struct cell_queue *q =
	    c != NULL ? cell_config_queue(c, def->queue) : NULL;
	const Ogl__CellTerms *t = def->terms;
	struct cell_queue saved = {.name = def->queue, .service = def->service};

	if (q != NULL)
		return *q;
	if (t == NULL)
		return saved;
	saved.rank = t->rank;
	saved.attempts_max = t->attempts_max;
	saved.objective_ms = t->objective_ms;
	saved.slack = t->slack;
	saved.policy.needed = t->policy;
	saved.policy.decide_ms = t->decide_ms;
	saved.policy.worker_ms = t->worker_ms;
	saved.policy.valid_ms = t->valid_ms;
	return saved;
}

void
cell_queue_save_terms(const struct cell_queue *q, Ogl__CellTerms *t)
{
	t->rank = q->rank;
	t->attempts_max = q->attempts_max;
	t->objective_ms = q->objective_ms;
	t->slack = q->slack;
	t->policy = q->policy.needed;
	t->decide_ms = q->policy.decide_ms;
	t->worker_ms = q->policy.worker_ms;
	t->valid_ms = q->policy.valid_ms;
}

bool
cell_config_serves(const struct cell_config *c, const char *service)
{
	guint i;

	for (i = 0; i < c->queues->len; i++) {
		const struct cell_queue *q = c->queues->pdata[i];

		if (strcmp(q->service, service) == 0)
			return true;
	}
	return false;
}
