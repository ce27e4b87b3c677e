/*
 * Keeps track of the workers of a shard and of the runs on them, by means of
 * holds, starts and stops.
 *
 * One hold is kept in flight to each worker that has runs, that has not
 * answered yet, or whose ended runs are still to be acknowledged.  A hold
 * renews the lease of all runs there and acknowledges the ends that are stored;
 * the worker delays its answer until the next run ends, up to a time limit.
 * The answer lists running and ended runs, which are compared with those known
 * here:
 *
 *	listed as running, known       it is running; its checkpoint is kept
 *	listed as running, unknown     reported to the owner (run_found)
 *	listed as ended                the run is over
 *	known to run, in neither list  it was lost
 *	stopped, in neither list       it has not begun and no longer can
 *
 * A start that went unanswered may be carried out seconds later.  It is sent
 * again unchanged; the worker carries it out only once.  Only an answered stop
 * makes certain that the run can't begin any more, so a start that is given up
 * is followed by a stop.
 *
 * A worker that does not answer may keep running its tasks until the last lease
 * asked for ends by its own clock, which may be slower than ours by the factor
 * CLOCK_SLOW_FACTOR.  Until then its runs count as running.  When connections
 * to its address are refused, or another worker answers there, the worker has
 * ended, and its runs with it.
 */

#include <string.h>

#include "ablate.h"
#include "account.h"
#include "fleet.h"

/* Longest lease asked for.  It has to outlast a change of owner (detection,
 * claim and first holds take about 2.5 s), and bounds how long a worker that is
 * cut off keeps running its tasks. */
#define LEASE_MS 5000
#define CLOCK_SLOW_FACTOR 1.0205 /* 1 / 0.98: a clock may be 2% slow */
#define LEASE_END_MARGIN (250 * OGL_MS)
/* The timeout is short, because after a lost answer the ends at its worker stay
 * unknown until then.  A worker whose runs end often answers long before the
 * timeout. */
#define HOLD_WAIT_MS 450
#define HOLD_TIMEOUT_MS 800
/* After a lost answer, the holds to that worker are short for this time.  With
 * the usual holds, each further lost answer would delay the ends there by up to
 * 0.8 s. */
#define LOSSY_PERIOD (2 * OGL_SEC)
#define LOSSY_HOLD_WAIT_MS 100
#define LOSSY_HOLD_TIMEOUT_MS 250
/* A new owner starts no task of earlier owners' jobs before the first answer of
 * each worker.  The first hold may be repeated safely, so it has a short
 * timeout, which doubles with each failure. */
#define FIRST_HOLD_TIMEOUT_MS 150
/* Delay of the next hold after one that brought ends, so that ends in short
 * succession are fetched with one hold. */
#define ENDS_BATCH_DELAY (20 * OGL_MS)
/* While ends are not stored, a hold would be answered at once with the same
 * ends.  The next hold is therefore delayed, but by no more than this, as it
 * has to renew the lease. */
#define LEASE_RENEW_AFTER (700 * OGL_MS)
#define HOLD_RETRY_DELAY (150 * OGL_MS)
/* A worker counts as ended when this many connections in a row were refused
 * over at least this time.  A single one may be refused while the worker
 * starts. */
#define GONE_REFUSALS_MIN 3
#define GONE_REFUSED_MIN (400 * OGL_MS)
/* A worker whose answer is overdue by this gets no new work. */
#define HOLD_OVERDUE_AFTER (250 * OGL_MS)
/* The stored record of the workers (known.h) calls a worker silent after this
 * time; a single lost answer does not justify storing a new record. */
#define SILENT_RECORDED_AFTER (400 * OGL_MS)
#define ORDER_TIMEOUT_MS 600
#define ORDER_RETRY_DELAY (100 * OGL_MS)
#define START_TRIES_MAX 3
/* Intervals of the scans of all workers and of all runs.  An owner is stepped
 * hundreds of times a second, and calls that are due may wait this long. */
#define SCAN_INTERVAL (8 * OGL_MS)
#define RUN_SCAN_INTERVAL (40 * OGL_MS)
/* A start without an answer is carried out within this time or never. */
#define UNANSWERED_START_MAX (15 * OGL_SEC)
#define ENDS_PER_ANSWER_MAX 500 /* a list this long may be incomplete */
/* A worker that fails this many different jobs in a row gets no work for the
 * cooldown, which doubles each time, at most COOLDOWN_DOUBLINGS_MAX times. */
#define FAILURE_STREAK_MAX 3
#define COOLDOWN (4 * OGL_SEC)
#define COOLDOWN_DOUBLINGS_MAX 3

struct cell_fleet {
	const struct cell_ops *ops;
	const struct cell_limits *limits;
	struct cell_fleet_events events;
	GHashTable *workers;   /* id -> struct cell_worker */
	GHashTable *by_serial; /* the same workers, not owned */
	uint32_t last_serial;
	GHashTable *teams; /* name -> struct ogl_res that runs may use */
	const struct cell_zones *zones; /* evacuated zones, NULL until set */
	double baseline_pace;           /* pace of healthy workers */
	bool open;
	uint64_t epoch;
	uint64_t generation; /* raised by each open and close */
	ogl_time opened_at;
	bool old_leases_expired; /* all leases of earlier owners have expired */
	bool record_outdated;    /* the workers are to be stored again */
	ogl_time confirmed_at;   /* latest time of confirmed ownership */
	/* Nothing is started until ownership is confirmed as of this time. */
	ogl_time confirmation_from;
	ogl_time next_scan_at;
	ogl_time next_run_scan_at;
};

/* A start, stop or hold that awaits its answer. */
struct call {
	struct cell_fleet *fleet;
	struct cell_worker *worker;
	struct cell_run *run; /* NULL for a hold */
	uint64_t generation;  /* of the fleet when the call was sent */
	uint64_t ends_acked;  /* ends up to this were acknowledged by a hold */
	uint64_t hold_number; /* 0 for a start or stop */
	ogl_time sent_at;
	bool stop;
};

/* ---- workers ---------------------------------------------------------- */

static void
run_free(struct cell_run *r)
{
	g_free(r->team);
	g_free(r->spec);
	g_free(r->ticket);
	g_free(r->checkpoint);
	g_free(r);
}

static void
worker_free(void *p)
{
	struct cell_worker *w = p;

	g_hash_table_unref(w->runs);
	g_array_unref(w->unanswered_starts);
	g_free(w->id);
	g_free(w->addr);
	g_free(w->zone);
	g_free(w->rack);
	g_strfreev(w->labels);
	g_free(w->service);
	g_free(w->last_failed_job);
	g_free(w);
}

struct cell_fleet *
cell_fleet_init(const struct cell_ops *ops, const struct cell_limits *limits,
    const struct cell_fleet_events *events)
{
	struct cell_fleet *f = g_new0(struct cell_fleet, 1);

	f->ops = ops;
	f->limits = limits;
	f->events = *events;
	f->baseline_pace = 1;
	f->workers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, worker_free);
	f->by_serial = g_hash_table_new(NULL, NULL);
	f->teams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return f;
}

static void
worker_forget_runs(struct cell_worker *w)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		struct cell_run *r = p;

		g_hash_table_iter_remove(&it);
		if (r->order_pending)
			r->worker = NULL; /* freed when its answer comes */
		else
			run_free(r);
	}
	memset(&w->used, 0, sizeof w->used);
	w->norphans = 0;
	g_array_set_size(w->unanswered_starts, 0);
}

void
cell_fleet_end(struct cell_fleet *f)
{
	cell_fleet_close(f);
	g_hash_table_unref(f->by_serial);
	g_hash_table_unref(f->workers);
	g_hash_table_unref(f->teams);
	g_free(f);
}

void
cell_fleet_open(struct cell_fleet *f, uint64_t epoch, ogl_time now)
{
	f->open = true;
	f->epoch = epoch;
	f->generation++;
	f->confirmed_at = 0;
	f->confirmation_from = 0;
	f->record_outdated = true; /* the stored one is an earlier owner's */
	f->opened_at = now;
	f->old_leases_expired = false;
}

void
cell_fleet_close(struct cell_fleet *f)
{
	GHashTableIter it;
	gpointer p;

	f->open = false;
	f->generation++;
	g_hash_table_iter_init(&it, f->workers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct cell_worker *w = p;

		worker_forget_runs(w);
		w->fenced = false;
		w->hold_pending = false;
		w->incarnation = 0;
		w->ends_stored = 0;
		w->ends_reported = 0;
		w->lease_end_ms = 0;
		w->listed = false;
		w->expected = false;
		w->open_in_record = false;
		w->tasks_recorded = false;
		w->open_from_record = 0;
		w->addr_unrecorded = false;
		w->silent_in_record = false;
		w->gone = false;
		w->conn_refusals = 0;
		w->ends_acked = 0;
	}
	g_hash_table_remove_all(f->teams);
}

GHashTable *
cell_fleet_workers(const struct cell_fleet *f)
{
	return f->workers;
}

struct cell_worker *
cell_fleet_worker(const struct cell_fleet *f, const char *id)
{
	return g_hash_table_lookup(f->workers, id);
}

struct cell_worker *
cell_fleet_by_serial(const struct cell_fleet *f, uint32_t serial)
{
	return g_hash_table_lookup(f->by_serial, GUINT_TO_POINTER(serial));
}

static void
set_string(char **to, const char *from)
{
	if (g_strcmp0(*to, from) == 0)
		return;
	g_free(*to);
	*to = g_strdup(from);
}

static struct cell_worker *
get_or_add_worker(struct cell_fleet *f, const char *id, ogl_time now)
{
	struct cell_worker *w = g_hash_table_lookup(f->workers, id);

	if (w != NULL)
		return w;
	w = g_new0(struct cell_worker, 1);
	w->serial = ++f->last_serial;
	w->id = g_strdup(id);
	w->runs = g_hash_table_new(NULL, NULL);
	w->unanswered_starts =
	    g_array_new(FALSE, FALSE, sizeof(struct cell_unanswered_start));
	w->next_hold_at = now;
	f->record_outdated = true;
	g_hash_table_insert(f->workers, w->id, w);
	g_hash_table_insert(f->by_serial, GUINT_TO_POINTER(w->serial), w);
	return w;
}

static void
log_worker_why(struct cell_fleet *f, const struct cell_worker *w,
    const char *event, const char *why)
{
	char text[256];

	g_snprintf(text, sizeof text,
	    "worker=%s addr=%s life=%" G_GUINT64_FORMAT
	    " runs=%u failures=%u draining=%d hold_ms=%" G_GINT64_FORMAT "%s%s",
	    w->id, w->addr, w->incarnation, g_hash_table_size(w->runs),
	    w->failures, w->draining, w->hold_duration / OGL_MS,
	    *why != '\0' ? " why=" : "", why);
	f->ops->log(f->ops->ctx, "fleet", event, text);
}

static void
log_worker(struct cell_fleet *f, const struct cell_worker *w, const char *event)
{
	log_worker_why(f, w, event, "");
}

/* A successor that knows only the old address would get no answer there and
 * conclude that the worker has ended.  It would then start elsewhere the tasks
 * that run at the new address.  So a worker whose address has changed gets no
 * work until a record with the new address is stored. */
static void
set_addr(
    struct cell_fleet *f, struct cell_worker *w, const char *addr, ogl_time now)
{
	w->addr_unrecorded = w->addr != NULL;
	if (w->addr_unrecorded) {
		w->open_in_record = false;
		w->gone = false;
		w->conn_refusals = 0;
		w->next_hold_at = now;
	}
	f->record_outdated = true;
	set_string(&w->addr, addr);
}

void
cell_fleet_update_entry(struct cell_fleet *f, const char *id,
    const struct cell_worker_entry *e, ogl_time now)
{
	struct cell_worker *w;

	if (e == NULL) {
		w = g_hash_table_lookup(f->workers, id);
		if (w != NULL && w->listed) {
			w->listed = false;
			log_worker(f, w, "worker_unlisted");
		}
		return;
	}
	w = get_or_add_worker(f, id, now);
	if (g_strcmp0(w->addr, e->addr) != 0)
		set_addr(f, w, e->addr, now);
	set_string(&w->zone, e->zone);
	w->evacuated =
	    f->zones != NULL && cell_zones_evacuated(f->zones, w->zone);
	set_string(&w->rack, e->rack);
	set_string(&w->service, e->service);
	g_strfreev(w->labels);
	w->labels = g_strdupv(e->labels);
	w->capacity = e->capacity;
	if (w->draining != e->draining || !w->listed) {
		f->record_outdated |= w->draining != e->draining;
		w->draining = e->draining;
		w->listed = true;
		log_worker(f, w, "worker_listed");
	}
	if (w->entry_born_ms != e->born_ms) {
		w->entry_born_ms = e->born_ms;
		w->failures = 0;
		w->next_hold_at = now;
		/* A new incarnation has seen no epoch, so it is called at once.
		 * The answer to a hold in flight no longer counts, as it was
		 * sent to the last incarnation. */
		if (w->incarnation != 0 && e->born_ms != 0 &&
		    e->born_ms != w->incarnation) {
			w->fenced = false;
			w->hold_pending = false;
			w->hold_number++;
			/* No more ends of that incarnation are acknowledged. */
			w->ends_acked = w->ends_stored;
		}
	}
	if (f->open)
		f->events.room_freed(f->events.arg, now);
}

void
cell_fleet_set_zones(
    struct cell_fleet *f, const struct cell_zones *z, ogl_time now)
{
	unsigned evacuated = 0;
	unsigned running = 0;
	GHashTableIter it;
	gpointer p;
	char text[96];

	f->zones = z;
	g_hash_table_iter_init(&it, f->workers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct cell_worker *w = p;

		w->evacuated = cell_zones_evacuated(z, w->zone);
		evacuated += w->evacuated;
		running += w->evacuated ? g_hash_table_size(w->runs) : 0;
	}
	if (!f->open)
		return;
	g_snprintf(text, sizeof text, "evacuated=%u of=%u runs=%u", evacuated,
	    g_hash_table_size(f->workers), running);
	f->ops->log(f->ops->ctx, "fleet", "workers_evacuated", text);
	f->events.room_freed(f->events.arg, now);
}

void
cell_fleet_expect(struct cell_fleet *f, const Ogl__CellKnown *k, ogl_time now)
{
	struct cell_worker *w = get_or_add_worker(f, k->id, now);

	w->expected = true;
	w->tasks_recorded = k->closed;
	w->open_in_record = !k->closed;
	if (w->addr != NULL)
		return;
	set_string(&w->addr, k->addr);
	set_string(&w->service, k->service);
	set_string(&w->zone, "");
	set_string(&w->rack, "");
}

ogl_time
cell_fleet_old_leases_end(const struct cell_fleet *f)
{
	return f->opened_at +
	       (ogl_time)(LEASE_MS * CLOCK_SLOW_FACTOR) * OGL_MS +
	       LEASE_END_MARGIN;
}

void
cell_fleet_record_stored(struct cell_fleet *f, const char *id, uint64_t record)
{
	struct cell_worker *w = g_hash_table_lookup(f->workers, id);

	if (w == NULL || w->open_in_record || w->addr_unrecorded ||
	    record < w->open_from_record)
		return;
	w->open_in_record = true;
	f->events.room_freed(f->events.arg, f->opened_at);
}

bool
cell_worker_silent(const struct cell_worker *w, ogl_time now)
{
	return CELL_USES_SILENT && w->incarnation != 0 && w->failures > 0 &&
	       now - w->silent_since > SILENT_RECORDED_AFTER;
}

/*
 * A restarted worker knows no epoch and accepts the calls of whichever owner
 * calls it first.  An owner that was suspended or cut off may have been
 * replaced without knowing it.  If it called the new incarnation before its
 * successor does, it would start tasks there that already run elsewhere.  So
 * after the first answer of a worker's incarnation, and after a suspension of
 * this process, nothing is started until the store has confirmed the ownership
 * once more.
 */
void
cell_fleet_confirm(struct cell_fleet *f, ogl_time at)
{
	bool wanted = cell_fleet_awaits_confirmation(f);

	f->confirmed_at = MAX(f->confirmed_at, at);
	if (wanted && !cell_fleet_awaits_confirmation(f))
		f->events.room_freed(f->events.arg, at);
}

bool
cell_fleet_awaits_confirmation(const struct cell_fleet *f)
{
	return f->open && f->confirmed_at < f->confirmation_from;
}

void
cell_fleet_require_confirmation(struct cell_fleet *f, ogl_time now)
{
	f->confirmation_from = MAX(f->confirmation_from, now);
}

bool
cell_fleet_record_outdated(struct cell_fleet *f)
{
	bool changed = f->record_outdated;

	f->record_outdated = false;
	return changed;
}

double
cell_fleet_pace(const struct cell_fleet *f, const struct cell_worker *w)
{
	return cell_pace_relative(&w->pace, f->baseline_pace);
}

bool
cell_worker_fits(const struct cell_worker *w, const struct ogl_res *need)
{
	struct ogl_res room = w->capacity;

	ogl_res_sub(&room, &w->used);
	return ogl_res_fits(need, &room);
}

static bool
hold_overdue(const struct cell_worker *w, ogl_time now)
{
	return w->hold_pending &&
	       now - w->hold_sent_at >
		   HOLD_WAIT_MS * OGL_MS + HOLD_OVERDUE_AFTER;
}

bool
cell_worker_schedulable(const struct cell_worker *w, ogl_time now)
{
	return w->listed && w->open_in_record && !w->draining &&
	       !w->evacuated && w->fenced && w->failures == 0 &&
	       w->norphans == 0 && now >= w->cooldown_until &&
	       !hold_overdue(w, now);
}

/*
 * A faulty job fails wherever it runs, so only failures of different jobs in a
 * row count against a worker.
 */
void
cell_worker_count_result(
    struct cell_worker *w, const char *job, bool ok, ogl_time now)
{
	if (ok) {
		w->failure_streak = 0;
		w->cooldowns = 0;
		g_clear_pointer(&w->last_failed_job, g_free);
		return;
	}
	if (g_strcmp0(w->last_failed_job, job) == 0)
		return;
	set_string(&w->last_failed_job, job);
	w->failure_streak++;
	if (w->failure_streak < FAILURE_STREAK_MAX)
		return;
	w->cooldown_until =
	    now + (COOLDOWN << MIN(w->cooldowns, COOLDOWN_DOUBLINGS_MAX));
	w->cooldowns++;
	/* After the cooldown a single failure is enough. */
	w->failure_streak = FAILURE_STREAK_MAX - 1;
}

static void
count_failure(struct cell_worker *w, ogl_time now)
{
	if (w->failures++ == 0)
		w->silent_since = now;
}

/* ---- resources in use ------------------------------------------------- */

static struct ogl_res *
team_usage(struct cell_fleet *f, const char *team)
{
	struct ogl_res *used = g_hash_table_lookup(f->teams, team);

	if (used == NULL) {
		used = g_new0(struct ogl_res, 1);
		g_hash_table_insert(f->teams, g_strdup(team), used);
	}
	return used;
}

struct ogl_res
cell_fleet_team_used(const struct cell_fleet *f, const char *team)
{
	const struct ogl_res none = {0};
	const struct ogl_res *used = g_hash_table_lookup(f->teams, team);

	return used != NULL ? *used : none;
}

void
cell_fleet_team_charge(
    struct cell_fleet *f, const char *team, const struct ogl_res *res)
{
	ogl_res_add(team_usage(f, team), res);
}

void
cell_fleet_team_uncharge(
    struct cell_fleet *f, const char *team, const struct ogl_res *res)
{
	ogl_res_sub(team_usage(f, team), res);
}

static struct cell_run *
run_new(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_task_name *name, uint64_t number,
    const struct ogl_res *res, const char *team)
{
	struct cell_run *r = g_new0(struct cell_run, 1);

	r->worker = w;
	r->name = *name;
	r->number = number;
	r->res = *res;
	r->team = g_strdup(team);
	ogl_res_add(&w->used, res);
	ogl_res_add(team_usage(f, r->team), res);
	g_hash_table_add(w->runs, r);
	return r;
}

/* Releases the resources of a run that is over. */
static void
run_remove(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	struct cell_worker *w = r->worker;

	ogl_res_sub(&w->used, &r->res);
	ogl_res_sub(team_usage(f, r->team), &r->res);
	g_hash_table_remove(w->runs, r);
	if (r->orphan)
		w->norphans--;
	r->worker = NULL;
	if (!r->order_pending)
		run_free(r);
	f->events.room_freed(f->events.arg, now);
}

static void
run_ended(struct cell_fleet *f, struct cell_run *r, enum cell_end how,
    const char *checkpoint, ogl_time now)
{
	f->events.run_ended(f->events.arg, r, how, checkpoint, now);
	run_remove(f, r, now);
}

/* ---- clocks and leases ------------------------------------------------ */

static void
record_clock(struct cell_worker *w, uint64_t clock_ms, ogl_time now)
{
	if (clock_ms == 0)
		return;
	w->clock_ms = clock_ms;
	w->clock_at = now;
}

/* Estimates the time on the worker's clock.  It is a lower bound unless that
 * clock runs slow. */
static uint64_t
estimate_clock(const struct cell_worker *w, ogl_time now)
{
	return w->clock_ms + (uint64_t)((now - w->clock_at) / OGL_MS);
}

static uint64_t
extend_lease(const struct cell_fleet *f, struct cell_worker *w, ogl_time now)
{
	uint64_t until_ms;

	if (w->incarnation == 0)
		return 0;
	until_ms =
	    estimate_clock(w, now) + MIN(LEASE_MS, f->limits->lease_max_ms);
	w->lease_end_ms = MAX(w->lease_end_ms, until_ms);
	return until_ms;
}

/* Time from which the worker's lease has certainly expired unless it is
 * renewed. */
static ogl_time
lease_expires_at(const struct cell_worker *w)
{
	double left_ms = w->lease_end_ms > w->clock_ms
			     ? (double)(w->lease_end_ms - w->clock_ms)
			     : 0;

	return w->clock_at + (ogl_time)(left_ms * CLOCK_SLOW_FACTOR * OGL_MS) +
	       LEASE_END_MARGIN;
}

/* ---- ends of runs ----------------------------------------------------- */

static bool
same_task(const struct cell_task_name *a, const struct cell_task_name *b)
{
	return a->index == b->index && a->step == b->step &&
	       a->occurrence == b->occurrence && strcmp(a->id, b->id) == 0;
}

static bool
row_matches(const struct cell_run *r, const struct cell_run_row *row)
{
	return r->number == row->run && same_task(&r->name, &row->task);
}

static struct cell_run *
find_run(const struct cell_worker *w, const struct cell_run_row *row)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		struct cell_run *r = p;

		if (row_matches(r, row))
			return r;
	}
	return NULL;
}

GPtrArray *
cell_worker_runs(const struct cell_worker *w)
{
	GPtrArray *runs = g_ptr_array_sized_new(g_hash_table_size(w->runs));
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, &p, NULL))
		g_ptr_array_add(runs, p);
	return runs;
}

/* Whether either list of the answer contains the run; false if a is NULL. */
static bool
answer_lists(const struct cell_hold_answer *a, const struct cell_run *r)
{
	size_t i;

	for (i = 0; a != NULL && i < a->nrunning; i++) {
		if (row_matches(r, &a->running[i]))
			return true;
	}
	for (i = 0; a != NULL && i < a->nended; i++) {
		if (row_matches(r, &a->ended[i]))
			return true;
	}
	return false;
}

static void
remember_unanswered_start(const struct cell_run *r, ogl_time now)
{
	GArray *a = r->worker->unanswered_starts;
	struct cell_unanswered_start start = {r->name, r->number, now};

	while (a->len > 0 &&
	       now - g_array_index(a, struct cell_unanswered_start, 0).sent_at >
		   UNANSWERED_START_MAX)
		g_array_remove_index(a, 0);
	g_array_append_val(a, start);
}

/* Ends the runs of the worker's last incarnation.  new_answer is the answer of
 * the new incarnation to the hold that was sent at hold_sent_at, or NULL.  Runs
 * that it lists are kept: their start has reached the new incarnation. */
static void
lose_runs(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_hold_answer *new_answer, ogl_time hold_sent_at,
    ogl_time now)
{
	GPtrArray *runs = cell_worker_runs(w);
	guint i;

	for (i = 0; i < runs->len; i++) {
		struct cell_run *r = runs->pdata[i];

		if (answer_lists(new_answer, r))
			continue;
		/* A start in flight may reach the worker's next incarnation. */
		if (new_answer == NULL && r->order_pending &&
		    r->state == CELL_RUN_STARTING)
			remember_unanswered_start(r, now);
		/* A start without an answer may still reach the new incarnation
		 * of a worker that kept its id.  A new incarnation knows no
		 * epoch and no run yet, so it would carry out the start unless
		 * it gets a stop first.  A start answered since the hold was
		 * sent may have reached it after it listed its runs. */
		if (new_answer != NULL &&
		    (r->start_unanswered || r->order_pending ||
			r->running_since > hold_sent_at)) {
			r->stop_answered = false;
			cell_fleet_stop(f, r, now);
		} else {
			run_ended(f, r, CELL_END_LAPSED, NULL, now);
		}
	}
	g_ptr_array_unref(runs);
}

/*
 * A new incarnation does not know earlier runs.  It would carry out a start
 * that the last incarnation left unanswered, even if the task is done by now.
 * Each of these starts is refused once a stop for it has been received.
 */
static void
stop_unanswered_starts(
    struct cell_fleet *f, struct cell_worker *w, ogl_time now)
{
	guint i;

	for (i = 0; i < w->unanswered_starts->len; i++) {
		const struct cell_unanswered_start *start = &g_array_index(
		    w->unanswered_starts, struct cell_unanswered_start, i);
		struct cell_run_row row = {
		    .task = start->task, .run = start->run};

		if (now - start->sent_at < UNANSWERED_START_MAX &&
		    find_run(w, &row) == NULL)
			cell_fleet_stop_orphan(f, w, &row, now);
	}
	g_array_set_size(w->unanswered_starts, 0);
}

static void
worker_restarted(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_hold_answer *a, ogl_time hold_sent_at, ogl_time now)
{
	log_worker(f, w, "worker_reborn");
	w->ends_acked = 0;
	w->ends_stored = 0;
	w->ends_reported = 0;
	w->lease_end_ms = 0;
	memset(&w->pace, 0, sizeof w->pace);
	lose_runs(f, w, a, hold_sent_at, now);
	stop_unanswered_starts(f, w, now);
}

/* ---- the answer to a hold --------------------------------------------- */

static void
run_started(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	if (r->running_since != 0)
		return;
	r->running_since = now;
	if (r->state == CELL_RUN_STARTING)
		r->state = CELL_RUN_RUNNING;
	f->events.run_started(f->events.arg, r, now);
}

/* The progress of a gang is that of its slowest member, and a lasting task
 * makes none, so neither shows the pace of a worker. */
static void
observe_pace(struct cell_fleet *f, struct cell_worker *w, struct cell_run *r,
    uint64_t clock_ms)
{
	const Ogl__CellStep *step = r->stage != NULL ? r->stage->def : NULL;

	if (step == NULL || step->gang || step->lasting)
		return;
	cell_pace_observe(&w->pace, f->baseline_pace, &r->progress, clock_ms,
	    r->percent, step->estimate_ms);
}

static void
process_running(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_hold_answer *a, GHashTable *seen, ogl_time now)
{
	size_t i;

	for (i = 0; i < a->nrunning; i++) {
		const struct cell_run_row *row = &a->running[i];
		struct cell_run *r = find_run(w, row);

		if (r == NULL) {
			f->events.run_found(f->events.arg, w, row, now);
			r = find_run(w, row);
			if (r == NULL)
				continue;
		}
		g_hash_table_add(seen, r);
		r->start_unanswered = false;
		run_started(f, r, now);
		r->percent = row->percent;
		observe_pace(f, w, r, a->clock_ms);
		if (*row->checkpoint != '\0' &&
		    g_strcmp0(r->checkpoint, row->checkpoint) != 0) {
			g_free(r->checkpoint);
			r->checkpoint = g_strdup(row->checkpoint);
		}
	}
}

static void
process_ended(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_hold_answer *a, ogl_time now)
{
	size_t i;

	for (i = 0; i < a->nended; i++) {
		const struct cell_run_row *row = &a->ended[i];
		struct cell_run *r;

		if (row->number <= w->ends_reported)
			continue;
		w->ends_reported = row->number;
		r = find_run(w, row);
		if (r != NULL)
			run_ended(f, r, row->how, row->checkpoint, now);
		else
			f->events.end_found(f->events.arg, w, row, now);
	}
}

/* Ends the runs that the answer would list if they were not over. */
static void
process_missing(struct cell_fleet *f, struct cell_worker *w, GHashTable *seen,
    ogl_time hold_sent_at, ogl_time now)
{
	GPtrArray *runs = cell_worker_runs(w);
	guint i;

	for (i = 0; i < runs->len; i++) {
		struct cell_run *r = runs->pdata[i];

		if (g_hash_table_contains(seen, r))
			continue;
		if (r->stop_answered && r->stop_answered_at <= hold_sent_at)
			run_ended(f, r, CELL_END_STOPPED, NULL, now);
		else if (r->state == CELL_RUN_RUNNING && !r->order_pending &&
			 r->running_since <= hold_sent_at)
			run_ended(f, r, CELL_END_LAPSED, NULL, now);
	}
	g_ptr_array_unref(runs);
}

static void
process_hold(struct cell_fleet *f, struct call *c,
    const struct cell_hold_answer *a, ogl_time now)
{
	struct cell_worker *w = c->worker;
	uint64_t ends_before = w->ends_reported;
	bool first_answer = !w->fenced;
	GHashTable *seen;

	if (w->failures > 0)
		log_worker(f, w, "worker_regained");
	f->record_outdated |= w->silent_in_record;
	if (w->gone && w->incarnation == a->born_ms)
		log_worker(f, w, "worker_was_not_gone");
	w->gone = false;
	w->conn_refusals = 0;
	w->failures = 0;
	w->tasks_recorded = false;
	w->last_answer_at = now;
	if (w->incarnation != 0 && w->incarnation != a->born_ms)
		worker_restarted(f, w, a, c->sent_at, now);
	record_clock(w, a->clock_ms, now);
	if (w->incarnation != a->born_ms) {
		ends_before = 0;
		/* An earlier owner may just have renewed the lease of the
		 * runs there, for the longest time that an owner asks for. */
		w->lease_end_ms = a->clock_ms + LEASE_MS;
	}
	if (w->incarnation == a->born_ms)
		w->ends_acked = MAX(w->ends_acked, c->ends_acked);
	w->incarnation = a->born_ms;
	w->fenced = true;
	w->expected = false;
	seen = g_hash_table_new(NULL, NULL);
	process_running(f, w, a, seen, now);
	process_ended(f, w, a, now);
	if (a->nended < ENDS_PER_ANSWER_MAX)
		process_missing(f, w, seen, c->sent_at, now);
	g_hash_table_unref(seen);
	w->next_hold_at = now;
	if (w->ends_reported != ends_before) {
		w->next_hold_at = now + ENDS_BATCH_DELAY;
		f->events.ends_processed(f->events.arg, w, now);
	}
	if (first_answer) {
		f->confirmation_from = now;
		f->events.answered(f->events.arg, w, now);
	}
}

static void
set_gone(struct cell_fleet *f, struct cell_worker *w, ogl_time now)
{
	w->gone = true;
	w->expected = false;
	log_worker(f, w, "worker_gone");
	lose_runs(f, w, NULL, now, now);
	f->events.answered(f->events.arg, w, now);
}

/*
 * A worker listens as long as its process runs, so refused connections mean
 * that it has ended.  Its tasks are started elsewhere after 0.4 s instead of
 * after the lease of 5 s, and a new owner need not wait for it.
 */
static void
track_conn_refusals(
    struct cell_fleet *f, struct cell_worker *w, bool refused, ogl_time now)
{
	if (!refused || !CELL_USES_GONE) {
		w->conn_refusals = 0;
		return;
	}
	if (w->conn_refusals++ == 0)
		w->conn_refused_since = now;
	if (w->gone || w->conn_refusals < GONE_REFUSALS_MIN ||
	    now - w->conn_refused_since < GONE_REFUSED_MIN)
		return;
	set_gone(f, w, now);
}

static const char *
failure_name(const struct cell_hold_answer *a)
{
	if (a->no_listener)
		return "no_listener";
	if (a->why == CELL_REFUSED_INCARNATION)
		return "other_life";
	return a->io == OGL_IO_LOST ? "unanswered" : "refused";
}

static void
hold_failed(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_hold_answer *a, ogl_time now)
{
	w->next_hold_at = w->failures == 0 ? now : now + HOLD_RETRY_DELAY;
	if (a->why == CELL_REFUSED_FENCE) {
		f->events.outranked(f->events.arg, now);
		return;
	}
	if (a->io == OGL_IO_LOST)
		w->lossy_until = now + LOSSY_PERIOD;
	if (w->failures == 0)
		log_worker_why(f, w, "worker_silent", failure_name(a));
	count_failure(w, now);
	track_conn_refusals(f, w, a->no_listener, now);
	/* Another incarnation answers: the last one has ended, and the new one
	 * refuses calls meant for the last one. */
	if (a->why != CELL_REFUSED_INCARNATION)
		return;
	if (w->gone)
		lose_runs(f, w, NULL, now, now);
	else
		set_gone(f, w, now);
}

static void
call_free(struct call *c)
{
	c->worker->calls_pending--;
	g_free(c);
}

static void
on_hold(void *arg, const struct cell_hold_answer *a, ogl_time now)
{
	struct call *c = arg;
	struct cell_fleet *f = c->fleet;
	struct cell_worker *w = c->worker;

	if (c->generation == f->generation &&
	    c->hold_number == w->hold_number) {
		w->hold_pending = false;
		w->hold_duration = now - c->sent_at;
		if (a->io == OGL_IO_OK)
			process_hold(f, c, a, now);
		else
			hold_failed(f, w, a, now);
	}
	call_free(c);
}

/*
 * Whether a hold may extend the worker's lease.  A hold to a worker that does
 * not answer must not: it may reach the worker nevertheless, so each one would
 * postpone the time from which the worker's tasks are certainly over, and they
 * would never be started elsewhere.
 */
static bool
may_renew(const struct cell_worker *w)
{
	return w->fenced && w->failures == 0;
}

/*
 * Returns the number up to which ends are acknowledged, 0 for none.  When a
 * worker restarts under its id, its ends count from 1 again, so an old number
 * would acknowledge ends of the new incarnation that no owner has seen.  Hence
 * a number is sent only once, right after its ends were listed, and not while
 * answers are missing: the next answer may be that of a new incarnation.
 */
static uint64_t
ends_to_acknowledge(const struct cell_worker *w)
{
	return w->failures == 0 && w->ends_stored > w->ends_acked
		   ? w->ends_stored
		   : 0;
}

/* Sets how long the worker may delay its answer and how long we wait for it. */
static void
set_hold_times(
    const struct cell_worker *w, struct cell_hold *h, bool renew, ogl_time now)
{
	bool lossy = CELL_USES_LOSSY && now < w->lossy_until;

	if (!w->fenced) {
		h->timeout_ms =
		    MIN(FIRST_HOLD_TIMEOUT_MS << MIN(w->failures, 4),
			ORDER_TIMEOUT_MS);
	} else if (!renew || w->next_hold_no_wait) {
		h->timeout_ms =
		    lossy ? LOSSY_HOLD_TIMEOUT_MS : ORDER_TIMEOUT_MS;
	} else {
		h->wait_ms = lossy ? LOSSY_HOLD_WAIT_MS : HOLD_WAIT_MS;
		h->timeout_ms = lossy ? LOSSY_HOLD_TIMEOUT_MS : HOLD_TIMEOUT_MS;
	}
}

static void
send_hold(struct cell_fleet *f, struct cell_worker *w, ogl_time now)
{
	struct call *c = g_new0(struct call, 1);
	bool renew = g_hash_table_size(w->runs) > 0;
	struct cell_hold h = {
	    .to = {w->addr, w->id, f->epoch},
	    .last_seen = ends_to_acknowledge(w),
	    .until_ms = renew && may_renew(w) ? extend_lease(f, w, now) : 0,
	};

	set_hold_times(w, &h, renew, now);
	c->fleet = f;
	c->worker = w;
	c->generation = f->generation;
	c->sent_at = now;
	c->ends_acked = h.last_seen;
	c->hold_number = ++w->hold_number;
	w->calls_pending++;
	w->hold_pending = true;
	w->hold_sent_at = now;
	w->next_hold_no_wait = false;
	f->ops->count(f->ops->ctx, "holds", 1);
	f->ops->hold(f->ops->backend_ctx, &h, on_hold, c);
}

static bool
wants_hold(const struct cell_worker *w, ogl_time now)
{
	if (w->hold_pending || now < w->next_hold_at || w->addr == NULL)
		return false;
	if (!w->listed && !w->expected && g_hash_table_size(w->runs) == 0)
		return false;
	/* A silent worker is called until it answers, even if nothing runs
	 * there; otherwise it would never get work again. */
	if (!w->fenced || w->failures > 0)
		return true;
	/* Until the reported ends are stored, the worker would only list them
	 * again. */
	if (w->ends_reported > w->ends_stored &&
	    now - w->hold_sent_at < LEASE_RENEW_AFTER)
		return false;
	return g_hash_table_size(w->runs) > 0 || w->next_hold_no_wait;
}

void
cell_fleet_ends_stored(struct cell_fleet *f, struct cell_worker *w,
    uint64_t incarnation, uint64_t number)
{
	(void)f;
	if (incarnation != w->incarnation || !w->fenced)
		return;
	if (number <= w->ends_stored || number > w->ends_reported)
		return;
	w->ends_stored = number;
	w->next_hold_no_wait = g_hash_table_size(w->runs) == 0;
}

/* ---- orders ----------------------------------------------------------- */

static void on_start(
    void *arg, const struct cell_order_answer *a, ogl_time now);
static void on_stop(void *arg, const struct cell_order_answer *a, ogl_time now);

static struct call *
order_call_new(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	struct call *c = g_new0(struct call, 1);

	c->fleet = f;
	c->worker = r->worker;
	c->run = r;
	c->generation = f->generation;
	c->sent_at = now;
	r->worker->calls_pending++;
	r->order_pending = true;
	return c;
}

static void
send_start(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	struct cell_worker *w = r->worker;
	struct cell_order o = {
	    .to = {w->addr, w->id, f->epoch},
	    .task = r->name,
	    .run = r->number,
	    .spec = r->spec,
	    .until_ms = extend_lease(f, w, now),
	    .checkpoint = r->checkpoint != NULL ? r->checkpoint : "",
	    .ticket = r->ticket,
	    .timeout_ms = ORDER_TIMEOUT_MS,
	};

	r->tries++;
	r->start_sent = true;
	f->ops->count(f->ops->ctx, "starts", 1);
	f->ops->start(
	    f->ops->backend_ctx, &o, on_start, order_call_new(f, r, now));
}

static void
send_stop(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	struct cell_worker *w = r->worker;
	struct cell_order o = {
	    .to = {w->addr, w->id, f->epoch},
	    .task = r->name,
	    .run = r->number,
	    .timeout_ms = ORDER_TIMEOUT_MS,
	};

	f->ops->count(f->ops->ctx, "stops", 1);
	f->ops->stop(
	    f->ops->backend_ctx, &o, on_stop, order_call_new(f, r, now));
}

void
cell_fleet_stop(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	r->state = CELL_RUN_STOPPING;
	r->retry_at = now;
	if (!r->order_pending && !r->stop_answered)
		send_stop(f, r, now);
}

void
cell_fleet_update_baseline(struct cell_fleet *f)
{
	GArray *values = g_array_new(FALSE, FALSE, sizeof(double));
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, f->workers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct cell_worker *w = p;

		if (cell_pace_known(&w->pace))
			g_array_append_val(values, w->pace.value);
	}
	f->baseline_pace = cell_pace_baseline(values);
	g_array_unref(values);
}

void
cell_fleet_count_stall(struct cell_fleet *f, struct cell_worker *w)
{
	cell_pace_observe_stall(&w->pace, f->baseline_pace);
}

void
cell_fleet_decay_pace(struct cell_fleet *f, struct cell_worker *w)
{
	cell_pace_decay(&w->pace, f->baseline_pace);
}

void
cell_fleet_move(
    struct cell_fleet *f, struct cell_run *r, const char *why, ogl_time now)
{
	char text[256];

	g_snprintf(text, sizeof text,
	    "task=%u.%u.%u run=%" G_GUINT64_FORMAT
	    " worker=%s why=%s percent=%u pace=%.2f",
	    r->name.occurrence, r->name.step, r->name.index, r->number,
	    r->worker->id, why, r->percent, cell_fleet_pace(f, r->worker));
	cell_log_job(f->ops, "fleet", "run_moved", r->name.id,
	    r->stage != NULL ? r->stage->job->accepted : OGL_NEVER, text);
	f->ops->count(f->ops->ctx, "runs_moved", 1);
	cell_fleet_stop(f, r, now);
}

/* Removes a run whose start was certainly not carried out. */
static void
run_refused(struct cell_fleet *f, struct cell_run *r, enum cell_refusal why,
    ogl_time now)
{
	f->events.start_refused(f->events.arg, r, why, now);
	run_remove(f, r, now);
}

static void
start_refused(struct cell_fleet *f, struct cell_run *r, enum cell_refusal why,
    ogl_time now)
{
	if (why == CELL_REFUSED_FENCE) {
		f->events.outranked(f->events.arg, now);
		return;
	}
	/* The start was sent twice, and another copy was carried out.  If this
	 * answer counted as a refusal of the run, the task would run again
	 * after it was done.  The next answer to a hold shows its state. */
	if (r->running_since != 0)
		return;
	switch (why) {
	case CELL_REFUSED_INCARNATION:
		r->worker->fenced = false;
		r->worker->next_hold_at = now;
		if (r->start_unanswered)
			break;
		run_refused(f, r, why, now);
		return;
	case CELL_REFUSED_OLD:
		if (!r->start_unanswered)
			break;
		/* An earlier copy of this start was carried out; the next
		 * answer to a hold shows the state of the run. */
		r->start_unanswered = false;
		run_started(f, r, now);
		r->worker->next_hold_no_wait = true;
		return;
	default:
		break;
	}
	if (r->start_unanswered || r->state == CELL_RUN_STOPPING)
		cell_fleet_stop(f, r, now);
	else
		run_refused(f, r, why, now);
}

static void
start_lost(struct cell_fleet *f, struct cell_run *r, enum ogl_io_result io,
    ogl_time now)
{
	if (io == OGL_IO_LOST) {
		r->start_unanswered = true;
		remember_unanswered_start(r, now);
	}
	if (io == OGL_IO_NOT_SENT && !r->start_unanswered &&
	    r->state == CELL_RUN_STARTING) {
		r->worker->next_hold_no_wait = true;
		count_failure(r->worker, now);
		r->worker->next_hold_at = now;
		run_refused(f, r, CELL_REFUSED_BUSY, now);
		return;
	}
	if (r->state == CELL_RUN_STOPPING || r->tries >= START_TRIES_MAX)
		cell_fleet_stop(f, r, now);
	else
		r->retry_at = now;
}

static void
start_confirmed(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	r->start_unanswered = false;
	run_started(f, r, now);
	if (r->state == CELL_RUN_STOPPING && !r->stop_answered)
		send_stop(f, r, now);
}

/* Frees the call of an answered start or stop and sets *run to its run.  If the
 * run is no longer known, frees it, too, and returns false. */
static bool
order_finish(struct call *c, struct cell_run **run)
{
	struct cell_run *r = c->run;
	bool current = c->generation == c->fleet->generation;

	r->order_pending = false;
	*run = r;
	call_free(c);
	if (current && r->worker != NULL)
		return true;
	run_free(r);
	return false;
}

static void
on_start(void *arg, const struct cell_order_answer *a, ogl_time now)
{
	struct call *c = arg;
	struct cell_fleet *f = c->fleet;
	ogl_time sent_at = c->sent_at;
	struct cell_run *r;

	if (!order_finish(c, &r))
		return;
	if (a->io == OGL_IO_OK || a->why != CELL_NOT_REFUSED)
		record_clock(r->worker, a->clock_ms, now);
	if (a->io == OGL_IO_OK) {
		f->ops->observe(f->ops->ctx, "start_ms",
		    (uint64_t)((now - sent_at) / OGL_MS));
		start_confirmed(f, r, now);
	} else if (a->io == OGL_IO_REFUSED) {
		start_refused(f, r, a->why, now);
	} else {
		start_lost(f, r, a->io, now);
	}
}

static void
on_stop(void *arg, const struct cell_order_answer *a, ogl_time now)
{
	struct call *c = arg;
	struct cell_fleet *f = c->fleet;
	struct cell_run *r;

	if (!order_finish(c, &r))
		return;
	if (a->io == OGL_IO_OK) {
		r->stop_answered = true;
		r->stop_answered_at = now;
		r->worker->next_hold_no_wait = true;
		return;
	}
	if (a->why == CELL_REFUSED_FENCE) {
		f->events.outranked(f->events.arg, now);
		return;
	}
	if (a->why == CELL_REFUSED_INCARNATION) {
		run_ended(f, r, CELL_END_LAPSED, NULL, now);
		return;
	}
	r->retry_at = now + ORDER_RETRY_DELAY;
}

struct cell_run *
cell_fleet_start(struct cell_fleet *f, struct cell_worker *w,
    struct cell_stage *s, uint32_t index, uint64_t number, const char *ticket,
    uint32_t rank, ogl_time now)
{
	struct cell_task *t = cell_stage_shared_task(s, index);
	struct cell_task_name name = {
	    .occurrence = s->occurrence, .step = s->step, .index = index};
	struct ogl_res res = cell_stage_need(s);
	struct cell_run *r;

	memcpy(name.id, s->job->id, sizeof name.id);
	r = run_new(f, w, &name, number, &res, s->job->def->team);
	r->stage = s;
	r->state = CELL_RUN_STARTING;
	r->spec = g_strdup(s->job->def->spec);
	r->ticket = g_strdup(ticket);
	r->checkpoint = g_strdup(t->checkpoint);
	r->rank = rank;
	r->created_at = now;
	send_start(f, r, now);
	return r;
}

struct cell_run *
cell_fleet_adopt(struct cell_fleet *f, struct cell_worker *w,
    struct cell_stage *s, const struct cell_run_row *row, uint32_t rank,
    ogl_time now)
{
	struct ogl_res res = cell_stage_need(s);
	struct cell_run *r;

	r = run_new(f, w, &row->task, row->run, &res, s->job->def->team);
	r->stage = s;
	r->state = CELL_RUN_RUNNING;
	r->rank = rank;
	r->created_at = now;
	r->running_since = now;
	r->percent = row->percent;
	r->checkpoint = g_strdup(row->checkpoint);
	return r;
}

/*
 * A job that ended shortly before a takeover may have tasks that are still
 * being stopped, whose resources are no longer known.  A worker with such a run
 * gets no work until the run is over, as its capacity might be exceeded.
 */
void
cell_fleet_stop_orphan(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_run_row *row, ogl_time now)
{
	struct ogl_res none = {0};
	struct cell_run *r = run_new(f, w, &row->task, row->run, &none, "");

	r->running_since = now;
	r->orphan = true;
	w->norphans++;
	cell_fleet_stop(f, r, now);
}

/* ---- periodic work ---------------------------------------------------- */

static void
step_run(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	if (r->order_pending || now < r->retry_at)
		return;
	if (r->state == CELL_RUN_STARTING && r->worker->evacuated) {
		cell_fleet_stop(f, r, now);
	} else if (r->state == CELL_RUN_STARTING) {
		if (r->worker->fenced)
			send_start(f, r, now);
	} else if (r->state == CELL_RUN_STOPPING && !r->stop_answered) {
		send_stop(f, r, now);
	}
}

static void
step_runs(struct cell_fleet *f, struct cell_worker *w, ogl_time now)
{
	GPtrArray *runs;
	guint i;

	if (g_hash_table_size(w->runs) == 0)
		return;
	runs = cell_worker_runs(w);
	for (i = 0; i < runs->len; i++)
		step_run(f, runs->pdata[i], now);
	g_ptr_array_unref(runs);
}

static void
step_worker(
    struct cell_fleet *f, struct cell_worker *w, bool scan_runs, ogl_time now)
{
	if (w->incarnation != 0 && g_hash_table_size(w->runs) > 0 &&
	    now > lease_expires_at(w)) {
		log_worker(f, w, "worker_lapsed");
		lose_runs(f, w, NULL, now, now);
	}
	if (w->open_in_record && cell_worker_silent(w, now))
		f->record_outdated = true;
	if (wants_hold(w, now))
		send_hold(f, w, now);
	if (scan_runs)
		step_runs(f, w, now);
}

/* Called once the leases of earlier owners have expired: none was longer than
 * LEASE_MS, and a replaced owner can renew none.  A worker that has not
 * answered by then runs nothing, and is no longer waited for. */
static void
clear_expected(struct cell_fleet *f)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, f->workers);
	while (g_hash_table_iter_next(&it, NULL, &p))
		((struct cell_worker *)p)->expected = false;
}

static gboolean
worker_is_unused(gpointer key, gpointer value, gpointer ctx)
{
	const struct cell_worker *w = value;
	struct cell_fleet *f = ctx;

	(void)key;
	if (w->listed || w->expected || w->calls_pending > 0 ||
	    g_hash_table_size(w->runs) > 0)
		return FALSE;
	f->record_outdated = true;
	g_hash_table_remove(f->by_serial, GUINT_TO_POINTER(w->serial));
	return TRUE;
}

void
cell_fleet_step(struct cell_fleet *f, ogl_time now)
{
	bool scan_runs = now >= f->next_run_scan_at;
	GHashTableIter it;
	gpointer p;

	if (!f->open || now < f->next_scan_at)
		return;
	if (!f->old_leases_expired && now > cell_fleet_old_leases_end(f)) {
		f->old_leases_expired = true;
		clear_expected(f);
	}
	f->next_scan_at = now + SCAN_INTERVAL;
	if (scan_runs)
		f->next_run_scan_at = now + RUN_SCAN_INTERVAL;
	g_hash_table_iter_init(&it, f->workers);
	while (g_hash_table_iter_next(&it, NULL, &p))
		step_worker(f, p, scan_runs, now);
	if (scan_runs)
		g_hash_table_foreach_remove(f->workers, worker_is_unused, f);
}

bool
cell_fleet_settled(struct cell_fleet *f, ogl_time now)
{
	GHashTableIter it;
	gpointer p;

	if (now > cell_fleet_old_leases_end(f))
		return true;
	g_hash_table_iter_init(&it, f->workers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct cell_worker *w = p;

		if ((w->listed || w->expected) && w->incarnation == 0 &&
		    !w->gone && !w->tasks_recorded)
			return false;
	}
	return true;
}
