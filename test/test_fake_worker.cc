// The worker fake: fencing, leases, room, idempotent starts, differences.
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

// Builds syncs as an owner would and keeps what the last report said.
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
			st[i].latest_start_ms = latest;
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
		s.lease_from_ms = echo;
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
		seen.clear();
		for (size_t i = 0; i < r->n_tasks; i++) {
			std::string id = r->tasks[i]->task;
			id += "/" + std::to_string(r->tasks[i]->attempt);
			seen[id] = r->tasks[i]->state;
			used_cpu = r->tasks[i]->used->cpu_milli;
			reason = r->tasks[i]->reason;
		}
		refused = r->refused;
		clock = r->clock_ms;
		boot = r->boot;
		was_full = r->full;
		ogl__worker_report__free_unpacked(r, NULL);
		return true;
	}

	// A first contact that tells the owner the worker's clock.
	void Meet()
	{
		Sync(T0);
		echo = clock;
	}

	struct fake_worker *w;
	uint64_t epoch = 3, seq = 0, echo = 0, latest = UINT64_MAX;
	std::map<std::string, Ogl__TaskState> seen;
	std::string reason;
	uint32_t used_cpu = 0;
	bool refused = false, was_full = false;
	uint64_t clock = 0, boot = 0;
};

TEST_F(FakeWorker, RunsATaskAndKeepsItsEndUntilAcknowledged)
{
	Meet();
	EXPECT_EQ((uint64_t)(T0 / OGL_MS) + 500, clock);
	Sync(T0 + 1, {{"j.0", 1, 1000, "run_ms=40"}, {"j.1", 1, 500, "fail"}});
	EXPECT_EQ(OGL__TASK_STATE__running, seen.at("j.0/1"));
	EXPECT_EQ(T0 + 1 + 40 * OGL_MS, fake_worker_next_due(w));
	for (int i = 0; i < 3; i++)
		Sync(T0 + (2 + i) * OGL_SEC);
	EXPECT_EQ(OGL__TASK_STATE__succeeded, seen.at("j.0/1"));
	EXPECT_EQ(OGL__TASK_STATE__failed, seen.at("j.1/1"));
	Sync(T0 + 5 * OGL_SEC, {}, true, {"j.0"});
	EXPECT_EQ(0u, seen.count("j.0/1"));
	EXPECT_EQ(1u, seen.count("j.1/1"));
}

// An owner that lost its shard while paused wakes and sends what it had in
// hand, or the network delivers a sync twice.  Done anyway, such a start
// would run a task that the new owner has placed elsewhere.
TEST_F(FakeWorker, RefusesAStaleSyncAndDoesNothing)
{
	Meet();
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

// A worker paused past its lease comes back when its tasks may already run
// elsewhere.  They end before the sync that wakes it is looked at, even
// though that sync prolongs the lease.
TEST_F(FakeWorker, APausedWorkerLapsesItsTasksBeforeAnythingElse)
{
	Meet();
	Sync(T0 + 1, {{"j.0", 1, 1000, "run_ms=60000"}});
	Sync(T0 + 11 * OGL_SEC);
	EXPECT_EQ(OGL__TASK_STATE__lapsed, seen.at("j.0/1"));
	size_t n;
	const struct fake_worker_event *ev = fake_worker_events(w, &n);
	ASSERT_EQ(2u, n);
	EXPECT_EQ(FAKE_WORKER_LAPSE, ev[1].type);
	EXPECT_EQ(T0 + 10 * OGL_SEC, ev[1].at);
	EXPECT_STREQ("j.0", ev[1].task);
}

// A start that was long under way, one for which the owner had no lease yet,
// and one too many for the worker: the report must say that none of them
// ever ran, so that they may start elsewhere.
TEST_F(FakeWorker, RefusesStartsThatMustNotRun)
{
	Sync(T0); /* tells the boot; the clock is not echoed, so no lease */
	Sync(T0, {{"early.0", 1, 100, ""}});
	EXPECT_EQ("no lease", reason);
	echo = clock;
	latest = clock;
	Sync(T0 + OGL_MS, {{"late.0", 1, 100, ""}}, false, {"early.0"});
	EXPECT_EQ(OGL__TASK_STATE__refused, seen.at("late.0/1"));
	EXPECT_EQ("past its latest start", reason);
	latest = UINT64_MAX;
	Sync(T0 + 2, {{"a.0", 1, 3000, "run_ms=9000"}}, false, {"late.0"});
	Sync(T0 + 3, {{"b.0", 1, 1001, ""}, {"c.0", 1, UINT32_MAX, ""}});
	EXPECT_EQ(OGL__TASK_STATE__refused, seen.at("b.0/1"));
	EXPECT_EQ(OGL__TASK_STATE__refused, seen.at("c.0/1"));
	EXPECT_EQ("no room", reason);
	EXPECT_EQ(1u, fake_worker_running(w));
}

TEST_F(FakeWorker, AStartTakesEffectOnceAndAttemptsDoNotOverlap)
{
	Meet();
	Sync(T0 + 1, {{"j.0", 1, 1000, "run_ms=9000"}});
	Sync(T0 + 2, {{"j.0", 1, 1000, "run_ms=9000"}});
	EXPECT_EQ(1u, fake_worker_running(w));
	Sync(T0 + 3, {{"j.0", 2, 1000, ""}});
	EXPECT_EQ(OGL__TASK_STATE__refused, seen.at("j.0/2"));
	EXPECT_EQ(1u, fake_worker_running(w));
}

// An answer can be lost after the worker has done what the sync asked.  The
// owner then goes on without it, so the worker has to tell a state again
// until the echoed clock shows that it was read.
TEST_F(FakeWorker, ReportsAStateUntilTheOwnerHasReadIt)
{
	Meet();
	Sync(T0 + 10 * OGL_MS, {{"j.0", 1, 1000, "run_ms=9000"}});
	Sync(T0 + 20 * OGL_MS);
	EXPECT_EQ(1u, seen.count("j.0/1"));
	EXPECT_FALSE(was_full);
	echo = clock;
	Sync(T0 + 30 * OGL_MS);
	EXPECT_EQ(0u, seen.count("j.0/1"));
	Sync(T0 + 40 * OGL_MS, {}, true);
	EXPECT_EQ(1u, seen.count("j.0/1"));
	epoch++;
	Sync(T0 + 50 * OGL_MS);
	EXPECT_TRUE(was_full);
	EXPECT_EQ(1u, seen.count("j.0/1"));
}

TEST_F(FakeWorker, ObeysStopCheckpointThrottleAndResume)
{
	Meet();
	Sync(T0, {{"a.0", 1, 100, "run_ms=1000"}, {"b.0", 1, 100, ""},
		     {"c.0", 1, 100, ""}});
	Sync(T0 + 500 * OGL_MS, {}, false, {},
	    {{"a.0", OGL__STOP_MODE__throttle}, {"b.0", OGL__STOP_MODE__stop},
		{"c.0", OGL__STOP_MODE__checkpoint}});
	EXPECT_EQ(OGL__TASK_STATE__throttled, seen.at("a.0/1"));
	EXPECT_EQ(OGL__TASK_STATE__stopped, seen.at("b.0/1"));
	EXPECT_EQ(OGL__TASK_STATE__checkpointed, seen.at("c.0/1"));
	Sync(
	    T0 + 3 * OGL_SEC, {}, false, {}, {{"a.0", OGL__STOP_MODE__resume}});
	EXPECT_EQ(T0 + 3500 * OGL_MS, fake_worker_next_due(w));
}

TEST_F(FakeWorker, ReportsUsageWithALag)
{
	Meet();
	Sync(T0, {{"a.0", 1, 1000, "run_ms=9000"}});
	EXPECT_EQ(0u, used_cpu);
	echo = clock;
	Sync(T0 + 6 * OGL_SEC);
	EXPECT_EQ(1u, seen.count("a.0/1"));
	EXPECT_GE(used_cpu, 500u);
	EXPECT_LE(used_cpu, 1000u);
}

// A paused owner still means the worker's former boot.  The worker has
// forgotten the epochs it saw, so the epoch alone would let the start
// through; a user would find one task running in two places.
TEST_F(FakeWorker, AStartMeantForAnEarlierBootIsPassedOver)
{
	Meet();
	fake_worker_restart(w, T0 + 1);
	Sync(T0 + 2, {{"a.0", 1, 1000, "run_ms=9000"}});
	EXPECT_TRUE(was_full);
	EXPECT_TRUE(seen.empty());
	EXPECT_EQ(0u, fake_worker_running(w));
}

// A worker that dies and boots again has lost its tasks and also the epochs
// it has seen; only the boot number in its report gives it away.
TEST_F(FakeWorker, ARestartLosesEverythingAndShowsANewBoot)
{
	Meet();
	Sync(T0 + 1, {{"a.0", 1, 1000, "run_ms=9000"}});
	fake_worker_script(w)->down = true;
	EXPECT_FALSE(Sync(T0 + 2));
	fake_worker_restart(w, T0 + 3);
	Sync(T0 + 4, {}, true);
	EXPECT_EQ(8u, boot);
	EXPECT_TRUE(seen.empty());
	EXPECT_TRUE(was_full);
	fake_worker_script(w)->fail_all = true;
	Sync(T0 + 5, {{"b.0", 1, 1000, "run_ms=9000"}});
	Sync(T0 + OGL_SEC);
	EXPECT_EQ(OGL__TASK_STATE__failed, seen.at("b.0/1"));
}

} // namespace
