/*
 * Scheduling by the owner of a shard: the queue decides the order of waiting
 * work, the placer chooses workers with enough room, and the shard's parts of
 * the team limits (escrow.c) bound the placed tasks of each team.
 *
 * Tasks of batch jobs and services are queued one by one; a gang is queued as
 * a single item for all its tasks that have not ended.  Only ogl_sched_unbind
 * removes a task from its worker, and only ogl_sched_enqueue queues tasks.
 */

#include <stdlib.h>
#include <string.h>

#include "shard_impl.h"

enum {
	STEP_PLACEMENTS_MAX = 2000,  /* starts in one ogl_sched_place call */
	CONSECUTIVE_MISSES_MAX = 64, /* failed starts that end the call */
	GANG_RESERVE_S = 60,         /* how long room is reserved for a gang */
	/* Low bits of an attempt number; the bits above hold the number of
	 * claims of the shard, see new_attempt. */
	ATTEMPT_BITS = 12,
	TEAM_PATH_BYTES = 128 /* including the terminating zero */
};

void
ogl_sched_init(struct ogl_shard *sh)
{
	sh->placer = ogl_place_init(ogl_random_next(&sh->env->rnd));
	sh->queue =
	    ogl_queue_init(&ogl_queue_learned, ogl_random_next(&sh->env->rnd));
	sh->lend = ogl_lend_init();
	sh->unplaced = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	sh->queue_refs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	sh->placed_tasks_by_team =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sh->requeue = g_ptr_array_new();
	sh->nplaced = 0;
}

void
ogl_sched_end(struct ogl_shard *sh)
{
	if (sh->placer == NULL)
		return;
	ogl_place_end(sh->placer);
	ogl_queue_end(sh->queue);
	sh->placer = NULL;
	sh->queue = NULL;
	g_clear_pointer(&sh->lend, ogl_lend_end);
	g_clear_pointer(&sh->unplaced, g_array_unref);
	g_clear_pointer(&sh->queue_refs, g_hash_table_destroy);
	g_clear_pointer(&sh->placed_tasks_by_team, g_hash_table_destroy);
	g_clear_pointer(&sh->requeue, g_ptr_array_unref);
}

/* ---- teams and limits ------------------------------------------------- */

/* Calls fn for the team and each of its ancestors. */
static void
for_team_and_ancestors(const char *team,
    void (*fn)(struct ogl_shard *sh, const char *path, int64_t n),
    struct ogl_shard *sh, int64_t n)
{
	char path[TEAM_PATH_BYTES];
	char *slash;

	g_strlcpy(path, team, sizeof path);
	for (;;) {
		fn(sh, path, n);
		slash = strrchr(path, '/');
		if (slash == NULL)
			return;
		*slash = '\0';
	}
}

static void
add_placed_count(struct ogl_shard *sh, const char *path, int64_t n)
{
	uint64_t *count = g_hash_table_lookup(sh->placed_tasks_by_team, path);

	if (count == NULL) {
		count = g_new0(uint64_t, 1);
		g_hash_table_insert(
		    sh->placed_tasks_by_team, g_strdup(path), count);
	}
	*count += (uint64_t)n;
}

uint64_t
ogl_sched_placed_count(const struct ogl_shard *sh, const char *team)
{
	const uint64_t *count =
	    g_hash_table_lookup(sh->placed_tasks_by_team, team);

	return count != NULL ? *count : 0;
}

/* Whether n more tasks stay within the limits of the team and its ancestors;
 * asks for a larger part of the limit where they do not.  During recovery,
 * tasks that an earlier owner started may run without having been reported yet,
 * so teams with a limit have to wait. */
static bool
limits_allow(struct ogl_shard *sh, const char *team, uint32_t n)
{
	char path[TEAM_PATH_BYTES];
	char *slash;
	bool ok = true;

	g_strlcpy(path, team, sizeof path);
	for (;;) {
		uint64_t allowed = ogl_escrow_allowed(sh, path);
		uint64_t count = ogl_sched_placed_count(sh, path);

		if (sh->recovering && allowed != UINT64_MAX) {
			ok = false;
		} else if (allowed < n || count > allowed - n) {
			ogl_escrow_want(sh, path, count + n);
			ok = false;
		}
		slash = strrchr(path, '/');
		if (slash == NULL)
			return ok;
		*slash = '\0';
	}
}

struct limit_check {
	struct ogl_shard *sh;
	ogl_time now;
};

/* Orders restartable tasks first, and among equals the newest first. */
static gint
compare_stop_order(gconstpointer a, gconstpointer b)
{
	const struct ogl_task_ref *ra = *(struct ogl_task_ref *const *)a;
	const struct ogl_task_ref *rb = *(struct ogl_task_ref *const *)b;
	const struct ogl_task *ta = &ra->job->tasks[ra->index];
	const struct ogl_task *tb = &rb->job->tasks[rb->index];
	bool restartable_a = ra->job->spec->restartable;
	bool restartable_b = rb->job->spec->restartable;

	if (restartable_a != restartable_b)
		return restartable_a ? -1 : 1;
	if (ta->bound_at != tb->bound_at)
		return ta->bound_at > tb->bound_at ? -1 : 1;
	return ra->job->number > rb->job->number ? -1 : 1;
}

static bool
in_subtree(const char *team, const char *top)
{
	size_t n = strlen(top);

	return strncmp(team, top, n) == 0 &&
	       (team[n] == '\0' || team[n] == '/');
}

void
ogl_sched_stop_task(struct ogl_shard *sh, struct ogl_job *j, uint32_t i,
    Ogl__StopMode mode, ogl_time now)
{
	struct ogl_task *t = &j->tasks[i];
	struct ogl_session *s;

	if (t->phase != OGL_TASK_PLACED || t->stopping || t->end_pending)
		return;
	if (!t->start_sent && !t->running) {
		/* The worker was never sent the task, so it could neither
		 * stop it nor report its end, and the room would stay held. */
		ogl_sched_unbind(sh, j, i, true, now);
		g_ptr_array_add(sh->requeue, j);
		return;
	}
	t->stopping = true;
	s = g_ptr_array_index(sh->sessions, t->worker);
	ogl_session_stop_task(sh, s, j->id, i, t->attempt, mode, now);
	sh->env->counters->task_stops++;
}

/* Stops `excess` tasks of the team and its subteams, in the order of
 * compare_stop_order. */
static void
stop_excess(
    struct ogl_shard *sh, const char *team, uint64_t excess, ogl_time now)
{
	GPtrArray *refs = g_ptr_array_new();

	for (guint i = 0; i < sh->sessions->len; i++) {
		struct ogl_session *s = g_ptr_array_index(sh->sessions, i);

		for (guint k = 0; k < s->tasks->len; k++) {
			struct ogl_task_ref *r = g_ptr_array_index(s->tasks, k);

			if (in_subtree(r->job->team, team))
				g_ptr_array_add(refs, r);
		}
	}
	g_ptr_array_sort(refs, compare_stop_order);
	for (guint i = 0; i < refs->len && i < excess; i++) {
		struct ogl_task_ref *r = g_ptr_array_index(refs, i);
		bool restartable = r->job->spec->restartable;

		ogl_sched_stop_task(sh, r->job, r->index,
		    restartable ? OGL__STOP_MODE__checkpoint
				: OGL__STOP_MODE__stop,
		    now);
	}
	g_ptr_array_free(refs, TRUE);
}

static void
enforce_limit(void *ctx, const char *team, const struct ogl_team_view *view)
{
	struct limit_check *check = ctx;
	uint64_t count = ogl_sched_placed_count(check->sh, team);
	uint64_t allowed;

	if (view->limit_tasks == UINT64_MAX || count == 0)
		return;
	allowed = ogl_escrow_allowed(check->sh, team);
	if (count > allowed)
		stop_excess(check->sh, team, count - allowed, check->now);
}

void
ogl_sched_enforce_limits(struct ogl_shard *sh, ogl_time now)
{
	struct limit_check check = {sh, now};

	ogl_settings_each_team(sh->env->settings, enforce_limit, &check);
}

static void
set_share(void *ctx, const char *team, const struct ogl_team_view *view)
{
	struct ogl_shard *sh = ctx;

	ogl_queue_set_share(sh->queue, team, view->share);
	ogl_lend_set_weight(sh->lend, team, view->share);
}

void
ogl_sched_apply_settings(struct ogl_shard *sh, ogl_time now)
{
	ogl_settings_each_team(sh->env->settings, set_share, sh);
	ogl_sched_enforce_limits(sh, now);
	sh->place_due = true;
}

/* ---- waiting ---------------------------------------------------------- */

void
ogl_sched_demand_of(const struct ogl_job *j, struct ogl_demand *demand)
{
	const Ogl__Res *r = j->spec->res;

	memset(demand, 0, sizeof *demand);
	demand->kind = j->spec->kind;
	demand->job = j->number;
	if (r == NULL)
		return;
	demand->res.cpu_milli = r->cpu_milli;
	demand->res.mem_mb = r->mem_mb;
	demand->res.accel = r->accel;
}

static bool
task_waits(const struct ogl_task *t)
{
	return t->phase == OGL_TASK_WAITING && !t->end_pending &&
	       t->work_number == 0;
}

static uint32_t
count_waiting(const struct ogl_job *j)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < j->ntasks; i++)
		n += task_waits(&j->tasks[i]) ? 1 : 0;
	return n;
}

static uint64_t
push_work(struct ogl_shard *sh, struct ogl_job *j, uint32_t index,
    uint32_t tasks, ogl_time now)
{
	struct ogl_work_ref *ref = g_new0(struct ogl_work_ref, 1);
	struct ogl_work w = {0};
	struct ogl_demand demand;
	int64_t *key = g_new(int64_t, 1);

	ogl_sched_demand_of(j, &demand);
	ref->job = j;
	ref->index = index;
	w.id = ++sh->next_work;
	w.team = j->team;
	w.label = j->spec->payload;
	w.kind = j->spec->kind;
	w.tasks = tasks;
	w.res = demand.res;
	w.declared_ms = j->spec->run_ms;
	w.preempted = ogl_sched_was_preempted(sh, j, index);
	w.waiting_since = now;
	if (j->accepted_ms < (uint64_t)(now / OGL_MS))
		w.waiting_since = (ogl_time)j->accepted_ms * OGL_MS;
	*key = (int64_t)w.id;
	g_hash_table_insert(sh->queue_refs, key, ref);
	ogl_queue_push(sh->queue, &w, now);
	sh->place_due = true;
	return w.id;
}

/* Whether a task has ended without success and will not run again.  The other
 * tasks of the gang can't run without it. */
static bool
gang_failed(const struct ogl_job *j)
{
	return j->nended > j->nsucceeded;
}

static void
end_failed_gang(struct ogl_shard *sh, struct ogl_job *j, ogl_time now)
{
	ogl_sched_stop_job(sh, j, OGL__STOP_MODE__stop, now);
	for (uint32_t i = 0; i < j->ntasks; i++) {
		if (task_waits(&j->tasks[i]))
			ogl_shard_task_end(sh, j, i, OGL__TASK_STATE__stopped,
			    "its gang broke", now);
	}
}

/* A gang runs as a whole or not at all: if some of its tasks are placed while
 * others wait, the placed ones are stopped.  The gang is queued once none is
 * placed and each of its tasks waits or has ended. */
static void
enqueue_gang(struct ogl_shard *sh, struct ogl_job *j, ogl_time now)
{
	uint32_t n = count_waiting(j);
	uint32_t first = 0;
	uint64_t work;

	if (gang_failed(j)) {
		end_failed_gang(sh, j, now);
		return;
	}
	if (n > 0 && j->nplaced > 0)
		ogl_sched_stop_job(sh, j, OGL__STOP_MODE__checkpoint, now);
	if (n == 0 || j->nplaced > 0 || n + j->nended < j->ntasks)
		return;
	while (!task_waits(&j->tasks[first]))
		first++;
	work = push_work(sh, j, first, n, now);
	for (uint32_t i = 0; i < j->ntasks; i++) {
		if (j->tasks[i].phase == OGL_TASK_WAITING)
			j->tasks[i].work_number = work;
	}
}

void
ogl_sched_enqueue(struct ogl_shard *sh, struct ogl_job *j, ogl_time now)
{
	if (ogl_job_ended(j) || j->cancel_pending ||
	    (sh->recovering && j->inherited))
		return;
	if (j->spec->kind == OGL__KIND__gang) {
		enqueue_gang(sh, j, now);
		return;
	}
	for (uint32_t i = 0; i < j->ntasks; i++) {
		struct ogl_task *t = &j->tasks[i];

		if (task_waits(t))
			t->work_number = push_work(sh, j, i, 1, now);
	}
}

static void
remove_work_ref(struct ogl_shard *sh, uint64_t work)
{
	int64_t key = (int64_t)work;

	g_hash_table_remove(sh->queue_refs, &key);
}

void
ogl_sched_dequeue(struct ogl_shard *sh, struct ogl_job *j)
{
	for (uint32_t i = 0; i < j->ntasks; i++) {
		struct ogl_task *t = &j->tasks[i];

		if (t->phase != OGL_TASK_WAITING || t->work_number == 0)
			continue;
		ogl_queue_remove(sh->queue, t->work_number);
		remove_work_ref(sh, t->work_number);
		t->work_number = 0;
	}
	ogl_place_unreserve(sh->placer, j->number);
}

/* ---- binding ---------------------------------------------------------- */

static void
bind(struct ogl_shard *sh, struct ogl_session *s, struct ogl_job *j, uint32_t i,
    uint32_t attempt, ogl_time now)
{
	struct ogl_task *t = &j->tasks[i];
	struct ogl_task_ref *ref = g_new0(struct ogl_task_ref, 1);

	ref->job = j;
	ref->index = i;
	g_ptr_array_add(s->tasks, ref);
	t->phase = OGL_TASK_PLACED;
	t->worker = s->number;
	t->attempt = attempt;
	t->running = false;
	t->awaits_intent = false;
	t->start_sent = false;
	t->stopping = false;
	t->bound_at = now;
	j->nplaced++;
	sh->nplaced++;
	for_team_and_ancestors(j->team, add_placed_count, sh, 1);
}

bool
ogl_sched_bind(struct ogl_shard *sh, struct ogl_session *s, struct ogl_job *j,
    uint32_t i, uint32_t attempt, ogl_time now)
{
	struct ogl_demand demand;

	if (j->number == 0)
		j->number = ++sh->job_number;
	ogl_sched_demand_of(j, &demand);
	if (!s->in_placer ||
	    !ogl_place_hold(sh->placer, s->placer_index, &demand))
		return false;
	bind(sh, s, j, i, attempt, now);
	return true;
}

static void
remove_task_ref(struct ogl_session *s, const struct ogl_job *j, uint32_t i)
{
	for (guint k = 0; k < s->tasks->len; k++) {
		const struct ogl_task_ref *r = g_ptr_array_index(s->tasks, k);

		if (r->job == j && r->index == i) {
			g_ptr_array_remove_index_fast(s->tasks, k);
			return;
		}
	}
}

void
ogl_sched_unbind(
    struct ogl_shard *sh, struct ogl_job *j, uint32_t i, bool ok, ogl_time now)
{
	struct ogl_task *t = &j->tasks[i];
	struct ogl_session *s;
	struct ogl_demand demand;
	uint64_t work = t->work_number;

	if (t->phase != OGL_TASK_PLACED)
		return;
	s = g_ptr_array_index(sh->sessions, t->worker);
	remove_task_ref(s, j, i);
	ogl_sched_demand_of(j, &demand);
	if (s->in_placer)
		ogl_place_free(sh->placer, s->placer_index, &demand);
	t->phase = OGL_TASK_WAITING;
	t->running = false;
	t->awaits_intent = false;
	t->stopping = false;
	t->work_number = 0;
	j->nplaced--;
	sh->nplaced--;
	for_team_and_ancestors(j->team, add_placed_count, sh, -1);
	/* A gang is one item of the queue, which ends with its last task. */
	if (work != 0 && (j->spec->kind != OGL__KIND__gang || j->nplaced == 0))
		ogl_queue_ended(sh->queue, work, ok, now);
	sh->place_due = true;
}

void
ogl_sched_stop_job(
    struct ogl_shard *sh, struct ogl_job *j, Ogl__StopMode mode, ogl_time now)
{
	for (uint32_t i = 0; i < j->ntasks; i++)
		ogl_sched_stop_task(sh, j, i, mode, now);
}

/* ---- placing ---------------------------------------------------------- */

/* Attempt numbers of a task increase, so that a report of an earlier attempt is
 * never mistaken for a newer one.  They also increase from one owner to the
 * next, because each claim of the shard raises the least number. */
static uint32_t
new_attempt(const struct ogl_shard *sh, const struct ogl_task *t)
{
	return MAX(t->attempt + 1, sh->state->claims << ATTEMPT_BITS);
}

/* A task that must not run twice is sent to its worker only after its intent
 * record is in the log.  Otherwise the next owner could not distinguish a task
 * that was never started from one whose worker has restarted since. */
static void
record_intent(struct ogl_shard *sh, struct ogl_job *j, uint32_t i, ogl_time now)
{
	Ogl__Record *r = ogl_shard_record(sh, now);

	j->tasks[i].awaits_intent = true;
	r->body_case = OGL__RECORD__BODY_TASK_INTENT;
	r->task_intent = malloc(sizeof *r->task_intent);
	ogl__task_intent__init(r->task_intent);
	r->task_intent->job = strdup(j->id);
	r->task_intent->index = i;
	r->task_intent->attempt = j->tasks[i].attempt;
	ogl_shard_append(sh, r, now);
}

void
ogl_sched_intent_recorded(struct ogl_shard *sh, struct ogl_job *j, uint32_t i,
    uint32_t attempt, ogl_time now)
{
	struct ogl_task *t = &j->tasks[i];

	if (t->phase != OGL_TASK_PLACED || !t->awaits_intent ||
	    t->attempt != attempt)
		return;
	t->awaits_intent = false;
	ogl_session_wake(sh, g_ptr_array_index(sh->sessions, t->worker), now);
}

static void
start_on(struct ogl_shard *sh, struct ogl_job *j, uint32_t i,
    uint32_t placer_index, uint64_t work, ogl_time now)
{
	struct ogl_session *s =
	    g_ptr_array_index(sh->by_placer_index, placer_index);

	bind(sh, s, j, i, new_attempt(sh, &j->tasks[i]), now);
	j->tasks[i].work_number = work;
	if (!j->spec->restartable)
		record_intent(sh, j, i, now);
	else
		ogl_session_wake(sh, s, now);
	sh->env->counters->starts++;
}

static bool
start_gang(struct ogl_shard *sh, struct ogl_job *j, const struct ogl_work *w,
    ogl_time now)
{
	uint32_t *placer_indexes = g_new(uint32_t, w->tasks);
	struct ogl_demand demand;
	uint32_t k = 0;
	bool ok;

	ogl_sched_demand_of(j, &demand);
	ok = ogl_place_gang(sh->placer, &demand, w->tasks, now, placer_indexes);
	if (!ok) {
		ogl_place_reserve(sh->placer, j->number, &demand, w->tasks,
		    now + GANG_RESERVE_S * OGL_SEC, now);
		g_free(placer_indexes);
		return false;
	}
	ogl_place_unreserve(sh->placer, j->number);
	for (uint32_t i = 0; i < j->ntasks; i++) {
		if (j->tasks[i].phase == OGL_TASK_WAITING &&
		    j->tasks[i].work_number == w->id)
			start_on(sh, j, i, placer_indexes[k++], w->id, now);
	}
	g_free(placer_indexes);
	return true;
}

static bool
start_work(struct ogl_shard *sh, const struct ogl_work *w, ogl_time now)
{
	int64_t key = (int64_t)w->id;
	struct ogl_work_ref *ref = g_hash_table_lookup(sh->queue_refs, &key);
	struct ogl_demand demand;
	uint32_t placer_index;
	bool ok;

	if (!ref->job->spec->restartable && !ogl_shard_log_up(sh, now))
		return false;
	if (!limits_allow(sh, ref->job->team, w->tasks))
		return false;
	if (ref->job->spec->kind == OGL__KIND__gang) {
		ok = start_gang(sh, ref->job, w, now);
	} else {
		ogl_sched_demand_of(ref->job, &demand);
		ok = ogl_place_task(sh->placer, &demand, now, &placer_index);
		if (ok)
			start_on(
			    sh, ref->job, ref->index, placer_index, w->id, now);
	}
	if (!ok)
		g_array_append_val(sh->unplaced, w->id);
	return ok;
}

void
ogl_sched_place(struct ogl_shard *sh, ogl_time now)
{
	struct ogl_work w;
	int misses = 0;
	int placed = 0;

	sh->place_due = false;
	ogl_queue_retry_deferred(sh->queue, now);
	g_array_set_size(sh->unplaced, 0);
	while (placed < STEP_PLACEMENTS_MAX &&
	       misses < CONSECUTIVE_MISSES_MAX &&
	       ogl_queue_pop(sh->queue, now, &w)) {
		if (start_work(sh, &w, now)) {
			ogl_queue_started(sh->queue, &w, now);
			remove_work_ref(sh, w.id);
			misses = 0;
			placed++;
		} else {
			ogl_queue_defer(sh->queue, w.id, now);
			misses++;
		}
	}
	if (placed == STEP_PLACEMENTS_MAX)
		sh->place_due = true;
}
