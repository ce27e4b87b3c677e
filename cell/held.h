/*
 * Tasks that a new owner holds back, since they may run on a worker that had
 * gone silent before the takeover.
 */

#ifndef OGL_CELL_HELD_H
#define OGL_CELL_HELD_H

#include "known.h"

struct cell_held;

typedef struct cell_stage *cell_stage_fn(
    void *arg, const struct cell_task_name *name);
/* The stage of a task whose job is not over, else NULL. */

struct cell_held *cell_held_init(cell_stage_fn *stage, void *arg);
void cell_held_end(struct cell_held *h);

void cell_held_add(
    struct cell_held *h, const Ogl__CellKnown *k, ogl_time until);
/* Holds back the tasks that the record names until that time at the latest. */

void cell_held_release(struct cell_held *h, const char *worker, ogl_time now);
/* The worker has told what it runs, or has ended: what is not known to run there
 * may start, unless another worker holds it back too. */

void cell_held_clear(struct cell_held *h);

#endif
