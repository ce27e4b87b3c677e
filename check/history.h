/*
 * History of a run: the events that callers, executors, workers, the platform,
 * operators and nodes saw.  A file has one event a line, as a JSON object, in
 * order of time.  Simulated and real runs write histories; check.h checks
 * them.
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
	HISTORY_ANSWER,   /* the final outcome of a call, also a broken one */
	HISTORY_JOB,      /* a caller is told the state of a job */
	HISTORY_RUN,      /* an executor takes a request */
	HISTORY_WORKER,   /* a worker comes up or changes capacity */
	HISTORY_LEASE,    /* an owner grants a worker a lease */
	HISTORY_START,    /* a task starts on a worker */
	HISTORY_END,      /* a task ends by itself or by command */
	HISTORY_LAPSE,    /* a task ends because its worker's lease ran out */
	HISTORY_CRASH,    /* a task ends because its worker restarts */
	HISTORY_LISTED,   /* the platform's list shows a target */
	HISTORY_EDIT,     /* an operator's edit is answered */
	HISTORY_IN_FORCE, /* a node switches to another settings version */
	HISTORY_NODE,     /* a node starts, exits, stops, pauses or resumes */
	HISTORY_CUT,      /* a node abandons a call at its shutdown */
	HISTORY_FAULT,    /* the test begins or ends a fault */
	HISTORY_OVER,     /* the load has ended; reports on jobs follow */
	HISTORY_NTYPES
};

/* Values of Ogl__Verdict, and one more that only callers see. */
enum history_verdict {
	HISTORY_NOT_RUN = OGL_NOT_RUN,
	HISTORY_RAN = OGL_RAN,
	HISTORY_MAY_HAVE_RUN = OGL_MAY_HAVE_RUN,
	HISTORY_BROKEN /* sent, but no complete answer came */
};

/* Values of Ogl__JobState, and one more for a job that nodes do not know. */
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
 * One event.  Strings are zero-terminated; ogl_history_add() replaces NULL by
 * "", so the strings in a history are never NULL.  `at` is the true time of
 * the event.
 */
struct history_event {
	enum history_type type;
	ogl_time at;
	uint32_t file; /* for ogl_history_file(); set by the history */
	uint32_t line; /* within its file, from 1; set by the history */
	union {
		/* A caller that retries makes another call with the same body.
		 * No other request has that body. */
		struct {
			const char *call; /* unique in the history */
			const char *node; /* where it is sent */
			const char *team; /* team of the key in the call */
			const char *key;  /* id of that key, "" if unknown */
			const char *request_id;
			const char *kind; /* Ogl-Kind */
			const char *body;
			uint64_t timeout_ms; /* Ogl-Timeout-Ms, 0: none */
			bool idempotent;
			bool job; /* submits a job, not a short request */
		} call;
		struct {
			const char *call;
			uint32_t verdict; /* enum history_verdict */
			uint32_t status;  /* HTTP; 0: not sent or broken */
			uint64_t retry_after_ms;
			const char *body;
		} answer;
		struct {
			const char *call; /* its submission, else "" */
			const char *job;
			uint32_t state;   /* enum history_job */
			uint32_t verdict; /* only of an ended job */
		} job;
		struct {
			const char *exec;
			const char *body;
			const char *team;
			const char *kind;
			uint64_t token;
			ogl_time until;
			bool whole; /* the executor sends the whole answer */
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
		struct { /* HISTORY_START, _END, _LAPSE and _CRASH */
			const char *worker;
			const char *task;
			const char *team;
			uint64_t boot;
			uint32_t attempt;
			struct ogl_res res;
			uint32_t state; /* Ogl__TaskState after the event */
		} task;
		struct {
			const char *target;
			bool leaving;
		} listed;
		/* An edit without a final answer may or may not be in force. */
		struct {
			uint32_t what;    /* enum history_edit */
			bool accepted;    /* false: no final answer came */
			ogl_time asked;   /* when it was sent */
			uint64_t version; /* 0: unknown */
			const char *team;
			const char *key; /* id of the key */
			uint64_t limit;  /* UINT64_MAX, in JSON -1: no limit */
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
			const char *call; /* its id, or the request's body */
		} cut;
		struct {
			const char *what; /* "log down", "cut off", ... */
			const char *who;  /* node or target; "": all nodes */
			bool on;          /* true: begins, false: ends */
		} fault;
	} u;
};

struct ogl_history;

struct ogl_history *ogl_history_init(FILE *out);
/* Creates an empty history.  Each event added is also written to out, unless
 * that is NULL. */

struct ogl_history *ogl_history_open(const char *file);
/* Creates a history that is also written to a new file and closes the file in
 * ogl_history_end().  Prints a message and returns NULL on error. */

void ogl_history_end(struct ogl_history *h);

void ogl_history_add(struct ogl_history *h, const struct history_event *ev);
/* Appends a copy of the event and of its strings. */

bool ogl_history_read(struct ogl_history *h, const char *file, GError **error);
/* Appends the events of a file; lines that begin with # are comments.  On
 * OGL_ERROR_INPUT the message names the file, the line and the error. */

void ogl_history_sort(struct ogl_history *h);
/* Sorts by time; events with the same time keep their order. */

const struct history_event *ogl_history_events(
    const struct ogl_history *h, size_t *n);
/* Valid until the next change of h. */

const char *ogl_history_file(const struct ogl_history *h, uint32_t file);
/* Name of the file that an event was read from; "" for events added. */

char *ogl_history_print(const struct history_event *ev);
/* The event as a line of JSON without a line feed; free with g_free(). */

#ifdef __cplusplus
}
#endif

#endif
