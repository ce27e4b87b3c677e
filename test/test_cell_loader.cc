/* A takeover's reading, driven answer by answer. */

#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "loader.h"
}

namespace
{

struct Exchange {
	cell_append_fn *fence;
	cell_newest_fn *page;
	void *arg;
	bool answered;
};

class Loader : public testing::Test
{
      protected:
	void SetUp() override
	{
		struct cell_loader_events events = {};

		ops_.append = [](void *ctx, const struct cell_append *,
				  cell_append_fn *done, void *arg) {
			static_cast<Loader *>(ctx)->sent_.push_back(
			    {done, nullptr, arg, false});
		};
		ops_.newest = [](void *ctx, const struct cell_newest *,
				  cell_newest_fn *done, void *arg) {
			static_cast<Loader *>(ctx)->sent_.push_back(
			    {nullptr, done, arg, false});
		};
		ops_.log = [](void *, const char *, const char *,
			       const char *) {};
		ops_.outside = this;
		events.outranked = [](void *arg, ogl_time) {
			static_cast<Loader *>(arg)->outranked_++;
		};
		events.loaded = [](void *arg, const struct cell_loaded *,
				    ogl_time) {
			static_cast<Loader *>(arg)->loaded_++;
		};
		events.arg = this;
		loader_ = cell_loader_init(&ops_, 0, 0, &events);
	}

	/* Every exchange ends in one answer. */
	void TearDown() override
	{
		for (size_t i = 0; i < sent_.size(); i++)
			answer(i, OGL_IO_LOST);
		cell_loader_end(loader_);
	}

	void run(int ms)
	{
		for (int i = 0; i < ms; i += 10) {
			now_ += 10 * OGL_MS;
			cell_loader_step(loader_, now_);
		}
	}

	/* The answer to the n-th exchange, from 0. */
	void answer(size_t n, enum ogl_io io, bool outranked = false)
	{
		Exchange x = sent_[n];

		if (x.answered)
			return;
		sent_[n].answered = true;
		if (x.fence != nullptr) {
			struct cell_append_answer a = {};

			a.io = io;
			a.outranked = outranked;
			x.fence(x.arg, &a, now_);
		} else {
			struct cell_newest_answer a = {};

			a.io = io;
			x.page(x.arg, &a, now_);
		}
	}

	size_t fences() const
	{
		size_t n = 0;

		for (const Exchange &x : sent_)
			n += x.fence != nullptr;
		return n;
	}

	struct cell_ops ops_ = {};
	struct cell_loader *loader_ = nullptr;
	std::vector<Exchange> sent_;
	ogl_time now_ = 100 * OGL_SEC;
	int loaded_ = 0;
	int outranked_ = 0;
};

/* Guards against a takeover that waits for a fence whose answer is lost. */
TEST_F(Loader, AFenceIsRepeatedBesideAnUnansweredOne)
{
	cell_loader_open(loader_, 2, 0, now_);
	run(500);
	EXPECT_LE(3u, fences());
	answer(fences() - 1, OGL_IO_OK);
	run(20);
	ASSERT_NE(nullptr, sent_.back().page);
	answer(sent_.size() - 1, OGL_IO_OK);
	EXPECT_EQ(1, loaded_);
}

/* Guards against answers to earlier fences being taken for the page's. */
TEST_F(Loader, AnswersToFurtherFencesChangeNothing)
{
	cell_loader_open(loader_, 2, 0, now_);
	run(400);
	ASSERT_EQ(3u, fences());
	answer(1, OGL_IO_OK);
	run(20);
	answer(0, OGL_IO_OK);
	answer(2, OGL_IO_LOST);
	run(400);
	EXPECT_EQ(0, loaded_);
	answer(sent_.size() - 1, OGL_IO_OK);
	EXPECT_EQ(1, loaded_);
}

/* Guards against many fences to a store that is slow or away. */
TEST_F(Loader, FencesUnderWayAreBounded)
{
	cell_loader_open(loader_, 2, 0, now_);
	run(2000);
	size_t before = fences();

	EXPECT_EQ(8u, before);
	cell_loader_open(loader_, 3, 300 * OGL_MS, now_);
	run(1000);
	EXPECT_EQ(before + 1, fences());
}

} // namespace
