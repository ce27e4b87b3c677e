/*
 * Elects the owner of each shard by records in streams of the store.
 *
 * A claim is appended to the claims stream of the shard on the condition that
 * the stream still ends at the offset the claimant knows, so of several claims
 * after the same record only one succeeds.  The epoch of the new owner is the
 * claim's offset + 1, which is unique among the claims of the shard.  The owner
 * puts it into its records on the store and its orders to workers.  The offset
 * that the next claim has to name is equal to the epoch, so a claimant that
 * knows the epoch does not have to read the claims first.
 *
 * An owner appends a heartbeat to the ownership stream of the whole cell every
 * HEARTBEAT_INTERVAL, the first as soon as it has won.  All nodes read that
 * stream with long polls.  A node that sees no heartbeat of an owner for
 * HEARTBEAT_TIMEOUT while its own reads are answered concludes that the owner
 * does not reach the store, and claims.  While the store is down for all, no
 * reads are answered, no timeout runs, and the owners stay, since none can have
 * been replaced.  A node that is cut off alone does not run the timeout either.
 *
 * Most nodes are quiet: the owner of their preferred shard answers their pings,
 * and its answers tell who the other owners are.  A quiet node reads the stream
 * only now and then, so that the cost for the store does not grow with the
 * number of nodes.  When the answers cease, it reads the stream as any other
 * node, and claims.  Owners are never quiet.
 *
 * A single ownership stream for all shards keeps the number of reads per node
 * independent of the number of shards.  Claims need streams of their own: on
 * the common stream their condition would fail whenever a heartbeat of any
 * owner came in between.
 *
 * Answers to heartbeats can get lost.  A heartbeat whose answer is overdue is
 * repeated soon, and an owner without any such answer still counts as able
 * while its reads are answered.  If the store loses the answers of all nodes,
 * another owner would do no better, and each change of owner costs the time of
 * a takeover.
 *
 * An owner also reads the ownership stream, and a later epoch than its own ends
 * its ownership.  Until it has read that epoch, every worker that the new owner
 * has called refuses its orders, and the new owner starts nothing that may be
 * running elsewhere before all workers have answered it (owner.c).  A worker
 * that restarts forgets which owner has called it, so an owner reads the stream
 * once more before it starts anything on a restarted worker.  That read shows
 * any new owner, because a new owner calls no worker before its first heartbeat
 * is on the stream.
 */

#include <string.h>

#include "lead.h"

/* The timeout spans three heartbeats, so that one lost or slow append does not
 * end an ownership. */
#define HEARTBEAT_INTERVAL (400 * OGL_MS)
#define HEARTBEAT_TIMEOUT (1300 * OGL_MS)
/* Timeout for an owner whose address refuses connections or that does not
 * answer pings.  Its process, machine or network has probably failed, so one
 * missed heartbeat is enough. */
#define HEARTBEAT_TIMEOUT_DEAD (650 * OGL_MS)
/* A heartbeat is repeated when its answer takes longer than this multiple of
 * the time that the last one took; at least HEARTBEAT_OVERDUE_MIN and at most
 * HEARTBEAT_INTERVAL. */
#define HEARTBEAT_OVERDUE_FACTOR 4
#define HEARTBEAT_OVERDUE_MIN (150 * OGL_MS)
/* An owner that has had no answer from the store for this long reports to its
 * peers that it is not able to act as the owner. */
#define ABLE_TIMEOUT (750 * OGL_MS)
/* On a slow link, answers to heartbeats wait behind the jobs that a new owner
 * reads.  The time that the link needs for this many kilobits is added to
 * ABLE_TIMEOUT. */
#define ABLE_EXTRA_KBITS 4000
#define ABLE_EXTRA_MAX (2 * OGL_SEC)
/* An owner whose last stored heartbeat and last answered read are both older
 * than this probes the store. */
#define PROBE_SILENCE_MIN (350 * OGL_MS)
/* For this long after an outage of its own, a node does not give up an owner
 * that reported trouble: when the store returns for all nodes, the owner needs
 * a moment to report that it reaches the store again. */
#define OUTAGE_GRACE (500 * OGL_MS)
/* A period of at least this length in which reads failed and none was answered
 * is an outage. */
#define OUTAGE_MIN (500 * OGL_MS)
/* Each claim gets a random delay below this, so that most nodes read the first
 * claim before their own is due, and do not send it. */
#define CLAIM_JITTER_MS 150
/* Processor capacity from which a machine claims without delay, in thousandths
 * of a core.  A machine with half of it claims WEAK_DELAY_MS later, one with a
 * third of it twice WEAK_DELAY_MS later, and so on. */
#define NO_DELAY_CPU_MILLI 400
#define WEAK_DELAY_MS 100
#define WEAK_DELAY_MAX_MS 600
/* A claim is delayed by this much for a shard that is not the node's preferred
 * one, and again for each shard that the node owns, as one shard per node is
 * best. */
#define OTHER_SHARD_DELAY_MS 200
/* Further delays of the first claims of a shard: those of nodes that prefer it
 * and are strong have to be read by the others before these claim. */
#define FIRST_OTHER_DELAY_MS 250
#define FIRST_WEAK_DELAY_MS 600
#define READ_WAIT_MS 1000
#define READ_TIMEOUT_MS 2200
/* Minimum time between the starts of two reads if there are several shards.
 * Each owner's heartbeat ends a read, so 300 nodes with 8 owners would
 * otherwise read 6,000 times a second.  Does not apply while a shard has no
 * owner. */
#define READ_INTERVAL_MIN (250 * OGL_MS)
/* Time between two reads of a quiet node, which show that the store answers it
 * and that it could own a shard. */
#define QUIET_READ_INTERVAL (5 * OGL_SEC)
#define QUIET_RETRY_DELAY OGL_SEC
/* A planner that has decided nothing by then has probably ended. */
#define PLANNER_TURN (5 * OGL_SEC)
#define APPEND_TIMEOUT_MS 900
#define HEARTBEATS_IN_FLIGHT_MAX 6
#define READ_RETRY_DELAY (150 * OGL_MS)
/* An owner that has not reached the store for longer than this can't rule out
 * that it was replaced; outages of the store are shorter. */
#define CONFIRMED_MAX_AGE (12 * OGL_SEC)
/* A node that resigned because it is in trouble leaves claims to others for
 * this long. */
#define RESIGN_BACKOFF (8 * OGL_SEC)
/* The store counts as answering while the last answered read is no older than
 * this. */
#define READ_OK_MAX_AGE (1800 * OGL_MS)
#define PROBE_TIMEOUT_MS 600
#define PROBE_INTERVAL_MIN (20 * OGL_MS)
#define LEAD_KEY "lead"
#define PLAN_KEY "shards"
#define PLANNER_KEY "planner"
#define CLAIM_KEY "claim"
#define KEY_BYTES 24
/* A large odd number, so that a change of any epoch changes the digest. */
#define DIGEST_FACTOR 0x9e3779b97f4a7c15U

/* The ownership of one shard. */
struct lead_shard {
	struct cell_lead *lead;
	uint32_t shard;
	uint64_t epoch;          /* highest known; offset for the next claim */
	uint64_t resigned_epoch; /* last epoch whose owner has resigned */
	uint64_t reported_epoch; /* epoch of the last changed event */
	char *owner;             /* address; NULL: vacant or never claimed */
	bool is_owner;           /* this node is the owner */
	/* Last sign of the owner, or last failed read: the heartbeat timeout
	 * starts here. */
	ogl_time last_heard;

	/* The owner's clock and this node's at the same time, for an epoch. */
	uint64_t clock_epoch;
	uint64_t clock_sent_us;
	ogl_time clock_at;

	uint64_t suspect_epoch; /* epoch whose owner may be unable, 0 if none */
	bool reading_claims;
	bool claiming;
	ogl_time claim_sent_at;
	ogl_time claim_at; /* OGL_NEVER unless scheduled */
	ogl_time no_claim_until;
	unsigned heartbeats_in_flight;
	bool announced; /* a heartbeat of this ownership was stored */
	ogl_time next_heartbeat_at;
	ogl_time heartbeat_took;  /* how long the last answered one took */
	ogl_time heartbeat_ok_at; /* last heartbeat stored, or ownership won */
	bool heartbeat_refused;   /* the last answer was a refusal */
	ogl_time unreachable_at;  /* last report that it is unreachable */
};

struct cell_lead {
	const struct cell_ops *ops;
	struct cell_lead_events events;
	char *node;
	char *addr;
	uint64_t boot;
	int32_t weak_delay_ms; /* added to claims of a weak machine */
	ogl_time able_timeout;
	GRand *rand;

	bool quiet; /* see cell_lead_set_quiet */
	/* There may be records on the stream that are older than what peers
	 * have told since the last read. */
	bool behind;
	bool loaded; /* the newest record of each key was read once */
	bool reading;
	bool newest_wanted; /* next read gets the newest record of each key */
	ogl_time read_sent_at;
	ogl_time next_read_at; /* no read is sent before this time */
	uint64_t next_offset;  /* offset to read from */
	ogl_time last_read_ok;
	bool read_failing;        /* a read has failed since last_read_ok */
	ogl_time outage_ended_at; /* first answer after the last outage */
	ogl_time confirmed_at;    /* when the last complete read was sent */
	bool probing;
	ogl_time probe_sent_at;

	bool planning;   /* an append about the number of shards is in flight */
	bool is_planner; /* this node took the last turn */
	ogl_time planner_since; /* of the last turn that is known */
	uint32_t shards;
	struct lead_shard *by_shard;
	ogl_time claim_took;   /* how long the last successful claim took */
	bool claiming_stopped; /* the process is about to end */
};

/*
 * Delay of claims on a weak machine, in ms.  An owner decides for a whole
 * shard, so the strongest machines should win.  On a mixed cell, owners with an
 * eighth of a core took 1 to 10 s to read the jobs and served a tenth of the
 * calls.
 */
static int32_t
weak_delay_for(uint32_t strength)
{
	double ms;

	if (strength == 0 || strength >= NO_DELAY_CPU_MILLI)
		return 0;
	ms = ((double)NO_DELAY_CPU_MILLI / strength - 1) * WEAK_DELAY_MS;
	return (int32_t)MIN(ms, WEAK_DELAY_MAX_MS);
}

static ogl_time
able_timeout_for(uint32_t link_kbps)
{
	ogl_time extra = 0;

	if (link_kbps > 0)
		extra = (ogl_time)ABLE_EXTRA_KBITS * OGL_SEC / link_kbps;
	return ABLE_TIMEOUT + MIN(extra, ABLE_EXTRA_MAX);
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
	l->weak_delay_ms = weak_delay_for(self->strength);
	l->able_timeout = able_timeout_for(self->link_kbps);
	l->rand = g_rand_new_with_seed((guint32)(seed ^ seed >> 32));
	l->newest_wanted = true;
	l->last_read_ok = CELL_LONG_AGO;
	l->confirmed_at = CELL_LONG_AGO;
	return l;
}

void
cell_lead_end(struct cell_lead *l)
{
	uint32_t i;

	for (i = 0; i < l->shards; i++)
		g_free(l->by_shard[i].owner);
	g_free(l->by_shard);
	g_rand_free(l->rand);
	g_free(l->node);
	g_free(l->addr);
	g_free(l);
}

/* ---- the number of shards --------------------------------------------- */

static void
init_shards(struct cell_lead *l, uint32_t shards, ogl_time now)
{
	uint32_t i;

	l->shards = shards;
	l->by_shard = g_new0(struct lead_shard, shards);
	for (i = 0; i < shards; i++) {
		struct lead_shard *s = &l->by_shard[i];

		s->lead = l;
		s->shard = i;
		s->claim_at = OGL_NEVER;
		s->unreachable_at = CELL_LONG_AGO;
		s->last_heard = now;
	}
	l->events.planned(l->events.arg, shards, now);
}

static void
apply_plan(struct cell_lead *l, const struct cell_record *r, ogl_time now)
{
	Ogl__CellPlan *m = ogl__cell_plan__unpack(
	    NULL, r->value.n, (const uint8_t *)r->value.p);
	char text[48];

	if (m == NULL || m->shards == 0 || m->shards > CELL_SHARDS_MAX) {
		l->ops->log(l->ops->ctx, "lead", "record_unreadable", PLAN_KEY);
	} else if (l->shards == 0) {
		g_snprintf(text, sizeof text, "shards=%u", m->shards);
		l->ops->log(l->ops->ctx, "lead", "planned", text);
		init_shards(l, m->shards, now);
	}
	if (m != NULL)
		ogl__cell_plan__free_unpacked(m, NULL);
}

static void
apply_planner(struct cell_lead *l, const struct cell_record *r, ogl_time now)
{
	Ogl__CellPlan *m = ogl__cell_plan__unpack(
	    NULL, r->value.n, (const uint8_t *)r->value.p);

	if (m == NULL) {
		l->ops->log(
		    l->ops->ctx, "lead", "record_unreadable", PLANNER_KEY);
		return;
	}
	l->planner_since = now;
	l->is_planner = strcmp(m->planner, l->node) == 0 && m->boot == l->boot;
	ogl__cell_plan__free_unpacked(m, NULL);
}

/* ---- records of the streams ------------------------------------------- */

static void
log_owner(struct lead_shard *s, const char *event, const char *addr)
{
	const struct cell_ops *ops = s->lead->ops;
	char text[160];

	g_snprintf(text, sizeof text,
	    "owner=%s epoch=%" G_GUINT64_FORMAT " shard=%u",
	    addr != NULL ? addr : "none", s->epoch, s->shard);
	ops->log(ops->ctx, "lead", event, text);
}

static void
step_down(struct lead_shard *s, ogl_time now)
{
	if (!s->is_owner)
		return;
	s->is_owner = false;
	log_owner(s, "ownership_lost", s->owner);
	s->lead->events.lost(s->lead->events.arg, s->shard, now);
}

static void
set_owner(struct lead_shard *s, const char *addr, ogl_time now)
{
	/* The same node may own the shard again in another epoch. */
	if (g_strcmp0(s->owner, addr) == 0 && s->reported_epoch == s->epoch)
		return;
	s->reported_epoch = s->epoch;
	g_free(s->owner);
	s->owner = g_strdup(addr);
	log_owner(s, "owner_changed", addr);
	s->lead->events.changed(s->lead->events.arg, s->shard, s->owner, now);
}

/* Whether the record was written by this node before its last restart.  The
 * owner that it names no longer exists, so the shard is vacant. */
static bool
from_earlier_boot(const struct cell_lead *l, const Ogl__CellLead *m)
{
	return strcmp(m->addr, l->addr) == 0 && m->boot != l->boot;
}

/* Delays the other scheduled claims of this node, as one shard per node is
 * best. */
static void
delay_other_claims(struct cell_lead *l)
{
	uint32_t i;

	for (i = 0; i < l->shards; i++) {
		if (l->by_shard[i].claim_at != OGL_NEVER)
			l->by_shard[i].claim_at +=
			    OTHER_SHARD_DELAY_MS * OGL_MS;
	}
}

static void
apply_claim(
    struct lead_shard *s, const Ogl__CellLead *m, uint64_t epoch, ogl_time now)
{
	struct cell_lead *l = s->lead;
	bool mine = strcmp(m->node, l->node) == 0 && m->boot == l->boot;

	if (epoch <= s->epoch)
		return;
	step_down(s, now);
	s->epoch = epoch;
	s->last_heard = now;
	s->claim_at = OGL_NEVER;
	if (!mine) {
		set_owner(s, from_earlier_boot(l, m) ? NULL : m->addr, now);
		return;
	}
	if (l->claiming_stopped)
		return; /* others claim once the heartbeat timeout is over */
	s->is_owner = true;
	s->announced = false;
	s->next_heartbeat_at = now;
	s->heartbeat_ok_at = now;
	s->heartbeat_refused = false;
	delay_other_claims(l);
	set_owner(s, l->addr, now);
	log_owner(s, "ownership_won", l->addr);
	l->events.won(l->events.arg, s->shard, epoch, now);
}

/* Records what the owner's clock showed when this node's showed now. */
static void
note_owner_clock(
    struct lead_shard *s, uint64_t epoch, uint64_t sent_us, ogl_time now)
{
	s->clock_epoch = epoch;
	s->clock_sent_us = sent_us;
	s->clock_at = now;
}

/* When a heartbeat was sent that was read much later, on this node's clock.  If
 * the owner's clock is not known, all that is certain is that the last read did
 * not show the heartbeat. */
static ogl_time
old_heartbeat_time(
    const struct lead_shard *s, const Ogl__CellLead *m, ogl_time now)
{
	ogl_time at;

	if (s->clock_epoch != m->epoch || m->sent_us < s->clock_sent_us)
		return s->lead->confirmed_at;
	at = s->clock_at + (ogl_time)(m->sent_us - s->clock_sent_us);
	return MIN(at, now);
}

/* Applies a heartbeat or resignation.  It is ignored if its epoch is earlier
 * than the last known one; a later epoch ends the known ownership. */
static void
apply_heartbeat(struct lead_shard *s, const Ogl__CellLead *m, ogl_time now)
{
	/* A heartbeat may arrive after its sender's resignation. */
	if (m->epoch < s->epoch || m->epoch == s->resigned_epoch)
		return;
	if (m->epoch > s->epoch) {
		step_down(s, now);
		s->epoch = m->epoch;
	} else if (s->lead->behind && !m->vacant && s->owner != NULL) {
		s->last_heard =
		    MAX(s->last_heard, old_heartbeat_time(s, m, now));
		return;
	}
	note_owner_clock(s, m->epoch, m->sent_us, now);
	s->last_heard = now;
	s->suspect_epoch = 0;
	if (!m->vacant) {
		s->claim_at = OGL_NEVER;
		if (!s->is_owner)
			set_owner(s,
			    from_earlier_boot(s->lead, m) ? NULL : m->addr,
			    now);
		return;
	}
	s->resigned_epoch = m->epoch;
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
apply_record(struct cell_lead *l, const struct cell_record *r, ogl_time now)
{
	Ogl__CellLead *m;

	if (r->dropped)
		return;
	if (strcmp(r->key, PLAN_KEY) == 0) {
		apply_plan(l, r, now);
		return;
	}
	if (strcmp(r->key, PLANNER_KEY) == 0) {
		apply_planner(l, r, now);
		return;
	}
	m = unpack(l, r);
	if (m == NULL)
		return;
	if (!m->claim && m->shard < l->shards)
		apply_heartbeat(&l->by_shard[m->shard], m, now);
	ogl__cell_lead__free_unpacked(m, NULL);
}

/* ---- reading ---------------------------------------------------------- */

static void
read_failed(struct cell_lead *l, ogl_time now)
{
	uint32_t i;

	l->next_read_at =
	    now + (l->quiet ? QUIET_RETRY_DELAY : READ_RETRY_DELAY);
	l->read_failing = true;
	for (i = 0; i < l->shards; i++) {
		l->by_shard[i].last_heard = now;
		l->by_shard[i].claim_at = OGL_NEVER;
	}
}

static bool
any_vacant(const struct cell_lead *l)
{
	uint32_t i;

	for (i = 0; i < l->shards; i++) {
		if (l->by_shard[i].owner == NULL)
			return true;
	}
	return false;
}

static void
read_answered(struct cell_lead *l, ogl_time now)
{
	if (l->read_failing && now - l->last_read_ok > OUTAGE_MIN)
		l->outage_ended_at = now;
	l->read_failing = false;
	l->last_read_ok = now;
}

static void
read_succeeded(struct cell_lead *l, ogl_time now)
{
	l->confirmed_at = MAX(l->confirmed_at, l->read_sent_at);
	read_answered(l, now);
	l->next_read_at = now;
	if (l->quiet)
		l->next_read_at = l->read_sent_at + QUIET_READ_INTERVAL;
	else if (l->shards > 1 && !any_vacant(l))
		l->next_read_at = l->read_sent_at + READ_INTERVAL_MIN;
}

static void
apply_records(
    struct cell_lead *l, const struct cell_read_answer *a, ogl_time now)
{
	size_t i;

	for (i = 0; i < a->n; i++) {
		if (a->records[i].offset < l->next_offset)
			continue; /* already seen by another read */
		apply_record(l, &a->records[i], now);
		l->next_offset = a->records[i].offset + 1;
	}
}

/* Called after an answered probe.  An owner that was reported as suspect and
 * has given no sign since then counts as unable to reach the store, unless an
 * outage of this node has just ended. */
static void
resolve_suspects(struct cell_lead *l, ogl_time now)
{
	bool past_outage = now - l->outage_ended_at >= OUTAGE_GRACE;
	uint32_t i;

	for (i = 0; i < l->shards; i++) {
		struct lead_shard *s = &l->by_shard[i];

		if (past_outage && s->suspect_epoch != 0 &&
		    s->suspect_epoch == s->epoch && !s->is_owner &&
		    s->owner != NULL) {
			log_owner(s, "owner_unable", s->owner);
			set_owner(s, NULL, now);
		}
		s->suspect_epoch = 0;
	}
}

/* Called after the end of the stream was read. */
static void
caught_up(struct cell_lead *l)
{
	if (!l->quiet)
		l->behind = false;
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
		l->newest_wanted = true;
		l->next_read_at = now;
		return;
	}
	apply_records(l, a, now);
	caught_up(l);
	read_succeeded(l, now);
}

/* A probe is a read that does not wait for new records, so its answer shows the
 * present owners for certain. */
static void
on_probe(void *arg, const struct cell_read_answer *a, ogl_time now)
{
	struct cell_lead *l = arg;

	l->probing = false;
	if (a->io != OGL_IO_OK)
		l->read_failing = true;
	if (a->io != OGL_IO_OK || a->trimmed)
		return;
	read_answered(l, now);
	apply_records(l, a, now);
	l->confirmed_at = MAX(l->confirmed_at, l->probe_sent_at);
	resolve_suspects(l, now);
	caught_up(l);
}

void
cell_lead_probe(struct cell_lead *l, ogl_time now)
{
	struct cell_read r = {.stream = CELL_LEAD,
	    .from = l->next_offset,
	    .timeout_ms = PROBE_TIMEOUT_MS};

	if (l->probing || !l->loaded ||
	    now < l->probe_sent_at + PROBE_INTERVAL_MIN)
		return;
	l->probing = true;
	l->probe_sent_at = now;
	l->ops->read(l->ops->backend_ctx, &r, on_probe, l);
}

/* Applies the record with the number of shards first, as the other records
 * can't be applied without it and may be listed before it. */
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
	l->newest_wanted = false;
	for (i = 0; i < a->n; i++) {
		if (strcmp(a->records[i].key, PLAN_KEY) == 0)
			apply_record(l, &a->records[i], now);
	}
	for (i = 0; i < a->n; i++)
		apply_record(l, &a->records[i], now);
	l->next_offset = a->end;
	caught_up(l);
	read_succeeded(l, now);
}

static void
start_read(struct cell_lead *l, ogl_time now)
{
	struct cell_read r = {.stream = CELL_LEAD,
	    .from = l->next_offset,
	    .wait_ms = l->quiet ? 0 : READ_WAIT_MS,
	    .timeout_ms = READ_TIMEOUT_MS};
	struct cell_newest q = {
	    .stream = CELL_LEAD, .timeout_ms = READ_TIMEOUT_MS};

	if (l->reading || now < l->next_read_at)
		return;
	l->reading = true;
	l->read_sent_at = now;
	/* What has been added since the last read of a quiet node is mostly
	 * heartbeats that it does not need. */
	if (l->newest_wanted || l->quiet)
		l->ops->newest(l->ops->backend_ctx, &q, on_newest, l);
	else
		l->ops->read(l->ops->backend_ctx, &r, on_read, l);
}

/* ---- the claims of a shard -------------------------------------------- */

static void
apply_claims(struct lead_shard *s, const struct cell_record *records, size_t n,
    ogl_time now)
{
	size_t i;

	for (i = 0; i < n; i++) {
		const struct cell_record *r = &records[i];
		Ogl__CellLead *m = r->dropped ? NULL : unpack(s->lead, r);

		if (m == NULL)
			continue;
		apply_claim(s, m, r->offset + 1, now);
		ogl__cell_lead__free_unpacked(m, NULL);
	}
}

static void
on_newest_claim(void *arg, const struct cell_newest_answer *a, ogl_time now)
{
	struct lead_shard *s = arg;

	s->reading_claims = false;
	if (a->io == OGL_IO_OK)
		apply_claims(s, a->records, a->n, now);
}

/* Reads only the newest claim, as the claims after the last known one are no
 * longer all retained. */
static void
read_newest_claim(struct lead_shard *s)
{
	struct cell_newest q = {.stream = CELL_CLAIMS,
	    .shard = s->shard,
	    .timeout_ms = PROBE_TIMEOUT_MS};

	s->reading_claims = true;
	s->lead->ops->newest(s->lead->ops->backend_ctx, &q, on_newest_claim, s);
}

static void
on_claims(void *arg, const struct cell_read_answer *a, ogl_time now)
{
	struct lead_shard *s = arg;

	s->reading_claims = false;
	if (a->io != OGL_IO_OK)
		return;
	if (a->trimmed)
		read_newest_claim(s);
	else
		apply_claims(s, a->records, a->n, now);
}

/* Reads the claims after the last known one. */
static void
read_claims(struct lead_shard *s)
{
	struct cell_lead *l = s->lead;
	struct cell_read r = {.stream = CELL_CLAIMS,
	    .shard = s->shard,
	    .from = s->epoch,
	    .timeout_ms = PROBE_TIMEOUT_MS};

	if (s->reading_claims)
		return;
	s->reading_claims = true;
	l->ops->read(l->ops->backend_ctx, &r, on_claims, s);
}

/* ---- writing ---------------------------------------------------------- */

static void
append(struct lead_shard *s, Ogl__CellLead *m, cell_append_fn *done, void *arg)
{
	struct cell_lead *l = s->lead;
	char key[KEY_BYTES];
	struct cell_put put = {key, NULL};
	struct cell_append a = {.stream = m->claim ? CELL_CLAIMS : CELL_LEAD,
	    .shard = m->claim ? s->shard : 0,
	    .expected_end = m->claim ? (int64_t)s->epoch : -1,
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
	l->ops->append(l->ops->backend_ctx, &a, done, arg);
	g_bytes_unref(put.value);
}

/* A heartbeat in flight. */
struct heartbeat {
	struct lead_shard *shard;
	uint64_t epoch;
	ogl_time sent_at;
};

/* Sets the next heartbeat to HEARTBEAT_INTERVAL after the answered one was
 * sent, unless a repeat has already set a later time. */
static void
apply_heartbeat_answer(struct lead_shard *s, const struct heartbeat *h,
    enum ogl_io_result io, ogl_time now)
{
	s->heartbeat_refused = io == OGL_IO_REFUSED;
	if (io == OGL_IO_LOST)
		return;
	s->next_heartbeat_at =
	    MAX(s->next_heartbeat_at, h->sent_at + HEARTBEAT_INTERVAL);
	s->heartbeat_took = now - h->sent_at;
	if (io != OGL_IO_OK)
		return;
	s->heartbeat_ok_at = now;
	s->announced = true;
}

static void
on_heartbeat(void *arg, const struct cell_append_answer *a, ogl_time now)
{
	struct heartbeat *h = arg;
	struct lead_shard *s = h->shard;

	s->heartbeats_in_flight--;
	if (a->io != OGL_IO_OK)
		s->lead->ops->count(s->lead->ops->ctx, "beats_failed", 1);
	if (h->epoch == s->epoch)
		apply_heartbeat_answer(s, h, a->io, now);
	g_free(h);
}

static void
send_heartbeat(struct lead_shard *s, bool vacant, ogl_time now)
{
	Ogl__CellLead m = OGL__CELL_LEAD__INIT;
	struct heartbeat *h = g_new(struct heartbeat, 1);

	m.epoch = s->epoch;
	m.vacant = vacant;
	m.sent_us = (uint64_t)now;
	h->shard = s;
	h->epoch = s->epoch;
	h->sent_at = now;
	s->heartbeats_in_flight++;
	append(s, &m, on_heartbeat, h);
}

/* If a claim is refused because of another one, or its answer is lost, the
 * claims are read.  The last claim names the owner, which may be this node. */
static void
on_claim(void *arg, const struct cell_append_answer *a, ogl_time now)
{
	struct lead_shard *s = arg;
	struct cell_lead *l = s->lead;
	Ogl__CellLead m = OGL__CELL_LEAD__INIT;

	s->claiming = false;
	if (a->io != OGL_IO_OK) {
		log_owner(
		    s, a->end_moved ? "claim_late" : "claim_failed", l->addr);
		if (a->end_moved || a->io == OGL_IO_LOST)
			read_claims(s);
		return;
	}
	l->claim_took = now - s->claim_sent_at;
	m.node = l->node;
	m.addr = l->addr;
	m.boot = l->boot;
	apply_claim(s, &m, a->offset + 1, now);
}

static void
send_claim(struct lead_shard *s, ogl_time now)
{
	Ogl__CellLead m = OGL__CELL_LEAD__INIT;

	m.claim = true;
	s->claiming = true;
	s->claim_sent_at = now;
	s->claim_at = OGL_NEVER;
	append(s, &m, on_claim, s);
}

/* Sends a heartbeat if it is due.  Several may be in flight, as answers can get
 * lost. */
static void
heartbeat_if_due(struct lead_shard *s, ogl_time now)
{
	ogl_time overdue_after =
	    CLAMP(s->heartbeat_took * HEARTBEAT_OVERDUE_FACTOR,
		HEARTBEAT_OVERDUE_MIN, HEARTBEAT_INTERVAL);

	if (!s->is_owner)
		return;
	if (now - s->heartbeat_ok_at > PROBE_SILENCE_MIN &&
	    now - s->lead->last_read_ok > PROBE_SILENCE_MIN)
		cell_lead_probe(s->lead, now);
	if (now < s->next_heartbeat_at ||
	    s->heartbeats_in_flight >= HEARTBEATS_IN_FLIGHT_MAX)
		return;
	s->next_heartbeat_at = now + overdue_after;
	send_heartbeat(s, false, now);
}

static bool
is_preferred(const struct lead_shard *s)
{
	const struct cell_lead *l = s->lead;

	return cell_shard_of_node(l->addr, l->shards) == s->shard;
}

/* Delay before this node claims the shard, in ms. */
static int32_t
claim_delay_ms(const struct lead_shard *s)
{
	struct cell_lead *l = s->lead;
	int32_t delay_ms =
	    l->weak_delay_ms + g_rand_int_range(l->rand, 0, CLAIM_JITTER_MS) +
	    (int32_t)cell_lead_owned_count(l) * OTHER_SHARD_DELAY_MS;

	if (!is_preferred(s))
		delay_ms += OTHER_SHARD_DELAY_MS;
	/* At the first start of the cell all nodes see all shards without an
	 * owner at the same moment. */
	if (s->epoch == 0 && !is_preferred(s))
		delay_ms += FIRST_OTHER_DELAY_MS;
	if (s->epoch == 0 && l->weak_delay_ms > 0)
		delay_ms += FIRST_WEAK_DELAY_MS;
	return delay_ms;
}

/* Whether the heartbeat timeout has passed and an answered read that was sent
 * after it has shown no sign of the owner.  Probes the store if there is no
 * such read yet. */
static bool
heartbeat_timed_out(struct lead_shard *s, ogl_time now)
{
	struct cell_lead *l = s->lead;
	bool unreachable = now - s->unreachable_at < HEARTBEAT_TIMEOUT_DEAD;
	ogl_time due = s->last_heard + (unreachable ? HEARTBEAT_TIMEOUT_DEAD
						    : HEARTBEAT_TIMEOUT);

	if (now <= due)
		return false;
	if (l->confirmed_at > due)
		return true;
	cell_lead_probe(l, now);
	return false;
}

/* Schedules a claim if the shard is vacant or its owner has timed out. */
static void
schedule_claim(struct lead_shard *s, ogl_time now)
{
	bool vacant = s->owner == NULL || s->epoch == 0;

	if (s->is_owner || s->claiming || s->reading_claims ||
	    now < s->no_claim_until || s->claim_at != OGL_NEVER)
		return;
	if (s->lead->quiet && !is_preferred(s))
		return;
	if (!cell_lead_store_answers(s->lead, now))
		return;
	if (!vacant && !heartbeat_timed_out(s, now))
		return;
	if (!vacant)
		log_owner(s, "owner_silent", s->owner);
	s->claim_at = now + claim_delay_ms(s) * OGL_MS;
}

static void
step_shard(struct lead_shard *s, ogl_time now)
{
	heartbeat_if_due(s, now);
	if (s->lead->claiming_stopped)
		return;
	schedule_claim(s, now);
	if (s->claim_at <= now && !s->claiming)
		send_claim(s, now);
}

void
cell_lead_step(struct cell_lead *l, ogl_time now)
{
	uint32_t i;

	start_read(l, now);
	for (i = 0; i < l->shards; i++)
		step_shard(&l->by_shard[i], now);
}

/* The signs of most owners were not read while the node was quiet, so their
 * timeouts start anew. */
void
cell_lead_set_quiet(struct cell_lead *l, bool quiet, ogl_time now)
{
	uint32_t i;

	if (l->quiet == quiet)
		return;
	l->quiet = quiet;
	if (quiet) {
		l->behind = true;
		return;
	}
	l->next_read_at = now;
	for (i = 0; i < l->shards; i++) {
		if (!is_preferred(&l->by_shard[i]))
			l->by_shard[i].last_heard = now;
	}
}

bool
cell_lead_needs_plan(const struct cell_lead *l)
{
	return l->loaded && l->shards == 0 && !l->planning;
}

/* What was stored arrives with the reads. */
static void
on_plan(void *arg, const struct cell_append_answer *a, ogl_time now)
{
	struct cell_lead *l = arg;

	(void)a;
	(void)now;
	l->planning = false;
}

/* Appends the record if the stream has not grown since the last read. */
static void
append_plan(struct cell_lead *l, char *key, const Ogl__CellPlan *m)
{
	struct cell_put put = {key, NULL};
	struct cell_append a = {.stream = CELL_LEAD,
	    .expected_end = (int64_t)l->next_offset,
	    .puts = &put,
	    .nputs = 1,
	    .timeout_ms = APPEND_TIMEOUT_MS};
	size_t n = ogl__cell_plan__get_packed_size(m);
	uint8_t *p = g_malloc(n);

	ogl__cell_plan__pack(m, p);
	put.value = g_bytes_new_take(p, n);
	l->planning = true;
	l->ops->append(l->ops->backend_ctx, &a, on_plan, l);
	g_bytes_unref(put.value);
}

bool
cell_lead_take_plan_turn(struct cell_lead *l, ogl_time now)
{
	Ogl__CellPlan m = OGL__CELL_PLAN__INIT;
	char key[] = PLANNER_KEY;

	if (l->planner_since != 0 && now - l->planner_since < PLANNER_TURN)
		return l->is_planner;
	m.planner = l->node;
	m.boot = l->boot;
	if (!l->planning)
		append_plan(l, key, &m);
	return false;
}

void
cell_lead_plan(struct cell_lead *l, uint32_t shards)
{
	Ogl__CellPlan m = OGL__CELL_PLAN__INIT;
	char key[] = PLAN_KEY;

	m.shards = shards;
	append_plan(l, key, &m);
}

/* ---- requests and reports --------------------------------------------- */

void
cell_lead_resign(struct cell_lead *l, uint32_t shard, ogl_time now)
{
	struct lead_shard *s = &l->by_shard[shard];

	s->no_claim_until = now + RESIGN_BACKOFF;
	s->claim_at = OGL_NEVER;
	if (!s->is_owner)
		return;
	send_heartbeat(s, true, now);
	step_down(s, now);
	set_owner(s, NULL, now);
}

void
cell_lead_stop_claiming(struct cell_lead *l)
{
	l->claiming_stopped = true;
}

void
cell_lead_claim(struct cell_lead *l, uint32_t shard, ogl_time now)
{
	struct lead_shard *s = &l->by_shard[shard];

	if (!l->claiming_stopped && !s->is_owner && !s->claiming)
		send_claim(s, now);
}

void
cell_lead_epoch_refused(struct cell_lead *l, uint32_t shard, ogl_time now)
{
	struct lead_shard *s = &l->by_shard[shard];

	if (!s->is_owner)
		return;
	step_down(s, now);
	set_owner(s, NULL, now);
	s->last_heard = now;
	s->no_claim_until = now + HEARTBEAT_TIMEOUT;
	read_claims(s);
}

void
cell_lead_suspect(
    struct cell_lead *l, uint32_t shard, uint64_t epoch, ogl_time now)
{
	struct lead_shard *s = &l->by_shard[shard];

	if (s->is_owner || epoch < s->epoch || s->owner == NULL)
		return;
	/*
	 * Only a read answered from now on shows that the store is unreachable
	 * for the owner alone.  With an older read, all nodes would give up an
	 * owner that goes on working while the store is down for everybody, and
	 * would refuse its callers.
	 */
	s->suspect_epoch = s->epoch;
	cell_lead_probe(l, now);
}

/*
 * A node that the store refuses can't read who the new owner is, and neither
 * can an owner in that state.  Without the reports of peers, such nodes would
 * forward calls to the old owner, which can't accept them, until the store
 * answers again.
 */
void
cell_lead_learn_owner(struct cell_lead *l, uint32_t shard, uint64_t epoch,
    const char *addr, ogl_time now)
{
	struct lead_shard *s = &l->by_shard[shard];

	if (epoch <= s->epoch)
		return;
	/* Either the answer to this node's claim was lost, or the claim is from
	 * before its restart.  Reading the claims shows which. */
	if (strcmp(addr, l->addr) == 0) {
		read_claims(s);
		return;
	}
	step_down(s, now);
	s->epoch = epoch;
	s->last_heard = now;
	s->suspect_epoch = 0;
	s->claim_at = OGL_NEVER;
	set_owner(s, addr, now);
}

/*
 * All heartbeats of the owner may be late, as may the answers to them.  Its
 * report to this node then takes their place.  This is safe because the store
 * decides who owns the shard whenever a node claims.
 */
void
cell_lead_owner_alive(struct cell_lead *l, uint32_t shard, uint64_t epoch,
    uint64_t sent_us, ogl_time now)
{
	struct lead_shard *s = &l->by_shard[shard];

	if (s->is_owner || epoch != s->epoch || s->owner == NULL)
		return;
	note_owner_clock(s, epoch, sent_us, now);
	s->last_heard = now;
	s->suspect_epoch = 0;
	s->claim_at = OGL_NEVER;
}

void
cell_lead_report_unreachable(struct cell_lead *l, uint32_t shard, ogl_time now)
{
	l->by_shard[shard].unreachable_at = now;
}

/* ---- state ------------------------------------------------------------ */

uint32_t
cell_lead_shards(const struct cell_lead *l)
{
	return l->shards;
}

uint32_t
cell_lead_owned_count(const struct cell_lead *l)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < l->shards; i++)
		n += l->by_shard[i].is_owner;
	return n;
}

bool
cell_lead_able(const struct cell_lead *l, uint32_t shard, ogl_time now)
{
	const struct lead_shard *s = &l->by_shard[shard];
	ogl_time last_ok_at = s->heartbeat_ok_at;

	if (!s->heartbeat_refused)
		last_ok_at = MAX(last_ok_at, l->last_read_ok);
	return s->is_owner && now - last_ok_at < l->able_timeout;
}

bool
cell_lead_is_owner(const struct cell_lead *l, uint32_t shard)
{
	return l->by_shard[shard].is_owner;
}

uint64_t
cell_lead_digest(const struct cell_lead *l)
{
	uint64_t digest = l->shards;
	uint32_t i;

	for (i = 0; i < l->shards; i++)
		digest = digest * DIGEST_FACTOR + l->by_shard[i].epoch;
	return digest;
}

uint64_t
cell_lead_epoch(const struct cell_lead *l, uint32_t shard)
{
	return l->by_shard[shard].epoch;
}

const char *
cell_lead_addr(const struct cell_lead *l, uint32_t shard)
{
	return l->by_shard[shard].owner;
}

bool
cell_lead_may_act(const struct cell_lead *l, uint32_t shard, ogl_time now)
{
	return l->by_shard[shard].is_owner &&
	       now - l->confirmed_at < CONFIRMED_MAX_AGE;
}

ogl_time
cell_lead_confirmed_at(const struct cell_lead *l)
{
	return l->confirmed_at;
}

bool
cell_lead_announced(const struct cell_lead *l, uint32_t shard)
{
	return l->by_shard[shard].is_owner && l->by_shard[shard].announced;
}

bool
cell_lead_store_answers(const struct cell_lead *l, ogl_time now)
{
	return now - l->last_read_ok <
	       READ_OK_MAX_AGE + (l->quiet ? QUIET_READ_INTERVAL : 0);
}

ogl_time
cell_lead_claim_took(const struct cell_lead *l)
{
	return l->claim_took;
}

ogl_time
cell_lead_heartbeat_took(const struct cell_lead *l, uint32_t shard)
{
	return l->by_shard[shard].heartbeat_took;
}
