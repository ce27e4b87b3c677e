// Results of requests to the platform, workers and executors.
#include <gtest/gtest.h>

#include <mutex>

#include "test_daemon_util.h"

extern "C" {
#include "http_out.h"
}

// Serves each connection on its own thread.  The script is called with the
// number of the request (from 0, over all connections) and the request, and
// returns the raw answer.  At "#close" the answer is truncated and the
// connection closed.
struct Server {
	using Script = std::function<std::string(int, const std::string &)>;
	uint16_t port;
	int lfd = listen_on_free_port(&port);
	Script script;
	std::atomic<int> requests{0};
	std::atomic<bool> ended{false};
	std::mutex lock;
	std::vector<int> open;
	std::vector<std::thread> threads;
	std::thread acceptor;

	explicit Server(Script s)
	    : script(std::move(s)), acceptor([this] { accept_all(); })
	{
	}
	~Server()
	{
		ended = true;
		shutdown(lfd, SHUT_RDWR);
		acceptor.join();
		for (int fd : open)
			shutdown(fd, SHUT_RDWR);
		for (std::thread &t : threads)
			t.join();
		for (int fd : open)
			close(fd);
		close(lfd);
	}
	void accept_all()
	{
		int fd;

		while ((fd = accept(lfd, nullptr, nullptr)) >= 0) {
			open.push_back(fd);
			threads.emplace_back([this, fd] { serve(fd); });
		}
	}
	static bool read_request(int fd, std::string *s)
	{
		char c[4096];
		size_t end, length = 0, at;
		ssize_t n;

		s->clear();
		while ((end = s->find("\r\n\r\n")) == std::string::npos) {
			if ((n = recv(fd, c, sizeof c, 0)) <= 0)
				return false;
			s->append(c, (size_t)n);
		}
		at = s->find("Content-Length: ");
		if (at != std::string::npos && at < end)
			length = std::stoul(s->substr(at + 16));
		while (s->size() < end + 4 + length) {
			if ((n = recv(fd, c, sizeof c, 0)) <= 0)
				return false;
			s->append(c, (size_t)n);
		}
		return true;
	}
	void serve(int fd)
	{
		std::string req, answer;

		while (read_request(fd, &req)) {
			answer = script(requests++, req);
			size_t cut = answer.find("#close");
			if (cut == std::string::npos) {
				send_all(fd, answer);
				continue;
			}
			send_all(fd, answer.substr(0, cut));
			shutdown(fd, SHUT_RDWR);
			return;
		}
	}
};

static std::string
http(int status, const std::string &head, const std::string &body)
{
	return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + head +
	       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	       body;
}

struct Out {
	Loop l;
	ogl_http_out *h;
	uint64_t token = 0;

	explicit Out(uint16_t platform)
	{
		h = ogl_http_out_init(
		    l.loop, addr_of(platform).c_str(), l.sink(), l.log);
		l.record = [](const ogl_event *ev, Seen &s) {
			if (ev->type == OGL_EV_EXEC) {
				s.status = ev->u.exec.status;
				s.text.assign(
				    ev->u.exec.body.p ? ev->u.exec.body.p : "",
				    ev->u.exec.body.n);
			} else if (ev->type == OGL_EV_LOG_APPENDED) {
				s.number = ev->u.appended.offset;
			} else if (ev->type == OGL_EV_LOG_READ) {
				s.number = ev->u.read.n;
				for (size_t i = 0; i < ev->u.read.n; i++)
					s.text.append(
					    ev->u.read.entries[i].data.p,
					    ev->u.read.entries[i].data.n);
			}
		};
		l.before_turn = [this] { ogl_http_out_run(h); };
	}
	~Out()
	{
		ogl_http_out_end(h);
	}
	Seen run(void (*fn)(ogl_http_out *, const ogl_action *),
	    const std::string &addr, const std::string &body,
	    uint32_t timeout_ms = 5000)
	{
		ogl_actions q;
		size_t before = l.seen.size();

		ogl_actions_init(&q);
		ogl_action *a = ogl_actions_new(&q, OGL_ACT_EXEC);
		a->token = ++token;
		a->addr = g_strdup(addr.c_str());
		a->name = g_strdup("team");
		a->work_kind = g_strdup("kind");
		a->data = g_bytes_new(body.data(), body.size());
		a->timeout_ms = timeout_ms;
		a->sync = (Ogl__WorkerSync *)g_malloc0(sizeof *a->sync);
		ogl__worker_sync__init(a->sync);
		fn(h, a);
		ogl_actions_clear(&q);
		EXPECT_TRUE(
		    l.run_until([&] { return l.seen.size() > before; }));
		return l.seen.back();
	}
};

static const std::string token_header = "Ogl-Token: 1\r\n";

TEST(HttpOut, ClassifiesExecutorAnswers)
{
	struct {
		const char *name;
		std::string answer;
		ogl_io_result io;
	} cases[] = {
	    {"complete", http(200, token_header, "body"), OGL_IO_OK},
	    {"executor error", http(500, token_header, "boom"), OGL_IO_OK},
	    {"no slot",
		http(503, token_header + "Ogl-Verdict: not_run\r\n", ""),
		OGL_IO_REFUSED},
	    {"wrong token", http(200, "Ogl-Token: 2\r\n", "body"), OGL_IO_LOST},
	    {"no token", http(200, "", "body"), OGL_IO_LOST},
	    {"refusal with wrong token",
		http(503, "Ogl-Token: 2\r\nOgl-Verdict: not_run\r\n", ""),
		OGL_IO_LOST},
	    {"truncated body",
		"HTTP/1.1 200 X\r\n" + token_header +
		    "Content-Length: 9\r\n\r\nbo#close",
		OGL_IO_LOST},
	    {"truncated headers", "HTTP/1.1 200 X\r\nOgl-Tok#close",
		OGL_IO_LOST},
	    {"no length",
		"HTTP/1.1 200 X\r\n" + token_header + "\r\nbody#close",
		OGL_IO_LOST},
	    {"not HTTP", "hello#close", OGL_IO_LOST},
	    {"no answer", "#close", OGL_IO_LOST},
	};

	for (const auto &c : cases) {
		Server s([&](int, const std::string &) { return c.answer; });
		Out o(s.port);
		Seen e = o.run(ogl_http_out_exec, addr_of(s.port), "work");
		EXPECT_EQ(c.io, e.io) << c.name;
		EXPECT_EQ(1, s.requests) << c.name;
	}
}

TEST(HttpOut, SendsHeadersAndBodyOnReusedConnection)
{
	std::string got;
	Server s([&](int i, const std::string &req) {
		got = req;
		return http(200, "Ogl-Token: " + std::to_string(i + 1) + "\r\n",
		    std::string("a\0b", 3));
	});
	Out o(s.port);

	for (int i = 0; i < 3; i++) {
		Seen e = o.run(
		    ogl_http_out_exec, addr_of(s.port), std::string("x\0y", 3));
		EXPECT_EQ(OGL_IO_OK, e.io);
		EXPECT_EQ(std::string("a\0b", 3), e.text);
	}
	EXPECT_EQ(1u, s.open.size());
	EXPECT_NE(std::string::npos, got.find("POST /run HTTP/1.1\r\n"));
	EXPECT_NE(std::string::npos, got.find("\r\nOgl-Token: 3\r\n"));
	EXPECT_NE(std::string::npos, got.find("\r\nOgl-Team: team\r\n"));
	EXPECT_EQ(std::string::npos, got.find("Expect"));
	EXPECT_EQ(std::string("\r\n\r\nx\0y", 7), got.substr(got.size() - 7));
}

// An executor receives a request on a reused connection, executes it and fails
// before it answers.  The connection ends without a byte of the answer, which
// libcurl takes for a stale connection: it would send the request again, and
// the request would be executed twice.
TEST(HttpOut, NeverResendsExecutorRequest)
{
	for (const char *body : {"work", ""}) {
		Server s([&](int i, const std::string &) {
			return i == 1
				   ? std::string("#close")
				   : http(200,
					 "Ogl-Token: " + std::to_string(i + 1) +
					     "\r\n",
					 "ok");
		});
		Out o(s.port);

		EXPECT_EQ(OGL_IO_OK,
		    o.run(ogl_http_out_exec, addr_of(s.port), body).io);
		EXPECT_EQ(OGL_IO_LOST,
		    o.run(ogl_http_out_exec, addr_of(s.port), body).io);
		EXPECT_EQ(1u, ogl_http_out_counts(o.h)->resends_stopped);
		EXPECT_EQ(2, s.requests);
		EXPECT_EQ(OGL_IO_OK,
		    o.run(ogl_http_out_exec, addr_of(s.port), body).io);
	}
}

// The platform restarts between two requests.  libcurl may resend only a read:
// an append may be in the log already.
TEST(HttpOut, ResendsOnlyReads)
{
	const std::string page = "{\"first\":0,\"next\":0,\"records\":[]}";
	Server s([&](int i, const std::string &req) {
		if (i == 1 || i == 4)
			return std::string("#close");
		return http(200, "", req[0] == 'G' ? page : "{\"offset\":7}");
	});
	Out o(s.port);

	EXPECT_EQ(OGL_IO_OK, o.run(ogl_http_out_append, "", "r").io);
	EXPECT_EQ(OGL_IO_LOST, o.run(ogl_http_out_append, "", "r").io);
	EXPECT_EQ(2, s.requests);
	EXPECT_EQ(OGL_IO_OK, o.run(ogl_http_out_append, "", "r").io);
	EXPECT_EQ(OGL_IO_OK, o.run(ogl_http_out_append, "", "r").io);
	EXPECT_EQ(OGL_IO_OK, o.run(ogl_http_out_read, "", "").io);
	EXPECT_EQ(6, s.requests);
}

// Nothing listens at the target's port.  The caller can be told with certainty
// that nothing was executed.
TEST(HttpOut, RefusedConnectionCountsAsNotSent)
{
	uint16_t port;
	int fd = listen_on_free_port(&port);

	close(fd);
	Out o(port);
	EXPECT_EQ(OGL_IO_NOT_SENT,
	    o.run(ogl_http_out_exec, addr_of(port), "work").io);
	EXPECT_EQ(OGL_IO_NOT_SENT, o.run(ogl_http_out_append, "", "r").io);
	EXPECT_EQ(OGL_IO_NOT_SENT,
	    o.run(ogl_http_out_exec, "host.example:80", "work").io);
}

// The executor hangs after it has received the request.  It may still execute
// it, so the timeout must not count as not sent.
TEST(HttpOut, TimeoutAfterSendingCountsAsLost)
{
	std::atomic<bool> go{false};
	Server s([&](int, const std::string &) {
		while (!go)
			std::this_thread::yield();
		return std::string("#close");
	});
	Out o(s.port);

	EXPECT_EQ(OGL_IO_LOST,
	    o.run(ogl_http_out_exec, addr_of(s.port), "work", 100).io);
	go = true;
}

TEST(HttpOut, ClassifiesPlatformAnswers)
{
	struct {
		const char *name;
		std::string answer;
		ogl_io_result append, read;
	} cases[] = {
	    {"offset", http(200, "", "{\"offset\":7}"), OGL_IO_OK, OGL_IO_LOST},
	    {"negative offset", http(200, "", "{\"offset\":-7}"), OGL_IO_LOST,
		OGL_IO_LOST},
	    {"rate limit", http(429, "", ""), OGL_IO_REFUSED, OGL_IO_REFUSED},
	    {"plain 503", http(503, "", ""), OGL_IO_LOST, OGL_IO_LOST},
	    {"503 with verdict", http(503, "Ogl-Verdict: not_run\r\n", ""),
		OGL_IO_REFUSED, OGL_IO_REFUSED},
	    {"repeated offset",
		http(200, "",
		    "{\"first\":3,\"next\":9,\"records\":["
		    "{\"offset\":5,\"data\":\"YWI=\"},"
		    "{\"offset\":8,\"data\":\"\"},"
		    "{\"offset\":8,\"data\":\"Yw==\"}]}"),
		OGL_IO_LOST, OGL_IO_LOST},
	    {"bad base64",
		http(200, "",
		    "{\"first\":0,\"next\":1,\"records\":["
		    "{\"offset\":0,\"data\":\"YWI\"}]}"),
		OGL_IO_LOST, OGL_IO_LOST},
	    {"records",
		http(200, "",
		    "{\"first\":3,\"next\":9,\"records\":["
		    "{\"offset\":5,\"data\":\"YWI=\"},"
		    "{\"offset\":8,\"data\":\"Yw==\"}]}"),
		OGL_IO_LOST, OGL_IO_OK},
	};

	for (const auto &c : cases) {
		Server s([&](int, const std::string &) { return c.answer; });
		Out o(s.port);
		Seen a = o.run(ogl_http_out_append, "", "r");
		Seen r = o.run(ogl_http_out_read, "", "");
		EXPECT_EQ(c.append, a.io) << c.name;
		EXPECT_EQ(c.read, r.io) << c.name;
		EXPECT_EQ(a.io == OGL_IO_OK ? 7u : 0u, a.number) << c.name;
		EXPECT_EQ(r.io == OGL_IO_OK ? "abc" : "", r.text) << c.name;
	}
}

// The log holds records so large that a page of them exceeds the limit of an
// answer.  With an unchanged page size a starting node would never get past
// them and never become ready.
TEST(HttpOut, ReadsOversizedPageInSmallerPages)
{
	const std::string page = "{\"first\":0,\"next\":0,\"records\":[]}";
	Server s([&](int, const std::string &req) {
		size_t max = std::stoul(req.substr(req.find("max=") + 4));
		return http(200, "", std::string(max << 20, ' ') + page);
	});
	Out o(s.port);
	int tries = 0;

	while (o.run(ogl_http_out_read, "", "", 20000).io != OGL_IO_OK)
		ASSERT_LT(++tries, 10);
	EXPECT_GT(tries, 0);
}

TEST(HttpOut, MalformedReportsAndHostListsCountAsLost)
{
	std::string body = "{\"worker\":\"w1\",\"boot\":3}";
	Server s([&](int, const std::string &) { return http(200, "", body); });
	Out o(s.port);

	EXPECT_EQ(
	    OGL_IO_OK, o.run(ogl_http_out_worker, addr_of(s.port), "").io);
	EXPECT_EQ(OGL_IO_LOST, o.run(ogl_http_out_hosts, "", "").io);
	body = "{\"hosts\":[{\"name\":\"w1\",\"role\":\"worker\"}]}";
	EXPECT_EQ(OGL_IO_OK, o.run(ogl_http_out_hosts, "", "").io);
	EXPECT_EQ(
	    OGL_IO_LOST, o.run(ogl_http_out_worker, addr_of(s.port), "").io);
	EXPECT_EQ(2u, ogl_http_out_counts(o.h)->malformed);
}
