/*
 * One append is under way at a time; what is marked meanwhile goes with the
 * next.  Within an epoch appends are numbered.  An append whose answer is lost
 * may have taken effect or may still do so: it is sent again as it was, under
 * its number, until the store answers, which takes effect once.  Only an
 * append that the store has refused each time it was sent is known not to have
 * happened; then the submissions in it can be refused truthfully.
 *
 * An answer that is overdue may be lost or only slow, as when the store takes
 * sixty times as long from one moment to the next.  So the append is sent again
 * while its first answer is still waited for, and whichever comes first counts.
 */

#include <string.h>

#include "journal.h"

/* Between two appends: each is priced and takes the partition 2 ms, and a
 * caller notices nothing of 15 ms against an objective of 250. */
#define GAP (15 * OGL_MS)
/* Changes that nobody waits for are written within this time. */
#define LAZY (250 * OGL_MS)
/* An answer missing for so long is overdue.  Each sending doubles it. */
#define OVERDUE_MIN_MS 150
#define OVERDUE_MAX_MS 2400
/* An answer is waited for so long. */
#define TIMEOUT_MS 2400
/* Sendings of one append whose answers are awaited. */
#define SENDINGS_MAX 4
#define RETRY (100 * OGL_MS)
/* From here on new submissions are refused instead of waiting. */
#define FAILING (400 * OGL_MS)
/* A store that is slow but takes all is not failing: an append may take so many
 * times what the last one took. */
#define FAILING_TIMES 2
#define BATCH_BYTES ((size_t)512 * 1024) /* a quarter of the store's bound */

struct waiter {
	cell_stored_fn *fn;
	void *arg;
	uint64_t tag;
	struct cell_job *submit; /* NULL: not a submission */
};

struct cell_journal {
	const struct cell_ops *ops;
	uint32_t shard;
	void (*lost)(void *arg, ogl_time now);
	void *arg;
	bool open;
	uint64_t epoch;
	uint64_t generation; /* tells late answers of an earlier epoch */
	uint64_t seq;
	uint64_t number; /* counts batches, also those that took a seq again */
	uint32_t overdue_ms;
	GPtrArray *marked; /* struct cell_job, to go with the next append */
	GHashTable *extra; /* key -> GBytes, the same */
	GHashTable *batch_extra; /* what of it is in the batch */
	GArray *waiters;         /* struct waiter, for the next append */
	ogl_time urgent_at;      /* OGL_NEVER: nobody waits */
	ogl_time lazy_at;
	/* the append under way or to be repeated */
	GArray *batch; /* struct cell_put */
	GPtrArray *batch_jobs;
	GArray *batch_waiters;
	bool has_batch;
	uint32_t awaited;  /* sendings whose answers are missing */
	bool uncertain;    /* a sending without answer may take effect */
	ogl_time retry_at; /* sent again then */
	ogl_time sent_at;  /* first */
	ogl_time took;     /* by the last one, from first sending to answer */
	ogl_time last_ok;
	ogl_time failing_since; /* 0: the last append was taken */
};

/* Says which append of which epoch an answer belongs to. */
struct sending {
	struct cell_journal *journal;
	uint64_t generation;
	uint64_t number;
};

static void
put_clear(void *p)
{
	struct cell_put *u = p;

	g_free(u->key);
	if (u->value != NULL)
		g_bytes_unref(u->value);
}

static GHashTable *
extra_new(void)
{
	return g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
}

struct cell_journal *
cell_journal_init(const struct cell_ops *ops, uint32_t shard,
    void (*lost)(void *arg, ogl_time now), void *arg)
{
	struct cell_journal *g = g_new0(struct cell_journal, 1);

	g->ops = ops;
	g->shard = shard;
	g->lost = lost;
	g->arg = arg;
	g->marked = g_ptr_array_new();
	g->extra = extra_new();
	g->batch_extra = extra_new();
	g->waiters = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	g->batch = g_array_new(FALSE, FALSE, sizeof(struct cell_put));
	g_array_set_clear_func(g->batch, put_clear);
	g->batch_jobs = g_ptr_array_new();
	g->batch_waiters = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	g->urgent_at = OGL_NEVER;
	g->lazy_at = OGL_NEVER;
	return g;
}

void
cell_journal_end(struct cell_journal *g)
{
	g_ptr_array_unref(g->marked);
	g_hash_table_unref(g->extra);
	g_hash_table_unref(g->batch_extra);
	g_array_unref(g->waiters);
	g_array_unref(g->batch);
	g_ptr_array_unref(g->batch_jobs);
	g_array_unref(g->batch_waiters);
	g_free(g);
}

static void
clear_pending(struct cell_journal *g)
{
	g_ptr_array_set_size(g->marked, 0);
	g_hash_table_remove_all(g->extra);
	g_hash_table_remove_all(g->batch_extra);
	g_array_set_size(g->waiters, 0);
	g_array_set_size(g->batch, 0);
	g_ptr_array_set_size(g->batch_jobs, 0);
	g_array_set_size(g->batch_waiters, 0);
	g->urgent_at = OGL_NEVER;
	g->lazy_at = OGL_NEVER;
	g->has_batch = false;
	g->awaited = 0;
	g->uncertain = false;
	g->failing_since = 0;
}

/* Several times what the store takes, so that a slow answer is not lost. */
static uint32_t
overdue_for(ogl_time took)
{
	ogl_time ms = took / OGL_MS * 4;

	return (uint32_t)CLAMP(ms, OVERDUE_MIN_MS, OVERDUE_MAX_MS);
}

void
cell_journal_open(struct cell_journal *g, uint64_t epoch, ogl_time store_took)
{
	clear_pending(g);
	g->open = true;
	g->epoch = epoch;
	g->seq = 0;
	g->overdue_ms = overdue_for(store_took);
	g->took = store_took;
	g->generation++;
}

static void
tell(GArray *waiters, enum cell_fate fate, ogl_time now)
{
	GArray *copy = g_array_sized_new(
	    FALSE, FALSE, sizeof(struct waiter), waiters->len);
	guint i;

	/* A waiter may add another while it is told. */
	g_array_append_vals(copy, waiters->data, waiters->len);
	g_array_set_size(waiters, 0);
	for (i = 0; i < copy->len; i++) {
		struct waiter *w = &g_array_index(copy, struct waiter, i);

		w->fn(w->arg, w->tag, fate, now);
	}
	g_array_unref(copy);
}

void
cell_journal_close(struct cell_journal *g, ogl_time now)
{
	if (!g->open)
		return;
	g->open = false;
	g->generation++;
	tell(g->batch_waiters, CELL_FATE_UNKNOWN, now);
	tell(g->waiters, CELL_FATE_UNKNOWN, now);
	clear_pending(g);
}

void
cell_journal_mark(
    struct cell_journal *g, struct cell_job *j, bool urgent, ogl_time now)
{
	if (!g->open)
		return;
	if (!j->dirty) {
		j->dirty = true;
		g_ptr_array_add(g->marked, j);
	}
	if (urgent)
		g->urgent_at = MIN(g->urgent_at, now);
	else if (g->lazy_at == OGL_NEVER)
		g->lazy_at = now + LAZY;
}

void
cell_journal_put(
    struct cell_journal *g, const char *key, GBytes *value, ogl_time now)
{
	if (!g->open) {
		g_bytes_unref(value);
		return;
	}
	g_hash_table_replace(g->extra, g_strdup(key), value);
	g->urgent_at = MIN(g->urgent_at, now);
}

/* A job may have been handed in more than once before it was stored. */
static void
forget_submit(GArray *waiters, const struct cell_job *j)
{
	guint i;

	for (i = 0; i < waiters->len; i++) {
		struct waiter *w = &g_array_index(waiters, struct waiter, i);

		if (w->submit == j)
			w->submit = NULL;
	}
}

void
cell_journal_unmark(struct cell_journal *g, struct cell_job *j)
{
	if (j->dirty)
		g_ptr_array_remove(g->marked, j);
	j->dirty = false;
	g_ptr_array_remove(g->batch_jobs, j);
	forget_submit(g->waiters, j);
	forget_submit(g->batch_waiters, j);
}

void
cell_journal_after(
    struct cell_journal *g, cell_stored_fn *fn, void *arg, uint64_t tag)
{
	struct waiter w = {fn, arg, tag, NULL};

	if (!g->open)
		return;
	g_array_append_val(g->waiters, w);
}

void
cell_journal_submit(struct cell_journal *g, struct cell_job *j,
    cell_stored_fn *fn, void *arg, uint64_t tag, ogl_time now)
{
	struct waiter w = {fn, arg, tag, j};

	j->write_def = true;
	cell_journal_mark(g, j, true, now);
	g_array_append_val(g->waiters, w);
}

bool
cell_journal_failing(const struct cell_journal *g, ogl_time now)
{
	if (g->failing_since != 0 && now - g->failing_since > FAILING)
		return true;
	return g->awaited > 0 &&
	       now - g->sent_at > MAX(FAILING, FAILING_TIMES * g->took);
}

static bool
nothing_marked(const struct cell_journal *g)
{
	return g->marked->len == 0 && g_hash_table_size(g->extra) == 0;
}

bool
cell_journal_idle(const struct cell_journal *g)
{
	return !g->has_batch && nothing_marked(g) && g->waiters->len == 0;
}

/* ---- putting a batch together ----------------------------------------- */

static void
add_put(struct cell_journal *g, char prefix, const char *id, GBytes *value)
{
	struct cell_put u = {g_strdup_printf("%c%s", prefix, id), value};

	g_array_append_val(g->batch, u);
}

static size_t
put_job(struct cell_journal *g, struct cell_job *j)
{
	GBytes *v;
	size_t n = 0;

	if (j->forget) {
		add_put(g, 'p', j->id, NULL);
		return 0;
	}
	if (j->write_def && j->def != NULL) {
		v = cell_job_pack_def(j);
		n += g_bytes_get_size(v);
		add_put(g, 's', j->id, v);
	}
	if (!j->write_def || j->begun || cell_job_over(j->state)) {
		v = cell_job_pack_progress(j);
		n += g_bytes_get_size(v);
		add_put(g, 'p', j->id, v);
	}
	if (j->drop_def)
		add_put(g, 's', j->id, NULL);
	j->write_def = false;
	j->drop_def = false;
	return n;
}

/*
 * Jobs beyond the bound of a batch wait for the next one, and so do all
 * waiters then: each has to know that everything marked before it is stored.
 */
static void
make_batch(struct cell_journal *g, ogl_time now)
{
	size_t bytes = 0;
	GHashTableIter it;
	gpointer k, v;
	guint i;

	g_hash_table_iter_init(&it, g->extra);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		struct cell_put u = {g_strdup(k), g_bytes_ref(v)};

		g_array_append_val(g->batch, u);
		g_hash_table_replace(
		    g->batch_extra, g_strdup(k), g_bytes_ref(v));
	}
	g_hash_table_remove_all(g->extra);
	for (i = 0; i < g->marked->len && bytes < BATCH_BYTES; i++) {
		struct cell_job *j = g->marked->pdata[i];

		bytes += put_job(g, j);
		j->dirty = false;
		g_ptr_array_add(g->batch_jobs, j);
	}
	g_ptr_array_remove_range(g->marked, 0, i);
	g->urgent_at = OGL_NEVER;
	g->lazy_at = OGL_NEVER;
	if (g->marked->len > 0) {
		g->urgent_at = now;
	} else {
		g_array_append_vals(
		    g->batch_waiters, g->waiters->data, g->waiters->len);
		g_array_set_size(g->waiters, 0);
	}
	g->has_batch = true;
	g->uncertain = false;
	g->awaited = 0;
	g->sent_at = now;
	g->retry_at = now;
	g->seq++;
	g->number++;
}

/* ---- sending ---------------------------------------------------------- */

static void on_appended(
    void *arg, const struct cell_append_answer *a, ogl_time now);

static void
send_batch(struct cell_journal *g, ogl_time now)
{
	struct sending *s = g_new(struct sending, 1);
	struct cell_append a = {
	    .stream = CELL_JOBS,
	    .shard = g->shard,
	    .fenced = true,
	    .epoch = g->epoch,
	    .seq = g->seq,
	    .at = -1,
	    .puts = (const struct cell_put *)(void *)g->batch->data,
	    .nputs = g->batch->len,
	    .timeout_ms = TIMEOUT_MS,
	};

	s->journal = g;
	s->generation = g->generation;
	s->number = g->number;
	g->awaited++;
	g->retry_at = now + g->overdue_ms * OGL_MS;
	g->ops->append(g->ops->outside, &a, on_appended, s);
}

/* By what the last answer took; it comes down slowly. */
static void
adapt_overdue(struct cell_journal *g)
{
	uint32_t slowly = g->overdue_ms - g->overdue_ms / 4;

	g->overdue_ms = MAX(overdue_for(g->took), slowly);
}

static void
batch_stored(struct cell_journal *g, ogl_time now)
{
	g_array_set_size(g->batch, 0);
	g_ptr_array_set_size(g->batch_jobs, 0);
	g_hash_table_remove_all(g->batch_extra);
	g->has_batch = false;
	g->failing_since = 0;
	g->took = now - g->sent_at;
	adapt_overdue(g);
	tell(g->batch_waiters, CELL_STORED, now);
}

/* Moves the submissions of the jobs from one list of waiters to another. */
static void
take_submits(GArray *from, GHashTable *jobs, GArray *to)
{
	guint i = 0;

	while (i < from->len) {
		struct waiter *w = &g_array_index(from, struct waiter, i);

		if (w->submit == NULL ||
		    !g_hash_table_contains(jobs, w->submit)) {
			i++;
			continue;
		}
		g_array_append_val(to, *w);
		g_array_remove_index(from, i);
	}
}

/* Not what an earlier append has stored, when all did not go into one. */
static bool
in_batch(const struct cell_journal *g, const struct cell_job *j)
{
	return g_ptr_array_find(g->batch_jobs, j, NULL);
}

/*
 * The store did nothing, each time.  Submissions are taken back and refused;
 * all else is put together anew later, under the same number.  A submission may
 * wait more than once, as entries repeat calls, in this batch and for the next:
 * all are told.  One left over would be told "stored" with a later batch, and
 * a job handed in anew under the same id would count as stored that is not.
 */
static void
batch_refused(struct cell_journal *g, ogl_time now)
{
	GArray *refused = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	GHashTable *jobs = g_hash_table_new(NULL, NULL);
	GHashTableIter it;
	gpointer k, v;
	guint i;

	g_hash_table_iter_init(&it, g->batch_extra);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		if (!g_hash_table_contains(g->extra, k))
			g_hash_table_insert(
			    g->extra, g_strdup(k), g_bytes_ref(v));
	}
	g_hash_table_remove_all(g->batch_extra);

	for (i = 0; i < g->batch_jobs->len; i++) {
		struct cell_job *j = g->batch_jobs->pdata[i];

		j->write_def = j->def != NULL && !j->stored;
		j->drop_def = j->def == NULL;
		if (!j->dirty) {
			j->dirty = true;
			g_ptr_array_add(g->marked, j);
		}
	}
	for (i = 0; i < g->batch_waiters->len; i++) {
		struct waiter *w =
		    &g_array_index(g->batch_waiters, struct waiter, i);

		if (w->submit != NULL && in_batch(g, w->submit))
			g_hash_table_add(jobs, w->submit);
	}
	take_submits(g->batch_waiters, jobs, refused);
	take_submits(g->waiters, jobs, refused);
	g_array_append_vals(
	    g->waiters, g->batch_waiters->data, g->batch_waiters->len);
	g_hash_table_iter_init(&it, jobs);
	while (g_hash_table_iter_next(&it, &k, NULL))
		cell_journal_unmark(g, k);
	g_hash_table_unref(jobs);
	g_array_set_size(g->batch, 0);
	g_ptr_array_set_size(g->batch_jobs, 0);
	g_array_set_size(g->batch_waiters, 0);
	g->has_batch = false;
	g->seq--;
	g->urgent_at = now;
	tell(refused, CELL_NOT_STORED, now);
	g_array_unref(refused);
}

static void
batch_failed(
    struct cell_journal *g, const struct cell_append_answer *a, ogl_time now)
{
	if (g->failing_since == 0)
		g->failing_since = g->sent_at;
	if (a->io == OGL_IO_LOST)
		g->uncertain = true;
	if (g->awaited > 0)
		return;
	g->retry_at = a->io == OGL_IO_LOST ? now : now + RETRY;
	if (!g->uncertain)
		batch_refused(g, now);
}

static void
on_appended(void *arg, const struct cell_append_answer *a, ogl_time now)
{
	struct sending *s = arg;
	struct cell_journal *g = s->journal;
	bool current = s->generation == g->generation;
	bool of_batch = current && g->has_batch && s->number == g->number;

	g_free(s);
	if (!current)
		return;
	if (a->outranked) {
		g->lost(g->arg, now);
		return;
	}
	if (!of_batch)
		return; /* another sending of it was answered before */
	g->awaited--;
	if (a->io == OGL_IO_OK) {
		batch_stored(g, now);
		g->last_ok = now;
	} else {
		batch_failed(g, a, now);
	}
}

/* When the batch is to be sent, again or for the first time. */
static ogl_time
batch_wake(const struct cell_journal *g)
{
	return g->awaited < SENDINGS_MAX ? g->retry_at : OGL_NEVER;
}

ogl_time
cell_journal_wake(const struct cell_journal *g)
{
	ogl_time due;

	if (!g->open)
		return OGL_NEVER;
	if (g->has_batch)
		return batch_wake(g);
	if (nothing_marked(g) && g->waiters->len == 0)
		return OGL_NEVER;
	due = MIN(g->urgent_at, g->lazy_at);
	if (g->failing_since != 0)
		return MAX(due, g->retry_at);
	return MAX(due, g->sent_at + GAP);
}

void
cell_journal_step(struct cell_journal *g, ogl_time now)
{
	/* Waiters without anything to write have nothing to wait for. */
	if (g->open && !g->has_batch && nothing_marked(g) &&
	    g->waiters->len > 0)
		tell(g->waiters, CELL_STORED, now);
	if (cell_journal_wake(g) > now)
		return;
	if (!g->has_batch) {
		if (nothing_marked(g))
			return;
		make_batch(g, now);
	} else if (g->awaited > 0) {
		g->overdue_ms = MIN(g->overdue_ms * 2, OVERDUE_MAX_MS);
	}
	send_batch(g, now);
}
