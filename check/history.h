/*
 * History of a run: what callers, executors, workers, the platform,
 * operators and nodes saw, one event a line of JSON, in order of time.  The
 * drivers of simulated and of real runs write it; ogl_check.h judges it.
 */

#ifndef OGL_HISTORY_H
#define OGL_HISTORY_H

#include <stdio.h>

#include "orioleglade.h"

#ifdef __cplusplus
extern "C" {
#endif

enum history_type {
	HISTORY_CALL,     /* a caller sends a short request or a job */
	HISTORY_ANSWER,   /* the last word on a call, a broken one too */
	HISTORY_JOB,      /* a caller is told how a job stands */
	HISTORY_RUN,      /* an executor takes a request */
	HISTORY_WORKER,   /* a worker comes up or changes capacity */
	HISTORY_LEASE,    /* an owner grants a worker a lease */
	HISTORY_START,    /* a task starts on a worker */
	HISTORY_END,      /* it ends by itself or by command */
	HISTORY_LAPSE,    /* it ends with its worker's lease */
	HISTORY_CRASH,    /* it ends with its worker's boot */
	HISTORY_LISTED,   /* the platform's list shows a target */
	HISTORY_EDIT,     /* an operator's edit is answered */
	HISTORY_IN_FORCE, /* a node goes by another version of the settings */
	HISTORY_NODE,     /* a node comes, goes or is meddled with */
	HISTORY_CUT,      /* a node gives up a call at its shutdown */
	HISTORY_FAULT,    /* the test begins or ends a fault */
	HISTORY_OVER,     /* load is over; what callers see of jobs follows */
	HISTORY_NTYPES
};

/* Values of Ogl__Verdict, and one more that only callers see. */
enum history_verdict {
	HISTORY_NOT_RUN = OGL_NOT_RUN,
	HISTORY_RAN = OGL_RAN,
	HISTORY_MAY_HAVE_RUN = OGL_MAY_HAVE_RUN,
	HISTORY_BROKEN /* sent, but no whole answer came */
};

/* Values of Ogl__JobState, and one more: nodes know no such job. */
enum history_job {
	HISTORY_JOB_QUEUED = OGL__JOB_STATE__queued,
	HISTORY_JOB_ACTIVE = OGL__JOB_STATE__active,
	HISTORY_JOB_DONE = OGL__JOB_STATE__done,
	HISTORY_JOB_BROKEN = OGL__JOB_STATE__broken,
	HISTORY_JOB_CANCELLED = OGL__JOB_STATE__cancelled,
	HISTORY_JOB_UNKNOWN
};

enum history_node {
	HISTORY_NODE_UP,
	HISTORY_NODE_DOWN, /* killed */
	HISTORY_NODE_PAUSED,
	HISTORY_NODE_RESUMED,
	HISTORY_NODE_STOPPING, /* asked to shut down */
	HISTORY_NODE_EXITED
};

enum history_edit {
	HISTORY_EDIT_LIMIT,
	HISTORY_EDIT_KEY_CREATED,
	HISTORY_EDIT_KEY_WITHDRAWN,
	HISTORY_EDIT_OTHER
};

/*
 * One event.  Strings end in zero and are never NULL once in a history; a
 * NULL given to it becomes "".  `at` is the true time of the event.
 */
struct history_event {
	enum history_type type;
	ogl_time at;
	uint32_t file; /* of the reading order; set by the history */
	uint32_t line; /* within its file, from 1; set by the history */
	union {
		/* A caller that sends again makes another call; its body stays
		 * the same, and no other request has that body. */
		struct {
			const char *call; /* unique in the history */
			const char *node; /* asked */
			const char *team; /* whose key comes with it */
			const char *key;  /* its id, "" unknown */
			const char *request_id;
			const char *kind; /* Ogl-Kind */
			const char *body;
			uint64_t timeout_ms; /* Ogl-Timeout-Ms, 0 none */
			bool idempotent;
			bool job; /* a submit, not a short request */
		} call;
		struct {
			const char *call;
			uint32_t verdict; /* enum history_verdict */
			uint32_t status;  /* 0: never sent, or broken */
			uint64_t retry_after_ms;
			const char *body;
		} answer;
		struct {
			const char *call; /* its submit; "" later on */
			const char *job;
			uint32_t state;   /* enum history_job */
			uint32_t verdict; /* of an ended one */
		} job;
		struct {
			const char *exec;
			const char *body;
			const char *team;
			const char *kind;
			uint64_t token;
			ogl_time until;
			bool whole; /* its answer is sent whole */
		} run;
		struct {
			const char *worker;
			uint64_t boot;
			struct ogl_res capacity;
		} worker;
		struct {
			const char *worker;
			const char *owner;
			uint32_t shard;
			uint64_t epoch;
			ogl_time until; /* on the worker's clock */
		} lease;
		struct { /* start, end, lapse and crash */
			const char *worker;
			const char *task;
			const char *team;
			uint64_t boot;
			uint32_t attempt;
			struct ogl_res res;
			uint32_t state; /* Ogl__TaskState after it */
		} task;
		struct {
			const char *target;
			bool leaving;
		} listed;
		/* An edit without a last word may or may not be in force. */
		struct {
			uint32_t what;    /* enum history_edit */
			bool accepted;    /* false: no last word came */
			ogl_time asked;   /* when it was sent */
			uint64_t version; /* 0: not told */
			const char *team;
			const char *key; /* its id */
			uint64_t limit;  /* UINT64_MAX, in JSON -1: none */
		} edit;
		struct {
			const char *node;
			uint64_t version;
		} in_force;
		struct {
			const char *node;
			uint32_t state; /* enum history_node */
		} node;
		struct {
			const char *node;
			const char *call; /* or the request's body */
		} cut;
		struct {
			const char *what; /* "log down", "cut off", ... */
			const char *who;  /* node or target hit; "" all nodes */
			bool on;          /* begins */
		} fault;
	} u;
};

struct ogl_history;

struct ogl_history *ogl_history_init(FILE *out);
/* An empty history; each event added is also written to out, unless NULL. */

struct ogl_history *ogl_history_open(const char *file);
/* One that is written to a new file, which it closes at its end; NULL with a
 * message when it cannot. */

void ogl_history_end(struct ogl_history *h);

void ogl_history_add(struct ogl_history *h, const struct history_event *ev);
/* Appends a copy. */

bool ogl_history_read(struct ogl_history *h, const char *file, GError **error);
/* Appends the events of a file; lines that begin with # are comments.
 * OGL_ERROR_INPUT names file, line and what is wrong. */

void ogl_history_sort(struct ogl_history *h);
/* By time; events of one time keep their order. */

const struct history_event *ogl_history_events(
    const struct ogl_history *h, size_t *n);
/* Valid until the next change of h. */

const char *ogl_history_file(const struct ogl_history *h, uint32_t file);
/* Name of a file read; "" for events added. */

char *ogl_history_print(const struct history_event *ev);
/* Its JSON line, without a line feed; free with g_free. */

#ifdef __cplusplus
}
#endif

#endif
