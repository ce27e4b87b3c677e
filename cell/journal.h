/*
 * Writes the changed jobs of a shard's owner to the store, under the owner's
 * epoch.  All changes that are due are written with one append (group commit).
 */

#ifndef OGL_CELL_JOURNAL_H
#define OGL_CELL_JOURNAL_H

#include "job.h"

struct cell_journal;

/* Result passed to a callback that waited for the store. */
enum cell_store_result {
	CELL_STORED,
	CELL_NOT_STORED,   /* not stored, and certainly never will be */
	CELL_STORE_UNKNOWN /* the journal was closed first */
};

typedef void cell_stored_fn(
    void *arg, uint64_t tag, enum cell_store_result result, ogl_time now);

struct cell_journal *cell_journal_init(const struct cell_ops *ops,
    uint32_t shard, void (*lost)(void *arg, ogl_time now), void *arg);
/* Creates the journal for the shard's stream of jobs.  lost is called when the
 * store has refused an append because it has seen a higher epoch. */

void cell_journal_set_slow_link(struct cell_journal *g, bool slow_link);
/* On a slow link the journal makes fewer and larger appends. */
void cell_journal_end(struct cell_journal *g);

void cell_journal_open(
    struct cell_journal *g, uint64_t epoch, ogl_time store_took);
/* Starts writing under a new epoch, with nothing pending.  store_took: how long
 * the store took for the last append, 0 if unknown. */

void cell_journal_close(struct cell_journal *g, ogl_time now);
/* Stops writing.  All waiting callbacks get CELL_STORE_UNKNOWN, and
 * answers that arrive later are ignored. */

void cell_journal_mark(
    struct cell_journal *g, struct cell_job *j, bool urgent, ogl_time now);
/* Marks the job to be written.  If not urgent, it is written with the next
 * urgent one or after a delay. */

bool cell_journal_put(
    struct cell_journal *g, const char *key, GBytes *value, ogl_time now);
/* Marks a record other than those of jobs, so that the next append writes it.
 * Takes ownership of value.  A later record with the same key replaces it.
 * Returns false, and writes nothing, if the journal is closed or the store would
 * refuse the record for its size, and with it all else in the append. */

void cell_journal_unmark(struct cell_journal *g, struct cell_job *j);
/* Removes all references to the job; to be called before it is freed. */

void cell_journal_notify(
    struct cell_journal *g, cell_stored_fn *fn, void *arg, uint64_t tag);
/* Calls fn once everything marked so far is stored, or with CELL_STORE_UNKNOWN
 * when the journal is closed first.  Does nothing if it is closed already. */

void cell_journal_submit(struct cell_journal *g, struct cell_job *j,
    cell_stored_fn *fn, void *arg, uint64_t tag, ogl_time now);
/* Writes a new job.  If the store has refused it in every attempt, the job is
 * unmarked and fn gets CELL_NOT_STORED. */

bool cell_journal_failing(const struct cell_journal *g, ogl_time now);
/* Whether the store has accepted no append for a while. */

void cell_journal_step(struct cell_journal *g, ogl_time now);
/* Sends the appends that are due. */

ogl_time cell_journal_wake(const struct cell_journal *g);
/* When to call cell_journal_step next, OGL_NEVER if nothing is pending. */

bool cell_journal_idle(const struct cell_journal *g);
/* Whether nothing is marked, in flight or waiting. */

#endif
