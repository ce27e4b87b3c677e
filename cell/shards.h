/*
 * Division of the cell into shards.  Each shard has its own workers, jobs and
 * owner.
 *
 * One owner on half a processor handles 400 workers easily and 700 at most, so a
 * larger cell is divided.  The number of shards is decided when the cell is first started, is
 * kept on the store and never changes.  A change could move a worker from one
 * owner to another while both are active; the worker might then run a task that
 * both owners believe is not running.
 */

#ifndef OGL_CELL_SHARDS_H
#define OGL_CELL_SHARDS_H

#include "ops.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CELL_SHARDS_MAX 32

uint32_t cell_shards_wanted(
    size_t workers, size_t smallest_service_workers, uint32_t cpu_milli);
/* Returns the number of shards for a cell with this many workers, from 1 to
 * CELL_SHARDS_MAX.  cpu_milli: thousandths of a processor that an owner's host
 * has, 0 unknown.  smallest_service_workers: number of workers of the service
 * that has the fewest.  It limits the number of shards, as a job never runs in
 * a shard that has no workers of its service. */

uint32_t cell_shard_of_worker(
    const char *rack, const char *id, uint32_t shards);
/* Shard of a worker.  All workers of a rack belong to the same shard; a worker
 * without a rack ("") is assigned by its id. */

uint32_t cell_shard_of_job(
    const char *id, const Ogl__CellJob *def, uint32_t shards);
/* Shard of a job: the shard of the rack that holds its data, or one chosen by
 * the job's id if it names no rack.  def is NULL if only the id is known; the
 * job may then be in another shard, and the result is the one to try first. */

uint32_t cell_shard_of_node(const char *addr, uint32_t shards);
/* Preferred shard of a node.  The node claims it after a shorter delay than
 * other shards.  While the node owns no shard, the owner of the preferred one
 * may query the advice service through it. */

#ifdef __cplusplus
}
#endif

#endif
