/*
 * Calls to workers through other nodes.
 *
 * Each start of a task carries the job's spec, and every worker is asked for
 * its ends: at 120 workers that is more than a link of 2 Mbit/s carries, while
 * the other nodes' links are idle.  An owner whose link is too thin for its
 * workers has the other nodes make these calls and sends them only what
 * differs from call to call.
 */

#ifndef OGL_CELL_RELAY_H
#define OGL_CELL_RELAY_H

#include "ops.h"

struct cell_relay;

struct cell_relay_events {
	void (*send)(void *arg, const char *to, const Ogl__CellOrders *m);
	void *arg;
};

struct cell_relay *cell_relay_init(const struct cell_ops *ops,
    uint32_t link_kbps, const struct cell_relay_events *events);
/* link_kbps: kilobits a second that the node's own link carries, 0 not known:
 * then no relay is ever used.  The table is borrowed. */
void cell_relay_end(struct cell_relay *r);
/* Calls under way end as lost. */

void cell_relay_fill(struct cell_relay *r, struct cell_ops *ops);
/* Replaces the calls to workers and the reading of their list in the table by
 * those of the relay. */

void cell_relay_open(struct cell_relay *r, uint64_t epoch);
/* Numbers calls by the epoch: a late answer to an earlier owner, or to an
 * earlier process of this node, meets none of them. */
void cell_relay_close(struct cell_relay *r, ogl_time now);
/* The ownership is over: orders not yet sent are withdrawn. */
void cell_relay_node(
    struct cell_relay *r, const char *addr, bool leaving, ogl_time now);
/* A node is there; to be said again at least each second. */

void cell_relay_told(struct cell_relay *r, const char *job, const char *addr);
/* That node has the job's spec, as it has passed the job on. */
void cell_relay_forget(struct cell_relay *r, const char *job);
/* No task of the job is started any more. */

void cell_relay_answer(
    struct cell_relay *r, const Ogl__CellOrderAnswer *m, ogl_time now);

void cell_relay_step(struct cell_relay *r, size_t workers, ogl_time now);
/* Gives up what got no answer.  workers: how many the owner calls. */
void cell_relay_flush(struct cell_relay *r, ogl_time now);
/* Sends the orders that have gathered long enough. */
ogl_time cell_relay_wake(const struct cell_relay *r);
/* When the next are to be sent, OGL_NEVER: none wait. */

ogl_time cell_relay_delay(const struct cell_relay *r, ogl_time now);
/* The quickest answer to an order that does not wait, of late; 0 none.  Workers
 * and relays differ, and what all answers have in common is this node's link. */

bool cell_relay_thin(const struct cell_relay *r);
/* Whether the link is too thin to call the workers over it. */

#endif
