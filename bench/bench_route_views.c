/*
 * Routing by several nodes that each see only their own requests.
 *
 * Eight nodes send to fifty executors of eight slots, five of them three
 * times slower.  An executor with no slot free refuses, which its node learns
 * a round trip later and then tries elsewhere.  Compared are the router, a
 * draw by chance, and the fewest own requests in flight.
 */

#include <stdio.h>
#include <stdlib.h>

#include "lib_mix.h"

#define NODES 8
#define EXECUTORS 50
#define SLOW 5
#define SLOW_TIMES 3
#define SLOTS 8
#define SERVICE_US 50000.0
#define ONE_WAY OGL_MS
#define REQUESTS 250000
#define WARM_UP 25000
#define TRIES 8
#define AGAIN (5 * OGL_MS) /* a queue with nothing in flight */

enum what {
	ARRIVES,
	REACHES, /* an executor */
	ENDS,    /* at the executor */
	ANSWERS, /* reaches its node */
	REFUSED, /* reaches its node */
	LOOKS    /* a node looks at its queue again */
};

enum policy {
	ROUTER,
	CHANCE,
	FEWEST
};

struct request {
	ogl_time since;
	uint32_t t;
	uint8_t node, tries;
	uint32_t tried[TRIES];
};

struct node {
	struct ogl_route *route;
	uint32_t flights[EXECUTORS];
	GArray *queue; /* uint32_t requests, from head on */
	guint head;
};

struct world {
	enum policy policy;
	struct mix m;
	double mean_gap;
	struct mix_heap events;
	struct node nodes[NODES];
	uint32_t busy[EXECUTORS];
	struct request *requests;
	uint32_t arrived, done;
	uint64_t refusals;
	double *ms;
};

static void
event(struct world *w, ogl_time at, enum what what, uint32_t id)
{
	mix_heap_push(&w->events, at, (uint64_t)what << 32 | id);
}

static bool
plain_pick(struct world *w, struct node *n, struct request *q)
{
	uint32_t i, t, best = UINT32_MAX;
	uint32_t at = (uint32_t)(mix_uniform(&w->m) * EXECUTORS);

	for (i = 0; i < EXECUTORS; i++) {
		t = (at + i) % EXECUTORS;
		if (n->flights[t] >= SLOTS)
			continue;
		if (best == UINT32_MAX || n->flights[t] < n->flights[best])
			best = t;
		if (w->policy == CHANCE)
			break;
	}
	if (best == UINT32_MAX)
		return false;
	n->flights[best]++;
	q->t = best;
	return true;
}

static bool
dispatch(struct world *w, uint32_t id, ogl_time now)
{
	struct request *q = &w->requests[id];
	struct node *n = &w->nodes[q->node];

	if (w->policy == ROUTER) {
		if (!ogl_route_pick(
			n->route, id, q->tried, q->tries, now, &q->t))
			return false;
	} else if (!plain_pick(w, n, q)) {
		return false;
	}
	event(w, now + ONE_WAY, REACHES, id);
	return true;
}

static void
drain(struct world *w, struct node *n, ogl_time now)
{
	uint32_t id;

	while (n->head < n->queue->len) {
		id = g_array_index(n->queue, uint32_t, n->head);
		if (!dispatch(w, id, now)) {
			event(w, now + AGAIN, LOOKS, (uint32_t)(n - w->nodes));
			return;
		}
		n->head++;
	}
}

static void
arrives(struct world *w, ogl_time now)
{
	struct request *q = &w->requests[w->arrived];
	struct node *n;

	q->since = now;
	q->node = (uint8_t)(mix_uniform(&w->m) * NODES);
	n = &w->nodes[q->node];
	g_array_append_val(n->queue, w->arrived);
	if (n->queue->len - n->head == 1)
		drain(w, n, now);
	if (++w->arrived < REQUESTS)
		event(w,
		    now + (ogl_time)mix_exponential(&w->m, w->mean_gap) + 1,
		    ARRIVES, 0);
}

static void
reaches(struct world *w, uint32_t id, ogl_time now)
{
	struct request *q = &w->requests[id];
	double mean = SERVICE_US * (q->t < SLOW ? SLOW_TIMES : 1);

	if (w->busy[q->t] == SLOTS) {
		w->refusals++;
		event(w, now + ONE_WAY, REFUSED, id);
		return;
	}
	w->busy[q->t]++;
	event(w, now + (ogl_time)mix_exponential(&w->m, mean) + 1, ENDS, id);
}

static void
left(struct world *w, uint32_t id, enum ogl_io_result io, ogl_time now)
{
	struct request *q = &w->requests[id];
	struct node *n = &w->nodes[q->node];

	if (w->policy == ROUTER)
		ogl_route_request_done(
		    n->route, q->t, id, io, io == OGL_IO_OK ? 200 : 503, now);
	else
		n->flights[q->t]--;
	if (io == OGL_IO_OK) {
		if (id >= WARM_UP)
			w->ms[w->done++] = (double)(now - q->since) / OGL_MS;
	} else {
		/* After many refusals all executors are worth a try again. */
		if (q->tries == TRIES)
			q->tries = 0;
		q->tried[q->tries++] = q->t;
		if (!dispatch(w, id, now))
			g_array_append_val(n->queue, id);
	}
	drain(w, n, now);
}

static void
run(enum policy policy, double load, const char *suffix)
{
	double slots = EXECUTORS - SLOW + (double)SLOW / SLOW_TIMES;
	struct world w = {.policy = policy, .m = {4}};
	struct mix_event e;
	uint32_t i, id, t;
	char name[32];

	w.mean_gap = SERVICE_US / (slots * SLOTS * load);
	w.requests = g_new0(struct request, REQUESTS);
	w.ms = g_new(double, REQUESTS);
	for (i = 0; i < NODES; i++) {
		w.nodes[i].queue = g_array_new(FALSE, FALSE, sizeof(uint32_t));
		w.nodes[i].route = ogl_route_init(i, "z0");
		for (t = 0; t < EXECUTORS; t++) {
			snprintf(name, sizeof(name), "e%u", t);
			ogl_route_set_target(
			    w.nodes[i].route, name, "z0", SLOTS, false, 1);
		}
	}
	event(&w, 1, ARRIVES, 0);
	while (w.done < REQUESTS - WARM_UP && mix_heap_pop(&w.events, &e)) {
		id = (uint32_t)e.what;
		switch ((enum what)(e.what >> 32)) {
		case ARRIVES:
			arrives(&w, e.at);
			break;
		case REACHES:
			reaches(&w, id, e.at);
			break;
		case ENDS:
			w.busy[w.requests[id].t]--;
			event(&w, e.at + ONE_WAY, ANSWERS, id);
			break;
		case ANSWERS:
			left(&w, id, OGL_IO_OK, e.at);
			break;
		case REFUSED:
			left(&w, id, OGL_IO_REFUSED, e.at);
			break;
		case LOOKS:
			drain(&w, &w.nodes[id], e.at);
			break;
		}
	}
	qsort(w.ms, w.done, sizeof(*w.ms), mix_by_double);
	printf("route_views_p50_ms%s %.1f ms\n", suffix, w.ms[w.done / 2]);
	printf(
	    "route_views_p99_ms%s %.1f ms\n", suffix, w.ms[w.done / 100 * 99]);
	printf("route_views_refusals%s %.3f per_request\n", suffix,
	    (double)w.refusals / REQUESTS);
	for (i = 0; i < NODES; i++) {
		ogl_route_end(w.nodes[i].route);
		g_array_free(w.nodes[i].queue, TRUE);
	}
	mix_heap_clear(&w.events);
	g_free(w.ms);
	g_free(w.requests);
}

int
main(void)
{
	run(ROUTER, 0.7, "_70");
	run(CHANCE, 0.7, "_70_chance");
	run(FEWEST, 0.7, "_70_fewest");
	run(ROUTER, 0.95, "_95");
	run(CHANCE, 0.95, "_95_chance");
	run(FEWEST, 0.95, "_95_fewest");
	return 0;
}
