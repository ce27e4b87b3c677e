/*
 * Replays the two deployments of today at four loads, the shipping order side
 * by side with three baselines and an oracle (shortest true run time first,
 * which knows run times and heeds no shares).
 *
 * Lines are `name value unit`.  Names: the deployment's name (none for
 * Al-Hima, `hub_` for Fællesplatformen), the measure, the load in hundredths,
 * the order.  `short` and `long` are requests to executors, `quick` and
 * `batch` tasks on workers.
 */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "lib_baseline.h"
#include "lib_replay.h"

#define SEED 20261202

/* Size at which the cost of one decision is measured. */
#define COST_TEAMS 94
#define COST_ORGS 12
#define COST_WORKS 100000
#define COST_LABELS 40
#define COST_RUNNING 4000

struct contender {
	const struct ogl_queue_policy *policy;
	const char *suffix;
	bool oracle;
};

static const struct contender contenders[] = {
    {&ogl_queue_learned, "", false},
    {&baseline_fcfs, "_fcfs", false},
    {&baseline_sjf, "_sjf", false},
    {&baseline_wfq, "_wfq", false},
    {&baseline_sjf, "_oracle", true},
};

static const int loads[] = {70, 95, 130, 200};
static const char *const cell_names[] = {"", "hub_"};
static const char *const short_names[] = {"short", "quick"};
static const char *const long_names[] = {"long", "batch"};
static const char *const conduct_names[] = {
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
	const char *conduct = conduct_names[s->conduct];

	if (r->windows == 0)
		return;
	printf("%s%sshare_error_pct_%d%s%s %.2f %%\n", cell, part, load,
	    conduct, suffix, r->error_received_pct);
	printf("%s%sshare_error_typical_pct_%d%s%s %.2f %%\n", cell, part, load,
	    conduct, suffix, r->error_typical_pct);
	printf("%s%sshare_error_completed_pct_%d%s%s %.2f %%\n", cell, part,
	    load, conduct, suffix, r->error_completed_pct);
}

/* The first team's own waits, to compare what tricks bring it. */
static void
print_own(const struct trace_spec *s, const struct replay_result *r)
{
	const char *cell = cell_names[s->cell];
	const char *conduct = conduct_names[s->conduct];

	printf("%swait_others_short_p99_ms_130%s %.2f ms\n", cell, conduct,
	    r->others_short_p99_ms);
	printf("%swait_own_short_p99_ms_130%s %.2f ms\n", cell, conduct,
	    r->tricky_short_p99_ms);
	printf("%swait_own_long_p50_ms_130%s %.2f ms\n", cell, conduct,
	    r->tricky_long_p50_ms);
}

/* Gives the worst share error at 1.3. */
static double
replay_loads(enum trace_cell cell, enum trace_part part)
{
	double error = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		struct trace_spec s = {
		    cell, part, TRACE_HONEST, loads[i] / 100.0, SEED};
		struct trace *t = trace_make(&s);

		for (size_t c = 0; c < G_N_ELEMENTS(contenders); c++) {
			struct replay_result r;

			replay_run(
			    t, contenders[c].policy, contenders[c].oracle, &r);
			print_waits(&s, loads[i], contenders[c].suffix, &r);
			print_share(&s, loads[i], contenders[c].suffix, &r);
			if (c != 0 || loads[i] != 130)
				continue;
			error = r.error_received_pct;
			if (part == TRACE_EXECUTORS)
				print_own(&s, &r);
		}
		trace_free(t);
	}
	return error;
}

/* The first team's conduct at 1.3; gives the worst share error. */
static double
replay_conduct(enum trace_cell cell, enum trace_conduct conduct)
{
	struct trace_spec s = {cell, TRACE_EXECUTORS, conduct, 1.3, SEED};
	struct trace *t = trace_make(&s);
	struct replay_result r;

	replay_run(t, &ogl_queue_learned, false, &r);
	print_share(&s, 130, "", &r);
	print_own(&s, &r);
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

/* Pops, starts, ends and pushes with COST_WORKS waiting.  The first round is
 * not counted: what was pushed before anything was learned is demoted in
 * it. */
static void
queue_cost(void)
{
	struct ogl_queue *q = ogl_queue_init(&ogl_queue_learned, SEED);
	size_t before = mallinfo2().uordblks;
	uint64_t running[COST_RUNNING] = {0};
	double pop_ns = 0;
	ogl_time now = OGL_SEC;
	uint64_t id = 0;

	while (id < COST_WORKS)
		push_one(q, ++id, now++);
	printf("queue_bytes_work %.0f bytes\n",
	    (double)(mallinfo2().uordblks - before) / COST_WORKS);
	for (unsigned i = 0; i < 2 * COST_WORKS; i++) {
		uint64_t *slot = &running[i * 31 % COST_RUNNING];
		struct ogl_work w;
		double start;

		now += 100 + i % COST_LABELS;
		if (*slot != 0)
			ogl_queue_ended(q, *slot, true, now);
		start = clock_ns();
		ogl_queue_pop(q, now, &w);
		if (i >= COST_WORKS)
			pop_ns += clock_ns() - start;
		ogl_queue_started(q, &w, now);
		*slot = w.id;
		push_one(q, ++id, now);
	}
	printf("queue_pop_ns %.0f ns\n", pop_ns / COST_WORKS);
	ogl_queue_end(q);
}

/* For trials: one load and each conduct, learned and oracle only. */
static void
replay_trial(enum trace_cell cell, enum trace_part part, int load)
{
	struct trace_spec s = {cell, part, TRACE_HONEST, load / 100.0, SEED};
	struct trace *t = trace_make(&s);
	struct replay_result r;

	replay_run(t, &ogl_queue_learned, false, &r);
	print_waits(&s, load, "", &r);
	print_share(&s, load, "", &r);
	print_own(&s, &r);
	replay_run(t, &baseline_sjf, true, &r);
	print_waits(&s, load, "_oracle", &r);
	trace_free(t);
	for (int c = TRACE_FLOOD; c < TRACE_CONDUCTS; c++)
		replay_conduct(cell, c);
}

int
main(int argc, char **argv)
{
	double worst[TRACE_CONDUCTS] = {0};

	if (argc == 4) {
		replay_trial(atoi(argv[1]), atoi(argv[2]), atoi(argv[3]));
		return 0;
	}
	queue_cost();
	for (int cell = 0; cell < TRACE_CELLS; cell++) {
		double e = replay_loads(cell, TRACE_EXECUTORS);

		worst[TRACE_HONEST] = MAX(worst[TRACE_HONEST], e);
		replay_loads(cell, TRACE_WORKERS);
		for (int c = TRACE_FLOOD; c < TRACE_CONDUCTS; c++) {
			e = replay_conduct(cell, c);
			worst[c] = MAX(worst[c], e);
		}
	}
	/* Of both deployments' requests at 1.3. */
	for (int c = 0; c < TRACE_CONDUCTS; c++)
		printf(
		    "share_error_pct%s %.2f %%\n", conduct_names[c], worst[c]);
	return 0;
}
