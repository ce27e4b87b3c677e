/* Shares of the queues in a service that answers few questions at a time. */

#include <gtest/gtest.h>

extern "C" {
#include "lanes.h"
}

namespace
{

class Lanes : public testing::Test
{
      protected:
	void SetUp() override
	{
		lanes_ = ogl_lanes_init();
		gangs_ = ogl_lanes_queue(lanes_, "gangs");
		batch_ = ogl_lanes_queue(lanes_, "batch");
	}

	void TearDown() override
	{
		ogl_lanes_end(lanes_);
	}

	/* Asks that many questions while the given queues have some left. */
	void ask(unsigned questions, bool gangs, bool batch)
	{
		for (unsigned i = 0; i < questions; i++) {
			ogl_lanes_begin(lanes_);
			if (gangs)
				ogl_lanes_add(lanes_, gangs_);
			if (batch)
				ogl_lanes_add(lanes_, batch_);
			struct ogl_lanes_queue *q = ogl_lanes_next(lanes_);
			ogl_lanes_charge(
			    lanes_, q, q == gangs_ ? kGangMs : kBatchMs);
		}
	}

	static constexpr double kGangMs = 900, kBatchMs = 180;
	struct ogl_lanes *lanes_;
	struct ogl_lanes_queue *gangs_;
	struct ogl_lanes_queue *batch_;
};

/* Guards against a queue of gangs without room whose long questions use up the
 * service, while batch work that could start waits for its first answer. */
TEST_F(Lanes, QueuesThatBothAskGetTheSameTime)
{
	ask(600, true, true);
	EXPECT_NEAR(
	    ogl_lanes_used_ms(gangs_), ogl_lanes_used_ms(batch_), kGangMs);
}

TEST_F(Lanes, AQueueThatAsksAloneGetsAll)
{
	ask(10, true, false);
	EXPECT_EQ(ogl_lanes_used_ms(gangs_), 10 * kGangMs);
	ogl_lanes_begin(lanes_);
	EXPECT_EQ(ogl_lanes_next(lanes_), nullptr);
}

/* Guards against a queue that comes back after a pause and keeps the others
 * from asking until it has used as much as they did meanwhile. */
TEST_F(Lanes, AQueueThatWasAwayHasNoClaimToThePast)
{
	ask(100, true, false);
	ask(60, true, true);
	EXPECT_LT(ogl_lanes_used_ms(batch_), 60 * kBatchMs);
	EXPECT_GT(ogl_lanes_used_ms(gangs_), 105 * kGangMs);
}

TEST_F(Lanes, AQueueWithoutFurtherQuestionsIsPassedOver)
{
	ogl_lanes_begin(lanes_);
	ogl_lanes_add(lanes_, gangs_);
	ogl_lanes_add(lanes_, batch_);
	ogl_lanes_remove(lanes_, ogl_lanes_next(lanes_));
	struct ogl_lanes_queue *q = ogl_lanes_next(lanes_);
	ASSERT_NE(q, nullptr);
	ogl_lanes_remove(lanes_, q);
	EXPECT_EQ(ogl_lanes_next(lanes_), nullptr);
}

} // namespace
