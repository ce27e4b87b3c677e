/*
 * The checker of histories: every kind of fault it looks for is found in a
 * history made by hand, and nothing is found in a good one.
 */

#include <gtest/gtest.h>
#include <unistd.h>

#include <string>

#include "fake_history.h"

namespace
{

std::string
print(const struct history_event &ev)
{
	char *line = fake_history_print(&ev);
	std::string s = line;

	g_free(line);
	return s;
}

std::string
read_error(const char *text)
{
	char *file = nullptr;
	int fd = g_file_open_tmp("historyXXXXXX", &file, nullptr);
	struct fake_history *h = fake_history_init(nullptr);
	GError *error = nullptr;
	std::string wrong;

	close(fd);
	g_file_set_contents(file, text, -1, nullptr);
	if (!fake_history_read(h, file, &error))
		wrong = error->message + strlen(file);
	g_clear_error(&error);
	fake_history_end(h);
	unlink(file);
	g_free(file);
	return wrong;
}

TEST(History, EventsSurviveWritingAndReading)
{
	char *file = nullptr;
	int fd = g_file_open_tmp("historyXXXXXX", &file, nullptr);
	FILE *out = fdopen(fd, "w");
	struct fake_history *h = fake_history_init(out);
	struct fake_history *again = fake_history_init(nullptr);

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
		fake_history_add(h, &ev);
	}
	fclose(out);
	ASSERT_TRUE(fake_history_read(again, file, nullptr));
	fake_history_sort(again);

	size_t n;
	size_t m;
	const struct history_event *a = fake_history_events(h, &n);
	const struct history_event *b = fake_history_events(again, &m);
	ASSERT_EQ(n, m);
	for (size_t i = 0; i < n; i++) {
		EXPECT_EQ(print(a[i]), print(b[n - 1 - i]));
		EXPECT_EQ(a[i].line, b[n - 1 - i].line);
	}
	EXPECT_STREQ(file, fake_history_file(again, b[0].file));
	fake_history_end(h);
	fake_history_end(again);
	unlink(file);
	g_free(file);
}

TEST(History, FaultsOfAFileAreNamed)
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

} // namespace
