/*
 * Schedules the tasks of a shard in passes over its waiting stages.
 *
 * Waiting stages are kept in one list per rank (queue priority), oldest first.
 * A pass visits them in the order of
 *
 *	precedence  first stages that can still end within their objective,
 *	            then those that cannot, then those so late that their
 *	            result is worthless; all three first for teams within
 *	            their rate, then for teams beyond it
 *	rank        the queue's priority; late stages of rank 0 come before
 *	            stages of other ranks that are in time
 *	age         the longest waiting first
 *
 * and places their tasks on the workers that fit best: of those that the
 * queue's policy allows, the ones that have the least capacity left afterwards.
 * A gang is placed whole or not at all.
 *
 * A gang that finds no room reserves the workers that could hold it soonest,
 * those with the most free capacity, for the rest of the pass, against lower
 * ranks and later work of its own rank.  Otherwise smaller work would take all
 * capacity as it becomes free, and the gang would starve.  For the same reason,
 * stages without a tight deadline ask the advice service about the fullest
 * workers first, and a gang that waits for its team's limit blocks lower ranks
 * of the team.
 */

#include <string.h>

#include "ablate.h"
#include "forecast.h"
#include "question.h"
#include "room.h"
#include "schedule.h"

#define RANKS 4
/* Precedences are in time, late and too late, first for teams within their rate
 * and then for teams beyond it. */
#define PRECEDENCES 6
#define PRECEDENCE_TOO_LATE 2
#define PRECEDENCE_BEYOND_RATE 3 /* in time, but beyond the rate */
/* Fraction of the estimated remaining run time that counts for the precedence
 * of a stage.  Estimates are often off by a fifth, so a stage that would miss
 * its objective by less still counts as in time. */
#define ESTIMATE_FACTOR 0.7
/* A result later than this many times the objective is worthless. */
#define LATE_OBJECTIVES_MAX 3
/* Gangs that may reserve workers in one pass.  The number is small because
 * reserved capacity stays idle. */
#define RESERVING_GANGS_MAX 2
/* A stage that finds no room for this long asks about further workers. */
#define ASK_MORE_DELAY (300 * OGL_MS)
/* Time between two passes: capacity that becomes free within 4 ms is allocated
 * in one pass, and a long queue does not use up the processor of a small
 * machine, because each waiting stage adds to the interval. */
#define PASS_INTERVAL (4 * OGL_MS)
#define PASS_INTERVAL_PER_STAGE_US ((ogl_time)10)
/* Fraction of its limit that a team may use for ranks other than 0; otherwise
 * its short urgent work would wait for its own long tasks to end. */
#define LOWER_RANK_LIMIT_SHARE 0.93
/* A pass skips the rest of a bucket after this many stages in a row found no
 * place. */
#define CONSECUTIVE_UNPLACED_MAX 40
/* Of the stages that wait for a team's limit, this many of each rank renew
 * their tickets.  Questions for the others would be wasted and would take lanes
 * of the advice service from work that can be started. */
#define LIMITED_STAGES_ASKING_MAX 2
/* When a team's limit refuses a stage of rank 0, other ranks of the team are
 * not started for this long. */
#define LOWER_RANKS_PAUSE (150 * OGL_MS)

/* While a gang waits for its team's limit, more than half of the limit may be
 * unused for this long. */
#define UNDERUSE_TIME_MAX (1500 * OGL_MS)

/* What one unit of pace adds to placement_cost, whose unit is a thousandth of a
 * core left over on the worker. */
#define PACE_COST_MILLI 60e3
/* A worker more than this many times slower than healthy ones counts as
 * faulty. */
#define FAULTY_PACE_MIN 1.7
#define FAULTY_PACE_COST_MILLI 300e3
/* A deadline is tight when the time to the objective is less than this many
 * times the estimated remaining run time. */
#define TIGHT_DEADLINE_FACTOR 2.0

/* Free capacity counts as spare when no stage has lacked room for this long. */
#define ROOM_SPARE_AFTER (300 * OGL_MS)

#define LINE_NAME_MAX 256
/* A job is refused only if it would wait this many times too long: a forecast
 * that errs costs a caller whose job could have been served. */
#define FORECAST_MARGIN 2.0
/* How long the first closure of all workers is expected to last. */
#define FIRST_CLOSURE (5 * OGL_SEC)

/* State of a team that is kept between passes. */
struct team_state {
	ogl_time urgent_limited_at; /* last refusal of rank 0 by its limit */
	uint64_t pass;              /* pass of nlimited and waiting_gang_rank */
	unsigned nlimited[RANKS];   /* refused stages of each rank */
	ogl_time limited_at;        /* last refusal of any rank */
	/* Highest rank of a gang that waits in this pass for running tasks of
	 * the team to end.  Lower ranks are not started.  RANKS: no gang. */
	uint32_t waiting_gang_rank;
	/* Since when less than half of the limit is in use; 0: it is not. */
	ogl_time underused_since;
};

/* Result of an attempt to place a stage. */
enum outcome {
	PLACED,  /* a task was started, or the stage must not start yet */
	LIMITED, /* its team's limit is reached; other stages may fit */
	UNPLACED /* no room, or no valid ticket for any worker */
};

struct cell_sched {
	struct cell_sched_parts parts;
	bool slow_link;
	struct cell_config *config;
	GQueue waiting[RANKS]; /* struct cell_stage */
	unsigned reserving_gangs;
	GHashTable *team_states; /* team -> struct team_state */
	struct cell_forecast *forecast;
	ogl_time closed_since; /* no worker takes work since then; 0 some do */
	ogl_time last_closure; /* how long that lasted the last time */
	uint64_t pass;         /* number of the current pass */
	ogl_time no_room_at;   /* last time that a stage found no room */
	/* Free capacity of schedulable workers when the pass began. */
	uint64_t free_cpu_milli;
	GPtrArray *schedulable; /* workers that take work, most room first */
	GPtrArray *buckets[PRECEDENCES][RANKS]; /* struct cell_stage */
	GPtrArray *candidates; /* scratch: struct cell_worker */
	GPtrArray *expired;    /* scratch: allowed, with room, ticket expired */
	GPtrArray *chosen;     /* scratch: struct cell_worker, one per task */
	bool tight_deadline;   /* scratch: of the current stage */
	/* scratch: an allowed worker has room, but already runs worker_max
	 * tasks of the stage */
	bool some_at_worker_max;
	ogl_time next_pass_at; /* earliest time of the next pass */
};

struct cell_sched *
cell_sched_init(const struct cell_sched_parts *parts)
{
	struct cell_sched *s = g_new0(struct cell_sched, 1);
	int i, k;

	s->parts = *parts;
	s->no_room_at = CELL_LONG_AGO;
	s->schedulable = g_ptr_array_new();
	s->expired = g_ptr_array_new();
	for (i = 0; i < PRECEDENCES; i++) {
		for (k = 0; k < RANKS; k++)
			s->buckets[i][k] = g_ptr_array_new();
	}
	for (i = 0; i < RANKS; i++)
		g_queue_init(&s->waiting[i]);
	s->team_states =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->forecast = cell_forecast_init();
	s->last_closure = FIRST_CLOSURE;
	s->candidates = g_ptr_array_new();
	s->chosen = g_ptr_array_new();
	return s;
}

void
cell_sched_end(struct cell_sched *s)
{
	int i, k;

	cell_sched_clear(s);
	for (i = 0; i < PRECEDENCES; i++) {
		for (k = 0; k < RANKS; k++)
			g_ptr_array_unref(s->buckets[i][k]);
	}
	cell_config_unref(s->config);
	g_hash_table_unref(s->team_states);
	cell_forecast_end(s->forecast);
	g_ptr_array_unref(s->schedulable);
	g_ptr_array_unref(s->expired);
	g_ptr_array_unref(s->candidates);
	g_ptr_array_unref(s->chosen);
	g_free(s);
}

void
cell_sched_open(struct cell_sched *s, ogl_time now)
{
	cell_forecast_reset(s->forecast, now);
}

void
cell_sched_clear(struct cell_sched *s)
{
	GList *l;
	int i;

	g_hash_table_remove_all(s->team_states);
	for (i = 0; i < RANKS; i++) {
		while ((l = g_queue_pop_head_link(&s->waiting[i])) != NULL)
			((struct cell_stage *)l->data)->queue = NULL;
	}
}

void
cell_sched_set_config(struct cell_sched *s, struct cell_config *c)
{
	cell_config_ref(c);
	cell_config_unref(s->config);
	s->config = c;
}

/* ---- waiting lists ---------------------------------------------------- */

/* The configuration of the job's queue, looked up once per version. */
static const struct cell_queue *
queue_of(const struct cell_sched *s, struct cell_job *j)
{
	uint64_t version =
	    s->config != NULL ? cell_config_version(s->config) : 0;

	if (j->queue_config == NULL || j->queue_config_version != version) {
		g_free(j->queue_config);
		j->queue_config = g_new(struct cell_queue, 1);
		*j->queue_config = cell_queue_of_job(s->config, j->def);
		j->queue_config_version = version;
	}
	return j->queue_config;
}

static uint32_t
rank_of(const struct cell_sched *s, const struct cell_stage *st)
{
	return MIN(queue_of(s, st->job)->rank, RANKS - 1);
}

void
cell_sched_set_slow_link(struct cell_sched *s, bool slow_link)
{
	s->slow_link = slow_link;
}

void
cell_sched_add(struct cell_sched *s, struct cell_stage *st)
{
	GQueue *q;
	GList *at;

	if (st->queue != NULL)
		return;
	q = &s->waiting[rank_of(s, st)];
	st->queue = q;
	/* A new stage is nearly always the youngest, so start at the tail. */
	for (at = q->tail; at != NULL; at = at->prev) {
		const struct cell_stage *other = at->data;

		if (other->job->accepted <= st->job->accepted)
			break;
	}
	if (at == NULL)
		g_queue_push_head_link(q, &st->link);
	else
		g_queue_insert_after_link(q, at, &st->link);
}

void
cell_sched_remove(struct cell_stage *st)
{
	if (st->queue == NULL)
		return;
	g_queue_unlink(st->queue, &st->link);
	st->queue = NULL;
}

size_t
cell_sched_waiting(const struct cell_sched *s)
{
	size_t n = 0;
	int i;

	for (i = 0; i < RANKS; i++)
		n += s->waiting[i].length;
	return n;
}

/* ---- precedence ------------------------------------------------------- */

static double
objective_for(
    const struct cell_queue *q, const struct cell_job *j, double chain_ms)
{
	double policy_ms = q->policy.needed
			       ? q->policy.decide_ms + 30 * q->policy.worker_ms
			       : 0;

	return q->objective_ms +
	       q->slack * (chain_ms + policy_ms * (double)j->def->n_steps);
}

static double
objective_ms(const struct cell_queue *q, const struct cell_job *j)
{
	return objective_for(q, j, j->chain_ms);
}

double
cell_sched_objective_ms(const struct cell_sched *s, struct cell_job *j)
{
	return objective_ms(queue_of(s, j), j);
}

double
cell_sched_measured_objective_ms(const struct cell_sched *s, struct cell_job *j)
{
	return objective_for(queue_of(s, j), j, cell_job_measured_chain_ms(j));
}

static unsigned
precedence_of(
    const struct cell_queue *q, const struct cell_stage *st, ogl_time now)
{
	const struct cell_job *j = st->job;
	double allowed_ms = objective_ms(q, j);
	double end_ms = (double)(now - j->accepted) / OGL_MS +
			ESTIMATE_FACTOR * j->chain_from_ms[st->step];
	unsigned precedence = 0;

	if (st->def->lasting)
		return 0;
	if (!CELL_USES_STANDING)
		precedence = 0;
	else if (end_ms > LATE_OBJECTIVES_MAX * allowed_ms)
		precedence = PRECEDENCE_TOO_LATE;
	else if (end_ms > allowed_ms)
		precedence = 1;
	return j->beyond_rate ? precedence + PRECEDENCE_BEYOND_RATE
			      : precedence;
}

static bool
deadline_is_tight(
    const struct cell_queue *q, const struct cell_stage *st, ogl_time now)
{
	const struct cell_job *j = st->job;
	double left_ms =
	    objective_ms(q, j) - (double)(now - j->accepted) / OGL_MS;

	return !st->def->lasting &&
	       left_ms < TIGHT_DEADLINE_FACTOR * j->chain_from_ms[st->step];
}

/* ---- forecast --------------------------------------------------------- */

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

static void
count_waiting_job(
    struct cell_sched *s, const struct cell_stage *st, unsigned precedence)
{
	struct cell_line *l;

	if (st->job->placed || precedence % 3 == PRECEDENCE_TOO_LATE)
		return;
	if (st->wait_reason == CELL_WAIT_LIMIT)
		l = team_line_of(s, st->job);
	else
		l = line_of(s, st->job);
	cell_forecast_count(l, precedence % 3 == 0, st->job->accepted);
}

static void
count_first_start(struct cell_sched *s, struct cell_job *j, ogl_time now)
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
}

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

static bool
lasts(const struct cell_job *j)
{
	size_t i;

	for (i = 0; i < j->def->n_steps; i++) {
		if (j->def->steps[i]->lasting)
			return true;
	}
	return false;
}

/* Returns 0 if a job that waits so long can still be of use to its caller, and
 * otherwise after what time one can be in time again. */
static ogl_time
too_long_by(const struct cell_queue *q, const struct cell_job *j,
    struct cell_expected_wait w, double margin)
{
	double allowed_ms = objective_ms(q, j);
	double run_ms = ESTIMATE_FACTOR * j->chain_ms;
	ogl_time in_time = (ogl_time)(allowed_ms - run_ms) * OGL_MS;
	ogl_time late =
	    (ogl_time)(LATE_OBJECTIVES_MAX * allowed_ms - run_ms) * OGL_MS;

	if ((double)w.behind_in_time <= margin * (double)in_time ||
	    (double)w.behind_all <= margin * (double)late)
		return 0;
	return w.behind_in_time - in_time;
}

ogl_time
cell_sched_forecast(struct cell_sched *s, struct cell_job *j, ogl_time now)
{
	const struct cell_queue *q = queue_of(s, j);
	struct cell_expected_wait w;
	ogl_time by;
	ogl_time closure;

	if (!CELL_USES_FORECAST || j->def->repeats > 0 || lasts(j))
		return 0;
	closure = expected_closure(s, now);
	if (closure > 0) {
		w.behind_in_time = closure;
		w.behind_all = closure;
		return too_long_by(q, j, w, 1);
	}
	w = cell_forecast_wait(s->forecast, team_line_of(s, j), now);
	by = too_long_by(q, j, w, FORECAST_MARGIN);
	w = cell_forecast_wait(s->forecast, line_of(s, j), now);
	j->expected_wait = w.behind_in_time;
	return MAX(by, too_long_by(q, j, w, FORECAST_MARGIN));
}

/* ---- candidates ------------------------------------------------------- */

/* Whether a gang of the same or a higher rank has reserved the worker, which
 * stores that gang's rank + 1. */
static bool
reserved_against(const struct cell_worker *w, uint32_t rank)
{
	return w->reserved_rank_plus_1 != 0 &&
	       rank + 1 >= w->reserved_rank_plus_1;
}

/* Tasks of the stage on a worker, including those chosen in this pass. */
static uint32_t
tasks_on(const struct cell_sched *s, const struct cell_stage *st,
    const struct cell_worker *w)
{
	GHashTableIter it;
	gpointer p;
	uint32_t n = 0;
	guint i;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		const struct cell_run *r = p;

		if (r->name.step == st->step &&
		    r->name.occurrence == st->occurrence &&
		    strcmp(r->name.id, st->job->id) == 0)
			n++;
	}
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

		if (w == NULL || w->schedulable_pass != s->pass ||
		    reserved_against(w, rank) || !cell_worker_fits(w, &need))
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

static void
list_candidates(struct cell_sched *s, const struct cell_stage *st,
    bool policy_needed, uint32_t rank, ogl_time now)
{
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
	for (i = 0; i < s->schedulable->len; i++) {
		struct cell_worker *w = s->schedulable->pdata[i];

		if (cell_worker_fits(w, &need) && !reserved_against(w, rank) &&
		    cell_worker_could_run(w, st))
			g_ptr_array_add(s->candidates, w);
	}
}

/*
 * Stages with a tight deadline prefer fast workers.  Other stages prefer slow
 * ones, to leave the fast ones free, but also avoid faulty workers.
 */
static double
pace_cost(const struct cell_sched *s, const struct cell_worker *w)
{
	double pace = cell_fleet_pace(s->parts.fleet, w);

	if (!CELL_USES_PACE)
		return 0;
	if (pace > FAULTY_PACE_MIN)
		return FAULTY_PACE_COST_MILLI * pace;
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
	double cost = (double)room.cpu_milli + pace_cost(s, w);

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

		if (!cell_worker_fits(w, &need))
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

/* ---- limits ----------------------------------------------------------- */

/* Whether the need fits into the share of the limit.  A step that alone needs
 * more than the share may use the whole limit. */
static bool
within_limit(uint32_t used, uint64_t need, uint32_t max, double share)
{
	uint64_t limit = (uint64_t)(max * share);

	if (need > limit)
		limit = max;
	return max == 0 || used + need <= limit;
}

static uint32_t
scale_limit(uint32_t max, uint32_t part_ppm)
{
	if (max == 0)
		return 0;
	return MAX(
	    (uint32_t)((uint64_t)max * part_ppm / CELL_PART_WHOLE_PPM), 1);
}

/* Resources that the team may use in this shard; 0: no limit. */
static struct ogl_res
shard_limit(const struct cell_sched *s, const struct cell_team *t)
{
	uint32_t part_ppm = cell_escrow_part(s->parts.escrow, t->name);
	struct ogl_res max = {scale_limit(t->max.cpu_milli, part_ppm),
	    scale_limit(t->max.mem_mb, part_ppm),
	    scale_limit(t->max.accel, part_ppm)};

	return max;
}

/* Millionths of the whole limit that are needed; more than CELL_PART_WHOLE_PPM
 * if the whole limit is not enough. */
static double
ppm_needed(uint32_t used, uint64_t need, uint32_t max, double share)
{
	uint64_t limit = (uint64_t)(max * share);

	if (max == 0)
		return 0;
	if (need > limit)
		limit = max;
	return (double)(used + need) / (double)limit * CELL_PART_WHOLE_PPM;
}

static double
ppm_needed_for_tasks(const struct cell_team *t, const struct ogl_res *used,
    const struct ogl_res *need, uint64_t tasks, double share)
{
	double cpu = ppm_needed(
	    used->cpu_milli, need->cpu_milli * tasks, t->max.cpu_milli, share);
	double mem = ppm_needed(
	    used->mem_mb, need->mem_mb * tasks, t->max.mem_mb, share);
	double accel =
	    ppm_needed(used->accel, need->accel * tasks, t->max.accel, share);

	return MAX(cpu, MAX(mem, accel));
}

/* Asks for what all waiting tasks of the stage need or, if that exceeds the
 * whole limit, for what the next start needs. */
static void
request_part(struct cell_sched *s, const struct cell_stage *st,
    const struct cell_team *t, const struct ogl_res *used, uint32_t tasks,
    uint32_t rank, double share, ogl_time now)
{
	struct ogl_res need = cell_stage_need(st);
	double least_ppm = ppm_needed_for_tasks(t, used, &need, tasks, share);
	double want_ppm =
	    ppm_needed_for_tasks(t, used, &need, cell_stage_waiting(st), share);
	struct cell_part_need part = {.rank = rank};

	if (least_ppm > CELL_PART_WHOLE_PPM)
		return;
	if (want_ppm > CELL_PART_WHOLE_PPM)
		want_ppm = least_ppm;
	part.least = (uint32_t)least_ppm + 1;
	part.wanted = (uint32_t)want_ppm + 1;
	cell_escrow_request(s->parts.escrow, t->name, &part, now);
}

static struct team_state *
team_state_of(struct cell_sched *s, const char *team)
{
	struct team_state *t = g_hash_table_lookup(s->team_states, team);

	if (t == NULL) {
		t = g_new0(struct team_state, 1);
		t->urgent_limited_at = CELL_LONG_AGO;
		t->limited_at = CELL_LONG_AGO;
		g_hash_table_insert(s->team_states, g_strdup(team), t);
	}
	if (t->pass != s->pass) {
		t->pass = s->pass;
		memset(t->nlimited, 0, sizeof t->nlimited);
		t->waiting_gang_rank = RANKS;
	}
	return t;
}

/*
 * Whether other ranks wait because the team's limit refused its urgent work
 * (rank 0).  Otherwise the team's long tasks would use any part of the limit
 * that becomes free, and its short urgent tasks would wait for seconds although
 * the cell has room.
 */
static bool
waits_for_urgent(struct cell_sched *s, const struct cell_stage *st,
    uint32_t rank, ogl_time now)
{
	return CELL_USES_URGENT && rank > 0 &&
	       now - team_state_of(s, st->job->def->team)->urgent_limited_at <
		   LOWER_RANKS_PAUSE;
}

static bool
team_limit_allows(struct cell_sched *s, const struct cell_stage *st,
    uint32_t tasks, uint32_t rank, ogl_time now)
{
	double share =
	    rank == 0 || !CELL_USES_LIMIT_PART ? 1.0 : LOWER_RANK_LIMIT_SHARE;
	const struct cell_team *t =
	    cell_config_team(s->config, st->job->def->team);
	struct ogl_res used =
	    cell_fleet_team_used(s->parts.fleet, st->job->def->team);
	struct ogl_res need = cell_stage_need(st);
	struct ogl_res max;

	if (t == NULL)
		return true;
	if (waits_for_urgent(s, st, rank, now) ||
	    rank > team_state_of(s, st->job->def->team)->waiting_gang_rank)
		return false;
	max = shard_limit(s, t);
	if (within_limit(used.cpu_milli, (uint64_t)need.cpu_milli * tasks,
		max.cpu_milli, share) &&
	    within_limit(used.mem_mb, (uint64_t)need.mem_mb * tasks, max.mem_mb,
		share) &&
	    within_limit(
		used.accel, (uint64_t)need.accel * tasks, max.accel, share))
		return true;
	request_part(s, st, t, &used, tasks, rank, share, now);
	return false;
}

/* ---- questions to the advice service ---------------------------------- */

/* Whether the stage can use the small free capacity of nearly full workers.  It
 * can if it has no tight deadline and its tasks start one by one. */
static bool
may_use_fullest(
    const struct cell_queue *q, const struct cell_stage *st, ogl_time now)
{
	return !st->def->gang && !deadline_is_tight(q, st, now);
}

typedef void choose_fn(const struct cell_question_scope *q,
    const struct cell_stage *st, GPtrArray *workers);

/* Asks about the workers that `choose` lists; false if it lists none. */
static bool
ask(struct cell_sched *s, struct cell_stage *st, const struct cell_queue *q,
    choose_fn *choose, ogl_time now)
{
	GPtrArray *workers = g_ptr_array_new();
	struct cell_question_scope scope = {&q->policy, s->schedulable,
	    s->candidates, s->expired,
	    cell_advice_approved_share(s->parts.advice, st->job->def->queue),
	    s->slow_link, may_use_fullest(q, st, now), now};
	bool asked;

	choose(&scope, st, workers);
	asked = cell_advice_ask(
	    s->parts.advice, st, &q->policy, workers, rank_of(s, st), now);
	g_ptr_array_unref(workers);
	return asked;
}

static void
request_advice(struct cell_sched *s, struct cell_stage *st,
    const struct cell_queue *q, ogl_time now)
{
	const struct cell_policy *p = &q->policy;

	if (!p->needed || st->asking ||
	    !cell_advice_has_free_lane(s->parts.advice, rank_of(s, st), now))
		return;
	if (g_hash_table_size(st->asked) == 0) {
		ask(s, st, q, cell_question_first, now);
		return;
	}
	if (ask(s, st, q, cell_question_renew, now))
		return;
	if (st->blocked_since != 0 && now - st->blocked_since > ASK_MORE_DELAY)
		ask(s, st, q, cell_question_more, now);
}

/* ---- why a stage waits ------------------------------------------------ */

static const char *
wait_name(enum cell_wait why)
{
	static const char *const names[] = {"not", "store", "settle", "limit",
	    "advice", "ticket", "room", "apart"};

	return names[why];
}

/*
 * Logs one line each time the reason changes.  The lines explain why a job was
 * late: between two lines it waited for the reason in the first.
 */
static void
log_wait(struct cell_sched *s, struct cell_stage *st, enum cell_wait why,
    ogl_time now)
{
	const struct cell_team *t;
	struct ogl_res used;
	char text[256];

	if (st->wait_reason == why)
		return;
	t = cell_config_team(s->config, st->job->def->team);
	used = cell_fleet_team_used(s->parts.fleet, st->job->def->team);
	g_snprintf(text, sizeof text,
	    "job=%s task=%u.%u why=%s waiting=%u ms=%" G_GINT64_FORMAT
	    " room_cpu=%" G_GUINT64_FORMAT " used_cpu=%u max_cpu=%u",
	    st->job->id, st->occurrence, st->step, wait_name(why),
	    cell_stage_waiting(st),
	    st->wait_reason != CELL_WAIT_NONE ? (now - st->wait_since) / OGL_MS
					      : 0,
	    s->free_cpu_milli, used.cpu_milli,
	    t != NULL ? t->max.cpu_milli : 0);
	s->parts.ops->log(s->parts.ops->ctx, "owner", "stage_waits", text);
	st->wait_reason = why;
	st->wait_since = now;
}

/* Why a stage still has waiting tasks after a pass tried to place it. */
static enum cell_wait
find_wait_reason(const struct cell_sched *s, const struct cell_stage *st,
    const struct cell_policy *p)
{
	struct ogl_res need = cell_stage_need(st);
	guint i;

	if (p->needed && g_hash_table_size(st->asked) == 0)
		return CELL_WAIT_ADVICE;
	for (i = 0; i < s->candidates->len; i++) {
		if (cell_worker_fits(s->candidates->pdata[i], &need))
			return st->def->worker_max > 0 ? CELL_WAIT_WORKER_MAX
						       : CELL_WAIT_ROOM;
	}
	if (s->expired->len > 0)
		return CELL_WAIT_TICKET;
	return s->some_at_worker_max ? CELL_WAIT_WORKER_MAX : CELL_WAIT_ROOM;
}

/* ---- placing ---------------------------------------------------------- */

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

	count_first_start(s, st->job, now);
	t->run = run;
	t->active = cell_fleet_start(s->parts.fleet, w, st, index, run,
	    approval != NULL ? approval->ticket : NULL, rank, now);
	st->nactive++;
	s->parts.started(s->parts.arg, st, index, now);
}

/* Places tasks one by one; true if none is left waiting. */
static bool
place_tasks(
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
		w = task_startable(t, now) &&
			    team_limit_allows(s, st, 1, rank, now)
			? pick_worker(s, st, t)
			: NULL;
		if (w == NULL) {
			all_placed = false;
			break;
		}
		start_task(s, st, i, w, s->parts.next_run(s->parts.arg, st),
		    rank, now);
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
static bool
place_gang(
    struct cell_sched *s, struct cell_stage *st, uint32_t rank, ogl_time now)
{
	struct ogl_res need = cell_stage_need(st);
	uint64_t run;
	uint32_t i;

	if (st->nactive > 0)
		return true; /* the last run has not ended yet */
	if (!task_startable(&st->tasks[0], now) ||
	    !team_limit_allows(s, st, st->ntasks, rank, now))
		return false;
	g_ptr_array_set_size(s->chosen, 0);
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
static void
reserve_workers(struct cell_sched *s, struct cell_stage *st, uint32_t rank,
    bool policy_needed)
{
	struct ogl_res need = cell_stage_need(st);
	uint32_t n = 0;
	guint i;

	if (!CELL_USES_RESERVE || s->reserving_gangs >= RESERVING_GANGS_MAX)
		return;
	for (i = 0; i < s->schedulable->len && n < st->ntasks; i++) {
		struct cell_worker *w = s->schedulable->pdata[i];

		if (reserved_against(w, rank) ||
		    !cell_worker_could_run(w, st) ||
		    (policy_needed && cell_advice_approval(st, w) == NULL))
			continue;
		n += cell_res_tasks(&w->capacity, &need);
		w->reserved_rank_plus_1 = rank + 1;
	}
	s->reserving_gangs++;
}

/* Whether the gang waits only because the team has other tasks running. */
static bool
limited_by_others(uint32_t used, uint64_t need, uint32_t max)
{
	return max > 0 && need <= max && used + need > max;
}

static bool
uses_half(uint32_t used, uint32_t max)
{
	return max > 0 && used >= max / 2;
}

/* A team whose gang blocks lower ranks may have less than half of its limit in
 * use only for UNDERUSE_TIME_MAX. */
static bool
may_underuse(struct team_state *t, const struct ogl_res *used,
    const struct ogl_res *max, ogl_time now)
{
	if (uses_half(used->cpu_milli, max->cpu_milli) ||
	    uses_half(used->mem_mb, max->mem_mb) ||
	    uses_half(used->accel, max->accel)) {
		t->underused_since = 0;
		return true;
	}
	if (t->underused_since == 0)
		t->underused_since = now;
	return now - t->underused_since < UNDERUSE_TIME_MAX;
}

/*
 * Whether lower ranks of the team wait until the gang fits into the limit.
 * They don't if this shard has only a part of the limit: work of the team in
 * other shards is not known here.
 */
static bool
blocks_lower_ranks(struct cell_sched *s, const struct cell_stage *st,
    struct team_state *state, ogl_time now)
{
	const char *team = st->job->def->team;
	const struct cell_team *t = cell_config_team(s->config, team);
	struct ogl_res used = cell_fleet_team_used(s->parts.fleet, team);
	struct ogl_res need = cell_stage_need(st);
	uint64_t n = st->ntasks;

	if (t == NULL ||
	    cell_escrow_part(s->parts.escrow, team) != CELL_PART_WHOLE_PPM)
		return false;
	if (!limited_by_others(
		used.cpu_milli, n * need.cpu_milli, t->max.cpu_milli) &&
	    !limited_by_others(used.mem_mb, n * need.mem_mb, t->max.mem_mb) &&
	    !limited_by_others(used.accel, n * need.accel, t->max.accel))
		return false;
	return may_underuse(state, &used, &t->max, now);
}

/* Records that the limit refused the stage, and keeps some tickets valid. */
static void
handle_limited(struct cell_sched *s, struct cell_stage *st,
    const struct cell_queue *q, uint32_t rank, unsigned precedence,
    ogl_time now)
{
	struct team_state *t = team_state_of(s, st->job->def->team);

	if (now - t->limited_at > UNDERUSE_TIME_MAX)
		t->underused_since = 0;
	t->limited_at = now;
	if (st->def->gang && precedence % 3 < PRECEDENCE_TOO_LATE &&
	    blocks_lower_ranks(s, st, t, now))
		t->waiting_gang_rank = MIN(t->waiting_gang_rank, rank);
	if (rank == 0 && precedence % 3 < PRECEDENCE_TOO_LATE)
		t->urgent_limited_at = now;
	if (t->nlimited[rank]++ >= LIMITED_STAGES_ASKING_MAX &&
	    g_hash_table_size(st->asked) > 0)
		return;
	list_candidates(s, st, q->policy.needed, rank, now);
	request_advice(s, st, q, now);
}

static enum outcome
place_stage(struct cell_sched *s, struct cell_stage *st,
    const struct cell_queue *q, uint32_t rank, unsigned precedence,
    ogl_time now)
{
	bool policy_needed = q->policy.needed;
	uint32_t tasks = st->def->gang ? st->ntasks : 1;
	uint32_t active_before;
	bool placed;

	if (!st->job->settled || !st->job->stored) {
		/* The answer should have arrived when the stage may start. */
		if (g_hash_table_size(st->asked) == 0)
			request_advice(s, st, q, now);
		log_wait(s, st,
		    st->job->stored ? CELL_WAIT_SETTLE : CELL_WAIT_STORE, now);
		return PLACED;
	}
	if (!team_limit_allows(s, st, tasks, rank, now)) {
		log_wait(s, st, CELL_WAIT_LIMIT, now);
		handle_limited(s, st, q, rank, precedence, now);
		return LIMITED;
	}
	active_before = st->nactive;
	list_candidates(s, st, policy_needed, rank, now);
	s->tight_deadline = deadline_is_tight(q, st, now);
	if (st->def->gang)
		placed = place_gang(s, st, rank, now);
	else
		placed = place_tasks(s, st, rank, now);
	if (placed) {
		st->blocked_since = 0;
		log_wait(s, st, CELL_WAIT_NONE, now);
		cell_sched_remove(st);
		return PLACED;
	}
	if (st->blocked_since == 0)
		st->blocked_since = now;
	log_wait(s, st, find_wait_reason(s, st, &q->policy), now);
	request_advice(s, st, q, now);
	if (st->def->gang && precedence == 0)
		reserve_workers(s, st, rank, policy_needed);
	return st->nactive > active_before ? PLACED : UNPLACED;
}

/* Placing and asking change the waiting lists, so a pass works on a copy of
 * them. */
static void
fill_buckets(struct cell_sched *s, ogl_time now)
{
	uint32_t rank;
	unsigned precedence;
	GList *at;

	cell_forecast_begin_count(s->forecast);
	for (precedence = 0; precedence < PRECEDENCES; precedence++) {
		for (rank = 0; rank < RANKS; rank++)
			g_ptr_array_set_size(s->buckets[precedence][rank], 0);
	}
	for (rank = 0; rank < RANKS; rank++) {
		for (at = s->waiting[rank].head; at != NULL; at = at->next) {
			struct cell_stage *st = at->data;

			precedence =
			    precedence_of(queue_of(s, st->job), st, now);
			count_waiting_job(s, st, precedence);
			g_ptr_array_add(s->buckets[precedence][rank], st);
		}
	}
}

static gint
by_work(gconstpointer a, gconstpointer b)
{
	const struct cell_stage *x = *(struct cell_stage *const *)a;
	const struct cell_stage *y = *(struct cell_stage *const *)b;

	return x->job->cpu_seconds < y->job->cpu_seconds
		   ? -1
		   : x->job->cpu_seconds > y->job->cpu_seconds;
}

/*
 * Jobs that a team submits beyond its rate cannot all be in time.  Served
 * oldest first, each would wait until it is almost late; served smallest first,
 * the remaining capacity completes the most jobs.
 */
static void
order_beyond_rate(struct cell_sched *s)
{
	uint32_t rank;

	if (!CELL_USES_SMALLEST)
		return;
	for (rank = 0; rank < RANKS; rank++) {
		g_ptr_array_sort(
		    s->buckets[PRECEDENCE_BEYOND_RATE][rank], by_work);
		g_ptr_array_sort(
		    s->buckets[PRECEDENCE_BEYOND_RATE + 1][rank], by_work);
	}
}

static void
list_schedulable_workers(struct cell_sched *s, ogl_time now)
{
	GHashTableIter it;
	gpointer p;

	s->pass++;
	s->free_cpu_milli = 0;
	g_ptr_array_set_size(s->schedulable, 0);
	g_hash_table_iter_init(&it, cell_fleet_workers(s->parts.fleet));
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct cell_worker *w = p;

		if (!cell_worker_schedulable(w, now))
			continue;
		w->schedulable_pass = s->pass;
		w->reserved_rank_plus_1 = 0;
		s->free_cpu_milli += cell_worker_room(w).cpu_milli;
		g_ptr_array_add(s->schedulable, w);
	}
	g_ptr_array_sort(s->schedulable, cell_worker_compare_room);
}

/* After CONSECUTIVE_UNPLACED_MAX stages without a place, the later ones are
 * unlikely to find one.  They are tried once the first ones are placed. */
static void
place_bucket(
    struct cell_sched *s, uint32_t rank, unsigned precedence, ogl_time now)
{
	GPtrArray *stages = s->buckets[precedence][rank];
	unsigned unplaced = 0;
	guint i;

	for (i = 0; i < stages->len && unplaced < CONSECUTIVE_UNPLACED_MAX;
	     i++) {
		struct cell_stage *st = stages->pdata[i];

		switch (place_stage(
		    s, st, queue_of(s, st->job), rank, precedence, now)) {
		case PLACED:
			unplaced = 0;
			break;
		case UNPLACED:
			if (st->wait_reason == CELL_WAIT_ROOM)
				s->no_room_at = now;
			unplaced++;
			break;
		case LIMITED:
		default:
			break;
		}
	}
}

void
cell_sched_pass(struct cell_sched *s, ogl_time now)
{
	size_t waiting = cell_sched_waiting(s);
	unsigned precedence;
	uint32_t rank;

	if (waiting == 0)
		cell_forecast_begin_count(s->forecast);
	if (waiting == 0 || cell_fleet_awaits_confirmation(s->parts.fleet))
		return;
	/* A new owner may read the jobs before the configuration, without which
	 * no team's limit is known. */
	if (s->config == NULL)
		return;
	s->next_pass_at = now + PASS_INTERVAL +
			  (ogl_time)waiting * PASS_INTERVAL_PER_STAGE_US;
	s->reserving_gangs = 0;
	list_schedulable_workers(s, now);
	fill_buckets(s, now);
	order_beyond_rate(s);
	for (precedence = 0; precedence < PRECEDENCES; precedence += 3) {
		place_bucket(s, 0, precedence, now);
		place_bucket(s, 0, precedence + 1, now);
		for (rank = 1; rank < RANKS; rank++)
			place_bucket(s, rank, precedence, now);
		for (rank = 1; rank < RANKS; rank++)
			place_bucket(s, rank, precedence + 1, now);
		for (rank = 0; rank < RANKS; rank++)
			place_bucket(s, rank, precedence + 2, now);
	}
}

static bool
has_room_on(const struct cell_sched *s, const struct cell_stage *st,
    const struct cell_worker *w, ogl_time now)
{
	struct ogl_res need = cell_stage_need(st);

	return cell_worker_schedulable(w, now) &&
	       cell_worker_could_run(w, st) && cell_worker_fits(w, &need) &&
	       cell_fleet_pace(s->parts.fleet, w) < FAULTY_PACE_MIN;
}

bool
cell_sched_has_room(struct cell_sched *s, struct cell_stage *st,
    const struct cell_worker *other, ogl_time now)
{
	bool policy_needed = queue_of(s, st->job)->policy.needed;
	const struct team_state *t = team_state_of(s, st->job->def->team);
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

bool
cell_sched_due(const struct cell_sched *s, ogl_time now)
{
	return now >= s->next_pass_at;
}
