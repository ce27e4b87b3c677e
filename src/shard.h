/* One shard of the cell as one node sees it: follow, claim, own, hand over. */

#ifndef OGL_SHARD_H
#define OGL_SHARD_H

#include <jansson.h>

#include "member.h"
#include "metrics.h"
#include "orioleglade.h"
#include "random.h"
#include "state.h"

/* A host of the platform's list. */
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

/* A question for a shard's owner, local or forwarded. */
struct ogl_ask_call {
	uint64_t waiter; /* whom ops->reply answers */
	struct ogl_str method;
	struct ogl_str path;
	const char *team; /* empty for an operator */
	const char *request_id;
	const char *work_kind;
	struct ogl_str body;
	uint64_t budget_ms;
	uint32_t suggest;    /* shard + 1 that may take the submission */
	uint32_t refused_by; /* shard + 1 that can never run it */
	bool referred;       /* by the home of its id to this shard */
};

/* Answer to a submission that another shard is to take: between nodes only;
 * the body is the shard's number in decimal. */
#define OGL_STATUS_REFERRED 309

/* What a shard asks of the node it lives in. */
struct ogl_shard_ops {
	void (*reply)(void *ctx, uint32_t shard, uint64_t waiter,
	    uint32_t status, enum ogl_verdict v, uint64_t retry_after_ms,
	    GBytes *body);
	/* The intent is durable: send the request to an executor, then call
	 * ogl_shard_outcome with its id. */
	void (*dispatch)(void *ctx, uint32_t shard, const char *id,
	    const char *team, const char *work_kind, GBytes *body,
	    uint64_t budget_ms, ogl_time now);
	/* Sends an escrow message to the owner of another shard. */
	void (*send)(void *ctx, uint32_t shard, Ogl__PeerMsg *msg);
};

/* What all shards of a node share; the node owns it. */
struct ogl_shard_env {
	const struct ogl_node_config *cfg;
	struct ogl_settings *settings;
	struct ogl_member *member;
	GHashTable *hosts; /* name -> struct ogl_host */
	struct ogl_counters *counters;
	struct ogl_random rnd;
	const struct ogl_shard_ops *ops;
	void *ctx;
	struct ogl_actions *out; /* of the present step */
};

struct ogl_shard;

enum ogl_role {
	OGL_ROLE_NONE,   /* some other node's, or nobody's */
	OGL_ROLE_READER, /* reads its stream, may claim it */
	OGL_ROLE_OWNER
};

struct ogl_shard *ogl_shard_init(
    struct ogl_shard_env *env, uint32_t index, ogl_time now);
void ogl_shard_end(struct ogl_shard *sh);

enum ogl_role ogl_shard_role(const struct ogl_shard *sh);
uint64_t ogl_shard_epoch(const struct ogl_shard *sh);
bool ogl_shard_ready(const struct ogl_shard *sh);
/* It owns the shard and knows what runs on its workers. */

void ogl_shard_fact(const struct ogl_shard *sh, Ogl__ShardFact *f);
/* What the owner tells the cell. */

void ogl_shard_known_owner(
    struct ogl_shard *sh, const char *node, uint64_t epoch, bool offered);
/* News from gossip: who owns it; NULL for nobody known. */

void ogl_shard_stop(struct ogl_shard *sh, ogl_time now);
/* The node leaves: offer the shard to the others. */

void ogl_shard_tick(struct ogl_shard *sh, ogl_time now);
ogl_time ogl_shard_next(const struct ogl_shard *sh);

void ogl_shard_event(
    struct ogl_shard *sh, const struct ogl_event *ev, ogl_time now);
/* An answer to one of the shard's actions, by token. */

uint64_t ogl_shard_token_base(uint32_t index);
int64_t ogl_shard_of_token(uint64_t token);
/* Tokens name their shard; -1 for a token of another part. */

void ogl_shard_call(
    struct ogl_shard *sh, const struct ogl_ask_call *c, ogl_time now);
/* Answers through ops->reply, now or later, exactly once. */

void ogl_shard_waiter_gone(struct ogl_shard *sh, uint64_t waiter);

void ogl_shard_outcome(struct ogl_shard *sh, const char *id, enum ogl_verdict v,
    uint32_t status, uint64_t retry_after_ms, GBytes *body, ogl_time now);
/* What became of a dispatched request. */

void ogl_shard_promise(struct ogl_shard *sh, const char *from,
    const Ogl__Promise *p, ogl_time now);
/* A peer asks us not to claim, or answers our asking. */

void ogl_shard_settings(struct ogl_shard *sh, ogl_time now);
/* The settings tree changed. */

void ogl_shard_escrow(
    struct ogl_shard *sh, const Ogl__PeerMsg *msg, ogl_time now);

json_t *ogl_shard_view(
    const struct ogl_shard *sh, struct ogl_str path, ogl_time now);
/* Operators' view of an owned shard as a list: /v1/shards, /v1/queues or
 * /v1/workers; empty for another path. */

#endif
