/*
 * A small event-driven replay: work arrives as the trace says, the queue
 * orders it, servers hold it for its true run time.  Requests and tasks go to
 * the fullest server that has room.  It ends with the trace; what still waits
 * then counts with its wait so far.
 *
 * Shares are judged in windows of ten seconds after the first in which the
 * cell was full.  Entitlement: the service given in the window is poured down
 * the tree of teams by weight; a team that had nothing waiting at some time
 * of the window is entitled to no more than it got.  So favour shows wherever
 * it falls: a team with less than its share and work waiting is in deficit,
 * a team with more than its share is in surplus unless all others had enough.
 */

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lib_replay.h"

#define WINDOW (10 * OGL_SEC)
#define FULL_PART 0.98 /* of capacity held over a window: it was full */
#define TRY_MOST 32    /* pieces tried that do not fit */
#define FIRST_TEAM 1
#define ALL_TEAMS (-1)
#define OTHER_TEAMS (-2)
#define CANCELLED (-1) /* as time of start */

struct running {
	ogl_time end;
	uint32_t work;
	uint32_t server;
};

struct window {
	double *received; /* each team, inner nodes too */
	double *completed;
	bool *emptied; /* it had nothing waiting at some time */
	double total;
};

struct replay {
	const struct trace *t;
	struct ogl_queue *q;
	bool oracle;
	struct ogl_res *room;
	double free_cpu;
	uint32_t freed;      /* server that something ended on last */
	struct running *run; /* binary heap by end */
	size_t nrun;
	ogl_time *started; /* by work; OGL_NEVER while it waits */
	size_t *waiting;   /* by team */
	int *parent;       /* by team; -1 below the root */
	struct window *win;
	size_t nwin;
	char label[32];
};

static void
run_add(struct replay *r, struct running x)
{
	size_t i = r->nrun++;

	while (i > 0 && x.end < r->run[(i - 1) / 2].end) {
		r->run[i] = r->run[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	r->run[i] = x;
}

static struct running
run_take(struct replay *r)
{
	struct running top = r->run[0];
	struct running x = r->run[--r->nrun];
	size_t i = 0;
	size_t c;

	while ((c = 2 * i + 1) < r->nrun) {
		if (c + 1 < r->nrun && r->run[c + 1].end < r->run[c].end)
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
describe(struct replay *r, uint32_t i, struct ogl_work *w)
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

/* The fullest server with room; `freed` is tried first, being the only one
 * with room most times in a full cell. */
static bool
hold(struct replay *r, const struct ogl_res *need, uint32_t *server)
{
	uint32_t best = UINT32_MAX;

	if (r->room[r->freed].cpu_milli == need->cpu_milli &&
	    ogl_res_fits(need, &r->room[r->freed]))
		best = r->freed;
	for (uint32_t s = 0; best != r->freed && s < r->t->nservers; s++) {
		if (need->cpu_milli > r->room[s].cpu_milli ||
		    !ogl_res_fits(need, &r->room[s]))
			continue;
		if (best == UINT32_MAX ||
		    r->room[s].cpu_milli < r->room[best].cpu_milli)
			best = s;
		if (r->room[s].cpu_milli == need->cpu_milli)
			break;
	}
	if (best == UINT32_MAX)
		return false;
	ogl_res_sub(&r->room[best], need);
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
waits_change(struct replay *r, uint32_t team, int by, ogl_time now)
{
	for (int n = (int)team; n >= 0; n = r->parent[n]) {
		r->waiting[n] += (size_t)by;
		if (r->waiting[n] == 0)
			r->win[window_at(r, now)].emptied[n] = true;
	}
}

static void
begin_window(struct replay *r, size_t w)
{
	for (size_t n = 0; n < r->t->nteams; n++)
		r->win[w].emptied[n] |= r->waiting[n] == 0;
}

/* Credits service received in [from, to) window by window. */
static void
credit(struct replay *r, uint32_t i, ogl_time from, ogl_time to, bool done)
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

/* Cancels a piece whose twin has started. */
static void
cancel(struct replay *r, uint32_t i, uint32_t group, ogl_time now)
{
	if (r->t->works[i].group != group || r->started[i] != OGL_NEVER)
		return;
	if (!ogl_queue_remove(r->q, i + 1))
		return;
	r->started[i] = CANCELLED;
	waits_change(r, r->t->works[i].team, -1, now);
}

/* Pieces of a group came at the same time and stand together. */
static void
cancel_twins(struct replay *r, uint32_t i, ogl_time now)
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
	uint32_t tried = 0;
	uint32_t server;

	while (r->free_cpu > 0 && tried < TRY_MOST &&
	       ogl_queue_pop(r->q, now, &w)) {
		uint32_t i = (uint32_t)w.id - 1;

		if (!hold(r, &w.res, &server)) {
			ogl_queue_defer(r->q, w.id, now);
			tried++;
			continue;
		}
		waits_change(r, r->t->works[i].team, -1, now);
		r->started[i] = now;
		ogl_queue_started(r->q, &w, now);
		cancel_twins(r, i, now);
		run_add(
		    r, (struct running){now + r->t->works[i].run, i, server});
	}
}

/* A twin that came just before may run already; then this one is not sent. */
static bool
twin_started(struct replay *r, uint32_t i)
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

	describe(r, i, &w);
	if (twin_started(r, i))
		return;
	waits_change(r, r->t->works[i].team, 1, now);
	ogl_queue_push(r->q, &w, now);
	fill(r, now);
}

static void
finish(struct replay *r)
{
	struct running x = run_take(r);
	const struct trace_work *k = &r->t->works[x.work];

	credit(r, x.work, r->started[x.work], x.end, true);
	ogl_res_add(&r->room[x.server], &k->res);
	r->free_cpu += k->res.cpu_milli;
	r->freed = x.server;
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
		ogl_time come =
		    next < r->t->nworks ? r->t->works[next].at : r->t->length;
		ogl_time end = r->nrun != 0 ? r->run[0].end : OGL_NEVER;
		ogl_time now = MIN(come, end);

		while (w < r->nwin && (ogl_time)w * WINDOW <= now)
			begin_window(r, w++);
		if (now >= r->t->length)
			break;
		if (end <= come)
			finish(r);
		else
			arrive(r, next++, now);
	}
	for (size_t i = 0; i < r->nrun; i++) {
		uint32_t work = r->run[i].work;

		credit(r, work, r->started[work], r->t->length, false);
	}
}

static int
by_value(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Of sorted values. */
static double
quantile(const GArray *v, double q)
{
	if (v->len == 0)
		return 0;
	return g_array_index(v, double, (guint)(q * (v->len - 1)));
}

/* `team` is one team, ALL_TEAMS, or all but the first. */
static bool
of_team(uint32_t have, int team)
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
		if (!of_team(w->team, team))
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
judge_waits(const struct replay *r, bool own, struct replay_result *res)
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
	if (!own)
		return;
	res->tricky_short_p99_ms = quantile_of(r, true, FIRST_TEAM, 0.99);
	res->tricky_long_p50_ms = quantile_of(r, false, FIRST_TEAM, 0.5);
	res->others_short_p99_ms = quantile_of(r, true, OTHER_TEAMS, 0.99);
}

/* Pours `amount` over the children of `up` by weight, no child getting more
 * than it can use; then on down the tree. */
static void
entitle(const struct replay *r, const struct window *w, int up, double amount,
    double *out)
{
	size_t n = r->t->nteams;
	bool sated[64] = {false};
	bool again = true;

	while (again) {
		double left = amount;
		double weight = 0;

		again = false;
		for (size_t i = 0; i < n; i++) {
			if (r->parent[i] != up)
				continue;
			if (sated[i])
				left -= out[i];
			else
				weight += r->t->teams[i].share;
		}
		for (size_t i = 0; i < n; i++) {
			if (r->parent[i] != up || sated[i])
				continue;
			out[i] = left * r->t->teams[i].share / weight;
			if (w->emptied[i] && w->received[i] < out[i]) {
				out[i] = w->received[i];
				sated[i] = true;
				again = true;
			}
		}
	}
	for (size_t i = 0; i < n; i++) {
		if (r->parent[i] == up)
			entitle(r, w, (int)i, out[i], out);
	}
}

static void
judge_window(const struct replay *r, const struct window *w, GArray *errors,
    struct replay_result *res)
{
	double due[64] = {0};
	double done = 0;

	entitle(r, w, -1, w->total, due);
	for (size_t i = 0; i < r->t->nteams; i++) {
		if (r->parent[i] < 0)
			done += w->completed[i];
	}
	for (size_t i = 0; i < r->t->nteams; i++) {
		double e = 100 * fabs(w->received[i] / due[i] - 1);
		double c =
		    100 * fabs(w->completed[i] * w->total / done / due[i] - 1);

		if (due[i] <= 0)
			continue;
		g_array_append_val(errors, e);
		res->error_received_pct = MAX(res->error_received_pct, e);
		res->error_completed_pct = MAX(res->error_completed_pct, c);
	}
}

static void
judge(const struct replay *r, struct replay_result *res)
{
	double cap = (double)r->t->nservers * r->t->server.cpu_milli / 1000;
	GArray *errors = g_array_new(FALSE, FALSE, sizeof(double));
	double held = 0;

	for (size_t w = 0; w < r->nwin; w++) {
		const struct window *x = &r->win[w];

		held += x->total;
		if (w == 0 || x->total < FULL_PART * cap * WINDOW / OGL_SEC)
			continue;
		res->windows++;
		judge_window(r, x, errors, res);
	}
	qsort(errors->data, errors->len, sizeof(double), by_value);
	res->error_typical_pct = quantile(errors, 0.5);
	res->busy_pct = 100 * held / (cap * r->t->length / OGL_SEC);
	g_array_free(errors, TRUE);
}

static void
replay_init(struct replay *r, const struct trace *t)
{
	r->t = t;
	r->room = g_new(struct ogl_res, t->nservers);
	for (uint32_t s = 0; s < t->nservers; s++)
		r->room[s] = t->server;
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
		r->win[w].emptied = g_new0(bool, t->nteams);
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
		g_free(r->win[w].emptied);
	}
	g_free(r->win);
	g_free(r->room);
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
	judge_waits(&r, policy == &ogl_queue_learned, res);
	judge(&r, res);
	replay_end(&r);
}
