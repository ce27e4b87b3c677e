/*
 * Taking back room that was lent.
 *
 * Entitlements.  What the open workers hold (nine tenths of their room at
 * least) is poured down the tree of teams by weight; nobody is given more
 * than it holds and waits for.  All is counted in dominant resources, parts
 * of the open workers' room.  A team above its entitlement holds lent room.
 *
 * Taking.  For work that waited longer than a bound, of a team that has been
 * well below its entitlement for a while, and whose turn it is in the queue: if it fits into room that is free or
 * coming free, nothing is done.  Else, on each worker, tasks of teams above
 * their entitlement are gone through from the cheapest, newest first, until
 * the work fits, and those not needed are left out again; the worker where
 * least work is lost makes way.  A gang goes whole, on all its workers; a
 * service goes after all else, one of its tasks a round, so that the others
 * serve on while the placer spreads it anew.
 *
 * Invariants.  The taker does not get above its entitlement.  A giver was
 * above its own, and lacks afterwards at most half the part of it that the
 * taker lacked before; were it to lack nothing, a team could never get in
 * between tasks larger than what each of the others is above.  So the least
 * part that any team has of its entitlement rises with each taking, and at
 * given demands teams cannot take from each other in turn.  Demands change,
 * though: a team that gave may not take for a while, and a task that was
 * taken is kept for a time that doubles with each taking, so that the newest
 * is not taken for ever.
 *
 * Modes.  Tasks are checkpointed first.  One that still holds its room long
 * after is stopped.  Throttling is left out: a throttled task keeps its
 * memory, and in placement its whole room, so nothing could start in its
 * place.  A task that may not be restarted is never taken.
 */

#include <string.h>

#include "lend.h"

#define EVERY_MS 1000
#define FULL 0.9             /* a shard that holds so much is full */
#define SHORT 0.2            /* a team that lacks so much is short */
#define BAND 0.05            /* a team so little short takes nothing */
#define ROUND_MOST 0.1       /* part of all room taken in one round */
#define ROUND_LOOKS 1000000  /* at tasks and workers, in one round */
#define MISSES_MOST 8        /* of a team in one round */
#define SHORT_MS 10000       /* for so long before it takes */
#define SHORT_REGAINED 0.5   /* of what it lacked, by itself: no need */
#define PAUSE_MS 3000        /* without a round: nothing is known */
#define OTHERS_MOST 1        /* pieces of others passed in the queue */
#define START_COST_S 5.0     /* what a start costs, so that fewer go */
#define SERVICE_COST_S 1.0e6 /* services go last */
#define GAVE_MS 30000        /* a team that gave does not take so long */
#define OBEY_MS 15000        /* for a checkpoint, before it is stopped */
#define KEEP_MS 120000       /* a task taken once is kept so long */
#define KEEP_DOUBLINGS 4
#define FORGET_MS 3600000
#define EPS 1e-9

enum {
	CPU,
	MEM,
	ACCEL,
	DIMS
};

struct sum {
	double r[DIMS];
};

struct node {
	char *name;
	struct node *own;    /* where the team's own work is counted */
	GPtrArray *children; /* struct node */
	double weight;
	ogl_time gave; /* when something was last taken from it, 0 never */
	ogl_time short_since; /* 0 when it is not */
	double short_has;     /* what it held then */
	bool taking;
	/* In this round: */
	struct sum held;     /* without what is stopping */
	struct sum all_held; /* with it */
	struct sum wanted;   /* all held, and what waits */
	double has;
	double demand;
	double ent;
	bool open;       /* while pouring */
	uint32_t misses; /* pieces no room could be made for */
};

/* What goes as one: a task, or a gang. */
struct unit {
	struct node *leaf;
	struct sum res;
	double size;
	double cost;
	size_t first; /* its tasks, a list through next */
	bool may;
	bool marked; /* taken, or on trial */
};

struct task {
	struct ogl_lend_task t;
	size_t unit;
	size_t next; /* of the same unit, SIZE_MAX at the end */
	double key;  /* cost of its unit by what it frees here */
};

struct want {
	struct ogl_lend_want w;
	struct node *leaf;
};

struct worker {
	struct sum room; /* free or coming free */
	size_t begin;    /* its tasks in `order` */
	size_t end;
};

struct taken {
	uint64_t id;
	ogl_time at;
	uint32_t times;
	bool stopped;
};

struct ogl_lend {
	struct node *root;
	GHashTable *leaves; /* team path -> struct node */
	GHashTable *taken;  /* id -> struct taken */
	ogl_time next;
	ogl_time decided; /* last round */
	/* In this round: */
	struct sum total;
	GArray *workers;      /* struct worker */
	GArray *tasks;        /* struct task */
	GArray *units;        /* struct unit */
	GArray *wants;        /* struct want */
	GArray *order;        /* size_t, tasks by worker and key */
	GArray *takes;        /* struct ogl_lend_take */
	GArray *trial;        /* size_t, units to be taken for one piece */
	GArray *best;         /* the same, on the best worker so far */
	GHashTable *gangs;    /* job -> unit + 1 */
	GHashTable *services; /* jobs of services that gave a task */
	double round;         /* taken so far */
	double floor;         /* of givers' entitlements, now */
	size_t looks;         /* so far */
};

/* ---- sums ------------------------------------------------------------- */

static struct sum
sum_of(const struct ogl_res *r)
{
	struct sum s = {{r->cpu_milli, r->mem_mb, r->accel}};

	return s;
}

static void
sum_add(struct sum *to, const struct sum *s, double n)
{
	for (int i = 0; i < DIMS; i++)
		to->r[i] += n * s->r[i];
}

static bool
sum_fits(const struct sum *need, const struct sum *room)
{
	for (int i = 0; i < DIMS; i++) {
		if (need->r[i] > room->r[i] + EPS)
			return false;
	}
	return true;
}

static double
dominant(const struct ogl_lend *l, const struct sum *s)
{
	double most = 0;

	for (int i = 0; i < DIMS; i++) {
		if (l->total.r[i] > 0)
			most = MAX(most, s->r[i] / l->total.r[i]);
	}
	return most;
}

/* ---- teams ------------------------------------------------------------ */

static struct node *
node_new(struct node *parent, const char *name, size_t n)
{
	struct node *c = g_new0(struct node, 1);

	c->name = g_strndup(name, n);
	c->children = g_ptr_array_new();
	c->weight = 1.0;
	if (parent != NULL)
		g_ptr_array_add(parent->children, c);
	return c;
}

static void
node_free(struct node *n)
{
	for (guint i = 0; i < n->children->len; i++)
		node_free(g_ptr_array_index(n->children, i));
	g_ptr_array_free(n->children, TRUE);
	g_free(n->name);
	g_free(n);
}

static struct node *
child(struct node *n, const char *name, size_t len)
{
	for (guint i = 0; i < n->children->len; i++) {
		struct node *c = g_ptr_array_index(n->children, i);

		if (strncmp(c->name, name, len) == 0 && c->name[len] == '\0')
			return c;
	}
	return node_new(n, name, len);
}

static struct node *
walk(struct ogl_lend *l, const char *team)
{
	struct node *n = l->root;

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

static struct node *
leaf_of(struct ogl_lend *l, const char *team)
{
	struct node *leaf = g_hash_table_lookup(l->leaves, team);
	struct node *n;

	if (leaf != NULL)
		return leaf;
	n = walk(l, team);
	if (n->own == NULL)
		n->own = node_new(n, "", 0);
	g_hash_table_insert(l->leaves, g_strdup(team), n->own);
	return n->own;
}

void
ogl_lend_share(struct ogl_lend *l, const char *team, double share)
{
	if (share > 0.0)
		walk(l, team)->weight = share;
}

static void
node_reset(struct node *n)
{
	struct sum none = {{0}};

	n->held = n->all_held = n->wanted = none;
	n->misses = 0;
	for (guint i = 0; i < n->children->len; i++)
		node_reset(g_ptr_array_index(n->children, i));
}

/* Sums up the tree; gives what its leaves hold together. */
static double
gather(const struct ogl_lend *l, struct node *n)
{
	double all = 0;

	for (guint i = 0; i < n->children->len; i++) {
		struct node *c = g_ptr_array_index(n->children, i);

		all += gather(l, c);
		sum_add(&n->held, &c->held, 1);
		sum_add(&n->wanted, &c->wanted, 1);
	}
	if (n->children->len == 0)
		all = dominant(l, &n->all_held);
	n->has = dominant(l, &n->held);
	n->demand = dominant(l, &n->wanted);
	return all;
}

/* One pass over the children: those that want no more than their part of
 * what is left get all they want.  Whether there were any. */
static bool
satisfy(struct node *n, double *left, double *weight)
{
	double part = *weight > 0 ? *left / *weight : 0;
	bool any = false;

	for (guint i = 0; i < n->children->len; i++) {
		struct node *c = g_ptr_array_index(n->children, i);

		if (!c->open || c->demand > part * c->weight)
			continue;
		c->open = false;
		c->ent = c->demand;
		*left -= c->ent;
		*weight -= c->weight;
		any = true;
	}
	return any;
}

static void
pour(struct node *n, double amount)
{
	double left = amount;
	double weight = 0;

	n->ent = amount;
	for (guint i = 0; i < n->children->len; i++) {
		struct node *c = g_ptr_array_index(n->children, i);

		c->open = true;
		weight += c->weight;
	}
	while (satisfy(n, &left, &weight))
		continue;
	for (guint i = 0; i < n->children->len; i++) {
		struct node *c = g_ptr_array_index(n->children, i);

		pour(c, c->open ? left * c->weight / weight : c->ent);
	}
}

/* ---- life ------------------------------------------------------------- */

struct ogl_lend *
ogl_lend_init(void)
{
	struct ogl_lend *l = g_new0(struct ogl_lend, 1);

	l->root = node_new(NULL, "", 0);
	l->leaves =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	l->taken =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	l->workers = g_array_new(FALSE, FALSE, sizeof(struct worker));
	l->tasks = g_array_new(FALSE, FALSE, sizeof(struct task));
	l->units = g_array_new(FALSE, FALSE, sizeof(struct unit));
	l->wants = g_array_new(FALSE, FALSE, sizeof(struct want));
	l->order = g_array_new(FALSE, FALSE, sizeof(size_t));
	l->takes = g_array_new(FALSE, FALSE, sizeof(struct ogl_lend_take));
	l->trial = g_array_new(FALSE, FALSE, sizeof(size_t));
	l->best = g_array_new(FALSE, FALSE, sizeof(size_t));
	l->gangs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	l->services =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	return l;
}

void
ogl_lend_end(struct ogl_lend *l)
{
	if (l == NULL)
		return;
	node_free(l->root);
	g_hash_table_destroy(l->leaves);
	g_hash_table_destroy(l->taken);
	g_hash_table_destroy(l->gangs);
	g_hash_table_destroy(l->services);
	g_array_free(l->workers, TRUE);
	g_array_free(l->tasks, TRUE);
	g_array_free(l->units, TRUE);
	g_array_free(l->wants, TRUE);
	g_array_free(l->order, TRUE);
	g_array_free(l->takes, TRUE);
	g_array_free(l->trial, TRUE);
	g_array_free(l->best, TRUE);
	g_free(l);
}

ogl_time
ogl_lend_next(const struct ogl_lend *l)
{
	return l->next;
}

/* ---- a round is told -------------------------------------------------- */

static gboolean
taken_is_old(gpointer key, gpointer value, gpointer now)
{
	(void)key;
	return ((struct taken *)value)->at + FORGET_MS * OGL_MS <
	       *(ogl_time *)now;
}

void
ogl_lend_begin(struct ogl_lend *l, ogl_time now)
{
	struct sum none = {{0}};

	l->next = now + EVERY_MS * OGL_MS;
	l->total = none;
	l->round = 0;
	l->looks = 0;
	node_reset(l->root);
	g_array_set_size(l->workers, 0);
	g_array_set_size(l->tasks, 0);
	g_array_set_size(l->units, 0);
	g_array_set_size(l->wants, 0);
	g_array_set_size(l->order, 0);
	g_array_set_size(l->takes, 0);
	g_hash_table_remove_all(l->gangs);
	g_hash_table_remove_all(l->services);
	g_hash_table_foreach_remove(l->taken, taken_is_old, &now);
}

uint32_t
ogl_lend_add_worker(struct ogl_lend *l, const struct ogl_res *capacity,
    const struct ogl_res *room)
{
	struct worker w = {.room = sum_of(room)};
	struct sum all = sum_of(capacity);

	sum_add(&l->total, &all, 1);
	g_array_append_val(l->workers, w);
	return l->workers->len - 1;
}

void
ogl_lend_add_task(struct ogl_lend *l, const struct ogl_lend_task *t)
{
	struct node *leaf = leaf_of(l, t->team);
	struct task k = {.t = *t, .next = SIZE_MAX};
	struct sum res = sum_of(&t->res);

	sum_add(&leaf->all_held, &res, 1);
	sum_add(&leaf->wanted, &res, 1);
	if (!t->stopping)
		sum_add(&leaf->held, &res, 1);
	else if (t->worker != OGL_LEND_NO_WORKER)
		sum_add(
		    &g_array_index(l->workers, struct worker, t->worker).room,
		    &res, 1);
	g_array_append_val(l->tasks, k);
}

void
ogl_lend_add_want(struct ogl_lend *l, const struct ogl_lend_want *w)
{
	struct want k = {.w = *w, .leaf = leaf_of(l, w->team)};
	struct sum res = sum_of(&w->res);

	sum_add(&k.leaf->wanted, &res, w->tasks);
	g_array_append_val(l->wants, k);
}

/* ---- units ------------------------------------------------------------ */

static struct task *
task_at(const struct ogl_lend *l, size_t i)
{
	return &g_array_index(l->tasks, struct task, i);
}

static struct unit *
unit_at(const struct ogl_lend *l, size_t i)
{
	return &g_array_index(l->units, struct unit, i);
}

static bool
is_kept(const struct ogl_lend *l, const struct ogl_lend_task *t, ogl_time now)
{
	const struct taken *k = g_hash_table_lookup(l->taken, &t->id);
	uint32_t doublings;

	if (k == NULL)
		return false;
	doublings = MIN(k->times - 1, KEEP_DOUBLINGS);
	return now - t->since < (KEEP_MS << doublings) * OGL_MS;
}

static size_t
unit_of(struct ogl_lend *l, const struct ogl_lend_task *t)
{
	struct unit u = {.first = SIZE_MAX, .may = true};
	size_t at = l->units->len;
	gpointer known;
	int64_t *key;

	if (t->kind == OGL__KIND__gang) {
		known = g_hash_table_lookup(l->gangs, &t->job);
		if (known != NULL)
			return GPOINTER_TO_SIZE(known) - 1;
		key = g_new(int64_t, 1);
		*key = (int64_t)t->job;
		g_hash_table_insert(l->gangs, key, GSIZE_TO_POINTER(at + 1));
	}
	u.leaf = leaf_of(l, t->team);
	g_array_append_val(l->units, u);
	return at;
}

static void
join_unit(struct ogl_lend *l, size_t i, ogl_time now)
{
	struct task *k = task_at(l, i);
	struct sum res = sum_of(&k->t.res);
	double size = dominant(l, &res);
	double sec = (double)MAX(now - k->t.since, 0) / OGL_SEC;
	struct unit *u;

	k->unit = unit_of(l, &k->t);
	u = unit_at(l, k->unit);
	k->next = u->first;
	u->first = i;
	sum_add(&u->res, &res, 1);
	u->size = dominant(l, &u->res);
	u->cost += size * (sec + START_COST_S);
	if (k->t.kind == OGL__KIND__service)
		u->cost += size * SERVICE_COST_S;
	u->may = u->may && k->t.restartable && !k->t.stopping && size > 0 &&
		 k->t.worker != OGL_LEND_NO_WORKER && !is_kept(l, &k->t, now);
}

static gint
by_worker(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct ogl_lend *l = data;
	const struct task *x = task_at(l, *(const size_t *)a);
	const struct task *y = task_at(l, *(const size_t *)b);

	if (x->t.worker != y->t.worker)
		return x->t.worker < y->t.worker ? -1 : 1;
	if (x->key != y->key)
		return x->key < y->key ? -1 : 1;
	return x->t.id < y->t.id ? -1 : x->t.id > y->t.id;
}

/* Lines up what may be taken, worker after worker, the cheapest first. */
static void
line_up(struct ogl_lend *l, ogl_time now)
{
	for (size_t i = 0; i < l->tasks->len; i++)
		join_unit(l, i, now);
	for (size_t i = 0; i < l->tasks->len; i++) {
		struct task *k = task_at(l, i);
		struct sum res = sum_of(&k->t.res);
		const struct unit *u = unit_at(l, k->unit);

		if (!u->may || u->leaf->has <= u->leaf->ent)
			continue;
		k->key = u->cost / dominant(l, &res);
		g_array_append_val(l->order, i);
	}
	g_array_sort_with_data(l->order, by_worker, l);
	for (size_t i = l->order->len; i > 0; i--) {
		size_t at = g_array_index(l->order, size_t, i - 1);
		struct worker *w = &g_array_index(
		    l->workers, struct worker, task_at(l, at)->t.worker);

		w->begin = i - 1;
		w->end = MAX(w->end, i);
	}
}

/* ---- making room ------------------------------------------------------ */

/* Puts the room of a unit on its workers to the free (or back, with -1) and
 * off what its team holds. */
static void
move_unit(struct ogl_lend *l, size_t unit, double sign)
{
	struct unit *u = unit_at(l, unit);

	for (size_t i = u->first; i != SIZE_MAX; i = task_at(l, i)->next) {
		const struct ogl_lend_task *t = &task_at(l, i)->t;
		struct sum res = sum_of(&t->res);

		sum_add(
		    &g_array_index(l->workers, struct worker, t->worker).room,
		    &res, sign);
	}
	sum_add(&u->leaf->held, &u->res, -sign);
	u->leaf->has = dominant(l, &u->leaf->held);
	u->marked = sign > 0;
}

/* Only who is above its entitlement gives, and its last gift may bring it
 * below no further than to l->floor, see serve. */
static bool
may_give(const struct ogl_lend *l, const struct unit *u)
{
	struct sum rest = u->leaf->held;

	if (!u->may || u->marked || u->leaf->has <= u->leaf->ent + EPS)
		return false;
	sum_add(&rest, &u->res, -1);
	return dominant(l, &rest) >= u->leaf->ent * l->floor - EPS;
}

static bool
service_gave(const struct ogl_lend *l, const struct unit *u)
{
	const struct ogl_lend_task *t = &task_at(l, u->first)->t;

	return t->kind == OGL__KIND__service &&
	       g_hash_table_contains(l->services, &t->job);
}

/* Leaves out what turned out not to be needed, the dearest first. */
static void
prune(struct ogl_lend *l, const struct worker *w, const struct sum *need)
{
	for (guint i = l->trial->len; i > 0; i--) {
		size_t unit = g_array_index(l->trial, size_t, i - 1);

		move_unit(l, unit, -1);
		if (sum_fits(need, &w->room))
			g_array_remove_index(l->trial, i - 1);
		else
			move_unit(l, unit, 1);
	}
}

static void
undo(struct ogl_lend *l, const GArray *units)
{
	for (guint i = 0; i < units->len; i++)
		move_unit(l, g_array_index(units, size_t, i), -1);
}

/* What it costs to make room on one worker, the units in l->trial; below
 * zero when there is no way. */
static double
try_worker(struct ogl_lend *l, const struct worker *w, const struct sum *need)
{
	double cost = -1;

	g_array_set_size(l->trial, 0);
	for (size_t i = w->begin; i < w->end; i++) {
		size_t at = g_array_index(l->order, size_t, i);
		size_t unit = task_at(l, at)->unit;

		l->looks++;
		if (!may_give(l, unit_at(l, unit)) ||
		    service_gave(l, unit_at(l, unit)))
			continue;
		move_unit(l, unit, 1);
		g_array_append_val(l->trial, unit);
		if (sum_fits(need, &w->room))
			break;
	}
	if (sum_fits(need, &w->room)) {
		prune(l, w, need);
		cost = 0;
		for (guint i = 0; i < l->trial->len; i++)
			cost += unit_at(l, g_array_index(l->trial, size_t, i))
				    ->cost;
	}
	undo(l, l->trial);
	return cost;
}

static struct worker *
worker_with_room(const struct ogl_lend *l, const struct sum *need)
{
	for (guint i = 0; i < l->workers->len; i++) {
		struct worker *w = &g_array_index(l->workers, struct worker, i);

		if (sum_fits(need, &w->room))
			return w;
	}
	return NULL;
}

static struct worker *
cheapest_worker(struct ogl_lend *l, const struct sum *need)
{
	struct worker *best = NULL;
	double least = 0;

	for (guint i = 0; i < l->workers->len; i++) {
		struct worker *w = &g_array_index(l->workers, struct worker, i);
		double cost = w->begin < w->end ? try_worker(l, w, need) : -1;
		GArray *swap = l->best;

		if (cost < 0 || (best != NULL && cost >= least))
			continue;
		best = w;
		least = cost;
		l->best = l->trial;
		l->trial = swap;
	}
	return best;
}

/* Finds room for one task, in `plan` what has to go for it. */
static bool
make_room(struct ogl_lend *l, const struct sum *need, GArray *plan)
{
	struct worker *w;

	l->looks += l->workers->len;
	if (l->looks > ROUND_LOOKS)
		return false;
	w = worker_with_room(l, need);
	if (w == NULL) {
		w = cheapest_worker(l, need);
		if (w == NULL)
			return false;
		for (guint i = 0; i < l->best->len; i++) {
			size_t unit = g_array_index(l->best, size_t, i);

			move_unit(l, unit, 1);
			g_array_append_val(plan, unit);
		}
	}
	sum_add(&w->room, need, -1);
	return true;
}

/* ---- taking ----------------------------------------------------------- */

static void
note_taken(struct ogl_lend *l, uint64_t id, ogl_time now)
{
	struct taken *k = g_hash_table_lookup(l->taken, &id);

	if (k == NULL) {
		k = g_new0(struct taken, 1);
		k->id = id;
		g_hash_table_insert(l->taken, &k->id, k);
	}
	k->at = now;
	k->times++;
	k->stopped = false;
}

static void
take_unit(struct ogl_lend *l, size_t unit, ogl_time now)
{
	struct unit *u = unit_at(l, unit);
	int64_t *job;

	u->leaf->gave = now;
	l->round += u->size;
	for (size_t i = u->first; i != SIZE_MAX; i = task_at(l, i)->next) {
		const struct ogl_lend_task *t = &task_at(l, i)->t;
		struct ogl_lend_take k = {
		    i, OGL__STOP_MODE__checkpoint, MAX(now - t->since, 0)};

		g_array_append_val(l->takes, k);
		note_taken(l, t->id, now);
		if (t->kind != OGL__KIND__service)
			continue;
		job = g_new(int64_t, 1);
		*job = (int64_t)t->job;
		g_hash_table_add(l->services, job);
	}
}

static double
plan_size(const struct ogl_lend *l, const GArray *plan)
{
	double size = 0;

	for (guint i = 0; i < plan->len; i++)
		size += unit_at(l, g_array_index(plan, size_t, i))->size;
	return size;
}

/* Makes room for one piece of work, all its tasks or none. */
static void
serve(struct ogl_lend *l, const struct want *k, ogl_time now)
{
	GArray *room = g_array_copy(l->workers);
	GArray *plan = g_array_new(FALSE, FALSE, sizeof(size_t));
	struct sum need = sum_of(&k->w.res);
	struct sum after = k->leaf->held;
	bool ok = true;

	sum_add(&after, &need, k->w.tasks);
	if (k->leaf->misses >= MISSES_MOST ||
	    dominant(l, &after) > k->leaf->ent + EPS)
		goto out;
	l->floor = (1 + k->leaf->has / k->leaf->ent) / 2;
	for (uint32_t i = 0; ok && i < k->w.tasks; i++)
		ok = make_room(l, &need, plan);
	if (ok && l->round > 0 && plan->len > 0)
		ok = l->round + plan_size(l, plan) <= ROUND_MOST;
	if (!ok) {
		undo(l, plan);
		memcpy(l->workers->data, room->data,
		    room->len * sizeof(struct worker));
		k->leaf->misses++;
		goto out;
	}
	for (guint i = 0; i < plan->len; i++)
		take_unit(l, g_array_index(plan, size_t, i), now);
	k->leaf->held = after;
	k->leaf->has = dominant(l, &after);
out:
	g_array_free(plan, TRUE);
	g_array_free(room, TRUE);
}

/* A team that lacks a good part of its entitlement takes until it has nearly
 * all; one that gets it back by itself soon enough takes nothing.  Tasks end
 * at random: without this, most of what is taken would only smooth the ups
 * and downs of teams that have their share over any half minute. */
static void
watch_leaf(struct node *n, ogl_time now)
{
	double regained = (n->has - n->short_has) / (n->ent - n->short_has);

	if (n->has >= n->ent * (1 - BAND)) {
		n->short_since = 0;
		n->taking = false;
	} else if (n->taking) {
		return;
	} else if (n->has >= n->ent * (1 - SHORT)) {
		n->short_since = 0;
	} else if (n->short_since == 0 || regained >= SHORT_REGAINED) {
		n->short_since = now;
		n->short_has = n->has;
	} else if (now - n->short_since >= SHORT_MS * OGL_MS) {
		n->taking = true;
	}
}

static void
watch(struct ogl_lend *l, ogl_time now)
{
	bool paused = now - l->decided > PAUSE_MS * OGL_MS;
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, l->leaves);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct node *n = v;

		if (paused) {
			n->short_since = 0;
			n->taking = false;
		}
		watch_leaf(n, now);
	}
	l->decided = now;
}

static bool
may_take(const struct want *k, ogl_time now)
{
	const struct node *leaf = k->leaf;

	return leaf->taking && now - k->w.since > OGL_LEND_BOUND_MS * OGL_MS &&
	       (leaf->gave == 0 || now - leaf->gave > GAVE_MS * OGL_MS);
}

static gint
by_turn(gconstpointer a, gconstpointer b)
{
	const struct want *x = a, *y = b;

	return x->w.turn < y->w.turn ? -1 : x->w.turn > y->w.turn;
}

/* Leaves only the work that may move others, in the order of turns.  What
 * falls free goes to whose turn it is: behind several pieces of teams that
 * may not take, room would be freed for those teams. */
static void
choose_wants(struct ogl_lend *l, ogl_time now)
{
	guint n = 0, kept = 0, others = 0;

	for (guint i = 0; i < l->wants->len; i++) {
		struct want *k = &g_array_index(l->wants, struct want, i);

		if (k->w.turn != 0)
			g_array_index(l->wants, struct want, n++) = *k;
	}
	g_array_set_size(l->wants, n);
	g_array_sort(l->wants, by_turn);
	for (guint i = 0; i < n && others < OTHERS_MOST; i++) {
		struct want *k = &g_array_index(l->wants, struct want, i);

		if (may_take(k, now))
			g_array_index(l->wants, struct want, kept++) = *k;
		else
			others++;
	}
	g_array_set_size(l->wants, kept);
}

/* A worker that does not obey a checkpoint would keep the room for ever. */
static void
stop_disobedient(struct ogl_lend *l, ogl_time now)
{
	for (size_t i = 0; i < l->tasks->len; i++) {
		const struct ogl_lend_task *t = &task_at(l, i)->t;
		struct taken *k = g_hash_table_lookup(l->taken, &t->id);
		struct ogl_lend_take stop = {i, OGL__STOP_MODE__stop, 0};

		if (k == NULL || !t->stopping || k->stopped ||
		    now - k->at < OBEY_MS * OGL_MS || t->since > k->at)
			continue;
		k->stopped = true;
		g_array_append_val(l->takes, stop);
	}
}

size_t
ogl_lend_decide(
    struct ogl_lend *l, ogl_time now, const struct ogl_lend_take **takes)
{
	double all = gather(l, l->root);

	pour(l->root, MAX(all, FULL));
	watch(l, now);
	stop_disobedient(l, now);
	choose_wants(l, now);
	if (l->wants->len > 0)
		line_up(l, now);
	for (guint i = 0; i < l->wants->len; i++) {
		if (l->round >= ROUND_MOST || l->looks > ROUND_LOOKS)
			break;
		serve(l, &g_array_index(l->wants, struct want, i), now);
	}
	*takes = (const struct ogl_lend_take *)(void *)l->takes->data;
	return l->takes->len;
}

bool
ogl_lend_was_taken(const struct ogl_lend *l, uint64_t id)
{
	return g_hash_table_contains(l->taken, &id);
}
