/*
 * Queue of waiting and running work: a table of items by id, independent of
 * their order.  The order is decided by a policy, a table of function
 * pointers.  The default policy is `ogl_queue_learned` in queue_learned.c; the
 * baselines that it is compared with are in bench/.
 *
 * An item is waiting (in the policy's order), deferred (popped, but it did not
 * fit; it waits for ogl_queue_retry_deferred), popped, or running.  Invariants:
 * the age heap holds exactly the waiting and the deferred items, so its size is
 * the queue length and the item that has waited longest is at its top;
 * `deferred` holds exactly the deferred items.
 *
 * Each deferred item was popped once since the last ogl_queue_retry_deferred,
 * so pushing all of them again costs O(log n) for each of those pops.
 */

#include <string.h>

#include "queue.h"

/* Weights that make resources comparable, from a reference worker with 16
 * processors, 64 GB of memory and accelerators worth eight processors each. */
#define MEM_MB_PER_CPU 4096.0
#define CPU_PER_ACCEL 8.0
#define MILLI_PER_CPU 1000.0
#define DEMAND_MIN_CPUS 0.001

struct ogl_queue {
	const struct ogl_queue_policy *policy;
	void *policy_state;
	GHashTable *items;      /* &item->w.id -> item; owns the items */
	GHashTable *team_names; /* interned team paths */
	GPtrArray *deferred;
	struct ogl_queue_heap age;
	uint64_t seq;
	/* Its strings may still be in use, see remove_item. */
	struct ogl_queue_item *last_removed;
};

double
ogl_queue_demand(const struct ogl_work *w)
{
	uint32_t n = MAX(w->tasks, 1);
	double r;

	if (w->kind == OGL__KIND__request)
		return n;
	r = MAX(
	    w->res.cpu_milli / MILLI_PER_CPU, w->res.mem_mb / MEM_MB_PER_CPU);
	r = MAX(r, w->res.accel * CPU_PER_ACCEL);
	return MAX(r, DEMAND_MIN_CPUS) * n;
}

struct ogl_queue *
ogl_queue_init(const struct ogl_queue_policy *policy, uint64_t seed)
{
	struct ogl_queue *q = g_new0(struct ogl_queue, 1);

	q->policy = policy;
	q->policy_state = policy->init(seed);
	q->items =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	q->team_names =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	q->deferred = g_ptr_array_new();
	ogl_queue_heap_init(&q->age, OGL_HEAP_AGE);
	return q;
}

void
ogl_queue_end(struct ogl_queue *q)
{
	if (q == NULL)
		return;
	q->policy->end(q->policy_state);
	ogl_queue_heap_end(&q->age);
	g_ptr_array_free(q->deferred, TRUE);
	g_hash_table_destroy(q->items);
	g_hash_table_destroy(q->team_names);
	g_free(q->last_removed);
	g_free(q);
}

static const char *
intern(struct ogl_queue *q, const char *name)
{
	const char *s = g_hash_table_lookup(q->team_names, name);

	if (s == NULL) {
		char *copy = g_strdup(name);

		g_hash_table_insert(q->team_names, copy, copy);
		s = copy;
	}
	return s;
}

static struct ogl_queue_item *
find(struct ogl_queue *q, uint64_t id)
{
	return g_hash_table_lookup(q->items, &id);
}

/* A deferred item is not in the policy's heap, so its slot for that heap holds
 * its index in `deferred`. */
static void
deferred_remove(struct ogl_queue *q, struct ogl_queue_item *it)
{
	guint at = (guint)it->slot[OGL_HEAP_POLICY];
	struct ogl_queue_item *last = q->deferred->pdata[q->deferred->len - 1];

	q->deferred->pdata[at] = last;
	last->slot[OGL_HEAP_POLICY] = at;
	g_ptr_array_set_size(q->deferred, (gint)q->deferred->len - 1);
}

/* Removes an item from the table, but frees it only when the next one is
 * removed: strings of popped work stay valid until the next call. */
static void
remove_item(struct ogl_queue *q, struct ogl_queue_item *it)
{
	g_hash_table_steal(q->items, &it->w.id);
	g_free(q->last_removed);
	q->last_removed = it;
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
	it->dominant_demand = ogl_queue_demand(&it->w);
	g_hash_table_insert(q->items, &it->w.id, it);
	return it;
}

static void
remove_unstarted(struct ogl_queue *q, struct ogl_queue_item *it)
{
	if (q->policy->withdrawn != NULL)
		q->policy->withdrawn(q->policy_state, it);
	remove_item(q, it);
}

void
ogl_queue_set_share(struct ogl_queue *q, const char *team, double share)
{
	q->policy->set_team_share(q->policy_state, intern(q, team), share);
}

void
ogl_queue_push(struct ogl_queue *q, const struct ogl_work *w, ogl_time now)
{
	struct ogl_queue_item *it = find(q, w->id);

	if (it != NULL && it->state == OGL_QUEUE_POPPED)
		remove_unstarted(q, it);
	else if (it != NULL)
		return;
	it = item_new(q, w);
	it->state = OGL_QUEUE_WAITING;
	ogl_queue_heap_add(&q->age, it->w.waiting_since, it);
	q->policy->push(q->policy_state, it, now);
}

bool
ogl_queue_pop(struct ogl_queue *q, ogl_time now, struct ogl_work *w)
{
	struct ogl_queue_item *it = q->policy->pop(q->policy_state, now);

	if (it == NULL)
		return false;
	ogl_queue_heap_del(&q->age, it);
	it->state = OGL_QUEUE_POPPED;
	*w = it->w;
	return true;
}

void
ogl_queue_defer(struct ogl_queue *q, uint64_t id, ogl_time now)
{
	struct ogl_queue_item *it = find(q, id);

	if (it == NULL || it->state != OGL_QUEUE_POPPED)
		return;
	if (q->policy->deferred != NULL)
		q->policy->deferred(q->policy_state, it, now);
	it->state = OGL_QUEUE_DEFERRED;
	ogl_queue_heap_add(&q->age, it->w.waiting_since, it);
	it->slot[OGL_HEAP_POLICY] = q->deferred->len;
	g_ptr_array_add(q->deferred, it);
}

void
ogl_queue_retry_deferred(struct ogl_queue *q, ogl_time now)
{
	for (guint i = 0; i < q->deferred->len; i++) {
		struct ogl_queue_item *it = q->deferred->pdata[i];

		it->state = OGL_QUEUE_WAITING;
		q->policy->push(q->policy_state, it, now);
	}
	g_ptr_array_set_size(q->deferred, 0);
}

bool
ogl_queue_remove(struct ogl_queue *q, uint64_t id)
{
	struct ogl_queue_item *it = find(q, id);

	if (it == NULL || it->state == OGL_QUEUE_RUNNING)
		return false;
	if (it->state == OGL_QUEUE_POPPED) {
		remove_unstarted(q, it);
		return false;
	}
	if (it->state == OGL_QUEUE_DEFERRED)
		deferred_remove(q, it);
	else
		q->policy->unlink(q->policy_state, it);
	ogl_queue_heap_del(&q->age, it);
	remove_unstarted(q, it);
	return true;
}

void
ogl_queue_started(struct ogl_queue *q, const struct ogl_work *w, ogl_time now)
{
	struct ogl_queue_item *it = find(q, w->id);

	if (it != NULL && it->state != OGL_QUEUE_POPPED)
		return;
	if (it == NULL) /* it was found running, e.g. by a new owner */
		it = item_new(q, w);
	it->state = OGL_QUEUE_RUNNING;
	it->started_at = now;
	if (q->policy->started != NULL)
		q->policy->started(q->policy_state, it, now);
}

void
ogl_queue_ended(struct ogl_queue *q, uint64_t id, bool ok, ogl_time now)
{
	struct ogl_queue_item *it = find(q, id);

	if (it == NULL || it->state != OGL_QUEUE_RUNNING)
		return;
	if (q->policy->ended != NULL)
		q->policy->ended(q->policy_state, it, ok, now);
	remove_item(q, it);
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

	if (it == NULL || it->w.waiting_since >= now)
		return 0;
	return (uint64_t)((now - it->w.waiting_since) / OGL_MS);
}
