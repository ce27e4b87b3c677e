/*
 * Takes lent room back: tells lend.c what the shard's workers hold and what
 * waits, and stops the tasks it chooses.
 *
 * Work that its team's limit holds back is not told: no room freed would let
 * it start.  Limits are counted as if all that was told before had started.
 */

#include <string.h>

#include "place.h"
#include "shard_impl.h"

enum {
	TEAM_PATH = 128,
	INDEX_BITS = 16 /* more than a job has tasks */
};

static uint64_t
task_id(const struct ogl_job *j, uint32_t i)
{
	return j->number << INDEX_BITS | i;
}

bool
ogl_sched_was_taken(
    const struct ogl_shard *sh, const struct ogl_job *j, uint32_t i)
{
	return ogl_lend_was_taken(sh->lend, task_id(j, i));
}

ogl_time
ogl_sched_lend_next(const struct ogl_shard *sh)
{
	return ogl_lend_next(sh->lend);
}

/* Workers by session number, as this round knows them. */
static uint32_t *
tell_workers(struct ogl_shard *sh)
{
	uint32_t *at = g_new(uint32_t, sh->sessions->len + 1);

	for (guint i = 0; i < sh->sessions->len; i++) {
		const struct ogl_session *s =
		    g_ptr_array_index(sh->sessions, i);
		const struct ogl_place_worker *w;
		struct ogl_res room;

		at[i] = OGL_LEND_NO_WORKER;
		if (!s->placed)
			continue;
		w = &sh->placer->workers[s->place];
		if (!w->open || w->aside != OGL_ASIDE_NOT)
			continue;
		room = ogl_place_free_room(w);
		at[i] = ogl_lend_add_worker(sh->lend, &w->capacity, &room);
	}
	return at;
}

static void
tell_task(struct ogl_shard *sh, const struct ogl_tref *ref, uint32_t worker)
{
	const struct ogl_job *j = ref->job;
	const struct ogl_task *t = &j->tasks[ref->index];
	struct ogl_lend_task k = {0};
	struct ogl_ask ask;

	ogl_sched_ask_of(j, &ask);
	k.id = task_id(j, ref->index);
	k.job = j->number;
	k.team = j->team;
	k.kind = j->spec->kind;
	k.res = ask.res;
	k.worker = worker;
	k.since = t->since;
	k.restartable = j->spec->restartable;
	k.stopping = t->stopping;
	ogl_lend_add_task(sh->lend, &k);
}

/* The tasks told, in their order. */
static GPtrArray *
tell_tasks(struct ogl_shard *sh, const uint32_t *at)
{
	GPtrArray *refs = g_ptr_array_new();

	for (guint i = 0; i < sh->sessions->len; i++) {
		const struct ogl_session *s =
		    g_ptr_array_index(sh->sessions, i);

		for (guint k = 0; k < s->tasks->len; k++) {
			struct ogl_tref *r = g_ptr_array_index(s->tasks, k);

			tell_task(sh, r, at[i]);
			g_ptr_array_add(refs, r);
		}
	}
	return refs;
}

/* Whether n more tasks stay within the limits above the team, counting what
 * was told before. */
static bool
within_limits(const struct ogl_shard *sh, GHashTable *told, const char *team,
    uint32_t n, bool count)
{
	char level[TEAM_PATH];
	char *slash;

	g_strlcpy(level, team, sizeof level);
	for (;;) {
		uint64_t allowed = ogl_escrow_allowed(sh, level);
		uint64_t more =
		    GPOINTER_TO_SIZE(g_hash_table_lookup(told, level)) + n;

		if (count)
			g_hash_table_insert(
			    told, g_strdup(level), GSIZE_TO_POINTER(more));
		else if (allowed != UINT64_MAX &&
			 ogl_sched_held(sh, level) + more > allowed)
			return false;
		slash = strrchr(level, '/');
		if (slash == NULL)
			return true;
		*slash = '\0';
	}
}

static void
tell_want(struct ogl_shard *sh, const struct ogl_work_ref *ref, uint64_t work,
    GHashTable *told, uint32_t turn, ogl_time now)
{
	const struct ogl_job *j = ref->job;
	struct ogl_lend_want w = {.team = j->team, .tasks = 1};
	struct ogl_ask ask;

	if (j->spec->kind == OGL__KIND__gang) {
		w.tasks = 0;
		for (uint32_t i = 0; i < j->ntasks; i++)
			w.tasks += j->tasks[i].phase == OGL_TASK_WAITING &&
				   j->tasks[i].work == work;
	}
	if (!within_limits(sh, told, j->team, w.tasks, false))
		return;
	within_limits(sh, told, j->team, w.tasks, true);
	ogl_sched_ask_of(j, &ask);
	w.res = ask.res;
	w.turn = turn;
	w.since = now;
	/* The log may be damaged: a time to come could overflow. */
	if (j->accepted_ms < (uint64_t)(now / OGL_MS))
		w.since = (ogl_time)j->accepted_ms * OGL_MS;
	ogl_lend_add_want(sh->lend, &w);
}

/* What has missed first, so that of a limited team it is told and not other
 * work that the limit then leaves no place for. */
static void
tell_wants(struct ogl_shard *sh, ogl_time now)
{
	GHashTable *told =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTable *missed = g_hash_table_new(g_int64_hash, g_int64_equal);
	GHashTableIter it;
	void *k, *v;

	for (guint i = 0; i < sh->missed->len; i++) {
		k = &g_array_index(sh->missed, uint64_t, i);
		v = g_hash_table_lookup(sh->works, k);
		g_hash_table_add(missed, k);
		if (v != NULL)
			tell_want(sh, v, *(uint64_t *)k, told, i + 1, now);
	}
	g_hash_table_iter_init(&it, sh->works);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		if (!g_hash_table_contains(missed, k))
			tell_want(sh, v, *(uint64_t *)k, told, 0, now);
	}
	g_hash_table_destroy(missed);
	g_hash_table_destroy(told);
}

static void
take(struct ogl_shard *sh, const struct ogl_tref *ref,
    const struct ogl_lend_take *k, ogl_time now)
{
	struct ogl_task *t = &ref->job->tasks[ref->index];

	if (t->stopping) {
		/* Told before, and did not obey. */
		ogl_session_stop_task(sh,
		    g_ptr_array_index(sh->sessions, t->worker), ref->job->id,
		    ref->index, t->attempt, k->mode, now);
		return;
	}
	sh->env->counters->lend_taken++;
	sh->env->counters->lend_lost_ms += (uint64_t)(k->lost / OGL_MS);
	ogl_sched_stop_task(sh, ref->job, ref->index, k->mode, now);
}

/* An end takes effect on the log only, so without it nothing that is taken
 * could start again. */
static bool
may_lend(const struct ogl_shard *sh, ogl_time now)
{
	return !sh->limbo && ogl_shard_may_act(sh, now) &&
	       ogl_shard_log_up(sh, now);
}

void
ogl_sched_lend(struct ogl_shard *sh, ogl_time now)
{
	const struct ogl_lend_take *takes;
	GPtrArray *refs;
	uint32_t *at;
	size_t n;

	ogl_lend_begin(sh->lend, now);
	if (!may_lend(sh, now) ||
	    ogl_queue_wait_ms(sh->queue, now) < OGL_LEND_BOUND_MS)
		return;
	at = tell_workers(sh);
	refs = tell_tasks(sh, at);
	tell_wants(sh, now);
	n = ogl_lend_decide(sh->lend, now, &takes);
	/* A task never sent is simply unbound, which takes its ref away. */
	for (size_t i = 0; i < n; i++) {
		struct ogl_tref ref =
		    *(struct ogl_tref *)g_ptr_array_index(refs, takes[i].task);

		take(sh, &ref, &takes[i], now);
	}
	g_ptr_array_free(refs, TRUE);
	g_free(at);
}
