/* Cells, one per seed, whose store does half of the writes seconds late and
 * never answers them. */

#include <gtest/gtest.h>

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

} // namespace
