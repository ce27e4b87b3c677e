/*
 * Shares of the teams while the cell is full: what each team is charged for its
 * runs, and what it completed (see policy/share.h).
 */

#include "sched_impl.h"

/* The cell is full for this long after a stage found no room or a question no
 * lane. */
#define FULL_TIME (300 * OGL_MS)
#define SHARE_LOG_INTERVAL (5 * OGL_SEC)
#define PPM_PER_PERMILLE 1000

/* Looks up the job's team and queue, once for each change of the teams. */
static void
find_share(struct cell_sched *s, struct cell_job *j)
{
	uint64_t generation = ogl_share_generation(s->share);

	if (j->share_generation == generation)
		return;
	j->share_generation = generation;
	j->share_team = ogl_share_team(s->share, ogl_str(j->def->team));
	j->share_queue = ogl_share_queue(
	    s->share, ogl_str(j->def->queue), cell_sched_queue_of(s, j)->rank);
}

/* Expected core-milliseconds of a run of one task.  A lasting one has no
 * expected end, so it is not charged. */
static double
run_core_ms(const struct cell_stage *st)
{
	if (st->def->lasting)
		return 0;
	return cell_stage_need(st).cpu_milli / 1e3 *
	       cell_learned_run_ms(st->job, st->step);
}

void
cell_sched_set_shares(struct cell_sched *s)
{
	const struct cell_team *t;
	size_t i;

	ogl_share_begin_teams(s->share);
	for (i = 0; (t = cell_config_team_at(s->config, i)) != NULL; i++)
		ogl_share_set_team(s->share, ogl_str(t->name), t->rate);
	ogl_share_end_teams(s->share);
}

bool
cell_sched_is_full(const struct cell_sched *s, ogl_time now)
{
	return now - MAX(s->no_room_at, s->no_lane_at) <= FULL_TIME;
}

bool
cell_sched_update_full(struct cell_sched *s, ogl_time now)
{
	bool full = cell_sched_is_full(s, now);

	ogl_share_set_full(s->share, full);
	return full;
}

struct ogl_share_item
cell_sched_share_item(struct cell_sched *s, struct cell_stage *st, ogl_time now)
{
	struct ogl_share_item x = {.data = st};

	find_share(s, st->job);
	x.team = st->job->share_team;
	x.queue = st->job->share_queue;
	x.core_ms = run_core_ms(st) * cell_stage_waiting(st);
	/* Gangs need room on many workers at once, so they are bypassed more
	 * often than other work. */
	x.by_age = st->def->gang && (double)(now - st->job->accepted) / OGL_MS >
					cell_sched_objective_ms(s, st->job) / 2;
	return x;
}

void
cell_sched_charge_starts(
    struct cell_sched *s, struct cell_stage *st, ogl_time now)
{
	double core_ms = run_core_ms(st);
	uint32_t i;

	find_share(s, st->job);
	for (i = 0; i < st->ntasks; i++) {
		struct cell_run *r = st->tasks[i].active;

		if (r == NULL || r->created_at != now || r->charge.period != 0)
			continue;
		r->charge = ogl_share_charge(s->share, st->job->share_team,
		    st->job->share_queue, core_ms, now);
	}
}

void
cell_sched_run_ended(struct cell_sched *s, const struct cell_run *r,
    enum cell_end how, ogl_time now)
{
	double used =
	    r->res.cpu_milli / 1e3 * (double)(now - r->created_at) / OGL_MS;

	if (r->orphan)
		return;
	cell_sched_update_full(s, now);
	ogl_share_run_ended(s->share,
	    ogl_share_team(s->share, ogl_str(r->team)), &r->charge, used,
	    how == CELL_END_DONE);
}

void
cell_sched_job_completed(struct cell_sched *s, struct cell_job *j, ogl_time now)
{
	cell_sched_update_full(s, now);
	find_share(s, j);
	ogl_share_job_completed(s->share, j->share_team);
}

void
cell_sched_report_shares(
    const struct cell_sched *s, ogl_share_report_fn *fn, void *arg)
{
	ogl_share_report(s->share, fn, arg);
}

static void
log_team(void *arg, const struct ogl_share_figures *f)
{
	const struct cell_sched *s = arg;
	char text[320];

	if (!f->active)
		return;
	g_snprintf(text, sizeof text,
	    "team=%s weight=%g used_core_ms=%" G_GUINT64_FORMAT
	    " completed_core_ms=%" G_GUINT64_FORMAT
	    " completed_jobs=%" G_GUINT64_FORMAT
	    " share_permille=%u entitled_permille=%u",
	    *f->team != '\0' ? f->team : "-", f->weight, f->used_core_ms,
	    f->completed_core_ms, f->completed_jobs,
	    f->share_ppm / PPM_PER_PERMILLE,
	    f->entitled_ppm / PPM_PER_PERMILLE);
	s->parts.ops->log(s->parts.ops->ctx, "owner", "team_share", text);
}

void
cell_sched_log_shares(struct cell_sched *s, ogl_time now)
{
	if (now < s->next_share_log_at)
		return;
	s->next_share_log_at = now + SHARE_LOG_INTERVAL;
	cell_sched_report_shares(s, log_team, s);
}
