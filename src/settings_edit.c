/*
 * Checks whether an edit may be applied and computes all changes it makes.
 *
 * An edit is checked in a draft: a sorted map of changes that overlays the
 * tree, which is not modified.  An edit names a path at most once, so the order
 * of its changes does not matter.  The tree that would result is checked, so
 * one edit may create a team with its settings and its key, and one edit may
 * remove a team with its subteams.
 *
 * Removing a team removes its own settings too, and removing a key removes both
 * its fields.  The draft includes these implied changes.
 *
 * Conflicts: two operators may change the same path starting from the same
 * version.  If the later one in log order were simply applied, the earlier
 * change would be lost without notice.  So each path stores the version that
 * last changed it, also after its removal, and an edit made from an older
 * version is refused.  The same holds for the team or key that the path belongs
 * to, for everything below a team that is removed, and for the team of a new
 * key.
 */

#include <string.h>

#include "json.h"
#include "settings.h"

#define CHANGES_MAX 256      /* changes in one edit */
#define VALUE_MAX_BYTES 1024 /* JSON text of one value */
#define WHO_MAX_BYTES 128
/* These limits are checked against the tree before the edit, so one edit that
 * adds several teams or keys may exceed them. */
#define TEAMS_MAX 4096
#define KEYS_MAX 65536

/* One change of the edit, parsed. */
struct change {
	const char *path_text; /* as in the edit */
	struct ogl_path path;
	json_t *value; /* JSON null: removal; NULL: malformed */
	bool valid;
};

struct ogl_draft {
	const struct ogl_settings *s;
	const Ogl__Edit *e;
	struct ogl_faults *faults;
	GTree *overlay; /* path -> json_t, JSON null: removal */
	struct change *changes;
	size_t n;
};

static bool
is_removal(const struct change *c)
{
	return json_is_null(c->value);
}

/* The value a path has after the edit, NULL for none. */
static json_t *
draft_get(const struct ogl_draft *d, const char *path)
{
	json_t *v = g_tree_lookup(d->overlay, path);

	if (v == NULL)
		return ogl_settings_get(d->s, path);
	return json_is_null(v) ? NULL : v;
}

static bool
team_exists(const struct ogl_draft *d, const char *team)
{
	char path[OGL_PATH_BYTES];

	g_snprintf(path, sizeof(path), "teams/%s", team);
	return draft_get(d, path) != NULL;
}

static void
change_fault(struct ogl_draft *d, const struct change *c, const char *allowed)
{
	char *brief = is_removal(c) ? g_strdup("") : ogl_json_brief(c->value);

	ogl_faults_add(d->faults, c->path_text, brief, allowed);
	g_free(brief);
}

/* ---- parsing the changes ---------------------------------------------- */

/* A value that is not JSON becomes a fault at the path of the change. */
static void
read_value(struct ogl_draft *d, const Ogl__Change *from, struct change *c)
{
	struct ogl_str text = ogl_str(from->value);

	if (text.n == 0) {
		c->value = json_null();
	} else if (text.n > VALUE_MAX_BYTES) {
		ogl_faults_add(d->faults, from->path, "too long",
		    "at most " G_STRINGIFY(VALUE_MAX_BYTES) " bytes");
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
is_container(enum ogl_path_kind k)
{
	return k == OGL_PATH_ROOT || k == OGL_PATH_CELL ||
	       k == OGL_PATH_TEAMS || k == OGL_PATH_KEYS;
}

static void
read_change(struct ogl_draft *d, const Ogl__Change *from, struct change *c)
{
	char allowed[128];

	c->path_text = from->path;
	read_value(d, from, c);
	if (!ogl_path_parse(from->path, &c->path) ||
	    is_container(c->path.kind)) {
		ogl_faults_add(d->faults, from->path, from->path,
		    "cell/<field>, teams/<team>, teams/[<team>/]<field>, "
		    "keys/<id> or keys/<id>/<field>");
		return;
	}
	if (c->value == NULL)
		return;
	c->valid = true;
	if (is_removal(c) || c->path.field == NULL ||
	    ogl_setting_allows(
		c->path.field, c->value, allowed, sizeof(allowed)))
		return;
	change_fault(d, c, allowed);
	c->valid = false;
}

static void
overlay_set(struct ogl_draft *d, const char *path, json_t *v)
{
	g_tree_replace(d->overlay, g_strdup(path), json_incref(v));
}

/* Adds the removal of all fields of a removed team or key.  Subteams are not
 * removed. */
static void
overlay_removal(struct ogl_draft *d, const struct change *c)
{
	char *prefix = g_strconcat(c->path_text, "/", NULL);
	GTreeNode *at = ogl_settings_first(d->s, prefix);

	for (; at != NULL; at = ogl_settings_next(at, prefix)) {
		const char *path = g_tree_node_key(at);
		const struct ogl_settings_node *node = g_tree_node_value(at);

		if (strchr(path + strlen(prefix), '/') == NULL &&
		    !json_is_null(node->value) && !json_is_object(node->value))
			overlay_set(d, path, json_null());
	}
	g_free(prefix);
}

/* Setting a field of a key creates the key itself. */
static void
overlay_key(struct ogl_draft *d, const struct change *c)
{
	char path[OGL_PATH_BYTES];
	json_t *v = json_object();

	g_snprintf(path, sizeof(path), "keys/%s", c->path.id);
	if (g_tree_lookup(d->overlay, path) == NULL)
		overlay_set(d, path, v);
	json_decref(v);
}

/* Implied removals are added first, so that they do not overwrite a value that
 * the edit sets in a team that it removes.  Such a value is then refused rather
 * than lost. */
static void
overlay_changes(struct ogl_draft *d)
{
	for (size_t i = 0; i < d->n; i++) {
		const struct change *c = &d->changes[i];

		if (c->valid && is_removal(c) && c->path.field == NULL)
			overlay_removal(d, c);
	}
	for (size_t i = 0; i < d->n; i++) {
		const struct change *c = &d->changes[i];

		if (c->valid)
			overlay_set(d, c->path_text, c->value);
	}
	for (size_t i = 0; i < d->n; i++) {
		const struct change *c = &d->changes[i];

		if (c->valid && c->path.kind == OGL_PATH_KEY_FIELD &&
		    !is_removal(c))
			overlay_key(d, c);
	}
}

static void
read_changes(struct ogl_draft *d)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < d->n; i++) {
		struct change *c = &d->changes[i];

		read_change(d, d->e->changes[i], c);
		if (!g_hash_table_add(seen, (gpointer)c->path_text)) {
			ogl_faults_add(d->faults, c->path_text, "named twice",
			    "each path once in an edit");
			c->valid = false;
		}
	}
	g_hash_table_destroy(seen);
}

/* ---- conflicts -------------------------------------------------------- */

static uint64_t
path_version(const struct ogl_settings *s, const char *path)
{
	const struct ogl_settings_node *node = g_tree_lookup(s->nodes, path);

	return node != NULL ? node->version : s->forgotten_version;
}

static uint64_t
newest_version_below(const struct ogl_settings *s, const char *path)
{
	char *prefix = g_strconcat(path, "/", NULL);
	GTreeNode *at = ogl_settings_first(s, prefix);
	uint64_t v = 0;

	for (; at != NULL; at = ogl_settings_next(at, prefix)) {
		const struct ogl_settings_node *node = g_tree_node_value(at);

		v = MAX(v, node->version);
	}
	g_free(prefix);
	return v;
}

/* Newest version of a team and its ancestors. */
static uint64_t
team_version(const struct ogl_settings *s, const char *team)
{
	char path[OGL_PATH_BYTES];
	char parent[OGL_TEAM_PATH_BYTES];
	uint64_t v;

	if (team[0] == '\0')
		return 0;
	g_snprintf(path, sizeof(path), "teams/%s", team);
	v = path_version(s, path);
	if (ogl_path_parent(team, parent))
		v = MAX(v, team_version(s, parent));
	return v;
}

/* Newest version of all paths that the change depends on, see the head of this
 * file. */
static uint64_t
newest_dependency_version(const struct ogl_settings *s, const struct change *c)
{
	const struct ogl_path *p = &c->path;
	char path[OGL_PATH_BYTES];
	uint64_t v = path_version(s, c->path_text);

	if (p->kind == OGL_PATH_KEY_FIELD) {
		g_snprintf(path, sizeof(path), "keys/%s", p->id);
		v = MAX(v, path_version(s, path));
		if (p->field->type == OGL_SETTING_TEAM && !is_removal(c))
			v = MAX(
			    v, team_version(s, json_string_value(c->value)));
	}
	v = MAX(v, team_version(s, p->team));
	if (p->field == NULL && is_removal(c))
		v = MAX(v, newest_version_below(s, c->path_text));
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
		v = newest_dependency_version(d->s, c);
		if (v <= d->e->base_version)
			continue;
		n++;
		g_snprintf(value, sizeof(value),
		    "changed at version %" G_GUINT64_FORMAT, v);
		g_snprintf(allowed, sizeof(allowed),
		    "an edit made from version %" G_GUINT64_FORMAT " or later",
		    v);
		ogl_faults_add(d->faults, c->path_text, value, allowed);
	}
	return n;
}

/* ---- checking the resulting tree -------------------------------------- */

static bool
has_subteam(const struct ogl_draft *d, const char *path)
{
	char *prefix = g_strconcat(path, "/", NULL);
	GTreeNode *at = ogl_settings_first(d->s, prefix);
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
		const struct ogl_key_entry *k = p;
		char path[OGL_PATH_BYTES];

		g_snprintf(path, sizeof(path), "keys/%s", k->id);
		if (strcmp(k->team, team) == 0 && draft_get(d, path) != NULL)
			n++;
	}
	return n;
}

/* The name of a field was probably misspelt, so the fault lists the fields. */
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
	char parent[OGL_TEAM_PATH_BYTES];
	bool exists = ogl_settings_get(d->s, c->path_text) != NULL;

	if (is_removal(c)) {
		if (!exists)
			change_fault(d, c, "a team that exists");
		else if (has_subteam(d, c->path_text))
			change_fault(d, c, "a team without subteams");
		else if (count_keys(d, c->path.team) > 0)
			change_fault(d, c, "a team without keys");
		return;
	}
	if (!json_is_object(c->value) || json_object_size(c->value) > 0)
		team_value_fault(d, c);
	else if (exists)
		change_fault(d, c, "a team that does not exist yet");
	else if (g_hash_table_size(d->s->teams) >= TEAMS_MAX)
		change_fault(
		    d, c, "at most " G_STRINGIFY(TEAMS_MAX) " teams in all");
	else if (ogl_path_parent(c->path.team, parent) &&
		 !team_exists(d, parent))
		change_fault(d, c, "a team below one that exists");
}

static void
check_field(struct ogl_draft *d, const struct change *c)
{
	if (is_removal(c) && ogl_settings_get(d->s, c->path_text) == NULL)
		change_fault(d, c, "something that is set");
	else if (!is_removal(c) && c->path.team[0] != '\0' &&
		 !team_exists(d, c->path.team))
		change_fault(d, c, "a team that exists");
}

static void
check_key(struct ogl_draft *d, const struct change *c)
{
	if (!is_removal(c))
		change_fault(d, c, "its hash and team, set by themselves");
	else if (ogl_settings_get(d->s, c->path_text) == NULL)
		change_fault(d, c, "a key that exists");
}

/* Whether another key, in the tree or in this edit, has the hash. */
static bool
hash_taken(const struct ogl_draft *d, const struct change *c)
{
	for (size_t i = 0; i < d->n; i++) {
		const struct change *other = &d->changes[i];

		if (other != c && other->valid &&
		    other->path.field == c->path.field &&
		    json_equal(other->value, c->value))
			return true;
	}
	return ogl_settings_hash_known(d->s, json_string_value(c->value));
}

/*
 * A key is created with both fields and never changed, only withdrawn.  If its
 * team or hash could change, work submitted with the key before the change
 * would run for another team.
 */
static void
check_key_field(struct ogl_draft *d, const struct change *c)
{
	char path[OGL_PATH_BYTES];
	const char *team;

	g_snprintf(path, sizeof(path), "keys/%s", c->path.id);
	if (is_removal(c) || ogl_settings_get(d->s, path) != NULL) {
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
		if (team[0] != '\0' && !team_exists(d, team))
			change_fault(d, c, "a team that exists, or \"\"");
	} else if (hash_taken(d, c)) {
		change_fault(d, c, "a hash that no other key has");
	}
}

/* Limit of a team after the edit: its own, else its nearest ancestor's, else
 * that for all teams. */
static json_t *
effective_limit(const struct ogl_draft *d, const char *team)
{
	const char *field = ogl_team_settings[OGL_TEAM_LIMIT_TASKS].name;
	char path[OGL_PATH_BYTES];
	char parent[OGL_TEAM_PATH_BYTES];
	json_t *v;

	g_snprintf(path, sizeof(path), "teams/%s/%s", team, field);
	v = draft_get(d, path);
	if (v != NULL)
		return v;
	if (ogl_path_parent(team, parent))
		return effective_limit(d, parent);
	g_snprintf(path, sizeof(path), "teams/%s", field);
	return draft_get(d, path);
}

/* Refuses a limit above the parent team's.  It would have no effect, while its
 * author would believe that the team may run that many tasks. */
static void
check_limit(struct ogl_draft *d, const char *text)
{
	json_t *own = draft_get(d, text);
	char parent[OGL_TEAM_PATH_BYTES];
	char allowed[OGL_TEAM_PATH_BYTES + 64];
	struct ogl_path p;
	json_t *parent_limit;
	char *brief;

	if (own == NULL || !ogl_path_parse(text, &p) ||
	    p.field != &ogl_team_settings[OGL_TEAM_LIMIT_TASKS] ||
	    !ogl_path_parent(p.team, parent))
		return;
	parent_limit = effective_limit(d, parent);
	if (!json_is_integer(parent_limit) ||
	    (json_is_integer(own) &&
		json_integer_value(own) <= json_integer_value(parent_limit)))
		return;
	g_snprintf(allowed, sizeof(allowed),
	    "at most %" JSON_INTEGER_FORMAT ", the limit of teams/%s",
	    json_integer_value(parent_limit), parent);
	brief = ogl_json_brief(own);
	ogl_faults_add(d->faults, text, brief, allowed);
	g_free(brief);
}

static void
check_limits(struct ogl_draft *d)
{
	const char *prefix = "teams/";
	GTreeNode *at = ogl_settings_first(d->s, prefix);

	for (; at != NULL; at = ogl_settings_next(at, prefix))
		check_limit(d, g_tree_node_key(at));
	at = g_tree_node_first(d->overlay);
	for (; at != NULL; at = g_tree_node_next(at))
		if (g_tree_lookup(d->s->nodes, g_tree_node_key(at)) == NULL)
			check_limit(d, g_tree_node_key(at));
}

typedef void (*check_fn)(struct ogl_draft *d, const struct change *c);

static const check_fn checks[] = {
    [OGL_PATH_CELL_FIELD] = check_field,
    [OGL_PATH_TEAM] = check_team,
    [OGL_PATH_TEAM_FIELD] = check_field,
    [OGL_PATH_KEY] = check_key,
    [OGL_PATH_KEY_FIELD] = check_key_field,
};

static void
check_changes(struct ogl_draft *d)
{
	bool limit_changed = false;

	for (size_t i = 0; i < d->n; i++) {
		const struct change *c = &d->changes[i];

		if (!c->valid)
			continue;
		checks[c->path.kind](d, c);
		if (c->path.field == &ogl_team_settings[OGL_TEAM_LIMIT_TASKS])
			limit_changed = true;
	}
	if (limit_changed)
		check_limits(d);
}

/* ---- the edit as a whole ---------------------------------------------- */

static void
check_edit(struct ogl_draft *d)
{
	char value[32];
	char allowed[64];

	if (d->e->n_changes == 0 || d->e->n_changes > CHANGES_MAX) {
		g_snprintf(
		    value, sizeof(value), "%zu changes", d->e->n_changes);
		ogl_faults_add(d->faults, "changes", value,
		    "from 1 to " G_STRINGIFY(CHANGES_MAX) " changes");
	}
	if (strlen(d->e->who) > WHO_MAX_BYTES ||
	    !g_utf8_validate(d->e->who, -1, NULL))
		ogl_faults_add(d->faults, "who", "too long, or no text",
		    "at most " G_STRINGIFY(WHO_MAX_BYTES) " bytes of UTF-8");
	if (d->e->base_version > d->s->version) {
		g_snprintf(value, sizeof(value), "%" G_GUINT64_FORMAT,
		    d->e->base_version);
		g_snprintf(allowed, sizeof(allowed),
		    "at most %" G_GUINT64_FORMAT ", the version in force",
		    d->s->version);
		ogl_faults_add(d->faults, "base_version", value, allowed);
	}
}

/* The error names the fault at index `first` and the number of faults from it
 * on. */
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
	size_t faults_before = ogl_faults_count(faults);
	size_t conflicts;

	d->s = s;
	d->e = e;
	d->faults = faults;
	d->overlay = g_tree_new_full(compare_paths, NULL, g_free, value_free);
	check_edit(d);
	if (e->n_changes > CHANGES_MAX)
		goto refused; /* its changes are not checked */
	d->n = e->n_changes;
	d->changes = g_new0(struct change, d->n);
	read_changes(d);
	conflicts = find_conflicts(d);
	if (conflicts > 0) {
		set_error(d, OGL_ERROR_CONFLICT,
		    ogl_faults_count(faults) - conflicts, error);
		goto failed;
	}
	overlay_changes(d);
	check_changes(d);
	if (ogl_faults_count(faults) == faults_before)
		return d;
refused:
	set_error(d, OGL_ERROR_INPUT, faults_before, error);
failed:
	ogl_draft_end(d);
	return NULL;
}

GTree *
ogl_draft_changes(struct ogl_draft *d)
{
	return d->overlay;
}

void
ogl_draft_end(struct ogl_draft *d)
{
	for (size_t i = 0; i < d->n; i++)
		json_decref(d->changes[i].value);
	g_free(d->changes);
	g_tree_destroy(d->overlay);
	g_free(d);
}
