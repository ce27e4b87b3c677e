/* A whole simulated cell: shard ownership, jobs and requests, with loss, stop
 * and replacement of nodes. */

#include <gtest/gtest.h>

#include <string>

#include "fake_cluster.h"

namespace
{

const fake_cluster_config three = {1, 3, 4, 3, 4, 3, {8000, 32768, 2}, nullptr};

class Cluster : public ::testing::Test
{
      protected:
	fake_cluster *c = nullptr;
	std::string key;

	void start(const fake_cluster_config &cfg = three)
	{
		c = fake_cluster_init(&cfg);
		fake_cluster_run(c, 8 * OGL_SEC);
		ASSERT_TRUE(
		    fake_cluster_edit_setting(c, 0, "teams/north", "{}"));
		fake_cluster_run(c, OGL_SEC);
		char *k = fake_cluster_create_key(c, 1, "north", nullptr);
		ASSERT_NE(k, nullptr);
		key = k;
		g_free(k);
		fake_cluster_run(c, OGL_SEC);
	}

	const fake_call *ask(uint32_t node, const char *method,
	    const std::string &path, const std::string &body = "",
	    const std::string &id = "", bool idempotent = false)
	{
		fake_call_spec a = {method, path.c_str(), key.c_str(), "north",
		    id.c_str(), body.c_str(), idempotent, 0};

		return fake_cluster_call_wait(c, node, &a);
	}

	std::string submit(uint32_t node, const char *kind, int tasks,
	    int run_ms, const std::string &id = "")
	{
		std::string body =
		    std::string("{\"kind\":\"") + kind +
		    "\",\"tasks\":" + std::to_string(tasks) +
		    ",\"res\":{\"cpu_milli\":1000,\"mem_mb\":1024}," +
		    "\"restartable\":true,\"run_ms\":" +
		    std::to_string(run_ms) + "}";
		const fake_call *k = ask(node, "POST", "/v1/jobs", body, id);
		char *job = fake_cluster_field(k->answer, "job");
		std::string s = job != nullptr ? job : "";

		EXPECT_EQ(k->status, 202u) << k->answer;
		g_free(job);
		return s;
	}

	std::string state(uint32_t node, const std::string &job)
	{
		const fake_call *k = ask(node, "GET", "/v1/jobs/" + job);
		char *st = fake_cluster_field(k->answer, "state");
		std::string s = st != nullptr ? st : "";

		g_free(st);
		return s;
	}

	bool reaches_state(uint32_t node, const std::string &job,
	    const std::string &want, int seconds)
	{
		for (int i = 0; i < seconds * 2; i++) {
			if (state(node, job) == want)
				return true;
			fake_cluster_run(c, 500 * OGL_MS);
		}
		return false;
	}

	void expect_owned()
	{
		for (uint32_t s = 0; s < three.shards; s++)
			EXPECT_GE(fake_cluster_owner(c, s), 0) << "shard " << s;
	}

	void TearDown() override
	{
		if (c == nullptr)
			return;
		fake_cluster_check_answers(c);
		EXPECT_STREQ(fake_cluster_violations(c), "");
		if (HasFailure()) {
			char *tail = fake_cluster_trace_tail(c, 150);
			fprintf(stderr, "%s", tail);
			g_free(tail);
		}
		fake_cluster_end(c);
	}
};

TEST_F(Cluster, EachShardHasAnOwnerAfterStart)
{
	ASSERT_NO_FATAL_FAILURE(start());
	expect_owned();
}

TEST_F(Cluster, AnswersAShortRequest)
{
	ASSERT_NO_FATAL_FAILURE(start());
	const fake_call *k = ask(2, "POST", "/v1/requests", "hello", "", true);

	EXPECT_EQ(k->status, 200u);
	EXPECT_EQ(k->verdict, OGL_RAN);
	EXPECT_STREQ(k->answer, "north|check|hello");
}

TEST_F(Cluster, RunsARequestIdOnce)
{
	ASSERT_NO_FATAL_FAILURE(start());
	const fake_call *a = ask(0, "POST", "/v1/requests", "book", "id1");
	const fake_call *b = ask(2, "POST", "/v1/requests", "book", "id1");

	EXPECT_EQ(a->verdict, OGL_RAN);
	EXPECT_EQ(b->verdict, OGL_RAN);
	EXPECT_STREQ(b->answer, a->answer);
	EXPECT_EQ(fake_cluster_run_count(c, "book"), 1u);
}

TEST_F(Cluster, RunsJobsOfEveryKind)
{
	ASSERT_NO_FATAL_FAILURE(start());
	std::string batch = submit(0, "batch", 6, 2000);
	std::string gang = submit(1, "gang", 4, 2000);
	std::string service = submit(2, "service", 2, 3000);

	EXPECT_TRUE(reaches_state(1, batch, "done", 20));
	EXPECT_TRUE(reaches_state(2, gang, "done", 20));
	EXPECT_TRUE(reaches_state(0, service, "done", 20));
}

TEST_F(Cluster, CancelsARunningJob)
{
	ASSERT_NO_FATAL_FAILURE(start());
	std::string job = submit(0, "batch", 3, 600000);

	EXPECT_TRUE(reaches_state(0, job, "active", 10));
	fake_cluster_run(c, 2 * OGL_SEC);
	EXPECT_EQ(ask(1, "DELETE", "/v1/jobs/" + job)->status, 200u);
	fake_cluster_run(c, 3 * OGL_SEC);
	EXPECT_EQ(state(2, job), "cancelled");
	EXPECT_EQ(fake_cluster_team_running(c, "north"), 0u);
}

TEST_F(Cluster, RunsEachTaskOnceAfterOwnerLoss)
{
	/* The owner of the job's shard fails while the tasks run.  The new
	 * owner must find the tasks on their workers and let them end, not
	 * start them again. */
	ASSERT_NO_FATAL_FAILURE(start());
	std::string job = submit(0, "batch", 4, 15000);
	uint32_t owner =
	    (uint32_t)fake_cluster_owner(c, (uint32_t)(job[1] - '0'));

	fake_cluster_run(c, 3 * OGL_SEC);
	EXPECT_EQ(fake_cluster_team_running(c, "north"), 4u);
	fake_cluster_kill(c, owner);
	EXPECT_TRUE(reaches_state((owner + 1) % 3, job, "done", 40));
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(fake_cluster_start_count(
			      c, (job + "." + std::to_string(i)).c_str()),
		    1u);
}

TEST_F(Cluster, CompletesAJobAfterAllNodesAreReplaced)
{
	/* All nodes are lost at once and replaced by nodes with other names.
	 * An accepted job is on the platform's log, so it must still end. */
	ASSERT_NO_FATAL_FAILURE(start());
	std::string job = submit(0, "batch", 4, 20000);

	fake_cluster_run(c, 3 * OGL_SEC);
	for (uint32_t i = 0; i < 3; i++)
		fake_cluster_kill(c, i);
	fake_cluster_run(c, OGL_SEC);
	for (uint32_t i = 0; i < 3; i++)
		fake_cluster_start(c, i, ("m" + std::to_string(i)).c_str());
	fake_cluster_run(c, 10 * OGL_SEC);
	expect_owned();
	EXPECT_TRUE(reaches_state(0, job, "done", 60));
}

TEST_F(Cluster, GracefulStopHandsShardsOver)
{
	/* A node is stopped gracefully.  The other nodes must own its shards
	 * within 5 seconds, no call may be cut, and the job must still end. */
	ASSERT_NO_FATAL_FAILURE(start());
	std::string job = submit(0, "batch", 4, 10000);
	uint32_t owner =
	    (uint32_t)fake_cluster_owner(c, (uint32_t)(job[1] - '0'));

	fake_cluster_stop(c, owner);
	fake_cluster_run(c, 5 * OGL_SEC);
	EXPECT_FALSE(fake_cluster_alive(c, owner));
	expect_owned();
	EXPECT_TRUE(reaches_state((owner + 1) % 3, job, "done", 30));
}

TEST_F(Cluster, SameSeedGivesTheSameTrace)
{
	ASSERT_NO_FATAL_FAILURE(start());
	submit(0, "batch", 6, 2000);
	fake_cluster_kill(c, 1);
	fake_cluster_run(c, 10 * OGL_SEC);
	std::string first = fake_cluster_trace(c);
	fake_cluster_end(c);
	ASSERT_NO_FATAL_FAILURE(start());
	submit(0, "batch", 6, 2000);
	fake_cluster_kill(c, 1);
	fake_cluster_run(c, 10 * OGL_SEC);
	EXPECT_EQ(first, fake_cluster_trace(c));
}

} // namespace
