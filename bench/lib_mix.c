/*
 * Random tasks and cells from a seed for the benchmarks, and a heap of events.
 */

#include <math.h>
#include <stdio.h>
#include <time.h>

#include "lib_mix.h"

#define WORKER_CPU_MILLI 16000
#define WORKER_MEM_MB 65536
#define WORKER_ACCEL 4
#define WORKERS_PER_ACCEL 20
#define WORKERS_PER_RACK 8

double
mix_uniform(struct mix *m)
{
	uint64_t x;

	m->state += 0x9e3779b97f4a7c15u;
	x = (m->state ^ (m->state >> 30)) * 0xbf58476d1ce4e5b9u;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
	x ^= x >> 31;
	return (double)(x >> 11) / 9007199254740992.0;
}

double
mix_pareto(struct mix *m, double min, double max, double alpha)
{
	double r = pow(min / max, alpha);

	return min / pow(1 - mix_uniform(m) * (1 - r), 1 / alpha);
}

double
mix_exponential(struct mix *m, double mean)
{
	return -mean * log(1 - mix_uniform(m));
}

void
mix_task(struct mix *m, struct ogl_demand *demand, uint32_t cpu_min_milli)
{
	double mem_ratio;

	demand->kind =
	    mix_uniform(m) < 0.2 ? OGL__KIND__service : OGL__KIND__batch;
	demand->job = (uint64_t)(mix_uniform(m) * 20000);
	demand->res.cpu_milli =
	    (uint32_t)mix_pareto(m, cpu_min_milli, WORKER_CPU_MILLI, 0.8);
	/* Memory per processor is 1/3 to 3 times the mean, log-uniform. */
	mem_ratio = exp((mix_uniform(m) * 2 - 1) * log(3));
	demand->res.mem_mb = (uint32_t)MIN(
	    WORKER_MEM_MB, demand->res.cpu_milli * 0.9 * mem_ratio *
			       WORKER_MEM_MB / WORKER_CPU_MILLI);
	demand->res.accel = mix_uniform(m) < 0.02 ? 1 : 0;
}

uint32_t
mix_cell(struct mix *m, struct ogl_place *p, uint32_t workers, uint32_t zones)
{
	struct ogl_res c = {WORKER_CPU_MILLI, WORKER_MEM_MB, 0};
	char name[32], zone[32], rack[32];
	uint32_t i, w, accel = 0;

	for (i = 0; i < workers; i++) {
		snprintf(name, sizeof(name), "w%u", i);
		snprintf(
		    zone, sizeof(zone), "z%u", i / WORKERS_PER_RACK % zones);
		snprintf(rack, sizeof(rack), "r%u", i / WORKERS_PER_RACK);
		c.accel =
		    mix_uniform(m) * WORKERS_PER_ACCEL < 1 ? WORKER_ACCEL : 0;
		accel += c.accel;
		w = ogl_place_worker(p, name, &c, zone, rack);
		ogl_place_set_state(p, w, OGL_PLACE_SCHEDULABLE);
	}
	return accel;
}

double
mix_now_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec * 1e9 + t.tv_nsec;
}

int
mix_compare_double(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

void
mix_heap_push(struct mix_heap *h, ogl_time at, uint64_t data)
{
	size_t i, parent;

	if (h->n == h->allocated) {
		h->allocated = h->allocated * 2 + 64;
		h->e = g_renew(struct mix_event, h->e, h->allocated);
	}
	for (i = h->n++; i > 0; i = parent) {
		parent = (i - 1) / 2;
		if (h->e[parent].at <= at)
			break;
		h->e[i] = h->e[parent];
	}
	h->e[i].at = at;
	h->e[i].data = data;
}

bool
mix_heap_pop(struct mix_heap *h, struct mix_event *e)
{
	struct mix_event last;
	size_t i, child;

	if (h->n == 0)
		return false;
	*e = h->e[0];
	last = h->e[--h->n];
	for (i = 0; (child = 2 * i + 1) < h->n; i = child) {
		if (child + 1 < h->n && h->e[child + 1].at < h->e[child].at)
			child++;
		if (last.at <= h->e[child].at)
			break;
		h->e[i] = h->e[child];
	}
	h->e[i] = last;
	return true;
}

void
mix_heap_clear(struct mix_heap *h)
{
	g_free(h->e);
	h->e = NULL;
	h->n = h->allocated = 0;
}
