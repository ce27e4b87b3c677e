/*
 * Workers and what may run on them, as the owner knows it, and the orders it
 * gives them: holds (lease, look), starts and stops.
 *
 * A run is a task's start on one worker.  It holds room there and of its
 * team's limit from the moment it is decided until it is certain that it
 * neither runs nor ever will.
 */

#ifndef OGL_CELL_FLEET_H
#define OGL_CELL_FLEET_H

#include "job.h"
#include "pace.h"
#include "zones.h"

struct cell_fleet;

enum cell_run_state {
	CELL_RUN_STARTING, /* ordered; not known to have begun */
	CELL_RUN_UP,
	CELL_RUN_STOPPING /* to be stopped; may still run */
};

struct cell_run {
	struct cell_worker *worker;
	/* NULL once the job has no use for it any more; it is then only
	 * waited for until it is certainly over. */
	struct cell_stage *stage;
	struct cell_task_name name;
	uint64_t number;
	enum cell_run_state state;
	struct ogl_res res;
	char *team;
	char *spec; /* kept while the start may have to be repeated */
	char *ticket;
	char *checkpoint;
	ogl_time began; /* decided */
	ogl_time up_at; /* first known to run, 0 not yet */
	uint32_t percent;
	struct cell_progress progress;
	bool open;      /* an order for it is under way */
	bool unsure;    /* a start went unanswered */
	bool ordered;   /* a start was sent */
	bool stop_done; /* a stop was answered */
	ogl_time stop_done_at;
	ogl_time retry_at;
	uint32_t tries;
	uint32_t rank; /* of its queue */
	bool stray;    /* nobody knows what room it holds */
};

/* A start that may be carried out late, whatever became of its run. */
struct cell_loose {
	struct cell_task_name task;
	uint64_t run;
	ogl_time sent;
};

struct cell_worker {
	uint32_t serial; /* in this fleet no other worker has or had it */
	char *id;
	char *addr;
	char *zone;
	char *rack;
	char **labels;
	char *service;
	struct ogl_res capacity;
	struct ogl_res used;
	bool listed;   /* on the platform's list */
	bool expected; /* known to an earlier owner, not heard of yet */
	bool draining;
	bool evacuated;         /* its zone is: nothing is started there */
	uint64_t entry_born_ms; /* life that its entry speaks of */

	uint64_t life;       /* born_ms of the life last heard; 0 none yet */
	bool fenced;         /* this life has seen our epoch */
	uint64_t clock_ms;   /* its clock as last read, */
	ogl_time clock_at;   /* and when the answer came */
	uint64_t until_ms;   /* latest lease end asked for in this life */
	bool named;          /* successors are told that it may run anything */
	uint64_t named_from; /* no earlier record names it, 0 any may */
	bool moved;          /* no record has its address yet */
	bool told_silent;    /* the last record calls it silent */
	ogl_time silent_since; /* while failures > 0 */
	bool excused; /* what may run there is known by name: not waited for */
	uint64_t last_seen;   /* ends up to this are stored, */
	uint64_t acked;       /* and up to this the worker has been told */
	uint64_t taken;       /* ends up to this are dealt with */
	uint64_t hold_number; /* of the hold whose answer counts */
	bool holding;         /* a hold is under way */
	ogl_time hold_sent;
	ogl_time lossy_until; /* an answer was lost shortly before */
	ogl_time hold_took;   /* the last one, answered or not */
	ogl_time hold_at;     /* next hold not before */
	ogl_time last_ok;     /* last answer of any kind */
	uint32_t failures;    /* holds in a row without an answer */
	uint32_t refusals; /* of them at the end, those nobody listened to, */
	ogl_time refused_since; /* since then */
	bool gone;              /* its process has ended */
	bool hurry;             /* the next hold does not wait */

	GArray *loose;      /* struct cell_loose, starts that went unanswered */
	GHashTable *runs;   /* set of struct cell_run */
	uint64_t open_pass; /* the scheduler's last pass that may use it */
	uint32_t
	    reserved;   /* rank + 1 that it is kept for in that pass, 0 none */
	uint32_t nopen; /* orders under way; it may not be freed */
	uint32_t nstrays;     /* runs of unknown size */
	uint32_t streak;      /* failed ends in a row, of different jobs */
	char *streak_job;     /* the last of them */
	ogl_time aside_until; /* not used until then: it fails what it gets */
	uint32_t asides;
	struct cell_pace pace;
};

/* What the owner wants to hear. */
struct cell_fleet_events {
	void (*ended)(void *arg, struct cell_run *r, enum cell_end how,
	    const char *checkpoint, ogl_time now);
	/* A run is over; r is freed after the call.  how is CELL_END_LAPSED
	 * too when it was lost with its worker. */
	void (*refused)(
	    void *arg, struct cell_run *r, enum cell_refusal why, ogl_time now);
	/* A start was refused and nothing runs; r is freed after the call. */
	void (*found)(void *arg, struct cell_worker *w,
	    const struct cell_row *row, ogl_time now);
	/* A worker runs something that is not known here. */
	void (*found_end)(void *arg, struct cell_worker *w,
	    const struct cell_row *row, ogl_time now);
	/* It lists an end of something that is not known here. */
	void (*up)(void *arg, struct cell_run *r, ogl_time now);
	void (*ends_taken)(void *arg, struct cell_worker *w, ogl_time now);
	/* Ends up to w->taken were dealt with; say cell_fleet_noted once that
	 * is stored. */
	void (*answered)(void *arg, struct cell_worker *w, ogl_time now);
	/* A worker has seen our epoch for the first time. */
	void (*outranked)(void *arg, ogl_time now);
	void (*room)(void *arg, ogl_time now); /* something came free */
	void *arg;
};

struct cell_fleet *cell_fleet_init(const struct cell_ops *ops,
    const struct cell_limits *limits, const struct cell_fleet_events *events);
void cell_fleet_end(struct cell_fleet *f);

void cell_fleet_open(struct cell_fleet *f, uint64_t epoch, ogl_time now);
/* Begins to give orders under an epoch, knowing of nothing that runs. */
void cell_fleet_close(struct cell_fleet *f);
/* Gives no more orders and forgets all runs. */

void cell_fleet_entry(struct cell_fleet *f, const char *id,
    const struct cell_worker_entry *e, ogl_time now);
/* The platform lists a worker; e NULL: no longer. */

void cell_fleet_zones(
    struct cell_fleet *f, const struct cell_zones *z, ogl_time now);
/* Evacuated zones; borrowed, to be called again when they have changed. */

void cell_fleet_expect(
    struct cell_fleet *f, const Ogl__CellKnown *k, ogl_time now);
/* An earlier owner may have started something there, listed or not. */

ogl_time cell_fleet_lapse(const struct cell_fleet *f);
/* When all leases that earlier owners granted are over for certain. */

void cell_fleet_named(struct cell_fleet *f, const char *id, uint64_t record);
/* The store now tells successors of the worker: it may be given work, unless a
 * later record calls it silent. */

bool cell_worker_silent(const struct cell_worker *w, ogl_time now);
/* It told under our epoch what it runs, and has not answered for a while. */

bool cell_fleet_names_changed(struct cell_fleet *f);
/* Whether a worker came, left or moved since it was last asked. */

void cell_fleet_step(struct cell_fleet *f, ogl_time now);
/* Holds, repeats and gives up what is due. */

struct cell_run *cell_fleet_start(struct cell_fleet *f, struct cell_worker *w,
    struct cell_stage *s, uint32_t index, uint64_t number, const char *ticket,
    uint32_t rank, ogl_time now);
/* Orders a start; room and limit are held from here on. */

struct cell_run *cell_fleet_adopt(struct cell_fleet *f, struct cell_worker *w,
    struct cell_stage *s, const struct cell_row *row, uint32_t rank,
    ogl_time now);
/* Takes a run over that was found on a worker. */

void cell_fleet_stray(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_row *row, ogl_time now);
/* Stops a run that was found and that nobody wants. */

void cell_fleet_stop(struct cell_fleet *f, struct cell_run *r, ogl_time now);
/* Orders a stop; ended is called once it is over. */

void cell_fleet_count_stall(struct cell_fleet *f, struct cell_worker *w);
/* A run of the worker stands still: counts against its pace. */

void cell_fleet_decay_pace(struct cell_fleet *f, struct cell_worker *w);
/* The worker runs nothing: what is known of its pace grows old. */

void cell_fleet_move(
    struct cell_fleet *f, struct cell_run *r, const char *why, ogl_time now);
/* Stops a run so that its task can run on another worker. */

GPtrArray *cell_worker_runs(const struct cell_worker *w);
/* A new list of its runs, which may end while it is gone through. */

void cell_fleet_noted(struct cell_fleet *f, struct cell_worker *w,
    uint64_t life, uint64_t number);
/* Ends up to number of that life are stored. */

void cell_fleet_confirm(struct cell_fleet *f, ogl_time at);
/* Ownership was confirmed by the store as of `at`. */
bool cell_fleet_wants_proof(const struct cell_fleet *f);
/* A worker waits to be given work until ownership is confirmed again. */
void cell_fleet_doubt(struct cell_fleet *f, ogl_time now);
/* This process may have stood still: nothing is started before ownership is
 * confirmed as of now. */

bool cell_worker_open(const struct cell_worker *w, ogl_time now);
/* Whether it may be given work. */

double cell_fleet_pace(const struct cell_fleet *f, const struct cell_worker *w);
/* How long the worker takes, against workers that are well; 1 as they, or not
 * known. */

void cell_fleet_update_baseline(struct cell_fleet *f);
/* Learns anew what workers that are well take. */

bool cell_worker_fits(const struct cell_worker *w, const struct ogl_res *need);

void cell_worker_result(
    struct cell_worker *w, const char *job, bool ok, ogl_time now);
/* Tells of an end; one that fails several jobs in a row is set aside. */

struct cell_worker *cell_fleet_worker(
    const struct cell_fleet *f, const char *id);
struct cell_worker *cell_fleet_by_serial(
    const struct cell_fleet *f, uint32_t serial);
/* NULL: it has gone. */
GHashTable *cell_fleet_workers(const struct cell_fleet *f);
/* id -> struct cell_worker */

struct ogl_res cell_fleet_team_used(
    const struct cell_fleet *f, const char *team);
/* What may be running of a team. */

void cell_fleet_suppose(
    struct cell_fleet *f, const char *team, const struct ogl_res *res);
void cell_fleet_suppose_not(
    struct cell_fleet *f, const char *team, const struct ogl_res *res);
/* Counts against a team what may be running on workers not heard of yet, and
 * takes that back. */

bool cell_fleet_settled(struct cell_fleet *f, ogl_time now);
/* Whether every worker that could run something has answered under our epoch
 * or can no longer run anything. */

#endif
