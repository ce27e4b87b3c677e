// Tests of the fake log: offsets, retention, rate limit, outages and lost
// answers.
#include <gtest/gtest.h>

#include "fake_log.h"

namespace
{

class FakeLog : public ::testing::Test
{
      protected:
	FakeLog()
	{
		l = fake_log_init();
	}
	~FakeLog() override
	{
		fake_log_end(l);
	}
	enum fake_log_result Append(
	    const char *text, ogl_time now, const char *stream = "s")
	{
		return fake_log_append(l, stream, ogl_str(text), now, &offset);
	}
	enum fake_log_result Read(uint64_t from, ogl_time now)
	{
		return fake_log_read(
		    l, "s", from, now, &first, &next, entries, 4, &n);
	}

	struct fake_log *l;
	uint64_t offset = 99, first = 99, next = 99;
	struct ogl_log_entry entries[4] = {};
	size_t n = 0;
};

TEST_F(FakeLog, OffsetsStartAtZeroInEachStream)
{
	Read(0, 1);
	EXPECT_EQ(0u, next);
	Append("a", 1);
	Append("b", 1);
	EXPECT_EQ(1u, offset);
	Append("c", 1, "other");
	EXPECT_EQ(0u, offset);
	EXPECT_EQ(FAKE_LOG_OK, Read(1, 1));
	ASSERT_EQ(1u, n);
	EXPECT_TRUE(ogl_str_eq(ogl_str("b"), entries[0].data));
	EXPECT_EQ(2u, next);
}

// The records at a slow reader's offset may have been dropped; the reader must
// be able to detect this.
TEST_F(FakeLog, RetentionByCountAndAgeMovesTheFirstOffset)
{
	fake_log_script(l)->keep_count = 3;
	for (int i = 0; i < 5; i++)
		Append("x", i * OGL_SEC);
	Read(0, 4 * OGL_SEC);
	EXPECT_EQ(2u, first);
	EXPECT_EQ(2u, entries[0].offset);
	fake_log_script(l)->keep_age = 2 * OGL_SEC;
	Read(0, 5 * OGL_SEC);
	EXPECT_EQ(4u, first);
	Read(0, 60 * OGL_SEC);
	EXPECT_EQ(5u, first);
	EXPECT_EQ(5u, next);
	EXPECT_EQ(0u, n);
}

TEST_F(FakeLog, AppendsAreLimitedToARate)
{
	int done = 0;

	for (int i = 0; i < 4000; i++)
		done += Append("x", i * OGL_MS) == FAKE_LOG_OK;
	EXPECT_NEAR(1700, done, 2);
	EXPECT_EQ(FAKE_LOG_LIMITED, Append("x", 3999 * OGL_MS));
}

// The platform may append a record and fail before it answers, also during an
// outage.  A caller that repeats the append without a check writes it twice.
TEST_F(FakeLog, KeepsRecordWhoseAnswerIsLost)
{
	fake_log_script(l)->outage = true;
	EXPECT_EQ(FAKE_LOG_DOWN, Append("a", 1));
	fake_log_script(l)->lose_answers = 1;
	EXPECT_EQ(FAKE_LOG_LOST, Append("b", 1));
	EXPECT_EQ(FAKE_LOG_DOWN, Append("c", 1));
	EXPECT_EQ(FAKE_LOG_DOWN, Read(0, 1));
	fake_log_script(l)->outage = false;
	Read(0, 1);
	ASSERT_EQ(1u, n);
	EXPECT_TRUE(ogl_str_eq(ogl_str("b"), entries[0].data));
}

} // namespace
