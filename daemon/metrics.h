/* Counters and latency histograms by name, as Prometheus text. */
#ifndef OGL_DAEMON_METRICS_H
#define OGL_DAEMON_METRICS_H

#include "orioleglade.h"

struct ogl_metrics;

struct ogl_metrics *ogl_metrics_init(void);
void ogl_metrics_end(struct ogl_metrics *m);

void ogl_metrics_count(struct ogl_metrics *m, const char *name, uint64_t by);
void ogl_metrics_observe(struct ogl_metrics *m, const char *name, uint64_t ms);
/* Names are literals; they are not copied. */

char *ogl_metrics_text(const struct ogl_metrics *m);
/* g_free */

#endif
