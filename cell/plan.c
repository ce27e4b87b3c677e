/*
 * Decides the number of shards of a new cell from the number of its workers and
 * the processors of its hosts.
 *
 * The listed workers are counted until the count has stayed the same for
 * STABLE_TIME.  When all machines start together, workers appear in the list
 * with their first heartbeats, several at a time, so an early count would be too
 * low, and the number of shards cannot be changed once decided.
 *
 * The list of a large cell has megabytes, so only one node counts at a time: the
 * first whose turn is on the store.  Nodes ask for it after a random delay, and
 * those on small machines last.
 */

#include "plan.h"

#define START_DELAY_RANGE_MS 300
#define SMALL_MACHINE_DELAY_MS 900
/* Nodes on machines with fewer thousandths of a processor start counting
 * later, by SMALL_MACHINE_DELAY_MS. */
#define SMALL_MACHINE_CPU_MILLI 400
#define COUNT_INTERVAL (300 * OGL_MS)
/* Longer than the time between two heartbeats of a worker, so that each worker
 * that has started is in the list by then. */
#define STABLE_TIME (1800 * OGL_MS)
/* After this time a count decides even if it has changed lately or is zero. */
#define DECISION_TIMEOUT (8 * OGL_SEC)
#define RETRY_DELAY (200 * OGL_MS)
#define LIST_TIMEOUT_MS 2000

struct cell_plan {
	const struct cell_ops *ops;
	struct cell_plan_events events;
	ogl_time start_delay;
	ogl_time started_at; /* first step; 0 none yet */
	ogl_time next_request_at;
	bool request_pending;
	char *after;          /* last key read; NULL: a new count begins */
	GHashTable *services; /* name -> number of workers, as a pointer */
	size_t count_so_far;  /* workers in the present count */
	size_t last_count;    /* result of the last count; SIZE_MAX none */
	ogl_time changed_at;  /* first count with that result */
	uint32_t cpu_milli;   /* of this host */
};

struct cell_plan *
cell_plan_init(const struct cell_ops *ops,
    const struct cell_plan_events *events, uint32_t cpu_milli, uint64_t seed)
{
	struct cell_plan *p = g_new0(struct cell_plan, 1);

	p->ops = ops;
	p->events = *events;
	p->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p->last_count = SIZE_MAX;
	p->cpu_milli = cpu_milli;
	p->start_delay = (ogl_time)(seed % START_DELAY_RANGE_MS) * OGL_MS;
	if (cpu_milli > 0 && cpu_milli < SMALL_MACHINE_CPU_MILLI)
		p->start_delay += SMALL_MACHINE_DELAY_MS * OGL_MS;
	return p;
}

void
cell_plan_end(struct cell_plan *p)
{
	g_hash_table_unref(p->services);
	g_free(p->after);
	g_free(p);
}

static void
count_worker(struct cell_plan *p, const char *service)
{
	size_t n = GPOINTER_TO_SIZE(g_hash_table_lookup(p->services, service));

	g_hash_table_replace(
	    p->services, g_strdup(service), GSIZE_TO_POINTER(n + 1));
	p->count_so_far++;
}

static size_t
smallest_service(const struct cell_plan *p)
{
	size_t least = p->count_so_far;
	GHashTableIter it;
	gpointer n;

	g_hash_table_iter_init(&it, p->services);
	while (g_hash_table_iter_next(&it, NULL, &n))
		least = MIN(least, GPOINTER_TO_SIZE(n));
	return least;
}

static void
decide(struct cell_plan *p, ogl_time now)
{
	bool timed_out = now - p->started_at > DECISION_TIMEOUT;
	bool stable;

	p->next_request_at = now + COUNT_INTERVAL;
	if (p->count_so_far != p->last_count)
		p->changed_at = now;
	p->last_count = p->count_so_far;
	stable = p->last_count > 0 && now - p->changed_at >= STABLE_TIME;
	if (stable || timed_out)
		p->events.decided(p->events.arg,
		    cell_shards_wanted(
			p->last_count, smallest_service(p), p->cpu_milli),
		    now);
}

static void
on_page(void *arg, const struct cell_newest_answer *a, ogl_time now)
{
	struct cell_plan *p = arg;
	size_t i;

	p->request_pending = false;
	if (a->io != OGL_IO_OK) {
		p->next_request_at = now + RETRY_DELAY;
		return;
	}
	for (i = 0; i < a->n; i++) {
		if (a->records[i].worker != NULL)
			count_worker(p, a->records[i].worker->service);
	}
	g_free(p->after);
	p->after =
	    a->more && a->n > 0 ? g_strdup(a->records[a->n - 1].key) : NULL;
	if (p->after == NULL)
		decide(p, now);
}

void
cell_plan_step(struct cell_plan *p, ogl_time now)
{
	struct cell_newest q = {.stream = CELL_WORKERS,
	    .after = p->after,
	    .timeout_ms = LIST_TIMEOUT_MS};

	if (p->started_at == 0) {
		p->started_at = now;
		p->next_request_at = now + p->start_delay;
	}
	if (p->request_pending || now < p->next_request_at ||
	    !p->events.takes_turn(p->events.arg, now))
		return;
	p->request_pending = true;
	if (p->after == NULL) {
		g_hash_table_remove_all(p->services);
		p->count_so_far = 0;
	}
	p->ops->newest(p->ops->backend_ctx, &q, on_page, p);
}
