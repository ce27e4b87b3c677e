/*
 * Group commit of the owner's jobs to the store, under the owner's epoch.
 */

#ifndef OGL_CELL_JOURNAL_H
#define OGL_CELL_JOURNAL_H

#include "job.h"

struct cell_journal;

/* What became of something that waited for the store. */
enum cell_fate {
	CELL_STORED,
	CELL_NOT_STORED,  /* certainly not, and it never will be */
	CELL_FATE_UNKNOWN /* ownership was lost first */
};

typedef void cell_stored_fn(
    void *arg, uint64_t tag, enum cell_fate fate, ogl_time now);

struct cell_journal *cell_journal_init(const struct cell_ops *ops,
    uint32_t shard, void (*lost)(void *arg, ogl_time now), void *arg);
/* Of the shard's stream of jobs.  lost is called once a higher epoch has taken the stream over. */

void cell_journal_spare(struct cell_journal *g, bool spare);
/* The link is thin: fewer and larger appends. */
void cell_journal_end(struct cell_journal *g);

void cell_journal_open(
    struct cell_journal *g, uint64_t epoch, ogl_time store_took);
/* Begins to write under a new epoch; nothing is pending.  store_took: what the
 * store last took for an append, 0 not known. */

void cell_journal_close(struct cell_journal *g, ogl_time now);
/* Gives up: whatever waited is told CELL_FATE_UNKNOWN, an answer still under
 * way is not looked at. */

void cell_journal_mark(
    struct cell_journal *g, struct cell_job *j, bool urgent, ogl_time now);
/* The job is to be written; if not urgent, with the next that is or after a
 * while. */

void cell_journal_put(
    struct cell_journal *g, const char *key, GBytes *value, ogl_time now);
/* Another record, beside the jobs; takes value.  A later one for the same key
 * replaces it. */

void cell_journal_unmark(struct cell_journal *g, struct cell_job *j);
/* The job is about to be freed. */

void cell_journal_after(
    struct cell_journal *g, cell_stored_fn *fn, void *arg, uint64_t tag);
/* Calls fn once all that is marked now is on the store. */

void cell_journal_submit(struct cell_journal *g, struct cell_job *j,
    cell_stored_fn *fn, void *arg, uint64_t tag, ogl_time now);
/* Writes a new job.  If the store refuses it for certain, the job is taken
 * back out of what is to be written and fn is told CELL_NOT_STORED. */

bool cell_journal_failing(const struct cell_journal *g, ogl_time now);
/* The store has not taken what is to be written for a while. */

void cell_journal_step(struct cell_journal *g, ogl_time now);
/* Sends what is due. */

ogl_time cell_journal_wake(const struct cell_journal *g);
/* When to step next, OGL_NEVER when nothing is pending. */

bool cell_journal_idle(const struct cell_journal *g);
/* Nothing marked, nothing under way. */

#endif
