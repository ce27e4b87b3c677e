/* Parts of a team's limit between three shards, message by message. */

#include <gtest/gtest.h>

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
constexpr uint32_t kWhole = CELL_PART_WHOLE;

struct Message {
	uint32_t from;
	uint32_t to;
	std::string bytes;
};

/* Owners of three shards and what is on its way between them. */
class Escrow : public testing::Test
{
      protected:
	struct Holder {
		Escrow *test;
		uint32_t shard;
		uint32_t used;
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
			h->test->wire_.push_back({h->shard, to, b});
		};
		ev.used = [](void *arg, const char *) {
			return static_cast<Holder *>(arg)->used;
		};
		ev.granted = [](void *, ogl_time) {};
		for (uint32_t i = 0; i < kShards; i++) {
			Holder &h = holders_[i];

			h = {this, i, 0, 1, nullptr};
			ev.arg = &h;
			h.e = cell_escrow_init(i, kShards, &ev);
			cell_escrow_open(h.e, 1);
		}
		bank_ = cell_shard_of_job("team", nullptr, kShards);
		one_ = (bank_ + 1) % kShards;
		two_ = (bank_ + 2) % kShards;
	}

	void TearDown() override
	{
		for (auto &h : holders_)
			cell_escrow_end(h.e);
	}

	/* The shard has a new owner, which knows nothing. */
	void replace(uint32_t shard)
	{
		cell_escrow_open(holders_[shard].e, ++holders_[shard].epoch);
	}

	void deliver(const Message &m)
	{
		Ogl__CellPart *p =
		    ogl__cell_part__unpack(nullptr, m.bytes.size(),
			reinterpret_cast<const uint8_t *>(m.bytes.data()));

		cell_escrow_take(holders_[m.to].e, p, now_);
		ogl__cell_part__free_unpacked(p, nullptr);
	}

	/* Everything arrives, but for what comes from or goes to `cut`. */
	void settle(uint32_t cut = kShards)
	{
		while (!wire_.empty()) {
			Message m = wire_.front();

			wire_.pop_front();
			if (m.from != cut && m.to != cut)
				deliver(m);
		}
	}

	void want(uint32_t shard, uint32_t part)
	{
		now_ += 100 * kMs;
		cell_escrow_want(holders_[shard].e, "team", part, now_);
	}

	void pass(int ms, uint32_t cut = kShards)
	{
		for (int i = 0; i < ms; i += 100) {
			now_ += 100 * kMs;
			for (auto &h : holders_)
				cell_escrow_step(h.e, now_);
			settle(cut);
		}
	}

	uint32_t part(uint32_t shard)
	{
		return cell_escrow_part(holders_[shard].e, "team");
	}

	Holder holders_[kShards];
	std::deque<Message> wire_;
	ogl_time now_ = 1000 * kMs;
	uint32_t bank_ = 0, one_ = 0, two_ = 0;
};

TEST_F(Escrow, AShardMayUseWhatOthersDoNot)
{
	want(one_, 900000);
	settle();
	EXPECT_GE(part(one_), 900000U);
	want(two_, 300000);
	settle();
	EXPECT_LE(part(one_) + part(two_) + part(bank_), kWhole);
}

/* What a shard no longer uses others get within a second: a team's jobs there
 * would else wait while most of its limit lies idle. */
TEST_F(Escrow, WhatIsIdleComesBack)
{
	want(one_, kWhole);
	settle();
	EXPECT_EQ(kWhole, part(one_));
	holders_[one_].used = 100000;
	pass(1000);
	want(two_, 500000);
	settle();
	EXPECT_GE(part(two_), 500000U);
	EXPECT_GE(part(one_), 100000U);
}

/* The owner that kept the accounts is lost.  Its successor does not know what
 * others hold; if it gave out anything before each had told, the team would
 * have more running than its limit. */
TEST_F(Escrow, ANewBankGrantsNothingBeforeAllHaveTold)
{
	want(one_, 800000);
	settle();
	replace(bank_);
	want(two_, 600000);
	settle(one_);
	pass(500, one_);
	EXPECT_EQ(0U, part(two_));
	pass(500);
	want(two_, 600000);
	settle();
	EXPECT_GT(part(two_), 0U);
	EXPECT_LE(part(one_) + part(two_), kWhole);
}

/* A grant is held up on its way; meanwhile its shard has reported anew, and the
 * bank goes by that.  The grant, taken late, would be used twice. */
TEST_F(Escrow, AGrantThatWasOvertakenIsVoid)
{
	want(one_, 300000);
	settle();
	uint32_t before = part(one_);

	want(one_, 700000);
	deliver(wire_.front());
	wire_.pop_front();
	Message grant = wire_.front();

	wire_.pop_front();
	pass(200, bank_);
	deliver(grant);
	EXPECT_EQ(before, part(one_));
}

/* More work for the team comes in while a report is on its way.  A second report
 * would make the first one's grant void, and on a slow network, with work coming
 * in all the time, none would ever count: the team's jobs would wait with its
 * limit unused. */
TEST_F(Escrow, MoreWorkDoesNotVoidAGrantOnItsWay)
{
	want(one_, 100000);
	settle();
	want(one_, 300000);
	ASSERT_EQ(1U, wire_.size());
	now_ += 50 * kMs;
	cell_escrow_want(holders_[one_].e, "team", 500000, now_);
	EXPECT_EQ(1U, wire_.size());
	settle();
	EXPECT_GE(part(one_), 300000U);
	pass(200);
	EXPECT_GE(part(one_), 500000U);
}

/* The owner of a shard is replaced, and most of a limit may still run there.
 * The new one gets what its predecessor held, no more. */
TEST_F(Escrow, ANewOwnerGetsWhatItsPredecessorHeld)
{
	want(one_, 500000);
	want(two_, 400000);
	settle();
	uint32_t held = part(one_);

	holders_[one_].used = 450000;
	replace(one_);
	EXPECT_EQ(0U, part(one_));
	want(one_, 480000);
	settle();
	EXPECT_EQ(held, part(one_));
	EXPECT_LE(part(one_) + part(two_), kWhole);
}

/* All owners are lost at once and nobody knows what was held.  What may run in
 * one shard is kept free for it, although that is more than it may use, and no
 * two shards are given the same. */
TEST_F(Escrow, AfterAllWereLostTheSumStaysWithinTheLimit)
{
	want(one_, 500000);
	want(two_, 400000);
	settle();
	holders_[one_].used = 700000; /* supposed, not known */
	holders_[two_].used = 600000;
	for (uint32_t i = 0; i < kShards; i++)
		replace(i);
	want(one_, 750000);
	want(two_, 650000);
	pass(500);
	EXPECT_LE(part(one_) + part(two_), kWhole);
	holders_[one_].used = 0;
	holders_[two_].used = 0;
	pass(2000);
	want(one_, 900000);
	pass(300);
	EXPECT_GE(part(one_), 900000U);
}

/* After all owners were lost, one shard says what may still run there, which is
 * the whole limit, and has no more work for the team.  Once that has ended the
 * rest must get room: a job of a small team was seen to wait for 22 s, to the
 * end of the day, with the cell nearly empty. */
TEST_F(Escrow, WhatRanBeforeAllWereLostIsNotKeptForEver)
{
	want(one_, kWhole);
	settle();
	holders_[one_].used = kWhole;
	for (uint32_t i = 0; i < kShards; i++)
		replace(i);
	want(two_, 200000);
	pass(300);
	EXPECT_EQ(0U, part(two_));
	holders_[one_].used = 0;
	pass(1000);
	want(two_, 200000);
	pass(300);
	EXPECT_GE(part(two_), 200000U);
}

} // namespace
