/* Internals of a shard, for the files of src/ that implement it only. */

#ifndef OGL_SHARD_IMPL_H
#define OGL_SHARD_IMPL_H

#include "lend.h"
#include "shard.h"
#include "stream.h"

enum {
	OGL_SYNC_TIMEOUT_MS = 1000,    /* for the answer to one sync */
	OGL_START_VALID_MS = 3000,     /* a start command is valid this long */
	OGL_SYNC_MIN_INTERVAL_MS = 20, /* least time between two syncs */
	OGL_SYNC_MAX_TASKS = 200       /* most starts and acks in one sync */
};

/* Reference to one task of a job. */
struct ogl_task_ref {
	struct ogl_job *job;
	uint32_t index;
};

/* One worker, as known to the shard's owner. */
struct ogl_session {
	char *name;
	char *addr;
	char *zone;
	char *rack;
	uint32_t number;        /* index in sh->sessions */
	uint32_t placer_index;  /* index in sh->placer, valid if in_placer */
	bool in_placer;         /* the placer has an entry for it */
	bool in_use;            /* recorded as in use, so starts are allowed */
	bool in_use_pending;    /* the record of its use is not confirmed yet */
	bool reported;          /* it reported all its tasks in this epoch */
	bool needs_full_report; /* the next sync asks for a full report */
	bool leaving;           /* by the host list or its own report */
	bool reported_leaving;  /* its newest report says that it is leaving */
	bool gone;              /* not in the host list, and no task left */
	uint64_t boot;          /* identifies the worker's process */
	uint64_t clock_ms;      /* the worker's clock as last reported */
	ogl_time clock_at;      /* when clock_ms was received */
	ogl_time lease_end;     /* latest end of its leases by our clock */
	ogl_time answered_at;   /* time of its last answer */
	ogl_time next_sync;
	ogl_time sent_at;
	uint64_t token;        /* of the sync in progress, 0 for none */
	uint64_t seq;          /* of the newest sync */
	uint32_t failed_syncs; /* since the last answer */
	GPtrArray *tasks; /* struct ogl_task_ref *, tasks bound to the worker */
	GPtrArray *stops; /* Ogl__TaskStop *, sent until the task stops */
	GPtrArray *acks;  /* Ogl__TaskAck *, sent once */
	struct ogl_res capacity;
	struct ogl_res used; /* as last reported */
};

/* The task or gang behind one entry of the queue. */
struct ogl_work_ref {
	struct ogl_job *job;
	uint32_t index; /* the task; for a gang its first waiting task */
};

struct ogl_shard {
	struct ogl_shard_env *env;
	uint32_t index;
	enum ogl_role role;
	bool stopping;

	/* Ownership as known from gossip. */
	char *known_owner;
	uint64_t known_epoch;
	bool known_offered;
	ogl_time ownerless_since; /* 0 while the known owner is alive */
	ogl_time outranked_since; /* when a higher-ranked node was found
				     alive, 0: none; owner only */

	struct ogl_stream *stream;
	struct ogl_state *state;
	bool claim_sent;

	/* The owner's state. */
	ogl_time claimed_at;
	ogl_time recovery_until; /* latest end of earlier owners' leases */
	bool recovering; /* tasks of earlier owners may run unknown to us */
	ogl_time promise_until; /* end of the successors' earliest promise */
	ogl_time next_promise_ask;
	GHashTable *promises; /* successor -> ogl_time *, end of its promise */
	uint64_t promise_seq;
	ogl_time promise_asked_at;
	ogl_time no_claim_until; /* end of our own promise, as a successor */
	ogl_time snapshot_at;    /* time of the last snapshot */
	uint32_t next_job;
	uint64_t next_work;
	uint64_t job_number;
	uint32_t token_count;
	struct ogl_place *placer;
	struct ogl_queue *queue;
	struct ogl_lend *lend;
	GArray *unplaced; /* uint64_t, work that didn't fit, in queue order */
	GPtrArray *sessions;        /* struct ogl_session, by number */
	GPtrArray *by_placer_index; /* struct ogl_session, by index in placer */
	GHashTable *by_worker;      /* name -> struct ogl_session */
	GHashTable *by_token;       /* token -> struct ogl_session */
	GHashTable *queue_refs;     /* number -> struct ogl_work_ref */
	GHashTable *placed_tasks_by_team; /* team path -> uint64_t * */
	GHashTable *submits;              /* job id -> GArray of waiters */
	GHashTable *pending_ids; /* request key -> id of a job that is not
				    on the log yet */
	GHashTable *referrals;   /* request key -> GArray of waiters */
	GHashTable *cancels;     /* job id -> GArray of waiters */
	GHashTable *inflight;    /* request id -> struct ogl_inflight */
	struct ogl_escrow *escrow;
	ogl_time next_hosts_update; /* when to read the host list again */
	ogl_time sessions_due;      /* no session has work before this time */
	ogl_time next_maintenance;
	ogl_time next_infeasible_check;
	bool place_due;     /* placement is to be tried again */
	GPtrArray *requeue; /* jobs that may have tasks to queue again */
	uint64_t nplaced;
};

/* ---- session.c -------------------------------------------------------- */

void ogl_sessions_init(struct ogl_shard *sh);
void ogl_sessions_end(struct ogl_shard *sh);
void ogl_sessions_update_hosts(struct ogl_shard *sh, ogl_time now);
void ogl_sessions_tick(struct ogl_shard *sh, ogl_time now);
ogl_time ogl_sessions_next(const struct ogl_shard *sh);
void ogl_sessions_event(
    struct ogl_shard *sh, const struct ogl_event *ev, ogl_time now);
void ogl_session_wake(
    struct ogl_shard *sh, struct ogl_session *s, ogl_time now);
/* Brings the next sync forward, unless the last one was not answered. */
void ogl_session_stop_task(struct ogl_shard *sh, struct ogl_session *s,
    const char *job, uint32_t index, uint32_t attempt, Ogl__StopMode mode,
    ogl_time now);
void ogl_session_in_use_recorded(
    struct ogl_shard *sh, const char *name, bool on, ogl_time now);
void ogl_session_ack(struct ogl_shard *sh, const char *worker, const char *job,
    uint32_t index, uint32_t attempt);
bool ogl_sessions_any_unreported(const struct ogl_shard *sh);
/* Whether some worker in use has not reported its tasks in this epoch. */

/* ---- sched.c ---------------------------------------------------------- */

void ogl_sched_init(struct ogl_shard *sh);
void ogl_sched_end(struct ogl_shard *sh);
void ogl_sched_place(struct ogl_shard *sh, ogl_time now);
/* Places queued work that fits on a worker and within the limits. */
void ogl_sched_enqueue(struct ogl_shard *sh, struct ogl_job *j, ogl_time now);
/* Queues the job's waiting tasks that are not queued yet. */
void ogl_sched_dequeue(struct ogl_shard *sh, struct ogl_job *j);
bool ogl_sched_bind(struct ogl_shard *sh, struct ogl_session *s,
    struct ogl_job *j, uint32_t i, uint32_t attempt, ogl_time now);
/* Binds a task that was found running on a worker to that worker. */
void ogl_sched_unbind(
    struct ogl_shard *sh, struct ogl_job *j, uint32_t i, bool ok, ogl_time now);
/* Undoes the binding of a task that no longer runs. */
void ogl_sched_intent_recorded(struct ogl_shard *sh, struct ogl_job *j,
    uint32_t i, uint32_t attempt, ogl_time now);
/* Called when the intent to start a task has taken effect on the log. */
void ogl_sched_stop_job(
    struct ogl_shard *sh, struct ogl_job *j, Ogl__StopMode mode, ogl_time now);
void ogl_sched_apply_settings(struct ogl_shard *sh, ogl_time now);
void ogl_sched_enforce_limits(struct ogl_shard *sh, ogl_time now);
/* Stops tasks of teams that are above a lowered limit. */
uint64_t ogl_sched_placed_count(const struct ogl_shard *sh, const char *team);
void ogl_sched_stop_task(struct ogl_shard *sh, struct ogl_job *j, uint32_t i,
    Ogl__StopMode mode, ogl_time now);
void ogl_sched_demand_of(const struct ogl_job *j, struct ogl_demand *a);

/* ---- sched_lend.c ----------------------------------------------------- */

void ogl_sched_reclaim_lent(struct ogl_shard *sh, ogl_time now);
/* Preempts tasks on lent capacity when a team lacks its share. */
ogl_time ogl_sched_next_reclaim(const struct ogl_shard *sh);
bool ogl_sched_was_preempted(
    const struct ogl_shard *sh, const struct ogl_job *j, uint32_t i);

/* ---- shardcall.c ------------------------------------------------------ */

void ogl_shardcall_init(struct ogl_shard *sh);
void ogl_shardcall_end(struct ogl_shard *sh, ogl_time now);
/* Answers every waiter, since the node no longer owns the shard. */
void ogl_shardcall_job_accepted(
    struct ogl_shard *sh, struct ogl_job *j, ogl_time now);
void ogl_shardcall_job_cancelled(
    struct ogl_shard *sh, struct ogl_job *j, ogl_time now);
void ogl_shardcall_cancel_infeasible(struct ogl_shard *sh, ogl_time now);
void ogl_shardcall_job_referred(
    struct ogl_shard *sh, const Ogl__JobReferred *r, ogl_time now);
void ogl_shardcall_id_recorded(
    struct ogl_shard *sh, struct ogl_request_id *r, ogl_time now);

/* ---- escrow.c --------------------------------------------------------- */

void ogl_escrow_init(struct ogl_shard *sh, ogl_time now);
void ogl_escrow_end(struct ogl_shard *sh);
void ogl_escrow_tick(struct ogl_shard *sh, ogl_time now);
ogl_time ogl_escrow_next(const struct ogl_shard *sh);
uint64_t ogl_escrow_allowed(const struct ogl_shard *sh, const char *team);
/* Returns how many tasks of the team, its subteams included, this shard may
 * have placed now; UINT64_MAX without a limit. */
void ogl_escrow_want(struct ogl_shard *sh, const char *team, uint64_t tasks);
/* Notes that this shard could place `tasks` tasks of the team in total, which
 * is more than it is allowed. */
void ogl_escrow_recorded(
    struct ogl_shard *sh, const Ogl__Allot *a, ogl_time now);
void ogl_escrow_msg(
    struct ogl_shard *sh, const Ogl__PeerMsg *msg, ogl_time now);

/* ---- right.c ---------------------------------------------------------- */

#define OGL_PROMISE_MS 3000 /* duration of a promise not to claim */

bool ogl_right_is_successor(const struct ogl_shard *sh, const char *name);
/* Whether the owner's records name the node as a successor. */
void ogl_right_ask_promises(struct ogl_shard *sh, ogl_time now);
/* Asks the successors for promises while the log doesn't answer. */

/* ---- claim.c ---------------------------------------------------------- */

#define OGL_MAX_SUCCESSORS 2 /* most successors that a claim names */

/* Search for the highest-ranked node other than this one. */
struct ogl_candidate {
	const struct ogl_member *m;
	uint32_t shard;
	const char *skip; /* node to leave out, NULL for none */
	const char *name; /* highest-ranked node so far, NULL for none */
	uint64_t rank;
	ogl_time state_changed_at; /* when its membership state last changed */
};

struct ogl_candidate ogl_claim_top_candidate(const struct ogl_shard *sh);
/* Returns the highest-ranked of the other live nodes; its name is NULL when
 * there is none. */
size_t ogl_claim_successors(
    const struct ogl_shard *sh, char *names[OGL_MAX_SUCCESSORS]);
/* Stores the names of the highest-ranked other live nodes and returns their
 * number.  The caller frees each name. */
void ogl_claim_none_tick(struct ogl_shard *sh, ogl_time now);
void ogl_claim_reader_tick(struct ogl_shard *sh, ogl_time now);

/* ---- shard.c ---------------------------------------------------------- */

void ogl_shard_start_reading(struct ogl_shard *sh, ogl_time now);
void ogl_shard_leave_role(struct ogl_shard *sh, ogl_time now);
/* Returns to OGL_ROLE_NONE and frees what the role held. */
bool ogl_shard_still_owner(const struct ogl_shard *sh);
/* Whether the newest valid claim that was read is this node's. */
Ogl__Record *ogl_shard_record(struct ogl_shard *sh, ogl_time now);
/* Returns an empty record under the current epoch, for ogl_shard_append. */
void ogl_shard_append(struct ogl_shard *sh, Ogl__Record *r, ogl_time now);
bool ogl_shard_may_act(const struct ogl_shard *sh, ogl_time now);
/* Whether this owner may start tasks and renew leases.  A later owner waits
 * until this right has certainly ended. */
bool ogl_shard_log_up(const struct ogl_shard *sh, ogl_time now);
/* Whether the log answered a short time ago. */
void ogl_shard_task_end(struct ogl_shard *sh, struct ogl_job *j, uint32_t i,
    Ogl__TaskState state, const char *reason, ogl_time now);
/* Unbinds a task and appends the record of its end to the log. */
void ogl_shard_log(struct ogl_shard *sh, enum ogl_log_level level,
    const char *fmt, ...) G_GNUC_PRINTF(3, 4);

#endif
