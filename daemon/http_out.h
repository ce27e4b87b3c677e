/*
 * HTTP towards the platform, workers and executors.  Each request started
 * ends in exactly one event whose `io` says what became of it; enum ogl_io
 * tells what each value promises.
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
	uint64_t crossed;   /* answers without this request's token */
	uint64_t cut;       /* answers that ended early */
	uint64_t malformed; /* answers that do not parse, or too large */
	uint64_t resends;   /* silent second sends that were stopped */
};

struct ogl_http_out *ogl_http_out_init(struct ev_loop *loop,
    const char *platform, struct ogl_sink sink, struct ogl_logger *log);
void ogl_http_out_end(struct ogl_http_out *h);
/* Requests under way are dropped without an event. */

/* Each serves the action of its name. */
void ogl_http_out_append(struct ogl_http_out *h, const struct ogl_action *a);
void ogl_http_out_read(struct ogl_http_out *h, const struct ogl_action *a);
void ogl_http_out_hosts(struct ogl_http_out *h, const struct ogl_action *a);
void ogl_http_out_worker(struct ogl_http_out *h, const struct ogl_action *a);
void ogl_http_out_exec(struct ogl_http_out *h, const struct ogl_action *a);

bool ogl_http_out_run(struct ogl_http_out *h);
/* Starts what was just handed in, without a turn of the loop; whether there
 * was anything to do. */

const struct ogl_http_out_counts *ogl_http_out_counts(
    const struct ogl_http_out *h);

#endif
