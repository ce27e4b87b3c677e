/*
 * The order that ships.
 *
 * Whose turn it is comes from fair.c, what of that team's goes first from
 * learn.c.  Each team keeps a heap per level, a level being the power of two
 * of the run time expected in milliseconds; within a level the longest
 * waiting goes first.  The lowest level goes first, but a quarter of the
 * team's service may go to pieces that go first because they have waited too
 * long: no piece waits for ever and short work keeps most of the team.
 * Counting turns in place of service would hand nearly all to long pieces:
 * one turn of theirs is worth a thousand short ones.
 *
 * Short work may overtake other teams' turns: the shortest, then longest
 * waiting, short piece of all teams goes first, as long as its team is not
 * more than a small debt ahead of its share.  The debt bounds what this costs
 * the others, whatever the team calls its work.
 *
 * What counts as short is not a number of seconds: a request of a second is
 * long, a task of a second is short.  The service given lately, by level, is
 * split where the two sides differ most (queue_split.c).  Each team's
 * service is brought to the same sum first, so that a flood of one team moves
 * the limit by no more than any other team could.
 *
 * Work that somebody seems to wait for ranks as if it took half as long.
 *
 * An item's level is set when it is pushed and may only rise, when its sort
 * of work has meanwhile been seen to take longer; it keeps its level when it
 * is put back.
 */

#include <math.h>

#include "fair.h"
#include "learn.h"
#include "queue.h"
#include "queue_split.h"

#define LEVELS 24
#define MS_A_SEC 1000.0
#define SHORT_FIRST 6 /* highest short level before anything was seen */
#define SHORT_EVERY OGL_SEC
#define SERVICE_HALVE 1024 /* pieces ended, after which service is halved */
#define AWAITED_LEVELS 1u  /* by which awaited work ranks shorter */
#define AGED_PART 0.25
#define AGED_PART_LONG 0.5           /* of turns that short work leaves */
#define AGED_CREDIT_SEC 1.0          /* most that aged_debt may be negative */
#define DEMOTE_MAX 16                /* in one pop */
#define COUNTED_MOST (600 * OGL_SEC) /* of one piece's run, see count_by_run */

struct team {
	struct learned *all;
	guint at_lane;
	struct ogl_fair_node *leaf;
	struct ogl_learn *learn;
	struct ogl_queue_heap level[LEVELS];
	uint32_t used; /* bit per level that holds something */
	double held;
	double aged_held;       /* part of it given for a long wait */
	double aged_debt;       /* their service beyond AGED_PART of all */
	ogl_time at;            /* time of aged_debt */
	uint32_t ended;         /* since service was halved */
	double service[LEVELS]; /* decayed, by level now known */
};

/* The first piece of a team's lowest level, kept apart from the team: looking
 * through all teams then reads one short run of memory. */
struct lane {
	uint32_t level; /* LEVELS when nothing waits */
	ogl_time since;
	uint64_t seq;
	struct team *team;
};

struct learned {
	GArray *lanes; /* struct lane, by team->at_lane */
	struct ogl_fair *fair;
	GPtrArray *teams;
	GHashTable *by_name; /* team path, as interned by the queue */
	uint64_t seed;
	uint32_t short_level; /* highest level that is short */
	ogl_time looked;      /* when that was last worked out */
};

static void *
learned_init(uint64_t seed)
{
	struct learned *p = g_new0(struct learned, 1);

	p->fair = ogl_fair_init();
	p->teams = g_ptr_array_new();
	p->by_name = g_hash_table_new(NULL, NULL);
	p->lanes = g_array_new(FALSE, FALSE, sizeof(struct lane));
	p->seed = seed;
	p->short_level = SHORT_FIRST;
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
	g_array_free(p->lanes, TRUE);
	ogl_fair_end(p->fair);
	g_free(p);
}

static void
learned_team(void *data, const char *team, double share)
{
	struct learned *p = data;

	ogl_fair_share(p->fair, team, share);
}

static struct team *
team_new(struct learned *p, struct ogl_fair_node *leaf)
{
	struct team *t = g_new0(struct team, 1);
	struct lane lane = {.level = LEVELS, .team = t};

	t->all = p;
	t->at_lane = p->lanes->len;
	g_array_append_val(p->lanes, lane);
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

	if (it->leaf != NULL)
		return it->leaf;
	t = g_hash_table_lookup(p->by_name, it->w.team);
	if (t == NULL) {
		t = team_new(p, ogl_fair_leaf(p->fair, it->w.team));
		g_hash_table_insert(p->by_name, (gpointer)it->w.team, t);
	}
	it->leaf = t;
	it->sort = ogl_learn_sort(&it->w, p->seed);
	return t;
}

/* Level of the run time expected. */
static uint32_t
run_level(struct team *t, const struct ogl_queue_item *it, ogl_time now,
    bool *awaited)
{
	ogl_time run = ogl_learn_guess(t->learn, it->sort, now, awaited);
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

	return awaited ? level - MIN(level, AWAITED_LEVELS) : level;
}

/* A service runs until it is stopped, so its run time says nothing; its users
 * wait for its start.  It goes right behind short work and never overtakes. */
static uint32_t
rank_service(struct team *t, const struct ogl_queue_item *it, ogl_time now)
{
	(void)it;
	(void)now;
	return MIN(t->all->short_level + 1, LEVELS - 1);
}

/* Lets old service count less, by pieces and not by time: a team of long
 * tasks ends few of them. */
static void
fade(struct team *t)
{
	if (++t->ended < SERVICE_HALVE)
		return;
	t->ended = 0;
	for (size_t k = 0; k < LEVELS; k++)
		t->service[k] /= 2;
}

/* Adds to the service by level, out of which comes what is short.  One piece
 * that ran for days must not outweigh all others: everything else would then
 * pass for short. */
static void
count_by_run(struct team *t, const struct ogl_queue_item *it, ogl_time now)
{
	ogl_time ran = MIN(now - it->began, COUNTED_MOST);
	bool awaited;
	uint32_t level = run_level(t, it, now, &awaited);

	t->service[level] += it->rate * (double)ran;
	fade(t);
}

static void
count_nothing(struct team *t, const struct ogl_queue_item *it, ogl_time now)
{
	(void)t;
	(void)it;
	(void)now;
}

/* What differs between kinds. */
struct kind_rule {
	ogl_time age; /* a wait longer than this is too long */
	uint32_t (*rank)(
	    struct team *t, const struct ogl_queue_item *it, ogl_time now);
	void (*count)(
	    struct team *t, const struct ogl_queue_item *it, ogl_time now);
};

static const struct kind_rule kind_rules[] = {
    [OGL__KIND__batch] = {60 * OGL_SEC, rank_by_run, count_by_run},
    [OGL__KIND__service] = {30 * OGL_SEC, rank_service, count_nothing},
    [OGL__KIND__gang] = {60 * OGL_SEC, rank_by_run, count_by_run},
    [OGL__KIND__request] = {10 * OGL_SEC, rank_by_run, count_by_run},
};

static const struct kind_rule *
rule_of(const struct ogl_queue_item *it)
{
	size_t kind = (size_t)it->w.kind;

	/* A message from a newer peer may carry a kind not known here. */
	if (kind >= G_N_ELEMENTS(kind_rules))
		kind = OGL__KIND__batch;
	return &kind_rules[kind];
}

/* Work that was taken back goes right behind its team's short work.  It must
 * not pass for short: it would overtake the team it had to make way for. */
static uint32_t
rank(struct team *t, const struct ogl_queue_item *it, ogl_time now)
{
	uint32_t level = rule_of(it)->rank(t, it, now);

	return it->w.first ? MIN(level, t->all->short_level + 1) : level;
}

static void
lane_update(struct team *t)
{
	struct lane *l = &g_array_index(t->all->lanes, struct lane, t->at_lane);
	const struct ogl_queue_item *it;

	l->level = LEVELS;
	if (t->used == 0)
		return;
	l->level = (uint32_t)__builtin_ctz(t->used);
	it = ogl_queue_heap_top(&t->level[l->level]);
	l->since = it->w.since;
	l->seq = it->seq;
}

static void
enter(struct team *t, struct ogl_queue_item *it)
{
	ogl_queue_heap_add(&t->level[it->level], it->w.since, it);
	t->used |= 1u << it->level;
	lane_update(t);
}

static void
leave(struct team *t, struct ogl_queue_item *it)
{
	ogl_queue_heap_del(&t->level[it->level], it);
	if (t->level[it->level].n == 0)
		t->used &= ~(1u << it->level);
	lane_update(t);
}

static void
unpass(struct team *t, struct ogl_queue_item *it)
{
	if (it->passed)
		ogl_fair_pass(t->leaf, -it->rate);
	it->passed = false;
}

static void
learned_passed(void *data, struct ogl_queue_item *it, ogl_time now)
{
	struct team *t = it->leaf;

	(void)data;
	(void)now;
	ogl_fair_pass(t->leaf, it->rate);
	it->passed = true;
}

static void
learned_push(void *data, struct ogl_queue_item *it, ogl_time now)
{
	struct team *t = team_of(data, it);

	if (!it->ranked) {
		ogl_learn_pushed(t->learn, it->sort, now);
		it->level = rank(t, it, now);
		it->ranked = true;
	}
	it->aged = false;
	unpass(t, it);
	enter(t, it);
	ogl_fair_wait(t->leaf, now);
}

static void
learned_unlink(void *data, struct ogl_queue_item *it)
{
	struct team *t = it->leaf;

	(void)data;
	leave(t, it);
	ogl_fair_unwait(t->leaf);
}

/* First of the lowest level, after demoting what turned out to be longer
 * than was thought when it was pushed. */
static struct ogl_queue_item *
shortest(struct team *t, ogl_time now)
{
	for (int i = 0;; i++) {
		uint32_t low = (uint32_t)__builtin_ctz(t->used);
		struct ogl_queue_item *it = ogl_queue_heap_top(&t->level[low]);
		uint32_t level = rank(t, it, now);

		if (level <= it->level || i == DEMOTE_MAX)
			return it;
		leave(t, it);
		it->level = level;
		enter(t, it);
	}
}

static bool
waits_longer(const struct ogl_queue_item *a, const struct ogl_queue_item *b)
{
	if (a->w.since != b->w.since)
		return a->w.since < b->w.since;
	return a->seq < b->seq;
}

static struct ogl_queue_item *
oldest(struct team *t)
{
	struct ogl_queue_item *best = NULL;

	for (uint32_t bits = t->used; bits != 0; bits &= bits - 1) {
		struct ogl_queue_item *it =
		    ogl_queue_heap_top(&t->level[__builtin_ctz(bits)]);

		if (best == NULL || waits_longer(it, best))
			best = it;
	}
	return best;
}

/* Brings aged_debt up to `now`. */
static void
team_advance(struct team *t, ogl_time now)
{
	double sec = (double)MAX(now - t->at, 0) / OGL_SEC;

	t->aged_debt += sec * (t->aged_held - AGED_PART * t->held);
	t->aged_debt = MAX(t->aged_debt, -AGED_CREDIT_SEC * t->held);
	t->at = MAX(t->at, now);
}

/* One at a time may always go, lest a team with few places never starts any;
 * its debt then keeps the next one back. */
static bool
may_age(struct team *t, ogl_time now)
{
	team_advance(t, now);
	if (t->aged_debt > 0)
		return false;
	return t->aged_held <= 0 || t->aged_held < AGED_PART * t->held;
}

static struct ogl_queue_item *
team_next(struct team *t, ogl_time now)
{
	struct ogl_queue_item *it = shortest(t, now);
	struct ogl_queue_item *old;
	bool may = may_age(t, now);

	if (it->level > t->all->short_level)
		may |= t->aged_held < AGED_PART_LONG * t->held;
	if (!may)
		return it;
	old = oldest(t);
	if (now - old->w.since <= rule_of(old)->age)
		return it;
	old->aged = true;
	return old;
}

static bool
goes_before(const struct lane *a, const struct lane *b)
{
	if (a->level != b->level)
		return a->level < b->level;
	if (a->since != b->since)
		return a->since < b->since;
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

/* Each team's service by level, all teams brought to the same sum. */
static void
gather(struct learned *p, double all[LEVELS])
{
	for (guint i = 0; i < p->teams->len; i++) {
		struct team *t = p->teams->pdata[i];
		double own = sum(t->service);

		for (size_t k = 0; own > 0 && k < LEVELS; k++)
			all[k] += t->service[k] / own;
	}
}

/* Works out anew which levels are short, and how long other work runs. */
static void
look(struct learned *p, ogl_time now)
{
	double all[LEVELS] = {0};
	struct ogl_queue_split split;

	p->looked = now;
	gather(p, all);
	if (!ogl_queue_split(all, LEVELS, &split))
		return;
	p->short_level = split.short_level;
	ogl_fair_scale(p->fair, exp2(split.high_mean) / MS_A_SEC);
}

/* The shortest, then longest waiting, among teams that may overtake. */
static struct ogl_queue_item *
urgent_as_ranked(struct learned *p, ogl_time now)
{
	const struct lane *best = NULL;

	for (guint i = 0; i < p->lanes->len; i++) {
		const struct lane *l = &g_array_index(p->lanes, struct lane, i);

		if (l->level > p->short_level)
			continue;
		if (best != NULL && !goes_before(l, best))
			continue;
		if (ogl_fair_may_overtake(l->team->leaf, now))
			best = l;
	}
	if (best == NULL)
		return NULL;
	return ogl_queue_heap_top(&best->team->level[best->level]);
}

/* Looks again when the best turned out to be longer than it was ranked. */
static struct ogl_queue_item *
urgent(struct learned *p, ogl_time now)
{
	struct ogl_queue_item *it;

	for (int i = 0; i < DEMOTE_MAX; i++) {
		it = urgent_as_ranked(p, now);
		if (it == NULL || shortest(it->leaf, now) == it)
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
	if (now - p->looked >= SHORT_EVERY)
		look(p, now);
	it = urgent(p, now);
	/* A team whose turn it is overtakes nobody: there, old work may go
	 * before short work, else short work without end starves it. */
	if (it == NULL || it->leaf == ogl_fair_data(leaf))
		it = team_next(ogl_fair_data(leaf), now);
	learned_unlink(p, it);
	return it;
}

static void
hold(struct team *t, const struct ogl_queue_item *it, double rate, ogl_time now)
{
	team_advance(t, now);
	t->held = MAX(t->held + rate, 0);
	if (it->aged)
		t->aged_held = MAX(t->aged_held + rate, 0);
}

static void
learned_gone(void *data, struct ogl_queue_item *it)
{
	struct team *t = it->leaf;

	(void)data;
	unpass(t, it);
	ogl_learn_gone(t->learn, it->sort);
}

static void
learned_started(void *data, struct ogl_queue_item *it, ogl_time now)
{
	struct team *t = team_of(data, it);

	ogl_learn_started(t->learn, it->sort, now);
	ogl_fair_hold(t->leaf, it->rate, now);
	hold(t, it, it->rate, now);
}

static void
learned_ended(void *data, struct ogl_queue_item *it, bool ok, ogl_time now)
{
	struct team *t = it->leaf;

	(void)data;
	ogl_learn_ended(t->learn, it->sort, now - it->began, ok, now);
	rule_of(it)->count(t, it, now);
	ogl_fair_hold(t->leaf, -it->rate, now);
	hold(t, it, -it->rate, now);
}

const struct ogl_queue_policy ogl_queue_learned = {
    .name = "learned",
    .init = learned_init,
    .end = learned_end,
    .team = learned_team,
    .push = learned_push,
    .pop = learned_pop,
    .unlink = learned_unlink,
    .gone = learned_gone,
    .passed = learned_passed,
    .started = learned_started,
    .ended = learned_ended,
};
