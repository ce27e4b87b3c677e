/*
 * Handles the calls of callers and operators, and the calls that other nodes
 * forward to this one.
 *
 * A table says, by method and path, which keys allow the call and whether it
 * is answered here (operators' views), by the executors (short requests), by
 * the owner of one shard (jobs, short requests with an id) or by the owners of
 * all shards (lists).  In the last two cases the call is forwarded.  The
 * caller's key determines the team.  Every forwarded call may be repeated
 * without harm, since submissions carry an id (the caller's or one made here).
 * So after a lost message or a change of owner the call is sent again until
 * its deadline.
 */

#include <jansson.h>
#include <string.h>

#include "node_impl.h"

enum {
	CALL_TIMEOUT_MS = 10000,  /* maximum and default time for a call */
	RESEND_MS = 700,          /* time between sends of an unanswered call */
	NO_OWNER_RETRY_MS = 100,  /* time between lookups of an unknown owner */
	GATHER_TIMEOUT_MS = 2000, /* after this, a list omits missing shards */
	STALE_RETRY_MS = 1000,    /* retry delay while settings are stale */
	STOP_RETRY_MS = 100,      /* retry delay while shutting down */
	TICK_MS = 50,             /* time between checks for due calls */
	TEAM_MAX_BYTES = 128,
	REQUEST_ID_MAX_BYTES = 128
};

#define ID_ALLOWED "at most 128 bytes of UTF-8 without '|'"

/* Set in the waiter numbers of calls that a peer forwarded. */
#define REMOTE_WAITER ((uint64_t)1 << 63)

enum call_kind {
	CALL_REQUEST, /* a short request whose id need not be remembered */
	CALL_SHARD,   /* for the owner of one shard */
	CALL_GATHER,  /* for the owners of all shards */
	CALL_LOCAL    /* answered here, possibly after an edit */
};

struct call {
	uint64_t id;    /* number within this node */
	uint64_t token; /* identifies the call to the HTTP adapter */
	enum call_kind kind;
	char *method;
	char *path;
	char *team;
	char *request_id;
	char *work_kind;
	GBytes *body;
	uint32_t shard;
	uint32_t nrefused; /* shards that can never run the job */
	/* The home of a job is the shard that the caller's id belongs to.  It
	 * remembers the id and refers the job to the shard that runs it. */
	uint32_t home_shard;
	bool has_caller_id;
	bool referred;       /* `shard` is where the home referred the job */
	uint32_t suggest;    /* shard + 1 proposed to the home, 0: none */
	uint32_t refused_by; /* shard + 1 that can never run it, 0: none */
	bool any_shard;      /* a job without a caller's id: any shard fits */
	uint32_t unanswered; /* copies sent to an owner and not answered */
	bool waits_locally;  /* a shard of this node holds it as a waiter */
	ogl_time deadline;
	ogl_time next_send;
	json_t *rows;         /* rows of the shards that answered so far */
	GByteArray *answered; /* by shard: 1 if it has answered */
	uint32_t nmissing;    /* shards that have not answered */
};

/* A call that a peer forwarded to this node. */
struct remote_call {
	uint64_t waiter;
	char *peer;
	uint64_t call_id; /* number within the peer */
	uint32_t shard;
	ogl_time expires_at;
};

/* A short request sent to an executor on behalf of a shard. */
struct dispatched {
	uint64_t cookie; /* identifies the request in reqs.c */
	uint32_t shard;
	char *id;
};

struct ogl_calls {
	GHashTable *open_calls;   /* id -> struct call */
	GHashTable *by_token;     /* token -> struct call */
	GHashTable *remote_calls; /* waiter -> struct remote_call */
	GHashTable *dispatched;   /* cookie -> struct dispatched */
	uint64_t last_id;         /* last number of a call, waiter or cookie */
	uint64_t last_auto_id;    /* number in the last request id made here */
	ogl_time next_tick;
};

static void
call_free(void *v)
{
	struct call *c = v;

	g_free(c->method);
	g_free(c->path);
	g_free(c->team);
	g_free(c->request_id);
	g_free(c->work_kind);
	g_bytes_unref(c->body);
	if (c->rows != NULL)
		json_decref(c->rows);
	if (c->answered != NULL)
		g_byte_array_free(c->answered, TRUE);
	g_free(c);
}

static void
remote_call_free(void *v)
{
	struct remote_call *r = v;

	g_free(r->peer);
	g_free(r);
}

static void
dispatched_free(void *v)
{
	struct dispatched *d = v;

	g_free(d->id);
	g_free(d);
}

struct ogl_calls *
ogl_calls_init(struct ogl_node *n)
{
	struct ogl_calls *c = g_new0(struct ogl_calls, 1);

	/* Starts at a random number, so that a peer's answer to a call of an
	 * earlier process at this address is not taken for the answer to a
	 * call of this one. */
	c->last_id =
	    ogl_random_mix(ogl_random_next(&n->rnd) ^ n->cfg.boot) >> 2;
	c->open_calls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, call_free);
	c->by_token = g_hash_table_new(g_int64_hash, g_int64_equal);
	c->remote_calls = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, remote_call_free);
	c->dispatched = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, dispatched_free);
	return c;
}

void
ogl_calls_end(struct ogl_calls *c)
{
	g_hash_table_destroy(c->by_token);
	g_hash_table_destroy(c->open_calls);
	g_hash_table_destroy(c->remote_calls);
	g_hash_table_destroy(c->dispatched);
	g_free(c);
}

size_t
ogl_calls_open_count(const struct ogl_node *n)
{
	return g_hash_table_size(n->calls->open_calls);
}

/* ---- replies ---------------------------------------------------------- */

static void
reply_bytes(struct ogl_node *n, uint64_t token, uint32_t status,
    enum ogl_verdict v, uint64_t retry_ms, GBytes *body, bool json)
{
	struct ogl_action *a = ogl_actions_new(n->out, OGL_ACT_REPLY);

	a->token = token;
	a->status = status;
	a->verdict = v;
	a->retry_after_ms = retry_ms;
	a->content_type =
	    json ? "application/json" : "application/octet-stream";
	a->data = g_bytes_ref(body);
}

static void
reply_text(struct ogl_node *n, uint64_t token, uint32_t status,
    enum ogl_verdict v, uint64_t retry_ms, char *text)
{
	GBytes *b = g_bytes_new_take(text, strlen(text));

	reply_bytes(n, token, status, v, retry_ms, b, true);
	g_bytes_unref(b);
}

static void
reply_error(struct ogl_node *n, uint64_t token, uint32_t status,
    enum ogl_verdict v, uint64_t retry_ms, const char *error)
{
	reply_text(n, token, status, v, retry_ms,
	    ogl_error_text(error, v, retry_ms, NULL));
}

static void
call_done(struct ogl_node *n, struct call *c)
{
	g_hash_table_remove(n->calls->by_token, &c->token);
	g_hash_table_remove(n->calls->open_calls, &c->id);
}

static void
call_error(struct ogl_node *n, struct call *c, uint32_t status,
    enum ogl_verdict v, uint64_t retry_ms, const char *error)
{
	reply_error(n, c->token, status, v, retry_ms, error);
	call_done(n, c);
}

/* ---- forwarding ------------------------------------------------------- */

static void
call_local_owner(struct ogl_node *n, const struct call *c, uint32_t shard)
{
	struct ogl_owner_call q = {0};
	gsize len;

	q.waiter = c->id;
	q.method = ogl_str(c->method);
	q.path = ogl_str(c->path);
	q.team = c->team;
	q.request_id = c->request_id;
	q.work_kind = c->work_kind;
	q.body.p = g_bytes_get_data(c->body, &len);
	q.body.n = len;
	q.budget_ms = (uint64_t)MAX((c->deadline - n->now) / OGL_MS, 1);
	q.suggest = c->referred ? 0 : c->suggest;
	q.refused_by = c->refused_by;
	q.referred = c->referred;
	ogl_shard_call(n->shards[shard], &q, n->now);
}

static void
forward_to_peer(struct ogl_node *n, const struct call *c, uint32_t shard,
    const struct ogl_peer *p)
{
	Ogl__PeerMsg msg = OGL__PEER_MSG__INIT;
	Ogl__Forward f = OGL__FORWARD__INIT;
	gsize len;

	f.call = c->id;
	f.shard = shard;
	f.method = c->method;
	f.path = c->path;
	f.team = c->team;
	f.request_id = c->request_id;
	f.work_kind = c->work_kind;
	f.body.data = (uint8_t *)g_bytes_get_data(c->body, &len);
	f.body.len = len;
	f.budget_ms = (uint64_t)MAX((c->deadline - n->now) / OGL_MS, 1);
	f.suggest = c->referred ? 0 : c->suggest;
	f.refused_by = c->refused_by;
	f.referred = c->referred;
	msg.body_case = OGL__PEER_MSG__BODY_FORWARD;
	msg.forward = &f;
	ogl_member_send(n->member, p->fact->addr, &msg, n->out);
	n->counters.forwarded++;
}

/* Sends the call to the shard's owner, local or remote; false if none is
 * known.  The call may have been answered and freed when this returns. */
static bool
send_to_owner(struct ogl_node *n, struct call *c, uint32_t shard)
{
	const struct ogl_owner *o = &n->owners[shard];
	const struct ogl_peer *p;

	if (ogl_shard_role(n->shards[shard]) == OGL_ROLE_OWNER) {
		call_local_owner(n, c, shard);
		return true;
	}
	p = o->name != NULL ? ogl_member_find(n->member, o->name) : NULL;
	if (p == NULL)
		return false;
	forward_to_peer(n, c, shard, p);
	return true;
}

/* Sends a call to the owner of its shard.  An owner on this node gets it once,
 * since its answer can't be lost; a peer gets it again until it answers. */
static void
send_to_shard(struct ogl_node *n, struct call *c)
{
	bool local = ogl_shard_role(n->shards[c->shard]) == OGL_ROLE_OWNER;

	c->next_send = n->now + RESEND_MS * OGL_MS;
	if (local && c->waits_locally)
		return;
	if (!local && n->owners[c->shard].name == NULL) {
		c->next_send = n->now + NO_OWNER_RETRY_MS * OGL_MS;
		return;
	}
	c->waits_locally = local;
	c->unanswered++;
	send_to_owner(n, c, c->shard);
}

static void
finish_gather(struct ogl_node *n, struct call *c)
{
	const char *name = strrchr(c->path, '/') + 1;
	json_t *top = json_object();
	char *text;

	json_object_set(top, name, c->rows);
	json_object_set_new(
	    top, "shards_missing", json_integer((json_int_t)c->nmissing));
	text = json_dumps(top, JSON_COMPACT);
	reply_text(n, c->token, 200, OGL_RAN, 0, text);
	json_decref(top);
	call_done(n, c);
}

static void
send_to_all_shards(struct ogl_node *n, struct call *c)
{
	uint64_t id = c->id;

	c->next_send = n->now + RESEND_MS * OGL_MS;
	for (uint32_t i = 0; i < n->cfg.shards; i++) {
		if (!c->answered->data[i])
			send_to_owner(n, c, i);
		if (!g_hash_table_contains(n->calls->open_calls, &id))
			return; /* answered by a shard of this node */
	}
}

/* Adds the rows of one shard: a list, or an object that holds one. */
static void
add_rows(struct ogl_node *n, struct call *c, uint32_t shard, GBytes *body)
{
	gsize len;
	const char *text = g_bytes_get_data(body, &len);
	json_t *j = json_loadb(text, len, 0, NULL);
	json_t *list = json_is_object(j) ? json_object_get(j, "jobs") : j;

	if (c->answered->data[shard]) {
		json_decref(j);
		return;
	}
	c->answered->data[shard] = 1;
	c->nmissing--;
	if (json_is_array(list))
		json_array_extend(c->rows, list);
	json_decref(j);
	if (c->nmissing == 0)
		finish_gather(n, c);
}

/* ---- shard selection -------------------------------------------------- */

static uint32_t
shard_of_id(const struct ogl_node *n, const char *team, const char *id)
{
	char *key = ogl_request_key(team, id);
	uint64_t h = ogl_random_hash(key, strlen(key));

	g_free(key);
	return (uint32_t)(h % n->cfg.shards);
}

/* Reads the shard from a job id, "s<shard>-..."; false if it is not one. */
static bool
shard_of_job(const struct ogl_node *n, const char *id, uint32_t *shard)
{
	char *end;
	guint64 number;

	if (id[0] != 's')
		return false;
	number = g_ascii_strtoull(id + 1, &end, 10);
	if (end == id + 1 || *end != '-' || number >= n->cfg.shards)
		return false;
	*shard = (uint32_t)number;
	return true;
}

/* Returns the first shard from `from` on that has a known owner, or `from` if
 * no shard has one. */
static uint32_t
next_owned(const struct ogl_node *n, uint32_t from)
{
	for (uint32_t i = 0; i < n->cfg.shards; i++) {
		uint32_t shard = (from + i) % n->cfg.shards;

		if (n->owners[shard].name != NULL)
			return shard;
	}
	return from;
}

/* Picks the one of two random shards that has more free processors.  This
 * spreads jobs although no node knows the load of all shards. */
static uint32_t
pick_shard(struct ogl_node *n)
{
	uint32_t a = (uint32_t)(ogl_random_next(&n->rnd) % n->cfg.shards);
	uint32_t b = (uint32_t)(ogl_random_next(&n->rnd) % n->cfg.shards);
	const struct ogl_owner *oa = &n->owners[a];
	const struct ogl_owner *ob = &n->owners[b];

	if (oa->name == NULL && ob->name == NULL)
		return next_owned(n, a);
	if ((oa->name != NULL) != (ob->name != NULL))
		return oa->name != NULL ? a : b;
	return ob->free_cpu_milli > oa->free_cpu_milli ? b : a;
}

/* ---- answers ---------------------------------------------------------- */

/* Schedules the next send, to the same or another shard, after wait_ms. */
static void
schedule_send(struct ogl_node *n, struct call *c, uint64_t wait_ms)
{
	c->waits_locally = false;
	c->next_send = n->now + (ogl_time)wait_ms * OGL_MS;
}

/* Follows the home shard's referral to the shard that is to take the job. */
static void
follow_referral(struct ogl_node *n, struct call *c, GBytes *body)
{
	char text[16] = "";
	gsize len;
	const char *p = g_bytes_get_data(body, &len);
	guint64 shard;

	memcpy(text, p, MIN(len, sizeof text - 1));
	shard = g_ascii_strtoull(text, NULL, 10);
	if (shard >= n->cfg.shards || c->referred)
		return;
	c->referred = true;
	c->shard = (uint32_t)shard;
	schedule_send(n, c, 0);
}

/* Asks the home to refer the job to the next shard, since this one can never
 * run it. */
static void
ask_home_for_next(struct ogl_node *n, struct call *c)
{
	c->refused_by = c->shard + 1;
	c->suggest = (c->shard + 1) % n->cfg.shards + 1;
	c->referred = false;
	c->shard = c->home_shard;
	schedule_send(n, c, 0);
}

/* Whether one copy of the call was refused while another, sent before or after
 * it, has no answer yet.  The other copy may still reach an owner that runs it,
 * so "not run" would be wrong. */
static bool
copy_is_unanswered(const struct call *c, uint32_t status, enum ogl_verdict v)
{
	return status >= 400 && v == OGL_NOT_RUN && c->unanswered > 0 &&
	       strcmp(c->method, "GET") != 0;
}

/* Handles a shard's answer to a call of this node.  A call that failed because
 * the shard has no owner is sent again, as every forwarded call may be
 * repeated.  A job that one shard can never run is sent to another.  Any other
 * answer is passed on to the caller. */
static void
handle_answer(struct ogl_node *n, struct call *c, uint32_t shard,
    uint32_t status, enum ogl_verdict v, uint64_t retry_ms, GBytes *body)
{
	if (c->kind == CALL_GATHER) {
		if (status == 200)
			add_rows(n, c, shard, body);
		return;
	}
	if (shard != c->shard)
		return;
	if (v == OGL_NOT_RUN && c->unanswered > 0)
		c->unanswered--;
	if (status == 503 && retry_ms > 0 && retry_ms < RESEND_MS &&
	    c->deadline - n->now > RESEND_MS * OGL_MS) {
		schedule_send(n, c, retry_ms);
		return;
	}
	if (status == OGL_STATUS_REFERRED) {
		follow_referral(n, c, body);
		return;
	}
	if (status == 422 && c->has_caller_id &&
	    ++c->nrefused < n->cfg.shards) {
		ask_home_for_next(n, c);
		return;
	}
	if (status == 422 && c->any_shard && ++c->nrefused < n->cfg.shards) {
		c->shard = (c->shard + 1) % n->cfg.shards;
		schedule_send(n, c, 0);
		return;
	}
	if (copy_is_unanswered(c, status, v)) {
		call_error(n, c, status, OGL_MAY_HAVE_RUN, retry_ms,
		    "another copy of it may be under way; ask again under "
		    "the same id");
		return;
	}
	reply_bytes(n, c->token, status, v, retry_ms, body,
	    strcmp(c->path, "/v1/requests") != 0 || status >= 400);
	call_done(n, c);
}

static void
answer_remote(struct ogl_node *n, uint64_t waiter, uint32_t status,
    enum ogl_verdict v, uint64_t retry_ms, GBytes *body)
{
	struct remote_call *r =
	    g_hash_table_lookup(n->calls->remote_calls, &waiter);
	const struct ogl_peer *p;
	Ogl__PeerMsg msg = OGL__PEER_MSG__INIT;
	Ogl__ForwardReply f = OGL__FORWARD_REPLY__INIT;
	gsize len;

	if (r == NULL)
		return;
	p = ogl_member_find(n->member, r->peer);
	if (p != NULL) {
		f.call = r->call_id;
		f.shard = r->shard;
		f.status = status;
		f.verdict = (Ogl__Verdict)v;
		f.retry_after_ms = retry_ms;
		f.body.data = (uint8_t *)g_bytes_get_data(body, &len);
		f.body.len = len;
		msg.body_case = OGL__PEER_MSG__BODY_FORWARD_REPLY;
		msg.forward_reply = &f;
		ogl_member_send(n->member, p->fact->addr, &msg, n->out);
	}
	g_hash_table_remove(n->calls->remote_calls, &waiter);
}

void
ogl_calls_answer_waiter(struct ogl_node *n, uint32_t shard, uint64_t waiter,
    uint32_t status, enum ogl_verdict v, uint64_t retry_after_ms, GBytes *body)
{
	struct call *c;

	if (waiter & REMOTE_WAITER) {
		answer_remote(n, waiter, status, v, retry_after_ms, body);
		return;
	}
	c = g_hash_table_lookup(n->calls->open_calls, &waiter);
	if (c != NULL)
		handle_answer(n, c, shard, status, v, retry_after_ms, body);
}

void
ogl_calls_forward(
    struct ogl_node *n, const struct ogl_peer *from, const Ogl__Forward *f)
{
	uint64_t budget_ms = MIN(f->budget_ms, CALL_TIMEOUT_MS);
	struct ogl_owner_call q = {0};
	struct remote_call *r;

	if (f->shard >= n->cfg.shards)
		return;
	r = g_new0(struct remote_call, 1);
	r->waiter = ++n->calls->last_id | REMOTE_WAITER;
	r->peer = g_strdup(from->fact->name);
	r->call_id = f->call;
	r->shard = f->shard;
	r->expires_at = n->now + (ogl_time)budget_ms * OGL_MS + OGL_SEC;
	g_hash_table_insert(n->calls->remote_calls, &r->waiter, r);
	q.waiter = r->waiter;
	q.method = ogl_str(f->method);
	q.path = ogl_str(f->path);
	q.team = f->team;
	q.request_id = f->request_id;
	q.work_kind = f->work_kind;
	q.body.p = (const char *)f->body.data;
	q.body.n = f->body.len;
	q.budget_ms = budget_ms;
	q.suggest = f->suggest;
	q.refused_by = f->refused_by;
	q.referred = f->referred;
	ogl_shard_call(n->shards[f->shard], &q, n->now);
}

void
ogl_calls_forward_reply(
    struct ogl_node *n, const struct ogl_peer *from, const Ogl__ForwardReply *r)
{
	struct call *c = g_hash_table_lookup(n->calls->open_calls, &r->call);
	GBytes *body;

	(void)from;
	if (r->shard >= n->cfg.shards || !ogl_http_status_is_valid(r->status) ||
	    r->verdict > OGL__VERDICT__may_have_run)
		return; /* malformed: treated as lost, so the call is resent */
	if (c == NULL) {
		n->counters.late_answers++;
		return;
	}
	body = g_bytes_new(r->body.data, r->body.len);
	handle_answer(n, c, r->shard, r->status, (enum ogl_verdict)r->verdict,
	    r->retry_after_ms, body);
	g_bytes_unref(body);
}

/* ---- short requests --------------------------------------------------- */

void
ogl_calls_dispatch(struct ogl_node *n, uint32_t shard, const char *id,
    const char *team, const char *work_kind, GBytes *body, uint64_t budget_ms)
{
	struct dispatched *d = g_new0(struct dispatched, 1);
	struct ogl_str s;

	d->cookie = ++n->calls->last_id;
	d->shard = shard;
	d->id = g_strdup(id);
	g_hash_table_insert(n->calls->dispatched, &d->cookie, d);
	s.p = g_bytes_get_data(body, &s.n);
	ogl_reqs_submit(
	    n->reqs, d->cookie, team, work_kind, s, false, budget_ms, n->now);
}

void
ogl_calls_request_done(struct ogl_node *n, uint64_t cookie, uint32_t status,
    enum ogl_verdict v, uint64_t retry_after_ms, GBytes *body)
{
	struct call *c = g_hash_table_lookup(n->calls->open_calls, &cookie);
	struct dispatched *d;

	if (c != NULL) {
		reply_bytes(
		    n, c->token, status, v, retry_after_ms, body, v != OGL_RAN);
		call_done(n, c);
		return;
	}
	d = g_hash_table_lookup(n->calls->dispatched, &cookie);
	if (d == NULL)
		return;
	ogl_shard_outcome(n->shards[d->shard], d->id, v, status, retry_after_ms,
	    body, n->now);
	g_hash_table_remove(n->calls->dispatched, &cookie);
}

/* ---- incoming calls --------------------------------------------------- */

static struct call *
call_new(struct ogl_node *n, const struct ogl_event *ev, const char *team,
    const char *path)
{
	struct call *c = g_new0(struct call, 1);
	uint64_t ms = ev->u.call.budget_ms;

	c->id = ++n->calls->last_id;
	c->token = ev->token;
	c->method = ogl_str_dup(ev->u.call.method);
	c->path = g_strdup(path);
	c->team = g_strdup(team);
	c->request_id = ogl_str_dup(ev->u.call.request_id);
	c->work_kind = ogl_str_dup(ev->u.call.work_kind);
	c->body = g_bytes_new(ev->u.call.body.p, ev->u.call.body.n);
	c->deadline = n->now + (ogl_time)(ms > 0 ? MIN(ms, CALL_TIMEOUT_MS)
						 : CALL_TIMEOUT_MS) *
				   OGL_MS;
	g_hash_table_insert(n->calls->open_calls, &c->id, c);
	g_hash_table_insert(n->calls->by_token, &c->token, c);
	return c;
}

typedef void (*call_fn)(struct ogl_node *n, const struct ogl_event *ev,
    const char *team, const char *path, const char *arg);

static void
do_request(struct ogl_node *n, const struct ogl_event *ev, const char *team,
    const char *path, const char *arg)
{
	struct ogl_team_view view;
	struct call *c;

	(void)arg;
	ogl_settings_lookup_team(n->settings, team, &view);
	if (view.exists && ev->u.call.body.n > view.max_body) {
		n->counters.bad_input++;
		reply_error(n, ev->token, 413, OGL_NOT_RUN, 0,
		    "the body is larger than the team's max_body");
		return;
	}
	c = call_new(n, ev, team, path);
	if (c->request_id[0] != '\0' && !ev->u.call.idempotent) {
		c->kind = CALL_SHARD;
		c->shard = shard_of_id(n, team, c->request_id);
		send_to_shard(n, c);
		return;
	}
	c->kind = CALL_REQUEST;
	ogl_reqs_submit(n->reqs, c->id, team, c->work_kind, ev->u.call.body,
	    ev->u.call.idempotent, ev->u.call.budget_ms, n->now);
}

/* Ids must be valid UTF-8: others are distinct in memory, but may become equal
 * in JSON, and the jobs of two callers would be taken for one. */
static bool
id_is_valid(struct ogl_str id)
{
	if (id.n == 0)
		return true;
	return id.n <= REQUEST_ID_MAX_BYTES &&
	       memchr(id.p, '|', id.n) == NULL &&
	       g_utf8_validate(id.p, (gssize)id.n, NULL);
}

static bool
submit_is_valid(const Ogl__Submit *s, struct ogl_faults *f)
{
	char text[32];

	g_snprintf(text, sizeof text, "%u", s->tasks);
	if (s->tasks < 1 || s->tasks > 10000)
		ogl_faults_add(f, "tasks", text, "1 to 10000");
	if (s->kind == OGL__KIND__request)
		ogl_faults_add(f, "kind", "request", "batch, service, gang");
	if (s->res == NULL || (s->res->cpu_milli == 0 && s->res->mem_mb == 0))
		ogl_faults_add(f, "res", "",
		    "processors (cpu_milli) or memory (mem_mb) above 0");
	if (strlen(s->payload) > 4096)
		ogl_faults_add(f, "payload", "", "at most 4096 bytes");
	if (!id_is_valid(ogl_str(s->request_id)))
		ogl_faults_add(f, "request_id", s->request_id, ID_ALLOWED);
	return ogl_faults_count(f) == 0;
}

static void
set_id(Ogl__Submit *s, char *id)
{
	if (s->request_id != protobuf_c_empty_string)
		free(s->request_id);
	s->request_id = id;
}

/* Returns the body to forward.  A submission without an id gets one here, so
 * that sending it twice creates one job. */
static GBytes *
body_with_id(struct ogl_node *n, Ogl__Submit *s)
{
	char *text;
	size_t len;

	if (s->request_id[0] == '\0')
		set_id(s, g_strdup_printf("auto-%s-%" G_GUINT64_FORMAT
					  "-%" G_GUINT64_FORMAT,
			      n->name, n->cfg.boot, ++n->calls->last_auto_id));
	text = ogl_json_print(&s->base, &len);
	return g_bytes_new_take(text, len);
}

static void
do_submit(struct ogl_node *n, const struct ogl_event *ev, const char *team,
    const char *path, const char *arg)
{
	struct ogl_faults *f = ogl_faults_new();
	Ogl__Submit *s = (Ogl__Submit *)ogl_json_parse(
	    &ogl__submit__descriptor, ev->u.call.body, f);
	bool has_caller_id;
	struct call *c;

	(void)arg;
	if (s != NULL && s->request_id[0] == '\0' &&
	    ev->u.call.request_id.n > 0)
		set_id(s,
		    strndup(ev->u.call.request_id.p, ev->u.call.request_id.n));
	if (s == NULL || !submit_is_valid(s, f)) {
		n->counters.bad_input++;
		reply_text(n, ev->token, 422, OGL_NOT_RUN, 0,
		    ogl_error_text("the job is not valid", OGL_NOT_RUN, 0, f));
		goto out;
	}
	has_caller_id = s->request_id[0] != '\0';
	c = call_new(n, ev, team, path);
	c->kind = CALL_SHARD;
	c->any_shard = !has_caller_id;
	c->has_caller_id = has_caller_id;
	g_bytes_unref(c->body);
	c->body = body_with_id(n, s);
	c->shard =
	    has_caller_id ? shard_of_id(n, team, s->request_id) : pick_shard(n);
	c->home_shard = c->shard;
	c->suggest = has_caller_id ? pick_shard(n) + 1 : 0;
	send_to_shard(n, c);
out:
	if (s != NULL)
		ogl__submit__free_unpacked(s, NULL);
	ogl_faults_free(f);
}

static void
do_job(struct ogl_node *n, const struct ogl_event *ev, const char *team,
    const char *path, const char *arg)
{
	uint32_t shard;
	struct call *c;

	if (!shard_of_job(n, arg, &shard)) {
		reply_error(n, ev->token, 404, OGL_NOT_RUN, 0, "no such job");
		return;
	}
	c = call_new(n, ev, team, path);
	c->kind = CALL_SHARD;
	c->shard = shard;
	send_to_shard(n, c);
}

static void
do_gather(struct ogl_node *n, const struct ogl_event *ev, const char *team,
    const char *path, const char *arg)
{
	struct call *c = call_new(n, ev, team, path);

	(void)arg;
	c->kind = CALL_GATHER;
	c->deadline = MIN(c->deadline, n->now + GATHER_TIMEOUT_MS * OGL_MS);
	c->rows = json_array();
	c->nmissing = n->cfg.shards;
	c->answered = g_byte_array_new();
	g_byte_array_set_size(c->answered, n->cfg.shards);
	memset(c->answered->data, 0, n->cfg.shards);
	send_to_all_shards(n, c);
}

/* Who may make a call. */
enum access {
	ACCESS_TEAM,    /* with a team's key */
	ACCESS_ANY,     /* with any key */
	ACCESS_OPERATOR /* with an operator's key */
};

/* One row for each call.  If path ends in '/', the rest of the call's path is
 * the argument. */
struct call_row {
	const char *method;
	const char *path;
	enum access access;
	call_fn fn;   /* for calls that are forwarded or queued, or NULL */
	ogl_op_fn op; /* for calls that are answered here, or NULL */
};

static const struct call_row call_table[] = {
    {"POST", "/v1/requests", ACCESS_TEAM, do_request, NULL},
    {"POST", "/v1/jobs", ACCESS_TEAM, do_submit, NULL},
    {"GET", "/v1/jobs", ACCESS_ANY, do_gather, NULL},
    {"GET", "/v1/jobs/", ACCESS_ANY, do_job, NULL},
    {"DELETE", "/v1/jobs/", ACCESS_ANY, do_job, NULL},
    {"GET", "/v1/shards", ACCESS_OPERATOR, do_gather, NULL},
    {"GET", "/v1/queues", ACCESS_OPERATOR, do_gather, NULL},
    {"GET", "/v1/workers", ACCESS_OPERATOR, do_gather, NULL},
    {"GET", "/v1/settings", ACCESS_OPERATOR, NULL, ogl_op_settings_get},
    {"POST", "/v1/settings", ACCESS_OPERATOR, NULL, ogl_op_settings_edit},
    {"POST", "/v1/keys", ACCESS_OPERATOR, NULL, ogl_op_key_create},
    {"DELETE", "/v1/keys/", ACCESS_OPERATOR, NULL, ogl_op_key_withdraw},
    {"GET", "/v1/audit", ACCESS_OPERATOR, NULL, ogl_op_audit},
    {"GET", "/v1/hosts", ACCESS_OPERATOR, NULL, ogl_op_hosts},
    {"GET", "/v1/members", ACCESS_OPERATOR, NULL, ogl_op_members},
    {"GET", "/v1/status", ACCESS_OPERATOR, NULL, ogl_op_status},
};

static bool
path_matches(const struct call_row *row, const char *path, const char **arg)
{
	size_t len = strlen(row->path);

	*arg = "";
	if (row->path[len - 1] != '/')
		return strcmp(path, row->path) == 0;
	if (strncmp(path, row->path, len) != 0 || path[len] == '\0' ||
	    strchr(path + len, '/') != NULL)
		return false;
	*arg = path + len;
	return true;
}

/* Returns the row of a call, or NULL.  In that case *other_method says whether
 * the path is known with another method. */
static const struct call_row *
find_row(struct ogl_str method, const char *path, const char **arg,
    bool *other_method)
{
	*other_method = false;
	for (size_t i = 0; i < G_N_ELEMENTS(call_table); i++) {
		const struct call_row *row = &call_table[i];

		if (!path_matches(row, path, arg))
			continue;
		if (ogl_str_eq(method, ogl_str(row->method)))
			return row;
		*other_method = true;
	}
	return NULL;
}

/* Whether this is the first operator's key, whose hash is in the node's
 * configuration and not in the settings. */
static bool
is_first_operator(const struct ogl_node *n, struct ogl_str key)
{
	char hex[65];

	return n->cfg.operator_hash[0] != '\0' && ogl_key_hash(key, hex) &&
	       g_ascii_strcasecmp(hex, n->cfg.operator_hash) == 0;
}

/* Checks the key and stores its team, "" for an operator.  Replies and returns
 * false if the call is refused. */
static bool
check_key(struct ogl_node *n, const struct ogl_event *ev, enum access access,
    char team[TEAM_MAX_BYTES])
{
	struct ogl_key_view view = {0};
	bool op = is_first_operator(n, ev->u.call.key);

	team[0] = '\0';
	if (!op) {
		ogl_settings_lookup_key(n->settings, ev->u.call.key, &view);
		op = view.known && view.is_operator;
	}
	if (!op && !view.known) {
		n->counters.denied++;
		reply_error(n, ev->token, 401, OGL_NOT_RUN, 0,
		    "the key is unknown or withdrawn");
		return false;
	}
	if ((access == ACCESS_OPERATOR && !op) ||
	    (access == ACCESS_TEAM && op)) {
		n->counters.denied++;
		reply_error(n, ev->token, 403, OGL_NOT_RUN, 0,
		    access == ACCESS_TEAM ? "this needs a team's key"
					  : "this needs an operator's key");
		return false;
	}
	if (!op)
		g_strlcpy(team, view.team, TEAM_MAX_BYTES);
	return true;
}

/* Checks the id in the header.  Replies and returns false if the call is
 * refused. */
static bool
check_id(struct ogl_node *n, const struct ogl_event *ev)
{
	struct ogl_faults *f;
	char *id;

	if (id_is_valid(ev->u.call.request_id))
		return true;
	f = ogl_faults_new();
	id = ogl_str_dup(ev->u.call.request_id);
	ogl_faults_add(f, "Idempotency-Key", id, ID_ALLOWED);
	n->counters.bad_input++;
	reply_text(n, ev->token, 422, OGL_NOT_RUN, 0,
	    ogl_error_text("the request id is not valid", OGL_NOT_RUN, 0, f));
	g_free(id);
	ogl_faults_free(f);
	return false;
}

static void
answer_here(struct ogl_node *n, const struct ogl_event *ev,
    const struct call_row *row, const char *path, const char *arg)
{
	struct call *c = call_new(n, ev, "", path);
	struct ogl_op_reply r = {.verdict = OGL_RAN};

	c->kind = CALL_LOCAL;
	row->op(n, ev, arg, c->id, &r);
	if (r.status == 0)
		return;
	reply_text(n, c->token, r.status, r.verdict, r.retry_after_ms, r.body);
	call_done(n, c);
}

void
ogl_calls_handle(struct ogl_node *n, const struct ogl_event *ev)
{
	char *path = ogl_str_dup(ev->u.call.path);
	char *query = strchr(path, '?');
	const struct call_row *row;
	char team[TEAM_MAX_BYTES];
	const char *arg;
	bool other_method;

	n->counters.calls++;
	if (query != NULL)
		*query = '\0';
	row = find_row(ev->u.call.method, path, &arg, &other_method);
	if (row == NULL) {
		n->counters.bad_input++;
		reply_error(n, ev->token, other_method ? 405 : 404, OGL_NOT_RUN,
		    0,
		    other_method ? "the path has no such method"
				 : "unknown path");
		goto out;
	}
	if (n->stopping) {
		n->counters.refused++;
		reply_error(n, ev->token, 503, OGL_NOT_RUN, STOP_RETRY_MS,
		    "this node is shutting down");
		goto out;
	}
	if (ogl_node_settings_stale(n, n->now)) {
		n->counters.stale_refused++;
		reply_error(n, ev->token, 503, OGL_NOT_RUN, STALE_RETRY_MS,
		    "the settings can't be confirmed, so no key counts");
		goto out;
	}
	if (!check_key(n, ev, row->access, team) || !check_id(n, ev))
		goto out;
	if (row->fn != NULL)
		row->fn(n, ev, team, path, arg);
	else
		answer_here(n, ev, row, path, arg);
out:
	g_free(path);
}

void
ogl_calls_edit_done(
    struct ogl_node *n, uint64_t waiter, uint64_t version, const GError *error)
{
	struct call *c = g_hash_table_lookup(n->calls->open_calls, &waiter);
	char *key = ogl_op_take_key_text(n, waiter);

	if (c == NULL) {
		g_free(key);
		return;
	}
	if (error != NULL)
		call_error(n, c, error->code == OGL_ERROR_CONFLICT ? 409 : 422,
		    OGL_NOT_RUN, 0, error->message);
	else {
		reply_text(n, c->token, key != NULL ? 201 : 200, OGL_RAN, 0,
		    key != NULL
			? g_strdup(key)
			: g_strdup_printf(
			      "{\"version\":%" G_GUINT64_FORMAT "}", version));
		call_done(n, c);
	}
	g_free(key);
}

void
ogl_calls_caller_gone(struct ogl_node *n, uint64_t token)
{
	struct call *c = g_hash_table_lookup(n->calls->by_token, &token);

	if (c == NULL)
		return;
	if (c->kind == CALL_REQUEST)
		ogl_reqs_caller_gone(n->reqs, c->id);
	if (c->kind == CALL_SHARD)
		ogl_shard_waiter_gone(n->shards[c->shard], c->id);
	call_done(n, c);
}

/* ---- ticks ------------------------------------------------------------ */

static void
call_timeout(struct ogl_node *n, struct call *c)
{
	if (c->kind == CALL_GATHER)
		finish_gather(n, c);
	else if (c->kind == CALL_SHARD && c->unanswered == 0)
		call_error(n, c, 503, OGL_NOT_RUN, 1000,
		    "nobody owns the shard it belongs to");
	else
		call_error(n, c, 504, OGL_MAY_HAVE_RUN, 1000,
		    "no answer in time; ask again under the same id");
}

static void
call_tick(struct ogl_node *n, struct call *c)
{
	if (c->kind == CALL_REQUEST)
		return; /* the requests module checks its deadline */
	if (n->now >= c->deadline) {
		call_timeout(n, c);
		return;
	}
	if (n->now < c->next_send)
		return;
	if (c->kind == CALL_SHARD)
		send_to_shard(n, c);
	else if (c->kind == CALL_GATHER)
		send_to_all_shards(n, c);
}

static gboolean
remote_call_expired(gpointer key, gpointer value, gpointer now)
{
	(void)key;
	return ((struct remote_call *)value)->expires_at < *(ogl_time *)now;
}

void
ogl_calls_tick(struct ogl_node *n)
{
	struct ogl_calls *cs = n->calls;
	GHashTableIter it;
	GPtrArray *due;
	void *v;

	if (n->now < cs->next_tick)
		return;
	cs->next_tick = n->now + TICK_MS * OGL_MS;
	due = g_ptr_array_new();
	g_hash_table_iter_init(&it, cs->open_calls);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct call *c = v;

		if (n->now >= c->next_send || n->now >= c->deadline)
			g_ptr_array_add(due, c);
	}
	for (guint i = 0; i < due->len; i++)
		call_tick(n, g_ptr_array_index(due, i));
	g_ptr_array_free(due, TRUE);
	g_hash_table_foreach_remove(
	    cs->remote_calls, remote_call_expired, &n->now);
}

ogl_time
ogl_calls_next(const struct ogl_node *n)
{
	return g_hash_table_size(n->calls->open_calls) == 0
		   ? OGL_NEVER
		   : n->calls->next_tick;
}
