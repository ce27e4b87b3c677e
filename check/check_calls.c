/*
 * Compares what callers sent and were answered with what ran.
 */

#include <string.h>

#include "check_index.h"

static const struct call *
call_at(const GPtrArray *list, guint i)
{
	return g_ptr_array_index(list, i);
}

/* Returns the first call of the request that was sent before the run and that
 * the filter accepts, or NULL. */
static const struct call *
find_call(const struct request *r, const event *run,
    bool (*filter)(const struct call *k, const event *run))
{
	for (guint i = 0; i < r->calls->len; i++) {
		const struct call *k = call_at(r->calls, i);

		if (k->sent <= run && filter(k, run))
			return k;
	}
	return NULL;
}

static bool
any_call(const struct call *k, const event *run)
{
	(void)k;
	(void)run;
	return true;
}

static bool
same_team(const struct call *k, const event *run)
{
	const char *team = k->sent->u.call.team;

	return team[0] == '\0' || strcmp(team, run->u.run.team) == 0;
}

static bool
not_refused(const struct call *k, const event *run)
{
	(void)run;
	return !check_has_verdict(k, HISTORY_NOT_RUN);
}

/* ---- keys -------------------------------------------------------------- */

static void
check_run_teams(struct ogl_check *c, const struct request *r)
{
	for (guint i = 0; i < r->runs->len; i++) {
		const event *run = g_ptr_array_index(r->runs, i);
		const struct call *k = find_call(r, run, any_call);

		if (k == NULL)
			check_add_finding(c, check_event_list(run, NULL),
			    "%s runs what nobody had sent", run->u.run.exec);
		else if (find_call(r, run, same_team) == NULL)
			check_add_finding(c,
			    check_event_list(k->sent, run, NULL),
			    "a request of team %s runs for team %s",
			    k->sent->u.call.team, run->u.run.team);
	}
}

static void
check_job_team(struct ogl_check *c, const struct job *j)
{
	if (j->submit == NULL || j->started == NULL ||
	    j->submit->u.call.team[0] == '\0' ||
	    strcmp(j->submit->u.call.team, j->started->u.task.team) == 0)
		return;
	check_add_finding(c,
	    check_event_list(j->submit, j->first_report, j->started, NULL),
	    "a job of team %s runs for team %s", j->submit->u.call.team,
	    j->started->u.task.team);
}

/* Returns a run that only this call can have caused, or NULL. */
static const event *
only_run(const struct ogl_check *c, const struct call *k)
{
	const struct request *r =
	    g_hash_table_lookup(c->requests, k->sent->u.call.body);

	if (k->sent->u.call.job || r == NULL || r->calls->len > 1 ||
	    r->runs->len == 0)
		return NULL;
	return g_ptr_array_index(r->runs, 0);
}

static void
check_withdrawn(struct ogl_check *c, const event *edit)
{
	for (guint i = 0; i < c->call_list->len; i++) {
		const struct call *k = call_at(c->call_list, i);
		const event *effect;

		if (strcmp(k->sent->u.call.key, edit->u.edit.key) != 0 ||
		    k->sent->at <= edit->at + c->grace.key_withdrawn)
			continue;
		effect = only_run(c, k);
		if (effect == NULL && k->answer != NULL &&
		    k->answer->u.answer.status / 100 == 2)
			effect = k->answer;
		if (effect != NULL)
			check_add_finding(c,
			    check_event_list(edit, k->sent, effect, NULL),
			    "key %s works though it was withdrawn",
			    edit->u.edit.key);
	}
}

void
check_key(struct ogl_check *c)
{
	for (guint i = 0; c->call_list->len > 0 && i < c->request_list->len;
	     i++)
		check_run_teams(c, g_ptr_array_index(c->request_list, i));
	for (guint i = 0; i < c->job_list->len; i++)
		check_job_team(c, g_ptr_array_index(c->job_list, i));
	for (size_t i = 0; i < c->nevents; i++) {
		const event *ev = &c->events[i];

		if (ev->type == HISTORY_EDIT && ev->u.edit.accepted &&
		    ev->u.edit.what == HISTORY_EDIT_KEY_WITHDRAWN)
			check_withdrawn(c, ev);
	}
}

/* ---- answers ----------------------------------------------------------- */

/* Whether the answer belongs to the call and is whole.  Executors answer with
 * "team|kind|body"; with an unknown team only the end is compared. */
static bool
is_own_answer(const struct call *k)
{
	const char *team = k->sent->u.call.team;
	char *expected = g_strdup_printf(
	    "%s|%s|%s", team, k->sent->u.call.kind, k->sent->u.call.body);
	const char *actual = k->answer->u.answer.body;
	bool own = team[0] == '\0' ? g_str_has_suffix(actual, expected)
				   : strcmp(actual, expected) == 0;

	g_free(expected);
	return own;
}

static void
check_one_answer(struct ogl_check *c, const event *ev)
{
	const struct call *k = g_hash_table_lookup(c->calls, ev->u.answer.call);

	if (k == NULL || k->answer == NULL)
		check_add_finding(c, check_event_list(ev, NULL),
		    "call %s is answered and was not made", ev->u.answer.call);
	else if (k->answer != ev)
		check_add_finding(c, check_event_list(k->answer, ev, NULL),
		    "call %s is answered twice", ev->u.answer.call);
	else if (!k->sent->u.call.job && ev->u.answer.status == 200 &&
		 ev->u.answer.verdict == HISTORY_RAN && !is_own_answer(k))
		check_add_finding(c, check_event_list(k->sent, ev, NULL),
		    "call %s gets another's answer, or a part of one",
		    ev->u.answer.call);
}

static bool
same_request(const event *a, const event *b)
{
	const char *id = a->u.call.request_id;

	return strcmp(a->u.call.team, b->u.call.team) == 0 && id[0] != '\0' &&
	       strcmp(id, b->u.call.request_id) == 0;
}

/* Two submissions must have different jobs unless their team and request id are
 * the same. */
static void
check_job_answer(struct ogl_check *c, const struct call *k)
{
	const struct job *j;

	if (k->job == NULL)
		return;
	j = g_hash_table_lookup(c->jobs, k->job->u.job.job);
	if (j->submit != k->sent && !same_request(j->submit, k->sent))
		check_add_finding(c,
		    check_event_list(
			j->submit, j->first_report, k->sent, k->job, NULL),
		    "two requests are told of one job %s", k->job->u.job.job);
}

void
check_answer(struct ogl_check *c)
{
	for (size_t i = 0; i < c->nevents; i++) {
		const event *ev = &c->events[i];
		const struct call *k;

		if (ev->type == HISTORY_ANSWER)
			check_one_answer(c, ev);
		if (ev->type != HISTORY_CALL)
			continue;
		k = g_hash_table_lookup(c->calls, ev->u.call.call);
		if (k->sent != ev)
			check_add_finding(c,
			    check_event_list(k->sent, ev, NULL),
			    "two calls are named %s: the history is faulty",
			    ev->u.call.call);
	}
	for (guint i = 0; i < c->call_list->len; i++)
		check_job_answer(c, call_at(c->call_list, i));
}

/* ---- verdicts ---------------------------------------------------------- */

void
check_not_run(struct ogl_check *c)
{
	for (guint i = 0; i < c->request_list->len; i++) {
		const struct request *r = g_ptr_array_index(c->request_list, i);

		for (guint n = 0; n < r->runs->len; n++) {
			const event *run = g_ptr_array_index(r->runs, n);
			const struct call *k = find_call(r, run, any_call);

			if (k != NULL && find_call(r, run, not_refused) == NULL)
				check_add_finding(c,
				    check_event_list(
					k->sent, k->answer, run, NULL),
				    "call %s ran though its answer was not_run",
				    k->sent->u.call.call);
		}
	}
	for (guint i = 0; i < c->job_list->len; i++) {
		const struct job *j = g_ptr_array_index(c->job_list, i);

		if (j->ended != NULL && j->started != NULL &&
		    j->ended->u.job.verdict == HISTORY_NOT_RUN)
			check_add_finding(c,
			    check_event_list(j->ended, j->started, NULL),
			    "job %s ran though it ended as not_run",
			    j->ended->u.job.job);
	}
}

void
check_once(struct ogl_check *c)
{
	for (guint i = 0; i < c->request_list->len; i++) {
		const struct request *r = g_ptr_array_index(c->request_list, i);
		const event *sent;

		if (r->calls->len == 0 || r->runs->len < 2)
			continue;
		sent = call_at(r->calls, 0)->sent;
		if (!sent->u.call.idempotent)
			check_add_finding(c,
			    check_event_list(sent, r->runs->pdata[0],
				r->runs->pdata[1], NULL),
			    "call %s is not idempotent and runs %u times",
			    sent->u.call.call, r->runs->len);
	}
}

/* ---- lost and duplicated ----------------------------------------------- */

static void
check_call_lost(struct ogl_check *c, const struct call *k)
{
	const struct request *r =
	    g_hash_table_lookup(c->requests, k->sent->u.call.body);

	if (c->load_over != NULL && k->answer == NULL)
		check_add_finding(c, check_event_list(k->sent, NULL),
		    "call %s is never answered", k->sent->u.call.call);
	if (c->has_runs && !k->sent->u.call.job &&
	    check_has_verdict(k, HISTORY_RAN) && k->answer != NULL &&
	    k->answer->u.answer.status == 200 && r->runs->len == 0)
		check_add_finding(c, check_event_list(k->sent, k->answer, NULL),
		    "call %s is said to have run and did not",
		    k->sent->u.call.call);
}

static void
check_job_lost(struct ogl_check *c, const struct job *j)
{
	if (j->first_report == NULL)
		return;
	if (j->missing != NULL)
		check_add_finding(c,
		    check_event_list(j->first_report, j->missing, NULL),
		    "job %s was accepted and is not known",
		    j->first_report->u.job.job);
	else if (c->load_over != NULL && j->ended == NULL &&
		 j->last_report < c->load_over)
		check_add_finding(c, check_event_list(j->last_report, NULL),
		    "job %s has no end and nobody knows of it",
		    j->first_report->u.job.job);
	if (c->has_starts && j->succeeded == NULL && j->ended != NULL &&
	    j->ended->u.job.state == HISTORY_JOB_DONE)
		check_add_finding(c,
		    check_event_list(j->first_report, j->ended, NULL),
		    "job %s is said to be done and no task of it is",
		    j->first_report->u.job.job);
}

static void
check_job_duplicated(
    struct ogl_check *c, GHashTable *by_id, const struct call *k)
{
	char *id;
	const event *first;

	if (k->job == NULL || k->sent->u.call.request_id[0] == '\0')
		return;
	id = g_strdup_printf(
	    "%s %s", k->sent->u.call.team, k->sent->u.call.request_id);
	first = g_hash_table_lookup(by_id, id);
	if (first != NULL && strcmp(first->u.job.job, k->job->u.job.job) != 0)
		check_add_finding(c, check_event_list(first, k->job, NULL),
		    "one request id makes two jobs, %s and %s",
		    first->u.job.job, k->job->u.job.job);
	if (first == NULL)
		g_hash_table_insert(by_id, id, (gpointer)k->job);
	else
		g_free(id);
}

static void
check_task_success(struct ogl_check *c, GHashTable *by_task, const event *ev)
{
	const event *first;

	if (ev->type != HISTORY_END ||
	    ev->u.task.state != OGL__TASK_STATE__succeeded)
		return;
	first = g_hash_table_lookup(by_task, ev->u.task.task);
	if (first != NULL)
		check_add_finding(c, check_event_list(first, ev, NULL),
		    "task %s succeeds twice", ev->u.task.task);
	g_hash_table_insert(by_task, (gpointer)ev->u.task.task, (gpointer)ev);
}

void
check_lost(struct ogl_check *c)
{
	GHashTable *by_id =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTable *by_task = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < c->call_list->len; i++) {
		check_call_lost(c, call_at(c->call_list, i));
		check_job_duplicated(c, by_id, call_at(c->call_list, i));
	}
	for (guint i = 0; i < c->job_list->len; i++)
		check_job_lost(c, g_ptr_array_index(c->job_list, i));
	for (size_t i = 0; i < c->nevents; i++)
		check_task_success(c, by_task, &c->events[i]);
	g_hash_table_destroy(by_task);
	g_hash_table_destroy(by_id);
}
