/*
 * The owner's stored record of the workers, which its successor reads.
 */

#ifndef OGL_CELL_KNOWN_H
#define OGL_CELL_KNOWN_H

#include "fleet.h"

GBytes *cell_known_pack(struct cell_fleet *f, uint64_t number,
    GPtrArray *open_ids, unsigned *left_open, ogl_time now);
/* Returns the record with that number, to be stored now; numbers rise within an
 * epoch.  Workers that are silent or draining get no new work after this call.
 * The ids of the others are appended to open_ids and are freed by the caller.
 * These workers may get work once the record is stored, see
 * cell_fleet_record_stored.
 * Sets *left_open to the number of workers whose tasks find no room in a record
 * of CELL_RECORD_MAX_BYTES: a new owner waits for them.  Lists of tasks never
 * make the record larger than that; only more workers than it can name do. */

typedef void cell_known_fn(
    void *arg, const Ogl__CellKnown *known, ogl_time now);

bool cell_known_unpack(
    GBytes *record, cell_known_fn *each, void *arg, ogl_time now);
/* Calls `each` for every worker in the record, with `counts` set in all if none
 * is marked; NULL is an empty record.
 * Returns false when the record is malformed. */

#endif
