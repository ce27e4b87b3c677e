/*
 * What a worker has room for, and which stages it could run at all.
 */

#ifndef OGL_CELL_ROOM_H
#define OGL_CELL_ROOM_H

#include "fleet.h"

struct ogl_res cell_worker_room(const struct cell_worker *w);
/* The worker's free capacity. */

gint cell_worker_compare_room(gconstpointer a, gconstpointer b);
/* Orders pointers to workers in an array, those with the most free processor
 * capacity first. */

uint32_t cell_res_tasks(const struct ogl_res *res, const struct ogl_res *need);
/* Number of tasks that the resources are enough for; UINT32_MAX if a task needs
 * nothing. */

uint32_t cell_worker_free_slots(
    const struct cell_worker *w, const struct cell_stage *st);
/* Number of the stage's tasks that fit into the worker's free capacity, at most
 * the number that the step allows on one worker. */
uint64_t cell_workers_free_slots(
    const GPtrArray *workers, const struct cell_stage *st);
/* The same of all workers in the array. */
uint32_t cell_worker_slots(
    const struct cell_worker *w, const struct cell_stage *st);
/* As cell_worker_free_slots, if nothing ran on the worker. */

uint32_t cell_worker_runs_of(
    const struct cell_worker *w, const struct cell_stage *st);
/* Number of runs of the stage on the worker. */

bool cell_worker_could_run(
    const struct cell_worker *w, const struct cell_stage *st);
/* Whether the worker's service, labels and total capacity suit the stage. */

#endif
