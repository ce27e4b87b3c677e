/* Group commit, driven answer by answer. */

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

extern "C" {
#include "journal.h"
}

namespace
{

constexpr ogl_time kSecond = 1000000;

struct Store {
	cell_append_fn *done = nullptr;
	void *arg = nullptr;
	int appends = 0;
	std::vector<uint64_t> seqs;
	std::vector<void *> args;
	std::set<void *> open; /* not answered yet */
};

void
on_append(
    void *ctx, const struct cell_append *a, cell_append_fn *done, void *arg)
{
	auto *s = static_cast<Store *>(ctx);

	s->done = done;
	s->arg = arg;
	s->appends++;
	s->seqs.push_back(a->seq);
	s->args.push_back(arg);
	s->open.insert(arg);
}

void
on_log(void *, const char *, const char *, const char *)
{
}

class Journal : public testing::Test
{
      protected:
	void SetUp() override
	{
		ops_.append = on_append;
		ops_.log = on_log;
		ops_.count = [](void *, const char *, uint64_t) {};
		ops_.outside = &store_;
		journal_ = cell_journal_init(
		    &ops_, 0, [](void *, ogl_time) {}, nullptr);
		cell_journal_open(journal_, 7, 0);
	}

	/* Every exchange ends in one answer. */
	void TearDown() override
	{
		std::set<void *> open = store_.open;

		cell_journal_close(journal_, now_);
		for (void *arg : open)
			answer_to(arg, OGL_IO_LOST);
		cell_journal_end(journal_);
		for (struct cell_job *j : jobs_)
			cell_job_free(j);
	}

	struct cell_job *job(const std::string &spec = "")
	{
		auto *d = static_cast<Ogl__CellJob *>(
		    g_malloc0(sizeof(Ogl__CellJob)));

		ogl__cell_job__init(d);
		d->id = g_strdup("0123456789abcdef");
		d->spec = g_strdup(spec.c_str());
		jobs_.push_back(cell_job_new(d, now_));
		return jobs_.back();
	}

	void submit(struct cell_job *j, std::vector<cell_fate> *told)
	{
		cell_journal_submit(
		    journal_, j,
		    [](void *arg, uint64_t, enum cell_fate f, ogl_time) {
			    static_cast<std::vector<cell_fate> *>(arg)
				->push_back(f);
		    },
		    told, 0, now_);
	}

	void step()
	{
		now_ += kSecond;
		cell_journal_step(journal_, now_);
	}

	void step_ms(ogl_time ms)
	{
		now_ += ms * OGL_MS;
		cell_journal_step(journal_, now_);
	}

	void answer_to(void *arg, enum ogl_io io)
	{
		struct cell_append_answer a = {};

		a.io = io;
		store_.open.erase(arg);
		store_.done(arg, &a, now_);
	}

	/* The answer to the n-th sending, from 0. */
	void answer_nth(size_t n, enum ogl_io io)
	{
		answer_to(store_.args[n], io);
	}

	/* An append that takes so long makes the store a slow one. */
	void slow_store()
	{
		std::vector<cell_fate> told;

		submit(job(), &told);
		step_ms(20);
		now_ += 120 * OGL_MS;
		answer(OGL_IO_OK);
		store_.seqs.clear();
		store_.args.clear();
	}

	void answer(enum ogl_io io)
	{
		answer_to(store_.arg, io);
	}

	Store store_;
	struct cell_ops ops_ = {};
	struct cell_journal *journal_ = nullptr;
	std::vector<struct cell_job *> jobs_;
	ogl_time now_ = 100 * kSecond;
};

/*
 * A caller's submission comes twice, since its entry repeats a call that has
 * no answer yet; the store then refuses the job.  If only the first copy were
 * told, the second would be told "stored" with whatever is written next, and
 * by its id a job handed in anew would count as stored that is not: its caller
 * sees it accepted, and after the next takeover nobody knows it.
 */
TEST_F(Journal, ARefusalIsToldToAllCopiesOfASubmission)
{
	std::vector<cell_fate> first, copy, later;
	struct cell_job *j = job();

	submit(j, &first);
	submit(j, &copy);
	step();
	submit(j, &later);
	answer(OGL_IO_REFUSED);

	EXPECT_EQ(std::vector<cell_fate>{CELL_NOT_STORED}, first);
	EXPECT_EQ(std::vector<cell_fate>{CELL_NOT_STORED}, copy);
	EXPECT_EQ(std::vector<cell_fate>{CELL_NOT_STORED}, later);
	step();
	EXPECT_EQ(1, store_.appends);
	EXPECT_TRUE(cell_journal_idle(journal_));
}

/*
 * More comes in than one append takes, so the second half waits for the next;
 * the first half is stored, the second refused.  Told "refused", callers of
 * the first half would see jobs run that were never accepted.
 */
TEST_F(Journal, ARefusalOfTheSecondHalfLeavesTheFirst)
{
	std::vector<cell_fate> first, second;
	struct cell_job *big = job(std::string(600 * 1024, 'x'));
	struct cell_job *j = job();

	submit(big, &first);
	submit(j, &second);
	step();
	answer(OGL_IO_OK);
	step();
	answer(OGL_IO_REFUSED);
	EXPECT_EQ(std::vector<cell_fate>{CELL_NOT_STORED}, second);
	step();
	EXPECT_EQ(std::vector<cell_fate>{CELL_STORED}, first);
}

/* The other jobs of a refused batch are not touched by it: what was no new
 * job is written again. */
TEST_F(Journal, ARefusalKeepsWhatIsNotASubmission)
{
	std::vector<cell_fate> told;
	struct cell_job *known = job();
	struct cell_job *j = job();

	known->stored = true;
	cell_journal_mark(journal_, known, true, now_);
	submit(j, &told);
	step();
	answer(OGL_IO_REFUSED);

	EXPECT_EQ(std::vector<cell_fate>{CELL_NOT_STORED}, told);
	step();
	EXPECT_EQ(2, store_.appends);
	answer(OGL_IO_OK);
	EXPECT_TRUE(cell_journal_idle(journal_));
}

/*
 * The store takes sixty times as long from one moment to the next.  Were the
 * answer under way given up for a new one, callers would wait for both.
 */
TEST_F(Journal, AnOverdueAppendIsRepeatedAndItsFirstAnswerCounts)
{
	std::vector<cell_fate> told;

	submit(job(), &told);
	step_ms(20);
	step_ms(160);
	EXPECT_EQ((std::vector<uint64_t>{1, 1}), store_.seqs);
	answer_nth(0, OGL_IO_OK);
	EXPECT_EQ(std::vector<cell_fate>{CELL_STORED}, told);
	answer_nth(1, OGL_IO_OK);
	EXPECT_TRUE(cell_journal_idle(journal_));
}

/* Guards against waits that grow with each lost answer. */
TEST_F(Journal, ALostAnswerDoesNotDelayTheNextRepeat)
{
	std::vector<cell_fate> told;

	submit(job(), &told);
	step_ms(20);
	step_ms(160);
	step_ms(160);
	EXPECT_EQ((std::vector<uint64_t>{1, 1, 1}), store_.seqs);
	now_ += 4 * OGL_MS;
	answer_nth(2, OGL_IO_OK);
	submit(job(), &told);
	step_ms(20);
	step_ms(160);
	step_ms(160);
	EXPECT_EQ((std::vector<uint64_t>{1, 1, 1, 2, 2, 2}), store_.seqs);
	answer_nth(5, OGL_IO_OK);
}

/* Guards against short jobs made late by the wait for a lost answer. */
TEST_F(Journal, ALostAnswerIsNoticedWithinShortJobsSlack)
{
	std::vector<cell_fate> told;

	submit(job(), &told);
	step_ms(20);
	now_ += 4 * OGL_MS;
	answer(OGL_IO_OK);
	submit(job(), &told);
	step_ms(20);
	step_ms(60);
	EXPECT_EQ((std::vector<uint64_t>{1, 2, 2}), store_.seqs);
	answer(OGL_IO_OK);
}

/* Guards against a flood of repeats to a store that is away, and against none in
 * the second after it is back. */
TEST_F(Journal, RepeatsToAStoreThatIsAwayBecomeRarer)
{
	std::vector<cell_fate> told;
	std::vector<size_t> sent;

	submit(job(), &told);
	for (int half = 0; half < 4; half++) {
		for (int i = 0; i < 50; i++)
			step_ms(10);
		sent.push_back(store_.seqs.size());
	}
	EXPECT_EQ((std::vector<size_t>{6, 7, 8, 8}), sent);
	answer(OGL_IO_OK);
}

/* One sending is refused while the answer to another is missing: that one may
 * have taken effect, and a caller told "refused" would see its job run. */
TEST_F(Journal, NoRefusalWhileASendingMayTakeEffect)
{
	std::vector<cell_fate> told;

	submit(job(), &told);
	step_ms(20);
	step_ms(160);
	answer_nth(1, OGL_IO_REFUSED);
	EXPECT_TRUE(told.empty());
	answer_nth(0, OGL_IO_LOST);
	EXPECT_TRUE(told.empty());
	step_ms(120);
	answer(OGL_IO_OK);
	EXPECT_EQ(std::vector<cell_fate>{CELL_STORED}, told);
}

/* A slow store: a call that comes just after an append was sent would wait for
 * that one and then for its own. */
TEST_F(Journal, TheNextAppendToASlowStoreDoesNotWaitForTheLast)
{
	std::vector<cell_fate> first, second;

	slow_store();
	submit(job(), &first);
	step_ms(20);
	submit(job(), &second);
	step_ms(60);
	EXPECT_EQ((std::vector<uint64_t>{2, 3}), store_.seqs);
	answer_nth(0, OGL_IO_OK);
	EXPECT_EQ(std::vector<cell_fate>{CELL_STORED}, first);
	EXPECT_TRUE(second.empty());
	answer_nth(1, OGL_IO_OK);
	EXPECT_EQ(std::vector<cell_fate>{CELL_STORED}, second);
}

/* Answers cross on their way; the store takes numbers only in order. */
TEST_F(Journal, ALaterAnswerTellsThatEarlierAppendsWereTaken)
{
	std::vector<cell_fate> first, second;

	slow_store();
	submit(job(), &first);
	step_ms(20);
	submit(job(), &second);
	step_ms(60);
	answer_nth(1, OGL_IO_OK);
	EXPECT_EQ(std::vector<cell_fate>{CELL_STORED}, first);
	EXPECT_EQ(std::vector<cell_fate>{CELL_STORED}, second);
	answer_nth(0, OGL_IO_LOST);
	EXPECT_TRUE(cell_journal_idle(journal_));
}

/* The store refuses the first of two; the second, out of turn, is refused for
 * its number.  Neither was taken, both callers are told so, and the number is
 * used again. */
TEST_F(Journal, TwoRefusedAppendsAreBothTakenBack)
{
	std::vector<cell_fate> first, second, third;

	slow_store();
	submit(job(), &first);
	step_ms(20);
	submit(job(), &second);
	step_ms(60);
	answer_nth(0, OGL_IO_REFUSED);
	EXPECT_TRUE(first.empty());
	answer_nth(1, OGL_IO_REFUSED);
	EXPECT_EQ(std::vector<cell_fate>{CELL_NOT_STORED}, first);
	EXPECT_EQ(std::vector<cell_fate>{CELL_NOT_STORED}, second);
	submit(job(), &third);
	step();
	EXPECT_EQ((std::vector<uint64_t>{2, 3, 2}), store_.seqs);
	answer(OGL_IO_OK);
	EXPECT_EQ(std::vector<cell_fate>{CELL_STORED}, third);
}

/* The first is refused and the second lost: the second can still be taken once
 * the first is, so nobody is refused and both are sent again, in order. */
TEST_F(Journal, ALostAppendBehindARefusedOneIsNotRefused)
{
	std::vector<cell_fate> first, second;

	slow_store();
	submit(job(), &first);
	step_ms(20);
	submit(job(), &second);
	step_ms(60);
	answer_nth(0, OGL_IO_REFUSED);
	answer_nth(1, OGL_IO_LOST);
	EXPECT_TRUE(first.empty());
	EXPECT_TRUE(second.empty());
	step_ms(120);
	EXPECT_EQ((std::vector<uint64_t>{2, 3, 2}), store_.seqs);
	answer_nth(2, OGL_IO_OK);
	step_ms(1);
	EXPECT_EQ(3u, store_.seqs.back());
	answer(OGL_IO_OK);
	EXPECT_EQ(std::vector<cell_fate>{CELL_STORED}, second);
}

} // namespace
