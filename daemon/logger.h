/* Writes one line per event to a stream: time, level, prefix, sentence. */
#ifndef OGL_LOGGER_H
#define OGL_LOGGER_H

#include <stdio.h>

#include "orioleglade.h"

struct ogl_logger;

struct ogl_logger *ogl_logger_init(FILE *to, enum ogl_log_level level);
void ogl_logger_end(struct ogl_logger *l);

void ogl_logger_set_level(struct ogl_logger *l, enum ogl_log_level level);

bool ogl_log_level_parse(const char *name, enum ogl_log_level *level);
/* Parses "error", "warn", "info" or "debug"; returns false for others. */

void ogl_log(struct ogl_logger *l, enum ogl_log_level level, const char *prefix,
    const char *fmt, ...) G_GNUC_PRINTF(4, 5);
/* Writes the line unless it is less severe than the logger's level.  Line feeds
 * and other control characters become spaces, so that text from a peer or
 * caller can't forge a second line. */

#endif
