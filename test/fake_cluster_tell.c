/*
 * Converts the calls of a fake cluster to events of a history.  Only calls that
 * submit work are recorded as calls; from the answers of other calls, the
 * state of a job or the result of a settings edit is recorded.
 */

#include <jansson.h>
#include <string.h>

#include "fake_cluster_tell.h"

static bool
submits_work(const struct fake_call *k)
{
	return strcmp(k->method, "POST") == 0 &&
	       (strcmp(k->path, "/v1/requests") == 0 ||
		   strcmp(k->path, "/v1/jobs") == 0);
}

static bool
submits_job(const struct fake_call *k)
{
	return strcmp(k->method, "POST") == 0 &&
	       strcmp(k->path, "/v1/jobs") == 0;
}

void
fake_record_call(struct ogl_history *h, uint32_t number, const char *node,
    const struct fake_call *k, uint64_t timeout_ms)
{
	struct history_event ev = {.type = HISTORY_CALL, .at = k->asked_at};
	char name[16];

	if (!submits_work(k))
		return;
	g_snprintf(name, sizeof name, "%u", number);
	ev.u.call.call = name;
	ev.u.call.node = node;
	ev.u.call.team = k->team;
	ev.u.call.request_id = k->id;
	ev.u.call.kind = submits_job(k) ? NULL : "check";
	ev.u.call.body = k->body;
	ev.u.call.timeout_ms = timeout_ms;
	ev.u.call.idempotent = k->idempotent;
	ev.u.call.job = submits_job(k);
	ogl_history_add(h, &ev);
}

static void
record_job(struct ogl_history *h, const char *call, const struct fake_call *k)
{
	struct history_event ev = {.type = HISTORY_JOB, .at = k->answered_at};
	char *job = fake_cluster_field(k->answer, "job");
	char *state = fake_cluster_field(k->answer, "state");
	const ProtobufCEnumValue *v =
	    state == NULL ? NULL
			  : protobuf_c_enum_descriptor_get_value_by_name(
				&ogl__job_state__descriptor, state);

	if (job != NULL && v != NULL) {
		ev.u.job.call = call;
		ev.u.job.job = job;
		ev.u.job.state = (uint32_t)v->value;
		ev.u.job.verdict = k->verdict;
		ogl_history_add(h, &ev);
	}
	g_free(job);
	g_free(state);
}

/* Reads the team limit that the first change of an edit sets; false if it sets
 * none. */
static bool
parse_team_limit(const json_t *edit, char team[128], uint64_t *limit)
{
	const json_t *change =
	    json_array_get(json_object_get(edit, "changes"), 0);
	const char *path = json_string_value(json_object_get(change, "path"));
	const char *value = json_string_value(json_object_get(change, "value"));

	if (path == NULL || value == NULL ||
	    !g_str_has_prefix(path, "teams/") ||
	    !g_str_has_suffix(path, "/limit_tasks"))
		return false;
	g_strlcpy(team, path + strlen("teams/"), 128);
	team[strlen(team) - strlen("/limit_tasks")] = '\0';
	*limit =
	    value[0] == '\0' ? UINT64_MAX : g_ascii_strtoull(value, NULL, 10);
	return true;
}

static void
record_edit(struct ogl_history *h, const struct fake_call *k)
{
	struct history_event ev = {.type = HISTORY_EDIT, .at = k->answered_at};
	json_t *edit = json_loads(k->body, 0, NULL);
	char *version = fake_cluster_field(k->answer, "version");
	char team[128] = "";

	ev.u.edit.what = HISTORY_EDIT_OTHER;
	ev.u.edit.accepted = !k->disconnected && k->status < 300;
	ev.u.edit.asked = k->asked_at;
	ev.u.edit.version =
	    version != NULL ? g_ascii_strtoull(version, NULL, 10) : 0;
	if (parse_team_limit(edit, team, &ev.u.edit.limit))
		ev.u.edit.what = HISTORY_EDIT_LIMIT;
	ev.u.edit.team = team;
	if (ev.u.edit.accepted || k->disconnected ||
	    k->verdict == OGL_MAY_HAVE_RUN)
		ogl_history_add(h, &ev);
	json_decref(edit);
	g_free(version);
}

void
fake_record_answer(
    struct ogl_history *h, uint32_t number, const struct fake_call *k)
{
	struct history_event ev = {
	    .type = HISTORY_ANSWER, .at = k->answered_at};
	char name[16];

	g_snprintf(name, sizeof name, "%u", number);
	if (submits_work(k)) {
		ev.u.answer.call = name;
		ev.u.answer.status = k->disconnected ? 0 : k->status;
		ev.u.answer.verdict = k->verdict;
		if (k->disconnected && k->arrived)
			ev.u.answer.verdict = HISTORY_BROKEN;
		/* The event of an accepted job, added below, says whether it
		 * ran. */
		if (submits_job(k) && !k->disconnected && k->status / 100 == 2)
			ev.u.answer.verdict = HISTORY_RAN;
		ev.u.answer.retry_after_ms = k->retry_after_ms;
		ev.u.answer.body = k->answer;
		ogl_history_add(h, &ev);
	}
	if (strcmp(k->path, "/v1/settings") == 0 &&
	    strcmp(k->method, "POST") == 0)
		record_edit(h, k);
	if (!k->disconnected && k->status / 100 == 2 &&
	    (submits_job(k) || g_str_has_prefix(k->path, "/v1/jobs/")))
		record_job(h, submits_job(k) ? name : "", k);
}

void
fake_record_node(struct ogl_history *h, const char *node,
    enum history_node state, ogl_time now)
{
	struct history_event ev = {.type = HISTORY_NODE, .at = now};

	ev.u.node.node = node;
	ev.u.node.state = state;
	ogl_history_add(h, &ev);
}

void
fake_record_lease(struct ogl_history *h, const char *worker,
    const Ogl__WorkerSync *m, ogl_time now)
{
	struct history_event ev = {.type = HISTORY_LEASE, .at = now};

	if (m->lease_ms == 0)
		return;
	ev.u.lease.worker = worker;
	ev.u.lease.owner = m->owner;
	ev.u.lease.shard = m->shard;
	ev.u.lease.epoch = m->epoch;
	ev.u.lease.until = ((ogl_time)m->lease_from_ms + m->lease_ms) * OGL_MS;
	ogl_history_add(h, &ev);
}

void
fake_record_listed(
    struct ogl_history *h, const char *target, bool leaving, ogl_time now)
{
	struct history_event ev = {.type = HISTORY_LISTED, .at = now};

	ev.u.listed.target = target;
	ev.u.listed.leaving = leaving;
	ogl_history_add(h, &ev);
}

void
fake_record_version(
    struct ogl_history *h, const char *node, uint64_t version, ogl_time now)
{
	struct history_event ev = {.type = HISTORY_IN_FORCE, .at = now};

	ev.u.in_force.node = node;
	ev.u.in_force.version = version;
	ogl_history_add(h, &ev);
}

void
fake_record_cut(
    struct ogl_history *h, const char *node, uint32_t call, ogl_time now)
{
	struct history_event ev = {.type = HISTORY_CUT, .at = now};
	char name[16];

	g_snprintf(name, sizeof name, "%u", call);
	ev.u.cut.node = node;
	ev.u.cut.call = name;
	ogl_history_add(h, &ev);
}
