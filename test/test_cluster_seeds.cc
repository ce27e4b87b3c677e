/*
 * Random load under random faults, one run per seed.  OGL_SEEDS (a count) and
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
const unsigned MAX_SHOWN = 3; /* failing runs with their history */

unsigned
seed_count()
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
	o.faults = fake_cluster_violations(fake_faults_cluster(f));
	o.length = strlen(fake_cluster_trace(fake_faults_cluster(f)));
	if (!o.faults.empty() || getenv("OGL_WHOLE") != nullptr) {
		char *t =
		    getenv("OGL_WHOLE") != nullptr
			? g_strdup(fake_cluster_trace(fake_faults_cluster(f)))
			: fake_cluster_trace_tail(fake_faults_cluster(f), 40);
		o.tail = t;
		g_free(t);
	}
	fake_faults_end(f);
	return o;
}

TEST(ClusterSeeds, InvariantsHoldUnderRandomFaults)
{
	/* Whatever fails, callers get true answers, nothing runs twice, no
	 * worker is above its capacity, no team is above its limit, and
	 * accepted work ends once the faults are over. */
	unsigned last = first_seed() + seed_count();
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
				    << (shown++ < MAX_SHOWN ? o.tail : "");
			}
		});
	}
	for (std::thread &t : threads)
		t.join();
}

// Seeds beyond the first few hundred that found a fault: a part of a limit
// was reported while an older split was under way (6128), an older snapshot
// brought an evicted node back (5119), two nodes evicted each other so that
// no node kept the settings (5843), one id created two jobs (10243), a shard
// had two owners permanently (20207 and below 300).
TEST(ClusterSeeds, InvariantsHoldForSeedsThatFailed)
{
	for (uint64_t seed : {5119, 5843, 6128, 10243, 10784, 20207}) {
		outcome o = run_seed(seed);

		EXPECT_EQ("", o.faults) << "seed " << seed << "\n" << o.tail;
	}
}

TEST(ClusterSeeds, SameSeedGivesSameHistory)
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
