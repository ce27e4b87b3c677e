/*
 * Keeps the jobs of one shard: accepts and stores them, starts their tasks
 * through the scheduler, applies the ends of runs and answers calls.
 *
 * Jobs are read from the store when the shard is taken over (loader.c), and
 * workers from the platform's list (roster.c).
 *
 * A job accepted by an earlier owner may have tasks running that no worker has
 * reported to this owner yet.  Its tasks are started only once the owner is
 * settled: every worker has sent its lists under this epoch, or can no longer
 * run anything.  Jobs accepted by this owner are started at once.
 *
 * The end of a run that a worker lists is applied at once, stored with the
 * job's progress, and only then acknowledged to the worker: until it is stored,
 * a successor must find it in the worker's list, or the task would run again.
 * For the same reason callers are told that a job is over only once its end is
 * stored.
 */

#include <string.h>

#include "ablate.h"
#include "account.h"
#include "admission.h"
#include "held.h"
#include "journal.h"
#include "known.h"
#include "load.h"
#include "loader.h"
#include "owner.h"
#include "relay.h"
#include "roster.h"
#include "schedule.h"
#include "straggler.h"
#include "watch.h"

/* Ended jobs are kept this much longer than status_ms, which callers are
 * promised. */
#define ENDED_JOB_MARGIN_MS 20000
#define SWEEP_INTERVAL (500 * OGL_MS)
/* Run numbers reserved for each epoch; no task needs as many in one epoch. */
#define RUNS_PER_EPOCH 1024
/* A gang of which only some members run is stopped if it is still incomplete
 * after this time. */
#define GANG_REPAIR_DELAY (600 * OGL_MS)
#define STRAGGLER_INTERVAL (200 * OGL_MS)
#define BUSY_RETRY_MS 500
/* A forecast further ahead is too uncertain to keep callers away that long. */
#define FORECAST_RETRY_MS_MAX 5000
/* Ownership that the store confirmed longer ago may have ended since. */
#define CONFIRMATION_AGE_MAX (1500 * OGL_MS)
/* Number of jobs that a team may submit at once to one of several shards, given
 * as seconds of the team's rate there.  Jobs are assigned to shards at random,
 * so one shard may get more than an even share for a while although the team
 * does not exceed its rate. */
#define SHARD_BURST_SECONDS 2.0
/* A question for the state of a job that has ended waits for the store, but no
 * longer than this while the store is slow. */
#define END_STORE_WAIT_MAX (400 * OGL_MS)
/* The end of a run reaches the owner within this time: the network, and the
 * delay with which the fleet fetches ends that come in short succession. */
#define END_ARRIVAL_WAIT (40 * OGL_MS)
/* The refused fraction falls faster for the link than for the processor, as the
 * link's queue empties soon once nothing is added to it. */
#define LINK_REFUSAL_FALL_PER_SECOND 0.4

enum phase {
	PHASE_CLOSED,
	PHASE_LOADING,
	PHASE_SERVING
};

/* A call that is answered once the store has answered. */
struct waiting_call {
	struct cell_owner *owner;
	char *to;
	uint64_t token;
	char id[CELL_ID_LEN + 1];
};

/* Argument of a callback that is called once the store has answered: for the
 * ends of a worker's runs or for a job. */
struct store_wait {
	struct cell_owner *owner;
	char *id;             /* id of the worker or the job */
	uint64_t incarnation; /* incarnation of the worker */
};

struct cell_owner {
	const struct cell_ops *ops;
	struct cell_owner_params params;
	const struct cell_limits *limits;
	struct cell_owner_events events;
	struct cell_config *config;
	enum phase phase;
	uint64_t epoch;
	bool announced;
	ogl_time store_took; /* time that the store took for the claim */
	struct cell_loader *loader;
	struct cell_roster *roster;
	GHashTable *jobs; /* id -> struct cell_job */
	struct cell_admission *admission;
	struct cell_account *account;
	struct cell_journal *journal;
	struct cell_watch *watch;
	struct cell_relay *relay;
	struct cell_ops worker_ops; /* calls to workers by the relay */
	struct cell_fleet *fleet;
	struct cell_held *held;
	struct cell_sched *sched;
	struct cell_advice *advice;
	struct cell_escrow *escrow;
	uint64_t worker_records; /* records of the workers written so far */
	bool settled;
	bool holds_tasks; /* tasks may be held back for silent workers */
	ogl_time opened_at;
	ogl_time confirmed; /* latest time of confirmed ownership */
	ogl_time wall;

	struct cell_load load;      /* load of the processor */
	struct cell_load link_load; /* load of the node's link */
	bool pass_needed;           /* the scheduler may have work */
	ogl_time next_sweep_at;
	ogl_time next_straggler_check;
};

static void reply_state(
    void *arg, const char *to, uint64_t token, const char *id);
static void job_changed(
    struct cell_owner *o, struct cell_job *j, bool urgent, ogl_time now);

/* ---- helpers ---------------------------------------------------------- */

static struct cell_job *
job_of(const struct cell_owner *o, const char *id)
{
	return g_hash_table_lookup(o->jobs, id);
}

static void
log_job(struct cell_owner *o, const struct cell_job *j, const char *event,
    const char *more)
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
	const struct cell_job *j = job_of(o, r->name.id);
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
static struct cell_stage *
find_open_stage(void *arg, const struct cell_task_name *name)
{
	struct cell_owner *o = arg;
	struct cell_job *j = job_of(o, name->id);

	return j != NULL && !cell_job_state_ended(j->state)
		   ? cell_job_stage(j, name)
		   : NULL;
}

static uint32_t
rank_of(const struct cell_owner *o, const struct cell_job *j)
{
	return cell_queue_of_job(o->config, j->def).rank;
}

/* ---- stages ----------------------------------------------------------- */

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

static void
begin_due_occurrences(struct cell_owner *o, struct cell_job *j)
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

/* ---- the end of a job ------------------------------------------------- */

static void
on_end_stored(
    void *arg, uint64_t tag, enum cell_store_result result, ogl_time now)
{
	struct store_wait *wait = arg;
	struct cell_job *j;

	(void)tag;
	if (result == CELL_STORED) {
		j = job_of(wait->owner, wait->id);
		cell_account_end_stored(wait->owner->account, wait->id, now);
		if (j != NULL) {
			j->end_stored = true;
			cell_watch_job_ended(wait->owner->watch, j->id);
		}
	}
	g_free(wait->id);
	g_free(wait);
}

static void
call_after_store(
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
 * Otherwise the team could exceed its limit by these tasks.
 */
static void
assume_running(struct cell_owner *o, struct cell_stage *st)
{
	struct ogl_res need = cell_stage_need(st);
	uint32_t i;

	for (i = 0; i < st->ntasks; i++) {
		struct cell_task *t = &st->tasks[i];

		if (t->done || t->run == 0 || t->active != NULL)
			continue;
		t->assumed_running = true;
		cell_fleet_team_charge(o->fleet, st->job->def->team, &need);
	}
}

static void
clear_assumed(struct cell_owner *o, struct cell_stage *st, struct cell_task *t)
{
	struct ogl_res need = cell_stage_need(st);

	if (!t->assumed_running)
		return;
	t->assumed_running = false;
	cell_fleet_team_uncharge(o->fleet, st->job->def->team, &need);
}

static void
clear_assumed_stage(struct cell_owner *o, struct cell_stage *st)
{
	uint32_t i;

	for (i = 0; i < st->ntasks; i++)
		clear_assumed(o, st, &st->tasks[i]);
}

/* Tasks held back still count against the limit, as they may be running. */
static void
clear_assumed_unless_held(
    struct cell_owner *o, struct cell_stage *st, ogl_time now)
{
	uint32_t i;

	for (i = 0; i < st->ntasks; i++) {
		if (now >= cell_stage_shared_task(st, i)->not_before)
			clear_assumed(o, st, &st->tasks[i]);
	}
}

static void
abandon_run(struct cell_owner *o, struct cell_run *r, ogl_time now)
{
	if (r == NULL)
		return;
	r->stage = NULL;
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

static void
drop_occurrence(struct cell_owner *o, struct cell_job *j,
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

static void
end_job(struct cell_owner *o, struct cell_job *j, Ogl__CellJobState state,
    const char *why, ogl_time now)
{
	double objective_ms = cell_sched_measured_objective_ms(o->sched, j);
	char more[200];
	guint i;

	g_snprintf(more, sizeof more,
	    "state=%s why=%s age_ms=%" G_GINT64_FORMAT
	    " chain_ms=%.0f objective_ms=%.0f",
	    state_name(state), why, (now - j->accepted) / OGL_MS,
	    cell_job_measured_chain_ms(j), objective_ms);
	log_job(o, j, "job_ended", more);
	cell_account_job_ends(o->account, j, state, objective_ms, now);
	o->ops->observe(
	    o->ops->ctx, "job_ms", (uint64_t)((now - j->accepted) / OGL_MS));
	for (i = 0; i < j->occurrences->len; i++)
		drop_occurrence(o, j, j->occurrences->pdata[i], now);
	cell_job_clear(j);
	j->state = state;
	j->ended_ms = (uint64_t)(o->wall / OGL_MS);
	j->drop_def = true;
	cell_relay_job_ended(o->relay, j->id);
	job_changed(o, j, true, now);
	call_after_store(o, j->id, on_end_stored, 0);
}

/* ---- progress --------------------------------------------------------- */

static void
job_changed(struct cell_owner *o, struct cell_job *j, bool urgent, ogl_time now)
{
	cell_account_look(j, now);
	cell_journal_mark(o->journal, j, urgent, now);
}

static void
occurrence_done(struct cell_owner *o, struct cell_job *j,
    struct cell_occurrence *oc, ogl_time now)
{
	drop_occurrence(o, j, oc, now);
	cell_job_finish_occurrence(j, oc);
	if (j->finished->len >= MAX(j->def->repeats, 1))
		end_job(
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
		occurrence_done(o, j, oc, now);
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

/* A gang is done as soon as one of its members is.  The other members are left
 * to end by themselves. */
static void
gang_done(struct cell_stage *st)
{
	uint32_t i;

	for (i = 0; i < st->ntasks; i++) {
		struct cell_task *t = &st->tasks[i];

		task_done(st, t);
		if (t->active != NULL) {
			/* It has ended too, but its worker has not reported
			 * that yet. */
			t->active->stage = NULL;
			t->active = NULL;
			st->nactive--;
		}
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

static void
task_failed(struct cell_owner *o, struct cell_stage *st, uint32_t index,
    uint64_t run, const char *worker, ogl_time now)
{
	struct cell_task *t = cell_stage_shared_task(st, index);
	struct cell_queue q = cell_queue_of_job(o->config, st->job->def);

	if (!cell_task_record_failure(t, run))
		return;
	g_free(st->tasks[index].avoid_worker);
	st->tasks[index].avoid_worker = g_strdup(worker);
	t->not_before = now;
	if (!st->def->lasting && q.attempts_max > 0 &&
	    cell_task_failures(t) >= q.attempts_max)
		end_job(o, st->job, OGL__CELL_JOB_STATE__cell_failed,
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
	job_changed(o, j, true, now);
	if (how == CELL_END_DONE && !st->def->lasting) {
		cell_worker_count_result(w, j->id, true, now);
		task_done(st, t);
		if (st->def->gang)
			gang_done(st);
		else
			stop_other_run(o, st, t, now);
	} else if (how == CELL_END_FAILED) {
		cell_worker_count_result(w, j->id, false, now);
		task_failed(o, st, index, run, w->id, now);
	}
	if (!cell_job_state_ended(j->state))
		stage_progress(o, st, now);
}

/* ---- events of the fleet ---------------------------------------------- */

static const char *
end_name(enum cell_end how)
{
	static const char *const names[] = {
	    "done", "failed", "stopped", "lapsed", "broken", "alone"};

	return names[how];
}

static void
on_run_ended(void *arg, struct cell_run *r, enum cell_end how,
    const char *checkpoint, ogl_time now)
{
	struct cell_owner *o = arg;
	struct cell_stage *st = r->stage;
	char more[64];

	g_snprintf(
	    more, sizeof more, "how=%s percent=%u", end_name(how), r->percent);
	log_run(o, r, "run_ended", more, now);
	if (st == NULL)
		return;
	/* If an earlier owner started the run, its start time is not known. */
	if (how == CELL_END_DONE && r->start_sent)
		cell_job_record_run_ms(
		    st->job, st->step, (double)(now - r->created_at) / OGL_MS);
	detach_run(st, &st->tasks[r->name.index], r);
	apply_end(o, st, r->name.index, r->number, how,
	    checkpoint != NULL && *checkpoint != '\0' ? checkpoint
						      : r->checkpoint,
	    r->worker, now);
}

static void
on_start_refused(
    void *arg, struct cell_run *r, enum cell_refusal why, ogl_time now)
{
	struct cell_owner *o = arg;
	struct cell_stage *st = r->stage;
	struct cell_approval *g;
	char more[32];

	g_snprintf(more, sizeof more, "why=%d", (int)why);
	log_run(o, r, "start_refused", more, now);
	o->ops->count(o->ops->ctx, "starts_refused", 1);
	if (st == NULL)
		return;
	detach_run(st, &st->tasks[r->name.index], r);
	if (why == CELL_REFUSED_TICKET || why == CELL_REFUSED_INCARNATION) {
		g = cell_stage_approval(st, r->worker->serial);
		if (g != NULL)
			g->expires = 0;
	}
	if (why == CELL_REFUSED_BUSY)
		r->worker->cooldown_until = now + OGL_SEC;
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

static void
on_run_started(void *arg, struct cell_run *r, ogl_time now)
{
	struct cell_owner *o = arg;
	struct cell_job *j;

	if (r->stage == NULL)
		return;
	j = r->stage->job;
	if (!j->begun) {
		j->begun = true;
		j->state = OGL__CELL_JOB_STATE__cell_running;
		o->ops->observe(o->ops->ctx, "job_wait_ms",
		    (uint64_t)((now - j->accepted) / OGL_MS));
	}
	job_changed(o, j, false, now);
}

/* The stage of a run found on a worker, NULL if the run is not needed. */
static struct cell_stage *
find_stage_for_run(struct cell_owner *o, const struct cell_run_row *row)
{
	struct cell_stage *st = find_open_stage(o, &row->task);
	struct cell_task *t;

	if (st == NULL)
		return NULL;
	t = &st->tasks[row->task.index];
	if (t->done || t->active != NULL)
		return NULL;
	return st;
}

static void
on_run_found(void *arg, struct cell_worker *w, const struct cell_run_row *row,
    ogl_time now)
{
	struct cell_owner *o = arg;
	struct cell_stage *st = find_stage_for_run(o, row);
	struct cell_task *t;

	if (st == NULL) {
		cell_fleet_stop_orphan(o->fleet, w, row, now);
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
	on_run_started(o, t->active, now);
}

static void
on_end_found(void *arg, struct cell_worker *w, const struct cell_run_row *row,
    ogl_time now)
{
	struct cell_owner *o = arg;
	struct cell_job *j = job_of(o, row->task.id);
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
	log_job(o, j, "end_found", more);
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

static void
on_ends_processed(void *arg, struct cell_worker *w, ogl_time now)
{
	struct cell_owner *o = arg;
	struct store_wait *wait = g_new0(struct store_wait, 1);

	(void)now;
	wait->owner = o;
	wait->id = g_strdup(w->id);
	wait->incarnation = w->incarnation;
	cell_journal_notify(o->journal, on_ends_stored, wait, w->ends_reported);
}

static void
on_answered(void *arg, struct cell_worker *w, ogl_time now)
{
	struct cell_owner *o = arg;

	cell_held_release(o->held, w->id, now);
	o->pass_needed = true;
}

static void
on_fleet_outranked(void *arg, ogl_time now)
{
	struct cell_owner *o = arg;

	o->events.outranked(o->events.arg, now);
}

static void
on_room_freed(void *arg, ogl_time now)
{
	struct cell_owner *o = arg;

	(void)now;
	o->pass_needed = true;
}

/* ---- callbacks of the scheduler --------------------------------------- */

/*
 * Run numbers of an epoch are above those of all earlier epochs, so that they
 * rise even if an earlier owner started runs that were never stored.
 */
static uint64_t
next_run(void *arg, const struct cell_stage *st)
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

static void
on_task_started(void *arg, struct cell_stage *st, uint32_t index, ogl_time now)
{
	struct cell_owner *o = arg;

	clear_assumed(o, st, &st->tasks[index]);
	log_run(o, st->tasks[index].active, "run_started", "", now);
	job_changed(o, st->job, false, now);
}

static void
on_ownership_lost(void *arg, ogl_time now)
{
	struct cell_owner *o = arg;

	o->events.outranked(o->events.arg, now);
}

/* ---- callbacks of advice ---------------------------------------------- */

static void
send_ask(void *arg, const char *addr, const Ogl__CellAsk *ask)
{
	struct cell_owner *o = arg;

	o->events.ask(o->events.arg, addr, ask);
}

static struct cell_stage *
stage_of(void *arg, const char *id, uint32_t occurrence, uint32_t step)
{
	struct cell_task_name name = {.occurrence = occurrence, .step = step};

	g_strlcpy(name.id, id, sizeof name.id);
	return find_open_stage(arg, &name);
}

static struct cell_worker *
worker_of(void *arg, const char *id)
{
	struct cell_owner *o = arg;

	return cell_fleet_worker(o->fleet, id);
}

static void
on_advice_answer(void *arg, struct cell_stage *s, ogl_time now)
{
	struct cell_owner *o = arg;

	(void)s;
	(void)now;
	o->pass_needed = true;
}

/* ---- callbacks of escrow ---------------------------------------------- */

static void
send_part(void *arg, uint32_t to_shard, const Ogl__CellPart *m)
{
	struct cell_owner *o = arg;

	o->events.part(o->events.arg, to_shard, m);
}

static double
fraction(uint32_t used, uint32_t max)
{
	return max > 0 ? (double)used / max : 0;
}

static uint32_t
team_used_ppm(void *arg, const char *team)
{
	struct cell_owner *o = arg;
	const struct cell_team *t =
	    o->config != NULL ? cell_config_team(o->config, team) : NULL;
	struct ogl_res used = cell_fleet_team_used(o->fleet, team);
	double largest;

	if (t == NULL)
		return 0;
	largest = fraction(used.cpu_milli, t->max.cpu_milli);
	largest = MAX(largest, fraction(used.mem_mb, t->max.mem_mb));
	largest = MAX(largest, fraction(used.accel, t->max.accel));
	return (uint32_t)(MIN(largest, 1.0) * CELL_PART_WHOLE_PPM);
}

static void
on_part_granted(void *arg, ogl_time now)
{
	struct cell_owner *o = arg;

	(void)now;
	o->pass_needed = true;
}

/* ---- callbacks of the relay ------------------------------------------- */

static void
send_orders(void *arg, const char *to, const Ogl__CellOrders *m)
{
	struct cell_owner *o = arg;

	o->events.orders(o->events.arg, to, m);
}

/* ---- taking over ------------------------------------------------------ */

/* Makes a job from its two records, which may be read in either order. */
static void
restore_job(struct cell_owner *o, Ogl__CellJob *def, const Ogl__CellProgress *p,
    ogl_time now)
{
	ogl_time age = o->wall - (ogl_time)def->accepted_ms * OGL_MS;
	struct cell_job *j;

	if (p != NULL && cell_job_state_ended(p->state)) {
		ogl__cell_job__free_unpacked(def, NULL);
		return; /* restore_ended_jobs adds it */
	}
	j = cell_job_new(def, now - MAX(age, 0));
	j->stored = true;
	cell_account_resume(j, now);
	if (p != NULL)
		cell_job_restore_progress(j, p);
	g_hash_table_insert(o->jobs, j->id, j);
}

static void
restore_jobs(struct cell_owner *o, const struct cell_loaded *l, ogl_time now)
{
	GHashTableIter it;
	gpointer id, def;

	g_hash_table_iter_init(&it, l->defs);
	while (g_hash_table_iter_next(&it, &id, &def)) {
		restore_job(o, def, g_hash_table_lookup(l->progress, id), now);
		g_hash_table_iter_steal(&it);
		g_free(id);
	}
}

/*
 * The platform's list may lack workers for a while: their entries expire while
 * the store is unavailable, and reappear seconds after it is back.  Tasks that
 * run on such workers must not be started elsewhere meanwhile.
 */
static void
expect_worker(void *arg, const Ogl__CellKnown *k, ogl_time now)
{
	struct cell_owner *o = arg;

	cell_fleet_expect(o->fleet, k, now);
	cell_held_add(o->held, k, cell_fleet_old_leases_end(o->fleet));
}

/* A record of the workers that is being stored. */
struct workers_record {
	struct cell_owner *owner;
	GPtrArray *ids; /* workers that may be given work once it is stored */
	uint64_t number;
};

static void
on_workers_stored(
    void *arg, uint64_t tag, enum cell_store_result result, ogl_time now)
{
	struct workers_record *pending = arg;
	guint i;

	(void)tag;
	(void)now;
	for (i = 0; result == CELL_STORED && i < pending->ids->len; i++)
		cell_fleet_record_stored(pending->owner->fleet,
		    pending->ids->pdata[i], pending->number);
	g_ptr_array_unref(pending->ids);
	g_free(pending);
}

/*
 * Stores for a successor which workers to call.  A worker is given no work
 * before it is in a stored record: a successor that does not know of the worker
 * would assume that its tasks are not running and start them elsewhere.
 */
static void
store_workers(struct cell_owner *o, ogl_time now)
{
	struct workers_record *pending = g_new0(struct workers_record, 1);
	GBytes *record;

	pending->owner = o;
	pending->ids = g_ptr_array_new_with_free_func(g_free);
	pending->number = ++o->worker_records;
	record = cell_known_pack(o->fleet, pending->number, pending->ids, now);
	cell_journal_put(o->journal, CELL_WORKERS_KEY, record, now);
	cell_journal_notify(o->journal, on_workers_stored, pending, 0);
}

/* Restores ended jobs, of which only the progress records are left. */
static void
restore_ended_jobs(struct cell_owner *o, GHashTable *progress)
{
	GHashTableIter it;
	gpointer id, p;

	g_hash_table_iter_init(&it, progress);
	while (g_hash_table_iter_next(&it, &id, &p)) {
		const Ogl__CellProgress *m = p;
		struct cell_job *j;

		if (!cell_job_state_ended(m->state) || job_of(o, id) != NULL)
			continue;
		j = cell_job_new_ended(id, m);
		j->end_stored = true;
		g_hash_table_insert(o->jobs, j->id, j);
	}
}

/* Begins the occurrences that are due, and finishes those whose tasks were all
 * done when the previous owner was lost. */
static void
resume_job(struct cell_owner *o, struct cell_job *j, ogl_time now)
{
	guint i;
	size_t k;

	begin_due_occurrences(o, j);
	for (i = 0; i < j->occurrences->len; i++) {
		struct cell_occurrence *oc = j->occurrences->pdata[i];

		for (k = 0; k < j->def->n_steps; k++) {
			assume_running(o, &oc->stages[k]);
			if (oc->stages[k].ndone == oc->stages[k].ntasks)
				oc->nstages_done++;
		}
		if (oc->nstages_done == j->def->n_steps) {
			occurrence_done(o, j, oc, now);
			if (cell_job_state_ended(j->state))
				return;
			i--;
		}
	}
}

static void
on_loaded(void *arg, const struct cell_loaded *l, ogl_time now)
{
	struct cell_owner *o = arg;
	GList *all, *at;
	guint open;
	char text[128];

	restore_jobs(o, l, now);
	open = g_hash_table_size(o->jobs);
	restore_ended_jobs(o, l->progress);
	o->phase = PHASE_SERVING;
	cell_journal_open(o->journal, o->epoch, o->store_took);
	cell_relay_open(o->relay, o->epoch);
	cell_fleet_open(o->fleet, o->epoch, now);
	cell_escrow_open(o->escrow, o->epoch);
	cell_advice_open(o->advice, o->epoch);
	cell_sched_open(o->sched, now);
	all = g_hash_table_get_values(o->jobs);
	for (at = all; at != NULL; at = at->next) {
		struct cell_job *j = at->data;

		if (!cell_job_state_ended(j->state))
			resume_job(o, j, now);
	}
	g_list_free(all);
	if (!cell_known_unpack(l->workers, expect_worker, o, now))
		o->ops->log(o->ops->ctx, "owner", "record_unreadable",
		    CELL_WORKERS_KEY);
	g_snprintf(text, sizeof text,
	    "shard=%u epoch=%" G_GUINT64_FORMAT
	    " jobs=%u open=%u took_ms=%" G_GINT64_FORMAT,
	    o->params.shard, o->epoch, g_hash_table_size(o->jobs), open,
	    (now - o->opened_at) / OGL_MS);
	o->ops->log(o->ops->ctx, "owner", "cell_taken_over", text);
}

/* ---- the list of workers ---------------------------------------------- */

static void
on_loader_outranked(void *arg, ogl_time now)
{
	struct cell_owner *o = arg;

	o->events.outranked(o->events.arg, now);
}

static void
on_worker_entry(
    void *arg, const char *id, const struct cell_worker_entry *e, ogl_time now)
{
	struct cell_owner *o = arg;

	if (e == NULL || cell_shard_of_worker(e->rack, id, o->params.shards) ==
			     o->params.shard)
		cell_fleet_update_entry(o->fleet, id, e, now);
}

/* Workers that are not on the complete list have been removed from it. */
static void
on_list_read(void *arg, GHashTable *listed, ogl_time now)
{
	struct cell_owner *o = arg;
	GList *ids = g_hash_table_get_keys(cell_fleet_workers(o->fleet));
	GList *at;

	for (at = ids; at != NULL; at = at->next) {
		if (!g_hash_table_contains(listed, at->data))
			cell_fleet_update_entry(o->fleet, at->data, NULL, now);
	}
	g_list_free(ids);
}

/* ---- setup and teardown ----------------------------------------------- */

static void
job_free(void *p)
{
	cell_job_free(p);
}

struct cell_owner *
cell_owner_init(const struct cell_ops *ops, const struct cell_limits *limits,
    const struct cell_owner_events *events,
    const struct cell_owner_params *params)
{
	struct cell_owner *o = g_new0(struct cell_owner, 1);
	struct cell_fleet_events fleet_events = {on_run_ended, on_start_refused,
	    on_run_found, on_end_found, on_run_started, on_ends_processed,
	    on_answered, on_fleet_outranked, on_room_freed, o};
	struct cell_advice_events advice_events = {
	    send_ask, stage_of, worker_of, on_advice_answer, o};
	struct cell_sched_parts sched_parts = {.ops = ops,
	    .next_run = next_run,
	    .started = on_task_started,
	    .arg = o};
	struct cell_loader_events loader_events = {
	    on_loader_outranked, on_loaded, o};
	struct cell_roster_events roster_events = {
	    on_worker_entry, on_list_read, o};
	struct cell_escrow_events escrow_events = {
	    send_part, team_used_ppm, on_part_granted, o};
	struct cell_relay_events relay_events = {send_orders, o};

	o->ops = ops;
	o->params = *params;
	o->limits = limits;
	o->events = *events;
	o->relay = cell_relay_init(ops, params->link_kbps, &relay_events);
	o->worker_ops = *ops;
	cell_relay_set_ops(o->relay, &o->worker_ops);
	o->link_load.fall_per_second = LINK_REFUSAL_FALL_PER_SECOND;
	o->jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
	o->admission = cell_admission_init();
	o->account = cell_account_init(ops);
	o->journal =
	    cell_journal_init(ops, params->shard, on_ownership_lost, o);
	o->watch = cell_watch_init(
	    &(struct cell_watch_events){.answer = reply_state, .arg = o});
	o->fleet = cell_fleet_init(&o->worker_ops, limits, &fleet_events);
	o->held = cell_held_init(find_open_stage, o);
	o->advice = cell_advice_init(ops, &advice_events);
	o->loader = cell_loader_init(
	    ops, params->shard, params->link_kbps, &loader_events);
	o->roster = cell_roster_init(&o->worker_ops, &roster_events);
	o->escrow =
	    cell_escrow_init(params->shard, params->shards, &escrow_events);
	sched_parts.escrow = o->escrow;
	sched_parts.fleet = o->fleet;
	sched_parts.advice = o->advice;
	o->sched = cell_sched_init(&sched_parts);
	return o;
}

void
cell_owner_end(struct cell_owner *o)
{
	cell_owner_close(o, 0);
	cell_sched_end(o->sched);
	cell_escrow_end(o->escrow);
	cell_advice_end(o->advice);
	cell_held_end(o->held);
	cell_relay_end(o->relay);
	cell_fleet_end(o->fleet);
	cell_roster_end(o->roster);
	cell_loader_end(o->loader);
	cell_journal_end(o->journal);
	cell_watch_end(o->watch);
	g_hash_table_unref(o->jobs);
	cell_admission_end(o->admission);
	cell_account_end(o->account);
	cell_config_unref(o->config);
	g_free(o);
}

void
cell_owner_prepare(struct cell_owner *o, ogl_time store_took, ogl_time now)
{
	if (o->phase == PHASE_CLOSED)
		cell_loader_prepare(o->loader, store_took, now);
}

bool
cell_owner_prepared(const struct cell_owner *o, ogl_time now)
{
	return cell_loader_prepared(o->loader, now);
}

void
cell_owner_open(
    struct cell_owner *o, uint64_t epoch, ogl_time store_took, ogl_time now)
{
	o->phase = PHASE_LOADING;
	o->epoch = epoch;
	o->store_took = store_took;
	o->settled = false;
	o->holds_tasks = true;
	o->opened_at = now;
	cell_loader_open(o->loader, epoch, store_took, now);
	cell_roster_open(o->roster, now);
}

void
cell_owner_close(struct cell_owner *o, ogl_time now)
{
	if (o->phase == PHASE_CLOSED)
		return;
	o->phase = PHASE_CLOSED;
	cell_loader_close(o->loader);
	cell_roster_close(o->roster);
	cell_journal_close(o->journal, now);
	cell_account_clear(o->account);
	cell_held_clear(o->held);
	cell_fleet_close(o->fleet);
	cell_relay_close(o->relay, now);
	cell_escrow_close(o->escrow);
	cell_advice_clear(o->advice);
	cell_sched_clear(o->sched);
	g_hash_table_remove_all(o->jobs);
	cell_watch_clear(o->watch);
}

void
cell_owner_set_config(struct cell_owner *o, struct cell_config *c)
{
	cell_config_ref(c);
	cell_config_unref(o->config);
	o->config = c;
	cell_sched_set_config(o->sched, c);
	o->pass_needed = true;
}

void
cell_owner_set_zones(
    struct cell_owner *o, const struct cell_zones *z, ogl_time now)
{
	cell_fleet_set_zones(o->fleet, z, now);
	o->pass_needed = true;
}

/* ---- calls ------------------------------------------------------------ */

static void
reply(struct cell_owner *o, const char *to, uint64_t token,
    Ogl__CellOutcome outcome, uint32_t retry_ms)
{
	Ogl__CellReply r = OGL__CELL_REPLY__INIT;

	r.token = token;
	r.outcome = outcome;
	r.retry_ms = retry_ms;
	r.epoch = o->epoch;
	o->events.reply(o->events.arg, to, &r);
}

static void
refuse(struct cell_owner *o, const char *to, uint64_t token, uint32_t retry_ms,
    ogl_time now)
{
	cell_admission_refuse(o->admission, to, token, now);
	reply(o, to, token, OGL__CELL_OUTCOME__cell_busy, retry_ms);
}

static struct waiting_call *
waiting_call_new(struct cell_owner *o, const char *to, const Ogl__CellCall *c)
{
	struct waiting_call *w = g_new(struct waiting_call, 1);

	w->owner = o;
	w->to = g_strdup(to);
	w->token = c->token;
	g_strlcpy(w->id, c->id, sizeof w->id);
	return w;
}

static void
waiting_call_free(struct waiting_call *w)
{
	g_free(w->to);
	g_free(w);
}

static void
log_accepted(struct cell_owner *o, struct cell_job *j, ogl_time now)
{
	char more[280];
	const struct cell_team *t;

	if (j->def == NULL)
		return;
	t = cell_config_team(o->config, j->def->team);
	g_snprintf(more, sizeof more,
	    "team=%s queue=%s steps=%zu tasks=%u chain_ms=%.0f work_s=%.1f "
	    "over_rate=%d rate=%.2f objective_ms=%.0f "
	    "store_ms=%" G_GINT64_FORMAT,
	    j->def->team, j->def->queue, j->def->n_steps,
	    j->def->steps[0]->count, j->chain_ms, j->cpu_seconds,
	    j->beyond_rate, t != NULL ? t->rate : 0,
	    cell_sched_objective_ms(o->sched, j), (now - j->accepted) / OGL_MS);
	log_job(o, j, "job_accepted", more);
}

/* Removes a new job that the store has certainly refused. */
static void
remove_refused_job(struct cell_owner *o, struct cell_job *j, ogl_time now)
{
	guint i;

	if (j == NULL || j->stored || cell_job_state_ended(j->state))
		return;
	log_job(o, j, "job_refused", "why=store_refused");
	cell_account_refused(o->account, j->def->queue, j->def->team);
	for (i = 0; i < j->occurrences->len; i++)
		drop_occurrence(o, j, j->occurrences->pdata[i], now);
	cell_journal_unmark(o->journal, j);
	cell_relay_job_ended(o->relay, j->id);
	g_hash_table_remove(o->jobs, j->id);
}

static void
on_submit_stored(
    void *arg, uint64_t tag, enum cell_store_result result, ogl_time now)
{
	struct waiting_call *w = arg;
	struct cell_owner *o = w->owner;
	struct cell_job *j = job_of(o, w->id);

	(void)tag;
	if (result == CELL_STORED && j != NULL) {
		reply(o, w->to, w->token, OGL__CELL_OUTCOME__cell_ok, 0);
		if (!j->stored) {
			j->stored = true;
			cell_account_look(j, now);
			log_accepted(o, j, now);
			o->pass_needed = true;
		}
	} else if (result == CELL_NOT_STORED && j != NULL && j->stored) {
		/* An earlier submission of the same job was stored, and its
		 * answer may have been lost. */
		reply(o, w->to, w->token, OGL__CELL_OUTCOME__cell_ok, 0);
	} else if (result == CELL_NOT_STORED) {
		remove_refused_job(o, j, now);
		refuse(o, w->to, w->token, BUSY_RETRY_MS, now);
	} else {
		/* This may be a second submission of a job that has been
		 * removed. */
		reply(o, w->to, w->token, OGL__CELL_OUTCOME__cell_not_owner, 0);
	}
	waiting_call_free(w);
}

/* Answers a call once the change that it made to a job is stored. */
static void
on_call_stored(
    void *arg, uint64_t tag, enum cell_store_result result, ogl_time now)
{
	struct waiting_call *w = arg;

	(void)tag;
	(void)now;
	reply(w->owner, w->to, w->token,
	    result == CELL_STORED ? OGL__CELL_OUTCOME__cell_ok
				  : OGL__CELL_OUTCOME__cell_not_owner,
	    0);
	waiting_call_free(w);
}

/* Counts one more job of the team and returns whether it is within the team's
 * rate on this shard. */
static bool
within_rate(struct cell_owner *o, const char *team, ogl_time now)
{
	const struct cell_team *t = cell_config_team(o->config, team);
	double rate = t != NULL ? t->rate / o->params.shards : 0;
	double burst = rate * (o->params.shards > 1 ? SHARD_BURST_SECONDS : 1);

	return cell_admission_within_rate(o->admission, team, rate, burst, now);
}

static bool
overloaded(const struct cell_owner *o)
{
	return cell_load_refusing(&o->load) ||
	       cell_load_refusing(&o->link_load);
}

static void
log_refused(struct cell_owner *o, const Ogl__CellCall *c, const char *why)
{
	char text[320];

	g_snprintf(text, sizeof text,
	    "epoch=%" G_GUINT64_FORMAT " team=%s queue=%s why=%s", o->epoch,
	    c->team, c->queue, why);
	cell_log_job(o->ops, "owner", "job_refused", c->id, OGL_NEVER, text);
}

/*
 * Why any new job would be refused now, NULL if it may be accepted.  A call
 * that was admitted before its job was sent is not checked against the load
 * again.
 */
static const char *
why_refuse_any(struct cell_owner *o, const char *from, const Ogl__CellCall *c,
    ogl_time now)
{
	/* This node has just started.  The node that passed the call on has a
	 * configuration already. */
	if (o->config == NULL)
		return "no_configuration";
	if (cell_journal_failing(o->journal, now))
		return "store_failing";
	if (cell_admission_was_refused(o->admission, from, c->token))
		return "refused_before";
	if (!c->admitted && !cell_load_admit(&o->load))
		return "load";
	if (!c->admitted && !cell_load_admit(&o->link_load))
		return "link_load";
	return NULL;
}

/*
 * Why a new job is refused, NULL if it is accepted.  *over is set to whether it
 * exceeds its team's rate.  Under load such a job is refused: otherwise a team
 * that submits ten times its rate would displace the jobs of all other teams.
 */
static const char *
why_refuse(struct cell_owner *o, const char *from, const Ogl__CellCall *c,
    bool *over, ogl_time now)
{
	const char *why = "";

	if (!cell_job_def_valid(c->job, &why))
		return "malformed";
	why = why_refuse_any(o, from, c, now);
	if (why != NULL)
		return why;
	*over = CELL_USES_RATE && !within_rate(o, c->job->team, now);
	if (*over && overloaded(o))
		return "load_over_rate";
	return NULL;
}

static void
refuse_job(struct cell_owner *o, const char *from, const Ogl__CellCall *c,
    const char *why, uint32_t retry_ms, ogl_time now)
{
	log_refused(o, c, why);
	cell_account_refused(o->account, c->queue, c->team);
	refuse(o, from, c->token, retry_ms, now);
}

/*
 * When a caller of a job that can't be served now is to come back.  The times
 * are spread, as callers who all return at once would find the same line again.
 */
static uint32_t
retry_ms_after(const struct cell_job *j, ogl_time wait)
{
	uint64_t ms = (uint64_t)CLAMP(
	    wait / OGL_MS, BUSY_RETRY_MS, FORECAST_RETRY_MS_MAX);

	return (uint32_t)(ms + ms * (g_str_hash(j->id) % 64) / 128);
}

/* Answers a submission of an unknown job that does not include the job: the
 * front end asks whether to send it. */
static void
call_submit_query(struct cell_owner *o, const char *from,
    const Ogl__CellCall *c, ogl_time now)
{
	const char *why = why_refuse_any(o, from, c, now);

	if (why != NULL)
		refuse_job(o, from, c, why, BUSY_RETRY_MS, now);
	else
		reply(o, from, c->token, OGL__CELL_OUTCOME__cell_send_job, 0);
}

static void
call_submit(
    struct cell_owner *o, const char *from, Ogl__CellCall *c, ogl_time now)
{
	struct cell_job *j = job_of(o, c->id);
	struct waiting_call *w;
	const char *why;
	bool over = false;
	ogl_time wait;

	if (j != NULL && j->stored) {
		reply(o, from, c->token, OGL__CELL_OUTCOME__cell_ok, 0);
		return;
	}
	if (j != NULL) {
		cell_journal_submit(o->journal, j, on_submit_stored,
		    waiting_call_new(o, from, c), 0, now);
		return;
	}
	if (c->job == NULL) {
		call_submit_query(o, from, c, now);
		return;
	}
	why = why_refuse(o, from, c, &over, now);
	if (why != NULL) {
		refuse_job(o, from, c, why, BUSY_RETRY_MS, now);
		return;
	}
	w = waiting_call_new(o, from, c);
	j = cell_job_new(c->job, now);
	c->job = NULL;
	j->beyond_rate = over;
	wait = o->settled ? cell_sched_forecast(o->sched, j, now) : 0;
	if (wait > 0) {
		refuse_job(o, from, c, "no_room_in_time",
		    retry_ms_after(j, wait), now);
		waiting_call_free(w);
		cell_job_free(j);
		return;
	}
	j->settled = true;
	j->def->accepted_ms = (uint64_t)(o->wall / OGL_MS);
	g_hash_table_insert(o->jobs, j->id, j);
	cell_relay_note_spec(o->relay, j->id, from);
	cell_journal_submit(o->journal, j, on_submit_stored, w, 0, now);
	begin_due_occurrences(o, j);
}

/*
 * A successor may have accepted the job while this node was paused or could not
 * reach the store.  "No such job" would make the caller give the job up, or
 * take it for cancelled.  So unless ownership was confirmed recently the answer
 * is "not owner", and the front end repeats the call until ownership is
 * confirmed or the successor is known.
 */
static void
reply_absent(struct cell_owner *o, const char *from, const Ogl__CellCall *c,
    ogl_time now)
{
	bool confirmed_lately = !cell_fleet_awaits_confirmation(o->fleet) &&
				now - o->confirmed < CONFIRMATION_AGE_MAX;

	reply(o, from, c->token,
	    confirmed_lately ? OGL__CELL_OUTCOME__cell_absent
			     : OGL__CELL_OUTCOME__cell_not_owner,
	    0);
}

static void
call_cancel(
    struct cell_owner *o, const char *from, Ogl__CellCall *c, ogl_time now)
{
	struct cell_job *j = job_of(o, c->id);

	if (j == NULL) {
		reply_absent(o, from, c, now);
		return;
	}
	if (!cell_job_state_ended(j->state))
		end_job(o, j, OGL__CELL_JOB_STATE__cell_cancelled, "cancelled",
		    now);
	cell_journal_notify(
	    o->journal, on_call_stored, waiting_call_new(o, from, c), 0);
}

static void
reply_state(void *arg, const char *to, uint64_t token, const char *id)
{
	struct cell_owner *o = arg;
	struct cell_job *j = job_of(o, id);
	Ogl__CellReply r = OGL__CELL_REPLY__INIT;

	if (j == NULL) {
		reply(o, to, token, OGL__CELL_OUTCOME__cell_not_owner, 0);
		return;
	}
	r.token = token;
	r.epoch = o->epoch;
	r.state = j->state;
	if (cell_job_state_ended(j->state) && !j->end_stored)
		r.state = OGL__CELL_JOB_STATE__cell_running;
	o->events.reply(o->events.arg, to, &r);
}

/* Whether the job ends with the next ends of runs: no task waits. */
static bool
may_end_soon(const struct cell_job *j)
{
	guint i;
	size_t k;

	for (i = 0; i < j->occurrences->len; i++) {
		const struct cell_occurrence *oc = j->occurrences->pdata[i];

		for (k = 0; k < j->def->n_steps; k++) {
			const struct cell_stage *st = &oc->stages[k];

			if (st->def->lasting || cell_stage_waiting(st) > 0)
				return false;
		}
	}
	return j->occurrences->len > 0;
}

/* How long a question for the state of the job waits for its end. */
static ogl_time
state_wait(const struct cell_job *j)
{
	if (cell_job_state_ended(j->state))
		return j->end_stored ? 0 : END_STORE_WAIT_MAX;
	return may_end_soon(j) ? END_ARRIVAL_WAIT : 0;
}

static void
call_state(
    struct cell_owner *o, const char *from, Ogl__CellCall *c, ogl_time now)
{
	struct cell_job *j = job_of(o, c->id);
	ogl_time wait;

	if (j == NULL) {
		reply_absent(o, from, c, now);
		return;
	}
	wait = state_wait(j);
	if (wait > 0)
		cell_watch_add(o->watch, j->id, from, c->token, now + wait);
	else
		reply_state(o, from, c->token, j->id);
}

static void
call_pending(struct cell_owner *o, const char *from, Ogl__CellCall *c)
{
	Ogl__CellReply r = OGL__CELL_REPLY__INIT;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, o->jobs);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct cell_job *j = p;

		if (j->def != NULL && j->stored && !j->begun &&
		    strcmp(j->def->queue, c->queue) == 0)
			r.pending++;
	}
	r.token = c->token;
	o->events.reply(o->events.arg, from, &r);
}

void
cell_owner_call(
    struct cell_owner *o, const char *from, Ogl__CellCall *c, ogl_time now)
{
	/* A call that was sent to the owner of another epoch is not accepted:
	 * its front end may have got an answer from another owner since. */
	if (o->phase != PHASE_SERVING || c->epoch != o->epoch) {
		reply(o, from, c->token, OGL__CELL_OUTCOME__cell_not_owner, 0);
		return;
	}
	switch (c->kind) {
	case OGL__CELL_CALL_KIND__cell_submit:
		call_submit(o, from, c, now);
		break;
	case OGL__CELL_CALL_KIND__cell_cancel:
		call_cancel(o, from, c, now);
		break;
	case OGL__CELL_CALL_KIND__cell_pending:
		call_pending(o, from, c);
		break;
	case OGL__CELL_CALL_KIND__cell_state:
	default:
		call_state(o, from, c, now);
		break;
	}
}

void
cell_owner_advice(struct cell_owner *o, const Ogl__CellAdvice *a, ogl_time now)
{
	if (o->phase == PHASE_SERVING)
		cell_advice_answer(o->advice, a, now);
}

void
cell_owner_part(struct cell_owner *o, const Ogl__CellPart *m, ogl_time now)
{
	if (o->phase == PHASE_SERVING)
		cell_escrow_receive(o->escrow, m, now);
}

void
cell_owner_advice_node(
    struct cell_owner *o, const char *addr, bool leaving, ogl_time now)
{
	if (leaving)
		cell_advice_remove_node(o->advice, addr);
	else
		cell_advice_update_node(o->advice, addr, now);
}

void
cell_owner_relay_node(
    struct cell_owner *o, const char *addr, bool leaving, ogl_time now)
{
	cell_relay_update_node(o->relay, addr, leaving, now);
}

void
cell_owner_order_answers(
    struct cell_owner *o, const Ogl__CellOrderAnswers *m, ogl_time now)
{
	size_t i;

	for (i = 0; i < m->n_answers; i++)
		cell_relay_answer(o->relay, m->answers[i], now);
}

/* ---- periodic work ---------------------------------------------------- */

static void
clear_assumed_job(struct cell_owner *o, struct cell_job *j, ogl_time now)
{
	guint i;
	size_t k;

	for (i = 0; i < j->occurrences->len; i++) {
		struct cell_occurrence *oc = j->occurrences->pdata[i];

		for (k = 0; k < j->def->n_steps; k++)
			clear_assumed_unless_held(o, &oc->stages[k], now);
	}
}

/* Once every worker has answered or can no longer run anything, tasks of jobs
 * that an earlier owner accepted may be started. */
static void
settle(struct cell_owner *o, ogl_time now)
{
	GHashTableIter it;
	gpointer p;
	char text[64];

	if (o->settled || !cell_roster_loaded(o->roster) ||
	    !cell_fleet_settled(o->fleet, now))
		return;
	o->settled = true;
	o->pass_needed = true;
	g_hash_table_iter_init(&it, o->jobs);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct cell_job *j = p;

		j->settled = true;
		clear_assumed_job(o, j, now);
	}
	g_snprintf(text, sizeof text, "shard=%u epoch=%" G_GUINT64_FORMAT,
	    o->params.shard, o->epoch);
	o->ops->log(o->ops->ctx, "owner", "settled", text);
}

/* Stops the remaining members of a gang if only some were found running, or if
 * one was lost without the others noticing, so that the whole gang is started
 * again. */
static void
repair_gang(struct cell_owner *o, struct cell_stage *st, ogl_time now)
{
	uint64_t run = 0;
	bool incomplete = false;
	uint32_t i;

	if (!st->def->gang || st->nactive == 0 || st->ndone > 0)
		return;
	for (i = 0; i < st->ntasks; i++) {
		const struct cell_run *r = st->tasks[i].active;

		if (r == NULL || (run != 0 && r->number != run) ||
		    r->state == CELL_RUN_STOPPING) {
			incomplete = true;
			continue;
		}
		if (now - r->created_at < GANG_REPAIR_DELAY)
			return;
		run = r->number;
	}
	if (!incomplete)
		return;
	for (i = 0; i < st->ntasks; i++) {
		struct cell_run *r = st->tasks[i].active;

		if (r != NULL && r->state != CELL_RUN_STOPPING)
			cell_fleet_stop(o->fleet, r, now);
	}
}

static void
sweep_job(struct cell_owner *o, struct cell_job *j, ogl_time now)
{
	guint i;
	size_t k;

	if (j->def->repeats > 0)
		begin_due_occurrences(o, j);
	if (!j->settled)
		return;
	if (o->holds_tasks)
		clear_assumed_job(o, j, now);
	for (i = 0; i < j->occurrences->len; i++) {
		struct cell_occurrence *oc = j->occurrences->pdata[i];

		for (k = 0; k < j->def->n_steps; k++)
			repair_gang(o, &oc->stages[k], now);
	}
}

static void
on_forgotten(
    void *arg, uint64_t tag, enum cell_store_result result, ogl_time now)
{
	struct store_wait *wait = arg;

	(void)tag;
	(void)now;
	if (result == CELL_STORED) {
		struct cell_job *j = job_of(wait->owner, wait->id);

		if (j != NULL && j->drop_records) {
			cell_journal_unmark(wait->owner->journal, j);
			g_hash_table_remove(wait->owner->jobs, wait->id);
		}
	}
	g_free(wait->id);
	g_free(wait);
}

static void
forget_ended(struct cell_owner *o, struct cell_job *j, ogl_time now)
{
	uint64_t keep_ms = o->limits->status_ms + ENDED_JOB_MARGIN_MS;

	if (j->drop_records ||
	    j->ended_ms + keep_ms > (uint64_t)(o->wall / OGL_MS))
		return;
	j->drop_records = true;
	job_changed(o, j, false, now);
	call_after_store(o, j->id, on_forgotten, 0);
}

static void
sweep(struct cell_owner *o, ogl_time now)
{
	GList *all, *at;

	if (now < o->next_sweep_at)
		return;
	o->next_sweep_at = now + SWEEP_INTERVAL;
	cell_admission_sweep(o->admission, now);
	all = g_hash_table_get_values(o->jobs);
	for (at = all; at != NULL; at = at->next) {
		struct cell_job *j = at->data;

		if (cell_job_state_ended(j->state))
			forget_ended(o, j, now);
		else
			sweep_job(o, j, now);
	}
	g_list_free(all);
	if (o->settled && now > cell_fleet_old_leases_end(o->fleet))
		o->holds_tasks = false;
	o->pass_needed = true;
}

static void
move_stragglers(struct cell_owner *o, ogl_time now)
{
	if (now < o->next_straggler_check || o->config == NULL)
		return;
	o->next_straggler_check = now + STRAGGLER_INTERVAL;
	cell_straggler_step(o->fleet, o->sched, now);
}

void
cell_owner_set_announced(struct cell_owner *o, bool announced)
{
	o->announced = announced;
}

/* The periodic work of an owner that has taken its shard over. */
static void
serve(struct cell_owner *o, ogl_time confirmed, bool may_act, ogl_time now)
{
	if (cell_roster_loaded(o->roster) &&
	    cell_fleet_record_outdated(o->fleet))
		store_workers(o, now);
	cell_journal_step(o->journal, now);
	cell_watch_step(o->watch, now);
	if (!may_act)
		return;
	cell_fleet_confirm(o->fleet, confirmed);
	if (!o->announced)
		return;
	cell_fleet_step(o->fleet, now);
	cell_advice_step(o->advice, now);
	cell_escrow_step(o->escrow, now);
	settle(o, now);
	sweep(o, now);
	move_stragglers(o, now);
	if (o->pass_needed && cell_sched_due(o->sched, now)) {
		o->pass_needed = false;
		cell_sched_pass(o->sched, now);
	}
}

void
cell_owner_step(struct cell_owner *o, ogl_time confirmed, bool may_act,
    ogl_time now, ogl_time wall)
{
	guint workers = g_hash_table_size(cell_fleet_workers(o->fleet));

	o->wall = wall;
	o->confirmed = confirmed;
	cell_loader_step(o->loader, now);
	cell_roster_step(o->roster, now);
	cell_relay_step(o->relay, workers, now);
	cell_journal_set_slow_link(o->journal, cell_relay_active(o->relay));
	cell_sched_set_slow_link(o->sched, cell_relay_active(o->relay));
	if (o->phase == PHASE_SERVING)
		serve(o, confirmed, may_act, now);
	cell_relay_flush(o->relay, now);
}

static void
log_load(
    struct cell_owner *o, const char *resource, bool recovered, ogl_time late)
{
	char text[160];

	g_snprintf(text, sizeof text,
	    "shard=%u epoch=%" G_GUINT64_FORMAT
	    " of=%s late_ms=%" G_GINT64_FORMAT " jobs=%u",
	    o->params.shard, o->epoch, resource, late / OGL_MS,
	    g_hash_table_size(o->jobs));
	o->ops->log(o->ops->ctx, "owner",
	    recovered ? "load_carried" : "load_too_high", text);
}

static void
step_load(struct cell_owner *o, struct cell_load *l, const char *resource,
    ogl_time due, ogl_time now)
{
	bool was_refusing = cell_load_refusing(l);

	cell_load_step(l, due, now);
	if (was_refusing != cell_load_refusing(l) && o->phase == PHASE_SERVING)
		log_load(o, resource, was_refusing, now - due);
}

void
cell_owner_measure_load(struct cell_owner *o, ogl_time due, ogl_time now)
{
	ogl_time delay = cell_relay_min_delay(o->relay, now);

	step_load(o, &o->load, "processor", due, now);
	step_load(o, &o->link_load, "link", now - delay, now);
}

bool
cell_owner_asks_first(const struct cell_owner *o)
{
	return o->phase == PHASE_SERVING && overloaded(o);
}

bool
cell_owner_awaits_confirmation(const struct cell_owner *o)
{
	return o->phase == PHASE_SERVING &&
	       cell_fleet_awaits_confirmation(o->fleet);
}

void
cell_owner_require_confirmation(struct cell_owner *o, ogl_time now)
{
	cell_fleet_require_confirmation(o->fleet, now);
}

ogl_time
cell_owner_wake(const struct cell_owner *o)
{
	ogl_time relay = cell_relay_wake(o->relay);

	if (o->phase != PHASE_SERVING)
		return relay;
	relay = MIN(relay, cell_watch_wake(o->watch));
	return MIN(relay, cell_journal_wake(o->journal));
}

bool
cell_owner_idle(const struct cell_owner *o)
{
	return o->phase == PHASE_CLOSED || cell_journal_idle(o->journal);
}
