/*
 * Return slots: when refused callers are to come back, and in which order.
 */

#ifndef OGL_SLOTS_H
#define OGL_SLOTS_H

#include "orioleglade.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ogl_slots;

#define OGL_SLOTS_MAX 4096
/* A caller may come this much before its slot, as times are told in whole
 * milliseconds and timers fire a little early, */
#define OGL_SLOT_EARLY (50 * OGL_MS)
/* and this much after it: the refusal and the next attempt each take up to some
 * 100 ms on the network and in timers. */
#define OGL_SLOT_LATE (800 * OGL_MS)

struct ogl_slots *ogl_slots_init(void);
void ogl_slots_end(struct ogl_slots *s);

void ogl_slots_clear(struct ogl_slots *s);
/* Voids all slots. */

ogl_time ogl_slots_give(struct ogl_slots *s, const char *line, const char *id,
    double rate, ogl_time not_before, ogl_time now);
/* Gives the refused caller of the job `id` a slot of the line and returns its
 * time, which is not before `not_before`.  The line's jobs can start at `rate` a
 * second.  A caller that comes too early keeps the slot it has; one that comes
 * within its slot gets another and keeps the time of its first attempt.  If
 * there are OGL_SLOTS_MAX slots, the oldest is dropped. */

ogl_time ogl_slots_first_attempt(
    const struct ogl_slots *s, const char *id, ogl_time now);
/* The time of the job's first attempt if its caller comes now within its slot,
 * otherwise `now`. */

void ogl_slots_remove(struct ogl_slots *s, const char *id);
/* Frees the job's slot, as the job was accepted; it may have none. */

size_t ogl_slots_count(const struct ogl_slots *s);

#ifdef __cplusplus
}
#endif

#endif
