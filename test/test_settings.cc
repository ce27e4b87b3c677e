// The settings tree: scripted runs with expected output, keys, and what two
// followers of one log must have in common.
//
// A script holds commands and, after `< `, what they answer.  The runner runs
// the commands and writes the script anew; both must be the same text.
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
take(char *text)
{
	std::string s = text != nullptr ? text : "nothing";

	g_free(text);
	return s;
}

// An edit over borrowed strings.
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
		return take(ogl_settings_dump(s));
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

// What the edit answers.  Also holds for every edit of every script: check and
// apply agree, a refused edit leaves the dump as it was, and a follower that
// starts from the dump before the edit ends with the same dump.
std::string
run_edit(Tree *t, uint64_t version, const Edit &edit)
{
	static const char *const codes[] = {"input", "conflict"};
	struct ogl_faults *faults = ogl_faults_new();
	GError *checked = nullptr;
	GError *applied = nullptr;
	std::string before = t->dump();
	std::string out;
	Tree late;

	EXPECT_TRUE(late.load(before));
	bool ok = ogl_settings_check(t->s, &edit.e, faults, &checked);
	EXPECT_EQ(before, t->dump());
	EXPECT_EQ(
	    ok, ogl_settings_apply(t->s, version, &edit.e, 1000, &applied));
	ogl_settings_apply(late.s, version, &edit.e, 1000, nullptr);
	EXPECT_EQ(t->dump(), late.dump());
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
add_team(void *ctx, const char *team, const struct ogl_team_view *view)
{
	*static_cast<std::string *>(ctx) +=
	    std::string("< ") + team + ": " + print_view(*view) + "\n";
}

std::string
ask(const Tree &t, const std::string &what, const std::string &arg)
{
	struct ogl_team_view view;
	struct ogl_key_view key;
	std::string all;

	if (what == "teams") {
		ogl_settings_each_team(t.s, add_team, &all);
		return all;
	}
	if (what == "team") {
		ogl_settings_team(t.s, arg.c_str(), &view);
		return "< " + (view.exists ? print_view(view) : "unknown") +
		       "\n";
	}
	if (what == "key") {
		ogl_settings_key(t.s, ogl_str(arg.c_str()), &key);
		if (!key.known)
			return "< unknown\n";
		return std::string("< ") + key.key_id + " " +
		       (key.is_operator ? "operator" : key.team) + "\n";
	}
	if (what == "number")
		return "< " +
		       std::to_string(
			   ogl_settings_number(t.s, arg.c_str(), -1)) +
		       "\n";
	if (what == "show")
		return "< " + take(ogl_settings_show(t.s, arg.c_str())) + "\n";
	if (what == "audit")
		return "< " + take(ogl_settings_audit(t.s, std::stoull(arg))) +
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
		std::string what, arg, base, skip, who;

		out += lines[i] + "\n";
		if (lines[i].empty() || lines[i][0] == '#')
			continue;
		words >> what >> arg;
		if (what != "edit") {
			out += ask(t, what, arg);
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
expect_script(const char *name)
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
	expect_script("settings_inherit.txt");
}

// Two operators read the same version and change the same path.  If the later
// change simply won, the first operator would see it vanish without a word;
// so the later one in log order is refused and told what changed.
TEST(Settings, OfTwoRacingOperatorsTheLaterIsTold)
{
	expect_script("settings_races.txt");
}

TEST(Settings, EveryFaultOfAnEditIsNamedAtOnce)
{
	expect_script("settings_faults.txt");
}

TEST(Settings, KeysAreMadeAndWithdrawnWhole)
{
	expect_script("settings_keys.txt");
}

// A node asks the log twice for the same records when an answer is lost.  An
// edit taken twice would be refused as a conflict with itself, or set back
// what came after it.
TEST(Settings, AnEditReadAgainChangesNothing)
{
	Tree t;

	ASSERT_TRUE(t.apply(5, 0, {{"teams/x", "{}"}}));
	ASSERT_TRUE(t.apply(7, 5, {{"teams/x/share", "2"}}));
	std::string before = t.dump();
	EXPECT_TRUE(t.apply(5, 0, {{"teams/x", "{}"}}));
	EXPECT_TRUE(t.apply(7, 5, {{"teams/x/share", "3"}}));
	EXPECT_EQ(before, t.dump());
}

// A node that restarts may be handed an old snapshot by a peer that lags.
// Taking it would put a withdrawn key back in force.
TEST(Settings, AnOlderDumpIsNotTaken)
{
	Tree t;

	ASSERT_TRUE(t.apply(1, 0, {{"teams/x", "{}"}}));
	std::string old = t.dump();
	ASSERT_TRUE(t.apply(2, 1, {{"teams/x", ""}}));
	std::string now = t.dump();
	EXPECT_TRUE(t.load(old));
	EXPECT_EQ(now, t.dump());
}

// A snapshot may come cut or changed.  A node that took half of it would let
// keys in that the other half withdraws.
TEST(Settings, ABrokenDumpIsRefusedWhole)
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

// Keys come and go for years, and each leaves the path it had behind.  The
// tree forgets the oldest; an operator who still holds a version from before
// that is told to read again, and cannot bring such a path back by accident.
TEST(Settings, RemovedPathsAreForgottenInTheEnd)
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

TEST(Settings, TheAuditTrailKeepsTheNewest)
{
	Tree t;

	ASSERT_TRUE(t.apply(1, 0, {{"cell/audit_keep", "10"}}));
	for (uint64_t v = 1; v < 30; v++)
		ASSERT_TRUE(
		    t.apply(v + 1, v, {{"teams/share", std::to_string(v)}}));
	std::string trail = take(ogl_settings_audit(t.s, 0));
	EXPECT_EQ(0u, trail.find(R"([{"version":21,)")) << trail;
	EXPECT_EQ(R"([{"version":30,"at_ms":1000,"who":"ann",)"
		  R"("path":"teams/share","from":28,"to":29}])",
	    take(ogl_settings_audit(t.s, 30)));
}

TEST(Keys, AKeyOpensForItsTeamUntilItIsWithdrawn)
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
	ogl_settings_key(t.s, ogl_str(text), &view);
	EXPECT_TRUE(view.known);
	EXPECT_FALSE(view.is_operator);
	EXPECT_STREQ("north", view.team);
	EXPECT_STREQ(id, view.key_id);
	EXPECT_EQ(std::string::npos, t.dump().find(text));

	std::string wrong = text;
	wrong[30] = wrong[30] == 'A' ? 'B' : 'A';
	ogl_settings_key(t.s, ogl_str(wrong.c_str()), &view);
	EXPECT_FALSE(view.known);

	ASSERT_TRUE(t.apply(3, 2, {{std::string("keys/") + id, ""}}));
	ogl_settings_key(t.s, ogl_str(text), &view);
	EXPECT_FALSE(view.known);
}

TEST(Keys, OnlyAWholeKeyHasAHash)
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
