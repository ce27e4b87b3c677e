/*
 * Retry budget: retries are a bounded part of what succeeds.
 */

#ifndef OGL_BUDGET_H
#define OGL_BUDGET_H

#include "orioleglade.h"

struct ogl_budget {
	double tokens; /* retries that may be made now */
	ogl_time last; /* when the trickle was last added */
};

void ogl_budget_init(struct ogl_budget *b, ogl_time now);

void ogl_budget_success(struct ogl_budget *b);
/* A request succeeded; a part of a retry is earned. */

bool ogl_budget_take(struct ogl_budget *b, ogl_time now);
/* Takes one retry; false when none is left. */

#endif
