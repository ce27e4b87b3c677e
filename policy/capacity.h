/*
 * Forecasts when there will be room, and a free lane of the advice service, for
 * a job.
 */

#ifndef OGL_CAPACITY_H
#define OGL_CAPACITY_H

#include "orioleglade.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ogl_capacity;

/* Ranks of work: a lower one goes first. */
#define OGL_CAPACITY_RANKS 16
#define OGL_CAPACITY_BUCKET (250 * OGL_MS)
/* Nothing is forecast further ahead; a wait of this length may be longer. */
#define OGL_CAPACITY_HORIZON (60 * OGL_SEC)

struct ogl_capacity_wait {
	ogl_time room;
	ogl_time lane;
	ogl_time longer; /* of the two */
};

/* Work that a wait is asked for. */
struct ogl_capacity_work {
	uint32_t rank;
	double cores;  /* that must be free at once */
	bool asks;     /* it needs a lane */
	uint32_t turn; /* of its question */
	const char *queue;
	double lane_ms; /* time of its own question, counted as wait */
	bool at_least;  /* as if no more work came */
	/* Waiting work of the same rank that goes after it. */
	double later_cores;
	double later_core_ms;
	double later_lane_ms;
};

/* Averages over a line's latest jobs. */
struct ogl_capacity_error {
	ogl_time late;  /* how much later than forecast they started */
	ogl_time early; /* how much earlier */
	bool reliable;  /* they are off by at most half of the wait */
};

struct ogl_capacity *ogl_capacity_init(void);
void ogl_capacity_end(struct ogl_capacity *c);

void ogl_capacity_reset(struct ogl_capacity *c);
/* Forgets everything, also the errors. */

void ogl_capacity_begin(struct ogl_capacity *c, ogl_time now);
/* Begins a new picture of the cell, without work, capacity and lanes. */

void ogl_capacity_add_waiting(
    struct ogl_capacity *c, uint32_t rank, double cores, double core_ms);
/* Adds work that waits: the cores on which it would run at once, and how much
 * it is. */

void ogl_capacity_arrived(struct ogl_capacity *c, uint32_t rank, double cores,
    double core_ms, ogl_time now);
/* Counts work that was accepted now; as much of its rank is expected to come in
 * the next seconds as came in the last ones.  This is kept until a reset. */

void ogl_capacity_add_running(
    struct ogl_capacity *c, double cores, ogl_time ends);
/* Adds cores that are used until then. */

void ogl_capacity_add_free(struct ogl_capacity *c, double cores);
/* Adds cores that are free. */

void ogl_capacity_add_change(struct ogl_capacity *c, double cores, ogl_time at);
/* Adds cores that open at that time, or that close if `cores` is negative. */

void ogl_capacity_add_lane(struct ogl_capacity *c, ogl_time busy_until);

void ogl_capacity_reserve_lanes(struct ogl_capacity *c, double lanes);
/* Only questions of turn 0 use the last lanes that are free, which are so many.
 */

/* Questions of a lower turn go first; within one of them, other than 0, queues
 * share the lanes evenly. */
#define OGL_CAPACITY_TURNS 5

void ogl_capacity_add_question(
    struct ogl_capacity *c, uint32_t turn, const char *queue, double lane_ms);
/* Adds a question that waits for a lane and keeps it busy for that time. */

struct ogl_capacity_wait ogl_capacity_wait(
    struct ogl_capacity *c, const struct ogl_capacity_work *w, ogl_time now);
/* How long work that comes now waits for room and, if it asks, for a lane.  All
 * are 0 when no picture was made lately. */

void ogl_capacity_check(struct ogl_capacity *c, const char *line,
    ogl_time expected, ogl_time waited);
/* Compares a forecast for a job of the line with what it waited. */

struct ogl_capacity_error ogl_capacity_error(
    const struct ogl_capacity *c, const char *line);

#ifdef __cplusplus
}
#endif

#endif
