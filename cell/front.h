/*
 * The entry: looks at callers' requests, refuses what the configuration does
 * not allow, passes the rest on to the shards' owners and gives their answers
 * back.
 */

#ifndef OGL_CELL_FRONT_H
#define OGL_CELL_FRONT_H

#include "cell_config.h"
#include "shards.h"
#include "zones.h"

struct cell_front;

struct cell_front_events {
	void (*send)(
	    void *arg, uint32_t shard, const char *to, const Ogl__CellCall *c);
	/* Passes a call on to the shard's owner at `to`. */
	void *arg;
};

struct cell_front *cell_front_init(const struct cell_ops *ops,
    const struct cell_limits *limits, const struct cell_front_events *events);
void cell_front_end(struct cell_front *f);

void cell_front_shards(struct cell_front *f, uint32_t shards);
/* The number of shards is known; to be told once, before any owner. */
void cell_front_owner(struct cell_front *f, uint32_t shard, const char *addr,
    uint64_t epoch, ogl_time now);
/* Who owns the shard; NULL: nobody, as far as is known. */

void cell_front_call(struct cell_front *f, uint64_t token,
    const struct cell_request *r, ogl_time now);
/* One request; ops->reply is called once with its token. */
void cell_front_gone(struct cell_front *f, uint64_t token);
/* Its caller has left. */

void cell_front_asks_first(
    struct cell_front *f, uint32_t shard, bool asks_first);
/* Whether the shard's owner wants to be asked before it is sent a job. */

void cell_front_delay(
    struct cell_front *f, uint32_t shard, ogl_time delay, ogl_time now);
/* What a message to the shard's owner and back takes, or has taken without
 * coming back. */

void cell_front_reply(struct cell_front *f, uint32_t shard,
    const Ogl__CellReply *r, ogl_time now);
/* The answer of the shard's owner. */

void cell_front_step(struct cell_front *f, ogl_time now);
/* Follows the settings, repeats and gives up calls. */

struct cell_config *cell_front_config(const struct cell_front *f);
/* In force; NULL before the first. */
bool cell_front_fresh(const struct cell_front *f, ogl_time now);
/* Whether a key withdrawn long enough ago is certainly known to be. */

/* What a node knows of the configuration. */
struct cell_front_config {
	uint64_t version; /* 0 none */
	ogl_time as_of;   /* when it was certainly the newest */
	struct ogl_str record;
};

struct cell_front_config cell_front_known(const struct cell_front *f);
bool cell_front_cut_off(const struct cell_front *f, ogl_time now);
/* Whether the last reads of the settings failed. */
void cell_front_learn(
    struct cell_front *f, const struct cell_front_config *c, ogl_time now);
/* What a peer knows, as_of on this node's clock; the record is empty when the
 * peer did not send it. */

const struct cell_zones *cell_front_zones(const struct cell_front *f);
/* Evacuated zones; lives as long as the front. */
void cell_front_learn_zones(struct cell_front *f, char *const *names, size_t n,
    uint64_t known_to, ogl_time now);
/* The list of a peer, for a node that can't read the settings itself. */

size_t cell_front_open(const struct cell_front *f);
/* Calls not answered yet. */

#endif
