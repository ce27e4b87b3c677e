/*
 * Elects the owner of each shard by records in streams of the store.
 *
 * This file sends the heartbeats of an owner, takes requests and reports, and
 * tells the state.  lead_claim.c decides when to claim a shard and handles the
 * claims, lead_read.c reads the ownership stream, and lead_plan.c handles the
 * number of shards.
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
 * running elsewhere before all workers have answered it (owner.c), or their
 * leases have expired.  So that these do expire, an owner needs recent proof of
 * its ownership to renew one or to start anything: such a read, or the answers
 * of most workers (quorum.h).  A worker that restarts forgets which owner has
 * called it, so an owner reads the stream once more before it starts anything
 * on a restarted worker.  That read shows any new owner, because a new owner
 * calls no worker before its first heartbeat is on the stream.
 */

#include <string.h>

#include "lead_impl.h"

/* A heartbeat is repeated when its answer takes longer than this multiple of
 * the time that the last one took; at least HEARTBEAT_OVERDUE_MIN and at most
 * HEARTBEAT_INTERVAL. */
#define HEARTBEAT_OVERDUE_FACTOR 4
#define HEARTBEAT_OVERDUE_MIN (150 * OGL_MS)
#define HEARTBEATS_IN_FLIGHT_MAX 6
/* An owner whose last stored heartbeat and last answered read are both older
 * than this probes the store. */
#define PROBE_SILENCE_MIN (350 * OGL_MS)
/* An owner that has had no answer from the store for this long reports to its
 * peers that it is not able to act as the owner. */
#define ABLE_TIMEOUT (750 * OGL_MS)
/* On a slow link, answers to heartbeats wait behind the jobs that a new owner
 * reads.  The time that the link needs for this many kilobits is added to
 * ABLE_TIMEOUT. */
#define ABLE_EXTRA_KBITS 4000
#define ABLE_EXTRA_MAX (2 * OGL_SEC)
/* Processor capacity from which a machine claims without delay, in thousandths
 * of a core.  A machine with half of it claims WEAK_DELAY_MS later, one with a
 * third of it twice WEAK_DELAY_MS later, and so on. */
#define NO_DELAY_CPU_MILLI 400
#define WEAK_DELAY_MS 100
#define WEAK_DELAY_MAX_MS 600
/* A node that resigned because it is in trouble leaves claims to others for
 * this long. */
#define RESIGN_BACKOFF (8 * OGL_SEC)
#define LEAD_KEY "lead"
#define CLAIM_KEY "claim"
#define KEY_BYTES 24
/* A large odd number, so that a change of any epoch changes the digest. */
#define DIGEST_FACTOR 0x9e3779b97f4a7c15U

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
	g_free(l->list_after);
	g_free(l->node);
	g_free(l->addr);
	g_free(l);
}

/* ---- changes of the owner --------------------------------------------- */

void
cell_lead_log_owner(struct lead_shard *s, const char *event, const char *addr)
{
	const struct cell_ops *ops = s->lead->ops;
	char text[160];

	g_snprintf(text, sizeof text,
	    "owner=%s epoch=%" G_GUINT64_FORMAT " shard=%u",
	    addr != NULL ? addr : "none", s->epoch, s->shard);
	ops->log(ops->ctx, "lead", event, text);
}

void
cell_lead_step_down(struct lead_shard *s, ogl_time now)
{
	if (!s->is_owner)
		return;
	s->is_owner = false;
	cell_lead_log_owner(s, "ownership_lost", s->owner);
	s->lead->events.lost(s->lead->events.arg, s->shard, now);
}

void
cell_lead_set_owner(struct lead_shard *s, const char *addr, ogl_time now)
{
	/* The same node may own the shard again in another epoch. */
	if (g_strcmp0(s->owner, addr) == 0 && s->reported_epoch == s->epoch)
		return;
	s->reported_epoch = s->epoch;
	g_free(s->owner);
	s->owner = g_strdup(addr);
	cell_lead_log_owner(s, "owner_changed", addr);
	s->lead->events.changed(s->lead->events.arg, s->shard, s->owner, now);
}

/* Whether the record was written by this node before its last restart.  The
 * owner that it names no longer exists, so the shard is vacant. */
bool
cell_lead_from_earlier_boot(const struct cell_lead *l, const Ogl__CellLead *m)
{
	return strcmp(m->addr, l->addr) == 0 && m->boot != l->boot;
}

/* ---- heartbeats ------------------------------------------------------- */

void
cell_lead_append(
    struct lead_shard *s, Ogl__CellLead *m, cell_append_fn *done, void *arg)
{
	struct cell_lead *l = s->lead;
	char key[KEY_BYTES];
	struct cell_put put = {key, NULL};
	struct cell_append a = {.stream = m->claim ? CELL_CLAIMS : CELL_LEAD,
	    .shard = m->claim ? s->shard : 0,
	    .expected_end =
		m->claim ? (int64_t)MAX(s->epoch, s->claims_end) : -1,
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
	cell_lead_append(s, &m, on_heartbeat, h);
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

/* ---- periodic work ---------------------------------------------------- */

static void
step_shard(struct lead_shard *s, ogl_time now)
{
	heartbeat_if_due(s, now);
	if (s->lead->claiming_stopped)
		return;
	cell_lead_schedule_claim(s, now);
	if (s->claim_at <= now && !s->claiming)
		cell_lead_send_claim(s, now);
}

void
cell_lead_step(struct cell_lead *l, ogl_time now)
{
	uint32_t i;

	cell_lead_start_read(l, now);
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
		if (!cell_lead_is_preferred(&l->by_shard[i]))
			l->by_shard[i].last_heard = now;
	}
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
	cell_lead_step_down(s, now);
	cell_lead_set_owner(s, NULL, now);
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
		cell_lead_send_claim(s, now);
}

void
cell_lead_epoch_refused(struct cell_lead *l, uint32_t shard, ogl_time now)
{
	struct lead_shard *s = &l->by_shard[shard];

	if (!s->is_owner)
		return;
	cell_lead_step_down(s, now);
	cell_lead_set_owner(s, NULL, now);
	s->last_heard = now;
	s->no_claim_until = now + HEARTBEAT_TIMEOUT;
	cell_lead_read_claims(s);
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
		cell_lead_read_claims(s);
		return;
	}
	cell_lead_step_down(s, now);
	s->epoch = epoch;
	s->last_heard = now;
	s->suspect_epoch = 0;
	s->claim_at = OGL_NEVER;
	cell_lead_set_owner(s, addr, now);
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
	cell_lead_note_owner_clock(s, epoch, sent_us, now);
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
	       now - l->confirmed_at < CELL_LEASE_CONFIRMATION_MAX_AGE;
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
