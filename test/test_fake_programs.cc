// Tests of the stand-in programs over HTTP: each is started on a free port,
// receives some requests and is ended by SIGTERM.
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
#include <vector>

namespace
{

// A child process with its output and exit status.
class Program
{
      public:
	Program(const char *name, std::vector<std::string> args)
	{
		std::string path = std::string(OGL_BIN_DIR) + "/" + name;
		std::vector<char *> argv = {path.data()};
		posix_spawn_file_actions_t fa;
		int fds[2];

		for (auto &a : args)
			argv.push_back(a.data());
		argv.push_back(nullptr);
		EXPECT_EQ(0, pipe(fds));
		posix_spawn_file_actions_init(&fa);
		posix_spawn_file_actions_adddup2(&fa, fds[1], 1);
		posix_spawn_file_actions_addclose(&fa, fds[0]);
		EXPECT_EQ(0, posix_spawn(&pid, path.c_str(), &fa, nullptr,
				 argv.data(), environ));
		posix_spawn_file_actions_destroy(&fa);
		close(fds[1]);
		out = fdopen(fds[0], "r");
	}
	// Starts a stand-in server and reads its port from the first line.
	explicit Program(const char *name) : Program(name, {})
	{
		EXPECT_EQ(1, fscanf(out, "port %hu", &port));
	}
	~Program()
	{
		if (pid > 0)
			Stop();
		fclose(out);
	}
	int Stop()
	{
		kill(pid, SIGTERM);
		return Wait();
	}
	int Wait()
	{
		int status = -1;

		waitpid(pid, &status, 0);
		pid = -1;
		return status;
	}
	// Returns headers and body of the answer, empty if there is none.
	std::string Send(const std::string &method, const std::string &path,
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

	uint16_t port = 0;
	pid_t pid = -1;
	FILE *out;
};

bool
Contains(const std::string &text, const char *part)
{
	return text.find(part) != std::string::npos;
}

TEST(Programs, PlatformStoresRecordsAndWakesReaders)
{
	Program p("ogl-standin-platform");
	std::string got;

	EXPECT_TRUE(Contains(
	    p.Send("POST", "/v1/streams/s/append", "a"), "\"offset\":0"));
	std::thread reader([&] {
		got =
		    p.Send("GET", "/v1/streams/s/records?from=1&wait_ms=60000");
	});
	p.Send("POST", "/v1/streams/s/append", "b");
	reader.join();
	EXPECT_TRUE(Contains(got, "{\"offset\":1,\"data\":\"Yg==\"}"));
	EXPECT_TRUE(
	    Contains(p.Send("POST", "/ctl", "{\"outag\":true}"), " 422 "));
	p.Send("POST", "/ctl",
	    "{\"outage\":true,\"lag_ms\":0,\"hosts\":[{\"name\":\"w1\"}]}");
	EXPECT_TRUE(
	    Contains(p.Send("POST", "/v1/streams/s/append", "c"), " 503 "));
	EXPECT_TRUE(Contains(p.Send("GET", "/v1/hosts"), "\"w1\""));
	EXPECT_EQ(0, p.Stop());
}

// An executor may truncate or lose the answer after the request has run.  On
// SIGTERM it still finishes and answers running requests.
TEST(Programs, ExecutorTruncatesAndLosesAnswersAndDrains)
{
	Program e("ogl-standin-executor");
	std::string head = "Ogl-Token: 9\r\nOgl-Team: t\r\nOgl-Kind: k\r\n";
	std::string got;

	got = e.Send("POST", "/run", "x run_ms=1", head);
	EXPECT_TRUE(Contains(got, "t|k|x run_ms=1"));
	EXPECT_TRUE(Contains(got, "Ogl-Token: 9"));
	e.Send("POST", "/ctl", "{\"cut\":1}");
	EXPECT_FALSE(
	    Contains(e.Send("POST", "/run", "x run_ms=1", head), "run_ms"));
	e.Send("POST", "/ctl", "{\"lose\":1}");
	EXPECT_EQ("", e.Send("POST", "/run", "x run_ms=1", head));
	EXPECT_TRUE(Contains(e.Send("GET", "/counts"), "\"runs\":3"));
	std::thread caller(
	    [&] { got = e.Send("POST", "/run", "y run_ms=300", head); });
	while (!Contains(e.Send("GET", "/counts"), "y run_ms"))
		std::this_thread::yield();
	EXPECT_EQ(0, e.Stop());
	caller.join();
	EXPECT_TRUE(Contains(got, "t|k|y run_ms=300"));
}

TEST(Programs, WorkerHandlesSyncs)
{
	Program w("ogl-standin-worker");
	std::string sync = "{\"epoch\":2,\"seq\":1,\"lease_ms\":10000}";

	EXPECT_TRUE(
	    Contains(w.Send("POST", "/v1/sync", sync), "\"refused\":false"));
	EXPECT_TRUE(
	    Contains(w.Send("POST", "/v1/sync", sync), "\"refused\":true"));
	EXPECT_TRUE(
	    Contains(w.Send("POST", "/v1/sync", "{\"epok\":2}"), " 422 "));
	EXPECT_TRUE(Contains(w.Send("GET", "/counts"), "\"running\":0"));
	w.Send("POST", "/ctl", "{\"down\":true}");
	EXPECT_EQ("", w.Send("POST", "/v1/sync", sync));
	EXPECT_EQ(0, w.Stop());
}

// Runs the load driver with 20 requests to an executor in place of a node.
// Returns its result lines that the tests compare, and its exit status.
std::string
RunCaller(const Program &e, std::vector<std::string> more)
{
	std::string addr = "127.0.0.1:" + std::to_string(e.port);
	std::vector<std::string> args = {"--nodes=" + addr,
	    "--executors=" + addr, "--count=20", "--concurrency=4",
	    "--run-ms=2", "--deadline-s=20"};
	std::string text;
	char line[128];

	args.insert(args.end(), more.begin(), more.end());
	Program c("ogl-standin-caller", args);
	while (fgets(line, sizeof(line), c.out) != nullptr) {
		for (const char *want :
		    {"ran ", "broken ", "wrong ", "lost ", "doubled "}) {
			if (strncmp(line, want, strlen(want)) == 0)
				text += line;
		}
	}
	int status = c.Wait();
	return text + "exit " + std::to_string(WEXITSTATUS(status));
}

// Answers may be lost or cut on the way to the caller.  If the load driver
// missed this, or sent a request twice itself, a cell that loses or doubles
// work would pass its checks.
TEST(Programs, CallerReportsLostDoubledAndCutAnswers)
{
	Program e("ogl-standin-executor");

	EXPECT_EQ("ran 20\nbroken 0\nwrong answer 0\nlost 0\ndoubled 0\n"
		  "exit 0",
	    RunCaller(e, {"--seed=1", "--want-ran=20"}));
	e.Send("POST", "/ctl", "{\"lose\":2}");
	EXPECT_EQ("ran 18\nbroken 2\nwrong answer 0\nlost 2\ndoubled 0\n"
		  "exit 1",
	    RunCaller(e, {"--seed=2"}));
	e.Send("POST", "/ctl", "{\"lose\":1}");
	EXPECT_EQ("ran 20\nbroken 0\nwrong answer 0\nlost 0\ndoubled 1\n"
		  "exit 1",
	    RunCaller(e, {"--seed=3", "--ids"}));
	e.Send("POST", "/ctl", "{\"lose\":1}");
	EXPECT_EQ("ran 20\nbroken 0\nwrong answer 0\nlost 0\ndoubled 0\n"
		  "exit 0",
	    RunCaller(e, {"--seed=4", "--idempotent"}));
	e.Send("POST", "/ctl", "{\"cut\":1}");
	EXPECT_EQ("ran 19\nbroken 0\nwrong answer 1\nlost 1\ndoubled 0\n"
		  "exit 1",
	    RunCaller(e, {"--seed=5"}));
}

} // namespace
