/* Which runs are stopped for waiting work of a higher rank. */

#include <gtest/gtest.h>

#include <cmath>
#include <vector>

extern "C" {
#include "preempt.h"
}

namespace
{

class Preempt : public testing::Test
{
      protected:
	void SetUp() override
	{
		preempt_ = ogl_preempt_init();
		begin(0);
	}

	void TearDown() override
	{
		ogl_preempt_end(preempt_);
	}

	void begin(ogl_time now)
	{
		ogl_preempt_begin(preempt_, 1000 * 1000, now);
		places_.clear();
	}

	/* A worker without room, with runs that lost that much. */
	void worker(const std::vector<double> &since_checkpoint_ms)
	{
		struct ogl_res none = {};
		struct ogl_preempt_run r = run_;
		size_t w = ogl_preempt_add_worker(preempt_, &none);

		places_.push_back({w, 8});
		for (double ms : since_checkpoint_ms) {
			r.since_checkpoint_ms = ms;
			ogl_preempt_add_run(preempt_, w, &r);
		}
	}

	/* The runs to stop, as worker * 10 + run. */
	std::vector<size_t> stops()
	{
		const struct ogl_preempt_stop *s;
		double gain_ms;

		need_.places = places_.data();
		need_.nplaces = places_.size();
		size_t n = ogl_preempt_choose(preempt_, &need_, &s, &gain_ms);
		std::vector<size_t> v;
		for (size_t i = 0; i < n; i++)
			v.push_back(s[i].worker * 10 + s[i].run);
		return v;
	}

	using Stops = std::vector<size_t>;
	struct ogl_preempt *preempt_;
	std::vector<struct ogl_preempt_place> places_;
	struct ogl_preempt_run run_ = {
	    {4000, 8000, 0}, 2, true, false, 0, 700, 2000, 1500, INFINITY};
	struct ogl_preempt_need need_ = {
	    {8000, 8000, 0}, 1, 0, 100e3, 400, nullptr, 0};
};

/* Guards against a stop that loses more than another would. */
TEST_F(Preempt, TheCheapestRunsOfTheCheapestWorkerAreStopped)
{
	worker({900, 800, 700});
	worker({50, 1200, 60});
	worker({500, 400});
	EXPECT_EQ(stops(), (Stops{10, 12}));
}

TEST_F(Preempt, ARunThatIsNotNeededIsKept)
{
	worker({10});
	run_.res.cpu_milli = 8000;
	struct ogl_preempt_run large = run_;
	large.since_checkpoint_ms = 100;
	ogl_preempt_add_run(preempt_, 0, &large);
	EXPECT_EQ(stops(), (Stops{1}));
}

/* Guards against stops that cost more than half of what they gain. */
TEST_F(Preempt, NothingIsStoppedForTooLittleGain)
{
	/* Two runs of 4 cores that lose 300 + 700 ms cost 8 core-seconds. */
	worker({300, 300});
	need_.core_ms = 19e3;
	EXPECT_EQ(stops(), Stops());
	need_.core_ms = 21e3;
	EXPECT_EQ(stops().size(), 2U);
}

/* Guards against a restart of a whole gang, or of a task from its beginning. */
TEST_F(Preempt, GangsAndStepsWithoutCheckpointsAreNeverStopped)
{
	run_.gang = true;
	worker({10, 10});
	run_.gang = false;
	run_.saves_checkpoints = false;
	worker({10, 10});
	run_.saves_checkpoints = true;
	run_.rank = 0;
	worker({10, 10});
	EXPECT_EQ(stops(), Stops());
}

/* Guards against stops for work that is in time without them. */
TEST_F(Preempt, NothingIsStoppedWhereRunsEndSoonEnough)
{
	run_.left_ms = 300;
	worker({10, 10});
	EXPECT_EQ(stops(), Stops());
	/* The room is promised to the first need, so a second one has none. */
	run_.left_ms = 1500;
	worker({10, 10});
	EXPECT_EQ(stops(), (Stops{10, 11}));
}

/* Guards against stops for a gang of which only a part gets room. */
TEST_F(Preempt, AGangGetsRoomOnSeveralWorkersOrNowhere)
{
	worker({10, 10});
	worker({10, 10});
	need_.tasks = 3;
	EXPECT_EQ(stops(), Stops());
	need_.tasks = 2;
	EXPECT_EQ(stops().size(), 4U);
}

/* Guards against a burst of urgent work that stops all other work. */
TEST_F(Preempt, AtMostTwoInHundredCoresAreStoppedASecond)
{
	size_t n = 0;

	for (ogl_time t = 0; t < 10 * OGL_SEC; t += 100 * OGL_MS) {
		begin(t);
		worker({10, 10});
		n += stops().size();
	}
	/* 20 of 1000 cores a second, and 20 that had not been used before. */
	EXPECT_LE(n * 4, 20U * 11);
	EXPECT_GE(n * 4, 20U * 10 - 8);
}

/* Guards against a task that is stopped again and again and never ends. */
TEST_F(Preempt, ATaskIsNotStoppedAgainWithinItsRunTime)
{
	run_.since_stopped_ms = 1900;
	worker({10, 10});
	EXPECT_EQ(stops(), Stops());
	run_.since_stopped_ms = 2100;
	worker({10, 10});
	EXPECT_EQ(stops(), (Stops{10, 11}));
}

} // namespace
