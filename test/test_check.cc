// Tests of the history checker: every kind of violation is found in a
// handwritten history, and a valid history has no findings.

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <string>
#include <vector>

#include "check.h"
#include "fake_feed.h"

namespace
{

std::string
print(const struct history_event &ev)
{
	char *line = ogl_history_print(&ev);
	std::string s = line;

	g_free(line);
	return s;
}

std::string
read_error(const char *text)
{
	char *file = nullptr;
	int fd = g_file_open_tmp("historyXXXXXX", &file, nullptr);
	struct ogl_history *h = ogl_history_init(nullptr);
	GError *error = nullptr;
	std::string message;

	close(fd);
	g_file_set_contents(file, text, -1, nullptr);
	if (!ogl_history_read(h, file, &error))
		message = error->message + strlen(file);
	g_clear_error(&error);
	ogl_history_end(h);
	unlink(file);
	g_free(file);
	return message;
}

TEST(History, EventsAreReadAsWritten)
{
	char *file = nullptr;
	int fd = g_file_open_tmp("historyXXXXXX", &file, nullptr);
	FILE *out = fdopen(fd, "w");
	struct ogl_history *h = ogl_history_init(out);
	struct ogl_history *copy = ogl_history_init(nullptr);

	for (int type = 0; type < HISTORY_NTYPES; type++) {
		struct history_event ev = {};

		ev.type = (enum history_type)type;
		ev.at = 1000 - type;
		if (type == HISTORY_EDIT) {
			ev.u.edit.team = "a/b";
			ev.u.edit.limit = UINT64_MAX;
		}
		if (type == HISTORY_START)
			ev.u.task.res = {1500, 64, 1};
		ogl_history_add(h, &ev);
	}
	fclose(out);
	ASSERT_TRUE(ogl_history_read(copy, file, nullptr));
	ogl_history_sort(copy);

	size_t n;
	size_t m;
	const struct history_event *a = ogl_history_events(h, &n);
	const struct history_event *b = ogl_history_events(copy, &m);
	ASSERT_EQ(n, m);
	for (size_t i = 0; i < n; i++) {
		EXPECT_EQ(print(a[i]), print(b[n - 1 - i]));
		EXPECT_EQ(a[i].line, b[n - 1 - i].line);
	}
	EXPECT_STREQ(file, ogl_history_file(copy, b[0].file));
	ogl_history_end(h);
	ogl_history_end(copy);
	unlink(file);
	g_free(file);
}

TEST(History, ReadErrorsNameLineAndCause)
{
	EXPECT_EQ("", read_error("# nothing\n{\"at\":1,\"event\":\"over\"}\n"));
	EXPECT_EQ(":2: unknown event \"under\"",
	    read_error("# nothing\n{\"at\":1,\"event\":\"under\"}\n"));
	EXPECT_EQ(":1: no time \"at\"", read_error("{\"event\":\"over\"}\n"));
	EXPECT_EQ(":1: unknown field \"x\"",
	    read_error("{\"at\":1,\"event\":\"over\",\"x\":1}\n"));
	EXPECT_EQ(":1: wrong value of \"state\"",
	    read_error("{\"at\":1,\"event\":\"node\",\"state\":\"gone\"}\n"));
	EXPECT_NE("", read_error("{\"at\":1,\"event\":\"over\""));
}

// Returns the expected findings of a script.  One of the comments at its start
// is "# expect: " followed by "nothing" or by "invariant line line ...;
// invariant line ...".
std::string
expected(const std::string &file)
{
	const std::string mark = "# expect: ";
	std::ifstream in(file);
	std::string line;

	while (std::getline(in, line)) {
		if (line.rfind(mark, 0) == 0)
			return line.substr(mark.size());
	}
	return "no expectation";
}

std::string
findings_of(struct ogl_history *h, std::set<std::string> *invariants)
{
	struct ogl_check_grace grace;
	std::string s;
	size_t n;

	ogl_check_grace_default(&grace);
	struct ogl_check *c = ogl_check_run(h, &grace);
	const struct ogl_check_finding *f = ogl_check_findings(c, &n);
	for (size_t i = 0; i < n; i++) {
		s += (i > 0 ? "; " : "") + std::string(f[i].invariant->name);
		invariants->insert(f[i].invariant->name);
		for (guint k = 0; k < f[i].events->len; k++) {
			auto *ev =
			    (const struct history_event *)f[i].events->pdata[k];

			s += " " + std::to_string(ev->line);
		}
	}
	ogl_check_end(c);
	return n > 0 ? s : "nothing";
}

std::vector<std::string>
scripts()
{
	const char *dir = OGL_TEST_DIR "/scripts";
	GDir *d = g_dir_open(dir, 0, nullptr);
	std::vector<std::string> files;

	while (const char *name = g_dir_read_name(d)) {
		if (g_str_has_prefix(name, "history_"))
			files.push_back(std::string(dir) + "/" + name);
	}
	g_dir_close(d);
	std::sort(files.begin(), files.end());
	return files;
}

// Each script violates an invariant, as its first line says.  Users would see
// such violations as duplicate orders, hosts that swap or answers to other
// requests.  A checker that misses one would accept a faulty run.
TEST(Check, EachViolationIsFoundWithItsEvents)
{
	std::set<std::string> invariants;
	size_t count = 0;

	for (const std::string &file : scripts()) {
		struct ogl_history *h = ogl_history_init(nullptr);
		GError *error = nullptr;

		EXPECT_TRUE(ogl_history_read(h, file.c_str(), &error))
		    << (error != nullptr ? error->message : "");
		EXPECT_EQ(expected(file), findings_of(h, &invariants)) << file;
		g_clear_error(&error);
		ogl_history_end(h);
	}
	while (ogl_check_invariants[count].name != nullptr)
		count++;
	EXPECT_EQ(count, invariants.size());
}

// A long valid history with edge cases that a wrong check would report: a task
// restarted at the exact time of its lapse, workers filled to the last
// thousandth of a processor, a team at its limit throughout.
TEST(Check, LongValidHistoryHasNoFindings)
{
	struct ogl_history *h = ogl_history_init(nullptr);
	std::set<std::string> invariants;
	struct history_event ev = {};

	ev.type = HISTORY_EDIT;
	ev.u.edit.accepted = true;
	ev.u.edit.team = "a";
	ev.u.edit.limit = 8;
	ogl_history_add(h, &ev);
	for (int w = 0; w < 4; w++) {
		const struct ogl_res room = {2000, 64, 0};

		fake_record_capacity(
		    h, ("w" + std::to_string(w)).c_str(), 1, &room, 0);
	}
	for (int i = 0; i < 20000; i++) {
		std::string worker = "w" + std::to_string(i % 4);
		std::string task = std::to_string(i / 2) + ".0";
		ogl_time at = 10 * OGL_SEC + i * OGL_MS;
		bool restarted = i % 2 == 1;

		ev = {};
		ev.type = HISTORY_START;
		ev.at = restarted ? at - OGL_MS + 8 * OGL_MS : at;
		ev.u.task.worker = worker.c_str();
		ev.u.task.task = task.c_str();
		ev.u.task.team = "a/b";
		ev.u.task.attempt = restarted ? 2 : 1;
		ev.u.task.res = {1000, 8, 0};
		ogl_history_add(h, &ev);
		ev.at += 8 * OGL_MS;
		ev.type = restarted ? HISTORY_END : HISTORY_LAPSE;
		ev.u.task.state = restarted ? OGL__TASK_STATE__succeeded
					    : OGL__TASK_STATE__lapsed;
		ogl_history_add(h, &ev);
	}
	EXPECT_EQ("nothing", findings_of(h, &invariants));
	ogl_history_end(h);
}

int
run_program(const std::string &args)
{
	std::string command =
	    OGL_BIN_DIR "/orioleglade-check " + args + " >/dev/null 2>&1";
	int rc = system(command.c_str());

	return WIFEXITED(rc) ? WEXITSTATUS(rc) : -1;
}

TEST(Check, ProgramReturnsExitStatus)
{
	const std::string dir = OGL_TEST_DIR "/scripts/history_";

	EXPECT_EQ(0, run_program("--help"));
	EXPECT_EQ(0, run_program(dir + "good.jsonl"));
	EXPECT_EQ(1, run_program(dir + "bad_leaving.jsonl"));
	EXPECT_EQ(
	    0, run_program("--leaving-ms 9000 " + dir + "bad_leaving.jsonl"));
	EXPECT_EQ(2, run_program(dir + "absent.jsonl"));
	EXPECT_EQ(2, run_program("--leaving-ms x " + dir + "good.jsonl"));
	EXPECT_EQ(2, run_program(""));
}

// The stand-in executor acts as a node that remembers no request ids.  It loses
// an answer after the run, the caller retries the request with the same id, and
// the request runs twice.  With no answers lost, the same run is valid.
const char stand_in_script[] = R"(
set -eu
bin=$1 lose=$2
dir=$(mktemp -d)
executor=
trap 'kill $executor 2>/dev/null || true; rm -rf "$dir"' EXIT
: >"$dir/out"
"$bin/ogl-standin-executor" --history "$dir/executor.jsonl" >"$dir/out" &
executor=$!
until grep -q port "$dir/out"; do
	kill -0 $executor
	sleep 0.01
done
port=$(awk '{print $2}' "$dir/out")
exec 3<>"/dev/tcp/127.0.0.1/$port"
order="{\"lose\":$lose}"
printf 'POST /ctl HTTP/1.0\r\nContent-Length: %d\r\n\r\n%s' \
    ${#order} "$order" >&3
cat <&3 >/dev/null
"$bin/ogl-standin-caller" --nodes "127.0.0.1:$port" --count 20 --ids \
    --run-ms 5 --history "$dir/caller.jsonl" >/dev/null || true
kill -TERM $executor
wait $executor
executor=
"$bin/orioleglade-check" "$dir/executor.jsonl" "$dir/caller.jsonl" \
    >"$dir/found" || sed -n 's/^\([a-z_]*\):.*/\1/p' "$dir/found" | sort -u
sed -n '/^no violation/p' "$dir/found"
)";

std::string
check_stand_ins(const char *lose)
{
	const char *argv[] = {
	    "bash", "-c", stand_in_script, "bash", OGL_BIN_DIR, lose, nullptr};
	char *out = nullptr;
	int status = -1;

	EXPECT_TRUE(
	    g_spawn_sync(nullptr, (char **)argv, nullptr, G_SPAWN_SEARCH_PATH,
		nullptr, nullptr, &out, nullptr, &status, nullptr));
	EXPECT_EQ(0, status);
	std::string s = out;
	g_free(out);
	return s;
}

TEST(Check, StandInsWriteHistoriesThatCanBeChecked)
{
	EXPECT_EQ("no violation in 61 lines\n", check_stand_ins("0"));
	EXPECT_EQ("once\n", check_stand_ins("1"));
}

} // namespace
