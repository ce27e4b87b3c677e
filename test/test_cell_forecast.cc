/* Forecasts of how long a new job would wait. */

#include <gtest/gtest.h>

extern "C" {
#include "forecast.h"
}

namespace
{

class Forecast : public testing::Test
{
      protected:
	void SetUp() override
	{
		f_ = cell_forecast_init();
		cell_forecast_reset(f_, 0);
	}

	void TearDown() override
	{
		cell_forecast_end(f_);
	}

	struct cell_line *line_named(const char *name)
	{
		return cell_forecast_line(f_, name);
	}

	/* Starts `rate` jobs of the line a second until `until`. */
	void serve(const char *line, unsigned rate, ogl_time until)
	{
		for (; now_ < until; now_ += OGL_SEC / rate)
			cell_forecast_started(line_named(line), now_);
	}

	void line_up(const char *line, unsigned in_time, unsigned late)
	{
		cell_forecast_begin_count(f_);
		for (unsigned i = 0; i < in_time; i++)
			cell_forecast_count(
			    line_named(line), true, now_ - OGL_SEC);
		for (unsigned i = 0; i < late; i++)
			cell_forecast_count(
			    line_named(line), false, now_ - OGL_SEC);
	}

	double wait_s(const char *line)
	{
		return (double)cell_forecast_wait(f_, line_named(line), now_)
			   .behind_in_time /
		       OGL_SEC;
	}

	struct cell_forecast *f_ = nullptr;
	ogl_time now_ = OGL_SEC;
};

TEST_F(Forecast, WaitIsTheLengthOfTheLineDividedByItsRate)
{
	serve("q", 20, 20 * OGL_SEC);
	line_up("q", 40, 60);
	EXPECT_NEAR(2, wait_s("q"), 0.2);
	EXPECT_NEAR(5,
	    (double)cell_forecast_wait(f_, line_named("q"), now_).behind_all /
		OGL_SEC,
	    0.5);
	EXPECT_EQ(0, wait_s("other"));
}

/* Guards against refusing jobs of a queue that nobody waits in, because its
 * last job came long ago. */
TEST_F(Forecast, AnEmptyLineHasNoWait)
{
	serve("q", 20, 20 * OGL_SEC);
	line_up("q", 40, 0);
	line_up("q", 0, 0);
	now_ += 60 * OGL_SEC;
	EXPECT_EQ(0, wait_s("q"));
}

/* Overload of all workers: nothing is started any more, and callers who wait
 * would wait for ever. */
TEST_F(Forecast, WaitGrowsWhileTheLineStandsStill)
{
	double before;

	serve("q", 20, 20 * OGL_SEC);
	line_up("q", 5, 0);
	before = wait_s("q");
	now_ += 30 * OGL_SEC;
	EXPECT_GT(wait_s("q"), 20 * before);
}

/* Guards against refusals right after a takeover, when no job has been started
 * although there is room for all. */
TEST_F(Forecast, NothingIsForecastRightAfterAReset)
{
	serve("q", 20, 20 * OGL_SEC);
	line_up("q", 40, 0);
	cell_forecast_reset(f_, now_);
	line_up("q", 40, 0);
	now_ += OGL_SEC;
	EXPECT_EQ(0, wait_s("q"));
}

TEST_F(Forecast, ForecastsThatWereTooLongBecomeShorter)
{
	double before;

	serve("q", 20, 20 * OGL_SEC);
	line_up("q", 40, 0);
	before = wait_s("q");
	for (int i = 0; i < 100; i++)
		cell_forecast_check(line_named("q"),
		    cell_forecast_wait(f_, line_named("q"), now_)
			.behind_in_time,
		    (ogl_time)(before / 2 * OGL_SEC));
	EXPECT_NEAR(before / 2, wait_s("q"), before / 10);
}

} // namespace
