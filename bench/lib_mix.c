/*
 * Seeded mix of tasks and cells for the measurements, and an event heap.
 */

#include <math.h>
#include <stdio.h>
#include <time.h>

#include "lib_mix.h"

#define WORKER_CPU 16000
#define WORKER_MEM 65536
#define WORKER_ACCEL 4
#define ACCEL_EVERY 20
#define RACK 8

double
mix_uniform(struct mix *m)
{
	uint64_t x;

	m->rnd += 0x9e3779b97f4a7c15u;
	x = (m->rnd ^ (m->rnd >> 30)) * 0xbf58476d1ce4e5b9u;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
	x ^= x >> 31;
	return (double)(x >> 11) / 9007199254740992.0;
}

double
mix_pareto(struct mix *m, double least, double most, double alpha)
{
	double r = pow(least / most, alpha);

	return least / pow(1 - mix_uniform(m) * (1 - r), 1 / alpha);
}

double
mix_exponential(struct mix *m, double mean)
{
	return -mean * log(1 - mix_uniform(m));
}

void
mix_ask(struct mix *m, struct ogl_demand *ask, uint32_t least_cpu)
{
	double mem_share;

	ask->kind =
	    mix_uniform(m) < 0.2 ? OGL__KIND__service : OGL__KIND__batch;
	ask->job = (uint64_t)(mix_uniform(m) * 20000);
	ask->res.cpu_milli =
	    (uint32_t)mix_pareto(m, least_cpu, WORKER_CPU, 0.8);
	/* Memory goes with processors, a third to three times the ratio. */
	mem_share = exp((mix_uniform(m) * 2 - 1) * log(3));
	ask->res.mem_mb = (uint32_t)MIN(WORKER_MEM,
	    ask->res.cpu_milli * 0.9 * mem_share * WORKER_MEM / WORKER_CPU);
	ask->res.accel = mix_uniform(m) < 0.02 ? 1 : 0;
}

uint32_t
mix_cell(struct mix *m, struct ogl_place *p, uint32_t workers, uint32_t zones)
{
	struct ogl_res c = {WORKER_CPU, WORKER_MEM, 0};
	char name[32], zone[32], rack[32];
	uint32_t i, w, accel = 0;

	for (i = 0; i < workers; i++) {
		snprintf(name, sizeof(name), "w%u", i);
		snprintf(zone, sizeof(zone), "z%u", i / RACK % zones);
		snprintf(rack, sizeof(rack), "r%u", i / RACK);
		c.accel = mix_uniform(m) * ACCEL_EVERY < 1 ? WORKER_ACCEL : 0;
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
mix_by_double(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

void
mix_heap_push(struct mix_heap *h, ogl_time at, uint64_t what)
{
	size_t i, up;

	if (h->n == h->room) {
		h->room = h->room * 2 + 64;
		h->e = g_renew(struct mix_event, h->e, h->room);
	}
	for (i = h->n++; i > 0; i = up) {
		up = (i - 1) / 2;
		if (h->e[up].at <= at)
			break;
		h->e[i] = h->e[up];
	}
	h->e[i].at = at;
	h->e[i].what = what;
}

bool
mix_heap_pop(struct mix_heap *h, struct mix_event *e)
{
	struct mix_event last;
	size_t i, down;

	if (h->n == 0)
		return false;
	*e = h->e[0];
	last = h->e[--h->n];
	for (i = 0; (down = 2 * i + 1) < h->n; i = down) {
		if (down + 1 < h->n && h->e[down + 1].at < h->e[down].at)
			down++;
		if (last.at <= h->e[down].at)
			break;
		h->e[i] = h->e[down];
	}
	h->e[i] = last;
	return true;
}

void
mix_heap_clear(struct mix_heap *h)
{
	g_free(h->e);
	h->e = NULL;
	h->n = h->room = 0;
}
