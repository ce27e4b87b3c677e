/*
 * Reclaims lent room: passes the shard's workers, placed tasks and waiting work
 * to lend.c and preempts the tasks that it chooses.
 *
 * Waiting work that exceeds its team's limit is left out, since freed room
 * would not let it start.  Limits are checked as if all work added before had
 * started.
 */

#include <string.h>

#include "place.h"
#include "shard_impl.h"

enum {
	TEAM_PATH_BYTES = 128,
	TASK_INDEX_BITS = 16 /* of a task id; a job has fewer tasks than 2^16 */
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

/* Adds the schedulable workers; returns the round's worker number of each
 * session. */
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
	struct ogl_lend_task lt = {0};
	struct ogl_demand ask;

	ogl_sched_ask_of(j, &ask);
	lt.id = task_id(j, ref->index);
	lt.job = j->number;
	lt.team = j->team;
	lt.kind = j->spec->kind;
	lt.res = ask.res;
	lt.worker = worker;
	lt.since = t->bound_at;
	lt.restartable = j->spec->restartable;
	lt.stopping = t->stopping;
	ogl_lend_add_task(sh->lend, &lt);
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

/* With add false: whether n more tasks of the team, beside the tasks in
 * `added` (by team path), are within the limits of the team and its ancestors.
 * With add true: adds n to `added`. */
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
add_want(struct ogl_shard *sh, const struct ogl_work_ref *ref, uint64_t work,
    GHashTable *added, uint32_t turn, ogl_time now)
{
	const struct ogl_job *j = ref->job;
	struct ogl_lend_pending w = {.team = j->team, .tasks = 1};
	struct ogl_demand ask;

	if (j->spec->kind == OGL__KIND__gang) {
		w.tasks = 0;
		for (uint32_t i = 0; i < j->ntasks; i++)
			w.tasks += j->tasks[i].phase == OGL_TASK_WAITING &&
				   j->tasks[i].work_number == work;
	}
	if (!within_limits(sh, added, j->team, w.tasks, false))
		return;
	within_limits(sh, added, j->team, w.tasks, true);
	ogl_sched_ask_of(j, &ask);
	w.res = ask.res;
	w.queue_position = turn;
	w.since = now;
	/* A damaged log may give a future time, which could overflow. */
	if (j->accepted_ms < (uint64_t)(now / OGL_MS))
		w.since = (ogl_time)j->accepted_ms * OGL_MS;
	ogl_lend_add_pending(sh->lend, &w);
}

/* Adds the work that found no room first, so that other work of its team
 * doesn't use up the team's limit before it. */
static void
add_wants(struct ogl_shard *sh, ogl_time now)
{
	GHashTable *added =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTable *missed = g_hash_table_new(g_int64_hash, g_int64_equal);
	GHashTableIter it;
	void *k, *v;

	for (guint i = 0; i < sh->unplaced->len; i++) {
		k = &g_array_index(sh->unplaced, uint64_t, i);
		v = g_hash_table_lookup(sh->queue_refs, k);
		g_hash_table_add(missed, k);
		if (v != NULL)
			add_want(sh, v, *(uint64_t *)k, added, i + 1, now);
	}
	g_hash_table_iter_init(&it, sh->queue_refs);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		if (!g_hash_table_contains(missed, k))
			add_want(sh, v, *(uint64_t *)k, added, 0, now);
	}
	g_hash_table_destroy(missed);
	g_hash_table_destroy(added);
}

static void
preempt(struct ogl_shard *sh, const struct ogl_task_ref *ref,
    const struct ogl_lend_preemption *k, ogl_time now)
{
	struct ogl_task *t = &ref->job->tasks[ref->index];

	if (t->stopping) {
		/* It was told to stop before and has not stopped. */
		ogl_session_stop_task(sh,
		    g_ptr_array_index(sh->sessions, t->worker), ref->job->id,
		    ref->index, t->attempt, k->mode, now);
		return;
	}
	sh->env->counters->lend_taken++;
	sh->env->counters->lend_lost_ms +=
	    (uint64_t)(k->lost_run_time / OGL_MS);
	ogl_sched_stop_task(sh, ref->job, ref->index, k->mode, now);
}

/* The end of a task takes effect only through the log, so while the log is down
 * a preempted task could not start again. */
static bool
may_reclaim(const struct ogl_shard *sh, ogl_time now)
{
	return !sh->recovering && ogl_shard_may_act(sh, now) &&
	       ogl_shard_log_up(sh, now);
}

void
ogl_sched_reclaim_lent(struct ogl_shard *sh, ogl_time now)
{
	const struct ogl_lend_preemption *takes;
	GPtrArray *refs;
	uint32_t *worker_of;
	size_t n;

	ogl_lend_begin(sh->lend, now);
	if (!may_reclaim(sh, now) ||
	    ogl_queue_wait_ms(sh->queue, now) < OGL_LEND_MIN_WAIT_MS)
		return;
	worker_of = add_workers(sh);
	refs = add_tasks(sh, worker_of);
	add_wants(sh, now);
	n = ogl_lend_decide(sh->lend, now, &takes);
	/* Copied, because unbinding a task whose start was never sent frees
	 * its ref. */
	for (size_t i = 0; i < n; i++) {
		struct ogl_task_ref ref =
		    *(struct ogl_task_ref *)g_ptr_array_index(
			refs, takes[i].task);

		preempt(sh, &ref, &takes[i], now);
	}
	g_ptr_array_free(refs, TRUE);
	g_free(worker_of);
}
