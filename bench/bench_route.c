/*
 * Routing: cost of a decision, memory, and recovery from a metastable overload.
 *
 * The simulation: for 30 s callers offer 1.5 times the executors' capacity and
 * a tenth of the executors fails all requests.  Afterwards the load is 0.7 and
 * all executors work.  Each caller has a timeout of 1 s and retries at once
 * after a refusal, a failure or a timeout, up to CALLER_ATTEMPTS attempts.
 * Without guards (an unbounded queue, retries without a budget, no circuit
 * breaker) the queue becomes so long that each answer arrives after the
 * caller's timeout, and the retries keep the queue long.
 */

#include <stdio.h>
#include <stdlib.h>

#include "budget.h"
#include "lib_mix.h"
#include "route.h"

#define EXECUTORS 50
#define FAULTY_EXECUTORS 5
#define SLOTS 8
#define SERVICE_MEAN_US 100000.0
#define FAULT_MEAN_US 1000.0
#define CAPACITY_PER_S                                                         \
	(EXECUTORS * SLOTS * 1e6 / SERVICE_MEAN_US) /* requests */
#define OVERLOAD_END (30 * OGL_SEC)
#define RUN_END (120 * OGL_SEC)
#define OVERLOAD_LOAD 1.5
#define RECOVERY_LOAD 0.7
#define CALLER_TIMEOUT OGL_SEC  /* of one attempt */
#define ROUND_TRIP (6 * OGL_MS) /* from a caller to the node and back */
#define CALLER_ATTEMPTS 5
#define NODE_ATTEMPTS 3
#define QUEUE_WAIT_MAX_MS 500 /* longest wait in a bounded queue */
#define RECOVERED_PART 0.95   /* of the requests offered in a second */
#define RECOVERED_S 5         /* consecutive seconds for a recovery */

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

/* Cost of a pick with 90% of the slots in use.  An answer follows each pick. */
static void
measure_cost(uint32_t targets, const char *suffix)
{
	const uint32_t n = 200000, in_use = targets * SLOTS * 9 / 10;
	struct ogl_route *r = make_route(targets);
	struct mix m = {5};
	uint32_t *at = g_new(uint32_t, in_use);
	uint64_t *id = g_new(uint64_t, in_use);
	double *ns = g_new(double, n), start;
	ogl_time now = OGL_SEC;
	uint64_t last = 0;
	uint32_t i, j;

	for (j = 0; j < in_use; j++) {
		id[j] = ++last;
		if (!ogl_route_pick(r, last, NULL, 0, now, &at[j]))
			at[j] = UINT32_MAX;
	}
	for (i = 0; i < n; i++) {
		now += 100;
		j = (uint32_t)(mix_uniform(&m) * in_use);
		ogl_route_request_done(r, at[j], id[j], OGL_IO_OK, 200, now);
		id[j] = ++last;
		start = mix_now_ns();
		if (!ogl_route_pick(r, last, NULL, 0, now, &at[j]))
			at[j] = UINT32_MAX;
		ns[i] = mix_now_ns() - start;
	}
	qsort(ns, n, sizeof(*ns), mix_compare_double);
	printf("route_ns%s %.0f ns\n", suffix, ns[n / 2]);
	printf("route_p99_ns%s %.0f ns\n", suffix, ns[n / 100 * 99]);
	printf("route_bytes_target%s %.0f B\n", suffix,
	    (double)ogl_route_bytes(r) / targets);
	g_free(ns);
	g_free(id);
	g_free(at);
	ogl_route_end(r);
}

/* ---- simulation ------------------------------------------------------- */

enum type {
	CALLER_ARRIVES, /* a new caller sends its request */
	CALLER_RETRIES, /* a caller repeats its request */
	CALLER_TIMES_OUT,
	REQUEST_ENDS /* at the executor */
};

struct caller {
	uint32_t request; /* that it waits for, UINT32_MAX for none */
	uint8_t attempts;
};

struct request {
	uint32_t caller;
	uint32_t executor;
	ogl_time sent_at;
	uint8_t attempts;
	uint32_t tried[NODE_ATTEMPTS];
};

/* Mechanisms against a metastable overload. */
struct guards {
	bool queue_bound;  /* limits the expected wait in the queue */
	bool breaker;      /* excludes failing executors */
	bool retry_budget; /* limits retries to a part of the successes */
};

struct simulation {
	struct guards guards;
	struct mix m;
	struct ogl_route *route;
	struct ogl_budget retry_budget;
	uint32_t in_flight[EXECUTORS]; /* requests, used without the router */
	struct mix_heap events;
	GArray *callers, *requests;
	GArray *queue; /* uint32_t, indexes of requests, starting at head */
	guint head;
	uint32_t offered[RUN_END / OGL_SEC + 1];
	uint32_t served[RUN_END / OGL_SEC + 1];
};

static void
add_event(struct simulation *sim, ogl_time at, enum type type, uint32_t caller)
{
	mix_heap_push(&sim->events, at, (uint64_t)type << 32 | caller);
}

static struct request *
request_at(struct simulation *sim, uint32_t i)
{
	return &g_array_index(sim->requests, struct request, i);
}

/* A request failed, was refused or timed out; its caller may retry. */
static void
fail_request(struct simulation *sim, uint32_t id, ogl_time now)
{
	uint32_t caller = request_at(sim, id)->caller;
	struct caller *c = &g_array_index(sim->callers, struct caller, caller);

	if (c->request != id)
		return;
	c->request = UINT32_MAX;
	if (c->attempts < CALLER_ATTEMPTS)
		add_event(sim, now + ROUND_TRIP, CALLER_RETRIES, caller);
}

/* The less loaded of two random executors, instead of the router. */
static bool
pick_without_router(struct simulation *sim, uint32_t *executor)
{
	uint32_t a, b, i;

	for (i = 0; i < EXECUTORS; i++) {
		a = (uint32_t)(mix_uniform(&sim->m) * EXECUTORS);
		b = (uint32_t)(mix_uniform(&sim->m) * EXECUTORS);
		*executor = sim->in_flight[a] <= sim->in_flight[b] ? a : b;
		if (sim->in_flight[*executor] >= SLOTS)
			continue;
		sim->in_flight[*executor]++;
		return true;
	}
	return false;
}

/* Sends a request to an executor.  Returns false if none has a free slot. */
static bool
dispatch(struct simulation *sim, uint32_t id, ogl_time now)
{
	struct request *q = request_at(sim, id);
	double mean;

	if (sim->guards.breaker) {
		if (!ogl_route_pick(sim->route, id, q->tried, q->attempts, now,
			&q->executor))
			return false;
	} else if (!pick_without_router(sim, &q->executor)) {
		return false;
	}
	q->tried[q->attempts++] = q->executor;
	mean = q->executor < FAULTY_EXECUTORS && now < OVERLOAD_END
		   ? FAULT_MEAN_US
		   : SERVICE_MEAN_US;
	add_event(sim, now + (ogl_time)mix_exponential(&sim->m, mean) + 1,
	    REQUEST_ENDS, id);
	return true;
}

/* Sends queued requests while there are free slots. */
static void
send_queued(struct simulation *sim, ogl_time now)
{
	uint32_t id;

	while (sim->head < sim->queue->len) {
		id = g_array_index(sim->queue, uint32_t, sim->head);
		if (sim->guards.queue_bound &&
		    now - request_at(sim, id)->sent_at >
			QUEUE_WAIT_MAX_MS * OGL_MS) {
			fail_request(sim, id, now);
		} else if (!dispatch(sim, id, now)) {
			break;
		}
		sim->head++;
	}
}

/* Expected wait; without the router from the executors' nominal capacity. */
static uint64_t
wait_ms(const struct simulation *sim, size_t ahead, ogl_time now)
{
	if (sim->guards.breaker)
		return ogl_route_wait_ms(sim->route, ahead, now);
	return (uint64_t)(ahead * 1000 / CAPACITY_PER_S);
}

static void
send_request(struct simulation *sim, uint32_t caller, ogl_time now)
{
	struct caller *c = &g_array_index(sim->callers, struct caller, caller);
	struct request q = {.caller = caller, .sent_at = now};
	uint32_t id = sim->requests->len;
	size_t ahead = sim->queue->len - sim->head;

	g_array_append_val(sim->requests, q);
	c->request = id;
	c->attempts++;
	add_event(sim, now + CALLER_TIMEOUT, CALLER_TIMES_OUT, id);
	if (ahead == 0 && dispatch(sim, id, now))
		return;
	if (sim->guards.queue_bound &&
	    wait_ms(sim, ahead, now) > QUEUE_WAIT_MAX_MS)
		fail_request(sim, id, now);
	else
		g_array_append_val(sim->queue, id);
}

/* An executor failed a request; it may be sent to another one. */
static void
retry_elsewhere(struct simulation *sim, uint32_t id, ogl_time now)
{
	struct request *q = request_at(sim, id);

	if (q->attempts >= NODE_ATTEMPTS ||
	    (sim->guards.retry_budget &&
		!ogl_budget_take(&sim->retry_budget, now)) ||
	    !dispatch(sim, id, now))
		fail_request(sim, id, now);
}

static void
end_request(struct simulation *sim, uint32_t id, ogl_time now)
{
	struct request *q = request_at(sim, id);
	struct caller *c =
	    &g_array_index(sim->callers, struct caller, q->caller);
	bool ok = q->executor >= FAULTY_EXECUTORS || now >= OVERLOAD_END;

	if (sim->guards.retry_budget && ok)
		ogl_budget_success(&sim->retry_budget);
	if (sim->guards.breaker) {
		ogl_route_request_done(sim->route, q->executor, id, OGL_IO_OK,
		    ok ? 200 : 500, now);
	} else {
		sim->in_flight[q->executor]--;
	}
	if (!ok) {
		retry_elsewhere(sim, id, now);
	} else if (c->request == id) {
		c->request = UINT32_MAX;
		sim->served[now / OGL_SEC]++;
	}
	send_queued(sim, now);
}

static void
add_caller(struct simulation *sim, ogl_time now)
{
	struct caller c = {0};
	double load = now < OVERLOAD_END ? OVERLOAD_LOAD : RECOVERY_LOAD;
	ogl_time next = now + (ogl_time)mix_exponential(
				  &sim->m, 1e6 / (CAPACITY_PER_S * load));

	g_array_append_val(sim->callers, c);
	sim->offered[now / OGL_SEC]++;
	send_request(sim, sim->callers->len - 1, now);
	add_event(sim, next, CALLER_ARRIVES, 0);
}

/*
 * Seconds from the end of the overload until callers are served again; the
 * remaining length of the run if they never are.
 */
static int
recovery_s(const struct simulation *sim)
{
	const int first = OVERLOAD_END / OGL_SEC, end = RUN_END / OGL_SEC;
	int s, recovered_s = 0;

	for (s = first; s < end && recovered_s < RECOVERED_S; s++)
		recovered_s = sim->served[s] >= RECOVERED_PART * sim->offered[s]
				  ? recovered_s + 1
				  : 0;
	return recovered_s == RECOVERED_S ? s - recovered_s - first
					  : end - first;
}

static void
measure_recovery(struct guards guards, const char *suffix)
{
	struct simulation sim = {.guards = guards, .m = {9}};
	struct mix_event e;
	uint64_t sum = 0;
	uint32_t caller, s;

	sim.route = make_route(EXECUTORS);
	ogl_budget_init(&sim.retry_budget, 0);
	sim.callers = g_array_new(FALSE, FALSE, sizeof(struct caller));
	sim.requests = g_array_new(FALSE, FALSE, sizeof(struct request));
	sim.queue = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	add_event(&sim, 1, CALLER_ARRIVES, 0);
	while (mix_heap_pop(&sim.events, &e) && e.at < RUN_END) {
		caller = (uint32_t)e.data;
		switch ((enum type)(e.data >> 32)) {
		case CALLER_ARRIVES:
			add_caller(&sim, e.at);
			break;
		case CALLER_RETRIES:
			send_request(&sim, caller, e.at);
			break;
		case CALLER_TIMES_OUT:
			fail_request(&sim, caller, e.at);
			break;
		case REQUEST_ENDS:
			end_request(&sim, caller, e.at);
			break;
		}
	}
	for (s = 0; s < OVERLOAD_END / OGL_SEC; s++)
		sum += sim.served[s];
	printf("metastable_recover_s%s %d s\n", suffix, recovery_s(&sim));
	printf("metastable_overload_served_pct%s %.1f pct\n", suffix,
	    100.0 * sum / (CAPACITY_PER_S * OVERLOAD_END / OGL_SEC));
	mix_heap_clear(&sim.events);
	g_array_free(sim.queue, TRUE);
	g_array_free(sim.requests, TRUE);
	g_array_free(sim.callers, TRUE);
	ogl_route_end(sim.route);
}

int
main(void)
{
	measure_cost(EXECUTORS, "");
	measure_cost(2000, "_2000");
	measure_recovery((struct guards){true, true, true}, "");
	measure_recovery((struct guards){false, false, false}, "_noguard");
	measure_recovery((struct guards){false, true, true}, "_nobound");
	measure_recovery((struct guards){true, false, true}, "_nobreaker");
	measure_recovery((struct guards){true, true, false}, "_nobudget");
	return 0;
}
