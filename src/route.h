/*
 * Parts of the router: which failures are the target's fault, the rate at which
 * requests complete while all targets are full, and memory use.
 */

#ifndef OGL_ROUTE_H
#define OGL_ROUTE_H

#include "orioleglade.h"

/* ---- blame ------------------------------------------------------------ */

#define OGL_BLAME_ENTRIES 64 /* number of recent failures that are kept */

/* A request that failed on a target. */
struct ogl_blame_entry {
	uint64_t request;
	uint32_t target;
	bool blamed;        /* counted as the target's fault */
	ogl_time failed_at; /* 0 if the entry is empty */
};

struct ogl_blame {
	struct ogl_blame_entry entries[OGL_BLAME_ENTRIES];
	uint32_t next; /* entry to overwrite next, modulo OGL_BLAME_ENTRIES */
};

bool ogl_blame_record(
    struct ogl_blame *b, uint64_t request, uint32_t target, ogl_time now);
/* Records that a request failed on a target.  Returns whether the failure
 * counts as the target's fault. */

bool ogl_blame_clear(struct ogl_blame *b, uint64_t request, uint32_t target,
    ogl_time now, uint32_t *cleared);
/* If a failure of the same request was counted as another target's fault,
 * clears that blame, stores the other target in *cleared and returns true.
 * Clears one target per call; returns false if there is none left. */

/* ---- drain rate ------------------------------------------------------- */

struct ogl_drain {
	ogl_time window_start; /* 0 before the first completed request */
	uint32_t completed;    /* requests completed in the window */
	/* Requests completed per second while all targets were full, 0 if
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
/* Returns the requests completed per second.  Returns 0 (unknown) if no request
 * found all targets full recently (RATE_EXPIRY in route_drain.c). */

/* ---- memory use ------------------------------------------------------- */

size_t ogl_route_bytes(const struct ogl_route *r);
/* Returns the memory held in bytes, for benchmarks and metrics. */

#endif
