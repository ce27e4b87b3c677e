/*
 * An event-driven simulation: work arrives as in the trace, the queue orders
 * it, and servers run it for its true run time.  Work goes to the fullest
 * server that it fits on.  The simulation ends with the trace; work that still
 * waits then counts with its waiting time so far.
 *
 * Shares are measured in windows of ten seconds in which the cell was full,
 * except the first window.  Entitlement: the processor time used in the window
 * is divided down the tree of teams by weight, and a team without waiting work
 * at some time of the window is entitled to at most what it used.  Both kinds
 * of unfairness count: a team with waiting work and less than its share, and a
 * team with more than its share while others lack theirs.
 */

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lib_replay.h"

#define WINDOW (10 * OGL_SEC)
#define FULL_PART 0.98 /* a window is full if this part of capacity is used */
#define PLACE_FAILURES_MAX 32 /* items tried that do not fit, per pass */
#define FIRST_TEAM 1
#define ALL_TEAMS (-1)
#define OTHER_TEAMS (-2)
#define CANCELLED (-1) /* instead of a start time */

struct running {
	ogl_time end;
	uint32_t work;
	uint32_t server;
};

struct window {
	double *received; /* processor seconds, by team and inner node */
	double *completed;
	bool *backlog_emptied; /* at some time of the window, by team */
	double total;
};

struct replay {
	const struct trace *t;
	struct ogl_queue *q;
	bool oracle;
	struct ogl_res *free_res;
	double free_cpu;
	uint32_t freed_server; /* server on which work ended last */
	struct running *run;   /* binary heap ordered by end */
	size_t nrunning;
	ogl_time *started; /* by item of work; OGL_NEVER while it waits */
	size_t *waiting;   /* by team */
	int *parent;       /* by team; -1 for children of the root */
	struct window *win;
	size_t nwin;
	char label[32];
};

static void
running_push(struct replay *r, struct running x)
{
	size_t i = r->nrunning++;

	while (i > 0 && x.end < r->run[(i - 1) / 2].end) {
		r->run[i] = r->run[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	r->run[i] = x;
}

static struct running
running_pop(struct replay *r)
{
	struct running top = r->run[0];
	struct running x = r->run[--r->nrunning];
	size_t i = 0;
	size_t c;

	while ((c = 2 * i + 1) < r->nrunning) {
		if (c + 1 < r->nrunning && r->run[c + 1].end < r->run[c].end)
			c++;
		if (x.end <= r->run[c].end)
			break;
		r->run[i] = r->run[c];
		i = c;
	}
	r->run[i] = x;
	return top;
}

static void
make_work(struct replay *r, uint32_t i, struct ogl_work *w)
{
	const struct trace_work *x = &r->t->works[i];

	memset(w, 0, sizeof(*w));
	g_snprintf(r->label, sizeof(r->label), "label-%u", x->label);
	w->id = i + 1;
	w->team = r->t->teams[x->team].path;
	w->label = r->label;
	w->kind = x->kind;
	w->tasks = 1;
	w->res = x->res;
	w->declared_ms =
	    r->oracle ? (uint64_t)(x->run / OGL_MS) : x->declared_ms;
	w->waiting_since = x->at;
}

/* Reserves the fullest server on which the work fits.  `freed_server` is tried
 * first: in a full cell it usually is the only one. */
static bool
reserve_server(struct replay *r, const struct ogl_res *need, uint32_t *server)
{
	uint32_t best = UINT32_MAX;

	if (r->free_res[r->freed_server].cpu_milli == need->cpu_milli &&
	    ogl_res_fits(need, &r->free_res[r->freed_server]))
		best = r->freed_server;
	for (uint32_t s = 0; best != r->freed_server && s < r->t->nservers;
	     s++) {
		if (need->cpu_milli > r->free_res[s].cpu_milli ||
		    !ogl_res_fits(need, &r->free_res[s]))
			continue;
		if (best == UINT32_MAX ||
		    r->free_res[s].cpu_milli < r->free_res[best].cpu_milli)
			best = s;
		if (r->free_res[s].cpu_milli == need->cpu_milli)
			break;
	}
	if (best == UINT32_MAX)
		return false;
	ogl_res_sub(&r->free_res[best], need);
	r->free_cpu -= need->cpu_milli;
	*server = best;
	return true;
}

static size_t
window_at(const struct replay *r, ogl_time at)
{
	return MIN((size_t)(at / WINDOW), r->nwin - 1);
}

static void
change_waiting(struct replay *r, uint32_t team, int change, ogl_time now)
{
	for (int n = (int)team; n >= 0; n = r->parent[n]) {
		r->waiting[n] += (size_t)change;
		if (r->waiting[n] == 0)
			r->win[window_at(r, now)].backlog_emptied[n] = true;
	}
}

static void
begin_window(struct replay *r, size_t w)
{
	for (size_t n = 0; n < r->t->nteams; n++)
		r->win[w].backlog_emptied[n] |= r->waiting[n] == 0;
}

/* Adds processor time used in [from, to) to the windows it falls in. */
static void
credit_service(
    struct replay *r, uint32_t i, ogl_time from, ogl_time to, bool done)
{
	const struct trace_work *x = &r->t->works[i];
	double cpu = x->res.cpu_milli / 1000.0;
	size_t last = window_at(r, to);

	for (size_t w = window_at(r, from); w <= last; w++) {
		ogl_time a = MAX(from, (ogl_time)w * WINDOW);
		ogl_time b = MIN(to, (ogl_time)(w + 1) * WINDOW);
		double s = cpu * (double)MAX(b - a, 0) / OGL_SEC;

		r->win[w].total += s;
		for (int n = (int)x->team; n >= 0; n = r->parent[n])
			r->win[w].received[n] += s;
	}
	for (int n = (int)x->team; done && n >= 0; n = r->parent[n])
		r->win[last].completed[n] +=
		    cpu * (double)(to - from) / OGL_SEC;
}

/* Cancels an item of work if it is in `group` and waits. */
static void
cancel(struct replay *r, uint32_t i, uint32_t group, ogl_time now)
{
	if (r->t->works[i].group != group || r->started[i] != OGL_NEVER)
		return;
	if (!ogl_queue_remove(r->q, i + 1))
		return;
	r->started[i] = CANCELLED;
	change_waiting(r, r->t->works[i].team, -1, now);
}

/* Cancels the other items of a group.  They have the same arrival time, so they
 * are adjacent in the trace. */
static void
cancel_duplicates(struct replay *r, uint32_t i, ogl_time now)
{
	const struct trace_work *w = r->t->works;

	if (w[i].group == 0)
		return;
	for (uint32_t k = i; k > 0 && w[k - 1].at == w[i].at; k--)
		cancel(r, k - 1, w[i].group, now);
	for (uint32_t k = i + 1; k < r->t->nworks && w[k].at == w[i].at; k++)
		cancel(r, k, w[i].group, now);
}

static void
fill(struct replay *r, ogl_time now)
{
	struct ogl_work w;
	uint32_t failures = 0;
	uint32_t server;

	while (r->free_cpu > 0 && failures < PLACE_FAILURES_MAX &&
	       ogl_queue_pop(r->q, now, &w)) {
		uint32_t i = (uint32_t)w.id - 1;

		if (!reserve_server(r, &w.res, &server)) {
			ogl_queue_defer(r->q, w.id, now);
			failures++;
			continue;
		}
		change_waiting(r, r->t->works[i].team, -1, now);
		r->started[i] = now;
		ogl_queue_started(r->q, &w, now);
		cancel_duplicates(r, i, now);
		running_push(
		    r, (struct running){now + r->t->works[i].run, i, server});
	}
}

/* Whether another item of the group is running already.  Then this one is
 * cancelled before it is queued. */
static bool
duplicate_started(struct replay *r, uint32_t i)
{
	const struct trace_work *w = r->t->works;

	if (w[i].group == 0)
		return false;
	for (uint32_t k = i; k > 0 && w[k - 1].at == w[i].at; k--) {
		ogl_time s = r->started[k - 1];

		if (w[k - 1].group != w[i].group)
			continue;
		if (s != OGL_NEVER) {
			r->started[i] = CANCELLED;
			return true;
		}
	}
	return false;
}

static void
arrive(struct replay *r, uint32_t i, ogl_time now)
{
	struct ogl_work w;

	make_work(r, i, &w);
	if (duplicate_started(r, i))
		return;
	change_waiting(r, r->t->works[i].team, 1, now);
	ogl_queue_push(r->q, &w, now);
	fill(r, now);
}

static void
finish(struct replay *r)
{
	struct running x = running_pop(r);
	const struct trace_work *k = &r->t->works[x.work];

	credit_service(r, x.work, r->started[x.work], x.end, true);
	ogl_res_add(&r->free_res[x.server], &k->res);
	r->free_cpu += k->res.cpu_milli;
	r->freed_server = x.server;
	ogl_queue_ended(r->q, x.work + 1, true, x.end);
	ogl_queue_retry_deferred(r->q, x.end);
	fill(r, x.end);
}

static void
simulate(struct replay *r)
{
	uint32_t next = 0;
	size_t w = 0;

	for (;;) {
		ogl_time arrival =
		    next < r->t->nworks ? r->t->works[next].at : r->t->length;
		ogl_time end = r->nrunning != 0 ? r->run[0].end : OGL_NEVER;
		ogl_time now = MIN(arrival, end);

		while (w < r->nwin && (ogl_time)w * WINDOW <= now)
			begin_window(r, w++);
		if (now >= r->t->length)
			break;
		if (end <= arrival)
			finish(r);
		else
			arrive(r, next++, now);
	}
	for (size_t i = 0; i < r->nrunning; i++) {
		uint32_t work = r->run[i].work;

		credit_service(r, work, r->started[work], r->t->length, false);
	}
}

static int
by_value(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* `v` has to be sorted. */
static double
quantile(const GArray *v, double q)
{
	if (v->len == 0)
		return 0;
	return g_array_index(v, double, (guint)(q * (v->len - 1)));
}

/* `team` is an index, ALL_TEAMS, or OTHER_TEAMS (all but the first). */
static bool
team_matches(uint32_t have, int team)
{
	if (team == ALL_TEAMS)
		return true;
	if (team == OTHER_TEAMS)
		return have != FIRST_TEAM;
	return have == (uint32_t)team;
}

static GArray *
waits_of(const struct replay *r, bool is_short, int team)
{
	GArray *v = g_array_new(FALSE, FALSE, sizeof(double));

	for (size_t i = 0; i < r->t->nworks; i++) {
		const struct trace_work *w = &r->t->works[i];
		double x;

		if (w->is_short != is_short || w->at >= r->t->length)
			continue;
		if (r->started[i] == CANCELLED)
			continue;
		if (w->group != 0 && r->started[i] == OGL_NEVER && i > 0 &&
		    r->t->works[i - 1].group == w->group)
			continue;
		if (!team_matches(w->team, team))
			continue;
		x = (double)(MIN(r->started[i], r->t->length) - w->at) / OGL_MS;
		g_array_append_val(v, x);
	}
	qsort(v->data, v->len, sizeof(double), by_value);
	return v;
}

static double
quantile_of(const struct replay *r, bool is_short, int team, double q)
{
	GArray *v = waits_of(r, is_short, team);
	double x = quantile(v, q);

	g_array_free(v, TRUE);
	return x;
}

static void
compute_waits(
    const struct replay *r, bool first_team, struct replay_result *res)
{
	GArray *s = waits_of(r, true, ALL_TEAMS);
	GArray *l = waits_of(r, false, ALL_TEAMS);

	res->short_p50_ms = quantile(s, 0.5);
	res->short_p99_ms = quantile(s, 0.99);
	res->long_p50_ms = quantile(l, 0.5);
	res->long_p99_ms = quantile(l, 0.99);
	res->max_s = MAX(quantile(s, 1), quantile(l, 1)) / 1000;
	g_array_free(s, TRUE);
	g_array_free(l, TRUE);
	if (!first_team)
		return;
	res->first_short_p99_ms = quantile_of(r, true, FIRST_TEAM, 0.99);
	res->first_long_p50_ms = quantile_of(r, false, FIRST_TEAM, 0.5);
	res->others_short_p99_ms = quantile_of(r, true, OTHER_TEAMS, 0.99);
}

/* Divides `amount` by weight among the children of `parent_team`, and so on
 * down the tree.  A child whose backlog was empty at some time gets at most
 * what it received. */
static void
compute_entitlements(const struct replay *r, const struct window *w,
    int parent_team, double amount, double *out)
{
	size_t n = r->t->nteams;
	bool satisfied[64] = {false};
	bool changed = true;

	while (changed) {
		double left = amount;
		double weight = 0;

		changed = false;
		for (size_t i = 0; i < n; i++) {
			if (r->parent[i] != parent_team)
				continue;
			if (satisfied[i])
				left -= out[i];
			else
				weight += r->t->teams[i].share;
		}
		for (size_t i = 0; i < n; i++) {
			if (r->parent[i] != parent_team || satisfied[i])
				continue;
			out[i] = left * r->t->teams[i].share / weight;
			if (w->backlog_emptied[i] && w->received[i] < out[i]) {
				out[i] = w->received[i];
				satisfied[i] = true;
				changed = true;
			}
		}
	}
	for (size_t i = 0; i < n; i++) {
		if (r->parent[i] == parent_team)
			compute_entitlements(r, w, (int)i, out[i], out);
	}
}

static void
compute_window_errors(const struct replay *r, const struct window *w,
    GArray *errors, struct replay_result *res)
{
	double entitled[64] = {0};
	double done = 0;

	compute_entitlements(r, w, -1, w->total, entitled);
	for (size_t i = 0; i < r->t->nteams; i++) {
		if (r->parent[i] < 0)
			done += w->completed[i];
	}
	for (size_t i = 0; i < r->t->nteams; i++) {
		double e = 100 * fabs(w->received[i] / entitled[i] - 1);
		double c =
		    100 *
		    fabs(w->completed[i] * w->total / done / entitled[i] - 1);

		if (entitled[i] <= 0)
			continue;
		g_array_append_val(errors, e);
		res->error_received_pct = MAX(res->error_received_pct, e);
		res->error_completed_pct = MAX(res->error_completed_pct, c);
	}
}

static void
compute_errors(const struct replay *r, struct replay_result *res)
{
	double cap = (double)r->t->nservers * r->t->server.cpu_milli / 1000;
	GArray *errors = g_array_new(FALSE, FALSE, sizeof(double));
	double cpu_s_used = 0;

	for (size_t w = 0; w < r->nwin; w++) {
		const struct window *x = &r->win[w];

		cpu_s_used += x->total;
		if (w == 0 || x->total < FULL_PART * cap * WINDOW / OGL_SEC)
			continue;
		res->windows++;
		compute_window_errors(r, x, errors, res);
	}
	qsort(errors->data, errors->len, sizeof(double), by_value);
	res->error_median_pct = quantile(errors, 0.5);
	res->busy_pct = 100 * cpu_s_used / (cap * r->t->length / OGL_SEC);
	g_array_free(errors, TRUE);
}

static void
replay_init(struct replay *r, const struct trace *t)
{
	r->t = t;
	r->free_res = g_new(struct ogl_res, t->nservers);
	for (uint32_t s = 0; s < t->nservers; s++)
		r->free_res[s] = t->server;
	r->free_cpu = (double)t->nservers * t->server.cpu_milli;
	r->run = g_new(struct running, (size_t)r->free_cpu / 1000 + 1);
	r->started = g_new(ogl_time, t->nworks + 1);
	for (size_t i = 0; i < t->nworks; i++)
		r->started[i] = OGL_NEVER;
	r->waiting = g_new0(size_t, t->nteams);
	r->parent = g_new(int, t->nteams);
	r->nwin = (size_t)(t->length / WINDOW);
	r->win = g_new0(struct window, r->nwin);
	for (size_t w = 0; w < r->nwin; w++) {
		r->win[w].received = g_new0(double, t->nteams);
		r->win[w].completed = g_new0(double, t->nteams);
		r->win[w].backlog_emptied = g_new0(bool, t->nteams);
	}
	for (size_t i = 0; i < t->nteams; i++) {
		const char *slash = strchr(t->teams[i].path, '/');

		r->parent[i] = -1;
		for (size_t k = 0; slash != NULL && k < i; k++) {
			size_t n = (size_t)(slash - t->teams[i].path);

			if (strlen(t->teams[k].path) == n &&
			    memcmp(t->teams[k].path, t->teams[i].path, n) == 0)
				r->parent[i] = (int)k;
		}
		ogl_queue_set_share(r->q, t->teams[i].path, t->teams[i].share);
	}
}

static void
replay_end(struct replay *r)
{
	for (size_t w = 0; w < r->nwin; w++) {
		g_free(r->win[w].received);
		g_free(r->win[w].completed);
		g_free(r->win[w].backlog_emptied);
	}
	g_free(r->win);
	g_free(r->free_res);
	g_free(r->run);
	g_free(r->started);
	g_free(r->waiting);
	g_free(r->parent);
	ogl_queue_end(r->q);
}

void
replay_run(const struct trace *t, const struct ogl_queue_policy *policy,
    bool oracle, struct replay_result *res)
{
	struct replay r = {.oracle = oracle};

	memset(res, 0, sizeof(*res));
	r.q = ogl_queue_init(policy, 1);
	replay_init(&r, t);
	simulate(&r);
	compute_waits(&r, policy == &ogl_queue_learned, res);
	compute_errors(&r, res);
	replay_end(&r);
}
