/* Calls under way to an owner: how many, and what makes them fewer. */

#include <gtest/gtest.h>

extern "C" {
#include "window.h"
}

namespace
{

class Window : public testing::Test
{
      protected:
	void SetUp() override
	{
		cell_window_reset(&w_);
	}

	/* How many calls go out before one is held back. */
	int sent()
	{
		int n = 0;

		while (n < 1000 && cell_window_allows(&w_, now_)) {
			cell_window_sent(&w_);
			n++;
		}
		return n;
	}

	void answer(int calls)
	{
		for (int i = 0; i < calls; i++) {
			cell_window_ended(&w_);
			cell_window_served(&w_);
		}
	}

	struct cell_window w_ = {};
	ogl_time now_ = 10 * OGL_SEC;
};

/* Guards against all waiting calls going at once to an owner that still reads
 * the jobs it takes over. */
TEST_F(Window, OneCallFindsOutWhetherANewOwnerServes)
{
	EXPECT_EQ(1, sent());
	answer(1);
	EXPECT_EQ(4, sent());
	answer(4);
	EXPECT_EQ(8, sent());
}

TEST_F(Window, AnOwnerThatTurnsCallsAwayIsAskedAgainAfterAMoment)
{
	EXPECT_EQ(1, sent());
	cell_window_ended(&w_);
	cell_window_turned_away(&w_, now_);
	EXPECT_EQ(0, sent());
	now_ += 149 * OGL_MS;
	EXPECT_EQ(0, sent());
	now_ += OGL_MS;
	EXPECT_EQ(1, sent());
}

/* Guards against questions that wait because an owner which can't confirm its
 * ownership has turned another one away. */
TEST_F(Window, OneThatHasServedIsNotHeldForASingleCallTurnedAway)
{
	answer(sent());
	EXPECT_EQ(4, sent());
	cell_window_ended(&w_);
	cell_window_turned_away(&w_, now_);
	EXPECT_EQ(1, sent());
}

/* Guards against a queue before the owner's link that grows with each call. */
TEST_F(Window, LongRoundTripsHalveIt)
{
	for (int i = 0; i < 6; i++)
		answer(sent());
	int before = sent();
	answer(before);
	cell_window_delay(&w_, 300 * OGL_MS, now_);
	int once = sent();
	cell_window_delay(&w_, 300 * OGL_MS, now_ + OGL_MS);

	EXPECT_EQ(before, once);
	EXPECT_FALSE(cell_window_allows(&w_, now_));
	EXPECT_EQ(static_cast<unsigned>(before), w_.size);
}

TEST_F(Window, ShortRoundTripsLeaveIt)
{
	answer(sent());
	answer(sent());
	unsigned before = w_.size;

	cell_window_delay(&w_, 20 * OGL_MS, now_);
	EXPECT_EQ(before, w_.size);
}

/* Guards against a window that stays closed when its calls were to an owner
 * that is gone. */
TEST_F(Window, AnotherOwnerBeginsAnew)
{
	answer(sent());
	EXPECT_EQ(4, sent());
	cell_window_reset(&w_);
	EXPECT_EQ(1, sent());
}

} // namespace
