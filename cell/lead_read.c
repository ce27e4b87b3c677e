/*
 * Reads the ownership stream of the cell and applies its records: heartbeats
 * and resignations of owners.  Tells from the answers whether the store can be
 * reached.
 */

#include <string.h>

#include "lead_impl.h"

/* For this long after an outage of its own, a node does not give up an owner
 * that reported trouble: when the store returns for all nodes, the owner needs
 * a moment to report that it reaches the store again. */
#define OUTAGE_GRACE (500 * OGL_MS)
/* A period of at least this length in which reads failed and none was answered
 * is an outage. */
#define OUTAGE_MIN (500 * OGL_MS)
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
#define READ_RETRY_DELAY (150 * OGL_MS)
/* The store counts as answering while the last answered read is no older than
 * this. */
#define READ_OK_MAX_AGE (1800 * OGL_MS)
#define PROBE_INTERVAL_MIN (20 * OGL_MS)

/* ---- records ---------------------------------------------------------- */

/* Records what the owner's clock showed when this node's showed now. */
void
cell_lead_note_owner_clock(
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
		cell_lead_step_down(s, now);
		s->epoch = m->epoch;
	} else if (s->lead->behind && !m->vacant && s->owner != NULL) {
		s->last_heard =
		    MAX(s->last_heard, old_heartbeat_time(s, m, now));
		return;
	}
	cell_lead_note_owner_clock(s, m->epoch, m->sent_us, now);
	s->last_heard = now;
	s->suspect_epoch = 0;
	if (!m->vacant) {
		s->claim_at = OGL_NEVER;
		if (!s->is_owner)
			cell_lead_set_owner(s,
			    cell_lead_from_earlier_boot(s->lead, m) ? NULL
								    : m->addr,
			    now);
		return;
	}
	s->resigned_epoch = m->epoch;
	cell_lead_step_down(s, now);
	cell_lead_set_owner(s, NULL, now);
}

Ogl__CellLead *
cell_lead_unpack(struct cell_lead *l, const struct cell_record *r)
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
		cell_lead_apply_plan(l, r, now);
		return;
	}
	if (strcmp(r->key, PLANNER_KEY) == 0) {
		cell_lead_apply_planner(l, r, now);
		return;
	}
	m = cell_lead_unpack(l, r);
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
			cell_lead_log_owner(s, "owner_unable", s->owner);
			cell_lead_set_owner(s, NULL, now);
		}
		s->suspect_epoch = 0;
	}
}

/* Whether the records that the answer left out, as it has a limited size, have
 * been read: only then does it show the present owners. */
static bool
reaches_end(const struct cell_lead *l, const struct cell_read_answer *a)
{
	return l->next_offset >= a->end;
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
	if (!reaches_end(l, a)) {
		read_answered(l, now);
		l->next_read_at = a->n > 0 ? now : now + READ_RETRY_DELAY;
		return;
	}
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
	if (!reaches_end(l, a))
		return;
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
apply_page(
    struct cell_lead *l, const struct cell_newest_answer *a, ogl_time now)
{
	size_t i;

	for (i = 0; i < a->n; i++) {
		if (strcmp(a->records[i].key, PLAN_KEY) == 0)
			apply_record(l, &a->records[i], now);
	}
	for (i = 0; i < a->n; i++)
		apply_record(l, &a->records[i], now);
}

/* Our own records fit one page; there are more if another program writes to
 * the stream. */
static void
on_newest(void *arg, const struct cell_newest_answer *a, ogl_time now)
{
	struct cell_lead *l = arg;
	bool first_page = l->list_after == NULL;

	l->reading = false;
	if (a->io != OGL_IO_OK) {
		read_failed(l, now);
		return;
	}
	if (first_page) {
		l->list_end = a->end;
		l->list_sent_at = l->read_sent_at;
		l->list_without_shards = l->shards == 0;
	}
	apply_page(l, a, now);
	g_clear_pointer(&l->list_after, g_free);
	if (a->more && a->n > 0) {
		l->list_after = g_strdup(a->records[a->n - 1].key);
		l->newest_wanted = true;
		l->next_read_at = now;
		return;
	}
	if (!first_page && l->list_without_shards && l->shards > 0) {
		l->newest_wanted = true; /* for the pages before the number */
		l->next_read_at = now;
		return;
	}
	l->loaded = true;
	l->newest_wanted = false;
	l->next_offset = l->list_end;
	l->read_sent_at = l->list_sent_at;
	caught_up(l);
	read_succeeded(l, now);
}

void
cell_lead_start_read(struct cell_lead *l, ogl_time now)
{
	struct cell_read r = {.stream = CELL_LEAD,
	    .from = l->next_offset,
	    .wait_ms = l->quiet ? 0 : READ_WAIT_MS,
	    .timeout_ms = READ_TIMEOUT_MS};
	struct cell_newest q = {.stream = CELL_LEAD,
	    .after = l->list_after,
	    .timeout_ms = READ_TIMEOUT_MS};

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

bool
cell_lead_store_answers(const struct cell_lead *l, ogl_time now)
{
	return now - l->last_read_ok <
	       READ_OK_MAX_AGE + (l->quiet ? QUIET_READ_INTERVAL : 0);
}
