/*
 * A whole cell in one test loop: several nodes (struct ogl_node) and the
 * fakes of log, workers and executors, stepped by one heap of events in
 * virtual time.  Nothing in it is random but by its seed, so one seed gives
 * one history, byte for byte.
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

#define FAKE_CLUSTER_MAX_EACH 16 /* nodes, workers, executors each */

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
	/* Changes the nodes' settings before they start; may be NULL. */
	void (*tune)(struct ogl_node_config *c);
};

/* What a node may be cut off from; `index` names which of the kind. */
enum fake_endpoint {
	FAKE_NODE,
	FAKE_LOG,
	FAKE_HOSTS,
	FAKE_WORKER,
	FAKE_EXEC
};

/* How messages fare, in thousandths; may be changed between calls. */
struct fake_net {
	uint32_t peer_lost;
	uint32_t peer_doubled;
	uint32_t peer_late; /* delayed by up to `late`, hence reordered */
	uint32_t sync_lost; /* before it reaches the worker */
	uint32_t report_lost;
	uint32_t append_lost;  /* answers of appends that took effect */
	uint32_t request_lost; /* answers of executors */
	ogl_time late;
	ogl_time hosts_lag; /* of the host list */
};

/* Guards of the cell switched off, to see a run fail without them. */
struct fake_unguarded {
	bool epochs; /* workers obey every owner */
	bool starts; /* start commands are good for ever */
	bool leases; /* workers' leases last a hundred times as long */
};

/* One caller's call and what became of it. */
struct fake_call {
	uint32_t node;
	char *method;
	char *path;
	char *id;   /* request id, may be empty */
	char *body; /* as sent */
	char *team; /* told by the caller of fake_cluster_call */
	bool idempotent;
	ogl_time asked;
	bool arrived; /* the node has taken it */
	bool done;
	bool cut; /* the node was gone before it answered */
	ogl_time answered;
	uint32_t status;
	enum ogl_verdict verdict;
	uint64_t retry_after_ms;
	char *answer; /* zero-ended */
};

/* What a caller sends. */
struct fake_ask {
	const char *method;
	const char *path;
	const char *key;
	const char *team; /* whose key it is, for the checks; may be NULL */
	const char *id;   /* may be NULL */
	const char *body; /* may be NULL */
	bool idempotent;
	uint64_t budget_ms;
};

struct fake_cluster *fake_cluster_init(const struct fake_cluster_config *cfg);
void fake_cluster_end(struct fake_cluster *c);

ogl_time fake_cluster_now(const struct fake_cluster *c);
void fake_cluster_run(struct fake_cluster *c, ogl_time length);
/* Lets so much time pass. */
bool fake_cluster_run_until(struct fake_cluster *c,
    bool (*fn)(struct fake_cluster *c, void *ctx), void *ctx, ogl_time most);
/* Lets time pass until fn holds, at most so long; whether it came to hold. */

void fake_cluster_at(struct fake_cluster *c, ogl_time at,
    void (*fn)(struct fake_cluster *c, void *ctx), void *ctx);
/* Has fn called at a time to come. */

/* ---- nodes ------------------------------------------------------------ */

bool fake_cluster_alive(const struct fake_cluster *c, uint32_t node);
struct ogl_node *fake_cluster_node(struct fake_cluster *c, uint32_t node);
void fake_cluster_kill(struct fake_cluster *c, uint32_t node);
void fake_cluster_start(
    struct fake_cluster *c, uint32_t node, const char *name);
/* Starts a process where none is: the node of before under a higher boot, or
 * with a name a new node at the same address. */
void fake_cluster_stop(struct fake_cluster *c, uint32_t node);
/* Asks it to shut down gracefully. */
void fake_cluster_pause(struct fake_cluster *c, uint32_t node, ogl_time length);
void fake_cluster_pause_sending(struct fake_cluster *c, uint32_t node,
    enum ogl_action_type type, ogl_time length);
/* Pauses it in the step that decides on the next such action, before it is
 * sent; then it and all after it leave when the pause ends. */
int32_t fake_cluster_owner(const struct fake_cluster *c, uint32_t shard);
/* The node that itself says to own the shard at the highest epoch, -1 when
 * none does. */
char *fake_cluster_metric(
    struct fake_cluster *c, uint32_t node, const char *name);
/* A counter's text, NULL when there is none; g_free. */

/* ---- world ------------------------------------------------------------ */

struct fake_net *fake_cluster_net(struct fake_cluster *c);
struct ogl_history *fake_cluster_history(struct fake_cluster *c);
void fake_cluster_restart_worker(struct fake_cluster *c, uint32_t w);
struct fake_unguarded *fake_cluster_unguarded(struct fake_cluster *c);
struct fake_log *fake_cluster_log(struct fake_cluster *c);
struct fake_worker *fake_cluster_worker(struct fake_cluster *c, uint32_t w);
struct fake_exec *fake_cluster_exec(struct fake_cluster *c, uint32_t e);
struct ogl_random *fake_cluster_random(struct fake_cluster *c);
void fake_cluster_cut(struct fake_cluster *c, uint32_t node,
    enum fake_endpoint side, uint32_t index, bool cut);
void fake_cluster_heal(struct fake_cluster *c);
/* Ends every cut, outage, loss and fault; what is dead stays dead. */
void fake_cluster_leaving(struct fake_cluster *c, enum fake_endpoint side,
    uint32_t index, bool leaving);
/* Marks a worker or executor as leaving on the host list, in its lag. */

/* ---- callers ---------------------------------------------------------- */

uint32_t fake_cluster_call(
    struct fake_cluster *c, uint32_t node, const struct fake_ask *ask);
/* Sends a call and gives its number. */
const struct fake_call *fake_cluster_answer(
    const struct fake_cluster *c, uint32_t call);
uint32_t fake_cluster_calls(const struct fake_cluster *c);
const struct fake_call *fake_cluster_ask(
    struct fake_cluster *c, uint32_t node, const struct fake_ask *ask);
/* Sends a call and waits for its answer. */

const char *fake_cluster_operator(const struct fake_cluster *c);
/* The first operator's key. */
bool fake_cluster_set(
    struct fake_cluster *c, uint32_t node, const char *path, const char *value);
/* Sets one path of the settings tree; whether it was accepted. */
char *fake_cluster_key(
    struct fake_cluster *c, uint32_t node, const char *team, char **id);
/* Makes a key; g_free. */
char *fake_cluster_field(const char *json, const char *name);
/* The text of a field of a JSON object, NULL when it has none; g_free. */

/* ---- what was seen ---------------------------------------------------- */

uint64_t fake_cluster_ran(const struct fake_cluster *c, const char *body);
/* How often executors ran this body. */
uint32_t fake_cluster_starts(const struct fake_cluster *c, const char *task);
uint32_t fake_cluster_again(const struct fake_cluster *c, const char *task);
/* Starts after the first, but from a checkpoint. */
bool fake_cluster_succeeded(const struct fake_cluster *c, const char *task);
uint32_t fake_cluster_running(const struct fake_cluster *c, const char *task);
uint32_t fake_cluster_team_running(
    const struct fake_cluster *c, const char *team);
uint32_t fake_cluster_team_most(struct fake_cluster *c, const char *team);
/* Most tasks of the team that ran at once since the last such question. */

void fake_cluster_limit(
    struct fake_cluster *c, const char *team, uint32_t most);
/* From now on the checks hold the team to this limit. */
void fake_cluster_check(struct fake_cluster *c);
/* Holds every call against what ran; for the end of a run. */

void fake_cluster_note(struct fake_cluster *c, const char *what);
/* Puts a line into the history. */
void fake_cluster_fault(struct fake_cluster *c, const char *fmt, ...)
    G_GNUC_PRINTF(2, 3);
/* A rule was broken. */

const char *fake_cluster_faults(const struct fake_cluster *c);
/* What broke a rule so far, a line each; empty when nothing did. */
const char *fake_cluster_trace(const struct fake_cluster *c);
/* The history so far, a line an event. */
char *fake_cluster_tail(const struct fake_cluster *c, size_t lines);
/* The end of the history; g_free. */

#ifdef __cplusplus
}
#endif

#endif
