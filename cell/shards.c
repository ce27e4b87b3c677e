/*
 * Decides how many shards a cell has and which shard each worker, job and node
 * belongs to.
 *
 * Shards are assigned by a hash of a name, so that all nodes get the same
 * result without communication.
 */

#include "shards.h"

/*
 * An owner on half a core handles about 1,500 task starts per second.  350
 * workers need 720 starts per second at their usual load and twice that in
 * bursts.
 */
#define WORKERS_PER_SHARD 400
#define SHARD_CPU_MILLI 500
/* Racks are assigned by hash, so a shard may get none of a service's racks.
 * With about 100 workers of the service per shard, in 12 racks of 8, a given
 * shard gets none in one of 160,000 cells, whatever the number of shards. */
#define SERVICE_WORKERS_PER_SHARD_MIN 100

/* FNV-1a gives the same result on every machine and spreads short names well.
 * Its lowest bits depend only on the lowest bits of each character, so higher
 * bits are mixed into them at the end. */
#define FNV_OFFSET_BASIS 2166136261U
#define FNV_PRIME 16777619U

static uint32_t
hash_name(const char *s)
{
	uint32_t h = FNV_OFFSET_BASIS;

	for (; *s != '\0'; s++)
		h = (h ^ (uint8_t)*s) * FNV_PRIME;
	return h ^ h >> 15;
}

uint32_t
cell_shards_wanted(
    size_t workers, size_t smallest_service_workers, uint32_t cpu_milli)
{
	/* A weak host that decides is not the one that will own a shard. */
	size_t per_shard = WORKERS_PER_SHARD *
			   (size_t)MAX(cpu_milli, SHARD_CPU_MILLI) /
			   SHARD_CPU_MILLI;
	size_t shards = (workers + per_shard - 1) / per_shard;

	shards = MIN(
	    shards, smallest_service_workers / SERVICE_WORKERS_PER_SHARD_MIN);
	return (uint32_t)CLAMP(shards, 1, CELL_SHARDS_MAX);
}

uint32_t
cell_shard_of_worker(const char *rack, const char *id, uint32_t shards)
{
	return hash_name(*rack != '\0' ? rack : id) % shards;
}

uint32_t
cell_shard_of_job(const char *id, const Ogl__CellJob *def, uint32_t shards)
{
	size_t i;

	for (i = 0; def != NULL && i < def->n_steps; i++) {
		const char *rack = def->steps[i]->data_rack;

		if (*rack != '\0')
			return hash_name(rack) % shards;
	}
	return hash_name(id) % shards;
}

uint32_t
cell_shard_of_node(const char *addr, uint32_t shards)
{
	return hash_name(addr) % shards;
}
