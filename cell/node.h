/*
 * One node of the cell: front end for callers, candidate for the ownership of
 * shards, and relay to the advice service and the workers for the owners.
 */

#ifndef OGL_CELL_NODE_H
#define OGL_CELL_NODE_H

#include "front.h"
#include "lead.h"
#include "owner.h"

struct cell_node;

struct cell_node_config {
	const char *name;
	const char *addr; /* where peers reach it */
	uint64_t boot;    /* differs at each start */
	uint64_t seed;    /* seed of its random numbers */
	/* Thousandths of a processor that it may use, 0 unknown. */
	uint32_t strength;
	uint32_t link_kbps; /* rate of its link, 0 unknown */
	struct cell_limits limits;
};

struct cell_node *cell_node_init(
    const struct cell_node_config *c, const struct cell_ops *ops);
/* ops is borrowed until cell_node_end; c is copied. */
void cell_node_end(struct cell_node *n);

void cell_node_set_limits(struct cell_node *n, const struct cell_limits *l);
/* Sets the deployment's limits after a change. */

void cell_node_call(struct cell_node *n, uint64_t token,
    const struct cell_request *r, ogl_time now);
/* Handles a caller's request; ops->reply is called once with its token.  No
 * earlier process of the node may have used the token, since answers to the
 * calls of that process can still arrive. */
void cell_node_caller_gone(struct cell_node *n, uint64_t token);
/* The caller of that request has closed its connection. */
void cell_node_receive(struct cell_node *n, struct ogl_str msg, ogl_time now);
/* Handles one message of a peer: a packed Ogl__CellMsg. */

void cell_node_step(struct cell_node *n, ogl_time now, ogl_time wall);
/* Does what is due; to be called after every event and at the time that
 * cell_node_wake returns.  wall: time of day. */
ogl_time cell_node_wake(const struct cell_node *n, ogl_time now);
/* When the next step is due. */

void cell_node_stop(struct cell_node *n, ogl_time now);
/* Hands its shards over and claims no more; requests are still served. */
bool cell_node_stopped(const struct cell_node *n);
/* Whether every request is answered and no shard is owned. */

bool cell_node_ready(const struct cell_node *n, ogl_time now);
/* Whether callers may be sent here. */
uint32_t cell_node_shards(const struct cell_node *n);
/* Number of shards of the whole cell; 0 while not known. */
bool cell_node_owns(const struct cell_node *n, uint32_t shard);

#endif
