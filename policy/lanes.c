/*
 * Fair queueing by the time that the service works for each queue.
 *
 * If questions went in the order of the scheduler alone, the queue of a higher
 * rank would use the service whenever one of its stages has a question, and
 * gangs without room always have one.  Stages of lower ranks that could start
 * at once would wait for seconds for their first answer while the cell has room
 * for them.
 *
 * Each queue has a virtual time, which rises by the time that its questions
 * take.  The queue with the least virtual time asks next.  One that had no
 * question for a while begins at the virtual time of the others: it has no
 * claim to what it did not use.
 */

#include <glib.h>

#include "lanes.h"

struct ogl_lanes_queue {
	double vtime_ms;
	double used_ms;
	uint64_t round; /* last round in which it had questions */
	bool asking;    /* has questions in this round */
};

struct ogl_lanes {
	GHashTable *by_name; /* name -> struct ogl_lanes_queue */
	uint64_t round;
	/* Virtual time of the queue that asked last.  It never falls. */
	double vclock_ms;
};

struct ogl_lanes *
ogl_lanes_init(void)
{
	struct ogl_lanes *l = g_new0(struct ogl_lanes, 1);

	l->by_name =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return l;
}

void
ogl_lanes_end(struct ogl_lanes *l)
{
	g_hash_table_unref(l->by_name);
	g_free(l);
}

struct ogl_lanes_queue *
ogl_lanes_queue(struct ogl_lanes *l, const char *name)
{
	struct ogl_lanes_queue *q = g_hash_table_lookup(l->by_name, name);

	if (q == NULL) {
		q = g_new0(struct ogl_lanes_queue, 1);
		g_hash_table_insert(l->by_name, g_strdup(name), q);
	}
	return q;
}

void
ogl_lanes_begin(struct ogl_lanes *l)
{
	GHashTableIter it;
	gpointer p;

	l->round++;
	g_hash_table_iter_init(&it, l->by_name);
	while (g_hash_table_iter_next(&it, NULL, &p))
		((struct ogl_lanes_queue *)p)->asking = false;
}

void
ogl_lanes_add(struct ogl_lanes *l, struct ogl_lanes_queue *q)
{
	if (q->asking)
		return;
	q->asking = true;
	if (q->round + 1 < l->round)
		q->vtime_ms = MAX(q->vtime_ms, l->vclock_ms);
	q->round = l->round;
}

void
ogl_lanes_remove(struct ogl_lanes *l, struct ogl_lanes_queue *q)
{
	(void)l;
	q->asking = false;
}

struct ogl_lanes_queue *
ogl_lanes_next(const struct ogl_lanes *l)
{
	struct ogl_lanes_queue *best = NULL;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, l->by_name);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct ogl_lanes_queue *q = p;

		if (q->asking && (best == NULL || q->vtime_ms < best->vtime_ms))
			best = q;
	}
	return best;
}

void
ogl_lanes_charge(struct ogl_lanes *l, struct ogl_lanes_queue *q, double ms)
{
	l->vclock_ms = MAX(l->vclock_ms, q->vtime_ms);
	q->vtime_ms += ms;
	q->used_ms += ms;
}

double
ogl_lanes_used_ms(const struct ogl_lanes_queue *q)
{
	return q->used_ms;
}
