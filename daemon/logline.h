/*
 * Structured log lines: time, node, part and event, then `key=value` pairs.
 * Bounded in number and never blocking: what is left out is counted and told.
 */
#ifndef OGL_LOGLINE_H
#define OGL_LOGLINE_H

#include "orioleglade.h"

struct ogl_logline;

struct ogl_logline *ogl_logline_init(int fd, const char *node);
/* The descriptor stays the caller's. */
void ogl_logline_end(struct ogl_logline *l);
/* Writes what it can without waiting. */

void ogl_logline_put(struct ogl_logline *l, const char *part, const char *event,
    const char *text, ogl_time now, ogl_time wall);
/* One line; control characters become spaces.  Beyond its event's budget the
 * line is left out. */

void ogl_logline_flush(struct ogl_logline *l);
/* Writes as much as the descriptor takes at once. */

uint64_t ogl_logline_left_out(const struct ogl_logline *l);

#endif
