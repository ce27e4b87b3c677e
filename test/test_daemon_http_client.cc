/* Results of the HTTP client's requests. */

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

extern "C" {
#include <ev.h>

#include "http_client.h"
}

namespace
{

/* Listens on a free port; sets *url to its URL.  As many connections as backlog
 * + 1 may wait to be accepted. */
int
listen_on_free_port(std::string *url, int backlog = 4)
{
	struct sockaddr_in a = {};
	socklen_t n = sizeof a;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_family = AF_INET;
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	bind(fd, reinterpret_cast<struct sockaddr *>(&a), sizeof a);
	listen(fd, backlog);
	getsockname(fd, reinterpret_cast<struct sockaddr *>(&a), &n);
	*url = "http://127.0.0.1:" + std::to_string(ntohs(a.sin_port)) + "/x";
	return fd;
}

/* Reads a request up to its body, or to the end of the connection. */
std::string
read_request(int fd)
{
	std::string got;
	char b[1024];

	while (got.find("body") == std::string::npos) {
		ssize_t n = read(fd, b, sizeof b);

		if (n <= 0)
			break;
		got.append(b, static_cast<size_t>(n));
	}
	return got;
}

size_t
count_of(const std::string &what, const std::string &text)
{
	size_t n = 0;
	size_t at;

	for (at = text.find(what); at != std::string::npos;
	     at = text.find(what, at + 1))
		n++;
	return n;
}

/* Closes a connection with a reset in place of an orderly end. */
void
reset_connection(int fd)
{
	struct linger l = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
	close(fd);
}

/* Connects to the listener and sends nothing. */
int
connect_to(int listener)
{
	struct sockaddr_in a = {};
	socklen_t n = sizeof a;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	getsockname(listener, reinterpret_cast<struct sockaddr *>(&a), &n);
	connect(fd, reinterpret_cast<struct sockaddr *>(&a), sizeof a);
	return fd;
}

/* Accepts all connections and returns what they have carried. */
std::string
accept_all(int listener)
{
	struct pollfd p = {listener, POLLIN, 0};
	std::string got;

	while (poll(&p, 1, 1500) > 0) {
		int c = accept(listener, nullptr, nullptr);
		struct timeval quiet = {0, 200000};

		setsockopt(c, SOL_SOCKET, SO_RCVTIMEO, &quiet, sizeof quiet);
		got += read_request(c);
		close(c);
	}
	return got;
}

struct Result {
	enum ogl_io_result io = OGL_IO_OK;
	bool done = false;
	struct ev_loop *loop = nullptr;
};

void
on_done(void *arg, const struct ogl_http_result *r)
{
	auto *t = static_cast<Result *>(arg);

	t->io = r->io;
	t->done = true;
	ev_break(t->loop, EVBREAK_ALL);
}

enum ogl_io_result
post(struct ev_loop *loop, struct ogl_http_client *h, const std::string &url,
    uint32_t timeout_ms = 20000, const std::string &text = "body")
{
	GBytes *body = g_bytes_new(text.data(), text.size());
	struct ogl_http_request r = {};
	Result t;

	t.loop = loop;
	r.url = url.c_str();
	r.body = body;
	r.timeout_ms = timeout_ms;
	r.done = on_done;
	r.arg = &t;
	ogl_http_client_send(h, &r);
	g_bytes_unref(body);
	while (!t.done)
		ev_run(loop, 0);
	return t.io;
}

/*
 * A server receives a request on a reused connection, and its process ends
 * before it answers.  libcurl then tries a new connection, which is refused.
 * If that counted as not sent, the journal would reuse the append's number for
 * other records.  The store would answer these with the first append's answer
 * without writing them, and accepted jobs would be lost.
 */
TEST(HttpClient, RequestSentOnReusedConnectionCountsAsLost)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct ogl_http_client *h = ogl_http_client_init(loop);
	std::string url;
	int fd = listen_on_free_port(&url);
	std::thread server([fd] {
		static const char ok[] = "HTTP/1.1 200 OK\r\n"
					 "Content-Length: 0\r\n\r\n";
		int c = accept(fd, nullptr, nullptr);

		read_request(c);
		EXPECT_EQ(static_cast<ssize_t>(sizeof ok - 1),
		    write(c, ok, sizeof ok - 1));
		read_request(c);
		close(fd);
		close(c);
	});

	EXPECT_EQ(OGL_IO_OK, post(loop, h, url));
	EXPECT_EQ(OGL_IO_LOST, post(loop, h, url));
	server.join();
	EXPECT_EQ(OGL_IO_NOT_SENT, post(loop, h, url));
	ogl_http_client_end(h);
	ev_loop_destroy(loop);
}

/* A start that counts as not sent is ordered elsewhere at once, so a task runs
 * twice if any byte of such a request has left. */
class HttpClientSends : public testing::Test
{
      protected:
	struct ev_loop *loop = ev_loop_new(0);
	struct ogl_http_client *h = ogl_http_client_init(loop);
	std::string url;

	~HttpClientSends() override
	{
		ogl_http_client_end(h);
		ev_loop_destroy(loop);
	}
};

/* The kernel accepts connections for a stopped process, which reads them when it
 * goes on. */
TEST_F(HttpClientSends, RequestToStoppedProcessCountsAsLost)
{
	int fd = listen_on_free_port(&url);

	EXPECT_EQ(OGL_IO_LOST, post(loop, h, url, 300));
	EXPECT_NE(std::string::npos, accept_all(fd).find("body"));
	close(fd);
}

/* A proxy takes a request and does not pass it on before its sender has given it
 * up. */
TEST_F(HttpClientSends, RequestHeldByProxyCountsAsLost)
{
	int fd = listen_on_free_port(&url);
	std::thread proxy([fd] {
		int c = accept(fd, nullptr, nullptr);

		EXPECT_NE(std::string::npos, read_request(c).find("body"));
		read_request(c); /* to the end of the connection */
		close(c);
	});

	EXPECT_EQ(OGL_IO_LOST, post(loop, h, url, 300));
	proxy.join();
	close(fd);
}

/* No connection comes up while the backlog is full.  The handshake must not be
 * completed, nor the request sent, once there is room again. */
TEST_F(HttpClientSends, NothingLeavesAfterConnectTimeout)
{
	const int waiting = 4;
	int fd = listen_on_free_port(&url, 0);
	int c[waiting];

	for (int &i : c)
		i = connect_to(fd);
	EXPECT_EQ(OGL_IO_NOT_SENT, post(loop, h, url, 300));
	EXPECT_EQ(OGL_IO_NOT_SENT, post(loop, h, url, 3000));
	for (int i : c)
		close(i);
	EXPECT_EQ("", accept_all(fd));
	close(fd);
}

/* The server has read a part of the request when the connection is reset. */
TEST_F(HttpClientSends, RequestResetWhileWrittenCountsAsLost)
{
	const size_t more_than_buffers = 32 << 20;
	int fd = listen_on_free_port(&url);
	std::thread server([fd] {
		int c = accept(fd, nullptr, nullptr);
		char b[64];

		EXPECT_LT(0, read(c, b, sizeof b));
		reset_connection(c);
	});

	EXPECT_EQ(OGL_IO_LOST,
	    post(loop, h, url, 20000, std::string(more_than_buffers, 'x')));
	server.join();
	close(fd);
}

/* libcurl would repeat the request on a new connection, which this server, other
 * than one whose process has ended, accepts. */
TEST_F(HttpClientSends, RequestResetOnReusedConnectionIsNotRepeated)
{
	int fd = listen_on_free_port(&url);
	std::string repeat;
	std::thread server([fd, &repeat] {
		static const char ok[] = "HTTP/1.1 200 OK\r\n"
					 "Content-Length: 0\r\n\r\n";
		int c = accept(fd, nullptr, nullptr);

		read_request(c);
		EXPECT_EQ(static_cast<ssize_t>(sizeof ok - 1),
		    write(c, ok, sizeof ok - 1));
		EXPECT_NE("", read_request(c));
		reset_connection(c);
		repeat = accept_all(fd);
	});

	EXPECT_EQ(OGL_IO_OK, post(loop, h, url));
	EXPECT_EQ(OGL_IO_LOST, post(loop, h, url));
	server.join();
	EXPECT_EQ("", repeat);
	close(fd);
}

/* The server closes an idle connection.  The next request goes out on a new one,
 * once. */
TEST_F(HttpClientSends, RequestAfterIdleCloseIsSentOnce)
{
	int fd = listen_on_free_port(&url);
	std::string all;
	std::thread server([fd, &all] {
		static const char ok[] = "HTTP/1.1 200 OK\r\n"
					 "Content-Length: 0\r\n\r\n";

		for (int i = 0; i < 2; i++) {
			int c = accept(fd, nullptr, nullptr);

			all += read_request(c);
			EXPECT_EQ(static_cast<ssize_t>(sizeof ok - 1),
			    write(c, ok, sizeof ok - 1));
			close(c);
		}
		all += accept_all(fd);
	});

	EXPECT_EQ(OGL_IO_OK, post(loop, h, url));
	usleep(50000);
	EXPECT_EQ(OGL_IO_OK, post(loop, h, url));
	server.join();
	EXPECT_EQ(2U, count_of("POST", all));
	close(fd);
}

} // namespace
