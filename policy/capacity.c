/*
 * The forecast for room plays the next minute in steps of OGL_CAPACITY_BUCKET.
 * At each step the cores that running work releases become free, and waiting
 * work takes them, lower ranks first.  What is started that way releases its
 * cores after the mean run time of the waiting work of its rank.  For the next
 * seconds, work of lower ranks comes as it came lately, and goes first.  New work
 * starts at the first step at which nothing waits before it and enough cores
 * are free.
 *
 * The forecast for lanes fills the lanes, those that are free first, with the
 * questions that wait.
 *
 * Each forecast is compared with the wait that came of it.  A line whose
 * forecasts are off by more than half of the wait on average is unreliable.
 */

#include <math.h>
#include <string.h>

#include "capacity.h"

#define BUCKETS ((guint)(OGL_CAPACITY_HORIZON / OGL_CAPACITY_BUCKET))
/* An older picture is not used: work has started and ended since. */
#define PICTURE_AGE_MAX OGL_SEC
/* Weight of the latest comparison. */
#define CHECK_WEIGHT (1.0 / 16)
/* Fewer comparisons do not make a line unreliable. */
#define CHECKS_MIN 4
/* Errors are compared with waits of at least this length: the forecast has
 * steps of half of it, and shorter waits make no result late. */
#define SCALE_MIN (2 * OGL_CAPACITY_BUCKET)
#define ERROR_MAX 0.5
/* There is a line for each queue.  More are not tracked, and not reliable. */
#define LINES_MAX 256
/* Time constant of the rate at which work comes, and for how long it is expected
 * to come at that rate: bursts last some seconds. */
#define ARRIVAL_TIME (4 * OGL_SEC)

struct waiting {
	double cores;
	double core_ms;
};

/* Work that came, older work counting less. */
struct arrived {
	struct waiting work;
	ogl_time at;
};

/* Lane time in ms that the questions of a queue need, by turn. */
struct questions {
	double ms[OGL_CAPACITY_TURNS];
};

struct line {
	unsigned checks;
	double late;
	double early;
	double scale; /* average wait, expected or real, the longer one */
};

struct ogl_capacity {
	bool known; /* there is a picture */
	ogl_time at;
	struct waiting waiting[OGL_CAPACITY_RANKS];
	struct arrived arrived[OGL_CAPACITY_RANKS];
	GHashTable *questions; /* queue -> struct questions */
	double free;
	double released[BUCKETS]; /* cores that become free in each step */
	GArray *lanes;            /* ogl_time, busy for so long from `at` */
	bool lanes_sorted;
	double reserved_lanes;
	GHashTable *lines; /* name -> struct line */
};

struct ogl_capacity *
ogl_capacity_init(void)
{
	struct ogl_capacity *c = g_new0(struct ogl_capacity, 1);

	c->lanes = g_array_new(FALSE, FALSE, sizeof(ogl_time));
	c->lines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->questions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return c;
}

void
ogl_capacity_end(struct ogl_capacity *c)
{
	if (c == NULL)
		return;
	g_array_unref(c->lanes);
	g_hash_table_unref(c->lines);
	g_hash_table_unref(c->questions);
	g_free(c);
}

void
ogl_capacity_reset(struct ogl_capacity *c)
{
	c->known = false;
	memset(c->arrived, 0, sizeof c->arrived);
	g_hash_table_remove_all(c->lines);
}

void
ogl_capacity_begin(struct ogl_capacity *c, ogl_time now)
{
	c->known = true;
	c->at = now;
	memset(c->waiting, 0, sizeof c->waiting);
	g_hash_table_remove_all(c->questions);
	memset(c->released, 0, sizeof c->released);
	c->free = 0;
	g_array_set_size(c->lanes, 0);
	c->lanes_sorted = true;
	c->reserved_lanes = 0;
}

void
ogl_capacity_add_waiting(
    struct ogl_capacity *c, uint32_t rank, double cores, double core_ms)
{
	struct waiting *w = &c->waiting[MIN(rank, OGL_CAPACITY_RANKS - 1)];

	w->cores += cores;
	w->core_ms += core_ms;
}

/* What came of a rank, as of a time. */
static struct waiting
arrived_at(const struct arrived *a, ogl_time now)
{
	double part = exp(-(double)(now - a->at) / (double)ARRIVAL_TIME);
	struct waiting w = {a->work.cores * part, a->work.core_ms * part};

	return w;
}

void
ogl_capacity_arrived(struct ogl_capacity *c, uint32_t rank, double cores,
    double core_ms, ogl_time now)
{
	struct arrived *a = &c->arrived[MIN(rank, OGL_CAPACITY_RANKS - 1)];

	a->work = arrived_at(a, now);
	a->work.cores += cores;
	a->work.core_ms += core_ms;
	a->at = now;
}

/* The step from which a change at that time counts, at least 1. */
static guint
step_of(const struct ogl_capacity *c, ogl_time at)
{
	ogl_time after = at - c->at + OGL_CAPACITY_BUCKET - 1;

	return (guint)MAX(after / OGL_CAPACITY_BUCKET, 1);
}

void
ogl_capacity_add_running(struct ogl_capacity *c, double cores, ogl_time ends)
{
	ogl_capacity_add_change(c, cores, ends);
}

void
ogl_capacity_add_free(struct ogl_capacity *c, double cores)
{
	c->free += cores;
}

void
ogl_capacity_add_change(struct ogl_capacity *c, double cores, ogl_time at)
{
	if (at <= c->at + OGL_CAPACITY_HORIZON - OGL_CAPACITY_BUCKET)
		c->released[step_of(c, at)] += cores;
}

void
ogl_capacity_add_lane(struct ogl_capacity *c, ogl_time busy_until)
{
	ogl_time busy = MAX(busy_until - c->at, 0);

	g_array_append_val(c->lanes, busy);
	c->lanes_sorted = false;
}

void
ogl_capacity_reserve_lanes(struct ogl_capacity *c, double lanes)
{
	c->reserved_lanes = lanes;
}

void
ogl_capacity_add_question(
    struct ogl_capacity *c, uint32_t turn, const char *queue, double lane_ms)
{
	struct questions *q = g_hash_table_lookup(c->questions, queue);

	if (q == NULL) {
		q = g_new0(struct questions, 1);
		g_hash_table_insert(c->questions, g_strdup(queue), q);
	}
	q->ms[MIN(turn, OGL_CAPACITY_TURNS - 1)] += lane_ms;
}

/* Lets waiting work up to the rank take free cores, which are released again
 * after its mean run time.  Returns the cores that still wait. */
static double
start_waiting(struct waiting *waiting, uint32_t rank, guint step, double *cores,
    double *released)
{
	double left = 0;
	uint32_t r;

	for (r = 0; r <= rank; r++) {
		struct waiting *w = &waiting[r];
		double n = MIN(w->cores, MAX(*cores, 0));
		double run_ms;
		double steps;

		if (w->cores <= 0)
			continue;
		run_ms = w->core_ms / w->cores;
		steps = ceil(run_ms * OGL_MS / OGL_CAPACITY_BUCKET);
		if (step + MAX(steps, 1) < BUCKETS)
			released[step + (guint)MAX(steps, 1)] += n;
		*cores -= n;
		w->cores -= n;
		w->core_ms -= n * run_ms;
		left += w->cores;
	}
	return left;
}

/* What comes of ranks below that one in each step. */
static void
expect_arrivals(
    const struct ogl_capacity *c, uint32_t rank, struct waiting *coming)
{
	double part = (double)OGL_CAPACITY_BUCKET / (double)ARRIVAL_TIME;
	uint32_t r;

	for (r = 0; r < rank; r++) {
		struct waiting w = arrived_at(&c->arrived[r], c->at);

		coming[r].cores = w.cores * part;
		coming[r].core_ms = w.core_ms * part;
	}
}

static void
add_arrivals(
    struct waiting *waiting, uint32_t rank, const struct waiting *coming)
{
	uint32_t r;

	for (r = 0; r < rank; r++) {
		waiting[r].cores += coming[r].cores;
		waiting[r].core_ms += coming[r].core_ms;
	}
}

static ogl_time
room_wait(const struct ogl_capacity *c, const struct ogl_capacity_work *work)
{
	struct waiting waiting[OGL_CAPACITY_RANKS];
	struct waiting coming[OGL_CAPACITY_RANKS]; /* in one step */
	struct waiting *same = &waiting[work->rank];
	double released[BUCKETS];
	double free = c->free;
	guint step;

	memcpy(waiting, c->waiting, sizeof waiting);
	memcpy(released, c->released, sizeof released);
	same->cores = MAX(same->cores - work->later_cores, 0);
	same->core_ms = MAX(same->core_ms - work->later_core_ms, 0);
	expect_arrivals(c, work->rank, coming);
	for (step = 0; step < BUCKETS; step++) {
		free += released[step];
		if (!work->at_least && step > 0 &&
		    step * OGL_CAPACITY_BUCKET <= ARRIVAL_TIME)
			add_arrivals(waiting, work->rank, coming);
		/* Sums of fractions are off by less than this. */
		if (start_waiting(waiting, work->rank, step, &free, released) <
			1e-6 &&
		    free + 1e-6 >= work->cores)
			return step * OGL_CAPACITY_BUCKET;
	}
	return OGL_CAPACITY_HORIZON;
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
	ogl_time x = *(const ogl_time *)a;
	ogl_time y = *(const ogl_time *)b;

	return (x > y) - (x < y);
}

/* When a lane is free after so much work, if the first `skip` are not used. */
static ogl_time
fill_lanes(const struct ogl_capacity *c, guint skip, double ms)
{
	double sum = ms * (double)OGL_MS;
	double at = 0;
	guint i;

	for (i = skip; i < c->lanes->len; i++) {
		double busy = (double)g_array_index(c->lanes, ogl_time, i);

		if (i > skip && at <= busy)
			break;
		sum += busy;
		at = sum / (i - skip + 1);
	}
	if (i == skip)
		return 0; /* nothing is known of when lanes come */
	return (ogl_time)MIN(at, (double)OGL_CAPACITY_HORIZON);
}

/* Lane time of the questions that are asked before that of the work, without
 * those of turn 0. */
static double
asked_before(const struct ogl_capacity *c, const struct ogl_capacity_work *w)
{
	const struct questions *own =
	    g_hash_table_lookup(c->questions, w->queue);
	double before = own != NULL ? own->ms[w->turn] - w->later_lane_ms : 0;
	double sum = MAX(before, 0);
	double share = sum + w->lane_ms;
	GHashTableIter it;
	gpointer p;
	uint32_t t;

	g_hash_table_iter_init(&it, c->questions);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct questions *q = p;

		for (t = 1; t < w->turn; t++)
			sum += q->ms[t];
		if (q != own)
			sum += MIN(q->ms[w->turn], share);
	}
	return sum;
}

static double
asked_at_once(const struct ogl_capacity *c)
{
	double sum = 0;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, c->questions);
	while (g_hash_table_iter_next(&it, NULL, &p))
		sum += ((const struct questions *)p)->ms[0];
	return sum;
}

static ogl_time
lane_wait(struct ogl_capacity *c, const struct ogl_capacity_work *w)
{
	guint reserved = (guint)MIN(c->reserved_lanes, c->lanes->len);
	double urgent = asked_at_once(c);
	double others;

	if (!c->lanes_sorted)
		g_array_sort(c->lanes, compare_times);
	c->lanes_sorted = true;
	if (w->turn == 0)
		return fill_lanes(c, 0, MAX(urgent - w->later_lane_ms, 0));
	others = asked_before(c, w);
	/* Questions of turn 0 use the reserved lanes first. */
	return MAX(
	    fill_lanes(c, reserved, others), fill_lanes(c, 0, urgent + others));
}

struct ogl_capacity_wait
ogl_capacity_wait(
    struct ogl_capacity *c, const struct ogl_capacity_work *w, ogl_time now)
{
	struct ogl_capacity_wait wait = {0, 0, 0};

	if (!c->known || now - c->at > PICTURE_AGE_MAX ||
	    w->rank >= OGL_CAPACITY_RANKS || w->turn >= OGL_CAPACITY_TURNS)
		return wait;
	wait.room = room_wait(c, w);
	if (w->asks)
		wait.lane = lane_wait(c, w) + (ogl_time)(w->lane_ms * OGL_MS);
	wait.longer = MAX(wait.room, wait.lane);
	return wait;
}

void
ogl_capacity_check(struct ogl_capacity *c, const char *line, ogl_time expected,
    ogl_time waited)
{
	struct line *l = g_hash_table_lookup(c->lines, line);
	double weight;

	if (l == NULL) {
		if (g_hash_table_size(c->lines) >= LINES_MAX)
			return;
		l = g_new0(struct line, 1);
		g_hash_table_insert(c->lines, g_strdup(line), l);
	}
	l->checks++;
	weight = MAX(CHECK_WEIGHT, 1.0 / l->checks);
	l->late += weight * ((double)MAX(waited - expected, 0) - l->late);
	l->early += weight * ((double)MAX(expected - waited, 0) - l->early);
	l->scale +=
	    weight * ((double)MAX(MAX(expected, waited), SCALE_MIN) - l->scale);
}

struct ogl_capacity_error
ogl_capacity_error(const struct ogl_capacity *c, const char *line)
{
	const struct line *l = g_hash_table_lookup(c->lines, line);
	struct ogl_capacity_error e = {0, 0, true};

	if (l == NULL) {
		e.reliable = g_hash_table_size(c->lines) < LINES_MAX;
		return e;
	}
	e.late = (ogl_time)l->late;
	e.early = (ogl_time)l->early;
	e.reliable = l->checks < CHECKS_MIN ||
		     l->late + l->early <= ERROR_MAX * l->scale;
	return e;
}
