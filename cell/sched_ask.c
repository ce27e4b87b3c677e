/*
 * Asks the advice service which workers may run a stage.
 *
 * All stages but large gangs ask about the fullest workers that have room.
 * Otherwise the tasks of short urgent jobs would spread over the roomiest
 * workers, and no room would be left that the large tasks of a gang fit into.
 *
 * Rank 0 asks at once.  Stages of other ranks ask at the end of the pass, when
 * the questions of all are known, and their queues share the service by its
 * time (lanes.h).
 */

#include "question.h"
#include "sched_impl.h"

/* A stage that finds no room for this long asks about further workers. */
#define ASK_MORE_DELAY (300 * OGL_MS)
/* The tasks of a gang up to this size find room on nearly full workers as well
 * as tasks that start one by one. */
#define SMALL_GANG_TASKS_MAX 6

/* Whether the stage can use the small free capacity of nearly full workers.
 * Otherwise it needs the roomiest ones. */
static bool
may_use_fullest(const struct cell_stage *st)
{
	return !st->def->gang || st->ntasks <= SMALL_GANG_TASKS_MAX;
}

typedef void choose_fn(const struct cell_question_scope *q,
    const struct cell_stage *st, GPtrArray *workers);

/* Asks about the workers that `choose` lists; returns the time that the service
 * takes, 0 if nothing was asked. */
static double
ask(struct cell_sched *s, struct cell_stage *st, const struct cell_queue *q,
    choose_fn *choose, ogl_time now)
{
	GPtrArray *workers = g_ptr_array_new();
	struct cell_question_scope scope = {&q->policy,
	    s->any_worker ? s->usable : s->schedulable, s->candidates,
	    s->expired,
	    cell_advice_approved_share(s->parts.advice, st->job->def->queue),
	    s->slow_link, may_use_fullest(st), s->any_worker, now};
	double ms = 0;

	choose(&scope, st, workers);
	if (cell_advice_ask(s->parts.advice, st, &q->policy, workers,
		cell_sched_rank_of(s, st), now)) {
		ms = cell_advice_question_ms(&q->policy, workers->len);
		ogl_lanes_charge(s->lanes,
		    ogl_lanes_queue(s->lanes, st->job->def->queue), ms);
		cell_sched_charge_lane(s, ms);
	}
	g_ptr_array_unref(workers);
	return ms;
}

double
cell_sched_ask_for_stage(
    struct cell_sched *s, struct cell_stage *st, ogl_time now)
{
	const struct cell_queue *q = cell_sched_queue_of(s, st->job);
	double ms;

	s->any_worker = cell_sched_overdue(st, now);
	cell_sched_list_candidates(s, st, true, cell_sched_rank_of(s, st), now);
	if (g_hash_table_size(st->asked) == 0) {
		ms = ask(s, st, q, cell_question_first, now);
		goto out;
	}
	ms = ask(s, st, q, cell_question_renew, now);
	if (ms == 0 && st->blocked_since != 0 &&
	    now - st->blocked_since > ASK_MORE_DELAY)
		ms = ask(s, st, q, cell_question_more, now);
out:
	s->any_worker = false;
	return ms;
}

void
cell_sched_request_advice(struct cell_sched *s, struct cell_stage *st,
    GPtrArray *asking, ogl_time now)
{
	uint32_t rank = cell_sched_rank_of(s, st);

	if (!cell_sched_queue_of(s, st->job)->policy.needed || st->asking)
		return;
	if (rank > 0)
		g_ptr_array_add(asking, st);
	else if (cell_advice_has_free_lane(s->parts.advice, rank, now))
		cell_sched_ask_for_stage(s, st, now);
	else
		s->no_lane_at = now;
}

/* The first stage of the queue from *at on, which is set behind it; NULL if
 * there is none. */
static struct cell_stage *
next_of_queue(const struct cell_sched *s, const GPtrArray *stages,
    const struct ogl_lanes_queue *q, guint *at)
{
	while (*at < stages->len) {
		struct cell_stage *st = stages->pdata[(*at)++];

		if (ogl_lanes_queue(s->lanes, st->job->def->queue) == q)
			return st;
	}
	return NULL;
}

/* Asks for stages of one precedence until no lane is free. */
static void
ask_for_stages(struct cell_sched *s, GPtrArray *stages, ogl_time now)
{
	GHashTable *at = g_hash_table_new(NULL, NULL); /* queue -> position */
	struct ogl_lanes_queue *lq;
	guint i;

	ogl_lanes_begin(s->lanes);
	for (i = 0; i < stages->len; i++) {
		const struct cell_stage *st = stages->pdata[i];

		ogl_lanes_add(
		    s->lanes, ogl_lanes_queue(s->lanes, st->job->def->queue));
	}
	while ((lq = ogl_lanes_next(s->lanes)) != NULL) {
		guint pos = GPOINTER_TO_UINT(g_hash_table_lookup(at, lq));
		struct cell_stage *st = next_of_queue(s, stages, lq, &pos);

		if (!cell_advice_has_free_lane(s->parts.advice, 1, now)) {
			s->no_lane_at = now;
			break;
		}
		g_hash_table_insert(at, lq, GUINT_TO_POINTER(pos));
		if (st == NULL) {
			ogl_lanes_remove(s->lanes, lq);
			continue;
		}
		cell_sched_ask_for_stage(s, st, now);
	}
	g_hash_table_unref(at);
}

void
cell_sched_ask_waiting(struct cell_sched *s, ogl_time now)
{
	unsigned precedence;

	cell_sched_ask_overdue(s, now);
	for (precedence = 0; precedence < PRECEDENCES; precedence++) {
		ask_for_stages(s, s->asking[precedence], now);
		g_ptr_array_set_size(s->asking[precedence], 0);
	}
	/* Their tickets may expire unused, so they get what others leave. */
	ask_for_stages(s, s->asking_limited, now);
	g_ptr_array_set_size(s->asking_limited, 0);
}
