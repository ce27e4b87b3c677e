/*
 * The function to which the parts of the daemon pass received events; it passes
 * them to the node.  What an event points to stays the caller's and is valid
 * during the call only.
 */
#ifndef OGL_SINK_H
#define OGL_SINK_H

#include "orioleglade.h"

struct ogl_sink {
	void (*event)(void *ctx, const struct ogl_event *ev);
	void *ctx;
};

#endif
