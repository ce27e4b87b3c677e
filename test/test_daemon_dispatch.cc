// The dispatcher with all its parts and a test double of the node.
#include <gtest/gtest.h>

#include "test_daemon_util.h"

extern "C" {
#include "dispatch.h"
}

// A test double of the node.  It forwards each call to one executor and replies
// with the answer.  After a stop it exits once no call is open.
struct ogl_node {
	std::string executor;
	int open_calls;
	bool stopping;
	ogl_time last_step, next_wake;
	int timer_events, steps_back;
};

extern "C" void
ogl_node_step(ogl_node *n, const ogl_event *ev, ogl_time now, ogl_actions *out)
{
	ogl_action *a;

	n->steps_back += now < n->last_step;
	n->last_step = now;
	if (ev->type == OGL_EV_CALL) {
		n->open_calls++;
		a = ogl_actions_new(out, OGL_ACT_EXEC);
		a->token = ev->token;
		a->addr = g_strdup(n->executor.c_str());
		a->timeout_ms = 10000;
	} else if (ev->type == OGL_EV_EXEC) {
		n->open_calls--;
		a = ogl_actions_new(out, OGL_ACT_REPLY);
		a->token = ev->token;
		a->status = ev->u.exec.status;
		a->verdict = OGL_RAN;
		a->data = g_bytes_new(ev->u.exec.body.p, ev->u.exec.body.n);
	} else if (ev->type == OGL_EV_TIMER) {
		n->timer_events++;
		n->next_wake = now + 20 * OGL_MS;
	} else if (ev->type == OGL_EV_STOP) {
		n->stopping = true;
	}
	if (n->stopping && n->open_calls == 0)
		ogl_actions_new(out, OGL_ACT_EXIT);
}

extern "C" ogl_time
ogl_node_next_wake(const ogl_node *n)
{
	return n->next_wake;
}

extern "C" bool
ogl_node_ready(const ogl_node *n, ogl_time)
{
	return !n->stopping;
}

extern "C" char *
ogl_node_metrics(const ogl_node *, ogl_time)
{
	return g_strdup("ogl_node_x 1\n");
}

struct Dispatch : ::testing::Test {
	Loop l;
	uint16_t exec_port;
	int exec_fd = listen_on_free_port(&exec_port);
	ogl_node node{addr_of(exec_port), 0, false, 0, 0, 0, 0};
	ogl_dispatch *d = ogl_dispatch_init(l.loop, l.log);
	ogl_dispatch_parts parts{};

	Dispatch()
	{
		ogl_sink sink = ogl_dispatch_sink(d);
		ogl_http_in_limits limits;

		ogl_http_in_limits_default(&limits);
		parts.node = &node;
		parts.http_in = ogl_http_in_init(l.loop, "127.0.0.1:0", &limits,
		    sink, ogl_dispatch_http_ops(d), l.log, nullptr);
		parts.http_out =
		    ogl_http_out_init(l.loop, "127.0.0.1:1", sink, l.log);
		parts.peer =
		    ogl_peer_init(l.loop, "127.0.0.1:0", sink, l.log, nullptr);
		ogl_dispatch_begin(d, &parts);
	}
	~Dispatch() override
	{
		ogl_http_in_end(parts.http_in);
		ogl_http_out_end(parts.http_out);
		ogl_peer_end(parts.peer);
		ogl_dispatch_end(d);
		close(exec_fd);
	}
	int call(const char *path)
	{
		int fd = connect_to(ogl_http_in_port(parts.http_in));

		send_all(fd, std::string("GET ") + path +
				 " HTTP/1.1\r\nHost: x\r\n\r\n");
		return fd;
	}
};

static bool
contains(const std::string &s, const char *part)
{
	return s.find(part) != std::string::npos;
}

// Returns the request's Ogl-Token, which the answer has to echo.
static std::string
token_of(const std::string &req)
{
	static const std::string name = "Ogl-Token: ";
	size_t at = req.find(name);

	if (at == std::string::npos)
		return "";
	at += name.size();
	return req.substr(at, req.find("\r\n", at) - at);
}

// A stop during a request: load balancers see at once that the node is not
// ready, the caller gets the complete answer, and only then the process ends.
TEST_F(Dispatch, StopCompletesOpenRequests)
{
	char buf[4096];
	int caller = call("/v1/x");

	ASSERT_TRUE(l.run_until([&] { return node.open_calls == 1; }));
	ogl_dispatch_stop(d);
	int probe = call("/readyz");
	l.run_until([&] {
		return recv(probe, buf, sizeof buf, MSG_DONTWAIT | MSG_PEEK) >
		       0;
	});
	EXPECT_TRUE(contains(recv_all(probe), "HTTP/1.1 503"));
	EXPECT_FALSE(ogl_dispatch_complete(d));
	std::thread executor([&] {
		int fd = accept(exec_fd, nullptr, nullptr);
		char req[4096];
		ssize_t n = recv(fd, req, sizeof req, 0);
		EXPECT_GT(n, 0);
		std::string token = token_of(std::string(req, n > 0 ? n : 0));
		EXPECT_NE("", token);
		send_all(fd, "HTTP/1.1 200 OK\r\nOgl-Token: " + token +
				 "\r\nContent-Length: 6\r\n\r\nresult");
		recv_all(fd);
		close(fd);
	});
	ASSERT_TRUE(l.run_until([&] { return ogl_dispatch_complete(d); }));
	std::string got = recv_all(caller);
	EXPECT_TRUE(contains(got, "HTTP/1.1 200"));
	EXPECT_TRUE(contains(got, "\r\n\r\nresult"));
	ogl_http_out_end(parts.http_out);
	parts.http_out = nullptr;
	executor.join();
	close(caller);
	close(probe);
}

TEST_F(Dispatch, WakesNodeWithMonotonicTime)
{
	ASSERT_TRUE(l.run_until([&] { return node.timer_events >= 10; }));
	EXPECT_EQ(0, node.steps_back);
}

TEST_F(Dispatch, MetricsPageCoversNodeAndParts)
{
	std::string got;
	char buf[8192];
	int fd = call("/metrics");
	ssize_t n = 0;

	ASSERT_TRUE(l.run_until(
	    [&] { return (n = recv(fd, buf, sizeof buf, MSG_DONTWAIT)) > 0; }));
	got.assign(buf, (size_t)n);
	EXPECT_TRUE(contains(got, "ogl_node_x 1\n"));
	EXPECT_TRUE(contains(got, "\nogl_http_out_resends_stopped_total 0\n"));
	EXPECT_TRUE(contains(got, "\nogl_peer_dropped_total 0\n"));
	close(fd);
}
