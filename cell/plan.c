/*
 * The list of workers is counted until two counts in a row are equal: when
 * all machines start together, workers come onto it within their first
 * heartbeats, and a number decided too early would hold for good.  Nodes begin
 * at random times and the weak ones last, so that most find it decided and
 * read no list.
 */

#include "plan.h"

#define SPREAD_MS 300
#define WEAK_LATER_MS 900
#define WEAK 400 /* thousandths of a processor */
#define COUNT_AGAIN (300 * OGL_MS)
/* A list still changing, or empty, after this time decides all the same. */
#define WAIT_MAX (5 * OGL_SEC)
#define RETRY (200 * OGL_MS)
#define LIST_TIMEOUT_MS 2000

struct cell_plan {
	const struct cell_ops *ops;
	struct cell_plan_events events;
	ogl_time delay;
	ogl_time begun; /* 0 not yet */
	ogl_time ask_at;
	bool asking;
	char *after;
	GHashTable *services; /* name -> workers counted, as a pointer */
	size_t counting;
	size_t counted; /* last time, SIZE_MAX never */
};

struct cell_plan *
cell_plan_init(const struct cell_ops *ops,
    const struct cell_plan_events *events, uint32_t strength, uint64_t seed)
{
	struct cell_plan *p = g_new0(struct cell_plan, 1);

	p->ops = ops;
	p->events = *events;
	p->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p->counted = SIZE_MAX;
	p->delay = (ogl_time)(seed % SPREAD_MS) * OGL_MS;
	if (strength > 0 && strength < WEAK)
		p->delay += WEAK_LATER_MS * OGL_MS;
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
count(struct cell_plan *p, const char *service)
{
	size_t n = GPOINTER_TO_SIZE(g_hash_table_lookup(p->services, service));

	g_hash_table_replace(
	    p->services, g_strdup(service), GSIZE_TO_POINTER(n + 1));
	p->counting++;
}

static size_t
smallest_service(const struct cell_plan *p)
{
	size_t least = p->counting;
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
	bool steady = p->counting > 0 && p->counting == p->counted;
	bool late = now - p->begun > WAIT_MAX;

	p->ask_at = now + COUNT_AGAIN;
	p->counted = p->counting;
	if (steady || late)
		p->events.decided(p->events.arg,
		    cell_shards_wanted(p->counted, smallest_service(p)), now);
}

static void
on_page(void *arg, const struct cell_newest_answer *a, ogl_time now)
{
	struct cell_plan *p = arg;
	size_t i;

	p->asking = false;
	if (a->io != OGL_IO_OK) {
		p->ask_at = now + RETRY;
		return;
	}
	for (i = 0; i < a->n; i++) {
		if (a->records[i].worker != NULL)
			count(p, a->records[i].worker->service);
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

	if (p->begun == 0) {
		p->begun = now;
		p->ask_at = now + p->delay;
	}
	if (p->asking || now < p->ask_at)
		return;
	p->asking = true;
	if (p->after == NULL) {
		g_hash_table_remove_all(p->services);
		p->counting = 0;
	}
	p->ops->newest(p->ops->outside, &q, on_page, p);
}
