// Placement: scripts against expected answers, and random operations against a
// simple model that examines every worker.
#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "orioleglade.h"

namespace
{

// Runs the commands of a script; a line `= text` is the expected answer of the
// command before it.
class Script
{
	struct ogl_place *p = ogl_place_init(7);
	std::map<std::string, uint32_t> numbers;
	std::vector<std::string> names;
	ogl_time now = OGL_SEC;

	static struct ogl_demand read_ask(std::istringstream &in)
	{
		static const std::map<std::string, Ogl__Kind> kinds = {
		    {"batch", OGL__KIND__batch},
		    {"service", OGL__KIND__service}, {"gang", OGL__KIND__gang}};
		std::string kind;
		struct ogl_demand a = {};

		in >> kind >> a.job >> a.res.cpu_milli >> a.res.mem_mb >>
		    a.res.accel;
		a.kind = kinds.at(kind);
		return a;
	}

	void worker(std::istringstream &in)
	{
		std::string name, zone, rack;
		struct ogl_res r;

		in >> name >> r.cpu_milli >> r.mem_mb >> r.accel >> zone >>
		    rack;
		uint32_t w = ogl_place_worker(
		    p, name.c_str(), &r, zone.c_str(), rack.c_str());
		ogl_place_set_state(p, w, OGL_PLACE_SCHEDULABLE);
		numbers[name] = w;
		if (names.size() <= w)
			names.resize(w + 1);
		names[w] = name;
	}

	std::string gang(std::istringstream &in)
	{
		uint32_t n;
		in >> n;
		struct ogl_demand a = read_ask(in);
		std::vector<uint32_t> w(n);
		std::map<std::string, int> on;
		std::string out;

		if (!ogl_place_gang(p, &a, n, now, w.data()))
			return "none";
		for (uint32_t i : w)
			on[names[i]]++;
		for (auto &e : on)
			out += (out.empty() ? "" : " ") + e.first + ":" +
			       std::to_string(e.second);
		return out;
	}

	std::string feasible(std::istringstream &in)
	{
		uint32_t n;
		in >> n;
		struct ogl_demand a = read_ask(in);

		switch (ogl_place_feasibility(p, &a, n)) {
		case OGL_INFEASIBLE_NO_WORKER:
			return "no worker";
		case OGL_INFEASIBLE_GANG_TOTAL:
			return "too many";
		default:
			return "can run";
		}
	}

	std::string reserve(std::istringstream &in)
	{
		uint32_t n, secs;
		in >> n >> secs;
		struct ogl_demand a = read_ask(in);

		return ogl_place_reserve(
			   p, a.job, &a, n, now + secs * OGL_SEC, now)
			   ? "yes"
			   : "no";
	}

      public:
	~Script()
	{
		ogl_place_end(p);
	}

	std::string run(const std::string &line)
	{
		std::istringstream in(line);
		std::string cmd, name, word;
		uint64_t job;
		uint32_t w;

		in >> cmd;
		if (cmd == "worker") {
			worker(in);
		} else if (cmd == "task") {
			struct ogl_demand a = read_ask(in);
			return ogl_place_task(p, &a, now, &w) ? names[w]
							      : "none";
		} else if (cmd == "gang") {
			return gang(in);
		} else if (cmd == "feasible") {
			return feasible(in);
		} else if (cmd == "reserve") {
			return reserve(in);
		} else if (cmd == "unreserve") {
			in >> job;
			ogl_place_unreserve(p, job);
		} else if (cmd == "free") {
			in >> name;
			struct ogl_demand a = read_ask(in);
			ogl_place_free(p, numbers.at(name), &a);
		} else if (cmd == "hold") {
			in >> name;
			struct ogl_demand a = read_ask(in);
			return ogl_place_hold(p, numbers.at(name), &a) ? "yes"
								       : "no";
		} else if (cmd == "result") {
			int times = 1;
			in >> name >> job >> word >> times;
			for (int i = 0; i < MAX(times, 1); i++)
				ogl_place_task_ended(p, numbers.at(name), job,
				    word == "ok", now);
		} else if (cmd == "time") {
			in >> job;
			now += (ogl_time)job * OGL_SEC;
		} else if (cmd == "close" || cmd == "open") {
			in >> name;
			ogl_place_set_state(p, numbers.at(name),
			    cmd == "open" ? OGL_PLACE_SCHEDULABLE
					  : OGL_PLACE_UNSCHEDULABLE);
		} else if (cmd == "drop") {
			in >> name;
			ogl_place_remove_worker(p, numbers.at(name));
		} else if (cmd == "room") {
			struct ogl_res t, h;
			ogl_place_totals(p, &t, &h);
			return std::to_string(h.cpu_milli) + "/" +
			       std::to_string(t.cpu_milli);
		} else {
			return "unknown command";
		}
		return "";
	}
};

void
run_script(const std::string &name)
{
	std::ifstream f(std::string(OGL_TEST_DIR) + "/scripts/" + name);
	std::string line, answer;
	Script s;
	int n = 0, checked = 0;

	ASSERT_TRUE(f.good()) << name;
	while (std::getline(f, line)) {
		n++;
		if (line.empty() || line[0] == '#')
			continue;
		if (line[0] != '=') {
			answer = s.run(line);
			continue;
		}
		EXPECT_EQ(line.substr(2), answer) << name << ":" << n;
		checked++;
	}
	EXPECT_GT(checked, 0) << name;
}

// A worker of the simple model.
struct ModelWorker {
	struct ogl_res capacity, held;
	bool open;
};

struct ogl_res
free_room(const ModelWorker &w)
{
	struct ogl_res r = w.capacity;

	ogl_res_sub(&r, &w.held);
	return r;
}

uint64_t
count_fits(const std::vector<ModelWorker> &workers, const struct ogl_res &need)
{
	uint64_t sum = 0;

	for (const ModelWorker &w : workers) {
		struct ogl_res room = free_room(w);
		for (; w.open && ogl_res_fits(&need, &room); sum++)
			ogl_res_sub(&room, &need);
	}
	return sum;
}

class Random
{
	std::mt19937 g;

      public:
	explicit Random(unsigned seed) : g(seed)
	{
	}
	uint32_t below(uint32_t n)
	{
		return g() % n;
	}
	struct ogl_demand ask()
	{
		static const Ogl__Kind kinds[] = {
		    OGL__KIND__batch, OGL__KIND__service, OGL__KIND__gang};
		struct ogl_demand a = {};

		a.kind = kinds[below(3)];
		a.res.cpu_milli = 50 << below(9);
		a.res.mem_mb = 100 + below(1u << (8 + below(8)));
		a.res.accel = below(10) == 0 ? 1 + below(4) : 0;
		a.job = below(40);
		return a;
	}
};

struct Held {
	uint32_t w;
	struct ogl_demand ask;
};

// Checks that the worker chosen had room for the task, and records the task.
void
hold_checked(std::vector<ModelWorker> &workers, std::vector<Held> &held,
    uint32_t w, const struct ogl_demand &a)
{
	ASSERT_LT(w, workers.size());
	struct ogl_res room = free_room(workers[w]);
	ASSERT_TRUE(workers[w].open);
	ASSERT_TRUE(ogl_res_fits(&a.res, &room));
	ogl_res_add(&workers[w].held, &a.res);
	held.push_back({w, a});
}

// Random operations on a cell, checked against the simple model.
class RandomRun
{
	Random r;
	struct ogl_place *p;
	std::vector<ModelWorker> workers;
	std::vector<Held> held;
	struct ogl_demand reserved = {};
	uint32_t reserved_tasks = 0; // 0 without a reservation

	void add(uint32_t i)
	{
		struct ogl_res c = {4000u << r.below(3), 16384u << r.below(3),
		    r.below(4) == 0 ? 8u : 0u};
		std::string n = "w" + std::to_string(i);
		std::string rack = "r" + std::to_string(i / 8);
		std::string zone = "z" + std::to_string(i / 20);
		ASSERT_EQ(i, ogl_place_worker(
				 p, n.c_str(), &c, zone.c_str(), rack.c_str()));
		ogl_place_set_state(p, i, OGL_PLACE_SCHEDULABLE);
		workers[i] = {c, {}, true};
	}

	// While room is reserved for a gang, other work may find less.
	void check(bool found, bool fits, bool own)
	{
		if (reserved_tasks == 0 || own)
			ASSERT_EQ(fits, found);
		else
			ASSERT_TRUE(fits || !found);
	}

	void task(ogl_time now)
	{
		struct ogl_demand a = r.ask();
		uint32_t w = 0;
		bool found = ogl_place_task(p, &a, now, &w);

		check(found, count_fits(workers, a.res) > 0, false);
		if (found)
			hold_checked(workers, held, w, a);
	}

	void gang(ogl_time now)
	{
		struct ogl_demand a = r.ask();
		uint32_t n = 1 + r.below(30);
		bool own = reserved_tasks > 0 && r.below(2) == 0;

		if (own) {
			a = reserved;
			n = reserved_tasks;
		}
		std::vector<uint32_t> at(n);
		bool found = ogl_place_gang(p, &a, n, now, at.data());
		check(found, count_fits(workers, a.res) >= n, own);
		for (uint32_t i = 0; found && i < n; i++)
			hold_checked(workers, held, at[i], a);
		if (found && own)
			reserved_tasks = 0;
	}

	void reserve(ogl_time now)
	{
		ogl_place_unreserve(p, reserved.job);
		reserved_tasks = 0;
		if (r.below(2) == 0)
			return;
		reserved = r.ask();
		reserved.job = 1000;
		uint32_t n = 1 + r.below(30);
		if (ogl_place_reserve(
			p, 1000, &reserved, n, now + OGL_SEC, now))
			reserved_tasks = n;
	}

	void free_one()
	{
		uint32_t i = r.below(held.size());

		ogl_place_free(p, held[i].w, &held[i].ask);
		ogl_res_sub(&workers[held[i].w].held, &held[i].ask.res);
		held[i] = held.back();
		held.pop_back();
	}

	void drop()
	{
		uint32_t w = r.below(workers.size());

		ogl_place_remove_worker(p, w);
		for (size_t i = held.size(); i-- > 0;) {
			if (held[i].w != w)
				continue;
			held[i] = held.back();
			held.pop_back();
		}
		add(w);
	}

	void toggle()
	{
		uint32_t w = r.below(workers.size());

		workers[w].open = !workers[w].open;
		ogl_place_set_state(p, w,
		    workers[w].open ? OGL_PLACE_SCHEDULABLE
				    : OGL_PLACE_UNSCHEDULABLE);
	}

      public:
	explicit RandomRun(unsigned seed)
	    : r(seed), p(ogl_place_init(seed)), workers(60)
	{
		for (uint32_t i = 0; i < workers.size(); i++)
			add(i);
	}

	~RandomRun()
	{
		ogl_place_end(p);
	}

	void step(ogl_time now)
	{
		uint32_t what = r.below(400);

		if (what < 200)
			task(now);
		else if (what < 240)
			gang(now);
		else if (what < 380 && !held.empty())
			free_one();
		else if (what < 394)
			toggle();
		else if (what < 398)
			reserve(now);
		else
			drop();
	}
};

} // namespace

TEST(Place, RandomRunsAgreeWithExhaustiveModel)
{
	for (unsigned seed = 1; seed <= 8; seed++) {
		RandomRun run(seed);
		for (int i = 0; i < 4000 && !HasFatalFailure(); i++)
			run.step(i);
	}
}

TEST(Place, KindsFollowTheirPolicies)
{
	run_script("place_kinds.txt");
}

TEST(Place, GangsGetAllOrNothing)
{
	run_script("place_gangs.txt");
}

// A large gang waits in a full cell.  Smaller tasks take all room that falls
// free, so without a reservation the gang never starts.  A reservation without
// a deadline would leave room idle for a gang that is no longer tried.
TEST(Place, ReservationKeepsRoomUntilItsDeadline)
{
	run_script("place_reserve.txt");
}

// A worker with a broken disk ends every task at once with an error.  It is
// always empty, so it is given most new tasks, and many jobs fail.  A job with
// a fault of its own fails on every worker, and must not get the workers
// quarantined.
TEST(Place, BrokenWorkerIsQuarantinedAndWorkersOfFailingJobAreNot)
{
	run_script("place_quarantine.txt");
}

TEST(Place, InfeasibleJobsAreReported)
{
	run_script("place_feasible.txt");
}

// A tenth of all tasks fail at random, one job fails on every worker, and one
// worker fails nearly everything it starts.  Tasks fail on the broken worker
// until it is quarantined; the other workers must not be.
TEST(Place, RandomFailuresDoNotQuarantineWorkers)
{
	struct ogl_place *p = ogl_place_init(3);
	struct ogl_res c = {16000, 65536, 0}, total, held;
	const uint32_t broken = 7, n = 50;
	std::mt19937 g(11);
	int on_broken = 0;

	for (uint32_t i = 0; i < n; i++) {
		ogl_place_worker(
		    p, ("w" + std::to_string(i)).c_str(), &c, "z", "r");
		ogl_place_set_state(p, i, OGL_PLACE_SCHEDULABLE);
	}
	for (int i = 0; i < 20000; i++) {
		struct ogl_demand a = {
		    OGL__KIND__batch, {1000, 1024, 0}, g() % 60};
		uint32_t w;
		ASSERT_TRUE(ogl_place_task(p, &a, i * OGL_MS, &w));
		// Real tasks run on, and so spread over all workers.
		uint32_t on = (w + g()) % n;
		ogl_place_free(p, w, &a);
		if (on == broken)
			ogl_place_totals(p, &total, &held);
		if (on == broken && total.cpu_milli < n * 16000)
			continue;
		on_broken += on == broken;
		bool ok = a.job != 1 && g() % 10 != 0 &&
			  (on != broken || g() % 20 == 0);
		ogl_place_task_ended(p, on, a.job, ok, i * OGL_MS);
	}
	ogl_place_totals(p, &total, &held);
	EXPECT_EQ((n - 1) * 16000, total.cpu_milli);
	EXPECT_LT(on_broken, 15);
	ogl_place_end(p);
}
