/*
 * Asks the advice service which workers may run a stage.  Stages without a
 * tight deadline ask about the fullest workers first, so that room is left for
 * gangs.
 */

#include "question.h"
#include "sched_impl.h"

/* A stage that finds no room for this long asks about further workers. */
#define ASK_MORE_DELAY (300 * OGL_MS)

/* Whether the stage can use the small free capacity of nearly full workers.  It
 * can if it has no tight deadline and its tasks start one by one. */
static bool
may_use_fullest(
    const struct cell_queue *q, const struct cell_stage *st, ogl_time now)
{
	return !st->def->gang && !cell_sched_deadline_is_tight(q, st, now);
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
	asked = cell_advice_ask(s->parts.advice, st, &q->policy, workers,
	    cell_sched_rank_of(s, st), now);
	g_ptr_array_unref(workers);
	return asked;
}

void
cell_sched_request_advice(struct cell_sched *s, struct cell_stage *st,
    const struct cell_queue *q, ogl_time now)
{
	const struct cell_policy *p = &q->policy;

	if (!p->needed || st->asking)
		return;
	if (!cell_advice_has_free_lane(
		s->parts.advice, cell_sched_rank_of(s, st), now)) {
		s->no_lane_at = now;
		return;
	}
	if (g_hash_table_size(st->asked) == 0) {
		ask(s, st, q, cell_question_first, now);
		return;
	}
	if (ask(s, st, q, cell_question_renew, now))
		return;
	if (st->blocked_since != 0 && now - st->blocked_since > ASK_MORE_DELAY)
		ask(s, st, q, cell_question_more, now);
}
