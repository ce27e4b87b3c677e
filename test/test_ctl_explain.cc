/* `oriolectl explain` on log lines of several nodes. */

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

#include "logsample.h"

namespace
{

std::string
explain(const std::string &lines, const std::string &job, int *status)
{
	std::string path = testing::TempDir() + "explain.log";
	std::string out;
	char buf[4096];

	std::ofstream(path) << lines;
	FILE *p = popen(
	    (OGL_BIN_DIR "/oriolectl explain " + job + " " + path + " 2>&1")
		.c_str(),
	    "r");
	while (fgets(buf, sizeof buf, p) != nullptr)
		out += buf;
	*status = pclose(p) >> 8;
	return out;
}

/* Unsorted lines of several nodes and jobs.  Those of the job and its worker
 * are printed by time, and the cause names the lost worker and the takeover. */
TEST(Explain, ShowsLostWorkerAndTakeover)
{
	int status;
	std::string out = explain(
	    "ts=12.500 node=b part=owner event=cell_taken_over epoch=9 jobs=3\n"
	    "ts=15.000 node=b part=owner event=run_ended job=1 task=0.0.0 "
	    "run=1 worker=w4 age_ms=4000 how=lapsed percent=10\n"
	    "ts=14.900 node=b part=fleet event=worker_lapsed worker=w4 life=1\n"
	    "ts=14.900 node=b part=fleet event=worker_lapsed worker=w5 life=1\n"
	    "ts=16.000 node=b part=owner event=job_ended job=1 epoch=9 "
	    "state=completed why=all_done age_ms=6000\n"
	    "ts=10.000 node=a part=owner event=job_accepted job=1 epoch=1\n"
	    "ts=10.250 node=a part=owner event=run_started job=1 task=0.0.0 "
	    "run=1 worker=w4 age_ms=0\n"
	    "ts=10.300 node=a part=owner event=job_accepted job=11 epoch=1\n"
	    "not a log line\n",
	    "1", &status);

	EXPECT_EQ(0, status);
	EXPECT_EQ(
	    "   +0.000 * node=a part=owner event=job_accepted job=1 epoch=1\n"
	    "   +0.250 * node=a part=owner event=run_started job=1 task=0.0.0 "
	    "run=1 worker=w4 age_ms=0\n"
	    "   +2.500   node=b part=owner event=cell_taken_over epoch=9 "
	    "jobs=3\n"
	    "   +4.900   node=b part=fleet event=worker_lapsed worker=w4 "
	    "life=1\n"
	    "   +5.000 * node=b part=owner event=run_ended job=1 task=0.0.0 "
	    "run=1 worker=w4 age_ms=4000 how=lapsed percent=10\n"
	    "   +6.000 * node=b part=owner event=job_ended job=1 epoch=9 "
	    "state=completed why=all_done age_ms=6000\n"
	    "cause: it ended as completed (all_done)\n"
	    "  first start 250 ms after it was accepted\n"
	    "  the cell was taken over 1 times meanwhile\n"
	    "  1 runs were lost with their workers or leases, on w4\n",
	    out);
}

/* Guards against a job that waits and of which all other lines are left out. */
TEST(Explain, TellsWhyAJobOutsideTheSampleIsNotStarted)
{
	int status;
	std::string out = explain(
	    "ts=1.000 node=a part=owner event=stage_stalled job=7 task=0.0 "
	    "why=room for_ms=3000 allowed_room=3 usable=0 "
	    "unusable=aside:2,suspect:1 refused_room=4\n"
	    "ts=1.001 node=a part=owner event=stages_stalled stages=30 "
	    "left_out=10\n",
	    "7", &status);

	EXPECT_EQ(0, status);
	EXPECT_NE(std::string::npos, out.find("event=stages_stalled"));
	EXPECT_NE(std::string::npos,
	    out.find("  nothing of it ran for 3000 ms (room); of 3 allowed "
		     "workers with room 0 could be used, not "
		     "aside:2,suspect:1\n"));
}

TEST(Explain, ReportsRefusalAndLinesLeftOut)
{
	int status;
	std::string out = explain(
	    "ts=1.000 node=a part=owner event=job_refused job=7 epoch=1 "
	    "why=store_refused\n"
	    "ts=1.001 node=a part=front event=call_answered job=7 kind=0 "
	    "outcome=busy\n"
	    "ts=1.200 node=a part=log event=lines_left_out of=a.b lines=4\n",
	    "7", &status);

	EXPECT_EQ(0, status);
	EXPECT_NE(std::string::npos,
	    out.find("cause: refused, the store did not take it\n"));
	EXPECT_NE(std::string::npos, out.find("nodes left lines out"));
}

TEST(Explain, ReportsRefusalUnderLoad)
{
	int status;
	std::string out =
	    explain("ts=1.000 node=a part=owner event=job_refused job=7 "
		    "epoch=1 team=t why=load_over_rate\n",
		"7", &status);

	EXPECT_EQ(0, status);
	EXPECT_NE(std::string::npos,
	    out.find("cause: refused, the owner ran late and the team was "
		     "beyond its rate\n"));
}

/* Guards against an operator who searches for a job that no node logged: the
 * answer has to be that its lines were left out.  A job that is in the sample
 * must not be suspected of missing lines. */
TEST(Explain, TellsThatLinesWereLeftOut)
{
	int status;
	std::string out_id = "x", in_id = "y";
	std::string lines = "ts=10.500 node=b part=log event=lines_left_out "
			    "of=a.b lines=9 jobs_share_permille=250\n";

	while (ogl_logsample_position(ogl_str(out_id.c_str())) < 250)
		out_id += "x";
	while (ogl_logsample_position(ogl_str(in_id.c_str())) >= 250)
		in_id += "y";
	EXPECT_EQ("oriolectl: lines of job " + out_id +
		      " were left out: at ts=10.500 node b wrote those of 250 "
		      "in 1000 jobs\n",
	    explain(lines, out_id, &status));
	EXPECT_EQ(1, status);
	for (auto &id : {out_id, in_id})
		lines +=
		    "ts=10.000 node=a part=front event=call_answered job=" +
		    id + " outcome=ok\n";
	EXPECT_NE(std::string::npos,
	    explain(lines, out_id, &status).find("  lines of job " + out_id));
	EXPECT_EQ(std::string::npos,
	    explain(lines, in_id, &status).find("were left out"));
	EXPECT_EQ(std::string::npos,
	    explain(lines, in_id, &status).find("left lines out"));
}

TEST(Explain, ReportsJobThatNoLineNames)
{
	int status;

	EXPECT_EQ("oriolectl: no line names job 9\n",
	    explain("ts=1 node=a part=owner event=job_accepted job=91\n", "9",
		&status));
	EXPECT_EQ(1, status);
}

/* A job waits because its workers' zone was evacuated.  The lines about the
 * evacuation don't name the job but must be shown, as nothing else explains the
 * wait. */
TEST(Explain, ShowsZoneEvacuationDuringJob)
{
	int status;
	std::string out = explain(
	    "ts=1.000 node=a part=owner event=job_accepted job=7 epoch=1\n"
	    "ts=1.200 node=a part=front event=zone_evacuated zone=z1 "
	    "offset=4\n"
	    "ts=1.201 node=a part=fleet event=workers_evacuated evacuated=8 "
	    "of=8 runs=3\n"
	    "ts=9.000 node=a part=front event=zone_taken_back zone=z1 "
	    "offset=5\n"
	    "ts=9.100 node=a part=owner event=run_started job=7 task=0.0.0 "
	    "run=1 worker=w1 age_ms=8100\n",
	    "7", &status);

	EXPECT_EQ(0, status);
	EXPECT_NE(std::string::npos, out.find("zone_evacuated zone=z1"));
	EXPECT_NE(std::string::npos, out.find("evacuated=8 of=8 runs=3"));
	EXPECT_NE(std::string::npos, out.find("zone_taken_back zone=z1"));
}

} // namespace
