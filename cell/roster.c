/*
 * The list is read once from its beginning, in pages, and then on from there; a
 * stream trimmed meanwhile is read from its beginning again.
 */

#include "roster.h"

/* An entry changes on each worker's heartbeat, and reading each change by
 * itself would be a call each. */
#define READ_EVERY (250 * OGL_MS)
#define TIMEOUT_MS 1200
#define RETRY (120 * OGL_MS)

struct cell_roster {
	const struct cell_ops *ops;
	struct cell_roster_events events;
	bool open;
	uint64_t generation;
	bool loaded;
	bool reading;
	bool tail; /* read on from next, not the newest pages */
	char *after;
	uint64_t next;
	ogl_time read_at;
	GHashTable *named; /* workers on the pages read so far */
};

/* Belongs to an exchange with the store. */
struct exchange {
	struct cell_roster *roster;
	uint64_t generation;
};

static struct exchange *
exchange_new(struct cell_roster *r)
{
	struct exchange *x = g_new(struct exchange, 1);

	x->roster = r;
	x->generation = r->generation;
	return x;
}

/* Frees it; NULL when it was begun before the last opening or closing. */
static struct cell_roster *
exchange_end(struct exchange *x)
{
	struct cell_roster *r =
	    x->generation == x->roster->generation ? x->roster : NULL;

	g_free(x);
	return r;
}

struct cell_roster *
cell_roster_init(
    const struct cell_ops *ops, const struct cell_roster_events *events)
{
	struct cell_roster *r = g_new0(struct cell_roster, 1);

	r->ops = ops;
	r->events = *events;
	r->named = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return r;
}

void
cell_roster_end(struct cell_roster *r)
{
	g_hash_table_unref(r->named);
	g_free(r->after);
	g_free(r);
}

void
cell_roster_open(struct cell_roster *r, ogl_time now)
{
	cell_roster_close(r);
	r->open = true;
	r->read_at = now;
}

void
cell_roster_close(struct cell_roster *r)
{
	r->open = false;
	r->generation++;
	r->loaded = false;
	r->reading = false;
	r->tail = false;
	g_hash_table_remove_all(r->named);
	g_clear_pointer(&r->after, g_free);
}

bool
cell_roster_loaded(const struct cell_roster *r)
{
	return r->loaded;
}

static void
take_entry(struct cell_roster *r, const struct cell_record *rec, ogl_time now)
{
	const struct cell_worker_entry *e = rec->dropped ? NULL : rec->worker;

	if (e != NULL && !r->tail)
		g_hash_table_add(r->named, g_strdup(rec->key));
	r->events.entry(r->events.arg, rec->key, e, now);
}

static void
on_page(void *arg, const struct cell_newest_answer *a, ogl_time now)
{
	struct cell_roster *r = exchange_end(arg);
	size_t i;

	if (r == NULL)
		return;
	r->reading = false;
	if (a->io != OGL_IO_OK) {
		r->read_at = now + RETRY;
		return;
	}
	if (r->after == NULL) {
		r->next = a->end;
		g_hash_table_remove_all(r->named);
	}
	for (i = 0; i < a->n; i++)
		take_entry(r, &a->records[i], now);
	if (a->more && a->n > 0) {
		g_free(r->after);
		r->after = g_strdup(a->records[a->n - 1].key);
		r->read_at = now;
		return;
	}
	g_clear_pointer(&r->after, g_free);
	r->events.whole(r->events.arg, r->named, now);
	g_hash_table_remove_all(r->named);
	r->tail = true;
	r->loaded = true;
	r->read_at = now + READ_EVERY;
}

static void
on_tail(void *arg, const struct cell_read_answer *a, ogl_time now)
{
	struct cell_roster *r = exchange_end(arg);
	size_t i;

	if (r == NULL)
		return;
	r->reading = false;
	r->read_at = now + READ_EVERY;
	if (a->io != OGL_IO_OK)
		return;
	if (a->trimmed) {
		r->tail = false;
		r->read_at = now;
		return;
	}
	for (i = 0; i < a->n; i++) {
		take_entry(r, &a->records[i], now);
		r->next = MAX(r->next, a->records[i].offset + 1);
	}
}

void
cell_roster_step(struct cell_roster *r, ogl_time now)
{
	struct cell_read t = {
	    .stream = CELL_WORKERS, .from = r->next, .timeout_ms = TIMEOUT_MS};
	struct cell_newest q = {.stream = CELL_WORKERS,
	    .after = r->after,
	    .timeout_ms = TIMEOUT_MS};

	if (!r->open || r->reading || now < r->read_at)
		return;
	r->reading = true;
	if (r->tail)
		r->ops->read(r->ops->outside, &t, on_tail, exchange_new(r));
	else
		r->ops->newest(r->ops->outside, &q, on_page, exchange_new(r));
}
