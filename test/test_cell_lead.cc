/* Ownership, driven record by record. */

#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "lead.h"
}

namespace
{

constexpr ogl_time kMs = 1000;

/* A store of which the test hands out one answer at a time. */
struct Store {
	cell_read_fn *read = nullptr;
	cell_newest_fn *newest = nullptr;
	void *arg = nullptr;
	std::vector<std::string> written;
	int appends = 0;
};

void
on_append(void *ctx, const struct cell_append *a, cell_append_fn *, void *)
{
	auto *s = static_cast<Store *>(ctx);

	(void)a;
	s->appends++;
}

void
on_read(void *ctx, enum cell_stream, uint64_t, uint32_t, uint32_t,
    cell_read_fn *done, void *arg)
{
	auto *s = static_cast<Store *>(ctx);

	s->read = done;
	s->arg = arg;
}

void
on_newest(void *ctx, enum cell_stream, const char *, uint32_t,
    cell_newest_fn *done, void *arg)
{
	auto *s = static_cast<Store *>(ctx);

	s->newest = done;
	s->arg = arg;
}

void
on_log(void *, const char *, const char *, const char *)
{
}

class Lead : public testing::Test
{
      protected:
	void SetUp() override
	{
		ops_.append = on_append;
		ops_.read = on_read;
		ops_.newest = on_newest;
		ops_.log = on_log;
		ops_.outside = &store_;
		events_.won = [](void *, uint64_t, ogl_time) {};
		events_.lost = [](void *, ogl_time) {};
		events_.changed = [](void *, const char *, ogl_time) {};
		lead_ = cell_lead_init(&ops_, &events_, &self_, 1);
		cell_lead_step(lead_, now_);
		struct cell_newest_answer a = {};
		a.io = OGL_IO_OK;
		store_.newest(store_.arg, &a, now_);
		cell_lead_step(lead_, now_);
	}

	void TearDown() override
	{
		cell_lead_end(lead_);
	}

	/* A record of node n2 at 10.0.0.2:1 is read. */
	void read(bool claim, bool vacant, uint64_t epoch)
	{
		Ogl__CellLead m = OGL__CELL_LEAD__INIT;
		char node[] = "n2";
		char addr[] = "10.0.0.2:1";
		uint8_t buf[256];
		struct cell_record r = {};
		struct cell_read_answer a = {};

		m.node = node;
		m.addr = addr;
		m.boot = 5;
		m.claim = claim;
		m.vacant = vacant;
		m.epoch = epoch;
		r.offset = offset_++;
		r.value.n = ogl__cell_lead__pack(&m, buf);
		r.value.p = reinterpret_cast<const char *>(buf);
		a.io = OGL_IO_OK;
		a.records = &r;
		a.n = 1;
		now_ += 10 * kMs;
		store_.read(store_.arg, &a, now_);
		cell_lead_step(lead_, now_);
	}

	std::string owner() const
	{
		const char *a = cell_lead_addr(lead_);

		return a != nullptr ? a : "none";
	}

	Store store_;
	struct cell_ops ops_ = {};
	struct cell_lead_events events_ = {};
	struct cell_lead_self self_ = {"n1", "10.0.0.1:1", 1, 0};
	struct cell_lead *lead_ = nullptr;
	ogl_time now_ = 1000 * kMs;
	uint64_t offset_ = 0;
};

TEST_F(Lead, FollowsClaimsAndResignations)
{
	read(true, false, 0);
	EXPECT_EQ("10.0.0.2:1", owner());
	EXPECT_EQ(1U, cell_lead_epoch(lead_));
	read(false, true, 1);
	EXPECT_EQ("none", owner());
}

/* The owner resigns while one of its heartbeats is still on its way and lands
 * after the resignation.  Taken for news, the cell would count as owned and
 * nobody would claim it until a silence had passed: callers would wait or be
 * refused for more than a second. */
TEST_F(Lead, AResignationOutlivesALateHeartbeat)
{
	read(true, false, 0);
	read(false, true, 1);
	read(false, false, 1);
	EXPECT_EQ("none", owner());
}

/* Heartbeats of an owner that was replaced, carried out late, name nobody. */
TEST_F(Lead, HeartbeatsOfEarlierEpochsAreOld)
{
	read(true, false, 0);
	read(true, false, 0);
	EXPECT_EQ(2U, cell_lead_epoch(lead_));
	read(false, true, 1);
	EXPECT_EQ("10.0.0.2:1", owner());
}

/* The owner falls silent while reads are answered: it does not reach the
 * store, and the cell is claimed. */
TEST_F(Lead, SilenceOfTheOwnerAloneBringsAClaim)
{
	read(true, false, 0);
	int before = store_.appends;

	for (int i = 0; i < 50; i++) {
		struct cell_read_answer a = {};

		a.io = OGL_IO_OK;
		now_ += 40 * kMs;
		store_.read(store_.arg, &a, now_);
		cell_lead_step(lead_, now_);
	}
	EXPECT_EQ(before + 1, store_.appends);
}

/* The store itself is away: nobody can have claimed, no silence counts, and
 * the owner that was known stays. */
TEST_F(Lead, AStoreThatIsAwayBringsNoClaim)
{
	read(true, false, 0);
	int before = store_.appends;

	for (int i = 0; i < 50; i++) {
		struct cell_read_answer a = {};

		a.io = OGL_IO_LOST;
		now_ += 200 * kMs;
		store_.read(store_.arg, &a, now_);
		cell_lead_step(lead_, now_);
	}
	EXPECT_EQ(before, store_.appends);
	EXPECT_EQ("10.0.0.2:1", owner());
}

} // namespace
