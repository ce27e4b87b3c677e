/*
 * Whether an edit may be applied, and what it changes in all.
 *
 * An edit is worked out in a draft: a sorted map of changes laid over the
 * tree, which itself stays as it is.  An edit names a path at most once, so
 * the order of its changes means nothing, and it is judged by the tree it
 * would give: a team, its settings and its key may come in one edit, a team
 * and its subteams may go in one.
 *
 * Removing a team removes its own settings, removing a key both its fields;
 * the draft holds these too.
 *
 * Races.  Two operators change the same path from the same version.  Were the
 * later one in log order just applied, the earlier would find the change
 * gone without a word.  So each path knows the version that last changed it,
 * also after it was removed, and an edit made from an older one is refused.
 * The same holds for the team or key the path lies in, for all below a team
 * that is removed, and for the team a new key is for.
 */

#include <string.h>

#include "json.h"
#include "settings.h"

#define CHANGES_MAX 256 /* in one edit */
#define VALUE_MAX 1024  /* bytes of one value */
#define WHO_MAX 128
#define TEAMS_MAX 4096 /* an edit that begins below it may go beyond */
#define KEYS_MAX 65536

/* One change of the edit, read. */
struct change {
	const char *text; /* its path */
	struct ogl_path path;
	json_t *value; /* JSON null: removes */
	bool valid;
};

struct ogl_draft {
	const struct ogl_settings *s;
	const Ogl__Edit *e;
	struct ogl_faults *faults;
	GTree *over; /* path -> json_t, JSON null removes */
	struct change *changes;
	size_t n;
};

static bool
removes(const struct change *c)
{
	return json_is_null(c->value);
}

/* The value a path would have once the edit is applied, NULL for none. */
static json_t *
draft_get(const struct ogl_draft *d, const char *path)
{
	json_t *v = g_tree_lookup(d->over, path);

	if (v == NULL)
		return ogl_settings_get(d->s, path);
	return json_is_null(v) ? NULL : v;
}

static bool
team_stands(const struct ogl_draft *d, const char *team)
{
	char path[OGL_PATH_MAX];

	g_snprintf(path, sizeof(path), "teams/%s", team);
	return draft_get(d, path) != NULL;
}

static void
change_fault(struct ogl_draft *d, const struct change *c, const char *allowed)
{
	char *brief = removes(c) ? g_strdup("") : ogl_json_brief(c->value);

	ogl_faults_add(d->faults, c->text, brief, allowed);
	g_free(brief);
}

/* ---- reading the changes ---------------------------------------------- */

/* Also a value that is no JSON becomes a fault at the change's own path. */
static void
read_value(struct ogl_draft *d, const Ogl__Change *from, struct change *c)
{
	struct ogl_str text = ogl_str(from->value);

	if (text.n == 0) {
		c->value = json_null();
	} else if (text.n > VALUE_MAX) {
		ogl_faults_add(d->faults, from->path, "too long",
		    "at most " G_STRINGIFY(VALUE_MAX) " bytes");
	} else {
		c->value = ogl_json_load(text, from->path, d->faults);
		if (json_is_null(c->value)) {
			ogl_faults_add(d->faults, from->path, "null",
			    "a value; empty text removes");
			c->value = NULL;
		}
	}
}

static bool
is_branch(enum ogl_path_kind k)
{
	return k == OGL_PATH_ROOT || k == OGL_PATH_CELL ||
	       k == OGL_PATH_TEAMS || k == OGL_PATH_KEYS;
}

static void
read_change(struct ogl_draft *d, const Ogl__Change *from, struct change *c)
{
	char allowed[128];

	c->text = from->path;
	read_value(d, from, c);
	if (!ogl_path_parse(from->path, &c->path) || is_branch(c->path.kind)) {
		ogl_faults_add(d->faults, from->path, from->path,
		    "cell/<field>, teams/<team>, teams/[<team>/]<field>, "
		    "keys/<id> or keys/<id>/<field>");
		return;
	}
	if (c->value == NULL)
		return;
	c->valid = true;
	if (removes(c) || c->path.field == NULL ||
	    ogl_setting_allows(
		c->path.field, c->value, allowed, sizeof(allowed)))
		return;
	change_fault(d, c, allowed);
	c->valid = false;
}

static void
lay_over(struct ogl_draft *d, const char *path, json_t *v)
{
	g_tree_replace(d->over, g_strdup(path), json_incref(v));
}

/* Removing a team or a key removes what is set in it, subteams apart. */
static void
lay_removal(struct ogl_draft *d, const struct change *c)
{
	char *prefix = g_strconcat(c->text, "/", NULL);
	GTreeNode *at = ogl_settings_below(d->s, prefix);

	for (; at != NULL; at = ogl_settings_next(at, prefix)) {
		const char *path = g_tree_node_key(at);
		const struct ogl_node_set *node = g_tree_node_value(at);

		if (strchr(path + strlen(prefix), '/') == NULL &&
		    !json_is_null(node->value) && !json_is_object(node->value))
			lay_over(d, path, json_null());
	}
	g_free(prefix);
}

/* A key's fields bring the key itself. */
static void
lay_key(struct ogl_draft *d, const struct change *c)
{
	char path[OGL_PATH_MAX];
	json_t *v = json_object();

	g_snprintf(path, sizeof(path), "keys/%s", c->path.id);
	if (g_tree_lookup(d->over, path) == NULL)
		lay_over(d, path, v);
	json_decref(v);
}

/* Removals first, so that what the edit sets below a team that it removes is
 * seen, and refused, instead of lost. */
static void
lay_changes(struct ogl_draft *d)
{
	for (size_t i = 0; i < d->n; i++) {
		const struct change *c = &d->changes[i];

		if (c->valid && removes(c) && c->path.field == NULL)
			lay_removal(d, c);
	}
	for (size_t i = 0; i < d->n; i++) {
		const struct change *c = &d->changes[i];

		if (c->valid)
			lay_over(d, c->text, c->value);
	}
	for (size_t i = 0; i < d->n; i++) {
		const struct change *c = &d->changes[i];

		if (c->valid && c->path.kind == OGL_PATH_KEY_FIELD &&
		    !removes(c))
			lay_key(d, c);
	}
}

static void
read_changes(struct ogl_draft *d)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < d->n; i++) {
		struct change *c = &d->changes[i];

		read_change(d, d->e->changes[i], c);
		if (!g_hash_table_add(seen, (gpointer)c->text)) {
			ogl_faults_add(d->faults, c->text, "named twice",
			    "each path once in an edit");
			c->valid = false;
		}
	}
	g_hash_table_destroy(seen);
}

/* ---- races ------------------------------------------------------------ */

static uint64_t
version_of(const struct ogl_settings *s, const char *path)
{
	const struct ogl_node_set *node = g_tree_lookup(s->nodes, path);

	return node != NULL ? node->version : s->forgotten;
}

static uint64_t
version_below(const struct ogl_settings *s, const char *path)
{
	char *prefix = g_strconcat(path, "/", NULL);
	GTreeNode *at = ogl_settings_below(s, prefix);
	uint64_t v = 0;

	for (; at != NULL; at = ogl_settings_next(at, prefix)) {
		const struct ogl_node_set *node = g_tree_node_value(at);

		v = MAX(v, node->version);
	}
	g_free(prefix);
	return v;
}

/* Newest version of a team and those above it. */
static uint64_t
version_of_team(const struct ogl_settings *s, const char *team)
{
	char path[OGL_PATH_MAX];
	char above[OGL_TEAM_MAX];
	uint64_t v;

	if (team[0] == '\0')
		return 0;
	g_snprintf(path, sizeof(path), "teams/%s", team);
	v = version_of(s, path);
	if (ogl_path_parent(team, above))
		v = MAX(v, version_of_team(s, above));
	return v;
}

/* Newest version of anything the change rests on. */
static uint64_t
version_behind(const struct ogl_settings *s, const struct change *c)
{
	const struct ogl_path *p = &c->path;
	char path[OGL_PATH_MAX];
	uint64_t v = version_of(s, c->text);

	if (p->kind == OGL_PATH_KEY_FIELD) {
		g_snprintf(path, sizeof(path), "keys/%s", p->id);
		v = MAX(v, version_of(s, path));
		if (p->field->type == OGL_SETTING_TEAM && !removes(c))
			v = MAX(
			    v, version_of_team(s, json_string_value(c->value)));
	}
	v = MAX(v, version_of_team(s, p->team));
	if (p->field == NULL && removes(c))
		v = MAX(v, version_below(s, c->text));
	return v;
}

static size_t
find_conflicts(struct ogl_draft *d)
{
	size_t n = 0;

	for (size_t i = 0; i < d->n; i++) {
		const struct change *c = &d->changes[i];
		char value[64];
		char allowed[64];
		uint64_t v;

		if (!c->valid)
			continue;
		v = version_behind(d->s, c);
		if (v <= d->e->base_version)
			continue;
		n++;
		g_snprintf(value, sizeof(value),
		    "changed at version %" G_GUINT64_FORMAT, v);
		g_snprintf(allowed, sizeof(allowed),
		    "an edit made from version %" G_GUINT64_FORMAT " or later",
		    v);
		ogl_faults_add(d->faults, c->text, value, allowed);
	}
	return n;
}

/* ---- the tree the edit would give ------------------------------------- */

static bool
has_subteam(const struct ogl_draft *d, const char *path)
{
	char *prefix = g_strconcat(path, "/", NULL);
	GTreeNode *at = ogl_settings_below(d->s, prefix);
	bool found = false;

	for (; at != NULL && !found; at = ogl_settings_next(at, prefix))
		found = json_is_object(draft_get(d, g_tree_node_key(at)));
	g_free(prefix);
	return found;
}

static size_t
count_keys(const struct ogl_draft *d, const char *team)
{
	GHashTableIter it;
	gpointer p;
	size_t n = 0;

	g_hash_table_iter_init(&it, d->s->keys);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct ogl_key_node *k = p;
		char path[OGL_PATH_MAX];

		g_snprintf(path, sizeof(path), "keys/%s", k->id);
		if (strcmp(k->team, team) == 0 && draft_get(d, path) != NULL)
			n++;
	}
	return n;
}

/* Likely a field's name was misspelt, so the fault lists them. */
static void
team_value_fault(struct ogl_draft *d, const struct change *c)
{
	GString *allowed = g_string_new(
	    "{} to create a team, empty to remove it; the fields are");

	for (size_t i = 0; i < OGL_TEAM_SETTINGS; i++)
		g_string_append_printf(allowed, "%s %s", i > 0 ? "," : "",
		    ogl_team_settings[i].name);
	change_fault(d, c, allowed->str);
	g_string_free(allowed, TRUE);
}

static void
check_team(struct ogl_draft *d, const struct change *c)
{
	char above[OGL_TEAM_MAX];
	bool is = ogl_settings_get(d->s, c->text) != NULL;

	if (removes(c)) {
		if (!is)
			change_fault(d, c, "a team that exists");
		else if (has_subteam(d, c->text))
			change_fault(d, c, "a team without subteams");
		else if (count_keys(d, c->path.team) > 0)
			change_fault(d, c, "a team without keys");
		return;
	}
	if (!json_is_object(c->value) || json_object_size(c->value) > 0)
		team_value_fault(d, c);
	else if (is)
		change_fault(d, c, "a team that does not exist yet");
	else if (g_hash_table_size(d->s->teams) >= TEAMS_MAX)
		change_fault(
		    d, c, "at most " G_STRINGIFY(TEAMS_MAX) " teams in all");
	else if (ogl_path_parent(c->path.team, above) && !team_stands(d, above))
		change_fault(d, c, "a team below one that exists");
}

static void
check_set(struct ogl_draft *d, const struct change *c)
{
	if (removes(c) && ogl_settings_get(d->s, c->text) == NULL)
		change_fault(d, c, "something that is set");
	else if (!removes(c) && c->path.team[0] != '\0' &&
		 !team_stands(d, c->path.team))
		change_fault(d, c, "a team that exists");
}

static void
check_key(struct ogl_draft *d, const struct change *c)
{
	if (!removes(c))
		change_fault(d, c, "its hash and team, set by themselves");
	else if (ogl_settings_get(d->s, c->text) == NULL)
		change_fault(d, c, "a key that exists");
}

/* Whether another key, of the tree or of this edit, has the hash. */
static bool
hash_taken(const struct ogl_draft *d, const struct change *c)
{
	for (size_t i = 0; i < d->n; i++) {
		const struct change *o = &d->changes[i];

		if (o != c && o->valid && o->path.field == c->path.field &&
		    json_equal(o->value, c->value))
			return true;
	}
	return ogl_settings_hash_known(d->s, json_string_value(c->value));
}

/*
 * A key is made whole and withdrawn whole.  Could its team or hash be
 * changed, work handed in under the key before would run for another team.
 */
static void
check_key_field(struct ogl_draft *d, const struct change *c)
{
	char path[OGL_PATH_MAX];
	const char *team;

	g_snprintf(path, sizeof(path), "keys/%s", c->path.id);
	if (removes(c) || ogl_settings_get(d->s, path) != NULL) {
		change_fault(d, c, "a new key; an old one is only withdrawn");
		return;
	}
	if (g_hash_table_size(d->s->keys) >= KEYS_MAX)
		change_fault(
		    d, c, "at most " G_STRINGIFY(KEYS_MAX) " keys in all");
	for (size_t i = 0; i < OGL_KEY_SETTINGS; i++) {
		g_snprintf(path, sizeof(path), "keys/%s/%s", c->path.id,
		    ogl_key_settings[i].name);
		if (draft_get(d, path) == NULL)
			ogl_faults_add(d->faults, path, "",
			    "a value: a key has a hash and a team");
	}
	team = json_string_value(c->value);
	if (c->path.field->type == OGL_SETTING_TEAM) {
		if (team[0] != '\0' && !team_stands(d, team))
			change_fault(d, c, "a team that exists, or \"\"");
	} else if (hash_taken(d, c)) {
		change_fault(d, c, "a hash that no other key has");
	}
}

/* Upper limit a team would have: its own, else of the nearest above. */
static json_t *
limit_of(const struct ogl_draft *d, const char *team)
{
	const char *field = ogl_team_settings[OGL_TEAM_LIMIT_TASKS].name;
	char path[OGL_PATH_MAX];
	char above[OGL_TEAM_MAX];
	json_t *v;

	g_snprintf(path, sizeof(path), "teams/%s/%s", team, field);
	v = draft_get(d, path);
	if (v != NULL)
		return v;
	if (ogl_path_parent(team, above))
		return limit_of(d, above);
	g_snprintf(path, sizeof(path), "teams/%s", field);
	return draft_get(d, path);
}

/* A limit that no one could reach is a slip: its author believes that the
 * team may run more than the team above lets it. */
static void
check_limit(struct ogl_draft *d, const char *text)
{
	json_t *own = draft_get(d, text);
	char above[OGL_TEAM_MAX];
	char allowed[OGL_TEAM_MAX + 64];
	struct ogl_path p;
	json_t *most;
	char *brief;

	if (own == NULL || !ogl_path_parse(text, &p) ||
	    p.field != &ogl_team_settings[OGL_TEAM_LIMIT_TASKS] ||
	    !ogl_path_parent(p.team, above))
		return;
	most = limit_of(d, above);
	if (!json_is_integer(most) ||
	    (json_is_integer(own) &&
		json_integer_value(own) <= json_integer_value(most)))
		return;
	g_snprintf(allowed, sizeof(allowed),
	    "at most %" JSON_INTEGER_FORMAT ", the limit of teams/%s",
	    json_integer_value(most), above);
	brief = ogl_json_brief(own);
	ogl_faults_add(d->faults, text, brief, allowed);
	g_free(brief);
}

static void
check_limits(struct ogl_draft *d)
{
	const char *prefix = "teams/";
	GTreeNode *at = ogl_settings_below(d->s, prefix);

	for (; at != NULL; at = ogl_settings_next(at, prefix))
		check_limit(d, g_tree_node_key(at));
	at = g_tree_node_first(d->over);
	for (; at != NULL; at = g_tree_node_next(at))
		if (g_tree_lookup(d->s->nodes, g_tree_node_key(at)) == NULL)
			check_limit(d, g_tree_node_key(at));
}

typedef void (*check_fn)(struct ogl_draft *d, const struct change *c);

static const check_fn checks[] = {
    [OGL_PATH_CELL_FIELD] = check_set,
    [OGL_PATH_TEAM] = check_team,
    [OGL_PATH_TEAM_FIELD] = check_set,
    [OGL_PATH_KEY] = check_key,
    [OGL_PATH_KEY_FIELD] = check_key_field,
};

static void
check_tree(struct ogl_draft *d)
{
	bool limits = false;

	for (size_t i = 0; i < d->n; i++) {
		const struct change *c = &d->changes[i];

		if (!c->valid)
			continue;
		checks[c->path.kind](d, c);
		if (c->path.field == &ogl_team_settings[OGL_TEAM_LIMIT_TASKS])
			limits = true;
	}
	if (limits)
		check_limits(d);
}

/* ---- the whole -------------------------------------------------------- */

static void
check_frame(struct ogl_draft *d)
{
	char value[32];
	char allowed[64];

	if (d->e->n_changes == 0 || d->e->n_changes > CHANGES_MAX) {
		g_snprintf(
		    value, sizeof(value), "%zu changes", d->e->n_changes);
		ogl_faults_add(d->faults, "changes", value,
		    "from 1 to " G_STRINGIFY(CHANGES_MAX) " changes");
	}
	if (strlen(d->e->who) > WHO_MAX ||
	    !g_utf8_validate(d->e->who, -1, NULL))
		ogl_faults_add(d->faults, "who", "too long, or no text",
		    "at most " G_STRINGIFY(WHO_MAX) " bytes of UTF-8");
	if (d->e->base_version > d->s->version) {
		g_snprintf(value, sizeof(value), "%" G_GUINT64_FORMAT,
		    d->e->base_version);
		g_snprintf(allowed, sizeof(allowed),
		    "at most %" G_GUINT64_FORMAT ", the version in force",
		    d->s->version);
		ogl_faults_add(d->faults, "base_version", value, allowed);
	}
}

/* The error names the fault at `first`, the first of its sort. */
static void
set_error(const struct ogl_draft *d, enum ogl_error code, size_t first,
    GError **error)
{
	size_t n = ogl_faults_count(d->faults) - first;

	g_set_error(error, OGL_ERROR, code,
	    "edit refused: %s: %s; allowed: %s (%zu fault%s)",
	    ogl_faults_path(d->faults, first),
	    ogl_faults_value(d->faults, first),
	    ogl_faults_allowed(d->faults, first), n, n == 1 ? "" : "s");
}

static gint
compare_paths(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return strcmp(a, b);
}

static void
value_free(gpointer v)
{
	json_decref(v);
}

struct ogl_draft *
ogl_draft_init(const struct ogl_settings *s, const Ogl__Edit *e,
    struct ogl_faults *faults, GError **error)
{
	struct ogl_draft *d = g_new0(struct ogl_draft, 1);
	size_t before = ogl_faults_count(faults);
	size_t conflicts;

	d->s = s;
	d->e = e;
	d->faults = faults;
	d->over = g_tree_new_full(compare_paths, NULL, g_free, value_free);
	check_frame(d);
	if (e->n_changes > CHANGES_MAX)
		goto refused; /* else all that is wrong is told at once */
	d->n = e->n_changes;
	d->changes = g_new0(struct change, d->n);
	read_changes(d);
	conflicts = find_conflicts(d);
	if (conflicts > 0) {
		set_error(d, OGL_ERROR_CONFLICT,
		    ogl_faults_count(faults) - conflicts, error);
		goto failed;
	}
	lay_changes(d);
	check_tree(d);
	if (ogl_faults_count(faults) == before)
		return d;
refused:
	set_error(d, OGL_ERROR_INPUT, before, error);
failed:
	ogl_draft_end(d);
	return NULL;
}

GTree *
ogl_draft_changes(struct ogl_draft *d)
{
	return d->over;
}

void
ogl_draft_end(struct ogl_draft *d)
{
	for (size_t i = 0; i < d->n; i++)
		json_decref(d->changes[i].value);
	g_free(d->changes);
	g_tree_destroy(d->over);
	g_free(d);
}
