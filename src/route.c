/*
 * Routing of short requests to executors.
 *
 * A request goes to the target with the least expected completion time among
 * a few chosen at random.  Random choice keeps stale views harmless: nodes
 * that see the same idle target do not all send there at once.  The expected
 * time is the learned service time (a moving average over answers, or the age
 * of the oldest request there if that is longer) times the load per slot,
 * which counts own requests in flight and an estimate of those of other
 * nodes.  The estimate comes from refusals, which show that the target was
 * full, and decays.  A target in another zone is chosen only if its expected
 * time is clearly shorter.
 *
 * The limit of own requests in flight on a target is found by additive
 * increase and by multiplicative decrease on refusals.  It never exceeds the
 * target's slots.
 *
 * Circuit breaker: consecutive failures open a target's breaker for a delay
 * that doubles each time, then one request probes the target.  At most half
 * of the breakers are open, since a failure of all targets has a common cause
 * that no choice of target avoids.  route_blame.c decides whether a failure
 * is the target's fault; route_drain.c measures the rate at which requests
 * complete.
 */

#include <string.h>

#include "budget.h"
#include "route.h"

#define CANDIDATES 4                    /* targets compared for each request */
#define SERVICE_TIME_WEIGHT 0.1         /* weight of the newest answer */
#define SERVICE_TIME_INITIAL_US 20000.0 /* until the first answer */
#define SERVICE_TIME_EXPIRY (10 * OGL_SEC)
#define OTHER_ZONE_PENALTY 1.15 /* factor on the expected time */
#define OTHERS_DECAY 0.95       /* factor on others_in_flight per answer */
#define OTHERS_EXPIRY (2 * OGL_SEC)
#define LIMIT_DECREASE 0.9 /* factor on the limit for each refusal */
#define LIMIT_MIN 2.0      /* refusals do not lower it further */
#define FAILURES_TO_OPEN 5 /* consecutive failures */
/* The penalty for failures decays to nothing in this time. */
#define FAILURES_EXPIRY (5 * OGL_SEC)
#define REFUSALS_TO_OPEN 8 /* consecutive refusals */
#define OPEN_DELAY_MIN (1 * OGL_SEC)
#define OPEN_DELAY_DOUBLINGS_MAX 6
#define WAIT_NO_TARGET_MS 2000 /* without an active target or a probe */
#define WAIT_MAX_MS 60000
#define WAIT_MIN_MS 20

enum breaker {
	BREAKER_CLOSED,
	BREAKER_OPEN,     /* may be probed once its delay is over */
	BREAKER_HALF_OPEN /* one probing request is in flight */
};

struct in_flight {
	uint64_t request;
	ogl_time sent_at;
};

struct target {
	char *name;
	struct in_flight *in_flight; /* oldest first */
	uint32_t n_in_flight, in_flight_capacity;
	uint32_t slots;
	double limit;           /* most own requests in flight */
	double service_time_us; /* moving average, 0 before any answer */
	ogl_time answered_at;
	ogl_time failed_at;
	double others_in_flight; /* of other nodes, estimated at refused_at */
	ogl_time refused_at;
	ogl_time probe_at;     /* when its open breaker may be probed */
	uint32_t active_index; /* in the list of active, while in it */
	uint8_t breaker;       /* enum breaker */
	uint8_t failures;      /* consecutive */
	uint8_t refusals;      /* consecutive */
	uint8_t openings;      /* of the breaker since the last answer */
	bool known;
	bool leaving;
	bool in_own_zone;
};

struct ogl_route {
	char *own_zone;
	struct target *targets;
	uint32_t ntargets, targets_capacity;
	GArray *free_numbers; /* uint32_t, numbers of removed targets */
	GHashTable *by_name;  /* name -> number */
	GArray *active;       /* uint32_t, targets that may get requests */
	uint32_t n_tripped;   /* open or half-open, and not leaving */
	ogl_time next_probe;  /* earliest probe_at, OGL_NEVER for none */
	struct ogl_blame blame;
	double service_time_us; /* average over all targets */
	struct ogl_budget budget;
	bool budget_started;
	struct ogl_drain drain;
	uint64_t random_state;
};

static uint32_t
next_random(struct ogl_route *r)
{
	uint64_t x;

	r->random_state += 0x9e3779b97f4a7c15u;
	x = (r->random_state ^ (r->random_state >> 30)) * 0xbf58476d1ce4e5b9u;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
	return (uint32_t)(x >> 32);
}

static bool
known(const struct ogl_route *r, uint32_t t)
{
	return t < r->ntargets && r->targets[t].known;
}

/* ---- active targets and breakers -------------------------------------- */

static void
activate(struct ogl_route *r, uint32_t t)
{
	r->targets[t].active_index = r->active->len;
	g_array_append_val(r->active, t);
}

static void
deactivate(struct ogl_route *r, uint32_t t)
{
	uint32_t i = r->targets[t].active_index;
	uint32_t last = g_array_index(r->active, uint32_t, r->active->len - 1);

	g_array_index(r->active, uint32_t, i) = last;
	r->targets[last].active_index = i;
	g_array_set_size(r->active, r->active->len - 1);
}

static bool
is_active(const struct target *k)
{
	return k->known && !k->leaving && k->breaker == BREAKER_CLOSED;
}

static void
find_next_probe(struct ogl_route *r)
{
	const struct target *k;
	uint32_t i;

	r->next_probe = OGL_NEVER;
	for (i = 0; i < r->ntargets; i++) {
		k = &r->targets[i];
		if (k->known && !k->leaving && k->breaker == BREAKER_OPEN)
			r->next_probe = MIN(r->next_probe, k->probe_at);
	}
}

static void
set_state(struct ogl_route *r, uint32_t t, enum breaker breaker, bool leaving)
{
	struct target *k = &r->targets[t];
	bool was_active = is_active(k);

	if (k->breaker == breaker && k->leaving == leaving)
		return;
	r->n_tripped -= !k->leaving && k->breaker != BREAKER_CLOSED;
	k->breaker = (uint8_t)breaker;
	k->leaving = leaving;
	r->n_tripped += !k->leaving && k->breaker != BREAKER_CLOSED;
	if (was_active && !is_active(k))
		deactivate(r, t);
	else if (!was_active && is_active(k))
		activate(r, t);
	find_next_probe(r);
}

static void
open_breaker(struct ogl_route *r, uint32_t t, ogl_time now)
{
	struct target *k = &r->targets[t];
	unsigned doublings = MIN(k->openings, OPEN_DELAY_DOUBLINGS_MAX);

	if (k->openings <= OPEN_DELAY_DOUBLINGS_MAX)
		k->openings++;
	k->probe_at = now + OPEN_DELAY_MIN * ((ogl_time)1 << doublings);
	set_state(r, t, BREAKER_OPEN, k->leaving);
}

/* At most half of the breakers are open. */
static bool
may_open_breaker(const struct ogl_route *r)
{
	return r->n_tripped < (r->active->len + r->n_tripped) / 2;
}

/* ---- targets ---------------------------------------------------------- */

static uint32_t
new_number(struct ogl_route *r)
{
	uint32_t t;

	if (r->free_numbers->len > 0) {
		t = g_array_index(
		    r->free_numbers, uint32_t, r->free_numbers->len - 1);
		g_array_set_size(r->free_numbers, r->free_numbers->len - 1);
		return t;
	}
	if (r->ntargets == r->targets_capacity) {
		r->targets_capacity = r->targets_capacity * 2 + 8;
		r->targets =
		    g_renew(struct target, r->targets, r->targets_capacity);
	}
	return r->ntargets++;
}

static uint32_t
new_target(struct ogl_route *r, const char *name)
{
	uint32_t t = new_number(r);
	struct target *k = &r->targets[t];

	memset(k, 0, sizeof(*k));
	k->name = g_strdup(name);
	k->known = true;
	g_hash_table_insert(r->by_name, k->name, GUINT_TO_POINTER(t));
	activate(r, t);
	return t;
}

uint32_t
ogl_route_set_target(struct ogl_route *r, const char *name, const char *zone,
    uint32_t slots, bool leaving, ogl_time now)
{
	struct target *k;
	gpointer v;
	uint32_t t;

	(void)now;
	if (g_hash_table_lookup_extended(r->by_name, name, NULL, &v))
		t = GPOINTER_TO_UINT(v);
	else
		t = new_target(r, name);
	k = &r->targets[t];
	k->in_own_zone = strcmp(zone != NULL ? zone : "", r->own_zone) == 0;
	slots = MAX(slots, 1);
	if (k->slots != slots) {
		k->slots = slots;
		k->limit = slots;
	}
	set_state(r, t, k->breaker, leaving);
	return t;
}

void
ogl_route_remove_target(struct ogl_route *r, uint32_t t)
{
	struct target *k;

	if (!known(r, t))
		return;
	k = &r->targets[t];
	set_state(r, t, BREAKER_CLOSED, true);
	g_hash_table_remove(r->by_name, k->name);
	g_free(k->name);
	g_free(k->in_flight);
	memset(k, 0, sizeof(*k));
	g_array_append_val(r->free_numbers, t);
}

/* ---- selection -------------------------------------------------------- */

static uint32_t
free_slots(const struct target *k)
{
	uint32_t limit = (uint32_t)k->limit;

	return limit > k->n_in_flight ? limit - k->n_in_flight : 0;
}

/* Weight of a value noted at `since`: falls from 1 to 0 until it expires. */
static double
decay(ogl_time since, ogl_time expiry, ogl_time now)
{
	double left = 1 - (double)(now - since) / (double)expiry;

	return left > 0 ? left : 0;
}

/*
 * Learned service time.  A target that is not chosen gives no new answers, so
 * its average decays to the average over all targets.  Otherwise a target
 * that was slow once would never be chosen again.
 */
static double
current_service_time(
    const struct ogl_route *r, const struct target *k, ogl_time now)
{
	double all = r->service_time_us > 0 ? r->service_time_us
					    : SERVICE_TIME_INITIAL_US;

	if (k->service_time_us <= 0)
		return all;
	return all + (k->service_time_us - all) *
			 decay(k->answered_at, SERVICE_TIME_EXPIRY, now);
}

/* Expected time until one more request to the target completes. */
static double
expected_time(const struct ogl_route *r, const struct target *k, ogl_time now)
{
	double service_time = current_service_time(r, k, now);
	double age =
	    k->n_in_flight > 0 ? (double)(now - k->in_flight[0].sent_at) : 0;
	double others =
	    k->others_in_flight * decay(k->refused_at, OTHERS_EXPIRY, now);
	double load = k->n_in_flight + others + 1;

	service_time = MAX(service_time, age);
	service_time *=
	    1 + k->failures * decay(k->failed_at, FAILURES_EXPIRY, now);
	return service_time * (1 + load / k->slots) *
	       (k->in_own_zone ? 1 : OTHER_ZONE_PENALTY);
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

/* Picks a few targets with a free slot at random and stores the best of them;
 * false if there is none. */
static bool
choose_random(struct ogl_route *r, const uint32_t *tried, size_t ntried,
    ogl_time now, uint32_t *best)
{
	uint32_t n = r->active->len, ncandidates = 0, i, j, t;
	double score, least = 0;

	/* A partial Fisher-Yates shuffle: no target is considered twice. */
	for (i = 0; i < n && ncandidates < CANDIDATES; i++) {
		j = i + next_random(r) % (n - i);
		t = g_array_index(r->active, uint32_t, j);
		g_array_index(r->active, uint32_t, j) =
		    g_array_index(r->active, uint32_t, i);
		r->targets[g_array_index(r->active, uint32_t, j)].active_index =
		    j;
		g_array_index(r->active, uint32_t, i) = t;
		r->targets[t].active_index = i;
		if (free_slots(&r->targets[t]) == 0 ||
		    was_tried(tried, ntried, t))
			continue;
		score = expected_time(r, &r->targets[t], now);
		if (ncandidates == 0 || score < least) {
			least = score;
			*best = t;
		}
		ncandidates++;
	}
	return ncandidates > 0;
}

/* Finds an open breaker whose delay is over and that the request may probe. */
static bool
find_probe(struct ogl_route *r, const uint32_t *tried, size_t ntried,
    ogl_time now, uint32_t *t)
{
	const struct target *k;
	uint32_t i;

	if (now < r->next_probe)
		return false;
	for (i = 0; i < r->ntargets; i++) {
		k = &r->targets[i];
		if (!k->known || k->leaving || k->breaker != BREAKER_OPEN)
			continue;
		if (now < k->probe_at || was_tried(tried, ntried, i))
			continue;
		*t = i;
		return true;
	}
	return false;
}

static void
add_in_flight(struct target *k, uint64_t request, ogl_time now)
{
	if (k->n_in_flight == k->in_flight_capacity) {
		k->in_flight_capacity = k->in_flight_capacity * 2 + 4;
		k->in_flight = g_renew(
		    struct in_flight, k->in_flight, k->in_flight_capacity);
	}
	k->in_flight[k->n_in_flight].request = request;
	k->in_flight[k->n_in_flight++].sent_at = now;
}

bool
ogl_route_pick(struct ogl_route *r, uint64_t request, const uint32_t *tried,
    size_t ntried, ogl_time now, uint32_t *t)
{
	if (find_probe(r, tried, ntried, now, t)) {
		set_state(r, *t, BREAKER_HALF_OPEN, false);
	} else if (!choose_random(r, tried, ntried, now, t)) {
		ogl_drain_note_full(&r->drain, now);
		return false;
	}
	add_in_flight(&r->targets[*t], request, now);
	return true;
}

/* ---- answers ---------------------------------------------------------- */

/* Removes a request from those in flight on a target; false if not found. */
static bool
remove_in_flight(struct target *k, uint64_t request, ogl_time *sent_at)
{
	uint32_t i;

	for (i = 0; i < k->n_in_flight && k->in_flight[i].request != request;
	     i++)
		;
	if (i == k->n_in_flight)
		return false;
	*sent_at = k->in_flight[i].sent_at;
	k->n_in_flight--;
	memmove(&k->in_flight[i], &k->in_flight[i + 1],
	    (k->n_in_flight - i) * sizeof(*k->in_flight));
	return true;
}

static void
update_average(double *average, double took_us)
{
	if (*average > 0)
		*average += SERVICE_TIME_WEIGHT * (took_us - *average);
	else
		*average = took_us;
}

static void
answered(struct ogl_route *r, uint32_t t, ogl_time sent_at, ogl_time now)
{
	struct target *k = &r->targets[t];
	double took_us = MAX((double)(now - sent_at), 1);

	update_average(&k->service_time_us, took_us);
	update_average(&r->service_time_us, took_us);
	k->answered_at = now;
	if (k->n_in_flight + 1 >= (uint32_t)k->limit)
		k->limit = MIN(k->limit + 1 / k->limit, k->slots);
	k->others_in_flight *= OTHERS_DECAY;
	k->failures = 0;
	k->refusals = 0;
	k->openings = 0;
	ogl_budget_success(&r->budget);
	if (k->breaker == BREAKER_HALF_OPEN) {
		/* The limit starts at one and grows with the answers. */
		k->limit = 1;
		set_state(r, t, BREAKER_CLOSED, k->leaving);
	}
}

static void
refused(struct ogl_route *r, uint32_t t, ogl_time now)
{
	struct target *k = &r->targets[t];

	k->limit = MIN(k->limit, k->n_in_flight + 1) * LIMIT_DECREASE;
	k->limit = MIN(MAX(k->limit, LIMIT_MIN), k->slots);
	k->others_in_flight =
	    k->slots > k->n_in_flight ? k->slots - k->n_in_flight : 0;
	k->refused_at = now;
	if (k->refusals < UINT8_MAX)
		k->refusals++;
	if (k->breaker == BREAKER_HALF_OPEN ||
	    (k->breaker == BREAKER_CLOSED && k->n_in_flight == 0 &&
		k->refusals >= REFUSALS_TO_OPEN && may_open_breaker(r)))
		open_breaker(r, t, now);
}

/* Removes a failure counted against t, since the request was at fault. */
static void
take_back_failure(struct ogl_route *r, uint32_t t)
{
	struct target *k = &r->targets[t];

	if (!known(r, t) || k->failures == 0)
		return;
	k->failures--;
	if (k->breaker != BREAKER_OPEN || k->failures >= FAILURES_TO_OPEN)
		return;
	k->openings -= k->openings > 0;
	set_state(r, t, BREAKER_CLOSED, k->leaving);
}

static void
failed(struct ogl_route *r, uint32_t t, uint64_t request, bool not_sent,
    ogl_time now)
{
	struct target *k = &r->targets[t];
	bool blamed = true;
	uint32_t cleared;

	/* A request that was never sent cannot be at fault. */
	if (!not_sent) {
		while (ogl_blame_clear(&r->blame, request, t, now, &cleared))
			take_back_failure(r, cleared);
		blamed = ogl_blame_record(&r->blame, request, t, now);
	}
	if (k->breaker == BREAKER_HALF_OPEN) {
		open_breaker(r, t, now);
		return;
	}
	if (!blamed)
		return;
	if (k->failures < UINT8_MAX)
		k->failures++;
	k->failed_at = now;
	if (k->breaker == BREAKER_CLOSED && k->failures >= FAILURES_TO_OPEN &&
	    may_open_breaker(r))
		open_breaker(r, t, now);
}

void
ogl_route_request_done(struct ogl_route *r, uint32_t t, uint64_t request,
    enum ogl_io_result io, uint32_t http_status, ogl_time now)
{
	ogl_time sent_at;

	if (!known(r, t) ||
	    !remove_in_flight(&r->targets[t], request, &sent_at))
		return;
	if (io == OGL_IO_OK)
		ogl_drain_note_completed(&r->drain, now);
	if (io == OGL_IO_OK && http_status < 500)
		answered(r, t, sent_at, now);
	else if (io == OGL_IO_REFUSED)
		refused(r, t, now);
	else
		failed(r, t, request, io == OGL_IO_NOT_SENT, now);
}

bool
ogl_route_take_retry(struct ogl_route *r, ogl_time now)
{
	if (!r->budget_started)
		ogl_budget_init(&r->budget, now);
	r->budget_started = true;
	return ogl_budget_take(&r->budget, now);
}

/* ---- waiting time and free slots -------------------------------------- */

/* Requests per second that the active targets can complete, estimated from
 * their limits and learned service times. */
static double
total_rate(const struct ogl_route *r, ogl_time now)
{
	const struct target *k;
	double sum = 0;
	uint32_t i;

	for (i = 0; i < r->active->len; i++) {
		k = &r->targets[g_array_index(r->active, uint32_t, i)];
		sum += k->limit * OGL_SEC / current_service_time(r, k, now);
	}
	return sum;
}

/* Without an active target, a request is sent at the next probe at the
 * earliest. */
static uint64_t
wait_for_probe(const struct ogl_route *r, ogl_time now)
{
	uint64_t ms;

	if (r->next_probe == OGL_NEVER)
		return WAIT_NO_TARGET_MS;
	ms = r->next_probe > now ? (uint64_t)(r->next_probe - now) / OGL_MS : 0;
	return CLAMP(ms, WAIT_MIN_MS, WAIT_MAX_MS);
}

uint64_t
ogl_route_wait_ms(const struct ogl_route *r, size_t ahead, ogl_time now)
{
	uint32_t free = ogl_route_free_slots(r, now);
	double rate, ms;

	if (ahead < free)
		return 0;
	if (r->active->len == 0)
		return wait_for_probe(r, now);
	rate = ogl_drain_rate(&r->drain, now);
	if (rate <= 0)
		rate = total_rate(r, now);
	ms = (double)(ahead - free + 1) * 1000 / rate;
	return ms < WAIT_MAX_MS ? (uint64_t)ms + 1 : WAIT_MAX_MS;
}

uint32_t
ogl_route_free_slots(const struct ogl_route *r, ogl_time now)
{
	uint32_t i, sum = 0;

	(void)now;
	for (i = 0; i < r->active->len; i++) {
		sum += free_slots(
		    &r->targets[g_array_index(r->active, uint32_t, i)]);
	}
	return sum;
}

/* ---- creation and destruction ----------------------------------------- */

struct ogl_route *
ogl_route_init(uint64_t seed, const char *own_zone)
{
	struct ogl_route *r = g_new0(struct ogl_route, 1);

	r->own_zone = g_strdup(own_zone != NULL ? own_zone : "");
	r->free_numbers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	r->active = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	r->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	r->next_probe = OGL_NEVER;
	ogl_drain_init(&r->drain);
	r->random_state = seed;
	return r;
}

void
ogl_route_end(struct ogl_route *r)
{
	uint32_t i;

	if (r == NULL)
		return;
	for (i = 0; i < r->ntargets; i++) {
		if (!r->targets[i].known)
			continue;
		g_free(r->targets[i].name);
		g_free(r->targets[i].in_flight);
	}
	g_hash_table_destroy(r->by_name);
	g_array_free(r->active, TRUE);
	g_array_free(r->free_numbers, TRUE);
	g_free(r->targets);
	g_free(r->own_zone);
	g_free(r);
}

size_t
ogl_route_bytes(const struct ogl_route *r)
{
	size_t n = sizeof(*r) + r->targets_capacity * sizeof(*r->targets);
	uint32_t i;

	for (i = 0; i < r->ntargets; i++)
		n +=
		    r->targets[i].in_flight_capacity * sizeof(struct in_flight);
	return n;
}
