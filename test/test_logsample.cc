/* Sampling of jobs whose log lines are written, as a script without I/O. */

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "logsample.h"

namespace
{

constexpr unsigned lines_max = 250;

class LogSample : public testing::Test
{
      protected:
	struct counts {
		unsigned put, left_out, falls;
	};

	LogSample()
	{
		ogl_logsample_init(&s_, lines_max, 0);
	}

	bool line(const std::string &id, ogl_time began, ogl_time now)
	{
		bool put = ogl_logsample_take(
		    &s_, &e_, ogl_str(id.c_str()), began, now);

		if (seen_.count(id) == 0)
			seen_[id].falls = s_.falls;
		if (put)
			seen_[id].put++;
		else
			seen_[id].left_out++;
		EXPECT_FALSE(put && seen_[id].left_out > 0) << id;
		return put;
	}

	/* `jobs` jobs begin in the second from `start` on, with three lines
	 * each, the last one 30 s later. */
	void second(const std::string &name, unsigned jobs, ogl_time start)
	{
		for (unsigned k = 0; k < jobs; k++) {
			ogl_time at = start + OGL_SEC * k / jobs;

			late_[at + 30 * OGL_SEC + k] = {
			    name + std::to_string(k), at};
			late_[at + k] = {name + std::to_string(k), at};
			late_[at + 300 * OGL_MS + k] = {
			    name + std::to_string(k), at};
		}
		while (
		    !late_.empty() && late_.begin()->first < start + OGL_SEC) {
			auto l = *late_.begin();

			late_.erase(late_.begin());
			line(l.second.first, l.second.second, l.first);
		}
	}

	struct ogl_logsample s_;
	struct ogl_logsample_event e_ = {};
	std::map<std::string, counts> seen_;
	std::map<ogl_time, std::pair<std::string, ogl_time>> late_;
};

/* Guards against jobs of which only a part is logged: after a rise, a job of
 * which lines were left out must stay left out (checked for each line), and
 * only a fall may cut a job short. */
TEST_F(LogSample, KeepsOrLeavesOutJobsAsAWhole)
{
	unsigned put = 0, left_out = 0;

	for (unsigned t = 0; t < 90; t++) {
		/* Load of 3,000 lines a second for 8 s, then of 60. */
		second("j" + std::to_string(t) + ".", t < 8 ? 1000 : 20,
		    t * OGL_SEC);
	}
	ASSERT_EQ(1000U, ogl_logsample_permille(&s_));
	for (auto &j : seen_) {
		if (j.second.falls < s_.falls)
			continue;
		put += j.second.put > 0;
		left_out += j.second.left_out > 0;
		EXPECT_TRUE(j.second.put == 0 || j.second.left_out == 0)
		    << j.first;
	}
	EXPECT_GT(put, 300U);
	EXPECT_GT(left_out, 1000U);
}

/* Guards against an unlimited log: the share has to fall within a second so
 * that the lines stay below the limit, which is exceeded by at most half for
 * each halving. */
TEST_F(LogSample, FallsUntilLinesAreBelowTheLimit)
{
	unsigned per_second[5] = {};

	for (unsigned k = 0; k < 5 * 4000; k++) {
		ogl_time now = k * OGL_SEC / 4000;

		per_second[k / 4000] += line(std::to_string(k), now, now);
	}
	EXPECT_LE(per_second[0], lines_max + 5 * lines_max / 2);
	for (int t = 1; t < 5; t++) {
		EXPECT_LE(per_second[t], lines_max * 3 / 2);
		EXPECT_GE(per_second[t], lines_max / 4);
	}
	EXPECT_LE(ogl_logsample_permille(&s_), 125U);
}

/* Guards against a share that goes up and down with each second of a lasting
 * load: it must rise only while the lines stay below half of the limit. */
TEST_F(LogSample, DoesNotRiseUnderLastingLoad)
{
	unsigned falls, t;

	for (t = 0; t < 10; t++)
		second("a" + std::to_string(t) + ".", 200, t * OGL_SEC);
	falls = s_.falls;
	EXPECT_GT(falls, 0U);
	for (; t < 70; t++)
		second("a" + std::to_string(t) + ".", 200, t * OGL_SEC);
	EXPECT_LE(s_.falls - falls, 1U);
}

/* Guards against nodes that choose different jobs: the sample of a lower share
 * has to be part of that of a higher one. */
TEST_F(LogSample, LowerShareIsPartOfHigherOne)
{
	struct ogl_logsample other = s_;
	struct ogl_logsample_event e = {};
	unsigned both = 0;

	ogl_logsample_reduce(&s_, 0);
	ogl_logsample_reduce(&s_, 0);
	ogl_logsample_reduce(&other, 0);
	for (int k = 0; k < 1000; k++) {
		std::string id = std::to_string(k);
		ogl_time now = k * OGL_SEC / 100;

		if (!line(id, 0, 0 + now))
			continue;
		both++;
		EXPECT_TRUE(ogl_logsample_take(
		    &other, &e, ogl_str(id.c_str()), 0, now));
	}
	EXPECT_NEAR(250, both, 50);
}

} // namespace
