/*
 * Tasks that a new owner does not start yet, since they may be running on a
 * worker that had stopped answering, or was draining, before the takeover.
 * They are not related to the holds of fleet.h, which renew leases.
 */

#ifndef OGL_CELL_HELD_H
#define OGL_CELL_HELD_H

#include "known.h"

struct cell_held;

typedef struct cell_stage *cell_stage_lookup_fn(
    void *arg, const struct cell_task_name *name);
/* Returns the stage of the task, or NULL if its job has ended. */

struct cell_held *cell_held_init(cell_stage_lookup_fn *find_stage, void *arg);
void cell_held_end(struct cell_held *h);

void cell_held_add(struct cell_held *h, const Ogl__CellKnown *k);
/* Holds back the tasks listed in k, the worker's entry in the stored record of
 * the workers (known.h), until they are released. */

void cell_held_release(struct cell_held *h, const char *worker, ogl_time now);
/* To be called when the worker has reported what it runs, or when it has ended.
 * The tasks held back for it may then be started, unless they are held back for
 * another worker too. */

void cell_held_release_all(struct cell_held *h, ogl_time now);
/* To be called when the leases of all workers have expired. */

void cell_held_clear(struct cell_held *h);
/* Forgets all held tasks without releasing them in their stages. */

#endif
