/*
 * Reclaims lent room, which is room that a team uses beyond its entitlement
 * while other teams leave it free: passes the shard's workers, placed tasks and
 * waiting work to lend.c and preempts the tasks that it chooses.
 *
 * Waiting work that would exceed its team's limit is left out, since freed room
 * would not let it start.  The limit check counts the waiting work already
 * added in this round as if it had started.
 */

#include <string.h>

#include "place.h"
#include "shard_impl.h"

enum {
	TEAM_PATH_BYTES = 128, /* including the terminating zero */
	/* Low bits of a task id that hold the task's index in its job, which
	 * has fewer than 2^16 tasks. */
	TASK_INDEX_BITS = 16
};

static uint64_t
task_id(const struct ogl_job *j, uint32_t i)
{
	return j->number << TASK_INDEX_BITS | i;
}

bool
ogl_sched_was_preempted(
    const struct ogl_shard *sh, const struct ogl_job *j, uint32_t i)
{
	return ogl_lend_was_preempted(sh->lend, task_id(j, i));
}

ogl_time
ogl_sched_next_reclaim(const struct ogl_shard *sh)
{
	return ogl_lend_next(sh->lend);
}

/* Adds the schedulable workers.  Returns the worker number that lend.c gave to
 * each session, OGL_LEND_NO_WORKER for a session without one. */
static uint32_t *
add_workers(struct ogl_shard *sh)
{
	uint32_t *worker_of = g_new(uint32_t, sh->sessions->len + 1);

	for (guint i = 0; i < sh->sessions->len; i++) {
		const struct ogl_session *s =
		    g_ptr_array_index(sh->sessions, i);
		const struct ogl_place_worker *w;
		struct ogl_res room;

		worker_of[i] = OGL_LEND_NO_WORKER;
		if (!s->in_placer)
			continue;
		w = &sh->placer->workers[s->placer_index];
		if (!w->schedulable ||
		    w->quarantine_state != OGL_QUARANTINE_NONE)
			continue;
		room = ogl_place_free_room(w);
		worker_of[i] =
		    ogl_lend_add_worker(sh->lend, &w->capacity, &room);
	}
	return worker_of;
}

static void
add_task(struct ogl_shard *sh, const struct ogl_task_ref *ref, uint32_t worker)
{
	const struct ogl_job *j = ref->job;
	const struct ogl_task *t = &j->tasks[ref->index];
	struct ogl_lend_task lend_task = {0};
	struct ogl_demand demand;

	ogl_sched_demand_of(j, &demand);
	lend_task.id = task_id(j, ref->index);
	lend_task.job = j->number;
	lend_task.team = j->team;
	lend_task.kind = j->spec->kind;
	lend_task.res = demand.res;
	lend_task.worker = worker;
	lend_task.since = t->bound_at;
	lend_task.restartable = j->spec->restartable;
	lend_task.stopping = t->stopping;
	ogl_lend_add_task(sh->lend, &lend_task);
}

/* Adds all placed tasks; returns them in the order they were added. */
static GPtrArray *
add_tasks(struct ogl_shard *sh, const uint32_t *worker_of)
{
	GPtrArray *refs = g_ptr_array_new();

	for (guint i = 0; i < sh->sessions->len; i++) {
		const struct ogl_session *s =
		    g_ptr_array_index(sh->sessions, i);

		for (guint k = 0; k < s->tasks->len; k++) {
			struct ogl_task_ref *r = g_ptr_array_index(s->tasks, k);

			add_task(sh, r, worker_of[i]);
			g_ptr_array_add(refs, r);
		}
	}
	return refs;
}

/* With add false: whether n more tasks would keep the team and its ancestors
 * within their limits; `added` maps a team path to the number of tasks already
 * added for it.  With add true: adds n to those numbers instead. */
static bool
within_limits(const struct ogl_shard *sh, GHashTable *added, const char *team,
    uint32_t n, bool add)
{
	char path[TEAM_PATH_BYTES];
	char *slash;

	g_strlcpy(path, team, sizeof path);
	for (;;) {
		uint64_t allowed = ogl_escrow_allowed(sh, path);
		uint64_t more =
		    GPOINTER_TO_SIZE(g_hash_table_lookup(added, path)) + n;

		if (add)
			g_hash_table_insert(
			    added, g_strdup(path), GSIZE_TO_POINTER(more));
		else if (allowed != UINT64_MAX &&
			 ogl_sched_placed_count(sh, path) + more > allowed)
			return false;
		slash = strrchr(path, '/');
		if (slash == NULL)
			return true;
		*slash = '\0';
	}
}

static void
add_pending_work(struct ogl_shard *sh, const struct ogl_work_ref *ref,
    uint64_t work_id, GHashTable *added, uint32_t queue_position, ogl_time now)
{
	const struct ogl_job *j = ref->job;
	struct ogl_lend_pending w = {.team = j->team, .tasks = 1};
	struct ogl_demand demand;

	if (j->spec->kind == OGL__KIND__gang) {
		w.tasks = 0;
		for (uint32_t i = 0; i < j->ntasks; i++)
			w.tasks += j->tasks[i].phase == OGL_TASK_WAITING &&
				   j->tasks[i].work_number == work_id;
	}
	if (!within_limits(sh, added, j->team, w.tasks, false))
		return;
	within_limits(sh, added, j->team, w.tasks, true);
	ogl_sched_demand_of(j, &demand);
	w.res = demand.res;
	w.queue_position = queue_position;
	w.since = now;
	/* A damaged log may give a future time, which could overflow. */
	if (j->accepted_ms < (uint64_t)(now / OGL_MS))
		w.since = (ogl_time)j->accepted_ms * OGL_MS;
	ogl_lend_add_pending(sh->lend, &w);
}

/* Adds waiting work, beginning with the work that the last placement found no
 * room for, so that other work of the same team does not use up its limit
 * first. */
static void
add_all_pending_work(struct ogl_shard *sh, ogl_time now)
{
	GHashTable *added =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTable *unplaced_ids =
	    g_hash_table_new(g_int64_hash, g_int64_equal);
	GHashTableIter it;
	void *k, *v;

	for (guint i = 0; i < sh->unplaced->len; i++) {
		k = &g_array_index(sh->unplaced, uint64_t, i);
		v = g_hash_table_lookup(sh->queue_refs, k);
		g_hash_table_add(unplaced_ids, k);
		if (v != NULL)
			add_pending_work(
			    sh, v, *(uint64_t *)k, added, i + 1, now);
	}
	g_hash_table_iter_init(&it, sh->queue_refs);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		if (!g_hash_table_contains(unplaced_ids, k))
			add_pending_work(sh, v, *(uint64_t *)k, added, 0, now);
	}
	g_hash_table_destroy(unplaced_ids);
	g_hash_table_destroy(added);
}

static void
preempt(struct ogl_shard *sh, const struct ogl_task_ref *ref,
    const struct ogl_lend_preemption *preemption, ogl_time now)
{
	struct ogl_task *t = &ref->job->tasks[ref->index];

	if (t->stopping) {
		/* It was told to stop earlier but still runs. */
		ogl_session_stop_task(sh,
		    g_ptr_array_index(sh->sessions, t->worker), ref->job->id,
		    ref->index, t->attempt, preemption->mode, now);
		return;
	}
	sh->env->counters->lend_taken++;
	sh->env->counters->lend_lost_ms +=
	    (uint64_t)(preemption->lost_run_time / OGL_MS);
	ogl_sched_stop_task(sh, ref->job, ref->index, preemption->mode, now);
}

/* A task counts as ended only once its end is in the log, so a task that is
 * preempted while the log is down could not start again. */
static bool
may_reclaim(const struct ogl_shard *sh, ogl_time now)
{
	return !sh->recovering && ogl_shard_may_act(sh, now) &&
	       ogl_shard_log_up(sh, now);
}

void
ogl_sched_reclaim_lent(struct ogl_shard *sh, ogl_time now)
{
	const struct ogl_lend_preemption *preemptions;
	GPtrArray *refs;
	uint32_t *worker_of;
	size_t n;

	ogl_lend_begin(sh->lend, now);
	if (!may_reclaim(sh, now) ||
	    ogl_queue_wait_ms(sh->queue, now) < OGL_LEND_MIN_WAIT_MS)
		return;
	worker_of = add_workers(sh);
	refs = add_tasks(sh, worker_of);
	add_all_pending_work(sh, now);
	n = ogl_lend_decide(sh->lend, now, &preemptions);
	/* Each ref is copied, because ogl_sched_stop_task frees the ref of a
	 * task whose start was never sent. */
	for (size_t i = 0; i < n; i++) {
		struct ogl_task_ref ref =
		    *(struct ogl_task_ref *)g_ptr_array_index(
			refs, preemptions[i].task);

		preempt(sh, &ref, &preemptions[i], now);
	}
	g_ptr_array_free(refs, TRUE);
	g_free(worker_of);
}
