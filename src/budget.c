/*
 * Retry budget.
 *
 * When targets are overloaded every failure that is tried again adds load,
 * more requests fail, and the overload feeds itself long after its cause has
 * gone; it shows as a load that stays high while little succeeds.  So a
 * retry must be paid for by successes: each earns a tenth of one, up to a
 * small store, and a slow trickle lets a quiet node retry at all.  At worst
 * the load grows by a tenth.
 */

#include "budget.h"

#define RATIO 0.1        /* retries earned a success */
#define STORE 20.0       /* most retries saved up */
#define TRICKLE_RATE 0.5 /* retries a second without any success */

void
ogl_budget_init(struct ogl_budget *b, ogl_time now)
{
	b->tokens = STORE / 2;
	b->last = now;
}

void
ogl_budget_success(struct ogl_budget *b)
{
	b->tokens = MIN(b->tokens + RATIO, STORE);
}

bool
ogl_budget_take(struct ogl_budget *b, ogl_time now)
{
	double seconds = (double)(now - b->last) / OGL_SEC;

	b->last = now;
	b->tokens = MIN(b->tokens + seconds * TRICKLE_RATE, STORE);
	if (b->tokens < 1)
		return false;
	b->tokens--;
	return true;
}
