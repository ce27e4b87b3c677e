// The real daemon, with the stand-ins of platform and executor, is sent what
// broken, careless and hostile callers send, and answers from a target that
// are cut short, crossed or late.  All the while another team's caller sends
// ordinary requests, each of which must be answered as if it were alone.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cstring>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "orioleglade.h"

namespace
{

const int kWaits = 400; // of 50 ms, until something must have happened
const int kSlow = 20;   // slow senders
const size_t kMiB = 1024 * 1024;
// Pages that the allocator keeps are no leak; a daemon that kept what the
// tests send would grow by several times as much.
const long kGrowthMaxKb = 24 * 1024;

std::string
Slurp(const std::string &path)
{
	std::ifstream in(path);
	std::stringstream s;

	s << in.rdbuf();
	return s.str();
}

bool
Within(const std::function<bool()> &fn)
{
	for (int i = 0; i < kWaits; i++) {
		if (fn())
			return true;
		usleep(50000);
	}
	return false;
}

// A program with its output in a file.
struct Program {
	pid_t pid = -1;
	std::string out;

	void Start(const std::string &dir, const std::string &name,
	    std::vector<std::string> args)
	{
		std::string path = std::string(OGL_BIN_DIR) + "/" + name;
		std::vector<char *> argv = {path.data()};
		posix_spawn_file_actions_t fa;

		out = dir + "/" + name + ".out";
		for (auto &a : args)
			argv.push_back(a.data());
		argv.push_back(nullptr);
		posix_spawn_file_actions_init(&fa);
		posix_spawn_file_actions_addopen(&fa, 1, out.c_str(),
		    O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0600);
		posix_spawn_file_actions_adddup2(&fa, 1, 2);
		ASSERT_EQ(0, posix_spawn(&pid, path.c_str(), &fa, nullptr,
				 argv.data(), environ));
		posix_spawn_file_actions_destroy(&fa);
	}
	// The number that follows a text in the output.
	uint16_t Port(const char *after) const
	{
		uint16_t port = 0;

		EXPECT_TRUE(Within([&] {
			std::string s = Slurp(out);
			size_t at = s.find(after);

			if (at == std::string::npos ||
			    s.find('\n', at) == std::string::npos)
				return false;
			port = (uint16_t)atoi(s.c_str() + at + strlen(after));
			return true;
		})) << Slurp(out);
		return port;
	}
	int Stop()
	{
		int status = -1;

		if (pid <= 0)
			return 0;
		kill(pid, SIGTERM);
		waitpid(pid, &status, 0);
		pid = -1;
		return status;
	}
	long RssKb() const
	{
		std::string s =
		    Slurp("/proc/" + std::to_string(pid) + "/status");
		size_t at = s.find("VmRSS:");

		return at == std::string::npos ? -1 : atol(s.c_str() + at + 6);
	}
};

// ---- sockets ----------------------------------------------------------------

int
Dial(uint16_t port)
{
	sockaddr_in sa{};
	timeval tv{20, 0};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

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

// Sends as much as the other side takes.
void
Put(int fd, const std::string &s)
{
	size_t at = 0;
	ssize_t n;

	while (at < s.size() &&
	       (n = send(fd, s.data() + at, s.size() - at, MSG_NOSIGNAL)) > 0)
		at += (size_t)n;
}

std::string
Rest(int fd)
{
	std::string s;
	char buf[8192];
	ssize_t n;

	while ((n = recv(fd, buf, sizeof buf, 0)) > 0)
		s.append(buf, (size_t)n);
	return s;
}

// Everything that comes back for these bytes, until the connection ends.
std::string
Raw(uint16_t port, const std::string &text)
{
	int fd = Dial(port);
	std::string s;

	if (fd < 0)
		return "";
	Put(fd, text);
	s = Rest(fd);
	close(fd);
	return s;
}

std::string
Head(const std::string &method, const std::string &path, const std::string &key,
    const std::string &headers = "")
{
	std::string s = method + " " + path + " HTTP/1.1\r\nHost: n\r\n";

	if (!key.empty())
		s += "Authorization: Bearer " + key + "\r\n";
	return s + headers;
}

std::string
Whole(const std::string &method, const std::string &path,
    const std::string &key, const std::string &body,
    const std::string &headers = "Connection: close\r\n")
{
	return Head(method, path, key, headers) +
	       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	       body;
}

bool
Has(const std::string &text, const std::string &part)
{
	return text.find(part) != std::string::npos;
}

int
Status(const std::string &answer)
{
	return answer.compare(0, 9, "HTTP/1.1 ") == 0 ? atoi(&answer[9]) : 0;
}

std::string
KeyHash(std::string *key)
{
	const uint8_t random[32] = {7, 7, 7};
	char text[80], id[32], hex[65];
	Ogl__Edit *e = nullptr;

	EXPECT_TRUE(ogl_key_make(random, "", text, &e, id));
	EXPECT_TRUE(ogl_key_hash(ogl_str(text), hex));
	ogl__edit__free_unpacked(e, nullptr);
	*key = text;
	return hex;
}

// A refusal: its status, with the verdict both as header and in a body that
// says what is wrong.
void
ExpectRefused(const std::string &answer, int status)
{
	EXPECT_EQ(Status(answer), status) << answer;
	EXPECT_TRUE(Has(answer, "Ogl-Verdict: not_run")) << answer;
	EXPECT_TRUE(Has(answer, "\"error\":\"")) << answer;
	EXPECT_TRUE(Has(answer, "\"verdict\":\"not_run\"")) << answer;
}

// ---- the cell ---------------------------------------------------------------

class BadInput : public ::testing::Test
{
      protected:
	static std::string dir;
	static Program platform, executor, node;
	static uint16_t http, exec_port;
	static std::string op, victim, other;
	static std::vector<int> slow;
	static std::atomic<bool> end;
	static std::thread dribbler;
	static std::atomic<int> slow_open;

	std::thread bystander;
	std::atomic<bool> quit{false};
	std::atomic<int> good{0};
	std::string bad; // the bystander's first bad answer

	static std::string Ask(const std::string &method,
	    const std::string &path, const std::string &key,
	    const std::string &body = "", const std::string &headers = "")
	{
		return Raw(http, Whole(method, path, key, body,
				     "Connection: close\r\n" + headers));
	}
	static std::string Key(const std::string &team)
	{
		std::string s =
		    Ask("POST", "/v1/keys", op, "{\"team\":\"" + team + "\"}");
		size_t at = s.find("\"key\":\"");

		EXPECT_EQ(Status(s), 201) << s;
		return at == std::string::npos
			   ? ""
			   : s.substr(at + 7, s.find('"', at + 7) - at - 7);
	}
	static void Settings(const std::string &hash)
	{
		std::ofstream(dir + "/hosts.json")
		    << "{\"hosts\":[{\"role\":\"executor\",\"name\":\"e\","
		       "\"addr\":\"127.0.0.1:"
		    << exec_port << "\",\"zone\":\"z1\",\"rack\":\"r1\"}]}";
		platform.Start(dir, "ogl-standin-platform",
		    {"--hosts", dir + "/hosts.json"});
		std::ofstream(dir + "/node.json")
		    << R"({"node":{"name":"n","addr":"127.0.0.1:1",)"
		    << R"("zone":"z1"},"listen":{"http":"127.0.0.1:0",)"
		    << R"("peer":"127.0.0.1:0"},"platform":"127.0.0.1:)"
		    << platform.Port("port ") << R"(","operator_key_hash":")"
		    << hash << "\"}";
	}
	static void SetUpTestSuite()
	{
		char name[] = "/tmp/ogl-bad-input-XXXXXX";

		// Freed blocks that the sanitizer keeps would pass for growth.
		setenv("ASAN_OPTIONS", "quarantine_size_mb=1", 0);
		dir = mkdtemp(name);
		executor.Start(dir, "ogl-standin-executor", {});
		exec_port = executor.Port("port ");
		Settings(KeyHash(&op));
		node.Start(dir, "orioleglade", {"-s", dir + "/node.json"});
		http = node.Port("callers on port ");
		ASSERT_TRUE(Within([] {
			return Status(Ask("GET", "/readyz", "")) == 200;
		})) << Slurp(node.out);
		ASSERT_EQ(
		    200, Status(Ask("POST", "/v1/settings", op,
			     R"({"base_version":0,"changes":[)"
			     R"({"path":"teams/victim","value":"{}"},)"
			     R"({"path":"teams/other","value":"{}"}]})")));
		victim = Key("victim");
		other = Key("other");
		for (int i = 0; i < kSlow; i++)
			slow.push_back(Dial(http));
		slow_open = kSlow;
		dribbler = std::thread(Dribble);
	}
	// Callers that send a byte now and then, until they are cut off.
	static void Dribble()
	{
		std::string text = Whole(
		    "POST", "/v1/requests", victim, std::string(9999, 'x'));
		size_t at = 0;

		while (slow_open > 0 && !end) {
			for (int &fd : slow) {
				char c;

				if (fd < 0)
					continue;
				if (recv(fd, &c, 1, MSG_DONTWAIT) == 0 ||
				    send(fd, &text[at], 1, MSG_NOSIGNAL) < 0) {
					close(fd);
					fd = -1;
					slow_open--;
				}
			}
			at = std::min(at + 1, text.size() - 1);
			usleep(100000);
		}
	}
	static void TearDownTestSuite()
	{
		end = true;
		if (dribbler.joinable())
			dribbler.join();
		for (int fd : slow) {
			if (fd >= 0)
				close(fd);
		}
		EXPECT_EQ(0, node.Stop()) << Slurp(node.out);
		platform.Stop();
		executor.Stop();
		EXPECT_EQ(0, system(("rm -rf " + dir).c_str()));
	}

	void SetUp() override
	{
		bystander = std::thread([this] { Stand(); });
	}
	void Stand()
	{
		for (int i = 0; !quit || i == 0; i++) {
			std::string body = "run_ms=1 " + std::to_string(i);
			std::string s = Ask("POST", "/v1/requests", other, body,
			    "Ogl-Kind: k\r\n");

			if (Status(s) == 200 && Has(s, "Ogl-Verdict: ran") &&
			    Has(s, "other|k|" + body))
				good++;
			else if (bad.empty())
				bad = "no answer" + s;
		}
	}
	void Leave()
	{
		quit = true;
		if (bystander.joinable())
			bystander.join();
	}
	void TearDown() override
	{
		Leave();
		EXPECT_EQ(bad, "");
		EXPECT_GT(good, 0);
	}
	// Has the executor spoil what it answers next.
	static void Script(const std::string &fault)
	{
		EXPECT_EQ(200,
		    Status(Raw(exec_port, Whole("POST", "/ctl", "", fault))));
	}
	static std::string Request(
	    const std::string &body, const std::string &headers = "")
	{
		return Ask("POST", "/v1/requests", victim, body,
		    "Ogl-Kind: k\r\n" + headers);
	}
	static void ExpectRan(const std::string &body)
	{
		std::string s = Request(body);

		EXPECT_EQ(Status(s), 200) << s;
		EXPECT_TRUE(Has(s, "Ogl-Verdict: ran")) << s;
		EXPECT_TRUE(Has(s, "victim|k|" + body)) << s;
	}
};

std::string BadInput::dir;
Program BadInput::platform, BadInput::executor, BadInput::node;
uint16_t BadInput::http, BadInput::exec_port;
std::string BadInput::op, BadInput::victim, BadInput::other;
std::vector<int> BadInput::slow;
std::atomic<bool> BadInput::end{false};
std::thread BadInput::dribbler;
std::atomic<int> BadInput::slow_open{0};

// A key may be missing, mistyped, or right for something else.
TEST_F(BadInput, WrongKey)
{
	ExpectRefused(Ask("POST", "/v1/requests", ""), 401);
	ExpectRefused(Ask("POST", "/v1/requests", "x"), 401);
	ExpectRefused(Ask("POST", "/v1/jobs", victim + "x"), 401);
	ExpectRefused(Ask("GET", "/v1/status", std::string(4000, 'k')), 401);
	ExpectRefused(Ask("GET", "/v1/settings", victim), 403);
	ExpectRefused(Ask("POST", "/v1/keys", victim, "{\"team\":\"\"}"), 403);
	ExpectRefused(Ask("POST", "/v1/requests", op, "x"), 403);
}

TEST_F(BadInput, UnknownPathMethodAndId)
{
	ExpectRefused(Ask("GET", "/", victim), 404);
	ExpectRefused(Ask("GET", "/v1/jobs/a/b", victim), 404);
	ExpectRefused(Ask("GET", "/v1/" + std::string(3000, 'p'), victim), 404);
	ExpectRefused(Ask("PUT", "/v1/jobs", victim, "{}"), 405);
	ExpectRefused(Ask("BREW", "/v1/jobs", victim), 405);
	ExpectRefused(Ask("DELETE", "/v1/requests", victim), 405);
	ExpectRefused(Ask("GET", "/v1/jobs/none", victim), 404);
	ExpectRefused(Ask("GET", "/v1/jobs/s0-1-1", victim), 404);
	ExpectRefused(Ask("GET", "/v1/jobs/s99999999999-1", victim), 404);
	ExpectRefused(Ask("DELETE", "/v1/jobs/s0-1-1", victim), 404);
	ExpectRefused(Ask("DELETE", "/v1/keys/none", op), 404);
	ExpectRefused(Ask("GET", "/v1/settings?path=teams/none", op), 404);
}

TEST_F(BadInput, MalformedJson)
{
	const std::string deep(100000, '[');

	for (const char *path : {"/v1/jobs", "/v1/settings", "/v1/keys"}) {
		const std::string &key =
		    strcmp(path, "/v1/jobs") == 0 ? victim : op;

		for (const std::string &body :
		    {std::string(""), std::string("{"), std::string("[1]"),
			std::string("nul"), std::string("{\"a\":1}"),
			std::string("{\"team\":\"\xff\"}"),
			std::string("\0\0\0", 3), deep})
			ExpectRefused(Ask("POST", path, key, body), 422);
	}
	std::string s = Ask("POST", "/v1/jobs", victim,
	    R"({"kind":"odd","tasks":-1,"colour":1,"run_ms":"x"})");
	ExpectRefused(s, 422);
	for (const char *path : {"kind", "tasks", "colour", "run_ms"})
		EXPECT_TRUE(Has(s, "\"path\":\"" + std::string(path))) << s;
}

// An operator makes several mistakes in one edit.  Were only the first told,
// each try would show one more; were part of the edit taken, the tree in
// force would be one that nobody wrote.
TEST_F(BadInput, SettingsEditWithManyFaultsChangesNothing)
{
	std::string before = Ask("GET", "/v1/settings", op);
	std::string s = Ask("POST", "/v1/settings", op,
	    R"({"base_version":9,"changes":[)"
	    R"({"path":"teams/victim/share","value":"0"},)"
	    R"({"path":"teams/victim/colour","value":"1"},)"
	    R"({"path":"teams/new","value":"{}"},)"
	    R"({"path":"teams/none/share","value":"1"},)"
	    R"({"path":"cell/audit_keep","value":"\"many\""},)"
	    R"({"path":"Teams","value":"{"}]})");

	ExpectRefused(s, 422);
	for (const char *path :
	    {"base_version", "teams/victim/share", "teams/victim/colour",
		"teams/none", "cell/audit_keep", "Teams"})
		EXPECT_TRUE(Has(s, "\"path\":\"" + std::string(path))) << s;
	EXPECT_EQ(before.substr(before.find("\r\n\r\n")), [&] {
		std::string after = Ask("GET", "/v1/settings", op);
		return after.substr(after.find("\r\n\r\n"));
	}());
}

TEST_F(BadInput, TooLargeBody)
{
	std::string chunk =
	    "100000\r\n" + std::string(kMiB, 'x') + "\r\n"; // hex for 1 MiB
	std::string head =
	    Head("POST", "/v1/requests", victim, "Connection: close\r\n");
	long before = node.RssKb();

	for (int i = 0; i < 20; i++) {
		ExpectRefused(Request(std::string(2 * kMiB, 'x')), 413);
		ExpectRefused(Raw(http, head +
					    "Transfer-Encoding: chunked\r\n"
					    "\r\n" +
					    chunk + chunk + "0\r\n\r\n"),
		    413);
	}
	ExpectRefused(
	    Raw(http, head + "Content-Length: 99999999999999\r\n\r\n"), 413);
	EXPECT_LT(node.RssKb() - before, kGrowthMaxKb);
}

// A team's own bound is below that of the node.
TEST_F(BadInput, BodyOverTheTeamsLimit)
{
	std::string small;
	std::string s;

	ExpectRefused(Request(std::string(kMiB / 2, 'x')), 413);
	ASSERT_EQ(
	    200, Status(Ask("POST", "/v1/settings", op,
		     R"({"base_version":1,"changes":[)"
		     R"({"path":"teams/small","value":"{}"},)"
		     R"({"path":"teams/small/max_body","value":"20"}]})")));
	small = Key("small");
	s = Ask("POST", "/v1/requests", small, std::string(21, 'x'));
	ExpectRefused(s, 413);
	s = Ask("POST", "/v1/requests", small, std::string(20, 'x'));
	EXPECT_EQ(200, Status(s)) << s;
}

TEST_F(BadInput, BadHeaders)
{
	for (const char *h : {"Ogl-Timeout-Ms: soon\r\n",
		 "Ogl-Timeout-Ms: -1\r\n", "Ogl-Timeout-Ms: 0\r\n",
		 "Ogl-Timeout-Ms: 99999999999999999999\r\n",
		 "Ogl-Idempotent: perhaps\r\n"})
		ExpectRefused(Request("x", h), 400);
	for (const std::string &id :
	    {std::string(129, 'i'), std::string("a|b"), std::string("\xff")}) {
		std::string h = "Idempotency-Key: " + id + "\r\n";

		ExpectRefused(Request("x", h), 422);
		ExpectRefused(Ask("POST", "/v1/jobs", victim,
				  R"({"tasks":1,"res":{"cpu_milli":1}})", h),
		    422);
	}
	EXPECT_EQ(431,
	    Status(Request("x", "X: " + std::string(65536, 'h') + "\r\n")));
	EXPECT_EQ(400, Status(Raw(http, "\x16\x03\x01 what is this\r\n\r\n")));
}

// Callers die or give up at any byte.
TEST_F(BadInput, HalfRequests)
{
	std::string text =
	    Whole("POST", "/v1/requests", victim, std::string(5000, 'x'));
	long before = node.RssKb();

	for (size_t cut = 1; cut < text.size(); cut += 23) {
		int fd = Dial(http);

		ASSERT_GE(fd, 0);
		Put(fd, text.substr(0, cut));
		close(fd);
	}
	EXPECT_LT(node.RssKb() - before, kGrowthMaxKb);
	ExpectRan("run_ms=1 after");
}

TEST_F(BadInput, PipelinedRequestsAreAnsweredInOrder)
{
	std::string s = Raw(
	    http, Whole("POST", "/v1/requests", victim, "run_ms=30 first", "") +
		      Whole("GET", "/nowhere", victim, "", "") +
		      Whole("POST", "/v1/requests", "wrong", "second", "") +
		      Whole("POST", "/v1/requests", victim, "run_ms=1 third"));
	size_t first = s.find("run_ms=30 first");
	size_t third = s.find("run_ms=1 third");
	size_t nowhere = s.find("HTTP/1.1 404");
	size_t denied = s.find("HTTP/1.1 401");

	ASSERT_NE(third, std::string::npos) << s;
	EXPECT_LT(first, nowhere);
	EXPECT_LT(nowhere, denied);
	EXPECT_LT(denied, third);
	EXPECT_FALSE(Has(s, "second"));
}

// A target dies while it answers, or mixes up answers, or takes too long.
// The request has run there by then, and nobody can know how far, so its
// caller must hear just that, never a part of an answer or another's.
TEST_F(BadInput, AnswersCutCrossedLostAndLate)
{
	Leave(); // it would take some of the spoilt answers
	for (const char *fault : {"cut", "cross", "lose"}) {
		Script("{\"" + std::string(fault) + "\":1}");
		std::string s = Request("run_ms=1 spoilt");

		EXPECT_EQ(Status(s), 504) << fault << s;
		EXPECT_TRUE(Has(s, "Ogl-Verdict: may_have_run")) << s;
		EXPECT_TRUE(Has(s, "\"verdict\":\"may_have_run\"")) << s;
		EXPECT_FALSE(Has(s, "spoilt")) << s;
		ExpectRan("run_ms=1 next");
	}
	Script("{\"late_ms\":1500}");
	std::string s = Request("run_ms=1 spoilt", "Ogl-Timeout-Ms: 200\r\n");
	EXPECT_EQ(Status(s), 504) << s;
	EXPECT_TRUE(Has(s, "Ogl-Verdict: may_have_run")) << s;
	Script("{\"late_ms\":0}");
	for (int i = 0; i < 50; i++)
		ExpectRan("run_ms=1 next" + std::to_string(i));
}

// A byte now and then would hold a connection, and what was sent, for ever.
TEST_F(BadInput, SlowSendersAreCutOff)
{
	EXPECT_TRUE(Within([] { return slow_open == 0; }));
	EXPECT_TRUE(Has(Ask("GET", "/metrics", ""),
	    "ogl_http_in_too_slow_total " + std::to_string(kSlow) + "\n"));
}

} // namespace
