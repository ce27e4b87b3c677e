/*
 * Heap of items with four children per node.  Each item stores its index, so
 * any item can be removed in O(log n).  Keys are copied into the array, so
 * comparisons don't access items; but each move writes to the moved item,
 * usually a cache miss in a long queue.  Compared with a binary heap, four
 * children halve the moves for a few more comparisons in contiguous memory.
 */

#include "queue.h"

#define ARITY 4

static size_t
parent(size_t i)
{
	return (i - 1) / ARITY;
}

void
ogl_queue_heap_init(struct ogl_queue_heap *h, enum ogl_queue_heap_use use)
{
	h->a = NULL;
	h->n = 0;
	h->cap = 0;
	h->use = use;
}

void
ogl_queue_heap_end(struct ogl_queue_heap *h)
{
	g_free(h->a);
	h->a = NULL;
	h->n = 0;
	h->cap = 0;
}

static bool
before(
    const struct ogl_queue_heap_entry *a, const struct ogl_queue_heap_entry *b)
{
	return a->key < b->key || (a->key == b->key && a->seq < b->seq);
}

static void
set_slot(struct ogl_queue_heap *h, size_t i, struct ogl_queue_heap_entry e)
{
	h->a[i] = e;
	e.it->slot[h->use] = i;
}

static void
sift_up(struct ogl_queue_heap *h, size_t i, struct ogl_queue_heap_entry e)
{
	while (i > 0 && before(&e, &h->a[parent(i)])) {
		set_slot(h, i, h->a[parent(i)]);
		i = parent(i);
	}
	set_slot(h, i, e);
}

static size_t
least_child(const struct ogl_queue_heap *h, size_t i)
{
	size_t first = ARITY * i + 1;
	size_t end = MIN(first + ARITY, h->n);
	size_t least = first;

	for (size_t c = first + 1; c < end; c++) {
		if (before(&h->a[c], &h->a[least]))
			least = c;
	}
	return least;
}

static void
sift_down(struct ogl_queue_heap *h, size_t i, struct ogl_queue_heap_entry e)
{
	while (ARITY * i + 1 < h->n) {
		size_t c = least_child(h, i);

		if (!before(&h->a[c], &e))
			break;
		set_slot(h, i, h->a[c]);
		i = c;
	}
	set_slot(h, i, e);
}

void
ogl_queue_heap_add(
    struct ogl_queue_heap *h, int64_t key, struct ogl_queue_item *it)
{
	struct ogl_queue_heap_entry e = {key, it->seq, it};

	if (h->n == h->cap) {
		h->cap = h->cap != 0 ? h->cap * 2 : 16;
		h->a = g_renew(struct ogl_queue_heap_entry, h->a, h->cap);
	}
	sift_up(h, h->n++, e);
}

void
ogl_queue_heap_del(struct ogl_queue_heap *h, struct ogl_queue_item *it)
{
	size_t i = it->slot[h->use];
	struct ogl_queue_heap_entry last = h->a[--h->n];

	if (i == h->n)
		return;
	if (i > 0 && before(&last, &h->a[parent(i)]))
		sift_up(h, i, last);
	else
		sift_down(h, i, last);
}

struct ogl_queue_item *
ogl_queue_heap_top(const struct ogl_queue_heap *h)
{
	return h->n != 0 ? h->a[0].it : NULL;
}
