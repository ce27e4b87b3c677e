/*
 * Scripted runs of a whole cell with expected answers: test/scripts/
 * cluster_*.txt.  A line is a command, or a query with its expected answer:
 * `query => answer`; `query within 30 => answer` repeats the query for up to
 * so many seconds.  A script begins with a comment on the failure and on what
 * users see of it.
 */

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "fake_cluster.h"

namespace
{

using words = std::vector<std::string>;

const char TEAM[] = "north";

class Script
{
      public:
	std::string failure;
	fake_disabled_guards guards_off = {};
	bool never_stale = false; /* old settings count as current */

	~Script()
	{
		fake_cluster_end(c);
	}

	bool run(const std::string &file)
	{
		std::ifstream in(file);
		std::string line;

		line_number = 0;
		while (failure.empty() && std::getline(in, line)) {
			line_number++;
			if (!line.empty() && line[0] != '#')
				run_line(line);
		}
		if (c == nullptr)
			failure = "an empty script";
		if (failure.empty())
			check_end();
		return failure.empty();
	}

	std::string history() const
	{
		char *t = fake_cluster_trace_tail(c, 200);
		std::string s = t;

		g_free(t);
		return s;
	}

      private:
	struct job {
		uint32_t call;
		uint32_t tasks;
	};

	fake_cluster *c = nullptr;
	fake_cluster_config cfg = {1, 3, 4, 3, 2, 3, {8000, 32768, 2}, nullptr};
	int line_number = 0;
	std::map<std::string, std::string> keys, key_ids;
	std::map<std::string, job> jobs;
	std::map<std::string, uint32_t> calls;
	std::map<std::string, uint32_t> nodes;
	std::string seen_version;

	static void tune(struct ogl_node_config *n)
	{
		n->snapshot_ms = 10000;
		n->snapshot_records = 200;
	}

	static void tune_never_stale(struct ogl_node_config *n)
	{
		tune(n);
		n->stale_ms = 600000;
	}

	void fail(const std::string &why)
	{
		if (failure.empty())
			failure =
			    "line " + std::to_string(line_number) + ": " + why;
	}

	static words split(const std::string &s)
	{
		std::istringstream in(s);
		words w;
		std::string word;

		while (in >> word)
			w.push_back(word);
		return w;
	}

	static std::string trim(const std::string &s)
	{
		size_t a = s.find_first_not_of(' ');
		size_t b = s.find_last_not_of(' ');

		return a == std::string::npos ? "" : s.substr(a, b - a + 1);
	}

	/* ---- names ---------------------------------------------------- */

	uint32_t node(const std::string &s)
	{
		if (nodes.count(s) != 0)
			return nodes[s];
		if (s.size() > 1 && s[0] == 'n')
			return (uint32_t)std::stoul(s.substr(1));
		fail("no such node: " + s);
		return 0;
	}

	uint32_t any_live_node()
	{
		for (uint32_t i = 0; i < cfg.nodes; i++) {
			if (fake_cluster_alive(c, i))
				return i;
		}
		return 0;
	}

	std::string job_id(const std::string &name)
	{
		const fake_call *k = fake_cluster_get_call(c, jobs[name].call);
		char *id =
		    k->done ? fake_cluster_field(k->answer, "job") : nullptr;
		std::string s = id != nullptr ? id : "";

		g_free(id);
		return s;
	}

	uint32_t owner(uint32_t shard)
	{
		int32_t o = fake_cluster_owner(c, shard);

		if (o < 0)
			fail("nobody owns shard " + std::to_string(shard));
		return o < 0 ? 0 : (uint32_t)o;
	}

	/* let A owner J | home ID | shard 0 | not A [B]: names a node */
	void let(const words &w)
	{
		uint32_t v = 0;

		if (w[2] == "owner") {
			v = owner((uint32_t)std::stoul(job_id(w[3]).substr(1)));
		} else if (w[2] == "home") {
			std::string key = std::string(TEAM) + "|" + w[3];

			v = owner((
			    uint32_t)(ogl_random_hash(key.c_str(), key.size()) %
				      cfg.shards));
		} else if (w[2] == "shard") {
			v = owner((uint32_t)std::stoul(w[3]));
		} else {
			while (v == node(w[3]) ||
			       (w.size() > 4 && v == node(w[4])))
				v++;
		}
		nodes[w[1]] = v;
	}

	/* ---- commands ------------------------------------------------- */

	static uint64_t option(
	    const words &w, const std::string &name, uint64_t none)
	{
		for (const std::string &s : w) {
			if (s.rfind(name + "=", 0) == 0)
				return std::stoull(s.substr(name.size() + 1));
		}
		return none;
	}

	static std::string text_option(const words &w, const std::string &name)
	{
		for (const std::string &s : w) {
			if (s.rfind(name + "=", 0) == 0)
				return s.substr(name.size() + 1);
		}
		return "";
	}

	static bool has(const words &w, const std::string &name)
	{
		return std::find(w.begin(), w.end(), name) != w.end();
	}

	static ogl_time seconds(const std::string &s)
	{
		return (ogl_time)(std::stod(s) * (double)OGL_SEC);
	}

	void new_key(const std::string &name)
	{
		char *id = nullptr;
		char *k =
		    fake_cluster_create_key(c, any_live_node(), TEAM, &id);

		if (k == nullptr)
			return fail("no key was made");
		keys[name] = k;
		key_ids[name] = id;
		g_free(k);
		g_free(id);
		fake_cluster_run(c, OGL_SEC);
	}

	void cell(const words &w)
	{
		cfg.nodes = (uint32_t)option(w, "nodes", 3);
		cfg.workers = (uint32_t)option(w, "workers", 4);
		cfg.execs = (uint32_t)option(w, "execs", 3);
		cfg.shards = (uint32_t)option(w, "shards", 2);
		cfg.seed = option(w, "seed", 1);
		cfg.tune = never_stale ? tune_never_stale : tune;
		c = fake_cluster_init(&cfg);
		*fake_cluster_disabled_guards(c) = guards_off;
		fake_cluster_run(c, 8 * OGL_SEC);
		if (!fake_cluster_edit_setting(c, 0, "teams/north", "{}"))
			fail("the team was not made");
		fake_cluster_run(c, OGL_SEC);
		new_key("key");
	}

	uint32_t send(uint32_t at, const char *method, const std::string &path,
	    const std::string &body, const std::string &id, bool idempotent,
	    const std::string &key)
	{
		fake_call_spec a = {method, path.c_str(), keys[key].c_str(),
		    TEAM, id.c_str(), body.c_str(), idempotent, 0};

		return fake_cluster_call(c, at, &a);
	}

	/* submit J n0 batch 4 run=2000 [once] [id=x] [cpu=1000] [wait] */
	void submit(const words &w)
	{
		std::ostringstream b;

		b << "{\"kind\":\"" << w[3] << "\",\"tasks\":" << w[4]
		  << ",\"res\":{\"cpu_milli\":" << option(w, "cpu", 1000)
		  << ",\"mem_mb\":1024},\"run_ms\":" << option(w, "run", 1000)
		  << ",\"restartable\":" << (has(w, "once") ? "false" : "true")
		  << "}";
		jobs[w[1]] = {send(node(w[2]), "POST", "/v1/jobs", b.str(),
				  text_option(w, "id"), false, "key"),
		    (uint32_t)std::stoul(w[4])};
		calls[w[1]] = jobs[w[1]].call;
		if (!has(w, "nowait"))
			wait_call(w[1], 20 * OGL_SEC);
	}

	/* request R n0 ID|- once|idem BODY... */
	void request(const words &w, const std::string &line)
	{
		size_t at = line.find(" " + w[4] + " ");
		std::string body = trim(line.substr(at + w[4].size() + 2));

		calls[w[1]] = send(node(w[2]), "POST", "/v1/requests", body,
		    w[3] == "-" ? "" : w[3], w[4] == "idem", "key");
	}

	/* again R2 n1 R: the same call at another node */
	void again(const words &w)
	{
		const fake_call *k = fake_cluster_get_call(c, calls[w[3]]);

		calls[w[1]] = send(node(w[2]), k->method, k->path, k->body,
		    k->id, k->idempotent, "key");
		if (jobs.count(w[3]) != 0)
			jobs[w[1]] = {calls[w[1]], jobs[w[3]].tasks};
	}

	std::string version(uint32_t at)
	{
		fake_call_spec see = {"GET", "/v1/settings",
		    fake_cluster_operator_key(c), nullptr, nullptr, nullptr,
		    false, 0};
		char *v = fake_cluster_field(
		    fake_cluster_call_wait(c, at, &see)->answer, "version");
		std::string s = v != nullptr ? v : "0";

		g_free(v);
		return s;
	}

	/* edit X n0 now|seen PATH VALUE, based on the current version or on
	 * the one that `see` read */
	void edit(const words &w)
	{
		static const char *const form =
		    "{\"base_version\":%s,\"who\":\"\",\"changes\":"
		    "[{\"path\":\"%s\",\"value\":\"%s\"}]}";
		std::string base =
		    w[3] == "now" ? version(node(w[2])) : seen_version;
		char *body;

		body = g_strdup_printf(
		    form, base.c_str(), w[4].c_str(), w[5].c_str());
		fake_call_spec a = {"POST", "/v1/settings",
		    fake_cluster_operator_key(c), nullptr, nullptr, body, false,
		    0};
		calls[w[1]] = fake_cluster_call(c, node(w[2]), &a);
		g_free(body);
	}

	void withdraw(const words &w)
	{
		std::string path = "/v1/keys/" + key_ids[w[1]];
		fake_call_spec a = {"DELETE", path.c_str(),
		    fake_cluster_operator_key(c), nullptr, nullptr, nullptr,
		    false, 0};

		calls["withdrawal"] = fake_cluster_call(c, node(w[2]), &a);
	}

	void cut(const words &w, bool on)
	{
		uint32_t n = node(w[1]);

		for (size_t i = 2; i < w.size(); i++) {
			uint32_t k = w[i].size() > 1
					 ? (uint32_t)std::atoi(w[i].c_str() + 1)
					 : 0;

			if (w[i] == "log")
				fake_cluster_cut(c, n, FAKE_LOG, 0, on);
			else if (w[i] == "hosts")
				fake_cluster_cut(c, n, FAKE_HOSTS, 0, on);
			else if (w[i] == "nodes")
				cut_nodes(n, on);
			else if (w[i][0] == 'w')
				fake_cluster_cut(c, n, FAKE_WORKER, k, on);
			else if (w[i][0] == 'e')
				fake_cluster_cut(c, n, FAKE_EXEC, k, on);
			else
				fake_cluster_cut(
				    c, n, FAKE_NODE, node(w[i]), on);
		}
	}

	void cut_nodes(uint32_t n, bool on)
	{
		for (uint32_t i = 0; i < cfg.nodes; i++) {
			if (i != n)
				fake_cluster_cut(c, n, FAKE_NODE, i, on);
		}
	}

	void log(const words &w)
	{
		struct fake_log_script *l =
		    fake_log_script(fake_cluster_log(c));

		if (w[1] == "down" || w[1] == "up")
			l->outage = w[1] == "down";
		else if (w[1] == "slow")
			l->answer_delay = seconds(w[2]);
		else if (w[1] == "lose")
			l->lose_answers = (uint32_t)std::stoul(w[2]);
		else if (w[1] == "keep")
			l->keep_count = std::stoul(w[2]);
		else
			l->keep_age = seconds(w[2]);
	}

	void worker(const words &w)
	{
		uint32_t n = (uint32_t)std::stoul(w[1].substr(1));
		fake_worker *f = fake_cluster_worker(c, n);

		if (w[2] == "down" || w[2] == "up")
			fake_worker_script(f)->unreachable = w[2] == "down";
		else if (w[2] == "restart")
			fake_cluster_restart_worker(c, n);
		else if (w[2] == "says-leaving")
			fake_worker_script(f)->leaving = true;
		else
			fake_cluster_set_leaving(
			    c, FAKE_WORKER, n, w[2] == "leaves");
	}

	void exec(const words &w)
	{
		uint32_t n = (uint32_t)std::stoul(w[1].substr(1));
		struct fake_exec_script *e =
		    fake_exec_script(fake_cluster_exec(c, n));

		if (w[2] == "late")
			e->answer_delay = seconds(w[3]);
		else if (w[2] == "lose")
			e->lose_answers = (uint32_t)std::stoul(w[3]);
		else if (w[2] == "leaves")
			fake_cluster_set_leaving(c, FAKE_EXEC, n, true);
		else
			e->leaving = true;
	}

	void pause_sending(const words &w)
	{
		static const std::map<std::string, ogl_action_type> types = {
		    {"start", OGL_ACT_WORKER}, {"append", OGL_ACT_LOG_APPEND},
		    {"request", OGL_ACT_EXEC}};

		fake_cluster_pause_at_action(
		    c, node(w[1]), types.at(w[2]), seconds(w[3]));
	}

	void command(const words &w, const std::string &line)
	{
		const std::string &v = w[0];

		if (v == "cell")
			cell(w);
		else if (v == "key")
			new_key(w[1]);
		else if (v == "withdraw")
			withdraw(w);
		else if (v == "let")
			let(w);
		else if (v == "submit")
			submit(w);
		else if (v == "request")
			request(w, line);
		else if (v == "again")
			again(w);
		else if (v == "cancel")
			calls[w[1]] = send(node(w[2]), "DELETE",
			    "/v1/jobs/" + job_id(w[3]), "", "", false, "key");
		else if (v == "try")
			calls[w[1]] = send(node(w[2]), "POST", "/v1/requests",
			    "try " + w[1], "", true, w[3]);
		else if (v == "see")
			seen_version = version(node(w[1]));
		else if (v == "edit")
			edit(w);
		else if (v == "pause")
			fake_cluster_pause(c, node(w[1]), seconds(w[2]));
		else if (v == "pause-before")
			pause_sending(w);
		else if (v == "cut" || v == "mend")
			cut(w, v == "cut");
		else if (v == "kill")
			fake_cluster_kill(c, node(w[1]));
		else if (v == "start")
			fake_cluster_start(c, node(w[1]),
			    w.size() > 2 ? w[2].c_str() : nullptr);
		else if (v == "stop")
			fake_cluster_stop(c, node(w[1]));
		else if (v == "log")
			log(w);
		else if (v == "worker")
			worker(w);
		else if (v == "exec")
			exec(w);
		else if (v == "heal")
			fake_cluster_heal(c);
		else if (v == "hold")
			fake_cluster_expect_limit(
			    c, TEAM, (uint32_t)std::stoul(w[1]));
		else if (v == "run")
			fake_cluster_run(c, seconds(w[1]));
		else
			fail("unknown command " + v);
	}

	/* ---- queries -------------------------------------------------- */

	bool wait_call(const std::string &name, ogl_time timeout)
	{
		ogl_time end = fake_cluster_now(c) + timeout;

		while (!fake_cluster_get_call(c, calls[name])->done &&
		       fake_cluster_now(c) < end)
			fake_cluster_run(c, 10 * OGL_MS);
		return fake_cluster_get_call(c, calls[name])->done;
	}

	std::string job_state(const std::string &name)
	{
		std::string path = "/v1/jobs/" + job_id(name);
		fake_call_spec a = {"GET", path.c_str(),
		    fake_cluster_operator_key(c), nullptr, nullptr, nullptr,
		    false, 0};
		char *st = fake_cluster_field(
		    fake_cluster_call_wait(c, any_live_node(), &a)->answer,
		    "state");
		std::string s = st != nullptr ? st : "unknown";

		g_free(st);
		return s;
	}

	std::string job_starts(const std::string &name)
	{
		uint32_t least = UINT32_MAX, most = 0;

		for (uint32_t i = 0; i < jobs[name].tasks; i++) {
			std::string t = job_id(name) + "." + std::to_string(i);
			uint32_t n = fake_cluster_start_count(c, t.c_str());

			least = std::min(least, n);
			most = std::max(most, n);
		}
		return least == most ? std::to_string(most)
				     : std::to_string(least) + " to " +
					   std::to_string(most);
	}

	std::string owned()
	{
		uint32_t n = 0;

		for (uint32_t s = 0; s < cfg.shards; s++)
			n += fake_cluster_owner(c, s) >= 0 ? 1 : 0;
		return std::to_string(n);
	}

	/* The statuses of several calls, in ascending order. */
	std::string statuses(const words &w)
	{
		std::vector<std::string> all;
		std::string line;

		for (size_t i = 1; i < w.size(); i++)
			all.push_back(answer({"status", w[i]}));
		std::sort(all.begin(), all.end());
		for (const std::string &s : all)
			line += (line.empty() ? "" : " ") + s;
		return line;
	}

	std::string claims()
	{
		const char *p = fake_cluster_trace(c);
		uint32_t n = 0;

		while ((p = strstr(p, "owned from epoch")) != nullptr) {
			n++;
			p++;
		}
		return std::to_string(n);
	}

	std::string answer(const words &w)
	{
		const fake_call *k = fake_cluster_get_call(c, calls[w[1]]);

		if (!wait_call(w[1], 60 * OGL_SEC))
			return "none";
		if (w[0] == "verdict")
			return k->disconnected ? "cut"
					       : ogl_verdict_name(k->verdict);
		if (w[0] == "status")
			return std::to_string(k->status);
		if (w[0] == "retry")
			return k->retry_after_ms > 0 ? "named" : "none";
		if (w[0] == "took")
			return k->answered_at - k->asked_at <= seconds(w[2])
				   ? "less"
				   : "more";
		return k->answer;
	}

	std::string query(const words &w)
	{
		const std::string &v = w[0];

		if (v == "job")
			return job_state(w[1]);
		if (v == "starts")
			return job_starts(w[1]);
		if (v == "same")
			return job_id(w[1]) == job_id(w[2]) ? "yes" : "no";
		if (v == "owned")
			return owned();
		if (v == "owner")
			return owner((uint32_t)std::stoul(
				   job_id(w[1]).substr(1))) == node(w[2])
				   ? "yes"
				   : "no";
		if (v == "alive")
			return fake_cluster_alive(c, node(w[1])) ? "yes" : "no";
		if (v == "running")
			return std::to_string(
			    fake_cluster_team_running(c, TEAM));
		if (v == "statuses")
			return statuses(w);
		if (v == "agree")
			return value(node(w[1]), w[3]) ==
				       value(node(w[2]), w[3])
				   ? "yes"
				   : "no";
		if (v == "claims")
			return claims();
		if (v == "on")
			return std::to_string(
			    fake_worker_running(fake_cluster_worker(
				c, (uint32_t)std::stoul(w[1].substr(1)))));
		if (v == "most")
			return std::to_string(fake_cluster_team_peak(c, TEAM));
		if (v == "ran")
			return std::to_string(fake_cluster_run_count(
			    c, fake_cluster_get_call(c, calls[w[1]])->body));
		if (v == "value")
			return value(node(w[1]), w[2]);
		return answer(w);
	}

	std::string value(uint32_t at, const std::string &path)
	{
		std::string p = "/v1/settings?path=" + path;
		fake_call_spec a = {"GET", p.c_str(),
		    fake_cluster_operator_key(c), nullptr, nullptr, nullptr,
		    false, 0};
		const fake_call *k = fake_cluster_call_wait(c, at, &a);
		char *r = fake_cluster_field(k->answer, "set");
		std::string s = r != nullptr ? r : "none";

		g_free(r);
		return s;
	}

	void check_query(words w, const std::string &want)
	{
		ogl_time timeout = 0;
		ogl_time end;
		std::string got;

		if (w.size() > 2 && w[w.size() - 2] == "within") {
			timeout = seconds(w.back());
			w.resize(w.size() - 2);
		}
		end = fake_cluster_now(c) + timeout;
		while ((got = query(w)) != want && fake_cluster_now(c) < end)
			fake_cluster_run(c, 100 * OGL_MS);
		if (got != want)
			fail("expected \"" + want + "\", got \"" + got + "\"");
	}

	void run_line(const std::string &line)
	{
		size_t arrow = line.find(" => ");

		if (arrow == std::string::npos)
			command(split(line), line);
		else
			check_query(split(line.substr(0, arrow)),
			    trim(line.substr(arrow + 4)));
	}

	void check_end()
	{
		fake_cluster_heal(c);
		fake_cluster_run(c, 15 * OGL_SEC);
		fake_cluster_check_answers(c);
		if (fake_cluster_violations(c)[0] != '\0')
			failure = fake_cluster_violations(c);
	}
};

std::vector<std::string>
scripts()
{
	std::vector<std::string> all;

	for (const auto &e :
	    std::filesystem::directory_iterator(OGL_TEST_DIR "/scripts")) {
		std::string f = e.path().filename();

		if (f.rfind("cluster_", 0) == 0)
			all.push_back(e.path().stem());
	}
	std::sort(all.begin(), all.end());
	return all;
}

class ClusterScript : public ::testing::TestWithParam<std::string>
{
};

TEST_P(ClusterScript, GivesExpectedAnswers)
{
	Script s;
	bool ok = s.run(OGL_TEST_DIR "/scripts/" + GetParam() + ".txt");

	EXPECT_TRUE(ok) << s.failure << "\n" << s.history();
}

INSTANTIATE_TEST_SUITE_P(All, ClusterScript, ::testing::ValuesIn(scripts()),
    [](const auto &info) { return info.param; });

/* Scripts run with the guard disabled that they depend on: they must fail,
 * and by the fault that the guard prevents. */

const char *const DIR = OGL_TEST_DIR "/scripts/";

TEST(ClusterUnguarded, StartsOfSupersededOwnerRunTwice)
{
	Script s;

	s.guards_off.epoch_check = true;
	s.guards_off.start_expiry = true;
	EXPECT_FALSE(s.run(std::string(DIR) + "cluster_paused_owner.txt"));
	EXPECT_NE(s.failure.find("got \"2\""), std::string::npos) << s.failure;
}

TEST(ClusterUnguarded, TaskRunsOnTwoWorkers)
{
	Script s;

	s.guards_off.lease_expiry = true;
	EXPECT_FALSE(s.run(
	    std::string(DIR) + "cluster_takeover_worker_unreachable.txt"));
	EXPECT_NE(s.failure.find("runs on w"), std::string::npos) << s.failure;
}

TEST(ClusterUnguarded, WithdrawnKeyIsServed)
{
	Script s;

	s.never_stale = true;
	EXPECT_FALSE(s.run(std::string(DIR) + "cluster_key_cut_off.txt"));
	EXPECT_NE(
	    s.failure.find("expected \"503\", got \"200\""), std::string::npos)
	    << s.failure;
}

} // namespace
