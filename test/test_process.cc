// Tests of the real daemons as processes over TCP on loopback: three nodes and
// the stand-ins, while nodes are killed, paused or stopped.
//
// The kernel chooses the ports: a node's ports are bound, recorded and closed
// just before it starts.  Waits poll with timeouts far beyond the expected
// time; no test depends on how fast something is.
#include <gtest/gtest.h>

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <jansson.h>
#include <map>
#include <netinet/in.h>
#include <spawn.h>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "orioleglade.h"

namespace
{

constexpr int WAIT_TIMEOUT_S = 25; // of each wait

using Strings = std::vector<std::string>;

bool
wait_until(const std::function<bool()> &done)
{
	for (int i = 0; i < WAIT_TIMEOUT_S * 50; i++) {
		if (done())
			return true;
		std::this_thread::sleep_for(std::chrono::milliseconds(20));
	}
	return false;
}

// An address that no socket uses.  Its port lies below those that the kernel
// gives to outgoing connections: one of these may otherwise take the port
// before the process that is to listen there has started.
std::string
free_addr()
{
	static unsigned next = static_cast<unsigned>(getpid()) * 64;
	struct sockaddr_in a = {};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int bound = -1;

	a.sin_family = AF_INET;
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (int tries = 0; bound != 0 && tries < 1000; tries++) {
		a.sin_port =
		    htons(static_cast<uint16_t>(12000 + next++ % 6000));
		bound = bind(fd, reinterpret_cast<sockaddr *>(&a), sizeof(a));
	}
	EXPECT_EQ(0, bound);
	close(fd);
	return "127.0.0.1:" + std::to_string(ntohs(a.sin_port));
}

// One process.  Its standard output and error go to a file.
class Process
{
      public:
	Process() = default;
	Process(const Process &) = delete;
	Process &operator=(const Process &) = delete;
	~Process()
	{
		if (pid_ > 0) {
			kill(pid_, SIGKILL);
			wait();
		}
	}

	void start(
	    const std::string &log, const std::string &program, Strings args)
	{
		std::string path = std::string(OGL_BIN_DIR) + "/" + program;
		std::vector<char *> argv = {path.data()};
		posix_spawn_file_actions_t fa;

		for (auto &a : args)
			argv.push_back(a.data());
		argv.push_back(nullptr);
		out = log;
		posix_spawn_file_actions_init(&fa);
		posix_spawn_file_actions_addopen(
		    &fa, 1, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
		posix_spawn_file_actions_adddup2(&fa, 1, 2);
		ASSERT_EQ(0, posix_spawn(&pid_, path.c_str(), &fa, nullptr,
				 argv.data(), environ));
		posix_spawn_file_actions_destroy(&fa);
	}

	void signal(int number) const
	{
		ASSERT_EQ(0, kill(pid_, number));
	}

	// Waits for the process to end.  Returns its exit status, -1 if a
	// signal ended it.
	int wait()
	{
		int status = 0;

		waitpid(pid_, &status, 0);
		pid_ = -1;
		return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
	}

	void kill_and_wait()
	{
		signal(SIGKILL);
		wait();
	}

	std::string output() const
	{
		std::string s;
		char part[4096];
		size_t n;
		FILE *f = fopen(out.c_str(), "r");

		while (
		    f != nullptr && (n = fread(part, 1, sizeof(part), f)) > 0)
			s.append(part, n);
		if (f != nullptr)
			fclose(f);
		return s;
	}

	std::string out;

      private:
	pid_t pid_ = -1;
};

struct Answer {
	int status; // 0: the connection was cut or could not be made
	std::string verdict;
	std::string body;
};

// Sends a request once, on a connection of its own, and reads the answer.
Answer
ask(const std::string &addr, const std::string &method, const std::string &path,
    const std::string &key = "", const std::string &body = "",
    const std::string &headers = "")
{
	std::string text =
	    method + " " + path + " HTTP/1.0\r\n" +
	    (key.empty() ? "" : "Authorization: Bearer " + key + "\r\n") +
	    headers + "Content-Length: " + std::to_string(body.size()) +
	    "\r\n\r\n" + body;
	struct timeval timeout = {10, 0};
	struct sockaddr_in sa = {};
	Answer a = {0, "", ""};
	std::string in;
	char part[4096];
	ssize_t n;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_family = AF_INET;
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sa.sin_port = htons(
	    static_cast<uint16_t>(std::stoi(addr.substr(addr.find(':') + 1))));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, reinterpret_cast<sockaddr *>(&sa), sizeof(sa)) == 0 &&
	    send(fd, text.data(), text.size(), MSG_NOSIGNAL) ==
		static_cast<ssize_t>(text.size())) {
		while ((n = read(fd, part, sizeof(part))) > 0)
			in.append(part, static_cast<size_t>(n));
	}
	close(fd);
	size_t end = in.find("\r\n\r\n");
	if (end == std::string::npos)
		return a;
	size_t verdict = in.find("Ogl-Verdict: ");
	a.status = std::stoi(in.substr(in.find(' ')));
	if (verdict < end)
		a.verdict = in.substr(
		    verdict + 13, in.find("\r\n", verdict) - verdict - 13);
	a.body = in.substr(end + 4);
	return a;
}

// Returns a string or integer field of a JSON object as text, "" if there is
// none.
std::string
field(const std::string &json, const char *name)
{
	json_t *o = json_loads(json.c_str(), 0, nullptr);
	const json_t *v = json_object_get(o, name);
	std::string s;

	if (json_is_string(v))
		s = json_string_value(v);
	else if (json_is_integer(v))
		s = std::to_string(json_integer_value(v));
	json_decref(o);
	return s;
}

class ProcessCell : public ::testing::Test
{
      protected:
	static constexpr int NODES = 3;
	std::string dir, http[NODES], peer[NODES], platform_addr;
	std::string operator_key, operator_hash, key;
	std::vector<Strings> worker_rows, executor_rows;
	Process platform, workers, executors, node[NODES];

	void SetUp() override
	{
		char name[] = "/tmp/ogl-process-XXXXXX";

		ASSERT_NE(nullptr, mkdtemp(name));
		dir = name;
		ASSERT_NO_FATAL_FAILURE(start_stand_ins());
		make_operator_key();
		for (int i = 0; i < NODES; i++) {
			http[i] = free_addr();
			peer[i] = free_addr();
		}
		for (int i = 0; i < NODES; i++) {
			write(node_name(i) + ".json", settings(i));
			start_node(i);
		}
		for (int i = 0; i < NODES; i++)
			ASSERT_TRUE(becomes_ready(i)) << node[i].output();
		ASSERT_NO_FATAL_FAILURE(make_team());
	}

	void TearDown() override
	{
		for (int i = 0; HasFailure() && i < NODES; i++)
			fprintf(stderr, "%s\n", node[i].output().c_str());
		for (const char *f :
		    {"platform", "workers", "executors", "hosts.json", "n0",
			"n1", "n2", "n0.json", "n1.json", "n2.json"})
			unlink(file(f).c_str());
		rmdir(dir.c_str());
	}

	std::string file(const std::string &name) const
	{
		return dir + "/" + name;
	}

	void write(const std::string &name, const std::string &text) const
	{
		FILE *f = fopen(file(name).c_str(), "w");

		ASSERT_NE(nullptr, f);
		fputs(text.c_str(), f);
		fclose(f);
	}

	static std::string node_name(int i)
	{
		return "n" + std::to_string(i);
	}

	// Waits for a number of lines "port PORT NAME ..." of a stand-in.
	// Returns them as {address, name}.
	static std::vector<Strings> ports(const Process &p, size_t count)
	{
		std::vector<Strings> rows;

		EXPECT_TRUE(wait_until([&] {
			std::istringstream in(p.output());
			std::string word, port, name, rest;

			rows.clear();
			while (in >> word >> port >> name &&
			       std::getline(in, rest) && !in.eof())
				rows.push_back({"127.0.0.1:" + port, name});
			return rows.size() >= count;
		}));
		return rows;
	}

	void start_stand_ins()
	{
		std::string list;

		workers.start(file("workers"), "ogl-standin-worker",
		    {"--count", "4", "--cpu", "4000"});
		executors.start(file("executors"), "ogl-standin-executor",
		    {"--count", "2"});
		worker_rows = ports(workers, 4);
		executor_rows = ports(executors, 2);
		ASSERT_EQ(4u, worker_rows.size());
		ASSERT_EQ(2u, executor_rows.size());
		for (const auto &w : worker_rows)
			list += host("worker", w) + ",";
		for (const auto &e : executor_rows)
			list += host("executor", e) + ",";
		list.pop_back();
		write("hosts.json", "{\"hosts\":[" + list + "]}");
		platform.start(file("platform"), "ogl-standin-platform",
		    {"--hosts", file("hosts.json"), "--lag-ms", "0"});
		auto rows = ports(platform, 1);
		ASSERT_EQ(1u, rows.size());
		platform_addr = rows[0][0];
	}

	static std::string host(const char *role, const Strings &row)
	{
		return std::string("{\"role\":\"") + role + "\",\"addr\":\"" +
		       row[0] + "\",\"name\":\"" + row[1] +
		       "\",\"zone\":\"z1\",\"rack\":\"r\"}";
	}

	void make_operator_key()
	{
		uint8_t random[32] = {7};
		char text[80], id[32], hex[65];
		Ogl__Edit *e = nullptr;

		ASSERT_TRUE(ogl_key_make(random, "", text, &e, id));
		ASSERT_TRUE(ogl_key_hash(ogl_str(text), hex));
		ogl__edit__free_unpacked(e, nullptr);
		operator_key = text;
		operator_hash = hex;
	}

	// The timings are shorter than the defaults, so that leases run out
	// within a test.
	std::string settings(int i) const
	{
		return "{\"node\":{\"name\":\"" + node_name(i) +
		       "\",\"addr\":\"" + peer[i] +
		       "\",\"zone\":\"z1\"},\"listen\":{\"http\":\"" + http[i] +
		       "\",\"peer\":\"" + peer[i] + "\"},\"platform\":\"" +
		       platform_addr + "\",\"seeds\":[\"" + peer[0] + "\",\"" +
		       peer[1] +
		       "\"],\"shards\":2,\"log_level\":\"info\","
		       "\"operator_key_hash\":\"" +
		       operator_hash +
		       "\",\"timings\":{\"lease_ms\":3000,\"sync_ms\":300,"
		       "\"probe_ms\":200,\"suspect_ms\":600}}";
	}

	void start_node(int i)
	{
		node[i].start(file(node_name(i)), "orioleglade",
		    {"--settings", file(node_name(i) + ".json")});
	}

	bool becomes_ready(int i) const
	{
		return wait_until([&] {
			return ask(http[i], "GET", "/readyz").status == 200;
		});
	}

	void make_team()
	{
		ASSERT_TRUE(edit(0, "teams/north", "{}"));
		Answer a = ask(http[0], "POST", "/v1/keys", operator_key,
		    "{\"team\":\"north\"}");
		ASSERT_EQ(201, a.status) << a.body;
		key = field(a.body, "key");
		for (const auto &h : http)
			ASSERT_TRUE(wait_until([&] {
				return ask(h, "GET", "/v1/jobs", key).status ==
				       200;
			}));
	}

	// Retries an edit from the newest version until it is accepted, as an
	// operator would.  Returns whether it was.
	bool edit(int i, const std::string &path, const std::string &value)
	{
		return wait_until([&] {
			std::string now = field(
			    ask(http[i], "GET", "/v1/status", operator_key)
				.body,
			    "settings_version");
			return ask(http[i], "POST", "/v1/settings",
				   operator_key,
				   "{\"base_version\":" + now +
				       ",\"changes\":[{\"path\":\"" + path +
				       "\",\"value\":\"" + value + "\"}]}")
				   .status == 200;
		});
	}

	Answer submit(int i, int tasks, int run_ms, const std::string &id)
	{
		return ask(http[i], "POST", "/v1/jobs", key,
		    "{\"kind\":\"batch\",\"tasks\":" + std::to_string(tasks) +
			",\"res\":{\"cpu_milli\":1000,\"mem_mb\":64},"
			"\"restartable\":true,\"request_id\":\"" +
			id + "\",\"run_ms\":" + std::to_string(run_ms) +
			",\"payload\":\"run_ms=" + std::to_string(run_ms) +
			"\"}");
	}

	// Submits a job until it is accepted; the request id makes retries
	// harmless.  Returns the id of the job.
	std::string submit_until_accepted(
	    int i, int tasks, int run_ms, const std::string &id)
	{
		Answer a;

		EXPECT_TRUE(wait_until([&] {
			a = submit(i, tasks, run_ms, id);
			return a.status == 202;
		})) << a.body;
		return field(a.body, "job");
	}

	bool reaches_state(
	    int i, const std::string &job, const std::string &state)
	{
		return wait_until([&] {
			return field(ask(http[i], "GET", "/v1/jobs/" + job, key)
					 .body,
				   "state") == state;
		});
	}

	// Returns the node that reports to own the job's shard, -1 if none
	// does.
	int find_owner(const std::string &job)
	{
		std::string shard = job.substr(1, job.find('-') - 1);
		int found = -1;

		EXPECT_TRUE(wait_until([&] {
			for (int i = 0; i < NODES && found < 0; i++) {
				json_t *o =
				    json_loads(ask(http[i], "GET", "/v1/status",
						   operator_key)
						   .body.c_str(),
					0, nullptr);
				json_t *v;
				size_t k;

				json_array_foreach(
				    json_object_get(o, "shards_owned"), k, v)
				{
					if (std::to_string(
						json_integer_value(v)) == shard)
						found = i;
				}
				json_decref(o);
			}
			return found >= 0;
		}));
		return found;
	}

	// Expects of the workers' event lists that every task of the job
	// succeeded once and that none ran on two workers at once.
	void expect_tasks_once(const std::string &job, size_t tasks)
	{
		std::map<std::string, std::vector<std::pair<json_int_t, int>>>
		    changes;
		std::map<std::string, int> succeeded;

		for (const auto &w : worker_rows) {
			std::string text = ask(w[0], "GET", "/counts").body;
			json_t *o = json_loads(text.c_str(), 0, nullptr);
			json_t *e;
			size_t k;

			json_array_foreach(json_object_get(o, "events"), k, e)
			{
				std::string task = json_string_value(
				    json_object_get(e, "task"));
				std::string what = json_string_value(
				    json_object_get(e, "event"));
				std::string state = json_string_value(
				    json_object_get(e, "state"));

				if (task.rfind(job + ".", 0) != 0)
					continue;
				changes[task].push_back(
				    {json_integer_value(
					 json_object_get(e, "at_us")),
					what == "start" ? 1 : -1});
				succeeded[task] += state == "succeeded";
			}
			json_decref(o);
		}
		EXPECT_EQ(tasks, changes.size());
		for (auto &m : changes) {
			int running = 0;

			EXPECT_EQ(1, succeeded[m.first]) << m.first;
			std::sort(m.second.begin(), m.second.end());
			for (const auto &at : m.second) {
				running += at.second;
				EXPECT_LE(running, 1) << m.first;
			}
		}
	}

	void control_platform(const std::string &command)
	{
		ASSERT_EQ(200,
		    ask(platform_addr, "POST", "/ctl", "", command).status);
	}
};

// The host of the node that places a job's tasks loses power while the job
// runs.  The job must neither stall nor run a task twice.  The node then
// restarts under the same name, and knows the job.
TEST_F(ProcessCell, JobContinuesAfterItsOwnerIsKilled)
{
	std::string id = submit_until_accepted(0, 24, 700, "killed");
	int killed = find_owner(id);
	int other = (killed + 1) % NODES;

	ASSERT_GE(killed, 0);
	ASSERT_TRUE(reaches_state(other, id, "active"));
	node[killed].kill_and_wait();
	EXPECT_TRUE(reaches_state(other, id, "done"));
	expect_tasks_once(id, 24);

	start_node(killed);
	EXPECT_TRUE(becomes_ready(killed));
	EXPECT_TRUE(reaches_state(killed, id, "done"));
	std::string next = submit_until_accepted(killed, 2, 50, "after");
	EXPECT_TRUE(reaches_state(killed, next, "done"));
	expect_tasks_once(next, 2);
}

// A node stalls for longer than the leases that it granted, while another node
// takes over its shard; then it resumes and sends everything that was pending.
// Tasks must not run twice, and the node must serve calls without a restart.
TEST_F(ProcessCell, OwnerPausedPastItsLeasesRunsNoTaskTwice)
{
	std::string id = submit_until_accepted(0, 24, 700, "paused");
	int paused = find_owner(id);
	int other = (paused + 1) % NODES;

	ASSERT_GE(paused, 0);
	ASSERT_TRUE(reaches_state(other, id, "active"));
	node[paused].signal(SIGSTOP);
	std::this_thread::sleep_for(std::chrono::seconds(5));
	node[paused].signal(SIGCONT);
	EXPECT_TRUE(becomes_ready(paused));
	EXPECT_TRUE(reaches_state(paused, id, "done"));
	expect_tasks_once(id, 24);
	EXPECT_TRUE(edit(paused, "teams/north/share", "2"));
	std::string next = submit_until_accepted(paused, 2, 50, "after");
	EXPECT_TRUE(reaches_state(other, next, "done"));
}

// The platform's log is down while a job runs.  Accepted jobs continue and
// idempotent requests are served.  Calls that need a record in the log are
// refused as not_run, and accepted again once the log is back.
TEST_F(ProcessCell, JobsAndRequestsContinueWhileTheLogIsDown)
{
	std::string id = submit_until_accepted(0, 96, 500, "outage");

	ASSERT_TRUE(reaches_state(0, id, "active"));
	control_platform("{\"outage\":true}");
	std::this_thread::sleep_for(std::chrono::seconds(5));
	for (int i = 0; i < NODES; i++) {
		Answer a = ask(http[i], "POST", "/v1/requests", key, "run_ms=5",
		    "Ogl-Kind: k\r\nOgl-Idempotent: 1\r\n");
		EXPECT_EQ(200, a.status) << a.body;
		EXPECT_EQ("ran", a.verdict);
	}
	Answer a = submit(1, 1, 10, "refused");
	EXPECT_EQ(503, a.status) << a.body;
	EXPECT_EQ("not_run", a.verdict);
	control_platform("{\"outage\":false}");
	EXPECT_TRUE(reaches_state(1, id, "done"));
	expect_tasks_once(id, 96);
	std::string next = submit_until_accepted(2, 2, 50, "after");
	EXPECT_TRUE(reaches_state(2, next, "done"));
}

// Two of three nodes are told to stop at the same time, as in a careless
// upgrade, while callers send requests that must not run twice.  No connection
// may break, since its caller cannot know whether the request ran.
TEST_F(ProcessCell, TwoNodesStopAtOnceWithoutBreakingCalls)
{
	std::atomic<bool> sending(true);
	std::atomic<int> ran(0), refused(0), broken(0);
	std::vector<std::thread> callers;

	for (int c = 0; c < 6; c++) {
		callers.emplace_back([&, c] {
			for (int i = c; sending; i++) {
				const std::string &h = http[i % NODES];

				// Like the load balancer, call only nodes that
				// are ready.
				if (ask(h, "GET", "/readyz").status != 200)
					continue;
				Answer a = ask(h, "POST", "/v1/requests", key,
				    "run_ms=30", "Ogl-Kind: k\r\n");
				ran += a.status == 200 && a.verdict == "ran";
				refused +=
				    a.status != 0 && a.verdict == "not_run";
				broken += a.status == 0 ||
					  a.verdict == "may_have_run";
			}
		});
	}
	EXPECT_TRUE(wait_until([&] { return ran > 60; }));
	node[0].signal(SIGTERM);
	node[1].signal(SIGTERM);
	EXPECT_EQ(0, node[0].wait());
	EXPECT_EQ(0, node[1].wait());
	int before = ran;
	EXPECT_TRUE(wait_until([&] { return ran > before + 60; }));
	sending = false;
	for (auto &t : callers)
		t.join();
	EXPECT_EQ(0, broken) << ran << " ran, " << refused << " were refused";
	std::string id = submit_until_accepted(2, 2, 50, "after");
	EXPECT_TRUE(reaches_state(2, id, "done"));
}

// An operator starts a node with a settings file that has several errors.  The
// node must not start, and must report all of them.
TEST(Process, BadSettingsReportEveryError)
{
	char name[] = "/tmp/ogl-process-XXXXXX";
	int fd = mkstemp(name);
	std::string out = std::string(name) + ".out";
	const char text[] =
	    "{\"node\":{\"name\":\"n 1\",\"addr\":\"nowhere\",\"zone\":\"z\"},"
	    "\"listen\":{\"http\":\"127.0.0.1:0\"},\"shards\":0,"
	    "\"platform\":\"127.0.0.1:9\",\"colour\":1}";
	Process p;

	ASSERT_EQ(static_cast<ssize_t>(strlen(text)),
	    ::write(fd, text, strlen(text)));
	close(fd);
	p.start(out, "orioleglade", {"--settings", name});
	EXPECT_EQ(2, p.wait());
	for (const char *path : {"node.name", "node.addr", "listen.peer",
		 "shards", "operator_key_hash", "colour"})
		EXPECT_NE(std::string::npos, p.output().find(path)) << path;
	unlink(name);
	unlink(out.c_str());
}

} // namespace
