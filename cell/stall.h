/*
 * Tells why accepted jobs that could run have nothing running: log lines with
 * all that a start depends on, and counters by reason.  Nothing is decided by
 * it.
 */

#ifndef OGL_CELL_STALL_H
#define OGL_CELL_STALL_H

#include "fleet.h"

struct cell_sched;
struct cell_stall;

struct cell_stall *cell_stall_init(
    const struct cell_ops *ops, const struct cell_sched *s);
/* s is borrowed. */
void cell_stall_end(struct cell_stall *x);

void cell_stall_step(struct cell_stall *x, GHashTable *jobs, ogl_time now);
/* Looks at all jobs (id -> struct cell_job) if a second has passed since the
 * last time. */

/* Why a stage can't use a worker that it may run on and that has room for one
 * of its tasks.  Values below CELL_NUNUSABLE are enum cell_unusable. */
enum cell_unplaced {
	CELL_UNPLACED_RESERVED = CELL_NUNUSABLE, /* for a waiting gang */
	CELL_UNPLACED_WORKER_MAX, /* runs worker_max of its tasks */
	CELL_UNPLACED_REBORN,     /* the ticket is for an earlier incarnation */
	CELL_UNPLACED_EXPIRED,    /* the ticket has expired */
	CELL_NUNPLACED
};

/* The workers that have room for a task of a stage. */
struct cell_stall_room {
	unsigned allowed; /* the service allows them, or isn't asked */
	unsigned refused; /* the service has answered without a ticket */
	unsigned unasked; /* the service has not answered for them */
	unsigned askable[CELL_NUNUSABLE]; /* unasked ones by reason */
	uint64_t places; /* tasks for which the allowed ones have room */
	uint64_t usable; /* the same on those in unplaced[CELL_USABLE] */
	unsigned unplaced[CELL_NUNPLACED]; /* allowed ones by reason */
};

struct cell_stall_room cell_stall_count_room(
    const struct cell_sched *s, const struct cell_stage *st, ogl_time now);
/* Looks at all workers. */

#endif
