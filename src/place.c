/*
 * Placement: which worker a task runs on.
 *
 * Every zone has one grid of free room (place_grid.c) for each plane; planes
 * part workers by the accelerators they have free, so that tasks without
 * need of one look at workers that have none first.  A kind's policy picks
 * among the workers a bounded walk of the grids offers:
 *
 *   batch    among the workers tightest in the dimension that matters most
 *            to the task the one whose processors and memory it evens out;
 *   service  the zone, then the rack, then the worker with the fewest tasks
 *            of the job;
 *   gang     whole racks, see place_gang.c.
 *
 * A walk that was cut short and found nothing is repeated without a bound,
 * so room is found whenever there is some.  Shapes found to fit nowhere are
 * remembered until some worker gains room for them, so a full cell refuses
 * at the cost of a few comparisons.
 *
 * Invariant: on no worker does the sum of what is held exceed its capacity,
 * unless the worker itself lowered its capacity; then it gets no more.
 */

#include <math.h>
#include <string.h>

#include "place.h"

#define OFFERS 32                  /* workers compared a decision */
#define OFFERS_ZONE 8              /* of them in one zone */
#define LOOKS 48                   /* first bound on looks in vain, a zone */
#define TIGHT 0.05                 /* weight of tightness against balance */
#define ALMOST_FULL 0.05           /* part of a worker that hardly matters */
#define ASIDE_PART 10              /* at most one in so many is set aside */
#define ASIDE_SMALLEST 3           /* workers below which none is */
#define PROBE_LONG (120 * OGL_SEC) /* a probe task this long is good */
#define PROBE_LOOKS 4

/* ---- small parts ------------------------------------------------------ */

static uint32_t
next_random(struct ogl_place *p)
{
	uint64_t x;

	p->rnd += 0x9e3779b97f4a7c15u;
	x = (p->rnd ^ (p->rnd >> 30)) * 0xbf58476d1ce4e5b9u;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
	return (uint32_t)(x >> 32);
}

static uint32_t
fit_one(uint32_t need, uint32_t room)
{
	return need > 0 ? room / need : UINT32_MAX;
}

uint32_t
ogl_place_fit(const struct ogl_res *need, const struct ogl_res *room)
{
	uint32_t n = fit_one(need->cpu_milli, room->cpu_milli);

	n = MIN(n, fit_one(need->mem_mb, room->mem_mb));
	return MIN(n, fit_one(need->accel, room->accel));
}

static unsigned
accel_class(uint32_t n)
{
	if (n < 2)
		return n;
	if (n < 4)
		return 2;
	return n < 8 ? 3 : 4;
}

/* 0 for workers without accelerators, else by how many are free. */
static unsigned
plane_of(const struct ogl_res *capacity, const struct ogl_res *avail)
{
	return capacity->accel == 0 ? 0 : 1 + accel_class(avail->accel);
}

static unsigned
first_plane(const struct ogl_res *need)
{
	return need->accel == 0 ? 0 : 1 + accel_class(need->accel);
}

static struct ogl_place_zone *
zone_at(const struct ogl_place *p, uint32_t z)
{
	return g_ptr_array_index(p->zones, z);
}

static struct ogl_place_rack *
rack_at(const struct ogl_place *p, uint32_t r)
{
	return &g_array_index(p->racks, struct ogl_place_rack, r);
}

static bool
known(const struct ogl_place *p, uint32_t w)
{
	return w < p->n && p->workers[w].known;
}

/* Free room of a worker, whoever it is kept for. */
static struct ogl_res
free_room(const struct ogl_place_worker *k)
{
	struct ogl_res r = k->capacity;

	ogl_res_sub(&r, &k->held);
	return r;
}

static uint32_t
sat32(uint64_t v)
{
	return v > UINT32_MAX ? UINT32_MAX : (uint32_t)v;
}

static struct ogl_res
times(const struct ogl_res *r, uint32_t n)
{
	struct ogl_res out = {
	    sat32((uint64_t)r->cpu_milli * n),
	    sat32((uint64_t)r->mem_mb * n),
	    sat32((uint64_t)r->accel * n),
	};

	return out;
}

/* ---- the index -------------------------------------------------------- */

static void
sums_add(struct ogl_place *p, const struct ogl_slot *s)
{
	struct ogl_place_rack *r = rack_at(p, s->rack);

	zone_at(p, s->zone)->avail_cpu += s->avail.cpu_milli;
	r->cpu += s->avail.cpu_milli;
	r->mem += s->avail.mem_mb;
	r->accel += s->avail.accel;
}

static void
sums_sub(struct ogl_place *p, const struct ogl_slot *s)
{
	struct ogl_place_rack *r = rack_at(p, s->rack);

	zone_at(p, s->zone)->avail_cpu -= s->avail.cpu_milli;
	r->cpu -= s->avail.cpu_milli;
	r->mem -= s->avail.mem_mb;
	r->accel -= s->avail.accel;
}

static void
count_in(struct ogl_place *p, struct ogl_place_worker *k)
{
	p->total_cpu += k->capacity.cpu_milli;
	p->total_mem += k->capacity.mem_mb;
	p->total_accel += k->capacity.accel;
	p->held_cpu += k->held.cpu_milli;
	p->held_mem += k->held.mem_mb;
	p->held_accel += k->held.accel;
	k->counted = true;
}

static void
count_out(struct ogl_place *p, struct ogl_place_worker *k)
{
	p->total_cpu -= k->capacity.cpu_milli;
	p->total_mem -= k->capacity.mem_mb;
	p->total_accel -= k->capacity.accel;
	p->held_cpu -= k->held.cpu_milli;
	p->held_mem -= k->held.mem_mb;
	p->held_accel -= k->held.accel;
	k->counted = false;
}

/* Takes a worker out of every index, before it changes as a whole. */
static void
unindex(struct ogl_place *p, uint32_t w)
{
	struct ogl_slot *s = &p->slots[w];

	if (p->workers[w].counted)
		count_out(p, &p->workers[w]);
	if (!s->indexed)
		return;
	sums_sub(p, s);
	ogl_grid_take(&zone_at(p, s->zone)->grid[s->plane], p->slots, w);
}

static bool
usable(const struct ogl_place_worker *k)
{
	return k->known && k->open && k->aside == OGL_ASIDE_NOT &&
	       ogl_res_fits(&k->held, &k->capacity);
}

/* A worker gained room: what fits there is no longer known to fit nowhere. */
static void
forget_misses(struct ogl_place *p, const struct ogl_res *avail)
{
	uint32_t i = 0;

	while (i < p->nmiss) {
		if (ogl_res_fits(&p->miss[i], avail))
			p->miss[i] = p->miss[--p->nmiss];
		else
			i++;
	}
}

void
ogl_place_reindex(struct ogl_place *p, uint32_t w)
{
	struct ogl_place_worker *k = &p->workers[w];
	struct ogl_slot *s = &p->slots[w];
	struct ogl_res avail, kept;
	unsigned plane;

	if (!usable(k)) {
		unindex(p, w);
		return;
	}
	if (!k->counted)
		count_in(p, k);
	avail = free_room(k);
	if (k->kept > 0) {
		kept = times(&p->reserved.ask.res, k->kept);
		ogl_res_sub(&avail, &kept);
	}
	plane = plane_of(&k->capacity, &avail);
	if (s->indexed) {
		sums_sub(p, s);
		s->avail = avail;
		sums_add(p, s);
		if (plane != s->plane || ogl_grid_moves(s)) {
			ogl_grid_take(
			    &zone_at(p, s->zone)->grid[s->plane], p->slots, w);
		}
	} else {
		s->avail = avail;
		sums_add(p, s);
	}
	if (!s->indexed) {
		s->plane = (uint8_t)plane;
		ogl_grid_put(&zone_at(p, s->zone)->grid[plane], p->slots, w);
	}
	if (p->nmiss > 0)
		forget_misses(p, &avail);
}

bool
ogl_place_missed(const struct ogl_place *p, const struct ogl_res *need)
{
	uint32_t i;

	for (i = 0; i < p->nmiss; i++) {
		if (ogl_res_fits(&p->miss[i], need))
			return true;
	}
	return false;
}

static void
note_miss(struct ogl_place *p, const struct ogl_res *need)
{
	uint32_t i;

	if (p->nmiss < OGL_PLACE_MISSES)
		i = p->nmiss++;
	else
		i = next_random(p) % OGL_PLACE_MISSES;
	p->miss[i] = *need;
}

/* ---- batch: best fit -------------------------------------------------- */

struct pack {
	const struct ogl_slot *slots;
	const struct ogl_res *need;
	double cpu_unit, mem_unit; /* one over the mean capacity */
	bool by_mem;
	double score; /* least so far */
	uint32_t best;
};

/* How lopsided room is; weighs more the less there is of the scarcer. */
static double
lopsided(double cpu, double mem)
{
	return fabs(cpu - mem) / (MIN(cpu, mem) + ALMOST_FULL);
}

/*
 * Less is better.  Room is lost when one dimension runs out before the other,
 * so a task goes where it evens out what is left; among alike the fuller
 * worker keeps others whole for large tasks.
 */
static void
pack_offer(void *ctx, uint32_t w)
{
	struct pack *k = ctx;
	const struct ogl_res *a = &k->slots[w].avail;
	double cpu = (a->cpu_milli - k->need->cpu_milli) * k->cpu_unit;
	double mem = (a->mem_mb - k->need->mem_mb) * k->mem_unit;
	double before =
	    lopsided(a->cpu_milli * k->cpu_unit, a->mem_mb * k->mem_unit);
	double score = lopsided(cpu, mem) - before + TIGHT * (cpu + mem);

	if (k->best != OGL_PLACE_NONE && score >= k->score)
		return;
	k->score = score;
	k->best = w;
}

/*
 * Walks a plane of one zone after the other, from a zone drawn by chance,
 * until there were offers enough; sets *skipped when a walk was cut short.
 */
static void
pack_plane(struct ogl_place *p, struct pack *k, unsigned plane, uint32_t looks,
    bool *skipped)
{
	uint32_t z, n = p->zones->len, left = OFFERS;
	uint32_t at = n > 0 ? next_random(p) % n : 0;

	for (z = 0; z < n && left > 0; z++) {
		struct ogl_grid_walk walk = {
		    .need = k->need,
		    .by_mem = k->by_mem,
		    .take = MIN(OFFERS_ZONE, left),
		    .misses = looks,
		    .offer = pack_offer,
		    .ctx = k,
		};

		left -= walk.take;
		ogl_grid_walk(
		    &zone_at(p, (at + z) % n)->grid[plane], p->slots, &walk);
		left += walk.take;
		*skipped |= walk.skipped;
	}
}

bool
ogl_place_batch_pick(
    struct ogl_place *p, const struct ogl_ask *ask, uint32_t *w)
{
	struct pack k = {
	    .slots = p->slots, .need = &ask->res, .best = OGL_PLACE_NONE};
	unsigned plane;
	bool skipped;

	k.cpu_unit = p->n / (p->total_cpu + 1.0);
	k.mem_unit = p->n / (p->total_mem + 1.0);
	k.by_mem =
	    ask->res.mem_mb * k.mem_unit > ask->res.cpu_milli * k.cpu_unit;
	for (plane = first_plane(&ask->res); plane < OGL_PLANES; plane++) {
		skipped = false;
		pack_plane(p, &k, plane, LOOKS, &skipped);
		if (k.best == OGL_PLACE_NONE && skipped)
			pack_plane(p, &k, plane, UINT32_MAX, &skipped);
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
	uint64_t score; /* least so far */
	uint32_t best;
};

static uint32_t
job_here(const struct ogl_place_worker *k, uint64_t job)
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
	const struct ogl_slot *s = &k->p->slots[w];
	uint64_t rack = ogl_counts_get(
	    &k->p->counts, ogl_counts_key(k->job, OGL_COUNT_RACK, s->rack));
	uint64_t here = job_here(&k->p->workers[w], k->job);
	uint64_t score = rack << 32 | here;

	if (k->best != OGL_PLACE_NONE && score >= k->score)
		return;
	k->score = score;
	k->best = w;
}

/* One walk of a zone's plane from a class chosen by chance. */
static void
spread_walk(struct ogl_place *p, const struct ogl_ask *ask, struct spread *k,
    const struct ogl_grid *g, uint32_t looks, bool *skipped)
{
	struct ogl_grid_walk walk = {
	    .need = &ask->res,
	    .from = next_random(p) % OGL_GRID_CLASSES,
	    .take = OFFERS,
	    .misses = looks,
	    .offer = spread_offer,
	    .ctx = k,
	};

	ogl_grid_walk(g, p->slots, &walk);
	*skipped |= walk.skipped;
}

static bool
spread_in_zone(struct ogl_place *p, const struct ogl_ask *ask, uint32_t z,
    unsigned plane, uint32_t *w)
{
	struct ogl_grid *g = &zone_at(p, z)->grid[plane];
	struct spread k = {.p = p, .job = ask->job, .best = OGL_PLACE_NONE};
	bool skipped = false;

	if (g->rows == 0)
		return false;
	spread_walk(p, ask, &k, g, LOOKS, &skipped);
	if (k.best == OGL_PLACE_NONE && skipped)
		spread_walk(p, ask, &k, g, UINT32_MAX, &skipped);
	*w = k.best;
	return k.best != OGL_PLACE_NONE;
}

/* The zone not yet tried with fewest tasks of the job, then most room. */
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
			(n == least && zone_at(p, i)->avail_cpu <= most)))
			continue;
		least = n;
		most = zone_at(p, i)->avail_cpu;
		*z = i;
		found = true;
	}
	if (found)
		tried[*z] = 1;
	return found;
}

static bool
service_pick(struct ogl_place *p, const struct ogl_ask *ask, uint32_t *w)
{
	unsigned plane;
	uint32_t z = 0;

	for (plane = first_plane(&ask->res); plane < OGL_PLANES; plane++) {
		uint8_t tried[UINT8_MAX + 1] = {0};

		while (next_zone(p, ask->job, tried, &z)) {
			if (spread_in_zone(p, ask, z, plane, w))
				return true;
		}
	}
	return false;
}

/* ---- policies by kind ------------------------------------------------- */

struct place_policy {
	bool (*pick)(
	    struct ogl_place *p, const struct ogl_ask *ask, uint32_t *w);
	bool spreads; /* its jobs' tasks are counted by zone and rack */
};

static const struct place_policy policies[] = {
    [OGL__KIND__batch] = {ogl_place_batch_pick, false},
    [OGL__KIND__service] = {service_pick, true},
    [OGL__KIND__gang] = {ogl_place_batch_pick, false},
    [OGL__KIND__request] = {ogl_place_batch_pick, false},
};

static const struct place_policy *
policy_of(Ogl__Kind kind)
{
	size_t i = (size_t)kind;

	return &policies[i < G_N_ELEMENTS(policies) ? i : OGL__KIND__batch];
}

/* ---- holding ---------------------------------------------------------- */

static void
job_add(struct ogl_place *p, uint32_t w, uint64_t job)
{
	struct ogl_place_worker *k = &p->workers[w];
	const struct ogl_slot *s = &p->slots[w];
	unsigned i;

	ogl_counts_add(
	    &p->counts, ogl_counts_key(job, OGL_COUNT_ZONE, s->zone));
	ogl_counts_add(
	    &p->counts, ogl_counts_key(job, OGL_COUNT_RACK, s->rack));
	for (i = 0; i < k->njobs; i++) {
		if (k->jobs[i].job == job) {
			k->jobs[i].n++;
			return;
		}
	}
	if (k->njobs == k->room_jobs) {
		k->room_jobs = (uint16_t)(k->room_jobs * 2 + 2);
		k->jobs = g_renew(struct ogl_job_here, k->jobs, k->room_jobs);
	}
	k->jobs[k->njobs].job = job;
	k->jobs[k->njobs++].n = 1;
}

static void
job_uncount(struct ogl_place *p, uint32_t w, uint64_t job)
{
	const struct ogl_slot *s = &p->slots[w];

	ogl_counts_sub(
	    &p->counts, ogl_counts_key(job, OGL_COUNT_ZONE, s->zone));
	ogl_counts_sub(
	    &p->counts, ogl_counts_key(job, OGL_COUNT_RACK, s->rack));
}

static void
job_sub(struct ogl_place *p, uint32_t w, uint64_t job)
{
	struct ogl_place_worker *k = &p->workers[w];
	unsigned i;

	for (i = 0; i < k->njobs && k->jobs[i].job != job; i++)
		;
	if (i == k->njobs)
		return;
	job_uncount(p, w, job);
	if (--k->jobs[i].n == 0)
		k->jobs[i] = k->jobs[--k->njobs];
}

void
ogl_place_take(struct ogl_place *p, uint32_t w, const struct ogl_ask *ask)
{
	struct ogl_place_worker *k = &p->workers[w];
	struct ogl_res room = free_room(k);

	/* The one thing that must hold: no worker gets more than it has. */
	g_assert(ogl_res_fits(&k->held, &k->capacity));
	g_assert(ogl_res_fits(&ask->res, &room));
	ogl_res_add(&k->held, &ask->res);
	if (k->counted) {
		p->held_cpu += ask->res.cpu_milli;
		p->held_mem += ask->res.mem_mb;
		p->held_accel += ask->res.accel;
	}
	if (policy_of(ask->kind)->spreads) {
		ogl_res_add(&k->held_long, &ask->res);
		job_add(p, w, ask->job);
	}
	ogl_place_reindex(p, w);
}

bool
ogl_place_hold(struct ogl_place *p, uint32_t w, const struct ogl_ask *ask)
{
	struct ogl_res room;

	if (!known(p, w))
		return false;
	if (!ogl_res_fits(&p->workers[w].held, &p->workers[w].capacity))
		return false;
	room = free_room(&p->workers[w]);
	if (!ogl_res_fits(&ask->res, &room))
		return false;
	ogl_place_take(p, w, ask);
	return true;
}

void
ogl_place_free(struct ogl_place *p, uint32_t w, const struct ogl_ask *ask)
{
	struct ogl_place_worker *k;

	g_return_if_fail(known(p, w));
	k = &p->workers[w];
	g_return_if_fail(ogl_res_fits(&ask->res, &k->held));
	if (k->counted) {
		p->held_cpu -= ask->res.cpu_milli;
		p->held_mem -= ask->res.mem_mb;
		p->held_accel -= ask->res.accel;
	}
	ogl_res_sub(&k->held, &ask->res);
	if (policy_of(ask->kind)->spreads) {
		ogl_res_sub(&k->held_long, &ask->res);
		job_sub(p, w, ask->job);
	}
	ogl_place_reindex(p, w);
}

/* ---- setting workers aside -------------------------------------------- */

static void
set_aside(struct ogl_place *p, uint32_t w, ogl_time now)
{
	struct ogl_place_worker *k = &p->workers[w];

	if (k->aside == OGL_ASIDE_NOT)
		g_array_append_val(p->aside, w);
	if (k->aside == OGL_ASIDE_PROBE)
		p->probes--;
	k->aside = OGL_ASIDE_WAITS;
	k->aside_due = ogl_health_aside(p->health, w, now);
	p->aside_due = MIN(p->aside_due, k->aside_due);
	ogl_place_unkeep(p, w);
	ogl_place_reindex(p, w);
}

static void
take_back(struct ogl_place *p, uint32_t w)
{
	uint32_t i;

	if (p->workers[w].aside == OGL_ASIDE_NOT)
		return;
	if (p->workers[w].aside == OGL_ASIDE_PROBE)
		p->probes--;
	p->workers[w].aside = OGL_ASIDE_NOT;
	for (i = 0; g_array_index(p->aside, uint32_t, i) != w; i++)
		;
	g_array_remove_index_fast(p->aside, i);
	ogl_place_reindex(p, w);
}

/* Moves workers on whose delay, or whose long probe task, has come due. */
static void
wake(struct ogl_place *p, ogl_time now)
{
	struct ogl_place_worker *k;
	uint32_t i, w;

	if (now < p->aside_due)
		return;
	p->aside_due = OGL_NEVER;
	for (i = p->aside->len; i-- > 0;) {
		w = g_array_index(p->aside, uint32_t, i);
		k = &p->workers[w];
		if (k->aside == OGL_ASIDE_PROBE)
			continue;
		if (now < k->aside_due) {
			p->aside_due = MIN(p->aside_due, k->aside_due);
		} else if (k->aside == OGL_ASIDE_WAITS) {
			k->aside = OGL_ASIDE_PROBE;
			p->probes++;
		} else {
			take_back(p, w);
		}
	}
}

/*
 * A worker ready for its probe that has room.  Gangs are not used as probes:
 * one failed task would cost the whole gang.
 */
static bool
probe_pick(
    struct ogl_place *p, const struct ogl_ask *ask, ogl_time now, uint32_t *w)
{
	struct ogl_place_worker *k;
	struct ogl_res room;
	uint32_t i, at;

	if (p->probes == 0 || ask->kind == OGL__KIND__gang)
		return false;
	at = next_random(p);
	for (i = 0; i < MIN(PROBE_LOOKS, p->aside->len); i++) {
		*w =
		    g_array_index(p->aside, uint32_t, (at + i) % p->aside->len);
		k = &p->workers[*w];
		room = free_room(k);
		if (k->aside != OGL_ASIDE_PROBE || !k->open ||
		    !ogl_res_fits(&k->held, &k->capacity) ||
		    !ogl_res_fits(&ask->res, &room))
			continue;
		k->aside = OGL_ASIDE_PROBING;
		k->aside_due = now + PROBE_LONG;
		p->aside_due = MIN(p->aside_due, k->aside_due);
		p->probes--;
		return true;
	}
	return false;
}

/*
 * At most a small part of the cell is set aside at once.  Were the signs
 * ever wrong for a common cause, such as a broken image or store, the cell
 * would lose most of its workers to it just when all else is failing.
 */
static bool
may_set_aside(const struct ogl_place *p)
{
	uint32_t n = g_hash_table_size(p->byname);

	if (n < ASIDE_SMALLEST)
		return false;
	return p->aside->len < MAX(n / ASIDE_PART, 1);
}

void
ogl_place_result(
    struct ogl_place *p, uint32_t w, uint64_t job, bool ok, ogl_time now)
{
	bool suspect;

	if (!known(p, w))
		return;
	suspect = ogl_health_result(p->health, w, job, ok, now);
	if (p->workers[w].aside == OGL_ASIDE_PROBING) {
		if (ok)
			take_back(p, w);
		else
			set_aside(p, w, now);
	} else if (suspect && p->workers[w].aside == OGL_ASIDE_NOT &&
		   may_set_aside(p)) {
		set_aside(p, w, now);
	}
}

/* ---- one task --------------------------------------------------------- */

bool
ogl_place_task(
    struct ogl_place *p, const struct ogl_ask *ask, ogl_time now, uint32_t *w)
{
	ogl_place_expire(p, now);
	wake(p, now);
	if (!probe_pick(p, ask, now, w)) {
		if (ogl_place_missed(p, &ask->res))
			return false;
		if (!policy_of(ask->kind)->pick(p, ask, w)) {
			note_miss(p, &ask->res);
			return false;
		}
	}
	ogl_place_take(p, *w, ask);
	return true;
}

/* ---- workers ---------------------------------------------------------- */

static guint
shape_hash(gconstpointer v)
{
	const struct ogl_res *r = v;

	return r->cpu_milli * 2654435761u ^ r->mem_mb * 40503u ^ r->accel;
}

static gboolean
shape_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct ogl_res)) == 0;
}

static void
shape_count(struct ogl_place *p, const struct ogl_res *r, int by)
{
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(p->shapes, r));

	n = (guint)((int)n + by);
	if (n == 0)
		g_hash_table_remove(p->shapes, r);
	else
		g_hash_table_replace(
		    p->shapes, g_memdup2(r, sizeof(*r)), GUINT_TO_POINTER(n));
}

static void
zone_free(gpointer v)
{
	struct ogl_place_zone *z = v;
	unsigned i;

	for (i = 0; i < OGL_PLANES; i++)
		ogl_grid_clear(&z->grid[i]);
	g_free(z->name);
	g_free(z);
}

/* Number of a zone; beyond 255 of them they share the last number. */
static uint16_t
zone_number(struct ogl_place *p, const char *name)
{
	struct ogl_place_zone *z;
	gpointer v;

	if (g_hash_table_lookup_extended(p->zone_byname, name, NULL, &v))
		return (uint16_t)GPOINTER_TO_UINT(v);
	if (p->zones->len == UINT8_MAX)
		return UINT8_MAX - 1;
	z = g_new0(struct ogl_place_zone, 1);
	z->name = g_strdup(name);
	g_ptr_array_add(p->zones, z);
	g_hash_table_insert(
	    p->zone_byname, z->name, GUINT_TO_POINTER(p->zones->len - 1));
	return (uint16_t)(p->zones->len - 1);
}

static uint32_t
rack_number(struct ogl_place *p, uint16_t zone, const char *name)
{
	char *key = g_strdup_printf("%u/%s", zone, name);
	struct ogl_place_rack r = {.zone = zone};
	gpointer v;

	if (g_hash_table_lookup_extended(p->rack_byname, key, NULL, &v)) {
		g_free(key);
		return GPOINTER_TO_UINT(v);
	}
	r.workers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_array_append_val(p->racks, r);
	g_hash_table_insert(
	    p->rack_byname, key, GUINT_TO_POINTER(p->racks->len - 1));
	return p->racks->len - 1;
}

static uint32_t
new_number(struct ogl_place *p)
{
	uint32_t w;

	if (p->spare->len > 0) {
		w = g_array_index(p->spare, uint32_t, p->spare->len - 1);
		g_array_set_size(p->spare, p->spare->len - 1);
		return w;
	}
	if (p->n == p->room) {
		p->room = p->room * 2 + 16;
		p->slots = g_renew(struct ogl_slot, p->slots, p->room);
		p->workers =
		    g_renew(struct ogl_place_worker, p->workers, p->room);
	}
	ogl_health_fit(p->health, p->n + 1);
	return p->n++;
}

static void
leave_rack(struct ogl_place *p, uint32_t w)
{
	GArray *a = rack_at(p, p->slots[w].rack)->workers;
	uint32_t i;

	for (i = 0; g_array_index(a, uint32_t, i) != w; i++)
		;
	g_array_remove_index_fast(a, i);
}

/* Adds to, or takes from, the counts all that worker w's jobs have there. */
static void
recount_jobs(struct ogl_place *p, uint32_t w, bool in)
{
	struct ogl_place_worker *k = &p->workers[w];
	const struct ogl_slot *s = &p->slots[w];
	uint32_t i, n;

	for (i = 0; i < k->njobs; i++) {
		for (n = 0; n < k->jobs[i].n; n++) {
			if (!in) {
				job_uncount(p, w, k->jobs[i].job);
				continue;
			}
			ogl_counts_add(
			    &p->counts, ogl_counts_key(k->jobs[i].job,
					    OGL_COUNT_ZONE, s->zone));
			ogl_counts_add(
			    &p->counts, ogl_counts_key(k->jobs[i].job,
					    OGL_COUNT_RACK, s->rack));
		}
	}
}

uint32_t
ogl_place_worker(struct ogl_place *p, const char *name,
    const struct ogl_res *capacity, const char *zone, const char *rack)
{
	struct ogl_place_worker *k;
	uint32_t w;
	gpointer v;

	if (g_hash_table_lookup_extended(p->byname, name, NULL, &v)) {
		w = GPOINTER_TO_UINT(v);
		k = &p->workers[w];
		ogl_place_unkeep(p, w);
		unindex(p, w);
		shape_count(p, &k->capacity, -1);
		recount_jobs(p, w, false);
		leave_rack(p, w);
	} else {
		w = new_number(p);
		k = &p->workers[w];
		memset(k, 0, sizeof(*k));
		memset(&p->slots[w], 0, sizeof(p->slots[w]));
		k->name = g_strdup(name);
		k->known = true;
		g_hash_table_insert(p->byname, k->name, GUINT_TO_POINTER(w));
	}
	k->capacity = *capacity;
	p->slots[w].zone = zone_number(p, zone != NULL ? zone : "");
	p->slots[w].rack =
	    rack_number(p, p->slots[w].zone, rack != NULL ? rack : "");
	g_array_append_val(rack_at(p, p->slots[w].rack)->workers, w);
	recount_jobs(p, w, true);
	shape_count(p, capacity, 1);
	ogl_place_reindex(p, w);
	return w;
}

void
ogl_place_drop(struct ogl_place *p, uint32_t w)
{
	struct ogl_place_worker *k;

	if (!known(p, w))
		return;
	k = &p->workers[w];
	ogl_place_unkeep(p, w);
	take_back(p, w);
	unindex(p, w);
	shape_count(p, &k->capacity, -1);
	recount_jobs(p, w, false);
	leave_rack(p, w);
	ogl_health_forget(p->health, w);
	g_hash_table_remove(p->byname, k->name);
	g_free(k->name);
	g_free(k->jobs);
	memset(k, 0, sizeof(*k));
	g_array_append_val(p->spare, w);
}

void
ogl_place_set(struct ogl_place *p, uint32_t w, enum ogl_place_state st)
{
	if (!known(p, w))
		return;
	p->workers[w].open = st == OGL_PLACE_OPEN;
	if (st == OGL_PLACE_CLOSED)
		ogl_place_unkeep(p, w);
	ogl_place_reindex(p, w);
}

/* ---- whole ------------------------------------------------------------ */

enum ogl_never
ogl_place_never(
    const struct ogl_place *p, const struct ogl_ask *ask, uint32_t n)
{
	GHashTableIter it;
	gpointer shape, count;
	uint64_t sum = 0;

	g_hash_table_iter_init(&it, p->shapes);
	while (g_hash_table_iter_next(&it, &shape, &count)) {
		sum += (uint64_t)ogl_place_fit(&ask->res, shape) *
		       GPOINTER_TO_UINT(count);
		if (sum > 0 && sum >= n)
			return OGL_NEVER_NOT;
	}
	return sum == 0 ? OGL_NEVER_NO_WORKER : OGL_NEVER_GANG_TOTAL;
}

void
ogl_place_room(
    const struct ogl_place *p, struct ogl_res *total, struct ogl_res *held)
{
	total->cpu_milli = sat32(p->total_cpu);
	total->mem_mb = sat32(p->total_mem);
	total->accel = sat32(p->total_accel);
	held->cpu_milli = sat32(p->held_cpu);
	held->mem_mb = sat32(p->held_mem);
	held->accel = sat32(p->held_accel);
}

struct ogl_place *
ogl_place_init(uint64_t seed)
{
	struct ogl_place *p = g_new0(struct ogl_place, 1);

	p->spare = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	p->aside = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	p->reserved.kept = g_array_new(FALSE, FALSE, sizeof(struct ogl_kept));
	p->byname = g_hash_table_new(g_str_hash, g_str_equal);
	p->zones = g_ptr_array_new_with_free_func(zone_free);
	p->zone_byname = g_hash_table_new(g_str_hash, g_str_equal);
	p->racks = g_array_new(FALSE, FALSE, sizeof(struct ogl_place_rack));
	p->rack_byname =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p->shapes =
	    g_hash_table_new_full(shape_hash, shape_equal, g_free, NULL);
	ogl_counts_init(&p->counts);
	p->health = ogl_health_init();
	p->aside_due = OGL_NEVER;
	p->rnd = seed;
	return p;
}

void
ogl_place_end(struct ogl_place *p)
{
	uint32_t i;

	if (p == NULL)
		return;
	for (i = 0; i < p->n; i++) {
		if (!p->workers[i].known)
			continue;
		g_free(p->workers[i].name);
		g_free(p->workers[i].jobs);
	}
	for (i = 0; i < p->racks->len; i++)
		g_array_free(rack_at(p, i)->workers, TRUE);
	ogl_health_end(p->health);
	ogl_counts_clear(&p->counts);
	g_hash_table_destroy(p->shapes);
	g_hash_table_destroy(p->rack_byname);
	g_array_free(p->racks, TRUE);
	g_hash_table_destroy(p->zone_byname);
	g_ptr_array_free(p->zones, TRUE);
	g_hash_table_destroy(p->byname);
	g_array_free(p->reserved.kept, TRUE);
	g_array_free(p->aside, TRUE);
	g_array_free(p->spare, TRUE);
	g_free(p->workers);
	g_free(p->slots);
	g_free(p);
}

size_t
ogl_place_bytes(const struct ogl_place *p)
{
	size_t n = sizeof(*p) + ogl_health_bytes(p->health);
	uint32_t i;
	unsigned plane;

	n += p->room * (sizeof(*p->slots) + sizeof(*p->workers));
	n += p->counts.size * sizeof(*p->counts.cells);
	n += p->racks->len * sizeof(struct ogl_place_rack);
	for (i = 0; i < p->n; i++)
		n += p->workers[i].room_jobs * sizeof(struct ogl_job_here);
	for (i = 0; i < p->racks->len; i++)
		n += rack_at(p, i)->workers->len * sizeof(uint32_t);
	for (i = 0; i < p->zones->len; i++) {
		for (plane = 0; plane < OGL_PLANES; plane++)
			n += ogl_grid_bytes(&zone_at(p, i)->grid[plane]);
	}
	return n;
}
