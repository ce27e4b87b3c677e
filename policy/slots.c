/*
 * Gives refused callers times to come back at.
 *
 * Each line has an array of the places that are taken, in order of time.  A new
 * caller gets the first place that is at least an interval, the inverse of the
 * line's rate, away from all others.  A caller that came back within its slot
 * and was refused again may have a place half an interval from others: it would
 * otherwise get one behind all callers that came after it.  So the load of
 * returning callers is at most twice the line's rate.
 *
 * A place that its caller has not used by OGL_SLOT_LATE after its time is free.
 */

#include "slots.h"

/* Bounds of the time between two places.  A rate that was measured over a few
 * seconds says no more than that. */
#define INTERVAL_MIN OGL_MS
#define INTERVAL_MAX (2 * OGL_SEC)
/* Places end this long after the first possible one, as callers give up and
 * forecasts err more the further ahead they are.  Callers for whom there is no
 * place are spread over the second half of this time. */
#define PLACES_TIME_MAX (10 * OGL_SEC)
#define SWEEP_INTERVAL OGL_SEC
/* After a line was found without a place, none is looked for for this long unless
 * one is freed.  Looking at a few thousand places takes 10 us, and an overloaded
 * owner may refuse thousands of callers a second. */
#define FULL_TIME (100 * OGL_MS)

/* Both arrays hold struct slot, by time. */
struct line {
	GPtrArray *places;
	GPtrArray *unplaced; /* for whom there was no place */
	ogl_time full_until; /* no place is looked for before */
};

struct slot {
	char *id;
	struct line *line;
	GPtrArray *array; /* of the line */
	ogl_time at;
	ogl_time first_attempt;
	GList link; /* in by_age */
};

struct ogl_slots {
	GHashTable *slots; /* id -> struct slot */
	GHashTable *lines; /* name -> struct line */
	GQueue by_age;     /* struct slot, the one given first at the head */
	ogl_time next_sweep_at;
};

static void
line_free(void *p)
{
	struct line *l = p;

	g_ptr_array_unref(l->places);
	g_ptr_array_unref(l->unplaced);
	g_free(l);
}

struct ogl_slots *
ogl_slots_init(void)
{
	struct ogl_slots *s = g_new0(struct ogl_slots, 1);

	s->slots = g_hash_table_new(g_str_hash, g_str_equal);
	s->lines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, line_free);
	g_queue_init(&s->by_age);
	return s;
}

void
ogl_slots_end(struct ogl_slots *s)
{
	if (s == NULL)
		return;
	ogl_slots_clear(s);
	g_hash_table_unref(s->slots);
	g_hash_table_unref(s->lines);
	g_free(s);
}

static void
slot_free(struct ogl_slots *s, struct slot *e)
{
	g_hash_table_remove(s->slots, e->id);
	g_queue_unlink(&s->by_age, &e->link);
	g_free(e->id);
	g_free(e);
}

void
ogl_slots_clear(struct ogl_slots *s)
{
	while (s->by_age.head != NULL)
		slot_free(s, s->by_age.head->data);
	g_hash_table_remove_all(s->lines);
}

/* Index of the first slot later than `after`. */
static guint
first_later(const GPtrArray *slots, ogl_time after)
{
	guint low = 0;
	guint high = slots->len;

	while (low < high) {
		guint mid = low + (high - low) / 2;
		const struct slot *e = slots->pdata[mid];

		if (e->at > after)
			high = mid;
		else
			low = mid + 1;
	}
	return low;
}

static void
drop(struct ogl_slots *s, struct slot *e)
{
	guint i = first_later(e->array, e->at - 1);

	while (e->array->pdata[i] != e)
		i++;
	g_ptr_array_remove_index(e->array, i);
	if (e->array == e->line->places)
		e->line->full_until = 0;
	slot_free(s, e);
}

static void
drop_past(struct ogl_slots *s, GPtrArray *slots, ogl_time now)
{
	guint past = first_later(slots, now - OGL_SLOT_LATE - 1);
	guint i;

	for (i = 0; i < past; i++)
		slot_free(s, slots->pdata[i]);
	if (past > 0)
		g_ptr_array_remove_range(slots, 0, past);
}

/* Frees the slots that were not used, and lines without slots. */
static void
sweep(struct ogl_slots *s, ogl_time now)
{
	GHashTableIter it;
	gpointer p;

	if (now < s->next_sweep_at)
		return;
	s->next_sweep_at = now + SWEEP_INTERVAL;
	g_hash_table_iter_init(&it, s->lines);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct line *l = p;

		drop_past(s, l->places, now);
		drop_past(s, l->unplaced, now);
		if (l->places->len == 0 && l->unplaced->len == 0)
			g_hash_table_iter_remove(&it);
	}
}

static struct line *
find_or_add_line(struct ogl_slots *s, const char *name)
{
	struct line *l = g_hash_table_lookup(s->lines, name);

	if (l == NULL) {
		l = g_new0(struct line, 1);
		l->places = g_ptr_array_new();
		l->unplaced = g_ptr_array_new();
		g_hash_table_insert(s->lines, g_strdup(name), l);
	}
	return l;
}

/* The first time from not_before on that is `interval` away from all places. */
static ogl_time
find_place(const struct line *l, ogl_time interval, ogl_time not_before)
{
	ogl_time at = not_before;
	guint i;

	for (i = first_later(l->places, not_before - interval);
	     i < l->places->len; i++) {
		const struct slot *e = l->places->pdata[i];

		if (e->at >= at + interval || at > not_before + PLACES_TIME_MAX)
			break;
		at = MAX(at, e->at + interval);
	}
	return at;
}

/* A time in the second half of PLACES_TIME_MAX, by the job's id. */
static ogl_time
spread(const char *id, ogl_time not_before)
{
	ogl_time half = PLACES_TIME_MAX / 2;

	/* Ids that differ little have hashes that differ little. */
	return not_before + half + g_str_hash(id) * 2654435761U % half;
}

/* Sets the time of a slot, and adds the slot to its line. */
static void
place(struct slot *e, ogl_time interval, ogl_time not_before, ogl_time now)
{
	struct line *l = e->line;
	bool returns = e->first_attempt < now;

	if (returns || now >= l->full_until) {
		e->at = find_place(
		    l, returns ? interval / 2 : interval, not_before);
		e->array = l->places;
		if (e->at > not_before + PLACES_TIME_MAX) {
			e->array = NULL;
			l->full_until = now + FULL_TIME;
		}
	}
	if (e->array == NULL) {
		e->at = spread(e->id, not_before);
		e->array = l->unplaced;
	}
	g_ptr_array_insert(e->array, (gint)first_later(e->array, e->at), e);
}

static bool
within(const struct slot *e, ogl_time now)
{
	return now >= e->at - OGL_SLOT_EARLY && now <= e->at + OGL_SLOT_LATE;
}

ogl_time
ogl_slots_give(struct ogl_slots *s, const char *line, const char *id,
    double rate, ogl_time not_before, ogl_time now)
{
	struct slot *e = g_hash_table_lookup(s->slots, id);
	ogl_time first_attempt = ogl_slots_first_attempt(s, id, now);
	ogl_time interval = INTERVAL_MAX;

	if (e != NULL && now < e->at - OGL_SLOT_EARLY && e->at >= not_before)
		return e->at;
	if (e != NULL && now < e->at)
		first_attempt = e->first_attempt;
	if (e != NULL)
		drop(s, e);
	sweep(s, now);
	if (s->by_age.length >= OGL_SLOTS_MAX)
		drop(s, s->by_age.head->data);
	if (rate * INTERVAL_MAX > (double)OGL_SEC)
		interval = MAX((ogl_time)(OGL_SEC / rate), INTERVAL_MIN);
	e = g_new0(struct slot, 1);
	e->id = g_strdup(id);
	e->line = find_or_add_line(s, line);
	e->first_attempt = first_attempt;
	place(e, interval, not_before, now);
	g_hash_table_insert(s->slots, e->id, e);
	e->link.data = e;
	g_queue_push_tail_link(&s->by_age, &e->link);
	return e->at;
}

ogl_time
ogl_slots_first_attempt(const struct ogl_slots *s, const char *id, ogl_time now)
{
	const struct slot *e = g_hash_table_lookup(s->slots, id);

	return e != NULL && within(e, now) ? e->first_attempt : now;
}

void
ogl_slots_remove(struct ogl_slots *s, const char *id)
{
	struct slot *e = g_hash_table_lookup(s->slots, id);

	if (e != NULL)
		drop(s, e);
}

size_t
ogl_slots_count(const struct ogl_slots *s)
{
	return s->by_age.length;
}
