/*
 * The advice service of the simulated cell: which workers it admits for a step,
 * and how long a question waits for its answer.
 */

#ifndef FAKE_ADVICE_H
#define FAKE_ADVICE_H

#include "fake_cell_impl.h"

struct fake_advice *fake_advice_init(unsigned nodes);
void fake_advice_end(struct fake_advice *a);

bool fake_advice_needed(const struct fake_cell *f, const struct job *j);
/* Whether a start of the job needs a ticket. */

bool fake_advice_admits(const struct fake_cell *f, const struct job *j,
    const char *step, unsigned worker);
/* step: ID.K.STEP.  The answer is the same at all times. */

ogl_time fake_advice_accept(
    struct fake_cell *f, const struct job *j, unsigned node, size_t workers);
/* Takes a question of the node, which names so many workers; returns the time
 * until its answer, -1 if too many of the node's questions wait. */

#endif
