// Tests of the fake executor: slots, echo, run counts and scripted faults.
#include <gtest/gtest.h>

#include <string>

#include "fake_exec.h"

namespace
{

class FakeExec : public ::testing::Test
{
      protected:
	FakeExec()
	{
		e = fake_exec_init("e1", 2);
	}
	~FakeExec() override
	{
		fake_exec_answer_clear(&a);
		fake_exec_end(e);
	}
	void Run(const char *body, ogl_time now)
	{
		fake_exec_answer_clear(&a);
		fake_exec_run(e, ogl_str(body), "north", "order", 5, now, &a);
	}

	struct fake_exec *e;
	struct fake_exec_answer a = {};
};

TEST_F(FakeExec, EchoesBodyAndFreesSlotWhenRunEnds)
{
	Run("x run_ms=20", 100);
	EXPECT_TRUE(a.accepted);
	EXPECT_EQ(100 + 20 * OGL_MS, a.finish_at);
	EXPECT_EQ("north|order|x run_ms=20", std::string(a.body, a.n));
	EXPECT_EQ(5u, a.token);
	Run("y run_ms=40", 101);
	Run("z", 102);
	EXPECT_FALSE(a.accepted);
	EXPECT_EQ(503u, a.status);
	EXPECT_EQ(0u, fake_exec_run_count(e, ogl_str("z")));
	EXPECT_EQ(2u, fake_exec_busy_slots(e, 102));
	EXPECT_EQ(1u, fake_exec_busy_slots(e, 100 + 20 * OGL_MS));
	Run("z", 100 + 20 * OGL_MS);
	EXPECT_TRUE(a.accepted);
}

// The answer to a request may be lost, cut, late, an error or have a wrong
// token although the request ran.  Each such run must be counted.
TEST_F(FakeExec, FaultyAnswersStillCountAsRuns)
{
	struct fake_exec_script *s = fake_exec_script(e);

	s->lose_answers = 1;
	Run("x run_ms=1", OGL_SEC);
	EXPECT_TRUE(a.lost);
	s->truncate_answers = 1;
	Run("x run_ms=1", 2 * OGL_SEC);
	EXPECT_LT(a.sent_bytes, a.n);
	s->wrong_tokens = 1;
	Run("x run_ms=1", 3 * OGL_SEC);
	EXPECT_NE(5u, a.token);
	s->answer_delay = OGL_SEC;
	s->fail_all = true;
	Run("x run_ms=1", 4 * OGL_SEC);
	EXPECT_EQ(500u, a.status);
	EXPECT_EQ(a.finish_at + OGL_SEC, a.answer_at);
	EXPECT_EQ(4u, fake_exec_run_count(e, ogl_str("x run_ms=1")));
	s->leaving = true;
	Run("x run_ms=1", 6 * OGL_SEC);
	EXPECT_FALSE(a.accepted);
	EXPECT_EQ(4u, fake_exec_run_count(e, ogl_str("x run_ms=1")));
}

} // namespace
