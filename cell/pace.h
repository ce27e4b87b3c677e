/*
 * How fast workers run, learned from the progress of their tasks.
 */

#ifndef OGL_CELL_PACE_H
#define OGL_CELL_PACE_H

#include <glib.h>

#include "orioleglade.h"

/* What is known of a worker; zeroed: nothing. */
struct cell_pace {
	double value; /* time taken over time declared, smoothed; 0 not known */
	uint32_t samples;
};

/* How far a run was when it was last looked at; zeroed: not yet. */
struct cell_progress {
	uint64_t clock_ms; /* of the worker; 0: not looked at yet */
	uint32_t percent;
	uint64_t first_ms; /* the first look */
	uint32_t first_percent;
};

void cell_pace_look(struct cell_pace *p, double sound,
    struct cell_progress *seen, uint64_t clock_ms, uint32_t percent,
    uint32_t estimate_ms);
/* A run with that declared time was so far at that moment of the worker's
 * clock.  An estimate of 0 teaches nothing.  sound: the pace of workers that are
 * well, from which an unknown worker starts. */

void cell_pace_still(struct cell_pace *p, double sound);
/* One of the worker's runs stands still. */

double cell_pace_relative(const struct cell_pace *p, double sound);
/* 1: as fast as a worker that is well, or not known; 2: half as fast. */

double cell_pace_sound(GArray *values);
/* The pace of workers that are well, given those of all workers that are known
 * (double; gets sorted). */

bool cell_pace_known(const struct cell_pace *p);
/* Whether there were enough looks to count the worker among those. */

double cell_pace_of_run(
    const struct cell_progress *seen, uint64_t clock_ms, uint32_t estimate_ms);
/* The pace of the run alone, from its first look on; 0 while it was looked at
 * for too short a time to tell. */

void cell_pace_fade(struct cell_pace *p, double sound);
/* To be called five times a second while the worker runs nothing: what is known
 * of it grows old. */

bool cell_pace_stands_still(
    const struct cell_progress *seen, uint64_t clock_ms, uint32_t estimate_ms);
/* Whether a run has made no progress for so long that it hardly will: its
 * worker answers, the task does not move. */

#endif
