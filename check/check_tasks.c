/*
 * Checks of what ran on workers: capacity, tasks on two workers at once, the
 * limits of teams, and leaving targets.  The first three go through the
 * timeline of starts, ends and changes of capacity and limits.
 */

#include <string.h>

#include "check_index.h"

#define NRESOURCES 3

/* The capacity and load of a worker at the current entry of the timeline. */
struct worker_load {
	const event *capacity;
	uint64_t used[NRESOURCES];
};

static const char *const resource_names[NRESOURCES] = {
    "processors", "memory", "accelerators"};

static uint32_t
resource_amount(const struct ogl_res *r, int resource)
{
	const uint32_t all[NRESOURCES] = {r->cpu_milli, r->mem_mb, r->accel};

	return all[resource];
}

static const struct timeline_entry *
entry_at(const struct ogl_check *c, guint i)
{
	return &g_array_index(c->timeline, struct timeline_entry, i);
}

/* Whether the span starts no later than an event and ends after it. */
static bool
runs_at(const struct span *s, const event *ev)
{
	return s->start <= ev && s->to > ev->at;
}

static gint
compare_size(gconstpointer a, gconstpointer b, gpointer resource)
{
	const event *x = *(const event *const *)a;
	const event *y = *(const event *const *)b;
	uint32_t n = resource_amount(&x->u.task.res, *(int *)resource);
	uint32_t m = resource_amount(&y->u.task.res, *(int *)resource);

	return (n < m) - (n > m);
}

/* Returns the capacity, the start that exceeds it, and the smallest set of
 * other starts with which it does. */
static GPtrArray *
overfull_events(const struct ogl_check *c, const struct worker_load *load,
    const event *start, int resource)
{
	uint64_t capacity =
	    resource_amount(&load->capacity->u.worker.capacity, resource);
	uint64_t sum = resource_amount(&start->u.task.res, resource);
	GPtrArray *events = check_event_list(load->capacity, start, NULL);
	GPtrArray *others = g_ptr_array_new();

	for (guint i = 0; i < c->spans->len; i++) {
		const struct span *s = g_ptr_array_index(c->spans, i);

		if (s->start != start && runs_at(s, start) &&
		    strcmp(s->start->u.task.worker, start->u.task.worker) == 0)
			g_ptr_array_add(others, (gpointer)s->start);
	}
	g_ptr_array_sort_with_data(others, compare_size, &resource);
	for (guint i = 0; sum <= capacity && i < others->len; i++) {
		const event *other = g_ptr_array_index(others, i);

		sum += resource_amount(&other->u.task.res, resource);
		g_ptr_array_add(events, (gpointer)other);
	}
	g_ptr_array_free(others, TRUE);
	return events;
}

/* A capacity that shrinks below the load is no violation; a start that adds to
 * a load above the capacity is one. */
static void
check_capacity(
    struct ogl_check *c, const struct worker_load *load, const event *start)
{
	const struct ogl_res *capacity;

	if (load->capacity == NULL)
		return;
	capacity = &load->capacity->u.worker.capacity;
	for (int resource = 0; resource < NRESOURCES; resource++) {
		if (resource_amount(&start->u.task.res, resource) == 0 ||
		    load->used[resource] <= resource_amount(capacity, resource))
			continue;
		check_add_finding(c, overfull_events(c, load, start, resource),
		    "%s is given more %s than it holds", start->u.task.worker,
		    resource_names[resource]);
		return;
	}
}

void
check_overfull(struct ogl_check *c)
{
	GHashTable *workers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);

	for (guint i = 0; i < c->timeline->len; i++) {
		const struct timeline_entry *entry = entry_at(c, i);
		const char *name = entry->type == TIMELINE_CAPACITY
				       ? entry->ev->u.worker.worker
				       : entry->ev->u.task.worker;
		struct worker_load *load;

		if (entry->type == TIMELINE_LIMIT)
			continue;
		if (entry->span != NULL)
			name = entry->span->start->u.task.worker;
		load = g_hash_table_lookup(workers, name);
		if (load == NULL) {
			load = g_new0(struct worker_load, 1);
			g_hash_table_insert(workers, (gpointer)name, load);
		}
		if (entry->type == TIMELINE_CAPACITY) {
			load->capacity = entry->ev;
			continue;
		}
		if (entry->span == NULL)
			continue; /* not reached: other types have a span */
		for (int resource = 0; resource < NRESOURCES; resource++) {
			uint32_t n = resource_amount(
			    &entry->span->start->u.task.res, resource);

			load->used[resource] +=
			    entry->type == TIMELINE_START ? n : 0;
			load->used[resource] -=
			    entry->type == TIMELINE_END ? n : 0;
		}
		if (entry->type == TIMELINE_START)
			check_capacity(c, load, entry->ev);
	}
	g_hash_table_destroy(workers);
}

void
check_two_places(struct ogl_check *c)
{
	GHashTable *running = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < c->timeline->len; i++) {
		const struct timeline_entry *entry = entry_at(c, i);
		const struct span *other;
		const char *task;

		if (entry->span == NULL)
			continue;
		task = entry->span->start->u.task.task;
		other = g_hash_table_lookup(running, task);
		if (entry->type == TIMELINE_END && other == entry->span)
			g_hash_table_remove(running, task);
		if (entry->type != TIMELINE_START)
			continue;
		if (other != NULL)
			check_add_finding(c,
			    check_event_list(other->start, entry->ev, NULL),
			    "task %s starts on %s while it runs on %s", task,
			    entry->ev->u.task.worker,
			    other->start->u.task.worker);
		g_hash_table_insert(
		    running, (gpointer)task, (gpointer)entry->span);
	}
	g_hash_table_destroy(running);
}

/* ---- teams' limits ----------------------------------------------------- */

/* A team with a limit, at the current entry of the timeline. */
struct team_limit {
	GPtrArray *edits; /* of the limit, in order of their answers */
	uint64_t running; /* tasks of the team and its subteams */
	bool above;       /* the limit is exceeded and that is reported */
};

static void
team_limit_free(gpointer p)
{
	struct team_limit *l = p;

	g_ptr_array_free(l->edits, TRUE);
	g_free(l);
}

static GHashTable *
collect_limits(const struct ogl_check *c)
{
	GHashTable *limits = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, team_limit_free);

	for (size_t i = 0; i < c->nevents; i++) {
		const event *ev = &c->events[i];
		struct team_limit *l;

		if (ev->type != HISTORY_EDIT ||
		    ev->u.edit.what != HISTORY_EDIT_LIMIT)
			continue;
		l = g_hash_table_lookup(limits, ev->u.edit.team);
		if (l == NULL) {
			l = g_new0(struct team_limit, 1);
			l->edits = g_ptr_array_new();
			g_hash_table_insert(
			    limits, (gpointer)ev->u.edit.team, l);
		}
		g_ptr_array_add(l->edits, (gpointer)ev);
	}
	return limits;
}

/*
 * Returns the edit that allows the most tasks at a time, or NULL if no limit
 * is certainly in force.  A limit may be in force from the time it was asked
 * for until the grace period after the next accepted one is over.
 */
static const event *
most_permissive_edit(
    const struct ogl_check *c, const struct team_limit *l, ogl_time at)
{
	const event *best = NULL;

	for (guint i = 0; i < l->edits->len; i++) {
		const event *ev = g_ptr_array_index(l->edits, i);
		bool in_force =
		    ev->u.edit.accepted && ev->at + c->grace.limit_lowered < at;

		if (in_force || (best != NULL && ev->u.edit.asked <= at &&
				    ev->u.edit.limit > best->u.edit.limit))
			best = ev;
	}
	return best;
}

/* Whether the path names the team or one of its subteams. */
static bool
is_in_team(const char *path, const char *team)
{
	size_t n = strlen(team);

	return strncmp(path, team, n) == 0 &&
	       (path[n] == '\0' || path[n] == '/');
}

/* Returns the edit and the latest starts, one more than it allows. */
static GPtrArray *
limit_events(const struct ogl_check *c, const event *edit, ogl_time at)
{
	GPtrArray *events = check_event_list(edit, NULL);
	uint64_t wanted = edit->u.edit.limit + 1;

	for (guint i = c->spans->len; i-- > 0 && wanted > 0;) {
		const struct span *s = g_ptr_array_index(c->spans, i);

		if (s->start->at > at || s->to <= at ||
		    !is_in_team(s->start->u.task.team, edit->u.edit.team))
			continue;
		g_ptr_array_add(events, (gpointer)s->start);
		wanted--;
	}
	return events;
}

static void
check_team_running(
    struct ogl_check *c, struct team_limit *l, const char *team, ogl_time at)
{
	const event *edit = most_permissive_edit(c, l, at);
	bool above = edit != NULL && l->running > edit->u.edit.limit;

	if (above && !l->above)
		check_add_finding(c, limit_events(c, edit, at),
		    "team %s has more running than its limit of %u", team,
		    (unsigned)edit->u.edit.limit);
	l->above = above;
}

/* Counts a start or an end for the team and each team above it. */
static void
count_task(
    struct ogl_check *c, GHashTable *limits, const struct timeline_entry *entry)
{
	char *team = g_strdup(entry->span->start->u.task.team);
	char *slash;

	do {
		struct team_limit *l = g_hash_table_lookup(limits, team);

		if (l != NULL) {
			l->running += entry->type == TIMELINE_START ? 1 : -1;
			check_team_running(c, l, team, entry->at);
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
	GHashTable *limits = collect_limits(c);

	for (guint i = 0; i < c->timeline->len; i++) {
		const struct timeline_entry *entry = entry_at(c, i);

		if (entry->type == TIMELINE_LIMIT && entry->at <= c->end_time)
			check_team_running(c,
			    g_hash_table_lookup(limits, entry->ev->u.edit.team),
			    entry->ev->u.edit.team, entry->at);
		else if (entry->span != NULL)
			count_task(c, limits, entry);
	}
	g_hash_table_destroy(limits);
}

/* ---- leaving targets --------------------------------------------------- */

static void
update_leaving(GHashTable *leaving, const event *ev)
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

	for (size_t i = 0; i < c->nevents; i++) {
		const event *ev = &c->events[i];
		const event *listed;
		const char *name;

		if (ev->type == HISTORY_LISTED)
			update_leaving(leaving, ev);
		if (ev->type == HISTORY_RUN)
			name = ev->u.run.exec;
		else if (ev->type == HISTORY_START)
			name = ev->u.task.worker;
		else
			continue;
		listed = g_hash_table_lookup(leaving, name);
		if (listed != NULL && ev->at > listed->at + c->grace.leaving)
			check_add_finding(c, check_event_list(listed, ev, NULL),
			    "%s gets new work though it is leaving", name);
	}
	g_hash_table_destroy(leaving);
}
