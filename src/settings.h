/*
 * Private declarations of the settings tree, shared by settings.c,
 * settings_*.c and keys.c.
 *
 * A path is one of
 *
 *     cell/<field>
 *     teams/<field>                    default for teams that don't set it
 *     teams/<team>[/<subteam>...]      the team itself; its value is {}
 *     teams/<team>.../<field>
 *     keys/<id>                        the key itself
 *     keys/<id>/<field>
 *
 * Paths are unambiguous: the name of a team field contains an underscore or is
 * reserved (schema/settings.schema.json), and a team may not have such a name.
 */

#ifndef OGL_SETTINGS_H
#define OGL_SETTINGS_H

#include <jansson.h>

#include "orioleglade.h"
#include "settings_table.h"

#define OGL_PATH_BYTES 256         /* size of a path with its NUL */
#define OGL_TEAM_PATH_BYTES 128    /* size of a team's path with its NUL */
#define OGL_TEAM_NAME_MAX_BYTES 32 /* without the NUL */
#define OGL_TEAM_MAX_DEPTH 4
#define OGL_KEY_ID_BYTES 32 /* with the terminating NUL */
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

/* A parsed path. */
struct ogl_path {
	enum ogl_path_kind kind;
	const struct ogl_setting *field;
	char team[OGL_TEAM_PATH_BYTES];
	char id[OGL_KEY_ID_BYTES];
};

bool ogl_path_parse(const char *text, struct ogl_path *p);
/* Returns false when the text is not a valid path. */

bool ogl_path_team_valid(const char *team);
/* Whether the text is a valid path of a team, which need not exist. */

bool ogl_path_parent(const char *team, char parent[OGL_TEAM_PATH_BYTES]);
/* Stores the path of the parent team; false for a team of the first level. */

bool ogl_setting_allows(
    const struct ogl_setting *f, const json_t *v, char *allowed, size_t n);
/* Whether the field may have the value.  If not, a description of the allowed
 * values is written to allowed, which has n bytes. */

/* The value at a path, or the record that it was removed. */
struct ogl_settings_node {
	json_t *value;    /* JSON null after removal */
	uint64_t version; /* of the tree when it was last changed */
};

struct ogl_team_entry {
	struct ogl_team_view view; /* settings with inheritance applied */
};

struct ogl_key_entry {
	unsigned char hash[OGL_HASH_BYTES]; /* must be first: the table's key */
	char id[OGL_KEY_ID_BYTES];
	char team[OGL_TEAM_PATH_BYTES];
};

/* One change in the audit trail. */
struct ogl_audit_entry {
	uint64_t version;
	uint64_t at_ms;
	char *who;
	char *path;
	json_t *from; /* JSON null: was not set */
	json_t *to;   /* JSON null: removed */
};

struct ogl_settings {
	uint64_t version;
	uint64_t forgotten_version; /* removals up to it are not kept */
	size_t removed_count;       /* nodes with value JSON null */
	GTree *nodes;      /* path -> struct ogl_settings_node, sorted */
	GHashTable *teams; /* path -> struct ogl_team_entry */
	GHashTable *keys;  /* hash -> struct ogl_key_entry */
	GQueue audit;      /* struct ogl_audit_entry, oldest first */
	struct ogl_team_view team_defaults; /* for teams that set nothing */
};

json_t *ogl_settings_get(const struct ogl_settings *s, const char *path);
/* The value set at the path itself, not inherited; NULL when there is none.
 * Borrowed. */

bool ogl_settings_hash_known(const struct ogl_settings *s, const char *hex);
/* Whether a key that was not withdrawn has this hash, given as hex digits. */

GTreeNode *ogl_settings_first(const struct ogl_settings *s, const char *prefix);
GTreeNode *ogl_settings_next(GTreeNode *at, const char *prefix);
/* Iterate over the nodes whose path begins with prefix, in path order, removed
 * ones included.  NULL at the end. */

void ogl_settings_put(
    struct ogl_settings *s, const char *path, json_t *value, uint64_t version);
/* Sets a node.  Does not update the tables of teams and keys. */

void ogl_settings_index(struct ogl_settings *s, const char *path);
/* Adds the team or key at the path to its table; does nothing for a field. */

void ogl_settings_resolve_subtree(struct ogl_settings *s, const char *team);
/* Recomputes the inherited settings of a team and all teams below it; "" for
 * the defaults and all teams. */

json_t *ogl_setting_default(const struct ogl_setting *f);
/* The schema's default of a field, NULL when it has none; json_decref it. */

json_t *ogl_settings_resolve_field(
    const struct ogl_settings *s, const struct ogl_path *p, const char **from);
/* The value of a field with inheritance applied; json_decref it.  NULL for a
 * key's field that is not set.  *from is the path that sets the value, valid
 * until the next edit, or "default" when it is the schema's default. */

/* An edit checked against a tree and not applied to it yet. */
struct ogl_draft;

struct ogl_draft *ogl_draft_init(const struct ogl_settings *s,
    const Ogl__Edit *e, struct ogl_faults *faults, GError **error);
/* NULL with an error, and the faults added, when the edit is refused.  The
 * draft borrows s, e and faults. */

GTree *ogl_draft_changes(struct ogl_draft *d);
/* All changes that the edit makes, implied ones included: path -> json_t, JSON
 * null for a removal.  Owned by the draft. */

void ogl_draft_end(struct ogl_draft *d);

#endif
