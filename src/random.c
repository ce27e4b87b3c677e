/*
 * Random numbers by splitmix64, and hashes of bytes by FNV-1a followed by
 * splitmix64's mixing function.  Neither may ever change: the shard of a job
 * or request id depends on them.  GLib's generator and hashes may change
 * between its versions, so they can't be used here.
 */

#include "random.h"

#define GOLDEN_GAMMA 0x9e3779b97f4a7c15ull
#define FNV_OFFSET_BASIS 0xcbf29ce484222325ull
#define FNV_PRIME 0x100000001b3ull

void
ogl_random_init(struct ogl_random *r, uint64_t seed)
{
	r->state = seed;
}

uint64_t
ogl_random_mix(uint64_t x)
{
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
	return x ^ (x >> 31);
}

uint64_t
ogl_random_next(struct ogl_random *r)
{
	r->state += GOLDEN_GAMMA;
	return ogl_random_mix(r->state);
}

uint64_t
ogl_random_hash(const char *p, size_t n)
{
	uint64_t h = FNV_OFFSET_BASIS;

	for (size_t i = 0; i < n; i++)
		h = (h ^ (unsigned char)p[i]) * FNV_PRIME;
	return ogl_random_mix(h);
}
