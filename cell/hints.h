/*
 * What an owner would refuse now, by queue and team: kept by the owner, sent
 * with its pongs, and kept by the nodes that it answers.
 */

#ifndef OGL_CELL_HINTS_H
#define OGL_CELL_HINTS_H

#include "orioleglade.h"

#include "cell.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Most entries of an owner.  A pong with as many has 0.5 kB, and 40 nodes get
 * four pongs a second, which is a sixteenth of a link of 10 Mbit/s. */
#define CELL_HINTS_MAX 16
/* An older hint is not used. */
#define CELL_HINT_AGE_MAX (600 * OGL_MS)

/* ---- the owner ------------------------------------------------------------ */

struct cell_refusals;

struct cell_refusals *cell_refusals_init(void);
void cell_refusals_end(struct cell_refusals *r);
void cell_refusals_clear(struct cell_refusals *r);

void cell_refusals_add(struct cell_refusals *r, const char *queue,
    const char *team, uint32_t retry_ms, ogl_time now);
/* A forecast refused a new job of the queue.  team: the team that this is so
 * for, "" if the team does not matter. */
void cell_refusals_accepted(
    struct cell_refusals *r, const char *queue, const char *team);
/* A new job of the queue and the team was accepted. */

bool cell_refusals_apply(const struct cell_refusals *r, const char *queue,
    const char *team, ogl_time now);
/* Whether a new job of the queue and the team would be refused. */

void cell_refusals_list(
    struct cell_refusals *r, Ogl__CellPong *pong, ogl_time now);
/* Adds what would be refused to a pong, which then points into r until the next
 * call. */

/* ---- a node that asks the owner ------------------------------------------- */

/* Hints of one shard's owners; valid when zeroed. */
struct cell_hints {
	uint64_t epoch;
	ogl_time as_of;
	unsigned n;
	struct {
		char *queue;
		char *team;
	} entries[CELL_HINTS_MAX];
};

void cell_hints_clear(struct cell_hints *h);

void cell_hints_learn(
    struct cell_hints *h, const Ogl__CellPong *pong, ogl_time now);
/* Replaces the hints by those of a pong, unless they are of a lower epoch or
 * older than those that are known.  pong->stamp is a time of this node. */

bool cell_hints_apply(const struct cell_hints *h, uint64_t owner_epoch,
    const char *queue, const char *team, ogl_time now);
/* Whether the owner of that epoch has said lately that it would refuse a new
 * job of the queue and the team. */

#ifdef __cplusplus
}
#endif

#endif
