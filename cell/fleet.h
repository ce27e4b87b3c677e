/*
 * The owner's view of the workers and of the runs on them, and the calls it
 * makes to workers: holds (renew the lease, list what runs and what ended),
 * starts and stops.
 *
 * A run is one start of a task on one worker.  It counts against the worker's
 * capacity and its team's limit from the decision to start it until it is
 * certain that it neither runs nor can still begin.
 */

#ifndef OGL_CELL_FLEET_H
#define OGL_CELL_FLEET_H

#include "health.h"
#include "job.h"
#include "lease.h"
#include "pace.h"
#include "share.h"
#include "zones.h"

struct cell_fleet;

enum cell_run_state {
	CELL_RUN_STARTING, /* ordered; not known to have begun */
	CELL_RUN_RUNNING,
	CELL_RUN_STOPPING /* to be stopped; may still run */
};

struct cell_run {
	struct cell_worker *worker;
	/* NULL once the job no longer needs the run, which is then kept only
	 * until it is certainly over. */
	struct cell_stage *stage;
	struct cell_task_name name;
	uint64_t number;
	enum cell_run_state state;
	struct ogl_res res;
	char *team;
	GBytes *spec;       /* kept while the start may have to be repeated */
	char *ticket;       /* NULL if none is needed */
	ogl_time ticket_at; /* when it was received */
	ogl_time ticket_valid_until;
	char *checkpoint;
	ogl_time checkpoint_at; /* when it last changed; 0: not seen to */
	ogl_time created_at;    /* when the start was decided */
	ogl_time running_since; /* when first known to run, 0 not yet */
	uint32_t percent;
	struct cell_progress progress;
	bool stall_counted;     /* against the health of its worker */
	bool order_pending;     /* a start or stop awaits its answer */
	bool start_unanswered;  /* the answer to a start was lost */
	bool start_sent;        /* this owner has sent a start */
	ogl_time start_sent_at; /* the last one */
	uint64_t start_fence;   /* the fence of the last one */
	bool listed;            /* its worker has listed it as running */
	/* Of a former incarnation of its worker; the present one may have it,
	 * too, by a late start. */
	bool former;
	bool stop_answered;
	ogl_time stop_answered_at;
	ogl_time retry_at;
	uint32_t tries; /* starts sent */
	uint32_t rank;  /* rank of its queue */
	bool orphan;    /* belongs to no known job; its resources are unknown */
	struct ogl_share_charge charge; /* what its team was charged for it */
};

/* A start whose answer was lost: the worker may still carry it out, even if
 * its run is over by then. */
struct cell_unanswered_start {
	struct cell_task_name task;
	uint64_t run;
	ogl_time sent_at;
};

/* What the answers of a worker's present incarnation have told so far.  A worker
 * lists all runs that go on, but only the first ends that are not acknowledged:
 * until an answer is whole, a run that is not listed may have ended. */
enum cell_lists {
	CELL_LISTS_UNREAD, /* no answer to a hold of this owner */
	CELL_LISTS_CUT,    /* each answer may have left ends out */
	CELL_LISTS_WHOLE   /* one has not, or what was left out is void */
};

struct cell_worker {
	uint32_t serial; /* never reused for another worker of this fleet */
	char *id;
	char *addr;
	char *zone;
	char *rack;
	char **labels;
	char *service;
	struct ogl_res capacity;
	struct ogl_res used;
	bool listed; /* on the platform's list */
	/* An earlier owner may have called it, and it has not answered this
	 * owner yet. */
	bool expected;
	bool called_before; /* an earlier owner may have called it */
	/* First record of the workers that names it, 0 none.  It is in all
	 * later ones, too. */
	uint64_t first_record;
	bool draining;
	bool evacuated; /* its zone is evacuated: nothing starts there */
	uint64_t entry_born_ms; /* incarnation that the list entry describes */

	uint64_t incarnation; /* born_ms of the last incarnation, 0 none yet */
	/* Counts its incarnations, and the times that it was listed anew. */
	uint32_t appearance;
	enum cell_lists lists;      /* set by cell_fleet_set_lists only */
	ogl_time incarnation_since; /* first answer of that incarnation */
	/* Part of the fence of its calls, raised with each restart of it that
	 * this owner knows of: an incarnation that has answered under its own
	 * fence refuses calls that were meant for the former ones.  Raised also
	 * when a start is given up. */
	uint32_t restarts;
	/* The last incarnation is over, and the next has not answered. */
	bool restarted;
	ogl_time restarted_at;
	bool fenced;          /* this incarnation has seen its fence */
	ogl_time accepted_at; /* when the last hold that it answered was sent */
	struct cell_lease lease;   /* of this incarnation */
	bool open_in_record;       /* a stored record allows new runs there */
	uint64_t open_from_record; /* first record to allow new runs, 0 any */
	/* No record holds its address yet, or that its lease may be the
	 * longest. */
	bool unrecorded;
	/* Of the last record: the incarnation, and whether it says that the
	 * lease may be the longest. */
	uint64_t incarnation_in_record;
	bool longest_in_record;
	bool silent_in_record; /* the last record calls it silent */
	ogl_time silent_since; /* valid while failures > 0 */
	/* The last owner's record lists every task that may run there, so this
	 * owner does not wait for its lists. */
	bool tasks_recorded;
	GArray *recorded_tasks; /* these tasks: struct cell_task_name */
	uint64_t ends_stored;   /* ends up to this are stored */
	uint64_t ends_acked;    /* ends up to this were acknowledged to it */
	uint64_t ends_reported; /* ends up to this were reported to the owner */
	uint64_t hold_number;   /* of the last hold; only its answer counts */
	bool hold_pending;      /* a hold awaits its answer */
	ogl_time hold_sent_at;
	ogl_time lossy_until;    /* holds are short until then (LOSSY_PERIOD) */
	ogl_time hold_duration;  /* of the last hold, answered or not */
	ogl_time next_hold_at;   /* no hold is sent before */
	ogl_time last_answer_at; /* last answer to a hold */
	uint32_t failures;       /* holds in a row without an answer */
	bool gone;               /* its process has ended */
	bool next_hold_no_wait;  /* the next hold is answered without waiting */

	GArray *unanswered_starts; /* struct cell_unanswered_start */
	GHashTable *runs;          /* set of struct cell_run */
	uint64_t usable_pass;      /* scheduler's last pass that can use it */
	uint64_t schedulable_pass; /* the same, and its health allows it */
	/* Rank + 1 of the gang that it is kept for in that pass, 0 none. */
	uint32_t reserved_rank_plus_1;
	/* The gang itself, which may be gone after the pass. */
	const struct cell_stage *reserved_for;
	uint32_t calls_pending; /* unanswered calls; not freed while > 0 */
	uint32_t stops_pending; /* of these, stops */
	uint32_t norphans;      /* runs that are orphans */
	bool more_orphans;      /* the last answer has listed more than these */
	ogl_time cooldown_until;   /* gets no work until then */
	uint32_t starts_given_up;  /* in a row */
	uint64_t last_start_fence; /* of the last start sent to it */
	enum ogl_health_state health;
	ogl_time aside_until; /* while its health is OGL_HEALTH_ASIDE, else 0 */
	bool proven;          /* sound, and has finished a run of this owner */
	struct cell_pace pace;
	double log_pace;   /* mean of ln(relative pace) over many runs */
	uint32_t nlearned; /* samples in it, see learned.c */
};

/* Callbacks to the owner. */
struct cell_fleet_events {
	void (*run_ended)(void *arg, struct cell_run *r, enum cell_end how,
	    const char *checkpoint, ogl_time now);
	/* A run is over; r is freed after the call.  how is CELL_END_LAPSED
	 * also for a run that was lost with its worker. */
	void (*start_refused)(
	    void *arg, struct cell_run *r, enum cell_refusal why, ogl_time now);
	/* A start was refused and nothing runs; r is freed after the call. */
	void (*run_found)(void *arg, struct cell_worker *w,
	    const struct cell_run_row *row, ogl_time now);
	/* A worker lists a run that is not known here. */
	void (*end_found)(void *arg, struct cell_worker *w,
	    const struct cell_run_row *row, ogl_time now);
	/* A worker lists the end of a run that is not known here. */
	void (*run_started)(void *arg, struct cell_run *r, ogl_time now);
	/* A run is first known to be running. */
	void (*ends_processed)(void *arg, struct cell_worker *w, ogl_time now);
	/* Ends up to w->ends_reported were reported; to be followed by
	 * cell_fleet_ends_stored once they are stored. */
	void (*answered)(void *arg, struct cell_worker *w, ogl_time now);
	/* The lists of a worker's incarnation are whole for the first time under
	 * our epoch, or the worker has ended. */
	void (*outranked)(void *arg, ogl_time now);
	/* A worker has seen a higher epoch than ours. */
	void (*room_freed)(void *arg, ogl_time now);
	/* There may be room for more runs. */
	void *arg;
};

struct cell_fleet *cell_fleet_init(const struct cell_ops *ops,
    const struct cell_limits *limits, const struct cell_fleet_events *events);
void cell_fleet_end(struct cell_fleet *f);

void cell_fleet_open(struct cell_fleet *f, uint64_t epoch, ogl_time now);
/* Begins to send calls under an epoch; no run is known yet. */
void cell_fleet_close(struct cell_fleet *f);
/* Sends no more calls and forgets all runs. */

void cell_fleet_update_entry(struct cell_fleet *f, const char *id,
    const struct cell_worker_entry *e, ogl_time now);
/* Takes a worker's entry on the platform's list; e is NULL if the worker is no
 * longer listed. */

void cell_fleet_set_zones(
    struct cell_fleet *f, const struct cell_zones *z, ogl_time now);
/* Sets the evacuated zones, which are borrowed; to be called again whenever
 * they change. */

void cell_fleet_expect(
    struct cell_fleet *f, const Ogl__CellKnown *k, ogl_time now);
/* Adds a worker, listed or not, on which an earlier owner may have started
 * something. */

bool cell_fleet_old_leases_expired(const struct cell_fleet *f);
/* Whether every lease of earlier owners has certainly expired. */

void cell_fleet_set_ticket_validity(struct cell_fleet *f, ogl_time longest);
/* To be called after cell_fleet_open if all starts that earlier owners may have
 * sent carry tickets, which are valid for at most that time. */

#define CELL_FLEET_LOADED_RECORD 1 /* the record read at the takeover */

void cell_fleet_expect_unknown(struct cell_fleet *f);
/* The record read at the takeover is unreadable: no number of answers is
 * enough. */
bool cell_fleet_marks(const struct cell_fleet *f, const struct cell_worker *w);
/* Whether the record is to mark the worker as one that counts.  Until enough
 * workers of the record read at the takeover have answered, the same ones count
 * in each record, so that the next owner too needs answers of those
 * (quorum.h). */
void cell_fleet_record_sent(struct cell_fleet *f, uint64_t record);
/* To be called when the record of the workers with that number is sent. */
void cell_fleet_record_replaces(struct cell_fleet *f, uint64_t record);
/* To be called when that record is stored, once for the whole record. */

void cell_fleet_record_stored(
    struct cell_fleet *f, const char *id, uint64_t record);
/* To be called when the record of the workers (known.h) with that number is
 * stored.  It tells a new owner to call the worker, so the worker may be given
 * work from now on, unless a later record calls it silent. */

bool cell_fleet_worker_unused(
    const struct cell_fleet *f, const struct cell_worker *w);
/* Whether the worker is not listed and certainly runs nothing. */
uint64_t cell_worker_incarnation(const struct cell_worker *w);
/* The incarnation that last answered, this owner or an earlier one; 0 if none
 * did, or another one is known to be there. */
bool cell_fleet_may_hold_longest(
    const struct cell_fleet *f, const struct cell_worker *w, ogl_time now);
/* Whether the worker's lease may end later than any that an owner has asked
 * for by its clock, as calls meant for another incarnation may have reached it.
 */

bool cell_worker_silent(const struct cell_worker *w, ogl_time now);
/* Whether the worker has answered under our epoch before, but has not answered
 * for a while. */
bool cell_worker_tasks_known(const struct cell_worker *w);
/* Whether all tasks that earlier owners may have started on the worker are known
 * as runs, as ended, or from their record. */

bool cell_fleet_record_outdated(struct cell_fleet *f);
/* Whether the stored record of the workers is out of date: since the last call
 * a worker was added or removed, or its address, state or incarnation has
 * changed. */

void cell_fleet_step(struct cell_fleet *f, ogl_time now);
/* Sends the holds, starts and stops that are due, and ends the runs of workers
 * whose lease has expired. */

/* Starts that an owner has under way at a time, and stops: each has a request in
 * memory. */
#define CELL_ORDERS_PENDING_MAX 1000

bool cell_fleet_may_start(struct cell_fleet *f, uint32_t count);
/* Whether so many more starts may be under way.  If not, room_freed is called
 * once there may be more. */

struct cell_run *cell_fleet_start(struct cell_fleet *f, struct cell_worker *w,
    struct cell_stage *s, uint32_t index, uint64_t number,
    const struct cell_approval *approval, uint32_t rank, ogl_time now);
/* Orders a start; the run counts against capacity and limit from here on.
 * approval: NULL if none is needed. */

struct cell_run *cell_fleet_adopt(struct cell_fleet *f, struct cell_worker *w,
    struct cell_stage *s, const struct cell_run_row *row, uint32_t rank,
    ogl_time now);
/* Takes over a run that was found on a worker. */

void cell_fleet_stop_orphan(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_run_row *row, ogl_time now);
/* Stops a run that was found on a worker and belongs to no known job, unless
 * many others there are being stopped. */

void cell_fleet_stop_found(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_run_row *row, const struct ogl_res *need,
    const char *team, ogl_time now);
/* Stops a run that was found on a worker and that its job does not need any
 * more.  need: what it uses. */

void cell_fleet_stop(struct cell_fleet *f, struct cell_run *r, ogl_time now);
/* Orders a stop; run_ended is called once the run is over. */

void cell_fleet_count_stall(
    struct cell_fleet *f, struct cell_run *r, ogl_time now);
/* Counts a stalled run against its worker's pace and, once, its health. */

void cell_fleet_decay_pace(struct cell_fleet *f, struct cell_worker *w);
/* Moves the pace of a worker that runs nothing towards that of healthy
 * workers. */

void cell_fleet_move(
    struct cell_fleet *f, struct cell_run *r, const char *why, ogl_time now);
/* Stops a run so that its task can run on another worker; why is logged. */

GPtrArray *cell_worker_runs(const struct cell_worker *w);
/* A new list of the worker's runs, to be freed; it stays valid as a list while
 * runs end during an iteration. */

void cell_fleet_ends_stored(struct cell_fleet *f, struct cell_worker *w,
    uint64_t incarnation, uint64_t number);
/* Ends up to number of that incarnation of the worker are stored. */

void cell_fleet_confirm(struct cell_fleet *f, ogl_time at);
/* To be called when the store has confirmed the ownership as of `at`. */
bool cell_fleet_awaits_confirmation(const struct cell_fleet *f, ogl_time now);
/* Whether nothing may be started until ownership is confirmed again. */
bool cell_fleet_wants_confirmation(const struct cell_fleet *f, ogl_time now);
/* Whether the store should be asked now instead of at the next heartbeat. */
bool cell_fleet_may_lease(const struct cell_fleet *f, ogl_time now);
/* Whether leases may be asked for: the store or the workers have confirmed the
 * ownership lately, so that a successor still counts with these leases. */
ogl_time cell_fleet_proof_age(const struct cell_fleet *f, ogl_time now);
/* Age of the last proof of ownership. */
void cell_fleet_require_confirmation(struct cell_fleet *f, ogl_time now);
/* To be called when the process may have been suspended.  Nothing is started
 * until the ownership is confirmed as of now. */

/* Why a worker may not be given work.  If several reasons hold, the first in
 * this order counts. */
enum cell_unusable {
	CELL_USABLE,
	CELL_UNLISTED,   /* not on the platform's list */
	CELL_UNRECORDED, /* no stored record allows new runs there */
	CELL_DRAINING,
	CELL_EVACUATED,      /* its zone is */
	CELL_UNFENCED,       /* has not answered under this owner's epoch */
	CELL_LISTED_IN_PART, /* its lists have not been read to their end */
	CELL_FAILING,        /* leaves calls unanswered */
	CELL_ORPHANS,        /* has runs of which no resources are known */
	CELL_COOLDOWN,       /* has refused a start */
	CELL_OVERDUE,        /* the answer to a hold is overdue */
	CELL_ASIDE,          /* by its health */
	CELL_SUSPECT,        /* by its health, and it has a run */
	CELL_NUNUSABLE
};

enum cell_unusable cell_worker_unusable(
    const struct cell_worker *w, ogl_time now);
/* Why the worker may not be given work now; CELL_USABLE if it may. */
const char *cell_unusable_name(enum cell_unusable why);

bool cell_worker_usable(const struct cell_worker *w, ogl_time now);
/* Whether the worker can be given work, whatever its health. */
bool cell_worker_schedulable(const struct cell_worker *w, ogl_time now);
/* Whether the worker is to be given work. */

double cell_fleet_pace(const struct cell_fleet *f, const struct cell_worker *w);
/* The time that the worker takes, relative to healthy workers: 1 for the same
 * time or when it is not known, 2 for twice the time. */

bool cell_fleet_pace_is_faulty(
    const struct cell_fleet *f, const struct cell_worker *w);
double cell_fleet_straggler_pace_min(
    const struct cell_fleet *f, const struct cell_worker *w);
/* See cell_pace_is_faulty and cell_pace_straggler_min. */

void cell_fleet_update_baseline(struct cell_fleet *f);
/* Recomputes the pace of healthy workers from the paces of all workers, and
 * each worker's usual pace.  To be called five times a second. */

bool cell_worker_fits(const struct cell_worker *w, const struct ogl_res *need);
/* Whether the worker's free capacity covers the need. */

void cell_worker_count_result(struct cell_fleet *f, struct cell_worker *w,
    const char *job, bool ok, ogl_time now);
/* Counts an end of a run of the job for or against the worker's health. */

struct cell_worker *cell_fleet_worker(
    const struct cell_fleet *f, const char *id);
struct cell_worker *cell_fleet_by_serial(
    const struct cell_fleet *f, uint32_t serial);
/* Both return NULL when there is no such worker any more. */
GHashTable *cell_fleet_workers(const struct cell_fleet *f);
/* id -> struct cell_worker */

struct ogl_res cell_fleet_team_used(
    const struct cell_fleet *f, const char *team);
/* Resources of all runs of a team that may be running. */
struct ogl_res cell_fleet_team_running(
    const struct cell_fleet *f, const char *team);
/* The same without those that may never have begun. */

void cell_fleet_team_charge(
    struct cell_fleet *f, const char *team, const struct ogl_res *res);
void cell_fleet_team_uncharge(
    struct cell_fleet *f, const char *team, const struct ogl_res *res);
void cell_fleet_team_charge_unsure(
    struct cell_fleet *f, const char *team, const struct ogl_res *res);
void cell_fleet_team_uncharge_unsure(
    struct cell_fleet *f, const char *team, const struct ogl_res *res);
/* Add resources to those that count against a team's limit, and subtract them
 * again.  Used for tasks that may be running on workers that have not answered
 * yet; unsure: for those of which no begun run is on record. */

bool cell_fleet_settled(const struct cell_fleet *f);
/* Whether the lists of every worker that could run something have been read
 * whole under our epoch, or it can no longer run anything.  A worker of which a
 * part is read is waited for even if the leases of earlier owners have expired,
 * as its own is renewed. */

#endif
