/*
 * What health.c and health_state.c share: the records of jobs.
 */

#ifndef OGL_HEALTH_IMPL_H
#define OGL_HEALTH_IMPL_H

#include "health.h"

struct ogl_job_record {
	uint64_t job;
	ogl_time used_at;
	uint16_t ok, failed;
};

struct ogl_health {
	struct ogl_job_record (*jobs)[2];
	uint32_t sets;      /* power of two */
	GPtrArray *workers; /* struct worker_record, NULL when none failed */
	struct ogl_health_states *states; /* NULL unless params were given */
};

struct ogl_job_record *ogl_health_job(
    struct ogl_health *h, uint64_t job, ogl_time now);
/* The record of the job, which is made if there is none. */

const struct ogl_job_record *ogl_health_find_job(
    const struct ogl_health *h, uint64_t job);
/* The same; NULL if there is none. */

void ogl_health_job_result(struct ogl_job_record *r, bool ok);

void ogl_health_states_end(struct ogl_health_states *s);

#endif
