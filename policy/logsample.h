/*
 * Decides which jobs have their log lines written while there are more lines
 * than the limit allows.  The lines of a job are kept or left out together:
 * jobs are sampled by a hash of their id, so all nodes choose the same jobs as
 * far as their shares are equal.
 *
 * The share is halved when the lines of an event reach their limit, and rises
 * in small steps while they stay well below it.  A job is in the sample if its
 * hash is below the lowest share since the job began.  So a fall excludes jobs
 * for good, and a rise adds only jobs that begin after it.  No jobs are
 * remembered, only the times of the rises: a later rise leads to a higher
 * share, and there are few different shares.
 */

#ifndef OGL_LOGSAMPLE_H
#define OGL_LOGSAMPLE_H

#include "orioleglade.h"

#ifdef __cplusplus
extern "C" {
#endif

#define OGL_LOGSAMPLE_SHARES 20 /* number of different shares */

/* The lowest share of the jobs that began from `since` until the next entry. */
struct ogl_logsample_rise {
	ogl_time since;
	unsigned share; /* index */
};

struct ogl_logsample {
	unsigned lines_max; /* lines of an event in a second */
	/* Ascending by both fields; the last entry is the share in force. */
	struct ogl_logsample_rise rises[OGL_LOGSAMPLE_SHARES];
	unsigned n;
	unsigned falls; /* number of falls so far */
	unsigned peak;  /* most lines of an event in a second, since: */
	ogl_time peak_since;
};

/* The lines of one event in the current second; to be zeroed at first. */
struct ogl_logsample_event {
	ogl_time second_start;
	unsigned used;
	unsigned falls; /* falls of the share that `used` takes account of */
};

void ogl_logsample_init(
    struct ogl_logsample *s, unsigned lines_max, ogl_time now);

bool ogl_logsample_take(struct ogl_logsample *s, struct ogl_logsample_event *e,
    struct ogl_str id, ogl_time began, ogl_time now);
/* Whether to write a line of the job.  began: when the job began, by the clock
 * of now; if it is not known, OGL_NEVER, and the share in force counts. */

void ogl_logsample_reduce(struct ogl_logsample *s, ogl_time now);
/* Halves the share. */

unsigned ogl_logsample_permille(const struct ogl_logsample *s);
/* The share in force, in thousandths of the jobs. */

unsigned ogl_logsample_position(struct ogl_str id);
/* Hash of a job's id, 0 to 999.  The job is in the sample if this is below the
 * share. */

#ifdef __cplusplus
}
#endif

#endif
