/*
 * A simulated cluster in one thread: several nodes (struct ogl_node) with a
 * fake log, fake workers and fake executors, driven by one heap of events in
 * virtual time.  All random choices derive from the seed, so that the same
 * seed gives the same history, byte for byte.
 */

#ifndef FAKE_CLUSTER_H
#define FAKE_CLUSTER_H

#include "fake_exec.h"
#include "fake_log.h"
#include "fake_worker.h"
#include "orioleglade.h"

#ifdef __cplusplus
extern "C" {
#endif

#include "random.h"

#define FAKE_CLUSTER_MAX_EACH 16 /* of nodes, workers and executors, each */

struct fake_cluster;
struct ogl_history;

struct fake_cluster_config {
	uint64_t seed;
	uint32_t nodes;
	uint32_t workers;
	uint32_t execs;
	uint32_t shards;
	uint32_t zones;
	struct ogl_res capacity; /* of each worker */
	/* Adjusts a node's configuration before it starts; may be NULL. */
	void (*tune)(struct ogl_node_config *c);
};

/* Kinds of endpoint that a node may be cut off from; an index tells which
 * one of the kind. */
enum fake_endpoint {
	FAKE_NODE,
	FAKE_LOG,
	FAKE_HOSTS,
	FAKE_WORKER,
	FAKE_EXEC
};

/* Faults of the network; may be changed between calls. */
struct fake_net {
	/* Messages between nodes; late ones are delayed by up to
	 * peer_delay_max and thus reordered. */
	uint32_t peer_lost_per_mille;
	uint32_t peer_doubled_per_mille;
	uint32_t peer_late_per_mille;
	/* Syncs that do not reach the worker. */
	uint32_t sync_lost_per_mille;
	/* Answers of workers. */
	uint32_t report_lost_per_mille;
	/* Answers to appends that took effect. */
	uint32_t append_lost_per_mille;
	/* Answers of executors. */
	uint32_t request_lost_per_mille;
	ogl_time peer_delay_max; /* longest extra delay of a peer message */
	ogl_time hosts_lag;      /* until the host list shows a change */
};

/* Safety checks that are disabled, to test that a run fails without them. */
struct fake_disabled_guards {
	bool epoch_check;  /* workers accept syncs of any epoch */
	bool start_expiry; /* start commands never expire */
	bool lease_expiry; /* workers' leases last 100 times as long */
};

/* One call and its result. */
struct fake_call {
	uint32_t node;
	char *method;
	char *path;
	char *id;   /* request id, may be empty */
	char *body; /* as sent */
	char *team; /* as given to fake_cluster_call */
	bool idempotent;
	ogl_time asked_at;
	bool arrived; /* delivered to the node */
	bool done;
	bool disconnected; /* the node's process ended before it answered */
	ogl_time answered_at;
	uint32_t status;
	enum ogl_verdict verdict;
	uint64_t retry_after_ms;
	char *answer; /* zero-terminated */
};

/* A call to send. */
struct fake_call_spec {
	const char *method;
	const char *path;
	const char *key;
	const char *team; /* owner of the key, for the checks; may be NULL */
	const char *id;   /* may be NULL */
	const char *body; /* may be NULL */
	bool idempotent;
	uint64_t budget_ms;
};

struct fake_cluster *fake_cluster_init(const struct fake_cluster_config *cfg);
void fake_cluster_end(struct fake_cluster *c);

ogl_time fake_cluster_now(const struct fake_cluster *c);
void fake_cluster_run(struct fake_cluster *c, ogl_time length);
/* Advances the virtual time by length. */
bool fake_cluster_run_until(struct fake_cluster *c,
    bool (*fn)(struct fake_cluster *c, void *ctx), void *ctx, ogl_time limit);
/* Advances the virtual time until fn returns true, but by at most limit.
 * Returns whether fn did. */

void fake_cluster_schedule_at(struct fake_cluster *c, ogl_time at,
    void (*fn)(struct fake_cluster *c, void *ctx), void *ctx);
/* Calls fn once at the virtual time `at`. */

/* ---- nodes ------------------------------------------------------------ */

bool fake_cluster_alive(const struct fake_cluster *c, uint32_t node);
struct ogl_node *fake_cluster_node(struct fake_cluster *c, uint32_t node);
void fake_cluster_kill(struct fake_cluster *c, uint32_t node);
void fake_cluster_start(
    struct fake_cluster *c, uint32_t node, const char *name);
/* Starts a process if none runs there: with a NULL name the previous node
 * under a higher boot number, otherwise a new node of that name at the same
 * address. */
void fake_cluster_stop(struct fake_cluster *c, uint32_t node);
/* Asks the node to shut down gracefully. */

void fake_cluster_pause(struct fake_cluster *c, uint32_t node, ogl_time length);
/* Suspends the node's process for length. */
void fake_cluster_pause_at_action(struct fake_cluster *c, uint32_t node,
    enum ogl_action_type type, ogl_time length);
/* Pauses the node in the step that produces the next action of this type.
 * This action and all that follow it are sent when the pause ends. */

int32_t fake_cluster_owner(const struct fake_cluster *c, uint32_t shard);
/* Among the nodes that consider themselves owner of the shard, the one with
 * the highest epoch; -1 if there is none. */
char *fake_cluster_metric(
    struct fake_cluster *c, uint32_t node, const char *name);
/* The value, as text, of the first metric whose name ends with this; NULL if
 * there is none; g_free. */

/* ---- workers, executors, log, network --------------------------------- */

struct fake_net *fake_cluster_net(struct fake_cluster *c);
struct ogl_history *fake_cluster_history(struct fake_cluster *c);
void fake_cluster_restart_worker(struct fake_cluster *c, uint32_t w);
struct fake_disabled_guards *fake_cluster_disabled_guards(
    struct fake_cluster *c);
struct fake_log *fake_cluster_log(struct fake_cluster *c);
struct fake_worker *fake_cluster_worker(struct fake_cluster *c, uint32_t w);
struct fake_exec *fake_cluster_exec(struct fake_cluster *c, uint32_t e);
struct ogl_random *fake_cluster_random(struct fake_cluster *c);
void fake_cluster_cut(struct fake_cluster *c, uint32_t node,
    enum fake_endpoint side, uint32_t index, bool cut);
void fake_cluster_heal(struct fake_cluster *c);
/* Ends every cut, outage, loss and fault.  Nodes that are down stay down. */

void fake_cluster_set_leaving(struct fake_cluster *c, enum fake_endpoint side,
    uint32_t index, bool leaving);
/* Marks a worker or executor as leaving on the host list, which shows it
 * after hosts_lag. */

/* ---- callers ---------------------------------------------------------- */

uint32_t fake_cluster_call(
    struct fake_cluster *c, uint32_t node, const struct fake_call_spec *ask);
/* Sends a call and returns its number. */
const struct fake_call *fake_cluster_get_call(
    const struct fake_cluster *c, uint32_t call);
/* The call of this number, answered or not. */
uint32_t fake_cluster_call_count(const struct fake_cluster *c);
/* Number of calls sent so far. */
const struct fake_call *fake_cluster_call_wait(
    struct fake_cluster *c, uint32_t node, const struct fake_call_spec *ask);
/* Sends a call and waits up to 30 s for its answer. */

const char *fake_cluster_operator_key(const struct fake_cluster *c);
/* The key of the first operator. */

bool fake_cluster_edit_setting(
    struct fake_cluster *c, uint32_t node, const char *path, const char *value);
/* Sets one path of the settings tree; returns whether it was accepted. */

char *fake_cluster_create_key(
    struct fake_cluster *c, uint32_t node, const char *team, char **id);
/* Creates a key for the team; g_free.  *id is set to the key's id, also to be
 * freed, unless id is NULL. */

char *fake_cluster_field(const char *json, const char *name);
/* The value of a field of a JSON object as text, NULL if it has no such
 * field; g_free. */

/* ---- observations ----------------------------------------------------- */

uint64_t fake_cluster_run_count(const struct fake_cluster *c, const char *body);
/* How often executors ran a request with this body. */

uint32_t fake_cluster_start_count(
    const struct fake_cluster *c, const char *task);
/* How often the task was started, on all workers. */

uint32_t fake_cluster_reruns(const struct fake_cluster *c, const char *task);
/* Starts after the first one, except those from a checkpoint. */

bool fake_cluster_succeeded(const struct fake_cluster *c, const char *task);
uint32_t fake_cluster_running(const struct fake_cluster *c, const char *task);
uint32_t fake_cluster_team_running(
    const struct fake_cluster *c, const char *team);
uint32_t fake_cluster_team_peak(struct fake_cluster *c, const char *team);
/* Most tasks of the team that ran at the same time since the last call of
 * this function. */

void fake_cluster_expect_limit(
    struct fake_cluster *c, const char *team, uint32_t limit);
/* From now on, reports a violation when the team runs more than limit tasks. */

void fake_cluster_check_answers(struct fake_cluster *c);
/* Compares the answer of every call with what ran; for the end of a run. */

void fake_cluster_note(struct fake_cluster *c, const char *what);
/* Adds a line to the trace. */

void fake_cluster_report_violation(struct fake_cluster *c, const char *fmt, ...)
    G_GNUC_PRINTF(2, 3);
/* Reports a broken invariant. */

const char *fake_cluster_violations(const struct fake_cluster *c);
/* Violations so far, one a line; empty if there are none. */

const char *fake_cluster_trace(const struct fake_cluster *c);
/* The trace so far, one event a line. */

char *fake_cluster_trace_tail(const struct fake_cluster *c, size_t lines);
/* The last lines of the trace; g_free. */

#ifdef __cplusplus
}
#endif

#endif
