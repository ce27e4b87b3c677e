/*
 * Reads a shard's jobs from the store during a takeover, and fences off the
 * earlier owner.
 */

#ifndef OGL_CELL_LOADER_H
#define OGL_CELL_LOADER_H

#include "ops.h"

/* Key of the record that lists the workers a new owner has to call. */
#define CELL_WORKERS_KEY "workers"

struct cell_loader;

/* The records that were read.  They are valid during the callback only, but
 * jobs may be taken out of defs. */
struct cell_loaded {
	GHashTable *progress; /* id -> Ogl__CellProgress */
	GHashTable *defs;     /* id -> Ogl__CellJob, the submission */
	GBytes *workers;      /* record CELL_WORKERS_KEY; NULL none */
	/* Set of the ids of jobs that have a record which can't be read.  They
	 * are in neither table, and nothing is written of them. */
	GHashTable *unreadable;
};

struct cell_loader_events {
	void (*outranked)(void *arg, ogl_time now);
	/* The store refused the fence, as it has seen a higher epoch. */
	void (*loaded)(void *arg, const struct cell_loaded *l, ogl_time now);
	void *arg;
};

struct cell_loader *cell_loader_init(const struct cell_ops *ops, uint32_t shard,
    uint32_t link_kbps, const struct cell_loader_events *events);
void cell_loader_end(struct cell_loader *l);

void cell_loader_prepare(
    struct cell_loader *l, ogl_time store_took, ogl_time now);
/* Reads the jobs while another node still owns the shard, so that
 * cell_loader_open has to read only later changes if it is called within the
 * next seconds.  store_took: the store's last response time, 0 if unknown. */
bool cell_loader_prepared(const struct cell_loader *l, ogl_time now);
/* Whether the jobs were read recently enough to be used by cell_loader_open. */

void cell_loader_open(
    struct cell_loader *l, uint64_t epoch, ogl_time store_took, ogl_time now);
/* Fences the stream with the epoch, reads it and then calls events.loaded.
 * store_took: the store's last response time, 0 if unknown. */
void cell_loader_close(struct cell_loader *l);
/* Drops what was read, and ignores answers that arrive later. */

void cell_loader_step(struct cell_loader *l, ogl_time now);
/* Sends the requests that are due, and repeats overdue ones. */

#endif
