/* Inside of a shard, shared by shard.c, session.c, sched.c, shardcall.c and
 * escrow.c; nobody else includes it. */

#ifndef OGL_SHARD_IMPL_H
#define OGL_SHARD_IMPL_H

#include "lend.h"
#include "shard.h"
#include "stream.h"

enum {
	OGL_SYNC_TIMEOUT_MS = 1000, /* for one message to a worker */
	OGL_START_MS = 3000,        /* a start command is good for so long */
	OGL_SYNC_GAP_MS = 20,       /* shortest time between two syncs */
	OGL_SYNC_TASKS = 200        /* starts and acks in one sync at most */
};

/* One task, named without its string. */
struct ogl_tref {
	struct ogl_job *job;
	uint32_t index;
};

/* One worker as the owner knows it. */
struct ogl_session {
	char *name;
	char *addr;
	char *zone;
	char *rack;
	uint32_t number; /* in sh->sessions */
	uint32_t place;  /* in sh->placer; valid when placed */
	bool placed;     /* the placer knows it */
	bool on;         /* recorded as in use, so starts are allowed */
	bool asked_on;   /* the record is on its way */
	bool known;      /* it told all it runs, in this epoch */
	bool want_full;  /* ask for a full report next */
	bool leaving;
	bool says_leaving; /* by its own newest report */
	bool gone;         /* no list names it and nothing is left there */
	uint64_t boot;
	uint64_t clock_ms;  /* its clock, as last told */
	ogl_time clock_at;  /* when that was received */
	ogl_time lease_end; /* latest end of any lease we gave, our clock */
	ogl_time heard;     /* last answer */
	ogl_time next_sync;
	ogl_time sent_at;
	uint64_t token; /* of the sync under way, 0 none */
	uint64_t seq;
	uint32_t fails;
	GPtrArray *tasks; /* struct ogl_tref *, bound here */
	GPtrArray *stops; /* Ogl__TaskStop *, to be sent until obeyed */
	GPtrArray *acks;  /* Ogl__TaskAck *, to be sent once */
	struct ogl_res capacity;
	struct ogl_res used; /* as last reported */
};

/* Work in the queue. */
struct ogl_work_ref {
	struct ogl_job *job;
	uint32_t index; /* first task; a gang means all that wait */
};

struct ogl_shard {
	struct ogl_shard_env *env;
	uint32_t index;
	enum ogl_role role;
	bool stopping;

	/* Gossip's view. */
	char *known_owner;
	uint64_t known_epoch;
	bool known_offered;
	ogl_time ownerless_since; /* 0 while an owner is known to live */
	ogl_time outranked_since; /* owner: a better placed node lives */

	struct ogl_stream *stream;
	struct ogl_state *state;
	bool claim_sent;

	/* Owner's. */
	ogl_time claimed_at;
	ogl_time limbo_until; /* older leases are over by then at the latest */
	bool limbo;           /* some worker in use has not told its tasks */
	ogl_time promise_until;
	ogl_time promise_next;
	GHashTable *promises; /* successor -> ogl_time *, promised until */
	uint64_t promise_seq;
	ogl_time promise_sent;
	ogl_time holding; /* as a successor: we promised until then */
	ogl_time snapshot_at;
	uint32_t next_job;
	uint64_t next_work;
	uint64_t job_number;
	uint32_t token_count;
	struct ogl_place *placer;
	struct ogl_queue *queue;
	struct ogl_lend *lend;
	GArray *missed;        /* uint64_t, work that found no room, by turn */
	GPtrArray *sessions;   /* struct ogl_session, by number */
	GPtrArray *by_place;   /* struct ogl_session, by placer's number */
	GHashTable *by_worker; /* name -> struct ogl_session */
	GHashTable *by_token;  /* token -> struct ogl_session */
	GHashTable *works;     /* number -> struct ogl_work_ref */
	GHashTable *held;      /* team path -> uint64_t * tasks placed */
	GHashTable *submits;   /* job id -> GArray of waiters */
	GHashTable *pending_ids; /* request key -> job id, on its way */
	GHashTable *referrals;   /* request key -> GArray of waiters */
	GHashTable *cancels;     /* job id -> GArray of waiters */
	GHashTable *flights;     /* request id -> struct ogl_flight */
	struct ogl_escrow *escrow;
	ogl_time next_hosts;
	ogl_time sessions_due; /* no session has anything to do before */
	ogl_time next_limits;
	ogl_time next_hopeless;
	bool place_due;     /* something changed: try to place */
	GPtrArray *requeue; /* jobs with tasks that may wait again */
	uint64_t nplaced;
};

/* ---- session.c -------------------------------------------------------- */

void ogl_sessions_init(struct ogl_shard *sh);
void ogl_sessions_end(struct ogl_shard *sh);
void ogl_sessions_hosts(struct ogl_shard *sh, ogl_time now);
void ogl_sessions_tick(struct ogl_shard *sh, ogl_time now);
ogl_time ogl_sessions_next(const struct ogl_shard *sh);
void ogl_sessions_event(
    struct ogl_shard *sh, const struct ogl_event *ev, ogl_time now);
void ogl_session_wake(
    struct ogl_shard *sh, struct ogl_session *s, ogl_time now);
void ogl_session_stop_task(struct ogl_shard *sh, struct ogl_session *s,
    const char *job, uint32_t index, uint32_t attempt, Ogl__StopMode mode,
    ogl_time now);
void ogl_session_worker(
    struct ogl_shard *sh, const char *name, bool on, ogl_time now);
void ogl_session_ack(struct ogl_shard *sh, const char *worker, const char *job,
    uint32_t index, uint32_t attempt);
bool ogl_sessions_unknown(const struct ogl_shard *sh);

/* ---- sched.c ---------------------------------------------------------- */

void ogl_sched_init(struct ogl_shard *sh);
void ogl_sched_end(struct ogl_shard *sh);
void ogl_sched_place(struct ogl_shard *sh, ogl_time now);
/* Starts what can start. */
void ogl_sched_enqueue(struct ogl_shard *sh, struct ogl_job *j, ogl_time now);
/* Queues what waits and is not queued. */
void ogl_sched_unqueue(struct ogl_shard *sh, struct ogl_job *j);
bool ogl_sched_bind(struct ogl_shard *sh, struct ogl_session *s,
    struct ogl_job *j, uint32_t i, uint32_t attempt, ogl_time now);
/* A task was found running on a worker. */
void ogl_sched_unbind(
    struct ogl_shard *sh, struct ogl_job *j, uint32_t i, bool ok, ogl_time now);
/* It no longer runs there. */
void ogl_sched_intended(struct ogl_shard *sh, struct ogl_job *j, uint32_t i,
    uint32_t attempt, ogl_time now);
/* The record that a task is about to start has taken effect. */
void ogl_sched_stop_job(
    struct ogl_shard *sh, struct ogl_job *j, Ogl__StopMode mode, ogl_time now);
void ogl_sched_settings(struct ogl_shard *sh, ogl_time now);
void ogl_sched_limits(struct ogl_shard *sh, ogl_time now);
/* Stops what is above a lowered limit. */
uint64_t ogl_sched_held(const struct ogl_shard *sh, const char *team);
void ogl_sched_stop_task(struct ogl_shard *sh, struct ogl_job *j, uint32_t i,
    Ogl__StopMode mode, ogl_time now);
void ogl_sched_ask_of(const struct ogl_job *j, struct ogl_ask *a);

/* ---- sched_lend.c ----------------------------------------------------- */

void ogl_sched_lend(struct ogl_shard *sh, ogl_time now);
/* Takes lent room back where a team lacks its share. */
ogl_time ogl_sched_lend_next(const struct ogl_shard *sh);
bool ogl_sched_was_taken(
    const struct ogl_shard *sh, const struct ogl_job *j, uint32_t i);

/* ---- shardcall.c ------------------------------------------------------ */

void ogl_shardcall_init(struct ogl_shard *sh);
void ogl_shardcall_end(struct ogl_shard *sh, ogl_time now);
/* Gives every waiter its final answer: the shard is lost. */
void ogl_shardcall_job(struct ogl_shard *sh, struct ogl_job *j, ogl_time now);
void ogl_shardcall_cancelled(
    struct ogl_shard *sh, struct ogl_job *j, ogl_time now);
void ogl_shardcall_hopeless(struct ogl_shard *sh, ogl_time now);
void ogl_shardcall_referred(
    struct ogl_shard *sh, const Ogl__JobReferred *r, ogl_time now);
void ogl_shardcall_id(struct ogl_shard *sh, struct ogl_idrec *r, ogl_time now);

/* ---- escrow.c --------------------------------------------------------- */

void ogl_escrow_init(struct ogl_shard *sh, ogl_time now);
void ogl_escrow_end(struct ogl_shard *sh);
void ogl_escrow_tick(struct ogl_shard *sh, ogl_time now);
ogl_time ogl_escrow_next(const struct ogl_shard *sh);
uint64_t ogl_escrow_allowed(const struct ogl_shard *sh, const char *team);
/* Most tasks of the team (its subteams included) that this shard may have
 * placed now; UINT64_MAX without a limit. */
void ogl_escrow_want(struct ogl_shard *sh, const char *team, uint64_t tasks);
/* The team could use so many more than allowed. */
void ogl_escrow_recorded(
    struct ogl_shard *sh, const Ogl__Allot *a, ogl_time now);
void ogl_escrow_msg(
    struct ogl_shard *sh, const Ogl__PeerMsg *msg, ogl_time now);

/* ---- right.c ---------------------------------------------------------- */

#define OGL_HOLD_MS 3000 /* a promise not to claim lasts so long */

bool ogl_right_successor(const struct ogl_shard *sh, const char *name);
/* The claim in force names it as successor. */
void ogl_right_ask(struct ogl_shard *sh, ogl_time now);
/* Asks the successors for promises when the log has been silent. */

/* ---- claim.c ---------------------------------------------------------- */

#define OGL_NAMED 2 /* successors named */

struct ogl_best {
	const struct ogl_member *m;
	uint32_t shard;
	const char *skip; /* leave out this node */
	const char *name;
	uint64_t rank;
	ogl_time changed;
};

struct ogl_best ogl_claim_best_other(const struct ogl_shard *sh);
/* The best placed of the other live nodes; name NULL when there is none. */
size_t ogl_claim_successors(const struct ogl_shard *sh, char *names[OGL_NAMED]);
/* The best placed live nodes besides ourselves; free each name. */
void ogl_claim_none_tick(struct ogl_shard *sh, ogl_time now);
void ogl_claim_reader_tick(struct ogl_shard *sh, ogl_time now);

/* ---- shard.c ---------------------------------------------------------- */

void ogl_shard_start_reading(struct ogl_shard *sh, ogl_time now);
void ogl_shard_leave_role(struct ogl_shard *sh, ogl_time now);
/* Back to a node that has nothing to do with the shard. */
bool ogl_shard_still_owner(const struct ogl_shard *sh);
/* The claim in force, as far as read, is our own. */
Ogl__Record *ogl_shard_record(struct ogl_shard *sh, ogl_time now);
/* An empty record under our epoch; pass it to ogl_shard_append. */
void ogl_shard_append(struct ogl_shard *sh, Ogl__Record *r, ogl_time now);
bool ogl_shard_may_act(const struct ogl_shard *sh, ogl_time now);
/* We may start tasks and renew leases: no other owner can have waited out
 * our right. */
bool ogl_shard_log_up(const struct ogl_shard *sh, ogl_time now);
void ogl_shard_task_end(struct ogl_shard *sh, struct ogl_job *j, uint32_t i,
    Ogl__TaskState state, const char *reason, ogl_time now);
/* Puts a placed task's end on its way to the log. */
void ogl_shard_log(struct ogl_shard *sh, enum ogl_log_level level,
    const char *fmt, ...) G_GNUC_PRINTF(3, 4);

#endif
