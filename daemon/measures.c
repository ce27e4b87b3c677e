/* Counters and histograms in memory.  All histograms have the same buckets, so
 * that those of several nodes can be added up. */

#include "measures.h"

static const uint64_t bounds_ms[] = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 30000};

#define N_BOUNDS G_N_ELEMENTS(bounds_ms)

struct histogram {
	uint64_t buckets[N_BOUNDS + 1]; /* the last is above all bounds */
	uint64_t sum_ms;
	uint64_t count;
};

struct ogl_measures {
	GHashTable *counters;   /* name -> uint64_t */
	GHashTable *histograms; /* name -> struct histogram */
};

struct ogl_measures *
ogl_measures_init(void)
{
	struct ogl_measures *m = g_new0(struct ogl_measures, 1);

	m->counters =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	m->histograms =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return m;
}

void
ogl_measures_end(struct ogl_measures *m)
{
	if (m == NULL)
		return;
	g_hash_table_unref(m->counters);
	g_hash_table_unref(m->histograms);
	g_free(m);
}

void
ogl_measures_count(struct ogl_measures *m, const char *name, uint64_t by)
{
	uint64_t *c = g_hash_table_lookup(m->counters, name);

	if (c == NULL) {
		c = g_new0(uint64_t, 1);
		g_hash_table_insert(m->counters, (char *)(uintptr_t)name, c);
	}
	*c += by;
}

void
ogl_measures_observe(struct ogl_measures *m, const char *name, uint64_t ms)
{
	struct histogram *h = g_hash_table_lookup(m->histograms, name);
	size_t i;

	if (h == NULL) {
		h = g_new0(struct histogram, 1);
		g_hash_table_insert(m->histograms, (char *)(uintptr_t)name, h);
	}
	for (i = 0; i < N_BOUNDS && ms > bounds_ms[i]; i++)
		;
	h->buckets[i]++;
	h->sum_ms += ms;
	h->count++;
}

static void
put_histogram(GString *s, const char *name, const struct histogram *h)
{
	uint64_t cumulative = 0;
	size_t i;

	g_string_append_printf(s, "# TYPE ogl_%s histogram\n", name);
	for (i = 0; i < N_BOUNDS; i++) {
		cumulative += h->buckets[i];
		g_string_append_printf(s,
		    "ogl_%s_bucket{le=\"%" G_GUINT64_FORMAT
		    "\"} %" G_GUINT64_FORMAT "\n",
		    name, bounds_ms[i], cumulative);
	}
	g_string_append_printf(s,
	    "ogl_%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT
	    "\nogl_%s_sum %" G_GUINT64_FORMAT
	    "\nogl_%s_count %" G_GUINT64_FORMAT "\n",
	    name, h->count, name, h->sum_ms, name, h->count);
}

char *
ogl_measures_text(const struct ogl_measures *m)
{
	GString *s = g_string_new(NULL);
	GHashTableIter it;
	gpointer k, v;

	g_hash_table_iter_init(&it, m->counters);
	while (g_hash_table_iter_next(&it, &k, &v))
		g_string_append_printf(s,
		    "# TYPE ogl_%s_total counter\nogl_%s_total "
		    "%" G_GUINT64_FORMAT "\n",
		    (char *)k, (char *)k, *(uint64_t *)v);
	g_hash_table_iter_init(&it, m->histograms);
	while (g_hash_table_iter_next(&it, &k, &v))
		put_histogram(s, k, v);
	return g_string_free(s, FALSE);
}
