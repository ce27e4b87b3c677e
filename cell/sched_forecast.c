/*
 * Tells whether a new job can start in time to be of use, and when one could.
 *
 * Two forecasts count.  That of the capacity (policy/capacity.h) knows what
 * runs, waits and is free, but nothing of limits, of failures and of work that
 * comes later with a higher rank.  The lines (forecast.h) know only how fast
 * jobs were started lately, whatever they waited for.  Each refuses by itself.
 * The first does so only while a stage lacks room or a lane, and not for a queue
 * for which it has been wrong.
 */

#include <string.h>

#include "ablate.h"
#include "question.h"
#include "room.h"
#include "sched_impl.h"

#define LINE_NAME_MAX 256
/* A job is refused only if it would wait this many times too long: a forecast
 * that errs costs a caller whose job could have been served. */
#define FORECAST_MARGIN 2.0
/* The same for forecasts by the capacity, which are off by up to half on average
 * as long as a queue's are reliable. */
#define CAPACITY_MARGIN 1.5
/* Work and workers change little within this time; a picture of a few thousand
 * runs takes a small machine about a millisecond. */
#define PICTURE_INTERVAL (200 * OGL_MS)
/* A worker that takes no work for a moment, as its answer is overdue or as runs
 * on it have failed, is expected to take some after this time. */
#define WORKER_PAUSE (2 * OGL_SEC)
/* A run that has taken as long as expected is expected to take this much more of
 * the time that it has taken. */
#define OVERRUN_SHARE 0.25
/* A gang is not expected to need more of all cores than this: room is reserved
 * for it on workers that it may use. */
#define GANG_CORES_SHARE_MAX 0.5
/* Ranks of the capacity: rank 0 in time, rank 0 late, other ranks in time, other
 * ranks late, and the same again for jobs beyond their teams' rates. */
#define BEYOND_RATE_OFFSET (2 * RANKS)

/* Jobs of a queue wait in one line, those beyond their team's rate in another.
 */
static struct cell_line *
line_of(struct cell_sched *s, struct cell_job *j)
{
	char name[LINE_NAME_MAX];

	if (j->line == NULL) {
		g_snprintf(name, sizeof name, "%s%s", j->def->queue,
		    j->beyond_rate ? " beyond rate" : "");
		j->line = cell_forecast_line(s->forecast, name);
	}
	return j->line;
}

/* The line of jobs of a queue that wait for their team's limit. */
static struct cell_line *
team_line_of(struct cell_sched *s, struct cell_job *j)
{
	char name[LINE_NAME_MAX];

	if (j->team_line == NULL) {
		g_snprintf(
		    name, sizeof name, "%s of %s", j->def->queue, j->def->team);
		j->team_line = cell_forecast_line(s->forecast, name);
	}
	return j->team_line;
}

void
cell_sched_count_waiting_job(
    struct cell_sched *s, const struct cell_stage *st, unsigned precedence)
{
	struct cell_line *l;

	if (st->job->placed || precedence % 3 == PRECEDENCE_TOO_LATE)
		return;
	if (st->wait_reason == CELL_WAIT_LIMIT) {
		st->job->waited_for_limit = true;
		l = team_line_of(s, st->job);
	} else {
		l = line_of(s, st->job);
	}
	cell_forecast_count(l, precedence % 3 == 0, st->job->accepted);
}

static void
check_expected_start(
    struct cell_sched *s, const struct cell_job *j, ogl_time waited)
{
	const struct cell_ops *ops = s->parts.ops;
	ogl_time late = waited - j->expected_start;

	if (!j->has_expected_start || j->waited_for_limit)
		return;
	ogl_capacity_check(
	    s->capacity, j->def->queue, j->expected_start, waited);
	ops->observe(
	    ops->ctx, "forecast_late_ms", (uint64_t)(MAX(late, 0) / OGL_MS));
	ops->observe(
	    ops->ctx, "forecast_early_ms", (uint64_t)(MAX(-late, 0) / OGL_MS));
}

void
cell_sched_count_first_start(
    struct cell_sched *s, struct cell_job *j, ogl_time now)
{
	ogl_time waited = now - j->accepted;

	if (j->placed)
		return;
	j->placed = true;
	cell_forecast_started(team_line_of(s, j), now);
	cell_forecast_started(line_of(s, j), now);
	cell_forecast_check(line_of(s, j), j->expected_wait, waited);
	s->parts.ops->observe(s->parts.ops->ctx, "forecast_error_ms",
	    (uint64_t)(ABS(j->expected_wait - waited) / OGL_MS));
	check_expected_start(s, j, waited);
}

/* ---- the capacity ----------------------------------------------------- */

static uint32_t
capacity_rank(uint32_t rank, bool late, bool beyond_rate)
{
	uint32_t r;

	rank = MIN(rank, RANKS - 1);
	if (rank == 0)
		r = late ? 1 : 0;
	else
		r = late ? RANKS + rank : 1 + rank;
	return r + (beyond_rate ? BEYOND_RATE_OFFSET : 0);
}

/* The order in which questions of the rank are asked, see sched_ask.c. */
static uint32_t
question_turn(uint32_t rank, bool late, bool beyond_rate)
{
	if (rank == 0)
		return 0;
	return 1 + (late ? 1 : 0) + (beyond_rate ? 2 : 0);
}

static double
step_cores(const Ogl__CellStep *step, uint32_t tasks)
{
	return step->fills ? 0 : tasks * (step->cpu_milli / 1e3);
}

static double
step_run_ms(const struct cell_job *j, uint32_t step)
{
	return j->def->steps[step]->lasting
		   ? (double)OGL_CAPACITY_HORIZON / OGL_MS
		   : MAX(cell_learned_run_ms(j, step), 1);
}

static double
first_question_ms(const struct cell_sched *s, const struct cell_job *j,
    const struct cell_queue *q, const Ogl__CellStep *step, uint32_t tasks)
{
	return cell_question_first_ms(&q->policy, step, tasks,
	    cell_advice_approved_share(s->parts.advice, j->def->queue));
}

static bool
waits_for_first_question(
    const struct cell_queue *q, const struct cell_stage *st)
{
	return q->policy.needed && !st->asking &&
	       g_hash_table_size(st->asked) == 0;
}

/* Whether the stage waits for room or a lane, and its rank and turn there. */
static bool
counts_as_waiting(const struct cell_sched *s, const struct cell_stage *st,
    uint32_t *rank, uint32_t *turn, ogl_time now)
{
	const struct cell_queue *q = cell_sched_queue_of(s, st->job);
	unsigned precedence = cell_sched_precedence_of(q, st, now);
	bool late = precedence % 3 != 0;

	*rank = capacity_rank(q->rank, late, st->job->beyond_rate);
	*turn = question_turn(q->rank, late, st->job->beyond_rate);
	return st->wait_reason != CELL_WAIT_LIMIT &&
	       precedence % 3 != PRECEDENCE_TOO_LATE;
}

static void
add_waiting_stage(
    struct cell_sched *s, const struct cell_stage *st, ogl_time now)
{
	const struct cell_queue *q = cell_sched_queue_of(s, st->job);
	uint32_t tasks = cell_stage_waiting(st);
	double cores = step_cores(st->def, tasks);
	uint32_t rank, turn;

	if (!counts_as_waiting(s, st, &rank, &turn, now))
		return;
	ogl_capacity_add_waiting(
	    s->capacity, rank, cores, cores * step_run_ms(st->job, st->step));
	if (waits_for_first_question(q, st))
		ogl_capacity_add_question(s->capacity, turn,
		    st->job->def->queue,
		    first_question_ms(s, st->job, q, st->def, tasks));
}

/* When the run is expected to end. */
static ogl_time
expected_end(const struct cell_sched *s, const struct cell_run *r, ogl_time now)
{
	ogl_time ran = now - r->created_at;
	ogl_time takes;

	if (r->stage == NULL)
		return now; /* it is being stopped */
	takes = (ogl_time)(step_run_ms(r->stage->job, r->stage->step) * OGL_MS *
			   cell_fleet_pace(s->parts.fleet, r->worker));
	return MAX(r->created_at + takes,
	    now + (ogl_time)((double)ran * OVERRUN_SHARE));
}

static void
add_worker(struct cell_sched *s, const struct cell_worker *w, ogl_time now)
{
	double free = cell_worker_room(w).cpu_milli / 1e3;
	ogl_time closed_until = MAX(w->cooldown_until, w->aside_until);
	GHashTableIter it;
	gpointer p;

	if (!w->listed || w->draining || w->evacuated)
		return;
	s->open_cores += w->capacity.cpu_milli / 1e3;
	if (cell_worker_schedulable(w, now))
		ogl_capacity_add_free(s->capacity, free);
	else
		ogl_capacity_add_change(
		    s->capacity, free, MAX(now + WORKER_PAUSE, closed_until));
	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		const struct cell_run *r = p;

		ogl_capacity_add_running(s->capacity, r->res.cpu_milli / 1e3,
		    expected_end(s, r, now));
	}
}

static void
take_picture(struct cell_sched *s, ogl_time now)
{
	GHashTableIter it;
	gpointer p;
	uint32_t rank;
	GList *at;

	if (now - s->picture_at < PICTURE_INTERVAL)
		return;
	s->picture_at = now;
	s->open_cores = 0;
	ogl_capacity_begin(s->capacity, now);
	g_hash_table_iter_init(&it, cell_fleet_workers(s->parts.fleet));
	while (g_hash_table_iter_next(&it, NULL, &p))
		add_worker(s, p, now);
	for (rank = 0; rank < RANKS; rank++) {
		for (at = s->waiting[rank].head; at != NULL; at = at->next)
			add_waiting_stage(s, at->data, now);
	}
	cell_advice_add_lanes(s->parts.advice, s->capacity, now);
}

/* The stages of the job's rank that came after its first attempt. */
static void
find_later_work(struct cell_sched *s, const struct cell_job *j, uint32_t rank,
    struct ogl_capacity_work *w, ogl_time now)
{
	GList *at;
	uint32_t r, turn;

	for (at = s->waiting[MIN(rank, RANKS - 1)].tail; at != NULL;
	     at = at->prev) {
		const struct cell_stage *st = at->data;
		uint32_t tasks = cell_stage_waiting(st);
		double cores = step_cores(st->def, tasks);
		const struct cell_queue *q;

		if (st->job->waits_since <= j->waits_since)
			return;
		if (!counts_as_waiting(s, st, &r, &turn, now) || r != w->rank)
			continue;
		q = cell_sched_queue_of(s, st->job);
		w->later_cores += cores;
		w->later_core_ms += cores * step_run_ms(st->job, st->step);
		if (waits_for_first_question(q, st) &&
		    (turn == 0 ||
			strcmp(st->job->def->queue, j->def->queue) == 0))
			w->later_lane_ms +=
			    first_question_ms(s, st->job, q, st->def, tasks);
	}
}

/* What the first steps of a new job need. */
static struct ogl_capacity_work
work_of(struct cell_sched *s, const struct cell_job *j,
    const struct cell_queue *q, bool late, ogl_time now)
{
	struct ogl_capacity_work w = {
	    .rank = capacity_rank(q->rank, late, j->beyond_rate)};
	double share = q->policy.needed ? cell_advice_approved_share(
					      s->parts.advice, j->def->queue)
					: 1;
	const Ogl__CellStep *step = j->def->steps[0];
	double cores = step_cores(step, step->gang ? step->count : 1);

	w.cores = MIN(cores / MAX(share, 0.01),
	    MAX(cores, GANG_CORES_SHARE_MAX * s->open_cores));
	w.asks = q->policy.needed;
	w.turn = question_turn(q->rank, late, j->beyond_rate);
	w.queue = j->def->queue;
	if (w.asks)
		w.lane_ms = first_question_ms(s, j, q, step, step->count);
	find_later_work(s, j, q->rank, &w, now);
	return w;
}

/* Adds the first step of a job that is accepted, until the next picture. */
static void
add_accepted(struct cell_sched *s, const struct cell_job *j,
    const struct cell_queue *q, ogl_time now)
{
	const Ogl__CellStep *step = j->def->steps[0];
	uint32_t rank = capacity_rank(q->rank, false, j->beyond_rate);
	double cores = step_cores(step, step->count);

	ogl_capacity_add_waiting(
	    s->capacity, rank, cores, cores * step_run_ms(j, 0));
	if (q->policy.needed)
		ogl_capacity_add_question(s->capacity,
		    question_turn(q->rank, false, j->beyond_rate),
		    j->def->queue,
		    first_question_ms(s, j, q, step, step->count));
	ogl_capacity_arrived(s->capacity, rank, cores,
	    j->cpu_seconds * 1e3 * cell_learned_chain_ms(j) /
		MAX(j->chain_ms, 1),
	    now);
}

/* Whether the capacity may refuse: something lacks room or a lane, and things
 * are started at all, which is not so while the store is silent. */
static bool
may_refuse_by_capacity(const struct cell_sched *s, ogl_time now)
{
	return cell_sched_is_full(s, now) &&
	       !cell_fleet_awaits_confirmation(s->parts.fleet, now);
}

/* ---- closed workers --------------------------------------------------- */

/* Whether every listed worker is drained or in an evacuated zone. */
static bool
all_closed(const struct cell_sched *s)
{
	GHashTableIter it;
	gpointer p;
	bool any = false;

	g_hash_table_iter_init(&it, cell_fleet_workers(s->parts.fleet));
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct cell_worker *w = p;

		if (!w->listed)
			continue;
		if (!w->evacuated && !w->draining)
			return false;
		any = true;
	}
	return any;
}

/*
 * How long no worker is expected to take work, 0 if there are some that do.
 * Nobody says when the operator will open them again, so it is taken to last as
 * long as it did the last time, or as long again as it has lasted.
 */
static ogl_time
expected_closure(struct cell_sched *s, ogl_time now)
{
	if (!all_closed(s)) {
		if (s->closed_since != 0)
			s->last_closure = now - s->closed_since;
		s->closed_since = 0;
		return 0;
	}
	if (s->closed_since == 0)
		s->closed_since = now;
	return MAX(s->last_closure, now - s->closed_since);
}

/* Returns 0 if a job that waits so long can still be of use to its caller, and
 * otherwise after what time one can be in time again.  A job is not refused for
 * its run time alone, as it would be again whenever its caller came back. */
static ogl_time
too_long_by(const struct cell_queue *q, const struct cell_job *j,
    struct cell_expected_wait w, double margin)
{
	double allowed_ms = cell_sched_queue_objective_ms(q, j);
	double run_ms = ESTIMATE_FACTOR * cell_learned_chain_ms(j);
	ogl_time in_time = (ogl_time)MAX(allowed_ms - run_ms, 0) * OGL_MS;
	ogl_time late =
	    (ogl_time)MAX(LATE_OBJECTIVES_MAX * allowed_ms - run_ms, 0) *
	    OGL_MS;

	if ((double)w.behind_in_time <= margin * (double)in_time ||
	    (double)w.behind_all <= margin * (double)late)
		return 0;
	return w.behind_in_time - in_time;
}

/* How long the job would wait by the capacity if it stayed in time, and if it
 * became late while it waits; `at_least`: if no more work came.  *rule: what it
 * would be refused for. */
static struct cell_expected_wait
capacity_wait(struct cell_sched *s, const struct cell_job *j,
    const struct cell_queue *q, bool at_least, const char **rule, ogl_time now)
{
	struct ogl_capacity_work work = work_of(s, j, q, false, now);
	struct ogl_capacity_wait in_time, late;
	struct cell_expected_wait w;

	work.at_least = at_least;
	in_time = ogl_capacity_wait(s->capacity, &work, now);
	w.behind_in_time = in_time.longer;
	w.behind_all = OGL_NEVER;
	if (too_long_by(q, j, w, 1) == 0) {
		w.behind_all = in_time.longer;
		return w;
	}
	*rule = in_time.lane > in_time.room ? "lanes" : "room";
	work = work_of(s, j, q, true, now);
	work.at_least = at_least;
	late = ogl_capacity_wait(s->capacity, &work, now);
	w.behind_all = MAX(in_time.longer, late.longer);
	return w;
}

/*
 * Refuses a job by the capacity's forecast; as too_long_by.  A burst may end at
 * any time, so work that has not come yet counts for the time that is expected
 * and compared with the real one, but not against the job.
 */
static ogl_time
refused_by_capacity(struct cell_sched *s, struct cell_job *j,
    const struct cell_queue *q, ogl_time now)
{
	const char *rule = NULL;
	struct cell_expected_wait w;
	ogl_time by;

	if (!CELL_USES_CAPACITY)
		return 0;
	take_picture(s, now);
	w = capacity_wait(s, j, q, false, &rule, now);
	j->expected_start = w.behind_all;
	j->has_expected_start = true;
	if (!may_refuse_by_capacity(s, now) ||
	    !ogl_capacity_error(s->capacity, j->def->queue).reliable ||
	    too_long_by(q, j, w, CAPACITY_MARGIN) == 0)
		return 0;
	w = capacity_wait(s, j, q, true, &rule, now);
	by = too_long_by(q, j, w, CAPACITY_MARGIN);
	if (by > 0)
		j->refused_by = rule;
	return by;
}

/* Refuses a job by the rate of its lines; as too_long_by. */
static ogl_time
refused_by_lines(struct cell_sched *s, struct cell_job *j,
    const struct cell_queue *q, ogl_time now)
{
	struct cell_expected_wait w =
	    cell_forecast_wait(s->forecast, team_line_of(s, j), now);
	ogl_time by_team = too_long_by(q, j, w, FORECAST_MARGIN);
	ogl_time by_queue;

	w = cell_forecast_wait(s->forecast, line_of(s, j), now);
	j->expected_wait = w.behind_in_time;
	by_queue = too_long_by(q, j, w, FORECAST_MARGIN);
	if (by_team > by_queue) {
		j->refused_by = "team_line";
		j->refused_line = team_line_of(s, j);
	} else if (by_queue > 0) {
		j->refused_by = "line";
	}
	return MAX(by_team, by_queue);
}

ogl_time
cell_sched_forecast(struct cell_sched *s, struct cell_job *j, ogl_time now)
{
	const struct cell_queue *q = cell_sched_queue_of(s, j);
	struct cell_expected_wait w;
	ogl_time by;
	ogl_time closure;

	if (!CELL_USES_FORECAST || cell_job_def_open_ended(j->def))
		return 0;
	j->refused_line = line_of(s, j);
	closure = expected_closure(s, now);
	if (closure > 0) {
		w.behind_in_time = closure;
		w.behind_all = closure;
		j->refused_by = "closed";
		j->expected_wait = closure;
		return too_long_by(q, j, w, 1);
	}
	by = refused_by_lines(s, j, q, now);
	by = MAX(by, refused_by_capacity(s, j, q, now));
	if (by == 0 && CELL_USES_CAPACITY)
		add_accepted(s, j, q, now);
	return by;
}

ogl_time
cell_sched_expected_start(const struct cell_job *j)
{
	return MAX(j->expected_start, j->expected_wait);
}

/* ---- return slots ----------------------------------------------------- */

void
cell_sched_note_return(struct cell_sched *s, struct cell_job *j, ogl_time now)
{
	if (CELL_USES_SLOTS)
		j->waits_since = ogl_slots_first_attempt(s->slots, j->id, now);
}

bool
cell_sched_is_return(const struct cell_sched *s, const char *id, ogl_time now)
{
	return ogl_slots_first_attempt(s->slots, id, now) < now;
}

void
cell_sched_note_accepted(struct cell_sched *s, const struct cell_job *j)
{
	ogl_slots_remove(s->slots, j->id);
}

uint32_t
cell_sched_return_ms(struct cell_sched *s, const struct cell_refused *r,
    ogl_time not_before, ogl_time now)
{
	struct cell_line *l = r->job != NULL ? r->job->refused_line : NULL;
	ogl_time at = not_before;

	if (l == NULL)
		l = cell_forecast_line(s->forecast, r->queue);
	if (CELL_USES_SLOTS)
		at = ogl_slots_give(s->slots, cell_forecast_line_name(l), r->id,
		    cell_forecast_rate(l, now), not_before, now);
	return (uint32_t)((at - now + OGL_MS - 1) / OGL_MS);
}
