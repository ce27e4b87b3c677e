/*
 * Retry budget: a token bucket, one token for each retry.
 *
 * When targets are overloaded, each retry adds load and makes more requests
 * fail, so the overload outlasts its cause: load stays high while few
 * requests succeed.  Therefore the number of retries is bounded by the number
 * of successes.  Each success adds a tenth of a retry, up to a small maximum,
 * and time adds retries at a low rate so that a node with few requests can
 * retry at all.  Retries thus increase the load by a tenth at most.
 */

#include "budget.h"

#define TOKENS_PER_SUCCESS 0.1
#define TOKENS_PER_SECOND 0.5 /* added even without any success */
#define TOKENS_MAX 20.0

void
ogl_budget_init(struct ogl_budget *b, ogl_time now)
{
	b->tokens = TOKENS_MAX / 2;
	b->refilled_at = now;
}

void
ogl_budget_success(struct ogl_budget *b)
{
	b->tokens = MIN(b->tokens + TOKENS_PER_SUCCESS, TOKENS_MAX);
}

bool
ogl_budget_take(struct ogl_budget *b, ogl_time now)
{
	double seconds = (double)(now - b->refilled_at) / OGL_SEC;

	b->refilled_at = now;
	b->tokens = MIN(b->tokens + seconds * TOKENS_PER_SECOND, TOKENS_MAX);
	if (b->tokens < 1)
		return false;
	b->tokens--;
	return true;
}
