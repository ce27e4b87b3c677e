// Tests the order of waiting work by scripts with expected output.
//
// A script (test/scripts/queue_*.txt) has one command per line; lines that
// begin with `> ` are the expected output.  Commands:
//
//	team PATH SHARE            at MS
//	push ID TEAM LABEL KIND [RUN_MS [SINCE_MS]]
//	pop | back ID | again | remove ID | start ID | end ID [failed]
//	length | wait
//	cell SLOTS                 slots that `run` and `chain` use
//	burst N FIRST_ID TEAM LABEL KIND RUN_MS    `%` in LABEL: 0 to N-1
//	chain N FIRST_ID TEAM LABEL KIND RUN_MS    each pushed RUN_MS later
//	run MS                     starts and ends work until the time MS
//	served                     each team's part of the service so far
//	longest TEAM LABEL         longest wait before a start, in seconds
#include <gtest/gtest.h>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <string>

#include "orioleglade.h"
extern "C" {
#include "queue.h"
#include "queue_split.h"
}

namespace
{

struct Work {
	std::string team, label;
	Ogl__Kind kind;
	ogl_time run, since, started_at;
};

class Script
{
      public:
	Script() : q(ogl_queue_init(&ogl_queue_learned, 1))
	{
	}
	~Script()
	{
		ogl_queue_end(q);
	}
	void command(const std::string &line);
	std::string out;

      private:
	struct ogl_queue *q;
	ogl_time now = 0;
	long slots = 0;
	std::map<uint64_t, Work> works;
	std::set<std::pair<ogl_time, uint64_t>> running;
	std::map<std::string, double> service;
	std::map<std::string, ogl_time> longest_wait;

	void print(const std::string &s)
	{
		out += s + "\n";
	}
	void push(uint64_t id, const Work &w);
	bool pop(uint64_t *id);
	void start(uint64_t id);
	void end(uint64_t id, bool ok);
	void run(ogl_time until);
	void charge(const Work &w);
	void served();
	void queue_command(const std::string &verb, std::istringstream &in);
	void cell_command(const std::string &verb, std::istringstream &in);
};

Ogl__Kind
kind_of(const std::string &s)
{
	const ProtobufCEnumValue *v =
	    protobuf_c_enum_descriptor_get_value_by_name(
		&ogl__kind__descriptor, s.c_str());

	EXPECT_NE(nullptr, v) << s;
	return v != nullptr ? static_cast<Ogl__Kind>(v->value)
			    : OGL__KIND__batch;
}

void
Script::push(uint64_t id, const Work &w)
{
	struct ogl_work work = {};

	work.id = id;
	work.team = w.team.c_str();
	work.label = w.label.c_str();
	work.kind = w.kind;
	work.tasks = 1;
	work.res.cpu_milli = 1000;
	work.waiting_since = w.since;
	works[id] = w;
	ogl_queue_push(q, &work, now);
}

bool
Script::pop(uint64_t *id)
{
	struct ogl_work w;

	if (!ogl_queue_pop(q, now, &w))
		return false;
	EXPECT_EQ(works[w.id].team, w.team);
	EXPECT_EQ(works[w.id].label, w.label);
	*id = w.id;
	return true;
}

void
Script::start(uint64_t id)
{
	struct ogl_work work = {};
	Work &w = works[id];

	work.id = id;
	work.team = w.team.c_str();
	work.label = w.label.c_str();
	work.kind = w.kind;
	work.tasks = 1;
	work.res.cpu_milli = 1000;
	work.waiting_since = w.since;
	w.started_at = now;
	ogl_time &l = longest_wait[w.team + " " + w.label];
	l = std::max(l, now - w.since);
	ogl_queue_started(q, &work, now);
	running.insert({now + w.run, id});
}

void
Script::charge(const Work &w)
{
	service[w.team] += static_cast<double>(now - w.started_at);
}

void
Script::end(uint64_t id, bool ok)
{
	charge(works[id]);
	running.erase({works[id].started_at + works[id].run, id});
	ogl_queue_ended(q, id, ok, now);
}

void
Script::run(ogl_time until)
{
	uint64_t id;

	for (;;) {
		while (static_cast<long>(running.size()) < slots && pop(&id))
			start(id);
		if (running.empty() || running.begin()->first > until)
			break;
		now = running.begin()->first;
		end(running.begin()->second, true);
	}
	now = until;
}

void
Script::served()
{
	std::map<std::string, double> s = service;
	double all = 0;

	for (auto &r : running)
		s[works[r.second].team] +=
		    static_cast<double>(now - works[r.second].started_at);
	for (auto &t : s)
		all += t.second;
	for (auto &t : s)
		print(t.first + " " +
		      std::to_string(std::lround(100 * t.second / all)) + "%");
}

void
Script::queue_command(const std::string &verb, std::istringstream &in)
{
	uint64_t id = 0;
	std::string word;

	if (verb == "pop") {
		print(pop(&id) ? "pop " + std::to_string(id) : "pop nothing");
	} else if (verb == "again") {
		ogl_queue_retry_deferred(q, now);
	} else if (verb == "length") {
		print("length " + std::to_string(ogl_queue_length(q)));
	} else if (verb == "wait") {
		print("wait " + std::to_string(ogl_queue_wait_ms(q, now)));
	} else {
		in >> id >> word;
		if (verb == "back")
			ogl_queue_defer(q, id, now);
		else if (verb == "remove")
			print(ogl_queue_remove(q, id) ? "removed"
						      : "not waiting");
		else if (verb == "start")
			start(id);
		else if (verb == "end")
			end(id, word != "failed");
		else
			FAIL() << "unknown command " << verb;
	}
}

void
Script::cell_command(const std::string &verb, std::istringstream &in)
{
	std::string team, label, kind;
	double share;
	uint64_t id, n = 1;
	ogl_time ms = 0, since = -1;

	if (verb == "team") {
		in >> team >> share;
		ogl_queue_set_share(q, team.c_str(), share);
	} else if (verb == "at") {
		in >> ms;
		now = ms * OGL_MS;
	} else if (verb == "cell") {
		in >> slots;
	} else if (verb == "run") {
		in >> ms;
		run(ms * OGL_MS);
	} else if (verb == "served") {
		served();
	} else if (verb == "longest") {
		in >> team >> label;
		print(
		    "longest " +
		    std::to_string(longest_wait[team + " " + label] / OGL_SEC));
	} else if (verb == "push") {
		in >> id >> team >> label >> kind;
		if (in >> ms)
			in >> since;
		push(id, {team, label, kind_of(kind), ms * OGL_MS,
			     since >= 0 ? since * OGL_MS : now, 0});
	} else if (verb == "burst") {
		in >> n >> id >> team >> label >> kind >> ms;
		for (uint64_t i = 0; i < n; i++) {
			std::string l = label;
			if (l.find('%') != std::string::npos)
				l.replace(l.find('%'), 1, std::to_string(i));
			push(id + i,
			    {team, l, kind_of(kind), ms * OGL_MS, now, 0});
		}
	} else if (verb == "chain") {
		in >> n >> id >> team >> label >> kind >> ms;
		for (uint64_t i = 0; i < n; i++) {
			push(id + i,
			    {team, label, kind_of(kind), ms * OGL_MS, now, 0});
			run(now + ms * OGL_MS);
		}
	} else {
		queue_command(verb, in);
	}
}

void
Script::command(const std::string &line)
{
	std::istringstream in(line);
	std::string verb;

	if (in >> verb)
		cell_command(verb, in);
}

void
run_script(const std::filesystem::path &path)
{
	std::ifstream in(path);
	std::string line, expected;
	Script s;

	while (std::getline(in, line)) {
		if (line.rfind("> ", 0) == 0)
			expected += line.substr(2) + "\n";
		else if (line.rfind("#", 0) != 0)
			s.command(line);
	}
	EXPECT_EQ(expected, s.out) << path;
	EXPECT_FALSE(expected.empty()) << path;
}

std::vector<std::string>
scripts()
{
	std::vector<std::string> names;

	for (auto &e :
	    std::filesystem::directory_iterator(OGL_TEST_DIR "/scripts")) {
		std::string stem = e.path().stem();
		if (stem.rfind("queue_", 0) == 0)
			names.push_back(stem);
	}
	std::sort(names.begin(), names.end());
	return names;
}

class QueueScript : public testing::TestWithParam<std::string>
{
};

TEST_P(QueueScript, GivesExpectedOutput)
{
	run_script(std::filesystem::path(OGL_TEST_DIR "/scripts") /
		   (GetParam() + ".txt"));
}

INSTANTIATE_TEST_SUITE_P(Scripts, QueueScript, testing::ValuesIn(scripts()),
    [](const testing::TestParamInfo<std::string> &i) { return i.param; });

// More than half of the service goes to short work, some to long work and a
// little in between.  If the boundary were a fixed part of the service, or too
// high, either no work or long work would overtake other teams.
TEST(Queue, SplitsShortFromLongAtTheGap)
{
	const double service[10] = {0, 0, 40, 20, 0, 0, 0, 1, 30, 9};
	const double one[10] = {0, 0, 0, 5, 0, 0, 0, 0, 0, 0};
	struct ogl_queue_split split = {0, 0};

	EXPECT_FALSE(ogl_queue_split(one, 10, &split));
	ASSERT_TRUE(ogl_queue_split(service, 10, &split));
	EXPECT_EQ(3u, split.short_level);
	EXPECT_NEAR(8.2, split.long_mean_level, 0.01);
}

// Random calls, compared with a simple model of the waiting work.  Every item
// must be popped exactly once, even if the caller loses or repeats work or
// calls in an unusual order.
TEST(Queue, HoldsEachPieceExactlyOnce)
{
	struct ogl_queue *q = ogl_queue_init(&ogl_queue_learned, 5);
	std::set<uint64_t> waiting, deferred, running;
	std::map<uint64_t, ogl_time> since;
	uint64_t state = 1, id = 0;
	ogl_time now = OGL_SEC;

	auto draw = [&state](uint64_t n) {
		state = state * 6364136223846793005u + 1442695040888963407u;
		return (state >> 33) % n;
	};
	for (int step = 0; step < 50000; step++) {
		std::string team = "org/" + std::to_string(draw(7));
		std::string label = std::to_string(draw(200));
		struct ogl_work w = {};
		uint64_t op = draw(10);

		now += static_cast<ogl_time>(draw(20000));
		if (op < 4) {
			w.id = ++id;
			w.team = team.c_str();
			w.label = label.c_str();
			w.kind = static_cast<Ogl__Kind>(draw(4));
			w.res.cpu_milli = static_cast<uint32_t>(draw(4000));
			w.waiting_since =
			    now - static_cast<ogl_time>(draw(OGL_SEC));
			ogl_queue_push(q, &w, now);
			waiting.insert(id);
			since[id] = w.waiting_since;
		} else if (op < 8) {
			bool got = ogl_queue_pop(q, now, &w);
			ASSERT_EQ(!waiting.empty(), got);
			if (!got)
				continue;
			ASSERT_EQ(1u, waiting.erase(w.id));
			if (draw(3) == 0) {
				ogl_queue_defer(q, w.id, now);
				deferred.insert(w.id);
			} else {
				ogl_queue_started(q, &w, now);
				running.insert(w.id);
			}
		} else if (op == 8 && id != 0) {
			uint64_t k = 1 + draw(id);
			bool had = waiting.erase(k) + deferred.erase(k) != 0;
			ASSERT_EQ(had, ogl_queue_remove(q, k));
		} else if (!running.empty()) {
			ogl_queue_ended(q, *running.begin(), draw(2), now);
			running.erase(running.begin());
			ogl_queue_retry_deferred(q, now);
			waiting.insert(deferred.begin(), deferred.end());
			deferred.clear();
		}
		ASSERT_EQ(
		    waiting.size() + deferred.size(), ogl_queue_length(q));
	}
	ogl_time oldest = now;
	for (const auto &set : {waiting, deferred})
		for (uint64_t k : set)
			oldest = std::min(oldest, since[k]);
	EXPECT_EQ(static_cast<uint64_t>((now - oldest) / OGL_MS),
	    ogl_queue_wait_ms(q, now));
	ogl_queue_end(q);
}

} // namespace
