// The stand-in programs over HTTP: started on free ports, asked a few things,
// and ended by SIGTERM.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <netinet/in.h>
#include <spawn.h>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace
{

// One stand-in, its first port, and its exit.
class Program
{
      public:
	explicit Program(const char *name)
	{
		std::string path = std::string(OGL_BIN_DIR) + "/" + name;
		char *argv[] = {path.data(), nullptr};
		posix_spawn_file_actions_t fa;
		unsigned n = 0;
		int fds[2];

		EXPECT_EQ(0, pipe(fds));
		posix_spawn_file_actions_init(&fa);
		posix_spawn_file_actions_adddup2(&fa, fds[1], 1);
		posix_spawn_file_actions_addclose(&fa, fds[0]);
		EXPECT_EQ(0, posix_spawn(&pid, path.c_str(), &fa, nullptr, argv,
				 environ));
		posix_spawn_file_actions_destroy(&fa);
		close(fds[1]);
		FILE *f = fdopen(fds[0], "r");
		EXPECT_EQ(1, fscanf(f, "port %u", &n));
		fclose(f);
		port = static_cast<uint16_t>(n);
	}
	~Program()
	{
		if (pid > 0)
			Stop();
	}
	int Stop()
	{
		int status = -1;

		kill(pid, SIGTERM);
		waitpid(pid, &status, 0);
		pid = -1;
		return status;
	}
	// Headers and body of the answer; empty when there is none.
	std::string Ask(const std::string &method, const std::string &path,
	    const std::string &body = "", const std::string &headers = "") const
	{
		std::string text =
		    method + " " + path + " HTTP/1.0\r\n" + headers +
		    "Content-Length: " + std::to_string(body.size()) +
		    "\r\n\r\n" + body;
		struct sockaddr_in sa = {};
		std::string answer;
		char buf[4096];
		ssize_t n;
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		sa.sin_family = AF_INET;
		sa.sin_port = htons(port);
		sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(0, connect(fd, (struct sockaddr *)&sa, sizeof(sa)));
		EXPECT_EQ(
		    (ssize_t)text.size(), write(fd, text.data(), text.size()));
		while ((n = read(fd, buf, sizeof(buf))) > 0)
			answer.append(buf, (size_t)n);
		close(fd);
		return answer;
	}

	uint16_t port;
	pid_t pid = -1;
};

bool
Has(const std::string &text, const char *part)
{
	return text.find(part) != std::string::npos;
}

TEST(Programs, PlatformKeepsStreamsAndWakesReaders)
{
	Program p("ogl-standin-platform");
	std::string got;

	EXPECT_TRUE(
	    Has(p.Ask("POST", "/v1/streams/s/append", "a"), "\"offset\":0"));
	std::thread reader([&] {
		got =
		    p.Ask("GET", "/v1/streams/s/records?from=1&wait_ms=60000");
	});
	p.Ask("POST", "/v1/streams/s/append", "b");
	reader.join();
	EXPECT_TRUE(Has(got, "{\"offset\":1,\"data\":\"Yg==\"}"));
	EXPECT_TRUE(Has(p.Ask("POST", "/ctl", "{\"outag\":true}"), " 422 "));
	p.Ask("POST", "/ctl",
	    "{\"outage\":true,\"lag_ms\":0,\"hosts\":[{\"name\":\"w1\"}]}");
	EXPECT_TRUE(Has(p.Ask("POST", "/v1/streams/s/append", "c"), " 503 "));
	EXPECT_TRUE(Has(p.Ask("GET", "/v1/hosts"), "\"w1\""));
	EXPECT_EQ(0, p.Stop());
}

// The answer of an executor breaks off, or never comes, after the request
// has run; at its planned stop what runs is still finished and answered.
TEST(Programs, ExecutorCutsLosesAndDrains)
{
	Program e("ogl-standin-executor");
	std::string head = "Ogl-Token: 9\r\nOgl-Team: t\r\nOgl-Kind: k\r\n";
	std::string got;

	got = e.Ask("POST", "/run", "x run_ms=1", head);
	EXPECT_TRUE(Has(got, "t|k|x run_ms=1"));
	EXPECT_TRUE(Has(got, "Ogl-Token: 9"));
	e.Ask("POST", "/ctl", "{\"cut\":1}");
	EXPECT_FALSE(Has(e.Ask("POST", "/run", "x run_ms=1", head), "run_ms"));
	e.Ask("POST", "/ctl", "{\"lose\":1}");
	EXPECT_EQ("", e.Ask("POST", "/run", "x run_ms=1", head));
	EXPECT_TRUE(Has(e.Ask("GET", "/counts"), "\"runs\":3"));
	std::thread caller(
	    [&] { got = e.Ask("POST", "/run", "y run_ms=300", head); });
	while (!Has(e.Ask("GET", "/counts"), "y run_ms"))
		std::this_thread::yield();
	EXPECT_EQ(0, e.Stop());
	caller.join();
	EXPECT_TRUE(Has(got, "t|k|y run_ms=300"));
}

TEST(Programs, WorkerSpeaksTheSyncProtocol)
{
	Program w("ogl-standin-worker");
	std::string sync = "{\"epoch\":2,\"seq\":1,\"lease_ms\":10000}";

	EXPECT_TRUE(Has(w.Ask("POST", "/v1/sync", sync), "\"refused\":false"));
	EXPECT_TRUE(Has(w.Ask("POST", "/v1/sync", sync), "\"refused\":true"));
	EXPECT_TRUE(Has(w.Ask("POST", "/v1/sync", "{\"epok\":2}"), " 422 "));
	EXPECT_TRUE(Has(w.Ask("GET", "/counts"), "\"running\":0"));
	w.Ask("POST", "/ctl", "{\"down\":true}");
	EXPECT_EQ("", w.Ask("POST", "/v1/sync", sync));
	EXPECT_EQ(0, w.Stop());
}

} // namespace
