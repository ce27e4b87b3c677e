/*
 * Seeded mix of tasks and cells for the measurements, and an event heap.
 */

#ifndef LIB_MIX_H
#define LIB_MIX_H

#include "orioleglade.h"

struct mix {
	uint64_t rnd;
};

double mix_uniform(struct mix *m);
/* Evenly spread in [0, 1). */

double mix_pareto(struct mix *m, double least, double most, double alpha);
/* Heavy-tailed between two bounds. */

double mix_exponential(struct mix *m, double mean);

void mix_ask(struct mix *m, struct ogl_demand *ask, uint32_t least_cpu);
/* A task: a fifth services, heavy-tailed sizes up to a whole worker, one in
 * fifty with accelerators. */

uint32_t mix_cell(
    struct mix *m, struct ogl_place *p, uint32_t workers, uint32_t zones);
/* Adds schedulable workers of 16 processors and 64 GB, 8 to a rack, one in
 * twenty with four accelerators; gives how many accelerators. */

double mix_now_ns(void);
/* A clock for measuring spans. */

int mix_by_double(const void *a, const void *b);
/* Order for qsort. */

/* Least time first. */
struct mix_event {
	ogl_time at;
	uint64_t what;
};

struct mix_heap {
	struct mix_event *e;
	size_t n, room;
};

void mix_heap_push(struct mix_heap *h, ogl_time at, uint64_t what);
bool mix_heap_pop(struct mix_heap *h, struct mix_event *e);
void mix_heap_clear(struct mix_heap *h);

#endif
