/*
 * Packs and unpacks the record of the workers that a shard's owner stores.
 *
 * A new owner calls every worker in the record.  It starts no task that an
 * earlier owner may have started until each worker has reported what it runs,
 * or the worker's lease has expired, which takes seconds.  An unreachable worker
 * would thus delay the whole shard at each change of owner.  So once a worker
 * has been silent for a short time, is draining, or is idle and unlisted, the
 * record lists the tasks that may run there, and only these wait for it.  It
 * does so only for a worker whose tasks are all known to this owner.
 *
 * The list stays complete only if the worker gets no other work.  Hence
 * open_in_record is cleared, and the worker gets no new work, before a record
 * with its tasks is sent.  It gets work again only after a later record, which
 * does not list its tasks, has been stored.
 *
 * The store takes records up to a size.  A worker whose list finds no room in
 * the record stays open there, so the next owner waits for it; it gets no new
 * work either, or the same record would be due again at once.
 *
 * A worker that has not answered since the takeover stays as the last record
 * calls it: this owner has started nothing there.  If it were called open, the
 * next owner would wait for its lease once more.
 */

#include <string.h>

#include "ablate.h"
#include "known.h"
#include "loader.h"

/* The record calls a worker silent after this time; a single lost answer does
 * not justify storing a new one. */
#define SILENT_RECORDED_AFTER (400 * OGL_MS)

bool
cell_worker_silent(const struct cell_worker *w, ogl_time now)
{
	return CELL_USES_SILENT && w->lists == CELL_LISTS_WHOLE &&
	       w->failures > 0 && now - w->silent_since > SILENT_RECORDED_AFTER;
}

static Ogl__CellKnownTask *
task_new(const struct cell_task_name *name)
{
	Ogl__CellKnownTask *t = g_new(Ogl__CellKnownTask, 1);

	ogl__cell_known_task__init(t);
	t->id = g_strdup(name->id);
	t->occurrence = name->occurrence;
	t->step = name->step;
	t->index = name->index;
	return t;
}

/* Adds each task that may be running on the worker, and each that it may yet
 * begin because a start order was not answered or that an earlier owner left. */
static void
add_tasks(Ogl__CellKnown *k, const struct cell_worker *w)
{
	GPtrArray *tasks = g_ptr_array_new();
	GHashTableIter it;
	gpointer p;
	guint i;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, &p, NULL))
		g_ptr_array_add(
		    tasks, task_new(&((const struct cell_run *)p)->name));
	for (i = 0; i < w->unanswered_starts->len; i++)
		g_ptr_array_add(
		    tasks, task_new(&g_array_index(w->unanswered_starts,
			       struct cell_unanswered_start, i)
					 .task));
	for (i = 0; w->tasks_recorded && i < w->recorded_tasks->len; i++)
		g_ptr_array_add(
		    tasks, task_new(&g_array_index(
			       w->recorded_tasks, struct cell_task_name, i)));
	k->n_tasks = tasks->len;
	k->tasks = (Ogl__CellKnownTask **)g_ptr_array_free(tasks, FALSE);
}

/* A record in the making. */
struct packing {
	struct cell_fleet *fleet;
	uint64_t number;
	ogl_time now;
	size_t bytes; /* of all entries */
	GPtrArray *open_ids;
	GArray *closing; /* struct closing */
};

/* A worker that is to be closed in the record. */
struct closing {
	const struct cell_worker *worker;
	Ogl__CellKnown *entry;
	size_t tasks; /* upper bound of those that may run there */
};

/* Bytes that the entry takes in the record. */
static size_t
entry_bytes(const Ogl__CellKnown *k)
{
	size_t n = ogl__cell_known__get_packed_size(k);
	size_t framing = 2; /* tag and first byte of the length */
	size_t rest;

	for (rest = n >> 7; rest > 0; rest >>= 7)
		framing++;
	return framing + n;
}

/* Makes the worker's entry, without its tasks.  If the worker is silent,
 * draining, or idle and unlisted, or was when the last owner was lost, it gets
 * no new work from now on. */
static Ogl__CellKnown *
known_new(struct packing *p, struct cell_worker *w)
{
	const struct cell_fleet *f = p->fleet;
	Ogl__CellKnown *k = g_new(Ogl__CellKnown, 1);
	struct closing c;

	ogl__cell_known__init(k);
	k->id = g_strdup(w->id);
	k->addr = g_strdup(w->addr);
	k->service = g_strdup(w->service);
	k->incarnation = cell_worker_incarnation(w);
	k->longest_lease = cell_fleet_may_hold_longest(f, w, p->now);
	k->counts = cell_fleet_marks(f, w);
	w->incarnation_in_record = k->incarnation;
	w->longest_in_record = k->longest_lease;
	if (w->unrecorded)
		w->open_from_record = p->number;
	w->unrecorded = false;
	w->silent_in_record =
	    cell_worker_silent(w, p->now) || w->tasks_recorded;
	if (w->silent_in_record ||
	    (w->draining && cell_worker_tasks_known(w)) ||
	    cell_fleet_worker_unused(f, w)) {
		w->open_in_record = false;
		w->open_from_record = p->number;
		c.worker = w;
		c.entry = k;
		c.tasks = g_hash_table_size(w->runs) +
			  w->unanswered_starts->len + w->recorded_tasks->len;
		g_array_append_val(p->closing, c);
	} else {
		g_ptr_array_add(p->open_ids, g_strdup(k->id));
	}
	p->bytes += entry_bytes(k);
	return k;
}

static void
drop_tasks(Ogl__CellKnown *k)
{
	size_t i;

	for (i = 0; i < k->n_tasks; i++)
		ogl__cell_known_task__free_unpacked(k->tasks[i], NULL);
	g_clear_pointer(&k->tasks, g_free);
	k->n_tasks = 0;
}

static gint
fewest_tasks_first(gconstpointer a, gconstpointer b)
{
	const struct closing *x = a;
	const struct closing *y = b;

	return (x->tasks > y->tasks) - (x->tasks < y->tasks);
}

/* Closes the workers whose tasks find room in the record; returns how many do
 * not. */
static unsigned
close_entries(struct packing *p, size_t room)
{
	unsigned left_open = 0;
	guint i;

	g_array_sort(p->closing, fewest_tasks_first);
	for (i = 0; i < p->closing->len; i++) {
		const struct closing *c =
		    &g_array_index(p->closing, struct closing, i);
		size_t others = p->bytes - entry_bytes(c->entry);

		c->entry->closed = true;
		add_tasks(c->entry, c->worker);
		if (others + entry_bytes(c->entry) > room) {
			c->entry->closed = false;
			drop_tasks(c->entry);
			left_open++;
		}
		p->bytes = others + entry_bytes(c->entry);
	}
	return left_open;
}

/* The message is built with g_new and g_strdup and freed like one that was
 * unpacked; both use malloc. */
GBytes *
cell_known_pack(struct cell_fleet *f, uint64_t number, GPtrArray *open_ids,
    unsigned *left_open, ogl_time now)
{
	Ogl__CellKnownWorkers *m = g_new(Ogl__CellKnownWorkers, 1);
	GPtrArray *all = g_ptr_array_new();
	struct packing p = {.fleet = f,
	    .number = number,
	    .now = now,
	    .open_ids = open_ids,
	    .closing = g_array_new(FALSE, FALSE, sizeof(struct closing))};
	GHashTableIter it;
	gpointer w;
	uint8_t *out;
	size_t n;

	ogl__cell_known_workers__init(m);
	g_hash_table_iter_init(&it, cell_fleet_workers(f));
	while (g_hash_table_iter_next(&it, NULL, &w))
		g_ptr_array_add(all, known_new(&p, w));
	*left_open =
	    close_entries(&p, CELL_RECORD_MAX_BYTES - CELL_KEY_LEN_BYTES -
				  strlen(CELL_WORKERS_KEY));
	m->n_workers = all->len;
	m->workers = (Ogl__CellKnown **)g_ptr_array_free(all, FALSE);
	n = ogl__cell_known_workers__get_packed_size(m);
	out = g_malloc(n);
	ogl__cell_known_workers__pack(m, out);
	ogl__cell_known_workers__free_unpacked(m, NULL);
	g_array_unref(p.closing);
	return g_bytes_new_take(out, n);
}

bool
cell_known_unpack(GBytes *record, cell_known_fn *each, void *arg, ogl_time now)
{
	gsize n = 0;
	const uint8_t *value =
	    record != NULL ? g_bytes_get_data(record, &n) : NULL;
	Ogl__CellKnownWorkers *m =
	    ogl__cell_known_workers__unpack(NULL, n, value);
	bool marked = false;
	size_t i;

	if (m == NULL)
		return false;
	for (i = 0; i < m->n_workers; i++)
		marked |= m->workers[i]->counts;
	for (i = 0; i < m->n_workers; i++) {
		m->workers[i]->counts |= !marked;
		each(arg, m->workers[i], now);
	}
	ogl__cell_known_workers__free_unpacked(m, NULL);
	return true;
}
