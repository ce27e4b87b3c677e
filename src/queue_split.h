/*
 * What counts as short, out of the service given by level of run time.
 */

#ifndef OGL_QUEUE_SPLIT_H
#define OGL_QUEUE_SPLIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ogl_queue_split {
	uint32_t short_level; /* highest level of the lower side */
	double high_mean;     /* mean level of the upper side */
};

bool ogl_queue_split(
    const double *service, size_t levels, struct ogl_queue_split *split);
/* Splits a histogram of service by level; false, and *split unchanged, when
 * fewer than two levels hold anything. */

#endif
