/* `oriolectl losses` on log lines of several nodes. */

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace
{

std::string
losses(const std::string &lines, int *status)
{
	std::string path = testing::TempDir() + "losses.log";
	std::string out;
	char buf[4096];

	std::ofstream(path) << lines;
	FILE *p = popen(
	    (OGL_BIN_DIR "/oriolectl losses " + path + " 2>&1").c_str(), "r");
	while (fgets(buf, sizeof buf, p) != nullptr)
		out += buf;
	*status = pclose(p) >> 8;
	return out;
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
