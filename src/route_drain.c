/*
 * The rate at which requests complete.
 *
 * Completions are counted per time window and averaged with more weight on
 * newer windows.  If no request found all targets full in a window, its count
 * shows the demand and not the capacity, so the window is left out.
 */

#include "route.h"

#define WINDOW_LENGTH (500 * OGL_MS)
#define WINDOW_WEIGHT 0.4         /* of one window in the average */
#define FULL_EXPIRY (2 * OGL_SEC) /* how long full targets are remembered */

void
ogl_drain_init(struct ogl_drain *d)
{
	d->window_start = 0;
	d->completed = 0;
	d->rate = 0;
	d->full_at = -FULL_EXPIRY;
}

void
ogl_drain_note_full(struct ogl_drain *d, ogl_time now)
{
	d->full_at = now;
}

void
ogl_drain_note_completed(struct ogl_drain *d, ogl_time now)
{
	ogl_time length = now - d->window_start;
	double rate;

	d->completed++;
	if (length < WINDOW_LENGTH)
		return;
	rate = (double)d->completed * OGL_SEC / (double)length;
	if (d->window_start > 0 && d->full_at >= d->window_start) {
		if (d->rate > 0)
			d->rate += WINDOW_WEIGHT * (rate - d->rate);
		else
			d->rate = rate;
	}
	d->window_start = now;
	d->completed = 0;
}

double
ogl_drain_rate(const struct ogl_drain *d, ogl_time now)
{
	return now - d->full_at < FULL_EXPIRY ? d->rate : 0;
}
