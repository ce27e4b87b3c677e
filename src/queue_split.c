/*
 * Otsu's method on a histogram: of all splits into lower and upper levels, the
 * one with the greatest between-class variance.  Of equal splits the lowest is
 * chosen, so that empty levels between two peaks count as long: a long class
 * of work whose run time estimate drops a little does not become short.
 */

#include "queue_split.h"

#define RELATIVE_TOLERANCE 1e-9 /* smaller differences count as equal */

/* Sums over the levels on one side of a split. */
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
		double distance, variance;

		add(&low, k, service[k]);
		high.weight = all.weight - low.weight;
		high.moment = all.moment - low.moment;
		if (low.weight <= 0 ||
		    high.weight <= RELATIVE_TOLERANCE * all.weight)
			continue;
		distance = mean(&high) - mean(&low);
		variance = distance * distance * low.weight * high.weight;
		if (variance <= best * (1 + RELATIVE_TOLERANCE))
			continue;
		best = variance;
		split->short_level = (uint32_t)k;
		split->long_mean_level = mean(&high);
	}
	return best > 0;
}
