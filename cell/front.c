/*
 * The front end of a node: checks the calls of callers, passes them on to the
 * owners of the shards and returns the answers.
 *
 * A call that the configuration alone decides is answered here.  Any other call
 * is passed on to a shard's owner and is in one of two states:
 *
 *	WAITING  not sent: no owner is known, or too many calls to it are in
 *	         flight.  Kept for OWNER_TIMEOUT, then refused as not accepted,
 *	         which is certain since no owner was sent it.
 *	SENT     the owner has it or may have it.  Repeated while no answer
 *	         comes, to the shard's current owner.  All repeats have the
 *	         job's id, so only one job is accepted.
 *
 * A call given up after it was sent may have been accepted, so its caller is
 * told that the outcome is unknown.
 *
 * A submission goes to the shard where the job belongs.  Other calls hold only
 * the id, and a job may be placed by the rack of its data instead.  They go to
 * the shard that the id points to and, if it has no such job, to the other
 * shards in turn.  A count of waiting jobs is asked of all shards and summed.
 *
 * front_settings.c reads the settings.
 */

#include <string.h>

#include "account.h"
#include "front_impl.h"
#include "job.h"

/* A shard counts as used for this long after a call for it. */
#define SHARD_USE_TIME (2 * OGL_SEC)
/* How long a call waits to be sent: until an owner is known, and until the
 * owner's window (window.h) allows another call. */
#define OWNER_TIMEOUT (900 * OGL_MS)
/* Time without an answer until the first repeat; it doubles with each of the
 * next REPEAT_DOUBLINGS_MAX.  An owner answers in about 15 ms, but store and
 * network may delay the answer. */
#define REPEAT_DELAY (450 * OGL_MS)
#define REPEAT_DOUBLINGS_MAX 2
/* A call is given up this long before its caller's deadline, so that the answer
 * arrives in time. */
#define REPLY_MARGIN (150 * OGL_MS)
#define CALL_BUDGET_DEFAULT_MS 3000
/* Callers that the node refuses itself are told a time between this and twice
 * as much, by the job's id: all of them at once would be refused again. */
#define CALLER_RETRY_MS 600

struct pending_call {
	uint64_t token;
	Ogl__CellCall call;
	Ogl__CellJob *job; /* owned; call.job points at it or is NULL */
	char *id;
	char *team;
	char *queue;
	uint32_t shard;       /* shard that is asked now */
	uint32_t shards_left; /* shards to ask after it */
	uint32_t jobs_found;  /* waiting jobs in the shards asked before */
	bool sent;
	bool in_window;          /* counted in the window of its shard */
	uint64_t admitted_epoch; /* whose owner asked for the job, 0 none */
	uint64_t sent_epoch; /* highest epoch of the shard it was sent under */
	bool refused;        /* the last owner that it was sent to refused it */
	ogl_time started_at;
	unsigned repeats; /* times it was sent again to the same owner */
	ogl_time repeat_at;
	ogl_time deadline;
};

static void
pending_call_free(void *v)
{
	struct pending_call *p = v;

	if (p->job != NULL)
		ogl__cell_job__free_unpacked(p->job, NULL);
	g_free(p->id);
	g_free(p->team);
	g_free(p->queue);
	g_free(p);
}

struct cell_front *
cell_front_init(const struct cell_ops *ops, const struct cell_limits *limits,
    const struct cell_front_events *events)
{
	struct cell_front *f = g_new0(struct cell_front, 1);

	f->ops = ops;
	f->limits = limits;
	f->events = *events;
	f->calls = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, pending_call_free);
	f->record = g_bytes_new(NULL, 0);
	f->zones = cell_zones_init();
	f->listing.zones = g_ptr_array_new_with_free_func(g_free);
	f->last_read_ok = CELL_LONG_AGO;
	f->fresh_as_of = CELL_LONG_AGO;
	f->read_as_of = CELL_LONG_AGO;
	return f;
}

void
cell_front_end(struct cell_front *f)
{
	uint32_t i;

	for (i = 0; i < f->shards; i++) {
		g_free(f->owners[i].addr);
		cell_hints_clear(&f->owners[i].hints);
	}
	g_hash_table_unref(f->calls);
	cell_config_unref(f->config);
	g_bytes_unref(f->record);
	cell_zones_end(f->zones);
	g_ptr_array_unref(f->listing.zones);
	g_free(f->listing.after);
	g_free(f);
}

size_t
cell_front_open_calls(const struct cell_front *f)
{
	return g_hash_table_size(f->calls);
}

bool
cell_front_uses(const struct cell_front *f, uint32_t shard, ogl_time now)
{
	return f->owners[shard].used_at != 0 &&
	       now - f->owners[shard].used_at < SHARD_USE_TIME;
}

/* ---- answers ---------------------------------------------------------- */

static const struct shard_owner *
owner_of(const struct cell_front *f, const struct pending_call *p)
{
	return &f->owners[p->shard];
}

static void
log_call(struct cell_front *f, const struct pending_call *p, const char *event,
    const char *details)
{
	const char *owner = owner_of(f, p)->addr;
	char text[280];

	g_snprintf(text, sizeof text,
	    "kind=%d team=%s version=%" G_GUINT64_FORMAT
	    " shard=%u owner=%s sent=%d %s",
	    (int)p->call.kind, p->team,
	    f->config != NULL ? cell_config_version(f->config) : 0, p->shard,
	    owner != NULL ? owner : "none", p->sent, details);
	/* Only a submission tells when its job began. */
	cell_log_job(f->ops, "front", event, p->id,
	    p->call.kind == OGL__CELL_CALL_KIND__cell_submit ? p->started_at
							     : OGL_NEVER,
	    text);
}

static uint32_t
retry_ms_for(struct ogl_str id)
{
	guint h = 5381;
	size_t i;

	for (i = 0; i < id.n; i++)
		h = h * 33 + (unsigned char)id.p[i];
	return CALLER_RETRY_MS + h % CALLER_RETRY_MS;
}

static void
answer(struct cell_front *f, uint64_t token, enum cell_status status,
    uint32_t retry_ms, const char *why)
{
	struct cell_answer a = {
	    .status = status, .retry_ms = retry_ms, .why = why};

	f->ops->count(
	    f->ops->ctx, status == CELL_OK ? "calls_ok" : "calls_refused", 1);
	f->ops->reply(f->ops->ctx, token, &a);
}

static void
refuse(struct cell_front *f, const struct cell_request *r, uint64_t token,
    enum cell_status status, uint32_t retry_ms, const char *why)
{
	char text[200];

	g_snprintf(text, sizeof text,
	    "path=%.*s why=\"%s\" version=%" G_GUINT64_FORMAT,
	    (int)MIN(r->path.n, 80), r->path.p, why,
	    f->config != NULL ? cell_config_version(f->config) : 0);
	f->ops->log(f->ops->ctx, "front", "call_refused", text);
	answer(f, token, status, retry_ms, why);
}

/* ---- sending calls to owners ------------------------------------------ */

/* Whether the owner is asked, with the id alone, before it is sent the job. */
static bool
asks_first(
    const struct shard_owner *o, const struct pending_call *p, ogl_time now)
{
	if (o->asks_first || p->job == NULL)
		return true;
	return !cell_job_def_open_ended(p->job) &&
	       cell_hints_apply(&o->hints, o->epoch, p->queue, p->team, now);
}

static void
send_call(struct cell_front *f, struct pending_call *p, ogl_time now)
{
	const struct shard_owner *o = owner_of(f, p);

	p->sent = true;
	p->repeats = p->call.epoch == o->epoch ? p->repeats + 1 : 0;
	p->sent_epoch = MAX(p->sent_epoch, o->epoch);
	p->call.epoch = o->epoch;
	p->call.admitted = p->admitted_epoch == o->epoch;
	p->call.job =
	    p->call.admitted || !asks_first(o, p, now) ? p->job : NULL;
	p->refused = false;
	p->repeat_at =
	    now + (REPEAT_DELAY << MIN(p->repeats, REPEAT_DOUBLINGS_MAX));
	p->call.budget_ms = (uint32_t)((p->deadline - now) / OGL_MS);
	f->events.send(f->events.arg, p->shard, o->addr, &p->call);
}

static struct cell_window *
window_of(struct cell_front *f, const struct pending_call *p)
{
	return &f->owners[p->shard].window;
}

/* Sends the call unless no owner is known or too many calls to it are in
 * flight. */
static void
try_send_call(struct cell_front *f, struct pending_call *p, ogl_time now)
{
	struct cell_window *w = window_of(f, p);

	f->owners[p->shard].used_at = now;
	if (owner_of(f, p)->addr == NULL)
		return;
	if (!p->in_window) {
		if (!cell_window_allows(w, now))
			return;
		cell_window_sent(w);
		p->in_window = true;
	}
	send_call(f, p, now);
}

/* Stops counting the call as in flight to the owner of its shard. */
static void
leave_window(struct cell_front *f, struct pending_call *p)
{
	if (p->in_window)
		cell_window_ended(window_of(f, p));
	p->in_window = false;
}

/* Adjusts the window by an answer of the shard's present owner. */
static void
update_window(struct cell_front *f, struct pending_call *p,
    const Ogl__CellReply *r, ogl_time now)
{
	leave_window(f, p);
	if (r->epoch != owner_of(f, p)->epoch)
		return;
	if (r->outcome == OGL__CELL_OUTCOME__cell_not_owner)
		cell_window_refused(window_of(f, p), now);
	else
		cell_window_answered(window_of(f, p));
}

static uint32_t
shard_of_call(const struct cell_front *f, const struct pending_call *p)
{
	return f->shards > 0 ? cell_shard_of_job(p->id, p->job, f->shards) : 0;
}

/* While the number of shards is not known, a call is kept under shard 0, which
 * has no owner then. */
static void
choose_shard(const struct cell_front *f, struct pending_call *p)
{
	p->shard = shard_of_call(f, p);
	p->shards_left = 0;
	if (f->shards > 0 && p->job == NULL)
		p->shards_left = f->shards - 1;
}

/* Asks the next shard; false when all have been asked. */
static bool
ask_next_shard(struct cell_front *f, struct pending_call *p, ogl_time now)
{
	if (p->shards_left == 0)
		return false;
	p->shards_left--;
	leave_window(f, p);
	p->shard = (p->shard + 1) % f->shards;
	p->sent_epoch = 0;
	p->repeat_at = now;
	try_send_call(f, p, now);
	return true;
}

void
cell_front_set_shards(struct cell_front *f, uint32_t shards)
{
	GHashTableIter it;
	gpointer v;

	f->shards = shards;
	g_hash_table_iter_init(&it, f->calls);
	while (g_hash_table_iter_next(&it, NULL, &v))
		choose_shard(f, v);
}

void
cell_front_set_owner(struct cell_front *f, uint32_t shard, const char *addr,
    uint64_t epoch, ogl_time now)
{
	struct shard_owner *o = &f->owners[shard];
	GHashTableIter it;
	gpointer v;

	g_free(o->addr);
	o->addr = g_strdup(addr);
	cell_window_reset(&o->window);
	o->epoch = epoch;
	g_hash_table_iter_init(&it, f->calls);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct pending_call *p = v;

		if (p->shard != shard)
			continue;
		p->in_window = false;
		p->repeat_at = now;
	}
}

static Ogl__CellCallKind
call_kind(enum cell_method m)
{
	switch (m) {
	case CELL_POST:
		return OGL__CELL_CALL_KIND__cell_submit;
	case CELL_DELETE:
		return OGL__CELL_CALL_KIND__cell_cancel;
	default:
		return OGL__CELL_CALL_KIND__cell_state;
	}
}

static Ogl__CellJob *
read_job(struct cell_front *f, const struct cell_queue *q, const char *team,
    const char *id, const struct cell_request *r, const char **why)
{
	Ogl__CellJob *j = f->ops->decode_job(f->ops->backend_ctx, r->body, why);

	if (j == NULL)
		return NULL;
	if (!cell_job_def_valid(j, why)) {
		ogl__cell_job__free_unpacked(j, NULL);
		return NULL;
	}
	/* libprotobuf-c frees these with the C library's free. */
	j->id = strdup(id);
	j->team = strdup(team);
	j->queue = strdup(q->name);
	j->service = strdup(q->service);
	j->terms = malloc(sizeof *j->terms);
	ogl__cell_terms__init(j->terms);
	cell_queue_save_terms(q, j->terms);
	return j;
}

static void
begin_call(struct cell_front *f, uint64_t token, const struct cell_request *r,
    const struct cell_queue *q, const char *team, struct ogl_str rest,
    ogl_time now)
{
	uint32_t budget_ms =
	    r->budget_ms > 0 ? r->budget_ms : CALL_BUDGET_DEFAULT_MS;
	struct pending_call *p;
	const char *why = "malformed body";
	Ogl__CellJob *job = NULL;
	char *id;

	/*
	 * A caller's last attempt may leave less time than the answer takes.
	 * If the call were sent, it would be given up at once while the owner
	 * might still accept the job: its caller would be told that the outcome
	 * is unknown, and could not retry.  If it is not sent, the job
	 * certainly does not run.
	 */
	if (budget_ms * OGL_MS <= REPLY_MARGIN) {
		refuse(f, r, token, CELL_BUSY, retry_ms_for(rest),
		    "no time is left");
		return;
	}
	id = ogl_str_dup(rest);
	if (r->method == CELL_POST) {
		job = read_job(f, q, team, id, r, &why);
		if (job == NULL) {
			refuse(f, r, token, CELL_BAD_REQUEST, 0, why);
			g_free(id);
			return;
		}
	}
	p = g_new0(struct pending_call, 1);
	p->token = token;
	p->id = id;
	p->team = g_strdup(team);
	p->queue = g_strdup(q->name);
	p->job = job;
	p->started_at = now;
	p->deadline = now + budget_ms * OGL_MS - REPLY_MARGIN;
	ogl__cell_call__init(&p->call);
	p->call.token = token;
	p->call.kind = rest.n == 0 ? OGL__CELL_CALL_KIND__cell_pending
				   : call_kind(r->method);
	p->call.id = p->id;
	p->call.team = p->team;
	p->call.queue = p->queue;
	p->call.job = job;
	g_hash_table_insert(f->calls, &p->token, p);
	choose_shard(f, p);
	p->repeat_at = now;
	try_send_call(f, p, now);
}

/*
 * The order of the checks matters: a node whose configuration may be out of
 * date says so before it judges a key, and a request that matches no queue is
 * refused for that whatever its key.
 */
void
cell_front_call(struct cell_front *f, uint64_t token,
    const struct cell_request *r, ogl_time now)
{
	const struct cell_queue *q;
	const struct cell_team *team;
	struct ogl_str rest = {"", 0};

	if (f->config == NULL) {
		refuse(f, r, token, CELL_BUSY, retry_ms_for(r->path),
		    "no configuration yet");
		return;
	}
	if (!cell_front_fresh(f, now)) {
		refuse(f, r, token, CELL_BUSY, retry_ms_for(r->path),
		    "the configuration may be out of date");
		return;
	}
	q = cell_config_route(f->config, r->host, r->path, &rest);
	if (q == NULL) {
		refuse(f, r, token, CELL_NO_QUEUE, 0, "no such queue");
		return;
	}
	team = cell_config_team_of_key(f->config, r->key);
	if (team == NULL && !q->is_public) {
		refuse(f, r, token, CELL_NO_KEY, 0, "unknown key");
		return;
	}
	if (r->method == CELL_OTHER_METHOD ||
	    (rest.n == 0 && r->method != CELL_GET)) {
		refuse(f, r, token, CELL_BAD_METHOD, 0, "method not allowed");
		return;
	}
	if (rest.n > 0 && !cell_id_valid(rest)) {
		refuse(f, r, token,
		    r->method == CELL_POST ? CELL_BAD_REQUEST : CELL_NO_JOB, 0,
		    "a job's id has 16 hexadecimal digits");
		return;
	}
	begin_call(f, token, r, q, team != NULL ? team->name : "", rest, now);
}

void
cell_front_caller_gone(struct cell_front *f, uint64_t token)
{
	struct pending_call *p = g_hash_table_lookup(f->calls, &token);

	if (p != NULL)
		leave_window(f, p);
	g_hash_table_remove(f->calls, &token);
}

/* ---- the owner's answers ---------------------------------------------- */

static void
answer_ok(struct cell_front *f, struct pending_call *p, const Ogl__CellReply *r)
{
	struct cell_answer a = {.status = CELL_OK};

	a.has_state = p->call.kind == OGL__CELL_CALL_KIND__cell_state;
	a.state = r->state;
	a.has_pending = p->call.kind == OGL__CELL_CALL_KIND__cell_pending;
	a.pending = p->jobs_found + r->pending;
	f->ops->count(f->ops->ctx, "calls_ok", 1);
	f->ops->reply(f->ops->ctx, p->token, &a);
}

/* Asks another shard if the answer is not final; returns whether it did. */
static bool
ask_another_shard(struct cell_front *f, struct pending_call *p,
    const Ogl__CellReply *r, ogl_time now)
{
	if (r->outcome == OGL__CELL_OUTCOME__cell_absent)
		return ask_next_shard(f, p, now);
	if (r->outcome != OGL__CELL_OUTCOME__cell_ok ||
	    p->call.kind != OGL__CELL_CALL_KIND__cell_pending ||
	    p->shards_left == 0)
		return false;
	p->jobs_found += r->pending;
	return ask_next_shard(f, p, now);
}

void
cell_front_delay(
    struct cell_front *f, uint32_t shard, ogl_time delay, ogl_time now)
{
	cell_window_round_trip(&f->owners[shard].window, delay, now);
}

void
cell_front_set_asks_first(struct cell_front *f, uint32_t shard, bool asks_first)
{
	f->owners[shard].asks_first = asks_first;
}

void
cell_front_learn_refusals(struct cell_front *f, uint32_t shard,
    const Ogl__CellPong *pong, ogl_time now)
{
	cell_hints_learn(&f->owners[shard].hints, pong, now);
}

/*
 * Whether the job that was refused is certainly not accepted; if not, the call
 * is repeated.
 *
 * Each copy of the call is valid for the owner of one epoch.  What earlier
 * owners had not stored when this owner's fence was set is never stored, so a
 * refusal under the highest epoch asked is final; one under an earlier epoch is
 * not.
 */
static bool
refusal_final(struct cell_front *f, struct pending_call *p,
    const Ogl__CellReply *r, ogl_time now)
{
	const struct shard_owner *o = owner_of(f, p);

	if (r->epoch < p->sent_epoch)
		return false;
	if (o->addr != NULL && o->epoch == r->epoch)
		return true;
	/* The shard has a new owner or none: the next one may still accept the
	 * job. */
	p->refused = true;
	p->repeat_at = now + RETRY_DELAY;
	return false;
}

void
cell_front_reply(
    struct cell_front *f, uint32_t shard, const Ogl__CellReply *r, ogl_time now)
{
	struct pending_call *p = g_hash_table_lookup(f->calls, &r->token);

	/* A shard asked earlier may answer a repeated call once more. */
	if (p == NULL || p->shard != shard)
		return;
	update_window(f, p, r, now);
	if (ask_another_shard(f, p, r, now))
		return;
	switch (r->outcome) {
	case OGL__CELL_OUTCOME__cell_not_owner:
		/* The owner may have received the job and lost the shard before
		 * the job was stored, so its next owner is asked. */
		p->repeat_at = now + RETRY_DELAY;
		return;
	case OGL__CELL_OUTCOME__cell_send_job:
		p->admitted_epoch = r->epoch;
		p->repeat_at = now;
		try_send_call(f, p, now);
		return;
	case OGL__CELL_OUTCOME__cell_ok:
		if (p->call.kind != OGL__CELL_CALL_KIND__cell_state)
			log_call(f, p, "call_answered", "outcome=ok");
		answer_ok(f, p, r);
		break;
	case OGL__CELL_OUTCOME__cell_absent:
		if (p->call.kind == OGL__CELL_CALL_KIND__cell_submit) {
			if (!refusal_final(f, p, r, now))
				return;
			log_call(f, p, "call_answered", "outcome=id_taken");
			answer(
			    f, p->token, CELL_ID_TAKEN, 0, "the id is in use");
			break;
		}
		log_call(f, p, "call_answered", "outcome=no_such_job");
		answer(f, p->token, CELL_NO_JOB, 0, "no such job");
		break;
	case OGL__CELL_OUTCOME__cell_over:
		log_call(f, p, "call_answered", "outcome=over_rate");
		answer(
		    f, p->token, CELL_OVER_RATE, r->retry_ms, "over the rate");
		break;
	case OGL__CELL_OUTCOME__cell_busy:
		if (!refusal_final(f, p, r, now))
			return;
		log_call(f, p, "call_answered", "outcome=busy");
		answer(f, p->token, CELL_BUSY, r->retry_ms,
		    "the cell takes no more jobs now");
		break;
	default:
		log_call(f, p, "call_answered", "outcome=unsure");
		answer(f, p->token, CELL_UNSURE, 0, "may have been accepted");
		break;
	}
	g_hash_table_remove(f->calls, &p->token);
}

/* ---- periodic work ---------------------------------------------------- */

/* Gives the call up if it has waited too long; returns whether it did, after
 * having answered it. */
static bool
give_up(struct cell_front *f, struct pending_call *p, ogl_time now)
{
	bool may_be_accepted = p->sent && !p->refused;
	bool no_owner = owner_of(f, p)->addr == NULL;

	if (!may_be_accepted && no_owner &&
	    now - p->started_at > OWNER_TIMEOUT) {
		log_call(f, p, "call_given_up", "why=no_owner");
		answer(f, p->token, CELL_BUSY, retry_ms_for(ogl_str(p->id)),
		    "no owner is known");
		return true;
	}
	if (!p->sent && !no_owner && now - p->started_at > OWNER_TIMEOUT) {
		log_call(f, p, "call_given_up", "why=owner_behind");
		answer(f, p->token, CELL_BUSY, retry_ms_for(ogl_str(p->id)),
		    "the owner is behind with its calls");
		return true;
	}
	if (now < p->deadline)
		return false;
	log_call(f, p, "call_given_up", "why=deadline");
	answer(f, p->token, may_be_accepted ? CELL_UNSURE : CELL_BUSY,
	    retry_ms_for(ogl_str(p->id)), "no answer in time");
	return true;
}

static void
step_calls(struct cell_front *f, ogl_time now)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, f->calls);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct pending_call *p = v;

		if (give_up(f, p, now)) {
			leave_window(f, p);
			g_hash_table_iter_remove(&it);
			continue;
		}
		if (now >= p->repeat_at)
			try_send_call(f, p, now);
	}
}

void
cell_front_step(struct cell_front *f, ogl_time now)
{
	bool fresh = cell_front_fresh(f, now);

	cell_front_read_settings(f, now);
	step_calls(f, now);
	if (f->config != NULL && fresh == f->stale_logged) {
		f->stale_logged = !fresh;
		f->ops->log(f->ops->ctx, "front",
		    fresh ? "store_regained" : "store_lost", "");
	}
}
