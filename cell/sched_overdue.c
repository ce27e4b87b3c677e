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
 *	lanes	it gets a fraction of the advice service's time
 *	limit	its team's ranks are equal while the team uses less than half
 *		of its limit
 *	workers	it is started on whatever workers it may run on, if these have
 *		room for it twice over; one task, of a gang all
 *
 * Capacity, limits, tickets and leases are kept all the same.
 */

#include "room.h"
#include "sched_impl.h"

/* Callers may expect a job for which there is room to run within 3 s.  A
 * question to the advice service takes up to 1.1 s of that. */
#define OVERDUE_AFTER (1500 * OGL_MS)
/* Room for so many times the work shows that it is avoided; with less room, its
 * turn may just not have come. */
#define ROOM_FACTOR 2
/* Overdue stages that a pass tries of those that it skipped otherwise. */
#define SKIPPED_TRIES 16
/* Overdue stages may use one part in so many of the advice service's time while
 * others have questions. */
#define LANE_PARTS 4
#define LANE_CREDIT_MAX_MS 1000.0

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

static bool
tried_before(const struct cell_stage *a, const struct cell_stage *b)
{
	return a->tried_at < b->tried_at;
}

/* Keeps the SKIPPED_TRIES stages whose last try is the oldest, in this order. */
void
cell_sched_note_skipped(
    struct cell_sched *s, struct cell_stage *st, ogl_time now)
{
	GPtrArray *a = s->skipped;
	guint i;

	if (st->queue == NULL || !cell_sched_overdue(st, now))
		return;
	if (a->len < SKIPPED_TRIES)
		g_ptr_array_add(a, st);
	else if (!tried_before(st, a->pdata[a->len - 1]))
		return;
	for (i = a->len - 1; i > 0 && tried_before(st, a->pdata[i - 1]); i--)
		a->pdata[i] = a->pdata[i - 1];
	a->pdata[i] = st;
}

void
cell_sched_try_skipped(struct cell_sched *s, ogl_time now)
{
	guint i;

	for (i = 0; i < s->skipped->len; i++) {
		struct cell_stage *st = s->skipped->pdata[i];
		const struct cell_queue *q = cell_sched_queue_of(s, st->job);

		cell_sched_place_stage(s, st, cell_sched_rank_of(s, st),
		    cell_sched_precedence_of(q, st, now), now);
	}
	g_ptr_array_set_size(s->skipped, 0);
}

/* ---- lanes -------------------------------------------------------------- */

/* Stages that find no room for long would otherwise use all the time with new
 * questions. */
static gint
by_last_question(gconstpointer a, gconstpointer b)
{
	const struct cell_stage *x = *(struct cell_stage *const *)a;
	const struct cell_stage *y = *(struct cell_stage *const *)b;

	if (x->asked_at != y->asked_at)
		return x->asked_at > y->asked_at ? 1 : -1;
	return (x->idle_since > y->idle_since) -
	       (x->idle_since < y->idle_since);
}

/* Lists the stages with questions that are overdue, first those whose last
 * question is the oldest. */
static GPtrArray *
list_overdue(const struct cell_sched *s, ogl_time now)
{
	GPtrArray *stages = g_ptr_array_new();
	unsigned precedence;
	guint i;

	for (precedence = 0; precedence < PRECEDENCES; precedence++) {
		const GPtrArray *a = s->asking[precedence];

		for (i = 0; i < a->len; i++) {
			if (cell_sched_overdue(a->pdata[i], now))
				g_ptr_array_add(stages, a->pdata[i]);
		}
	}
	g_ptr_array_sort(stages, by_last_question);
	return stages;
}

void
cell_sched_charge_lane(struct cell_sched *s, double ms)
{
	s->overdue_credit_ms =
	    MIN(s->overdue_credit_ms + ms / LANE_PARTS, LANE_CREDIT_MAX_MS);
}

void
cell_sched_ask_overdue(struct cell_sched *s, ogl_time now)
{
	GPtrArray *stages;
	guint i;

	if (s->overdue_credit_ms <= 0)
		return;
	stages = list_overdue(s, now);
	for (i = 0; i < stages->len && s->overdue_credit_ms > 0 &&
		    cell_advice_has_free_lane(s->parts.advice, 1, now);
	     i++)
		s->overdue_credit_ms -=
		    cell_sched_ask_for_stage(s, stages->pdata[i], now);
	g_ptr_array_unref(stages);
}

/* ---- workers ------------------------------------------------------------ */

/* Whether the workers in scratch have room for the work twice over, by tickets
 * that are valid or were. */
static bool
has_ample_room(const struct cell_sched *s, const struct cell_stage *st)
{
	uint32_t tasks = st->def->gang ? st->ntasks : 1;

	return cell_workers_free_slots(s->candidates, st) +
		   cell_workers_free_slots(s->expired, st) >=
	       (uint64_t)ROOM_FACTOR * tasks;
}

bool
cell_sched_place_overdue(struct cell_sched *s, struct cell_stage *st,
    bool policy_needed, uint32_t rank, ogl_time now)
{
	bool placed = false;

	s->any_worker = true;
	cell_sched_list_candidates(s, st, policy_needed, rank, now);
	if (has_ample_room(s, st))
		placed = st->def->gang
			     ? cell_sched_place_gang(s, st, rank, now)
			     : cell_sched_place_tasks(s, st, rank, now);
	s->any_worker = false;
	return placed;
}
