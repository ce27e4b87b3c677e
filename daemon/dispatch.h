/*
 * The daemon's dispatcher: passes each event to the node, and each action of
 * the node to the part that serves it.
 */
#ifndef OGL_DISPATCH_H
#define OGL_DISPATCH_H

#include "http_in.h"
#include "http_out.h"
#include "logger.h"
#include "peer.h"
#include "sink.h"

struct ev_loop;
struct ogl_dispatch;

struct ogl_dispatch_parts {
	struct ogl_node *node;
	struct ogl_http_in *http_in;
	struct ogl_http_out *http_out;
	struct ogl_peer *peer;
};

ogl_time ogl_clock_real(void);
/* Returns the time of the wall clock. */

struct ogl_dispatch *ogl_dispatch_init(
    struct ev_loop *loop, struct ogl_logger *log);
void ogl_dispatch_end(struct ogl_dispatch *d);

ogl_time ogl_dispatch_now(const struct ogl_dispatch *d);
/* Returns the node's time: the wall clock at init plus the time elapsed on the
 * monotonic clock since. */

struct ogl_sink ogl_dispatch_sink(struct ogl_dispatch *d);
struct ogl_http_in_ops ogl_dispatch_http_ops(struct ogl_dispatch *d);
/* The arguments for creating the parts. */

void ogl_dispatch_begin(
    struct ogl_dispatch *d, const struct ogl_dispatch_parts *parts);
/* Starts serving; all parts have to exist.  The caller keeps owning them. */

void ogl_dispatch_stop(struct ogl_dispatch *d);
/* Begins a graceful shutdown.  Breaks the loop once it is complete, or after a
 * timeout. */

bool ogl_dispatch_complete(const struct ogl_dispatch *d);
/* Returns whether the shutdown was complete when the loop was broken. */

#endif
