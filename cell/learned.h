/*
 * Run times of steps as learned from the runs of this owner (see
 * policy/runtime.h), for use by the scheduler.
 */

#ifndef OGL_CELL_LEARNED_H
#define OGL_CELL_LEARNED_H

#include "fleet.h"

struct cell_learned;

struct cell_learned *cell_learned_init(const struct cell_ops *ops);
void cell_learned_end(struct cell_learned *l);
void cell_learned_clear(struct cell_learned *l);
/* Forgets everything, as after a takeover. */

void cell_learned_run_ended(struct cell_learned *l, const struct cell_run *r,
    enum cell_end how, double pace, ogl_time now);
/* Learns from the end of a run that its stage still has.  pace: that of the
 * run's worker, 0 not known.  To be called before the end is applied to the
 * job, as the checkpoint tells whether the run began with its task. */

void cell_learned_update_job(
    struct cell_learned *l, struct cell_job *j, ogl_time now);
/* Estimates the run times of the job's steps, unless that was done lately.
 * Without an l the declared times are kept. */

double cell_learned_run_ms(const struct cell_job *j, uint32_t step);
/* Expected time of a run of the step on a healthy worker: the estimate of the
 * last update, or the declared time while the queue has too few samples. */
double cell_learned_chain_from_ms(const struct cell_job *j, uint32_t step);
/* As cell_job.chain_from_ms, of expected run times. */
double cell_learned_chain_ms(const struct cell_job *j);
/* As cell_job.chain_ms, of expected run times. */

#endif
