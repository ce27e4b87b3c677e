// Routing of short requests: choice of target, limits, circuit breaker, retry
// budget and waiting times.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

#include "orioleglade.h"

extern "C" {
#include "budget.h"
}

namespace
{

class Route : public testing::Test
{
      protected:
	struct ogl_route *r = ogl_route_init(5, "z1");
	ogl_time now = 100 * OGL_SEC;
	uint64_t last_request = 0;

	~Route() override
	{
		ogl_route_end(r);
	}

	uint32_t add(const std::string &name, const char *zone = "z1",
	    uint32_t slots = 8, bool leaving = false)
	{
		return ogl_route_set_target(
		    r, name.c_str(), zone, slots, leaving, now);
	}

	// Sends one request; UINT32_MAX if no target has a free place.
	uint32_t send()
	{
		uint32_t t;

		return ogl_route_pick(r, ++last_request, nullptr, 0, now, &t)
			   ? t
			   : UINT32_MAX;
	}

	void done(uint32_t t, uint64_t request,
	    enum ogl_io_result io = OGL_IO_OK, uint32_t status = 200)
	{
		ogl_route_request_done(r, t, request, io, status, now);
	}

	// Sends one request and ends it after ms milliseconds.
	uint32_t send_and_end(
	    int ms, enum ogl_io_result io = OGL_IO_OK, uint32_t status = 200)
	{
		uint32_t t = send();

		now += ms * OGL_MS;
		if (t != UINT32_MAX)
			done(t, last_request, io, status);
		return t;
	}
};

} // namespace

TEST_F(Route, SendsNoMoreThanSlots)
{
	add("a", "z1", 2);
	add("b", "z2", 2);
	std::map<uint32_t, int> n;

	EXPECT_EQ(4u, ogl_route_free_slots(r, now));
	for (int i = 0; i < 4; i++)
		n[send()]++;
	EXPECT_EQ(2, n[0]);
	EXPECT_EQ(2, n[1]);
	EXPECT_EQ(UINT32_MAX, send());
	EXPECT_EQ(0u, ogl_route_free_slots(r, now));
	EXPECT_GT(ogl_route_wait_ms(r, 0, now), 0u);
}

TEST_F(Route, PrefersOwnZoneWhenExpectedTimesAreClose)
{
	uint32_t far = add("far", "z2"), near = add("near", "z1");

	EXPECT_EQ(near, send_and_end(10));
	EXPECT_EQ(near, send());
	EXPECT_EQ(near, send());
	EXPECT_EQ(far, send()) << "a loaded near target loses to an idle one";
}

TEST_F(Route, SkipsTriedLeavingAndRemovedTargets)
{
	uint32_t a = add("a"), b = add("b"), t;

	for (uint64_t i = 0; i < 20; i++) {
		ASSERT_TRUE(ogl_route_pick(r, 1000 + i, &a, 1, now, &t));
		EXPECT_EQ(b, t);
		done(t, 1000 + i);
	}
	add("b", "z1", 8, true);
	EXPECT_FALSE(ogl_route_pick(r, 1, &a, 1, now, &t));
	EXPECT_EQ(a, send());
	ogl_route_remove_target(r, a);
	EXPECT_EQ(UINT32_MAX, send());
	done(a, last_request - 1);
}

// An executor serves several nodes, so other nodes may fill its slots.  It
// then refuses, and without a lower limit most requests would be refused.
TEST_F(Route, LowersTheLimitOnRefusals)
{
	uint32_t a = add("a");

	for (int i = 0; i < 8; i++)
		send();
	EXPECT_EQ(UINT32_MAX, send());
	done(a, 1, OGL_IO_REFUSED, 503);
	done(a, 2, OGL_IO_REFUSED, 503);
	EXPECT_EQ(UINT32_MAX, send()) << "the limit is below the slots";
	for (uint64_t i = 3; i <= 8; i++)
		done(a, i);
	EXPECT_LT(ogl_route_free_slots(r, now), 8u);
	for (int i = 0; i < 100; i++) {
		uint64_t first = last_request + 1;
		while (send() != UINT32_MAX)
			;
		for (uint64_t q = first; q < last_request; q++)
			done(a, q);
	}
	EXPECT_EQ(8u, ogl_route_free_slots(r, now))
	    << "answers raise the limit again";
}

// An executor's host has crashed.  Each request sent there fails, and callers
// see errors until the breaker opens.
TEST_F(Route, OpensTheBreakerOfAFailingTargetAndProbesIt)
{
	uint32_t bad = add("bad"), good = add("good"), t;
	int failures = 0, probes = 0;

	for (int i = 0; i < 2000; i++) {
		t = send();
		now += 20 * OGL_MS;
		done(t, last_request, t == bad ? OGL_IO_NOT_SENT : OGL_IO_OK,
		    200);
		failures += t == bad;
	}
	EXPECT_GE(failures, 5);
	EXPECT_LE(failures, 12);
	for (int s = 0; s < 1000; s++) {
		now += OGL_SEC;
		t = send();
		now += 20 * OGL_MS;
		done(t, last_request, t == bad ? OGL_IO_LOST : OGL_IO_OK, 200);
		probes += t == bad;
	}
	EXPECT_GE(probes, 10);
	EXPECT_LE(probes, 20) << "delays double up to 64 s";
	now += 100 * OGL_SEC;
	EXPECT_EQ(bad, send_and_end(20));
	std::set<uint32_t> seen;
	for (int i = 0; i < 20; i++)
		seen.insert(send_and_end(20));
	EXPECT_EQ(2u, seen.size()) << "a successful probe closes the breaker";
	EXPECT_EQ(1u, seen.count(good));
}

// One request fails on every executor that gets it, and its caller retries it
// again and again.  If the targets were blamed, the breakers would open one
// after the other and other callers' requests would be refused.
TEST_F(Route, DoesNotBlameTargetsForARequestThatFailsOnAllOfThem)
{
	uint32_t a = add("a"), b = add("b"), c = add("c"), t;

	for (uint64_t q = 1; q <= 50; q++) {
		uint32_t tried[3];
		for (size_t n = 0; n < 3; n++) {
			ASSERT_TRUE(ogl_route_pick(r, q, tried, n, now, &t));
			ogl_route_request_done(r, t, q, OGL_IO_OK, 500, now);
			tried[n] = t;
		}
	}
	EXPECT_EQ(24u, ogl_route_free_slots(r, now));
	std::set<uint32_t> seen;
	for (int i = 0; i < 24; i++)
		seen.insert(send());
	EXPECT_EQ((std::set<uint32_t>{a, b, c}), seen);
}

// A shared back end fails, and every executor with it.  If all breakers opened,
// callers would be refused long after the back end has recovered.
TEST_F(Route, KeepsHalfOfTheTargetsInUseWhenAllFail)
{
	for (int i = 0; i < 6; i++)
		add("t" + std::to_string(i));
	for (int i = 0; i < 500; i++)
		send_and_end(1, OGL_IO_OK, 500);
	EXPECT_GE(ogl_route_free_slots(r, now), 24u);
}

// An executor hangs: it accepts requests and answers none.  Before the first
// timeout the only sign is the age of the requests in flight.
TEST_F(Route, AvoidsATargetThatHangs)
{
	uint32_t hung = add("hung", "z1", 64);
	add("b", "z1", 64);
	int sent = 0;

	for (int i = 0; i < 200; i++) {
		uint32_t t = send();
		now += 10 * OGL_MS;
		if (t != hung)
			done(t, last_request);
		sent += t == hung;
	}
	EXPECT_LE(sent, 8);
}

TEST_F(Route, WaitingTimeFollowsTheCompletionRate)
{
	add("a", "z1", 4);
	uint64_t oldest = 1;

	while (send() != UINT32_MAX)
		;
	// Four places, one answer every 50 ms: 20 requests per second.
	for (int i = 0; i < 200; i++) {
		now += 50 * OGL_MS;
		done(0, oldest);
		oldest = last_request;
		send();
		uint64_t refused = last_request + 1;
		EXPECT_EQ(UINT32_MAX, send());
		oldest = refused - 1;
	}
	uint64_t ms = ogl_route_wait_ms(r, 99, now);
	EXPECT_GE(ms, 4000u);
	EXPECT_LE(ms, 6000u);
}

// All executors are overloaded and every failed request is retried, which
// keeps them overloaded.  The budget bounds retries to a tenth of the
// successes.
TEST(Budget, BoundsRetriesByTheNumberOfSuccesses)
{
	struct ogl_budget b;
	int retries = 0;

	ogl_budget_init(&b, 0);
	while (ogl_budget_take(&b, 0))
		retries++;
	EXPECT_EQ(10, retries);
	for (int i = 0; i < 100; i++)
		ogl_budget_success(&b);
	for (retries = 0; ogl_budget_take(&b, 0);)
		retries++;
	EXPECT_NEAR(10, retries, 1);
	EXPECT_TRUE(ogl_budget_take(&b, 10 * OGL_SEC))
	    << "time adds retries without successes";
}
