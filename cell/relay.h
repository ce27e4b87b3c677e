/*
 * Calls to workers through other nodes, the relays.
 *
 * Each start of a task carries the job's spec, and every worker is polled for
 * the tasks that have ended.  With 120 workers this is more than a link of
 * 2 Mbit/s carries, while the other nodes' links are idle.  An owner whose link
 * is too slow for its workers has the other nodes make these calls, and sends
 * them only what differs from call to call.
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
/* link_kbps: capacity of the node's own link in kilobits per second, 0 if
 * unknown; no relay is used then.  ops is borrowed. */
void cell_relay_end(struct cell_relay *r);
/* Calls in progress end as lost. */

void cell_relay_set_ops(struct cell_relay *r, struct cell_ops *ops);
/* Replaces read, newest, start, stop and hold in the table, and the backend_ctx
 * that is passed to them, by those of the relay. */

void cell_relay_open(struct cell_relay *r, uint64_t epoch);
/* Numbers calls by the epoch, so that a late answer to an earlier owner, or to
 * an earlier process of this node, matches none of them. */
void cell_relay_close(struct cell_relay *r, ogl_time now);
/* To be called when the ownership has ended.  Orders that are still in a batch
 * are dropped, and their calls end as not sent. */
void cell_relay_update_node(
    struct cell_relay *r, const char *addr, bool leaving, ogl_time now);
/* Reports that the node at addr is up, or that it shuts down if leaving is set.
 * To be called for each node that is up at least once per second. */

void cell_relay_note_spec(
    struct cell_relay *r, const char *job, const char *addr);
/* Records that the node at addr has the job's spec, because it forwarded the
 * job. */
void cell_relay_job_ended(struct cell_relay *r, const char *job);
/* To be called when no more tasks of the job will be started. */

void cell_relay_answer(
    struct cell_relay *r, const Ogl__CellOrderAnswer *m, ogl_time now);
/* Handles a relay's answer to an order. */

void cell_relay_step(struct cell_relay *r, size_t workers, ogl_time now);
/* Ends calls without an answer as lost, and decides whether calls are relayed.
 * workers: number of workers that the owner calls. */
void cell_relay_flush(struct cell_relay *r, ogl_time now);
/* Sends the batches of orders that are due. */
ogl_time cell_relay_wake(const struct cell_relay *r);
/* When the next batch is due; OGL_NEVER if there is none. */

ogl_time cell_relay_min_delay(const struct cell_relay *r, ogl_time now);
/* Shortest time in which a recent start or stop was answered; 0 if there is
 * none.  Workers and relays differ in speed, but each answer includes the delay
 * of this node's link.  Holds are left out, as they wait at the worker. */

bool cell_relay_active(const struct cell_relay *r);
/* Whether calls are relayed because this node's link is too slow. */

#endif
