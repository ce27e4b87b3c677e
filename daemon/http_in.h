/*
 * HTTP server for callers and operators.  Each request becomes an OGL_EV_CALL,
 * and its connection is suspended until ogl_http_in_reply.  Health, readiness
 * and metrics are answered locally; see struct ogl_http_in_ops.
 */
#ifndef OGL_HTTP_IN_H
#define OGL_HTTP_IN_H

#include "logger.h"
#include "sink.h"

struct ev_loop;
struct ogl_http_in;

/* Called to answer the readiness and metrics paths. */
struct ogl_http_in_ops {
	bool (*ready)(void *ctx);
	char *(*metrics)(void *ctx); /* text, to be freed with g_free() */
	void *ctx;
};

struct ogl_http_in_limits {
	size_t body_max_bytes;        /* bytes of one request's body */
	size_t body_total_max_bytes;  /* bytes of all bodies in memory */
	unsigned connections_max;     /* open at the same time */
	unsigned header_buffer_bytes; /* of each connection */
	unsigned
	    request_timeout_ms;    /* from a request's first byte to its last */
	unsigned idle_timeout_s;   /* of a connection between requests */
	const char *budget_header; /* holds how long the caller waits, in ms */
	const char *ready_path;
	bool calls_only; /* no path is answered locally, all go to the node */
};

void ogl_http_in_limits_default(struct ogl_http_in_limits *l);

struct ogl_http_in_counts {
	uint64_t calls;
	uint64_t replies;
	uint64_t gone;     /* callers that disconnected before the reply */
	uint64_t too_big;  /* bodies larger than body_max_bytes */
	uint64_t no_room;  /* refused because of body_total_max_bytes */
	uint64_t too_slow; /* requests not complete within their timeout */
	uint64_t malformed;
	uint64_t late_replies; /* to calls that are no longer open */
};

struct ogl_http_in *ogl_http_in_init(struct ev_loop *loop, const char *listen,
    const struct ogl_http_in_limits *limits, struct ogl_sink sink,
    struct ogl_http_in_ops ops, struct ogl_logger *log, GError **error);

void ogl_http_in_end(struct ogl_http_in *h);

uint16_t ogl_http_in_port(const struct ogl_http_in *h);

void ogl_http_in_reply(struct ogl_http_in *h, const struct ogl_action *a);
/* Serves OGL_ACT_REPLY. */

bool ogl_http_in_run(struct ogl_http_in *h);
/* Serves all connections that are ready, without waiting; to be called before
 * the loop blocks.  Returns whether there was anything to do. */

void ogl_http_in_set_closing(struct ogl_http_in *h);
/* From now on each reply closes its connection. */

void ogl_http_in_quiesce(struct ogl_http_in *h);
/* Accepts no more connections.  Requests that still arrive are refused as not
 * executed. */

bool ogl_http_in_drained(const struct ogl_http_in *h);
/* Returns whether all connections have ended; to be called after quiesce. */

const struct ogl_http_in_counts *ogl_http_in_counts(
    const struct ogl_http_in *h);

#endif
