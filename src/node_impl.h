/* Internals of a node, included by node.c, calls.c and opcalls.c only. */

#ifndef OGL_NODE_IMPL_H
#define OGL_NODE_IMPL_H

#include "follow.h"
#include "message.h"
#include "member.h"
#include "metrics.h"
#include "reqs.h"
#include "shard.h"

/* The owner of a shard, as known from the members' facts. */
struct ogl_owner {
	char *name; /* NULL: no owner is known */
	uint64_t epoch;
	uint64_t free_cpu_milli; /* thousandths of a processor */
	bool ready;              /* it knows which tasks run */
	bool offered;            /* it wants another node to claim the shard */
};

struct ogl_calls;

struct ogl_node {
	struct ogl_node_config cfg;
	char *name, *addr, *zone;
	char **seeds;
	struct ogl_settings *settings;
	struct ogl_member *member;
	struct ogl_follow *follow;
	struct ogl_reqs *reqs;
	struct ogl_calls *calls;
	struct ogl_counters counters;
	struct ogl_shard_env env;
	struct ogl_shard **shards;
	struct ogl_owner *owners;
	GHashTable *hosts; /* name -> struct ogl_host */
	struct ogl_random rnd;
	ogl_time started;
	ogl_time now;            /* time of the present step */
	struct ogl_actions *out; /* receives the present step's actions */
	ogl_time next_hosts_fetch;
	uint64_t hosts_fetch_token; /* 0: no fetch is under way */
	ogl_time hosts_fetch_sent;
	ogl_time hosts_at; /* when the newest list was received */
	ogl_time next_full_tick;
	bool settings_changed;
	bool stopping;
	ogl_time stop_began;
	bool exited;
	GQueue *local_msgs; /* struct local_msg, between shards of this node */
	GHashTable *key_texts; /* waiter -> new key, until its edit applies */
};

void ogl_node_log(struct ogl_node *n, const char *part,
    enum ogl_log_level level, const char *fmt, ...) G_GNUC_PRINTF(4, 5);
bool ogl_node_settings_stale(const struct ogl_node *n, ogl_time now);
/* Whether the settings were last known to be current more than stale_ms ago. */

/* ---- calls.c: calls from callers and from other nodes ----------------- */

struct ogl_calls *ogl_calls_init(struct ogl_node *n);
void ogl_calls_end(struct ogl_calls *c);
void ogl_calls_handle(struct ogl_node *n, const struct ogl_event *ev);
void ogl_calls_caller_gone(struct ogl_node *n, uint64_t token);
void ogl_calls_tick(struct ogl_node *n);
size_t ogl_calls_open_count(const struct ogl_node *n);
ogl_time ogl_calls_next(const struct ogl_node *n);

void ogl_calls_answer_waiter(struct ogl_node *n, uint32_t shard,
    uint64_t waiter, uint32_t status, enum ogl_verdict v,
    uint64_t retry_after_ms, GBytes *body);
/* Passes a local shard's answer on to the call with this waiter number, or to
 * the peer that forwarded the call. */
void ogl_calls_forward(
    struct ogl_node *n, const struct ogl_peer *from, const Ogl__Forward *f);
void ogl_calls_forward_reply(struct ogl_node *n, const struct ogl_peer *from,
    const Ogl__ForwardReply *r);
void ogl_calls_request_done(struct ogl_node *n, uint64_t cookie,
    uint32_t status, enum ogl_verdict v, uint64_t retry_after_ms, GBytes *body);
void ogl_calls_dispatch(struct ogl_node *n, uint32_t shard, const char *id,
    const char *team, const char *work_kind, GBytes *body, uint64_t budget_ms);
void ogl_calls_edit_done(
    struct ogl_node *n, uint64_t waiter, uint64_t version, const GError *error);

/* ---- opcalls.c: operators' calls -------------------------------------- */

/* The answer to an operator's call; the function's caller frees body. */
struct ogl_op_reply {
	uint32_t status;
	enum ogl_verdict verdict;
	uint64_t retry_after_ms;
	char *body;
};

typedef void (*ogl_op_fn)(struct ogl_node *n, const struct ogl_event *ev,
    const char *arg, uint64_t waiter, struct ogl_op_reply *r);
/* Fills in r, or leaves status 0 if ogl_calls_edit_done will answer later. */

void ogl_op_settings_get(struct ogl_node *n, const struct ogl_event *ev,
    const char *arg, uint64_t waiter, struct ogl_op_reply *r);
void ogl_op_settings_edit(struct ogl_node *n, const struct ogl_event *ev,
    const char *arg, uint64_t waiter, struct ogl_op_reply *r);
void ogl_op_key_create(struct ogl_node *n, const struct ogl_event *ev,
    const char *arg, uint64_t waiter, struct ogl_op_reply *r);
void ogl_op_key_withdraw(struct ogl_node *n, const struct ogl_event *ev,
    const char *arg, uint64_t waiter, struct ogl_op_reply *r);
void ogl_op_audit(struct ogl_node *n, const struct ogl_event *ev,
    const char *arg, uint64_t waiter, struct ogl_op_reply *r);
void ogl_op_hosts(struct ogl_node *n, const struct ogl_event *ev,
    const char *arg, uint64_t waiter, struct ogl_op_reply *r);
void ogl_op_members(struct ogl_node *n, const struct ogl_event *ev,
    const char *arg, uint64_t waiter, struct ogl_op_reply *r);
void ogl_op_status(struct ogl_node *n, const struct ogl_event *ev,
    const char *arg, uint64_t waiter, struct ogl_op_reply *r);
char *ogl_op_take_key_text(struct ogl_node *n, uint64_t waiter);
/* Returns the key made for this waiter and forgets it; NULL if there is none.
 * The caller frees it with g_free. */

#endif
