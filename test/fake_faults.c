/*
 * Random load and faults.
 *
 * Two callbacks reschedule themselves in the event heap of the cluster: one
 * sends a random call, the other begins a random fault and schedules its end.
 * A row of a table says how a type of fault begins, how it ends and how long
 * it lasts at most.  With a probability of one third a second fault begins at
 * the same time.
 */

#include <string.h>

#include "check.h"
#include "fake_faults.h"

enum {
	STARTUP_S = 8,             /* until the cell is up */
	SETTLE_S = 150,            /* accepted jobs end within it */
	CALL_GAP_MIN_MS = 30,      /* between two calls, at least */
	CALL_GAP_RANGE_MS = 200,   /* random addition, below this */
	FAULT_GAP_MIN_MS = 500,    /* between two faults, at least */
	FAULT_GAP_RANGE_MS = 6000, /* random addition, below this */
	TEAM_A_LIMIT_TASKS = 12,   /* of team a and its subteams */
	MAX_TASKS = 4,             /* of one job */
	POLL_INTERVAL_MS = 1000    /* between queries of jobs at the end */
};

/* A job that was or may have been accepted. */
struct load_job {
	uint32_t call; /* number of the call that first submitted it */
	uint32_t tasks;
	bool restartable;
	char *id; /* NULL until known */
	bool ended;
};

struct fake_faults {
	struct fake_cluster *c;
	struct fake_cluster_config cfg;
	ogl_time until;
	char *keys[3];
	uint32_t call_count;   /* makes bodies and ids of calls unique */
	uint32_t name_count;   /* makes names of new nodes unique */
	GPtrArray *jobs;       /* struct load_job */
	GArray *calls_with_id; /* uint32_t: calls to run at most once */
	GPtrArray *faults;     /* struct fault_instance, ended ones too */
};

static const char *const teams[3] = {"a", "a/x", "b"};

static uint64_t
random_below(struct fake_faults *f, uint64_t n)
{
	return ogl_random_next(fake_cluster_random(f->c)) % n;
}

static void
job_free(void *v)
{
	struct load_job *j = v;

	g_free(j->id);
	g_free(j);
}

static void
tune(struct ogl_node_config *c)
{
	c->snapshot_ms = 10000;
	c->snapshot_records = 200;
}

/* ---- load ------------------------------------------------------------- */

static uint32_t
live_node(struct fake_faults *f)
{
	uint32_t n = (uint32_t)random_below(f, f->cfg.nodes);

	for (uint32_t i = 0; i < f->cfg.nodes; i++) {
		if (fake_cluster_alive(f->c, (n + i) % f->cfg.nodes))
			return (n + i) % f->cfg.nodes;
	}
	return UINT32_MAX;
}

static uint32_t
send_call(struct fake_faults *f, struct fake_call_spec *a)
{
	uint32_t node = live_node(f);

	if (node == UINT32_MAX)
		return UINT32_MAX;
	return fake_cluster_call(f->c, node, a);
}

/* Sends the same call again, to any live node. */
static void
resend_call(struct fake_faults *f, uint32_t call)
{
	const struct fake_call *k = fake_cluster_get_call(f->c, call);
	struct fake_call_spec a = {.method = k->method,
	    .path = k->path,
	    .team = k->team,
	    .id = k->id,
	    .body = k->body,
	    .idempotent = k->idempotent};

	for (uint32_t i = 0; i < 3; i++) {
		if (strcmp(teams[i], k->team) == 0)
			a.key = f->keys[i];
	}
	send_call(f, &a);
}

static void
send_request(struct fake_faults *f, bool idempotent, bool with_id)
{
	uint32_t t = (uint32_t)random_below(f, 3);
	char *body = g_strdup_printf("r%u run_ms=%u", ++f->call_count,
	    (unsigned)random_below(f, 60) + 1);
	char *id = g_strdup_printf("id%u", f->call_count);
	struct fake_call_spec a = {.method = "POST",
	    .path = "/v1/requests",
	    .key = f->keys[t],
	    .team = teams[t],
	    .id = with_id ? id : "",
	    .body = body,
	    .idempotent = idempotent,
	    .budget_ms = random_below(f, 4) == 0 ? 200 : 0};
	uint32_t call = send_call(f, &a);

	if (with_id && call != UINT32_MAX) {
		g_array_append_val(f->calls_with_id, call);
		if (random_below(f, 4) == 0)
			resend_call(f, call);
	}
	g_free(body);
	g_free(id);
}

static void
submit_job(struct fake_faults *f)
{
	static const char *const kinds[] = {"batch", "service", "gang"};
	uint32_t t = (uint32_t)random_below(f, 3);
	uint32_t run_ms = 100 + (uint32_t)random_below(f, 4000);
	struct load_job *j = g_new0(struct load_job, 1);
	uint32_t declared_run_ms =
	    random_below(f, 3) == 0 ? run_ms * 10 : run_ms;
	char *id = g_strdup_printf("job%u", ++f->call_count);
	char *body;
	struct fake_call_spec a = {.method = "POST",
	    .path = "/v1/jobs",
	    .key = f->keys[t],
	    .team = teams[t],
	    .id = id};

	j->tasks = 1 + (uint32_t)random_below(f, MAX_TASKS);
	j->restartable = random_below(f, 2) == 0;
	body = g_strdup_printf("{\"kind\":\"%s\",\"tasks\":%u,\"res\":"
			       "{\"cpu_milli\":%u,\"mem_mb\":%u},\"run_ms\":%u,"
			       "\"payload\":\"run_ms=%u j%u\","
			       "\"restartable\":%s}",
	    kinds[random_below(f, 3)], j->tasks,
	    200 + (unsigned)random_below(f, 1800),
	    100 + (unsigned)random_below(f, 4000), declared_run_ms, run_ms,
	    f->call_count, j->restartable ? "true" : "false");
	a.body = body;
	j->call = send_call(f, &a);
	if (j->call == UINT32_MAX) {
		job_free(j);
	} else {
		g_ptr_array_add(f->jobs, j);
		if (random_below(f, 6) == 0)
			resend_call(f, j->call);
	}
	g_free(body);
	g_free(id);
}

static bool
same_submit(const struct fake_call *a, const struct fake_call *b)
{
	return strcmp(a->path, b->path) == 0 && strcmp(a->id, b->id) == 0 &&
	       strcmp(a->team, b->team) == 0;
}

/* Returns the id of the job, or NULL if neither its submission nor a retry of
 * that has been accepted yet. */
static const char *
job_id(struct fake_faults *f, struct load_job *j)
{
	const struct fake_call *first = fake_cluster_get_call(f->c, j->call);
	uint32_t n = fake_cluster_call_count(f->c);

	for (uint32_t i = j->call; j->id == NULL && i < n; i++) {
		const struct fake_call *k = fake_cluster_get_call(f->c, i);

		if (k->done && k->status == 202 && same_submit(k, first))
			j->id = fake_cluster_field(k->answer, "job");
	}
	return j->id;
}

static void
send_job_call(struct fake_faults *f, const char *method)
{
	struct load_job *j;
	const struct fake_call *k;
	struct fake_call_spec a = {.method = method};
	char *path;

	if (f->jobs->len == 0)
		return;
	j = g_ptr_array_index(f->jobs, random_below(f, f->jobs->len));
	if (job_id(f, j) == NULL)
		return;
	k = fake_cluster_get_call(f->c, j->call);
	path = g_strdup_printf("/v1/jobs/%s", j->id);
	a.path = path;
	a.team = k->team;
	for (uint32_t i = 0; i < 3; i++) {
		if (strcmp(teams[i], k->team) == 0)
			a.key = f->keys[i];
	}
	send_call(f, &a);
	g_free(path);
}

/* Returns the version in the answer to the newest successful edit. */
static char *
newest_version(struct fake_faults *f)
{
	for (uint32_t i = fake_cluster_call_count(f->c); i > 0; i--) {
		const struct fake_call *k = fake_cluster_get_call(f->c, i - 1);

		if (k->done && k->status == 200 &&
		    strcmp(k->path, "/v1/settings") == 0 &&
		    strcmp(k->method, "POST") == 0)
			return fake_cluster_field(k->answer, "version");
	}
	return g_strdup("0");
}

/* Changes the share of a team.  The base version may be out of date. */
static void
send_edit(struct fake_faults *f)
{
	char *base = newest_version(f);
	char *body = g_strdup_printf(
	    "{\"base_version\":%s,\"who\":\"\",\"changes\":[{\"path\":"
	    "\"teams/%s/share\",\"value\":\"%u\"}]}",
	    base, teams[random_below(f, 3)], 1 + (unsigned)random_below(f, 9));
	struct fake_call_spec a = {.method = "POST",
	    .path = "/v1/settings",
	    .key = fake_cluster_operator_key(f->c),
	    .body = body};

	send_call(f, &a);
	g_free(base);
	g_free(body);
}

static void
send_random_call(struct fake_faults *f)
{
	uint32_t draw = (uint32_t)random_below(f, 100);

	if (draw < 30)
		send_request(f, true, false);
	else if (draw < 38)
		send_request(f, false, false);
	else if (draw < 55)
		send_request(f, false, true);
	else if (draw < 62 && f->calls_with_id->len > 0)
		resend_call(f, g_array_index(f->calls_with_id, uint32_t,
				   random_below(f, f->calls_with_id->len)));
	else if (draw < 83)
		submit_job(f);
	else if (draw < 85)
		send_edit(f);
	else
		send_job_call(f, draw < 92 ? "DELETE" : "GET");
}

static void
continue_load(struct fake_cluster *c, void *ctx)
{
	struct fake_faults *f = ctx;
	ogl_time now = fake_cluster_now(c);

	if (now >= f->until)
		return;
	send_random_call(f);
	fake_cluster_schedule_at(c,
	    now + (CALL_GAP_MIN_MS +
		      (ogl_time)random_below(f, CALL_GAP_RANGE_MS)) *
		      OGL_MS,
	    continue_load, f);
}

/* ---- faults ----------------------------------------------------------- */

/* A fault that has begun.  `node` and `choice` are drawn below the number of
 * nodes; `choice` selects a second node, a worker, an executor or a variant. */
struct fault_instance {
	struct fake_faults *f;
	const struct fault_type *type;
	uint32_t node, choice;
};

struct fault_type {
	const char *name;
	uint32_t max_ms;
	void (*begin)(struct fault_instance *fault, ogl_time length);
	void (*end)(struct fault_instance *fault);
};

static void
begin_peer_loss(struct fault_instance *fault, ogl_time length)
{
	(void)length;
	fake_cluster_net(fault->f->c)->peer_lost_per_mille = 300;
}

static void
end_peer_loss(struct fault_instance *fault)
{
	fake_cluster_net(fault->f->c)->peer_lost_per_mille = 0;
}

static void
begin_peer_reorder(struct fault_instance *fault, ogl_time length)
{
	struct fake_net *n = fake_cluster_net(fault->f->c);

	(void)length;
	n->peer_doubled_per_mille = 200;
	n->peer_late_per_mille = 400;
	n->peer_delay_max = 800 * OGL_MS;
}

static void
end_peer_reorder(struct fault_instance *fault)
{
	struct fake_net *n = fake_cluster_net(fault->f->c);

	n->peer_doubled_per_mille = 0;
	n->peer_late_per_mille = 0;
}

static void
cut_pair(struct fault_instance *fault, ogl_time length)
{
	(void)length;
	if (fault->node != fault->choice)
		fake_cluster_cut(
		    fault->f->c, fault->node, FAKE_NODE, fault->choice, true);
}

static void
heal_pair(struct fault_instance *fault)
{
	if (fault->node != fault->choice)
		fake_cluster_cut(
		    fault->f->c, fault->node, FAKE_NODE, fault->choice, false);
}

static void
set_isolation(struct fault_instance *fault, bool cut)
{
	for (uint32_t i = 0; i < fault->f->cfg.nodes; i++) {
		if (i != fault->node)
			fake_cluster_cut(
			    fault->f->c, fault->node, FAKE_NODE, i, cut);
	}
	if (fault->choice % 2 == 0)
		fake_cluster_cut(fault->f->c, fault->node, FAKE_LOG, 0, cut);
}

static void
begin_isolation(struct fault_instance *fault, ogl_time length)
{
	(void)length;
	set_isolation(fault, true);
}

static void
end_isolation(struct fault_instance *fault)
{
	set_isolation(fault, false);
}

static void
cut_log(struct fault_instance *fault, ogl_time length)
{
	(void)length;
	fake_cluster_cut(fault->f->c, fault->node, FAKE_LOG, 0, true);
}

static void
heal_log(struct fault_instance *fault)
{
	fake_cluster_cut(fault->f->c, fault->node, FAKE_LOG, 0, false);
}

static void
cut_hosts(struct fault_instance *fault, ogl_time length)
{
	(void)length;
	fake_cluster_cut(fault->f->c, fault->node, FAKE_HOSTS, 0, true);
}

static void
heal_hosts(struct fault_instance *fault)
{
	fake_cluster_cut(fault->f->c, fault->node, FAKE_HOSTS, 0, false);
}

static void
cut_worker(struct fault_instance *fault, ogl_time length)
{
	(void)length;
	fake_cluster_cut(fault->f->c, fault->node, FAKE_WORKER,
	    fault->choice % fault->f->cfg.workers, true);
}

static void
heal_worker(struct fault_instance *fault)
{
	fake_cluster_cut(fault->f->c, fault->node, FAKE_WORKER,
	    fault->choice % fault->f->cfg.workers, false);
}

static void
log_down(struct fault_instance *fault, ogl_time length)
{
	(void)length;
	fake_log_script(fake_cluster_log(fault->f->c))->outage = true;
}

static void
log_up(struct fault_instance *fault)
{
	fake_log_script(fake_cluster_log(fault->f->c))->outage = false;
}

static void
log_slow(struct fault_instance *fault, ogl_time length)
{
	(void)length;
	fake_log_script(fake_cluster_log(fault->f->c))->answer_delay =
	    (200 + (ogl_time)random_below(fault->f, 1500)) * OGL_MS;
}

static void
log_normal(struct fault_instance *fault)
{
	fake_log_script(fake_cluster_log(fault->f->c))->answer_delay = 0;
}

static void
begin_append_loss(struct fault_instance *fault, ogl_time length)
{
	(void)length;
	fake_cluster_net(fault->f->c)->append_lost_per_mille = 400;
}

static void
end_append_loss(struct fault_instance *fault)
{
	fake_cluster_net(fault->f->c)->append_lost_per_mille = 0;
}

static void
kill_node(struct fault_instance *fault, ogl_time length)
{
	(void)length;
	fake_cluster_kill(fault->f->c, fault->node);
}

static void
stop_node(struct fault_instance *fault, ogl_time length)
{
	(void)length;
	fake_cluster_stop(fault->f->c, fault->node);
}

static void
start_node(struct fault_instance *fault)
{
	char *name = NULL;

	if (fault->choice % 2 == 0)
		name = g_strdup_printf("m%u", fault->f->name_count++);
	fake_cluster_start(fault->f->c, fault->node, name);
	g_free(name);
}

static void
kill_all(struct fault_instance *fault, ogl_time length)
{
	(void)length;
	for (uint32_t i = 0; i < fault->f->cfg.nodes; i++)
		fake_cluster_kill(fault->f->c, i);
}

static void
start_all(struct fault_instance *fault)
{
	for (uint32_t i = 0; i < fault->f->cfg.nodes; i++) {
		fault->node = i;
		start_node(fault);
	}
}

static void
pause_node(struct fault_instance *fault, ogl_time length)
{
	fake_cluster_pause(fault->f->c, fault->node, length);
}

static void
pause_sending(struct fault_instance *fault, ogl_time length)
{
	static const enum ogl_action_type types[] = {
	    OGL_ACT_WORKER, OGL_ACT_LOG_APPEND, OGL_ACT_EXEC, OGL_ACT_PEER};

	fake_cluster_pause_at_action(
	    fault->f->c, fault->node, types[fault->choice % 4], length);
}

static void
end_nothing(struct fault_instance *fault)
{
	(void)fault;
}

static struct fake_worker *
worker_of_fault(struct fault_instance *fault)
{
	return fake_cluster_worker(
	    fault->f->c, fault->choice % fault->f->cfg.workers);
}

static void
worker_down(struct fault_instance *fault, ogl_time length)
{
	(void)length;
	fake_worker_script(worker_of_fault(fault))->unreachable = true;
}

static void
worker_up(struct fault_instance *fault)
{
	fake_worker_script(worker_of_fault(fault))->unreachable = false;
}

static void
restart_worker(struct fault_instance *fault, ogl_time length)
{
	(void)length;
	fake_cluster_restart_worker(
	    fault->f->c, fault->choice % fault->f->cfg.workers);
}

static void
begin_worker_failures(struct fault_instance *fault, ogl_time length)
{
	(void)length;
	fake_worker_script(worker_of_fault(fault))->fail_all = true;
}

static void
end_worker_failures(struct fault_instance *fault)
{
	fake_worker_script(worker_of_fault(fault))->fail_all = false;
}

/* A leaving worker does not come back before the end.  The first one never
 * leaves, so that some workers remain. */
static void
worker_leaves(struct fault_instance *fault, ogl_time length)
{
	(void)length;
	if (fault->choice % fault->f->cfg.workers == 0)
		return;
	fake_worker_script(worker_of_fault(fault))->leaving = true;
	fake_cluster_set_leaving(fault->f->c, FAKE_WORKER,
	    fault->choice % fault->f->cfg.workers, true);
}

static void
begin_sync_loss(struct fault_instance *fault, ogl_time length)
{
	(void)length;
	fake_cluster_net(fault->f->c)->sync_lost_per_mille = 200;
	fake_cluster_net(fault->f->c)->report_lost_per_mille = 300;
}

static void
end_sync_loss(struct fault_instance *fault)
{
	fake_cluster_net(fault->f->c)->sync_lost_per_mille = 0;
	fake_cluster_net(fault->f->c)->report_lost_per_mille = 0;
}

static struct fake_exec_script *
exec_of_fault(struct fault_instance *fault)
{
	return fake_exec_script(fake_cluster_exec(
	    fault->f->c, fault->choice % fault->f->cfg.execs));
}

static void
begin_exec_misbehaviour(struct fault_instance *fault, ogl_time length)
{
	struct fake_exec_script *s = exec_of_fault(fault);

	(void)length;
	s->fail_all = fault->node % 2 == 0;
	s->lose_answers = 5;
	s->truncate_answers = 5;
	s->wrong_tokens = 5;
	s->answer_delay = (ogl_time)random_below(fault->f, 3000) * OGL_MS;
}

static void
end_exec_misbehaviour(struct fault_instance *fault)
{
	struct fake_exec_script *s = exec_of_fault(fault);
	bool leaving = s->leaving;

	memset(s, 0, sizeof *s);
	s->leaving = leaving;
}

static void
exec_leaves(struct fault_instance *fault, ogl_time length)
{
	(void)length;
	if (fault->choice % fault->f->cfg.execs == 0)
		return;
	exec_of_fault(fault)->leaving = true;
	fake_cluster_set_leaving(
	    fault->f->c, FAKE_EXEC, fault->choice % fault->f->cfg.execs, true);
}

static void
begin_answer_loss(struct fault_instance *fault, ogl_time length)
{
	(void)length;
	fake_cluster_net(fault->f->c)->request_lost_per_mille = 300;
}

static void
end_answer_loss(struct fault_instance *fault)
{
	fake_cluster_net(fault->f->c)->request_lost_per_mille = 0;
}

static void
begin_hosts_lag(struct fault_instance *fault, ogl_time length)
{
	(void)length;
	fake_cluster_net(fault->f->c)->hosts_lag = 20 * OGL_SEC;
}

static void
end_hosts_lag(struct fault_instance *fault)
{
	fake_cluster_net(fault->f->c)->hosts_lag = 2 * OGL_SEC;
}

/* Cancels up to 15 random jobs at once. */
static void
cancel_many(struct fault_instance *fault, ogl_time length)
{
	(void)length;
	for (uint32_t i = 0; i < 15; i++)
		send_job_call(fault->f, "DELETE");
}

static const struct fault_type fault_types[] = {
    {"peers lose messages", 10000, begin_peer_loss, end_peer_loss},
    {"peers' messages late and doubled", 10000, begin_peer_reorder,
	end_peer_reorder},
    {"two nodes cut off from each other", 15000, cut_pair, heal_pair},
    {"a node cut off from all others", 15000, begin_isolation, end_isolation},
    {"a node cut off from the log", 15000, cut_log, heal_log},
    {"a node without host list", 15000, cut_hosts, heal_hosts},
    {"a node cut off from a worker", 15000, cut_worker, heal_worker},
    {"log down", 20000, log_down, log_up},
    {"log slow", 10000, log_slow, log_normal},
    {"log loses answers", 10000, begin_append_loss, end_append_loss},
    {"node killed", 8000, kill_node, start_node},
    {"node stopped", 8000, stop_node, start_node},
    {"all nodes killed", 3000, kill_all, start_all},
    {"node paused", 12000, pause_node, end_nothing},
    {"node paused before it sends", 12000, pause_sending, end_nothing},
    {"worker down", 20000, worker_down, worker_up},
    {"worker restarts", 1000, restart_worker, end_nothing},
    {"worker fails all", 10000, begin_worker_failures, end_worker_failures},
    {"worker leaves", 15000, worker_leaves, end_nothing},
    {"syncs lost", 10000, begin_sync_loss, end_sync_loss},
    {"executor misbehaves", 10000, begin_exec_misbehaviour,
	end_exec_misbehaviour},
    {"executor leaves", 10000, exec_leaves, end_nothing},
    {"executors' answers lost", 8000, begin_answer_loss, end_answer_loss},
    {"host list lags", 20000, begin_hosts_lag, end_hosts_lag},
    {"cancellations in a wave", 1000, cancel_many, end_nothing},
};

static void
record_fault(const struct fault_instance *fault, bool on)
{
	struct history_event ev = {
	    .type = HISTORY_FAULT, .at = fake_cluster_now(fault->f->c)};

	ev.u.fault.what = fault->type->name;
	ev.u.fault.who = "";
	ev.u.fault.on = on;
	ogl_history_add(fake_cluster_history(fault->f->c), &ev);
}

static void
end_fault(struct fake_cluster *c, void *ctx)
{
	struct fault_instance *fault = ctx;

	(void)c;
	if (fake_cluster_now(c) < fault->f->until) {
		fault->type->end(fault);
		record_fault(fault, false);
	}
}

static void
begin_fault(struct fake_faults *f)
{
	struct fault_instance *fault = g_new0(struct fault_instance, 1);
	ogl_time length;

	fault->f = f;
	fault->type = &fault_types[random_below(f, G_N_ELEMENTS(fault_types))];
	fault->node = (uint32_t)random_below(f, f->cfg.nodes);
	fault->choice = (uint32_t)random_below(f, f->cfg.nodes);
	length =
	    (100 + (ogl_time)random_below(f, fault->type->max_ms)) * OGL_MS;
	g_ptr_array_add(f->faults, fault);
	fake_cluster_note(f->c, fault->type->name);
	record_fault(fault, true);
	fault->type->begin(fault, length);
	fake_cluster_schedule_at(
	    f->c, fake_cluster_now(f->c) + length, end_fault, fault);
}

static void
continue_faults(struct fake_cluster *c, void *ctx)
{
	struct fake_faults *f = ctx;
	ogl_time now = fake_cluster_now(c);

	if (now >= f->until)
		return;
	begin_fault(f);
	if (random_below(f, 3) == 0)
		begin_fault(f);
	fake_cluster_schedule_at(c,
	    now + (FAULT_GAP_MIN_MS +
		      (ogl_time)random_below(f, FAULT_GAP_RANGE_MS)) *
		      OGL_MS,
	    continue_faults, f);
}

/* ---- a run ------------------------------------------------------------ */

static void
start_cell(struct fake_faults *f)
{
	char limit[16];

	fake_cluster_run(f->c, STARTUP_S * OGL_SEC);
	for (uint32_t i = 0; i < 3; i++) {
		char *path = g_strdup_printf("teams/%s", teams[i]);

		fake_cluster_edit_setting(f->c, 0, path, "{}");
		g_free(path);
	}
	g_snprintf(limit, sizeof limit, "%d", TEAM_A_LIMIT_TASKS);
	fake_cluster_edit_setting(f->c, 0, "teams/a/limit_tasks", limit);
	for (uint32_t i = 0; i < 3; i++)
		f->keys[i] = fake_cluster_create_key(f->c, 0, teams[i], NULL);
	fake_cluster_run(f->c, OGL_SEC);
	fake_cluster_expect_limit(f->c, "a", TEAM_A_LIMIT_TASKS);
}

struct fake_faults *
fake_faults_init(uint64_t seed)
{
	struct fake_faults *f = g_new0(struct fake_faults, 1);
	struct ogl_random r;

	ogl_random_init(&r, seed);
	f->cfg.seed = seed;
	f->cfg.nodes = 2 + (uint32_t)(ogl_random_next(&r) % 3);
	f->cfg.workers = 4 + (uint32_t)(ogl_random_next(&r) % 4);
	f->cfg.execs = 3;
	f->cfg.shards = 1 + (uint32_t)(ogl_random_next(&r) % 4);
	f->cfg.zones = 1 + (uint32_t)(ogl_random_next(&r) % 3);
	f->cfg.capacity.cpu_milli = 8000;
	f->cfg.capacity.mem_mb = 16384;
	f->cfg.tune = tune;
	f->jobs = g_ptr_array_new_with_free_func(job_free);
	f->calls_with_id = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	f->faults = g_ptr_array_new_with_free_func(g_free);
	f->c = fake_cluster_init(&f->cfg);
	fake_log_script(fake_cluster_log(f->c))->keep_age = 60 * OGL_SEC;
	start_cell(f);
	return f;
}

void
fake_faults_end(struct fake_faults *f)
{
	if (f == NULL)
		return;
	fake_cluster_end(f->c);
	g_ptr_array_free(f->jobs, TRUE);
	g_array_free(f->calls_with_id, TRUE);
	g_ptr_array_free(f->faults, TRUE);
	for (uint32_t i = 0; i < 3; i++)
		g_free(f->keys[i]);
	g_free(f);
}

struct fake_cluster *
fake_faults_cluster(struct fake_faults *f)
{
	return f->c;
}

void
fake_faults_run(struct fake_faults *f, ogl_time length)
{
	f->until = fake_cluster_now(f->c) + length;
	continue_load(f->c, f);
	continue_faults(f->c, f);
	fake_cluster_run(f->c, length);
}

/* ---- at the end ------------------------------------------------------- */

/* Compares the final state of a job with what its tasks did. */
static void
check_job_view(struct fake_faults *f, struct load_job *j, const char *view)
{
	char *state = fake_cluster_field(view, "state");
	char *verdict = fake_cluster_field(view, "verdict");

	for (uint32_t i = 0; i < j->tasks; i++) {
		char *task = g_strdup_printf("%s.%u", j->id, i);
		uint32_t starts = fake_cluster_start_count(f->c, task);

		if (g_strcmp0(state, "done") == 0 &&
		    !fake_cluster_succeeded(f->c, task))
			fake_cluster_report_violation(f->c,
			    "job %s is done, but task %s did not succeed",
			    j->id, task);
		if (g_strcmp0(verdict, "not_run") == 0 && starts > 0)
			fake_cluster_report_violation(f->c,
			    "job %s: not_run, but task %s started", j->id,
			    task);
		if (!j->restartable && fake_cluster_reruns(f->c, task) > 0)
			fake_cluster_report_violation(f->c,
			    "task %s may not be restarted, but started %u "
			    "times",
			    task, starts);
		g_free(task);
	}
	g_free(state);
	g_free(verdict);
}

/* Queries a job.  Returns whether it has ended. */
static bool
poll_job(struct fake_faults *f, struct load_job *j)
{
	const struct fake_call *k = fake_cluster_get_call(f->c, j->call);
	char *path = g_strdup_printf("/v1/jobs/%s", j->id);
	struct fake_call_spec a = {.method = "GET",
	    .path = path,
	    .key = fake_cluster_operator_key(f->c)};
	char *state;

	k = fake_cluster_call_wait(f->c, live_node(f), &a);
	state = fake_cluster_field(k->answer, "state");
	if (k->status == 200 && g_strcmp0(state, "queued") != 0 &&
	    g_strcmp0(state, "active") != 0) {
		j->ended = true;
		check_job_view(f, j, k->answer);
	}
	if (k->status == 404) {
		fake_cluster_report_violation(
		    f->c, "job %s was accepted and is lost", j->id);
		j->ended = true;
	}
	g_free(state);
	g_free(path);
	return j->ended;
}

static bool
all_ended(struct fake_faults *f)
{
	bool all = true;

	for (guint i = 0; i < f->jobs->len && all; i++) {
		struct load_job *j = g_ptr_array_index(f->jobs, i);

		if (!j->ended && job_id(f, j) != NULL)
			all = poll_job(f, j);
	}
	return all;
}

/* Queries the operators' views, so that their answers get into the history. */
static void
query_views(struct fake_faults *f)
{
	static const char *const paths[] = {
	    "/v1/shards", "/v1/queues", "/v1/workers", "/v1/members"};

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		struct fake_call_spec a = {.method = "GET",
		    .path = paths[i],
		    .key = fake_cluster_operator_key(f->c)};

		fake_cluster_call_wait(f->c, live_node(f), &a);
	}
}

static void
report_unended(struct fake_faults *f)
{
	bool any = false;

	for (guint i = 0; i < f->jobs->len; i++) {
		struct load_job *j = g_ptr_array_index(f->jobs, i);

		if (j->ended || j->id == NULL)
			continue;
		if (!any)
			query_views(f);
		any = true;
		fake_cluster_report_violation(
		    f->c, "job %s never ended", j->id);
	}
}

static void
start_dead_nodes(struct fake_faults *f)
{
	for (uint32_t i = 0; i < f->cfg.nodes; i++)
		fake_cluster_start(f->c, i, NULL);
}

static void
record_over(struct fake_faults *f)
{
	struct history_event ev = {
	    .type = HISTORY_OVER, .at = fake_cluster_now(f->c)};

	ogl_history_add(fake_cluster_history(f->c), &ev);
}

/* A restartable task that succeeded on a worker that was unreachable until its
 * lease ran out is started again, so it may succeed twice.  check_job_view()
 * reports tasks that are not restartable and start again. */
static bool
is_allowed_finding(const struct ogl_check_finding *d)
{
	return g_str_has_suffix(d->text, "succeeds twice");
}

static void
check_history(struct fake_faults *f)
{
	struct ogl_check_grace grace;
	struct ogl_check *check;
	const struct ogl_check_finding *found;
	char *report;
	size_t n;

	ogl_check_grace_default(&grace);
	check = ogl_check_run(fake_cluster_history(f->c), &grace);
	found = ogl_check_findings(check, &n);
	report = ogl_check_report(check);
	fake_cluster_note(f->c, report);
	g_free(report);
	for (size_t i = 0; i < n; i++) {
		if (!is_allowed_finding(&found[i]))
			fake_cluster_report_violation(f->c, "history: %s: %s",
			    found[i].invariant->name, found[i].text);
	}
	ogl_check_end(check);
}

void
fake_faults_settle(struct fake_faults *f)
{
	ogl_time end = fake_cluster_now(f->c) + SETTLE_S * OGL_SEC;

	fake_cluster_heal(f->c);
	for (guint i = 0; i < f->faults->len; i++)
		record_fault(g_ptr_array_index(f->faults, i), false);
	start_dead_nodes(f);
	/* A node asked to stop just before the end may take this long. */
	fake_cluster_run(f->c, 15 * OGL_SEC);
	start_dead_nodes(f);
	fake_cluster_run(f->c, 15 * OGL_SEC);
	record_over(f);
	while (!all_ended(f) && fake_cluster_now(f->c) < end)
		fake_cluster_run(f->c, POLL_INTERVAL_MS * OGL_MS);
	report_unended(f);
	fake_cluster_run(f->c, 15 * OGL_SEC);
	for (uint32_t i = 0; i < 3; i++) {
		uint32_t n = fake_cluster_team_running(f->c, teams[i]);

		if (n > 0)
			fake_cluster_report_violation(f->c,
			    "%u tasks of team %s run though all has ended", n,
			    teams[i]);
	}
	fake_cluster_check_answers(f->c);
	check_history(f);
}
