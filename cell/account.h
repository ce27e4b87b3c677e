/*
 * What an owner records of jobs: log lines, which may be left out when there
 * are too many, and counters, which are exact.
 *
 * jobs_ended{queue,team,outcome} counts the jobs whose end this node has
 * stored, and the submissions that it has refused.  jobs_late_ms{queue,cause}
 * has the time of the late ones, by what the job waited for; each moment of a
 * job counts for one cause.
 */

#ifndef OGL_CELL_ACCOUNT_H
#define OGL_CELL_ACCOUNT_H

#include "job.h"
#include "ops.h"

struct cell_account;

struct cell_account *cell_account_init(const struct cell_ops *ops);
void cell_account_end(struct cell_account *a);
void cell_account_clear(struct cell_account *a);
/* Forgets the jobs whose end is not stored. */

void cell_account_refused(
    struct cell_account *a, const char *queue, const char *team);
/* Counts a refused submission. */

void cell_account_look(struct cell_job *j, ogl_time now);
/* To be called when the job's stages may have begun or ceased to wait. */
void cell_account_resume(struct cell_job *j, ogl_time now);
/* The job was read at a takeover.  What it waited for before is not known. */

void cell_account_job_ends(struct cell_account *a, struct cell_job *j,
    Ogl__CellJobState state, double objective_ms, ogl_time now);
/* The job has ended as state; to be called before it is cleared.  objective_ms:
 * time from acceptance within which it had to end. */
void cell_account_end_stored(
    struct cell_account *a, const char *id, ogl_time now);
/* The end of the job is stored, so callers are told of it from now on. */

void cell_log_job(const struct cell_ops *ops, const char *part,
    const char *event, const char *id, ogl_time accepted, const char *text);
/* Writes a log line about a job.  accepted: when it was accepted, by the node's
 * clock; OGL_NEVER if it is not known. */

#endif
