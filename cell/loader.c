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
 */

#include <string.h>

#include "job.h"
#include "loader.h"

/* Of the first try of each page, or several times what the store took for the
 * claim; each miss doubles it, for on slow days the store takes up to 60 times
 * as long. */
#define ASK_TIMEOUT_MS 250
#define ASK_TIMES 4
#define ASK_TIMEOUT_MAX_MS 4000
/* A page has up to 1 MB; most have half of that or less. */
#define PAGE_KBITS 4000
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
	bool asking; /* a page is under way */
	ogl_time ask_at;
	uint32_t fences; /* under way */
	uint32_t fence_overdue_ms;
	uint32_t ask_timeout_min_ms; /* while a page may be on the link */
	uint32_t ask_timeout_ms;
	char *after; /* last key of the page before */
	bool tail;   /* read on from tail_next, not the newest pages */
	uint64_t tail_next;
	ogl_time prepared_at; /* 0 not prepared */
	struct cell_loaded read;
};

/* Belongs to an exchange with the store. */
struct exchange {
	struct cell_loader *loader;
	uint64_t generation;
};

static struct exchange *
exchange_new(struct cell_loader *l)
{
	struct exchange *x = g_new(struct exchange, 1);

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
	l->ask_timeout_min_ms = ASK_TIMEOUT_MS;
	if (link_kbps > 0)
		l->ask_timeout_min_ms += PAGE_KBITS * 1000 / link_kbps;
	l->ask_timeout_min_ms = MIN(l->ask_timeout_min_ms, ASK_TIMEOUT_MAX_MS);
	l->events = *events;
	return l;
}

static void
forget_read(struct cell_loader *l)
{
	g_clear_pointer(&l->read.workers, g_bytes_unref);
	g_clear_pointer(&l->read.progress, g_hash_table_unref);
	g_clear_pointer(&l->read.defs, g_hash_table_unref);
	g_clear_pointer(&l->after, g_free);
	l->tail = false;
	l->prepared_at = 0;
}

void
cell_loader_end(struct cell_loader *l)
{
	forget_read(l);
	g_free(l);
}

/* Begins to read the jobs from the first page on. */
static void
begin_reading(struct cell_loader *l, ogl_time now)
{
	forget_read(l);
	l->asking = false;
	l->ask_at = now;
	l->read.progress = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, progress_free);
	l->read.defs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, def_free);
}

void
cell_loader_prepare(struct cell_loader *l, ogl_time now)
{
	if (l->phase != PHASE_IDLE)
		return;
	l->phase = PHASE_PREPARING;
	l->generation++;
	l->ask_timeout_ms = l->ask_timeout_min_ms;
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
	l->ask_timeout_ms =
	    (uint32_t)CLAMP(ask_ms, l->ask_timeout_min_ms, ASK_TIMEOUT_MAX_MS);
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
	    " step=%s lost=%d timeout_ms=%u",
	    l->shard, l->epoch, phase_name(l->phase), io == OGL_IO_LOST,
	    l->ask_timeout_ms);
	l->ops->log(l->ops->ctx, "owner", "load_missed", text);
}

static void
missed(struct cell_loader *l, enum ogl_io io, ogl_time now)
{
	log_missed(l, io);
	l->ask_at = now + RETRY;
	if (io == OGL_IO_LOST)
		l->ask_timeout_ms =
		    MIN(l->ask_timeout_ms * 2, ASK_TIMEOUT_MAX_MS);
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

static void
on_page(void *arg, const struct cell_newest_answer *a, ogl_time now)
{
	struct cell_loader *l = exchange_end(arg);
	size_t i;

	if (l == NULL)
		return;
	l->asking = false;
	if (a->io != OGL_IO_OK) {
		missed(l, a->io, now);
		return;
	}
	l->ask_at = now;
	/* What changes while the pages are read is read once more after them. */
	if (l->after == NULL)
		l->tail_next = a->end;
	for (i = 0; i < a->n; i++)
		take_record(l, &a->records[i]);
	if (a->n > 0) {
		g_free(l->after);
		l->after = g_strdup(a->records[a->n - 1].key);
	}
	if (!a->more) {
		g_clear_pointer(&l->after, g_free);
		all_pages_read(l, now);
	}
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
		missed(l, a->io, now);
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
read_on(struct cell_loader *l)
{
	struct cell_newest q = {.stream = CELL_JOBS,
	    .shard = l->shard,
	    .after = l->after,
	    .timeout_ms = l->ask_timeout_ms};
	struct cell_read r = {.stream = CELL_JOBS,
	    .shard = l->shard,
	    .from = l->tail_next,
	    .timeout_ms = l->ask_timeout_ms};

	if (l->tail)
		l->ops->read(l->ops->outside, &r, on_tail, exchange_new(l));
	else
		l->ops->newest(l->ops->outside, &q, on_page, exchange_new(l));
}

void
cell_loader_step(struct cell_loader *l, ogl_time now)
{
	bool waits = l->phase == PHASE_PREPARING && l->prepared_at != 0;

	if (waits && now - l->prepared_at > PREPARED_MAX)
		cell_loader_close(l);
	if (l->phase == PHASE_IDLE || waits || l->asking || now < l->ask_at)
		return;
	if (l->phase == PHASE_FENCING) {
		send_fence(l, now);
		return;
	}
	l->asking = true;
	read_on(l);
}
