/*
 * Checks of the simulated cell that no accepted job is left without a run.
 */

#ifndef FAKE_STARVED_H
#define FAKE_STARVED_H

#include "fake_cell_impl.h"

struct fake_starved *fake_starved_init(void);
void fake_starved_end(struct fake_starved *s);

void fake_starved_look(struct fake_cell *f);
/* To be called every few milliseconds.  Reports each job, and each task that
 * lasts, once it has been starved for 3 s. */

#endif
