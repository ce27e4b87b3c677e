// What becomes of requests to the platform, workers and executors.
#include <gtest/gtest.h>

#include <mutex>

#include "test_daemon_util.h"

extern "C" {
#include "http_out.h"
}

// Serves each connection on a thread of its own.  The script gets the number
// of the request (from 0, over all connections) and gives the raw answer; an
// answer that ends in "#close" is cut there and the connection closed.
struct Server {
	using Script = std::function<std::string(int, const std::string &)>;
	uint16_t port;
	int lfd = listen_any(&port);
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
				put(fd, answer);
				continue;
			}
			put(fd, answer.substr(0, cut));
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
		l.copy = [](const ogl_event *ev, Seen &s) {
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
		l.turn = [this] { ogl_http_out_run(h); };
	}
	~Out()
	{
		ogl_http_out_end(h);
	}
	Seen ask(void (*fn)(ogl_http_out *, const ogl_action *),
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
		EXPECT_TRUE(l.until([&] { return l.seen.size() > before; }));
		return l.seen.back();
	}
};

static const std::string tok = "Ogl-Token: 1\r\n";

TEST(HttpOut, ExecutorAnswersAreJudged)
{
	struct {
		const char *name;
		std::string answer;
		ogl_io io;
	} cases[] = {
	    {"whole", http(200, tok, "body"), OGL_IO_OK},
	    {"own failure", http(500, tok, "boom"), OGL_IO_OK},
	    {"no slot", http(503, tok + "Ogl-Verdict: not_run\r\n", ""),
		OGL_IO_REFUSED},
	    {"another's", http(200, "Ogl-Token: 2\r\n", "body"), OGL_IO_LOST},
	    {"nobody's", http(200, "", "body"), OGL_IO_LOST},
	    {"another's refusal",
		http(503, "Ogl-Token: 2\r\nOgl-Verdict: not_run\r\n", ""),
		OGL_IO_LOST},
	    {"cut",
		"HTTP/1.1 200 X\r\n" + tok +
		    "Content-Length: 9\r\n\r\nbo#close",
		OGL_IO_LOST},
	    {"cut in its headers", "HTTP/1.1 200 X\r\nOgl-Tok#close",
		OGL_IO_LOST},
	    {"without a length", "HTTP/1.1 200 X\r\n" + tok + "\r\nbody#close",
		OGL_IO_LOST},
	    {"no HTTP", "hello#close", OGL_IO_LOST},
	    {"none", "#close", OGL_IO_LOST},
	};

	for (const auto &c : cases) {
		Server s([&](int, const std::string &) { return c.answer; });
		Out o(s.port);
		Seen e = o.ask(ogl_http_out_exec, addr_of(s.port), "work");
		EXPECT_EQ(c.io, e.io) << c.name;
		EXPECT_EQ(1, s.requests) << c.name;
	}
}

TEST(HttpOut, RequestsCarryTheirHeadersAndBodyAndReuseAConnection)
{
	std::string got;
	Server s([&](int i, const std::string &req) {
		got = req;
		return http(200, "Ogl-Token: " + std::to_string(i + 1) + "\r\n",
		    std::string("a\0b", 3));
	});
	Out o(s.port);

	for (int i = 0; i < 3; i++) {
		Seen e = o.ask(
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

// An executor takes a request on a connection that was used before, runs it
// and dies before it answers.  The connection then ends without a byte of the
// answer, which the HTTP library takes for a stale connection: it would send
// the request again by itself, and a tanker would be booked twice.
TEST(HttpOut, ARequestOnAReusedConnectionIsNeverSentTwice)
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
		    o.ask(ogl_http_out_exec, addr_of(s.port), body).io);
		EXPECT_EQ(OGL_IO_LOST,
		    o.ask(ogl_http_out_exec, addr_of(s.port), body).io);
		EXPECT_EQ(1u, ogl_http_out_counts(o.h)->resends_stopped);
		EXPECT_EQ(2, s.requests);
		EXPECT_EQ(OGL_IO_OK,
		    o.ask(ogl_http_out_exec, addr_of(s.port), body).io);
	}
}

// The platform restarts between two appends, and only a read may be repeated
// behind our back: an append may be in the log already.
TEST(HttpOut, OnlyReadsAreSentAgain)
{
	const std::string page = "{\"first\":0,\"next\":0,\"records\":[]}";
	Server s([&](int i, const std::string &req) {
		if (i == 1 || i == 4)
			return std::string("#close");
		return http(200, "", req[0] == 'G' ? page : "{\"offset\":7}");
	});
	Out o(s.port);

	EXPECT_EQ(OGL_IO_OK, o.ask(ogl_http_out_append, "", "r").io);
	EXPECT_EQ(OGL_IO_LOST, o.ask(ogl_http_out_append, "", "r").io);
	EXPECT_EQ(2, s.requests);
	EXPECT_EQ(OGL_IO_OK, o.ask(ogl_http_out_append, "", "r").io);
	EXPECT_EQ(OGL_IO_OK, o.ask(ogl_http_out_append, "", "r").io);
	EXPECT_EQ(OGL_IO_OK, o.ask(ogl_http_out_read, "", "").io);
	EXPECT_EQ(6, s.requests);
}

// The target's host is gone and its port refuses.  The caller may be told
// with certainty that nothing ran.
TEST(HttpOut, ARefusedConnectionIsNotSent)
{
	uint16_t port;
	int fd = listen_any(&port);

	close(fd);
	Out o(port);
	EXPECT_EQ(OGL_IO_NOT_SENT,
	    o.ask(ogl_http_out_exec, addr_of(port), "work").io);
	EXPECT_EQ(OGL_IO_NOT_SENT, o.ask(ogl_http_out_append, "", "r").io);
	EXPECT_EQ(OGL_IO_NOT_SENT,
	    o.ask(ogl_http_out_exec, "host.example:80", "work").io);
}

// The executor hangs with the request in its hands: nobody knows whether it
// will run, so the timeout must not read as not sent.
TEST(HttpOut, ATimeoutAfterSendingIsLost)
{
	std::atomic<bool> go{false};
	Server s([&](int, const std::string &) {
		while (!go)
			std::this_thread::yield();
		return std::string("#close");
	});
	Out o(s.port);

	EXPECT_EQ(OGL_IO_LOST,
	    o.ask(ogl_http_out_exec, addr_of(s.port), "work", 100).io);
	go = true;
}

TEST(HttpOut, PlatformAnswersAreJudged)
{
	struct {
		const char *name;
		std::string answer;
		ogl_io append, read;
	} cases[] = {
	    {"offset", http(200, "", "{\"offset\":7}"), OGL_IO_OK, OGL_IO_LOST},
	    {"negative", http(200, "", "{\"offset\":-7}"), OGL_IO_LOST,
		OGL_IO_LOST},
	    {"rate", http(429, "", ""), OGL_IO_REFUSED, OGL_IO_REFUSED},
	    {"gateway's 503", http(503, "", ""), OGL_IO_LOST, OGL_IO_LOST},
	    {"own 503", http(503, "Ogl-Verdict: not_run\r\n", ""),
		OGL_IO_REFUSED, OGL_IO_REFUSED},
	    {"records",
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
	    {"good records",
		http(200, "",
		    "{\"first\":3,\"next\":9,\"records\":["
		    "{\"offset\":5,\"data\":\"YWI=\"},"
		    "{\"offset\":8,\"data\":\"Yw==\"}]}"),
		OGL_IO_LOST, OGL_IO_OK},
	};

	for (const auto &c : cases) {
		Server s([&](int, const std::string &) { return c.answer; });
		Out o(s.port);
		Seen a = o.ask(ogl_http_out_append, "", "r");
		Seen r = o.ask(ogl_http_out_read, "", "");
		EXPECT_EQ(c.append, a.io) << c.name;
		EXPECT_EQ(c.read, r.io) << c.name;
		EXPECT_EQ(a.io == OGL_IO_OK ? 7u : 0u, a.number) << c.name;
		EXPECT_EQ(r.io == OGL_IO_OK ? "abc" : "", r.text) << c.name;
	}
}

// Somebody wrote records so large that a page of them is over the bound of an
// answer.  Read with the same page size again and again, a node that starts
// would never get past them and never become ready.
TEST(HttpOut, APageThatIsTooLargeIsReadInSmallerOnes)
{
	const std::string page = "{\"first\":0,\"next\":0,\"records\":[]}";
	Server s([&](int, const std::string &req) {
		size_t max = std::stoul(req.substr(req.find("max=") + 4));
		return http(200, "", std::string(max << 20, ' ') + page);
	});
	Out o(s.port);
	int tries = 0;

	while (o.ask(ogl_http_out_read, "", "", 20000).io != OGL_IO_OK)
		ASSERT_LT(++tries, 10);
	EXPECT_GT(tries, 0);
}

TEST(HttpOut, WorkerReportsAndHostsThatDoNotParseAreLost)
{
	std::string body = "{\"worker\":\"w1\",\"boot\":3}";
	Server s([&](int, const std::string &) { return http(200, "", body); });
	Out o(s.port);

	EXPECT_EQ(
	    OGL_IO_OK, o.ask(ogl_http_out_worker, addr_of(s.port), "").io);
	EXPECT_EQ(OGL_IO_LOST, o.ask(ogl_http_out_hosts, "", "").io);
	body = "{\"hosts\":[{\"name\":\"w1\",\"role\":\"worker\"}]}";
	EXPECT_EQ(OGL_IO_OK, o.ask(ogl_http_out_hosts, "", "").io);
	EXPECT_EQ(
	    OGL_IO_LOST, o.ask(ogl_http_out_worker, addr_of(s.port), "").io);
	EXPECT_EQ(2u, ogl_http_out_counts(o.h)->malformed);
}
