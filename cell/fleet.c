/*
 * Each worker that has anything to tell or to keep alive has one hold under
 * way.  A hold renews the lease of all that runs there, tells which ends are
 * noted for good, and its answer waits for the next end; both lists of the
 * answer are then compared with what is known here:
 *
 *	listed as running, known      it is up; its checkpoint is kept
 *	listed as running, unknown    the owner is asked (found)
 *	listed as ended               the run is over
 *	up, but in neither list       it was lost
 *	stop answered, in neither     it never came, and now never will
 *
 * A start without an answer may be carried out seconds later.  It is repeated
 * as it was, which the worker carries out once.  Only a stop that was answered
 * makes certain that the run won't begin any more, so a start that is given up
 * is stopped first.
 *
 * A worker that does not answer may go on running all it has until the lease
 * asked for last is over by its own clock, which may be SLOW slower than ours.
 * Until then its runs count as running.  One whose host answers that nothing
 * listens at its address, or where another worker answers, has ended, and all it
 * ran with it.
 */

#include <string.h>

#include "ablate.h"
#include "fleet.h"

/* Longest lease asked for.  It has to outlast the loss of an owner (silence,
 * claim, first holds: some 2.5 s) and ends what a worker cut off runs. */
#define LEASE_MS 5000
#define SLOW 1.0205 /* a clock 2% slow takes 1/0.98 of the time */
#define LAPSE_MARGIN (250 * OGL_MS)
/* A hold whose answer is lost hides the ends of its worker for as long as it
 * may take, so it is short; a busy worker answers long before. */
#define HOLD_WAIT_MS 450
#define HOLD_TIMEOUT_MS 800
/* A worker whose answers are lost now and then is asked in short holds for a
 * while, or its ends would be known up to 0.8 s late. */
#define LOSSY (2 * OGL_SEC)
#define LOSSY_WAIT_MS 100
#define LOSSY_TIMEOUT_MS 250
/* After a change of owner everything waits for the first answer of each worker.
 * The question may be repeated freely, so it is, soon; each miss doubles it. */
#define FIRST_TIMEOUT_MS 150
/* Ends within this time of each other are fetched with one hold. */
#define HOLD_GAP (20 * OGL_MS)
/* A hold whose ends are not stored yet would return at once with the same
 * ends; it is sent all the same when the lease wants renewing. */
#define RENEW (700 * OGL_MS)
#define HOLD_RETRY (150 * OGL_MS)
/* A worker has ended when so many connections in a row, over so long a time,
 * met nobody listening; a single one may fall into its start. */
#define GONE_REFUSALS 3
#define GONE_AFTER (400 * OGL_MS)
/* An answer overdue by this makes a worker suspect: nothing new goes there. */
#define SUSPECT (250 * OGL_MS)
/* A worker silent for so long is told of to successors: a single lost answer is
 * not worth a record. */
#define SILENT_TOLD (400 * OGL_MS)
#define ORDER_TIMEOUT_MS 600
#define ORDER_RETRY (100 * OGL_MS)
#define START_TRIES 3
/* Between two looks at all workers, and at all runs: what is due may wait that
 * long, and an owner steps hundreds of times a second. */
#define SCAN (8 * OGL_MS)
#define SCAN_RUNS (40 * OGL_MS)
/* A call without an answer is carried out within this time or never. */
#define LOOSE_MAX (15 * OGL_SEC)
#define ENDS_A_PAGE 500 /* a fuller list of ends may not be whole */
/* A worker that fails STREAK different jobs in a row is set aside. */
#define STREAK 3
#define ASIDE (4 * OGL_SEC)
#define ASIDE_DOUBLINGS 3

struct cell_fleet {
	const struct cell_ops *ops;
	const struct cell_limits *limits;
	struct cell_fleet_events events;
	GHashTable *workers;   /* id -> struct cell_worker */
	GHashTable *by_serial; /* the same workers, not owned */
	uint32_t last_serial;
	GHashTable *teams; /* name -> struct ogl_res, what may run */
	const struct cell_zones *zones; /* evacuated ones; NULL not told yet */
	double baseline_pace;           /* of workers that are well */
	bool open;
	uint64_t epoch;
	uint64_t generation;
	ogl_time opened_at;
	bool lapsed; /* no lease of an earlier owner is left */
	bool names_changed;
	ogl_time confirmed_at; /* ownership, by the store */
	ogl_time proof_from;   /* it has to be confirmed as of then */
	ogl_time scan_at;
	ogl_time scan_runs_at;
};

/* An order or hold under way. */
struct call {
	struct cell_fleet *fleet;
	struct cell_worker *worker;
	struct cell_run *run; /* NULL: a hold */
	uint64_t generation;
	uint64_t noted;  /* hold: ends acknowledged */
	uint64_t number; /* hold */
	ogl_time sent;
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
	g_array_unref(w->loose);
	g_free(w->id);
	g_free(w->addr);
	g_free(w->zone);
	g_free(w->rack);
	g_strfreev(w->labels);
	g_free(w->service);
	g_free(w->streak_job);
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
worker_drop_runs(struct cell_worker *w)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		struct cell_run *r = p;

		g_hash_table_iter_remove(&it);
		if (r->open)
			r->worker = NULL; /* freed when its answer comes */
		else
			run_free(r);
	}
	memset(&w->used, 0, sizeof w->used);
	w->nstrays = 0;
	g_array_set_size(w->loose, 0);
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
	f->proof_from = 0;
	f->names_changed = true; /* whatever the last owner had stored */
	f->opened_at = now;
	f->lapsed = false;
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

		worker_drop_runs(w);
		w->fenced = false;
		w->holding = false;
		w->life = 0;
		w->last_seen = 0;
		w->taken = 0;
		w->until_ms = 0;
		w->listed = false;
		w->expected = false;
		w->named = false;
		w->excused = false;
		w->named_from = 0;
		w->moved = false;
		w->told_silent = false;
		w->gone = false;
		w->refusals = 0;
		w->acked = 0;
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
replace(char **to, const char *from)
{
	if (g_strcmp0(*to, from) == 0)
		return;
	g_free(*to);
	*to = g_strdup(from);
}

static struct cell_worker *
worker_get(struct cell_fleet *f, const char *id, ogl_time now)
{
	struct cell_worker *w = g_hash_table_lookup(f->workers, id);

	if (w != NULL)
		return w;
	w = g_new0(struct cell_worker, 1);
	w->serial = ++f->last_serial;
	w->id = g_strdup(id);
	w->runs = g_hash_table_new(NULL, NULL);
	w->loose = g_array_new(FALSE, FALSE, sizeof(struct cell_loose));
	w->hold_at = now;
	f->names_changed = true;
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
	    w->id, w->addr, w->life, g_hash_table_size(w->runs), w->failures,
	    w->draining, w->hold_took / OGL_MS, *why != '\0' ? " why=" : "",
	    why);
	f->ops->log(f->ops->ctx, "fleet", event, text);
}

static void
log_worker(struct cell_fleet *f, const struct cell_worker *w, const char *event)
{
	log_worker_why(f, w, event, "");
}

/* A successor would call it at its old address, learn there that it has ended,
 * and start elsewhere what runs at the new one; so it is given nothing until a
 * record has the new one. */
static void
set_addr(
    struct cell_fleet *f, struct cell_worker *w, const char *addr, ogl_time now)
{
	w->moved = w->addr != NULL;
	if (w->moved) {
		w->named = false;
		w->gone = false;
		w->refusals = 0;
		w->hold_at = now;
	}
	f->names_changed = true;
	replace(&w->addr, addr);
}

void
cell_fleet_entry(struct cell_fleet *f, const char *id,
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
	w = worker_get(f, id, now);
	if (g_strcmp0(w->addr, e->addr) != 0)
		set_addr(f, w, e->addr, now);
	replace(&w->zone, e->zone);
	w->evacuated =
	    f->zones != NULL && cell_zones_evacuated(f->zones, w->zone);
	replace(&w->rack, e->rack);
	replace(&w->service, e->service);
	g_strfreev(w->labels);
	w->labels = g_strdupv(e->labels);
	w->capacity = e->capacity;
	if (w->draining != e->draining || !w->listed) {
		f->names_changed |= w->draining != e->draining;
		w->draining = e->draining;
		w->listed = true;
		log_worker(f, w, "worker_listed");
	}
	if (w->entry_born_ms != e->born_ms) {
		w->entry_born_ms = e->born_ms;
		w->failures = 0;
		w->hold_at = now;
		/* A new life has seen no epoch: it is called at once.  The
		 * hold under way was the last life's. */
		if (w->life != 0 && e->born_ms != 0 && e->born_ms != w->life) {
			w->fenced = false;
			w->holding = false;
			w->hold_number++;
			w->acked = w->last_seen; /* ends of that life */
		}
	}
	if (f->open)
		f->events.room(f->events.arg, now);
}

void
cell_fleet_zones(struct cell_fleet *f, const struct cell_zones *z, ogl_time now)
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
	f->events.room(f->events.arg, now);
}

void
cell_fleet_expect(struct cell_fleet *f, const Ogl__CellKnown *k, ogl_time now)
{
	struct cell_worker *w = worker_get(f, k->id, now);

	w->expected = true;
	w->excused = k->closed;
	w->named = !k->closed;
	if (w->addr != NULL)
		return;
	replace(&w->addr, k->addr);
	replace(&w->service, k->service);
	replace(&w->zone, "");
	replace(&w->rack, "");
}

ogl_time
cell_fleet_lapse(const struct cell_fleet *f)
{
	return f->opened_at + (ogl_time)(LEASE_MS * SLOW) * OGL_MS +
	       LAPSE_MARGIN;
}

void
cell_fleet_named(struct cell_fleet *f, const char *id, uint64_t record)
{
	struct cell_worker *w = g_hash_table_lookup(f->workers, id);

	if (w == NULL || w->named || w->moved || record < w->named_from)
		return;
	w->named = true;
	f->events.room(f->events.arg, f->opened_at);
}

bool
cell_worker_silent(const struct cell_worker *w, ogl_time now)
{
	return CELL_USES_SILENT && w->life != 0 && w->failures > 0 &&
	       now - w->silent_since > SILENT_TOLD;
}

/*
 * A worker that starts anew obeys whoever calls it first.  An owner that was
 * replaced while it stood still or was cut off does not know that yet; if it
 * called the new life before its successor, it would start there what already
 * runs elsewhere.  So after a first answer, and after standing still, nothing
 * is started before the store has confirmed the ownership once more.
 */
void
cell_fleet_confirm(struct cell_fleet *f, ogl_time at)
{
	bool wanted = cell_fleet_wants_proof(f);

	f->confirmed_at = MAX(f->confirmed_at, at);
	if (wanted && !cell_fleet_wants_proof(f))
		f->events.room(f->events.arg, at);
}

bool
cell_fleet_wants_proof(const struct cell_fleet *f)
{
	return f->open && f->confirmed_at < f->proof_from;
}

void
cell_fleet_doubt(struct cell_fleet *f, ogl_time now)
{
	f->proof_from = MAX(f->proof_from, now);
}

bool
cell_fleet_names_changed(struct cell_fleet *f)
{
	bool changed = f->names_changed;

	f->names_changed = false;
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
overdue(const struct cell_worker *w, ogl_time now)
{
	return w->holding &&
	       now - w->hold_sent > HOLD_WAIT_MS * OGL_MS + SUSPECT;
}

bool
cell_worker_open(const struct cell_worker *w, ogl_time now)
{
	return w->listed && w->named && !w->draining && !w->evacuated &&
	       w->fenced && w->failures == 0 && w->nstrays == 0 &&
	       now >= w->aside_until && !overdue(w, now);
}

/*
 * One bad job fails wherever it runs, so only failures of different jobs in a
 * row speak against a worker.
 */
void
cell_worker_result(
    struct cell_worker *w, const char *job, bool ok, ogl_time now)
{
	if (ok) {
		w->streak = 0;
		w->asides = 0;
		g_clear_pointer(&w->streak_job, g_free);
		return;
	}
	if (g_strcmp0(w->streak_job, job) == 0)
		return;
	replace(&w->streak_job, job);
	w->streak++;
	if (w->streak < STREAK)
		return;
	w->aside_until = now + (ASIDE << MIN(w->asides, ASIDE_DOUBLINGS));
	w->asides++;
	w->streak = STREAK - 1; /* one more failure after that is enough */
}

static void
count_failure(struct cell_worker *w, ogl_time now)
{
	if (w->failures++ == 0)
		w->silent_since = now;
}

/* ---- accounts --------------------------------------------------------- */

static struct ogl_res *
team_account(struct cell_fleet *f, const char *team)
{
	struct ogl_res *a = g_hash_table_lookup(f->teams, team);

	if (a == NULL) {
		a = g_new0(struct ogl_res, 1);
		g_hash_table_insert(f->teams, g_strdup(team), a);
	}
	return a;
}

struct ogl_res
cell_fleet_team_used(const struct cell_fleet *f, const char *team)
{
	const struct ogl_res none = {0};
	const struct ogl_res *a = g_hash_table_lookup(f->teams, team);

	return a != NULL ? *a : none;
}

void
cell_fleet_suppose(
    struct cell_fleet *f, const char *team, const struct ogl_res *res)
{
	ogl_res_add(team_account(f, team), res);
}

void
cell_fleet_suppose_not(
    struct cell_fleet *f, const char *team, const struct ogl_res *res)
{
	ogl_res_sub(team_account(f, team), res);
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
	ogl_res_add(team_account(f, r->team), res);
	g_hash_table_add(w->runs, r);
	return r;
}

/* The run is over: its room is free. */
static void
run_end(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	struct cell_worker *w = r->worker;

	ogl_res_sub(&w->used, &r->res);
	ogl_res_sub(team_account(f, r->team), &r->res);
	g_hash_table_remove(w->runs, r);
	if (r->stray)
		w->nstrays--;
	r->worker = NULL;
	if (!r->open)
		run_free(r);
	f->events.room(f->events.arg, now);
}

static void
run_over(struct cell_fleet *f, struct cell_run *r, enum cell_end how,
    const char *checkpoint, ogl_time now)
{
	f->events.ended(f->events.arg, r, how, checkpoint, now);
	run_end(f, r, now);
}

/* ---- clocks and leases ------------------------------------------------ */

static void
read_clock(struct cell_worker *w, uint64_t clock_ms, ogl_time now)
{
	if (clock_ms == 0)
		return;
	w->clock_ms = clock_ms;
	w->clock_at = now;
}

/* The worker's clock now, at least. */
static uint64_t
clock_now(const struct cell_worker *w, ogl_time now)
{
	return w->clock_ms + (uint64_t)((now - w->clock_at) / OGL_MS);
}

static uint64_t
lease_end(const struct cell_fleet *f, struct cell_worker *w, ogl_time now)
{
	uint64_t until;

	if (w->life == 0)
		return 0;
	until = clock_now(w, now) + MIN(LEASE_MS, f->limits->lease_max_ms);
	w->until_ms = MAX(w->until_ms, until);
	return until;
}

/* When the worker's lease is over for certain, if it is not renewed. */
static ogl_time
lapse_at(const struct cell_worker *w)
{
	double left =
	    w->until_ms > w->clock_ms ? (double)(w->until_ms - w->clock_ms) : 0;

	return w->clock_at + (ogl_time)(left * SLOW * OGL_MS) + LAPSE_MARGIN;
}

/* ---- ends of runs ----------------------------------------------------- */

static bool
same_task(const struct cell_task_name *a, const struct cell_task_name *b)
{
	return a->index == b->index && a->step == b->step &&
	       a->occurrence == b->occurrence && strcmp(a->id, b->id) == 0;
}

static bool
row_is_of(const struct cell_run *r, const struct cell_row *row)
{
	return r->number == row->run && same_task(&r->name, &row->task);
}

static struct cell_run *
find_run(const struct cell_worker *w, const struct cell_row *row)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		struct cell_run *r = p;

		if (row_is_of(r, row))
			return r;
	}
	return NULL;
}

GPtrArray *
cell_worker_runs(const struct cell_worker *w)
{
	GPtrArray *a = g_ptr_array_sized_new(g_hash_table_size(w->runs));
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, &p, NULL))
		g_ptr_array_add(a, p);
	return a;
}

/* Whether either list of the answer names the run; NULL lists nothing. */
static bool
answer_names(const struct cell_hold_answer *a, const struct cell_run *r)
{
	size_t i;

	for (i = 0; a != NULL && i < a->nrunning; i++) {
		if (row_is_of(r, &a->running[i]))
			return true;
	}
	for (i = 0; a != NULL && i < a->nended; i++) {
		if (row_is_of(r, &a->ended[i]))
			return true;
	}
	return false;
}

static void
remember_loose(const struct cell_run *r, ogl_time now)
{
	GArray *a = r->worker->loose;
	struct cell_loose l = {r->name, r->number, now};

	while (a->len > 0 &&
	       now - g_array_index(a, struct cell_loose, 0).sent > LOOSE_MAX)
		g_array_remove_index(a, 0);
	g_array_append_val(a, l);
}

/* Nothing that was started in the worker's last life runs any more, but for
 * what the new life lists: a start may have reached that already.  asked: when
 * the question was sent that the new life answered. */
static void
lose_runs(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_hold_answer *new_life, ogl_time asked, ogl_time now)
{
	GPtrArray *a = cell_worker_runs(w);
	guint i;

	for (i = 0; i < a->len; i++) {
		struct cell_run *r = a->pdata[i];

		if (answer_names(new_life, r))
			continue;
		/* Still on its way, it may reach the worker's next life. */
		if (new_life == NULL && r->open &&
		    r->state == CELL_RUN_STARTING)
			remember_loose(r, now);
		/* A start still without an answer may reach the new life of a
		 * worker that kept its id, which knows no fence and no run
		 * yet; only a stop there rules that out.  One that was answered
		 * since the question may have reached it after it listed what
		 * it runs. */
		if (new_life != NULL &&
		    (r->unsure || r->open || r->up_at > asked)) {
			r->stop_done = false;
			cell_fleet_stop(f, r, now);
		} else {
			run_over(f, r, CELL_END_LAPSED, NULL, now);
		}
	}
	g_ptr_array_unref(a);
}

/*
 * The new life knows no run of before, so a start that went unanswered in the
 * last one would be carried out, though its task has long been done.  A stop
 * for each makes the new life refuse it.
 */
static void
stop_loose(struct cell_fleet *f, struct cell_worker *w, ogl_time now)
{
	guint i;

	for (i = 0; i < w->loose->len; i++) {
		const struct cell_loose *l =
		    &g_array_index(w->loose, struct cell_loose, i);
		struct cell_row row = {.task = l->task, .run = l->run};

		if (now - l->sent < LOOSE_MAX && find_run(w, &row) == NULL)
			cell_fleet_stray(f, w, &row, now);
	}
	g_array_set_size(w->loose, 0);
}

static void
worker_reborn(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_hold_answer *a, ogl_time asked, ogl_time now)
{
	log_worker(f, w, "worker_reborn");
	w->acked = 0;
	w->last_seen = 0;
	w->taken = 0;
	w->until_ms = 0;
	memset(&w->pace, 0, sizeof w->pace);
	lose_runs(f, w, a, asked, now);
	stop_loose(f, w, now);
}

/* ---- the answer to a hold --------------------------------------------- */

static void
run_up(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	if (r->up_at != 0)
		return;
	r->up_at = now;
	if (r->state == CELL_RUN_STARTING)
		r->state = CELL_RUN_UP;
	f->events.up(f->events.arg, r, now);
}

/* Of a gang the slowest member sets the pace, and a lasting task has none. */
static void
learn_pace(struct cell_fleet *f, struct cell_worker *w, struct cell_run *r,
    uint64_t clock_ms)
{
	const Ogl__CellStep *step = r->stage != NULL ? r->stage->def : NULL;

	if (step == NULL || step->gang || step->lasting)
		return;
	cell_pace_observe(&w->pace, f->baseline_pace, &r->progress, clock_ms,
	    r->percent, step->estimate_ms);
}

static void
take_running(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_hold_answer *a, GHashTable *seen, ogl_time now)
{
	size_t i;

	for (i = 0; i < a->nrunning; i++) {
		const struct cell_row *row = &a->running[i];
		struct cell_run *r = find_run(w, row);

		if (r == NULL) {
			f->events.found(f->events.arg, w, row, now);
			r = find_run(w, row);
			if (r == NULL)
				continue;
		}
		g_hash_table_add(seen, r);
		r->unsure = false;
		run_up(f, r, now);
		r->percent = row->percent;
		learn_pace(f, w, r, a->clock_ms);
		if (*row->checkpoint != '\0' &&
		    g_strcmp0(r->checkpoint, row->checkpoint) != 0) {
			g_free(r->checkpoint);
			r->checkpoint = g_strdup(row->checkpoint);
		}
	}
}

static void
take_ended(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_hold_answer *a, ogl_time now)
{
	size_t i;

	for (i = 0; i < a->nended; i++) {
		const struct cell_row *row = &a->ended[i];
		struct cell_run *r;

		if (row->number <= w->taken)
			continue;
		w->taken = row->number;
		r = find_run(w, row);
		if (r != NULL)
			run_over(f, r, row->how, row->checkpoint, now);
		else
			f->events.found_end(f->events.arg, w, row, now);
	}
}

/* A run that the worker should know of and does not list. */
static void
take_missing(struct cell_fleet *f, struct cell_worker *w, GHashTable *seen,
    ogl_time sent, ogl_time now)
{
	GPtrArray *a = cell_worker_runs(w);
	guint i;

	for (i = 0; i < a->len; i++) {
		struct cell_run *r = a->pdata[i];

		if (g_hash_table_contains(seen, r))
			continue;
		if (r->stop_done && r->stop_done_at <= sent)
			run_over(f, r, CELL_END_STOPPED, NULL, now);
		else if (r->state == CELL_RUN_UP && !r->open &&
			 r->up_at <= sent)
			run_over(f, r, CELL_END_LAPSED, NULL, now);
	}
	g_ptr_array_unref(a);
}

static void
take_hold(struct cell_fleet *f, struct call *c,
    const struct cell_hold_answer *a, ogl_time now)
{
	struct cell_worker *w = c->worker;
	uint64_t taken = w->taken;
	bool first = !w->fenced;
	GHashTable *seen;

	if (w->failures > 0)
		log_worker(f, w, "worker_regained");
	f->names_changed |= w->told_silent;
	if (w->gone && w->life == a->born_ms)
		log_worker(f, w, "worker_was_not_gone");
	w->gone = false;
	w->refusals = 0;
	w->failures = 0;
	w->excused = false;
	w->last_ok = now;
	if (w->life != 0 && w->life != a->born_ms)
		worker_reborn(f, w, a, c->sent, now);
	read_clock(w, a->clock_ms, now);
	if (w->life != a->born_ms) {
		taken = 0;
		/* An earlier owner may just have renewed the lease of what
		 * runs there, by as much as any owner asks for. */
		w->until_ms = a->clock_ms + LEASE_MS;
	}
	if (w->life == a->born_ms)
		w->acked = MAX(w->acked, c->noted);
	w->life = a->born_ms;
	w->fenced = true;
	w->expected = false;
	seen = g_hash_table_new(NULL, NULL);
	take_running(f, w, a, seen, now);
	take_ended(f, w, a, now);
	if (a->nended < ENDS_A_PAGE)
		take_missing(f, w, seen, c->sent, now);
	g_hash_table_unref(seen);
	w->hold_at = now;
	if (w->taken != taken) {
		w->hold_at = now + HOLD_GAP;
		f->events.ends_taken(f->events.arg, w, now);
	}
	if (first) {
		f->proof_from = now;
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
 * A worker listens for as long as it lives, so a refused connection tells that
 * it has ended: what ran there is started elsewhere after 0.4 s instead of after
 * its lease, 5 s, and a new owner need not wait for it.
 */
static void
watch_refusals(
    struct cell_fleet *f, struct cell_worker *w, bool refused, ogl_time now)
{
	if (!refused || !CELL_USES_GONE) {
		w->refusals = 0;
		return;
	}
	if (w->refusals++ == 0)
		w->refused_since = now;
	if (w->gone || w->refusals < GONE_REFUSALS ||
	    now - w->refused_since < GONE_AFTER)
		return;
	set_gone(f, w, now);
}

static const char *
failure_name(const struct cell_hold_answer *a)
{
	if (a->no_listener)
		return "no_listener";
	if (a->why == CELL_REFUSED_LIFE)
		return "other_life";
	return a->io == OGL_IO_LOST ? "unanswered" : "refused";
}

static void
hold_failed(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_hold_answer *a, ogl_time now)
{
	w->hold_at = w->failures == 0 ? now : now + HOLD_RETRY;
	if (a->why == CELL_REFUSED_FENCE) {
		f->events.outranked(f->events.arg, now);
		return;
	}
	if (a->io == OGL_IO_LOST)
		w->lossy_until = now + LOSSY;
	if (w->failures == 0)
		log_worker_why(f, w, "worker_silent", failure_name(a));
	count_failure(w, now);
	watch_refusals(f, w, a->no_listener, now);
	/* Whoever answers is another incarnation: the one we knew has ended,
	 * and what was meant for it is refused. */
	if (a->why != CELL_REFUSED_LIFE)
		return;
	if (w->gone)
		lose_runs(f, w, NULL, now, now);
	else
		set_gone(f, w, now);
}

static void
call_ended(struct call *c)
{
	c->worker->nopen--;
	g_free(c);
}

static void
on_hold(void *arg, const struct cell_hold_answer *a, ogl_time now)
{
	struct call *c = arg;
	struct cell_fleet *f = c->fleet;
	struct cell_worker *w = c->worker;

	if (c->generation == f->generation && c->number == w->hold_number) {
		w->holding = false;
		w->hold_took = now - c->sent;
		if (a->io == OGL_IO_OK)
			take_hold(f, c, a, now);
		else
			hold_failed(f, w, a, now);
	}
	call_ended(c);
}

/*
 * A worker that does not answer is not asked for a longer lease: the question
 * may reach it all the same, so each would put off the time from which its
 * tasks are certainly over, and they would never be started elsewhere.
 */
static bool
may_renew(const struct cell_worker *w)
{
	return w->fenced && w->failures == 0;
}

/*
 * Ends count from 1 again when a worker starts anew under its id, so an old
 * number would acknowledge ends of the new life that nobody has seen.  Hence a
 * number is told once, right after its ends were listed, and not while an
 * answer is missing: the new life shows itself in the next one.
 */
static uint64_t
acknowledge(const struct cell_worker *w)
{
	return w->failures == 0 && w->last_seen > w->acked ? w->last_seen : 0;
}

/* How long the worker may wait with its answer, and we for it. */
static void
hold_times(
    const struct cell_worker *w, struct cell_hold *h, bool renew, ogl_time now)
{
	bool lossy = CELL_USES_LOSSY && now < w->lossy_until;

	if (!w->fenced) {
		h->timeout_ms = MIN(
		    FIRST_TIMEOUT_MS << MIN(w->failures, 4), ORDER_TIMEOUT_MS);
	} else if (!renew || w->hurry) {
		h->timeout_ms = lossy ? LOSSY_TIMEOUT_MS : ORDER_TIMEOUT_MS;
	} else {
		h->wait_ms = lossy ? LOSSY_WAIT_MS : HOLD_WAIT_MS;
		h->timeout_ms = lossy ? LOSSY_TIMEOUT_MS : HOLD_TIMEOUT_MS;
	}
}

static void
send_hold(struct cell_fleet *f, struct cell_worker *w, ogl_time now)
{
	struct call *c = g_new0(struct call, 1);
	bool renew = g_hash_table_size(w->runs) > 0;
	struct cell_hold h = {
	    .to = {w->addr, w->id, f->epoch},
	    .last_seen = acknowledge(w),
	    .until_ms = renew && may_renew(w) ? lease_end(f, w, now) : 0,
	};

	hold_times(w, &h, renew, now);
	c->fleet = f;
	c->worker = w;
	c->generation = f->generation;
	c->sent = now;
	c->noted = h.last_seen;
	c->number = ++w->hold_number;
	w->nopen++;
	w->holding = true;
	w->hold_sent = now;
	w->hurry = false;
	f->ops->count(f->ops->ctx, "holds", 1);
	f->ops->hold(f->ops->outside, &h, on_hold, c);
}

static bool
wants_hold(const struct cell_worker *w, ogl_time now)
{
	if (w->holding || now < w->hold_at || w->addr == NULL)
		return false;
	if (!w->listed && !w->expected && g_hash_table_size(w->runs) == 0)
		return false;
	/* One that went silent is called until it answers, also when nothing
	 * runs there: it would never be given work again. */
	if (!w->fenced || w->failures > 0)
		return true;
	/* Its ends are not stored yet. */
	if (w->taken > w->last_seen && now - w->hold_sent < RENEW)
		return false;
	return g_hash_table_size(w->runs) > 0 || w->hurry;
}

void
cell_fleet_noted(
    struct cell_fleet *f, struct cell_worker *w, uint64_t life, uint64_t number)
{
	(void)f;
	if (life != w->life || !w->fenced)
		return;
	if (number <= w->last_seen || number > w->taken)
		return;
	w->last_seen = number;
	w->hurry = g_hash_table_size(w->runs) == 0;
}

/* ---- orders ----------------------------------------------------------- */

static void on_start(
    void *arg, const struct cell_order_answer *a, ogl_time now);
static void on_stop(void *arg, const struct cell_order_answer *a, ogl_time now);

static struct call *
order_call(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	struct call *c = g_new0(struct call, 1);

	c->fleet = f;
	c->worker = r->worker;
	c->run = r;
	c->generation = f->generation;
	c->sent = now;
	r->worker->nopen++;
	r->open = true;
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
	    .until_ms = lease_end(f, w, now),
	    .checkpoint = r->checkpoint != NULL ? r->checkpoint : "",
	    .ticket = r->ticket,
	    .timeout_ms = ORDER_TIMEOUT_MS,
	};

	r->tries++;
	r->ordered = true;
	f->ops->count(f->ops->ctx, "starts", 1);
	f->ops->start(f->ops->outside, &o, on_start, order_call(f, r, now));
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
	f->ops->stop(f->ops->outside, &o, on_stop, order_call(f, r, now));
}

void
cell_fleet_stop(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	r->state = CELL_RUN_STOPPING;
	r->retry_at = now;
	if (!r->open && !r->stop_done)
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
	    "job=%s task=%u.%u.%u run=%" G_GUINT64_FORMAT
	    " worker=%s why=%s percent=%u pace=%.2f",
	    r->name.id, r->name.occurrence, r->name.step, r->name.index,
	    r->number, r->worker->id, why, r->percent,
	    cell_fleet_pace(f, r->worker));
	f->ops->log(f->ops->ctx, "fleet", "run_moved", text);
	f->ops->count(f->ops->ctx, "runs_moved", 1);
	cell_fleet_stop(f, r, now);
}

/* The start came to nothing for certain. */
static void
run_refused(struct cell_fleet *f, struct cell_run *r, enum cell_refusal why,
    ogl_time now)
{
	f->events.refused(f->events.arg, r, why, now);
	run_end(f, r, now);
}

static void
start_refused(struct cell_fleet *f, struct cell_run *r, enum cell_refusal why,
    ogl_time now)
{
	if (why == CELL_REFUSED_FENCE) {
		f->events.outranked(f->events.arg, now);
		return;
	}
	/* A start sent twice, known to have begun meanwhile: what became of it
	 * is for the lists to say, not for the second sending's answer.  Taken
	 * for a refusal, the task would run again after it was done. */
	if (r->up_at != 0)
		return;
	switch (why) {
	case CELL_REFUSED_LIFE:
		r->worker->fenced = false;
		r->worker->hold_at = now;
		if (r->unsure)
			break;
		run_refused(f, r, why, now);
		return;
	case CELL_REFUSED_OLD:
		if (!r->unsure)
			break;
		/* An earlier sending did begin; the next hold tells what
		 * became of it. */
		r->unsure = false;
		run_up(f, r, now);
		r->worker->hurry = true;
		return;
	default:
		break;
	}
	if (r->unsure || r->state == CELL_RUN_STOPPING)
		cell_fleet_stop(f, r, now);
	else
		run_refused(f, r, why, now);
}

static void
start_lost(
    struct cell_fleet *f, struct cell_run *r, enum ogl_io io, ogl_time now)
{
	if (io == OGL_IO_LOST) {
		r->unsure = true;
		remember_loose(r, now);
	}
	if (io == OGL_IO_NOT_SENT && !r->unsure &&
	    r->state == CELL_RUN_STARTING) {
		r->worker->hurry = true;
		count_failure(r->worker, now);
		r->worker->hold_at = now;
		run_refused(f, r, CELL_REFUSED_BUSY, now);
		return;
	}
	if (r->state == CELL_RUN_STOPPING || r->tries >= START_TRIES)
		cell_fleet_stop(f, r, now);
	else
		r->retry_at = now;
}

static void
start_done(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	r->unsure = false;
	run_up(f, r, now);
	if (r->state == CELL_RUN_STOPPING && !r->stop_done)
		send_stop(f, r, now);
}

/* Ends what an order's answer has in common; false when nobody waits for it. */
static bool
order_ended(struct call *c, struct cell_run **run)
{
	struct cell_run *r = c->run;
	bool current = c->generation == c->fleet->generation;

	r->open = false;
	*run = r;
	call_ended(c);
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
	ogl_time sent = c->sent;
	struct cell_run *r;

	if (!order_ended(c, &r))
		return;
	if (a->io == OGL_IO_OK || a->why != CELL_REFUSED_NOT)
		read_clock(r->worker, a->clock_ms, now);
	if (a->io == OGL_IO_OK) {
		f->ops->observe(
		    f->ops->ctx, "start_ms", (uint64_t)((now - sent) / OGL_MS));
		start_done(f, r, now);
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

	if (!order_ended(c, &r))
		return;
	if (a->io == OGL_IO_OK) {
		r->stop_done = true;
		r->stop_done_at = now;
		r->worker->hurry = true;
		return;
	}
	if (a->why == CELL_REFUSED_FENCE) {
		f->events.outranked(f->events.arg, now);
		return;
	}
	if (a->why == CELL_REFUSED_LIFE) {
		run_over(f, r, CELL_END_LAPSED, NULL, now);
		return;
	}
	r->retry_at = now + ORDER_RETRY;
}

struct cell_run *
cell_fleet_start(struct cell_fleet *f, struct cell_worker *w,
    struct cell_stage *s, uint32_t index, uint64_t number, const char *ticket,
    uint32_t rank, ogl_time now)
{
	struct cell_task *t = cell_stage_keeper(s, index);
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
	r->began = now;
	send_start(f, r, now);
	return r;
}

struct cell_run *
cell_fleet_adopt(struct cell_fleet *f, struct cell_worker *w,
    struct cell_stage *s, const struct cell_row *row, uint32_t rank,
    ogl_time now)
{
	struct ogl_res res = cell_stage_need(s);
	struct cell_run *r;

	r = run_new(f, w, &row->task, row->run, &res, s->job->def->team);
	r->stage = s;
	r->state = CELL_RUN_UP;
	r->rank = rank;
	r->began = now;
	r->up_at = now;
	r->percent = row->percent;
	r->checkpoint = g_strdup(row->checkpoint);
	return r;
}

/*
 * A job that ended shortly before a takeover may have tasks that are still
 * being stopped; what they hold is no longer known.  A worker with such a run
 * is given nothing more until it is over, or it might be overfilled.
 */
void
cell_fleet_stray(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_row *row, ogl_time now)
{
	struct ogl_res none = {0};
	struct cell_run *r = run_new(f, w, &row->task, row->run, &none, "");

	r->up_at = now;
	r->stray = true;
	w->nstrays++;
	cell_fleet_stop(f, r, now);
}

/* ---- what falls due --------------------------------------------------- */

static void
step_run(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	if (r->open || now < r->retry_at)
		return;
	if (r->state == CELL_RUN_STARTING && r->worker->evacuated) {
		cell_fleet_stop(f, r, now);
	} else if (r->state == CELL_RUN_STARTING) {
		if (r->worker->fenced)
			send_start(f, r, now);
	} else if (r->state == CELL_RUN_STOPPING && !r->stop_done) {
		send_stop(f, r, now);
	}
}

static void
step_runs(struct cell_fleet *f, struct cell_worker *w, ogl_time now)
{
	GPtrArray *a;
	guint i;

	if (g_hash_table_size(w->runs) == 0)
		return;
	a = cell_worker_runs(w);
	for (i = 0; i < a->len; i++)
		step_run(f, a->pdata[i], now);
	g_ptr_array_unref(a);
}

static void
step_worker(
    struct cell_fleet *f, struct cell_worker *w, bool runs, ogl_time now)
{
	if (w->life != 0 && g_hash_table_size(w->runs) > 0 &&
	    now > lapse_at(w)) {
		log_worker(f, w, "worker_lapsed");
		lose_runs(f, w, NULL, now, now);
	}
	if (w->named && cell_worker_silent(w, now))
		f->names_changed = true;
	if (wants_hold(w, now))
		send_hold(f, w, now);
	if (runs)
		step_runs(f, w, now);
}

/* No owner asks for more than LEASE_MS, and an owner that was replaced has
 * renewed nothing since; a worker not heard of by then runs nothing. */
static void
give_up_expected(struct cell_fleet *f)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, f->workers);
	while (g_hash_table_iter_next(&it, NULL, &p))
		((struct cell_worker *)p)->expected = false;
}

static gboolean
worker_is_gone(gpointer key, gpointer value, gpointer ctx)
{
	const struct cell_worker *w = value;
	struct cell_fleet *f = ctx;

	(void)key;
	if (w->listed || w->expected || w->nopen > 0 ||
	    g_hash_table_size(w->runs) > 0)
		return FALSE;
	f->names_changed = true;
	g_hash_table_remove(f->by_serial, GUINT_TO_POINTER(w->serial));
	return TRUE;
}

void
cell_fleet_step(struct cell_fleet *f, ogl_time now)
{
	bool runs = now >= f->scan_runs_at;
	GHashTableIter it;
	gpointer p;

	if (!f->open || now < f->scan_at)
		return;
	if (!f->lapsed && now > cell_fleet_lapse(f)) {
		f->lapsed = true;
		give_up_expected(f);
	}
	f->scan_at = now + SCAN;
	if (runs)
		f->scan_runs_at = now + SCAN_RUNS;
	g_hash_table_iter_init(&it, f->workers);
	while (g_hash_table_iter_next(&it, NULL, &p))
		step_worker(f, p, runs, now);
	if (runs)
		g_hash_table_foreach_remove(f->workers, worker_is_gone, f);
}

bool
cell_fleet_settled(struct cell_fleet *f, ogl_time now)
{
	GHashTableIter it;
	gpointer p;

	if (now > cell_fleet_lapse(f))
		return true;
	g_hash_table_iter_init(&it, f->workers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct cell_worker *w = p;

		if ((w->listed || w->expected) && w->life == 0 && !w->gone &&
		    !w->excused)
			return false;
	}
	return true;
}
