/* Counters and latency histograms by name, in Prometheus text format. */
#ifndef OGL_MEASURES_H
#define OGL_MEASURES_H

#include "ops.h"

struct ogl_measures;

struct ogl_measures *ogl_measures_init(void);
void ogl_measures_end(struct ogl_measures *m);

void ogl_measures_count(struct ogl_measures *m, const char *name, uint64_t by);
void ogl_measures_observe(
    struct ogl_measures *m, const char *name, uint64_t ms);
/* Names are not copied, so they must be string literals. */

void ogl_measures_count_labels(struct ogl_measures *m, const char *name,
    const struct cell_label *labels, size_t n, uint64_t by);
/* Adds to the counter with these labels.  The first values of each label are
 * kept apart: 64 teams, 16 queues, 32 of others.  All further ones are counted
 * as "other", so that a page of metrics stays short. */

char *ogl_measures_text(const struct ogl_measures *m);
/* Returns the metrics as text, to be freed with g_free(). */

#endif
