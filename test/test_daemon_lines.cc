/* Structured log lines and metrics: format and limits. */

#include <gtest/gtest.h>

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

extern "C" {
#include "logline.h"
#include "measures.h"
}

namespace
{

class Pipe
{
      public:
	Pipe()
	{
		EXPECT_EQ(0, pipe2(fd_, O_NONBLOCK));
	}

	~Pipe()
	{
		close(fd_[0]);
		if (fd_[1] >= 0)
			close(fd_[1]);
	}

	std::string read_all()
	{
		std::string s;
		char c[4096];
		ssize_t n;

		while ((n = read(fd_[0], c, sizeof c)) > 0)
			s.append(c, static_cast<size_t>(n));
		return s;
	}

	int write_end() const
	{
		return fd_[1];
	}

      private:
	int fd_[2];
};

TEST(LogLine, HasTimeNodePartAndEvent)
{
	Pipe p;
	struct ogl_logline *l = ogl_logline_init(p.write_end(), "n1");

	ogl_logline_put(l, "owner", "job_ended", "job=1 why=\"a\nb\"", 0,
	    12 * OGL_SEC + 34 * OGL_MS);
	ogl_logline_end(l);
	EXPECT_EQ("ts=12.034 node=n1 part=owner event=job_ended "
		  "job=1 why=\"a b\"\n",
	    p.read_all());
}

/* A burst of one event must not displace the rare lines that explain it, and
 * the number of lines left out must be logged. */
TEST(LogLine, LimitsLinesOfEachEvent)
{
	Pipe p;
	struct ogl_logline *l = ogl_logline_init(p.write_end(), "n1");
	std::string s;

	for (int i = 0; i < 1000; i++) {
		ogl_logline_put(l, "a", "many", "", OGL_SEC, 0);
		ogl_logline_flush(l);
		s += p.read_all();
	}
	ogl_logline_put(l, "a", "rare", "", OGL_SEC, 0);
	ogl_logline_put(l, "a", "many", "", 3 * OGL_SEC, 0);
	ogl_logline_end(l);
	s += p.read_all();
	EXPECT_EQ(253, std::count(s.begin(), s.end(), '\n'));
	EXPECT_NE(std::string::npos, s.find("event=rare"));
	EXPECT_NE(std::string::npos,
	    s.find("event=lines_left_out of=a.many lines=750"));
}

/* In a burst a job must have all its lines or none, of each event, and the lines
 * about it must tell the share.  One text names its job itself. */
TEST(LogLine, KeepsOrLeavesOutLinesOfJobTogether)
{
	Pipe p;
	struct ogl_logline *l = ogl_logline_init(p.write_end(), "n1");
	std::string s;
	unsigned whole = 0;

	for (int i = 0; i < 4000; i++) {
		std::string id = std::to_string(i);
		ogl_time at = i * OGL_MS;

		ogl_logline_put_job(
		    l, "owner", "first", id.c_str(), at, "a=1", at, 0);
		ogl_logline_put(l, "owner", "last",
		    ("b=2 job=" + id + " c=3").c_str(), at, 0);
		ogl_logline_flush(l);
		s += p.read_all();
	}
	ogl_logline_end(l);
	s += p.read_all();
	for (int i = 2000; i < 4000; i++) {
		std::string id = std::to_string(i);
		bool first = s.find("event=first job=" + id + " a=1\n") !=
			     std::string::npos;

		EXPECT_EQ(first, s.find("event=last b=2 job=" + id +
					" c=3\n") != std::string::npos);
		whole += first;
	}
	EXPECT_GT(whole, 100U);
	EXPECT_LT(whole, 1000U);
	EXPECT_NE(std::string::npos, s.find("event=lines_left_out "
					    "of=owner.first lines="));
	EXPECT_NE(std::string::npos, s.find(" jobs_share_permille=250\n"));
}

/* Guards against a line that is to explain any job, but is left out with the
 * other lines of its job. */
TEST(LogLine, WritesUnsampledLinesOfJobsOutsideTheSample)
{
	Pipe p;
	struct ogl_logline *l = ogl_logline_init(p.write_end(), "n1");
	std::string s;
	unsigned sampled = 0, unsampled = 0;

	for (int i = 0; i < 2000; i++) {
		std::string text = "job=" + std::to_string(i);

		ogl_logline_put(l, "a", "b", text.c_str(), OGL_SEC, 0);
		if (i % 20 == 0)
			ogl_logline_put_unsampled(
			    l, "a", "c", text.c_str(), OGL_SEC, 0);
		ogl_logline_flush(l);
		s += p.read_all();
	}
	ogl_logline_end(l);
	s += p.read_all();
	for (int i = 0; i < 2000; i += 20) {
		std::string job = " job=" + std::to_string(i) + "\n";

		sampled += s.find("event=b" + job) != std::string::npos;
		unsampled += s.find("event=c" + job) != std::string::npos;
	}
	EXPECT_LT(sampled, 100U);
	EXPECT_EQ(100U, unsampled);
}

/* The reader of the lines has stopped.  The process must not block but leave
 * out the lines that no longer fit. */
TEST(LogLine, DoesNotBlockOnStoppedReader)
{
	Pipe p;
	struct ogl_logline *l = ogl_logline_init(p.write_end(), "n1");
	std::string text(200, 'x');

	for (int i = 0; i < 20000; i++) {
		ogl_logline_put(l, "a", "e", text.c_str(), i * 10 * OGL_MS, 0);
		ogl_logline_flush(l);
	}
	EXPECT_GT(ogl_logline_left_out(l), 10000U);
	ogl_logline_end(l);
}

TEST(Metrics, WritesCountersAndHistograms)
{
	struct ogl_measures *m = ogl_measures_init();
	char *text;

	ogl_measures_count(m, "calls", 2);
	ogl_measures_count(m, "calls", 3);
	ogl_measures_observe(m, "wait_ms", 3);
	ogl_measures_observe(m, "wait_ms", 700);
	ogl_measures_observe(m, "wait_ms", 99999);
	text = ogl_measures_text(m);
	std::string s = text;
	g_free(text);
	ogl_measures_end(m);
	EXPECT_NE(std::string::npos, s.find("ogl_calls_total 5\n"));
	EXPECT_NE(
	    std::string::npos, s.find("ogl_wait_ms_bucket{le=\"5\"} 1\n"));
	EXPECT_NE(
	    std::string::npos, s.find("ogl_wait_ms_bucket{le=\"1000\"} 2\n"));
	EXPECT_NE(
	    std::string::npos, s.find("ogl_wait_ms_bucket{le=\"+Inf\"} 3\n"));
	EXPECT_NE(std::string::npos, s.find("ogl_wait_ms_count 3\n"));
}

/* Guards against a page of metrics that grows with the names that callers or
 * operators use, and against a counter that has its TYPE line twice. */
TEST(Metrics, LimitsTheValuesOfLabels)
{
	struct ogl_measures *m = ogl_measures_init();

	for (int i = 0; i < 100; i++) {
		std::string team = "t\"" + std::to_string(i);
		struct cell_label labels[] = {
		    {"team", team.c_str()}, {"outcome", "late"}};

		ogl_measures_count_labels(m, "jobs_ended", labels, 2, 2);
		ogl_measures_count_labels(m, "jobs", labels, 1, 1);
	}
	char *text = ogl_measures_text(m);
	std::string s = text;
	g_free(text);
	ogl_measures_end(m);
	EXPECT_EQ(2 * 65 + 2, std::count(s.begin(), s.end(), '\n'));
	EXPECT_NE(std::string::npos,
	    s.find("# TYPE ogl_jobs_ended_total counter\n"
		   "ogl_jobs_ended_total{team=\"other\",outcome=\"late\"} "
		   "72\n"));
	EXPECT_NE(std::string::npos, s.find("{team=\"t\\\"63\"} 1\n"));
}

} // namespace
