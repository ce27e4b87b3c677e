/* One shard of the cell on one node: reading its stream, claiming, owning and
 * handing over. */

#ifndef OGL_SHARD_H
#define OGL_SHARD_H

#include <jansson.h>

#include "member.h"
#include "metrics.h"
#include "orioleglade.h"
#include "random.h"
#include "state.h"

/* A host of the platform's host list. */
struct ogl_host {
	char *name;
	char *addr;
	char *zone;
	char *rack;
	Ogl__HostRole role;
	bool leaving;
	bool listed; /* in the newest list */
	ogl_time listed_at;
};

/* A call to a shard's owner, local or forwarded by another node. */
struct ogl_owner_call {
	uint64_t waiter; /* passed back to ops->reply */
	struct ogl_str method;
	struct ogl_str path;
	const char *team; /* empty when an operator calls */
	const char *request_id;
	const char *work_kind;
	struct ogl_str body;
	uint64_t budget_ms;
	uint32_t suggest;    /* shard number + 1 with room for the job, or 0 */
	uint32_t refused_by; /* shard number + 1 that can never run it, or 0 */
	bool referred;       /* the id's home shard referred it to this one */
};

/* Status that refers a submission to another shard, used between nodes only.
 * The body is that shard's number in decimal. */
#define OGL_STATUS_REFERRED 309

/* Callbacks from a shard to its node. */
struct ogl_shard_ops {
	/* Answers the waiter of an ogl_owner_call. */
	void (*reply)(void *ctx, uint32_t shard, uint64_t waiter,
	    uint32_t status, enum ogl_verdict v, uint64_t retry_after_ms,
	    GBytes *body);
	/* Sends the request to an executor, and calls ogl_shard_outcome with
	 * its id afterwards.  Called once the intent is durable. */
	void (*dispatch)(void *ctx, uint32_t shard, const char *id,
	    const char *team, const char *work_kind, GBytes *body,
	    uint64_t budget_ms, ogl_time now);
	/* Sends an escrow message to the owner of another shard. */
	void (*send)(void *ctx, uint32_t shard, Ogl__PeerMsg *msg);
};

/* State that all shards of a node share.  The node owns it. */
struct ogl_shard_env {
	const struct ogl_node_config *cfg;
	struct ogl_settings *settings;
	struct ogl_member *member;
	GHashTable *hosts; /* name -> struct ogl_host */
	struct ogl_counters *counters;
	struct ogl_random rnd;
	const struct ogl_shard_ops *ops;
	void *ctx;
	struct ogl_actions *out; /* receives the current step's actions */
};

struct ogl_shard;

enum ogl_role {
	OGL_ROLE_NONE,   /* another node owns the shard, or none does */
	OGL_ROLE_READER, /* reads the shard's stream in order to claim it */
	OGL_ROLE_OWNER
};

struct ogl_shard *ogl_shard_init(
    struct ogl_shard_env *env, uint32_t index, ogl_time now);
void ogl_shard_end(struct ogl_shard *sh);

enum ogl_role ogl_shard_role(const struct ogl_shard *sh);
uint64_t ogl_shard_epoch(const struct ogl_shard *sh);
bool ogl_shard_ready(const struct ogl_shard *sh);
/* Whether this node owns the shard and has finished recovery: no task of an
 * earlier owner can run unknown to it. */

void ogl_shard_fact(const struct ogl_shard *sh, Ogl__ShardFact *f);
/* Fills in f with the facts that the owner gossips.  Owner only. */

void ogl_shard_set_known_owner(
    struct ogl_shard *sh, const char *node, uint64_t epoch, bool offered);
/* Sets the owner known from gossip, NULL for none, and whether it offers the
 * shard to other nodes. */

void ogl_shard_stop(struct ogl_shard *sh, ogl_time now);
/* Offers the shard to other nodes, since this node is stopping. */

void ogl_shard_tick(struct ogl_shard *sh, ogl_time now);
ogl_time ogl_shard_next(const struct ogl_shard *sh);

void ogl_shard_event(
    struct ogl_shard *sh, const struct ogl_event *ev, ogl_time now);
/* Handles the answer to an action that has a token of this shard. */

uint64_t ogl_shard_token_base(uint32_t index);
int64_t ogl_shard_of_token(uint64_t token);
/* Tokens contain their shard's number.  ogl_shard_of_token returns -1 for a
 * token that no shard made. */

void ogl_shard_call(
    struct ogl_shard *sh, const struct ogl_owner_call *c, ogl_time now);
/* Answers the call through ops->reply exactly once, now or later. */

void ogl_shard_waiter_gone(struct ogl_shard *sh, uint64_t waiter);
/* Drops a waiter, which then gets no answer. */

void ogl_shard_outcome(struct ogl_shard *sh, const char *id, enum ogl_verdict v,
    uint32_t status, uint64_t retry_after_ms, GBytes *body, ogl_time now);
/* Records the outcome of a request sent through ops->dispatch and answers its
 * waiters. */

void ogl_shard_promise(struct ogl_shard *sh, const char *from,
    const Ogl__Promise *p, ogl_time now);
/* Handles a peer's request not to claim the shard, or its promise not to. */

void ogl_shard_settings(struct ogl_shard *sh, ogl_time now);
/* Applies a changed settings tree. */

void ogl_shard_escrow(
    struct ogl_shard *sh, const Ogl__PeerMsg *msg, ogl_time now);
/* Handles an escrow message from the owner of another shard. */

json_t *ogl_shard_view(
    const struct ogl_shard *sh, struct ogl_str path, ogl_time now);
/* Returns a new JSON list for operators, for the path /v1/shards, /v1/queues
 * or /v1/workers; empty for any other path.  Owner only. */

#endif
