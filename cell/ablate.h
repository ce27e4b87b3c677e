/*
 * Mechanisms that a build can leave out, to measure what each is worth:
 * cmake -DOGL_OFF="moves;pace".  No setting reaches them.
 */

#ifndef OGL_CELL_ABLATE_H
#define OGL_CELL_ABLATE_H

/* Work in a hurry to fast workers. */
#ifdef OGL_OFF_PACE
#define CELL_USES_PACE 0
#else
#define CELL_USES_PACE 1
#endif

/* Stragglers start again elsewhere. */
#ifdef OGL_OFF_MOVES
#define CELL_USES_MOVES 0
#else
#define CELL_USES_MOVES 1
#endif

/* Beyond a team's rate the smallest job first. */
#ifdef OGL_OFF_SMALLEST
#define CELL_USES_SMALLEST 0
#else
#define CELL_USES_SMALLEST 1
#endif

/* Several appends under way to a slow store. */
#ifdef OGL_OFF_PIPELINE
#define CELL_USES_PIPELINE 0
#else
#define CELL_USES_PIPELINE 1
#endif

/* A takeover waits for silent workers' tasks only. */
#ifdef OGL_OFF_SILENT
#define CELL_USES_SILENT 0
#else
#define CELL_USES_SILENT 1
#endif

/* Short holds where answers are lost. */
#ifdef OGL_OFF_LOSSY
#define CELL_USES_LOSSY 0
#else
#define CELL_USES_LOSSY 1
#endif

/* Refused connections tell that a worker has ended. */
#ifdef OGL_OFF_GONE
#define CELL_USES_GONE 0
#else
#define CELL_USES_GONE 1
#endif

/* Work that can be in time before work that cannot. */
#ifdef OGL_OFF_STANDING
#define CELL_USES_STANDING 0
#else
#define CELL_USES_STANDING 1
#endif

/* Work within its team's rate before what is beyond. */
#ifdef OGL_OFF_RATE
#define CELL_USES_RATE 0
#else
#define CELL_USES_RATE 1
#endif

/* Part of a team's limit kept for rank 0. */
#ifdef OGL_OFF_LIMIT_PART
#define CELL_USES_LIMIT_PART 0
#else
#define CELL_USES_LIMIT_PART 1
#endif

/* Rank 0 first within a team at its limit. */
#ifdef OGL_OFF_URGENT
#define CELL_USES_URGENT 0
#else
#define CELL_USES_URGENT 1
#endif

/* Gangs hold back smaller work. */
#ifdef OGL_OFF_RESERVE
#define CELL_USES_RESERVE 0
#else
#define CELL_USES_RESERVE 1
#endif

/* Lanes of the advice service kept for rank 0. */
#ifdef OGL_OFF_LANES
#define CELL_USES_LANES 0
#else
#define CELL_USES_LANES 1
#endif

#endif
