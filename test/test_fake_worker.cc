// Tests of the fake worker: fencing, leases, capacity, idempotent starts and
// incremental reports.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "fake_worker.h"

namespace
{

const ogl_time T0 = 1000000 * OGL_SEC;

struct Start {
	std::string task;
	uint32_t attempt;
	uint32_t cpu;
	std::string payload;
};

// Sends syncs as an owner does and keeps the contents of the last report.
class FakeWorker : public ::testing::Test
{
      protected:
	FakeWorker()
	{
		struct fake_worker_config c = {
		    "w1", "z1", "r1", {4000, 8192, 1}, 7, 500};

		w = fake_worker_init(&c);
	}
	~FakeWorker() override
	{
		fake_worker_end(w);
	}

	bool Sync(ogl_time now, std::vector<Start> starts = {},
	    bool full = false, std::vector<std::string> acks = {},
	    std::map<std::string, Ogl__StopMode> stops = {})
	{
		Ogl__WorkerSync s = OGL__WORKER_SYNC__INIT;
		std::vector<Ogl__TaskStart> st(starts.size());
		std::vector<Ogl__TaskStart *> sp;
		std::vector<Ogl__Res> res(starts.size());
		std::vector<Ogl__TaskAck> ac(acks.size());
		std::vector<Ogl__TaskAck *> ap;
		std::vector<Ogl__TaskStop> so(stops.size());
		std::vector<Ogl__TaskStop *> op;
		Ogl__WorkerReport *r;
		size_t k = 0;

		for (size_t i = 0; i < starts.size(); i++) {
			ogl__task_start__init(&st[i]);
			ogl__res__init(&res[i]);
			res[i].cpu_milli = starts[i].cpu;
			st[i].task = const_cast<char *>(starts[i].task.c_str());
			st[i].payload =
			    const_cast<char *>(starts[i].payload.c_str());
			st[i].attempt = starts[i].attempt;
			st[i].latest_start_ms = latest_start_ms;
			st[i].res = &res[i];
			sp.push_back(&st[i]);
		}
		for (size_t i = 0; i < acks.size(); i++) {
			ogl__task_ack__init(&ac[i]);
			ac[i].task = const_cast<char *>(acks[i].c_str());
			ac[i].attempt = 1;
			ap.push_back(&ac[i]);
		}
		for (auto &m : stops) {
			ogl__task_stop__init(&so[k]);
			so[k].task = const_cast<char *>(m.first.c_str());
			so[k].attempt = 1;
			so[k].mode = m.second;
			op.push_back(&so[k++]);
		}
		s.epoch = epoch;
		s.seq = ++seq;
		s.boot = boot;
		s.lease_from_ms = echo_ms;
		s.lease_ms = 10000;
		s.full = full;
		s.n_start = sp.size();
		s.start = sp.data();
		s.n_ack = ap.size();
		s.ack = ap.data();
		s.n_stop = op.size();
		s.stop = op.data();
		if (!fake_worker_sync(w, &s, now, &r))
			return false;
		states.clear();
		for (size_t i = 0; i < r->n_tasks; i++) {
			std::string id = r->tasks[i]->task;
			id += "/" + std::to_string(r->tasks[i]->attempt);
			states[id] = r->tasks[i]->state;
			used_cpu = r->tasks[i]->used->cpu_milli;
			reason = r->tasks[i]->reason;
		}
		refused = r->refused;
		worker_clock_ms = r->clock_ms;
		boot = r->boot;
		was_full = r->full;
		ogl__worker_report__free_unpacked(r, NULL);
		return true;
	}

	// First sync, from which the owner learns the worker's clock.
	void LearnClock()
	{
		Sync(T0);
		echo_ms = worker_clock_ms;
	}

	struct fake_worker *w;
	uint64_t epoch = 3, seq = 0, echo_ms = 0, latest_start_ms = UINT64_MAX;
	std::map<std::string, Ogl__TaskState> states;
	std::string reason;
	uint32_t used_cpu = 0;
	bool refused = false, was_full = false;
	uint64_t worker_clock_ms = 0, boot = 0;
};

TEST_F(FakeWorker, KeepsEndedTaskUntilAcknowledged)
{
	LearnClock();
	EXPECT_EQ((uint64_t)(T0 / OGL_MS) + 500, worker_clock_ms);
	Sync(T0 + 1, {{"j.0", 1, 1000, "run_ms=40"}, {"j.1", 1, 500, "fail"}});
	EXPECT_EQ(OGL__TASK_STATE__running, states.at("j.0/1"));
	EXPECT_EQ(T0 + 1 + 40 * OGL_MS, fake_worker_next_due(w));
	for (int i = 0; i < 3; i++)
		Sync(T0 + (2 + i) * OGL_SEC);
	EXPECT_EQ(OGL__TASK_STATE__succeeded, states.at("j.0/1"));
	EXPECT_EQ(OGL__TASK_STATE__failed, states.at("j.1/1"));
	Sync(T0 + 5 * OGL_SEC, {}, true, {"j.0"});
	EXPECT_EQ(0u, states.count("j.0/1"));
	EXPECT_EQ(1u, states.count("j.1/1"));
}

// An owner that lost its shard while it was paused sends an old sync when it
// resumes, or the network delivers a sync twice.  If the worker accepted it,
// it would start a task that the new owner has placed elsewhere.
TEST_F(FakeWorker, RefusesStaleSyncWithoutEffect)
{
	LearnClock();
	epoch = 4;
	seq = 0;
	Sync(T0 + 1);
	epoch = 3;
	seq = 9;
	Sync(T0 + 2, {{"j.0", 1, 1000, ""}});
	EXPECT_TRUE(refused);
	EXPECT_EQ(0u, fake_worker_running(w));
	epoch = 4;
	seq = 0;
	Sync(T0 + 3, {{"j.0", 1, 1000, ""}});
	EXPECT_TRUE(refused);
	Sync(T0 + 4, {{"j.0", 1, 1000, ""}});
	EXPECT_FALSE(refused);
	EXPECT_EQ(1u, fake_worker_running(w));
}

// When a worker resumes after its lease has expired, its tasks may already run
// elsewhere.  They must end before the worker handles its next sync, even
// though that sync extends the lease.
TEST_F(FakeWorker, ResumedWorkerLapsesTasksBeforeNextSync)
{
	LearnClock();
	Sync(T0 + 1, {{"j.0", 1, 1000, "run_ms=60000"}});
	Sync(T0 + 11 * OGL_SEC);
	EXPECT_EQ(OGL__TASK_STATE__lapsed, states.at("j.0/1"));
	size_t n;
	const struct fake_worker_event *ev = fake_worker_events(w, &n);
	ASSERT_EQ(2u, n);
	EXPECT_EQ(FAKE_WORKER_LAPSE, ev[1].type);
	EXPECT_EQ(T0 + 10 * OGL_SEC, ev[1].at);
	EXPECT_STREQ("j.0", ev[1].task);
}

// Starts that arrive too late, without a lease, or that exceed the worker's
// capacity must be reported as refused, which means that they never ran, so
// that the owner may start these tasks elsewhere.
TEST_F(FakeWorker, RefusesLateStartsAndStartsWithoutLeaseOrRoom)
{
	Sync(T0); /* learns the boot; without an echo of the clock no lease */
	Sync(T0, {{"early.0", 1, 100, ""}});
	EXPECT_EQ("no lease", reason);
	echo_ms = worker_clock_ms;
	latest_start_ms = worker_clock_ms;
	Sync(T0 + OGL_MS, {{"late.0", 1, 100, ""}}, false, {"early.0"});
	EXPECT_EQ(OGL__TASK_STATE__refused, states.at("late.0/1"));
	EXPECT_EQ("past its latest start", reason);
	latest_start_ms = UINT64_MAX;
	Sync(T0 + 2, {{"a.0", 1, 3000, "run_ms=9000"}}, false, {"late.0"});
	Sync(T0 + 3, {{"b.0", 1, 1001, ""}, {"c.0", 1, UINT32_MAX, ""}});
	EXPECT_EQ(OGL__TASK_STATE__refused, states.at("b.0/1"));
	EXPECT_EQ(OGL__TASK_STATE__refused, states.at("c.0/1"));
	EXPECT_EQ("no room", reason);
	EXPECT_EQ(1u, fake_worker_running(w));
}

TEST_F(FakeWorker, RepeatedStartHasNoEffectAndAttemptsDoNotOverlap)
{
	LearnClock();
	Sync(T0 + 1, {{"j.0", 1, 1000, "run_ms=9000"}});
	Sync(T0 + 2, {{"j.0", 1, 1000, "run_ms=9000"}});
	EXPECT_EQ(1u, fake_worker_running(w));
	Sync(T0 + 3, {{"j.0", 2, 1000, ""}});
	EXPECT_EQ(OGL__TASK_STATE__refused, states.at("j.0/2"));
	EXPECT_EQ(1u, fake_worker_running(w));
}

// The answer may be lost after the worker has executed a sync.  The owner then
// continues without it, so the worker must report a state again until the
// echoed clock shows that the owner has read it.
TEST_F(FakeWorker, ReportsStateUntilOwnerHasReadIt)
{
	LearnClock();
	Sync(T0 + 10 * OGL_MS, {{"j.0", 1, 1000, "run_ms=9000"}});
	Sync(T0 + 20 * OGL_MS);
	EXPECT_EQ(1u, states.count("j.0/1"));
	EXPECT_FALSE(was_full);
	echo_ms = worker_clock_ms;
	Sync(T0 + 30 * OGL_MS);
	EXPECT_EQ(0u, states.count("j.0/1"));
	Sync(T0 + 40 * OGL_MS, {}, true);
	EXPECT_EQ(1u, states.count("j.0/1"));
	epoch++;
	Sync(T0 + 50 * OGL_MS);
	EXPECT_TRUE(was_full);
	EXPECT_EQ(1u, states.count("j.0/1"));
}

TEST_F(FakeWorker, ObeysStopCheckpointThrottleAndResume)
{
	LearnClock();
	Sync(T0, {{"a.0", 1, 100, "run_ms=1000"}, {"b.0", 1, 100, ""},
		     {"c.0", 1, 100, ""}});
	Sync(T0 + 500 * OGL_MS, {}, false, {},
	    {{"a.0", OGL__STOP_MODE__throttle}, {"b.0", OGL__STOP_MODE__stop},
		{"c.0", OGL__STOP_MODE__checkpoint}});
	EXPECT_EQ(OGL__TASK_STATE__throttled, states.at("a.0/1"));
	EXPECT_EQ(OGL__TASK_STATE__stopped, states.at("b.0/1"));
	EXPECT_EQ(OGL__TASK_STATE__checkpointed, states.at("c.0/1"));
	Sync(
	    T0 + 3 * OGL_SEC, {}, false, {}, {{"a.0", OGL__STOP_MODE__resume}});
	EXPECT_EQ(T0 + 3500 * OGL_MS, fake_worker_next_due(w));
}

TEST_F(FakeWorker, ReportsUsageAfterDelay)
{
	LearnClock();
	Sync(T0, {{"a.0", 1, 1000, "run_ms=9000"}});
	EXPECT_EQ(0u, used_cpu);
	echo_ms = worker_clock_ms;
	Sync(T0 + 6 * OGL_SEC);
	EXPECT_EQ(1u, states.count("a.0/1"));
	EXPECT_GE(used_cpu, 500u);
	EXPECT_LE(used_cpu, 1000u);
}

// A paused owner may send a sync for the worker's previous boot.  The rebooted
// worker no longer knows the epochs that it has seen, so a check of the epoch
// alone would accept the start, and one task would run in two places.
TEST_F(FakeWorker, IgnoresStartForEarlierBoot)
{
	LearnClock();
	fake_worker_restart(w, T0 + 1);
	Sync(T0 + 2, {{"a.0", 1, 1000, "run_ms=9000"}});
	EXPECT_TRUE(was_full);
	EXPECT_TRUE(states.empty());
	EXPECT_EQ(0u, fake_worker_running(w));
}

// A worker that crashes and reboots loses its tasks and the epochs that it has
// seen.  The owner can detect this only by the boot number in the report.
TEST_F(FakeWorker, RestartLosesStateAndReportsNewBoot)
{
	LearnClock();
	Sync(T0 + 1, {{"a.0", 1, 1000, "run_ms=9000"}});
	fake_worker_script(w)->unreachable = true;
	EXPECT_FALSE(Sync(T0 + 2));
	fake_worker_restart(w, T0 + 3);
	Sync(T0 + 4, {}, true);
	EXPECT_EQ(8u, boot);
	EXPECT_TRUE(states.empty());
	EXPECT_TRUE(was_full);
	fake_worker_script(w)->fail_all = true;
	Sync(T0 + 5, {{"b.0", 1, 1000, "run_ms=9000"}});
	Sync(T0 + OGL_SEC);
	EXPECT_EQ(OGL__TASK_STATE__failed, states.at("b.0/1"));
}

} // namespace
