/*
 * Binary heap of items.  Each item knows its slot, so any item can be taken
 * out in O(log n).  Keys are copied into the array: comparing touches no
 * item.
 */

#include "queue.h"

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
put(struct ogl_queue_heap *h, size_t i, struct ogl_queue_heap_entry e)
{
	h->a[i] = e;
	e.it->slot[h->use] = i;
}

static void
sift_up(struct ogl_queue_heap *h, size_t i, struct ogl_queue_heap_entry e)
{
	while (i > 0 && before(&e, &h->a[(i - 1) / 2])) {
		put(h, i, h->a[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	put(h, i, e);
}

static void
sift_down(struct ogl_queue_heap *h, size_t i, struct ogl_queue_heap_entry e)
{
	size_t c;

	while ((c = 2 * i + 1) < h->n) {
		if (c + 1 < h->n && before(&h->a[c + 1], &h->a[c]))
			c++;
		if (!before(&h->a[c], &e))
			break;
		put(h, i, h->a[c]);
		i = c;
	}
	put(h, i, e);
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
	if (i > 0 && before(&last, &h->a[(i - 1) / 2]))
		sift_up(h, i, last);
	else
		sift_down(h, i, last);
}

struct ogl_queue_item *
ogl_queue_heap_top(const struct ogl_queue_heap *h)
{
	return h->n != 0 ? h->a[0].it : NULL;
}
