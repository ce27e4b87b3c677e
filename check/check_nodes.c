/*
 * Checks of the nodes: planned stops, and settings in force.  Neither says
 * anything of a node while it is down, paused or cut off.
 */

#include <inttypes.h>
#include <string.h>

#include "check_index.h"

static const struct outage *
outage_at(const struct ogl_check *c, guint i)
{
	return &g_array_index(c->outages, struct outage, i);
}

#define TIMER_SLACK (50 * OGL_MS) /* of a timeout, early or late */

/* ---- planned stops ----------------------------------------------------- */

/* When an outage no longer explains a broken call.  A killed node breaks
 * what it had at that time, and nothing more until it is back. */
static ogl_time
excuses_until(const struct ogl_check *c, const struct outage *o)
{
	ogl_time to = o->type == OUTAGE_KILL ? o->from : o->to;

	return to == OGL_NEVER ? OGL_NEVER : to + c->times.settle;
}

/* Whether something else than a planned stop can have broken the call. */
static bool
excused(const struct ogl_check *c, const struct call *k)
{
	const struct request *r =
	    g_hash_table_lookup(c->requests, k->sent->u.call.body);

	ogl_time took = k->answer->at - k->sent->at;
	ogl_time timeout = (ogl_time)k->sent->u.call.timeout_ms * OGL_MS;

	if (timeout > 0 && took + TIMER_SLACK >= timeout)
		return true;
	for (guint i = 0; i < c->outages->len; i++) {
		const struct outage *o = outage_at(c, i);

		if (o->type >= OUTAGE_KILL && o->from <= k->answer->at &&
		    excuses_until(c, o) >= k->sent->at)
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

		if (!check_answered(k, HISTORY_BROKEN) &&
		    !check_answered(k, HISTORY_MAY_HAVE_RUN))
			continue;
		if (k->sent->at > until || k->answer->at < stop->from ||
		    excused(c, k))
			continue;
		check_find(c, check_lines(stop->ev, k->sent, k->answer, NULL),
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
	for (size_t i = 0; i < c->n; i++) {
		if (c->ev[i].type == HISTORY_CUT)
			check_find(c, check_lines(&c->ev[i], NULL),
			    "%s gives up call %s at its stop",
			    c->ev[i].u.cut.node, c->ev[i].u.cut.call);
	}
}

/* ---- settings ---------------------------------------------------------- */

/* One node's versions, and whence it counts anew. */
struct follower {
	const char *name;
	GPtrArray *versions; /* of event: HISTORY_IN_FORCE */
	const event *last;   /* since it came up */
};

static void
follower_free(gpointer p)
{
	struct follower *f = p;

	g_ptr_array_free(f->versions, TRUE);
	g_free(f);
}

static struct follower *
follower_of(GPtrArray *list, const char *name)
{
	struct follower *f;

	for (guint i = 0; i < list->len; i++) {
		f = g_ptr_array_index(list, i);
		if (strcmp(f->name, name) == 0)
			return f;
	}
	f = g_new0(struct follower, 1);
	f->name = name;
	f->versions = g_ptr_array_new();
	g_ptr_array_add(list, f);
	return f;
}

static void
take_version(struct ogl_check *c, struct follower *f, const event *ev)
{
	if (f->last != NULL &&
	    ev->u.in_force.version < f->last->u.in_force.version)
		check_find(c, check_lines(f->last, ev, NULL),
		    "settings at %s go back from version %" PRIu64
		    " to %" PRIu64,
		    f->name, f->last->u.in_force.version,
		    ev->u.in_force.version);
	f->last = ev;
	g_ptr_array_add(f->versions, (gpointer)ev);
}

/* When the node must have what was accepted at a time: so long after it, or
 * after the last outage that came in between. */
static ogl_time
deadline(const struct ogl_check *c, const char *node, ogl_time accepted)
{
	ogl_time due = accepted + c->times.in_force;
	bool moved;

	do {
		moved = false;
		for (guint i = 0; i < c->outages->len; i++) {
			const struct outage *o = outage_at(c, i);

			if ((o->who[0] != '\0' && strcmp(o->who, node) != 0) ||
			    o->from > due || o->to <= due - c->times.in_force)
				continue;
			if (o->to == OGL_NEVER)
				return OGL_NEVER;
			due = o->to + c->times.in_force;
			moved = true;
		}
	} while (moved);
	return due;
}

static void
check_in_force(struct ogl_check *c, const struct follower *f, const event *edit)
{
	ogl_time due = deadline(c, f->name, edit->at);
	const event *last = NULL;

	if (due > c->end)
		return;
	for (guint i = 0; i < f->versions->len; i++) {
		const event *ev = g_ptr_array_index(f->versions, i);

		if (ev->at <= due)
			last = ev;
	}
	if (last == NULL || last->u.in_force.version < edit->u.edit.version)
		check_find(c, check_lines(edit, last, NULL),
		    "version %" PRIu64 " is not in force at %s in time",
		    edit->u.edit.version, f->name);
}

/* An edit asked for after another was accepted has the larger version. */
static void
check_order(struct ogl_check *c, const GPtrArray *edits, const event *edit)
{
	for (guint i = 0; i < edits->len; i++) {
		const event *older = g_ptr_array_index(edits, i);

		if (edit->u.edit.asked > older->at &&
		    edit->u.edit.version <= older->u.edit.version)
			check_find(c, check_lines(older, edit, NULL),
			    "version %" PRIu64 " is accepted after %" PRIu64,
			    edit->u.edit.version, older->u.edit.version);
	}
}

void
check_settings(struct ogl_check *c)
{
	GPtrArray *followers = g_ptr_array_new_with_free_func(follower_free);
	GPtrArray *edits = g_ptr_array_new();

	for (size_t i = 0; i < c->n; i++) {
		const event *ev = &c->ev[i];

		if (ev->type == HISTORY_NODE &&
		    ev->u.node.state == HISTORY_NODE_UP)
			follower_of(followers, ev->u.node.node)->last = NULL;
		if (ev->type == HISTORY_IN_FORCE)
			take_version(
			    c, follower_of(followers, ev->u.in_force.node), ev);
		if (ev->type != HISTORY_EDIT || !ev->u.edit.accepted ||
		    ev->u.edit.version == 0)
			continue;
		check_order(c, edits, ev);
		g_ptr_array_add(edits, (gpointer)ev);
	}
	for (guint i = 0; i < edits->len; i++) {
		for (guint k = 0; k < followers->len; k++) {
			const struct follower *f =
			    g_ptr_array_index(followers, k);

			if (f->versions->len > 0)
				check_in_force(c, f, edits->pdata[i]);
		}
	}
	g_ptr_array_free(edits, TRUE);
	g_ptr_array_free(followers, TRUE);
}
