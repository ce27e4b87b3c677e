/*
 * The specs of the latest jobs are kept up to a bound of bytes; the oldest goes
 * first.  An owner that counts on one which is gone is told so, and sends it.
 *
 * Answers to one owner gather for a moment and go in one message.
 *
 * Orders to a worker wait for each other, as long as their owner waits for them.
 */

#include <string.h>

#include "order_msg.h"
#include "relay_serve.h"

#define SPECS_BYTES_MAX ((size_t)2 * 1024 * 1024)
#define GATHER (2 * OGL_MS)
/* Starts and stops under way to one worker.  It takes 64 connections from all
 * nodes together, and any node may have work for any worker. */
#define CALLS_A_WORKER 1

/* ---- specs ------------------------------------------------------------ */

/* Specs of jobs that passed through this node, the latest ones. */
struct specs {
	GHashTable *specs; /* job -> spec */
	GQueue order;      /* jobs, oldest first; keys of the table */
	size_t bytes;
};

static void
specs_init(struct specs *s)
{
	s->specs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&s->order);
}

static void
specs_end(struct specs *s)
{
	g_queue_clear(&s->order);
	g_hash_table_unref(s->specs);
}

static size_t
size_of(const char *job, const char *spec)
{
	return strlen(job) + strlen(spec);
}

static void
drop_oldest(struct specs *s)
{
	const char *job = g_queue_pop_head(&s->order);

	s->bytes -= size_of(job, g_hash_table_lookup(s->specs, job));
	g_hash_table_remove(s->specs, job);
}

static void
specs_add(struct specs *s, const char *job, const char *spec)
{
	char *key;

	if (g_hash_table_contains(s->specs, job))
		return;
	key = g_strdup(job);
	g_hash_table_insert(s->specs, key, g_strdup(spec));
	g_queue_push_tail(&s->order, key);
	s->bytes += size_of(job, spec);
	while (s->bytes > SPECS_BYTES_MAX)
		drop_oldest(s);
}

/* ---- answers ---------------------------------------------------------- */

/* Answers to the owner of a shard. */
struct batch {
	uint32_t shard;
	char *to;
	ogl_time since;
	GPtrArray *answers; /* Ogl__CellOrderAnswer */
};

struct cell_relay_serve {
	const struct cell_ops *ops;
	cell_relay_send_fn *send;
	void *arg;
	struct specs specs;
	GPtrArray *batches; /* struct batch, none empty */
	GHashTable *calls;  /* set of struct carried */
	GHashTable *lines;  /* address of a worker -> struct line */
	GHashTable *lists;  /* shard -> struct list */
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
	g_free(b->to);
	g_free(b);
}

static struct batch *
batch_of(
    struct cell_relay_serve *v, uint32_t shard, const char *to, ogl_time now)
{
	struct batch *b;
	guint i;

	for (i = 0; i < v->batches->len; i++) {
		b = v->batches->pdata[i];
		if (b->shard == shard && strcmp(b->to, to) == 0)
			return b;
	}
	b = g_new0(struct batch, 1);
	b->shard = shard;
	b->to = g_strdup(to);
	b->since = now;
	b->answers = g_ptr_array_new_with_free_func(answer_free);
	g_ptr_array_add(v->batches, b);
	return b;
}

static void
send_batch(struct cell_relay_serve *v, const struct batch *b)
{
	Ogl__CellOrderAnswers m = OGL__CELL_ORDER_ANSWERS__INIT;

	m.answers = (Ogl__CellOrderAnswer **)b->answers->pdata;
	m.n_answers = b->answers->len;
	v->send(v->arg, b->shard, b->to, &m);
}

void
cell_relay_serve_step(struct cell_relay_serve *v, ogl_time now)
{
	guint i = 0;

	while (i < v->batches->len) {
		const struct batch *b = v->batches->pdata[i];

		if (now - b->since < GATHER) {
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
	ogl_time at = OGL_NEVER;
	guint i;

	for (i = 0; i < v->batches->len; i++) {
		const struct batch *b = v->batches->pdata[i];

		at = MIN(at, b->since + GATHER);
	}
	return at;
}

/* ---- calls ------------------------------------------------------------ */

/* Starts and stops to one worker. */
struct line {
	char *addr;
	unsigned open;  /* under way */
	GQueue waiting; /* struct waiting */
};

/* What the owner of a shard was told of the workers' entries. */
struct list {
	char *owner;
	uint64_t next;    /* that it reads from if it got the last answer */
	GHashTable *told; /* worker -> GBytes of its entry, but the offset */
};

struct carried {
	struct cell_relay_serve *serve; /* NULL: it has ended */
	struct line *line;              /* NULL: a hold */
	uint32_t shard;
	char *to;
	uint64_t token;
	uint64_t from; /* of a list */
};

static struct carried *
carried_new(
    struct cell_relay_serve *v, uint32_t shard, const char *to, uint64_t token)
{
	struct carried *c = g_new(struct carried, 1);

	c->serve = v;
	c->line = NULL;
	c->from = 0;
	c->shard = shard;
	c->to = g_strdup(to);
	c->token = token;
	g_hash_table_add(v->calls, c);
	return c;
}

static void
carried_free(struct carried *c)
{
	if (c->serve != NULL)
		g_hash_table_remove(c->serve->calls, c);
	g_free(c->to);
	g_free(c);
}

/* An order that waits for others to its worker. */
struct waiting {
	Ogl__CellOrder *order;
	struct carried *call;
	ogl_time give_up;
};

static void
waiting_free(void *p)
{
	struct waiting *x = p;

	ogl__cell_order__free_unpacked(x->order, NULL);
	g_free(x);
}

static void
line_free(void *p)
{
	struct line *l = p;

	g_queue_clear_full(&l->waiting, waiting_free);
	g_free(l->addr);
	g_free(l);
}

static void
list_free(void *p)
{
	struct list *l = p;

	g_hash_table_unref(l->told);
	g_free(l->owner);
	g_free(l);
}

static struct line *
line_of(struct cell_relay_serve *v, const char *addr)
{
	struct line *l = g_hash_table_lookup(v->lines, addr);

	if (l != NULL)
		return l;
	l = g_new0(struct line, 1);
	l->addr = g_strdup(addr);
	g_queue_init(&l->waiting);
	g_hash_table_insert(v->lines, l->addr, l);
	return l;
}

struct cell_relay_serve *
cell_relay_serve_init(
    const struct cell_ops *ops, cell_relay_send_fn *send, void *arg)
{
	struct cell_relay_serve *v = g_new0(struct cell_relay_serve, 1);

	v->ops = ops;
	v->send = send;
	v->arg = arg;
	specs_init(&v->specs);
	v->batches = g_ptr_array_new_with_free_func(batch_free);
	v->calls = g_hash_table_new(NULL, NULL);
	v->lists = g_hash_table_new_full(NULL, NULL, NULL, list_free);
	v->lines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, line_free);
	return v;
}

static void
drop_waiting(struct cell_relay_serve *v)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, v->lines);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct line *l = p;
		struct waiting *x;

		while ((x = g_queue_pop_head(&l->waiting)) != NULL) {
			carried_free(x->call);
			waiting_free(x);
		}
	}
	g_hash_table_unref(v->lines);
}

void
cell_relay_serve_end(struct cell_relay_serve *v)
{
	GHashTableIter it;
	gpointer p;

	drop_waiting(v);
	g_hash_table_unref(v->lists);
	g_hash_table_iter_init(&it, v->calls);
	while (g_hash_table_iter_next(&it, &p, NULL))
		((struct carried *)p)->serve = NULL;
	g_hash_table_unref(v->calls);
	g_ptr_array_unref(v->batches);
	specs_end(&v->specs);
	g_free(v);
}

void
cell_relay_serve_spec(
    struct cell_relay_serve *v, const char *job, const char *spec)
{
	specs_add(&v->specs, job, spec);
}

/* An answer in the batch to the owner, to be filled in. */
static Ogl__CellOrderAnswer *
answer_new(const struct carried *c, enum ogl_io io, ogl_time now)
{
	struct batch *b = batch_of(c->serve, c->shard, c->to, now);
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
	struct carried *c = arg;
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
	carried_free(c);
}

static void next_in(struct cell_relay_serve *v, struct line *l, ogl_time now);

static void
on_order(void *arg, const struct cell_order_answer *a, ogl_time now)
{
	struct carried *c = arg;
	struct cell_relay_serve *v = c->serve;
	struct line *l = c->line;
	Ogl__CellOrderAnswer *m;

	if (v != NULL) {
		m = answer_new(c, a->io, now);
		m->refusal = a->why;
		m->clock_ms = a->clock_ms;
	}
	carried_free(c);
	if (v != NULL) {
		l->open--;
		next_in(v, l, now);
	}
}

/* The order is not carried out. */
static void
turn_down(struct carried *c, Ogl__CellOrderOutcome outcome, ogl_time now)
{
	answer_new(c, OGL_IO_NOT_SENT, now)->outcome = outcome;
	carried_free(c);
}

static void
hold(const struct cell_ops *ops, const Ogl__CellOrder *m, struct carried *c)
{
	struct cell_hold h = {.to = {m->addr, m->worker, m->epoch},
	    .last_seen = m->last_seen,
	    .until_ms = m->until_ms,
	    .wait_ms = m->wait_ms,
	    .timeout_ms = m->timeout_ms};

	ops->hold(ops->outside, &h, on_hold, c);
}

/* ---- the workers' list ------------------------------------------------ */

static struct list *
list_for(struct cell_relay_serve *v, const struct carried *c)
{
	struct list *l =
	    g_hash_table_lookup(v->lists, GUINT_TO_POINTER(c->shard));

	if (l == NULL) {
		l = g_new0(struct list, 1);
		l->told = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
		    (GDestroyNotify)g_bytes_unref);
		g_hash_table_insert(v->lists, GUINT_TO_POINTER(c->shard), l);
	}
	/* Another owner, or one that has not got the last answer or has read
	 * elsewhere meanwhile. */
	if (l->next != c->from || g_strcmp0(l->owner, c->to) != 0)
		g_hash_table_remove_all(l->told);
	g_free(l->owner);
	l->owner = g_strdup(c->to);
	return l;
}

/* Whether it says something that the owner was not told; it counts as told. */
static bool
tell(struct list *l, const Ogl__CellEntry *m)
{
	size_t n = ogl__cell_entry__get_packed_size(m);
	uint8_t *p = g_malloc(n);
	GBytes *b;
	GBytes *before = g_hash_table_lookup(l->told, m->worker);

	ogl__cell_entry__pack(m, p);
	b = g_bytes_new_take(p, n);
	if (before != NULL && g_bytes_equal(before, b)) {
		g_bytes_unref(b);
		return false;
	}
	g_hash_table_replace(l->told, g_strdup(m->worker), b);
	return true;
}

/* The last one goes along in any case: the owner reads on from there. */
static void
add_entries(
    struct list *l, Ogl__CellOrderAnswer *m, const struct cell_read_answer *a)
{
	size_t i;

	m->entries = malloc((a->n + 1) * sizeof(Ogl__CellEntry *));
	for (i = 0; i < a->n; i++) {
		Ogl__CellEntry *e = cell_entry_to_msg(&a->records[i]);

		if (!tell(l, e) && i + 1 < a->n) {
			ogl__cell_entry__free_unpacked(e, NULL);
			continue;
		}
		e->offset = a->records[i].offset;
		l->next = e->offset + 1;
		m->entries[m->n_entries++] = e;
	}
}

static void
on_list(void *arg, const struct cell_read_answer *a, ogl_time now)
{
	struct carried *c = arg;
	Ogl__CellOrderAnswer *m;
	struct list *l;

	if (c->serve != NULL) {
		m = answer_new(c, a->io, now);
		m->trimmed = a->trimmed;
		m->first = a->first;
		m->end = a->end;
		l = list_for(c->serve, c);
		l->next = c->from;
		add_entries(l, m, a);
	}
	carried_free(c);
}

static void
read_list(
    const struct cell_ops *ops, const Ogl__CellOrder *m, struct carried *c)
{
	struct cell_read q = {.stream = CELL_WORKERS,
	    .from = m->from,
	    .timeout_ms = m->timeout_ms};

	c->from = m->from;
	ops->read(ops->outside, &q, on_list, c);
}

/* ---- orders ----------------------------------------------------------- */

static struct cell_order
order_of(const Ogl__CellOrder *m)
{
	struct cell_order o = {.to = {m->addr, m->worker, m->epoch},
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

/* Whether the start was sent; else it was turned down. */
static bool
start(struct cell_relay_serve *v, const Ogl__CellOrder *m, struct carried *c,
    ogl_time now)
{
	struct cell_order o = order_of(m);

	if (m->with_spec)
		specs_add(&v->specs, m->job, m->spec);
	o.spec = m->with_spec ? m->spec
			      : g_hash_table_lookup(v->specs.specs, m->job);
	if (o.spec == NULL) {
		turn_down(
		    c, OGL__CELL_ORDER_OUTCOME__cell_order_lacks_spec, now);
		return false;
	}
	v->ops->start(v->ops->outside, &o, on_order, c);
	return true;
}

/* A start or a stop, when nothing else is under way to its worker. */
static void
call_worker(struct cell_relay_serve *v, struct line *l, const Ogl__CellOrder *m,
    struct carried *c, ogl_time now)
{
	struct cell_order o;

	c->line = l;
	if (m->kind == OGL__CELL_ORDER_KIND__cell_order_start) {
		if (start(v, m, c, now))
			l->open++;
		return;
	}
	o = order_of(m);
	l->open++;
	v->ops->stop(v->ops->outside, &o, on_order, c);
}

/* What has waited too long is given up by its owner, who takes it for perhaps
 * sent; it was not. */
static void
next_in(struct cell_relay_serve *v, struct line *l, ogl_time now)
{
	struct waiting *x;

	while (l->open < CALLS_A_WORKER &&
	       (x = g_queue_pop_head(&l->waiting)) != NULL) {
		if (now >= x->give_up)
			turn_down(x->call,
			    OGL__CELL_ORDER_OUTCOME__cell_order_not_sent, now);
		else
			call_worker(v, l, x->order, x->call, now);
		waiting_free(x);
	}
	if (l->open == 0)
		g_hash_table_remove(v->lines, l->addr);
}

static void
line_up(struct cell_relay_serve *v, const Ogl__CellOrder *m, struct carried *c,
    ogl_time now)
{
	struct line *l = line_of(v, m->addr);
	struct waiting *x = g_new(struct waiting, 1);

	x->order = cell_order_copy(m);
	x->call = c;
	x->give_up = now + m->timeout_ms * OGL_MS;
	g_queue_push_tail(&l->waiting, x);
	next_in(v, l, now);
}

static void
carry_out(struct cell_relay_serve *v, const Ogl__CellOrder *m,
    struct carried *c, ogl_time now)
{
	switch (m->kind) {
	case OGL__CELL_ORDER_KIND__cell_order_hold:
		hold(v->ops, m, c);
		break;
	case OGL__CELL_ORDER_KIND__cell_order_list:
		read_list(v->ops, m, c);
		break;
	case OGL__CELL_ORDER_KIND__cell_order_stop:
	case OGL__CELL_ORDER_KIND__cell_order_start:
		line_up(v, m, c, now);
		break;
	default: /* of a later version */
		turn_down(c, OGL__CELL_ORDER_OUTCOME__cell_order_not_sent, now);
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
		struct carried *c = carried_new(v, shard, from, m->token);

		if (refuse)
			turn_down(c,
			    OGL__CELL_ORDER_OUTCOME__cell_order_not_sent, now);
		else
			carry_out(v, m, c, now);
	}
}
