/*
 * Replays traces of two deployments at four loads with the queue's own policy,
 * three baselines and an oracle (shortest true run time first, which knows the
 * run times and ignores shares).
 *
 * Lines are `name value unit`.  A name consists of the deployment (empty for
 * Al-Hima, `hub_` for Fællesplatformen), the measurement, the load in percent
 * and the policy.  `short` and `long` are requests to executors, `quick` and
 * `batch` are tasks on workers.
 */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "lib_baseline.h"
#include "lib_replay.h"

#define SEED 20261202

/* Sizes of the queue for the cost of one decision. */
#define COST_TEAMS 94
#define COST_ORGS 12
#define COST_WAITING 100000
#define COST_LABELS 40
#define COST_RUNNING 4000

struct variant {
	const struct ogl_queue_policy *policy;
	const char *suffix;
	bool oracle;
};

static const struct variant variants[] = {
    {&ogl_queue_learned, "", false},
    {&baseline_fcfs, "_fcfs", false},
    {&baseline_sjf, "_sjf", false},
    {&baseline_wfq, "_wfq", false},
    {&baseline_sjf, "_oracle", true},
};

static const int loads_percent[] = {70, 95, 130, 200};
static const char *const cell_names[] = {"", "hub_"};
static const char *const short_names[] = {"short", "quick"};
static const char *const long_names[] = {"long", "batch"};
static const char *const behaviour_names[] = {
    "", "_flood", "_split", "_rename", "_repeat"};

static void
print_waits(const struct trace_spec *s, int load, const char *suffix,
    const struct replay_result *r)
{
	const char *cell = cell_names[s->cell];
	const char *sh = short_names[s->part];
	const char *lo = long_names[s->part];
	const char *part = s->part == TRACE_WORKERS ? "workers_" : "";

	printf("%swait_%s_p50_ms_%d%s %.2f ms\n", cell, sh, load, suffix,
	    r->short_p50_ms);
	printf("%swait_%s_p99_ms_%d%s %.2f ms\n", cell, sh, load, suffix,
	    r->short_p99_ms);
	printf("%swait_%s_p50_ms_%d%s %.2f ms\n", cell, lo, load, suffix,
	    r->long_p50_ms);
	printf("%swait_%s_p99_ms_%d%s %.2f ms\n", cell, lo, load, suffix,
	    r->long_p99_ms);
	printf(
	    "%s%swait_max_s_%d%s %.2f s\n", cell, part, load, suffix, r->max_s);
}

static void
print_share(const struct trace_spec *s, int load, const char *suffix,
    const struct replay_result *r)
{
	const char *cell = cell_names[s->cell];
	const char *part = s->part == TRACE_WORKERS ? "workers_" : "";
	const char *behaviour = behaviour_names[s->behaviour];

	if (r->windows == 0)
		return;
	printf("%s%sshare_error_pct_%d%s%s %.2f %%\n", cell, part, load,
	    behaviour, suffix, r->error_received_pct);
	printf("%s%sshare_error_typical_pct_%d%s%s %.2f %%\n", cell, part, load,
	    behaviour, suffix, r->error_median_pct);
	printf("%s%sshare_error_completed_pct_%d%s%s %.2f %%\n", cell, part,
	    load, behaviour, suffix, r->error_completed_pct);
}

/* Waiting times of the first team, which show whether its behaviour gives it an
 * advantage. */
static void
print_first_team(const struct trace_spec *s, const struct replay_result *r)
{
	const char *cell = cell_names[s->cell];
	const char *behaviour = behaviour_names[s->behaviour];

	printf("%swait_others_short_p99_ms_130%s %.2f ms\n", cell, behaviour,
	    r->others_short_p99_ms);
	printf("%swait_own_short_p99_ms_130%s %.2f ms\n", cell, behaviour,
	    r->first_short_p99_ms);
	printf("%swait_own_long_p50_ms_130%s %.2f ms\n", cell, behaviour,
	    r->first_long_p50_ms);
}

/* Returns the largest share error at load 1.3. */
static double
replay_loads(enum trace_cell cell, enum trace_part part)
{
	double error = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(loads_percent); i++) {
		struct trace_spec s = {
		    cell, part, TRACE_NORMAL, loads_percent[i] / 100.0, SEED};
		struct trace *t = trace_make(&s);

		for (size_t c = 0; c < G_N_ELEMENTS(variants); c++) {
			struct replay_result r;

			replay_run(
			    t, variants[c].policy, variants[c].oracle, &r);
			print_waits(
			    &s, loads_percent[i], variants[c].suffix, &r);
			print_share(
			    &s, loads_percent[i], variants[c].suffix, &r);
			if (c != 0 || loads_percent[i] != 130)
				continue;
			error = r.error_received_pct;
			if (part == TRACE_EXECUTORS)
				print_first_team(&s, &r);
		}
		trace_free(t);
	}
	return error;
}

/* Replays a behaviour of the first team at load 1.3.  Returns the largest share
 * error. */
static double
replay_behaviour(enum trace_cell cell, enum trace_behaviour behaviour)
{
	struct trace_spec s = {cell, TRACE_EXECUTORS, behaviour, 1.3, SEED};
	struct trace *t = trace_make(&s);
	struct replay_result r;

	replay_run(t, &ogl_queue_learned, false, &r);
	print_share(&s, 130, "", &r);
	print_first_team(&s, &r);
	trace_free(t);
	return r.error_received_pct;
}

static double
clock_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec * 1e9 + (double)t.tv_nsec;
}

static void
push_one(struct ogl_queue *q, uint64_t id, ogl_time now)
{
	struct ogl_work w = {.id = id, .kind = OGL__KIND__request, .tasks = 1};
	char team[32];
	char label[32];
	unsigned n = (unsigned)(id * 7919 % COST_TEAMS);

	g_snprintf(team, sizeof(team), "org-%u/team-%u", n % COST_ORGS, n);
	g_snprintf(label, sizeof(label), "label-%u",
	    (unsigned)(id * 104729 % COST_LABELS));
	w.team = team;
	w.label = label;
	w.waiting_since = now;
	ogl_queue_push(q, &w, now);
}

/* Cost of a pop, with starts, ends and pushes, at COST_WAITING items waiting.
 * The first round is not counted: it demotes the items that were pushed before
 * any run time was learned. */
static void
measure_queue_cost(void)
{
	struct ogl_queue *q = ogl_queue_init(&ogl_queue_learned, SEED);
	size_t before = mallinfo2().uordblks;
	uint64_t running[COST_RUNNING] = {0};
	double pop_ns = 0;
	ogl_time now = OGL_SEC;
	uint64_t id = 0;

	while (id < COST_WAITING)
		push_one(q, ++id, now++);
	printf("queue_bytes_work %.0f bytes\n",
	    (double)(mallinfo2().uordblks - before) / COST_WAITING);
	for (unsigned i = 0; i < 2 * COST_WAITING; i++) {
		uint64_t *slot = &running[i * 31 % COST_RUNNING];
		struct ogl_work w;
		double start;

		now += 100 + i % COST_LABELS;
		if (*slot != 0)
			ogl_queue_ended(q, *slot, true, now);
		start = clock_ns();
		ogl_queue_pop(q, now, &w);
		if (i >= COST_WAITING)
			pop_ns += clock_ns() - start;
		ogl_queue_started(q, &w, now);
		*slot = w.id;
		push_one(q, ++id, now);
	}
	printf("queue_pop_ns %.0f ns\n", pop_ns / COST_WAITING);
	ogl_queue_end(q);
}

/* One load and all behaviours with the queue's own policy, and the oracle. */
static void
replay_trial(enum trace_cell cell, enum trace_part part, int load)
{
	struct trace_spec s = {cell, part, TRACE_NORMAL, load / 100.0, SEED};
	struct trace *t = trace_make(&s);
	struct replay_result r;

	replay_run(t, &ogl_queue_learned, false, &r);
	print_waits(&s, load, "", &r);
	print_share(&s, load, "", &r);
	print_first_team(&s, &r);
	replay_run(t, &baseline_sjf, true, &r);
	print_waits(&s, load, "_oracle", &r);
	trace_free(t);
	for (int c = TRACE_FLOOD; c < TRACE_BEHAVIOURS; c++)
		replay_behaviour(cell, c);
}

int
main(int argc, char **argv)
{
	double worst[TRACE_BEHAVIOURS] = {0};

	if (argc == 4) {
		replay_trial(atoi(argv[1]), atoi(argv[2]), atoi(argv[3]));
		return 0;
	}
	measure_queue_cost();
	for (int cell = 0; cell < TRACE_CELLS; cell++) {
		double e = replay_loads(cell, TRACE_EXECUTORS);

		worst[TRACE_NORMAL] = MAX(worst[TRACE_NORMAL], e);
		replay_loads(cell, TRACE_WORKERS);
		for (int c = TRACE_FLOOD; c < TRACE_BEHAVIOURS; c++) {
			e = replay_behaviour(cell, c);
			worst[c] = MAX(worst[c], e);
		}
	}
	/* Largest error over the requests of both deployments at load 1.3. */
	for (int c = 0; c < TRACE_BEHAVIOURS; c++)
		printf("share_error_pct%s %.2f %%\n", behaviour_names[c],
		    worst[c]);
	return 0;
}
