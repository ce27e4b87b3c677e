/*
 * Routing: cost of a decision, memory, and recovery from an overload that
 * feeds itself.
 *
 * The replay: callers offer 1.5 times what the executors can do for 30 s,
 * and a tenth of the executors fails every request in that time; then 0.7
 * times, all executors well.  Each caller waits a second, and repeats at once
 * after a refusal, a failure or a timeout, a few times.  Without guards (an
 * unbounded queue, retries of failures without a budget, no breaker) the
 * queue is then so long that each answer comes after its caller has gone,
 * and the repeats keep it so.
 */

#include <stdio.h>
#include <stdlib.h>

#include "budget.h"
#include "lib_mix.h"
#include "route.h"

#define EXECUTORS 50
#define FAULTY 5
#define SLOTS 8
#define SERVICE_US 100000.0
#define FAULT_US 1000.0
#define CAPACITY (EXECUTORS * SLOTS * 1e6 / SERVICE_US) /* a second */
#define OVERLOAD_END (30 * OGL_SEC)
#define RUN_END (120 * OGL_SEC)
#define OVERLOAD 1.5
#define AFTERWARDS 0.7
#define PATIENCE OGL_SEC        /* a caller's timeout */
#define ROUND_TRIP (6 * OGL_MS) /* caller to node and back */
#define CALLER_TRIES 5
#define NODE_TRIES 3
#define QUEUE_MS 500   /* longest wait with guards on */
#define WELL 0.95      /* of the offered, a second */
#define WELL_SECONDS 5 /* in a row */

/* ---- cost ------------------------------------------------------------- */

static struct ogl_route *
make_route(uint32_t targets)
{
	struct ogl_route *r = ogl_route_init(3, "z0");
	char name[32], zone[32];
	uint32_t i;

	for (i = 0; i < targets; i++) {
		snprintf(name, sizeof(name), "e%u", i);
		snprintf(zone, sizeof(zone), "z%u", i % 4);
		ogl_route_set_target(r, name, zone, SLOTS, false, 1);
	}
	return r;
}

/* Picks at 90% of the places in use; each pick is followed by an answer. */
static void
cost(uint32_t targets, const char *suffix)
{
	const uint32_t n = 200000, out = targets * SLOTS * 9 / 10;
	struct ogl_route *r = make_route(targets);
	struct mix m = {5};
	uint32_t *at = g_new(uint32_t, out);
	uint64_t *id = g_new(uint64_t, out);
	double *ns = g_new(double, n), start;
	ogl_time now = OGL_SEC;
	uint64_t last = 0;
	uint32_t i, j;

	for (j = 0; j < out; j++) {
		id[j] = ++last;
		if (!ogl_route_pick(r, last, NULL, 0, now, &at[j]))
			at[j] = UINT32_MAX;
	}
	for (i = 0; i < n; i++) {
		now += 100;
		j = (uint32_t)(mix_uniform(&m) * out);
		ogl_route_request_done(r, at[j], id[j], OGL_IO_OK, 200, now);
		id[j] = ++last;
		start = mix_now_ns();
		if (!ogl_route_pick(r, last, NULL, 0, now, &at[j]))
			at[j] = UINT32_MAX;
		ns[i] = mix_now_ns() - start;
	}
	qsort(ns, n, sizeof(*ns), mix_by_double);
	printf("route_ns%s %.0f ns\n", suffix, ns[n / 2]);
	printf("route_p99_ns%s %.0f ns\n", suffix, ns[n / 100 * 99]);
	printf("route_bytes_target%s %.0f B\n", suffix,
	    (double)ogl_route_bytes(r) / targets);
	g_free(ns);
	g_free(id);
	g_free(at);
	ogl_route_end(r);
}

/* ---- the replay ------------------------------------------------------- */

enum what {
	ARRIVES, /* a new caller */
	REPEATS, /* a caller sends again */
	TIMES_OUT,
	ENDS /* an executor is done with a request */
};

struct caller {
	uint32_t request; /* the one it waits for, UINT32_MAX for none */
	uint8_t tries;
};

struct request {
	uint32_t caller;
	uint32_t t; /* executor */
	ogl_time since;
	uint8_t tries;
	uint32_t tried[NODE_TRIES];
};

/* What keeps an overload from feeding itself. */
struct guards {
	bool bound;   /* the queue is bounded by time */
	bool breaker; /* failing executors are set aside */
	bool budget;  /* retries are paid for by successes */
};

struct world {
	struct guards guards;
	struct mix m;
	struct ogl_route *route;
	struct ogl_budget budget;
	uint32_t flights[EXECUTORS]; /* used without guards */
	struct mix_heap events;
	GArray *callers, *requests;
	GArray *queue; /* uint32_t requests, from head on */
	guint head;
	uint32_t offered[RUN_END / OGL_SEC + 1];
	uint32_t served[RUN_END / OGL_SEC + 1];
};

static void
event(struct world *w, ogl_time at, enum what what, uint32_t who)
{
	mix_heap_push(&w->events, at, (uint64_t)what << 32 | who);
}

static struct request *
request_at(struct world *w, uint32_t i)
{
	return &g_array_index(w->requests, struct request, i);
}

/* The caller of a request learns that it failed or was refused. */
static void
turned_down(struct world *w, uint32_t id, ogl_time now)
{
	uint32_t who = request_at(w, id)->caller;
	struct caller *c = &g_array_index(w->callers, struct caller, who);

	if (c->request != id)
		return;
	c->request = UINT32_MAX;
	if (c->tries < CALLER_TRIES)
		event(w, now + ROUND_TRIP, REPEATS, who);
}

/* The emptier of two executors, in place of the router. */
static bool
plain_pick(struct world *w, uint32_t *t)
{
	uint32_t a, b, i;

	for (i = 0; i < EXECUTORS; i++) {
		a = (uint32_t)(mix_uniform(&w->m) * EXECUTORS);
		b = (uint32_t)(mix_uniform(&w->m) * EXECUTORS);
		*t = w->flights[a] <= w->flights[b] ? a : b;
		if (w->flights[*t] >= SLOTS)
			continue;
		w->flights[*t]++;
		return true;
	}
	return false;
}

/* Sends a request to an executor; false when none has a place. */
static bool
dispatch(struct world *w, uint32_t id, ogl_time now)
{
	struct request *q = request_at(w, id);
	double mean;

	if (w->guards.breaker) {
		if (!ogl_route_pick(
			w->route, id, q->tried, q->tries, now, &q->t))
			return false;
	} else if (!plain_pick(w, &q->t)) {
		return false;
	}
	q->tried[q->tries++] = q->t;
	mean = q->t < FAULTY && now < OVERLOAD_END ? FAULT_US : SERVICE_US;
	event(w, now + (ogl_time)mix_exponential(&w->m, mean) + 1, ENDS, id);
	return true;
}

/* Sends what waits while there are places. */
static void
drain(struct world *w, ogl_time now)
{
	uint32_t id;

	while (w->head < w->queue->len) {
		id = g_array_index(w->queue, uint32_t, w->head);
		if (w->guards.bound &&
		    now - request_at(w, id)->since > QUEUE_MS * OGL_MS) {
			turned_down(w, id, now);
		} else if (!dispatch(w, id, now)) {
			break;
		}
		w->head++;
	}
}

/* Expected wait; without the router from what is known of the executors. */
static uint64_t
wait_ms(const struct world *w, size_t ahead, ogl_time now)
{
	if (w->guards.breaker)
		return ogl_route_wait_ms(w->route, ahead, now);
	return (uint64_t)(ahead * 1000 / CAPACITY);
}

static void
send(struct world *w, uint32_t who, ogl_time now)
{
	struct caller *c = &g_array_index(w->callers, struct caller, who);
	struct request q = {.caller = who, .since = now};
	uint32_t id = w->requests->len;
	size_t ahead = w->queue->len - w->head;

	g_array_append_val(w->requests, q);
	c->request = id;
	c->tries++;
	event(w, now + PATIENCE, TIMES_OUT, id);
	if (ahead == 0 && dispatch(w, id, now))
		return;
	if (w->guards.bound && wait_ms(w, ahead, now) > QUEUE_MS)
		turned_down(w, id, now);
	else
		g_array_append_val(w->queue, id);
}

/* An executor failed a request; it may be tried elsewhere. */
static void
try_again(struct world *w, uint32_t id, ogl_time now)
{
	struct request *q = request_at(w, id);

	if (q->tries >= NODE_TRIES ||
	    (w->guards.budget && !ogl_budget_take(&w->budget, now)) ||
	    !dispatch(w, id, now))
		turned_down(w, id, now);
}

static void
ends(struct world *w, uint32_t id, ogl_time now)
{
	struct request *q = request_at(w, id);
	struct caller *c = &g_array_index(w->callers, struct caller, q->caller);
	bool ok = q->t >= FAULTY || now >= OVERLOAD_END;

	if (w->guards.budget && ok)
		ogl_budget_success(&w->budget);
	if (w->guards.breaker) {
		ogl_route_request_done(
		    w->route, q->t, id, OGL_IO_OK, ok ? 200 : 500, now);
	} else {
		w->flights[q->t]--;
	}
	if (!ok) {
		try_again(w, id, now);
	} else if (c->request == id) {
		c->request = UINT32_MAX;
		w->served[now / OGL_SEC]++;
	}
	drain(w, now);
}

static void
arrives(struct world *w, ogl_time now)
{
	struct caller c = {0};
	double load = now < OVERLOAD_END ? OVERLOAD : AFTERWARDS;
	ogl_time next =
	    now + (ogl_time)mix_exponential(&w->m, 1e6 / (CAPACITY * load));

	g_array_append_val(w->callers, c);
	w->offered[now / OGL_SEC]++;
	send(w, w->callers->len - 1, now);
	event(w, next, ARRIVES, 0);
}

/*
 * Seconds from the end of the overload until callers are served again; all
 * of the rest of the run when they are not.
 */
static int
recovered_after(const struct world *w)
{
	const int first = OVERLOAD_END / OGL_SEC, end = RUN_END / OGL_SEC;
	int s, well = 0;

	for (s = first; s < end && well < WELL_SECONDS; s++)
		well = w->served[s] >= WELL * w->offered[s] ? well + 1 : 0;
	return well == WELL_SECONDS ? s - well - first : end - first;
}

static void
metastable(struct guards guards, const char *suffix)
{
	struct world w = {.guards = guards, .m = {9}};
	struct mix_event e;
	uint64_t sum = 0;
	uint32_t who, s;

	w.route = make_route(EXECUTORS);
	ogl_budget_init(&w.budget, 0);
	w.callers = g_array_new(FALSE, FALSE, sizeof(struct caller));
	w.requests = g_array_new(FALSE, FALSE, sizeof(struct request));
	w.queue = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	event(&w, 1, ARRIVES, 0);
	while (mix_heap_pop(&w.events, &e) && e.at < RUN_END) {
		who = (uint32_t)e.what;
		switch ((enum what)(e.what >> 32)) {
		case ARRIVES:
			arrives(&w, e.at);
			break;
		case REPEATS:
			send(&w, who, e.at);
			break;
		case TIMES_OUT:
			turned_down(&w, who, e.at);
			break;
		case ENDS:
			ends(&w, who, e.at);
			break;
		}
	}
	for (s = 0; s < OVERLOAD_END / OGL_SEC; s++)
		sum += w.served[s];
	printf("metastable_recover_s%s %d s\n", suffix, recovered_after(&w));
	printf("metastable_overload_served_pct%s %.1f pct\n", suffix,
	    100.0 * sum / (CAPACITY * OVERLOAD_END / OGL_SEC));
	mix_heap_clear(&w.events);
	g_array_free(w.queue, TRUE);
	g_array_free(w.requests, TRUE);
	g_array_free(w.callers, TRUE);
	ogl_route_end(w.route);
}

int
main(void)
{
	cost(EXECUTORS, "");
	cost(2000, "_2000");
	metastable((struct guards){true, true, true}, "");
	metastable((struct guards){false, false, false}, "_noguard");
	metastable((struct guards){false, true, true}, "_nobound");
	metastable((struct guards){true, false, true}, "_nobreaker");
	metastable((struct guards){true, true, false}, "_nobudget");
	return 0;
}
