/*
 * The front end of a node: checks callers' requests, refuses what the
 * configuration does not allow, passes the rest on to the owners of the shards
 * and returns their answers.
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

void cell_front_set_shards(struct cell_front *f, uint32_t shards);
/* Sets the number of shards.  To be called once, before any owner is set. */
void cell_front_set_owner(struct cell_front *f, uint32_t shard,
    const char *addr, uint64_t epoch, ogl_time now);
/* Sets the owner of the shard and its epoch.  addr is NULL when no owner is
 * known. */

void cell_front_call(struct cell_front *f, uint64_t token,
    const struct cell_request *r, ogl_time now);
/* Takes one request; ops->reply is called once with its token. */
void cell_front_caller_gone(struct cell_front *f, uint64_t token);
/* Forgets a call, unanswered, whose caller has closed its connection. */

void cell_front_set_asks_first(
    struct cell_front *f, uint32_t shard, bool asks_first);
/* Whether the shard's owner is to be asked before it is sent a job, since it
 * refuses some. */

void cell_front_learn_refusals(struct cell_front *f, uint32_t shard,
    const Ogl__CellPong *pong, ogl_time now);
/* Takes from a pong of a node that owns the shard what it would refuse.  It is
 * asked before it is sent such a job. */

void cell_front_delay(
    struct cell_front *f, uint32_t shard, ogl_time delay, ogl_time now);
/* Reports the round-trip time of a message to the shard's owner, or how long
 * one has been without an answer. */

void cell_front_reply(struct cell_front *f, uint32_t shard,
    const Ogl__CellReply *r, ogl_time now);
/* Takes the answer of the shard's owner to a call. */

void cell_front_step(struct cell_front *f, ogl_time now);
/* Reads the settings stream, repeats calls without an answer and gives up those
 * that have waited too long.  To be called regularly. */

struct cell_config *cell_front_config(const struct cell_front *f);
/* The configuration in force, NULL before the first. */
bool cell_front_fresh(const struct cell_front *f, ogl_time now);
/* Whether the configuration is recent enough that a key withdrawn revoke_ms ago
 * is certainly known to be withdrawn. */

/* What a node knows of the configuration. */
struct cell_front_config {
	uint64_t version; /* 0 none */
	ogl_time as_of;   /* last time that it was certainly the newest */
	struct ogl_str record;
};

struct cell_front_config cell_front_known_config(const struct cell_front *f);
bool cell_front_cut_off(const struct cell_front *f, ogl_time now);
/* Whether the last reads of the settings have failed. */
void cell_front_learn_config(
    struct cell_front *f, const struct cell_front_config *c, ogl_time now);
/* Takes the configuration that a peer knows, for a node that can't read the
 * settings itself.  as_of is on this node's clock; the record is empty if the
 * peer did not send it. */

/* How far a node has read the settings stream. */
struct cell_front_position {
	uint64_t end;   /* all records below this offset are known; 0 none */
	ogl_time as_of; /* the stream ended there at this time */
};

struct cell_front_position cell_front_position(const struct cell_front *f);
/* As shown by this node's own reads. */
void cell_front_learn_position(
    struct cell_front *f, const struct cell_front_position *p, ogl_time now);
/* Takes a peer's position, with as_of on this node's clock.  It proves that
 * this node's settings were the newest then, or makes it read those that it has
 * not read yet. */

void cell_front_set_quiet(struct cell_front *f, bool quiet);
/* Sets whether a peer keeps telling this node its position.  A quiet node reads
 * the settings only if they have changed or the peer's reports are old. */
void cell_front_set_informs(struct cell_front *f, bool informs);
/* Sets whether quiet nodes rely on this node, which then reads more often. */

bool cell_front_uses(const struct cell_front *f, uint32_t shard, ogl_time now);
/* Whether a call of the last seconds was for the shard. */

const struct cell_zones *cell_front_zones(const struct cell_front *f);
/* The evacuated zones; valid as long as the front. */
void cell_front_learn_zones(struct cell_front *f, char *const *names, size_t n,
    uint64_t known_to, ogl_time now);
/* Takes a peer's list of the evacuated zones as of all records below known_to,
 * for a node that can't read the settings itself. */

size_t cell_front_open_calls(const struct cell_front *f);
/* Number of calls not answered yet. */

#endif
