/*
 * Holds a history against what must always hold: the table of points, and
 * the findings.
 */

#include <stdarg.h>
#include <string.h>

#include "check_index.h"

const struct ogl_check_point ogl_check_points[] = {
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
ogl_check_times_default(struct ogl_check_times *t)
{
	t->withdrawn = 3 * OGL_SEC;
	t->lowered = 5 * OGL_SEC;
	t->leaving = 5 * OGL_SEC;
	t->in_force = 5 * OGL_SEC;
	t->settle = 5 * OGL_SEC;
}

struct ogl_check *
ogl_check_run(struct ogl_history *h, const struct ogl_check_times *t)
{
	struct ogl_check *c = g_new0(struct ogl_check, 1);

	ogl_history_sort(h);
	c->times = *t;
	c->history = h;
	c->ev = ogl_history_events(h, &c->n);
	c->findings =
	    g_array_new(FALSE, FALSE, sizeof(struct ogl_check_finding));
	check_index(c);
	for (c->point = ogl_check_points; c->point->name != NULL; c->point++) {
		c->found = 0;
		c->point->check(c);
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

		g_ptr_array_free(f->lines, TRUE);
		g_free(f->text);
	}
	g_array_free(c->findings, TRUE);
	check_index_end(c);
	g_free(c);
}

bool
ogl_check_whole(const struct ogl_check *c)
{
	return c->over != NULL;
}

const struct ogl_check_finding *
ogl_check_findings(const struct ogl_check *c, size_t *n)
{
	*n = c->findings->len;
	return (const struct ogl_check_finding *)(void *)c->findings->data;
}

GPtrArray *
check_lines(const event *first, ...)
{
	GPtrArray *lines = g_ptr_array_new();
	va_list args;

	va_start(args, first);
	for (const event *ev = first; ev != NULL;
	     ev = va_arg(args, const event *))
		g_ptr_array_add(lines, (gpointer)ev);
	va_end(args);
	return lines;
}

/* Events lie in one array, in order of time. */
static gint
compare_lines(gconstpointer a, gconstpointer b)
{
	const event *x = *(const event *const *)a;
	const event *y = *(const event *const *)b;

	return (x > y) - (x < y);
}

void
check_find(struct ogl_check *c, GPtrArray *lines, const char *format, ...)
{
	struct ogl_check_finding f = {c->point, NULL, lines};
	va_list args;

	if (++c->found > FAKE_CHECK_MAX) {
		g_ptr_array_free(lines, TRUE);
		return;
	}
	va_start(args, format);
	f.text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_sort(lines, compare_lines);
	g_array_append_val(c->findings, f);
}

bool
check_answered(const struct call *k, enum history_verdict v)
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

		g_string_append_printf(s, "%s: %s (%s)\n", f->point->name,
		    f->text, f->point->rule);
		for (guint k = 0; k < f->lines->len; k++) {
			const event *ev = g_ptr_array_index(f->lines, k);
			char *text = ogl_history_print(ev);

			g_string_append_printf(s, "  %s:%u: %s\n",
			    ogl_history_file(c->history, ev->file), ev->line,
			    text);
			g_free(text);
		}
	}
	return g_string_free(s, FALSE);
}
