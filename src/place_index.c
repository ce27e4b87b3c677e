/*
 * The index of placement: the buckets of workers in the grids, sums by zone and
 * rack, needs known to fit on no worker, and gangs known not to fit.
 *
 * Every change of a worker ends in ogl_place_reindex, which computes the room
 * that searches see: the worker's free room less what is reserved for a gang,
 * or nothing when it is unschedulable, quarantined or over its capacity.
 */

#include "place.h"

uint32_t
ogl_place_saturate(uint64_t v)
{
	return v > UINT32_MAX ? UINT32_MAX : (uint32_t)v;
}

static uint32_t
tasks_fit_dimension(uint32_t need, uint32_t room)
{
	return need > 0 ? room / need : UINT32_MAX;
}

uint32_t
ogl_place_tasks_fit(const struct ogl_res *need, const struct ogl_res *room)
{
	uint32_t n = tasks_fit_dimension(need->cpu_milli, room->cpu_milli);

	n = MIN(n, tasks_fit_dimension(need->mem_mb, room->mem_mb));
	return MIN(n, tasks_fit_dimension(need->accel, room->accel));
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

/* The group is 0 for workers without accelerators; otherwise it depends on how
 * many are free. */
static unsigned
accel_group_of(const struct ogl_res *capacity, const struct ogl_res *avail)
{
	return capacity->accel == 0 ? 0 : 1 + accel_class(avail->accel);
}

unsigned
ogl_place_first_accel_group(const struct ogl_res *need)
{
	return need->accel == 0 ? 0 : 1 + accel_class(need->accel);
}

struct ogl_res
ogl_place_multiply(const struct ogl_res *r, uint32_t n)
{
	struct ogl_res out = {
	    ogl_place_saturate((uint64_t)r->cpu_milli * n),
	    ogl_place_saturate((uint64_t)r->mem_mb * n),
	    ogl_place_saturate((uint64_t)r->accel * n),
	};

	return out;
}

/* ---- the index -------------------------------------------------------- */

void
ogl_place_rack_reindex(struct ogl_place *p, uint32_t rack)
{
	const struct ogl_place_rack *r = ogl_place_rack_at(p, rack);
	struct ogl_grid *g = &ogl_place_zone_at(p, r->zone)->racks;
	struct ogl_grid_entry *s = &p->rack_entries[rack];

	s->avail.cpu_milli = ogl_place_saturate(r->cpu);
	s->avail.mem_mb = ogl_place_saturate(r->mem);
	s->avail.accel = ogl_place_saturate(r->accel);
	if (s->indexed && !ogl_grid_must_move(s))
		return;
	if (s->indexed)
		ogl_grid_remove(g, p->rack_entries, rack);
	ogl_grid_insert(g, p->rack_entries, rack);
}

static void
sums_add(struct ogl_place *p, const struct ogl_grid_entry *s)
{
	struct ogl_place_rack *r = ogl_place_rack_at(p, s->rack);
	struct ogl_place_zone *z = ogl_place_zone_at(p, s->zone);

	z->cpu += s->avail.cpu_milli;
	z->mem += s->avail.mem_mb;
	z->accel += s->avail.accel;
	r->cpu += s->avail.cpu_milli;
	r->mem += s->avail.mem_mb;
	r->accel += s->avail.accel;
}

static void
sums_sub(struct ogl_place *p, const struct ogl_grid_entry *s)
{
	struct ogl_place_rack *r = ogl_place_rack_at(p, s->rack);
	struct ogl_place_zone *z = ogl_place_zone_at(p, s->zone);

	z->cpu -= s->avail.cpu_milli;
	z->mem -= s->avail.mem_mb;
	z->accel -= s->avail.accel;
	r->cpu -= s->avail.cpu_milli;
	r->mem -= s->avail.mem_mb;
	r->accel -= s->avail.accel;
}

static void
add_to_totals(struct ogl_place *p, struct ogl_place_worker *k)
{
	p->total_cpu += k->capacity.cpu_milli;
	p->total_mem += k->capacity.mem_mb;
	p->total_accel += k->capacity.accel;
	p->held_cpu += k->held.cpu_milli;
	p->held_mem += k->held.mem_mb;
	p->held_accel += k->held.accel;
	k->in_totals = true;
}

static void
remove_from_totals(struct ogl_place *p, struct ogl_place_worker *k)
{
	p->total_cpu -= k->capacity.cpu_milli;
	p->total_mem -= k->capacity.mem_mb;
	p->total_accel -= k->capacity.accel;
	p->held_cpu -= k->held.cpu_milli;
	p->held_mem -= k->held.mem_mb;
	p->held_accel -= k->held.accel;
	k->in_totals = false;
}

void
ogl_place_unindex(struct ogl_place *p, uint32_t w)
{
	struct ogl_grid_entry *s = &p->entries[w];

	if (p->workers[w].in_totals)
		remove_from_totals(p, &p->workers[w]);
	if (!s->indexed)
		return;
	sums_sub(p, s);
	ogl_place_rack_reindex(p, s->rack);
	ogl_grid_remove(&ogl_place_zone_at(p, s->zone)->grid[s->accel_group],
	    p->entries, w);
}

static bool
usable(const struct ogl_place_worker *k)
{
	return k->known && k->schedulable &&
	       k->quarantine_state == OGL_QUARANTINE_NONE &&
	       ogl_res_fits(&k->held, &k->capacity);
}

/* Forgets the needs that now fit on a worker that gained room. */
static void
forget_no_fits(struct ogl_place *p, const struct ogl_res *avail)
{
	uint32_t i = 0;

	while (i < p->no_fit_count) {
		if (ogl_res_fits(&p->no_fits[i], avail))
			p->no_fits[i] = p->no_fits[--p->no_fit_count];
		else
			i++;
	}
}

/* Raises the bounds of gangs by the tasks that fit in the room that a worker
 * gained. */
static void
raise_gang_bounds(struct ogl_place *p, const struct ogl_res *before,
    const struct ogl_res *after)
{
	struct ogl_gang_bound *bound;
	uint32_t i, old, new;

	for (i = 0; i < p->gang_bound_count; i++) {
		bound = &p->gang_bounds[i];
		old = ogl_place_tasks_fit(&bound->need, before);
		new = ogl_place_tasks_fit(&bound->need, after);
		if (new > old)
			bound->max_tasks += new - old;
	}
}

/* Moves worker w to the bucket that its avail, just set, belongs to. */
static void
move_entry(struct ogl_place *p, uint32_t w)
{
	struct ogl_grid_entry *s = &p->entries[w];
	struct ogl_grid *grid = ogl_place_zone_at(p, s->zone)->grid;
	unsigned accel_group =
	    accel_group_of(&p->workers[w].capacity, &s->avail);

	if (s->indexed && accel_group == s->accel_group &&
	    !ogl_grid_must_move(s))
		return;
	if (s->indexed)
		ogl_grid_remove(&grid[s->accel_group], p->entries, w);
	s->accel_group = (uint8_t)accel_group;
	ogl_grid_insert(&grid[accel_group], p->entries, w);
}

void
ogl_place_reindex(struct ogl_place *p, uint32_t w)
{
	struct ogl_place_worker *k = &p->workers[w];
	struct ogl_grid_entry *s = &p->entries[w];
	struct ogl_res before = {0}, reserved;

	if (!usable(k)) {
		ogl_place_unindex(p, w);
		return;
	}
	if (!k->in_totals)
		add_to_totals(p, k);
	if (s->indexed) {
		before = s->avail;
		sums_sub(p, s);
	}
	s->avail = ogl_place_free_room(k);
	if (k->reserved_tasks > 0) {
		reserved = ogl_place_multiply(
		    &p->reserved.demand.res, k->reserved_tasks);
		ogl_res_sub(&s->avail, &reserved);
	}
	sums_add(p, s);
	ogl_place_rack_reindex(p, s->rack);
	move_entry(p, w);
	forget_no_fits(p, &s->avail);
	raise_gang_bounds(p, &before, &s->avail);
}

bool
ogl_place_known_no_fit(const struct ogl_place *p, const struct ogl_res *need)
{
	uint32_t i;

	for (i = 0; i < p->no_fit_count; i++) {
		if (ogl_res_fits(&p->no_fits[i], need))
			return true;
	}
	return false;
}

void
ogl_place_note_no_fit(struct ogl_place *p, const struct ogl_res *need)
{
	uint32_t i;

	if (p->no_fit_count < OGL_MAX_NO_FITS)
		i = p->no_fit_count++;
	else
		i = ogl_place_random(p) % OGL_MAX_NO_FITS;
	p->no_fits[i] = *need;
}

bool
ogl_place_gang_known_no_fit(
    const struct ogl_place *p, const struct ogl_res *need, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < p->gang_bound_count; i++) {
		if (ogl_res_fits(&p->gang_bounds[i].need, need) &&
		    n > p->gang_bounds[i].max_tasks)
			return true;
	}
	return false;
}

void
ogl_place_note_gang_bound(
    struct ogl_place *p, const struct ogl_res *need, uint64_t max_tasks)
{
	uint32_t i = p->next_gang_bound++ % OGL_MAX_GANG_BOUNDS;

	p->gang_bound_count = MIN(p->gang_bound_count + 1, OGL_MAX_GANG_BOUNDS);
	p->gang_bounds[i].need = *need;
	p->gang_bounds[i].max_tasks = max_tasks;
}
