/*
 * Holds a history against what must always hold: one named check a point,
 * each finding with the shortest set of lines that shows it.
 */

#ifndef OGL_CHECK_H
#define OGL_CHECK_H

#include "history.h"

#ifdef __cplusplus
extern "C" {
#endif

/* How long after a change its effect may be lacking. */
struct ogl_check_times {
	ogl_time withdrawn; /* a withdrawn key still works */
	ogl_time lowered;   /* a team is above a lowered limit */
	ogl_time leaving;   /* a leaving target is given work */
	ogl_time in_force;  /* an edit is not in force at some node */
	ogl_time settle;    /* a fault that is over still breaks calls */
};

struct ogl_check;

struct ogl_check_point {
	const char *name;
	const char *rule;
	void (*check)(struct ogl_check *c);
};

extern const struct ogl_check_point ogl_check_points[];
/* Ends with a NULL name. */

struct ogl_check_finding {
	const struct ogl_check_point *point;
	char *text;
	GPtrArray *lines; /* of const struct history_event, in order */
};

void ogl_check_times_default(struct ogl_check_times *t);

struct ogl_check *ogl_check_run(
    struct ogl_history *h, const struct ogl_check_times *t);
/* Sorts the history and checks every point.  The history must stay as it is
 * while the result is used. */

void ogl_check_end(struct ogl_check *c);

const struct ogl_check_finding *ogl_check_findings(
    const struct ogl_check *c, size_t *n);
/* At most FAKE_CHECK_MAX a point. */

#define FAKE_CHECK_MAX 10

bool ogl_check_whole(const struct ogl_check *c);
/* Whether the history has its end mark; without one nothing is said of
 * answers and jobs that are missing at its end. */

char *ogl_check_report(const struct ogl_check *c);
/* Every finding with its lines, for people; "" when there is none; g_free. */

#ifdef __cplusplus
}
#endif

#endif
