/*
 * Prints JSON as readable text.
 */

#ifndef CTL_PRINT_H
#define CTL_PRINT_H

#include <jansson.h>
#include <stdio.h>

void ctl_print(FILE *out, const json_t *v);
/* Prints a list of objects as a table, an object as one line per field followed
 * by a table for each list of objects in it, and any other value as it is. */

void ctl_print_table(FILE *out, const json_t *rows);
/* Prints a list of objects as a table.  The columns are their fields, in order
 * of first occurrence. */

#endif
