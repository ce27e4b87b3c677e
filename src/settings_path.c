/*
 * Paths of the settings tree, and the values that each field allows.
 */

#include <string.h>

#include "settings.h"

#define NAME_CHARS "abcdefghijklmnopqrstuvwxyz0123456789-"
#define ID_CHARS "abcdefghijklmnopqrstuvwxyz0123456789"
#define HEX_CHARS "0123456789abcdef"

static const struct ogl_setting *
find_field(const struct ogl_setting *table, size_t n, const char *name)
{
	for (size_t i = 0; i < n; i++)
		if (strcmp(table[i].name, name) == 0)
			return &table[i];
	return NULL;
}

static const struct ogl_setting *
team_field(const char *name)
{
	return find_field(ogl_team_settings, OGL_TEAM_SETTINGS, name);
}

static bool
name_valid(const char *p, size_t n)
{
	char name[OGL_TEAM_NAME_MAX_BYTES + 1];

	if (n == 0 || n > OGL_TEAM_NAME_MAX_BYTES)
		return false;
	memcpy(name, p, n);
	name[n] = '\0';
	return strspn(name, NAME_CHARS) == n && team_field(name) == NULL;
}

bool
ogl_path_team_valid(const char *team)
{
	size_t depth = 0;

	if (strlen(team) >= OGL_TEAM_PATH_BYTES)
		return false;
	for (;;) {
		size_t n = strcspn(team, "/");

		if (!name_valid(team, n) || ++depth > OGL_TEAM_MAX_DEPTH)
			return false;
		if (team[n] == '\0')
			return true;
		team += n + 1;
	}
}

bool
ogl_path_parent(const char *team, char parent[OGL_TEAM_PATH_BYTES])
{
	const char *slash = strrchr(team, '/');

	if (slash == NULL)
		return false;
	g_strlcpy(parent, team, (gsize)(slash - team) + 1);
	return true;
}

static bool
parse_cell(const char *rest, struct ogl_path *p)
{
	p->kind = OGL_PATH_CELL_FIELD;
	p->field = find_field(ogl_cell_settings, OGL_CELL_SETTINGS, rest);
	return p->field != NULL;
}

/* Parses what follows "teams/": a field, a team, or a team and its field. */
static bool
parse_teams(const char *rest, struct ogl_path *p)
{
	const char *slash = strrchr(rest, '/');
	const char *last_part = slash != NULL ? slash + 1 : rest;
	size_t n = slash != NULL ? (size_t)(slash - rest) : 0;

	p->field = team_field(last_part);
	p->kind = p->field != NULL ? OGL_PATH_TEAM_FIELD : OGL_PATH_TEAM;
	if (p->field == NULL)
		n = strlen(rest);
	if (n >= sizeof(p->team))
		return false;
	memcpy(p->team, rest, n);
	p->team[n] = '\0';
	if (p->field != NULL && slash == NULL)
		return true;
	return ogl_path_team_valid(p->team);
}

static bool
parse_keys(const char *rest, struct ogl_path *p)
{
	size_t n = strspn(rest, ID_CHARS);

	if (n == 0 || n >= sizeof(p->id))
		return false;
	memcpy(p->id, rest, n);
	p->id[n] = '\0';
	p->kind = OGL_PATH_KEY;
	if (rest[n] == '\0')
		return true;
	p->kind = OGL_PATH_KEY_FIELD;
	p->field = find_field(ogl_key_settings, OGL_KEY_SETTINGS, rest + n + 1);
	return rest[n] == '/' && p->field != NULL;
}

bool
ogl_path_parse(const char *text, struct ogl_path *p)
{
	memset(p, 0, sizeof(*p));
	if (strlen(text) >= OGL_PATH_BYTES)
		return false;
	if (g_str_has_prefix(text, "cell/"))
		return parse_cell(text + strlen("cell/"), p);
	if (g_str_has_prefix(text, "teams/"))
		return parse_teams(text + strlen("teams/"), p);
	if (g_str_has_prefix(text, "keys/"))
		return parse_keys(text + strlen("keys/"), p);
	if (strcmp(text, "cell") == 0)
		p->kind = OGL_PATH_CELL;
	else if (strcmp(text, "teams") == 0)
		p->kind = OGL_PATH_TEAMS;
	else if (strcmp(text, "keys") == 0)
		p->kind = OGL_PATH_KEYS;
	else
		return text[0] == '\0';
	return true;
}

/* ---- values ----------------------------------------------------------- */

static bool
in_range(const struct ogl_setting *f, const json_t *v)
{
	double n = json_number_value(v);

	return n >= f->min && n <= f->max;
}

static bool
is_none(const json_t *v)
{
	return json_is_string(v) && strcmp(json_string_value(v), "none") == 0;
}

static bool
is_hash(const json_t *v)
{
	const char *s = json_string_value(v);

	return s != NULL && strlen(s) == (size_t)2 * OGL_HASH_BYTES &&
	       strspn(s, HEX_CHARS) == (size_t)2 * OGL_HASH_BYTES;
}

static bool
is_team(const json_t *v)
{
	const char *s = json_string_value(v);

	return s != NULL && (s[0] == '\0' || ogl_path_team_valid(s));
}

static bool
value_allowed(const struct ogl_setting *f, const json_t *v)
{
	switch (f->type) {
	case OGL_SETTING_INTEGER:
		return json_is_integer(v) && in_range(f, v);
	case OGL_SETTING_NUMBER:
		return json_is_number(v) && in_range(f, v);
	case OGL_SETTING_LIMIT:
		return is_none(v) || (json_is_integer(v) && in_range(f, v));
	case OGL_SETTING_HASH:
		return is_hash(v);
	case OGL_SETTING_TEAM:
		return is_team(v);
	default:
		return false;
	}
}

bool
ogl_setting_allows(
    const struct ogl_setting *f, const json_t *v, char *allowed, size_t n)
{
	if (value_allowed(f, v))
		return true;
	switch (f->type) {
	case OGL_SETTING_INTEGER:
		g_snprintf(allowed, (gulong)n, "integer from %.0f to %.0f",
		    f->min, f->max);
		break;
	case OGL_SETTING_NUMBER:
		g_snprintf(allowed, (gulong)n, "number from %g to %.0f", f->min,
		    f->max);
		break;
	case OGL_SETTING_LIMIT:
		g_snprintf(allowed, (gulong)n,
		    "integer from %.0f to %.0f, or \"none\"", f->min, f->max);
		break;
	case OGL_SETTING_HASH:
		g_strlcpy(allowed, "string of 64 lower case hex digits", n);
		break;
	default:
		g_strlcpy(allowed, "path of a team, or \"\"", n);
		break;
	}
	return false;
}
