/*
 * Replay of a trace against a queue on servers of fixed capacity.
 */

#ifndef OGL_LIB_REPLAY_H
#define OGL_LIB_REPLAY_H

#include "lib_trace.h"

struct replay_result {
	double short_p50_ms, short_p99_ms;
	double long_p50_ms, long_p99_ms;
	double max_s;                                   /* longest wait */
	double tricky_short_p99_ms, tricky_long_p50_ms; /* first team's own */
	double others_short_p99_ms;                     /* all other teams' */
	/* Worst team's deviation from its entitlement over full windows. */
	double error_received_pct;  /* service as received */
	double error_completed_pct; /* service of what ended in the window */
	double error_typical_pct;   /* received: median over windows, teams */
	double busy_pct;            /* capacity held */
	uint32_t windows;           /* full windows measured */
};

void replay_run(const struct trace *t, const struct ogl_queue_policy *policy,
    bool oracle, struct replay_result *r);
/* With `oracle`, the declared run times are the true ones. */

#endif
