/*
 * The rate at which requests leave their targets.
 *
 * Counted by windows and averaged, newer ones weighing more.  A window in
 * which no request lacked a place tells how much was asked for, not how much
 * could be done, and is left out.
 */

#include "route.h"

#define WINDOW (500 * OGL_MS)
#define GAIN 0.4                 /* of one window in the average */
#define SHORT_LIFE (2 * OGL_SEC) /* how long a lack of places matters */

void
ogl_drain_init(struct ogl_drain *d)
{
	d->window = 0;
	d->left = 0;
	d->rate = 0;
	d->short_at = -SHORT_LIFE;
}

void
ogl_drain_short(struct ogl_drain *d, ogl_time now)
{
	d->short_at = now;
}

void
ogl_drain_count(struct ogl_drain *d, ogl_time now)
{
	ogl_time length = now - d->window;
	double rate;

	d->left++;
	if (length < WINDOW)
		return;
	rate = (double)d->left * OGL_SEC / (double)length;
	if (d->window > 0 && d->short_at >= d->window) {
		if (d->rate > 0)
			d->rate += GAIN * (rate - d->rate);
		else
			d->rate = rate;
	}
	d->window = now;
	d->left = 0;
}

double
ogl_drain_rate(const struct ogl_drain *d, ogl_time now)
{
	return now - d->short_at < SHORT_LIFE ? d->rate : 0;
}
