/*
 * The index of placement: where each worker stands in the grids, sums by
 * zone and rack, and shapes known to fit nowhere.
 *
 * Every change of a worker ends in ogl_place_reindex, which works out what
 * it shows to searches: its free room less what is kept for a reservation,
 * nothing at all when it is closed, set aside or overfull.
 */

#include "place.h"

uint32_t
ogl_place_sat(uint64_t v)
{
	return v > UINT32_MAX ? UINT32_MAX : (uint32_t)v;
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

unsigned
ogl_place_first_plane(const struct ogl_res *need)
{
	return need->accel == 0 ? 0 : 1 + accel_class(need->accel);
}

static struct ogl_res
times(const struct ogl_res *r, uint32_t n)
{
	struct ogl_res out = {
	    ogl_place_sat((uint64_t)r->cpu_milli * n),
	    ogl_place_sat((uint64_t)r->mem_mb * n),
	    ogl_place_sat((uint64_t)r->accel * n),
	};

	return out;
}

/* ---- the index -------------------------------------------------------- */

static void
sums_add(struct ogl_place *p, const struct ogl_slot *s)
{
	struct ogl_place_rack *r = ogl_place_rack_at(p, s->rack);

	ogl_place_zone_at(p, s->zone)->avail_cpu += s->avail.cpu_milli;
	r->cpu += s->avail.cpu_milli;
	r->mem += s->avail.mem_mb;
	r->accel += s->avail.accel;
}

static void
sums_sub(struct ogl_place *p, const struct ogl_slot *s)
{
	struct ogl_place_rack *r = ogl_place_rack_at(p, s->rack);

	ogl_place_zone_at(p, s->zone)->avail_cpu -= s->avail.cpu_milli;
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
void
ogl_place_unindex(struct ogl_place *p, uint32_t w)
{
	struct ogl_slot *s = &p->slots[w];

	if (p->workers[w].counted)
		count_out(p, &p->workers[w]);
	if (!s->indexed)
		return;
	sums_sub(p, s);
	ogl_grid_take(
	    &ogl_place_zone_at(p, s->zone)->grid[s->plane], p->slots, w);
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
		ogl_place_unindex(p, w);
		return;
	}
	if (!k->counted)
		count_in(p, k);
	avail = ogl_place_free_room(k);
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
			    &ogl_place_zone_at(p, s->zone)->grid[s->plane],
			    p->slots, w);
		}
	} else {
		s->avail = avail;
		sums_add(p, s);
	}
	if (!s->indexed) {
		s->plane = (uint8_t)plane;
		ogl_grid_put(
		    &ogl_place_zone_at(p, s->zone)->grid[plane], p->slots, w);
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

void
ogl_place_note_miss(struct ogl_place *p, const struct ogl_res *need)
{
	uint32_t i;

	if (p->nmiss < OGL_PLACE_MISSES)
		i = p->nmiss++;
	else
		i = ogl_place_random(p) % OGL_PLACE_MISSES;
	p->miss[i] = *need;
}
