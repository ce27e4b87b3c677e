/*
 * Leases of a worker's runs.  A lease ends at a time on the worker's clock,
 * which runs at most 2% slow.  All conversions between that clock and ours are
 * done here.
 */

#ifndef OGL_CELL_LEASE_H
#define OGL_CELL_LEASE_H

#include "ops.h"

/* The leases of a worker's present incarnation, and what its former ones may
 * have been asked for; all zero for a worker that has not answered. */
struct cell_lease {
	uint64_t clock_ms; /* worker's clock as last read */
	ogl_time read_at;  /* when the answer with clock_ms arrived, our clock;
			    * 0 not yet */
	uint64_t end_ms;   /* latest end that it may hold, worker's clock */
	ogl_time asked_at; /* when an end was last asked for, 0 never */
	/* Calls meant for former incarnations may arrive until then, and ask
	 * for ends up to this on the clocks of those. */
	ogl_time former_until;
	uint64_t former_end_ms;
};

void cell_lease_read_clock(
    struct cell_lease *l, uint64_t clock_ms, ogl_time now);
/* Takes a time that the worker has told; 0 is no time and changes nothing. */

bool cell_lease_clock_restarted(
    const struct cell_lease *l, uint64_t clock_ms, ogl_time sent_at);
/* Whether the time that the worker tells in the answer to a call sent at
 * sent_at shows that it has restarted; 0 is no time and shows nothing. */

bool cell_lease_clock_old(const struct cell_lease *l, ogl_time now);
/* Whether the clock was last read so long ago that a lease asked for now might
 * be much too short. */

uint64_t cell_lease_extend(struct cell_lease *l, uint32_t max_ms, ogl_time now);
/* Returns the end to ask for now, in milliseconds on the worker's clock.
 * max_ms: the longest lease that the worker grants. */

/* What earlier owners may have asked of a worker. */
enum cell_lease_earlier {
	CELL_LEASE_NONE, /* nothing: it is in no record of theirs */
	/* Of this incarnation only; no call meant for a former one is left. */
	CELL_LEASE_OF_THIS,
	CELL_LEASE_OF_ANY
};

void cell_lease_first_answer(struct cell_lease *l, uint64_t clock_ms,
    uint32_t max_ms, enum cell_lease_earlier earlier, ogl_time now);
/* Takes the first answer of a worker to this owner.  Counts with the longest
 * lease that it can hold by then, but for CELL_LEASE_NONE. */

void cell_lease_next_incarnation(
    struct cell_lease *l, uint64_t clock_ms, uint32_t max_ms, ogl_time now);
/* Takes the first answer of the worker's next incarnation to a call under its
 * own fence.  Counts with the longest lease that calls meant for former
 * incarnations can have given it before. */

bool cell_lease_is_longest(const struct cell_lease *l, ogl_time now);
/* Whether the lease that is counted with may end later than one that is asked
 * for now, by what calls meant for former incarnations may have asked for. */

ogl_time cell_lease_expires_at(const struct cell_lease *l);
/* Time on our clock from which the lease has certainly expired unless it is
 * extended. */

/* An owner asks for no lease later than this after its ownership was last
 * proved. */
#define CELL_LEASE_PROOF_MAX_AGE (1 * OGL_SEC)
/* Nor later than this after the store last confirmed it, whatever other proof
 * there is; outages of the store are shorter. */
#define CELL_LEASE_CONFIRMATION_MAX_AGE (12 * OGL_SEC)

ogl_time cell_lease_all_expired_at(ogl_time last_proof);
/* The same for all leases of earlier owners, whose workers are not known to us:
 * last_proof is the latest time of which an earlier owner can have proof that
 * it is the owner. */

ogl_time cell_lease_longest_expired_at(ogl_time given_before, uint32_t max_ms);
/* The same for a lease of any length that was given before that time. */

ogl_time cell_lease_late_orders_expired_at(ogl_time sent_at, uint32_t max_ms);
/* The same for a lease that an order of that time gives to another incarnation
 * than the one that it was meant for. */

bool cell_lease_order_is_late(ogl_time sent_at, ogl_time now);
/* Whether an order that was sent then and not answered can't arrive any more. */

#endif
