/*
 * Each team has a bank, the owner of the shard that its name hashes to.  A
 * shard reports what it holds and what it wants; the bank answers with what it
 * may hold from then on, so that all parts together are never more than the
 * whole limit.  What a shard does not use it lowers by itself and reports.
 *
 * Reports are numbered.  The bank goes by the highest number of the latest
 * owner of a shard, and a shard takes a grant only if it answers its last
 * report: a grant that was overtaken by a report in which the shard held less
 * would otherwise raise what the bank has already given to another.
 *
 * Nothing of this is stored.  A new bank grants nothing before each shard has
 * told it what it holds, under a number that makes all grants of the earlier
 * bank void.  A new owner of a shard asks what its predecessor held, and until
 * it knows starts nothing for that team; if the bank is new as well, it gets
 * what the others leave.  What may still be running there from before is kept
 * free for it, though it may be more than the shard is given.
 *
 * A shard that gets less than it wants is remembered, and the others are asked
 * to give back all that they do not use at the moment.
 *
 * Parts are fractions of a limit, so a changed limit needs no message.
 */

#include <string.h>

#include "escrow.h"

/* Between two reports of a team that wants more; the way to the bank and back
 * takes 2 to 6 ms. */
#define ASK_GAP (8 * OGL_MS)
/* After a grant that was less than wanted: others have to give back first. */
#define DENIED_GAP (60 * OGL_MS)
/* Without an answer for so long, the message or its bank was lost. */
#define REPEAT (120 * OGL_MS)
#define SWEEP (100 * OGL_MS)
/* Kept above what is used: an eighth, and a fiftieth of the limit, so that
 * ordinary ups and downs cost no message. */
#define SPARE_PART 8
#define SPARE (CELL_PART_WHOLE / 50)
/* More than that is given back after this time. */
#define IDLE_MAX (500 * OGL_MS)
/* What is asked for at once beyond the need, for the starts right after. */
#define AHEAD (CELL_PART_WHOLE / 50)

/* What the bank knows of one shard. */
struct account {
	bool heard;
	uint64_t epoch;  /* of the owner heard last */
	uint64_t number; /* of its last report */
	uint32_t held;
	uint32_t used; /* as of the last report; mostly less than held */
	uint32_t wanted;
	bool waits; /* the last report was not answered yet */
};

struct team {
	char *name;
	/* as a holder */
	bool known; /* what this shard holds was told by the bank */
	uint32_t held;
	uint32_t wanted;
	uint64_t number; /* of the last report */
	bool unanswered;
	ogl_time sent_at;
	bool asks;           /* wants more and has not said so yet */
	ogl_time ask_at;     /* next report for more not before */
	ogl_time idle_since; /* holds more than it needs, 0 it does not */
	/* as the bank */
	bool asked_of;
	ogl_time query_at;
	struct account accounts[CELL_SHARDS_MAX];
};

struct cell_escrow {
	struct cell_escrow_events events;
	uint32_t shard;
	uint32_t shards;
	bool open;
	uint64_t epoch;
	GHashTable *teams; /* name -> struct team */
	unsigned asking;   /* of them, those that want more unsaid */
	ogl_time sweep_at;
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
	e->asking = 0;
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
team_of(struct cell_escrow *e, const char *name)
{
	struct team *t = g_hash_table_lookup(e->teams, name);

	if (t == NULL) {
		t = g_new0(struct team, 1);
		t->name = g_strdup(name);
		g_hash_table_insert(e->teams, t->name, t);
	}
	return t;
}

/* Teams and jobs are spread by the same hash. */
static uint32_t
bank_of(const struct cell_escrow *e, const char *team)
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

/* ---- the holder ------------------------------------------------------- */

static void
set_asks(struct cell_escrow *e, struct team *t, bool asks)
{
	if (t->asks != asks)
		e->asking += asks ? 1U : -1U;
	t->asks = asks;
}

static void
report(struct cell_escrow *e, struct team *t, ogl_time now)
{
	Ogl__CellPart m = OGL__CELL_PART__INIT;

	set_asks(e, t, false);
	m.kind = OGL__CELL_PART_KIND__cell_part_report;
	m.number = ++t->number;
	m.fresh = !t->known;
	m.held = t->held;
	m.used = e->events.used(e->events.arg, t->name);
	m.wanted = t->wanted;
	t->unanswered = true;
	t->sent_at = now;
	t->ask_at = now + ASK_GAP;
	send_part(e, bank_of(e, t->name), &m, t);
}

uint32_t
cell_escrow_part(struct cell_escrow *e, const char *team)
{
	const struct team *t;

	if (e->shards == 1)
		return CELL_PART_WHOLE;
	t = g_hash_table_lookup(e->teams, team);
	return t != NULL && t->known ? t->held : 0;
}

void
cell_escrow_want(
    struct cell_escrow *e, const char *team, uint32_t part, ogl_time now)
{
	struct team *t;

	if (!e->open || e->shards == 1)
		return;
	t = team_of(e, team);
	if (t->known && part <= t->held)
		return;
	t->wanted = MIN(part + AHEAD, CELL_PART_WHOLE);
	/* Another report would make the grant on its way void. */
	if (now >= t->ask_at && !t->unanswered)
		report(e, t, now);
	else
		set_asks(e, t, true);
}

static void
take_grant(struct cell_escrow *e, const Ogl__CellPart *m, ogl_time now)
{
	struct team *t = team_of(e, m->team);
	uint32_t before = t->held;

	if (m->number != t->number)
		return;
	t->known = true;
	t->unanswered = false;
	t->held = m->held;
	if (t->held < t->wanted)
		t->ask_at = now + DENIED_GAP;
	if (t->held > before)
		e->events.granted(e->events.arg, now);
}

static void
take_query(struct cell_escrow *e, const Ogl__CellPart *m, ogl_time now)
{
	struct team *t = team_of(e, m->team);
	uint32_t used = e->events.used(e->events.arg, t->name);

	if (m->wanted > 0) {
		t->held = MIN(t->held, used);
		t->wanted = t->held;
	}
	report(e, t, now);
}

/* Gives back what has not been used for a while. */
static void
give_back(struct cell_escrow *e, struct team *t, ogl_time now)
{
	uint32_t used = e->events.used(e->events.arg, t->name);
	uint32_t keep = used + used / SPARE_PART + SPARE;

	if (t->held <= keep) {
		t->idle_since = 0;
		return;
	}
	if (t->idle_since == 0)
		t->idle_since = now;
	if (now - t->idle_since < IDLE_MAX)
		return;
	t->idle_since = 0;
	t->held = used > 0 ? keep : 0;
	t->wanted = t->held;
	report(e, t, now);
}

/* ---- the bank --------------------------------------------------------- */

static bool
all_heard(const struct cell_escrow *e, const struct team *t)
{
	uint32_t i;

	for (i = 0; i < e->shards; i++) {
		if (!t->accounts[i].heard)
			return false;
	}
	return true;
}

/* The most that a shard may hold beside what the others have. */
static uint32_t
left_for(const struct cell_escrow *e, const struct team *t, uint32_t shard)
{
	uint64_t others = 0;
	uint32_t i;

	for (i = 0; i < e->shards; i++) {
		const struct account *a = &t->accounts[i];

		if (i != shard)
			others += MAX(a->held, a->used);
	}
	return others < CELL_PART_WHOLE ? (uint32_t)(CELL_PART_WHOLE - others)
					: 0;
}

static void
query_missing(struct cell_escrow *e, struct team *t, ogl_time now)
{
	uint32_t i;

	t->query_at = now + REPEAT;
	for (i = 0; i < e->shards; i++) {
		Ogl__CellPart m = OGL__CELL_PART__INIT;

		if (t->accounts[i].heard)
			continue;
		m.kind = OGL__CELL_PART_KIND__cell_part_query;
		send_part(e, i, &m, t);
	}
}

/*
 * Shards that hold what they want are asked to give back what they can; also
 * those that only used something when they last reported, after a takeover, as
 * nothing else would make them say that it has ended.
 */
static void
call_in(struct cell_escrow *e, struct team *t, ogl_time now)
{
	uint32_t i;

	t->query_at = now + DENIED_GAP;
	for (i = 0; i < e->shards; i++) {
		const struct account *a = &t->accounts[i];
		Ogl__CellPart m = OGL__CELL_PART__INIT;

		if (MAX(a->held, a->used) == 0 || a->wanted > a->held)
			continue;
		m.kind = OGL__CELL_PART_KIND__cell_part_query;
		m.wanted = 1;
		send_part(e, i, &m, t);
	}
}

/* Whether the report is news; then the account says what its shard holds. */
static bool
take_account(struct account *a, const Ogl__CellPart *m)
{
	if (m->from_epoch < a->epoch ||
	    (m->from_epoch == a->epoch && m->number <= a->number))
		return false;
	a->epoch = m->from_epoch;
	a->number = m->number;
	a->used = m->used;
	a->wanted = m->wanted;
	if (!m->fresh)
		a->held = m->held;
	a->heard = true;
	a->waits = true;
	return true;
}

static void
answer(struct cell_escrow *e, struct team *t, uint32_t shard)
{
	struct account *a = &t->accounts[shard];
	uint32_t left = left_for(e, t, shard);
	Ogl__CellPart g = OGL__CELL_PART__INIT;

	if (a->wanted > a->held && left > a->held)
		a->held = MIN(a->wanted, left);
	a->waits = false;
	g.kind = OGL__CELL_PART_KIND__cell_part_grant;
	g.number = a->number;
	g.held = a->held;
	send_part(e, shard, &g, t);
}

/* Answers what was reported, and gives shards that got less before what has
 * come free; whether some still want more. */
static bool
answer_all(struct cell_escrow *e, struct team *t)
{
	bool denied = false;
	uint32_t i;

	for (i = 0; i < e->shards; i++) {
		struct account *a = &t->accounts[i];
		bool more = a->wanted > a->held && left_for(e, t, i) > a->held;

		if (a->waits || more)
			answer(e, t, i);
		denied = denied || a->wanted > a->held;
	}
	return denied;
}

/* Whoever reported before the last shard was heard waits until then: one that
 * does not know what it holds can't be told, and one that does goes on with
 * it. */
static void
take_report(struct cell_escrow *e, const Ogl__CellPart *m, ogl_time now)
{
	struct team *t = team_of(e, m->team);

	if (bank_of(e, m->team) != e->shard)
		return;
	t->asked_of = true;
	if (!take_account(&t->accounts[m->from_shard], m))
		return;
	if (!all_heard(e, t)) {
		if (now >= t->query_at)
			query_missing(e, t, now);
		return;
	}
	if (answer_all(e, t) && now >= t->query_at)
		call_in(e, t, now);
}

void
cell_escrow_take(struct cell_escrow *e, const Ogl__CellPart *m, ogl_time now)
{
	if (!e->open || m->from_shard >= e->shards || *m->team == '\0')
		return;
	switch (m->kind) {
	case OGL__CELL_PART_KIND__cell_part_report:
		take_report(e, m, now);
		break;
	case OGL__CELL_PART_KIND__cell_part_query:
		take_query(e, m, now);
		break;
	case OGL__CELL_PART_KIND__cell_part_grant:
		take_grant(e, m, now);
		break;
	default:
		break;
	}
}

/* ---- what falls due --------------------------------------------------- */

static void
step_team(struct cell_escrow *e, struct team *t, ogl_time now)
{
	if (t->unanswered && now - t->sent_at > REPEAT)
		report(e, t, now);
	else if (t->known && !t->unanswered)
		give_back(e, t, now);
	if (t->asked_of && !all_heard(e, t) && now >= t->query_at)
		query_missing(e, t, now);
}

void
cell_escrow_step(struct cell_escrow *e, ogl_time now)
{
	bool sweep = now >= e->sweep_at;
	GHashTableIter it;
	gpointer v;

	if (!e->open || e->shards == 1 || (!sweep && e->asking == 0))
		return;
	if (sweep)
		e->sweep_at = now + SWEEP;
	g_hash_table_iter_init(&it, e->teams);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct team *t = v;

		if (t->asks && !t->unanswered && now >= t->ask_at)
			report(e, t, now);
		if (sweep)
			step_team(e, t, now);
	}
}
