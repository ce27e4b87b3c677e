/*
 * Waiting work and what became of it: one table of items by id, whatever the
 * order.  The order itself is a policy's, given as a table of function
 * pointers; `ogl_queue_learned` in queue_learned.c ships, the baselines that
 * it is measured against live in bench/.
 *
 * An item is waiting (in the policy's order), passed over (popped, did not
 * fit, waits for ogl_queue_again), popped, or running.  Invariants: `length`
 * counts the waiting and the passed over; the age heap holds just these, so
 * the longest wait is at its top; `passed` holds the passed over.
 *
 * Each item passed over was popped once since the last ogl_queue_again, so
 * pushing all of them back there costs O(log n) for each pop made before.
 */

#include <string.h>

#include "queue.h"

/* A worker of 16 processors and 64 GB with accelerators at eight
 * processors each: what one unit of each resource is worth. */
#define MEM_MB_PER_CPU 4096.0
#define CPU_PER_ACCEL 8.0
#define MILLI 1000.0
#define RATE_MIN 0.001

struct ogl_queue {
	const struct ogl_queue_policy *policy;
	void *p;
	GHashTable *items; /* &item->w.id to item; owns them */
	GHashTable *names; /* team names, interned */
	GPtrArray *passed;
	struct ogl_queue_heap age;
	uint64_t seq;
	struct ogl_queue_item *dropped; /* last to go; its strings are lent */
};

double
ogl_queue_rate(const struct ogl_work *w)
{
	uint32_t n = MAX(w->tasks, 1);
	double r;

	if (w->kind == OGL__KIND__request)
		return n;
	r = MAX(w->res.cpu_milli / MILLI, w->res.mem_mb / MEM_MB_PER_CPU);
	r = MAX(r, w->res.accel * CPU_PER_ACCEL);
	return MAX(r, RATE_MIN) * n;
}

struct ogl_queue *
ogl_queue_init(const struct ogl_queue_policy *policy, uint64_t seed)
{
	struct ogl_queue *q = g_new0(struct ogl_queue, 1);

	q->policy = policy;
	q->p = policy->init(seed);
	q->items =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	q->names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	q->passed = g_ptr_array_new();
	ogl_queue_heap_init(&q->age, OGL_HEAP_AGE);
	return q;
}

void
ogl_queue_end(struct ogl_queue *q)
{
	if (q == NULL)
		return;
	q->policy->end(q->p);
	ogl_queue_heap_end(&q->age);
	g_ptr_array_free(q->passed, TRUE);
	g_hash_table_destroy(q->items);
	g_hash_table_destroy(q->names);
	g_free(q->dropped);
	g_free(q);
}

static const char *
intern(struct ogl_queue *q, const char *name)
{
	const char *s = g_hash_table_lookup(q->names, name);

	if (s == NULL) {
		char *copy = g_strdup(name);

		g_hash_table_insert(q->names, copy, copy);
		s = copy;
	}
	return s;
}

static struct ogl_queue_item *
find(struct ogl_queue *q, uint64_t id)
{
	return g_hash_table_lookup(q->items, &id);
}

/* A passed-over item is in no order, so its slot there is free to tell where
 * in `passed` it stands. */
static void
passed_remove(struct ogl_queue *q, struct ogl_queue_item *it)
{
	guint at = (guint)it->slot[OGL_HEAP_POLICY];
	struct ogl_queue_item *last = q->passed->pdata[q->passed->len - 1];

	q->passed->pdata[at] = last;
	last->slot[OGL_HEAP_POLICY] = at;
	g_ptr_array_set_size(q->passed, (gint)q->passed->len - 1);
}

/* Takes an item out of the table, but keeps it until the next item goes: a
 * popped work's strings stay valid until the next call. */
static void
drop(struct ogl_queue *q, struct ogl_queue_item *it)
{
	g_hash_table_steal(q->items, &it->w.id);
	g_free(q->dropped);
	q->dropped = it;
}

static struct ogl_queue_item *
item_new(struct ogl_queue *q, const struct ogl_work *w)
{
	const char *label = w->label != NULL ? w->label : "";
	size_t n = strlen(label) + 1;
	struct ogl_queue_item *it =
	    g_malloc0(sizeof(struct ogl_queue_item) + n);

	it->w = *w;
	it->w.team = intern(q, w->team != NULL ? w->team : "");
	memcpy(it->label, label, n);
	it->w.label = it->label;
	it->w.tasks = MAX(w->tasks, 1);
	it->seq = ++q->seq;
	it->rate = ogl_queue_rate(&it->w);
	g_hash_table_insert(q->items, &it->w.id, it);
	return it;
}

static void
drop_unstarted(struct ogl_queue *q, struct ogl_queue_item *it)
{
	if (q->policy->gone != NULL)
		q->policy->gone(q->p, it);
	drop(q, it);
}

void
ogl_queue_team(struct ogl_queue *q, const char *team, double share)
{
	q->policy->team(q->p, intern(q, team), share);
}

void
ogl_queue_push(struct ogl_queue *q, const struct ogl_work *w, ogl_time now)
{
	struct ogl_queue_item *it = find(q, w->id);

	if (it != NULL && it->state == OGL_QUEUE_POPPED)
		drop_unstarted(q, it);
	else if (it != NULL)
		return;
	it = item_new(q, w);
	it->state = OGL_QUEUE_WAITING;
	ogl_queue_heap_add(&q->age, it->w.since, it);
	q->policy->push(q->p, it, now);
}

bool
ogl_queue_pop(struct ogl_queue *q, ogl_time now, struct ogl_work *w)
{
	struct ogl_queue_item *it = q->policy->pop(q->p, now);

	if (it == NULL)
		return false;
	ogl_queue_heap_del(&q->age, it);
	it->state = OGL_QUEUE_POPPED;
	*w = it->w;
	return true;
}

void
ogl_queue_back(struct ogl_queue *q, uint64_t id, ogl_time now)
{
	struct ogl_queue_item *it = find(q, id);

	if (it == NULL || it->state != OGL_QUEUE_POPPED)
		return;
	if (q->policy->passed != NULL)
		q->policy->passed(q->p, it, now);
	it->state = OGL_QUEUE_PASSED;
	ogl_queue_heap_add(&q->age, it->w.since, it);
	it->slot[OGL_HEAP_POLICY] = q->passed->len;
	g_ptr_array_add(q->passed, it);
}

void
ogl_queue_again(struct ogl_queue *q, ogl_time now)
{
	for (guint i = 0; i < q->passed->len; i++) {
		struct ogl_queue_item *it = q->passed->pdata[i];

		it->state = OGL_QUEUE_WAITING;
		q->policy->push(q->p, it, now);
	}
	g_ptr_array_set_size(q->passed, 0);
}

bool
ogl_queue_remove(struct ogl_queue *q, uint64_t id)
{
	struct ogl_queue_item *it = find(q, id);

	if (it == NULL || it->state == OGL_QUEUE_RUNNING)
		return false;
	if (it->state == OGL_QUEUE_POPPED) {
		drop_unstarted(q, it);
		return false;
	}
	if (it->state == OGL_QUEUE_PASSED)
		passed_remove(q, it);
	else
		q->policy->unlink(q->p, it);
	ogl_queue_heap_del(&q->age, it);
	drop_unstarted(q, it);
	return true;
}

void
ogl_queue_started(struct ogl_queue *q, const struct ogl_work *w, ogl_time now)
{
	struct ogl_queue_item *it = find(q, w->id);

	if (it != NULL && it->state != OGL_QUEUE_POPPED)
		return;
	if (it == NULL) /* found running, e.g. by a new owner */
		it = item_new(q, w);
	it->state = OGL_QUEUE_RUNNING;
	it->began = now;
	if (q->policy->started != NULL)
		q->policy->started(q->p, it, now);
}

void
ogl_queue_ended(struct ogl_queue *q, uint64_t id, bool ok, ogl_time now)
{
	struct ogl_queue_item *it = find(q, id);

	if (it == NULL || it->state != OGL_QUEUE_RUNNING)
		return;
	if (q->policy->ended != NULL)
		q->policy->ended(q->p, it, ok, now);
	drop(q, it);
}

size_t
ogl_queue_length(const struct ogl_queue *q)
{
	return q->age.n;
}

uint64_t
ogl_queue_wait_ms(const struct ogl_queue *q, ogl_time now)
{
	const struct ogl_queue_item *it = ogl_queue_heap_top(&q->age);

	if (it == NULL || it->w.since >= now)
		return 0;
	return (uint64_t)((now - it->w.since) / OGL_MS);
}
