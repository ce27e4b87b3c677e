/* Calls that a node passes on to a shard's owner, one message at a time. */

#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "front.h"
}

namespace
{

struct SentCall {
	uint64_t token;
	bool job;
	bool admitted;
};

class Front : public testing::Test
{
      protected:
	void SetUp() override
	{
		struct cell_front_events events = {on_send, this};

		ops_.newest = [](void *ctx, const struct cell_newest *q,
				  cell_newest_fn *done, void *arg) {
			auto *t = static_cast<Front *>(ctx);

			t->after_ = q->after != nullptr ? q->after : "";
			t->newest_done_ = done;
			t->arg_ = arg;
		};
		ops_.read = [](void *ctx, const struct cell_read *,
				cell_read_fn *done, void *arg) {
			auto *t = static_cast<Front *>(ctx);

			t->read_done_ = done;
			t->arg_ = arg;
		};
		ops_.decode_job = decode_job;
		ops_.reply = on_reply;
		ops_.log = [](void *, const char *, const char *,
			       const char *) {};
		ops_.count = [](void *, const char *, uint64_t) {};
		ops_.backend_ctx = this;
		ops_.ctx = this;
		limits_.revoke_ms = 60000;
		front_ = cell_front_init(&ops_, &limits_, &events);
		read_settings();
		cell_front_set_shards(front_, 1);
	}

	void TearDown() override
	{
		cell_front_end(front_);
	}

	void read_settings()
	{
		struct cell_config *c = cell_config_new(1);
		struct cell_queue *q = cell_config_add_queue(c);
		struct cell_record r = {};
		struct cell_newest_answer a = {};

		q->name = g_strdup("q");
		q->host = g_strdup("h");
		q->prefix = g_strdup("/q/");
		q->service = g_strdup("s");
		q->is_public = true;
		r.config = c;
		r.value = ogl_str("");
		a.records = &r;
		a.n = 1;
		a.end = 1;
		cell_front_step(front_, now_);
		newest_done_(arg_, &a, now_);
		cell_config_unref(c);
	}

	/* A read finds that its records have been trimmed, so a listing is
	 * asked for. */
	void trim_records()
	{
		struct cell_read_answer a = {};

		a.trimmed = true;
		read_done_(arg_, &a, now_);
		step(1);
	}

	/* One page of a listing, with the record of an evacuated zone; "" for a
	 * page without records. */
	void answer_listing(const char *zone, bool more, uint64_t end)
	{
		std::string key = std::string("zone ") + zone;
		struct cell_newest_answer a = {};
		struct cell_record r = {};

		r.offset = end - 1;
		r.key = const_cast<char *>(key.c_str());
		r.zone = zone;
		a.records = &r;
		a.n = zone[0] != '\0' ? 1 : 0;
		a.more = more;
		a.end = end;
		newest_done_(arg_, &a, now_);
		step(1);
	}

	/* A read returns a record about a zone. */
	void answer_read(const char *zone, bool evacuated, uint64_t offset)
	{
		struct cell_read_answer a = {};
		struct cell_record r = {};
		char key[] = "zone";

		r.offset = offset;
		r.key = key;
		r.zone = zone;
		r.dropped = !evacuated;
		a.records = &r;
		a.n = 1;
		a.end = offset + 1;
		read_done_(arg_, &a, now_);
		step(1);
	}

	bool evacuated(const char *zone)
	{
		return cell_zones_evacuated(cell_front_zones(front_), zone);
	}

	/* Submits a job, whose id is the token in hexadecimal. */
	void submit(uint64_t token)
	{
		char path[64];
		struct cell_request r = {};

		g_snprintf(path, sizeof path, "/q/%016x",
		    static_cast<unsigned>(token));
		r.method = CELL_POST;
		r.host = ogl_str("h");
		r.path = ogl_str(path);
		r.key = ogl_str("");
		r.body = ogl_str("{}");
		r.budget_ms = 3000;
		cell_front_call(front_, token, &r, now_);
	}

	void step(int ms)
	{
		now_ += ms * OGL_MS;
		cell_front_step(front_, now_);
	}

	/* A pong of the owner of an epoch, which would refuse the queue's jobs,
	 * or none. */
	void pong(uint64_t epoch, bool refuses)
	{
		Ogl__CellPong m = OGL__CELL_PONG__INIT;
		Ogl__CellRefusal r = OGL__CELL_REFUSAL__INIT;
		Ogl__CellRefusal *list = &r;
		char queue[] = "q";

		r.queue = queue;
		m.owns = epoch;
		m.stamp = static_cast<uint64_t>(now_);
		m.n_refusals = refuses ? 1 : 0;
		m.refusals = &list;
		cell_front_learn_refusals(front_, 0, &m, now_);
	}

	/* Whether the owner is sent a job at once, not asked for it first. */
	bool sends_job_at_once(uint64_t token)
	{
		bool job;

		submit(token);
		job = sent_.back().job;
		answer(token, OGL__CELL_OUTCOME__cell_ok);
		return job;
	}

	void answer(uint64_t token, Ogl__CellOutcome outcome)
	{
		Ogl__CellReply r = OGL__CELL_REPLY__INIT;

		r.token = token;
		r.outcome = outcome;
		r.epoch = 7;
		cell_front_reply(front_, 0, &r, now_);
	}

	static Ogl__CellJob *decode_job(void *, struct ogl_str, const char **)
	{
		auto *j =
		    static_cast<Ogl__CellJob *>(malloc(sizeof(Ogl__CellJob)));
		auto *s =
		    static_cast<Ogl__CellStep *>(malloc(sizeof(Ogl__CellStep)));

		ogl__cell_job__init(j);
		ogl__cell_step__init(s);
		s->count = 1;
		s->cpu_milli = 1000;
		j->n_steps = 1;
		j->steps = static_cast<Ogl__CellStep **>(malloc(sizeof s));
		j->steps[0] = s;
		return j;
	}

	static void on_send(
	    void *arg, uint32_t, const char *, const Ogl__CellCall *c)
	{
		static_cast<Front *>(arg)->sent_.push_back(
		    {c->token, c->job != nullptr, c->admitted != 0});
	}

	static void on_reply(void *ctx, uint64_t, const struct cell_answer *a)
	{
		static_cast<Front *>(ctx)->answers_.push_back(a->status);
	}

	struct cell_ops ops_ = {};
	struct cell_limits limits_ = {};
	struct cell_front *front_ = nullptr;
	std::vector<SentCall> sent_;
	std::vector<enum cell_status> answers_;
	cell_newest_fn *newest_done_ = nullptr;
	cell_read_fn *read_done_ = nullptr;
	std::string after_; /* last key of the page before, "" at the first */
	void *arg_ = nullptr;
	ogl_time now_ = 100 * OGL_SEC;
};

/* Guards against filling a new owner's link with all waiting calls at once. */
TEST_F(Front, OnlyOneCallIsSentUntilNewOwnerServes)
{
	for (uint64_t t = 1; t <= 20; t++)
		submit(t);
	cell_front_set_owner(front_, 0, "owner", 7, now_);
	step(0);
	ASSERT_EQ(1u, sent_.size());
	answer(sent_[0].token, OGL__CELL_OUTCOME__cell_not_owner);
	step(100);
	EXPECT_EQ(1u, sent_.size());
	step(60);
	ASSERT_EQ(2u, sent_.size());
	answer(sent_[1].token, OGL__CELL_OUTCOME__cell_ok);
	step(1);
	EXPECT_EQ(6u, sent_.size());
}

/* Guards against callers that wait until their deadline for calls that are
 * never sent. */
TEST_F(Front, CallNeverSentIsRefusedAsNotAccepted)
{
	cell_front_set_owner(front_, 0, "owner", 7, now_);
	submit(1);
	submit(2);
	ASSERT_EQ(1u, sent_.size());
	step(950);
	ASSERT_EQ(1u, answers_.size());
	EXPECT_EQ(CELL_BUSY, answers_[0]);
}

/* Guards against a refusal of a call that the owner may have accepted. */
TEST_F(Front, CallSentWithoutAnswerIsUnsure)
{
	cell_front_set_owner(front_, 0, "owner", 7, now_);
	submit(1);
	step(950);
	EXPECT_TRUE(answers_.empty());
	step(2000);
	ASSERT_EQ(1u, answers_.size());
	EXPECT_EQ(CELL_UNSURE, answers_[0]);
}

/* Guards against jobs sent to an owner that is about to refuse them. */
TEST_F(Front, OverloadedOwnerIsAskedBeforeJobIsSent)
{
	cell_front_set_owner(front_, 0, "owner", 7, now_);
	cell_front_set_asks_first(front_, 0, true);
	submit(1);
	ASSERT_EQ(1u, sent_.size());
	EXPECT_FALSE(sent_[0].job);
	answer(1, OGL__CELL_OUTCOME__cell_send_job);
	ASSERT_EQ(2u, sent_.size());
	EXPECT_TRUE(sent_[1].job);
	EXPECT_TRUE(sent_[1].admitted);
	answer(1, OGL__CELL_OUTCOME__cell_ok);
	ASSERT_EQ(1u, answers_.size());
	EXPECT_EQ(CELL_OK, answers_[0]);
}

/* Guards against a submission under another team's id that its caller takes for
 * lost or repeats. */
TEST_F(Front, IdOfAnotherTeamIsRefusedForGood)
{
	cell_front_set_owner(front_, 0, "owner", 7, now_);
	submit(1);
	answer(1, OGL__CELL_OUTCOME__cell_absent);
	ASSERT_EQ(1u, answers_.size());
	EXPECT_EQ(CELL_ID_TAKEN, answers_[0]);
}

/* Guards against a refusal of a job that the next owner may still accept. */
TEST_F(Front, IdTakenUnderAnEarlierOwnerIsNotFinal)
{
	cell_front_set_owner(front_, 0, "owner", 7, now_);
	submit(1);
	cell_front_set_owner(front_, 0, "next", 8, now_);
	answer(1, OGL__CELL_OUTCOME__cell_absent);
	step(160);
	ASSERT_EQ(2u, sent_.size());
	answer(1, OGL__CELL_OUTCOME__cell_absent);
	EXPECT_TRUE(answers_.empty());
	answer(1, OGL__CELL_OUTCOME__cell_ok);
	ASSERT_EQ(1u, answers_.size());
	EXPECT_EQ(CELL_OK, answers_[0]);
}

/* Guards against sending jobs that the owner refuses, and against a node that
 * refuses by itself what the owner may have accepted. */
TEST_F(Front, OwnerIsAskedForJobsThatItWouldRefuse)
{
	cell_front_set_owner(front_, 0, "owner", 7, now_);
	pong(7, true);
	submit(1);
	ASSERT_EQ(1u, sent_.size());
	EXPECT_FALSE(sent_[0].job);
	EXPECT_TRUE(answers_.empty());
	answer(1, OGL__CELL_OUTCOME__cell_send_job);
	ASSERT_EQ(2u, sent_.size());
	EXPECT_TRUE(sent_[1].job);
	answer(1, OGL__CELL_OUTCOME__cell_ok);
	EXPECT_FALSE(sends_job_at_once(2));
	pong(7, false);
	EXPECT_TRUE(sends_job_at_once(3));
}

/* Guards against hints that outlive what they tell of: an owner that is frozen
 * or cut off sends no others. */
TEST_F(Front, OldHintsAreNotUsed)
{
	cell_front_set_owner(front_, 0, "owner", 7, now_);
	pong(7, true);
	step(600);
	EXPECT_FALSE(sends_job_at_once(1));
	step(1);
	EXPECT_TRUE(sends_job_at_once(2));
}

/* Guards against a lost owner's hints being taken for its successor's. */
TEST_F(Front, HintsOfAnEarlierOwnerAreNotUsed)
{
	cell_front_set_owner(front_, 0, "owner", 7, now_);
	pong(7, true);
	cell_front_set_owner(front_, 0, "next", 8, now_);
	EXPECT_TRUE(sends_job_at_once(1));
}

/* Guards against an owner that was frozen and still sends pongs: its hints
 * replace those of the owner with the higher epoch. */
TEST_F(Front, OfTwoOwnersTheHigherEpochCounts)
{
	cell_front_set_owner(front_, 0, "next", 8, now_);
	pong(8, true);
	pong(7, false);
	EXPECT_FALSE(sends_job_at_once(1));
}

/* Guards against a repeat of a lost call that is given up too early. */
TEST_F(Front, CallWithoutAnswerIsRepeatedWithBackoff)
{
	cell_front_set_owner(front_, 0, "owner", 7, now_);
	submit(1);
	step(460);
	EXPECT_EQ(2u, sent_.size());
	step(460);
	EXPECT_EQ(2u, sent_.size());
	step(460);
	EXPECT_EQ(3u, sent_.size());
}

/* Guards against a zone that is left out since it is on a later page. */
TEST_F(Front, EvacuatedZonesAreListedPageByPage)
{
	step(1);
	trim_records();
	EXPECT_EQ("", after_);
	answer_listing("a", true, 9);
	EXPECT_EQ("zone a", after_);
	EXPECT_FALSE(evacuated("a"));
	answer_listing("b", false, 10);
	EXPECT_TRUE(evacuated("a"));
	EXPECT_TRUE(evacuated("b"));
	EXPECT_EQ(9u, cell_zones_known_to(cell_front_zones(front_)));
}

/* Guards against a zone that stays unused: the record that takes it back is
 * trimmed before it is read. */
TEST_F(Front, ZoneMissingFromListingIsTakenBack)
{
	step(1);
	answer_read("a", true, 1);
	EXPECT_TRUE(evacuated("a"));
	trim_records();
	answer_listing("", false, 5);
	EXPECT_FALSE(evacuated("a"));
}

/* Guards against starts in an evacuated zone by a node that can't read the
 * settings. */
TEST_F(Front, NodeWithoutStoreTakesZonesFromPeer)
{
	char a[] = "a", b[] = "b";
	char *names[] = {a, b};

	step(1);
	cell_front_learn_zones(front_, names, 1, 4, now_);
	EXPECT_FALSE(evacuated("a"));
	step(2000);
	cell_front_learn_zones(front_, names, 1, 4, now_);
	EXPECT_TRUE(evacuated("a"));
	cell_front_learn_zones(front_, names + 1, 1, 3, now_);
	EXPECT_TRUE(evacuated("a"));
	EXPECT_FALSE(evacuated("b"));
	/* A record that is read later may be older than the peer's list. */
	answer_read("a", false, 2);
	EXPECT_TRUE(evacuated("a"));
	answer_read("a", false, 4);
	EXPECT_FALSE(evacuated("a"));
}

} // namespace
