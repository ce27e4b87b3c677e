/*
 * orioleglade: coordination parts of a cluster scheduler.
 *
 * This header is the manual of the library.  Each part is an opaque struct,
 * created by its init function and freed by its end function, which accepts
 * NULL.  No part reads a clock, opens a socket or starts a thread: functions
 * that depend on the time take the current time as the argument `now`, in
 * microseconds since 1970, which must never go back within a process.  An
 * object may be used by one thread at a time.
 *
 * Messages are the protobuf-c structs of gen/ogl.pb-c.h, generated from
 * schema/ogl.proto.
 */

#ifndef ORIOLEGLADE_H
#define ORIOLEGLADE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ogl.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

#define OGL_VERSION "0.1.0"

/* ---- time ------------------------------------------------------------- */

typedef int64_t ogl_time; /* microseconds since 1970 */

#define OGL_MS ((ogl_time)1000)
#define OGL_SEC ((ogl_time)1000000)
#define OGL_NEVER INT64_MAX

/* ---- length-counted strings ------------------------------------------- */

/* Borrowed bytes, not NUL-terminated. */
struct ogl_str {
	const char *p;
	size_t n;
};

struct ogl_str ogl_str(const char *zs);
/* The bytes of a NUL-terminated string, borrowed; NULL gives the empty
 * string. */

bool ogl_str_eq(struct ogl_str a, struct ogl_str b);
/* Whether both hold the same bytes. */

char *ogl_str_dup(struct ogl_str s);
/* A NUL-terminated copy; free it with g_free. */

/* ---- errors and verdicts ---------------------------------------------- */

#define OGL_ERROR ogl_error_quark()
GQuark ogl_error_quark(void);
/* Domain of every GError that the library sets.  A GError ** argument may be
 * NULL; otherwise the caller frees the error. */

enum ogl_error {
	OGL_ERROR_INPUT,    /* invalid argument or input */
	OGL_ERROR_CONFLICT, /* based on an outdated version */
	OGL_ERROR_DENIED,   /* key unknown, withdrawn or not authorised */
	OGL_ERROR_ABSENT,   /* does not exist */
	OGL_ERROR_FULL      /* a limit is reached */
};

/* Whether a request has run. */
enum ogl_verdict {
	OGL_NOT_RUN = OGL__VERDICT__not_run, /* it certainly has not */
	OGL_RAN = OGL__VERDICT__ran,
	OGL_MAY_HAVE_RUN = OGL__VERDICT__may_have_run
};

const char *ogl_verdict_name(enum ogl_verdict v);
/* "not_run", "ran" or "may_have_run"; never NULL; a static string. */

/* Result of sending a message and waiting for its answer. */
enum ogl_io_result {
	OGL_IO_OK,       /* a complete answer to this message arrived */
	OGL_IO_NOT_SENT, /* it certainly did not reach the receiver */
	OGL_IO_REFUSED,  /* the receiver said that it did nothing */
	OGL_IO_LOST      /* no complete answer: it may have taken effect */
};

/* ---- resources -------------------------------------------------------- */

struct ogl_res {
	uint32_t cpu_milli; /* thousandths of a processor */
	uint32_t mem_mb;
	uint32_t accel; /* whole accelerators */
};

bool ogl_res_fits(const struct ogl_res *need, const struct ogl_res *room);
/* Whether need is at most room in each dimension. */

void ogl_res_add(struct ogl_res *to, const struct ogl_res *r);
/* Adds r; overflow is not checked. */

void ogl_res_sub(struct ogl_res *from, const struct ogl_res *r);
/* Subtracts r; a dimension that would become negative becomes 0. */

/* ---- JSON form of messages -------------------------------------------- */

/*
 * A list of faults found in some input.  Each fault holds the path of a value,
 * the value in short, and a description of the values allowed there.  Added
 * strings are copied.  The accessors return borrowed strings, NULL for an index
 * past the last fault.
 */
struct ogl_faults;
struct ogl_faults *ogl_faults_new(void);
void ogl_faults_free(struct ogl_faults *f);
void ogl_faults_add(struct ogl_faults *f, const char *path, const char *value,
    const char *allowed);
size_t ogl_faults_count(const struct ogl_faults *f);
const char *ogl_faults_path(const struct ogl_faults *f, size_t i);
const char *ogl_faults_value(const struct ogl_faults *f, size_t i);
const char *ogl_faults_allowed(const struct ogl_faults *f, size_t i);

ProtobufCMessage *ogl_json_parse(const ProtobufCMessageDescriptor *d,
    struct ogl_str text, struct ogl_faults *faults);
/*
 * Parses a JSON object into a message.  Returns NULL with all faults added:
 * malformed JSON, unknown fields, wrong types, integers out of range, unknown
 * enum names.  Field names are those of the schema, enum values are their lower
 * case names, bytes are base64, and absent fields keep their defaults.  Free
 * the message with protobuf_c_message_free_unpacked(m, NULL).
 */

char *ogl_json_print(const ProtobufCMessage *m, size_t *n);
/*
 * JSON text of a message, NUL-terminated; stores its length in *n unless n is
 * NULL; free it with g_free.  Scalar fields are always written, empty lists and
 * unset messages are left out.
 */

/* ---- settings tree and keys ------------------------------------------- */

struct ogl_settings; /* the settings tree at one version */

/* Settings of one team, with inheritance applied. */
struct ogl_team_view {
	bool exists;
	double share;            /* weight among its siblings, > 0 */
	uint64_t limit_tasks;    /* running at once; UINT64_MAX: no limit */
	uint32_t max_queue_ms;   /* how long a short request may wait */
	uint32_t max_body;       /* bytes in the body of a request */
	uint32_t idle_keep_jobs; /* ended jobs kept by each shard */
};

/* The owner of a key. */
struct ogl_key_view {
	bool known;
	bool is_operator;
	char team[128]; /* path of the team; empty for an operator */
	char key_id[32];
};

struct ogl_settings *ogl_settings_init(void);
void ogl_settings_end(struct ogl_settings *s);

uint64_t ogl_settings_version(const struct ogl_settings *s);
/* Log offset of the last edit applied, plus 1; 0 for the empty tree. */

bool ogl_settings_check(const struct ogl_settings *s, const Ogl__Edit *e,
    struct ogl_faults *faults, GError **error);
/*
 * Whether the edit could be applied now.  Fails with OGL_ERROR_CONFLICT when a
 * path that it changes was changed after its base version, with OGL_ERROR_INPUT
 * when the resulting tree would not be valid; all faults are added.  Changes
 * nothing.
 */

bool ogl_settings_apply(struct ogl_settings *s, uint64_t version,
    const Ogl__Edit *e, uint64_t at_ms, GError **error);
/*
 * Applies one edit, read from the log at offset version - 1, completely or not
 * at all.  The result depends only on the tree and the edit, so all followers
 * of the log get the same one.  Fails as ogl_settings_check does.  Returns true
 * and changes nothing when version is not newer than the tree's.
 */

char *ogl_settings_dump(const struct ogl_settings *s);
/* The whole state as JSON text: the tree, the versions of paths and the audit
 * trail; g_free. */

bool ogl_settings_load(
    struct ogl_settings *s, struct ogl_str dump, GError **error);
/* Replaces the contents of s by a dump if the dump is newer, else changes
 * nothing.  Returns false with OGL_ERROR_INPUT when the dump is malformed. */

void ogl_settings_lookup_team(
    const struct ogl_settings *s, const char *team, struct ogl_team_view *view);
/* Resolved settings of a team.  An unknown team has those set for all teams and
 * view->exists false. */

void ogl_settings_each_team(const struct ogl_settings *s,
    void (*fn)(void *ctx, const char *team, const struct ogl_team_view *view),
    void *ctx);
/* Calls fn for each team, parents before their subteams. */

int64_t ogl_settings_number(
    const struct ogl_settings *s, const char *path, int64_t fallback);
/* Resolved value of a number, e.g. "cell/audit_keep"; the schema's default when
 * it is not set, INT64_MAX for a limit of "none", fallback when the path has no
 * number. */

char *ogl_settings_show(const struct ogl_settings *s, const char *path);
/* JSON text: the version, the values set at and below path, the resolved values
 * and where each is set.  NULL when the path does not exist.  Key hashes are
 * left out.  g_free. */

char *ogl_settings_audit(const struct ogl_settings *s, uint64_t from);
/* JSON list of the changes with version >= from: version, time, author, path,
 * old and new value; g_free. */

void ogl_settings_lookup_key(const struct ogl_settings *s, struct ogl_str key,
    struct ogl_key_view *view);
/* Looks up the owner of a key.  view->known is false for an unknown or
 * withdrawn key.  Hashes are compared in constant time. */

bool ogl_key_make(const uint8_t random[32], const char *team, char key_out[80],
    Ogl__Edit **edit, char id_out[32]);
/*
 * Makes a new key for a team ("" for an operator) from random bytes.  Gives the
 * text of the key, its id, and an edit that stores its hash and team under
 * keys/<id>.  The text can't be recovered from the hash, so it must be shown to
 * its owner now.  Free the edit with ogl__edit__free_unpacked.  Returns false
 * when team is not the path of a team.
 */

bool ogl_key_hash(struct ogl_str key, char hex[65]);
/* Hash of a key in hex digits, as in the tree and in the settings file.
 * Returns false when the text is not a key. */

/* ---- placement -------------------------------------------------------- */

struct ogl_place; /* the workers and the resources held there */

enum ogl_place_state {
	OGL_PLACE_SCHEDULABLE,  /* gets new tasks */
	OGL_PLACE_UNSCHEDULABLE /* leaving, silent or quarantined: gets none */
};

/* What one task needs. */
struct ogl_demand {
	Ogl__Kind kind;
	struct ogl_res res;
	uint64_t job; /* number of the job; a service's tasks are spread out */
};

/* Whether tasks can ever run on the known workers, and if not, why. */
enum ogl_feasibility {
	OGL_FEASIBLE = 0,         /* it can run when enough room is free */
	OGL_INFEASIBLE_NO_WORKER, /* no worker is large enough for one task */
	OGL_INFEASIBLE_GANG_TOTAL /* all workers together are too small */
};

struct ogl_place *ogl_place_init(uint64_t seed);
void ogl_place_end(struct ogl_place *p);
/* The seed is for random choices. */

uint32_t ogl_place_worker(struct ogl_place *p, const char *name,
    const struct ogl_res *capacity, const char *zone, const char *rack);
/* Adds a worker, unschedulable at first, or updates its capacity.  Returns its
 * number.  A worker whose tasks hold more than the new capacity gets no more
 * tasks. */

void ogl_place_remove_worker(struct ogl_place *p, uint32_t w);
/* Removes a worker and the resources held there.  Its number may be reused.
 * Does nothing for an unknown number. */

void ogl_place_set_state(
    struct ogl_place *p, uint32_t w, enum ogl_place_state st);

bool ogl_place_task(struct ogl_place *p, const struct ogl_demand *demand,
    ogl_time now, uint32_t *w);
/* Picks a worker by the policy for the kind of task and holds the resources
 * there.  Returns false when no worker has room now. */

bool ogl_place_gang(struct ogl_place *p, const struct ogl_demand *demand,
    uint32_t n, ogl_time now, uint32_t *w);
/* Holds resources for n tasks at once and stores their workers in w[0..n).
 * Returns false and holds nothing when not all of them fit. */

bool ogl_place_hold(
    struct ogl_place *p, uint32_t w, const struct ogl_demand *demand);
/* Holds resources at a given worker, e.g. for a task found running there, also
 * when the worker gets no new tasks.  Returns false when the capacity would be
 * exceeded. */

void ogl_place_free(
    struct ogl_place *p, uint32_t w, const struct ogl_demand *demand);
/* Releases what one task held.  The demand must equal that of the hold. */

enum ogl_feasibility ogl_place_feasibility(
    const struct ogl_place *p, const struct ogl_demand *demand, uint32_t n);
/* Whether n such tasks could ever run at once on the workers known, in whatever
 * state these are. */

bool ogl_place_reserve(struct ogl_place *p, uint64_t job,
    const struct ogl_demand *demand, uint32_t n, ogl_time until, ogl_time now);
/* Reserves resources on chosen workers for a waiting gang, now and as tasks
 * there end, until the time `until`.  Other tasks may use the remaining
 * resources.  Returns false when another gang has the only reservation, when
 * `until` has passed, or when the gang could not run even if all tasks but
 * those of services ended. */

void ogl_place_unreserve(struct ogl_place *p, uint64_t job);

void ogl_place_task_ended(
    struct ogl_place *p, uint32_t w, uint64_t job, bool ok, ogl_time now);
/* Reports that a task ended.  A worker where tasks of several jobs fail that
 * succeed elsewhere is quarantined, and later probed with one task.  A job that
 * fails everywhere does not count against the workers. */

void ogl_place_totals(
    const struct ogl_place *p, struct ogl_res *total, struct ogl_res *held);
/* Resources of all schedulable workers, and how much of them is held. */

/* ---- order of waiting work -------------------------------------------- */

struct ogl_queue; /* waiting and running work */

/* One unit of waiting work: a task, a gang, or a short request. */
struct ogl_work {
	uint64_t id;       /* unique within the queue */
	const char *team;  /* path; copied */
	const char *label; /* equal for similar work; copied */
	Ogl__Kind kind;
	uint32_t tasks;         /* number of tasks of a gang, else 1 */
	struct ogl_res res;     /* of each task */
	uint64_t declared_ms;   /* run time as submitted, 0: none */
	ogl_time waiting_since; /* when it began to wait */
	bool preempted; /* if so, it goes before similar work of its team */
};

struct ogl_queue_policy; /* table of function pointers, see src/queue.h */
extern const struct ogl_queue_policy ogl_queue_learned;
/* The default policy: fair shares, and short work first by learned run
 * times. */

struct ogl_queue *ogl_queue_init(
    const struct ogl_queue_policy *policy, uint64_t seed);
void ogl_queue_end(struct ogl_queue *q);
/* The policy is borrowed. */

void ogl_queue_set_share(struct ogl_queue *q, const char *team, double share);
/* Sets a team's weight among its siblings in the tree of teams; the default is
 * 1.  A share that is not greater than 0 is ignored. */

void ogl_queue_push(
    struct ogl_queue *q, const struct ogl_work *w, ogl_time now);
/* Adds waiting work.  Does nothing when the id already waits or runs. */

bool ogl_queue_pop(struct ogl_queue *q, ogl_time now, struct ogl_work *w);
/* Removes the work that is next in order; its team and label stay valid until
 * the next call on q.  Returns false when no work waits except deferred
 * work.  Popped work must be started, deferred, pushed again or removed,
 * otherwise it stays in memory. */

void ogl_queue_defer(struct ogl_queue *q, uint64_t id, ogl_time now);
/* Defers popped work that could not start.  It waits again with its old rank,
 * but pop skips it until ogl_queue_retry_deferred is called. */

void ogl_queue_retry_deferred(struct ogl_queue *q, ogl_time now);
/* Makes all deferred work available to pop again; to be called when resources
 * have become free. */

bool ogl_queue_remove(struct ogl_queue *q, uint64_t id);
/* Removes waiting work and returns true; otherwise returns false.  Popped work
 * is forgotten, running work stays. */

void ogl_queue_started(
    struct ogl_queue *q, const struct ogl_work *w, ogl_time now);
/* Popped work, or work that was found running, now runs.  Its team is charged
 * from now on. */

void ogl_queue_ended(struct ogl_queue *q, uint64_t id, bool ok, ogl_time now);
/* Started work ended.  Learns its run time and settles the team's charge. */

size_t ogl_queue_length(const struct ogl_queue *q);
/* Number of waiting units of work, deferred ones included. */

uint64_t ogl_queue_wait_ms(const struct ogl_queue *q, ogl_time now);
/* How long the oldest waiting work has waited, 0 when none waits. */

/* ---- routing of short requests ---------------------------------------- */

struct ogl_route; /* the executors known to this node */

struct ogl_route *ogl_route_init(uint64_t seed, const char *own_zone);
void ogl_route_end(struct ogl_route *r);

uint32_t ogl_route_set_target(struct ogl_route *r, const char *name,
    const char *zone, uint32_t slots, bool leaving, ogl_time now);
/* Adds or updates a target.  Returns its number.  A target that is leaving gets
 * no new requests.  `slots` is how many requests it runs at once. */

void ogl_route_remove_target(struct ogl_route *r, uint32_t t);
/* Removes a target that is in no host list any more. */

bool ogl_route_pick(struct ogl_route *r, uint64_t request,
    const uint32_t *tried, size_t ntried, ogl_time now, uint32_t *t);
/* Picks a target with a free slot that is not in `tried`, by the shortest
 * expected wait, and counts the request as in flight there.  Returns false when
 * there is none. */

void ogl_route_request_done(struct ogl_route *r, uint32_t t, uint64_t request,
    enum ogl_io_result io, uint32_t http_status, ogl_time now);
/* The request is no longer in flight at the target.  Failures take a target out
 * of use for a time, unless the same request fails at other targets too. */

bool ogl_route_take_retry(struct ogl_route *r, ogl_time now);
/* Takes one retry from the retry budget; ten successes add one.  Returns false
 * when the budget is used up. */

uint64_t ogl_route_wait_ms(
    const struct ogl_route *r, size_t ahead, ogl_time now);
/* Expected wait of a request with `ahead` requests before it, from the measured
 * rate of completions, at most a minute.  Retry-After is based on it, too. */

uint32_t ogl_route_free_slots(const struct ogl_route *r, ogl_time now);
/* Number of free slots of all targets in use. */

/* ---- node: events in, actions out ------------------------------------- */

/*
 * The embedding program, called the adapter, carries out each action and
 * reports its result by one event with the action's token:
 *
 *	OGL_ACT_LOG_APPEND  OGL_EV_LOG_APPENDED  io, and u.appended when OK
 *	OGL_ACT_LOG_READ    OGL_EV_LOG_READ      io, and u.read when OK
 *	OGL_ACT_HOSTS       OGL_EV_HOSTS         io, and u.hosts when OK
 *	OGL_ACT_WORKER      OGL_EV_WORKER        io, and u.worker when OK
 *	OGL_ACT_EXEC        OGL_EV_EXEC          io, and u.exec when OK
 *
 * Other actions have no result.  An adapter that does not know whether an
 * action took effect must report OGL_IO_LOST: the node's guarantees depend on
 * OGL_IO_NOT_SENT and OGL_IO_REFUSED being certain.  Streams are read in order
 * from offset 0; an append gets the next offset of its stream.  examples/node.c
 * is a small adapter.
 */
enum ogl_event_type {
	OGL_EV_TIMER,        /* the time given by ogl_node_next_wake came */
	OGL_EV_CALL,         /* a request of a caller or operator */
	OGL_EV_CALLER_GONE,  /* the connection was closed before the reply */
	OGL_EV_PEER,         /* a packed Ogl__PeerMsg arrived from a peer */
	OGL_EV_LOG_APPENDED, /* result of OGL_ACT_LOG_APPEND */
	OGL_EV_LOG_READ,     /* result of OGL_ACT_LOG_READ */
	OGL_EV_HOSTS,        /* result of OGL_ACT_HOSTS */
	OGL_EV_WORKER,       /* result of OGL_ACT_WORKER */
	OGL_EV_EXEC,         /* result of OGL_ACT_EXEC */
	OGL_EV_STOP          /* SIGTERM: begin a graceful shutdown */
};

struct ogl_log_entry {
	uint64_t offset;
	struct ogl_str data;
};

/* All pointers in an event are borrowed until ogl_node_step returns. */
struct ogl_event {
	enum ogl_event_type type;
	uint64_t token; /* of the action, or chosen by the adapter for a call */
	enum ogl_io_result io; /* result of an action */
	union {
		struct {
			struct ogl_str method; /* "GET", "POST", ... */
			struct ogl_str path;   /* with the query string */
			struct ogl_str host;   /* the Host header */
			struct ogl_str key;    /* from Authorization: Bearer */
			struct ogl_str request_id; /* Idempotency-Key */
			struct ogl_str work_kind;  /* Ogl-Kind */
			bool idempotent;           /* Ogl-Idempotent: 1 */
			uint64_t budget_ms;        /* Ogl-Timeout-Ms, 0: none */
			struct ogl_str body;
		} call;
		struct {
			struct ogl_str data;
		} peer;
		struct {
			uint64_t offset;
		} appended;
		struct {
			uint64_t first; /* oldest offset retained */
			uint64_t next;  /* offset of the next append */
			/* In ascending order, starting at the requested
			 * offset, or at `first` if that is no longer
			 * retained; the adapter chooses how many. */
			const struct ogl_log_entry *entries;
			size_t n;
		} read;
		const Ogl__HostList *hosts;
		const Ogl__WorkerReport *worker;
		struct {
			uint32_t status;
			bool not_run; /* answered Ogl-Verdict: not_run */
			struct ogl_str body;
		} exec;
	} u;
};

enum ogl_action_type {
	OGL_ACT_REPLY,      /* answer the call `token` */
	OGL_ACT_PEER,       /* send `data` to addr; may be lost or reordered */
	OGL_ACT_LOG_APPEND, /* append `data` to stream `name` */
	OGL_ACT_LOG_READ,   /* read stream `name` from offset `from` */
	OGL_ACT_HOSTS,      /* fetch the host list */
	OGL_ACT_WORKER,     /* POST the sync to the worker at addr */
	OGL_ACT_EXEC,       /* send the request to the executor at addr */
	OGL_ACT_LOG_LINE,   /* write `data` to the log with prefix `name` */
	OGL_ACT_EXIT        /* shutdown is complete */
};

enum ogl_log_level {
	OGL_LOG_ERROR,
	OGL_LOG_WARN,
	OGL_LOG_INFO,
	OGL_LOG_DEBUG
};

struct ogl_action {
	enum ogl_action_type type;
	uint64_t token;
	char *addr;          /* ip:port */
	char *name;          /* stream, prefix, team of an executor request */
	char *work_kind;     /* OGL_ACT_EXEC */
	GBytes *data;        /* body, record, packed message, log line */
	uint64_t from;       /* OGL_ACT_LOG_READ */
	uint32_t timeout_ms; /* then the result is OGL_IO_LOST */
	Ogl__WorkerSync *sync;
	uint32_t status; /* OGL_ACT_REPLY: HTTP status */
	enum ogl_verdict verdict;
	uint64_t retry_after_ms; /* 0: none */
	const char *content_type;
	enum ogl_log_level level;
	struct ogl_action *next;
};

void ogl_action_free(struct ogl_action *a);
/* Frees an action and its contents; NULL is allowed. */

/* A first in, first out list of actions. */
struct ogl_actions {
	struct ogl_action *head;
	struct ogl_action **tail;
	size_t n;
};

void ogl_actions_init(struct ogl_actions *q);

struct ogl_action *ogl_actions_new(
    struct ogl_actions *q, enum ogl_action_type type);
/* Appends a zeroed action of the type; q owns it until it is popped. */

struct ogl_action *ogl_actions_pop(struct ogl_actions *q);
/* Removes the oldest action, NULL when there is none; free it with
 * ogl_action_free. */

void ogl_actions_clear(struct ogl_actions *q);
/* Frees all actions in q, which may be used again. */

/* Start-up configuration of a node, from its settings file. */
struct ogl_node_config {
	const char *name;
	const char *addr; /* ip:port at which peers reach it */
	const char *zone;
	uint64_t boot;            /* id of this start, larger at each one */
	const char *const *seeds; /* addresses of some peers to join by */
	size_t nseeds;
	uint32_t shards;        /* number of shards, equal in the whole cell */
	char operator_hash[65]; /* hash of the first operator key */
	uint32_t lease_ms;      /* duration of worker leases */
	uint32_t sync_ms;       /* between syncs with one worker */
	uint32_t probe_ms;      /* between membership probes */
	uint32_t suspect_ms;    /* until a suspected host counts as dead */
	uint32_t commit_ms;     /* group commit delay */
	/* How long an owner may act after its last contact with the log,
	 * unless its successors allow it to act for longer, see late_claim_ms.
	 */
	uint32_t right_ms;
	uint32_t stale_ms; /* settings not confirmed for longer are stale */
	/* How long an owner may act after its last contact with the log while
	 * its named successors promise not to claim.  Any other node that
	 * claims waits this long before it takes over, since the old owner may
	 * act until then. */
	uint32_t late_claim_ms;
	uint32_t snapshot_records; /* records between snapshots */
	uint32_t snapshot_ms;      /* age that forces a snapshot */
	uint32_t id_keep_ms;       /* how long request ids are remembered */
	uint32_t exec_slots;       /* requests in flight per executor */
	/* Writes n unpredictable bytes for new keys; NULL: libsodium's. */
	void (*entropy)(void *out, size_t n);
};

void ogl_node_config_default(struct ogl_node_config *c);
/* Sets the numbers that have a default; everything else stays empty. */

struct ogl_node; /* all decision logic of one entry host */

struct ogl_node *ogl_node_init(const struct ogl_node_config *c, uint64_t seed,
    ogl_time now, GError **error);
/* Creates a node that has not joined a cell yet.  The config is copied.
 * Returns NULL with OGL_ERROR_INPUT when name, addr, zone or shards is missing.
 * Other numbers are not checked; daemon/config.c has their sensible ranges. */

void ogl_node_step(struct ogl_node *n, const struct ogl_event *ev, ogl_time now,
    struct ogl_actions *out);
/* Processes one event and appends the resulting actions to out.  Results of
 * actions may come in any order, late, or never.  Data from peers, workers, the
 * log and callers may be malformed in any way; the type and token of an event
 * are trusted.  Not reentrant. */

ogl_time ogl_node_next_wake(const struct ogl_node *n);
/* When to send the next OGL_EV_TIMER; ask again after each step.  If the time
 * is in the past, send it at once. */

void ogl_node_end(struct ogl_node *n);

bool ogl_node_ready(const struct ogl_node *n, ogl_time now);
/* Whether the load balancer may send callers to this node (/readyz). */

char *ogl_node_metrics(const struct ogl_node *n, ogl_time now);
/* Metrics in Prometheus text format; g_free. */

#ifdef __cplusplus
}
#endif

#endif
