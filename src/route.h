/*
 * Parts of the router: which failures are the target's fault, the rate at which
 * requests complete while targets are full, and memory use.
 */

#ifndef OGL_ROUTE_H
#define OGL_ROUTE_H

#include "orioleglade.h"

/* ---- blame ------------------------------------------------------------ */

#define OGL_BLAME_ENTRIES 64 /* failed requests remembered */

/* A request that failed on a target. */
struct ogl_blame_entry {
	uint64_t request;
	uint32_t target;
	bool blamed;        /* counted as the target's fault */
	ogl_time failed_at; /* 0 if the entry is empty */
};

struct ogl_blame {
	struct ogl_blame_entry entries[OGL_BLAME_ENTRIES];
	uint32_t next;
};

bool ogl_blame_record(
    struct ogl_blame *b, uint64_t request, uint32_t target, ogl_time now);
/* Records that a request failed on a target.  Returns whether the failure
 * counts as the target's fault. */

bool ogl_blame_clear(struct ogl_blame *b, uint64_t request, uint32_t target,
    ogl_time now, uint32_t *cleared);
/* Finds one other target that was blamed for the same request, clears that
 * blame and stores the target in *cleared.  Returns false if there is none. */

/* ---- drain rate ------------------------------------------------------- */

struct ogl_drain {
	ogl_time window_start;
	uint32_t completed; /* requests completed in the window */
	/* Requests completed per second while targets were full, 0 if
	 * unknown. */
	double rate;
	ogl_time full_at; /* when a request last found all targets full */
};

void ogl_drain_init(struct ogl_drain *d);

void ogl_drain_note_full(struct ogl_drain *d, ogl_time now);
/* Notes that a request found no target with a free slot. */

void ogl_drain_note_completed(struct ogl_drain *d, ogl_time now);
/* Counts a completed request. */

double ogl_drain_rate(const struct ogl_drain *d, ogl_time now);
/* Returns the requests completed per second, or 0 for unknown if no request
 * found all targets full lately. */

/* ---- memory use ------------------------------------------------------- */

size_t ogl_route_bytes(const struct ogl_route *r);
/* Returns the memory held in bytes, for benchmarks and metrics. */

#endif
