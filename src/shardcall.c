/*
 * Calls to the owner of a shard, made directly or through another node.
 *
 * A job is accepted when its record has taken effect on the log; its submitter
 * is answered then.  The submitter's request id is kept with the job: a
 * repeated submission under the same id gives the same job.
 *
 * A submission under the caller's own id goes first to the shard that the id
 * belongs to, its home.  The node that took the call suggests a shard with
 * room.  The home records the shard that the id is referred to and answers
 * with it.  A repeated submission is referred to the same shard, whatever is
 * suggested, until that shard refuses the job because it can never run it.
 * So one id gives one job, and jobs still go to shards with room.
 *
 * A short request that must not run twice is recorded as an intent before it
 * is sent to an executor, and its outcome is recorded afterwards.  A repeated
 * request gets the recorded outcome, or waits for the one in flight.  When an
 * earlier owner recorded the intent and no outcome is known, the answer is
 * that the request may have run.  It is never sent a second time.
 */

#include <stdlib.h>
#include <string.h>

#include "message.h"
#include "shard_impl.h"

enum {
	MAX_JOB_TASKS = 10000,
	MAX_QUEUED_WORK = 200000, /* most tasks and gangs in the queue */
	RETRY_OWNER_MS = 300,     /* retry delay until an owner is ready */
	RETRY_LOG_MS = 1000,      /* retry delay while the log is down */
	RETRY_FULL_MS = 5000,     /* retry delay while the queue is full */
	INFEASIBLE_MIN_S = 60,    /* a job infeasible this long is cancelled */
	/* A worker with this many failed syncs is no longer waited for. */
	UNRESPONSIVE_FAILED_SYNCS = 3
};

#define REFUSED_ERROR "it can never run: its shard refused it for good"

/* A short request whose outcome is not recorded yet. */
struct ogl_inflight {
	char *id;
	char *team;
	char *work_kind;
	GBytes *body;
	uint64_t budget_ms;
	GArray *waiters; /* uint64_t */
	bool sent;       /* to an executor */
};

static void
inflight_free(void *v)
{
	struct ogl_inflight *f = v;

	g_free(f->id);
	g_free(f->team);
	g_free(f->work_kind);
	g_bytes_unref(f->body);
	g_array_free(f->waiters, TRUE);
	g_free(f);
}

static void
waiters_free(void *v)
{
	g_array_free(v, TRUE);
}

void
ogl_shardcall_init(struct ogl_shard *sh)
{
	sh->submits = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, waiters_free);
	sh->pending_ids =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sh->referrals = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, waiters_free);
	sh->cancels = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, waiters_free);
	sh->inflight =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, inflight_free);
}

/* ---- replies ---------------------------------------------------------- */

static void
reply(struct ogl_shard *sh, uint64_t waiter, uint32_t status,
    enum ogl_verdict v, uint64_t retry_ms, GBytes *body)
{
	sh->env->ops->reply(
	    sh->env->ctx, sh->index, waiter, status, v, retry_ms, body);
	g_bytes_unref(body);
}

static void
refuse(struct ogl_shard *sh, uint64_t waiter, uint32_t status,
    enum ogl_verdict v, uint64_t retry_ms, const char *error)
{
	reply(sh, waiter, status, v, retry_ms,
	    ogl_error_body(error, v, retry_ms));
}

static GBytes *
job_body(struct ogl_shard *sh, const struct ogl_job *j, bool with_tasks)
{
	Ogl__JobView v;
	Ogl__TaskView *tasks = NULL;
	Ogl__TaskView **list = NULL;
	size_t n;
	char *text;

	ogl_job_view(j, &v);
	if (with_tasks) {
		tasks = g_new0(Ogl__TaskView, j->ntasks);
		list = g_new0(Ogl__TaskView *, j->ntasks);
		for (uint32_t i = 0; i < j->ntasks; i++) {
			const struct ogl_task *t = &j->tasks[i];
			const struct ogl_session *s = NULL;

			ogl__task_view__init(&tasks[i]);
			tasks[i].index = i;
			tasks[i].attempt = t->attempt;
			tasks[i].state =
			    (char *)(t->phase == OGL_TASK_WAITING ? "waiting"
				     : t->running                 ? "running"
								  : "starting");
			if (t->phase == OGL_TASK_ENDED)
				tasks[i].state =
				    (char *)ogl__task_state__descriptor
					.values[t->end_state]
					.name;
			if (t->phase == OGL_TASK_PLACED) {
				s = g_ptr_array_index(sh->sessions, t->worker);
				tasks[i].worker = s->name;
			}
			list[i] = &tasks[i];
		}
		v.n_task = j->ntasks;
		v.task = list;
	}
	text = ogl_json_print(&v.base, &n);
	g_free(list);
	g_free(tasks);
	return g_bytes_new_take(text, n);
}

static enum ogl_verdict
view_verdict(const struct ogl_job *j)
{
	Ogl__JobView v;

	ogl_job_view(j, &v);
	return (enum ogl_verdict)v.verdict;
}

static void
reply_job(struct ogl_shard *sh, uint64_t waiter, uint32_t status,
    const struct ogl_job *j, bool with_tasks)
{
	reply(sh, waiter, status, view_verdict(j), 0,
	    job_body(sh, j, with_tasks));
}

static void
add_waiter(GHashTable *to, const char *key, uint64_t waiter)
{
	GArray *w = g_hash_table_lookup(to, key);

	if (w == NULL) {
		w = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		g_hash_table_insert(to, g_strdup(key), w);
	}
	g_array_append_val(w, waiter);
}

static void
refuse_waiters(struct ogl_shard *sh, GArray *waiters, enum ogl_verdict v,
    const char *error)
{
	for (guint i = 0; i < waiters->len; i++)
		refuse(sh, g_array_index(waiters, uint64_t, i), 503, v,
		    RETRY_OWNER_MS, error);
}

static void
refuse_table_waiters(struct ogl_shard *sh, GHashTable *table, const char *error)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, table);
	while (g_hash_table_iter_next(&it, NULL, &v))
		refuse_waiters(sh, v, OGL_MAY_HAVE_RUN, error);
}

void
ogl_shardcall_end(struct ogl_shard *sh, ogl_time now)
{
	const char *error = "the shard changed its owner before the record "
			    "was confirmed; ask again under the same id";
	GHashTableIter it;
	void *v;

	(void)now;
	refuse_table_waiters(sh, sh->submits, error);
	refuse_table_waiters(sh, sh->cancels, error);
	refuse_table_waiters(sh, sh->referrals, error);
	g_hash_table_iter_init(&it, sh->inflight);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct ogl_inflight *f = v;

		refuse_waiters(sh, f->waiters,
		    f->sent ? OGL_MAY_HAVE_RUN : OGL_NOT_RUN, error);
	}
	g_clear_pointer(&sh->submits, g_hash_table_destroy);
	g_clear_pointer(&sh->pending_ids, g_hash_table_destroy);
	g_clear_pointer(&sh->cancels, g_hash_table_destroy);
	g_clear_pointer(&sh->referrals, g_hash_table_destroy);
	g_clear_pointer(&sh->inflight, g_hash_table_destroy);
}

static void
drop_waiter(GArray *w, uint64_t waiter)
{
	for (guint i = w->len; i > 0; i--) {
		if (g_array_index(w, uint64_t, i - 1) == waiter)
			g_array_remove_index_fast(w, i - 1);
	}
}

void
ogl_shard_waiter_gone(struct ogl_shard *sh, uint64_t waiter)
{
	GHashTableIter it;
	void *v;

	if (sh->role != OGL_ROLE_OWNER)
		return;
	g_hash_table_iter_init(&it, sh->submits);
	while (g_hash_table_iter_next(&it, NULL, &v))
		drop_waiter(v, waiter);
	g_hash_table_iter_init(&it, sh->cancels);
	while (g_hash_table_iter_next(&it, NULL, &v))
		drop_waiter(v, waiter);
	g_hash_table_iter_init(&it, sh->referrals);
	while (g_hash_table_iter_next(&it, NULL, &v))
		drop_waiter(v, waiter);
	g_hash_table_iter_init(&it, sh->inflight);
	while (g_hash_table_iter_next(&it, NULL, &v))
		drop_waiter(((struct ogl_inflight *)v)->waiters, waiter);
}

/* ---- jobs ------------------------------------------------------------- */

/* Returns why this shard's workers can never run the job, or NULL. */
static const char *
infeasible_reason(struct ogl_shard *sh, const Ogl__Submit *s)
{
	struct ogl_demand demand = {.kind = s->kind};
	uint32_t tasks_at_once = s->kind == OGL__KIND__gang ? s->tasks : 1;

	if (s->res != NULL) {
		demand.res.cpu_milli = s->res->cpu_milli;
		demand.res.mem_mb = s->res->mem_mb;
		demand.res.accel = s->res->accel;
	}
	switch (ogl_place_feasibility(sh->placer, &demand, tasks_at_once)) {
	case OGL_INFEASIBLE_NO_WORKER:
		return "it can never run: no worker is large enough for "
		       "one task";
	case OGL_INFEASIBLE_GANG_TOTAL:
		return "it can never run: all workers together hold too few "
		       "of its tasks at once";
	case OGL_FEASIBLE:
	default:
		return NULL;
	}
}

/* Returns why the job can never run within the team's limit, or NULL. */
static const char *
limit_reason(struct ogl_shard *sh, const char *team, const Ogl__Submit *s)
{
	struct ogl_team_view view;

	ogl_settings_lookup_team(sh->env->settings, team, &view);
	if (s->kind == OGL__KIND__gang && view.exists &&
	    view.limit_tasks < s->tasks)
		return "it can never run: the gang is larger than the "
		       "team's upper limit";
	return NULL;
}

static void
record_job(struct ogl_shard *sh, const char *team, const Ogl__Submit *spec,
    uint64_t waiter, ogl_time now)
{
	Ogl__Record *r = ogl_shard_record(sh, now);
	Ogl__JobAccepted *a = malloc(sizeof *a);
	char *id = g_strdup_printf("s%u-%" G_GINT64_MODIFIER "x-%u", sh->index,
	    sh->state->epoch, ++sh->next_job);

	ogl__job_accepted__init(a);
	a->job = strdup(id);
	a->team = strdup(team);
	a->spec = ogl_submit_copy(spec);
	a->accepted_ms = (uint64_t)(now / OGL_MS);
	r->body_case = OGL__RECORD__BODY_JOB_ACCEPTED;
	r->job_accepted = a;
	ogl_shard_append(sh, r, now);
	add_waiter(sh->submits, id, waiter);
	if (spec->request_id[0] != '\0')
		g_hash_table_insert(sh->pending_ids,
		    ogl_request_key(team, spec->request_id), id);
	else
		g_free(id);
}

/* Returns whether a job was already submitted under the id, and if so answers
 * the waiter, now or once the job's record is on the log. */
static bool
known_request(struct ogl_shard *sh, const char *team, const char *request_id,
    uint64_t waiter)
{
	struct ogl_job *j;
	const char *id;
	char *key;

	if (request_id[0] == '\0')
		return false;
	key = ogl_request_key(team, request_id);
	j = g_hash_table_lookup(sh->state->by_request, key);
	id = g_hash_table_lookup(sh->pending_ids, key);
	g_free(key);
	if (j != NULL)
		reply_job(sh, waiter, 202, j, false);
	else if (id != NULL)
		add_waiter(sh->submits, id, waiter);
	return j != NULL || id != NULL;
}

static void
reply_referral(struct ogl_shard *sh, uint64_t waiter, uint32_t shard)
{
	char *text = g_strdup_printf("%u", shard);

	reply(sh, waiter, OGL_STATUS_REFERRED, OGL_NOT_RUN, 0,
	    g_bytes_new_take(text, strlen(text)));
}

void
ogl_shardcall_job_referred(
    struct ogl_shard *sh, const Ogl__JobReferred *r, ogl_time now)
{
	GArray *w = g_hash_table_lookup(sh->referrals, r->request);

	(void)now;
	for (guint i = 0; w != NULL && i < w->len; i++) {
		uint64_t waiter = g_array_index(w, uint64_t, i);

		if (r->refused)
			refuse(sh, waiter, 422, OGL_NOT_RUN, 0, REFUSED_ERROR);
		else
			reply_referral(sh, waiter, r->shard);
	}
	g_hash_table_remove(sh->referrals, r->request);
}

static void
record_referral(struct ogl_shard *sh, const char *key, uint32_t shard,
    bool refused, ogl_time now)
{
	Ogl__Record *r = ogl_shard_record(sh, now);

	r->body_case = OGL__RECORD__BODY_JOB_REFERRED;
	r->job_referred = malloc(sizeof *r->job_referred);
	ogl__job_referred__init(r->job_referred);
	r->job_referred->request = strdup(key);
	r->job_referred->shard = shard;
	r->job_referred->refused = refused;
	r->job_referred->at_ms = (uint64_t)(now / OGL_MS);
	ogl_shard_append(sh, r, now);
}

/* Returns whether the submission is referred to another shard, and if so
 * answers the waiter, now or once the referral is on the log. */
static bool
refer_submission(struct ogl_shard *sh, const struct ogl_owner_call *c,
    const char *id, ogl_time now)
{
	const Ogl__JobReferred *r;
	char *key;

	if (c->suggest == 0)
		return false;
	key = ogl_request_key(c->team, id);
	r = g_hash_table_lookup(sh->state->referred, key);
	if (g_hash_table_contains(sh->referrals, key)) {
		add_waiter(sh->referrals, key, c->waiter);
	} else if (r != NULL && c->refused_by != r->shard + 1) {
		reply_referral(sh, c->waiter, r->shard);
	} else if (c->suggest == sh->index + 1) {
		g_free(key);
		return false;
	} else {
		add_waiter(sh->referrals, key, c->waiter);
		record_referral(sh, key, c->suggest - 1, false, now);
	}
	g_free(key);
	return true;
}

/*
 * Returns whether this shard refused the id earlier, and if so answers the
 * waiter.  The refusal is permanent.  The home may have referred the id to
 * another shard since, while a second caller still follows the first referral.
 * If the job were accepted here now, for example because a larger worker was
 * added, one id would give two jobs.
 */
static bool
refused_before(
    struct ogl_shard *sh, const struct ogl_owner_call *c, const char *id)
{
	const Ogl__JobReferred *r;
	char *key;
	bool handled = true;

	if (!c->referred)
		return false;
	key = ogl_request_key(c->team, id);
	r = g_hash_table_lookup(sh->state->referred, key);
	if (g_hash_table_contains(sh->referrals, key))
		add_waiter(sh->referrals, key, c->waiter);
	else if (r != NULL && r->refused)
		refuse(sh, c->waiter, 422, OGL_NOT_RUN, 0, REFUSED_ERROR);
	else
		handled = false;
	g_free(key);
	return handled;
}

/* Records a permanent refusal.  The waiter is answered once it is on the
 * log. */
static void
record_refusal(struct ogl_shard *sh, const struct ogl_owner_call *c,
    const char *id, ogl_time now)
{
	char *key = ogl_request_key(c->team, id);

	add_waiter(sh->referrals, key, c->waiter);
	record_referral(sh, key, sh->index, true, now);
	g_free(key);
}

/* Whether some workers have not reported yet, so that a job that seems
 * infeasible may fit on one of them. */
static bool
workers_unreported(const struct ogl_shard *sh)
{
	if (sh->recovering)
		return true;
	for (guint i = 0; i < sh->sessions->len; i++) {
		const struct ogl_session *s =
		    g_ptr_array_index(sh->sessions, i);

		if (!s->reported && !s->gone &&
		    s->failed_syncs < UNRESPONSIVE_FAILED_SYNCS)
			return true;
	}
	return false;
}

static void
call_submit(struct ogl_shard *sh, const struct ogl_owner_call *c, ogl_time now)
{
	struct ogl_faults *faults = ogl_faults_new();
	Ogl__Submit *s = (Ogl__Submit *)ogl_json_parse(
	    &ogl__submit__descriptor, c->body, faults);
	const char *why = NULL;

	if (s == NULL || s->tasks == 0 || s->tasks > MAX_JOB_TASKS ||
	    s->kind == OGL__KIND__request) {
		refuse(sh, c->waiter, 422, OGL_NOT_RUN, 0, "not a job");
		goto out;
	}
	if (known_request(sh, c->team, s->request_id, c->waiter))
		goto out;
	if (!ogl_shard_log_up(sh, now)) {
		refuse(sh, c->waiter, 503, OGL_NOT_RUN, RETRY_LOG_MS,
		    "the log can't be reached, so nothing is accepted");
		goto out;
	}
	if (refer_submission(sh, c, s->request_id, now) ||
	    refused_before(sh, c, s->request_id))
		goto out;
	if (ogl_queue_length(sh->queue) > MAX_QUEUED_WORK) {
		refuse(sh, c->waiter, 503, OGL_NOT_RUN, RETRY_FULL_MS,
		    "too much work waits already");
		goto out;
	}
	why = limit_reason(sh, c->team, s);
	if (why == NULL)
		why = infeasible_reason(sh, s);
	if (why != NULL && workers_unreported(sh))
		refuse(sh, c->waiter, 503, OGL_NOT_RUN, RETRY_OWNER_MS,
		    "the workers are not all known yet");
	else if (why != NULL && c->referred)
		record_refusal(sh, c, s->request_id, now);
	else if (why != NULL)
		refuse(sh, c->waiter, 422, OGL_NOT_RUN, 0, why);
	else
		record_job(sh, c->team, s, c->waiter, now);
out:
	if (s != NULL)
		ogl__submit__free_unpacked(s, NULL);
	ogl_faults_free(faults);
}

void
ogl_shardcall_job_accepted(
    struct ogl_shard *sh, struct ogl_job *j, ogl_time now)
{
	GArray *w = g_hash_table_lookup(sh->submits, j->id);
	char *key;

	j->number = ++sh->job_number;
	sh->env->counters->jobs++;
	ogl_sched_enqueue(sh, j, now);
	for (guint i = 0; w != NULL && i < w->len; i++)
		reply_job(sh, g_array_index(w, uint64_t, i), 202, j, false);
	g_hash_table_remove(sh->submits, j->id);
	if (j->spec->request_id[0] != '\0') {
		key = ogl_request_key(j->team, j->spec->request_id);
		g_hash_table_remove(sh->pending_ids, key);
		g_free(key);
	}
}

static bool
may_see(const struct ogl_owner_call *c, const struct ogl_job *j)
{
	return c->team[0] == '\0' || strcmp(c->team, j->team) == 0;
}

static void
call_list(struct ogl_shard *sh, const struct ogl_owner_call *c)
{
	Ogl__JobList list = OGL__JOB_LIST__INIT;
	guint max_jobs = g_hash_table_size(sh->state->jobs);
	Ogl__JobView *views = g_new0(Ogl__JobView, max_jobs + 1);
	Ogl__JobView **ptrs = g_new0(Ogl__JobView *, max_jobs + 1);
	GHashTableIter it;
	void *v;
	size_t n;
	char *text;

	g_hash_table_iter_init(&it, sh->state->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (!may_see(c, v))
			continue;
		ogl_job_view(v, &views[list.n_jobs]);
		ptrs[list.n_jobs] = &views[list.n_jobs];
		list.n_jobs++;
	}
	list.jobs = ptrs;
	text = ogl_json_print(&list.base, &n);
	reply(sh, c->waiter, 200, OGL_RAN, 0, g_bytes_new_take(text, n));
	g_free(ptrs);
	g_free(views);
}

/* Whether certainly no task of the job was started, by this or an earlier
 * owner. */
static bool
never_started(const struct ogl_shard *sh, const struct ogl_job *j)
{
	if (j->nplaced > 0 || j->nended > 0 || (sh->recovering && j->inherited))
		return false;
	for (uint32_t i = 0; i < j->ntasks; i++) {
		if (j->tasks[i].attempt != 0)
			return false;
	}
	return !j->inherited;
}

/* Records the job's cancellation.  The reason is empty if a caller requested
 * it. */
static void
record_cancel(
    struct ogl_shard *sh, struct ogl_job *j, const char *reason, ogl_time now)
{
	Ogl__Record *r;

	/* No task is started from here on, so a not_run verdict stays true. */
	j->cancel_pending = true;
	ogl_sched_dequeue(sh, j);
	r = ogl_shard_record(sh, now);
	r->body_case = OGL__RECORD__BODY_JOB_CANCELLED;
	r->job_cancelled = malloc(sizeof *r->job_cancelled);
	ogl__job_cancelled__init(r->job_cancelled);
	r->job_cancelled->job = strdup(j->id);
	r->job_cancelled->reason = strdup(reason);
	r->job_cancelled->verdict = never_started(sh, j)
					? OGL__VERDICT__not_run
					: OGL__VERDICT__may_have_run;
	ogl_shard_append(sh, r, now);
}

static void
call_cancel(struct ogl_shard *sh, const struct ogl_owner_call *c,
    struct ogl_job *j, ogl_time now)
{
	if (ogl_job_ended(j)) {
		reply_job(sh, c->waiter, 200, j, false);
		return;
	}
	add_waiter(sh->cancels, j->id, c->waiter);
	if (!j->cancel_pending)
		record_cancel(sh, j, "", now);
}

/* Cancels jobs that have been infeasible on this shard's workers for
 * INFEASIBLE_MIN_S.  Otherwise their callers would wait forever; after the
 * cancellation they can submit the job elsewhere. */
void
ogl_shardcall_cancel_infeasible(struct ogl_shard *sh, ogl_time now)
{
	GHashTableIter it;
	void *v;

	if (workers_unreported(sh) || !ogl_shard_log_up(sh, now))
		return;
	g_hash_table_iter_init(&it, sh->state->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct ogl_job *j = v;
		const char *why;

		if (ogl_job_ended(j) || j->cancel_pending || j->nplaced > 0)
			continue;
		why = infeasible_reason(sh, j->spec);
		if (why == NULL)
			j->infeasible_since = 0;
		else if (j->infeasible_since == 0)
			j->infeasible_since = now;
		else if (now - j->infeasible_since >=
			 INFEASIBLE_MIN_S * OGL_SEC)
			record_cancel(sh, j, why, now);
	}
}

void
ogl_shardcall_job_cancelled(
    struct ogl_shard *sh, struct ogl_job *j, ogl_time now)
{
	GArray *w = g_hash_table_lookup(sh->cancels, j->id);

	ogl_sched_dequeue(sh, j);
	ogl_sched_stop_job(sh, j, OGL__STOP_MODE__stop, now);
	for (guint i = 0; w != NULL && i < w->len; i++)
		reply_job(sh, g_array_index(w, uint64_t, i), 200, j, false);
	g_hash_table_remove(sh->cancels, j->id);
}

static void
call_job(struct ogl_shard *sh, const struct ogl_owner_call *c, const char *id,
    ogl_time now)
{
	struct ogl_job *j = g_hash_table_lookup(sh->state->jobs, id);

	if (j == NULL || !may_see(c, j))
		refuse(sh, c->waiter, 404, OGL_NOT_RUN, 0, "no such job");
	else if (ogl_str_eq(c->method, ogl_str("DELETE")))
		call_cancel(sh, c, j, now);
	else
		reply_job(sh, c->waiter, 200, j, true);
}

/* ---- short requests with an id ---------------------------------------- */

static void
reply_outcome(
    struct ogl_shard *sh, uint64_t waiter, const struct ogl_request_id *r)
{
	reply(sh, waiter, r->status, (enum ogl_verdict)r->verdict, 0,
	    g_bytes_ref(r->body));
}

static void
record_intent(struct ogl_shard *sh, const struct ogl_owner_call *c,
    const char *id, ogl_time now)
{
	struct ogl_inflight *f = g_new0(struct ogl_inflight, 1);
	Ogl__Record *r = ogl_shard_record(sh, now);

	f->id = g_strdup(id);
	f->team = g_strdup(c->team);
	f->work_kind = g_strdup(c->work_kind);
	f->body = g_bytes_new(c->body.p, c->body.n);
	f->budget_ms = c->budget_ms;
	f->waiters = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_append_val(f->waiters, c->waiter);
	g_hash_table_insert(sh->inflight, f->id, f);
	r->body_case = OGL__RECORD__BODY_ID_INTENT;
	r->id_intent = malloc(sizeof *r->id_intent);
	ogl__id_intent__init(r->id_intent);
	r->id_intent->id = strdup(id);
	r->id_intent->at_ms = (uint64_t)(now / OGL_MS);
	ogl_shard_append(sh, r, now);
}

static void
call_request(struct ogl_shard *sh, const struct ogl_owner_call *c, ogl_time now)
{
	char *id = ogl_request_key(c->team, c->request_id);
	struct ogl_request_id *r = g_hash_table_lookup(sh->state->ids, id);
	struct ogl_inflight *f = g_hash_table_lookup(sh->inflight, id);

	if (f != NULL)
		g_array_append_val(f->waiters, c->waiter);
	else if (r != NULL && r->has_outcome)
		reply_outcome(sh, c->waiter, r);
	else if (r != NULL)
		refuse(sh, c->waiter, 502, OGL_MAY_HAVE_RUN, 0,
		    "the node that sent it was lost before its outcome was "
		    "recorded");
	else if (!ogl_shard_log_up(sh, now))
		refuse(sh, c->waiter, 503, OGL_NOT_RUN, RETRY_LOG_MS,
		    "the log can't be reached, so it can't be made sure "
		    "that it runs once");
	else
		record_intent(sh, c, id, now);
	g_free(id);
}

void
ogl_shardcall_id_recorded(
    struct ogl_shard *sh, struct ogl_request_id *r, ogl_time now)
{
	struct ogl_inflight *f = g_hash_table_lookup(sh->inflight, r->id);

	if (f == NULL)
		return;
	if (r->has_outcome) {
		for (guint i = 0; i < f->waiters->len; i++)
			reply_outcome(
			    sh, g_array_index(f->waiters, uint64_t, i), r);
		g_hash_table_remove(sh->inflight, r->id);
		return;
	}
	if (f->sent)
		return;
	f->sent = true;
	sh->env->ops->dispatch(sh->env->ctx, sh->index, f->id, f->team,
	    f->work_kind, f->body, f->budget_ms, now);
}

/* Answers the waiters at once and records the outcome after that.  If the
 * owner fails in between, a repeated request is answered "may have run", which
 * is true.  The id of a request that certainly did not run can be used
 * again. */
void
ogl_shard_outcome(struct ogl_shard *sh, const char *id, enum ogl_verdict v,
    uint32_t status, uint64_t retry_after_ms, GBytes *body, ogl_time now)
{
	struct ogl_inflight *f;
	Ogl__Record *r;
	gsize n;
	const void *data = g_bytes_get_data(body, &n);

	if (sh->role != OGL_ROLE_OWNER)
		return;
	f = g_hash_table_lookup(sh->inflight, id);
	if (f == NULL)
		return;
	for (guint i = 0; i < f->waiters->len; i++)
		reply(sh, g_array_index(f->waiters, uint64_t, i), status, v,
		    retry_after_ms, g_bytes_ref(body));
	g_array_set_size(f->waiters, 0);
	r = ogl_shard_record(sh, now);
	r->body_case = OGL__RECORD__BODY_ID_OUTCOME;
	r->id_outcome = malloc(sizeof *r->id_outcome);
	ogl__id_outcome__init(r->id_outcome);
	r->id_outcome->id = strdup(id);
	r->id_outcome->verdict = (Ogl__Verdict)v;
	r->id_outcome->status = status;
	r->id_outcome->body.data = malloc(n + 1);
	if (n > 0)
		memcpy(r->id_outcome->body.data, data, n);
	r->id_outcome->body.len = n;
	ogl_shard_append(sh, r, now);
}

/* ---- routing of calls by path ----------------------------------------- */

void
ogl_shard_call(
    struct ogl_shard *sh, const struct ogl_owner_call *c, ogl_time now)
{
	const char *jobs = "/v1/jobs";
	size_t n = strlen(jobs);
	char *id;

	if (sh->role != OGL_ROLE_OWNER) {
		refuse(sh, c->waiter, 503, OGL_NOT_RUN, RETRY_OWNER_MS,
		    "not the owner of this shard");
		return;
	}
	if (ogl_str_eq(c->path, ogl_str("/v1/requests"))) {
		call_request(sh, c, now);
	} else if (ogl_str_eq(c->path, ogl_str(jobs))) {
		if (ogl_str_eq(c->method, ogl_str("POST")))
			call_submit(sh, c, now);
		else
			call_list(sh, c);
	} else if (c->path.n > n + 1 && memcmp(c->path.p, jobs, n) == 0) {
		id = g_strndup(c->path.p + n + 1, c->path.n - n - 1);
		call_job(sh, c, id, now);
		g_free(id);
	} else {
		json_t *j = ogl_shard_view(sh, c->path, now);
		char *text = json_dumps(j, JSON_COMPACT);

		reply(sh, c->waiter, 200, OGL_RAN, 0,
		    g_bytes_new_with_free_func(text, strlen(text), free, text));
		json_decref(j);
	}
}
