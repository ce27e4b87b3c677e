/*
 * The scheduler of a shard's owner: decides the order in which waiting stages
 * are started, and on which workers.
 */

#ifndef OGL_CELL_SCHEDULE_H
#define OGL_CELL_SCHEDULE_H

#include "advice.h"
#include "escrow.h"
#include "fleet.h"
#include "learned.h"

struct cell_sched;

struct cell_sched_parts {
	const struct cell_ops *ops;
	struct cell_fleet *fleet;
	struct cell_advice *advice;
	struct cell_escrow *escrow;
	struct cell_learned *learned; /* NULL: run times are as declared */
	uint64_t (*next_run)(void *arg, const struct cell_stage *s);
	/* Returns a run number above all that the stage's tasks have had. */
	void (*started)(
	    void *arg, struct cell_stage *s, uint32_t index, ogl_time now);
	void *arg;
};

struct cell_sched *cell_sched_init(const struct cell_sched_parts *parts);
void cell_sched_end(struct cell_sched *s);
void cell_sched_open(struct cell_sched *s, ogl_time now);
/* Called when the shard has been taken over. */
void cell_sched_clear(struct cell_sched *s);
/* Removes all stages and drops the state of all teams. */

void cell_sched_set_config(struct cell_sched *s, struct cell_config *c);
/* Sets the configuration to be used from now on; takes a reference. */

void cell_sched_set_slow_link(struct cell_sched *s, bool slow_link);
/* On a slow link, a question to the advice service names fewer workers. */

void cell_sched_add(struct cell_sched *s, struct cell_stage *st);
/* Adds a stage with waiting tasks; adding it twice changes nothing. */
void cell_sched_remove(struct cell_stage *st);

void cell_sched_pass(struct cell_sched *s, ogl_time now);
/* Starts all tasks that can be started. */

bool cell_sched_due(const struct cell_sched *s, ogl_time now);
/* Whether the interval since the last pass is over. */

bool cell_sched_has_room(struct cell_sched *s, struct cell_stage *st,
    const struct cell_worker *other, ogl_time now);
/* Whether a healthy worker other than `other` has room for a task of the stage
 * now, even if its ticket has expired.  Returns false if any stage recently
 * found no room or was refused by the team's limit: waiting work would then
 * take the place of a task that is stopped to be moved. */

ogl_time cell_sched_forecast(
    struct cell_sched *s, struct cell_job *j, ogl_time now);
/* Returns 0 if a new job is expected to end before its result is worthless.
 * Otherwise returns the time after which such a job can be in time again, if
 * the waiting jobs are started as fast as lately. */

ogl_time cell_sched_expected_start(const struct cell_job *j);
/* After what time the job was expected to start when cell_sched_forecast was
 * called, 0 if nothing was forecast. */

void cell_sched_note_return(
    struct cell_sched *s, struct cell_job *j, ogl_time now);
/* To be called for a new job before cell_sched_forecast.  If its caller was
 * refused and comes back in its return slot, the job goes before those that
 * came after its first attempt. */
bool cell_sched_is_return(
    const struct cell_sched *s, const char *id, ogl_time now);
/* Whether the job's caller comes back now in its return slot. */
void cell_sched_note_accepted(struct cell_sched *s, const struct cell_job *j);
/* Frees the return slot of an accepted job, if it has one. */

/* A refused job.  job is NULL if only its id and queue are known. */
struct cell_refused {
	const char *id;
	const char *queue;
	const struct cell_job *job;
};

uint32_t cell_sched_return_ms(struct cell_sched *s,
    const struct cell_refused *r, ogl_time not_before, ogl_time now);
/* Gives the job's caller a return slot, and returns in how many ms it begins,
 * which is not before that time. */

double cell_sched_objective_ms(const struct cell_sched *s, struct cell_job *j);
/* Time in ms after its acceptance within which the job has to end, by expected
 * run times (see learned.h). */

double cell_sched_measured_objective_ms(
    const struct cell_sched *s, struct cell_job *j);
/* As cell_sched_objective_ms, but with measured run times of the steps where
 * known. */

void cell_sched_run_ended(struct cell_sched *s, const struct cell_run *r,
    enum cell_end how, ogl_time now);
/* Charges the run's team with what the run used, whether its job still needs it
 * or not. */
void cell_sched_job_completed(
    struct cell_sched *s, struct cell_job *j, ogl_time now);
/* Counts the job for its team; to be called while its submission is kept. */
void cell_sched_report_shares(
    const struct cell_sched *s, ogl_share_report_fn *fn, void *arg);
/* Calls fn with the figures of each team. */

size_t cell_sched_waiting(const struct cell_sched *s);
/* Number of waiting stages. */

#endif
