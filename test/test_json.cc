// Tests of the JSON form of messages and of the list of faults.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "orioleglade.h"

namespace
{

using Strings = std::vector<std::string>;

// Parses a message and adds its faults as lines `path | value | allowed`.
template <typename T>
T *
parse(const ProtobufCMessageDescriptor *d, const std::string &text,
    Strings *faults)
{
	struct ogl_faults *f = ogl_faults_new();
	ProtobufCMessage *m = ogl_json_parse(d, {text.data(), text.size()}, f);

	for (size_t i = 0; i < ogl_faults_count(f); i++)
		faults->push_back(std::string(ogl_faults_path(f, i)) + " | " +
				  ogl_faults_value(f, i) + " | " +
				  ogl_faults_allowed(f, i));
	EXPECT_EQ(nullptr, ogl_faults_path(f, ogl_faults_count(f)));
	ogl_faults_free(f);
	return reinterpret_cast<T *>(m);
}

void
expect_faults(const ProtobufCMessageDescriptor *d, const std::string &text,
    const Strings &want)
{
	Strings got;

	EXPECT_EQ(nullptr, parse<void>(d, text, &got)) << text;
	EXPECT_EQ(want, got) << text;
}

void
expect_round_trip(const ProtobufCMessageDescriptor *d, const std::string &text)
{
	Strings faults;
	auto *m = parse<ProtobufCMessage>(d, text, &faults);

	ASSERT_NE(nullptr, m) << faults.at(0);
	size_t n = 0;
	char *out = ogl_json_print(m, &n);
	EXPECT_EQ(text, std::string(out, n));
	g_free(out);
	protobuf_c_message_free_unpacked(m, nullptr);
}

} // namespace

TEST(Json, AllFieldTypesSurviveARoundTrip)
{
	expect_round_trip(&ogl__record__descriptor,
	    R"({"epoch":7,"seq":"18446744073709551615","writer":"a \"b\" ø",)"
	    R"("boot":9223372036854775807,"at_ms":0,"id_outcome":)"
	    R"({"id":"t/1","verdict":"may_have_run","status":4294967295,)"
	    R"("body":"AAEC/w=="}})");
	expect_round_trip(&ogl__worker_sync__descriptor,
	    R"({"shard":1,"epoch":2,"seq":3,"owner":"","lease_from_ms":0,)"
	    R"("lease_ms":0,"start":[{"task":"j.0","attempt":1,"team":"x",)"
	    R"("kind":"gang","res":{"cpu_milli":1,"mem_mb":2,"accel":3},)"
	    R"("run_ms":0,"payload":"","latest_start_ms":0}],"stop":[)"
	    R"({"task":"j.1","attempt":0,"mode":"throttle"},)"
	    R"({"task":"j.2","attempt":0,"mode":"stop"}],"full":true,"boot":9})");
	expect_round_trip(&ogl__claim__descriptor,
	    R"({"prev_epoch":0,"successors":["a","","c"],"late":false})");
}

TEST(Json, AbsentFieldsKeepTheirDefaults)
{
	Strings faults;
	auto *m = parse<Ogl__Submit>(&ogl__submit__descriptor, "{}", &faults);

	ASSERT_NE(nullptr, m);
	EXPECT_STREQ("", m->payload);
	EXPECT_EQ(nullptr, m->res);
	EXPECT_EQ(OGL__KIND__batch, m->kind);
	ogl__submit__free_unpacked(m, nullptr);
}

TEST(Json, AllFaultsAreReportedWithTheirPaths)
{
	expect_faults(&ogl__submit__descriptor,
	    R"({"kind":"urgent","tasks":4294967296,"res":{"cpu_milli":-1,)"
	    R"("disk":5},"run_ms":1.5,"restartable":1,"payload":null})",
	    {"kind | \"urgent\" | one of batch, service, gang, request",
		"tasks | 4294967296 | integer from 0 to 4294967295",
		"res.cpu_milli | -1 | integer from 0 to 4294967295",
		"res.disk | 5 | no field of this name",
		"run_ms | 1.5 | integer from 0 to 9223372036854775807, "
		"larger ones as a string",
		"restartable | 1 | true or false", "payload | null | string"});
	expect_faults(&ogl__edit__descriptor,
	    R"({"changes":[{},3,{"path":[]}],"who":{}})",
	    {"changes[1] | 3 | object", "changes[2].path | [] | string",
		"who | {} | string"});
	expect_faults(&ogl__edit__descriptor, R"({"changes":{}})",
	    {"changes | {} | list"});
	expect_faults(&ogl__id_outcome__descriptor, R"({"body":"A*=="})",
	    {"body | \"A*==\" | string of padded base64"});
	expect_faults(&ogl__record__descriptor, R"({"seq":"7"})",
	    {"seq | \"7\" | integer from 0 to 9223372036854775807, "
	     "larger ones as a string"});
	expect_faults(&ogl__record__descriptor,
	    R"({"worker_off":{},"worker_on":{}})",
	    {"worker_on | {} | only one field of its choice"});
	expect_faults(&ogl__submit__descriptor, "[]", {"$ | [] | object"});
}

// A caller's body may be truncated, padded or malicious.  If it were parsed
// leniently, a job could start with other values than its owner wrote.  The
// fault tells the line and column.
TEST(Json, MalformedTextIsRefused)
{
	const char *bad[] = {"", "{", "{\"tasks\":1}x", "{\"tasks\":1,}",
	    "{\"tasks\":1,\"tasks\":2}", "{\"payload\":\"\\u0000\"}",
	    "{\"payload\":\"\xff\"}", "{\"run_ms\":9223372036854775808}",
	    "nul"};

	for (const char *text : bad) {
		Strings faults;

		EXPECT_EQ(nullptr,
		    parse<void>(&ogl__submit__descriptor, text, &faults));
		ASSERT_EQ(1u, faults.size()) << text;
		EXPECT_EQ(0u, faults[0].find("$ | line ")) << faults[0];
	}
}

// A text of a million brackets is cheap to send.  Without a limit the parser
// would recurse once per bracket and overflow its stack, so that one caller
// could crash the whole process.
TEST(Json, DeepNestingIsRefused)
{
	expect_faults(&ogl__submit__descriptor, std::string(1000000, '['),
	    {"$ | nested too deeply | at most 16 levels"});
	std::string quoted = "{\"payload\":\"" + std::string(100, '[') + "\"}";
	Strings faults;
	auto *m = parse<Ogl__Submit>(&ogl__submit__descriptor, quoted, &faults);
	ASSERT_NE(nullptr, m);
	ogl__submit__free_unpacked(m, nullptr);
}

TEST(Json, LongFaultyValuesAreCutAtCharacterBoundaries)
{
	std::string want = "tasks | \"";
	std::string text = "{\"tasks\":\"";

	for (int i = 0; i < 100; i++)
		text += "ø";
	for (int i = 0; i < 29; i++)
		want += "ø";
	expect_faults(&ogl__submit__descriptor, text + "\"}",
	    {want + "... | integer from 0 to 4294967295"});
}

// A worker may send a reason or payload with invalid UTF-8.  If printing
// failed, the whole answer would be lost and the caller would never learn that
// the job ended.  Only the invalid bytes are replaced.
TEST(Json, InvalidUtf8IsReplaced)
{
	Ogl__WorkerOff off = OGL__WORKER_OFF__INIT;
	char name[] = "w\xff"
		      "1";

	off.worker = name;
	char *out = ogl_json_print(&off.base, nullptr);
	EXPECT_STREQ("{\"worker\":\"w\xef\xbf\xbd"
		     "1\"}",
	    out);
	g_free(out);
}
