/*
 * The node's own counters.  One list in metrics.h gives the field, the name
 * and the help of each, so that none can be counted and not shown.
 */

#include "metrics.h"

static void
one(GString *to, const char *type, const char *name, const char *help,
    uint64_t value)
{
	g_string_append_printf(to,
	    "# HELP orioleglade_%s %s\n# TYPE orioleglade_%s %s\n"
	    "orioleglade_%s %" G_GUINT64_FORMAT "\n",
	    name, help, name, type, name, value);
}

void
ogl_metrics_text(const struct ogl_counters *c, GString *to)
{
#define OGL_COUNTER_TEXT(field, name, help)                                    \
	one(to, "counter", name, help, c->field);
	OGL_COUNTERS(OGL_COUNTER_TEXT)
#undef OGL_COUNTER_TEXT
}

void
ogl_metrics_gauge(
    GString *to, const char *name, const char *help, uint64_t value)
{
	one(to, "gauge", name, help, value);
}
