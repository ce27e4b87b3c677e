/*
 * The daemon's middle: steps the node with each event and hands each action
 * to the part that serves it.
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
/* The realtime clock. */

struct ogl_dispatch *ogl_dispatch_init(
    struct ev_loop *loop, struct ogl_logger *log);
void ogl_dispatch_end(struct ogl_dispatch *d);

ogl_time ogl_dispatch_now(const struct ogl_dispatch *d);
/* The node's clock: realtime at init, from there on steady. */

struct ogl_sink ogl_dispatch_sink(struct ogl_dispatch *d);
struct ogl_http_in_ops ogl_dispatch_http_ops(struct ogl_dispatch *d);
/* What the parts are made with. */

void ogl_dispatch_begin(
    struct ogl_dispatch *d, const struct ogl_dispatch_parts *parts);
/* Takes up work once all parts are there; the parts stay the caller's. */

void ogl_dispatch_stop(struct ogl_dispatch *d);
/* Begins a graceful shutdown; the loop is broken once it is complete, or
 * after its hard limit. */

bool ogl_dispatch_clean(const struct ogl_dispatch *d);
/* Whether the shutdown was complete when the loop was broken. */

#endif
