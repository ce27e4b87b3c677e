/*
 * Decides the number of shards of a new cell from the list of workers.
 */

#ifndef OGL_CELL_PLAN_H
#define OGL_CELL_PLAN_H

#include "shards.h"

struct cell_plan;

struct cell_plan_events {
	void (*decided)(void *arg, uint32_t shards, ogl_time now);
	/* May be called again for a later count, as long as cell_plan_step is
	 * called. */
	bool (*takes_turn)(void *arg, ogl_time now);
	/* Whether this node is the one that counts; called before each read. */
	void *arg;
};

struct cell_plan *cell_plan_init(const struct cell_ops *ops,
    const struct cell_plan_events *events, uint32_t cpu_milli, uint64_t seed);
/* cpu_milli: this machine's processor capacity in thousandths of a core, 0 if
 * unknown; a small machine waits longer, so that others decide first.  seed:
 * random number for the delay. */
void cell_plan_end(struct cell_plan *p);

void cell_plan_step(struct cell_plan *p, ogl_time now);
/* To be called periodically while the number of shards is not known. */

#endif
