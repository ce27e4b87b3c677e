/* Return slots of refused callers. */

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

extern "C" {
#include "slots.h"
}

namespace
{

class Slots : public testing::Test
{
      protected:
	~Slots() override
	{
		ogl_slots_end(s_);
	}

	ogl_time give(const std::string &id, double rate = 10,
	    ogl_time after = OGL_SEC, const char *line = "q")
	{
		return ogl_slots_give(
		    s_, line, id.c_str(), rate, now_ + after, now_);
	}

	ogl_time first(const std::string &id)
	{
		return ogl_slots_first_attempt(s_, id.c_str(), now_);
	}

	/* Most callers that come within 100 ms. */
	static size_t crowd(std::vector<ogl_time> at)
	{
		size_t most = 0, begin = 0;

		std::sort(at.begin(), at.end());
		for (size_t i = 0; i < at.size(); i++) {
			while (at[begin] <= at[i] - 100 * OGL_MS)
				begin++;
			most = std::max(most, i - begin + 1);
		}
		return most;
	}

	struct ogl_slots *s_ = ogl_slots_init();
	ogl_time now_ = 100 * OGL_SEC;
};

/* Guards against a second crowd: callers refused at once all come back at
 * once, also those that are refused a second time or have no place. */
TEST_F(Slots, ACrowdIsSpreadAtTheLinesRate)
{
	std::vector<ogl_time> slots;
	std::vector<ogl_time> again;

	for (int i = 0; i < 60; i++)
		slots.push_back(give("j" + std::to_string(i)));
	EXPECT_EQ(now_ + OGL_SEC, slots[0]);
	EXPECT_EQ(1u, crowd(slots));
	for (int i = 0; i < 60; i++) {
		now_ = slots[i] + 30 * OGL_MS;
		again.push_back(give("j" + std::to_string(i)));
	}
	slots.insert(slots.end(), again.begin(), again.end());
	EXPECT_LE(crowd(slots), 3u);
	slots.clear();
	for (int i = 0; i < 1000; i++)
		slots.push_back(give("job-" + std::to_string(i * 7919)));
	EXPECT_LE(crowd(slots), 60u);
	EXPECT_LE(
	    *std::max_element(slots.begin(), slots.end()), now_ + 11 * OGL_SEC);
}

/* Guards against a caller that did as it was told being put behind those that
 * came after it. */
TEST_F(Slots, AReturningCallerIsAheadOfLaterOnes)
{
	ogl_time begin = now_;
	ogl_time at = give("a");
	ogl_time last = 0;

	now_ = at + 200 * OGL_MS;
	for (int i = 0; i < 20; i++)
		last = give("later" + std::to_string(i));
	EXPECT_EQ(begin, first("a"));
	EXPECT_LT(begin, first("b"));
	EXPECT_LT(give("a"), last - OGL_SEC);
	EXPECT_EQ(now_, first("a")); /* its new slot has not come */
	now_ += OGL_SEC + 100 * OGL_MS;
	EXPECT_EQ(begin, first("a"));
}

/* Guards against gaining by coming at other times than told. */
TEST_F(Slots, OutsideItsSlotACallerIsNew)
{
	ogl_time at = give("a");

	now_ = at - OGL_SLOT_EARLY - 1;
	EXPECT_EQ(now_, first("a"));
	EXPECT_EQ(at, give("a", 10, 0));
	now_ = at + OGL_SLOT_LATE;
	EXPECT_LT(first("a"), now_);
	now_++;
	EXPECT_EQ(now_, first("a"));
}

/* Guards against growth without bound. */
TEST_F(Slots, TheOldestSlotsAreDropped)
{
	ogl_time at = give("first", 1000);

	for (int i = 0; i < OGL_SLOTS_MAX; i++)
		give("j" + std::to_string(i), 1000);
	EXPECT_EQ((size_t)OGL_SLOTS_MAX, ogl_slots_count(s_));
	now_ = at;
	EXPECT_EQ(now_, first("first"));
	EXPECT_LT(first("j0"), now_);
}

/* Guards against places held by callers that gave up, or whose job was
 * accepted. */
TEST_F(Slots, UnusedPlacesAreFreed)
{
	ogl_time at = give("gone");

	EXPECT_LT(at, give("b"));
	ogl_slots_remove(s_, "gone");
	EXPECT_EQ(at, give("c"));
	now_ = at + 5 * OGL_SEC;
	EXPECT_EQ(now_, give("d", 10, 0));
	EXPECT_EQ(1u, ogl_slots_count(s_));
}

/* Guards against one queue's crowd keeping another queue's callers away. */
TEST_F(Slots, LinesDoNotDelayEachOther)
{
	for (int i = 0; i < 50; i++)
		give("j" + std::to_string(i));
	EXPECT_EQ(now_ + OGL_SEC, give("other", 10, OGL_SEC, "r"));
}

} // namespace
