/*
 * Who owns the cell: claims, heartbeats and resignations on the store's
 * ownership stream.
 */

#ifndef OGL_CELL_LEAD_H
#define OGL_CELL_LEAD_H

#include "ops.h"

struct cell_lead;

struct cell_lead_events {
	void (*won)(void *arg, uint64_t epoch, ogl_time now);
	void (*lost)(void *arg, ogl_time now);
	/* Another node owns the cell now, or nobody (addr NULL). */
	void (*changed)(void *arg, const char *addr, ogl_time now);
	void *arg;
};

struct cell_lead_self {
	const char *node;
	const char *addr; /* where peers reach it */
	uint64_t boot;    /* differs at each start */
	uint32_t
	    strength; /* thousandths of a processor; weak nodes claim late */
};

struct cell_lead *cell_lead_init(const struct cell_ops *ops,
    const struct cell_lead_events *events, const struct cell_lead_self *self,
    uint64_t seed);
void cell_lead_end(struct cell_lead *l);

void cell_lead_step(struct cell_lead *l, ogl_time now);
/* Reads on, beats, claims: whatever is due; to be called some twenty times a
 * second. */

void cell_lead_resign(struct cell_lead *l, ogl_time now);
/* Gives ownership up at once and claims no more for a while. */

void cell_lead_retire(struct cell_lead *l, ogl_time now);
/* Resigns and never claims again: the process is about to end. */

void cell_lead_outranked(struct cell_lead *l, ogl_time now);
/* The store or a worker has refused this node's epoch. */

void cell_lead_doubt(struct cell_lead *l, uint64_t epoch, ogl_time now);
/* The owner of that epoch has said that it is no longer, or that the store
 * does not take its writes: whoever reaches the store may claim at once. */

void cell_lead_hint_dead(struct cell_lead *l, ogl_time now);
/* Nothing listens at the owner's address: a shorter silence is enough. */

bool cell_lead_able(const struct cell_lead *l, ogl_time now);
/* Whether this node owns the cell and its heartbeats are taken. */

bool cell_lead_is_owner(const struct cell_lead *l);
uint64_t cell_lead_epoch(const struct cell_lead *l);
/* Highest epoch known, 0 none. */
const char *cell_lead_addr(const struct cell_lead *l);
/* Peer address of the owner; NULL when nobody is known to own the cell. */

void cell_lead_probe(struct cell_lead *l, ogl_time now);
/* Reads the stream's end at once, beside the read that waits. */
ogl_time cell_lead_confirmed(const struct cell_lead *l);
/* As of when the store last showed who owns the cell. */

bool cell_lead_may_act(const struct cell_lead *l, ogl_time now);
/* Whether this node owns the cell as far as it can still know. */

bool cell_lead_reads(const struct cell_lead *l, ogl_time now);
/* Whether the store answers this node. */

#endif
