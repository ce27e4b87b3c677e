/*
 * Chooses the workers that a question to the advice service names.
 */

#ifndef OGL_CELL_QUESTION_H
#define OGL_CELL_QUESTION_H

#include "cell_config.h"
#include "job.h"

/* The workers that a question is chosen from, and what is known of them.  All
 * arrays hold struct cell_worker and are borrowed. */
struct cell_question_scope {
	const struct cell_policy *policy;
	const GPtrArray *schedulable; /* take work; most room first */
	/* Approved workers with room for a task, by whether their tickets are
	 * still valid. */
	const GPtrArray *valid;
	const GPtrArray *expired;
	double approved_share; /* fraction of workers that is approved */
	bool slow_link;        /* tickets of unneeded workers cost too much */
	bool fullest_first;    /* use up the small rooms of nearly full ones */
	bool overdue;          /* name as many as the service takes */
	ogl_time now;
};

void cell_question_first(const struct cell_question_scope *q,
    const struct cell_stage *st, GPtrArray *workers);
/* Lists workers for the first question of a stage. */

void cell_question_more(const struct cell_question_scope *q,
    const struct cell_stage *st, GPtrArray *workers);
/* Lists workers that the stage has not asked about yet.  The list is empty if
 * their approval is not expected to let a task start. */

void cell_question_renew(const struct cell_question_scope *q,
    const struct cell_stage *st, GPtrArray *workers);
/* Lists approved workers whose tickets have expired.  The list is empty if new
 * tickets would not let a task start. */

double cell_question_first_ms(const struct cell_policy *p,
    const Ogl__CellStep *step, uint32_t tasks, double approved_share);
/* Time that the first question for so many waiting tasks is expected to take. */

#endif
