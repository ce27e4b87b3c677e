// Return of a node that was cut off or taken for dead.
#include <gtest/gtest.h>

#include "fake_cluster.h"

namespace
{

const fake_cluster_config three = {7, 3, 3, 2, 4, 3, {8000, 32768, 2}, nullptr};

void
cut_off(fake_cluster *c, uint32_t node, bool cut)
{
	for (uint32_t other = 0; other < three.nodes; other++) {
		if (other != node)
			fake_cluster_cut(c, node, FAKE_NODE, other, cut);
	}
	fake_cluster_cut(c, node, FAKE_LOG, 0, cut);
	fake_cluster_cut(c, node, FAKE_HOSTS, 0, cut);
}

// One node loses its peers, the log and the host list for 6 seconds, three
// times.  Each side takes the other for dead and records its eviction, and the
// edits of an evicted node have no effect.  Guards against one node, or all
// but one, refusing each edit with 503 permanently afterwards.
TEST(Rejoin, AllNodesAcceptEditsAfterOneWasCutOff)
{
	for (uint32_t node = 0; node < three.nodes; node++) {
		fake_cluster *c = fake_cluster_init(&three);

		fake_cluster_run(c, 8 * OGL_SEC);
		ASSERT_TRUE(
		    fake_cluster_edit_setting(c, 0, "teams/north", "{}"));
		for (int round = 0; round < 3; round++) {
			cut_off(c, node, true);
			fake_cluster_run(c, 6 * OGL_SEC);
			cut_off(c, node, false);
			fake_cluster_run(c, 8 * OGL_SEC);
		}
		for (uint32_t i = 0; i < three.nodes; i++) {
			EXPECT_TRUE(fake_cluster_edit_setting(
			    c, i, "teams/north/share", "2"))
			    << "node " << i << " after " << node
			    << " was cut off";
			fake_cluster_run(c, 2 * OGL_SEC);
		}
		EXPECT_STREQ(fake_cluster_violations(c), "");
		fake_cluster_end(c);
	}
}

// A node is suspended until the others have recorded its eviction, while the
// node itself never notices a loss of log contact.  It must be readmitted.
TEST(Rejoin, ASuspendedNodeAcceptsEditsAgain)
{
	fake_cluster *c = fake_cluster_init(&three);

	fake_cluster_run(c, 8 * OGL_SEC);
	ASSERT_TRUE(fake_cluster_edit_setting(c, 0, "teams/north", "{}"));
	fake_cluster_pause(c, 2, 10 * OGL_SEC);
	fake_cluster_run(c, 16 * OGL_SEC);
	EXPECT_TRUE(fake_cluster_edit_setting(c, 2, "teams/north/share", "3"));
	EXPECT_STREQ(fake_cluster_violations(c), "");
	fake_cluster_end(c);
}

} // namespace
