/*
 * Queues short requests and sends them to executors, which answer them.
 *
 * A request waits in the queue, which decides on the order, until the router
 * has a free slot at a target; it is then sent, and its answer is passed on.
 * The queue is bounded by time: a request that is expected to wait longer
 * than its team allows is refused at once, with a time after which to retry.
 * An accepted request is refused once it has waited as long as its team allows.
 *
 * A request is sent to another target only if it certainly did not run, or if
 * its caller declared it as idempotent, and only within the retry budget.  If
 * the answer to a request that is not idempotent is lost, the caller is told
 * that it may have run.
 */

#include <string.h>

#include "message.h"
#include "reqs.h"

enum {
	TOKEN_PART = 3,        /* top byte of this module's tokens */
	MAX_TRIES = 3,         /* most targets that one request is sent to */
	MAX_BUDGET_MS = 30000, /* longest and default time for a request */
	NO_TARGET_RETRY_AFTER_MS = 1000,
	MIN_RETRY_AFTER_MS = 50
};

enum req_phase {
	REQ_WAITING,
	REQ_SENT
};

struct req {
	uint64_t id;     /* identifies it in the queue and in its token */
	uint64_t cookie; /* identifies it to the caller of this module */
	enum req_phase phase;
	bool idempotent;
	bool abandoned; /* its caller no longer waits for the answer */
	bool started;   /* sent, and charged to its team in the queue */
	char *team;
	char *work_kind;
	GBytes *body;
	ogl_time submitted_at;
	ogl_time wait_until; /* latest time to queue or retry it */
	ogl_time deadline;   /* end of the time for the whole request */
	uint32_t tried[MAX_TRIES];
	uint32_t ntried;
	GSequenceIter *expiry; /* its place in reqs.expiry, NULL: not waiting */
};

struct target {
	char *name;
	char *addr;
	uint32_t number; /* the router's number for the target */
};

struct ogl_reqs {
	const struct ogl_node_config *cfg;
	const struct ogl_settings *settings;
	struct ogl_counters *counters;
	const struct ogl_reqs_ops *ops;
	void *ctx;
	struct ogl_route *route;
	struct ogl_queue *queue;
	GHashTable *open_reqs; /* id -> struct req */
	GHashTable *by_cookie; /* cookie -> struct req */
	GSequence *expiry;     /* waiting struct req, by wait_until */
	GHashTable *targets;   /* name -> struct target */
	GHashTable *by_number; /* number -> struct target */
	uint64_t next_id;
	bool dispatch_due;
};

static void
req_free(void *v)
{
	struct req *r = v;

	g_free(r->team);
	g_free(r->work_kind);
	g_bytes_unref(r->body);
	g_free(r);
}

static void
target_free(void *v)
{
	struct target *t = v;

	g_free(t->name);
	g_free(t->addr);
	g_free(t);
}

struct ogl_reqs *
ogl_reqs_init(const struct ogl_node_config *c, const struct ogl_settings *s,
    struct ogl_counters *n, uint64_t seed, const struct ogl_reqs_ops *ops,
    void *ctx)
{
	struct ogl_reqs *q = g_new0(struct ogl_reqs, 1);

	q->cfg = c;
	q->settings = s;
	q->counters = n;
	q->ops = ops;
	q->ctx = ctx;
	q->route = ogl_route_init(seed, c->zone);
	q->queue = ogl_queue_init(&ogl_queue_learned, seed + 1);
	q->open_reqs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, req_free);
	q->by_cookie = g_hash_table_new(g_int64_hash, g_int64_equal);
	q->expiry = g_sequence_new(NULL);
	q->targets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, target_free);
	q->by_number = g_hash_table_new(g_direct_hash, g_direct_equal);
	return q;
}

void
ogl_reqs_end(struct ogl_reqs *q)
{
	if (q == NULL)
		return;
	g_sequence_free(q->expiry);
	g_hash_table_destroy(q->by_cookie);
	g_hash_table_destroy(q->open_reqs);
	g_hash_table_destroy(q->by_number);
	g_hash_table_destroy(q->targets);
	ogl_queue_end(q->queue);
	ogl_route_end(q->route);
	g_free(q);
}

/* ---- targets ---------------------------------------------------------- */

void
ogl_reqs_set_target(struct ogl_reqs *q, const char *name, const char *addr,
    const char *zone, bool leaving, ogl_time now)
{
	struct target *t = g_hash_table_lookup(q->targets, name);

	if (t == NULL) {
		t = g_new0(struct target, 1);
		t->name = g_strdup(name);
		g_hash_table_insert(q->targets, t->name, t);
	}
	if (g_strcmp0(t->addr, addr) != 0) {
		g_free(t->addr);
		t->addr = g_strdup(addr);
	}
	t->number = ogl_route_set_target(
	    q->route, name, zone, q->cfg->exec_slots, leaving, now);
	g_hash_table_insert(q->by_number, GUINT_TO_POINTER(t->number), t);
	q->dispatch_due = true;
}

void
ogl_reqs_remove_target(struct ogl_reqs *q, const char *name)
{
	struct target *t = g_hash_table_lookup(q->targets, name);

	if (t == NULL)
		return;
	ogl_route_remove_target(q->route, t->number);
	g_hash_table_remove(q->by_number, GUINT_TO_POINTER(t->number));
	g_hash_table_remove(q->targets, name);
}

static void
set_share(void *ctx, const char *team, const struct ogl_team_view *view)
{
	struct ogl_reqs *q = ctx;

	ogl_queue_set_share(q->queue, team, view->share);
}

void
ogl_reqs_apply_settings(struct ogl_reqs *q)
{
	ogl_settings_each_team(q->settings, set_share, q);
}

/* ---- answers ---------------------------------------------------------- */

static void
count_verdict(struct ogl_reqs *q, enum ogl_verdict v)
{
	if (v == OGL_RAN)
		q->counters->req_ran++;
	else if (v == OGL_NOT_RUN)
		q->counters->req_not_run++;
	else
		q->counters->req_may_have_run++;
}

static void
stop_waiting(struct req *r)
{
	if (r->expiry != NULL)
		g_sequence_remove(r->expiry);
	r->expiry = NULL;
}

/* Gives the final answer and frees the request. */
static void
finish(struct ogl_reqs *q, struct req *r, uint32_t status, enum ogl_verdict v,
    uint64_t retry_ms, GBytes *body, ogl_time now)
{
	uint64_t cookie = r->cookie;
	bool abandoned = r->abandoned;

	if (r->started)
		ogl_queue_ended(q->queue, r->id, v == OGL_RAN, now);
	stop_waiting(r);
	count_verdict(q, v);
	if (!abandoned)
		g_hash_table_remove(q->by_cookie, &r->cookie);
	g_hash_table_remove(q->open_reqs, &r->id);
	if (!abandoned)
		q->ops->done(q->ctx, cookie, status, v, retry_ms, body, now);
}

static void
finish_error(struct ogl_reqs *q, struct req *r, uint32_t status,
    enum ogl_verdict v, uint64_t retry_ms, const char *error, ogl_time now)
{
	GBytes *body = ogl_error_body(error, v, retry_ms);

	finish(q, r, status, v, retry_ms, body, now);
	g_bytes_unref(body);
}

/* Returns the time after which a caller that is refused now should retry. */
static uint64_t
retry_after_ms(const struct ogl_reqs *q, ogl_time now)
{
	uint64_t ms =
	    ogl_route_wait_ms(q->route, ogl_queue_length(q->queue), now);

	return MAX(ms, MIN_RETRY_AFTER_MS);
}

/* ---- admission -------------------------------------------------------- */

static gint
compare_wait_until(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct req *ra = a;
	const struct req *rb = b;

	(void)unused;
	if (ra->wait_until != rb->wait_until)
		return ra->wait_until < rb->wait_until ? -1 : 1;
	return ra->id < rb->id ? -1 : ra->id > rb->id;
}

static void
wait_in_queue(struct ogl_reqs *q, struct req *r, ogl_time now)
{
	struct ogl_work w = {0};

	w.id = r->id;
	w.team = r->team;
	w.label = r->work_kind;
	w.kind = OGL__KIND__request;
	w.tasks = 1;
	w.res.cpu_milli = 1000;
	w.waiting_since = r->submitted_at;
	r->phase = REQ_WAITING;
	r->expiry =
	    g_sequence_insert_sorted(q->expiry, r, compare_wait_until, NULL);
	ogl_queue_push(q->queue, &w, now);
	q->dispatch_due = true;
}

void
ogl_reqs_submit(struct ogl_reqs *q, uint64_t cookie, const char *team,
    const char *work_kind, struct ogl_str body, bool idempotent,
    uint64_t budget_ms, ogl_time now)
{
	struct req *r = g_new0(struct req, 1);
	struct ogl_team_view view;
	uint64_t max_wait_ms, expected_ms;

	ogl_settings_lookup_team(q->settings, team, &view);
	r->id = ++q->next_id;
	r->cookie = cookie;
	r->idempotent = idempotent;
	r->team = g_strdup(team);
	r->work_kind = g_strdup(work_kind);
	r->body = g_bytes_new(body.p, body.n);
	r->submitted_at = now;
	budget_ms =
	    budget_ms > 0 ? MIN(budget_ms, MAX_BUDGET_MS) : MAX_BUDGET_MS;
	max_wait_ms =
	    MIN(budget_ms, view.exists ? view.max_queue_ms : MAX_BUDGET_MS);
	r->wait_until = now + (ogl_time)max_wait_ms * OGL_MS;
	r->deadline = now + (ogl_time)budget_ms * OGL_MS;
	g_hash_table_insert(q->open_reqs, &r->id, r);
	g_hash_table_insert(q->by_cookie, &r->cookie, r);
	if (g_hash_table_size(q->targets) == 0) {
		q->counters->refused++;
		finish_error(q, r, 503, OGL_NOT_RUN, NO_TARGET_RETRY_AFTER_MS,
		    "no target is known", now);
		return;
	}
	expected_ms =
	    ogl_queue_length(q->queue) == 0
		? 0
		: ogl_route_wait_ms(q->route, ogl_queue_length(q->queue), now);
	if (expected_ms > max_wait_ms) {
		q->counters->refused++;
		finish_error(q, r, 503, OGL_NOT_RUN, expected_ms,
		    "it would wait too long", now);
		return;
	}
	wait_in_queue(q, r, now);
}

void
ogl_reqs_caller_gone(struct ogl_reqs *q, uint64_t cookie)
{
	struct req *r = g_hash_table_lookup(q->by_cookie, &cookie);

	if (r == NULL)
		return;
	g_hash_table_remove(q->by_cookie, &cookie);
	r->abandoned = true;
	if (r->phase != REQ_WAITING)
		return; /* it runs; its answer will be dropped */
	ogl_queue_remove(q->queue, r->id);
	stop_waiting(r);
	g_hash_table_remove(q->open_reqs, &r->id);
}

/* ---- sending ---------------------------------------------------------- */

static void
send_to(struct req *r, const struct target *t, ogl_time now,
    struct ogl_actions *out)
{
	struct ogl_action *a = ogl_actions_new(out, OGL_ACT_EXEC);

	a->token = (uint64_t)TOKEN_PART << 56 | r->id;
	a->addr = g_strdup(t->addr);
	a->name = g_strdup(r->team);
	a->work_kind = g_strdup(r->work_kind);
	a->data = g_bytes_ref(r->body);
	a->timeout_ms = (uint32_t)MAX((r->deadline - now) / OGL_MS, 1);
	r->phase = REQ_SENT;
	r->tried[r->ntried++] = t->number;
}

static void
dispatch(struct ogl_reqs *q, ogl_time now, struct ogl_actions *out)
{
	struct ogl_work w;
	uint32_t ndeferred = 0;

	q->dispatch_due = false;
	ogl_queue_retry_deferred(q->queue, now);
	while (ndeferred < MAX_TRIES && ogl_queue_pop(q->queue, now, &w)) {
		struct req *r = g_hash_table_lookup(q->open_reqs, &w.id);
		uint32_t t;

		if (!ogl_route_pick(
			q->route, r->cookie, r->tried, r->ntried, now, &t)) {
			ogl_queue_defer(q->queue, w.id, now);
			ndeferred++;
			continue;
		}
		ogl_queue_started(q->queue, &w, now);
		r->started = true;
		stop_waiting(r);
		send_to(r,
		    g_hash_table_lookup(q->by_number, GUINT_TO_POINTER(t)), now,
		    out);
	}
}

/* ---- targets' answers ------------------------------------------------- */

static bool
is_retryable(const struct ogl_event *ev, const struct req *r)
{
	if (ev->io == OGL_IO_NOT_SENT || ev->io == OGL_IO_REFUSED)
		return true;
	if (ev->io == OGL_IO_OK && ev->u.exec.not_run)
		return true;
	if (!r->idempotent)
		return false;
	return ev->io == OGL_IO_LOST || ev->u.exec.status >= 500;
}

static void
retry(struct ogl_reqs *q, struct req *r, ogl_time now)
{
	q->counters->retries++;
	ogl_queue_ended(q->queue, r->id, false, now);
	r->started = false;
	wait_in_queue(q, r, now);
}

static bool
certainly_not_run(const struct ogl_event *ev)
{
	return ev->io == OGL_IO_NOT_SENT || ev->io == OGL_IO_REFUSED ||
	       (ev->io == OGL_IO_OK && ev->u.exec.not_run);
}

static void
answer_caller(
    struct ogl_reqs *q, struct req *r, const struct ogl_event *ev, ogl_time now)
{
	GBytes *body;

	/* A request that is not idempotent is retried only if it certainly did
	 * not run.  An idempotent one may have run at an earlier target. */
	if (certainly_not_run(ev) && (!r->idempotent || r->ntried == 1)) {
		q->counters->refused++;
		finish_error(q, r, 503, OGL_NOT_RUN, retry_after_ms(q, now),
		    "no target took it", now);
	} else if (ev->io == OGL_IO_OK && !ev->u.exec.not_run) {
		body = g_bytes_new(ev->u.exec.body.p, ev->u.exec.body.n);
		finish(q, r, ev->u.exec.status,
		    ev->u.exec.status < 500 ? OGL_RAN : OGL_MAY_HAVE_RUN, 0,
		    body, now);
		g_bytes_unref(body);
	} else {
		finish_error(q, r, 504, OGL_MAY_HAVE_RUN, 0,
		    "the target's answer was lost", now);
	}
}

void
ogl_reqs_event(struct ogl_reqs *q, const struct ogl_event *ev, ogl_time now)
{
	uint64_t id = ev->token & 0xffffffffffffff;
	struct req *r = g_hash_table_lookup(q->open_reqs, &id);
	enum ogl_io_result io;

	if (r == NULL || r->phase != REQ_SENT) {
		q->counters->late_answers++;
		return;
	}
	io =
	    ev->io == OGL_IO_OK && ev->u.exec.not_run ? OGL_IO_REFUSED : ev->io;
	ogl_route_request_done(q->route, r->tried[r->ntried - 1], r->cookie, io,
	    io == OGL_IO_OK ? ev->u.exec.status : 0, now);
	q->dispatch_due = true;
	if (is_retryable(ev, r) && r->ntried < MAX_TRIES && !r->abandoned &&
	    now < r->wait_until && ogl_route_take_retry(q->route, now))
		retry(q, r, now);
	else
		answer_caller(q, r, ev, now);
}

/* ---- ticks ------------------------------------------------------------ */

static void
refuse_expired(struct ogl_reqs *q, ogl_time now)
{
	GSequenceIter *it;

	while (!g_sequence_iter_is_end(
	    it = g_sequence_get_begin_iter(q->expiry))) {
		struct req *r = g_sequence_get(it);
		/* Only an idempotent request is queued again although it may
		 * have run. */
		bool not_run = r->ntried == 0 || !r->idempotent;

		if (r->wait_until > now)
			return;
		ogl_queue_remove(q->queue, r->id);
		q->counters->refused++;
		finish_error(q, r, 503,
		    not_run ? OGL_NOT_RUN : OGL_MAY_HAVE_RUN,
		    retry_after_ms(q, now), "it waited too long", now);
	}
}

void
ogl_reqs_tick(struct ogl_reqs *q, ogl_time now, struct ogl_actions *out)
{
	refuse_expired(q, now);
	if (q->dispatch_due || ogl_queue_length(q->queue) > 0)
		dispatch(q, now, out);
}

ogl_time
ogl_reqs_next(const struct ogl_reqs *q)
{
	GSequenceIter *it = g_sequence_get_begin_iter(q->expiry);

	if (q->dispatch_due)
		return 0;
	if (g_sequence_iter_is_end(it))
		return OGL_NEVER;
	return ((struct req *)g_sequence_get(it))->wait_until;
}

bool
ogl_reqs_is_token(uint64_t token)
{
	return token >> 56 == TOKEN_PART;
}

size_t
ogl_reqs_open_count(const struct ogl_reqs *q)
{
	return g_hash_table_size(q->open_reqs);
}

size_t
ogl_reqs_queued_count(const struct ogl_reqs *q)
{
	return ogl_queue_length(q->queue);
}
