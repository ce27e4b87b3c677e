/*
 * One shard: its ownership, and the work of its owner.
 *
 * Ownership.  Every node knows from gossip who owns a shard.  When that node
 * is dead, has left or offers the shard, the live node with the highest
 * rendezvous weight reads the shard's stream to its end and appends a claim
 * that names the epoch it found.  The first such claim in log order is valid.
 * The claimant and the old owner both learn this by reading it.
 *
 * Fencing.  The new owner contacts, under its epoch, every worker recorded as
 * in use.  A worker that answers ignores older epochs from then on and reports
 * all its tasks.  The shard is in recovery until each of these workers has
 * answered or its leases have certainly ended.  During recovery no waiting
 * task of a job accepted before the claim is started.  The old owner's right
 * to act ends right_ms after it last saw the end of the stream without a
 * claim, so all leases have ended at claimed_at + right_ms + lease_ms plus a
 * margin.
 *
 * Log outage.  While the log is down nobody can claim, but an owner cannot
 * tell this from a loss of its own connection.  It may act beyond right_ms as
 * long as every named successor promises not to claim, yet never longer than
 * late_claim_ms after its last log contact.  A claimant that is not a named
 * successor therefore waits late_claim_ms instead of right_ms before it
 * treats the leases of workers that do not answer as ended.
 */

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "shard_impl.h"

enum {
	TOKEN_PART = 1, /* top byte of a shard's tokens */
	/* Longest time between two reads of the stream: */
	OWNER_POLL_MS = 300,  /* by an owner, to find rival claims */
	OFFER_POLL_MS = 50,   /* by an owner that offers the shard */
	READER_POLL_MS = 100, /* by a claimant */
	OUTRANKED_MIN_S = 10, /* time that a higher-ranked node must be alive */
	INFEASIBLE_EVERY_MS = 10000, /* time between infeasibility checks */
	/* Time between checks of limits, successors, rank and snapshot. */
	MAINTENANCE_EVERY_MS = 250,
};

void
ogl_shard_log(
    struct ogl_shard *sh, enum ogl_log_level level, const char *fmt, ...)
{
	struct ogl_action *a = ogl_actions_new(sh->env->out, OGL_ACT_LOG_LINE);
	GString *line = g_string_new(NULL);
	va_list ap;

	g_string_printf(line, "shard %u: ", sh->index);
	va_start(ap, fmt);
	g_string_append_vprintf(line, fmt, ap);
	va_end(ap);
	a->level = level;
	a->name = g_strdup("shard");
	a->data = g_string_free_to_bytes(line);
}

uint64_t
ogl_shard_token_base(uint32_t index)
{
	return (uint64_t)TOKEN_PART << 56 | (uint64_t)index << 32;
}

int64_t
ogl_shard_of_token(uint64_t token)
{
	if (token >> 56 != TOKEN_PART)
		return -1;
	return (int64_t)(token >> 32 & 0xffffff);
}

struct ogl_shard *
ogl_shard_init(struct ogl_shard_env *env, uint32_t index, ogl_time now)
{
	struct ogl_shard *sh = g_new0(struct ogl_shard, 1);

	sh->env = env;
	sh->index = index;
	sh->ownerless_since = now;
	return sh;
}

void
ogl_shard_leave_role(struct ogl_shard *sh, ogl_time now)
{
	if (sh->role == OGL_ROLE_OWNER) {
		ogl_shardcall_end(sh, now);
		ogl_escrow_end(sh);
		ogl_sessions_end(sh);
		ogl_sched_end(sh);
		g_clear_pointer(&sh->promises, g_hash_table_destroy);
	}
	g_clear_pointer(&sh->stream, ogl_stream_end);
	g_clear_pointer(&sh->state, ogl_state_free);
	sh->role = OGL_ROLE_NONE;
	sh->claim_sent = false;
	sh->recovering = false;
}

void
ogl_shard_end(struct ogl_shard *sh)
{
	if (sh == NULL)
		return;
	ogl_shard_leave_role(sh, 0);
	g_free(sh->known_owner);
	g_free(sh);
}

enum ogl_role
ogl_shard_role(const struct ogl_shard *sh)
{
	return sh->role;
}

uint64_t
ogl_shard_epoch(const struct ogl_shard *sh)
{
	return sh->role == OGL_ROLE_OWNER ? sh->state->epoch : 0;
}

bool
ogl_shard_ready(const struct ogl_shard *sh)
{
	return sh->role == OGL_ROLE_OWNER && !sh->recovering;
}

void
ogl_shard_fact(const struct ogl_shard *sh, Ogl__ShardFact *f)
{
	struct ogl_res total = {0}, held = {0};

	ogl_place_totals(sh->placer, &total, &held);
	f->shard = sh->index;
	f->epoch = sh->state->epoch;
	f->ready = !sh->recovering;
	f->free_cpu_milli = total.cpu_milli > held.cpu_milli
				? total.cpu_milli - held.cpu_milli
				: 0;
	f->queued = ogl_queue_length(sh->queue);
	f->offered = sh->stopping || sh->outranked_since != 0;
}

/* ---- records ---------------------------------------------------------- */

Ogl__Record *
ogl_shard_record(struct ogl_shard *sh, ogl_time now)
{
	Ogl__Record *r = malloc(sizeof *r);

	ogl__record__init(r);
	r->epoch = sh->state->epoch;
	r->at_ms = (uint64_t)(now / OGL_MS);
	return r;
}

void
ogl_shard_append(struct ogl_shard *sh, Ogl__Record *r, ogl_time now)
{
	ogl_stream_add(sh->stream, r, now);
}

/* Reports a task's end to the placer if the task succeeded or failed.  Other
 * ends say nothing about the worker. */
static void
report_to_placer(struct ogl_shard *sh, const struct ogl_job *j,
    const struct ogl_task *t, Ogl__TaskState state, ogl_time now)
{
	const struct ogl_session *s;
	bool ok = state == OGL__TASK_STATE__succeeded;

	if (t->phase != OGL_TASK_PLACED ||
	    (!ok && state != OGL__TASK_STATE__failed))
		return;
	s = g_ptr_array_index(sh->sessions, t->worker);
	if (s->in_placer)
		ogl_place_task_ended(
		    sh->placer, s->placer_index, j->number, ok, now);
}

void
ogl_shard_task_end(struct ogl_shard *sh, struct ogl_job *j, uint32_t i,
    Ogl__TaskState state, const char *reason, ogl_time now)
{
	struct ogl_task *t = &j->tasks[i];
	Ogl__Record *r;

	if (t->end_pending)
		return;
	report_to_placer(sh, j, t, state, now);
	ogl_sched_unbind(sh, j, i,
	    state == OGL__TASK_STATE__succeeded ||
		state == OGL__TASK_STATE__stopped ||
		state == OGL__TASK_STATE__checkpointed,
	    now);
	t->end_pending = true;
	r = ogl_shard_record(sh, now);
	r->body_case = OGL__RECORD__BODY_TASK_ENDED;
	r->task_ended = malloc(sizeof *r->task_ended);
	ogl__task_ended__init(r->task_ended);
	r->task_ended->job = strdup(j->id);
	r->task_ended->index = i;
	r->task_ended->attempt = t->attempt;
	r->task_ended->state = state;
	r->task_ended->reason = strdup(reason);
	ogl_shard_append(sh, r, now);
}

/* ---- records that take effect ----------------------------------------- */

static bool
claim_is_ours(const struct ogl_shard *sh, const Ogl__Record *r)
{
	const struct ogl_node_config *c = sh->env->cfg;

	return r->boot == c->boot && strcmp(r->writer, c->name) == 0;
}

/* Latest time at which a lease given or renewed by an earlier owner ends. */
static ogl_time
recovery_deadline(const struct ogl_shard *sh, bool late, ogl_time now)
{
	const struct ogl_node_config *c = sh->env->cfg;
	ogl_time right = (late ? c->late_claim_ms : c->right_ms) * OGL_MS;
	ogl_time lease = c->lease_ms * OGL_MS;

	right = MAX(right, OGL_PROMISE_MS * OGL_MS);
	return now + right + lease + lease / 10 + OGL_SEC;
}

static void
mark_inherited_jobs(struct ogl_shard *sh)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, sh->state->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct ogl_job *j = v;

		j->inherited = true;
		j->number = ++sh->job_number;
	}
}

static void
become_owner(struct ogl_shard *sh, const Ogl__Record *r, ogl_time now)
{
	const struct ogl_node_config *c = sh->env->cfg;

	sh->role = OGL_ROLE_OWNER;
	sh->claim_sent = false;
	sh->claimed_at = now;
	sh->recovering = true;
	sh->recovery_until = recovery_deadline(sh, r->claim->late, now);
	sh->outranked_since = 0;
	sh->promise_until = 0;
	sh->next_promise_ask = 0;
	/* The first snapshot is due one second after the claim.  After a whole
	 * period, no snapshot would be written while the owner changes more
	 * often than that, and the jobs would be lost to log retention. */
	sh->snapshot_at = now - c->snapshot_ms * OGL_MS + OGL_SEC;
	sh->promises =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ogl_sched_init(sh);
	ogl_sessions_init(sh);
	ogl_shardcall_init(sh);
	ogl_escrow_init(sh, now);
	ogl_sched_apply_settings(sh, now);
	mark_inherited_jobs(sh);
	ogl_sessions_update_hosts(sh, now);
	ogl_stream_follow(sh->stream, OWNER_POLL_MS, now);
	sh->env->counters->claims++;
	ogl_shard_log(sh, OGL_LOG_INFO,
	    "owned from epoch %" G_GUINT64_FORMAT ", %u jobs read",
	    sh->state->epoch, g_hash_table_size(sh->state->jobs));
}

bool
ogl_shard_still_owner(const struct ogl_shard *sh)
{
	return sh->state->owner_boot == sh->env->cfg->boot &&
	       strcmp(sh->state->owner, sh->env->cfg->name) == 0;
}

/* Whether records that are read take effect here.  After a rival claim all
 * records are the new owner's.  Its intent for a request id that also waits
 * here must not make this node send the request a second time. */
static bool
is_current_owner(const struct ogl_shard *sh)
{
	return sh->role == OGL_ROLE_OWNER && ogl_shard_still_owner(sh);
}

static void
hook_claimed(void *ctx, const Ogl__Record *r, ogl_time now)
{
	struct ogl_shard *sh = ctx;

	if (sh->role != OGL_ROLE_OWNER) {
		if (sh->claim_sent && claim_is_ours(sh, r))
			become_owner(sh, r, now);
		return;
	}
	/* The role is left later: the stream can't be freed from within its
	 * own callback. */
	sh->env->counters->lost_shards++;
	ogl_shard_log(sh, OGL_LOG_WARN, "taken over by %s", r->writer);
}

static void
hook_job_accepted(void *ctx, struct ogl_job *j, ogl_time now)
{
	struct ogl_shard *sh = ctx;

	if (is_current_owner(sh))
		ogl_shardcall_job_accepted(sh, j, now);
}

static void
hook_cancelled(void *ctx, struct ogl_job *j, ogl_time now)
{
	struct ogl_shard *sh = ctx;

	if (is_current_owner(sh))
		ogl_shardcall_job_cancelled(sh, j, now);
}

static void
hook_task_ended(void *ctx, struct ogl_job *j, uint32_t i,
    const Ogl__TaskEnded *e, ogl_time now)
{
	struct ogl_shard *sh = ctx;
	struct ogl_task *t = &j->tasks[i];
	const struct ogl_session *s;

	(void)now;
	if (!is_current_owner(sh))
		return;
	if (t->worker < sh->sessions->len && t->end_pending) {
		s = g_ptr_array_index(sh->sessions, t->worker);
		ogl_session_ack(sh, s->name, j->id, i, e->attempt);
	}
	t->end_pending = false;
	t->worker = OGL_NO_WORKER;
	sh->env->counters->ends++;
	g_ptr_array_add(sh->requeue, j);
}

static void
hook_start_intended(
    void *ctx, struct ogl_job *j, uint32_t i, uint32_t attempt, ogl_time now)
{
	struct ogl_shard *sh = ctx;

	if (is_current_owner(sh))
		ogl_sched_intent_recorded(sh, j, i, attempt, now);
}

static void
hook_referred(void *ctx, const Ogl__JobReferred *r, ogl_time now)
{
	struct ogl_shard *sh = ctx;

	if (is_current_owner(sh))
		ogl_shardcall_job_referred(sh, r, now);
}

static void
hook_id_changed(void *ctx, struct ogl_request_id *r, ogl_time now)
{
	struct ogl_shard *sh = ctx;

	if (is_current_owner(sh))
		ogl_shardcall_id_recorded(sh, r, now);
}

static void
hook_worker_in_use_changed(void *ctx, const char *name, bool on, ogl_time now)
{
	struct ogl_shard *sh = ctx;

	if (is_current_owner(sh))
		ogl_session_in_use_recorded(sh, name, on, now);
}

static void
hook_allot_changed(void *ctx, const Ogl__Allot *a, ogl_time now)
{
	struct ogl_shard *sh = ctx;

	if (is_current_owner(sh))
		ogl_escrow_recorded(sh, a, now);
}

static const struct ogl_state_hooks hooks = {
    .claimed = hook_claimed,
    .job_accepted = hook_job_accepted,
    .cancelled = hook_cancelled,
    .task_ended = hook_task_ended,
    .start_intended = hook_start_intended,
    .referred = hook_referred,
    .id_changed = hook_id_changed,
    .worker_in_use_changed = hook_worker_in_use_changed,
    .allot_changed = hook_allot_changed,
};

/* Discards a state that later records can't be applied to.  A reader goes on
 * with `new_state`; an owner loses its ownership. */
static void
reset_state(struct ogl_shard *sh, struct ogl_state *new_state)
{
	if (sh->role == OGL_ROLE_OWNER) {
		g_free(sh->state->owner);
		sh->state->owner = g_strdup("");
		ogl_state_free(new_state);
		return;
	}
	ogl_state_free(sh->state);
	sh->state = new_state;
}

static void
on_record(void *ctx, const Ogl__Record *r, uint64_t offset, ogl_time now)
{
	struct ogl_shard *sh = ctx;

	if (ogl_state_stale(sh->state, r)) {
		ogl_shard_log(sh, OGL_LOG_WARN,
		    "the snapshot read was a superseded owner's");
		reset_state(sh, ogl_state_new_after(r));
	}
	ogl_state_apply(sh->state, r, offset, &hooks, sh, now);
}

/* Discards the state after log retention dropped records before they were
 * read. */
static void
on_gap(void *ctx, uint64_t first)
{
	(void)first;
	reset_state(ctx, ogl_state_new());
}

static const struct ogl_stream_ops stream_ops = {on_record, on_gap};

void
ogl_shard_start_reading(struct ogl_shard *sh, ogl_time now)
{
	char name[32];

	g_snprintf(name, sizeof name, "shard-%u", sh->index);
	sh->role = OGL_ROLE_READER;
	sh->state = ogl_state_new();
	sh->stream = ogl_stream_init(name, ogl_shard_token_base(sh->index),
	    sh->env->cfg, &stream_ops, sh);
	ogl_stream_follow(sh->stream, READER_POLL_MS, now);
}

/* ---- owning ----------------------------------------------------------- */

/* Ends the tasks whose start was recorded but which no worker reports and no
 * unresponsive worker can still run.  Such a task ended unreported or was never
 * sent.
 * It must not run twice, so its verdict says that it may have run. */
static void
lapse_unknown_starts(struct ogl_shard *sh, struct ogl_job *j, ogl_time now)
{
	for (uint32_t i = 0; i < j->ntasks; i++) {
		struct ogl_task *t = &j->tasks[i];

		if (t->phase == OGL_TASK_WAITING && t->intent_recorded &&
		    !t->end_pending)
			ogl_shard_task_end(sh, j, i, OGL__TASK_STATE__lapsed,
			    "its owner was lost while it was started", now);
	}
}

static void
end_recovery(struct ogl_shard *sh, ogl_time now)
{
	ogl_time right_end = sh->claimed_at + sh->env->cfg->right_ms * OGL_MS;
	GHashTableIter it;
	void *v;

	/* A worker that restarts forgets the new epoch and would obey the old
	 * owner again, so the old owner's right to act must have ended too. */
	if (now < right_end ||
	    (now < sh->recovery_until && ogl_sessions_any_unreported(sh)))
		return;
	sh->recovering = false;
	sh->place_due = true;
	g_hash_table_iter_init(&it, sh->state->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (((struct ogl_job *)v)->inherited)
			lapse_unknown_starts(sh, v, now);
		ogl_sched_enqueue(sh, v, now);
	}
	ogl_shard_log(sh, OGL_LOG_INFO, "ready after %" G_GINT64_FORMAT " ms",
	    (now - sh->claimed_at) / OGL_MS);
}

struct prune_ctx {
	struct ogl_shard *sh;
	uint64_t before_ms;
};

static void
prune_team(void *ctx, const char *team, const struct ogl_team_view *view)
{
	struct prune_ctx *prune = ctx;

	ogl_state_keep_newest(
	    prune->sh->state, team, view->idle_keep_jobs, prune->before_ms);
}

/* Forgets jobs and request ids past their retention, so that the snapshot
 * doesn't contain them. */
static void
prune_state(struct ogl_shard *sh, ogl_time now)
{
	uint64_t at_ms = (uint64_t)(now / OGL_MS);
	uint32_t keep_ms = sh->env->cfg->id_keep_ms;
	struct prune_ctx prune = {sh, at_ms > keep_ms ? at_ms - keep_ms : 0};

	ogl_state_prune(sh->state, at_ms, keep_ms);
	ogl_settings_each_team(sh->env->settings, prune_team, &prune);
}

static void
write_snapshot(struct ogl_shard *sh, ogl_time now)
{
	const struct ogl_node_config *c = sh->env->cfg;
	GPtrArray *parts;

	if (sh->state->records < c->snapshot_records &&
	    now - sh->snapshot_at < c->snapshot_ms * OGL_MS)
		return;
	if (!ogl_stream_idle(sh->stream) || !ogl_shard_log_up(sh, now))
		return;
	sh->snapshot_at = now;
	sh->state->records = 0;
	prune_state(sh, now);
	parts = ogl_state_snapshot(sh->state, (uint64_t)now);
	for (guint i = parts->len; i > 0; i--) {
		Ogl__Record *r = g_ptr_array_index(parts, i - 1);

		r->epoch = sh->state->epoch;
		r->at_ms = (uint64_t)(now / OGL_MS);
		ogl_stream_add_first(sh->stream, r);
	}
	g_ptr_array_free(parts, TRUE);
}

/* Records new successors when others than the recorded ones rank highest, for
 * example because one died.  This is done while the log is up, since in an
 * outage a dead successor could not promise anything. */
static void
renew_successors(struct ogl_shard *sh, ogl_time now)
{
	char *names[OGL_MAX_SUCCESSORS];
	size_t n;
	bool same;
	Ogl__Record *r;

	if (!ogl_shard_log_up(sh, now) || ogl_stream_pending(sh->stream) > 0)
		return;
	n = ogl_claim_successors(sh, names);
	same = n == sh->state->successors->len;
	for (size_t i = 0; same && i < n; i++)
		same = ogl_right_is_successor(sh, names[i]);
	if (same) {
		for (size_t i = 0; i < n; i++)
			free(names[i]);
		return;
	}
	r = ogl_shard_record(sh, now);
	r->body_case = OGL__RECORD__BODY_SUCCESSORS;
	r->successors = malloc(sizeof *r->successors);
	ogl__successors__init(r->successors);
	r->successors->nodes = calloc(OGL_MAX_SUCCESSORS, sizeof(char *));
	for (size_t i = 0; i < n; i++)
		r->successors->nodes[i] = names[i];
	r->successors->n_nodes = n;
	ogl_shard_append(sh, r, now);
}

/* Offers the shard once a higher-ranked node has been alive long enough. */
static void
update_outranked(struct ogl_shard *sh, ogl_time now)
{
	struct ogl_candidate top = ogl_claim_top_candidate(sh);
	bool outranked =
	    top.name != NULL &&
	    top.rank > ogl_member_rank(top.m, sh->env->cfg->name, sh->index) &&
	    now - top.state_changed_at >= OUTRANKED_MIN_S * OGL_SEC;
	bool was_outranked = sh->outranked_since != 0;

	if (outranked != was_outranked) {
		sh->outranked_since = outranked ? now : 0;
		ogl_member_changed(sh->env->member);
		ogl_stream_follow(sh->stream,
		    outranked || sh->stopping ? OFFER_POLL_MS : OWNER_POLL_MS,
		    now);
	}
}

static void
requeue_jobs(struct ogl_shard *sh, ogl_time now)
{
	for (guint i = 0; i < sh->requeue->len; i++)
		ogl_sched_enqueue(sh, g_ptr_array_index(sh->requeue, i), now);
	g_ptr_array_set_size(sh->requeue, 0);
}

static void
owner_tick(struct ogl_shard *sh, ogl_time now)
{
	requeue_jobs(sh, now);
	ogl_right_ask_promises(sh, now);
	ogl_sessions_tick(sh, now);
	if (sh->recovering)
		end_recovery(sh, now);
	ogl_escrow_tick(sh, now);
	if (now >= sh->next_maintenance) {
		sh->next_maintenance = now + MAINTENANCE_EVERY_MS * OGL_MS;
		ogl_sched_enforce_limits(sh, now);
		renew_successors(sh, now);
		update_outranked(sh, now);
		write_snapshot(sh, now);
	}
	if (now >= sh->next_infeasible_check) {
		sh->next_infeasible_check = now + INFEASIBLE_EVERY_MS * OGL_MS;
		ogl_shardcall_cancel_infeasible(sh, now);
	}
	if (sh->place_due && ogl_shard_may_act(sh, now)) {
		ogl_sched_place(sh, now);
		ogl_sessions_tick(sh, now);
	}
	if (now >= ogl_sched_next_reclaim(sh))
		ogl_sched_reclaim_lent(sh, now);
}

void
ogl_shard_tick(struct ogl_shard *sh, ogl_time now)
{
	if (sh->role == OGL_ROLE_NONE)
		ogl_claim_none_tick(sh, now);
	if (sh->role == OGL_ROLE_READER)
		ogl_claim_reader_tick(sh, now);
	if (sh->role == OGL_ROLE_OWNER && !ogl_shard_still_owner(sh))
		ogl_shard_leave_role(sh, now);
	if (sh->role == OGL_ROLE_OWNER)
		owner_tick(sh, now);
	if (sh->stream != NULL)
		ogl_stream_tick(sh->stream, now, sh->env->out);
}

ogl_time
ogl_shard_next(const struct ogl_shard *sh)
{
	ogl_time t = OGL_NEVER;

	if (sh->stream != NULL)
		t = MIN(t, ogl_stream_next(sh->stream));
	if (sh->role == OGL_ROLE_OWNER) {
		t = MIN(t, sh->next_maintenance);
		t = MIN(t, ogl_escrow_next(sh));
		t = MIN(t, ogl_sessions_next(sh));
		t = MIN(t, ogl_sched_next_reclaim(sh));
		if (sh->place_due)
			t = 0;
	}
	return t;
}

void
ogl_shard_event(struct ogl_shard *sh, const struct ogl_event *ev, ogl_time now)
{
	if (ev->type == OGL_EV_WORKER) {
		if (sh->role == OGL_ROLE_OWNER)
			ogl_sessions_event(sh, ev, now);
		return;
	}
	if (ev->io != OGL_IO_OK)
		sh->env->counters->log_errors++;
	if (sh->stream != NULL)
		ogl_stream_event(sh->stream, ev, now);
	if (sh->role == OGL_ROLE_OWNER && !ogl_shard_still_owner(sh))
		ogl_shard_leave_role(sh, now);
}

void
ogl_shard_stop(struct ogl_shard *sh, ogl_time now)
{
	sh->stopping = true;
	if (sh->role == OGL_ROLE_READER && !sh->claim_sent)
		ogl_shard_leave_role(sh, now);
	if (sh->role == OGL_ROLE_OWNER)
		ogl_stream_follow(sh->stream, OFFER_POLL_MS, now);
}

void
ogl_shard_settings(struct ogl_shard *sh, ogl_time now)
{
	if (sh->role == OGL_ROLE_OWNER)
		ogl_sched_apply_settings(sh, now);
}

void
ogl_shard_escrow(struct ogl_shard *sh, const Ogl__PeerMsg *msg, ogl_time now)
{
	if (sh->role == OGL_ROLE_OWNER)
		ogl_escrow_msg(sh, msg, now);
}
