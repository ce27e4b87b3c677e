/*
 * Load shedding: an overloaded owner refuses a fraction of the new jobs.
 */

#ifndef OGL_CELL_LOAD_H
#define OGL_CELL_LOAD_H

#include <stdbool.h>

#include "orioleglade.h"

struct cell_load {
	ogl_time stepped_at;     /* last call of cell_load_step */
	ogl_time last_late_at;   /* last wakeup that came late, 0 none */
	double refused_fraction; /* fraction of the new jobs to refuse */
	double admit_credit;     /* a job is admitted once this reaches 1 */
	double fall_per_second;  /* fall of refused_fraction, 0 the default */
};

void cell_load_step(struct cell_load *l, ogl_time due, ogl_time now);
/* The process runs at `now` and had asked to run at `due` at the latest; due
 * is 0 if it has not asked yet. */

bool cell_load_admit(struct cell_load *l);
/* Whether the next new job is admitted; to be called once for each job. */
bool cell_load_refusing(const struct cell_load *l);
/* Whether some of the new jobs are refused. */

#endif
