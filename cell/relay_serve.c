/*
 * Makes calls to workers for the owners of shards on other nodes.  An owner
 * sends each call as an order (relay.c), and gets the worker's answer.
 *
 * The specs of the latest jobs are cached up to a total size; the oldest is
 * evicted first.  An owner leaves the spec out of a start if this node should
 * have it.  If the spec was evicted, the answer says so, and the owner sends
 * the start again with the spec.
 *
 * Answers to one owner are batched for a short time.
 *
 * Starts and stops to the same worker are queued, each until the timeout that
 * the owner has set for it.
 */

#include <string.h>

#include "order_msg.h"
#include "relay_serve.h"

#define SPEC_CACHE_BYTES_MAX ((size_t)2 * 1024 * 1024)
/* Answers to one owner are batched for this long. */
#define ANSWER_BATCH_DELAY (2 * OGL_MS)
/* Concurrent starts and stops to one worker.  A worker accepts 64 connections
 * from all nodes together, and any node may have orders for any worker. */
#define CALLS_PER_WORKER_MAX 1

/* ---- specs ------------------------------------------------------------ */

/* Specs of the latest jobs that this node forwarded to an owner or started
 * tasks of. */
struct spec_cache {
	GHashTable *specs; /* job -> GBytes, its spec */
	GQueue fifo;       /* jobs, oldest first; the keys of the table */
	size_t bytes;
};

static void
spec_cache_init(struct spec_cache *s)
{
	s->specs = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	g_queue_init(&s->fifo);
}

static void
spec_cache_end(struct spec_cache *s)
{
	g_queue_clear(&s->fifo);
	g_hash_table_unref(s->specs);
}

static size_t
entry_size(const char *job, GBytes *spec)
{
	return strlen(job) + g_bytes_get_size(spec);
}

static void
evict_oldest(struct spec_cache *s)
{
	const char *job = g_queue_pop_head(&s->fifo);

	s->bytes -= entry_size(job, g_hash_table_lookup(s->specs, job));
	g_hash_table_remove(s->specs, job);
}

static void
spec_cache_add(struct spec_cache *s, const char *job, struct ogl_str spec)
{
	GBytes *before = g_hash_table_lookup(s->specs, job);
	GBytes *b;
	char *key;

	if (before != NULL && ogl_str_eq(cell_bytes_str(before), spec))
		return;
	key = g_strdup(job);
	b = g_bytes_new(spec.p, spec.n);
	if (before != NULL)
		s->bytes -= entry_size(job, before);
	else
		g_queue_push_tail(&s->fifo, key);
	s->bytes += entry_size(job, b);
	/* If there is an entry, its key stays and this one is freed. */
	g_hash_table_insert(s->specs, key, b);
	while (s->bytes > SPEC_CACHE_BYTES_MAX)
		evict_oldest(s);
}

/* The spec for which the owner has sent the digest; NULL if it is not there.
 * A submission that was refused may have had another spec under the job's id. */
static GBytes *
spec_cache_find(const struct spec_cache *s, const char *job,
    const ProtobufCBinaryData *digest)
{
	GBytes *spec = g_hash_table_lookup(s->specs, job);
	uint8_t own[CELL_DIGEST_BYTES];

	/* Owners of earlier versions send no digest. */
	if (spec == NULL || digest->len == 0)
		return spec;
	cell_order_digest(cell_bytes_str(spec), own);
	return digest->len == sizeof own &&
		       memcmp(digest->data, own, sizeof own) == 0
		   ? spec
		   : NULL;
}

/* ---- answers ---------------------------------------------------------- */

/* Answers that wait to be sent to the owner of a shard. */
struct batch {
	uint32_t shard;
	char *owner;         /* address of the owner */
	ogl_time created_at; /* time of its first answer */
	GPtrArray *answers;  /* Ogl__CellOrderAnswer */
};

struct cell_relay_serve {
	const struct cell_ops *ops;
	cell_relay_send_fn *send;
	void *arg;
	struct spec_cache specs;
	GPtrArray *batches; /* struct batch; none is empty */
	GHashTable *calls;  /* set of struct call */
	GHashTable *queues; /* address of a worker -> struct worker_queue */
	GHashTable *list_readers; /* shard -> struct list_reader */
};

static void
answer_free(void *p)
{
	ogl__cell_order_answer__free_unpacked(p, NULL);
}

static void
batch_free(void *p)
{
	struct batch *b = p;

	g_ptr_array_unref(b->answers);
	g_free(b->owner);
	g_free(b);
}

static struct batch *
batch_of(
    struct cell_relay_serve *v, uint32_t shard, const char *owner, ogl_time now)
{
	struct batch *b;
	guint i;

	for (i = 0; i < v->batches->len; i++) {
		b = v->batches->pdata[i];
		if (b->shard == shard && strcmp(b->owner, owner) == 0)
			return b;
	}
	b = g_new0(struct batch, 1);
	b->shard = shard;
	b->owner = g_strdup(owner);
	b->created_at = now;
	b->answers = g_ptr_array_new_with_free_func(answer_free);
	g_ptr_array_add(v->batches, b);
	return b;
}

static void
free_rows(Ogl__CellRunRow **rows, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		ogl__cell_run_row__free_unpacked(rows[i], NULL);
}

/* Turns an answer that is too large for a message into that of a lost call.
 * Without some of its rows it would show that these runs are over. */
static size_t
lose_rows(struct cell_relay_serve *v, Ogl__CellOrderAnswer *a)
{
	v->ops->count(v->ops->ctx, "relay_answers_too_large", 1);
	free_rows(a->running, a->n_running);
	free_rows(a->ended, a->n_ended);
	a->n_running = 0;
	a->n_ended = 0;
	a->outcome = OGL__CELL_ORDER_OUTCOME__cell_order_lost;
	return ogl__cell_order_answer__get_packed_size(a);
}

/* Sends the batch in messages that are not too large. */
static void
send_batch(struct cell_relay_serve *v, const struct batch *b)
{
	Ogl__CellOrderAnswers m = OGL__CELL_ORDER_ANSWERS__INIT;
	size_t bytes = 0;
	guint i;

	m.answers = (Ogl__CellOrderAnswer **)b->answers->pdata;
	for (i = 0; i < b->answers->len; i++) {
		Ogl__CellOrderAnswer *a = b->answers->pdata[i];
		size_t size = ogl__cell_order_answer__get_packed_size(a);

		if (size > CELL_PAYLOAD_MAX_BYTES)
			size = lose_rows(v, a);
		if (m.n_answers > 0 && bytes + size > CELL_BATCH_MAX_BYTES) {
			v->send(v->arg, b->shard, b->owner, &m);
			m.answers += m.n_answers;
			m.n_answers = 0;
			bytes = 0;
		}
		m.n_answers++;
		bytes += size;
	}
	v->send(v->arg, b->shard, b->owner, &m);
}

void
cell_relay_serve_step(struct cell_relay_serve *v, ogl_time now)
{
	guint i = 0;

	while (i < v->batches->len) {
		const struct batch *b = v->batches->pdata[i];

		if (now - b->created_at < ANSWER_BATCH_DELAY) {
			i++;
			continue;
		}
		send_batch(v, b);
		g_ptr_array_remove_index_fast(v->batches, i);
	}
}

ogl_time
cell_relay_serve_wake(const struct cell_relay_serve *v)
{
	ogl_time due = OGL_NEVER;
	guint i;

	for (i = 0; i < v->batches->len; i++) {
		const struct batch *b = v->batches->pdata[i];

		due = MIN(due, b->created_at + ANSWER_BATCH_DELAY);
	}
	return due;
}

/* ---- calls ------------------------------------------------------------ */

/* Starts and stops to one worker. */
struct worker_queue {
	char *addr;
	unsigned in_flight; /* calls without an answer yet */
	GQueue waiting;     /* struct queued_order */
};

/* The entries of the list of workers that the owner of a shard was sent last.
 * Only entries that differ from these are sent to it again. */
struct list_reader {
	char *owner;
	/* Offset from which the owner reads next, provided that it has received
	 * the last answer. */
	uint64_t next_offset;
	GHashTable *sent; /* worker -> GBytes, its entry without the offset */
};

/* A call to be made for an owner, and where to send its answer. */
struct call {
	struct cell_relay_serve *serve; /* NULL after cell_relay_serve_end */
	struct worker_queue *queue;     /* only for a start or a stop */
	uint32_t shard;
	char *owner; /* address of the owner */
	uint64_t token;
	uint64_t read_offset; /* where a read of the list starts */
};

static struct call *
call_new(struct cell_relay_serve *v, uint32_t shard, const char *owner,
    uint64_t token)
{
	struct call *c = g_new(struct call, 1);

	c->serve = v;
	c->queue = NULL;
	c->read_offset = 0;
	c->shard = shard;
	c->owner = g_strdup(owner);
	c->token = token;
	g_hash_table_add(v->calls, c);
	return c;
}

static void
call_free(struct call *c)
{
	if (c->serve != NULL)
		g_hash_table_remove(c->serve->calls, c);
	g_free(c->owner);
	g_free(c);
}

/* An order that waits until earlier ones to its worker have ended. */
struct queued_order {
	Ogl__CellOrder *order;
	struct call *call;
	ogl_time deadline;
};

static void
queued_order_free(void *p)
{
	struct queued_order *queued = p;

	ogl__cell_order__free_unpacked(queued->order, NULL);
	g_free(queued);
}

static void
queue_free(void *p)
{
	struct worker_queue *q = p;

	g_queue_clear_full(&q->waiting, queued_order_free);
	g_free(q->addr);
	g_free(q);
}

static void
list_reader_free(void *p)
{
	struct list_reader *l = p;

	g_hash_table_unref(l->sent);
	g_free(l->owner);
	g_free(l);
}

static struct worker_queue *
queue_of(struct cell_relay_serve *v, const char *addr)
{
	struct worker_queue *q = g_hash_table_lookup(v->queues, addr);

	if (q != NULL)
		return q;
	q = g_new0(struct worker_queue, 1);
	q->addr = g_strdup(addr);
	g_queue_init(&q->waiting);
	g_hash_table_insert(v->queues, q->addr, q);
	return q;
}

struct cell_relay_serve *
cell_relay_serve_init(
    const struct cell_ops *ops, cell_relay_send_fn *send, void *arg)
{
	struct cell_relay_serve *v = g_new0(struct cell_relay_serve, 1);

	v->ops = ops;
	v->send = send;
	v->arg = arg;
	spec_cache_init(&v->specs);
	v->batches = g_ptr_array_new_with_free_func(batch_free);
	v->calls = g_hash_table_new(NULL, NULL);
	v->list_readers =
	    g_hash_table_new_full(NULL, NULL, NULL, list_reader_free);
	v->queues =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, queue_free);
	return v;
}

static void
free_queues(struct cell_relay_serve *v)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, v->queues);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct worker_queue *q = p;
		struct queued_order *queued;

		while ((queued = g_queue_pop_head(&q->waiting)) != NULL) {
			call_free(queued->call);
			queued_order_free(queued);
		}
	}
	g_hash_table_unref(v->queues);
}

void
cell_relay_serve_end(struct cell_relay_serve *v)
{
	GHashTableIter it;
	gpointer p;

	free_queues(v);
	g_hash_table_unref(v->list_readers);
	g_hash_table_iter_init(&it, v->calls);
	while (g_hash_table_iter_next(&it, &p, NULL))
		((struct call *)p)->serve = NULL;
	g_hash_table_unref(v->calls);
	g_ptr_array_unref(v->batches);
	spec_cache_end(&v->specs);
	g_free(v);
}

void
cell_relay_serve_add_spec(
    struct cell_relay_serve *v, const char *job, struct ogl_str spec)
{
	spec_cache_add(&v->specs, job, spec);
}

/* Adds an answer with this outcome to the batch for the owner; the caller fills
 * in the other fields. */
static Ogl__CellOrderAnswer *
answer_new(const struct call *c, enum ogl_io_result io, ogl_time now)
{
	struct batch *b = batch_of(c->serve, c->shard, c->owner, now);
	Ogl__CellOrderAnswer *m = malloc(sizeof *m);

	ogl__cell_order_answer__init(m);
	m->token = c->token;
	m->outcome = cell_order_outcome_from_io(io);
	g_ptr_array_add(b->answers, m);
	return m;
}

static void
on_hold(void *arg, const struct cell_hold_answer *a, ogl_time now)
{
	struct call *c = arg;
	Ogl__CellOrderAnswer *m;

	if (c->serve != NULL) {
		m = answer_new(c, a->io, now);
		m->refusal = a->why;
		m->no_listener = a->no_listener;
		m->clock_ms = a->clock_ms;
		m->born_ms = a->born_ms;
		m->n_running = a->nrunning;
		m->running = cell_rows_to_msg(a->running, a->nrunning);
		m->n_ended = a->nended;
		m->ended = cell_rows_to_msg(a->ended, a->nended);
	}
	call_free(c);
}

static void send_queued_orders(
    struct cell_relay_serve *v, struct worker_queue *q, ogl_time now);

static void
on_order(void *arg, const struct cell_order_answer *a, ogl_time now)
{
	struct call *c = arg;
	struct cell_relay_serve *v = c->serve;
	struct worker_queue *q = c->queue;
	Ogl__CellOrderAnswer *m;

	if (v != NULL) {
		m = answer_new(c, a->io, now);
		m->refusal = a->why;
		m->clock_ms = a->clock_ms;
	}
	call_free(c);
	if (v != NULL) {
		q->in_flight--;
		send_queued_orders(v, q, now);
	}
}

/* Answers an order without carrying it out. */
static void
reject(struct call *c, Ogl__CellOrderOutcome outcome, ogl_time now)
{
	answer_new(c, OGL_IO_NOT_SENT, now)->outcome = outcome;
	call_free(c);
}

static void
send_hold(const struct cell_ops *ops, const Ogl__CellOrder *m, struct call *c)
{
	struct cell_hold h = {.to = {m->addr, m->worker, m->fence},
	    .last_seen = m->last_seen,
	    .until_ms = m->until_ms,
	    .wait_ms = m->wait_ms,
	    .timeout_ms = m->timeout_ms};

	ops->hold(ops->backend_ctx, &h, on_hold, c);
}

/* ---- list of workers -------------------------------------------------- */

static struct list_reader *
list_reader_of(struct cell_relay_serve *v, const struct call *c)
{
	struct list_reader *l =
	    g_hash_table_lookup(v->list_readers, GUINT_TO_POINTER(c->shard));

	if (l == NULL) {
		l = g_new0(struct list_reader, 1);
		l->sent = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
		    (GDestroyNotify)g_bytes_unref);
		g_hash_table_insert(
		    v->list_readers, GUINT_TO_POINTER(c->shard), l);
	}
	/* An unexpected offset shows that the owner did not receive the last
	 * answer or has read through another node since.  All entries are then
	 * sent again, as they are to a new owner. */
	if (l->next_offset != c->read_offset ||
	    g_strcmp0(l->owner, c->owner) != 0)
		g_hash_table_remove_all(l->sent);
	g_free(l->owner);
	l->owner = g_strdup(c->owner);
	return l;
}

/* Returns whether the entry differs from the one that the owner was sent last,
 * and if so, records the new one as sent. */
static bool
record_if_changed(struct list_reader *l, const Ogl__CellEntry *m)
{
	size_t n = ogl__cell_entry__get_packed_size(m);
	uint8_t *p = g_malloc(n);
	GBytes *b;
	GBytes *before = g_hash_table_lookup(l->sent, m->worker);

	ogl__cell_entry__pack(m, p);
	b = g_bytes_new_take(p, n);
	if (before != NULL && g_bytes_equal(before, b)) {
		g_bytes_unref(b);
		return false;
	}
	g_hash_table_replace(l->sent, g_strdup(m->worker), b);
	return true;
}

/* Adds the changed entries to the answer, until that is large enough for a
 * message.  The last entry is added even if it is unchanged, because its offset
 * tells the owner where to read next. */
static void
add_entries(struct list_reader *l, Ogl__CellOrderAnswer *m,
    const struct cell_read_answer *a)
{
	size_t bytes = 0;
	size_t i;

	m->entries = malloc((a->n + 1) * sizeof(Ogl__CellEntry *));
	for (i = 0; i < a->n && bytes < CELL_BATCH_MAX_BYTES; i++) {
		Ogl__CellEntry *e = cell_entry_to_msg(&a->records[i]);

		if (!record_if_changed(l, e) && i + 1 < a->n) {
			ogl__cell_entry__free_unpacked(e, NULL);
			continue;
		}
		e->offset = a->records[i].offset;
		bytes += ogl__cell_entry__get_packed_size(e);
		l->next_offset = e->offset + 1;
		m->entries[m->n_entries++] = e;
	}
}

static void
on_list(void *arg, const struct cell_read_answer *a, ogl_time now)
{
	struct call *c = arg;
	Ogl__CellOrderAnswer *m;
	struct list_reader *l;

	if (c->serve != NULL) {
		m = answer_new(c, a->io, now);
		m->trimmed = a->trimmed;
		m->first = a->first;
		m->end = a->end;
		l = list_reader_of(c->serve, c);
		l->next_offset = c->read_offset;
		add_entries(l, m, a);
	}
	call_free(c);
}

static void
read_workers(
    const struct cell_ops *ops, const Ogl__CellOrder *m, struct call *c)
{
	struct cell_read q = {.stream = CELL_WORKERS,
	    .from = m->from,
	    .timeout_ms = m->timeout_ms};

	c->read_offset = m->from;
	ops->read(ops->backend_ctx, &q, on_list, c);
}

/* ---- orders ----------------------------------------------------------- */

static struct cell_order
order_from_msg(const Ogl__CellOrder *m)
{
	struct cell_order o = {.to = {m->addr, m->worker, m->fence},
	    .task = {.occurrence = m->occurrence,
		.step = m->step,
		.index = m->index},
	    .run = m->run,
	    .timeout_ms = m->timeout_ms,
	    .until_ms = m->until_ms,
	    .checkpoint = m->checkpoint,
	    .ticket = *m->ticket != '\0' ? m->ticket : NULL};

	g_strlcpy(o.task.id, m->job, sizeof o.task.id);
	return o;
}

/* Sends the start to its worker.  If the spec is missing, answers the start
 * with that and returns false. */
static bool
send_start(struct cell_relay_serve *v, const Ogl__CellOrder *m, struct call *c,
    ogl_time now)
{
	struct cell_order o = order_from_msg(m);
	GBytes *spec = NULL;

	if (m->with_spec) {
		o.spec = cell_field_str(&m->spec);
		spec_cache_add(&v->specs, m->job, o.spec);
	} else {
		spec = spec_cache_find(&v->specs, m->job, &m->spec_digest);
		if (spec == NULL) {
			reject(c,
			    OGL__CELL_ORDER_OUTCOME__cell_order_lacks_spec,
			    now);
			return false;
		}
		o.spec = cell_bytes_str(spec);
	}
	v->ops->start(v->ops->backend_ctx, &o, on_order, c);
	return true;
}

/* Sends a start or a stop.  The caller checks that fewer than
 * CALLS_PER_WORKER_MAX calls to the worker are in flight. */
static void
call_worker(struct cell_relay_serve *v, struct worker_queue *q,
    const Ogl__CellOrder *m, struct call *c, ogl_time now)
{
	struct cell_order o;

	c->queue = q;
	if (m->kind == OGL__CELL_ORDER_KIND__cell_order_start) {
		if (send_start(v, m, c, now))
			q->in_flight++;
		return;
	}
	o = order_from_msg(m);
	q->in_flight++;
	v->ops->stop(v->ops->backend_ctx, &o, on_order, c);
}

/* Carries out the orders that wait for this worker, as far as
 * CALLS_PER_WORKER_MAX allows.  An order that has waited past its timeout is
 * answered as not sent, as its owner no longer waits and has counted the call
 * as lost. */
static void
send_queued_orders(
    struct cell_relay_serve *v, struct worker_queue *q, ogl_time now)
{
	struct queued_order *queued;

	while (q->in_flight < CALLS_PER_WORKER_MAX &&
	       (queued = g_queue_pop_head(&q->waiting)) != NULL) {
		if (now >= queued->deadline)
			reject(queued->call,
			    OGL__CELL_ORDER_OUTCOME__cell_order_not_sent, now);
		else
			call_worker(v, q, queued->order, queued->call, now);
		queued_order_free(queued);
	}
	if (q->in_flight == 0)
		g_hash_table_remove(v->queues, q->addr);
}

static void
enqueue(struct cell_relay_serve *v, const Ogl__CellOrder *m, struct call *c,
    ogl_time now)
{
	struct worker_queue *q = queue_of(v, m->addr);
	struct queued_order *queued = g_new(struct queued_order, 1);

	queued->order = cell_order_copy(m);
	queued->call = c;
	queued->deadline = now + m->timeout_ms * OGL_MS;
	g_queue_push_tail(&q->waiting, queued);
	send_queued_orders(v, q, now);
}

static void
execute(struct cell_relay_serve *v, const Ogl__CellOrder *m, struct call *c,
    ogl_time now)
{
	switch (m->kind) {
	case OGL__CELL_ORDER_KIND__cell_order_hold:
		send_hold(v->ops, m, c);
		break;
	case OGL__CELL_ORDER_KIND__cell_order_list:
		read_workers(v->ops, m, c);
		break;
	case OGL__CELL_ORDER_KIND__cell_order_stop:
	case OGL__CELL_ORDER_KIND__cell_order_start:
		enqueue(v, m, c, now);
		break;
	default: /* a kind that only a later version knows */
		reject(c, OGL__CELL_ORDER_OUTCOME__cell_order_not_sent, now);
		break;
	}
}

void
cell_relay_serve(struct cell_relay_serve *v, uint32_t shard, const char *from,
    const Ogl__CellOrders *orders, bool refuse, ogl_time now)
{
	size_t i;

	for (i = 0; i < orders->n_orders; i++) {
		const Ogl__CellOrder *m = orders->orders[i];
		struct call *c = call_new(v, shard, from, m->token);

		if (refuse)
			reject(c, OGL__CELL_ORDER_OUTCOME__cell_order_not_sent,
			    now);
		else
			execute(v, m, c, now);
	}
}
