// Fuzz tests.  No message from a peer, the platform, a worker or a caller may
// crash a node: a message that crashes each node that reads it would stop the
// whole cell, and a record in the log would crash each node at every start.
//
// Each run simulates a small cell in virtual time and corrupts messages in
// transit: it flips bits, truncates, and sets fields of the decoded message to
// unusual values.  The seed determines the whole run.  There are few runs by
// default; OGL_FUZZ sets their number and OGL_FUZZ_SEED the first seed
// (tools/fuzz.sh).
#include <gtest/gtest.h>

#include <jansson.h>

#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fake_exec.h"
#include "fake_log.h"
#include "fake_worker.h"
#include "orioleglade.h"
extern "C" {
#include "config.h"
#include "job.h"
#include "logpage.h"
#include "platform.h"
#include "random.h"
#include "wire_json.h"
}

namespace
{

const int kRuns = 12;
const uint32_t kNodes = 3;
const int kMaxEntries = 64;

struct Random {
	ogl_random r;

	explicit Random(uint64_t seed)
	{
		ogl_random_init(&r, seed);
	}
	uint64_t Below(uint64_t n)
	{
		return ogl_random_next(&r) % n;
	}
	bool ChancePermille(uint32_t permille)
	{
		return Below(1000) < permille;
	}
	template <class T> const T &Choose(const std::vector<T> &v)
	{
		return v[Below(v.size())];
	}
};

long
FromEnv(const char *name, long fallback)
{
	const char *s = getenv(name);

	return s != nullptr ? atol(s) : fallback;
}

// Calls fn with each seed of this process.
void
ForEachSeed(long runs, const std::function<void(uint64_t)> &fn)
{
	long first = FromEnv("OGL_FUZZ_SEED", 1);
	long n = FromEnv("OGL_FUZZ", 0);

	g_log_set_always_fatal(
	    (GLogLevelFlags)(G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_ERROR));
	for (long i = 0; i < (n > 0 ? n : runs); i++) {
		if (n > 0)
			fprintf(stderr, "seed %ld\n", first + i);
		fn((uint64_t)(first + i));
	}
}

// ---- mutations --------------------------------------------------------------

void
CorruptBytes(std::string *s, Random *rnd)
{
	for (uint64_t i = 1 + rnd->Below(3); i > 0 && !s->empty(); i--) {
		size_t at = rnd->Below(s->size());

		switch (rnd->Below(5)) {
		case 0:
			(*s)[at] = (char)((*s)[at] ^ (1 << rnd->Below(8)));
			break;
		case 1:
			(*s)[at] = (char)rnd->Below(256);
			break;
		case 2:
			s->resize(at);
			break;
		case 3:
			s->insert(at, s->substr(at, 1 + rnd->Below(40)));
			break;
		default:
			s->erase(at, 1 + rnd->Below(10));
			break;
		}
	}
}

uint64_t
UnusualNumber(Random *rnd, uint64_t was)
{
	switch (rnd->Below(8)) {
	case 0:
		return was + 1;
	case 1:
		return was - 1;
	case 2:
		return UINT64_MAX - rnd->Below(2);
	case 3:
		return (uint64_t)INT64_MAX + rnd->Below(3) - 1;
	case 4:
		return UINT32_MAX - rnd->Below(2);
	case 5:
		return 1ull << rnd->Below(64);
	default:
		return rnd->Below(12);
	}
}

char *
UnusualString(Random *rnd)
{
	static const std::vector<std::string> unusual = {"", "\xff\xfe", "a|b",
	    "/", "north", "north/jerash", "s0-1-1", "s1-1-1.0", "n0", "w0",
	    "%s%n", "{}", "127.0.0.1:1", "\x01", std::string(300, 'a')};

	return strdup(rnd->Choose(unusual).c_str());
}

void MutateMessage(ProtobufCMessage *m, Random *rnd, int depth);

// Sets a value to something unusual.  Returns false if that is not possible.
bool
MutateValue(const ProtobufCFieldDescriptor *f, char *at, Random *rnd, int depth,
    bool repeated)
{
	switch (f->type) {
	case PROTOBUF_C_TYPE_UINT32:
		*(uint32_t *)at = (uint32_t)UnusualNumber(rnd, *(uint32_t *)at);
		return true;
	case PROTOBUF_C_TYPE_UINT64:
		*(uint64_t *)at = UnusualNumber(rnd, *(uint64_t *)at);
		return true;
	case PROTOBUF_C_TYPE_BOOL:
		*(protobuf_c_boolean *)at = !*(protobuf_c_boolean *)at;
		return true;
	case PROTOBUF_C_TYPE_ENUM:
		*(int *)at = rnd->ChancePermille(500)
				 ? (int)rnd->Below(9)
				 : (int)UnusualNumber(rnd, 0);
		return true;
	case PROTOBUF_C_TYPE_STRING:
		if (*(char **)at != protobuf_c_empty_string)
			free(*(char **)at);
		*(char **)at = UnusualString(rnd);
		return true;
	case PROTOBUF_C_TYPE_BYTES: {
		ProtobufCBinaryData *b = (ProtobufCBinaryData *)at;

		for (size_t i = 0; i < 3 && b->len > 0; i++)
			b->data[rnd->Below(b->len)] = (uint8_t)rnd->Below(256);
		return b->len > 0;
	}
	case PROTOBUF_C_TYPE_MESSAGE: {
		ProtobufCMessage **sub = (ProtobufCMessage **)at;
		bool oneof = (f->flags & PROTOBUF_C_FIELD_FLAG_ONEOF) != 0;

		if (*sub == nullptr)
			return false;
		if (!repeated && !oneof && rnd->ChancePermille(250)) {
			protobuf_c_message_free_unpacked(*sub, nullptr);
			*sub = nullptr;
		} else {
			MutateMessage(*sub, rnd, depth + 1);
		}
		return true;
	}
	default:
		return false;
	}
}

size_t
ValueSize(const ProtobufCFieldDescriptor *f)
{
	switch (f->type) {
	case PROTOBUF_C_TYPE_UINT32:
	case PROTOBUF_C_TYPE_BOOL:
	case PROTOBUF_C_TYPE_ENUM:
		return 4;
	case PROTOBUF_C_TYPE_BYTES:
		return sizeof(ProtobufCBinaryData);
	default:
		return 8;
	}
}

bool
MutateField(ProtobufCMessage *m, const ProtobufCFieldDescriptor *f, Random *rnd,
    int depth)
{
	char *base = (char *)m;

	if (f->label == PROTOBUF_C_LABEL_REPEATED) {
		size_t *n = (size_t *)(base + f->quantifier_offset);

		return *n > 0 && MutateValue(f,
				     *(char **)(base + f->offset) +
					 rnd->Below(*n) * ValueSize(f),
				     rnd, depth, true);
	}
	if ((f->flags & PROTOBUF_C_FIELD_FLAG_ONEOF) != 0 &&
	    *(uint32_t *)(base + f->quantifier_offset) != f->id)
		return false;
	return MutateValue(f, base + f->offset, rnd, depth, false);
}

// Sets a field of the message, or of a message in it, to something unusual.
void
MutateMessage(ProtobufCMessage *m, Random *rnd, int depth)
{
	for (int i = 0; i < 12 && depth < 8; i++) {
		const ProtobufCMessageDescriptor *d = m->descriptor;

		if (MutateField(
			m, &d->fields[rnd->Below(d->n_fields)], rnd, depth))
			return;
	}
}

std::string
Pack(const ProtobufCMessage *m)
{
	std::string s(protobuf_c_message_get_packed_size(m), '\0');

	protobuf_c_message_pack(m, (uint8_t *)&s[0]);
	return s;
}

// Returns a corrupted copy of the packed message.
std::string
Corrupt(std::string s, const ProtobufCMessageDescriptor *d, Random *rnd)
{
	ProtobufCMessage *m;

	if (rnd->ChancePermille(300)) {
		CorruptBytes(&s, rnd);
		return s;
	}
	m = protobuf_c_message_unpack(
	    d, nullptr, s.size(), (const uint8_t *)s.data());
	if (m == nullptr)
		return s;
	for (uint64_t i = 1 + rnd->Below(3); i > 0; i--)
		MutateMessage(m, rnd, 0);
	s = Pack(m);
	protobuf_c_message_free_unpacked(m, nullptr);
	return s;
}

// ---- a cell whose messages are corrupted ------------------------------------

std::string
Text(GBytes *b)
{
	gsize n = 0;
	const char *p =
	    b != nullptr ? (const char *)g_bytes_get_data(b, &n) : nullptr;

	return std::string(p != nullptr ? p : "", n);
}

struct ogl_str
Str(const std::string &s)
{
	return {s.data(), s.size()};
}

class Cell
{
      public:
	explicit Cell(uint64_t seed) : rnd(seed)
	{
		Ogl__Edit *e = nullptr;
		const uint8_t random[32] = {1};
		char id[32];
		fake_worker_config w = {
		    "w0", "z0", "r0", {8000, 8000, 2}, 1, 0};

		log = fake_log_init();
		fake_log_script(log)->appends_per_s = 1e9;
		worker = fake_worker_init(&w);
		exec = fake_exec_init("e0", 8);
		EXPECT_TRUE(ogl_key_make(random, "", operator_key, &e, id));
		ogl__edit__free_unpacked(e, nullptr);
	}
	~Cell()
	{
		for (ogl_node *n : nodes)
			ogl_node_end(n);
		fake_exec_end(exec);
		fake_worker_end(worker);
		fake_log_end(log);
	}
	void StartNode(uint32_t i)
	{
		ogl_node_config c;
		std::string name = "n" + std::to_string(i);
		std::string addr = "127.0.0.1:" + std::to_string(i + 10);
		const char *seed = "127.0.0.1:10";

		ogl_node_config_default(&c);
		c.name = name.c_str();
		c.addr = addr.c_str();
		c.zone = "z0";
		c.boot = i + 1;
		c.seeds = &seed;
		c.nseeds = 1;
		c.shards = 2;
		c.snapshot_records = 10;
		c.snapshot_ms = 1000;
		EXPECT_TRUE(
		    ogl_key_hash(ogl_str(operator_key), c.operator_hash));
		nodes.push_back(
		    ogl_node_init(&c, rnd.Below(1000), now, nullptr));
		wake_at.push_back(0);
	}
	// Sets the cell up without faults, then sends calls and corrupts
	// messages.
	void Run()
	{
		StartNode(0);
		StartNode(1);
		for (int i = 0; i < 30 && key.empty(); i++) {
			Advance(OGL_SEC);
			Call("POST", "/v1/settings", operator_key,
			    R"({"base_version":0,"changes":[)"
			    R"({"path":"teams/north","value":"{}"},)"
			    R"({"path":"teams/north/limit_tasks","value":"9"},)"
			    R"({"path":"teams/north/jerash","value":"{}"}]})",
			    false);
			Advance(OGL_SEC);
			Call("POST", "/v1/keys", operator_key,
			    "{\"team\":\"north\"}", false);
		}
		Advance(OGL_SEC);
		ASSERT_NE(key, "");
		inject_faults = true;
		fake_log_script(log)->keep_count = 20;
		for (int i = 0; i < 120; i++) {
			RandomCall();
			Advance((ogl_time)rnd.Below(200) * OGL_MS);
			if (i == 60)
				StartNode(2);
		}
		if (rnd.ChancePermille(500)) {
			ogl_event ev{};

			ev.type = OGL_EV_STOP;
			Step(0, ev);
			Advance(12 * OGL_SEC);
		}
	}

      private:
	struct Todo {
		std::function<void()> fn;
	};
	Random rnd;
	ogl_time now = 1000000 * OGL_SEC;
	std::vector<ogl_node *> nodes;
	std::vector<ogl_time> wake_at;
	std::multimap<ogl_time, std::function<void()>> due;
	fake_log *log;
	fake_worker *worker;
	fake_exec *exec;
	char operator_key[80];
	std::string key;
	bool inject_faults = false;
	uint64_t last_token = 0;

	bool InjectFault()
	{
		return inject_faults && rnd.ChancePermille(60);
	}
	void Schedule(std::function<void()> fn)
	{
		due.emplace(now + 200 + (ogl_time)rnd.Below(5000), fn);
	}
	void Step(uint32_t i, const ogl_event &ev)
	{
		ogl_actions out;
		ogl_action *a;

		ogl_actions_init(&out);
		ogl_node_step(nodes[i], &ev, now, &out);
		while ((a = ogl_actions_pop(&out)) != nullptr) {
			Serve(i, a);
			ogl_action_free(a);
		}
		wake_at[i] = std::max(ogl_node_next_wake(nodes[i]), now + 2000);
	}
	// Advances virtual time.
	void Advance(ogl_time length)
	{
		ogl_time end = now + length;

		for (;;) {
			ogl_time next =
			    due.empty() ? OGL_NEVER : due.begin()->first;
			uint32_t node = kNodes;

			for (uint32_t i = 0; i < nodes.size(); i++) {
				if (wake_at[i] < next) {
					next = wake_at[i];
					node = i;
				}
			}
			if (next > end)
				break;
			now = std::max(now, next);
			if (node < kNodes) {
				ogl_event ev{};

				ev.type = OGL_EV_TIMER;
				Step(node, ev);
			} else {
				auto fn = due.begin()->second;

				due.erase(due.begin());
				fn();
			}
		}
		now = end;
	}
	void Serve(uint32_t i, const ogl_action *a)
	{
		std::string data = Text(a->data);
		std::string addr = a->addr != nullptr ? a->addr : "";
		std::string name = a->name != nullptr ? a->name : "";
		uint64_t token = a->token;
		uint64_t from = a->from;

		switch (a->type) {
		case OGL_ACT_REPLY:
			Reply(a, data);
			break;
		case OGL_ACT_PEER:
			Schedule([=] { Peer(addr, data); });
			break;
		case OGL_ACT_LOG_APPEND:
			Schedule([=] { Append(i, token, name, data); });
			break;
		case OGL_ACT_LOG_READ:
			Schedule([=] { Read(i, token, name, from); });
			break;
		case OGL_ACT_HOSTS:
			Schedule([=] { Hosts(i, token); });
			break;
		case OGL_ACT_WORKER: {
			std::string sync = Pack(&a->sync->base);

			Schedule([=] { Sync(i, token, sync); });
			break;
		}
		case OGL_ACT_EXEC:
			Schedule([=] { Exec(i, token, data); });
			break;
		default:
			break;
		}
	}
	void Reply(const ogl_action *a, const std::string &body)
	{
		size_t at = body.find("{\"key\":\"");

		EXPECT_NE(a->data, nullptr);
		EXPECT_TRUE(a->status >= 100 && a->status < 1000) << a->status;
		if (at == 0 && key.empty())
			key = body.substr(8, body.find('"', 8) - 8);
	}
	// Delivers a message, which may be corrupted or be delivered twice.
	void Peer(const std::string &addr, const std::string &data)
	{
		size_t i = (size_t)atoi(addr.c_str() + addr.find(':') + 1) - 10;
		std::string s = data;
		ogl_event ev{};

		if (addr.find(':') == std::string::npos || i >= nodes.size())
			return;
		if (InjectFault())
			s = Corrupt(s, &ogl__peer_msg__descriptor, &rnd);
		if (InjectFault())
			Schedule([=] { Peer(addr, data); });
		ev.type = OGL_EV_PEER;
		ev.u.peer.data = Str(s);
		Step((uint32_t)i, ev);
	}
	void Append(uint32_t i, uint64_t token, const std::string &name,
	    const std::string &data)
	{
		std::string s = data;
		ogl_event ev{};

		if (InjectFault())
			s = Corrupt(s, &ogl__batch__descriptor, &rnd);
		ev.type = OGL_EV_LOG_APPENDED;
		ev.token = token;
		ev.io = fake_log_append(log, name.c_str(), Str(s), now,
			    &ev.u.appended.offset) == FAKE_LOG_OK
			    ? OGL_IO_OK
			    : OGL_IO_LOST;
		if (InjectFault())
			ev.io = (ogl_io_result)rnd.Below(4);
		if (rnd.ChancePermille(inject_faults ? 5 : 0))
			ev.u.appended.offset =
			    UnusualNumber(&rnd, ev.u.appended.offset);
		Step(i, ev);
	}
	void Read(
	    uint32_t i, uint64_t token, const std::string &name, uint64_t from)
	{
		ogl_log_entry e[kMaxEntries];
		std::vector<std::string> kept;
		ogl_event ev{};

		ev.type = OGL_EV_LOG_READ;
		ev.token = token;
		fake_log_read(log, name.c_str(), from, now, &ev.u.read.first,
		    &ev.u.read.next, e, kMaxEntries, &ev.u.read.n);
		kept.reserve(ev.u.read.n);
		for (size_t k = 0; k < ev.u.read.n; k++) {
			kept.emplace_back(e[k].data.p, e[k].data.n);
			if (InjectFault())
				kept[k] = Corrupt(
				    kept[k], &ogl__batch__descriptor, &rnd);
			e[k].data = Str(kept[k]);
		}
		ev.u.read.entries = e;
		if (InjectFault())
			ev.io = (ogl_io_result)rnd.Below(4);
		Step(i, ev);
	}
	void Hosts(uint32_t i, uint64_t token)
	{
		std::string s =
		    R"({"hosts":[{"role":"executor","name":"e0",)"
		    R"("addr":"127.0.0.1:1","zone":"z0","rack":"r0"},)"
		    R"({"role":"worker","name":"w0","addr":"127.0.0.1:2",)"
		    R"("zone":"z0","rack":"r0"},{"role":"node","name":"n1",)"
		    R"("addr":"127.0.0.1:11","zone":"z0","leaving":false}]})";
		ogl_event ev{};

		if (InjectFault())
			CorruptBytes(&s, &rnd);
		Parsed p(&ogl__host_list__descriptor, s);
		ev.type = OGL_EV_HOSTS;
		ev.token = token;
		ev.io = p.m != nullptr ? OGL_IO_OK : OGL_IO_LOST;
		ev.u.hosts = (const Ogl__HostList *)p.m;
		Step(i, ev);
	}
	// A message parsed from JSON text, as the daemon parses answers.
	struct Parsed {
		ProtobufCMessage *m;

		Parsed(
		    const ProtobufCMessageDescriptor *d, const std::string &s)
		{
			ogl_faults *f = ogl_faults_new();

			m = ogl_json_parse(d, Str(s), f);
			EXPECT_EQ(m == nullptr, ogl_faults_count(f) > 0);
			ogl_faults_free(f);
		}
		~Parsed()
		{
			if (m != nullptr)
				protobuf_c_message_free_unpacked(m, nullptr);
		}
	};
	std::string Report(const std::string &sync)
	{
		Ogl__WorkerSync *s = ogl__worker_sync__unpack(
		    nullptr, sync.size(), (const uint8_t *)sync.data());
		Ogl__WorkerReport *r = nullptr;
		std::string text;
		char *t;

		if (fake_worker_sync(worker, s, now, &r)) {
			for (uint64_t k = InjectFault() ? 1 + rnd.Below(4) : 0;
			     k > 0; k--)
				MutateMessage(&r->base, &rnd, 0);
			t = ogl_json_print(&r->base, nullptr);
			text = t;
			g_free(t);
		}
		if (r != nullptr)
			ogl__worker_report__free_unpacked(r, nullptr);
		ogl__worker_sync__free_unpacked(s, nullptr);
		return text;
	}
	void Sync(uint32_t i, uint64_t token, const std::string &sync)
	{
		std::string text = Report(sync);
		ogl_event ev{};

		if (InjectFault())
			CorruptBytes(&text, &rnd);
		Parsed p(&ogl__worker_report__descriptor, text);
		ev.type = OGL_EV_WORKER;
		ev.token = token;
		ev.io = p.m != nullptr ? OGL_IO_OK : OGL_IO_LOST;
		ev.u.worker = (const Ogl__WorkerReport *)p.m;
		Step(i, ev);
	}
	void Exec(uint32_t i, uint64_t token, const std::string &body)
	{
		ogl_event ev{};

		ev.type = OGL_EV_EXEC;
		ev.token = token;
		ev.u.exec.status = 200;
		ev.u.exec.body = Str(body);
		if (InjectFault()) {
			ev.io = (ogl_io_result)rnd.Below(4);
			ev.u.exec.not_run = rnd.ChancePermille(500);
			ev.u.exec.status =
			    rnd.Choose<uint32_t>({100, 404, 503, 999});
		}
		Step(i, ev);
	}
	void Call(const std::string &method, const std::string &path,
	    const std::string &api_key, const std::string &body,
	    bool idempotent, const std::string &id = "")
	{
		uint32_t i = (uint32_t)rnd.Below(nodes.size());
		ogl_event ev{};

		ev.type = OGL_EV_CALL;
		ev.token = ++last_token;
		ev.u.call.method = Str(method);
		ev.u.call.path = Str(path);
		ev.u.call.key = Str(api_key);
		ev.u.call.body = Str(body);
		ev.u.call.request_id = Str(id);
		ev.u.call.work_kind = ogl_str("k");
		ev.u.call.idempotent = idempotent;
		ev.u.call.budget_ms = rnd.Below(3) * 1000;
		Step(i, ev);
		if (rnd.ChancePermille(50)) {
			ogl_event gone{};

			gone.type = OGL_EV_CALLER_GONE;
			gone.token = ev.token;
			Step(i, gone);
		}
	}
	void RandomCall()
	{
		static const std::vector<std::string> views = {"/v1/jobs",
		    "/v1/shards", "/v1/queues", "/v1/workers", "/v1/settings",
		    "/v1/settings?path=teams/north", "/v1/audit?from=1",
		    "/v1/hosts", "/v1/members", "/v1/status", "/v1/jobs/s0-1-1",
		    "/v1/jobs/s1-1-1"};
		static const std::vector<std::string> kinds = {
		    "batch", "service", "gang"};
		std::string body;

		switch (rnd.Below(6)) {
		case 0:
			Call("GET", rnd.Choose(views),
			    rnd.ChancePermille(800) ? operator_key : key, "",
			    false);
			break;
		case 1:
			Call("POST", "/v1/requests", key, "x",
			    rnd.ChancePermille(300),
			    rnd.ChancePermille(700)
				? "id" + std::to_string(rnd.Below(9))
				: "");
			break;
		case 2:
			body = R"({"base_version":5,"changes":[{"path":)"
			       R"("teams/north/share","value":"2"}]})";
			if (rnd.ChancePermille(500))
				CorruptBytes(&body, &rnd);
			Call("POST", "/v1/settings", operator_key, body, false);
			break;
		case 3:
			Call("DELETE",
			    "/v1/jobs/s" + std::to_string(rnd.Below(3)) + "-" +
				std::to_string(rnd.Below(3)) + "-" +
				std::to_string(rnd.Below(9)),
			    key, "", false);
			break;
		default:
			body =
			    "{\"kind\":\"" + rnd.Choose(kinds) +
			    "\",\"tasks\":" + std::to_string(1 + rnd.Below(4)) +
			    ",\"res\":{\"cpu_milli\":1000,\"mem_mb\":10},"
			    "\"run_ms\":300,\"restartable\":true}";
			if (rnd.ChancePermille(200))
				CorruptBytes(&body, &rnd);
			Call("POST", "/v1/jobs", key, body, false,
			    rnd.ChancePermille(300)
				? "j" + std::to_string(rnd.Below(5))
				: "");
			break;
		}
	}
};

TEST(Fuzz, NodesSurviveCorruptedInput)
{
	ForEachSeed(kRuns, [](uint64_t seed) { Cell(seed).Run(); });
}

// A snapshot of the settings is dated beyond the range of times, so that its age
// overflows (seed 284).
TEST(Fuzz, NodesSurviveSeedsThatFailed)
{
	Cell(284).Run();
}

// ---- parsers of text --------------------------------------------------------

const ProtobufCMessageDescriptor *const kMessages[] = {
    &ogl__host_list__descriptor, &ogl__worker_sync__descriptor,
    &ogl__worker_report__descriptor, &ogl__submit__descriptor,
    &ogl__job_view__descriptor, &ogl__job_list__descriptor,
    &ogl__edit__descriptor, &ogl__error_view__descriptor,
    &ogl__peer_msg__descriptor, &ogl__record__descriptor};

const char *const kJsonTexts[] = {
    R"({"hosts":[{"name":"a","role":"worker","addr":"1.2.3.4:5"}]})",
    R"({"shard":1,"epoch":18446744073709551615,"start":[{"task":"t"}]})",
    R"({"worker":"w","tasks":[{"task":"t","state":"failed","res":{}}]})",
    R"({"kind":"gang","tasks":3,"res":{"cpu_milli":1000},"payload":"p"})",
    R"({"job":"s0-1-1","state":"active","task":[{"index":1}]})",
    R"({"base_version":3,"changes":[{"path":"a/b","value":"{}"}]})",
    R"({"error":"e","verdict":"ran","faults":[{"path":"p"}]})",
    R"({"from":"n","facts":[{"name":"n","state":"dead"}],"probe":{"seq":1}})",
    R"({"writer":"n","settings_snap":{"version":3,"tree":"eyJhIjoxfQ=="}})"};

// A message that can be parsed must survive printing and parsing again.
TEST(Fuzz, JsonMessages)
{
	ForEachSeed(3000, [](uint64_t seed) {
		Random rnd(seed);
		std::string s = kJsonTexts[rnd.Below(G_N_ELEMENTS(kJsonTexts))];
		const ProtobufCMessageDescriptor *d =
		    kMessages[rnd.Below(G_N_ELEMENTS(kMessages))];
		ogl_faults *f = ogl_faults_new();
		ProtobufCMessage *m, *again;
		char *text;
		size_t n;

		CorruptBytes(&s, &rnd);
		m = ogl_json_parse(d, Str(s), f);
		ASSERT_EQ(m == nullptr, ogl_faults_count(f) > 0) << s;
		if (m != nullptr) {
			text = ogl_json_print(m, &n);
			again = ogl_json_parse(d, {text, n}, f);
			ASSERT_NE(again, nullptr) << text;
			EXPECT_EQ(Pack(m), Pack(again)) << text;
			protobuf_c_message_free_unpacked(again, nullptr);
			protobuf_c_message_free_unpacked(m, nullptr);
			g_free(text);
		}
		ogl_faults_free(f);
	});
}

TEST(Fuzz, SettingsFile)
{
	const std::string good =
	    R"({"node":{"name":"n","addr":"127.0.0.1:1","zone":"z"},)"
	    R"("listen":{"http":"127.0.0.1:0","peer":"[::1]:0"},)"
	    R"("platform":"127.0.0.1:2","seeds":["127.0.0.1:3"],"shards":4,)"
	    R"("log_level":"info","timings":{"lease_ms":6000},)"
	    R"("operator_key_hash":")" +
	    std::string(64, 'a') + "\"}";

	ForEachSeed(3000, [&](uint64_t seed) {
		Random rnd(seed);
		ogl_faults *f = ogl_faults_new();
		std::string s = good;
		ogl_config *c = ogl_config_parse(Str(s), 1, f);

		ASSERT_NE(c, nullptr);
		ogl_config_free(c);
		CorruptBytes(&s, &rnd);
		c = ogl_config_parse(Str(s), 1, f);
		EXPECT_EQ(c == nullptr, ogl_faults_count(f) > 0) << s;
		ogl_config_free(c);
		ogl_faults_free(f);
	});
}

TEST(Fuzz, PlatformAnswersAndSettingsDumps)
{
	const std::string page =
	    R"({"first":3,"next":6,"records":[{"offset":3,"data":"YWJj"},)"
	    R"({"offset":4,"data":""},{"offset":5,"data":"AAECAw=="}]})";
	const std::string dump =
	    R"({"version":9,"forgotten":0,"nodes":[["teams/a",{},1],)"
	    R"(["teams/a/share",2,3],["teams/b",null,4]],"audit":[)"
	    R"({"version":1,"at_ms":1,"who":"x","path":"teams/a",)"
	    R"("from":null,"to":{}}]})";

	ForEachSeed(3000, [&](uint64_t seed) {
		Random rnd(seed);
		std::string s = page;
		ogl_logpage p{};
		ogl_settings *set = ogl_settings_init();
		uint64_t offset;
		char *again;

		CorruptBytes(&s, &rnd);
		if (ogl_logpage_parse(&p, Str(s))) {
			for (size_t i = 0; i < p.n; i++)
				EXPECT_LT(p.entries[i].offset, p.next);
		}
		ogl_logpage_end(&p);
		s = "{\"offset\":12}";
		CorruptBytes(&s, &rnd);
		ogl_logpage_parse_offset(Str(s), &offset);
		s = dump;
		CorruptBytes(&s, &rnd);
		ogl_settings_load(set, Str(s), nullptr);
		again = ogl_settings_dump(set);
		EXPECT_NE(again, nullptr);
		g_free(again);
		ogl_settings_end(set);
	});
}

// ---- the adapter to the platform --------------------------------------------

// Values that other programs may write where the text has a value.
const char *const kOddValues[] = {"1e999", "-1e999", "1e300", "-1",
    "99999999999999999999", "9223372036854775807", "0.5", "NaN", "null", "[]",
    "{}", "\"\"", "true", "\"\\ud800\"", "\"\xff\"", "\"\\u0000\"", "\"x\"",
    "[[[[[[[[1]]]]]]]]", "4294967296", "-0"};

// Replaces one value of the text, or nests it deeply.
void
ReplaceValue(std::string *s, Random *rnd)
{
	const char *const ends = ",:[]{}";
	size_t from = rnd->Below(s->size());
	size_t to;
	std::string v = kOddValues[rnd->Below(G_N_ELEMENTS(kOddValues))];

	from = s->find_first_of(ends, from);
	if (from == std::string::npos)
		return;
	to = s->find_first_of(ends, ++from);
	if (to == std::string::npos)
		to = s->size();
	if (rnd->ChancePermille(100)) {
		size_t levels = rnd->Below(5000);

		v = std::string(levels, '[') + v + std::string(levels, ']');
	}
	s->replace(from, to - from, v);
}

void
CorruptJson(std::string *s, Random *rnd)
{
	for (uint64_t i = rnd->Below(4); i > 0; i--)
		ReplaceValue(s, rnd);
	if (rnd->ChancePermille(300))
		CorruptBytes(s, rnd);
}

std::string
RawRecord(const std::string &key, const std::string &value)
{
	size_t n = 1 + key.size() + value.size();
	std::string s;

	for (int shift = 24; shift >= 0; shift -= 8)
		s += (char)(n >> shift & 0xff);
	return s + (char)key.size() + key + value;
}

const char *const kStoreValues[][2] = {
    {"i-1", R"({"service":"s","address":"10.0.0.1:80","zone":"z","born":5,)"
	    R"("state":"ready","capacity":{"cpu":1,"mem_mb":2,"gpus":3},)"
	    R"("labels":["a","r1-1"],"cold_remaining_ms":5})"},
    {"config",
	R"({"version":3,"routes":[{"name":"r","host":"h",)"
	R"("path_prefix":"/q/","service":"s","slack_factor":1.5,)"
	R"("advice":{"decide_ms":6.5,"period_ms":0.1,"valid_ms":2500}}],)"
	R"("tenants":[{"name":"t","api_keys":["k"],"weight":38,)"
	R"("maximum":{"cpu":4,"mem_mb":5,"gpus":0}}]})"},
    {"evacuate/z1", "{}"}, {"wave/1", R"({"wave":1,"machines":["m"]})"}};
const char kHoldAnswer[] =
    R"({"clock_ms":482113,"born":1700000000123,"running":[)"
    R"(["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,7],)"
    R"(["5c0e7a21d94b36f8.0.1.18",3,"",0,0]],)"
    R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
const char kAdvice[] = R"({"good":[["w1","t1"],["w2","t2"]],"valid_ms":2500})";
const char kJob[] =
    R"({"spec":"x","steps":[{"count":4,"cpu":500,"after":[]},)"
    R"({"count":2,"after":[0],"requirements":"a","target_ms":5}],)"
    R"("repeat_count":3,"first_run_ms":1700000000000,"interval_ms":500})";

class Adapter
{
      public:
	explicit Adapter(uint64_t seed) : rnd_(seed)
	{
		struct platform_settings s = {};
		struct platform_http http = {on_request, this};
		char addr[] = "10.0.0.1:1";

		s.store = s.advice = addr;
		platform_ = platform_init(
		    &http, &s, [](void *) { return OGL_SEC; }, nullptr);
		platform_set_ops(platform_, &ops_);
		ops_.log = [](void *, const char *, const char *,
			       const char *text) {
			EXPECT_TRUE(platform_text_printable(ogl_str(text)));
		};
		ops_.count = [](void *, const char *, uint64_t) {};
	}
	~Adapter()
	{
		platform_end(platform_);
	}
	void Run()
	{
		Read();
		Newest();
		Hold();
		Ask();
		Submit();
	}

      private:
	static void on_request(void *ctx, const struct ogl_http_request *r)
	{
		auto *t = static_cast<Adapter *>(ctx);

		t->done_ = r->done;
		t->arg_ = r->arg;
	}
	void Answer(const std::string &body)
	{
		struct ogl_http_result r = {OGL_IO_OK, false, 200, Str(body)};

		answers_ = 0;
		done_(arg_, &r);
		EXPECT_EQ(1, answers_);
	}
	std::string Key(const char *usual)
	{
		std::string key = usual;

		if (rnd_.ChancePermille(300))
			CorruptBytes(&key, &rnd_);
		return key.substr(0, 255);
	}
	std::string Value(const char *usual)
	{
		std::string v = usual;

		CorruptJson(&v, &rnd_);
		return v;
	}
	static void CheckRecord(const struct cell_record *r)
	{
		ASSERT_NE(nullptr, r->key);
		EXPECT_TRUE(!r->dropped || r->worker == nullptr);
		if (r->worker == nullptr)
			return;
		EXPECT_STRNE("", r->key);
		EXPECT_TRUE(platform_text_printable(ogl_str(r->worker->addr)));
		EXPECT_NE(nullptr, r->worker->service);
		EXPECT_NE(nullptr, r->worker->zone);
		EXPECT_NE(nullptr, r->worker->rack);
	}
	// A reader has to get a record for each offset, or it would read these
	// again.
	void Read()
	{
		struct cell_read q = {};
		std::string page(16, '\0');

		q.stream = rnd_.Below(2) == 0 ? CELL_WORKERS : CELL_SETTINGS;
		q.from = 7;
		for (const auto &v : kStoreValues)
			page += RawRecord(Key(v[0]), Value(v[1]));
		ops_.read(
		    ops_.backend_ctx, &q,
		    [](void *arg, const struct cell_read_answer *a, ogl_time) {
			    static_cast<Adapter *>(arg)->answers_++;
			    EXPECT_EQ(OGL_IO_OK, a->io);
			    ASSERT_EQ(G_N_ELEMENTS(kStoreValues), a->n);
			    for (size_t i = 0; i < a->n; i++) {
				    EXPECT_EQ(7 + i, a->records[i].offset);
				    CheckRecord(&a->records[i]);
			    }
		    },
		    this);
		Answer(page);
		CorruptBytes(&page, &rnd_);
		ops_.read(
		    ops_.backend_ctx, &q,
		    [](void *arg, const struct cell_read_answer *a, ogl_time) {
			    static_cast<Adapter *>(arg)->answers_++;
			    for (size_t i = 0; i < a->n; i++)
				    CheckRecord(&a->records[i]);
		    },
		    this);
		Answer(page);
	}
	void Newest()
	{
		struct cell_newest q = {};
		std::string page = "{\"items\":[";

		q.stream = rnd_.Below(2) == 0 ? CELL_WORKERS : CELL_SETTINGS;
		q.after = rnd_.Below(2) == 0 ? "a" : nullptr;
		for (const auto &v : kStoreValues) {
			std::string value = Value(v[1]);
			char *text = g_base64_encode(
			    (const guchar *)value.data(), value.size());

			page += (page.back() == '[' ? "" : ",") +
				std::string("{\"key\":\"") + Key(v[0]) +
				"\",\"value\":\"" + text + "\",\"offset\":4}";
			g_free(text);
		}
		page += "],\"has_more\":true,\"end_offset\":9}";
		if (rnd_.ChancePermille(300))
			CorruptJson(&page, &rnd_);
		ops_.newest(
		    ops_.backend_ctx, &q,
		    [](void *arg, const struct cell_newest_answer *a,
			ogl_time) {
			    static_cast<Adapter *>(arg)->answers_++;
			    EXPECT_TRUE(!a->more || a->n > 0);
			    for (size_t i = 0; i < a->n; i++)
				    CheckRecord(&a->records[i]);
		    },
		    this);
		Answer(page);
	}
	void Hold()
	{
		struct cell_hold h = {};

		h.to = {"10.0.0.9:80", "w1", 3};
		ops_.hold(
		    ops_.backend_ctx, &h,
		    [](void *arg, const struct cell_hold_answer *a, ogl_time) {
			    static_cast<Adapter *>(arg)->answers_++;
			    EXPECT_GE((uint64_t)1 << 53, a->clock_ms);
			    for (size_t i = 0; i < a->nrunning; i++) {
				    EXPECT_GE(100u, a->running[i].percent);
				    EXPECT_LE(0, a->running[i].gauge);
				    EXPECT_NE(
					nullptr, a->running[i].checkpoint);
			    }
			    for (size_t i = 0; i < a->nended; i++)
				    EXPECT_GE(
					(uint64_t)1 << 53, a->ended[i].number);
		    },
		    this);
		Answer(Value(kHoldAnswer));
	}
	void Ask()
	{
		const char *ids[] = {"w1", "w2"};
		struct cell_advice_query q = {"s", ids, 2, 600};

		ops_.ask(
		    ops_.backend_ctx, &q,
		    [](void *arg, const struct cell_ask_answer *a, ogl_time) {
			    static_cast<Adapter *>(arg)->answers_++;
			    for (size_t i = 0; i < a->n; i++)
				    EXPECT_TRUE(platform_text_printable(
					ogl_str(a->tickets[i].ticket)));
		    },
		    this);
		Answer(Value(kAdvice));
	}
	void Submit()
	{
		const char *why = "";
		std::string body = Value(kJob);
		Ogl__CellJob *j =
		    ops_.decode_job(ops_.backend_ctx, Str(body), &why);
		struct cell_job *job;

		if (j == nullptr) {
			EXPECT_STRNE("", why);
			return;
		}
		if (!cell_job_def_valid(j, &why)) {
			EXPECT_STRNE("", why);
			ogl__cell_job__free_unpacked(j, nullptr);
			return;
		}
		j->id = strdup("5c0e7a21d94b36f8");
		job = cell_job_new(j, OGL_SEC);
		cell_job_begin_occurrence(job, 0, 0);
		cell_job_free(job);
	}

	Random rnd_;
	struct platform *platform_ = nullptr;
	struct cell_ops ops_ = {};
	ogl_http_done *done_ = nullptr;
	void *arg_ = nullptr;
	int answers_ = 0;
};

TEST(Fuzz, AnswersOfThePlatform)
{
	ForEachSeed(2000, [](uint64_t seed) { Adapter(seed).Run(); });
}

} // namespace
