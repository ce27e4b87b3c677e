/*
 * Which new jobs a shard's owner takes: what it remembers of calls that it
 * refused and of the rates at which teams hand in jobs.
 */

#ifndef OGL_CELL_ADMISSION_H
#define OGL_CELL_ADMISSION_H

#include "orioleglade.h"

struct cell_admission;

struct cell_admission *cell_admission_init(void);
void cell_admission_end(struct cell_admission *a);

bool cell_admission_within_rate(struct cell_admission *a, const char *team,
    double rate, double most, ogl_time now);
/* Whether the team keeps to its rate with one more job, which counts from here
 * on: rate jobs a second, and most at a time.  A rate of 0 is kept always. */

void cell_admission_refuse(
    struct cell_admission *a, const char *node, uint64_t token, ogl_time now);
/* Remembers a refused call: the node that passed it on, and its token there. */

bool cell_admission_was_refused(
    const struct cell_admission *a, const char *node, uint64_t token);

void cell_admission_sweep(struct cell_admission *a, ogl_time now);
/* Forgets calls of which no repeat can be on its way any more. */

#endif
