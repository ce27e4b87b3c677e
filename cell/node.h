/*
 * One node of the cell: entry, candidate for ownership, and the way to the
 * advice service for whoever owns the cell.
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
	uint64_t seed;    /* of its random choices */
	uint32_t
	    strength; /* thousandths of a processor it may use, 0 unknown */
	uint32_t link_kbps; /* that its link carries, 0 unknown */
	struct cell_limits limits;
};

struct cell_node *cell_node_init(
    const struct cell_node_config *c, const struct cell_ops *ops);
/* The table is borrowed. */
void cell_node_end(struct cell_node *n);

void cell_node_limits(struct cell_node *n, const struct cell_limits *l);
/* The deployment's bounds have changed. */

void cell_node_call(struct cell_node *n, uint64_t token,
    const struct cell_request *r, ogl_time now);
/* token: no earlier process of the node may have used it, since answers to its
 * calls can still come. */
void cell_node_gone(struct cell_node *n, uint64_t token);
void cell_node_peer(struct cell_node *n, struct ogl_str msg, ogl_time now);

void cell_node_step(struct cell_node *n, ogl_time now, ogl_time wall);
/* Does what is due; to be called after every event and when cell_node_wake
 * says. */
ogl_time cell_node_wake(const struct cell_node *n, ogl_time now);

void cell_node_stop(struct cell_node *n, ogl_time now);
/* Hands ownership over and takes no new role; requests are still served. */
bool cell_node_stopped(const struct cell_node *n);
/* Every request is answered. */

bool cell_node_ready(const struct cell_node *n, ogl_time now);
/* Whether callers may be sent here. */
uint32_t cell_node_shards(const struct cell_node *n);
/* Of the whole cell; 0 while not known. */
bool cell_node_owns(const struct cell_node *n, uint32_t shard);

#endif
