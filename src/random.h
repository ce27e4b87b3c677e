/* Seeded random numbers and hashes, for decisions that must be reproducible. */

#ifndef OGL_RANDOM_H
#define OGL_RANDOM_H

#include <stddef.h>
#include <stdint.h>

struct ogl_random {
	uint64_t state;
};

void ogl_random_init(struct ogl_random *r, uint64_t seed);
uint64_t ogl_random_next(struct ogl_random *r);

uint64_t ogl_random_mix(uint64_t x);
/* Bijective mixing function of x; the same on every host and build. */

uint64_t ogl_random_hash(const char *p, size_t n);
/* Hash of n bytes; the same on every host and at every start. */

#endif
