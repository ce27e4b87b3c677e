/*
 * Parts of routing: who is to blame for failures, and the drain rate.
 */

#ifndef OGL_ROUTE_H
#define OGL_ROUTE_H

#include "orioleglade.h"

/* ---- blame ------------------------------------------------------------ */

#define OGL_BLAME_KEPT 64 /* failed requests remembered */

/* A request that failed on a target. */
struct ogl_blame_entry {
	uint64_t request;
	uint32_t t;
	bool blamed; /* the target's fault, as far as is known */
	ogl_time at; /* 0 when empty */
};

struct ogl_blame {
	struct ogl_blame_entry entries[OGL_BLAME_KEPT];
	uint32_t next;
};

bool ogl_blame_note(
    struct ogl_blame *b, uint64_t request, uint32_t t, ogl_time now);
/* A request failed on target t; whether that is the target's fault. */

bool ogl_blame_lift(struct ogl_blame *b, uint64_t request, uint32_t t,
    ogl_time now, uint32_t *before);
/* Gives one target other than t that was blamed for this request and is
 * blamed no more; false when there is none. */

/* ---- drain rate ------------------------------------------------------- */

struct ogl_drain {
	ogl_time window;   /* its start */
	uint32_t left;     /* requests that left in it */
	double rate;       /* a second, while places were short; 0 unknown */
	ogl_time short_at; /* when a place was last lacking */
};

void ogl_drain_init(struct ogl_drain *d);

void ogl_drain_short(struct ogl_drain *d, ogl_time now);
/* A request found no place. */

void ogl_drain_count(struct ogl_drain *d, ogl_time now);
/* A request left. */

double ogl_drain_rate(const struct ogl_drain *d, ogl_time now);
/* Requests that leave a second, or 0 when places were not short lately. */

/* ---- the whole -------------------------------------------------------- */

size_t ogl_route_bytes(const struct ogl_route *r);
/* Memory held, for bench and metrics. */

#endif
