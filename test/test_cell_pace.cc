/*
 * Pace of workers: scripted progress of runs and the resulting pace.
 */

#include <gtest/gtest.h>

#include <cstring>

extern "C" {
#include "pace.h"
#include "straggler.h"
}

namespace
{

class Pace : public testing::Test
{
      protected:
	/* Observes a run with a declared time of 1,000 ms every 200 ms of the
	 * worker's clock; it starts at 0% and has the given pace. */
	void run(struct cell_pace *p, double pace, unsigned observations,
	    struct cell_progress *progress)
	{
		for (unsigned i = 0; i < observations; i++) {
			auto percent = static_cast<uint32_t>(
			    static_cast<double>(i) * 20 / pace);

			cell_pace_observe(
			    p, baseline_, progress, clock_, percent, 1000);
			clock_ += 200;
		}
	}

	/* Observes n runs, five times each. */
	void runs(struct cell_pace *p, double pace, unsigned n)
	{
		for (unsigned i = 0; i < n; i++) {
			struct cell_progress progress = {};

			run(p, pace, 5, &progress);
		}
	}

	double baseline_ = 1;
	uint64_t clock_ = 5000;
};

TEST_F(Pace, UnknownWorkerHasBaselinePace)
{
	struct cell_pace w = {};

	EXPECT_EQ(1.0, cell_pace_relative(&w, baseline_));
}

TEST_F(Pace, FasterWorkersSetTheBaseline)
{
	GArray *a = g_array_new(FALSE, FALSE, sizeof(double));

	EXPECT_EQ(1.0, cell_pace_baseline(a));
	/* Every job takes twice the declared time, and half of the workers are
	 * slow. */
	for (double v : {2.0, 14.0, 2.1, 15.0, 2.6, 13.0})
		g_array_append_val(a, v);
	EXPECT_EQ(2.1, cell_pace_baseline(a));
	g_array_unref(a);
}

TEST_F(Pace, PaceIsRelativeToTheBaseline)
{
	struct cell_pace w = {};

	baseline_ = 2;
	runs(&w, 2.6, 8);
	EXPECT_TRUE(cell_pace_known(&w));
	EXPECT_NEAR(1.3, cell_pace_relative(&w, baseline_), 0.05);
}

/*
 * Guards against moving tasks of other jobs away from a healthy worker because
 * one job there declares a sixth of the time that its tasks take.
 */
TEST_F(Pace, OneUnderestimatedJobDoesNotMakeAWorkerSlow)
{
	struct cell_pace w = {};
	struct cell_progress progress = {};

	run(&w, 6.0, 2, &progress);
	EXPECT_LT(cell_pace_relative(&w, baseline_), 2.5);
}

TEST_F(Pace, SlowWorkerIsDetectedWithinAFewSamples)
{
	struct cell_pace w = {};

	runs(&w, 1.0, 10);
	runs(&w, 7.0, 4);
	EXPECT_GT(cell_pace_relative(&w, baseline_), 2.5);
}

/*
 * Guards against never using a worker again that was measured as slow: it gets
 * no work, so no sample shows that it has recovered.
 */
TEST_F(Pace, PaceDecaysWhileIdle)
{
	struct cell_pace w = {};

	for (int i = 0; i < 30; i++)
		cell_pace_observe_stall(&w, baseline_);
	EXPECT_GT(cell_pace_relative(&w, baseline_), 2.5);
	for (int i = 0; i < 60; i++)
		cell_pace_decay(&w, baseline_);
	EXPECT_LT(cell_pace_relative(&w, baseline_), 1.7);
}

TEST_F(Pace, DetectsStalledRun)
{
	struct cell_pace w = {};
	struct cell_progress progress = {};

	run(&w, 1.0, 3, &progress);
	EXPECT_FALSE(
	    cell_pace_is_stalled(&progress, progress.clock_ms + 800, 1000));
	EXPECT_TRUE(
	    cell_pace_is_stalled(&progress, progress.clock_ms + 1000, 1000));
	/* The percentage of a long task rises slowly. */
	EXPECT_FALSE(
	    cell_pace_is_stalled(&progress, progress.clock_ms + 1000, 9000));
}

TEST_F(Pace, ClockResetAddsNoSample)
{
	struct cell_pace w = {};
	struct cell_progress progress = {};

	run(&w, 1.0, 3, &progress);
	cell_pace_observe(&w, baseline_, &progress, 10, 90, 1000);
	EXPECT_NEAR(1.0, w.value, 0.1);
	EXPECT_FALSE(cell_pace_is_stalled(&progress, 20, 1000));
}

/* Guards against leaving workers idle, and moving their runs, that are only
 * slower by a constant factor. */
TEST_F(Pace, ConstantlySlowerWorkerIsNotFaulty)
{
	for (double pace : {1.3, 2.4}) {
		struct cell_pace w = {};

		for (int i = 0; i < 100; i++) {
			runs(&w, pace, 2);
			cell_pace_learn_usual(&w);
			EXPECT_FALSE(cell_pace_is_faulty(&w, baseline_));
		}
		EXPECT_LT(cell_pace_relative(&w, baseline_) * 1.1,
		    cell_pace_straggler_min(&w, baseline_));
	}
}

/* Guards against sending work to a worker that has become slow. */
TEST_F(Pace, WorkerThatBecameSlowerIsFaulty)
{
	struct cell_pace w = {};

	for (int i = 0; i < 100; i++) {
		runs(&w, 1.3, 2);
		cell_pace_learn_usual(&w);
	}
	for (int i = 0; i < 10; i++) {
		runs(&w, 2.6, 2);
		cell_pace_learn_usual(&w);
	}
	EXPECT_TRUE(cell_pace_is_faulty(&w, baseline_));
	memset(&w, 0, sizeof w);
	runs(&w, 7.0, 10);
	EXPECT_TRUE(cell_pace_is_faulty(&w, baseline_));
}

TEST(Straggler, MovesOnlyWithEnoughGain)
{
	EXPECT_TRUE(cell_straggler_worth_moving(5000, 1000));
	EXPECT_FALSE(cell_straggler_worth_moving(1500, 1000));
	EXPECT_FALSE(cell_straggler_worth_moving(700, 300));
}

} // namespace
