/*
 * Traces with the sizes of two deployments: 50 executors of 8 slots, 50
 * workers of 16 processors, and 6 organisations, of which three are large and
 * have two teams each.
 *
 * Short work has log-normal run times.  Long work has bounded Pareto run times
 * and arrives in bursts, as claim packs and reconciliations do.  Declared run
 * times differ from the true ones by a log-normal factor with a standard
 * deviation of ln 10, and one in five run times is not declared.
 */

#include <math.h>
#include <stdlib.h>

#include "lib_trace.h"

#define FLOOD_FACTOR 5.0
#define SPLIT_PARTS 10
#define RENAMED_LABEL_BASE 1000000u
#define REPEAT_COPIES 3
#define UNDECLARED_PART 0.2
#define DECLARED_SIGMA 2.302585 /* ln 10 */
#define BURST_MEAN_ITEMS 8.0
#define BURST_SPREAD (50 * OGL_MS)
#define EXECUTORS 50
#define EXECUTOR_SLOTS 8
#define WORKERS 50
#define WORKER_CPU 16
#define MB_PER_CPU 4096
#define LABELS_PER_MIX 4

/* Parameters of short or of long work. */
struct work_mix {
	double load_part; /* part of the offered load */
	double median_s;  /* of short work, log-normal; 0 for long work */
	double sigma;
	double min_s, max_s; /* of long work, bounded Pareto */
	double alpha;
	uint32_t cpu_max; /* processors are a power of two from 1 to this */
};

static const struct trace_team teams[] = {
    {"amman", 4, 0},
    {"amman/crews", 0.6, 0.20},
    {"amman/claims", 0.4, 0.12},
    {"zarqa", 3, 0},
    {"zarqa/crews", 0.5, 0.13},
    {"zarqa/claims", 0.5, 0.12},
    {"irbid", 3, 0},
    {"irbid/crews", 0.7, 0.14},
    {"irbid/claims", 0.3, 0.06},
    {"karak", 1, 0.10},
    {"aqaba", 1, 0.08},
    {"maan", 1, 0.05},
};
#define FIRST_TEAM 1

static const struct work_mix mixes[TRACE_CELLS][TRACE_PARTS][2] =
    {
	[TRACE_REPAIR] =
	    {
		[TRACE_EXECUTORS] = {{0.15, 0.015, 0.9, 0, 0, 0, 1},
		    {0.85, 0, 0, 0.2, 20, 1.3, 1}},
		[TRACE_WORKERS] = {{0.10, 2, 0.8, 0, 0, 0, 1},
		    {0.90, 0, 0, 10, 600, 1.2, 8}},
	    },
	[TRACE_HUB] =
	    {
		[TRACE_EXECUTORS] = {{0.30, 0.012, 1.1, 0, 0, 0, 1},
		    {0.70, 0, 0, 0.1, 10, 1.2, 1}},
		[TRACE_WORKERS] = {{0.05, 3, 1.0, 0, 0, 0, 1},
		    {0.95, 0, 0, 20, 900, 1.3, 4}},
	    },
};

struct generator {
	GArray *works;
	uint64_t state;
	const struct trace_spec *spec;
	struct trace *t;
};

static uint64_t
next_u64(struct generator *m)
{
	uint64_t z = (m->state += 0x9e3779b97f4a7c15u);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return z ^ (z >> 31);
}

static double
uniform(struct generator *m)
{
	return ((double)(next_u64(m) >> 11) + 0.5) / 9007199254740992.0;
}

static double
normal(struct generator *m)
{
	double r = sqrt(-2 * log(uniform(m)));

	return r * cos(2 * G_PI * uniform(m));
}

static double
pareto(struct generator *m, const struct work_mix *x)
{
	double ratio = pow(x->min_s / x->max_s, x->alpha);

	return x->min_s * pow(1 - uniform(m) * (1 - ratio), -1 / x->alpha);
}

static double
mean_run(const struct work_mix *x)
{
	double l = x->min_s;
	double h = x->max_s;
	double a = x->alpha;

	if (x->median_s > 0)
		return x->median_s * exp(x->sigma * x->sigma / 2);
	return pow(l, a) / (1 - pow(l / h, a)) * a / (a - 1) *
	       (pow(l, 1 - a) - pow(h, 1 - a));
}

static double
mean_cpu(const struct work_mix *x)
{
	double sum = 0;
	uint32_t n = 0;

	for (uint32_t c = 1; c <= x->cpu_max; c *= 2) {
		sum += c;
		n++;
	}
	return sum / n;
}

static uint32_t
draw_cpu(struct generator *m, const struct work_mix *x)
{
	uint32_t n = 0;

	for (uint32_t c = 1; c < x->cpu_max; c *= 2)
		n++;
	return 1u << (uint32_t)(uniform(m) * (n + 1));
}

static uint64_t
draw_declared(struct generator *m, ogl_time run)
{
	double declared_ms_drawn =
	    (double)run * exp(DECLARED_SIGMA * normal(m)) / OGL_MS;

	if (uniform(m) < UNDECLARED_PART)
		return 0;
	return (uint64_t)MAX(declared_ms_drawn, 1.0);
}

static void
add_work(
    struct generator *m, const struct work_mix *x, uint32_t team, ogl_time at)
{
	struct trace_work w = {.at = at, .team = team};
	bool deviates = team == FIRST_TEAM;
	double run_s = x->median_s > 0 ? x->median_s * exp(x->sigma * normal(m))
				       : pareto(m, x);
	uint32_t cpu = draw_cpu(m, x);
	uint32_t parts = 1;

	w.is_short = x->median_s > 0;
	w.run = MAX((ogl_time)(run_s * OGL_SEC), OGL_MS);
	w.kind = m->spec->part == TRACE_EXECUTORS ? OGL__KIND__request
						  : OGL__KIND__batch;
	w.res.cpu_milli = cpu * 1000;
	w.res.mem_mb = cpu * MB_PER_CPU / 2;
	w.label = (uint32_t)(uniform(m) * LABELS_PER_MIX);
	w.label += w.is_short ? 0 : LABELS_PER_MIX;
	if (deviates && m->spec->behaviour == TRACE_RENAME)
		w.label = RENAMED_LABEL_BASE + m->works->len;
	if (deviates && m->spec->behaviour == TRACE_SPLIT && !w.is_short)
		parts = SPLIT_PARTS;
	w.run = MAX(w.run / parts, OGL_MS);
	w.declared_ms = draw_declared(m, w.run);
	if (deviates && m->spec->behaviour == TRACE_REPEAT) {
		parts = REPEAT_COPIES;
		w.group = m->works->len + 1;
	}
	for (uint32_t i = 0; i < parts; i++) {
		g_array_append_val(m->works, w);
		if (w.group != 0) /* each copy has its own label */
			w.label += 2 * LABELS_PER_MIX;
	}
}

static void
add_arrivals(struct generator *m, const struct work_mix *x, uint32_t team)
{
	double capacity =
	    (double)m->t->nservers * m->t->server.cpu_milli / 1000;
	double demand = m->t->teams[team].demand * m->spec->load * x->load_part;
	double rate = demand * capacity / (mean_run(x) * mean_cpu(x));
	double burst = x->median_s > 0 ? 1 : BURST_MEAN_ITEMS;
	double at = 0;

	if (team == FIRST_TEAM && m->spec->behaviour == TRACE_FLOOD)
		rate *= FLOOD_FACTOR;
	for (;;) {
		uint32_t n = 1;

		at -= log(uniform(m)) / (rate / burst) * OGL_SEC;
		if (at >= (double)m->t->length)
			return;
		while (burst > 1 && uniform(m) > 1 / burst)
			n++;
		for (uint32_t i = 0; i < n; i++) {
			double delay = uniform(m) * BURST_SPREAD;

			add_work(m, x, team, (ogl_time)(at + delay));
		}
	}
}

static int
by_time(const void *a, const void *b)
{
	const struct trace_work *x = a;
	const struct trace_work *y = b;

	return (x->at > y->at) - (x->at < y->at);
}

struct trace *
trace_make(const struct trace_spec *spec)
{
	struct trace *t = g_new0(struct trace, 1);
	struct generator m = {.spec = spec, .t = t, .state = spec->seed};
	bool exec = spec->part == TRACE_EXECUTORS;
	uint32_t cpu = exec ? EXECUTOR_SLOTS : WORKER_CPU;

	m.works = g_array_new(FALSE, FALSE, sizeof(struct trace_work));
	t->teams = teams;
	t->nteams = G_N_ELEMENTS(teams);
	t->nservers = exec ? EXECUTORS : WORKERS;
	t->server.cpu_milli = cpu * 1000;
	t->server.mem_mb = cpu * MB_PER_CPU;
	t->length = exec ? 60 * OGL_SEC : 1200 * OGL_SEC;
	for (uint32_t i = 0; i < t->nteams; i++) {
		if (teams[i].demand <= 0)
			continue;
		add_arrivals(&m, &mixes[spec->cell][spec->part][0], i);
		add_arrivals(&m, &mixes[spec->cell][spec->part][1], i);
	}
	t->nworks = m.works->len;
	t->works = (struct trace_work *)g_array_free(m.works, FALSE);
	qsort(t->works, t->nworks, sizeof(*t->works), by_time);
	return t;
}

void
trace_free(struct trace *t)
{
	g_free(t->works);
	g_free(t);
}
