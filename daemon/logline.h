/*
 * Structured log lines: time, node, part and event, then `key=value` pairs.
 * The number of lines is limited, and writing never blocks.  Lines that are
 * left out are counted, and the count is logged.
 */
#ifndef OGL_LOGLINE_H
#define OGL_LOGLINE_H

#include "orioleglade.h"

struct ogl_logline;

struct ogl_logline *ogl_logline_init(int fd, const char *node);
/* The caller closes fd, after ogl_logline_end(). */
void ogl_logline_end(struct ogl_logline *l);
/* Writes what fd takes without blocking, and frees l. */

void ogl_logline_put(struct ogl_logline *l, const char *part, const char *event,
    const char *text, ogl_time now, ogl_time wall);
/* Adds a line; control characters in it become spaces.  The line is left out if
 * its event has reached its limit for this second or, if it names a job
 * (job=ID), if the job is not in the sample.  now is the node's clock, wall the
 * time since the epoch. */
void ogl_logline_put_job(struct ogl_logline *l, const char *part,
    const char *event, const char *id, ogl_time began, const char *text,
    ogl_time now, ogl_time wall);
/* Adds a line about a job, which names it in front of the text.  All lines of a
 * job that have the same time `began` (the node's clock) are kept or left out
 * together. */

void ogl_logline_put_unsampled(struct ogl_logline *l, const char *part,
    const char *event, const char *text, ogl_time now, ogl_time wall);
/* As ogl_logline_put, but the line is also written if it names a job that is
 * not in the sample. */

void ogl_logline_flush(struct ogl_logline *l);
/* Writes what fd takes without blocking. */

uint64_t ogl_logline_left_out(const struct ogl_logline *l);
/* Number of lines left out so far. */

#endif
