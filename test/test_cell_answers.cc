/* Answers to callers: in cells, one per seed, whose store does half of the writes
 * seconds late and never answers them, and to callers of two teams. */

#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <string>

#include "fake_cell.h"

namespace
{

constexpr unsigned kSeeds = 20;
constexpr uint32_t kCallerTimeoutMs = 3000;

std::string
id_of(unsigned n)
{
	char id[17];

	snprintf(id, sizeof id, "%016x", n + 1);
	return id;
}

class LostAnswers : public testing::TestWithParam<unsigned>
{
      protected:
	void SetUp() override
	{
		struct fake_cell_params shape = {};

		shape.nodes = 5;
		shape.workers = 6;
		shape.seed = GetParam();
		shape.attempts_max = 3;
		cell_ = fake_cell_init(&shape);
		fake_cell_advance(cell_, 1000);
		fake_cell_set_store_fault(cell_, -1, FAKE_STORE_LATE);
	}

	void TearDown() override
	{
		EXPECT_TRUE(fake_cell_settle(cell_, 60000));
		EXPECT_STREQ("", fake_cell_violations(cell_));
		fake_cell_end(cell_);
	}

	void submit(unsigned n)
	{
		struct fake_step s = {};

		s.count = 2;
		s.cpu_milli = 1000;
		s.run_ms = 500;
		s.after = -1;
		fake_cell_submit(
		    cell_, n % 5, id_of(n).c_str(), nullptr, &s, 1);
	}

	struct fake_cell *cell_ = nullptr;
};

/* Guards against ownership that moves away from a healthy owner. */
TEST_P(LostAnswers, HealthyOwnerKeepsOwnership)
{
	for (unsigned n = 0; n < 40; n++) {
		submit(n);
		fake_cell_advance(cell_, 500);
	}
	EXPECT_EQ(1u, fake_cell_claim_count(cell_, 0));
}

/* Guards against replacing an owner at the end of a store outage, during which
 * no node could reach the store. */
TEST_P(LostAnswers, OwnerIsKeptAcrossStoreOutage)
{
	static const enum fake_store_fault faults[] = {
	    FAKE_STORE_UNREACHABLE, FAKE_STORE_REFUSING};

	fake_cell_set_store_fault(cell_, -1, FAKE_STORE_OK);
	for (enum fake_store_fault fault : faults) {
		fake_cell_set_store_fault(cell_, -1, fault);
		fake_cell_advance(cell_, 3000 + GetParam() * 37);
		fake_cell_set_store_fault(cell_, -1, FAKE_STORE_OK);
		fake_cell_advance(cell_, 2000);
	}
	EXPECT_EQ(1u, fake_cell_claim_count(cell_, 0));
}

/* Guards against callers that time out because their owner was lost. */
TEST_P(LostAnswers, LostOwnerIsReplacedWithinCallerTimeout)
{
	int owner = fake_cell_owner(cell_, 0);

	ASSERT_LE(0, owner);
	fake_cell_advance(cell_, 2000);
	fake_cell_kill(cell_, static_cast<unsigned>(owner));
	fake_cell_advance(cell_, 1000);
	submit(static_cast<unsigned>(owner) + 1);
	fake_cell_advance(cell_, kCallerTimeoutMs);
	EXPECT_EQ(200, fake_cell_status(cell_,
			   id_of(static_cast<unsigned>(owner) + 1).c_str()));
}

INSTANTIATE_TEST_SUITE_P(Seeds, LostAnswers, testing::Range(1u, kSeeds + 1));

class TwoTeams : public testing::TestWithParam<unsigned>
{
      protected:
	void SetUp() override
	{
		struct fake_cell_params shape = {};

		shape.nodes = 3;
		shape.workers = 4;
		shape.seed = GetParam();
		shape.attempts_max = 3;
		shape.shards = 1 + GetParam() % 2;
		cell_ = fake_cell_init(&shape);
		fake_cell_add_key(cell_, "key-b", "other");
		fake_cell_advance(cell_, 2000);
		submit(kRunning, nullptr, 9000);
		submit(kEnded, nullptr, 100);
		submit(kUnknown, "no key", 100);
		fake_cell_advance(cell_, 1000);
	}

	void TearDown() override
	{
		EXPECT_TRUE(fake_cell_settle(cell_, 60000));
		EXPECT_STREQ("", fake_cell_violations(cell_));
		fake_cell_end(cell_);
	}

	void submit(const char *id, const char *key, uint32_t run_ms)
	{
		struct fake_step s = {};

		s.count = 1;
		s.cpu_milli = 1000;
		s.run_ms = run_ms;
		s.after = -1;
		fake_cell_submit(cell_, 0, id, key, &s, 1);
	}

	/* Longest time until the other team's calls are answered with 410. */
	unsigned longest_ms(const char *id)
	{
		unsigned longest = 0;

		for (unsigned n = 0; n < 30; n++) {
			unsigned ms = 0;

			fake_cell_set_caller_key(cell_, "no key");
			fake_cell_query_job(cell_, n % 3, id);
			EXPECT_EQ(401, fake_cell_status(cell_, id));
			fake_cell_set_caller_key(cell_, "key-b");
			if (n % 2 == 0)
				fake_cell_query_job(cell_, n % 3, id);
			else
				fake_cell_cancel(cell_, n % 3, id);
			for (; ms < 3000 && fake_cell_status(cell_, id) == 401;
			     ms++)
				fake_cell_advance(cell_, 1);
			EXPECT_EQ(410, fake_cell_status(cell_, id));
			longest = std::max(longest, ms);
		}
		fake_cell_set_caller_key(cell_, nullptr);
		return longest;
	}

	static constexpr const char *kRunning = "00000000000000a1";
	static constexpr const char *kEnded = "00000000000000a2";
	static constexpr const char *kUnknown = "00000000000000a3";
	struct fake_cell *cell_ = nullptr;
};

/* Guards against a job whose existence another team can tell by how long the
 * answer takes. */
TEST_P(TwoTeams, AnotherTeamsJobIsAnsweredAsSoonAsAnUnknownOne)
{
	unsigned unknown = longest_ms(kUnknown);

	EXPECT_GE(20u, unknown);
	EXPECT_GE(unknown + 3, longest_ms(kRunning));
	EXPECT_GE(unknown + 3, longest_ms(kEnded));
}

/* Guards against a caller that fills the log by guessing ids. */
TEST_P(TwoTeams, CallsForOthersJobsAreCountedAndLoggedOnceASecond)
{
	char *text = nullptr;
	size_t n = 0, lines = 0;
	FILE *log = open_memstream(&text, &n);

	fake_cell_set_log(cell_, log);
	fake_cell_set_caller_key(cell_, "key-b");
	for (unsigned i = 0; i < 50; i++) {
		fake_cell_query_job(cell_, i % 3, kRunning);
		fake_cell_cancel(cell_, i % 3, kRunning);
		fake_cell_advance(cell_, 40);
	}
	fake_cell_set_caller_key(cell_, nullptr);
	fake_cell_set_log(cell_, nullptr);
	fclose(log);
	for (const char *at = text;
	     (at = strstr(at, "event=call_for_others_job ")) != nullptr; at++)
		lines++;
	EXPECT_EQ(2u, lines) << text;
	EXPECT_NE(nullptr, strstr(text, "of_team=team team=other queue=q "
					"left_out="));
	EXPECT_EQ(50u,
	    fake_cell_counter(cell_, "calls_for_others_jobs", "call", "state"));
	EXPECT_EQ(100u, fake_cell_counter(cell_, "calls_for_others_jobs",
			    "reason", "other_team"));
	free(text);
}

INSTANTIATE_TEST_SUITE_P(Seeds, TwoTeams, testing::Range(1u, 7u));

} // namespace
