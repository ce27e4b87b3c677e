/* Calls to workers through other nodes, driven message by message. */

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

extern "C" {
#include "order_msg.h"
#include "relay.h"
#include "relay_serve.h"
}

namespace
{

/* It has a NUL, at which it must not end. */
const std::string kSpec("the\0spec", 8);

std::string
text(struct ogl_str s)
{
	return {s.p != nullptr ? s.p : "", s.n};
}

struct Sent {
	std::string to;
	Ogl__CellOrderKind kind;
	uint64_t token;
	bool with_spec;
	std::string spec;
	std::string digest;
};

class Relay : public testing::Test
{
      protected:
	void SetUp() override
	{
		ops_.start = on_start;
		ops_.hold = [](void *ctx, const struct cell_hold *,
				cell_hold_fn *, void *) {
			static_cast<Relay *>(ctx)->direct_calls_++;
		};
		ops_.log = [](void *, const char *, const char *,
			       const char *) {};
		ops_.backend_ctx = this;
	}

	void TearDown() override
	{
		if (relay_ != nullptr)
			cell_relay_end(relay_);
	}

	void begin(uint32_t link_kbps)
	{
		struct cell_relay_events events = {on_send, this};

		relay_ = cell_relay_init(&ops_, link_kbps, &events);
		cell_relay_set_ops(relay_, &relayed_);
		cell_relay_open(relay_, 3);
		announce_nodes();
		step(0);
	}

	void announce_nodes()
	{
		for (const char *addr : {"n1", "n2", "n3"})
			cell_relay_update_node(relay_, addr, false, now_);
	}

	void step(int ms)
	{
		now_ += ms * OGL_MS;
		cell_relay_step(relay_, 100, now_);
		cell_relay_flush(relay_, now_);
	}

	void start(const char *job, const char *worker = "w1",
	    const std::string &spec = kSpec)
	{
		struct cell_order o = {};

		o.to = {"10.9.0.1:80", worker, 3};
		g_strlcpy(o.task.id, job, sizeof o.task.id);
		o.run = 1;
		o.timeout_ms = 600;
		o.spec = {spec.data(), spec.size()};
		relayed_.start(relayed_.backend_ctx, &o, on_order, this);
	}

	void answer(const Sent &s, Ogl__CellOrderOutcome outcome)
	{
		Ogl__CellOrderAnswer a = OGL__CELL_ORDER_ANSWER__INIT;

		a.token = s.token;
		a.outcome = outcome;
		cell_relay_answer(relay_, &a, now_);
	}

	static void on_start(
	    void *ctx, const struct cell_order *, cell_order_fn *, void *)
	{
		static_cast<Relay *>(ctx)->direct_calls_++;
	}

	static void on_send(void *arg, const char *to, const Ogl__CellOrders *m)
	{
		auto *t = static_cast<Relay *>(arg);

		t->message_bytes_.push_back(
		    ogl__cell_orders__get_packed_size(m));
		for (size_t i = 0; i < m->n_orders; i++) {
			const Ogl__CellOrder *o = m->orders[i];

			t->sent_.push_back({to, o->kind, o->token,
			    o->with_spec != 0, text(cell_field_str(&o->spec)),
			    text(cell_field_str(&o->spec_digest))});
		}
	}

	static void on_order(
	    void *arg, const struct cell_order_answer *a, ogl_time)
	{
		static_cast<Relay *>(arg)->outcomes_.push_back(a->io);
	}

	struct cell_ops ops_ = {};
	struct cell_ops relayed_ = {};
	struct cell_relay *relay_ = nullptr;
	std::vector<Sent> sent_;
	std::vector<size_t> message_bytes_;
	std::vector<enum ogl_io_result> outcomes_;
	int direct_calls_ = 0;
	ogl_time now_ = 100 * OGL_SEC;
};

const char job1[] = "0000000000000001";

TEST_F(Relay, FastLinkCallsWorkersDirectly)
{
	begin(200000);
	start(job1);
	step(10);
	EXPECT_EQ(1, direct_calls_);
	EXPECT_TRUE(sent_.empty());
}

TEST_F(Relay, StartThroughForwardingNodeOmitsSpec)
{
	begin(2000);
	cell_relay_note_spec(relay_, job1, "n2");
	start(job1);
	step(10);
	ASSERT_EQ(1u, sent_.size());
	EXPECT_EQ("n2", sent_[0].to);
	EXPECT_FALSE(sent_[0].with_spec);
	answer(sent_[0], OGL__CELL_ORDER_OUTCOME__cell_order_done);
	ASSERT_EQ(1u, outcomes_.size());
	EXPECT_EQ(OGL_IO_OK, outcomes_[0]);
}

TEST_F(Relay, OtherNodeIsSentSpecOnce)
{
	begin(2000);
	start(job1);
	start(job1);
	step(10);
	ASSERT_EQ(2u, sent_.size());
	EXPECT_EQ(sent_[0].to, sent_[1].to);
	EXPECT_EQ(kSpec, sent_[0].spec);
	EXPECT_FALSE(sent_[1].with_spec);
}

/* Guards against a task that is never started because its relay has restarted,
 * or has evicted the spec. */
TEST_F(Relay, StartIsSentAgainWithMissingSpec)
{
	begin(2000);
	cell_relay_note_spec(relay_, job1, "n2");
	start(job1);
	step(10);
	answer(sent_[0], OGL__CELL_ORDER_OUTCOME__cell_order_lacks_spec);
	EXPECT_TRUE(outcomes_.empty());
	step(10);
	ASSERT_EQ(2u, sent_.size());
	EXPECT_EQ("n2", sent_[1].to);
	EXPECT_EQ(kSpec, sent_[1].spec);
	answer(sent_[1], OGL__CELL_ORDER_OUTCOME__cell_order_done);
	ASSERT_EQ(1u, outcomes_.size());
}

/* Guards against reporting a start as not sent that its relay may have sent. */
TEST_F(Relay, CallWithoutAnswerIsLost)
{
	begin(2000);
	cell_relay_note_spec(relay_, job1, "n2");
	start(job1);
	step(10);
	step(600);
	EXPECT_TRUE(outcomes_.empty());
	step(500);
	ASSERT_EQ(1u, outcomes_.size());
	EXPECT_EQ(OGL_IO_LOST, outcomes_[0]);
	answer(sent_[0], OGL__CELL_ORDER_OUTCOME__cell_order_done);
	EXPECT_EQ(1u, outcomes_.size());
}

/* Guards against a start that was ordered before the owner was suspended and
 * replaced, and is sent afterwards to a worker that has restarted since. */
TEST_F(Relay, OrdersBatchedDuringSuspensionAreNotSent)
{
	begin(2000);
	start(job1);
	now_ += 2 * OGL_SEC;
	cell_relay_flush(relay_, now_);
	EXPECT_TRUE(sent_.empty());
	ASSERT_EQ(1u, outcomes_.size());
	EXPECT_EQ(OGL_IO_NOT_SENT, outcomes_[0]);
}

TEST_F(Relay, UnsentOrdersAreWithdrawnWhenOwnershipEnds)
{
	begin(2000);
	start(job1);
	cell_relay_close(relay_, now_);
	step(10);
	EXPECT_TRUE(sent_.empty());
	ASSERT_EQ(1u, outcomes_.size());
	EXPECT_EQ(OGL_IO_NOT_SENT, outcomes_[0]);
}

/* Guards against work that waits for a relay which no longer answers. */
TEST_F(Relay, RelayWithUnansweredCallsIsNotUsed)
{
	begin(2000);
	cell_relay_note_spec(relay_, job1, "n2");
	start(job1);
	start(job1);
	step(10);
	step(1100);
	announce_nodes();
	start(job1, "w2");
	step(10);
	ASSERT_EQ(3u, sent_.size());
	EXPECT_NE("n2", sent_[2].to);
	EXPECT_TRUE(sent_[2].with_spec);
}

/* Guards against a task whose start is lost again and again, because the relay
 * of its job can't reach the worker. */
TEST_F(Relay, WorkerIsCalledDirectlyAfterLostStarts)
{
	begin(2000);
	for (size_t i = 0; i < 4; i++) {
		start(job1);
		EXPECT_EQ(0, direct_calls_);
		step(10);
		answer(sent_[i], OGL__CELL_ORDER_OUTCOME__cell_order_lost);
	}
	start(job1);
	EXPECT_EQ(1, direct_calls_);
	start(job1, "w2");
	EXPECT_EQ(1, direct_calls_);
	now_ += 6 * OGL_SEC;
	announce_nodes();
	step(0);
	start(job1);
	EXPECT_EQ(1, direct_calls_);
}

/* Guards against saturating an owner's link with direct calls because some
 * workers leave some starts unanswered. */
TEST_F(Relay, NonConsecutiveLostStartsAreIgnored)
{
	begin(2000);
	for (size_t i = 0; i < 10; i++) {
		start(job1);
		step(10);
		answer(sent_[i],
		    i % 2 == 0 ? OGL__CELL_ORDER_OUTCOME__cell_order_lost
			       : OGL__CELL_ORDER_OUTCOME__cell_order_done);
	}
	EXPECT_EQ(0, direct_calls_);
}

/* Guards against finding no relay after all hosts were replaced, because nodes
 * that are down count among the first addresses. */
TEST_F(Relay, NodesThatAreDownDoNotLimitRelays)
{
	begin(2000);
	for (int i = 0; i < 40; i++)
		cell_relay_update_node(
		    relay_, ("a" + std::to_string(i)).c_str(), false, now_);
	now_ += 5 * OGL_SEC;
	cell_relay_update_node(relay_, "z", false, now_);
	step(0);
	start(job1);
	step(10);
	ASSERT_EQ(1u, sent_.size());
	EXPECT_EQ("z", sent_[0].to);
}

TEST_F(Relay, WorkersAreCalledDirectlyWithoutRelay)
{
	begin(2000);
	now_ += 2 * OGL_SEC;
	step(0);
	start(job1);
	step(10);
	EXPECT_EQ(1, direct_calls_);
}

TEST_F(Relay, DelayIsShortestAnswerTime)
{
	begin(2000);
	EXPECT_EQ(0, cell_relay_min_delay(relay_, now_));
	start(job1);
	start(job1);
	step(10);
	now_ += 300 * OGL_MS;
	answer(sent_[0], OGL__CELL_ORDER_OUTCOME__cell_order_done);
	now_ += 50 * OGL_MS;
	answer(sent_[1], OGL__CELL_ORDER_OUTCOME__cell_order_done);
	EXPECT_EQ(310 * OGL_MS, cell_relay_min_delay(relay_, now_));
	EXPECT_EQ(0, cell_relay_min_delay(relay_, now_ + OGL_SEC));
}

/* Guards against a batch beyond the size of a message, which is dropped with all
 * its orders. */
TEST_F(Relay, BatchesAreCutByTheirSize)
{
	const std::string spec(4000, 'x');
	char job[CELL_ID_LEN + 1];
	std::vector<uint64_t> tokens;

	begin(2000);
	for (unsigned i = 0; i < 1200; i++) {
		g_snprintf(job, sizeof job, "%016x", i);
		start(job, "w1", spec);
	}
	step(10);
	ASSERT_EQ(1200u, sent_.size());
	for (const Sent &s : sent_) {
		EXPECT_EQ(spec, s.spec);
		tokens.push_back(s.token);
	}
	for (size_t bytes : message_bytes_) {
		EXPECT_LT(0u, bytes);
		EXPECT_GT(600000u, bytes);
	}
	std::sort(tokens.begin(), tokens.end());
	EXPECT_EQ(tokens.end(), std::unique(tokens.begin(), tokens.end()));
}

/* The node that makes the calls. */
class RelayServe : public testing::Test
{
      protected:
	void SetUp() override
	{
		ops_.start = [](void *ctx, const struct cell_order *o,
				 cell_order_fn *done, void *arg) {
			auto *t = static_cast<RelayServe *>(ctx);

			t->specs_.push_back(text(o->spec));
			t->done_ = done;
			t->arg_ = arg;
		};
		ops_.hold = [](void *ctx, const struct cell_hold *,
				cell_hold_fn *done, void *arg) {
			auto *t = static_cast<RelayServe *>(ctx);

			t->holds_.push_back({done, arg});
		};
		ops_.count = [](void *, const char *, uint64_t) {};
		ops_.read = [](void *ctx, const struct cell_read *r,
				cell_read_fn *done, void *arg) {
			auto *t = static_cast<RelayServe *>(ctx);

			t->read_from_ = r->from;
			t->read_ = done;
			t->arg_ = arg;
		};
		ops_.backend_ctx = this;
		serve_ = cell_relay_serve_init(&ops_, on_send, this);
	}

	void TearDown() override
	{
		if (serve_ != nullptr)
			cell_relay_serve_end(serve_);
	}

	/* digest_of: the spec that the owner means; it sends no digest if
	 * NULL. */
	void serve_start(bool refuse, const std::string *digest_of = nullptr)
	{
		Ogl__CellOrder o = OGL__CELL_ORDER__INIT;
		Ogl__CellOrder *list[] = {&o};
		uint8_t digest[CELL_DIGEST_BYTES];
		Ogl__CellOrders m = OGL__CELL_ORDERS__INIT;

		o.token = ++token_;
		o.job = const_cast<char *>(job1);
		o.addr = const_cast<char *>("10.9.0.1:80");
		o.timeout_ms = 600;
		if (digest_of != nullptr) {
			cell_order_digest(
			    {digest_of->data(), digest_of->size()}, digest);
			o.spec_digest = {sizeof digest, digest};
		}
		m.orders = list;
		m.n_orders = 1;
		cell_relay_serve(serve_, 0, "owner", &m, refuse, now_);
	}

	/* Serves a hold, whose answer has these numbers of rows. */
	void serve_hold(size_t nrunning, size_t nended)
	{
		const std::string checkpoint(1024, 'c');
		struct cell_run_row row = {};
		struct cell_hold_answer a = {};
		Ogl__CellOrder o = OGL__CELL_ORDER__INIT;
		Ogl__CellOrder *list[] = {&o};
		Ogl__CellOrders m = OGL__CELL_ORDERS__INIT;

		o.token = ++token_;
		o.kind = OGL__CELL_ORDER_KIND__cell_order_hold;
		m.orders = list;
		m.n_orders = 1;
		cell_relay_serve(serve_, 0, "owner", &m, false, now_);
		row.checkpoint = checkpoint.c_str();
		std::vector<struct cell_run_row> rows(
		    MAX(nrunning, nended), row);
		a.running = a.ended = rows.data();
		a.nrunning = nrunning;
		a.nended = nended;
		holds_.back().first(holds_.back().second, &a, now_);
	}

	void end_call()
	{
		struct cell_order_answer a = {};

		done_(arg_, &a, now_);
	}

	void step()
	{
		now_ += 10 * OGL_MS;
		cell_relay_serve_step(serve_, now_);
	}

	static void on_send(
	    void *arg, uint32_t, const char *, const Ogl__CellOrderAnswers *m)
	{
		auto *t = static_cast<RelayServe *>(arg);

		t->message_bytes_.push_back(
		    ogl__cell_order_answers__get_packed_size(m));
		for (size_t i = 0; i < m->n_answers; i++) {
			const Ogl__CellOrderAnswer *a = m->answers[i];

			t->rows_ += a->n_running + a->n_ended;
			t->answers_.push_back(a->outcome);
			t->entries_.clear();
			for (size_t k = 0; k < a->n_entries; k++)
				t->entries_.push_back(a->entries[k]->worker);
		}
	}

	/* Reads the list from the offset; the store returns entries of the
	 * named workers.  Result: the workers whose entries the answer has. */
	std::vector<std::string> read_list(
	    uint64_t from, const std::vector<std::string> &workers)
	{
		Ogl__CellOrder o = OGL__CELL_ORDER__INIT;
		Ogl__CellOrder *orders[] = {&o};
		Ogl__CellOrders m = OGL__CELL_ORDERS__INIT;
		struct cell_worker_entry e = {};
		std::vector<struct cell_record> records;
		struct cell_read_answer a = {};
		char none[] = "";

		o.token = ++token_;
		o.kind = OGL__CELL_ORDER_KIND__cell_order_list;
		o.from = from;
		m.orders = orders;
		m.n_orders = 1;
		cell_relay_serve(serve_, 0, "owner", &m, false, now_);
		EXPECT_EQ(from, read_from_);
		e.service = e.addr = e.zone = e.rack = none;
		for (const std::string &w : workers) {
			struct cell_record r = {};

			r.offset = from + records.size();
			r.key = const_cast<char *>(w.c_str());
			r.worker = &e;
			records.push_back(r);
		}
		a.records = records.data();
		a.n = records.size();
		read_(arg_, &a, now_);
		step();
		return entries_;
	}

	struct cell_ops ops_ = {};
	struct cell_relay_serve *serve_ = nullptr;
	std::vector<std::string> specs_;
	std::vector<std::string> entries_;
	std::vector<std::pair<cell_hold_fn *, void *>> holds_;
	std::vector<size_t> message_bytes_;
	size_t rows_ = 0;
	uint64_t read_from_ = 0;
	cell_read_fn *read_ = nullptr;
	std::vector<Ogl__CellOrderOutcome> answers_;
	cell_order_fn *done_ = nullptr;
	void *arg_ = nullptr;
	uint64_t token_ = 0;
	ogl_time now_ = 100 * OGL_SEC;
};

/* The same for the answers. */
TEST_F(RelayServe, AnswersAreCutByTheirSize)
{
	for (int i = 0; i < 10; i++)
		serve_hold(100, 100);
	step();
	EXPECT_EQ(10u, answers_.size());
	EXPECT_EQ(2000u, rows_);
	EXPECT_EQ(5u, message_bytes_.size());
	for (size_t bytes : message_bytes_)
		EXPECT_GT(600000u, bytes);
}

/* If only some rows were sent, the owner would take the other runs for over. */
TEST_F(RelayServe, AnswerTooLargeForAMessageCountsAsLost)
{
	serve_hold(400, 500);
	step();
	ASSERT_EQ(1u, message_bytes_.size());
	EXPECT_GT(1048576u, message_bytes_[0]);
	EXPECT_EQ(900u, rows_);
	EXPECT_EQ(OGL__CELL_ORDER_OUTCOME__cell_order_done, answers_[0]);
	serve_hold(600, 500);
	step();
	ASSERT_EQ(2u, message_bytes_.size());
	EXPECT_GT(1048576u, message_bytes_[1]);
	EXPECT_EQ(900u, rows_);
	EXPECT_EQ(OGL__CELL_ORDER_OUTCOME__cell_order_lost, answers_[1]);
}

/* Entries that don't fit are read again from the offset of the last one. */
TEST_F(RelayServe, ListIsCutByItsSize)
{
	std::vector<std::string> workers;

	for (int i = 0; i < 2000; i++)
		workers.push_back(std::to_string(i) + std::string(400, 'w'));
	size_t n = read_list(7, workers).size();
	ASSERT_EQ(1u, message_bytes_.size());
	EXPECT_GT(600000u, message_bytes_[0]);
	EXPECT_LT(1000u, n);
	ASSERT_GT(2000u, n);
	EXPECT_EQ(2000 - n,
	    read_list(7 + n, {workers.begin() + (long)n, workers.end()})
		.size());
}

/* Guards against the spec of a submission that was refused, whose caller has
 * submitted another one under the same id since. */
TEST_F(RelayServe, SpecOfAnotherSubmissionIsNotUsed)
{
	cell_relay_serve_add_spec(serve_, job1, ogl_str("refused"));
	serve_start(false, &kSpec);
	step();
	EXPECT_TRUE(specs_.empty());
	ASSERT_EQ(1u, answers_.size());
	EXPECT_EQ(OGL__CELL_ORDER_OUTCOME__cell_order_lacks_spec, answers_[0]);
	cell_relay_serve_add_spec(serve_, job1, {kSpec.data(), kSpec.size()});
	serve_start(false, &kSpec);
	ASSERT_EQ(1u, specs_.size());
	EXPECT_EQ(kSpec, specs_[0]);
	end_call();
}

TEST_F(Relay, StartWithoutSpecNamesItsDigest)
{
	uint8_t digest[CELL_DIGEST_BYTES];

	begin(2000);
	cell_relay_note_spec(relay_, job1, "n2");
	start(job1);
	step(10);
	ASSERT_EQ(1u, sent_.size());
	EXPECT_FALSE(sent_[0].with_spec);
	cell_order_digest({kSpec.data(), kSpec.size()}, digest);
	EXPECT_EQ(std::string(digest, digest + sizeof digest), sent_[0].digest);
}

TEST_F(RelayServe, StartUsesSpecOfForwardedJob)
{
	cell_relay_serve_add_spec(serve_, job1, {kSpec.data(), kSpec.size()});
	serve_start(false);
	ASSERT_EQ(1u, specs_.size());
	EXPECT_EQ(kSpec, specs_[0]);
	end_call();
	EXPECT_TRUE(answers_.empty());
	step();
	ASSERT_EQ(1u, answers_.size());
	EXPECT_EQ(OGL__CELL_ORDER_OUTCOME__cell_order_done, answers_[0]);
}

TEST_F(RelayServe, StartWithoutSpecIsAnsweredLacksSpec)
{
	serve_start(false);
	step();
	EXPECT_TRUE(specs_.empty());
	ASSERT_EQ(1u, answers_.size());
	EXPECT_EQ(OGL__CELL_ORDER_OUTCOME__cell_order_lacks_spec, answers_[0]);
}

/* Guards against more connections to a worker than it accepts. */
TEST_F(RelayServe, OrdersToOneWorkerAreQueued)
{
	cell_relay_serve_add_spec(serve_, job1, {kSpec.data(), kSpec.size()});
	serve_start(false);
	serve_start(false);
	EXPECT_EQ(1u, specs_.size());
	end_call();
	EXPECT_EQ(2u, specs_.size());
	end_call();
	step();
	EXPECT_EQ(2u, answers_.size());
}

/* Guards against sending a start after the timeout of its owner. */
TEST_F(RelayServe, QueuedOrderIsNotSentAfterTimeout)
{
	cell_relay_serve_add_spec(serve_, job1, {kSpec.data(), kSpec.size()});
	serve_start(false);
	serve_start(false);
	now_ += OGL_SEC;
	end_call();
	EXPECT_EQ(1u, specs_.size());
	step();
	ASSERT_EQ(2u, answers_.size());
	EXPECT_EQ(OGL__CELL_ORDER_OUTCOME__cell_order_not_sent, answers_[1]);
}

/* Guards against carrying out an order long after the timeout of its owner. */
TEST_F(RelayServe, RefusedOrdersAreNotCarriedOut)
{
	cell_relay_serve_add_spec(serve_, job1, {kSpec.data(), kSpec.size()});
	serve_start(true);
	step();
	EXPECT_TRUE(specs_.empty());
	ASSERT_EQ(1u, answers_.size());
	EXPECT_EQ(OGL__CELL_ORDER_OUTCOME__cell_order_not_sent, answers_[0]);
}

using Names = std::vector<std::string>;

TEST_F(RelayServe, UnchangedEntriesAreOmitted)
{
	EXPECT_EQ(Names({"w1", "w2"}), read_list(10, {"w1", "w2"}));
	/* The last entry is always sent: its offset says where to read on. */
	EXPECT_EQ(Names({"w3", "w2"}), read_list(12, {"w1", "w3", "w2"}));
}

/* Guards against an entry that the owner never gets, because the answer with it
 * was lost. */
TEST_F(RelayServe, EntriesOfLostAnswerAreSentAgain)
{
	EXPECT_EQ(Names({"w1", "w2"}), read_list(10, {"w1", "w2"}));
	EXPECT_EQ(Names({"w1", "w2"}), read_list(10, {"w1", "w2"}));
}

/* Guards against use of freed memory by a call that ends after
 * cell_relay_serve_end. */
TEST_F(RelayServe, CallMayEndAfterServeEnd)
{
	cell_relay_serve_add_spec(serve_, job1, {kSpec.data(), kSpec.size()});
	serve_start(false);
	cell_relay_serve_end(serve_);
	serve_ = nullptr;
	end_call();
	EXPECT_TRUE(answers_.empty());
}

} // namespace
