/*
 * Division of each team's limit among the shards of a cell.  A start that fits
 * into the shard's part of the limit needs no message.
 */

#ifndef OGL_CELL_ESCROW_H
#define OGL_CELL_ESCROW_H

#include "shards.h"

#define CELL_PART_WHOLE_PPM 1000000U /* a whole limit, in millionths */

struct cell_escrow;

struct cell_escrow_events {
	void (*send)(void *arg, uint32_t to_shard, const Ogl__CellPart *m);
	/* Sends m to the owner of the shard, which may be this one. */
	uint32_t (*used)(void *arg, const char *team);
	/* Result: millionths of the team's limit that may be in use in this
	 * shard. */
	uint32_t (*running)(void *arg, const char *team);
	/* The same without what an earlier owner may or may not have started. */
	void (*granted)(void *arg, ogl_time now);
	/* This shard's part of a team's limit has grown. */
	void *arg;
};

struct cell_escrow *cell_escrow_init(
    uint32_t shard, uint32_t shards, const struct cell_escrow_events *events);
void cell_escrow_end(struct cell_escrow *e);

void cell_escrow_open(struct cell_escrow *e, uint64_t epoch);
/* This node now owns the shard, which holds no part yet and knows nothing of
 * the other shards. */
void cell_escrow_close(struct cell_escrow *e);

uint32_t cell_escrow_part(struct cell_escrow *e, const char *team);
/* Result: millionths of the team's limit that this shard may use; the whole
 * limit in a cell with one shard. */

void cell_escrow_watch(struct cell_escrow *e, const char *team);
/* Tasks of the team may be running in this shard since before its owner
 * changed: what they use beyond the shard's part is reported. */

/* Parts of a team's limit that waiting work needs, in millionths. */
struct cell_part_need {
	uint32_t least;  /* so that one task or gang can start */
	uint32_t wanted; /* so that all waiting tasks can start */
	uint32_t rank;   /* of the work; 0 is the highest */
};

void cell_escrow_request(struct cell_escrow *e, const char *team,
    const struct cell_part_need *need, ogl_time now);
/* Asks for a larger part of the team's limit.  Of several requests at the same
 * time, the first one of the highest rank counts.  A request that is not
 * repeated for WANT_TIMEOUT is withdrawn. */

void cell_escrow_receive(
    struct cell_escrow *e, const Ogl__CellPart *m, ogl_time now);
/* Handles a message from the owner of m->from_shard. */

void cell_escrow_step(struct cell_escrow *e, ogl_time now);
/* Sends reports that are due, repeats messages that were not answered, and
 * returns parts that are not used. */

#endif
