/* What an owner tells nodes that it would refuse. */

#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "hints.h"
}

namespace
{

class Hints : public testing::Test
{
      protected:
	~Hints() override
	{
		cell_refusals_end(r_);
	}

	void refuse(int times, const char *queue, const char *team)
	{
		for (int i = 0; i < times; i++)
			cell_refusals_add(r_, queue, team, 700, now_);
	}

	bool applies(const char *queue, const char *team = "a")
	{
		return cell_refusals_apply(r_, queue, team, now_);
	}

	struct cell_refusals *r_ = cell_refusals_init();
	ogl_time now_ = 100 * OGL_SEC;
};

/* Guards against refusing a queue for one job that is too large, and against
 * going on after room has come free. */
TEST_F(Hints, OnlyWhatIsRefusedTimeAfterTimeIsHinted)
{
	refuse(2, "q", "");
	EXPECT_FALSE(applies("q"));
	cell_refusals_accepted(r_, "q", "b");
	refuse(1, "q", "");
	EXPECT_FALSE(applies("q"));
	refuse(2, "q", "");
	EXPECT_TRUE(applies("q"));
	EXPECT_FALSE(applies("other"));
	now_ += 301 * OGL_MS; /* the next job is forecast again */
	EXPECT_FALSE(applies("q"));
	refuse(1, "q", "");
	EXPECT_TRUE(applies("q"));
	now_ += 3 * OGL_SEC;
	refuse(1, "q", "");
	EXPECT_FALSE(applies("q"));
}

/* Guards against refusing all teams for one that is at its limit. */
TEST_F(Hints, OtherTeamsAreNotRefusedForOne)
{
	refuse(3, "q", "a");
	EXPECT_TRUE(applies("q"));
	EXPECT_FALSE(applies("q", "b"));
	cell_refusals_accepted(r_, "q", "b");
	EXPECT_TRUE(applies("q"));
}

/* Guards against pongs that fill a thin link, and against an age that makes
 * hints seem newer than they are. */
TEST_F(Hints, APongHoldsTheLatestWithTheirAge)
{
	Ogl__CellPong m = OGL__CELL_PONG__INIT;
	struct cell_hints h = {};

	for (int i = 0; i < 20; i++) {
		refuse(3, ("q" + std::to_string(i)).c_str(), "");
		now_ += 10 * OGL_MS;
	}
	cell_refusals_list(r_, &m, now_);
	EXPECT_EQ((size_t)CELL_HINTS_MAX, m.n_refusals);
	EXPECT_EQ(160u, m.refusals_age_ms);
	EXPECT_FALSE(applies("q3", ""));
	EXPECT_TRUE(applies("q4", ""));
	m.owns = 5;
	m.stamp = static_cast<uint64_t>(now_);
	cell_hints_learn(&h, &m, now_);
	now_ += 440 * OGL_MS;
	EXPECT_TRUE(cell_hints_apply(&h, 5, "q4", "a", now_));
	EXPECT_FALSE(cell_hints_apply(&h, 5, "q4", "a", now_ + 1));
	cell_hints_clear(&h);
}

} // namespace
