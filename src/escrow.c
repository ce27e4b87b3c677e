/*
 * Team limits across shards without a message for each start.
 *
 * A team's upper limit is split into parts, in millionths (ppm), one for each
 * shard; the parts never add up to more than a million.  The owner of a shard
 * is the holder of its part.  It starts tasks of the team only within that part
 * of the limit in force, so all shards together stay within the limit however
 * many holders start tasks at once.  As parts are fractions, a changed limit
 * changes what every holder may start without any message.
 *
 * The owner of one shard, chosen by a hash of the team's name, is the team's
 * coordinator.  A holder that could use a larger part asks the coordinator for
 * it.  The coordinator grants what is free; for the rest it asks the other
 * holders to shrink to what they use, and counts a part as smaller only after
 * its holder has confirmed it.  A larger part is sent to its holder only once
 * the new split is in the coordinator's log, so that a new coordinator, which
 * starts from the log, can never grant the same part twice.
 *
 * A new owner of a holder's shard does not know its part and starts nothing of
 * a limited team until the coordinator has sent it.  Answers carry the
 * coordinator's epoch and a sequence number; an older one that arrives late is
 * ignored, since the part it names may have been granted to another holder
 * meanwhile.
 */

#include <stdlib.h>
#include <string.h>

#include "shard_impl.h"

enum {
	WHOLE_PPM = 1000000,
	/* The interval between two asks of a holder for more of a team's limit
	 * doubles while no more is granted. */
	ASK_INTERVAL_MIN_MS = 200,
	ASK_INTERVAL_MAX_MS = 1600,
	START_RETRY_MS = 1000, /* time from an ask to the next try of a start */
	RECLAIM_INTERVAL_MS = 400, /* time between reclaims for one team */
	/* A want that is not repeated within this time is dropped. */
	WANT_TIMEOUT_MS = 4 * START_RETRY_MS,
	TURN_MAX_MS = 10000, /* longest time that one want goes first */
	TICK_MS = 100
};

/* A team's part of the limit as its holder knows it. */
struct holding {
	char *team;
	bool known; /* the coordinator has sent the part */
	uint32_t ppm;
	uint64_t want; /* tasks it could use in total, 0: no more than now */
	ogl_time next_ask;
	uint32_t ask_interval_ms;
	ogl_time retry_at;          /* when to try a start again, 0: never */
	uint64_t coordinator_epoch; /* epoch in the newest message */
	uint64_t coordinator_seq;   /* seq in the newest message */
};

/* The split of a team's limit as its coordinator knows it.  Arrays are indexed
 * by shard. */
struct split {
	char *team;
	uint32_t *ppm;         /* in effect now */
	uint32_t *want_ppm;    /* part last asked for, 0 for none */
	ogl_time *want_since;  /* when the want's turn began, 0 for none */
	ogl_time *wanted_at;   /* when the holder last asked */
	uint64_t *owner_epoch; /* epoch of the newest owner that asked */
	uint64_t *reclaim_seq; /* seq of the unanswered reclaim, 0 for none */
	bool recording;        /* a new split is being appended to the log */
	bool dirty;            /* ppm differs from the split being appended */
	ogl_time next_reclaim;
};

struct ogl_escrow {
	GHashTable *holdings; /* team -> struct holding */
	GHashTable *splits;   /* team -> struct split */
	uint64_t seq;
	ogl_time next_tick;
};

static void
holding_free(void *v)
{
	struct holding *h = v;

	g_free(h->team);
	g_free(h);
}

static void
split_free(void *v)
{
	struct split *s = v;

	g_free(s->team);
	g_free(s->ppm);
	g_free(s->want_ppm);
	g_free(s->want_since);
	g_free(s->wanted_at);
	g_free(s->owner_epoch);
	g_free(s->reclaim_seq);
	g_free(s);
}

void
ogl_escrow_init(struct ogl_shard *sh, ogl_time now)
{
	struct ogl_escrow *e = g_new0(struct ogl_escrow, 1);

	e->holdings =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, holding_free);
	e->splits =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, split_free);
	e->next_tick = now;
	sh->escrow = e;
}

void
ogl_escrow_end(struct ogl_shard *sh)
{
	if (sh->escrow == NULL)
		return;
	g_hash_table_destroy(sh->escrow->holdings);
	g_hash_table_destroy(sh->escrow->splits);
	g_clear_pointer(&sh->escrow, g_free);
}

static uint32_t
coordinator_of(const struct ogl_shard *sh, const char *team)
{
	return (uint32_t)(ogl_random_hash(team, strlen(team)) %
			  sh->env->cfg->shards);
}

static uint64_t
limit_of(const struct ogl_shard *sh, const char *team)
{
	struct ogl_team_view v;

	ogl_settings_lookup_team(sh->env->settings, team, &v);
	return v.exists ? v.limit_tasks : UINT64_MAX;
}

/* Returns the smallest part, in ppm, of the limit that allows so many tasks. */
static uint32_t
ppm_for(uint64_t tasks, uint64_t limit)
{
	if (limit == 0 || tasks >= limit)
		return WHOLE_PPM;
	return (uint32_t)((tasks * WHOLE_PPM + limit - 1) / limit);
}

/* ---- holder ----------------------------------------------------------- */

static struct holding *
holding_get(const struct ogl_shard *sh, const char *team)
{
	struct holding *h = g_hash_table_lookup(sh->escrow->holdings, team);

	if (h == NULL) {
		h = g_new0(struct holding, 1);
		h->team = g_strdup(team);
		g_hash_table_insert(sh->escrow->holdings, h->team, h);
	}
	return h;
}

uint64_t
ogl_escrow_allowed(const struct ogl_shard *sh, const char *team)
{
	uint64_t limit = limit_of(sh, team);
	const struct holding *h;

	if (limit == UINT64_MAX)
		return UINT64_MAX;
	h = g_hash_table_lookup(sh->escrow->holdings, team);
	if (h == NULL || !h->known)
		/* Nothing is started until the part is known. */
		return ogl_sched_placed_count(sh, team);
	return limit * h->ppm / WHOLE_PPM;
}

void
ogl_escrow_want(struct ogl_shard *sh, const char *team, uint64_t tasks)
{
	struct holding *h;

	if (limit_of(sh, team) == UINT64_MAX)
		return;
	h = holding_get(sh, team);
	if (tasks > h->want)
		h->want = tasks;
	sh->escrow->next_tick = MIN(sh->escrow->next_tick, h->next_ask);
}

static void
send_ask(struct ogl_shard *sh, struct holding *h, uint64_t seq)
{
	uint64_t limit = limit_of(sh, h->team);
	Ogl__PeerMsg msg = OGL__PEER_MSG__INIT;
	Ogl__AllotAsk a = OGL__ALLOT_ASK__INIT;
	uint32_t used = ppm_for(ogl_sched_placed_count(sh, h->team), limit);

	a.shard = sh->index;
	a.epoch = sh->state->epoch;
	a.team = h->team;
	a.known = h->known;
	/* A part received while an older split was being appended may be
	 * smaller than what already runs here under a part received earlier.
	 * The part that running tasks use must not be granted to others. */
	a.held_ppm = MAX(h->ppm, used);
	a.used_ppm = used;
	a.want_ppm = ppm_for(h->want, limit);
	a.seq = seq;
	msg.body_case = OGL__PEER_MSG__BODY_ALLOT_ASK;
	msg.allot_ask = &a;
	sh->env->ops->send(sh->env->ctx, coordinator_of(sh, h->team), &msg);
}

/* Tries to start the waiting work again a while after an ask.  The ask, the
 * reclaim that follows from it or the answer may be lost, or a new coordinator
 * may not know of the ask, and nothing else might ever try.  If the part is
 * still too small, the failed start leads to a new ask. */
static void
retry_start(struct ogl_shard *sh, struct holding *h, ogl_time now)
{
	if (h->retry_at == 0 || now < h->retry_at)
		return;
	h->retry_at = 0;
	sh->place_due = true;
}

static void
ask_for_more(struct ogl_shard *sh, ogl_time now)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, sh->escrow->holdings);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct holding *h = v;

		retry_start(sh, h, now);
		if (h->want == 0 || now < h->next_ask)
			continue;
		h->retry_at = now + START_RETRY_MS * OGL_MS;
		h->ask_interval_ms = CLAMP(2 * h->ask_interval_ms,
		    ASK_INTERVAL_MIN_MS, ASK_INTERVAL_MAX_MS);
		h->next_ask = now + h->ask_interval_ms * OGL_MS;
		send_ask(sh, h, 0);
		h->want = 0; /* set again when a start fails next */
	}
}

/* Shrinks to the part that the coordinator names, but not below what running
 * tasks use. */
static void
apply_reclaim(struct ogl_shard *sh, struct holding *h, const Ogl__AllotGive *g)
{
	uint64_t limit = limit_of(sh, h->team);
	uint32_t used = ppm_for(ogl_sched_placed_count(sh, h->team), limit);

	if (h->known)
		h->ppm = MIN(h->ppm, MAX(g->ppm, used));
	send_ask(sh, h, g->seq);
}

static void
receive_give(struct ogl_shard *sh, const Ogl__AllotGive *g)
{
	struct holding *h;

	h = holding_get(sh, g->team);
	if (g->epoch != sh->state->epoch) {
		/* The coordinator knows an earlier owner, or none.  An owner
		 * with nothing to start never asks by itself, so it tells the
		 * coordinator its epoch here.  Otherwise the coordinator could
		 * never reclaim the part that this owner does not use. */
		if (g->reclaim && g->epoch < sh->state->epoch)
			send_ask(sh, h, 0);
		return;
	}
	if (g->bank_epoch < h->coordinator_epoch ||
	    (g->bank_epoch == h->coordinator_epoch &&
		g->seq <= h->coordinator_seq))
		return;
	h->coordinator_epoch = g->bank_epoch;
	h->coordinator_seq = g->seq;
	if (g->reclaim) {
		apply_reclaim(sh, h, g);
		return;
	}
	if (!h->known || h->ppm < g->ppm) {
		sh->place_due = true;
		h->ask_interval_ms = 0;
	}
	h->known = true;
	h->ppm = g->ppm;
}

/* ---- coordinator ------------------------------------------------------ */

static struct split *
split_get(struct ogl_shard *sh, const char *team)
{
	uint32_t n = sh->env->cfg->shards;
	struct split *s = g_hash_table_lookup(sh->escrow->splits, team);
	const Ogl__Allot *rec;

	if (s != NULL)
		return s;
	s = g_new0(struct split, 1);
	s->team = g_strdup(team);
	s->ppm = g_new0(uint32_t, n);
	s->want_ppm = g_new0(uint32_t, n);
	s->want_since = g_new0(ogl_time, n);
	s->wanted_at = g_new0(ogl_time, n);
	s->owner_epoch = g_new0(uint64_t, n);
	s->reclaim_seq = g_new0(uint64_t, n);
	rec = g_hash_table_lookup(sh->state->allots, team);
	for (uint32_t i = 0; i < n; i++) {
		if (rec == NULL)
			s->ppm[i] = WHOLE_PPM / n;
		else
			s->ppm[i] = i < rec->n_ppm ? rec->ppm[i] : 0;
	}
	g_hash_table_insert(sh->escrow->splits, s->team, s);
	return s;
}

/* Returns a shard's part according to the log, which is the most that may be
 * sent to its holder. */
static uint32_t
durable_ppm(const struct ogl_shard *sh, const struct split *s, uint32_t i)
{
	const Ogl__Allot *rec = g_hash_table_lookup(sh->state->allots, s->team);

	if (rec == NULL)
		return WHOLE_PPM / sh->env->cfg->shards;
	return i < rec->n_ppm ? rec->ppm[i] : 0;
}

static void
send_give(struct ogl_shard *sh, struct split *s, uint32_t shard, uint32_t ppm,
    bool reclaim)
{
	Ogl__PeerMsg msg = OGL__PEER_MSG__INIT;
	Ogl__AllotGive g = OGL__ALLOT_GIVE__INIT;

	g.shard = shard;
	g.epoch = s->owner_epoch[shard];
	g.team = s->team;
	g.ppm = ppm;
	g.seq = ++sh->escrow->seq;
	g.bank_epoch = sh->state->epoch;
	g.bank = sh->index;
	g.reclaim = reclaim;
	/* A part sent after a reclaim undoes the shrinking, so the answer to
	 * that reclaim no longer counts.  Otherwise the holder would keep what
	 * is also granted to others. */
	s->reclaim_seq[shard] = reclaim ? g.seq : 0;
	msg.body_case = OGL__PEER_MSG__BODY_ALLOT_GIVE;
	msg.allot_give = &g;
	sh->env->ops->send(sh->env->ctx, shard, &msg);
}

/* Sends a holder its part.  This cancels an unanswered reclaim: the holder may
 * shrink, answer, and then grow again to the part in this message.  If its
 * answer still counted, another holder would be granted the same part. */
static void
send_part(struct ogl_shard *sh, struct split *s, uint32_t shard)
{
	s->reclaim_seq[shard] = 0;
	send_give(
	    sh, s, shard, MIN(s->ppm[shard], durable_ppm(sh, s, shard)), false);
}

static uint32_t
free_ppm(const struct ogl_shard *sh, const struct split *s)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < sh->env->cfg->shards; i++)
		sum += s->ppm[i];
	return sum < WHOLE_PPM ? WHOLE_PPM - sum : 0;
}

static void
record_split(struct ogl_shard *sh, struct split *s, ogl_time now)
{
	uint32_t n = sh->env->cfg->shards;
	Ogl__Record *r;

	if (s->recording) {
		s->dirty = true;
		return;
	}
	s->recording = true;
	s->dirty = false;
	r = ogl_shard_record(sh, now);
	r->body_case = OGL__RECORD__BODY_ALLOT;
	r->allot = malloc(sizeof *r->allot);
	ogl__allot__init(r->allot);
	r->allot->team = strdup(s->team);
	r->allot->ppm = calloc(n + 1, sizeof(uint32_t));
	memcpy(r->allot->ppm, s->ppm, n * sizeof(uint32_t));
	r->allot->n_ppm = n;
	ogl_shard_append(sh, r, now);
}

void
ogl_escrow_recorded(struct ogl_shard *sh, const Ogl__Allot *rec, ogl_time now)
{
	struct split *s = g_hash_table_lookup(sh->escrow->splits, rec->team);

	if (s == NULL)
		return;
	s->recording = false;
	for (uint32_t i = 0; i < sh->env->cfg->shards; i++) {
		if (s->owner_epoch[i] != 0)
			send_part(sh, s, i);
	}
	if (s->dirty)
		record_split(sh, s, now);
}

/* Whether shard i wants more and its turn is before that of shard k. */
static bool
goes_before(const struct split *s, uint32_t i, uint32_t k)
{
	if (s->want_since[i] == 0 || i == k)
		return false;
	if (s->want_since[i] != s->want_since[k])
		return s->want_since[k] == 0 ||
		       s->want_since[i] < s->want_since[k];
	return i < k;
}

/* Asks the other holders to give up what they don't use, except those that
 * want more themselves and whose turn is before the asker's.  Otherwise two
 * waiting gangs would take the same part from each other forever. */
static void
reclaim(struct ogl_shard *sh, struct split *s, uint32_t asker, uint32_t need,
    ogl_time now)
{
	uint32_t n = sh->env->cfg->shards;

	if (now < s->next_reclaim || n < 2)
		return;
	s->next_reclaim = now + RECLAIM_INTERVAL_MS * OGL_MS;
	for (uint32_t i = 0; i < n; i++) {
		uint32_t reduction = need / (n - 1) + 1;

		if (i == asker || s->ppm[i] == 0 || goes_before(s, i, asker))
			continue;
		send_give(sh, s, i,
		    s->ppm[i] > reduction ? s->ppm[i] - reduction : 0, true);
	}
}

static void
set_want(struct split *s, uint32_t i, uint32_t want, ogl_time now)
{
	s->want_ppm[i] = want > s->ppm[i] ? want : 0;
	if (s->want_ppm[i] == 0)
		s->want_since[i] = 0;
	else if (s->want_since[i] == 0)
		s->want_since[i] = now;
	s->wanted_at[i] = now;
}

/* Grants a shard as much of its want as is free, and reclaims the rest from
 * other holders. */
static void
grant_want(struct ogl_shard *sh, struct split *s, uint32_t shard, ogl_time now)
{
	uint32_t need, grant;

	if (s->want_ppm[shard] <= s->ppm[shard]) {
		set_want(s, shard, 0, now);
		return;
	}
	need = s->want_ppm[shard] - s->ppm[shard];
	grant = MIN(need, free_ppm(sh, s));
	if (grant > 0) {
		s->ppm[shard] += grant;
		record_split(sh, s, now);
	}
	if (grant < need)
		reclaim(sh, s, shard, need - grant, now);
}

/* Drops wants that were not repeated.  A holder does not report that its work
 * has started or is gone; if its want were kept, it would be granted again and
 * again what it had just given back.  Also ends the turn of a want that can't
 * be met, so that it does not block the others forever. */
static void
review_wants(const struct ogl_shard *sh, struct split *s, ogl_time now)
{
	for (uint32_t i = 0; i < sh->env->cfg->shards; i++) {
		if (s->want_since[i] == 0)
			continue;
		if (now - s->wanted_at[i] > WANT_TIMEOUT_MS * OGL_MS)
			set_want(s, i, 0, now);
		else if (now - s->want_since[i] > TURN_MAX_MS * OGL_MS)
			s->want_since[i] = now;
	}
}

/* Grants wants as far as possible, the oldest first. */
static void
grant_wants(struct ogl_shard *sh, struct split *s, ogl_time now)
{
	uint32_t n = sh->env->cfg->shards;
	uint32_t wants = 0;
	bool *served = g_new0(bool, n);

	review_wants(sh, s, now);
	for (uint32_t i = 0; i < n; i++)
		wants += s->want_since[i] != 0 ? 1 : 0;
	for (; wants > 0; wants--) {
		uint32_t first = n;

		for (uint32_t i = 0; i < n; i++) {
			if (s->want_since[i] != 0 && !served[i] &&
			    (first == n || goes_before(s, i, first)))
				first = i;
		}
		served[first] = true;
		grant_want(sh, s, first, now);
	}
	g_free(served);
}

static void
receive_ask(struct ogl_shard *sh, const Ogl__AllotAsk *q, ogl_time now)
{
	struct split *s;

	if (q->shard >= sh->env->cfg->shards ||
	    coordinator_of(sh, q->team) != sh->index)
		return;
	s = split_get(sh, q->team);
	if (q->epoch < s->owner_epoch[q->shard])
		return; /* from an earlier owner */
	s->owner_epoch[q->shard] = q->epoch;
	if (q->seq == 0) {
		set_want(s, q->shard, q->want_ppm, now);
		grant_wants(sh, s, now);
		send_part(sh, s, q->shard);
		return;
	}
	if (q->seq != s->reclaim_seq[q->shard])
		return;
	s->reclaim_seq[q->shard] = 0;
	if (q->known && q->held_ppm < s->ppm[q->shard])
		s->ppm[q->shard] = q->held_ppm;
	else if (!q->known)
		send_part(sh, s, q->shard);
	grant_wants(sh, s, now);
}

void
ogl_escrow_msg(struct ogl_shard *sh, const Ogl__PeerMsg *msg, ogl_time now)
{
	if (msg->body_case == OGL__PEER_MSG__BODY_ALLOT_ASK)
		receive_ask(sh, msg->allot_ask, now);
	else if (msg->body_case == OGL__PEER_MSG__BODY_ALLOT_GIVE)
		receive_give(sh, msg->allot_give);
}

void
ogl_escrow_tick(struct ogl_shard *sh, ogl_time now)
{
	if (now < sh->escrow->next_tick)
		return;
	sh->escrow->next_tick = now + TICK_MS * OGL_MS;
	ask_for_more(sh, now);
}

ogl_time
ogl_escrow_next(const struct ogl_shard *sh)
{
	return sh->escrow->next_tick;
}
