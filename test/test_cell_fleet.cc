/* Holds as the owner sends them, driven answer by answer. */

#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "fleet.h"
#include "known.h"
}

namespace
{

struct Hold {
	uint32_t wait_ms;
	uint32_t timeout_ms;
	cell_hold_fn *done;
	void *arg;
	bool answered;
};

struct Stop {
	cell_order_fn *done;
	void *arg;
};

struct Worker {
	std::vector<Hold> holds;
	std::vector<Stop> stops;
};

void
on_hold(void *ctx, const struct cell_hold *h, cell_hold_fn *done, void *arg)
{
	static_cast<Worker *>(ctx)->holds.push_back(
	    {h->wait_ms, h->timeout_ms, done, arg, false});
}

void
on_stop(void *ctx, const struct cell_order *, cell_order_fn *done, void *arg)
{
	static_cast<Worker *>(ctx)->stops.push_back({done, arg});
}

class Fleet : public testing::Test
{
      protected:
	void SetUp() override
	{
		struct cell_fleet_events e = {};

		ops_.hold = on_hold;
		ops_.outside = &worker_;
		ops_.log = [](void *, const char *, const char *,
			       const char *) {};
		ops_.count = [](void *, const char *, uint64_t) {};
		limits_.lease_max_ms = 10000;
		e.answered = [](void *, struct cell_worker *, ogl_time) {};
		e.room = [](void *, ogl_time) {};
		e.found = [](void *arg, struct cell_worker *w,
			      const struct cell_row *row, ogl_time now) {
			auto *t = static_cast<Fleet *>(arg);

			cell_fleet_stray(t->fleet_, w, row, now);
		};
		e.arg = this;
		ops_.stop = on_stop;
		fleet_ = cell_fleet_init(&ops_, &limits_, &e);
		cell_fleet_open(fleet_, 1, now_);
		list("10.9.0.1:80");
	}

	/* The platform's list has the worker at that address. */
	void list(const char *addr)
	{
		struct cell_worker_entry entry = {};
		char service[] = "svc", none[] = "";

		entry.service = service;
		entry.addr = const_cast<char *>(addr);
		entry.zone = none;
		entry.rack = none;
		entry.capacity.cpu_milli = 16000;
		cell_fleet_entry(fleet_, "w", &entry, now_);
	}

	/* Every call gets its one answer, also after the end of ownership. */
	void TearDown() override
	{
		struct cell_hold_answer lost = {};
		struct cell_order_answer none = {};

		lost.io = OGL_IO_LOST;
		none.io = OGL_IO_LOST;
		cell_fleet_close(fleet_);
		for (Hold &h : worker_.holds) {
			if (!h.answered)
				h.done(h.arg, &lost, now_);
		}
		for (Stop &s : worker_.stops)
			s.done(s.arg, &none, now_);
		cell_fleet_end(fleet_);
	}

	/* Lets time pass; the hold sent meanwhile. */
	Hold step(ogl_time ms)
	{
		now_ += ms * OGL_MS;
		cell_fleet_step(fleet_, now_);
		return worker_.holds.back();
	}

	/* Another worker answers at the address. */
	void refuse_life()
	{
		struct cell_hold_answer a = {};
		Hold &h = worker_.holds.back();

		a.io = OGL_IO_REFUSED;
		a.why = CELL_REFUSED_LIFE;
		h.answered = true;
		h.done(h.arg, &a, now_);
	}

	/* A record of the workers is made. */
	void store(uint64_t number)
	{
		GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);

		g_bytes_unref(cell_known_pack(fleet_, number, ids, now_));
		g_ptr_array_unref(ids);
	}

	struct cell_worker *worker()
	{
		return cell_fleet_worker(fleet_, "w");
	}

	void answer(enum ogl_io io, size_t running)
	{
		struct cell_hold_answer a = {};
		struct cell_row row = {};
		Hold &h = worker_.holds.back();

		a.io = io;
		a.born_ms = 7;
		a.clock_ms = static_cast<uint64_t>(now_ / OGL_MS);
		row.run = 1;
		row.checkpoint = "";
		a.running = &row;
		a.nrunning = running;
		h.answered = true;
		h.done(h.arg, &a, now_);
	}

	Worker worker_;
	struct cell_ops ops_ = {};
	struct cell_limits limits_ = {};
	struct cell_fleet *fleet_ = nullptr;
	ogl_time now_ = 100 * OGL_SEC;
};

/*
 * After all nodes were killed, a worker's answer to the new owner's first
 * question is lost.  Nothing of earlier jobs is started before that answer, so
 * callers of the whole cell would wait for as long as the owner does.
 */
TEST_F(Fleet, TheFirstQuestionIsRepeatedSoon)
{
	Hold first = step(10);

	EXPECT_EQ(0u, first.wait_ms);
	EXPECT_EQ(150u, first.timeout_ms);
	answer(OGL_IO_LOST, 0);
	EXPECT_EQ(300u, step(10).timeout_ms);
	answer(OGL_IO_LOST, 0);
	EXPECT_EQ(600u, step(200).timeout_ms);
	answer(OGL_IO_LOST, 0);
	EXPECT_EQ(600u, step(200).timeout_ms);
}

/*
 * A worker loses some of its answers.  An end that is told in a lost one stays
 * unknown until the hold is given up; with the usual long ones the next step of
 * a short job would begin 0.8 s late.
 */
TEST_F(Fleet, AWorkerThatLosesAnswersIsAskedInShortHolds)
{
	step(10);
	answer(OGL_IO_OK, 1);
	EXPECT_EQ(450u, step(10).wait_ms);
	answer(OGL_IO_LOST, 0);
	EXPECT_EQ(100u, step(10).wait_ms);
	EXPECT_EQ(250u, worker_.holds.back().timeout_ms);
	answer(OGL_IO_OK, 1);
	EXPECT_EQ(100u, step(10).wait_ms);
	answer(OGL_IO_OK, 1);
	EXPECT_EQ(450u, step(2500).wait_ms);
}

/* Guards against a takeover that waits for a worker whose place another took. */
TEST_F(Fleet, AWorkerWhoseAddressAnotherHasIsGone)
{
	step(10);
	EXPECT_FALSE(cell_fleet_settled(fleet_, now_));
	refuse_life();
	EXPECT_TRUE(cell_fleet_settled(fleet_, now_));
}

/* Guards against a takeover that does not wait for a worker that has moved. */
TEST_F(Fleet, AGoneWorkerListedElsewhereIsWaitedFor)
{
	step(10);
	refuse_life();
	list("10.9.0.2:80");
	EXPECT_FALSE(cell_fleet_settled(fleet_, now_));
	step(10);
	answer(OGL_IO_OK, 0);
	EXPECT_TRUE(cell_fleet_settled(fleet_, now_));
}

/* Guards against work on a worker that a successor would call elsewhere. */
TEST_F(Fleet, AWorkerThatHasMovedIsGivenNothingUntilThatIsStored)
{
	step(10);
	answer(OGL_IO_OK, 0);
	cell_fleet_named(fleet_, "w", 1);
	EXPECT_TRUE(cell_worker_open(worker(), now_));
	list("10.9.0.2:80");
	EXPECT_FALSE(cell_worker_open(worker(), now_));
	EXPECT_TRUE(cell_fleet_names_changed(fleet_));
	cell_fleet_named(fleet_, "w", 2);
	EXPECT_FALSE(cell_worker_open(worker(), now_));
	store(3);
	cell_fleet_named(fleet_, "w", 2);
	EXPECT_FALSE(cell_worker_open(worker(), now_));
	cell_fleet_named(fleet_, "w", 3);
	EXPECT_TRUE(cell_worker_open(worker(), now_));
}

} // namespace
