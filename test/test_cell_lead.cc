/* Ownership, driven record by record. */

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "lead.h"
}

namespace
{

constexpr ogl_time kMs = 1000;

/* An append as the store saw it. */
struct Append {
	enum cell_stream stream;
	uint32_t shard;
	int64_t at;
	std::string value;
	cell_append_fn *done;
	void *arg;
	std::shared_ptr<bool> answered;
};

/* A store of which the test hands out one answer at a time. */
struct Store {
	cell_read_fn *read = nullptr;
	cell_newest_fn *newest = nullptr;
	cell_read_fn *probe = nullptr;
	cell_read_fn *claims = nullptr;
	void *arg = nullptr;
	void *claims_arg = nullptr;
	uint32_t claims_shard = 0;
	std::vector<Append> written;
};

void
on_append(
    void *ctx, const struct cell_append *a, cell_append_fn *done, void *arg)
{
	auto *s = static_cast<Store *>(ctx);
	gsize n = 0;
	auto *p =
	    static_cast<const char *>(g_bytes_get_data(a->puts[0].value, &n));

	s->written.push_back({a->stream, a->shard, a->at, std::string(p, n),
	    done, arg, std::make_shared<bool>(false)});
}

void
on_read(void *ctx, const struct cell_read *r, cell_read_fn *done, void *arg)
{
	auto *s = static_cast<Store *>(ctx);

	if (r->stream == CELL_CLAIMS) {
		s->claims = done;
		s->claims_arg = arg;
		s->claims_shard = r->shard;
		return;
	}
	if (r->wait_ms == 0) {
		s->probe = done;
		return;
	}
	s->read = done;
	s->arg = arg;
}

void
on_newest(
    void *ctx, const struct cell_newest *, cell_newest_fn *done, void *arg)
{
	auto *s = static_cast<Store *>(ctx);

	s->newest = done;
	s->arg = arg;
}

void
on_log(void *, const char *, const char *, const char *)
{
}

void
on_count(void *, const char *, uint64_t)
{
}

std::string
packed(const Ogl__CellLead &m)
{
	uint8_t buf[256];
	size_t n = ogl__cell_lead__pack(&m, buf);

	return std::string(reinterpret_cast<char *>(buf), n);
}

/* The record of a node that is not the one under test. */
std::string
lead_record(uint32_t shard, bool claim, bool vacant, uint64_t epoch)
{
	Ogl__CellLead m = OGL__CELL_LEAD__INIT;
	char node[] = "n2";
	char addr[] = "10.0.0.2:1";

	m.node = node;
	m.addr = addr;
	m.boot = 5;
	m.claim = claim;
	m.vacant = vacant;
	m.epoch = epoch;
	m.shard = shard;
	return packed(m);
}

/* A claim of the node under test, in another life. */
std::string
own_record(uint64_t boot)
{
	Ogl__CellLead m = OGL__CELL_LEAD__INIT;
	char node[] = "n1";
	char addr[] = "10.0.0.1:1";

	m.node = node;
	m.addr = addr;
	m.boot = boot;
	m.claim = true;
	return packed(m);
}

class Lead : public testing::Test
{
      protected:
	void SetUp() override
	{
		ops_.append = on_append;
		ops_.read = on_read;
		ops_.newest = on_newest;
		ops_.log = on_log;
		ops_.count = on_count;
		ops_.outside = &store_;
		events_.planned = [](void *, uint32_t, ogl_time) {};
		events_.won = [](void *arg, uint32_t, uint64_t epoch,
				  ogl_time) {
			static_cast<Lead *>(arg)->won_ = epoch;
		};
		events_.lost = [](void *, uint32_t, ogl_time) {};
		events_.changed = [](void *arg, uint32_t shard,
				      const char *addr, ogl_time) {
			auto *t = static_cast<Lead *>(arg);

			t->told_.push_back(
			    std::to_string(cell_lead_epoch(t->lead_, shard)) +
			    " " + (addr != nullptr ? addr : "none"));
		};
		events_.arg = this;
	}

	/* Every exchange ends in one answer. */
	void TearDown() override
	{
		struct cell_append_answer lost = {};

		lost.io = OGL_IO_LOST;
		for (size_t i = 0; i < store_.written.size(); i++)
			answer(store_.written[i], lost);
		cell_lead_end(lead_);
	}

	/* A node that has just read how many shards there are. */
	void begin(uint32_t shards)
	{
		Ogl__CellPlan m = OGL__CELL_PLAN__INIT;
		uint8_t buf[16];
		char key[] = "shards";
		struct cell_record r = {};
		struct cell_newest_answer a = {};

		lead_ = cell_lead_init(&ops_, &events_, &self_, 1);
		cell_lead_step(lead_, now_);
		m.shards = shards;
		r.key = key;
		r.offset = offset_++;
		r.value.n = ogl__cell_plan__pack(&m, buf);
		r.value.p = reinterpret_cast<const char *>(buf);
		a.io = OGL_IO_OK;
		a.records = &r;
		a.n = 1;
		a.end = offset_;
		store_.newest(store_.arg, &a, now_);
		cell_lead_step(lead_, now_);
	}

	/* A heartbeat or resignation of node n2 at 10.0.0.2:1 is read. */
	void read(bool vacant, uint64_t epoch, uint32_t shard = 0)
	{
		std::string text = lead_record(shard, false, vacant, epoch);
		char key[] = "lead";
		struct cell_record r = {};
		struct cell_read_answer a = {};

		r.key = key;
		r.offset = offset_++;
		r.value = {text.data(), text.size()};
		a.io = OGL_IO_OK;
		a.records = &r;
		a.n = 1;
		pass(10);
		store_.read(store_.arg, &a, now_);
		cell_lead_step(lead_, now_);
	}

	/* The claims of the shard asked for hold one more, of n2. */
	void show_claim(uint64_t epoch)
	{
		std::string text =
		    lead_record(store_.claims_shard, true, false, 0);

		show(text, epoch);
	}

	/* The same with a record as some append wrote it. */
	void show(const std::string &text, uint64_t epoch)
	{
		char key[] = "claim";
		struct cell_record r = {};
		struct cell_read_answer a = {};

		r.key = key;
		r.offset = epoch - 1;
		r.value = {text.data(), text.size()};
		a.io = OGL_IO_OK;
		a.records = &r;
		a.n = 1;
		a.end = epoch;
		store_.claims(store_.claims_arg, &a, now_);
		cell_lead_step(lead_, now_);
	}

	/* The probe under way shows a heartbeat of n2 in epoch 2, or nothing. */
	void answer_probe(bool beat)
	{
		std::string text = lead_record(0, false, false, 2);
		char key[] = "lead";
		struct cell_record r = {};
		struct cell_read_answer a = {};

		r.key = key;
		r.offset = offset_;
		r.value = {text.data(), text.size()};
		a.io = OGL_IO_OK;
		a.records = &r;
		a.n = beat ? 1 : 0;
		store_.probe(store_.arg, &a, now_);
	}

	void answer(const Append &a, const struct cell_append_answer &with)
	{
		if (*a.answered)
			return;
		*a.answered = true;
		a.done(a.arg, &with, now_);
	}

	/* Claims shard 0, which nobody owns, in epoch 1. */
	void win()
	{
		quiet(400);
		ASSERT_EQ(1U, claims().size());
		Append c = claims()[0];
		struct cell_append_answer ok = {};

		ok.io = OGL_IO_OK;
		answer(c, ok);
		ASSERT_EQ(1U, won_);
		cell_lead_step(lead_, now_);
	}

	void pass(int ms)
	{
		now_ += ms * kMs;
	}

	/* Time goes by while the store answers, with nothing new. */
	void quiet(int ms)
	{
		for (int i = 0; i < ms; i += 40) {
			struct cell_read_answer a = {};

			a.io = OGL_IO_OK;
			pass(40);
			if (store_.read != nullptr) {
				cell_read_fn *done = store_.read;

				store_.read = nullptr;
				done(store_.arg, &a, now_);
			}
			cell_lead_step(lead_, now_);
		}
	}

	std::vector<Append> claims() const
	{
		std::vector<Append> v;

		for (const Append &a : store_.written) {
			if (a.stream == CELL_CLAIMS)
				v.push_back(a);
		}
		return v;
	}

	std::string owner(uint32_t shard = 0) const
	{
		const char *a = cell_lead_addr(lead_, shard);

		return a != nullptr ? a : "none";
	}

	Store store_;
	struct cell_ops ops_ = {};
	struct cell_lead_events events_ = {};
	struct cell_lead_self self_ = {"n1", "10.0.0.1:1", 1, 0, 0};
	struct cell_lead *lead_ = nullptr;
	ogl_time now_ = 1000 * kMs;
	uint64_t offset_ = 0;
	uint64_t won_ = 0;
	std::vector<std::string> told_; /* owners in their epochs */
};

TEST_F(Lead, FollowsClaimsAndResignations)
{
	begin(1);
	read(false, 1);
	EXPECT_EQ("10.0.0.2:1", owner());
	EXPECT_EQ(1U, cell_lead_epoch(lead_, 0));
	read(true, 1);
	EXPECT_EQ("none", owner());
}

/* The owner resigns while one of its heartbeats is still on its way and lands
 * after the resignation.  Taken for news, the cell would count as owned and
 * nobody would claim it until a silence had passed: callers would wait or be
 * refused for more than a second. */
TEST_F(Lead, AResignationOutlivesALateHeartbeat)
{
	begin(1);
	read(false, 1);
	read(true, 1);
	read(false, 1);
	EXPECT_EQ("none", owner());
}

/* Heartbeats of an owner that was replaced, carried out late, name nobody. */
TEST_F(Lead, HeartbeatsOfEarlierEpochsAreOld)
{
	begin(1);
	read(false, 1);
	read(false, 2);
	EXPECT_EQ(2U, cell_lead_epoch(lead_, 0));
	read(true, 1);
	EXPECT_EQ("10.0.0.2:1", owner());
}

/* Guards against calls that bear an old epoch for ever and are never answered. */
TEST_F(Lead, ANodeThatWinsAgainIsToldInItsNewEpoch)
{
	begin(1);
	read(false, 1);
	read(false, 2);
	read(false, 2);
	cell_lead_hear(lead_, 0, 3, "10.0.0.2:1", now_);
	EXPECT_EQ((std::vector<std::string>{
		      "1 10.0.0.2:1", "2 10.0.0.2:1", "3 10.0.0.2:1"}),
	    told_);
}

/* The owner falls silent while reads are answered: it does not reach the
 * store, and the cell is claimed. */
TEST_F(Lead, SilenceOfTheOwnerAloneBringsAClaim)
{
	begin(1);
	read(false, 1);
	EXPECT_EQ(0U, claims().size());
	quiet(2000);
	ASSERT_EQ(1U, claims().size());
	EXPECT_EQ(1, claims()[0].at) << "only if nobody claimed since";
}

/* The part of the store that holds the heartbeats answers nobody any more, while
 * claims are still taken.  The read that waits has not failed yet; taken for an
 * owner's silence, it made another node claim, and a new owner that can't
 * announce itself starts nothing. */
TEST_F(Lead, AReadWithoutAnAnswerIsNotTheOwnersSilence)
{
	begin(1);
	read(false, 1);
	for (int i = 0; i < 40; i++) {
		pass(40);
		cell_lead_step(lead_, now_);
	}
	EXPECT_EQ(0U, claims().size());
	ASSERT_NE(nullptr, store_.probe);
	answer_probe(false);
	for (int i = 0; i < 10; i++) {
		pass(40);
		cell_lead_step(lead_, now_);
	}
	EXPECT_EQ(1U, claims().size());
}

/* The store itself is away: nobody can have claimed, no silence counts, and
 * the owner that was known stays. */
TEST_F(Lead, AStoreThatIsAwayBringsNoClaim)
{
	begin(1);
	read(false, 1);
	for (int i = 0; i < 50; i++) {
		struct cell_read_answer a = {};

		a.io = OGL_IO_LOST;
		pass(200);
		store_.read(store_.arg, &a, now_);
		cell_lead_step(lead_, now_);
	}
	EXPECT_EQ(0U, claims().size());
	EXPECT_EQ("10.0.0.2:1", owner());
}

/* The store takes a claim and its answer gets lost.  The node owns the shard
 * without knowing; unless it finds out, callers wait until a silence has
 * passed and somebody claims once more. */
TEST_F(Lead, AClaimWithoutAnAnswerIsFoundByReading)
{
	begin(1);
	read(false, 1);
	quiet(2000);
	ASSERT_EQ(1U, claims().size());
	Append c = claims()[0];
	struct cell_append_answer lost = {};

	lost.io = OGL_IO_LOST;
	answer(c, lost);
	ASSERT_NE(nullptr, store_.claims);
	show(c.value, 2);
	EXPECT_EQ(2U, won_);
	EXPECT_TRUE(cell_lead_is_owner(lead_, 0));
}

/* Guards against a second claim by the node that owns the shard already. */
TEST_F(Lead, ANodeToldThatItOwnsTheShardReadsItsClaim)
{
	begin(1);
	read(false, 1);
	quiet(2000);
	ASSERT_EQ(1U, claims().size());
	cell_lead_hear(lead_, 0, 2, "10.0.0.1:1", now_);
	ASSERT_NE(nullptr, store_.claims);
	show(claims()[0].value, 2);
	EXPECT_EQ(2U, won_);
	quiet(400);
	EXPECT_EQ(1U, claims().size());
}

/* Guards against an owner that is taken for the life of its node before. */
TEST_F(Lead, ANodeToldOfAnEarlierLifeOfItsOwnClaims)
{
	begin(1);
	read(false, 1);
	cell_lead_hear(lead_, 0, 2, "10.0.0.1:1", now_);
	ASSERT_NE(nullptr, store_.claims);
	show(own_record(99), 2);
	EXPECT_EQ("none", owner());
	quiet(400);
	ASSERT_EQ(1U, claims().size());
	EXPECT_EQ(2, claims()[0].at);
}

/* Two nodes claim at the same moment and the other's lands first.  The loser
 * learns the winner from the claims at once, and calls go there before its
 * first heartbeat is read. */
TEST_F(Lead, AClaimThatCameSecondTellsWhoWon)
{
	begin(1);
	read(false, 1);
	quiet(2000);
	ASSERT_EQ(1U, claims().size());
	Append c = claims()[0];
	struct cell_append_answer moved = {};

	moved.io = OGL_IO_REFUSED;
	moved.moved = true;
	answer(c, moved);
	ASSERT_NE(nullptr, store_.claims);
	show_claim(2);
	EXPECT_EQ(0U, won_);
	EXPECT_EQ("10.0.0.2:1", owner());
	quiet(400);
	EXPECT_EQ(1U, claims().size());
}

/* An owner that stood still is replaced meanwhile.  Its proof of ownership has
 * to fail: else it would start work on a worker that has restarted and so
 * forgotten the new owner. */
TEST_F(Lead, AProofShowsANewOwner)
{
	begin(1);
	win();
	pass(100);
	ogl_time asked = now_;

	cell_lead_probe(lead_, now_);
	answer_probe(true);
	EXPECT_EQ(asked, cell_lead_confirmed(lead_));
	EXPECT_FALSE(cell_lead_is_owner(lead_, 0));
	EXPECT_EQ("10.0.0.2:1", owner());
}

/* Nobody came after: the ownership stands as of when the proof was asked for,
 * not of when the answer came. */
TEST_F(Lead, AProofHoldsFromTheTimeItWasAskedFor)
{
	begin(1);
	win();
	pass(100);
	ogl_time asked = now_;

	cell_lead_probe(lead_, now_);
	pass(100);
	answer_probe(false);
	EXPECT_EQ(asked, cell_lead_confirmed(lead_));
	EXPECT_TRUE(cell_lead_is_owner(lead_, 0));
}

/* Between a claim and its first heartbeat an earlier owner's proofs do not show
 * the new one.  It is announced, and may call workers, only after it. */
TEST_F(Lead, AnOwnerIsAnnouncedByItsFirstHeartbeat)
{
	begin(1);
	win();
	EXPECT_FALSE(cell_lead_announced(lead_, 0));
	Append beat = store_.written.back();
	struct cell_append_answer ok = {};

	ASSERT_EQ(CELL_LEAD, beat.stream);
	ok.io = OGL_IO_OK;
	answer(beat, ok);
	EXPECT_TRUE(cell_lead_announced(lead_, 0));
}

/* The owner says that the store does not take its writes.  If the store answers
 * nobody else either, it stays the owner: giving it up would have all nodes
 * refuse their callers although it could answer them. */
TEST_F(Lead, AnOwnerInDoubtStaysWhileTheStoreAnswersNobody)
{
	begin(1);
	read(false, 1);
	cell_lead_doubt(lead_, 0, 1, now_);
	EXPECT_EQ("10.0.0.2:1", owner());
	struct cell_read_answer lost = {};

	lost.io = OGL_IO_LOST;
	store_.probe(store_.arg, &lost, now_);
	EXPECT_EQ("10.0.0.2:1", owner());
	pass(100);
	cell_lead_doubt(lead_, 0, 1, now_);
	answer_probe(false);
	EXPECT_EQ("none", owner());
}

/* Guards against an owner given up because answers to its heartbeats are lost. */
TEST_F(Lead, AnOwnerWhoseReadsAreAnsweredIsAble)
{
	begin(1);
	win();
	for (int i = 0; i < 10; i++) {
		quiet(200);
		EXPECT_TRUE(cell_lead_able(lead_, 0, now_)) << i;
	}
}

/* Guards against an owner kept although the store refuses all it writes. */
TEST_F(Lead, AnOwnerWhoseHeartbeatsAreRefusedIsNotAble)
{
	struct cell_append_answer refused = {};

	refused.io = OGL_IO_REFUSED;
	begin(1);
	win();
	for (int i = 0; i < 5; i++) {
		for (size_t k = 0; k < store_.written.size(); k++)
			answer(store_.written[k], refused);
		quiet(200);
	}
	EXPECT_FALSE(cell_lead_able(lead_, 0, now_));
}

/* Guards against an owner kept although the store answers it nothing. */
TEST_F(Lead, AnOwnerWithoutAnyAnswerIsNotAble)
{
	begin(1);
	win();
	for (int i = 0; i < 25; i++) {
		pass(40);
		cell_lead_step(lead_, now_);
	}
	EXPECT_FALSE(cell_lead_able(lead_, 0, now_));
}

/* Guards against a new owner that calls no worker for want of a heartbeat. */
TEST_F(Lead, AnUnansweredHeartbeatIsRepeatedSoon)
{
	begin(1);
	win();
	size_t sent = store_.written.size();

	quiet(320);
	EXPECT_EQ(sent + 2, store_.written.size());
}

/* Guards against a claim while the owner is well and its heartbeats are late. */
TEST_F(Lead, AnOwnerThatAnswersPeersAndReachesTheStoreIsNotSilent)
{
	begin(1);
	read(false, 1);
	for (int i = 0; i < 10; i++) {
		quiet(400);
		cell_lead_heard(lead_, 0, 1, now_);
	}
	EXPECT_EQ(0U, claims().size());
	cell_lead_heard(lead_, 0, 0, now_);
	quiet(2000);
	EXPECT_EQ(1U, claims().size());
}

/* All owners are lost at once.  A node claims one shard at first and leaves the
 * others to its peers: one machine could not carry them all, and callers would
 * be refused for want of its processor alone. */
TEST_F(Lead, ANodeClaimsOneShardBeforeOthers)
{
	begin(4);
	quiet(160);
	ASSERT_EQ(1U, claims().size());
	EXPECT_EQ(cell_shard_of_node("10.0.0.1:1", 4), claims()[0].shard);
	quiet(800);
	EXPECT_EQ(4U, claims().size());
}

/* What is said of one shard changes nothing about another. */
TEST_F(Lead, ShardsHaveOwnersOfTheirOwn)
{
	begin(2);
	read(false, 1, 0);
	read(false, 3, 1);
	read(true, 1, 0);
	EXPECT_EQ("none", owner(0));
	EXPECT_EQ("10.0.0.2:1", owner(1));
	EXPECT_EQ(1U, cell_lead_epoch(lead_, 0));
	EXPECT_EQ(3U, cell_lead_epoch(lead_, 1));
}

} // namespace
