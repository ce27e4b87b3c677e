/*
 * Checks of what ran on workers: room, places, teams' limits and leaving
 * targets.  The first three walk the marks, the times at which something
 * starts, ends or changes.
 */

#include <string.h>

#include "check_index.h"

#define DIMENSIONS 3

/* What a worker holds, as the walk goes on. */
struct host {
	const event *capacity;
	uint64_t held[DIMENSIONS];
};

static const char *const dimension_names[DIMENSIONS] = {
    "processors", "memory", "accelerators"};

static uint32_t
dimension(const struct ogl_res *r, int d)
{
	const uint32_t all[DIMENSIONS] = {r->cpu_milli, r->mem_mb, r->accel};

	return all[d];
}

static const struct mark *
mark_at(const struct ogl_check *c, guint i)
{
	return &g_array_index(c->marks, struct mark, i);
}

/* Whether the span has begun by the time of an event and goes on beyond. */
static bool
runs_at(const struct span *s, const event *ev)
{
	return s->start <= ev && s->to > ev->at;
}

static gint
compare_size(gconstpointer a, gconstpointer b, gpointer d)
{
	const event *x = *(const event *const *)a;
	const event *y = *(const event *const *)b;
	uint32_t n = dimension(&x->u.task.res, *(int *)d);
	uint32_t m = dimension(&y->u.task.res, *(int *)d);

	return (n < m) - (n > m);
}

/* The new start, and the fewest others with which it is too much. */
static GPtrArray *
overfull_lines(
    const struct ogl_check *c, const struct host *h, const event *start, int d)
{
	uint64_t room = dimension(&h->capacity->u.worker.capacity, d);
	uint64_t sum = dimension(&start->u.task.res, d);
	GPtrArray *lines = check_lines(h->capacity, start, NULL);
	GPtrArray *others = g_ptr_array_new();

	for (guint i = 0; i < c->spans->len; i++) {
		const struct span *s = g_ptr_array_index(c->spans, i);

		if (s->start != start && runs_at(s, start) &&
		    strcmp(s->start->u.task.worker, start->u.task.worker) == 0)
			g_ptr_array_add(others, (gpointer)s->start);
	}
	g_ptr_array_sort_with_data(others, compare_size, &d);
	for (guint i = 0; sum <= room && i < others->len; i++) {
		const event *other = g_ptr_array_index(others, i);

		sum += dimension(&other->u.task.res, d);
		g_ptr_array_add(lines, (gpointer)other);
	}
	g_ptr_array_free(others, TRUE);
	return lines;
}

/* A capacity that shrinks below what is held is no fault; to add is one. */
static void
check_room(struct ogl_check *c, const struct host *h, const event *start)
{
	const struct ogl_res *room;

	if (h->capacity == NULL)
		return;
	room = &h->capacity->u.worker.capacity;
	for (int d = 0; d < DIMENSIONS; d++) {
		if (dimension(&start->u.task.res, d) == 0 ||
		    h->held[d] <= dimension(room, d))
			continue;
		check_find(c, overfull_lines(c, h, start, d),
		    "%s is given more %s than it holds", start->u.task.worker,
		    dimension_names[d]);
		return;
	}
}

void
check_overfull(struct ogl_check *c)
{
	GHashTable *hosts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);

	for (guint i = 0; i < c->marks->len; i++) {
		const struct mark *m = mark_at(c, i);
		const char *name = m->type == MARK_CAPACITY
				       ? m->ev->u.worker.worker
				       : m->ev->u.task.worker;
		struct host *h;

		if (m->type == MARK_LIMIT)
			continue;
		if (m->span != NULL)
			name = m->span->start->u.task.worker;
		h = g_hash_table_lookup(hosts, name);
		if (h == NULL) {
			h = g_new0(struct host, 1);
			g_hash_table_insert(hosts, (gpointer)name, h);
		}
		if (m->type == MARK_CAPACITY) {
			h->capacity = m->ev;
			continue;
		}
		if (m->span == NULL)
			continue; /* only a capacity has none */
		for (int d = 0; d < DIMENSIONS; d++) {
			uint32_t n = dimension(&m->span->start->u.task.res, d);

			h->held[d] += m->type == MARK_START ? n : 0;
			h->held[d] -= m->type == MARK_END ? n : 0;
		}
		if (m->type == MARK_START)
			check_room(c, h, m->ev);
	}
	g_hash_table_destroy(hosts);
}

void
check_two_places(struct ogl_check *c)
{
	GHashTable *running = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < c->marks->len; i++) {
		const struct mark *m = mark_at(c, i);
		const struct span *other;
		const char *task;

		if (m->span == NULL)
			continue;
		task = m->span->start->u.task.task;
		other = g_hash_table_lookup(running, task);
		if (m->type == MARK_END && other == m->span)
			g_hash_table_remove(running, task);
		if (m->type != MARK_START)
			continue;
		if (other != NULL)
			check_find(c, check_lines(other->start, m->ev, NULL),
			    "task %s starts on %s while it runs on %s", task,
			    m->ev->u.task.worker, other->start->u.task.worker);
		g_hash_table_insert(running, (gpointer)task, (gpointer)m->span);
	}
	g_hash_table_destroy(running);
}

/* ---- teams' limits ----------------------------------------------------- */

/* A team with a limit, as the walk goes on. */
struct limit {
	GPtrArray *edits; /* of its limit, in order of their answers */
	uint64_t running; /* in it and below it */
	bool above;       /* and told of */
};

static void
limit_free(gpointer p)
{
	struct limit *l = p;

	g_ptr_array_free(l->edits, TRUE);
	g_free(l);
}

static GHashTable *
limits_of(const struct ogl_check *c)
{
	GHashTable *limits =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, limit_free);

	for (size_t i = 0; i < c->n; i++) {
		const event *ev = &c->ev[i];
		struct limit *l;

		if (ev->type != HISTORY_EDIT ||
		    ev->u.edit.what != HISTORY_EDIT_LIMIT)
			continue;
		l = g_hash_table_lookup(limits, ev->u.edit.team);
		if (l == NULL) {
			l = g_new0(struct limit, 1);
			l->edits = g_ptr_array_new();
			g_hash_table_insert(
			    limits, (gpointer)ev->u.edit.team, l);
		}
		g_ptr_array_add(l->edits, (gpointer)ev);
	}
	return limits;
}

/*
 * The edit that allows the most at a time, NULL when nothing limits yet.  A
 * limit may be in force from when it was asked for, and until the grace after
 * the next accepted one is over.
 */
static const event *
loosest(const struct ogl_check *c, const struct limit *l, ogl_time at)
{
	const event *best = NULL;

	for (guint i = 0; i < l->edits->len; i++) {
		const event *ev = g_ptr_array_index(l->edits, i);
		bool settled =
		    ev->u.edit.accepted && ev->at + c->times.lowered < at;

		if (settled || (best != NULL && ev->u.edit.asked <= at &&
				   ev->u.edit.limit > best->u.edit.limit))
			best = ev;
	}
	return best;
}

/* Whether the path is the team's or lies below it. */
static bool
within(const char *path, const char *team)
{
	size_t n = strlen(team);

	return strncmp(path, team, n) == 0 &&
	       (path[n] == '\0' || path[n] == '/');
}

/* The edit, and the latest starts that are one too many under it. */
static GPtrArray *
limit_lines(const struct ogl_check *c, const event *edit, ogl_time at)
{
	GPtrArray *lines = check_lines(edit, NULL);
	uint64_t left = edit->u.edit.limit + 1;

	for (guint i = c->spans->len; i-- > 0 && left > 0;) {
		const struct span *s = g_ptr_array_index(c->spans, i);

		if (s->start->at > at || s->to <= at ||
		    !within(s->start->u.task.team, edit->u.edit.team))
			continue;
		g_ptr_array_add(lines, (gpointer)s->start);
		left--;
	}
	return lines;
}

static void
check_count(struct ogl_check *c, struct limit *l, const char *team, ogl_time at)
{
	const event *edit = loosest(c, l, at);
	bool above = edit != NULL && l->running > edit->u.edit.limit;

	if (above && !l->above)
		check_find(c, limit_lines(c, edit, at),
		    "team %s has more running than its limit of %u", team,
		    (unsigned)edit->u.edit.limit);
	l->above = above;
}

/* Counts a start or an end in the team and in each above it. */
static void
count_task(struct ogl_check *c, GHashTable *limits, const struct mark *m)
{
	char *team = g_strdup(m->span->start->u.task.team);
	char *slash;

	do {
		struct limit *l = g_hash_table_lookup(limits, team);

		if (l != NULL) {
			l->running += m->type == MARK_START ? 1 : -1;
			check_count(c, l, team, m->at);
		}
		slash = strrchr(team, '/');
		if (slash != NULL)
			*slash = '\0';
	} while (slash != NULL);
	g_free(team);
}

void
check_limit(struct ogl_check *c)
{
	GHashTable *limits = limits_of(c);

	for (guint i = 0; i < c->marks->len; i++) {
		const struct mark *m = mark_at(c, i);

		if (m->type == MARK_LIMIT && m->at <= c->end)
			check_count(c,
			    g_hash_table_lookup(limits, m->ev->u.edit.team),
			    m->ev->u.edit.team, m->at);
		else if (m->span != NULL)
			count_task(c, limits, m);
	}
	g_hash_table_destroy(limits);
}

/* ---- leaving targets --------------------------------------------------- */

static void
list_target(GHashTable *leaving, const event *ev)
{
	const char *name = ev->u.listed.target;

	if (!ev->u.listed.leaving)
		g_hash_table_remove(leaving, name);
	else if (!g_hash_table_contains(leaving, name))
		g_hash_table_insert(leaving, (gpointer)name, (gpointer)ev);
}

void
check_leaving(struct ogl_check *c)
{
	GHashTable *leaving = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < c->n; i++) {
		const event *ev = &c->ev[i];
		const event *listed;
		const char *name;

		if (ev->type == HISTORY_LISTED)
			list_target(leaving, ev);
		if (ev->type == HISTORY_RUN)
			name = ev->u.run.exec;
		else if (ev->type == HISTORY_START)
			name = ev->u.task.worker;
		else
			continue;
		listed = g_hash_table_lookup(leaving, name);
		if (listed != NULL && ev->at > listed->at + c->times.leaving)
			check_find(c, check_lines(listed, ev, NULL),
			    "%s gets new work though it is leaving", name);
	}
	g_hash_table_destroy(leaving);
}
