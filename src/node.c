/*
 * A node: passes events to its parts and ticks them.  Each event goes to one
 * part, which is chosen by the event's type and the part number in its token;
 * then every part that is due is ticked.  The parts call each other through the
 * tables of functions below; none uses a socket or reads a clock.
 */

#include <sodium.h>
#include <stdlib.h>
#include <stdarg.h>
#include <string.h>

#include "node_impl.h"

enum {
	TOKEN_PART = 4, /* top byte of the tokens of host list fetches */
	HOSTS_INTERVAL_MS = 1000, /* time between fetches of the host list */
	HOSTS_TIMEOUT_MS = 1500,
	UNLISTED_KEEP_S = 600,   /* how long to keep unlisted workers */
	LOG_APPENDS_PER_S = 240, /* limit for all shards of a cell together */
	FULL_TICK_MS = 50,       /* time between ticks of all parts */
	SHUTDOWN_TIMEOUT_S = 10, /* time for others to claim our shards */
	LEFT_SENDS = 3
};

/* A message from one shard of this node to another. */
struct local_msg {
	uint32_t shard;
	GBytes *data;
};

void
ogl_node_config_default(struct ogl_node_config *c)
{
	memset(c, 0, sizeof *c);
	c->shards = 4;
	c->lease_ms = 6000;
	c->sync_ms = 1000;
	c->probe_ms = 400;
	c->suspect_ms = 1200;
	c->commit_ms = 20;
	c->right_ms = 1500;
	c->stale_ms = 3000;
	c->late_claim_ms = 600000;
	c->snapshot_records = 5000;
	c->snapshot_ms = 60000;
	c->id_keep_ms = 600000;
	c->exec_slots = 8;
}

void
ogl_node_log(struct ogl_node *n, const char *part, enum ogl_log_level level,
    const char *fmt, ...)
{
	struct ogl_action *a = ogl_actions_new(n->out, OGL_ACT_LOG_LINE);
	va_list ap;
	char *line;

	va_start(ap, fmt);
	line = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	a->level = level;
	a->name = g_strdup(part);
	a->data = g_bytes_new_take(line, strlen(line));
}

bool
ogl_node_settings_stale(const struct ogl_node *n, ogl_time now)
{
	return now - ogl_follow_fresh_as_of(n->follow, now) >
	       n->cfg.stale_ms * OGL_MS;
}

/* ---- functions that the parts call ------------------------------------ */

static void
shard_reply(void *ctx, uint32_t shard, uint64_t waiter, uint32_t status,
    enum ogl_verdict v, uint64_t retry_after_ms, GBytes *body)
{
	ogl_calls_answer_waiter(
	    ctx, shard, waiter, status, v, retry_after_ms, body);
}

static void
shard_dispatch(void *ctx, uint32_t shard, const char *id, const char *team,
    const char *work_kind, GBytes *body, uint64_t budget_ms, ogl_time now)
{
	(void)now;
	ogl_calls_dispatch(ctx, shard, id, team, work_kind, body, budget_ms);
}

/* Sends a message to a shard's owner.  If this node owns the shard, the
 * message is queued until all shards are ticked, so that no part is re-entered;
 * otherwise it goes to the owner's node, if one is known. */
static void
shard_send(void *ctx, uint32_t shard, Ogl__PeerMsg *msg)
{
	struct ogl_node *n = ctx;
	const struct ogl_owner *o = &n->owners[shard];
	const struct ogl_peer *p;
	struct local_msg *lm;
	uint8_t *buf;
	size_t len;

	if (ogl_shard_role(n->shards[shard]) == OGL_ROLE_OWNER) {
		msg->from = n->name;
		len = ogl__peer_msg__get_packed_size(msg);
		buf = g_malloc(len + 1);
		ogl__peer_msg__pack(msg, buf);
		lm = g_new0(struct local_msg, 1);
		lm->shard = shard;
		lm->data = g_bytes_new_take(buf, len);
		g_queue_push_tail(n->local_msgs, lm);
		return;
	}
	p = o->name != NULL ? ogl_member_find(n->member, o->name) : NULL;
	if (p != NULL)
		ogl_member_send(n->member, p->fact->addr, msg, n->out);
}

static const struct ogl_shard_ops shard_ops = {
    shard_reply, shard_dispatch, shard_send};

static void
follow_changed(void *ctx, ogl_time now)
{
	struct ogl_node *n = ctx;

	(void)now;
	n->settings_changed = true;
}

static void
follow_edited(void *ctx, uint64_t waiter, uint64_t version, const GError *error,
    ogl_time now)
{
	(void)now;
	ogl_calls_edit_done(ctx, waiter, version, error);
}

static const struct ogl_follow_ops follow_ops = {follow_changed, follow_edited};

static void
reqs_done(void *ctx, uint64_t cookie, uint32_t status, enum ogl_verdict v,
    uint64_t retry_after_ms, GBytes *body, ogl_time now)
{
	(void)now;
	ogl_calls_request_done(ctx, cookie, status, v, retry_after_ms, body);
}

static const struct ogl_reqs_ops reqs_ops = {reqs_done};

/* ---- init and end ----------------------------------------------------- */

static void
host_free(void *v)
{
	struct ogl_host *h = v;

	g_free(h->name);
	g_free(h->addr);
	g_free(h->zone);
	g_free(h->rack);
	g_free(h);
}

static void
sodium_entropy(void *out, size_t n)
{
	randombytes_buf(out, n);
}

static void
copy_config(struct ogl_node *n, const struct ogl_node_config *c)
{
	n->cfg = *c;
	n->name = g_strdup(c->name);
	n->addr = g_strdup(c->addr);
	n->zone = g_strdup(c->zone);
	n->seeds = g_new0(char *, c->nseeds + 1);
	for (size_t i = 0; i < c->nseeds; i++)
		n->seeds[i] = g_strdup(c->seeds[i]);
	n->cfg.name = n->name;
	n->cfg.addr = n->addr;
	n->cfg.zone = n->zone;
	n->cfg.seeds = (const char *const *)n->seeds;
	if (n->cfg.entropy == NULL)
		n->cfg.entropy = sodium_entropy;
	/* However many shards there are, their group commits together stay
	 * within the rate of appends that the platform's log accepts. */
	n->cfg.commit_ms =
	    MAX(n->cfg.commit_ms, n->cfg.shards * 1000 / LOG_APPENDS_PER_S);
}

static void
init_shards(struct ogl_node *n, ogl_time now)
{
	n->env.cfg = &n->cfg;
	n->env.settings = n->settings;
	n->env.member = n->member;
	n->env.hosts = n->hosts;
	n->env.counters = &n->counters;
	n->env.ops = &shard_ops;
	n->env.ctx = n;
	ogl_random_init(&n->env.rnd, ogl_random_next(&n->rnd));
	n->shards = g_new0(struct ogl_shard *, n->cfg.shards);
	n->owners = g_new0(struct ogl_owner, n->cfg.shards);
	for (uint32_t i = 0; i < n->cfg.shards; i++)
		n->shards[i] = ogl_shard_init(&n->env, i, now);
}

struct ogl_node *
ogl_node_init(const struct ogl_node_config *c, uint64_t seed, ogl_time now,
    GError **error)
{
	struct ogl_node *n;

	if (c->name == NULL || c->name[0] == '\0' || c->shards == 0 ||
	    c->addr == NULL || c->zone == NULL) {
		g_set_error(error, OGL_ERROR, OGL_ERROR_INPUT,
		    "a node needs a name, an address, a zone and a count of "
		    "shards");
		return NULL;
	}
	n = g_new0(struct ogl_node, 1);
	copy_config(n, c);
	ogl_random_init(&n->rnd, seed);
	n->started = now;
	n->settings = ogl_settings_init();
	n->member = ogl_member_init(&n->cfg, ogl_random_next(&n->rnd), now);
	n->follow = ogl_follow_init(
	    &n->cfg, n->settings, n->member, &n->counters, &follow_ops, n, now);
	n->reqs = ogl_reqs_init(&n->cfg, n->settings, &n->counters,
	    ogl_random_next(&n->rnd), &reqs_ops, n);
	n->hosts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, host_free);
	n->local_msgs = g_queue_new();
	n->key_texts =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	n->calls = ogl_calls_init(n);
	init_shards(n, now);
	return n;
}

static void
local_msg_free(void *v)
{
	struct local_msg *lm = v;

	g_bytes_unref(lm->data);
	g_free(lm);
}

void
ogl_node_end(struct ogl_node *n)
{
	struct ogl_actions dropped;

	if (n == NULL)
		return;
	/* Parts may still emit actions while they end; these are dropped. */
	ogl_actions_init(&dropped);
	n->out = &dropped;
	n->env.out = &dropped;
	for (uint32_t i = 0; i < n->cfg.shards; i++) {
		ogl_shard_end(n->shards[i]);
		g_free(n->owners[i].name);
	}
	g_free(n->shards);
	g_free(n->owners);
	ogl_calls_end(n->calls);
	ogl_reqs_end(n->reqs);
	ogl_follow_end(n->follow);
	ogl_member_end(n->member);
	ogl_settings_end(n->settings);
	g_hash_table_destroy(n->hosts);
	g_queue_free_full(n->local_msgs, local_msg_free);
	g_hash_table_destroy(n->key_texts);
	ogl_actions_clear(&dropped);
	g_free(n->name);
	g_free(n->addr);
	g_free(n->zone);
	g_strfreev(n->seeds);
	g_free(n);
}

/* ---- hosts ------------------------------------------------------------ */

static void
fetch_hosts(struct ogl_node *n)
{
	struct ogl_action *a;

	if (n->hosts_fetch_token != 0 &&
	    n->now - n->hosts_fetch_sent < 2 * HOSTS_TIMEOUT_MS * OGL_MS)
		return;
	if (n->now < n->next_hosts_fetch)
		return;
	a = ogl_actions_new(n->out, OGL_ACT_HOSTS);
	a->timeout_ms = HOSTS_TIMEOUT_MS;
	a->token =
	    (uint64_t)TOKEN_PART << 56 | ((uint64_t)n->now & 0xffffffffffff);
	n->hosts_fetch_token = a->token;
	n->hosts_fetch_sent = n->now;
	n->next_hosts_fetch = n->now + HOSTS_INTERVAL_MS * OGL_MS;
}

static void
set_string(char **to, const char *from)
{
	if (g_strcmp0(*to, from) == 0)
		return;
	g_free(*to);
	*to = g_strdup(from);
}

static void
update_host(struct ogl_node *n, const Ogl__Host *in)
{
	struct ogl_host *h = g_hash_table_lookup(n->hosts, in->name);

	if (h == NULL) {
		h = g_new0(struct ogl_host, 1);
		h->name = g_strdup(in->name);
		g_hash_table_insert(n->hosts, h->name, h);
	}
	set_string(&h->addr, in->addr);
	set_string(&h->zone, in->zone);
	set_string(&h->rack, in->rack);
	h->role = in->role;
	h->leaving = in->leaving;
	h->listed = true;
	h->listed_at = n->now;
	if (h->role == OGL__HOST_ROLE__executor)
		ogl_reqs_set_target(
		    n->reqs, h->name, h->addr, h->zone, h->leaving, n->now);
}

/* Returns whether a host is to be removed because the newest list lacks it.  An
 * executor gets no more requests from then on.  A worker is kept for a while,
 * since tasks may still hold leases there. */
static gboolean
remove_unlisted(gpointer key, gpointer value, gpointer ctx)
{
	struct ogl_node *n = ctx;
	struct ogl_host *h = value;

	(void)key;
	if (h->listed)
		return FALSE;
	if (h->role == OGL__HOST_ROLE__executor)
		ogl_reqs_remove_target(n->reqs, h->name);
	return h->role != OGL__HOST_ROLE__worker ||
	       n->now - h->listed_at > UNLISTED_KEEP_S * OGL_SEC;
}

static void
on_hosts(struct ogl_node *n, const struct ogl_event *ev)
{
	GHashTableIter it;
	void *v;

	if (ev->token != n->hosts_fetch_token)
		return;
	n->hosts_fetch_token = 0;
	if (ev->io != OGL_IO_OK || ev->u.hosts == NULL)
		return;
	n->hosts_at = n->now;
	g_hash_table_iter_init(&it, n->hosts);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct ogl_host *)v)->listed = false;
	for (size_t i = 0; i < ev->u.hosts->n_hosts; i++)
		update_host(n, ev->u.hosts->hosts[i]);
	g_hash_table_foreach_remove(n->hosts, remove_unlisted, n);
}

/* ---- owners ----------------------------------------------------------- */

static void
clear_owner(struct ogl_owner *o)
{
	g_free(o->name);
	memset(o, 0, sizeof *o);
}

static void
owners_from_peer(void *ctx, const struct ogl_peer *p)
{
	struct ogl_node *n = ctx;

	if (p->fact->state == OGL__MEMBER_FACT__STATE__dead ||
	    p->fact->state == OGL__MEMBER_FACT__STATE__left)
		return;
	for (size_t i = 0; i < p->fact->n_shards; i++) {
		const Ogl__ShardFact *f = p->fact->shards[i];
		struct ogl_owner *o;

		if (f->shard >= n->cfg.shards)
			continue;
		o = &n->owners[f->shard];
		if (o->name != NULL && o->epoch >= f->epoch)
			continue;
		clear_owner(o);
		o->name = g_strdup(p->fact->name);
		o->epoch = f->epoch;
		o->free_cpu_milli = f->free_cpu_milli;
		o->ready = f->ready;
		o->offered = f->offered;
	}
}

/* Finds each shard's owner, the member that reports the highest epoch. */
static void
find_owners(struct ogl_node *n)
{
	for (uint32_t i = 0; i < n->cfg.shards; i++)
		clear_owner(&n->owners[i]);
	ogl_member_each(n->member, owners_from_peer, n);
	for (uint32_t i = 0; i < n->cfg.shards; i++) {
		struct ogl_owner *o = &n->owners[i];

		ogl_shard_set_known_owner(
		    n->shards[i], o->name, o->epoch, o->offered);
		if (ogl_shard_role(n->shards[i]) == OGL_ROLE_OWNER &&
		    ogl_shard_epoch(n->shards[i]) > o->epoch) {
			Ogl__ShardFact f = OGL__SHARD_FACT__INIT;

			clear_owner(o);
			ogl_shard_fact(n->shards[i], &f);
			o->name = g_strdup(n->name);
			o->epoch = f.epoch;
			o->free_cpu_milli = f.free_cpu_milli;
			o->ready = f.ready;
		}
	}
}

/* Writes the shards that this node owns into its own fact.  Changes other
 * than of their load are gossiped. */
static void
update_own_fact(struct ogl_node *n)
{
	Ogl__MemberFact *own = ogl_member_own_fact(n->member);
	Ogl__ShardFact **list;
	size_t count = 0;
	bool changed = false;

	list = calloc(n->cfg.shards + 1, sizeof(void *));
	for (uint32_t i = 0; i < n->cfg.shards; i++) {
		if (ogl_shard_role(n->shards[i]) != OGL_ROLE_OWNER)
			continue;
		list[count] = malloc(sizeof **list);
		ogl__shard_fact__init(list[count]);
		ogl_shard_fact(n->shards[i], list[count]);
		if (count >= own->n_shards ||
		    own->shards[count]->epoch != list[count]->epoch ||
		    own->shards[count]->ready != list[count]->ready ||
		    own->shards[count]->offered != list[count]->offered)
			changed = true;
		count++;
	}
	changed = changed || count != own->n_shards;
	for (size_t i = 0; i < own->n_shards; i++)
		ogl__shard_fact__free_unpacked(own->shards[i], NULL);
	free(own->shards);
	own->shards = list;
	own->n_shards = count;
	if (changed)
		ogl_member_changed(n->member);
}

/* ---- peers ------------------------------------------------------------ */

static void
on_escrow_msg(struct ogl_node *n, const Ogl__PeerMsg *msg)
{
	uint32_t shard;
	uint64_t h;

	if (msg->body_case == OGL__PEER_MSG__BODY_ALLOT_GIVE) {
		shard = msg->allot_give->shard;
	} else {
		h = ogl_random_hash(
		    msg->allot_ask->team, strlen(msg->allot_ask->team));
		shard = (uint32_t)(h % n->cfg.shards);
	}
	if (shard < n->cfg.shards)
		ogl_shard_escrow(n->shards[shard], msg, n->now);
}

static void
on_peer(struct ogl_node *n, const struct ogl_event *ev)
{
	Ogl__PeerMsg *msg = ogl__peer_msg__unpack(
	    NULL, ev->u.peer.data.n, (const uint8_t *)ev->u.peer.data.p);
	struct ogl_peer *from;

	if (msg == NULL)
		return;
	from = ogl_member_receive(n->member, msg, n->now, n->out);
	if (from == NULL)
		goto out;
	switch (msg->body_case) {
	case OGL__PEER_MSG__BODY_FORWARD:
		ogl_calls_forward(n, from, msg->forward);
		break;
	case OGL__PEER_MSG__BODY_FORWARD_REPLY:
		ogl_calls_forward_reply(n, from, msg->forward_reply);
		break;
	case OGL__PEER_MSG__BODY_PROMISE:
		if (msg->promise->shard < n->cfg.shards)
			ogl_shard_promise(n->shards[msg->promise->shard],
			    msg->from, msg->promise, n->now);
		break;
	case OGL__PEER_MSG__BODY_ALLOT_ASK:
	case OGL__PEER_MSG__BODY_ALLOT_GIVE:
		on_escrow_msg(n, msg);
		break;
	case OGL__PEER_MSG__BODY_SETTINGS_NEWS:
		ogl_follow_settings_news(
		    n->follow, from, msg->settings_news, n->now, n->out);
		break;
	default:
		break;
	}
out:
	ogl__peer_msg__free_unpacked(msg, NULL);
}

static void
deliver_local_msgs(struct ogl_node *n)
{
	struct local_msg *lm;

	while ((lm = g_queue_pop_head(n->local_msgs)) != NULL) {
		gsize len;
		const uint8_t *p = g_bytes_get_data(lm->data, &len);
		Ogl__PeerMsg *msg = ogl__peer_msg__unpack(NULL, len, p);

		ogl_shard_escrow(n->shards[lm->shard], msg, n->now);
		ogl__peer_msg__free_unpacked(msg, NULL);
		local_msg_free(lm);
	}
}

/* ---- shutdown --------------------------------------------------------- */

static void
announce_left(void *ctx, const struct ogl_peer *p)
{
	struct ogl_node *n = ctx;
	Ogl__PeerMsg msg = OGL__PEER_MSG__INIT;

	if (p->fact->state == OGL__MEMBER_FACT__STATE__alive)
		ogl_member_send(n->member, p->fact->addr, &msg, n->out);
}

static void
begin_shutdown(struct ogl_node *n)
{
	if (n->stopping)
		return;
	n->stopping = true;
	n->stop_began = n->now;
	ogl_member_own_fact(n->member)->state = OGL__MEMBER_FACT__STATE__left;
	ogl_member_changed(n->member);
	for (uint32_t i = 0; i < n->cfg.shards; i++)
		ogl_shard_stop(n->shards[i], n->now);
	update_own_fact(n);
	ogl_member_each(n->member, announce_left, n);
	ogl_node_log(n, "node", OGL_LOG_INFO, "shutdown begins");
}

static bool
owns_nothing(const struct ogl_node *n)
{
	for (uint32_t i = 0; i < n->cfg.shards; i++) {
		if (ogl_shard_role(n->shards[i]) != OGL_ROLE_NONE)
			return false;
	}
	return true;
}

static void
count_alive(void *ctx, const struct ogl_peer *p)
{
	if (p->fact->state == OGL__MEMBER_FACT__STATE__alive)
		++*(size_t *)ctx;
}

/* Ends the shutdown when no call is open and this node owns no shard any more.
 * It also ends when no other node is alive or the shards are not claimed in
 * time, since all that must be kept is in the log. */
static void
check_stop(struct ogl_node *n)
{
	size_t others = 0;
	bool idle =
	    ogl_calls_open_count(n) == 0 && ogl_reqs_open_count(n->reqs) == 0;
	bool timed_out = n->now - n->stop_began >= SHUTDOWN_TIMEOUT_S * OGL_SEC;

	if (!n->stopping || n->exited || !idle)
		return;
	ogl_member_each(n->member, count_alive, &others);
	if (!owns_nothing(n) && others > 0 && !timed_out)
		return;
	n->exited = true;
	ogl_member_each(n->member, announce_left, n);
	ogl_node_log(n, "node", OGL_LOG_INFO, "shutdown is complete");
	ogl_actions_new(n->out, OGL_ACT_EXIT);
}

/* ---- one step --------------------------------------------------------- */

static void
on_event(struct ogl_node *n, const struct ogl_event *ev)
{
	int64_t shard;

	switch (ev->type) {
	case OGL_EV_CALL:
		ogl_calls_handle(n, ev);
		break;
	case OGL_EV_CALLER_GONE:
		ogl_calls_caller_gone(n, ev->token);
		break;
	case OGL_EV_PEER:
		on_peer(n, ev);
		break;
	case OGL_EV_HOSTS:
		on_hosts(n, ev);
		break;
	case OGL_EV_EXEC:
		if (ogl_reqs_is_token(ev->token))
			ogl_reqs_event(n->reqs, ev, n->now);
		break;
	case OGL_EV_LOG_APPENDED:
	case OGL_EV_LOG_READ:
	case OGL_EV_WORKER:
		shard = ogl_shard_of_token(ev->token);
		if (shard >= 0 && shard < n->cfg.shards)
			ogl_shard_event(n->shards[shard], ev, n->now);
		else if (ogl_follow_is_token(ev->token))
			ogl_follow_event(n->follow, ev, n->now);
		break;
	case OGL_EV_STOP:
		begin_shutdown(n);
		break;
	case OGL_EV_TIMER:
	default:
		break;
	}
}

static void
apply_settings(struct ogl_node *n)
{
	if (!n->settings_changed)
		return;
	n->settings_changed = false;
	ogl_reqs_apply_settings(n->reqs);
	for (uint32_t i = 0; i < n->cfg.shards; i++)
		ogl_shard_settings(n->shards[i], n->now);
}

static void
full_tick(struct ogl_node *n)
{
	if (n->now < n->next_full_tick)
		return;
	n->next_full_tick = n->now + FULL_TICK_MS * OGL_MS;
	update_own_fact(n);
	find_owners(n);
	fetch_hosts(n);
}

/* Counts the appends and peer messages in the action list that begins at a. */
static void
count_actions(struct ogl_node *n, const struct ogl_action *a)
{
	for (; a != NULL; a = a->next) {
		if (a->type == OGL_ACT_LOG_APPEND)
			n->counters.log_appends++;
		if (a->type != OGL_ACT_PEER)
			continue;
		n->counters.peer_msgs++;
		n->counters.peer_bytes += g_bytes_get_size(a->data);
	}
}

void
ogl_node_step(struct ogl_node *n, const struct ogl_event *ev, ogl_time now,
    struct ogl_actions *out)
{
	struct ogl_action **first = out->tail;

	n->now = MAX(n->now, now);
	n->out = out;
	n->env.out = out;
	on_event(n, ev);
	full_tick(n);
	ogl_follow_tick(n->follow, n->now, out);
	apply_settings(n);
	/* In the step of a full tick, all shards are ticked. */
	for (uint32_t i = 0; i < n->cfg.shards; i++) {
		if (n->next_full_tick == n->now + FULL_TICK_MS * OGL_MS ||
		    ogl_shard_next(n->shards[i]) <= n->now)
			ogl_shard_tick(n->shards[i], n->now);
	}
	deliver_local_msgs(n);
	ogl_member_tick(n->member, n->now, out);
	ogl_calls_tick(n);
	ogl_reqs_tick(n->reqs, n->now, out);
	check_stop(n);
	count_actions(n, *first);
}

ogl_time
ogl_node_next_wake(const struct ogl_node *n)
{
	ogl_time t = MIN(n->next_full_tick, ogl_member_next(n->member));

	t = MIN(t, ogl_follow_next(n->follow));
	t = MIN(t, ogl_reqs_next(n->reqs));
	t = MIN(t, ogl_calls_next(n));
	for (uint32_t i = 0; i < n->cfg.shards; i++)
		t = MIN(t, ogl_shard_next(n->shards[i]));
	return t;
}

bool
ogl_node_ready(const struct ogl_node *n, ogl_time now)
{
	return !n->stopping && n->hosts_at != 0 &&
	       !ogl_node_settings_stale(n, now);
}

char *
ogl_node_metrics(const struct ogl_node *n, ogl_time now)
{
	GString *s = g_string_new(NULL);
	uint64_t owned = 0;

	for (uint32_t i = 0; i < n->cfg.shards; i++)
		owned += ogl_shard_role(n->shards[i]) == OGL_ROLE_OWNER;
	ogl_metrics_append_counters(&n->counters, s);
	ogl_metrics_append_gauge(
	    s, "ready", "whether callers may come", ogl_node_ready(n, now));
	ogl_metrics_append_gauge(s, "shards_owned", "shards owned", owned);
	ogl_metrics_append_gauge(s, "settings_version", "settings in force",
	    ogl_settings_version(n->settings));
	ogl_metrics_append_gauge(s, "settings_age_ms",
	    "since the settings were known to be current",
	    (uint64_t)((now - ogl_follow_fresh_as_of(n->follow, now)) /
		       OGL_MS));
	ogl_metrics_append_gauge(s, "requests_waiting",
	    "short requests waiting", ogl_reqs_queued_count(n->reqs));
	ogl_metrics_append_gauge(s, "requests_live",
	    "short requests not answered", ogl_reqs_open_count(n->reqs));
	ogl_metrics_append_gauge(
	    s, "calls_live", "calls not answered", ogl_calls_open_count(n));
	return g_string_free(s, FALSE);
}
