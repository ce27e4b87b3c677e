/*
 * Runs the checks of the table of invariants, and collects their findings.
 */

#include <stdarg.h>
#include <string.h>

#include "check_index.h"

const struct ogl_check_invariant ogl_check_invariants[] = {
    {"overfull", "no host is given more than it holds", check_overfull},
    {"two_places", "no task runs in two places at once", check_two_places},
    {"key", "work runs only for the team whose key came with it", check_key},
    {"limit", "no team has more running than its upper limit", check_limit},
    {"answer", "a caller gets the whole answer to its own request",
	check_answer},
    {"not_run", "what was refused as not run did not run", check_not_run},
    {"once", "a non-idempotent request runs at most once", check_once},
    {"leaving", "a leaving target gets no new work", check_leaving},
    {"stop", "a planned stop cuts no request", check_stop},
    {"settings", "accepted settings are in force everywhere and stay",
	check_settings},
    {"lost", "no request or job is lost or doubled", check_lost},
    {NULL, NULL, NULL},
};

void
ogl_check_grace_default(struct ogl_check_grace *grace)
{
	grace->key_withdrawn = 3 * OGL_SEC;
	grace->limit_lowered = 5 * OGL_SEC;
	grace->leaving = 5 * OGL_SEC;
	grace->in_force = 5 * OGL_SEC;
	grace->fault_ended = 5 * OGL_SEC;
}

struct ogl_check *
ogl_check_run(struct ogl_history *h, const struct ogl_check_grace *grace)
{
	struct ogl_check *c = g_new0(struct ogl_check, 1);

	ogl_history_sort(h);
	c->grace = *grace;
	c->history = h;
	c->events = ogl_history_events(h, &c->nevents);
	c->findings =
	    g_array_new(FALSE, FALSE, sizeof(struct ogl_check_finding));
	check_index(c);
	for (c->invariant = ogl_check_invariants; c->invariant->name != NULL;
	     c->invariant++) {
		c->nfindings = 0;
		c->invariant->check(c);
	}
	return c;
}

void
ogl_check_end(struct ogl_check *c)
{
	if (c == NULL)
		return;
	for (guint i = 0; i < c->findings->len; i++) {
		struct ogl_check_finding *f =
		    &g_array_index(c->findings, struct ogl_check_finding, i);

		g_ptr_array_free(f->events, TRUE);
		g_free(f->text);
	}
	g_array_free(c->findings, TRUE);
	check_index_end(c);
	g_free(c);
}

bool
ogl_check_is_complete(const struct ogl_check *c)
{
	return c->load_over != NULL;
}

const struct ogl_check_finding *
ogl_check_findings(const struct ogl_check *c, size_t *n)
{
	*n = c->findings->len;
	return (const struct ogl_check_finding *)(void *)c->findings->data;
}

GPtrArray *
check_event_list(const event *first, ...)
{
	GPtrArray *events = g_ptr_array_new();
	va_list args;

	va_start(args, first);
	for (const event *ev = first; ev != NULL;
	     ev = va_arg(args, const event *))
		g_ptr_array_add(events, (gpointer)ev);
	va_end(args);
	return events;
}

/* The events are in one array sorted by time, so their addresses compare. */
static gint
compare_events(gconstpointer a, gconstpointer b)
{
	const event *x = *(const event *const *)a;
	const event *y = *(const event *const *)b;

	return (x > y) - (x < y);
}

void
check_add_finding(
    struct ogl_check *c, GPtrArray *events, const char *format, ...)
{
	struct ogl_check_finding f = {c->invariant, NULL, events};
	va_list args;

	if (++c->nfindings > OGL_CHECK_MAX_FINDINGS) {
		g_ptr_array_free(events, TRUE);
		return;
	}
	va_start(args, format);
	f.text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_sort(events, compare_events);
	g_array_append_val(c->findings, f);
}

bool
check_has_verdict(const struct call *k, enum history_verdict v)
{
	return k->answer != NULL && k->answer->u.answer.verdict == (uint32_t)v;
}

char *
ogl_check_report(const struct ogl_check *c)
{
	GString *s = g_string_new(NULL);

	for (guint i = 0; i < c->findings->len; i++) {
		const struct ogl_check_finding *f =
		    &g_array_index(c->findings, struct ogl_check_finding, i);

		g_string_append_printf(s, "%s: %s (%s)\n", f->invariant->name,
		    f->text, f->invariant->rule);
		for (guint k = 0; k < f->events->len; k++) {
			const event *ev = g_ptr_array_index(f->events, k);
			char *text = ogl_history_print(ev);

			g_string_append_printf(s, "  %s:%u: %s\n",
			    ogl_history_file(c->history, ev->file), ev->line,
			    text);
			g_free(text);
		}
	}
	return g_string_free(s, FALSE);
}
