// Callers' requests, whole and otherwise.
#include <gtest/gtest.h>

#include "test_daemon_util.h"

extern "C" {
#include "http_in.h"
}

struct HttpIn : ::testing::Test {
	Loop l;
	ogl_http_in_limits limits;
	ogl_http_in *h = nullptr;
	bool answer = true;

	HttpIn()
	{
		ogl_http_in_limits_default(&limits);
		l.copy = [](const ogl_event *ev, Seen &s) {
			if (ev->type != OGL_EV_CALL)
				return;
			s.number = ev->u.call.budget_ms;
			s.path.assign(ev->u.call.path.p, ev->u.call.path.n);
			s.text.assign(ev->u.call.key.p, ev->u.call.key.n);
			s.text +=
			    ' ' +
			    std::string(
				ev->u.call.method.p, ev->u.call.method.n) +
			    ' ' +
			    std::string(
				ev->u.call.body.n ? ev->u.call.body.p : "",
				ev->u.call.body.n);
		};
		l.turn = [this] { turn(); };
	}
	~HttpIn() override
	{
		ogl_http_in_end(h);
	}
	void start()
	{
		ogl_http_in_ops ops = {[](void *) { return true; },
		    [](void *) { return g_strdup("ogl_x 1\n"); }, nullptr};

		h = ogl_http_in_init(l.loop, "127.0.0.1:0", &limits, l.sink(),
		    ops, l.log, nullptr);
		ASSERT_NE(nullptr, h);
	}
	void reply(uint64_t token)
	{
		ogl_actions q;

		ogl_actions_init(&q);
		ogl_action *a = ogl_actions_new(&q, OGL_ACT_REPLY);
		a->token = token;
		a->status = 200;
		a->verdict = OGL_RAN;
		a->retry_after_ms = 1500;
		a->data = g_bytes_new("done", 4);
		ogl_http_in_reply(h, a);
		ogl_actions_clear(&q);
	}
	size_t replied = 0;
	void turn()
	{
		do {
			for (; answer && replied < l.seen.size(); replied++)
				reply(l.seen[replied].token);
		} while (ogl_http_in_run(h));
	}
	// What a client that runs `act` on its connection reads until its end.
	std::string client(const std::function<void(int)> &act)
	{
		std::atomic<bool> ended{false};
		std::string got;
		uint16_t port = ogl_http_in_port(h);
		std::thread t([&] {
			int fd = dial(port);
			act(fd);
			got = get_all(fd);
			close(fd);
			ended = true;
		});

		EXPECT_TRUE(l.until([&] { return ended.load(); }));
		t.join();
		return got;
	}
	std::string request(const std::string &text)
	{
		return client([&](int fd) { put(fd, text); });
	}
};

static bool
has(const std::string &s, const char *part)
{
	return s.find(part) != std::string::npos;
}

TEST_F(HttpIn, ACallReachesTheNodeWholeAndItsReplyTheCaller)
{
	start();
	std::string got =
	    request("POST /v1/requests?a=b HTTP/1.1\r\nHost: x\r\n"
		    "Authorization: Bearer k1\r\n"
		    "Ogl-Timeout-Ms: 250\r\nConnection: close\r\n"
		    "Content-Length: 4\r\n\r\nbody");

	ASSERT_EQ(1u, l.seen.size());
	EXPECT_EQ("/v1/requests?a=b", l.seen[0].path);
	EXPECT_EQ("k1 POST body", l.seen[0].text);
	EXPECT_EQ(250u, l.seen[0].number);
	EXPECT_TRUE(has(got, "HTTP/1.1 200"));
	EXPECT_TRUE(has(got, "Ogl-Verdict: ran\r\n"));
	EXPECT_TRUE(has(got, "Retry-After: 2\r\n"));
	EXPECT_TRUE(has(got, "Ogl-Retry-After-Ms: 1500\r\n"));
	EXPECT_TRUE(has(got, "\r\n\r\ndone"));
}

TEST_F(HttpIn, ManyCallsOnOneConnection)
{
	std::string got;

	start();
	for (int i = 0; i < 50; i++)
		got += "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n";
	got = request(got + "GET /healthz HTTP/1.1\r\nHost: x\r\n"
			    "Connection: close\r\n\r\n");
	EXPECT_EQ(50u, l.seen.size());
	EXPECT_TRUE(has(got, "ok\n"));
}

TEST_F(HttpIn, OwnPathsAreAnsweredWithoutTheNode)
{
	start();
	for (const char *path : {"/healthz", "/readyz", "/metrics"}) {
		std::string got = request(std::string("GET ") + path +
					  " HTTP/1.1\r\nHost: x\r\n"
					  "Connection: close\r\n\r\n");
		EXPECT_TRUE(has(got, "HTTP/1.1 200")) << path;
	}
	EXPECT_TRUE(l.seen.empty());
}

// Callers send what no node should take in: a body over the bound, declared
// or not, another method, headers that mean nothing.  Each is told that
// nothing ran, and the node is never asked.
TEST_F(HttpIn, WhatCannotBeTakenIsRefusedAsNotRun)
{
	std::string large(1024 * 1024 + 1, 'x');
	struct {
		const char *status;
		std::string text;
	} cases[] = {
	    {"413", "POST /v1/requests HTTP/1.1\r\nHost: x\r\n"
		    "Content-Length: 1048577\r\n\r\n" +
			large},
	    {"413", "POST /v1/requests HTTP/1.1\r\nHost: x\r\n"
		    "Expect: 100-continue\r\n"
		    "Content-Length: 1048577\r\n\r\n"},
	    {"413", "POST /v1/requests HTTP/1.1\r\nHost: x\r\n"
		    "Content-Length: 99999999999\r\n\r\n"},
	    {"413", "POST /v1/requests HTTP/1.1\r\nHost: x\r\n"
		    "Transfer-Encoding: chunked\r\n\r\n100001\r\n" +
			large + "\r\n0\r\n\r\n"},
	    {"405", "PUT /v1/requests HTTP/1.1\r\nHost: x\r\n"
		    "Content-Length: 1\r\n\r\nx"},
	    {"400", "POST /v1/requests HTTP/1.1\r\nHost: x\r\n"
		    "Ogl-Timeout-Ms: soon\r\nContent-Length: 1\r\n\r\nx"},
	    {"400", "POST /v1/requests HTTP/1.1\r\nHost: x\r\n"
		    "Ogl-Idempotent: maybe\r\nContent-Length: 1\r\n\r\nx"},
	};

	start();
	ogl_http_in_closing(h);
	for (const auto &c : cases) {
		std::string got = request(c.text);
		EXPECT_TRUE(
		    has(got, (std::string("HTTP/1.1 ") + c.status).c_str()))
		    << c.text.substr(0, 120) << "\n"
		    << got;
		EXPECT_TRUE(has(got, "Ogl-Verdict: not_run\r\n"));
		EXPECT_TRUE(has(got, "\"verdict\""));
	}
	EXPECT_TRUE(l.seen.empty());
	EXPECT_EQ(4u, ogl_http_in_counts(h)->too_big);
}

// Many callers send large bodies at once.  Those beyond the total are refused
// at once rather than held, and the memory is free again afterwards.
TEST_F(HttpIn, BodiesTogetherAreBounded)
{
	std::string text = "POST /v1/requests HTTP/1.1\r\nHost: x\r\n"
			   "Connection: close\r\nContent-Length: 600\r\n\r\n" +
			   std::string(600, 'x');

	limits.body_total_max = 1000;
	start();
	int held = dial(ogl_http_in_port(h));
	put(held, text.substr(0, text.size() - 1));
	std::string got;
	ASSERT_TRUE(l.until([&] {
		got = request(text);
		return has(got, "HTTP/1.1 503");
	}));
	EXPECT_TRUE(has(got, "Ogl-Verdict: not_run\r\n"));
	EXPECT_TRUE(has(got, "Retry-After: 1\r\n"));
	close(held);
	ASSERT_TRUE(
	    l.until([&] { return has(request(text), "HTTP/1.1 200"); }));
}

// A caller's host fails while it sends.  Half a request must never count as
// a whole one.
TEST_F(HttpIn, HalfARequestNeverReachesTheNode)
{
	limits.request_timeout_ms = 400;
	start();
	for (const char *text : {"POST /v1/requests HTTP/1.1\r\nHost: x\r\n"
				 "Content-Length: 100\r\n\r\nhalf",
		 "POST /v1/requests HTTP/1.1\r\nHo", "POST /v1", ""}) {
		EXPECT_EQ("", client([&](int fd) {
			put(fd, text);
			shutdown(fd, SHUT_WR);
		}));
	}
	EXPECT_TRUE(l.seen.empty());
}

// A sender of a few bytes now and then is never silent for long, yet would
// hold its connection for ever.
TEST_F(HttpIn, ASlowSenderIsClosedThoughItNeverPauses)
{
	limits.request_timeout_ms = 200;
	start();
	client([&](int fd) {
		put(fd, "POST /v1/requests HTTP/1.1\r\nHost: x\r\n"
			"Content-Length: 1000000\r\n\r\n");
		while (put(fd, "x"))
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(10));
	});
	EXPECT_EQ(1u, ogl_http_in_counts(h)->too_slow);
	EXPECT_TRUE(l.seen.empty());
}

// A node dies with calls under way and is started again.  Answers to its old
// calls still come, from an owner that is late.  Did the new process count its
// calls from the same number, they would answer other callers' requests: one
// sees a job accepted that nobody has written, another that his is unknown.
TEST_F(HttpIn, ANewProcessNamesItsCallsAnew)
{
	start();
	request("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
	ASSERT_EQ(1u, l.seen.size());
	ogl_http_in_end(h);
	start();
	request("GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
	ASSERT_EQ(2u, l.seen.size());
	EXPECT_LT(l.seen[0].token, l.seen[1].token);
}

// A caller gives up while its request waits.  The node is told, so that it
// does not do the work for nobody, and its later reply goes nowhere.
TEST_F(HttpIn, ACallerThatLeavesIsReported)
{
	answer = false;
	start();
	int fd = dial(ogl_http_in_port(h));
	put(fd, "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n");
	ASSERT_TRUE(l.until([&] { return l.seen.size() == 1; }));
	close(fd);
	ASSERT_TRUE(l.until([&] { return l.seen.size() == 2; }));
	EXPECT_EQ(OGL_EV_CALL_GONE, l.seen[1].type);
	EXPECT_EQ(l.seen[0].token, l.seen[1].token);
	reply(l.seen[0].token);
	EXPECT_EQ(1u, ogl_http_in_counts(h)->late_replies);
}

// The node shuts down: requests still waiting get their replies, one that
// comes afterwards on a connection kept open is refused as not run, and then
// every connection ends.
TEST_F(HttpIn, ShutdownAnswersEverybodyAndThenDrains)
{
	const char *text = "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n";

	answer = false;
	start();
	int waiting = dial(ogl_http_in_port(h));
	put(waiting, text);
	ASSERT_TRUE(l.until([&] { return l.seen.size() == 1; }));
	int queued = dial(ogl_http_in_port(h));
	put(queued, text);
	ogl_http_in_quiesce(h);
	EXPECT_EQ(-1, dial(ogl_http_in_port(h)));
	reply(l.seen[0].token);
	ASSERT_TRUE(l.until([&] { return ogl_http_in_drained(h); }));
	EXPECT_TRUE(has(get_all(waiting), "\r\n\r\ndone"));
	std::string got = get_all(queued);
	EXPECT_TRUE(has(got, "HTTP/1.1 503"));
	EXPECT_TRUE(has(got, "Ogl-Verdict: not_run\r\n"));
	EXPECT_TRUE(has(got, "Connection: close\r\n"));
	EXPECT_EQ(1u, l.seen.size());
	close(waiting);
	close(queued);
}

// The daemon ends with calls unanswered (the hard limit): it must still end.
TEST_F(HttpIn, EndsWithCallsWaiting)
{
	answer = false;
	start();
	int fd = dial(ogl_http_in_port(h));
	put(fd, "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n");
	ASSERT_TRUE(l.until([&] { return l.seen.size() == 1; }));
	ogl_http_in_end(h);
	h = nullptr;
	EXPECT_EQ("", get_all(fd));
	close(fd);
}
