/*
 * Keeps track of the workers of a shard, of the resources that runs use there,
 * and of whether a worker may be given work.  Calls to workers are made by
 * fleet_hold.c (holds) and fleet_order.c (starts and stops); the periodic work
 * here says when.
 */

#include <string.h>

#include "ablate.h"
#include "fleet_impl.h"

/* Intervals of the scans of all workers and of all runs.  An owner is stepped
 * hundreds of times a second, and calls that are due may wait this long. */
#define SCAN_INTERVAL (8 * OGL_MS)
/* The store confirms an owner each 0.4 s.  From this age of its last word on,
 * the workers are asked. */
#define STORE_SILENT_AFTER (550 * OGL_MS)
#define RUN_SCAN_INTERVAL (40 * OGL_MS)

void
cell_fleet_run_free(struct cell_run *r)
{
	g_free(r->team);
	g_clear_pointer(&r->spec, g_bytes_unref);
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
	g_array_unref(w->recorded_tasks);
	g_free(w->id);
	g_free(w->addr);
	g_free(w->zone);
	g_free(w->rack);
	g_strfreev(w->labels);
	g_free(w->service);
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
	f->quorum = cell_quorum_init();
	f->health = cell_health_init(ops, f->by_serial);
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
			cell_fleet_run_free(r);
	}
	memset(&w->used, 0, sizeof w->used);
	w->norphans = 0;
	w->more_orphans = false;
	g_array_set_size(w->unanswered_starts, 0);
}

void
cell_fleet_end(struct cell_fleet *f)
{
	cell_fleet_close(f);
	cell_health_end(f->health);
	cell_quorum_end(f->quorum);
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
	f->record_due_at = OGL_NEVER;
	f->restarts = 0;
	f->opened_at = now;
	f->first_step_at = 0;
	f->nexpected = 0;
	f->nexpected_answered = 0;
	f->quorum_at = 0;
	f->workers_confirmed_at = 0;
	f->leases_withheld = false;
	f->old_leases_expired = false;
	f->ticket_validity = 0;
	cell_health_reset(f->health);
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
		cell_fleet_set_lists(f, w, CELL_LISTS_UNREAD);
		w->fenced = false;
		w->hold_pending = false;
		w->incarnation = 0;
		w->incarnation_since = 0;
		w->restarts = 0;
		w->restarted = false;
		w->accepted_at = 0;
		w->first_record = 0;
		w->ends_stored = 0;
		w->ends_reported = 0;
		memset(&w->lease, 0, sizeof w->lease);
		w->listed = false;
		w->expected = false;
		w->open_in_record = false;
		w->tasks_recorded = false;
		w->open_from_record = 0;
		w->unrecorded = false;
		w->incarnation_in_record = 0;
		w->longest_in_record = false;
		w->entry_born_ms = 0;
		w->called_before = false;
		w->silent_in_record = false;
		w->gone = false;
		w->ends_acked = 0;
		w->starts_given_up = 0;
	}
	cell_quorum_clear(f->quorum);
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
	w->restarts = f->open ? cell_fleet_next_restarts(f) : 0;
	w->id = g_strdup(id);
	w->runs = g_hash_table_new(NULL, NULL);
	w->unanswered_starts =
	    g_array_new(FALSE, FALSE, sizeof(struct cell_unanswered_start));
	w->recorded_tasks =
	    g_array_new(FALSE, FALSE, sizeof(struct cell_task_name));
	w->next_hold_at = now;
	f->record_outdated = true;
	g_hash_table_insert(f->workers, w->id, w);
	g_hash_table_insert(f->by_serial, GUINT_TO_POINTER(w->serial), w);
	return w;
}

void
cell_fleet_log_worker_why(struct cell_fleet *f, const struct cell_worker *w,
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

void
cell_fleet_log_worker(
    struct cell_fleet *f, const struct cell_worker *w, const char *event)
{
	cell_fleet_log_worker_why(f, w, event, "");
}

/* A successor that knows only the old address would get no answer there and
 * conclude that the worker has ended.  It would then start elsewhere the tasks
 * that run at the new address.  So a worker whose address has changed gets no
 * work until a record with the new address is stored. */
static void
set_addr(
    struct cell_fleet *f, struct cell_worker *w, const char *addr, ogl_time now)
{
	w->unrecorded = w->addr != NULL;
	if (w->unrecorded) {
		w->open_in_record = false;
		w->gone = false;
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
			cell_fleet_log_worker(f, w, "worker_unlisted");
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
		f->record_outdated |=
		    w->draining != e->draining || !w->open_in_record;
		w->draining = e->draining;
		w->appearance += !w->listed;
		w->listed = true;
		cell_fleet_log_worker(f, w, "worker_listed");
	}
	if (w->entry_born_ms != e->born_ms) {
		w->entry_born_ms = e->born_ms;
		w->failures = 0;
		w->next_hold_at = now;
		if (w->incarnation != 0 && e->born_ms != 0 &&
		    e->born_ms != w->incarnation)
			cell_fleet_incarnation_over(f, w, now);
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

static void
record_tasks(struct cell_worker *w, const Ogl__CellKnown *k)
{
	size_t i;

	g_array_set_size(w->recorded_tasks, 0);
	for (i = 0; i < k->n_tasks; i++) {
		const Ogl__CellKnownTask *t = k->tasks[i];
		struct cell_task_name name = {.occurrence = t->occurrence,
		    .step = t->step,
		    .index = t->index};

		g_strlcpy(name.id, t->id, sizeof name.id);
		g_array_append_val(w->recorded_tasks, name);
	}
}

void
cell_fleet_expect(struct cell_fleet *f, const Ogl__CellKnown *k, ogl_time now)
{
	struct cell_worker *w = get_or_add_worker(f, k->id, now);

	w->expected = true;
	w->called_before = true;
	if (k->counts) {
		w->first_record = CELL_FLEET_LOADED_RECORD;
		f->nexpected++;
	}
	w->tasks_recorded = k->closed;
	record_tasks(w, k);
	w->incarnation_in_record = k->incarnation;
	w->longest_in_record = k->longest_lease;
	w->open_in_record = !k->closed;
	if (w->addr != NULL)
		return;
	set_string(&w->addr, k->addr);
	set_string(&w->service, k->service);
	set_string(&w->zone, "");
	set_string(&w->rack, "");
}

/* Whether no earlier owner can have proof of its ownership any more. */
static bool
predecessors_are_out(const struct cell_fleet *f)
{
	return f->old_leases_expired ||
	       cell_quorum_answered(f->nexpected_answered, f->nexpected);
}

bool
cell_fleet_marks(const struct cell_fleet *f, const struct cell_worker *w)
{
	return !predecessors_are_out(f) &&
	       w->first_record == CELL_FLEET_LOADED_RECORD;
}

void
cell_fleet_set_ticket_validity(struct cell_fleet *f, ogl_time longest)
{
	f->ticket_validity = longest;
}

void
cell_fleet_expect_unknown(struct cell_fleet *f)
{
	f->nexpected++;
}

void
cell_fleet_record_sent(struct cell_fleet *f, uint64_t record)
{
	guint workers = 0;
	guint added = 0;
	GHashTableIter it;
	gpointer p;

	f->record_due_at = OGL_NEVER;
	if (record == CELL_FLEET_LOADED_RECORD) {
		cell_quorum_record_sent(
		    f->quorum, record, f->nexpected, f->nexpected);
		return;
	}
	if (!predecessors_are_out(f))
		return; /* the same workers count as in the last one */
	g_hash_table_iter_init(&it, f->workers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct cell_worker *w = p;

		if (w->first_record == 0)
			w->first_record = record;
		added += w->first_record == record;
		workers++;
	}
	cell_quorum_record_sent(f->quorum, record, workers, added);
}

void
cell_fleet_record_replaces(struct cell_fleet *f, uint64_t record)
{
	cell_quorum_record_stored(f->quorum, record);
}

void
cell_fleet_record_stored(struct cell_fleet *f, const char *id, uint64_t record)
{
	struct cell_worker *w = g_hash_table_lookup(f->workers, id);

	if (w == NULL || w->open_in_record || w->unrecorded ||
	    record < w->open_from_record)
		return;
	w->open_in_record = true;
	f->events.room_freed(f->events.arg, f->opened_at);
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
	bool wanted = f->confirmed_at < f->confirmation_from;

	f->confirmed_at = MAX(f->confirmed_at, at);
	if (wanted && f->confirmed_at >= f->confirmation_from)
		f->events.room_freed(f->events.arg, at);
}

bool
cell_fleet_awaits_confirmation(const struct cell_fleet *f, ogl_time now)
{
	return f->open && (f->confirmed_at < f->confirmation_from ||
			      !cell_fleet_may_lease(f, now));
}

ogl_time
cell_fleet_proof_age(const struct cell_fleet *f, ogl_time now)
{
	return now - MAX(f->confirmed_at, f->workers_confirmed_at);
}

bool
cell_fleet_may_lease(const struct cell_fleet *f, ogl_time now)
{
	return cell_fleet_proof_age(f, now) < CELL_LEASE_PROOF_MAX_AGE;
}

bool
cell_fleet_needs_quorum(const struct cell_fleet *f, ogl_time now)
{
	return now - f->confirmed_at > STORE_SILENT_AFTER;
}

bool
cell_fleet_wants_confirmation(const struct cell_fleet *f, ogl_time now)
{
	return f->confirmation_wanted ||
	       cell_fleet_awaits_confirmation(f, now) ||
	       cell_fleet_needs_quorum(f, now);
}

static void
log_proof(struct cell_fleet *f, const char *event, ogl_time now)
{
	char text[160];

	g_snprintf(text, sizeof text,
	    "epoch=%" G_GUINT64_FORMAT " store_ms=%" G_GINT64_FORMAT
	    " workers_ms=%" G_GINT64_FORMAT " workers=%u",
	    f->epoch, (now - f->confirmed_at) / OGL_MS,
	    f->workers_confirmed_at != 0
		? (now - f->workers_confirmed_at) / OGL_MS
		: -1,
	    g_hash_table_size(f->workers));
	f->ops->log(f->ops->ctx, "fleet", event, text);
}

/* Takes the workers' confirmation if the store's is old, and tells when the
 * proof of ownership gets too old for leases, or is renewed. */
static void
update_proof(struct cell_fleet *f, ogl_time now)
{
	if (cell_fleet_needs_quorum(f, now))
		f->workers_confirmed_at = MAX(
		    f->workers_confirmed_at, cell_quorum_accepted_at(f->quorum,
						 f->workers, f->confirmed_at));
	if (f->leases_withheld != cell_fleet_may_lease(f, now))
		return;
	f->leases_withheld = !f->leases_withheld;
	log_proof(
	    f, f->leases_withheld ? "leases_withheld" : "leases_resumed", now);
	if (f->leases_withheld)
		f->ops->count(f->ops->ctx, "leases_withheld", 1);
	else
		f->events.room_freed(f->events.arg, now);
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

bool
cell_worker_fits(const struct cell_worker *w, const struct ogl_res *need)
{
	struct ogl_res room = w->capacity;

	ogl_res_sub(&room, &w->used);
	return ogl_res_fits(need, &room);
}

/* Whether the list describes another incarnation than the one that answers: what
 * capacity and labels that one has is not known. */
static bool
entry_is_outdated(const struct cell_worker *w)
{
	return w->entry_born_ms != 0 && w->incarnation != 0 &&
	       w->entry_born_ms != w->incarnation;
}

enum cell_unusable
cell_worker_unusable(const struct cell_worker *w, ogl_time now)
{
	if (!w->listed || entry_is_outdated(w))
		return CELL_UNLISTED;
	if (!w->open_in_record)
		return CELL_UNRECORDED;
	if (w->draining)
		return CELL_DRAINING;
	if (w->evacuated)
		return CELL_EVACUATED;
	if (!w->fenced)
		return CELL_UNFENCED;
	if (w->lists == CELL_LISTS_CUT)
		return CELL_LISTED_IN_PART;
	if (w->failures > 0)
		return CELL_FAILING;
	if (w->norphans > 0 || w->more_orphans)
		return CELL_ORPHANS;
	if (now < w->cooldown_until)
		return CELL_COOLDOWN;
	if (cell_fleet_hold_overdue(w, now))
		return CELL_OVERDUE;
	if (!cell_health_may_start(w, false))
		return w->health == OGL_HEALTH_ASIDE ? CELL_ASIDE
						     : CELL_SUSPECT;
	return CELL_USABLE;
}

const char *
cell_unusable_name(enum cell_unusable why)
{
	static const char *const names[CELL_NUNUSABLE] = {
	    [CELL_USABLE] = "usable",
	    [CELL_UNLISTED] = "unlisted",
	    [CELL_UNRECORDED] = "unrecorded",
	    [CELL_DRAINING] = "draining",
	    [CELL_EVACUATED] = "evacuated",
	    [CELL_UNFENCED] = "unfenced",
	    [CELL_LISTED_IN_PART] = "listed_in_part",
	    [CELL_FAILING] = "failing",
	    [CELL_ORPHANS] = "orphans",
	    [CELL_COOLDOWN] = "cooldown",
	    [CELL_OVERDUE] = "overdue",
	    [CELL_ASIDE] = "aside",
	    [CELL_SUSPECT] = "suspect",
	};

	return names[why];
}

bool
cell_worker_usable(const struct cell_worker *w, ogl_time now)
{
	enum cell_unusable why = cell_worker_unusable(w, now);

	return why == CELL_USABLE || why == CELL_ASIDE || why == CELL_SUSPECT;
}

bool
cell_worker_schedulable(const struct cell_worker *w, ogl_time now)
{
	return cell_worker_unusable(w, now) == CELL_USABLE;
}

void
cell_worker_count_result(struct cell_fleet *f, struct cell_worker *w,
    const char *job, bool ok, ogl_time now)
{
	cell_health_count(f->health, w, OGL_HEALTH_RUN_FAILED, job, ok, now);
}

void
cell_fleet_count_call(struct cell_fleet *f, struct cell_worker *w,
    enum ogl_health_evidence kind, bool ok, ogl_time now)
{
	if (w->fenced)
		cell_health_count(f->health, w, kind, NULL, ok, now);
}

/* ---- pace of workers -------------------------------------------------- */

double
cell_fleet_pace(const struct cell_fleet *f, const struct cell_worker *w)
{
	return cell_pace_relative(&w->pace, f->baseline_pace);
}

bool
cell_fleet_pace_is_faulty(
    const struct cell_fleet *f, const struct cell_worker *w)
{
	return cell_pace_is_faulty(&w->pace, f->baseline_pace);
}

double
cell_fleet_straggler_pace_min(
    const struct cell_fleet *f, const struct cell_worker *w)
{
	return cell_pace_straggler_min(&w->pace, f->baseline_pace);
}

void
cell_fleet_update_baseline(struct cell_fleet *f)
{
	GArray *values = g_array_new(FALSE, FALSE, sizeof(double));
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, f->workers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct cell_worker *w = p;

		if (g_hash_table_size(w->runs) > 0)
			cell_pace_learn_usual(&w->pace);
		if (cell_pace_known(&w->pace))
			g_array_append_val(values, w->pace.value);
	}
	f->baseline_pace = cell_pace_baseline(values);
	g_array_unref(values);
}

void
cell_fleet_count_stall(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	cell_pace_observe_stall(&r->worker->pace, f->baseline_pace);
	if (r->stall_counted)
		return;
	r->stall_counted = true;
	cell_health_count(f->health, r->worker, OGL_HEALTH_NO_PROGRESS,
	    r->name.id, false, now);
}

void
cell_fleet_decay_pace(struct cell_fleet *f, struct cell_worker *w)
{
	cell_pace_decay(&w->pace, f->baseline_pace);
}

/* ---- resources in use ------------------------------------------------- */

struct team_use {
	struct ogl_res used;
	struct ogl_res unsure; /* of these, by runs that may not have begun */
};

static struct team_use *
team_use(struct cell_fleet *f, const char *team)
{
	struct team_use *t = g_hash_table_lookup(f->teams, team);

	if (t == NULL) {
		t = g_new0(struct team_use, 1);
		g_hash_table_insert(f->teams, g_strdup(team), t);
	}
	return t;
}

struct ogl_res
cell_fleet_team_used(const struct cell_fleet *f, const char *team)
{
	const struct ogl_res none = {0};
	const struct team_use *t = g_hash_table_lookup(f->teams, team);

	return t != NULL ? t->used : none;
}

struct ogl_res
cell_fleet_team_running(const struct cell_fleet *f, const char *team)
{
	const struct team_use *t = g_hash_table_lookup(f->teams, team);
	struct ogl_res running = {0};

	if (t != NULL) {
		running = t->used;
		ogl_res_sub(&running, &t->unsure);
	}
	return running;
}

void
cell_fleet_team_charge(
    struct cell_fleet *f, const char *team, const struct ogl_res *res)
{
	ogl_res_add(&team_use(f, team)->used, res);
}

void
cell_fleet_team_uncharge(
    struct cell_fleet *f, const char *team, const struct ogl_res *res)
{
	ogl_res_sub(&team_use(f, team)->used, res);
}

void
cell_fleet_team_charge_unsure(
    struct cell_fleet *f, const char *team, const struct ogl_res *res)
{
	ogl_res_add(&team_use(f, team)->unsure, res);
	cell_fleet_team_charge(f, team, res);
}

void
cell_fleet_team_uncharge_unsure(
    struct cell_fleet *f, const char *team, const struct ogl_res *res)
{
	ogl_res_sub(&team_use(f, team)->unsure, res);
	cell_fleet_team_uncharge(f, team, res);
}

struct cell_run *
cell_fleet_run_new(struct cell_fleet *f, struct cell_worker *w,
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
	ogl_res_add(&team_use(f, r->team)->used, res);
	g_hash_table_add(w->runs, r);
	return r;
}

/* Releases the resources of a run that is over. */
void
cell_fleet_run_remove(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	struct cell_worker *w = r->worker;

	ogl_res_sub(&w->used, &r->res);
	ogl_res_sub(&team_use(f, r->team)->used, &r->res);
	g_hash_table_remove(w->runs, r);
	if (r->orphan)
		w->norphans--;
	r->worker = NULL;
	if (!r->order_pending)
		cell_fleet_run_free(r);
	f->events.room_freed(f->events.arg, now);
}

void
cell_fleet_run_ended(struct cell_fleet *f, struct cell_run *r,
    enum cell_end how, const char *checkpoint, ogl_time now)
{
	f->events.run_ended(f->events.arg, r, how, checkpoint, now);
	cell_fleet_run_remove(f, r, now);
}

/* ---- periodic work ---------------------------------------------------- */

/*
 * Whether a lease that ended at that time can't have been renewed by a
 * successor.  A successor that reaches a worker which this owner doesn't reach
 * takes over its runs.  It has called no worker before the store's last
 * confirmation of this owner.
 */
static bool
expired_unrenewed(struct cell_fleet *f, ogl_time end, ogl_time now)
{
	if (now <= end)
		return false;
	f->confirmation_wanted |= f->confirmed_at <= end;
	return f->confirmed_at > end;
}

static void
step_worker(
    struct cell_fleet *f, struct cell_worker *w, bool scan_runs, ogl_time now)
{
	if (w->incarnation != 0 && g_hash_table_size(w->runs) > 0 &&
	    expired_unrenewed(f, cell_lease_expires_at(&w->lease), now) &&
	    cell_fleet_has_lapsed(f, w, now)) {
		cell_fleet_log_worker(f, w, "worker_lapsed");
		cell_fleet_log_lease(f, w, "lease_over", now);
		cell_fleet_lose_runs(f, w, now);
	}
	if (w->lists == CELL_LISTS_CUT && w->failures > 0 &&
	    expired_unrenewed(f, cell_lease_expires_at(&w->lease), now))
		cell_fleet_lists_lapsed(f, w, now);
	if (w->longest_in_record && !cell_fleet_may_hold_longest(f, w, now))
		cell_fleet_record_later(f, now);
	if (w->open_in_record && cell_worker_silent(w, now))
		f->record_outdated = true;
	if (cell_fleet_wants_hold(f, w, now))
		cell_fleet_send_hold(f, w, now);
	if (scan_runs)
		cell_fleet_step_runs(f, w, now);
}

/* Whether some worker counts in no record yet. */
static bool
any_unrecorded(const struct cell_fleet *f)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, f->workers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		if (((const struct cell_worker *)p)->first_record == 0)
			return true;
	}
	return false;
}

/* Called once the leases of earlier owners have expired.  A worker that has not
 * answered by then runs nothing, and is no longer waited for, neither by this
 * owner nor, once that is on record, by the next. */
static void
clear_expected(struct cell_fleet *f, ogl_time now)
{
	GHashTableIter it;
	gpointer p;
	char text[160];

	g_snprintf(text, sizeof text,
	    "epoch=%" G_GUINT64_FORMAT
	    " workers=%u answered=%u quorum_ms=%" G_GINT64_FORMAT
	    " waited_ms=%" G_GINT64_FORMAT,
	    f->epoch, f->nexpected, f->nexpected_answered,
	    f->quorum_at != 0 ? (f->quorum_at - f->opened_at) / OGL_MS : -1,
	    (now - f->opened_at) / OGL_MS);
	f->ops->log(f->ops->ctx, "fleet", "old_leases_expired", text);
	f->record_outdated |= any_unrecorded(f);
	g_hash_table_iter_init(&it, f->workers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct cell_worker *w = p;

		w->expected = false;
		if (w->incarnation != 0)
			continue;
		w->tasks_recorded = true;
		g_array_set_size(w->recorded_tasks, 0);
		f->record_outdated = true;
	}
}

bool
cell_fleet_worker_unused(
    const struct cell_fleet *f, const struct cell_worker *w)
{
	return !w->listed && !w->expected && w->lists != CELL_LISTS_CUT &&
	       w->calls_pending == 0 && g_hash_table_size(w->runs) == 0 &&
	       predecessors_are_out(f);
}

static void
forget_unused_workers(struct cell_fleet *f, ogl_time now)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, f->workers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct cell_worker *w = p;

		if (!cell_fleet_worker_unused(f, w))
			continue;
		f->record_outdated |= w->open_in_record;
		if (cell_fleet_awaits_late_calls(f, w, now))
			continue;
		f->record_outdated = true;
		cell_health_forget(f->health, w);
		g_hash_table_remove(f->by_serial, GUINT_TO_POINTER(w->serial));
		g_hash_table_iter_remove(&it);
	}
}

void
cell_fleet_step(struct cell_fleet *f, ogl_time now)
{
	bool scan_runs = now >= f->next_run_scan_at;
	GHashTableIter it;
	gpointer p;

	if (!f->open || now < f->next_scan_at)
		return;
	if (f->first_step_at == 0)
		f->first_step_at = now;
	if (f->quorum_at == 0 &&
	    cell_quorum_answered(f->nexpected_answered, f->nexpected)) {
		f->quorum_at = now;
		f->record_outdated |= any_unrecorded(f);
	}
	f->record_outdated |= now >= f->record_due_at;
	update_proof(f, now);
	f->confirmation_wanted = false;
	if (!f->old_leases_expired &&
	    expired_unrenewed(f, cell_fleet_old_leases_end(f, now), now)) {
		f->old_leases_expired = true;
		clear_expected(f, now);
	}
	f->next_scan_at = now + SCAN_INTERVAL;
	if (scan_runs)
		f->next_run_scan_at = now + RUN_SCAN_INTERVAL;
	g_hash_table_iter_init(&it, f->workers);
	while (g_hash_table_iter_next(&it, NULL, &p))
		step_worker(f, p, scan_runs, now);
	cell_health_step(f->health, now);
	if (scan_runs)
		forget_unused_workers(f, now);
}

bool
cell_fleet_old_leases_expired(const struct cell_fleet *f)
{
	return f->old_leases_expired;
}
