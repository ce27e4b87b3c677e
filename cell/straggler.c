/*
 * A worker may become slow, or make no more progress, while it still answers
 * the calls that renew its lease (holds), so its runs are not lost.  As a step
 * is done only when its slowest task is, the time that each run still takes at
 * the worker's pace is compared with the time of a restart on another worker:
 *
 *	remaining  (1 - done) x declared time x pace; infinite when the run is
 *		   stalled
 *	restart    declared time, or the rest of it when there is a checkpoint,
 *		   plus the time for a stop and a start
 *
 * A run is stopped only while another allowed worker has room for it.  Gangs
 * are not moved, as moving one member restarts all of them.  Neither are
 * lasting tasks, which never complete.
 */

#include "ablate.h"
#include "straggler.h"

/* A run with a lower pace may just have declared too little time. */
#define STRAGGLER_PACE_MIN 2.5
/* Time for a stop, a question to the advice service and a start. */
#define MOVE_COST_MS 450.0
/* Additional time to restore a checkpoint. */
#define RESTORE_COST_MS 600.0
/* The remaining time must exceed the restart time by this factor. */
#define GAIN_FACTOR_MIN 1.3
/* A task that was moved this often stays where it is: the workers are not the
 * cause. */
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
	double declared_ms = r->stage->def->estimate_ms;
	double rest_ms = declared_ms * (100 - MIN(r->percent, 100)) / 100;
	bool has_checkpoint = r->checkpoint != NULL && *r->checkpoint != '\0';

	if (stalled)
		return true;
	return cell_straggler_worth_moving(rest_ms * pace,
	    has_checkpoint ? rest_ms + RESTORE_COST_MS : declared_ms);
}

static void
check_run(struct cell_fleet *f, struct cell_sched *s, struct cell_run *r,
    ogl_time now)
{
	struct cell_worker *w = r->worker;
	double pace, run_pace;
	bool stalled;

	if (!may_move(r))
		return;
	/* Both the worker and the run itself have to be slow: the worker may
	 * have recovered, or the job may have declared too little time. */
	run_pace = cell_pace_of_run(
	    &r->progress, w->clock_ms, r->stage->def->estimate_ms);
	pace = MIN(cell_fleet_pace(f, w), run_pace);
	stalled = cell_pace_is_stalled(
	    &r->progress, w->clock_ms, r->stage->def->estimate_ms);
	if (stalled)
		cell_fleet_count_stall(f, w);
	if (!stalled && pace < STRAGGLER_PACE_MIN)
		return;
	if (!worth_restarting(r, pace, stalled) ||
	    !cell_sched_has_room(s, r->stage, w, now))
		return;
	r->stage->tasks[r->name.index].move_count++;
	cell_fleet_move(f, r, stalled ? "still" : "slow", now);
}

static void
check_worker(struct cell_fleet *f, struct cell_sched *s, struct cell_worker *w,
    ogl_time now)
{
	GPtrArray *runs = cell_worker_runs(w);
	guint i;

	for (i = 0; i < runs->len; i++)
		check_run(f, s, runs->pdata[i], now);
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
		else if (w->fenced && w->failures == 0)
			check_worker(f, s, w, now);
	}
}
