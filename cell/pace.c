/*
 * One sample of a worker's pace is the time that a run took for some progress,
 * by the worker's clock, divided by the declared time of that progress.
 * Declared times are wrong to a different degree for each job, and also on
 * average over all jobs.  So samples are smoothed, and a worker is compared
 * with the faster workers instead of with 1.
 */

#include <glib.h>

#include "pace.h"

/* Least time between two samples of one run: over a shorter time the rounding
 * of the percentage dominates. */
#define SAMPLE_INTERVAL_MIN_MS 150
/* Weight of one sample.  A worker with ten runs gives about forty samples a
 * second, so a change shows within half a second. */
#define SAMPLE_WEIGHT 0.1
/* The initial pace of an unknown worker weighs as much as this many samples. */
#define PRIOR_SAMPLES 4
/* Samples after which a worker counts as known. */
#define KNOWN_SAMPLES_MIN 4
/* The pace of healthy workers is that of the slowest in the fastest third, as
 * up to half of all workers may be slow at the same time. */
#define BASELINE_DIVISOR 3
/* Samples are limited to this range: a stalled run would otherwise dominate the
 * pace of its worker for a long time. */
#define SAMPLE_MAX 8.0
#define SAMPLE_MIN 0.1
/* A run is observed for at least this time before it has a pace of its own. */
#define RUN_OBSERVED_MIN_MS 300
/* Part of the distance to the baseline that an idle worker's pace moves five
 * times a second.  A pace of 8 makes a worker count as faulty for about 9 s, or
 * 3 s if its usual pace is not known. */
#define DECAY_FACTOR 0.05
/* A run is stalled when it has made no progress for this time, and for this
 * fraction of its declared time. */
#define STALL_MIN_MS 900
#define STALL_MIN_FRACTION 0.25

/* Weight of one step of the usual pace: a minute of work.  A shorter mean would
 * follow a worker that has become slow before its runs are moved. */
#define USUAL_STEP_WEIGHT (1.0 / 300)
/* Steps, of 0.2 s, until the usual pace is known. */
#define USUAL_STEPS_MIN 25
/* A pace of this many times the worker's usual one is a fault. */
#define FAULTY_CHANGE_MIN 1.7
/* A relative pace that no group of healthy workers has; the slowest known group
 * is at 2.4, and a worker's measured pace is off by up to a half. */
#define FAULTY_PACE_MIN 4.0
/* Below this relative pace a run may seem slow only because too little time is
 * expected for it.  Counted from the worker's usual pace if that is slower. */
#define STRAGGLER_PACE_MIN 2.5

/*
 * An unknown worker starts as if it had a few samples of the baseline: a single
 * sample, of a job that declared far too little time, must not make it look
 * slow.
 */
static void
add_sample(struct cell_pace *p, double baseline, double sample)
{
	double weight;

	p->samples++;
	weight = MAX(SAMPLE_WEIGHT, 1.0 / (PRIOR_SAMPLES + p->samples));
	if (p->value <= 0)
		p->value = baseline;
	p->value += weight * (sample - p->value);
}

void
cell_pace_observe(struct cell_pace *p, double baseline,
    struct cell_progress *progress, uint64_t clock_ms, uint32_t percent,
    uint32_t estimate_ms)
{
	double sample, taken_ms, declared_ms;

	if (clock_ms == 0 || estimate_ms == 0)
		return;
	if (progress->clock_ms == 0 || clock_ms < progress->clock_ms ||
	    percent < progress->percent) {
		progress->clock_ms = clock_ms;
		progress->percent = percent;
		progress->first_ms = clock_ms;
		progress->first_percent = percent;
		return;
	}
	if (clock_ms - progress->clock_ms < SAMPLE_INTERVAL_MIN_MS ||
	    percent == progress->percent)
		return;
	taken_ms = (double)(clock_ms - progress->clock_ms);
	declared_ms = (percent - progress->percent) / 100.0 * estimate_ms;
	sample = CLAMP(taken_ms / declared_ms, SAMPLE_MIN, SAMPLE_MAX);
	add_sample(p, baseline, sample);
	progress->clock_ms = clock_ms;
	progress->percent = percent;
}

void
cell_pace_observe_stall(struct cell_pace *p, double baseline)
{
	add_sample(p, baseline, SAMPLE_MAX);
}

double
cell_pace_relative(const struct cell_pace *p, double baseline)
{
	return p->value > 0 ? p->value / baseline : 1;
}

bool
cell_pace_known(const struct cell_pace *p)
{
	return p->samples >= KNOWN_SAMPLES_MIN;
}

void
cell_pace_learn_usual(struct cell_pace *p)
{
	if (!cell_pace_known(p))
		return;
	p->usual_steps++;
	p->usual += MAX(USUAL_STEP_WEIGHT, 1.0 / p->usual_steps) *
		    (p->value - p->usual);
}

bool
cell_pace_is_faulty(const struct cell_pace *p, double baseline)
{
	if (cell_pace_relative(p, baseline) >= FAULTY_PACE_MIN)
		return true;
	return p->usual_steps >= USUAL_STEPS_MIN &&
	       p->value > FAULTY_CHANGE_MIN * MAX(p->usual, baseline);
}

double
cell_pace_straggler_min(const struct cell_pace *p, double baseline)
{
	double usual =
	    p->usual_steps >= USUAL_STEPS_MIN ? p->usual / baseline : 1;

	return MIN(STRAGGLER_PACE_MIN * MAX(usual, 1), FAULTY_PACE_MIN);
}

static gint
by_value(gconstpointer a, gconstpointer b)
{
	const double *x = a;
	const double *y = b;

	return *x < *y ? -1 : *x > *y;
}

double
cell_pace_baseline(GArray *values)
{
	if (values->len == 0)
		return 1;
	g_array_sort(values, by_value);
	return g_array_index(
	    values, double, (values->len - 1) / BASELINE_DIVISOR);
}

double
cell_pace_of_run(const struct cell_progress *progress, uint64_t clock_ms,
    uint32_t estimate_ms)
{
	double taken_ms, declared_ms;

	if (progress->clock_ms == 0 ||
	    clock_ms < progress->first_ms + RUN_OBSERVED_MIN_MS)
		return 0;
	taken_ms = (double)(clock_ms - progress->first_ms);
	declared_ms =
	    (progress->percent - progress->first_percent) / 100.0 * estimate_ms;
	return declared_ms > 0 ? MIN(taken_ms / declared_ms, SAMPLE_MAX)
			       : SAMPLE_MAX;
}

/*
 * A worker known as slow gets no work, so no sample would ever show that it has
 * recovered.  Its pace therefore returns to the baseline with time.
 */
void
cell_pace_decay(struct cell_pace *p, double baseline)
{
	if (p->value > 0)
		p->value += DECAY_FACTOR * (baseline - p->value);
}

bool
cell_pace_is_stalled(const struct cell_progress *progress, uint64_t clock_ms,
    uint32_t estimate_ms)
{
	uint64_t stalled_ms;

	if (progress->clock_ms == 0 || clock_ms <= progress->clock_ms)
		return false;
	stalled_ms = clock_ms - progress->clock_ms;
	return stalled_ms > STALL_MIN_MS &&
	       stalled_ms > STALL_MIN_FRACTION * estimate_ms;
}
