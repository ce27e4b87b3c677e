/*
 * HTTP towards callers and operators.  Every request becomes an OGL_EV_CALL
 * and waits, its connection suspended, until ogl_http_in_reply, but for the
 * paths of struct ogl_http_in_ops, which are answered here.
 */
#ifndef OGL_HTTP_IN_H
#define OGL_HTTP_IN_H

#include "logger.h"
#include "sink.h"

struct ev_loop;
struct ogl_http_in;

/* What the rest of the daemon tells this part. */
struct ogl_http_in_ops {
	bool (*ready)(void *ctx);
	char *(*metrics)(void *ctx); /* g_free */
	void *ctx;
};

struct ogl_http_in_limits {
	size_t body_max;           /* bytes of one request's body */
	size_t body_total_max;     /* bytes of all bodies held at once */
	unsigned connections_max;  /* open at once */
	unsigned header_max;       /* bytes of a connection's header buffer */
	unsigned request_ms;       /* from its first byte to its last */
	unsigned idle_s;           /* a connection between requests */
	const char *budget_header; /* tells how long a caller waits, ms */
	const char *ready_path;
	bool calls_only; /* every path is the node's, none answered here */
};

void ogl_http_in_limits_default(struct ogl_http_in_limits *l);

struct ogl_http_in_counts {
	uint64_t calls;
	uint64_t replies;
	uint64_t gone;     /* callers that left before their reply */
	uint64_t too_big;  /* bodies over their limit */
	uint64_t no_room;  /* bodies over the total */
	uint64_t too_slow; /* requests not whole in time */
	uint64_t malformed;
	uint64_t late; /* replies to calls no longer open */
};

struct ogl_http_in *ogl_http_in_init(struct ev_loop *loop, const char *listen,
    const struct ogl_http_in_limits *limits, struct ogl_sink sink,
    struct ogl_http_in_ops ops, struct ogl_logger *log, GError **error);

void ogl_http_in_end(struct ogl_http_in *h);

uint16_t ogl_http_in_port(const struct ogl_http_in *h);

void ogl_http_in_reply(struct ogl_http_in *h, const struct ogl_action *a);
/* Serves OGL_ACT_REPLY. */

bool ogl_http_in_run(struct ogl_http_in *h);
/* Moves what is ready without waiting; to be called before the loop blocks.
 * Whether there was anything to do. */

void ogl_http_in_closing(struct ogl_http_in *h);
/* From here on each reply closes its connection. */

void ogl_http_in_quiesce(struct ogl_http_in *h);
/* Takes no more connections; requests still arriving are refused, not run. */

bool ogl_http_in_drained(const struct ogl_http_in *h);
/* After quiesce: whether every connection has ended. */

const struct ogl_http_in_counts *ogl_http_in_counts(
    const struct ogl_http_in *h);

#endif
