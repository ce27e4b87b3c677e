/*
 * Tells whether a new job can start in time to be of use, and when one could.
 */

#include "ablate.h"
#include "sched_impl.h"

#define LINE_NAME_MAX 256
/* A job is refused only if it would wait this many times too long: a forecast
 * that errs costs a caller whose job could have been served. */
#define FORECAST_MARGIN 2.0

/* Jobs of a queue wait in one line, those beyond their team's rate in another.
 */
static struct cell_line *
line_of(struct cell_sched *s, struct cell_job *j)
{
	char name[LINE_NAME_MAX];

	if (j->line == NULL) {
		g_snprintf(name, sizeof name, "%s%s", j->def->queue,
		    j->beyond_rate ? " beyond rate" : "");
		j->line = cell_forecast_line(s->forecast, name);
	}
	return j->line;
}

/* The line of jobs of a queue that wait for their team's limit. */
static struct cell_line *
team_line_of(struct cell_sched *s, struct cell_job *j)
{
	char name[LINE_NAME_MAX];

	if (j->team_line == NULL) {
		g_snprintf(
		    name, sizeof name, "%s of %s", j->def->queue, j->def->team);
		j->team_line = cell_forecast_line(s->forecast, name);
	}
	return j->team_line;
}

void
cell_sched_count_waiting_job(
    struct cell_sched *s, const struct cell_stage *st, unsigned precedence)
{
	struct cell_line *l;

	if (st->job->placed || precedence % 3 == PRECEDENCE_TOO_LATE)
		return;
	if (st->wait_reason == CELL_WAIT_LIMIT)
		l = team_line_of(s, st->job);
	else
		l = line_of(s, st->job);
	cell_forecast_count(l, precedence % 3 == 0, st->job->accepted);
}

void
cell_sched_count_first_start(
    struct cell_sched *s, struct cell_job *j, ogl_time now)
{
	ogl_time waited = now - j->accepted;

	if (j->placed)
		return;
	j->placed = true;
	cell_forecast_started(team_line_of(s, j), now);
	cell_forecast_started(line_of(s, j), now);
	cell_forecast_check(line_of(s, j), j->expected_wait, waited);
	s->parts.ops->observe(s->parts.ops->ctx, "forecast_error_ms",
	    (uint64_t)(ABS(j->expected_wait - waited) / OGL_MS));
}

/* Whether every listed worker is drained or in an evacuated zone. */
static bool
all_closed(const struct cell_sched *s)
{
	GHashTableIter it;
	gpointer p;
	bool any = false;

	g_hash_table_iter_init(&it, cell_fleet_workers(s->parts.fleet));
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct cell_worker *w = p;

		if (!w->listed)
			continue;
		if (!w->evacuated && !w->draining)
			return false;
		any = true;
	}
	return any;
}

/*
 * How long no worker is expected to take work, 0 if there are some that do.
 * Nobody says when the operator will open them again, so it is taken to last as
 * long as it did the last time, or as long again as it has lasted.
 */
static ogl_time
expected_closure(struct cell_sched *s, ogl_time now)
{
	if (!all_closed(s)) {
		if (s->closed_since != 0)
			s->last_closure = now - s->closed_since;
		s->closed_since = 0;
		return 0;
	}
	if (s->closed_since == 0)
		s->closed_since = now;
	return MAX(s->last_closure, now - s->closed_since);
}

static bool
lasts(const struct cell_job *j)
{
	size_t i;

	for (i = 0; i < j->def->n_steps; i++) {
		if (j->def->steps[i]->lasting)
			return true;
	}
	return false;
}

/* Returns 0 if a job that waits so long can still be of use to its caller, and
 * otherwise after what time one can be in time again.  A job is not refused for
 * its run time alone, as it would be again whenever its caller came back. */
static ogl_time
too_long_by(const struct cell_queue *q, const struct cell_job *j,
    struct cell_expected_wait w, double margin)
{
	double allowed_ms = cell_sched_queue_objective_ms(q, j);
	double run_ms = ESTIMATE_FACTOR * cell_learned_chain_ms(j);
	ogl_time in_time = (ogl_time)MAX(allowed_ms - run_ms, 0) * OGL_MS;
	ogl_time late =
	    (ogl_time)MAX(LATE_OBJECTIVES_MAX * allowed_ms - run_ms, 0) *
	    OGL_MS;

	if ((double)w.behind_in_time <= margin * (double)in_time ||
	    (double)w.behind_all <= margin * (double)late)
		return 0;
	return w.behind_in_time - in_time;
}

ogl_time
cell_sched_forecast(struct cell_sched *s, struct cell_job *j, ogl_time now)
{
	const struct cell_queue *q = cell_sched_queue_of(s, j);
	struct cell_expected_wait w;
	ogl_time by;
	ogl_time closure;

	if (!CELL_USES_FORECAST || j->def->repeats > 0 || lasts(j))
		return 0;
	closure = expected_closure(s, now);
	if (closure > 0) {
		w.behind_in_time = closure;
		w.behind_all = closure;
		return too_long_by(q, j, w, 1);
	}
	w = cell_forecast_wait(s->forecast, team_line_of(s, j), now);
	by = too_long_by(q, j, w, FORECAST_MARGIN);
	w = cell_forecast_wait(s->forecast, line_of(s, j), now);
	j->expected_wait = w.behind_in_time;
	return MAX(by, too_long_by(q, j, w, FORECAST_MARGIN));
}
