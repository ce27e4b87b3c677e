/*
 * Whose fault a failure is.
 *
 * A request that fails on one target is held against the target.  When the
 * same request fails on a second one, the request is at fault: the second
 * target is not blamed, and the first one, blamed before that was known, is
 * cleared.  Without this one poisonous request, tried again by its caller,
 * closes target after target; it shows as breakers that open one by one
 * while other requests to the same targets do well.
 */

#include "route.h"

#define LIFE (60 * OGL_SEC) /* how long a failure is remembered */

static bool
elsewhere(
    const struct ogl_blame_entry *e, uint64_t request, uint32_t t, ogl_time now)
{
	return e->at != 0 && e->request == request && e->t != t &&
	       now - e->at <= LIFE;
}

bool
ogl_blame_note(struct ogl_blame *b, uint64_t request, uint32_t t, ogl_time now)
{
	struct ogl_blame_entry *e;
	bool blamed = true;
	uint32_t i;

	for (i = 0; i < OGL_BLAME_KEPT; i++) {
		if (elsewhere(&b->entries[i], request, t, now))
			blamed = false;
	}
	e = &b->entries[b->next++ % OGL_BLAME_KEPT];
	e->request = request;
	e->t = t;
	e->blamed = blamed;
	e->at = now;
	return blamed;
}

bool
ogl_blame_lift(struct ogl_blame *b, uint64_t request, uint32_t t, ogl_time now,
    uint32_t *before)
{
	struct ogl_blame_entry *e;
	uint32_t i;

	for (i = 0; i < OGL_BLAME_KEPT; i++) {
		e = &b->entries[i];
		if (!e->blamed || !elsewhere(e, request, t, now))
			continue;
		e->blamed = false;
		*before = e->t;
		return true;
	}
	return false;
}
