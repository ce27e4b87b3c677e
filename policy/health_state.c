/*
 * States of workers: sound, suspect or aside, by probabilities.
 *
 * Each end of a run tells a sound worker from a faulty one.  Let p be how often
 * the job fails elsewhere, but at least as often as runs usually fail, and q
 * how often a faulty worker fails a run that would succeed elsewhere.  A
 * failure then has the probability p on a sound worker and 1 - (1-p)(1-q) on a
 * faulty one, a success 1-p and (1-p)(1-q).  The logarithms of the ratios are
 * added up, and the sum is never below zero, so that a worker that worked well
 * for a long time is found as soon as a new one (a CUSUM test).  There is one
 * sum for each q in `alternatives`, and the largest counts.
 *
 * A job that fails everywhere has a p near 1, and its failures add nothing.  It
 * may fail on many workers before that is known.  So p is looked up again for
 * the last OUTCOMES_MAX ends whenever a sum is needed, and until one of its
 * runs has succeeded, only the first failure of a job counts against a worker.
 *
 * Other evidence (calls without an answer) knows no job, and has one sum for
 * each kind.  Its p is how often the kind fails for all workers now, so a bad
 * link of the owner blames no worker.
 */

#include <math.h>

#include "health_impl.h"

/* How often a faulty worker fails runs: the least that is to be found soon, and
 * one that fails nearly all, which the first alternative alone would find after
 * six runs instead of five at a usual rate of 5%. */
static const double alternatives[] = {0.4, 0.95};
#define ALTERNATIVES G_N_ELEMENTS(alternatives)

#define OUTCOMES_MAX 32 /* ends of runs kept for each worker */
/* The usual rate counts as much as this many runs of the job elsewhere. */
#define JOB_PRIOR_RUNS 2.0
/* The least usual rate counts as much as this many runs of all workers. */
#define USUAL_PRIOR_RUNS 100.0
/* A worker counts with at most this share of failures, and one more, in the
 * usual rate: a few faulty workers, which take more runs than others because
 * they end them sooner, would otherwise raise it until they are not found. */
#define USUAL_SHARE_MAX 0.2
#define PROBABILITY_MAX 0.95
/* Weight of one call in the rate at which calls fail now: an outage that hits
 * the calls to some hundred workers shows before any of them is suspect. */
#define CALL_RATE_WEIGHT (1.0 / 64)
/* Calls of one kind that fail within this time have one cause, such as the end
 * of the worker, and count once. */
#define CALL_FAILURE_INTERVAL (500 * OGL_MS)
/* Workers that the table of jobs is sized for: 4,096 jobs. */
#define JOBS_FOR_WORKERS 8192
/* A cell of fewer workers sets none aside. */
#define ASIDE_WORKERS_MIN 3
/* Below this a sound worker's ends of runs need not be kept. */
#define KEPT_BITS_MIN 0.5

struct outcome {
	uint64_t job;
	ogl_time at;
	double p; /* of a failure, if the job's record is gone */
	double factor;
	bool ok;
	bool first; /* the first failure of its job here, as far as kept */
};

struct ogl_watched {
	uint32_t worker;
	enum ogl_health_state state;
	ogl_time since;             /* of the state */
	ogl_time until;             /* end of the cooldown */
	uint32_t cooldowns;         /* in the recent past */
	GArray *outcomes;           /* struct outcome, oldest first */
	double carry[ALTERNATIVES]; /* sums of older ends, as of carry_at */
	ogl_time carry_at;
	double call_bits[OGL_HEALTH_EVIDENCE_KINDS];
	ogl_time call_at[OGL_HEALTH_EVIDENCE_KINDS];
	ogl_time call_failed_at[OGL_HEALTH_EVIDENCE_KINDS];
	ogl_time no_progress_at; /* last run that stood still */
	double runs, failed;     /* halved each half-life, as of counted_at */
	ogl_time counted_at;
	double bits;                  /* as last summed up */
	enum ogl_health_evidence why; /* the kind with most of them */
};

struct ogl_health_states {
	const struct ogl_health_params *params;
	ogl_health_changed_fn *changed;
	void *arg;
	GHashTable *watched; /* worker -> struct ogl_watched */
	double usual;        /* share of failed runs on sound workers */
	double call_rate[OGL_HEALTH_EVIDENCE_KINDS]; /* failing now, of all */
	uint32_t workers;
	uint32_t nstate[OGL_HEALTH_ASIDE + 1];
	GPtrArray *candidates; /* scratch: struct ogl_watched */
};

static void
watched_free(void *p)
{
	struct ogl_watched *w = p;

	g_array_unref(w->outcomes);
	g_free(w);
}

struct ogl_health *
ogl_health_init_with(const struct ogl_health_params *params,
    ogl_health_changed_fn *changed, void *arg)
{
	struct ogl_health *h = ogl_health_init();
	struct ogl_health_states *s = g_new0(struct ogl_health_states, 1);
	unsigned i;

	ogl_health_resize(h, JOBS_FOR_WORKERS);
	s->params = params;
	s->changed = changed;
	s->arg = arg;
	s->watched = g_hash_table_new_full(NULL, NULL, NULL, watched_free);
	s->usual = params->weights[OGL_HEALTH_RUN_FAILED].usual;
	for (i = 0; i < OGL_HEALTH_EVIDENCE_KINDS; i++)
		s->call_rate[i] = params->weights[i].usual;
	s->candidates = g_ptr_array_new();
	h->states = s;
	return h;
}

void
ogl_health_states_end(struct ogl_health_states *s)
{
	g_ptr_array_unref(s->candidates);
	g_hash_table_unref(s->watched);
	g_free(s);
}

static struct ogl_watched *
find_watched(const struct ogl_health *h, uint32_t w)
{
	return g_hash_table_lookup(h->states->watched, GUINT_TO_POINTER(w));
}

static struct ogl_watched *
get_watched(struct ogl_health *h, uint32_t id, ogl_time now)
{
	struct ogl_watched *w = find_watched(h, id);

	if (w != NULL)
		return w;
	w = g_new0(struct ogl_watched, 1);
	w->worker = id;
	w->since = now;
	w->carry_at = now;
	w->counted_at = now;
	w->outcomes = g_array_new(FALSE, FALSE, sizeof(struct outcome));
	g_hash_table_insert(h->states->watched, GUINT_TO_POINTER(id), w);
	h->states->nstate[OGL_HEALTH_SOUND]++;
	return w;
}

static double
decay(const struct ogl_health_states *s, ogl_time from, ogl_time to)
{
	return to > from ? exp2(-(double)(to - from) / s->params->half_life)
			 : 1;
}

/* ---- sums of bits ------------------------------------------------------- */

static double
failure_bits(double p, double q)
{
	return log2((1 - (1 - p) * (1 - q)) / p);
}

/* How often the job of a failure here fails elsewhere. */
static double
failure_probability(const struct ogl_health *h, const struct outcome *o)
{
	const struct ogl_job_record *r = ogl_health_find_job(h, o->job);
	double usual = h->states->usual;
	double failed, p;

	if (r == NULL)
		return o->p;
	failed = r->failed > 0 ? r->failed - 1 : 0;
	p = (failed + JOB_PRIOR_RUNS * usual) /
	    (failed + r->ok + JOB_PRIOR_RUNS);
	return CLAMP(p, usual, PROBABILITY_MAX);
}

/* Whether the failure counts.  Until a run of the job has succeeded, a second
 * failure tells no more than the first. */
static bool
counts(const struct ogl_health *h, const struct outcome *o)
{
	const struct ogl_job_record *r;

	if (o->first)
		return true;
	r = ogl_health_find_job(h, o->job);
	return r != NULL && r->ok > 0;
}

static double
outcome_bits(const struct ogl_health *h, const struct outcome *o, double q)
{
	if (o->ok)
		return log2(1 - q);
	if (!counts(h, o))
		return 0;
	return o->factor * failure_bits(failure_probability(h, o), q);
}

/* The sum at the time of an outcome that includes it.  The limit keeps the time
 * short in which a worker that failed for long is sound after it is mended. */
static double
add_outcome(const struct ogl_health *h, double sum, ogl_time at,
    const struct outcome *o, double q)
{
	sum = sum * decay(h->states, at, o->at) + outcome_bits(h, o, q);
	return CLAMP(
	    sum, 0, h->states->params->weights[OGL_HEALTH_RUN_FAILED].bits_max);
}

static double
sum_runs(const struct ogl_health *h, const struct ogl_watched *w, unsigned alt,
    ogl_time now)
{
	double sum = w->carry[alt];
	ogl_time at = w->carry_at;
	guint i;

	for (i = 0; i < w->outcomes->len; i++) {
		const struct outcome *o =
		    &g_array_index(w->outcomes, struct outcome, i);

		sum = add_outcome(h, sum, at, o, alternatives[alt]);
		at = o->at;
	}
	return sum * decay(h->states, at, now);
}

static double
sum_calls(const struct ogl_health_states *s, const struct ogl_watched *w,
    unsigned kind, ogl_time now)
{
	return w->call_bits[kind] * decay(s, w->call_at[kind], now);
}

static double
sum_bits(const struct ogl_health *h, const struct ogl_watched *w, ogl_time now,
    enum ogl_health_evidence *why)
{
	const struct ogl_health_states *s = h->states;
	double runs = 0, calls = 0, most;
	unsigned i;

	for (i = 0; i < ALTERNATIVES; i++)
		runs = MAX(runs, sum_runs(h, w, i, now));
	most = runs;
	*why = w->no_progress_at != 0 &&
		       now - w->no_progress_at < s->params->half_life
		   ? OGL_HEALTH_NO_PROGRESS
		   : OGL_HEALTH_RUN_FAILED;
	for (i = OGL_HEALTH_START_UNANSWERED; i < OGL_HEALTH_EVIDENCE_KINDS;
	     i++) {
		double bits = sum_calls(s, w, i, now);

		calls += bits;
		if (bits > most) {
			most = bits;
			*why = i;
		}
	}
	return runs + MIN(calls, s->params->call_bits_max);
}

/* ---- changes of state --------------------------------------------------- */

static void
set_state(struct ogl_health_states *s, struct ogl_watched *w,
    enum ogl_health_state state, double bits, enum ogl_health_evidence why,
    ogl_time now)
{
	struct ogl_health_change c = {w->worker, state, bits, why, 0};

	s->nstate[w->state]--;
	s->nstate[state]++;
	w->state = state;
	w->since = now;
	if (state == OGL_HEALTH_ASIDE) {
		w->until = now + (s->params->cooldown << MIN(
				      w->cooldowns, s->params->doublings_max));
		w->cooldowns++;
		c.until = w->until;
	}
	s->changed(s->arg, &c, now);
}

/* After its cooldown a worker is suspect without regard to older runs, as what
 * was wrong may be mended. */
static void
end_cooldown(struct ogl_health_states *s, struct ogl_watched *w, ogl_time now)
{
	unsigned i;

	g_array_set_size(w->outcomes, 0);
	memset(w->call_bits, 0, sizeof w->call_bits);
	w->no_progress_at = 0;
	w->runs = w->failed = 0;
	w->carry_at = now;
	for (i = 0; i < ALTERNATIVES; i++)
		w->carry[i] = s->params->suspect_bits;
	set_state(s, w, OGL_HEALTH_SUSPECT, s->params->suspect_bits,
	    OGL_HEALTH_RUN_FAILED, now);
}

/* Whether one more worker may be aside, or suspect.  A fault that many workers
 * have in common must not leave the cell without workers. */
static bool
one_more_may_be(const struct ogl_health_states *s, enum ogl_health_state state)
{
	uint32_t bad = s->nstate[OGL_HEALTH_ASIDE];
	uint32_t per = s->params->workers_per_aside;

	if (state == OGL_HEALTH_SUSPECT) {
		bad += s->nstate[OGL_HEALTH_SUSPECT];
		per = s->params->workers_per_suspect;
	} else if (s->workers < ASIDE_WORKERS_MIN) {
		return false;
	}
	return bad < MAX(s->workers / per, 1);
}

static bool
is_to_be_aside(const struct ogl_health_states *s, const struct ogl_watched *w)
{
	return w->state == OGL_HEALTH_SUSPECT &&
	       w->bits >= (w->cooldowns > 0 ? s->params->aside_again_bits
					    : s->params->aside_bits);
}

/* Applies what the worker's bits, summed up at this time, call for. */
static void
judge(struct ogl_health_states *s, struct ogl_watched *w, ogl_time now)
{
	if (w->state == OGL_HEALTH_ASIDE) {
		if (now >= w->until)
			end_cooldown(s, w, now);
		return;
	}
	if (w->state == OGL_HEALTH_SOUND &&
	    now - w->since > s->params->forget_after)
		w->cooldowns = 0;
	if (w->state == OGL_HEALTH_SUSPECT && w->bits < s->params->sound_bits)
		set_state(s, w, OGL_HEALTH_SOUND, w->bits, w->why, now);
	if (w->state == OGL_HEALTH_SOUND &&
	    w->bits >= s->params->suspect_bits &&
	    one_more_may_be(s, OGL_HEALTH_SUSPECT))
		set_state(s, w, OGL_HEALTH_SUSPECT, w->bits, w->why, now);
	if (is_to_be_aside(s, w) && one_more_may_be(s, OGL_HEALTH_ASIDE))
		set_state(s, w, OGL_HEALTH_ASIDE, w->bits, w->why, now);
}

/* ---- evidence ----------------------------------------------------------- */

/* Whether no failure of the job on the worker is kept. */
static bool
is_first_failure(const struct ogl_watched *w, uint64_t job)
{
	guint i;

	for (i = 0; i < w->outcomes->len; i++) {
		const struct outcome *o =
		    &g_array_index(w->outcomes, struct outcome, i);

		if (!o->ok && o->job == job)
			return false;
	}
	return true;
}

static void
drop_oldest(struct ogl_health *h, struct ogl_watched *w)
{
	struct outcome *o = &g_array_index(w->outcomes, struct outcome, 0);
	unsigned i;

	for (i = 0; i < ALTERNATIVES; i++)
		w->carry[i] = add_outcome(
		    h, w->carry[i], w->carry_at, o, alternatives[i]);
	w->carry_at = o->at;
	g_array_remove_index(w->outcomes, 0);
}

/* Whether the worker's sums of runs are zero, and stay so while runs succeed. */
static bool
no_run_counts(const struct ogl_watched *w)
{
	unsigned i;

	for (i = 0; i < ALTERNATIVES; i++) {
		if (w->carry[i] > 0)
			return false;
	}
	return w->outcomes->len == 0 && w->state == OGL_HEALTH_SOUND;
}

static void
count_run(struct ogl_health *h, struct ogl_watched *w,
    enum ogl_health_evidence kind, uint64_t job, bool ok, ogl_time now)
{
	struct outcome o = {job, now, h->states->usual,
	    h->states->params->weights[kind].factor, ok, false};
	double faded = decay(h->states, w->counted_at, now);

	w->runs = w->runs * faded + 1;
	w->failed = w->failed * faded + !ok;
	w->counted_at = now;
	if (ok) {
		ogl_health_job_result(ogl_health_job(h, job, now), true);
		if (no_run_counts(w))
			return;
	} else {
		o.first = is_first_failure(w, job);
		if (o.first)
			ogl_health_job_result(
			    ogl_health_job(h, job, now), false);
	}
	if (w->outcomes->len >= OUTCOMES_MAX)
		drop_oldest(h, w);
	g_array_append_val(w->outcomes, o);
}

static void
count_call(struct ogl_health_states *s, struct ogl_watched *w,
    enum ogl_health_evidence kind, bool ok, ogl_time now)
{
	const struct ogl_health_weight *weight = &s->params->weights[kind];
	double p = CLAMP(s->call_rate[kind], weight->usual, PROBABILITY_MAX);
	double bits =
	    ok ? log2(1 - alternatives[0]) : failure_bits(p, alternatives[0]);

	s->call_rate[kind] += CALL_RATE_WEIGHT * (!ok - s->call_rate[kind]);
	if (!ok && now < w->call_failed_at[kind] + CALL_FAILURE_INTERVAL)
		return;
	if (!ok)
		w->call_failed_at[kind] = now;
	bits = sum_calls(s, w, kind, now) + weight->factor * bits;
	w->call_bits[kind] = CLAMP(bits, 0, weight->bits_max);
	w->call_at[kind] = now;
}

void
ogl_health_count(struct ogl_health *h, uint32_t id,
    enum ogl_health_evidence kind, uint64_t job, bool ok, ogl_time now)
{
	struct ogl_watched *w = get_watched(h, id, now);

	if (kind == OGL_HEALTH_RUN_FAILED || kind == OGL_HEALTH_NO_PROGRESS)
		count_run(h, w, kind, job, ok, now);
	else
		count_call(h->states, w, kind, ok, now);
	if (kind == OGL_HEALTH_NO_PROGRESS && !ok)
		w->no_progress_at = now;
	if (!ok || w->state != OGL_HEALTH_SOUND) {
		w->bits = sum_bits(h, w, now, &w->why);
		judge(h->states, w, now);
	}
}

/* ---- review ------------------------------------------------------------- */

static void
learn_usual(struct ogl_health_states *s, ogl_time now)
{
	double least = s->params->weights[OGL_HEALTH_RUN_FAILED].usual;
	double runs = USUAL_PRIOR_RUNS, failed = USUAL_PRIOR_RUNS * least;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, s->watched);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct ogl_watched *w = p;
		double faded = decay(s, w->counted_at, now);

		if (w->state != OGL_HEALTH_SOUND)
			continue;
		runs += w->runs * faded;
		failed += MIN(
		    w->failed * faded, USUAL_SHARE_MAX * w->runs * faded + 1);
	}
	s->usual = CLAMP(failed / runs, least, PROBABILITY_MAX);
}

static gint
by_bits(gconstpointer a, gconstpointer b)
{
	const struct ogl_watched *x = *(struct ogl_watched *const *)a;
	const struct ogl_watched *y = *(struct ogl_watched *const *)b;

	if (x->bits != y->bits)
		return x->bits > y->bits ? -1 : 1;
	return x->worker < y->worker ? -1 : x->worker > y->worker;
}

static void
drop_stale_outcomes(struct ogl_watched *w)
{
	if (w->state != OGL_HEALTH_SOUND || w->bits >= KEPT_BITS_MIN)
		return;
	g_array_set_size(w->outcomes, 0);
	memset(w->carry, 0, sizeof w->carry);
}

void
ogl_health_review(struct ogl_health *h, uint32_t workers, ogl_time now)
{
	struct ogl_health_states *s = h->states;
	GHashTableIter it;
	gpointer p;
	guint i;

	s->workers = workers;
	learn_usual(s, now);
	g_ptr_array_set_size(s->candidates, 0);
	g_hash_table_iter_init(&it, s->watched);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct ogl_watched *w = p;

		w->bits = sum_bits(h, w, now, &w->why);
		drop_stale_outcomes(w);
		g_ptr_array_add(s->candidates, w);
	}
	g_ptr_array_sort(s->candidates, by_bits);
	for (i = 0; i < s->candidates->len; i++)
		judge(s, s->candidates->pdata[i], now);
}

enum ogl_health_state
ogl_health_state_of(const struct ogl_health *h, uint32_t w)
{
	const struct ogl_watched *k = find_watched(h, w);

	return k != NULL ? k->state : OGL_HEALTH_SOUND;
}

double
ogl_health_bits(const struct ogl_health *h, uint32_t w, ogl_time now)
{
	const struct ogl_watched *k = find_watched(h, w);
	enum ogl_health_evidence why;

	return k != NULL ? sum_bits(h, k, now, &why) : 0;
}

void
ogl_health_forget(struct ogl_health *h, uint32_t w)
{
	struct ogl_watched *k = find_watched(h, w);

	if (k == NULL)
		return;
	h->states->nstate[k->state]--;
	g_hash_table_remove(h->states->watched, GUINT_TO_POINTER(w));
}
