/*
 * Writes the owner's changed jobs to the store in batches.  Each batch is one
 * append.
 *
 * Everything marked while an append is in flight goes into the next one.  The
 * appends of an epoch are numbered, and the store accepts them only in that
 * order.  An append whose answer is lost may have been stored or may still be
 * stored later.  It is sent again unchanged, under its number, until the store
 * answers; the number makes it take effect only once.  Only an append that the
 * store refused each time it was sent is known not to be stored, and only then
 * can the submissions in it be refused.
 *
 * An overdue answer may be lost or only slow: the store's latency can rise
 * sixtyfold from one moment to the next.  So the append is sent again while the
 * first answer is still awaited, and the first one to arrive counts.  The
 * store's latency is measured from the attempt that was answered.  If it were
 * measured from the first attempt, each lost answer would look like a slow
 * store and delay the next retry.
 *
 * While the store is fast, one append is in flight at a time.  While it is
 * slow, the next append is sent before the last one is answered; otherwise a
 * call would wait for the rest of one append and all of its own.  The answer to
 * a later append shows that the earlier ones were stored, too.
 */

#include <string.h>

#include "ablate.h"
#include "journal.h"

/* Minimum time between two appends.  Each append costs a fee and occupies the
 * partition for 2 ms, while 15 ms are not noticeable to a caller against an
 * objective of 250 ms. */
#define APPEND_INTERVAL (15 * OGL_MS)
#define APPEND_INTERVAL_SLOW_LINK (45 * OGL_MS)
/* Changes that no caller waits for are written within this time. */
#define LAZY_WRITE_DELAY (250 * OGL_MS)
/* Bounds of the time after which a missing answer is overdue. */
#define OVERDUE_MIN_MS 50
#define OVERDUE_MAX_MS 2400
/* On a slow link an answer queues behind other bytes, and each retry makes the
 * queue longer. */
#define OVERDUE_MIN_SLOW_LINK_MS 300
/* An attempt without an answer for this long is lost. */
#define ATTEMPT_TIMEOUT_MS 2400
/* Attempts of one append that may be without an answer at the same time. */
#define ATTEMPTS_IN_FLIGHT_MAX 8
/* After this many attempts at equal intervals, each interval is twice the last.
 * Without the backoff, a store that is down would get all attempts at once and,
 * when it is back, none until the first has timed out. */
#define ATTEMPTS_BEFORE_BACKOFF 3
#define BACKOFF_MAX_MS 600
/* Appends in flight at a time to a slow store. */
#define BATCHES_IN_FLIGHT_MAX 3
/* Latency from which a store counts as slow. */
#define SLOW_STORE_LATENCY (60 * OGL_MS)
#define REFUSED_RETRY_DELAY (100 * OGL_MS)
/* After failing for this long, new submissions are refused instead of
 * waiting. */
#define FAILING_TIMEOUT (400 * OGL_MS)
/* A store that is slow but accepts everything is not failing: an append may
 * take this multiple of the time that the last one took. */
#define FAILING_FACTOR 2
/* No job is added to a batch of this size or more, a quarter of the store's
 * limit. */
#define BATCH_FULL_BYTES (CELL_APPEND_MAX_BYTES / 4)
/* The parts of a split progress are added up to this size.  A batch that is not
 * full may still grow by the submission, the rest of the progress and the other
 * records, each of at most a record's size. */
#define BATCH_ROOM_BYTES (CELL_APPEND_MAX_BYTES * 5 / 8)

struct waiter {
	cell_stored_fn *fn;
	void *arg;
	uint64_t tag;
	struct cell_job *submitted; /* job submitted with it, or NULL */
};

/* One append. */
struct batch {
	uint64_t id;     /* unique in the journal; a seq may be used again */
	uint64_t seq;    /* number of the append in its epoch */
	GArray *puts;    /* struct cell_put */
	GPtrArray *jobs; /* struct cell_job */
	GArray *waiters; /* struct waiter */
	GHashTable *other_records; /* key -> GBytes */
	uint32_t attempts;
	uint32_t in_flight; /* attempts without an answer yet */
	bool may_be_stored; /* an attempt whose answer was lost may be stored */
	ogl_time retry_at;  /* time of the next attempt */
	ogl_time sent_at;   /* first attempt; 0 not yet */
};

struct cell_journal {
	const struct cell_ops *ops;
	uint32_t shard;
	void (*lost)(void *arg, ogl_time now);
	void *arg;
	bool open;
	uint64_t epoch;
	/* Raised by each open and close; an answer to an attempt of an earlier
	 * generation is ignored. */
	uint64_t generation;
	uint64_t last_seq; /* seq of the last batch */
	uint64_t last_id;  /* id of the last batch */
	/* An append of the epoch was stored, so the store knows the first seq
	 * and accepts later appends only in order. */
	bool epoch_accepted;
	uint32_t overdue_ms;
	bool slow_link;
	ogl_time last_latency; /* latency of the last answered attempt */
	ogl_time last_sent_at;
	ogl_time failing_since; /* 0 if the last append was stored */
	ogl_time retry_at; /* while failing, no new batch before this time */
	GPtrArray *marked; /* struct cell_job, for the next append */
	GHashTable *other_records; /* key -> GBytes, for the next append */
	GArray *waiters;           /* struct waiter, for the next append */
	/* When changes are to be written that a caller waits for, and those
	 * that none waits for; OGL_NEVER if there are none. */
	ogl_time urgent_at;
	ogl_time lazy_at;
	GQueue batches; /* struct batch, not known to be stored, oldest first */
};

/* Context of one attempt to send a batch, to match its answer. */
struct attempt {
	struct cell_journal *journal;
	uint64_t generation;
	uint64_t batch_id;
	ogl_time sent_at;
};

static void
clear_put(void *p)
{
	struct cell_put *u = p;

	g_free(u->key);
	if (u->value != NULL)
		g_bytes_unref(u->value);
}

static GHashTable *
record_table_new(void)
{
	return g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
}

static struct batch *
batch_new(void)
{
	struct batch *b = g_new0(struct batch, 1);

	b->puts = g_array_new(FALSE, FALSE, sizeof(struct cell_put));
	g_array_set_clear_func(b->puts, clear_put);
	b->jobs = g_ptr_array_new();
	b->waiters = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	b->other_records = record_table_new();
	return b;
}

static void
batch_free(void *p)
{
	struct batch *b = p;

	g_array_unref(b->puts);
	g_ptr_array_unref(b->jobs);
	g_array_unref(b->waiters);
	g_hash_table_unref(b->other_records);
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
	g->other_records = record_table_new();
	g->waiters = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	g_queue_init(&g->batches);
	g->urgent_at = OGL_NEVER;
	g->lazy_at = OGL_NEVER;
	return g;
}

/* Time after which an answer is overdue: several times the store's latency, so
 * that a slow answer does not count as lost. */
static uint32_t
overdue_ms_for(const struct cell_journal *g, ogl_time took)
{
	ogl_time ms = took / OGL_MS * 4;

	return (uint32_t)CLAMP(ms,
	    g->slow_link ? OVERDUE_MIN_SLOW_LINK_MS : OVERDUE_MIN_MS,
	    OVERDUE_MAX_MS);
}

void
cell_journal_set_slow_link(struct cell_journal *g, bool slow_link)
{
	if (slow_link == g->slow_link)
		return;
	g->slow_link = slow_link;
	g->overdue_ms = overdue_ms_for(g, g->last_latency);
}

void
cell_journal_end(struct cell_journal *g)
{
	g_ptr_array_unref(g->marked);
	g_hash_table_unref(g->other_records);
	g_array_unref(g->waiters);
	g_queue_clear_full(&g->batches, batch_free);
	g_free(g);
}

static void
clear_pending(struct cell_journal *g)
{
	g_ptr_array_set_size(g->marked, 0);
	g_hash_table_remove_all(g->other_records);
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
	g->epoch_accepted = false;
	g->epoch = epoch;
	g->last_seq = 0;
	g->overdue_ms = overdue_ms_for(g, store_took);
	g->last_latency = store_took;
	g->generation++;
}

static void
notify_waiters(GArray *waiters, enum cell_store_result result, ogl_time now)
{
	GArray *copy = g_array_sized_new(
	    FALSE, FALSE, sizeof(struct waiter), waiters->len);
	guint i;

	/* Copied, because a callback may add another waiter. */
	g_array_append_vals(copy, waiters->data, waiters->len);
	g_array_set_size(waiters, 0);
	for (i = 0; i < copy->len; i++) {
		struct waiter *w = &g_array_index(copy, struct waiter, i);

		w->fn(w->arg, w->tag, result, now);
	}
	g_array_unref(copy);
}

void
cell_journal_close(struct cell_journal *g, ogl_time now)
{
	GList *item;

	if (!g->open)
		return;
	g->open = false;
	g->generation++;
	for (item = g->batches.head; item != NULL; item = item->next)
		notify_waiters(((struct batch *)item->data)->waiters,
		    CELL_STORE_UNKNOWN, now);
	notify_waiters(g->waiters, CELL_STORE_UNKNOWN, now);
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
		g->lazy_at = now + LAZY_WRITE_DELAY;
}

bool
cell_journal_put(
    struct cell_journal *g, const char *key, GBytes *value, ogl_time now)
{
	size_t bytes =
	    CELL_KEY_LEN_BYTES + strlen(key) + g_bytes_get_size(value);

	if (g->open && bytes <= CELL_RECORD_MAX_BYTES) {
		g_hash_table_replace(g->other_records, g_strdup(key), value);
		g->urgent_at = MIN(g->urgent_at, now);
		return true;
	}
	if (g->open)
		g->ops->count(g->ops->ctx, "records_too_large", 1);
	g_bytes_unref(value);
	return false;
}

/* Clears the job in all its submissions; it may have several before it is
 * stored. */
static void
clear_submitted(GArray *waiters, const struct cell_job *j)
{
	guint i;

	for (i = 0; i < waiters->len; i++) {
		struct waiter *w = &g_array_index(waiters, struct waiter, i);

		if (w->submitted == j)
			w->submitted = NULL;
	}
}

void
cell_journal_unmark(struct cell_journal *g, struct cell_job *j)
{
	GList *item;

	if (j->dirty)
		g_ptr_array_remove(g->marked, j);
	j->dirty = false;
	clear_submitted(g->waiters, j);
	for (item = g->batches.head; item != NULL; item = item->next) {
		struct batch *b = item->data;

		g_ptr_array_remove(b->jobs, j);
		clear_submitted(b->waiters, j);
	}
}

void
cell_journal_notify(
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
oldest_batch(const struct cell_journal *g)
{
	const GList *head = g->batches.head;

	return head != NULL ? head->data : NULL;
}

static bool
nothing_marked(const struct cell_journal *g)
{
	return g->marked->len == 0 && g_hash_table_size(g->other_records) == 0;
}

bool
cell_journal_failing(const struct cell_journal *g, ogl_time now)
{
	const struct batch *b = oldest_batch(g);

	/* With nothing to write no append can show that the store has
	 * recovered.  The next submission is the one that tries. */
	if (b == NULL && nothing_marked(g))
		return false;
	if (g->failing_since != 0 && now - g->failing_since > FAILING_TIMEOUT)
		return true;
	return b != NULL && b->in_flight > 0 &&
	       now - b->sent_at >
		   MAX(FAILING_TIMEOUT, FAILING_FACTOR * g->last_latency);
}

bool
cell_journal_idle(const struct cell_journal *g)
{
	return g->batches.length == 0 && nothing_marked(g) &&
	       g->waiters->len == 0;
}

/* ---- building a batch ------------------------------------------------- */

static void
put_def(struct batch *b, const struct cell_job *j, GBytes *value, size_t *bytes)
{
	struct cell_put u = {g_strdup_printf("s%s", j->id), value};

	*bytes += cell_put_bytes(&u);
	g_array_append_val(b->puts, u);
}

/* Adds the size of the records to bytes.  Returns false if some records of the
 * job are left for the next batch. */
static bool
add_job(struct batch *b, struct cell_job *j, size_t *bytes)
{
	bool complete = true;

	if (j->drop_records)
		return cell_job_drop_progress(
		    j, b->puts, bytes, BATCH_ROOM_BYTES);
	if (j->write_def && j->def != NULL)
		put_def(b, j, cell_job_pack_def(j), bytes);
	if (!j->write_def || j->begun || cell_job_state_ended(j->state))
		complete = cell_job_write_progress(
		    j, b->puts, bytes, BATCH_ROOM_BYTES);
	if (j->drop_def)
		put_def(b, j, NULL, bytes);
	j->write_def = false;
	j->drop_def = false;
	return complete;
}

/*
 * Jobs beyond the size limit of a batch wait for the next one.  All waiters
 * then wait for it too, because each is told only when everything marked before
 * it is stored.
 */
static struct batch *
make_batch(struct cell_journal *g, ogl_time now)
{
	struct batch *b = batch_new();
	size_t bytes = 0;
	GHashTableIter it;
	gpointer k, v;
	guint i;

	g_hash_table_iter_init(&it, g->other_records);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		struct cell_put u = {g_strdup(k), g_bytes_ref(v)};

		g_array_append_val(b->puts, u);
		g_hash_table_replace(
		    b->other_records, g_strdup(k), g_bytes_ref(v));
	}
	g_hash_table_remove_all(g->other_records);
	for (i = 0; i < g->marked->len && bytes < BATCH_FULL_BYTES; i++) {
		struct cell_job *j = g->marked->pdata[i];

		g_ptr_array_add(b->jobs, j);
		if (!add_job(b, j, &bytes))
			break;
		j->dirty = false;
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
	b->seq = ++g->last_seq;
	b->id = ++g->last_id;
	g_queue_push_tail(&g->batches, b);
	return b;
}

/* ---- sending ---------------------------------------------------------- */

static void on_appended(
    void *arg, const struct cell_append_answer *a, ogl_time now);

static ogl_time
retry_delay_ms(const struct cell_journal *g, const struct batch *b)
{
	ogl_time max_ms = MAX(g->overdue_ms, BACKOFF_MAX_MS);
	uint32_t doublings =
	    b->attempts - MIN(b->attempts, ATTEMPTS_BEFORE_BACKOFF);

	return MIN(
	    (ogl_time)g->overdue_ms << MIN(doublings, ATTEMPTS_IN_FLIGHT_MAX),
	    max_ms);
}

/* Counts the bytes by kind of record: job, progress or workers, as shown by the
 * first letter of the key. */
static void
count_bytes(struct cell_journal *g, const struct batch *b)
{
	guint i;

	for (i = 0; i < b->puts->len; i++) {
		const struct cell_put *u =
		    &g_array_index(b->puts, struct cell_put, i);
		const char *counter = *u->key == 's'   ? "store_bytes_jobs"
				      : *u->key == 'p' ? "store_bytes_progress"
						       : "store_bytes_workers";

		if (u->value != NULL)
			g->ops->count(
			    g->ops->ctx, counter, g_bytes_get_size(u->value));
	}
}

static void
send_batch(struct cell_journal *g, struct batch *b, ogl_time now)
{
	struct attempt *context = g_new(struct attempt, 1);
	struct cell_append a = {
	    .stream = CELL_JOBS,
	    .shard = g->shard,
	    .fenced = true,
	    .epoch = g->epoch,
	    .seq = b->seq,
	    .expected_end = -1,
	    .puts = (const struct cell_put *)(void *)b->puts->data,
	    .nputs = b->puts->len,
	    .timeout_ms = ATTEMPT_TIMEOUT_MS,
	};

	context->journal = g;
	context->generation = g->generation;
	context->batch_id = b->id;
	context->sent_at = now;
	count_bytes(g, b);
	g->ops->count(g->ops->ctx, "store_appends", 1);
	b->attempts++;
	b->in_flight++;
	b->retry_at = now + retry_delay_ms(g, b) * OGL_MS;
	g->last_sent_at = now;
	g->ops->append(g->ops->backend_ctx, &a, on_appended, context);
}

/* Adapts overdue_ms to the latency of the last answer.  It rises at once, and
 * falls by at most a quarter with each answer. */
static void
adapt_overdue_ms(struct cell_journal *g)
{
	uint32_t lowered = g->overdue_ms - g->overdue_ms / 4;

	g->overdue_ms = MAX(overdue_ms_for(g, g->last_latency), lowered);
}

static void
log_repeated(struct cell_journal *g, const struct batch *b, ogl_time now)
{
	char text[128];

	g_snprintf(text, sizeof text,
	    "shard=%u epoch=%" G_GUINT64_FORMAT " seq=%" G_GUINT64_FORMAT
	    " sendings=%u took_ms=%" G_GINT64_FORMAT " overdue_ms=%u",
	    g->shard, g->epoch, b->seq, b->attempts,
	    (now - b->sent_at) / OGL_MS, g->overdue_ms);
	g->ops->log(g->ops->ctx, "journal", "append_repeated", text);
}

/* Moves the submissions of these jobs from one list of waiters to another. */
static void
move_submissions(GArray *from, GHashTable *jobs, GArray *to)
{
	guint i = 0;

	while (i < from->len) {
		struct waiter *w = &g_array_index(from, struct waiter, i);

		if (w->submitted == NULL ||
		    !g_hash_table_contains(jobs, w->submitted)) {
			i++;
			continue;
		}
		g_array_append_val(to, *w);
		g_array_remove_index(from, i);
	}
}

/*
 * Tells the submissions of the batch's jobs that wait for later appends.  A job
 * is submitted again until its caller is answered, and all submissions are of
 * one job: the first append with it decides about all of them.  If one waited
 * for a later append, the refusal of that append would refuse a stored job.
 */
static void
notify_later_submissions(
    struct cell_journal *g, const struct batch *b, ogl_time now)
{
	GArray *stored = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	GHashTable *jobs = g_hash_table_new(NULL, NULL);
	GList *item;
	guint i;

	for (i = 0; i < b->jobs->len; i++)
		g_hash_table_add(jobs, b->jobs->pdata[i]);
	for (item = g->batches.head; item != NULL; item = item->next)
		move_submissions(
		    ((struct batch *)item->data)->waiters, jobs, stored);
	move_submissions(g->waiters, jobs, stored);
	notify_waiters(stored, CELL_STORED, now);
	g_hash_table_unref(jobs);
	g_array_unref(stored);
}

/* Removes the batch and all before it, as the store has confirmed them with the
 * answer to the attempt sent at sent_at. */
static void
complete_up_to(struct cell_journal *g, const struct batch *last,
    ogl_time sent_at, ogl_time now)
{
	uint64_t last_id = last->id;
	struct batch *b;

	if (last->attempts > 1)
		log_repeated(g, last, now);
	g->epoch_accepted = true;
	g->failing_since = 0;
	g->last_latency = now - sent_at;
	adapt_overdue_ms(g);
	while ((b = oldest_batch(g)) != NULL && b->id <= last_id) {
		g_queue_pop_head(&g->batches);
		notify_waiters(b->waiters, CELL_STORED, now);
		notify_later_submissions(g, b, now);
		batch_free(b);
	}
}

/* The parts in the batch have to be written or deleted again. */
static void
forget_parts(const struct batch *b)
{
	GHashTable *jobs = g_hash_table_new(g_str_hash, g_str_equal);
	char id[CELL_ID_LEN + 1];
	uint64_t number;
	guint i;

	for (i = 0; i < b->jobs->len; i++) {
		struct cell_job *j = b->jobs->pdata[i];

		if (j->parts != NULL)
			g_hash_table_insert(jobs, j->id, j);
	}
	for (i = 0; g_hash_table_size(jobs) > 0 && i < b->puts->len; i++) {
		const struct cell_put *u =
		    &g_array_index(b->puts, struct cell_put, i);
		struct cell_job *j = NULL;

		if (cell_job_part_key_parse(u->key, id, &number))
			j = g_hash_table_lookup(jobs, id);
		if (j != NULL)
			cell_job_forget_part(j, number);
	}
	g_hash_table_unref(jobs);
}

/* Marks the contents of the batch again. */
static void
requeue_batch(struct cell_journal *g, struct batch *b)
{
	GHashTableIter it;
	gpointer k, v;
	guint i;

	forget_parts(b);
	g_hash_table_iter_init(&it, b->other_records);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		if (!g_hash_table_contains(g->other_records, k))
			g_hash_table_insert(
			    g->other_records, g_strdup(k), g_bytes_ref(v));
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

/* Adds the jobs that the batch's waiters have submitted.  None of them is stored
 * yet, and each is in this batch or an earlier one. */
static void
add_submitted_jobs(const struct batch *b, GHashTable *jobs)
{
	guint i;

	for (i = 0; i < b->waiters->len; i++) {
		const struct waiter *w =
		    &g_array_index(b->waiters, struct waiter, i);

		if (w->submitted != NULL)
			g_hash_table_add(jobs, w->submitted);
	}
}

/* Moves the submissions of these jobs from all lists to refused.  All other
 * waiters go, in their order, to the list for the next append. */
static void
gather_waiters(struct cell_journal *g, GHashTable *jobs, GArray *refused)
{
	GArray *rest = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	GList *item;

	for (item = g->batches.head; item != NULL; item = item->next) {
		struct batch *b = item->data;

		move_submissions(b->waiters, jobs, refused);
		g_array_append_vals(rest, b->waiters->data, b->waiters->len);
	}
	move_submissions(g->waiters, jobs, refused);
	g_array_append_vals(rest, g->waiters->data, g->waiters->len);
	g_array_unref(g->waiters);
	g->waiters = rest;
}

/*
 * Takes back all batches after the store has refused every attempt.  The
 * submissions are unmarked and refused; everything else goes into new batches,
 * whose seq starts with that of the oldest one.  Since the nodes that take
 * calls repeat them, one job may have several submissions, both in a batch and
 * for the next one.  All of them are told.  A submission that was left out
 * would get CELL_STORED with a later batch, and a job submitted again under the
 * same id would count as stored although it is not.  A submitted job that was
 * cancelled meanwhile stays marked: its cancel has a caller, too.
 */
static void
take_back_batches(struct cell_journal *g, ogl_time now)
{
	GArray *refused = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	GHashTable *jobs = g_hash_table_new(NULL, NULL);
	GHashTableIter it;
	gpointer k;
	GList *item;

	g->last_seq = oldest_batch(g)->seq - 1;
	for (item = g->batches.tail; item != NULL; item = item->prev) {
		requeue_batch(g, item->data);
		add_submitted_jobs(item->data, jobs);
	}
	gather_waiters(g, jobs, refused);
	g_queue_clear_full(&g->batches, batch_free);
	g_hash_table_iter_init(&it, jobs);
	while (g_hash_table_iter_next(&it, &k, NULL)) {
		if (!cell_job_state_ended(((struct cell_job *)k)->state))
			cell_journal_unmark(g, k);
	}
	g_hash_table_unref(jobs);
	g->urgent_at = now;
	g->retry_at = now + REFUSED_RETRY_DELAY;
	notify_waiters(refused, CELL_NOT_STORED, now);
	g_array_unref(refused);
}

/* Whether all attempts were refused, so that no batch can still be stored. */
static bool
none_can_be_stored(const struct cell_journal *g)
{
	const GList *item;

	for (item = g->batches.head; item != NULL; item = item->next) {
		const struct batch *b = item->data;

		if (b->in_flight > 0 || b->may_be_stored)
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
		b->may_be_stored = true;
	if (b->in_flight > 0)
		return;
	b->retry_at = a->io == OGL_IO_LOST ? now : now + REFUSED_RETRY_DELAY;
	if (none_can_be_stored(g))
		take_back_batches(g, now);
}

static struct batch *
find_batch(struct cell_journal *g, uint64_t id)
{
	GList *item;

	for (item = g->batches.head; item != NULL; item = item->next) {
		struct batch *b = item->data;

		if (b->id == id)
			return b;
	}
	return NULL;
}

static void
on_appended(void *arg, const struct cell_append_answer *a, ogl_time now)
{
	struct attempt *context = arg;
	struct cell_journal *g = context->journal;
	bool current = context->generation == g->generation;
	struct batch *b = current ? find_batch(g, context->batch_id) : NULL;
	ogl_time sent_at = context->sent_at;

	g_free(context);
	if (!current)
		return;
	if (a->outranked) {
		g->lost(g->arg, now);
		return;
	}
	if (b == NULL)
		return; /* already stored, by the answer to another attempt */
	b->in_flight--;
	if (a->io == OGL_IO_OK)
		complete_up_to(g, b, sent_at, now);
	else
		batch_failed(g, b, a, now);
}

/* When to send the batch again.  A refused or lost batch behind others waits
 * for them, because the store accepts batches only in order. */
static ogl_time
batch_wake(const struct cell_journal *g, const struct batch *b)
{
	if (b->in_flight >= ATTEMPTS_IN_FLIGHT_MAX ||
	    (b->in_flight == 0 && b != oldest_batch(g)))
		return OGL_NEVER;
	return b->retry_at;
}

/* When another batch may be sent while others are in flight. */
static ogl_time
pipeline_wake(const struct cell_journal *g)
{
	const GList *item;

	if (!CELL_USES_PIPELINE || !g->epoch_accepted ||
	    g->last_latency < SLOW_STORE_LATENCY ||
	    g->batches.length >= BATCHES_IN_FLIGHT_MAX || g->failing_since != 0)
		return OGL_NEVER;
	for (item = g->batches.head; item != NULL; item = item->next) {
		const struct batch *b = item->data;

		if (b->in_flight != 1 || b->may_be_stored)
			return OGL_NEVER;
	}
	return g->last_sent_at + g->last_latency / BATCHES_IN_FLIGHT_MAX;
}

/* When the next batch is to be built. */
static ogl_time
new_batch_wake(const struct cell_journal *g)
{
	ogl_time due = MIN(g->urgent_at, g->lazy_at);

	if (nothing_marked(g) && g->waiters->len == 0)
		return OGL_NEVER;
	if (g->batches.length > 0)
		return nothing_marked(g) ? OGL_NEVER
					 : MAX(due, pipeline_wake(g));
	if (g->failing_since != 0)
		return MAX(due, g->retry_at);
	return MAX(due,
	    g->last_sent_at +
		(g->slow_link ? APPEND_INTERVAL_SLOW_LINK : APPEND_INTERVAL));
}

ogl_time
cell_journal_wake(const struct cell_journal *g)
{
	ogl_time due;
	const GList *item;

	if (!g->open)
		return OGL_NEVER;
	due = new_batch_wake(g);
	for (item = g->batches.head; item != NULL; item = item->next)
		due = MIN(due, batch_wake(g, item->data));
	return due;
}

static void
send_due(struct cell_journal *g, ogl_time now)
{
	GList *item;

	for (item = g->batches.head; item != NULL; item = item->next) {
		struct batch *b = item->data;

		if (batch_wake(g, b) <= now)
			send_batch(g, b, now);
	}
}

void
cell_journal_step(struct cell_journal *g, ogl_time now)
{
	/* If nothing is to be written, waiters are told at once. */
	if (g->open && g->batches.length == 0 && nothing_marked(g) &&
	    g->waiters->len > 0)
		notify_waiters(g->waiters, CELL_STORED, now);
	if (cell_journal_wake(g) > now)
		return;
	if (new_batch_wake(g) <= now && !nothing_marked(g))
		send_batch(g, make_batch(g, now), now);
	send_due(g, now);
}
