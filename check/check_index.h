/*
 * What the checks share: the events of a history put together by call, body,
 * task, job and node.  Everything points into the history.
 */

#ifndef OGL_CHECK_INDEX_H
#define OGL_CHECK_INDEX_H

#include "check.h"

typedef struct history_event event;

/* One call and what its caller heard. */
struct call {
	const event *sent;
	const event *answer;
	const event *job; /* it made, or was told of */
};

/* All calls and runs with one body. */
struct request {
	GPtrArray *calls; /* of struct call */
	GPtrArray *runs;  /* of event */
};

/* One task's time on one worker. */
struct span {
	const event *start;
	const event *end; /* NULL: never seen */
	ogl_time to;
};

enum mark_type { /* in the order in which they count at one time */
	MARK_END,
	MARK_CAPACITY,
	MARK_START,
	MARK_LIMIT /* a lowered limit's grace is over */
};

/* Something changes for workers or teams. */
struct mark {
	ogl_time at;
	enum mark_type type;
	const struct span *span;
	const event *ev;
};

struct job {
	const event *submit; /* HISTORY_CALL, NULL unknown */
	const event *told;   /* first */
	const event *last;
	const event *ended;
	const event *missing;   /* unknown, though accepted and not ended */
	const event *started;   /* first start of a task */
	const event *succeeded; /* first such end of a task */
};

enum outage_type {
	OUTAGE_BEFORE, /* not started yet */
	OUTAGE_STOP,
	OUTAGE_KILL,
	OUTAGE_PAUSE,
	OUTAGE_FAULT
};

/* A node, or with "" all of them, cannot be expected to do its part. */
struct outage {
	enum outage_type type;
	const char *who;
	const event *ev;
	ogl_time from;
	ogl_time exited; /* of a stop */
	ogl_time to;
};

struct ogl_check {
	struct ogl_check_times times;
	const struct ogl_history *history;
	const event *ev;
	size_t n;
	ogl_time end;      /* time of the last event */
	const event *over; /* NULL: the history is cut short */
	bool has_runs;
	bool has_starts;
	GHashTable *calls;    /* id -> struct call */
	GHashTable *requests; /* body -> struct request */
	GHashTable *jobs;     /* id -> struct job */
	GPtrArray *call_list; /* in order */
	GPtrArray *job_list;
	GPtrArray *request_list;
	GPtrArray *spans;
	GArray *marks;
	GArray *outages;
	const struct ogl_check_point *point; /* under way */
	size_t found;                        /* at this point */
	GArray *findings;
};

void check_index(struct ogl_check *c);
void check_index_end(struct ogl_check *c);

GPtrArray *check_lines(const event *first, ...) G_GNUC_NULL_TERMINATED;
/* A list of the events up to NULL. */

void check_find(struct ogl_check *c, GPtrArray *lines, const char *format, ...)
    G_GNUC_PRINTF(3, 4);
/* Adds a finding at the point under way; takes the lines. */

bool check_answered(const struct call *k, enum history_verdict v);

void check_overfull(struct ogl_check *c);
void check_two_places(struct ogl_check *c);
void check_key(struct ogl_check *c);
void check_limit(struct ogl_check *c);
void check_answer(struct ogl_check *c);
void check_not_run(struct ogl_check *c);
void check_once(struct ogl_check *c);
void check_leaving(struct ogl_check *c);
void check_stop(struct ogl_check *c);
void check_settings(struct ogl_check *c);
void check_lost(struct ogl_check *c);

#endif
