/*
 * Sends a shard owner's calls to workers through other nodes (relays) while the
 * owner's own link is too slow for them.
 *
 * A start goes through the node that has the job's spec, as long as that node
 * is up; otherwise through one chosen by the job's id, which is sent the spec
 * once.  Stops and holds go through a node chosen by the worker's id, so that a
 * worker has few connections.
 *
 * As with a direct call, the callback of a relayed call is called exactly once,
 * with the result done, refused, lost or not sent.  The result is lost if no
 * answer comes, since the relay may still carry the call out.  A relay that
 * leaves calls unanswered is not used for a while.
 *
 * Orders to the same relay are batched for a short time.
 */

#include <string.h>

#include "order_msg.h"
#include "relay.h"

/* Traffic on the owner's link for each worker that is called directly. */
#define WORKER_BYTES_PER_SEC 5000
/* Fraction of the link that calls to workers may use before they are relayed:
 * jobs, the store and the other nodes need the rest. */
#define LINK_FRACTION_MAX 0.25
/* Each relay may have a connection to each worker, and a worker accepts 64
 * connections. */
#define RELAYS_MAX 24
/* Stops, holds and reads go through the first of these relays only, because
 * fewer relays need fewer, larger messages. */
#define NON_START_RELAYS_MAX 6
/* How long orders to one node are batched. */
#define ORDER_BATCH_DELAY (2 * OGL_MS)
/* A batch older than this is not sent.  The process must have been suspended
 * while the batch waited, and may have lost the ownership under which the
 * orders were given. */
#define BATCH_AGE_MAX (200 * OGL_MS)
/* A node not heard from for this long is not used; nodes ping four times per
 * second. */
#define NODE_TIMEOUT OGL_SEC
/* A node not heard from for this long has been replaced by another one, and its
 * entry is removed. */
#define NODE_EXPIRY (60 * OGL_SEC)
/* A relay stops waiting for a worker after the call's timeout.  Its answer is
 * then awaited for this much longer. */
#define ANSWER_MARGIN (400 * OGL_MS)
/* A relay that left calls unanswered is not used for this long. */
#define RELAY_BACKOFF (2 * OGL_SEC)
/* After this many consecutive relayed starts to a worker were lost, starts go
 * to it directly for DIRECT_CALL_TIME, as it may be unreachable only from the
 * relays. */
#define LOST_STARTS_MAX 4
#define DIRECT_CALL_TIME (5 * OGL_SEC)
/* The shortest time to an answer is recorded for the present period of this
 * length and for the previous one. */
#define DELAY_PERIOD (200 * OGL_MS)
/* A token is the epoch in its upper bits and a counter below them. */
#define TOKEN_EPOCH_SHIFT 32
/* Key that chooses the relay for reads of the list of workers. */
#define WORKER_LIST_KEY "workers"

/* A node that may be used as a relay. */
struct node {
	char *addr;
	ogl_time last_heard;
	ogl_time backoff_until;
	uint64_t unanswered; /* consecutive calls without an answer */
	Ogl__CellOrders batch;
	size_t batch_capacity; /* number of orders that fit into the array */
	ogl_time batch_since;  /* when the batch's first order was added */
};

/* Counts the relayed starts to one worker that were lost. */
struct relay_losses {
	unsigned consecutive;
	ogl_time direct_until;
};

/* A relayed call that waits for its answer. */
struct pending_call {
	uint64_t token;
	char *relay;  /* address of the relay */
	char *worker; /* id of the worker, only for a start */
	ogl_time created_at;
	ogl_time deadline;
	/* Copies of the order and the spec of a start that was sent without the
	 * spec, in case it has to be repeated with it; NULL for other calls. */
	Ogl__CellOrder *message;
	GBytes *spec;
	/* Exactly one of the three callbacks is set; arg is passed to it. */
	cell_hold_fn *hold_done;
	cell_order_fn *order_done;
	cell_read_fn *list_done;
	void *arg;
};

struct cell_relay {
	const struct cell_ops *ops;
	struct cell_relay_events events;
	uint32_t link_kbps;
	bool active;       /* calls are relayed, as the link can't carry them */
	ogl_time now;      /* time of the last step or event */
	uint64_t token;    /* token of the last call */
	GHashTable *nodes; /* addr -> struct node */
	GPtrArray *sorted_nodes; /* struct node, by address */
	GHashTable *calls;       /* token -> struct pending_call */
	GHashTable *spec_nodes;  /* job -> address of a node with its spec */
	GHashTable *losses;      /* worker -> struct relay_losses */
	/* Start of the present period of DELAY_PERIOD, and the shortest time to
	 * an answer in it and in the previous one; 0 if there was none. */
	ogl_time period_start;
	ogl_time min_delay;
	ogl_time prev_min_delay;
};

/* ---- nodes ------------------------------------------------------------ */

static void
batch_clear(struct node *n)
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

	batch_clear(n);
	g_free(n->batch.orders);
	g_free(n->addr);
	g_free(n);
}

static void
call_free(void *p)
{
	struct pending_call *call = p;

	if (call->message != NULL)
		ogl__cell_order__free_unpacked(call->message, NULL);
	g_clear_pointer(&call->spec, g_bytes_unref);
	g_free(call->worker);
	g_free(call->relay);
	g_free(call);
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
	r->sorted_nodes = g_ptr_array_new();
	r->calls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, call_free);
	r->losses =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	r->spec_nodes =
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
is_expired(gpointer key, gpointer value, gpointer ctx)
{
	const struct node *n = value;
	const struct cell_relay *r = ctx;

	(void)key;
	return r->now - n->last_heard > NODE_EXPIRY && n->batch.n_orders == 0;
}

static void
sort_nodes(struct cell_relay *r)
{
	GHashTableIter it;
	gpointer p;

	g_ptr_array_set_size(r->sorted_nodes, 0);
	g_hash_table_iter_init(&it, r->nodes);
	while (g_hash_table_iter_next(&it, NULL, &p))
		g_ptr_array_add(r->sorted_nodes, p);
	g_ptr_array_sort(r->sorted_nodes, by_addr);
}

void
cell_relay_update_node(
    struct cell_relay *r, const char *addr, bool leaving, ogl_time now)
{
	struct node *n = g_hash_table_lookup(r->nodes, addr);

	r->now = now;
	if (leaving) {
		if (n != NULL)
			n->last_heard = CELL_LONG_AGO;
		return;
	}
	if (n == NULL) {
		n = g_new0(struct node, 1);
		n->addr = g_strdup(addr);
		ogl__cell_orders__init(&n->batch);
		n->last_heard = now;
		g_hash_table_foreach_remove(r->nodes, is_expired, r);
		g_hash_table_insert(r->nodes, n->addr, n);
		sort_nodes(r);
	}
	n->last_heard = now;
}

static bool
usable(const struct cell_relay *r, const struct node *n)
{
	return r->now - n->last_heard < NODE_TIMEOUT &&
	       r->now >= n->backoff_until;
}

static uint32_t
weight(const char *key, const char *addr)
{
	return g_str_hash(key) * 2654435761U ^ g_str_hash(addr) * 40503U;
}

/* Chooses one of the first max_nodes nodes that are up by rendezvous hashing:
 * the same key gives the same node.  NULL if none can be used. */
static struct node *
choose_node(const struct cell_relay *r, const char *key, guint max_nodes)
{
	struct node *best = NULL;
	uint32_t best_weight = 0;
	guint nodes_up = 0;
	guint i;

	for (i = 0; i < r->sorted_nodes->len && nodes_up < max_nodes; i++) {
		struct node *n = r->sorted_nodes->pdata[i];
		uint32_t w = weight(key, n->addr);

		nodes_up += r->now - n->last_heard < NODE_TIMEOUT;
		if (!usable(r, n) || (best != NULL && w <= best_weight))
			continue;
		best = n;
		best_weight = w;
	}
	return best;
}

void
cell_relay_note_spec(struct cell_relay *r, const char *job, const char *addr)
{
	if (r->active)
		g_hash_table_replace(
		    r->spec_nodes, g_strdup(job), g_strdup(addr));
}

void
cell_relay_job_ended(struct cell_relay *r, const char *job)
{
	g_hash_table_remove(r->spec_nodes, job);
}

/* Whether the node is among the RELAYS_MAX that may call workers. */
static bool
is_relay(const struct cell_relay *r, const struct node *n)
{
	guint nodes_up = 0;
	guint i;

	for (i = 0; i < r->sorted_nodes->len && nodes_up < RELAYS_MAX; i++) {
		const struct node *x = r->sorted_nodes->pdata[i];

		if (x == n)
			return true;
		nodes_up += r->now - x->last_heard < NODE_TIMEOUT;
	}
	return false;
}

static struct node *
choose_for_job(struct cell_relay *r, const char *job, bool *has_spec)
{
	const char *addr = g_hash_table_lookup(r->spec_nodes, job);
	struct node *n =
	    addr != NULL ? g_hash_table_lookup(r->nodes, addr) : NULL;

	*has_spec = n != NULL && usable(r, n) && is_relay(r, n);
	return *has_spec ? n : choose_node(r, job, RELAYS_MAX);
}

/* ---- sending orders --------------------------------------------------- */

static Ogl__CellOrder *
message_new(
    Ogl__CellOrderKind kind, const struct cell_target *to, uint32_t timeout_ms)
{
	Ogl__CellOrder *m = malloc(sizeof *m);

	ogl__cell_order__init(m);
	m->kind = kind;
	m->addr = cell_order_strdup(to->addr);
	m->worker = cell_order_strdup(to->id);
	m->fence = to->fence;
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

/* Takes ownership of m. */
static void
batch_add(struct cell_relay *r, struct node *n, Ogl__CellOrder *m)
{
	if (n->batch.n_orders == 0)
		n->batch_since = r->now;
	if (n->batch.n_orders == n->batch_capacity) {
		n->batch_capacity = MAX(n->batch_capacity * 2, 8);
		n->batch.orders = g_renew(
		    Ogl__CellOrder *, n->batch.orders, n->batch_capacity);
	}
	n->batch.orders[n->batch.n_orders++] = m;
}

static struct pending_call *
call_new(
    struct cell_relay *r, const struct node *n, Ogl__CellOrder *m, void *arg)
{
	struct pending_call *call = g_new0(struct pending_call, 1);

	call->token = ++r->token;
	call->relay = g_strdup(n->addr);
	call->created_at = r->now;
	call->deadline = r->now + m->timeout_ms * OGL_MS + ANSWER_MARGIN;
	call->arg = arg;
	m->token = call->token;
	g_hash_table_insert(r->calls, &call->token, call);
	return call;
}

static void
add_spec(Ogl__CellOrder *m, struct ogl_str spec)
{
	cell_order_set_bytes(&m->spec, spec);
	m->with_spec = true;
}

static void
update_losses(struct cell_relay *r, const char *worker, bool lost, ogl_time now)
{
	struct relay_losses *losses = g_hash_table_lookup(r->losses, worker);

	if (!lost) {
		g_hash_table_remove(r->losses, worker);
		return;
	}
	if (losses == NULL) {
		losses = g_new0(struct relay_losses, 1);
		g_hash_table_insert(r->losses, g_strdup(worker), losses);
	}
	if (++losses->consecutive < LOST_STARTS_MAX)
		return;
	losses->consecutive = 0;
	losses->direct_until = now + DIRECT_CALL_TIME;
}

static bool
must_call_directly(const struct cell_relay *r, const char *worker)
{
	const struct relay_losses *losses =
	    g_hash_table_lookup(r->losses, worker);

	return losses != NULL && r->now < losses->direct_until;
}

static void
relay_start(
    void *ctx, const struct cell_order *o, cell_order_fn *done, void *arg)
{
	struct cell_relay *r = ctx;
	uint8_t digest[CELL_DIGEST_BYTES];
	struct ogl_str d;
	bool has_spec = false;
	struct node *n = NULL;
	Ogl__CellOrder *m;
	struct pending_call *call;

	if (r->active && !must_call_directly(r, o->to.id))
		n = choose_for_job(r, o->task.id, &has_spec);
	if (n == NULL) {
		r->ops->start(r->ops->backend_ctx, o, done, arg);
		return;
	}
	m = order_message(OGL__CELL_ORDER_KIND__cell_order_start, o);
	call = call_new(r, n, m, arg);
	call->order_done = done;
	call->worker = g_strdup(o->to.id);
	if (has_spec) {
		cell_order_digest(o->spec, digest);
		d.p = (const char *)digest;
		d.n = sizeof digest;
		cell_order_set_bytes(&m->spec_digest, d);
		call->message = cell_order_copy(m);
		call->spec = g_bytes_new(o->spec.p, o->spec.n);
	} else {
		add_spec(m, o->spec);
		cell_relay_note_spec(r, o->task.id, n->addr);
	}
	batch_add(r, n, m);
}

static void
relay_stop(
    void *ctx, const struct cell_order *o, cell_order_fn *done, void *arg)
{
	struct cell_relay *r = ctx;
	struct node *n =
	    r->active ? choose_node(r, o->to.id, NON_START_RELAYS_MAX) : NULL;
	Ogl__CellOrder *m;

	if (n == NULL) {
		r->ops->stop(r->ops->backend_ctx, o, done, arg);
		return;
	}
	m = order_message(OGL__CELL_ORDER_KIND__cell_order_stop, o);
	call_new(r, n, m, arg)->order_done = done;
	batch_add(r, n, m);
}

static void
relay_hold(void *ctx, const struct cell_hold *h, cell_hold_fn *done, void *arg)
{
	struct cell_relay *r = ctx;
	struct node *n =
	    r->active ? choose_node(r, h->to.id, NON_START_RELAYS_MAX) : NULL;
	Ogl__CellOrder *m;

	if (n == NULL) {
		r->ops->hold(r->ops->backend_ctx, h, done, arg);
		return;
	}
	m = message_new(
	    OGL__CELL_ORDER_KIND__cell_order_hold, &h->to, h->timeout_ms);
	m->until_ms = h->until_ms;
	m->last_seen = h->last_seen;
	m->wait_ms = h->wait_ms;
	call_new(r, n, m, arg)->hold_done = done;
	batch_add(r, n, m);
}

/* Relays only reads of the workers' entries.  A worker writes its entry again
 * with each heartbeat, nearly always unchanged, and a relay answers with the
 * changed entries only. */
static void
relay_read(void *ctx, const struct cell_read *q, cell_read_fn *done, void *arg)
{
	const struct cell_target no_worker = {"", "", 0};
	struct cell_relay *r = ctx;
	struct node *n = NULL;
	Ogl__CellOrder *m;

	if (r->active && q->stream == CELL_WORKERS)
		n = choose_node(r, WORKER_LIST_KEY, NON_START_RELAYS_MAX);
	if (n == NULL) {
		r->ops->read(r->ops->backend_ctx, q, done, arg);
		return;
	}
	m = message_new(
	    OGL__CELL_ORDER_KIND__cell_order_list, &no_worker, q->timeout_ms);
	m->from = q->from;
	call_new(r, n, m, arg)->list_done = done;
	batch_add(r, n, m);
}

/* Reads of the newest records of a stream are never relayed. */
static void
relay_newest(
    void *ctx, const struct cell_newest *q, cell_newest_fn *done, void *arg)
{
	struct cell_relay *r = ctx;

	r->ops->newest(r->ops->backend_ctx, q, done, arg);
}

void
cell_relay_set_ops(struct cell_relay *r, struct cell_ops *ops)
{
	ops->read = relay_read;
	ops->newest = relay_newest;
	ops->start = relay_start;
	ops->stop = relay_stop;
	ops->hold = relay_hold;
	ops->backend_ctx = r;
}

/* ---- answers ---------------------------------------------------------- */

static void
finish_list(struct pending_call *call, const Ogl__CellOrderAnswer *m,
    enum ogl_io_result io, ogl_time now)
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
	call->list_done(call->arg, &a, now);
	for (i = 0; i < n; i++)
		g_free(entries[i].labels);
	g_free(entries);
	g_free(records);
}

static void
finish_order(struct pending_call *call, const Ogl__CellOrderAnswer *m,
    enum ogl_io_result io, enum cell_refusal why, ogl_time now)
{
	struct cell_order_answer a = {
	    .io = io, .why = why, .clock_ms = m != NULL ? m->clock_ms : 0};

	call->order_done(call->arg, &a, now);
}

static void
finish_hold(struct pending_call *call, const Ogl__CellOrderAnswer *m,
    enum ogl_io_result io, enum cell_refusal why, ogl_time now)
{
	const Ogl__CellOrderAnswer empty = OGL__CELL_ORDER_ANSWER__INIT;
	const Ogl__CellOrderAnswer *answer = m != NULL ? m : &empty;
	struct cell_run_row *running =
	    cell_rows_from_msg(answer->running, answer->n_running);
	struct cell_run_row *ended =
	    cell_rows_from_msg(answer->ended, answer->n_ended);
	struct cell_hold_answer a = {.io = io,
	    .why = why,
	    .no_listener = answer->no_listener,
	    .clock_ms = answer->clock_ms,
	    .born_ms = answer->born_ms,
	    .running = running,
	    .nrunning = answer->n_running,
	    .ended = ended,
	    .nended = answer->n_ended};

	call->hold_done(call->arg, &a, now);
	g_free(running);
	g_free(ended);
}

/* Passes the result of the call to its callback and frees the call.  m is NULL
 * if no answer came. */
static void
finish(struct cell_relay *r, struct pending_call *call,
    const Ogl__CellOrderAnswer *m, ogl_time now)
{
	enum ogl_io_result io =
	    m != NULL ? cell_order_outcome_to_io(m->outcome) : OGL_IO_LOST;
	enum cell_refusal why = m != NULL && m->refusal <= CELL_REFUSED_BAD
				    ? (enum cell_refusal)m->refusal
				    : CELL_NOT_REFUSED;

	if (call->worker != NULL)
		update_losses(r, call->worker, io == OGL_IO_LOST, now);
	if (call->list_done != NULL)
		finish_list(call, m, io, now);
	else if (call->order_done != NULL)
		finish_order(call, m, io, why, now);
	else
		finish_hold(call, m, io, why, now);
	call_free(call);
}

/* Removes the call from the table without freeing it; the caller has to pass
 * it to finish.  NULL if there is no such call. */
static struct pending_call *
remove_call(struct cell_relay *r, uint64_t token)
{
	struct pending_call *call = g_hash_table_lookup(r->calls, &token);

	if (call != NULL)
		g_hash_table_steal(r->calls, &token);
	return call;
}

/* Sends a start again with the spec, because the relay no longer has it.
 * Returns false if the call can't be repeated. */
static bool
resend_with_spec(struct cell_relay *r, struct pending_call *call)
{
	struct node *n = g_hash_table_lookup(r->nodes, call->relay);

	if (call->message == NULL || n == NULL)
		return false;
	add_spec(call->message, cell_bytes_str(call->spec));
	batch_add(r, n, call->message);
	call->message = NULL;
	g_hash_table_insert(r->calls, &call->token, call);
	return true;
}

/* Records how long the answer to a start or a stop took.  For a call without
 * an answer, the time that it has waited is recorded, since its answer would
 * take at least as long. */
static void
record_delay(
    struct cell_relay *r, const struct pending_call *call, ogl_time now)
{
	ogl_time took = MAX(now - call->created_at, 1);

	if (call->order_done == NULL)
		return;
	if (now - r->period_start > DELAY_PERIOD) {
		r->prev_min_delay =
		    now - r->period_start > 2 * DELAY_PERIOD ? 0 : r->min_delay;
		r->min_delay = 0;
		r->period_start = now;
	}
	if (r->min_delay == 0 || took < r->min_delay)
		r->min_delay = took;
}

ogl_time
cell_relay_min_delay(const struct cell_relay *r, ogl_time now)
{
	if (now - r->period_start > 2 * DELAY_PERIOD)
		return 0;
	if (r->prev_min_delay == 0)
		return r->min_delay;
	return r->min_delay == 0 ? r->prev_min_delay
				 : MIN(r->min_delay, r->prev_min_delay);
}

void
cell_relay_answer(
    struct cell_relay *r, const Ogl__CellOrderAnswer *m, ogl_time now)
{
	struct pending_call *call = remove_call(r, m->token);
	struct node *n;

	r->now = now;
	if (call == NULL)
		return;
	n = g_hash_table_lookup(r->nodes, call->relay);
	record_delay(r, call, now);
	if (n != NULL)
		n->unanswered = 0;
	if (m->outcome == OGL__CELL_ORDER_OUTCOME__cell_order_lacks_spec &&
	    resend_with_spec(r, call))
		return;
	finish(r, call, m, now);
}

/* ---- timers ----------------------------------------------------------- */

/* Stops using the relay after a second unanswered call in a row; a single
 * answer may be lost with its connection. */
static void
count_unanswered(
    struct cell_relay *r, const struct pending_call *call, ogl_time now)
{
	struct node *n = g_hash_table_lookup(r->nodes, call->relay);
	char line[160];

	if (n == NULL || ++n->unanswered < 2 || now < n->backoff_until)
		return;
	n->backoff_until = now + RELAY_BACKOFF;
	g_snprintf(line, sizeof line,
	    "relay=%s unanswered=%" G_GUINT64_FORMAT
	    " heard_ms=%" G_GINT64_FORMAT,
	    n->addr, n->unanswered, (now - n->last_heard) / OGL_MS);
	r->ops->log(r->ops->ctx, "relay", "passed_over", line);
}

static void
expire_calls(struct cell_relay *r, ogl_time now)
{
	GArray *expired = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter it;
	gpointer p;
	guint i;

	g_hash_table_iter_init(&it, r->calls);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct pending_call *call = p;

		if (now >= call->deadline)
			g_array_append_val(expired, call->token);
	}
	for (i = 0; i < expired->len; i++) {
		struct pending_call *call =
		    remove_call(r, g_array_index(expired, uint64_t, i));

		record_delay(r, call, now);
		count_unanswered(r, call, now);
		finish(r, call, NULL, now);
	}
	g_array_unref(expired);
}

/* Drops the batch and ends its orders as not sent. */
static void
drop_batch(struct cell_relay *r, struct node *n, ogl_time now)
{
	Ogl__CellOrderAnswer answer = OGL__CELL_ORDER_ANSWER__INIT;
	GArray *tokens = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	size_t i;

	for (i = 0; i < n->batch.n_orders; i++)
		g_array_append_val(tokens, n->batch.orders[i]->token);
	batch_clear(n);
	answer.outcome = OGL__CELL_ORDER_OUTCOME__cell_order_not_sent;
	for (i = 0; i < tokens->len; i++) {
		struct pending_call *call =
		    remove_call(r, g_array_index(tokens, uint64_t, i));

		if (call != NULL)
			finish(r, call, &answer, now);
	}
	g_array_unref(tokens);
}

/* Sends the batch in messages that are not too large. */
static void
send_batch(struct cell_relay *r, struct node *n)
{
	Ogl__CellOrders m = OGL__CELL_ORDERS__INIT;
	size_t bytes = 0;
	size_t i;

	m.orders = n->batch.orders;
	for (i = 0; i < n->batch.n_orders; i++) {
		size_t size =
		    ogl__cell_order__get_packed_size(n->batch.orders[i]);

		if (m.n_orders > 0 && bytes + size > CELL_BATCH_MAX_BYTES) {
			r->events.send(r->events.arg, n->addr, &m);
			m.orders += m.n_orders;
			m.n_orders = 0;
			bytes = 0;
		}
		m.n_orders++;
		bytes += size;
	}
	r->events.send(r->events.arg, n->addr, &m);
	batch_clear(n);
}

void
cell_relay_flush(struct cell_relay *r, ogl_time now)
{
	guint i;

	for (i = 0; i < r->sorted_nodes->len; i++) {
		struct node *n = r->sorted_nodes->pdata[i];

		if (n->batch.n_orders == 0 ||
		    now - n->batch_since < ORDER_BATCH_DELAY)
			continue;
		if (now - n->batch_since > BATCH_AGE_MAX) {
			drop_batch(r, n, now);
			continue;
		}
		send_batch(r, n);
	}
}

void
cell_relay_close(struct cell_relay *r, ogl_time now)
{
	guint i;

	for (i = 0; i < r->sorted_nodes->len; i++)
		drop_batch(r, r->sorted_nodes->pdata[i], now);
}

ogl_time
cell_relay_wake(const struct cell_relay *r)
{
	ogl_time due = OGL_NEVER;
	guint i;

	for (i = 0; i < r->sorted_nodes->len; i++) {
		const struct node *n = r->sorted_nodes->pdata[i];

		if (n->batch.n_orders > 0)
			due = MIN(due, n->batch_since + ORDER_BATCH_DELAY);
	}
	return due;
}

static bool
link_too_slow(const struct cell_relay *r, size_t workers)
{
	double usable_bytes_per_sec =
	    r->link_kbps * 1000.0 / 8 * LINK_FRACTION_MAX;

	return r->link_kbps > 0 &&
	       (double)workers * WORKER_BYTES_PER_SEC > usable_bytes_per_sec;
}

void
cell_relay_step(struct cell_relay *r, size_t workers, ogl_time now)
{
	bool active = link_too_slow(r, workers);
	char line[96];

	r->now = now;
	if (active != r->active) {
		r->active = active;
		g_snprintf(line, sizeof line,
		    "active=%d workers=%zu link_kbps=%u", active, workers,
		    r->link_kbps);
		r->ops->log(r->ops->ctx, "relay", "switched", line);
	}
	expire_calls(r, now);
}

bool
cell_relay_active(const struct cell_relay *r)
{
	return r->active;
}

void
cell_relay_open(struct cell_relay *r, uint64_t epoch)
{
	r->token = MAX(r->token, epoch << TOKEN_EPOCH_SHIFT);
	g_hash_table_remove_all(r->spec_nodes);
	g_hash_table_remove_all(r->losses);
}

void
cell_relay_end(struct cell_relay *r)
{
	GList *calls = g_hash_table_get_values(r->calls);
	GList *item;

	g_hash_table_steal_all(r->calls);
	for (item = calls; item != NULL; item = item->next)
		finish(r, item->data, NULL, r->now);
	g_list_free(calls);
	g_hash_table_unref(r->calls);
	g_hash_table_unref(r->spec_nodes);
	g_hash_table_unref(r->losses);
	g_ptr_array_unref(r->sorted_nodes);
	g_hash_table_unref(r->nodes);
	g_free(r);
}
