/*
 * With w workers in a record, an owner needs w / 2 + 1 of them (rounded down)
 * and a successor the other half, w / 2 rounded up.  Together that is more than
 * w, so both can't have enough at the same time.
 */

#include "fleet.h"
#include "quorum.h"

struct quorum_record {
	uint64_t number; /* first record that names these workers */
	guint workers;
};

struct cell_quorum {
	/* The record that is known to be stored and later ones that may be. */
	GArray *records; /* struct quorum_record */
	GArray *times;   /* ogl_time, used by accepted_since */
};

struct cell_quorum *
cell_quorum_init(void)
{
	struct cell_quorum *q = g_new0(struct cell_quorum, 1);

	q->records = g_array_new(FALSE, FALSE, sizeof(struct quorum_record));
	q->times = g_array_new(FALSE, FALSE, sizeof(ogl_time));
	return q;
}

void
cell_quorum_end(struct cell_quorum *q)
{
	g_array_unref(q->records);
	g_array_unref(q->times);
	g_free(q);
}

void
cell_quorum_clear(struct cell_quorum *q)
{
	g_array_set_size(q->records, 0);
}

void
cell_quorum_record_sent(
    struct cell_quorum *q, uint64_t number, guint workers, guint added)
{
	struct quorum_record r = {number, workers};
	guint n = q->records->len;

	if (n > 0 && added == 0 &&
	    g_array_index(q->records, struct quorum_record, n - 1).workers ==
		workers)
		return; /* it names the same ones as the last */
	g_array_append_val(q->records, r);
}

void
cell_quorum_record_stored(struct cell_quorum *q, uint64_t number)
{
	while (
	    q->records->len > 1 &&
	    g_array_index(q->records, struct quorum_record, 1).number <= number)
		g_array_remove_index(q->records, 0);
}

static gint
compare_latest_first(gconstpointer a, gconstpointer b)
{
	ogl_time x = *(const ogl_time *)a;
	ogl_time y = *(const ogl_time *)b;

	return x > y ? -1 : x < y;
}

/* The latest time since which more than half of the record's workers have
 * accepted a call, 0 if there is none. */
static ogl_time
accepted_since(const struct cell_quorum *q, const struct quorum_record *r,
    GHashTable *workers, ogl_time confirmed_at)
{
	GHashTableIter it;
	gpointer p;

	g_array_set_size(q->times, 0);
	g_hash_table_iter_init(&it, workers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct cell_worker *w = p;

		if (w->first_record != 0 && w->first_record <= r->number &&
		    w->accepted_at != 0 && w->incarnation_since < confirmed_at)
			g_array_append_val(q->times, w->accepted_at);
	}
	if (q->times->len <= r->workers / 2)
		return 0;
	g_array_sort(q->times, compare_latest_first);
	return g_array_index(q->times, ogl_time, r->workers / 2);
}

ogl_time
cell_quorum_accepted_at(
    const struct cell_quorum *q, GHashTable *workers, ogl_time confirmed_at)
{
	ogl_time least = OGL_NEVER;
	guint i;

	for (i = 0; i < q->records->len; i++) {
		ogl_time at = accepted_since(q,
		    &g_array_index(q->records, struct quorum_record, i),
		    workers, confirmed_at);

		least = MIN(least, at);
	}
	return least == OGL_NEVER ? 0 : least;
}

bool
cell_quorum_answered(guint answered, guint workers)
{
	return answered >= workers - workers / 2;
}
