/*
 * An overloaded owner falls behind in everything at once: leases on workers
 * expire, answers to other nodes come late, and another node takes the shard
 * over and is overloaded in turn.  No job is then accepted anywhere until the
 * load falls by itself.
 *
 * Overload is detected by how late the process runs: a wakeup is late when it
 * comes more than LATE_AFTER after the time asked for.  One late wakeup is a
 * pause of the machine; two within LATE_PAIR_WINDOW are overload.  Then a
 * growing fraction of the new jobs is refused at once with a retry time, which
 * takes hardly any processor time.  The fraction falls slowly once the process
 * has run on time for RECOVERY_DELAY.  Accepted jobs are still served on time,
 * and ownership does not move.
 */

#include "load.h"

/* Far less than the silence after which other nodes take over
 * (HEARTBEAT_TIMEOUT and HEARTBEAT_TIMEOUT_DEAD in lead_impl.h), so that
 * lateness is noticed before it can cost the ownership. */
#define LATE_AFTER (100 * OGL_MS)
#define LATE_PAIR_WINDOW OGL_SEC
#define RECOVERY_DELAY (300 * OGL_MS)
/* After a second of lateness nearly all new jobs are refused.  Recovery takes
 * ten seconds, since a faster one oscillates. */
#define RISE_PER_SECOND 1.2
#define FALL_PER_SECOND 0.1
#define REFUSED_FRACTION_MAX 0.95
/* Upper bound on the time that one late wakeup counts for, since a long pause
 * of the machine says little about load. */
#define ELAPSED_MAX (250 * OGL_MS)

void
cell_load_step(struct cell_load *l, ogl_time due, ogl_time now)
{
	ogl_time gap = now - l->stepped_at;
	double elapsed =
	    (double)(gap < ELAPSED_MAX ? gap : ELAPSED_MAX) / (double)OGL_SEC;

	l->stepped_at = now;
	if (due != 0 && now - due > LATE_AFTER) {
		if (l->last_late_at != 0 &&
		    now - l->last_late_at < LATE_PAIR_WINDOW)
			l->refused_fraction += RISE_PER_SECOND * elapsed;
		if (l->refused_fraction > REFUSED_FRACTION_MAX)
			l->refused_fraction = REFUSED_FRACTION_MAX;
		l->last_late_at = now;
		return;
	}
	if (now - l->last_late_at <= RECOVERY_DELAY)
		return;
	l->refused_fraction -=
	    (l->fall_per_second > 0 ? l->fall_per_second : FALL_PER_SECOND) *
	    elapsed;
	if (l->refused_fraction < 0)
		l->refused_fraction = 0;
}

bool
cell_load_admit(struct cell_load *l)
{
	if (l->refused_fraction <= 0)
		return true;
	l->admit_credit += 1 - l->refused_fraction;
	if (l->admit_credit < 1)
		return false;
	l->admit_credit -= 1;
	return true;
}

bool
cell_load_refusing(const struct cell_load *l)
{
	return l->refused_fraction > 0;
}
