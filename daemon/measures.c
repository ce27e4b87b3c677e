/* Counters and histograms in memory.  All histograms have the same buckets, so
 * that those of several nodes can be added up. */

#include <string.h>

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
	GTree *labelled;        /* name{labels} -> uint64_t */
	GHashTable *values;     /* name of a label -> set of values */
};

static const struct {
	const char *label;
	guint values_max;
} label_bounds[] = {{"team", 64}, {"queue", 16}};
#define OTHER_VALUES_MAX 32

static gint
compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

struct ogl_measures *
ogl_measures_init(void)
{
	struct ogl_measures *m = g_new0(struct ogl_measures, 1);

	m->counters =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	m->histograms =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	m->labelled = g_tree_new_full(compare_names, NULL, g_free, g_free);
	m->values = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_hash_table_unref);
	return m;
}

void
ogl_measures_end(struct ogl_measures *m)
{
	if (m == NULL)
		return;
	g_hash_table_unref(m->counters);
	g_hash_table_unref(m->histograms);
	g_tree_unref(m->labelled);
	g_hash_table_unref(m->values);
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

static guint
values_max(const char *label)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(label_bounds); i++) {
		if (strcmp(label, label_bounds[i].label) == 0)
			return label_bounds[i].values_max;
	}
	return OTHER_VALUES_MAX;
}

/* Returns the value, or "other" if the label has too many. */
static const char *
bounded_value(struct ogl_measures *m, const struct cell_label *l)
{
	GHashTable *set = g_hash_table_lookup(m->values, l->name);

	if (set == NULL) {
		set = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
		g_hash_table_insert(m->values, (char *)(uintptr_t)l->name, set);
	}
	if (g_hash_table_contains(set, l->value))
		return l->value;
	if (g_hash_table_size(set) >= values_max(l->name))
		return "other";
	g_hash_table_add(set, g_strdup(l->value));
	return l->value;
}

static void
append_label(GString *s, const char *name, const char *value)
{
	g_string_append_printf(s, "%s=\"", name);
	for (; *value != '\0'; value++) {
		if (*value == '\n') {
			g_string_append(s, "\\n");
			continue;
		}
		if (*value == '"' || *value == '\\')
			g_string_append_c(s, '\\');
		g_string_append_c(s, *value);
	}
	g_string_append_c(s, '"');
}

void
ogl_measures_count_labels(struct ogl_measures *m, const char *name,
    const struct cell_label *labels, size_t n, uint64_t by)
{
	GString *key = g_string_new(name);
	uint64_t *c;
	size_t i;

	for (i = 0; i < n; i++) {
		g_string_append_c(key, i == 0 ? '{' : ',');
		append_label(key, labels[i].name, bounded_value(m, &labels[i]));
	}
	g_string_append_c(key, '}');
	c = g_tree_lookup(m->labelled, key->str);
	if (c == NULL) {
		c = g_new0(uint64_t, 1);
		g_tree_insert(m->labelled, g_strdup(key->str), c);
	}
	*c += by;
	g_string_free(key, TRUE);
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

/* The counters of a name are next to each other, as they are sorted. */
struct labelled_text {
	GString *s;
	char *name; /* of the counter before */
};

static gboolean
put_labelled(gpointer key, gpointer value, gpointer arg)
{
	struct labelled_text *t = arg;
	const char *labels = strchr(key, '{');
	char *name = g_strndup(key, (gsize)(labels - (char *)key));

	if (g_strcmp0(name, t->name) != 0)
		g_string_append_printf(
		    t->s, "# TYPE ogl_%s_total counter\n", name);
	g_string_append_printf(t->s, "ogl_%s_total%s %" G_GUINT64_FORMAT "\n",
	    name, labels, *(uint64_t *)value);
	g_free(t->name);
	t->name = name;
	return FALSE;
}

char *
ogl_measures_text(const struct ogl_measures *m)
{
	GString *s = g_string_new(NULL);
	struct labelled_text labelled = {s, NULL};
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
	g_tree_foreach(m->labelled, put_labelled, &labelled);
	g_free(labelled.name);
	return g_string_free(s, FALSE);
}
