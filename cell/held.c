/*
 * Delays the start of tasks that may be running on a worker that was silent or
 * draining before a takeover.
 *
 * A task whose start was not answered is stopped and then started on another
 * worker, so the record of the workers may list it for both.  Each task
 * therefore counts the workers for which it is delayed.  It may be started once
 * all of them have answered or, if one never answers, when the leases of all
 * earlier owners have expired.
 */

#include <string.h>

#include "held.h"

#define UNTIL_RELEASED (OGL_NEVER / 2)

struct cell_held {
	cell_stage_lookup_fn *find_stage;
	void *arg;
	/* Worker id -> GArray of struct cell_task_name, the delayed tasks. */
	GHashTable *workers;
};

static void
tasks_free(void *p)
{
	g_array_unref(p);
}

struct cell_held *
cell_held_init(cell_stage_lookup_fn *find_stage, void *arg)
{
	struct cell_held *h = g_new0(struct cell_held, 1);

	h->find_stage = find_stage;
	h->arg = arg;
	h->workers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, tasks_free);
	return h;
}

void
cell_held_end(struct cell_held *h)
{
	g_hash_table_unref(h->workers);
	g_free(h);
}

void
cell_held_clear(struct cell_held *h)
{
	g_hash_table_remove_all(h->workers);
}

static void
delay_task(struct cell_held *h, GArray *tasks, const Ogl__CellKnownTask *t)
{
	struct cell_task_name name = {
	    .occurrence = t->occurrence, .step = t->step, .index = t->index};
	struct cell_stage *st;

	g_strlcpy(name.id, t->id, sizeof name.id);
	st = h->find_stage(h->arg, &name);
	if (st == NULL)
		return;
	cell_stage_delay_start(st, name.index, UNTIL_RELEASED);
	g_array_append_val(tasks, name);
}

void
cell_held_add(struct cell_held *h, const Ogl__CellKnown *k)
{
	GArray *tasks;
	size_t i;

	if (k->n_tasks == 0)
		return;
	tasks = g_array_new(FALSE, FALSE, sizeof(struct cell_task_name));
	for (i = 0; i < k->n_tasks; i++)
		delay_task(h, tasks, k->tasks[i]);
	g_hash_table_replace(h->workers, g_strdup(k->id), tasks);
}

static void
release_tasks(struct cell_held *h, const GArray *tasks, ogl_time now)
{
	guint i;

	for (i = 0; i < tasks->len; i++) {
		const struct cell_task_name *name =
		    &g_array_index(tasks, struct cell_task_name, i);
		struct cell_stage *st = h->find_stage(h->arg, name);

		if (st != NULL)
			cell_stage_end_delay(st, name->index, now);
	}
}

void
cell_held_release(struct cell_held *h, const char *worker, ogl_time now)
{
	const GArray *tasks = g_hash_table_lookup(h->workers, worker);

	if (tasks == NULL)
		return;
	release_tasks(h, tasks, now);
	g_hash_table_remove(h->workers, worker);
}

void
cell_held_release_all(struct cell_held *h, ogl_time now)
{
	GHashTableIter it;
	gpointer tasks;

	g_hash_table_iter_init(&it, h->workers);
	while (g_hash_table_iter_next(&it, NULL, &tasks))
		release_tasks(h, tasks, now);
	g_hash_table_remove_all(h->workers);
}
