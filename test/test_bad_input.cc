// The real daemon, with stand-ins for the platform and an executor, receives
// malformed and hostile input from callers, and truncated, mixed-up, lost and
// late answers from the executor.  Meanwhile another team's caller sends
// ordinary requests, each of which must be answered correctly.
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

const int kWaitIntervalUs = 50000;
const int kWaitsMax = 400; // 20 s in all
const int kSlowSenders = 20;
const size_t kMiB = 1024 * 1024;
// Allows for pages that the allocator keeps.  A daemon that leaked the input of
// a test would grow by several times as much.
const long kGrowthMaxKb = 24 * 1024;

std::string
ReadFile(const std::string &path)
{
	std::ifstream in(path);
	std::stringstream s;

	s << in.rdbuf();
	return s.str();
}

bool
WaitUntil(const std::function<bool()> &fn)
{
	for (int i = 0; i < kWaitsMax; i++) {
		if (fn())
			return true;
		usleep(kWaitIntervalUs);
	}
	return false;
}

// A child process with its output in a file.
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
	// Waits for a text in the output and returns the port number after it.
	uint16_t Port(const char *after) const
	{
		uint16_t port = 0;

		EXPECT_TRUE(WaitUntil([&] {
			std::string s = ReadFile(out);
			size_t at = s.find(after);

			if (at == std::string::npos ||
			    s.find('\n', at) == std::string::npos)
				return false;
			port = (uint16_t)atoi(s.c_str() + at + strlen(after));
			return true;
		})) << ReadFile(out);
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
		    ReadFile("/proc/" + std::to_string(pid) + "/status");
		size_t at = s.find("VmRSS:");

		return at == std::string::npos ? -1 : atol(s.c_str() + at + 6);
	}
};

// ---- sockets ----------------------------------------------------------------

int
Connect(uint16_t port)
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

// Sends s, or as much of it as the peer accepts.
void
SendAll(int fd, const std::string &s)
{
	size_t at = 0;
	ssize_t n;

	while (at < s.size() &&
	       (n = send(fd, s.data() + at, s.size() - at, MSG_NOSIGNAL)) > 0)
		at += (size_t)n;
}

std::string
ReceiveAll(int fd)
{
	std::string s;
	char buf[8192];
	ssize_t n;

	while ((n = recv(fd, buf, sizeof buf, 0)) > 0)
		s.append(buf, (size_t)n);
	return s;
}

// Sends bytes on a new connection and returns all that is received until it is
// closed.
std::string
SendRaw(uint16_t port, const std::string &text)
{
	int fd = Connect(port);
	std::string s;

	if (fd < 0)
		return "";
	SendAll(fd, text);
	s = ReceiveAll(fd);
	close(fd);
	return s;
}

std::string
RequestHead(const std::string &method, const std::string &path,
    const std::string &key, const std::string &headers = "")
{
	std::string s = method + " " + path + " HTTP/1.1\r\nHost: n\r\n";

	if (!key.empty())
		s += "Authorization: Bearer " + key + "\r\n";
	return s + headers;
}

std::string
RequestText(const std::string &method, const std::string &path,
    const std::string &key, const std::string &body,
    const std::string &headers = "Connection: close\r\n")
{
	return RequestHead(method, path, key, headers) +
	       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	       body;
}

bool
Contains(const std::string &text, const std::string &part)
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

// Expects a refusal with this status, the verdict both in a header and in the
// body, and an error text.
void
ExpectRefused(const std::string &answer, int status)
{
	EXPECT_EQ(Status(answer), status) << answer;
	EXPECT_TRUE(Contains(answer, "Ogl-Verdict: not_run")) << answer;
	EXPECT_TRUE(Contains(answer, "\"error\":\"")) << answer;
	EXPECT_TRUE(Contains(answer, "\"verdict\":\"not_run\"")) << answer;
}

// ---- the cell ---------------------------------------------------------------

class BadInput : public ::testing::Test
{
      protected:
	static std::string dir;
	static Program platform, executor, node;
	static uint16_t http, exec_port;
	static std::string operator_key, team_key, bystander_key;
	static std::vector<int> slow;
	static std::atomic<bool> end;
	static std::thread slow_sender;
	static std::atomic<int> slow_connected;

	std::thread bystander;
	std::atomic<bool> stop_bystander{false};
	std::atomic<int> answered{0};
	std::string bad; // the bystander's first wrong answer

	static std::string Ask(const std::string &method,
	    const std::string &path, const std::string &key,
	    const std::string &body = "", const std::string &headers = "")
	{
		return SendRaw(http, RequestText(method, path, key, body,
					 "Connection: close\r\n" + headers));
	}
	static std::string Key(const std::string &team)
	{
		std::string s = Ask("POST", "/v1/keys", operator_key,
		    "{\"team\":\"" + team + "\"}");
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

		// Freed blocks that the sanitizer keeps would count as growth.
		setenv("ASAN_OPTIONS", "quarantine_size_mb=1", 0);
		dir = mkdtemp(name);
		executor.Start(dir, "ogl-standin-executor", {});
		exec_port = executor.Port("port ");
		Settings(KeyHash(&operator_key));
		node.Start(dir, "orioleglade", {"-s", dir + "/node.json"});
		http = node.Port("callers on port ");
		ASSERT_TRUE(WaitUntil([] {
			return Status(Ask("GET", "/readyz", "")) == 200;
		})) << ReadFile(node.out);
		ASSERT_EQ(
		    200, Status(Ask("POST", "/v1/settings", operator_key,
			     R"({"base_version":0,"changes":[)"
			     R"({"path":"teams/victim","value":"{}"},)"
			     R"({"path":"teams/other","value":"{}"}]})")));
		team_key = Key("victim");
		bystander_key = Key("other");
		for (int i = 0; i < kSlowSenders; i++)
			slow.push_back(Connect(http));
		slow_connected = kSlowSenders;
		slow_sender = std::thread(SendSlowly);
	}
	// Sends a byte per caller every 100 ms until the daemon disconnects.
	static void SendSlowly()
	{
		std::string text = RequestText(
		    "POST", "/v1/requests", team_key, std::string(9999, 'x'));
		size_t at = 0;

		while (slow_connected > 0 && !end) {
			for (int &fd : slow) {
				char c;

				if (fd < 0)
					continue;
				if (recv(fd, &c, 1, MSG_DONTWAIT) == 0 ||
				    send(fd, &text[at], 1, MSG_NOSIGNAL) < 0) {
					close(fd);
					fd = -1;
					slow_connected--;
				}
			}
			at = std::min(at + 1, text.size() - 1);
			usleep(100000);
		}
	}
	static void TearDownTestSuite()
	{
		end = true;
		if (slow_sender.joinable())
			slow_sender.join();
		for (int fd : slow) {
			if (fd >= 0)
				close(fd);
		}
		EXPECT_EQ(0, node.Stop()) << ReadFile(node.out);
		platform.Stop();
		executor.Stop();
		EXPECT_EQ(0, system(("rm -rf " + dir).c_str()));
	}

	void SetUp() override
	{
		bystander = std::thread([this] { SendOrdinaryRequests(); });
	}
	void SendOrdinaryRequests()
	{
		for (int i = 0; !stop_bystander || i == 0; i++) {
			std::string body = "run_ms=1 " + std::to_string(i);
			std::string s = Ask("POST", "/v1/requests",
			    bystander_key, body, "Ogl-Kind: k\r\n");

			if (Status(s) == 200 &&
			    Contains(s, "Ogl-Verdict: ran") &&
			    Contains(s, "other|k|" + body))
				answered++;
			else if (bad.empty())
				bad = "no answer" + s;
		}
	}
	void StopBystander()
	{
		stop_bystander = true;
		if (bystander.joinable())
			bystander.join();
	}
	void TearDown() override
	{
		StopBystander();
		EXPECT_EQ(bad, "");
		EXPECT_GT(answered, 0);
	}
	// Sets the fault of the next answers of the executor.
	static void SetFault(const std::string &fault)
	{
		EXPECT_EQ(200, Status(SendRaw(exec_port,
				   RequestText("POST", "/ctl", "", fault))));
	}
	static std::string Request(
	    const std::string &body, const std::string &headers = "")
	{
		return Ask("POST", "/v1/requests", team_key, body,
		    "Ogl-Kind: k\r\n" + headers);
	}
	static void ExpectRan(const std::string &body)
	{
		std::string s = Request(body);

		EXPECT_EQ(Status(s), 200) << s;
		EXPECT_TRUE(Contains(s, "Ogl-Verdict: ran")) << s;
		EXPECT_TRUE(Contains(s, "victim|k|" + body)) << s;
	}
};

std::string BadInput::dir;
Program BadInput::platform, BadInput::executor, BadInput::node;
uint16_t BadInput::http, BadInput::exec_port;
std::string BadInput::operator_key, BadInput::team_key, BadInput::bystander_key;
std::vector<int> BadInput::slow;
std::atomic<bool> BadInput::end{false};
std::thread BadInput::slow_sender;
std::atomic<int> BadInput::slow_connected{0};

// A key may be missing, mistyped, or valid for other calls only.
TEST_F(BadInput, WrongKey)
{
	ExpectRefused(Ask("POST", "/v1/requests", ""), 401);
	ExpectRefused(Ask("POST", "/v1/requests", "x"), 401);
	ExpectRefused(Ask("POST", "/v1/jobs", team_key + "x"), 401);
	ExpectRefused(Ask("GET", "/v1/status", std::string(4000, 'k')), 401);
	ExpectRefused(Ask("GET", "/v1/settings", team_key), 403);
	ExpectRefused(
	    Ask("POST", "/v1/keys", team_key, "{\"team\":\"\"}"), 403);
	ExpectRefused(Ask("POST", "/v1/requests", operator_key, "x"), 403);
}

TEST_F(BadInput, UnknownPathMethodAndId)
{
	ExpectRefused(Ask("GET", "/", team_key), 404);
	ExpectRefused(Ask("GET", "/v1/jobs/a/b", team_key), 404);
	ExpectRefused(
	    Ask("GET", "/v1/" + std::string(3000, 'p'), team_key), 404);
	ExpectRefused(Ask("PUT", "/v1/jobs", team_key, "{}"), 405);
	ExpectRefused(Ask("BREW", "/v1/jobs", team_key), 405);
	ExpectRefused(Ask("DELETE", "/v1/requests", team_key), 405);
	ExpectRefused(Ask("GET", "/v1/jobs/none", team_key), 404);
	ExpectRefused(Ask("GET", "/v1/jobs/s0-1-1", team_key), 404);
	ExpectRefused(Ask("GET", "/v1/jobs/s99999999999-1", team_key), 404);
	ExpectRefused(Ask("DELETE", "/v1/jobs/s0-1-1", team_key), 404);
	ExpectRefused(Ask("DELETE", "/v1/keys/none", operator_key), 404);
	ExpectRefused(
	    Ask("GET", "/v1/settings?path=teams/none", operator_key), 404);
}

TEST_F(BadInput, MalformedJson)
{
	const std::string deep(100000, '[');

	for (const char *path : {"/v1/jobs", "/v1/settings", "/v1/keys"}) {
		const std::string &key =
		    strcmp(path, "/v1/jobs") == 0 ? team_key : operator_key;

		for (const std::string &body :
		    {std::string(""), std::string("{"), std::string("[1]"),
			std::string("nul"), std::string("{\"a\":1}"),
			std::string("{\"team\":\"\xff\"}"),
			std::string("\0\0\0", 3), deep})
			ExpectRefused(Ask("POST", path, key, body), 422);
	}
	std::string s = Ask("POST", "/v1/jobs", team_key,
	    R"({"kind":"odd","tasks":-1,"colour":1,"run_ms":"x"})");
	ExpectRefused(s, 422);
	for (const char *path : {"kind", "tasks", "colour", "run_ms"})
		EXPECT_TRUE(Contains(s, "\"path\":\"" + std::string(path)))
		    << s;
}

// An operator makes several mistakes in one edit.  All of them must be reported
// at once, and no part of the edit may take effect: otherwise the settings in
// force would be a mix that nobody wrote.
TEST_F(BadInput, SettingsEditWithSeveralFaultsChangesNothing)
{
	std::string before = Ask("GET", "/v1/settings", operator_key);
	std::string s = Ask("POST", "/v1/settings", operator_key,
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
		EXPECT_TRUE(Contains(s, "\"path\":\"" + std::string(path)))
		    << s;
	EXPECT_EQ(before.substr(before.find("\r\n\r\n")), [&] {
		std::string after = Ask("GET", "/v1/settings", operator_key);
		return after.substr(after.find("\r\n\r\n"));
	}());
}

TEST_F(BadInput, TooLargeBody)
{
	std::string chunk =
	    "100000\r\n" + std::string(kMiB, 'x') + "\r\n"; // hex for 1 MiB
	std::string head = RequestHead(
	    "POST", "/v1/requests", team_key, "Connection: close\r\n");
	long before = node.RssKb();

	for (int i = 0; i < 20; i++) {
		ExpectRefused(Request(std::string(2 * kMiB, 'x')), 413);
		ExpectRefused(SendRaw(http, head +
						"Transfer-Encoding: chunked\r\n"
						"\r\n" +
						chunk + chunk + "0\r\n\r\n"),
		    413);
	}
	ExpectRefused(
	    SendRaw(http, head + "Content-Length: 99999999999999\r\n\r\n"),
	    413);
	EXPECT_LT(node.RssKb() - before, kGrowthMaxKb);
}

// A team's limit on the body size is below that of the node.
TEST_F(BadInput, BodyOverTheTeamsLimit)
{
	std::string small;
	std::string s;

	ExpectRefused(Request(std::string(kMiB / 2, 'x')), 413);
	ASSERT_EQ(
	    200, Status(Ask("POST", "/v1/settings", operator_key,
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
		ExpectRefused(Ask("POST", "/v1/jobs", team_key,
				  R"({"tasks":1,"res":{"cpu_milli":1}})", h),
		    422);
	}
	EXPECT_EQ(431,
	    Status(Request("x", "X: " + std::string(65536, 'h') + "\r\n")));
	EXPECT_EQ(
	    400, Status(SendRaw(http, "\x16\x03\x01 what is this\r\n\r\n")));
}

// Callers disconnect after any number of bytes.
TEST_F(BadInput, TruncatedRequests)
{
	std::string text = RequestText(
	    "POST", "/v1/requests", team_key, std::string(5000, 'x'));
	long before = node.RssKb();

	for (size_t cut = 1; cut < text.size(); cut += 23) {
		int fd = Connect(http);

		ASSERT_GE(fd, 0);
		SendAll(fd, text.substr(0, cut));
		close(fd);
	}
	EXPECT_LT(node.RssKb() - before, kGrowthMaxKb);
	ExpectRan("run_ms=1 after");
}

TEST_F(BadInput, AnswersPipelinedRequestsInOrder)
{
	std::string s = SendRaw(http,
	    RequestText(
		"POST", "/v1/requests", team_key, "run_ms=30 first", "") +
		RequestText("GET", "/nowhere", team_key, "", "") +
		RequestText("POST", "/v1/requests", "wrong", "second", "") +
		RequestText(
		    "POST", "/v1/requests", team_key, "run_ms=1 third"));
	size_t first = s.find("run_ms=30 first");
	size_t third = s.find("run_ms=1 third");
	size_t nowhere = s.find("HTTP/1.1 404");
	size_t denied = s.find("HTTP/1.1 401");

	ASSERT_NE(third, std::string::npos) << s;
	EXPECT_LT(first, nowhere);
	EXPECT_LT(nowhere, denied);
	EXPECT_LT(denied, third);
	EXPECT_FALSE(Contains(s, "second"));
}

// A target crashes while it answers, mixes up answers or takes too long.  The
// request may have run there, so its caller must get that verdict and never a
// part of an answer or the answer to another request.
TEST_F(BadInput, TruncatedMixedUpLostAndLateAnswers)
{
	StopBystander(); // it would get some of the faulty answers
	for (const char *fault : {"cut", "cross", "lose"}) {
		SetFault("{\"" + std::string(fault) + "\":1}");
		std::string s = Request("run_ms=1 spoilt");

		EXPECT_EQ(Status(s), 504) << fault << s;
		EXPECT_TRUE(Contains(s, "Ogl-Verdict: may_have_run")) << s;
		EXPECT_TRUE(Contains(s, "\"verdict\":\"may_have_run\"")) << s;
		EXPECT_FALSE(Contains(s, "spoilt")) << s;
		ExpectRan("run_ms=1 next");
	}
	SetFault("{\"late_ms\":1500}");
	std::string s = Request("run_ms=1 spoilt", "Ogl-Timeout-Ms: 200\r\n");
	EXPECT_EQ(Status(s), 504) << s;
	EXPECT_TRUE(Contains(s, "Ogl-Verdict: may_have_run")) << s;
	SetFault("{\"late_ms\":0}");
	for (int i = 0; i < 50; i++)
		ExpectRan("run_ms=1 next" + std::to_string(i));
}

// Callers that send a byte now and then would otherwise hold a connection and
// its buffers for ever.
TEST_F(BadInput, DisconnectsSlowSenders)
{
	EXPECT_TRUE(WaitUntil([] { return slow_connected == 0; }));
	EXPECT_TRUE(Contains(Ask("GET", "/metrics", ""),
	    "ogl_http_in_too_slow_total " + std::to_string(kSlowSenders) +
		"\n"));
}

} // namespace
