/*
 * Retry budget: bounds the number of retries by the number of successes.
 */

#ifndef OGL_BUDGET_H
#define OGL_BUDGET_H

#include "orioleglade.h"

struct ogl_budget {
	double tokens;        /* retries allowed now */
	ogl_time refilled_at; /* when time last added tokens */
};

void ogl_budget_init(struct ogl_budget *b, ogl_time now);

void ogl_budget_success(struct ogl_budget *b);
/* Adds a fraction of a retry for a request that succeeded. */

bool ogl_budget_take(struct ogl_budget *b, ogl_time now);
/* Spends one retry; false if none is left. */

#endif
