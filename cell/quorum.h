/*
 * A second proof of ownership, beside the store's: the workers.
 *
 * A successor calls every worker that the last stored record of the workers
 * names (known.h), and counts the leases of its predecessor from the time when
 * half of them have answered it.  A worker that has answered it refuses the
 * predecessor.  So as long as more than half of these workers accept an owner's
 * calls, no successor has come that far.
 *
 * A successor reads the record that was stored last, which may be any that the
 * owner has sent since the one that it knows to be stored.  The proof has to
 * hold for each of them.
 */

#ifndef OGL_CELL_QUORUM_H
#define OGL_CELL_QUORUM_H

#include <glib.h>

#include "ops.h"

struct cell_quorum;

struct cell_quorum *cell_quorum_init(void);
void cell_quorum_end(struct cell_quorum *q);
void cell_quorum_clear(struct cell_quorum *q);

void cell_quorum_record_sent(
    struct cell_quorum *q, uint64_t number, guint workers, guint added);
/* A record that names so many workers was sent, or read at the takeover; added:
 * how many of them no earlier record names.  Numbers rise. */
void cell_quorum_record_stored(struct cell_quorum *q, uint64_t number);
/* That record is stored, and replaces all earlier ones. */

ogl_time cell_quorum_accepted_at(
    const struct cell_quorum *q, GHashTable *workers, ogl_time confirmed_at);
/* The latest time such that more than half of the workers of each record have
 * accepted a call sent since; 0 if there is none.  workers: struct cell_worker
 * by id.  An incarnation that has not answered before confirmed_at, the time of
 * the store's last confirmation, does not count: a worker that restarts forgets
 * the successor that has called it. */

bool cell_quorum_answered(guint answered, guint workers);
/* Whether so many answers are enough for a successor. */

#endif
