/*
 * The owner's sessions with workers.
 *
 * One message (a sync) at a time is under way to each worker.  It is sent
 * every sync_ms, or as soon as there is something to send, and carries all
 * starts, stops and acks for the worker and one lease renewal for all its
 * tasks.  Messages carry (epoch, seq); a worker ignores any that is not above
 * the last it accepted, so messages of an old owner and delayed copies have
 * no effect.
 *
 * Leases are measured on the worker's clock.  Each answer carries a reading X
 * of that clock, and the next message renews the leases until X + lease_ms.
 * However long the message is under way or either side is suspended, the
 * leases end at most lease_ms after we received X, by our clock.  When this
 * end and a margin for clock drift have passed, a worker that does not answer
 * runs none of our tasks any more, and they may be started elsewhere.  The
 * time limits of start commands are also measured from X.
 *
 * A worker is recorded as in use before the first start there, and as no
 * longer in use once its leases have expired without an answer.  A successor
 * therefore knows every worker where a task may run.
 */

#include <stdlib.h>
#include <string.h>

#include "shard_impl.h"

#define DRIFT_MARGIN_DIVISOR 10 /* lease_ms over this covers clock drift */

static void
task_ref_free(void *v)
{
	g_free(v);
}

static void
stop_free(void *v)
{
	ogl__task_stop__free_unpacked(v, NULL);
}

static void
ack_free(void *v)
{
	ogl__task_ack__free_unpacked(v, NULL);
}

static void
session_free(void *v)
{
	struct ogl_session *s = v;

	g_ptr_array_free(s->tasks, TRUE);
	g_ptr_array_free(s->stops, TRUE);
	g_ptr_array_free(s->acks, TRUE);
	g_free(s->name);
	g_free(s->addr);
	g_free(s->zone);
	g_free(s->rack);
	g_free(s);
}

void
ogl_sessions_init(struct ogl_shard *sh)
{
	sh->sessions = g_ptr_array_new_with_free_func(session_free);
	sh->by_placer_index = g_ptr_array_new();
	sh->by_worker = g_hash_table_new(g_str_hash, g_str_equal);
	sh->by_token =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	sh->next_hosts_update = 0;
}

void
ogl_sessions_end(struct ogl_shard *sh)
{
	g_clear_pointer(&sh->by_token, g_hash_table_destroy);
	g_clear_pointer(&sh->by_placer_index, g_ptr_array_unref);
	g_clear_pointer(&sh->by_worker, g_hash_table_destroy);
	g_clear_pointer(&sh->sessions, g_ptr_array_unref);
}

void
ogl_session_wake(struct ogl_shard *sh, struct ogl_session *s, ogl_time now)
{
	ogl_time earliest =
	    MAX(now, s->sent_at + OGL_SYNC_MIN_INTERVAL_MS * OGL_MS);

	if (s->failed_syncs == 0)
		s->next_sync = MIN(s->next_sync, earliest);
	sh->sessions_due = MIN(sh->sessions_due, s->next_sync);
}

static struct ogl_session *
session_new(
    struct ogl_shard *sh, const char *name, const char *addr, ogl_time now)
{
	struct ogl_session *s = g_new0(struct ogl_session, 1);

	s->name = g_strdup(name);
	s->addr = g_strdup(addr);
	s->zone = g_strdup("");
	s->rack = g_strdup("");
	s->number = sh->sessions->len;
	s->tasks = g_ptr_array_new_with_free_func(task_ref_free);
	s->stops = g_ptr_array_new_with_free_func(stop_free);
	s->acks = g_ptr_array_new_with_free_func(ack_free);
	s->next_sync = now;
	s->in_use = g_hash_table_contains(sh->state->workers, name);
	g_ptr_array_add(sh->sessions, s);
	g_hash_table_insert(sh->by_worker, s->name, s);
	return s;
}

/* ---- the shard's workers ---------------------------------------------- */

static bool
host_is_ours(const struct ogl_shard *sh, const struct ogl_host *h)
{
	uint64_t hash = ogl_random_hash(h->name, strlen(h->name));

	return h->role == OGL__HOST_ROLE__worker &&
	       hash % sh->env->cfg->shards == sh->index;
}

static void
update_schedulable(struct ogl_shard *sh, struct ogl_session *s)
{
	bool schedulable =
	    s->reported && s->in_use && !s->leaving && !s->needs_full_report;

	if (!s->in_placer)
		return;
	ogl_place_set_state(sh->placer, s->placer_index,
	    schedulable ? OGL_PLACE_SCHEDULABLE : OGL_PLACE_UNSCHEDULABLE);
	sh->place_due |= schedulable;
}

static void
update_worker(struct ogl_shard *sh, const struct ogl_host *h, ogl_time now)
{
	struct ogl_session *s = g_hash_table_lookup(sh->by_worker, h->name);
	bool leaving;

	if (s == NULL) {
		if (!h->listed)
			return;
		s = session_new(sh, h->name, h->addr, now);
	}
	if (strcmp(s->addr, h->addr) != 0) {
		g_free(s->addr);
		s->addr = g_strdup(h->addr);
	}
	if (h->listed && s->gone) {
		s->gone = false;
		s->next_sync = now;
	}
	/* The worker is leaving if the host list or its own report says so.
	 * The list may be older than the report, so the list alone must not
	 * make the worker schedulable again. */
	leaving = h->leaving || !h->listed || s->reported_leaving;
	if (s->leaving != leaving) {
		s->leaving = leaving;
		update_schedulable(sh, s);
	}
}

/* Updates the set of workers to contact from the host list, which may be out
 * of date, and from the workers recorded as in use.  A worker that is missing
 * from the list may still run tasks until its leases have expired. */
void
ogl_sessions_update_hosts(struct ogl_shard *sh, ogl_time now)
{
	GHashTableIter it;
	void *k, *v;

	g_hash_table_iter_init(&it, sh->env->hosts);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (host_is_ours(sh, v))
			update_worker(sh, v, now);
	}
	g_hash_table_iter_init(&it, sh->state->workers);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		if (!g_hash_table_contains(sh->by_worker, k))
			session_new(sh, k, v, now);
	}
}

/* ---- leases ----------------------------------------------------------- */

static ogl_time
drift_margin(const struct ogl_shard *sh)
{
	return sh->env->cfg->lease_ms * OGL_MS / DRIFT_MARGIN_DIVISOR;
}

/* Returns the time by which a worker that no longer answers has certainly
 * stopped all tasks that this or an earlier owner started there; 0 if there are
 * none. */
static ogl_time
leases_over_at(const struct ogl_shard *sh, const struct ogl_session *s)
{
	ogl_time t = s->lease_end > 0 ? s->lease_end + drift_margin(sh) : 0;

	if (!s->reported && s->in_use)
		t = MAX(t, sh->recovery_until);
	return t;
}

/* Ends the worker's tasks that may have started as lapsed, and queues the
 * others again. */
static void
lapse_tasks(
    struct ogl_shard *sh, struct ogl_session *s, const char *why, ogl_time now)
{
	for (guint i = s->tasks->len; i > 0; i--) {
		struct ogl_task_ref *t = g_ptr_array_index(s->tasks, i - 1);
		struct ogl_job *j = t->job;
		uint32_t index = t->index;

		if (!j->tasks[index].start_sent && !j->tasks[index].running) {
			ogl_sched_unbind(sh, j, index, true, now);
			g_ptr_array_add(sh->requeue, j);
			continue;
		}
		sh->env->counters->task_lapses++;
		ogl_shard_task_end(
		    sh, j, index, OGL__TASK_STATE__lapsed, why, now);
	}
}

/* Ends the tasks of a worker that does not answer and whose leases have
 * expired: it runs none of them any more. */
static void
mark_lost(struct ogl_shard *sh, struct ogl_session *s, ogl_time now)
{
	Ogl__Record *r;

	lapse_tasks(sh, s, "its worker was lost", now);
	s->reported = false;
	s->lease_end = 0;
	if (s->in_placer) {
		ogl_place_remove_worker(sh->placer, s->placer_index);
		s->in_placer = false;
	}
	g_ptr_array_set_size(s->stops, 0);
	g_ptr_array_set_size(s->acks, 0);
	if (s->in_use) {
		s->in_use = false;
		s->in_use_pending = false;
		r = ogl_shard_record(sh, now);
		r->body_case = OGL__RECORD__BODY_WORKER_OFF;
		r->worker_off = malloc(sizeof *r->worker_off);
		ogl__worker_off__init(r->worker_off);
		r->worker_off->worker = strdup(s->name);
		ogl_shard_append(sh, r, now);
		ogl_shard_log(
		    sh, OGL_LOG_WARN, "worker %s is written off", s->name);
	}
}

bool
ogl_sessions_any_unreported(const struct ogl_shard *sh)
{
	for (guint i = 0; i < sh->sessions->len; i++) {
		const struct ogl_session *s =
		    g_ptr_array_index(sh->sessions, i);

		if (s->in_use && !s->reported)
			return true;
	}
	return false;
}

/* ---- sending ---------------------------------------------------------- */

static void
add_start(Ogl__WorkerSync *m, const struct ogl_session *s,
    const struct ogl_task_ref *ref)
{
	const struct ogl_job *j = ref->job;
	const struct ogl_task *t = &j->tasks[ref->index];
	Ogl__TaskStart *st = malloc(sizeof *st);

	ogl__task_start__init(st);
	st->task = g_strdup_printf("%s.%u", j->id, ref->index);
	st->attempt = t->attempt;
	st->team = strdup(j->team);
	st->kind = j->spec->kind;
	st->run_ms = j->spec->run_ms;
	st->payload = strdup(j->spec->payload);
	st->latest_start_ms = s->clock_ms + OGL_START_VALID_MS;
	st->res = malloc(sizeof *st->res);
	ogl__res__init(st->res);
	if (j->spec->res != NULL) {
		st->res->cpu_milli = j->spec->res->cpu_milli;
		st->res->mem_mb = j->spec->res->mem_mb;
		st->res->accel = j->spec->res->accel;
	}
	m->start[m->n_start++] = st;
}

static void
add_starts(Ogl__WorkerSync *m, const struct ogl_session *s)
{
	m->start = calloc(s->tasks->len + 1, sizeof(void *));
	if (s->leaving)
		return;
	for (guint i = 0; i < s->tasks->len; i++) {
		const struct ogl_task_ref *ref = g_ptr_array_index(s->tasks, i);
		struct ogl_task *t = &ref->job->tasks[ref->index];

		if (m->n_start == OGL_SYNC_MAX_TASKS)
			break;
		if (t->running || t->end_pending || t->stopping ||
		    t->awaits_intent)
			continue;
		add_start(m, s, ref);
		t->start_sent = true;
	}
}

static void
add_stops(Ogl__WorkerSync *m, const struct ogl_session *s)
{
	m->stop = calloc(s->stops->len + 1, sizeof(void *));
	for (guint i = 0; i < s->stops->len; i++) {
		const Ogl__TaskStop *from = g_ptr_array_index(s->stops, i);
		Ogl__TaskStop *st = malloc(sizeof *st);

		ogl__task_stop__init(st);
		st->task = strdup(from->task);
		st->attempt = from->attempt;
		st->mode = from->mode;
		m->stop[m->n_stop++] = st;
	}
}

/* Each ack is sent once.  A worker that does not receive it reports the task's
 * end again and is sent a new ack. */
static void
add_acks(Ogl__WorkerSync *m, struct ogl_session *s)
{
	m->ack = calloc(s->acks->len + 1, sizeof(void *));
	for (guint i = 0; i < s->acks->len; i++)
		m->ack[m->n_ack++] = g_ptr_array_index(s->acks, i);
	g_ptr_array_set_free_func(s->acks, NULL);
	g_ptr_array_set_size(s->acks, 0);
	g_ptr_array_set_free_func(s->acks, ack_free);
}

/* Whether a stop is pending for a task that the worker never reported as
 * running.  Only a full report shows whether the worker has the task. */
static bool
stopping_unreported(const struct ogl_session *s)
{
	for (guint i = 0; s->stops->len > 0 && i < s->tasks->len; i++) {
		const struct ogl_task_ref *ref = g_ptr_array_index(s->tasks, i);
		const struct ogl_task *t = &ref->job->tasks[ref->index];

		if (t->stopping && !t->running)
			return true;
	}
	return false;
}

static uint64_t
new_token(struct ogl_shard *sh, struct ogl_session *s)
{
	int64_t *key = g_new(int64_t, 1);

	/* Bit 31 marks those of the shard's tokens that belong to sessions. */
	sh->token_count = (sh->token_count + 1) & 0x7fffffff;
	*key = (int64_t)(ogl_shard_token_base(sh->index) | 0x80000000u |
			 sh->token_count);
	g_hash_table_insert(sh->by_token, key, s);
	return (uint64_t)*key;
}

static void
send_sync(struct ogl_shard *sh, struct ogl_session *s, ogl_time now)
{
	const struct ogl_node_config *c = sh->env->cfg;
	Ogl__WorkerSync *m = malloc(sizeof *m);
	struct ogl_action *a;

	ogl__worker_sync__init(m);
	m->shard = sh->index;
	m->epoch = sh->state->epoch;
	m->seq = ++s->seq;
	m->boot = s->reported ? s->boot : 0;
	m->owner = strdup(c->name);
	/* A lost answer may have reported changes; a full report has them. */
	m->full = !s->reported || s->needs_full_report || s->failed_syncs > 0 ||
		  stopping_unreported(s);
	if (s->reported && s->in_use && !s->needs_full_report) {
		m->lease_from_ms = s->clock_ms;
		m->lease_ms = c->lease_ms;
		s->lease_end =
		    MAX(s->lease_end, s->clock_at + c->lease_ms * OGL_MS);
		add_starts(m, s);
	}
	add_stops(m, s);
	add_acks(m, s);
	a = ogl_actions_new(sh->env->out, OGL_ACT_WORKER);
	a->addr = g_strdup(s->addr);
	a->name = g_strdup(s->name);
	a->timeout_ms = OGL_SYNC_TIMEOUT_MS;
	a->token = new_token(sh, s);
	a->sync = m;
	s->token = a->token;
	s->sent_at = now;
	sh->env->counters->syncs++;
}

/* ---- answers ---------------------------------------------------------- */

/* Finds the task "<job>.<index>"; false if the shard has no such task. */
static bool
find_task(
    struct ogl_shard *sh, const char *name, struct ogl_job **j, uint32_t *index)
{
	const char *dot = strrchr(name, '.');
	char *id, *end;
	guint64 n;

	*j = NULL;
	if (dot == NULL)
		return false;
	n = g_ascii_strtoull(dot + 1, &end, 10);
	if (end == dot + 1 || *end != '\0' || n > UINT32_MAX)
		return false;
	id = g_strndup(name, (gsize)(dot - name));
	*j = g_hash_table_lookup(sh->state->jobs, id);
	g_free(id);
	*index = (uint32_t)n;
	return *j != NULL && *index < (*j)->ntasks;
}

static void
push_ack(struct ogl_session *s, const char *task, uint32_t attempt)
{
	Ogl__TaskAck *a = malloc(sizeof *a);

	ogl__task_ack__init(a);
	a->task = strdup(task);
	a->attempt = attempt;
	g_ptr_array_add(s->acks, a);
}

void
ogl_session_ack(struct ogl_shard *sh, const char *worker, const char *job,
    uint32_t index, uint32_t attempt)
{
	struct ogl_session *s = g_hash_table_lookup(sh->by_worker, worker);
	char *task;

	if (s == NULL)
		return;
	task = g_strdup_printf("%s.%u", job, index);
	push_ack(s, task, attempt);
	g_free(task);
}

static void
drop_stop(struct ogl_session *s, const char *task, uint32_t attempt)
{
	for (guint i = 0; i < s->stops->len; i++) {
		const Ogl__TaskStop *st = g_ptr_array_index(s->stops, i);

		if (st->attempt == attempt && strcmp(st->task, task) == 0) {
			g_ptr_array_remove_index_fast(s->stops, i);
			return;
		}
	}
}

static void
push_stop(struct ogl_session *s, const char *task, uint32_t attempt,
    Ogl__StopMode mode)
{
	Ogl__TaskStop *st;

	drop_stop(s, task, attempt);
	st = malloc(sizeof *st);
	ogl__task_stop__init(st);
	st->task = strdup(task);
	st->attempt = attempt;
	st->mode = mode;
	g_ptr_array_add(s->stops, st);
}

void
ogl_session_stop_task(struct ogl_shard *sh, struct ogl_session *s,
    const char *job, uint32_t index, uint32_t attempt, Ogl__StopMode mode,
    ogl_time now)
{
	char *task = g_strdup_printf("%s.%u", job, index);

	push_stop(s, task, attempt, mode);
	g_free(task);
	ogl_session_wake(sh, s, now);
}

static bool
is_running(Ogl__TaskState st)
{
	return st == OGL__TASK_STATE__running ||
	       st == OGL__TASK_STATE__throttled;
}

/* Whether the task is bound to this worker, with this attempt. */
static bool
bound_here(
    const struct ogl_session *s, const struct ogl_task *t, uint32_t attempt)
{
	return t->phase == OGL_TASK_PLACED && t->worker == s->number &&
	       t->attempt == attempt;
}

/* Handles a task reported as running.  One that is not bound here is adopted
 * if an earlier owner may have started it, and is stopped otherwise. */
static void
on_running(struct ogl_shard *sh, struct ogl_session *s,
    const Ogl__TaskReport *r, struct ogl_job *j, uint32_t i, ogl_time now)
{
	struct ogl_task *t = j != NULL ? &j->tasks[i] : NULL;

	if (t != NULL && bound_here(s, t, r->attempt)) {
		t->running = true;
		return;
	}
	if (t != NULL && t->phase == OGL_TASK_WAITING && !t->end_pending &&
	    !ogl_job_ended(j) && r->attempt >= t->attempt && sh->recovering &&
	    ogl_sched_bind(sh, s, j, i, r->attempt, now)) {
		j->tasks[i].running = true;
		return;
	}
	if (t != NULL && t->phase == OGL_TASK_PLACED &&
	    t->worker != s->number) {
		sh->env->counters->double_found++;
		ogl_shard_log(sh, OGL_LOG_ERROR,
		    "task %s found on a second worker %s", r->task, s->name);
	}
	push_stop(s, r->task, r->attempt, OGL__STOP_MODE__stop);
	ogl_session_wake(sh, s, now);
}

/* A task that the worker refused has not run, so it is queued again. */
static void
on_refused(struct ogl_shard *sh, struct ogl_session *s,
    const Ogl__TaskReport *r, struct ogl_job *j, uint32_t i, ogl_time now)
{
	push_ack(s, r->task, r->attempt);
	ogl_sched_unbind(sh, j, i, true, now);
	j->tasks[i].phase = OGL_TASK_WAITING;
	ogl_sched_enqueue(sh, j, now);
}

static void
on_ended(struct ogl_shard *sh, struct ogl_session *s, const Ogl__TaskReport *r,
    struct ogl_job *j, uint32_t i, ogl_time now)
{
	struct ogl_task *t = j != NULL ? &j->tasks[i] : NULL;
	bool adoptable;

	drop_stop(s, r->task, r->attempt);
	/* An end of the task is being appended; its ack follows.  A report of
	 * a later attempt, on another worker, is ignored too, and that worker
	 * will repeat it.  If the later attempt were bound now, its end would
	 * be dropped because one is pending, the pending one would be ignored
	 * as that of an older attempt, and the task would never end. */
	if (t != NULL && t->end_pending)
		return;
	adoptable = t != NULL && t->phase == OGL_TASK_WAITING &&
		    sh->recovering &&
		    (r->attempt > t->attempt ||
			(r->attempt == t->attempt && t->intent_recorded));
	if (t == NULL || !(adoptable || bound_here(s, t, r->attempt))) {
		push_ack(s, r->task, r->attempt);
		return;
	}
	if (r->state == OGL__TASK_STATE__refused) {
		if (adoptable)
			push_ack(s, r->task, r->attempt);
		else
			on_refused(sh, s, r, j, i, now);
		return;
	}
	if (adoptable && !ogl_sched_bind(sh, s, j, i, r->attempt, now))
		return;
	ogl_shard_task_end(sh, j, i, r->state, r->reason, now);
}

static void
on_task_report(struct ogl_shard *sh, struct ogl_session *s,
    const Ogl__TaskReport *r, ogl_time now)
{
	struct ogl_job *j;
	uint32_t i = 0;

	if (!find_task(sh, r->task, &j, &i))
		j = NULL;
	if (is_running(r->state))
		on_running(sh, s, r, j, i, now);
	else
		on_ended(sh, s, r, j, i, now);
}

static void
lapse_task(struct ogl_shard *sh, const struct ogl_task_ref *ref, ogl_time now)
{
	sh->env->counters->task_lapses++;
	ogl_shard_task_end(sh, ref->job, ref->index, OGL__TASK_STATE__lapsed,
	    "its worker started anew", now);
}

/* Unbinds a task whose start did not arrive before the task was to be stopped
 * or the worker began to leave.  The worker does not have the task and will
 * report no end. */
static void
undo_start(struct ogl_shard *sh, struct ogl_session *s,
    const struct ogl_task_ref *ref, const char *name, ogl_time now)
{
	drop_stop(s, name, ref->job->tasks[ref->index].attempt);
	ogl_sched_unbind(sh, ref->job, ref->index, true, now);
	g_ptr_array_add(sh->requeue, ref->job);
}

/* Handles bound tasks that are missing from a full report.  A task that was
 * reported as running before is lost.  The start of any other has not arrived
 * yet, unless the worker restarted and forgot its tasks: a task whose start was
 * sent before the restart may have run unreported, so its start must not be
 * sent again. */
static void
handle_unreported(struct ogl_shard *sh, struct ogl_session *s,
    const Ogl__WorkerReport *r, bool restarted, ogl_time now)
{
	GHashTable *reported = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < r->n_tasks; i++)
		g_hash_table_add(reported, r->tasks[i]->task);
	for (guint i = s->tasks->len; i > 0; i--) {
		struct ogl_task_ref ref =
		    *(struct ogl_task_ref *)g_ptr_array_index(s->tasks, i - 1);
		const struct ogl_task *t = &ref.job->tasks[ref.index];
		char *name = g_strdup_printf("%s.%u", ref.job->id, ref.index);

		if (!g_hash_table_contains(reported, name)) {
			if (t->running || (restarted && t->start_sent))
				lapse_task(sh, &ref, now);
			else if (t->stopping || s->leaving)
				undo_start(sh, s, &ref, name, now);
		}
		g_free(name);
	}
	g_hash_table_destroy(reported);
}

static void
update_capacity(
    struct ogl_shard *sh, struct ogl_session *s, const Ogl__WorkerReport *r)
{
	struct ogl_res cap = {0};

	if (r->capacity != NULL) {
		cap.cpu_milli = r->capacity->cpu_milli;
		cap.mem_mb = r->capacity->mem_mb;
		cap.accel = r->capacity->accel;
	}
	if (s->in_placer && memcmp(&cap, &s->capacity, sizeof cap) == 0)
		return;
	g_free(s->zone);
	g_free(s->rack);
	s->zone = g_strdup(r->zone);
	s->rack = g_strdup(r->rack);
	s->capacity = cap;
	s->placer_index =
	    ogl_place_worker(sh->placer, s->name, &cap, s->zone, s->rack);
	s->in_placer = true;
	if (sh->by_placer_index->len <= s->placer_index)
		g_ptr_array_set_size(
		    sh->by_placer_index, (gint)s->placer_index + 1);
	g_ptr_array_index(sh->by_placer_index, s->placer_index) = s;
}

/* Appends the record that the worker is in use, which precedes any start. */
static void
record_in_use(struct ogl_shard *sh, struct ogl_session *s, ogl_time now)
{
	Ogl__Record *r;

	if (s->in_use || s->in_use_pending || s->leaving)
		return;
	s->in_use_pending = true;
	r = ogl_shard_record(sh, now);
	r->body_case = OGL__RECORD__BODY_WORKER_ON;
	r->worker_on = malloc(sizeof *r->worker_on);
	ogl__worker_on__init(r->worker_on);
	r->worker_on->worker = strdup(s->name);
	r->worker_on->addr = strdup(s->addr);
	ogl_shard_append(sh, r, now);
}

void
ogl_session_in_use_recorded(
    struct ogl_shard *sh, const char *name, bool on, ogl_time now)
{
	struct ogl_session *s = g_hash_table_lookup(sh->by_worker, name);

	if (s == NULL || !on)
		return;
	s->in_use_pending = false;
	s->in_use = true;
	sh->sessions_due = now;
	update_schedulable(sh, s);
	ogl_session_wake(sh, s, now);
}

static void
apply_report(struct ogl_shard *sh, struct ogl_session *s,
    const Ogl__WorkerReport *r, ogl_time now)
{
	bool had_reported = s->reported;
	bool restarted = s->boot != 0 && r->boot != s->boot;

	if (had_reported && r->boot != s->boot && !r->full) {
		/* The worker restarted, so a full report is needed. */
		s->needs_full_report = true;
		update_schedulable(sh, s);
		s->next_sync = now;
		return;
	}
	s->boot = r->boot;
	s->clock_ms = r->clock_ms;
	s->clock_at = now;
	s->reported_leaving = r->leaving;
	s->leaving |= r->leaving;
	update_capacity(sh, s, r);
	for (size_t i = 0; i < r->n_tasks; i++)
		on_task_report(sh, s, r->tasks[i], now);
	if (r->full) {
		handle_unreported(sh, s, r, restarted, now);
		s->reported = true;
		s->needs_full_report = false;
	}
	record_in_use(sh, s, now);
	update_schedulable(sh, s);
	if (!had_reported && s->reported)
		ogl_session_wake(sh, s, now);
}

static bool
has_more_to_send(const struct ogl_session *s)
{
	if (s->acks->len > 0)
		return true;
	for (guint i = 0; i < s->tasks->len; i++) {
		const struct ogl_task_ref *ref = g_ptr_array_index(s->tasks, i);
		const struct ogl_task *t = &ref->job->tasks[ref->index];

		if (!t->running && !t->end_pending && !t->stopping &&
		    !t->awaits_intent)
			return true;
	}
	return false;
}

static void
on_no_answer(struct ogl_shard *sh, struct ogl_session *s, ogl_time now)
{
	uint32_t wait_ms = sh->env->cfg->sync_ms;

	sh->env->counters->sync_fails++;
	s->failed_syncs++;
	/* The first retries come well within the lease, so that it survives a
	 * lost message; a worker that stays silent is tried less often. */
	wait_ms = s->failed_syncs < 5 ? wait_ms / 4 : wait_ms * 2;
	s->next_sync = now + wait_ms * OGL_MS;
}

void
ogl_sessions_event(
    struct ogl_shard *sh, const struct ogl_event *ev, ogl_time now)
{
	int64_t key = (int64_t)ev->token;
	struct ogl_session *s = g_hash_table_lookup(sh->by_token, &key);

	if (s == NULL)
		return;
	g_hash_table_remove(sh->by_token, &key);
	if (s->token != ev->token)
		return;
	s->token = 0;
	sh->sessions_due = now;
	if (ev->io != OGL_IO_OK || ev->u.worker == NULL ||
	    strcmp(ev->u.worker->worker, s->name) != 0) {
		on_no_answer(sh, s, now);
		return;
	}
	if (ev->u.worker->refused || ev->u.worker->epoch > sh->state->epoch) {
		/* An owner with a higher epoch may exist: read its claim. */
		sh->env->counters->worker_refusals++;
		ogl_stream_read_now(sh->stream, now);
		s->next_sync = now + sh->env->cfg->sync_ms * OGL_MS;
		s->seq = MAX(s->seq, ev->u.worker->seq);
		return;
	}
	s->failed_syncs = 0;
	s->answered_at = now;
	s->next_sync = now + sh->env->cfg->sync_ms * OGL_MS;
	apply_report(sh, s, ev->u.worker, now);
	if (has_more_to_send(s))
		ogl_session_wake(sh, s, now);
}

/* ---- ticks ------------------------------------------------------------ */

/* Unbinds tasks whose start was not sent before the worker was known to leave,
 * and queues them again, since they must not start there any more. */
static void
unbind_unsent(struct ogl_shard *sh, struct ogl_session *s, ogl_time now)
{
	for (guint i = s->tasks->len; i > 0; i--) {
		struct ogl_task_ref ref =
		    *(struct ogl_task_ref *)g_ptr_array_index(s->tasks, i - 1);
		const struct ogl_task *t = &ref.job->tasks[ref.index];

		if (t->start_sent || t->running || t->awaits_intent)
			continue;
		ogl_sched_unbind(sh, ref.job, ref.index, true, now);
		g_ptr_array_add(sh->requeue, ref.job);
	}
}

static void
session_tick(struct ogl_shard *sh, struct ogl_session *s, ogl_time now)
{
	ogl_time end = leases_over_at(sh, s);

	if (end > 0 && now >= end && (s->reported || s->in_use))
		mark_lost(sh, s, now);
	if (!s->in_use && !s->reported && s->leaving && s->tasks->len == 0) {
		s->gone = true;
		/* If the host list later shows the worker as staying, its old
		 * report must not keep it from being contacted. */
		s->reported_leaving = false;
	}
	if (s->leaving)
		unbind_unsent(sh, s, now);
	if (s->gone || s->token != 0 || now < s->next_sync)
		return;
	if (ogl_shard_may_act(sh, now))
		send_sync(sh, s, now);
	else
		s->next_sync = now + sh->env->cfg->sync_ms * OGL_MS / 4;
}

/* Treats a sync as unanswered if the platform's adapter has reported neither an
 * answer nor an error after twice the timeout. */
static void
time_out_sync(struct ogl_shard *sh, struct ogl_session *s, ogl_time now)
{
	if (s->token == 0 ||
	    now - s->sent_at < 2 * OGL_SYNC_TIMEOUT_MS * OGL_MS)
		return;
	int64_t key = (int64_t)s->token;
	g_hash_table_remove(sh->by_token, &key);
	s->token = 0;
	on_no_answer(sh, s, now);
}

/* Returns the time when the session has something to do next. */
static ogl_time
session_due(
    const struct ogl_shard *sh, const struct ogl_session *s, ogl_time now)
{
	ogl_time end = leases_over_at(sh, s);
	ogl_time t = OGL_NEVER;

	if (s->token != 0)
		t = s->sent_at + 2 * OGL_SYNC_TIMEOUT_MS * OGL_MS;
	else if (!s->gone)
		t = s->next_sync;
	if (end > now && (s->reported || s->in_use))
		t = MIN(t, end);
	return t;
}

void
ogl_sessions_tick(struct ogl_shard *sh, ogl_time now)
{
	ogl_time due = OGL_NEVER;

	if (now >= sh->next_hosts_update) {
		sh->next_hosts_update = now + OGL_SEC;
		ogl_sessions_update_hosts(sh, now);
		sh->sessions_due = now;
	}
	if (now < sh->sessions_due)
		return;
	for (guint i = 0; i < sh->sessions->len; i++) {
		struct ogl_session *s = g_ptr_array_index(sh->sessions, i);

		time_out_sync(sh, s, now);
		session_tick(sh, s, now);
		due = MIN(due, session_due(sh, s, now));
	}
	sh->sessions_due = due;
}

ogl_time
ogl_sessions_next(const struct ogl_shard *sh)
{
	return MIN(sh->next_hosts_update, sh->sessions_due);
}
