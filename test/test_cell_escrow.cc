/* Parts of a team's limit among three shards, message by message. */

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>

extern "C" {
#include "escrow.h"
}

namespace
{

constexpr ogl_time kMs = 1000;
constexpr uint32_t kShards = 3;
constexpr uint32_t kWhole = CELL_PART_WHOLE_PPM;

struct Message {
	uint32_t from;
	uint32_t to;
	std::string bytes;
};

/* Owners of three shards and the messages in flight between them. */
class Escrow : public testing::Test
{
      protected:
	struct Holder {
		Escrow *test;
		uint32_t shard;
		uint32_t used;
		uint32_t running;
		uint64_t epoch;
		struct cell_escrow *e;
	};

	void SetUp() override
	{
		struct cell_escrow_events ev = {};

		ev.send = [](void *arg, uint32_t to, const Ogl__CellPart *m) {
			auto *h = static_cast<Holder *>(arg);
			std::string b(ogl__cell_part__get_packed_size(m), '\0');

			ogl__cell_part__pack(
			    m, reinterpret_cast<uint8_t *>(&b[0]));
			h->test->in_flight_.push_back({h->shard, to, b});
		};
		ev.used = [](void *arg, const char *) {
			auto *h = static_cast<Holder *>(arg);

			return std::max(h->used, h->running);
		};
		ev.running = [](void *arg, const char *) {
			return static_cast<Holder *>(arg)->running;
		};
		ev.granted = [](void *, ogl_time) {};
		for (uint32_t i = 0; i < kShards; i++) {
			Holder &h = holders_[i];

			h = {this, i, 0, 0, 1, nullptr};
			ev.arg = &h;
			h.e = cell_escrow_init(i, kShards, &ev);
			cell_escrow_open(h.e, 1);
		}
		coordinator_ = cell_shard_of_job("team", nullptr, kShards);
		shard_a_ = (coordinator_ + 1) % kShards;
		shard_b_ = (coordinator_ + 2) % kShards;
	}

	void TearDown() override
	{
		for (auto &h : holders_)
			cell_escrow_end(h.e);
	}

	/* Gives the shard a new owner, without the previous one's state. */
	void replace_owner(uint32_t shard)
	{
		cell_escrow_open(holders_[shard].e, ++holders_[shard].epoch);
	}

	void deliver(const Message &m)
	{
		Ogl__CellPart *p =
		    ogl__cell_part__unpack(nullptr, m.bytes.size(),
			reinterpret_cast<const uint8_t *>(m.bytes.data()));

		cell_escrow_receive(holders_[m.to].e, p, now_);
		ogl__cell_part__free_unpacked(p, nullptr);
	}

	void deliver_next()
	{
		Message m = in_flight_.front();

		in_flight_.pop_front();
		deliver(m);
	}

	static bool is_grant(const Message &m)
	{
		Ogl__CellPart *p =
		    ogl__cell_part__unpack(nullptr, m.bytes.size(),
			reinterpret_cast<const uint8_t *>(m.bytes.data()));
		bool grant = p->kind == OGL__CELL_PART_KIND__cell_part_grant;

		ogl__cell_part__free_unpacked(p, nullptr);
		return grant;
	}

	/* Delivers all messages but those from or to the shard `isolated`,
	 * which are dropped. */
	void deliver_all(uint32_t isolated = kShards)
	{
		while (!in_flight_.empty()) {
			Message m = in_flight_.front();

			in_flight_.pop_front();
			if (m.from != isolated && m.to != isolated)
				deliver(m);
		}
	}

	/* The shard wants the part; any smaller one is of use as well. */
	void want(uint32_t shard, uint32_t part)
	{
		now_ += 100 * kMs;
		request(shard, 1, part, 0);
	}

	void request(
	    uint32_t shard, uint32_t least, uint32_t wanted, uint32_t rank)
	{
		struct cell_part_need need = {least, wanted, rank};

		cell_escrow_request(holders_[shard].e, "team", &need, now_);
	}

	/* Requests are repeated as long as the work waits. */
	void wait_for(uint32_t shard, uint32_t part, uint32_t rank, int ms)
	{
		for (int i = 0; i < ms; i += 100) {
			request(shard, part, part, rank);
			advance(100);
		}
	}

	void advance(int ms, uint32_t isolated = kShards)
	{
		for (int i = 0; i < ms; i += 100) {
			now_ += 100 * kMs;
			for (auto &h : holders_)
				cell_escrow_step(h.e, now_);
			deliver_all(isolated);
		}
	}

	uint32_t part(uint32_t shard)
	{
		return cell_escrow_part(holders_[shard].e, "team");
	}

	Holder holders_[kShards];
	std::deque<Message> in_flight_;
	ogl_time now_ = 1000 * kMs;
	uint32_t coordinator_ = 0, shard_a_ = 0, shard_b_ = 0;
};

TEST_F(Escrow, ShardGetsPartThatOthersDoNotUse)
{
	want(shard_a_, 900000);
	deliver_all();
	EXPECT_GE(part(shard_a_), 900000U);
	want(shard_b_, 300000);
	deliver_all();
	EXPECT_LE(part(shard_a_) + part(shard_b_) + part(coordinator_), kWhole);
}

/* A shard that no longer uses its part returns it within a second: otherwise
 * the team's jobs in other shards would wait while most of its limit is
 * unused. */
TEST_F(Escrow, UnusedPartIsReturned)
{
	want(shard_a_, kWhole);
	deliver_all();
	EXPECT_EQ(kWhole, part(shard_a_));
	holders_[shard_a_].used = 100000;
	advance(1000);
	want(shard_b_, 500000);
	deliver_all();
	EXPECT_GE(part(shard_b_), 500000U);
	EXPECT_GE(part(shard_a_), 100000U);
}

/* The coordinator is replaced, and the new one does not know what the shards
 * hold.  If it granted anything before each has reported, the team would have
 * more running than its limit. */
TEST_F(Escrow, NewCoordinatorGrantsNothingBeforeAllReports)
{
	want(shard_a_, 800000);
	deliver_all();
	replace_owner(coordinator_);
	want(shard_b_, 600000);
	deliver_all(shard_a_);
	advance(500, shard_a_);
	EXPECT_EQ(0U, part(shard_b_));
	advance(500);
	want(shard_b_, 600000);
	deliver_all();
	EXPECT_GT(part(shard_b_), 0U);
	EXPECT_LE(part(shard_a_) + part(shard_b_), kWhole);
}

/* A grant is delayed, and meanwhile its shard has sent another report, which
 * the coordinator uses.  If the late grant were accepted, the same part would
 * be used twice. */
TEST_F(Escrow, OvertakenGrantIsIgnored)
{
	want(shard_a_, 300000);
	deliver_all();
	uint32_t before = part(shard_a_);

	want(shard_a_, 700000);
	deliver(in_flight_.front());
	in_flight_.pop_front();
	Message grant = in_flight_.front();

	in_flight_.pop_front();
	advance(200, coordinator_);
	deliver(grant);
	EXPECT_EQ(before, part(shard_a_));
}

/* More work for the team arrives while a report is in flight.  A second report
 * would invalidate the grant for the first one.  On a slow network with work
 * arriving all the time no grant would ever be valid, and the team's jobs would
 * wait with its limit unused. */
TEST_F(Escrow, MoreWorkDoesNotInvalidateGrantInFlight)
{
	want(shard_a_, 100000);
	deliver_all();
	want(shard_a_, 300000);
	ASSERT_EQ(1U, in_flight_.size());
	now_ += 50 * kMs;
	request(shard_a_, 1, 500000, 0);
	EXPECT_EQ(1U, in_flight_.size());
	deliver_all();
	EXPECT_GE(part(shard_a_), 300000U);
	advance(200);
	EXPECT_GE(part(shard_a_), 500000U);
}

/* The owner of a shard is replaced, and tasks that use most of a limit may
 * still run there.  The new owner gets the part that its predecessor held, no
 * more. */
TEST_F(Escrow, NewOwnerGetsPartOfPredecessor)
{
	want(shard_a_, 500000);
	want(shard_b_, 400000);
	deliver_all();
	uint32_t held = part(shard_a_);

	holders_[shard_a_].used = 450000;
	replace_owner(shard_a_);
	EXPECT_EQ(0U, part(shard_a_));
	want(shard_a_, 480000);
	deliver_all();
	EXPECT_EQ(held, part(shard_a_));
	EXPECT_LE(part(shard_a_) + part(shard_b_), kWhole);
}

/* Guards against a part that two shards use, as a new owner takes a grant that
 * answered a report of its predecessor. */
TEST_F(Escrow, GrantForThePredecessorIsIgnored)
{
	want(shard_a_, 700000);
	while (!is_grant(in_flight_.front()))
		deliver_next();
	Message grant = in_flight_.front();

	ASSERT_EQ(shard_a_, grant.to);
	in_flight_.clear();
	advance(2500);
	ASSERT_EQ(0U, part(shard_a_));
	want(shard_b_, 900000);
	deliver_all();
	ASSERT_GE(part(shard_b_), 900000U);
	replace_owner(shard_a_);
	want(shard_a_, 700000);
	deliver(grant);
	EXPECT_LE(part(shard_a_) + part(shard_b_), kWhole);
	deliver_all();
	EXPECT_LE(part(shard_a_) + part(shard_b_), kWhole);
}

/* All owners are replaced at once, and none knows what was held.  What may be
 * running in a shard is reserved for it, even if that is more than it may use,
 * and no part is granted to two shards. */
TEST_F(Escrow, PartsStayWithinLimitAfterAllOwnersChange)
{
	want(shard_a_, 500000);
	want(shard_b_, 400000);
	deliver_all();
	holders_[shard_a_].used = 700000; /* assumed, not known */
	holders_[shard_b_].used = 600000;
	for (uint32_t i = 0; i < kShards; i++)
		replace_owner(i);
	want(shard_a_, 750000);
	want(shard_b_, 650000);
	advance(500);
	EXPECT_LE(part(shard_a_) + part(shard_b_), kWhole);
	holders_[shard_a_].used = 0;
	holders_[shard_b_].used = 0;
	advance(2000);
	want(shard_a_, 900000);
	advance(300);
	EXPECT_GE(part(shard_a_), 900000U);
}

/* After all owners were replaced, one shard reports that the whole limit may
 * still be in use there, and has no more work for the team.  Once those tasks
 * have ended the other shards must get the limit: a job of a small team was
 * seen to wait for 22 s, to the end of the day, with the cell nearly empty. */
TEST_F(Escrow, ReservedPartIsFreedAfterAllOwnersChange)
{
	want(shard_a_, kWhole);
	deliver_all();
	holders_[shard_a_].used = kWhole;
	for (uint32_t i = 0; i < kShards; i++)
		replace_owner(i);
	want(shard_b_, 200000);
	advance(300);
	EXPECT_EQ(0U, part(shard_b_));
	holders_[shard_a_].used = 0;
	advance(1000);
	want(shard_b_, 200000);
	advance(300);
	EXPECT_GE(part(shard_b_), 200000U);
}

/* Two shards each hold half of the limit and wait for more than that.  Unless
 * they return what they can't use, the team's urgent work in a third shard waits
 * while hardly anything of the limit is in use. */
TEST_F(Escrow, PartsHeldForWorkThatDoesNotFitAreReturned)
{
	want(shard_a_, 480000);
	want(shard_b_, 500000);
	deliver_all();
	holders_[shard_a_].used = 100000;
	holders_[shard_b_].used = 100000;
	for (int ms = 0; ms < 500; ms += 100) {
		request(shard_a_, 800000, 800000, 1);
		request(shard_b_, 850000, 850000, 1);
		request(coordinator_, 50000, 50000, 0);
		advance(100);
		if (part(coordinator_) >= 50000)
			holders_[coordinator_].used = 50000;
	}
	EXPECT_EQ(50000U, holders_[coordinator_].used);
	EXPECT_LE(part(shard_a_) + part(shard_b_) + part(coordinator_), kWhole);
}

/* A gang needs most of the limit at once.  Parts that are returned must be
 * collected for it instead of being given to work of lower rank as they come. */
TEST_F(Escrow, ReturnedPartsAreCollectedForTheHighestRank)
{
	want(shard_b_, kWhole);
	deliver_all();
	holders_[shard_b_].used = kWhole;
	for (uint32_t used = kWhole; used >= 400000; used -= 100000) {
		holders_[shard_b_].used = used;
		request(shard_a_, 500000, 500000, 1);
		request(coordinator_, 100000, 300000, 2);
		advance(100);
		holders_[coordinator_].used = part(coordinator_);
	}
	EXPECT_GE(part(shard_a_), 500000U);
}

/* A request that nobody repeats must not keep the limit from others: the job
 * that waited may have been cancelled. */
TEST_F(Escrow, ARequestThatIsNotRepeatedIsWithdrawn)
{
	want(shard_b_, 600000);
	deliver_all();
	holders_[shard_b_].used = 600000;
	request(shard_a_, 900000, 900000, 0);
	deliver_all();
	advance(3000);
	wait_for(coordinator_, 300000, 2, 300);
	EXPECT_GE(part(coordinator_), 300000U);
}

/* A limit is lowered, and long tasks of one shard then use all of it.  Another
 * shard that went on within its own part would take the team beyond its limit.
 * Once those tasks have ended it gets its part back. */
TEST_F(Escrow, NothingIsStartedWhileAShardUsesTheWholeLimit)
{
	want(shard_a_, 400000);
	want(shard_b_, 400000);
	deliver_all();
	holders_[shard_a_].running = kWhole;
	holders_[shard_b_].running = 300000;
	advance(200);
	EXPECT_EQ(0U, part(shard_b_));
	EXPECT_LE(part(shard_a_), kWhole - 300000);
	holders_[shard_b_].running = 100000;
	wait_for(shard_b_, 200000, 0, 500);
	EXPECT_LE(part(shard_b_), 100000U);
	holders_[shard_a_].running = 0;
	wait_for(shard_b_, 200000, 0, 500);
	EXPECT_GE(part(shard_b_), 200000U);
}

/* The coordinator is replaced after a shard has reported its use and before the
 * others have returned anything.  The next coordinator has to learn of it. */
TEST_F(Escrow, OveruseIsReportedToANewCoordinator)
{
	want(shard_a_, 400000);
	want(shard_b_, 400000);
	deliver_all();
	holders_[shard_b_].running = 400000;
	holders_[shard_a_].running = kWhole;
	advance(200, shard_b_);
	EXPECT_GE(part(shard_b_), 400000U);
	replace_owner(coordinator_);
	advance(1000);
	EXPECT_EQ(0U, part(shard_b_));
}

/* The owner of a shard that uses the whole limit is replaced, and the new one
 * has no work of the team that waits, so it asks for nothing. */
TEST_F(Escrow, OveruseIsReportedByANewOwner)
{
	want(shard_a_, 400000);
	want(shard_b_, 400000);
	deliver_all();
	holders_[shard_b_].running = 400000;
	replace_owner(shard_a_);
	holders_[shard_a_].running = kWhole;
	cell_escrow_watch(holders_[shard_a_].e, "team");
	advance(1000);
	EXPECT_EQ(0U, part(shard_b_));
}

} // namespace
