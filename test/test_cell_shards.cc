/* Division of a cell into shards. */

#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "shards.h"
}

namespace
{

TEST(Shards, NumberOfShardsFollowsWorkers)
{
	EXPECT_EQ(1U, cell_shards_wanted(0, 0, 500));
	EXPECT_EQ(1U, cell_shards_wanted(48, 48, 500));
	EXPECT_EQ(1U, cell_shards_wanted(400, 400, 500));
	EXPECT_EQ(3U, cell_shards_wanted(1000, 1000, 500));
	EXPECT_EQ(8U, cell_shards_wanted(3000, 3000, 500));
	EXPECT_EQ(CELL_SHARDS_MAX, cell_shards_wanted(1000000, 1000000, 500));
}

/* Owners on stronger hosts handle larger shards.  A weak host may decide, but
 * does not own. */
TEST(Shards, NumberOfShardsFollowsStrengthOfHosts)
{
	EXPECT_EQ(15U, cell_shards_wanted(6000, 6000, 500));
	EXPECT_EQ(8U, cell_shards_wanted(6000, 6000, 1000));
	EXPECT_EQ(15U, cell_shards_wanted(6000, 6000, 120));
	EXPECT_EQ(15U, cell_shards_wanted(6000, 6000, 0));
}

/* A service with few workers would have none in some shards, and its jobs that
 * are submitted there would wait forever. */
TEST(Shards, SmallServiceLimitsNumberOfShards)
{
	EXPECT_EQ(1U, cell_shards_wanted(3000, 40, 500));
	EXPECT_EQ(2U, cell_shards_wanted(3000, 250, 500));
}

TEST(Shards, JobIsInShardOfItsDataRack)
{
	Ogl__CellStep step = OGL__CELL_STEP__INIT;
	Ogl__CellStep *steps[] = {&step};
	Ogl__CellJob job = OGL__CELL_JOB__INIT;
	char rack[] = "r7-3";

	step.data_rack = rack;
	job.steps = steps;
	job.n_steps = 1;
	EXPECT_EQ(cell_shard_of_worker(rack, "w1", 8),
	    cell_shard_of_job("0123456789abcdef", &job, 8));
	EXPECT_EQ(cell_shard_of_worker(rack, "w1", 8),
	    cell_shard_of_worker(rack, "w2", 8));
}

/* With 375 racks in 8 shards, none gets less than half or more than one and a
 * half times its share; otherwise one owner would refuse work while others are
 * idle. */
TEST(Shards, RacksAndJobsSpreadEvenly)
{
	std::vector<int> racks(8), jobs(8);

	for (int i = 0; i < 375; i++) {
		std::string rack =
		    "r" + std::to_string(i / 94) + "-" + std::to_string(i % 94);

		racks[cell_shard_of_worker(rack.c_str(), "", 8)]++;
	}
	for (unsigned i = 0; i < 8000; i++) {
		char id[17];

		snprintf(id, sizeof id, "%016x", i);
		jobs[cell_shard_of_job(id, nullptr, 8)]++;
	}
	for (int n : racks) {
		EXPECT_GT(n, 24);
		EXPECT_LT(n, 70);
	}
	for (int n : jobs) {
		EXPECT_GT(n, 800);
		EXPECT_LT(n, 1200);
	}
}

} // namespace
