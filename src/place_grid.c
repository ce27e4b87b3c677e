/*
 * Workers indexed by free room.
 *
 * Free processors and free memory are each divided into 64 size classes, four
 * for each doubling, and a worker is in the bucket of its two classes.  For
 * each row a mask tells which columns hold a worker, and for each column which
 * rows, so a search visits only buckets that are not empty, tightest first in
 * either dimension, and its cost depends on the number of classes, not of
 * workers.  In every bucket beyond the need's own row and column all workers
 * have enough processors and memory.  In that row and column each worker must
 * be examined, and the caller limits how many without room are examined.
 *
 * Buckets are linked lists through the entries.  Rows of list heads are
 * allocated when first used, so a small cell needs few.
 */

#include "place.h"

#define CLASS_UNIT_SHIFT 6 /* lowest classes: 64 thousandths or 64 MB wide */

static unsigned
size_class(uint32_t v)
{
	unsigned c, e;

	v >>= CLASS_UNIT_SHIFT;
	if (v < 4)
		return v;
	e = 31 - (unsigned)__builtin_clz(v);
	c = 4 * (e - 1) + ((v >> (e - 2)) & 3);
	return MIN(c, OGL_GRID_CLASSES - 1);
}

static uint64_t
bit(unsigned i)
{
	return (uint64_t)1 << i;
}

void
ogl_grid_insert(struct ogl_grid *g, struct ogl_grid_entry *entries, uint32_t w)
{
	struct ogl_grid_entry *s = &entries[w];
	uint32_t *head;
	unsigned i;

	s->row = (uint8_t)size_class(s->avail.cpu_milli);
	s->col = (uint8_t)size_class(s->avail.mem_mb);
	if (g->head[s->row] == NULL) {
		g->head[s->row] = g_new(uint32_t, OGL_GRID_CLASSES);
		for (i = 0; i < OGL_GRID_CLASSES; i++)
			g->head[s->row][i] = OGL_PLACE_NONE;
	}
	head = &g->head[s->row][s->col];
	s->prev = OGL_PLACE_NONE;
	s->next = *head;
	if (s->next != OGL_PLACE_NONE)
		entries[s->next].prev = w;
	*head = w;
	g->in_row[s->row] |= bit(s->col);
	g->in_col[s->col] |= bit(s->row);
	g->rows |= bit(s->row);
	g->cols |= bit(s->col);
	s->indexed = true;
}

void
ogl_grid_remove(struct ogl_grid *g, struct ogl_grid_entry *entries, uint32_t w)
{
	struct ogl_grid_entry *s = &entries[w];

	if (s->next != OGL_PLACE_NONE)
		entries[s->next].prev = s->prev;
	if (s->prev != OGL_PLACE_NONE)
		entries[s->prev].next = s->next;
	else
		g->head[s->row][s->col] = s->next;
	s->indexed = false;
	if (g->head[s->row][s->col] != OGL_PLACE_NONE)
		return;
	g->in_row[s->row] &= ~bit(s->col);
	g->in_col[s->col] &= ~bit(s->row);
	if (g->in_row[s->row] == 0)
		g->rows &= ~bit(s->row);
	if (g->in_col[s->col] == 0)
		g->cols &= ~bit(s->col);
}

bool
ogl_grid_must_move(const struct ogl_grid_entry *s)
{
	return size_class(s->avail.cpu_milli) != s->row ||
	       size_class(s->avail.mem_mb) != s->col;
}

/* Searches one bucket, the list that starts at worker w.  With edge set, the
 * bucket is in the need's own row or column, so some workers may lack room. */
static void
walk_bucket(const struct ogl_grid_entry *entries, uint32_t w, bool edge,
    struct ogl_grid_walk *k)
{
	if (edge && k->misses_left == 0) {
		k->skipped = true;
		return;
	}
	while (w != OGL_PLACE_NONE && k->offers_left > 0) {
		if (ogl_res_fits(k->need, &entries[w].avail)) {
			k->offers_left--;
			k->offer(k->ctx, w);
		} else {
			if (k->misses_left == 0) {
				k->skipped = true;
				return;
			}
			k->misses_left--;
		}
		w = entries[w].next;
	}
}

/*
 * Searches the classes in the mask `outer`, of the dimension that orders the
 * search, lowest first.
 */
static void
walk_outer(const struct ogl_grid *g, const struct ogl_grid_entry *entries,
    uint64_t outer, struct ogl_grid_walk *k)
{
	unsigned cpu = size_class(k->need->cpu_milli);
	unsigned mem = size_class(k->need->mem_mb);
	unsigned outer_class, inner_class, row, col;
	uint64_t inner;

	while (outer != 0 && k->offers_left > 0) {
		outer_class = (unsigned)__builtin_ctzll(outer);
		outer &= outer - 1;
		inner = k->by_mem
			    ? g->in_col[outer_class] & (~(uint64_t)0 << cpu)
			    : g->in_row[outer_class] & (~(uint64_t)0 << mem);
		while (inner != 0 && k->offers_left > 0) {
			inner_class = (unsigned)__builtin_ctzll(inner);
			inner &= inner - 1;
			row = k->by_mem ? inner_class : outer_class;
			col = k->by_mem ? outer_class : inner_class;
			walk_bucket(entries, g->head[row][col],
			    row == cpu || col == mem, k);
		}
	}
}

void
ogl_grid_walk(const struct ogl_grid *g, const struct ogl_grid_entry *entries,
    struct ogl_grid_walk *k)
{
	unsigned need =
	    size_class(k->by_mem ? k->need->mem_mb : k->need->cpu_milli);
	uint64_t outer =
	    (k->by_mem ? g->cols : g->rows) & (~(uint64_t)0 << need);
	uint64_t first = ~(uint64_t)0
			 << MIN(k->from_class, OGL_GRID_CLASSES - 1);

	walk_outer(g, entries, outer & first, k);
	walk_outer(g, entries, outer & ~first, k);
}

void
ogl_grid_clear(struct ogl_grid *g)
{
	unsigned i;

	for (i = 0; i < OGL_GRID_CLASSES; i++)
		g_free(g->head[i]);
}

size_t
ogl_grid_bytes(const struct ogl_grid *g)
{
	size_t n = sizeof(*g);
	unsigned i;

	for (i = 0; i < OGL_GRID_CLASSES; i++) {
		if (g->head[i] != NULL)
			n += OGL_GRID_CLASSES * sizeof(uint32_t);
	}
	return n;
}
