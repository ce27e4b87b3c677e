/*
 * Tasks on workers that have turned slow or stand still.
 */

#ifndef OGL_CELL_STRAGGLER_H
#define OGL_CELL_STRAGGLER_H

#include "fleet.h"
#include "schedule.h"

void cell_straggler_step(
    struct cell_fleet *f, struct cell_sched *s, ogl_time now);
/* Stops the runs that would end sooner if they were started again elsewhere;
 * their tasks wait to be placed then.  To be called every few hundred
 * milliseconds. */

bool cell_straggler_worth_moving(double left_ms, double anew_ms);
/* Whether starting again, which takes anew_ms, gains enough over waiting for
 * left_ms. */

#endif
