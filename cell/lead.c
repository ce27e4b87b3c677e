/*
 * A claim is appended to the shard's claims on the condition that they still
 * end where the claimant knows them to; so of several claims after the same
 * one only one lands.  Its offset + 1 is the epoch, which no other claim of
 * the shard can have, and which the owner's records on the store and its
 * orders to workers bear.  It is also the offset that the next claim has to
 * name, so nothing needs to be read before claiming.
 *
 * An owner appends a heartbeat each BEAT to the ownership stream of the whole
 * cell, the first as soon as it has won.  Everybody reads that stream with a
 * wait.  A node that hears nothing of an owner for SILENCE, although its reads
 * are answered, knows that the owner does not reach the store, and claims.
 * Where the store itself is away nobody's reads are answered, no silence is
 * counted and the owners stay: none can have been replaced.  A node cut off
 * alone counts no silence either.
 *
 * One ownership stream for all shards keeps the reads of a node as many as
 * they are with one shard; claims have streams of their own, as a condition on
 * the common one would fail whenever any owner's heartbeat came in between.
 *
 * Answers to heartbeats get lost: one that is overdue is repeated soon, and an
 * owner without any answer to them still counts as able while its reads are
 * answered.  Where the store loses the answers of all, another owner would fare
 * no better, and each move costs the time of a takeover.
 *
 * An owner reads along: a later epoch than its own ends its ownership.  Until
 * it reads that, its orders are refused by every worker that the new owner has
 * called, and the new owner starts nothing that may run elsewhere before all
 * have answered it (owner.c).  A worker that restarts forgets who has called it,
 * so before an owner starts anything in a worker's new life it reads the stream
 * once more; that tells, as a new owner calls no worker before its first
 * heartbeat is on the stream.
 */

#include <string.h>

#include "lead.h"

/* Three beats fit into the silence that ends an ownership, so that one lost
 * or slow append does not. */
#define BEAT (400 * OGL_MS)
#define SILENCE (1300 * OGL_MS)
/* If besides nothing listens at the owner's address, or it answers no pings, its
 * process has ended or its machine gone (or a cut looks like it): one missed
 * beat is enough then. */
#define SILENCE_DEAD (650 * OGL_MS)
/* A beat without an answer for so long, or several times what the last one took,
 * is repeated. */
#define BEAT_OVERDUE (150 * OGL_MS)
#define BEAT_OVERDUE_TIMES 4
/* An owner that has had no answer of the store for so long says so to its
 * peers. */
#define ABLE_MAX (750 * OGL_MS)
/* More where the jobs that it reads when it takes over keep its link busy for
 * longer: answers to its heartbeats wait behind them. */
#define ABLE_MORE_KBITS 4000
#define ABLE_MORE_MAX (2 * OGL_SEC)
/* When its last answered read is older, an owner reads beside its beats. */
#define READ_PROOF_AFTER (350 * OGL_MS)
/* So long after an outage of its own a node gives no owner up for want of
 * answers: when the store is back for all, an owner needs a moment to say so. */
#define DOUBT_AFTER (500 * OGL_MS)
/* An outage is so long without an answered read, and with reads that failed. */
#define OUTAGE_MIN (500 * OGL_MS)
/* Claimants spread over this time: most read of the first claim before they
 * would append theirs. */
#define SPREAD_MS 150
/* A machine of half a core or more claims without delay, one of half of that
 * LATE_MS later, and so on. */
#define STRONG 400
#define LATE_MS 100
#define LATE_MAX_MS 600
/* A node leaves shards that are not first its own to others for so long, and
 * as much again for each shard that it owns: one each is best. */
#define OTHERS_MS 200
#define READ_WAIT_MS 1000
#define READ_TIMEOUT_MS 2200
/* Between two reads when there are several owners, each of whose beats would
 * end a read: 300 nodes with 8 owners would read 6,000 times a second.  Not
 * while a shard is vacant. */
#define READ_GAP (250 * OGL_MS)
#define APPEND_TIMEOUT_MS 900
#define BEATS_MAX 6
#define RETRY (150 * OGL_MS)
/* An owner that has not reached the store for so long can't rule out that it
 * was replaced; outages of the store are shorter. */
#define ACT_MAX (12 * OGL_SEC)
/* After resigning because it is in trouble, a node lets the others claim. */
#define RESIGN_REST (8 * OGL_SEC)
/* Reads are "answered" while the last good one is no older than this. */
#define READS_FRESH (1800 * OGL_MS)
#define PROBE_TIMEOUT_MS 600
#define PROBE_GAP (20 * OGL_MS)
#define LEAD_KEY "lead"
#define PLAN_KEY "shards"
#define CLAIM_KEY "claim"
#define KEY_BYTES 24

/* The ownership of one shard. */
struct seat {
	struct cell_lead *lead;
	uint32_t shard;
	uint64_t epoch;      /* highest known; where the claims end */
	uint64_t vacated;    /* epoch whose owner has resigned */
	uint64_t told_epoch; /* that the last change was told with */
	char *owner;         /* address; NULL: vacant or never claimed */
	bool own;
	ogl_time last_news; /* of the owner, or of a failed read */

	uint64_t doubted; /* epoch whose owner may be unable, 0 none */
	bool reading;     /* its claims */
	bool claiming;
	ogl_time claim_sent;
	ogl_time claim_at; /* OGL_NEVER unless planned */
	ogl_time rest_until;
	unsigned beats; /* appends under way */
	bool announced; /* a heartbeat of this ownership was taken */
	ogl_time beat_at;
	ogl_time beat_took; /* by the last one that was answered */
	ogl_time beat_ok;   /* last beat taken, or the winning of ownership */
	bool beat_refused;  /* the last answer was a refusal */
	ogl_time dead_hint; /* last sign that the owner's process has ended */
};

struct cell_lead {
	const struct cell_ops *ops;
	struct cell_lead_events events;
	char *node;
	char *addr;
	uint64_t boot;
	int32_t late_ms; /* of its claims, for a weak machine */
	ogl_time able_max;
	GRand *rand;

	bool loaded; /* the newest records were read */
	bool reading;
	bool newest_next; /* read the newest records instead of the tail */
	ogl_time read_sent;
	ogl_time read_at; /* next read not before */
	uint64_t next;    /* offset to read from */
	ogl_time last_read_ok;
	bool read_missed;        /* one has failed since */
	ogl_time outage_over_at; /* first answer after the last outage */
	ogl_time confirmed_at;   /* sending of the last good read */
	bool probing;
	ogl_time probe_sent;

	bool planning; /* the plan's append is under way */
	uint32_t shards;
	struct seat *seats;
	ogl_time took; /* by the last claim at the store */
	bool retired;
};

/*
 * An owner decides for a whole shard, so the strongest machines should win:
 * the weaker one is, the later it claims.  On a mixed cell, owners of an
 * eighth of a core took 1 to 10 s to read the jobs, and served a tenth.
 */
static int32_t
lateness(uint32_t strength)
{
	double ms;

	if (strength == 0 || strength >= STRONG)
		return 0;
	ms = ((double)STRONG / strength - 1) * LATE_MS;
	return (int32_t)MIN(ms, LATE_MAX_MS);
}

static ogl_time
able_for(uint32_t link_kbps)
{
	ogl_time more = 0;

	if (link_kbps > 0)
		more = (ogl_time)ABLE_MORE_KBITS * OGL_SEC / link_kbps;
	return ABLE_MAX + MIN(more, ABLE_MORE_MAX);
}

struct cell_lead *
cell_lead_init(const struct cell_ops *ops,
    const struct cell_lead_events *events, const struct cell_lead_self *self,
    uint64_t seed)
{
	struct cell_lead *l = g_new0(struct cell_lead, 1);

	l->ops = ops;
	l->events = *events;
	l->node = g_strdup(self->node);
	l->addr = g_strdup(self->addr);
	l->boot = self->boot;
	l->late_ms = lateness(self->strength);
	l->able_max = able_for(self->link_kbps);
	l->rand = g_rand_new_with_seed((guint32)(seed ^ seed >> 32));
	l->newest_next = true;
	l->last_read_ok = CELL_LONG_AGO;
	l->confirmed_at = CELL_LONG_AGO;
	return l;
}

void
cell_lead_end(struct cell_lead *l)
{
	uint32_t i;

	for (i = 0; i < l->shards; i++)
		g_free(l->seats[i].owner);
	g_free(l->seats);
	g_rand_free(l->rand);
	g_free(l->node);
	g_free(l->addr);
	g_free(l);
}

/* ---- the plan --------------------------------------------------------- */

static void
make_seats(struct cell_lead *l, uint32_t shards, ogl_time now)
{
	uint32_t i;

	l->shards = shards;
	l->seats = g_new0(struct seat, shards);
	for (i = 0; i < shards; i++) {
		struct seat *s = &l->seats[i];

		s->lead = l;
		s->shard = i;
		s->claim_at = OGL_NEVER;
		s->dead_hint = CELL_LONG_AGO;
		s->last_news = now;
	}
	l->events.planned(l->events.arg, shards, now);
}

static void
take_plan(struct cell_lead *l, const struct cell_record *r, ogl_time now)
{
	Ogl__CellPlan *m = ogl__cell_plan__unpack(
	    NULL, r->value.n, (const uint8_t *)r->value.p);
	char text[48];

	if (m == NULL || m->shards == 0 || m->shards > CELL_SHARDS_MAX) {
		l->ops->log(l->ops->ctx, "lead", "record_unreadable", PLAN_KEY);
	} else if (l->shards == 0) {
		g_snprintf(text, sizeof text, "shards=%u", m->shards);
		l->ops->log(l->ops->ctx, "lead", "planned", text);
		make_seats(l, m->shards, now);
	}
	if (m != NULL)
		ogl__cell_plan__free_unpacked(m, NULL);
}

/* ---- what the records say --------------------------------------------- */

static void
log_owner(struct seat *s, const char *event, const char *addr)
{
	const struct cell_ops *ops = s->lead->ops;
	char text[160];

	g_snprintf(text, sizeof text,
	    "owner=%s epoch=%" G_GUINT64_FORMAT " shard=%u",
	    addr != NULL ? addr : "none", s->epoch, s->shard);
	ops->log(ops->ctx, "lead", event, text);
}

static void
step_down(struct seat *s, ogl_time now)
{
	if (!s->own)
		return;
	s->own = false;
	log_owner(s, "ownership_lost", s->owner);
	s->lead->events.lost(s->lead->events.arg, s->shard, now);
}

static void
set_owner(struct seat *s, const char *addr, ogl_time now)
{
	/* The same node may own the shard again, in another epoch. */
	if (g_strcmp0(s->owner, addr) == 0 && s->told_epoch == s->epoch)
		return;
	s->told_epoch = s->epoch;
	g_free(s->owner);
	s->owner = g_strdup(addr);
	log_owner(s, "owner_changed", addr);
	s->lead->events.changed(s->lead->events.arg, s->shard, s->owner, now);
}

/* The owner was this node before it started anew: nobody owns the shard. */
static bool
earlier_life(const struct cell_lead *l, const Ogl__CellLead *m)
{
	return strcmp(m->addr, l->addr) == 0 && m->boot != l->boot;
}

/* One shard a node is best: what it has planned to claim besides waits. */
static void
claim_others_later(struct cell_lead *l)
{
	uint32_t i;

	for (i = 0; i < l->shards; i++) {
		if (l->seats[i].claim_at != OGL_NEVER)
			l->seats[i].claim_at += OTHERS_MS * OGL_MS;
	}
}

static void
take_claim(struct seat *s, const Ogl__CellLead *m, uint64_t epoch, ogl_time now)
{
	struct cell_lead *l = s->lead;
	bool mine = strcmp(m->node, l->node) == 0 && m->boot == l->boot;

	if (epoch <= s->epoch)
		return;
	step_down(s, now);
	s->epoch = epoch;
	s->last_news = now;
	s->claim_at = OGL_NEVER;
	if (!mine) {
		set_owner(s, earlier_life(l, m) ? NULL : m->addr, now);
		return;
	}
	if (l->retired)
		return; /* the silence that follows lets others claim */
	s->own = true;
	s->announced = false;
	s->beat_at = now;
	s->beat_ok = now;
	s->beat_refused = false;
	claim_others_later(l);
	set_owner(s, l->addr, now);
	log_owner(s, "ownership_won", l->addr);
	l->events.won(l->events.arg, s->shard, epoch, now);
}

/* A heartbeat or resignation counts only for the epoch it was made in. */
static void
take_beat(struct seat *s, const Ogl__CellLead *m, ogl_time now)
{
	/* A beat may have been on its way when its sender resigned. */
	if (m->epoch < s->epoch || m->epoch == s->vacated)
		return;
	if (m->epoch > s->epoch) {
		step_down(s, now);
		s->epoch = m->epoch;
	}
	s->last_news = now;
	s->doubted = 0;
	if (!m->vacant) {
		s->claim_at = OGL_NEVER;
		if (!s->own)
			set_owner(
			    s, earlier_life(s->lead, m) ? NULL : m->addr, now);
		return;
	}
	s->vacated = m->epoch;
	step_down(s, now);
	set_owner(s, NULL, now);
}

static Ogl__CellLead *
unpack(struct cell_lead *l, const struct cell_record *r)
{
	Ogl__CellLead *m = ogl__cell_lead__unpack(
	    NULL, r->value.n, (const uint8_t *)r->value.p);

	if (m == NULL)
		l->ops->log(l->ops->ctx, "lead", "record_unreadable", r->key);
	return m;
}

static void
take_record(struct cell_lead *l, const struct cell_record *r, ogl_time now)
{
	Ogl__CellLead *m;

	if (r->dropped)
		return;
	if (strcmp(r->key, PLAN_KEY) == 0) {
		take_plan(l, r, now);
		return;
	}
	m = unpack(l, r);
	if (m == NULL)
		return;
	if (!m->claim && m->shard < l->shards)
		take_beat(&l->seats[m->shard], m, now);
	ogl__cell_lead__free_unpacked(m, NULL);
}

/* ---- reading ---------------------------------------------------------- */

static void
read_failed(struct cell_lead *l, ogl_time now)
{
	uint32_t i;

	l->read_at = now + RETRY;
	l->read_missed = true;
	for (i = 0; i < l->shards; i++) {
		l->seats[i].last_news = now;
		l->seats[i].claim_at = OGL_NEVER;
	}
}

static bool
any_vacant(const struct cell_lead *l)
{
	uint32_t i;

	for (i = 0; i < l->shards; i++) {
		if (l->seats[i].owner == NULL)
			return true;
	}
	return false;
}

static void
read_answered(struct cell_lead *l, ogl_time now)
{
	if (l->read_missed && now - l->last_read_ok > OUTAGE_MIN)
		l->outage_over_at = now;
	l->read_missed = false;
	l->last_read_ok = now;
}

static void
read_succeeded(struct cell_lead *l, ogl_time now)
{
	l->confirmed_at = MAX(l->confirmed_at, l->read_sent);
	read_answered(l, now);
	l->read_at = now;
	if (l->shards > 1 && !any_vacant(l))
		l->read_at = l->read_sent + READ_GAP;
}

static void
take_tail(struct cell_lead *l, const struct cell_read_answer *a, ogl_time now)
{
	size_t i;

	for (i = 0; i < a->n; i++) {
		if (a->records[i].offset < l->next)
			continue; /* another read was faster */
		take_record(l, &a->records[i], now);
		l->next = a->records[i].offset + 1;
	}
}

/* The store answers this node, and an owner in doubt has said nothing more. */
static void
settle_doubts(struct cell_lead *l, ogl_time now)
{
	bool alone = now - l->outage_over_at >= DOUBT_AFTER;
	uint32_t i;

	for (i = 0; i < l->shards; i++) {
		struct seat *s = &l->seats[i];

		if (alone && s->doubted != 0 && s->doubted == s->epoch &&
		    !s->own && s->owner != NULL) {
			log_owner(s, "owner_unable", s->owner);
			set_owner(s, NULL, now);
		}
		s->doubted = 0;
	}
}

static void
on_read(void *arg, const struct cell_read_answer *a, ogl_time now)
{
	struct cell_lead *l = arg;

	l->reading = false;
	if (a->io != OGL_IO_OK) {
		read_failed(l, now);
		return;
	}
	if (a->trimmed) {
		l->newest_next = true;
		l->read_at = now;
		return;
	}
	take_tail(l, a, now);
	read_succeeded(l, now);
}

/* A read that does not wait, to know for certain who owns what now. */
static void
on_probe(void *arg, const struct cell_read_answer *a, ogl_time now)
{
	struct cell_lead *l = arg;

	l->probing = false;
	if (a->io != OGL_IO_OK)
		l->read_missed = true;
	if (a->io != OGL_IO_OK || a->trimmed)
		return;
	read_answered(l, now);
	take_tail(l, a, now);
	l->confirmed_at = MAX(l->confirmed_at, l->probe_sent);
	settle_doubts(l, now);
}

void
cell_lead_probe(struct cell_lead *l, ogl_time now)
{
	struct cell_read r = {.stream = CELL_LEAD,
	    .from = l->next,
	    .timeout_ms = PROBE_TIMEOUT_MS};

	if (l->probing || !l->loaded || now < l->probe_sent + PROBE_GAP)
		return;
	l->probing = true;
	l->probe_sent = now;
	l->ops->read(l->ops->outside, &r, on_probe, l);
}

/* The plan is written first and may stand behind others in the page. */
static void
on_newest(void *arg, const struct cell_newest_answer *a, ogl_time now)
{
	struct cell_lead *l = arg;
	size_t i;

	l->reading = false;
	if (a->io != OGL_IO_OK) {
		read_failed(l, now);
		return;
	}
	l->loaded = true;
	l->newest_next = false;
	for (i = 0; i < a->n; i++) {
		if (strcmp(a->records[i].key, PLAN_KEY) == 0)
			take_record(l, &a->records[i], now);
	}
	for (i = 0; i < a->n; i++)
		take_record(l, &a->records[i], now);
	l->next = a->end;
	read_succeeded(l, now);
}

static void
read_on(struct cell_lead *l, ogl_time now)
{
	struct cell_read r = {.stream = CELL_LEAD,
	    .from = l->next,
	    .wait_ms = READ_WAIT_MS,
	    .timeout_ms = READ_TIMEOUT_MS};
	struct cell_newest q = {
	    .stream = CELL_LEAD, .timeout_ms = READ_TIMEOUT_MS};

	if (l->reading || now < l->read_at)
		return;
	l->reading = true;
	l->read_sent = now;
	if (l->newest_next)
		l->ops->newest(l->ops->outside, &q, on_newest, l);
	else
		l->ops->read(l->ops->outside, &r, on_read, l);
}

/* ---- the claims of a shard -------------------------------------------- */

static void
take_claims(
    struct seat *s, const struct cell_record *records, size_t n, ogl_time now)
{
	size_t i;

	for (i = 0; i < n; i++) {
		const struct cell_record *r = &records[i];
		Ogl__CellLead *m = r->dropped ? NULL : unpack(s->lead, r);

		if (m == NULL)
			continue;
		take_claim(s, m, r->offset + 1, now);
		ogl__cell_lead__free_unpacked(m, NULL);
	}
}

static void
on_newest_claim(void *arg, const struct cell_newest_answer *a, ogl_time now)
{
	struct seat *s = arg;

	s->reading = false;
	if (a->io == OGL_IO_OK)
		take_claims(s, a->records, a->n, now);
}

/* What came after the last claim known is not retained any more. */
static void
read_newest_claim(struct seat *s)
{
	struct cell_newest q = {.stream = CELL_CLAIMS,
	    .shard = s->shard,
	    .timeout_ms = PROBE_TIMEOUT_MS};

	s->reading = true;
	s->lead->ops->newest(s->lead->ops->outside, &q, on_newest_claim, s);
}

static void
on_claims(void *arg, const struct cell_read_answer *a, ogl_time now)
{
	struct seat *s = arg;

	s->reading = false;
	if (a->io != OGL_IO_OK)
		return;
	if (a->trimmed)
		read_newest_claim(s);
	else
		take_claims(s, a->records, a->n, now);
}

/* Reads whoever claimed after the last claim known. */
static void
read_claims(struct seat *s)
{
	struct cell_lead *l = s->lead;
	struct cell_read r = {.stream = CELL_CLAIMS,
	    .shard = s->shard,
	    .from = s->epoch,
	    .timeout_ms = PROBE_TIMEOUT_MS};

	if (s->reading)
		return;
	s->reading = true;
	l->ops->read(l->ops->outside, &r, on_claims, s);
}

/* ---- writing ---------------------------------------------------------- */

static void
append(struct seat *s, Ogl__CellLead *m, cell_append_fn *done, void *arg)
{
	struct cell_lead *l = s->lead;
	char key[KEY_BYTES];
	struct cell_put put = {key, NULL};
	struct cell_append a = {.stream = m->claim ? CELL_CLAIMS : CELL_LEAD,
	    .shard = m->claim ? s->shard : 0,
	    .at = m->claim ? (int64_t)s->epoch : -1,
	    .puts = &put,
	    .nputs = 1,
	    .timeout_ms = APPEND_TIMEOUT_MS};
	size_t n;
	uint8_t *p;

	if (m->claim)
		g_strlcpy(key, CLAIM_KEY, sizeof key);
	else
		g_snprintf(key, sizeof key, LEAD_KEY ".%u", s->shard);
	m->node = l->node;
	m->addr = l->addr;
	m->boot = l->boot;
	m->shard = s->shard;
	n = ogl__cell_lead__get_packed_size(m);
	p = g_malloc(n);
	ogl__cell_lead__pack(m, p);
	put.value = g_bytes_new_take(p, n);
	l->ops->append(l->ops->outside, &a, done, arg);
	g_bytes_unref(put.value);
}

/* A heartbeat under way. */
struct beat {
	struct seat *seat;
	uint64_t epoch;
	ogl_time sent;
};

/* However often a beat was repeated, the next is due after the usual time. */
static void
take_answer(struct seat *s, const struct beat *b, enum ogl_io io, ogl_time now)
{
	s->beat_refused = io == OGL_IO_REFUSED;
	if (io == OGL_IO_LOST)
		return;
	s->beat_at = MAX(s->beat_at, b->sent + BEAT);
	s->beat_took = now - b->sent;
	if (io != OGL_IO_OK)
		return;
	s->beat_ok = now;
	s->announced = true;
}

static void
on_beat(void *arg, const struct cell_append_answer *a, ogl_time now)
{
	struct beat *b = arg;
	struct seat *s = b->seat;

	s->beats--;
	if (a->io != OGL_IO_OK)
		s->lead->ops->count(s->lead->ops->ctx, "beats_failed", 1);
	if (b->epoch == s->epoch)
		take_answer(s, b, a->io, now);
	g_free(b);
}

static void
send_beat(struct seat *s, bool vacant, ogl_time now)
{
	Ogl__CellLead m = OGL__CELL_LEAD__INIT;
	struct beat *b = g_new(struct beat, 1);

	m.epoch = s->epoch;
	m.vacant = vacant;
	b->seat = s;
	b->epoch = s->epoch;
	b->sent = now;
	s->beats++;
	append(s, &m, on_beat, b);
}

/* A claim that was refused, or whose answer is lost, is settled by reading the
 * claims: whoever stands there owns the shard, be it this node. */
static void
on_claim(void *arg, const struct cell_append_answer *a, ogl_time now)
{
	struct seat *s = arg;
	struct cell_lead *l = s->lead;
	Ogl__CellLead m = OGL__CELL_LEAD__INIT;

	s->claiming = false;
	if (a->io != OGL_IO_OK) {
		log_owner(s, a->moved ? "claim_late" : "claim_failed", l->addr);
		if (a->moved || a->io == OGL_IO_LOST)
			read_claims(s);
		return;
	}
	l->took = now - s->claim_sent;
	m.node = l->node;
	m.addr = l->addr;
	m.boot = l->boot;
	take_claim(s, &m, a->offset + 1, now);
}

static void
claim(struct seat *s, ogl_time now)
{
	Ogl__CellLead m = OGL__CELL_LEAD__INIT;

	m.claim = true;
	s->claiming = true;
	s->claim_sent = now;
	s->claim_at = OGL_NEVER;
	append(s, &m, on_claim, s);
}

/* Several beats may be under way: answers get lost. */
static void
beat(struct seat *s, ogl_time now)
{
	ogl_time overdue =
	    CLAMP(s->beat_took * BEAT_OVERDUE_TIMES, BEAT_OVERDUE, BEAT);

	if (!s->own)
		return;
	if (now - s->beat_ok > READ_PROOF_AFTER &&
	    now - s->lead->last_read_ok > READ_PROOF_AFTER)
		cell_lead_probe(s->lead, now);
	if (now < s->beat_at || s->beats >= BEATS_MAX)
		return;
	s->beat_at = now + overdue;
	send_beat(s, false, now);
}

/* How much later than others this node claims the shard. */
static int32_t
claim_delay(const struct seat *s)
{
	struct cell_lead *l = s->lead;
	int32_t ms = l->late_ms + g_rand_int_range(l->rand, 0, SPREAD_MS) +
		     (int32_t)cell_lead_owned(l) * OTHERS_MS;

	if (cell_shard_of_node(l->addr, l->shards) != s->shard)
		ms += OTHERS_MS;
	return ms;
}

/* Whether the stream was read after the owner should have been heard of again.
 * A read that just is not answered yet tells nothing. */
static bool
silent(struct seat *s, ogl_time now)
{
	struct cell_lead *l = s->lead;
	bool dead = now - s->dead_hint < SILENCE_DEAD;
	ogl_time due = s->last_news + (dead ? SILENCE_DEAD : SILENCE);

	if (now <= due)
		return false;
	if (l->confirmed_at > due)
		return true;
	cell_lead_probe(l, now);
	return false;
}

/* Plans a claim when nobody owns the shard, or its owner is silent. */
static void
watch(struct seat *s, ogl_time now)
{
	bool vacant = s->owner == NULL || s->epoch == 0;

	if (s->own || s->claiming || s->reading || now < s->rest_until ||
	    s->claim_at != OGL_NEVER)
		return;
	if (!cell_lead_reads(s->lead, now))
		return;
	if (!vacant && !silent(s, now))
		return;
	if (!vacant)
		log_owner(s, "owner_silent", s->owner);
	s->claim_at = now + claim_delay(s) * OGL_MS;
}

static void
step_seat(struct seat *s, ogl_time now)
{
	beat(s, now);
	if (s->lead->retired)
		return;
	watch(s, now);
	if (s->claim_at <= now && !s->claiming)
		claim(s, now);
}

void
cell_lead_step(struct cell_lead *l, ogl_time now)
{
	uint32_t i;

	read_on(l, now);
	for (i = 0; i < l->shards; i++)
		step_seat(&l->seats[i], now);
}

bool
cell_lead_unplanned(const struct cell_lead *l)
{
	return l->loaded && l->shards == 0 && !l->planning;
}

static void
on_plan(void *arg, const struct cell_append_answer *a, ogl_time now)
{
	struct cell_lead *l = arg;

	(void)a;
	(void)now;
	l->planning = false; /* what stands is read like everything else */
}

void
cell_lead_plan(struct cell_lead *l, uint32_t shards)
{
	Ogl__CellPlan m = OGL__CELL_PLAN__INIT;
	char key[] = PLAN_KEY;
	struct cell_put put = {key, NULL};
	struct cell_append a = {.stream = CELL_LEAD,
	    .at = (int64_t)l->next,
	    .puts = &put,
	    .nputs = 1,
	    .timeout_ms = APPEND_TIMEOUT_MS};
	size_t n;
	uint8_t *p;

	m.shards = shards;
	n = ogl__cell_plan__get_packed_size(&m);
	p = g_malloc(n);
	ogl__cell_plan__pack(&m, p);
	put.value = g_bytes_new_take(p, n);
	l->planning = true;
	l->ops->append(l->ops->outside, &a, on_plan, l);
	g_bytes_unref(put.value);
}

/* ---- giving up -------------------------------------------------------- */

void
cell_lead_resign(struct cell_lead *l, uint32_t shard, ogl_time now)
{
	struct seat *s = &l->seats[shard];

	s->rest_until = now + RESIGN_REST;
	s->claim_at = OGL_NEVER;
	if (!s->own)
		return;
	send_beat(s, true, now);
	step_down(s, now);
	set_owner(s, NULL, now);
}

void
cell_lead_retire(struct cell_lead *l)
{
	l->retired = true;
}

void
cell_lead_claim(struct cell_lead *l, uint32_t shard, ogl_time now)
{
	struct seat *s = &l->seats[shard];

	if (!l->retired && !s->own && !s->claiming)
		claim(s, now);
}

void
cell_lead_outranked(struct cell_lead *l, uint32_t shard, ogl_time now)
{
	struct seat *s = &l->seats[shard];

	if (!s->own)
		return;
	step_down(s, now);
	set_owner(s, NULL, now);
	s->last_news = now;
	s->rest_until = now + SILENCE;
	read_claims(s);
}

void
cell_lead_doubt(
    struct cell_lead *l, uint32_t shard, uint64_t epoch, ogl_time now)
{
	struct seat *s = &l->seats[shard];

	if (s->own || epoch < s->epoch || s->owner == NULL)
		return;
	/*
	 * Whether the store is away for the owner alone only a read that is
	 * answered now can tell.  By an older one all nodes gave up an owner
	 * that went on working while the store was away for everybody, and
	 * refused its callers.
	 */
	s->doubted = s->epoch;
	cell_lead_probe(l, now);
}

/*
 * A node that the store turns away does not read of a new owner, nor does an
 * owner in the same case.  Their peers tell them; else they passed calls to the
 * old owner, which could take none, for as long as it lasted.
 */
void
cell_lead_hear(struct cell_lead *l, uint32_t shard, uint64_t epoch,
    const char *addr, ogl_time now)
{
	struct seat *s = &l->seats[shard];

	if (epoch <= s->epoch)
		return;
	/* Its claim was taken and the answer lost, or it is a claim of an
	 * earlier life: the claims tell. */
	if (strcmp(addr, l->addr) == 0) {
		read_claims(s);
		return;
	}
	step_down(s, now);
	s->epoch = epoch;
	s->last_news = now;
	s->doubted = 0;
	s->claim_at = OGL_NEVER;
	set_owner(s, addr, now);
}

/*
 * The owner's heartbeats may all be late, as their answers are.  A node that it
 * tells of itself need not wait for them: whether it is still the owner the store
 * decides, whenever somebody claims.
 */
void
cell_lead_heard(
    struct cell_lead *l, uint32_t shard, uint64_t epoch, ogl_time now)
{
	struct seat *s = &l->seats[shard];

	if (s->own || epoch != s->epoch || s->owner == NULL)
		return;
	s->last_news = now;
	s->doubted = 0;
	s->claim_at = OGL_NEVER;
}

void
cell_lead_hint_dead(struct cell_lead *l, uint32_t shard, ogl_time now)
{
	l->seats[shard].dead_hint = now;
}

/* ---- what is known ---------------------------------------------------- */

uint32_t
cell_lead_shards(const struct cell_lead *l)
{
	return l->shards;
}

uint32_t
cell_lead_owned(const struct cell_lead *l)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < l->shards; i++)
		n += l->seats[i].own;
	return n;
}

bool
cell_lead_able(const struct cell_lead *l, uint32_t shard, ogl_time now)
{
	const struct seat *s = &l->seats[shard];
	ogl_time ok = s->beat_ok;

	if (!s->beat_refused)
		ok = MAX(ok, l->last_read_ok);
	return s->own && now - ok < l->able_max;
}

bool
cell_lead_is_owner(const struct cell_lead *l, uint32_t shard)
{
	return l->seats[shard].own;
}

uint64_t
cell_lead_epoch(const struct cell_lead *l, uint32_t shard)
{
	return l->seats[shard].epoch;
}

const char *
cell_lead_addr(const struct cell_lead *l, uint32_t shard)
{
	return l->seats[shard].owner;
}

bool
cell_lead_may_act(const struct cell_lead *l, uint32_t shard, ogl_time now)
{
	return l->seats[shard].own && now - l->confirmed_at < ACT_MAX;
}

ogl_time
cell_lead_confirmed(const struct cell_lead *l)
{
	return l->confirmed_at;
}

bool
cell_lead_announced(const struct cell_lead *l, uint32_t shard)
{
	return l->seats[shard].own && l->seats[shard].announced;
}

bool
cell_lead_reads(const struct cell_lead *l, ogl_time now)
{
	return now - l->last_read_ok < READS_FRESH;
}

ogl_time
cell_lead_store_took(const struct cell_lead *l)
{
	return l->took;
}

ogl_time
cell_lead_beat_took(const struct cell_lead *l, uint32_t shard)
{
	return l->seats[shard].beat_took;
}
