/*
 * Orders that the shipping one is measured against.
 */

#ifndef OGL_LIB_BASELINE_H
#define OGL_LIB_BASELINE_H

#include "queue.h"

extern const struct ogl_queue_policy baseline_fcfs; /* first come */
extern const struct ogl_queue_policy baseline_sjf;  /* shortest declared */
extern const struct ogl_queue_policy baseline_wfq;  /* plain weighted fair */

#endif
