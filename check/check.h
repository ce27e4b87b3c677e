/*
 * Checks the history of a run against the invariants of the system.  Each
 * invariant has a name and a check of its own, and each finding has the
 * smallest set of events that shows the violation.
 */

#ifndef OGL_CHECK_H
#define OGL_CHECK_H

#include "history.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Grace periods after a change, during which the following is no violation. */
struct ogl_check_grace {
	ogl_time key_withdrawn; /* a withdrawn key still works */
	ogl_time limit_lowered; /* a team is above a lowered limit */
	ogl_time leaving;       /* a leaving target is still given work */
	ogl_time in_force;      /* an accepted edit is not in force at a node */
	ogl_time fault_ended;   /* a fault that has ended still breaks calls */
};

struct ogl_check;

struct ogl_check_invariant {
	const char *name;
	const char *rule; /* the invariant in words */
	void (*check)(struct ogl_check *c);
};

extern const struct ogl_check_invariant ogl_check_invariants[];
/* All invariants; the last entry has a NULL name. */

struct ogl_check_finding {
	const struct ogl_check_invariant *invariant;
	char *text;
	GPtrArray *events; /* of const struct history_event, sorted by time */
};

void ogl_check_grace_default(struct ogl_check_grace *grace);

struct ogl_check *ogl_check_run(
    struct ogl_history *h, const struct ogl_check_grace *grace);
/* Sorts the history and checks every invariant.  The history must not change
 * while the result is used.  Free it with ogl_check_end(). */

void ogl_check_end(struct ogl_check *c);

const struct ogl_check_finding *ogl_check_findings(
    const struct ogl_check *c, size_t *n);
/* The findings and their number, at most OGL_CHECK_MAX_FINDINGS for each
 * invariant; valid until ogl_check_end(). */

#define OGL_CHECK_MAX_FINDINGS 10

bool ogl_check_is_complete(const struct ogl_check *c);
/* Whether the history has a HISTORY_OVER event.  Without one, answers and jobs
 * that are missing at its end are not reported. */

char *ogl_check_report(const struct ogl_check *c);
/* Every finding with its events as readable text, "" if there is none; free
 * with g_free(). */

#ifdef __cplusplus
}
#endif

#endif
