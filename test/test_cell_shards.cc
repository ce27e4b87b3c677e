/* Division of a cell into shards. */

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "owner_impl.h"
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

/* The owner of one of two shards, which follows the list of workers. */
class ShardOwner : public testing::Test
{
      protected:
	struct Newest {
		cell_newest_fn *done;
		void *arg;
	};
	struct Read {
		cell_read_fn *done;
		void *arg;
	};

	void SetUp() override
	{
		struct cell_owner_events events = {};
		struct cell_owner_params params = {};

		ops_.newest = [](void *ctx, const struct cell_newest *q,
				  cell_newest_fn *done, void *arg) {
			auto *t = static_cast<ShardOwner *>(ctx);

			(q->stream == CELL_WORKERS ? t->pages_ : t->others_)
			    .push_back({done, arg});
		};
		ops_.read = [](void *ctx, const struct cell_read *,
				cell_read_fn *done, void *arg) {
			static_cast<ShardOwner *>(ctx)->reads_.push_back(
			    {done, arg});
		};
		ops_.append = [](void *ctx, const struct cell_append *,
				  cell_append_fn *done, void *arg) {
			static_cast<ShardOwner *>(ctx)->appends_.push_back(
			    [done, arg](ogl_time now) {
				    struct cell_append_answer lost = {};

				    lost.io = OGL_IO_LOST;
				    done(arg, &lost, now);
			    });
		};
		ops_.log = [](void *, const char *, const char *,
			       const char *) {};
		ops_.count = [](void *, const char *, uint64_t) {};
		ops_.observe = ops_.count;
		ops_.backend_ctx = this;
		params.shard = 0;
		params.shards = 2;
		owner_ = cell_owner_init(&ops_, &limits_, &events, &params);
		cell_owner_open(owner_, 1, 0, now_);
		step();
	}

	/* Every call has to be answered once. */
	void TearDown() override
	{
		struct cell_newest_answer no_page = {};
		struct cell_read_answer none = {};

		no_page.io = OGL_IO_LOST;
		none.io = OGL_IO_LOST;
		cell_owner_close(owner_, now_);
		for (const Newest &q : pages_)
			q.done(q.arg, &no_page, now_);
		for (const Newest &q : others_)
			q.done(q.arg, &no_page, now_);
		for (const Read &q : reads_)
			q.done(q.arg, &none, now_);
		for (const auto &lose : appends_)
			lose(now_);
		cell_owner_end(owner_);
	}

	void step()
	{
		now_ += OGL_SEC;
		cell_owner_step(owner_, now_, true, now_, now_);
	}

	/* Answers the owner's read of the list with an entry of the worker. */
	void list(const std::string &rack, uint64_t born_ms)
	{
		char key[] = "w", addr[] = "10.9.0.1:80", svc[] = "svc";
		char zone[] = "z", *labels[] = {nullptr};
		struct cell_worker_entry e = {};
		struct cell_record rec = {};

		e.service = svc;
		e.addr = addr;
		e.zone = zone;
		e.rack = const_cast<char *>(rack.c_str());
		e.labels = labels;
		e.born_ms = born_ms;
		rec.key = key;
		rec.offset = end_++;
		rec.worker = &e;
		if (!pages_.empty()) {
			Newest q = pages_.back();
			struct cell_newest_answer a = {};

			a.records = &rec;
			a.n = 1;
			a.end = end_;
			pages_.pop_back();
			q.done(q.arg, &a, now_);
		} else {
			Read q = reads_.back();
			struct cell_read_answer a = {};

			a.records = &rec;
			a.n = 1;
			a.end = end_;
			reads_.pop_back();
			q.done(q.arg, &a, now_);
		}
		step();
	}

	bool listed()
	{
		const struct cell_worker *w =
		    cell_fleet_worker(owner_->fleet, "w");

		return w != nullptr && w->listed;
	}

	/* A rack whose workers are in that shard. */
	std::string rack_in(uint32_t shard)
	{
		int i = 0;

		while (cell_shard_of_worker(("r1-" + std::to_string(i)).c_str(),
			   "w", 2) != shard)
			i++;
		return "r1-" + std::to_string(i);
	}

	std::vector<Newest> pages_, others_;
	std::vector<Read> reads_;
	std::vector<std::function<void(ogl_time)>> appends_;
	struct cell_ops ops_ = {};
	struct cell_limits limits_ = {};
	struct cell_owner *owner_ = nullptr;
	uint64_t end_ = 0;
	ogl_time now_ = 100 * OGL_SEC;
};

/* Guards against a worker that the owners of two shards use, as one goes by the
 * rack of its last incarnation. */
TEST_F(ShardOwner, WorkerOfAnotherRackIsNoLongerListed)
{
	list(rack_in(0), 1);
	EXPECT_TRUE(listed());
	list(rack_in(1), 2);
	EXPECT_FALSE(listed());
	list(rack_in(0), 3);
	EXPECT_TRUE(listed());
}

} // namespace
