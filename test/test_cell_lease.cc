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

/* A worker whose clock is exact or up to 2% slow. */
class Worker
{
      public:
	Worker(double rate, uint32_t max_ms) : rate_(rate), max_ms_(max_ms)
	{
	}

	uint64_t clock_ms(ogl_time t) const
	{
		return 1000 + static_cast<uint64_t>(
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
		return Worker(
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

			read(&l, w);
			cell_lease_assume_longest(&l, w.max_ms(), true);
			EXPECT_TRUE(w.lease_expired(cell_lease_expires_at(&l)));
			start_after_idling(&l, &w);
		}
	}
}

/* Guards against an order to a worker's last incarnation, whose clock was far
 * ahead, that the next one has carried out by the time it is heard. */
TEST_F(Lease, HasExpiredWhenItWasAskedForOnTheClockOfTheLastIncarnation)
{
	for (int i = 0; i < kRounds; i++) {
		Worker w = worker();
		struct cell_lease l = {};

		now_ = ms(13000);
		w.grant(3600000, now_);
		now_ += ms(500);
		read(&l, w);
		cell_lease_assume_longest(&l, w.max_ms(), true);
		EXPECT_TRUE(w.lease_expired(cell_lease_expires_at(&l)));
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
