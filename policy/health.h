/*
 * Failure records of workers and jobs: which workers fail more often than their
 * jobs explain.  There are two uses of them.
 *
 * ogl_health_result keeps a record of each worker's failed jobs since its last
 * successes, and tells when to quarantine it (health.c).
 *
 * ogl_health_count and the functions after it weigh failures against successes
 * and decide on the worker's state (health_state.c).
 */

#ifndef OGL_HEALTH_H
#define OGL_HEALTH_H

#include "orioleglade.h"

struct ogl_health; /* failures of workers and jobs */

struct ogl_health *ogl_health_init(void);
void ogl_health_end(struct ogl_health *h);

bool ogl_health_result(
    struct ogl_health *h, uint32_t w, uint64_t job, bool ok, ogl_time now);
/* Records the end of a task of the job on worker w.  Returns whether the
 * worker is suspect and should be quarantined. */

ogl_time ogl_health_start_quarantine(
    struct ogl_health *h, uint32_t w, ogl_time now);
/* Records that worker w is quarantined; returns when its cooldown ends. */

void ogl_health_resize(struct ogl_health *h, uint32_t workers);
/* Enlarges the table of jobs if it is too small for this many workers. */

size_t ogl_health_bytes(const struct ogl_health *h);

void ogl_health_remove_worker(struct ogl_health *h, uint32_t w);
/* Drops the record of worker w. */

/* ---- states of workers -------------------------------------------------- */

enum ogl_health_state {
	OGL_HEALTH_SOUND,
	OGL_HEALTH_SUSPECT, /* to be given one task at a time */
	OGL_HEALTH_ASIDE    /* to be given no task */
};

/* Kinds of evidence.  Each is counted as a failure or as its opposite. */
enum ogl_health_evidence {
	OGL_HEALTH_RUN_FAILED,  /* a run ended as failed, or as done */
	OGL_HEALTH_NO_PROGRESS, /* a run stands still */
	OGL_HEALTH_START_UNANSWERED,
	OGL_HEALTH_START_BUSY, /* a start was refused as busy */
	OGL_HEALTH_HOLD_UNANSWERED,
	OGL_HEALTH_CONN_REFUSED,
	OGL_HEALTH_EVIDENCE_KINDS
};

/* What one kind of evidence counts. */
struct ogl_health_weight {
	double factor;   /* of the bits of each failure and its opposite */
	double bits_max; /* most that all evidence of the kind can add; that of
			  * OGL_HEALTH_RUN_FAILED limits all runs */
	double usual;    /* share of failures expected of a sound worker, at
			  * least */
};

struct ogl_health_params {
	double suspect_bits;     /* from here on a sound worker is suspect */
	double aside_bits;       /* from here on a suspect worker is aside */
	double aside_again_bits; /* the same, if it was aside before */
	double sound_bits;       /* below this a suspect worker is sound */
	double call_bits_max;    /* most that all calls together add */
	ogl_time cooldown;       /* how long a worker is aside the first time */
	uint32_t doublings_max;  /* of the cooldown */
	ogl_time half_life;      /* evidence counts half after this time */
	ogl_time forget_after; /* a worker sound for so long was never aside */
	uint32_t workers_per_aside;   /* at most one of so many is aside */
	uint32_t workers_per_suspect; /* the same, suspect or aside */
	struct ogl_health_weight weights[OGL_HEALTH_EVIDENCE_KINDS];
};

/* A change of a worker's state. */
struct ogl_health_change {
	uint32_t worker;
	enum ogl_health_state state;
	double bits;
	enum ogl_health_evidence why; /* the kind with most bits */
	ogl_time until;               /* end of the cooldown; 0 none */
};

typedef void ogl_health_changed_fn(
    void *arg, const struct ogl_health_change *c, ogl_time now);

struct ogl_health *ogl_health_init_with(const struct ogl_health_params *params,
    ogl_health_changed_fn *changed, void *arg);
/* The parameters are borrowed.  changed is called for each change of a worker's
 * state. */

void ogl_health_count(struct ogl_health *h, uint32_t w,
    enum ogl_health_evidence kind, uint64_t job, bool ok, ogl_time now);
/* Counts evidence on worker w.  job counts for runs only.  Failures may change
 * the worker's state. */

void ogl_health_review(struct ogl_health *h, uint32_t workers, ogl_time now);
/* Brings the states of all workers up to date; workers: how many there are.  To
 * be called some times a second. */

enum ogl_health_state ogl_health_state_of(
    const struct ogl_health *h, uint32_t w);

double ogl_health_bits(const struct ogl_health *h, uint32_t w, ogl_time now);
/* The logarithm, to base 2, of how much more probable the worker's record is if
 * the worker is faulty than if it is sound; 0 at least. */

void ogl_health_forget(struct ogl_health *h, uint32_t w);
/* Drops all evidence on worker w, which is sound from now on. */

#endif
