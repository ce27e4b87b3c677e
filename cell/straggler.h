/*
 * Moves tasks away from workers that have become slow or make no progress.
 */

#ifndef OGL_CELL_STRAGGLER_H
#define OGL_CELL_STRAGGLER_H

#include "fleet.h"
#include "schedule.h"

void cell_straggler_step(
    struct cell_fleet *f, struct cell_sched *s, ogl_time now);
/* Stops the runs that would end sooner if they were restarted on another
 * worker; their tasks then wait to be placed again.  To be called five times a
 * second. */

bool cell_straggler_is_slow(const struct cell_run *r, double worker_pace,
    double pace_min, bool *stalled);
/* Whether a run is stalled, or slow on a slow worker, and would end sooner if it
 * was restarted.  worker_pace: the pace of its worker relative to others;
 * pace_min: the least pace of a slow run on a slow worker. */

bool cell_straggler_worth_moving(double remaining_ms, double restart_ms);
/* Whether a restart, which takes restart_ms, gains enough over waiting for
 * remaining_ms. */

#endif
