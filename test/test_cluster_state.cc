/* State of a shard as built by a reader that starts in the middle of the
 * shard's stream. */

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

TEST(ClusterState, IgnoresASnapshotOfASupersededOwner)
{
	/* An owner is suspended while it appends a snapshot, and another node
	 * claims the shard before the snapshot reaches the log.  If a reader
	 * that starts there used the snapshot, it would take every later claim
	 * for invalid and its own for valid: two owners permanently, and jobs
	 * run twice or forgotten. */
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

TEST(ClusterState, DetectsAStaleSnapshotFromLaterRecords)
{
	/* As above, but log retention has already dropped the claim.  The first
	 * record of the new owner shows that the snapshot is stale. */
	ogl_state *st = ogl_state_new();
	Ogl__Record own = record_by("a", 5);
	Ogl__Record later = record_by("b", 11);

	read_snapshot(st, "a", 5, 20);
	ASSERT_TRUE(st->complete);
	EXPECT_FALSE(ogl_state_stale(st, &own));
	EXPECT_TRUE(ogl_state_stale(st, &later));
	ogl_state_free(st);
	st = ogl_state_new_after(&later);
	read_snapshot(st, "a", 5, 21);
	EXPECT_FALSE(st->complete);
	ogl_state_free(st);
}

TEST(ClusterState, DropsTheOldestEndedJobsOfATeamFirst)
{
	ogl_state *st = ogl_state_new();
	Ogl__Record r = record_by("a", 1);
	Ogl__JobAccepted acc = OGL__JOB_ACCEPTED__INIT;
	Ogl__JobCancelled can = OGL__JOB_CANCELLED__INIT;
	Ogl__Submit spec = OGL__SUBMIT__INIT;
	const char *ids[] = {"s0-1-1", "s0-1-2", "s0-1-3"};
	const char *requests[] = {"r1", "r2", "r3"};

	read_claim(st, "a", 0, 0);
	spec.tasks = 1;
	for (int i = 0; i < 3; i++) {
		spec.request_id = (char *)requests[i];
		acc.job = (char *)ids[i];
		acc.team = (char *)"t";
		acc.spec = &spec;
		r.body_case = OGL__RECORD__BODY_JOB_ACCEPTED;
		r.job_accepted = &acc;
		ogl_state_apply(st, &r, 1, nullptr, nullptr, 0);
		can.job = (char *)ids[i];
		r.at_ms = 1000 + i;
		r.body_case = OGL__RECORD__BODY_JOB_CANCELLED;
		r.job_cancelled = &can;
		ogl_state_apply(st, &r, 2, nullptr, nullptr, 0);
	}
	ogl_state_keep_newest(st, "t", 1, 1001);
	EXPECT_EQ(nullptr, g_hash_table_lookup(st->jobs, "s0-1-1"));
	EXPECT_EQ(nullptr, g_hash_table_lookup(st->by_request, "t|r1"));
	/* Ended too recently to be dropped, although above the limit. */
	EXPECT_NE(nullptr, g_hash_table_lookup(st->jobs, "s0-1-2"));
	EXPECT_NE(nullptr, g_hash_table_lookup(st->jobs, "s0-1-3"));
	ogl_state_keep_newest(st, "t", 1, 5000);
	EXPECT_EQ(1u, g_hash_table_size(st->jobs));
	EXPECT_NE(nullptr, g_hash_table_lookup(st->by_request, "t|r3"));
	ogl_state_free(st);
}

} // namespace
