/*
 * Attribution of failures to targets or to requests.
 *
 * A failure counts against the target at first.  If the same request then
 * fails on a second target, the request is at fault: the second target is not
 * blamed, and the blame on the first one is cleared.  Otherwise a single
 * request that makes its targets fail, retried by its caller, opens the
 * breaker of one target after another, while other requests to these targets
 * succeed.
 */

#include "route.h"

#define FAILURE_EXPIRY (60 * OGL_SEC)

static bool
failed_on_other_target(const struct ogl_blame_entry *e, uint64_t request,
    uint32_t target, ogl_time now)
{
	return e->failed_at != 0 && e->request == request &&
	       e->target != target && now - e->failed_at <= FAILURE_EXPIRY;
}

bool
ogl_blame_record(
    struct ogl_blame *b, uint64_t request, uint32_t target, ogl_time now)
{
	struct ogl_blame_entry *e;
	bool blamed = true;
	uint32_t i;

	for (i = 0; i < OGL_BLAME_ENTRIES; i++) {
		if (failed_on_other_target(
			&b->entries[i], request, target, now))
			blamed = false;
	}
	e = &b->entries[b->next++ % OGL_BLAME_ENTRIES];
	e->request = request;
	e->target = target;
	e->blamed = blamed;
	e->failed_at = now;
	return blamed;
}

bool
ogl_blame_clear(struct ogl_blame *b, uint64_t request, uint32_t target,
    ogl_time now, uint32_t *cleared)
{
	struct ogl_blame_entry *e;
	uint32_t i;

	for (i = 0; i < OGL_BLAME_ENTRIES; i++) {
		e = &b->entries[i];
		if (!e->blamed ||
		    !failed_on_other_target(e, request, target, now))
			continue;
		e->blamed = false;
		*cleared = e->target;
		return true;
	}
	return false;
}
