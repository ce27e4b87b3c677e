/* Learned run times: scripted runs and the resulting estimates. */

#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <string>

extern "C" {
#include "runtime.h"
}

namespace
{

class Runtime : public testing::Test
{
      protected:
	~Runtime() override
	{
		ogl_runtime_end(r_);
	}

	void ran(const std::string &team, double ms, double declared_ms,
	    unsigned n = 1, double pace = 0)
	{
		struct ogl_runtime_run run = {ms, declared_ms, pace, 1};

		for (; n > 0; n--)
			ogl_runtime_add(r_, q_, ogl_str(team.c_str()), &run);
	}

	double estimate(const char *team, double declared_ms)
	{
		return ogl_runtime_estimate_ms(
		    r_, q_, ogl_str(team), declared_ms);
	}

	/* Mean error of the estimates made before each of n runs.  Run times
	 * vary by factors of about exp(spread).  Declarations are off by up to
	 * `off` of the run time, and by half of that on average. */
	double mean_error(unsigned n, double spread, double off)
	{
		std::normal_distribution<double> run(std::log(2000), spread);
		std::uniform_real_distribution<double> error(-off, off);
		double sum = 0;

		for (unsigned i = 0; i < n; i++) {
			double ms = std::exp(run(random_));
			double d = ms * (1 + error(random_));

			sum += std::fabs(estimate("t", d) - ms) / ms;
			ran("t", ms, d);
		}
		return sum / n;
	}

	struct ogl_runtime *r_ = ogl_runtime_init();
	struct ogl_str q_ = ogl_str("q");
	std::mt19937 random_{7};
};

/* Guards against weighing a wide ratio as much as a narrow class. */
TEST_F(Runtime, NarrowClassWithBadDeclarationsIsLearned)
{
	mean_error(100, 0.1, 0.9);
	EXPECT_LT(mean_error(400, 0.1, 0.9), 0.25 * 0.9 / 2);
}

/* Guards against drawing exact declarations to the mean of a wide class. */
TEST_F(Runtime, WideClassWithExactDeclarationsFollowsThem)
{
	mean_error(100, 1.5, 0);
	EXPECT_LT(mean_error(400, 1.5, 0), 0.03);
}

/* Guards against a team that gains by declaring too little, and against its
 * declarations counting against the other teams of the queue. */
TEST_F(Runtime, TeamThatDeclaresATenthIsCorrected)
{
	std::normal_distribution<double> run(std::log(2000), 1.5);

	for (unsigned i = 0; i < 1000; i++) {
		double ms = std::exp(run(random_));

		ran("honest", ms, ms);
		if (i % 10 == 0)
			ran("short", ms, ms / 10);
	}
	EXPECT_NEAR(1000, estimate("honest", 1000), 100);
	EXPECT_GT(estimate("short", 100), 750);
}

/* Guards against estimates that stay at the old run times for ever. */
TEST_F(Runtime, ChangeByFactorThreeIsLearned)
{
	ran("t", 1000, 1000, 1000);
	EXPECT_NEAR(1000, estimate("t", 1000), 10);
	ran("t", 3000, 1000, 192);
	EXPECT_NEAR(3000, estimate("t", 1000), 300);
}

/* Guards against estimates beyond the bounds, whatever was sampled. */
TEST_F(Runtime, EstimateIsBoundedByDeclaredTime)
{
	EXPECT_EQ(500, estimate("t", 500));
	ran("t", 1e6, 10, 7);
	EXPECT_EQ(40, estimate("t", 10));
	ran("t", 1e6, 10, 200);
	EXPECT_EQ(100, estimate("t", 10));
	ogl_runtime_clear(r_);
	ran("t", 10, 1e6, 200);
	EXPECT_EQ(1e5, estimate("t", 1e6));
}

/* Guards against taking a new team's declarations for exact in a queue whose
 * declarations are not, and slow workers for longer work. */
TEST_F(Runtime, NewTeamHasFiguresOfQueueOnHealthyWorkers)
{
	ran("t", 2400, 500, 100, 2.4);
	ran("t", 1000, 500, 100, 1);
	EXPECT_NEAR(1000, estimate("new", 500), 60);
	EXPECT_NEAR(1000, estimate("t", 0), 10);
}

/* Guards against a table that grows with every team name. */
TEST_F(Runtime, LeastRecentlyUsedEntryIsDropped)
{
	for (unsigned i = 0; i < 1023; i++)
		ran("t" + std::to_string(i), i == 0 ? 1000 : 100, 100);
	estimate("t0", 100);
	for (unsigned i = 0; i < 1022; i++)
		ran("u" + std::to_string(i), 100, 100);
	EXPECT_EQ(1024U, ogl_runtime_entries(r_));
	EXPECT_GT(estimate("t0", 100), 1.2 * estimate("new", 100));
	EXPECT_EQ(estimate("new", 100), estimate("t1", 100));
	ogl_runtime_clear(r_);
	EXPECT_EQ(100, estimate("t0", 100));
}

/* Guards against planning one run for each task where many fail. */
TEST_F(Runtime, ShareOfFailedRunsIsLearned)
{
	EXPECT_EQ(1, ogl_runtime_runs_per_task(r_, q_, 3));
	for (unsigned i = 0; i < 4000; i++)
		ogl_runtime_count_end(r_, q_, i % 4 == 0, 1);
	EXPECT_NEAR(0.25, ogl_runtime_failed_share(r_, q_), 0.02);
	EXPECT_NEAR(1.3125, ogl_runtime_runs_per_task(r_, q_, 3), 0.03);
}

} // namespace
