/*
 * Placement: which worker a task runs on, and the resources held on workers.
 *
 * Every zone has one grid of free room (place_grid.c) for each group of workers
 * by free accelerators; tasks that need none first try workers without any.
 * place_index.c keeps the grids, place_pick.c has the policies of the kinds,
 * place_gang.c places gangs, place_aside.c quarantines failing workers.  Needs
 * that fit on no worker are remembered until a worker gains room for them, so
 * a full cell refuses a task after a few comparisons.
 *
 * Invariant: the resources held on a worker never exceed its capacity, unless
 * the worker itself lowered its capacity; then it gets no more tasks.
 */

#include <string.h>

#include "place.h"

uint32_t
ogl_place_random(struct ogl_place *p)
{
	uint64_t x;

	p->random_state += 0x9e3779b97f4a7c15u;
	x = (p->random_state ^ (p->random_state >> 30)) * 0xbf58476d1ce4e5b9u;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
	return (uint32_t)(x >> 32);
}

/* ---- holding ---------------------------------------------------------- */

/* Adds or removes a task of a job in the counts of worker w's zone and rack. */
static void
count_job(struct ogl_place *p, uint32_t w, uint64_t job, bool add)
{
	const struct ogl_grid_entry *s = &p->entries[w];
	uint64_t zone = ogl_counts_key(job, OGL_COUNT_ZONE, s->zone);
	uint64_t rack = ogl_counts_key(job, OGL_COUNT_RACK, s->rack);

	if (add) {
		ogl_counts_add(&p->counts, zone);
		ogl_counts_add(&p->counts, rack);
	} else {
		ogl_counts_sub(&p->counts, zone);
		ogl_counts_sub(&p->counts, rack);
	}
}

static void
job_add(struct ogl_place *p, uint32_t w, uint64_t job)
{
	struct ogl_place_worker *k = &p->workers[w];
	unsigned i;

	count_job(p, w, job, true);
	for (i = 0; i < k->njobs; i++) {
		if (k->jobs[i].job == job) {
			k->jobs[i].n++;
			return;
		}
	}
	if (k->njobs == k->jobs_allocated) {
		k->jobs_allocated = (uint16_t)(k->jobs_allocated * 2 + 2);
		k->jobs =
		    g_renew(struct ogl_job_tasks, k->jobs, k->jobs_allocated);
	}
	k->jobs[k->njobs].job = job;
	k->jobs[k->njobs++].n = 1;
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
	count_job(p, w, job, false);
	if (--k->jobs[i].n == 0)
		k->jobs[i] = k->jobs[--k->njobs];
}

void
ogl_place_take(struct ogl_place *p, uint32_t w, const struct ogl_demand *demand)
{
	struct ogl_place_worker *k = &p->workers[w];
	struct ogl_res room = ogl_place_free_room(k);

	/* Invariant: no worker gets more than its capacity. */
	g_assert(ogl_res_fits(&k->held, &k->capacity));
	g_assert(ogl_res_fits(&demand->res, &room));
	ogl_res_add(&k->held, &demand->res);
	if (k->in_totals) {
		p->held_cpu += demand->res.cpu_milli;
		p->held_mem += demand->res.mem_mb;
		p->held_accel += demand->res.accel;
	}
	if (ogl_place_policy(demand->kind)->spreads) {
		ogl_res_add(&k->held_by_services, &demand->res);
		job_add(p, w, demand->job);
	}
	ogl_place_reindex(p, w);
}

bool
ogl_place_hold(struct ogl_place *p, uint32_t w, const struct ogl_demand *demand)
{
	struct ogl_res room;

	if (!ogl_place_known(p, w))
		return false;
	if (!ogl_res_fits(&p->workers[w].held, &p->workers[w].capacity))
		return false;
	room = ogl_place_free_room(&p->workers[w]);
	if (!ogl_res_fits(&demand->res, &room))
		return false;
	ogl_place_take(p, w, demand);
	return true;
}

void
ogl_place_free(struct ogl_place *p, uint32_t w, const struct ogl_demand *demand)
{
	struct ogl_place_worker *k;

	g_return_if_fail(ogl_place_known(p, w));
	k = &p->workers[w];
	g_return_if_fail(ogl_res_fits(&demand->res, &k->held));
	if (k->in_totals) {
		p->held_cpu -= demand->res.cpu_milli;
		p->held_mem -= demand->res.mem_mb;
		p->held_accel -= demand->res.accel;
	}
	ogl_res_sub(&k->held, &demand->res);
	if (ogl_place_policy(demand->kind)->spreads) {
		ogl_res_sub(&k->held_by_services, &demand->res);
		job_sub(p, w, demand->job);
	}
	ogl_place_reindex(p, w);
}

/* ---- one task --------------------------------------------------------- */

bool
ogl_place_task(struct ogl_place *p, const struct ogl_demand *demand,
    ogl_time now, uint32_t *w)
{
	ogl_place_expire_reservation(p, now);
	ogl_place_update_quarantine(p, now);
	if (!ogl_place_pick_probe(p, demand, now, w)) {
		if (ogl_place_known_no_fit(p, &demand->res))
			return false;
		if (!ogl_place_policy(demand->kind)->pick(p, demand, w)) {
			ogl_place_note_no_fit(p, &demand->res);
			return false;
		}
	}
	ogl_place_take(p, *w, demand);
	return true;
}

/* ---- workers ---------------------------------------------------------- */

static guint
res_hash(gconstpointer v)
{
	const struct ogl_res *r = v;

	return r->cpu_milli * 2654435761u ^ r->mem_mb * 40503u ^ r->accel;
}

static gboolean
res_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct ogl_res)) == 0;
}

static void
count_capacity(struct ogl_place *p, const struct ogl_res *r, int delta)
{
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(p->capacity_counts, r));

	n = (guint)((int)n + delta);
	if (n == 0)
		g_hash_table_remove(p->capacity_counts, r);
	else
		g_hash_table_replace(p->capacity_counts,
		    g_memdup2(r, sizeof(*r)), GUINT_TO_POINTER(n));
}

static void
zone_free(gpointer v)
{
	struct ogl_place_zone *z = v;
	unsigned i;

	for (i = 0; i < OGL_ACCEL_GROUPS; i++)
		ogl_grid_clear(&z->grid[i]);
	ogl_grid_clear(&z->racks);
	g_free(z->name);
	g_free(z);
}

/* Returns the number of a zone.  Zones beyond the first 255 share the last
 * number. */
static uint16_t
zone_number(struct ogl_place *p, const char *name)
{
	struct ogl_place_zone *z;
	gpointer v;

	if (g_hash_table_lookup_extended(p->zone_by_name, name, NULL, &v))
		return (uint16_t)GPOINTER_TO_UINT(v);
	if (p->zones->len == UINT8_MAX)
		return UINT8_MAX - 1;
	z = g_new0(struct ogl_place_zone, 1);
	z->name = g_strdup(name);
	g_ptr_array_add(p->zones, z);
	g_hash_table_insert(
	    p->zone_by_name, z->name, GUINT_TO_POINTER(p->zones->len - 1));
	return (uint16_t)(p->zones->len - 1);
}

static uint32_t
rack_number(struct ogl_place *p, uint16_t zone, const char *name)
{
	char *key = g_strdup_printf("%u/%s", zone, name);
	struct ogl_place_rack r = {.zone = zone};
	gpointer v;
	uint32_t n;

	if (g_hash_table_lookup_extended(p->rack_by_name, key, NULL, &v)) {
		g_free(key);
		return GPOINTER_TO_UINT(v);
	}
	r.workers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_array_append_val(p->racks, r);
	n = p->racks->len - 1;
	p->rack_entries =
	    g_renew(struct ogl_grid_entry, p->rack_entries, n + 1);
	memset(&p->rack_entries[n], 0, sizeof(p->rack_entries[n]));
	ogl_place_rack_reindex(p, n);
	g_hash_table_insert(p->rack_by_name, key, GUINT_TO_POINTER(n));
	return n;
}

static uint32_t
new_worker_number(struct ogl_place *p)
{
	uint32_t w;

	if (p->free_numbers->len > 0) {
		w = g_array_index(
		    p->free_numbers, uint32_t, p->free_numbers->len - 1);
		g_array_set_size(p->free_numbers, p->free_numbers->len - 1);
		return w;
	}
	if (p->n == p->allocated) {
		p->allocated = p->allocated * 2 + 16;
		p->entries =
		    g_renew(struct ogl_grid_entry, p->entries, p->allocated);
		p->workers =
		    g_renew(struct ogl_place_worker, p->workers, p->allocated);
	}
	ogl_health_resize(p->health, p->n + 1);
	return p->n++;
}

static void
remove_from_rack(struct ogl_place *p, uint32_t w)
{
	GArray *a = ogl_place_rack_at(p, p->entries[w].rack)->workers;
	uint32_t i;

	for (i = 0; g_array_index(a, uint32_t, i) != w; i++)
		;
	g_array_remove_index_fast(a, i);
}

/* Adds or removes all tasks of worker w in the counts of its zone and rack. */
static void
recount_jobs(struct ogl_place *p, uint32_t w, bool add)
{
	const struct ogl_place_worker *k = &p->workers[w];
	uint32_t i, n;

	for (i = 0; i < k->njobs; i++) {
		for (n = 0; n < k->jobs[i].n; n++)
			count_job(p, w, k->jobs[i].job, add);
	}
}

uint32_t
ogl_place_worker(struct ogl_place *p, const char *name,
    const struct ogl_res *capacity, const char *zone, const char *rack)
{
	struct ogl_place_worker *k;
	uint32_t w;
	gpointer v;

	if (g_hash_table_lookup_extended(p->worker_by_name, name, NULL, &v)) {
		w = GPOINTER_TO_UINT(v);
		k = &p->workers[w];
		ogl_place_unreserve_worker(p, w);
		ogl_place_unindex(p, w);
		count_capacity(p, &k->capacity, -1);
		recount_jobs(p, w, false);
		remove_from_rack(p, w);
	} else {
		w = new_worker_number(p);
		k = &p->workers[w];
		memset(k, 0, sizeof(*k));
		memset(&p->entries[w], 0, sizeof(p->entries[w]));
		k->name = g_strdup(name);
		k->known = true;
		g_hash_table_insert(
		    p->worker_by_name, k->name, GUINT_TO_POINTER(w));
	}
	k->capacity = *capacity;
	p->entries[w].zone = zone_number(p, zone != NULL ? zone : "");
	p->entries[w].rack =
	    rack_number(p, p->entries[w].zone, rack != NULL ? rack : "");
	g_array_append_val(
	    ogl_place_rack_at(p, p->entries[w].rack)->workers, w);
	recount_jobs(p, w, true);
	count_capacity(p, capacity, 1);
	ogl_place_reindex(p, w);
	return w;
}

void
ogl_place_remove_worker(struct ogl_place *p, uint32_t w)
{
	struct ogl_place_worker *k;

	if (!ogl_place_known(p, w))
		return;
	k = &p->workers[w];
	ogl_place_unreserve_worker(p, w);
	ogl_place_end_quarantine(p, w);
	ogl_place_unindex(p, w);
	count_capacity(p, &k->capacity, -1);
	recount_jobs(p, w, false);
	remove_from_rack(p, w);
	ogl_health_remove_worker(p->health, w);
	g_hash_table_remove(p->worker_by_name, k->name);
	g_free(k->name);
	g_free(k->jobs);
	memset(k, 0, sizeof(*k));
	g_array_append_val(p->free_numbers, w);
}

void
ogl_place_set_state(struct ogl_place *p, uint32_t w, enum ogl_place_state st)
{
	if (!ogl_place_known(p, w))
		return;
	p->workers[w].schedulable = st == OGL_PLACE_SCHEDULABLE;
	if (st == OGL_PLACE_UNSCHEDULABLE)
		ogl_place_unreserve_worker(p, w);
	ogl_place_reindex(p, w);
}

/* ---- totals and setup ------------------------------------------------- */

enum ogl_feasibility
ogl_place_feasibility(
    const struct ogl_place *p, const struct ogl_demand *demand, uint32_t n)
{
	GHashTableIter it;
	gpointer capacity, count;
	uint64_t sum = 0;

	g_hash_table_iter_init(&it, p->capacity_counts);
	while (g_hash_table_iter_next(&it, &capacity, &count)) {
		sum += (uint64_t)ogl_place_tasks_fit(&demand->res, capacity) *
		       GPOINTER_TO_UINT(count);
		if (sum > 0 && sum >= n)
			return OGL_FEASIBLE;
	}
	return sum == 0 ? OGL_INFEASIBLE_NO_WORKER : OGL_INFEASIBLE_GANG_TOTAL;
}

void
ogl_place_totals(
    const struct ogl_place *p, struct ogl_res *total, struct ogl_res *held)
{
	total->cpu_milli = ogl_place_saturate(p->total_cpu);
	total->mem_mb = ogl_place_saturate(p->total_mem);
	total->accel = ogl_place_saturate(p->total_accel);
	held->cpu_milli = ogl_place_saturate(p->held_cpu);
	held->mem_mb = ogl_place_saturate(p->held_mem);
	held->accel = ogl_place_saturate(p->held_accel);
}

struct ogl_place *
ogl_place_init(uint64_t seed)
{
	struct ogl_place *p = g_new0(struct ogl_place, 1);

	p->free_numbers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	p->quarantined = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	p->reserved.workers =
	    g_array_new(FALSE, FALSE, sizeof(struct ogl_reserved_worker));
	p->worker_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	p->zones = g_ptr_array_new_with_free_func(zone_free);
	p->zone_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	p->racks = g_array_new(FALSE, FALSE, sizeof(struct ogl_place_rack));
	p->rack_by_name =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p->capacity_counts =
	    g_hash_table_new_full(res_hash, res_equal, g_free, NULL);
	ogl_counts_init(&p->counts);
	p->health = ogl_health_init();
	p->next_quarantine_update = OGL_NEVER;
	p->random_state = seed;
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
		g_array_free(ogl_place_rack_at(p, i)->workers, TRUE);
	ogl_health_end(p->health);
	ogl_counts_clear(&p->counts);
	g_hash_table_destroy(p->capacity_counts);
	g_hash_table_destroy(p->rack_by_name);
	g_array_free(p->racks, TRUE);
	g_hash_table_destroy(p->zone_by_name);
	g_ptr_array_free(p->zones, TRUE);
	g_hash_table_destroy(p->worker_by_name);
	g_array_free(p->reserved.workers, TRUE);
	g_array_free(p->quarantined, TRUE);
	g_array_free(p->free_numbers, TRUE);
	g_free(p->workers);
	g_free(p->rack_entries);
	g_free(p->entries);
	g_free(p);
}

size_t
ogl_place_bytes(const struct ogl_place *p)
{
	size_t n = sizeof(*p) + ogl_health_bytes(p->health);
	uint32_t i;
	unsigned accel_group;

	n += p->allocated * (sizeof(*p->entries) + sizeof(*p->workers));
	n += p->counts.size * sizeof(*p->counts.entries);
	n += p->racks->len *
	     (sizeof(struct ogl_place_rack) + sizeof(*p->rack_entries));
	for (i = 0; i < p->n; i++)
		n +=
		    p->workers[i].jobs_allocated * sizeof(struct ogl_job_tasks);
	for (i = 0; i < p->racks->len; i++)
		n += ogl_place_rack_at(p, i)->workers->len * sizeof(uint32_t);
	for (i = 0; i < p->zones->len; i++) {
		n += ogl_grid_bytes(&ogl_place_zone_at(p, i)->racks);
		for (accel_group = 0; accel_group < OGL_ACCEL_GROUPS;
		     accel_group++)
			n += ogl_grid_bytes(
			    &ogl_place_zone_at(p, i)->grid[accel_group]);
	}
	return n;
}
