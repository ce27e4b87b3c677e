/*
 * How many calls a node has under way to the owner of a shard.
 */

#ifndef OGL_CELL_WINDOW_H
#define OGL_CELL_WINDOW_H

#include "orioleglade.h"

#ifdef __cplusplus
extern "C" {
#endif

struct cell_window {
	unsigned size; /* calls that may be under way; 0 as 1 */
	unsigned open; /* that are */
	bool proven;   /* the owner has answered one */
	ogl_time closed_until;
	ogl_time shrunk_at;
};

void cell_window_reset(struct cell_window *w);
/* Another owner, or none: calls to the last one are of no interest. */

bool cell_window_allows(const struct cell_window *w, ogl_time now);
void cell_window_sent(struct cell_window *w);
void cell_window_ended(struct cell_window *w);
/* A call that was sent is given up, or answered. */

void cell_window_served(struct cell_window *w);
/* The owner has answered a call. */
void cell_window_turned_away(struct cell_window *w, ogl_time now);
/* It has said that it does not serve. */
void cell_window_delay(struct cell_window *w, ogl_time delay, ogl_time now);
/* A message to it and back takes that long, or has taken it without coming
 * back. */

#ifdef __cplusplus
}
#endif

#endif
