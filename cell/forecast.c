/*
 * Jobs wait in lines.  A line's expected wait is its length divided by the rate
 * at which its jobs have been started lately.  That covers whatever the jobs
 * wait for, be it room, a team's limit or the advice service.
 *
 * The rate is an exponentially weighted average.  If hardly any job has been
 * started, the rate is taken to be one job in the time that the oldest one has
 * waited, so that the forecast grows while a line stands still.
 */

#include <glib.h>
#include <math.h>

#include "forecast.h"

/* Time constant of the average rate. */
#define RATE_TIME (5 * OGL_SEC)
/* Until this long after a reset, the rate says more about the takeover than
 * about the cell. */
#define LEARNING_TIME (6 * OGL_SEC)
/* Weight of one comparison of a forecast with what came of it. */
#define CHECK_WEIGHT 0.05
/* Shorter waits and forecasts say nothing about each other. */
#define CHECK_MIN (200 * OGL_MS)
/* Bounds of the correction of a line's forecasts. */
#define CORRECTION_MIN 0.25
#define CORRECTION_MAX 1.0

/* The jobs of a line as counted. */
struct count {
	unsigned in_time;
	unsigned late;
	ogl_time oldest; /* since when the oldest one has waited */
};

struct cell_line {
	char *name; /* borrowed from the table */
	struct count count;
	double rate; /* starts a second, as of rate_at */
	ogl_time rate_at;
	double correction; /* factor for forecasts */
};

struct cell_forecast {
	GHashTable *lines; /* name -> struct cell_line */
	ogl_time begun_at;
};

struct cell_forecast *
cell_forecast_init(void)
{
	struct cell_forecast *f = g_new0(struct cell_forecast, 1);

	f->lines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return f;
}

void
cell_forecast_end(struct cell_forecast *f)
{
	g_hash_table_unref(f->lines);
	g_free(f);
}

void
cell_forecast_reset(struct cell_forecast *f, ogl_time now)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, f->lines);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct cell_line *l = p;

		*l = (struct cell_line){
		    .name = l->name, .correction = CORRECTION_MAX};
	}
	f->begun_at = now;
}

struct cell_line *
cell_forecast_line(struct cell_forecast *f, const char *name)
{
	struct cell_line *l = g_hash_table_lookup(f->lines, name);

	if (l == NULL) {
		l = g_new0(struct cell_line, 1);
		l->correction = CORRECTION_MAX;
		l->name = g_strdup(name);
		g_hash_table_insert(f->lines, l->name, l);
	}
	return l;
}

void
cell_forecast_begin_count(struct cell_forecast *f)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, f->lines);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct cell_line *l = p;

		l->count = (struct count){0};
	}
}

void
cell_forecast_count(struct cell_line *l, bool in_time, ogl_time since)
{
	struct count *c = &l->count;

	if (c->in_time + c->late == 0 || since < c->oldest)
		c->oldest = since;
	if (in_time)
		c->in_time++;
	else
		c->late++;
}

static double
rate_at(const struct cell_line *l, ogl_time now)
{
	return l->rate * exp(-(double)(now - l->rate_at) / (double)RATE_TIME);
}

const char *
cell_forecast_line_name(const struct cell_line *l)
{
	return l->name;
}

double
cell_forecast_rate(const struct cell_line *l, ogl_time now)
{
	return rate_at(l, now);
}

void
cell_forecast_started(struct cell_line *l, ogl_time now)
{
	l->rate = rate_at(l, now) + (double)OGL_SEC / (double)RATE_TIME;
	l->rate_at = now;
}

void
cell_forecast_check(struct cell_line *l, ogl_time expected, ogl_time waited)
{
	double ratio;

	if (expected < CHECK_MIN)
		return;
	ratio = (double)waited / (double)expected * l->correction;
	l->correction += CHECK_WEIGHT * (ratio - l->correction);
	l->correction = CLAMP(l->correction, CORRECTION_MIN, CORRECTION_MAX);
}

struct cell_expected_wait
cell_forecast_wait(
    const struct cell_forecast *f, const struct cell_line *l, ogl_time now)
{
	struct cell_expected_wait w = {0, 0};
	const struct count *c;
	double rate, each;

	if (now - f->begun_at < LEARNING_TIME)
		return w;
	c = &l->count;
	if (c->in_time + c->late == 0)
		return w;
	rate = rate_at(l, now);
	rate = MAX(rate, (double)OGL_SEC / (double)MAX(now - c->oldest, 1));
	each = l->correction * (double)OGL_SEC / rate;
	w.behind_in_time = (ogl_time)(c->in_time * each);
	w.behind_all = (ogl_time)((c->in_time + c->late) * each);
	return w;
}
