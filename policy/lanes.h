/*
 * Shares a service that answers few questions at a time between the queues that
 * have questions for it.
 */

#ifndef OGL_LANES_H
#define OGL_LANES_H

#include "orioleglade.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ogl_lanes;
struct ogl_lanes_queue; /* kept as long as the struct ogl_lanes */

struct ogl_lanes *ogl_lanes_init(void);
void ogl_lanes_end(struct ogl_lanes *l);

struct ogl_lanes_queue *ogl_lanes_queue(struct ogl_lanes *l, const char *name);
/* The queue with that name, which is added if it is not known yet. */

void ogl_lanes_begin(struct ogl_lanes *l);
/* Begins a round in which no queue has a question yet. */
void ogl_lanes_add(struct ogl_lanes *l, struct ogl_lanes_queue *q);
/* The queue has questions in this round. */
void ogl_lanes_remove(struct ogl_lanes *l, struct ogl_lanes_queue *q);
/* The queue has no more questions in this round. */

struct ogl_lanes_queue *ogl_lanes_next(const struct ogl_lanes *l);
/* The queue that may ask next: of those that have questions, the one that has
 * used the service least.  NULL if there is none. */

void ogl_lanes_charge(
    struct ogl_lanes *l, struct ogl_lanes_queue *q, double ms);
/* A question of the queue takes the service that long. */

double ogl_lanes_used_ms(const struct ogl_lanes_queue *q);
/* All that the queue has been charged. */

#ifdef __cplusplus
}
#endif

#endif
