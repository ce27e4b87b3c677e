/*
 * What is marked while an append is under way goes with the next.  Within an
 * epoch appends are numbered, and the store takes them only in that order.  An append whose answer is lost
 * may have taken effect or may still do so: it is sent again as it was, under
 * its number, until the store answers, which takes effect once.  Only an
 * append that the store has refused each time it was sent is known not to have
 * happened; then the submissions in it can be refused truthfully.
 *
 * An answer that is overdue may be lost or only slow, as when the store takes
 * sixty times as long from one moment to the next.  So the append is sent again
 * while its first answer is still waited for, and whichever comes first counts.
 * How long the store takes is measured from the sending that was answered: from
 * the first one on, each lost answer would pass for a slow store and put off the
 * next repeat.
 *
 * While the store is well one append is under way at a time.  Where it is slow,
 * the next is sent before the last one is answered: else a call waits for the
 * rest of one append and the whole of its own.  The answer to a later one tells
 * that the earlier ones were taken, too.
 */

#include <string.h>

#include "ablate.h"
#include "journal.h"

/* Between two appends: each is priced and takes the partition 2 ms, and a
 * caller notices nothing of 15 ms against an objective of 250. */
#define GAP (15 * OGL_MS)
#define GAP_SPARE (45 * OGL_MS)
/* Changes that nobody waits for are written within this time. */
#define LAZY (250 * OGL_MS)
/* An answer missing for so long is overdue, at least and at most. */
#define OVERDUE_MIN_MS 50
#define OVERDUE_MAX_MS 2400
/* On a thin link an answer waits behind other bytes, and each repeat makes the
 * queue longer. */
#define OVERDUE_MIN_SPARE_MS 300
/* An answer is waited for so long. */
#define TIMEOUT_MS 2400
/* Sendings of one append whose answers are awaited. */
#define SENDINGS_MAX 8
/* So many of them come at an even pace; after that each wait is twice the last,
 * or a store that is away would get them all at once and, when it is back, none
 * until the first has timed out. */
#define SENDINGS_EVEN 3
#define REPEAT_MAX_MS 600
/* Appends under way at a time to a slow store, and what counts as slow. */
#define BATCHES_MAX 3
#define SLOW (60 * OGL_MS)
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

/* One append. */
struct batch {
	uint64_t number; /* of the batch; a seq may be used by several */
	uint64_t seq;
	GArray *puts;      /* struct cell_put */
	GPtrArray *jobs;   /* struct cell_job */
	GArray *waiters;   /* struct waiter */
	GHashTable *extra; /* key -> GBytes */
	uint32_t sendings; /* so far */
	uint32_t awaited;  /* of them, answers that are missing */
	bool uncertain;    /* a sending without answer may take effect */
	ogl_time retry_at; /* sent again then */
	ogl_time sent_at;  /* first; 0 not yet */
};

struct cell_journal {
	const struct cell_ops *ops;
	uint32_t shard;
	void (*lost)(void *arg, ogl_time now);
	void *arg;
	bool open;
	uint64_t epoch;
	uint64_t generation; /* tells late answers of an earlier epoch */
	uint64_t seq;        /* of the last batch */
	uint64_t number;     /* the same */
	bool begun; /* an append of the epoch was taken: the store knows where
		     * its numbers begin, and takes none before its turn */
	uint32_t overdue_ms;
	bool spare;    /* the link is thin */
	ogl_time took; /* by the last sending that was answered */
	ogl_time last_sent_at;
	ogl_time failing_since; /* 0: the last append was taken */
	ogl_time retry_at;      /* no new batch before, while that is set */
	GPtrArray *marked;  /* struct cell_job, to go with the next append */
	GHashTable *extra;  /* key -> GBytes, the same */
	GArray *waiters;    /* struct waiter, for the next append */
	ogl_time urgent_at; /* OGL_NEVER: nobody waits */
	ogl_time lazy_at;
	GQueue batches; /* struct batch, not known to be stored, oldest first */
};

/* Says which append of which epoch an answer belongs to. */
struct sending {
	struct cell_journal *journal;
	uint64_t generation;
	uint64_t number;
	ogl_time at;
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

static struct batch *
batch_new(void)
{
	struct batch *b = g_new0(struct batch, 1);

	b->puts = g_array_new(FALSE, FALSE, sizeof(struct cell_put));
	g_array_set_clear_func(b->puts, put_clear);
	b->jobs = g_ptr_array_new();
	b->waiters = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	b->extra = extra_new();
	return b;
}

static void
batch_free(void *p)
{
	struct batch *b = p;

	g_array_unref(b->puts);
	g_ptr_array_unref(b->jobs);
	g_array_unref(b->waiters);
	g_hash_table_unref(b->extra);
	g_free(b);
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
	g->waiters = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	g_queue_init(&g->batches);
	g->urgent_at = OGL_NEVER;
	g->lazy_at = OGL_NEVER;
	return g;
}

/* Several times what the store takes, so that a slow answer is not lost. */
static uint32_t
overdue_for(const struct cell_journal *g, ogl_time took)
{
	ogl_time ms = took / OGL_MS * 4;

	return (uint32_t)CLAMP(ms,
	    g->spare ? OVERDUE_MIN_SPARE_MS : OVERDUE_MIN_MS, OVERDUE_MAX_MS);
}

void
cell_journal_spare(struct cell_journal *g, bool spare)
{
	if (spare == g->spare)
		return;
	g->spare = spare;
	g->overdue_ms = overdue_for(g, g->took);
}

void
cell_journal_end(struct cell_journal *g)
{
	g_ptr_array_unref(g->marked);
	g_hash_table_unref(g->extra);
	g_array_unref(g->waiters);
	g_queue_clear_full(&g->batches, batch_free);
	g_free(g);
}

static void
clear_pending(struct cell_journal *g)
{
	g_ptr_array_set_size(g->marked, 0);
	g_hash_table_remove_all(g->extra);
	g_array_set_size(g->waiters, 0);
	g_queue_clear_full(&g->batches, batch_free);
	g->urgent_at = OGL_NEVER;
	g->lazy_at = OGL_NEVER;
	g->failing_since = 0;
}

void
cell_journal_open(struct cell_journal *g, uint64_t epoch, ogl_time store_took)
{
	clear_pending(g);
	g->open = true;
	g->begun = false;
	g->epoch = epoch;
	g->seq = 0;
	g->overdue_ms = overdue_for(g, store_took);
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
	GList *at;

	if (!g->open)
		return;
	g->open = false;
	g->generation++;
	for (at = g->batches.head; at != NULL; at = at->next)
		tell(((struct batch *)at->data)->waiters, CELL_FATE_UNKNOWN,
		    now);
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
	GList *at;

	if (j->dirty)
		g_ptr_array_remove(g->marked, j);
	j->dirty = false;
	forget_submit(g->waiters, j);
	for (at = g->batches.head; at != NULL; at = at->next) {
		struct batch *b = at->data;

		g_ptr_array_remove(b->jobs, j);
		forget_submit(b->waiters, j);
	}
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

static struct batch *
oldest(const struct cell_journal *g)
{
	const GList *head = g->batches.head;

	return head != NULL ? head->data : NULL;
}

bool
cell_journal_failing(const struct cell_journal *g, ogl_time now)
{
	const struct batch *b = oldest(g);

	if (g->failing_since != 0 && now - g->failing_since > FAILING)
		return true;
	return b != NULL && b->awaited > 0 &&
	       now - b->sent_at > MAX(FAILING, FAILING_TIMES * g->took);
}

static bool
nothing_marked(const struct cell_journal *g)
{
	return g->marked->len == 0 && g_hash_table_size(g->extra) == 0;
}

bool
cell_journal_idle(const struct cell_journal *g)
{
	return g->batches.length == 0 && nothing_marked(g) &&
	       g->waiters->len == 0;
}

/* ---- putting a batch together ----------------------------------------- */

static void
add_put(struct batch *b, char prefix, const char *id, GBytes *value)
{
	struct cell_put u = {g_strdup_printf("%c%s", prefix, id), value};

	g_array_append_val(b->puts, u);
}

static size_t
put_job(struct batch *b, struct cell_job *j)
{
	GBytes *v;
	size_t n = 0;

	if (j->forget) {
		add_put(b, 'p', j->id, NULL);
		return 0;
	}
	if (j->write_def && j->def != NULL) {
		v = cell_job_pack_def(j);
		n += g_bytes_get_size(v);
		add_put(b, 's', j->id, v);
	}
	if (!j->write_def || j->begun || cell_job_over(j->state)) {
		v = cell_job_pack_progress(j);
		n += g_bytes_get_size(v);
		add_put(b, 'p', j->id, v);
	}
	if (j->drop_def)
		add_put(b, 's', j->id, NULL);
	j->write_def = false;
	j->drop_def = false;
	return n;
}

/*
 * Jobs beyond the bound of a batch wait for the next one, and so do all
 * waiters then: each has to know that everything marked before it is stored.
 */
static struct batch *
make_batch(struct cell_journal *g, ogl_time now)
{
	struct batch *b = batch_new();
	size_t bytes = 0;
	GHashTableIter it;
	gpointer k, v;
	guint i;

	g_hash_table_iter_init(&it, g->extra);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		struct cell_put u = {g_strdup(k), g_bytes_ref(v)};

		g_array_append_val(b->puts, u);
		g_hash_table_replace(b->extra, g_strdup(k), g_bytes_ref(v));
	}
	g_hash_table_remove_all(g->extra);
	for (i = 0; i < g->marked->len && bytes < BATCH_BYTES; i++) {
		struct cell_job *j = g->marked->pdata[i];

		bytes += put_job(b, j);
		j->dirty = false;
		g_ptr_array_add(b->jobs, j);
	}
	g_ptr_array_remove_range(g->marked, 0, i);
	g->urgent_at = OGL_NEVER;
	g->lazy_at = OGL_NEVER;
	if (g->marked->len > 0) {
		g->urgent_at = now;
	} else {
		g_array_append_vals(
		    b->waiters, g->waiters->data, g->waiters->len);
		g_array_set_size(g->waiters, 0);
	}
	b->sent_at = now;
	b->retry_at = now;
	b->seq = ++g->seq;
	b->number = ++g->number;
	g_queue_push_tail(&g->batches, b);
	return b;
}

/* ---- sending ---------------------------------------------------------- */

static void on_appended(
    void *arg, const struct cell_append_answer *a, ogl_time now);

static ogl_time
repeat_after_ms(const struct cell_journal *g, const struct batch *b)
{
	ogl_time most = MAX(g->overdue_ms, REPEAT_MAX_MS);
	uint32_t doublings = b->sendings - MIN(b->sendings, SENDINGS_EVEN);

	return MIN(
	    (ogl_time)g->overdue_ms << MIN(doublings, SENDINGS_MAX), most);
}

/* Keys begin with what they are of: a job, its progress, or the workers. */
static void
count_bytes(struct cell_journal *g, const struct batch *b)
{
	guint i;

	for (i = 0; i < b->puts->len; i++) {
		const struct cell_put *u =
		    &g_array_index(b->puts, struct cell_put, i);
		const char *name = *u->key == 's'   ? "store_bytes_jobs"
				   : *u->key == 'p' ? "store_bytes_progress"
						    : "store_bytes_workers";

		if (u->value != NULL)
			g->ops->count(
			    g->ops->ctx, name, g_bytes_get_size(u->value));
	}
}

static void
send_batch(struct cell_journal *g, struct batch *b, ogl_time now)
{
	struct sending *s = g_new(struct sending, 1);
	struct cell_append a = {
	    .stream = CELL_JOBS,
	    .shard = g->shard,
	    .fenced = true,
	    .epoch = g->epoch,
	    .seq = b->seq,
	    .at = -1,
	    .puts = (const struct cell_put *)(void *)b->puts->data,
	    .nputs = b->puts->len,
	    .timeout_ms = TIMEOUT_MS,
	};

	s->journal = g;
	s->generation = g->generation;
	s->number = b->number;
	s->at = now;
	count_bytes(g, b);
	g->ops->count(g->ops->ctx, "store_appends", 1);
	b->sendings++;
	b->awaited++;
	b->retry_at = now + repeat_after_ms(g, b) * OGL_MS;
	g->last_sent_at = now;
	g->ops->append(g->ops->outside, &a, on_appended, s);
}

/* By what the last answer took; it comes down slowly. */
static void
adapt_overdue(struct cell_journal *g)
{
	uint32_t slowly = g->overdue_ms - g->overdue_ms / 4;

	g->overdue_ms = MAX(overdue_for(g, g->took), slowly);
}

static void
log_repeated(struct cell_journal *g, const struct batch *b, ogl_time now)
{
	char text[128];

	g_snprintf(text, sizeof text,
	    "shard=%u epoch=%" G_GUINT64_FORMAT " seq=%" G_GUINT64_FORMAT
	    " sendings=%u took_ms=%" G_GINT64_FORMAT " overdue_ms=%u",
	    g->shard, g->epoch, b->seq, b->sendings,
	    (now - b->sent_at) / OGL_MS, g->overdue_ms);
	g->ops->log(g->ops->ctx, "journal", "append_repeated", text);
}

/* The batch and all before it, by the answer to what was sent at `sent`. */
static void
stored_up_to(struct cell_journal *g, const struct batch *last, ogl_time sent,
    ogl_time now)
{
	uint64_t number = last->number;
	struct batch *b;

	if (last->sendings > 1)
		log_repeated(g, last, now);
	g->begun = true;
	g->failing_since = 0;
	g->took = now - sent;
	adapt_overdue(g);
	while ((b = oldest(g)) != NULL && b->number <= number) {
		g_queue_pop_head(&g->batches);
		tell(b->waiters, CELL_STORED, now);
		batch_free(b);
	}
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
in_batch(const struct batch *b, const struct cell_job *j)
{
	return g_ptr_array_find(b->jobs, j, NULL);
}

/* Marks what was in the batch anew. */
static void
unmake(struct cell_journal *g, struct batch *b)
{
	GHashTableIter it;
	gpointer k, v;
	guint i;

	g_hash_table_iter_init(&it, b->extra);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		if (!g_hash_table_contains(g->extra, k))
			g_hash_table_insert(
			    g->extra, g_strdup(k), g_bytes_ref(v));
	}
	for (i = 0; i < b->jobs->len; i++) {
		struct cell_job *j = b->jobs->pdata[i];

		j->write_def = j->def != NULL && !j->stored;
		j->drop_def = j->def == NULL;
		if (!j->dirty) {
			j->dirty = true;
			g_ptr_array_add(g->marked, j);
		}
	}
}

/* Adds the jobs that the batch was to store for the first time. */
static void
list_submitted(const struct batch *b, GHashTable *jobs)
{
	guint i;

	for (i = 0; i < b->waiters->len; i++) {
		const struct waiter *w =
		    &g_array_index(b->waiters, struct waiter, i);

		if (w->submit != NULL && in_batch(b, w->submit))
			g_hash_table_add(jobs, w->submit);
	}
}

/* Takes the submissions of the jobs out of all lists, and puts all other
 * waiters, in their order, before those for the next append. */
static void
gather_waiters(struct cell_journal *g, GHashTable *jobs, GArray *refused)
{
	GArray *rest = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	GList *at;

	for (at = g->batches.head; at != NULL; at = at->next) {
		struct batch *b = at->data;

		take_submits(b->waiters, jobs, refused);
		g_array_append_vals(rest, b->waiters->data, b->waiters->len);
	}
	take_submits(g->waiters, jobs, refused);
	g_array_append_vals(rest, g->waiters->data, g->waiters->len);
	g_array_unref(g->waiters);
	g->waiters = rest;
}

/*
 * The store did nothing, each time.  Submissions are taken back and refused;
 * all else is put together anew later, under the same number.  A submission may
 * wait more than once, as entries repeat calls, in a batch and for the next:
 * all are told.  One left over would be told "stored" with a later batch, and
 * a job handed in anew under the same id would count as stored that is not.
 */
static void
all_refused(struct cell_journal *g, ogl_time now)
{
	GArray *refused = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	GHashTable *jobs = g_hash_table_new(NULL, NULL);
	GHashTableIter it;
	gpointer k;
	GList *at;

	g->seq = oldest(g)->seq - 1;
	for (at = g->batches.tail; at != NULL; at = at->prev) {
		unmake(g, at->data);
		list_submitted(at->data, jobs);
	}
	gather_waiters(g, jobs, refused);
	g_queue_clear_full(&g->batches, batch_free);
	g_hash_table_iter_init(&it, jobs);
	while (g_hash_table_iter_next(&it, &k, NULL))
		cell_journal_unmark(g, k);
	g_hash_table_unref(jobs);
	g->urgent_at = now;
	g->retry_at = now + RETRY;
	tell(refused, CELL_NOT_STORED, now);
	g_array_unref(refused);
}

/* None of the batches was taken, nor can be any more. */
static bool
none_can_be_stored(const struct cell_journal *g)
{
	const GList *at;

	for (at = g->batches.head; at != NULL; at = at->next) {
		const struct batch *b = at->data;

		if (b->awaited > 0 || b->uncertain)
			return false;
	}
	return true;
}

static void
batch_failed(struct cell_journal *g, struct batch *b,
    const struct cell_append_answer *a, ogl_time now)
{
	if (g->failing_since == 0)
		g->failing_since = b->sent_at;
	if (a->io == OGL_IO_LOST)
		b->uncertain = true;
	if (b->awaited > 0)
		return;
	b->retry_at = a->io == OGL_IO_LOST ? now : now + RETRY;
	if (none_can_be_stored(g))
		all_refused(g, now);
}

static struct batch *
batch_of(struct cell_journal *g, uint64_t number)
{
	GList *at;

	for (at = g->batches.head; at != NULL; at = at->next) {
		struct batch *b = at->data;

		if (b->number == number)
			return b;
	}
	return NULL;
}

static void
on_appended(void *arg, const struct cell_append_answer *a, ogl_time now)
{
	struct sending *s = arg;
	struct cell_journal *g = s->journal;
	bool current = s->generation == g->generation;
	struct batch *b = current ? batch_of(g, s->number) : NULL;
	ogl_time sent = s->at;

	g_free(s);
	if (!current)
		return;
	if (a->outranked) {
		g->lost(g->arg, now);
		return;
	}
	if (b == NULL)
		return; /* another sending, or a later one, was answered before */
	b->awaited--;
	if (a->io == OGL_IO_OK)
		stored_up_to(g, b, sent, now);
	else
		batch_failed(g, b, a, now);
}

/* When the batch is to be sent, again or for the first time.  One behind others
 * that was refused or lost waits for them: the store takes none before. */
static ogl_time
batch_wake(const struct cell_journal *g, const struct batch *b)
{
	if (b->awaited >= SENDINGS_MAX || (b->awaited == 0 && b != oldest(g)))
		return OGL_NEVER;
	return b->retry_at;
}

/* When the next batch may be sent while others are under way. */
static ogl_time
next_wake(const struct cell_journal *g)
{
	const GList *at;

	if (!CELL_USES_PIPELINE || !g->begun || g->took < SLOW ||
	    g->batches.length >= BATCHES_MAX || g->failing_since != 0)
		return OGL_NEVER;
	for (at = g->batches.head; at != NULL; at = at->next) {
		const struct batch *b = at->data;

		if (b->awaited != 1 || b->uncertain)
			return OGL_NEVER;
	}
	return g->last_sent_at + g->took / BATCHES_MAX;
}

/* When a new batch is to be put together. */
static ogl_time
make_wake(const struct cell_journal *g)
{
	ogl_time due = MIN(g->urgent_at, g->lazy_at);

	if (nothing_marked(g) && g->waiters->len == 0)
		return OGL_NEVER;
	if (g->batches.length > 0)
		return nothing_marked(g) ? OGL_NEVER : MAX(due, next_wake(g));
	if (g->failing_since != 0)
		return MAX(due, g->retry_at);
	return MAX(due, g->last_sent_at + (g->spare ? GAP_SPARE : GAP));
}

ogl_time
cell_journal_wake(const struct cell_journal *g)
{
	ogl_time due;
	const GList *at;

	if (!g->open)
		return OGL_NEVER;
	due = make_wake(g);
	for (at = g->batches.head; at != NULL; at = at->next)
		due = MIN(due, batch_wake(g, at->data));
	return due;
}

static void
send_due(struct cell_journal *g, ogl_time now)
{
	GList *at;

	for (at = g->batches.head; at != NULL; at = at->next) {
		struct batch *b = at->data;

		if (batch_wake(g, b) <= now)
			send_batch(g, b, now);
	}
}

void
cell_journal_step(struct cell_journal *g, ogl_time now)
{
	/* Waiters without anything to write have nothing to wait for. */
	if (g->open && g->batches.length == 0 && nothing_marked(g) &&
	    g->waiters->len > 0)
		tell(g->waiters, CELL_STORED, now);
	if (cell_journal_wake(g) > now)
		return;
	if (make_wake(g) <= now && !nothing_marked(g))
		send_batch(g, make_batch(g, now), now);
	send_due(g, now);
}
