/*
 * While a new owner reads the jobs it takes over, calls wait for it at every
 * node.  Sent all at once, with the jobs they carry, they would fill its link.
 * Its heartbeats would be late, and it would lose the shard to the next owner,
 * which would get the same calls.  So a node starts with one call, and each
 * answer enlarges the window by one, which doubles it in each round trip.
 *
 * The window shrinks while messages to the owner take long, whether they wait
 * for its link or its processor.  The duration of a call does not show that, as
 * a call also waits for the store.
 */

#include "window.h"

#define WINDOW_MAX_CALLS 256
/* Least size after the first answer. */
#define WINDOW_SERVED_CALLS 4
/* Least time between two calls to an owner that does not serve yet. */
#define REFUSED_RETRY_DELAY (150 * OGL_MS)
/* A normal round trip takes some milliseconds; a longer one shows a queue. */
#define ROUND_TRIP_MAX (200 * OGL_MS)
/* Least time between two reductions, as the effect of one shows only after a
 * round trip. */
#define SHRINK_INTERVAL_MIN (200 * OGL_MS)

void
cell_window_reset(struct cell_window *w)
{
	w->size = 1;
	w->in_flight = 0;
	w->has_served = false;
	w->closed_until = 0;
}

bool
cell_window_allows(const struct cell_window *w, ogl_time now)
{
	return now >= w->closed_until && w->in_flight < MAX(w->size, 1);
}

void
cell_window_sent(struct cell_window *w)
{
	w->in_flight++;
}

void
cell_window_ended(struct cell_window *w)
{
	if (w->in_flight > 0)
		w->in_flight--;
}

void
cell_window_answered(struct cell_window *w)
{
	w->size = MIN(w->size + 1, WINDOW_MAX_CALLS);
	if (!w->has_served)
		w->size = MAX(w->size, WINDOW_SERVED_CALLS);
	w->has_served = true;
	w->closed_until = 0;
}

/* An owner that has served may refuse single calls while it can't confirm its
 * ownership, and still answers others.  So its refusals do not close the
 * window. */
void
cell_window_refused(struct cell_window *w, ogl_time now)
{
	if (w->has_served)
		return;
	w->size = 1;
	w->closed_until = now + REFUSED_RETRY_DELAY;
}

void
cell_window_round_trip(struct cell_window *w, ogl_time delay, ogl_time now)
{
	if (delay < ROUND_TRIP_MAX || now - w->shrunk_at < SHRINK_INTERVAL_MIN)
		return;
	w->shrunk_at = now;
	w->size = MAX(w->size / 2, 1);
}
