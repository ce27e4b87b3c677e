/*
 * Preemption of tasks that run on lent capacity.
 *
 * Entitlements.  The capacity in use on the schedulable workers, but at least
 * nine tenths of all their capacity, is distributed down the tree of teams by
 * weight; no team gets more than what it holds plus what it waits for.  An
 * amount is counted by its dominant share: the fraction of the schedulable
 * workers' capacity, in the resource where this fraction is largest.  What a
 * team holds above its entitlement is lent to it.
 *
 * Preemption.  A piece of waiting work preempts others if it has waited longer
 * than a bound, its turn in the queue has come, and its team has been well
 * below its entitlement for a while.  If it fits into room that is free or
 * about to be freed, nothing is preempted.  Otherwise tasks of teams above
 * their entitlement are selected on each worker, the cheapest first, until the
 * work fits; those that turn out not to be needed are left out again.  The less
 * a task has run, the cheaper it is.  The worker on which least work is lost is
 * chosen.  A gang is preempted as a whole, on all its workers.  Tasks of
 * services come last, one per service and round, so that the others keep
 * serving while the replacement is placed.
 *
 * Invariants.  The team that preempts does not get above its entitlement.  A
 * team that is preempted was above its own.  Afterwards it may lack a fraction
 * of its entitlement, at most half the fraction that the preempting team lacked
 * before.  If it had to keep its whole entitlement, tasks larger than what
 * their team holds above its entitlement could never be preempted, and other
 * teams might never get room.  Each preemption raises the smallest fraction of
 * its entitlement that any team holds, so at constant demands teams cannot
 * preempt each other in turn.  As demands do change, a team that was preempted
 * may not preempt for a while, and a preempted task is protected for a time
 * that doubles with each preemption, so that the newest task is not preempted
 * repeatedly.
 *
 * Modes.  Tasks are checkpointed first.  One that still holds its room after
 * CHECKPOINT_TIMEOUT_MS is stopped.  Throttling is not used: a throttled task
 * keeps its memory and, in placement, all its room, so nothing could start in
 * its place.  A task that may not be restarted is never preempted.
 */

#include <string.h>

#include "lend.h"

#define ROUND_INTERVAL_MS 1000
#define DISTRIBUTED_MIN 0.9 /* least fraction of the capacity to distribute */
/* LACK_START and LACK_STOP are fractions of a team's entitlement.  A team that
 * lacks more than LACK_START for LACK_MIN_MS starts to preempt, and stops when
 * it lacks LACK_STOP or less. */
#define LACK_START 0.2
#define LACK_STOP 0.05
#define LACK_MIN_MS 10000
/* A team that regains this fraction of its lack by itself preempts nothing. */
#define LACK_REGAINED 0.5
#define ROUND_SHARE_MAX 0.1     /* fraction of the capacity, per round */
#define ROUND_STEPS_MAX 1000000 /* tasks and workers examined in one round */
#define ROUND_FAILURES_MAX 8    /* failed attempts until a team is skipped */
#define ROUND_GAP_MAX_MS 3000   /* a longer gap resets all lacks */
#define PASSED_OVER_LIMIT 1     /* pieces of work, see select_pending */
#define START_COST_S 5.0        /* cost per task: favours fewer tasks */
#define SERVICE_COST_S 1.0e6    /* makes services the last choice */
/* A team that was preempted does not preempt others for this time. */
#define PREEMPTED_TEAM_WAIT_MS 30000
#define CHECKPOINT_TIMEOUT_MS 15000 /* after this, the task is stopped */
#define PROTECTION_MS 120000 /* a task preempted once is protected this long */
#define PROTECTION_DOUBLINGS_MAX 4
#define PREEMPTED_EXPIRY_MS 3600000 /* after this, a preemption is forgotten */
#define ROUNDING_TOLERANCE 1e-9

enum {
	CPU,
	MEM,
	ACCEL,
	DIMS
};

/* Amounts of the resources. */
struct res_vec {
	double r[DIMS];
};

/* A team in the tree of teams, or the leaf for the work of a team itself. */
struct team_node {
	char *name;
	struct team_node *own_leaf; /* counts the team's own work */
	GPtrArray *children;        /* struct team_node */
	double weight;
	ogl_time preempted_at;     /* last time, 0 for never */
	ogl_time lacking_since;    /* 0 while it lacks less than LACK_START */
	double share_when_lacking; /* held_share at lacking_since */
	bool preempting;
	/* In this round: */
	struct res_vec held;     /* without the tasks that are stopping */
	struct res_vec all_held; /* with the tasks that are stopping */
	struct res_vec wanted;   /* all_held and the waiting work */
	double held_share;       /* dominant share of held */
	double demand;           /* dominant share of wanted */
	double entitlement;
	bool unsatisfied;  /* used while the capacity is distributed */
	uint32_t failures; /* pieces of work for which no room was made */
};

/* What is preempted together: a task or a gang. */
struct unit {
	struct team_node *leaf;
	struct res_vec res;
	double size;  /* dominant share */
	double cost;  /* share times lost run time in s, plus fixed costs */
	size_t first; /* index of its first task, then task.next */
	bool preemptible;
	bool released; /* its room counts as free: preempted, or being tried */
};

struct task {
	struct ogl_lend_task t;
	size_t unit;       /* index of its unit */
	size_t next;       /* next task of the unit, SIZE_MAX at the end */
	double cost_ratio; /* cost of its unit per share that it frees */
};

struct pending {
	struct ogl_lend_pending w;
	struct team_node *leaf;
};

struct worker {
	struct res_vec room; /* free or about to be freed */
	size_t begin;        /* its tasks in ogl_lend.candidates */
	size_t end;
};

struct preempted {
	uint64_t id;
	ogl_time preempted_at;
	uint32_t count;
	bool stopped;
};

struct ogl_lend {
	struct team_node *root;
	GHashTable *leaves;    /* team path -> struct team_node */
	GHashTable *preempted; /* id -> struct preempted */
	ogl_time next_round;
	ogl_time last_round;
	/* In this round: */
	struct res_vec total;
	GArray *workers;      /* struct worker */
	GArray *tasks;        /* struct task */
	GArray *units;        /* struct unit */
	GArray *pending;      /* struct pending */
	GArray *candidates;   /* size_t, tasks by worker and cost_ratio */
	GArray *preemptions;  /* struct ogl_lend_preemption */
	GArray *trial;        /* size_t, units to preempt for one task */
	GArray *best_trial;   /* the same, on the best worker so far */
	GHashTable *gangs;    /* job -> unit + 1 */
	GHashTable *services; /* jobs of services with a preempted task */
	double round_share;   /* preempted so far */
	/* Part of its entitlement that a preempted team keeps. */
	double min_kept;
	size_t steps; /* tasks and workers examined so far */
};

/* ---- amounts of resources --------------------------------------------- */

static struct res_vec
res_vec_of(const struct ogl_res *r)
{
	struct res_vec s = {{r->cpu_milli, r->mem_mb, r->accel}};

	return s;
}

/* Adds n times s. */
static void
res_vec_add(struct res_vec *to, const struct res_vec *s, double n)
{
	for (int i = 0; i < DIMS; i++)
		to->r[i] += n * s->r[i];
}

static bool
res_vec_fits(const struct res_vec *need, const struct res_vec *room)
{
	for (int i = 0; i < DIMS; i++) {
		if (need->r[i] > room->r[i] + ROUNDING_TOLERANCE)
			return false;
	}
	return true;
}

static double
dominant_share(const struct ogl_lend *l, const struct res_vec *s)
{
	double max_share = 0;

	for (int i = 0; i < DIMS; i++) {
		if (l->total.r[i] > 0)
			max_share = MAX(max_share, s->r[i] / l->total.r[i]);
	}
	return max_share;
}

/* ---- teams ------------------------------------------------------------ */

static struct team_node *
node_new(struct team_node *parent, const char *name, size_t n)
{
	struct team_node *c = g_new0(struct team_node, 1);

	c->name = g_strndup(name, n);
	c->children = g_ptr_array_new();
	c->weight = 1.0;
	if (parent != NULL)
		g_ptr_array_add(parent->children, c);
	return c;
}

static void
node_free(struct team_node *n)
{
	for (guint i = 0; i < n->children->len; i++)
		node_free(g_ptr_array_index(n->children, i));
	g_ptr_array_free(n->children, TRUE);
	g_free(n->name);
	g_free(n);
}

static struct team_node *
find_or_add_child(struct team_node *n, const char *name, size_t len)
{
	for (guint i = 0; i < n->children->len; i++) {
		struct team_node *c = g_ptr_array_index(n->children, i);

		if (strncmp(c->name, name, len) == 0 && c->name[len] == '\0')
			return c;
	}
	return node_new(n, name, len);
}

static struct team_node *
node_of(struct ogl_lend *l, const char *team)
{
	struct team_node *n = l->root;

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

static struct team_node *
leaf_of(struct ogl_lend *l, const char *team)
{
	struct team_node *leaf = g_hash_table_lookup(l->leaves, team);
	struct team_node *n;

	if (leaf != NULL)
		return leaf;
	n = node_of(l, team);
	if (n->own_leaf == NULL)
		n->own_leaf = node_new(n, "", 0);
	g_hash_table_insert(l->leaves, g_strdup(team), n->own_leaf);
	return n->own_leaf;
}

void
ogl_lend_set_weight(struct ogl_lend *l, const char *team, double share)
{
	if (share > 0.0)
		node_of(l, team)->weight = share;
}

static void
node_reset(struct team_node *n)
{
	struct res_vec none = {{0}};

	n->held = n->all_held = n->wanted = none;
	n->failures = 0;
	for (guint i = 0; i < n->children->len; i++)
		node_reset(g_ptr_array_index(n->children, i));
}

/* Sums up the tree from its leaves.  Returns the sum of the shares that all
 * leaves hold, including tasks that are stopping. */
static double
sum_tree(const struct ogl_lend *l, struct team_node *n)
{
	double all = 0;

	for (guint i = 0; i < n->children->len; i++) {
		struct team_node *c = g_ptr_array_index(n->children, i);

		all += sum_tree(l, c);
		res_vec_add(&n->held, &c->held, 1);
		res_vec_add(&n->wanted, &c->wanted, 1);
	}
	if (n->children->len == 0)
		all = dominant_share(l, &n->all_held);
	n->held_share = dominant_share(l, &n->held);
	n->demand = dominant_share(l, &n->wanted);
	return all;
}

/* One pass of max-min fair distribution: children whose demand is within
 * their part of what is left get their whole demand.  Returns whether there
 * were any. */
static bool
satisfy_demands(struct team_node *n, double *left, double *weight)
{
	double share_per_weight = *weight > 0 ? *left / *weight : 0;
	bool any = false;

	for (guint i = 0; i < n->children->len; i++) {
		struct team_node *c = g_ptr_array_index(n->children, i);

		if (!c->unsatisfied || c->demand > share_per_weight * c->weight)
			continue;
		c->unsatisfied = false;
		c->entitlement = c->demand;
		*left -= c->entitlement;
		*weight -= c->weight;
		any = true;
	}
	return any;
}

static void
distribute(struct team_node *n, double amount)
{
	double left = amount;
	double weight = 0;

	n->entitlement = amount;
	for (guint i = 0; i < n->children->len; i++) {
		struct team_node *c = g_ptr_array_index(n->children, i);

		c->unsatisfied = true;
		weight += c->weight;
	}
	while (satisfy_demands(n, &left, &weight))
		continue;
	for (guint i = 0; i < n->children->len; i++) {
		struct team_node *c = g_ptr_array_index(n->children, i);

		distribute(c, c->unsatisfied ? left * c->weight / weight
					     : c->entitlement);
	}
}

/* ---- creation and destruction ----------------------------------------- */

struct ogl_lend *
ogl_lend_init(void)
{
	struct ogl_lend *l = g_new0(struct ogl_lend, 1);

	l->root = node_new(NULL, "", 0);
	l->leaves =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	l->preempted =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	l->workers = g_array_new(FALSE, FALSE, sizeof(struct worker));
	l->tasks = g_array_new(FALSE, FALSE, sizeof(struct task));
	l->units = g_array_new(FALSE, FALSE, sizeof(struct unit));
	l->pending = g_array_new(FALSE, FALSE, sizeof(struct pending));
	l->candidates = g_array_new(FALSE, FALSE, sizeof(size_t));
	l->preemptions =
	    g_array_new(FALSE, FALSE, sizeof(struct ogl_lend_preemption));
	l->trial = g_array_new(FALSE, FALSE, sizeof(size_t));
	l->best_trial = g_array_new(FALSE, FALSE, sizeof(size_t));
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
	g_hash_table_destroy(l->preempted);
	g_hash_table_destroy(l->gangs);
	g_hash_table_destroy(l->services);
	g_array_free(l->workers, TRUE);
	g_array_free(l->tasks, TRUE);
	g_array_free(l->units, TRUE);
	g_array_free(l->pending, TRUE);
	g_array_free(l->candidates, TRUE);
	g_array_free(l->preemptions, TRUE);
	g_array_free(l->trial, TRUE);
	g_array_free(l->best_trial, TRUE);
	g_free(l);
}

ogl_time
ogl_lend_next(const struct ogl_lend *l)
{
	return l->next_round;
}

/* ---- input of a round ------------------------------------------------- */

static gboolean
preemption_expired(gpointer key, gpointer value, gpointer now)
{
	(void)key;
	return ((struct preempted *)value)->preempted_at +
		   PREEMPTED_EXPIRY_MS * OGL_MS <
	       *(ogl_time *)now;
}

void
ogl_lend_begin(struct ogl_lend *l, ogl_time now)
{
	struct res_vec none = {{0}};

	l->next_round = now + ROUND_INTERVAL_MS * OGL_MS;
	l->total = none;
	l->round_share = 0;
	l->steps = 0;
	node_reset(l->root);
	g_array_set_size(l->workers, 0);
	g_array_set_size(l->tasks, 0);
	g_array_set_size(l->units, 0);
	g_array_set_size(l->pending, 0);
	g_array_set_size(l->candidates, 0);
	g_array_set_size(l->preemptions, 0);
	g_hash_table_remove_all(l->gangs);
	g_hash_table_remove_all(l->services);
	g_hash_table_foreach_remove(l->preempted, preemption_expired, &now);
}

uint32_t
ogl_lend_add_worker(struct ogl_lend *l, const struct ogl_res *capacity,
    const struct ogl_res *room)
{
	struct worker w = {.room = res_vec_of(room)};
	struct res_vec all = res_vec_of(capacity);

	res_vec_add(&l->total, &all, 1);
	g_array_append_val(l->workers, w);
	return l->workers->len - 1;
}

void
ogl_lend_add_task(struct ogl_lend *l, const struct ogl_lend_task *t)
{
	struct team_node *leaf = leaf_of(l, t->team);
	struct task task = {.t = *t, .next = SIZE_MAX};
	struct res_vec res = res_vec_of(&t->res);

	res_vec_add(&leaf->all_held, &res, 1);
	res_vec_add(&leaf->wanted, &res, 1);
	if (!t->stopping)
		res_vec_add(&leaf->held, &res, 1);
	else if (t->worker != OGL_LEND_NO_WORKER)
		res_vec_add(
		    &g_array_index(l->workers, struct worker, t->worker).room,
		    &res, 1);
	g_array_append_val(l->tasks, task);
}

void
ogl_lend_add_pending(struct ogl_lend *l, const struct ogl_lend_pending *w)
{
	struct pending pending = {.w = *w, .leaf = leaf_of(l, w->team)};
	struct res_vec res = res_vec_of(&w->res);

	res_vec_add(&pending.leaf->wanted, &res, w->tasks);
	g_array_append_val(l->pending, pending);
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
is_protected(
    const struct ogl_lend *l, const struct ogl_lend_task *t, ogl_time now)
{
	const struct preempted *preempted =
	    g_hash_table_lookup(l->preempted, &t->id);
	uint32_t doublings;

	if (preempted == NULL)
		return false;
	doublings = MIN(preempted->count - 1, PROTECTION_DOUBLINGS_MAX);
	return now - t->since < (PROTECTION_MS << doublings) * OGL_MS;
}

static size_t
unit_of(struct ogl_lend *l, const struct ogl_lend_task *t)
{
	struct unit u = {.first = SIZE_MAX, .preemptible = true};
	size_t at = l->units->len;
	gpointer found;
	int64_t *key;

	if (t->kind == OGL__KIND__gang) {
		found = g_hash_table_lookup(l->gangs, &t->job);
		if (found != NULL)
			return GPOINTER_TO_SIZE(found) - 1;
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
	struct task *task = task_at(l, i);
	struct res_vec res = res_vec_of(&task->t.res);
	double size = dominant_share(l, &res);
	double run_s = (double)MAX(now - task->t.since, 0) / OGL_SEC;
	struct unit *u;

	task->unit = unit_of(l, &task->t);
	u = unit_at(l, task->unit);
	task->next = u->first;
	u->first = i;
	res_vec_add(&u->res, &res, 1);
	u->size = dominant_share(l, &u->res);
	u->cost += size * (run_s + START_COST_S);
	if (task->t.kind == OGL__KIND__service)
		u->cost += size * SERVICE_COST_S;
	u->preemptible = u->preemptible && task->t.restartable &&
			 !task->t.stopping && size > 0 &&
			 task->t.worker != OGL_LEND_NO_WORKER &&
			 !is_protected(l, &task->t, now);
}

static gint
compare_worker_and_cost(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct ogl_lend *l = data;
	const struct task *x = task_at(l, *(const size_t *)a);
	const struct task *y = task_at(l, *(const size_t *)b);

	if (x->t.worker != y->t.worker)
		return x->t.worker < y->t.worker ? -1 : 1;
	if (x->cost_ratio != y->cost_ratio)
		return x->cost_ratio < y->cost_ratio ? -1 : 1;
	return x->t.id < y->t.id ? -1 : x->t.id > y->t.id;
}

/* Collects the tasks that may be preempted, by worker, the cheapest first. */
static void
collect_candidates(struct ogl_lend *l, ogl_time now)
{
	for (size_t i = 0; i < l->tasks->len; i++)
		join_unit(l, i, now);
	for (size_t i = 0; i < l->tasks->len; i++) {
		struct task *task = task_at(l, i);
		struct res_vec res = res_vec_of(&task->t.res);
		const struct unit *u = unit_at(l, task->unit);

		if (!u->preemptible ||
		    u->leaf->held_share <= u->leaf->entitlement)
			continue;
		task->cost_ratio = u->cost / dominant_share(l, &res);
		g_array_append_val(l->candidates, i);
	}
	g_array_sort_with_data(l->candidates, compare_worker_and_cost, l);
	for (size_t i = l->candidates->len; i > 0; i--) {
		size_t at = g_array_index(l->candidates, size_t, i - 1);
		struct worker *w = &g_array_index(
		    l->workers, struct worker, task_at(l, at)->t.worker);

		w->begin = i - 1;
		w->end = MAX(w->end, i);
	}
}

/* ---- making room ------------------------------------------------------ */

/* Moves the room of a unit from what its team holds to the free room of its
 * workers; with sign -1 moves it back. */
static void
release_unit(struct ogl_lend *l, size_t unit, double sign)
{
	struct unit *u = unit_at(l, unit);

	for (size_t i = u->first; i != SIZE_MAX; i = task_at(l, i)->next) {
		const struct ogl_lend_task *t = &task_at(l, i)->t;
		struct res_vec res = res_vec_of(&t->res);

		res_vec_add(
		    &g_array_index(l->workers, struct worker, t->worker).room,
		    &res, sign);
	}
	res_vec_add(&u->leaf->held, &u->res, -sign);
	u->leaf->held_share = dominant_share(l, &u->leaf->held);
	u->released = sign > 0;
}

/* Only a team above its entitlement is preempted, and it keeps at least the
 * part l->min_kept of its entitlement, see preempt_for. */
static bool
may_be_preempted(const struct ogl_lend *l, const struct unit *u)
{
	struct res_vec rest = u->leaf->held;

	if (!u->preemptible || u->released ||
	    u->leaf->held_share <= u->leaf->entitlement + ROUNDING_TOLERANCE)
		return false;
	res_vec_add(&rest, &u->res, -1);
	return dominant_share(l, &rest) >=
	       u->leaf->entitlement * l->min_kept - ROUNDING_TOLERANCE;
}

static bool
service_was_preempted(const struct ogl_lend *l, const struct unit *u)
{
	const struct ogl_lend_task *t = &task_at(l, u->first)->t;

	return t->kind == OGL__KIND__service &&
	       g_hash_table_contains(l->services, &t->job);
}

/* Drops units that turned out not to be needed, the most expensive first. */
static void
drop_unneeded(
    struct ogl_lend *l, const struct worker *w, const struct res_vec *need)
{
	for (guint i = l->trial->len; i > 0; i--) {
		size_t unit = g_array_index(l->trial, size_t, i - 1);

		release_unit(l, unit, -1);
		if (res_vec_fits(need, &w->room))
			g_array_remove_index(l->trial, i - 1);
		else
			release_unit(l, unit, 1);
	}
}

static void
undo_release(struct ogl_lend *l, const GArray *units)
{
	for (guint i = 0; i < units->len; i++)
		release_unit(l, g_array_index(units, size_t, i), -1);
}

/* Finds the units to preempt on one worker and leaves them in l->trial.
 * Returns their cost, or a negative number if no room can be made. */
static double
try_worker(
    struct ogl_lend *l, const struct worker *w, const struct res_vec *need)
{
	double cost = -1;

	g_array_set_size(l->trial, 0);
	for (size_t i = w->begin; i < w->end; i++) {
		size_t at = g_array_index(l->candidates, size_t, i);
		size_t unit = task_at(l, at)->unit;

		l->steps++;
		if (!may_be_preempted(l, unit_at(l, unit)) ||
		    service_was_preempted(l, unit_at(l, unit)))
			continue;
		release_unit(l, unit, 1);
		g_array_append_val(l->trial, unit);
		if (res_vec_fits(need, &w->room))
			break;
	}
	if (res_vec_fits(need, &w->room)) {
		drop_unneeded(l, w, need);
		cost = 0;
		for (guint i = 0; i < l->trial->len; i++)
			cost += unit_at(l, g_array_index(l->trial, size_t, i))
				    ->cost;
	}
	undo_release(l, l->trial);
	return cost;
}

static struct worker *
worker_with_room(const struct ogl_lend *l, const struct res_vec *need)
{
	for (guint i = 0; i < l->workers->len; i++) {
		struct worker *w = &g_array_index(l->workers, struct worker, i);

		if (res_vec_fits(need, &w->room))
			return w;
	}
	return NULL;
}

static struct worker *
cheapest_worker(struct ogl_lend *l, const struct res_vec *need)
{
	struct worker *best = NULL;
	double least_cost = 0;

	for (guint i = 0; i < l->workers->len; i++) {
		struct worker *w = &g_array_index(l->workers, struct worker, i);
		double cost = w->begin < w->end ? try_worker(l, w, need) : -1;
		GArray *swap = l->best_trial;

		if (cost < 0 || (best != NULL && cost >= least_cost))
			continue;
		best = w;
		least_cost = cost;
		l->best_trial = l->trial;
		l->trial = swap;
	}
	return best;
}

/* Finds room for one task and adds the units to preempt for it to plan. */
static bool
make_room(struct ogl_lend *l, const struct res_vec *need, GArray *plan)
{
	struct worker *w;

	l->steps += l->workers->len;
	if (l->steps > ROUND_STEPS_MAX)
		return false;
	w = worker_with_room(l, need);
	if (w == NULL) {
		w = cheapest_worker(l, need);
		if (w == NULL)
			return false;
		for (guint i = 0; i < l->best_trial->len; i++) {
			size_t unit = g_array_index(l->best_trial, size_t, i);

			release_unit(l, unit, 1);
			g_array_append_val(plan, unit);
		}
	}
	res_vec_add(&w->room, need, -1);
	return true;
}

/* ---- preemption ------------------------------------------------------- */

static void
record_preemption(struct ogl_lend *l, uint64_t id, ogl_time now)
{
	struct preempted *preempted = g_hash_table_lookup(l->preempted, &id);

	if (preempted == NULL) {
		preempted = g_new0(struct preempted, 1);
		preempted->id = id;
		g_hash_table_insert(l->preempted, &preempted->id, preempted);
	}
	preempted->preempted_at = now;
	preempted->count++;
	preempted->stopped = false;
}

static void
preempt_unit(struct ogl_lend *l, size_t unit, ogl_time now)
{
	struct unit *u = unit_at(l, unit);
	int64_t *job;

	u->leaf->preempted_at = now;
	l->round_share += u->size;
	for (size_t i = u->first; i != SIZE_MAX; i = task_at(l, i)->next) {
		const struct ogl_lend_task *t = &task_at(l, i)->t;
		struct ogl_lend_preemption preemption = {
		    i, OGL__STOP_MODE__checkpoint, MAX(now - t->since, 0)};

		g_array_append_val(l->preemptions, preemption);
		record_preemption(l, t->id, now);
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

/* Makes room for one piece of work: for all its tasks or for none. */
static void
preempt_for(struct ogl_lend *l, const struct pending *pending, ogl_time now)
{
	GArray *saved_workers = g_array_copy(l->workers);
	GArray *plan = g_array_new(FALSE, FALSE, sizeof(size_t));
	struct res_vec need = res_vec_of(&pending->w.res);
	struct res_vec after = pending->leaf->held;
	bool ok = true;

	res_vec_add(&after, &need, pending->w.tasks);
	if (pending->leaf->failures >= ROUND_FAILURES_MAX ||
	    dominant_share(l, &after) >
		pending->leaf->entitlement + ROUNDING_TOLERANCE)
		goto out;
	/* A preempted team may lack half the part that this team lacks. */
	l->min_kept =
	    (1 + pending->leaf->held_share / pending->leaf->entitlement) / 2;
	for (uint32_t i = 0; ok && i < pending->w.tasks; i++)
		ok = make_room(l, &need, plan);
	if (ok && l->round_share > 0 && plan->len > 0)
		ok = l->round_share + plan_size(l, plan) <= ROUND_SHARE_MAX;
	if (!ok) {
		undo_release(l, plan);
		memcpy(l->workers->data, saved_workers->data,
		    saved_workers->len * sizeof(struct worker));
		pending->leaf->failures++;
		goto out;
	}
	for (guint i = 0; i < plan->len; i++)
		preempt_unit(l, g_array_index(plan, size_t, i), now);
	pending->leaf->held = after;
	pending->leaf->held_share = dominant_share(l, &after);
out:
	g_array_free(plan, TRUE);
	g_array_free(saved_workers, TRUE);
}

/* Decides whether a team preempts, see LACK_START and LACK_REGAINED.  Tasks end
 * at random, so without this rule most preemptions would be for teams that get
 * their share anyway when averaged over half a minute. */
static void
update_lack(struct team_node *n, ogl_time now)
{
	double regained_part = (n->held_share - n->share_when_lacking) /
			       (n->entitlement - n->share_when_lacking);

	if (n->held_share >= n->entitlement * (1 - LACK_STOP)) {
		n->lacking_since = 0;
		n->preempting = false;
	} else if (n->preempting) {
		return;
	} else if (n->held_share >= n->entitlement * (1 - LACK_START)) {
		n->lacking_since = 0;
	} else if (n->lacking_since == 0 || regained_part >= LACK_REGAINED) {
		n->lacking_since = now;
		n->share_when_lacking = n->held_share;
	} else if (now - n->lacking_since >= LACK_MIN_MS * OGL_MS) {
		n->preempting = true;
	}
}

static void
update_lacks(struct ogl_lend *l, ogl_time now)
{
	bool paused = now - l->last_round > ROUND_GAP_MAX_MS * OGL_MS;
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, l->leaves);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct team_node *n = v;

		if (paused) {
			n->lacking_since = 0;
			n->preempting = false;
		}
		update_lack(n, now);
	}
	l->last_round = now;
}

static bool
may_preempt_for(const struct pending *pending, ogl_time now)
{
	const struct team_node *leaf = pending->leaf;

	return leaf->preempting &&
	       now - pending->w.since > OGL_LEND_MIN_WAIT_MS * OGL_MS &&
	       (leaf->preempted_at == 0 ||
		   now - leaf->preempted_at > PREEMPTED_TEAM_WAIT_MS * OGL_MS);
}

static gint
compare_queue_position(gconstpointer a, gconstpointer b)
{
	const struct pending *x = a, *y = b;

	return x->w.queue_position < y->w.queue_position
		   ? -1
		   : x->w.queue_position > y->w.queue_position;
}

/* Keeps only the pending work that may preempt, in queue order.  Freed room
 * goes to the work whose turn comes first.  So work behind PASSED_OVER_LIMIT
 * pieces that may not preempt is left out: the room it frees would go to those
 * pieces. */
static void
select_pending(struct ogl_lend *l, ogl_time now)
{
	guint n = 0, kept = 0, passed_over = 0;

	for (guint i = 0; i < l->pending->len; i++) {
		struct pending *pending =
		    &g_array_index(l->pending, struct pending, i);

		if (pending->w.queue_position != 0)
			g_array_index(l->pending, struct pending, n++) =
			    *pending;
	}
	g_array_set_size(l->pending, n);
	g_array_sort(l->pending, compare_queue_position);
	for (guint i = 0; i < n && passed_over < PASSED_OVER_LIMIT; i++) {
		struct pending *pending =
		    &g_array_index(l->pending, struct pending, i);

		if (may_preempt_for(pending, now))
			g_array_index(l->pending, struct pending, kept++) =
			    *pending;
		else
			passed_over++;
	}
	g_array_set_size(l->pending, kept);
}

/* Stops tasks whose worker did not act on a checkpoint; they would hold their
 * room forever. */
static void
stop_overdue(struct ogl_lend *l, ogl_time now)
{
	for (size_t i = 0; i < l->tasks->len; i++) {
		const struct ogl_lend_task *t = &task_at(l, i)->t;
		struct preempted *preempted =
		    g_hash_table_lookup(l->preempted, &t->id);
		struct ogl_lend_preemption stop = {i, OGL__STOP_MODE__stop, 0};

		if (preempted == NULL || !t->stopping || preempted->stopped ||
		    now - preempted->preempted_at <
			CHECKPOINT_TIMEOUT_MS * OGL_MS ||
		    t->since > preempted->preempted_at)
			continue;
		preempted->stopped = true;
		g_array_append_val(l->preemptions, stop);
	}
}

size_t
ogl_lend_decide(struct ogl_lend *l, ogl_time now,
    const struct ogl_lend_preemption **preemptions)
{
	double all = sum_tree(l, l->root);

	distribute(l->root, MAX(all, DISTRIBUTED_MIN));
	update_lacks(l, now);
	stop_overdue(l, now);
	select_pending(l, now);
	if (l->pending->len > 0)
		collect_candidates(l, now);
	for (guint i = 0; i < l->pending->len; i++) {
		if (l->round_share >= ROUND_SHARE_MAX ||
		    l->steps > ROUND_STEPS_MAX)
			break;
		preempt_for(
		    l, &g_array_index(l->pending, struct pending, i), now);
	}
	*preemptions =
	    (const struct ogl_lend_preemption *)(void *)l->preemptions->data;
	return l->preemptions->len;
}

bool
ogl_lend_was_preempted(const struct ogl_lend *l, uint64_t id)
{
	return g_hash_table_contains(l->preempted, &id);
}
