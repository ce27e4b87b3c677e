/*
 * Each node pings the owner, which so learns whom it can ask advice through;
 * a pong that does not come shows a connection that has gone silent, and it is
 * opened anew.  Messages to oneself do not touch the network.
 */

#include <string.h>

#include "node.h"

#define TICK (40 * OGL_MS)
/* A step is due each TICK; a longer gap means that the process did not run,
 * and others may have acted in its place. */
#define STOOD_STILL (400 * OGL_MS)
/* What counts as much stronger, and for how long it has to be there. */
#define MUCH_STRONGER 1.7
#define STRONGER_FOR (2500 * OGL_MS)
#define PING (250 * OGL_MS)
/* A ping unanswered for so long: the connection is not trusted any more. */
#define PONG_MAX (900 * OGL_MS)
/* Nobody owns the cell for so long: callers are sent elsewhere. */
#define OWNERLESS_MAX (1500 * OGL_MS)

struct cell_node {
	const struct cell_ops *ops;
	char *name;
	char *addr;
	struct cell_limits limits;
	struct cell_lead *lead;
	struct cell_owner *owner;
	struct cell_front *front;
	struct cell_config *config; /* that the owner was told of */
	bool stopping;
	ogl_time ping_at;
	ogl_time pong_at; /* last pong, or the first ping to a new owner */
	ogl_time now;     /* of the step or event under way */
	ogl_time owner_seen;
	ogl_time stepped_at;
	ogl_time wake_at; /* asked for by the last step, 0 none yet */
	uint32_t strength;
	ogl_time stronger_at; /* first ping of a much stronger node, 0 none */
	ogl_time stronger_last;
	GQueue loop; /* Ogl__CellMsg as bytes, to oneself */
};

/* ---- messages --------------------------------------------------------- */

static void
send_msg(struct cell_node *n, const char *to, Ogl__CellMsg *m)
{
	size_t len;
	uint8_t *p;
	GBytes *b;

	m->from = n->addr;
	m->epoch = cell_lead_epoch(n->lead);
	len = ogl__cell_msg__get_packed_size(m);
	p = g_malloc(len);
	ogl__cell_msg__pack(m, p);
	b = g_bytes_new_take(p, len);
	if (strcmp(to, n->addr) == 0) {
		g_queue_push_tail(&n->loop, b);
		return;
	}
	n->ops->peer_send(n->ops->ctx, to, b);
	g_bytes_unref(b);
}

static void
send_call(void *arg, const char *to, const Ogl__CellCall *c)
{
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;

	m.body_case = OGL__CELL_MSG__BODY_CALL;
	m.call = (Ogl__CellCall *)(uintptr_t)c;
	send_msg(arg, to, &m);
}

static void
send_reply(void *arg, const char *to, const Ogl__CellReply *r)
{
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;

	m.body_case = OGL__CELL_MSG__BODY_REPLY;
	m.reply = (Ogl__CellReply *)(uintptr_t)r;
	send_msg(arg, to, &m);
}

static void
send_ask(void *arg, const char *to, const Ogl__CellAsk *a)
{
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;

	m.body_case = OGL__CELL_MSG__BODY_ASK;
	m.ask = (Ogl__CellAsk *)(uintptr_t)a;
	send_msg(arg, to, &m);
}

/* ---- advice for the owner --------------------------------------------- */

struct asked {
	struct cell_node *node;
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
	send_msg(q->node, q->to, &m);
	g_free(tickets);
	g_free(list);
	g_free(q->to);
	g_free(q);
}

static void
take_ask(struct cell_node *n, const char *from, const Ogl__CellAsk *a)
{
	struct asked *q = g_new(struct asked, 1);
	struct cell_ask ask = {a->step, (const char *const *)(void *)a->workers,
	    a->n_workers, a->timeout_ms};

	q->node = n;
	q->to = g_strdup(from);
	q->token = a->token;
	n->ops->ask(n->ops->outside, &ask, on_asked, q);
}

/* ---- incoming --------------------------------------------------------- */

/*
 * A weak machine may own the cell because the strong ones were away when the
 * last owner was lost.  Once one has been back for a while it gets the cell.
 */
static void
weigh_peer(struct cell_node *n, const Ogl__CellPing *p, ogl_time now)
{
	if (!p->store_ok || p->leaving || n->strength == 0 ||
	    p->strength < n->strength * MUCH_STRONGER)
		return;
	if (now - n->stronger_last > OGL_SEC)
		n->stronger_at = now;
	n->stronger_last = now;
	if (now - n->stronger_at < STRONGER_FOR ||
	    !cell_lead_able(n->lead, now))
		return;
	n->stronger_at = now;
	n->ops->log(n->ops->ctx, "node", "hands_over", "to=stronger");
	cell_lead_resign(n->lead, now);
}

static void
take_ping(
    struct cell_node *n, const char *from, const Ogl__CellPing *p, ogl_time now)
{
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;
	Ogl__CellPong pong = OGL__CELL_PONG__INIT;

	cell_owner_node(n->owner, from, p->leaving, now);
	weigh_peer(n, p, now);
	pong.stamp = p->stamp;
	if (cell_lead_is_owner(n->lead))
		pong.owns = cell_lead_epoch(n->lead);
	pong.able = cell_lead_able(n->lead, now);
	m.body_case = OGL__CELL_MSG__BODY_PONG;
	m.pong = &pong;
	send_msg(n, from, &m);
}

/* The owner may have been replaced by its own next life, or be cut off from
 * the store alone; its pongs tell so long before silence would. */
static void
take_pong(struct cell_node *n, const Ogl__CellMsg *m, ogl_time now)
{
	const char *owner = cell_lead_addr(n->lead);

	n->pong_at = now;
	if (owner == NULL || strcmp(owner, m->from) != 0)
		return;
	if (m->pong->owns == 0 || !m->pong->able)
		cell_lead_doubt(n->lead, m->epoch, now);
}

static void
take_msg(struct cell_node *n, Ogl__CellMsg *m, ogl_time now)
{
	switch (m->body_case) {
	case OGL__CELL_MSG__BODY_PING:
		take_ping(n, m->from, m->ping, now);
		break;
	case OGL__CELL_MSG__BODY_PONG:
		take_pong(n, m, now);
		break;
	case OGL__CELL_MSG__BODY_CALL:
		cell_owner_call(n->owner, m->from, m->call, now);
		break;
	case OGL__CELL_MSG__BODY_REPLY:
		cell_front_reply(n->front, m->reply, now);
		break;
	case OGL__CELL_MSG__BODY_ASK:
		take_ask(n, m->from, m->ask);
		break;
	case OGL__CELL_MSG__BODY_ADVICE:
		cell_owner_advice(n->owner, m->advice, now);
		break;
	default:
		n->ops->count(n->ops->ctx, "peer_unknown_messages", 1);
		break;
	}
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
	n->now = now;
	take_msg(n, m, now);
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

/* ---- ownership -------------------------------------------------------- */

static void
on_won(void *arg, uint64_t epoch, ogl_time now)
{
	struct cell_node *n = arg;

	cell_owner_open(n->owner, epoch, now);
}

static void
on_lost(void *arg, ogl_time now)
{
	struct cell_node *n = arg;

	cell_owner_close(n->owner, now);
}

static void
on_changed(void *arg, const char *addr, ogl_time now)
{
	struct cell_node *n = arg;

	n->pong_at = now;
	n->ping_at = now;
	n->owner_seen = now;
	cell_front_owner(n->front, addr, cell_lead_epoch(n->lead), now);
}

static void
on_outranked(void *arg, ogl_time now)
{
	struct cell_node *n = arg;

	cell_lead_outranked(n->lead, now);
}

/* ---- the node --------------------------------------------------------- */

struct cell_node *
cell_node_init(const struct cell_node_config *c, const struct cell_ops *ops)
{
	struct cell_node *n = g_new0(struct cell_node, 1);
	struct cell_lead_events le = {on_won, on_lost, on_changed, n};
	struct cell_lead_self self = {c->name, c->addr, c->boot, c->strength};
	struct cell_owner_events oe = {on_outranked, send_reply, send_ask, n};
	struct cell_front_events fe = {send_call, n};

	n->ops = ops;
	n->name = g_strdup(c->name);
	n->addr = g_strdup(c->addr);
	n->limits = c->limits;
	g_queue_init(&n->loop);
	n->strength = c->strength;
	n->lead = cell_lead_init(ops, &le, &self, c->seed);
	n->owner = cell_owner_init(ops, &n->limits, &oe);
	n->front = cell_front_init(ops, &n->limits, &fe);
	return n;
}

void
cell_node_end(struct cell_node *n)
{
	cell_owner_end(n->owner);
	cell_front_end(n->front);
	cell_lead_end(n->lead);
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
ping(struct cell_node *n, ogl_time now)
{
	const char *owner = cell_lead_addr(n->lead);
	Ogl__CellMsg m = OGL__CELL_MSG__INIT;
	Ogl__CellPing p = OGL__CELL_PING__INIT;

	if (owner == NULL || now < n->ping_at)
		return;
	if (now - n->pong_at > PONG_MAX) {
		n->ops->count(n->ops->ctx, "peer_resets", 1);
		n->ops->peer_reset(n->ops->ctx, owner);
		n->pong_at = now;
	}
	if (n->ops->peer_refused(n->ops->ctx, owner))
		cell_lead_hint_dead(n->lead, now);
	n->ping_at = now + PING;
	p.stamp = (uint64_t)now;
	p.store_ok = cell_lead_reads(n->lead, now);
	p.leaving = n->stopping;
	p.strength = n->strength;
	m.body_case = OGL__CELL_MSG__BODY_PING;
	m.ping = &p;
	send_msg(n, owner, &m);
}

/* The owner goes by the same configuration as the entry. */
static void
share_config(struct cell_node *n)
{
	struct cell_config *c = cell_front_config(n->front);

	if (c == n->config)
		return;
	n->config = c;
	cell_owner_config(n->owner, c);
}

void
cell_node_step(struct cell_node *n, ogl_time now, ogl_time wall)
{
	if (n->stepped_at != 0 && now - n->stepped_at > STOOD_STILL)
		cell_owner_doubt(n->owner, now);
	n->stepped_at = now;
	cell_owner_ran(n->owner, n->wake_at, now);
	n->now = now;
	cell_lead_step(n->lead, now);
	cell_front_step(n->front, now);
	share_config(n);
	ping(n, now);
	run_loop(n, now);
	cell_owner_step(n->owner, cell_lead_confirmed(n->lead),
	    cell_lead_may_act(n->lead, now), now, wall);
	if (cell_owner_wants_proof(n->owner))
		cell_lead_probe(n->lead, now);
	run_loop(n, now);
	if (cell_lead_addr(n->lead) != NULL)
		n->owner_seen = now;
	n->wake_at = MAX(now, cell_node_wake(n, now));
}

ogl_time
cell_node_wake(const struct cell_node *n, ogl_time now)
{
	if (!g_queue_is_empty((GQueue *)(uintptr_t)&n->loop))
		return now;
	return MIN(now + TICK, cell_owner_wake(n->owner));
}

void
cell_node_stop(struct cell_node *n, ogl_time now)
{
	n->stopping = true;
	n->ping_at = now;
	cell_lead_retire(n->lead, now);
}

bool
cell_node_stopped(const struct cell_node *n)
{
	return cell_front_open(n->front) == 0;
}

bool
cell_node_ready(const struct cell_node *n, ogl_time now)
{
	return !n->stopping && cell_front_fresh(n->front, now) &&
	       now - n->owner_seen < OWNERLESS_MAX;
}

bool
cell_node_owns(const struct cell_node *n)
{
	return cell_lead_is_owner(n->lead);
}
