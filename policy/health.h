/*
 * Failure records of workers and jobs, see health.c.
 */

#ifndef OGL_HEALTH_H
#define OGL_HEALTH_H

#include "orioleglade.h"

struct ogl_health; /* failures of workers and jobs */

struct ogl_health *ogl_health_init(void);
void ogl_health_end(struct ogl_health *h);

bool ogl_health_result(
    struct ogl_health *h, uint32_t w, uint64_t job, bool ok, ogl_time now);
/* Records the end of a task of the job on worker w.  Returns whether the
 * worker is suspect and should be quarantined. */

ogl_time ogl_health_start_quarantine(
    struct ogl_health *h, uint32_t w, ogl_time now);
/* Records that worker w is quarantined; returns when its cooldown ends. */

void ogl_health_resize(struct ogl_health *h, uint32_t workers);
/* Enlarges the table of jobs if it is too small for this many workers. */

size_t ogl_health_bytes(const struct ogl_health *h);

void ogl_health_remove_worker(struct ogl_health *h, uint32_t w);
/* Drops the record of worker w. */

#endif
