/*
 * Which workers fail more often than the jobs explain: the cell's use of
 * policy/health.h.  The state is that of one owner; it is not stored, and a new
 * owner takes all workers for sound.
 */

#ifndef OGL_CELL_HEALTH_H
#define OGL_CELL_HEALTH_H

#include "policy/health.h"
#include "ops.h"

extern const struct ogl_health_params cell_health_params;

struct cell_health;
struct cell_worker;

struct cell_health *cell_health_init(
    const struct cell_ops *ops, GHashTable *by_serial);
/* by_serial: serial number -> struct cell_worker; borrowed. */
void cell_health_end(struct cell_health *h);

void cell_health_reset(struct cell_health *h);
/* Takes all workers for sound, as a new owner does. */

void cell_health_count(struct cell_health *h, struct cell_worker *w,
    enum ogl_health_evidence kind, const char *job, bool ok, ogl_time now);
/* Counts evidence for or against the worker; job is its id for runs, and NULL
 * for calls. */

void cell_health_step(struct cell_health *h, ogl_time now);
/* Brings the states up to date; may be called at any rate. */

void cell_health_forget(struct cell_health *h, const struct cell_worker *w);
/* To be called before a worker is removed. */

bool cell_health_may_start(const struct cell_worker *w, bool gang);
/* Whether the worker's state allows to start a task there now. */

bool cell_health_proven(const struct cell_worker *w);
/* Whether the worker is sound and has finished a run of this owner. */

#endif
