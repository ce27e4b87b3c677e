/*
 * Shares a full cell between its teams by weight: tells which waiting work goes
 * first, and counts what each team completed.
 */

#ifndef OGL_SHARE_H
#define OGL_SHARE_H

#include "orioleglade.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ogl_share;
/* Both are valid until the generation changes. */
struct ogl_share_team;
struct ogl_share_queue;

/* What a run was charged when it was started. */
struct ogl_share_charge {
	uint64_t period; /* full period in which it was charged; 0 none */
	double core_ms;
};

/* Waiting work. */
struct ogl_share_item {
	struct ogl_share_team *team;
	struct ogl_share_queue *queue;
	double core_ms; /* expected, of all that waits */
	bool by_age;    /* goes before work that goes by share */
	void *data;     /* of the caller */
};

struct ogl_share_figures {
	const char
	    *team; /* empty: all teams that have no weight of their own */
	double weight;
	/* Totals of the time in which the cell was full. */
	uint64_t used_core_ms;      /* of all runs that ended */
	uint64_t completed_core_ms; /* of runs that ended well */
	uint64_t completed_jobs;
	/* Of completed_core_ms since the cell was last found full, the team's
	 * part in millionths, and the part that its weight entitles it to among
	 * the teams that had work in that time. */
	uint32_t share_ppm;
	uint32_t entitled_ppm;
	bool active; /* it had work in that time */
};

struct ogl_share *ogl_share_init(void);
void ogl_share_end(struct ogl_share *s);
void ogl_share_clear(struct ogl_share *s);
/* Forgets all but the weights, as after a takeover. */

void ogl_share_begin_teams(struct ogl_share *s);
void ogl_share_set_team(
    struct ogl_share *s, struct ogl_str name, double weight);
void ogl_share_end_teams(struct ogl_share *s);
/* Set the teams and their weights anew.  A team that is not set in between is
 * dropped.  A weight of 0 or less counts as 1. */

uint64_t ogl_share_generation(const struct ogl_share *s);
/* Changes when pointers to teams and queues become invalid.  Never 0. */

struct ogl_share_team *ogl_share_team(
    const struct ogl_share *s, struct ogl_str name);
/* The team with that name.  Teams that were not set are one team of weight 1.
 */
struct ogl_share_queue *ogl_share_queue(
    struct ogl_share *s, struct ogl_str name, uint32_t rank);
/* The queue with that name, which is added if it is not known yet. */

void ogl_share_set_full(struct ogl_share *s, bool full);
/* Whether the cell is full now.  When it becomes full, all virtual times are
 * equal: what was used while there was room for all cost nobody anything. */

void ogl_share_begin_round(struct ogl_share *s);
/* Begins a round of ogl_share_order calls.  A team without work in the round
 * before starts at the current virtual time, a queue without a claim. */

void ogl_share_order(
    struct ogl_share *s, struct ogl_share_item *items, size_t n);
/* Orders work of one rank, given oldest first: work that goes by age, then by
 * virtual time of its team, then by age. */

struct ogl_share_charge ogl_share_charge(struct ogl_share *s,
    struct ogl_share_team *t, struct ogl_share_queue *q, double core_ms,
    ogl_time now);
/* Work of the team that is expected to use core_ms is started. */

void ogl_share_run_ended(struct ogl_share *s, struct ogl_share_team *t,
    const struct ogl_share_charge *c, double used_core_ms, bool completed);
/* Corrects the charge of a run by what it used, and counts that while the cell
 * is full. */
void ogl_share_job_completed(struct ogl_share *s, struct ogl_share_team *t);
/* Counts a completed job of the team while the cell is full. */

typedef void ogl_share_report_fn(void *arg, const struct ogl_share_figures *f);
void ogl_share_report(
    const struct ogl_share *s, ogl_share_report_fn *fn, void *arg);
/* Calls fn for each team, in the order in which the teams were set. */

#ifdef __cplusplus
}
#endif

#endif
