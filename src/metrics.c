/*
 * Prometheus text format of the node's counters.  A single list in metrics.h
 * gives the field, name and help text of each, so every counter is exported.
 */

#include "metrics.h"

static void
append_metric(GString *to, const char *type, const char *name, const char *help,
    uint64_t value)
{
	g_string_append_printf(to,
	    "# HELP orioleglade_%s %s\n# TYPE orioleglade_%s %s\n"
	    "orioleglade_%s %" G_GUINT64_FORMAT "\n",
	    name, help, name, type, name, value);
}

void
ogl_metrics_append_counters(const struct ogl_counters *c, GString *to)
{
#define OGL_COUNTER_TEXT(field, name, help)                                    \
	append_metric(to, "counter", name, help, c->field);
	OGL_COUNTERS(OGL_COUNTER_TEXT)
#undef OGL_COUNTER_TEXT
}

void
ogl_metrics_append_gauge(
    GString *to, const char *name, const char *help, uint64_t value)
{
	append_metric(to, "gauge", name, help, value);
}
