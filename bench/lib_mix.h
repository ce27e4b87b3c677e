/*
 * Random tasks and cells from a seed for the benchmarks, and a heap of events.
 */

#ifndef LIB_MIX_H
#define LIB_MIX_H

#include "orioleglade.h"

/* State of the random generator; initialised with the seed. */
struct mix {
	uint64_t state;
};

double mix_uniform(struct mix *m);
/* Uniformly distributed in [0, 1). */

double mix_pareto(struct mix *m, double min, double max, double alpha);
/* Bounded Pareto distribution between min and max. */

double mix_exponential(struct mix *m, double mean);
/* Exponential distribution. */

void mix_task(struct mix *m, struct ogl_demand *demand, uint32_t cpu_min_milli);
/* Draws a task: one in five is a service, one in fifty needs an accelerator.
 * Processors are bounded Pareto from cpu_min_milli to a whole worker. */

uint32_t mix_cell(
    struct mix *m, struct ogl_place *p, uint32_t workers, uint32_t zones);
/* Adds schedulable workers of 16 processors and 64 GB, 8 per rack, one in
 * twenty with four accelerators.  Returns the number of accelerators. */

double mix_now_ns(void);
/* Monotonic clock in nanoseconds. */

int mix_compare_double(const void *a, const void *b);
/* Ascending order of doubles for qsort. */

/* An event; the heap pops the earliest first. */
struct mix_event {
	ogl_time at;
	uint64_t data;
};

struct mix_heap {
	struct mix_event *e;
	size_t n, allocated;
};

void mix_heap_push(struct mix_heap *h, ogl_time at, uint64_t data);
bool mix_heap_pop(struct mix_heap *h, struct mix_event *e);
/* Returns false if the heap is empty. */

void mix_heap_clear(struct mix_heap *h);

#endif
