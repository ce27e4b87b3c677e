/*
 * JSON as readable text.
 */

#ifndef CTL_PRINT_H
#define CTL_PRINT_H

#include <jansson.h>
#include <stdio.h>

void ctl_print(FILE *out, const json_t *v);
/* A list of objects as a table, an object as lines and its lists as tables
 * below, anything else as it is. */

void ctl_print_table(FILE *out, const json_t *rows);
/* Columns are the objects' fields in the order in which they are met. */

#endif
