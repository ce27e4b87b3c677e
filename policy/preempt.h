/*
 * Preemption by rank: chooses which runs to stop to make room for waiting work
 * of a higher rank that would otherwise be late.
 *
 * A round starts with ogl_preempt_begin, continues with one call for each
 * worker and each run on it, and then decides for any number of needs, in the
 * order in which they are to be placed.
 */

#ifndef OGL_PREEMPT_H
#define OGL_PREEMPT_H

#include "orioleglade.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Larger gangs would need room on many workers at the same time. */
#define OGL_PREEMPT_TASKS_MAX 6

struct ogl_preempt; /* keeps the rate of preemption between rounds */

struct ogl_preempt_run {
	struct ogl_res res;
	uint32_t rank; /* 0 is the highest */
	bool saves_checkpoints;
	bool gang;
	double since_checkpoint_ms; /* since its start if there is none yet */
	double restart_ms; /* restore of the checkpoint and a new question */
	double run_ms;     /* expected run time of the whole task */
	double left_ms;    /* expected time to its end */
	/* Since the task was last stopped; INFINITY if it never was. */
	double since_stopped_ms;
};

/* A worker on which the waiting tasks may be placed. */
struct ogl_preempt_place {
	size_t worker;      /* as returned by ogl_preempt_add_worker */
	uint32_t tasks_max; /* of these tasks */
};

struct ogl_preempt_need {
	struct ogl_res res; /* of each task */
	uint32_t tasks;     /* either all of them get room or none */
	uint32_t rank;
	double core_ms;  /* of all that is late if these tasks are */
	double slack_ms; /* time until a start is too late to be in time */
	const struct ogl_preempt_place *places;
	size_t nplaces;
};

struct ogl_preempt_stop {
	size_t worker;
	size_t run;     /* position among the runs of the worker, from 0 */
	double cost_ms; /* core-milliseconds that are lost */
};

struct ogl_preempt *ogl_preempt_init(void);
void ogl_preempt_end(struct ogl_preempt *p);

void ogl_preempt_begin(
    struct ogl_preempt *p, uint64_t running_cpu_milli, ogl_time now);
/* running_cpu_milli: of all runs, also those that are not added. */
size_t ogl_preempt_add_worker(
    struct ogl_preempt *p, const struct ogl_res *room);
void ogl_preempt_add_run(
    struct ogl_preempt *p, size_t worker, const struct ogl_preempt_run *r);
/* Adds a run of the worker that was added last. */

size_t ogl_preempt_choose(struct ogl_preempt *p,
    const struct ogl_preempt_need *need, const struct ogl_preempt_stop **stops,
    double *gain_ms);
/* Returns the number of runs to stop, 0 for none.  The array stays valid until
 * the next call.  Room that is found for the need, now or by the end of runs,
 * is not found again for later needs of the round. */

#ifdef __cplusplus
}
#endif

#endif
