/*
 * Checks planned stops of nodes and the settings in force at them.  Nothing is
 * reported that an outage of the node explains: it was down, paused or cut off.
 */

#include <inttypes.h>
#include <string.h>

#include "check_index.h"

static const struct outage *
outage_at(const struct ogl_check *c, guint i)
{
	return &g_array_index(c->outages, struct outage, i);
}

/* A timeout may fire this much early or late. */
#define TIMEOUT_TOLERANCE (50 * OGL_MS)

/* ---- planned stops ----------------------------------------------------- */

/* Returns when an outage no longer explains a broken call.  A killed node
 * breaks the calls that it had at that time, and no more until it is back. */
static ogl_time
explains_until(const struct ogl_check *c, const struct outage *o)
{
	ogl_time to = o->type == OUTAGE_KILL ? o->from : o->to;

	return to == OGL_NEVER ? OGL_NEVER : to + c->grace.fault_ended;
}

/* Whether something other than a planned stop can have broken the call. */
static bool
has_other_cause(const struct ogl_check *c, const struct call *k)
{
	const struct request *r =
	    g_hash_table_lookup(c->requests, k->sent->u.call.body);

	ogl_time took = k->answer->at - k->sent->at;
	ogl_time timeout = (ogl_time)k->sent->u.call.timeout_ms * OGL_MS;

	if (timeout > 0 && took + TIMEOUT_TOLERANCE >= timeout)
		return true;
	for (guint i = 0; i < c->outages->len; i++) {
		const struct outage *o = outage_at(c, i);

		if (o->type >= OUTAGE_KILL && o->from <= k->answer->at &&
		    explains_until(c, o) >= k->sent->at)
			return true;
	}
	for (guint i = 0; r != NULL && i < r->runs->len; i++) {
		const event *run = g_ptr_array_index(r->runs, i);

		if (!run->u.run.whole)
			return true;
	}
	return false;
}

static void
check_one_stop(struct ogl_check *c, const struct outage *stop)
{
	ogl_time until = MIN(stop->exited, stop->to);

	for (guint i = 0; i < c->call_list->len; i++) {
		const struct call *k = g_ptr_array_index(c->call_list, i);

		if (!check_has_verdict(k, HISTORY_BROKEN) &&
		    !check_has_verdict(k, HISTORY_MAY_HAVE_RUN))
			continue;
		if (k->sent->at > until || k->answer->at < stop->from ||
		    has_other_cause(c, k))
			continue;
		check_add_finding(c,
		    check_event_list(stop->ev, k->sent, k->answer, NULL),
		    "call %s is cut while %s stops", k->sent->u.call.call,
		    stop->who);
	}
}

void
check_stop(struct ogl_check *c)
{
	for (guint i = 0; i < c->outages->len; i++) {
		if (outage_at(c, i)->type == OUTAGE_STOP)
			check_one_stop(c, outage_at(c, i));
	}
	for (size_t i = 0; i < c->nevents; i++) {
		if (c->events[i].type == HISTORY_CUT)
			check_add_finding(c,
			    check_event_list(&c->events[i], NULL),
			    "%s gives up call %s at its stop",
			    c->events[i].u.cut.node, c->events[i].u.cut.call);
	}
}

/* ---- settings ---------------------------------------------------------- */

/* The versions of the settings that one node had in force. */
struct node_versions {
	const char *name;
	GPtrArray *versions; /* of event: HISTORY_IN_FORCE */
	const event *last;   /* NULL: none since the node came up */
};

static void
node_versions_free(gpointer p)
{
	struct node_versions *node = p;

	g_ptr_array_free(node->versions, TRUE);
	g_free(node);
}

static struct node_versions *
find_node_versions(GPtrArray *list, const char *name)
{
	struct node_versions *node;

	for (guint i = 0; i < list->len; i++) {
		node = g_ptr_array_index(list, i);
		if (strcmp(node->name, name) == 0)
			return node;
	}
	node = g_new0(struct node_versions, 1);
	node->name = name;
	node->versions = g_ptr_array_new();
	g_ptr_array_add(list, node);
	return node;
}

static void
add_version(struct ogl_check *c, struct node_versions *node, const event *ev)
{
	if (node->last != NULL &&
	    ev->u.in_force.version < node->last->u.in_force.version)
		check_add_finding(c, check_event_list(node->last, ev, NULL),
		    "settings at %s go back from version %" PRIu64
		    " to %" PRIu64,
		    node->name, node->last->u.in_force.version,
		    ev->u.in_force.version);
	node->last = ev;
	g_ptr_array_add(node->versions, (gpointer)ev);
}

/* Returns when an edit accepted at a time must be in force at the node: after
 * the grace period, which starts anew at the end of each outage within it. */
static ogl_time
deadline(const struct ogl_check *c, const char *node, ogl_time accepted)
{
	ogl_time due = accepted + c->grace.in_force;
	bool extended;

	do {
		extended = false;
		for (guint i = 0; i < c->outages->len; i++) {
			const struct outage *o = outage_at(c, i);

			if ((o->who[0] != '\0' && strcmp(o->who, node) != 0) ||
			    o->from > due || o->to <= due - c->grace.in_force)
				continue;
			if (o->to == OGL_NEVER)
				return OGL_NEVER;
			due = o->to + c->grace.in_force;
			extended = true;
		}
	} while (extended);
	return due;
}

static void
check_in_force(
    struct ogl_check *c, const struct node_versions *node, const event *edit)
{
	ogl_time due = deadline(c, node->name, edit->at);
	const event *last = NULL;

	if (due > c->end_time)
		return;
	for (guint i = 0; i < node->versions->len; i++) {
		const event *ev = g_ptr_array_index(node->versions, i);

		if (ev->at <= due)
			last = ev;
	}
	if (last == NULL || last->u.in_force.version < edit->u.edit.version)
		check_add_finding(c, check_event_list(edit, last, NULL),
		    "version %" PRIu64 " is not in force at %s in time",
		    edit->u.edit.version, node->name);
}

/* An edit sent after another was accepted must have the larger version. */
static void
check_version_order(
    struct ogl_check *c, const GPtrArray *edits, const event *edit)
{
	for (guint i = 0; i < edits->len; i++) {
		const event *older = g_ptr_array_index(edits, i);

		if (edit->u.edit.asked > older->at &&
		    edit->u.edit.version <= older->u.edit.version)
			check_add_finding(c,
			    check_event_list(older, edit, NULL),
			    "version %" PRIu64 " is accepted after %" PRIu64,
			    edit->u.edit.version, older->u.edit.version);
	}
}

void
check_settings(struct ogl_check *c)
{
	GPtrArray *nodes = g_ptr_array_new_with_free_func(node_versions_free);
	GPtrArray *edits = g_ptr_array_new();

	for (size_t i = 0; i < c->nevents; i++) {
		const event *ev = &c->events[i];

		if (ev->type == HISTORY_NODE &&
		    ev->u.node.state == HISTORY_NODE_UP)
			find_node_versions(nodes, ev->u.node.node)->last = NULL;
		if (ev->type == HISTORY_IN_FORCE)
			add_version(c,
			    find_node_versions(nodes, ev->u.in_force.node), ev);
		if (ev->type != HISTORY_EDIT || !ev->u.edit.accepted ||
		    ev->u.edit.version == 0)
			continue;
		check_version_order(c, edits, ev);
		g_ptr_array_add(edits, (gpointer)ev);
	}
	for (guint i = 0; i < edits->len; i++) {
		for (guint k = 0; k < nodes->len; k++) {
			const struct node_versions *node =
			    g_ptr_array_index(nodes, k);

			if (node->versions->len > 0)
				check_in_force(c, node, edits->pdata[i]);
		}
	}
	g_ptr_array_free(edits, TRUE);
	g_ptr_array_free(nodes, TRUE);
}
