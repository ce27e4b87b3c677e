/* Preemption of tasks on lent room: which tasks, how many, and when none. */

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "fake_cluster.h"

extern "C" {
#include "lend.h"
}

namespace
{

const ogl_time START = 1000000 * OGL_SEC;

/* A small cell, stepped second by second.  Waiting tasks start in the order of
 * the queue: first those of the team that holds least by its weight. */
class Lend : public ::testing::Test
{
      protected:
	struct task {
		uint64_t id, job;
		std::string team;
		Ogl__Kind kind = OGL__KIND__batch;
		uint32_t cpus = 1, tasks = 1;
		bool restartable = true;
		int worker = -1; /* -1 while it waits */
		ogl_time since = START;
		bool stopping = false;
		bool acts_on_checkpoint = true;
	};

	ogl_lend *lend = ogl_lend_init();
	ogl_time now = START;
	std::vector<uint32_t> free_cpus{4, 4, 4, 4};
	std::vector<task> tasks;
	std::map<std::string, double> share;
	std::vector<Ogl__StopMode> modes;
	std::vector<uint64_t> preempted;
	uint64_t ids = 0;

	void TearDown() override
	{
		ogl_lend_end(lend);
	}

	task &add(const std::string &team, int n = 1, int worker = -1)
	{
		for (int i = 0; i < n; i++) {
			task t;

			t.id = t.job = ++ids;
			t.team = team;
			t.since = now;
			tasks.push_back(t);
			if (worker >= 0)
				place(tasks.back(), worker);
		}
		return tasks.back();
	}

	void place(task &t, int worker)
	{
		t.worker = worker;
		t.since = now;
		free_cpus[(size_t)worker] -= t.cpus;
	}

	void fill_with(const std::string &team)
	{
		for (int w = 0; w < 4; w++)
			while (free_cpus[(size_t)w] > 0)
				add(team, 1, w);
	}

	static ogl_res res(uint32_t cpus)
	{
		return {cpus * 1000, cpus * 1024, 0};
	}

	void add_state()
	{
		ogl_lend_begin(lend, now);
		for (uint32_t f : free_cpus) {
			ogl_res all = res(4), room = res(f);

			ogl_lend_add_worker(lend, &all, &room);
		}
		for (const task &t : tasks) {
			ogl_lend_task k = {t.id, t.job, t.team.c_str(), t.kind,
			    res(t.cpus), (uint32_t)t.worker, t.since,
			    t.restartable, t.stopping};

			if (t.worker >= 0)
				ogl_lend_add_task(lend, &k);
		}
		uint32_t turn = 0;
		std::vector<const task *> queued;
		for (const task &t : tasks)
			if (t.worker < 0)
				queued.push_back(&t);
		std::stable_sort(queued.begin(), queued.end(),
		    [this](const task *x, const task *y) {
			    return held(x->team) / weight(x->team) <
				   held(y->team) / weight(y->team);
		    });
		for (const task *t : queued) {
			ogl_lend_pending w = {t->team.c_str(), res(t->cpus),
			    t->tasks, ++turn, t->since};

			ogl_lend_add_pending(lend, &w);
		}
	}

	/* Runs up to n rounds until a task is preempted; no task starts. */
	size_t decide_for(int n)
	{
		size_t preempted_now = 0;

		for (; preempted_now == 0 && n > 0; n--) {
			now += OGL_SEC;
			preempted_now = decide();
		}
		return preempted_now;
	}

	size_t decide()
	{
		const ogl_lend_preemption *takes;
		std::vector<size_t> placed;

		add_state();
		for (size_t i = 0; i < tasks.size(); i++)
			if (tasks[i].worker >= 0)
				placed.push_back(i);
		size_t n = ogl_lend_decide(lend, now, &takes);
		for (size_t i = 0; i < n; i++) {
			task &t = tasks[placed[takes[i].task]];

			EXPECT_TRUE(t.restartable);
			t.stopping = true;
			preempted.push_back(t.id);
			modes.push_back(takes[i].mode);
			if (takes[i].mode == OGL__STOP_MODE__stop)
				t.acts_on_checkpoint = true;
		}
		return n;
	}

	double held(const std::string &team) const
	{
		double n = 0;

		for (const task &t : tasks)
			if (t.worker >= 0 && t.team == team)
				n += t.cpus;
		return n;
	}

	double weight(const std::string &team) const
	{
		return share.count(team) != 0 ? share.at(team) : 1;
	}

	void start_waiting()
	{
		for (;;) {
			task *best = nullptr;
			int at = -1;

			for (task &t : tasks) {
				int w = 0;

				if (t.worker >= 0)
					continue;
				while (w < 4 && free_cpus[(size_t)w] < t.cpus)
					w++;
				if (w == 4)
					continue;
				if (best == nullptr ||
				    held(t.team) / weight(t.team) <
					held(best->team) / weight(best->team)) {
					best = &t;
					at = w;
				}
			}
			if (best == nullptr)
				return;
			place(*best, at);
		}
	}

	void step_second()
	{
		now += OGL_SEC;
		for (task &t : tasks) {
			if (!t.stopping || !t.acts_on_checkpoint)
				continue;
			free_cpus[(size_t)t.worker] += t.cpus;
			t.worker = -1;
			t.stopping = false;
		}
		start_waiting();
		decide();
	}

	void step_seconds(int n)
	{
		while (n-- > 0)
			step_second();
	}

	void set_weight(const std::string &team, double w)
	{
		share[team] = w;
		ogl_lend_set_weight(lend, team.c_str(), w);
	}
};

TEST_F(Lend, PreemptsUntilATeamHasItsShare)
{
	fill_with("a");
	now += 100 * OGL_SEC;
	add("b", 20);
	step_seconds(5);
	EXPECT_EQ(preempted.size(), 0u) << "b has not waited long enough";
	step_seconds(20);
	EXPECT_EQ(held("b"), 8);
	EXPECT_EQ(held("a"), 8);
	EXPECT_EQ(preempted.size(), 8u);
	for (Ogl__StopMode m : modes)
		EXPECT_EQ(m, OGL__STOP_MODE__checkpoint);
}

TEST_F(Lend, WeightsApplyOnEachLevelOfTheTree)
{
	set_weight("north", 3);
	set_weight("south", 1);
	set_weight("south/x", 3);
	set_weight("south/y", 1);
	share = {{"north", 12}, {"south/x", 3}, {"south/y", 1}};
	fill_with("south/x");
	now += 100 * OGL_SEC;
	add("north", 20);
	add("south/y", 20);
	step_seconds(30);
	EXPECT_EQ(held("north"), 12);
	EXPECT_EQ(held("south/x"), 3);
	EXPECT_EQ(held("south/y"), 1);
}

TEST_F(Lend, PreemptsNothingWhileThereIsRoom)
{
	add("a", 4, 0);
	add("a", 4, 1);
	add("a", 4, 2);
	add("a", 3, 3);
	add("b").since = now - 100 * OGL_SEC;
	EXPECT_EQ(decide_for(20), 0u);
}

TEST_F(Lend, PreemptsNothingFromATeamWithinItsShare)
{
	add("a", 4, 0);
	add("a", 4, 1);
	add("b", 4, 2);
	add("b", 4, 3);
	add("a", 9).since = now - 100 * OGL_SEC;
	add("b", 9);
	now += 100 * OGL_SEC;
	EXPECT_EQ(decide_for(20), 0u);
	add("c");
	now += 100 * OGL_SEC;
	EXPECT_EQ(decide_for(20), 1u);
}

TEST_F(Lend, DoesNotPreemptTasksThatMayNotRestart)
{
	fill_with("a");
	for (task &t : tasks)
		t.restartable = t.worker == 3;
	add("b", 20);
	step_seconds(60);
	EXPECT_EQ(held("b"), 4);
	for (const task &t : tasks) {
		if (!t.restartable) {
			EXPECT_GE(t.worker, 0);
		}
	}
}

TEST_F(Lend, PreemptsTheNewestTaskFirst)
{
	fill_with("a");
	for (task &t : tasks)
		t.since = now + (ogl_time)t.id * OGL_SEC;
	std::swap(tasks[3].since, tasks[15].since);
	now += 100 * OGL_SEC;
	add("b").since = START;
	ASSERT_EQ(decide_for(20), 1u);
	EXPECT_EQ(preempted[0], tasks[3].id);
}

TEST_F(Lend, PreemptsServicesLastAndOneTaskAtATime)
{
	fill_with("a");
	for (task &t : tasks) {
		if (t.worker == 0)
			continue;
		t.kind = OGL__KIND__service;
		t.job = 99;
	}
	now += 100 * OGL_SEC;
	add("b", 20);
	size_t most = 0;
	for (int i = 0; i < 40; i++) {
		size_t before = preempted.size();

		step_second();
		most = std::max(most, preempted.size() - before);
	}
	EXPECT_EQ(held("b"), 8);
	EXPECT_EQ(most, 1u);
	for (size_t i = 0; i < 4; i++)
		EXPECT_LE(preempted[i], 4u) << "batch first";
}

TEST_F(Lend, PreemptsAGangAsAWhole)
{
	for (int w = 0; w < 4; w++) {
		task &t = add("a", 1, w);

		t.kind = OGL__KIND__gang;
		t.job = 77;
	}
	fill_with("a");
	for (task &t : tasks)
		t.restartable = t.kind == OGL__KIND__gang;
	now += 100 * OGL_SEC;
	add("b");
	now += 100 * OGL_SEC;
	EXPECT_EQ(decide_for(20), 4u);
}

TEST_F(Lend, CountsAWaitingGangAsAWhole)
{
	fill_with("a");
	now += 100 * OGL_SEC;
	task &big = add("b");
	big.tasks = 9; /* above b's share of 8 */
	big.kind = OGL__KIND__gang;
	now += 100 * OGL_SEC;
	EXPECT_EQ(decide_for(20), 0u);
	tasks.back().tasks = 8;
	EXPECT_EQ(decide_for(20), 8u);
}

TEST_F(Lend, TeamsDoNotPreemptEachOtherInTurn)
{
	/* Two teams always want more than there is, and a third one's work
	 * comes and goes every twenty seconds.  If every change caused a
	 * preemption, tasks would be stopped all the time and none would ever
	 * end. */
	fill_with("a");
	add("a", 20);
	add("b", 20);
	step_seconds(60);
	size_t settled = preempted.size();
	EXPECT_EQ(settled, 8u);
	step_seconds(600);
	EXPECT_EQ(preempted.size(), settled);
	for (int i = 0; i < 15; i++) {
		add("c", 4);
		step_seconds(20);
		for (task &t : tasks) {
			if (t.team != "c")
				continue;
			if (t.worker >= 0)
				free_cpus[(size_t)t.worker] += t.cpus;
			t.worker = -1;
		}
		tasks.erase(std::remove_if(tasks.begin(), tasks.end(),
				[](const task &t) { return t.team == "c"; }),
		    tasks.end());
		step_seconds(20);
	}
	std::map<uint64_t, int> times;
	for (size_t i = settled; i < preempted.size(); i++)
		times[preempted[i]]++;
	for (const auto &t : times)
		EXPECT_LE(t.second, 3) << "task " << t.first;
	EXPECT_LE(preempted.size(), settled + 15 * 5);
}

TEST_F(Lend, StopsATaskWhoseCheckpointTimesOut)
{
	/* A worker hangs while it saves a task's state.  Without a stop the
	 * room would never be freed and the other team would keep waiting. */
	fill_with("a");
	for (task &t : tasks)
		t.acts_on_checkpoint = false;
	now += 100 * OGL_SEC;
	add("b", 1);
	step_seconds(15);
	ASSERT_EQ(modes.size(), 1u);
	EXPECT_EQ(modes[0], OGL__STOP_MODE__checkpoint);
	step_seconds(25);
	EXPECT_EQ(held("b"), 1);
	EXPECT_EQ(modes.size(), 2u);
	EXPECT_EQ(modes.back(), OGL__STOP_MODE__stop);
}

/* ---- in a whole cell -------------------------------------------------- */

class LendCell : public ::testing::Test
{
      protected:
	fake_cluster *c = nullptr;
	std::map<std::string, std::string> keys;

	void start_cell()
	{
		static const fake_cluster_config cfg = {
		    5, 3, 4, 1, 1, 3, {4000, 16384, 0}, nullptr};

		c = fake_cluster_init(&cfg);
		fake_cluster_run(c, 8 * OGL_SEC);
		for (const char *team : {"a", "b"}) {
			std::string path = std::string("teams/") + team;
			char *k;

			ASSERT_TRUE(fake_cluster_edit_setting(
			    c, 0, path.c_str(), "{}"));
			fake_cluster_run(c, OGL_SEC);
			k = fake_cluster_create_key(c, 1, team, nullptr);
			ASSERT_NE(k, nullptr);
			keys[team] = k;
			g_free(k);
		}
		fake_cluster_run(c, 2 * OGL_SEC);
	}

	void submit(const std::string &team, int tasks, bool restartable)
	{
		std::string body =
		    "{\"kind\":\"batch\",\"tasks\":" + std::to_string(tasks) +
		    ",\"res\":{\"cpu_milli\":1000,\"mem_mb\":1024}," +
		    "\"restartable\":" + (restartable ? "true" : "false") +
		    ",\"run_ms\":900000}";
		fake_call_spec a = {"POST", "/v1/jobs", keys[team].c_str(),
		    team.c_str(), "", body.c_str(), false, 0};

		EXPECT_EQ(fake_cluster_call_wait(c, 0, &a)->status, 202u);
	}

	std::string metric(const char *name)
	{
		int32_t owner = fake_cluster_owner(c, 0);
		char *m = fake_cluster_metric(c, (uint32_t)owner, name);
		std::string s = m != nullptr ? m : "";

		g_free(m);
		return s;
	}

	void TearDown() override
	{
		if (c == nullptr)
			return;
		EXPECT_STREQ(fake_cluster_violations(c), "");
		fake_cluster_end(c);
	}
};

TEST_F(LendCell, PreemptsLongTasksForATeamBelowItsShare)
{
	/* One team fills an idle cell with tasks of 15 minutes.  Another that
	 * is entitled to half of the cell submits work.  Without preemption it
	 * would have to wait until the first of these tasks end. */
	ASSERT_NO_FATAL_FAILURE(start_cell());
	submit("a", 40, true);
	fake_cluster_run(c, 30 * OGL_SEC);
	EXPECT_EQ(fake_cluster_team_running(c, "a"), 16u);
	submit("b", 40, true);
	fake_cluster_run(c, 30 * OGL_SEC);
	EXPECT_EQ(fake_cluster_team_running(c, "a"), 8u);
	EXPECT_EQ(fake_cluster_team_running(c, "b"), 8u);
	EXPECT_EQ(metric("lent_taken_total"), "8");
	fake_cluster_run(c, 120 * OGL_SEC);
	EXPECT_EQ(metric("lent_taken_total"), "8");
}

TEST_F(LendCell, DoesNotPreemptTasksThatMayNotRunTwice)
{
	ASSERT_NO_FATAL_FAILURE(start_cell());
	submit("a", 40, false);
	fake_cluster_run(c, 30 * OGL_SEC);
	submit("b", 40, true);
	fake_cluster_run(c, 60 * OGL_SEC);
	EXPECT_EQ(fake_cluster_team_running(c, "a"), 16u);
	EXPECT_EQ(metric("lent_taken_total"), "0");
}

TEST_F(LendCell, PreemptsNothingForWorkOverItsTeamsLimit)
{
	ASSERT_NO_FATAL_FAILURE(start_cell());
	ASSERT_TRUE(
	    fake_cluster_edit_setting(c, 0, "teams/b/limit_tasks", "3"));
	submit("a", 40, true);
	fake_cluster_run(c, 30 * OGL_SEC);
	submit("b", 40, true);
	fake_cluster_run(c, 60 * OGL_SEC);
	EXPECT_EQ(fake_cluster_team_running(c, "a"), 13u);
	EXPECT_EQ(fake_cluster_team_running(c, "b"), 3u);
	EXPECT_EQ(metric("lent_taken_total"), "3");
}

} // namespace
