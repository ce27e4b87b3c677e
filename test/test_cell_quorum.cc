/* Proof of ownership by the workers: what an owner and its successor need. */

#include <gtest/gtest.h>

#include <memory>
#include <vector>

extern "C" {
#include "fleet.h"
#include "quorum.h"
}

namespace
{

constexpr ogl_time CONFIRMED = 1000;

class Quorum : public testing::Test
{
      protected:
	~Quorum() override
	{
		cell_quorum_end(quorum_);
		g_hash_table_unref(table_);
	}

	/* Adds workers that are in the records from first_record on. */
	void add(guint n, uint64_t first_record)
	{
		while (n-- > 0) {
			auto *w = new struct cell_worker();

			w->first_record = first_record;
			workers_.emplace_back(w);
			g_hash_table_add(table_, w);
		}
	}

	/* Workers accept a call that was sent at that time. */
	void accept(size_t from, size_t n, ogl_time at)
	{
		for (size_t i = from; i < from + n; i++)
			workers_[i]->accepted_at = at;
	}

	ogl_time accepted_at() const
	{
		return cell_quorum_accepted_at(quorum_, table_, CONFIRMED);
	}

	struct cell_quorum *quorum_ = cell_quorum_init();
	GHashTable *table_ = g_hash_table_new(NULL, NULL);
	std::vector<std::unique_ptr<struct cell_worker>> workers_;
};

/* Guards against an owner that goes on with its half of the workers while its
 * successor counts the leases from the answers of the other half. */
TEST_F(Quorum, OwnerAndSuccessorNeverBothHaveEnough)
{
	for (guint n = 1; n < 40; n++) {
		guint owner = 0, successor = 0;

		add(1, 1);
		cell_quorum_clear(quorum_);
		cell_quorum_record_sent(quorum_, 1, n, n);
		accept(0, n, 0);
		while (accepted_at() == 0)
			accept(0, ++owner, 7);
		while (!cell_quorum_answered(successor, n))
			successor++;
		EXPECT_EQ(n + 1, owner + successor);
	}
}

/* The proof is as old as the call that was sent first to one of those that are
 * needed. */
TEST_F(Quorum, IsAsOldAsTheOldestOfTheAnswersThatAreNeeded)
{
	add(5, 1);
	cell_quorum_record_sent(quorum_, 1, 5, 5);
	accept(0, 2, 500);
	EXPECT_EQ(0, accepted_at());
	accept(2, 1, 300);
	EXPECT_EQ(300, accepted_at());
	accept(3, 1, 400);
	EXPECT_EQ(400, accepted_at());
}

/* Guards against a proof by a worker that has forgotten the successor. */
TEST_F(Quorum, IncarnationsThatTheStoreHasNotConfirmedDoNotCount)
{
	add(3, 1);
	cell_quorum_record_sent(quorum_, 1, 3, 3);
	accept(0, 2, 2000);
	EXPECT_EQ(2000, accepted_at());
	workers_[1]->incarnation_since = CONFIRMED + 1;
	EXPECT_EQ(0, accepted_at());
}

/* Guards against a proof that holds for one record while the successor reads
 * another: the answer to its append is still awaited. */
TEST_F(Quorum, HoldsForEachRecordThatMayBeStored)
{
	add(3, 1);
	cell_quorum_record_sent(quorum_, 1, 3, 3);
	add(4, 2);
	cell_quorum_record_sent(quorum_, 2, 7, 4);
	accept(0, 3, 50);
	EXPECT_EQ(0, accepted_at());
	accept(3, 1, 60);
	EXPECT_EQ(50, accepted_at());
	accept(3, 4, 70);
	accept(0, 2, 0);
	EXPECT_EQ(0, accepted_at());
	cell_quorum_record_sent(quorum_, 3, 7, 0);
	cell_quorum_record_stored(quorum_, 2);
	EXPECT_EQ(70, accepted_at());
	accept(6, 1, 0);
	EXPECT_EQ(50, accepted_at());
	accept(2, 1, 0);
	EXPECT_EQ(0, accepted_at());
}

} // namespace
