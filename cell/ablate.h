/*
 * Mechanisms that a build can leave out, to measure what each is worth:
 * cmake -DOGL_OFF="moves;pace".  No setting reaches them.
 */

#ifndef OGL_CELL_ABLATE_H
#define OGL_CELL_ABLATE_H

#ifdef OGL_OFF_PACE
#define CELL_USES_PACE 0 /* work in a hurry to fast workers */
#else
#define CELL_USES_PACE 1
#endif

#ifdef OGL_OFF_SMALLEST
#define CELL_USES_SMALLEST 0 /* beyond a team's rate the smallest job first */
#else
#define CELL_USES_SMALLEST 1
#endif

#ifdef OGL_OFF_PIPELINE
#define CELL_USES_PIPELINE 0 /* several appends under way to a slow store */
#else
#define CELL_USES_PIPELINE 1
#endif

#ifdef OGL_OFF_MOVES
#define CELL_USES_MOVES 0 /* stragglers start again elsewhere */
#else
#define CELL_USES_MOVES 1
#endif

#endif
