/*
 * How much new work the owner of the cell takes on.
 */

#ifndef OGL_CELL_LOAD_H
#define OGL_CELL_LOAD_H

#include <stdbool.h>

#include "orioleglade.h"

struct cell_load {
	ogl_time stepped_at;
	ogl_time late_at; /* last moment that came late, 0 none */
	double part;      /* of the new jobs that is refused, 0 none */
	double credit;    /* of a job to be taken */
	double fall;      /* of part, a second; 0: the usual */
};

void cell_load_step(struct cell_load *l, ogl_time wanted, ogl_time now);
/* The process runs now; it had asked to run at `wanted` at the latest, 0 when
 * it had not asked yet. */

bool cell_load_takes(struct cell_load *l);
/* Whether the next new job is taken. */
bool cell_load_full(const struct cell_load *l);
/* Whether some are refused. */

#endif
