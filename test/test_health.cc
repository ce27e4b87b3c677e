/*
 * States of workers, by scripted patterns of ends of runs in a cell of many
 * workers.  The parameters are those of cell/health.c.
 */

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

extern "C" {
#include "cell/health.h"
}

namespace
{

class Health : public testing::Test
{
      protected:
	void SetUp() override
	{
		health_ = ogl_health_init_with(
		    &cell_health_params,
		    [](void *arg, const struct ogl_health_change *c, ogl_time) {
			    auto *t = static_cast<Health *>(arg);

			    t->changes_.push_back(*c);
			    if (c->state != OGL_HEALTH_SOUND)
				    t->ever_bad_++;
		    },
		    this);
		review();
	}

	void TearDown() override
	{
		ogl_health_end(health_);
	}

	void review()
	{
		ogl_health_review(health_, workers_, now_);
	}

	/* One run of a job, which also counts the time. */
	void run(uint32_t w, uint64_t job, bool ok)
	{
		ogl_health_count(
		    health_, w, OGL_HEALTH_RUN_FAILED, job, ok, now_);
	}

	void pass(ogl_time time)
	{
		for (ogl_time end = now_ + time; now_ < end;) {
			now_ += 200 * OGL_MS;
			review();
		}
	}

	bool chance(double p)
	{
		return std::uniform_real_distribution<>(0, 1)(random_) < p;
	}

	/* Runs a job of its own on each worker, `rounds` times. */
	void traffic(unsigned rounds, std::function<bool(uint32_t)> fails)
	{
		for (unsigned i = 0; i < rounds; i++) {
			for (uint32_t w = 0; w < workers_; w++)
				run(w, ++job_, !fails(w));
			pass(200 * OGL_MS);
		}
	}

	/* Runs of worker 0 until it is found; at most `max`.  The others fail
	 * as usual meanwhile. */
	unsigned runs_until_found(double failing, double usual, unsigned max)
	{
		unsigned n = 0;

		while (n < max && state(0) == OGL_HEALTH_SOUND) {
			n++;
			traffic(1, [&](uint32_t w) {
				return chance(w == 0 ? failing : usual);
			});
		}
		return n;
	}

	enum ogl_health_state state(uint32_t w)
	{
		return ogl_health_state_of(health_, w);
	}

	unsigned count(enum ogl_health_state s)
	{
		unsigned n = 0;

		for (uint32_t w = 0; w < workers_; w++)
			n += state(w) == s;
		return n;
	}

	struct ogl_health *health_;
	ogl_time now_ = OGL_SEC;
	uint32_t workers_ = 40;
	uint64_t job_ = 0;
	unsigned ever_bad_ = 0;
	std::mt19937 random_{1};
	std::vector<struct ogl_health_change> changes_;
};

} // namespace

/* Guards against a worker that fails everything and is given more and more
 * work, because it always has room. */
TEST_F(Health, DeadWorkerIsFoundWithinFiveRuns)
{
	for (double usual : {0.0, 0.05}) {
		traffic(
		    100, [&](uint32_t w) { return w > 0 && chance(usual); });
		for (int i = 0; i < 20; i++) {
			unsigned n = runs_until_found(1, usual, 100);

			EXPECT_GE(n, 3u);
			EXPECT_LE(n, 5u);
			ogl_health_forget(health_, 0);
		}
	}
}

/* Guards against dead workers that raise the usual rate of failures, as they
 * end runs sooner than others, until it hides them. */
TEST_F(Health, DeadWorkersDoNotHideEachOther)
{
	traffic(1, [](uint32_t) { return false; });
	for (int i = 0; i < 8; i++) {
		for (uint32_t w = 0; w < 10; w++) {
			run(w, ++job_, false);
			now_ += 20 * OGL_MS;
		}
		review();
	}
	EXPECT_EQ(10u, count(OGL_HEALTH_SUSPECT) + count(OGL_HEALTH_ASIDE));
}

/* Guards against a worker that fails two runs in five for ever, since a success
 * in between clears it. */
TEST_F(Health, GreyWorkerIsFoundWithinTwentyRuns)
{
	for (double usual : {0.0, 0.05}) {
		std::vector<unsigned> runs;

		traffic(40, [&](uint32_t w) { return w > 0 && chance(usual); });
		for (int i = 0; i < 201; i++) {
			runs.push_back(
			    runs_until_found(0.4 + 0.6 * usual, usual, 200));
			ogl_health_forget(health_, 0);
		}
		std::sort(runs.begin(), runs.end());
		printf("usual rate %.2f: half found after %u runs, nine in ten "
		       "after %u\n",
		    usual, runs[100], runs[181]);
		EXPECT_LE(runs[100], usual > 0 ? 20u : 12u);
	}
}

/* Guards against sound workers that get less work because some runs always
 * fail. */
TEST_F(Health, UsualErrorRateMakesNobodySuspect)
{
	workers_ = 350;
	traffic(300, [&](uint32_t) { return chance(0.05); });
	EXPECT_EQ(0u, ever_bad_);
}

/* Guards against blaming workers for jobs that fail wherever they run, also
 * when all their tasks fail at the same time. */
TEST_F(Health, PoisonousJobsBlameNoWorker)
{
	traffic(20, [&](uint32_t) { return chance(0.02); });
	for (int i = 0; i < 50; i++) {
		uint64_t poison = ++job_;

		for (uint32_t w = 0; w < workers_; w++) {
			for (int task = 0; task < 3; task++)
				run(w, poison, false);
		}
		traffic(1, [](uint32_t) { return false; });
	}
	/* One that may run on a single worker only. */
	for (int task = 0; task < 20; task++)
		run(0, job_ + 1, false);
	EXPECT_EQ(0u, ever_bad_);
}

/* Guards against blaming workers for a bad link of the owner. */
TEST_F(Health, CallsThatAllWorkersLeaveUnansweredBlameNoWorker)
{
	for (int i = 0; i < 100; i++) {
		for (uint32_t w = 0; w < workers_; w++)
			ogl_health_count(health_, w,
			    OGL_HEALTH_START_UNANSWERED, 0, chance(0.5), now_);
		pass(200 * OGL_MS);
	}
	EXPECT_EQ(0u, ever_bad_);
}

/* Guards against starts for ever on a worker that alone answers none. */
TEST_F(Health, WorkerThatAnswersNoStartIsSuspect)
{
	for (int i = 0; i < 12; i++) {
		for (uint32_t w = 0; w < workers_; w++)
			ogl_health_count(health_, w,
			    OGL_HEALTH_START_UNANSWERED, 0, w > 0, now_);
		pass(600 * OGL_MS);
	}
	EXPECT_EQ(OGL_HEALTH_SUSPECT, state(0));
	ASSERT_EQ(1u, changes_.size());
	EXPECT_EQ(OGL_HEALTH_START_UNANSWERED, changes_[0].why);
}

/* Guards against never using a worker again that is well again, and against
 * using one as before that is not. */
TEST_F(Health, AsideWorkerIsProbedAndSoundAgainWithinSeconds)
{
	traffic(20, [](uint32_t) { return false; });
	for (int i = 0; i < 8 && state(0) != OGL_HEALTH_ASIDE; i++)
		run(0, ++job_, false);
	ASSERT_EQ(OGL_HEALTH_ASIDE, state(0));
	pass(2 * OGL_SEC);
	ASSERT_EQ(OGL_HEALTH_SUSPECT, state(0));
	run(0, ++job_, false);
	EXPECT_EQ(OGL_HEALTH_ASIDE, state(0));
	EXPECT_EQ(now_ + 4 * OGL_SEC, changes_.back().until);
	pass(4 * OGL_SEC);
	for (int i = 0; i < 8; i++) {
		run(0, ++job_, true);
		pass(200 * OGL_MS);
	}
	EXPECT_EQ(OGL_HEALTH_SOUND, state(0));
}

/* Guards against evidence that stays when a suspect worker gets no runs. */
TEST_F(Health, EvidenceFadesWithoutRuns)
{
	traffic(20, [](uint32_t) { return false; });
	runs_until_found(1, 0, 10);
	ASSERT_EQ(OGL_HEALTH_SUSPECT, state(0));
	pass(30 * OGL_SEC);
	EXPECT_EQ(OGL_HEALTH_SOUND, state(0));
}

/* Guards against successes that do not count after a cooldown without runs: one
 * more failure would set the worker aside again. */
TEST_F(Health, SuccessesCountAgainstWhatIsLeftAfterACooldown)
{
	traffic(20, [](uint32_t) { return false; });
	for (int i = 0; i < 8 && state(0) != OGL_HEALTH_ASIDE; i++)
		run(0, ++job_, false);
	pass(15 * OGL_SEC);
	ASSERT_EQ(OGL_HEALTH_SOUND, state(0));
	ASSERT_GT(ogl_health_bits(health_, 0, now_), 10);
	for (int i = 0; i < 40; i++)
		run(0, ++job_, true);
	EXPECT_EQ(0, ogl_health_bits(health_, 0, now_));
	run(0, ++job_, false);
	EXPECT_EQ(OGL_HEALTH_SOUND, state(0));
}

/* Guards against a worker that failed so often while no more could be set aside
 * that it stays suspect for minutes after it is mended. */
TEST_F(Health, LongFailingWorkerIsSoundSoonAfterItIsMended)
{
	workers_ = 2; /* too few for one to be aside */
	review();
	for (int i = 0; i < 2000; i++) {
		run(0, ++job_, false);
		run(1, ++job_, false);
		run(1, ++job_, true);
		run(1, ++job_, true);
		if (i % 10 == 0)
			pass(200 * OGL_MS);
	}
	ASSERT_EQ(OGL_HEALTH_SUSPECT, state(0));
	for (int i = 0; i < 100 && state(0) != OGL_HEALTH_SOUND; i++) {
		run(0, ++job_, true);
		pass(200 * OGL_MS);
	}
	EXPECT_EQ(OGL_HEALTH_SOUND, state(0));
}

/* Guards against a worker whose good phases reset its cooldown each time. */
TEST_F(Health, CooldownOfFlappingWorkerGrowsToSixteenSeconds)
{
	ogl_time longest = 0;

	traffic(20, [](uint32_t) { return false; });
	for (int i = 0; i < 6; i++) {
		for (int k = 0; k < 20 && state(0) != OGL_HEALTH_ASIDE; k++)
			run(0, ++job_, false);
		ASSERT_EQ(OGL_HEALTH_ASIDE, state(0));
		longest = MAX(longest, changes_.back().until - now_);
		pass(changes_.back().until - now_);
		for (int k = 0; k < 10; k++)
			run(0, ++job_, true);
		ASSERT_EQ(OGL_HEALTH_SOUND, state(0));
	}
	EXPECT_EQ(16 * OGL_SEC, longest);
}

/* Guards against a cell that loses most workers to a fault they all have. */
TEST_F(Health, AtMostATenthIsAsideTheMostSuspectFirst)
{
	traffic(20, [](uint32_t) { return false; });
	/* Two in five fail: worker 0 all runs, the others nine in ten. */
	for (int i = 0; i < 40; i++) {
		for (uint32_t w = 0; w < workers_; w++)
			run(w, ++job_, w >= 16 || (w > 0 && chance(0.1)));
		review();
		EXPECT_LE(count(OGL_HEALTH_ASIDE), workers_ / 10);
		EXPECT_LE(count(OGL_HEALTH_ASIDE) + count(OGL_HEALTH_SUSPECT),
		    workers_ / 3);
	}
	EXPECT_EQ(workers_ / 10, count(OGL_HEALTH_ASIDE));
	EXPECT_EQ(OGL_HEALTH_ASIDE, state(0));
}
