/*
 * HTTP requests to the platform, workers and executors.  Each request ends in
 * exactly one event, whose `io` is the result; see enum ogl_io_result for the
 * meaning of its values.
 */
#ifndef OGL_HTTP_OUT_H
#define OGL_HTTP_OUT_H

#include "logger.h"
#include "sink.h"

struct ev_loop;
struct ogl_http_out;

struct ogl_http_out_counts {
	uint64_t requests;
	uint64_t ok;
	uint64_t not_sent;
	uint64_t refused;
	uint64_t lost;
	uint64_t crossed;   /* answers without the request's token */
	uint64_t cut;       /* truncated answers */
	uint64_t malformed; /* answers that do not parse or are too large */
	uint64_t resends_stopped; /* second sendings by libcurl, prevented */
};

struct ogl_http_out *ogl_http_out_init(struct ev_loop *loop,
    const char *platform, struct ogl_sink sink, struct ogl_logger *log);
void ogl_http_out_end(struct ogl_http_out *h);
/* Drops the requests in progress, without an event. */

/* Each of these serves the action of its name. */
void ogl_http_out_append(struct ogl_http_out *h, const struct ogl_action *a);
void ogl_http_out_read(struct ogl_http_out *h, const struct ogl_action *a);
void ogl_http_out_hosts(struct ogl_http_out *h, const struct ogl_action *a);
void ogl_http_out_worker(struct ogl_http_out *h, const struct ogl_action *a);
void ogl_http_out_exec(struct ogl_http_out *h, const struct ogl_action *a);

bool ogl_http_out_run(struct ogl_http_out *h);
/* Starts the requests added since the last call, without a turn of the event
 * loop.  Returns whether there was anything to do. */

const struct ogl_http_out_counts *ogl_http_out_counts(
    const struct ogl_http_out *h);

#endif
