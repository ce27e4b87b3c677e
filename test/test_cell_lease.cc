/* Leases by random clocks: no owner counts with an end that is too early. */

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

extern "C" {
#include "lease.h"
}

namespace
{

constexpr int kRounds = 20000;

/* An incarnation of a worker, whose clock starts at any value and is exact or up
 * to 2% slow. */
class Worker
{
      public:
	Worker(uint64_t start_ms, double rate, uint32_t max_ms)
	    : start_ms_(start_ms), rate_(rate), max_ms_(max_ms)
	{
	}

	uint64_t clock_ms(ogl_time t) const
	{
		return start_ms_ + static_cast<uint64_t>(
				       static_cast<double>(t) / OGL_MS * rate_);
	}

	/* An order that asks for a lease arrives. */
	void grant(uint64_t end_ms, ogl_time t)
	{
		end_ms_ =
		    std::max(end_ms_, std::min(end_ms, clock_ms(t) + max_ms_));
	}

	bool lease_expired(ogl_time t) const
	{
		return clock_ms(t) >= end_ms_;
	}

	uint64_t lease_left_ms(ogl_time t) const
	{
		return end_ms_ - std::min(end_ms_, clock_ms(t));
	}

	uint32_t max_ms() const
	{
		return max_ms_;
	}

      private:
	uint64_t start_ms_;
	double rate_;
	uint32_t max_ms_;
	uint64_t end_ms_ = 0;
};

class Lease : public testing::Test
{
      protected:
	ogl_time ms(int below)
	{
		return static_cast<ogl_time>(rand_() % below) * OGL_MS;
	}

	Worker worker()
	{
		return Worker(rand_() % 10000000,
		    0.98 + 0.02 * static_cast<double>(rand_() % 101) / 100,
		    rand_() % 2 == 0 ? 6000 : 10000);
	}

	/* The owner hears the worker's clock; the answer takes up to 2 s. */
	void read(struct cell_lease *l, const Worker &w)
	{
		uint64_t clock = w.clock_ms(now_);

		now_ += ms(2000);
		cell_lease_read_clock(l, clock, now_);
	}

	void answer_first(struct cell_lease *l, const Worker &w,
	    enum cell_lease_earlier earlier)
	{
		uint64_t clock = w.clock_ms(now_);

		now_ += ms(2000);
		cell_lease_first_answer(l, clock, w.max_ms(), earlier, now_);
	}

	/* The next incarnation answers. */
	void restart(struct cell_lease *l, const Worker &next)
	{
		uint64_t clock = next.clock_ms(now_);

		now_ += ms(2000);
		cell_lease_next_incarnation(l, clock, next.max_ms(), now_);
	}

	/* Idle for up to an hour, then a start that arrives late. */
	void start_after_idling(struct cell_lease *l, Worker *w)
	{
		uint64_t end;

		now_ += ms(rand_() % 2 == 0 ? 3600000 : 60000);
		end = cell_lease_extend(l, w->max_ms(), now_);
		now_ += ms(1000);
		w->grant(end, now_);
	}

	std::mt19937 rand_{7};
	ogl_time now_ = 0;
};

/* Guards against tasks that start elsewhere while their worker's clock has not
 * reached the end of the lease. */
TEST_F(Lease, HasExpiredWhenItsOwnerCountsItAsExpired)
{
	for (int i = 0; i < kRounds; i++) {
		Worker w = worker();
		struct cell_lease l = {};

		now_ = ms(3600000);
		read(&l, w);
		start_after_idling(&l, &w);
		if (rand_() % 2 == 0)
			read(&l, w);
		EXPECT_TRUE(w.lease_expired(cell_lease_expires_at(&l)));
	}
}

/* Guards against a new owner that counts with a shorter lease than earlier
 * owners asked for. */
TEST_F(Lease, HasExpiredWhenANewOwnerThatHeardTheWorkerCountsSo)
{
	for (int i = 0; i < kRounds; i++) {
		Worker w = worker();

		now_ = ms(3600000);
		for (int owner = 0; owner < 3; owner++) {
			struct cell_lease l = {};

			answer_first(&l, w, CELL_LEASE_OF_THIS);
			EXPECT_TRUE(w.lease_expired(cell_lease_expires_at(&l)));
			start_after_idling(&l, &w);
		}
	}
}

/* Guards against a lease of a restarted worker that ends later than the owner
 * counts with, because a call meant for the former incarnation asked for it. */
TEST_F(Lease, HasExpiredWhenItWasAskedForOnTheClockOfAFormerIncarnation)
{
	for (int i = 0; i < kRounds; i++) {
		Worker lives[] = {worker(), worker(), worker()};
		struct cell_lease l = {};
		uint64_t end = 0;

		now_ = ms(3600000);
		answer_first(&l, lives[0], CELL_LEASE_NONE);
		for (int n = 1; n < 3; n++) {
			now_ += ms(6000);
			end = std::max(end, cell_lease_extend(&l, 10000, now_));
			now_ += ms(1500);
			lives[n].grant(end, now_);
			restart(&l, lives[n]);
			EXPECT_TRUE(
			    lives[n].lease_expired(cell_lease_expires_at(&l)));
		}
	}
}

/* The same for calls of an earlier owner, whose ends are not known. */
TEST_F(Lease, HasExpiredWhenAnEarlierOwnerAskedForItOnAnyClock)
{
	for (int i = 0; i < kRounds; i++) {
		Worker w = worker();
		struct cell_lease l = {};

		now_ = ms(13000);
		w.grant(UINT64_MAX, now_);
		now_ += ms(500);
		answer_first(&l, w, CELL_LEASE_OF_ANY);
		EXPECT_TRUE(w.lease_expired(cell_lease_expires_at(&l)));
	}
}

/* The same where that call reaches the incarnation after the one that has
 * answered this owner. */
TEST_F(Lease, HasExpiredWhenAnEarlierOwnerAskedTheNextIncarnation)
{
	for (int i = 0; i < kRounds; i++) {
		Worker next = worker();
		struct cell_lease l = {};

		now_ = ms(3600000);
		answer_first(&l, worker(), CELL_LEASE_OF_THIS);
		now_ += ms(11000);
		next.grant(UINT64_MAX, now_);
		restart(&l, next);
		EXPECT_TRUE(next.lease_expired(cell_lease_expires_at(&l)));
	}
}

/* Guards against tasks that wait for the longest lease although no call can
 * have asked for one. */
TEST_F(Lease, IsNotTheLongestWithoutCallsThatCanHaveAskedForIt)
{
	for (int i = 0; i < kRounds; i++) {
		struct cell_lease l = {};

		now_ = ms(3600000);
		answer_first(&l, worker(), CELL_LEASE_NONE);
		cell_lease_extend(&l, 10000, now_);
		now_ += 15 * OGL_SEC;
		restart(&l, worker());
		EXPECT_FALSE(cell_lease_is_longest(&l, now_));
	}
}

/* The same where no new owner reaches the worker: the last one to give it work
 * goes on for a second after it was replaced. */
TEST_F(Lease, HasExpiredWhenANewOwnerThatHeardNothingCountsSo)
{
	for (int i = 0; i < kRounds; i++) {
		Worker w = worker();
		struct cell_lease l = {};
		ogl_time replaced;

		now_ = ms(3600000);
		read(&l, w);
		start_after_idling(&l, &w);
		replaced = now_;
		now_ += ms(1000);
		w.grant(cell_lease_extend(&l, w.max_ms(), now_), now_);
		EXPECT_TRUE(
		    w.lease_expired(cell_lease_all_expired_at(replaced)));
		EXPECT_TRUE(w.lease_expired(
		    cell_lease_all_expired_at(replaced + ms(5000))));
	}
}

/* Guards against leases of no use: a run would lapse before its first hold. */
TEST_F(Lease, LastsForSecondsUnlessTheClockIsOld)
{
	for (int i = 0; i < kRounds; i++) {
		Worker w = worker();
		struct cell_lease l = {};

		now_ = ms(3600000);
		cell_lease_read_clock(&l, w.clock_ms(now_), now_);
		now_ += ms(200000);
		w.grant(cell_lease_extend(&l, w.max_ms(), now_), now_);
		EXPECT_TRUE(cell_lease_clock_old(&l, now_) ||
			    w.lease_left_ms(now_) >= 2000);
	}
}

} // namespace
