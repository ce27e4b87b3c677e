/*
 * Leases of a worker's runs.
 *
 * A worker's clock advances by 0.98 to 1 ms while ours advances by 1 ms.  A
 * clock value that arrived at time a shows that the clock is at least
 *
 *	clock_min(t) = value + 0.98 (t - a)
 *
 * at time t.  Each use takes the side on which an error does no harm:
 *
 * - The end asked for at time s is clock_min(s) + LEASE_MS.  So no owner ever
 *   asks for an end later than LEASE_MS after the worker's time at s, however
 *   old its reading is.  An old reading makes the lease shorter.
 * - A new owner that has read the clock after all orders of earlier owners
 *   counts with an end LEASE_MS after that reading.
 * - An order to a worker's last incarnation that reaches the next one asks for
 *   an end on the old clock, which the new one shortens to the longest lease
 *   that it grants.  A worker's clock starts with its incarnation.
 * - A lease has expired once clock_min(t) has reached its end.
 * - Where a new owner has read no clock, a lease asked for at time s has expired
 *   at s + LEASE_MS / 0.98.  No earlier owner asks for one more than
 *   CELL_LEASE_PROOF_MAX_AGE after the last proof that it was the owner.
 */

#include "lease.h"

/* Longest lease asked for.  It has to outlast a change of owner, and bounds how
 * long the tasks of a worker that is cut off can't be started elsewhere. */
#define LEASE_MS 4000
#define CLOCK_RATE_MIN 0.98
#define ROUNDING_MS 2
/* Covers timers and the rounding of times to milliseconds. */
#define EXPIRY_MARGIN (250 * OGL_MS)
/* An order that is not answered is carried out within this time or never. */
#define LATE_ORDER_MAX_MS 15000
/* A lease asked for by a reading of this age is shorter by 1.2 s. */
#define CLOCK_AGE_MAX (60 * OGL_SEC)

void
cell_lease_read_clock(struct cell_lease *l, uint64_t clock_ms, ogl_time now)
{
	if (clock_ms == 0)
		return;
	l->clock_ms = clock_ms;
	l->read_at = now;
}

bool
cell_lease_clock_old(const struct cell_lease *l, ogl_time now)
{
	return now - l->read_at > CLOCK_AGE_MAX;
}

static uint64_t
clock_min(const struct cell_lease *l, ogl_time now)
{
	ogl_time age_ms = (now - l->read_at) / OGL_MS;

	return l->clock_ms + (uint64_t)((double)age_ms * CLOCK_RATE_MIN);
}

bool
cell_lease_clock_restarted(
    const struct cell_lease *l, uint64_t clock_ms, ogl_time sent_at)
{
	ogl_time since_ms = (sent_at - l->read_at) / OGL_MS;
	int64_t least_ms = (int64_t)l->clock_ms + since_ms;

	if (clock_ms == 0 || l->clock_ms == 0)
		return false;
	if (since_ms > 0)
		least_ms = (int64_t)clock_min(l, sent_at);
	return (int64_t)clock_ms < least_ms - ROUNDING_MS;
}

/* The longest time on our clock in which the worker's advances by ms. */
static ogl_time
longest_time(uint64_t ms)
{
	return (ogl_time)((double)ms / CLOCK_RATE_MIN * OGL_MS);
}

uint64_t
cell_lease_extend(struct cell_lease *l, uint32_t max_ms, ogl_time now)
{
	uint64_t end_ms = clock_min(l, now) + MIN(LEASE_MS, max_ms);

	l->end_ms = MAX(l->end_ms, end_ms);
	return end_ms;
}

void
cell_lease_assume_longest(
    struct cell_lease *l, uint32_t max_ms, bool called_before)
{
	bool late_orders = called_before && l->clock_ms < LATE_ORDER_MAX_MS;
	uint64_t end_ms = l->clock_ms + (late_orders ? max_ms : LEASE_MS);

	l->end_ms = MAX(l->end_ms, end_ms);
}

ogl_time
cell_lease_expires_at(const struct cell_lease *l)
{
	uint64_t left_ms = l->end_ms - MIN(l->clock_ms, l->end_ms);

	return l->read_at + longest_time(left_ms) + EXPIRY_MARGIN;
}

ogl_time
cell_lease_all_expired_at(ogl_time last_proof)
{
	return last_proof + CELL_LEASE_PROOF_MAX_AGE + longest_time(LEASE_MS) +
	       EXPIRY_MARGIN;
}
