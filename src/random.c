/*
 * Random numbers by the published splitmix64 step, and byte hashing by the
 * published FNV-1a followed by the same mixer.  Both are fixed for ever:
 * where jobs and request ids have their home depends on them.  GLib's
 * generator and hashes may change between its versions, so they don't serve.
 */

#include "random.h"

#define GOLDEN 0x9e3779b97f4a7c15ull
#define FNV_START 0xcbf29ce484222325ull
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
	r->state += GOLDEN;
	return ogl_random_mix(r->state);
}

uint64_t
ogl_random_hash(const char *p, size_t n)
{
	uint64_t h = FNV_START;

	for (size_t i = 0; i < n; i++)
		h = (h ^ (unsigned char)p[i]) * FNV_PRIME;
	return ogl_random_mix(h);
}
