/*
 * Gangs, whose tasks are placed all at once or not at all, and the reservation.
 *
 * A gang is first planned without changing anything, then held.  The plan first
 * tries single racks, found in the zone's grid of racks by the sum of their
 * workers' free room, then many racks, starting in the zone with the most room.
 * All tasks of a gang have the same need, so how many fit on a worker does not
 * depend on the other workers, and a plan over all racks finds room whenever
 * there is enough.  When it fails, the number of tasks that did fit is kept as
 * an upper bound, which rises as workers gain room.  Gangs with at least this
 * need and more tasks than the bound are refused at once.
 *
 * Without a reservation a large gang may wait forever, since room that becomes
 * free goes to smaller tasks at once.  The reservation keeps room on chosen
 * workers for one gang: on each for a number of its tasks.  Other work is
 * offered the remaining room of these workers and all room of the other
 * workers, so smaller tasks keep running meanwhile.  Room that services hold is
 * assumed to stay held.  The reservation ends at its deadline at the latest.  A
 * gang that could not run even if all tasks but those of services ended gets no
 * reservation, because the room would be kept for nothing.
 */

#include "place.h"

#define SINGLE_RACK_OFFERS 4  /* racks with enough room tried per zone */
#define SINGLE_RACK_MISSES 32 /* racks without room examined per zone */
#define BISECTION_STEPS 7     /* of the search in choose_workers */
/* Least time between two choices of the workers of the reservation. */
#define MIN_CHOOSE_INTERVAL OGL_SEC

/* ---- plans ------------------------------------------------------------ */

struct plan {
	struct ogl_place *p;
	const struct ogl_demand *demand; /* of each task */
	uint32_t n;                      /* tasks wanted */
	uint32_t planned;
	uint32_t *w;            /* worker of each planned task */
	bool use_accel_workers; /* even when no accelerator is needed */
	struct ogl_grid_walk *walk;
};

static void
plan_rack(struct plan *k, uint32_t rack)
{
	const GArray *a = ogl_place_rack_at(k->p, rack)->workers;
	const struct ogl_grid_entry *s;
	uint32_t i, w, fit;

	for (i = 0; i < a->len && k->planned < k->n; i++) {
		w = g_array_index(a, uint32_t, i);
		s = &k->p->entries[w];
		if (!s->indexed)
			continue;
		if (k->demand->res.accel == 0 && s->accel_group != 0 &&
		    !k->use_accel_workers)
			continue;
		fit = ogl_place_tasks_fit(&k->demand->res, &s->avail);
		for (; fit > 0 && k->planned < k->n; fit--)
			k->w[k->planned++] = w;
	}
}

static void
single_rack_offer(void *ctx, uint32_t rack)
{
	struct plan *k = ctx;

	k->planned = 0;
	plan_rack(k, rack);
	if (k->planned == k->n)
		k->walk->offers_left = 0; /* ends the search */
}

/* Looks for one rack that can hold the whole gang; in each zone the racks with
 * the least room come first. */
static bool
plan_single_rack(struct plan *k)
{
	struct ogl_res all = ogl_place_multiply(&k->demand->res, k->n);
	uint32_t i, zones = k->p->zones->len, start = ogl_place_random(k->p);
	struct ogl_place_zone *z;

	k->planned = 0;
	for (i = 0; i < zones; i++) {
		struct ogl_grid_walk walk = {
		    .need = &all,
		    .offers_left = SINGLE_RACK_OFFERS,
		    .misses_left = SINGLE_RACK_MISSES,
		    .offer = single_rack_offer,
		    .ctx = k,
		};

		k->walk = &walk;
		z = ogl_place_zone_at(k->p, (start + i) % zones);
		ogl_grid_walk(&z->racks, k->p->rack_entries, &walk);
		if (k->planned == k->n)
			return true;
	}
	return false;
}

static void
fill_offer(void *ctx, uint32_t rack)
{
	struct plan *k = ctx;
	struct ogl_place_rack *r = ogl_place_rack_at(k->p, rack);

	if (r->last_plan == k->p->plans_made)
		return;
	r->last_plan = k->p->plans_made;
	plan_rack(k, rack);
	if (k->planned == k->n)
		k->walk->offers_left = 0; /* ends the search */
}

/*
 * Fills the racks of a zone: first those whose free room suffices, in sum, for
 * half of the gang, then for a quarter, and so on down to single tasks, so that
 * few racks are used.
 */
static void
plan_zone(struct plan *k, uint32_t z)
{
	const struct ogl_grid *g = &ogl_place_zone_at(k->p, z)->racks;
	uint32_t tasks = k->n;
	struct ogl_res need;

	while (k->planned < k->n && tasks > 0) {
		struct ogl_grid_walk walk = {
		    .need = &need,
		    .offers_left = UINT32_MAX,
		    .misses_left = UINT32_MAX,
		    .offer = fill_offer,
		    .ctx = k,
		};

		tasks = tasks > 1 ? (tasks + 1) / 2 : 0;
		need = ogl_place_multiply(&k->demand->res, MAX(tasks, 1));
		k->walk = &walk;
		ogl_grid_walk(g, k->p->rack_entries, &walk);
	}
}

/* Number of tasks with the need in one resource that fit in a sum of room. */
static uint64_t
tasks_fit_sum(uint32_t need, uint64_t sum)
{
	return need > 0 ? sum / need : UINT32_MAX;
}

/* An upper bound on the tasks that fit in a zone, from the sums of its room. */
static uint64_t
zone_upper_bound(const struct ogl_place_zone *z, const struct ogl_res *need)
{
	uint64_t n = tasks_fit_sum(need->cpu_milli, z->cpu);

	n = MIN(n, tasks_fit_sum(need->mem_mb, z->mem));
	return MIN(n, tasks_fit_sum(need->accel, z->accel));
}

/* Plans over many racks, starting in the zone with the most room. */
static bool
plan_many_racks(struct plan *k)
{
	uint32_t z, zones = k->p->zones->len, best = 0;
	uint64_t bound, sum = 0, best_bound = 0;

	for (z = 0; z < zones; z++) {
		bound = zone_upper_bound(
		    ogl_place_zone_at(k->p, z), &k->demand->res);
		sum += bound;
		if (bound > best_bound) {
			best_bound = bound;
			best = z;
		}
	}
	k->planned = 0;
	if (sum < k->n)
		return false;
	k->p->plans_made++;
	for (z = 0; z < zones && k->planned < k->n; z++)
		plan_zone(k, (best + z) % zones);
	return k->planned == k->n;
}

static bool
plan_gang(struct plan *k)
{
	const struct ogl_res *need = &k->demand->res;

	if (k->n == 0)
		return true;
	if (ogl_place_known_no_fit(k->p, need) ||
	    ogl_place_gang_known_no_fit(k->p, need, k->n))
		return false;
	if (plan_single_rack(k) || plan_many_racks(k))
		return true;
	if (need->accel == 0) {
		k->use_accel_workers = true;
		if (plan_single_rack(k) || plan_many_racks(k))
			return true;
	}
	/* The failed plan over all racks contains every task that fits. */
	if (k->planned > 0)
		ogl_place_note_gang_bound(k->p, need, k->planned);
	return false;
}

/* ---- the reservation -------------------------------------------------- */

/* Free room of a worker in one resource once the given fraction of its work,
 * services not counted, has ended. */
static uint32_t
free_after_end(uint32_t capacity, uint32_t held, uint32_t held_by_services,
    double fraction)
{
	return capacity - held +
	       (uint32_t)(fraction * (held - held_by_services));
}

/*
 * Number of tasks of the gang that would fit on w once the given fraction of
 * its work, services not counted, has ended.
 */
static uint32_t
fit_after_end(const struct ogl_place *p, uint32_t w, double fraction,
    bool use_accel_workers)
{
	const struct ogl_place_worker *k = &p->workers[w];
	const struct ogl_res *need = &p->reserved.demand.res;
	struct ogl_res room;

	if (!p->entries[w].indexed)
		return 0;
	if (need->accel == 0 && k->capacity.accel > 0 && !use_accel_workers)
		return 0;
	room.cpu_milli = free_after_end(k->capacity.cpu_milli,
	    k->held.cpu_milli, k->held_by_services.cpu_milli, fraction);
	room.mem_mb = free_after_end(k->capacity.mem_mb, k->held.mem_mb,
	    k->held_by_services.mem_mb, fraction);
	room.accel = free_after_end(k->capacity.accel, k->held.accel,
	    k->held_by_services.accel, fraction);
	return MIN(ogl_place_tasks_fit(need, &room), p->reserved.n);
}

static bool
enough_after_end(
    const struct ogl_place *p, double fraction, bool use_accel_workers)
{
	uint64_t sum = 0;
	uint32_t w;

	for (w = 0; w < p->n && sum < p->reserved.n; w++)
		sum += fit_after_end(p, w, fraction, use_accel_workers);
	return sum >= p->reserved.n;
}

/* Adds workers to the reservation, each for as many tasks as would fit once the
 * given fraction of its work has ended.  *left is the number of tasks that
 * still need a worker. */
static void
reserve_on_workers(struct ogl_place *p, double fraction, bool use_accel_workers,
    uint32_t *left)
{
	struct ogl_reserved_worker r;
	uint32_t fit;

	for (r.w = 0; (r.w < p->n) && *left > 0; r.w++) {
		fit = fit_after_end(p, r.w, fraction, use_accel_workers);
		r.tasks = MIN(fit, *left);
		if (r.tasks == 0)
			continue;
		*left -= r.tasks;
		g_array_append_val(p->reserved.workers, r);
	}
}

/*
 * Chooses the workers to reserve room on; false when the gang would not fit
 * even if all work but services ended.  Bisection finds the smallest fraction
 * f such that the gang fits once every worker has ended the fraction f of its
 * work.  This reserves room for a few tasks on each of many workers, which is
 * free long before a few workers have ended all their work.  Free room counts
 * in full at any f, so choosing again uses all room that is free by then.
 */
static bool
choose_workers(struct ogl_place *p, ogl_time now)
{
	double low = 0, high = 1, middle;
	uint32_t i, left = p->reserved.n;
	bool use_accel_workers;

	g_array_set_size(p->reserved.workers, 0);
	p->reserved.worker_lost = false;
	p->reserved.chosen_at = now;
	use_accel_workers = !enough_after_end(p, high, false);
	if (use_accel_workers && !enough_after_end(p, high, true))
		return false;
	for (i = 0; i < BISECTION_STEPS; i++) {
		middle = (low + high) / 2;
		if (enough_after_end(p, middle, use_accel_workers))
			high = middle;
		else
			low = middle;
	}
	reserve_on_workers(p, high, use_accel_workers, &left);
	return true;
}

/* Hides the reserved room from other work, or makes it available again. */
static void
apply_reservation(struct ogl_place *p, bool on)
{
	const struct ogl_reserved_worker *k;
	uint32_t i;

	for (i = 0; i < p->reserved.workers->len; i++) {
		k = &g_array_index(
		    p->reserved.workers, struct ogl_reserved_worker, i);
		p->workers[k->w].reserved_tasks = on ? k->tasks : 0;
		ogl_place_reindex(p, k->w);
	}
}

/* Ends the reservation; all work may use the room that was reserved. */
static void
end_reservation(struct ogl_place *p)
{
	apply_reservation(p, false);
	g_array_set_size(p->reserved.workers, 0);
	p->reserved.active = false;
}

void
ogl_place_unreserve_worker(struct ogl_place *p, uint32_t w)
{
	GArray *a = p->reserved.workers;
	uint32_t i;

	if (p->workers[w].reserved_tasks == 0)
		return;
	p->workers[w].reserved_tasks = 0;
	p->reserved.worker_lost = true;
	for (i = 0; g_array_index(a, struct ogl_reserved_worker, i).w != w; i++)
		;
	g_array_remove_index_fast(a, i);
}

void
ogl_place_expire_reservation(struct ogl_place *p, ogl_time now)
{
	if (p->reserved.active && now >= p->reserved.until)
		end_reservation(p);
}

bool
ogl_place_reserve(struct ogl_place *p, uint64_t job,
    const struct ogl_demand *demand, uint32_t n, ogl_time until, ogl_time now)
{
	ogl_place_expire_reservation(p, now);
	if (p->reserved.active && p->reserved.demand.job != job)
		return false;
	if (until <= now)
		return false;
	apply_reservation(p, false);
	p->reserved.active = true;
	p->reserved.demand = *demand;
	p->reserved.demand.job = job;
	p->reserved.n = n;
	p->reserved.until = until;
	if (choose_workers(p, now))
		apply_reservation(p, true);
	else
		end_reservation(p);
	return p->reserved.active;
}

void
ogl_place_unreserve(struct ogl_place *p, uint64_t job)
{
	if (!p->reserved.active || p->reserved.demand.job != job)
		return;
	end_reservation(p);
}

/* ---- a gang ----------------------------------------------------------- */

/*
 * Plans the gang that has the reservation, with the reserved room available.
 * When that fails, the workers are chosen again if one was lost or the last
 * choice is at least MIN_CHOOSE_INTERVAL old.  The reservation ends if the gang
 * would not fit on any choice of workers.
 */
static bool
plan_reserved(struct ogl_place *p, struct plan *k, ogl_time now)
{
	bool ok;

	apply_reservation(p, false);
	ok = plan_gang(k);
	if (!ok &&
	    (p->reserved.worker_lost ||
		now - p->reserved.chosen_at >= MIN_CHOOSE_INTERVAL) &&
	    !choose_workers(p, now))
		end_reservation(p);
	else
		apply_reservation(p, true);
	return ok;
}

bool
ogl_place_gang(struct ogl_place *p, const struct ogl_demand *demand, uint32_t n,
    ogl_time now, uint32_t *w)
{
	struct plan k = {.p = p, .demand = demand, .n = n, .w = w};
	uint32_t i;
	bool own, ok;

	ogl_place_expire_reservation(p, now);
	own = p->reserved.active && p->reserved.demand.job == demand->job;
	ok = own ? plan_reserved(p, &k, now) : plan_gang(&k);
	if (!ok)
		return false;
	if (own)
		ogl_place_unreserve(p, demand->job);
	for (i = 0; i < n; i++)
		ogl_place_take(p, w[i], demand);
	return true;
}
