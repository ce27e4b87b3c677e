/*
 * The cell cut into shards: each has workers, jobs and an owner of its own.
 *
 * One owner decides for 400 workers with ease and for 700 at the utmost; a
 * larger cell is cut.  The number of shards is decided once, when the cell is
 * first started, and is kept on the store: a worker that passed from one owner
 * to another while both act could run a task that either takes for not
 * running.
 */

#ifndef OGL_CELL_SHARDS_H
#define OGL_CELL_SHARDS_H

#include "ops.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CELL_SHARDS_MAX 32

uint32_t cell_shards_wanted(size_t workers, size_t smallest_service);
/* How many shards suit a cell of so many workers, from 1 to CELL_SHARDS_MAX.
 * smallest_service: workers of the service that has the fewest; each shard must
 * have some of them, or jobs handed in there would never run. */

uint32_t cell_shard_of_worker(
    const char *rack, const char *id, uint32_t shards);
/* The workers of a rack are of one shard; one without a rack ("") goes by its
 * id. */

uint32_t cell_shard_of_job(
    const char *id, const Ogl__CellJob *def, uint32_t shards);
/* Where a job is handed in: the shard that has the rack of its data, else by
 * its id.  def NULL: where a job of which only the id is known is sought
 * first. */

uint32_t cell_shard_of_node(const char *addr, uint32_t shards);
/* The shard whose owner asks advice through the node; it also claims that one
 * before others. */

#ifdef __cplusplus
}
#endif

#endif
