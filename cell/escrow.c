/*
 * Divides the limit of each team among the shards of the cell.
 *
 * Each team has a coordinator, the owner of the shard that the team's name
 * hashes to.  A shard reports the part that it holds and the part that it
 * wants; the coordinator answers with the part that it may hold from then on,
 * so that all parts together never exceed the whole limit.  A shard that does
 * not use its part reduces it without being asked, and reports that.
 *
 * Reports are numbered, each owner's above those of its predecessors.  For each
 * shard, the coordinator uses the report with the highest number.  A shard
 * accepts a grant only if it answers the shard's last report.  Otherwise a grant
 * that arrives after the shard has reported a smaller part would restore the
 * larger one, which may already be granted to another shard.
 *
 * None of this is stored.  A new coordinator grants nothing before each shard
 * has reported what it holds, under a number that invalidates all grants of the
 * previous coordinator.  A new owner of a shard asks for the part that its
 * predecessor held, and starts no task of the team until it knows; if the
 * coordinator is new as well, the new owner gets what the other shards leave.
 * What the predecessor's tasks may still use in the shard is granted to no
 * other shard, even where it exceeds the shard's own part.
 *
 * When a shard gets less than it wants, the coordinator asks the others to
 * return all that they do not use at the moment, and grants it later.  Shards
 * that want more themselves are asked as well: otherwise several of them would
 * each hold a part that is too small for what waits there, and a team could use
 * half of its limit only.  Returned parts go to one shard after the other, in
 * the order of the rank of the waiting work and then of its age, and a shard
 * gets nothing with which it could start nothing.  For a while, what is returned
 * is kept for the first in the order, so that a gang can start.
 *
 * Parts are fractions of a limit, so a changed limit needs no message.  After a
 * limit was lowered, however, tasks that run on may use more than their shard's
 * part of it.  Such a shard reports what they use as what it holds.  While all
 * parts together exceed the limit, the coordinator takes the excess from every
 * shard, so that none starts a task before enough of the others have ended.
 */

#include <string.h>

#include "escrow.h"

/* Minimum time between two reports that ask for a larger part of a team's
 * limit.  A round trip to the coordinator takes 2 to 6 ms. */
#define REPORT_INTERVAL_MIN (8 * OGL_MS)
/* Delay before the next report or query after a grant of less than the shard
 * wanted, because other shards have to return something first. */
#define DENIED_BACKOFF (60 * OGL_MS)
/* If a message is not answered within this time, it or its recipient is assumed
 * to be lost, and it is sent again. */
#define ANSWER_TIMEOUT (120 * OGL_MS)
/* How often each team is checked for messages to repeat and parts to return. */
#define SWEEP_INTERVAL (100 * OGL_MS)
/* A shard keeps an eighth of what it uses and a fiftieth of the limit as spare
 * capacity, so that ordinary variation needs no message. */
#define SPARE_USED_DIVISOR 8
#define SPARE_PPM (CELL_PART_WHOLE_PPM / 50)
/* A part that exceeds use and spare capacity for this long is reduced. */
#define IDLE_TIMEOUT (500 * OGL_MS)
/* A shard asks for this much more than it needs, because further starts usually
 * follow at once. */
#define REQUEST_AHEAD_PPM (CELL_PART_WHOLE_PPM / 50)

/* A shard that uses more than its part reports that this often, in case that
 * the coordinator is new. */
#define OVERUSE_REPORT_INTERVAL (500 * OGL_MS)
/* A shard that wants more asks again at least this often. */
#define WANT_TIMEOUT (1200 * OGL_MS)
/* For this long, returned parts are kept for the first shard in the order. */
#define COLLECT_TIME_MAX OGL_SEC
/* The number of a report is the epoch in its upper bits and a counter below. */
#define NUMBER_EPOCH_SHIFT 32

/* What the coordinator knows of one shard.  held, used and wanted are in
 * millionths of the team's limit. */
struct shard_state {
	bool reported;
	uint64_t epoch;  /* epoch of the owner that reported last */
	uint64_t number; /* number of its last report */
	uint32_t held;   /* its part, or what runs there if that is more */
	uint32_t used;   /* in the last report; usually less than held */
	uint32_t wanted;
	uint32_t least;
	uint32_t rank;
	ogl_time wants_since; /* 0: it wants no more than it holds */
	bool answer_due;      /* the last report was not answered yet */
};

struct team {
	char *name;
	/* State of this shard as a holder of a part; held and wanted are in
	 * millionths of the limit. */
	bool known; /* the coordinator has said what this shard holds */
	uint32_t held;
	uint32_t wanted;
	uint32_t least;
	uint32_t rank;
	ogl_time asked_at; /* last request for more */
	uint64_t number;   /* number of the last report */
	uint32_t reported; /* held in it */
	bool unanswered;   /* the last report was not answered yet */
	ogl_time sent_at;
	bool report_due;         /* wants more, not reported yet */
	ogl_time next_report_at; /* earliest time of the next report for more */
	ogl_time idle_since;     /* held exceeds the need; 0 if it does not */
	/* State of this shard as the coordinator. */
	bool has_reports; /* a shard has reported to this owner */
	ogl_time next_query_at;
	struct shard_state states[CELL_SHARDS_MAX];
};

struct cell_escrow {
	struct cell_escrow_events events;
	uint32_t shard;
	uint32_t shards;
	bool open;
	uint64_t epoch;
	GHashTable *teams;    /* name -> struct team */
	unsigned reports_due; /* number of teams with report_due */
	ogl_time next_sweep_at;
};

static void
team_free(void *p)
{
	struct team *t = p;

	g_free(t->name);
	g_free(t);
}

struct cell_escrow *
cell_escrow_init(
    uint32_t shard, uint32_t shards, const struct cell_escrow_events *events)
{
	struct cell_escrow *e = g_new0(struct cell_escrow, 1);

	e->events = *events;
	e->shard = shard;
	e->shards = shards;
	e->teams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, team_free);
	return e;
}

void
cell_escrow_end(struct cell_escrow *e)
{
	g_hash_table_unref(e->teams);
	g_free(e);
}

void
cell_escrow_open(struct cell_escrow *e, uint64_t epoch)
{
	g_hash_table_remove_all(e->teams);
	e->reports_due = 0;
	e->open = true;
	e->epoch = epoch;
}

void
cell_escrow_close(struct cell_escrow *e)
{
	g_hash_table_remove_all(e->teams);
	e->open = false;
}

static struct team *
find_or_add_team(struct cell_escrow *e, const char *name)
{
	struct team *t = g_hash_table_lookup(e->teams, name);

	if (t == NULL) {
		t = g_new0(struct team, 1);
		t->name = g_strdup(name);
		t->number = e->epoch << NUMBER_EPOCH_SHIFT;
		g_hash_table_insert(e->teams, t->name, t);
	}
	return t;
}

/* The coordinator's shard is chosen by the hash that also spreads jobs. */
static uint32_t
coordinator_of(const struct cell_escrow *e, const char *team)
{
	return cell_shard_of_job(team, NULL, e->shards);
}

static void
send_part(struct cell_escrow *e, uint32_t to, Ogl__CellPart *m, struct team *t)
{
	m->team = t->name;
	m->from_shard = e->shard;
	m->from_epoch = e->epoch;
	e->events.send(e->events.arg, to, m);
}

/* ---- shards ----------------------------------------------------------- */

static void
set_report_due(struct cell_escrow *e, struct team *t, bool due)
{
	if (t->report_due != due)
		e->reports_due += due ? 1U : -1U;
	t->report_due = due;
}

static uint32_t
running(const struct cell_escrow *e, const struct team *t)
{
	return e->events.running(e->events.arg, t->name);
}

static void
send_report(struct cell_escrow *e, struct team *t, ogl_time now)
{
	Ogl__CellPart m = OGL__CELL_PART__INIT;

	set_report_due(e, t, false);
	m.kind = OGL__CELL_PART_KIND__cell_part_report;
	m.number = ++t->number;
	m.fresh = !t->known;
	m.held = MAX(t->held, running(e, t));
	t->reported = m.held;
	m.used = e->events.used(e->events.arg, t->name);
	m.wanted = t->wanted;
	m.least = t->least;
	m.rank = t->rank;
	t->unanswered = true;
	t->sent_at = now;
	t->next_report_at = now + REPORT_INTERVAL_MIN;
	send_part(e, coordinator_of(e, t->name), &m, t);
}

uint32_t
cell_escrow_part(struct cell_escrow *e, const char *team)
{
	const struct team *t;

	if (e->shards == 1)
		return CELL_PART_WHOLE_PPM;
	t = g_hash_table_lookup(e->teams, team);
	return t != NULL && t->known ? t->held : 0;
}

void
cell_escrow_watch(struct cell_escrow *e, const char *team)
{
	if (e->open && e->shards > 1)
		find_or_add_team(e, team);
}

static uint32_t
ahead(uint32_t part)
{
	return MIN(part + REQUEST_AHEAD_PPM, CELL_PART_WHOLE_PPM);
}

void
cell_escrow_request(struct cell_escrow *e, const char *team,
    const struct cell_part_need *need, ogl_time now)
{
	struct team *t;

	if (!e->open || e->shards == 1)
		return;
	t = find_or_add_team(e, team);
	if (t->known && need->wanted <= t->held)
		return;
	if (t->asked_at == now && need->rank >= t->rank)
		return;
	t->asked_at = now;
	t->wanted = ahead(need->wanted);
	t->least = need->least;
	t->rank = need->rank;
	/* Another report would invalidate a grant that answers the last one. */
	if (now >= t->next_report_at && !t->unanswered)
		send_report(e, t, now);
	else
		set_report_due(e, t, true);
}

static void
handle_grant(struct cell_escrow *e, const Ogl__CellPart *m, ogl_time now)
{
	struct team *t = find_or_add_team(e, m->team);
	uint32_t before = t->held;

	if (m->number != t->number)
		return;
	t->known = true;
	t->unanswered = false;
	t->held = m->held;
	if (t->held < t->wanted)
		t->next_report_at = now + DENIED_BACKOFF;
	if (t->held > before)
		e->events.granted(e->events.arg, now);
	else if (t->held < before)
		send_report(e, t, now); /* the rest is free for others */
}

static void
handle_query(struct cell_escrow *e, const Ogl__CellPart *m, ogl_time now)
{
	struct team *t = find_or_add_team(e, m->team);
	uint32_t used = e->events.used(e->events.arg, t->name);

	if (m->wanted > 0) {
		bool wants = t->wanted > t->held;

		t->held = MIN(t->held, used);
		if (!wants)
			t->wanted = t->held;
	}
	send_report(e, t, now);
}

/* Withdraws a request that was not repeated: what waited has been started with
 * less, has ended or has been cancelled. */
static bool
withdraw_want(struct cell_escrow *e, struct team *t, ogl_time now)
{
	if (t->wanted <= t->held || now - t->asked_at < WANT_TIMEOUT)
		return false;
	t->wanted = t->held;
	send_report(e, t, now);
	return true;
}

/* Reduces the part to use and spare capacity after IDLE_TIMEOUT. */
static void
return_unused(struct cell_escrow *e, struct team *t, ogl_time now)
{
	uint32_t used = e->events.used(e->events.arg, t->name);
	uint32_t keep = used + used / SPARE_USED_DIVISOR + SPARE_PPM;

	if (t->held <= keep) {
		t->idle_since = 0;
		return;
	}
	if (t->idle_since == 0)
		t->idle_since = now;
	if (now - t->idle_since < IDLE_TIMEOUT)
		return;
	t->idle_since = 0;
	t->held = used > 0 ? keep : 0;
	t->wanted = t->held;
	send_report(e, t, now);
}

/* Reports use beyond the part, which a lowered limit or a takeover brings. */
static bool
report_overuse(struct cell_escrow *e, struct team *t, ogl_time now)
{
	uint32_t now_running = running(e, t);

	if (now_running <= t->held)
		return false;
	if (now_running <= t->reported &&
	    now - t->sent_at < OVERUSE_REPORT_INTERVAL)
		return false;
	send_report(e, t, now);
	return true;
}

/* ---- the coordinator -------------------------------------------------- */

static bool
all_reported(const struct cell_escrow *e, const struct team *t)
{
	uint32_t i;

	for (i = 0; i < e->shards; i++) {
		if (!t->states[i].reported)
			return false;
	}
	return true;
}

/* The largest part that the shard may hold: what the parts and the use of the
 * other shards leave of the limit. */
static uint32_t
available_to(const struct cell_escrow *e, const struct team *t, uint32_t shard)
{
	uint64_t held_by_others = 0;
	uint32_t i;

	for (i = 0; i < e->shards; i++) {
		const struct shard_state *state = &t->states[i];

		if (i != shard)
			held_by_others += MAX(state->held, state->used);
	}
	return held_by_others < CELL_PART_WHOLE_PPM
		   ? (uint32_t)(CELL_PART_WHOLE_PPM - held_by_others)
		   : 0;
}

/* Asks the shards that have not reported yet for a report. */
static void
query_missing(struct cell_escrow *e, struct team *t, ogl_time now)
{
	uint32_t i;

	t->next_query_at = now + ANSWER_TIMEOUT;
	for (i = 0; i < e->shards; i++) {
		Ogl__CellPart m = OGL__CELL_PART__INIT;

		if (t->states[i].reported)
			continue;
		m.kind = OGL__CELL_PART_KIND__cell_part_query;
		send_part(e, i, &m, t);
	}
}

/*
 * Sends a query with wanted set to all other shards that hold more than they
 * use, which asks them to return what they do not use.  After a takeover a shard
 * may hold nothing although its last report says that something is in use.  It
 * is asked as well, because nothing else would make it report the end of that
 * use.  first: the shard that the parts are collected for.
 */
static void
query_holders(
    struct cell_escrow *e, struct team *t, uint32_t first, ogl_time now)
{
	uint32_t i;

	t->next_query_at = now + DENIED_BACKOFF;
	for (i = 0; i < e->shards; i++) {
		const struct shard_state *state = &t->states[i];
		Ogl__CellPart m = OGL__CELL_PART__INIT;

		if (MAX(state->held, state->used) == 0 || i == first)
			continue;
		m.kind = OGL__CELL_PART_KIND__cell_part_query;
		m.wanted = 1;
		send_part(e, i, &m, t);
	}
}

/* Records the report.  Returns false if it is outdated. */
static bool
update_state(struct shard_state *state, const Ogl__CellPart *m, ogl_time now)
{
	if (m->from_epoch < state->epoch ||
	    (m->from_epoch == state->epoch && m->number <= state->number))
		return false;
	state->epoch = m->from_epoch;
	state->number = m->number;
	state->used = m->used;
	state->wanted = m->wanted;
	state->least = m->least;
	state->rank = m->rank;
	state->held = m->fresh ? MAX(state->held, m->held) : m->held;
	if (state->wanted <= state->held)
		state->wants_since = 0;
	else if (state->wants_since == 0)
		state->wants_since = now;
	state->reported = true;
	state->answer_due = true;
	return true;
}

/* The part that the shard may keep: less than it holds only if all shards
 * together hold more than the whole limit. */
static uint32_t
part_to_keep(const struct cell_escrow *e, const struct team *t, uint32_t shard)
{
	uint64_t held_by_others = 0;
	uint32_t i;

	for (i = 0; i < e->shards; i++) {
		if (i != shard)
			held_by_others += t->states[i].held;
	}
	if (held_by_others >= CELL_PART_WHOLE_PPM)
		return 0;
	return MIN(t->states[shard].held,
	    (uint32_t)(CELL_PART_WHOLE_PPM - held_by_others));
}

/* A part that the grant reduces counts as held until the shard has reported
 * the smaller one. */
static void
send_grant(struct cell_escrow *e, struct team *t, uint32_t shard)
{
	struct shard_state *state = &t->states[shard];
	Ogl__CellPart grant = OGL__CELL_PART__INIT;

	state->answer_due = false;
	grant.kind = OGL__CELL_PART_KIND__cell_part_grant;
	grant.number = state->number;
	grant.held = part_to_keep(e, t, shard);
	send_part(e, shard, &grant, t);
}

static bool
before(const struct shard_state *a, const struct shard_state *b)
{
	return a->rank != b->rank ? a->rank < b->rank
				  : a->wants_since < b->wants_since;
}

/* Lists the shards that want more than they hold, in the order in which they
 * are served; returns their number. */
static uint32_t
list_wanting(const struct cell_escrow *e, const struct team *t, uint32_t *list)
{
	uint32_t n = 0;
	uint32_t i, k;

	for (i = 0; i < e->shards; i++) {
		if (t->states[i].wanted <= t->states[i].held)
			continue;
		for (k = n++;
		     k > 0 && before(&t->states[i], &t->states[list[k - 1]]);
		     k--)
			list[k] = list[k - 1];
		list[k] = i;
	}
	return n;
}

/* Answers all reports, grants what was returned to shards that want more, and
 * reduces parts that exceed the limit together.  Returns the first shard that did not get enough, or the number of shards if
 * there is none. */
static uint32_t
send_grants(struct cell_escrow *e, struct team *t, ogl_time now)
{
	uint32_t wanting[CELL_SHARDS_MAX];
	uint32_t n = list_wanting(e, t, wanting);
	uint32_t denied = e->shards;
	bool collecting = false;
	uint32_t i;

	for (i = 0; i < n; i++) {
		struct shard_state *state = &t->states[wanting[i]];
		uint32_t available = available_to(e, t, wanting[i]);

		if (!collecting && available > state->held &&
		    available >= state->least) {
			state->held = MIN(state->wanted, available);
			state->answer_due = true;
		}
		if (state->wanted <= state->held) {
			state->wants_since = 0;
			continue;
		}
		if (denied == e->shards)
			denied = wanting[i];
		if (state->held < state->least &&
		    now - state->wants_since < COLLECT_TIME_MAX)
			collecting = true;
	}
	for (i = 0; i < e->shards; i++) {
		if (t->states[i].answer_due ||
		    part_to_keep(e, t, i) < t->states[i].held)
			send_grant(e, t, i);
	}
	return denied;
}

/* No report is answered before each shard has reported.  Until then a new owner
 * can't be told what its shard holds; other shards go on using their parts. */
static void
handle_report(struct cell_escrow *e, const Ogl__CellPart *m, ogl_time now)
{
	struct team *t = find_or_add_team(e, m->team);
	uint32_t denied;

	if (coordinator_of(e, m->team) != e->shard)
		return;
	t->has_reports = true;
	if (!update_state(&t->states[m->from_shard], m, now))
		return;
	if (!all_reported(e, t)) {
		if (now >= t->next_query_at)
			query_missing(e, t, now);
		return;
	}
	denied = send_grants(e, t, now);
	if (denied < e->shards && now >= t->next_query_at)
		query_holders(e, t, denied, now);
}

void
cell_escrow_receive(struct cell_escrow *e, const Ogl__CellPart *m, ogl_time now)
{
	if (!e->open || m->from_shard >= e->shards || *m->team == '\0')
		return;
	switch (m->kind) {
	case OGL__CELL_PART_KIND__cell_part_report:
		handle_report(e, m, now);
		break;
	case OGL__CELL_PART_KIND__cell_part_query:
		handle_query(e, m, now);
		break;
	case OGL__CELL_PART_KIND__cell_part_grant:
		handle_grant(e, m, now);
		break;
	default:
		break;
	}
}

/* ---- timers ----------------------------------------------------------- */

static void
step_team(struct cell_escrow *e, struct team *t, ogl_time now)
{
	if (t->unanswered) {
		if (now - t->sent_at > ANSWER_TIMEOUT)
			send_report(e, t, now);
	} else if (!report_overuse(e, t, now) && t->known &&
		   !withdraw_want(e, t, now)) {
		return_unused(e, t, now);
	}
	if (t->has_reports && !all_reported(e, t) && now >= t->next_query_at)
		query_missing(e, t, now);
}

void
cell_escrow_step(struct cell_escrow *e, ogl_time now)
{
	bool sweep = now >= e->next_sweep_at;
	GHashTableIter it;
	gpointer v;

	if (!e->open || e->shards == 1 || (!sweep && e->reports_due == 0))
		return;
	if (sweep)
		e->next_sweep_at = now + SWEEP_INTERVAL;
	g_hash_table_iter_init(&it, e->teams);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct team *t = v;

		if (t->report_due && !t->unanswered && now >= t->next_report_at)
			send_report(e, t, now);
		if (sweep)
			step_team(e, t, now);
	}
}
