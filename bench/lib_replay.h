/*
 * Replays a trace with a queueing policy on servers of fixed capacity.
 */

#ifndef OGL_LIB_REPLAY_H
#define OGL_LIB_REPLAY_H

#include "lib_trace.h"

struct replay_result {
	double short_p50_ms, short_p99_ms;
	double long_p50_ms, long_p99_ms;
	double max_s;                                 /* longest waiting time */
	double first_short_p99_ms, first_long_p50_ms; /* first team */
	double others_short_p99_ms;                   /* all other teams */
	/* Deviation of teams from their entitlement over full windows; the
	 * largest unless stated otherwise. */
	double error_received_pct;  /* processor time used in the window */
	double error_completed_pct; /* of work that ended in the window */
	double error_median_pct; /* received; median over windows and teams */
	double busy_pct;         /* processors in use */
	uint32_t windows;        /* number of full windows */
};

void replay_run(const struct trace *t, const struct ogl_queue_policy *policy,
    bool oracle, struct replay_result *r);
/* If `oracle`, the policy is given true run times as the declared ones. */

#endif
