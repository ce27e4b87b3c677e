/*
 * The service works on one question at a time for each node.  A question whose
 * sender has given it up, or has ended, is worked on all the same.
 */

#include <stdlib.h>
#include <string.h>

#include "fake_advice.h"

#define WAITING_MAX 32 /* questions of a node */

struct fake_advice {
	unsigned nodes;
	GQueue *ends; /* by node: ogl_time of the ends of its questions */
};

struct fake_advice *
fake_advice_init(unsigned nodes)
{
	struct fake_advice *a = g_new0(struct fake_advice, 1);
	unsigned i;

	a->nodes = nodes;
	a->ends = g_new0(GQueue, nodes);
	for (i = 0; i < nodes; i++)
		g_queue_init(&a->ends[i]);
	return a;
}

void
fake_advice_end(struct fake_advice *a)
{
	unsigned i;

	for (i = 0; i < a->nodes; i++)
		g_queue_clear_full(&a->ends[i], g_free);
	g_free(a->ends);
	g_free(a);
}

/* NULL: a queue of the first three. */
static const struct fake_queue *
further_queue(const struct fake_cell *f, const struct job *j)
{
	return j->queue >= FAKE_RANK_QUEUES
		   ? &f->shape.queues[j->queue - FAKE_RANK_QUEUES]
		   : NULL;
}

bool
fake_advice_needed(const struct fake_cell *f, const struct job *j)
{
	const struct fake_queue *q = further_queue(f, j);

	return q != NULL ? q->advice : f->shape.needs_advice;
}

/* Spreads the bits of x (the finalizer of splitmix64). */
static uint64_t
mix(uint64_t x)
{
	x = (x ^ (x >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ (x >> 27)) * UINT64_C(0x94d049bb133111eb);
	return x ^ (x >> 31);
}

bool
fake_advice_admits(const struct fake_cell *f, const struct job *j,
    const char *step, unsigned worker)
{
	const struct fake_queue *q = further_queue(f, j);
	guint hash = g_str_hash(step);
	unsigned i;

	if (j->admitted != NULL) {
		for (i = 0; i < j->admitted->len; i++) {
			if (g_array_index(j->admitted, unsigned, i) == worker)
				return true;
		}
		return false;
	}
	/* Half of the workers, for each step either those of even number or
	 * the others. */
	if (q == NULL)
		return (hash + worker) % 2 == 0;
	if (mix((uint64_t)hash << 16 | worker) % 1000 < q->admit_permille)
		return true;
	for (i = 0; i < q->admit_min; i++) {
		if (mix((uint64_t)hash << 16 | (i + 1) << 12) %
			f->shape.workers ==
		    worker)
			return true;
	}
	return false;
}

ogl_time
fake_advice_accept(
    struct fake_cell *f, const struct job *j, unsigned node, size_t workers)
{
	const struct fake_queue *q = further_queue(f, j);
	GQueue *ends = &f->advice->ends[node];
	ogl_time work = (q->decide_ms * OGL_MS) +
			(ogl_time)workers * (ogl_time)q->worker_us;
	const ogl_time *first;
	const ogl_time *last;
	ogl_time *end;

	while ((first = g_queue_peek_head(ends)) != NULL && *first <= f->now)
		g_free(g_queue_pop_head(ends));
	if (ends->length >= WAITING_MAX)
		return -1;
	last = g_queue_peek_tail(ends);
	end = g_new(ogl_time, 1);
	*end = MAX(last != NULL ? *last : 0, f->now) + work;
	g_queue_push_tail(ends, end);
	return *end - f->now;
}
