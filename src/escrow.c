/*
 * Team limits across shards without a message per start.
 *
 * A team's upper limit is split into parts, in millionths, one a shard; the
 * parts never add up to more than a million.  An owner starts tasks of the
 * team only within its part of the limit now in force, so the fleet as a
 * whole stays within the limit however many owners start at once.  As parts
 * are fractions, a changed limit changes every holder's allowance without
 * any message.
 *
 * The owner of one shard, chosen by the team's name, is the team's bank.  A
 * holder that could use more asks it.  The bank gives what is free; for what
 * is not, it asks the other holders to shrink to what they use, and counts a
 * part as smaller only when its holder has said so.  A larger part is given
 * only after the new split has taken effect on the bank's log, so that a new
 * bank, which starts from the log, can never give the same part twice.
 *
 * A new owner of a holder's shard does not know its part and starts nothing
 * of a limited team until the bank has told it.  Answers carry (bank epoch,
 * seq); an older one that arrives late is passed over, since the part it
 * names may have been given to somebody else meanwhile.
 */

#include <stdlib.h>
#include <string.h>

#include "shard_impl.h"

enum {
	WHOLE = 1000000,
	ASK_EVERY_MS = 200,     /* per team, while it wants more; doubled */
	ASK_MOST_MS = 1600,     /* up to this while nothing more is got */
	RETRY_MS = 1000,        /* try to start again what an ask was for */
	RECLAIM_EVERY_MS = 400, /* per team */
	WANT_MS = 4 * RETRY_MS, /* a want not repeated for so long is over */
	TURN_MS = 10000,        /* the oldest want goes first so long at most */
	TICK_MS = 100
};

/* A team as a holder sees it. */
struct holding {
	char *team;
	bool known;
	uint32_t ppm;
	uint64_t want; /* tasks it could use, 0 satisfied */
	ogl_time next_ask;
	uint32_t ask_ms;     /* between two asks */
	ogl_time retry_at;   /* 0: nothing asked for */
	uint64_t bank_epoch; /* newest answer taken */
	uint64_t bank_seq;
};

/* A team as its bank sees it. */
struct account {
	char *team;
	uint32_t *ppm;   /* by shard, in effect now */
	uint32_t *want;  /* by shard, as last asked */
	ogl_time *since; /* by shard, when its turn to want began, 0 none */
	ogl_time *heard; /* by shard, when it last wanted */
	uint64_t *epoch; /* by shard, newest owner heard */
	uint64_t *asked; /* by shard, seq of the reclaim out, 0 none */
	bool recording;  /* a new split is on its way to the log */
	bool dirty;      /* ppm differs from what is on its way */
	ogl_time next_reclaim;
};

struct ogl_escrow {
	GHashTable *holdings; /* team -> struct holding */
	GHashTable *accounts; /* team -> struct account */
	uint64_t seq;
	ogl_time next;
};

static void
holding_free(void *v)
{
	struct holding *h = v;

	g_free(h->team);
	g_free(h);
}

static void
account_free(void *v)
{
	struct account *a = v;

	g_free(a->team);
	g_free(a->ppm);
	g_free(a->want);
	g_free(a->since);
	g_free(a->heard);
	g_free(a->epoch);
	g_free(a->asked);
	g_free(a);
}

void
ogl_escrow_init(struct ogl_shard *sh, ogl_time now)
{
	struct ogl_escrow *e = g_new0(struct ogl_escrow, 1);

	e->holdings =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, holding_free);
	e->accounts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, account_free);
	e->next = now;
	sh->escrow = e;
}

void
ogl_escrow_end(struct ogl_shard *sh)
{
	if (sh->escrow == NULL)
		return;
	g_hash_table_destroy(sh->escrow->holdings);
	g_hash_table_destroy(sh->escrow->accounts);
	g_clear_pointer(&sh->escrow, g_free);
}

static uint32_t
bank_of(const struct ogl_shard *sh, const char *team)
{
	return (uint32_t)(ogl_random_hash(team, strlen(team)) %
			  sh->env->cfg->shards);
}

static uint64_t
limit_of(const struct ogl_shard *sh, const char *team)
{
	struct ogl_team_view v;

	ogl_settings_team(sh->env->settings, team, &v);
	return v.exists ? v.limit_tasks : UINT64_MAX;
}

/* Fewest millionths whose part of the limit is at least so many tasks. */
static uint32_t
ppm_for(uint64_t tasks, uint64_t limit)
{
	if (limit == 0 || tasks >= limit)
		return WHOLE;
	return (uint32_t)((tasks * WHOLE + limit - 1) / limit);
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
		return ogl_sched_held(sh, team); /* nothing new until told */
	return limit * h->ppm / WHOLE;
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
	sh->escrow->next = MIN(sh->escrow->next, h->next_ask);
}

static void
send_ask(struct ogl_shard *sh, struct holding *h, uint64_t seq)
{
	uint64_t limit = limit_of(sh, h->team);
	Ogl__PeerMsg msg = OGL__PEER_MSG__INIT;
	Ogl__AllotAsk a = OGL__ALLOT_ASK__INIT;
	uint32_t used = ppm_for(ogl_sched_held(sh, h->team), limit);

	a.shard = sh->index;
	a.epoch = sh->state->epoch;
	a.team = h->team;
	a.known = h->known;
	/* A part told while an older split was on its way to the log may be
	 * smaller than what runs here by a part told before it.  What runs
	 * is not free to be given away, whatever we were told last. */
	a.held_ppm = MAX(h->ppm, used);
	a.used_ppm = used;
	a.want_ppm = ppm_for(h->want, limit);
	a.seq = seq;
	msg.body_case = OGL__PEER_MSG__BODY_ALLOT_ASK;
	msg.allot_ask = &a;
	sh->env->ops->send(sh->env->ctx, bank_of(sh, h->team), &msg);
}

/* An ask, the reclaim that follows from it or the answer may be lost, or the
 * bank may change its owner and forget.  Nothing else might ever try to start
 * the waiting work again, so this does, and asks anew if it still lacks. */
static void
try_anew(struct ogl_shard *sh, struct holding *h, ogl_time now)
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

		try_anew(sh, h, now);
		if (h->want == 0 || now < h->next_ask)
			continue;
		h->retry_at = now + RETRY_MS * OGL_MS;
		h->ask_ms = CLAMP(2 * h->ask_ms, ASK_EVERY_MS, ASK_MOST_MS);
		h->next_ask = now + h->ask_ms * OGL_MS;
		send_ask(sh, h, 0);
		h->want = 0; /* wanted again at the next failure to start */
	}
}

/* Shrinks to what the bank names, never below what runs here. */
static void
obey_reclaim(struct ogl_shard *sh, struct holding *h, const Ogl__AllotGive *g)
{
	uint64_t limit = limit_of(sh, h->team);
	uint32_t used = ppm_for(ogl_sched_held(sh, h->team), limit);

	if (h->known)
		h->ppm = MIN(h->ppm, MAX(g->ppm, used));
	send_ask(sh, h, g->seq);
}

static void
take_give(struct ogl_shard *sh, const Ogl__AllotGive *g)
{
	struct holding *h;

	h = holding_get(sh, g->team);
	if (g->epoch != sh->state->epoch) {
		/* The bank speaks to an earlier owner, or knows of none.  With
		 * nothing to start we would never ask it, and it could never
		 * get back what we don't use: so let it know of us. */
		if (g->reclaim && g->epoch < sh->state->epoch)
			send_ask(sh, h, 0);
		return;
	}
	if (g->bank_epoch < h->bank_epoch ||
	    (g->bank_epoch == h->bank_epoch && g->seq <= h->bank_seq))
		return;
	h->bank_epoch = g->bank_epoch;
	h->bank_seq = g->seq;
	if (g->reclaim) {
		obey_reclaim(sh, h, g);
		return;
	}
	if (!h->known || h->ppm < g->ppm) {
		sh->place_due = true;
		h->ask_ms = 0;
	}
	h->known = true;
	h->ppm = g->ppm;
}

/* ---- bank ------------------------------------------------------------- */

static struct account *
account_get(struct ogl_shard *sh, const char *team)
{
	uint32_t n = sh->env->cfg->shards;
	struct account *a = g_hash_table_lookup(sh->escrow->accounts, team);
	const Ogl__Allot *rec;

	if (a != NULL)
		return a;
	a = g_new0(struct account, 1);
	a->team = g_strdup(team);
	a->ppm = g_new0(uint32_t, n);
	a->want = g_new0(uint32_t, n);
	a->since = g_new0(ogl_time, n);
	a->heard = g_new0(ogl_time, n);
	a->epoch = g_new0(uint64_t, n);
	a->asked = g_new0(uint64_t, n);
	rec = g_hash_table_lookup(sh->state->allots, team);
	for (uint32_t i = 0; i < n; i++) {
		if (rec == NULL)
			a->ppm[i] = WHOLE / n;
		else
			a->ppm[i] = i < rec->n_ppm ? rec->ppm[i] : 0;
	}
	g_hash_table_insert(sh->escrow->accounts, a->team, a);
	return a;
}

/* What the log says of a shard's part: all that may be told to a holder. */
static uint32_t
durable_ppm(const struct ogl_shard *sh, const struct account *a, uint32_t i)
{
	const Ogl__Allot *rec = g_hash_table_lookup(sh->state->allots, a->team);

	if (rec == NULL)
		return WHOLE / sh->env->cfg->shards;
	return i < rec->n_ppm ? rec->ppm[i] : 0;
}

static void
send_give(struct ogl_shard *sh, struct account *a, uint32_t shard, uint32_t ppm,
    bool reclaim)
{
	Ogl__PeerMsg msg = OGL__PEER_MSG__INIT;
	Ogl__AllotGive g = OGL__ALLOT_GIVE__INIT;

	g.shard = shard;
	g.epoch = a->epoch[shard];
	g.team = a->team;
	g.ppm = ppm;
	g.seq = ++sh->escrow->seq;
	g.bank_epoch = sh->state->epoch;
	g.bank = sh->index;
	g.reclaim = reclaim;
	/* A part told after a reclaim undoes the shrinking, so the answer to
	 * that reclaim, when it comes, no longer counts.  Otherwise the part
	 * would be with the holder and free to be given away. */
	a->asked[shard] = reclaim ? g.seq : 0;
	msg.body_case = OGL__PEER_MSG__BODY_ALLOT_GIVE;
	msg.allot_give = &g;
	sh->env->ops->send(sh->env->ctx, shard, &msg);
}

/* Tells a holder its part.  A reclaim still out to it is void by that: the
 * holder may shrink, say so, and then grow again to what this message says,
 * and were its word on the reclaim still taken, the same part would go to
 * somebody else as well. */
static void
tell(struct ogl_shard *sh, struct account *a, uint32_t shard)
{
	a->asked[shard] = 0;
	send_give(
	    sh, a, shard, MIN(a->ppm[shard], durable_ppm(sh, a, shard)), false);
}

static uint32_t
free_ppm(const struct ogl_shard *sh, const struct account *a)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < sh->env->cfg->shards; i++)
		sum += a->ppm[i];
	return sum < WHOLE ? WHOLE - sum : 0;
}

static void
record_split(struct ogl_shard *sh, struct account *a, ogl_time now)
{
	uint32_t n = sh->env->cfg->shards;
	Ogl__Record *r;

	if (a->recording) {
		a->dirty = true;
		return;
	}
	a->recording = true;
	a->dirty = false;
	r = ogl_shard_record(sh, now);
	r->body_case = OGL__RECORD__BODY_ALLOT;
	r->allot = malloc(sizeof *r->allot);
	ogl__allot__init(r->allot);
	r->allot->team = strdup(a->team);
	r->allot->ppm = calloc(n + 1, sizeof(uint32_t));
	memcpy(r->allot->ppm, a->ppm, n * sizeof(uint32_t));
	r->allot->n_ppm = n;
	ogl_shard_append(sh, r, now);
}

void
ogl_escrow_recorded(struct ogl_shard *sh, const Ogl__Allot *rec, ogl_time now)
{
	struct account *a =
	    g_hash_table_lookup(sh->escrow->accounts, rec->team);

	if (a == NULL)
		return;
	a->recording = false;
	for (uint32_t i = 0; i < sh->env->cfg->shards; i++) {
		if (a->epoch[i] != 0)
			tell(sh, a, i);
	}
	if (a->dirty)
		record_split(sh, a, now);
}

/* Whether shard i waits for more and its turn comes before shard k's. */
static bool
goes_before(const struct account *a, uint32_t i, uint32_t k)
{
	if (a->since[i] == 0 || i == k)
		return false;
	if (a->since[i] != a->since[k])
		return a->since[k] == 0 || a->since[i] < a->since[k];
	return i < k;
}

/* Asks the others to give up what they don't use; but not those that gather
 * for a start of their own and came first, or two gangs that both wait would
 * take the same part from each other for ever. */
static void
reclaim(struct ogl_shard *sh, struct account *a, uint32_t asker, uint32_t need,
    ogl_time now)
{
	uint32_t n = sh->env->cfg->shards;

	if (now < a->next_reclaim || n < 2)
		return;
	a->next_reclaim = now + RECLAIM_EVERY_MS * OGL_MS;
	for (uint32_t i = 0; i < n; i++) {
		uint32_t part = need / (n - 1) + 1;

		if (i == asker || a->ppm[i] == 0 || goes_before(a, i, asker))
			continue;
		send_give(
		    sh, a, i, a->ppm[i] > part ? a->ppm[i] - part : 0, true);
	}
}

static void
set_want(struct account *a, uint32_t i, uint32_t want, ogl_time now)
{
	a->want[i] = want > a->ppm[i] ? want : 0;
	if (a->want[i] == 0)
		a->since[i] = 0;
	else if (a->since[i] == 0)
		a->since[i] = now;
	a->heard[i] = now;
}

/* Gives a shard what is free of what it wants. */
static void
serve(struct ogl_shard *sh, struct account *a, uint32_t shard, ogl_time now)
{
	uint32_t need, grant;

	if (a->want[shard] <= a->ppm[shard]) {
		set_want(a, shard, 0, now);
		return;
	}
	need = a->want[shard] - a->ppm[shard];
	grant = MIN(need, free_ppm(sh, a));
	if (grant > 0) {
		a->ppm[shard] += grant;
		record_split(sh, a, now);
	}
	if (grant < need)
		reclaim(sh, a, shard, need - grant, now);
}

/* A holder that has started, or no longer has, what it wanted more for does
 * not say so.  Were its want kept, it would be given again each time what it
 * had just given back.  Nor does a want that can't be met stand before the
 * others for ever. */
static void
review_wants(const struct ogl_shard *sh, struct account *a, ogl_time now)
{
	for (uint32_t i = 0; i < sh->env->cfg->shards; i++) {
		if (a->since[i] == 0)
			continue;
		if (now - a->heard[i] > WANT_MS * OGL_MS)
			set_want(a, i, 0, now);
		else if (now - a->since[i] > TURN_MS * OGL_MS)
			a->since[i] = now;
	}
}

/* Serves every want, the oldest first. */
static void
serve_all(struct ogl_shard *sh, struct account *a, ogl_time now)
{
	uint32_t n = sh->env->cfg->shards;
	uint32_t wants = 0;
	bool *served = g_new0(bool, n);

	review_wants(sh, a, now);
	for (uint32_t i = 0; i < n; i++)
		wants += a->since[i] != 0 ? 1 : 0;
	for (; wants > 0; wants--) {
		uint32_t first = n;

		for (uint32_t i = 0; i < n; i++) {
			if (a->since[i] != 0 && !served[i] &&
			    (first == n || goes_before(a, i, first)))
				first = i;
		}
		served[first] = true;
		serve(sh, a, first, now);
	}
	g_free(served);
}

static void
take_ask(struct ogl_shard *sh, const Ogl__AllotAsk *q, ogl_time now)
{
	struct account *a;

	if (q->shard >= sh->env->cfg->shards ||
	    bank_of(sh, q->team) != sh->index)
		return;
	a = account_get(sh, q->team);
	if (q->epoch < a->epoch[q->shard])
		return; /* from an owner that is no more */
	a->epoch[q->shard] = q->epoch;
	if (q->seq == 0) {
		set_want(a, q->shard, q->want_ppm, now);
		serve_all(sh, a, now);
		tell(sh, a, q->shard);
		return;
	}
	if (q->seq != a->asked[q->shard])
		return;
	a->asked[q->shard] = 0;
	if (q->known && q->held_ppm < a->ppm[q->shard])
		a->ppm[q->shard] = q->held_ppm;
	else if (!q->known)
		tell(sh, a, q->shard);
	serve_all(sh, a, now);
}

void
ogl_escrow_msg(struct ogl_shard *sh, const Ogl__PeerMsg *msg, ogl_time now)
{
	if (msg->body_case == OGL__PEER_MSG__BODY_ALLOT_ASK)
		take_ask(sh, msg->allot_ask, now);
	else if (msg->body_case == OGL__PEER_MSG__BODY_ALLOT_GIVE)
		take_give(sh, msg->allot_give);
}

void
ogl_escrow_tick(struct ogl_shard *sh, ogl_time now)
{
	if (now < sh->escrow->next)
		return;
	sh->escrow->next = now + TICK_MS * OGL_MS;
	ask_for_more(sh, now);
}

ogl_time
ogl_escrow_next(const struct ogl_shard *sh)
{
	return sh->escrow->next;
}
