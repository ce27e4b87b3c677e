/*
 * Reads the platform's list of workers and then follows its changes.
 *
 * The list is a stream of the store with the entries of all workers.  First the
 * newest entry of each worker is read, page by page.  Then the changes are
 * read, beginning at the end offset that came with the first page.  A later page
 * may have an entry that is newer than some of these changes, which are then left
 * out: they may describe an earlier incarnation of the worker.  If not all of
 * them fit an answer, the rest is read at once.  If records have been trimmed
 * before they were read, the whole list is read again.
 */

#include "roster.h"

/* Each heartbeat of a worker changes its entry, so reading at intervals fetches
 * many changes with one call. */
#define READ_INTERVAL (250 * OGL_MS)
#define READ_TIMEOUT_MS 1200
#define RETRY_DELAY (120 * OGL_MS)

struct cell_roster {
	const struct cell_ops *ops;
	struct cell_roster_events events;
	bool open;
	uint64_t generation;
	bool loaded;
	bool reading;   /* a read is pending */
	bool following; /* read changes from next_offset, not pages */
	char *last_key; /* last key of the previous page, NULL at the first */
	uint64_t next_offset;
	ogl_time next_read_at;
	GHashTable *listed; /* ids of workers on the pages read so far */
	/* Offsets of entries on the pages that the changes will bring again:
	 * worker -> its offset. */
	GHashTable *ahead;
};

/* Argument of the callback of a read. */
struct read_call {
	struct cell_roster *roster;
	uint64_t generation;
};

static struct read_call *
read_call_new(struct cell_roster *r)
{
	struct read_call *c = g_new(struct read_call, 1);

	c->roster = r;
	c->generation = r->generation;
	return c;
}

/* Frees c.  Returns its roster; NULL if the read was sent before the last open
 * or close, so that its answer is ignored. */
static struct cell_roster *
read_call_end(struct read_call *c)
{
	struct cell_roster *r =
	    c->generation == c->roster->generation ? c->roster : NULL;

	g_free(c);
	return r;
}

struct cell_roster *
cell_roster_init(
    const struct cell_ops *ops, const struct cell_roster_events *events)
{
	struct cell_roster *r = g_new0(struct cell_roster, 1);

	r->ops = ops;
	r->events = *events;
	r->listed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r->ahead =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return r;
}

void
cell_roster_end(struct cell_roster *r)
{
	g_hash_table_unref(r->listed);
	g_hash_table_unref(r->ahead);
	g_free(r->last_key);
	g_free(r);
}

void
cell_roster_open(struct cell_roster *r, ogl_time now)
{
	cell_roster_close(r);
	r->open = true;
	r->next_read_at = now;
}

void
cell_roster_close(struct cell_roster *r)
{
	r->open = false;
	r->generation++;
	r->loaded = false;
	r->reading = false;
	r->following = false;
	g_hash_table_remove_all(r->listed);
	g_hash_table_remove_all(r->ahead);
	g_clear_pointer(&r->last_key, g_free);
}

bool
cell_roster_loaded(const struct cell_roster *r)
{
	return r->loaded;
}

static void
report_entry(struct cell_roster *r, const struct cell_record *rec, ogl_time now)
{
	const struct cell_worker_entry *e = rec->dropped ? NULL : rec->worker;

	r->events.entry(r->events.arg, rec->key, e, now);
}

static void
report_listed(
    struct cell_roster *r, const struct cell_record *rec, ogl_time now)
{
	if (!rec->dropped && rec->worker != NULL)
		g_hash_table_add(r->listed, g_strdup(rec->key));
	if (rec->offset >= r->next_offset)
		g_hash_table_replace(r->ahead, g_strdup(rec->key),
		    g_memdup2(&rec->offset, sizeof rec->offset));
	report_entry(r, rec, now);
}

static void
report_change(
    struct cell_roster *r, const struct cell_record *rec, ogl_time now)
{
	const uint64_t *listed_at = g_hash_table_lookup(r->ahead, rec->key);

	if (listed_at != NULL && rec->offset < *listed_at)
		return;
	g_hash_table_remove(r->ahead, rec->key);
	report_entry(r, rec, now);
}

static void
on_page(void *arg, const struct cell_newest_answer *a, ogl_time now)
{
	struct cell_roster *r = read_call_end(arg);
	size_t i;

	if (r == NULL)
		return;
	r->reading = false;
	if (a->io != OGL_IO_OK) {
		r->next_read_at = now + RETRY_DELAY;
		return;
	}
	if (r->last_key == NULL) {
		r->next_offset = a->end;
		g_hash_table_remove_all(r->listed);
		g_hash_table_remove_all(r->ahead);
	}
	for (i = 0; i < a->n; i++)
		report_listed(r, &a->records[i], now);
	if (a->more && a->n > 0) {
		g_free(r->last_key);
		r->last_key = g_strdup(a->records[a->n - 1].key);
		r->next_read_at = now;
		return;
	}
	g_clear_pointer(&r->last_key, g_free);
	r->events.list_read(r->events.arg, r->listed, now);
	g_hash_table_remove_all(r->listed);
	r->following = true;
	r->loaded = true;
	r->next_read_at = now + READ_INTERVAL;
}

static void
on_changes(void *arg, const struct cell_read_answer *a, ogl_time now)
{
	struct cell_roster *r = read_call_end(arg);
	size_t i;

	if (r == NULL)
		return;
	r->reading = false;
	r->next_read_at = now + READ_INTERVAL;
	if (a->io != OGL_IO_OK)
		return;
	if (a->trimmed) {
		r->following = false;
		r->next_read_at = now;
		return;
	}
	for (i = 0; i < a->n; i++) {
		report_change(r, &a->records[i], now);
		r->next_offset = MAX(r->next_offset, a->records[i].offset + 1);
	}
	if (a->n > 0 && r->next_offset < a->end)
		r->next_read_at = now;
}

void
cell_roster_step(struct cell_roster *r, ogl_time now)
{
	struct cell_read changes = {.stream = CELL_WORKERS,
	    .from = r->next_offset,
	    .timeout_ms = READ_TIMEOUT_MS};
	struct cell_newest page = {.stream = CELL_WORKERS,
	    .after = r->last_key,
	    .timeout_ms = READ_TIMEOUT_MS};

	if (!r->open || r->reading || now < r->next_read_at)
		return;
	r->reading = true;
	if (r->following)
		r->ops->read(r->ops->backend_ctx, &changes, on_changes,
		    read_call_new(r));
	else
		r->ops->newest(
		    r->ops->backend_ctx, &page, on_page, read_call_new(r));
}
