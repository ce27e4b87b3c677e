/*
 * Callers' questions for the state of a job that are answered as soon as the
 * job's end may be told, or after a short wait.
 */

#ifndef OGL_CELL_WATCH_H
#define OGL_CELL_WATCH_H

#include "ops.h"

struct cell_watch;

struct cell_watch_events {
	void (*answer)(
	    void *arg, const char *to, uint64_t token, const char *job);
	/* Answers the question of the node at `to` with the job's state. */
	void *arg;
};

struct cell_watch *cell_watch_init(const struct cell_watch_events *events);
void cell_watch_end(struct cell_watch *w);

void cell_watch_add(struct cell_watch *w, const char *job, const char *to,
    uint64_t token, ogl_time until);
/* Keeps the question until then at the latest. */

void cell_watch_job_ended(struct cell_watch *w, const char *job);
/* Answers all questions for the job, whose end may now be told. */

void cell_watch_step(struct cell_watch *w, ogl_time now);
/* Answers the questions that have waited long enough. */

ogl_time cell_watch_wake(const struct cell_watch *w);
/* When to call cell_watch_step next, OGL_NEVER if no question waits. */

void cell_watch_clear(struct cell_watch *w);
/* Answers all questions. */

#endif
