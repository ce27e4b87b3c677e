/* Counters of ended jobs and of what late jobs waited for. */

#include <gtest/gtest.h>

#include <string>

#include "fake_cell.h"

namespace
{

class Account : public testing::Test
{
      protected:
	void start(uint32_t team_cpu_milli)
	{
		struct fake_cell_params p = {};

		p.nodes = 3;
		p.workers = 4;
		p.seed = 1;
		p.attempts_max = 1;
		p.team_cpu_milli_max = team_cpu_milli;
		cell_ = fake_cell_init(&p);
		fake_cell_advance(cell_, 3000);
	}

	void TearDown() override
	{
		EXPECT_STREQ(fake_cell_violations(cell_), "");
		fake_cell_end(cell_);
	}

	void submit(unsigned k, bool fails)
	{
		struct fake_step step = {};
		char id[17];

		snprintf(id, sizeof id, "%016x", k);
		step.count = 1;
		step.cpu_milli = 1000;
		step.run_ms = 1000;
		step.after = -1;
		step.fails = fails;
		fake_cell_submit(cell_, 0, id, nullptr, &step, 1);
	}

	uint64_t ended(const char *outcome)
	{
		return fake_cell_counter(
		    cell_, "jobs_ended", "outcome", outcome);
	}

	uint64_t late_ms(const char *cause)
	{
		return fake_cell_counter(cell_, "jobs_late_ms", "cause", cause);
	}

	struct fake_cell *cell_;
};

/* Guards against ends that are counted when they are decided, before callers
 * are told: while the store refuses, nothing has ended, and the time until it
 * takes the end counts for the job's outcome. */
TEST_F(Account, CountsAnEndWhenItIsStored)
{
	start(0);
	submit(1, false);
	submit(2, false);
	submit(3, true);
	fake_cell_advance(cell_, 500);
	fake_cell_cancel(cell_, 0, "0000000000000002");
	fake_cell_advance(cell_, 300);
	EXPECT_EQ(1U, ended("cancelled"));
	fake_cell_set_store_fault(cell_, -1, FAKE_STORE_UNREACHABLE);
	fake_cell_advance(cell_, 2800);
	EXPECT_EQ(0U, ended("in_time") + ended("late"));
	fake_cell_set_store_fault(cell_, -1, FAKE_STORE_OK);
	fake_cell_advance(cell_, 3000);
	EXPECT_EQ(1U, ended("late"));
	EXPECT_GT(late_ms("store"), 1500U);
	EXPECT_EQ(1U, ended("cancelled"));
}

/* Guards against time of a late job that has no cause or two: the sum over the
 * causes is the time that the jobs took. */
TEST_F(Account, EachMomentOfALateJobHasOneCause)
{
	uint64_t sum = 0;

	start(1000);
	for (unsigned k = 1; k <= 6; k++)
		submit(k, false);
	fake_cell_advance(cell_, 10000);
	EXPECT_EQ(6U, ended("in_time") + ended("late") + ended("too_late"));
	EXPECT_EQ(4U, ended("late"));
	for (const char *cause : {"store", "settle", "limit", "advice",
		 "ticket", "room", "apart", "run"})
		sum += late_ms(cause);
	/* The jobs end one after the other, the k-th after k seconds, and have
	 * to end within 3 s. */
	EXPECT_GT(late_ms("limit"), sum / 2);
	EXPECT_NEAR(1000.0 * ended("late"), late_ms("run"), 400);
	EXPECT_NEAR(3000 + 4000 + 5000 + 6000, sum, 400);
}

/* Guards against ends that are counted twice: an owner that is cut off from the
 * store decides them but can't store them, and its successor counts them. */
TEST_F(Account, SuccessorCountsWhatTheOwnerCouldNotStore)
{
	unsigned owner;

	start(0);
	for (unsigned k = 1; k <= 8; k++)
		submit(k, k == 8);
	fake_cell_advance(cell_, 300);
	owner = static_cast<unsigned>(fake_cell_owner(cell_, 0));
	fake_cell_set_store_fault(
	    cell_, static_cast<int>(owner), FAKE_STORE_UNREACHABLE);
	fake_cell_advance(cell_, 12000);
	EXPECT_NE(owner, static_cast<unsigned>(fake_cell_owner(cell_, 0)));
	EXPECT_EQ(7U, ended("in_time") + ended("late") + ended("too_late"));
	EXPECT_EQ(1U, ended("failed"));
}

} // namespace
