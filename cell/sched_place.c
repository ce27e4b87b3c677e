/*
 * Places the tasks of a stage on the workers that fit best: of those that the
 * queue's policy allows, the ones that have the least capacity left afterwards.
 * A gang is placed whole or not at all.
 *
 * A gang that finds no room reserves the workers that could hold it soonest,
 * those with the most free capacity, for the rest of the pass, against lower
 * ranks and later work of its own rank.  Otherwise smaller work would take all
 * capacity as it becomes free, and the gang would starve.
 */

#include <string.h>

#include "ablate.h"
#include "room.h"
#include "sched_impl.h"

/* Gangs that may reserve workers in one pass.  The number is small because
 * reserved capacity stays idle. */
#define RESERVING_GANGS_MAX 2

/* What one unit of pace adds to placement_cost, whose unit is a thousandth of a
 * core left over on the worker. */
#define PACE_COST_MILLI 60e3
/* The same on a worker that is faulty, or so slow that the stage would be late
 * there: more than SLOW_PACE_MIN, and than its slack allows with this margin
 * for the error of declared times. */
#define AVOIDED_PACE_COST_MILLI 300e3
#define SLOW_PACE_MIN 1.7
#define SLACK_MARGIN 1.5
/* A run that is moved is to start on a worker below this relative pace; the
 * gain of moving it is computed for a pace of 1. */
#define RESTART_PACE_MAX 1.7
/* Cost of a suspect worker for work that has failed before or is urgent, and of
 * one that has answered no start since the last was given up. */
#define SUSPECT_COST_MILLI 2e6
/* Cost of a worker that only an overdue stage may use, as a unit.  It is above
 * all that pace and room can cost. */
#define OVERDUE_COST_MILLI 20e6
/* How long a last attempt waits for a proven worker.  They are known one run
 * after the first start, so a longer wait would mean that all are full. */
#define PROVEN_WAIT_MAX OGL_SEC
/* Free capacity counts as spare when no stage has lacked room for this long. */
#define ROOM_SPARE_AFTER (300 * OGL_MS)

bool
cell_sched_reserved_against(
    const struct cell_worker *w, const struct cell_stage *st, uint32_t rank)
{
	return w->reserved_rank_plus_1 != 0 && w->reserved_for != st &&
	       rank + 1 >= w->reserved_rank_plus_1;
}

/* Whether the worker takes work of the stage; if that is overdue, whether it can
 * take any. */
static bool
takes_work(const struct cell_sched *s, const struct cell_worker *w,
    const struct cell_stage *st, uint32_t rank)
{
	if (s->any_worker)
		return w->usable_pass == s->pass;
	return w->schedulable_pass == s->pass &&
	       !cell_sched_reserved_against(w, st, rank);
}

/* Tasks of the stage on a worker, including those chosen in this pass. */
static uint32_t
tasks_on(const struct cell_sched *s, const struct cell_stage *st,
    const struct cell_worker *w)
{
	uint32_t n = cell_worker_runs_of(w, st);
	guint i;

	for (i = 0; i < s->chosen->len; i++) {
		if (s->chosen->pdata[i] == w)
			n++;
	}
	return n;
}

/* Whether the worker has as many tasks of the stage as the step allows. */
static bool
at_worker_max(const struct cell_sched *s, const struct cell_stage *st,
    const struct cell_worker *w)
{
	return st->def->worker_max > 0 &&
	       tasks_on(s, st, w) >= st->def->worker_max;
}

/*
 * Splits the allowed workers with room for a task into candidates, which have a
 * valid ticket, and those whose ticket has expired.
 */
static void
list_allowed(struct cell_sched *s, const struct cell_stage *st, uint32_t rank,
    ogl_time now)
{
	struct ogl_res need = cell_stage_need(st);
	guint i;

	for (i = 0; i < st->approvals->len; i++) {
		const struct cell_approval *approval =
		    &g_array_index(st->approvals, struct cell_approval, i);
		struct cell_worker *w =
		    cell_fleet_by_serial(s->parts.fleet, approval->worker);

		if (w == NULL || !takes_work(s, w, st, rank) ||
		    !cell_worker_fits(w, &need))
			continue;
		/* Not listed, as the stage could not use a new ticket. */
		if (at_worker_max(s, st, w)) {
			s->some_at_worker_max = true;
			continue;
		}
		if (approval->incarnation == w->incarnation &&
		    approval->expires > now)
			g_ptr_array_add(s->candidates, w);
		else
			g_ptr_array_add(s->expired, w);
	}
}

void
cell_sched_list_candidates(struct cell_sched *s, const struct cell_stage *st,
    bool policy_needed, uint32_t rank, ogl_time now)
{
	const GPtrArray *workers = s->any_worker ? s->usable : s->schedulable;
	struct ogl_res need = cell_stage_need(st);
	guint i;

	g_ptr_array_set_size(s->candidates, 0);
	g_ptr_array_set_size(s->expired, 0);
	g_ptr_array_set_size(s->chosen, 0);
	s->some_at_worker_max = false;
	if (policy_needed) {
		list_allowed(s, st, rank, now);
		return;
	}
	for (i = 0; i < workers->len; i++) {
		struct cell_worker *w = workers->pdata[i];

		if (cell_worker_fits(w, &need) && takes_work(s, w, st, rank) &&
		    cell_worker_could_run(w, st))
			g_ptr_array_add(s->candidates, w);
	}
}

/* Whether a failed run of the task would be its last, after others failed. */
static bool
is_last_attempt(
    const struct cell_sched *s, struct cell_stage *st, uint32_t index)
{
	uint32_t max = cell_sched_queue_of(s, st->job)->attempts_max;
	uint32_t failed = cell_task_failures(cell_stage_shared_task(st, index));

	return !st->def->lasting && failed > 0 && failed + 1 >= max && max > 0;
}

/* Whether a proven worker takes work and may be allowed to run the stage. */
static bool
some_proven(const struct cell_sched *s, const struct cell_stage *st)
{
	bool policy_needed = cell_sched_queue_of(s, st->job)->policy.needed;
	guint i;

	for (i = 0; i < s->schedulable->len; i++) {
		const struct cell_worker *w = s->schedulable->pdata[i];

		if (!cell_health_proven(w) || !cell_worker_could_run(w, st))
			continue;
		if (!policy_needed || cell_advice_approval(st, w) != NULL ||
		    !cell_advice_knows(st, w))
			return true;
	}
	return false;
}

/*
 * A worker that fails its runs always has room, so without this it would be
 * given the last attempts of many tasks and with them end their jobs.
 */
static bool
needs_proven_worker(
    struct cell_sched *s, struct cell_stage *st, uint32_t index, ogl_time now)
{
	if (!CELL_USES_HEALTH || !is_last_attempt(s, st, index) ||
	    now >=
		cell_stage_shared_task(st, index)->not_before + PROVEN_WAIT_MAX)
		return false;
	if (s->proven_for != st) {
		s->proven_for = st;
		s->some_proven = some_proven(s, st);
	}
	return s->some_proven;
}

/* Whether the worker's health allows the current task of the stage there. */
static bool
health_allows(const struct cell_sched *s, const struct cell_stage *st,
    const struct cell_worker *w)
{
	return s->any_worker || (cell_health_may_start(w, st->def->gang) &&
				    (!s->proven_only || cell_health_proven(w)));
}

static double
health_cost(const struct cell_sched *s, const struct cell_task *t,
    const struct cell_worker *w)
{
	if (w->starts_given_up > 0)
		return SUSPECT_COST_MILLI;
	return w->health != OGL_HEALTH_SOUND &&
		       (s->tight_deadline || cell_task_failures(t) > 0)
		   ? SUSPECT_COST_MILLI
		   : 0;
}

/* An overdue stage takes workers that are reserved rather than suspect ones,
 * and these rather than those aside. */
static double
avoided_cost(const struct cell_sched *s, const struct cell_worker *w)
{
	static const double costs[] = {[OGL_HEALTH_SOUND] = 0,
	    [OGL_HEALTH_SUSPECT] = 2 * OVERDUE_COST_MILLI,
	    [OGL_HEALTH_ASIDE] = 4 * OVERDUE_COST_MILLI};

	if (!s->any_worker)
		return 0;
	return costs[w->health] +
	       (w->reserved_rank_plus_1 != 0 ? OVERDUE_COST_MILLI : 0);
}

/*
 * Stages with a tight deadline prefer fast workers.  Other stages prefer slow
 * ones, to leave the fast ones free, but avoid faulty workers and those that
 * are too slow for the time that is left.
 */
static double
pace_cost(const struct cell_sched *s, const struct cell_worker *w)
{
	double pace = cell_fleet_pace(s->parts.fleet, w);

	if (!CELL_USES_PACE)
		return 0;
	if (cell_fleet_pace_is_faulty(s->parts.fleet, w) ||
	    (pace > SLOW_PACE_MIN && pace * SLACK_MARGIN > s->slack))
		return AVOIDED_PACE_COST_MILLI * pace;
	return s->tight_deadline ? PACE_COST_MILLI * pace
				 : -PACE_COST_MILLI * pace;
}

/*
 * Lower is better.  A worker where the task failed before costs most, then one
 * outside of the data's rack.  Otherwise the cost is the processor capacity
 * left over, which keeps large free workers for gangs, corrected for pace.
 */
static double
placement_cost(const struct cell_sched *s, const struct cell_stage *st,
    const struct cell_task *t, const struct cell_worker *w)
{
	struct ogl_res room = cell_worker_room(w);
	double cost = (double)room.cpu_milli + pace_cost(s, w) +
		      health_cost(s, t, w) + avoided_cost(s, w);

	if (*st->def->data_rack != '\0' &&
	    strcmp(st->def->data_rack, w->rack) != 0)
		cost += 1e6;
	if (t->avoid_worker != NULL && strcmp(t->avoid_worker, w->id) == 0)
		cost += 1e7;
	return cost;
}

static struct cell_worker *
pick_worker(struct cell_sched *s, const struct cell_stage *st,
    const struct cell_task *t)
{
	struct ogl_res need = cell_stage_need(st);
	struct cell_worker *best = NULL;
	double least = 0;
	guint i;

	for (i = 0; i < s->candidates->len; i++) {
		struct cell_worker *w = s->candidates->pdata[i];
		double cost;

		if (!cell_worker_fits(w, &need) || !health_allows(s, st, w))
			continue;
		if (at_worker_max(s, st, w))
			continue;
		cost = placement_cost(s, st, t, w);
		if (best == NULL || cost < least) {
			best = w;
			least = cost;
		}
	}
	return best;
}

static bool
task_startable(const struct cell_task *t, ogl_time now)
{
	return !t->done && t->active == NULL && now >= t->not_before;
}

static void
start_task(struct cell_sched *s, struct cell_stage *st, uint32_t index,
    struct cell_worker *w, uint64_t run, uint32_t rank, ogl_time now)
{
	const struct cell_approval *approval = cell_advice_approval(st, w);
	struct cell_task *t = &st->tasks[index];

	cell_sched_count_first_start(s, st->job, now);
	t->run = run;
	t->active = cell_fleet_start(
	    s->parts.fleet, w, st, index, run, approval, rank, now);
	st->nactive++;
	s->parts.started(s->parts.arg, st, index, now);
}

/* Places tasks one by one, of an overdue stage only one; true if none is left
 * waiting. */
bool
cell_sched_place_tasks(
    struct cell_sched *s, struct cell_stage *st, uint32_t rank, ogl_time now)
{
	bool all_placed = true;
	uint32_t i;

	g_ptr_array_set_size(s->chosen, 0);
	for (i = 0; i < st->ntasks; i++) {
		struct cell_task *t = &st->tasks[i];
		struct cell_worker *w;

		if (t->done || t->active != NULL)
			continue;
		if (now < t->not_before) {
			all_placed = false;
			continue;
		}
		if (!cell_fleet_may_start(s->parts.fleet, 1))
			return false;
		s->proven_only = needs_proven_worker(s, st, i, now);
		w = task_startable(t, now) &&
			    cell_sched_team_limit_allows(s, st, 1, rank, now)
			? pick_worker(s, st, t)
			: NULL;
		if (w == NULL) {
			all_placed = false;
			if (s->proven_only)
				continue;
			break;
		}
		start_task(s, st, i, w, s->parts.next_run(s->parts.arg, st),
		    rank, now);
		if (s->any_worker)
			return cell_stage_waiting(st) == 0;
	}
	return all_placed;
}

static void
release_chosen(struct cell_sched *s, const struct ogl_res *need)
{
	guint i;

	for (i = 0; i < s->chosen->len; i++)
		ogl_res_sub(
		    &((struct cell_worker *)s->chosen->pdata[i])->used, need);
}

/* Starts all tasks of a gang at once, under one run number. */
bool
cell_sched_place_gang(
    struct cell_sched *s, struct cell_stage *st, uint32_t rank, ogl_time now)
{
	struct ogl_res need = cell_stage_need(st);
	uint64_t run;
	uint32_t i;

	if (st->nactive > 0)
		return true; /* the last run has not ended yet */
	if (!task_startable(&st->tasks[0], now) ||
	    !cell_fleet_may_start(s->parts.fleet, st->ntasks) ||
	    !cell_sched_team_limit_allows(s, st, st->ntasks, rank, now))
		return false;
	g_ptr_array_set_size(s->chosen, 0);
	s->proven_only = needs_proven_worker(s, st, 0, now);
	for (i = 0; i < st->ntasks; i++) {
		struct cell_worker *w = pick_worker(s, st, &st->tasks[0]);

		if (w == NULL)
			break;
		ogl_res_add(&w->used, &need);
		g_ptr_array_add(s->chosen, w);
	}
	release_chosen(s, &need);
	if (i < st->ntasks)
		return false;
	run = s->parts.next_run(s->parts.arg, st);
	for (i = 0; i < st->ntasks; i++)
		start_task(s, st, i, s->chosen->pdata[i], run, rank, now);
	return true;
}

/* Reserves workers that the gang may use, those with the most room first, until
 * their total capacity is enough for it. */
void
cell_sched_reserve_workers(struct cell_sched *s, struct cell_stage *st,
    uint32_t rank, bool policy_needed)
{
	struct ogl_res need = cell_stage_need(st);
	bool some_allowed = !policy_needed || st->approvals->len > 0;
	uint32_t n = 0;
	guint i;

	if (!CELL_USES_RESERVE || s->reserving_gangs >= RESERVING_GANGS_MAX)
		return;
	for (i = 0; some_allowed && i < s->schedulable->len && n < st->ntasks;
	     i++) {
		struct cell_worker *w = s->schedulable->pdata[i];

		if (cell_sched_reserved_against(w, st, rank) ||
		    (policy_needed && cell_advice_approval(st, w) == NULL) ||
		    !cell_health_may_start(w, st->def->gang) ||
		    !cell_worker_could_run(w, st))
			continue;
		n += cell_res_tasks(&w->capacity, &need);
		w->reserved_rank_plus_1 = rank + 1;
		w->reserved_for = st;
	}
	s->reserving_gangs++;
}

static bool
has_room_on(const struct cell_sched *s, const struct cell_stage *st,
    const struct cell_worker *w, ogl_time now)
{
	struct ogl_res need = cell_stage_need(st);

	return cell_worker_schedulable(w, now) &&
	       cell_worker_could_run(w, st) && cell_worker_fits(w, &need) &&
	       cell_fleet_pace(s->parts.fleet, w) < RESTART_PACE_MAX;
}

bool
cell_sched_has_room(struct cell_sched *s, struct cell_stage *st,
    const struct cell_worker *other, ogl_time now)
{
	bool policy_needed = cell_sched_queue_of(s, st->job)->policy.needed;
	const struct team_state *t =
	    cell_sched_team_state_of(s, st->job->def->team);
	GHashTableIter it;
	gpointer p;

	if (now - s->no_room_at < ROOM_SPARE_AFTER ||
	    now - t->limited_at < ROOM_SPARE_AFTER)
		return false;
	g_hash_table_iter_init(&it, cell_fleet_workers(s->parts.fleet));
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct cell_worker *w = p;

		if (w == other || !has_room_on(s, st, w, now))
			continue;
		if (!policy_needed || cell_advice_approval(st, w) != NULL)
			return true;
	}
	return false;
}
