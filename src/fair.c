/*
 * Hierarchical weighted fair sharing.
 *
 * Each node of the tree keeps a virtual time: service received divided by
 * weight.  Service is counted as it is received, resource held times time
 * held, so neither a wrong estimate nor a label, a split or a cancellation
 * changes what a team is charged.  The next piece of work goes, at each
 * level, to the child with waiting work and the least
 *
 *	vtime + lookahead * held / weight
 *
 * that is, the one whose virtual time would be least a moment from now if
 * all it holds kept running.  Without the lookahead a team that comes back
 * would take every place that falls free until its virtual time caught up,
 * and then hold far more than its share.
 *
 * The clock of a node is the least virtual time among its children with
 * waiting work; it never goes back.  A child that begins to wait is moved up
 * to that clock less a small credit, so an idle team saves nothing up.  When
 * a node begins to wait at all, there was room for everybody below it until
 * now; then the clock starts at the greatest virtual time and no debts are
 * kept, because what was lent cost nobody anything.
 *
 * A team's own work is a child named "" beside its sub-teams.
 *
 * Picking looks at each sibling with waiting work.  Virtual times move while
 * work runs, so no heap could keep their order; a tree of a hundred teams
 * costs a scan of some dozen doubles a level.
 */

#include <string.h>

#include "fair.h"

/* All in typical run times, see ogl_fair_scale. */
#define LOOKAHEAD 1.5 /* how far ahead held resources are counted */
#define CREDIT 0.15   /* how far behind a returning team may be */
#define DEBT 0.5      /* how far ahead a team may get by overtaking */
#define SCALE_FIRST 0.4
#define SCALE_LEAST 0.05
#define SCALE_MOST 60.0

struct ogl_fair_node {
	struct ogl_fair *all;
	struct ogl_fair_node *parent;
	struct ogl_fair_node *own; /* where this team's own work goes */
	GHashTable *by_name;       /* children */
	GPtrArray *waiting;        /* children with waiting work */
	char *name;
	void *data;
	double weight;
	double vtime; /* as of `at` */
	double held;
	double passed; /* of work that did not fit */
	ogl_time at;
	size_t nwait;       /* pieces that wait in this subtree */
	size_t at_waiting;  /* slot in parent->waiting */
	double clock;       /* of its children */
	double wait_weight; /* sum over `waiting` */
};

struct ogl_fair {
	struct ogl_fair_node *root;
	double scale; /* seconds */
};

static void
node_free(gpointer data)
{
	struct ogl_fair_node *n = data;

	g_hash_table_destroy(n->by_name);
	g_ptr_array_free(n->waiting, TRUE);
	g_free(n->name);
	g_free(n);
}

static struct ogl_fair_node *
node_new(struct ogl_fair *f, struct ogl_fair_node *parent, const char *name,
    size_t n)
{
	struct ogl_fair_node *c = g_new0(struct ogl_fair_node, 1);

	c->all = f;
	c->parent = parent;
	c->name = g_strndup(name, n);
	c->weight = 1.0;
	c->by_name =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, node_free);
	c->waiting = g_ptr_array_new();
	if (parent != NULL)
		g_hash_table_insert(parent->by_name, c->name, c);
	return c;
}

struct ogl_fair *
ogl_fair_init(void)
{
	struct ogl_fair *f = g_new0(struct ogl_fair, 1);

	f->scale = SCALE_FIRST;
	f->root = node_new(f, NULL, "", 0);
	return f;
}

void
ogl_fair_end(struct ogl_fair *f)
{
	if (f == NULL)
		return;
	node_free(f->root);
	g_free(f);
}

static struct ogl_fair_node *
child(struct ogl_fair_node *n, const char *name, size_t len)
{
	char *key = g_strndup(name, len);
	struct ogl_fair_node *c = g_hash_table_lookup(n->by_name, key);

	g_free(key);
	return c != NULL ? c : node_new(n->all, n, name, len);
}

static struct ogl_fair_node *
walk(struct ogl_fair *f, const char *team)
{
	struct ogl_fair_node *n = f->root;

	while (*team != '\0') {
		size_t len = strcspn(team, "/");

		if (len != 0)
			n = child(n, team, len);
		team += len;
		if (*team == '/')
			team++;
	}
	return n;
}

struct ogl_fair_node *
ogl_fair_leaf(struct ogl_fair *f, const char *team)
{
	struct ogl_fair_node *n = walk(f, team);

	if (n->own == NULL)
		n->own = node_new(f, n, "", 0);
	return n->own;
}

void
ogl_fair_share(struct ogl_fair *f, const char *team, double share)
{
	struct ogl_fair_node *n = walk(f, team);

	if (!(share > 0.0))
		return;
	if (n->nwait != 0 && n->parent != NULL)
		n->parent->wait_weight += share - n->weight;
	n->weight = share;
}

void
ogl_fair_scale(struct ogl_fair *f, double sec)
{
	f->scale = CLAMP(sec, SCALE_LEAST, SCALE_MOST);
}

void *
ogl_fair_data(const struct ogl_fair_node *leaf)
{
	return leaf->data;
}

void
ogl_fair_set_data(struct ogl_fair_node *leaf, void *data)
{
	leaf->data = data;
}

static void
advance(struct ogl_fair_node *n, ogl_time now)
{
	if (now <= n->at)
		return;
	n->vtime += n->held * (double)(now - n->at) / OGL_SEC / n->weight;
	n->at = now;
}

/* How fast the children's virtual times rise while all of them wait. */
static double
pace(const struct ogl_fair_node *n)
{
	return n->wait_weight > 0.0 ? n->held / n->wait_weight : 0.0;
}

static void
forget_debts(struct ogl_fair_node *n, ogl_time now)
{
	GHashTableIter it;
	gpointer c;

	g_hash_table_iter_init(&it, n->by_name);
	while (g_hash_table_iter_next(&it, NULL, &c)) {
		advance(c, now);
		n->clock = MAX(n->clock, ((struct ogl_fair_node *)c)->vtime);
	}
}

static void
begin_waiting(struct ogl_fair_node *p, struct ogl_fair_node *c, ogl_time now)
{
	if (p->waiting->len == 0)
		forget_debts(p, now);
	c->at_waiting = p->waiting->len;
	g_ptr_array_add(p->waiting, c);
	p->wait_weight += c->weight;
	advance(c, now);
	c->vtime = MAX(c->vtime, p->clock - CREDIT * p->all->scale * pace(p));
}

static void
end_waiting(struct ogl_fair_node *p, struct ogl_fair_node *c)
{
	struct ogl_fair_node *last = p->waiting->pdata[p->waiting->len - 1];

	p->waiting->pdata[c->at_waiting] = last;
	last->at_waiting = c->at_waiting;
	g_ptr_array_set_size(p->waiting, (gint)p->waiting->len - 1);
	p->wait_weight = p->waiting->len != 0 ? p->wait_weight - c->weight : 0;
}

void
ogl_fair_wait(struct ogl_fair_node *leaf, ogl_time now)
{
	for (struct ogl_fair_node *n = leaf; n->parent != NULL; n = n->parent) {
		if (n->nwait++ == 0)
			begin_waiting(n->parent, n, now);
	}
}

void
ogl_fair_unwait(struct ogl_fair_node *leaf)
{
	for (struct ogl_fair_node *n = leaf; n->parent != NULL; n = n->parent) {
		if (--n->nwait == 0)
			end_waiting(n->parent, n);
	}
}

void
ogl_fair_hold(struct ogl_fair_node *leaf, double rate, ogl_time now)
{
	for (struct ogl_fair_node *n = leaf; n != NULL; n = n->parent) {
		advance(n, now);
		n->held = MAX(n->held + rate, 0.0);
	}
}

/* Without this, a team with a heap of work that fits nowhere would be picked
 * for each piece of it in turn before any other team is asked, and the
 * others' work would stay out while there is room for it. */
void
ogl_fair_pass(struct ogl_fair_node *leaf, double rate)
{
	for (struct ogl_fair_node *n = leaf; n != NULL; n = n->parent)
		n->passed = MAX(n->passed + rate, 0.0);
}

static struct ogl_fair_node *
pick_child(struct ogl_fair_node *p, ogl_time now)
{
	struct ogl_fair_node *best = NULL;
	double least = 0.0;
	double ahead = LOOKAHEAD * p->all->scale;
	double clock = 0.0;

	for (guint i = 0; i < p->waiting->len; i++) {
		struct ogl_fair_node *c = p->waiting->pdata[i];
		double key;

		advance(c, now);
		key = c->vtime + ahead * (c->held + c->passed) / c->weight;
		if (best == NULL || key < least) {
			best = c;
			least = key;
		}
		if (i == 0 || c->vtime < clock)
			clock = c->vtime;
	}
	if (best != NULL)
		p->clock = MAX(p->clock, clock);
	return best;
}

struct ogl_fair_node *
ogl_fair_pick(struct ogl_fair *f, ogl_time now)
{
	struct ogl_fair_node *n = pick_child(f->root, now);

	while (n != NULL && n->waiting->len != 0)
		n = pick_child(n, now);
	return n;
}

bool
ogl_fair_may_overtake(struct ogl_fair_node *leaf, ogl_time now)
{
	for (struct ogl_fair_node *n = leaf; n->parent != NULL; n = n->parent) {
		const struct ogl_fair_node *p = n->parent;
		double lead;

		if (p->waiting->len < 2)
			continue;
		advance(n, now);
		lead = n->vtime - p->clock;
		lead += LOOKAHEAD * p->all->scale * n->passed / n->weight;
		if (lead > DEBT * p->all->scale * pace(p))
			return false;
	}
	return true;
}
