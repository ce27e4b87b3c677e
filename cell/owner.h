/*
 * The owner of a shard: accepts jobs, has their tasks run and answers calls
 * about them.  A shard has one owner at a time, which reads its state from the
 * store and the workers when it takes over.
 */

#ifndef OGL_CELL_OWNER_H
#define OGL_CELL_OWNER_H

#include "cell_config.h"
#include "shards.h"
#include "zones.h"

struct cell_owner;

struct cell_owner_events {
	void (*outranked)(void *arg, ogl_time now);
	/* The store or a worker has seen a higher epoch: ownership is lost. */
	void (*reply)(void *arg, const char *to, const Ogl__CellReply *r);
	/* Sends the answer to a call that the node at `to` passed on. */
	void (*ask)(void *arg, const char *to, const Ogl__CellAsk *a);
	/* Asks the node at `to` to query the advice service. */
	void (*part)(void *arg, uint32_t to_shard, const Ogl__CellPart *m);
	/* Sends the owner of another shard a message about a team's limit. */
	void (*orders)(void *arg, const char *to, const Ogl__CellOrders *m);
	/* Sends the node at `to` calls to make to workers. */
	void *arg;
};

/* The shard of an owner, and the link of its node. */
struct cell_owner_params {
	uint32_t shard;
	uint32_t shards;    /* shards of the whole cell */
	uint32_t link_kbps; /* capacity of the node's own link, 0 not known */
};

struct cell_owner *cell_owner_init(const struct cell_ops *ops,
    const struct cell_limits *limits, const struct cell_owner_events *events,
    const struct cell_owner_params *params);
void cell_owner_end(struct cell_owner *o);

void cell_owner_open(
    struct cell_owner *o, uint64_t epoch, ogl_time store_took, ogl_time now);
/* Takes over the shard under the epoch.  store_took: how long the store took
 * for its last answer, 0 if unknown. */
void cell_owner_prepare(
    struct cell_owner *o, ogl_time store_took, ogl_time now);
/* Reads the jobs while another node owns the shard, so that a takeover within
 * the next seconds has to read only what has changed since. */
bool cell_owner_prepared(const struct cell_owner *o, ogl_time now);
/* Whether the jobs were read so recently that a takeover is short. */
void cell_owner_close(struct cell_owner *o, ogl_time now);
/* Gives up the shard.  Calls that still wait for the store are answered with
 * cell_not_owner, as their outcome is unknown. */

void cell_owner_set_config(struct cell_owner *o, struct cell_config *c);
void cell_owner_set_zones(
    struct cell_owner *o, const struct cell_zones *z, ogl_time now);
/* Sets the evacuated zones, which are borrowed as long as the owner exists.  To
 * be called again when they have changed. */

void cell_owner_call(
    struct cell_owner *o, const char *from, Ogl__CellCall *call, ogl_time now);
/* Takes a caller's request that the node at `from` passed on.  A submitted job
 * that is accepted is taken out of the message. */

void cell_owner_advice(
    struct cell_owner *o, const Ogl__CellAdvice *a, ogl_time now);
/* Takes an answer of the advice service that another node passed on. */
void cell_owner_part(
    struct cell_owner *o, const Ogl__CellPart *m, ogl_time now);
/* Takes a message about a team's limit from the owner of m->from_shard. */
void cell_owner_advice_node(
    struct cell_owner *o, const char *addr, bool leaving, ogl_time now);
/* Adds a node that can query the advice service, or removes it if leaving.  To
 * be called again at least each second while the node is up. */
void cell_owner_relay_node(
    struct cell_owner *o, const char *addr, bool leaving, ogl_time now);
/* Adds a node that can call workers, or removes it if leaving.  To be called
 * again at least each second while the node is up. */
void cell_owner_order_answers(
    struct cell_owner *o, const Ogl__CellOrderAnswers *m, ogl_time now);
/* Takes the answers of workers to calls that another node made. */

void cell_owner_set_announced(struct cell_owner *o, bool announced);
/* Sets whether the ownership is announced; no worker is called before it is. */
void cell_owner_step(struct cell_owner *o, ogl_time confirmed, bool may_act,
    ogl_time now, ogl_time wall);
/* Does what is due.  confirmed: time as of which the store last confirmed the
 * ownership; may_act: whether workers may be given orders; wall: the wall
 * clock. */
void cell_owner_measure_load(struct cell_owner *o, ogl_time due, ogl_time now);
/* Measures the load by how late the process runs: it should have run at `due`
 * and runs at `now`.  While it runs late, a part of the new jobs is refused. */
bool cell_owner_asks_first(const struct cell_owner *o);
/* Whether the owner refuses some new jobs.  A node then has to ask it before
 * sending it a job. */
void cell_owner_add_refusals(
    struct cell_owner *o, Ogl__CellPong *pong, ogl_time now);
/* Adds what the owner would refuse now to a pong, which then points into o until
 * the next call. */
bool cell_owner_wants_confirmation(const struct cell_owner *o, ogl_time now);
/* Whether the store should be asked at once if this node is still the owner. */
void cell_owner_require_confirmation(struct cell_owner *o, ogl_time now);
/* To be called when the process may have been paused.  Nothing is started until
 * the ownership is confirmed as of now. */
ogl_time cell_owner_wake(const struct cell_owner *o);
/* When to call cell_owner_step next, OGL_NEVER if nothing is pending. */

bool cell_owner_idle(const struct cell_owner *o);
/* Whether no change waits to be stored. */

#endif
