/*
 * The owner of a shard: takes jobs, sees to it that their tasks run, answers
 * for them.  One node at a time is it; what it knows it reads from the store
 * and the workers when it takes over.
 */

#ifndef OGL_CELL_OWNER_H
#define OGL_CELL_OWNER_H

#include "cell_config.h"
#include "shards.h"
#include "zones.h"

struct cell_owner;

struct cell_owner_events {
	void (*outranked)(void *arg, ogl_time now);
	/* A higher epoch was seen on the store or by a worker. */
	void (*reply)(void *arg, const char *to, const Ogl__CellReply *r);
	/* Answers a call that came from the node at `to`. */
	void (*ask)(void *arg, const char *to, const Ogl__CellAsk *a);
	/* Has the node at `to` ask the advice service. */
	void (*part)(void *arg, uint32_t to_shard, const Ogl__CellPart *m);
	/* Tells the owner of another shard about a team's limit. */
	void (*orders)(void *arg, const char *to, const Ogl__CellOrders *m);
	/* Has the node at `to` call workers. */
	void *arg;
};

/* The part of the cell that an owner is for. */
struct cell_part {
	uint32_t shard;
	uint32_t shards;    /* in the whole cell */
	uint32_t link_kbps; /* what the node's own link carries, 0 not known */
};

struct cell_owner *cell_owner_init(const struct cell_ops *ops,
    const struct cell_limits *limits, const struct cell_owner_events *events,
    const struct cell_part *part);
void cell_owner_end(struct cell_owner *o);

void cell_owner_open(
    struct cell_owner *o, uint64_t epoch, ogl_time store_took, ogl_time now);
/* Takes the shard over.  store_took: what the store last took for an answer, 0
 * not known. */
void cell_owner_prepare(
    struct cell_owner *o, ogl_time store_took, ogl_time now);
/* Reads the jobs although another owns the shard, so that a takeover within
 * the next seconds has to read only what has changed since. */
bool cell_owner_prepared(const struct cell_owner *o, ogl_time now);
void cell_owner_close(struct cell_owner *o, ogl_time now);
/* Lets go of it: calls still waiting are answered as unsure. */

void cell_owner_config(struct cell_owner *o, struct cell_config *c);
void cell_owner_zones(
    struct cell_owner *o, const struct cell_zones *z, ogl_time now);
/* Evacuated zones; borrowed for as long as the owner lives.  To be called again
 * when they have changed. */

void cell_owner_call(
    struct cell_owner *o, const char *from, Ogl__CellCall *call, ogl_time now);
/* A caller's request, passed on by the node at `from`; a submitted job is
 * taken out of the message. */

void cell_owner_advice(
    struct cell_owner *o, const Ogl__CellAdvice *a, ogl_time now);
void cell_owner_part(
    struct cell_owner *o, const Ogl__CellPart *m, ogl_time now);
/* What the owner of m->from_shard says of a team's limit. */
void cell_owner_node(
    struct cell_owner *o, const char *addr, bool leaving, ogl_time now);
/* A node is there to ask advice through. */
void cell_owner_relay(
    struct cell_owner *o, const char *addr, bool leaving, ogl_time now);
/* Another node is there to call workers through. */
void cell_owner_ordered(
    struct cell_owner *o, const Ogl__CellOrderAnswers *m, ogl_time now);

void cell_owner_announced(struct cell_owner *o, bool announced);
/* Whether the ownership is announced; no worker is called before. */
void cell_owner_step(struct cell_owner *o, ogl_time confirmed, bool may_act,
    ogl_time now, ogl_time wall);
/* Does what is due; without the right to act nothing is ordered.  confirmed is
 * the time as of which the store last confirmed the ownership. */
void cell_owner_ran(struct cell_owner *o, ogl_time wanted, ogl_time now);
/* The process runs now; it had asked to run at `wanted` at the latest.  While
 * it runs late, a part of the new jobs is refused. */
bool cell_owner_asks_first(const struct cell_owner *o);
/* It refuses some new jobs, and is to be asked before it is sent one. */
bool cell_owner_wants_proof(const struct cell_owner *o);
/* It starts nothing until the ownership is confirmed once more. */
void cell_owner_doubt(struct cell_owner *o, ogl_time now);
/* This process may have stood still. */
ogl_time cell_owner_wake(const struct cell_owner *o);

bool cell_owner_idle(const struct cell_owner *o);
/* Everything that it knows is on the store. */

#endif
