/* Rate limits of teams, and repeats of refused calls. */

#include <gtest/gtest.h>

extern "C" {
#include "admission.h"
}

namespace
{

class Admission : public testing::Test
{
      protected:
	void SetUp() override
	{
		a_ = cell_admission_init();
	}

	void TearDown() override
	{
		cell_admission_end(a_);
	}

	int count_admitted(const char *team, int jobs, ogl_time now)
	{
		int n = 0;

		for (int i = 0; i < jobs; i++)
			n += cell_admission_within_rate(a_, team, 4, 4, now);
		return n;
	}

	struct cell_admission *a_ = nullptr;
};

TEST_F(Admission, TeamRateIsLimited)
{
	EXPECT_EQ(4, count_admitted("a", 9, OGL_SEC));
	EXPECT_EQ(0, count_admitted("a", 9, OGL_SEC + 100 * OGL_MS));
	EXPECT_EQ(2, count_admitted("a", 9, OGL_SEC + 600 * OGL_MS));
	EXPECT_EQ(4, count_admitted("a", 9, 9 * OGL_SEC));
	EXPECT_EQ(4, count_admitted("b", 9, 9 * OGL_SEC));
	EXPECT_TRUE(cell_admission_within_rate(a_, "open", 0, 0, OGL_SEC));
}

/*
 * Guards against running a job whose caller was told that it never runs: the
 * front repeats the call, and the repeat arrives after the refusal.
 */
TEST_F(Admission, RefusedCallIsRememberedForItsRepeats)
{
	cell_admission_refuse(a_, "n1", 7, OGL_SEC);
	cell_admission_sweep(a_, 10 * OGL_SEC);
	EXPECT_TRUE(cell_admission_was_refused(a_, "n1", 7));
	EXPECT_FALSE(cell_admission_was_refused(a_, "n1", 8));
	EXPECT_FALSE(cell_admission_was_refused(a_, "n2", 7));
	cell_admission_sweep(a_, 12 * OGL_SEC);
	EXPECT_FALSE(cell_admission_was_refused(a_, "n1", 7));
}

} // namespace
