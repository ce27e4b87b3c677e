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
	/* A worker's entry was read; e is NULL if deleted or malformed. */
	void (*list_read)(void *arg, GHashTable *listed, ogl_time now);
	/* The whole list was read; listed is the set of the ids on it. */
	void *arg;
};

struct cell_roster *cell_roster_init(
    const struct cell_ops *ops, const struct cell_roster_events *events);
void cell_roster_end(struct cell_roster *r);

void cell_roster_open(struct cell_roster *r, ogl_time now);
/* Begins to read the whole list. */
void cell_roster_close(struct cell_roster *r);

void cell_roster_step(struct cell_roster *r, ogl_time now);
/* Sends the next read when it is due. */
bool cell_roster_loaded(const struct cell_roster *r);
/* Whether the whole list was read since cell_roster_open. */

#endif
