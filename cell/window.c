/*
 * Limits how many calls a node has in flight to the owner of a shard.  The
 * limit, called the window, grows with each answer and shrinks when round trips
 * take long.
 *
 * While a new owner reads the jobs it takes over, calls wait for it at every
 * node.  Sent all at once, with the jobs they carry, they would fill its link
 * and delay its heartbeats.  It would then lose the shard to another owner, and
 * the same calls would fill that owner's link.  So a node starts with one call,
 * and each answer enlarges the window by one, which doubles it in each round
 * trip.
 *
 * A long round trip of a ping shows that messages wait for the owner's link or
 * processor.  A long call does not show this, because a call also waits for the
 * store.
 */

#include "window.h"

#define WINDOW_CALLS_MAX 256
/* Size of the window after the first answer of an owner. */
#define FIRST_ANSWER_WINDOW_CALLS 4
/* Delay before the next call when an owner that has not answered any call yet
 * refuses one. */
#define REFUSED_RETRY_DELAY (150 * OGL_MS)
/* A normal round trip takes a few milliseconds; one that takes this long shows
 * that messages wait for the owner. */
#define ROUND_TRIP_MAX (200 * OGL_MS)
/* Minimum time between two reductions of the window.  The effect of a reduction
 * shows only after a round trip. */
#define SHRINK_INTERVAL_MIN (200 * OGL_MS)

void
cell_window_reset(struct cell_window *w)
{
	w->size = 1;
	w->in_flight = 0;
	w->has_answered = false;
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
	w->size = MIN(w->size + 1, WINDOW_CALLS_MAX);
	if (!w->has_answered)
		w->size = MAX(w->size, FIRST_ANSWER_WINDOW_CALLS);
	w->has_answered = true;
	w->closed_until = 0;
}

/* Refusals by an owner that has answered a call do not close the window: while
 * it can't confirm its ownership it refuses some calls and answers others. */
void
cell_window_refused(struct cell_window *w, ogl_time now)
{
	if (w->has_answered)
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
