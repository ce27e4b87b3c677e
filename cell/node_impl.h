/*
 * The state of a node, and what its files use of each other.
 */

#ifndef OGL_CELL_NODE_IMPL_H
#define OGL_CELL_NODE_IMPL_H

#include "node.h"
#include "plan.h"
#include "relay_serve.h"

/* A successor counts as alive for this time after its last ping. */
#define SUCCESSOR_TIMEOUT (600 * OGL_MS)

/* The node's state for one shard. */
struct node_shard {
	struct cell_node *node;
	uint32_t shard;
	struct cell_owner *owner;
	ogl_time next_ping_at;
	ogl_time pong_at; /* last pong, or the first ping to a new owner */
	bool pinged;      /* its owner is pinged at present */
	ogl_time able_at; /* last pong of its owner that reached the store */
	ogl_time owner_known_at; /* last time that an owner was known */
	char *last_owner;        /* address of the last known owner */
	/* Times of the first and the last ping of stronger nodes, see
	 * STRONGER_FACTOR.  After a gap of a second the next ping counts as the
	 * first. */
	ogl_time stronger_since;
	ogl_time stronger_heard_at;
	/* While this node owns the shard: the node that could best take over,
	 * as of its last ping. */
	char *successor; /* its address, NULL none */
	uint32_t successor_strength;
	uint32_t successor_uptime_ms;
	ogl_time successor_heard_at;
	ogl_time handover_at; /* the handover was sent, 0 not yet */
	/* This node was chosen as the successor, and claims the shard once it
	 * has read the jobs. */
	bool claim_pending;
};

struct cell_node {
	const struct cell_ops *ops;
	char *name;
	char *addr;
	struct cell_limits limits;
	struct cell_lead *lead;
	struct cell_plan *plan;
	struct cell_front *front;
	uint32_t shards; /* 0 not known yet */
	struct node_shard per_shard[CELL_SHARDS_MAX];
	struct cell_config *config; /* last given to the owners */
	/* cell_zones_changes of the zones last given to the owners */
	uint64_t zone_changes;
	bool stopping;
	bool quiet;          /* see cell_node_update_quiet */
	ogl_time now;        /* time of the step or event under way */
	ogl_time started_at; /* first step, 0 not yet */
	ogl_time stepped_at; /* last step, 0 none yet */
	ogl_time wake_at;    /* next step asked for by the last, 0 none yet */
	ogl_time resumed_at; /* end of the last pause, 0 none yet */
	uint32_t strength;   /* see ownership_strength */
	uint32_t link_kbps;
	struct cell_relay_serve *serve; /* calls workers for owners */
	GQueue loopback; /* packed Ogl__CellMsg of the node to itself */
};

/* ---- node.c ----------------------------------------------------------- */

void cell_node_send_msg(
    struct cell_node *n, uint32_t shard, const char *to, Ogl__CellMsg *m);
/* Sends a message to a node; fills in its sender, shard, epoch and owner. */

/* ---- node_ping.c ------------------------------------------------------ */

void cell_node_notify_last_owner(
    struct node_shard *s, const char *owner, ogl_time now);
void cell_node_ping_owner(struct node_shard *s, ogl_time now);
/* Pings the owner of the shard if that is due. */
void cell_node_update_quiet(struct cell_node *n, ogl_time now);
void cell_node_handle_ping(struct node_shard *s, const char *from,
    const Ogl__CellPing *p, ogl_time now);
void cell_node_handle_pong(
    struct node_shard *s, const Ogl__CellMsg *m, ogl_time now);

#endif
