/* Shares of teams in a cell that is full, without a cell. */

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "share.h"
}

namespace
{

using Weights = std::vector<std::pair<const char *, double>>;
using Items = std::vector<struct ogl_share_item>;

class Share : public testing::Test
{
      protected:
	void SetUp() override
	{
		share_ = ogl_share_init();
		set_teams({{"a", 3}, {"b", 1}, {"c", 1}});
		ogl_share_set_full(share_, true);
	}

	void TearDown() override
	{
		ogl_share_end(share_);
	}

	void set_teams(const Weights &l)
	{
		ogl_share_begin_teams(share_);
		for (const auto &t : l)
			ogl_share_set_team(share_, ogl_str(t.first), t.second);
		ogl_share_end_teams(share_);
	}

	struct ogl_share_item item(const char *team, const char *queue = "q")
	{
		return {ogl_share_team(share_, ogl_str(team)),
		    ogl_share_queue(share_, ogl_str(queue), 1), 100, false,
		    nullptr};
	}

	/* In each of some rounds, 10 ms apart, the same work waits and the
	 * first item is started.  Returns how often an item of x's team and
	 * queue was. */
	unsigned rounds(
	    unsigned n, const Items &waiting, const struct ogl_share_item &x)
	{
		unsigned started = 0;

		while (n-- > 0) {
			Items l = waiting;

			now_ += 10 * OGL_MS;
			ogl_share_begin_round(share_);
			ogl_share_order(share_, l.data(), l.size());
			ogl_share_charge(
			    share_, l[0].team, l[0].queue, l[0].core_ms, now_);
			started += l[0].team == x.team && l[0].queue == x.queue;
		}
		return started;
	}

	std::map<std::string, struct ogl_share_figures> report()
	{
		std::map<std::string, struct ogl_share_figures> all;

		ogl_share_report(
		    share_,
		    [](void *arg, const struct ogl_share_figures *f) {
			    (*static_cast<decltype(all) *>(arg))[f->team] = *f;
		    },
		    &all);
		return all;
	}

	struct ogl_share *share_ = nullptr;
	ogl_time now_ = OGL_SEC;
};

/* Each row: what it guards against, the weights, the teams and queues whose work
 * waits, and the starts of the first one in 400 rounds. */
TEST_F(Share, TeamsShareByWeight)
{
	const struct {
		const char *guards_against;
		Weights weights;
		std::vector<std::pair<const char *, const char *>> waiting;
		unsigned started;
	} rows[] = {
	    {"weights ignored", {{"a", 3}, {"b", 1}}, {{"b", "q"}, {"a", "q"}},
		100},
	    {"a burst that displaces others", {{"b", 1}, {"c", 1}},
		{{"c", "q"}, {"b", "q"}, {"b", "q"}, {"b", "q"}, {"b", "q"},
		    {"b", "q"}},
		200},
	    {"a division by 0", {{"a", 3}, {"z", 0}}, {{"z", "q"}, {"a", "q"}},
		100},
	    {"jobs of a removed team that wait for ever", {{"a", 1}},
		{{"b", "q"}, {"a", "q"}}, 200},
	    {"a queue that waits for all others of its rank",
		{{"b", 1}, {"c", 1000}}, {{"b", "small"}, {"c", "large"}}, 44},
	};

	for (const auto &row : rows) {
		Items l;

		set_teams(row.weights);
		ogl_share_set_full(share_, false);
		ogl_share_set_full(share_, true);
		for (const auto &w : row.waiting)
			l.push_back(item(w.first, w.second));
		EXPECT_NEAR(row.started, rounds(400, l, l[0]), 3)
		    << row.guards_against;
	}
}

/* Guards against a team that returns and takes everything until it has caught
 * up with what it did not use. */
TEST_F(Share, ATeamThatWasAwayHasNoClaimToThePast)
{
	rounds(200, {item("b")}, item("b"));
	/* At most a clock window of starts more than its half. */
	EXPECT_NEAR(50u, rounds(100, {item("b"), item("c")}, item("c")), 35);
}

/* Guards against state that outlives the teams of the configuration. */
TEST_F(Share, HasNoMoreTeamsThanTheConfiguration)
{
	for (unsigned i = 0; i < 100; i++)
		set_teams({{("t" + std::to_string(i)).c_str(), 1}});
	EXPECT_EQ(2u, report().size());
	EXPECT_EQ(item("b").team, item("unknown").team);
}

/* Guards against a team that keeps paying for an estimate that was too long,
 * and against a refund of what an earlier full period has forgiven. */
TEST_F(Share, AChargeIsCorrectedInItsPeriodOnly)
{
	const struct ogl_share_item b = item("b"), c = item("c");
	struct ogl_share_charge charge =
	    ogl_share_charge(share_, b.team, b.queue, 10000, now_);

	ogl_share_run_ended(share_, b.team, &charge, 100, true);
	EXPECT_NEAR(50u, rounds(100, {b, c}, b), 2);
	charge = ogl_share_charge(share_, b.team, b.queue, 10000, now_);
	ogl_share_set_full(share_, false);
	ogl_share_set_full(share_, true);
	rounds(1, {b, c}, b);
	ogl_share_run_ended(share_, b.team, &charge, 0, false);
	EXPECT_NEAR(50u, rounds(100, {b, c}, b), 2);
}

/* Guards against figures that count what was completed while there was room for
 * all. */
TEST_F(Share, FiguresCountWhatWasCompletedWhileFull)
{
	const struct ogl_share_charge none = {};
	const struct ogl_share_item a = item("a"), b = item("b");

	rounds(1, {a, b}, a);
	ogl_share_run_ended(share_, a.team, &none, 600, true);
	ogl_share_run_ended(share_, b.team, &none, 400, true);
	ogl_share_run_ended(share_, b.team, &none, 50, false);
	ogl_share_job_completed(share_, b.team);
	auto f = report();
	EXPECT_EQ(600000u, f["a"].share_ppm);
	EXPECT_EQ(750000u, f["a"].entitled_ppm);
	EXPECT_EQ(450u, f["b"].used_core_ms);
	EXPECT_EQ(400u, f["b"].completed_core_ms);
	EXPECT_EQ(1u, f["b"].completed_jobs);
	EXPECT_FALSE(f["c"].active);
	ogl_share_set_full(share_, false);
	ogl_share_run_ended(share_, a.team, &none, 600, true);
	EXPECT_EQ(600u, report()["a"].completed_core_ms);
}

} // namespace
