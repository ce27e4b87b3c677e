/*
 * Baseline policies that the queue's own policy is compared with.
 */

#ifndef OGL_LIB_BASELINE_H
#define OGL_LIB_BASELINE_H

#include "queue.h"

/* First come first served. */
extern const struct ogl_queue_policy baseline_fcfs;
/* Shortest declared run time first. */
extern const struct ogl_queue_policy baseline_sjf;
/* Weighted fair queueing. */
extern const struct ogl_queue_policy baseline_wfq;

#endif
