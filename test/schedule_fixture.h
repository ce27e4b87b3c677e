/*
 * A scheduler with real fleet and advice modules, without a cell: 20 workers of
 * 16 processors, which answer nothing by themselves.
 */

#ifndef SCHEDULE_FIXTURE_H
#define SCHEDULE_FIXTURE_H

#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "fleet_impl.h"
#include "sched_impl.h"
}

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

/* A question to the advice service. */
struct Question {
	uint64_t token;
	std::string job;
	std::vector<std::string> workers;
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
			t->questions_.push_back({a->token,
			    std::string(a->step, CELL_ID_LEN), t->asked_});
		};
		ae.stage = [](void *arg, const char *id, uint32_t, uint32_t) {
			return static_cast<Schedule *>(arg)->stage_of(id);
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

	/* The worker restarts under its id, and its new incarnation answers. */
	void restart(unsigned i, uint64_t born_ms)
	{
		struct cell_worker_entry e = {};
		struct cell_hold_answer a = {};
		struct cell_worker *w = worker(i);

		e.service = w->service;
		e.addr = w->addr;
		e.zone = w->zone;
		e.rack = w->rack;
		e.capacity = w->capacity;
		e.born_ms = born_ms;
		cell_fleet_update_entry(fleet_, w->id, &e, now_);
		holds_.clear();
		advance(OGL_SEC);
		cell_fleet_step(fleet_, now_);
		a.io = OGL_IO_OK;
		a.born_ms = born_ms;
		a.clock_ms = 1000;
		for (const Hold &h : holds_) {
			if (h.worker == w->id)
				h.done(h.arg, &a, now_);
		}
		ASSERT_EQ(born_ms, w->incarnation);
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

	/* The stage of the last job with that id. */
	struct cell_stage *stage_of(const char *id)
	{
		for (size_t i = jobs_.size(); i-- > 0;) {
			if (strcmp(jobs_[i]->id, id) == 0)
				return &cell_job_occurrence(jobs_[i], 0)
					    ->stages[0];
		}
		return nullptr;
	}

	/* Answers the last question with a ticket for each worker. */
	void allow()
	{
		answer(asked_.size());
	}

	/* Answers it with tickets for the first workers only. */
	void answer(size_t approved)
	{
		answer(token_, std::vector<std::string>(asked_.begin(),
				   asked_.begin() + (ptrdiff_t)approved));
	}

	/* Answers a question with tickets for these workers. */
	void answer(uint64_t token, const std::vector<std::string> &approved)
	{
		Ogl__CellAdvice m = OGL__CELL_ADVICE__INIT;
		std::vector<Ogl__CellTicket> tickets(approved.size());
		std::vector<Ogl__CellTicket *> list;
		char ticket[] = "t";

		for (size_t i = 0; i < approved.size(); i++) {
			ogl__cell_ticket__init(&tickets[i]);
			tickets[i].worker =
			    const_cast<char *>(approved[i].c_str());
			tickets[i].ticket = ticket;
			list.push_back(&tickets[i]);
		}
		m.token = token;
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
	std::vector<Question> questions_; /* all so far */
	uint64_t token_ = 0;
	uint32_t objective_ms_ = 0;
	ogl_time now_ = 100 * OGL_SEC;
};

#endif
