/*
 * What nodes cost as the cell grows, and what must still hold although most of
 * them read nothing from the store.  The nodes are the real ones, in virtual
 * time.
 */

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

extern "C" {
#include "fake_cell.h"
}

namespace
{

/* A cell of real nodes that has settled. */
class Cell
{
      public:
	Cell(unsigned nodes, unsigned shards) : nodes_(nodes), shards_(shards)
	{
		struct fake_cell_params p = {};

		p.nodes = nodes;
		p.workers = 4 * shards;
		p.shards = shards;
		p.seed = 7;
		f_ = fake_cell_init(&p);
		fake_cell_advance(f_, 10000);
	}

	~Cell()
	{
		fake_cell_end(f_);
	}

	/* Nodes that own a shard, -1 for a shard without an owner. */
	std::vector<int> owners() const
	{
		std::vector<int> all;

		for (unsigned s = 0; s < shards_; s++)
			all.push_back(fake_cell_owner(f_, s));
		return all;
	}

	bool all_owned() const
	{
		std::vector<int> all = owners();

		return std::all_of(
		    all.begin(), all.end(), [](int i) { return i >= 0; });
	}

	std::vector<unsigned> plain_nodes() const
	{
		std::vector<int> all = owners();
		std::vector<unsigned> plain;

		for (unsigned i = 0; i < nodes_; i++) {
			if (std::count(all.begin(), all.end(), (int)i) == 0)
				plain.push_back(i);
		}
		return plain;
	}

	/* Submits a job at the node and returns the status half a second
	 * later. */
	int submit(unsigned node, const char *key)
	{
		struct fake_step step = {};
		std::string id = std::to_string(1000000000000000 + node);

		step.count = 1;
		step.cpu_milli = 100;
		step.run_ms = 100;
		step.after = -1;
		fake_cell_submit(f_, node, id.c_str(), key, &step, 1);
		fake_cell_advance(f_, 500);
		return fake_cell_status(f_, id.c_str());
	}

	struct fake_cell *fake()
	{
		return f_;
	}

      private:
	unsigned nodes_;
	unsigned shards_;
	struct fake_cell *f_;
};

/* Costs a second of the nodes that own no shard, while nobody calls. */
struct Cost {
	double store_calls;   /* mean */
	double peer_messages; /* mean */
	unsigned peers;       /* of the node with the most */
};

Cost
idle_cost(unsigned nodes, unsigned shards)
{
	const unsigned seconds = 20;
	Cell cell(nodes, shards);
	Cost c = {0, 0, 0};
	std::vector<unsigned> plain = cell.plain_nodes();

	fake_cell_reset_counts(cell.fake());
	fake_cell_advance(cell.fake(), seconds * 1000);
	for (unsigned i : plain) {
		c.store_calls += fake_cell_store_calls(cell.fake(), i);
		c.peer_messages += fake_cell_peer_messages(cell.fake(), i);
		c.peers = std::max(c.peers, fake_cell_peers(cell.fake(), i));
	}
	c.store_calls /= (double)plain.size() * seconds;
	c.peer_messages /= (double)plain.size() * seconds;
	return c;
}

/* Guards against nodes that each poll the store: with thousands of them, reads
 * that change nothing take up all that the store serves. */
TEST(Scale, AnIdleNodeHardlyCallsTheStore)
{
	EXPECT_LE(idle_cost(40, 4).store_calls, 1.0);
}

/* Guards against nodes that each speak to the owner of each shard: the messages
 * then grow with the product of nodes and shards. */
TEST(Scale, AnIdleNodeSpeaksToOneOwnerWhateverTheSize)
{
	Cost small = idle_cost(20, 2);
	Cost large = idle_cost(80, 8);

	EXPECT_EQ(1u, small.peers);
	EXPECT_EQ(1u, large.peers);
	EXPECT_LE(large.peer_messages, 1.1 * small.peer_messages);
}

/* A key is withdrawn while most nodes do not read the settings: all have to
 * refuse it within the bound all the same. */
TEST(Scale, AWithdrawnKeyIsRefusedByAllNodesInTime)
{
	Cell cell(40, 4);

	EXPECT_EQ(200, cell.submit(0, "key-two"));
	fake_cell_revoke_key(cell.fake(), "key-two");
	fake_cell_advance(cell.fake(), 1500);
	for (unsigned i = 1; i < 40; i++)
		EXPECT_EQ(401, cell.submit(i, "key-two")) << i;
	EXPECT_STREQ("", fake_cell_violations(cell.fake()));
}

/* The store serves two nodes in three when a key is withdrawn.  The others are
 * told by the owners, with the age of what they are told. */
TEST(Scale, AWithdrawnKeyIsRefusedByNodesThatTheStoreTurnsAway)
{
	Cell cell(40, 4);
	std::vector<unsigned> plain = cell.plain_nodes();

	for (size_t i = 0; i < plain.size(); i += 3)
		fake_cell_set_store_fault(
		    cell.fake(), (int)plain[i], FAKE_STORE_UNREACHABLE);
	fake_cell_advance(cell.fake(), 6000);
	fake_cell_revoke_key(cell.fake(), "key-two");
	fake_cell_advance(cell.fake(), 3500);
	for (unsigned i : plain)
		EXPECT_EQ(401, cell.submit(i, "key-two")) << i;
	EXPECT_STREQ("", fake_cell_violations(cell.fake()));
}

/* The owners, on which all nodes rely, are lost at once. */
TEST(Scale, LostOwnersAreReplacedThoughHardlyAnyNodeReadsTheirHeartbeats)
{
	Cell cell(40, 4);
	std::vector<unsigned> plain = cell.plain_nodes();

	for (int i : cell.owners())
		fake_cell_kill(cell.fake(), (unsigned)i);
	fake_cell_advance(cell.fake(), 2500);
	EXPECT_TRUE(cell.all_owned());
	for (unsigned i : plain)
		EXPECT_EQ(200, cell.submit(i, NULL)) << i;
	EXPECT_STREQ("", fake_cell_violations(cell.fake()));
}

/* All nodes but two are lost at once: any node must be able to own any shard,
 * also one that it had nothing to do with. */
TEST(Scale, TheLastNodesTakeAllShards)
{
	Cell cell(40, 4);

	for (unsigned i = 2; i < 40; i++)
		fake_cell_kill(cell.fake(), i);
	fake_cell_advance(cell.fake(), 4000);
	EXPECT_TRUE(cell.all_owned());
	EXPECT_STREQ("", fake_cell_violations(cell.fake()));
}

} // namespace
