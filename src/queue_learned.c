/*
 * The order that ships.
 *
 * Whose turn it is comes from fair.c, what of that team's goes first from
 * learn.c.  Each team keeps a heap per level, a level being the power of two
 * of the run time expected in milliseconds; within a level the longest
 * waiting goes first.  The lowest level goes first, but every fourth turn of
 * a team is its longest waiting piece's once that has waited too long: short
 * work keeps most of the team's turns and no piece waits for ever.
 *
 * Short work may overtake other teams' turns: the longest waiting short
 * piece of all teams goes first, as long as its team is not more than a small
 * debt ahead of its share.  The debt bounds what this costs the others,
 * whatever the team calls its work.
 *
 * An item's level is set when it is pushed and may only rise, when its sort
 * of work has meanwhile been seen to take longer; it keeps its level when it
 * is put back.
 */

#include "fair.h"
#include "learn.h"
#include "queue.h"

#define LEVELS 24
/* Work expected to end within this many milliseconds' level is short. */
#define SHORT_LEVEL 8
#define AGED_TURN 4
#define DEMOTE_MAX 16 /* in one pop */

struct team {
	struct ogl_fair_node *leaf;
	struct ogl_learn *learn;
	struct ogl_queue_heap level[LEVELS];
	uint32_t used; /* bit per level that holds something */
	uint32_t turn;
};

struct learned {
	struct ogl_fair *fair;
	GPtrArray *teams;
	uint64_t seed;
};

/* What differs between kinds. */
struct kind_rule {
	ogl_time age;         /* a wait longer than this is too long */
	uint32_t least_level; /* no piece of this kind ranks before it */
};

static const struct kind_rule kind_rules[] = {
    [OGL__KIND__batch] = {60 * OGL_SEC, 0},
    [OGL__KIND__service] = {30 * OGL_SEC, SHORT_LEVEL + 1},
    [OGL__KIND__gang] = {60 * OGL_SEC, 0},
    [OGL__KIND__request] = {10 * OGL_SEC, 0},
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

static void *
learned_init(uint64_t seed)
{
	struct learned *p = g_new0(struct learned, 1);

	p->fair = ogl_fair_init();
	p->teams = g_ptr_array_new();
	p->seed = seed;
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
	struct ogl_fair_node *leaf;

	if (it->leaf == NULL) {
		leaf = ogl_fair_leaf(p->fair, it->w.team);
		it->leaf = ogl_fair_data(leaf);
		if (it->leaf == NULL)
			it->leaf = team_new(p, leaf);
		it->sort = ogl_learn_sort(&it->w, p->seed);
	}
	return it->leaf;
}

static uint32_t
level_of(struct team *t, const struct ogl_queue_item *it, ogl_time now)
{
	ogl_time ms = ogl_learn_guess(t->learn, it->sort, now) / OGL_MS;
	uint32_t level = rule_of(it)->least_level;
	uint32_t bits = 0;

	while (ms > 1 && bits < LEVELS - 1) {
		ms /= 2;
		bits++;
	}
	return MAX(level, bits);
}

static void
enter(struct team *t, struct ogl_queue_item *it)
{
	ogl_queue_heap_add(&t->level[it->level], it->w.since, it);
	t->used |= 1u << it->level;
}

static void
leave(struct team *t, struct ogl_queue_item *it)
{
	ogl_queue_heap_del(&t->level[it->level], it);
	if (t->level[it->level].n == 0)
		t->used &= ~(1u << it->level);
}

static void
learned_push(void *data, struct ogl_queue_item *it, ogl_time now)
{
	struct team *t = team_of(data, it);

	if (!it->ranked)
		it->level = level_of(t, it, now);
	it->ranked = true;
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
		uint32_t level = level_of(t, it, now);

		if (level <= it->level || i == DEMOTE_MAX)
			return it;
		leave(t, it);
		it->level = level;
		enter(t, it);
	}
}

static struct ogl_queue_item *
oldest(struct team *t)
{
	struct ogl_queue_item *best = NULL;

	for (uint32_t bits = t->used; bits != 0; bits &= bits - 1) {
		struct ogl_queue_item *it =
		    ogl_queue_heap_top(&t->level[__builtin_ctz(bits)]);

		if (best == NULL || it->w.since < best->w.since)
			best = it;
	}
	return best;
}

static struct ogl_queue_item *
team_next(struct team *t, ogl_time now)
{
	if (++t->turn % AGED_TURN == 0) {
		struct ogl_queue_item *it = oldest(t);

		if (now - it->w.since > rule_of(it)->age)
			return it;
	}
	return shortest(t, now);
}

/* The longest waiting short piece among teams that may overtake. */
static struct ogl_queue_item *
urgent(struct learned *p, ogl_time now)
{
	struct ogl_queue_item *best = NULL;

	for (guint i = 0; i < p->teams->len; i++) {
		struct team *t = p->teams->pdata[i];
		struct ogl_queue_item *it;

		if ((t->used & ((1u << (SHORT_LEVEL + 1)) - 1)) == 0)
			continue;
		it = shortest(t, now);
		if (it->level > SHORT_LEVEL)
			continue;
		if (best != NULL && best->w.since <= it->w.since)
			continue;
		if (ogl_fair_may_overtake(t->leaf, now))
			best = it;
	}
	return best;
}

static struct ogl_queue_item *
learned_pop(void *data, ogl_time now)
{
	struct learned *p = data;
	struct ogl_fair_node *leaf = ogl_fair_pick(p->fair, now);
	struct ogl_queue_item *it;

	if (leaf == NULL)
		return NULL;
	it = urgent(p, now);
	if (it == NULL)
		it = team_next(ogl_fair_data(leaf), now);
	learned_unlink(p, it);
	return it;
}

static void
learned_started(void *data, struct ogl_queue_item *it, ogl_time now)
{
	struct team *t = team_of(data, it);

	ogl_learn_started(t->learn, it->sort, now);
	ogl_fair_hold(t->leaf, it->rate, now);
}

static void
learned_ended(void *data, struct ogl_queue_item *it, bool ok, ogl_time now)
{
	struct team *t = it->leaf;

	(void)data;
	ogl_learn_ended(t->learn, it->sort, now - it->began, ok, now);
	ogl_fair_hold(t->leaf, -it->rate, now);
}

const struct ogl_queue_policy ogl_queue_learned = {
    .name = "learned",
    .init = learned_init,
    .end = learned_end,
    .team = learned_team,
    .push = learned_push,
    .pop = learned_pop,
    .unlink = learned_unlink,
    .started = learned_started,
    .ended = learned_ended,
};
