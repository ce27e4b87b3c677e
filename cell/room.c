/*
 * Compares what the tasks of a stage need with what a worker has.
 */

#include <string.h>

#include "room.h"

struct ogl_res
cell_worker_room(const struct cell_worker *w)
{
	struct ogl_res room = w->capacity;

	ogl_res_sub(&room, &w->used);
	return room;
}

gint
cell_worker_compare_room(gconstpointer a, gconstpointer b)
{
	const struct cell_worker *v = *(struct cell_worker *const *)a;
	const struct cell_worker *w = *(struct cell_worker *const *)b;
	uint32_t rv = cell_worker_room(v).cpu_milli;
	uint32_t rw = cell_worker_room(w).cpu_milli;

	return rv < rw ? 1 : rv > rw ? -1 : 0;
}

uint32_t
cell_res_tasks(const struct ogl_res *res, const struct ogl_res *need)
{
	uint32_t n = UINT32_MAX;

	if (need->cpu_milli > 0)
		n = MIN(n, res->cpu_milli / need->cpu_milli);
	if (need->mem_mb > 0)
		n = MIN(n, res->mem_mb / need->mem_mb);
	if (need->accel > 0)
		n = MIN(n, res->accel / need->accel);
	return n;
}

static uint32_t
slots_in(const struct ogl_res *res, const struct cell_stage *st)
{
	struct ogl_res need = cell_stage_need(st);
	uint32_t n = cell_res_tasks(res, &need);

	return st->def->worker_max > 0 ? MIN(n, st->def->worker_max) : n;
}

uint32_t
cell_worker_free_slots(const struct cell_worker *w, const struct cell_stage *st)
{
	struct ogl_res room = cell_worker_room(w);

	return slots_in(&room, st);
}

uint64_t
cell_workers_free_slots(const GPtrArray *workers, const struct cell_stage *st)
{
	uint64_t n = 0;
	guint i;

	for (i = 0; i < workers->len; i++)
		n += cell_worker_free_slots(workers->pdata[i], st);
	return n;
}

uint32_t
cell_worker_slots(const struct cell_worker *w, const struct cell_stage *st)
{
	return slots_in(&w->capacity, st);
}

uint32_t
cell_worker_runs_of(const struct cell_worker *w, const struct cell_stage *st)
{
	GHashTableIter it;
	gpointer p;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		const struct cell_run *r = p;

		if (r->name.step == st->step &&
		    r->name.occurrence == st->occurrence &&
		    strcmp(r->name.id, st->job->id) == 0)
			n++;
	}
	return n;
}

static bool
has_label(const struct cell_worker *w, const char *label)
{
	return *label == '\0' ||
	       (w->labels != NULL &&
		   g_strv_contains((const gchar *const *)w->labels, label));
}

bool
cell_worker_could_run(const struct cell_worker *w, const struct cell_stage *st)
{
	struct ogl_res need = {st->def->fills ? 0 : st->def->cpu_milli,
	    st->def->mem_mb, st->def->accel};

	return g_strcmp0(w->service, st->job->def->service) == 0 &&
	       has_label(w, st->def->label) &&
	       ogl_res_fits(&need, &w->capacity);
}
