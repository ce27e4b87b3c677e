/*
 * Teams' limits in a cell of several shards: which part of each a shard may
 * use.  A start costs no message as long as the part holds it.
 */

#ifndef OGL_CELL_ESCROW_H
#define OGL_CELL_ESCROW_H

#include "shards.h"

#define CELL_PART_WHOLE 1000000U /* millionths of a limit */

struct cell_escrow;

struct cell_escrow_events {
	void (*send)(void *arg, uint32_t to_shard, const Ogl__CellPart *m);
	/* To the owner of that shard, which may be this one. */
	uint32_t (*used)(void *arg, const char *team);
	/* Millionths of its limit that may be in use here. */
	void (*granted)(void *arg, ogl_time now);
	/* A part has grown. */
	void *arg;
};

struct cell_escrow *cell_escrow_init(
    uint32_t shard, uint32_t shards, const struct cell_escrow_events *events);
void cell_escrow_end(struct cell_escrow *e);

void cell_escrow_open(struct cell_escrow *e, uint64_t epoch);
/* The shard was taken over: nothing is held, and nothing known of others. */
void cell_escrow_close(struct cell_escrow *e);

uint32_t cell_escrow_part(struct cell_escrow *e, const char *team);
/* What this shard may use of the team's limit; all of it in a cell of one. */

void cell_escrow_want(
    struct cell_escrow *e, const char *team, uint32_t part, ogl_time now);
/* Waiting work could start if the part were so large. */

void cell_escrow_take(
    struct cell_escrow *e, const Ogl__CellPart *m, ogl_time now);
/* A message from the owner of m->from_shard. */

void cell_escrow_step(struct cell_escrow *e, ogl_time now);
/* Repeats what was not answered, gives back what is not used. */

#endif
