// The HTTP server: complete, incomplete and malformed requests.
#include <gtest/gtest.h>

#include "test_daemon_util.h"

extern "C" {
#include "http_in.h"
}

struct HttpIn : ::testing::Test {
	Loop l;
	ogl_http_in_limits limits;
	ogl_http_in *h = nullptr;
	bool auto_reply = true;

	HttpIn()
	{
		ogl_http_in_limits_default(&limits);
		l.record = [](const ogl_event *ev, Seen &s) {
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
		l.before_turn = [this] { serve(); };
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
	void serve()
	{
		do {
			for (; auto_reply && replied < l.seen.size(); replied++)
				reply(l.seen[replied].token);
		} while (ogl_http_in_run(h));
	}
	// Connects a client, runs `script` on its connection and returns what
	// the client reads until the connection ends.
	std::string run_client(const std::function<void(int)> &script)
	{
		std::atomic<bool> ended{false};
		std::string got;
		uint16_t port = ogl_http_in_port(h);
		std::thread t([&] {
			int fd = connect_to(port);
			script(fd);
			got = recv_all(fd);
			close(fd);
			ended = true;
		});

		EXPECT_TRUE(l.run_until([&] { return ended.load(); }));
		t.join();
		return got;
	}
	std::string request(const std::string &text)
	{
		return run_client([&](int fd) { send_all(fd, text); });
	}
};

static bool
contains(const std::string &s, const char *part)
{
	return s.find(part) != std::string::npos;
}

TEST_F(HttpIn, PassesCallToNodeAndReplyToCaller)
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
	EXPECT_TRUE(contains(got, "HTTP/1.1 200"));
	EXPECT_TRUE(contains(got, "Ogl-Verdict: ran\r\n"));
	EXPECT_TRUE(contains(got, "Retry-After: 2\r\n"));
	EXPECT_TRUE(contains(got, "Ogl-Retry-After-Ms: 1500\r\n"));
	EXPECT_TRUE(contains(got, "\r\n\r\ndone"));
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
	EXPECT_TRUE(contains(got, "ok\n"));
}

TEST_F(HttpIn, AnswersLocalPathsWithoutNode)
{
	start();
	for (const char *path : {"/healthz", "/readyz", "/metrics"}) {
		std::string got = request(std::string("GET ") + path +
					  " HTTP/1.1\r\nHost: x\r\n"
					  "Connection: close\r\n\r\n");
		EXPECT_TRUE(contains(got, "HTTP/1.1 200")) << path;
	}
	EXPECT_TRUE(l.seen.empty());
}

// A body over the limit, declared or not, an unsupported method and malformed
// headers are refused as not executed, and do not reach the node.
TEST_F(HttpIn, RefusesInvalidRequestsAsNotRun)
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
	ogl_http_in_set_closing(h);
	for (const auto &c : cases) {
		std::string got = request(c.text);
		EXPECT_TRUE(contains(
		    got, (std::string("HTTP/1.1 ") + c.status).c_str()))
		    << c.text.substr(0, 120) << "\n"
		    << got;
		EXPECT_TRUE(contains(got, "Ogl-Verdict: not_run\r\n"));
		EXPECT_TRUE(contains(got, "\"verdict\""));
	}
	EXPECT_TRUE(l.seen.empty());
	EXPECT_EQ(4u, ogl_http_in_counts(h)->too_big);
}

// Many callers send large bodies at once.  Bodies over the total limit are
// refused instead of kept in memory, and the memory is free again afterwards.
TEST_F(HttpIn, LimitsTotalSizeOfBodies)
{
	std::string text = "POST /v1/requests HTTP/1.1\r\nHost: x\r\n"
			   "Connection: close\r\nContent-Length: 600\r\n\r\n" +
			   std::string(600, 'x');

	limits.body_total_max_bytes = 1000;
	start();
	int held = connect_to(ogl_http_in_port(h));
	send_all(held, text.substr(0, text.size() - 1));
	std::string got;
	ASSERT_TRUE(l.run_until([&] {
		got = request(text);
		return contains(got, "HTTP/1.1 503");
	}));
	EXPECT_TRUE(contains(got, "Ogl-Verdict: not_run\r\n"));
	EXPECT_TRUE(contains(got, "Retry-After: 1\r\n"));
	close(held);
	ASSERT_TRUE(l.run_until(
	    [&] { return contains(request(text), "HTTP/1.1 200"); }));
}

// A caller's host fails while it sends.  An incomplete request must never be
// taken for a complete one.
TEST_F(HttpIn, DropsIncompleteRequest)
{
	limits.request_timeout_ms = 400;
	start();
	for (const char *text : {"POST /v1/requests HTTP/1.1\r\nHost: x\r\n"
				 "Content-Length: 100\r\n\r\nhalf",
		 "POST /v1/requests HTTP/1.1\r\nHo", "POST /v1", ""}) {
		EXPECT_EQ("", run_client([&](int fd) {
			send_all(fd, text);
			shutdown(fd, SHUT_WR);
		}));
	}
	EXPECT_TRUE(l.seen.empty());
}

// A caller that sends a few bytes now and then never exceeds the idle timeout,
// and would keep its connection for ever.
TEST_F(HttpIn, ClosesConnectionOfSlowSender)
{
	limits.request_timeout_ms = 200;
	start();
	run_client([&](int fd) {
		send_all(fd, "POST /v1/requests HTTP/1.1\r\nHost: x\r\n"
			     "Content-Length: 1000000\r\n\r\n");
		while (send_all(fd, "x"))
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(10));
	});
	EXPECT_EQ(1u, ogl_http_in_counts(h)->too_slow);
	EXPECT_TRUE(l.seen.empty());
}

// A node crashes with calls in progress and restarts, and an owner answers the
// old calls late.  If the new process reused the tokens, these answers would go
// to other callers: one would be told that a job is accepted which was never
// stored, another that its job is unknown.
TEST_F(HttpIn, TokensAreNotReusedAfterRestart)
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

// A caller disconnects while its request waits.  The node is told, so that it
// does not do the work for nobody, and its later reply is discarded.
TEST_F(HttpIn, ReportsDisconnectedCaller)
{
	auto_reply = false;
	start();
	int fd = connect_to(ogl_http_in_port(h));
	send_all(fd, "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n");
	ASSERT_TRUE(l.run_until([&] { return l.seen.size() == 1; }));
	close(fd);
	ASSERT_TRUE(l.run_until([&] { return l.seen.size() == 2; }));
	EXPECT_EQ(OGL_EV_CALLER_GONE, l.seen[1].type);
	EXPECT_EQ(l.seen[0].token, l.seen[1].token);
	reply(l.seen[0].token);
	EXPECT_EQ(1u, ogl_http_in_counts(h)->late_replies);
}

// The node shuts down.  Waiting requests get their replies, a request that is
// still in the listen backlog is refused as not executed, and then all
// connections end.
TEST_F(HttpIn, ShutdownAnswersOpenCallsAndDrains)
{
	const char *text = "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n";

	auto_reply = false;
	start();
	int waiting = connect_to(ogl_http_in_port(h));
	send_all(waiting, text);
	ASSERT_TRUE(l.run_until([&] { return l.seen.size() == 1; }));
	int queued = connect_to(ogl_http_in_port(h));
	send_all(queued, text);
	ogl_http_in_quiesce(h);
	EXPECT_EQ(-1, connect_to(ogl_http_in_port(h)));
	reply(l.seen[0].token);
	ASSERT_TRUE(l.run_until([&] { return ogl_http_in_drained(h); }));
	EXPECT_TRUE(contains(recv_all(waiting), "\r\n\r\ndone"));
	std::string got = recv_all(queued);
	EXPECT_TRUE(contains(got, "HTTP/1.1 503"));
	EXPECT_TRUE(contains(got, "Ogl-Verdict: not_run\r\n"));
	EXPECT_TRUE(contains(got, "Connection: close\r\n"));
	EXPECT_EQ(1u, l.seen.size());
	close(waiting);
	close(queued);
}

// The shutdown times out with calls unanswered; the daemon must still end.
TEST_F(HttpIn, EndsWithUnansweredCalls)
{
	auto_reply = false;
	start();
	int fd = connect_to(ogl_http_in_port(h));
	send_all(fd, "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n");
	ASSERT_TRUE(l.run_until([&] { return l.seen.size() == 1; }));
	ogl_http_in_end(h);
	h = nullptr;
	EXPECT_EQ("", recv_all(fd));
	close(fd);
}
