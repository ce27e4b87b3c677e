/*
 * Sends questions to the advice service through the nodes and keeps the
 * approvals (tickets) from its answers.
 *
 * The service handles one question at a time from each node.  Each node has a
 * lane, which records until when the service is expected to be busy with that
 * node's questions.  A question takes the policy's decide_ms, and worker_ms for
 * each worker named in it.
 */

#include <math.h>
#include <string.h>

#include "ablate.h"
#include "account.h"
#include "advice.h"
#include "fleet.h"

/* Questions go only through nodes that were heard from within this time. */
#define NODE_HEARD_MAX_AGE (1200 * OGL_MS)
/* The next question of a lane is sent at least this long before the lane is
 * free, to hide the time it takes on the network. */
#define LANE_SEND_AHEAD_MIN (12 * OGL_MS)
/* The service refuses a question while 32 are waiting. */
#define LANE_PENDING_MAX 16
/* Only questions of rank 0, the highest priority, may use some of the lanes.
 * They are short and would otherwise wait for the long questions of other ranks.
 * The number of these lanes follows what rank 0 has used lately, as its demand
 * may grow by this factor within seconds. */
#define RANK0_GROWTH 3.0
#define RANK0_LANES_MIN 2.0
#define RANK0_FRACTION_MAX 0.3
/* Time constant of the average of what rank 0 uses. */
#define RANK0_USE_TIME (2 * OGL_SEC)
/* Time allowed for question and answer on the network, in addition to the
 * service's time. */
#define NETWORK_MARGIN_MS 700
/* A ticket is not used within this time before its expiry, because it must
 * still be valid when the start order reaches the worker. */
#define TICKET_EXPIRY_MARGIN (120 * OGL_MS)
/* The lower bits of a token count the owner's questions, the upper ones contain
 * its epoch.  This is the number of lower bits; no owner asks 2^32 questions in
 * one epoch. */
#define TOKEN_QUESTION_BITS 32
/* After a question that failed or got no answer, the lane is not used for this
 * time. */
#define LANE_PAUSE (1500 * OGL_MS)

/* Weight, in workers, of the fraction assumed while little is known. */
#define SHARE_PRIOR_WORKERS 20.0
#define SHARE_PRIOR 0.5
/* Older answers count less once this many workers were asked about. */
#define SHARE_WORKERS_MAX 2000.0

struct lane {
	char *addr;       /* address of the node */
	unsigned pending; /* questions without an answer */
	ogl_time heard_at;
	ogl_time busy_until; /* expected end of the service's work */
	ogl_time paused_until;
};

/* A worker that a question names, as it was when the question was sent. */
struct named_worker {
	char *id;
	uint32_t appearance;
	uint64_t incarnation;
};

struct question {
	uint64_t token;
	char id[CELL_ID_LEN + 1];
	uint32_t occurrence;
	uint32_t step;
	GArray *workers; /* struct named_worker */
	bool first;      /* the stage's first question */
	char *lane_addr; /* address of the node it was sent to */
	ogl_time sent_at;
	ogl_time busy_time; /* expected time of the service for it */
	ogl_time deadline;
	ogl_time accepted; /* when the job was accepted */
};

/* How many workers the policy of a queue was asked about and approved. */
struct share {
	double asked;
	double approved;
};

struct cell_advice {
	const struct cell_ops *ops;
	struct cell_advice_events events;
	GHashTable *lanes;     /* addr -> struct lane */
	GHashTable *questions; /* token -> struct question */
	GHashTable *shares;    /* queue -> struct share */
	uint64_t last_token;
	ogl_time send_ahead; /* see cell_advice_set_send_ahead */
	double rank0_lanes;  /* lanes that rank 0 has used on average */
	ogl_time rank0_lanes_at;
};

static void
lane_free(void *p)
{
	struct lane *l = p;

	g_free(l->addr);
	g_free(l);
}

static void
named_worker_clear(void *p)
{
	g_free(((struct named_worker *)p)->id);
}

static void
question_free(void *p)
{
	struct question *q = p;

	g_array_unref(q->workers);
	g_free(q->lane_addr);
	g_free(q);
}

struct cell_advice *
cell_advice_init(
    const struct cell_ops *ops, const struct cell_advice_events *events)
{
	struct cell_advice *a = g_new0(struct cell_advice, 1);

	a->ops = ops;
	a->events = *events;
	a->send_ahead = LANE_SEND_AHEAD_MIN;
	a->lanes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, lane_free);
	a->questions = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, question_free);
	a->shares =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return a;
}

void
cell_advice_end(struct cell_advice *a)
{
	g_hash_table_unref(a->questions);
	g_hash_table_unref(a->lanes);
	g_hash_table_unref(a->shares);
	g_free(a);
}

void
cell_advice_clear(struct cell_advice *a)
{
	g_hash_table_remove_all(a->questions);
	g_hash_table_remove_all(a->lanes);
}

void
cell_advice_open(struct cell_advice *a, uint64_t epoch)
{
	cell_advice_clear(a);
	a->last_token = epoch << TOKEN_QUESTION_BITS;
}

void
cell_advice_set_send_ahead(struct cell_advice *a, ogl_time ahead)
{
	a->send_ahead = MAX(ahead, LANE_SEND_AHEAD_MIN);
}

void
cell_advice_update_node(struct cell_advice *a, const char *addr, ogl_time now)
{
	struct lane *l = g_hash_table_lookup(a->lanes, addr);

	if (l == NULL) {
		l = g_new0(struct lane, 1);
		l->addr = g_strdup(addr);
		g_hash_table_insert(a->lanes, l->addr, l);
	}
	l->heard_at = now;
}

void
cell_advice_remove_node(struct cell_advice *a, const char *addr)
{
	g_hash_table_remove(a->lanes, addr);
}

/* Whether the lane's node has been heard from lately. */
static bool
is_live(const struct lane *l, ogl_time now)
{
	return now - l->heard_at <= NODE_HEARD_MAX_AGE;
}

/* The next lane whose node is live; NULL if there are no more. */
static struct lane *
next_live_lane(GHashTableIter *it, ogl_time now)
{
	gpointer p;

	while (g_hash_table_iter_next(it, NULL, &p)) {
		if (is_live(p, now))
			return p;
	}
	return NULL;
}

static double
decayed_rank0_lanes(const struct cell_advice *a, ogl_time now)
{
	return a->rank0_lanes *
	       exp(-(double)(now - a->rank0_lanes_at) / (double)RANK0_USE_TIME);
}

static void
count_rank0_use(struct cell_advice *a, ogl_time busy_time, ogl_time now)
{
	a->rank0_lanes = decayed_rank0_lanes(a, now) +
			 (double)busy_time / (double)RANK0_USE_TIME;
	a->rank0_lanes_at = now;
}

/* Lanes that are kept free for rank 0. */
static double
rank0_lanes(const struct cell_advice *a, unsigned lanes, ogl_time now)
{
	double wanted = RANK0_GROWTH * decayed_rank0_lanes(a, now);

	return MIN(MAX(wanted, RANK0_LANES_MIN), lanes * RANK0_FRACTION_MAX);
}

/*
 * Returns the idle lane that becomes free first or, if none may be used, the
 * busy one that does so within send_ahead; NULL if there is none.
 *
 * Questions are not queued in lanes for longer, so that they are asked in the
 * scheduler's order rather than in order of arrival.  Ranks other than 0 leave
 * some of the idle lanes, so that none of their long questions delays rank 0.
 */
static struct lane *
pick_lane(struct cell_advice *a, uint32_t rank, ogl_time now)
{
	struct lane *best_idle = NULL;
	struct lane *best_busy = NULL;
	unsigned lanes = 0;
	unsigned idle = 0;
	GHashTableIter it;
	struct lane *l;

	g_hash_table_iter_init(&it, a->lanes);
	while ((l = next_live_lane(&it, now)) != NULL) {
		bool is_idle = l->busy_until <= now + LANE_SEND_AHEAD_MIN;
		struct lane **best = is_idle ? &best_idle : &best_busy;

		if (now < l->paused_until || l->pending >= LANE_PENDING_MAX)
			continue;
		lanes++;
		idle += is_idle;
		if (*best == NULL || l->busy_until < (*best)->busy_until)
			*best = l;
	}
	if (best_idle != NULL && (rank == 0 || !CELL_USES_LANES ||
				     idle > rank0_lanes(a, lanes, now)))
		return best_idle;
	return best_busy != NULL && best_busy->busy_until <= now + a->send_ahead
		   ? best_busy
		   : NULL;
}

bool
cell_advice_has_free_lane(struct cell_advice *a, uint32_t rank, ogl_time now)
{
	return pick_lane(a, rank, now) != NULL;
}

double
cell_advice_question_ms(const struct cell_policy *p, guint workers)
{
	return p->decide_ms +
	       p->worker_ms * MIN(workers, CELL_ADVICE_WORKERS_MAX);
}

void
cell_advice_add_lanes(
    const struct cell_advice *a, struct ogl_capacity *c, ogl_time now)
{
	const struct lane *l;
	unsigned lanes = 0;
	GHashTableIter it;

	g_hash_table_iter_init(&it, a->lanes);
	while ((l = next_live_lane(&it, now)) != NULL) {
		lanes++;
		ogl_capacity_add_lane(c,
		    MAX(l->busy_until - LANE_SEND_AHEAD_MIN, l->paused_until));
	}
	if (CELL_USES_LANES)
		ogl_capacity_reserve_lanes(c, rank0_lanes(a, lanes, now));
}

static const struct named_worker *
named_worker(const struct question *q, guint i)
{
	return &g_array_index(q->workers, struct named_worker, i);
}

static void
send_question(struct cell_advice *a, const struct question *q)
{
	Ogl__CellAsk ask = OGL__CELL_ASK__INIT;
	char *ids[CELL_ADVICE_WORKERS_MAX];
	char step[64];
	char text[200];
	guint i;

	for (i = 0; i < q->workers->len; i++)
		ids[i] = named_worker(q, i)->id;
	g_snprintf(
	    step, sizeof step, "%s.%u.%u", q->id, q->occurrence, q->step);
	ask.token = q->token;
	ask.step = step;
	ask.workers = ids;
	ask.n_workers = q->workers->len;
	ask.timeout_ms = (uint32_t)((q->deadline - q->sent_at) / OGL_MS);
	a->events.send(a->events.arg, q->lane_addr, &ask);
	a->ops->count(a->ops->ctx, "advice_questions", 1);
	g_snprintf(text, sizeof text,
	    "task=%u.%u first=%d workers=%u node=%s "
	    "answer_ms=%" G_GINT64_FORMAT,
	    q->occurrence, q->step, q->first, q->workers->len, q->lane_addr,
	    (q->deadline - q->sent_at) / OGL_MS - NETWORK_MARGIN_MS);
	cell_log_job(a->ops, "owner", "advice_asked", q->id, q->accepted, text);
}

bool
cell_advice_ask(struct cell_advice *a, struct cell_stage *s,
    const struct cell_policy *p, GPtrArray *workers, uint32_t rank,
    ogl_time now)
{
	struct question *q;
	struct lane *l;
	ogl_time busy_time;
	guint i;

	if (workers->len == 0 || s->asking)
		return false;
	l = pick_lane(a, rank, now);
	if (l == NULL)
		return false;
	q = g_new0(struct question, 1);
	q->token = ++a->last_token;
	memcpy(q->id, s->job->id, sizeof q->id);
	q->accepted = s->job->accepted;
	q->occurrence = s->occurrence;
	q->step = s->step;
	q->first = g_hash_table_size(s->asked) == 0;
	q->workers = g_array_new(FALSE, FALSE, sizeof(struct named_worker));
	g_array_set_clear_func(q->workers, named_worker_clear);
	for (i = 0; i < workers->len && i < CELL_ADVICE_WORKERS_MAX; i++) {
		const struct cell_worker *w = workers->pdata[i];
		struct named_worker named = {
		    g_strdup(w->id), w->appearance, w->incarnation};

		g_array_append_val(q->workers, named);
	}
	busy_time =
	    (ogl_time)(cell_advice_question_ms(p, workers->len) * OGL_MS);
	l->busy_until = MAX(l->busy_until, now) + busy_time;
	l->pending++;
	if (rank == 0)
		count_rank0_use(a, busy_time, now);
	q->lane_addr = g_strdup(l->addr);
	q->sent_at = now;
	q->busy_time = busy_time;
	q->deadline = l->busy_until + NETWORK_MARGIN_MS * OGL_MS;
	s->asking = true;
	s->asked_at = now;
	g_hash_table_insert(a->questions, &q->token, q);
	send_question(a, q);
	return true;
}

/* Stores the ticket as one for the incarnation that the question was about: the
 * worker may have restarted since, and its new incarnation would refuse it. */
static void
store_ticket(struct cell_advice *a, struct cell_stage *s,
    const struct named_worker *named, const Ogl__CellAdvice *m, size_t i,
    ogl_time now)
{
	/* The answer may be up to age_ms old when it arrives. */
	ogl_time expires =
	    now + ((ogl_time)m->valid_ms - (ogl_time)m->age_ms) * OGL_MS -
	    TICKET_EXPIRY_MARGIN;
	const struct cell_worker *w =
	    a->events.worker(a->events.arg, named->id);
	struct cell_approval *approval;

	if (w == NULL)
		return;
	approval = cell_stage_approval(s, w->serial);
	if (approval == NULL) {
		g_array_set_size(s->approvals, s->approvals->len + 1);
		approval = &g_array_index(
		    s->approvals, struct cell_approval, s->approvals->len - 1);
		approval->worker = w->serial;
	}
	g_free(approval->ticket);
	approval->ticket = g_strdup(m->tickets[i]->ticket);
	approval->expires = expires;
	approval->incarnation = named->incarnation;
	approval->received_at = now;
	approval->valid_until = now + (ogl_time)m->valid_ms * OGL_MS;
}

/* The worker of that id as the question named it; NULL if it did not. */
static const struct named_worker *
find_named(const struct question *q, const char *id)
{
	guint i;

	for (i = 0; i < q->workers->len; i++) {
		if (strcmp(named_worker(q, i)->id, id) == 0)
			return named_worker(q, i);
	}
	return NULL;
}

/*
 * Records that the service has answered about the worker, so that it is not
 * asked again.  The service does not approve a worker that is down or not
 * listed, so the answer holds for the worker's present appearance only.
 * Otherwise a stage that may run on no other worker would wait for ever.
 */
static void
mark_asked(struct cell_advice *a, struct cell_stage *s,
    const struct named_worker *named)
{
	const struct cell_worker *w =
	    a->events.worker(a->events.arg, named->id);

	if (w != NULL && w->listed)
		g_hash_table_insert(s->asked, GUINT_TO_POINTER(w->serial),
		    GUINT_TO_POINTER(named->appearance));
}

bool
cell_advice_knows(const struct cell_stage *s, const struct cell_worker *w)
{
	gpointer appearance;

	return g_hash_table_lookup_extended(
		   s->asked, GUINT_TO_POINTER(w->serial), NULL, &appearance) &&
	       GPOINTER_TO_UINT(appearance) == w->appearance;
}

static void
count_answer(
    struct cell_advice *a, const char *queue, size_t asked, size_t approved)
{
	struct share *s = g_hash_table_lookup(a->shares, queue);

	if (s == NULL) {
		s = g_new0(struct share, 1);
		g_hash_table_insert(a->shares, g_strdup(queue), s);
	}
	s->asked += (double)asked;
	s->approved += (double)MIN(approved, asked);
	if (s->asked > SHARE_WORKERS_MAX) {
		s->asked /= 2;
		s->approved /= 2;
	}
}

double
cell_advice_approved_share(const struct cell_advice *a, const char *queue)
{
	const struct share *s = g_hash_table_lookup(a->shares, queue);

	if (s == NULL)
		return SHARE_PRIOR;
	return (s->approved + SHARE_PRIOR * SHARE_PRIOR_WORKERS) /
	       (s->asked + SHARE_PRIOR_WORKERS);
}

static void
store_answer(struct cell_advice *a, struct cell_stage *s,
    const struct question *q, const Ogl__CellAdvice *m, ogl_time now)
{
	size_t i;

	/* Workers asked about again are known to be approved. */
	if (q->first)
		count_answer(
		    a, s->job->def->queue, q->workers->len, m->n_tickets);
	for (i = 0; i < q->workers->len; i++)
		mark_asked(a, s, named_worker(q, (guint)i));
	for (i = 0; i < m->n_tickets; i++) {
		const struct named_worker *named =
		    find_named(q, m->tickets[i]->worker);

		if (named != NULL)
			store_ticket(a, s, named, m, i, now);
	}
}

/* Called once for each question.  Pauses its lane if it failed or got no answer,
 * as the service may be slow or the node may hang.  A successful answer ends the
 * pause. */
static void
question_over(
    struct cell_advice *a, const struct question *q, bool ok, ogl_time now)
{
	struct lane *l = g_hash_table_lookup(a->lanes, q->lane_addr);

	if (l == NULL)
		return;
	/* The lane may have been added anew since. */
	l->pending -= l->pending > 0;
	if (ok)
		l->paused_until = 0;
	else
		l->paused_until = now + LANE_PAUSE;
}

/* Counts the time of the service for a question that was of no use. */
static void
count_wasted(
    struct cell_advice *a, const struct question *q, const char *counter)
{
	a->ops->count(a->ops->ctx, counter, (uint64_t)(q->busy_time / OGL_MS));
}

void
cell_advice_answer(
    struct cell_advice *a, const Ogl__CellAdvice *m, ogl_time now)
{
	struct question *q = g_hash_table_lookup(a->questions, &m->token);
	struct cell_stage *s;

	if (q == NULL)
		return;
	question_over(a, q, m->ok, now);
	a->ops->observe(
	    a->ops->ctx, "advice_ms", (uint64_t)((now - q->sent_at) / OGL_MS));
	s = a->events.stage(a->events.arg, q->id, q->occurrence, q->step);
	if (s != NULL) {
		s->asking = false;
		if (m->ok)
			store_answer(a, s, q, m, now);
	}
	if (s == NULL)
		count_wasted(a, q, "advice_wasted_ms_job_over");
	g_hash_table_remove(a->questions, &m->token);
	if (s != NULL)
		a->events.answered(a->events.arg, s, now);
}

/* Whether the node that was to ask the question has not been heard from, so
 * that the answer is unlikely to come. */
static bool
lane_is_silent(
    const struct cell_advice *a, const struct question *q, ogl_time now)
{
	const struct lane *l = g_hash_table_lookup(a->lanes, q->lane_addr);

	return l == NULL || !is_live(l, now);
}

void
cell_advice_step(struct cell_advice *a, ogl_time now)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, a->questions);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct question *q = p;
		struct cell_stage *s;

		if (now < q->deadline && !lane_is_silent(a, q, now))
			continue;
		question_over(a, q, false, now);
		s = a->events.stage(
		    a->events.arg, q->id, q->occurrence, q->step);
		if (s != NULL)
			s->asking = false;
		a->ops->count(a->ops->ctx, "advice_unanswered", 1);
		count_wasted(a, q, "advice_wasted_ms_unanswered");
		g_hash_table_iter_remove(&it);
	}
}

const struct cell_approval *
cell_advice_approval(const struct cell_stage *s, const struct cell_worker *w)
{
	const struct cell_approval *approval =
	    cell_stage_approval(s, w->serial);

	if (approval == NULL || approval->incarnation != w->incarnation)
		return NULL;
	return approval;
}

struct cell_advice_lanes
cell_advice_count_lanes(const struct cell_advice *a, ogl_time now)
{
	struct cell_advice_lanes n = {0};
	const struct lane *l;
	GHashTableIter it;

	g_hash_table_iter_init(&it, a->lanes);
	while ((l = next_live_lane(&it, now)) != NULL) {
		n.known++;
		if (now < l->paused_until)
			n.paused++;
		else if (l->busy_until <= now + a->send_ahead)
			n.idle++;
	}
	n.rank0 = rank0_lanes(a, n.known - n.paused, now);
	return n;
}

ogl_time
cell_advice_asked_at(const struct cell_advice *a, const struct cell_stage *s)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, a->questions);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct question *q = p;

		if (q->step == s->step && q->occurrence == s->occurrence &&
		    strcmp(q->id, s->job->id) == 0)
			return q->sent_at;
	}
	return 0;
}
