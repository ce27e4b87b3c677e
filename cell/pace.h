/*
 * How fast workers run, learned from the progress of their tasks.
 */

#ifndef OGL_CELL_PACE_H
#define OGL_CELL_PACE_H

#include "orioleglade.h"

/* What is known of a worker; zeroed: nothing. */
struct cell_pace {
	double value; /* time taken over time declared, smoothed; 0 not known */
};

/* How far a run was when it was last looked at; zeroed: not yet. */
struct cell_progress {
	uint64_t clock_ms; /* of the worker; 0: not looked at yet */
	uint32_t percent;
};

void cell_pace_look(struct cell_pace *p, struct cell_pace *all,
    struct cell_progress *seen, uint64_t clock_ms, uint32_t percent,
    uint32_t estimate_ms);
/* A run with that declared time was so far at that moment of the worker's
 * clock.  Teaches the worker's pace and that of all workers; an estimate of 0
 * teaches nothing. */

double cell_pace_relative(
    const struct cell_pace *p, const struct cell_pace *all);
/* The worker's pace over that of all: 1 normal, 2 half as fast.  1 while
 * either is unknown. */

bool cell_pace_stands_still(
    const struct cell_progress *seen, uint64_t clock_ms, uint32_t estimate_ms);
/* Whether a run has made no progress for so long that it hardly will: its
 * worker answers, the task does not move. */

#endif
