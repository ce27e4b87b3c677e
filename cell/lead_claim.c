/*
 * The claims of a shard: when this node claims it, sending the claim, and
 * reading and applying the claims of all nodes.  lead.c describes the protocol.
 */

#include <string.h>

#include "lead_impl.h"

/* Each claim gets a random delay below this, so that most nodes read the first
 * claim before their own is due, and do not send it. */
#define CLAIM_JITTER_MS 150
/* A claim is delayed by this much for a shard that is not the node's preferred
 * one, and again for each shard that the node owns, as one shard per node is
 * best. */
#define OTHER_SHARD_DELAY_MS 200
/* Further delays of the first claims of a shard: those of nodes that prefer it
 * and are strong have to be read by the others before these claim. */
#define FIRST_OTHER_DELAY_MS 250
#define FIRST_WEAK_DELAY_MS 600

/* ---- applying claims -------------------------------------------------- */

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
	cell_lead_step_down(s, now);
	s->epoch = epoch;
	s->last_heard = now;
	s->claim_at = OGL_NEVER;
	if (!mine) {
		cell_lead_set_owner(
		    s, cell_lead_from_earlier_boot(l, m) ? NULL : m->addr, now);
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
	cell_lead_set_owner(s, l->addr, now);
	cell_lead_log_owner(s, "ownership_won", l->addr);
	l->events.won(l->events.arg, s->shard, epoch, now);
}

static void
apply_claims(struct lead_shard *s, const struct cell_record *records, size_t n,
    ogl_time now)
{
	size_t i;

	for (i = 0; i < n; i++) {
		const struct cell_record *r = &records[i];
		Ogl__CellLead *m =
		    r->dropped ? NULL : cell_lead_unpack(s->lead, r);

		/* An unreadable record claims nothing, but the next claim has
		 * to follow it. */
		s->claims_end = MAX(s->claims_end, r->offset + 1);
		if (m == NULL)
			continue;
		apply_claim(s, m, r->offset + 1, now);
		ogl__cell_lead__free_unpacked(m, NULL);
	}
}

/* ---- reading claims --------------------------------------------------- */

static void
on_newest_claim(void *arg, const struct cell_newest_answer *a, ogl_time now)
{
	struct lead_shard *s = arg;

	s->reading_claims = false;
	if (a->io != OGL_IO_OK)
		return;
	apply_claims(s, a->records, a->n, now);
	s->claims_end = MAX(s->claims_end, a->end);
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
	if (a->trimmed) {
		read_newest_claim(s);
		return;
	}
	apply_claims(s, a->records, a->n, now);
	if (a->n > 0 && s->claims_end < a->end)
		cell_lead_read_claims(s);
}

/* Reads the claims after the last one read. */
void
cell_lead_read_claims(struct lead_shard *s)
{
	struct cell_lead *l = s->lead;
	struct cell_read r = {.stream = CELL_CLAIMS,
	    .shard = s->shard,
	    .from = MAX(s->epoch, s->claims_end),
	    .timeout_ms = PROBE_TIMEOUT_MS};

	if (s->reading_claims)
		return;
	s->reading_claims = true;
	l->ops->read(l->ops->backend_ctx, &r, on_claims, s);
}

/* ---- claiming --------------------------------------------------------- */

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
		cell_lead_log_owner(
		    s, a->end_moved ? "claim_late" : "claim_failed", l->addr);
		if (a->end_moved || a->io == OGL_IO_LOST)
			cell_lead_read_claims(s);
		return;
	}
	l->claim_took = now - s->claim_sent_at;
	m.node = l->node;
	m.addr = l->addr;
	m.boot = l->boot;
	apply_claim(s, &m, a->offset + 1, now);
}

void
cell_lead_send_claim(struct lead_shard *s, ogl_time now)
{
	Ogl__CellLead m = OGL__CELL_LEAD__INIT;

	m.claim = true;
	s->claiming = true;
	s->claim_sent_at = now;
	s->claim_at = OGL_NEVER;
	cell_lead_append(s, &m, on_claim, s);
}

bool
cell_lead_is_preferred(const struct lead_shard *s)
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

	if (!cell_lead_is_preferred(s))
		delay_ms += OTHER_SHARD_DELAY_MS;
	/* At the first start of the cell all nodes see all shards without an
	 * owner at the same moment. */
	if (s->epoch == 0 && !cell_lead_is_preferred(s))
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
void
cell_lead_schedule_claim(struct lead_shard *s, ogl_time now)
{
	bool vacant = s->owner == NULL || s->epoch == 0;

	if (s->is_owner || s->claiming || s->reading_claims ||
	    now < s->no_claim_until || s->claim_at != OGL_NEVER)
		return;
	if (s->lead->quiet && !cell_lead_is_preferred(s))
		return;
	if (!cell_lead_store_answers(s->lead, now))
		return;
	if (!vacant && !heartbeat_timed_out(s, now))
		return;
	if (!vacant)
		cell_lead_log_owner(s, "owner_silent", s->owner);
	s->claim_at = now + claim_delay_ms(s) * OGL_MS;
}
