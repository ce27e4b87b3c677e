/*
 * Private side of the queue: the table of function pointers that makes an
 * order, and the piece of work as orders see it.
 */

#ifndef OGL_QUEUE_H
#define OGL_QUEUE_H

#include "orioleglade.h"

enum ogl_queue_state {
	OGL_QUEUE_WAITING, /* held by the policy */
	OGL_QUEUE_PASSED,  /* waits, but did not fit; in no order */
	OGL_QUEUE_POPPED,  /* handed out, neither started nor put back */
	OGL_QUEUE_RUNNING
};

/* Heaps an item can be in at once; each has its own slot number there. */
enum ogl_queue_heap_use {
	OGL_HEAP_POLICY,
	OGL_HEAP_AGE,
	OGL_HEAP_USES
};

struct ogl_queue_item {
	struct ogl_work w; /* team and label point at copies */
	uint64_t seq;      /* order of pushing; breaks ties */
	size_t slot[OGL_HEAP_USES];
	enum ogl_queue_state state;
	ogl_time began; /* start of running */
	double rate;    /* dominant resource while it runs, all tasks */

	/* For the policy's own use. */
	void *leaf;
	uint64_t sort; /* hash of kind, size class and label */
	uint32_t level;
	bool ranked; /* level was set; it is kept when put back */
	bool passed; /* counts against its team until it is pushed again */
	bool aged;   /* went first because it had waited too long */

	char label[]; /* zero-ended */
};

struct ogl_queue_policy {
	const char *name;
	void *(*init)(uint64_t seed);
	void (*end)(void *p);
	void (*team)(void *p, const char *team, double share);
	void (*push)(void *p, struct ogl_queue_item *it, ogl_time now);
	struct ogl_queue_item *(*pop)(void *p, ogl_time now);
	/* Takes a waiting item out of the order; the caller keeps it. */
	void (*unlink)(void *p, struct ogl_queue_item *it);
	/* Each of these may be NULL.  `gone`: it will not start any more;
	 * `passed`: it was put back and will be pushed again. */
	void (*gone)(void *p, struct ogl_queue_item *it);
	void (*passed)(void *p, struct ogl_queue_item *it, ogl_time now);
	void (*started)(void *p, struct ogl_queue_item *it, ogl_time now);
	void (*ended)(
	    void *p, struct ogl_queue_item *it, bool ok, ogl_time now);
};

/* ---- heap of items, least key first ----------------------------------- */

struct ogl_queue_heap_entry {
	int64_t key;
	uint64_t seq;
	struct ogl_queue_item *it;
};

struct ogl_queue_heap {
	struct ogl_queue_heap_entry *a;
	size_t n, cap;
	enum ogl_queue_heap_use use;
};

void ogl_queue_heap_init(struct ogl_queue_heap *h, enum ogl_queue_heap_use use);
void ogl_queue_heap_end(struct ogl_queue_heap *h);
void ogl_queue_heap_add(
    struct ogl_queue_heap *h, int64_t key, struct ogl_queue_item *it);
void ogl_queue_heap_del(struct ogl_queue_heap *h, struct ogl_queue_item *it);
struct ogl_queue_item *ogl_queue_heap_top(const struct ogl_queue_heap *h);

double ogl_queue_rate(const struct ogl_work *w);
/* Dominant resource of all its tasks, in processors of a reference worker;
 * slots for a short request. */

#endif
