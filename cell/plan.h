/*
 * How many shards a new cell gets: by the workers that the platform lists.
 */

#ifndef OGL_CELL_PLAN_H
#define OGL_CELL_PLAN_H

#include "shards.h"

struct cell_plan;

struct cell_plan_events {
	void (*decided)(void *arg, uint32_t shards, ogl_time now);
	/* Told again until cell_plan_step is no longer called. */
	void *arg;
};

struct cell_plan *cell_plan_init(const struct cell_ops *ops,
    const struct cell_plan_events *events, uint32_t strength, uint64_t seed);
/* strength: thousandths of a processor; weak machines leave it to others. */
void cell_plan_end(struct cell_plan *p);

void cell_plan_step(struct cell_plan *p, ogl_time now);
/* To be called while no number of shards is known. */

#endif
