/*
 * Baseline policies: first come first served and shortest declared run time
 * first are a heap each; weighted fair queueing is a heap of finish tags.
 *
 * Weighted fair queueing gives each item a finish tag on arrival: the larger of
 * the team's last tag and the virtual clock, plus the declared cost over the
 * team's weight.  The item with the smallest tag goes first and advances the
 * virtual clock to its tag.
 */

#include <string.h>

#include "lib_baseline.h"

#define UNDECLARED_MS 1000
#define TAG_SCALE 1000.0

struct flow {
	double weight;
	double last_tag; /* finish tag of the team's newest item */
};

struct baseline {
	struct ogl_queue_heap heap;
	GHashTable *flows; /* team path to struct flow */
	double clock;      /* virtual */
};

static void *
baseline_init(uint64_t seed)
{
	struct baseline *b = g_new0(struct baseline, 1);

	(void)seed;
	ogl_queue_heap_init(&b->heap, OGL_HEAP_POLICY);
	b->flows =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return b;
}

static void
baseline_end(void *p)
{
	struct baseline *b = p;

	ogl_queue_heap_end(&b->heap);
	g_hash_table_destroy(b->flows);
	g_free(b);
}

static struct flow *
flow_of(struct baseline *b, const char *team)
{
	struct flow *f = g_hash_table_lookup(b->flows, team);

	if (f == NULL) {
		f = g_new0(struct flow, 1);
		f->weight = 1.0;
		g_hash_table_insert(b->flows, g_strdup(team), f);
	}
	return f;
}

/* The policy has no hierarchy: a team's weight is its share times the weight of
 * its parent. */
static void
baseline_team(void *p, const char *team, double share)
{
	struct baseline *b = p;
	const char *slash = strrchr(team, '/');

	flow_of(b, team)->weight = share;
	if (slash != NULL) {
		char *parent = g_strndup(team, (gsize)(slash - team));

		flow_of(b, team)->weight *= flow_of(b, parent)->weight;
		g_free(parent);
	}
}

static uint64_t
declared_ms_or_default(const struct ogl_work *w)
{
	return w->declared_ms != 0 ? w->declared_ms : UNDECLARED_MS;
}

static void
fcfs_push(void *p, struct ogl_queue_item *it, ogl_time now)
{
	struct baseline *b = p;

	(void)now;
	ogl_queue_heap_add(&b->heap, it->w.waiting_since, it);
}

static void
sjf_push(void *p, struct ogl_queue_item *it, ogl_time now)
{
	struct baseline *b = p;

	(void)now;
	ogl_queue_heap_add(
	    &b->heap, (int64_t)declared_ms_or_default(&it->w), it);
}

static void
wfq_push(void *p, struct ogl_queue_item *it, ogl_time now)
{
	struct baseline *b = p;
	struct flow *f = flow_of(b, it->w.team);

	(void)now;
	if (!it->ranked) {
		double cost = (double)declared_ms_or_default(&it->w) *
			      it->dominant_demand / f->weight;

		f->last_tag = MAX(f->last_tag, b->clock) + cost;
		it->policy_key = (uint64_t)(f->last_tag * TAG_SCALE);
		it->ranked = true;
	}
	ogl_queue_heap_add(&b->heap, (int64_t)it->policy_key, it);
}

static struct ogl_queue_item *
baseline_pop(void *p, ogl_time now)
{
	struct baseline *b = p;
	struct ogl_queue_item *it = ogl_queue_heap_top(&b->heap);

	(void)now;
	if (it == NULL)
		return NULL;
	b->clock = MAX(b->clock, (double)b->heap.a[0].key / TAG_SCALE);
	ogl_queue_heap_del(&b->heap, it);
	return it;
}

static void
baseline_unlink(void *p, struct ogl_queue_item *it)
{
	struct baseline *b = p;

	ogl_queue_heap_del(&b->heap, it);
}

#define BASELINE(push_fn, label)                                               \
	{                                                                      \
		.name = (label), .init = baseline_init, .end = baseline_end,   \
		.set_team_share = baseline_team, .push = (push_fn),            \
		.pop = baseline_pop, .unlink = baseline_unlink                 \
	}

const struct ogl_queue_policy baseline_fcfs = BASELINE(fcfs_push, "fcfs");
const struct ogl_queue_policy baseline_sjf = BASELINE(sjf_push, "sjf");
const struct ogl_queue_policy baseline_wfq = BASELINE(wfq_push, "wfq");
