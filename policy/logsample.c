#include "logsample.h"

/* How long the lines have to stay below the limit before the share rises.  Log
 * bursts come with bursts of load, which last some seconds. */
#define RISE_INTERVAL (5 * OGL_SEC)
#define MAX_SHIFT 31

/* Each share is at least half and at most three quarters of the one before, so
 * that the share is halved by at most two steps down. */
static const uint16_t shares_permille[OGL_LOGSAMPLE_SHARES] = {1, 2, 3, 4, 6, 8,
    12, 16, 23, 31, 47, 62, 94, 125, 187, 250, 375, 500, 750, 1000};

void
ogl_logsample_init(struct ogl_logsample *s, unsigned lines_max, ogl_time now)
{
	s->lines_max = lines_max;
	s->rises[0].since = INT64_MIN;
	s->rises[0].share = OGL_LOGSAMPLE_SHARES - 1;
	s->n = 1;
	s->falls = 0;
	s->peak = 0;
	s->peak_since = now;
}

unsigned
ogl_logsample_position(struct ogl_str id)
{
	uint64_t h = 14695981039346656037U; /* FNV-1a */
	size_t i;

	for (i = 0; i < id.n; i++)
		h = (h ^ (unsigned char)id.p[i]) * 1099511628211U;
	/* The low bits depend on too few bits of the last bytes. */
	h ^= h >> 32;
	return (unsigned)(h % 1000);
}

unsigned
ogl_logsample_permille(const struct ogl_logsample *s)
{
	return shares_permille[s->rises[s->n - 1].share];
}

static bool
in_sample(const struct ogl_logsample *s, unsigned position, ogl_time began)
{
	unsigned i = s->n - 1;

	while (i > 0 && s->rises[i].since > began)
		i--;
	return position < shares_permille[s->rises[i].share];
}

static unsigned
halved(unsigned share)
{
	unsigned target = shares_permille[share] / 2;

	while (share > 0 && shares_permille[share] > MAX(target, 1))
		share--;
	return share;
}

void
ogl_logsample_reduce(struct ogl_logsample *s, ogl_time now)
{
	unsigned share = halved(s->rises[s->n - 1].share);

	/* The lower share holds for all jobs that began under a higher one. */
	while (s->n > 1 && s->rises[s->n - 2].share >= share)
		s->n--;
	s->rises[s->n - 1].share = share;
	s->falls++;
	s->peak = 0;
	s->peak_since = now;
}

static void
raise_share(struct ogl_logsample *s, ogl_time now)
{
	unsigned share = s->rises[s->n - 1].share;

	/* A share is at most doubled by a rise, so half of the limit leaves
	 * room for one. */
	while (now - s->peak_since >= RISE_INTERVAL) {
		if (s->peak <= s->lines_max / 2 &&
		    share + 1 < OGL_LOGSAMPLE_SHARES) {
			share++;
			s->rises[s->n].since = now;
			s->rises[s->n].share = share;
			s->n++;
		}
		s->peak = 0;
		s->peak_since = share + 1 < OGL_LOGSAMPLE_SHARES
				    ? s->peak_since + RISE_INTERVAL
				    : now;
	}
}

/* About half of the lines counted before a fall were of jobs that are no longer
 * in the sample. */
static void
update_event(struct ogl_logsample_event *e, unsigned falls, ogl_time now)
{
	if (now - e->second_start >= OGL_SEC) {
		e->second_start = now;
		e->used = 0;
	} else {
		e->used >>= MIN(falls - e->falls, MAX_SHIFT);
	}
	e->falls = falls;
}

bool
ogl_logsample_take(struct ogl_logsample *s, struct ogl_logsample_event *e,
    struct ogl_str id, ogl_time began, ogl_time now)
{
	unsigned position = ogl_logsample_position(id);

	raise_share(s, now);
	update_event(e, s->falls, now);
	if (!in_sample(s, position, began))
		return false;
	if (e->used >= s->lines_max) {
		/* At the lowest share, what remains are lines of very few jobs
		 * with very many tasks. */
		if (s->rises[s->n - 1].share == 0)
			return false;
		ogl_logsample_reduce(s, now);
		update_event(e, s->falls, now);
		if (!in_sample(s, position, began))
			return false;
	}
	e->used++;
	s->peak = MAX(s->peak, e->used);
	return true;
}
