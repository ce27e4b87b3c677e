/*
 * How fast workers run, measured by the progress of their tasks.  A pace is the
 * time taken divided by the time declared: 2 is twice as slow as 1.
 */

#ifndef OGL_CELL_PACE_H
#define OGL_CELL_PACE_H

#include <glib.h>

#include "orioleglade.h"

/* The measured pace of a worker; all zero before the first sample. */
struct cell_pace {
	double value; /* smoothed; 0 not known */
	uint32_t samples;
	double usual; /* mean over a minute of work; 0 not known */
	uint32_t usual_steps;
};

/* Progress of a run when it was last sampled; all zero before that. */
struct cell_progress {
	uint64_t clock_ms; /* the worker's clock, 0 not sampled yet */
	uint32_t percent;
	uint64_t first_ms; /* the worker's clock at the first observation */
	uint32_t first_percent;
};

void cell_pace_observe(struct cell_pace *p, double baseline,
    struct cell_progress *progress, uint64_t clock_ms, uint32_t percent,
    uint32_t estimate_ms);
/* Adds what a run of the worker, with a declared time of estimate_ms, had
 * reached at clock_ms of the worker's clock.  An estimate of 0 is ignored.
 * baseline: the pace of healthy workers, the initial pace of a worker that is
 * not known. */

void cell_pace_observe_stall(struct cell_pace *p, double baseline);
/* Adds a run of the worker that makes no progress. */

double cell_pace_relative(const struct cell_pace *p, double baseline);
/* The pace relative to the baseline: 1 for a worker as fast as a healthy one,
 * or not known; 2 for one half as fast. */

void cell_pace_learn_usual(struct cell_pace *p);
/* Brings the worker's usual pace up to date.  To be called five times a second
 * while the worker runs something. */

bool cell_pace_is_faulty(const struct cell_pace *p, double baseline);
/* Whether the worker has become much slower than it was, or is far slower than
 * any group of healthy workers.  One that is slower by a constant factor is not
 * faulty. */

double cell_pace_straggler_min(const struct cell_pace *p, double baseline);
/* The relative pace from which on a run there may be a straggler. */

double cell_pace_baseline(GArray *values);
/* The pace of healthy workers, given the paces of all workers that are known
 * (double; the array gets sorted); 1 when there are none. */

bool cell_pace_known(const struct cell_pace *p);
/* Whether there are enough samples for the worker to count as known. */

double cell_pace_of_run(const struct cell_progress *progress, uint64_t clock_ms,
    uint32_t estimate_ms);
/* The pace of one run since its first observation; 0 while that is too short a
 * time to tell. */

void cell_pace_decay(struct cell_pace *p, double baseline);
/* Moves the pace towards the baseline.  To be called five times a second while
 * the worker runs nothing. */

bool cell_pace_is_stalled(const struct cell_progress *progress,
    uint64_t clock_ms, uint32_t estimate_ms);
/* Whether a run has made no progress for so long that it is unlikely to finish,
 * although its worker answers. */

#endif
