/*
 * Division of the cell into shards.  Each shard has its own workers, jobs and
 * owner.
 *
 * One owner handles 400 workers easily and 700 at most, so a larger cell is
 * divided.  The number of shards is decided once, when the cell is first
 * started, and is kept on the store.  If it could change, a worker might move
 * from one owner to another while both are active, and run a task that each of
 * them believes is not running.
 */

#ifndef OGL_CELL_SHARDS_H
#define OGL_CELL_SHARDS_H

#include "ops.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CELL_SHARDS_MAX 32

uint32_t cell_shards_wanted(size_t workers, size_t smallest_service);
/* Returns the number of shards for a cell with this many workers, from 1 to
 * CELL_SHARDS_MAX.  smallest_service: number of workers of the service that has
 * the fewest.  Each shard needs workers of each service, or jobs of a service
 * without workers there would never run. */

uint32_t cell_shard_of_worker(
    const char *rack, const char *id, uint32_t shards);
/* Shard of a worker.  All workers of a rack belong to the same shard; a worker
 * without a rack ("") is assigned by its id. */

uint32_t cell_shard_of_job(
    const char *id, const Ogl__CellJob *def, uint32_t shards);
/* Shard to which a job is submitted: the shard of the rack that holds its data,
 * or one chosen by its id if it names no rack.  If only the id is known, def is
 * NULL and the result is the shard to try first. */

uint32_t cell_shard_of_node(const char *addr, uint32_t shards);
/* Preferred shard of a node.  The shard's owner requests advice through the
 * node, and the node claims this shard before others. */

#ifdef __cplusplus
}
#endif

#endif
