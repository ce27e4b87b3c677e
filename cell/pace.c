/*
 * A run's progress between two looks, in the worker's own time, against its
 * declared time is one sample of the worker's pace.  Declared times are off by
 * a part for each job, and over all jobs together, so samples are smoothed, and
 * a worker is compared with the faster ones instead of with 1.
 */

#include <glib.h>

#include "pace.h"

/* Between two samples of one run: shorter ones are mostly rounding of the
 * percentage. */
#define LOOK_MS 150
/* Weight of one sample.  A worker with ten runs gives some forty a second, so a
 * change shows within half a second. */
#define WEIGHT 0.1
/* Samples that it takes to outweigh having known nothing. */
#define PRIOR 4
/* Looks after which a worker counts as known. */
#define KNOWN 4
/* Workers that are well: the fastest third sets their pace, as up to half may
 * be slow at a time. */
#define SOUND_PART 3
/* No sample counts for more: a run that stands still would otherwise set the
 * pace of its worker for a long time. */
#define SAMPLE_MAX 8.0
#define SAMPLE_MIN 0.1
/* A run has to be looked at for so long before it speaks for itself. */
#define RUN_MS 300
/* A pace of 8 counts as out of order for some 9 s without work. */
#define FADE 0.05
/* A run without progress for this time, and for this part of its declared time,
 * stands still. */
#define STILL_MS 900
#define STILL_PART 0.25

/*
 * Nothing known counts as a few samples of the usual pace: one odd sample, of a
 * job that declared far too little, must not make a worker look slow.
 */
static void
blend(struct cell_pace *p, double sound, double sample)
{
	double weight;

	p->samples++;
	weight = MAX(WEIGHT, 1.0 / (PRIOR + p->samples));
	if (p->value <= 0)
		p->value = sound;
	p->value += weight * (sample - p->value);
}

void
cell_pace_look(struct cell_pace *p, double sound, struct cell_progress *seen,
    uint64_t clock_ms, uint32_t percent, uint32_t estimate_ms)
{
	double sample, took, planned;

	if (clock_ms == 0 || estimate_ms == 0)
		return;
	if (seen->clock_ms == 0 || clock_ms < seen->clock_ms ||
	    percent < seen->percent) {
		seen->clock_ms = clock_ms;
		seen->percent = percent;
		seen->first_ms = clock_ms;
		seen->first_percent = percent;
		return;
	}
	if (clock_ms - seen->clock_ms < LOOK_MS || percent == seen->percent)
		return;
	took = (double)(clock_ms - seen->clock_ms);
	planned = (percent - seen->percent) / 100.0 * estimate_ms;
	sample = CLAMP(took / planned, SAMPLE_MIN, SAMPLE_MAX);
	blend(p, sound, sample);
	seen->clock_ms = clock_ms;
	seen->percent = percent;
}

void
cell_pace_still(struct cell_pace *p, double sound)
{
	blend(p, sound, SAMPLE_MAX);
}

double
cell_pace_relative(const struct cell_pace *p, double sound)
{
	return p->value > 0 ? p->value / sound : 1;
}

bool
cell_pace_known(const struct cell_pace *p)
{
	return p->samples >= KNOWN;
}

static gint
by_value(gconstpointer a, gconstpointer b)
{
	const double *x = a;
	const double *y = b;

	return *x < *y ? -1 : *x > *y;
}

double
cell_pace_sound(GArray *values)
{
	if (values->len == 0)
		return 1;
	g_array_sort(values, by_value);
	return g_array_index(values, double, (values->len - 1) / SOUND_PART);
}

double
cell_pace_of_run(
    const struct cell_progress *seen, uint64_t clock_ms, uint32_t estimate_ms)
{
	double took, planned;

	if (seen->clock_ms == 0 || clock_ms < seen->first_ms + RUN_MS)
		return 0;
	took = (double)(clock_ms - seen->first_ms);
	planned = (seen->percent - seen->first_percent) / 100.0 * estimate_ms;
	return planned > 0 ? MIN(took / planned, SAMPLE_MAX) : SAMPLE_MAX;
}

/*
 * A worker known as slow is given nothing, so nothing would ever tell that it
 * is well again.
 */
void
cell_pace_fade(struct cell_pace *p, double sound)
{
	if (p->value > 0)
		p->value += FADE * (sound - p->value);
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
