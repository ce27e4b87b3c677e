/*
 * The state of the fleet, and what its files use of each other.
 */

#ifndef OGL_CELL_FLEET_IMPL_H
#define OGL_CELL_FLEET_IMPL_H

#include "fleet.h"
#include "quorum.h"

#define ORDER_TIMEOUT_MS 600

struct cell_fleet {
	const struct cell_ops *ops;
	const struct cell_limits *limits;
	struct cell_fleet_events events;
	GHashTable *workers;   /* id -> struct cell_worker */
	GHashTable *by_serial; /* the same workers, not owned */
	struct cell_health *health;
	uint32_t last_serial;
	GHashTable *teams;              /* name -> struct team_use */
	const struct cell_zones *zones; /* evacuated zones, NULL until set */
	double baseline_pace;           /* pace of healthy workers */
	bool open;
	uint64_t epoch;
	uint64_t generation; /* raised by each open and close */
	uint32_t restarts;   /* highest of all workers */
	ogl_time opened_at;
	ogl_time first_step_at; /* no worker was called before; 0 not yet */
	/* Workers that the record read at the takeover names, and how many of
	 * them have answered. */
	guint nexpected;
	guint nexpected_answered;
	/* When enough of them had answered for the leases of earlier owners to
	 * be counted from there, 0 not yet. */
	ogl_time quorum_at;
	ogl_time ticket_validity; /* of earlier owners' starts; 0 not known */
	bool old_leases_expired; /* all leases of earlier owners have expired */
	guint ncut;              /* workers whose lists are CELL_LISTS_CUT */
	struct cell_quorum *quorum;
	ogl_time workers_confirmed_at; /* latest time of which the workers
					* have shown that we are the owner */
	bool leases_withheld;
	bool confirmation_wanted; /* expired leases wait for one */
	bool record_outdated;     /* the workers are to be stored again */
	ogl_time record_due_at;   /* at the latest from then on */
	ogl_time confirmed_at;    /* latest time of confirmed ownership */
	/* Nothing is started until ownership is confirmed as of this time. */
	ogl_time confirmation_from;
	ogl_time next_scan_at;
	ogl_time next_run_scan_at;
	/* Orders that await their answers, also of earlier generations: each
	 * has a request in memory. */
	unsigned starts_pending;
	unsigned stops_pending;
	bool starts_limited; /* a start was put off for them */
};

/* A start, stop or hold that awaits its answer. */
struct cell_fleet_call {
	struct cell_fleet *fleet;
	struct cell_worker *worker;
	struct cell_run *run; /* NULL for a hold */
	uint64_t generation;  /* of the fleet when the call was sent */
	uint64_t incarnation; /* of the worker when the call was sent */
	uint64_t fence;
	uint64_t ends_acked;  /* ends up to this were acknowledged by a hold */
	uint64_t hold_number; /* 0 for a start or stop */
	ogl_time sent_at;
	bool stop;
};

/* ---- fleet.c ---------------------------------------------------------- */

void cell_fleet_log_worker_why(struct cell_fleet *f,
    const struct cell_worker *w, const char *event, const char *why);
void cell_fleet_log_worker(
    struct cell_fleet *f, const struct cell_worker *w, const char *event);
void cell_fleet_count_call(struct cell_fleet *f, struct cell_worker *w,
    enum ogl_health_evidence kind, bool ok, ogl_time now);
/* Counts the outcome of a call to a worker that has answered before. */
void cell_fleet_run_free(struct cell_run *r);
struct cell_run *cell_fleet_run_new(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_task_name *name, uint64_t number,
    const struct ogl_res *res, const char *team);
/* Creates a run, which uses resources of the worker and the team. */
void cell_fleet_run_remove(
    struct cell_fleet *f, struct cell_run *r, ogl_time now);
/* Releases the resources of a run that is over, and frees the run unless a
 * call for it is pending. */
void cell_fleet_run_ended(struct cell_fleet *f, struct cell_run *r,
    enum cell_end how, const char *checkpoint, ogl_time now);
/* Reports the end of a run to the owner and removes the run. */
bool cell_fleet_needs_quorum(const struct cell_fleet *f, ogl_time now);
/* Whether the store's confirmation is so old that the workers' will be needed
 * soon. */

/* ---- fleet_incarnation.c ---------------------------------------------- */

void cell_fleet_incarnation_over(
    struct cell_fleet *f, struct cell_worker *w, ogl_time now);
/* The incarnation that last answered has ended. */
void cell_fleet_void_calls(struct cell_fleet *f, struct cell_worker *w);
/* The worker carries out none of the calls sent so far once it has answered a
 * later one. */
uint64_t cell_fleet_fence(
    const struct cell_fleet *f, const struct cell_worker *w);
/* The fencing token of calls to the worker's present incarnation. */
void cell_fleet_incarnation_heard(
    struct cell_fleet *f, struct cell_worker *w, ogl_time now);
/* To be called after the first answer of an incarnation, with its lease set.
 * Sees to its record. */
uint32_t cell_fleet_next_restarts(struct cell_fleet *f);
/* The number for the fence of a worker that is added or has restarted. */
void cell_fleet_record_later(struct cell_fleet *f, ogl_time now);
/* Has the workers recorded within a second. */
ogl_time cell_fleet_old_leases_end(const struct cell_fleet *f, ogl_time now);
/* When every lease of earlier owners has expired. */
bool cell_fleet_awaits_late_calls(
    const struct cell_fleet *f, const struct cell_worker *w, ogl_time now);
/* Whether calls to an incarnation of the worker may still be carried out by the
 * next one. */
void cell_fleet_log_lease(struct cell_fleet *f, const struct cell_worker *w,
    const char *event, ogl_time now);
/* Logs the end of the worker's lease that is counted with. */

/* ---- fleet_hold.c ----------------------------------------------------- */

bool cell_fleet_hold_overdue(const struct cell_worker *w, ogl_time now);
void cell_fleet_count_failure(struct cell_worker *w, ogl_time now);
void cell_fleet_remember_unanswered_start(
    const struct cell_run *r, ogl_time now);
void cell_fleet_lose_runs(
    struct cell_fleet *f, struct cell_worker *w, ogl_time now);
/* Ends the runs of a worker whose lease has expired or that has ended. */
bool cell_fleet_has_lapsed(
    const struct cell_fleet *f, const struct cell_worker *w, ogl_time now);
/* Whether cell_fleet_lose_runs would end any. */
void cell_fleet_run_started(
    struct cell_fleet *f, struct cell_run *r, ogl_time now);
void cell_fleet_call_free(struct cell_fleet_call *c);
bool cell_fleet_wants_hold(
    const struct cell_fleet *f, const struct cell_worker *w, ogl_time now);
void cell_fleet_send_hold(
    struct cell_fleet *f, struct cell_worker *w, ogl_time now);

/* ---- fleet_lists.c ---------------------------------------------------- */

void cell_fleet_set_lists(
    struct cell_fleet *f, struct cell_worker *w, enum cell_lists lists);
void cell_fleet_lists_lapsed(
    struct cell_fleet *f, struct cell_worker *w, ogl_time now);
/* To be called when the lease of a silent worker has expired whose lists were
 * being read: an end that was not acknowledged by then is void. */

/* ---- fleet_order.c ---------------------------------------------------- */

void cell_fleet_step_runs(
    struct cell_fleet *f, struct cell_worker *w, ogl_time now);
/* Sends the starts and stops of the worker that are due. */

#endif
