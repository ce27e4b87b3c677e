/*
 * The advice service answers one question at a time for each node, and takes
 * longer the more workers a question names.  A question therefore names as many
 * workers as the waiting tasks are expected to need, given how many tasks fit
 * into the free capacity of each and which fraction of workers the queue's
 * policy approves.  A stage that could not start even with a favourable answer
 * does not ask: its question would delay those of others, and its tickets would
 * expire unused.  A gang needs room for all its tasks at once.
 */

#include "question.h"
#include "advice.h"
#include "room.h"

/* Free capacity is taken by others while a question is under way, and fewer
 * workers than expected may be approved. */
#define SLOTS_MARGIN 2.0
/* Margin for tickets that are renewed, whose workers are known to be allowed.
 */
#define RENEW_SLOTS_MARGIN 1.5
/* The fraction of approved workers is an average; few workers may deviate from
 * it a lot. */
#define WORKERS_MIN 16
/* A first question names at most as many workers as the service can judge in
 * this time, because a longer one would delay the start.  Gangs are exempt, as
 * one that asks for too few workers has to ask again. */
#define FIRST_BUDGET_MS 650.0
/* Workers named per waiting task on a slow link, as the answer carries a ticket
 * for each worker that is allowed. */
#define SLOW_LINK_WORKERS_PER_TASK 6
/* Tickets of stages that are not gangs are renewed for at most this many
 * workers at a time. */
#define RENEW_WORKERS_MAX 16
#define ANSWER_MARGIN (100 * OGL_MS)

static guint
first_max(const struct cell_question_scope *q, const struct cell_stage *st)
{
	const struct cell_policy *p = q->policy;
	double n = CELL_ADVICE_WORKERS_MAX;

	if (!st->def->gang && p->worker_ms > 0)
		n = MIN(n, (FIRST_BUDGET_MS - p->decide_ms) / p->worker_ms);
	if (q->slow_link)
		n = MIN(n, SLOW_LINK_WORKERS_PER_TASK * cell_stage_waiting(st));
	return (guint)CLAMP(n, WORKERS_MIN, CELL_ADVICE_WORKERS_MAX);
}

static bool
not_asked_about(const struct cell_stage *st, const struct cell_worker *w)
{
	return !cell_advice_knows(st, w) && cell_worker_could_run(w, st);
}

/* Adds the worker unless it is listed already.  Returns the number of tasks
 * that it is expected to take. */
static double
add_new(const struct cell_question_scope *q, const struct cell_stage *st,
    struct cell_worker *w, GPtrArray *workers)
{
	if (!not_asked_about(st, w) || g_ptr_array_find(workers, w, NULL))
		return 0;
	g_ptr_array_add(workers, w);
	return q->approved_share * cell_worker_free_slots(w, st);
}

/*
 * Lists workers until `wanted` tasks are expected to fit, or max workers are
 * listed.  Returns the number of tasks that are expected to fit.
 */
static double
list_new(const struct cell_question_scope *q, const struct cell_stage *st,
    double wanted, guint max, GPtrArray *workers)
{
	const GPtrArray *all = q->schedulable;
	double expected = 0;
	guint i;

	for (i = q->fullest_first ? all->len : 0;
	     i-- > 0 && workers->len < max &&
	     (expected < wanted || workers->len < WORKERS_MIN);) {
		struct cell_worker *w = all->pdata[i];

		if (cell_worker_free_slots(w, st) > 0)
			expected += add_new(q, st, w, workers);
	}
	for (i = 0; i < all->len && workers->len < max &&
		    (expected < wanted || workers->len < WORKERS_MIN);
	     i++)
		expected += add_new(q, st, all->pdata[i], workers);
	return expected;
}

/* Shortens the list to as many workers as could run all tasks if they ran
 * nothing else. */
static void
limit_to_capacity(const struct cell_question_scope *q,
    const struct cell_stage *st, GPtrArray *workers)
{
	double wanted = SLOTS_MARGIN * st->ntasks;
	double expected = 0;
	guint i;

	for (i = 0; i < workers->len && (expected < wanted || i < WORKERS_MIN);
	     i++)
		expected += q->approved_share *
			    cell_worker_slots(workers->pdata[i], st);
	g_ptr_array_set_size(workers, (gint)i);
}

/* Whether the workers that are approved already could run the whole gang if
 * they ran nothing else. */
static bool
approved_suffice(
    const struct cell_question_scope *q, const struct cell_stage *st)
{
	double slots = 0;
	guint i;

	for (i = 0; i < q->schedulable->len; i++) {
		const struct cell_worker *w = q->schedulable->pdata[i];

		if (cell_stage_approval(st, w->serial) != NULL)
			slots += cell_worker_slots(w, st);
	}
	return slots >= SLOTS_MARGIN * st->ntasks;
}

/* A gang for which there is no room asks about as many workers as could run it,
 * which are then kept free for it. */
void
cell_question_first(const struct cell_question_scope *q,
    const struct cell_stage *st, GPtrArray *workers)
{
	uint32_t waiting = cell_stage_waiting(st);
	double expected =
	    list_new(q, st, SLOTS_MARGIN * waiting, first_max(q, st), workers);

	if (st->def->gang && expected < waiting)
		limit_to_capacity(q, st, workers);
}

void
cell_question_more(const struct cell_question_scope *q,
    const struct cell_stage *st, GPtrArray *workers)
{
	uint32_t waiting = cell_stage_waiting(st);
	double known = (double)(cell_workers_free_slots(q->valid, st) +
				cell_workers_free_slots(q->expired, st));
	double wanted =
	    q->overdue ? G_MAXDOUBLE : SLOTS_MARGIN * waiting - known;
	double expected =
	    list_new(q, st, wanted, CELL_ADVICE_WORKERS_MAX, workers);

	if (!st->def->gang) {
		if (expected <= 0)
			g_ptr_array_set_size(workers, 0);
		return;
	}
	if (known + expected >= waiting)
		return;
	if (approved_suffice(q, st))
		g_ptr_array_set_size(workers, 0);
	else
		limit_to_capacity(q, st, workers);
}

/* Time until the answer to a question that names so many workers, with a margin
 * for the network. */
static ogl_time
answer_time(const struct cell_policy *p, guint workers)
{
	return (ogl_time)cell_advice_question_ms(p, workers) * OGL_MS +
	       ANSWER_MARGIN;
}

/*
 * Tickets that expire before the answer arrives are renewed as well.  Otherwise
 * a gang that needs many tickets never holds all of them at the same time.
 */
void
cell_question_renew(const struct cell_question_scope *q,
    const struct cell_stage *st, GPtrArray *workers)
{
	uint32_t waiting = cell_stage_waiting(st);
	guint max = st->def->gang ? CELL_ADVICE_WORKERS_MAX : RENEW_WORKERS_MAX;
	ogl_time answered =
	    q->now +
	    answer_time(q->policy, MIN(max, q->valid->len + q->expired->len));
	double slots = 0;
	guint i;

	if (q->expired->len == 0)
		return;
	for (i = 0; i < q->expired->len; i++)
		g_ptr_array_add(workers, q->expired->pdata[i]);
	for (i = 0; i < q->valid->len; i++) {
		struct cell_worker *w = q->valid->pdata[i];

		if (cell_stage_approval(st, w->serial)->expires > answered)
			slots += cell_worker_free_slots(w, st);
		else
			g_ptr_array_add(workers, w);
	}
	if (st->def->gang &&
	    slots + (double)cell_workers_free_slots(workers, st) < waiting) {
		g_ptr_array_set_size(workers, 0);
		return;
	}
	g_ptr_array_sort(workers, cell_worker_compare_room);
	for (i = 0; i < workers->len && i < max &&
		    slots < RENEW_SLOTS_MARGIN * waiting;
	     i++)
		slots += cell_worker_free_slots(workers->pdata[i], st);
	g_ptr_array_set_size(workers, (gint)i);
}

double
cell_question_first_ms(const struct cell_policy *p, const Ogl__CellStep *step,
    uint32_t tasks, double approved_share)
{
	double n = SLOTS_MARGIN * tasks / MAX(approved_share, 0.01);

	if (!step->gang && p->worker_ms > 0)
		n = MIN(n, (FIRST_BUDGET_MS - p->decide_ms) / p->worker_ms);
	n = CLAMP(n, WORKERS_MIN, CELL_ADVICE_WORKERS_MAX);
	return p->decide_ms + p->worker_ms * n;
}
