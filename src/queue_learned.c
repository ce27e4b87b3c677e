/*
 * Default scheduling policy, based on learned run times.
 *
 * fair.c decides which team is next, learn.c estimates run times, and the
 * shortest work of a team goes first.  Each team keeps a heap per level; the
 * level is the binary logarithm of the expected run time in milliseconds.
 * Within a level the longest waiting item goes first.  The lowest level goes
 * first, except that up to a quarter of the team's service may go to items
 * that have waited too long (aged items): nothing starves, and short work
 * keeps most of the team's service.  The quarter is measured in service, not
 * in turns: a turn of a long item costs as much as a thousand short ones, so
 * by turns long items would receive nearly all service.
 *
 * A short item may go before the team whose turn it is.  Among the teams that
 * are ahead of their share by at most a small debt, the short item with the
 * lowest level goes first, on equal levels the one that has waited longest.
 * The debt bounds the cost to other teams, however a team labels its work.
 *
 * What counts as short is relative to the other work, not a fixed time: a
 * request of one second is long, a task of one second is short.  The boundary
 * comes from a histogram of recent service by level, split where the two sides
 * differ most (queue_split.c).  The service of each team is normalized to the
 * same sum, so that a team with a very large amount of work moves the boundary
 * no more than any other team can.
 *
 * Awaited work, which a caller seems to be waiting for, ranks as if it took
 * half as long.
 *
 * An item gets its level when it is pushed and keeps it when it is deferred.
 * Its level only rises, when its class of work has since turned out to take
 * longer.
 */

#include <math.h>

#include "fair.h"
#include "learn.h"
#include "queue.h"
#include "queue_split.h"

#define LEVELS 24 /* the last holds all run times from 2^23 ms */
#define MS_PER_SEC 1000.0
#define SHORT_LEVEL_INITIAL 6 /* < 128 ms; used until service is counted */
#define SHORT_UPDATE_INTERVAL OGL_SEC
#define SERVICE_HALVE_ITEMS 1024 /* ended items between halvings of service */
#define AWAITED_BOOST_LEVELS 1u  /* subtracted from awaited work's level */

/* Largest part of a team's held resources that its aged items may hold. */
#define AGED_FRACTION 0.25
#define AGED_FRACTION_LONG 0.5  /* while the team has no short work waiting */
#define AGED_CREDIT_MAX_SEC 1.0 /* aged_debt is at least -held times this */

#define DEMOTIONS_MAX 16                /* items demoted in one search */
#define COUNTED_RUN_MAX (600 * OGL_SEC) /* longest run counted per item */

struct team {
	struct learned *policy;
	guint head_index;
	struct ogl_fair_node *leaf;
	struct ogl_learn *learn;
	struct ogl_queue_heap level[LEVELS];
	uint32_t used_levels;   /* bit per level with waiting items */
	double held;            /* demand of the running items */
	double aged_held;       /* part of held that is of aged items */
	double aged_debt;       /* aged service beyond AGED_FRACTION of all */
	ogl_time aged_debt_at;  /* time that aged_debt was updated */
	uint32_t ended_items;   /* since service was last halved */
	double service[LEVELS]; /* decayed, by level known at the end */
};

/* Sort key of the first item in a team's lowest level.  Kept in an array of its
 * own, so that scanning all teams reads contiguous memory. */
struct team_head {
	uint32_t level; /* LEVELS when nothing waits */
	ogl_time waiting_since;
	uint64_t seq;
	struct team *team;
};

struct learned {
	GArray *heads; /* struct team_head, by team->head_index */
	struct ogl_fair *fair;
	GPtrArray *teams;
	GHashTable *by_name; /* interned team path -> struct team */
	uint64_t seed;
	uint32_t short_level;      /* highest level that is short */
	ogl_time short_updated_at; /* when short_level was last updated */
};

static void *
learned_init(uint64_t seed)
{
	struct learned *p = g_new0(struct learned, 1);

	p->fair = ogl_fair_init();
	p->teams = g_ptr_array_new();
	p->by_name = g_hash_table_new(NULL, NULL);
	p->heads = g_array_new(FALSE, FALSE, sizeof(struct team_head));
	p->seed = seed;
	p->short_level = SHORT_LEVEL_INITIAL;
	return p;
}

static void
team_free(struct team *t)
{
	for (size_t i = 0; i < LEVELS; i++)
		ogl_queue_heap_end(&t->level[i]);
	ogl_learn_end(t->learn);
	g_free(t);
}

static void
learned_end(void *data)
{
	struct learned *p = data;

	for (guint i = 0; i < p->teams->len; i++)
		team_free(p->teams->pdata[i]);
	g_ptr_array_free(p->teams, TRUE);
	g_hash_table_destroy(p->by_name);
	g_array_free(p->heads, TRUE);
	ogl_fair_end(p->fair);
	g_free(p);
}

static void
learned_set_team_share(void *data, const char *team, double share)
{
	struct learned *p = data;

	ogl_fair_set_share(p->fair, team, share);
}

static struct team *
team_new(struct learned *p, struct ogl_fair_node *leaf)
{
	struct team *t = g_new0(struct team, 1);
	struct team_head head = {.level = LEVELS, .team = t};

	t->policy = p;
	t->head_index = p->heads->len;
	g_array_append_val(p->heads, head);
	t->leaf = leaf;
	t->learn = ogl_learn_init();
	for (size_t i = 0; i < LEVELS; i++)
		ogl_queue_heap_init(&t->level[i], OGL_HEAP_POLICY);
	ogl_fair_set_data(leaf, t);
	g_ptr_array_add(p->teams, t);
	return t;
}

static struct team *
team_of(struct learned *p, struct ogl_queue_item *it)
{
	struct team *t;

	if (it->policy_team != NULL)
		return it->policy_team;
	t = g_hash_table_lookup(p->by_name, it->w.team);
	if (t == NULL) {
		t = team_new(p, ogl_fair_leaf(p->fair, it->w.team));
		g_hash_table_insert(p->by_name, (gpointer)it->w.team, t);
	}
	it->policy_team = t;
	it->policy_key = ogl_learn_class(&it->w, p->seed);
	return t;
}

static uint32_t
run_level(struct team *t, const struct ogl_queue_item *it, ogl_time now,
    bool *awaited)
{
	ogl_time run =
	    ogl_learn_estimate(t->learn, it->policy_key, now, awaited);
	uint32_t level = 0;

	for (run /= OGL_MS; run > 1 && level < LEVELS - 1; run /= 2)
		level++;
	return level;
}

static uint32_t
rank_by_run(struct team *t, const struct ogl_queue_item *it, ogl_time now)
{
	bool awaited;
	uint32_t level = run_level(t, it, now, &awaited);

	return awaited ? level - MIN(level, AWAITED_BOOST_LEVELS) : level;
}

/* A service runs until it is stopped, so its run time is not considered.  Its
 * users wait for it to start, so it ranks just after short work, but it never
 * overtakes. */
static uint32_t
rank_service(struct team *t, const struct ogl_queue_item *it, ogl_time now)
{
	(void)it;
	(void)now;
	return MIN(t->policy->short_level + 1, LEVELS - 1);
}

/* Decays older service by the number of ended items rather than by time,
 * because a team with long tasks ends few of them. */
static void
decay_service(struct team *t)
{
	if (++t->ended_items < SERVICE_HALVE_ITEMS)
		return;
	t->ended_items = 0;
	for (size_t k = 0; k < LEVELS; k++)
		t->service[k] /= 2;
}

/* Adds to the histogram that determines which levels are short.  The cap keeps
 * an item that ran for days from outweighing all others, which would make
 * everything else count as short. */
static void
count_service(struct team *t, const struct ogl_queue_item *it, ogl_time now)
{
	ogl_time ran = MIN(now - it->started_at, COUNTED_RUN_MAX);
	bool awaited;
	uint32_t level = run_level(t, it, now, &awaited);

	t->service[level] += it->dominant_demand * (double)ran;
	decay_service(t);
}

static void
count_nothing(struct team *t, const struct ogl_queue_item *it, ogl_time now)
{
	(void)t;
	(void)it;
	(void)now;
}

/* Rules that differ between kinds of work. */
struct kind_rule {
	ogl_time wait_max; /* items that wait longer are aged */
	uint32_t (*rank)(
	    struct team *t, const struct ogl_queue_item *it, ogl_time now);
	void (*count)(
	    struct team *t, const struct ogl_queue_item *it, ogl_time now);
};

static const struct kind_rule kind_rules[] = {
    [OGL__KIND__batch] = {60 * OGL_SEC, rank_by_run, count_service},
    [OGL__KIND__service] = {30 * OGL_SEC, rank_service, count_nothing},
    [OGL__KIND__gang] = {60 * OGL_SEC, rank_by_run, count_service},
    [OGL__KIND__request] = {10 * OGL_SEC, rank_by_run, count_service},
};

static const struct kind_rule *
rule_of(const struct ogl_queue_item *it)
{
	size_t kind = (size_t)it->w.kind;

	/* A message from a newer peer may have a kind unknown here. */
	if (kind >= G_N_ELEMENTS(kind_rules))
		kind = OGL__KIND__batch;
	return &kind_rules[kind];
}

/* Preempted work ranks just after its team's short work.  It must not count
 * as short, or it would overtake the team that it was preempted for. */
static uint32_t
rank_item(struct team *t, const struct ogl_queue_item *it, ogl_time now)
{
	uint32_t level = rule_of(it)->rank(t, it, now);

	return it->w.preempted ? MIN(level, t->policy->short_level + 1) : level;
}

static void
update_head(struct team *t)
{
	struct team_head *h =
	    &g_array_index(t->policy->heads, struct team_head, t->head_index);
	const struct ogl_queue_item *it;

	h->level = LEVELS;
	if (t->used_levels == 0)
		return;
	h->level = (uint32_t)__builtin_ctz(t->used_levels);
	it = ogl_queue_heap_top(&t->level[h->level]);
	h->waiting_since = it->w.waiting_since;
	h->seq = it->seq;
}

static void
order_insert(struct team *t, struct ogl_queue_item *it)
{
	ogl_queue_heap_add(&t->level[it->level], it->w.waiting_since, it);
	t->used_levels |= 1u << it->level;
	update_head(t);
}

static void
order_remove(struct team *t, struct ogl_queue_item *it)
{
	ogl_queue_heap_del(&t->level[it->level], it);
	if (t->level[it->level].n == 0)
		t->used_levels &= ~(1u << it->level);
	update_head(t);
}

static void
undefer(struct team *t, struct ogl_queue_item *it)
{
	if (it->deferred)
		ogl_fair_change_deferred(t->leaf, -it->dominant_demand);
	it->deferred = false;
}

static void
learned_deferred(void *data, struct ogl_queue_item *it, ogl_time now)
{
	struct team *t = it->policy_team;

	(void)data;
	(void)now;
	ogl_fair_change_deferred(t->leaf, it->dominant_demand);
	it->deferred = true;
}

static void
learned_push(void *data, struct ogl_queue_item *it, ogl_time now)
{
	struct team *t = team_of(data, it);

	if (!it->ranked) {
		ogl_learn_pushed(t->learn, it->policy_key, now);
		it->level = rank_item(t, it, now);
		it->ranked = true;
	}
	it->aged = false;
	undefer(t, it);
	order_insert(t, it);
	ogl_fair_add_waiting(t->leaf, now);
}

static void
learned_unlink(void *data, struct ogl_queue_item *it)
{
	struct team *t = it->policy_team;

	(void)data;
	order_remove(t, it);
	ogl_fair_remove_waiting(t->leaf);
}

/* First item of the lowest level, after demoting items whose class has turned
 * out to take longer than expected when they were pushed. */
static struct ogl_queue_item *
shortest(struct team *t, ogl_time now)
{
	for (int i = 0;; i++) {
		uint32_t low = (uint32_t)__builtin_ctz(t->used_levels);
		struct ogl_queue_item *it = ogl_queue_heap_top(&t->level[low]);
		uint32_t level = rank_item(t, it, now);

		if (level <= it->level || i == DEMOTIONS_MAX)
			return it;
		order_remove(t, it);
		it->level = level;
		order_insert(t, it);
	}
}

static bool
waits_longer(const struct ogl_queue_item *a, const struct ogl_queue_item *b)
{
	if (a->w.waiting_since != b->w.waiting_since)
		return a->w.waiting_since < b->w.waiting_since;
	return a->seq < b->seq;
}

static struct ogl_queue_item *
oldest(struct team *t)
{
	struct ogl_queue_item *best = NULL;

	for (uint32_t bits = t->used_levels; bits != 0; bits &= bits - 1) {
		struct ogl_queue_item *it =
		    ogl_queue_heap_top(&t->level[__builtin_ctz(bits)]);

		if (best == NULL || waits_longer(it, best))
			best = it;
	}
	return best;
}

/* Updates aged_debt to time `now`. */
static void
update_aged_debt(struct team *t, ogl_time now)
{
	double sec = (double)MAX(now - t->aged_debt_at, 0) / OGL_SEC;

	t->aged_debt += sec * (t->aged_held - AGED_FRACTION * t->held);
	t->aged_debt = MAX(t->aged_debt, -AGED_CREDIT_MAX_SEC * t->held);
	t->aged_debt_at = MAX(t->aged_debt_at, now);
}

/* Without debt, one aged item may always run, even if it exceeds the allowed
 * part; otherwise a team that holds little could never start any.  The debt
 * that it causes delays the next one. */
static bool
may_serve_aged(struct team *t, ogl_time now)
{
	update_aged_debt(t, now);
	if (t->aged_debt > 0)
		return false;
	return t->aged_held <= 0 || t->aged_held < AGED_FRACTION * t->held;
}

static struct ogl_queue_item *
team_next(struct team *t, ogl_time now)
{
	struct ogl_queue_item *it = shortest(t, now);
	struct ogl_queue_item *longest;
	bool aged_allowed = may_serve_aged(t, now);

	if (it->level > t->policy->short_level)
		aged_allowed |= t->aged_held < AGED_FRACTION_LONG * t->held;
	if (!aged_allowed)
		return it;
	longest = oldest(t);
	if (now - longest->w.waiting_since <= rule_of(longest)->wait_max)
		return it;
	longest->aged = true;
	return longest;
}

static bool
head_before(const struct team_head *a, const struct team_head *b)
{
	if (a->level != b->level)
		return a->level < b->level;
	if (a->waiting_since != b->waiting_since)
		return a->waiting_since < b->waiting_since;
	return a->seq < b->seq;
}

static double
sum(const double v[LEVELS])
{
	double all = 0;

	for (size_t i = 0; i < LEVELS; i++)
		all += v[i];
	return all;
}

/* Sums the service of all teams by level, each team normalized to 1. */
static void
sum_normalized(struct learned *p, double service[LEVELS])
{
	for (guint i = 0; i < p->teams->len; i++) {
		struct team *t = p->teams->pdata[i];
		double own = sum(t->service);

		for (size_t k = 0; own > 0 && k < LEVELS; k++)
			service[k] += t->service[k] / own;
	}
}

/* Updates which levels are short, and the typical run time of long work. */
static void
update_short_level(struct learned *p, ogl_time now)
{
	double service[LEVELS] = {0};
	struct ogl_queue_split split;

	p->short_updated_at = now;
	sum_normalized(p, service);
	if (!ogl_queue_split(service, LEVELS, &split))
		return;
	p->short_level = split.short_level;
	ogl_fair_set_typical_run(
	    p->fair, exp2(split.long_mean_level) / MS_PER_SEC);
}

/* Of the short items of teams that may overtake, the one with the lowest level;
 * on equal levels the one that has waited longest. */
static struct ogl_queue_item *
pick_overtaking_by_level(struct learned *p, ogl_time now)
{
	const struct team_head *best = NULL;

	for (guint i = 0; i < p->heads->len; i++) {
		const struct team_head *h =
		    &g_array_index(p->heads, struct team_head, i);

		if (h->level > p->short_level)
			continue;
		if (best != NULL && !head_before(h, best))
			continue;
		if (ogl_fair_may_overtake(h->team->leaf, now))
			best = h;
	}
	if (best == NULL)
		return NULL;
	return ogl_queue_heap_top(&best->team->level[best->level]);
}

/* Repeats the choice when the chosen item had to be demoted to a higher
 * level. */
static struct ogl_queue_item *
pick_overtaking(struct learned *p, ogl_time now)
{
	struct ogl_queue_item *it;

	for (int i = 0; i < DEMOTIONS_MAX; i++) {
		it = pick_overtaking_by_level(p, now);
		if (it == NULL || shortest(it->policy_team, now) == it)
			return it;
	}
	return NULL;
}

static struct ogl_queue_item *
learned_pop(void *data, ogl_time now)
{
	struct learned *p = data;
	struct ogl_fair_node *leaf = ogl_fair_pick(p->fair, now);
	struct ogl_queue_item *it;

	if (leaf == NULL)
		return NULL;
	if (now - p->short_updated_at >= SHORT_UPDATE_INTERVAL)
		update_short_level(p, now);
	it = pick_overtaking(p, now);
	/* When the short item belongs to the team whose turn it is, the aged
	 * items of that team may go before it; otherwise an endless supply of
	 * short work would starve them. */
	if (it == NULL || it->policy_team == ogl_fair_data(leaf))
		it = team_next(ogl_fair_data(leaf), now);
	learned_unlink(p, it);
	return it;
}

static void
add_held(struct team *t, const struct ogl_queue_item *it, double demand,
    ogl_time now)
{
	update_aged_debt(t, now);
	t->held = MAX(t->held + demand, 0);
	if (it->aged)
		t->aged_held = MAX(t->aged_held + demand, 0);
}

static void
learned_withdrawn(void *data, struct ogl_queue_item *it)
{
	struct team *t = it->policy_team;

	(void)data;
	undefer(t, it);
	ogl_learn_withdrawn(t->learn, it->policy_key);
}

static void
learned_started(void *data, struct ogl_queue_item *it, ogl_time now)
{
	struct team *t = team_of(data, it);

	ogl_learn_started(t->learn, it->policy_key, now);
	ogl_fair_change_held(t->leaf, it->dominant_demand, now);
	add_held(t, it, it->dominant_demand, now);
}

static void
learned_ended(void *data, struct ogl_queue_item *it, bool ok, ogl_time now)
{
	struct team *t = it->policy_team;

	(void)data;
	ogl_learn_ended(
	    t->learn, it->policy_key, now - it->started_at, ok, now);
	rule_of(it)->count(t, it, now);
	ogl_fair_change_held(t->leaf, -it->dominant_demand, now);
	add_held(t, it, -it->dominant_demand, now);
}

const struct ogl_queue_policy ogl_queue_learned = {
    .name = "learned",
    .init = learned_init,
    .end = learned_end,
    .set_team_share = learned_set_team_share,
    .push = learned_push,
    .pop = learned_pop,
    .unlink = learned_unlink,
    .withdrawn = learned_withdrawn,
    .deferred = learned_deferred,
    .started = learned_started,
    .ended = learned_ended,
};
