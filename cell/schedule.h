/*
 * Who goes next and where to: the owner's order of waiting work and the
 * choice of workers.
 */

#ifndef OGL_CELL_SCHED_H
#define OGL_CELL_SCHED_H

#include "advice.h"
#include "escrow.h"
#include "fleet.h"

struct cell_sched;

struct cell_sched_parts {
	const struct cell_ops *ops;
	struct cell_fleet *fleet;
	struct cell_advice *advice;
	struct cell_escrow *escrow;
	uint64_t (*next_run)(void *arg, const struct cell_stage *s);
	/* A run number above all that the stage's tasks have had. */
	void (*started)(
	    void *arg, struct cell_stage *s, uint32_t index, ogl_time now);
	void *arg;
};

struct cell_sched *cell_sched_init(const struct cell_sched_parts *parts);
void cell_sched_end(struct cell_sched *s);
void cell_sched_clear(struct cell_sched *s);
/* Forgets all waiting work. */

void cell_sched_config(struct cell_sched *s, struct cell_config *c);
/* The configuration in force from now on. */

void cell_sched_spare(struct cell_sched *s, bool spare);
/* The link is thin: fewer workers are asked about at a time. */

void cell_sched_add(struct cell_sched *s, struct cell_stage *st);
/* The stage has tasks that wait; adding it twice changes nothing. */
void cell_sched_remove(struct cell_stage *st);

void cell_sched_pass(struct cell_sched *s, ogl_time now);
/* Starts what can be started. */

bool cell_sched_due(const struct cell_sched *s, ogl_time now);
/* Whether the last pass is long enough ago. */

bool cell_sched_has_room(struct cell_sched *s, struct cell_stage *st,
    const struct cell_worker *other, ogl_time now);
/* Whether a worker other than that one, and no slower than most, could be given
 * a task of the stage now, but for a ticket that may have to be asked anew, and
 * nothing else waits for the room or for its team's limit: what is stopped then
 * would lose its place. */

double cell_sched_objective_ms(const struct cell_sched *s, struct cell_job *j);
/* How long the job may take from its acceptance on to be in time. */

double cell_sched_took_objective_ms(
    const struct cell_sched *s, struct cell_job *j);
/* The same by what the job's runs took, as far as that is known. */

size_t cell_sched_waiting(const struct cell_sched *s);
/* Stages that wait. */

#endif
