/*
 * Everything goes by a hash of a name, so that each node comes to the same
 * result without asking.
 */

#include "shards.h"

/*
 * An owner on half a core carries some 1,500 starts a second, and 350 workers
 * bring 720 at their usual load; twice that comes in bursts.
 */
#define WORKERS_A_SHARD 400
/* Racks go to shards by chance: of 12 racks of 8 workers each, a shard of any
 * number gets none once in 160,000 cells. */
#define SERVICE_A_SHARD 100

/* FNV-1a: the same on every machine, and short names spread well. */
#define HASH_START 2166136261U
#define HASH_PRIME 16777619U

static uint32_t
hash(const char *s)
{
	uint32_t h = HASH_START;

	for (; *s != '\0'; s++)
		h = (h ^ (uint8_t)*s) * HASH_PRIME;
	return h ^ h >> 15;
}

uint32_t
cell_shards_wanted(size_t workers, size_t smallest_service)
{
	size_t n = (workers + WORKERS_A_SHARD - 1) / WORKERS_A_SHARD;

	n = MIN(n, smallest_service / SERVICE_A_SHARD);
	return (uint32_t)CLAMP(n, 1, CELL_SHARDS_MAX);
}

uint32_t
cell_shard_of_worker(const char *rack, const char *id, uint32_t shards)
{
	return hash(*rack != '\0' ? rack : id) % shards;
}

uint32_t
cell_shard_of_job(const char *id, const Ogl__CellJob *def, uint32_t shards)
{
	size_t i;

	for (i = 0; def != NULL && i < def->n_steps; i++) {
		const char *rack = def->steps[i]->data_rack;

		if (*rack != '\0')
			return hash(rack) % shards;
	}
	return hash(id) % shards;
}

uint32_t
cell_shard_of_node(const char *addr, uint32_t shards)
{
	return hash(addr) % shards;
}
