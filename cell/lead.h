/*
 * Elects one node as the owner of each shard of the cell, and tells each node
 * who the owners are.  A node becomes the owner by a claim, which it appends to
 * the claims stream of the shard.  Heartbeats and resignations of all owners go
 * to one ownership stream.
 */

#ifndef OGL_CELL_LEAD_H
#define OGL_CELL_LEAD_H

#include "shards.h"

struct cell_lead;

struct cell_lead_events {
	/* The cell's number of shards has become known.  Called once, before
	 * any other event. */
	void (*planned)(void *arg, uint32_t shards, ogl_time now);
	void (*won)(void *arg, uint32_t shard, uint64_t epoch, ogl_time now);
	void (*lost)(void *arg, uint32_t shard, ogl_time now);
	/* The shard has a new owner, or none (addr NULL). */
	void (*changed)(
	    void *arg, uint32_t shard, const char *addr, ogl_time now);
	void *arg;
};

struct cell_lead_self {
	const char *node;
	const char *addr; /* address for peers */
	uint64_t boot;    /* identifies the run of the process */
	/* Processor capacity in thousandths of a core, 0 if unknown.  Nodes
	 * with less capacity delay their claims. */
	uint32_t strength;
	uint32_t link_kbps; /* capacity of its link, 0 if unknown */
};

struct cell_lead *cell_lead_init(const struct cell_ops *ops,
    const struct cell_lead_events *events, const struct cell_lead_self *self,
    uint64_t seed);
void cell_lead_end(struct cell_lead *l);

void cell_lead_step(struct cell_lead *l, ogl_time now);
/* Starts the reads, heartbeats and claims that are due.  The caller runs it
 * about 20 times a second. */

void cell_lead_set_quiet(struct cell_lead *l, bool quiet, ogl_time now);
/* Sets whether the owner of this node's preferred shard keeps telling it who
 * the owners are and that it is alive itself.  A quiet node hardly reads the
 * ownership stream, and claims no other shard. */

bool cell_lead_needs_plan(const struct cell_lead *l);
/* Whether the ownership stream was read, holds no number of shards yet, and no
 * proposal of this node is in flight. */
bool cell_lead_take_plan_turn(struct cell_lead *l, ogl_time now);
/* Whether it is this node's turn to find out how many shards the cell needs.
 * If it is nobody's turn, asks the store for it. */
void cell_lead_plan(struct cell_lead *l, uint32_t shards);
/* Proposes a number of shards.  The first proposal that reaches the store is
 * final. */

uint32_t cell_lead_shards(const struct cell_lead *l);
/* Number of shards, 0 until the planned event.  The shard passed to any other
 * function must be below it. */
uint32_t cell_lead_owned_count(const struct cell_lead *l);
/* Number of shards that this node owns. */

void cell_lead_resign(struct cell_lead *l, uint32_t shard, ogl_time now);
/* Gives up ownership at once and does not claim the shard again for several
 * seconds. */

void cell_lead_stop_claiming(struct cell_lead *l);
/* Stops all further claims because the process is about to end.  The node
 * keeps the shards it owns until it resigns or another node claims them. */

void cell_lead_claim(struct cell_lead *l, uint32_t shard, ogl_time now);
/* Claims the shard without delay.  Called when its present owner is stopping
 * and has chosen this node as its successor. */

void cell_lead_epoch_refused(struct cell_lead *l, uint32_t shard, ogl_time now);
/* Gives up ownership, because the store or a worker has refused this node's
 * epoch. */

void cell_lead_suspect(
    struct cell_lead *l, uint32_t shard, uint64_t epoch, ogl_time now);
/* Takes the report of the owner of that epoch that it has lost ownership or
 * that the store does not take its writes.  Once a read of this node is
 * answered, the shard counts as vacant, without a heartbeat timeout. */

void cell_lead_learn_owner(struct cell_lead *l, uint32_t shard, uint64_t epoch,
    const char *addr, ogl_time now);
/* Takes a peer's report of the owner of the shard in that epoch. */

void cell_lead_owner_alive(struct cell_lead *l, uint32_t shard, uint64_t epoch,
    uint64_t sent_us, ogl_time now);
/* Takes the report of the owner of that epoch that it reaches the store.
 * sent_us: when it was sent, on the owner's clock. */

void cell_lead_report_unreachable(
    struct cell_lead *l, uint32_t shard, ogl_time now);
/* Reports that the owner's address refuses connections, or that the owner does
 * not answer pings.  A shorter heartbeat timeout then applies for a while. */

bool cell_lead_able(const struct cell_lead *l, uint32_t shard, ogl_time now);
/* Whether this node owns the shard and reaches the store: either its heartbeats
 * are stored, or they get no answer while its reads are answered. */

bool cell_lead_is_owner(const struct cell_lead *l, uint32_t shard);
uint64_t cell_lead_epoch(const struct cell_lead *l, uint32_t shard);
/* Highest known epoch of the shard, 0 if none. */
const char *cell_lead_addr(const struct cell_lead *l, uint32_t shard);
/* Peer address of the owner; NULL if the shard has no known owner. */

uint64_t cell_lead_digest(const struct cell_lead *l);
/* Differs, in practice, between two nodes that know different epochs. */

void cell_lead_probe(struct cell_lead *l, ogl_time now);
/* Reads the end of the ownership stream at once, in addition to the pending
 * long-poll read. */
ogl_time cell_lead_confirmed_at(const struct cell_lead *l);
/* Time when the last answered read of the ownership stream was sent.  This node
 * knows of every owner whose first heartbeat was on the stream by then. */
bool cell_lead_announced(const struct cell_lead *l, uint32_t shard);
/* Whether this node owns the shard and its first heartbeat is on the ownership
 * stream.  Until then it must not call any worker: an earlier owner that reads
 * the stream must find every later owner that may have called workers. */

bool cell_lead_may_act(const struct cell_lead *l, uint32_t shard, ogl_time now);
/* Whether this node owns the shard and has read the ownership stream recently
 * enough to act as the owner. */

bool cell_lead_store_answers(const struct cell_lead *l, ogl_time now);
/* Whether the store has answered a read of this node recently. */

ogl_time cell_lead_claim_took(const struct cell_lead *l);
/* How long the store took for this node's last successful claim, 0 if none. */
ogl_time cell_lead_heartbeat_took(const struct cell_lead *l, uint32_t shard);
/* How long the store took for the last heartbeat that this node wrote as owner
 * of the shard, 0 if none. */

#endif
