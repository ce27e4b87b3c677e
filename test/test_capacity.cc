/* Forecasts of room and lanes, by scripted loads. */

#include <gtest/gtest.h>

extern "C" {
#include "capacity.h"
}

namespace
{

class Capacity : public testing::Test
{
      protected:
	Capacity()
	{
		ogl_capacity_begin(c_, now_);
	}

	~Capacity() override
	{
		ogl_capacity_end(c_);
	}

	struct ogl_capacity_wait wait(uint32_t rank, double cores)
	{
		struct ogl_capacity_work w = {};

		w.rank = rank;
		w.cores = cores;
		w.asks = true;
		w.turn = rank;
		w.queue = "tally";
		w.lane_ms = question_ms_;
		return ogl_capacity_wait(c_, &w, now_);
	}

	double room_s(uint32_t rank, double cores)
	{
		return (double)wait(rank, cores).room / OGL_SEC;
	}

	double lane_s(uint32_t rank)
	{
		return (double)wait(rank, 0).lane / OGL_SEC;
	}

	/* Work that ends evenly over the next `sec` seconds. */
	void run(double cores, double sec)
	{
		for (int i = 0; i < 100; i++)
			ogl_capacity_add_running(c_, cores / 100,
			    now_ + (ogl_time)(sec * (i + 1) / 100 * OGL_SEC));
	}

	void lanes(int n, ogl_time busy)
	{
		for (int i = 0; i < n; i++)
			ogl_capacity_add_lane(c_, now_ + busy);
	}

	struct ogl_capacity *c_ = ogl_capacity_init();
	double question_ms_ = 0;
	ogl_time now_ = 100 * OGL_SEC;
};

/* Guards against refusing jobs of a cell that is not full. */
TEST_F(Capacity, AnOrdinarySecondHasNoWait)
{
	ogl_capacity_add_free(c_, 2400);
	run(20000, 3);
	ogl_capacity_add_waiting(c_, 0, 50, 50000);
	ogl_capacity_add_waiting(c_, 1, 360, 1800000);
	lanes(20, 500 * OGL_MS);
	lanes(17, 0);
	ogl_capacity_add_question(c_, 0, "lookup", 50);
	for (uint32_t rank = 0; rank < 3; rank++) {
		EXPECT_EQ(0, wait(rank, 360).room);
		EXPECT_LT(wait(rank, 360).longer, 10 * OGL_MS);
	}
}

/* Guards against a line's rate being taken for what it will be: 1,000 cores end
 * within 2 s, so 3,000 waiting cores of 2 s each need three such turns. */
TEST_F(Capacity, ACrowdOfOneRankDelaysItAndLowerOnes)
{
	struct ogl_capacity_work w = {};

	run(1000, 2);
	ogl_capacity_add_waiting(c_, 1, 3000, 3000 * 2000.0);
	EXPECT_EQ(0.25, room_s(0, 1));
	EXPECT_NEAR(6, room_s(1, 1), 0.5);
	EXPECT_NEAR(6, room_s(2, 1), 0.5);
	w.rank = 1;
	w.later_cores = 2000;
	w.later_core_ms = 2000 * 2000.0;
	EXPECT_NEAR(
	    2, (double)ogl_capacity_wait(c_, &w, now_).room / OGL_SEC, 0.3);
}

/* Guards against forecasts that take a burst for over, and against refusing for
 * work that may not come. */
TEST_F(Capacity, WorkThatKeepsComingIsExpectedButNotCertain)
{
	struct ogl_capacity_work w = {};

	run(1000, 2);
	for (int i = 40; i > 0; i--)
		ogl_capacity_arrived(
		    c_, 0, 100, 200000, now_ - i * 100 * OGL_MS);
	EXPECT_EQ(0.25, room_s(0, 1));
	EXPECT_GT(room_s(1, 1), 3);
	w.rank = 1;
	w.cores = 1;
	w.at_least = true;
	EXPECT_EQ(OGL_CAPACITY_BUCKET, ogl_capacity_wait(c_, &w, now_).room);
}

/* Guards against a gang being refused for what a few cores wait for, or the
 * other way round. */
TEST_F(Capacity, AGangWaitsForAllItsCores)
{
	ogl_capacity_add_free(c_, 40);
	ogl_capacity_add_running(c_, 360, now_ + 3 * OGL_SEC);
	EXPECT_EQ(0, room_s(1, 40));
	EXPECT_EQ(3, room_s(1, 300));
	EXPECT_EQ(60, room_s(1, 500));
}

/* Guards against taking free cores for all that a job needs. */
TEST_F(Capacity, LanesAreTheBottleneckWhileRoomIsFree)
{
	ogl_capacity_add_free(c_, 9000);
	lanes(30, 500 * OGL_MS);
	lanes(7, 0);
	ogl_capacity_reserve_lanes(c_, 11);
	for (int i = 0; i < 60; i++)
		ogl_capacity_add_question(c_, 1, "round", 650);
	EXPECT_EQ(0, room_s(2, 1));
	EXPECT_EQ(0, lane_s(0));
	/* 26 lanes, busy for 0.5 s, have 39 s of questions. */
	EXPECT_NEAR(2, lane_s(2), 0.1);
	ogl_capacity_add_question(c_, 0, "lookup", 37000);
	EXPECT_NEAR((37 + 39 + 15) / 37.0, lane_s(2), 0.1);
	EXPECT_NEAR((37 + 15) / 37.0, lane_s(0), 0.1);
	EXPECT_EQ(wait(2, 1).lane, wait(2, 1).longer);
}

/* Guards against forecasts by rank where queues share the lanes: what another
 * queue asks delays a question by no more than its own queue's questions. */
TEST_F(Capacity, AnotherQueuesQuestionsCountOnlyForItsShare)
{
	lanes(10, 0);
	ogl_capacity_add_question(c_, 1, "round", 60000);
	ogl_capacity_add_question(c_, 1, "tally", 4000);
	question_ms_ = 1000;
	EXPECT_NEAR(1 + (4 + 5) / 10.0, lane_s(1), 0.1);
}

/* Guards against counting on cores that are about to be closed. */
TEST_F(Capacity, ClosingCapacityIsNotCountedOn)
{
	run(1000, 4);
	EXPECT_NEAR(2, room_s(1, 500), 0.3);
	ogl_capacity_add_change(c_, -800, now_ + OGL_SEC);
	EXPECT_EQ(60, room_s(1, 500));
	ogl_capacity_add_change(c_, 800, now_ + 10 * OGL_SEC);
	EXPECT_EQ(10, room_s(1, 500));
}

/* Guards against forecasts from a picture of long ago, as when the store is
 * silent and nothing is started. */
TEST_F(Capacity, AnOldPictureSaysNothing)
{
	run(1000, 2);
	EXPECT_LT(0, room_s(1, 500));
	now_ += OGL_SEC + 1;
	EXPECT_EQ(0, room_s(1, 500));
	ogl_capacity_reset(c_);
	EXPECT_EQ(0, room_s(1, 5000));
}

/* Guards against refusing by forecasts that have proved wrong. */
TEST_F(Capacity, UnreliableForecastsAreSaidToBe)
{
	struct ogl_capacity_error e;

	for (int i = 0; i < 30; i++)
		ogl_capacity_check(c_, "q", 4 * OGL_SEC, 3 * OGL_SEC);
	e = ogl_capacity_error(c_, "q");
	EXPECT_TRUE(e.reliable);
	EXPECT_NEAR(OGL_SEC, e.early, OGL_MS);
	EXPECT_EQ(0, e.late);
	for (int i = 0; i < 30; i++)
		ogl_capacity_check(c_, "q", OGL_SEC, 4 * OGL_SEC);
	EXPECT_FALSE(ogl_capacity_error(c_, "q").reliable);
	EXPECT_GT(ogl_capacity_error(c_, "q").late, 2 * OGL_SEC);
	EXPECT_TRUE(ogl_capacity_error(c_, "r").reliable);
	for (int i = 0; i < 30; i++)
		ogl_capacity_check(c_, "q", 0, 20 * OGL_MS);
	EXPECT_TRUE(ogl_capacity_error(c_, "q").reliable);
}

} // namespace
