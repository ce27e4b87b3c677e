/*
 * Hierarchical weighted fair sharing.
 *
 * Each node of the tree has a virtual time: service received divided by
 * weight.  Service is the resource held, multiplied by the time it is held, and
 * is counted while it is received.  A team's charge therefore does not depend
 * on run time estimates, on labels, or on how work is split or cancelled.  At
 * each level the next item comes from the child with waiting work and the
 * smallest
 *
 *	vtime + lookahead * (held + deferred) / weight
 *
 * that is, the child whose virtual time would be smallest after the lookahead
 * if all it holds kept running.  Without the lookahead a team that returns
 * would take all capacity that becomes free until its virtual time caught up,
 * and would then hold far more than its share.
 *
 * The virtual clock of a node is the smallest virtual time among its children
 * with waiting work; it never goes back.  When a child begins to wait, its
 * virtual time is raised to that clock minus a small credit, so an idle team
 * accumulates no claim.  When the first child of a node begins to wait, there
 * has been room for all work below the node until now.  Until then, what a team
 * received beyond its share cost the others nothing, so the clock starts at the
 * greatest virtual time, which cancels all debts.
 *
 * A team's own work is a child named "" beside its subteams.
 *
 * Picking scans the siblings with waiting work.  Virtual times change while
 * work runs, so a heap couldn't keep their order; with a hundred teams the
 * scan reads a few dozen doubles per level.
 */

#include <string.h>

#include "fair.h"

/* Multiples of the typical run time, see ogl_fair_set_typical_run. */
#define LOOKAHEAD_RUNS 1.5 /* how long held work is assumed to run on */
#define CREDIT_RUNS 0.15   /* how far behind a returning team may be */
#define DEBT_RUNS 0.5      /* how far ahead a team may get by overtaking */
#define TYPICAL_RUN_INITIAL_SEC 0.4
#define TYPICAL_RUN_MIN_SEC 0.05
#define TYPICAL_RUN_MAX_SEC 60.0

struct ogl_fair_node {
	struct ogl_fair *fair;
	struct ogl_fair_node *parent;
	struct ogl_fair_node *own; /* child "", NULL until it is needed */
	GHashTable *by_name;       /* children by name; owns them */
	GPtrArray *waiting;        /* children with waiting work */
	char *name;
	void *data;
	double weight;
	double vtime;    /* as of vtime_at */
	double held;     /* resources of this subtree's running work */
	double deferred; /* resources that its deferred work needs */
	ogl_time vtime_at;
	size_t nwaiting;      /* waiting items of this subtree */
	size_t waiting_index; /* index in parent->waiting */
	double vclock;        /* virtual clock of its children */
	double wait_weight;   /* sum of weights over `waiting` */
};

struct ogl_fair {
	struct ogl_fair_node *root;
	double typical_run_sec;
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

	c->fair = f;
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

	f->typical_run_sec = TYPICAL_RUN_INITIAL_SEC;
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
find_or_add_child(struct ogl_fair_node *n, const char *name, size_t len)
{
	char *key = g_strndup(name, len);
	struct ogl_fair_node *c = g_hash_table_lookup(n->by_name, key);

	g_free(key);
	return c != NULL ? c : node_new(n->fair, n, name, len);
}

static struct ogl_fair_node *
find_or_add_team(struct ogl_fair *f, const char *team)
{
	struct ogl_fair_node *n = f->root;

	while (*team != '\0') {
		size_t len = strcspn(team, "/");

		if (len != 0)
			n = find_or_add_child(n, team, len);
		team += len;
		if (*team == '/')
			team++;
	}
	return n;
}

struct ogl_fair_node *
ogl_fair_leaf(struct ogl_fair *f, const char *team)
{
	struct ogl_fair_node *n = find_or_add_team(f, team);

	if (n->own == NULL)
		n->own = node_new(f, n, "", 0);
	return n->own;
}

void
ogl_fair_set_share(struct ogl_fair *f, const char *team, double share)
{
	struct ogl_fair_node *n = find_or_add_team(f, team);

	if (!(share > 0.0))
		return;
	if (n->nwaiting != 0 && n->parent != NULL)
		n->parent->wait_weight += share - n->weight;
	n->weight = share;
}

void
ogl_fair_set_typical_run(struct ogl_fair *f, double sec)
{
	f->typical_run_sec =
	    CLAMP(sec, TYPICAL_RUN_MIN_SEC, TYPICAL_RUN_MAX_SEC);
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
	if (now <= n->vtime_at)
		return;
	n->vtime += n->held * (double)(now - n->vtime_at) / OGL_SEC / n->weight;
	n->vtime_at = now;
}

/* Average rate at which the children's virtual times rise while all of them
 * wait. */
static double
vtime_rate(const struct ogl_fair_node *n)
{
	return n->wait_weight > 0.0 ? n->held / n->wait_weight : 0.0;
}

/* Starts the clock at the greatest virtual time, which cancels all debts. */
static void
reset_vclock(struct ogl_fair_node *n, ogl_time now)
{
	GHashTableIter it;
	gpointer c;

	g_hash_table_iter_init(&it, n->by_name);
	while (g_hash_table_iter_next(&it, NULL, &c)) {
		advance(c, now);
		n->vclock = MAX(n->vclock, ((struct ogl_fair_node *)c)->vtime);
	}
}

static void
begin_waiting(struct ogl_fair_node *p, struct ogl_fair_node *c, ogl_time now)
{
	if (p->waiting->len == 0)
		reset_vclock(p, now);
	c->waiting_index = p->waiting->len;
	g_ptr_array_add(p->waiting, c);
	p->wait_weight += c->weight;
	advance(c, now);
	c->vtime = MAX(c->vtime,
	    p->vclock - CREDIT_RUNS * p->fair->typical_run_sec * vtime_rate(p));
}

static void
end_waiting(struct ogl_fair_node *p, struct ogl_fair_node *c)
{
	struct ogl_fair_node *last = p->waiting->pdata[p->waiting->len - 1];

	p->waiting->pdata[c->waiting_index] = last;
	last->waiting_index = c->waiting_index;
	g_ptr_array_set_size(p->waiting, (gint)p->waiting->len - 1);
	p->wait_weight = p->waiting->len != 0 ? p->wait_weight - c->weight : 0;
}

void
ogl_fair_add_waiting(struct ogl_fair_node *leaf, ogl_time now)
{
	for (struct ogl_fair_node *n = leaf; n->parent != NULL; n = n->parent) {
		if (n->nwaiting++ == 0)
			begin_waiting(n->parent, n, now);
	}
}

void
ogl_fair_remove_waiting(struct ogl_fair_node *leaf)
{
	for (struct ogl_fair_node *n = leaf; n->parent != NULL; n = n->parent) {
		if (--n->nwaiting == 0)
			end_waiting(n->parent, n);
	}
}

void
ogl_fair_change_held(struct ogl_fair_node *leaf, double units, ogl_time now)
{
	for (struct ogl_fair_node *n = leaf; n != NULL; n = n->parent) {
		advance(n, now);
		n->held = MAX(n->held + units, 0.0);
	}
}

/* Changes what counts as deferred in pick_child.  If deferred work did not
 * count, a team with much work that fits nowhere would be picked for each of
 * its items before any other team, and the other teams' work would wait
 * although there is room for it. */
void
ogl_fair_change_deferred(struct ogl_fair_node *leaf, double units)
{
	for (struct ogl_fair_node *n = leaf; n != NULL; n = n->parent)
		n->deferred = MAX(n->deferred + units, 0.0);
}

static struct ogl_fair_node *
pick_child(struct ogl_fair_node *p, ogl_time now)
{
	struct ogl_fair_node *best = NULL;
	double least_key = 0.0;
	double lookahead_sec = LOOKAHEAD_RUNS * p->fair->typical_run_sec;
	double min_vtime = 0.0;

	for (guint i = 0; i < p->waiting->len; i++) {
		struct ogl_fair_node *c = p->waiting->pdata[i];
		double key;

		advance(c, now);
		key = c->vtime +
		      lookahead_sec * (c->held + c->deferred) / c->weight;
		if (best == NULL || key < least_key) {
			best = c;
			least_key = key;
		}
		if (i == 0 || c->vtime < min_vtime)
			min_vtime = c->vtime;
	}
	if (best != NULL)
		p->vclock = MAX(p->vclock, min_vtime);
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
		lead = n->vtime - p->vclock;
		lead += LOOKAHEAD_RUNS * p->fair->typical_run_sec *
			n->deferred / n->weight;
		if (lead > DEBT_RUNS * p->fair->typical_run_sec * vtime_rate(p))
			return false;
	}
	return true;
}
