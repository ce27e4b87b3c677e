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
 * - A worker's clock starts anew with each incarnation, from any value.  A call
 *   that was meant for a former incarnation names an end on another clock, and
 *   the worker shortens it to the longest lease that it grants.  No such call is
 *   accepted once the incarnation has answered one under its own fence
 *   (fleet.h), so its lease ends by then at the earlier of the latest end asked
 *   of former ones and its clock + that longest lease.
 * - A lease has expired once clock_min(t) has reached its end.
 * - Where a new owner has read no clock, a lease asked for at time s has expired
 *   at s + LEASE_MS / 0.98.  No earlier owner asks for one more than
 *   CELL_LEASE_PROOF_MAX_AGE after the last proof that it was the owner.
 */

#include <string.h>

#include "lease.h"

/* Longest lease asked for.  It has to outlast a change of owner, and bounds how
 * long the tasks of a worker that is cut off can't be started elsewhere. */
#define LEASE_MS 4000
#define CLOCK_RATE_MIN 0.98
#define ROUNDING_MS 2
/* Covers timers and the rounding of times to milliseconds. */
#define EXPIRY_MARGIN (250 * OGL_MS)
/* A call that is not answered is carried out within this time or never. */
#define LATE_CALL_MAX (15 * OGL_SEC)
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
	l->asked_at = now;
	return end_ms;
}

void
cell_lease_first_answer(struct cell_lease *l, uint64_t clock_ms,
    uint32_t max_ms, enum cell_lease_earlier earlier, ogl_time now)
{
	memset(l, 0, sizeof *l);
	l->clock_ms = clock_ms;
	l->read_at = now;
	l->end_ms =
	    clock_ms + (earlier == CELL_LEASE_OF_ANY ? max_ms : LEASE_MS);
	if (earlier != CELL_LEASE_NONE) {
		l->former_until = now + LATE_CALL_MAX;
		l->former_end_ms = UINT64_MAX;
	}
}

void
cell_lease_next_incarnation(
    struct cell_lease *l, uint64_t clock_ms, uint32_t max_ms, ogl_time now)
{
	if (now >= l->former_until)
		l->former_end_ms = 0;
	if (l->asked_at != 0 && now < l->asked_at + LATE_CALL_MAX) {
		l->former_until =
		    MAX(l->former_until, l->asked_at + LATE_CALL_MAX);
		l->former_end_ms = MAX(l->former_end_ms, l->end_ms);
	}
	l->clock_ms = clock_ms;
	l->read_at = now;
	l->end_ms = MAX(MIN(l->former_end_ms, clock_ms + max_ms), clock_ms);
}

bool
cell_lease_is_longest(const struct cell_lease *l, ogl_time now)
{
	return l->end_ms > clock_min(l, now) + LEASE_MS;
}

bool
cell_lease_order_is_late(ogl_time sent_at, ogl_time now)
{
	return now - sent_at > LATE_CALL_MAX;
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

ogl_time
cell_lease_longest_expired_at(ogl_time given_before, uint32_t max_ms)
{
	return given_before + longest_time(max_ms) + EXPIRY_MARGIN;
}

ogl_time
cell_lease_late_orders_expired_at(ogl_time sent_at, uint32_t max_ms)
{
	return cell_lease_longest_expired_at(sent_at + LATE_CALL_MAX, max_ms);
}
