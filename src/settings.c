/*
 * The settings tree in force at one version.
 *
 * The tree is one sorted map from path to value and the version that last
 * changed it.  A removed path stays in the map with the value JSON null, so
 * that an edit made from a version before the removal can be refused.  Two
 * tables hold what each request looks up: teams with their settings resolved,
 * and keys by their hash.
 *
 * Inheritance: a team starts from the settings of its parent team and
 * overrides them with its own.  A team of the first level starts from the
 * values set for all teams, else from the schema's defaults.  A team's own
 * limit is at most its parent's (settings_edit.c checks this), so the nearest
 * limit set is the lowest along the path.  A limit set for all teams is only a
 * default: a team of the first level may exceed it.  The tasks of subteams
 * count towards the parent's limit, too.
 *
 * The state, including which removed paths and audit entries are dropped,
 * depends only on the edits and their order.  Two followers of one log thus
 * hold the same tree, also when one of them started from the other's dump.
 */

#include <sodium.h>
#include <string.h>

#include "settings.h"

/* Number of removed paths kept.  With 25,000 changes a day, one in ten of them
 * a removal, this covers more than a day. */
#define REMOVED_PATHS_MAX 4096

#define NO_LIMIT UINT64_MAX

/* ---- nodes ------------------------------------------------------------ */

static gint
compare_paths(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return strcmp(a, b);
}

static void
node_free(gpointer p)
{
	struct ogl_settings_node *n = p;

	json_decref(n->value);
	g_free(n);
}

static void
audit_free(gpointer p)
{
	struct ogl_audit_entry *a = p;

	g_free(a->who);
	g_free(a->path);
	json_decref(a->from);
	json_decref(a->to);
	g_free(a);
}

/* Compares in constant time, so that the time of a table lookup does not reveal
 * how many bytes of a hash matched. */
static gboolean
hash_equal(gconstpointer a, gconstpointer b)
{
	return sodium_memcmp(a, b, OGL_HASH_BYTES) == 0;
}

/* A hash is uniformly distributed, so its first bytes suffice for the table. */
static guint
hash_first_bytes(gconstpointer p)
{
	guint h;

	memcpy(&h, p, sizeof(h));
	return h;
}

json_t *
ogl_settings_get(const struct ogl_settings *s, const char *path)
{
	const struct ogl_settings_node *n = g_tree_lookup(s->nodes, path);

	return n == NULL || json_is_null(n->value) ? NULL : n->value;
}

static GTreeNode *
if_has_prefix(GTreeNode *at, const char *prefix)
{
	if (at == NULL || !g_str_has_prefix(g_tree_node_key(at), prefix))
		return NULL;
	return at;
}

GTreeNode *
ogl_settings_first(const struct ogl_settings *s, const char *prefix)
{
	return if_has_prefix(g_tree_lower_bound(s->nodes, prefix), prefix);
}

GTreeNode *
ogl_settings_next(GTreeNode *at, const char *prefix)
{
	return if_has_prefix(g_tree_node_next(at), prefix);
}

static bool
hash_from_hex(const char *hex, unsigned char hash[OGL_HASH_BYTES])
{
	size_t n = 0;

	return hex != NULL &&
	       sodium_hex2bin(hash, OGL_HASH_BYTES, hex, strlen(hex), NULL, &n,
		   NULL) == 0 &&
	       n == OGL_HASH_BYTES;
}

bool
ogl_settings_hash_known(const struct ogl_settings *s, const char *hex)
{
	unsigned char hash[OGL_HASH_BYTES];

	return hash_from_hex(hex, hash) && g_hash_table_contains(s->keys, hash);
}

/* ---- resolving -------------------------------------------------------- */

static uint64_t
limit_value(const json_t *v)
{
	return json_is_integer(v) ? (uint64_t)json_integer_value(v) : NO_LIMIT;
}

static void
view_set_field(struct ogl_team_view *view, size_t field, const json_t *v)
{
	switch (field) {
	case OGL_TEAM_SHARE:
		view->share = json_number_value(v);
		break;
	case OGL_TEAM_LIMIT_TASKS:
		view->limit_tasks = limit_value(v);
		break;
	case OGL_TEAM_MAX_QUEUE_MS:
		view->max_queue_ms = (uint32_t)json_integer_value(v);
		break;
	case OGL_TEAM_MAX_BODY:
		view->max_body = (uint32_t)json_integer_value(v);
		break;
	case OGL_TEAM_IDLE_KEEP_JOBS:
		view->idle_keep_jobs = (uint32_t)json_integer_value(v);
		break;
	default:
		break;
	}
}

json_t *
ogl_setting_default(const struct ogl_setting *f)
{
	return f->preset != NULL ? json_loads(f->preset, JSON_DECODE_ANY, NULL)
				 : NULL;
}

/* Overrides a view with the values set at "teams/<team>", or with those for all
 * teams when team is empty. */
static void
view_apply_own(
    const struct ogl_settings *s, const char *team, struct ogl_team_view *view)
{
	char path[OGL_PATH_BYTES];

	for (size_t i = 0; i < OGL_TEAM_SETTINGS; i++) {
		const json_t *v;

		g_snprintf(path, sizeof(path), "teams/%s%s%s", team,
		    team[0] != '\0' ? "/" : "", ogl_team_settings[i].name);
		v = ogl_settings_get(s, path);
		if (v != NULL)
			view_set_field(view, i, v);
	}
}

static void
resolve_team_defaults(struct ogl_settings *s)
{
	memset(&s->team_defaults, 0, sizeof(s->team_defaults));
	for (size_t i = 0; i < OGL_TEAM_SETTINGS; i++) {
		json_t *v = ogl_setting_default(&ogl_team_settings[i]);

		view_set_field(&s->team_defaults, i, v);
		json_decref(v);
	}
	view_apply_own(s, "", &s->team_defaults);
}

static void
resolve_team(struct ogl_settings *s, const char *team)
{
	struct ogl_team_entry *t = g_hash_table_lookup(s->teams, team);
	const struct ogl_team_entry *parent_entry = NULL;
	char parent[OGL_TEAM_PATH_BYTES];

	if (t == NULL)
		return;
	if (ogl_path_parent(team, parent))
		parent_entry = g_hash_table_lookup(s->teams, parent);
	t->view = parent_entry != NULL ? parent_entry->view : s->team_defaults;
	t->view.exists = true;
	view_apply_own(s, team, &t->view);
}

void
ogl_settings_resolve_subtree(struct ogl_settings *s, const char *team)
{
	char *prefix;
	GTreeNode *at;

	if (team[0] == '\0')
		resolve_team_defaults(s);
	else
		resolve_team(s, team);
	/* In path order a parent is resolved before its subteams. */
	prefix =
	    g_strdup_printf("teams/%s%s", team, team[0] != '\0' ? "/" : "");
	at = ogl_settings_first(s, prefix);
	for (; at != NULL; at = ogl_settings_next(at, prefix)) {
		const struct ogl_settings_node *n = g_tree_node_value(at);

		if (json_is_object(n->value))
			resolve_team(
			    s, (char *)g_tree_node_key(at) + strlen("teams/"));
	}
	g_free(prefix);
}

/* ---- applying --------------------------------------------------------- */

/* Skips a key whose hash or team is missing; a dump may contain such a key. */
static void
index_key(struct ogl_settings *s, const char *id)
{
	struct ogl_key_entry *k = g_new0(struct ogl_key_entry, 1);
	char path[OGL_PATH_BYTES];
	const char *hex;
	const char *team;

	g_snprintf(path, sizeof(path), "keys/%s/hash", id);
	hex = json_string_value(ogl_settings_get(s, path));
	g_snprintf(path, sizeof(path), "keys/%s/team", id);
	team = json_string_value(ogl_settings_get(s, path));
	if (team == NULL || !hash_from_hex(hex, k->hash)) {
		g_free(k);
		return;
	}
	g_strlcpy(k->team, team, sizeof(k->team));
	g_strlcpy(k->id, id, sizeof(k->id));
	g_hash_table_replace(s->keys, k->hash, k);
}

static void
unindex_key(struct ogl_settings *s, const char *id)
{
	unsigned char hash[OGL_HASH_BYTES];
	char path[OGL_PATH_BYTES];

	g_snprintf(path, sizeof(path), "keys/%s/hash", id);
	if (hash_from_hex(json_string_value(ogl_settings_get(s, path)), hash))
		g_hash_table_remove(s->keys, hash);
}

static void
index_team(struct ogl_settings *s, const char *team)
{
	g_hash_table_replace(
	    s->teams, g_strdup(team), g_new0(struct ogl_team_entry, 1));
}

/* Hides the hash of a key: it is of no use to a reader of the audit trail. */
static json_t *
audit_value(const struct ogl_path *p, json_t *v)
{
	if (p->field == &ogl_key_settings[OGL_KEY_HASH] && !json_is_null(v))
		return json_string("hidden");
	return json_incref(v);
}

static void
audit_add(struct ogl_settings *s, const char *path, json_t *from, json_t *to,
    const char *who, uint64_t at_ms)
{
	struct ogl_audit_entry *a = g_new0(struct ogl_audit_entry, 1);
	struct ogl_path p;

	ogl_path_parse(path, &p);
	a->version = s->version;
	a->at_ms = at_ms;
	a->who = g_strdup(who);
	a->path = g_strdup(path);
	a->from = audit_value(&p, from != NULL ? from : json_null());
	a->to = audit_value(&p, to);
	g_queue_push_tail(&s->audit, a);
}

void
ogl_settings_put(
    struct ogl_settings *s, const char *path, json_t *value, uint64_t version)
{
	struct ogl_settings_node *n = g_tree_lookup(s->nodes, path);

	if (n == NULL) {
		n = g_new0(struct ogl_settings_node, 1);
		g_tree_insert(s->nodes, g_strdup(path), n);
	} else {
		s->removed_count -= json_is_null(n->value) ? 1 : 0;
		json_decref(n->value);
	}
	s->removed_count += json_is_null(value) ? 1 : 0;
	n->value = json_incref(value);
	n->version = version;
}

static void
commit_change(struct ogl_settings *s, const char *path, json_t *value,
    const Ogl__Edit *e, uint64_t at_ms)
{
	audit_add(s, path, ogl_settings_get(s, path), value, e->who, at_ms);
	ogl_settings_put(s, path, value, s->version);
}

static void
unindex_path(struct ogl_settings *s, const char *path)
{
	struct ogl_path p;

	ogl_path_parse(path, &p);
	if (p.kind == OGL_PATH_KEY)
		unindex_key(s, p.id);
	else if (p.kind == OGL_PATH_TEAM)
		g_hash_table_remove(s->teams, p.team);
}

void
ogl_settings_index(struct ogl_settings *s, const char *path)
{
	struct ogl_path p;

	ogl_path_parse(path, &p);
	if (p.kind == OGL_PATH_KEY)
		index_key(s, p.id);
	else if (p.kind == OGL_PATH_TEAM)
		index_team(s, p.team);
}

static void
resolve_path(struct ogl_settings *s, const char *path)
{
	struct ogl_path p;

	ogl_path_parse(path, &p);
	if (p.kind == OGL_PATH_TEAM || p.kind == OGL_PATH_TEAM_FIELD)
		ogl_settings_resolve_subtree(s, p.team);
}

static void
commit(
    struct ogl_settings *s, GTree *changes, const Ogl__Edit *e, uint64_t at_ms)
{
	GTreeNode *first = g_tree_node_first(changes);
	GTreeNode *at;

	for (at = first; at != NULL; at = g_tree_node_next(at))
		unindex_path(s, g_tree_node_key(at));
	for (at = first; at != NULL; at = g_tree_node_next(at))
		commit_change(
		    s, g_tree_node_key(at), g_tree_node_value(at), e, at_ms);
	for (at = first; at != NULL; at = g_tree_node_next(at))
		if (ogl_settings_get(s, g_tree_node_key(at)) != NULL)
			ogl_settings_index(s, g_tree_node_key(at));
	for (at = first; at != NULL; at = g_tree_node_next(at))
		resolve_path(s, g_tree_node_key(at));
}

static gint
compare_versions(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/* The version up to which removed paths are dropped; about half of them are
 * kept. */
static uint64_t
version_to_forget(const struct ogl_settings *s)
{
	GArray *v = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GTreeNode *at = g_tree_node_first(s->nodes);
	uint64_t up_to;

	for (; at != NULL; at = g_tree_node_next(at)) {
		const struct ogl_settings_node *n = g_tree_node_value(at);

		if (json_is_null(n->value))
			g_array_append_val(v, n->version);
	}
	g_array_sort(v, compare_versions);
	up_to = g_array_index(v, uint64_t, v->len / 2);
	g_array_free(v, TRUE);
	return up_to;
}

/*
 * Drops the oldest removed paths when there are too many.  Each withdrawn key
 * leaves its paths in the tree, so without a bound the tree and its snapshots
 * would grow for as long as the cell exists.  An edit made from a version
 * before forgotten_version is refused if it names a path that is not in the
 * tree, because the path may have been removed since.
 */
static void
forget_removed(struct ogl_settings *s)
{
	GPtrArray *oldest;
	GTreeNode *at;

	if (s->removed_count <= REMOVED_PATHS_MAX)
		return;
	s->forgotten_version = version_to_forget(s);
	oldest = g_ptr_array_new();
	for (at = g_tree_node_first(s->nodes); at != NULL;
	     at = g_tree_node_next(at)) {
		const struct ogl_settings_node *n = g_tree_node_value(at);

		if (json_is_null(n->value) &&
		    n->version <= s->forgotten_version)
			g_ptr_array_add(oldest, g_tree_node_key(at));
	}
	s->removed_count -= oldest->len;
	for (guint i = 0; i < oldest->len; i++)
		g_tree_remove(s->nodes, g_ptr_array_index(oldest, i));
	g_ptr_array_free(oldest, TRUE);
}

static void
trim_audit(struct ogl_settings *s)
{
	int64_t keep = ogl_settings_number(s, "cell/audit_keep", 0);

	while (g_queue_get_length(&s->audit) > (guint)keep)
		audit_free(g_queue_pop_head(&s->audit));
}

bool
ogl_settings_check(const struct ogl_settings *s, const Ogl__Edit *e,
    struct ogl_faults *faults, GError **error)
{
	struct ogl_draft *d = ogl_draft_init(s, e, faults, error);

	if (d == NULL)
		return false;
	ogl_draft_end(d);
	return true;
}

bool
ogl_settings_apply(struct ogl_settings *s, uint64_t version, const Ogl__Edit *e,
    uint64_t at_ms, GError **error)
{
	struct ogl_faults *faults;
	struct ogl_draft *d;

	if (version <= s->version)
		return true;
	faults = ogl_faults_new();
	d = ogl_draft_init(s, e, faults, error);
	if (d != NULL) {
		s->version = version;
		commit(s, ogl_draft_changes(d), e, at_ms);
		forget_removed(s);
		trim_audit(s);
		ogl_draft_end(d);
	}
	ogl_faults_free(faults);
	return d != NULL;
}

/* ---- init and end ----------------------------------------------------- */

struct ogl_settings *
ogl_settings_init(void)
{
	struct ogl_settings *s = g_new0(struct ogl_settings, 1);

	s->nodes = g_tree_new_full(compare_paths, NULL, g_free, node_free);
	s->teams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->keys =
	    g_hash_table_new_full(hash_first_bytes, hash_equal, NULL, g_free);
	g_queue_init(&s->audit);
	resolve_team_defaults(s);
	return s;
}

static void
free_tables(struct ogl_settings *s)
{
	g_tree_destroy(s->nodes);
	g_hash_table_destroy(s->teams);
	g_hash_table_destroy(s->keys);
	g_queue_clear_full(&s->audit, audit_free);
}

void
ogl_settings_end(struct ogl_settings *s)
{
	if (s == NULL)
		return;
	free_tables(s);
	g_free(s);
}

/* ---- queries ---------------------------------------------------------- */

uint64_t
ogl_settings_version(const struct ogl_settings *s)
{
	return s->version;
}

void
ogl_settings_lookup_team(
    const struct ogl_settings *s, const char *team, struct ogl_team_view *view)
{
	const struct ogl_team_entry *t = g_hash_table_lookup(s->teams, team);

	*view = t != NULL ? t->view : s->team_defaults;
}

void
ogl_settings_each_team(const struct ogl_settings *s,
    void (*fn)(void *ctx, const char *team, const struct ogl_team_view *view),
    void *ctx)
{
	const char *prefix = "teams/";
	GTreeNode *at = ogl_settings_first(s, prefix);

	for (; at != NULL; at = ogl_settings_next(at, prefix)) {
		const char *team = (char *)g_tree_node_key(at) + strlen(prefix);
		const struct ogl_team_entry *t =
		    g_hash_table_lookup(s->teams, team);

		if (t != NULL)
			fn(ctx, team, &t->view);
	}
}

void
ogl_settings_lookup_key(
    const struct ogl_settings *s, struct ogl_str key, struct ogl_key_view *view)
{
	const struct ogl_key_entry *k = NULL;
	unsigned char hash[OGL_HASH_BYTES];
	char hex[2 * OGL_HASH_BYTES + 1];

	memset(view, 0, sizeof(*view));
	if (ogl_key_hash(key, hex) && hash_from_hex(hex, hash))
		k = g_hash_table_lookup(s->keys, hash);
	if (k == NULL)
		return;
	view->known = true;
	view->is_operator = k->team[0] == '\0';
	g_strlcpy(view->team, k->team, sizeof(view->team));
	g_strlcpy(view->key_id, k->id, sizeof(view->key_id));
}
