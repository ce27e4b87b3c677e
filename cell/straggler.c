/*
 * Stops runs on workers that have become slow or make no progress, if their
 * tasks would complete sooner on another worker.
 *
 * Such a worker still answers holds, the calls that renew its lease, so its
 * runs do not count as lost.  But a step is complete only when its slowest task
 * is.  The remaining time of each run is therefore compared with the time of a
 * restart on another worker:
 *
 *	remaining  (1 - done) x expected time x pace; infinite when the run is
 *		   stalled
 *	restart    expected time, or the rest of it when there is a checkpoint,
 *		   plus the time for a stop and a start
 *
 * The expected time is the learned or else the declared one (see learned.h).
 * The pace of a run is the time taken divided by the time expected, so a slow
 * run has a high pace; that of a worker is relative to other workers (pace.h).
 *
 * A run is stopped only while another allowed worker has room for it.  Gangs
 * are not moved, as moving one member restarts all of them, nor are lasting
 * tasks, as they never complete.  Tasks that use only spare capacity (`fills`)
 * or have no declared time are not moved either.
 */

#include "ablate.h"
#include "straggler.h"

/* Time to stop a run, ask the advice service and start the task again. */
#define MOVE_COST_MS 450.0
/* Additional time of a restart that restores a checkpoint. */
#define RESTORE_COST_MS 600.0
/* The remaining time must be more than this many times the restart time, plus
 * MOVE_COST_MS. */
#define GAIN_FACTOR_MIN 1.3
/* A task that is still slow after this many moves is not moved again, because
 * the workers are not the cause. */
#define MOVES_PER_TASK_MAX 3

bool
cell_straggler_worth_moving(double remaining_ms, double restart_ms)
{
	return remaining_ms > GAIN_FACTOR_MIN * restart_ms + MOVE_COST_MS;
}

static bool
may_move(const struct cell_run *r)
{
	const struct cell_stage *st = r->stage;

	return st != NULL && r->state == CELL_RUN_RUNNING &&
	       !r->order_pending && !st->def->gang && !st->def->lasting &&
	       !st->def->fills && st->def->estimate_ms > 0 &&
	       st->tasks[r->name.index].move_count < MOVES_PER_TASK_MAX;
}

static bool
worth_restarting(const struct cell_run *r, double pace, bool stalled)
{
	double expected_ms = cell_learned_run_ms(r->stage->job, r->stage->step);
	double rest_ms = expected_ms * (100 - MIN(r->percent, 100)) / 100;
	bool has_checkpoint = r->checkpoint != NULL && *r->checkpoint != '\0';

	if (stalled)
		return true;
	return cell_straggler_worth_moving(rest_ms * pace,
	    has_checkpoint ? rest_ms + RESTORE_COST_MS : expected_ms);
}

bool
cell_straggler_is_slow(const struct cell_run *r, double worker_pace,
    double pace_min, bool *stalled)
{
	uint32_t expected_ms = (uint32_t)CLAMP(
	    cell_learned_run_ms(r->stage->job, r->stage->step), 1, UINT32_MAX);
	uint64_t clock_ms = r->worker->lease.clock_ms;
	double pace;

	/* Both paces have to be high.  If only the worker's is, it may have
	 * recovered; if only the run's is, too little time may be expected for
	 * it. */
	pace = cell_pace_of_run(&r->progress, clock_ms, expected_ms);
	pace = MIN(worker_pace, pace);
	*stalled = cell_pace_is_stalled(&r->progress, clock_ms, expected_ms);
	return (*stalled || pace >= pace_min) &&
	       worth_restarting(r, pace, *stalled);
}

static void
move_if_straggler(struct cell_fleet *f, struct cell_sched *s,
    struct cell_run *r, ogl_time now)
{
	struct cell_worker *w = r->worker;
	bool slow, stalled;

	if (!may_move(r))
		return;
	slow = cell_straggler_is_slow(r, cell_fleet_pace(f, w),
	    cell_fleet_straggler_pace_min(f, w), &stalled);
	if (stalled)
		cell_fleet_count_stall(f, r, now);
	if (!slow || !cell_sched_has_room(s, r->stage, w, now))
		return;
	r->stage->tasks[r->name.index].move_count++;
	cell_fleet_move(f, r, stalled ? "still" : "slow", now);
}

static void
move_stragglers_of(struct cell_fleet *f, struct cell_sched *s,
    struct cell_worker *w, ogl_time now)
{
	GPtrArray *runs = cell_worker_runs(w);
	guint i;

	for (i = 0; i < runs->len; i++)
		move_if_straggler(f, s, runs->pdata[i], now);
	g_ptr_array_unref(runs);
}

void
cell_straggler_step(struct cell_fleet *f, struct cell_sched *s, ogl_time now)
{
	GHashTableIter it;
	gpointer p;

	cell_fleet_update_baseline(f);
	if (!CELL_USES_MOVES)
		return;
	g_hash_table_iter_init(&it, cell_fleet_workers(f));
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct cell_worker *w = p;

		if (g_hash_table_size(w->runs) == 0)
			cell_fleet_decay_pace(f, w);
		/* Progress is reported in the answers to holds, so only workers
		 * that answered the last hold of this owner are checked. */
		else if (w->fenced && w->failures == 0)
			move_stragglers_of(f, s, w, now);
	}
}
