/*
 * Random load and faults.
 *
 * Two chains of doings run through the cluster's heap: one lets a caller do
 * something every now and then, the other begins a fault and plans its end.
 * A fault is a row of a table: what begins it, what ends it, and how long it
 * lasts at most.  One in three begins together with another.
 */

#include <string.h>

#include "check.h"
#include "fake_faults.h"

enum {
	UP_S = 8,          /* until the cell is up */
	SETTLE_S = 150,    /* accepted work ends within it */
	GAP_LEAST_MS = 30, /* between two doings of callers */
	GAP_SPREAD_MS = 200,
	FAULT_LEAST_MS = 500, /* between two faults */
	FAULT_SPREAD_MS = 6000,
	LIMIT_A = 12, /* tasks of team a, its subteams included */
	TASKS_MOST = 4,
	LOOK_MS = 1000 /* between looks at jobs at the end */
};

/* One job that was, or may have been, accepted. */
struct load_job {
	uint32_t call; /* its first submission */
	uint32_t tasks;
	bool restartable;
	char *id; /* once known */
	bool ended;
};

struct fake_faults {
	struct fake_cluster *c;
	struct fake_cluster_config cfg;
	ogl_time until;
	char *keys[3];
	uint32_t count;
	uint32_t names;    /* of replaced nodes */
	GPtrArray *jobs;   /* struct load_job */
	GArray *once;      /* uint32_t: calls with an id, not idempotent */
	GPtrArray *lapses; /* struct lapse */
};

static const char *const teams[3] = {"a", "a/x", "b"};

static uint64_t
below(struct fake_faults *f, uint64_t n)
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
	uint32_t n = (uint32_t)below(f, f->cfg.nodes);

	for (uint32_t i = 0; i < f->cfg.nodes; i++) {
		if (fake_cluster_alive(f->c, (n + i) % f->cfg.nodes))
			return (n + i) % f->cfg.nodes;
	}
	return UINT32_MAX;
}

static uint32_t
send_call(struct fake_faults *f, struct fake_ask *a)
{
	uint32_t node = live_node(f);

	if (node == UINT32_MAX)
		return UINT32_MAX;
	return fake_cluster_call(f->c, node, a);
}

/* The same call again, at whatever node. */
static void
send_again(struct fake_faults *f, uint32_t call)
{
	const struct fake_call *k = fake_cluster_answer(f->c, call);
	struct fake_ask a = {.method = k->method,
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
do_request(struct fake_faults *f, bool idempotent, bool with_id)
{
	uint32_t t = (uint32_t)below(f, 3);
	char *body = g_strdup_printf(
	    "r%u run_ms=%u", ++f->count, (unsigned)below(f, 60) + 1);
	char *id = g_strdup_printf("id%u", f->count);
	struct fake_ask a = {.method = "POST",
	    .path = "/v1/requests",
	    .key = f->keys[t],
	    .team = teams[t],
	    .id = with_id ? id : "",
	    .body = body,
	    .idempotent = idempotent,
	    .budget_ms = below(f, 4) == 0 ? 200 : 0};
	uint32_t call = send_call(f, &a);

	if (with_id && call != UINT32_MAX) {
		g_array_append_val(f->once, call);
		if (below(f, 4) == 0)
			send_again(f, call);
	}
	g_free(body);
	g_free(id);
}

static void
do_submit(struct fake_faults *f)
{
	static const char *const kinds[] = {"batch", "service", "gang"};
	uint32_t t = (uint32_t)below(f, 3);
	uint32_t run = 100 + (uint32_t)below(f, 4000);
	struct load_job *j = g_new0(struct load_job, 1);
	uint32_t declared = below(f, 3) == 0 ? run * 10 : run;
	char *id = g_strdup_printf("job%u", ++f->count);
	char *body;
	struct fake_ask a = {.method = "POST",
	    .path = "/v1/jobs",
	    .key = f->keys[t],
	    .team = teams[t],
	    .id = id};

	j->tasks = 1 + (uint32_t)below(f, TASKS_MOST);
	j->restartable = below(f, 2) == 0;
	body = g_strdup_printf("{\"kind\":\"%s\",\"tasks\":%u,\"res\":"
			       "{\"cpu_milli\":%u,\"mem_mb\":%u},\"run_ms\":%u,"
			       "\"payload\":\"run_ms=%u j%u\","
			       "\"restartable\":%s}",
	    kinds[below(f, 3)], j->tasks, 200 + (unsigned)below(f, 1800),
	    100 + (unsigned)below(f, 4000), declared, run, f->count,
	    j->restartable ? "true" : "false");
	a.body = body;
	j->call = send_call(f, &a);
	if (j->call == UINT32_MAX) {
		job_free(j);
	} else {
		g_ptr_array_add(f->jobs, j);
		if (below(f, 6) == 0)
			send_again(f, j->call);
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

/* The job's name, once its submission, or a repetition of that, has been
 * answered; NULL before. */
static const char *
job_id(struct fake_faults *f, struct load_job *j)
{
	const struct fake_call *first = fake_cluster_answer(f->c, j->call);
	uint32_t n = fake_cluster_calls(f->c);

	for (uint32_t i = j->call; j->id == NULL && i < n; i++) {
		const struct fake_call *k = fake_cluster_answer(f->c, i);

		if (k->done && k->status == 202 && same_submit(k, first))
			j->id = fake_cluster_field(k->answer, "job");
	}
	return j->id;
}

static void
do_job_call(struct fake_faults *f, const char *method)
{
	struct load_job *j;
	const struct fake_call *k;
	struct fake_ask a = {.method = method};
	char *path;

	if (f->jobs->len == 0)
		return;
	j = g_ptr_array_index(f->jobs, below(f, f->jobs->len));
	if (job_id(f, j) == NULL)
		return;
	k = fake_cluster_answer(f->c, j->call);
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

/* The newest version an edit's answer has told. */
static char *
version_told(struct fake_faults *f)
{
	for (uint32_t i = fake_cluster_calls(f->c); i > 0; i--) {
		const struct fake_call *k = fake_cluster_answer(f->c, i - 1);

		if (k->done && k->status == 200 &&
		    strcmp(k->path, "/v1/settings") == 0 &&
		    strcmp(k->method, "POST") == 0)
			return fake_cluster_field(k->answer, "version");
	}
	return g_strdup("0");
}

/* An operator changes a share, at times from an old version. */
static void
do_edit(struct fake_faults *f)
{
	char *base = version_told(f);
	char *body = g_strdup_printf(
	    "{\"base_version\":%s,\"who\":\"\",\"changes\":[{\"path\":"
	    "\"teams/%s/share\",\"value\":\"%u\"}]}",
	    base, teams[below(f, 3)], 1 + (unsigned)below(f, 9));
	struct fake_ask a = {.method = "POST",
	    .path = "/v1/settings",
	    .key = fake_cluster_operator(f->c),
	    .body = body};

	send_call(f, &a);
	g_free(base);
	g_free(body);
}

static void
do_something(struct fake_faults *f)
{
	uint32_t dice = (uint32_t)below(f, 100);

	if (dice < 30)
		do_request(f, true, false);
	else if (dice < 38)
		do_request(f, false, false);
	else if (dice < 55)
		do_request(f, false, true);
	else if (dice < 62 && f->once->len > 0)
		send_again(f,
		    g_array_index(f->once, uint32_t, below(f, f->once->len)));
	else if (dice < 83)
		do_submit(f);
	else if (dice < 85)
		do_edit(f);
	else
		do_job_call(f, dice < 92 ? "DELETE" : "GET");
}

static void
load_chain(struct fake_cluster *c, void *ctx)
{
	struct fake_faults *f = ctx;
	ogl_time now = fake_cluster_now(c);

	if (now >= f->until)
		return;
	do_something(f);
	fake_cluster_at(c,
	    now + (GAP_LEAST_MS + (ogl_time)below(f, GAP_SPREAD_MS)) * OGL_MS,
	    load_chain, f);
}

/* ---- faults ----------------------------------------------------------- */

/* A fault that has begun. */
struct lapse {
	struct fake_faults *f;
	const struct fault_row *row;
	uint32_t a, b;
};

struct fault_row {
	const char *name;
	uint32_t most_ms;
	void (*begin)(struct lapse *l, ogl_time length);
	void (*end)(struct lapse *l);
};

static void
peers_lossy(struct lapse *l, ogl_time length)
{
	(void)length;
	fake_cluster_net(l->f->c)->peer_lost = 300;
}

static void
peers_well(struct lapse *l)
{
	fake_cluster_net(l->f->c)->peer_lost = 0;
}

static void
peers_mixed(struct lapse *l, ogl_time length)
{
	struct fake_net *n = fake_cluster_net(l->f->c);

	(void)length;
	n->peer_doubled = 200;
	n->peer_late = 400;
	n->late = 800 * OGL_MS;
}

static void
peers_ordered(struct lapse *l)
{
	struct fake_net *n = fake_cluster_net(l->f->c);

	n->peer_doubled = 0;
	n->peer_late = 0;
}

static void
cut_pair(struct lapse *l, ogl_time length)
{
	(void)length;
	if (l->a != l->b)
		fake_cluster_cut(l->f->c, l->a, FAKE_NODE, l->b, true);
}

static void
heal_pair(struct lapse *l)
{
	if (l->a != l->b)
		fake_cluster_cut(l->f->c, l->a, FAKE_NODE, l->b, false);
}

static void
alone(struct lapse *l, bool cut)
{
	for (uint32_t i = 0; i < l->f->cfg.nodes; i++) {
		if (i != l->a)
			fake_cluster_cut(l->f->c, l->a, FAKE_NODE, i, cut);
	}
	if (l->b % 2 == 0)
		fake_cluster_cut(l->f->c, l->a, FAKE_LOG, 0, cut);
}

static void
cut_alone(struct lapse *l, ogl_time length)
{
	(void)length;
	alone(l, true);
}

static void
heal_alone(struct lapse *l)
{
	alone(l, false);
}

static void
cut_log(struct lapse *l, ogl_time length)
{
	(void)length;
	fake_cluster_cut(l->f->c, l->a, FAKE_LOG, 0, true);
}

static void
heal_log(struct lapse *l)
{
	fake_cluster_cut(l->f->c, l->a, FAKE_LOG, 0, false);
}

static void
cut_hosts(struct lapse *l, ogl_time length)
{
	(void)length;
	fake_cluster_cut(l->f->c, l->a, FAKE_HOSTS, 0, true);
}

static void
heal_hosts(struct lapse *l)
{
	fake_cluster_cut(l->f->c, l->a, FAKE_HOSTS, 0, false);
}

static void
cut_worker(struct lapse *l, ogl_time length)
{
	(void)length;
	fake_cluster_cut(
	    l->f->c, l->a, FAKE_WORKER, l->b % l->f->cfg.workers, true);
}

static void
heal_worker(struct lapse *l)
{
	fake_cluster_cut(
	    l->f->c, l->a, FAKE_WORKER, l->b % l->f->cfg.workers, false);
}

static void
log_down(struct lapse *l, ogl_time length)
{
	(void)length;
	fake_log_script(fake_cluster_log(l->f->c))->outage = true;
}

static void
log_up(struct lapse *l)
{
	fake_log_script(fake_cluster_log(l->f->c))->outage = false;
}

static void
log_slow(struct lapse *l, ogl_time length)
{
	(void)length;
	fake_log_script(fake_cluster_log(l->f->c))->slow =
	    (200 + (ogl_time)below(l->f, 1500)) * OGL_MS;
}

static void
log_quick(struct lapse *l)
{
	fake_log_script(fake_cluster_log(l->f->c))->slow = 0;
}

static void
log_loses(struct lapse *l, ogl_time length)
{
	(void)length;
	fake_cluster_net(l->f->c)->append_lost = 400;
}

static void
log_keeps(struct lapse *l)
{
	fake_cluster_net(l->f->c)->append_lost = 0;
}

static void
kill_node(struct lapse *l, ogl_time length)
{
	(void)length;
	fake_cluster_kill(l->f->c, l->a);
}

static void
stop_node(struct lapse *l, ogl_time length)
{
	(void)length;
	fake_cluster_stop(l->f->c, l->a);
}

static void
start_node(struct lapse *l)
{
	char *name = NULL;

	if (l->b % 2 == 0)
		name = g_strdup_printf("m%u", l->f->names++);
	fake_cluster_start(l->f->c, l->a, name);
	g_free(name);
}

static void
kill_all(struct lapse *l, ogl_time length)
{
	(void)length;
	for (uint32_t i = 0; i < l->f->cfg.nodes; i++)
		fake_cluster_kill(l->f->c, i);
}

static void
start_all(struct lapse *l)
{
	for (uint32_t i = 0; i < l->f->cfg.nodes; i++) {
		l->a = i;
		start_node(l);
	}
}

static void
pause_node(struct lapse *l, ogl_time length)
{
	fake_cluster_pause(l->f->c, l->a, length);
}

static void
pause_sending(struct lapse *l, ogl_time length)
{
	static const enum ogl_action_type types[] = {
	    OGL_ACT_WORKER, OGL_ACT_LOG_APPEND, OGL_ACT_EXEC, OGL_ACT_PEER};

	fake_cluster_pause_sending(l->f->c, l->a, types[l->b % 4], length);
}

static void
nothing(struct lapse *l)
{
	(void)l;
}

static struct fake_worker *
worker_of(struct lapse *l)
{
	return fake_cluster_worker(l->f->c, l->b % l->f->cfg.workers);
}

static void
worker_down(struct lapse *l, ogl_time length)
{
	(void)length;
	fake_worker_script(worker_of(l))->down = true;
}

static void
worker_up(struct lapse *l)
{
	fake_worker_script(worker_of(l))->down = false;
}

static void
worker_crash(struct lapse *l, ogl_time length)
{
	(void)length;
	fake_cluster_restart_worker(l->f->c, l->b % l->f->cfg.workers);
}

static void
worker_broken(struct lapse *l, ogl_time length)
{
	(void)length;
	fake_worker_script(worker_of(l))->fail_all = true;
}

static void
worker_mended(struct lapse *l)
{
	fake_worker_script(worker_of(l))->fail_all = false;
}

/* What leaves does not come back before the end; the first never leaves, so
 * that some are left. */
static void
worker_leaves(struct lapse *l, ogl_time length)
{
	(void)length;
	if (l->b % l->f->cfg.workers == 0)
		return;
	fake_worker_script(worker_of(l))->leaving = true;
	fake_cluster_leaving(
	    l->f->c, FAKE_WORKER, l->b % l->f->cfg.workers, true);
}

static void
syncs_lossy(struct lapse *l, ogl_time length)
{
	(void)length;
	fake_cluster_net(l->f->c)->sync_lost = 200;
	fake_cluster_net(l->f->c)->report_lost = 300;
}

static void
syncs_well(struct lapse *l)
{
	fake_cluster_net(l->f->c)->sync_lost = 0;
	fake_cluster_net(l->f->c)->report_lost = 0;
}

static struct fake_exec_script *
exec_of(struct lapse *l)
{
	return fake_exec_script(
	    fake_cluster_exec(l->f->c, l->b % l->f->cfg.execs));
}

static void
exec_bad(struct lapse *l, ogl_time length)
{
	struct fake_exec_script *s = exec_of(l);

	(void)length;
	s->fail_all = l->a % 2 == 0;
	s->lose = 5;
	s->cut = 5;
	s->cross = 5;
	s->late = (ogl_time)below(l->f, 3000) * OGL_MS;
}

static void
exec_good(struct lapse *l)
{
	struct fake_exec_script *s = exec_of(l);
	bool leaving = s->leaving;

	memset(s, 0, sizeof *s);
	s->leaving = leaving;
}

static void
exec_leaves(struct lapse *l, ogl_time length)
{
	(void)length;
	if (l->b % l->f->cfg.execs == 0)
		return;
	exec_of(l)->leaving = true;
	fake_cluster_leaving(l->f->c, FAKE_EXEC, l->b % l->f->cfg.execs, true);
}

static void
answers_lost(struct lapse *l, ogl_time length)
{
	(void)length;
	fake_cluster_net(l->f->c)->request_lost = 300;
}

static void
answers_come(struct lapse *l)
{
	fake_cluster_net(l->f->c)->request_lost = 0;
}

static void
hosts_lag(struct lapse *l, ogl_time length)
{
	(void)length;
	fake_cluster_net(l->f->c)->hosts_lag = 20 * OGL_SEC;
}

static void
hosts_recent(struct lapse *l)
{
	fake_cluster_net(l->f->c)->hosts_lag = 2 * OGL_SEC;
}

/* Cancellations in a wave. */
static void
cancel_wave(struct lapse *l, ogl_time length)
{
	(void)length;
	for (uint32_t i = 0; i < 15; i++)
		do_job_call(l->f, "DELETE");
}

static const struct fault_row fault_table[] = {
    {"peers lose messages", 10000, peers_lossy, peers_well},
    {"peers' messages late and doubled", 10000, peers_mixed, peers_ordered},
    {"two nodes cut off from each other", 15000, cut_pair, heal_pair},
    {"a node cut off from all others", 15000, cut_alone, heal_alone},
    {"a node cut off from the log", 15000, cut_log, heal_log},
    {"a node without host list", 15000, cut_hosts, heal_hosts},
    {"a node cut off from a worker", 15000, cut_worker, heal_worker},
    {"log down", 20000, log_down, log_up},
    {"log slow", 10000, log_slow, log_quick},
    {"log loses answers", 10000, log_loses, log_keeps},
    {"node killed", 8000, kill_node, start_node},
    {"node stopped", 8000, stop_node, start_node},
    {"all nodes killed", 3000, kill_all, start_all},
    {"node paused", 12000, pause_node, nothing},
    {"node paused before it sends", 12000, pause_sending, nothing},
    {"worker down", 20000, worker_down, worker_up},
    {"worker restarts", 1000, worker_crash, nothing},
    {"worker fails all", 10000, worker_broken, worker_mended},
    {"worker leaves", 15000, worker_leaves, nothing},
    {"syncs lost", 10000, syncs_lossy, syncs_well},
    {"executor misbehaves", 10000, exec_bad, exec_good},
    {"executor leaves", 10000, exec_leaves, nothing},
    {"executors' answers lost", 8000, answers_lost, answers_come},
    {"host list lags", 20000, hosts_lag, hosts_recent},
    {"cancellations in a wave", 1000, cancel_wave, nothing},
};

static void
tell_fault(const struct lapse *l, bool on)
{
	struct history_event ev = {
	    .type = HISTORY_FAULT, .at = fake_cluster_now(l->f->c)};

	ev.u.fault.what = l->row->name;
	ev.u.fault.who = "";
	ev.u.fault.on = on;
	ogl_history_add(fake_cluster_history(l->f->c), &ev);
}

static void
end_fault(struct fake_cluster *c, void *ctx)
{
	struct lapse *l = ctx;

	(void)c;
	if (fake_cluster_now(c) < l->f->until) {
		l->row->end(l);
		tell_fault(l, false);
	}
}

static void
begin_fault(struct fake_faults *f)
{
	struct lapse *l = g_new0(struct lapse, 1);
	ogl_time length;

	l->f = f;
	l->row = &fault_table[below(f, G_N_ELEMENTS(fault_table))];
	l->a = (uint32_t)below(f, f->cfg.nodes);
	l->b = (uint32_t)below(f, f->cfg.nodes);
	length = (100 + (ogl_time)below(f, l->row->most_ms)) * OGL_MS;
	g_ptr_array_add(f->lapses, l);
	fake_cluster_note(f->c, l->row->name);
	tell_fault(l, true);
	l->row->begin(l, length);
	fake_cluster_at(f->c, fake_cluster_now(f->c) + length, end_fault, l);
}

static void
fault_chain(struct fake_cluster *c, void *ctx)
{
	struct fake_faults *f = ctx;
	ogl_time now = fake_cluster_now(c);

	if (now >= f->until)
		return;
	begin_fault(f);
	if (below(f, 3) == 0)
		begin_fault(f);
	fake_cluster_at(c,
	    now +
		(FAULT_LEAST_MS + (ogl_time)below(f, FAULT_SPREAD_MS)) * OGL_MS,
	    fault_chain, f);
}

/* ---- a run ------------------------------------------------------------ */

static void
bring_up(struct fake_faults *f)
{
	char limit[16];

	fake_cluster_run(f->c, UP_S * OGL_SEC);
	for (uint32_t i = 0; i < 3; i++) {
		char *path = g_strdup_printf("teams/%s", teams[i]);

		fake_cluster_set(f->c, 0, path, "{}");
		g_free(path);
	}
	g_snprintf(limit, sizeof limit, "%d", LIMIT_A);
	fake_cluster_set(f->c, 0, "teams/a/limit_tasks", limit);
	for (uint32_t i = 0; i < 3; i++)
		f->keys[i] = fake_cluster_key(f->c, 0, teams[i], NULL);
	fake_cluster_run(f->c, OGL_SEC);
	fake_cluster_limit(f->c, "a", LIMIT_A);
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
	f->once = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	f->lapses = g_ptr_array_new_with_free_func(g_free);
	f->c = fake_cluster_init(&f->cfg);
	fake_log_script(fake_cluster_log(f->c))->keep_age = 60 * OGL_SEC;
	bring_up(f);
	return f;
}

void
fake_faults_end(struct fake_faults *f)
{
	if (f == NULL)
		return;
	fake_cluster_end(f->c);
	g_ptr_array_free(f->jobs, TRUE);
	g_array_free(f->once, TRUE);
	g_ptr_array_free(f->lapses, TRUE);
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
	load_chain(f->c, f);
	fault_chain(f->c, f);
	fake_cluster_run(f->c, length);
}

/* ---- at the end ------------------------------------------------------- */

/* Holds a job's last view against what its tasks did. */
static void
check_view(struct fake_faults *f, struct load_job *j, const char *view)
{
	char *state = fake_cluster_field(view, "state");
	char *verdict = fake_cluster_field(view, "verdict");

	for (uint32_t i = 0; i < j->tasks; i++) {
		char *task = g_strdup_printf("%s.%u", j->id, i);
		uint32_t starts = fake_cluster_starts(f->c, task);

		if (g_strcmp0(state, "done") == 0 &&
		    !fake_cluster_succeeded(f->c, task))
			fake_cluster_fault(f->c,
			    "job %s is done, but task %s did not succeed",
			    j->id, task);
		if (g_strcmp0(verdict, "not_run") == 0 && starts > 0)
			fake_cluster_fault(f->c,
			    "job %s: not_run, but task %s started", j->id,
			    task);
		if (!j->restartable && fake_cluster_again(f->c, task) > 0)
			fake_cluster_fault(f->c,
			    "task %s may not be restarted, but started %u "
			    "times",
			    task, starts);
		g_free(task);
	}
	g_free(state);
	g_free(verdict);
}

/* Asks for a job; whether it has ended. */
static bool
look_at_job(struct fake_faults *f, struct load_job *j)
{
	const struct fake_call *k = fake_cluster_answer(f->c, j->call);
	char *path = g_strdup_printf("/v1/jobs/%s", j->id);
	struct fake_ask a = {
	    .method = "GET", .path = path, .key = fake_cluster_operator(f->c)};
	char *state;

	k = fake_cluster_ask(f->c, live_node(f), &a);
	state = fake_cluster_field(k->answer, "state");
	if (k->status == 200 && g_strcmp0(state, "queued") != 0 &&
	    g_strcmp0(state, "active") != 0) {
		j->ended = true;
		check_view(f, j, k->answer);
	}
	if (k->status == 404) {
		fake_cluster_fault(
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
			all = look_at_job(f, j);
	}
	return all;
}

/* Puts what operators see into the history. */
static void
ask_views(struct fake_faults *f)
{
	static const char *const paths[] = {
	    "/v1/shards", "/v1/queues", "/v1/workers", "/v1/members"};

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		struct fake_ask a = {.method = "GET",
		    .path = paths[i],
		    .key = fake_cluster_operator(f->c)};

		fake_cluster_ask(f->c, live_node(f), &a);
	}
}

static void
name_unended(struct fake_faults *f)
{
	bool any = false;

	for (guint i = 0; i < f->jobs->len; i++) {
		struct load_job *j = g_ptr_array_index(f->jobs, i);

		if (j->ended || j->id == NULL)
			continue;
		if (!any)
			ask_views(f);
		any = true;
		fake_cluster_fault(f->c, "job %s never ended", j->id);
	}
}

static void
start_dead(struct fake_faults *f)
{
	for (uint32_t i = 0; i < f->cfg.nodes; i++)
		fake_cluster_start(f->c, i, NULL);
}

static void
tell_over(struct fake_faults *f)
{
	struct history_event ev = {
	    .type = HISTORY_OVER, .at = fake_cluster_now(f->c)};

	ogl_history_add(fake_cluster_history(f->c), &ev);
}

/* A task that succeeded on a worker nobody could reach until its lease was
 * over is started again, if it may be; others are checked by check_view. */
static bool
is_allowed(const struct ogl_check_finding *d)
{
	return g_str_has_suffix(d->text, "succeeds twice");
}

static void
check_history(struct fake_faults *f)
{
	struct ogl_check_grace grace;
	struct ogl_check *k;
	const struct ogl_check_finding *found;
	char *report;
	size_t n;

	ogl_check_grace_default(&grace);
	k = ogl_check_run(fake_cluster_history(f->c), &grace);
	found = ogl_check_findings(k, &n);
	report = ogl_check_report(k);
	fake_cluster_note(f->c, report);
	g_free(report);
	for (size_t i = 0; i < n; i++) {
		if (!is_allowed(&found[i]))
			fake_cluster_fault(f->c, "history: %s: %s",
			    found[i].invariant->name, found[i].text);
	}
	ogl_check_end(k);
}

void
fake_faults_settle(struct fake_faults *f)
{
	ogl_time end = fake_cluster_now(f->c) + SETTLE_S * OGL_SEC;

	fake_cluster_heal(f->c);
	for (guint i = 0; i < f->lapses->len; i++)
		tell_fault(g_ptr_array_index(f->lapses, i), false);
	start_dead(f);
	/* A node told to stop before the end may take so long. */
	fake_cluster_run(f->c, 15 * OGL_SEC);
	start_dead(f);
	fake_cluster_run(f->c, 15 * OGL_SEC);
	tell_over(f);
	while (!all_ended(f) && fake_cluster_now(f->c) < end)
		fake_cluster_run(f->c, LOOK_MS * OGL_MS);
	name_unended(f);
	fake_cluster_run(f->c, 15 * OGL_SEC);
	for (uint32_t i = 0; i < 3; i++) {
		uint32_t n = fake_cluster_team_running(f->c, teams[i]);

		if (n > 0)
			fake_cluster_fault(f->c,
			    "%u tasks of team %s run though all has ended", n,
			    teams[i]);
	}
	fake_cluster_check(f->c);
	check_history(f);
}
