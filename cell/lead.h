/*
 * Who owns the shards of the cell: claims on the claims stream of each shard,
 * heartbeats and resignations of all owners on one ownership stream.
 */

#ifndef OGL_CELL_LEAD_H
#define OGL_CELL_LEAD_H

#include "shards.h"

struct cell_lead;

struct cell_lead_events {
	/* The cell's number of shards is known; told once, before all else. */
	void (*planned)(void *arg, uint32_t shards, ogl_time now);
	void (*won)(void *arg, uint32_t shard, uint64_t epoch, ogl_time now);
	void (*lost)(void *arg, uint32_t shard, ogl_time now);
	/* Another node owns the shard now, or nobody (addr NULL). */
	void (*changed)(
	    void *arg, uint32_t shard, const char *addr, ogl_time now);
	void *arg;
};

struct cell_lead_self {
	const char *node;
	const char *addr; /* where peers reach it */
	uint64_t boot;    /* differs at each start */
	uint32_t
	    strength; /* thousandths of a processor; weak nodes claim late */
	uint32_t link_kbps; /* that its link carries, 0 not known */
};

struct cell_lead *cell_lead_init(const struct cell_ops *ops,
    const struct cell_lead_events *events, const struct cell_lead_self *self,
    uint64_t seed);
void cell_lead_end(struct cell_lead *l);

void cell_lead_step(struct cell_lead *l, ogl_time now);
/* Reads on, beats, claims: whatever is due; to be called some twenty times a
 * second. */

bool cell_lead_unplanned(const struct cell_lead *l);
/* The stream was read and nobody has decided the number of shards yet. */
void cell_lead_plan(struct cell_lead *l, uint32_t shards);
/* Proposes a number; the first that reaches the store holds for good. */

uint32_t cell_lead_shards(const struct cell_lead *l);
/* 0 until planned is told.  All calls with a shard need one below it. */
uint32_t cell_lead_owned(const struct cell_lead *l);
/* Shards that this node owns. */

void cell_lead_resign(struct cell_lead *l, uint32_t shard, ogl_time now);
/* Gives ownership up at once and claims the shard no more for a while. */

void cell_lead_retire(struct cell_lead *l);
/* Never claims again: the process is about to end.  What it owns it keeps until
 * it resigns or another claims it. */

void cell_lead_claim(struct cell_lead *l, uint32_t shard, ogl_time now);
/* Claims at once what another owns, because that owner has asked to. */

void cell_lead_outranked(struct cell_lead *l, uint32_t shard, ogl_time now);
/* The store or a worker has refused this node's epoch. */

void cell_lead_doubt(
    struct cell_lead *l, uint32_t shard, uint64_t epoch, ogl_time now);
/* The owner of that epoch has said that it is no longer, or that the store
 * does not take its writes: whoever reaches the store may claim at once. */

void cell_lead_hear(struct cell_lead *l, uint32_t shard, uint64_t epoch,
    const char *addr, ogl_time now);
/* A peer knows who owns the shard in that epoch. */

void cell_lead_heard(
    struct cell_lead *l, uint32_t shard, uint64_t epoch, ogl_time now);
/* The owner of that epoch has told this node that it reaches the store. */

void cell_lead_hint_dead(struct cell_lead *l, uint32_t shard, ogl_time now);
/* Nothing listens at the owner's address, or it answers no pings: a shorter
 * silence is enough. */

bool cell_lead_able(const struct cell_lead *l, uint32_t shard, ogl_time now);
/* Whether this node owns the shard and reaches the store: its heartbeats are
 * taken, or unanswered while its reads are answered. */

bool cell_lead_is_owner(const struct cell_lead *l, uint32_t shard);
uint64_t cell_lead_epoch(const struct cell_lead *l, uint32_t shard);
/* Highest epoch known, 0 none. */
const char *cell_lead_addr(const struct cell_lead *l, uint32_t shard);
/* Peer address of the owner; NULL when nobody is known to own the shard. */

void cell_lead_probe(struct cell_lead *l, ogl_time now);
/* Reads the ownership stream's end at once, beside the read that waits. */
ogl_time cell_lead_confirmed(const struct cell_lead *l);
/* As of when the stream last showed all that it held: no owner it does not name
 * had announced itself by then. */
bool cell_lead_announced(const struct cell_lead *l, uint32_t shard);
/* Whether this node owns the shard and its first heartbeat is on the stream.
 * Before that it must not call a worker, or cell_lead_confirmed would tell an
 * earlier owner too much. */

bool cell_lead_may_act(const struct cell_lead *l, uint32_t shard, ogl_time now);
/* Whether this node owns the shard as far as it can still know. */

bool cell_lead_reads(const struct cell_lead *l, ogl_time now);
/* Whether the store answers this node. */

ogl_time cell_lead_store_took(const struct cell_lead *l);
/* How long the store took over the last claim of this node, 0 none yet. */
ogl_time cell_lead_beat_took(const struct cell_lead *l, uint32_t shard);
/* By the last heartbeat that this node wrote as the shard's owner, 0 none. */

#endif
