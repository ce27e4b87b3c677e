/*
 * Availability zones that the operator has evacuated.  No task is started on
 * their workers until the operator puts them back into service.
 */

#ifndef OGL_CELL_ZONES_H
#define OGL_CELL_ZONES_H

#include "ops.h"

struct cell_zones;

struct cell_zones *cell_zones_init(void);
void cell_zones_end(struct cell_zones *z);

bool cell_zones_record(
    struct cell_zones *z, const char *name, bool evacuated, uint64_t offset);
/* Applies a record of the settings stream about one zone.  A record below the
 * known offset is ignored.  Returns whether the zone's state has changed. */

void cell_zones_replace(
    struct cell_zones *z, char *const *names, size_t n, uint64_t known_to);
/* Replaces the set of evacuated zones.  The list reflects all records below the
 * offset known_to.  A list no newer than the known state is ignored. */

bool cell_zones_complete(const struct cell_zones *z);
/* Whether a complete list was ever applied.  Until then any zone may be
 * evacuated. */
uint64_t cell_zones_known_to(const struct cell_zones *z);
/* All records of the settings stream below this offset are applied. */
uint64_t cell_zones_changes(const struct cell_zones *z);
/* Number of changes so far. */

bool cell_zones_evacuated(const struct cell_zones *z, const char *name);
GPtrArray *cell_zones_list(const struct cell_zones *z);
/* Returns a new sorted list of the names of the evacuated zones.  The names
 * belong to z. */

#endif
