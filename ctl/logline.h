/*
 * Log lines of nodes, as collected: `key=value` fields separated by spaces.
 */

#ifndef OGL_CTL_LOGLINE_H
#define OGL_CTL_LOGLINE_H

#include <stdbool.h>

char *ctl_field(const char *line, const char *key);
/* The value of ` key=` in a line, up to the next space, to be freed; NULL: not
 * there. */

double ctl_field_number(const char *line, const char *key);
/* The same as a number; 0: not there. */

typedef void ctl_line_fn(void *arg, const char *line);

bool ctl_read_lines(const char *path, ctl_line_fn *each, void *arg);
/* Calls each for every line of a file, "-" being standard input.  False when it
 * cannot be read, which is told on standard error. */

#endif
