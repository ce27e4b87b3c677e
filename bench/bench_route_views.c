/*
 * Routing by several nodes, each of which knows only its own requests.
 *
 * Eight nodes send to fifty executors of eight slots.  Five executors are three
 * times slower.  An executor without a free slot refuses a request; the node
 * gets the refusal a round trip after it sent the request and tries another
 * executor.  Three policies are compared: the router, a random executor, and
 * the executor with the fewest requests of the node in flight.
 */

#include <stdio.h>
#include <stdlib.h>

#include "lib_mix.h"

#define NODES 8
#define EXECUTORS 50
#define SLOW_EXECUTORS 5
#define SLOW_FACTOR 3
#define SLOTS 8
#define SERVICE_MEAN_US 50000.0
#define ONE_WAY_DELAY OGL_MS
#define REQUESTS 250000
#define WARM_UP_REQUESTS 25000
#define ATTEMPTS_MAX 8
#define QUEUE_RETRY_DELAY                                                      \
	(5 * OGL_MS) /* of a queue that no executor has room for */

enum type {
	CALLER_SENDS,
	EXECUTOR_RECEIVES, /* it has a free slot or refuses */
	EXECUTOR_ENDS,     /* it answers */
	NODE_GETS_ANSWER,
	NODE_GETS_REFUSAL,
	NODE_RETRIES_QUEUE /* after QUEUE_RETRY_DELAY */
};

enum policy {
	ROUTER,
	RANDOM,
	FEWEST_IN_FLIGHT
};

struct request {
	ogl_time arrived_at;
	uint32_t executor;
	uint8_t node, attempts;
	uint32_t tried[ATTEMPTS_MAX];
};

struct node {
	struct ogl_route *route;
	uint32_t in_flight[EXECUTORS];
	GArray *queue; /* uint32_t, indexes of requests, starting at head */
	guint head;
};

struct simulation {
	enum policy policy;
	struct mix m;
	double mean_gap;
	struct mix_heap events;
	struct node nodes[NODES];
	uint32_t busy[EXECUTORS];
	struct request *requests;
	uint32_t arrived, done;
	uint64_t refusals;
	double *latency_ms;
};

static void
add_event(struct simulation *sim, ogl_time at, enum type type, uint32_t id)
{
	mix_heap_push(&sim->events, at, (uint64_t)type << 32 | id);
}

static bool
pick_without_router(struct simulation *sim, struct node *n, struct request *q)
{
	uint32_t i, executor, best = UINT32_MAX;
	uint32_t at = (uint32_t)(mix_uniform(&sim->m) * EXECUTORS);

	for (i = 0; i < EXECUTORS; i++) {
		executor = (at + i) % EXECUTORS;
		if (n->in_flight[executor] >= SLOTS)
			continue;
		if (best == UINT32_MAX ||
		    n->in_flight[executor] < n->in_flight[best])
			best = executor;
		if (sim->policy == RANDOM)
			break;
	}
	if (best == UINT32_MAX)
		return false;
	n->in_flight[best]++;
	q->executor = best;
	return true;
}

static bool
dispatch(struct simulation *sim, uint32_t id, ogl_time now)
{
	struct request *q = &sim->requests[id];
	struct node *n = &sim->nodes[q->node];

	if (sim->policy == ROUTER) {
		if (!ogl_route_pick(
			n->route, id, q->tried, q->attempts, now, &q->executor))
			return false;
	} else if (!pick_without_router(sim, n, q)) {
		return false;
	}
	add_event(sim, now + ONE_WAY_DELAY, EXECUTOR_RECEIVES, id);
	return true;
}

static void
send_queued(struct simulation *sim, struct node *n, ogl_time now)
{
	uint32_t id;

	while (n->head < n->queue->len) {
		id = g_array_index(n->queue, uint32_t, n->head);
		if (!dispatch(sim, id, now)) {
			add_event(sim, now + QUEUE_RETRY_DELAY,
			    NODE_RETRIES_QUEUE, (uint32_t)(n - sim->nodes));
			return;
		}
		n->head++;
	}
}

static void
add_request(struct simulation *sim, ogl_time now)
{
	struct request *q = &sim->requests[sim->arrived];
	struct node *n;

	q->arrived_at = now;
	q->node = (uint8_t)(mix_uniform(&sim->m) * NODES);
	n = &sim->nodes[q->node];
	g_array_append_val(n->queue, sim->arrived);
	if (n->queue->len - n->head == 1)
		send_queued(sim, n, now);
	if (++sim->arrived < REQUESTS)
		add_event(sim,
		    now + (ogl_time)mix_exponential(&sim->m, sim->mean_gap) + 1,
		    CALLER_SENDS, 0);
}

static void
start_request(struct simulation *sim, uint32_t id, ogl_time now)
{
	struct request *q = &sim->requests[id];
	double mean =
	    SERVICE_MEAN_US * (q->executor < SLOW_EXECUTORS ? SLOW_FACTOR : 1);

	if (sim->busy[q->executor] == SLOTS) {
		sim->refusals++;
		add_event(sim, now + ONE_WAY_DELAY, NODE_GETS_REFUSAL, id);
		return;
	}
	sim->busy[q->executor]++;
	add_event(sim, now + (ogl_time)mix_exponential(&sim->m, mean) + 1,
	    EXECUTOR_ENDS, id);
}

static void
request_done(
    struct simulation *sim, uint32_t id, enum ogl_io_result io, ogl_time now)
{
	struct request *q = &sim->requests[id];
	struct node *n = &sim->nodes[q->node];

	if (sim->policy == ROUTER)
		ogl_route_request_done(n->route, q->executor, id, io,
		    io == OGL_IO_OK ? 200 : 503, now);
	else
		n->in_flight[q->executor]--;
	if (io == OGL_IO_OK) {
		if (id >= WARM_UP_REQUESTS)
			sim->latency_ms[sim->done++] =
			    (double)(now - q->arrived_at) / OGL_MS;
	} else {
		/* After ATTEMPTS_MAX refusals any executor may be retried. */
		if (q->attempts == ATTEMPTS_MAX)
			q->attempts = 0;
		q->tried[q->attempts++] = q->executor;
		if (!dispatch(sim, id, now))
			g_array_append_val(n->queue, id);
	}
	send_queued(sim, n, now);
}

static void
run(enum policy policy, double load, const char *suffix)
{
	double slots =
	    EXECUTORS - SLOW_EXECUTORS + (double)SLOW_EXECUTORS / SLOW_FACTOR;
	struct simulation sim = {.policy = policy, .m = {4}};
	struct mix_event e;
	uint32_t i, id, executor;
	char name[32];

	sim.mean_gap = SERVICE_MEAN_US / (slots * SLOTS * load);
	sim.requests = g_new0(struct request, REQUESTS);
	sim.latency_ms = g_new(double, REQUESTS);
	for (i = 0; i < NODES; i++) {
		sim.nodes[i].queue =
		    g_array_new(FALSE, FALSE, sizeof(uint32_t));
		sim.nodes[i].route = ogl_route_init(i, "z0");
		for (executor = 0; executor < EXECUTORS; executor++) {
			snprintf(name, sizeof(name), "e%u", executor);
			ogl_route_set_target(
			    sim.nodes[i].route, name, "z0", SLOTS, false, 1);
		}
	}
	add_event(&sim, 1, CALLER_SENDS, 0);
	while (sim.done < REQUESTS - WARM_UP_REQUESTS &&
	       mix_heap_pop(&sim.events, &e)) {
		id = (uint32_t)e.data;
		switch ((enum type)(e.data >> 32)) {
		case CALLER_SENDS:
			add_request(&sim, e.at);
			break;
		case EXECUTOR_RECEIVES:
			start_request(&sim, id, e.at);
			break;
		case EXECUTOR_ENDS:
			sim.busy[sim.requests[id].executor]--;
			add_event(
			    &sim, e.at + ONE_WAY_DELAY, NODE_GETS_ANSWER, id);
			break;
		case NODE_GETS_ANSWER:
			request_done(&sim, id, OGL_IO_OK, e.at);
			break;
		case NODE_GETS_REFUSAL:
			request_done(&sim, id, OGL_IO_REFUSED, e.at);
			break;
		case NODE_RETRIES_QUEUE:
			send_queued(&sim, &sim.nodes[id], e.at);
			break;
		}
	}
	qsort(sim.latency_ms, sim.done, sizeof(*sim.latency_ms),
	    mix_compare_double);
	printf("route_views_p50_ms%s %.1f ms\n", suffix,
	    sim.latency_ms[sim.done / 2]);
	printf("route_views_p99_ms%s %.1f ms\n", suffix,
	    sim.latency_ms[sim.done / 100 * 99]);
	printf("route_views_refusals%s %.3f per_request\n", suffix,
	    (double)sim.refusals / REQUESTS);
	for (i = 0; i < NODES; i++) {
		ogl_route_end(sim.nodes[i].route);
		g_array_free(sim.nodes[i].queue, TRUE);
	}
	mix_heap_clear(&sim.events);
	g_free(sim.latency_ms);
	g_free(sim.requests);
}

int
main(void)
{
	run(ROUTER, 0.7, "_70");
	run(RANDOM, 0.7, "_70_chance");
	run(FEWEST_IN_FLIGHT, 0.7, "_70_fewest");
	run(ROUTER, 0.95, "_95");
	run(RANDOM, 0.95, "_95_chance");
	run(FEWEST_IN_FLIGHT, 0.95, "_95_fewest");
	return 0;
}
