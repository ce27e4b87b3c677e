/*
 * Routing of short requests to executors.
 *
 * A request goes to the target with the least expected completion time among
 * a few chosen at random.  A node knows the load of a target only as of some
 * time ago; because of the random choice, nodes that see the same idle target
 * do not all send there at once.
 *
 * The expected time is the target's service time, multiplied by one plus its
 * load per slot.  The service time is a moving average over answers, or the age
 * of the oldest request in flight there if that is longer.  The load counts
 * this node's requests in flight and an estimate of those of other nodes.  Each
 * refusal sets the estimate, since it shows that the target was full; after
 * that the estimate decays.  A target in another zone is chosen only if its
 * expected time is clearly shorter.
 *
 * The limit of own requests in flight on a target is found by additive
 * increase and by multiplicative decrease on refusals.  It never exceeds the
 * target's slots.
 *
 * Circuit breaker: consecutive failures open a target's breaker for a delay
 * that doubles each time, then one request probes the target.  At most half
 * of the breakers are open: if all targets fail, they have a common cause, and
 * choosing another target does not help.  route_blame.c decides whether a
 * failure is the target's fault; route_drain.c measures the rate at which
 * requests complete.
 */

#include <string.h>

#include "budget.h"
#include "route.h"

#define CANDIDATES 4                    /* targets compared for each request */
#define SERVICE_TIME_WEIGHT 0.1         /* weight of the newest answer */
#define SERVICE_TIME_INITIAL_US 20000.0 /* until the first answer */
/* Without an answer for this long, a target's own average has no weight. */
#define SERVICE_TIME_EXPIRY (10 * OGL_SEC)
#define OTHER_ZONE_PENALTY 1.15 /* factor on the expected time */
#define OTHERS_DECAY 0.95       /* factor on others_in_flight per answer */
/* The estimate of others_in_flight decays to 0 in this time. */
#define OTHERS_EXPIRY (2 * OGL_SEC)
#define LIMIT_DECREASE 0.9 /* factor on the limit for each refusal */
#define LIMIT_MIN 2.0      /* refusals do not lower it further */
#define FAILURES_TO_OPEN 5 /* consecutive failures that open a breaker */
/* Failures raise a target's expected time, less and less during this time. */
#define FAILURES_EXPIRY (5 * OGL_SEC)
#define REFUSALS_TO_OPEN 8 /* consecutive refusals that open a breaker */
#define OPEN_DELAY_MIN (1 * OGL_SEC)
#define OPEN_DELAY_DOUBLINGS_MAX 6
#define WAIT_NO_TARGET_MS 2000 /* if no target is active or to be probed */
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
	/* Requests of other nodes, estimated at refused_at. */
	double others_in_flight;
	ogl_time refused_at;
	ogl_time probe_at;     /* an open breaker may be probed from then on */
	uint32_t active_index; /* index in ogl_route.active, if active */
	uint8_t breaker;       /* enum breaker */
	uint8_t failures;      /* consecutive failures */
	uint8_t refusals;      /* consecutive refusals */
	uint8_t openings; /* times the breaker opened since the last answer */
	bool in_use;      /* false if the target was removed */
	bool leaving;     /* gets no new requests */
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

/* splitmix64 without its last step. */
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
is_in_use(const struct ogl_route *r, uint32_t t)
{
	return t < r->ntargets && r->targets[t].in_use;
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
is_active(const struct target *target)
{
	return target->in_use && !target->leaving &&
	       target->breaker == BREAKER_CLOSED;
}

static void
find_next_probe(struct ogl_route *r)
{
	const struct target *target;
	uint32_t i;

	r->next_probe = OGL_NEVER;
	for (i = 0; i < r->ntargets; i++) {
		target = &r->targets[i];
		if (target->in_use && !target->leaving &&
		    target->breaker == BREAKER_OPEN)
			r->next_probe = MIN(r->next_probe, target->probe_at);
	}
}

static void
set_state(struct ogl_route *r, uint32_t t, enum breaker breaker, bool leaving)
{
	struct target *target = &r->targets[t];
	bool was_active = is_active(target);

	if (target->breaker == breaker && target->leaving == leaving)
		return;
	r->n_tripped -= !target->leaving && target->breaker != BREAKER_CLOSED;
	target->breaker = (uint8_t)breaker;
	target->leaving = leaving;
	r->n_tripped += !target->leaving && target->breaker != BREAKER_CLOSED;
	if (was_active && !is_active(target))
		deactivate(r, t);
	else if (!was_active && is_active(target))
		activate(r, t);
	find_next_probe(r);
}

static void
open_breaker(struct ogl_route *r, uint32_t t, ogl_time now)
{
	struct target *target = &r->targets[t];
	unsigned doublings = MIN(target->openings, OPEN_DELAY_DOUBLINGS_MAX);

	if (target->openings <= OPEN_DELAY_DOUBLINGS_MAX)
		target->openings++;
	target->probe_at = now + OPEN_DELAY_MIN * ((ogl_time)1 << doublings);
	set_state(r, t, BREAKER_OPEN, target->leaving);
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
	struct target *target = &r->targets[t];

	memset(target, 0, sizeof(*target));
	target->name = g_strdup(name);
	target->in_use = true;
	g_hash_table_insert(r->by_name, target->name, GUINT_TO_POINTER(t));
	activate(r, t);
	return t;
}

uint32_t
ogl_route_set_target(struct ogl_route *r, const char *name, const char *zone,
    uint32_t slots, bool leaving, ogl_time now)
{
	struct target *target;
	gpointer v;
	uint32_t t;

	(void)now;
	if (g_hash_table_lookup_extended(r->by_name, name, NULL, &v))
		t = GPOINTER_TO_UINT(v);
	else
		t = new_target(r, name);
	target = &r->targets[t];
	target->in_own_zone =
	    strcmp(zone != NULL ? zone : "", r->own_zone) == 0;
	slots = MAX(slots, 1);
	if (target->slots != slots) {
		target->slots = slots;
		target->limit = slots;
	}
	set_state(r, t, target->breaker, leaving);
	return t;
}

void
ogl_route_remove_target(struct ogl_route *r, uint32_t t)
{
	struct target *target;

	if (!is_in_use(r, t))
		return;
	target = &r->targets[t];
	set_state(r, t, BREAKER_CLOSED, true);
	g_hash_table_remove(r->by_name, target->name);
	g_free(target->name);
	g_free(target->in_flight);
	memset(target, 0, sizeof(*target));
	g_array_append_val(r->free_numbers, t);
}

/* ---- selection -------------------------------------------------------- */

static uint32_t
free_slots(const struct target *target)
{
	uint32_t limit = (uint32_t)target->limit;

	return limit > target->n_in_flight ? limit - target->n_in_flight : 0;
}

/* Weight of a value measured at `since`: falls linearly from 1 to 0 within
 * `expiry`. */
static double
decay(ogl_time since, ogl_time expiry, ogl_time now)
{
	double left = 1 - (double)(now - since) / (double)expiry;

	return left > 0 ? left : 0;
}

/*
 * Service time expected now.  A target that is not chosen gives no new answers,
 * so its average decays to the average over all targets.  Otherwise a target
 * that was slow once would never be chosen again.
 */
static double
current_service_time_us(
    const struct ogl_route *r, const struct target *target, ogl_time now)
{
	double overall_us = r->service_time_us > 0 ? r->service_time_us
						   : SERVICE_TIME_INITIAL_US;

	if (target->service_time_us <= 0)
		return overall_us;
	return overall_us +
	       (target->service_time_us - overall_us) *
		   decay(target->answered_at, SERVICE_TIME_EXPIRY, now);
}

/* Expected time until one more request to the target completes. */
static double
expected_time_us(
    const struct ogl_route *r, const struct target *target, ogl_time now)
{
	double service_time_us = current_service_time_us(r, target, now);
	double age_us = target->n_in_flight > 0
			    ? (double)(now - target->in_flight[0].sent_at)
			    : 0;
	double others = target->others_in_flight *
			decay(target->refused_at, OTHERS_EXPIRY, now);
	double load = target->n_in_flight + others + 1;

	service_time_us = MAX(service_time_us, age_us);
	service_time_us *= 1 + target->failures * decay(target->failed_at,
						      FAILURES_EXPIRY, now);
	return service_time_us * (1 + load / target->slots) *
	       (target->in_own_zone ? 1 : OTHER_ZONE_PENALTY);
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
	double time_us, least_us = 0;

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
		time_us = expected_time_us(r, &r->targets[t], now);
		if (ncandidates == 0 || time_us < least_us) {
			least_us = time_us;
			*best = t;
		}
		ncandidates++;
	}
	return ncandidates > 0;
}

/* Finds a target to probe: its breaker is open, the breaker's delay is over and
 * the request was not sent there before. */
static bool
find_probe(struct ogl_route *r, const uint32_t *tried, size_t ntried,
    ogl_time now, uint32_t *t)
{
	const struct target *target;
	uint32_t i;

	if (now < r->next_probe)
		return false;
	for (i = 0; i < r->ntargets; i++) {
		target = &r->targets[i];
		if (!target->in_use || target->leaving ||
		    target->breaker != BREAKER_OPEN)
			continue;
		if (now < target->probe_at || was_tried(tried, ntried, i))
			continue;
		*t = i;
		return true;
	}
	return false;
}

static void
add_in_flight(struct target *target, uint64_t request, ogl_time now)
{
	if (target->n_in_flight == target->in_flight_capacity) {
		target->in_flight_capacity = target->in_flight_capacity * 2 + 4;
		target->in_flight = g_renew(struct in_flight, target->in_flight,
		    target->in_flight_capacity);
	}
	target->in_flight[target->n_in_flight].request = request;
	target->in_flight[target->n_in_flight++].sent_at = now;
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
remove_in_flight(struct target *target, uint64_t request, ogl_time *sent_at)
{
	uint32_t i;

	for (i = 0;
	     i < target->n_in_flight && target->in_flight[i].request != request;
	     i++)
		;
	if (i == target->n_in_flight)
		return false;
	*sent_at = target->in_flight[i].sent_at;
	target->n_in_flight--;
	memmove(&target->in_flight[i], &target->in_flight[i + 1],
	    (target->n_in_flight - i) * sizeof(*target->in_flight));
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
	struct target *target = &r->targets[t];
	double took_us = MAX((double)(now - sent_at), 1);

	update_average(&target->service_time_us, took_us);
	update_average(&r->service_time_us, took_us);
	target->answered_at = now;
	/* Only a limit that was reached grows.  The answered request is no
	 * longer counted in n_in_flight. */
	if (target->n_in_flight + 1 >= (uint32_t)target->limit)
		target->limit =
		    MIN(target->limit + 1 / target->limit, target->slots);
	target->others_in_flight *= OTHERS_DECAY;
	target->failures = 0;
	target->refusals = 0;
	target->openings = 0;
	ogl_budget_success(&r->budget);
	if (target->breaker == BREAKER_HALF_OPEN) {
		/* The limit starts again at 1 and grows with the answers. */
		target->limit = 1;
		set_state(r, t, BREAKER_CLOSED, target->leaving);
	}
}

static void
refused(struct ogl_route *r, uint32_t t, ogl_time now)
{
	struct target *target = &r->targets[t];

	/* The refused request is no longer counted in n_in_flight. */
	target->limit =
	    MIN(target->limit, target->n_in_flight + 1) * LIMIT_DECREASE;
	target->limit = MIN(MAX(target->limit, LIMIT_MIN), target->slots);
	target->others_in_flight = target->slots > target->n_in_flight
				       ? target->slots - target->n_in_flight
				       : 0;
	target->refused_at = now;
	if (target->refusals < UINT8_MAX)
		target->refusals++;
	if (target->breaker == BREAKER_HALF_OPEN ||
	    (target->breaker == BREAKER_CLOSED && target->n_in_flight == 0 &&
		target->refusals >= REFUSALS_TO_OPEN && may_open_breaker(r)))
		open_breaker(r, t, now);
}

/* Subtracts a failure counted against t, since the request was at fault. */
static void
take_back_failure(struct ogl_route *r, uint32_t t)
{
	struct target *target = &r->targets[t];

	if (!is_in_use(r, t) || target->failures == 0)
		return;
	target->failures--;
	if (target->breaker != BREAKER_OPEN ||
	    target->failures >= FAILURES_TO_OPEN)
		return;
	target->openings -= target->openings > 0;
	set_state(r, t, BREAKER_CLOSED, target->leaving);
}

static void
failed(struct ogl_route *r, uint32_t t, uint64_t request, bool not_sent,
    ogl_time now)
{
	struct target *target = &r->targets[t];
	bool blamed = true;
	uint32_t cleared;

	/* A request that was never sent cannot be at fault. */
	if (!not_sent) {
		while (ogl_blame_clear(&r->blame, request, t, now, &cleared))
			take_back_failure(r, cleared);
		blamed = ogl_blame_record(&r->blame, request, t, now);
	}
	if (target->breaker == BREAKER_HALF_OPEN) {
		open_breaker(r, t, now);
		return;
	}
	if (!blamed)
		return;
	if (target->failures < UINT8_MAX)
		target->failures++;
	target->failed_at = now;
	if (target->breaker == BREAKER_CLOSED &&
	    target->failures >= FAILURES_TO_OPEN && may_open_breaker(r))
		open_breaker(r, t, now);
}

void
ogl_route_request_done(struct ogl_route *r, uint32_t t, uint64_t request,
    enum ogl_io_result io, uint32_t http_status, ogl_time now)
{
	ogl_time sent_at;

	if (!is_in_use(r, t) ||
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
	const struct target *target;
	double sum = 0;
	uint32_t i;

	for (i = 0; i < r->active->len; i++) {
		target = &r->targets[g_array_index(r->active, uint32_t, i)];
		sum += target->limit * OGL_SEC /
		       current_service_time_us(r, target, now);
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
	uint32_t n_free = ogl_route_free_slots(r, now);
	double rate, ms;

	if (ahead < n_free)
		return 0;
	if (r->active->len == 0)
		return wait_for_probe(r, now);
	rate = ogl_drain_rate(&r->drain, now);
	if (rate <= 0)
		rate = total_rate(r, now);
	ms = (double)(ahead - n_free + 1) * 1000 / rate;
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
		if (!r->targets[i].in_use)
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
