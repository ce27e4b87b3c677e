/*
 * Placement: cost of a decision in a cell that is 90% full, quality of packing,
 * waiting times of gangs.
 */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "lib_mix.h"
#include "place.h"

#define FULL_PART 0.9
#define FIRST_SEED 1000   /* not 1 to 40, which the weights are fitted to */
#define BACKLOG_CELLS 1.3 /* offered tasks over the cell's capacity */
#define CPU_MIN_MILLI 420 /* the mean task then is 1/7 to 1/8 of a worker */

struct held {
	struct ogl_demand ask;
	uint32_t w;
};

/* ---- cost of a decision ----------------------------------------------- */

static void
fill_cell(struct mix *m, struct ogl_place *p, GArray *held)
{
	struct ogl_res total, used;
	struct held h;
	int failures = 0;

	do {
		mix_task(m, &h.ask, CPU_MIN_MILLI);
		if (ogl_place_task(p, &h.ask, 1, &h.w))
			g_array_append_val(held, h);
		else
			failures++;
		ogl_place_totals(p, &total, &used);
	} while (
	    used.cpu_milli < FULL_PART * total.cpu_milli && failures < 100000);
}

/* Ends a task at random and starts others up to FULL_PART, repeatedly, and
 * measures each placement. */
static void
measure_decisions(
    struct mix *m, struct ogl_place *p, GArray *held, double *ns, uint32_t n)
{
	struct ogl_res total, used;
	struct held h;
	uint32_t i, at;
	double start;
	bool ok;

	for (i = 0; i < n;) {
		at = (uint32_t)(mix_uniform(m) * held->len);
		h = g_array_index(held, struct held, at);
		ogl_place_free(p, h.w, &h.ask);
		g_array_remove_index_fast(held, at);
		ogl_place_totals(p, &total, &used);
		while (i < n && used.cpu_milli < FULL_PART * total.cpu_milli) {
			mix_task(m, &h.ask, CPU_MIN_MILLI);
			start = mix_now_ns();
			ok = ogl_place_task(p, &h.ask, 1, &h.w);
			ns[i++] = mix_now_ns() - start;
			if (!ok)
				break;
			g_array_append_val(held, h);
			ogl_place_totals(p, &total, &used);
		}
	}
	qsort(ns, n, sizeof(*ns), mix_compare_double);
}

/* Cost of a refusal in a full cell in which one task ends at a time. */
static void
measure_refusals(struct mix *m, struct ogl_place *p, GArray *held, double *ns,
    uint32_t n, uint32_t workers)
{
	const uint32_t tries_per_end = 50;
	struct held h;
	double start, spent;
	uint32_t i, at, consecutive = 0, count = 0, j;

	while (consecutive < 2000) {
		mix_task(m, &h.ask, CPU_MIN_MILLI);
		if (!ogl_place_task(p, &h.ask, 1, &h.w)) {
			consecutive++;
			continue;
		}
		consecutive = 0;
		g_array_append_val(held, h);
	}
	for (i = 0; i < n / tries_per_end && held->len > 0; i++) {
		at = (uint32_t)(mix_uniform(m) * held->len);
		h = g_array_index(held, struct held, at);
		ogl_place_free(p, h.w, &h.ask);
		g_array_remove_index_fast(held, at);
		for (j = 0; j < tries_per_end; j++) {
			mix_task(m, &h.ask, CPU_MIN_MILLI);
			start = mix_now_ns();
			if (ogl_place_task(p, &h.ask, 1, &h.w)) {
				g_array_append_val(held, h);
				continue;
			}
			spent = mix_now_ns() - start;
			ns[count++] = spent;
		}
	}
	qsort(ns, count, sizeof(*ns), mix_compare_double);
	printf("place_refuse_ns_%u %.0f ns\n", workers, ns[count / 2]);
	printf("place_refuse_p99_us_%u %.2f us\n", workers,
	    ns[count / 100 * 99] / 1000);
}

/* Cost of placing gangs in a cell that is 90% full, each freed again, and of a
 * gang that is too large for the cell. */
static void
measure_gangs(struct mix *m, struct ogl_place *p, uint32_t workers)
{
	const uint32_t n = 400;
	struct ogl_demand demand = {OGL__KIND__gang, {2000, 8192, 0}, 1};
	uint32_t *w = g_new(uint32_t, workers * 8), size, i, j, count = 0;
	double us[400], start, refuse;

	for (i = 0; i < n; i++) {
		size = (uint32_t)mix_pareto(m, 4, 64, 1.0);
		start = mix_now_ns();
		if (!ogl_place_gang(p, &demand, size, 1, w))
			continue;
		us[count++] = (mix_now_ns() - start) / 1000;
		for (j = 0; j < size; j++)
			ogl_place_free(p, w[j], &demand);
	}
	qsort(us, count, sizeof(*us), mix_compare_double);
	start = mix_now_ns();
	ogl_place_gang(p, &demand, workers * 8, 1, w);
	refuse = (mix_now_ns() - start) / 1000;
	if (count > 0)
		printf("place_gang_us_%u %.1f us\n", workers, us[count / 2]);
	printf("place_gang_refuse_us_%u %.1f us\n", workers, refuse);
	start = mix_now_ns();
	ogl_place_reserve(p, 1, &demand, workers, 3, 2);
	printf("place_reserve_us_%u %.1f us\n", workers,
	    (mix_now_ns() - start) / 1000);
	ogl_place_unreserve(p, 1);
	g_free(w);
}

static void
measure_cost(uint32_t workers, uint32_t zones)
{
	const uint32_t n = 300000;
	struct mix m = {workers};
	struct ogl_place *p = ogl_place_init(1);
	GArray *held = g_array_new(FALSE, FALSE, sizeof(struct held));
	double *ns = g_new(double, n);

	mix_cell(&m, p, workers, zones);
	fill_cell(&m, p, held);
	printf("place_tasks_%u %u tasks\n", workers, held->len);
	measure_decisions(&m, p, held, ns, n);
	printf("place_ns_%u %.0f ns\n", workers, ns[n / 2]);
	printf("place_p99_us_%u %.2f us\n", workers, ns[n / 100 * 99] / 1000);
	printf("place_bytes_worker_%u %.0f B\n", workers,
	    (double)ogl_place_bytes(p) / workers);
	measure_gangs(&m, p, workers);
	measure_refusals(&m, p, held, ns, n, workers);
	g_free(ns);
	g_array_free(held, TRUE);
	ogl_place_end(p);
}

/* ---- packing ---------------------------------------------------------- */

static double
held_part(const struct ogl_res *r, const struct ogl_res *total)
{
	return (double)r->cpu_milli / total->cpu_milli +
	       (double)r->mem_mb / total->mem_mb;
}

/*
 * Upper bound of what any selection of tasks from the backlog can hold.  By
 * weak duality of the linear relaxation, in which tasks are divisible and the
 * cell is one large worker: for any prices of processors and memory, the price
 * of the whole cell plus each task's value in excess of its own price bounds
 * the value held.  The prices are searched first coarsely, then finely.
 */
static double
packing_bound(const GArray *backlog, const struct ogl_res *total)
{
	double best = 1e9, at_cpu = 1, at_mem = 1, step, sum, cpu, mem, rest;
	double centre_cpu, centre_mem;
	const struct ogl_res *r;
	int i, j;
	guint k;

	for (step = 0.25; step > 0.01; step /= 2) {
		centre_cpu = at_cpu;
		centre_mem = at_mem;
		for (i = -4; i <= 4; i++) {
			for (j = -4; j <= 4; j++) {
				cpu = MAX(centre_cpu + i * step, 0);
				mem = MAX(centre_mem + j * step, 0);
				sum = cpu + mem;
				for (k = 0; k < backlog->len; k++) {
					r = &g_array_index(
					    backlog, struct ogl_demand, k)
						 .res;
					rest = (1 - cpu) * r->cpu_milli /
						   total->cpu_milli +
					       (1 - mem) * r->mem_mb /
						   total->mem_mb;
					sum += MAX(rest, 0);
				}
				if (sum < best) {
					best = sum;
					at_cpu = cpu;
					at_mem = mem;
				}
			}
		}
	}
	return best;
}

/* Held parts of the cell's resources, and of the bound (any_order), summed over
 * trials. */
struct packing_sums {
	double scarcest, any_order, cpu, mem;
};

static void
pack_once(uint32_t workers, uint32_t cpu_min_milli, uint64_t seed,
    struct packing_sums *out)
{
	struct mix m = {seed};
	struct ogl_place *p = ogl_place_init(seed);
	GArray *backlog = g_array_new(FALSE, FALSE, sizeof(struct ogl_demand));
	struct ogl_res total, used;
	double cpu = 0, mem = 0, cpu_part, mem_part;
	struct ogl_demand demand;
	uint32_t w;

	mix_cell(&m, p, workers, 4);
	ogl_place_totals(p, &total, &used);
	/* Each task is offered once: no task ends, so a refused task never
	 * fits later. */
	while (cpu < BACKLOG_CELLS || mem < BACKLOG_CELLS) {
		mix_task(&m, &demand, cpu_min_milli);
		g_array_append_val(backlog, demand);
		cpu += (double)demand.res.cpu_milli / total.cpu_milli;
		mem += (double)demand.res.mem_mb / total.mem_mb;
		ogl_place_task(p, &demand, 1, &w);
	}
	ogl_place_totals(p, &total, &used);
	cpu_part = (double)used.cpu_milli / total.cpu_milli;
	mem_part = (double)used.mem_mb / total.mem_mb;
	out->scarcest += cpu >= mem ? cpu_part : mem_part;
	out->any_order +=
	    held_part(&used, &total) / packing_bound(backlog, &total);
	out->cpu += cpu_part;
	out->mem += mem_part;
	g_array_free(backlog, TRUE);
	ogl_place_end(p);
}

static void
measure_packing(uint32_t workers, uint32_t cpu_min_milli, uint32_t trials,
    const char *suffix)
{
	struct packing_sums sum = {0};
	uint32_t i;

	for (i = 1; i <= trials; i++)
		pack_once(workers, cpu_min_milli, FIRST_SEED + i, &sum);
	printf(
	    "packing_pct%s %.2f pct\n", suffix, 100 * sum.any_order / trials);
	printf("packing_scarcest_pct%s %.2f pct\n", suffix,
	    100 * sum.scarcest / trials);
	printf("packing_cpu_pct%s %.2f pct\n", suffix, 100 * sum.cpu / trials);
	printf("packing_mem_pct%s %.2f pct\n", suffix, 100 * sum.mem / trials);
}

/* ---- gangs ------------------------------------------------------------ */

#define GANG_JOBS 6000
#define GANG_WORKERS 50
#define RESERVATION_TIME (120 * OGL_SEC)
#define WARM_UP_JOBS 500 /* jobs whose waiting times are not counted */

enum job_class {
	SMALL, /* one task */
	BATCH, /* as many tasks as a gang, placed one by one */
	GANG
};

struct job {
	enum job_class job_class;
	struct ogl_demand ask;
	uint32_t n, placed;
	ogl_time since, run;
};

struct cell {
	struct ogl_place *p;
	struct mix_heap events;
	GArray *jobs;           /* struct job, by number */
	GArray *waiting;        /* uint32_t, oldest first */
	GArray *running;        /* struct held */
	ogl_time reserve_after; /* wait of a gang; OGL_NEVER: don't reserve */
	double wait_sum_s[3], wait_max_s[3];
	uint32_t wait_count[3];
};

#define ARRIVAL_FLAG (1ull << 62)

static void
make_job(struct mix *m, struct job *j, uint64_t id)
{
	double u = mix_uniform(m);

	j->job_class = u < 0.8 ? SMALL : u < 0.9 ? BATCH : GANG;
	j->ask.job = id;
	j->ask.kind = j->job_class == GANG ? OGL__KIND__gang : OGL__KIND__batch;
	j->n = j->job_class == SMALL ? 1 : (uint32_t)mix_pareto(m, 4, 64, 1.0);
	j->ask.res.cpu_milli = j->job_class == SMALL
				   ? (uint32_t)mix_pareto(m, 500, 8000, 1.0)
				   : 4000;
	j->ask.res.mem_mb = j->ask.res.cpu_milli * 3;
	j->ask.res.accel = 0;
	j->run = (ogl_time)mix_pareto(m, 5e6, 600e6, 1.1);
	j->placed = 0;
}

static void
start(struct cell *c, const struct job *j, uint32_t w, ogl_time now)
{
	struct held h = {j->ask, w};

	g_array_append_val(c->running, h);
	mix_heap_push(&c->events, now + j->run, c->running->len - 1);
}

/* Starts the tasks of a job that fit.  Returns true if all have started. */
static bool
try_job(struct cell *c, struct job *j, ogl_time now)
{
	uint32_t w[64], i;

	if (j->job_class == GANG) {
		if (!ogl_place_gang(c->p, &j->ask, j->n, now, w)) {
			if (now - j->since >= c->reserve_after)
				ogl_place_reserve(c->p, j->ask.job, &j->ask,
				    j->n, now + RESERVATION_TIME, now);
			return false;
		}
		for (i = 0; i < j->n; i++)
			start(c, j, w[i], now);
		return true;
	}
	while (j->placed < j->n && ogl_place_task(c->p, &j->ask, now, w)) {
		start(c, j, w[0], now);
		j->placed++;
	}
	return j->placed == j->n;
}

/* Starts waiting jobs, oldest first, as far as they fit. */
static void
start_waiting(struct cell *c, ogl_time now)
{
	struct job *j;
	uint32_t i, id, kept = 0;

	for (i = 0; i < c->waiting->len; i++) {
		id = g_array_index(c->waiting, uint32_t, i);
		j = &g_array_index(c->jobs, struct job, id);
		if (!try_job(c, j, now)) {
			g_array_index(c->waiting, uint32_t, kept++) = id;
			continue;
		}
		if (id < WARM_UP_JOBS)
			continue;
		c->wait_sum_s[j->job_class] +=
		    (double)(now - j->since) / OGL_SEC;
		c->wait_max_s[j->job_class] = MAX(c->wait_max_s[j->job_class],
		    (double)(now - j->since) / OGL_SEC);
		c->wait_count[j->job_class]++;
	}
	g_array_set_size(c->waiting, kept);
}

static void
add_arrivals(struct cell *c, struct mix *m, double load)
{
	double room = GANG_WORKERS * 16000.0 * load, t = 0;
	struct job j;
	uint32_t i;

	for (i = 0; i < GANG_JOBS; i++) {
		make_job(m, &j, i);
		t += (double)j.n * j.ask.res.cpu_milli * j.run / room;
		/* The mean rate follows the load; times are random. */
		j.since = (ogl_time)(t + mix_exponential(m, 5e6)) + 1;
		g_array_append_val(c->jobs, j);
		mix_heap_push(&c->events, j.since, ARRIVAL_FLAG | i);
	}
}

static void
measure_gang_waits(double load, ogl_time reserve_after, const char *suffix)
{
	struct mix m = {11};
	struct cell c = {.reserve_after = reserve_after};
	struct mix_event e;
	struct held *h;
	uint32_t id;

	c.p = ogl_place_init(1);
	c.jobs = g_array_new(FALSE, FALSE, sizeof(struct job));
	c.waiting = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	c.running = g_array_new(FALSE, FALSE, sizeof(struct held));
	mix_cell(&m, c.p, GANG_WORKERS, 4);
	add_arrivals(&c, &m, load);
	while (mix_heap_pop(&c.events, &e)) {
		if (e.data & ARRIVAL_FLAG) {
			id = (uint32_t)e.data;
			g_array_append_val(c.waiting, id);
		} else {
			h = &g_array_index(c.running, struct held, e.data);
			ogl_place_free(c.p, h->w, &h->ask);
		}
		start_waiting(&c, e.at);
	}
	printf("gang_wait_ratio%s %.2f ratio\n", suffix,
	    (c.wait_sum_s[GANG] / c.wait_count[GANG]) /
		(c.wait_sum_s[BATCH] / c.wait_count[BATCH]));
	printf("gang_wait_s%s %.2f s\n", suffix,
	    c.wait_sum_s[GANG] / c.wait_count[GANG]);
	printf("gang_wait_max_s%s %.2f s\n", suffix, c.wait_max_s[GANG]);
	printf("gang_batch_wait_s%s %.2f s\n", suffix,
	    c.wait_sum_s[BATCH] / c.wait_count[BATCH]);
	printf("gang_small_wait_s%s %.2f s\n", suffix,
	    c.wait_sum_s[SMALL] / c.wait_count[SMALL]);
	mix_heap_clear(&c.events);
	g_array_free(c.running, TRUE);
	g_array_free(c.waiting, TRUE);
	g_array_free(c.jobs, TRUE);
	ogl_place_end(c.p);
}

int
main(void)
{
	measure_cost(50, 4);
	measure_cost(500, 4);
	measure_cost(5000, 12);
	measure_cost(22000, 12);
	measure_packing(50, 100, 40, "");
	measure_packing(5000, 100, 1, "_5000");
	measure_packing(50, 2000, 40, "_coarse");
	measure_gang_waits(0.95, 0, "");
	measure_gang_waits(0.95, 30 * OGL_SEC, "_after30s");
	measure_gang_waits(0.95, OGL_NEVER, "_noreserve");
	measure_gang_waits(0.7, 0, "_70");
	measure_gang_waits(0.7, 30 * OGL_SEC, "_70_after30s");
	measure_gang_waits(0.7, OGL_NEVER, "_70_noreserve");
	return 0;
}
