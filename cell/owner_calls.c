/*
 * Answers callers' requests that nodes pass on: accepts or refuses new jobs,
 * cancels jobs and tells their state.
 */

#include <string.h>

#include "ablate.h"
#include "owner_impl.h"

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

/* Shortest time between two log lines about calls for jobs of other teams. */
#define STRANGER_LOG_INTERVAL OGL_SEC

/* A call that is answered once the store has answered. */
struct waiting_call {
	struct cell_owner *owner;
	char *to;
	uint64_t token;
	char id[CELL_ID_LEN + 1];
};

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

/* Times that are not given as slots, spread by the job's id: callers who all
 * return at once would be refused again. */
static uint32_t
busy_retry_ms(const char *id)
{
	return BUSY_RETRY_MS + g_str_hash(id) % BUSY_RETRY_MS;
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
	cell_owner_log_job(o, j, "job_accepted", more);
}

/* ---- whose job it is -------------------------------------------------- */

/*
 * Why the call may not have to do with the job; NULL if it may.  Teams are
 * compared, not keys, so a team's new key serves its old jobs.  A job without a
 * team is for everyone whose call a front end lets through.  Without a key such
 * calls come through public queues only, and may do there as they like with the
 * queue's own jobs, whoever submitted them.
 */
static const char *
why_not_for(const struct cell_job *j, const Ogl__CellCall *c)
{
	if (*j->team == '\0' || strcmp(j->team, c->team) == 0)
		return NULL;
	if (*c->team != '\0')
		return "other_team";
	return strcmp(j->queue_name, c->queue) == 0 ? NULL : "no_key";
}

static const char *
call_name(Ogl__CellCallKind k)
{
	switch (k) {
	case OGL__CELL_CALL_KIND__cell_submit:
		return "submit";
	case OGL__CELL_CALL_KIND__cell_cancel:
		return "cancel";
	default:
		return "state";
	}
}

static void
note_stranger(struct cell_owner *o, const struct cell_job *j,
    const Ogl__CellCall *c, const char *why, ogl_time now)
{
	struct cell_label labels[] = {
	    {"reason", why}, {"call", call_name(c->kind)}};
	char text[300];

	if (o->ops->count_labels != NULL)
		o->ops->count_labels(o->ops->ctx, "calls_for_others_jobs",
		    labels, G_N_ELEMENTS(labels), 1);
	if (o->stranger_logged_at != 0 &&
	    now - o->stranger_logged_at < STRANGER_LOG_INTERVAL) {
		o->strangers_unlogged++;
		return;
	}
	g_snprintf(text, sizeof text,
	    "shard=%u call=%s why=%s job=%s of_team=%.64s team=%.64s "
	    "queue=%.64s left_out=%u",
	    o->params.shard, call_name(c->kind), why, j->id, j->team, c->team,
	    c->queue, o->strangers_unlogged);
	o->ops->log(o->ops->ctx, "owner", "call_for_others_job", text);
	o->stranger_logged_at = now;
	o->strangers_unlogged = 0;
}

/* ---- submissions ------------------------------------------------------ */

/* Removes a new job that the store has certainly refused. */
static void
remove_refused_job(struct cell_owner *o, struct cell_job *j, ogl_time now)
{
	guint i;

	if (j == NULL || j->stored || cell_job_state_ended(j->state))
		return;
	cell_owner_log_job(o, j, "job_refused", "why=store_refused");
	cell_account_refused(o->account, j->def->queue, j->def->team);
	for (i = 0; i < j->occurrences->len; i++)
		cell_owner_drop_occurrence(o, j, j->occurrences->pdata[i], now);
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
	struct cell_job *j = cell_owner_job(o, w->id);

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
		refuse(o, w->to, w->token, busy_retry_ms(w->id), now);
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

bool
cell_owner_overloaded(const struct cell_owner *o)
{
	return cell_load_refusing(&o->load) ||
	       cell_load_refusing(&o->link_load);
}

/* j: the job if it was refused by a forecast, otherwise NULL. */
static void
log_refused(struct cell_owner *o, const Ogl__CellCall *c,
    const struct cell_job *j, const char *why, uint32_t retry_ms)
{
	char text[400];

	g_snprintf(text, sizeof text,
	    "epoch=%" G_GUINT64_FORMAT
	    " team=%s queue=%s why=%s rule=%s expected_ms=%" G_GINT64_FORMAT
	    " slot_ms=%u",
	    o->epoch, c->team, c->queue, why,
	    j != NULL && j->refused_by != NULL ? j->refused_by : "none",
	    j != NULL ? cell_sched_expected_start(j) / OGL_MS : 0, retry_ms);
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

	if (!cell_job_def_storable(c->job, &why))
		return "malformed";
	why = why_refuse_any(o, from, c, now);
	if (why != NULL)
		return why;
	*over = CELL_USES_RATE && !within_rate(o, c->job->team, now);
	if (*over && cell_owner_overloaded(o))
		return "load_over_rate";
	return NULL;
}

/* When the caller of a job that is refused for too much work is to come back. */
static uint32_t
retry_ms_after(struct cell_owner *o, const Ogl__CellCall *c,
    const struct cell_job *j, ogl_time wait, ogl_time now)
{
	struct cell_refused r = {c->id, c->queue, j};

	return cell_sched_return_ms(o->sched, &r,
	    now + CLAMP(wait, BUSY_RETRY_MS * OGL_MS,
		      FORECAST_RETRY_MS_MAX * OGL_MS),
	    now);
}

/* Whether there is no saying when a job refused for that reason can be taken. */
static bool
retry_time_unknown(const char *why)
{
	return strcmp(why, "malformed") == 0 ||
	       strcmp(why, "no_configuration") == 0 ||
	       strcmp(why, "store_failing") == 0;
}

static void
refuse_job(struct cell_owner *o, const char *from, const Ogl__CellCall *c,
    const char *why, ogl_time now)
{
	uint32_t retry_ms = retry_time_unknown(why)
				? busy_retry_ms(c->id)
				: retry_ms_after(o, c, NULL, 0, now);

	log_refused(o, c, NULL, why, retry_ms);
	cell_account_refused(o->account, c->queue, c->team);
	refuse(o, from, c->token, retry_ms, now);
}

/* Whether the team of a job that a forecast refused is the reason. */
static bool
refused_for_team(const struct cell_job *j)
{
	return j->beyond_rate || g_strcmp0(j->refused_by, "team_line") == 0;
}

/* Counts what the forecast said of a new job.  One that is accepted because it
 * came before others says nothing of those. */
static void
note_forecast(struct cell_owner *o, const struct cell_job *j, bool refused,
    uint32_t retry_ms, ogl_time now)
{
	const char *queue = j->def->queue;
	const char *team = j->def->team;

	if (refused)
		cell_refusals_add(o->refusals, queue,
		    refused_for_team(j) ? team : "", retry_ms, now);
	else if (j->waits_since == j->accepted)
		cell_refusals_accepted(o->refusals, queue, team);
}

/*
 * Why a job is refused of which only id, queue and team are known.  Nodes ask
 * because of a hint only for jobs that a forecast may refuse; under load they ask
 * for all, so hints do not count then.
 */
static const char *
why_refuse_query(struct cell_owner *o, const char *from, const Ogl__CellCall *c,
    ogl_time now)
{
	const char *why = why_refuse_any(o, from, c, now);

	if (why == NULL && !cell_owner_overloaded(o) &&
	    cell_refusals_apply(o->refusals, c->queue, c->team, now) &&
	    !cell_sched_is_return(o->sched, c->id, now))
		why = "no_room_in_time";
	return why;
}

/*
 * Answers a call for an id that the caller has no job under, and for a
 * submission also that it gets none, as the id is another's.
 *
 * A successor may have accepted the job while this node was paused or could not
 * reach the store.  "No such job" would make the caller give the job up, or
 * take it for cancelled.  So unless ownership was confirmed recently the answer
 * is "not owner", and the front end repeats the call until ownership is
 * confirmed or the successor is known.
 *
 * other: the job of another team under this id, NULL if there is none.  Nothing
 * in the answer tells them apart.
 */
static void
reply_absent(struct cell_owner *o, const char *from, const Ogl__CellCall *c,
    const struct cell_job *other, ogl_time now)
{
	bool confirmed_lately =
	    !cell_fleet_awaits_confirmation(o->fleet, now) &&
	    now - o->confirmed < CONFIRMATION_AGE_MAX;

	if (!confirmed_lately) {
		reply(o, from, c->token, OGL__CELL_OUTCOME__cell_not_owner, 0);
		return;
	}
	/* A second copy of the submission may arrive after the other team's job
	 * is gone. */
	if (c->kind == OGL__CELL_CALL_KIND__cell_submit)
		cell_admission_refuse(o->admission, from, c->token, now);
	reply(o, from, c->token, OGL__CELL_OUTCOME__cell_absent, 0);
	if (other != NULL)
		note_stranger(o, other, c, why_not_for(other, c), now);
}

/*
 * Answers a call for a job whose records can't be read here.  It exists, and
 * another owner may serve it, so its submission may have been accepted, and
 * other calls are refused for now.  They are answered at once, as this owner
 * won't know more before the caller's deadline.
 */
static void
reply_unreadable(struct cell_owner *o, const char *from, const Ogl__CellCall *c)
{
	o->ops->count(o->ops->ctx, "calls_for_unreadable_jobs", 1);
	if (c->kind == OGL__CELL_CALL_KIND__cell_submit)
		reply(o, from, c->token, OGL__CELL_OUTCOME__cell_unsure, 0);
	else
		reply(o, from, c->token, OGL__CELL_OUTCOME__cell_busy,
		    busy_retry_ms(c->id));
}

/* ---- calls ------------------------------------------------------------ */

/* Answers a submission of an unknown job that does not include the job: the
 * front end asks whether to send it. */
static void
call_submit_query(struct cell_owner *o, const char *from,
    const Ogl__CellCall *c, ogl_time now)
{
	const char *why = why_refuse_query(o, from, c, now);

	if (why != NULL)
		refuse_job(o, from, c, why, now);
	else
		reply(o, from, c->token, OGL__CELL_OUTCOME__cell_send_job, 0);
}

static void
call_submit(struct cell_owner *o, struct cell_job *j, const char *from,
    Ogl__CellCall *c, ogl_time now)
{
	struct waiting_call *w;
	const char *why;
	bool over = false;
	uint32_t retry_ms;
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
	c->job->accepted_ms = (uint64_t)(o->wall / OGL_MS);
	why = why_refuse(o, from, c, &over, now);
	if (why != NULL) {
		refuse_job(o, from, c, why, now);
		return;
	}
	w = waiting_call_new(o, from, c);
	j = cell_job_new(c->job, now);
	c->job = NULL;
	j->beyond_rate = over;
	cell_learned_update_job(o->learned, j, now);
	cell_sched_note_return(o->sched, j, now);
	wait = o->settled ? cell_sched_forecast(o->sched, j, now) : 0;
	if (wait > 0) {
		retry_ms = retry_ms_after(o, c, j, wait, now);
		log_refused(o, c, j, "no_room_in_time", retry_ms);
		cell_account_refused(o->account, c->queue, c->team);
		note_forecast(o, j, true, retry_ms, now);
		refuse(o, from, c->token, retry_ms, now);
		waiting_call_free(w);
		cell_job_free(j);
		return;
	}
	note_forecast(o, j, false, 0, now);
	cell_sched_note_accepted(o->sched, j);
	j->settled = true;
	g_hash_table_insert(o->jobs, j->id, j);
	cell_relay_note_spec(o->relay, j->id, from);
	cell_journal_submit(o->journal, j, on_submit_stored, w, 0, now);
	cell_owner_begin_due_occurrences(o, j);
}

static void
call_cancel(struct cell_owner *o, struct cell_job *j, const char *from,
    Ogl__CellCall *c, ogl_time now)
{
	if (!cell_job_state_ended(j->state))
		cell_owner_end_job(o, j, OGL__CELL_JOB_STATE__cell_cancelled,
		    "cancelled", now);
	cell_journal_notify(
	    o->journal, on_call_stored, waiting_call_new(o, from, c), 0);
}

void
cell_owner_reply_state(
    void *arg, const char *to, uint64_t token, const char *id)
{
	struct cell_owner *o = arg;
	struct cell_job *j = cell_owner_job(o, id);
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
call_state(struct cell_owner *o, struct cell_job *j, const char *from,
    Ogl__CellCall *c, ogl_time now)
{
	ogl_time wait = state_wait(j);

	if (wait > 0)
		cell_watch_add(o->watch, j->id, from, c->token, now + wait);
	else
		cell_owner_reply_state(o, from, c->token, j->id);
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
	struct cell_job *j;

	/* A call that was sent to the owner of another epoch is not accepted:
	 * its front end may have got an answer from another owner since. */
	if (o->phase != PHASE_SERVING || c->epoch != o->epoch) {
		reply(o, from, c->token, OGL__CELL_OUTCOME__cell_not_owner, 0);
		return;
	}
	if (c->kind == OGL__CELL_CALL_KIND__cell_pending) {
		call_pending(o, from, c);
		return;
	}
	j = cell_owner_job(o, c->id);
	if (j == NULL && g_hash_table_contains(o->unreadable, c->id)) {
		reply_unreadable(o, from, c);
		return;
	}
	if (j != NULL ? why_not_for(j, c) != NULL
		      : c->kind != OGL__CELL_CALL_KIND__cell_submit) {
		reply_absent(o, from, c, j, now);
		return;
	}
	switch (c->kind) {
	case OGL__CELL_CALL_KIND__cell_submit:
		call_submit(o, j, from, c, now);
		break;
	case OGL__CELL_CALL_KIND__cell_cancel:
		call_cancel(o, j, from, c, now);
		break;
	case OGL__CELL_CALL_KIND__cell_state:
	default:
		call_state(o, j, from, c, now);
		break;
	}
}
