/*
 * A new owner reads the jobs it takes over while calls wait for it at every
 * node.  All of them at once, with the jobs in them, would fill its link; it
 * would then be late with its heartbeats and lose the shard to the next owner,
 * which meets the same calls.  So a node begins with one call, and each answer
 * lets one more go, which doubles their number in each round trip.
 *
 * The same holds while messages to the owner take long, whether they wait for
 * its link or its processor.  What a call takes says little of that, as it
 * waits for the store too.
 */

#include "window.h"

#define SIZE_MAX_CALLS 256
/* After the first answer. */
#define SIZE_PROVEN 4
/* Between two calls to an owner that does not serve yet. */
#define TURNED_AWAY (150 * OGL_MS)
/* A round trip takes some milliseconds; what is longer waits somewhere. */
#define DELAY_MAX (200 * OGL_MS)
/* What a smaller window brings shows only after a round trip. */
#define SHRINK_GAP (200 * OGL_MS)

void
cell_window_reset(struct cell_window *w)
{
	w->size = 1;
	w->open = 0;
	w->proven = false;
	w->closed_until = 0;
}

bool
cell_window_allows(const struct cell_window *w, ogl_time now)
{
	return now >= w->closed_until && w->open < MAX(w->size, 1);
}

void
cell_window_sent(struct cell_window *w)
{
	w->open++;
}

void
cell_window_ended(struct cell_window *w)
{
	if (w->open > 0)
		w->open--;
}

void
cell_window_served(struct cell_window *w)
{
	w->size = MIN(w->size + 1, SIZE_MAX_CALLS);
	if (!w->proven)
		w->size = MAX(w->size, SIZE_PROVEN);
	w->proven = true;
	w->closed_until = 0;
}

/* An owner that has served turns single calls away while it can't be sure that
 * it still is the owner; the others it answers. */
void
cell_window_turned_away(struct cell_window *w, ogl_time now)
{
	if (w->proven)
		return;
	w->size = 1;
	w->closed_until = now + TURNED_AWAY;
}

void
cell_window_delay(struct cell_window *w, ogl_time delay, ogl_time now)
{
	if (delay < DELAY_MAX || now - w->shrunk_at < SHRINK_GAP)
		return;
	w->shrunk_at = now;
	w->size = MAX(w->size / 2, 1);
}
