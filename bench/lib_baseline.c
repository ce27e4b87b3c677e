/*
 * Baselines: first come first served and shortest declared size first are one
 * heap each; plain weighted fair queueing is a heap of finish tags.
 *
 * Weighted fair queueing gives each piece a finish tag when it comes: the
 * team's last tag, or the clock when that is later, plus declared cost over
 * the team's weight; the least tag goes first and moves the clock.
 */

#include <string.h>

#include "lib_baseline.h"

#define UNDECLARED_MS 1000
#define TAG_SCALE 1000.0

struct flow {
	double weight;
	double last; /* finish tag of the newest piece */
};

struct order {
	struct ogl_queue_heap heap;
	GHashTable *flows; /* team path to struct flow */
	double clock;
};

static void *
order_init(uint64_t seed)
{
	struct order *o = g_new0(struct order, 1);

	(void)seed;
	ogl_queue_heap_init(&o->heap, OGL_HEAP_POLICY);
	o->flows =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return o;
}

static void
order_end(void *p)
{
	struct order *o = p;

	ogl_queue_heap_end(&o->heap);
	g_hash_table_destroy(o->flows);
	g_free(o);
}

static struct flow *
flow_of(struct order *o, const char *team)
{
	struct flow *f = g_hash_table_lookup(o->flows, team);

	if (f == NULL) {
		f = g_new0(struct flow, 1);
		f->weight = 1.0;
		g_hash_table_insert(o->flows, g_strdup(team), f);
	}
	return f;
}

/* Flat: a team's weight is its share times its parent's. */
static void
order_team(void *p, const char *team, double share)
{
	struct order *o = p;
	const char *slash = strrchr(team, '/');

	flow_of(o, team)->weight = share;
	if (slash != NULL) {
		char *up = g_strndup(team, (gsize)(slash - team));

		flow_of(o, team)->weight *= flow_of(o, up)->weight;
		g_free(up);
	}
}

static uint64_t
declared(const struct ogl_work *w)
{
	return w->declared_ms != 0 ? w->declared_ms : UNDECLARED_MS;
}

static void
fcfs_push(void *p, struct ogl_queue_item *it, ogl_time now)
{
	struct order *o = p;

	(void)now;
	ogl_queue_heap_add(&o->heap, it->w.waiting_since, it);
}

static void
sjf_push(void *p, struct ogl_queue_item *it, ogl_time now)
{
	struct order *o = p;

	(void)now;
	ogl_queue_heap_add(&o->heap, (int64_t)declared(&it->w), it);
}

static void
wfq_push(void *p, struct ogl_queue_item *it, ogl_time now)
{
	struct order *o = p;
	struct flow *f = flow_of(o, it->w.team);

	(void)now;
	if (!it->ranked) {
		double cost =
		    (double)declared(&it->w) * it->dominant_demand / f->weight;

		f->last = MAX(f->last, o->clock) + cost;
		it->policy_key = (uint64_t)(f->last * TAG_SCALE);
		it->ranked = true;
	}
	ogl_queue_heap_add(&o->heap, (int64_t)it->policy_key, it);
}

static struct ogl_queue_item *
order_pop(void *p, ogl_time now)
{
	struct order *o = p;
	struct ogl_queue_item *it = ogl_queue_heap_top(&o->heap);

	(void)now;
	if (it == NULL)
		return NULL;
	o->clock = MAX(o->clock, (double)o->heap.a[0].key / TAG_SCALE);
	ogl_queue_heap_del(&o->heap, it);
	return it;
}

static void
order_unlink(void *p, struct ogl_queue_item *it)
{
	struct order *o = p;

	ogl_queue_heap_del(&o->heap, it);
}

#define BASELINE(push_fn, label)                                               \
	{                                                                      \
		.name = (label), .init = order_init, .end = order_end,         \
		.set_team_share = order_team, .push = (push_fn),               \
		.pop = order_pop, .unlink = order_unlink                       \
	}

const struct ogl_queue_policy baseline_fcfs = BASELINE(fcfs_push, "fcfs");
const struct ogl_queue_policy baseline_sjf = BASELINE(sjf_push, "sjf");
const struct ogl_queue_policy baseline_wfq = BASELINE(wfq_push, "wfq");
