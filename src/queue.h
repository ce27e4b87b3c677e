/*
 * Internals of the queue: the table of function pointers that implements a
 * scheduling policy, and the queue item that policies work on.
 */

#ifndef OGL_QUEUE_H
#define OGL_QUEUE_H

#include "orioleglade.h"

enum ogl_queue_state {
	OGL_QUEUE_WAITING,  /* in the policy's order */
	OGL_QUEUE_DEFERRED, /* waits, not in the policy's order */
	OGL_QUEUE_POPPED,   /* handed out, not yet started or deferred */
	OGL_QUEUE_RUNNING
};

/* Uses of a heap.  An item is in at most one heap of each use; its index there
 * is kept in ogl_queue_item.slot. */
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
	ogl_time started_at;    /* when it began to run */
	double dominant_demand; /* ogl_queue_demand of the work */

	/* Owned by the policy. */
	void *policy_team;   /* its state for the item's team */
	uint64_t policy_key; /* hash of kind, size class and label */
	uint32_t level;      /* class of the expected run time */
	bool ranked;         /* level is set; deferring the item keeps it */
	bool deferred;       /* counted against its team until pushed again */
	bool aged;           /* popped early because it had waited too long */

	char label[]; /* zero-terminated */
};

struct ogl_queue_policy {
	const char *name;
	void *(*init)(uint64_t seed);
	void (*end)(void *p);
	void (*set_team_share)(void *p, const char *team, double share);
	void (*push)(void *p, struct ogl_queue_item *it, ogl_time now);
	struct ogl_queue_item *(*pop)(void *p, ogl_time now);
	/* Removes a waiting item from the order; the caller still owns it. */
	void (*unlink)(void *p, struct ogl_queue_item *it);
	/* Each of these may be NULL.  `withdrawn`: the item will not start any
	 * more; `deferred`: it did not fit and will be pushed again. */
	void (*withdrawn)(void *p, struct ogl_queue_item *it);
	void (*deferred)(void *p, struct ogl_queue_item *it, ogl_time now);
	void (*started)(void *p, struct ogl_queue_item *it, ogl_time now);
	void (*ended)(
	    void *p, struct ogl_queue_item *it, bool ok, ogl_time now);
};

/* ---- heap of items, smallest key first -------------------------------- */

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

double ogl_queue_demand(const struct ogl_work *w);
/* What all tasks of the work need of their dominant resource, in processors of
 * a reference worker; for a short request the number of slots. */

#endif
