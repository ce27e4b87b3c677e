// oriolectl against scripted HTTP servers on loopback.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "orioleglade.h"

namespace
{

int
listen_any(std::string *addr)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in a = {};
	socklen_t n = sizeof(a);

	a.sin_family = AF_INET;
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	EXPECT_EQ(0, bind(fd, reinterpret_cast<sockaddr *>(&a), sizeof(a)));
	EXPECT_EQ(0, listen(fd, 8));
	EXPECT_EQ(0, getsockname(fd, reinterpret_cast<sockaddr *>(&a), &n));
	*addr = "127.0.0.1:" + std::to_string(ntohs(a.sin_port));
	return fd;
}

// A node's answer to one request.  With an empty status the node closes the
// connection after it has read the request.
struct Answer {
	std::string status;
	std::string body;
	std::string headers;
};

// A node that gives its answers in order and keeps the requests.
class Node
{
      public:
	explicit Node(std::vector<Answer> answers)
	    : fd_(listen_any(&addr)), answers_(std::move(answers)),
	      thread_([this] { serve(); })
	{
	}
	~Node()
	{
		shutdown(fd_, SHUT_RDWR);
		thread_.join();
		close(fd_);
	}

	std::string addr;
	std::vector<std::string> requests; // "METHOD path body"
	std::vector<std::string> headers;

      private:
	void serve()
	{
		for (const Answer &a : answers_) {
			int c = accept(fd_, nullptr, nullptr);

			if (c < 0)
				return;
			read_request(c);
			if (!a.status.empty())
				send_answer(c, a);
			close(c);
		}
	}

	void read_request(int c)
	{
		std::string in;
		char part[4096];
		size_t end, need = 0;

		while ((end = in.find("\r\n\r\n")) == std::string::npos ||
		       in.size() < need) {
			ssize_t n = read(c, part, sizeof(part));

			if (n <= 0)
				return;
			in.append(part, static_cast<size_t>(n));
			size_t at = in.find("Content-Length: ");
			if (at != std::string::npos &&
			    (end = in.find("\r\n\r\n")) != std::string::npos)
				need = end + 4 + std::stoul(in.substr(at + 16));
		}
		std::string line = in.substr(0, in.find(" HTTP/"));
		std::string body = in.substr(end + 4);

		requests.push_back(body.empty() ? line : line + " " + body);
		headers.push_back(in.substr(0, end));
	}

	static void send_answer(int c, const Answer &a)
	{
		std::string out =
		    "HTTP/1.1 " + a.status + " x\r\n" + a.headers +
		    "Connection: close\r\n" +
		    "Content-Length: " + std::to_string(a.body.size()) +
		    "\r\n\r\n" + a.body;

		EXPECT_EQ(static_cast<ssize_t>(out.size()),
		    write(c, out.data(), out.size()));
	}

	int fd_;
	std::vector<Answer> answers_;
	std::thread thread_;
};

std::string
unused_addr()
{
	std::string addr;

	close(listen_any(&addr));
	return addr;
}

struct Outcome {
	int status;
	std::string out; // stdout and stderr
};

Outcome
ctl(const std::string &nodes, const std::string &words)
{
	std::string cmd = OGL_BIN_DIR "/oriolectl ";
	std::string out;
	char part[4096];
	size_t n;

	unsetenv("OGL_NODE");
	setenv("OGL_KEY", "og_k1_secret", 1);
	if (!nodes.empty())
		cmd += "--node " + nodes + " ";
	cmd += words + " 2>&1";
	FILE *p = popen(cmd.c_str(), "r");
	while ((n = fread(part, 1, sizeof(part), p)) > 0)
		out.append(part, n);
	int rc = pclose(p);
	return {WIFEXITED(rc) ? WEXITSTATUS(rc) : -1, out};
}

using Lines = std::vector<std::string>;

} // namespace

TEST(Ctl, EditHasCurrentVersionAsBase)
{
	Node node(
	    {{"200", R"({"version":7})", ""}, {"200", R"({"version":9})", ""}});
	Outcome r = ctl(node.addr, "team add north share=2 limit_tasks=none");

	EXPECT_EQ("version 9\n", r.out);
	EXPECT_EQ(0, r.status);
	EXPECT_EQ(
	    (Lines{"GET /v1/settings?path=cell",
		"POST /v1/settings "
		R"({"base_version":7,"who":"","changes":[)"
		R"({"path":"teams/north","value":"{}"},)"
		R"({"path":"teams/north/share","value":"2"},)"
		R"({"path":"teams/north/limit_tasks","value":"\"none\""}]})"}),
	    node.requests);
	EXPECT_NE(std::string::npos,
	    node.headers[1].find("Authorization: Bearer og_k1_secret"));
}

// Another operator changed the path after the base version.  The command must
// end with status 1 and show the path, so that nobody believes that the change
// was made.
TEST(Ctl, ReportsRefusedEdit)
{
	Node node({{"409",
	    R"({"error":"conflict","verdict":"not_run","retry_after_ms":0,)"
	    R"("faults":[{"path":"teams/north/share",)"
	    R"("value":"changed at version 8","allowed":"later"}]})",
	    "Ogl-Verdict: not_run\r\n"}});
	Outcome r = ctl(node.addr, "settings set teams/north/share 3 --base 7");

	EXPECT_EQ(1, r.status);
	EXPECT_EQ("oriolectl: refused (409): conflict\n"
		  "oriolectl: verdict: not_run\n"
		  "path               value                 allowed\n"
		  "teams/north/share  changed at version 8  later\n",
	    r.out);
	ASSERT_EQ(1u, node.requests.size());
	EXPECT_NE(
	    std::string::npos, node.requests[0].find(R"({"base_version":7,)"));
}

TEST(Ctl, PrintsTreesAndListsAsTables)
{
	Node node({{"200",
		       R"({"version":3,"path":"teams","set":{"teams/a":{},)"
		       R"("teams/a/b":{},"teams/a/b/share":2,)"
		       R"("teams/a/limit_tasks":5},"resolved":{},"from":{}})",
		       ""},
	    {"200",
		R"({"version":3,"path":"teams/a","set":{"teams/a":{}},)"
		R"("resolved":{"share":1},"from":{"share":"default"}})",
		""},
	    {"200",
		R"([{"version":1,"at_ms":0,"who":"ann","path":"teams/ø",)"
		R"("from":null,"to":"a\u001bb"}])",
		""},
	    {"200", R"({"hosts":[{"name":"w1","leaving":false}]})", ""}});

	EXPECT_EQ("team  limit_tasks  share\n"
		  "a     5            -\n"
		  "a/b   -            2\n",
	    ctl(node.addr, "team list").out);
	EXPECT_EQ("version 3\n\nset here and below:\n"
		  "path     value\n"
		  "teams/a  {}\n\nin force here:\n"
		  "setting  value  from\n"
		  "share    1      default\n",
	    ctl(node.addr, "team show a").out);
	EXPECT_EQ("version  at_ms                 who  path     from  to\n"
		  "1        1970-01-01T00:00:00Z  ann  teams/ø  -     a b\n",
	    ctl(node.addr, "audit 1").out);
	EXPECT_EQ("hosts:\nname  leaving\nw1    false\n",
	    ctl(node.addr, "hosts").out);
	EXPECT_EQ("GET /v1/settings?path=teams/a", node.requests[1]);
	EXPECT_EQ("GET /v1/audit?from=1", node.requests[2]);
}

TEST(Ctl, PrintsNewKeyOnLineOfItsOwn)
{
	Node node(
	    {{"201", R"({"key":"og_k2_x","id":"k2"})", ""}, {"200", "", ""}});

	EXPECT_EQ("og_k2_x\nk2\n", ctl(node.addr, "key create north").out);
	EXPECT_EQ("withdrawn k2\n", ctl(node.addr, "key withdraw k2").out);
	EXPECT_EQ(
	    (Lines{R"(POST /v1/keys {"team":"north"})", "DELETE /v1/keys/k2"}),
	    node.requests);
}

TEST(Ctl, MakesFirstOperatorKeyWithoutNode)
{
	Outcome r = ctl("", "key hash");
	size_t nl = r.out.find('\n');
	char hex[65];

	EXPECT_EQ(0, r.status);
	ASSERT_NE(std::string::npos, nl);
	ASSERT_TRUE(ogl_key_hash({r.out.data(), nl}, hex));
	EXPECT_EQ(std::string(hex) + "\n", r.out.substr(nl + 1));
	EXPECT_NE(r.out, ctl("", "key hash").out);
}

// The first node can't be reached, the second is about to stop and answers that
// it did nothing.  The request must succeed at the third without an error.
TEST(Ctl, TriesNextNodeIfRequestHadNoEffect)
{
	Node stopping(
	    {{"503", R"({"error":"leaving"})", "Ogl-Verdict: not_run\r\n"}});
	Node node({{"201", R"({"key":"og_k2_x","id":"k2"})", ""}});
	Outcome r = ctl(unused_addr() + "," + stopping.addr + "," + node.addr,
	    "key create north");

	EXPECT_EQ("og_k2_x\nk2\n", r.out);
	EXPECT_EQ(0, r.status);
	EXPECT_EQ(stopping.requests, node.requests);
}

// A node crashes after it has read the request.  Repeating the request at the
// next node could create a second key that nobody knows of, so the user is told
// that it may have taken effect.
TEST(Ctl, DoesNotRepeatRequestAfterLostAnswer)
{
	Node crashing({{"", "", ""}});
	Node node({});
	Outcome r = ctl(crashing.addr + "," + node.addr, "key create north");

	EXPECT_EQ(3, r.status);
	EXPECT_NE(std::string::npos, r.out.find("it may have taken effect"));
	EXPECT_EQ(1u, crashing.requests.size());
}

// The same with a job.  Its submission has an id, so it can be repeated at the
// next node without starting a second job.
TEST(Ctl, RepeatsSubmissionWithSameId)
{
	Node crashing({{"", "", ""}});
	Node node({{"202", R"({"job":"j1","state":"queued"})", ""}});
	Outcome r = ctl(crashing.addr + "," + node.addr,
	    "job submit --kind gang --tasks 4 --cpu 500 --mem 64 --run-ms 9 "
	    "--restartable --payload 'a b'");

	EXPECT_EQ(0, r.status) << r.out;
	EXPECT_EQ("job    j1\nstate  queued\n", r.out);
	ASSERT_EQ(1u, node.requests.size());
	EXPECT_EQ(crashing.requests, node.requests);
	EXPECT_EQ(
	    0u, node.requests[0].find(
		    R"(POST /v1/jobs {"kind":"gang","tasks":4,"res":)"
		    R"({"cpu_milli":500,"mem_mb":64,"accel":0},"run_ms":9,)"
		    R"("payload":"a b","restartable":true,"request_id":")"))
	    << node.requests[0];
	EXPECT_NE(std::string::npos, node.headers[0].find("Idempotency-Key: "));
}

TEST(Ctl, WaitEndsWithJob)
{
	Node node({{"200", R"({"job":"j","state":"queued"})", ""},
	    {"200", R"({"job":"j","state":"broken"})", ""},
	    {"200", R"({"job":"j","state":"done"})", ""}});

	EXPECT_EQ(1, ctl(node.addr, "job wait j").status);
	EXPECT_EQ(0, ctl(node.addr, "--json job wait j").status);
	EXPECT_EQ(3u, node.requests.size());
}

TEST(Ctl, RequestHasKindAndId)
{
	Node node({{"200", "answer", "Ogl-Verdict: ran\r\n"}});
	Outcome r = ctl(
	    node.addr, "request --kind lookup --idempotent --id r1 'the body'");

	EXPECT_EQ("answer\n", r.out);
	EXPECT_EQ((Lines{"POST /v1/requests the body"}), node.requests);
	for (const char *want :
	    {"Ogl-Kind: lookup", "Ogl-Idempotent: 1", "Idempotency-Key: r1"})
		EXPECT_NE(std::string::npos, node.headers[0].find(want));
}

TEST(Ctl, RejectsWrongCommandLine)
{
	const char *bad[] = {"", "team", "team add", "team list x",
	    "team list --mem 5", "job submit --kind gang", "job show a b",
	    "settings set a ''", "audit x", "hosts --base x", "--colour",
	    "job submit --kind request --tasks 1 --cpu 1 --mem 1",
	    "team add x share"};

	for (const char *words : bad)
		EXPECT_EQ(2, ctl("127.0.0.1:1", words).status) << words;
	EXPECT_EQ(2, ctl("", "hosts").status);
	EXPECT_EQ(2, ctl("here", "hosts").status);
	EXPECT_EQ(0, ctl("", "--help").status);
	EXPECT_EQ("oriolectl " OGL_VERSION "\n", ctl("", "--version").out);
}
