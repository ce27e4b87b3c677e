/*
 * Mechanisms that a build can leave out, to measure the effect of each:
 * cmake -DOGL_OFF="moves;pace".  They can't be changed by a setting.
 */

#ifndef OGL_CELL_ABLATE_H
#define OGL_CELL_ABLATE_H

/* Urgent work goes to fast workers. */
#ifdef OGL_OFF_PACE
#define CELL_USES_PACE 0
#else
#define CELL_USES_PACE 1
#endif

/* Workers that fail more often than their jobs explain get less or no work. */
#ifdef OGL_OFF_HEALTH
#define CELL_USES_HEALTH 0
#else
#define CELL_USES_HEALTH 1
#endif

/* Stragglers are started again on other workers. */
#ifdef OGL_OFF_MOVES
#define CELL_USES_MOVES 0
#else
#define CELL_USES_MOVES 1
#endif

/* Of a team's jobs beyond its rate the smallest goes first. */
#ifdef OGL_OFF_SMALLEST
#define CELL_USES_SMALLEST 0
#else
#define CELL_USES_SMALLEST 1
#endif

/* Several appends may be under way while the store is slow. */
#ifdef OGL_OFF_PIPELINE
#define CELL_USES_PIPELINE 0
#else
#define CELL_USES_PIPELINE 1
#endif

/* After a takeover only tasks that may run on silent workers are delayed. */
#ifdef OGL_OFF_SILENT
#define CELL_USES_SILENT 0
#else
#define CELL_USES_SILENT 1
#endif

/* Holds have a short wait and timeout while answers get lost. */
#ifdef OGL_OFF_LOSSY
#define CELL_USES_LOSSY 0
#else
#define CELL_USES_LOSSY 1
#endif

/* Work that can meet its objective goes before work that cannot. */
#ifdef OGL_OFF_STANDING
#define CELL_USES_STANDING 0
#else
#define CELL_USES_STANDING 1
#endif

/* Work within its team's rate goes before work beyond it. */
#ifdef OGL_OFF_RATE
#define CELL_USES_RATE 0
#else
#define CELL_USES_RATE 1
#endif

/* Part of a team's limit is reserved for rank 0. */
#ifdef OGL_OFF_LIMIT_PART
#define CELL_USES_LIMIT_PART 0
#else
#define CELL_USES_LIMIT_PART 1
#endif

/* Rank 0 goes first while its team is at its limit. */
#ifdef OGL_OFF_URGENT
#define CELL_USES_URGENT 0
#else
#define CELL_USES_URGENT 1
#endif

/* Room is reserved for gangs, which smaller work would otherwise take. */
#ifdef OGL_OFF_RESERVE
#define CELL_USES_RESERVE 0
#else
#define CELL_USES_RESERVE 1
#endif

/* Jobs that can't end before their result is worthless are refused. */
#ifdef OGL_OFF_FORECAST
#define CELL_USES_FORECAST 0
#else
#define CELL_USES_FORECAST 1
#endif

/* The same by what runs, waits and is free, not only by a line's rate. */
#ifdef OGL_OFF_CAPACITY
#define CELL_USES_CAPACITY 0
#else
#define CELL_USES_CAPACITY 1
#endif

/* Refused callers are told times that are spread. */
#ifdef OGL_OFF_SLOTS
#define CELL_USES_SLOTS 0
#else
#define CELL_USES_SLOTS 1
#endif

/* Part of the lanes of the advice service is reserved for rank 0. */
#ifdef OGL_OFF_LANES
#define CELL_USES_LANES 0
#else
#define CELL_USES_LANES 1
#endif

/* While the cell is full, teams share it by their weights. */
#ifdef OGL_OFF_SHARES
#define CELL_USES_SHARES 0
#else
#define CELL_USES_SHARES 1
#endif

/* Runs of lower ranks are stopped for rank 0 that would be late. */
#ifdef OGL_OFF_PREEMPT
#define CELL_USES_PREEMPT 0
#else
#define CELL_USES_PREEMPT 1
#endif

#endif
