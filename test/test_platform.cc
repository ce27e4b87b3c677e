/*
 * Decoding and encoding by the platform adapter, with well-formed input and
 * with malformed input that other programs may have written.
 */

#include <gtest/gtest.h>

#include <cstring>
#include <fstream>

extern "C" {
#include "job.h"
#include "platform.h"
}

namespace
{

const char kConfig[] = R"({"version":7,"routes":[
 {"name":"r-1","host":"a.example","path_prefix":"/p/","kind":"non_idempotent",
  "timeout_ms":3000,"target_latency_ms":250,"priority":0,"service":"svc",
  "max_attempts":3,"slack_factor":1.5,
  "advice":{"decide_ms":6.5,"period_ms":0.093,"valid_ms":2500},"public":false},
 {"name":"r-2","host":"a.example","path_prefix":"/p/long/","service":"svc2",
  "public":true}],
 "services":[{"name":"svc","standby":false}],"limits":{},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"weight":38,
  "maximum":{"cpu":435268,"mem_mb":1250656,"gpus":0}}]})";

struct cell_config *
parse_config(const std::string &text)
{
	const char *why = nullptr;

	return platform_config_parse(ogl_str(text.c_str()), &why);
}

TEST(PlatformConfig, DecodesAllEntries)
{
	struct cell_config *c = parse_config(kConfig);
	struct ogl_str rest;
	const struct cell_queue *q;
	const struct cell_team *t;

	ASSERT_NE(nullptr, c);
	EXPECT_EQ(7U, cell_config_version(c));
	q = cell_config_queue(c, "r-1");
	ASSERT_NE(nullptr, q);
	EXPECT_EQ(0U, q->rank);
	EXPECT_EQ(3U, q->attempts_max);
	EXPECT_EQ(250U, q->objective_ms);
	EXPECT_DOUBLE_EQ(1.5, q->slack);
	EXPECT_TRUE(q->policy.needed);
	EXPECT_DOUBLE_EQ(6.5, q->policy.decide_ms);
	EXPECT_FALSE(cell_config_queue(c, "r-2")->policy.needed);
	t = cell_config_team_of_key(c, ogl_str("k2"));
	ASSERT_NE(nullptr, t);
	EXPECT_STREQ("t1", t->name);
	EXPECT_EQ(435268U, t->max.cpu_milli);
	EXPECT_EQ(nullptr, cell_config_team_of_key(c, ogl_str("k3")));
	q = cell_config_route(
	    c, ogl_str("a.example:80"), ogl_str("/p/long/x"), &rest);
	ASSERT_NE(nullptr, q);
	EXPECT_STREQ("r-2", q->name);
	EXPECT_TRUE(ogl_str_eq(rest, ogl_str("x")));
	EXPECT_EQ(nullptr,
	    cell_config_route(c, ogl_str("b.example"), ogl_str("/p/x"), &rest));
	cell_config_unref(c);
}

/* A malformed record must not replace the configuration in force: a partly
 * decoded one would refuse valid keys and queues. */
TEST(PlatformConfig, RejectsRecordWithIncompleteEntry)
{
	const char *bad[] = {"", "null", "[]", "{", "{\"version\":0}",
	    R"({"version":3,"routes":[{"name":"r"}]})",
	    R"({"version":3,"tenants":[{"api_keys":["k"]}]})",
	    R"({"version":3,"services":[{}]})",
	    R"({"version":3,"routes":[7]})"};

	for (const char *text : bad)
		EXPECT_EQ(nullptr, parse_config(text)) << text;
}

TEST(PlatformSettingsKey, ParsesEvacuatedZone)
{
	EXPECT_STREQ("zone-a", platform_evacuated_zone("evacuate/zone-a"));
	EXPECT_STREQ("a/b", platform_evacuated_zone("evacuate/a/b"));
	EXPECT_EQ(nullptr, platform_evacuated_zone("evacuate/"));
	EXPECT_EQ(nullptr, platform_evacuated_zone("evacuate"));
	EXPECT_EQ(nullptr, platform_evacuated_zone("config"));
	EXPECT_EQ(nullptr, platform_evacuated_zone("wave/1"));
	EXPECT_EQ(nullptr, platform_evacuated_zone(""));
}

/* dropped gets the number of strings that can't be used. */
struct cell_worker_entry *
parse_entry(const std::string &text, unsigned *dropped = nullptr)
{
	unsigned n = 0;
	struct cell_worker_entry *e =
	    platform_worker_entry_parse({text.data(), text.size()}, &n);

	if (dropped != nullptr)
		*dropped = n;
	return e;
}

TEST(PlatformWorkerEntry, DecodesAllFields)
{
	const char text[] =
	    R"({"service":"svc","address":"10.1.0.9:8080","zone":"a",)"
	    R"("version":"v1","slots":8,"state":"draining",)"
	    R"("capacity":{"cpu":16000,"mem_mb":32768,"gpus":1},)"
	    R"("labels":["a","r1-3"],"clock_ms":482113,"seq":4,)"
	    R"("born":1700000000123,"drain_remaining_ms":900})";
	struct cell_worker_entry *e = parse_entry(text);

	ASSERT_NE(nullptr, e);
	EXPECT_STREQ("svc", e->service);
	EXPECT_STREQ("10.1.0.9:8080", e->addr);
	EXPECT_STREQ("r1-3", e->rack);
	EXPECT_TRUE(e->draining);
	EXPECT_EQ(1700000000123U, e->born_ms);
	EXPECT_EQ(16000U, e->capacity.cpu_milli);
	EXPECT_EQ(1U, e->capacity.accel);
	EXPECT_EQ(900U, e->leaves_ms);
	platform_worker_entry_free(e);
}

/* Other programs write entries too, which may lack fields, have fields of
 * another type or not be text at all.  Such an entry is ignored, and the others
 * stay valid. */
TEST(PlatformWorkerEntry, RejectsMalformedEntries)
{
	const char *bad[] = {"", "{}", "[1]", "\xff\xfe",
	    R"({"service":1,"address":"x","state":"ready"})",
	    R"({"service":"s","address":"x","state":"asleep"})",
	    R"({"service":"s","state":"ready"})",
	    R"({"service":"s","address":["x"],"state":"ready"})"};

	for (const char *text : bad)
		EXPECT_EQ(nullptr, parse_entry(text)) << text;
}

TEST(PlatformWorkerEntry, IgnoresFieldsThatAreNotUsed)
{
	struct cell_worker_entry *e = parse_entry(
	    R"({"service":"s","address":"10.1.0.9:8080","state":"ready",)"
	    R"("zone":"z","capacity":{"cpu":1,"x":"all"},)"
	    R"("labels":[1,null,"r2-1"],"seq":"now","slots":[]})");

	ASSERT_NE(nullptr, e);
	EXPECT_EQ(1U, e->capacity.cpu_milli);
	EXPECT_EQ(0U, e->capacity.mem_mb);
	EXPECT_STREQ("r2-1", e->rack);
	EXPECT_EQ(0U, e->born_ms);
	platform_worker_entry_free(e);
}

/* Guards against a cut off label that another step requires, and against line
 * ends in the address and id that go into a request. */
TEST(PlatformWorkerEntry, ControlCharactersAreNotCutOff)
{
	const char *fields[][2] = {
	    {R"("service":"s")", R"("service":"s\u0000t")"},
	    {R"("address":"10.1.0.9:80")",
		R"("address":"10.1.0.9:80\r\nA: b")"},
	    {R"("address":"10.1.0.9:80")", R"("address":"10.1.0.9:80\u0000")"},
	    {R"("zone":"z")", R"("zone":"z\u0000")"},
	    {R"("zone":"z")", R"("zone":"\u0085")"},
	    {R"("state":"ready")", R"("state":"ready\u0000")"}};
	const std::string sound =
	    R"({"service":"s","address":"10.1.0.9:80","state":"ready",)"
	    R"("zone":"z","capacity":{}})";
	unsigned dropped;
	struct cell_worker_entry *e;

	e = parse_entry(sound);
	EXPECT_NE(nullptr, e);
	platform_worker_entry_free(e);
	for (const auto &f : fields) {
		std::string text = sound;

		text.replace(text.find(f[0]), strlen(f[0]), f[1]);
		EXPECT_EQ(nullptr, parse_entry(text)) << text;
	}
	e = parse_entry(
	    R"({"service":"s","address":"10.1.0.9:80","state":"ready",)"
	    R"("zone":"z","capacity":{},)"
	    R"("labels":["gpu\u0000x","a","r1-3\n","r2-1"]})",
	    &dropped);
	ASSERT_NE(nullptr, e);
	EXPECT_EQ(2U, dropped);
	EXPECT_STREQ("a", e->labels[0]);
	EXPECT_STREQ("r2-1", e->labels[1]);
	EXPECT_EQ(nullptr, e->labels[2]);
	EXPECT_STREQ("r2-1", e->rack);
	platform_worker_entry_free(e);
}

TEST(PlatformTask, ParsesOnlyCompleteNames)
{
	struct cell_task_name t;

	EXPECT_TRUE(platform_task_parse("5c0e7a21d94b36f8.0.1.17", &t));
	EXPECT_STREQ("5c0e7a21d94b36f8", t.id);
	EXPECT_EQ(0U, t.occurrence);
	EXPECT_EQ(1U, t.step);
	EXPECT_EQ(17U, t.index);
	EXPECT_FALSE(platform_task_parse("", &t));
	EXPECT_FALSE(platform_task_parse("5c0e7a21d94b36f8.0.1", &t));
	EXPECT_FALSE(platform_task_parse("5c0e7a21d94b36f8.0.1.17.2", &t));
	EXPECT_FALSE(platform_task_parse("5c0e.0.1.17", &t));
	EXPECT_FALSE(platform_task_parse("5c0e7a21d94b36f8.0.\n1.17", &t));
	EXPECT_FALSE(platform_task_parse("5c0e7a21d94b36f8.0.1.-17", &t));
}

TEST(PlatformJob, DecodesAllFields)
{
	char why[PLATFORM_REASON_BYTES] = "";
	Ogl__CellJob *j = platform_job_parse(
	    ogl_str(R"({"spec":"text","steps":[{"count":4,"cpu":500,)"
		    R"("mem_mb":256,"gpus":2,"estimate_ms":900,"gang":true,)"
		    R"("data_rack":"r1-3"},{"count":20,"cpu":2000,)"
		    R"("mem_mb":1024,"after":[0],"checkpointing":true,)"
		    R"("tightly_coupled":true,"requirements":"a",)"
		    R"("anti_affinity":3,"allow_duplicates":true,)"
		    R"("long_running":true,"image":"i","target_ms":40,)"
		    R"("fills":true,"may_miss":1}],"repeat_count":3,)"
		    R"("first_run_ms":1700000000000,"interval_ms":500})"),
	    why);

	ASSERT_NE(nullptr, j) << why;
	ASSERT_EQ(2U, j->n_steps);
	EXPECT_TRUE(ogl_str_eq(ogl_str("text"), cell_field_str(&j->spec)));
	EXPECT_EQ(3U, j->repeats);
	EXPECT_EQ(1700000000000U, j->first_due_ms);
	EXPECT_EQ(500U, j->interval_ms);
	EXPECT_TRUE(j->steps[0]->gang);
	EXPECT_EQ(2U, j->steps[0]->accel);
	EXPECT_STREQ("r1-3", j->steps[0]->data_rack);
	EXPECT_EQ(1U, j->steps[1]->n_after);
	EXPECT_TRUE(j->steps[1]->checkpoints);
	EXPECT_TRUE(j->steps[1]->tight);
	EXPECT_STREQ("a", j->steps[1]->label);
	EXPECT_EQ(3U, j->steps[1]->worker_max);
	EXPECT_TRUE(j->steps[1]->duplicates);
	EXPECT_TRUE(j->steps[1]->lasting);
	EXPECT_EQ(40U, j->steps[1]->target_ms);
	EXPECT_TRUE(j->steps[1]->fills);
	EXPECT_EQ(1U, j->steps[1]->may_miss);
	ogl__cell_job__free_unpacked(j, nullptr);
}

TEST(PlatformJob, RejectsMalformedBodiesWithReason)
{
	const std::string long_spec(4001, 'x');
	const std::string bad[] = {"", "null", "{}", R"({"steps":[]})",
	    R"({"steps":{}})",
	    "{\"spec\":\"" + long_spec + "\",\"steps\":[{\"count\":1}]}",
	    "{\"steps\":[{\"count\":1}]", "{\"steps\":\"\xff\"}"};

	for (const std::string &text : bad) {
		char why[PLATFORM_REASON_BYTES] = "";

		EXPECT_EQ(
		    nullptr, platform_job_parse(ogl_str(text.c_str()), why));
		EXPECT_STRNE("", why) << text;
	}
}

/* The NUL counts as a byte, so that the limit holds for what is behind it. */
TEST(PlatformJob, SpecIsDecodedWhole)
{
	char why[PLATFORM_REASON_BYTES] = "";
	std::string spec(4000, 'x');
	std::string body;
	Ogl__CellJob *j;

	spec[4] = '\0';
	body = "{\"spec\":\"xxxx\\u0000" + spec.substr(5);
	j = platform_job_parse(
	    ogl_str((body + "\",\"steps\":[{\"count\":1}]}").c_str()), why);
	ASSERT_NE(nullptr, j) << why;
	EXPECT_TRUE(
	    ogl_str_eq({spec.data(), spec.size()}, cell_field_str(&j->spec)));
	ogl__cell_job__free_unpacked(j, nullptr);
	EXPECT_EQ(nullptr,
	    platform_job_parse(
		ogl_str((body + "y\",\"steps\":[{\"count\":1}]}").c_str()),
		why));
	EXPECT_STREQ("spec is too long", why);
}

/* Guards against a requirement that is cut off, and so met by other workers. */
TEST(PlatformJob, RefusesControlCharactersInNames)
{
	const struct {
		const char *body;
		const char *why;
	} rows[] = {
	    {R"({"steps":[{"count":1},{"count":1,"requirements":"a\u0000b"}]})",
		"steps[1].requirements has a control character"},
	    {R"({"steps":[{"count":1,"requirements":"\u0000"}]})",
		"steps[0].requirements has a control character"},
	    {R"({"steps":[{"count":1,"data_rack":"r1-3\n"}]})",
		"steps[0].data_rack has a control character"},
	    {R"({"steps":[{"count":1,"image":"\u007f"}]})",
		"steps[0].image has a control character"},
	    {R"({"steps":[{"count":1,"image":"\u009b1m"}]})",
		"steps[0].image has a control character"},
	    {R"({"spec":7,"steps":[{"count":1}]})", "spec is no string"},
	    {R"({"spec":null,"steps":[{"count":1}]})", "spec is no string"},
	    {R"({"spec":["a"],"steps":[{"count":1}]})", "spec is no string"}};
	char why[PLATFORM_REASON_BYTES];
	Ogl__CellJob *j;

	for (const auto &row : rows) {
		why[0] = '\0';
		EXPECT_EQ(nullptr, platform_job_parse(ogl_str(row.body), why))
		    << row.body;
		EXPECT_STREQ(row.why, why);
	}
	j = platform_job_parse(
	    ogl_str(R"({"steps":[{"count":1,"requirements":"\u00e9"}]})"), why);
	ASSERT_NE(nullptr, j);
	EXPECT_STREQ("\u00e9", j->steps[0]->label);
	ogl__cell_job__free_unpacked(j, nullptr);
}

/* A step must not wait for itself or a later one, or the job would never end.
 * Steps without tasks are rejected too. */
TEST(PlatformJob, RejectsInvalidSteps)
{
	const char *bad[] = {R"({"steps":[{"count":1,"after":[0]}]})",
	    R"({"steps":[{"count":1,"after":[1]},{"count":1}]})",
	    R"({"steps":[{"count":1,"after":[-1]}]})",
	    R"({"steps":[{"count":0}]})", R"({"steps":[{"cpu":1}]})",
	    R"({"steps":[7]})"};

	for (const char *text : bad) {
		const char *why = nullptr;
		char reason[PLATFORM_REASON_BYTES];
		Ogl__CellJob *j = platform_job_parse(ogl_str(text), reason);

		if (j == nullptr)
			continue;
		EXPECT_FALSE(cell_job_def_valid(j, &why)) << text;
		ogl__cell_job__free_unpacked(j, nullptr);
	}
}

TEST(PlatformAnswer, HasHttpStatusAndBody)
{
	struct cell_answer a = {};
	GBytes *b;
	gsize n;

	EXPECT_EQ(200U, platform_http_status(CELL_OK));
	EXPECT_EQ(401U, platform_http_status(CELL_NO_KEY));
	EXPECT_EQ(404U, platform_http_status(CELL_NO_QUEUE));
	EXPECT_EQ(410U, platform_http_status(CELL_NO_JOB));
	EXPECT_EQ(429U, platform_http_status(CELL_OVER_RATE));
	EXPECT_EQ(503U, platform_http_status(CELL_BUSY));
	EXPECT_EQ(504U, platform_http_status(CELL_UNSURE));
	EXPECT_EQ(409U, platform_http_status(CELL_ID_TAKEN));
	a.has_state = true;
	a.state = OGL__CELL_JOB_STATE__cell_completed;
	b = platform_answer_body(&a);
	EXPECT_EQ("{\"state\":\"completed\"}",
	    std::string(static_cast<const char *>(g_bytes_get_data(b, &n)),
		g_bytes_get_size(b)));
	g_bytes_unref(b);
}

std::string
settings_file(const std::string &text)
{
	std::string path = testing::TempDir() + "platform_settings.json";

	std::ofstream(path) << text;
	return path;
}

const char kSettings[] = R"({"node_name":"edge-1","ip":"10.1.0.17",
 "zone":"z","listen_addrs":{"frontend":"10.1.0.17:8183",
 "ready":"10.1.0.17:8184"},"internal_ports":[7420,7435],
 "platform":{"address":"10.200.1.7:8182"},"advice":"10.200.1.9:8182",
 "bounds":{"max_hold_ms":10000,"stop_ms":900,"revoke_ms":5000,
 "status_s":120,"visible_ms":3000,"gang_timeout_ms":3000,"grace_s":6},
 "limits":{"cpu_shares":0.25,"cores":2,"link_mbps":1.5},
 "news":[1,2]})";

TEST(PlatformSettings, ReadsFieldsAndIgnoresUnknownOnes)
{
	struct ogl_faults *f = ogl_faults_new();
	struct platform_settings *s =
	    platform_settings_read(settings_file(kSettings).c_str(), f);

	ASSERT_NE(nullptr, s);
	EXPECT_STREQ("edge-1", s->name);
	EXPECT_STREQ("10.1.0.17:7420", s->peer);
	EXPECT_STREQ("10.1.0.17:7420", s->advertised);
	EXPECT_EQ(6000U, s->grace_ms);
	EXPECT_EQ(120000U, s->limits.status_ms);
	EXPECT_EQ(10000U, s->limits.lease_max_ms);
	EXPECT_EQ(500U, s->strength);
	EXPECT_EQ(1500U, s->link_kbps);
	platform_settings_free(s);
	ogl_faults_free(f);
}

/* A node behind a port forward tells its peers an address that nobody reaches. */
TEST(PlatformSettings, AddressToldToPeersMayDifferFromTheOneListenedOn)
{
	struct ogl_faults *f = ogl_faults_new();
	std::string text = kSettings;
	struct platform_settings *s;

	text.insert(1, R"("advertised_addr":"192.0.2.9:420",)");
	s = platform_settings_read(settings_file(text).c_str(), f);
	ASSERT_NE(nullptr, s);
	EXPECT_STREQ("10.1.0.17:7420", s->peer);
	EXPECT_STREQ("192.0.2.9:420", s->advertised);
	platform_settings_free(s);
	text = kSettings;
	text.insert(1, R"("advertised_addr":7,)");
	EXPECT_EQ(
	    nullptr, platform_settings_read(settings_file(text).c_str(), f));
	ASSERT_EQ(1U, ogl_faults_count(f));
	EXPECT_STREQ("/advertised_addr", ogl_faults_path(f, 0));
	ogl_faults_free(f);
}

TEST(PlatformSettings, ReportsPathOfEveryFault)
{
	struct ogl_faults *f = ogl_faults_new();
	std::string found;

	EXPECT_EQ(nullptr,
	    platform_settings_read(
		settings_file(R"({"node_name":3,"ip":"1.2.3.4","zone":"z",)"
			      R"("listen_addrs":{"ready":"x"},)"
			      R"("internal_ports":["a"],"platform":{},)"
			      R"("bounds":{"stop_ms":-1}})")
		    .c_str(),
		f));
	for (size_t i = 0; i < ogl_faults_count(f); i++)
		found += std::string(ogl_faults_path(f, i)) + "\n";
	EXPECT_EQ("/internal_ports/0\n/node_name\n/listen_addrs/frontend\n"
		  "/platform/address\n/bounds/grace_s\n/bounds/max_hold_ms\n"
		  "/bounds/stop_ms\n/bounds/revoke_ms\n/bounds/status_s\n"
		  "/bounds/visible_ms\n/bounds/gang_timeout_ms\n",
	    found);
	ogl_faults_free(f);
}

} // namespace
