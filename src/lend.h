/*
 * Preemption of tasks that run on lent capacity: chooses which running tasks to
 * stop for the waiting work of a team that holds less than it is entitled to.
 *
 * A round starts with ogl_lend_begin, continues with one call for every
 * schedulable worker, every placed task and every piece of waiting work, and
 * ends with ogl_lend_decide.  Tasks on workers that are not schedulable are
 * added with OGL_LEND_NO_WORKER: they count as held by their team and are not
 * preempted.
 */

#ifndef OGL_LEND_H
#define OGL_LEND_H

#include "orioleglade.h"

#define OGL_LEND_NO_WORKER UINT32_MAX
#define OGL_LEND_MIN_WAIT_MS 5000 /* least wait before it preempts */

struct ogl_lend;

struct ogl_lend_task {
	uint64_t id;  /* the same for each run of the task, never 0 */
	uint64_t job; /* all tasks of a gang are preempted together */
	const char *team;
	Ogl__Kind kind;
	struct ogl_res res;
	uint32_t worker; /* as returned by ogl_lend_add_worker */
	ogl_time since;  /* start of this run */
	bool restartable;
	bool stopping;
};

struct ogl_lend_pending {
	const char *team;
	struct ogl_res res; /* per task */
	uint32_t tasks;     /* a gang's size, else 1 */
	/* Position among the work that reached the head of the queue and
	 * found no room, from 1; 0 for work that did not reach it. */
	uint32_t queue_position;
	ogl_time since;
};

struct ogl_lend_preemption {
	size_t task; /* index in the order of ogl_lend_add_task, from 0 */
	Ogl__StopMode mode;
	/* Run time so far; 0 if preempted in an earlier round. */
	ogl_time lost_run_time;
};

struct ogl_lend *ogl_lend_init(void);
void ogl_lend_end(struct ogl_lend *l);

void ogl_lend_set_weight(struct ogl_lend *l, const char *team, double share);
/* Sets the weight of a team among its siblings; ignored unless above 0. */

ogl_time ogl_lend_next(const struct ogl_lend *l);
/* The time when the next round is due. */

void ogl_lend_begin(struct ogl_lend *l, ogl_time now);
uint32_t ogl_lend_add_worker(struct ogl_lend *l, const struct ogl_res *capacity,
    const struct ogl_res *room);
void ogl_lend_add_task(struct ogl_lend *l, const struct ogl_lend_task *t);
void ogl_lend_add_pending(struct ogl_lend *l, const struct ogl_lend_pending *w);
/* ogl_lend_add_worker returns the worker's number in this round.  room is the
 * free part of capacity.  Strings must stay valid until the round ends. */

size_t ogl_lend_decide(struct ogl_lend *l, ogl_time now,
    const struct ogl_lend_preemption **preemptions);
/* Ends the round.  Returns the number of preemptions; they stay valid until
 * the next round begins. */

bool ogl_lend_was_preempted(const struct ogl_lend *l, uint64_t id);
/* Whether the task was preempted lately, so that it is to be placed before
 * others. */

#endif
