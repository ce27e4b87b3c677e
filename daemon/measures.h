/* Counters and latency histograms by name, in Prometheus text format. */
#ifndef OGL_MEASURES_H
#define OGL_MEASURES_H

#include "orioleglade.h"

struct ogl_measures;

struct ogl_measures *ogl_measures_init(void);
void ogl_measures_end(struct ogl_measures *m);

void ogl_measures_count(struct ogl_measures *m, const char *name, uint64_t by);
void ogl_measures_observe(
    struct ogl_measures *m, const char *name, uint64_t ms);
/* Names are not copied, so they must be string literals. */

char *ogl_measures_text(const struct ogl_measures *m);
/* Returns the metrics as text, to be freed with g_free(). */

#endif
