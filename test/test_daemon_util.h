// Helpers of the daemon's tests.  The event loop under test runs on the test's
// thread; servers and clients use blocking sockets on their own threads.
#ifndef TEST_DAEMON_UTIL_H
#define TEST_DAEMON_UTIL_H

#include <arpa/inet.h>
#include <ev.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

extern "C" {
#include "logger.h"
#include "sink.h"
}

// A received event, with copies of the data that it borrowed.
struct Seen {
	ogl_event_type type;
	uint64_t token;
	ogl_io_result io;
	uint32_t status;
	uint64_t number;
	std::string text;
	std::string path;
};

static void
on_tick(struct ev_loop *, ev_timer *, int)
{
}

struct Loop {
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct ogl_logger *log = ogl_logger_init(stderr, OGL_LOG_ERROR);
	std::vector<Seen> seen;
	std::function<void(const ogl_event *, Seen &)> record;
	std::function<void()> before_turn = [] {};
	ev_timer tick;

	Loop()
	{
		ev_timer_init(&tick, on_tick, 0.005, 0.005);
		ev_timer_start(loop, &tick);
	}
	~Loop()
	{
		ev_timer_stop(loop, &tick);
		ev_loop_destroy(loop);
		ogl_logger_end(log);
	}
	static void on_event(void *ctx, const struct ogl_event *ev)
	{
		Loop *l = static_cast<Loop *>(ctx);
		Seen s{ev->type, ev->token, ev->io, 0, 0, "", ""};

		if (l->record)
			l->record(ev, s);
		l->seen.push_back(s);
	}
	ogl_sink sink()
	{
		return ogl_sink{on_event, this};
	}
	// Runs the loop until done() or a timeout of 20 s.  Returns whether
	// done() was reached.
	bool run_until(const std::function<bool()> &done)
	{
		ev_tstamp end = ev_time() + 20;

		while (!done()) {
			if (ev_time() > end)
				return false;
			before_turn();
			ev_run(loop, EVRUN_ONCE);
		}
		return true;
	}
};

static inline int
connect_to(uint16_t port)
{
	sockaddr_in sa{};
	timeval tv{15, 0};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_family = AF_INET;
	sa.sin_port = htons(port);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof tv);
	if (connect(fd, (sockaddr *)&sa, sizeof sa) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static inline int
listen_on_free_port(uint16_t *port)
{
	sockaddr_in sa{};
	socklen_t len = sizeof sa;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_family = AF_INET;
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (sockaddr *)&sa, sizeof sa) != 0 || listen(fd, 16) != 0)
		abort();
	getsockname(fd, (sockaddr *)&sa, &len);
	*port = ntohs(sa.sin_port);
	return fd;
}

static inline bool
send_all(int fd, const std::string &s)
{
	size_t at = 0;

	while (at < s.size()) {
		ssize_t n =
		    send(fd, s.data() + at, s.size() - at, MSG_NOSIGNAL);
		if (n <= 0)
			return false;
		at += (size_t)n;
	}
	return true;
}

static inline std::string
recv_all(int fd)
{
	std::string s;
	char buf[4096];
	ssize_t n;

	while ((n = recv(fd, buf, sizeof buf, 0)) > 0)
		s.append(buf, (size_t)n);
	return s;
}

static inline std::string
addr_of(uint16_t port)
{
	return "127.0.0.1:" + std::to_string(port);
}

#endif
