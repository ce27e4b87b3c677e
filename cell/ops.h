/*
 * What a cell node asks of the outside: one table of functions for the store,
 * the workers, the advice service, peers and callers.  platform/ fills it for
 * the users' machines, the tests fill it with fakes.
 *
 * A function that takes `done` starts one exchange and returns; done is called
 * exactly once, later, never from within.  What an answer points at is
 * borrowed for that call.
 */

#ifndef OGL_CELL_OPS_H
#define OGL_CELL_OPS_H

#include "cell.pb-c.h"
#include "orioleglade.h"

#define CELL_LONG_AGO (-(OGL_NEVER / 4)) /* before any time there is */
#define CELL_ID_LEN 16                   /* hexadecimal digits of a job's id */

struct cell_config;

/* ---- the store: streams of keyed records ------------------------------ */

enum cell_stream {
	CELL_JOBS,     /* of a shard: jobs and how far they are */
	CELL_CLAIMS,   /* of a shard: who claimed it, one record an epoch */
	CELL_LEAD,     /* heartbeats and resignations of all owners */
	CELL_SETTINGS, /* the operator's: configuration */
	CELL_WORKERS,  /* the workers' own: who is there */
	CELL_NSTREAMS
};

/* One record to write; without a value its key is dropped. */
struct cell_put {
	char *key;
	GBytes *value;
};

struct cell_append {
	enum cell_stream stream;
	uint32_t shard; /* of a stream that each shard has; else 0 */
	/* A writer's epoch below one already seen is refused; within an epoch
	 * seq rises by one a call, and a repeat gets its first answer again. */
	bool fenced;
	uint64_t epoch;
	uint64_t seq;
	int64_t at; /* only if the stream ends there; -1: anywhere */
	const struct cell_put *puts;
	size_t nputs; /* 0: only makes the epoch known */
	uint32_t timeout_ms;
};

struct cell_append_answer {
	enum ogl_io io;
	bool outranked;  /* refused: a higher epoch was seen */
	bool moved;      /* refused: the stream does not end at `at` */
	uint64_t offset; /* of the first record, when OK */
	uint64_t end;    /* offset after the last record, when OK or moved */
};

/* The records from an offset on. */
struct cell_read {
	enum cell_stream stream;
	uint32_t shard;
	uint64_t from;
	uint32_t wait_ms; /* the answer waits that long for a record */
	uint32_t timeout_ms;
};

/* The newest record of each key, in pages. */
struct cell_newest {
	enum cell_stream stream;
	uint32_t shard;
	const char *after; /* the last key of the page before, NULL none */
	uint32_t timeout_ms;
};

/* What a worker says of itself. */
struct cell_worker_entry {
	char *service;
	char *addr;
	char *zone;
	char *rack;    /* "" when none of the labels names one */
	char **labels; /* NULL at the end */
	bool draining;
	uint64_t born_ms; /* start of this life, wall clock; 0 not said */
	struct ogl_res capacity;
	uint32_t cold_ms;   /* how much longer it is slow after its start */
	uint32_t leaves_ms; /* least time left while draining */
};

struct cell_record {
	uint64_t offset;
	char *key;
	struct ogl_str value;
	bool dropped; /* the key is gone */
	/* Decoded by stream; NULL when it can't be read. */
	struct cell_config *config; /* CELL_SETTINGS, its main record */
	const char *zone; /* CELL_SETTINGS: evacuated; taken back if dropped */
	struct cell_worker_entry *worker; /* CELL_WORKERS */
};

struct cell_read_answer {
	enum ogl_io io;
	bool trimmed;   /* the records asked for are gone; first is set */
	uint64_t first; /* oldest retained offset */
	uint64_t end;
	const struct cell_record *records;
	size_t n;
};

struct cell_newest_answer {
	enum ogl_io io;
	bool more; /* ask again, after the last key */
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
	CELL_END_LAPSED, /* its lease ran out */
	CELL_END_BROKEN, /* another member of its gang ended */
	CELL_END_ALONE   /* the rest of its gang did not come */
};

/* A row of either list a worker returns. */
struct cell_row {
	struct cell_task_name task;
	uint64_t run;
	const char *checkpoint; /* "" none */
	uint32_t percent;       /* running: how far */
	int64_t gauge;          /* running: tail in ms or processor in use */
	uint64_t number;        /* ended: counts up within a life */
	enum cell_end how;      /* ended */
};

/* Whom an order is for and by whose right. */
struct cell_target {
	const char *addr;
	const char *id;
	uint64_t epoch; /* fencing token */
};

struct cell_hold {
	struct cell_target to;
	uint64_t last_seen; /* ends up to this number are noted for good */
	uint64_t until_ms;  /* lease, on the worker's clock; 0: as it is */
	uint32_t wait_ms;   /* the answer waits that long for an end */
	uint32_t timeout_ms;
};

/* Why a worker did not do what it was told. */
enum cell_refusal {
	CELL_REFUSED_NOT,
	CELL_REFUSED_FENCE,  /* it has seen a higher fencing token */
	CELL_REFUSED_OLD,    /* the run's number is not above the last */
	CELL_REFUSED_LATE,   /* the lease asked for is over */
	CELL_REFUSED_ROOM,   /* it has no room */
	CELL_REFUSED_TICKET, /* no ticket, or one that is no longer valid */
	CELL_REFUSED_BUSY,   /* unhealthy or overloaded */
	CELL_REFUSED_LIFE,   /* another life than the one meant */
	CELL_REFUSED_BAD     /* malformed */
};

struct cell_hold_answer {
	enum ogl_io io;
	bool no_listener; /* the connection was refused: no process is there */
	enum cell_refusal why;
	uint64_t clock_ms;
	uint64_t born_ms;
	const struct cell_row *running;
	size_t nrunning;
	const struct cell_row *ended;
	size_t nended;
};

struct cell_order {
	struct cell_target to;
	struct cell_task_name task;
	uint64_t run;
	uint32_t timeout_ms;
	/* of a start only */
	const char *spec;
	uint64_t until_ms;
	const char *checkpoint;
	const char *ticket; /* NULL none */
	/* of a pace only */
	uint32_t percent;
};

struct cell_order_answer {
	enum ogl_io io;
	enum cell_refusal why;
	uint64_t clock_ms; /* 0 not said */
};

/* ---- advice ----------------------------------------------------------- */

struct cell_ask {
	const char *step; /* name of the step */
	const char *const *workers;
	size_t n;
	uint32_t timeout_ms;
};

struct cell_ticket {
	const char *worker;
	const char *ticket;
};

struct cell_ask_answer {
	enum ogl_io io;
	uint32_t valid_ms;
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

/* A caller's request as it came in. */
struct cell_request {
	enum cell_method method;
	struct ogl_str host;
	struct ogl_str path;
	struct ogl_str key;
	struct ogl_str body;
	uint32_t budget_ms; /* how long the caller waits, 0 not said */
};

enum cell_status {
	CELL_OK,
	CELL_BAD_REQUEST,
	CELL_NO_KEY,
	CELL_NO_QUEUE,
	CELL_NO_JOB,
	CELL_BAD_METHOD,
	CELL_OVER,  /* refused: the team is over its rate */
	CELL_BUSY,  /* refused: come again */
	CELL_UNSURE /* may have been accepted: ask again with the same id */
};

struct cell_answer {
	enum cell_status status;
	uint32_t retry_ms; /* 0 none */
	bool has_state;
	Ogl__CellJobState state;
	bool has_pending;
	uint32_t pending;
	const char *why; /* for people; NULL none */
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
	void (*ask)(
	    void *ctx, const struct cell_ask *a, cell_ask_fn *done, void *arg);

	struct cell_config *(*decode_config)(void *ctx, struct ogl_str value);
	/* The operator's record as a configuration; NULL when it can't be
	 * read. */
	Ogl__CellJob *(*decode_job)(
	    void *ctx, struct ogl_str body, const char **why);
	/* A submitted body as a job, steps and spec only; NULL with the
	 * reason when it is malformed. */
	void (*reply)(void *ctx, uint64_t token, const struct cell_answer *a);

	void (*peer_send)(void *ctx, const char *addr, GBytes *msg);
	void (*peer_reset)(void *ctx, const char *addr);
	/* Drops the connection to a peer; the next message opens a new one. */
	bool (*peer_refused)(void *ctx, const char *addr);
	/* Whether the last attempt to connect found nobody listening. */

	void (*log)(
	    void *ctx, const char *prefix, const char *event, const char *text);
	/* One structured line; text is `key=value` pairs. */
	void (*count)(void *ctx, const char *name, uint64_t by);
	void (*observe)(void *ctx, const char *name, uint64_t ms);
	/* Counters and latency histograms. */

	void *outside; /* passed to the functions up to decode_job */
	void *ctx;     /* passed to those after it */
};

/* Times and bounds of a deployment; each from the settings file. */
struct cell_limits {
	uint32_t lease_max_ms; /* longest lease a worker grants */
	uint32_t stop_ms;      /* a stop takes at most that long */
	uint32_t revoke_ms;    /* a withdrawn key is dead after it */
	uint32_t status_ms;    /* how long an ended job is remembered */
	uint32_t visible_ms;   /* an accepted job is shown after it */
	uint32_t rack_factor;  /* slower off the data's rack */
	uint32_t gang_ms;      /* members wait that long for the others */
	uint32_t notice_ms;    /* a lasting task is back after it */
	uint32_t harm_ms;      /* a target may be missed that long */
};

#endif
