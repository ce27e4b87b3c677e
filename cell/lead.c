/*
 * A claim is appended on the condition that the stream still ends where the
 * claimant read it to; so of several claims after the same record one lands.
 * Its offset + 1 is the epoch, which no other claim can have, and which the
 * owner's records on the store and its orders to workers bear.
 *
 * The owner appends a heartbeat each BEAT.  Everybody reads the stream with a
 * wait.  A node that hears nothing for SILENCE, although its reads are
 * answered, knows that the owner does not reach the store, and claims.  Where
 * the store itself is away nobody's reads are answered, no silence is counted
 * and the owner stays: it cannot have been replaced.  A node cut off alone
 * counts no silence either.
 *
 * The owner reads along: a claim above its own ends its ownership.  Until it
 * reads that, its orders are refused by every worker that the new owner has
 * called, and the new owner starts nothing that may run elsewhere before all
 * have answered it (owner.c).
 */

#include <string.h>

#include "lead.h"

/* Three beats fit into the silence that ends an ownership, so that one lost
 * or slow append does not. */
#define BEAT (400 * OGL_MS)
#define SILENCE (1300 * OGL_MS)
/* If besides nothing listens at the owner's address, its process has ended
 * (or a cut looks like it): one missed beat is enough then. */
#define SILENCE_DEAD (650 * OGL_MS)
/* An owner whose beats are not taken for so long says so to its peers. */
#define ABLE_MAX (750 * OGL_MS)
/* Claimants spread over this time: most read the first claim before they
 * would append theirs. */
#define SPREAD_MS 150
/* A machine of half a core or more claims without delay, one of half of that
 * LATE_MS later, and so on. */
#define STRONG 400
#define LATE_MS 100
#define LATE_MAX_MS 600
#define READ_WAIT_MS 1000
#define READ_TIMEOUT_MS 2200
#define APPEND_TIMEOUT_MS 900
#define BEATS_MAX 3
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

struct cell_lead {
	const struct cell_ops *ops;
	struct cell_lead_events events;
	char *node;
	char *addr;
	uint64_t boot;
	int32_t late_ms; /* of its claims, for a weak machine */
	GRand *rand;

	bool loaded; /* the newest record was read */
	bool reading;
	bool newest_next; /* read the newest record instead of the tail */
	ogl_time read_sent;
	ogl_time read_at; /* next read not before */
	uint64_t next;    /* offset to read from */

	uint64_t epoch;
	uint64_t vacated;    /* epoch whose owner has resigned */
	uint64_t told_epoch; /* that the last change was told with */
	char *owner;         /* address; NULL: vacant or never claimed */
	bool own;
	ogl_time last_news;    /* of the owner, or of a failed read */
	ogl_time confirmed_at; /* sending of the last good read */
	ogl_time last_read_ok;

	bool probing;
	ogl_time probe_sent;
	bool claiming;
	ogl_time claim_at; /* OGL_NEVER unless planned */
	ogl_time rest_until;
	bool retired;
	unsigned beats; /* appends under way */
	ogl_time beat_at;
	ogl_time beat_ok;   /* last beat taken, or the winning of ownership */
	ogl_time dead_hint; /* last sign that the owner's process has ended */
};

/*
 * The owner decides for the whole cell, so the strongest machines should win:
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
	l->rand = g_rand_new_with_seed((guint32)(seed ^ seed >> 32));
	l->newest_next = true;
	l->claim_at = OGL_NEVER;
	l->confirmed_at = CELL_LONG_AGO;
	l->last_read_ok = CELL_LONG_AGO;
	l->dead_hint = CELL_LONG_AGO;
	return l;
}

void
cell_lead_end(struct cell_lead *l)
{
	g_rand_free(l->rand);
	g_free(l->node);
	g_free(l->addr);
	g_free(l->owner);
	g_free(l);
}

/* ---- what the records say --------------------------------------------- */

static void
log_owner(struct cell_lead *l, const char *event, const char *addr)
{
	char text[160];

	g_snprintf(text, sizeof text, "owner=%s epoch=%" G_GUINT64_FORMAT,
	    addr != NULL ? addr : "none", l->epoch);
	l->ops->log(l->ops->ctx, "lead", event, text);
}

static void
step_down(struct cell_lead *l, ogl_time now)
{
	if (!l->own)
		return;
	l->own = false;
	log_owner(l, "ownership_lost", l->owner);
	l->events.lost(l->events.arg, now);
}

static void
set_owner(struct cell_lead *l, const char *addr, ogl_time now)
{
	/* The same node may own the cell again, in another epoch. */
	if (g_strcmp0(l->owner, addr) == 0 && l->told_epoch == l->epoch)
		return;
	l->told_epoch = l->epoch;
	g_free(l->owner);
	l->owner = g_strdup(addr);
	log_owner(l, "owner_changed", addr);
	l->events.changed(l->events.arg, l->owner, now);
}

/* The owner was this node before it started anew: nobody owns the cell. */
static bool
earlier_life(const struct cell_lead *l, const Ogl__CellLead *m)
{
	return strcmp(m->addr, l->addr) == 0 && m->boot != l->boot;
}

static void
take_claim(
    struct cell_lead *l, const Ogl__CellLead *m, uint64_t epoch, ogl_time now)
{
	bool mine = strcmp(m->node, l->node) == 0 && m->boot == l->boot;

	if (epoch <= l->epoch)
		return;
	step_down(l, now);
	l->epoch = epoch;
	l->last_news = now;
	l->claim_at = OGL_NEVER;
	if (!mine) {
		set_owner(l, earlier_life(l, m) ? NULL : m->addr, now);
		return;
	}
	if (l->retired)
		return; /* the silence that follows lets others claim */
	l->own = true;
	l->beat_at = now;
	l->beat_ok = now;
	set_owner(l, l->addr, now);
	log_owner(l, "ownership_won", l->addr);
	l->events.won(l->events.arg, epoch, now);
}

/* A heartbeat or resignation counts only for the epoch it was made in. */
static void
take_beat(struct cell_lead *l, const Ogl__CellLead *m, ogl_time now)
{
	/* A beat may have been on its way when its sender resigned. */
	if (m->epoch < l->epoch || m->epoch == l->vacated)
		return;
	if (m->epoch > l->epoch) {
		step_down(l, now);
		l->epoch = m->epoch;
	}
	l->last_news = now;
	if (!m->vacant) {
		l->claim_at = OGL_NEVER;
		if (!l->own)
			set_owner(l, earlier_life(l, m) ? NULL : m->addr, now);
		return;
	}
	l->vacated = m->epoch;
	step_down(l, now);
	set_owner(l, NULL, now);
}

static void
take_record(struct cell_lead *l, const struct cell_record *r, ogl_time now)
{
	Ogl__CellLead *m;

	if (r->dropped)
		return;
	m = ogl__cell_lead__unpack(
	    NULL, r->value.n, (const uint8_t *)r->value.p);
	if (m == NULL) {
		l->ops->log(l->ops->ctx, "lead", "record_unreadable", "");
		return;
	}
	if (m->claim)
		take_claim(l, m, r->offset + 1, now);
	else
		take_beat(l, m, now);
	ogl__cell_lead__free_unpacked(m, NULL);
}

/* ---- reading ---------------------------------------------------------- */

static void
read_failed(struct cell_lead *l, ogl_time now)
{
	l->read_at = now + RETRY;
	l->last_news = now;
	l->claim_at = OGL_NEVER;
}

static void
read_succeeded(struct cell_lead *l, ogl_time now)
{
	l->confirmed_at = MAX(l->confirmed_at, l->read_sent);
	l->last_read_ok = now;
	l->read_at = now;
}

static void
on_read(void *arg, const struct cell_read_answer *a, ogl_time now)
{
	struct cell_lead *l = arg;
	size_t i;

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
	read_succeeded(l, now);
	for (i = 0; i < a->n; i++) {
		if (a->records[i].offset < l->next)
			continue; /* a probe was faster */
		take_record(l, &a->records[i], now);
		l->next = a->records[i].offset + 1;
	}
}

/* A read that does not wait, to know for certain who owns the cell now. */
static void
on_probe(void *arg, const struct cell_read_answer *a, ogl_time now)
{
	struct cell_lead *l = arg;
	size_t i;

	l->probing = false;
	if (a->io != OGL_IO_OK || a->trimmed)
		return;
	l->confirmed_at = MAX(l->confirmed_at, l->probe_sent);
	l->last_read_ok = now;
	for (i = 0; i < a->n; i++) {
		if (a->records[i].offset < l->next)
			continue;
		take_record(l, &a->records[i], now);
		l->next = a->records[i].offset + 1;
	}
}

void
cell_lead_probe(struct cell_lead *l, ogl_time now)
{
	if (l->probing || !l->loaded || now < l->probe_sent + PROBE_GAP)
		return;
	l->probing = true;
	l->probe_sent = now;
	l->ops->read(l->ops->outside, CELL_LEAD, l->next, 0, PROBE_TIMEOUT_MS,
	    on_probe, l);
}

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
	if (!l->loaded)
		l->last_news = now;
	l->loaded = true;
	l->newest_next = false;
	read_succeeded(l, now);
	for (i = 0; i < a->n; i++)
		take_record(l, &a->records[i], now);
	l->next = a->end;
}

static void
read_on(struct cell_lead *l, ogl_time now)
{
	if (l->reading || now < l->read_at)
		return;
	l->reading = true;
	l->read_sent = now;
	if (l->newest_next)
		l->ops->newest(l->ops->outside, CELL_LEAD, NULL,
		    READ_TIMEOUT_MS, on_newest, l);
	else
		l->ops->read(l->ops->outside, CELL_LEAD, l->next, READ_WAIT_MS,
		    READ_TIMEOUT_MS, on_read, l);
}

/* ---- writing ---------------------------------------------------------- */

static void
append(struct cell_lead *l, Ogl__CellLead *m, int64_t at, cell_append_fn *done)
{
	size_t n;
	uint8_t *p;
	struct cell_put put = {(char *)(uintptr_t)LEAD_KEY, NULL};
	struct cell_append a = {.stream = CELL_LEAD,
	    .at = at,
	    .puts = &put,
	    .nputs = 1,
	    .timeout_ms = APPEND_TIMEOUT_MS};

	m->node = l->node;
	m->addr = l->addr;
	m->boot = l->boot;
	n = ogl__cell_lead__get_packed_size(m);
	p = g_malloc(n);
	ogl__cell_lead__pack(m, p);
	put.value = g_bytes_new_take(p, n);
	l->ops->append(l->ops->outside, &a, done, l);
	g_bytes_unref(put.value);
}

static void
on_beat(void *arg, const struct cell_append_answer *a, ogl_time now)
{
	struct cell_lead *l = arg;

	l->beats--;
	if (a->io == OGL_IO_OK)
		l->beat_ok = now;
}

static void
on_claim(void *arg, const struct cell_append_answer *a, ogl_time now)
{
	struct cell_lead *l = arg;
	Ogl__CellLead m = OGL__CELL_LEAD__INIT;

	l->claiming = false;
	if (a->io != OGL_IO_OK)
		return; /* if it landed all the same, the tail shows it */
	m.node = l->node;
	m.addr = l->addr;
	m.boot = l->boot;
	l->next = MAX(l->next, a->offset + 1);
	take_claim(l, &m, a->offset + 1, now);
}

static void
claim(struct cell_lead *l)
{
	Ogl__CellLead m = OGL__CELL_LEAD__INIT;

	m.claim = true;
	l->claiming = true;
	l->claim_at = OGL_NEVER;
	append(l, &m, (int64_t)l->next, on_claim);
}

/* Several beats may be under way: answers get lost. */
static void
beat(struct cell_lead *l, ogl_time now)
{
	Ogl__CellLead m = OGL__CELL_LEAD__INIT;

	if (!l->own || now < l->beat_at || l->beats >= BEATS_MAX)
		return;
	m.epoch = l->epoch;
	l->beats++;
	l->beat_at = now + BEAT;
	append(l, &m, -1, on_beat);
}

/* Plans a claim when nobody owns the cell, or its owner is silent. */
static void
watch(struct cell_lead *l, ogl_time now)
{
	bool dead = now - l->dead_hint < SILENCE_DEAD;
	bool silent = now - l->last_news > (dead ? SILENCE_DEAD : SILENCE);
	bool vacant = l->owner == NULL && l->epoch > 0;

	if (l->own || l->retired || !l->loaded || l->claiming ||
	    now < l->rest_until || l->claim_at != OGL_NEVER)
		return;
	if (!vacant && !silent && l->epoch > 0)
		return;
	if (!cell_lead_reads(l, now))
		return;
	l->claim_at =
	    now +
	    (l->late_ms + g_rand_int_range(l->rand, 0, SPREAD_MS)) * OGL_MS;
}

void
cell_lead_step(struct cell_lead *l, ogl_time now)
{
	read_on(l, now);
	beat(l, now);
	watch(l, now);
	if (l->claim_at <= now && !l->claiming)
		claim(l);
}

/* ---- giving up -------------------------------------------------------- */

void
cell_lead_resign(struct cell_lead *l, ogl_time now)
{
	Ogl__CellLead m = OGL__CELL_LEAD__INIT;

	l->rest_until = now + RESIGN_REST;
	l->claim_at = OGL_NEVER;
	if (!l->own)
		return;
	m.epoch = l->epoch;
	m.vacant = true;
	l->beats++;
	append(l, &m, -1, on_beat);
	step_down(l, now);
	set_owner(l, NULL, now);
}

void
cell_lead_retire(struct cell_lead *l, ogl_time now)
{
	l->retired = true;
	cell_lead_resign(l, now);
}

void
cell_lead_outranked(struct cell_lead *l, ogl_time now)
{
	if (!l->own)
		return;
	step_down(l, now);
	set_owner(l, NULL, now);
	l->last_news = now;
	l->rest_until = now + SILENCE;
}

void
cell_lead_doubt(struct cell_lead *l, uint64_t epoch, ogl_time now)
{
	if (l->own || epoch < l->epoch || l->owner == NULL)
		return;
	if (!cell_lead_reads(l, now))
		return;
	log_owner(l, "owner_unable", l->owner);
	set_owner(l, NULL, now);
}

void
cell_lead_hint_dead(struct cell_lead *l, ogl_time now)
{
	l->dead_hint = now;
}

bool
cell_lead_able(const struct cell_lead *l, ogl_time now)
{
	return l->own && now - l->beat_ok < ABLE_MAX;
}

bool
cell_lead_is_owner(const struct cell_lead *l)
{
	return l->own;
}

uint64_t
cell_lead_epoch(const struct cell_lead *l)
{
	return l->epoch;
}

const char *
cell_lead_addr(const struct cell_lead *l)
{
	return l->owner;
}

bool
cell_lead_may_act(const struct cell_lead *l, ogl_time now)
{
	return l->own && now - l->confirmed_at < ACT_MAX;
}

ogl_time
cell_lead_confirmed(const struct cell_lead *l)
{
	return l->confirmed_at;
}

bool
cell_lead_reads(const struct cell_lead *l, ogl_time now)
{
	return now - l->last_read_ok < READS_FRESH;
}
