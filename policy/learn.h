/*
 * Run time estimates for one team, learned per class of work: the work of one
 * kind, size class and label.
 */

#ifndef OGL_LEARN_H
#define OGL_LEARN_H

#include "orioleglade.h"

struct ogl_learn; /* one team's table, of fixed size */

struct ogl_learn *ogl_learn_init(void);
void ogl_learn_end(struct ogl_learn *l);

uint64_t ogl_learn_class(const struct ogl_work *w, uint64_t seed);
/* Class of the work: a hash of kind, size class and label, keyed by seed. */

ogl_time ogl_learn_estimate(
    struct ogl_learn *l, uint64_t work_class, ogl_time now, bool *awaited);
/* Expected run time, never 0, and in *awaited whether a caller seems to be
 * waiting for this class.  A class never seen is expected to be short, unless
 * the team adds new classes too fast. */

void ogl_learn_pushed(struct ogl_learn *l, uint64_t work_class, ogl_time now);
void ogl_learn_withdrawn(struct ogl_learn *l, uint64_t work_class);
/* An item began to wait, or was withdrawn before it started. */

void ogl_learn_started(struct ogl_learn *l, uint64_t work_class, ogl_time now);
void ogl_learn_ended(struct ogl_learn *l, uint64_t work_class, ogl_time ran,
    bool ok, ogl_time now);

size_t ogl_learn_bytes(void);
/* Size of one table in bytes. */

#endif
