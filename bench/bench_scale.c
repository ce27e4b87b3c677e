/*
 * What nodes of an idle cell cost as it grows: calls to the store, messages and
 * peers a second, for owners of shards and for nodes that own none.  The nodes
 * are the real ones, in virtual time; the hosts are alike.
 */

#include <stdio.h>
#include <stdlib.h>

#include "fake_cell.h"

#define SETTLE_MS 12000
#define MEASURE_S 20

struct cost {
	unsigned nodes;
	double store_calls;
	double messages;
	unsigned peers; /* most of any node */
};

static bool
owns_shard(const struct fake_cell *f, unsigned node, unsigned shards)
{
	unsigned s;

	for (s = 0; s < shards; s++) {
		if (fake_cell_owner(f, s) == (int)node)
			return true;
	}
	return false;
}

static void
add_node(struct cost *c, const struct fake_cell *f, unsigned node)
{
	unsigned peers = fake_cell_peers(f, node);

	c->nodes++;
	c->store_calls += fake_cell_store_calls(f, node);
	c->messages += fake_cell_peer_messages(f, node);
	if (peers > c->peers)
		c->peers = peers;
}

static void
print_cost(const char *role, unsigned nodes, const struct cost *c)
{
	double node_seconds = (double)c->nodes * MEASURE_S;

	if (c->nodes == 0)
		return;
	printf("scale_store_calls_%s_%u %.2f 1/s\n", role, nodes,
	    c->store_calls / node_seconds);
	printf("scale_messages_%s_%u %.2f 1/s\n", role, nodes,
	    c->messages / node_seconds);
	printf("scale_peers_%s_%u %u nodes\n", role, nodes, c->peers);
}

static void
measure(unsigned nodes, unsigned shards)
{
	struct fake_cell_params p = {
	    .nodes = nodes, .workers = 2 * shards, .shards = shards, .seed = 7};
	struct fake_cell *f = fake_cell_init(&p);
	struct cost plain = {0};
	struct cost owner = {0};
	unsigned i;

	fake_cell_advance(f, SETTLE_MS);
	fake_cell_reset_counts(f);
	fake_cell_advance(f, MEASURE_S * 1000);
	for (i = 0; i < nodes; i++)
		add_node(owns_shard(f, i, shards) ? &owner : &plain, f, i);
	print_cost("plain", nodes, &plain);
	print_cost("owner", nodes, &owner);
	fputs(fake_cell_violations(f), stderr);
	fake_cell_end(f);
}

int
main(int argc, char **argv)
{
	unsigned most = argc > 1 ? (unsigned)atoi(argv[1]) : 600;
	static const unsigned sizes[][2] = {
	    {30, 1}, {100, 3}, {300, 8}, {600, 15}, {1200, 30}};
	unsigned i;

	for (i = 0; i < sizeof sizes / sizeof *sizes; i++) {
		if (sizes[i][0] <= most)
			measure(sizes[i][0], sizes[i][1]);
	}
	return 0;
}
