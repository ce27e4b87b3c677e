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

	void set_teams(const std::vector<std::pair<const char *, double>> &l)
	{
		ogl_share_begin_teams(share_);
		for (const auto &t : l)
			ogl_share_set_team(share_, ogl_str(t.first), t.second);
		ogl_share_end_teams(share_);
	}

	struct ogl_share_item item(const char *team, const char *queue = "q")
	{
		struct ogl_share_item x = {};

		x.team = ogl_share_team(share_, ogl_str(team));
		x.queue = ogl_share_queue(share_, ogl_str(queue), 1);
		x.core_ms = 100;
		return x;
	}

	/* Starts the first item of each of some rounds, 10 ms apart, in which
	 * the same work waits. */
	void rounds(unsigned n, std::vector<struct ogl_share_item> waiting)
	{
		for (unsigned i = 0; i < n; i++) {
			auto l = waiting;

			now_ += 10 * OGL_MS;
			ogl_share_begin_round(share_);
			ogl_share_order(share_, l.data(), l.size());
			ogl_share_charge(
			    share_, l[0].team, l[0].queue, l[0].core_ms, now_);
			teams_[l[0].team]++;
			queues_[l[0].queue]++;
		}
	}

	unsigned started(const char *team)
	{
		return teams_[ogl_share_team(share_, ogl_str(team))];
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
	std::map<struct ogl_share_team *, unsigned> teams_;
	std::map<struct ogl_share_queue *, unsigned> queues_;
	ogl_time now_ = OGL_SEC;
};

/* Guards against shares that do not follow the weights. */
TEST_F(Share, TeamsThatBothHaveWorkShareByWeight)
{
	rounds(400, {item("b"), item("a")});
	EXPECT_NEAR(300u, started("a"), 3);
	EXPECT_NEAR(100u, started("b"), 3);
}

/* Guards against a burst of one team that displaces the work of others. */
TEST_F(Share, ATeamThatSendsMorePaysItself)
{
	std::vector<struct ogl_share_item> l(5, item("b"));

	l.push_back(item("c"));
	rounds(200, l);
	EXPECT_NEAR(100u, started("b"), 2);
	EXPECT_NEAR(100u, started("c"), 2);
}

/* Guards against a team that returns and takes everything until it has caught
 * up with what it did not use. */
TEST_F(Share, ATeamThatWasAwayHasNoClaimToThePast)
{
	rounds(200, {item("b")});
	rounds(100, {item("b"), item("c")});
	EXPECT_NEAR(50u, started("c"), 35); /* a clock window of starts */
	EXPECT_GE(started("b"), 215u);
}

/* Guards against a division by a weight of 0, and against a team that is never
 * served because of it. */
TEST_F(Share, AWeightOfZeroCountsAsOne)
{
	set_teams({{"a", 3}, {"z", 0}});
	rounds(400, {item("z"), item("a")});
	EXPECT_NEAR(100u, started("z"), 3);
}

/* Guards against state that outlives the teams of the configuration, and
 * against accepted jobs of a removed team that are never served. */
TEST_F(Share, ARemovedTeamIsDroppedAndItsJobsStillServed)
{
	set_teams({{"a", 1}});
	rounds(100, {item("a"), item("b")});
	EXPECT_NEAR(50u, started("b"), 2);
	EXPECT_EQ(item("b").team, item("unknown").team);
	for (unsigned i = 0; i < 100; i++)
		set_teams({{("t" + std::to_string(i)).c_str(), 1}});
	EXPECT_EQ(2u, report().size());
}

/* Guards against a queue that waits as long as another of its rank has work of
 * teams that are further behind. */
TEST_F(Share, AWaitingQueueGetsATenthOfItsRank)
{
	set_teams({{"b", 1}, {"c", 1000}});

	std::vector<struct ogl_share_item> l = {
	    item("b", "small"), item("c", "large")};

	rounds(1000, l);
	EXPECT_GE(queues_[l[0].queue], 99u);
	EXPECT_LE(queues_[l[0].queue], 115u);
}

/* Guards against a team that keeps paying for an estimate that was too long,
 * and against a refund of what an earlier full period has forgiven. */
TEST_F(Share, AChargeIsCorrectedInItsPeriodOnly)
{
	struct ogl_share_item x = item("b");
	struct ogl_share_charge c =
	    ogl_share_charge(share_, x.team, x.queue, 10000, now_);

	ogl_share_run_ended(share_, x.team, &c, 100, true);
	rounds(100, {item("b"), item("c")});
	EXPECT_NEAR(50u, started("b"), 2);
	c = ogl_share_charge(share_, x.team, x.queue, 10000, now_);
	ogl_share_set_full(share_, false);
	ogl_share_set_full(share_, true);
	rounds(1, {item("b"), item("c")});
	ogl_share_run_ended(share_, x.team, &c, 0, false);
	teams_.clear();
	rounds(100, {item("b"), item("c")});
	EXPECT_NEAR(50u, started("b"), 2);
}

/* Guards against figures that count what was completed while there was room for
 * all. */
TEST_F(Share, FiguresCountWhatWasCompletedWhileFull)
{
	const struct ogl_share_charge none = {};
	struct ogl_share_item a = item("a"), b = item("b");

	rounds(1, {a, b});
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
