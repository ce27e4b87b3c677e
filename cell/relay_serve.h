/*
 * Makes calls to workers as a relay, for the owners of shards on other nodes.
 */

#ifndef OGL_CELL_RELAY_SERVE_H
#define OGL_CELL_RELAY_SERVE_H

#include "ops.h"

struct cell_relay_serve;

typedef void cell_relay_send_fn(void *arg, uint32_t shard, const char *to,
    const Ogl__CellOrderAnswers *answers);

struct cell_relay_serve *cell_relay_serve_init(
    const struct cell_ops *ops, cell_relay_send_fn *send, void *arg);
void cell_relay_serve_end(struct cell_relay_serve *v);
/* Calls in progress may still end afterwards; their answers are discarded. */

void cell_relay_serve_add_spec(
    struct cell_relay_serve *v, const char *job, struct ogl_str spec);
/* Keeps the spec of a job that this node forwarded to its owner. */

void cell_relay_serve(struct cell_relay_serve *v, uint32_t shard,
    const char *from, const Ogl__CellOrders *orders, bool refuse, ogl_time now);
/* Carries out the orders from the owner of the shard, the node at address from;
 * if refuse is set, only answers each one as not sent. */

void cell_relay_serve_step(struct cell_relay_serve *v, ogl_time now);
/* Sends the batches of answers that are due. */
ogl_time cell_relay_serve_wake(const struct cell_relay_serve *v);
/* When the next batch is due; OGL_NEVER if there is none. */

#endif
