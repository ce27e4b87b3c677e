/*
 * Inside of the settings tree, shared by settings.c and settings_*.c.
 *
 * A path is one of
 *
 *     cell/<field>
 *     teams/<field>                    holds for all teams that override not
 *     teams/<team>[/<subteam>...]      the team itself; its value is {}
 *     teams/<team>.../<field>
 *     keys/<id>                        the key itself
 *     keys/<id>/<field>
 *
 * Fields hold an underscore or are reserved (schema/settings.schema.json), a
 * team's name does neither, so a path has one reading.
 */

#ifndef OGL_SETTINGS_H
#define OGL_SETTINGS_H

#include <jansson.h>

#include "orioleglade.h"
#include "settings_table.h"

#define OGL_PATH_MAX 256 /* bytes of a path, its end included */
#define OGL_TEAM_MAX 128 /* bytes of a team's path, its end included */
#define OGL_TEAM_NAME_MAX 32
#define OGL_TEAM_DEPTH 4
#define OGL_KEY_ID_MAX 32 /* bytes, the end included */
#define OGL_HASH_BYTES 32

enum ogl_path_kind {
	OGL_PATH_ROOT,  /* the empty path: the whole tree */
	OGL_PATH_CELL,  /* "cell" */
	OGL_PATH_TEAMS, /* "teams" */
	OGL_PATH_KEYS,  /* "keys" */
	OGL_PATH_CELL_FIELD,
	OGL_PATH_TEAM,
	OGL_PATH_TEAM_FIELD, /* team is empty for teams/<field> */
	OGL_PATH_KEY,
	OGL_PATH_KEY_FIELD
};

/* A path taken apart. */
struct ogl_path {
	enum ogl_path_kind kind;
	const struct ogl_setting *field;
	char team[OGL_TEAM_MAX];
	char id[OGL_KEY_ID_MAX];
};

bool ogl_path_parse(const char *text, struct ogl_path *p);
/* False when the text names nothing the tree could hold. */

bool ogl_path_team_valid(const char *team);
/* Whether the text could be a team's path. */

bool ogl_path_parent(const char *team, char parent[OGL_TEAM_MAX]);
/* The path of the team above; false for a team of the first level. */

bool ogl_setting_allows(
    const struct ogl_setting *f, const json_t *v, char *allowed, size_t n);
/* Whether a field may have the value; else what it may have. */

/* Anything set in the tree, or once set there. */
struct ogl_node_set {
	json_t *value;    /* JSON null once it is removed */
	uint64_t version; /* when it was last changed */
};

struct ogl_team_node {
	struct ogl_team_view view; /* resolved */
};

struct ogl_key_node {
	unsigned char hash[OGL_HASH_BYTES]; /* first: the table's key */
	char id[OGL_KEY_ID_MAX];
	char team[OGL_TEAM_MAX];
};

/* One change, as the audit trail keeps it. */
struct ogl_audit {
	uint64_t version;
	uint64_t at_ms;
	char *who;
	char *path;
	json_t *from; /* JSON null when it was not set */
	json_t *to;
};

struct ogl_settings {
	uint64_t version;
	uint64_t forgotten;       /* newest removal no longer remembered */
	size_t removed;           /* nodes whose value is JSON null */
	GTree *nodes;             /* path -> struct ogl_node_set, sorted */
	GHashTable *teams;        /* path -> struct ogl_team_node */
	GHashTable *keys;         /* hash -> struct ogl_key_node */
	GQueue audit;             /* struct ogl_audit, oldest first */
	struct ogl_team_view all; /* what holds for all teams */
};

json_t *ogl_settings_get(const struct ogl_settings *s, const char *path);
/* The value set at the path itself, NULL when none is; borrowed. */

bool ogl_settings_hash_known(const struct ogl_settings *s, const char *hex);
/* Whether a key in force has this hash. */

GTreeNode *ogl_settings_below(const struct ogl_settings *s, const char *prefix);
GTreeNode *ogl_settings_next(GTreeNode *at, const char *prefix);
/* Walk over nodes whose path begins with prefix, removed ones too. */

void ogl_settings_put(
    struct ogl_settings *s, const char *path, json_t *value, uint64_t version);
/* Sets a node; the tables beside the tree are not touched. */

void ogl_settings_put_in(struct ogl_settings *s, const char *path);
/* Enters the team or key at the path, if it is one, in its table. */

void ogl_settings_resolve(struct ogl_settings *s, const char *team);
/* Resolves anew what holds for a team and all below it; "" for all. */

json_t *ogl_settings_preset(const struct ogl_setting *f);
/* A field's default; json_decref it. */

json_t *ogl_settings_resolved(
    const struct ogl_settings *s, const struct ogl_path *p, const char **from);
/* What a field resolves to, and the path that says so ("default" for none):
 * borrowed value and path, the latter valid until the next edit; NULL for a
 * key's field that is not set. */

/* An edit worked out against a tree, not yet in it. */
struct ogl_draft;

struct ogl_draft *ogl_draft_init(const struct ogl_settings *s,
    const Ogl__Edit *e, struct ogl_faults *faults, GError **error);
/* NULL with an error, and the faults added, when the edit is refused. */

GTree *ogl_draft_changes(struct ogl_draft *d);
/* Path -> json_t, JSON null for a removal; what the edit changes in all. */

void ogl_draft_end(struct ogl_draft *d);

#endif
