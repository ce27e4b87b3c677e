/*
 * Each node pings the owner of each shard; a pong that does not come shows a
 * connection that has gone silent, and it is opened anew.  One of the owners may
 * ask advice through the node: the service takes one question at a time from
 * each machine, so owners must not share them.
 * Messages to oneself do not touch the network.
 */

#include <string.h>

#include "node.h"
#include "plan.h"
#include "relay_serve.h"

#define TICK (40 * OGL_MS)
/* A step is due each TICK; a longer gap means that the process did not run,
 * and others may have acted in its place. */
#define STOOD_STILL (400 * OGL_MS)
/* What counts as much stronger, and for how long it has to be there. */
#define MUCH_STRONGER 1.7
#define STRONGER_FOR (2500 * OGL_MS)
/* What a node reads so soon after it stood still may have waited for it. */
#define STALE_AFTER (300 * OGL_MS)
/* Half a megabyte of jobs takes a second over such a link. */
#define SLOW_TAKEOVER_KBPS 50000
#define PING (250 * OGL_MS)
/* Two pings unanswered: the owner's machine may have gone without a word. */
#define PONG_DEAD (550 * OGL_MS)
/* A ping unanswered for so long: the connection is not trusted any more. */
#define PONG_MAX (900 * OGL_MS)
/* Told of a configuration without proof; any receiver takes it for stale. */
#define CONFIG_AGE_MAX_MS 3600000
/* An heir is trusted while it was heard of within this time. */
#define HEIR_FRESH (600 * OGL_MS)
/* A stopping owner gives its shard up if the heir has not taken it by then: the
 * heir reads some pages (4 ms each, 300 on slow days) and claims.  A process has
 * 6 s to end. */
#define HANDOVER_MAX (2200 * OGL_MS)
/* Some shard has had no owner for so long: callers are sent elsewhere. */
#define OWNERLESS_MAX (1500 * OGL_MS)

/* What the node has to do with one shard. */
struct part {
	struct cell_node *node;
	uint32_t shard;
	struct cell_owner *owner;
	ogl_time ping_at;
	ogl_time pong_at; /* last pong, or the first ping to a new owner */
	ogl_time owner_seen;
	char *last_owner;     /* address of the last that was known */
	ogl_time stronger_at; /* first ping of a much stronger node, 0 none */
	ogl_time stronger_last;
	/* as owner: who could take over, as of the pings */
	char *heir;
	uint32_t heir_strength;
	uint32_t heir_uptime;
	ogl_time heir_heard;
	ogl_time handover_at; /* it was asked to, 0 not yet */
	/* as heir */
	bool claims; /* once prepared */
};

struct cell_node {
	const struct cell_ops *ops;
	char *name;
	char *addr;
	struct cell_limits limits;
	struct cell_lead *lead;
	struct cell_plan *plan;
	struct cell_front *front;
	uint32_t shards; /* 0 not known yet */
	struct part parts[CELL_SHARDS_MAX];
	struct cell_config *config; /* that the owners were told of */
	uint64_t zone_changes;      /* of the zones that they were told of */
	bool stopping;
	ogl_time now;        /* of the step or event under way */
	ogl_time started_at; /* first step, 0 not yet */
	ogl_time stepped_at;
	ogl_time wake_at;     /* asked for by the last step, 0 none yet */
	ogl_time stood_until; /* last found to have stood still, 0 never */
	uint32_t strength;
	uint32_t link_kbps;
	struct cell_relay_serve *serve; /* calls workers for owners */
	GQueue loop;                    /* Ogl__CellMsg as bytes, to oneself */
};

/* ---- messages --------------------------------------------------------- */

/* Counters of bytes by kind of message: sent, received. */
struct kind_names {
	Ogl__CellMsg__BodyCase body;
	const char *sent;
	const char *received;
};

static const struct kind_names kinds[] = {
    {OGL__CELL_MSG__BODY_PING, "peer_sent_bytes_ping",
	"peer_received_bytes_ping"},
    {OGL__CELL_MSG__BODY_PONG, "peer_sent_bytes_pong",
	"peer_received_bytes_pong"},
    {OGL__CELL_MSG__BODY_CALL, "peer_sent_bytes_call",
	"peer_received_bytes_call"},
    {OGL__CELL_MSG__BODY_REPLY, "peer_sent_bytes_reply",
	"peer_received_bytes_reply"},
    {OGL__CELL_MSG__BODY_ASK, "peer_sent_bytes_ask", "peer_received_bytes_ask"},
    {OGL__CELL_MSG__BODY_ADVICE, "peer_sent_bytes_advice",
	"peer_received_bytes_advice"},
    {OGL__CELL_MSG__BODY_PART, "peer_sent_bytes_part",
	"peer_received_bytes_part"},
    {OGL__CELL_MSG__BODY_HANDOVER, "peer_sent_bytes_handover",
	"peer_received_bytes_handover"},
    {OGL__CELL_MSG__BODY_ORDERS, "peer_sent_bytes_orders",
	"peer_received_bytes_orders"},
    {OGL__CELL_MSG__BODY_ORDER_ANSWERS, "peer_sent_bytes_order_answer",
	"peer_received_bytes_order_answer"},
};

static void
count_bytes(
    struct cell_node *n, const Ogl__CellMsg *m, bool received, size_t bytes)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (kinds[i].body == m->body_case)
			n->ops->count(n->ops->ctx,
			    received ? kinds[i].received : kinds[i].sent,
			    bytes);
	}
}

/* These are many, and either end of them is the owner. */
static bool
is_order(const Ogl__CellMsg *m)
{
	return m->body_case == OGL__CELL_MSG__BODY_ORDERS ||
	       m->body_case == OGL__CELL_MSG__BODY_ORDER_ANSWERS;
}

static void
send_msg(struct cell_node *n, uint32_t shard, const char *to, Ogl__CellMsg *m)
{
	const char *owner = cell_lead_addr(n->lead, shard);
	size_t len;
	uint8_t *p;
	GBytes *b;

	m->from = n->addr;
	m->shard = shard;
	m->epoch = cell_lead_epoch(n->lead, shard);
	if (owner != NULL && !is_order(m))
		m->owner = (char *)(uintptr_t)owner;
	len = ogl__cell_msg__get_packed_size(m);
	p = g_malloc(len);
	ogl__cell_msg__pack(m, p);
	b = g_bytes_new_take(p, len);
	if (strcmp(to, n->addr) == 0) {
		g_queue_push_tail(&n->loop, b);
		return;
	}
	count_bytes(n, m, false, len);
	n->ops->peer_send(n->ops->ctx, to, b);
	g_bytes_unref(b);
}

static void
send_call(void *arg, uint32_t shard, const char *to, const Ogl__CellCall *c)
{
	struct cell_node *n = arg;
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;

	m.body_case = OGL__CELL_MSG__BODY_CALL;
	m.call = (Ogl__CellCall *)(uintptr_t)c;
	if (c->job != NULL)
		cell_relay_serve_spec(n->serve, c->id, c->job->spec);
	send_msg(n, shard, to, &m);
}

static void
send_reply(void *arg, const char *to, const Ogl__CellReply *r)
{
	const struct part *part = arg;
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;

	m.body_case = OGL__CELL_MSG__BODY_REPLY;
	m.reply = (Ogl__CellReply *)(uintptr_t)r;
	send_msg(part->node, part->shard, to, &m);
}

static void
send_ask(void *arg, const char *to, const Ogl__CellAsk *a)
{
	const struct part *part = arg;
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;

	m.body_case = OGL__CELL_MSG__BODY_ASK;
	m.ask = (Ogl__CellAsk *)(uintptr_t)a;
	send_msg(part->node, part->shard, to, &m);
}

/* Without an owner the message is lost; whoever needs it repeats it. */
static void
send_part(void *arg, uint32_t to_shard, const Ogl__CellPart *part)
{
	struct cell_node *n = ((const struct part *)arg)->node;
	const char *to = cell_lead_addr(n->lead, to_shard);
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;

	if (to == NULL)
		return;
	m.body_case = OGL__CELL_MSG__BODY_PART;
	m.part = (Ogl__CellPart *)(uintptr_t)part;
	send_msg(n, to_shard, to, &m);
}

/* ---- advice for an owner ---------------------------------------------- */

struct asked {
	struct cell_node *node;
	uint32_t shard;
	char *to;
	uint64_t token;
};

static void
on_asked(void *arg, const struct cell_ask_answer *a, ogl_time now)
{
	struct asked *q = arg;
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;
	Ogl__CellAdvice v = OGL__CELL_ADVICE__INIT;
	Ogl__CellTicket *tickets = g_new(Ogl__CellTicket, a->n);
	Ogl__CellTicket **list = g_new(Ogl__CellTicket *, a->n);
	size_t i;

	(void)now;
	for (i = 0; i < a->n; i++) {
		ogl__cell_ticket__init(&tickets[i]);
		tickets[i].worker = (char *)(uintptr_t)a->tickets[i].worker;
		tickets[i].ticket = (char *)(uintptr_t)a->tickets[i].ticket;
		list[i] = &tickets[i];
	}
	v.token = q->token;
	v.ok = a->io == OGL_IO_OK;
	v.valid_ms = a->valid_ms;
	v.tickets = list;
	v.n_tickets = v.ok ? a->n : 0;
	m.body_case = OGL__CELL_MSG__BODY_ADVICE;
	m.advice = &v;
	send_msg(q->node, q->shard, q->to, &m);
	g_free(tickets);
	g_free(list);
	g_free(q->to);
	g_free(q);
}

static void
take_ask(struct cell_node *n, uint32_t shard, const char *from,
    const Ogl__CellAsk *a)
{
	struct asked *q = g_new(struct asked, 1);
	struct cell_ask ask = {a->step, (const char *const *)(void *)a->workers,
	    a->n_workers, a->timeout_ms};

	q->node = n;
	q->shard = shard;
	q->to = g_strdup(from);
	q->token = a->token;
	n->ops->ask(n->ops->outside, &ask, on_asked, q);
}

/* ---- calls to workers for an owner ------------------------------------ */

static void
send_orders(void *arg, const char *to, const Ogl__CellOrders *orders)
{
	const struct part *part = arg;
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;

	m.body_case = OGL__CELL_MSG__BODY_ORDERS;
	m.orders = (Ogl__CellOrders *)(uintptr_t)orders;
	send_msg(part->node, part->shard, to, &m);
}

static void
send_answers(void *arg, uint32_t shard, const char *to,
    const Ogl__CellOrderAnswers *answers)
{
	struct cell_node *n = arg;
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;

	m.body_case = OGL__CELL_MSG__BODY_ORDER_ANSWERS;
	m.order_answers = (Ogl__CellOrderAnswers *)(uintptr_t)answers;
	send_msg(n, shard, to, &m);
}

/*
 * What waited while this process stood still is too old to be carried out: its
 * owner has given it up and may have been replaced.
 */
static void
take_orders(struct cell_node *n, uint32_t shard, const char *from,
    const Ogl__CellOrders *orders, ogl_time now)
{
	bool stale = n->stood_until != 0 && now - n->stood_until < STALE_AFTER;

	cell_relay_serve(n->serve, shard, from, orders, stale, now);
}

/* ---- incoming --------------------------------------------------------- */

/*
 * A weak machine may own the shard because the strong ones were away when the
 * last owner was lost.  Once one has been back for a while, and owns none
 * itself, it gets the shard.
 */
static void
weigh_peer(struct part *part, const Ogl__CellPing *p, ogl_time now)
{
	struct cell_node *n = part->node;

	if (!p->store_ok || p->leaving || p->owned > 0 || n->strength == 0 ||
	    p->strength < n->strength * MUCH_STRONGER)
		return;
	if (now - part->stronger_last > OGL_SEC)
		part->stronger_at = now;
	part->stronger_last = now;
	if (now - part->stronger_at < STRONGER_FOR ||
	    !cell_lead_able(n->lead, part->shard, now))
		return;
	part->stronger_at = now;
	n->ops->log(n->ops->ctx, "node", "gives_up", "to=stronger");
	cell_lead_resign(n->lead, part->shard, now);
}

/*
 * Whether a node would be the better heir.  Of equally strong ones the youngest:
 * when all are restarted in turn, it is the one that will be restarted last, and
 * each change of owner costs its waiting work the advice it has.
 */
static bool
better_heir(const struct part *part, uint32_t strength, uint32_t uptime)
{
	if (strength != part->heir_strength)
		return strength > part->heir_strength;
	return uptime < part->heir_uptime;
}

/* The node that could best own the shard next. */
static void
weigh_heir(
    struct part *part, const char *from, const Ogl__CellPing *p, ogl_time now)
{
	bool same = g_strcmp0(part->heir, from) == 0;
	bool fit =
	    p->store_ok && !p->leaving && strcmp(from, part->node->addr) != 0;
	/* One that owns a shard already counts half. */
	uint32_t strength = p->owned > 0 ? p->strength / 2 : p->strength;

	if (same && !fit) {
		g_clear_pointer(&part->heir, g_free);
		return;
	}
	if (!fit)
		return;
	if (!same && part->heir != NULL &&
	    now - part->heir_heard < HEIR_FRESH &&
	    !better_heir(part, strength, p->uptime_ms))
		return;
	if (!same) {
		g_free(part->heir);
		part->heir = g_strdup(from);
	}
	part->heir_strength = strength;
	part->heir_uptime = p->uptime_ms;
	part->heir_heard = now;
}

/* What the owner knows of the configuration, for nodes that the store turns
 * away; the record itself only to one that lacks it. */
static void
tell_config(struct cell_node *n, const Ogl__CellPing *p, Ogl__CellPong *pong,
    ogl_time now)
{
	struct cell_front_config c = cell_front_known(n->front);
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

/* The names are to be freed with the list, after the pong was sent. */
static GPtrArray *
tell_zones(struct cell_node *n, const Ogl__CellPing *p, Ogl__CellPong *pong)
{
	const struct cell_zones *z = cell_front_zones(n->front);
	GPtrArray *a = cell_zones_list(z);

	if (p->cut_off && cell_zones_known(z)) {
		pong->zones_known_to = cell_zones_known_to(z);
		pong->evacuated_zones = (char **)a->pdata;
		pong->n_evacuated_zones = a->len;
	}
	return a;
}

/* Dated back to when the ping was sent: the pong's age was right then or later,
 * whatever the way took. */
static void
learn_config(struct cell_node *n, const Ogl__CellPong *pong, ogl_time now)
{
	struct cell_front_config c = {.version = pong->config};

	if (pong->config == 0 || pong->stamp > (uint64_t)now)
		return;
	c.as_of = (ogl_time)pong->stamp - pong->config_age_ms * OGL_MS;
	c.record.p = (const char *)pong->config_record.data;
	c.record.n = pong->config_record.len;
	cell_front_learn(n->front, &c, now);
	if (pong->zones_known_to > 0)
		cell_front_learn_zones(n->front, pong->evacuated_zones,
		    pong->n_evacuated_zones, pong->zones_known_to, now);
}

static void
take_ping(
    struct part *part, const char *from, const Ogl__CellPing *p, ogl_time now)
{
	struct cell_node *n = part->node;
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;
	Ogl__CellPong pong = OGL__CELL_PONG__INIT;
	GPtrArray *zones;

	if (p->lane)
		cell_owner_node(part->owner, from, p->leaving, now);
	if (strcmp(from, n->addr) != 0)
		cell_owner_relay(part->owner, from, p->leaving, now);
	weigh_peer(part, p, now);
	weigh_heir(part, from, p, now);
	pong.stamp = p->stamp;
	if (cell_lead_is_owner(n->lead, part->shard))
		pong.owns = cell_lead_epoch(n->lead, part->shard);
	pong.able = cell_lead_able(n->lead, part->shard, now);
	pong.asks_first = cell_owner_asks_first(part->owner);
	tell_config(n, p, &pong, now);
	zones = tell_zones(n, p, &pong);
	m.body_case = OGL__CELL_MSG__BODY_PONG;
	m.pong = &pong;
	send_msg(n, part->shard, from, &m);
	g_ptr_array_unref(zones);
}

/* The owner may have been replaced by its own next life, or be cut off from
 * the store alone; its pongs tell so long before silence would. */
static void
take_pong(struct part *part, const Ogl__CellMsg *m, ogl_time now)
{
	struct cell_lead *lead = part->node->lead;
	const char *owner = cell_lead_addr(lead, part->shard);

	part->pong_at = now;
	learn_config(part->node, m->pong, now);
	if (owner == NULL || strcmp(owner, m->from) != 0)
		return;
	if (m->pong->owns == 0 || !m->pong->able)
		cell_lead_doubt(lead, part->shard, m->epoch, now);
	else
		cell_lead_heard(lead, part->shard, m->pong->owns, now);
	cell_front_asks_first(
	    part->node->front, part->shard, m->pong->asks_first);
	cell_front_delay(part->node->front, part->shard,
	    now - (ogl_time)m->pong->stamp, now);
}

/* The owner wants to end and has chosen this node. */
static void
take_handover(struct part *part, const Ogl__CellHandover *h, ogl_time now)
{
	struct cell_node *n = part->node;

	if (n->stopping || h->epoch != cell_lead_epoch(n->lead, part->shard))
		return;
	cell_owner_prepare(part->owner, h->store_ms * OGL_MS, now);
	part->claims = true;
}

static void
take_msg(struct part *part, Ogl__CellMsg *m, ogl_time now)
{
	struct cell_node *n = part->node;

	if (*m->owner != '\0')
		cell_lead_hear(n->lead, part->shard, m->epoch, m->owner, now);
	switch (m->body_case) {
	case OGL__CELL_MSG__BODY_PING:
		take_ping(part, m->from, m->ping, now);
		break;
	case OGL__CELL_MSG__BODY_PONG:
		take_pong(part, m, now);
		break;
	case OGL__CELL_MSG__BODY_CALL:
		cell_owner_call(part->owner, m->from, m->call, now);
		break;
	case OGL__CELL_MSG__BODY_REPLY:
		cell_front_reply(n->front, part->shard, m->reply, now);
		break;
	case OGL__CELL_MSG__BODY_ASK:
		take_ask(n, part->shard, m->from, m->ask);
		break;
	case OGL__CELL_MSG__BODY_ADVICE:
		cell_owner_advice(part->owner, m->advice, now);
		break;
	case OGL__CELL_MSG__BODY_HANDOVER:
		take_handover(part, m->handover, now);
		break;
	case OGL__CELL_MSG__BODY_PART:
		cell_owner_part(part->owner, m->part, now);
		break;
	case OGL__CELL_MSG__BODY_ORDERS:
		take_orders(n, m->shard, m->from, m->orders, now);
		break;
	case OGL__CELL_MSG__BODY_ORDER_ANSWERS:
		cell_owner_ordered(part->owner, m->order_answers, now);
		break;
	default:
		n->ops->count(n->ops->ctx, "peer_unknown_messages", 1);
		break;
	}
}

/* Others may have acted in its place while the process did not run. */
static void
watch_standstill(struct cell_node *n, ogl_time now)
{
	uint32_t i;

	if (n->stepped_at == 0 || now - n->stepped_at <= STOOD_STILL)
		return;
	n->stood_until = now;
	for (i = 0; i < n->shards; i++)
		cell_owner_doubt(n->parts[i].owner, now);
}

void
cell_node_peer(struct cell_node *n, struct ogl_str msg, ogl_time now)
{
	Ogl__CellMsg *m =
	    ogl__cell_msg__unpack(NULL, msg.n, (const uint8_t *)msg.p);

	if (m == NULL) {
		n->ops->count(n->ops->ctx, "peer_unknown_messages", 1);
		return;
	}
	if (strcmp(m->from, n->addr) != 0)
		count_bytes(n, m, true, msg.n);
	n->now = now;
	watch_standstill(n, now);
	/* A node that has not read the plan yet has no part in the cell: its
	 * peers repeat what they say. */
	if (m->shard < n->shards)
		take_msg(&n->parts[m->shard], m, now);
	else
		n->ops->count(n->ops->ctx, "peer_early_messages", 1);
	ogl__cell_msg__free_unpacked(m, NULL);
}

static void
run_loop(struct cell_node *n, ogl_time now)
{
	GBytes *b;

	while ((b = g_queue_pop_head(&n->loop)) != NULL) {
		gsize len;
		const char *p = g_bytes_get_data(b, &len);
		struct ogl_str s = {p, len};

		cell_node_peer(n, s, now);
		g_bytes_unref(b);
	}
}

/* ---- pings ------------------------------------------------------------ */

/*
 * Whether the shard's owner may ask advice through this node.  An owner keeps
 * its own machine, so that each shard has a way to the service however few
 * nodes there are; the others are dealt out by a hash.
 */
static bool
lends_lane(const struct part *part)
{
	const struct cell_node *n = part->node;

	if (cell_lead_owned(n->lead) > 0)
		return cell_lead_is_owner(n->lead, part->shard);
	return cell_shard_of_node(n->addr, n->shards) == part->shard;
}

static void
send_ping(struct part *part, const char *to, bool lane, ogl_time now)
{
	struct cell_node *n = part->node;
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;
	Ogl__CellPing p = OGL__CELL_PING__INIT;

	p.stamp = (uint64_t)now;
	p.store_ok = cell_lead_reads(n->lead, now);
	p.leaving = n->stopping;
	p.strength = n->strength;
	p.owned = cell_lead_owned(n->lead);
	p.uptime_ms = (uint32_t)((now - n->started_at) / OGL_MS);
	p.lane = lane;
	p.config = cell_front_known(n->front).version;
	p.cut_off = cell_front_cut_off(n->front, now);
	m.body_case = OGL__CELL_MSG__BODY_PING;
	m.ping = &p;
	send_msg(n, part->shard, to, &m);
}

/* The last owner may not reach the store, and neither may nodes that ask it;
 * it learns who owns the shard now, and they by its pongs. */
static void
tell_last_owner(struct part *part, const char *owner, ogl_time now)
{
	const char *last = part->last_owner;

	if (last != NULL && strcmp(last, owner) != 0 &&
	    strcmp(last, part->node->addr) != 0)
		send_ping(part, last, false, now);
	g_free(part->last_owner);
	part->last_owner = g_strdup(owner);
}

/* ---- ownership -------------------------------------------------------- */

static void
on_won(void *arg, uint32_t shard, uint64_t epoch, ogl_time now)
{
	struct cell_node *n = arg;

	cell_owner_open(
	    n->parts[shard].owner, epoch, cell_lead_store_took(n->lead), now);
}

static void
on_lost(void *arg, uint32_t shard, ogl_time now)
{
	struct cell_node *n = arg;

	cell_owner_close(n->parts[shard].owner, now);
}

static void
on_changed(void *arg, uint32_t shard, const char *addr, ogl_time now)
{
	struct cell_node *n = arg;
	struct part *part = &n->parts[shard];

	part->pong_at = now;
	part->ping_at = now;
	part->owner_seen = now;
	part->claims = false;
	part->handover_at = 0;
	if (addr != NULL)
		tell_last_owner(part, addr, now);
	cell_front_owner(
	    n->front, shard, addr, cell_lead_epoch(n->lead, shard), now);
}

static void
on_outranked(void *arg, ogl_time now)
{
	struct part *part = arg;

	cell_lead_outranked(part->node->lead, part->shard, now);
}

static void
on_planned(void *arg, uint32_t shards, ogl_time now)
{
	struct cell_node *n = arg;
	uint32_t i;

	n->shards = shards;
	for (i = 0; i < shards; i++) {
		struct part *part = &n->parts[i];
		struct cell_owner_events e = {on_outranked, send_reply,
		    send_ask, send_part, send_orders, part};
		struct cell_part p = {i, shards, n->link_kbps};

		part->node = n;
		part->shard = i;
		part->owner = cell_owner_init(n->ops, &n->limits, &e, &p);
		if (n->config == NULL)
			continue;
		cell_owner_zones(part->owner, cell_front_zones(n->front), now);
		cell_owner_config(part->owner, n->config);
	}
	cell_front_shards(n->front, shards);
}

static void
on_decided(void *arg, uint32_t shards, ogl_time now)
{
	struct cell_node *n = arg;

	(void)now;
	if (cell_lead_unplanned(n->lead))
		cell_lead_plan(n->lead, shards);
}

/* ---- the node --------------------------------------------------------- */

/* How well the host could own a shard, in thousandths of a processor: one that
 * reads the jobs over a thin link is as slow as a weak one. */
static uint32_t
fitness(const struct cell_node_config *c)
{
	if (c->link_kbps > 0 && c->link_kbps < SLOW_TAKEOVER_KBPS)
		return c->strength / 2;
	return c->strength;
}

struct cell_node *
cell_node_init(const struct cell_node_config *c, const struct cell_ops *ops)
{
	struct cell_node *n = g_new0(struct cell_node, 1);
	struct cell_lead_events le = {
	    on_planned, on_won, on_lost, on_changed, n};
	struct cell_lead_self self = {
	    c->name, c->addr, c->boot, fitness(c), c->link_kbps};
	struct cell_plan_events pe = {on_decided, n};
	struct cell_front_events fe = {send_call, n};

	n->ops = ops;
	n->name = g_strdup(c->name);
	n->addr = g_strdup(c->addr);
	n->limits = c->limits;
	g_queue_init(&n->loop);
	n->strength = fitness(c);
	n->link_kbps = c->link_kbps;
	n->serve = cell_relay_serve_init(ops, send_answers, n);
	n->lead = cell_lead_init(ops, &le, &self, c->seed);
	n->plan = cell_plan_init(ops, &pe, n->strength, c->seed);
	n->front = cell_front_init(ops, &n->limits, &fe);
	return n;
}

void
cell_node_end(struct cell_node *n)
{
	uint32_t i;

	for (i = 0; i < n->shards; i++) {
		cell_owner_end(n->parts[i].owner);
		g_free(n->parts[i].heir);
		g_free(n->parts[i].last_owner);
	}
	cell_front_end(n->front);
	cell_plan_end(n->plan);
	cell_lead_end(n->lead);
	cell_relay_serve_end(n->serve);
	g_queue_clear_full(&n->loop, (GDestroyNotify)g_bytes_unref);
	g_free(n->name);
	g_free(n->addr);
	g_free(n);
}

void
cell_node_limits(struct cell_node *n, const struct cell_limits *l)
{
	n->limits = *l;
}

void
cell_node_call(struct cell_node *n, uint64_t token,
    const struct cell_request *r, ogl_time now)
{
	n->now = now;
	cell_front_call(n->front, token, r, now);
}

void
cell_node_gone(struct cell_node *n, uint64_t token)
{
	cell_front_gone(n->front, token);
}

static void
ping(struct part *part, ogl_time now)
{
	struct cell_node *n = part->node;
	const char *owner = cell_lead_addr(n->lead, part->shard);

	if (owner == NULL || now < part->ping_at)
		return;
	if (n->ops->peer_refused(n->ops->ctx, owner) ||
	    now - part->pong_at > PONG_DEAD)
		cell_lead_hint_dead(n->lead, part->shard, now);
	cell_front_delay(
	    n->front, part->shard, now - part->pong_at - PING, now);
	if (now - part->pong_at > PONG_MAX) {
		n->ops->count(n->ops->ctx, "peer_resets", 1);
		n->ops->peer_reset(n->ops->ctx, owner);
		part->pong_at = now;
	}
	part->ping_at = now + PING;
	send_ping(part, owner, lends_lane(part), now);
}

static void
share_zones(struct cell_node *n, const struct cell_zones *z)
{
	uint32_t i;

	if (cell_zones_changes(z) == n->zone_changes)
		return;
	n->zone_changes = cell_zones_changes(z);
	for (i = 0; i < n->shards; i++)
		cell_owner_zones(n->parts[i].owner, z, n->now);
}

/*
 * The owners go by the same configuration as the entry.  They get none, and
 * start nothing, before it is known which zones are evacuated.
 */
static void
share_config(struct cell_node *n)
{
	struct cell_config *c = cell_front_config(n->front);
	const struct cell_zones *z = cell_front_zones(n->front);
	uint32_t i;

	if (c == NULL || !cell_zones_known(z))
		return;
	share_zones(n, z);
	if (c == n->config)
		return;
	n->config = c;
	for (i = 0; i < n->shards; i++)
		cell_owner_config(n->parts[i].owner, c);
}

/*
 * A stopping owner goes on serving until its heir has read the jobs and claimed
 * the shard.  If it resigned first, nobody would serve while others notice,
 * claim and read, which takes seconds where the store is slow.
 */
static void
step_handover(struct part *part, ogl_time now)
{
	struct cell_node *n = part->node;
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;
	Ogl__CellHandover h = OGL__CELL_HANDOVER__INIT;
	char text[96];

	if (!n->stopping || !cell_lead_is_owner(n->lead, part->shard))
		return;
	if (part->handover_at != 0) {
		if (now - part->handover_at > HANDOVER_MAX)
			cell_lead_resign(n->lead, part->shard, now);
		return;
	}
	if (part->heir == NULL || now - part->heir_heard > HEIR_FRESH ||
	    !cell_lead_able(n->lead, part->shard, now)) {
		cell_lead_resign(n->lead, part->shard, now);
		return;
	}
	part->handover_at = now;
	g_snprintf(text, sizeof text, "shard=%u to=%s epoch=%" G_GUINT64_FORMAT,
	    part->shard, part->heir, cell_lead_epoch(n->lead, part->shard));
	n->ops->log(n->ops->ctx, "node", "hands_over", text);
	h.epoch = cell_lead_epoch(n->lead, part->shard);
	h.store_ms =
	    (uint32_t)(cell_lead_beat_took(n->lead, part->shard) / OGL_MS);
	m.body_case = OGL__CELL_MSG__BODY_HANDOVER;
	m.handover = &h;
	send_msg(n, part->shard, part->heir, &m);
}

static void
step_heir(struct part *part, ogl_time now)
{
	if (!part->claims || !cell_owner_prepared(part->owner, now))
		return;
	part->claims = false;
	cell_lead_claim(part->node->lead, part->shard, now);
}

static void
step_part(struct part *part, ogl_time now, ogl_time wall)
{
	struct cell_lead *lead = part->node->lead;
	uint32_t shard = part->shard;

	step_handover(part, now);
	step_heir(part, now);
	cell_owner_announced(part->owner, cell_lead_announced(lead, shard));
	cell_owner_step(part->owner, cell_lead_confirmed(lead),
	    cell_lead_may_act(lead, shard, now), now, wall);
	if (cell_owner_wants_proof(part->owner))
		cell_lead_probe(lead, now);
	if (cell_lead_addr(lead, shard) != NULL)
		part->owner_seen = now;
}

void
cell_node_step(struct cell_node *n, ogl_time now, ogl_time wall)
{
	uint32_t i;

	watch_standstill(n, now);
	for (i = 0; i < n->shards; i++)
		cell_owner_ran(n->parts[i].owner, n->wake_at, now);
	n->stepped_at = now;
	if (n->started_at == 0)
		n->started_at = now;
	n->now = now;
	if (cell_lead_unplanned(n->lead))
		cell_plan_step(n->plan, now);
	cell_lead_step(n->lead, now);
	cell_front_step(n->front, now);
	share_config(n);
	for (i = 0; i < n->shards; i++)
		ping(&n->parts[i], now);
	run_loop(n, now);
	for (i = 0; i < n->shards; i++)
		step_part(&n->parts[i], now, wall);
	cell_relay_serve_step(n->serve, now);
	run_loop(n, now);
	n->wake_at = MAX(now, cell_node_wake(n, now));
}

ogl_time
cell_node_wake(const struct cell_node *n, ogl_time now)
{
	ogl_time at = now + TICK;
	uint32_t i;

	if (!g_queue_is_empty((GQueue *)(uintptr_t)&n->loop))
		return now;
	for (i = 0; i < n->shards; i++)
		at = MIN(at, cell_owner_wake(n->parts[i].owner));
	return MIN(at, cell_relay_serve_wake(n->serve));
}

void
cell_node_stop(struct cell_node *n, ogl_time now)
{
	uint32_t i;

	n->stopping = true;
	for (i = 0; i < n->shards; i++)
		n->parts[i].ping_at = now;
	cell_lead_retire(n->lead);
	for (i = 0; i < n->shards; i++)
		step_handover(&n->parts[i], now);
}

bool
cell_node_stopped(const struct cell_node *n)
{
	return cell_front_open(n->front) == 0 && cell_lead_owned(n->lead) == 0;
}

/* Callers are sent elsewhere while a shard is ownerless for this node: others
 * may know its owner. */
static bool
all_owned(const struct cell_node *n, ogl_time now)
{
	uint32_t i;

	for (i = 0; i < n->shards; i++) {
		if (now - n->parts[i].owner_seen >= OWNERLESS_MAX)
			return false;
	}
	return n->shards > 0;
}

bool
cell_node_ready(const struct cell_node *n, ogl_time now)
{
	return !n->stopping && cell_front_fresh(n->front, now) &&
	       all_owned(n, now);
}

uint32_t
cell_node_shards(const struct cell_node *n)
{
	return n->shards;
}

bool
cell_node_owns(const struct cell_node *n, uint32_t shard)
{
	return shard < n->shards && cell_lead_is_owner(n->lead, shard);
}
