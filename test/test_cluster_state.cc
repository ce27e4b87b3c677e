/* What a reader that begins in mid-stream makes of a shard's records. */

#include <gtest/gtest.h>

extern "C" {
#include "state.h"
}

namespace
{

Ogl__Record
record_by(const char *writer, uint64_t epoch)
{
	Ogl__Record r = OGL__RECORD__INIT;

	r.writer = (char *)writer;
	r.boot = 1;
	r.epoch = epoch;
	return r;
}

void
read_claim(ogl_state *st, const char *writer, uint64_t prev, uint64_t offset)
{
	Ogl__Record r = record_by(writer, 0);
	Ogl__Claim c = OGL__CLAIM__INIT;

	c.prev_epoch = prev;
	r.body_case = OGL__RECORD__BODY_CLAIM;
	r.claim = &c;
	ogl_state_apply(st, &r, offset, nullptr, nullptr, 0);
}

void
read_snapshot(
    ogl_state *st, const char *writer, uint64_t epoch, uint64_t offset)
{
	Ogl__Record r = record_by(writer, epoch);
	Ogl__ShardSnap s = OGL__SHARD_SNAP__INIT;

	s.parts = 1;
	s.owner = (char *)writer;
	s.owner_boot = 1;
	s.epoch = epoch;
	r.body_case = OGL__RECORD__BODY_SHARD_SNAP;
	r.shard_snap = &s;
	ogl_state_apply(st, &r, offset, nullptr, nullptr, 0);
}

TEST(ClusterState, PassesOverASupersededOwnersSnapshot)
{
	/* An owner is paused with a snapshot on its way; another node claims
	 * the shard before that arrives.  A node that starts reading there
	 * must not take the old owner's word, or it would hold every later
	 * claim to be invalid and its own to be valid: two owners for good,
	 * and jobs done twice or forgotten. */
	ogl_state *st = ogl_state_new();

	read_claim(st, "b", 5, 10);
	read_snapshot(st, "a", 5, 11);
	EXPECT_FALSE(st->complete);
	read_snapshot(st, "b", 11, 12);
	EXPECT_TRUE(st->complete);
	EXPECT_EQ(st->epoch, 11u);
	EXPECT_STREQ(st->owner, "b");
	ogl_state_free(st);
}

TEST(ClusterState, SeesThatItsSnapshotWasStale)
{
	/* The same, but retention has dropped the claim already.  The first
	 * record of the true owner shows that the snapshot was old. */
	ogl_state *st = ogl_state_new();
	Ogl__Record own = record_by("a", 5);
	Ogl__Record later = record_by("b", 11);

	read_snapshot(st, "a", 5, 20);
	ASSERT_TRUE(st->complete);
	EXPECT_FALSE(ogl_state_stale(st, &own));
	EXPECT_TRUE(ogl_state_stale(st, &later));
	ogl_state_free(st);
	st = ogl_state_anew(&later);
	read_snapshot(st, "a", 5, 21);
	EXPECT_FALSE(st->complete);
	ogl_state_free(st);
}

} // namespace
