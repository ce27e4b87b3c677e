/*
 * Where the parts of the daemon hand what they received: one function that
 * steps the node.  The event borrows all it points at for the call.
 */
#ifndef OGL_SINK_H
#define OGL_SINK_H

#include "orioleglade.h"

struct ogl_sink {
	void (*event)(void *ctx, const struct ogl_event *ev);
	void *ctx;
};

#endif
