/*
 * Commands of operators: teams, keys, the settings tree and its audit log.
 */

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"
#include "print.h"

#define JSON_TYPE "Content-Type: application/json"
#define EDIT_CHANGES_MAX 16 /* changes in one edit */

/* ---- edits ------------------------------------------------------------ */

/* Reads a small part of the settings; every answer contains the version. */
static enum ctl_exit
read_version(struct ctl *c, uint64_t *version)
{
	struct ctl_answer a;
	enum ctl_exit rc = ctl_get(c, "/v1/settings?path=cell", &a);
	json_t *o = NULL;

	if (rc == CTL_OK)
		o = json_loadb(a.body->str, a.body->len, 0, NULL);
	*version = (uint64_t)json_integer_value(json_object_get(o, "version"));
	json_decref(o);
	ctl_answer_clear(&a);
	return rc;
}

static enum ctl_exit
print_version(struct ctl *c, const struct ctl_answer *a)
{
	json_t *o;

	if (c->json) {
		ctl_print_raw(a);
		return CTL_OK;
	}
	o = json_loadb(a->body->str, a->body->len, 0, NULL);
	printf("version %" JSON_INTEGER_FORMAT "\n",
	    json_integer_value(json_object_get(o, "version")));
	json_decref(o);
	return CTL_OK;
}

/* Sends the changes as one edit.  Its base version is the value of --base or,
 * without that option, the current version. */
static enum ctl_exit
send_edit(struct ctl *c, Ogl__Change **changes, size_t n)
{
	struct ctl_request r = {.method = "POST", .path = "/v1/settings"};
	Ogl__Edit e = OGL__EDIT__INIT;
	struct ctl_answer a;
	enum ctl_exit rc;
	char *body;
	size_t len;

	e.base_version = c->base_version;
	if ((c->options_given & CTL_BASE) == 0) {
		rc = read_version(c, &e.base_version);
		if (rc != CTL_OK)
			return rc;
	}
	e.n_changes = n;
	e.changes = changes;
	body = ogl_json_print(&e.base, &len);
	r.body = (struct ogl_str){body, len};
	r.headers[0] = JSON_TYPE;
	rc = ctl_call(c, &r, &a);
	if (rc == CTL_OK)
		rc = print_version(c, &a);
	ctl_answer_clear(&a);
	g_free(body);
	return rc;
}

/* Converts an argument to JSON text.  An argument that is not JSON becomes a
 * JSON string, so that users need not quote twice in a shell. */
static char *
json_from_arg(const char *arg)
{
	json_t *v = json_loads(arg, JSON_DECODE_ANY, NULL);
	char *text;

	if (v == NULL)
		v = json_string(arg);
	text = json_dumps(v, JSON_COMPACT | JSON_ENCODE_ANY);
	json_decref(v);
	return text;
}

/* Sends an edit of one change.  An empty value removes the setting. */
static enum ctl_exit
send_change(struct ctl *c, const char *path, const char *value)
{
	Ogl__Change change = OGL__CHANGE__INIT;
	Ogl__Change *changes[1] = {&change};

	change.path = (char *)path;
	change.value = (char *)value;
	return send_edit(c, changes, 1);
}

static enum ctl_exit
set_value(struct ctl *c, const char *path, const char *arg)
{
	enum ctl_exit rc;
	char *value;

	if (arg[0] == '\0') {
		fputs(
		    "oriolectl: an empty value; use settings unset\n", stderr);
		return CTL_USAGE;
	}
	value = json_from_arg(arg);
	rc = send_change(c, path, value);
	free(value);
	return rc;
}

/* ---- settings --------------------------------------------------------- */

static char *
settings_path(const char *path)
{
	char *escaped = g_uri_escape_string(path, "/", FALSE);
	char *text = g_strconcat("/v1/settings?path=", escaped, NULL);

	g_free(escaped);
	return text;
}

/* Converts {"a": 1} to rows {NAME: "a", "value": 1, "from": ...}.  origins is
 * NULL or has the value of "from" for each key. */
static json_t *
rows_from_object(const json_t *values, const char *name, const json_t *origins)
{
	json_t *rows = json_array();
	const char *key;
	json_t *v;

	json_object_foreach((json_t *)values, key, v)
	{
		json_t *row = json_pack("{s:s,s:O}", name, key, "value", v);

		if (origins != NULL)
			json_object_set(
			    row, "from", json_object_get(origins, key));
		json_array_append_new(rows, row);
	}
	return rows;
}

static void
print_settings(const json_t *o)
{
	json_t *set = rows_from_object(json_object_get(o, "set"), "path", NULL);
	json_t *resolved = rows_from_object(json_object_get(o, "resolved"),
	    "setting", json_object_get(o, "from"));

	printf("version %" JSON_INTEGER_FORMAT "\n",
	    json_integer_value(json_object_get(o, "version")));
	if (json_array_size(set) > 0) {
		puts("\nset here and below:");
		ctl_print_table(stdout, set);
	}
	if (json_array_size(resolved) > 0) {
		puts("\nin force here:");
		ctl_print_table(stdout, resolved);
	}
	json_decref(resolved);
	json_decref(set);
}

static enum ctl_exit
get_settings(struct ctl *c, const char *path)
{
	char *url = settings_path(path);
	json_t *o;
	enum ctl_exit rc = ctl_get_json(c, url, &o);

	if (o != NULL)
		print_settings(o);
	json_decref(o);
	g_free(url);
	return rc;
}

static enum ctl_exit
run_settings_get(struct ctl *c, char **words, size_t n)
{
	return get_settings(c, n > 0 ? words[0] : "");
}

static enum ctl_exit
run_settings_set(struct ctl *c, char **words, size_t n)
{
	(void)n;
	return set_value(c, words[0], words[1]);
}

static enum ctl_exit
run_settings_unset(struct ctl *c, char **words, size_t n)
{
	(void)n;
	return send_change(c, words[0], "");
}

static enum ctl_exit
run_audit(struct ctl *c, char **words, size_t n)
{
	uint64_t from = 0;
	enum ctl_exit rc;
	json_t *v;
	char *url;

	if (n > 0 && !g_ascii_string_to_unsigned(
			 words[0], 10, 0, UINT64_MAX, &from, NULL)) {
		fprintf(stderr, "oriolectl: %s is no version\n", words[0]);
		return CTL_USAGE;
	}
	url = g_strdup_printf("/v1/audit?from=%" PRIu64, from);
	rc = ctl_get_json(c, url, &v);
	if (v != NULL)
		ctl_print(stdout, v);
	json_decref(v);
	g_free(url);
	return rc;
}

/* ---- teams ------------------------------------------------------------ */

static char *
team_path(const char *team, const char *field)
{
	return g_strconcat(
	    "teams/", team, field != NULL ? "/" : "", field, NULL);
}

/* Adds a change to the list, which takes over path and value.  The value is
 * JSON text. */
static void
add_change(Ogl__Change **changes, size_t at, char *path, char *value)
{
	Ogl__Change *change = g_new(Ogl__Change, 1);

	ogl__change__init(change);
	change->path = path;
	change->value = value;
	changes[at] = change;
}

/* The team and its settings are one edit.  With two edits the team's jobs could
 * start under the default settings in between. */
static enum ctl_exit
run_team_add(struct ctl *c, char **words, size_t n)
{
	Ogl__Change *changes[EDIT_CHANGES_MAX];
	enum ctl_exit rc = CTL_USAGE;
	size_t n_changes = 0;

	add_change(
	    changes, n_changes++, team_path(words[0], NULL), g_strdup("{}"));
	for (size_t i = 1; i < n; i++) {
		char *equals = strchr(words[i], '=');

		if (equals == NULL || equals[1] == '\0') {
			fprintf(stderr, "oriolectl: %s is no FIELD=VALUE\n",
			    words[i]);
			goto out;
		}
		*equals = '\0';
		add_change(changes, n_changes++, team_path(words[0], words[i]),
		    json_from_arg(equals + 1));
	}
	rc = send_edit(c, changes, n_changes);
out:
	for (size_t i = 0; i < n_changes; i++)
		ogl__change__free_unpacked(changes[i], NULL);
	return rc;
}

static enum ctl_exit
run_team_show(struct ctl *c, char **words, size_t n)
{
	char *path = team_path(words[0], NULL);
	enum ctl_exit rc = get_settings(c, path);

	(void)n;
	g_free(path);
	return rc;
}

static enum ctl_exit
run_team_set(struct ctl *c, char **words, size_t n)
{
	char *path = team_path(words[0], words[1]);
	enum ctl_exit rc = set_value(c, path, words[2]);

	(void)n;
	g_free(path);
	return rc;
}

static enum ctl_exit
run_team_remove(struct ctl *c, char **words, size_t n)
{
	char *path = team_path(words[0], NULL);
	enum ctl_exit rc = send_change(c, path, "");

	(void)n;
	g_free(path);
	return rc;
}

/* One row per team, with the team's settings.  The paths are sorted, so that a
 * team comes before its fields. */
static json_t *
team_rows(const json_t *set)
{
	json_t *rows = json_array();
	json_t *by_path = json_object();
	const char *path;
	json_t *v;

	json_object_foreach((json_t *)set, path, v)
	{
		const char *slash = strrchr(path, '/');
		json_t *row;
		char *parent;

		if (json_is_object(v)) {
			row =
			    json_pack("{s:s}", "team", path + strlen("teams/"));
			json_object_set(by_path, path, row);
			json_array_append_new(rows, row);
			continue;
		}
		parent = g_strndup(path, (gsize)(slash - path));
		row = json_object_get(by_path, parent);
		if (row != NULL)
			json_object_set(row, slash + 1, v);
		g_free(parent);
	}
	json_decref(by_path);
	return rows;
}

static enum ctl_exit
run_team_list(struct ctl *c, char **words, size_t n)
{
	json_t *o;
	json_t *rows;
	enum ctl_exit rc = ctl_get_json(c, "/v1/settings?path=teams", &o);

	(void)words;
	(void)n;
	if (o != NULL) {
		rows = team_rows(json_object_get(o, "set"));
		ctl_print(stdout, rows);
		json_decref(rows);
	}
	json_decref(o);
	return rc;
}

/* ---- keys ------------------------------------------------------------- */

static enum ctl_exit
print_key(struct ctl *c, const struct ctl_answer *a)
{
	json_t *o;
	const char *key = NULL;
	const char *id = NULL;

	if (c->json) {
		ctl_print_raw(a);
		return CTL_OK;
	}
	o = json_loadb(a->body->str, a->body->len, 0, NULL);
	if (o != NULL)
		json_unpack(o, "{s:s,s:s}", "key", &key, "id", &id);
	if (key != NULL && id != NULL)
		printf("%s\n%s\n", key, id);
	else
		fputs("oriolectl: the answer holds no key\n", stderr);
	json_decref(o);
	return key != NULL && id != NULL ? CTL_OK : CTL_UNREACHABLE;
}

static enum ctl_exit
run_key_create(struct ctl *c, char **words, size_t n)
{
	struct ctl_request r = {.method = "POST", .path = "/v1/keys"};
	json_t *o = json_pack("{s:s}", "team", words[0]);
	char *body = o != NULL ? json_dumps(o, JSON_COMPACT) : NULL;
	struct ctl_answer a;
	enum ctl_exit rc;

	(void)n;
	json_decref(o);
	r.body = ogl_str(body);
	r.headers[0] = JSON_TYPE;
	rc = ctl_call(c, &r, &a);
	if (rc == CTL_OK)
		rc = print_key(c, &a);
	ctl_answer_clear(&a);
	free(body);
	return rc;
}

static enum ctl_exit
run_key_withdraw(struct ctl *c, char **words, size_t n)
{
	char *escaped = g_uri_escape_string(words[0], NULL, FALSE);
	char *path = g_strconcat("/v1/keys/", escaped, NULL);
	struct ctl_request r = {.method = "DELETE", .path = path};
	struct ctl_answer a;
	enum ctl_exit rc;

	(void)n;
	rc = ctl_call(c, &r, &a);
	if (rc == CTL_OK && c->json)
		ctl_print_raw(&a);
	else if (rc == CTL_OK)
		printf("withdrawn %s\n", words[0]);
	ctl_answer_clear(&a);
	g_free(path);
	g_free(escaped);
	return rc;
}

/* Works offline: the first operator key of a cell is made before any node
 * runs, since its hash is part of the nodes' settings. */
static enum ctl_exit
run_key_hash(struct ctl *c, char **words, size_t n)
{
	uint8_t random[32];
	char key[80];
	char id[32];
	char hex[65];
	Ogl__Edit *e = NULL;
	enum ctl_exit rc = CTL_UNREACHABLE;

	(void)c;
	(void)words;
	(void)n;
	randombytes_buf(random, sizeof(random));
	if (ogl_key_make(random, "", key, &e, id) &&
	    ogl_key_hash(ogl_str(key), hex)) {
		printf("%s\n%s\n", key, hex);
		rc = CTL_OK;
	}
	if (e != NULL)
		ogl__edit__free_unpacked(e, NULL);
	sodium_memzero(random, sizeof(random));
	sodium_memzero(key, sizeof(key));
	return rc;
}

const struct ctl_command ctl_settings_commands[] = {
    {"team", "add", 1, EDIT_CHANGES_MAX, CTL_BASE, 0, false, run_team_add,
	"TEAM [FIELD=VALUE...]", "create a team, below another as a/b"},
    {"team", "show", 1, 1, 0, 0, false, run_team_show, "TEAM",
	"what is set for a team and what holds"},
    {"team", "set", 3, 3, CTL_BASE, 0, false, run_team_set, "TEAM FIELD VALUE",
	"e.g. share, limit_tasks"},
    {"team", "remove", 1, 1, CTL_BASE, 0, false, run_team_remove, "TEAM",
	"remove a team without keys and subteams"},
    {"team", "list", 0, 0, 0, 0, false, run_team_list, "",
	"teams and what is set for each"},
    {"key", "create", 1, 1, 0, 0, false, run_key_create, "TEAM",
	"print a new key, once, and its id; TEAM \"\" for an operator"},
    {"key", "withdraw", 1, 1, 0, 0, false, run_key_withdraw, "ID",
	"withdraw a key"},
    {"key", "hash", 0, 0, 0, 0, true, run_key_hash, "",
	"make a first operator key, without a node: key, then its hash"},
    {"settings", "get", 0, 1, 0, 0, false, run_settings_get, "[PATH]",
	"the tree at and below a path"},
    {"settings", "set", 2, 2, CTL_BASE, 0, false, run_settings_set,
	"PATH VALUE", "set one value"},
    {"settings", "unset", 1, 1, CTL_BASE, 0, false, run_settings_unset, "PATH",
	"remove a value; then that of the level above holds"},
    {"audit", NULL, 0, 1, 0, 0, false, run_audit, "[FROM]",
	"changes from a version on"},
    {0},
};
