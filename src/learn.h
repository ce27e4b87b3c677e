/*
 * What each team's sorts of work have been seen to take.
 */

#ifndef OGL_LEARN_H
#define OGL_LEARN_H

#include "orioleglade.h"

struct ogl_learn; /* one team's table, of fixed size */

struct ogl_learn *ogl_learn_init(void);
void ogl_learn_end(struct ogl_learn *l);

uint64_t ogl_learn_sort(const struct ogl_work *w, uint64_t seed);
/* Which sort of work it is: hash of kind, size class and label. */

ogl_time ogl_learn_guess(
    struct ogl_learn *l, uint64_t sort, ogl_time now, bool *awaited);
/* Run time expected, and whether somebody seems to wait for this sort.  A
 * sort never seen is expected to be short, as long as the team does not bring
 * too many new ones. */

void ogl_learn_pushed(struct ogl_learn *l, uint64_t sort, ogl_time now);
void ogl_learn_gone(struct ogl_learn *l, uint64_t sort);
/* A piece began to wait, or was taken out without having started. */

void ogl_learn_started(struct ogl_learn *l, uint64_t sort, ogl_time now);
void ogl_learn_ended(
    struct ogl_learn *l, uint64_t sort, ogl_time ran, bool ok, ogl_time now);

size_t ogl_learn_bytes(void);
/* Memory of one table. */

#endif
