/* Results of the HTTP client's requests. */

#include <gtest/gtest.h>

#include <arpa/inet.h>
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

/* Listens on a free port; sets *url to its URL. */
int
listen_on_free_port(std::string *url)
{
	struct sockaddr_in a = {};
	socklen_t n = sizeof a;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_family = AF_INET;
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	bind(fd, reinterpret_cast<struct sockaddr *>(&a), sizeof a);
	listen(fd, 4);
	getsockname(fd, reinterpret_cast<struct sockaddr *>(&a), &n);
	*url = "http://127.0.0.1:" + std::to_string(ntohs(a.sin_port)) + "/x";
	return fd;
}

void
read_request(int fd)
{
	std::string got;
	char b[1024];

	while (got.find("body") == std::string::npos) {
		ssize_t n = read(fd, b, sizeof b);

		if (n <= 0)
			return;
		got.append(b, static_cast<size_t>(n));
	}
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
post(struct ev_loop *loop, struct ogl_http_client *h, const std::string &url)
{
	GBytes *body = g_bytes_new_static("body", 4);
	struct ogl_http_request r = {};
	Result t;

	t.loop = loop;
	r.url = url.c_str();
	r.body = body;
	r.timeout_ms = 20000;
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

} // namespace
