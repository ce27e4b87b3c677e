/* Limit on the calls in flight to an owner. */

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

	/* Sends calls until the window is full; returns their number. */
	int fill()
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
			cell_window_answered(&w_);
		}
	}

	struct cell_window w_ = {};
	ogl_time now_ = 10 * OGL_SEC;
};

/* The waiting calls must not all go at once to an owner that still reads the
 * jobs it takes over. */
TEST_F(Window, NewOwnerGetsOneCallFirst)
{
	EXPECT_EQ(1, fill());
	answer(1);
	EXPECT_EQ(4, fill());
	answer(4);
	EXPECT_EQ(8, fill());
}

TEST_F(Window, RefusalClosesTheWindowForAWhile)
{
	EXPECT_EQ(1, fill());
	cell_window_ended(&w_);
	cell_window_refused(&w_, now_);
	EXPECT_EQ(0, fill());
	now_ += 149 * OGL_MS;
	EXPECT_EQ(0, fill());
	now_ += OGL_MS;
	EXPECT_EQ(1, fill());
}

/* An owner that can't confirm its ownership refuses single calls, which must
 * not hold up the others. */
TEST_F(Window, RefusalAfterServingDoesNotClose)
{
	answer(fill());
	EXPECT_EQ(4, fill());
	cell_window_ended(&w_);
	cell_window_refused(&w_, now_);
	EXPECT_EQ(1, fill());
}

/* A window that did not shrink would let the queue before the owner's link grow
 * with each call. */
TEST_F(Window, LongRoundTripHalvesTheWindow)
{
	for (int i = 0; i < 6; i++)
		answer(fill());
	int before = fill();
	answer(before);
	cell_window_round_trip(&w_, 300 * OGL_MS, now_);
	int once = fill();
	cell_window_round_trip(&w_, 300 * OGL_MS, now_ + OGL_MS);

	EXPECT_EQ(before, once);
	EXPECT_FALSE(cell_window_allows(&w_, now_));
	EXPECT_EQ(static_cast<unsigned>(before), w_.size);
}

TEST_F(Window, ShortRoundTripKeepsTheWindow)
{
	answer(fill());
	answer(fill());
	unsigned before = w_.size;

	cell_window_round_trip(&w_, 20 * OGL_MS, now_);
	EXPECT_EQ(before, w_.size);
}

/* Calls to an owner that is gone must not keep the window full. */
TEST_F(Window, NewOwnerResetsTheWindow)
{
	answer(fill());
	EXPECT_EQ(4, fill());
	cell_window_reset(&w_);
	EXPECT_EQ(1, fill());
}

} // namespace
