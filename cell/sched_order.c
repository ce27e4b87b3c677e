/*
 * The order in which waiting stages are placed.
 *
 *	precedence  first stages that can still end within their objective,
 *	            then those that cannot, then those so late that their
 *	            result is worthless; all three first for teams within
 *	            their rate, then for teams beyond it
 *	rank        the queue's priority; late stages of rank 0 come before
 *	            stages of other ranks that are in time
 *	age         the longest waiting first; while the cell is full, first
 *	            those of the team that is furthest behind its share
 */

#include "ablate.h"
#include "sched_impl.h"

/* The configuration of the job's queue, looked up once per version. */
const struct cell_queue *
cell_sched_queue_of(const struct cell_sched *s, struct cell_job *j)
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

uint32_t
cell_sched_rank_of(const struct cell_sched *s, const struct cell_stage *st)
{
	return MIN(cell_sched_queue_of(s, st->job)->rank, RANKS - 1);
}

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

double
cell_sched_queue_objective_ms(
    const struct cell_queue *q, const struct cell_job *j)
{
	return objective_for(q, j, cell_learned_chain_ms(j));
}

double
cell_sched_objective_ms(const struct cell_sched *s, struct cell_job *j)
{
	return cell_sched_queue_objective_ms(cell_sched_queue_of(s, j), j);
}

double
cell_sched_measured_objective_ms(const struct cell_sched *s, struct cell_job *j)
{
	return objective_for(
	    cell_sched_queue_of(s, j), j, cell_job_measured_chain_ms(j));
}

unsigned
cell_sched_precedence_of(
    const struct cell_queue *q, const struct cell_stage *st, ogl_time now)
{
	const struct cell_job *j = st->job;
	double allowed_ms = cell_sched_queue_objective_ms(q, j);
	double end_ms =
	    (double)(now - j->accepted) / OGL_MS +
	    ESTIMATE_FACTOR * cell_learned_chain_from_ms(j, st->step);
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

double
cell_sched_slack(
    const struct cell_queue *q, const struct cell_stage *st, ogl_time now)
{
	const struct cell_job *j = st->job;
	double left_ms = cell_sched_queue_objective_ms(q, j) -
			 (double)(now - j->accepted) / OGL_MS;

	return st->def->lasting
		   ? G_MAXDOUBLE
		   : left_ms / MAX(cell_learned_chain_from_ms(j, st->step), 1);
}

bool
cell_sched_deadline_is_tight(
    const struct cell_queue *q, const struct cell_stage *st, ogl_time now)
{
	return cell_sched_slack(q, st, now) < TIGHT_DEADLINE_FACTOR;
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
void
cell_sched_order_beyond_rate(struct cell_sched *s)
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

/* Buckets are filled oldest first. */
static void
keep_age(struct cell_sched *s, GPtrArray *stages, ogl_time now)
{
	(void)s;
	(void)stages;
	(void)now;
}

/* Keeps the order of the stages of each team. */
static void
sort_by_share(struct cell_sched *s, GPtrArray *stages, ogl_time now)
{
	struct ogl_share_item *items;
	guint i;

	g_array_set_size(s->share_items, stages->len);
	items = (struct ogl_share_item *)(void *)s->share_items->data;
	for (i = 0; i < stages->len; i++)
		items[i] = cell_sched_share_item(s, stages->pdata[i], now);
	ogl_share_order(s->share, items, stages->len);
	for (i = 0; i < stages->len; i++)
		stages->pdata[i] = items[i].data;
}

typedef void sort_fn(struct cell_sched *s, GPtrArray *stages, ogl_time now);

enum order {
	BY_AGE,
	BY_SHARE
};

static sort_fn *const sorts[] = {
    [BY_AGE] = keep_age, [BY_SHARE] = sort_by_share};

void
cell_sched_order_buckets(struct cell_sched *s, bool full, ogl_time now)
{
	sort_fn *sort = sorts[CELL_USES_SHARES && full ? BY_SHARE : BY_AGE];
	unsigned precedence;
	uint32_t rank;

	if (full)
		ogl_share_begin_round(s->share);
	for (precedence = 0; precedence < PRECEDENCES; precedence++) {
		for (rank = 0; rank < RANKS; rank++)
			sort(s, s->buckets[precedence][rank], now);
	}
}
