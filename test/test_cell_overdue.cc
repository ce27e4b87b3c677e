/*
 * Work that could be started but is avoided: by order, reservations, health of
 * workers or the ranks of its team.  Each of these may delay a job that has
 * nothing running for a bounded time only.
 */

#include "schedule_fixture.h"

namespace
{

/* An accepted job for which there is room may have nothing running this long. */
const int kIdleMaxMs = 3000;
const int kPassMs = 50;

typedef std::vector<std::string> Names;

class Overdue : public Schedule
{
      protected:
	void SetUp() override
	{
		Schedule::SetUp();
		configure_queues(500, 5);
		advance(10 * OGL_MS);
		cell_fleet_step(fleet_, now_);
	}

	/* Queues "u" (rank 0, without policy), "q" and "l" (ranks 1 and 2); the
	 * team "t" may use 100 processors. */
	void configure_queues(double decide_ms, double worker_ms)
	{
		static const char *const names[] = {"u", "q", "l"};
		struct cell_config *c = cell_config_new(++version_);
		struct cell_team *t;

		for (uint32_t rank = 0; rank < 3; rank++) {
			struct cell_queue *q = cell_config_add_queue(c);

			q->name = g_strdup(names[rank]);
			q->service = g_strdup("svc");
			q->rank = rank;
			q->policy.needed = rank > 0;
			q->policy.decide_ms = decide_ms;
			q->policy.worker_ms = worker_ms;
			q->policy.valid_ms = 2500;
			q->objective_ms = 60000;
		}
		t = cell_config_add_team(c);
		t->name = g_strdup("t");
		t->max.cpu_milli = 100000;
		cell_sched_set_config(sched_, c);
		cell_config_unref(c);
	}

	/* The service admits these workers to the job's step, and no other. */
	struct cell_stage *add(const char *queue, uint32_t tasks,
	    uint32_t cpu_milli, bool gang, const Names &admitted)
	{
		submit(tasks, cpu_milli);
		g_snprintf(job_->id, sizeof job_->id, "%016zx", jobs_.size());
		free(job_->def->queue);
		job_->def->queue = strdup(queue);
		stage_def()->gang = gang;
		stage_def()->estimate_ms = 1000;
		requeue();
		admitted_[job_->id] = admitted;
		return stage_;
	}

	/* The last job is one of the team with the limit. */
	struct cell_stage *of_team(struct cell_stage *st)
	{
		st->job->def->team = strdup("t");
		return st;
	}

	/* Lets the scheduler look its queue up again. */
	void requeue()
	{
		cell_sched_remove(stage_);
		g_clear_pointer(&job_->queue_config, g_free);
		cell_sched_add(sched_, stage_);
	}

	static Names workers(unsigned from, unsigned n)
	{
		Names names;

		for (unsigned i = from; i < from + n; i++)
			names.push_back("w" + std::to_string(i));
		return names;
	}

	/* The service answers a question in the time that it takes. */
	void answer_questions()
	{
		for (; nanswered_ < questions_.size(); nanswered_++) {
			const Question &q = questions_[nanswered_];
			Names good;

			for (const std::string &w : admitted_[q.job]) {
				if (std::find(q.workers.begin(),
					q.workers.end(), w) != q.workers.end())
					good.push_back(w);
			}
			answer(q.token, good);
		}
	}

	/* Runs passes until the stage has a run, or for that time; returns
	 * whether it has one. */
	bool starts(const struct cell_stage *st, int ms = kIdleMaxMs)
	{
		for (; ms > 0 && st->nactive == 0; ms -= kPassMs) {
			pass(kPassMs);
			answer_questions();
		}
		return st->nactive > 0;
	}

	/* Two gangs that wait for more room than there is. */
	void add_waiting_gangs()
	{
		for (unsigned i = 0; i < kWorkers; i++)
			occupy(i, 9000);
		add("q", 20, 8000, true, workers(0, kWorkers));
		add("q", 20, 8000, true, workers(0, kWorkers));
		run(1000);
	}

	void run(int ms)
	{
		for (; ms > 0; ms -= kPassMs) {
			pass(kPassMs);
			answer_questions();
		}
	}

	/* The worker fails jobs until its health has that state. */
	void fail_until(unsigned i, enum ogl_health_state state)
	{
		for (unsigned k = 0; k < 8 && worker(i)->health != state; k++) {
			std::string job = std::to_string(10 * (i + 1) + k);

			cell_worker_count_result(
			    fleet_, worker(i), job.c_str(), false, now_);
		}
		ASSERT_EQ(state, worker(i)->health);
	}

	/* Another process answers the next hold to the worker. */
	void restart_worker(unsigned i)
	{
		struct cell_worker *w = worker(i);
		struct cell_hold_answer a = {};

		a.io = OGL_IO_OK;
		a.born_ms = 8;
		a.clock_ms = 1000;
		w->hold_pending = false;
		/* The second answer is the first one under its own fence. */
		for (int n = 0; n < 2; n++) {
			holds_.clear();
			cell_fleet_send_hold(fleet_, w, now_);
			holds_.back().done(holds_.back().arg, &a, now_);
		}
		advance(OGL_MS);
	}

	void list(unsigned i, bool listed)
	{
		struct cell_worker *w = worker(i);
		char service[] = "svc", none[] = "";
		std::string addr = w->addr;
		struct cell_worker_entry e = {};

		e.service = service;
		e.addr = const_cast<char *>(addr.c_str());
		e.zone = none;
		e.rack = none;
		e.capacity.cpu_milli = 16000;
		cell_fleet_update_entry(
		    fleet_, w->id, listed ? &e : nullptr, now_);
	}

	std::map<std::string, Names> admitted_; /* by job */
	size_t nanswered_ = 0;
	uint64_t version_ = 1;
};

/* What the other tests obstruct. */
TEST_F(Overdue, UnobstructedWorkStarts)
{
	EXPECT_TRUE(starts(add("q", 1, 1000, false, workers(3, 1))));
	EXPECT_TRUE(starts(add("q", 2, 1000, true, workers(3, 2))));
	EXPECT_TRUE(starts(add("l", 3, 1000, false, workers(4, 2))));
}

/* Guards against gangs that reserve workers for as long as they wait: others
 * that have room on these workers would not be started. */
TEST_F(Overdue, GangStartsOnWorkersThatOtherGangsReserve)
{
	add_waiting_gangs();
	EXPECT_TRUE(starts(add("q", 2, 1000, true, workers(0, 2))));
}

/* The same for work of a lower rank. */
TEST_F(Overdue, TaskOfLowerRankStartsOnWorkersThatGangsReserve)
{
	add_waiting_gangs();
	EXPECT_TRUE(starts(add("l", 3, 1000, false, workers(4, 2))));
}

/* Guards against a gang whose own reservation hides its workers from the
 * question that renews its tickets: it would wait for ever beside them. */
TEST_F(Overdue, GangRenewsTicketsOfWorkersThatItReserves)
{
	struct cell_stage *st;

	occupy_all();
	st = add("q", 6, 8000, true, workers(0, kWorkers));
	run(500);
	for (guint i = 0; i < st->approvals->len; i++)
		g_array_index(st->approvals, struct cell_approval, i).expires =
		    0;
	for (unsigned i = 0; i < 3; i++)
		occupy((unsigned)std::stoul(stage_worker(i).substr(1)), 0);
	/* Before it is overdue. */
	EXPECT_TRUE(starts(st, 500));
}

/* Guards against a gang that waits until workers which failed other jobs have
 * proved themselves, although it may run on no others. */
TEST_F(Overdue, GangStartsOnSuspectWorkersIfNoOthersAreAdmitted)
{
	fail_until(3, OGL_HEALTH_SUSPECT);
	fail_until(4, OGL_HEALTH_SUSPECT);
	EXPECT_TRUE(starts(add("q", 2, 1000, true, workers(3, 2))));
}

/* Guards against a task that waits while the only worker admitted is probed by
 * a long task. */
TEST_F(Overdue, TaskStartsOnASuspectWorkerThatIsBusy)
{
	fail_until(3, OGL_HEALTH_SUSPECT);
	ASSERT_TRUE(starts(add("q", 1, 1000, false, workers(3, 1))));
	EXPECT_TRUE(starts(add("q", 1, 1000, false, workers(3, 1))));
}

/* Guards against a task that waits for the cooldown of the only worker that is
 * admitted. */
TEST_F(Overdue, TaskStartsOnAWorkerAsideIfNoOtherIsAdmitted)
{
	fail_until(3, OGL_HEALTH_ASIDE);
	EXPECT_TRUE(starts(add("q", 1, 1000, false, workers(3, 1))));
}

/* Guards against a gang that fits into its team's limit, but not into the part
 * of it that ranks other than 0 may use. */
TEST_F(Overdue, GangWithinItsTeamsWholeLimitStarts)
{
	ASSERT_TRUE(starts(of_team(add("u", 10, 4000, false, Names()))));
	EXPECT_TRUE(
	    starts(of_team(add("q", 7, 8000, true, workers(0, kWorkers)))));
}

/* Guards against urgent work that is larger than what its team's limit leaves,
 * and keeps the other ranks of the team from starting. */
TEST_F(Overdue, LowerRankStartsWhileUrgentWorkWaitsForTheLimit)
{
	ASSERT_TRUE(starts(of_team(add("u", 10, 4000, false, Names()))));
	of_team(add("u", 10, 7000, true, Names()));
	EXPECT_TRUE(starts(of_team(add("q", 1, 1000, false, workers(0, 4)))));
}

/* Guards against a stage behind many that find no room on the workers that are
 * admitted to them. */
TEST_F(Overdue, StageBehindManyWithoutRoomIsTried)
{
	configure_queues(1, 0);
	for (unsigned i = 0; i < kWorkers - 1; i++)
		occupy(i, 16000);
	for (unsigned i = 0; i < 60; i++)
		add("q", 1, 1000, false, workers(i % (kWorkers - 1), 1));
	EXPECT_TRUE(starts(add("q", 1, 1000, false, workers(kWorkers - 1, 1))));
}

/* Guards against late work that is never asked about, as questions of work in
 * time take all lanes. */
TEST_F(Overdue, LateWorkGetsALane)
{
	struct cell_stage *late;

	configure_queues(400, 0);
	late = add("q", 1, 1000, false, workers(0, 4));
	job_->accepted -= 600 * OGL_SEC;
	for (int ms = 0; ms < kIdleMaxMs && late->nactive == 0; ms += 100) {
		add("q", 1, 100, false, workers(4, 4));
		add("l", 1, 100, false, workers(4, 4));
		starts(late, 100);
	}
	EXPECT_GT(late->nactive, 0u);
}

/* Guards against stages that find no room, and renew their tickets with all of
 * the time that overdue stages get: later ones are never asked about. */
TEST_F(Overdue, OverdueStagesAreAskedAboutInTurn)
{
	struct cell_stage *late;

	configure_queues(400, 0);
	for (unsigned i = 0; i < 4; i++)
		occupy(i, 15000);
	for (unsigned i = 0; i < 12; i++) {
		add("q", 8, 1000, true, workers(i % 4, 1));
		job_->accepted -= 600 * OGL_SEC;
	}
	run(12000);
	late = add("q", 1, 1000, false, workers(10, 4));
	job_->accepted -= 600 * OGL_SEC;
	for (int ms = 0; ms < kIdleMaxMs && late->nactive == 0; ms += 100) {
		add("q", 1, 100, false, workers(4, 4));
		starts(late, 100);
	}
	EXPECT_GT(late->nactive, 0u);
}

/* Guards against an answer that is kept for ever: the service does not admit a
 * worker that is down when it is asked about. */
TEST_F(Overdue, RestartedWorkerIsAskedAboutAgain)
{
	struct cell_stage *st = add("q", 1, 1000, false, Names());

	starts(st, 2000);
	ASSERT_EQ(kWorkers, g_hash_table_size(st->asked));
	restart_worker(5);
	admitted_[job_->id] = workers(5, 1);
	EXPECT_TRUE(starts(st));
}

/* The same for a worker whose entry on the list has lapsed for a moment. */
TEST_F(Overdue, WorkerThatIsListedAgainIsAskedAboutAgain)
{
	struct cell_stage *st = add("q", 1, 1000, false, Names());

	starts(st, 2000);
	ASSERT_EQ(kWorkers, g_hash_table_size(st->asked));
	list(5, false);
	list(5, true);
	admitted_[job_->id] = workers(5, 1);
	EXPECT_TRUE(starts(st));
}

} // namespace
