/*
 * Runs the parts of a node: election (lead.c), front end (front.c), owners
 * (owner.c) and pings (node_ping.c), and exchanges messages with its peers.
 *
 * At most one owner may ask the advice service through the node: the service
 * takes one question at a time from each machine, so owners must not share a
 * machine.
 *
 * Messages of a node to itself do not use the network.
 */

#include <string.h>

#include "node_impl.h"

#define STEP_INTERVAL (40 * OGL_MS)
/* A step is due at least every STEP_INTERVAL.  A gap longer than PAUSE_MIN
 * means that the process did not run, and other nodes may have replaced it. */
#define PAUSE_MIN (400 * OGL_MS)
/* Orders received within this time after a pause may have been queued during
 * the pause. */
#define STALE_ORDERS_TIME (300 * OGL_MS)
/* A link below this rate slows the reading of jobs at a takeover: half a
 * megabyte takes at least 80 ms over it. */
#define SLOW_LINK_KBPS 50000
/* A stopping owner resigns if the successor has not claimed the shard within
 * this time.  The successor reads some pages first, which takes 4 ms each, or
 * 300 ms when the store is slow.  A process has 6 s to end. */
#define HANDOVER_TIMEOUT (2200 * OGL_MS)
/* The node is not ready for callers when a shard has had no known owner for
 * this time. */
#define OWNERLESS_TIMEOUT (1500 * OGL_MS)

/* ---- messages --------------------------------------------------------- */

/* Names of the byte counters for one kind of message. */
struct byte_counters {
	Ogl__CellMsg__BodyCase body;
	const char *sent;
	const char *received;
};

static const struct byte_counters byte_counters[] = {
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

	for (i = 0; i < G_N_ELEMENTS(byte_counters); i++) {
		if (byte_counters[i].body == m->body_case)
			n->ops->count(n->ops->ctx,
			    received ? byte_counters[i].received
				     : byte_counters[i].sent,
			    bytes);
	}
}

/* Whether the message carries orders or their answers.  These don't name the
 * owner: they are frequent, and the owner is their sender or their receiver. */
static bool
is_order(const Ogl__CellMsg *m)
{
	return m->body_case == OGL__CELL_MSG__BODY_ORDERS ||
	       m->body_case == OGL__CELL_MSG__BODY_ORDER_ANSWERS;
}

void
cell_node_send_msg(
    struct cell_node *n, uint32_t shard, const char *to, Ogl__CellMsg *m)
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
		g_queue_push_tail(&n->loopback, b);
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
		cell_relay_serve_add_spec(
		    n->serve, c->id, cell_field_str(&c->job->spec));
	cell_node_send_msg(n, shard, to, &m);
}

static void
send_reply(void *arg, const char *to, const Ogl__CellReply *r)
{
	const struct node_shard *s = arg;
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;

	m.body_case = OGL__CELL_MSG__BODY_REPLY;
	m.reply = (Ogl__CellReply *)(uintptr_t)r;
	cell_node_send_msg(s->node, s->shard, to, &m);
}

static void
send_ask(void *arg, const char *to, const Ogl__CellAsk *a)
{
	const struct node_shard *s = arg;
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;

	m.body_case = OGL__CELL_MSG__BODY_ASK;
	m.ask = (Ogl__CellAsk *)(uintptr_t)a;
	cell_node_send_msg(s->node, s->shard, to, &m);
}

/* Drops the message if the shard has no known owner; the sender repeats it
 * until it is answered. */
static void
send_part(void *arg, uint32_t to_shard, const Ogl__CellPart *body)
{
	struct cell_node *n = ((const struct node_shard *)arg)->node;
	const char *to = cell_lead_addr(n->lead, to_shard);
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;

	if (to == NULL)
		return;
	m.body_case = OGL__CELL_MSG__BODY_PART;
	m.part = (Ogl__CellPart *)(uintptr_t)body;
	cell_node_send_msg(n, to_shard, to, &m);
}

/* ---- advice for an owner ---------------------------------------------- */

struct advice_call {
	struct cell_node *node;
	uint32_t shard;
	char *to;
	uint64_t token;
};

static void
on_advice(void *arg, const struct cell_ask_answer *a, ogl_time now)
{
	struct advice_call *call = arg;
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;
	Ogl__CellAdvice advice = OGL__CELL_ADVICE__INIT;
	Ogl__CellTicket *tickets = g_new(Ogl__CellTicket, a->n);
	Ogl__CellTicket **ticket_ptrs = g_new(Ogl__CellTicket *, a->n);
	size_t i;

	(void)now;
	for (i = 0; i < a->n; i++) {
		ogl__cell_ticket__init(&tickets[i]);
		tickets[i].worker = (char *)(uintptr_t)a->tickets[i].worker;
		tickets[i].ticket = (char *)(uintptr_t)a->tickets[i].ticket;
		ticket_ptrs[i] = &tickets[i];
	}
	advice.token = call->token;
	advice.ok = a->io == OGL_IO_OK;
	advice.valid_ms = a->valid_ms;
	advice.tickets = ticket_ptrs;
	advice.n_tickets = advice.ok ? a->n : 0;
	m.body_case = OGL__CELL_MSG__BODY_ADVICE;
	m.advice = &advice;
	cell_node_send_msg(call->node, call->shard, call->to, &m);
	g_free(tickets);
	g_free(ticket_ptrs);
	g_free(call->to);
	g_free(call);
}

static void
handle_ask(struct cell_node *n, uint32_t shard, const char *from,
    const Ogl__CellAsk *a)
{
	struct advice_call *call = g_new(struct advice_call, 1);
	struct cell_advice_query ask = {a->step,
	    (const char *const *)(void *)a->workers, a->n_workers,
	    a->timeout_ms};

	call->node = n;
	call->shard = shard;
	call->to = g_strdup(from);
	call->token = a->token;
	n->ops->ask(n->ops->backend_ctx, &ask, on_advice, call);
}

/* ---- calls to workers for an owner ------------------------------------ */

static void
send_orders(void *arg, const char *to, const Ogl__CellOrders *orders)
{
	const struct node_shard *s = arg;
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;

	m.body_case = OGL__CELL_MSG__BODY_ORDERS;
	m.orders = (Ogl__CellOrders *)(uintptr_t)orders;
	cell_node_send_msg(s->node, s->shard, to, &m);
}

static void
send_answers(void *arg, uint32_t shard, const char *to,
    const Ogl__CellOrderAnswers *answers)
{
	struct cell_node *n = arg;
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;

	m.body_case = OGL__CELL_MSG__BODY_ORDER_ANSWERS;
	m.order_answers = (Ogl__CellOrderAnswers *)(uintptr_t)answers;
	cell_node_send_msg(n, shard, to, &m);
}

/*
 * Orders that were queued while this process was paused are too old to be
 * carried out: the owner has given them up and may have been replaced.
 */
static void
handle_orders(struct cell_node *n, uint32_t shard, const char *from,
    const Ogl__CellOrders *orders, ogl_time now)
{
	bool stale =
	    n->resumed_at != 0 && now - n->resumed_at < STALE_ORDERS_TIME;

	cell_relay_serve(n->serve, shard, from, orders, stale, now);
}

/* ---- incoming --------------------------------------------------------- */

/* The owner is stopping and has chosen this node as its successor. */
static void
handle_handover(struct node_shard *s, const Ogl__CellHandover *h, ogl_time now)
{
	struct cell_node *n = s->node;

	if (n->stopping || h->epoch != cell_lead_epoch(n->lead, s->shard))
		return;
	cell_owner_prepare(s->owner, h->store_ms * OGL_MS, now);
	s->claim_pending = true;
}

static void
handle_msg(struct node_shard *s, Ogl__CellMsg *m, ogl_time now)
{
	struct cell_node *n = s->node;

	if (*m->owner != '\0')
		cell_lead_learn_owner(
		    n->lead, s->shard, m->epoch, m->owner, now);
	switch (m->body_case) {
	case OGL__CELL_MSG__BODY_PING:
		cell_node_handle_ping(s, m->from, m->ping, now);
		break;
	case OGL__CELL_MSG__BODY_PONG:
		cell_node_handle_pong(s, m, now);
		break;
	case OGL__CELL_MSG__BODY_CALL:
		cell_owner_call(s->owner, m->from, m->call, now);
		break;
	case OGL__CELL_MSG__BODY_REPLY:
		cell_front_reply(n->front, s->shard, m->reply, now);
		break;
	case OGL__CELL_MSG__BODY_ASK:
		handle_ask(n, s->shard, m->from, m->ask);
		break;
	case OGL__CELL_MSG__BODY_ADVICE:
		cell_owner_advice(s->owner, m->advice, now);
		break;
	case OGL__CELL_MSG__BODY_HANDOVER:
		handle_handover(s, m->handover, now);
		break;
	case OGL__CELL_MSG__BODY_PART:
		cell_owner_part(s->owner, m->part, now);
		break;
	case OGL__CELL_MSG__BODY_ORDERS:
		handle_orders(n, m->shard, m->from, m->orders, now);
		break;
	case OGL__CELL_MSG__BODY_ORDER_ANSWERS:
		cell_owner_order_answers(s->owner, m->order_answers, now);
		break;
	default:
		n->ops->count(n->ops->ctx, "peer_unknown_messages", 1);
		break;
	}
}

/* Detects that the process was paused: other nodes may have taken over its
 * shards meanwhile, so its ownership has to be confirmed again. */
static void
detect_pause(struct cell_node *n, ogl_time now)
{
	uint32_t i;

	if (n->stepped_at == 0 || now - n->stepped_at <= PAUSE_MIN)
		return;
	n->resumed_at = now;
	for (i = 0; i < n->shards; i++)
		cell_owner_require_confirmation(n->per_shard[i].owner, now);
}

void
cell_node_receive(struct cell_node *n, struct ogl_str msg, ogl_time now)
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
	detect_pause(n, now);
	/* A node that does not know the number of shards yet drops messages;
	 * its peers repeat them. */
	if (m->shard < n->shards)
		handle_msg(&n->per_shard[m->shard], m, now);
	else
		n->ops->count(n->ops->ctx, "peer_early_messages", 1);
	ogl__cell_msg__free_unpacked(m, NULL);
}

static void
deliver_loopback(struct cell_node *n, ogl_time now)
{
	GBytes *b;

	while ((b = g_queue_pop_head(&n->loopback)) != NULL) {
		gsize len;
		const char *p = g_bytes_get_data(b, &len);
		struct ogl_str s = {p, len};

		cell_node_receive(n, s, now);
		g_bytes_unref(b);
	}
}

/* ---- ownership -------------------------------------------------------- */

static void
on_won(void *arg, uint32_t shard, uint64_t epoch, ogl_time now)
{
	struct cell_node *n = arg;

	cell_owner_open(n->per_shard[shard].owner, epoch,
	    cell_lead_claim_took(n->lead), now);
}

static void
on_lost(void *arg, uint32_t shard, ogl_time now)
{
	struct cell_node *n = arg;

	cell_owner_close(n->per_shard[shard].owner, now);
}

static void
on_changed(void *arg, uint32_t shard, const char *addr, ogl_time now)
{
	struct cell_node *n = arg;
	struct node_shard *s = &n->per_shard[shard];

	s->pong_at = now;
	s->able_at = 0;
	s->next_ping_at = now;
	s->owner_known_at = now;
	s->claim_pending = false;
	s->handover_at = 0;
	if (addr != NULL)
		cell_node_notify_last_owner(s, addr, now);
	cell_front_set_owner(
	    n->front, shard, addr, cell_lead_epoch(n->lead, shard), now);
}

static void
on_outranked(void *arg, ogl_time now)
{
	struct node_shard *s = arg;

	cell_lead_epoch_refused(s->node->lead, s->shard, now);
}

static void
on_planned(void *arg, uint32_t shards, ogl_time now)
{
	struct cell_node *n = arg;
	uint32_t i;

	n->shards = shards;
	for (i = 0; i < shards; i++) {
		struct node_shard *s = &n->per_shard[i];
		struct cell_owner_events e = {on_outranked, send_reply,
		    send_ask, send_part, send_orders, s};
		struct cell_owner_params p = {i, shards, n->link_kbps};

		s->node = n;
		s->shard = i;
		s->owner = cell_owner_init(n->ops, &n->limits, &e, &p);
		if (n->config == NULL)
			continue;
		cell_owner_set_zones(s->owner, cell_front_zones(n->front), now);
		cell_owner_set_config(s->owner, n->config);
	}
	cell_front_set_shards(n->front, shards);
}

static void
on_decided(void *arg, uint32_t shards, ogl_time now)
{
	struct cell_node *n = arg;

	(void)now;
	if (cell_lead_needs_plan(n->lead))
		cell_lead_plan(n->lead, shards);
}

static bool
on_takes_turn(void *arg, ogl_time now)
{
	struct cell_node *n = arg;

	return cell_lead_take_plan_turn(n->lead, now);
}

/* ---- the node --------------------------------------------------------- */

/* How well the host could own a shard, in thousandths of a processor.  A host
 * with a slow link counts half, because it reads the jobs as slowly as a weak
 * one. */
static uint32_t
ownership_strength(const struct cell_node_config *c)
{
	if (c->link_kbps > 0 && c->link_kbps < SLOW_LINK_KBPS)
		return c->strength / 2;
	return c->strength;
}

struct cell_node *
cell_node_init(const struct cell_node_config *c, const struct cell_ops *ops)
{
	struct cell_node *n = g_new0(struct cell_node, 1);
	struct cell_lead_events lead_events = {
	    on_planned, on_won, on_lost, on_changed, n};
	struct cell_lead_self self = {
	    c->name, c->addr, c->boot, ownership_strength(c), c->link_kbps};
	struct cell_plan_events plan_events = {on_decided, on_takes_turn, n};
	struct cell_front_events front_events = {send_call, n};

	n->ops = ops;
	n->name = g_strdup(c->name);
	n->addr = g_strdup(c->addr);
	n->limits = c->limits;
	g_queue_init(&n->loopback);
	n->strength = ownership_strength(c);
	n->link_kbps = c->link_kbps;
	n->serve = cell_relay_serve_init(ops, send_answers, n);
	n->lead = cell_lead_init(ops, &lead_events, &self, c->seed);
	n->plan = cell_plan_init(ops, &plan_events, n->strength, c->seed);
	n->front = cell_front_init(ops, &n->limits, &front_events);
	return n;
}

void
cell_node_end(struct cell_node *n)
{
	uint32_t i;

	for (i = 0; i < n->shards; i++) {
		cell_owner_end(n->per_shard[i].owner);
		g_free(n->per_shard[i].successor);
		g_free(n->per_shard[i].last_owner);
	}
	cell_front_end(n->front);
	cell_plan_end(n->plan);
	cell_lead_end(n->lead);
	cell_relay_serve_end(n->serve);
	g_queue_clear_full(&n->loopback, (GDestroyNotify)g_bytes_unref);
	g_free(n->name);
	g_free(n->addr);
	g_free(n);
}

void
cell_node_set_limits(struct cell_node *n, const struct cell_limits *l)
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
cell_node_caller_gone(struct cell_node *n, uint64_t token)
{
	cell_front_caller_gone(n->front, token);
}

static void
distribute_zones(struct cell_node *n, const struct cell_zones *z)
{
	uint32_t i;

	if (cell_zones_changes(z) == n->zone_changes)
		return;
	n->zone_changes = cell_zones_changes(z);
	for (i = 0; i < n->shards; i++)
		cell_owner_set_zones(n->per_shard[i].owner, z, n->now);
}

/*
 * Gives the owners the configuration of the front end.  They get none, and
 * start nothing, before it is known which zones are evacuated.
 */
static void
distribute_config(struct cell_node *n)
{
	struct cell_config *c = cell_front_config(n->front);
	const struct cell_zones *z = cell_front_zones(n->front);
	uint32_t i;

	if (c == NULL || !cell_zones_complete(z))
		return;
	distribute_zones(n, z);
	if (c == n->config)
		return;
	n->config = c;
	for (i = 0; i < n->shards; i++)
		cell_owner_set_config(n->per_shard[i].owner, c);
}

/*
 * A stopping owner serves the shard until its successor has read the jobs and
 * claimed it.  If it resigned first, the shard would not be served while others
 * notice, claim and read, which takes seconds when the store is slow.
 */
static void
step_handover(struct node_shard *s, ogl_time now)
{
	struct cell_node *n = s->node;
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;
	Ogl__CellHandover h = OGL__CELL_HANDOVER__INIT;
	char text[96];

	if (!n->stopping || !cell_lead_is_owner(n->lead, s->shard))
		return;
	if (s->handover_at != 0) {
		if (now - s->handover_at > HANDOVER_TIMEOUT)
			cell_lead_resign(n->lead, s->shard, now);
		return;
	}
	if (s->successor == NULL ||
	    now - s->successor_heard_at > SUCCESSOR_TIMEOUT ||
	    !cell_lead_able(n->lead, s->shard, now)) {
		cell_lead_resign(n->lead, s->shard, now);
		return;
	}
	s->handover_at = now;
	g_snprintf(text, sizeof text, "shard=%u to=%s epoch=%" G_GUINT64_FORMAT,
	    s->shard, s->successor, cell_lead_epoch(n->lead, s->shard));
	n->ops->log(n->ops->ctx, "node", "hands_over", text);
	h.epoch = cell_lead_epoch(n->lead, s->shard);
	h.store_ms =
	    (uint32_t)(cell_lead_heartbeat_took(n->lead, s->shard) / OGL_MS);
	m.body_case = OGL__CELL_MSG__BODY_HANDOVER;
	m.handover = &h;
	cell_node_send_msg(n, s->shard, s->successor, &m);
}

static void
step_claim(struct node_shard *s, ogl_time now)
{
	if (!s->claim_pending || !cell_owner_prepared(s->owner, now))
		return;
	s->claim_pending = false;
	cell_lead_claim(s->node->lead, s->shard, now);
}

static void
step_shard(struct node_shard *s, ogl_time now, ogl_time wall)
{
	struct cell_lead *lead = s->node->lead;
	uint32_t shard = s->shard;

	step_handover(s, now);
	step_claim(s, now);
	cell_owner_set_announced(s->owner, cell_lead_announced(lead, shard));
	cell_owner_step(s->owner, cell_lead_confirmed_at(lead),
	    cell_lead_may_act(lead, shard, now), now, wall);
	if (cell_owner_wants_confirmation(s->owner, now))
		cell_lead_probe(lead, now);
	if (cell_lead_addr(lead, shard) != NULL)
		s->owner_known_at = now;
}

void
cell_node_step(struct cell_node *n, ogl_time now, ogl_time wall)
{
	uint32_t i;

	detect_pause(n, now);
	for (i = 0; i < n->shards; i++)
		cell_owner_measure_load(n->per_shard[i].owner, n->wake_at, now);
	n->stepped_at = now;
	if (n->started_at == 0)
		n->started_at = now;
	n->now = now;
	if (cell_lead_needs_plan(n->lead))
		cell_plan_step(n->plan, now);
	cell_lead_step(n->lead, now);
	cell_front_step(n->front, now);
	distribute_config(n);
	cell_node_update_quiet(n, now);
	for (i = 0; i < n->shards; i++)
		cell_node_ping_owner(&n->per_shard[i], now);
	deliver_loopback(n, now);
	for (i = 0; i < n->shards; i++)
		step_shard(&n->per_shard[i], now, wall);
	cell_relay_serve_step(n->serve, now);
	deliver_loopback(n, now);
	n->wake_at = MAX(now, cell_node_wake(n, now));
}

ogl_time
cell_node_wake(const struct cell_node *n, ogl_time now)
{
	ogl_time due = now + STEP_INTERVAL;
	uint32_t i;

	if (!g_queue_is_empty((GQueue *)(uintptr_t)&n->loopback))
		return now;
	for (i = 0; i < n->shards; i++)
		due = MIN(due, cell_owner_wake(n->per_shard[i].owner));
	return MIN(due, cell_relay_serve_wake(n->serve));
}

void
cell_node_stop(struct cell_node *n, ogl_time now)
{
	uint32_t i;

	n->stopping = true;
	for (i = 0; i < n->shards; i++)
		n->per_shard[i].next_ping_at = now;
	cell_lead_stop_claiming(n->lead);
	for (i = 0; i < n->shards; i++)
		step_handover(&n->per_shard[i], now);
}

bool
cell_node_stopped(const struct cell_node *n)
{
	return cell_front_open_calls(n->front) == 0 &&
	       cell_lead_owned_count(n->lead) == 0;
}

/* A node that knows no owner of some shard is not ready for callers: other
 * nodes may know one. */
static bool
all_owned(const struct cell_node *n, ogl_time now)
{
	uint32_t i;

	for (i = 0; i < n->shards; i++) {
		if (now - n->per_shard[i].owner_known_at >= OWNERLESS_TIMEOUT)
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
