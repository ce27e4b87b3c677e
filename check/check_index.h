/*
 * Index that the checks share: the events of a history grouped by call, body,
 * task, job and node.  Every event pointer points into the history, which owns
 * the events.
 */

#ifndef OGL_CHECK_INDEX_H
#define OGL_CHECK_INDEX_H

#include "check.h"

typedef struct history_event event;

/* One call and what its caller was told. */
struct call {
	const event *sent;
	const event *answer; /* the first one */
	const event *job;    /* first HISTORY_JOB that names this call */
};

/* All calls and runs with the same body. */
struct request {
	GPtrArray *calls; /* of struct call */
	GPtrArray *runs;  /* of event: HISTORY_RUN */
};

/* The time during which one attempt of a task runs on one worker. */
struct span {
	const event *start;
	const event *end; /* NULL: no end in the history */
	ogl_time to;      /* OGL_NEVER without an end */
};

/* Entries with the same time take effect in this order. */
enum timeline_type {
	TIMELINE_END,
	TIMELINE_CAPACITY,
	TIMELINE_START,
	TIMELINE_LIMIT /* the grace period after an edit of a limit is over */
};

/* A change of running tasks, of a worker's capacity or of a team's limit. */
struct timeline_entry {
	ogl_time at;
	enum timeline_type type;
	const struct span *span; /* for TIMELINE_START and _END, else NULL */
	const event *ev;         /* cause of the change */
};

struct job {
	const event *submit;       /* its HISTORY_CALL, NULL if unknown */
	const event *first_report; /* first HISTORY_JOB with a known state */
	const event *last_report;
	const event *ended; /* first report of an ended state */
	/* First HISTORY_JOB_UNKNOWN after first_report and before ended. */
	const event *missing;
	const event *started;   /* first start of one of its tasks */
	const event *succeeded; /* first successful end of one of its tasks */
};

/* An outage of a type from OUTAGE_KILL on may break calls. */
enum outage_type {
	OUTAGE_NOT_STARTED, /* before the first start of the node */
	OUTAGE_STOP,
	OUTAGE_KILL,
	OUTAGE_PAUSE,
	OUTAGE_FAULT
};

/* A period in which a node may fail to do what it should. */
struct outage {
	enum outage_type type;
	const char *who; /* node, or target of a fault; "": all nodes */
	const event *ev; /* event that shows it */
	ogl_time from;
	ogl_time exited; /* of OUTAGE_STOP: when the process ended */
	ogl_time to;
};

struct ogl_check {
	struct ogl_check_grace grace;
	const struct ogl_history *history;
	const event *events; /* all of the history, sorted by time */
	size_t nevents;
	ogl_time end_time;      /* time of the last event */
	const event *load_over; /* HISTORY_OVER, NULL: incomplete history */
	bool has_runs;          /* some HISTORY_RUN is recorded */
	bool has_starts;        /* some HISTORY_START is recorded */
	GHashTable *calls;      /* id -> struct call */
	GHashTable *requests;   /* body -> struct request */
	GHashTable *jobs;       /* id -> struct job */
	GPtrArray *call_list;   /* the lists are in order of first events */
	GPtrArray *job_list;
	GPtrArray *request_list;
	GPtrArray *spans; /* of struct span, by start */
	GArray *timeline; /* of struct timeline_entry, by time */
	GArray *outages;  /* of struct outage */
	const struct ogl_check_invariant *invariant; /* being checked */
	size_t nfindings;                            /* of this invariant */
	GArray *findings; /* of struct ogl_check_finding */
};

void check_index(struct ogl_check *c);
/* Fills the index from c->events. */

void check_index_end(struct ogl_check *c);
/* Frees what the index holds. */

GPtrArray *check_event_list(const event *first, ...) G_GNUC_NULL_TERMINATED;
/* A new list of the events up to the first NULL. */

void check_add_finding(struct ogl_check *c, GPtrArray *events,
    const char *format, ...) G_GNUC_PRINTF(3, 4);
/* Adds a finding for c->invariant and takes over the list of events. */

bool check_has_verdict(const struct call *k, enum history_verdict v);
/* Whether the call is answered with the verdict. */

/* The checks of ogl_check_invariants. */
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
