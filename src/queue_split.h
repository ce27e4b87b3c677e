/*
 * Finds the boundary between short and long work in a histogram of service
 * by level of run time.
 */

#ifndef OGL_QUEUE_SPLIT_H
#define OGL_QUEUE_SPLIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ogl_queue_split {
	uint32_t short_level;   /* highest level that is short */
	double long_mean_level; /* mean level of the long side, by service */
};

bool ogl_queue_split(
    const double *service, size_t levels, struct ogl_queue_split *split);
/* Splits service[0..levels), the service given to each level.  Returns false
 * and leaves *split unchanged when fewer than two levels have any service. */

#endif
