/*
 * Days of a simulated cell, by seed, on which no accepted job may be starved
 * (fake_starved.c).  Several queues, most with advice that admits few workers
 * and takes long, gangs, runs that fail, declared times that are wrong, and
 * teams beyond their rates or at their limits.  Faults are few and of one kind
 * a day, with calm between them.  OGL_STARVED_SEEDS is the number of seeds from
 * OGL_STARVED_FIRST on; OGL_STARVED_SEED runs one alone.
 */

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <map>
#include <random>

#include "fake_cell.h"
#include "fresh_process.h"

namespace
{

/* What the jobs of one queue are like. */
struct Kind {
	struct fake_queue queue;
	unsigned tasks_max;
	unsigned cpu_max;
	unsigned run_min, run_max;
	unsigned gang_percent;
	unsigned two_steps_percent;
	unsigned fail_permille;
	unsigned declared_off_percent; /* of the run time, at most */
	unsigned apart_percent;
	bool lasting;
	double jobs_per_s;
};

enum Fault {
	NONE,
	OWNER_KILLED,
	ROLLING_RESTART,
	WORKERS_FAIL,
	WORKERS_CRASH,
	FAULTS
};

class Day
{
      public:
	Day(unsigned seed, unsigned workers)
	    : rand_(seed), fault_(static_cast<Fault>(seed % FAULTS))
	{
		shape_.seed = seed;
		shape_.nodes = 3 + below(5);
		shape_.workers = workers != 0 ? workers : 12 + below(39);
		shape_.shards = 1;
		shape_.attempts_max = 2 + below(3);
		shape_.crashed_refuse = true;
		shape_.advice_skips_down = below(2) == 0;
		shape_.check_starved = true;
		add_kinds();
		add_teams();
		spread_load();
		cell_ = fake_cell_init(&shape_);
		fake_cell_advance(cell_, 1000);
	}

	~Day()
	{
		fake_cell_end(cell_);
	}

	std::string run()
	{
		const unsigned ms = 60000;

		plan_faults();
		for (unsigned t = 0; t < ms; t += 50)
			submit_due(50);
		planned_.clear();
		for (unsigned w = 0; w < shape_.workers; w++)
			fake_cell_set_worker_fault(cell_, w, FAKE_WORKER_OK);
		for (unsigned n = 0; n < shape_.nodes; n++)
			fake_cell_boot(cell_, n);
		fake_cell_advance(cell_, 30000);
		return fake_cell_violations(cell_);
	}

      private:
	unsigned below(unsigned n)
	{
		return static_cast<unsigned>(rand_() % n);
	}

	unsigned between(unsigned a, unsigned b)
	{
		return a + below(b - a + 1);
	}

	/* Thousandths of the workers that a queue's advice admits: about 2 or 3
	 * of them, or a good part. */
	unsigned share()
	{
		return below(2) == 0 ? 3000 / shape_.workers
				     : between(150, 700);
	}

	void add_kinds()
	{
		unsigned slow = below(3); /* of the advice service */

		kinds_ = {
		    {{0, true, 7 + slow * 8, 100 + slow * 2000, share(), 2}, 6,
			4000, 300, 1500, 30, 0, below(100), 90, 0, false, 0},
		    {{1, true, 440, 6200 + slow * 5000, share(), 2}, 16, 7000,
			1500, 10000, 100, 20, below(200), 90, 0, false, 0},
		    {{2, true, 100 + slow * 100, 1400 + slow * 8000, share(),
			 2},
			40, 4000, 800, 5000, 0, 30, below(250), 50, 12, false,
			0},
		    {{2, false, 0, 0, 0, 0}, 8, 12000, 4000, 30000, 10, 20,
			below(100), 50, 0, false, 0},
		    {{1, true, 100, 2000, share(), 3}, 4, 2000, 1000, 2000, 0,
			0, below(100), 0, 50, true, 0},
		};
		for (const Kind &k : kinds_)
			queues_.push_back(k.queue);
		shape_.queues = queues_.data();
		shape_.nqueues = static_cast<unsigned>(queues_.size());
	}

	void add_teams()
	{
		unsigned capacity = shape_.workers * 16000;

		shape_.team_cpu_milli_max = 0;
		teams_ = {{"hot", below(2) == 0 ? 0 : capacity / 3, 1},
		    {"tight", std::max(capacity / between(6, 20), 16000u), 0},
		    {"mid", capacity / between(2, 5), between(1, 20)}};
		shape_.teams = teams_.data();
		shape_.nteams = static_cast<unsigned>(teams_.size());
	}

	/* Jobs a second of each kind, so that all of them use a part of the
	 * cell. */
	void spread_load()
	{
		double part = 0.2 + below(90) / 100.0;
		double weights = 0;
		std::vector<double> w;

		for (const Kind &k : kinds_) {
			w.push_back(k.lasting ? 0.0 : 1.0 + below(5));
			weights += w.back();
		}
		for (size_t i = 0; i < kinds_.size(); i++) {
			Kind &k = kinds_[i];
			double cpu_seconds = (1 + k.tasks_max) / 2.0 *
					     (500 + k.cpu_max) / 2000.0 *
					     (k.run_min + k.run_max) / 2000.0 *
					     (1 + k.two_steps_percent / 100.0);

			k.jobs_per_s = k.lasting
					   ? 0.05
					   : part * shape_.workers * 16 * w[i] /
						 weights / cpu_seconds;
			k.jobs_per_s = std::min(k.jobs_per_s, 15.0);
		}
	}

	/* Reduces a step that the workers admitted could not run. */
	void make_feasible(const Kind &k, struct fake_step &s) const
	{
		unsigned admitted =
		    k.queue.advice ? std::max(shape_.workers *
						  k.queue.admit_permille / 1000,
					 k.queue.admit_min)
				   : shape_.workers;
		unsigned most = admitted * (16000 / s.cpu_milli) / 2;

		if (s.gang)
			s.count = std::min(s.count, std::max(most, 1u));
		if (s.worker_max > 0)
			s.count = std::min(s.count, std::max(admitted / 2, 1u));
	}

	struct fake_step make_step(const Kind &k)
	{
		struct fake_step s = {};
		unsigned off = k.declared_off_percent;

		s.count = between(1, k.tasks_max);
		s.cpu_milli = between(500, k.cpu_max);
		s.run_ms = between(k.run_min, k.run_max);
		s.estimate_ms = s.run_ms * between(100 - off, 100 + off) / 100;
		s.after = -1;
		s.gang = below(100) < k.gang_percent;
		s.fail_permille =
		    s.gang ? k.fail_permille / s.count : k.fail_permille;
		s.checkpoints = below(2) == 0;
		s.lasting = k.lasting;
		s.worker_max = below(100) < k.apart_percent ? 1 : 0;
		make_feasible(k, s);
		return s;
	}

	void submit(size_t kind)
	{
		static const char *const keys[] = {
		    "key-one", "key-hot", "key-hot", "key-tight", "key-mid"};
		const Kind &k = kinds_[kind];
		struct fake_step s[2];
		size_t n = below(100) < k.two_steps_percent ? 2 : 1;
		unsigned node = below(shape_.nodes);
		char id[17];

		for (size_t i = 0; i < n; i++)
			s[i] = make_step(k);
		s[1].after = 0;
		snprintf(id, sizeof id, "%016x", ++last_job_);
		fake_cell_set_queue(cell_, static_cast<unsigned>(3 + kind));
		fake_cell_submit(cell_, node, id, keys[below(5)], s, n);
	}

	void submit_due(unsigned ms)
	{
		for (size_t i = 0; i < kinds_.size(); i++) {
			double rate = kinds_[i].jobs_per_s * ms / 1000;
			unsigned n = static_cast<unsigned>(rate);

			n += below(1000000) < (rate - n) * 1000000;
			for (; n > 0; n--)
				submit(i);
		}
		advance(ms);
	}

	void advance(unsigned ms)
	{
		ogl_time end = fake_cell_now(cell_) + ms * OGL_MS;

		while (!planned_.empty() && planned_.begin()->first <= end) {
			auto first = planned_.begin();
			std::function<void()> action = first->second;

			advance_to(first->first);
			planned_.erase(first);
			action();
		}
		advance_to(end);
	}

	void advance_to(ogl_time t)
	{
		ogl_time now = fake_cell_now(cell_);

		if (t > now)
			fake_cell_advance(
			    cell_, static_cast<uint32_t>((t - now) / OGL_MS));
	}

	void plan(unsigned at_ms, std::function<void()> action)
	{
		planned_.emplace(fake_cell_now(cell_) + at_ms * OGL_MS, action);
	}

	void plan_restart(unsigned at_ms, unsigned node)
	{
		plan(at_ms, [=] { fake_cell_kill(cell_, node); });
		plan(at_ms + 500, [=] { fake_cell_boot(cell_, node); });
	}

	void plan_faults()
	{
		switch (fault_) {
		case OWNER_KILLED:
			plan(20000, [=] {
				int owner = fake_cell_owner(cell_, 0);

				if (owner >= 0)
					fake_cell_kill(cell_,
					    static_cast<unsigned>(owner));
			});
			break;
		case ROLLING_RESTART:
			for (unsigned i = 0; i < shape_.nodes; i++)
				plan_restart(3000 + i * 8000, i);
			break;
		case WORKERS_FAIL:
			for (unsigned i = between(1, 4); i > 0; i--)
				plan_worker(4000, below(shape_.workers),
				    below(2) == 0 ? FAKE_WORKER_FAILING
						  : FAKE_WORKER_FLAKY);
			break;
		case WORKERS_CRASH:
			for (unsigned i = 0; i < 4; i++)
				plan_crashes(4000 + i * 14000);
			break;
		default:
			break;
		}
	}

	void plan_worker(
	    unsigned at_ms, unsigned worker, enum fake_worker_fault fault)
	{
		plan(at_ms,
		    [=] { fake_cell_set_worker_fault(cell_, worker, fault); });
	}

	void plan_crashes(unsigned at_ms)
	{
		for (unsigned i = between(1, shape_.workers / 4); i > 0; i--) {
			unsigned w = below(shape_.workers);

			plan_worker(at_ms, w, FAKE_WORKER_CRASHED);
			plan_worker(
			    at_ms + between(300, 3000), w, FAKE_WORKER_OK);
		}
	}

	std::mt19937 rand_;
	Fault fault_;
	struct fake_cell_params shape_ = {};
	std::vector<Kind> kinds_;
	std::vector<struct fake_queue> queues_;
	std::vector<struct fake_team> teams_;
	struct fake_cell *cell_ = nullptr;
	unsigned last_job_ = 0;
	std::multimap<ogl_time, std::function<void()>> planned_;
};

std::string
run_day(unsigned seed)
{
	return Day(seed, 0).run();
}

std::string
run_large_day(unsigned seed)
{
	return Day(seed, 350).run();
}

unsigned
from_env(const char *name, unsigned default_value)
{
	const char *t = getenv(name);

	return t != nullptr ? static_cast<unsigned>(atoi(t)) : default_value;
}

/* Guards against accepted jobs that wait although admitted workers have room
 * and their teams may use it. */
TEST(CellStarved, NoJobWaitsBesideRoom)
{
	unsigned one = from_env("OGL_STARVED_SEED", 0);
	unsigned seeds = one != 0 ? 1 : from_env("OGL_STARVED_SEEDS", 4);
	unsigned first = from_env("OGL_STARVED_FIRST", 2027);

	for (unsigned i = 0; i < seeds; i++) {
		unsigned seed = one != 0 ? one : first + i;
		EXPECT_EQ("", run_in_fresh_process(run_day, seed))
		    << "OGL_STARVED_SEED=" << seed;
	}
}

/* The same with 350 workers. */
TEST(CellStarved, NoJobWaitsBesideRoomInLargeCell)
{
	unsigned one = from_env("OGL_STARVED_LARGE_SEED", 0);
	unsigned seeds = one != 0 ? 1 : from_env("OGL_STARVED_LARGE_SEEDS", 1);
	unsigned first = from_env("OGL_STARVED_FIRST", 2027);

	for (unsigned i = 0; i < seeds; i++) {
		unsigned seed = one != 0 ? one : first + i;
		EXPECT_EQ("", run_in_fresh_process(run_large_day, seed))
		    << "OGL_STARVED_LARGE_SEED=" << seed;
	}
}

} // namespace
