/*
 * Follows the platform's list of workers.
 */

#ifndef OGL_CELL_ROSTER_H
#define OGL_CELL_ROSTER_H

#include "ops.h"

struct cell_roster;

struct cell_roster_events {
	void (*entry)(void *arg, const char *id,
	    const struct cell_worker_entry *e, ogl_time now);
	/* A worker is on the list; e NULL: no longer, or unreadable. */
	void (*whole)(void *arg, GHashTable *named, ogl_time now);
	/* The list was read from its beginning; named: set of the ids on it. */
	void *arg;
};

struct cell_roster *cell_roster_init(
    const struct cell_ops *ops, const struct cell_roster_events *events);
void cell_roster_end(struct cell_roster *r);

void cell_roster_open(struct cell_roster *r, ogl_time now);
void cell_roster_close(struct cell_roster *r);

void cell_roster_step(struct cell_roster *r, ogl_time now);
/* Reads on when it is time. */
bool cell_roster_loaded(const struct cell_roster *r);
/* Whether all of the list was read since the opening. */

#endif
