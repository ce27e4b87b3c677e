/*
 * Estimates of how long a run takes, learned by queue and by queue and team
 * from the runs that have ended and from what was declared for them.
 */

#ifndef OGL_RUNTIME_H
#define OGL_RUNTIME_H

#include "orioleglade.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ogl_runtime; /* a table of fixed size */

/* A run that has ended as done. */
struct ogl_runtime_run {
	double ran_ms;      /* time on the worker, without waiting */
	double declared_ms; /* 0 not declared */
	/* Time that the worker takes relative to a healthy one: 2 for twice the
	 * time, 0 not known. */
	double pace;
	/* Samples that the run counts for, above 0 and at most 1.  Runs of one
	 * step share the error of its declaration, so n of them should count
	 * as 1/n each. */
	double weight;
};

struct ogl_runtime *ogl_runtime_init(void);
void ogl_runtime_end(struct ogl_runtime *r);
void ogl_runtime_clear(struct ogl_runtime *r);
/* Forgets everything. */

void ogl_runtime_add(struct ogl_runtime *r, struct ogl_str queue,
    struct ogl_str team, const struct ogl_runtime_run *run);
/* Learns from a run.  An empty team: only for the queue. */

void ogl_runtime_count_end(
    struct ogl_runtime *r, struct ogl_str queue, bool failed, double weight);
/* Counts the end of a run of the queue, whether done or failed. */

double ogl_runtime_estimate_ms(struct ogl_runtime *r, struct ogl_str queue,
    struct ogl_str team, double declared_ms);
/* Median of the expected run time on a healthy worker.  With nothing known it
 * is declared_ms.  0 if that is 0 as well. */

double ogl_runtime_samples(struct ogl_runtime *r, struct ogl_str queue);
/* Number of samples of the queue's run time so far, by weight. */
double ogl_runtime_mean_ms(struct ogl_runtime *r, struct ogl_str queue);
/* Geometric mean of the queue's run times, 0 not known. */
double ogl_runtime_failed_share(struct ogl_runtime *r, struct ogl_str queue);
/* Learned share of the queue's runs that fail, 0 to 1. */
double ogl_runtime_runs_per_task(
    struct ogl_runtime *r, struct ogl_str queue, uint32_t attempts_max);
/* Runs that a task of the queue needs on average, if it gets at most
 * attempts_max; 0: any number. */

size_t ogl_runtime_entries(const struct ogl_runtime *r);

#ifdef __cplusplus
}
#endif

#endif
