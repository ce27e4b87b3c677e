/*
 * Otsu's threshold over a histogram: of all splits into lower and upper
 * levels, the one with the greatest variance between both sides.  Of equal
 * splits the lowest is taken: the levels between two heaps of service then
 * count as long, and a long sort whose guess dips does not pass for short.
 */

#include "queue_split.h"

#define MARGIN 1e-9 /* splits that differ by less are equal */

/* Sums over some levels. */
struct side {
	double weight;
	double moment;
};

static void
add(struct side *s, size_t level, double weight)
{
	s->weight += weight;
	s->moment += (double)level * weight;
}

static double
mean(const struct side *s)
{
	return s->moment / s->weight;
}

bool
ogl_queue_split(
    const double *service, size_t levels, struct ogl_queue_split *split)
{
	struct side all = {0, 0};
	struct side low = {0, 0};
	double best = 0;

	for (size_t k = 0; k < levels; k++)
		add(&all, k, service[k]);
	for (size_t k = 0; k + 1 < levels; k++) {
		struct side high;
		double apart, between;

		add(&low, k, service[k]);
		high.weight = all.weight - low.weight;
		high.moment = all.moment - low.moment;
		if (low.weight <= 0 || high.weight <= MARGIN * all.weight)
			continue;
		apart = mean(&high) - mean(&low);
		between = apart * apart * low.weight * high.weight;
		if (between <= best * (1 + MARGIN))
			continue;
		best = between;
		split->short_level = (uint32_t)k;
		split->high_mean = mean(&high);
	}
	return best > 0;
}
