/*
 * Policies of placement by kind: which worker a task goes to.
 *
 *   batch    among the workers with the least room in the resource of which
 *            the task needs most, relative to the mean capacity, the one whose
 *            free processors and memory it leaves best balanced;
 *   service  the zone, then the rack, then the worker with the fewest tasks
 *            of the job;
 *   gang     a single task as batch; for whole gangs see place_gang.c.
 *
 * Each policy compares the workers that a bounded search of the grids offers.
 * A search that reached its bound and found nothing is repeated without one, so
 * room is found whenever there is some.
 */

#include <math.h>

#include "place.h"

#define MAX_OFFERS 32          /* workers compared per decision */
#define MAX_OFFERS_PER_ZONE 8  /* workers compared in one zone */
#define MAX_MISSES_PER_ZONE 48 /* workers without room, in the first search */
#define TIGHTNESS_WEIGHT 0.05  /* relative to balance in the score */
/* Added to the divisor in imbalance, so that workers with a smaller free
 * fraction, which are almost full, hardly differ. */
#define IMBALANCE_FLOOR 0.05

/* ---- batch: best fit -------------------------------------------------- */

struct pack {
	const struct ogl_grid_entry *entries;
	const struct ogl_res *need;
	double cpu_scale, mem_scale; /* one over the mean capacity */
	bool by_mem;
	double score; /* lowest so far */
	uint32_t best;
};

/* How far free processors and memory differ, relative to the scarcer one. */
static double
imbalance(double cpu, double mem)
{
	return fabs(cpu - mem) / (MIN(cpu, mem) + IMBALANCE_FLOOR);
}

/*
 * A lower score is better.  Room is lost when one dimension runs out before the
 * other, so a task goes where it balances what is left; among equals it goes to
 * the fuller worker, which leaves the others free for large tasks.
 */
static void
pack_offer(void *ctx, uint32_t w)
{
	struct pack *k = ctx;
	const struct ogl_res *a = &k->entries[w].avail;
	double cpu = (a->cpu_milli - k->need->cpu_milli) * k->cpu_scale;
	double mem = (a->mem_mb - k->need->mem_mb) * k->mem_scale;
	double before =
	    imbalance(a->cpu_milli * k->cpu_scale, a->mem_mb * k->mem_scale);
	double score =
	    imbalance(cpu, mem) - before + TIGHTNESS_WEIGHT * (cpu + mem);

	if (k->best != OGL_PLACE_NONE && score >= k->score)
		return;
	k->score = score;
	k->best = w;
}

/*
 * Searches one group of workers zone by zone, beginning with a random zone,
 * until there are enough offers; sets *skipped when a search reached its bound.
 */
static void
pack_accel_group(struct ogl_place *p, struct pack *k, unsigned accel_group,
    uint32_t misses, bool *skipped)
{
	uint32_t z, n = p->zones->len, left = MAX_OFFERS;
	uint32_t start = n > 0 ? ogl_place_random(p) % n : 0;

	for (z = 0; z < n && left > 0; z++) {
		struct ogl_grid_walk walk = {
		    .need = k->need,
		    .by_mem = k->by_mem,
		    .offers_left = MIN(MAX_OFFERS_PER_ZONE, left),
		    .misses_left = misses,
		    .offer = pack_offer,
		    .ctx = k,
		};

		left -= walk.offers_left;
		ogl_grid_walk(
		    &ogl_place_zone_at(p, (start + z) % n)->grid[accel_group],
		    p->entries, &walk);
		left += walk.offers_left;
		*skipped |= walk.skipped;
	}
}

static bool
batch_pick(struct ogl_place *p, const struct ogl_demand *demand, uint32_t *w)
{
	struct pack k = {.entries = p->entries,
	    .need = &demand->res,
	    .best = OGL_PLACE_NONE};
	unsigned accel_group;
	bool skipped;

	k.cpu_scale = p->n / (p->total_cpu + 1.0);
	k.mem_scale = p->n / (p->total_mem + 1.0);
	k.by_mem = demand->res.mem_mb * k.mem_scale >
		   demand->res.cpu_milli * k.cpu_scale;
	for (accel_group = ogl_place_first_accel_group(&demand->res);
	     accel_group < OGL_ACCEL_GROUPS; accel_group++) {
		skipped = false;
		pack_accel_group(
		    p, &k, accel_group, MAX_MISSES_PER_ZONE, &skipped);
		if (k.best == OGL_PLACE_NONE && skipped)
			pack_accel_group(
			    p, &k, accel_group, UINT32_MAX, &skipped);
		if (k.best != OGL_PLACE_NONE)
			break;
	}
	*w = k.best;
	return k.best != OGL_PLACE_NONE;
}

/* ---- services: spread ------------------------------------------------- */

struct spread {
	const struct ogl_place *p;
	uint64_t job;
	uint64_t score; /* lowest so far */
	uint32_t best;
};

static uint32_t
tasks_of_job(const struct ogl_place_worker *k, uint64_t job)
{
	unsigned i;

	for (i = 0; i < k->njobs; i++) {
		if (k->jobs[i].job == job)
			return k->jobs[i].n;
	}
	return 0;
}

static void
spread_offer(void *ctx, uint32_t w)
{
	struct spread *k = ctx;
	const struct ogl_grid_entry *s = &k->p->entries[w];
	uint64_t rack = ogl_counts_get(
	    &k->p->counts, ogl_counts_key(k->job, OGL_COUNT_RACK, s->rack));
	uint64_t here = tasks_of_job(&k->p->workers[w], k->job);
	uint64_t score = rack << 32 | here;

	if (k->best != OGL_PLACE_NONE && score >= k->score)
		return;
	k->score = score;
	k->best = w;
}

/* Searches one group of workers in a zone from a random size class on. */
static void
spread_walk(struct ogl_place *p, const struct ogl_demand *demand,
    struct spread *k, const struct ogl_grid *g, uint32_t misses, bool *skipped)
{
	struct ogl_grid_walk walk = {
	    .need = &demand->res,
	    .from_class = ogl_place_random(p) % OGL_GRID_CLASSES,
	    .offers_left = MAX_OFFERS,
	    .misses_left = misses,
	    .offer = spread_offer,
	    .ctx = k,
	};

	ogl_grid_walk(g, p->entries, &walk);
	*skipped |= walk.skipped;
}

static bool
spread_in_zone(struct ogl_place *p, const struct ogl_demand *demand, uint32_t z,
    unsigned accel_group, uint32_t *w)
{
	struct ogl_grid *g = &ogl_place_zone_at(p, z)->grid[accel_group];
	struct spread k = {.p = p, .job = demand->job, .best = OGL_PLACE_NONE};
	bool skipped = false;

	if (g->rows == 0)
		return false;
	spread_walk(p, demand, &k, g, MAX_MISSES_PER_ZONE, &skipped);
	if (k.best == OGL_PLACE_NONE && skipped)
		spread_walk(p, demand, &k, g, UINT32_MAX, &skipped);
	*w = k.best;
	return k.best != OGL_PLACE_NONE;
}

/* Finds the untried zone with the fewest tasks of the job; among equals the one
 * with the most free processors. */
static bool
next_zone(const struct ogl_place *p, uint64_t job, uint8_t *tried, uint32_t *z)
{
	uint32_t i, n, least = UINT32_MAX;
	uint64_t most = 0;
	bool found = false;

	for (i = 0; i < p->zones->len; i++) {
		if (tried[i])
			continue;
		n = ogl_counts_get(
		    &p->counts, ogl_counts_key(job, OGL_COUNT_ZONE, i));
		if (found &&
		    (n > least ||
			(n == least && ogl_place_zone_at(p, i)->cpu <= most)))
			continue;
		least = n;
		most = ogl_place_zone_at(p, i)->cpu;
		*z = i;
		found = true;
	}
	if (found)
		tried[*z] = 1;
	return found;
}

static bool
service_pick(struct ogl_place *p, const struct ogl_demand *demand, uint32_t *w)
{
	unsigned accel_group;
	uint32_t z = 0;

	for (accel_group = ogl_place_first_accel_group(&demand->res);
	     accel_group < OGL_ACCEL_GROUPS; accel_group++) {
		uint8_t tried[UINT8_MAX + 1] = {0};

		while (next_zone(p, demand->job, tried, &z)) {
			if (spread_in_zone(p, demand, z, accel_group, w))
				return true;
		}
	}
	return false;
}

/* ---- policies by kind ------------------------------------------------- */

static const struct ogl_place_policy policies[] = {
    [OGL__KIND__batch] = {batch_pick, false},
    [OGL__KIND__service] = {service_pick, true},
    [OGL__KIND__gang] = {batch_pick, false},
    [OGL__KIND__request] = {batch_pick, false},
};

const struct ogl_place_policy *
ogl_place_policy(Ogl__Kind kind)
{
	size_t i = (size_t)kind;

	return &policies[i < G_N_ELEMENTS(policies) ? i : OGL__KIND__batch];
}
