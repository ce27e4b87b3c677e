/*
 * The interface of a cell node to its environment: one table of functions for
 * the store, the workers, the advice service, peers and callers.  platform/
 * implements it for the users' machines, the tests implement it with fakes.
 *
 * A function that takes `done` starts one exchange and returns.  done is called
 * exactly once, after the function has returned.  What an answer points at is
 * borrowed until done returns.
 */

#ifndef OGL_CELL_OPS_H
#define OGL_CELL_OPS_H

#include <string.h>

#include "cell.pb-c.h"
#include "orioleglade.h"

#define CELL_LONG_AGO (-(OGL_NEVER / 4)) /* earlier than any time in use */
#define CELL_ID_LEN 16                   /* hexadecimal digits of a job's id */

/* Longest checkpoint; a worker's longer one counts as none. */
#define CELL_CHECKPOINT_MAX_BYTES 1024
/* Largest record of the store with its key, and largest total of an append. */
#define CELL_RECORD_MAX_BYTES ((size_t)256 * 1024)
#define CELL_KEY_LEN_BYTES 1 /* of a record, for the length of its key */
#define CELL_APPEND_MAX_BYTES ((size_t)2 * 1024 * 1024)
/* Largest body of a message to another node, and the size at which batches are
 * cut into several messages. */
#define CELL_PAYLOAD_MAX_BYTES ((size_t)1000 * 1024)
#define CELL_BATCH_MAX_BYTES (CELL_PAYLOAD_MAX_BYTES / 2)

struct cell_config;

/* The bytes of a field of a message, and those of b; borrowed. */
static inline struct ogl_str
cell_field_str(const ProtobufCBinaryData *field)
{
	struct ogl_str s = {(const char *)field->data, field->len};

	return s;
}

static inline struct ogl_str
cell_bytes_str(GBytes *b)
{
	struct ogl_str s;

	s.p = (const char *)g_bytes_get_data(b, &s.n);
	return s;
}

/* ---- the store: streams of keyed records ------------------------------ */

enum cell_stream {
	CELL_JOBS,     /* the jobs of a shard and their progress */
	CELL_CLAIMS,   /* who claimed a shard, one record per epoch */
	CELL_LEAD,     /* heartbeats and resignations of all owners */
	CELL_SETTINGS, /* written by the operator: configuration, evacuations */
	CELL_WORKERS,  /* written by the workers: an entry of each */
	CELL_NSTREAMS
};

/* One record to write; a NULL value deletes the key. */
struct cell_put {
	char *key;
	GBytes *value;
};

/* Bytes of the record in an append, with its length and that of its key. */
static inline size_t
cell_put_bytes(const struct cell_put *u)
{
	return 5 + strlen(u->key) +
	       (u->value != NULL ? g_bytes_get_size(u->value) : 0);
}

struct cell_append {
	enum cell_stream stream;
	uint32_t shard; /* 0 for a stream of the whole cell */
	/* If fenced, the store refuses an epoch below the highest it has seen.
	 * Within an epoch seq rises by one with each call; a repeated call gets
	 * the answer of the first. */
	bool fenced;
	uint64_t epoch;
	uint64_t seq;
	int64_t expected_end; /* refused if the stream ends elsewhere; -1 any */
	const struct cell_put *puts;
	size_t nputs; /* 0: only tells the store the epoch */
	uint32_t timeout_ms;
};

struct cell_append_answer {
	enum ogl_io_result io;
	bool outranked;  /* refused: a higher epoch was seen */
	bool end_moved;  /* refused: the stream's end is not expected_end */
	uint64_t offset; /* offset of the first record, when OK */
	uint64_t end; /* offset after the last record, when OK or end_moved */
};

/* A read of the records from an offset on. */
struct cell_read {
	enum cell_stream stream;
	uint32_t shard;
	uint64_t from;
	uint32_t wait_ms; /* how long the answer waits for a record */
	uint32_t timeout_ms;
};

/* A read of the newest record of each key, one page at a time. */
struct cell_newest {
	enum cell_stream stream;
	uint32_t shard;
	const char *after; /* last key of the previous page, NULL none */
	uint32_t timeout_ms;
};

/* A worker's entry in its stream. */
struct cell_worker_entry {
	char *service;
	char *addr;
	char *zone;
	char *rack;    /* from one of the labels, "" if none names a rack */
	char **labels; /* NULL at the end */
	bool draining;
	uint64_t born_ms; /* start of this incarnation, Unix ms; 0 unknown */
	struct ogl_res capacity;
	uint32_t cold_ms;   /* how long it is slow after its start */
	uint32_t leaves_ms; /* draining: shortest time until it ends */
};

struct cell_record {
	uint64_t offset;
	char *key;
	struct ogl_str value;
	/* The key is deleted, or can't be used: key is then one that no other
	 * record has. */
	bool dropped;
	/* Decoded for the stream named; NULL for others and if malformed. */
	struct cell_config *config; /* CELL_SETTINGS: the configuration */
	/* CELL_SETTINGS: the zone that is evacuated, or that no longer is if
	 * dropped is set. */
	const char *zone;
	struct cell_worker_entry *worker; /* CELL_WORKERS */
};

struct cell_read_answer {
	enum ogl_io_result io;
	bool trimmed;   /* the records asked for are deleted; first is set */
	uint64_t first; /* oldest retained offset */
	uint64_t end;
	const struct cell_record *records;
	size_t n;
};

struct cell_newest_answer {
	enum ogl_io_result io;
	bool more; /* there is another page, after the last key */
	uint64_t end;
	const struct cell_record *records;
	size_t n;
};

/* ---- workers ---------------------------------------------------------- */

struct cell_task_name {
	char id[CELL_ID_LEN + 1];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
};

enum cell_end {
	CELL_END_DONE,
	CELL_END_FAILED,
	CELL_END_STOPPED,
	CELL_END_LAPSED, /* its lease expired */
	CELL_END_BROKEN, /* another member of its gang ended */
	CELL_END_ALONE   /* the rest of its gang did not start in time */
};

/* One run in a worker's answer to a hold: running or ended. */
struct cell_run_row {
	struct cell_task_name task;
	uint64_t run;
	const char *checkpoint; /* "" none */
	uint32_t percent;       /* running: progress */
	int64_t gauge;          /* running: tail latency in ms, or CPU in use */
	uint64_t number;        /* ended: rises within an incarnation */
	enum cell_end how;      /* ended: outcome */
};

/* The worker that a call is for, and the fencing token of its sender. */
struct cell_target {
	const char *addr;
	const char *id;
	uint64_t fence; /* fencing token */
};

/* Renews a worker's lease and asks for its runs. */
struct cell_hold {
	struct cell_target to;
	uint64_t last_seen; /* ends up to this number are stored */
	uint64_t until_ms;  /* lease end on the worker's clock; 0 unchanged */
	uint32_t wait_ms;   /* how long the answer waits for an end */
	uint32_t timeout_ms;
};

/* Why a worker refused a call. */
enum cell_refusal {
	CELL_NOT_REFUSED,
	CELL_REFUSED_FENCE,  /* it has seen a higher fencing token */
	CELL_REFUSED_OLD,    /* the run's number is not above the last */
	CELL_REFUSED_LATE,   /* the lease asked for has already expired */
	CELL_REFUSED_ROOM,   /* not enough room */
	CELL_REFUSED_TICKET, /* no ticket, or one that is no longer valid */
	CELL_REFUSED_BUSY,   /* unhealthy or overloaded */
	CELL_REFUSED_INCARNATION, /* the call is for another incarnation */
	CELL_REFUSED_BAD          /* malformed */
};

struct cell_hold_answer {
	enum ogl_io_result io;
	bool no_listener; /* the connection was refused: no process listens */
	enum cell_refusal why;
	uint64_t clock_ms; /* the worker's clock */
	uint64_t born_ms;  /* start of its incarnation, Unix ms */
	const struct cell_run_row *running;
	size_t nrunning;
	const struct cell_run_row *ended;
	size_t nended;
};

struct cell_order {
	struct cell_target to;
	struct cell_task_name task;
	uint64_t run;
	uint32_t timeout_ms;
	/* for a start only */
	struct ogl_str spec;
	uint64_t until_ms; /* end of the lease, on the worker's clock */
	const char *checkpoint;
	const char *ticket; /* NULL none */
	/* for a pace only */
	uint32_t percent;
};

struct cell_order_answer {
	enum ogl_io_result io;
	enum cell_refusal why;
	uint64_t clock_ms; /* the worker's clock, 0 unknown */
};

/* ---- advice ----------------------------------------------------------- */

struct cell_advice_query {
	const char *step;           /* name of the step */
	const char *const *workers; /* ids */
	size_t n;
	uint32_t timeout_ms;
};

/* Approves a worker for the step. */
struct cell_ticket {
	const char *worker;
	const char *ticket;
};

struct cell_ask_answer {
	enum ogl_io_result io;
	uint32_t valid_ms; /* how long the tickets are valid */
	const struct cell_ticket *tickets;
	size_t n;
};

/* ---- callers ---------------------------------------------------------- */

enum cell_method {
	CELL_POST,
	CELL_GET,
	CELL_DELETE,
	CELL_OTHER_METHOD
};

/* A caller's request as received. */
struct cell_request {
	enum cell_method method;
	struct ogl_str host;
	struct ogl_str path;
	struct ogl_str key;
	struct ogl_str body;
	uint32_t budget_ms; /* how long the caller waits, 0 unknown */
};

enum cell_status {
	CELL_OK,
	CELL_BAD_REQUEST,
	CELL_NO_KEY,
	CELL_NO_QUEUE,
	CELL_NO_JOB,
	CELL_BAD_METHOD,
	CELL_OVER_RATE, /* refused: the team is over its rate */
	CELL_BUSY,      /* refused: to be retried */
	CELL_UNSURE,    /* may be accepted: to be retried with the same id */
	CELL_ID_TAKEN   /* refused: the job's id is another team's */
};

struct cell_answer {
	enum cell_status status;
	uint32_t retry_ms; /* when to retry, 0 unknown */
	bool has_state;
	Ogl__CellJobState state;
	bool has_pending;
	uint32_t pending;
	const char *why; /* a message for people; NULL none */
};

/* ---- the table -------------------------------------------------------- */

typedef void cell_append_fn(
    void *arg, const struct cell_append_answer *a, ogl_time now);
typedef void cell_read_fn(
    void *arg, const struct cell_read_answer *a, ogl_time now);
typedef void cell_newest_fn(
    void *arg, const struct cell_newest_answer *a, ogl_time now);
typedef void cell_hold_fn(
    void *arg, const struct cell_hold_answer *a, ogl_time now);
typedef void cell_order_fn(
    void *arg, const struct cell_order_answer *a, ogl_time now);
typedef void cell_ask_fn(
    void *arg, const struct cell_ask_answer *a, ogl_time now);

/* A label of a counter; a counter always has the same ones. */
struct cell_label {
	const char *name;
	const char *value;
};

struct cell_ops {
	void (*append)(void *ctx, const struct cell_append *a,
	    cell_append_fn *done, void *arg);
	void (*read)(void *ctx, const struct cell_read *r, cell_read_fn *done,
	    void *arg);
	void (*newest)(void *ctx, const struct cell_newest *q,
	    cell_newest_fn *done, void *arg);

	void (*hold)(void *ctx, const struct cell_hold *h, cell_hold_fn *done,
	    void *arg);
	void (*start)(void *ctx, const struct cell_order *o,
	    cell_order_fn *done, void *arg);
	void (*stop)(void *ctx, const struct cell_order *o, cell_order_fn *done,
	    void *arg);
	void (*pace)(void *ctx, const struct cell_order *o, cell_order_fn *done,
	    void *arg);
	void (*ask)(void *ctx, const struct cell_advice_query *a,
	    cell_ask_fn *done, void *arg);

	struct cell_config *(*decode_config)(void *ctx, struct ogl_str value);
	/* Decodes the operator's record; NULL if it is malformed. */
	Ogl__CellJob *(*decode_job)(
	    void *ctx, struct ogl_str body, const char **why);
	/* Decodes the body of a submission, which leaves id, team and queue
	 * unset; NULL, with the reason in why, if it is malformed.  The reason
	 * is valid until the next call. */
	void (*reply)(void *ctx, uint64_t token, const struct cell_answer *a);
	/* Answers a caller's request. */

	void (*peer_send)(void *ctx, const char *addr, GBytes *msg);
	void (*peer_reset)(void *ctx, const char *addr);
	/* Closes the connection to a peer; the next message opens a new one. */
	bool (*peer_refused)(void *ctx, const char *addr);
	/* Whether the last connection attempt was refused. */
	void (*release_worker)(void *ctx, const char *addr);
	/* Closes the connections to a worker, which accepts a limited number
	 * from all nodes together.  Calls that have not been sent end as such.
	 * May be NULL. */

	void (*log)(
	    void *ctx, const char *prefix, const char *event, const char *text);
	/* Writes one log line; text has `key=value` pairs. */
	void (*log_job)(void *ctx, const char *part, const char *event,
	    const char *id, ogl_time began, const char *text);
	/* The same for a job.  If there are too many lines, all lines of some
	 * jobs are left out: those that began at the same time are treated
	 * alike.  began: OGL_NEVER if it is not known.  May be NULL; log then
	 * gets the line.  To be called by cell_log_job. */
	void (*log_unsampled)(
	    void *ctx, const char *part, const char *event, const char *text);
	/* As log, but the line is written even if it names a job whose lines
	 * are left out.  The caller limits the number of lines.  May be NULL;
	 * log then gets the line. */
	void (*count)(void *ctx, const char *name, uint64_t by);
	void (*observe)(void *ctx, const char *name, uint64_t ms);
	/* Add to a counter, and a time to a latency histogram. */
	void (*count_labels)(void *ctx, const char *name,
	    const struct cell_label *labels, size_t n, uint64_t by);
	/* Adds to the counter of these labels.  May be NULL. */

	void *backend_ctx; /* passed to the functions up to decode_job */
	void *ctx;         /* passed to those after it */
};

/* Limits of a deployment, from the settings file. */
struct cell_limits {
	uint32_t lease_max_ms; /* longest lease that a worker grants */
	uint32_t stop_ms;      /* longest time that stopping a run takes */
	uint32_t revoke_ms;    /* withdrawn keys are refused after this time */
	uint32_t status_ms;    /* how long the state of an ended job is kept */
	uint32_t visible_ms;   /* accepted jobs are visible within this time */
	uint32_t rack_factor;  /* slowdown of a run outside the data's rack */
	uint32_t gang_ms;      /* how long members wait for the whole gang */
	uint32_t notice_ms;    /* ended lasting tasks run again in this time */
	uint32_t harm_ms;      /* longest time that a target may be missed */
};

#endif
