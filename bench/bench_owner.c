/*
 * Processor time of a simulated cell under load, for profiling.
 *
 * Three queues share the cell: short urgent jobs, gangs that hold many
 * processors, and wide jobs with time to spare.  Prints the processor time of
 * the whole simulation, fakes included, for each job.  Arguments: jobs a second,
 * seconds, nodes, workers, shards.
 */

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "fake_cell.h"

#define STEP_MS 20

static double
cpu_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec * 1e-9;
}

static void
submit(struct fake_cell *f, unsigned n, unsigned nodes)
{
	static const struct fake_step urgent = {
	    .count = 3, .cpu_milli = 2400, .run_ms = 1000, .after = -1};
	static const struct fake_step gang = {.count = 20,
	    .cpu_milli = 4500,
	    .run_ms = 5000,
	    .after = -1,
	    .gang = true};
	static const struct fake_step wide = {.count = 25,
	    .cpu_milli = 1700,
	    .run_ms = 2200,
	    .after = -1,
	    .checkpoints = true};
	char id[17];

	snprintf(id, sizeof id, "%016x", n);
	fake_cell_set_queue(f, n % 20 == 0 ? 1 : n % 8 == 1 ? 2 : 0);
	fake_cell_submit(f, n % nodes, id, NULL,
	    n % 20 == 0  ? &gang
	    : n % 8 == 1 ? &wide
			 : &urgent,
	    1);
}

/* The value of an argument of the program, or a default. */
static unsigned
argument(int argc, char **argv, int i, unsigned fallback)
{
	return argc > i ? (unsigned)atoi(argv[i]) : fallback;
}

int
main(int argc, char **argv)
{
	unsigned jobs_per_s = argument(argc, argv, 1, 100);
	unsigned seconds = argument(argc, argv, 2, 10);
	struct fake_cell_params p = {.nodes = argument(argc, argv, 3, 12),
	    .workers = argument(argc, argv, 4, 350),
	    .shards = argument(argc, argv, 5, 1),
	    .seed = 1,
	    .needs_advice = true,
	    .advice_worker_ms = 1,
	    .attempts_max = 3};
	struct fake_cell *f = fake_cell_init(&p);
	unsigned n = 0;
	unsigned ms;
	double begin;

	fake_cell_advance(f, 8000);
	begin = cpu_s();
	for (ms = 0; ms < seconds * 1000; ms += STEP_MS) {
		for (; n < (uint64_t)jobs_per_s * ms / 1000; n++)
			submit(f, n, p.nodes);
		fake_cell_advance(f, STEP_MS);
	}
	if (n > 0)
		printf(
		    "owner_sim_us_job %.0f us\n", (cpu_s() - begin) * 1e6 / n);
	fputs(fake_cell_violations(f), stderr);
	fake_cell_end(f);
	return 0;
}
