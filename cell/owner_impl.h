/*
 * The state of an owner, and what its files use of each other.
 */

#ifndef OGL_CELL_OWNER_IMPL_H
#define OGL_CELL_OWNER_IMPL_H

#include "account.h"
#include "admission.h"
#include "held.h"
#include "hints.h"
#include "journal.h"
#include "known.h"
#include "learned.h"
#include "load.h"
#include "loader.h"
#include "owner.h"
#include "relay.h"
#include "roster.h"
#include "schedule.h"
#include "stall.h"
#include "watch.h"

enum phase {
	PHASE_CLOSED,
	PHASE_LOADING,
	PHASE_SERVING
};

/* Argument of a callback that is called once the store has answered: for the
 * ends of a worker's runs or for a job. */
struct store_wait {
	struct cell_owner *owner;
	char *id;             /* id of the worker or the job */
	uint64_t incarnation; /* incarnation of the worker */
};

struct cell_owner {
	const struct cell_ops *ops;
	struct cell_owner_params params;
	const struct cell_limits *limits;
	struct cell_owner_events events;
	struct cell_config *config;
	enum phase phase;
	uint64_t epoch;
	bool announced;
	ogl_time store_took; /* time that the store took for the claim */
	struct cell_loader *loader;
	struct cell_roster *roster;
	GHashTable *jobs; /* id -> struct cell_job */
	/* Set of the ids of jobs whose records this owner can't read. */
	GHashTable *unreadable;
	struct cell_admission *admission;
	struct cell_refusals *refusals;
	struct cell_account *account;
	struct cell_journal *journal;
	struct cell_watch *watch;
	struct cell_relay *relay;
	struct cell_ops worker_ops; /* calls to workers by the relay */
	struct cell_fleet *fleet;
	struct cell_held *held;
	struct cell_learned *learned;
	struct cell_sched *sched;
	struct cell_stall *stall;
	struct cell_advice *advice;
	struct cell_escrow *escrow;
	uint64_t worker_records; /* records of the workers written so far */
	bool settled;
	bool holds_tasks; /* tasks may be held back for silent workers */
	ogl_time opened_at;
	ogl_time confirmed; /* latest time of confirmed ownership */
	ogl_time wall;

	struct cell_load load;      /* load of the processor */
	struct cell_load link_load; /* load of the node's link */
	bool pass_needed;           /* the scheduler may have work */
	ogl_time next_sweep_at;
	ogl_time next_straggler_check;
	/* Calls for jobs of other teams: when one was last logged, 0 never, and
	 * how many were not since. */
	ogl_time stranger_logged_at;
	unsigned strangers_unlogged;
};

/* ---- owner_jobs.c --------------------------------------------------- */

void cell_owner_log_job(struct cell_owner *o, const struct cell_job *j,
    const char *event, const char *more);
struct cell_job *cell_owner_job(const struct cell_owner *o, const char *id);
struct cell_stage *cell_owner_find_stage(
    void *arg, const struct cell_task_name *name);
void cell_owner_begin_due_occurrences(struct cell_owner *o, struct cell_job *j);
void cell_owner_call_after_store(
    struct cell_owner *o, const char *id, cell_stored_fn *fn, uint64_t tag);
void cell_owner_assume_running(struct cell_owner *o, struct cell_stage *st);
void cell_owner_assume_stopping(struct cell_owner *o, struct cell_job *j);
void cell_owner_clear_stopping(struct cell_owner *o, struct cell_job *j);
/* Count what an ended job may still have running against its team's limit, and
 * no more. */
void cell_owner_clear_assumed_unless_held(
    struct cell_owner *o, struct cell_stage *st, ogl_time now);
void cell_owner_drop_occurrence(struct cell_owner *o, struct cell_job *j,
    struct cell_occurrence *oc, ogl_time now);
void cell_owner_end_job(struct cell_owner *o, struct cell_job *j,
    Ogl__CellJobState state, const char *why, ogl_time now);
void cell_owner_job_changed(
    struct cell_owner *o, struct cell_job *j, bool urgent, ogl_time now);
void cell_owner_occurrence_done(struct cell_owner *o, struct cell_job *j,
    struct cell_occurrence *oc, ogl_time now);
void cell_owner_run_ended(void *arg, struct cell_run *r, enum cell_end how,
    const char *checkpoint, ogl_time now);
void cell_owner_start_refused(
    void *arg, struct cell_run *r, enum cell_refusal why, ogl_time now);
void cell_owner_run_started(void *arg, struct cell_run *r, ogl_time now);
void cell_owner_run_found(void *arg, struct cell_worker *w,
    const struct cell_run_row *row, ogl_time now);
void cell_owner_end_found(void *arg, struct cell_worker *w,
    const struct cell_run_row *row, ogl_time now);
void cell_owner_ends_processed(void *arg, struct cell_worker *w, ogl_time now);
uint64_t cell_owner_next_run(void *arg, const struct cell_stage *st);
void cell_owner_task_started(
    void *arg, struct cell_stage *st, uint32_t index, ogl_time now);

/* ---- owner_takeover.c ----------------------------------------------- */

void cell_owner_store_workers(struct cell_owner *o, ogl_time now);
void cell_owner_loaded(void *arg, const struct cell_loaded *l, ogl_time now);

/* ---- owner_calls.c -------------------------------------------------- */

bool cell_owner_overloaded(const struct cell_owner *o);
void cell_owner_reply_state(
    void *arg, const char *to, uint64_t token, const char *id);

#endif
