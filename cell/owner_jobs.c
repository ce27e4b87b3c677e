/*
 * The progress of an owner's jobs: which stages may run, what the ends of runs
 * mean for their tasks, and the ends of jobs.
 */

#include <string.h>

#include "owner_impl.h"

/* Run numbers reserved for each epoch; no task needs as many in one epoch. */
#define RUNS_PER_EPOCH 1024
/* A run outlasts the end of its job by no more than this: an order that is
 * carried out late, its lease, and the time that a stop takes. */
#define STOPPING_TIME_MAX_MS 20000

struct cell_job *
cell_owner_job(const struct cell_owner *o, const char *id)
{
	return g_hash_table_lookup(o->jobs, id);
}

void
cell_owner_log_job(struct cell_owner *o, const struct cell_job *j,
    const char *event, const char *more)
{
	char text[320];

	g_snprintf(text, sizeof text, "epoch=%" G_GUINT64_FORMAT " %s",
	    o->epoch, more);
	cell_log_job(o->ops, "owner", event, j->id, j->accepted, text);
}

static void
log_run(struct cell_owner *o, const struct cell_run *r, const char *event,
    const char *more, ogl_time now)
{
	const struct cell_job *j = cell_owner_job(o, r->name.id);
	char text[320];

	g_snprintf(text, sizeof text,
	    "task=%u.%u.%u run=%" G_GUINT64_FORMAT
	    " worker=%s age_ms=%" G_GINT64_FORMAT " %s",
	    r->name.occurrence, r->name.step, r->name.index, r->number,
	    r->worker->id, (now - r->created_at) / OGL_MS, more);
	cell_log_job(o->ops, "owner", event, r->name.id,
	    j != NULL ? j->accepted : OGL_NEVER, text);
}

/* The stage of a task, NULL if its job is over or not known. */
struct cell_stage *
cell_owner_find_stage(void *arg, const struct cell_task_name *name)
{
	struct cell_owner *o = arg;
	struct cell_job *j = cell_owner_job(o, name->id);

	return j != NULL && !cell_job_state_ended(j->state)
		   ? cell_job_stage(j, name)
		   : NULL;
}

static uint32_t
rank_of(const struct cell_owner *o, const struct cell_job *j)
{
	return cell_queue_of_job(o->config, j->def).rank;
}

/* ---- stages --------------------------------------------------------- */

/* Gives the scheduler the stages of an occurrence that may run now. */
static void
add_ready_stages(
    struct cell_owner *o, struct cell_job *j, struct cell_occurrence *oc)
{
	size_t i;

	for (i = 0; i < j->def->n_steps; i++) {
		struct cell_stage *st = &oc->stages[i];

		if (cell_stage_waiting(st) > 0 && cell_stage_ready(st))
			cell_sched_add(o->sched, st);
	}
	o->pass_needed = true;
}

static ogl_time
due_of(const struct cell_job *j, uint32_t number)
{
	return (ogl_time)(j->def->first_due_ms + number * j->def->interval_ms) *
	       OGL_MS;
}

void
cell_owner_begin_due_occurrences(struct cell_owner *o, struct cell_job *j)
{
	uint32_t n = MAX(j->def->repeats, 1);
	uint32_t k;

	for (k = 0; k < n; k++) {
		ogl_time due = due_of(j, k);

		if (cell_job_occurrence_finished(j, k))
			continue;
		if (j->def->repeats > 0 && due > o->wall)
			break;
		add_ready_stages(o, j, cell_job_begin_occurrence(j, k, due));
	}
}

/* ---- the end of a job ----------------------------------------------- */

static void
on_end_stored(
    void *arg, uint64_t tag, enum cell_store_result result, ogl_time now)
{
	struct store_wait *wait = arg;
	struct cell_job *j;

	(void)tag;
	if (result == CELL_STORED) {
		j = cell_owner_job(wait->owner, wait->id);
		cell_account_end_stored(wait->owner->account, wait->id, now);
		if (j != NULL) {
			j->end_stored = true;
			cell_watch_job_ended(wait->owner->watch, j->id);
		}
	}
	g_free(wait->id);
	g_free(wait);
}

void
cell_owner_call_after_store(
    struct cell_owner *o, const char *id, cell_stored_fn *fn, uint64_t tag)
{
	struct store_wait *wait = g_new0(struct store_wait, 1);

	wait->owner = o;
	wait->id = g_strdup(id);
	cell_journal_notify(o->journal, fn, wait, tag);
}

/*
 * After a takeover, tasks may be running on workers that have not answered yet.
 * Until all have answered, such tasks count against their team's limit.
 * Otherwise the team could exceed its limit by these tasks.  Tasks of a stage
 * that is ready are among them even if the store knows no run of them: a start is
 * sent before its record is stored.
 */
void
cell_owner_assume_running(struct cell_owner *o, struct cell_stage *st)
{
	struct ogl_res need = cell_stage_need(st);
	bool ready = cell_stage_ready(st);
	uint32_t i;

	for (i = 0; i < st->ntasks; i++) {
		struct cell_task *t = &st->tasks[i];

		if (t->done || t->active != NULL || (t->run == 0 && !ready))
			continue;
		t->assumed_running = true;
		t->assumed_begun =
		    t->run > 0 && !cell_task_run_failed(
				      cell_stage_shared_task(st, i), t->run);
		if (t->assumed_begun)
			cell_fleet_team_charge(
			    o->fleet, st->job->def->team, &need);
		else
			cell_fleet_team_charge_unsure(
			    o->fleet, st->job->def->team, &need);
		cell_escrow_watch(o->escrow, st->job->def->team);
	}
}

static void
clear_assumed(struct cell_owner *o, struct cell_stage *st, struct cell_task *t)
{
	struct ogl_res need = cell_stage_need(st);

	if (!t->assumed_running)
		return;
	t->assumed_running = false;
	if (t->assumed_begun)
		cell_fleet_team_uncharge(o->fleet, st->job->def->team, &need);
	else
		cell_fleet_team_uncharge_unsure(
		    o->fleet, st->job->def->team, &need);
}

/* Applies charge to what is assumed to run on although it is not needed. */
static void
charge_stopping(struct cell_owner *o, const struct cell_job *j,
    void (*charge)(struct cell_fleet *, const char *, const struct ogl_res *))
{
	guint i;

	for (i = 0; i < j->stopping->len; i++) {
		const struct cell_stopping *s =
		    &g_array_index(j->stopping, struct cell_stopping, i);
		struct ogl_res all = {s->need.cpu_milli * s->assumed,
		    s->need.mem_mb * s->assumed, s->need.accel * s->assumed};

		charge(o->fleet, j->team, &all);
	}
}

void
cell_owner_assume_stopping(struct cell_owner *o, struct cell_job *j)
{
	int64_t age_ms = o->wall / OGL_MS - (int64_t)j->ended_ms;
	guint i;

	if (j->stopping == NULL || (cell_job_state_ended(j->state) &&
				       ABS(age_ms) > STOPPING_TIME_MAX_MS))
		return;
	for (i = 0; i < j->stopping->len; i++) {
		struct cell_stopping *s =
		    &g_array_index(j->stopping, struct cell_stopping, i);

		s->assumed = s->count;
	}
	charge_stopping(o, j, cell_fleet_team_charge_unsure);
}

void
cell_owner_clear_stopping(struct cell_owner *o, struct cell_job *j)
{
	guint i;

	if (j->stopping == NULL)
		return;
	charge_stopping(o, j, cell_fleet_team_uncharge_unsure);
	for (i = 0; i < j->stopping->len; i++) {
		struct cell_stopping *s =
		    &g_array_index(j->stopping, struct cell_stopping, i);

		s->count -= s->assumed;
		s->assumed = 0;
	}
}

/* The job ends: what is assumed to run of its tasks goes on counting. */
static void
assume_stopping_tasks(struct cell_owner *o, const struct cell_stage *st)
{
	struct cell_stopping s = {
	    .step = st->step, .need = cell_stage_need(st)};
	struct ogl_res all;
	uint32_t i;

	for (i = 0; i < st->ntasks; i++)
		s.assumed += st->tasks[i].assumed_running;
	if (s.assumed == 0)
		return;
	s.count = s.assumed;
	cell_job_add_stopping(st->job, &s);
	all.cpu_milli = s.need.cpu_milli * s.assumed;
	all.mem_mb = s.need.mem_mb * s.assumed;
	all.accel = s.need.accel * s.assumed;
	cell_fleet_team_charge_unsure(o->fleet, st->job->team, &all);
}

static void
clear_assumed_stage(struct cell_owner *o, struct cell_stage *st)
{
	uint32_t i;

	for (i = 0; i < st->ntasks; i++)
		clear_assumed(o, st, &st->tasks[i]);
}

/* Tasks held back still count against the limit, as they may be running. */
void
cell_owner_clear_assumed_unless_held(
    struct cell_owner *o, struct cell_stage *st, ogl_time now)
{
	uint32_t i;

	for (i = 0; i < st->ntasks; i++) {
		if (now >= cell_stage_shared_task(st, i)->not_before)
			clear_assumed(o, st, &st->tasks[i]);
	}
}

/* The run is no longer its task's, but counts for the team until it is over,
 * also under the next owner. */
static void
leave_run(struct cell_run *r)
{
	struct cell_stopping s = {
	    .step = r->name.step, .count = 1, .need = r->res};

	cell_job_add_stopping(r->stage->job, &s);
	r->stage = NULL;
}

static void
left_run_over(struct cell_owner *o, const struct cell_run *r)
{
	struct cell_job *j = cell_owner_job(o, r->name.id);

	if (j != NULL)
		cell_job_stopping_over(j, r->name.step);
}

static void
abandon_run(struct cell_owner *o, struct cell_run *r, ogl_time now)
{
	if (r == NULL)
		return;
	leave_run(r);
	if (r->state != CELL_RUN_STOPPING)
		cell_fleet_stop(o->fleet, r, now);
}

static void
drop_stage(struct cell_owner *o, struct cell_stage *st, ogl_time now)
{
	uint32_t i;

	cell_sched_remove(st);
	clear_assumed_stage(o, st);
	for (i = 0; i < st->ntasks; i++) {
		abandon_run(o, st->tasks[i].active, now);
		abandon_run(o, st->tasks[i].copy, now);
		st->tasks[i].active = NULL;
		st->tasks[i].copy = NULL;
	}
}

void
cell_owner_drop_occurrence(struct cell_owner *o, struct cell_job *j,
    struct cell_occurrence *oc, ogl_time now)
{
	size_t i;

	for (i = 0; i < j->def->n_steps; i++)
		drop_stage(o, &oc->stages[i], now);
}

static const char *
state_name(Ogl__CellJobState s)
{
	static const char *const names[] = {
	    "queued", "running", "completed", "failed", "cancelled"};

	return (unsigned)s < G_N_ELEMENTS(names) ? names[s] : "unknown";
}

void
cell_owner_end_job(struct cell_owner *o, struct cell_job *j,
    Ogl__CellJobState state, const char *why, ogl_time now)
{
	double objective_ms = cell_sched_measured_objective_ms(o->sched, j);
	char more[200];
	guint i;
	size_t k;

	g_snprintf(more, sizeof more,
	    "state=%s why=%s age_ms=%" G_GINT64_FORMAT
	    " chain_ms=%.0f objective_ms=%.0f",
	    state_name(state), why, (now - j->accepted) / OGL_MS,
	    cell_job_measured_chain_ms(j), objective_ms);
	cell_owner_log_job(o, j, "job_ended", more);
	cell_account_job_ends(o->account, j, state, objective_ms, now);
	o->ops->observe(
	    o->ops->ctx, "job_ms", (uint64_t)((now - j->accepted) / OGL_MS));
	if (state == OGL__CELL_JOB_STATE__cell_completed)
		cell_sched_job_completed(o->sched, j, now);
	for (i = 0; i < j->occurrences->len; i++) {
		struct cell_occurrence *oc = j->occurrences->pdata[i];

		for (k = 0; k < j->def->n_steps; k++)
			assume_stopping_tasks(o, &oc->stages[k]);
		cell_owner_drop_occurrence(o, j, oc, now);
	}
	cell_job_clear(j);
	j->ended_here = true;
	j->state = state;
	j->ended_ms = (uint64_t)(o->wall / OGL_MS);
	j->drop_def = true;
	cell_relay_job_ended(o->relay, j->id);
	cell_owner_job_changed(o, j, true, now);
	cell_owner_call_after_store(o, j->id, on_end_stored, 0);
}

/* ---- progress ------------------------------------------------------- */

void
cell_owner_job_changed(
    struct cell_owner *o, struct cell_job *j, bool urgent, ogl_time now)
{
	cell_account_look(j, now);
	cell_journal_mark(o->journal, j, urgent, now);
}

void
cell_owner_occurrence_done(struct cell_owner *o, struct cell_job *j,
    struct cell_occurrence *oc, ogl_time now)
{
	cell_owner_drop_occurrence(o, j, oc, now);
	cell_job_finish_occurrence(j, oc);
	if (j->finished->len >= MAX(j->def->repeats, 1))
		cell_owner_end_job(
		    o, j, OGL__CELL_JOB_STATE__cell_completed, "all_done", now);
}

/* May end the occurrence and its job: st must not be used afterwards. */
static void
stage_progress(struct cell_owner *o, struct cell_stage *st, ogl_time now)
{
	struct cell_job *j = st->job;
	struct cell_occurrence *oc = cell_job_occurrence(j, st->occurrence);

	if (st->ndone < st->ntasks) {
		if (cell_stage_waiting(st) > 0 && cell_stage_ready(st))
			cell_sched_add(o->sched, st);
		return;
	}
	cell_sched_remove(st);
	oc->nstages_done++;
	if (oc->nstages_done == j->def->n_steps)
		cell_owner_occurrence_done(o, j, oc, now);
	else
		add_ready_stages(o, j, oc);
}

static void
task_done(struct cell_stage *st, struct cell_task *t)
{
	if (t->done)
		return;
	t->done = true;
	st->ndone++;
}

static void
detach_run(struct cell_stage *st, struct cell_task *t, struct cell_run *r)
{
	if (t->copy == r) {
		t->copy = NULL;
		return;
	}
	if (t->active != r)
		return;
	t->active = t->copy;
	t->copy = NULL;
	if (t->active == NULL)
		st->nactive--;
}

/* A gang is done as soon as a member of one of its runs is.  The other members
 * of that run end by themselves; those of a later one, which was ordered while
 * this run counted as lost, are stopped. */
static void
gang_done(
    struct cell_owner *o, struct cell_stage *st, uint64_t run, ogl_time now)
{
	uint32_t i;

	for (i = 0; i < st->ntasks; i++) {
		struct cell_task *t = &st->tasks[i];

		task_done(st, t);
		if (t->active == NULL)
			continue;
		if (t->active->number == run)
			leave_run(t->active);
		else
			abandon_run(o, t->active, now);
		t->active = NULL;
		st->nactive--;
	}
}

static void
stop_other_run(struct cell_owner *o, struct cell_stage *st, struct cell_task *t,
    ogl_time now)
{
	if (t->active == NULL)
		return;
	abandon_run(o, t->active, now);
	t->active = NULL;
	st->nactive--;
}

/* The task, or the gang, is started elsewhere if possible. */
static void
avoid_worker(struct cell_stage *st, uint32_t index, const struct cell_worker *w)
{
	struct cell_task *t = cell_stage_shared_task(st, index);

	g_free(t->avoid_worker);
	t->avoid_worker = g_strdup(w->id);
}

static void
task_failed(struct cell_owner *o, struct cell_stage *st, uint32_t index,
    uint64_t run, const struct cell_worker *worker, ogl_time now)
{
	struct cell_task *t = cell_stage_shared_task(st, index);
	struct cell_queue q = cell_queue_of_job(o->config, st->job->def);

	if (!cell_task_record_failure(t, run))
		return;
	avoid_worker(st, index, worker);
	t->not_before = now;
	if (!st->def->lasting && q.attempts_max > 0 &&
	    cell_task_failures(t) >= q.attempts_max)
		cell_owner_end_job(o, st->job, OGL__CELL_JOB_STATE__cell_failed,
		    "attempts_spent", now);
}

/* Applies the end of a run to its task.  The job may be over afterwards. */
static void
apply_end(struct cell_owner *o, struct cell_stage *st, uint32_t index,
    uint64_t run, enum cell_end how, const char *checkpoint,
    struct cell_worker *w, ogl_time now)
{
	struct cell_task *t = &st->tasks[index];
	struct cell_job *j = st->job;

	if (t->done)
		return;
	clear_assumed(o, st, t);
	cell_task_save_checkpoint(
	    cell_stage_shared_task(st, index), checkpoint);
	cell_owner_job_changed(o, j, true, now);
	if (how == CELL_END_DONE && !st->def->lasting) {
		cell_worker_count_result(o->fleet, w, j->id, true, now);
		task_done(st, t);
		if (st->def->gang)
			gang_done(o, st, run, now);
		else
			stop_other_run(o, st, t, now);
	} else if (how == CELL_END_FAILED) {
		cell_worker_count_result(o->fleet, w, j->id, false, now);
		task_failed(o, st, index, run, w, now);
	}
	if (!cell_job_state_ended(j->state))
		stage_progress(o, st, now);
}

/* ---- events of the fleet -------------------------------------------- */

static const char *
end_name(enum cell_end how)
{
	static const char *const names[] = {
	    "done", "failed", "stopped", "lapsed", "broken", "alone"};

	return names[how];
}

void
cell_owner_run_ended(void *arg, struct cell_run *r, enum cell_end how,
    const char *checkpoint, ogl_time now)
{
	struct cell_owner *o = arg;
	struct cell_stage *st = r->stage;
	char more[64];

	g_snprintf(
	    more, sizeof more, "how=%s percent=%u", end_name(how), r->percent);
	log_run(o, r, "run_ended", more, now);
	cell_sched_run_ended(o->sched, r, how, now);
	if (st == NULL) {
		left_run_over(o, r);
		return;
	}
	/* If an earlier owner started the run, its start time is not known. */
	if (how == CELL_END_DONE && r->start_sent)
		cell_job_record_run_ms(
		    st->job, st->step, (double)(now - r->created_at) / OGL_MS);
	cell_learned_run_ended(o->learned, r, how,
	    cell_pace_known(&r->worker->pace)
		? cell_fleet_pace(o->fleet, r->worker)
		: 0,
	    now);
	detach_run(st, &st->tasks[r->name.index], r);
	if (r->start_unanswered && r->running_since == 0)
		avoid_worker(st, r->name.index, r->worker);
	apply_end(o, st, r->name.index, r->number, how,
	    checkpoint != NULL && *checkpoint != '\0' ? checkpoint
						      : r->checkpoint,
	    r->worker, now);
}

void
cell_owner_start_refused(
    void *arg, struct cell_run *r, enum cell_refusal why, ogl_time now)
{
	struct cell_owner *o = arg;
	struct cell_stage *st = r->stage;
	struct cell_approval *g;
	char more[32];

	g_snprintf(more, sizeof more, "why=%d", (int)why);
	log_run(o, r, "start_refused", more, now);
	o->ops->count(o->ops->ctx, "starts_refused", 1);
	cell_sched_run_ended(o->sched, r, CELL_END_STOPPED, now);
	if (st == NULL) {
		left_run_over(o, r);
		return;
	}
	detach_run(st, &st->tasks[r->name.index], r);
	if (why == CELL_REFUSED_TICKET || why == CELL_REFUSED_INCARNATION) {
		g = cell_stage_approval(st, r->worker->serial);
		if (g != NULL)
			g->expires = 0;
	}
	if (why == CELL_REFUSED_BUSY)
		r->worker->cooldown_until =
		    MAX(r->worker->cooldown_until, now + OGL_SEC);
	/* Started members of a gang would wait for this one forever. */
	if (st->def->gang) {
		uint32_t i;

		for (i = 0; i < st->ntasks; i++) {
			struct cell_run *m = st->tasks[i].active;

			if (m != NULL && m->state != CELL_RUN_STOPPING)
				cell_fleet_stop(o->fleet, m, now);
		}
	}
	stage_progress(o, st, now);
}

void
cell_owner_run_started(void *arg, struct cell_run *r, ogl_time now)
{
	struct cell_owner *o = arg;
	struct cell_job *j;

	if (r->stage == NULL)
		return;
	j = r->stage->job;
	j->idle_since = 0;
	if (!j->begun) {
		j->begun = true;
		j->state = OGL__CELL_JOB_STATE__cell_running;
		o->ops->observe(o->ops->ctx, "job_wait_ms",
		    (uint64_t)((now - j->accepted) / OGL_MS));
	}
	cell_owner_job_changed(o, j, false, now);
}

/* The stage of a run found on a worker, NULL if the run is not needed. */
static struct cell_stage *
find_stage_for_run(struct cell_owner *o, const struct cell_run_row *row)
{
	struct cell_stage *st = cell_owner_find_stage(o, &row->task);
	struct cell_task *t;

	if (st == NULL)
		return NULL;
	t = &st->tasks[row->task.index];
	if (t->done || t->active != NULL)
		return NULL;
	return st;
}

/* Stops a run whose job is over or not known, or that another one has replaced. */
static void
stop_unneeded(struct cell_owner *o, struct cell_worker *w,
    const struct cell_run_row *row, ogl_time now)
{
	struct cell_job *j = cell_owner_job(o, row->task.id);
	struct cell_stopping s = {.step = row->task.step, .count = 1};

	if (j == NULL || !cell_job_step_need(j, s.step, &s.need)) {
		cell_fleet_stop_orphan(o->fleet, w, row, now);
		return;
	}
	cell_job_add_stopping(j, &s);
	cell_fleet_stop_found(o->fleet, w, row, &s.need, j->team, now);
}

void
cell_owner_run_found(void *arg, struct cell_worker *w,
    const struct cell_run_row *row, ogl_time now)
{
	struct cell_owner *o = arg;
	struct cell_stage *st = find_stage_for_run(o, row);
	struct cell_task *t;

	if (st == NULL) {
		stop_unneeded(o, w, row, now);
		return;
	}
	t = &st->tasks[row->task.index];
	t->run = MAX(t->run, row->run);
	t->active =
	    cell_fleet_adopt(o->fleet, w, st, row, rank_of(o, st->job), now);
	st->nactive++;
	clear_assumed(o, st, t);
	log_run(o, t->active, "run_adopted", "", now);
	if (cell_stage_waiting(st) == 0)
		cell_sched_remove(st);
	cell_owner_run_started(o, t->active, now);
}

void
cell_owner_end_found(void *arg, struct cell_worker *w,
    const struct cell_run_row *row, ogl_time now)
{
	struct cell_owner *o = arg;
	struct cell_job *j = cell_owner_job(o, row->task.id);
	struct cell_stage *st;
	char more[160];

	if (j == NULL || cell_job_state_ended(j->state))
		return;
	st = cell_job_stage(j, &row->task);
	if (st == NULL)
		return;
	j->begun = true;
	g_snprintf(more, sizeof more,
	    "task=%u.%u.%u run=%" G_GUINT64_FORMAT " worker=%s how=%s",
	    row->task.occurrence, row->task.step, row->task.index, row->run,
	    w->id, end_name(row->how));
	cell_owner_log_job(o, j, "end_found", more);
	apply_end(o, st, row->task.index, row->run, row->how, row->checkpoint,
	    w, now);
}

static void
on_ends_stored(
    void *arg, uint64_t tag, enum cell_store_result result, ogl_time now)
{
	struct store_wait *wait = arg;
	struct cell_worker *w;

	(void)now;
	if (result == CELL_STORED) {
		w = cell_fleet_worker(wait->owner->fleet, wait->id);
		if (w != NULL)
			cell_fleet_ends_stored(
			    wait->owner->fleet, w, wait->incarnation, tag);
	}
	g_free(wait->id);
	g_free(wait);
}

void
cell_owner_ends_processed(void *arg, struct cell_worker *w, ogl_time now)
{
	struct cell_owner *o = arg;
	struct store_wait *wait = g_new0(struct store_wait, 1);

	(void)now;
	wait->owner = o;
	wait->id = g_strdup(w->id);
	wait->incarnation = w->incarnation;
	cell_journal_notify(o->journal, on_ends_stored, wait, w->ends_reported);
}

/* ---- callbacks of the scheduler ------------------------------------- */

/*
 * Run numbers of an epoch are above those of all earlier epochs, so that they
 * rise even if an earlier owner started runs that were never stored.
 */
uint64_t
cell_owner_next_run(void *arg, const struct cell_stage *st)
{
	struct cell_owner *o = arg;
	uint64_t run = (o->epoch - 1) * RUNS_PER_EPOCH;
	uint32_t i;

	for (i = 0; i < st->ntasks; i++) {
		if (st->def->gang || st->tasks[i].active == NULL)
			run = MAX(run, st->tasks[i].run);
	}
	return run + 1;
}

void
cell_owner_task_started(
    void *arg, struct cell_stage *st, uint32_t index, ogl_time now)
{
	struct cell_owner *o = arg;
	char more[64];

	clear_assumed(o, st, &st->tasks[index]);
	g_snprintf(more, sizeof more,
	    "epoch=%" G_GUINT64_FORMAT " proof_ms=%" G_GINT64_FORMAT, o->epoch,
	    cell_fleet_proof_age(o->fleet, now) / OGL_MS);
	log_run(o, st->tasks[index].active, "run_started", more, now);
	cell_owner_job_changed(o, st->job, false, now);
}
