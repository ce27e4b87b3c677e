/*
 * Views of the settings tree for operators: the values set, the resolved values
 * and the audit trail.
 */

#include <string.h>

#include "settings.h"

#define SOURCE_DEFAULT "default"

/* ---- one field -------------------------------------------------------- */

/* The path that sets the field for the team: the team's own, else its nearest
 * ancestor's, else that for all teams; NULL when none is set.  Points to the
 * tree's own copy of the path. */
static const char *
team_field_source(
    const struct ogl_settings *s, const char *team, const char *field)
{
	char path[OGL_PATH_BYTES];
	char parent[OGL_TEAM_PATH_BYTES];
	gpointer stored_path = NULL;

	g_snprintf(path, sizeof(path), "teams/%s%s%s", team,
	    team[0] != '\0' ? "/" : "", field);
	if (ogl_settings_get(s, path) != NULL) {
		g_tree_lookup_extended(s->nodes, path, &stored_path, NULL);
		return stored_path;
	}
	if (team[0] == '\0')
		return NULL;
	if (!ogl_path_parent(team, parent))
		parent[0] = '\0';
	return team_field_source(s, parent, field);
}

static const char *
field_source(const struct ogl_settings *s, const struct ogl_path *p)
{
	char path[OGL_PATH_BYTES];
	gpointer stored_path = NULL;

	if (p->kind == OGL_PATH_TEAM_FIELD)
		return team_field_source(s, p->team, p->field->name);
	if (p->kind == OGL_PATH_CELL_FIELD)
		g_snprintf(path, sizeof(path), "cell/%s", p->field->name);
	else
		g_snprintf(
		    path, sizeof(path), "keys/%s/%s", p->id, p->field->name);
	if (ogl_settings_get(s, path) != NULL)
		g_tree_lookup_extended(s->nodes, path, &stored_path, NULL);
	return stored_path;
}

json_t *
ogl_settings_resolve_field(
    const struct ogl_settings *s, const struct ogl_path *p, const char **from)
{
	const char *path = field_source(s, p);

	*from = path != NULL ? path : SOURCE_DEFAULT;
	if (path != NULL)
		return json_incref(ogl_settings_get(s, path));
	return ogl_setting_default(p->field);
}

int64_t
ogl_settings_number(
    const struct ogl_settings *s, const char *path, int64_t fallback)
{
	struct ogl_path p;
	const char *from;
	json_t *v;
	int64_t n = fallback;

	if (!ogl_path_parse(path, &p) || p.field == NULL)
		return fallback;
	v = ogl_settings_resolve_field(s, &p, &from);
	if (json_is_number(v))
		n = (int64_t)json_number_value(v);
	else if (p.field->type == OGL_SETTING_LIMIT)
		n = INT64_MAX; /* the value is "none" */
	json_decref(v);
	return n;
}

/* ---- many fields ------------------------------------------------------ */

static bool
is_hidden(const char *path)
{
	struct ogl_path p;

	return ogl_path_parse(path, &p) &&
	       p.field == &ogl_key_settings[OGL_KEY_HASH];
}

/* All values set at and below a path, without key hashes.  A node whose value
 * is JSON null was removed. */
static json_t *
collect_set(const struct ogl_settings *s, const char *path)
{
	json_t *o = json_object();
	json_t *own = ogl_settings_get(s, path);
	char *prefix =
	    path[0] != '\0' ? g_strconcat(path, "/", NULL) : g_strdup("");
	GTreeNode *at = ogl_settings_first(s, prefix);

	if (own != NULL && !is_hidden(path))
		json_object_set(o, path, own);
	for (; at != NULL; at = ogl_settings_next(at, prefix)) {
		const char *key = g_tree_node_key(at);
		const struct ogl_settings_node *n = g_tree_node_value(at);

		if (!json_is_null(n->value) && !is_hidden(key))
			json_object_set(o, key, n->value);
	}
	g_free(prefix);
	return o;
}

static void
add_resolved(const struct ogl_settings *s, struct ogl_path *p,
    const struct ogl_setting *f, json_t *resolved, json_t *sources)
{
	const char *from;
	json_t *v;

	p->field = f;
	v = ogl_settings_resolve_field(s, p, &from);
	if (v == NULL || f->type == OGL_SETTING_HASH) {
		json_decref(v);
		return;
	}
	json_object_set_new(resolved, f->name, v);
	json_object_set_new(sources, f->name, json_string(from));
}

static void
add_table(const struct ogl_settings *s, struct ogl_path *p,
    const struct ogl_setting *table, size_t n, json_t *resolved,
    json_t *sources)
{
	for (size_t i = 0; i < n; i++)
		add_resolved(s, p, &table[i], resolved, sources);
}

/* Adds the resolved fields at a path.  The whole tree and the list of all keys
 * have none. */
static void
add_path(const struct ogl_settings *s, const struct ogl_path *path,
    json_t *resolved, json_t *sources)
{
	struct ogl_path p = *path;

	switch (path->kind) {
	case OGL_PATH_CELL:
		p.kind = OGL_PATH_CELL_FIELD;
		add_table(s, &p, ogl_cell_settings, OGL_CELL_SETTINGS, resolved,
		    sources);
		break;
	case OGL_PATH_TEAMS:
	case OGL_PATH_TEAM:
		p.kind = OGL_PATH_TEAM_FIELD;
		add_table(s, &p, ogl_team_settings, OGL_TEAM_SETTINGS, resolved,
		    sources);
		break;
	case OGL_PATH_KEY:
		p.kind = OGL_PATH_KEY_FIELD;
		add_table(s, &p, ogl_key_settings, OGL_KEY_SETTINGS, resolved,
		    sources);
		break;
	case OGL_PATH_CELL_FIELD:
	case OGL_PATH_TEAM_FIELD:
	case OGL_PATH_KEY_FIELD:
		add_resolved(s, &p, path->field, resolved, sources);
		break;
	default:
		break;
	}
}

/* Whether the path's team or key exists; all other valid paths exist. */
static bool
path_exists(const struct ogl_settings *s, const struct ogl_path *p)
{
	char path[OGL_PATH_BYTES];

	if (p->team[0] != '\0')
		return g_hash_table_contains(s->teams, p->team);
	if (p->id[0] == '\0')
		return true;
	g_snprintf(path, sizeof(path), "keys/%s", p->id);
	return ogl_settings_get(s, path) != NULL;
}

char *
ogl_settings_show(const struct ogl_settings *s, const char *path)
{
	struct ogl_path p;
	json_t *resolved;
	json_t *sources;
	json_t *o;
	char *text;

	if (!ogl_path_parse(path, &p) || !path_exists(s, &p))
		return NULL;
	resolved = json_object();
	sources = json_object();
	add_path(s, &p, resolved, sources);
	o = json_pack("{s:I,s:s,s:o,s:o,s:o}", "version",
	    (json_int_t)s->version, "path", path, "set", collect_set(s, path),
	    "resolved", resolved, "from", sources);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

/* ---- audit ------------------------------------------------------------ */

static json_t *
audit_list(const struct ogl_settings *s, uint64_t from)
{
	json_t *list = json_array();

	for (const GList *at = s->audit.head; at != NULL; at = at->next) {
		const struct ogl_audit_entry *a = at->data;

		if (a->version < from)
			continue;
		json_array_append_new(
		    list, json_pack("{s:I,s:I,s:s,s:s,s:O,s:O}", "version",
			      (json_int_t)a->version, "at_ms",
			      (json_int_t)a->at_ms, "who", a->who, "path",
			      a->path, "from", a->from, "to", a->to));
	}
	return list;
}

char *
ogl_settings_audit(const struct ogl_settings *s, uint64_t from)
{
	json_t *list = audit_list(s, from);
	char *text = json_dumps(list, JSON_COMPACT);

	json_decref(list);
	return text;
}
