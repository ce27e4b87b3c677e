/* Worker selection by the scheduler with real fleet and advice modules, without
 * a cell. */

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "fleet_impl.h"
#include "sched_impl.h"
}

namespace
{

const unsigned kWorkers = 20;

struct Hold {
	std::string worker;
	cell_hold_fn *done;
	void *arg;
};

struct Start {
	cell_order_fn *done;
	void *arg;
};

class Schedule : public testing::Test
{
      protected:
	void SetUp() override
	{
		struct cell_fleet_events fe = {};
		struct cell_advice_events ae = {};
		struct cell_escrow_events ee = {};
		struct cell_sched_parts parts = {};

		ops_.hold = [](void *ctx, const struct cell_hold *h,
				cell_hold_fn *done, void *arg) {
			static_cast<Schedule *>(ctx)->holds_.push_back(
			    {h->to.id, done, arg});
		};
		ops_.start = [](void *ctx, const struct cell_order *,
				 cell_order_fn *done, void *arg) {
			static_cast<Schedule *>(ctx)->starts_.push_back(
			    {done, arg});
		};
		ops_.log = [](void *, const char *, const char *,
			       const char *) {};
		ops_.count = [](void *, const char *, uint64_t) {};
		ops_.observe = ops_.count;
		ops_.backend_ctx = this;
		limits_.lease_max_ms = 10000;
		fe.answered = [](void *, struct cell_worker *, ogl_time) {};
		fe.room_freed = [](void *, ogl_time) {};
		fe.run_started = [](void *, struct cell_run *, ogl_time) {};
		fe.run_ended = on_end;
		fe.arg = this;
		fleet_ = cell_fleet_init(&ops_, &limits_, &fe);
		ae.send = [](void *arg, const char *, const Ogl__CellAsk *a) {
			auto *t = static_cast<Schedule *>(arg);

			t->token_ = a->token;
			t->asked_.assign(a->workers, a->workers + a->n_workers);
		};
		ae.stage = [](void *arg, const char *, uint32_t, uint32_t) {
			return static_cast<Schedule *>(arg)->stage_;
		};
		ae.worker = [](void *arg, const char *id) {
			return cell_fleet_worker(
			    static_cast<Schedule *>(arg)->fleet_, id);
		};
		ae.answered = [](void *, struct cell_stage *, ogl_time) {};
		ae.arg = this;
		advice_ = cell_advice_init(&ops_, &ae);
		escrow_ = cell_escrow_init(0, 1, &ee);
		parts.ops = &ops_;
		parts.fleet = fleet_;
		parts.advice = advice_;
		parts.escrow = escrow_;
		parts.next_run = [](void *, const struct cell_stage *) {
			static uint64_t run;

			return ++run;
		};
		parts.started = [](void *arg, struct cell_stage *st, uint32_t,
				    ogl_time) {
			static_cast<Schedule *>(arg)
			    ->started_[st->job->def->team]++;
		};
		parts.arg = this;
		sched_ = cell_sched_init(&parts);
		list_workers();
		cell_advice_open(advice_, 1);
		configure(5, 0);
	}

	/* As cell_owner_run_ended does. */
	static void on_end(void *arg, struct cell_run *r, enum cell_end how,
	    const char *, ogl_time now)
	{
		struct cell_task *t = &r->stage->tasks[r->name.index];

		cell_sched_run_ended(
		    static_cast<Schedule *>(arg)->sched_, r, how, now);
		t->done = true;
		t->active = nullptr;
		r->stage->ndone++;
		r->stage->nactive--;
	}

	/* Every call has to be answered once, even after the fleet's close. */
	void TearDown() override
	{
		struct cell_order_answer none = {};

		none.io = OGL_IO_LOST;
		cell_sched_clear(sched_);
		cell_fleet_close(fleet_);
		for (const Start &s : starts_)
			s.done(s.arg, &none, now_);
		cell_sched_end(sched_);
		cell_escrow_end(escrow_);
		cell_advice_end(advice_);
		for (struct cell_job *j : jobs_)
			cell_job_free(j);
		cell_fleet_end(fleet_);
	}

	void list_workers()
	{
		char service[] = "svc", none[] = "";
		struct cell_hold_answer a = {};

		cell_fleet_open(fleet_, 1, now_);
		for (unsigned i = 0; i < kWorkers; i++) {
			std::string id = "w" + std::to_string(i);
			std::string addr = "10.9.0." + std::to_string(i);
			struct cell_worker_entry e = {};

			e.service = service;
			e.addr = const_cast<char *>(addr.c_str());
			e.zone = none;
			e.rack = none;
			e.capacity.cpu_milli = 16000;
			cell_fleet_update_entry(fleet_, id.c_str(), &e, now_);
		}
		cell_fleet_step(fleet_, now_);
		a.io = OGL_IO_OK;
		a.born_ms = 7;
		a.clock_ms = 1000;
		for (const Hold &h : holds_) {
			h.done(h.arg, &a, now_);
			cell_fleet_record_stored(fleet_, h.worker.c_str(), 1);
		}
		now_ += OGL_MS;
		cell_fleet_confirm(fleet_, now_);
	}

	/* Lets time pass, at the end of which the store confirms the owner. */
	void advance(ogl_time t)
	{
		now_ += t;
		cell_fleet_confirm(fleet_, now_);
	}

	/* Sets the time that the advice service takes for a question, and for
	 * each worker named in it. */
	void configure(double decide_ms, double worker_ms)
	{
		struct cell_config *c = cell_config_new(1);
		struct cell_queue *q = cell_config_add_queue(c);

		q->name = g_strdup("q");
		q->host = g_strdup("h");
		q->prefix = g_strdup("/");
		q->service = g_strdup("svc");
		q->policy.needed = true;
		q->policy.decide_ms = decide_ms;
		q->policy.worker_ms = worker_ms;
		q->policy.valid_ms = 2500;
		q->objective_ms = objective_ms_;
		cell_sched_set_config(sched_, c);
		cell_config_unref(c);
	}

	/* Adds a lasting job with at most one task per worker. */
	void submit_lasting(uint32_t tasks)
	{
		submit(tasks, 1000);
		stage_def()->worker_max = 1;
		stage_def()->lasting = 1;
	}

	void submit_gang(uint32_t tasks, uint32_t cpu_milli)
	{
		submit(tasks, cpu_milli);
		stage_def()->gang = 1;
	}

	Ogl__CellStep *stage_def()
	{
		return job_->def->steps[0];
	}

	void submit(uint32_t tasks, uint32_t cpu_milli)
	{
		job_ = new_job("0000000000000001", tasks, cpu_milli);
		jobs_.push_back(job_);
		job_->stored = true;
		job_->settled = true;
		stage_ = &cell_job_begin_occurrence(job_, 0, now_)->stages[0];
		cell_sched_add(sched_, stage_);
	}

	struct cell_job *new_job(
	    const char *id, uint32_t tasks, uint32_t cpu_milli)
	{
		auto *d = static_cast<Ogl__CellJob *>(
		    calloc(1, sizeof(Ogl__CellJob)));
		auto *s = static_cast<Ogl__CellStep *>(
		    calloc(1, sizeof(Ogl__CellStep)));

		ogl__cell_job__init(d);
		ogl__cell_step__init(s);
		s->count = tasks;
		s->cpu_milli = cpu_milli;
		d->id = strdup(id);
		d->queue = strdup("q");
		d->service = strdup("svc");
		d->steps = static_cast<Ogl__CellStep **>(malloc(sizeof s));
		d->steps[0] = s;
		d->n_steps = 1;
		return cell_job_new(d, now_);
	}

	/* A full cell in which one stage waits for room; results are in time
	 * within 1 s. */
	void fill()
	{
		objective_ms_ = 1000;
		configure(5, 0);
		submit(1, 1000);
		pass(10);
		allow();
		occupy_all();
		pass(200); /* forecasts may be that old */
	}

	/* Forecasts for a new job; the rule that refuses it, "" for none. */
	std::string refused_by(const char *id = "00000000000000aa")
	{
		struct cell_job *j = new_job(id, 1, 1000);
		std::string rule;

		if (cell_sched_forecast(sched_, j, now_) > 0)
			rule = j->refused_by;
		cell_job_free(j);
		return rule;
	}

	/* After how many ms a refused caller is told to come back. */
	uint32_t return_ms(const char *id)
	{
		struct cell_refused r = {id, "q", nullptr};

		return cell_sched_return_ms(
		    sched_, &r, now_ + 500 * OGL_MS, now_);
	}

	/* Since when a job that is submitted now counts as waiting. */
	ogl_time waits_since(const char *id)
	{
		struct cell_job *j = new_job(id, 1, 1000);
		ogl_time since;

		cell_sched_note_return(sched_, j, now_);
		since = j->waits_since;
		cell_job_free(j);
		EXPECT_EQ(since < now_, cell_sched_is_return(sched_, id, now_));
		return since;
	}

	/* Runs a pass ms later; asked_ then lists the workers asked about. */
	void pass(int ms)
	{
		advance(ms * OGL_MS);
		asked_.clear();
		for (unsigned i = 0; i < kWorkers; i++)
			worker(i)->hold_pending = false;
		cell_advice_update_node(advice_, "n", now_);
		cell_sched_pass(sched_, now_);
	}

	/* Answers the last question with a ticket for each worker. */
	void allow()
	{
		answer(asked_.size());
	}

	/* Answers it with tickets for the first workers only. */
	void answer(size_t approved)
	{
		Ogl__CellAdvice m = OGL__CELL_ADVICE__INIT;
		std::vector<Ogl__CellTicket> tickets(approved);
		std::vector<Ogl__CellTicket *> list;
		char ticket[] = "t";

		for (size_t i = 0; i < approved; i++) {
			ogl__cell_ticket__init(&tickets[i]);
			tickets[i].worker =
			    const_cast<char *>(asked_[i].c_str());
			tickets[i].ticket = ticket;
			list.push_back(&tickets[i]);
		}
		m.token = token_;
		m.ok = 1;
		m.valid_ms = 2500;
		m.tickets = list.data();
		m.n_tickets = list.size();
		cell_advice_answer(advice_, &m, now_);
	}

	void occupy(unsigned i, uint32_t cpu_milli)
	{
		worker(i)->used.cpu_milli = cpu_milli;
	}

	void make_suspect(unsigned i)
	{
		static const char *const jobs[] = {"a1", "a2", "a3"};

		for (const char *job : jobs)
			cell_worker_count_result(
			    fleet_, worker(i), job, false, now_);
		ASSERT_EQ(OGL_HEALTH_SUSPECT, worker(i)->health);
	}

	void occupy_all()
	{
		for (unsigned i = 0; i < kWorkers; i++)
			occupy(i, 16000);
	}

	struct cell_worker *worker(unsigned i)
	{
		return cell_fleet_worker(
		    fleet_, ("w" + std::to_string(i)).c_str());
	}

	/* The worker that the stage's i-th approval is for. */
	std::string stage_worker(unsigned i)
	{
		const auto *a =
		    &g_array_index(stage_->approvals, struct cell_approval, i);

		return cell_fleet_by_serial(fleet_, a->worker)->id;
	}

	bool asked(const char *id)
	{
		return std::find(asked_.begin(), asked_.end(), id) !=
		       asked_.end();
	}

	struct cell_ops ops_ = {};
	struct cell_limits limits_ = {};
	struct cell_fleet *fleet_ = nullptr;
	struct cell_advice *advice_ = nullptr;
	struct cell_escrow *escrow_ = nullptr;
	struct cell_sched *sched_ = nullptr;
	struct cell_job *job_ = nullptr; /* the last one */
	std::vector<struct cell_job *> jobs_;
	std::map<std::string, unsigned> started_; /* tasks, by team */
	struct cell_stage *stage_ = nullptr;
	std::vector<Hold> holds_;
	std::vector<Start> starts_;
	std::vector<std::string> asked_;
	uint64_t token_ = 0;
	uint32_t objective_ms_ = 0;
	ogl_time now_ = 100 * OGL_SEC;
};

/* Guards against a task that never runs because tickets are renewed only for
 * the workers with the most room, which already run worker_max of its step. */
TEST_F(Schedule, TicketsAreNotRenewedForWorkersAtWorkerMax)
{
	occupy(18, 16000);
	occupy(19, 16000);
	submit_lasting(19);
	pass(10);
	ASSERT_EQ(kWorkers, asked_.size());
	allow();
	pass(10);
	ASSERT_EQ(18u, starts_.size());
	occupy(18, 9000);
	occupy(19, 9000);
	pass(3000);
	EXPECT_TRUE(asked("w18"));
	EXPECT_TRUE(asked("w19"));
	EXPECT_EQ(2u, asked_.size());
}

/* Guards against small work whose questions name so many workers that the
 * advice service has no time left for other work. */
TEST_F(Schedule, QuestionNamesNoMoreWorkersThanTheTasksNeed)
{
	submit(2, 1000);
	pass(10);
	EXPECT_EQ(16u, asked_.size());
}

/* Guards against waiting gangs that ask about a few more workers again and
 * again.  The service spends half a second on each question, and work that has
 * room gets no answer. */
TEST_F(Schedule, GangWithoutRoomDoesNotAskAboutFurtherWorkers)
{
	configure(550, 8);
	occupy_all();
	submit_gang(6, 8000);
	pass(10);
	ASSERT_EQ(16u, asked_.size());
	allow();
	for (int ms = 0; ms < 4000; ms += 100) {
		pass(100);
		EXPECT_EQ(0u, asked_.size());
	}
}

TEST_F(Schedule, GangWithTooFewApprovedWorkersAsksAboutFurtherOnes)
{
	configure(550, 8);
	occupy_all();
	submit_gang(6, 8000);
	pass(10);
	answer(2);
	pass(10);
	pass(1000);
	EXPECT_EQ(4u, asked_.size());
}

TEST_F(Schedule, GangRenewsTicketsOnceItsApprovedWorkersHaveRoom)
{
	configure(550, 8);
	occupy_all();
	submit_gang(6, 8000);
	pass(10);
	allow();
	pass(3000);
	for (unsigned i = 0; i < 3; i++) {
		occupy((unsigned)std::stoul(stage_worker(i).substr(1)), 0);
	}
	pass(100);
	EXPECT_EQ(3u, asked_.size());
	allow();
	pass(10);
	EXPECT_EQ(6u, starts_.size());
}

/* Guards against a gang that renews its expired tickets while its other tickets
 * expire, and so never holds all of them at once. */
TEST_F(Schedule, TicketsThatExpireBeforeTheAnswerAreRenewedToo)
{
	configure(550, 8);
	occupy_all();
	submit_gang(6, 8000);
	pass(10);
	answer(2);
	pass(10);
	pass(1000);
	ASSERT_EQ(4u, asked_.size());
	allow();
	for (unsigned i = 0; i < 6; i++)
		occupy((unsigned)std::stoul(stage_worker(i).substr(1)), 8000);
	pass(1750);
	EXPECT_EQ(6u, asked_.size());
}

/* Guards against a stage that waits for the answer of a lost node until the
 * whole time of its question is over. */
TEST_F(Schedule, QuestionOfASilentNodeIsAskedAgainByAnother)
{
	configure(3000, 0);
	submit(1, 1000);
	pass(10);
	ASSERT_FALSE(asked_.empty());
	advance(1300 * OGL_MS);
	asked_.clear();
	cell_advice_step(advice_, now_);
	cell_advice_update_node(advice_, "m", now_);
	cell_sched_pass(sched_, now_ + OGL_MS);
	EXPECT_FALSE(asked_.empty());
}

TEST_F(Schedule, ShareOfApprovedWorkersIsLearned)
{
	double before = cell_advice_approved_share(advice_, "q");

	submit(2, 1000);
	pass(10);
	answer(0);
	EXPECT_LT(cell_advice_approved_share(advice_, "q"), before);
	EXPECT_EQ(before, cell_advice_approved_share(advice_, "other"));
}

/* Guards against a gang that reserves workers it may not use, which are empty
 * and would be reserved first, while smaller work takes the others. */
TEST_F(Schedule, GangReservesNoSuspectWorker)
{
	unsigned reserved = 0;

	objective_ms_ = 60000;
	configure(5, 0);
	occupy_all();
	occupy(3, 0);
	make_suspect(3);
	submit_gang(6, 8000);
	pass(10);
	allow();
	pass(10);
	EXPECT_EQ(0u, worker(3)->reserved_rank_plus_1);
	for (unsigned i = 0; i < kWorkers; i++)
		reserved += worker(i)->reserved_rank_plus_1 != 0;
	EXPECT_EQ(3u, reserved);
}

/* Guards against forecasts that count on the room of a worker that gets no work
 * before its cooldown ends. */
TEST_F(Schedule, EndOfCooldownIsKnownWhileAWorkerIsAside)
{
	make_suspect(3);
	EXPECT_EQ(0, worker(3)->aside_until);
	for (const char *job : {"b1", "b2", "b3"})
		cell_worker_count_result(fleet_, worker(3), job, false, now_);
	ASSERT_EQ(OGL_HEALTH_ASIDE, worker(3)->health);
	EXPECT_EQ(now_ + 2 * OGL_SEC, worker(3)->aside_until);
	cell_fleet_close(fleet_);
	cell_fleet_open(fleet_, 2, now_);
	EXPECT_EQ(0, worker(3)->aside_until);
}

/* Guards against accepting what has no room in time, and against refusing jobs
 * of a cell that is not full. */
TEST_F(Schedule, CapacityRefusesOnlyWhileTheCellIsFull)
{
	EXPECT_EQ("", refused_by());
	fill();
	EXPECT_EQ("room", refused_by());
	advance(310 * OGL_MS); /* no stage has lacked room since */
	EXPECT_EQ("", refused_by());
	pass(1);
	EXPECT_EQ("room", refused_by());
	occupy(3, 0);
	advance(200 * OGL_MS);
	EXPECT_EQ("", refused_by());
}

/* Guards against refusals while the store is silent or after the owner was
 * frozen: nothing is started then, whatever there is room for. */
TEST_F(Schedule, CapacityIsNotUsedUntilOwnershipIsConfirmed)
{
	fill();
	now_ += OGL_MS;
	cell_fleet_require_confirmation(fleet_, now_);
	EXPECT_EQ("", refused_by());
	cell_fleet_confirm(fleet_, now_);
	EXPECT_EQ("room", refused_by());
}

/* Guards against refusing a queue by forecasts that were wrong for it. */
TEST_F(Schedule, CapacityDoesNotRefuseAQueueItErrsFor)
{
	struct cell_job *jobs[5];

	pass(1);
	for (auto &j : jobs) {
		j = new_job("00000000000000bb", 1, 1000);
		EXPECT_EQ(0, cell_sched_forecast(sched_, j, now_));
	}
	advance(4 * OGL_SEC);
	fill();
	EXPECT_EQ("room", refused_by());
	for (auto &j : jobs) {
		cell_sched_count_first_start(sched_, j, now_);
		cell_job_free(j);
	}
	EXPECT_EQ("", refused_by());
}

/* Guards against a crowd that comes back at once when zones are opened. */
TEST_F(Schedule, CallersAreSpreadWhileAllWorkersAreClosed)
{
	std::set<uint32_t> ms;

	objective_ms_ = 1000;
	configure(5, 0);
	for (unsigned i = 0; i < kWorkers; i++)
		worker(i)->evacuated = true;
	for (int i = 0; i < 10; i++) {
		std::string id = "00000000000000c" + std::to_string(i);

		EXPECT_EQ("closed", refused_by(id.c_str()));
		ms.insert(return_ms(id.c_str()));
	}
	EXPECT_EQ(10u, ms.size());
}

/* Guards against a place ahead of others that was given under an earlier
 * ownership, or before the owner was frozen. */
TEST_F(Schedule, SlotsOfAnEarlierOwnershipAreVoid)
{
	ogl_time refused_at = now_;

	EXPECT_EQ(500u, return_ms("00000000000000aa"));
	advance(520 * OGL_MS);
	EXPECT_EQ(refused_at, waits_since("00000000000000aa"));
	cell_sched_open(sched_, now_);
	EXPECT_EQ(now_, waits_since("00000000000000aa"));
	return_ms("00000000000000aa");
	advance(3 * OGL_SEC);
	EXPECT_EQ(now_, waits_since("00000000000000aa"));
}

/* Many jobs of tasks that take a whole worker for their estimated time. */
class SharedSchedule : public Schedule
{
      protected:
	void SetUp() override
	{
		Schedule::SetUp();
		ops_.ctx = this;
		ops_.log = [](void *ctx, const char *, const char *event,
			       const char *text) {
			if (strcmp(event, "team_share") == 0)
				static_cast<SharedSchedule *>(ctx)
				    ->lines_.push_back(text);
		};
		set_weights(3, 1, false);
	}

	void set_weights(double a, double b, bool policy)
	{
		const std::pair<const char *, double> teams[] = {
		    {"a", a}, {"b", b}, {"c", 1}};
		struct cell_config *c = cell_config_new(++version_);
		struct cell_queue *q = cell_config_add_queue(c);

		q->name = g_strdup("q");
		q->rank = 1;
		q->objective_ms = 20000;
		q->policy.needed = policy;
		q->policy.decide_ms = 500;
		for (const auto &t : teams) {
			struct cell_team *x = cell_config_add_team(c);

			x->name = g_strdup(t.first);
			x->rate = t.second;
		}
		cell_sched_set_config(sched_, c);
		cell_config_unref(c);
	}

	struct cell_stage *add(const char *team, double estimate_ms = 1000,
	    uint32_t tasks = 1, bool gang = false)
	{
		submit(tasks, 16000);
		job_->id[0] = *team;
		job_->def->team = strdup(team);
		stage_def()->estimate_ms = estimate_ms;
		stage_def()->gang = gang;
		return stage_;
	}

	void add_many(unsigned n, const char *team)
	{
		while (n-- > 0)
			add(team);
	}

	/* Runs passes for that time, and counts the starts of each team. */
	void run(int ms)
	{
		started_.clear();
		for (; ms > 0; ms -= 50) {
			for (unsigned i = 0; i < kWorkers; i++)
				end_runs(worker(i));
			pass(50);
		}
	}

	void end_runs(struct cell_worker *w)
	{
		GList *all = g_hash_table_get_keys(w->runs);

		for (GList *l = all; l != nullptr; l = l->next) {
			auto *r = static_cast<struct cell_run *>(l->data);

			if (now_ - r->created_at >=
			    r->stage->def->estimate_ms * OGL_MS)
				cell_fleet_run_ended(
				    fleet_, r, CELL_END_DONE, nullptr, now_);
		}
		g_list_free(all);
	}

	unsigned active_teams()
	{
		unsigned n = 0;

		cell_sched_report_shares(
		    sched_,
		    [](void *arg, const struct ogl_share_figures *f) {
			    *static_cast<unsigned *>(arg) += f->active;
		    },
		    &n);
		return n;
	}

	std::vector<std::string> lines_;
	uint64_t version_ = 1;
};

/* Guards against a burst of one team that displaces the work of others: the
 * jobs of b came first, and in a cell that is not full they also start first.
 */
TEST_F(SharedSchedule, AFullCellIsSharedByWeight)
{
	add_many(200, "b");
	add_many(200, "a");
	run(1000);
	EXPECT_EQ(20u, started_["b"]);
	run(4000);
	EXPECT_NEAR(60u, started_["a"], 2);
	EXPECT_NEAR(20u, started_["b"], 2);
	run(1000);
	ASSERT_EQ(4u, lines_.size()); /* two teams, twice in 6 s */
	EXPECT_NE(std::string::npos, lines_[2].find("team=a weight=3 "));
	EXPECT_NE(std::string::npos, lines_[2].find(" entitled_permille=750"));
	EXPECT_EQ(std::string::npos, lines_[2].find(" used_core_ms=0 "));
}

/* Guards against weights that stay as they were when the cell became full. */
TEST_F(SharedSchedule, ANewWeightIsInForceWithTheNextPass)
{
	add_many(200, "a");
	add_many(200, "b");
	run(2000);
	set_weights(1, 3, false);
	run(4000);
	EXPECT_NEAR(20u, started_["a"], 2);
	EXPECT_NEAR(60u, started_["b"], 2);
}

/* Guards against virtual times that a new owner takes from an earlier epoch of
 * the same node.  It costs order only: all that waits is started. */
TEST_F(SharedSchedule, VirtualTimesBeginAnewAfterATakeover)
{
	add_many(40, "c");
	run(1000);
	add("b", 1e6);
	add_many(40, "c");
	add_many(40, "b");
	run(3000);
	ASSERT_EQ(1u, started_["b"]);
	cell_sched_clear(sched_);
	EXPECT_EQ(0u, active_teams());
	for (const struct cell_job *j : jobs_) {
		struct cell_stage *st = &cell_job_occurrence(j, 0)->stages[0];

		if (cell_stage_waiting(st) > 0)
			cell_sched_add(sched_, st);
	}
	add_many(40, "c");
	run(500);
	run(2000);
	EXPECT_NEAR(19u, started_["b"], 3);
	run(4000);
	EXPECT_EQ(0u, cell_sched_waiting(sched_));
}

/* Guards against a gang that is bypassed until its result is worthless. */
TEST_F(SharedSchedule, AGangGoesByAgeAfterHalfItsObjective)
{
	add_many(40, "c");
	run(1000);
	add("b", 1e6);
	struct cell_stage *gang = add("b", 1000, 4, true);
	add_many(400, "c");
	run(9500);
	EXPECT_EQ(0u, gang->nactive + gang->ndone);
	run(2000);
	EXPECT_EQ(4u, gang->nactive + gang->ndone);
}

/* Guards against a cell that is not taken for full although work waits for the
 * advice service. */
TEST_F(SharedSchedule, ACellWithoutALaneForAQuestionIsFull)
{
	set_weights(3, 1, true);
	add("a");
	add("b");
	pass(50);
	EXPECT_EQ(0u, active_teams());
	pass(50);
	EXPECT_EQ(2u, active_teams());
}

} // namespace
