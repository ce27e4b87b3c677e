/*
 * Limit on the calls that a node has in flight to the owner of a shard, adapted
 * to the answers and round trips.
 */

#ifndef OGL_CELL_WINDOW_H
#define OGL_CELL_WINDOW_H

#include "orioleglade.h"

#ifdef __cplusplus
extern "C" {
#endif

struct cell_window {
	unsigned size;         /* limit on calls in flight; 0 counts as 1 */
	unsigned in_flight;    /* calls in flight */
	bool has_answered;     /* the owner has answered a call */
	ogl_time closed_until; /* no call is sent before; 0: open */
	ogl_time shrunk_at;    /* last reduction of the size */
};

void cell_window_reset(struct cell_window *w);
/* The shard has another owner, or none.  Calls to the former owner no longer
 * count. */

bool cell_window_allows(const struct cell_window *w, ogl_time now);
/* Whether another call may be sent. */
void cell_window_sent(struct cell_window *w);
/* A call has been sent. */
void cell_window_ended(struct cell_window *w);
/* A call that was sent has been answered, refused or given up. */

void cell_window_answered(struct cell_window *w);
/* The owner has answered a call. */
void cell_window_refused(struct cell_window *w, ogl_time now);
/* The owner has refused a call, as it does not serve the shard now. */
void cell_window_round_trip(
    struct cell_window *w, ogl_time delay, ogl_time now);
/* A round trip to the owner has taken this delay, or has not ended after it. */

#ifdef __cplusplus
}
#endif

#endif
