/* Counting of the workers that decides how many shards a new cell has. */

#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "plan.h"
}

namespace
{

class Plan : public testing::Test
{
      protected:
	void SetUp() override
	{
		struct cell_plan_events e = {};

		ops_.newest = [](void *ctx, const struct cell_newest *,
				  cell_newest_fn *done, void *arg) {
			static_cast<Plan *>(ctx)->answer(done, arg);
		};
		ops_.backend_ctx = this;
		e.decided = [](void *arg, uint32_t shards, ogl_time) {
			static_cast<Plan *>(arg)->decided_ = shards;
		};
		e.takes_turn = [](void *arg, ogl_time) {
			return static_cast<Plan *>(arg)->has_turn_;
		};
		e.arg = this;
		plan_ = cell_plan_init(&ops_, &e, 500, 1);
	}

	void TearDown() override
	{
		cell_plan_end(plan_);
	}

	void answer(cell_newest_fn *done, void *arg)
	{
		std::vector<struct cell_worker_entry> workers(listed_);
		std::vector<struct cell_record> records(listed_);
		struct cell_newest_answer a = {};
		char service[] = "svc", key[] = "w";

		reads_++;

		for (unsigned i = 0; i < listed_; i++) {
			workers[i].service = service;
			records[i].worker = &workers[i];
			records[i].key = key;
		}
		a.io = OGL_IO_OK;
		a.records = records.data();
		a.n = listed_;
		done(arg, &a, now_);
	}

	void run(int ms)
	{
		for (int i = 0; i < ms && decided_ == 0; i += 50) {
			now_ += 50 * OGL_MS;
			cell_plan_step(plan_, now_);
		}
	}

	struct cell_ops ops_ = {};
	struct cell_plan *plan_ = nullptr;
	unsigned listed_ = 0;
	unsigned reads_ = 0;
	bool has_turn_ = true;
	uint32_t decided_ = 0;
	ogl_time now_ = 100 * OGL_SEC;
};

/* Workers register with their first heartbeats, in groups.  A count between two
 * groups must not decide the number of shards for good. */
TEST_F(Plan, WaitsUntilAllWorkersHaveRegistered)
{
	for (listed_ = 500; listed_ < 3000; listed_ += 500) {
		run(1000);
		ASSERT_EQ(0u, decided_);
	}
	run(4000);
	EXPECT_EQ(8u, decided_);
}

TEST_F(Plan, DecidesAtLastThoughTheCountGoesOnChanging)
{
	for (listed_ = 10; decided_ == 0 && listed_ < 1000; listed_++)
		run(500);
	EXPECT_LE(now_, 110 * OGL_SEC);
	EXPECT_EQ(1u, decided_);
}

/* Guards against a cell whose nodes all read the list of workers when they
 * start: megabytes each, from a store that serves all of them. */
TEST_F(Plan, ANodeThatIsNotTheOneToCountReadsNothing)
{
	listed_ = 1000;
	has_turn_ = false;
	run(10000);
	EXPECT_EQ(0u, reads_);
	EXPECT_EQ(0u, decided_);
}

} // namespace
