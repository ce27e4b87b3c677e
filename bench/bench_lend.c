/*
 * What taking lent room back gains and costs.
 *
 * Four teams of weights 2, 2, 1 and 1 on 40 workers of 16 processors.  All but
 * the second always have work waiting; the second comes for 300 s and leaves
 * for 300 s, in turn, its waiting work with it.  Run times are bounded Pareto
 * (alpha 1.1) from two minutes to a quarter of an hour, in a second mix
 * (`_quick`) from 10 s, where room falls free all the time; one task in ten may
 * not be restarted.  The queue and the placer are the shipping ones.
 *
 * Three contenders: without taking back (`_off`); with it, where a task taken
 * back starts over (`_stop`, the worst case); with it, where its state is
 * saved and it goes on (no suffix), which takes 2 s before the room is free
 * and 5 s after each restart.  All run the same seeds.
 *
 * Share error: in each window of 10 s with 90% of processors held, the
 * service given is poured over the teams by weight, a team that had nothing
 * waiting at some time getting no more than it got; the worst deviation of a
 * team from that.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lend.h"
#include "lib_mix.h"

#define TEAMS 4
#define WORKERS 40
#define CPUS 16
#define BACKLOG 100
#define STEP (200 * OGL_MS)
#define LENGTH (7200 * OGL_SEC)
#define WINDOW (10 * OGL_SEC)
#define TURN (300 * OGL_SEC)
#define RETURNING 1
#define OBEY (2 * OGL_SEC)
#define RESTORE (5 * OGL_SEC)
#define RUN_MOST 900.0
#define ALPHA 1.1
#define REACHED 0.9
#define MISSES 64
#define SEEDS 5
#define ROUNDS 15
#define COST_TASKS 5000
#define COST_WAITING 50000

enum mode {
	MODE_OFF,
	MODE_STOP,
	MODE_SAVE,
	MODES
};

static const char *const suffix[MODES] = {"_off", "_stop", ""};
static const char *const names[TEAMS] = {"a", "b", "c", "d"};
static const double weights[TEAMS] = {2, 2, 1, 1};

struct piece {
	uint32_t team;
	struct ogl_demand ask;
	bool restartable;
	bool running;
	ogl_time left; /* run time to come */
	ogl_time since;
	ogl_time ends;
	ogl_time leaves; /* taken back: when its room is free, else 0 */
	uint32_t worker;
	uint32_t times; /* taken back */
	uint32_t turn;
};

struct cell {
	enum mode mode;
	double run_least; /* seconds */
	struct mix mix;
	struct ogl_place *place;
	struct ogl_queue *queue;
	struct ogl_lend *lend;
	GPtrArray *pieces; /* struct piece, by id - 1; NULL once done */
	uint32_t waiting[TEAMS];
	double held[TEAMS];
	double got[TEAMS]; /* in this window */
	bool emptied[TEAMS];
	ogl_time now;
	ogl_time came; /* the returning team, 0 reached or away */
	/* Results. */
	GArray *errors;
	GArray *returns; /* seconds */
	uint32_t missed;
	double given;
	double lost;
	uint64_t taken;
};

static void
cell_init(struct cell *c, enum mode mode, double run_least, uint64_t seed)
{
	struct ogl_res cap = {CPUS * 1000, CPUS * 4096, 0};

	memset(c, 0, sizeof *c);
	c->mode = mode;
	c->run_least = run_least;
	c->mix.rnd = seed;
	c->now = 1000000 * OGL_SEC;
	c->place = ogl_place_init(seed);
	c->queue = ogl_queue_init(&ogl_queue_learned, seed);
	c->lend = ogl_lend_init();
	c->pieces = g_ptr_array_new_with_free_func(g_free);
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
	g_ptr_array_free(c->pieces, TRUE);
	g_array_free(c->errors, TRUE);
	g_array_free(c->returns, TRUE);
}

/* ---- work ------------------------------------------------------------- */

static void
push(struct cell *c, uint64_t id, struct piece *p)
{
	struct ogl_work w = {0};

	w.id = id;
	w.team = names[p->team];
	w.label = "";
	w.kind = p->ask.kind;
	w.tasks = 1;
	w.res = p->ask.res;
	w.waiting_since = p->since;
	w.preempted = p->times > 0;
	ogl_queue_push(c->queue, &w, c->now);
	c->waiting[p->team]++;
}

static void
arrive(struct cell *c, uint32_t team)
{
	struct piece *p = g_new0(struct piece, 1);
	uint32_t cpus = 1u << (uint32_t)(mix_uniform(&c->mix) * 3);
	double run = mix_pareto(&c->mix, c->run_least, RUN_MOST, ALPHA);

	p->team = team;
	p->ask.kind = OGL__KIND__batch;
	p->ask.res.cpu_milli = cpus * 1000;
	p->ask.res.mem_mb = cpus * 3072;
	p->restartable = mix_uniform(&c->mix) >= 0.1;
	p->left = (ogl_time)(run * OGL_SEC);
	p->since = c->now;
	g_ptr_array_add(c->pieces, p);
	p->ask.job = c->pieces->len;
	push(c, c->pieces->len, p);
}

static double
cpus_of(const struct piece *p)
{
	return p->ask.res.cpu_milli / 1000.0;
}

static void
leave(struct cell *c, uint64_t id, struct piece *p)
{
	double ran = (double)(c->now - p->since) / OGL_SEC * cpus_of(p);

	ogl_place_free(c->place, p->worker, &p->ask);
	c->held[p->team] -= cpus_of(p);
	c->given += ran;
	p->running = false;
	ogl_queue_ended(c->queue, id, true, c->now);
}

/* The room of a task taken back is free; it waits again, or is gone when its
 * team has gone. */
static void
gone_back(struct cell *c, uint64_t id, struct piece *p)
{
	double ran = (double)(c->now - p->since) / OGL_SEC * cpus_of(p);
	ogl_time done = c->now - OBEY - p->since;

	leave(c, id, p);
	if (c->mode == MODE_STOP) {
		c->lost += ran;
	} else {
		p->left = MAX(p->left - done, 0) + RESTORE;
		c->lost += cpus_of(p) * (double)(OBEY + RESTORE) / OGL_SEC;
	}
	p->leaves = 0;
	p->since = c->now;
	push(c, id, p);
}

static void
end_due(struct cell *c)
{
	for (guint i = 0; i < c->pieces->len; i++) {
		struct piece *p = g_ptr_array_index(c->pieces, i);

		if (p == NULL || !p->running)
			continue;
		if (p->leaves != 0 && p->leaves <= c->now) {
			gone_back(c, i + 1, p);
		} else if (p->leaves == 0 && p->ends <= c->now) {
			leave(c, i + 1, p);
			g_free(p);
			g_ptr_array_index(c->pieces, i) = NULL;
		}
	}
}

static void
start_waiting(struct cell *c)
{
	struct ogl_work w;
	uint32_t misses = 0;

	for (guint i = 0; i < c->pieces->len; i++) {
		struct piece *p = g_ptr_array_index(c->pieces, i);

		if (p != NULL)
			p->turn = 0;
	}
	ogl_queue_retry_deferred(c->queue, c->now);
	while (misses < MISSES && ogl_queue_pop(c->queue, c->now, &w)) {
		struct piece *p = g_ptr_array_index(c->pieces, w.id - 1);

		if (!ogl_place_task(c->place, &p->ask, c->now, &p->worker)) {
			ogl_queue_defer(c->queue, w.id, c->now);
			p->turn = ++misses;
			continue;
		}
		ogl_queue_started(c->queue, &w, c->now);
		c->waiting[p->team]--;
		c->held[p->team] += cpus_of(p);
		p->running = true;
		p->since = c->now;
		p->ends = c->now + p->left;
	}
}

/* ---- taking back ------------------------------------------------------ */

static void
tell(struct cell *c, GArray *ids)
{
	struct ogl_res cap = {CPUS * 1000, CPUS * 4096, 0};
	struct ogl_res room[WORKERS];

	for (uint32_t w = 0; w < WORKERS; w++)
		room[w] = cap;
	for (guint i = 0; i < c->pieces->len; i++) {
		const struct piece *p = g_ptr_array_index(c->pieces, i);

		if (p != NULL && p->running)
			ogl_res_sub(&room[p->worker], &p->ask.res);
	}
	for (uint32_t w = 0; w < WORKERS; w++)
		ogl_lend_add_worker(c->lend, &cap, &room[w]);
	for (guint i = 0; i < c->pieces->len; i++) {
		const struct piece *p = g_ptr_array_index(c->pieces, i);

		if (p == NULL)
			continue;
		struct ogl_lend_pending want = {
		    names[p->team], p->ask.res, 1, p->turn, p->since};
		struct ogl_lend_task task = {i + 1, i + 1, names[p->team],
		    p->ask.kind, p->ask.res, p->worker, p->since,
		    p->restartable, p->leaves != 0};
		if (p->running) {
			ogl_lend_add_task(c->lend, &task);
			g_array_append_val(ids, i);
		} else {
			ogl_lend_add_pending(c->lend, &want);
		}
	}
}

static void
take_back(struct cell *c)
{
	const struct ogl_lend_preemption *takes;
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(guint));
	size_t n;

	ogl_lend_begin(c->lend, c->now);
	tell(c, ids);
	n = ogl_lend_decide(c->lend, c->now, &takes);
	for (size_t i = 0; i < n; i++) {
		guint at = g_array_index(ids, guint, takes[i].task);
		struct piece *p = g_ptr_array_index(c->pieces, at);

		if (takes[i].mode != OGL__STOP_MODE__checkpoint)
			continue;
		p->leaves = c->now + (c->mode == MODE_STOP ? 0 : OBEY);
		p->times++;
		c->taken++;
	}
	g_array_free(ids, TRUE);
}

/* ---- figures ---------------------------------------------------------- */

static void
end_window(struct cell *c)
{
	double all = 0, left, weight = 0, worst = 0;
	double ent[TEAMS];
	bool open[TEAMS], again = true;

	for (int t = 0; t < TEAMS; t++) {
		all += c->got[t];
		weight += weights[t];
		open[t] = true;
	}
	left = all;
	while (again) {
		again = false;
		for (int t = 0; t < TEAMS; t++) {
			if (!open[t] || !c->emptied[t] ||
			    c->got[t] > left * weights[t] / weight)
				continue;
			open[t] = false;
			again = true;
			ent[t] = c->got[t];
			left -= ent[t];
			weight -= weights[t];
		}
	}
	for (int t = 0; t < TEAMS; t++) {
		double e = open[t] ? left * weights[t] / weight : ent[t];

		if (e > 0)
			worst = MAX(worst, ABS(c->got[t] - e) / e * 100);
		c->got[t] = 0;
		c->emptied[t] = c->waiting[t] == 0;
	}
	if (all >= 0.9 * WORKERS * CPUS * WINDOW / OGL_SEC)
		g_array_append_val(c->errors, worst);
}

static void
watch_return(struct cell *c)
{
	double all = 0, sum = 0, sec;

	if (c->came == 0)
		return;
	for (int t = 0; t < TEAMS; t++) {
		all += c->held[t];
		sum += weights[t];
	}
	if (c->held[RETURNING] < REACHED * all * weights[RETURNING] / sum)
		return;
	sec = (double)(c->now - c->came) / OGL_SEC;
	g_array_append_val(c->returns, sec);
	c->came = 0;
}

/* ---- a run ------------------------------------------------------------ */

static void
drop_waiting(struct cell *c, uint32_t team)
{
	for (guint i = 0; i < c->pieces->len; i++) {
		struct piece *p = g_ptr_array_index(c->pieces, i);

		if (p == NULL || p->team != team || p->running)
			continue;
		ogl_queue_remove(c->queue, i + 1);
		c->waiting[team]--;
		g_free(p);
		g_ptr_array_index(c->pieces, i) = NULL;
	}
}

static void
come_and_go(struct cell *c, ogl_time at, bool *here)
{
	bool now_here = at / TURN % 2 == 1;
	double sec = (double)TURN / OGL_SEC;

	if (now_here && !*here)
		c->came = c->now;
	if (!now_here && *here) {
		drop_waiting(c, RETURNING);
		if (c->came != 0) {
			c->missed++;
			g_array_append_val(c->returns, sec);
		}
		c->came = 0;
	}
	*here = now_here;
}

static void
run(struct cell *c)
{
	ogl_time start = c->now;
	bool here = false;

	for (ogl_time at = 0; at < LENGTH; at += STEP) {
		c->now = start + at;
		end_due(c);
		come_and_go(c, at, &here);
		for (uint32_t t = 0; t < TEAMS; t++) {
			while (
			    (t != RETURNING || here) && c->waiting[t] < BACKLOG)
				arrive(c, t);
		}
		start_waiting(c);
		if (c->mode != MODE_OFF && c->now >= ogl_lend_next(c->lend))
			take_back(c);
		watch_return(c);
		for (int t = 0; t < TEAMS; t++) {
			c->got[t] += c->held[t] * STEP / OGL_SEC;
			c->emptied[t] |= c->waiting[t] == 0;
		}
		if ((at + STEP) % WINDOW == 0)
			end_window(c);
	}
	for (guint i = 0; i < c->pieces->len; i++) {
		struct piece *p = g_ptr_array_index(c->pieces, i);

		if (p != NULL && p->running)
			c->given +=
			    (double)(c->now - p->since) / OGL_SEC * cpus_of(p);
	}
}

static double
quantile(GArray *v, double q)
{
	if (v->len == 0)
		return 0;
	g_array_sort(v, mix_by_double);
	return g_array_index(v, double, (guint)(q * (v->len - 1)));
}

static void
show(const char *name, const char *mix, const char *mode, double v,
    const char *unit)
{
	printf("lend_%s%s%s %.2f %s\n", name, mix, mode, v, unit);
}

static void
compare(enum mode mode, const char *mix, double run_least)
{
	GArray *errors = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *returns = g_array_new(FALSE, FALSE, sizeof(double));
	double given = 0, lost = 0;
	uint64_t taken = 0;
	uint32_t missed = 0;
	const char *s = suffix[mode];

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct cell c;

		cell_init(&c, mode, run_least, seed);
		run(&c);
		g_array_append_vals(errors, c.errors->data, c.errors->len);
		g_array_append_vals(returns, c.returns->data, c.returns->len);
		given += c.given;
		lost += c.lost;
		taken += c.taken;
		missed += c.missed;
		cell_clear(&c);
	}
	show("return_p50_s", mix, s, quantile(returns, 0.5), "s");
	show("return_max_s", mix, s, quantile(returns, 1), "s");
	show("return_missed", mix, s, missed, "times");
	show("share_error_p50_pct", mix, s, quantile(errors, 0.5), "%");
	show("share_error_p95_pct", mix, s, quantile(errors, 0.95), "%");
	show("share_error_max_pct", mix, s, quantile(errors, 1), "%");
	show("lost_pct", mix, s, lost / given * 100, "%");
	show("taken", mix, s, (double)taken, "tasks");
	g_array_free(errors, TRUE);
	g_array_free(returns, TRUE);
}

/* One round in a large shard, half of it lent. */
static void
cost(void)
{
	struct ogl_res cap = {CPUS * 1000, CPUS * 4096, 0};
	struct ogl_res none = {0}, one = {1000, 4096, 0};
	struct ogl_lend *l = ogl_lend_init();
	const struct ogl_lend_preemption *takes;
	double us[ROUNDS];
	ogl_time now = 1000000 * OGL_SEC;

	for (int k = 0; k < ROUNDS; k++) {
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
			    1, i < MISSES ? i + 1 : 0, now - 50 * OGL_SEC};

			ogl_lend_add_pending(l, &want);
		}
		ogl_lend_decide(l, now, &takes);
		us[k] = (mix_now_ns() - t) / 1000;
	}
	qsort(us, ROUNDS, sizeof us[0], mix_by_double);
	printf("lend_round_us_%d %.0f us\n", COST_TASKS, us[ROUNDS / 2]);
	ogl_lend_end(l);
}

int
main(void)
{
	for (int m = 0; m < MODES; m++) {
		compare((enum mode)m, "_quick", 10);
		compare((enum mode)m, "", 120);
	}
	cost();
	return 0;
}
