/*
 * Builds the index of a history in one pass by time: joins answers to calls,
 * runs to bodies, ends to starts and tasks to jobs, and collects the outages
 * of nodes.  The index points into the history and copies no events.
 */

#include <inttypes.h>
#include <string.h>

#include "check_index.h"

/* Finds the entry of a table or adds a zeroed one to the table and the list. */
static void *
find_or_add(GHashTable *table, GPtrArray *list, const char *key, size_t size)
{
	void *p = g_hash_table_lookup(table, key);

	if (p == NULL) {
		p = g_malloc0(size);
		g_hash_table_insert(table, (gpointer)key, p);
		g_ptr_array_add(list, p);
	}
	return p;
}

static struct request *
find_request(struct ogl_check *c, const char *body)
{
	struct request *r =
	    find_or_add(c->requests, c->request_list, body, sizeof(*r));

	if (r->calls == NULL) {
		r->calls = g_ptr_array_new();
		r->runs = g_ptr_array_new();
	}
	return r;
}

static void
request_free(gpointer p)
{
	struct request *r = p;

	g_ptr_array_free(r->calls, TRUE);
	g_ptr_array_free(r->runs, TRUE);
	g_free(r);
}

/* Finds the job of a task, which is named <job>.<index>. */
static struct job *
find_job_of_task(struct ogl_check *c, const char *task)
{
	const char *dot = strrchr(task, '.');
	char *name = dot != NULL ? g_strndup(task, (gsize)(dot - task)) : NULL;
	struct job *j =
	    name != NULL ? g_hash_table_lookup(c->jobs, name) : NULL;

	g_free(name);
	return j;
}

static void
add_call(struct ogl_check *c, const event *ev)
{
	struct call *k =
	    find_or_add(c->calls, c->call_list, ev->u.call.call, sizeof(*k));

	if (k->sent != NULL)
		return; /* check_answer reports the duplicate */
	k->sent = ev;
	if (!ev->u.call.job)
		g_ptr_array_add(find_request(c, ev->u.call.body)->calls, k);
}

static void
add_job(struct ogl_check *c, const event *ev)
{
	struct job *j =
	    find_or_add(c->jobs, c->job_list, ev->u.job.job, sizeof(*j));
	struct call *k = g_hash_table_lookup(c->calls, ev->u.job.call);
	uint32_t state = ev->u.job.state;

	if (state == HISTORY_JOB_UNKNOWN) {
		if (j->first_report != NULL && j->ended == NULL &&
		    j->missing == NULL)
			j->missing = ev;
		return;
	}
	if (k != NULL && k->job == NULL)
		k->job = ev;
	if (k != NULL && j->submit == NULL)
		j->submit = k->sent;
	if (j->first_report == NULL)
		j->first_report = ev;
	j->last_report = ev;
	if (state >= HISTORY_JOB_DONE && j->ended == NULL)
		j->ended = ev;
}

/* ---- tasks ------------------------------------------------------------- */

static void
end_span(struct span *s, const event *ev)
{
	s->end = ev;
	s->to = ev->at;
}

static char *
span_key(const event *ev)
{
	return g_strdup_printf("%s %" PRIu64 " %s %u", ev->u.task.worker,
	    ev->u.task.boot, ev->u.task.task, ev->u.task.attempt);
}

static void
add_start(struct ogl_check *c, GHashTable *open_spans, const event *ev)
{
	struct span *s = g_new0(struct span, 1);

	s->start = ev;
	s->to = OGL_NEVER;
	g_ptr_array_add(c->spans, s);
	g_hash_table_replace(open_spans, span_key(ev), s);
}

static void
add_end(GHashTable *open_spans, const event *ev)
{
	char *key = span_key(ev);
	struct span *s = g_hash_table_lookup(open_spans, key);

	if (s != NULL)
		end_span(s, ev);
	g_hash_table_remove(open_spans, key);
	g_free(key);
}

/* A worker that starts again has lost the tasks of its earlier boots. */
static void
end_older_boots(GHashTable *open_spans, const event *ev)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, open_spans);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct span *s = p;
		const event *start = s->start;

		if (strcmp(start->u.task.worker, ev->u.worker.worker) == 0 &&
		    start->u.task.boot != ev->u.worker.boot) {
			end_span(s, ev);
			g_hash_table_iter_remove(&it);
		}
	}
}

static void
add_to_timeline(struct ogl_check *c, ogl_time at, enum timeline_type type,
    const struct span *span, const event *ev)
{
	struct timeline_entry entry = {at, type, span, ev};

	g_array_append_val(c->timeline, entry);
}

static gint
compare_entries(gconstpointer a, gconstpointer b)
{
	const struct timeline_entry *x = a;
	const struct timeline_entry *y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return (gint)x->type - (gint)y->type;
}

/* A start at the same time as an end elsewhere does not overlap it, so ends
 * are sorted first, and a span of zero length is left out. */
static void
make_timeline(struct ogl_check *c)
{
	for (guint i = 0; i < c->spans->len; i++) {
		const struct span *s = g_ptr_array_index(c->spans, i);
		struct job *j = find_job_of_task(c, s->start->u.task.task);

		if (s->start->at < s->to)
			add_to_timeline(
			    c, s->start->at, TIMELINE_START, s, s->start);
		if (s->start->at < s->to && s->end != NULL)
			add_to_timeline(c, s->to, TIMELINE_END, s, s->end);
		if (j != NULL && j->started == NULL)
			j->started = s->start;
		if (j != NULL && j->succeeded == NULL && s->end != NULL &&
		    s->end->type == HISTORY_END &&
		    s->end->u.task.state == OGL__TASK_STATE__succeeded)
			j->succeeded = s->end;
	}
	for (size_t i = 0; i < c->nevents; i++) {
		const event *ev = &c->events[i];

		if (ev->type == HISTORY_WORKER)
			add_to_timeline(c, ev->at, TIMELINE_CAPACITY, NULL, ev);
		if (ev->type == HISTORY_EDIT &&
		    ev->u.edit.what == HISTORY_EDIT_LIMIT)
			add_to_timeline(c, ev->at + c->grace.limit_lowered + 1,
			    TIMELINE_LIMIT, NULL, ev);
	}
	g_array_sort(c->timeline, compare_entries);
}

/* ---- nodes ------------------------------------------------------------- */

static void
begin_outage(struct ogl_check *c, enum outage_type type, const char *who,
    const event *ev)
{
	struct outage o = {type, who, ev, ev->at, OGL_NEVER, OGL_NEVER};

	g_array_append_val(c->outages, o);
}

/* Ends the open outages of a node that is up, or its pauses if it was resumed.
 * A node that comes up for the first time was not started before. */
static void
end_outages(struct ogl_check *c, const event *ev)
{
	bool resumed = ev->u.node.state == HISTORY_NODE_RESUMED;
	bool had_outage = false;

	for (guint i = 0; i < c->outages->len; i++) {
		struct outage *o = &g_array_index(c->outages, struct outage, i);

		if (o->type == OUTAGE_FAULT ||
		    strcmp(o->who, ev->u.node.node) != 0)
			continue;
		had_outage = true;
		if (o->to == OGL_NEVER && (!resumed || o->type == OUTAGE_PAUSE))
			o->to = ev->at;
	}
	if (!had_outage && !resumed) {
		struct outage before_start = {OUTAGE_NOT_STARTED,
		    ev->u.node.node, ev, INT64_MIN, OGL_NEVER, ev->at};

		g_array_append_val(c->outages, before_start);
	}
}

/* A planned stop ends when the process exits or is killed. */
static void
end_stops(struct ogl_check *c, const event *ev)
{
	for (guint i = 0; i < c->outages->len; i++) {
		struct outage *o = &g_array_index(c->outages, struct outage, i);

		if (o->type == OUTAGE_STOP && o->to == OGL_NEVER &&
		    strcmp(o->who, ev->u.node.node) == 0)
			o->exited = MIN(o->exited, ev->at);
	}
}

static void
add_node(struct ogl_check *c, const event *ev)
{
	const char *node = ev->u.node.node;

	switch ((enum history_node)ev->u.node.state) {
	case HISTORY_NODE_DOWN:
		end_stops(c, ev);
		begin_outage(c, OUTAGE_KILL, node, ev);
		return;
	case HISTORY_NODE_PAUSED:
		begin_outage(c, OUTAGE_PAUSE, node, ev);
		return;
	case HISTORY_NODE_STOPPING:
		begin_outage(c, OUTAGE_STOP, node, ev);
		return;
	case HISTORY_NODE_EXITED:
		end_stops(c, ev);
		return;
	default:
		end_outages(c, ev);
	}
}

static void
add_fault(struct ogl_check *c, const event *ev)
{
	if (ev->u.fault.on) {
		begin_outage(c, OUTAGE_FAULT, ev->u.fault.who, ev);
		return;
	}
	for (guint i = 0; i < c->outages->len; i++) {
		struct outage *o = &g_array_index(c->outages, struct outage, i);

		if (o->type == OUTAGE_FAULT && o->to == OGL_NEVER &&
		    strcmp(o->who, ev->u.fault.who) == 0 &&
		    strcmp(o->ev->u.fault.what, ev->u.fault.what) == 0)
			o->to = ev->at;
	}
}

/* ---- index ------------------------------------------------------------- */

static void
add_event(struct ogl_check *c, GHashTable *open_spans, const event *ev)
{
	struct call *k;

	switch (ev->type) {
	case HISTORY_CALL:
		add_call(c, ev);
		return;
	case HISTORY_ANSWER:
		k = g_hash_table_lookup(c->calls, ev->u.answer.call);
		if (k != NULL && k->answer == NULL)
			k->answer = ev;
		return;
	case HISTORY_JOB:
		add_job(c, ev);
		return;
	case HISTORY_RUN:
		c->has_runs = true;
		g_ptr_array_add(
		    find_request(c, ev->u.run.body)->runs, (gpointer)ev);
		return;
	case HISTORY_WORKER:
		end_older_boots(open_spans, ev);
		return;
	case HISTORY_START:
		c->has_starts = true;
		add_start(c, open_spans, ev);
		return;
	case HISTORY_END:
	case HISTORY_LAPSE:
	case HISTORY_CRASH:
		add_end(open_spans, ev);
		return;
	case HISTORY_NODE:
		add_node(c, ev);
		return;
	case HISTORY_FAULT:
		add_fault(c, ev);
		return;
	case HISTORY_OVER:
		if (c->load_over == NULL)
			c->load_over = ev;
		return;
	default:
		return;
	}
}

void
check_index(struct ogl_check *c)
{
	GHashTable *open_spans =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	c->calls = g_hash_table_new(g_str_hash, g_str_equal);
	c->requests = g_hash_table_new(g_str_hash, g_str_equal);
	c->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	c->call_list = g_ptr_array_new_with_free_func(g_free);
	c->request_list = g_ptr_array_new_with_free_func(request_free);
	c->job_list = g_ptr_array_new_with_free_func(g_free);
	c->spans = g_ptr_array_new_with_free_func(g_free);
	c->timeline = g_array_new(FALSE, FALSE, sizeof(struct timeline_entry));
	c->outages = g_array_new(FALSE, FALSE, sizeof(struct outage));
	for (size_t i = 0; i < c->nevents; i++)
		add_event(c, open_spans, &c->events[i]);
	c->end_time = c->nevents > 0 ? c->events[c->nevents - 1].at : 0;
	g_hash_table_destroy(open_spans);
	make_timeline(c);
}

void
check_index_end(struct ogl_check *c)
{
	g_hash_table_destroy(c->calls);
	g_hash_table_destroy(c->requests);
	g_hash_table_destroy(c->jobs);
	g_ptr_array_free(c->call_list, TRUE);
	g_ptr_array_free(c->request_list, TRUE);
	g_ptr_array_free(c->job_list, TRUE);
	g_ptr_array_free(c->spans, TRUE);
	g_array_free(c->timeline, TRUE);
	g_array_free(c->outages, TRUE);
}
