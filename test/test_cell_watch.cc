/* Questions for the state of a job that wait for the job's end. */

#include <gtest/gtest.h>

#include <string>

#include "fake_cell.h"

extern "C" {
#include "watch.h"
}

namespace
{

class Watch : public testing::Test
{
      protected:
	void SetUp() override
	{
		struct cell_watch_events e = {};

		e.answer = [](void *arg, const char *to, uint64_t token,
			       const char *job) {
			*static_cast<std::string *>(arg) +=
			    std::string(job) + "@" + to + "#" +
			    std::to_string(token) + " ";
		};
		e.arg = &answers_;
		watch_ = cell_watch_init(&e);
		cell_watch_add(watch_, "a", "n1", 1, 10);
		cell_watch_add(watch_, "b", "n1", 2, 20);
		cell_watch_add(watch_, "a", "n2", 3, 30);
	}

	void TearDown() override
	{
		cell_watch_end(watch_);
	}

	struct cell_watch *watch_;
	std::string answers_;
};

TEST_F(Watch, AllQuestionsForAJobAreAnsweredAtItsEnd)
{
	cell_watch_job_ended(watch_, "a");
	EXPECT_EQ(answers_, "a@n1#1 a@n2#3 ");
	cell_watch_job_ended(watch_, "a");
	EXPECT_EQ(answers_, "a@n1#1 a@n2#3 ");
}

TEST_F(Watch, AQuestionWaitsNoLongerThanItMay)
{
	EXPECT_EQ(cell_watch_wake(watch_), 10);
	cell_watch_step(watch_, 9);
	EXPECT_EQ(answers_, "");
	cell_watch_step(watch_, 20);
	EXPECT_EQ(answers_, "a@n1#1 b@n1#2 ");
	EXPECT_EQ(cell_watch_wake(watch_), 30);
}

TEST_F(Watch, EveryQuestionIsAnsweredWhenOwnershipEnds)
{
	cell_watch_clear(watch_);
	EXPECT_EQ(answers_, "a@n1#1 b@n1#2 a@n2#3 ");
	EXPECT_EQ(cell_watch_wake(watch_), OGL_NEVER);
}

class WatchedCell : public testing::Test
{
      protected:
	void SetUp() override
	{
		struct fake_cell_params p = {};
		struct fake_step step = {};

		p.nodes = 2;
		p.workers = 2;
		p.seed = 1;
		p.attempts_max = 3;
		cell_ = fake_cell_init(&p);
		fake_cell_add_key(cell_, "key-b", "other");
		fake_cell_advance(cell_, 3000);
		step.count = 1;
		step.cpu_milli = 1000;
		step.run_ms = 300;
		step.after = -1;
		fake_cell_submit(cell_, 0, kJob, nullptr, &step, 1);
		run_until(1);
		run_until(0);
	}

	void TearDown() override
	{
		EXPECT_STREQ(fake_cell_violations(cell_), "");
		fake_cell_end(cell_);
	}

	void run_until(unsigned running)
	{
		for (int i = 0; i < 3000; i++) {
			if (fake_cell_running_runs(cell_, kJob) == running)
				return;
			fake_cell_advance(cell_, 1);
		}
		FAIL() << "the job does not run";
	}

	static constexpr const char *kJob = "00000000000000aa";
	struct fake_cell *cell_;
};

/* Guards against a caller that is told "running" while the end is on its way to
 * the store, and learns of the end a whole pause of its own later. */
TEST_F(WatchedCell, QuestionRightAfterTheLastRunIsAnsweredWithTheEnd)
{
	fake_cell_query_job(cell_, 1, kJob);
	fake_cell_advance(cell_, 100);
	EXPECT_STREQ(fake_cell_last_state(cell_, kJob), "completed");
}

/* Guards against another team's question that is held back like the team's own,
 * which tells that there is a job. */
TEST_F(WatchedCell, QuestionOfAnotherTeamIsNotHeldBack)
{
	fake_cell_set_store_fault(cell_, -1, FAKE_STORE_REFUSING);
	fake_cell_query_job(cell_, 1, kJob);
	fake_cell_advance(cell_, 1);
	fake_cell_set_caller_key(cell_, "key-b");
	fake_cell_query_job(cell_, 0, kJob);
	fake_cell_advance(cell_, 20);
	EXPECT_EQ(fake_cell_status(cell_, kJob), 410);
	EXPECT_STREQ(fake_cell_last_state(cell_, kJob), "none");
	fake_cell_advance(cell_, 600);
	EXPECT_EQ(fake_cell_status(cell_, kJob), 200);
	EXPECT_STREQ(fake_cell_last_state(cell_, kJob), "running");
	fake_cell_set_store_fault(cell_, -1, FAKE_STORE_OK);
	fake_cell_advance(cell_, 3000);
}

/* Guards against questions that are held back as long as the store is down. */
TEST_F(WatchedCell, QuestionIsAnsweredWhileTheStoreRefusesTheEnd)
{
	fake_cell_set_store_fault(cell_, -1, FAKE_STORE_REFUSING);
	fake_cell_query_job(cell_, 1, kJob);
	fake_cell_advance(cell_, 600);
	EXPECT_STREQ(fake_cell_last_state(cell_, kJob), "running");
	fake_cell_set_store_fault(cell_, -1, FAKE_STORE_OK);
	fake_cell_advance(cell_, 3000);
	EXPECT_STREQ(fake_cell_state(cell_, kJob), "completed");
}

} // namespace
