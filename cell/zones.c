/*
 * Keeps the set of evacuated availability zones.
 *
 * The set is kept with the offset up to which the settings stream was applied,
 * so that lists from peers and records from the stream may arrive in any order.
 * The first list always replaces the set, later ones only if they are newer.
 * Records that were applied already are ignored.
 */

#include <string.h>

#include "zones.h"

struct cell_zones {
	GHashTable *evacuated; /* set of names */
	uint64_t known_to;     /* offset of the next settings record to apply */
	uint64_t changes;      /* number of changes so far */
	bool complete;         /* a complete list was applied */
};

struct cell_zones *
cell_zones_init(void)
{
	struct cell_zones *z = g_new0(struct cell_zones, 1);

	z->evacuated =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return z;
}

void
cell_zones_end(struct cell_zones *z)
{
	g_hash_table_unref(z->evacuated);
	g_free(z);
}

static bool
set_zone(struct cell_zones *z, const char *name, bool evacuated)
{
	bool changed;

	if (evacuated)
		changed = g_hash_table_add(z->evacuated, g_strdup(name));
	else
		changed = g_hash_table_remove(z->evacuated, name);
	if (changed)
		z->changes++;
	return changed;
}

bool
cell_zones_record(
    struct cell_zones *z, const char *name, bool evacuated, uint64_t offset)
{
	if (offset < z->known_to)
		return false;
	z->known_to = offset + 1;
	return set_zone(z, name, evacuated);
}

void
cell_zones_replace(
    struct cell_zones *z, char *const *names, size_t n, uint64_t known_to)
{
	size_t i;

	if (z->complete && known_to <= z->known_to)
		return;
	g_hash_table_remove_all(z->evacuated);
	for (i = 0; i < n; i++)
		g_hash_table_add(z->evacuated, g_strdup(names[i]));
	z->known_to = known_to;
	z->complete = true;
	z->changes++;
}

bool
cell_zones_complete(const struct cell_zones *z)
{
	return z->complete;
}

uint64_t
cell_zones_known_to(const struct cell_zones *z)
{
	return z->known_to;
}

uint64_t
cell_zones_changes(const struct cell_zones *z)
{
	return z->changes;
}

bool
cell_zones_evacuated(const struct cell_zones *z, const char *name)
{
	return name != NULL && g_hash_table_contains(z->evacuated, name);
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

GPtrArray *
cell_zones_list(const struct cell_zones *z)
{
	GPtrArray *names = g_ptr_array_new();
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, z->evacuated);
	while (g_hash_table_iter_next(&it, &p, NULL))
		g_ptr_array_add(names, p);
	g_ptr_array_sort(names, compare_names);
	return names;
}
