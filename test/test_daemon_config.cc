// The parser of the daemon's settings file.
#include <gtest/gtest.h>

#include <set>
#include <string>

extern "C" {
#include "config.h"
}

static const char valid_file[] = R"({
  "node": {"name": "n1", "addr": "127.0.0.1:7001", "zone": "z1"},
  "listen": {"http": "0.0.0.0:8001", "peer": "0.0.0.0:7001"},
  "platform": "127.0.0.1:9000",
  "seeds": ["127.0.0.1:7002", "[::1]:7003"],
  "shards": 6,
  "operator_key_hash":
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
  "log_level": "debug",
  "timings": {"lease_ms": 9000, "sync_ms": 1000, "right_ms": 4000}
})";

static std::multiset<std::string>
fault_paths(const char *text)
{
	ogl_faults *f = ogl_faults_new();
	ogl_config *c = ogl_config_parse(ogl_str(text), 1, f);
	std::multiset<std::string> paths;

	EXPECT_EQ(nullptr, c);
	for (size_t i = 0; i < ogl_faults_count(f); i++)
		paths.insert(ogl_faults_path(f, i));
	ogl_config_free(c);
	ogl_faults_free(f);
	return paths;
}

TEST(Config, FillsEveryField)
{
	ogl_faults *f = ogl_faults_new();
	ogl_config *c = ogl_config_parse(ogl_str(valid_file), 77, f);

	ASSERT_EQ(0u, ogl_faults_count(f))
	    << ogl_faults_path(f, 0) << ": " << ogl_faults_allowed(f, 0);
	EXPECT_STREQ("n1", c->node.name);
	EXPECT_STREQ("127.0.0.1:7001", c->node.addr);
	EXPECT_EQ(77u, c->node.boot);
	ASSERT_EQ(2u, c->node.nseeds);
	EXPECT_STREQ("[::1]:7003", c->node.seeds[1]);
	EXPECT_EQ(6u, c->node.shards);
	EXPECT_EQ(9000u, c->node.lease_ms);
	EXPECT_EQ(64u, strlen(c->node.operator_hash));
	EXPECT_EQ(OGL_LOG_DEBUG, c->log_level);
	ogl_config_free(c);
	ogl_faults_free(f);
}

// A file with many faults.  If only the first one was reported, an operator
// would need a restart for each of them.
TEST(Config, ReportsAllFaultsAtOnce)
{
	std::multiset<std::string> want = {"node.name", "node.adr", "node.addr",
	    "node.zone", "listen", "listen.http", "listen.peer", "platform",
	    "seeds", "shards", "operator_key_hash", "log_level",
	    "timings.lease_ms", "timings.nap_ms", "colour"};

	EXPECT_EQ(want, fault_paths(R"({
	  "node": {"name": "a b", "adr": "127.0.0.1:1", "zone": 3},
	  "listen": "everywhere",
	  "platform": "platform.example:9000",
	  "seeds": ["127.0.0.1:7002", "127.0.0.1:0"],
	  "shards": 0,
	  "operator_key_hash": "abc",
	  "log_level": "loud",
	  "timings": {"lease_ms": -1, "nap_ms": 4},
	  "colour": "blue"
	})"));
}

// Each number is in its range, but leases would end after two lost syncs, and
// an owner that is cut off would go on for as long as the leases it granted.
TEST(Config, RejectsTimingsThatContradictEachOther)
{
	std::string text = valid_file;
	size_t at = text.find("\"sync_ms\": 1000, \"right_ms\": 4000");

	ASSERT_NE(std::string::npos, at);
	text.replace(at, 33, "\"sync_ms\": 3001, \"right_ms\": 9000");
	std::multiset<std::string> got = fault_paths(text.c_str());
	EXPECT_EQ(1u, got.count("timings.sync_ms"));
	EXPECT_EQ(1u, got.count("timings.right_ms"));
}

TEST(Config, ReportsOneFaultUnlessObject)
{
	EXPECT_EQ(1u, fault_paths("{\"node\":").size());
	EXPECT_EQ(1u, fault_paths("[]").size());
	EXPECT_EQ(1u, fault_paths("").size());
}
