/*
 * Goes in steps:
 *
 *	PREPARING  jobs are read, page by page, while another still owns the
 *		   shard and changes them; only when that one has asked for it
 *	FENCING    the store learns the epoch: no earlier owner writes any more.
 *		   Nobody is served before, and an answer may be lost, so the
 *		   fence is sent again beside the first; once taken, it changes
 *		   nothing a second time
 *	LOADING    jobs are read; nobody else can change them now.  After
 *		   PREPARING only what was written since its first page
 *
 * The store lists keys in order, and a job's key holds its id, which is random.
 * So the part of the keys that the first page covers tells how many pages are
 * left, and these are asked for at once, each for a range of keys of its own.  If
 * a page is out of order, the reading begins anew, one page after the other.
 */

#include <string.h>

#include "job.h"
#include "loader.h"

/* A page without an answer for so long, or several times what the store took, is
 * asked for once more beside the first: the answer may be lost, or the store may
 * be slow, up to 60 times as slow as on other days.  Each such page doubles it. */
#define ASK_OVERDUE_MS 250
#define ASK_TIMES 4
#define ASK_OVERDUE_MAX_MS 4000
#define ASK_TIMEOUT_MS 4000
#define ASKS_MAX 3 /* for one page */
/* A page has up to 1 MB; most have half of that or less. */
#define PAGE_KBITS 4000
/* Pages asked for at a time, on a link of WIDE_KBPS or more. */
#define PAGES_MAX 8
#define WIDE_KBPS 50000
/* Ids are spread unevenly: a range is made smaller than a page would cover. */
#define PAGE_FILL 0.85
#define KEY_DIGITS 8 /* of an id, enough to tell its place among all */
/* A fence without an answer for so long, or several times what the store took,
 * is sent again. */
#define FENCE_OVERDUE_MS 150
#define FENCE_OVERDUE_MAX_MS 2400
#define FENCE_TIMEOUT_MS 2400
#define FENCES_MAX 8
#define RETRY (120 * OGL_MS)
/* What was read beforehand is of use for so long; later too much of it has
 * changed, and it is dropped. */
#define PREPARED_MAX (4 * OGL_SEC)

enum phase {
	PHASE_IDLE,
	PHASE_PREPARING,
	PHASE_FENCING,
	PHASE_LOADING
};

struct cell_loader {
	const struct cell_ops *ops;
	uint32_t shard;
	struct cell_loader_events events;
	enum phase phase;
	uint64_t epoch;
	uint64_t generation;
	bool asking; /* the tail is under way */
	ogl_time ask_at;
	GPtrArray *ranges; /* struct range, those not read to their end */
	uint32_t pages_max;
	uint32_t last_range;
	bool one_by_one; /* the store's keys were found out of order */
	bool end_known;  /* tail_next is set */
	uint32_t fences; /* under way */
	uint32_t fence_overdue_ms;
	uint32_t ask_overdue_min_ms; /* while a page may be on the link */
	uint32_t ask_overdue_ms;
	bool tail; /* read on from tail_next, not the newest pages */
	uint64_t tail_next;
	ogl_time prepared_at; /* 0 not prepared */
	struct cell_loaded read;
};

/* Keys still to be read: those after one, below another. */
struct range {
	uint32_t number;
	char *after;   /* NULL: from the first key on */
	char *until;   /* NULL: to the last */
	uint32_t asks; /* under way */
	ogl_time ask_at;
};

/* Belongs to an exchange with the store. */
struct exchange {
	struct cell_loader *loader;
	uint64_t generation;
	uint32_t range; /* number of a page's range, which may be read by now */
};

static void
range_free(void *p)
{
	struct range *r = p;

	g_free(r->after);
	g_free(r->until);
	g_free(r);
}

static void
add_range(
    struct cell_loader *l, const char *after, const char *until, ogl_time now)
{
	struct range *r = g_new0(struct range, 1);

	r->number = ++l->last_range;
	r->after = g_strdup(after);
	r->until = g_strdup(until);
	r->ask_at = now;
	g_ptr_array_add(l->ranges, r);
}

static struct exchange *
exchange_new(struct cell_loader *l)
{
	struct exchange *x = g_new0(struct exchange, 1);

	x->loader = l;
	x->generation = l->generation;
	return x;
}

/* Frees it; NULL when it belongs to an earlier takeover. */
static struct cell_loader *
exchange_end(struct exchange *x)
{
	struct cell_loader *l =
	    x->generation == x->loader->generation ? x->loader : NULL;

	g_free(x);
	return l;
}

static void
def_free(void *p)
{
	ogl__cell_job__free_unpacked(p, NULL);
}

static void
progress_free(void *p)
{
	ogl__cell_progress__free_unpacked(p, NULL);
}

struct cell_loader *
cell_loader_init(const struct cell_ops *ops, uint32_t shard, uint32_t link_kbps,
    const struct cell_loader_events *events)
{
	struct cell_loader *l = g_new0(struct cell_loader, 1);

	l->ops = ops;
	l->shard = shard;
	l->ask_overdue_min_ms = ASK_OVERDUE_MS;
	if (link_kbps > 0)
		l->ask_overdue_min_ms += PAGE_KBITS * 1000 / link_kbps;
	l->ask_overdue_min_ms = MIN(l->ask_overdue_min_ms, ASK_OVERDUE_MAX_MS);
	l->pages_max = link_kbps == 0 || link_kbps >= WIDE_KBPS ? PAGES_MAX : 1;
	l->ranges = g_ptr_array_new_with_free_func(range_free);
	l->events = *events;
	return l;
}

static void
forget_read(struct cell_loader *l)
{
	g_clear_pointer(&l->read.workers, g_bytes_unref);
	g_clear_pointer(&l->read.progress, g_hash_table_unref);
	g_clear_pointer(&l->read.defs, g_hash_table_unref);
	g_ptr_array_set_size(l->ranges, 0);
	l->tail = false;
	l->end_known = false;
	l->prepared_at = 0;
}

void
cell_loader_end(struct cell_loader *l)
{
	forget_read(l);
	g_ptr_array_unref(l->ranges);
	g_free(l);
}

/* Begins to read the jobs from the first page on.  Pages still under way are of
 * no interest any more. */
static void
begin_reading(struct cell_loader *l, ogl_time now)
{
	forget_read(l);
	l->generation++;
	add_range(l, NULL, NULL, now);
	l->asking = false;
	l->ask_at = now;
	l->read.progress = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, progress_free);
	l->read.defs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, def_free);
}

static uint32_t
ask_overdue(const struct cell_loader *l, ogl_time store_took)
{
	ogl_time ms = store_took / OGL_MS * ASK_TIMES;

	return (uint32_t)CLAMP(ms, l->ask_overdue_min_ms, ASK_OVERDUE_MAX_MS);
}

void
cell_loader_prepare(struct cell_loader *l, ogl_time store_took, ogl_time now)
{
	if (l->phase != PHASE_IDLE)
		return;
	l->phase = PHASE_PREPARING;
	l->generation++;
	l->ask_overdue_ms = ask_overdue(l, store_took);
	begin_reading(l, now);
}

bool
cell_loader_prepared(const struct cell_loader *l, ogl_time now)
{
	return l->phase == PHASE_PREPARING && l->prepared_at != 0 &&
	       now - l->prepared_at < PREPARED_MAX;
}

void
cell_loader_open(
    struct cell_loader *l, uint64_t epoch, ogl_time store_took, ogl_time now)
{
	ogl_time ask_ms = store_took / OGL_MS * ASK_TIMES;
	bool prepared = cell_loader_prepared(l, now);

	l->generation++;
	l->phase = PHASE_FENCING;
	l->epoch = epoch;
	l->asking = false;
	l->ask_at = now;
	l->ask_overdue_ms = ask_overdue(l, store_took);
	l->fences = 0;
	l->fence_overdue_ms =
	    (uint32_t)CLAMP(ask_ms, FENCE_OVERDUE_MS, FENCE_OVERDUE_MAX_MS);
	if (!prepared)
		begin_reading(l, now);
	l->prepared_at = 0;
}

static const char *
phase_name(enum phase p)
{
	static const char *const names[] = {"idle", "prepare", "fence", "load"};

	return names[p];
}

void
cell_loader_close(struct cell_loader *l)
{
	l->phase = PHASE_IDLE;
	l->generation++;
	forget_read(l);
}

static void
log_missed(struct cell_loader *l, enum ogl_io io)
{
	char text[128];

	g_snprintf(text, sizeof text,
	    "shard=%u epoch=%" G_GUINT64_FORMAT
	    " step=%s lost=%d overdue_ms=%u",
	    l->shard, l->epoch, phase_name(l->phase), io == OGL_IO_LOST,
	    l->ask_overdue_ms);
	l->ops->log(l->ops->ctx, "owner", "load_missed", text);
}

static void
back_off(struct cell_loader *l)
{
	l->ask_overdue_ms = MIN(l->ask_overdue_ms * 2, ASK_OVERDUE_MAX_MS);
}

static void
tail_missed(struct cell_loader *l, enum ogl_io io, ogl_time now)
{
	log_missed(l, io);
	l->ask_at = now + RETRY;
	if (io == OGL_IO_LOST)
		back_off(l);
}

/* ---- fencing ---------------------------------------------------------- */

static void
on_fenced(void *arg, const struct cell_append_answer *a, ogl_time now)
{
	struct cell_loader *l = exchange_end(arg);

	if (l == NULL)
		return;
	l->fences--;
	if (a->outranked) {
		l->ask_at = now + RETRY;
		l->events.outranked(l->events.arg, now);
	} else if (a->io != OGL_IO_OK) {
		log_missed(l, a->io);
	} else {
		l->generation++; /* the other fences are of no interest now */
		l->ask_at = now;
		l->phase = PHASE_LOADING;
	}
}

static void
send_fence(struct cell_loader *l, ogl_time now)
{
	struct cell_append a = {.stream = CELL_JOBS,
	    .shard = l->shard,
	    .fenced = true,
	    .epoch = l->epoch,
	    .at = -1,
	    .timeout_ms = FENCE_TIMEOUT_MS};

	if (l->fences >= FENCES_MAX)
		return;
	l->fences++;
	l->ask_at = now + l->fence_overdue_ms * OGL_MS;
	l->ops->append(l->ops->outside, &a, on_fenced, exchange_new(l));
}

/* ---- records ---------------------------------------------------------- */

static void
take_def(struct cell_loader *l, const char *id, struct ogl_str value)
{
	Ogl__CellJob *def =
	    ogl__cell_job__unpack(NULL, value.n, (const uint8_t *)value.p);
	const char *why = "";

	if (def != NULL && strcmp(def->id, id) == 0 &&
	    cell_job_def_valid(def, &why)) {
		g_hash_table_replace(l->read.defs, g_strdup(id), def);
		return;
	}
	l->ops->log(l->ops->ctx, "owner", "record_unreadable", id);
	if (def != NULL)
		ogl__cell_job__free_unpacked(def, NULL);
}

static void
take_progress(struct cell_loader *l, const char *id, struct ogl_str value)
{
	Ogl__CellProgress *p =
	    ogl__cell_progress__unpack(NULL, value.n, (const uint8_t *)value.p);

	if (p == NULL)
		l->ops->log(l->ops->ctx, "owner", "record_unreadable", id);
	else
		g_hash_table_replace(l->read.progress, g_strdup(id), p);
}

static void
take_record(struct cell_loader *l, const struct cell_record *r)
{
	const char *id = r->key + 1;
	bool def = r->key[0] == 's';

	if (strcmp(r->key, CELL_WORKERS_KEY) == 0 && !r->dropped) {
		g_clear_pointer(&l->read.workers, g_bytes_unref);
		l->read.workers = g_bytes_new(r->value.p, r->value.n);
		return;
	}
	if (strlen(r->key) != CELL_ID_LEN + 1)
		return;
	/* Dropped since it was read: the job has ended, or is forgotten. */
	if (r->dropped)
		g_hash_table_remove(def ? l->read.defs : l->read.progress, id);
	else if (def)
		take_def(l, id, r->value);
	else
		take_progress(l, id, r->value);
}

/* ---- pages ------------------------------------------------------------ */

static void
done(struct cell_loader *l, ogl_time now)
{
	l->phase = PHASE_IDLE;
	l->events.loaded(l->events.arg, &l->read, now);
	forget_read(l);
}

static void
all_pages_read(struct cell_loader *l, ogl_time now)
{
	if (l->phase != PHASE_PREPARING) {
		done(l, now);
		return;
	}
	l->prepared_at = now;
	l->tail = true;
}

/* Part of all possible ids that lies below this one, 0 to 1. */
static double
fraction_of_id(const char *id)
{
	char digits[KEY_DIGITS + 1];

	g_strlcpy(digits, id, sizeof digits);
	return (double)g_ascii_strtoull(digits, NULL, 16) / 4294967296.0;
}

/* The same of a bound of the keys with a prefix; otherwise where the bound lies
 * outside of these. */
static double
fraction_of_key(const char *key, char prefix, double otherwise)
{
	if (key == NULL || key[0] != prefix || key[1] == '\0')
		return otherwise;
	return fraction_of_id(key + 1);
}

/* Splits the keys with one prefix that are left into ranges of a page each;
 * covered is the part of all ids that the last page held. */
static void
split_prefix(struct cell_loader *l, const char *after, const char *until,
    double covered, ogl_time now)
{
	char prefix = after[0];
	double from = fraction_of_key(after, prefix, 0);
	double to = fraction_of_key(until, prefix, 1);
	double left = (to - from) / (covered * PAGE_FILL);
	unsigned n = (unsigned)CLAMP(left, 0, PAGES_MAX - 1) + 1;
	char *key = g_strdup(after);
	unsigned i;

	for (i = 1; i <= n; i++) {
		double at = from + (to - from) * i / n;
		char *next = i == n ? g_strdup(until)
				    : g_strdup_printf("%c%08x", prefix,
					  (unsigned)(at * 4294967295.0));

		add_range(l, key, next, now);
		g_free(key);
		key = next;
	}
	g_free(key);
}

/*
 * Splits what is left of a range after a page that ended at a key.  Keys with
 * prefix 'p' (progress) come before those with 's' (what was submitted).
 */
static void
split_range(struct cell_loader *l, const struct range *r, const char *last,
    ogl_time now)
{
	char prefix = last[0];
	double covered = fraction_of_key(last, prefix, 0) -
			 fraction_of_key(r->after, prefix, 0);
	bool into_defs =
	    prefix == 'p' && (r->until == NULL || r->until[0] != 'p');

	if (l->pages_max == 1 || l->one_by_one || covered <= 0 ||
	    (prefix != 'p' && prefix != 's')) {
		add_range(l, last, r->until, now);
		return;
	}
	split_prefix(l, last, into_defs ? "s" : r->until, covered, now);
	if (into_defs)
		add_range(l, "s", r->until, now);
}

/* Whether the keys of a page rise from the one asked for on. */
static bool
in_order(const struct range *r, const struct cell_newest_answer *a)
{
	const char *before = r->after;
	size_t i;

	for (i = 0; i < a->n; i++) {
		const char *key = a->records[i].key;

		if (before != NULL && strcmp(key, before) <= 0)
			return false;
		before = key;
	}
	return true;
}

/* The records of a page that lie in its range; whether that is read to its
 * end. */
static bool
take_page(struct cell_loader *l, const struct range *r,
    const struct cell_newest_answer *a)
{
	size_t i;

	for (i = 0; i < a->n; i++) {
		const struct cell_record *record = &a->records[i];

		if (r->until != NULL && strcmp(record->key, r->until) > 0)
			return true;
		take_record(l, record);
	}
	return !a->more || a->n == 0;
}

/* What changes while the pages are read is read once more after them. */
static void
note_end(struct cell_loader *l, uint64_t end)
{
	l->tail_next = l->end_known ? MIN(l->tail_next, end) : end;
	l->end_known = true;
}

static struct range *
range_of(const struct cell_loader *l, uint32_t number)
{
	guint i;

	for (i = 0; i < l->ranges->len; i++) {
		struct range *r = l->ranges->pdata[i];

		if (r->number == number)
			return r;
	}
	return NULL;
}

static void
page_missed(
    struct cell_loader *l, struct range *r, enum ogl_io io, ogl_time now)
{
	log_missed(l, io);
	if (r->asks == 0)
		r->ask_at = now + RETRY;
}

static void
on_page(void *arg, const struct cell_newest_answer *a, ogl_time now)
{
	uint32_t number = ((struct exchange *)arg)->range;
	struct cell_loader *l = exchange_end(arg);
	struct range *r = l != NULL ? range_of(l, number) : NULL;

	if (r == NULL)
		return;
	r->asks--;
	if (a->io != OGL_IO_OK) {
		page_missed(l, r, a->io, now);
		return;
	}
	if (!l->one_by_one && !in_order(r, a)) {
		l->ops->log(l->ops->ctx, "owner", "load_out_of_order",
		    r->after != NULL ? r->after : "");
		l->one_by_one = true;
		begin_reading(l, now);
		return;
	}
	l->ask_at = now;
	note_end(l, a->end);
	if (!take_page(l, r, a))
		split_range(l, r, a->records[a->n - 1].key, now);
	g_ptr_array_remove(l->ranges, r);
	if (l->ranges->len == 0)
		all_pages_read(l, now);
}

/* What was written after the first page of PREPARING. */
static void
on_tail(void *arg, const struct cell_read_answer *a, ogl_time now)
{
	struct cell_loader *l = exchange_end(arg);
	size_t i;

	if (l == NULL)
		return;
	l->asking = false;
	if (a->io != OGL_IO_OK) {
		tail_missed(l, a->io, now);
		return;
	}
	l->ask_at = now;
	if (a->trimmed) {
		begin_reading(l, now);
		return;
	}
	for (i = 0; i < a->n; i++) {
		take_record(l, &a->records[i]);
		l->tail_next = a->records[i].offset + 1;
	}
	if (l->tail_next >= a->end)
		done(l, now);
	else if (a->n == 0)
		l->tail_next = a->end; /* unreadable to its end */
}

static void
read_tail(struct cell_loader *l)
{
	struct cell_read r = {.stream = CELL_JOBS,
	    .shard = l->shard,
	    .from = l->tail_next,
	    .timeout_ms = l->ask_overdue_ms};

	l->asking = true;
	l->ops->read(l->ops->outside, &r, on_tail, exchange_new(l));
}

static void
read_page(struct cell_loader *l, struct range *r, ogl_time now)
{
	struct cell_newest q = {.stream = CELL_JOBS,
	    .shard = l->shard,
	    .after = r->after,
	    .timeout_ms = ASK_TIMEOUT_MS};
	struct exchange *x = exchange_new(l);

	if (r->asks > 0)
		back_off(l);
	x->range = r->number;
	r->asks++;
	r->ask_at = now + l->ask_overdue_ms * OGL_MS;
	l->ops->newest(l->ops->outside, &q, on_page, x);
}

static void
read_pages(struct cell_loader *l, ogl_time now)
{
	guint i;

	for (i = 0; i < l->ranges->len && i < l->pages_max; i++) {
		struct range *r = l->ranges->pdata[i];

		if (r->asks < ASKS_MAX && now >= r->ask_at)
			read_page(l, r, now);
	}
}

void
cell_loader_step(struct cell_loader *l, ogl_time now)
{
	bool waits = l->phase == PHASE_PREPARING && l->prepared_at != 0;

	if (waits && now - l->prepared_at > PREPARED_MAX)
		cell_loader_close(l);
	if (l->phase == PHASE_IDLE || waits)
		return;
	if (l->phase != PHASE_FENCING && !l->tail) {
		read_pages(l, now);
		return;
	}
	if (l->asking || now < l->ask_at)
		return;
	if (l->phase == PHASE_FENCING)
		send_fence(l, now);
	else
		read_tail(l);
}
