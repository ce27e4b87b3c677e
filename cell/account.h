/*
 * What an owner records of jobs: log lines and counters.
 */

#ifndef OGL_CELL_ACCOUNT_H
#define OGL_CELL_ACCOUNT_H

#include "ops.h"

void cell_log_job(const struct cell_ops *ops, const char *part,
    const char *event, const char *id, ogl_time began, const char *text);
/* Writes a log line about a job.  began: when the job was accepted, by the
 * node's clock; OGL_NEVER if it is not known. */

#endif
