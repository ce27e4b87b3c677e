/*
 * Preemption: stops runs of lower ranks for stages of rank 0 that found no room
 * and would be late if they waited for the expected end of what runs.
 *
 * The decision is policy/preempt.c; here its inputs are collected, and runs are
 * stopped.  A stopped task waits again like one that was moved (straggler.c)
 * and continues from the checkpoint that is kept with it.
 *
 * The state is in the owner's memory.  A new owner does not know which tasks
 * were stopped, so all tasks of earlier owners' jobs count as stopped when it
 * took over.
 */

#include <math.h>

#include "ablate.h"
#include "preempt.h"
#include "room.h"
#include "sched_impl.h"

/* A decision for one stage takes about 0.4 ms of a whole processor, and nodes
 * have a tenth to a half of one.  40 stages a second are as many as can be
 * helped when 2 in 100 of 20,000 cores may be stopped, for 10 cores each. */
#define YIELD_INTERVAL (100 * OGL_MS)
#define STAGES_MAX 4
/* Workers looked at for one stage; enough for a gang that can be helped. */
#define PLACES_MAX 64
/* A ticket has to be valid for this time, within which a run is stopped and its
 * end is known: a stop takes 200 ms (docs/DECISIONS.md). */
#define STOP_TIME (250 * OGL_MS)
/* Upper bound for the restore of a checkpoint, as RESTORE_COST_MS of
 * straggler.c. */
#define RESTORE_MS 600.0
/* Workers that a question for the stopped task names; see objective_for in
 * sched_order.c. */
#define QUESTION_WORKERS 30

struct cell_yield {
	struct ogl_preempt *preempt;
	GPtrArray *stages; /* struct cell_stage without room in this pass */
	ogl_time next_at;  /* earliest time of the next decision */
	ogl_time opened_at;
	/* Of the current round of ogl_preempt: */
	GHashTable *worker_numbers; /* struct cell_worker -> its number + 1 */
	GPtrArray *worker_runs; /* by worker number: GPtrArray of cell_run */
	GArray *places;         /* struct ogl_preempt_place */
};

struct cell_yield *
cell_yield_init(void)
{
	struct cell_yield *y = g_new0(struct cell_yield, 1);

	y->preempt = ogl_preempt_init();
	y->stages = g_ptr_array_new();
	y->worker_numbers = g_hash_table_new(NULL, NULL);
	y->worker_runs =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_ptr_array_unref);
	y->places = g_array_new(FALSE, FALSE, sizeof(struct ogl_preempt_place));
	return y;
}

void
cell_yield_end(struct cell_yield *y)
{
	ogl_preempt_end(y->preempt);
	g_ptr_array_unref(y->stages);
	g_hash_table_unref(y->worker_numbers);
	g_ptr_array_unref(y->worker_runs);
	g_array_unref(y->places);
	g_free(y);
}

void
cell_yield_open(struct cell_yield *y, ogl_time now)
{
	y->opened_at = now;
}

void
cell_sched_count_without_room(struct cell_sched *s, struct cell_stage *st,
    uint32_t rank, unsigned precedence)
{
	/* Room freed for a stage beyond its team's rate would go to others. */
	if (rank == 0 && precedence == 0 && !st->def->lasting &&
	    s->yield->stages->len < STAGES_MAX &&
	    cell_stage_waiting(st) <= OGL_PREEMPT_TASKS_MAX)
		g_ptr_array_add(s->yield->stages, st);
}

/* ---- what runs -------------------------------------------------------- */

/* The progress is that of the last answer to a hold. */
static double
left_ms(const struct cell_sched *s, const struct cell_run *r, ogl_time now)
{
	double rest_ms;

	if (r->state == CELL_RUN_STOPPING)
		return 0;
	if (r->stage == NULL || r->stage->def->lasting)
		return INFINITY;
	rest_ms = cell_learned_run_ms(r->stage->job, r->stage->step) *
		  cell_fleet_pace(s->parts.fleet, r->worker) *
		  (100 - MIN(r->percent, 100)) / 100;
	if (r->running_since != 0)
		rest_ms -= (double)(now - MAX(r->running_since,
					      r->worker->last_answer_at)) /
			   OGL_MS;
	return MAX(rest_ms, 0);
}

static bool
may_yield(const struct cell_run *r)
{
	const struct cell_stage *st = r->stage;

	return st != NULL && r->state == CELL_RUN_RUNNING &&
	       !r->order_pending && st->def->checkpoints && !st->def->lasting &&
	       !st->def->fills && st->tasks[r->name.index].active == r &&
	       st->tasks[r->name.index].copy == NULL;
}

static double
since_stopped_ms(
    const struct cell_yield *y, const struct cell_run *r, ogl_time now)
{
	ogl_time at = r->stage->tasks[r->name.index].preempted_at;

	if (r->stage->job->accepted < y->opened_at)
		at = MAX(at, y->opened_at);
	return at == 0 ? INFINITY : (double)(now - at) / OGL_MS;
}

static struct ogl_preempt_run
describe_run(struct cell_sched *s, const struct cell_run *r, ogl_time now)
{
	struct ogl_preempt_run x = {
	    .res = r->res, .rank = r->rank, .left_ms = left_ms(s, r, now)};
	const struct cell_policy *p;

	if (!may_yield(r))
		return x;
	p = &cell_sched_queue_of(s, r->stage->job)->policy;
	x.saves_checkpoints = true;
	x.gang = r->stage->def->gang;
	x.since_checkpoint_ms =
	    (double)(now - MAX(r->running_since, r->checkpoint_at)) / OGL_MS;
	x.restart_ms = RESTORE_MS;
	if (p->needed)
		x.restart_ms += cell_advice_question_ms(p, QUESTION_WORKERS);
	x.run_ms = cell_learned_run_ms(r->stage->job, r->stage->step);
	x.since_stopped_ms = since_stopped_ms(s->yield, r, now);
	return x;
}

/* Returns the number of the worker in this round; adds it with its runs if it
 * has none yet. */
static size_t
worker_number(struct cell_sched *s, struct cell_worker *w, ogl_time now)
{
	struct cell_yield *y = s->yield;
	size_t n = GPOINTER_TO_SIZE(g_hash_table_lookup(y->worker_numbers, w));
	struct ogl_res room = cell_worker_room(w);
	GPtrArray *runs;
	guint i;

	if (n > 0)
		return n - 1;
	runs = cell_worker_runs(w);
	n = ogl_preempt_add_worker(y->preempt, &room);
	for (i = 0; i < runs->len; i++) {
		struct ogl_preempt_run x = describe_run(s, runs->pdata[i], now);

		ogl_preempt_add_run(y->preempt, n, &x);
	}
	g_ptr_array_add(y->worker_runs, runs);
	g_hash_table_insert(y->worker_numbers, w, GSIZE_TO_POINTER(n + 1));
	return n;
}

/* ---- what waits ------------------------------------------------------- */

/* Tasks of the stage that may still be placed on the worker, as far as the step
 * bounds them. */
static uint32_t
tasks_allowed(const struct cell_stage *st, const struct cell_worker *w)
{
	uint32_t n = 0, i;

	if (st->def->worker_max == 0)
		return OGL_PREEMPT_TASKS_MAX;
	for (i = 0; i < st->ntasks; i++) {
		const struct cell_run *r = st->tasks[i].active;

		n += r != NULL && r->worker == w;
	}
	return st->def->worker_max > n ? st->def->worker_max - n : 0;
}

static bool
has_ticket(
    const struct cell_stage *st, const struct cell_worker *w, ogl_time now)
{
	const struct cell_approval *a = cell_stage_approval(st, w->serial);

	return a != NULL && a->incarnation == w->incarnation &&
	       a->expires > now + STOP_TIME;
}

/* Lists the workers that the stage may use.  Returns false if workers that the
 * advice service was not asked about have room: to ask costs less than a stop.
 */
static bool
list_places(struct cell_sched *s, const struct cell_stage *st,
    bool policy_needed, ogl_time now)
{
	uint32_t free_slots = 0;
	guint i;

	g_array_set_size(s->yield->places, 0);
	for (i = 0; i < s->schedulable->len; i++) {
		struct cell_worker *w = s->schedulable->pdata[i];
		struct ogl_preempt_place place;

		/* A gang of rank 0 may have reserved it itself. */
		if ((w->reserved_rank_plus_1 == 1 && !st->def->gang) ||
		    !cell_worker_could_run(w, st))
			continue;
		if (policy_needed && !cell_advice_knows(st, w))
			free_slots += cell_worker_free_slots(w, st);
		if (free_slots >= cell_stage_waiting(st))
			return false;
		if ((policy_needed && !has_ticket(st, w, now)) ||
		    s->yield->places->len >= PLACES_MAX)
			continue;
		place.worker = worker_number(s, w, now);
		place.tasks_max = tasks_allowed(st, w);
		g_array_append_val(s->yield->places, place);
	}
	return s->yield->places->len > 0;
}

/* A job is late as a whole if one of its tasks is. */
static double
job_core_ms(const struct cell_job *j)
{
	double core_ms = 0;
	size_t i;

	for (i = 0; i < j->def->n_steps; i++)
		core_ms += j->def->steps[i]->cpu_milli / 1000.0 *
			   j->def->steps[i]->count *
			   cell_learned_run_ms(j, (uint32_t)i);
	return core_ms;
}

static void
stop_run(struct cell_sched *s, struct cell_run *r, const struct cell_stage *st,
    double cost_ms, double gain_ms, ogl_time now)
{
	const struct cell_ops *ops = s->parts.ops;
	char text[320];

	g_snprintf(text, sizeof text,
	    "job=%s task=%u.%u.%u run=%" G_GUINT64_FORMAT
	    " worker=%s for=%s percent=%u cost_ms=%.0f gain=%.0f",
	    r->name.id, r->name.occurrence, r->name.step, r->name.index,
	    r->number, r->worker->id, st->job->id, r->percent, cost_ms,
	    gain_ms);
	ops->log(ops->ctx, "fleet", "run_preempted", text);
	ops->count(ops->ctx, "runs_preempted", 1);
	r->stage->tasks[r->name.index].preempted_at = now;
	cell_fleet_stop(s->parts.fleet, r, now);
}

static void
make_room_for(struct cell_sched *s, struct cell_stage *st, ogl_time now)
{
	const struct cell_queue *q = cell_sched_queue_of(s, st->job);
	struct cell_yield *y = s->yield;
	struct ogl_preempt_need need = {.res = cell_stage_need(st),
	    .tasks = cell_stage_waiting(st),
	    .core_ms = job_core_ms(st->job)};
	const struct ogl_preempt_stop *stops;
	double gain_ms;
	size_t n, i;

	if (!cell_sched_team_limit_allows(s, st, need.tasks, 0, now) ||
	    !list_places(s, st, q->policy.needed, now))
		return;
	/* Its precedence allows for errors of the estimate, so there may be
	 * less than no time left. */
	need.slack_ms =
	    MAX(0, cell_sched_queue_objective_ms(q, st->job) -
		       (double)(now - st->job->accepted) / OGL_MS -
		       cell_learned_chain_from_ms(st->job, st->step));
	need.places = (const struct ogl_preempt_place *)(void *)y->places->data;
	need.nplaces = y->places->len;
	n = ogl_preempt_choose(y->preempt, &need, &stops, &gain_ms);
	for (i = 0; i < n; i++) {
		GPtrArray *runs = y->worker_runs->pdata[stops[i].worker];

		stop_run(s, runs->pdata[stops[i].run], st, stops[i].cost_ms,
		    gain_ms, now);
	}
}

void
cell_sched_yield(struct cell_sched *s, ogl_time now)
{
	struct cell_yield *y = s->yield;
	uint64_t running_cpu_milli = 0;
	guint i;

	if (!CELL_USES_PREEMPT || y->stages->len == 0 || now < y->next_at)
		goto out;
	y->next_at = now + YIELD_INTERVAL;
	for (i = 0; i < s->schedulable->len; i++)
		running_cpu_milli +=
		    ((struct cell_worker *)s->schedulable->pdata[i])
			->used.cpu_milli;
	ogl_preempt_begin(y->preempt, running_cpu_milli, now);
	g_hash_table_remove_all(y->worker_numbers);
	g_ptr_array_set_size(y->worker_runs, 0);
	for (i = 0; i < y->stages->len; i++)
		make_room_for(s, y->stages->pdata[i], now);
out:
	g_ptr_array_set_size(y->stages, 0);
}
