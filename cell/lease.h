/*
 * Leases of a worker's runs.  A lease ends at a time on the worker's clock,
 * which runs at most 2% slow.  All conversions between that clock and ours are
 * done here.
 */

#ifndef OGL_CELL_LEASE_H
#define OGL_CELL_LEASE_H

#include "ops.h"

/* The leases of one incarnation of a worker; all zero for a new one. */
struct cell_lease {
	uint64_t clock_ms; /* worker's clock as last read */
	ogl_time read_at;  /* when the answer with clock_ms arrived, our clock;
			    * 0 not yet */
	uint64_t end_ms;   /* latest end asked for, worker's clock */
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

void cell_lease_assume_longest(
    struct cell_lease *l, uint32_t max_ms, bool called_before);
/* Counts with the longest lease that the incarnation can hold by the time of
 * the last reading.  max_ms: the longest lease that the worker grants.
 * called_before: an earlier incarnation of it may have been given orders. */

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

#endif
