/*
 * Pings and pongs between the nodes, and what they tell.
 *
 * A node pings the owner of its preferred shard, and owners of other shards
 * while it has calls for them.  When no pong comes, it closes the connection and
 * opens a new one.  As long as the first owner answers, the node is quiet: the
 * pongs tell it who the other owners are and that its settings are the newest,
 * so that neither the store nor the owners hear from each node for each shard.
 *
 * Pings tell an owner which nodes could succeed it, and which ones ask the
 * advice service and call workers for it.
 */

#include <string.h>

#include "node_impl.h"

/* An owner resigns in favour of a node whose strength is higher by this factor
 * and that has pinged it for this time. */
#define STRONGER_FACTOR 1.7
#define STRONGER_TIME (2500 * OGL_MS)
#define PING_INTERVAL (250 * OGL_MS)
/* After this time without a pong, two pings are unanswered, and the owner's
 * machine may have failed without closing its connections. */
#define OWNER_SUSPECT_TIMEOUT (550 * OGL_MS)
/* A node is quiet for this long after a pong of its preferred shard's owner. */
#define QUIET_TIME (600 * OGL_MS)
/* After this time without a pong, the connection is closed and opened again. */
#define RECONNECT_TIMEOUT (900 * OGL_MS)
/* Highest age that is reported, also for a configuration that was never
 * confirmed.  Every receiver treats a configuration of this age as stale. */
#define CONFIG_AGE_MAX_MS 3600000

/* ---- sending pings ---------------------------------------------------- */

/*
 * Whether the shard's owner may ask the advice service through this node.  A
 * node that owns shards serves only these, so that each owner reaches the
 * service however few nodes there are.  The others are assigned to shards by a
 * hash.
 */
static bool
serves_advice(const struct node_shard *s)
{
	const struct cell_node *n = s->node;

	if (cell_lead_owned_count(n->lead) > 0)
		return cell_lead_is_owner(n->lead, s->shard);
	return cell_shard_of_node(n->addr, n->shards) == s->shard;
}

static void
send_ping(
    struct node_shard *s, const char *to, bool offers_advice, ogl_time now)
{
	struct cell_node *n = s->node;
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;
	Ogl__CellPing p = OGL__CELL_PING__INIT;

	p.stamp = (uint64_t)now;
	p.store_ok = cell_lead_store_answers(n->lead, now);
	p.leaving = n->stopping;
	p.strength = n->strength;
	p.owned = cell_lead_owned_count(n->lead);
	p.uptime_ms = (uint32_t)((now - n->started_at) / OGL_MS);
	p.lane = offers_advice;
	p.config = cell_front_known_config(n->front).version;
	p.cut_off = cell_front_cut_off(n->front, now);
	p.follows = cell_lead_owned_count(n->lead) == 0;
	p.owners = cell_lead_digest(n->lead);
	m.body_case = OGL__CELL_MSG__BODY_PING;
	m.ping = &p;
	cell_node_send_msg(n, s->shard, to, &m);
}

/* The last owner may be unable to read the store, and so may nodes that still
 * ping it.  The ping tells it who owns the shard now, and its pongs tell those
 * nodes. */
void
cell_node_notify_last_owner(
    struct node_shard *s, const char *owner, ogl_time now)
{
	const char *last = s->last_owner;

	if (last != NULL && s->pinged && strcmp(last, owner) != 0 &&
	    strcmp(last, s->node->addr) != 0)
		send_ping(s, last, false, now);
	g_free(s->last_owner);
	s->last_owner = g_strdup(owner);
}

static bool
is_preferred(const struct node_shard *s)
{
	return cell_shard_of_node(s->node->addr, s->node->shards) == s->shard;
}

/* Becomes quiet, or stops being quiet. */
void
cell_node_update_quiet(struct cell_node *n, ogl_time now)
{
	bool owns = cell_lead_owned_count(n->lead) > 0;
	const struct node_shard *s;

	if (n->shards == 0)
		return;
	s = &n->per_shard[cell_shard_of_node(n->addr, n->shards)];
	n->quiet = !owns && s->able_at != 0 && now - s->able_at < QUIET_TIME;
	cell_lead_set_quiet(n->lead, n->quiet, now);
	cell_front_set_quiet(n->front, n->quiet);
	cell_front_set_informs(n->front, owns);
}

/* A node that nobody informs asks the owners of all shards: it may be unable to
 * read the store.  An owner reads the store, and asks only if that fails. */
static bool
pings_owner_of(const struct node_shard *s, ogl_time now)
{
	const struct cell_node *n = s->node;
	bool owns = cell_lead_owned_count(n->lead) > 0;

	return is_preferred(s) || cell_lead_is_owner(n->lead, s->shard) ||
	       cell_front_uses(n->front, s->shard, now) ||
	       (!n->quiet && (!owns || cell_front_cut_off(n->front, now)));
}

void
cell_node_ping_owner(struct node_shard *s, ogl_time now)
{
	struct cell_node *n = s->node;
	const char *owner = cell_lead_addr(n->lead, s->shard);
	bool was_pinged = s->pinged;

	s->pinged = owner != NULL && pings_owner_of(s, now);
	if (!s->pinged)
		return;
	if (!was_pinged)
		s->pong_at = now;
	else if (now < s->next_ping_at)
		return;
	if (n->ops->peer_refused(n->ops->ctx, owner) ||
	    now - s->pong_at > OWNER_SUSPECT_TIMEOUT)
		cell_lead_report_unreachable(n->lead, s->shard, now);
	cell_front_delay(
	    n->front, s->shard, now - s->pong_at - PING_INTERVAL, now);
	if (now - s->pong_at > RECONNECT_TIMEOUT) {
		n->ops->count(n->ops->ctx, "peer_resets", 1);
		n->ops->peer_reset(n->ops->ctx, owner);
		s->pong_at = now;
	}
	s->next_ping_at = now + PING_INTERVAL;
	send_ping(s, owner, serves_advice(s), now);
}

/* ---- answering pings -------------------------------------------------- */

/*
 * A weak machine may own the shard because the strong ones were down when the
 * last owner was lost.  It resigns once a strong one has been back for
 * STRONGER_TIME and owns no shard.
 */
static void
resign_to_stronger(struct node_shard *s, const Ogl__CellPing *p, ogl_time now)
{
	struct cell_node *n = s->node;

	if (!p->store_ok || p->leaving || p->owned > 0 || n->strength == 0 ||
	    p->strength < n->strength * STRONGER_FACTOR)
		return;
	if (now - s->stronger_heard_at > OGL_SEC)
		s->stronger_since = now;
	s->stronger_heard_at = now;
	if (now - s->stronger_since < STRONGER_TIME ||
	    !cell_lead_able(n->lead, s->shard, now))
		return;
	s->stronger_since = now;
	n->ops->log(n->ops->ctx, "node", "gives_up", "to=stronger");
	cell_lead_resign(n->lead, s->shard, now);
}

/*
 * Whether a node would be a better successor than the present one.  Of equally
 * strong nodes the one that started last is chosen: in a rolling restart it is
 * restarted last, so the shard changes its owner less often.  Each change of
 * owner loses the advice that the shard's waiting work has got.
 */
static bool
better_successor(
    const struct node_shard *s, uint32_t strength, uint32_t uptime_ms)
{
	if (strength != s->successor_strength)
		return strength > s->successor_strength;
	return uptime_ms < s->successor_uptime_ms;
}

/* Makes the node that sent the ping the successor if it is a better one, and
 * drops it as the successor if it can't take over any more. */
static void
update_successor(struct node_shard *s, const char *from, const Ogl__CellPing *p,
    ogl_time now)
{
	bool same = g_strcmp0(s->successor, from) == 0;
	bool eligible =
	    p->store_ok && !p->leaving && strcmp(from, s->node->addr) != 0;
	/* If the node already owns a shard, its strength counts half. */
	uint32_t strength = p->owned > 0 ? p->strength / 2 : p->strength;

	if (same && !eligible) {
		g_clear_pointer(&s->successor, g_free);
		return;
	}
	if (!eligible)
		return;
	if (!same && s->successor != NULL &&
	    now - s->successor_heard_at < SUCCESSOR_TIMEOUT &&
	    !better_successor(s, strength, p->uptime_ms))
		return;
	if (!same) {
		g_free(s->successor);
		s->successor = g_strdup(from);
	}
	s->successor_strength = strength;
	s->successor_uptime_ms = p->uptime_ms;
	s->successor_heard_at = now;
}

/* Adds what this node knows of the configuration, for a node that can't read
 * the store; the record itself is added only if that node has an older one. */
static void
add_config(struct cell_node *n, const Ogl__CellPing *p, Ogl__CellPong *pong,
    ogl_time now)
{
	struct cell_front_config c = cell_front_known_config(n->front);
	ogl_time age_ms = (now - c.as_of) / OGL_MS + 1;

	if (!p->cut_off || c.version == 0)
		return;
	pong->config = c.version;
	pong->config_age_ms = (uint32_t)MIN(age_ms, CONFIG_AGE_MAX_MS);
	if (c.version <= p->config)
		return;
	pong->config_record.data = (uint8_t *)(uintptr_t)c.record.p;
	pong->config_record.len = c.record.n;
}

/* Adds the evacuated zones, for a node that can't read the store.  Returns the
 * list of names that pong points at; it is to be freed after the pong is
 * sent. */
static GPtrArray *
add_zones(struct cell_node *n, const Ogl__CellPing *p, Ogl__CellPong *pong)
{
	const struct cell_zones *z = cell_front_zones(n->front);
	GPtrArray *a = cell_zones_list(z);

	if (p->cut_off && cell_zones_complete(z)) {
		pong->zones_known_to = cell_zones_known_to(z);
		pong->evacuated_zones = (char **)a->pdata;
		pong->n_evacuated_zones = a->len;
	}
	return a;
}

/* Adds the owners of all shards and how far this node has read the settings, for
 * a node that reads neither.  Returns the array that pong points at; it is to
 * be freed after the pong is sent. */
static GArray *
add_news(struct cell_node *n, const Ogl__CellPing *p, Ogl__CellPong *pong,
    GPtrArray *owner_ptrs, ogl_time now)
{
	struct cell_front_position pos = cell_front_position(n->front);
	ogl_time age_ms = (now - pos.as_of) / OGL_MS + 1;
	GArray *owners = g_array_sized_new(
	    FALSE, FALSE, sizeof(Ogl__CellOwnerOf), n->shards);
	uint32_t i;

	if (!p->follows)
		return owners;
	pong->settings_end = pos.end;
	pong->settings_age_ms = (uint32_t)MIN(age_ms, CONFIG_AGE_MAX_MS);
	if (p->owners == cell_lead_digest(n->lead))
		return owners;
	for (i = 0; i < n->shards; i++) {
		Ogl__CellOwnerOf o = OGL__CELL_OWNER_OF__INIT;

		if (cell_lead_addr(n->lead, i) == NULL)
			continue;
		o.shard = i;
		o.epoch = cell_lead_epoch(n->lead, i);
		o.addr = (char *)(uintptr_t)cell_lead_addr(n->lead, i);
		g_array_append_val(owners, o);
	}
	for (i = 0; i < owners->len; i++)
		g_ptr_array_add(
		    owner_ptrs, &g_array_index(owners, Ogl__CellOwnerOf, i));
	pong->owners = (Ogl__CellOwnerOf **)owner_ptrs->pdata;
	pong->n_owners = owner_ptrs->len;
	return owners;
}

void
cell_node_handle_ping(struct node_shard *s, const char *from,
    const Ogl__CellPing *p, ogl_time now)
{
	struct cell_node *n = s->node;
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;
	Ogl__CellPong pong = OGL__CELL_PONG__INIT;
	GPtrArray *zones;
	GPtrArray *owner_ptrs = g_ptr_array_new();
	GArray *owners;

	if (p->lane)
		cell_owner_advice_node(s->owner, from, p->leaving, now);
	if (strcmp(from, n->addr) != 0)
		cell_owner_relay_node(s->owner, from, p->leaving, now);
	resign_to_stronger(s, p, now);
	update_successor(s, from, p, now);
	pong.stamp = p->stamp;
	pong.sent_us = (uint64_t)now;
	if (cell_lead_is_owner(n->lead, s->shard))
		pong.owns = cell_lead_epoch(n->lead, s->shard);
	pong.able = cell_lead_able(n->lead, s->shard, now);
	pong.asks_first = cell_owner_asks_first(s->owner);
	if (pong.owns != 0)
		cell_owner_add_refusals(s->owner, &pong, now);
	add_config(n, p, &pong, now);
	zones = add_zones(n, p, &pong);
	owners = add_news(n, p, &pong, owner_ptrs, now);
	m.body_case = OGL__CELL_MSG__BODY_PONG;
	m.pong = &pong;
	cell_node_send_msg(n, s->shard, from, &m);
	g_ptr_array_unref(zones);
	g_ptr_array_unref(owner_ptrs);
	g_array_unref(owners);
}

/* ---- pongs ------------------------------------------------------------ */

/* Ages are subtracted from the time when the ping was sent, as in
 * learn_config. */
static void
learn_news(struct cell_node *n, const Ogl__CellPong *pong, ogl_time now)
{
	struct cell_front_position pos = {.end = pong->settings_end};
	size_t i;

	for (i = 0; i < pong->n_owners; i++) {
		const Ogl__CellOwnerOf *o = pong->owners[i];

		if (o->shard < n->shards)
			cell_lead_learn_owner(
			    n->lead, o->shard, o->epoch, o->addr, now);
	}
	if (pong->stamp > (uint64_t)now)
		return;
	pos.as_of = (ogl_time)pong->stamp - pong->settings_age_ms * OGL_MS;
	cell_front_learn_position(n->front, &pos, now);
}

/* The age in the pong is subtracted from the time when the ping was sent.  The
 * peer determined it at that time or later, so the configuration never counts
 * as newer than it is, however long the messages took. */
static void
learn_config(struct cell_node *n, const Ogl__CellPong *pong, ogl_time now)
{
	struct cell_front_config c = {.version = pong->config};

	if (pong->config == 0 || pong->stamp > (uint64_t)now)
		return;
	c.as_of = (ogl_time)pong->stamp - pong->config_age_ms * OGL_MS;
	c.record.p = (const char *)pong->config_record.data;
	c.record.n = pong->config_record.len;
	cell_front_learn_config(n->front, &c, now);
	if (pong->zones_known_to > 0)
		cell_front_learn_zones(n->front, pong->evacuated_zones,
		    pong->n_evacuated_zones, pong->zones_known_to, now);
}

/* The owner may have restarted, or have lost only its connection to the store.
 * Its pongs show this much earlier than a timeout would. */
void
cell_node_handle_pong(struct node_shard *s, const Ogl__CellMsg *m, ogl_time now)
{
	struct cell_lead *lead = s->node->lead;
	const char *owner = cell_lead_addr(lead, s->shard);

	s->pong_at = now;
	learn_config(s->node, m->pong, now);
	learn_news(s->node, m->pong, now);
	cell_front_learn_refusals(s->node->front, s->shard, m->pong, now);
	if (owner == NULL || strcmp(owner, m->from) != 0)
		return;
	if (m->pong->owns == 0 || !m->pong->able) {
		s->able_at = 0;
		cell_lead_suspect(lead, s->shard, m->epoch, now);
	} else {
		/* Without the settings' position it can't inform this node. */
		s->able_at = m->pong->settings_end > 0 ? now : 0;
		cell_lead_owner_alive(
		    lead, s->shard, m->pong->owns, m->pong->sent_us, now);
	}
	cell_front_set_asks_first(
	    s->node->front, s->shard, m->pong->asks_first);
	cell_front_delay(
	    s->node->front, s->shard, now - (ogl_time)m->pong->stamp, now);
}
