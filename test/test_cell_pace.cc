/*
 * How fast workers run: scripted looks at runs and what is concluded.
 */

#include <gtest/gtest.h>

extern "C" {
#include "pace.h"
#include "straggler.h"
}

namespace
{

class Pace : public testing::Test
{
      protected:
	/* A run that declared 1,000 ms, seen every 200 ms of the worker's
	 * clock, going on at the given pace from `percent`. */
	void run(struct cell_pace *p, double pace, unsigned looks,
	    struct cell_progress *seen)
	{
		for (unsigned i = 0; i < looks; i++) {
			auto percent = static_cast<uint32_t>(
			    static_cast<double>(i) * 20 / pace);

			cell_pace_look(p, sound_, seen, clock_, percent, 1000);
			clock_ += 200;
		}
	}

	void runs(struct cell_pace *p, double pace, unsigned n)
	{
		for (unsigned i = 0; i < n; i++) {
			struct cell_progress seen = {};

			run(p, pace, 5, &seen);
		}
	}

	double sound_ = 1;
	uint64_t clock_ = 5000;
};

TEST_F(Pace, UnknownIsUsual)
{
	struct cell_pace w = {};

	EXPECT_EQ(1.0, cell_pace_relative(&w, sound_));
}

TEST_F(Pace, SoundWorkersAreTheFasterOnes)
{
	GArray *a = g_array_new(FALSE, FALSE, sizeof(double));

	EXPECT_EQ(1.0, cell_pace_sound(a));
	/* Every job declares half of what it takes; half of the workers are
	 * out of order. */
	for (double v : {2.0, 14.0, 2.1, 15.0, 2.6, 13.0})
		g_array_append_val(a, v);
	EXPECT_EQ(2.1, cell_pace_sound(a));
	g_array_unref(a);
}

TEST_F(Pace, AKnownWorkerIsComparedWithSoundOnes)
{
	struct cell_pace w = {};

	sound_ = 2;
	runs(&w, 2.6, 8);
	EXPECT_TRUE(cell_pace_known(&w));
	EXPECT_NEAR(1.3, cell_pace_relative(&w, sound_), 0.05);
}

/*
 * A job declares a sixth of what its tasks take.  If that alone made its worker
 * look broken, tasks of other jobs would be taken from a sound worker.
 */
TEST_F(Pace, OneOddJobDoesNotMakeAWorkerSlow)
{
	struct cell_pace w = {};
	struct cell_progress seen = {};

	run(&w, 6.0, 2, &seen);
	EXPECT_LT(cell_pace_relative(&w, sound_), 2.5);
}

TEST_F(Pace, AWorkerThatTurnsSlowIsSeenWithinAFewLooks)
{
	struct cell_pace w = {};

	runs(&w, 1.0, 10);
	runs(&w, 7.0, 4);
	EXPECT_GT(cell_pace_relative(&w, sound_), 2.5);
}

/*
 * A worker taken for slow gets no work, so nothing would tell that it is well
 * again, and the cell would do without it for ever.
 */
TEST_F(Pace, WithoutWorkABadPaceFades)
{
	struct cell_pace w = {};

	for (int i = 0; i < 30; i++)
		cell_pace_still(&w, sound_);
	EXPECT_GT(cell_pace_relative(&w, sound_), 2.5);
	for (int i = 0; i < 60; i++)
		cell_pace_fade(&w, sound_);
	EXPECT_LT(cell_pace_relative(&w, sound_), 1.7);
}

TEST_F(Pace, ARunThatStandsStill)
{
	struct cell_pace w = {};
	struct cell_progress seen = {};

	run(&w, 1.0, 3, &seen);
	EXPECT_FALSE(cell_pace_stands_still(&seen, seen.clock_ms + 800, 1000));
	EXPECT_TRUE(cell_pace_stands_still(&seen, seen.clock_ms + 1000, 1000));
	/* A long task's percentage rises seldom. */
	EXPECT_FALSE(cell_pace_stands_still(&seen, seen.clock_ms + 1000, 9000));
}

TEST_F(Pace, AClockThatStartsAnewTeachesNothing)
{
	struct cell_pace w = {};
	struct cell_progress seen = {};

	run(&w, 1.0, 3, &seen);
	cell_pace_look(&w, sound_, &seen, 10, 90, 1000);
	EXPECT_NEAR(1.0, w.value, 0.1);
	EXPECT_FALSE(cell_pace_stands_still(&seen, 20, 1000));
}

TEST(Straggler, MovesOnlyWhatGains)
{
	EXPECT_TRUE(cell_straggler_move(5000, 1000));
	EXPECT_FALSE(cell_straggler_move(1500, 1000));
	EXPECT_FALSE(cell_straggler_move(700, 300));
}

} // namespace
