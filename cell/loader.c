/*
 * Reads a shard's jobs from the store for a new owner, and fences off the
 * earlier owner.
 *
 * Phases of a takeover:
 *
 *	PREPARING  jobs are read, page by page, while another node still owns
 *		   the shard and changes them.  Entered only when that owner
 *		   asks for it
 *	FENCING    the store is told the epoch, after which no earlier owner
 *		   can write.  Callers are not served until this is done, so
 *		   a fence whose answer is overdue, and may be lost, is sent
 *		   again while the first is pending.  A repeated fence changes
 *		   nothing
 *	LOADING    jobs are read; no other node can change them now.  After
 *		   PREPARING, only the tail is read: the records written
 *		   since the first page of PREPARING
 *
 * The store lists keys in order, and a job's key contains its id, which is
 * random.  So the fraction of the key space that the first page covers tells
 * how many pages are left.  These are requested in parallel, each for its own
 * range of keys.  If a page is not sorted, reading starts again, one page
 * after the other.
 */

#include <string.h>

#include "job.h"
#include "loader.h"

/* A page is requested again, while the first request is pending, if no answer
 * arrives within the longer of this time and OVERDUE_FACTOR times the store's
 * last response time.  The answer may be lost, or the store may be up to 60
 * times slower than usual.  Each repetition doubles the time to the next. */
#define PAGE_OVERDUE_MIN_MS 250
#define OVERDUE_FACTOR 4
#define PAGE_OVERDUE_MAX_MS 4000
#define PAGE_TIMEOUT_MS 4000
/* Maximum number of pending requests for one page. */
#define PAGE_REQUESTS_MAX 3
/* A page has up to 1 MB, but most have half of that or less. */
#define PAGE_TYPICAL_KBITS 4000
/* Maximum number of pages requested at a time on a link of at least
 * FAST_LINK_KBPS.  On a slower link only one page is requested at a time. */
#define PARALLEL_PAGES_MAX 8
#define FAST_LINK_KBPS 50000
/* Size of a range of keys, relative to the range that an average page covers.
 * It is below 1 because ids are not spread evenly. */
#define RANGE_PER_PAGE 0.85
/* Number of leading digits of an id from which its position in the id space is
 * computed. */
#define ID_PREFIX_DIGITS 8
/* A fence is sent again if no answer arrives within the longer of this time and
 * OVERDUE_FACTOR times the store's last response time. */
#define FENCE_OVERDUE_MIN_MS 150
#define FENCE_OVERDUE_MAX_MS 2400
#define FENCE_TIMEOUT_MS 2400
#define PENDING_FENCES_MAX 8
#define RETRY_DELAY (120 * OGL_MS)
/* Jobs read in PREPARING are dropped after this time, because too many have
 * changed since. */
#define PREPARED_MAX_AGE (4 * OGL_SEC)

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
	/* Answers to requests of an earlier generation are ignored. */
	uint64_t generation;
	bool tail_pending;        /* a request for the tail is pending */
	ogl_time next_request_at; /* next fence or request for the tail */
	GPtrArray *ranges;        /* struct range, not completely read */
	uint32_t parallel_pages_max;
	uint32_t last_range_number;
	bool sequential; /* one page at a time, as a page was not sorted */
	bool tail_offset_known;
	uint32_t fences_pending;
	uint32_t fence_overdue_ms;
	uint32_t page_overdue_min_ms; /* includes the transfer time of a page */
	uint32_t page_overdue_ms;
	/* All pages were read in PREPARING; the tail, which is the records
	 * written meanwhile, is read next. */
	bool reading_tail;
	uint64_t tail_offset;       /* first offset of the tail not read yet */
	ogl_time prepared_at;       /* when all pages were read; 0 not yet */
	struct cell_loaded records; /* read so far */
	GHashTable *parts; /* key -> Ogl__CellProgress, of split progress */
	/* Set of the keys of records that can't be read. */
	GHashTable *unreadable_keys;
};

/* A range of keys still to be read. */
struct range {
	uint32_t number;
	char *after; /* exclusive; NULL: from the first key */
	char *until; /* inclusive; NULL: to the last key */
	uint32_t requests_pending;
	ogl_time next_request_at;
};

/* Context of a request to the store. */
struct request {
	struct cell_loader *loader;
	uint64_t generation;
	uint32_t range; /* number of its range, which may have been removed */
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

	r->number = ++l->last_range_number;
	r->after = g_strdup(after);
	r->until = g_strdup(until);
	r->next_request_at = now;
	g_ptr_array_add(l->ranges, r);
}

static struct request *
request_new(struct cell_loader *l)
{
	struct request *x = g_new0(struct request, 1);

	x->loader = l;
	x->generation = l->generation;
	return x;
}

/* Frees x.  Returns its loader; NULL if the request is from an earlier
 * generation, so that its answer is ignored. */
static struct cell_loader *
request_end(struct request *x)
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
	l->page_overdue_min_ms = PAGE_OVERDUE_MIN_MS;
	if (link_kbps > 0)
		l->page_overdue_min_ms += PAGE_TYPICAL_KBITS * 1000 / link_kbps;
	l->page_overdue_min_ms =
	    MIN(l->page_overdue_min_ms, PAGE_OVERDUE_MAX_MS);
	l->parallel_pages_max = link_kbps == 0 || link_kbps >= FAST_LINK_KBPS
				    ? PARALLEL_PAGES_MAX
				    : 1;
	l->ranges = g_ptr_array_new_with_free_func(range_free);
	l->events = *events;
	return l;
}

static void
drop_records(struct cell_loader *l)
{
	g_clear_pointer(&l->records.workers, g_bytes_unref);
	g_clear_pointer(&l->records.progress, g_hash_table_unref);
	g_clear_pointer(&l->records.defs, g_hash_table_unref);
	g_clear_pointer(&l->records.unreadable, g_hash_table_unref);
	g_clear_pointer(&l->parts, g_hash_table_unref);
	g_clear_pointer(&l->unreadable_keys, g_hash_table_unref);
	g_ptr_array_set_size(l->ranges, 0);
	l->reading_tail = false;
	l->tail_offset_known = false;
	l->prepared_at = 0;
}

void
cell_loader_end(struct cell_loader *l)
{
	drop_records(l);
	g_ptr_array_unref(l->ranges);
	g_free(l);
}

/* Starts to read the jobs from the first page on.  Answers to pending requests
 * will be ignored. */
static void
begin_reading(struct cell_loader *l, ogl_time now)
{
	drop_records(l);
	l->generation++;
	add_range(l, NULL, NULL, now);
	l->tail_pending = false;
	l->next_request_at = now;
	l->records.progress = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, progress_free);
	l->records.defs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, def_free);
	l->parts = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, progress_free);
	l->records.unreadable =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	l->unreadable_keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static uint32_t
initial_page_overdue_ms(const struct cell_loader *l, ogl_time store_took)
{
	ogl_time overdue_ms = store_took / OGL_MS * OVERDUE_FACTOR;

	return (uint32_t)CLAMP(
	    overdue_ms, l->page_overdue_min_ms, PAGE_OVERDUE_MAX_MS);
}

void
cell_loader_prepare(struct cell_loader *l, ogl_time store_took, ogl_time now)
{
	if (l->phase != PHASE_IDLE)
		return;
	l->phase = PHASE_PREPARING;
	l->generation++;
	l->page_overdue_ms = initial_page_overdue_ms(l, store_took);
	begin_reading(l, now);
}

bool
cell_loader_prepared(const struct cell_loader *l, ogl_time now)
{
	return l->phase == PHASE_PREPARING && l->prepared_at != 0 &&
	       now - l->prepared_at < PREPARED_MAX_AGE;
}

void
cell_loader_open(
    struct cell_loader *l, uint64_t epoch, ogl_time store_took, ogl_time now)
{
	ogl_time fence_ms = store_took / OGL_MS * OVERDUE_FACTOR;
	bool prepared = cell_loader_prepared(l, now);

	l->generation++;
	l->phase = PHASE_FENCING;
	l->epoch = epoch;
	l->tail_pending = false;
	l->next_request_at = now;
	l->page_overdue_ms = initial_page_overdue_ms(l, store_took);
	l->fences_pending = 0;
	l->fence_overdue_ms = (uint32_t)CLAMP(
	    fence_ms, FENCE_OVERDUE_MIN_MS, FENCE_OVERDUE_MAX_MS);
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
	drop_records(l);
}

static void
log_request_failed(struct cell_loader *l, enum ogl_io_result io)
{
	char text[128];

	g_snprintf(text, sizeof text,
	    "shard=%u epoch=%" G_GUINT64_FORMAT
	    " step=%s lost=%d overdue_ms=%u",
	    l->shard, l->epoch, phase_name(l->phase), io == OGL_IO_LOST,
	    l->page_overdue_ms);
	l->ops->log(l->ops->ctx, "owner", "load_missed", text);
}

static void
back_off(struct cell_loader *l)
{
	l->page_overdue_ms = MIN(l->page_overdue_ms * 2, PAGE_OVERDUE_MAX_MS);
}

static void
tail_request_failed(struct cell_loader *l, enum ogl_io_result io, ogl_time now)
{
	log_request_failed(l, io);
	l->next_request_at = now + RETRY_DELAY;
	if (io == OGL_IO_LOST)
		back_off(l);
}

/* ---- fencing ---------------------------------------------------------- */

static void
on_fenced(void *arg, const struct cell_append_answer *a, ogl_time now)
{
	struct cell_loader *l = request_end(arg);

	if (l == NULL)
		return;
	l->fences_pending--;
	if (a->outranked) {
		l->next_request_at = now + RETRY_DELAY;
		l->events.outranked(l->events.arg, now);
	} else if (a->io != OGL_IO_OK) {
		log_request_failed(l, a->io);
	} else {
		l->generation++; /* ignore the other pending fences */
		l->next_request_at = now;
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
	    .expected_end = -1,
	    .timeout_ms = FENCE_TIMEOUT_MS};

	if (l->fences_pending >= PENDING_FENCES_MAX)
		return;
	l->fences_pending++;
	l->next_request_at = now + l->fence_overdue_ms * OGL_MS;
	l->ops->append(l->ops->backend_ctx, &a, on_fenced, request_new(l));
}

/* ---- records ---------------------------------------------------------- */

/* An owner that can't read a record of a job can't tell which of its tasks have
 * run, so the job is neither served nor taken for one that doesn't exist. */
static void
add_unreadable(struct cell_loader *l, const struct cell_record *r)
{
	char text[128];

	g_snprintf(text, sizeof text, "shard=%u key=%.64s bytes=%zu", l->shard,
	    r->key, r->value.n);
	l->ops->log(l->ops->ctx, "owner", "record_unreadable", text);
	g_hash_table_add(l->unreadable_keys, g_strdup(r->key));
}

static bool
add_def(struct cell_loader *l, const char *id, struct ogl_str value)
{
	Ogl__CellJob *def =
	    ogl__cell_job__unpack(NULL, value.n, (const uint8_t *)value.p);

	if (def == NULL)
		return false;
	if (strcmp(def->id, id) != 0 || !cell_job_def_readable(def)) {
		ogl__cell_job__free_unpacked(def, NULL);
		return false;
	}
	g_hash_table_replace(l->records.defs, g_strdup(id), def);
	return true;
}

static bool
add_progress(GHashTable *to, const char *key, struct ogl_str value)
{
	Ogl__CellProgress *p =
	    ogl__cell_progress__unpack(NULL, value.n, (const uint8_t *)value.p);

	if (p != NULL)
		g_hash_table_replace(to, g_strdup(key), p);
	return p != NULL;
}

/* Moves the parts that were read into the progress of their jobs. */
static void
join_parts(struct cell_loader *l)
{
	char id[CELL_ID_LEN + 1];
	GHashTableIter it;
	uint64_t number;
	gpointer k, v;

	g_hash_table_iter_init(&it, l->parts);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		Ogl__CellProgress *p = NULL;

		if (cell_job_part_key_parse(k, id, &number))
			p = g_hash_table_lookup(l->records.progress, id);
		if (p != NULL)
			cell_progress_add_part(p, number, v);
	}
	g_hash_table_remove_all(l->parts);
}

/* Lists the jobs of which a record that counts can't be read, and leaves out
 * what was read of them. */
static void
list_unreadable(struct cell_loader *l)
{
	char id[CELL_ID_LEN + 1];
	GHashTableIter it;
	uint64_t number;
	gpointer k;
	guint n = g_hash_table_size(l->unreadable_keys);

	g_hash_table_iter_init(&it, l->unreadable_keys);
	while (g_hash_table_iter_next(&it, &k, NULL)) {
		const char *key = k;
		bool part = cell_job_part_key_parse(key, id, &number);
		const Ogl__CellProgress *p;

		g_strlcpy(id, key + 1, sizeof id);
		p = g_hash_table_lookup(l->records.progress, id);
		/* Of an ended job only the progress counts, and parts only of
		 * one that is split. */
		if (p != NULL &&
		    (cell_job_state_ended(p->state) || (part && !p->split)))
			continue;
		g_hash_table_add(l->records.unreadable, g_strdup(id));
	}
	g_hash_table_iter_init(&it, l->records.unreadable);
	while (g_hash_table_iter_next(&it, &k, NULL)) {
		g_hash_table_remove(l->records.defs, k);
		g_hash_table_remove(l->records.progress, k);
	}
	if (n > 0)
		l->ops->count(l->ops->ctx, "records_unreadable", n);
}

/* A record read earlier may have been dropped since, because the job has ended
 * or its retention time is over. */
static void
apply_record(struct cell_loader *l, const struct cell_record *r)
{
	const char *id = r->key + 1;
	GHashTable *table = l->records.progress;
	bool def = r->key[0] == 's';
	bool read;
	char part_of[CELL_ID_LEN + 1];
	const char *key = id;
	uint64_t number;

	if (strcmp(r->key, CELL_WORKERS_KEY) == 0 && !r->dropped) {
		g_clear_pointer(&l->records.workers, g_bytes_unref);
		l->records.workers = g_bytes_new(r->value.p, r->value.n);
		return;
	}
	if (cell_job_part_key_parse(r->key, part_of, &number)) {
		table = l->parts;
		key = r->key;
	} else if (strlen(r->key) != CELL_ID_LEN + 1) {
		return;
	} else if (def) {
		table = l->records.defs;
	}
	g_hash_table_remove(table, key);
	g_hash_table_remove(l->unreadable_keys, r->key);
	if (r->dropped)
		return;
	read =
	    def ? add_def(l, id, r->value) : add_progress(table, key, r->value);
	if (!read)
		add_unreadable(l, r);
}

/* ---- pages ------------------------------------------------------------ */

static void
finish_loading(struct cell_loader *l, ogl_time now)
{
	l->phase = PHASE_IDLE;
	list_unreadable(l);
	join_parts(l);
	l->events.loaded(l->events.arg, &l->records, now);
	drop_records(l);
}

static void
all_pages_read(struct cell_loader *l, ogl_time now)
{
	if (l->phase != PHASE_PREPARING) {
		finish_loading(l, now);
		return;
	}
	l->prepared_at = now;
	l->reading_tail = true;
}

/* Fraction of the id space that lies below this id, 0 to 1. */
static double
fraction_of_id(const char *id)
{
	char digits[ID_PREFIX_DIGITS + 1];

	g_strlcpy(digits, id, sizeof digits);
	return (double)g_ascii_strtoull(digits, NULL, 16) / 4294967296.0;
}

/* Returns fraction_of_id for a key with the given prefix, and fallback for any
 * other key or NULL. */
static double
fraction_of_key(const char *key, char prefix, double fallback)
{
	if (key == NULL || key[0] != prefix || key[1] == '\0')
		return fallback;
	return fraction_of_id(key + 1);
}

/* Splits the keys between after and until, which have the same prefix, into
 * ranges of about a page each, at most PARALLEL_PAGES_MAX.  covered: fraction
 * of the id space that the last page covered. */
static void
split_prefix(struct cell_loader *l, const char *after, const char *until,
    double covered, ogl_time now)
{
	char prefix = after[0];
	double from = fraction_of_key(after, prefix, 0);
	double to = fraction_of_key(until, prefix, 1);
	double pages_left = (to - from) / (covered * RANGE_PER_PAGE);
	unsigned pages =
	    (unsigned)CLAMP(pages_left, 0, PARALLEL_PAGES_MAX - 1) + 1;
	char *key = g_strdup(after);
	unsigned i;

	for (i = 1; i <= pages; i++) {
		double fraction = from + (to - from) * i / pages;
		char *next = i == pages
				 ? g_strdup(until)
				 : g_strdup_printf("%c%08x", prefix,
				       (unsigned)(fraction * 4294967295.0));

		add_range(l, key, next, now);
		g_free(key);
		key = next;
	}
	g_free(key);
}

/*
 * Splits the rest of a range after a page that ended at the key `last`.  Keys
 * with prefix 'p' (progress) come before those with 's' (submission).
 */
static void
split_range(struct cell_loader *l, const struct range *r, const char *last,
    ogl_time now)
{
	char prefix = last[0];
	double covered = fraction_of_key(last, prefix, 0) -
			 fraction_of_key(r->after, prefix, 0);
	bool extends_to_defs =
	    prefix == 'p' && (r->until == NULL || r->until[0] != 'p');

	if (l->parallel_pages_max == 1 || l->sequential || covered <= 0 ||
	    (prefix != 'p' && prefix != 's')) {
		add_range(l, last, r->until, now);
		return;
	}
	split_prefix(l, last, extends_to_defs ? "s" : r->until, covered, now);
	if (extends_to_defs)
		add_range(l, "s", r->until, now);
}

/* Whether the keys of a page are sorted and above the range's lower bound. */
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

/* Applies the records of a page that lie in its range.  Returns whether the
 * range is now completely read. */
static bool
apply_page(struct cell_loader *l, const struct range *r,
    const struct cell_newest_answer *a)
{
	size_t i;

	for (i = 0; i < a->n; i++) {
		const struct cell_record *record = &a->records[i];

		if (r->until != NULL && strcmp(record->key, r->until) > 0)
			return true;
		apply_record(l, record);
	}
	return !a->more || a->n == 0;
}

/* Records may be written while the pages are read, and each page comes with the
 * end offset that the stream had then.  The tail starts at the lowest of these
 * offsets. */
static void
lower_tail_offset(struct cell_loader *l, uint64_t end)
{
	l->tail_offset = l->tail_offset_known ? MIN(l->tail_offset, end) : end;
	l->tail_offset_known = true;
}

static struct range *
find_range(const struct cell_loader *l, uint32_t number)
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
page_request_failed(
    struct cell_loader *l, struct range *r, enum ogl_io_result io, ogl_time now)
{
	log_request_failed(l, io);
	if (r->requests_pending == 0)
		r->next_request_at = now + RETRY_DELAY;
}

static void
on_page(void *arg, const struct cell_newest_answer *a, ogl_time now)
{
	uint32_t number = ((struct request *)arg)->range;
	struct cell_loader *l = request_end(arg);
	struct range *r = l != NULL ? find_range(l, number) : NULL;

	if (r == NULL)
		return;
	r->requests_pending--;
	if (a->io != OGL_IO_OK) {
		page_request_failed(l, r, a->io, now);
		return;
	}
	if (!l->sequential && !in_order(r, a)) {
		l->ops->log(l->ops->ctx, "owner", "load_out_of_order",
		    r->after != NULL ? r->after : "");
		l->sequential = true;
		begin_reading(l, now);
		return;
	}
	l->next_request_at = now;
	lower_tail_offset(l, a->end);
	if (!apply_page(l, r, a))
		split_range(l, r, a->records[a->n - 1].key, now);
	g_ptr_array_remove(l->ranges, r);
	if (l->ranges->len == 0)
		all_pages_read(l, now);
}

/* Applies records that were written after the first page of PREPARING. */
static void
on_tail(void *arg, const struct cell_read_answer *a, ogl_time now)
{
	struct cell_loader *l = request_end(arg);
	size_t i;

	if (l == NULL)
		return;
	l->tail_pending = false;
	if (a->io != OGL_IO_OK) {
		tail_request_failed(l, a->io, now);
		return;
	}
	l->next_request_at = now;
	if (a->trimmed) {
		begin_reading(l, now);
		return;
	}
	for (i = 0; i < a->n; i++) {
		apply_record(l, &a->records[i]);
		l->tail_offset = a->records[i].offset + 1;
	}
	if (l->tail_offset >= a->end)
		finish_loading(l, now);
	else if (a->n == 0)
		l->tail_offset = a->end; /* skip unreadable records */
}

static void
read_tail(struct cell_loader *l)
{
	struct cell_read r = {.stream = CELL_JOBS,
	    .shard = l->shard,
	    .from = l->tail_offset,
	    .timeout_ms = l->page_overdue_ms};

	l->tail_pending = true;
	l->ops->read(l->ops->backend_ctx, &r, on_tail, request_new(l));
}

static void
read_page(struct cell_loader *l, struct range *r, ogl_time now)
{
	struct cell_newest q = {.stream = CELL_JOBS,
	    .shard = l->shard,
	    .after = r->after,
	    .timeout_ms = PAGE_TIMEOUT_MS};
	struct request *x = request_new(l);

	if (r->requests_pending > 0)
		back_off(l);
	x->range = r->number;
	r->requests_pending++;
	r->next_request_at = now + l->page_overdue_ms * OGL_MS;
	l->ops->newest(l->ops->backend_ctx, &q, on_page, x);
}

static void
read_pages(struct cell_loader *l, ogl_time now)
{
	guint i;

	for (i = 0; i < l->ranges->len && i < l->parallel_pages_max; i++) {
		struct range *r = l->ranges->pdata[i];

		if (r->requests_pending < PAGE_REQUESTS_MAX &&
		    now >= r->next_request_at)
			read_page(l, r, now);
	}
}

void
cell_loader_step(struct cell_loader *l, ogl_time now)
{
	bool prepared = l->phase == PHASE_PREPARING && l->prepared_at != 0;

	if (prepared && now - l->prepared_at > PREPARED_MAX_AGE)
		cell_loader_close(l);
	if (l->phase == PHASE_IDLE || prepared)
		return;
	if (l->phase != PHASE_FENCING && !l->reading_tail) {
		read_pages(l, now);
		return;
	}
	if (l->tail_pending || now < l->next_request_at)
		return;
	if (l->phase == PHASE_FENCING)
		send_fence(l, now);
	else
		read_tail(l);
}
