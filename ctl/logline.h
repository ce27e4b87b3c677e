/*
 * Collected log lines of nodes: `key=value` fields separated by spaces.
 */

#ifndef OGL_CTL_LOGLINE_H
#define OGL_CTL_LOGLINE_H

#include <stdbool.h>

char *ctl_field(const char *line, const char *key);
/* Returns the value of key in a line, which ends at the next space.  NULL if
 * the key is missing.  The caller frees it with g_free(). */

double ctl_field_number(const char *line, const char *key);
/* Returns the value of key as a number, 0 if the key is missing. */

typedef void ctl_line_fn(void *arg, const char *line);

bool ctl_read_lines(const char *path, ctl_line_fn *on_line, void *arg);
/* Calls on_line for every line of a file; "-" is standard input.  Returns
 * false, with a message on standard error, if the file cannot be opened. */

#endif
