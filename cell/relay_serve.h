/*
 * The node that makes calls to workers for owners elsewhere.
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
/* Calls under way may still end after it; nobody is told of them. */

void cell_relay_serve_spec(
    struct cell_relay_serve *v, const char *job, const char *spec);
/* Keeps the spec of a job that was passed on to its owner. */

void cell_relay_serve(struct cell_relay_serve *v, uint32_t shard,
    const char *from, const Ogl__CellOrders *orders, bool refuse, ogl_time now);
/* Carries the orders out; or answers that it has not, if refuse is set. */

void cell_relay_serve_step(struct cell_relay_serve *v, ogl_time now);
/* Sends the answers that have gathered long enough. */
ogl_time cell_relay_serve_wake(const struct cell_relay_serve *v);
/* When the next are to be sent, OGL_NEVER: none wait. */

#endif
