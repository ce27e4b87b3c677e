/* `oriolectl losses` on log lines of several nodes. */

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <sstream>

#include "fake_cell.h"
#include "logsample.h"

namespace
{

std::string
losses_of_file(const std::string &path, int *status)
{
	std::string out;
	char buf[4096];
	FILE *p = popen(
	    (OGL_BIN_DIR "/oriolectl losses " + path + " 2>&1").c_str(), "r");

	while (fgets(buf, sizeof buf, p) != nullptr)
		out += buf;
	*status = pclose(p) >> 8;
	return out;
}

std::string
losses(const std::string &lines, int *status)
{
	std::string path = testing::TempDir() + "losses.log";

	std::ofstream(path) << lines;
	return losses_of_file(path, status);
}

/* Sum of the numbers after a word, over the lines that begin with `head`. */
int
sum_after(const std::string &out, const std::string &head, std::string word)
{
	std::istringstream lines(out);
	std::string l;
	int sum = 0;

	word = "  " + word + " ";
	while (std::getline(lines, l)) {
		if (l.rfind(head, 0) == 0 && l.find(word) != std::string::npos)
			sum += std::stoi(l.substr(l.find(word) + word.size()));
	}
	return sum;
}

std::string
accepted(const std::string &id, const std::string &ts, int over_rate)
{
	return "ts=" + ts + " node=a part=owner event=job_accepted job=" + id +
	       " queue=q chain_ms=1000 over_rate=" + std::to_string(over_rate) +
	       " objective_ms=2000\n";
}

std::string
ended(const std::string &id, const std::string &ts, const std::string &state)
{
	return "ts=" + ts + " node=a part=owner event=job_ended job=" + id +
	       " state=" + state + " why=x\n";
}

std::string
waits(const std::string &id, const std::string &ts, const std::string &why)
{
	return "ts=" + ts + " node=a part=owner event=stage_waits job=" + id +
	       " task=0.0 why=" + why + "\n";
}

TEST(Losses, CountsLateJobsByMainReason)
{
	int status;
	std::string out = losses(
	    accepted("1", "10.0", 0) + ended("1", "11.5", "completed") +
		accepted("2", "10.0", 0) + waits("2", "10.0", "advice") +
		waits("2", "10.4", "limit") + waits("2", "12.0", "not") +
		ended("2", "13.0", "completed") + accepted("3", "21.0", 0) +
		"ts=24.0 node=a part=owner event=run_ended job=3 task=0.0.0 "
		"how=failed age_ms=3000\n" +
		ended("3", "29.0", "completed") + accepted("4", "21.0", 1) +
		ended("4", "99.0", "completed") + accepted("5", "22.0", 0) +
		accepted("6", "22.0", 0) + ended("6", "22.5", "cancelled") +
		"not a log line\n",
	    &status);

	EXPECT_EQ(0, status);
	EXPECT_EQ("queue q:  in-time 1  late 1  too-late 1  open 1  cancelled 1"
		  "  beyond-rate 1\n"
		  "  open 5: not tried since it was accepted, 77.0 s\n"
		  "  mostly for:  limit 1  other 1\n"
		  "  ms a late job:  limit 800  advice 200  failed-runs 1500"
		  "  other 2000\n"
		  "    from    0 s:  limit 1\n"
		  "    from   10 s:  other 1\n",
	    out);
}

/* The owner is lost while a step waits: the reason stays in effect until the
 * next owner logs one. */
TEST(Losses, WaitGoesOnAcrossOwnerChange)
{
	int status;
	std::string out = losses(
	    accepted("1", "10.0", 0) + waits("1", "10.0", "store") +
		waits("1", "12.0", "settle") + waits("1", "12.5", "not") +
		ended("1", "13.5", "completed"),
	    &status);

	EXPECT_NE(std::string::npos, out.find("store 2000  settle 500"));
}

TEST(Losses, ReportsRunsLongerThanDeclared)
{
	int status;
	std::string run =
	    " node=a part=owner event=run_ended job=1 how=done task=";
	std::string out =
	    losses("ts=10.5 node=a part=owner event=job_accepted "
		   "job=1 queue=q chain_ms=1000 over_rate=0 "
		   "objective_ms=2000 store_ms=500\n"
		   "ts=11.5" +
		       run + "0.0.1 age_ms=900\nts=12.0" + run +
		       "0.0.2 age_ms=1400\nts=13.0" + run +
		       "0.1.0 age_ms=800\n" + ended("1", "13.0", "completed"),
		&status);

	EXPECT_NE(std::string::npos,
	    out.find("ms a late job:  store 500  long-runs 1200  other 300"));
}

/* Declared run times may be far off.  The objective in the line of the job's
 * end, computed from measured run times, must replace the declared one. */
TEST(Losses, UsesObjectiveOfJobEnd)
{
	int status;
	std::string out =
	    losses(accepted("1", "10.0", 0) +
		       "ts=13.0 node=a part=owner event=job_ended job=1 "
		       "state=completed why=x chain_ms=2400 "
		       "objective_ms=4800\n" +
		       accepted("2", "10.0", 0) +
		       "ts=11.5 node=a part=owner event=job_ended job=2 "
		       "state=completed why=x chain_ms=300 objective_ms=600\n",
		&status);

	EXPECT_NE(std::string::npos, out.find("in-time 1  late 1"));
	EXPECT_NE(std::string::npos, out.find("other 1200"));
}

/* Guards against open jobs that are reported without what they are doing, and
 * against lost members of a gang that count once each. */
TEST(Losses, TellsWhatOpenJobsDo)
{
	int status;
	std::string out_id = "x", in_id = "y", o = "part=owner event=";

	while (ogl_logsample_position(ogl_str(out_id.c_str())) < 500)
		out_id += "x";
	while (ogl_logsample_position(ogl_str(in_id.c_str())) >= 500)
		in_id += "y";
	std::string out = losses(
	    accepted("1", "10.0", 0) + waits("1", "11.0", "limit") +
		accepted("2", "10.0", 0) + "ts=11.0 " + o +
		"run_started job=2 task=0.0.0\n" + accepted("3", "10.0", 0) +
		"ts=11.0 " + o + "run_started job=3 task=0.0.0\nts=15.0 " + o +
		"run_ended job=3 task=0.0.0 how=done age_ms=1000\n" +
		accepted(out_id, "10.0", 0) + accepted(in_id, "10.0", 0) +
		waits(in_id, "12.0", "room") +
		"ts=14.0 part=log event=lines_left_out of=a.b lines=9 "
		"jobs_share_permille=500\n" +
		accepted("6", "15.0", 0) + "ts=20.0 " + o +
		"run_ended job=6 task=0.0.0 how=broken age_ms=4000\nts=20.0 " +
		o + "run_ended job=6 task=0.0.1 how=broken age_ms=4000\n" +
		ended("6", "21.0", "completed"),
	    &status);

	EXPECT_EQ("queue q:  late 1  open 5\n"
		  "  open 1: waits for limit since 10.0 s\n"
		  "  open 2: runs, 1 tasks, last line 10.0 s before the end\n"
		  "  open 3: ended without a line, last run ended 6.0 s before "
		  "the end\n"
		  "  open " +
		      out_id +
		      ": its lines were left out from 11.0 s before the end "
		      "on\n"
		      "  open " +
		      in_id +
		      ": waits for room since 9.0 s\n"
		      "  mostly for:  stopped-runs 1\n"
		      "  ms a late job:  stopped-runs 4000  other 1000\n"
		      "    from    0 s:  stopped-runs 1\n"
		      "nodes left out lines: of some jobs all, the smallest "
		      "share with lines was 500 in 1000\n",
	    out);
}

/* Guards against counters of several nodes that replace each other, and against
 * labels in another order. */
TEST(Losses, AddsUpMetricsPages)
{
	int status;
	std::string out =
	    losses("# TYPE ogl_jobs_ended_total counter\n"
		   "ogl_jobs_ended_total{queue=\"q\",outcome=\"in_time\",team="
		   "\"a\"} 7\n"
		   "ogl_jobs_ended_total{team=\"b\",queue=\"q\",outcome=\"in_"
		   "time\"} 5\n"
		   "ogl_jobs_ended_total{queue=\"q\",outcome=\"too_late\",team="
		   "\"a\"} 4\n"
		   "ogl_jobs_ended_total{queue=\"q\",outcome=\"refused\",team="
		   "\"a\"} 2\n"
		   "ogl_jobs_late_ms_total{queue=\"q\",cause=\"room\"} 6000\n"
		   "ogl_jobs_late_ms_total{queue=\"q\",cause=\"room\"} 2000\n"
		   "ogl_jobs_late_ms_total{queue=\"q\",cause=\"run\"} 400\n",
		&status);

	EXPECT_EQ("queue q:\n"
		  "  counted by the nodes:  in-time 12  too-late 4  refused 2\n"
		  "  ms a late job, counted:  room 2000  run 100\n",
	    out);
}

/* The lines of a simulated cell that gets more work than it can do: gangs and
 * wide steps of several ranks, each with questions to the advice service.
 * Guards against waiting that no line gives a reason for, as that of stages
 * which a pass does not try. */
TEST(Losses, LeavesLittleUnexplainedInFullCell)
{
	std::string path = testing::TempDir() + "losses_full.log";
	struct fake_cell_params p = {};
	int status;

	p.nodes = 3;
	p.workers = 4;
	p.seed = 1;
	p.attempts_max = 3;
	p.needs_advice = true;
	struct fake_cell *cell = fake_cell_init(&p);
	FILE *log = fopen(path.c_str(), "w");
	fake_cell_set_log(cell, log);
	fake_cell_advance(cell, 3000);
	for (unsigned k = 0; k < 600; k++) {
		struct fake_step s = {};
		char id[17];

		snprintf(id, sizeof id, "%016x", k + 1);
		s.after = -1;
		s.count = k % 3 == 0 ? 2 : k % 3 == 1 ? 10 : 20;
		s.cpu_milli = 2000;
		s.run_ms = 600;
		s.gang = k % 3 == 1;
		fake_cell_set_queue(cell, k % 3);
		fake_cell_submit(cell, k % 3, id, nullptr, &s, 1);
		if (k % 300 == 299) /* in bursts */
			fake_cell_advance(cell, 9000);
	}
	fake_cell_advance(cell, 30000);
	EXPECT_STREQ("", fake_cell_violations(cell));
	fake_cell_set_log(cell, nullptr);
	fake_cell_end(cell);
	fclose(log);
	std::string out = losses_of_file(path, &status);
	int late = sum_after(out, "queue ", "late") +
		   sum_after(out, "queue ", "too-late");
	EXPECT_GT(late, 50);
	EXPECT_LT(sum_after(out, "  mostly for:", "other"), late / 10);
}

TEST(Losses, ReportsUnreadableFile)
{
	char buf[256] = "";
	FILE *p =
	    popen(OGL_BIN_DIR "/oriolectl losses /no/such/file 2>&1", "r");

	EXPECT_NE(nullptr, fgets(buf, sizeof buf, p));
	EXPECT_NE(0, pclose(p));
	EXPECT_STREQ("oriolectl: /no/such/file: cannot be read\n", buf);
}

} // namespace
