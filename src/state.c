/*
 * The state of a shard, rebuilt from its stream.  Every reader of the stream
 * comes to the same state, since whether a record is valid depends only on
 * the records before it:
 *
 *  - A claim is valid if it names the epoch in force as the previous one.  Of
 *    two rival claims the first in log order wins; the other names an epoch
 *    that is no longer in force.  The claim's offset + 1 becomes the epoch.
 *  - Any other record is valid if its writer, boot and epoch are the owner's.
 *    An owner that was suspended and superseded may still append records;
 *    every reader ignores them, that owner included.
 *
 * The whole state is written from time to time as a snapshot in parts.  A
 * reader that begins in mid-stream ignores all other records until it has
 * read one complete snapshot.
 */

#include <stdlib.h>
#include <string.h>

#include "message.h"
#include "state.h"

enum {
	HTTP_STATUS_MIN = 100,
	HTTP_STATUS_MAX = 999,
	JOB_TASKS_MAX = 10000,   /* a record with more tasks is damaged */
	MAX_FAILURES = 3,        /* most failures of a restartable task */
	SNAP_PART_ENTRIES = 500, /* jobs and ids in one part of a snapshot */
	ENDED_JOB_KEEP_S = 3600, /* ended jobs can be queried this long */
	REFERRAL_KEEP_S = 86400, /* callers may repeat an id this long */
};

static void
job_free(void *v)
{
	struct ogl_job *j = v;

	for (uint32_t i = 0; i < j->ntasks; i++)
		g_free(j->tasks[i].reason);
	g_free(j->tasks);
	g_free(j->id);
	g_free(j->team);
	g_free(j->cancel_reason);
	ogl__submit__free_unpacked(j->spec, NULL);
	g_free(j);
}

static void
request_id_free(void *v)
{
	struct ogl_request_id *r = v;

	g_free(r->id);
	if (r->body != NULL)
		g_bytes_unref(r->body);
	g_free(r);
}

static void
referred_free(void *v)
{
	ogl__job_referred__free_unpacked(v, NULL);
}

static void
allot_free(void *v)
{
	ogl__allot__free_unpacked(v, NULL);
}

struct ogl_state *
ogl_state_new(void)
{
	struct ogl_state *st = g_new0(struct ogl_state, 1);

	st->owner = g_strdup("");
	st->successors = g_ptr_array_new_with_free_func(g_free);
	st->jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
	st->by_request =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	st->referred =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, referred_free);
	st->ids = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, request_id_free);
	st->workers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	st->allots =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, allot_free);
	return st;
}

void
ogl_state_free(struct ogl_state *st)
{
	if (st == NULL)
		return;
	ogl_state_free(st->partial_snapshot);
	g_hash_table_destroy(st->by_request);
	g_hash_table_destroy(st->jobs);
	g_hash_table_destroy(st->ids);
	g_hash_table_destroy(st->referred);
	g_hash_table_destroy(st->workers);
	g_hash_table_destroy(st->allots);
	g_ptr_array_free(st->successors, TRUE);
	g_free(st->owner);
	g_free(st);
}

Ogl__Submit *
ogl_submit_copy(const Ogl__Submit *s)
{
	return ogl_message_copy(&s->base);
}

char *
ogl_request_key(const char *team, const char *request_id)
{
	return g_strdup_printf("%s|%s", team, request_id);
}

bool
ogl_job_ended(const struct ogl_job *j)
{
	return j->cancelled || j->nended == j->ntasks;
}

/* ---- jobs ------------------------------------------------------------- */

static struct ogl_job *
job_add(struct ogl_state *st, const Ogl__JobAccepted *a)
{
	struct ogl_job *j;

	if (a == NULL || a->spec == NULL || a->spec->tasks == 0 ||
	    a->spec->tasks > JOB_TASKS_MAX ||
	    g_hash_table_contains(st->jobs, a->job))
		return NULL;
	j = g_new0(struct ogl_job, 1);
	j->id = g_strdup(a->job);
	j->team = g_strdup(a->team);
	j->spec = ogl_submit_copy(a->spec);
	j->accepted_ms = a->accepted_ms;
	j->ntasks = a->spec->tasks;
	j->tasks = g_new0(struct ogl_task, j->ntasks);
	for (uint32_t i = 0; i < j->ntasks; i++)
		j->tasks[i].worker = OGL_NO_WORKER;
	g_hash_table_insert(st->jobs, j->id, j);
	if (j->spec->request_id[0] != '\0')
		g_hash_table_insert(st->by_request,
		    ogl_request_key(j->team, j->spec->request_id), j);
	return j;
}

/* Whether a task whose attempt ended in this state is not started again. */
static bool
end_is_final(
    const struct ogl_job *j, const struct ogl_task *t, Ogl__TaskState end)
{
	if (end == OGL__TASK_STATE__succeeded || j->cancelled)
		return true;
	if (j->spec->kind == OGL__KIND__gang && j->nended > j->nsucceeded)
		return true; /* a task of the gang ended without success */
	if (end == OGL__TASK_STATE__refused)
		return false;
	if (!j->spec->restartable)
		return end != OGL__TASK_STATE__checkpointed;
	if (end == OGL__TASK_STATE__failed)
		return t->failures >= MAX_FAILURES;
	return false;
}

static void
task_finish(struct ogl_job *j, struct ogl_task *t, Ogl__TaskState end,
    const char *reason)
{
	t->phase = OGL_TASK_ENDED;
	t->end_state = (uint8_t)end;
	g_free(t->reason);
	t->reason = reason[0] != '\0' ? g_strdup(reason) : NULL;
	j->nended++;
	if (end == OGL__TASK_STATE__succeeded)
		j->nsucceeded++;
	if (end == OGL__TASK_STATE__lapsed)
		j->nlost++;
}

static void
apply_task_ended(struct ogl_state *st, const Ogl__TaskEnded *e,
    const struct ogl_state_hooks *hooks, void *ctx, uint64_t at_ms,
    ogl_time now)
{
	struct ogl_job *j = g_hash_table_lookup(st->jobs, e->job);
	struct ogl_task *t;

	if (j == NULL || e->index >= j->ntasks ||
	    e->state > OGL__TASK_STATE__refused)
		return;
	t = &j->tasks[e->index];
	if (t->phase == OGL_TASK_ENDED || e->attempt < t->attempt)
		return;
	if (hooks != NULL)
		hooks->task_ended(ctx, j, e->index, e, now);
	t->attempt = e->attempt;
	t->intent_recorded = false;
	if (e->state == OGL__TASK_STATE__failed)
		t->failures++;
	if (end_is_final(j, t, e->state)) {
		task_finish(j, t, e->state, e->reason);
		if (j->nended == j->ntasks && j->ended_ms == 0)
			j->ended_ms = at_ms;
	} else {
		t->phase = OGL_TASK_WAITING;
	}
}

/* Notes that a task is about to be started.  From now on it may have run, until
 * its end is recorded. */
static void
apply_intent(struct ogl_state *st, const Ogl__TaskIntent *t,
    const struct ogl_state_hooks *hooks, void *ctx, ogl_time now)
{
	struct ogl_job *j = g_hash_table_lookup(st->jobs, t->job);

	if (j == NULL || t->index >= j->ntasks ||
	    j->tasks[t->index].phase == OGL_TASK_ENDED)
		return;
	j->tasks[t->index].intent_recorded = true;
	j->tasks[t->index].attempt =
	    MAX(j->tasks[t->index].attempt, t->attempt);
	if (hooks != NULL)
		hooks->start_intended(ctx, j, t->index, t->attempt, now);
}

static void
apply_referred(struct ogl_state *st, const Ogl__JobReferred *r,
    const struct ogl_state_hooks *hooks, void *ctx, ogl_time now)
{
	Ogl__JobReferred *copy = ogl_message_copy(&r->base);

	g_hash_table_replace(st->referred, copy->request, copy);
	if (hooks != NULL)
		hooks->referred(ctx, copy, now);
}

static void
apply_cancelled(struct ogl_state *st, const Ogl__JobCancelled *c,
    const struct ogl_state_hooks *hooks, void *ctx, uint64_t at_ms,
    ogl_time now)
{
	struct ogl_job *j = g_hash_table_lookup(st->jobs, c->job);

	if (j == NULL || ogl_job_ended(j))
		return;
	j->cancelled = true;
	j->cancel_verdict = c->verdict;
	if (c->reason[0] != '\0')
		j->cancel_reason = g_strdup(c->reason);
	j->ended_ms = at_ms;
	if (hooks != NULL)
		hooks->cancelled(ctx, j, now);
}

static Ogl__JobState
job_state(const struct ogl_job *j)
{
	if (j->cancelled)
		return j->cancel_reason != NULL ? OGL__JOB_STATE__broken
						: OGL__JOB_STATE__cancelled;
	if (j->nended == j->ntasks)
		return j->nsucceeded == j->ntasks ? OGL__JOB_STATE__done
						  : OGL__JOB_STATE__broken;
	return j->nplaced + j->nended > 0 ? OGL__JOB_STATE__active
					  : OGL__JOB_STATE__queued;
}

static Ogl__Verdict
job_verdict(const struct ogl_job *j)
{
	if (j->cancelled)
		return j->cancel_verdict;
	if (j->nlost > 0)
		return OGL__VERDICT__may_have_run;
	if (j->nended == j->ntasks)
		return OGL__VERDICT__ran;
	return j->nplaced + j->nended > 0 ? OGL__VERDICT__may_have_run
					  : OGL__VERDICT__not_run;
}

static const char *
job_reason(const struct ogl_job *j)
{
	if (j->cancel_reason != NULL)
		return j->cancel_reason;
	for (uint32_t i = 0; i < j->ntasks; i++) {
		if (j->tasks[i].phase == OGL_TASK_ENDED &&
		    j->tasks[i].reason != NULL)
			return j->tasks[i].reason;
	}
	return "";
}

void
ogl_job_view(const struct ogl_job *j, Ogl__JobView *v)
{
	ogl__job_view__init(v);
	v->job = j->id;
	v->team = j->team;
	v->kind = j->spec->kind;
	v->state = job_state(j);
	v->verdict = job_verdict(j);
	v->reason = (char *)job_reason(j);
	v->tasks = j->ntasks;
	v->running = j->nplaced;
	v->succeeded = j->nsucceeded;
	v->failed = j->nended - j->nsucceeded;
	v->accepted_ms = j->accepted_ms;
}

/* ---- request ids ------------------------------------------------------ */

static struct ogl_request_id *
request_id_get_or_add(struct ogl_state *st, const char *id)
{
	struct ogl_request_id *r = g_hash_table_lookup(st->ids, id);

	if (r == NULL) {
		r = g_new0(struct ogl_request_id, 1);
		r->id = g_strdup(id);
		g_hash_table_insert(st->ids, r->id, r);
	}
	return r;
}

bool
ogl_http_status_is_valid(uint32_t status)
{
	return status >= HTTP_STATUS_MIN && status <= HTTP_STATUS_MAX;
}

static void
request_id_set_outcome(struct ogl_request_id *r, const Ogl__IdOutcome *o)
{
	if (r->has_outcome || !ogl_http_status_is_valid(o->status) ||
	    o->verdict > OGL__VERDICT__may_have_run)
		return;
	r->has_outcome = true;
	r->verdict = o->verdict;
	r->status = o->status;
	r->body = g_bytes_new(o->body.data, o->body.len);
}

/* ---- claims ----------------------------------------------------------- */

static void
set_names(GPtrArray *to, char **names, size_t n)
{
	g_ptr_array_set_size(to, 0);
	for (size_t i = 0; i < n; i++)
		g_ptr_array_add(to, g_strdup(names[i]));
}

static void
apply_claim(struct ogl_state *st, const Ogl__Record *r, uint64_t offset,
    const struct ogl_state_hooks *hooks, void *ctx, ogl_time now)
{
	if (r->claim->prev_epoch != st->epoch)
		return;
	st->epoch = offset + 1;
	st->owner_ms = r->at_ms;
	st->claims++;
	g_free(st->owner);
	st->owner = g_strdup(r->writer);
	st->owner_boot = r->boot;
	set_names(st->successors, r->claim->successors, r->claim->n_successors);
	if (hooks != NULL)
		hooks->claimed(ctx, r, now);
}

static void
apply_worker(struct ogl_state *st, const char *name, const char *addr,
    const struct ogl_state_hooks *hooks, void *ctx, ogl_time now)
{
	if (addr != NULL)
		g_hash_table_insert(
		    st->workers, g_strdup(name), g_strdup(addr));
	else
		g_hash_table_remove(st->workers, name);
	if (hooks != NULL)
		hooks->worker_in_use_changed(ctx, name, addr != NULL, now);
}

static void
apply_allot(struct ogl_state *st, const Ogl__Allot *a,
    const struct ogl_state_hooks *hooks, void *ctx, ogl_time now)
{
	Ogl__Allot *copy = ogl_message_copy(&a->base);

	g_hash_table_replace(st->allots, copy->team, copy);
	if (hooks != NULL)
		hooks->allot_changed(ctx, copy, now);
}

/* ---- snapshots -------------------------------------------------------- */

static void
load_snapshot_job(struct ogl_state *st, const Ogl__JobSnap *s)
{
	struct ogl_job *j = job_add(st, s->job);

	if (j == NULL)
		return;
	for (size_t i = 0; i < s->n_ended; i++) {
		const Ogl__TaskSnap *t = s->ended[i];

		if (t->index >= j->ntasks ||
		    j->tasks[t->index].phase == OGL_TASK_ENDED ||
		    t->state > OGL__TASK_STATE__refused)
			continue;
		j->tasks[t->index].attempt = t->attempt;
		j->tasks[t->index].failures = (uint8_t)t->tries;
		j->tasks[t->index].intent_recorded = t->intended;
		if (t->ended)
			task_finish(
			    j, &j->tasks[t->index], t->state, t->reason);
	}
	j->cancelled = s->cancelled;
	j->cancel_verdict = s->cancel_verdict;
	if (s->cancel_reason[0] != '\0')
		j->cancel_reason = g_strdup(s->cancel_reason);
	j->ended_ms = s->ended_ms;
}

static void
load_snapshot_part(struct ogl_state *st, const Ogl__ShardSnap *s)
{
	for (size_t i = 0; i < s->n_jobs; i++)
		load_snapshot_job(st, s->jobs[i]);
	for (size_t i = 0; i < s->n_ids; i++) {
		struct ogl_request_id *r =
		    request_id_get_or_add(st, s->ids[i]->id);

		r->at_ms = s->ids[i]->at_ms;
		if (s->ids[i]->has_outcome && s->ids[i]->outcome != NULL)
			request_id_set_outcome(r, s->ids[i]->outcome);
	}
	for (size_t i = 0; i < s->n_workers; i++)
		apply_worker(st, s->workers[i]->worker, s->workers[i]->addr,
		    NULL, NULL, 0);
	for (size_t i = 0; i < s->n_referred; i++)
		apply_referred(st, s->referred[i], NULL, NULL, 0);
	for (size_t i = 0; i < s->n_allots; i++)
		apply_allot(st, s->allots[i], NULL, NULL, 0);
	if (s->part == 0) {
		set_names(st->successors, s->successors, s->n_successors);
		g_free(st->owner);
		st->owner = g_strdup(s->owner);
		st->owner_boot = s->owner_boot;
		st->epoch = s->epoch;
		st->claims = s->claims;
	}
}

/* Adds a part if it is the next one, and ignores it otherwise: if a part is
 * missing, the reader waits for the next snapshot. */
static void
add_snapshot_part(struct ogl_state *st, const Ogl__ShardSnap *s)
{
	struct ogl_state *partial;

	if (s->part == 0) {
		ogl_state_free(st->partial_snapshot);
		st->partial_snapshot = ogl_state_new();
		st->partial_number = s->snap;
		st->partial_next_part = 0;
	}
	partial = st->partial_snapshot;
	if (partial == NULL || s->snap != st->partial_number ||
	    s->part != st->partial_next_part)
		return;
	load_snapshot_part(partial, s);
	st->partial_next_part++;
	if (st->partial_next_part < s->parts)
		return;
	st->partial_snapshot = NULL;
	if (partial->epoch < st->least_epoch) {
		ogl_state_free(partial);
		return;
	}
	/* The complete snapshot replaces the empty state. */
	struct ogl_state old = *st;
	*st = *partial;
	*partial = old;
	partial->partial_snapshot = NULL;
	ogl_state_free(partial);
	st->complete = true;
}

struct snapshot_writer {
	GPtrArray *records;
	Ogl__ShardSnap *part;
	size_t space;    /* jobs and ids that the part can still hold */
	uint64_t number; /* of the snapshot */
};

static Ogl__ShardSnap *
new_part(struct snapshot_writer *writer)
{
	Ogl__Record *r = malloc(sizeof *r);

	ogl__record__init(r);
	r->body_case = OGL__RECORD__BODY_SHARD_SNAP;
	r->shard_snap = malloc(sizeof *r->shard_snap);
	ogl__shard_snap__init(r->shard_snap);
	r->shard_snap->snap = writer->number;
	r->shard_snap->part = writer->records->len;
	r->shard_snap->jobs = calloc(SNAP_PART_ENTRIES, sizeof(void *));
	r->shard_snap->ids = calloc(SNAP_PART_ENTRIES, sizeof(void *));
	g_ptr_array_add(writer->records, r);
	writer->part = r->shard_snap;
	writer->space = SNAP_PART_ENTRIES;
	return writer->part;
}

static Ogl__JobSnap *
snap_job(const struct ogl_job *j)
{
	Ogl__JobSnap *s = malloc(sizeof *s);
	Ogl__JobAccepted a = OGL__JOB_ACCEPTED__INIT;

	ogl__job_snap__init(s);
	a.job = j->id;
	a.team = j->team;
	a.spec = j->spec;
	a.accepted_ms = j->accepted_ms;
	s->job = ogl_message_copy(&a.base);
	s->cancelled = j->cancelled;
	s->cancel_verdict = j->cancel_verdict;
	if (j->cancel_reason != NULL)
		s->cancel_reason = strdup(j->cancel_reason);
	s->ended_ms = j->ended_ms;
	s->ended = calloc(j->ntasks, sizeof(void *));
	for (uint32_t i = 0; i < j->ntasks; i++) {
		const struct ogl_task *t = &j->tasks[i];
		Ogl__TaskSnap *ts;

		if (t->phase != OGL_TASK_ENDED && t->failures == 0 &&
		    !t->intent_recorded)
			continue;
		ts = malloc(sizeof *ts);
		ogl__task_snap__init(ts);
		ts->index = i;
		ts->attempt = t->attempt;
		ts->tries = t->failures;
		ts->intended = t->intent_recorded;
		ts->ended = t->phase == OGL_TASK_ENDED;
		ts->state = t->end_state;
		if (t->reason != NULL)
			ts->reason = strdup(t->reason);
		s->ended[s->n_ended++] = ts;
	}
	return s;
}

static Ogl__IdSnap *
snap_id(const struct ogl_request_id *r)
{
	Ogl__IdSnap *s = malloc(sizeof *s);
	gsize n;

	ogl__id_snap__init(s);
	s->id = strdup(r->id);
	s->at_ms = r->at_ms;
	s->has_outcome = r->has_outcome;
	if (!r->has_outcome)
		return s;
	s->outcome = malloc(sizeof *s->outcome);
	ogl__id_outcome__init(s->outcome);
	s->outcome->id = strdup(r->id);
	s->outcome->verdict = r->verdict;
	s->outcome->status = r->status;
	const void *data = g_bytes_get_data(r->body, &n);
	s->outcome->body.data = malloc(n + 1);
	if (n > 0)
		memcpy(s->outcome->body.data, data, n);
	s->outcome->body.len = n;
	return s;
}

/* Adds what only the first part contains: the ownership, referrals, workers
 * and allotments. */
static void
fill_first_part(const struct ogl_state *st, Ogl__ShardSnap *p)
{
	GHashTableIter it;
	void *k, *v;

	p->owner = strdup(st->owner);
	p->owner_boot = st->owner_boot;
	p->epoch = st->epoch;
	p->claims = st->claims;
	p->successors = calloc(st->successors->len + 1, sizeof(char *));
	for (guint i = 0; i < st->successors->len; i++)
		p->successors[p->n_successors++] =
		    strdup(g_ptr_array_index(st->successors, i));
	p->referred =
	    calloc(g_hash_table_size(st->referred) + 1, sizeof(void *));
	g_hash_table_iter_init(&it, st->referred);
	while (g_hash_table_iter_next(&it, NULL, &v))
		p->referred[p->n_referred++] =
		    ogl_message_copy(&((Ogl__JobReferred *)v)->base);
	p->workers = calloc(g_hash_table_size(st->workers) + 1, sizeof(void *));
	g_hash_table_iter_init(&it, st->workers);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		Ogl__WorkerOn *w = malloc(sizeof *w);

		ogl__worker_on__init(w);
		w->worker = strdup(k);
		w->addr = strdup(v);
		p->workers[p->n_workers++] = w;
	}
	p->allots = calloc(g_hash_table_size(st->allots) + 1, sizeof(void *));
	g_hash_table_iter_init(&it, st->allots);
	while (g_hash_table_iter_next(&it, &k, &v))
		p->allots[p->n_allots++] =
		    ogl_message_copy(&((Ogl__Allot *)v)->base);
}

/* Returns the part to add one more job or id to; begins a new one if the last
 * one is full. */
static Ogl__ShardSnap *
part_with_space(struct snapshot_writer *writer)
{
	if (writer->space == 0)
		new_part(writer);
	writer->space--;
	return writer->part;
}

GPtrArray *
ogl_state_snapshot(const struct ogl_state *st, uint64_t now_ms)
{
	struct snapshot_writer writer = {
	    .records = g_ptr_array_new(), .number = now_ms};
	Ogl__ShardSnap *p;
	GHashTableIter it;
	void *v;

	fill_first_part(st, new_part(&writer));
	g_hash_table_iter_init(&it, st->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		p = part_with_space(&writer);
		p->jobs[p->n_jobs++] = snap_job(v);
	}
	g_hash_table_iter_init(&it, st->ids);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		p = part_with_space(&writer);
		p->ids[p->n_ids++] = snap_id(v);
	}
	for (guint i = 0; i < writer.records->len; i++) {
		Ogl__Record *r = g_ptr_array_index(writer.records, i);

		r->shard_snap->parts = writer.records->len;
	}
	return writer.records;
}

/* ---- pruning ---------------------------------------------------------- */

static gboolean
job_expired(gpointer key, gpointer value, gpointer now_ms)
{
	const struct ogl_job *j = value;

	(void)key;
	return j->ended_ms != 0 && j->nplaced == 0 &&
	       *(uint64_t *)now_ms > j->ended_ms + ENDED_JOB_KEEP_S * 1000ull;
}

static gboolean
id_expired(gpointer key, gpointer value, gpointer oldest_ms)
{
	(void)key;
	return ((struct ogl_request_id *)value)->at_ms < *(uint64_t *)oldest_ms;
}

/* Without its referral a repeated id could go to another shard and create a
 * second job, so referrals are kept for as long as callers may repeat ids. */
static gboolean
referral_expired(gpointer key, gpointer value, gpointer oldest_ms)
{
	(void)key;
	return ((Ogl__JobReferred *)value)->at_ms < *(uint64_t *)oldest_ms;
}

static gint
newest_end_first(gconstpointer a, gconstpointer b)
{
	const struct ogl_job *ja = *(struct ogl_job *const *)a;
	const struct ogl_job *jb = *(struct ogl_job *const *)b;

	if (ja->ended_ms != jb->ended_ms)
		return ja->ended_ms > jb->ended_ms ? -1 : 1;
	return strcmp(ja->id, jb->id);
}

static void
forget_job(struct ogl_state *st, struct ogl_job *j)
{
	char *key = ogl_request_key(j->team, j->spec->request_id);

	if (g_hash_table_lookup(st->by_request, key) == j)
		g_hash_table_remove(st->by_request, key);
	g_free(key);
	g_hash_table_remove(st->jobs, j->id);
}

void
ogl_state_keep_newest(struct ogl_state *st, const char *team, uint32_t max_jobs,
    uint64_t before_ms)
{
	GPtrArray *ended = g_ptr_array_new();
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, st->jobs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct ogl_job *j = v;

		if (j->ended_ms != 0 && j->nplaced == 0 &&
		    strcmp(j->team, team) == 0)
			g_ptr_array_add(ended, v);
	}
	g_ptr_array_sort(ended, newest_end_first);
	for (guint i = max_jobs; i < ended->len; i++) {
		struct ogl_job *j = g_ptr_array_index(ended, i);

		if (j->ended_ms < before_ms)
			forget_job(st, j);
	}
	g_ptr_array_free(ended, TRUE);
}

void
ogl_state_prune(struct ogl_state *st, uint64_t now_ms, uint32_t id_keep_ms)
{
	uint64_t oldest = now_ms > id_keep_ms ? now_ms - id_keep_ms : 0;

	g_hash_table_foreach_remove(st->by_request, job_expired, &now_ms);
	g_hash_table_foreach_remove(st->jobs, job_expired, &now_ms);
	g_hash_table_foreach_remove(st->ids, id_expired, &oldest);
	oldest = now_ms > REFERRAL_KEEP_S * 1000ull
		     ? now_ms - REFERRAL_KEEP_S * 1000ull
		     : 0;
	g_hash_table_foreach_remove(st->referred, referral_expired, &oldest);
}

/* ---- one record ------------------------------------------------------- */

static void
apply_owners_record(struct ogl_state *st, const Ogl__Record *r,
    const struct ogl_state_hooks *hooks, void *ctx, ogl_time now)
{
	struct ogl_job *j;
	struct ogl_request_id *id;

	switch (r->body_case) {
	case OGL__RECORD__BODY_JOB_ACCEPTED:
		j = job_add(st, r->job_accepted);
		if (j != NULL && hooks != NULL)
			hooks->job_accepted(ctx, j, now);
		break;
	case OGL__RECORD__BODY_TASK_ENDED:
		apply_task_ended(st, r->task_ended, hooks, ctx, r->at_ms, now);
		break;
	case OGL__RECORD__BODY_JOB_CANCELLED:
		apply_cancelled(
		    st, r->job_cancelled, hooks, ctx, r->at_ms, now);
		break;
	case OGL__RECORD__BODY_TASK_INTENT:
		apply_intent(st, r->task_intent, hooks, ctx, now);
		break;
	case OGL__RECORD__BODY_JOB_REFERRED:
		apply_referred(st, r->job_referred, hooks, ctx, now);
		break;
	case OGL__RECORD__BODY_ID_INTENT:
		id = request_id_get_or_add(st, r->id_intent->id);
		id->at_ms = r->id_intent->at_ms;
		if (hooks != NULL)
			hooks->id_changed(ctx, id, now);
		break;
	case OGL__RECORD__BODY_ID_OUTCOME:
		id = request_id_get_or_add(st, r->id_outcome->id);
		request_id_set_outcome(id, r->id_outcome);
		if (hooks != NULL)
			hooks->id_changed(ctx, id, now);
		/* A request that certainly did not run may be repeated. */
		if (id->verdict == OGL__VERDICT__not_run)
			g_hash_table_remove(st->ids, id->id);
		break;
	case OGL__RECORD__BODY_WORKER_ON:
		apply_worker(st, r->worker_on->worker, r->worker_on->addr,
		    hooks, ctx, now);
		break;
	case OGL__RECORD__BODY_WORKER_OFF:
		apply_worker(st, r->worker_off->worker, NULL, hooks, ctx, now);
		break;
	case OGL__RECORD__BODY_ALLOT:
		apply_allot(st, r->allot, hooks, ctx, now);
		break;
	case OGL__RECORD__BODY_SUCCESSORS:
		set_names(st->successors, r->successors->nodes,
		    r->successors->n_nodes);
		break;
	default:
		break;
	}
}

static bool
written_by_owner(const struct ogl_state *st, const Ogl__Record *r)
{
	return st->epoch != 0 && r->epoch == st->epoch &&
	       r->boot == st->owner_boot && strcmp(r->writer, st->owner) == 0;
}

/* The epoch that the writer knew to be in force when it wrote the record. */
static uint64_t
writers_epoch(const Ogl__Record *r)
{
	return r->body_case == OGL__RECORD__BODY_CLAIM ? r->claim->prev_epoch
						       : r->epoch;
}

/*
 * A reader that begins in mid-stream looks for the first complete snapshot.
 * An owner that is suspended while its snapshot is being appended may be
 * superseded before the snapshot is stored.  A reader that accepted it would
 * treat all claims since then as invalid and its own claim, which names the old
 * epoch, as valid, and the shard would have two owners permanently.  So the
 * records before the snapshot give the least epoch that it must have.
 */
static void
apply_while_incomplete(
    struct ogl_state *st, const Ogl__Record *r, uint64_t offset)
{
	uint64_t writer_epoch = writers_epoch(r);

	if (r->body_case == OGL__RECORD__BODY_CLAIM) {
		st->least_epoch = MAX(st->least_epoch, writer_epoch + 1);
		if (writer_epoch >= st->likely_epoch)
			st->likely_epoch = offset + 1;
		return;
	}
	if (r->body_case == OGL__RECORD__BODY_SHARD_SNAP &&
	    writer_epoch >= st->least_epoch)
		add_snapshot_part(st, r->shard_snap);
	if (st->complete)
		return;
	st->least_epoch = MAX(st->least_epoch, writer_epoch);
	st->likely_epoch = MAX(st->likely_epoch, writer_epoch);
}

bool
ogl_state_stale(const struct ogl_state *st, const Ogl__Record *r)
{
	return st->complete && writers_epoch(r) > st->epoch;
}

struct ogl_state *
ogl_state_new_after(const Ogl__Record *r)
{
	struct ogl_state *st = ogl_state_new();

	st->least_epoch = writers_epoch(r);
	st->likely_epoch = st->least_epoch;
	return st;
}

void
ogl_state_apply(struct ogl_state *st, const Ogl__Record *r, uint64_t offset,
    const struct ogl_state_hooks *hooks, void *ctx, ogl_time now)
{
	if (offset == 0)
		st->complete = true;
	if (!st->complete) {
		apply_while_incomplete(st, r, offset);
		return;
	}
	st->records++;
	if (written_by_owner(st, r))
		st->owner_ms = r->at_ms;
	if (r->body_case == OGL__RECORD__BODY_CLAIM)
		apply_claim(st, r, offset, hooks, ctx, now);
	else if (r->body_case == OGL__RECORD__BODY_SHARD_SNAP)
		st->records = written_by_owner(st, r) ? 0 : st->records;
	else if (written_by_owner(st, r))
		apply_owners_record(st, r, hooks, ctx, now);
}
