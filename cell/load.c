/*
 * An owner that is given more than its processor carries falls behind in all
 * it does at once: holds on workers run out, answers to the other nodes come
 * late, one of them takes the cell over and meets the same load.  Callers see
 * no job accepted anywhere until the load falls by itself.
 *
 * It is noticed by how late the process runs: a moment counts as late when it
 * comes LATE after the one asked for.  One alone is a pause of the machine;
 * two within TWICE are load.  Then a growing part of the new jobs is refused
 * at once, with when to come back, which costs next to nothing; the part
 * falls slowly once the process has run on time for STEADY.  What was accepted
 * is so still served on time, and ownership stays where it is.
 */

#include "load.h"

/* An eighth of the silence after which other nodes take over. */
#define LATE (100 * OGL_MS)
#define TWICE OGL_SEC
#define STEADY (300 * OGL_MS)
/* A second of lateness refuses nearly all; the way back takes ten seconds, as
 * a faster one swings to and fro. */
#define RISE_A_SECOND 1.2
#define FALL_A_SECOND 0.1
#define PART_MAX 0.95
/* What one late moment counts for at most: a pause says little about load. */
#define ELAPSED_MAX (250 * OGL_MS)

void
cell_load_step(struct cell_load *l, ogl_time wanted, ogl_time now)
{
	ogl_time gap = now - l->stepped_at;
	double elapsed =
	    (double)(gap < ELAPSED_MAX ? gap : ELAPSED_MAX) / (double)OGL_SEC;

	l->stepped_at = now;
	if (wanted != 0 && now - wanted > LATE) {
		if (l->late_at != 0 && now - l->late_at < TWICE)
			l->part += RISE_A_SECOND * elapsed;
		if (l->part > PART_MAX)
			l->part = PART_MAX;
		l->late_at = now;
		return;
	}
	if (now - l->late_at <= STEADY)
		return;
	l->part -= (l->fall > 0 ? l->fall : FALL_A_SECOND) * elapsed;
	if (l->part < 0)
		l->part = 0;
}

bool
cell_load_takes(struct cell_load *l)
{
	if (l->part <= 0)
		return true;
	l->credit += 1 - l->part;
	if (l->credit < 1)
		return false;
	l->credit -= 1;
	return true;
}

bool
cell_load_full(const struct cell_load *l)
{
	return l->part > 0;
}
