/*
 * Benefit and cost of reclaiming lent capacity by preemption.
 *
 * Four teams with weights 2, 2, 1 and 1 share 40 workers of 16 processors.
 * Three teams always have work waiting.  The second team alternates between
 * 300 s of absence and 300 s of presence, and withdraws its waiting work when
 * it leaves.  Run times are bounded Pareto (alpha 1.1) from 2 to 15 minutes,
 * and in a second mix (`_quick`) from 10 s, where processors become free all
 * the time.  One task in ten can't be restarted.  The queue and the placer are
 * those of the library.
 *
 * Three modes are compared: without preemption (`_off`); with preemption where
 * a preempted task starts over (`_stop`, the worst case); with preemption where
 * a task is checkpointed and resumed (no suffix), which takes 2 s before its
 * processors are free and 5 s at each restart.  All modes run the same seeds.
 *
 * Share error: in each window of 10 s with at least 90% of the processors in
 * use, the processor time used is divided among the teams by weight.  A team
 * without waiting work at some time of the window is entitled to at most what
 * it used.  The error is the largest deviation of a team from its entitlement.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lend.h"
#include "lib_mix.h"

#define TEAMS 4
#define WORKERS 40
#define CPUS 16
#define BACKLOG_TASKS 100
#define TIME_STEP (200 * OGL_MS)
#define RUN_LENGTH (7200 * OGL_SEC)
#define WINDOW (10 * OGL_SEC)
#define PHASE_LENGTH (300 * OGL_SEC)
#define RETURNING_TEAM 1
#define CHECKPOINT_TIME (2 * OGL_SEC)
#define RESTORE_TIME (5 * OGL_SEC)
#define TASK_RUN_MAX_S 900.0
#define TASK_RUN_ALPHA 1.1
#define REACHED_PART 0.9
#define PLACE_FAILURES_MAX 64
#define SEEDS 5
#define COST_ROUNDS 15
#define COST_TASKS 5000
#define COST_WAITING 50000

enum mode {
	MODE_OFF,  /* no preemption */
	MODE_STOP, /* preempted tasks start over */
	MODE_SAVE, /* preempted tasks resume from a checkpoint */
	MODES
};

static const char *const suffix[MODES] = {"_off", "_stop", ""};
static const char *const names[TEAMS] = {"a", "b", "c", "d"};
static const double weights[TEAMS] = {2, 2, 1, 1};

struct task {
	uint32_t team;
	struct ogl_demand ask;
	bool restartable;
	bool running;
	ogl_time left; /* remaining run time */
	ogl_time since;
	ogl_time ends_at;
	ogl_time freed_at; /* preempted: when its processors are free; else 0 */
	uint32_t worker;
	uint32_t preemptions;
	uint32_t failure_rank; /* order of failed placements; 0 not tried */
};

struct cell {
	enum mode mode;
	double run_min_s;
	struct mix mix;
	struct ogl_place *place;
	struct ogl_queue *queue;
	struct ogl_lend *lend;
	GPtrArray *tasks; /* struct task, by ID - 1; NULL once done */
	uint32_t waiting[TEAMS];
	double cpus_held[TEAMS];     /* by running tasks */
	double window_cpu_s[TEAMS];  /* in the current window */
	bool backlog_emptied[TEAMS]; /* at some time of the window */
	ogl_time now;
	ogl_time returned_at; /* 0: the team is absent or has its share */
	/* Results. */
	GArray *errors;
	GArray *returns; /* seconds */
	uint32_t returns_missed;
	double cpu_s_used;
	double cpu_s_lost;
	uint64_t preempted;
};

static void
cell_init(struct cell *c, enum mode mode, double run_min_s, uint64_t seed)
{
	struct ogl_res cap = {CPUS * 1000, CPUS * 4096, 0};

	memset(c, 0, sizeof *c);
	c->mode = mode;
	c->run_min_s = run_min_s;
	c->mix.state = seed;
	c->now = 1000000 * OGL_SEC;
	c->place = ogl_place_init(seed);
	c->queue = ogl_queue_init(&ogl_queue_learned, seed);
	c->lend = ogl_lend_init();
	c->tasks = g_ptr_array_new_with_free_func(g_free);
	c->errors = g_array_new(FALSE, FALSE, sizeof(double));
	c->returns = g_array_new(FALSE, FALSE, sizeof(double));
	for (uint32_t i = 0; i < WORKERS; i++) {
		char name[16], rack[16];
		uint32_t w;

		g_snprintf(name, sizeof name, "w%u", i);
		g_snprintf(rack, sizeof rack, "r%u", i / 8);
		w = ogl_place_worker(c->place, name, &cap, "z", rack);
		ogl_place_set_state(c->place, w, OGL_PLACE_SCHEDULABLE);
	}
	for (uint32_t t = 0; t < TEAMS; t++) {
		ogl_queue_set_share(c->queue, names[t], weights[t]);
		ogl_lend_set_weight(c->lend, names[t], weights[t]);
	}
}

static void
cell_clear(struct cell *c)
{
	ogl_place_end(c->place);
	ogl_queue_end(c->queue);
	ogl_lend_end(c->lend);
	g_ptr_array_free(c->tasks, TRUE);
	g_array_free(c->errors, TRUE);
	g_array_free(c->returns, TRUE);
}

/* ---- work ------------------------------------------------------------- */

static void
push(struct cell *c, uint64_t id, struct task *p)
{
	struct ogl_work w = {0};

	w.id = id;
	w.team = names[p->team];
	w.label = "";
	w.kind = p->ask.kind;
	w.tasks = 1;
	w.res = p->ask.res;
	w.waiting_since = p->since;
	w.preempted = p->preemptions > 0;
	ogl_queue_push(c->queue, &w, c->now);
	c->waiting[p->team]++;
}

static void
arrive(struct cell *c, uint32_t team)
{
	struct task *p = g_new0(struct task, 1);
	uint32_t cpus = 1u << (uint32_t)(mix_uniform(&c->mix) * 3);
	double run =
	    mix_pareto(&c->mix, c->run_min_s, TASK_RUN_MAX_S, TASK_RUN_ALPHA);

	p->team = team;
	p->ask.kind = OGL__KIND__batch;
	p->ask.res.cpu_milli = cpus * 1000;
	p->ask.res.mem_mb = cpus * 3072;
	p->restartable = mix_uniform(&c->mix) >= 0.1;
	p->left = (ogl_time)(run * OGL_SEC);
	p->since = c->now;
	g_ptr_array_add(c->tasks, p);
	p->ask.job = c->tasks->len;
	push(c, c->tasks->len, p);
}

static double
cpus_of(const struct task *p)
{
	return p->ask.res.cpu_milli / 1000.0;
}

static void
release_worker(struct cell *c, uint64_t id, struct task *p)
{
	double ran = (double)(c->now - p->since) / OGL_SEC * cpus_of(p);

	ogl_place_free(c->place, p->worker, &p->ask);
	c->cpus_held[p->team] -= cpus_of(p);
	c->cpu_s_used += ran;
	p->running = false;
	ogl_queue_ended(c->queue, id, true, c->now);
}

/* The processors of a preempted task are free; the task is queued again. */
static void
requeue_preempted(struct cell *c, uint64_t id, struct task *p)
{
	double ran = (double)(c->now - p->since) / OGL_SEC * cpus_of(p);
	ogl_time done = c->now - CHECKPOINT_TIME - p->since;

	release_worker(c, id, p);
	if (c->mode == MODE_STOP) {
		c->cpu_s_lost += ran;
	} else {
		p->left = MAX(p->left - done, 0) + RESTORE_TIME;
		c->cpu_s_lost += cpus_of(p) *
				 (double)(CHECKPOINT_TIME + RESTORE_TIME) /
				 OGL_SEC;
	}
	p->freed_at = 0;
	p->since = c->now;
	push(c, id, p);
}

static void
end_due_tasks(struct cell *c)
{
	for (guint i = 0; i < c->tasks->len; i++) {
		struct task *p = g_ptr_array_index(c->tasks, i);

		if (p == NULL || !p->running)
			continue;
		if (p->freed_at != 0 && p->freed_at <= c->now) {
			requeue_preempted(c, i + 1, p);
		} else if (p->freed_at == 0 && p->ends_at <= c->now) {
			release_worker(c, i + 1, p);
			g_free(p);
			g_ptr_array_index(c->tasks, i) = NULL;
		}
	}
}

static void
start_waiting(struct cell *c)
{
	struct ogl_work w;
	uint32_t failures = 0;

	for (guint i = 0; i < c->tasks->len; i++) {
		struct task *p = g_ptr_array_index(c->tasks, i);

		if (p != NULL)
			p->failure_rank = 0;
	}
	ogl_queue_retry_deferred(c->queue, c->now);
	while (failures < PLACE_FAILURES_MAX &&
	       ogl_queue_pop(c->queue, c->now, &w)) {
		struct task *p = g_ptr_array_index(c->tasks, w.id - 1);

		if (!ogl_place_task(c->place, &p->ask, c->now, &p->worker)) {
			ogl_queue_defer(c->queue, w.id, c->now);
			p->failure_rank = ++failures;
			continue;
		}
		ogl_queue_started(c->queue, &w, c->now);
		c->waiting[p->team]--;
		c->cpus_held[p->team] += cpus_of(p);
		p->running = true;
		p->since = c->now;
		p->ends_at = c->now + p->left;
	}
}

/* ---- preemption ------------------------------------------------------- */

static void
describe_cell(struct cell *c, GArray *ids)
{
	struct ogl_res cap = {CPUS * 1000, CPUS * 4096, 0};
	struct ogl_res room[WORKERS];

	for (uint32_t w = 0; w < WORKERS; w++)
		room[w] = cap;
	for (guint i = 0; i < c->tasks->len; i++) {
		const struct task *p = g_ptr_array_index(c->tasks, i);

		if (p != NULL && p->running)
			ogl_res_sub(&room[p->worker], &p->ask.res);
	}
	for (uint32_t w = 0; w < WORKERS; w++)
		ogl_lend_add_worker(c->lend, &cap, &room[w]);
	for (guint i = 0; i < c->tasks->len; i++) {
		const struct task *p = g_ptr_array_index(c->tasks, i);

		if (p == NULL)
			continue;
		struct ogl_lend_pending want = {
		    names[p->team], p->ask.res, 1, p->failure_rank, p->since};
		struct ogl_lend_task task = {i + 1, i + 1, names[p->team],
		    p->ask.kind, p->ask.res, p->worker, p->since,
		    p->restartable, p->freed_at != 0};
		if (p->running) {
			ogl_lend_add_task(c->lend, &task);
			g_array_append_val(ids, i);
		} else {
			ogl_lend_add_pending(c->lend, &want);
		}
	}
}

static void
preempt(struct cell *c)
{
	const struct ogl_lend_preemption *takes;
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(guint));
	size_t n;

	ogl_lend_begin(c->lend, c->now);
	describe_cell(c, ids);
	n = ogl_lend_decide(c->lend, c->now, &takes);
	for (size_t i = 0; i < n; i++) {
		guint at = g_array_index(ids, guint, takes[i].task);
		struct task *p = g_ptr_array_index(c->tasks, at);

		if (takes[i].mode != OGL__STOP_MODE__checkpoint)
			continue;
		p->freed_at =
		    c->now + (c->mode == MODE_STOP ? 0 : CHECKPOINT_TIME);
		p->preemptions++;
		c->preempted++;
	}
	g_array_free(ids, TRUE);
}

/* ---- measurements ----------------------------------------------------- */

static void
end_window(struct cell *c)
{
	double all = 0, left, weight = 0, worst = 0;
	double entitled[TEAMS];
	bool backlogged[TEAMS], again = true;

	for (int t = 0; t < TEAMS; t++) {
		all += c->window_cpu_s[t];
		weight += weights[t];
		backlogged[t] = true;
	}
	left = all;
	while (again) {
		again = false;
		for (int t = 0; t < TEAMS; t++) {
			if (!backlogged[t] || !c->backlog_emptied[t] ||
			    c->window_cpu_s[t] > left * weights[t] / weight)
				continue;
			backlogged[t] = false;
			again = true;
			entitled[t] = c->window_cpu_s[t];
			left -= entitled[t];
			weight -= weights[t];
		}
	}
	for (int t = 0; t < TEAMS; t++) {
		double e =
		    backlogged[t] ? left * weights[t] / weight : entitled[t];

		if (e > 0)
			worst =
			    MAX(worst, ABS(c->window_cpu_s[t] - e) / e * 100);
		c->window_cpu_s[t] = 0;
		c->backlog_emptied[t] = c->waiting[t] == 0;
	}
	if (all >= 0.9 * WORKERS * CPUS * WINDOW / OGL_SEC)
		g_array_append_val(c->errors, worst);
}

static void
check_return(struct cell *c)
{
	double all = 0, sum = 0, sec;

	if (c->returned_at == 0)
		return;
	for (int t = 0; t < TEAMS; t++) {
		all += c->cpus_held[t];
		sum += weights[t];
	}
	if (c->cpus_held[RETURNING_TEAM] <
	    REACHED_PART * all * weights[RETURNING_TEAM] / sum)
		return;
	sec = (double)(c->now - c->returned_at) / OGL_SEC;
	g_array_append_val(c->returns, sec);
	c->returned_at = 0;
}

/* ---- simulation ------------------------------------------------------- */

static void
drop_waiting(struct cell *c, uint32_t team)
{
	for (guint i = 0; i < c->tasks->len; i++) {
		struct task *p = g_ptr_array_index(c->tasks, i);

		if (p == NULL || p->team != team || p->running)
			continue;
		ogl_queue_remove(c->queue, i + 1);
		c->waiting[team]--;
		g_free(p);
		g_ptr_array_index(c->tasks, i) = NULL;
	}
}

static void
switch_returning_team(struct cell *c, ogl_time at, bool *present)
{
	bool now_present = at / PHASE_LENGTH % 2 == 1;
	double sec = (double)PHASE_LENGTH / OGL_SEC;

	if (now_present && !*present)
		c->returned_at = c->now;
	if (!now_present && *present) {
		drop_waiting(c, RETURNING_TEAM);
		if (c->returned_at != 0) {
			c->returns_missed++;
			g_array_append_val(c->returns, sec);
		}
		c->returned_at = 0;
	}
	*present = now_present;
}

static void
run(struct cell *c)
{
	ogl_time start = c->now;
	bool present = false;

	for (ogl_time at = 0; at < RUN_LENGTH; at += TIME_STEP) {
		c->now = start + at;
		end_due_tasks(c);
		switch_returning_team(c, at, &present);
		for (uint32_t t = 0; t < TEAMS; t++) {
			while ((t != RETURNING_TEAM || present) &&
			       c->waiting[t] < BACKLOG_TASKS)
				arrive(c, t);
		}
		start_waiting(c);
		if (c->mode != MODE_OFF && c->now >= ogl_lend_next(c->lend))
			preempt(c);
		check_return(c);
		for (int t = 0; t < TEAMS; t++) {
			c->window_cpu_s[t] +=
			    c->cpus_held[t] * TIME_STEP / OGL_SEC;
			c->backlog_emptied[t] |= c->waiting[t] == 0;
		}
		if ((at + TIME_STEP) % WINDOW == 0)
			end_window(c);
	}
	for (guint i = 0; i < c->tasks->len; i++) {
		struct task *p = g_ptr_array_index(c->tasks, i);

		if (p != NULL && p->running)
			c->cpu_s_used +=
			    (double)(c->now - p->since) / OGL_SEC * cpus_of(p);
	}
}

static double
quantile(GArray *v, double q)
{
	if (v->len == 0)
		return 0;
	g_array_sort(v, mix_compare_double);
	return g_array_index(v, double, (guint)(q * (v->len - 1)));
}

static void
print_value(const char *name, const char *mix, const char *mode, double v,
    const char *unit)
{
	printf("lend_%s%s%s %.2f %s\n", name, mix, mode, v, unit);
}

static void
measure_mode(enum mode mode, const char *mix, double run_min_s)
{
	GArray *errors = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *returns = g_array_new(FALSE, FALSE, sizeof(double));
	double cpu_s_used = 0, cpu_s_lost = 0;
	uint64_t preempted = 0;
	uint32_t returns_missed = 0;
	const char *s = suffix[mode];

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct cell c;

		cell_init(&c, mode, run_min_s, seed);
		run(&c);
		g_array_append_vals(errors, c.errors->data, c.errors->len);
		g_array_append_vals(returns, c.returns->data, c.returns->len);
		cpu_s_used += c.cpu_s_used;
		cpu_s_lost += c.cpu_s_lost;
		preempted += c.preempted;
		returns_missed += c.returns_missed;
		cell_clear(&c);
	}
	print_value("return_p50_s", mix, s, quantile(returns, 0.5), "s");
	print_value("return_max_s", mix, s, quantile(returns, 1), "s");
	print_value("return_missed", mix, s, returns_missed, "times");
	print_value("share_error_p50_pct", mix, s, quantile(errors, 0.5), "%");
	print_value("share_error_p95_pct", mix, s, quantile(errors, 0.95), "%");
	print_value("share_error_max_pct", mix, s, quantile(errors, 1), "%");
	print_value("lost_pct", mix, s, cpu_s_lost / cpu_s_used * 100, "%");
	print_value("taken", mix, s, (double)preempted, "tasks");
	g_array_free(errors, TRUE);
	g_array_free(returns, TRUE);
}

/* Cost of one round in a large shard.  One team's tasks use all of its
 * processors, and all teams have tasks waiting. */
static void
cost(void)
{
	struct ogl_res cap = {CPUS * 1000, CPUS * 4096, 0};
	struct ogl_res none = {0}, one = {1000, 4096, 0};
	struct ogl_lend *l = ogl_lend_init();
	const struct ogl_lend_preemption *takes;
	double us[COST_ROUNDS];
	ogl_time now = 1000000 * OGL_SEC;

	for (int k = 0; k < COST_ROUNDS; k++) {
		double t = mix_now_ns();

		now += 100 * OGL_SEC;
		ogl_lend_begin(l, now);
		for (uint32_t i = 0; i < COST_TASKS / CPUS; i++)
			ogl_lend_add_worker(l, &cap, &none);
		for (uint32_t i = 0; i < COST_TASKS / CPUS * CPUS; i++) {
			struct ogl_lend_task task = {i + 1, i + 1, names[0],
			    OGL__KIND__batch, one, i / CPUS,
			    now - (ogl_time)(i * 7919 % 900) * OGL_SEC, true,
			    false};

			ogl_lend_add_task(l, &task);
		}
		for (uint32_t i = 0; i < COST_WAITING; i++) {
			struct ogl_lend_pending want = {names[i % TEAMS], one,
			    1, i < PLACE_FAILURES_MAX ? i + 1 : 0,
			    now - 50 * OGL_SEC};

			ogl_lend_add_pending(l, &want);
		}
		ogl_lend_decide(l, now, &takes);
		us[k] = (mix_now_ns() - t) / 1000;
	}
	qsort(us, COST_ROUNDS, sizeof us[0], mix_compare_double);
	printf("lend_round_us_%d %.0f us\n", COST_TASKS, us[COST_ROUNDS / 2]);
	ogl_lend_end(l);
}

int
main(void)
{
	for (int m = 0; m < MODES; m++) {
		measure_mode((enum mode)m, "_quick", 10);
		measure_mode((enum mode)m, "", 120);
	}
	cost();
	return 0;
}
