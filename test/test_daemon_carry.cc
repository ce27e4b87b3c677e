// What callers and workers hand in comes out again byte for byte.  A random spec
// and checkpoint go all the way that a job takes, through both codecs: the body
// of a submission, the stored records, the messages between nodes and the body
// of a start.  OGL_FUZZ is the number of rounds and OGL_FUZZ_SEED the first seed
// (tools/fuzz.sh).
#include <gtest/gtest.h>

#include <jansson.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "job.h"
#include "platform.h"
#include "random.h"
#include "relay.h"
#include "relay_serve.h"
}

namespace
{

const int kRounds = 200;
const char kJob[] = "5c0e7a21d94b36f8";
const char kTask[] = "5c0e7a21d94b36f8.0.0.0";

std::string
Text(struct ogl_str s)
{
	return {s.p != nullptr ? s.p : "", s.n};
}

struct ogl_str
Str(const std::string &s)
{
	return {s.data(), s.size()};
}

struct Random {
	ogl_random r;

	explicit Random(uint64_t seed)
	{
		ogl_random_init(&r, seed);
	}
	uint32_t Below(uint64_t n)
	{
		return (uint32_t)(ogl_random_next(&r) % n);
	}
	// A character of a random kind: NUL, control, ASCII, and of each length
	// in UTF-8.
	gunichar Char()
	{
		switch (Below(8)) {
		case 0:
			return 0;
		case 1:
			return Below(0xa0);
		case 2:
			return Below(2) == 0 ? '"' : '\\';
		case 3:
			return 0x80 + Below(0x780);
		case 4:
			return 0x800 + Below(0xd000);
		case 5:
			return 0x10000 + Below(0x100000);
		default:
			return 0x20 + Below(0x5f);
		}
	}
	// At most max_bytes, and that length or near it in half of the cases.
	std::string String(size_t max_bytes, bool nul)
	{
		size_t n = Below(2) == 0 ? max_bytes : Below(max_bytes + 1);
		std::string s;
		char utf8[6];

		while (s.size() < n) {
			gunichar c = Char();

			s.append(utf8, (size_t)g_unichar_to_utf8(c, utf8));
			if (c == 0 && !nul)
				s.pop_back();
			if (n - s.size() < 4)
				s.append(n - s.size(), 'x');
		}
		return s;
	}
	// The string in JSON, each character in one of the ways to write it.
	std::string Json(const std::string &s)
	{
		std::string out = "\"";
		const char *p = s.data();

		while (p < s.data() + s.size()) {
			const char *next = g_utf8_next_char(p);
			gunichar c = g_utf8_get_char(p);
			char code[16] = "";

			if (c > 0xffff && Below(2) == 0)
				g_snprintf(code, sizeof code, "\\u%04x\\u%04X",
				    0xd800 + ((c - 0x10000) >> 10),
				    0xdc00 + ((c - 0x10000) & 0x3ff));
			else if (c < 0x20 || c == '"' || c == '\\' ||
				 (c <= 0xffff && Below(2) == 0))
				g_snprintf(code, sizeof code, "\\u%04x", c);
			out += code[0] != '\0' ? code : std::string(p, next);
			p = next;
		}
		return out + "\"";
	}
};

std::string
Pack(const ProtobufCMessage *m)
{
	std::string s(protobuf_c_message_get_packed_size(m), '\0');

	protobuf_c_message_pack(m, (uint8_t *)&s[0]);
	return s;
}

// An owner, a relay and the adapter to the platform; store and workers are
// answered by hand.
class Carry : public testing::Test
{
      protected:
	void SetUp() override
	{
		struct platform_settings s = {};
		struct platform_http http = {on_request, this};
		struct cell_relay_events events = {on_orders, this};
		char addr[] = "10.0.0.1:1";

		s.store = s.advice = addr;
		platform_ = platform_init(
		    &http, &s, [](void *) { return 100 * OGL_SEC; }, nullptr);
		platform_set_ops(platform_, &ops_);
		ops_.ctx = this;
		ops_.log = [](void *ctx, const char *, const char *event,
			       const char *) {
			static_cast<Carry *>(ctx)->lines_[event]++;
		};
		ops_.count = [](void *ctx, const char *name, uint64_t by) {
			static_cast<Carry *>(ctx)->counts_[name] += by;
		};
		serve_ = cell_relay_serve_init(&ops_, on_answers, this);
		relay_ = cell_relay_init(&ops_, 2000, &events);
		cell_relay_set_ops(relay_, &relayed_);
		cell_relay_open(relay_, 3);
		step();
	}
	void TearDown() override
	{
		cell_relay_end(relay_);
		cell_relay_serve_end(serve_);
		platform_end(platform_);
	}

	// Sends the batches of the owner and of the relay.
	void step()
	{
		now_ += 10 * OGL_MS;
		cell_relay_update_node(relay_, "n2", false, now_);
		cell_relay_step(relay_, 100, now_);
		cell_relay_flush(relay_, now_);
		cell_relay_serve_step(serve_, now_);
	}
	static void on_request(void *ctx, const struct ogl_http_request *r)
	{
		auto *t = static_cast<Carry *>(ctx);

		t->url_ = r->url;
		t->body_ = r->body != nullptr ? Text(cell_bytes_str(r->body))
					      : std::string();
		t->done_ = r->done;
		t->arg_ = r->arg;
	}
	void answer(const std::string &body)
	{
		struct ogl_http_result r = {OGL_IO_OK, false, 200, Str(body)};

		done_(arg_, &r);
	}

	// ---- messages between the nodes
	static void on_orders(
	    void *arg, const char *, const Ogl__CellOrders *orders)
	{
		auto *t = static_cast<Carry *>(arg);
		Ogl__CellMsg m = OGL__CELL_MSG__INIT;
		std::string packed;

		m.body_case = OGL__CELL_MSG__BODY_ORDERS;
		m.orders = const_cast<Ogl__CellOrders *>(orders);
		packed = Pack(&m.base);
		Ogl__CellMsg *got = ogl__cell_msg__unpack(
		    nullptr, packed.size(), (const uint8_t *)packed.data());
		ASSERT_NE(nullptr, got);
		cell_relay_serve(
		    t->serve_, 0, "owner", got->orders, false, t->now_);
		ogl__cell_msg__free_unpacked(got, nullptr);
	}
	static void on_answers(void *arg, uint32_t, const char *,
	    const Ogl__CellOrderAnswers *answers)
	{
		auto *t = static_cast<Carry *>(arg);
		std::string packed = Pack(&answers->base);
		Ogl__CellOrderAnswers *got = ogl__cell_order_answers__unpack(
		    nullptr, packed.size(), (const uint8_t *)packed.data());

		ASSERT_NE(nullptr, got);
		for (size_t i = 0; i < got->n_answers; i++)
			cell_relay_answer(t->relay_, got->answers[i], t->now_);
		ogl__cell_order_answers__free_unpacked(got, nullptr);
	}

	// ---- stages of the way
	Ogl__CellJob *submit(const std::string &spec, Random *rnd)
	{
		const char *why = "";
		std::string body = "{\"spec\":" + rnd->Json(spec) +
				   ",\"steps\":[{\"count\":1,"
				   "\"checkpointing\":true}]}";
		Ogl__CellJob *j =
		    ops_.decode_job(ops_.backend_ctx, Str(body), &why);

		EXPECT_NE(nullptr, j) << why;
		return j;
	}
	// Writes the record to the store and reads it again, as a successor
	// does; takes the reference to it.
	std::string store(GBytes *record)
	{
		char key[] = "jx";
		struct cell_put put = {key, record};
		struct cell_append a = {};
		struct cell_read q = {};
		std::string value;

		a.puts = &put;
		a.nputs = 1;
		a.expected_end = -1;
		ops_.append(
		    ops_.backend_ctx, &a,
		    [](void *, const struct cell_append_answer *, ogl_time) {},
		    nullptr);
		std::string records = body_;
		answer("{}");
		ops_.read(
		    ops_.backend_ctx, &q,
		    [](void *arg, const struct cell_read_answer *r, ogl_time) {
			    ASSERT_EQ(1u, r->n);
			    *static_cast<std::string *>(arg) =
				Text(r->records[0].value);
		    },
		    &value);
		answer(std::string(16, '\0') + records);
		g_bytes_unref(record);
		return value;
	}
	// The job as a successor reads it.
	struct cell_job *load(const std::string &record)
	{
		Ogl__CellJob *d = ogl__cell_job__unpack(
		    nullptr, record.size(), (const uint8_t *)record.data());
		struct cell_job *j = cell_job_new(d, now_);

		cell_job_begin_occurrence(j, 0, 0);
		return j;
	}
	// Takes a worker's answer to a hold, and returns the checkpoint of its
	// only row.
	std::string hold(const std::string &checkpoint, bool ended,
	    bool relayed, Random *rnd)
	{
		const struct cell_ops *ops = relayed ? &relayed_ : &ops_;
		std::string got = "no row";
		struct cell_hold h = {};
		std::string row = rnd->Json(checkpoint);

		h.to = {"10.0.0.9:80", "w1", 3};
		h.timeout_ms = 600;
		ops->hold(
		    ops->backend_ctx, &h,
		    [](void *arg, const struct cell_hold_answer *a, ogl_time) {
			    ASSERT_EQ(1u, a->nrunning + a->nended);
			    *static_cast<std::string *>(arg) =
				a->nended > 0 ? a->ended[0].checkpoint
					      : a->running[0].checkpoint;
		    },
		    &got);
		step();
		if (ended)
			answer(std::string("{\"ended\":[[1,\"") + kTask +
			       "\",1,\"stopped\"," + row + "]]}");
		else
			answer(std::string("{\"running\":[[\"") + kTask +
			       "\",1," + row + ",4]]}");
		step();
		return got;
	}
	// Starts the job's task, and returns spec and checkpoint as sent.
	void start(const struct cell_job *j, bool relayed)
	{
		const struct cell_ops *ops = relayed ? &relayed_ : &ops_;
		const struct cell_occurrence *c = cell_job_occurrence(j, 0);
		struct cell_order o = {};
		json_t *body;

		o.to = {"10.0.0.9:80", "w1", 3};
		g_strlcpy(o.task.id, kJob, sizeof o.task.id);
		o.run = 2;
		o.timeout_ms = 600;
		o.spec = cell_field_str(&j->def->spec);
		o.checkpoint = c->stages[0].tasks[0].checkpoint;
		ops->start(
		    ops->backend_ctx, &o,
		    [](void *, const struct cell_order_answer *, ogl_time) {},
		    nullptr);
		step();
		ASSERT_NE(std::string::npos, url_.find("run-start")) << url_;
		body = json_loadb(
		    body_.data(), body_.size(), JSON_ALLOW_NUL, nullptr);
		ASSERT_NE(nullptr, body) << body_;
		spec_ = field(body, "spec");
		checkpoint_ = field(body, "checkpoint");
		json_decref(body);
		answer("{}");
		step();
	}
	static std::string field(const json_t *o, const char *name)
	{
		const json_t *v = json_object_get(o, name);

		return Text({json_string_value(v), json_string_length(v)});
	}

	struct cell_ops ops_ = {};
	struct cell_ops relayed_ = {};
	struct platform *platform_ = nullptr;
	struct cell_relay *relay_ = nullptr;
	struct cell_relay_serve *serve_ = nullptr;
	std::string url_;
	std::string body_;
	ogl_http_done *done_ = nullptr;
	void *arg_ = nullptr;
	std::string spec_;
	std::string checkpoint_;
	std::map<std::string, uint64_t> counts_;
	std::map<std::string, int> lines_;
	ogl_time now_ = 100 * OGL_SEC;
};

// Guards against any stage that ends a spec or a checkpoint at a NUL, or changes
// one of their characters.
TEST_F(Carry, SpecAndCheckpointArriveByteForByte)
{
	long rounds =
	    getenv("OGL_FUZZ") != nullptr ? atol(getenv("OGL_FUZZ")) : kRounds;
	long first = getenv("OGL_FUZZ_SEED") != nullptr
			 ? atol(getenv("OGL_FUZZ_SEED"))
			 : 1;

	for (long i = 0; i < rounds && !HasFailure(); i++) {
		SCOPED_TRACE("seed " + std::to_string(first + i));
		Random rnd((uint64_t)(first + i));
		std::string spec = rnd.String(4000, true);
		std::string saved = rnd.String(1024, false);
		struct cell_job *j, *successor;
		Ogl__CellProgress *p;
		std::string record;
		struct cell_task *t;

		j = cell_job_new(submit(spec, &rnd), now_);
		record = store(cell_job_pack_def(j));
		cell_job_free(j);
		j = load(record);
		t = &cell_job_occurrence(j, 0)->stages[0].tasks[0];
		start(j, rnd.Below(2) == 0);
		EXPECT_EQ(spec, spec_);
		EXPECT_EQ("", checkpoint_);
		t->run = 1;
		EXPECT_EQ(saved,
		    hold(saved, rnd.Below(2) == 0, rnd.Below(2) == 0, &rnd));
		cell_task_save_checkpoint(t, saved.c_str());

		successor = load(record);
		record = store(cell_job_pack_progress(j));
		p = ogl__cell_progress__unpack(
		    nullptr, record.size(), (const uint8_t *)record.data());
		ASSERT_NE(nullptr, p);
		cell_job_restore_progress(successor, p);
		ogl__cell_progress__free_unpacked(p, nullptr);
		start(successor, true);
		EXPECT_EQ(spec, spec_);
		EXPECT_EQ(saved, checkpoint_);
		start(successor, false);
		EXPECT_EQ(spec, spec_);
		EXPECT_EQ(saved, checkpoint_);
		cell_job_free(successor);
		cell_job_free(j);
		/* The relay keeps one spec for each id. */
		TearDown();
		SetUp();
	}
	EXPECT_EQ(0u, counts_["bad_checkpoints"]);
}

// Guards against a checkpoint that is sent back cut off at a NUL, and one that
// does not fit into the job's record.
TEST_F(Carry, UnusableCheckpointCountsAsNone)
{
	Random rnd(1);

	for (bool relayed : {false, true}) {
		for (bool ended : {false, true}) {
			EXPECT_EQ("", hold(std::string("ab\0cd", 5), ended,
					  relayed, &rnd));
			EXPECT_EQ("ab\n", hold("ab\n", ended, relayed, &rnd));
		}
	}
	EXPECT_EQ(4u, counts_["bad_checkpoints"]);
	EXPECT_EQ(1, lines_["checkpoint_unusable"]);
	EXPECT_EQ(std::string(1024, 'c'),
	    hold(std::string(1024, 'c'), false, false, &rnd));
	EXPECT_EQ("", hold(std::string(1025, 'c'), false, false, &rnd));
	EXPECT_EQ(5u, counts_["bad_checkpoints"]);
}

// Guards against a key that is cut off at a NUL and hides another worker's entry,
// and against a line end in the header with the worker's id.
TEST_F(Carry, KeyOfAWorkerIsNotCutOff)
{
	const std::string entry =
	    R"({"service":"s","address":"10.0.0.9:80","zone":"z",)"
	    R"("state":"ready","capacity":{}})";
	struct cell_read q = {};
	std::vector<std::string> rows;
	std::string page(16, '\0');

	for (const std::string &key : {std::string("w1"),
		 std::string("w1\0x", 4), std::string("w2\r\n")}) {
		page += std::string(3, '\0') +
			(char)(1 + key.size() + entry.size());
		page += (char)key.size() + key + entry;
	}
	q.stream = CELL_WORKERS;
	ops_.read(
	    ops_.backend_ctx, &q,
	    [](void *arg, const struct cell_read_answer *a, ogl_time) {
		    for (size_t i = 0; i < a->n; i++)
			    static_cast<std::vector<std::string> *>(arg)
				->push_back(std::string(a->records[i].key) +
					    (a->records[i].worker != nullptr
						    ? " readable"
						    : " unreadable"));
	    },
	    &rows);
	answer(page);
	EXPECT_EQ((std::vector<std::string>{
		      "w1 readable", "w1\x01 unreadable", "w2\r\n unreadable"}),
	    rows);
	EXPECT_EQ(1u, counts_["bad_keys"]);
	EXPECT_EQ(1u, counts_["bad_entries"]);
}

} // namespace
