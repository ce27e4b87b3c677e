/*
 * Random load under random faults, one run a seed.  OGL_SEEDS and
 * OGL_FIRST_SEED choose the seeds; with OGL_WHOLE set the whole history of
 * each run is printed.
 */

#include <gtest/gtest.h>

#include <atomic>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fake_faults.h"

namespace
{

#ifdef __SANITIZE_ADDRESS__
const unsigned DEFAULT_SEEDS = 30;
#else
const unsigned DEFAULT_SEEDS = 300;
#endif
const unsigned THREADS = 3;
const unsigned SHOWN = 3; /* failing runs whose history is shown */

unsigned
seeds_wanted()
{
	const char *e = getenv("OGL_SEEDS");

	return e != nullptr ? (unsigned)atoi(e) : DEFAULT_SEEDS;
}

unsigned
first_seed()
{
	const char *e = getenv("OGL_FIRST_SEED");

	return e != nullptr ? (unsigned)atoi(e) : 1;
}

struct outcome {
	std::string faults;
	std::string tail;
	size_t length;
};

outcome
run_seed(uint64_t seed)
{
	fake_faults *f = fake_faults_init(seed);
	outcome o;

	fake_faults_run(f, 60 * OGL_SEC);
	fake_faults_settle(f);
	o.faults = fake_cluster_faults(fake_faults_cluster(f));
	o.length = strlen(fake_cluster_trace(fake_faults_cluster(f)));
	if (!o.faults.empty() || getenv("OGL_WHOLE") != nullptr) {
		char *t =
		    getenv("OGL_WHOLE") != nullptr
			? g_strdup(fake_cluster_trace(fake_faults_cluster(f)))
			: fake_cluster_tail(fake_faults_cluster(f), 40);
		o.tail = t;
		g_free(t);
	}
	fake_faults_end(f);
	return o;
}

TEST(ClusterSeeds, HoldUnderRandomFaults)
{
	/* Whatever fails, a caller is told the truth, nothing runs twice,
	 * no worker is overfull, no team above its limit, and what was
	 * accepted ends once all is well again. */
	unsigned last = first_seed() + seeds_wanted();
	std::atomic<unsigned> next{first_seed()};
	std::atomic<unsigned> shown{0};
	std::mutex lock;
	std::vector<std::thread> threads;

	for (unsigned t = 0; t < THREADS; t++) {
		threads.emplace_back([&] {
			unsigned s;

			while ((s = next++) < last) {
				outcome o = run_seed(s);
				std::lock_guard<std::mutex> g(lock);

				if (o.faults.empty()) {
					printf("%s", o.tail.c_str());
					continue;
				}
				ADD_FAILURE()
				    << "seed " << s << ":\n"
				    << o.faults
				    << (shown++ < SHOWN ? o.tail : "");
			}
		});
	}
	for (std::thread &t : threads)
		t.join();
}

// Seeds beyond the first few hundred that once showed a fault: a part of a
// limit told while an older split was on its way (6128), an older snapshot
// that brought an evicted node back (5119), two nodes that evicted each other
// so that nobody kept the settings (5843), one id that made two jobs (10243),
// two owners for good (20207 and below 300).
TEST(ClusterSeeds, HoldWhereTheyOnceDidNot)
{
	for (uint64_t seed : {5119, 5843, 6128, 10243, 10784, 20207}) {
		outcome o = run_seed(seed);

		EXPECT_EQ("", o.faults) << "seed " << seed << "\n" << o.tail;
	}
}

TEST(ClusterSeeds, SameSeedSameHistory)
{
	fake_faults *a = fake_faults_init(7);
	fake_faults *b = fake_faults_init(7);

	fake_faults_run(a, 20 * OGL_SEC);
	fake_faults_run(b, 20 * OGL_SEC);
	EXPECT_STREQ(fake_cluster_trace(fake_faults_cluster(a)),
	    fake_cluster_trace(fake_faults_cluster(b)));
	fake_faults_end(a);
	fake_faults_end(b);
}

} // namespace
