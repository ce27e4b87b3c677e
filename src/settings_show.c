/*
 * What the settings tree tells operators: values set, what they resolve to,
 * and the audit trail.
 */

#include <string.h>

#include "settings.h"

#define FROM_DEFAULT "default"

/* ---- one field -------------------------------------------------------- */

/* The path, as the tree keeps it, of the nearest level that sets a team's
 * field; NULL when none does. */
static const char *
team_field_from(
    const struct ogl_settings *s, const char *team, const char *field)
{
	char path[OGL_PATH_MAX];
	char above[OGL_TEAM_MAX];
	gpointer key = NULL;

	g_snprintf(path, sizeof(path), "teams/%s%s%s", team,
	    team[0] != '\0' ? "/" : "", field);
	if (ogl_settings_get(s, path) != NULL) {
		g_tree_lookup_extended(s->nodes, path, &key, NULL);
		return key;
	}
	if (team[0] == '\0')
		return NULL;
	if (!ogl_path_parent(team, above))
		above[0] = '\0';
	return team_field_from(s, above, field);
}

static const char *
field_from(const struct ogl_settings *s, const struct ogl_path *p)
{
	char path[OGL_PATH_MAX];
	gpointer key = NULL;

	if (p->kind == OGL_PATH_TEAM_FIELD)
		return team_field_from(s, p->team, p->field->name);
	if (p->kind == OGL_PATH_CELL_FIELD)
		g_snprintf(path, sizeof(path), "cell/%s", p->field->name);
	else
		g_snprintf(
		    path, sizeof(path), "keys/%s/%s", p->id, p->field->name);
	if (ogl_settings_get(s, path) != NULL)
		g_tree_lookup_extended(s->nodes, path, &key, NULL);
	return key;
}

json_t *
ogl_settings_resolved(
    const struct ogl_settings *s, const struct ogl_path *p, const char **from)
{
	const char *path = field_from(s, p);

	*from = path != NULL ? path : FROM_DEFAULT;
	if (path != NULL)
		return json_incref(ogl_settings_get(s, path));
	return ogl_settings_preset(p->field);
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
	v = ogl_settings_resolved(s, &p, &from);
	if (json_is_number(v))
		n = (int64_t)json_number_value(v);
	else if (p.field->type == OGL_SETTING_LIMIT)
		n = INT64_MAX;
	json_decref(v);
	return n;
}

/* ---- many ------------------------------------------------------------- */

static bool
hidden(const char *path)
{
	struct ogl_path p;

	return ogl_path_parse(path, &p) &&
	       p.field == &ogl_key_settings[OGL_KEY_HASH];
}

/* All that is set at and below a path. */
static json_t *
set_below(const struct ogl_settings *s, const char *path)
{
	json_t *o = json_object();
	json_t *own = ogl_settings_get(s, path);
	char *prefix =
	    path[0] != '\0' ? g_strconcat(path, "/", NULL) : g_strdup("");
	GTreeNode *at = ogl_settings_below(s, prefix);

	if (own != NULL && !hidden(path))
		json_object_set(o, path, own);
	for (; at != NULL; at = ogl_settings_next(at, prefix)) {
		const char *key = g_tree_node_key(at);
		const struct ogl_node_set *n = g_tree_node_value(at);

		if (!json_is_null(n->value) && !hidden(key))
			json_object_set(o, key, n->value);
	}
	g_free(prefix);
	return o;
}

static void
add_resolved(const struct ogl_settings *s, struct ogl_path *p,
    const struct ogl_setting *f, json_t *resolved, json_t *froms)
{
	const char *from;
	json_t *v;

	p->field = f;
	v = ogl_settings_resolved(s, p, &from);
	if (v == NULL || f->type == OGL_SETTING_HASH) {
		json_decref(v);
		return;
	}
	json_object_set_new(resolved, f->name, v);
	json_object_set_new(froms, f->name, json_string(from));
}

static void
add_table(const struct ogl_settings *s, struct ogl_path *p,
    const struct ogl_setting *table, size_t n, json_t *resolved, json_t *froms)
{
	for (size_t i = 0; i < n; i++)
		add_resolved(s, p, &table[i], resolved, froms);
}

/* What a path resolves to; nothing for those that stand for many. */
static void
resolve_path(const struct ogl_settings *s, const struct ogl_path *path,
    json_t *resolved, json_t *froms)
{
	struct ogl_path p = *path;

	switch (path->kind) {
	case OGL_PATH_CELL:
		p.kind = OGL_PATH_CELL_FIELD;
		add_table(s, &p, ogl_cell_settings, OGL_CELL_SETTINGS, resolved,
		    froms);
		break;
	case OGL_PATH_TEAMS:
	case OGL_PATH_TEAM:
		p.kind = OGL_PATH_TEAM_FIELD;
		add_table(s, &p, ogl_team_settings, OGL_TEAM_SETTINGS, resolved,
		    froms);
		break;
	case OGL_PATH_KEY:
		p.kind = OGL_PATH_KEY_FIELD;
		add_table(
		    s, &p, ogl_key_settings, OGL_KEY_SETTINGS, resolved, froms);
		break;
	case OGL_PATH_CELL_FIELD:
	case OGL_PATH_TEAM_FIELD:
	case OGL_PATH_KEY_FIELD:
		add_resolved(s, &p, path->field, resolved, froms);
		break;
	default:
		break;
	}
}

static bool
stands(const struct ogl_settings *s, const struct ogl_path *p)
{
	char path[OGL_PATH_MAX];

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
	json_t *froms;
	json_t *o;
	char *text;

	if (!ogl_path_parse(path, &p) || !stands(s, &p))
		return NULL;
	resolved = json_object();
	froms = json_object();
	resolve_path(s, &p, resolved, froms);
	o = json_pack("{s:I,s:s,s:o,s:o,s:o}", "version",
	    (json_int_t)s->version, "path", path, "set", set_below(s, path),
	    "resolved", resolved, "from", froms);
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
		const struct ogl_audit *a = at->data;

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
