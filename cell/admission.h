/*
 * Admission of new jobs by a shard's owner: the rate limits of teams, and the
 * calls that were refused lately.
 */

#ifndef OGL_CELL_ADMISSION_H
#define OGL_CELL_ADMISSION_H

#include "orioleglade.h"

struct cell_admission;

struct cell_admission *cell_admission_init(void);
void cell_admission_end(struct cell_admission *a);

bool cell_admission_within_rate(struct cell_admission *a, const char *team,
    double rate, double burst, ogl_time now);
/* Counts one more job of the team and tells whether it is within the team's
 * rate: `rate` jobs a second, and up to `burst` at once.  A rate of 0 is no
 * limit. */

void cell_admission_refuse(
    struct cell_admission *a, const char *node, uint64_t token, ogl_time now);
/* Remembers a refused call by the node that passed it on and its token there.
 */

bool cell_admission_was_refused(
    const struct cell_admission *a, const char *node, uint64_t token);

void cell_admission_sweep(struct cell_admission *a, ogl_time now);
/* Forgets refused calls of which no repeat can arrive any more. */

#endif
