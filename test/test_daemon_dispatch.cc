// The parts together around a node that only passes requests on.
#include <gtest/gtest.h>

#include "test_daemon_util.h"

extern "C" {
#include "dispatch.h"
}

// A double of the node: each call becomes a request to one executor, whose
// answer becomes the reply; it exits when nothing is open.
struct ogl_node {
	std::string executor;
	int open;
	bool stopping;
	ogl_time last, wake;
	int timers, backwards;
};

extern "C" void
ogl_node_step(ogl_node *n, const ogl_event *ev, ogl_time now, ogl_actions *out)
{
	ogl_action *a;

	n->backwards += now < n->last;
	n->last = now;
	if (ev->type == OGL_EV_CALL) {
		n->open++;
		a = ogl_actions_new(out, OGL_ACT_EXEC);
		a->token = ev->token;
		a->addr = g_strdup(n->executor.c_str());
		a->timeout_ms = 10000;
	} else if (ev->type == OGL_EV_EXEC) {
		n->open--;
		a = ogl_actions_new(out, OGL_ACT_REPLY);
		a->token = ev->token;
		a->status = ev->u.exec.status;
		a->verdict = OGL_RAN;
		a->data = g_bytes_new(ev->u.exec.body.p, ev->u.exec.body.n);
	} else if (ev->type == OGL_EV_TIMER) {
		n->timers++;
		n->wake = now + 20 * OGL_MS;
	} else if (ev->type == OGL_EV_STOP) {
		n->stopping = true;
	}
	if (n->stopping && n->open == 0)
		ogl_actions_new(out, OGL_ACT_EXIT);
}

extern "C" ogl_time
ogl_node_next_wake(const ogl_node *n)
{
	return n->wake;
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
	int exec_fd = listen_any(&exec_port);
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
		int fd = dial(ogl_http_in_port(parts.http_in));

		put(fd, std::string("GET ") + path +
			    " HTTP/1.1\r\nHost: x\r\n\r\n");
		return fd;
	}
};

static bool
has(const std::string &s, const char *part)
{
	return s.find(part) != std::string::npos;
}

// The token that a request names its call by, for the answer to name it too.
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

// The node is told to stop while an executor still works on a request.  The
// balancer sees it as not ready at once; the caller gets the whole answer; and
// only then does the process end.
TEST_F(Dispatch, AStopCutsNoRequest)
{
	char buf[4096];
	int caller = call("/v1/x");

	ASSERT_TRUE(l.until([&] { return node.open == 1; }));
	ogl_dispatch_stop(d);
	int probe = call("/readyz");
	l.until([&] {
		return recv(probe, buf, sizeof buf, MSG_DONTWAIT | MSG_PEEK) >
		       0;
	});
	EXPECT_TRUE(has(get_all(probe), "HTTP/1.1 503"));
	EXPECT_FALSE(ogl_dispatch_clean(d));
	std::thread executor([&] {
		int fd = accept(exec_fd, nullptr, nullptr);
		char req[4096];
		ssize_t n = recv(fd, req, sizeof req, 0);
		EXPECT_GT(n, 0);
		std::string token = token_of(std::string(req, n > 0 ? n : 0));
		EXPECT_NE("", token);
		put(fd, "HTTP/1.1 200 OK\r\nOgl-Token: " + token +
			    "\r\nContent-Length: 6\r\n\r\nresult");
		get_all(fd);
		close(fd);
	});
	ASSERT_TRUE(l.until([&] { return ogl_dispatch_clean(d); }));
	std::string got = get_all(caller);
	EXPECT_TRUE(has(got, "HTTP/1.1 200"));
	EXPECT_TRUE(has(got, "\r\n\r\nresult"));
	ogl_http_out_end(parts.http_out);
	parts.http_out = nullptr;
	executor.join();
	close(caller);
	close(probe);
}

TEST_F(Dispatch, TheNodeIsWokenWhenItAsksAndItsClockNeverGoesBack)
{
	ASSERT_TRUE(l.until([&] { return node.timers >= 10; }));
	EXPECT_EQ(0, node.backwards);
}

TEST_F(Dispatch, MetricsOfNodeAndPartsAreOnOnePage)
{
	std::string got;
	char buf[8192];
	int fd = call("/metrics");
	ssize_t n = 0;

	ASSERT_TRUE(l.until(
	    [&] { return (n = recv(fd, buf, sizeof buf, MSG_DONTWAIT)) > 0; }));
	got.assign(buf, (size_t)n);
	EXPECT_TRUE(has(got, "ogl_node_x 1\n"));
	EXPECT_TRUE(has(got, "\nogl_http_out_resends_stopped_total 0\n"));
	EXPECT_TRUE(has(got, "\nogl_peer_dropped_total 0\n"));
	close(fd);
}
