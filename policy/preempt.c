/*
 * Preemption by rank.
 *
 * The tasks of a need start together or their job is late anyway, so they get
 * room together or not at all.  For each worker the runs that cost least for
 * the room they free are stopped first, and runs that turn out not to be needed
 * are kept; of the workers, the one with the least cost is taken.
 *
 *	cost  cores x (time since the last checkpoint + time to restart)
 *	gain  LATE_LOSS x core-milliseconds of the work that would be late
 *
 * Nothing is stopped if the runs that end within the slack make enough room.
 */

#include <math.h>
#include <string.h>

#include <glib.h>

#include "preempt.h"

/* Part of its worth that a result loses when it is late. */
#define LATE_LOSS 0.8
/* Costs are estimates; a gain that is barely larger may be none. */
#define GAIN_COST_MIN 2.0
/* Part of the running cores that may be stopped in a second. */
#define RATE_MAX 0.02

struct run {
	struct ogl_preempt_run r;
	double cost_ms;
	bool gone; /* stopped, or its room is taken once it has ended */
};

struct worker {
	size_t first; /* position of its first run */
	size_t nruns;
	struct ogl_res room;
	uint32_t ntasks; /* scratch: tasks of the need that were placed there */
	uint32_t tasks_max; /* scratch: of the need */
};

struct ogl_preempt {
	GArray *workers; /* struct worker */
	GArray *runs;    /* struct run, those of a worker side by side */
	GArray *order;   /* scratch: size_t, positions in runs */
	GArray *best;    /* scratch: the same, of the best worker so far */
	GArray *stops;   /* struct ogl_preempt_stop */
	/* Token bucket; a token is a thousandth of a core. */
	double tokens;
	double tokens_max;
	ogl_time filled_at;
	bool filled;
};

struct ogl_preempt *
ogl_preempt_init(void)
{
	struct ogl_preempt *p = g_new0(struct ogl_preempt, 1);

	p->workers = g_array_new(FALSE, FALSE, sizeof(struct worker));
	p->runs = g_array_new(FALSE, FALSE, sizeof(struct run));
	p->order = g_array_new(FALSE, FALSE, sizeof(size_t));
	p->best = g_array_new(FALSE, FALSE, sizeof(size_t));
	p->stops = g_array_new(FALSE, FALSE, sizeof(struct ogl_preempt_stop));
	return p;
}

void
ogl_preempt_end(struct ogl_preempt *p)
{
	g_array_free(p->workers, TRUE);
	g_array_free(p->runs, TRUE);
	g_array_free(p->order, TRUE);
	g_array_free(p->best, TRUE);
	g_array_free(p->stops, TRUE);
	g_free(p);
}

static struct worker *
worker_at(const struct ogl_preempt *p, size_t i)
{
	return &g_array_index(p->workers, struct worker, i);
}

static struct run *
run_at(const struct ogl_preempt *p, size_t i)
{
	return &g_array_index(p->runs, struct run, i);
}

void
ogl_preempt_begin(
    struct ogl_preempt *p, uint64_t running_cpu_milli, ogl_time now)
{
	g_array_set_size(p->workers, 0);
	g_array_set_size(p->runs, 0);
	p->tokens_max = RATE_MAX * (double)running_cpu_milli;
	if (p->filled)
		p->tokens +=
		    p->tokens_max * (double)(now - p->filled_at) / OGL_SEC;
	else
		p->tokens = p->tokens_max;
	p->tokens = MIN(p->tokens, p->tokens_max);
	p->filled_at = now;
	p->filled = true;
}

size_t
ogl_preempt_add_worker(struct ogl_preempt *p, const struct ogl_res *room)
{
	struct worker w = {.first = p->runs->len, .room = *room};

	g_array_append_val(p->workers, w);
	return p->workers->len - 1;
}

void
ogl_preempt_add_run(
    struct ogl_preempt *p, size_t worker, const struct ogl_preempt_run *r)
{
	struct run x = {.r = *r,
	    .cost_ms = r->res.cpu_milli / 1000.0 *
		       (r->since_checkpoint_ms + r->restart_ms)};

	worker_at(p, worker)->nruns++;
	g_array_append_val(p->runs, x);
}

static void
add_res(struct ogl_res *to, const struct ogl_res *res)
{
	to->cpu_milli += res->cpu_milli;
	to->mem_mb += res->mem_mb;
	to->accel += res->accel;
}

static void
take_res(struct ogl_res *from, const struct ogl_res *res)
{
	from->cpu_milli -= res->cpu_milli;
	from->mem_mb -= res->mem_mb;
	from->accel -= res->accel;
}

/* Places as many tasks as fit on the worker. */
static uint32_t
fill_worker(
    struct worker *w, const struct ogl_preempt_need *need, uint32_t tasks)
{
	uint32_t n = 0;

	while (n < tasks && w->ntasks < w->tasks_max &&
	       ogl_res_fits(&need->res, &w->room)) {
		take_res(&w->room, &need->res);
		w->ntasks++;
		n++;
	}
	return n;
}

/* Adds the room of the runs that end within the slack. */
static void
end_runs(struct ogl_preempt *p, struct worker *w, double slack_ms)
{
	size_t i;

	for (i = w->first; i < w->first + w->nruns; i++) {
		struct run *x = run_at(p, i);

		if (x->gone || x->r.left_ms > slack_ms)
			continue;
		x->gone = true;
		add_res(&w->room, &x->r.res);
	}
}

static bool
may_stop(const struct run *x, const struct ogl_preempt_need *need)
{
	return !x->gone && x->r.saves_checkpoints && !x->r.gang &&
	       x->r.rank > need->rank && x->r.since_stopped_ms >= x->r.run_ms &&
	       x->r.res.cpu_milli > 0;
}

/* Part of a lack that the run fills; what it frees beyond that is of no use. */
static double
part_of(uint32_t freed, uint32_t lack)
{
	return lack == 0 ? 1 : MIN((double)freed / lack, 1);
}

static double
cost_ratio(const struct run *x, const struct ogl_res *lack)
{
	double part = MIN(part_of(x->r.res.cpu_milli, lack->cpu_milli),
	    part_of(x->r.res.mem_mb, lack->mem_mb));

	return part > 0 ? x->cost_ms / part : INFINITY;
}

struct comparison {
	const struct ogl_preempt *p;
	struct ogl_res lack; /* room that a task lacks on the worker */
};

static gint
by_cost_ratio(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct comparison *c = arg;
	double x = cost_ratio(run_at(c->p, *(const size_t *)a), &c->lack);
	double y = cost_ratio(run_at(c->p, *(const size_t *)b), &c->lack);

	return x < y ? -1 : x > y;
}

static uint32_t
lack_of(uint32_t need, uint32_t room)
{
	return need > room ? need - room : 0;
}

/* Finds the runs to stop on the worker for one more task and leaves them in
 * p->order.  Returns their cost, INFINITY if they make no room. */
static double
try_worker(struct ogl_preempt *p, const struct worker *w,
    const struct ogl_preempt_need *need)
{
	struct comparison c = {.p = p,
	    .lack = {lack_of(need->res.cpu_milli, w->room.cpu_milli),
		lack_of(need->res.mem_mb, w->room.mem_mb)}};
	struct ogl_res room = w->room;
	double cost_ms = 0;
	size_t i;

	g_array_set_size(p->order, 0);
	for (i = w->first; i < w->first + w->nruns; i++) {
		if (may_stop(run_at(p, i), need))
			g_array_append_val(p->order, i);
	}
	g_array_sort_with_data(p->order, by_cost_ratio, &c);
	for (i = 0; i < p->order->len && !ogl_res_fits(&need->res, &room); i++)
		add_res(&room,
		    &run_at(p, g_array_index(p->order, size_t, i))->r.res);
	if (!ogl_res_fits(&need->res, &room))
		return INFINITY;
	g_array_set_size(p->order, i);
	/* Drops what is not needed, the most expensive first. */
	for (; i > 0; i--) {
		const struct run *x =
		    run_at(p, g_array_index(p->order, size_t, i - 1));

		take_res(&room, &x->r.res);
		if (ogl_res_fits(&need->res, &room)) {
			g_array_remove_index(p->order, i - 1);
			continue;
		}
		add_res(&room, &x->r.res);
		cost_ms += x->cost_ms;
	}
	return cost_ms;
}

/* Stops the runs in p->best on the worker and places one task there. */
static void
use_worker(
    struct ogl_preempt *p, size_t worker, const struct ogl_preempt_need *need)
{
	struct worker *w = worker_at(p, worker);
	size_t i;

	for (i = 0; i < p->best->len; i++) {
		size_t at = g_array_index(p->best, size_t, i);
		struct run *x = run_at(p, at);
		struct ogl_preempt_stop stop = {
		    worker, at - w->first, x->cost_ms};

		x->gone = true;
		add_res(&w->room, &x->r.res);
		g_array_append_val(p->stops, stop);
	}
	fill_worker(w, need, 1);
}

/* Makes room for one task; returns the cost, INFINITY if there is no way. */
static double
make_room(struct ogl_preempt *p, const struct ogl_preempt_need *need)
{
	double least = INFINITY;
	size_t chosen = 0, i;

	for (i = 0; i < need->nplaces; i++) {
		size_t at = need->places[i].worker;
		const struct worker *w = worker_at(p, at);
		GArray *swap = p->best;
		double cost_ms;

		if (w->ntasks >= w->tasks_max)
			continue;
		cost_ms = try_worker(p, w, need);
		if (cost_ms >= least)
			continue;
		least = cost_ms;
		chosen = at;
		p->best = p->order;
		p->order = swap;
	}
	if (!isinf(least))
		use_worker(p, chosen, need);
	return least;
}

/* A worker's part in the needs of a round, which is undone if the tasks of a
 * need don't all get room. */
struct saved {
	GArray *workers;
	GArray *runs;
};

static struct saved
save(const struct ogl_preempt *p)
{
	return (struct saved){g_array_copy(p->workers), g_array_copy(p->runs)};
}

static void
restore(struct ogl_preempt *p, const struct saved *s)
{
	if (s->workers->len > 0)
		memcpy(p->workers->data, s->workers->data,
		    s->workers->len * sizeof(struct worker));
	if (s->runs->len > 0)
		memcpy(p->runs->data, s->runs->data,
		    s->runs->len * sizeof(struct run));
}

static void
begin_need(struct ogl_preempt *p, const struct ogl_preempt_need *need)
{
	size_t i;

	for (i = 0; i < need->nplaces; i++) {
		struct worker *w = worker_at(p, need->places[i].worker);

		w->ntasks = 0;
		w->tasks_max = need->places[i].tasks_max;
	}
}

/* Places all tasks in free room, after runs have ended if slack_ms is not
 * negative; returns how many found none. */
static uint32_t
place_in_room(
    struct ogl_preempt *p, const struct ogl_preempt_need *need, double slack_ms)
{
	uint32_t left = need->tasks;
	size_t i;

	begin_need(p, need);
	for (i = 0; i < need->nplaces && left > 0; i++) {
		struct worker *w = worker_at(p, need->places[i].worker);

		if (slack_ms >= 0)
			end_runs(p, w, slack_ms);
		left -= fill_worker(w, need, left);
	}
	return left;
}

static double
cores_of_stops(const struct ogl_preempt *p)
{
	double cpu_milli = 0;
	size_t i;

	for (i = 0; i < p->stops->len; i++) {
		const struct ogl_preempt_stop *s =
		    &g_array_index(p->stops, struct ogl_preempt_stop, i);

		cpu_milli += run_at(p, worker_at(p, s->worker)->first + s->run)
				 ->r.res.cpu_milli;
	}
	return cpu_milli;
}

/* A full bucket allows a set of runs that is larger than itself and is then
 * in debt.  Otherwise a small cell could never stop a run, whose cores are more
 * than 2 in 100 of all. */
static bool
take_tokens(struct ogl_preempt *p, double cpu_milli)
{
	if (cpu_milli > p->tokens && p->tokens < p->tokens_max)
		return false;
	p->tokens -= cpu_milli;
	return true;
}

size_t
ogl_preempt_choose(struct ogl_preempt *p, const struct ogl_preempt_need *need,
    const struct ogl_preempt_stop **stops, double *gain_ms)
{
	struct saved before = save(p);
	double cost_ms = 0;
	uint32_t left;

	g_array_set_size(p->stops, 0);
	*gain_ms = LATE_LOSS * need->core_ms;
	if (need->tasks == 0 || need->tasks > OGL_PREEMPT_TASKS_MAX ||
	    need->slack_ms < 0 || (p->tokens <= 0 && p->tokens < p->tokens_max))
		goto out;
	if (place_in_room(p, need, need->slack_ms) == 0)
		goto out;
	restore(p, &before);
	left = place_in_room(p, need, -1);
	for (; left > 0 && GAIN_COST_MIN * cost_ms <= *gain_ms; left--)
		cost_ms += make_room(p, need);
	if (GAIN_COST_MIN * cost_ms <= *gain_ms &&
	    take_tokens(p, cores_of_stops(p)))
		goto out;
	restore(p, &before);
	g_array_set_size(p->stops, 0);
out:
	g_array_free(before.workers, TRUE);
	g_array_free(before.runs, TRUE);
	*stops = (const struct ogl_preempt_stop *)(void *)p->stops->data;
	return p->stops->len;
}
