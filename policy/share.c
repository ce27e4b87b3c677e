/*
 * Weighted fair queueing between teams.
 *
 * Each team has a virtual time, which rises by the core-milliseconds that its
 * runs use, divided by its weight.  The team with the least virtual time goes
 * first.  A run is charged by its expected time when it is started, because the
 * next decision follows at once, and corrected when it ends.
 *
 * The clock is the least virtual time at which a team was started lately.  A
 * team that had no work starts there.  The least virtual time of the waiting
 * teams would not do as the clock: a team that waits for something other than
 * room, such as its limit, would hold it back, and teams that return would
 * claim what they did not use.  The greatest would not do either: teams far
 * ahead of their share also start work when nobody else has any that fits.
 *
 * Queues of one rank have a floor.  While a queue waits, it is credited with a
 * part of the work that other queues of the rank start, and goes first while it
 * has credit.
 */

#include <glib.h>

#include "share.h"

/* Credit of a waiting queue for each core-millisecond that others of its rank
 * start.  An eighth of that is a ninth of the whole: a queue whose turn comes
 * only once its credit is positive still gets a tenth. */
#define FLOOR_CREDIT 0.125
/* The clock follows the starts of this time.  Some hundred runs are started in
 * it while a cell is full. */
#define CLOCK_WINDOW (300 * OGL_MS)
#define PPM 1e6

struct ogl_share_team {
	char *name;
	double weight;
	double vtime;
	double order_vtime; /* scratch of ogl_share_order */
	guint group;        /* scratch: index of its group found last */
	uint64_t set;       /* last change of the teams that set it */
	uint64_t round;     /* last round in which it had work; 0 none */
	uint64_t period;    /* last full period in which it had work */
	double used_core_ms;
	double completed_core_ms;
	double period_core_ms; /* completed in that period */
	uint64_t completed_jobs;
};

struct ogl_share_queue {
	uint32_t rank;
	uint64_t round;
	double credit_core_ms; /* goes first while this is positive */
	double order_credit;   /* scratch of ogl_share_order */
};

/* Scratch: items of one team and queue, oldest first. */
struct group {
	struct ogl_share_team *team;
	struct ogl_share_queue *queue;
	size_t first; /* index of the oldest that is left, or the end */
	size_t last;
};

struct ogl_share {
	GPtrArray *teams;    /* struct ogl_share_team, as they were set */
	GHashTable *by_name; /* the same by name, borrowed */
	GHashTable *queues;  /* name -> struct ogl_share_queue */
	struct ogl_share_team *others;
	uint64_t generation;
	uint64_t round;
	uint64_t period; /* number of the current or last full period */
	bool full;
	double vclock;
	double window_vtime; /* least virtual time started in the window */
	ogl_time window_end; /* 0: no window */
	GArray *groups;      /* scratch: struct group */
	GArray *next;        /* scratch: size_t, next item of the same group */
	GPtrArray *listed;   /* scratch: struct ogl_share_queue of the items */
	GArray *sorted;      /* scratch: struct ogl_share_item */
};

static void
team_free(gpointer p)
{
	struct ogl_share_team *t = p;

	g_free(t->name);
	g_free(t);
}

static struct ogl_share_team *
team_new(struct ogl_str name)
{
	struct ogl_share_team *t = g_new0(struct ogl_share_team, 1);

	t->name = g_strndup(name.p, name.n);
	t->weight = 1;
	return t;
}

struct ogl_share *
ogl_share_init(void)
{
	struct ogl_share *s = g_new0(struct ogl_share, 1);

	s->teams = g_ptr_array_new_with_free_func(team_free);
	s->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	s->queues =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->others = team_new(ogl_str(""));
	s->generation = 1;
	s->round = 1;
	s->groups = g_array_new(FALSE, FALSE, sizeof(struct group));
	s->next = g_array_new(FALSE, FALSE, sizeof(size_t));
	s->listed = g_ptr_array_new();
	s->sorted = g_array_new(FALSE, FALSE, sizeof(struct ogl_share_item));
	return s;
}

void
ogl_share_end(struct ogl_share *s)
{
	g_hash_table_unref(s->by_name);
	g_hash_table_unref(s->queues);
	g_ptr_array_unref(s->teams);
	team_free(s->others);
	g_array_unref(s->groups);
	g_array_unref(s->next);
	g_ptr_array_unref(s->listed);
	g_array_unref(s->sorted);
	g_free(s);
}

/* ---- teams and queues ----------------------------------------------- */

static void
reset_team(struct ogl_share_team *t)
{
	t->vtime = 0;
	t->used_core_ms = 0;
	t->completed_core_ms = 0;
	t->completed_jobs = 0;
	t->period_core_ms = 0;
	t->round = 0;
	t->period = 0;
}

void
ogl_share_clear(struct ogl_share *s)
{
	guint i;

	for (i = 0; i < s->teams->len; i++)
		reset_team(s->teams->pdata[i]);
	reset_team(s->others);
	g_hash_table_remove_all(s->queues);
	s->generation++;
	s->full = false;
}

void
ogl_share_begin_teams(struct ogl_share *s)
{
	s->generation++;
	g_hash_table_remove_all(s->queues);
}

void
ogl_share_set_team(struct ogl_share *s, struct ogl_str name, double weight)
{
	char *key = g_strndup(name.p, name.n);
	struct ogl_share_team *t = g_hash_table_lookup(s->by_name, key);

	g_free(key);
	if (t == NULL) {
		t = team_new(name);
		t->vtime = s->vclock;
		g_ptr_array_add(s->teams, t);
		g_hash_table_insert(s->by_name, t->name, t);
	}
	t->weight = weight > 0 ? weight : 1;
	t->set = s->generation;
}

void
ogl_share_end_teams(struct ogl_share *s)
{
	guint i = 0;

	while (i < s->teams->len) {
		struct ogl_share_team *t = s->teams->pdata[i];

		if (t->set == s->generation) {
			i++;
			continue;
		}
		g_hash_table_remove(s->by_name, t->name);
		g_ptr_array_remove_index(s->teams, i);
	}
}

uint64_t
ogl_share_generation(const struct ogl_share *s)
{
	return s->generation;
}

struct ogl_share_team *
ogl_share_team(const struct ogl_share *s, struct ogl_str name)
{
	char *key = g_strndup(name.p, name.n);
	struct ogl_share_team *t = g_hash_table_lookup(s->by_name, key);

	g_free(key);
	return t != NULL ? t : s->others;
}

struct ogl_share_queue *
ogl_share_queue(struct ogl_share *s, struct ogl_str name, uint32_t rank)
{
	char *key = g_strndup(name.p, name.n);
	struct ogl_share_queue *q = g_hash_table_lookup(s->queues, key);

	if (q == NULL) {
		q = g_new0(struct ogl_share_queue, 1);
		q->rank = rank;
		g_hash_table_insert(s->queues, key, q);
	} else {
		g_free(key);
	}
	return q;
}

/* ---- order ---------------------------------------------------------- */

static void
begin_period(struct ogl_share *s)
{
	guint i;

	for (i = 0; i < s->teams->len; i++)
		((struct ogl_share_team *)s->teams->pdata[i])->vtime = 0;
	s->others->vtime = 0;
	s->vclock = 0;
	s->window_end = 0;
	s->period++;
	/* Nothing had work in the round before. */
	s->round++;
}

void
ogl_share_set_full(struct ogl_share *s, bool full)
{
	if (full && !s->full)
		begin_period(s);
	s->full = full;
}

void
ogl_share_begin_round(struct ogl_share *s)
{
	s->round++;
}

static void
enter_period(const struct ogl_share *s, struct ogl_share_team *t)
{
	if (t->period == s->period)
		return;
	t->period = s->period;
	t->period_core_ms = 0;
}

/* Records that the team and the queue have work in this round. */
static void
enter_round(struct ogl_share *s, const struct ogl_share_item *x)
{
	struct ogl_share_team *t = x->team;
	struct ogl_share_queue *q = x->queue;

	enter_period(s, t);
	if (t->round + 1 < s->round)
		t->vtime = MAX(t->vtime, s->vclock);
	t->round = s->round;
	if (q->round + 1 < s->round)
		q->credit_core_ms = 0;
	q->round = s->round;
	t->order_vtime = t->vtime;
	q->order_credit = q->credit_core_ms;
	if (!g_ptr_array_find(s->listed, q, NULL))
		g_ptr_array_add(s->listed, q);
}

/* Whether the i-th group is that of the item. */
static bool
group_is_of(const struct ogl_share *s, guint i, const struct ogl_share_item *x)
{
	const struct group *g;

	if (i >= s->groups->len)
		return false;
	g = &g_array_index(s->groups, struct group, i);
	return g->team == x->team && g->queue == x->queue;
}

static struct group *
find_or_add_group(struct ogl_share *s, const struct ogl_share_item *x, size_t n)
{
	struct group fresh = {x->team, x->queue, n, n};
	guint i = x->team->group;

	/* Most teams have one queue in a rank. */
	if (!group_is_of(s, i, x)) {
		for (i = 0; i < s->groups->len && !group_is_of(s, i, x); i++)
			continue;
		if (i == s->groups->len)
			g_array_append_val(s->groups, fresh);
		x->team->group = i;
	}
	return &g_array_index(s->groups, struct group, i);
}

/* Lists the items of each team and queue. */
static void
fill_groups(struct ogl_share *s, const struct ogl_share_item *items, size_t n)
{
	size_t *next;
	size_t i;

	g_array_set_size(s->groups, 0);
	g_ptr_array_set_size(s->listed, 0);
	g_array_set_size(s->next, (guint)n);
	next = (size_t *)(void *)s->next->data;
	for (i = 0; i < n; i++) {
		struct group *g;

		enter_round(s, &items[i]);
		if (items[i].by_age)
			continue;
		g = find_or_add_group(s, &items[i], n);
		next[i] = n;
		if (g->first == n)
			g->first = i;
		else
			next[g->last] = i;
		g->last = i;
	}
}

static bool
goes_before(const struct group *a, const struct group *b)
{
	bool a_owed = a->queue->order_credit > 0;
	bool b_owed = b->queue->order_credit > 0;

	if (a_owed != b_owed)
		return a_owed;
	if (a->team->order_vtime < b->team->order_vtime ||
	    a->team->order_vtime > b->team->order_vtime)
		return a->team->order_vtime < b->team->order_vtime;
	return a->first < b->first;
}

static struct group *
first_group(const struct ogl_share *s, size_t n)
{
	struct group *best = NULL;
	guint i;

	for (i = 0; i < s->groups->len; i++) {
		struct group *g = &g_array_index(s->groups, struct group, i);

		if (g->first < n && (best == NULL || goes_before(g, best)))
			best = g;
	}
	return best;
}

/* Appends the item, and counts it as if all of it were started. */
static void
take(struct ogl_share *s, const struct ogl_share_item *x)
{
	guint i;

	g_array_append_val(s->sorted, *x);
	x->team->order_vtime += x->core_ms / x->team->weight;
	for (i = 0; i < s->listed->len; i++) {
		struct ogl_share_queue *q = s->listed->pdata[i];

		if (q != x->queue)
			q->order_credit += FLOOR_CREDIT * x->core_ms;
	}
	x->queue->order_credit = MAX(x->queue->order_credit, 0) - x->core_ms;
}

void
ogl_share_order(struct ogl_share *s, struct ogl_share_item *items, size_t n)
{
	struct group *g;
	size_t i;

	if (n == 0)
		return;
	fill_groups(s, items, n);
	g_array_set_size(s->sorted, 0);
	for (i = 0; i < n; i++) {
		if (items[i].by_age)
			take(s, &items[i]);
	}
	while ((g = first_group(s, n)) != NULL) {
		i = g->first;
		g->first = g_array_index(s->next, size_t, i);
		take(s, &items[i]);
	}
	for (i = 0; i < n; i++)
		items[i] = g_array_index(s->sorted, struct ogl_share_item, i);
}

/* ---- charges and figures -------------------------------------------- */

static void
advance_clock(struct ogl_share *s, const struct ogl_share_team *t, ogl_time now)
{
	if (s->window_end != 0 && now >= s->window_end) {
		s->vclock = MAX(s->vclock, s->window_vtime);
		s->window_end = 0;
	}
	if (s->window_end == 0) {
		s->window_end = now + CLOCK_WINDOW;
		s->window_vtime = t->vtime;
	}
	s->window_vtime = MIN(s->window_vtime, t->vtime);
}

static void
charge_queue(
    const struct ogl_share *s, struct ogl_share_queue *started, double core_ms)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, s->queues);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct ogl_share_queue *q = p;

		if (q != started && q->rank == started->rank &&
		    q->round == s->round)
			q->credit_core_ms += FLOOR_CREDIT * core_ms;
	}
	/* What the queue was given beyond the floor is no debt, or it would
	 * wait long for its floor once others go first. */
	started->credit_core_ms = MAX(started->credit_core_ms, 0) - core_ms;
}

struct ogl_share_charge
ogl_share_charge(struct ogl_share *s, struct ogl_share_team *t,
    struct ogl_share_queue *q, double core_ms, ogl_time now)
{
	struct ogl_share_charge c = {0, core_ms};

	if (!s->full)
		return c;
	c.period = s->period;
	advance_clock(s, t, now);
	t->vtime += core_ms / t->weight;
	charge_queue(s, q, core_ms);
	return c;
}

void
ogl_share_run_ended(struct ogl_share *s, struct ogl_share_team *t,
    const struct ogl_share_charge *c, double used_core_ms, bool completed)
{
	if (c->period != 0 && c->period == s->period)
		t->vtime += (used_core_ms - c->core_ms) / t->weight;
	if (!s->full)
		return;
	enter_period(s, t);
	t->used_core_ms += used_core_ms;
	if (completed) {
		t->completed_core_ms += used_core_ms;
		t->period_core_ms += used_core_ms;
	}
}

void
ogl_share_job_completed(struct ogl_share *s, struct ogl_share_team *t)
{
	if (s->full)
		t->completed_jobs++;
}

static void
report_team(const struct ogl_share *s, const struct ogl_share_team *t,
    double core_ms, double weight, ogl_share_report_fn *fn, void *arg)
{
	struct ogl_share_figures f = {.team = t->name,
	    .weight = t->weight,
	    .used_core_ms = (uint64_t)t->used_core_ms,
	    .completed_core_ms = (uint64_t)t->completed_core_ms,
	    .completed_jobs = t->completed_jobs,
	    .active = t->period != 0 && t->period == s->period};

	if (f.active && core_ms > 0)
		f.share_ppm = (uint32_t)(PPM * t->period_core_ms / core_ms);
	if (f.active)
		f.entitled_ppm = (uint32_t)(PPM * t->weight / weight);
	fn(arg, &f);
}

void
ogl_share_report(const struct ogl_share *s, ogl_share_report_fn *fn, void *arg)
{
	double core_ms = 0, weight = 0;
	guint i;

	for (i = 0; i <= s->teams->len; i++) {
		const struct ogl_share_team *t =
		    i < s->teams->len ? s->teams->pdata[i] : s->others;

		if (t->period == 0 || t->period != s->period)
			continue;
		core_ms += t->period_core_ms;
		weight += t->weight;
	}
	for (i = 0; i < s->teams->len; i++)
		report_team(s, s->teams->pdata[i], core_ms, weight, fn, arg);
	report_team(s, s->others, core_ms, weight, fn, arg);
}
