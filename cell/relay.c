/*
 * A start goes through the node that has the job's spec, as long as that node
 * is there; else through one chosen by the job's id, which is sent the spec
 * once.  Stops and holds go through a node chosen by the worker's id, so that a
 * worker has few connections.
 *
 * To the fleet a relayed call is a call like any other: it ends once, as done,
 * refused, lost or not sent.  One whose answer does not come is lost, since it
 * may be carried out still.  A relay that leaves calls unanswered is passed over
 * for a while.
 *
 * Orders to the same relay gather for a moment and go in one message.
 */

#include <string.h>

#include "order_msg.h"
#include "relay.h"

/* What a worker costs its owner's link when it is called directly. */
#define WORKER_BYTES_A_SECOND 5000
/* Part of the link that calls to workers may take before they are relayed:
 * jobs, the store and the other nodes need the rest. */
#define LINK_PART 0.25
/* A connection from each relay to each worker; a worker takes 64. */
#define RELAYS_MAX 24
/* Of them, those that ask workers for their ends: with few the messages are
 * few and large. */
#define HOLD_RELAYS 6
/* Orders to one node gather for so long. */
#define GATHER (2 * OGL_MS)
/* Orders that gathered for longer did so while this process stood still: its
 * right to give them may be over. */
#define GATHER_MAX (200 * OGL_MS)
/* A node pings four times a second. */
#define FRESH OGL_SEC
/* One not heard of for so long has gone; another came at its place. */
#define FORGOTTEN (60 * OGL_SEC)
/* A relay gives a call up by itself; its answer needs so long at most. */
#define ANSWER_MARGIN (400 * OGL_MS)
#define PASSED_OVER (2 * OGL_SEC)
/* A worker that so many starts in a row through relays may not have reached is
 * called directly for so long: it may be cut off from a relay alone. */
#define LOST_STARTS 4
#define DIRECT (5 * OGL_SEC)
/* Answers are compared over so long. */
#define WINDOW (200 * OGL_MS)
#define TOKENS_AN_EPOCH_BITS 32
#define LIST_KEY "workers" /* by which the node is chosen that reads them */

/* A node that may make calls. */
struct node {
	char *addr;
	ogl_time heard;
	ogl_time passed_over_until;
	uint64_t unanswered; /* calls in a row */
	Ogl__CellOrders batch;
	size_t batch_size;
	ogl_time batch_at; /* the first of the batch was given */
};

/* How starts through relays reach a worker. */
struct reach {
	unsigned lost; /* in a row */
	ogl_time direct_until;
};

/* A call whose answer is awaited. */
struct order {
	uint64_t token;
	char *to;     /* the relay */
	char *worker; /* of a start, its id */
	ogl_time sent;
	ogl_time deadline;
	Ogl__CellOrder *message; /* of a start without spec, to send it again */
	char *spec;
	cell_hold_fn *hold;
	cell_order_fn *order;
	cell_read_fn *list;
	void *arg;
};

struct cell_relay {
	const struct cell_ops *ops;
	struct cell_relay_events events;
	uint32_t link_kbps;
	bool thin;    /* the link can't carry the calls: they are relayed */
	ogl_time now; /* of the last step or event */
	uint64_t token;
	GHashTable *nodes;  /* addr -> struct node */
	GPtrArray *ranked;  /* struct node, in the order of their addresses */
	GHashTable *orders; /* token -> struct order */
	GHashTable *told;   /* job -> address of the node that has its spec */
	GHashTable *reach;  /* worker -> struct reach */
	/* Quickest answers of this window and of the last one, 0 none. */
	ogl_time window_at;
	ogl_time quickest;
	ogl_time quickest_before;
};

/* ---- nodes ------------------------------------------------------------ */

static void
drop_batch(struct node *n)
{
	size_t i;

	for (i = 0; i < n->batch.n_orders; i++)
		ogl__cell_order__free_unpacked(n->batch.orders[i], NULL);
	n->batch.n_orders = 0;
}

static void
node_free(void *p)
{
	struct node *n = p;

	drop_batch(n);
	g_free(n->batch.orders);
	g_free(n->addr);
	g_free(n);
}

static void
order_free(void *p)
{
	struct order *o = p;

	if (o->message != NULL)
		ogl__cell_order__free_unpacked(o->message, NULL);
	g_free(o->spec);
	g_free(o->worker);
	g_free(o->to);
	g_free(o);
}

struct cell_relay *
cell_relay_init(const struct cell_ops *ops, uint32_t link_kbps,
    const struct cell_relay_events *events)
{
	struct cell_relay *r = g_new0(struct cell_relay, 1);

	r->ops = ops;
	r->events = *events;
	r->link_kbps = link_kbps;
	r->nodes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, node_free);
	r->ranked = g_ptr_array_new();
	r->orders = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, order_free);
	r->reach =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	r->told =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return r;
}

static gint
by_addr(gconstpointer a, gconstpointer b)
{
	const struct node *const *x = a;
	const struct node *const *y = b;

	return strcmp((*x)->addr, (*y)->addr);
}

static gboolean
is_forgotten(gpointer key, gpointer value, gpointer ctx)
{
	const struct node *n = value;
	const struct cell_relay *r = ctx;

	(void)key;
	return r->now - n->heard > FORGOTTEN && n->batch.n_orders == 0;
}

static void
rank(struct cell_relay *r)
{
	GHashTableIter it;
	gpointer p;

	g_ptr_array_set_size(r->ranked, 0);
	g_hash_table_iter_init(&it, r->nodes);
	while (g_hash_table_iter_next(&it, NULL, &p))
		g_ptr_array_add(r->ranked, p);
	g_ptr_array_sort(r->ranked, by_addr);
}

void
cell_relay_node(
    struct cell_relay *r, const char *addr, bool leaving, ogl_time now)
{
	struct node *n = g_hash_table_lookup(r->nodes, addr);

	r->now = now;
	if (leaving) {
		if (n != NULL)
			n->heard = CELL_LONG_AGO;
		return;
	}
	if (n == NULL) {
		n = g_new0(struct node, 1);
		n->addr = g_strdup(addr);
		ogl__cell_orders__init(&n->batch);
		n->heard = now;
		g_hash_table_foreach_remove(r->nodes, is_forgotten, r);
		g_hash_table_insert(r->nodes, n->addr, n);
		rank(r);
	}
	n->heard = now;
}

static bool
usable(const struct cell_relay *r, const struct node *n)
{
	return r->now - n->heard < FRESH && r->now >= n->passed_over_until;
}

static uint32_t
weight(const char *key, const char *addr)
{
	return g_str_hash(key) * 2654435761U ^ g_str_hash(addr) * 40503U;
}

/* The same node for the same key, of the first so many that are there; NULL: none
 * can be used. */
static struct node *
choose(const struct cell_relay *r, const char *key, guint most_nodes)
{
	struct node *best = NULL;
	uint32_t most = 0;
	guint there = 0;
	guint i;

	for (i = 0; i < r->ranked->len && there < most_nodes; i++) {
		struct node *x = r->ranked->pdata[i];
		uint32_t w = weight(key, x->addr);

		there += r->now - x->heard < FRESH;
		if (!usable(r, x) || (best != NULL && w <= most))
			continue;
		best = x;
		most = w;
	}
	return best;
}

void
cell_relay_told(struct cell_relay *r, const char *job, const char *addr)
{
	if (r->thin)
		g_hash_table_replace(r->told, g_strdup(job), g_strdup(addr));
}

void
cell_relay_forget(struct cell_relay *r, const char *job)
{
	g_hash_table_remove(r->told, job);
}

/* Whether the node is among those that may have connections to workers. */
static bool
is_relay(const struct cell_relay *r, const struct node *n)
{
	guint there = 0;
	guint i;

	for (i = 0; i < r->ranked->len && there < RELAYS_MAX; i++) {
		const struct node *x = r->ranked->pdata[i];

		if (x == n)
			return true;
		there += r->now - x->heard < FRESH;
	}
	return false;
}

static struct node *
choose_for_job(struct cell_relay *r, const char *job, bool *has_spec)
{
	const char *addr = g_hash_table_lookup(r->told, job);
	struct node *n =
	    addr != NULL ? g_hash_table_lookup(r->nodes, addr) : NULL;

	*has_spec = n != NULL && usable(r, n) && is_relay(r, n);
	return *has_spec ? n : choose(r, job, RELAYS_MAX);
}

/* ---- giving orders ---------------------------------------------------- */

static Ogl__CellOrder *
message_new(
    Ogl__CellOrderKind kind, const struct cell_target *to, uint32_t timeout_ms)
{
	Ogl__CellOrder *m = malloc(sizeof *m);

	ogl__cell_order__init(m);
	m->kind = kind;
	m->addr = cell_order_strdup(to->addr);
	m->worker = cell_order_strdup(to->id);
	m->epoch = to->epoch;
	m->timeout_ms = timeout_ms;
	return m;
}

static Ogl__CellOrder *
order_message(Ogl__CellOrderKind kind, const struct cell_order *o)
{
	Ogl__CellOrder *m = message_new(kind, &o->to, o->timeout_ms);

	m->job = cell_order_strdup(o->task.id);
	m->occurrence = o->task.occurrence;
	m->step = o->task.step;
	m->index = o->task.index;
	m->run = o->run;
	if (kind != OGL__CELL_ORDER_KIND__cell_order_start)
		return m;
	m->until_ms = o->until_ms;
	m->checkpoint = cell_order_strdup(o->checkpoint);
	m->ticket = cell_order_strdup(o->ticket);
	return m;
}

/* Takes m. */
static void
put_in_batch(struct cell_relay *r, struct node *n, Ogl__CellOrder *m)
{
	if (n->batch.n_orders == 0)
		n->batch_at = r->now;
	if (n->batch.n_orders == n->batch_size) {
		n->batch_size = MAX(n->batch_size * 2, 8);
		n->batch.orders =
		    g_renew(Ogl__CellOrder *, n->batch.orders, n->batch_size);
	}
	n->batch.orders[n->batch.n_orders++] = m;
}

static struct order *
order_new(
    struct cell_relay *r, const struct node *n, Ogl__CellOrder *m, void *arg)
{
	struct order *o = g_new0(struct order, 1);

	o->token = ++r->token;
	o->to = g_strdup(n->addr);
	o->sent = r->now;
	o->deadline = r->now + m->timeout_ms * OGL_MS + ANSWER_MARGIN;
	o->arg = arg;
	m->token = o->token;
	g_hash_table_insert(r->orders, &o->token, o);
	return o;
}

static void
add_spec(Ogl__CellOrder *m, const char *spec)
{
	m->spec = cell_order_strdup(spec); /* a message begins without */
	m->with_spec = true;
}

static void
note_reach(struct cell_relay *r, const char *worker, bool lost, ogl_time now)
{
	struct reach *x = g_hash_table_lookup(r->reach, worker);

	if (!lost) {
		g_hash_table_remove(r->reach, worker);
		return;
	}
	if (x == NULL) {
		x = g_new0(struct reach, 1);
		g_hash_table_insert(r->reach, g_strdup(worker), x);
	}
	if (++x->lost < LOST_STARTS)
		return;
	x->lost = 0;
	x->direct_until = now + DIRECT;
}

static bool
is_direct(const struct cell_relay *r, const char *worker)
{
	const struct reach *x = g_hash_table_lookup(r->reach, worker);

	return x != NULL && r->now < x->direct_until;
}

static void
relay_start(
    void *ctx, const struct cell_order *o, cell_order_fn *done, void *arg)
{
	struct cell_relay *r = ctx;
	bool has_spec = false;
	struct node *n = NULL;
	Ogl__CellOrder *m;
	struct order *x;

	if (r->thin && !is_direct(r, o->to.id))
		n = choose_for_job(r, o->task.id, &has_spec);
	if (n == NULL) {
		r->ops->start(r->ops->outside, o, done, arg);
		return;
	}
	m = order_message(OGL__CELL_ORDER_KIND__cell_order_start, o);
	x = order_new(r, n, m, arg);
	x->order = done;
	x->worker = g_strdup(o->to.id);
	if (has_spec) {
		x->message = cell_order_copy(m);
		x->spec = g_strdup(o->spec);
	} else {
		add_spec(m, o->spec);
		cell_relay_told(r, o->task.id, n->addr);
	}
	put_in_batch(r, n, m);
}

static void
relay_stop(
    void *ctx, const struct cell_order *o, cell_order_fn *done, void *arg)
{
	struct cell_relay *r = ctx;
	struct node *n = r->thin ? choose(r, o->to.id, HOLD_RELAYS) : NULL;
	Ogl__CellOrder *m;

	if (n == NULL) {
		r->ops->stop(r->ops->outside, o, done, arg);
		return;
	}
	m = order_message(OGL__CELL_ORDER_KIND__cell_order_stop, o);
	order_new(r, n, m, arg)->order = done;
	put_in_batch(r, n, m);
}

static void
relay_hold(void *ctx, const struct cell_hold *h, cell_hold_fn *done, void *arg)
{
	struct cell_relay *r = ctx;
	struct node *n = r->thin ? choose(r, h->to.id, HOLD_RELAYS) : NULL;
	Ogl__CellOrder *m;

	if (n == NULL) {
		r->ops->hold(r->ops->outside, h, done, arg);
		return;
	}
	m = message_new(
	    OGL__CELL_ORDER_KIND__cell_order_hold, &h->to, h->timeout_ms);
	m->until_ms = h->until_ms;
	m->last_seen = h->last_seen;
	m->wait_ms = h->wait_ms;
	order_new(r, n, m, arg)->hold = done;
	put_in_batch(r, n, m);
}

/* The workers' entries: each is written anew with each of its heartbeats, and
 * hardly ever says anything new. */
static void
relay_read(void *ctx, const struct cell_read *q, cell_read_fn *done, void *arg)
{
	const struct cell_target nobody = {"", "", 0};
	struct cell_relay *r = ctx;
	struct node *n = NULL;
	Ogl__CellOrder *m;

	if (r->thin && q->stream == CELL_WORKERS)
		n = choose(r, LIST_KEY, HOLD_RELAYS);
	if (n == NULL) {
		r->ops->read(r->ops->outside, q, done, arg);
		return;
	}
	m = message_new(
	    OGL__CELL_ORDER_KIND__cell_order_list, &nobody, q->timeout_ms);
	m->from = q->from;
	order_new(r, n, m, arg)->list = done;
	put_in_batch(r, n, m);
}

static void
relay_newest(
    void *ctx, const struct cell_newest *q, cell_newest_fn *done, void *arg)
{
	struct cell_relay *r = ctx;

	r->ops->newest(r->ops->outside, q, done, arg);
}

void
cell_relay_fill(struct cell_relay *r, struct cell_ops *ops)
{
	ops->read = relay_read;
	ops->newest = relay_newest;
	ops->start = relay_start;
	ops->stop = relay_stop;
	ops->hold = relay_hold;
	ops->outside = r;
}

/* ---- answers ---------------------------------------------------------- */

static void
finish_list(struct order *o, const Ogl__CellOrderAnswer *m, enum ogl_io io,
    ogl_time now)
{
	size_t n = m != NULL ? m->n_entries : 0;
	struct cell_record *records = g_new0(struct cell_record, n);
	struct cell_worker_entry *entries = g_new0(struct cell_worker_entry, n);
	struct cell_read_answer a = {.io = io, .records = records, .n = n};
	size_t i;

	if (m != NULL) {
		a.trimmed = m->trimmed;
		a.first = m->first;
		a.end = m->end;
	}
	for (i = 0; i < n; i++)
		cell_entry_from_msg(m->entries[i], &records[i], &entries[i]);
	o->list(o->arg, &a, now);
	for (i = 0; i < n; i++)
		g_free(entries[i].labels);
	g_free(entries);
	g_free(records);
}

static void
finish_order(struct order *o, const Ogl__CellOrderAnswer *m, enum ogl_io io,
    enum cell_refusal why, ogl_time now)
{
	struct cell_order_answer a = {
	    .io = io, .why = why, .clock_ms = m != NULL ? m->clock_ms : 0};

	o->order(o->arg, &a, now);
}

static void
finish_hold(struct order *o, const Ogl__CellOrderAnswer *m, enum ogl_io io,
    enum cell_refusal why, ogl_time now)
{
	const Ogl__CellOrderAnswer none = OGL__CELL_ORDER_ANSWER__INIT;
	const Ogl__CellOrderAnswer *x = m != NULL ? m : &none;
	struct cell_row *running = cell_rows_from_msg(x->running, x->n_running);
	struct cell_row *ended = cell_rows_from_msg(x->ended, x->n_ended);
	struct cell_hold_answer a = {.io = io,
	    .why = why,
	    .no_listener = x->no_listener,
	    .clock_ms = x->clock_ms,
	    .born_ms = x->born_ms,
	    .running = running,
	    .nrunning = x->n_running,
	    .ended = ended,
	    .nended = x->n_ended};

	o->hold(o->arg, &a, now);
	g_free(running);
	g_free(ended);
}

/* m NULL: no answer came. */
static void
finish(struct cell_relay *r, struct order *o, const Ogl__CellOrderAnswer *m,
    ogl_time now)
{
	enum ogl_io io =
	    m != NULL ? cell_order_outcome_to_io(m->outcome) : OGL_IO_LOST;
	enum cell_refusal why = m != NULL && m->refusal <= CELL_REFUSED_BAD
				    ? (enum cell_refusal)m->refusal
				    : CELL_REFUSED_NOT;

	if (o->worker != NULL)
		note_reach(r, o->worker, io == OGL_IO_LOST, now);
	if (o->list != NULL)
		finish_list(o, m, io, now);
	else if (o->order != NULL)
		finish_order(o, m, io, why, now);
	else
		finish_hold(o, m, io, why, now);
	order_free(o);
}

/* Takes the order out: whoever finishes it frees it. */
static struct order *
take(struct cell_relay *r, uint64_t token)
{
	struct order *o = g_hash_table_lookup(r->orders, &token);

	if (o != NULL)
		g_hash_table_steal(r->orders, &token);
	return o;
}

/* The node has dropped the spec meanwhile. */
static bool
repeat_with_spec(struct cell_relay *r, struct order *o)
{
	struct node *n = g_hash_table_lookup(r->nodes, o->to);

	if (o->message == NULL || n == NULL)
		return false;
	add_spec(o->message, o->spec);
	put_in_batch(r, n, o->message);
	o->message = NULL;
	g_hash_table_insert(r->orders, &o->token, o);
	return true;
}

/* A call without an answer took at least as long as it was waited for. */
static void
note_delay(struct cell_relay *r, const struct order *o, ogl_time now)
{
	ogl_time took = MAX(now - o->sent, 1);

	if (o->order == NULL)
		return;
	if (now - r->window_at > WINDOW) {
		r->quickest_before =
		    now - r->window_at > 2 * WINDOW ? 0 : r->quickest;
		r->quickest = 0;
		r->window_at = now;
	}
	if (r->quickest == 0 || took < r->quickest)
		r->quickest = took;
}

ogl_time
cell_relay_delay(const struct cell_relay *r, ogl_time now)
{
	if (now - r->window_at > 2 * WINDOW)
		return 0;
	if (r->quickest_before == 0)
		return r->quickest;
	return r->quickest == 0 ? r->quickest_before
				: MIN(r->quickest, r->quickest_before);
}

void
cell_relay_answer(
    struct cell_relay *r, const Ogl__CellOrderAnswer *m, ogl_time now)
{
	struct order *o = take(r, m->token);
	struct node *n;

	r->now = now;
	if (o == NULL)
		return;
	n = g_hash_table_lookup(r->nodes, o->to);
	note_delay(r, o, now);
	if (n != NULL)
		n->unanswered = 0;
	if (m->outcome == OGL__CELL_ORDER_OUTCOME__cell_order_lacks_spec &&
	    repeat_with_spec(r, o))
		return;
	finish(r, o, m, now);
}

/* ---- what falls due --------------------------------------------------- */

/* A single answer may be lost with its connection. */
static void
count_unanswered(struct cell_relay *r, const struct order *o, ogl_time now)
{
	struct node *n = g_hash_table_lookup(r->nodes, o->to);
	char line[160];

	if (n == NULL || ++n->unanswered < 2 || now < n->passed_over_until)
		return;
	n->passed_over_until = now + PASSED_OVER;
	g_snprintf(line, sizeof line,
	    "relay=%s unanswered=%" G_GUINT64_FORMAT
	    " heard_ms=%" G_GINT64_FORMAT,
	    n->addr, n->unanswered, (now - n->heard) / OGL_MS);
	r->ops->log(r->ops->ctx, "relay", "passed_over", line);
}

static void
give_up(struct cell_relay *r, ogl_time now)
{
	GArray *late = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter it;
	gpointer p;
	guint i;

	g_hash_table_iter_init(&it, r->orders);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct order *o = p;

		if (now >= o->deadline)
			g_array_append_val(late, o->token);
	}
	for (i = 0; i < late->len; i++) {
		struct order *o = take(r, g_array_index(late, uint64_t, i));

		note_delay(r, o, now);
		count_unanswered(r, o, now);
		finish(r, o, NULL, now);
	}
	g_array_unref(late);
}

/* The orders of the batch were not sent. */
static void
withdraw(struct cell_relay *r, struct node *n, ogl_time now)
{
	Ogl__CellOrderAnswer none = OGL__CELL_ORDER_ANSWER__INIT;
	GArray *tokens = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	size_t i;

	for (i = 0; i < n->batch.n_orders; i++)
		g_array_append_val(tokens, n->batch.orders[i]->token);
	drop_batch(n);
	none.outcome = OGL__CELL_ORDER_OUTCOME__cell_order_not_sent;
	for (i = 0; i < tokens->len; i++) {
		struct order *o = take(r, g_array_index(tokens, uint64_t, i));

		if (o != NULL)
			finish(r, o, &none, now);
	}
	g_array_unref(tokens);
}

void
cell_relay_flush(struct cell_relay *r, ogl_time now)
{
	guint i;

	for (i = 0; i < r->ranked->len; i++) {
		struct node *n = r->ranked->pdata[i];

		if (n->batch.n_orders == 0 || now - n->batch_at < GATHER)
			continue;
		if (now - n->batch_at > GATHER_MAX) {
			withdraw(r, n, now);
			continue;
		}
		r->events.send(r->events.arg, n->addr, &n->batch);
		drop_batch(n);
	}
}

void
cell_relay_close(struct cell_relay *r, ogl_time now)
{
	guint i;

	for (i = 0; i < r->ranked->len; i++)
		withdraw(r, r->ranked->pdata[i], now);
}

ogl_time
cell_relay_wake(const struct cell_relay *r)
{
	ogl_time at = OGL_NEVER;
	guint i;

	for (i = 0; i < r->ranked->len; i++) {
		const struct node *n = r->ranked->pdata[i];

		if (n->batch.n_orders > 0)
			at = MIN(at, n->batch_at + GATHER);
	}
	return at;
}

static bool
too_thin(const struct cell_relay *r, size_t workers)
{
	double part = r->link_kbps * 1000.0 / 8 * LINK_PART;

	return r->link_kbps > 0 &&
	       (double)workers * WORKER_BYTES_A_SECOND > part;
}

void
cell_relay_step(struct cell_relay *r, size_t workers, ogl_time now)
{
	bool thin = too_thin(r, workers);
	char line[96];

	r->now = now;
	if (thin != r->thin) {
		r->thin = thin;
		g_snprintf(line, sizeof line,
		    "active=%d workers=%zu link_kbps=%u", thin, workers,
		    r->link_kbps);
		r->ops->log(r->ops->ctx, "relay", "switched", line);
	}
	give_up(r, now);
}

bool
cell_relay_thin(const struct cell_relay *r)
{
	return r->thin;
}

void
cell_relay_open(struct cell_relay *r, uint64_t epoch)
{
	r->token = MAX(r->token, epoch << TOKENS_AN_EPOCH_BITS);
	g_hash_table_remove_all(r->told);
	g_hash_table_remove_all(r->reach);
}

void
cell_relay_end(struct cell_relay *r)
{
	GList *all = g_hash_table_get_values(r->orders);
	GList *at;

	g_hash_table_steal_all(r->orders);
	for (at = all; at != NULL; at = at->next)
		finish(r, at->data, NULL, r->now);
	g_list_free(all);
	g_hash_table_unref(r->orders);
	g_hash_table_unref(r->told);
	g_hash_table_unref(r->reach);
	g_ptr_array_unref(r->ranked);
	g_hash_table_unref(r->nodes);
	g_free(r);
}
