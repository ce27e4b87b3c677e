/*
 * Counts by a 64-bit hashed key, for spreading a job's tasks.
 *
 * An open-addressed table with linear probing.  An entry whose count falls to
 * zero is removed by moving later entries back, so the table needs no
 * tombstones and its size follows the number of entries in use.  Two keys that
 * collide share a count, which only makes spreading a little worse.
 */

#include "place.h"

#define COUNT_MIN_SIZE 64

void
ogl_counts_init(struct ogl_counts *c)
{
	c->size = COUNT_MIN_SIZE;
	c->used = 0;
	c->entries = g_new0(struct ogl_count_entry, c->size);
}

void
ogl_counts_clear(struct ogl_counts *c)
{
	g_free(c->entries);
	c->entries = NULL;
}

uint64_t
ogl_counts_key(uint64_t job, enum ogl_count_scope scope, uint32_t id)
{
	uint64_t x = job + 0x9e3779b97f4a7c15u * ((uint64_t)id * 4 + scope);

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
	x ^= x >> 31;
	return x != 0 ? x : 1;
}

/* The entry of a key, or the empty one where it belongs. */
static uint32_t
find(const struct ogl_counts *c, uint64_t key)
{
	uint32_t i = (uint32_t)key & (c->size - 1);

	while (c->entries[i].key != 0 && c->entries[i].key != key)
		i = (i + 1) & (c->size - 1);
	return i;
}

uint32_t
ogl_counts_get(const struct ogl_counts *c, uint64_t key)
{
	return c->entries[find(c, key)].n;
}

static void
resize(struct ogl_counts *c, uint32_t size)
{
	struct ogl_count_entry *old = c->entries;
	uint32_t i, n = c->size;

	c->entries = g_new0(struct ogl_count_entry, size);
	c->size = size;
	for (i = 0; i < n; i++) {
		if (old[i].key != 0)
			c->entries[find(c, old[i].key)] = old[i];
	}
	g_free(old);
}

void
ogl_counts_add(struct ogl_counts *c, uint64_t key)
{
	uint32_t i;

	if ((c->used + 1) * 4 > c->size * 3)
		resize(c, c->size * 2);
	i = find(c, key);
	if (c->entries[i].key == 0) {
		c->entries[i].key = key;
		c->used++;
	}
	c->entries[i].n++;
}

/* Empties entry i and closes the gap in the run of entries after it. */
static void
erase(struct ogl_counts *c, uint32_t i)
{
	uint32_t mask = c->size - 1, j = i, home;

	for (;;) {
		j = (j + 1) & mask;
		if (c->entries[j].key == 0)
			break;
		home = (uint32_t)c->entries[j].key & mask;
		if (((j - home) & mask) < ((j - i) & mask))
			continue;
		c->entries[i] = c->entries[j];
		i = j;
	}
	c->entries[i].key = 0;
	c->entries[i].n = 0;
	c->used--;
}

void
ogl_counts_sub(struct ogl_counts *c, uint64_t key)
{
	uint32_t i = find(c, key);

	if (c->entries[i].key == 0)
		return;
	if (--c->entries[i].n > 0)
		return;
	erase(c, i);
	if (c->size > COUNT_MIN_SIZE && c->used * 8 < c->size)
		resize(c, c->size / 2);
}
