/*
 * A run's progress between two looks, in the worker's own time, against its
 * declared time is one sample of the worker's pace.  Declared times are off by
 * a part for each job, and over all jobs together, so samples are smoothed, and
 * a worker is compared with the mean of all of them instead of with 1.
 */

#include <glib.h>

#include "pace.h"

/* Between two samples of one run: shorter ones are mostly rounding of the
 * percentage. */
#define LOOK_MS 150
/* Weight of one sample.  A worker with ten runs gives some forty a second, so a
 * change shows within half a second. */
#define WEIGHT 0.1
#define WEIGHT_ALL 0.01
/* No sample counts for more: a run that stands still would otherwise set the
 * pace of its worker for a long time. */
#define SAMPLE_MAX 20.0
#define SAMPLE_MIN 0.1
/* A run without progress for this time, and for this part of its declared time,
 * stands still. */
#define STILL_MS 900
#define STILL_PART 0.25

static void
blend(double *value, double sample, double weight)
{
	if (*value <= 0)
		*value = sample;
	else
		*value += weight * (sample - *value);
}

void
cell_pace_look(struct cell_pace *p, struct cell_pace *all,
    struct cell_progress *seen, uint64_t clock_ms, uint32_t percent,
    uint32_t estimate_ms)
{
	double sample, took, planned;

	if (clock_ms == 0 || estimate_ms == 0)
		return;
	if (seen->clock_ms == 0 || clock_ms < seen->clock_ms ||
	    percent < seen->percent) {
		seen->clock_ms = clock_ms;
		seen->percent = percent;
		return;
	}
	if (clock_ms - seen->clock_ms < LOOK_MS || percent == seen->percent)
		return;
	took = (double)(clock_ms - seen->clock_ms);
	planned = (percent - seen->percent) / 100.0 * estimate_ms;
	sample = CLAMP(took / planned, SAMPLE_MIN, SAMPLE_MAX);
	blend(&p->value, sample, WEIGHT);
	blend(&all->value, sample, WEIGHT_ALL);
	seen->clock_ms = clock_ms;
	seen->percent = percent;
}

double
cell_pace_relative(const struct cell_pace *p, const struct cell_pace *all)
{
	if (p->value <= 0 || all->value <= 0)
		return 1;
	return p->value / all->value;
}

bool
cell_pace_stands_still(
    const struct cell_progress *seen, uint64_t clock_ms, uint32_t estimate_ms)
{
	uint64_t still;

	if (seen->clock_ms == 0 || clock_ms <= seen->clock_ms)
		return false;
	still = clock_ms - seen->clock_ms;
	return still > STILL_MS && still > STILL_PART * estimate_ms;
}
