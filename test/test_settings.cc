// Tests of the settings tree: scripts with expected output, keys, and equal
// trees of two followers of one log.
//
// A script has commands, each followed by its expected output in lines that
// start with `< `.  The runner runs the commands and writes the script with the
// actual output; the two texts must be equal.
//
//     edit VERSION base BASE by WHO     followed by indented `PATH VALUE`
//     team PATH | show PATH | audit FROM | number PATH | key TEXT | teams
#include <gtest/gtest.h>

#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "orioleglade.h"

namespace
{

using Changes = std::vector<std::pair<std::string, std::string>>;

std::string
take_text(char *text)
{
	std::string s = text != nullptr ? text : "nothing";

	g_free(text);
	return s;
}

// An edit message that points to the strings stored here.
struct Edit {
	Edit(uint64_t base, const std::string &who, const Changes &from)
	    : who_(who), from_(from), changes_(from.size()), list_(from.size())
	{
		e = OGL__EDIT__INIT;
		for (size_t i = 0; i < from_.size(); i++) {
			changes_[i] = OGL__CHANGE__INIT;
			changes_[i].path = from_[i].first.data();
			changes_[i].value = from_[i].second.data();
			list_[i] = &changes_[i];
		}
		e.base_version = base;
		e.who = who_.data();
		e.n_changes = list_.size();
		e.changes = list_.data();
	}
	Edit(const Edit &) = delete;

	Ogl__Edit e;

      private:
	std::string who_;
	Changes from_;
	std::vector<Ogl__Change> changes_;
	std::vector<Ogl__Change *> list_;
};

struct Tree {
	Tree() : s(ogl_settings_init())
	{
	}
	~Tree()
	{
		ogl_settings_end(s);
	}
	Tree(const Tree &) = delete;

	std::string dump() const
	{
		return take_text(ogl_settings_dump(s));
	}

	bool load(const std::string &text)
	{
		GError *err = nullptr;
		bool ok =
		    ogl_settings_load(s, {text.data(), text.size()}, &err);

		EXPECT_EQ(ok, err == nullptr);
		g_clear_error(&err);
		return ok;
	}

	bool apply(uint64_t version, uint64_t base, const Changes &changes)
	{
		Edit edit(base, "ann", changes);

		return ogl_settings_apply(s, version, &edit.e, 1000, nullptr);
	}

	struct ogl_settings *s;
};

// Runs an edit and returns its output.  Also checks, for each edit of each
// script, that ogl_settings_check and ogl_settings_apply agree, that a refused
// edit does not change the dump, and that a follower which starts from the dump
// before the edit ends with the same dump.
std::string
run_edit(Tree *t, uint64_t version, const Edit &edit)
{
	static const char *const codes[] = {"input", "conflict"};
	struct ogl_faults *faults = ogl_faults_new();
	GError *checked = nullptr;
	GError *applied = nullptr;
	std::string before = t->dump();
	std::string out;
	Tree follower;

	EXPECT_TRUE(follower.load(before));
	bool ok = ogl_settings_check(t->s, &edit.e, faults, &checked);
	EXPECT_EQ(before, t->dump());
	EXPECT_EQ(
	    ok, ogl_settings_apply(t->s, version, &edit.e, 1000, &applied));
	ogl_settings_apply(follower.s, version, &edit.e, 1000, nullptr);
	EXPECT_EQ(t->dump(), follower.dump());
	if (ok) {
		EXPECT_EQ(version, ogl_settings_version(t->s));
		out = "< ok\n";
	} else if (checked != nullptr && applied != nullptr) {
		EXPECT_EQ(before, t->dump());
		EXPECT_EQ(checked->code, applied->code);
		EXPECT_STREQ(checked->message, applied->message);
		out = std::string("< ") + codes[checked->code] + "\n";
	}
	for (size_t i = 0; i < ogl_faults_count(faults); i++)
		out += std::string("< ") + ogl_faults_path(faults, i) + " | " +
		       ogl_faults_value(faults, i) + " | " +
		       ogl_faults_allowed(faults, i) + "\n";
	g_clear_error(&checked);
	g_clear_error(&applied);
	ogl_faults_free(faults);
	return out;
}

std::string
print_view(const struct ogl_team_view &v)
{
	std::ostringstream out;

	out << "share " << v.share << " limit ";
	if (v.limit_tasks == UINT64_MAX)
		out << "none";
	else
		out << v.limit_tasks;
	out << " queue " << v.max_queue_ms << " body " << v.max_body << " jobs "
	    << v.idle_keep_jobs;
	return out.str();
}

void
append_team(void *ctx, const char *team, const struct ogl_team_view *view)
{
	*static_cast<std::string *>(ctx) +=
	    std::string("< ") + team + ": " + print_view(*view) + "\n";
}

std::string
run_query(const Tree &t, const std::string &command, const std::string &arg)
{
	struct ogl_team_view view;
	struct ogl_key_view key;
	std::string all;

	if (command == "teams") {
		ogl_settings_each_team(t.s, append_team, &all);
		return all;
	}
	if (command == "team") {
		ogl_settings_lookup_team(t.s, arg.c_str(), &view);
		return "< " + (view.exists ? print_view(view) : "unknown") +
		       "\n";
	}
	if (command == "key") {
		ogl_settings_lookup_key(t.s, ogl_str(arg.c_str()), &key);
		if (!key.known)
			return "< unknown\n";
		return std::string("< ") + key.key_id + " " +
		       (key.is_operator ? "operator" : key.team) + "\n";
	}
	if (command == "number")
		return "< " +
		       std::to_string(
			   ogl_settings_number(t.s, arg.c_str(), -1)) +
		       "\n";
	if (command == "show")
		return "< " + take_text(ogl_settings_show(t.s, arg.c_str())) +
		       "\n";
	if (command == "audit")
		return "< " +
		       take_text(ogl_settings_audit(t.s, std::stoull(arg))) +
		       "\n";
	return "< no such command\n";
}

std::string
read_file(const std::string &path)
{
	std::ifstream in(path);
	std::stringstream text;

	text << in.rdbuf();
	return text.str();
}

std::string
run_script(const std::string &text)
{
	std::istringstream in(text);
	std::string line;
	std::string out;
	std::vector<std::string> lines;
	Tree t;

	while (std::getline(in, line))
		if (line.compare(0, 2, "< ") != 0)
			lines.push_back(line);
	for (size_t i = 0; i < lines.size(); i++) {
		std::istringstream words(lines[i]);
		std::string command, arg, base, skip, who;

		out += lines[i] + "\n";
		if (lines[i].empty() || lines[i][0] == '#')
			continue;
		words >> command >> arg;
		if (command != "edit") {
			out += run_query(t, command, arg);
			continue;
		}
		words >> skip >> base >> skip >> who;
		Changes changes;
		while (i + 1 < lines.size() && lines[i + 1][0] == ' ') {
			std::string c = lines[++i].substr(1);
			size_t at = std::min(c.find(' '), c.size());

			out += " " + c + "\n";
			changes.emplace_back(c.substr(0, at),
			    at < c.size() ? c.substr(at + 1) : "");
		}
		out += run_edit(&t, std::stoull(arg),
		    Edit(std::stoull(base), who, changes));
	}
	return out;
}

void
expect_script_output(const char *name)
{
	std::string text =
	    read_file(std::string(OGL_TEST_DIR "/scripts/") + name);

	ASSERT_FALSE(text.empty());
	std::string got = run_script(text);
	EXPECT_TRUE(text == got)
	    << "diff test/scripts/" << name << " " << OGL_BIN_DIR "/" << name;
	if (text != got)
		std::ofstream(std::string(OGL_BIN_DIR "/") + name) << got;
}

} // namespace

TEST(Settings, TeamsInheritUnlessTheyOverride)
{
	expect_script_output("settings_inherit.txt");
}

// Two operators read the same version and change the same path.  If the later
// change were applied, the first one would be lost without notice.  So the edit
// that is later in log order is refused with the paths that have changed.
TEST(Settings, LaterOfConcurrentEditsIsRefused)
{
	expect_script_output("settings_races.txt");
}

TEST(Settings, AllFaultsOfAnEditAreReported)
{
	expect_script_output("settings_faults.txt");
}

TEST(Settings, KeysAreCreatedAndWithdrawnAsAWhole)
{
	expect_script_output("settings_keys.txt");
}

// A node reads the same log records twice when an answer is lost.  An edit
// applied twice would conflict with itself, or undo later edits.
TEST(Settings, ReappliedEditChangesNothing)
{
	Tree t;

	ASSERT_TRUE(t.apply(5, 0, {{"teams/x", "{}"}}));
	ASSERT_TRUE(t.apply(7, 5, {{"teams/x/share", "2"}}));
	std::string before = t.dump();
	EXPECT_TRUE(t.apply(5, 0, {{"teams/x", "{}"}}));
	EXPECT_TRUE(t.apply(7, 5, {{"teams/x/share", "3"}}));
	EXPECT_EQ(before, t.dump());
}

// A node that restarts may get an old snapshot from a peer that lags behind.
// Loading it would make a withdrawn key valid again.
TEST(Settings, OlderDumpIsIgnored)
{
	Tree t;

	ASSERT_TRUE(t.apply(1, 0, {{"teams/x", "{}"}}));
	std::string older_dump = t.dump();
	ASSERT_TRUE(t.apply(2, 1, {{"teams/x", ""}}));
	std::string current_dump = t.dump();
	EXPECT_TRUE(t.load(older_dump));
	EXPECT_EQ(current_dump, t.dump());
}

// A snapshot may arrive truncated or damaged.  A node that loaded a part of it
// could accept keys that the missing part withdraws.
TEST(Settings, MalformedDumpIsRefused)
{
	Tree t;
	std::string empty = t.dump();
	const char *bad[] = {"", "{}", "[]",
	    R"({"version":1,"forgotten":0,"nodes":[["teams/x",{},1]]})",
	    R"({"version":1,"forgotten":0,"nodes":[["teams/x",3,1]],"audit":[]})",
	    R"({"version":1,"forgotten":0,"nodes":[["cell",{},1]],"audit":[]})",
	    R"({"version":1,"forgotten":0,"nodes":[["x",1]],"audit":[]})",
	    R"({"version":-1,"forgotten":0,"nodes":[],"audit":[]})",
	    R"({"version":1,"forgotten":0,"nodes":[],"audit":[{"who":"a"}]})"};

	for (const char *text : bad) {
		EXPECT_FALSE(t.load(text)) << text;
		EXPECT_EQ(empty, t.dump());
	}
	EXPECT_TRUE(t.load(R"({"version":1,"forgotten":0,"nodes":)"
			   R"([["keys/k1",{},1]],"audit":[]})"));
}

// Each withdrawn key and removed team leaves its path in the tree, so the tree
// drops the oldest removed paths.  An edit made from a version before that is a
// conflict, so it cannot create such a path again by accident.
TEST(Settings, OldestRemovedPathsAreDropped)
{
	Tree t;
	uint64_t v = 0;

	for (int i = 0; i < 4200; i++) {
		ASSERT_TRUE(t.apply(v + 1, v, {{"teams/x", "{}"}}));
		std::string team = "teams/t" + std::to_string(i);
		ASSERT_TRUE(t.apply(v + 2, v + 1, {{team, "{}"}}));
		ASSERT_TRUE(
		    t.apply(v + 3, v + 2, {{team, ""}, {"teams/x", ""}}));
		v += 3;
	}
	EXPECT_LT(t.dump().size(), 400000u);
	Edit stale(3, "bob", {{"teams/t0", "{}"}});
	EXPECT_EQ("< conflict", run_edit(&t, v + 1, stale).substr(0, 10));
	EXPECT_TRUE(t.apply(v + 1, v, {{"teams/t0", "{}"}}));
}

TEST(Settings, AuditTrailKeepsNewestChanges)
{
	Tree t;

	ASSERT_TRUE(t.apply(1, 0, {{"cell/audit_keep", "10"}}));
	for (uint64_t v = 1; v < 30; v++)
		ASSERT_TRUE(
		    t.apply(v + 1, v, {{"teams/share", std::to_string(v)}}));
	std::string trail = take_text(ogl_settings_audit(t.s, 0));
	EXPECT_EQ(0u, trail.find(R"([{"version":21,)")) << trail;
	EXPECT_EQ(R"([{"version":30,"at_ms":1000,"who":"ann",)"
		  R"("path":"teams/share","from":28,"to":29}])",
	    take_text(ogl_settings_audit(t.s, 30)));
}

TEST(Keys, KeyIsValidForItsTeamUntilWithdrawn)
{
	uint8_t random[32];
	char text[80], id[32];
	Ogl__Edit *e = nullptr;
	struct ogl_key_view view;
	Tree t;

	for (size_t i = 0; i < sizeof(random); i++)
		random[i] = static_cast<uint8_t>(i * 7);
	ASSERT_TRUE(t.apply(1, 0, {{"teams/north", "{}"}}));
	ASSERT_TRUE(ogl_key_make(random, "north", text, &e, id));
	e->base_version = 1;
	ASSERT_TRUE(ogl_settings_apply(t.s, 2, e, 0, nullptr));
	ogl__edit__free_unpacked(e, nullptr);
	ogl_settings_lookup_key(t.s, ogl_str(text), &view);
	EXPECT_TRUE(view.known);
	EXPECT_FALSE(view.is_operator);
	EXPECT_STREQ("north", view.team);
	EXPECT_STREQ(id, view.key_id);
	EXPECT_EQ(std::string::npos, t.dump().find(text));

	std::string wrong = text;
	wrong[30] = wrong[30] == 'A' ? 'B' : 'A';
	ogl_settings_lookup_key(t.s, ogl_str(wrong.c_str()), &view);
	EXPECT_FALSE(view.known);

	ASSERT_TRUE(t.apply(3, 2, {{std::string("keys/") + id, ""}}));
	ogl_settings_lookup_key(t.s, ogl_str(text), &view);
	EXPECT_FALSE(view.known);
}

TEST(Keys, MalformedKeyHasNoHash)
{
	const std::string secret(43, 'a');
	char hex[65];
	const std::string bad[] = {"", "og_", "og_a_", "og_a_" + secret + "a",
	    "og__" + secret, "ox_a_" + secret, "og_A_" + secret,
	    "og_a_" + secret.substr(1) + "=", "og_a_" + secret + '\0',
	    "og_" + std::string(32, 'a') + "_" + secret,
	    std::string(100000, 'o')};

	for (const std::string &k : bad)
		EXPECT_FALSE(ogl_key_hash({k.data(), k.size()}, hex)) << k;
	EXPECT_FALSE(ogl_key_hash({nullptr, 0}, hex));
	std::string k = "og_a_" + secret;
	EXPECT_TRUE(ogl_key_hash({k.data(), k.size()}, hex));
	EXPECT_EQ(64u, std::string(hex).size());
}
