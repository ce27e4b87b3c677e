/*
 * The rate at which requests complete while all targets are full.  The router
 * estimates waiting times from it.
 *
 * Completions are counted per time window and averaged with more weight on
 * newer windows.  A window in which no request found all targets full is left
 * out, since its count shows how many requests came and not how many the
 * targets can complete.
 */

#include "route.h"

#define WINDOW_LENGTH (500 * OGL_MS)
#define WINDOW_WEIGHT 0.4 /* weight of the newest window in the average */
/* If no request found all targets full for this long, the rate is unknown. */
#define RATE_EXPIRY (2 * OGL_SEC)

void
ogl_drain_init(struct ogl_drain *d)
{
	d->window_start = 0;
	d->completed = 0;
	d->rate = 0;
	d->full_at = -RATE_EXPIRY;
}

void
ogl_drain_note_full(struct ogl_drain *d, ogl_time now)
{
	d->full_at = now;
}

void
ogl_drain_note_completed(struct ogl_drain *d, ogl_time now)
{
	ogl_time window_length = now - d->window_start;
	double window_rate;

	d->completed++;
	if (window_length < WINDOW_LENGTH)
		return;
	window_rate = (double)d->completed * OGL_SEC / (double)window_length;
	if (d->window_start > 0 && d->full_at >= d->window_start) {
		if (d->rate > 0)
			d->rate += WINDOW_WEIGHT * (window_rate - d->rate);
		else
			d->rate = window_rate;
	}
	d->window_start = now;
	d->completed = 0;
}

double
ogl_drain_rate(const struct ogl_drain *d, ogl_time now)
{
	return now - d->full_at < RATE_EXPIRY ? d->rate : 0;
}
