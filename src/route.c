/*
 * Routing of short requests to executors.
 *
 * A request goes to the target with the least expected time to its end among
 * a few drawn by chance.  The draw is what makes stale views harmless: nodes
 * that see the same idle target do not all send there at once.  The expected
 * time is the learned service time (an average that moves with each answer,
 * or the age of the oldest request there if that is longer) times the load
 * by slot: own requests in flight and what others are thought to have there.
 * Others' load is learned from refusals, which say that the target was full,
 * and fades.  A target of another zone must be clearly better.
 *
 * Each target has a limit of own requests in flight, found by additive
 * increase and multiplicative decrease on refusals, never above its slots.
 *
 * Breaker: a run of failures sets a target aside for a delay that doubles,
 * then one request probes it.  At most half the targets are set aside, since
 * a failure of all has a common cause that no choice of target mends.  Whose
 * fault a failure is, is told by route_blame.c; the rate at which requests
 * leave is kept by route_drain.c.
 */

#include <string.h>

#include "budget.h"
#include "route.h"

#define CHOICES 4                   /* targets compared a decision */
#define SERVICE_GAIN 0.1            /* of one answer in the average */
#define SERVICE_FIRST 20000.0       /* us, before any answer at all */
#define SERVICE_LIFE (10 * OGL_SEC) /* after which an average is stale */
#define OTHER_ZONE 1.15             /* how much better another zone must be */
#define OTHERS_FADE 0.95            /* of others' load, an answer */
#define OTHERS_LIFE (2 * OGL_SEC)   /* after which a refusal says nothing */
#define LIMIT_CUT 0.9               /* of the limit, a refusal */
#define LIMIT_LEAST 2.0             /* which refusals leave */
#define FAILS_ASIDE 5               /* in a row that set a target aside */
#define FAILS_LIFE (5 * OGL_SEC)    /* after which they no longer deter */
#define REFUSALS_ASIDE 8
#define ASIDE_BASE (1 * OGL_SEC)
#define ASIDE_DOUBLINGS 6
#define WAIT_UNKNOWN_MS 2000 /* no target, nothing known */
#define WAIT_MAX_MS 60000
#define WAIT_MIN_MS 20

enum aside {
	ASIDE_NOT,
	ASIDE_WAITS,  /* until its delay is over, then it may be probed */
	ASIDE_PROBING /* one request is out */
};

struct flight {
	uint64_t request;
	ogl_time since;
};

struct target {
	char *name;
	struct flight *flights; /* oldest first */
	uint32_t nflights, room;
	uint32_t slots;
	double limit;   /* own requests in flight */
	double service; /* us, moving average */
	ogl_time answered_at;
	ogl_time failed_at;
	double others; /* others' requests there, as of the last refusal */
	ogl_time others_at;
	ogl_time aside_due;
	uint32_t active;  /* index in the list of active, when in it */
	uint8_t aside;    /* enum aside */
	uint8_t fails;    /* in a row */
	uint8_t refusals; /* in a row */
	uint8_t strikes;  /* times set aside without an answer since */
	bool known;
	bool leaving;
	bool own_zone;
};

struct ogl_route {
	char *own_zone;
	struct target *targets;
	uint32_t n, room;
	GArray *spare;      /* uint32_t, numbers to give again */
	GHashTable *byname; /* name -> number */
	GArray *active;     /* uint32_t, those that may get requests */
	uint32_t naside;    /* set aside, not leaving or gone */
	ogl_time probe_due; /* earliest aside_due, OGL_NEVER for none */
	struct ogl_blame blame;
	double service; /* us, average over all targets */
	struct ogl_budget budget;
	bool begun; /* the budget knows the time */
	struct ogl_drain drain;
	uint64_t rnd;
};

static uint32_t
next_random(struct ogl_route *r)
{
	uint64_t x;

	r->rnd += 0x9e3779b97f4a7c15u;
	x = (r->rnd ^ (r->rnd >> 30)) * 0xbf58476d1ce4e5b9u;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
	return (uint32_t)(x >> 32);
}

static bool
known(const struct ogl_route *r, uint32_t t)
{
	return t < r->n && r->targets[t].known;
}

/* ---- which targets are in use ----------------------------------------- */

static void
activate(struct ogl_route *r, uint32_t t)
{
	r->targets[t].active = r->active->len;
	g_array_append_val(r->active, t);
}

static void
deactivate(struct ogl_route *r, uint32_t t)
{
	uint32_t i = r->targets[t].active;
	uint32_t last = g_array_index(r->active, uint32_t, r->active->len - 1);

	g_array_index(r->active, uint32_t, i) = last;
	r->targets[last].active = i;
	g_array_set_size(r->active, r->active->len - 1);
}

static bool
in_use(const struct target *k)
{
	return k->known && !k->leaving && k->aside == ASIDE_NOT;
}

static void
find_probe_due(struct ogl_route *r)
{
	const struct target *k;
	uint32_t i;

	r->probe_due = OGL_NEVER;
	for (i = 0; i < r->n; i++) {
		k = &r->targets[i];
		if (k->known && !k->leaving && k->aside == ASIDE_WAITS)
			r->probe_due = MIN(r->probe_due, k->aside_due);
	}
}

static void
set_state(struct ogl_route *r, uint32_t t, enum aside aside, bool leaving)
{
	struct target *k = &r->targets[t];
	bool before = in_use(k);

	if (k->aside == aside && k->leaving == leaving)
		return;
	r->naside -= !k->leaving && k->aside != ASIDE_NOT;
	k->aside = (uint8_t)aside;
	k->leaving = leaving;
	r->naside += !k->leaving && k->aside != ASIDE_NOT;
	if (before && !in_use(k))
		deactivate(r, t);
	else if (!before && in_use(k))
		activate(r, t);
	find_probe_due(r);
}

static void
set_aside(struct ogl_route *r, uint32_t t, ogl_time now)
{
	struct target *k = &r->targets[t];
	unsigned doublings = MIN(k->strikes, ASIDE_DOUBLINGS);

	if (k->strikes <= ASIDE_DOUBLINGS)
		k->strikes++;
	k->aside_due = now + ASIDE_BASE * ((ogl_time)1 << doublings);
	set_state(r, t, ASIDE_WAITS, k->leaving);
}

/* At most half of the targets are set aside. */
static bool
may_set_aside(const struct ogl_route *r)
{
	return r->naside < (r->active->len + r->naside) / 2;
}

/* ---- targets ---------------------------------------------------------- */

static uint32_t
new_number(struct ogl_route *r)
{
	uint32_t t;

	if (r->spare->len > 0) {
		t = g_array_index(r->spare, uint32_t, r->spare->len - 1);
		g_array_set_size(r->spare, r->spare->len - 1);
		return t;
	}
	if (r->n == r->room) {
		r->room = r->room * 2 + 8;
		r->targets = g_renew(struct target, r->targets, r->room);
	}
	return r->n++;
}

static uint32_t
new_target(struct ogl_route *r, const char *name)
{
	uint32_t t = new_number(r);
	struct target *k = &r->targets[t];

	memset(k, 0, sizeof(*k));
	k->name = g_strdup(name);
	k->known = true;
	g_hash_table_insert(r->byname, k->name, GUINT_TO_POINTER(t));
	activate(r, t);
	return t;
}

uint32_t
ogl_route_target(struct ogl_route *r, const char *name, const char *zone,
    uint32_t slots, bool leaving, ogl_time now)
{
	struct target *k;
	gpointer v;
	uint32_t t;

	(void)now;
	if (g_hash_table_lookup_extended(r->byname, name, NULL, &v))
		t = GPOINTER_TO_UINT(v);
	else
		t = new_target(r, name);
	k = &r->targets[t];
	k->own_zone = strcmp(zone != NULL ? zone : "", r->own_zone) == 0;
	slots = MAX(slots, 1);
	if (k->slots != slots) {
		k->slots = slots;
		k->limit = slots;
	}
	set_state(r, t, k->aside, leaving);
	return t;
}

void
ogl_route_drop(struct ogl_route *r, uint32_t t)
{
	struct target *k;

	if (!known(r, t))
		return;
	k = &r->targets[t];
	set_state(r, t, ASIDE_NOT, true);
	g_hash_table_remove(r->byname, k->name);
	g_free(k->name);
	g_free(k->flights);
	memset(k, 0, sizeof(*k));
	g_array_append_val(r->spare, t);
}

/* ---- picking ---------------------------------------------------------- */

static uint32_t
places(const struct target *k)
{
	uint32_t limit = (uint32_t)k->limit;

	return limit > k->nflights ? limit - k->nflights : 0;
}

/* What is left after some time of something that fades over a life. */
static double
fade(ogl_time since, ogl_time life, ogl_time now)
{
	double left = 1 - (double)(now - since) / (double)life;

	return left > 0 ? left : 0;
}

/*
 * Learned service time.  A target that is not chosen teaches nothing, so its
 * average returns to that of all; else one slow spell would shut it out.
 */
static double
service_now(const struct ogl_route *r, const struct target *k, ogl_time now)
{
	double all = r->service > 0 ? r->service : SERVICE_FIRST;

	if (k->service <= 0)
		return all;
	return all +
	       (k->service - all) * fade(k->answered_at, SERVICE_LIFE, now);
}

/* Expected time to the end of one more request there; less is better. */
static double
expected(const struct ogl_route *r, const struct target *k, ogl_time now)
{
	double service = service_now(r, k, now);
	double age = k->nflights > 0 ? (double)(now - k->flights[0].since) : 0;
	double others = k->others * fade(k->others_at, OTHERS_LIFE, now);
	double load = k->nflights + others + 1;

	service = MAX(service, age);
	service *= 1 + k->fails * fade(k->failed_at, FAILS_LIFE, now);
	return service * (1 + load / k->slots) * (k->own_zone ? 1 : OTHER_ZONE);
}

static bool
was_tried(const uint32_t *tried, size_t n, uint32_t t)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (tried[i] == t)
			return true;
	}
	return false;
}

/* The best of a few targets drawn by chance that have a place. */
static bool
draw(struct ogl_route *r, const uint32_t *tried, size_t ntried, ogl_time now,
    uint32_t *best)
{
	uint32_t n = r->active->len, seen = 0, i, j, t;
	double score, least = 0;

	/* A partial shuffle in place: each step draws one not drawn yet. */
	for (i = 0; i < n && seen < CHOICES; i++) {
		j = i + next_random(r) % (n - i);
		t = g_array_index(r->active, uint32_t, j);
		g_array_index(r->active, uint32_t, j) =
		    g_array_index(r->active, uint32_t, i);
		r->targets[g_array_index(r->active, uint32_t, j)].active = j;
		g_array_index(r->active, uint32_t, i) = t;
		r->targets[t].active = i;
		if (places(&r->targets[t]) == 0 || was_tried(tried, ntried, t))
			continue;
		score = expected(r, &r->targets[t], now);
		if (seen == 0 || score < least) {
			least = score;
			*best = t;
		}
		seen++;
	}
	return seen > 0;
}

/* A target whose delay is over and that may be probed by this request. */
static bool
due_for_probe(struct ogl_route *r, const uint32_t *tried, size_t ntried,
    ogl_time now, uint32_t *t)
{
	const struct target *k;
	uint32_t i;

	if (now < r->probe_due)
		return false;
	for (i = 0; i < r->n; i++) {
		k = &r->targets[i];
		if (!k->known || k->leaving || k->aside != ASIDE_WAITS)
			continue;
		if (now < k->aside_due || was_tried(tried, ntried, i))
			continue;
		*t = i;
		return true;
	}
	return false;
}

static void
fly(struct target *k, uint64_t request, ogl_time now)
{
	if (k->nflights == k->room) {
		k->room = k->room * 2 + 4;
		k->flights = g_renew(struct flight, k->flights, k->room);
	}
	k->flights[k->nflights].request = request;
	k->flights[k->nflights++].since = now;
}

bool
ogl_route_pick(struct ogl_route *r, uint64_t request, const uint32_t *tried,
    size_t ntried, ogl_time now, uint32_t *t)
{
	if (due_for_probe(r, tried, ntried, now, t)) {
		set_state(r, *t, ASIDE_PROBING, false);
	} else if (!draw(r, tried, ntried, now, t)) {
		ogl_drain_short(&r->drain, now);
		return false;
	}
	fly(&r->targets[*t], request, now);
	return true;
}

/* ---- answers ---------------------------------------------------------- */

/* Takes a request out of a target's flights; false when it is not there. */
static bool
land(struct target *k, uint64_t request, ogl_time *since)
{
	uint32_t i;

	for (i = 0; i < k->nflights && k->flights[i].request != request; i++)
		;
	if (i == k->nflights)
		return false;
	*since = k->flights[i].since;
	k->nflights--;
	memmove(&k->flights[i], &k->flights[i + 1],
	    (k->nflights - i) * sizeof(*k->flights));
	return true;
}

static void
learn(double *average, double took)
{
	if (*average > 0)
		*average += SERVICE_GAIN * (took - *average);
	else
		*average = took;
}

static void
answered(struct ogl_route *r, uint32_t t, ogl_time since, ogl_time now)
{
	struct target *k = &r->targets[t];
	double took = MAX((double)(now - since), 1);

	learn(&k->service, took);
	learn(&r->service, took);
	k->answered_at = now;
	if (k->nflights + 1 >= (uint32_t)k->limit)
		k->limit = MIN(k->limit + 1 / k->limit, k->slots);
	k->others *= OTHERS_FADE;
	k->fails = 0;
	k->refusals = 0;
	k->strikes = 0;
	ogl_budget_success(&r->budget);
	if (k->aside == ASIDE_PROBING) {
		/* Back with one place; more come as answers do. */
		k->limit = 1;
		set_state(r, t, ASIDE_NOT, k->leaving);
	}
}

static void
refused(struct ogl_route *r, uint32_t t, ogl_time now)
{
	struct target *k = &r->targets[t];

	k->limit = MIN(k->limit, k->nflights + 1) * LIMIT_CUT;
	k->limit = MIN(MAX(k->limit, LIMIT_LEAST), k->slots);
	k->others = k->slots > k->nflights ? k->slots - k->nflights : 0;
	k->others_at = now;
	if (k->refusals < UINT8_MAX)
		k->refusals++;
	if (k->aside == ASIDE_PROBING ||
	    (k->aside == ASIDE_NOT && k->nflights == 0 &&
		k->refusals >= REFUSALS_ASIDE && may_set_aside(r)))
		set_aside(r, t, now);
}

/* A failure already counted against t was the request's own. */
static void
unblame(struct ogl_route *r, uint32_t t)
{
	struct target *k = &r->targets[t];

	if (!known(r, t) || k->fails == 0)
		return;
	k->fails--;
	if (k->aside != ASIDE_WAITS || k->fails >= FAILS_ASIDE)
		return;
	k->strikes -= k->strikes > 0;
	set_state(r, t, ASIDE_NOT, k->leaving);
}

static void
failed(struct ogl_route *r, uint32_t t, uint64_t request, bool unreached,
    ogl_time now)
{
	struct target *k = &r->targets[t];
	bool blamed = true;
	uint32_t before;

	/* What never reached the target cannot be the request's fault. */
	if (!unreached) {
		while (ogl_blame_lift(&r->blame, request, t, now, &before))
			unblame(r, before);
		blamed = ogl_blame_note(&r->blame, request, t, now);
	}
	if (k->aside == ASIDE_PROBING) {
		set_aside(r, t, now);
		return;
	}
	if (!blamed)
		return;
	if (k->fails < UINT8_MAX)
		k->fails++;
	k->failed_at = now;
	if (k->aside == ASIDE_NOT && k->fails >= FAILS_ASIDE &&
	    may_set_aside(r))
		set_aside(r, t, now);
}

void
ogl_route_done(struct ogl_route *r, uint32_t t, uint64_t request,
    enum ogl_io io, uint32_t http_status, ogl_time now)
{
	ogl_time since;

	if (!known(r, t) || !land(&r->targets[t], request, &since))
		return;
	if (io == OGL_IO_OK)
		ogl_drain_count(&r->drain, now);
	if (io == OGL_IO_OK && http_status < 500)
		answered(r, t, since, now);
	else if (io == OGL_IO_REFUSED)
		refused(r, t, now);
	else
		failed(r, t, request, io == OGL_IO_NOT_SENT, now);
}

bool
ogl_route_may_retry(struct ogl_route *r, ogl_time now)
{
	if (!r->begun)
		ogl_budget_init(&r->budget, now);
	r->begun = true;
	return ogl_budget_take(&r->budget, now);
}

/* ---- what callers are told -------------------------------------------- */

/* Requests a second that the targets in use can end, by what was learned. */
static double
capacity(const struct ogl_route *r, ogl_time now)
{
	const struct target *k;
	double sum = 0;
	uint32_t i;

	for (i = 0; i < r->active->len; i++) {
		k = &r->targets[g_array_index(r->active, uint32_t, i)];
		sum += k->limit * OGL_SEC / service_now(r, k, now);
	}
	return sum;
}

/* With no target in use the next probe decides. */
static uint64_t
wait_for_probe(const struct ogl_route *r, ogl_time now)
{
	uint64_t ms;

	if (r->probe_due == OGL_NEVER)
		return WAIT_UNKNOWN_MS;
	ms = r->probe_due > now ? (uint64_t)(r->probe_due - now) / OGL_MS : 0;
	return CLAMP(ms, WAIT_MIN_MS, WAIT_MAX_MS);
}

uint64_t
ogl_route_wait_ms(const struct ogl_route *r, size_t ahead, ogl_time now)
{
	uint32_t free = ogl_route_free(r, now);
	double rate, ms;

	if (ahead < free)
		return 0;
	if (r->active->len == 0)
		return wait_for_probe(r, now);
	rate = ogl_drain_rate(&r->drain, now);
	if (rate <= 0)
		rate = capacity(r, now);
	ms = (double)(ahead - free + 1) * 1000 / rate;
	return ms < WAIT_MAX_MS ? (uint64_t)ms + 1 : WAIT_MAX_MS;
}

uint32_t
ogl_route_free(const struct ogl_route *r, ogl_time now)
{
	uint32_t i, sum = 0;

	(void)now;
	for (i = 0; i < r->active->len; i++) {
		sum +=
		    places(&r->targets[g_array_index(r->active, uint32_t, i)]);
	}
	return sum;
}

/* ---- whole ------------------------------------------------------------ */

struct ogl_route *
ogl_route_init(uint64_t seed, const char *own_zone)
{
	struct ogl_route *r = g_new0(struct ogl_route, 1);

	r->own_zone = g_strdup(own_zone != NULL ? own_zone : "");
	r->spare = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	r->active = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	r->byname = g_hash_table_new(g_str_hash, g_str_equal);
	r->probe_due = OGL_NEVER;
	ogl_drain_init(&r->drain);
	r->rnd = seed;
	return r;
}

void
ogl_route_end(struct ogl_route *r)
{
	uint32_t i;

	if (r == NULL)
		return;
	for (i = 0; i < r->n; i++) {
		if (!r->targets[i].known)
			continue;
		g_free(r->targets[i].name);
		g_free(r->targets[i].flights);
	}
	g_hash_table_destroy(r->byname);
	g_array_free(r->active, TRUE);
	g_array_free(r->spare, TRUE);
	g_free(r->targets);
	g_free(r->own_zone);
	g_free(r);
}

size_t
ogl_route_bytes(const struct ogl_route *r)
{
	size_t n = sizeof(*r) + r->room * sizeof(*r->targets);
	uint32_t i;

	for (i = 0; i < r->n; i++)
		n += r->targets[i].room * sizeof(struct flight);
	return n;
}
