/*
 * Availability zones that the operator has evacuated: nothing new is started
 * on their workers until they are taken back.
 */

#ifndef OGL_CELL_ZONES_H
#define OGL_CELL_ZONES_H

#include "ops.h"

struct cell_zones;

struct cell_zones *cell_zones_init(void);
void cell_zones_end(struct cell_zones *z);

bool cell_zones_record(
    struct cell_zones *z, const char *name, bool evacuated, uint64_t offset);
/* A record of the settings stream about one zone.  One that is older than what
 * is known changes nothing.  Returns whether the zone's state has changed. */

void cell_zones_replace(
    struct cell_zones *z, char *const *names, size_t n, uint64_t known_to);
/* These and no others are evacuated, as of all records below known_to.  A list
 * older than what is known changes nothing. */

bool cell_zones_known(const struct cell_zones *z);
/* Whether a whole list was ever given: before, any zone may be evacuated. */
uint64_t cell_zones_known_to(const struct cell_zones *z);
/* All records of the settings stream below this offset are taken account of. */
uint64_t cell_zones_changes(const struct cell_zones *z);
/* Counts up with each change. */

bool cell_zones_evacuated(const struct cell_zones *z, const char *name);
GPtrArray *cell_zones_list(const struct cell_zones *z);
/* A new list of the evacuated zones' names, sorted; the names are borrowed. */

#endif
