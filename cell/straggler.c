/*
 * A worker that turns slow, or that no longer carries its tasks forward, keeps
 * what it was given: its holds are answered, so nothing else speaks against it,
 * and a step waits for its slowest task.  Each run's remaining time there, by
 * the worker's pace, is held against a new start on a worker with room:
 *
 *	left    (1 - done) x declared time x pace; without end when it stands
 *		still
 *	anew    declared time, or the rest of it where a checkpoint was saved,
 *		and what a stop and a start take
 *
 * A run is stopped only while another allowed worker has room for it.  Gangs are
 * left alone, as one member moved begins all of them anew, and so are lasting
 * tasks, which are never done.
 */

#include "ablate.h"
#include "straggler.h"

/* Below this a task that is merely longer than declared looks the same. */
#define PACE_SUSPECT 2.5
/* A stop, a question for a ticket and a start. */
#define MOVE_MS 450.0
/* What going on from a checkpoint takes beside. */
#define RESTORE_MS 600.0
/* Times the way anew that waiting has to take. */
#define GAIN 1.3
/* Moves of one task: more of them speak against the task. */
#define MOVES_MAX 3

bool
cell_straggler_worth_moving(double left_ms, double anew_ms)
{
	return left_ms > GAIN * anew_ms + MOVE_MS;
}

static bool
may_move(const struct cell_run *r)
{
	const struct cell_stage *st = r->stage;

	return st != NULL && r->state == CELL_RUN_UP && !r->open &&
	       !st->def->gang && !st->def->lasting && !st->def->fills &&
	       st->def->estimate_ms > 0 &&
	       st->tasks[r->name.index].moves < MOVES_MAX;
}

static bool
would_gain(const struct cell_run *r, double pace, bool still)
{
	double declared = r->stage->def->estimate_ms;
	double rest = declared * (100 - MIN(r->percent, 100)) / 100;
	bool saved = r->checkpoint != NULL && *r->checkpoint != '\0';

	if (still)
		return true;
	return cell_straggler_worth_moving(
	    rest * pace, saved ? rest + RESTORE_MS : declared);
}

static void
look_at_run(struct cell_fleet *f, struct cell_sched *s, struct cell_run *r,
    ogl_time now)
{
	struct cell_worker *w = r->worker;
	double pace, own;
	bool still;

	if (!may_move(r))
		return;
	/* Both the worker and the run itself have to be slow: the worker may
	 * be well again, the job may have declared too little. */
	own = cell_pace_of_run(
	    &r->progress, w->clock_ms, r->stage->def->estimate_ms);
	pace = MIN(cell_fleet_pace(f, w), own);
	still = cell_pace_is_stalled(
	    &r->progress, w->clock_ms, r->stage->def->estimate_ms);
	if (still)
		cell_fleet_still(f, w);
	if (!still && pace < PACE_SUSPECT)
		return;
	if (!would_gain(r, pace, still) ||
	    !cell_sched_has_room(s, r->stage, w, now))
		return;
	r->stage->tasks[r->name.index].moves++;
	cell_fleet_move(f, r, still ? "still" : "slow", now);
}

static void
look_at_worker(struct cell_fleet *f, struct cell_sched *s,
    struct cell_worker *w, ogl_time now)
{
	GPtrArray *runs = cell_worker_runs(w);
	guint i;

	for (i = 0; i < runs->len; i++)
		look_at_run(f, s, runs->pdata[i], now);
	g_ptr_array_unref(runs);
}

void
cell_straggler_step(struct cell_fleet *f, struct cell_sched *s, ogl_time now)
{
	GHashTableIter it;
	gpointer p;

	cell_fleet_compare(f);
	if (!CELL_USES_MOVES)
		return;
	g_hash_table_iter_init(&it, cell_fleet_workers(f));
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct cell_worker *w = p;

		if (g_hash_table_size(w->runs) == 0)
			cell_fleet_fade(f, w);
		else if (w->fenced && w->failures == 0)
			look_at_worker(f, s, w, now);
	}
}
