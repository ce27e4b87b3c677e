/*
 * Bounds the time for which work that could be started is avoided.
 *
 * The scheduler prefers some work and some workers to others.  It keeps workers
 * free for gangs, spares those that failed other jobs, leaves a part of each
 * team's limit to urgent work, and lets work that is late, or behind much that
 * finds no room, wait for the advice service and for its turn.  Each of these
 * reasons may hold for as long as the load lasts.
 *
 * A stage is overdue when nothing of its job has run for OVERDUE_AFTER.
 *
 *	turn	it is tried even where a pass skips the rest of a bucket
 *
 * Capacity, limits, tickets and leases are kept all the same.
 */

#include "sched_impl.h"

/* Callers may expect a job for which there is room to run within 3 s.  A
 * question to the advice service takes up to 1.1 s of that. */
#define OVERDUE_AFTER (1500 * OGL_MS)
/* Overdue stages that a pass tries of those that it skipped otherwise. */
#define SKIPPED_TRIES 16
static bool
job_runs(const struct cell_job *j)
{
	guint i;
	size_t k;

	for (i = 0; i < j->occurrences->len; i++) {
		const struct cell_occurrence *o = j->occurrences->pdata[i];

		for (k = 0; k < j->def->n_steps; k++) {
			if (o->stages[k].nactive > 0)
				return true;
		}
	}
	return false;
}

/* Each task that lasts is to run, whatever else of its job does. */
void
cell_sched_update_idle(struct cell_stage *st, ogl_time now)
{
	if (!st->def->lasting && job_runs(st->job))
		st->idle_since = 0;
	else if (st->idle_since == 0)
		st->idle_since = now;
}

bool
cell_sched_overdue(const struct cell_stage *st, ogl_time now)
{
	return st->idle_since != 0 && now - st->idle_since >= OVERDUE_AFTER;
}

/* ---- turn --------------------------------------------------------------- */

void
cell_sched_note_skipped(
    struct cell_sched *s, struct cell_stage *st, ogl_time now)
{
	if (st->queue != NULL && cell_sched_overdue(st, now))
		g_ptr_array_add(s->skipped, st);
}

static gint
by_last_try(gconstpointer a, gconstpointer b)
{
	const struct cell_stage *x = *(struct cell_stage *const *)a;
	const struct cell_stage *y = *(struct cell_stage *const *)b;

	return (x->tried_at > y->tried_at) - (x->tried_at < y->tried_at);
}

void
cell_sched_try_skipped(struct cell_sched *s, ogl_time now)
{
	guint i;

	g_ptr_array_sort(s->skipped, by_last_try);
	for (i = 0; i < s->skipped->len && i < SKIPPED_TRIES; i++) {
		struct cell_stage *st = s->skipped->pdata[i];
		const struct cell_queue *q = cell_sched_queue_of(s, st->job);

		cell_sched_place_stage(s, st, cell_sched_rank_of(s, st),
		    cell_sched_precedence_of(q, st, now), now);
	}
	g_ptr_array_set_size(s->skipped, 0);
}
