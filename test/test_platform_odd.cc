/*
 * Entries, rows and records that another program left in the platform's store
 * and in its answers.  Each test gives the adapter one answer as it comes over
 * the wire.
 */

#include <gtest/gtest.h>

#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "fleet.h"
#include "front.h"
#include "job.h"
#include "lease.h"
#include "platform.h"
#include "roster.h"
#include "wire_json.h"
}

namespace
{

const char kTask[] = "5c0e7a21d94b36f8.0.1.17";

struct ogl_str
Str(const std::string &s)
{
	return {s.data(), s.size()};
}

std::string
Nested(size_t levels, const char *open, const char *close)
{
	std::string s;

	for (size_t i = 0; i < levels; i++)
		s += open;
	s += "1";
	for (size_t i = 0; i < levels; i++)
		s += close;
	return s;
}

// The adapter, with requests that the test answers.
class Odd : public testing::Test
{
      protected:
	void SetUp() override
	{
		struct platform_settings s = {};
		struct platform_http http = {on_request, this};
		char addr[] = "10.0.0.1:1";

		s.store = s.advice = addr;
		platform_ = platform_init(
		    &http, &s,
		    [](void *ctx) { return static_cast<Odd *>(ctx)->now_; },
		    this);
		platform_set_ops(platform_, &ops_);
		ops_.ctx = this;
		ops_.log = [](void *ctx, const char *, const char *event,
			       const char *) {
			static_cast<Odd *>(ctx)->lines_[event]++;
		};
		ops_.count = [](void *ctx, const char *name, uint64_t by) {
			static_cast<Odd *>(ctx)->counts_[name] += by;
		};
	}
	void TearDown() override
	{
		platform_end(platform_);
	}
	static void on_request(void *ctx, const struct ogl_http_request *r)
	{
		auto *t = static_cast<Odd *>(ctx);

		t->url_ = r->url;
		t->done_ = r->done;
		t->arg_ = r->arg;
	}
	bool pending() const
	{
		return done_ != nullptr;
	}
	void answer(const std::string &body, unsigned status = 200)
	{
		struct ogl_http_result r = {
		    OGL_IO_OK, false, status, Str(body)};
		ogl_http_done *done = done_;

		ASSERT_NE(nullptr, done);
		done_ = nullptr;
		done(arg_, &r);
	}
	// Takes a worker's answer to a hold.
	void hold(const std::string &body,
	    std::function<void(const struct cell_hold_answer *)> check)
	{
		struct cell_hold h = {};

		h.to = {"10.0.0.9:80", "w1", 3};
		h.timeout_ms = 600;
		ops_.hold(
		    ops_.backend_ctx, &h,
		    [](void *arg, const struct cell_hold_answer *a, ogl_time) {
			    (*static_cast<std::function<void(
				    const struct cell_hold_answer *)> *>(arg))(
				a);
		    },
		    &check);
		answer(body);
	}

	struct platform *platform_ = nullptr;
	struct cell_ops ops_ = {};
	std::string url_;
	ogl_http_done *done_ = nullptr;
	void *arg_ = nullptr;
	std::map<std::string, int> lines_;
	std::map<std::string, uint64_t> counts_;
	ogl_time now_ = 100 * OGL_SEC;
};

// ---- rows of a worker's answer ----------------------------------------------

std::string
Running(const std::string &rest)
{
	return std::string(R"({"clock_ms":482113,"born":1700000000123,)") +
	       R"("running":[[")" + kTask + "\"," + rest + "]]}";
}

// Guards against undefined behaviour by a number outside of the range of the
// integer that it is cast to, and against numbers that wrap around.
TEST_F(Odd, NumbersInRowsAreInRange)
{
	const int64_t max = ((int64_t)1 << 53) - 1;
	const struct {
		const char *json;
		uint64_t number;
		uint32_t percent;
		int64_t gauge;
	} rows[] = {{"7", 7, 7, 7}, {"0", 0, 0, 0}, {"-1", 0, 0, 0},
	    {"-0", 0, 0, 0}, {"41.0", 41, 41, 41}, {"41.9", 0, 41, 41},
	    {"1e300", 0, 100, max}, {"-1e300", 0, 0, 0}, {"1e19", 0, 100, max},
	    {"9223372036854775807", 0, 100, max},
	    {"-9223372036854775808", 0, 0, 0},
	    {"9007199254740992", 0, 100, max},
	    {"4294967299", 4294967299, 100, 4294967299}, {"null", 0, 0, 0},
	    {"\"7\"", 0, 0, 0}, {"[7]", 0, 0, 0}, {"{}", 0, 0, 0},
	    {"true", 0, 0, 0}, {"1e-400", 0, 0, 0}};

	for (const auto &row : rows) {
		std::string n = row.json;

		hold(Running(n + ",\"\"," + n + "," + n),
		    [&](const struct cell_hold_answer *a) {
			    ASSERT_EQ(1u, a->nrunning) << n;
			    EXPECT_EQ(row.number, a->running[0].run) << n;
			    EXPECT_EQ(row.percent, a->running[0].percent) << n;
			    EXPECT_EQ(row.gauge, a->running[0].gauge) << n;
		    });
		hold(std::string(R"({"ended":[[)") + n + ",\"" + kTask + "\"," +
			 n + R"(,"done",""]]})",
		    [&](const struct cell_hold_answer *a) {
			    ASSERT_EQ(1u, a->nended) << n;
			    EXPECT_EQ(row.number, a->ended[0].number) << n;
			    EXPECT_EQ(row.number, a->ended[0].run) << n;
		    });
	}
}

// Guards against an overflow when the end of a lease is computed from the clock.
TEST_F(Odd, ClockFarAheadGivesNoOverflow)
{
	for (const char *clock : {"9223372036854775807", "1e18", "-5", "\"1\"",
		 "1e999", "99999999999999999999"}) {
		hold(std::string("{\"clock_ms\":") + clock +
			 ",\"born\":" + clock + "}",
		    [&](const struct cell_hold_answer *a) {
			    struct cell_lease l = {};

			    EXPECT_GE((uint64_t)1 << 53, a->clock_ms) << clock;
			    EXPECT_GE((uint64_t)1 << 53, a->born_ms) << clock;
			    cell_lease_read_clock(&l, a->clock_ms, now_);
			    cell_lease_clock_restarted(
				&l, a->clock_ms, now_ + OGL_SEC);
			    EXPECT_GE((uint64_t)INT64_MAX,
				cell_lease_extend(&l, 10000, now_ + OGL_SEC))
				<< clock;
		    });
	}
}

// Guards against a worker that counts as silent, and its runs as over, since one
// row of its answers has a number or text that the parser refuses.
TEST_F(Odd, UnreadableRowDoesNotHideTheOthers)
{
	const std::string odd[] = {"1e999", "-1e999", "99999999999999999999",
	    "-99999999999999999999", "NaN", "-Infinity", "\"\xff\xfe\"",
	    "\"\\ud800\"", "\"\\udc00x\"", "\"\\ud800\\u0041\"", "\"\x01\"",
	    Nested(100, "[", "]"), Nested(3000, "[", "]"),
	    Nested(3000, "{\"a\":", "}"), Nested(1000000, "[", "]")};

	for (const std::string &v : odd) {
		std::string name = v.substr(0, 40);

		hold(std::string(R"({"clock_ms":482113,"born":5,"running":[)") +
			 "[\"" + kTask + "\"," + v + ",\"c\",4],[" + v +
			 ",1,\"\",4],[\"" + kTask + "\",9,\"c\",4]," + v +
			 R"(],"ended":[],"more":)" + v + "}",
		    [&](const struct cell_hold_answer *a) {
			    EXPECT_EQ(OGL_IO_OK, a->io) << name;
			    EXPECT_EQ(482113u, a->clock_ms) << name;
			    EXPECT_EQ(5u, a->born_ms) << name;
			    ASSERT_EQ(2u, a->nrunning) << name;
			    EXPECT_EQ(0u, a->running[0].run) << name;
			    EXPECT_EQ(9u, a->running[1].run) << name;
			    EXPECT_STREQ("c", a->running[1].checkpoint);
		    });
	}
}

// Guards against an answer that is no JSON, or cut off, being taken for one that
// lists no runs: all of the worker's runs would count as lost.
TEST_F(Odd, AnswerThatIsCutOffIsLost)
{
	const std::string whole = Running("1,\"c\",4");
	const std::string bad[] = {"", "null", "[]", "x", "{",
	    "{\"running\":", whole.substr(0, whole.size() - 1), whole + "]",
	    whole + "{}", "{\"running\":[1e999", "{\"running\":[\"\xff",
	    "{\"a\" 1e999}", "{\"a\":\"\\u12\",\"b\":1e999}",
	    Nested(100000, "[", "]"), std::string(1000000, '['),
	    std::string(1000000, '{')};

	for (const std::string &text : bad) {
		hold(text, [&](const struct cell_hold_answer *a) {
			EXPECT_EQ(OGL_IO_LOST, a->io) << text.substr(0, 80);
			EXPECT_EQ(0u, a->nrunning);
		});
	}
}

// ---- advice -----------------------------------------------------------------

// Guards against odd rows of an answer that hide the others, or give a ticket
// that can't be sent on.
TEST_F(Odd, OddTicketsAreNotGiven)
{
	const std::string odd[] = {"7", "null", "[]", "{}", "1e999", "NaN",
	    "\"\xff\"", "\"\\ud800\"", "\"a\\u0000b\"", "\"\\n\"",
	    Nested(3000, "[", "]"), "99999999999999999999",
	    "\"" + std::string(2000000, 't') + "\""};
	const char *ids[] = {"w1", "w2"};
	struct cell_advice_query q = {"s", ids, 2, 600};
	std::string got;

	for (const std::string &v : odd) {
		got.clear();
		ops_.ask(
		    ops_.backend_ctx, &q,
		    [](void *arg, const struct cell_ask_answer *a, ogl_time) {
			    EXPECT_EQ(OGL_IO_OK, a->io);
			    for (size_t i = 0; i < a->n; i++)
				    *static_cast<std::string *>(arg) +=
					std::string(a->tickets[i].worker, 2) +
					"=" + a->tickets[i].ticket + " ";
		    },
		    &got);
		answer("{\"good\":[[\"w1\",\"t1\"],[\"w9\"," + v + "],[" + v +
		       ",\"t\"]," + v + ",[],[\"w2\",\"t2\"]],\"valid_ms\":" +
		       (v.size() < 100 ? v : "5") + "}");
		EXPECT_EQ(0u, got.find("w1=t1 ")) << v.substr(0, 40);
		EXPECT_NE(std::string::npos, got.find("w2=t2 "))
		    << v.substr(0, 40);
		EXPECT_GT(100u, got.size()) << v.substr(0, 40);
	}
}

} // namespace
