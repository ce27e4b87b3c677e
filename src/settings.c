/*
 * The settings tree in force at one version.
 *
 * All that was ever set is one sorted map from path to value and the version
 * that last changed it; what was removed stays in it as JSON null, since a
 * later edit made from before the removal must be refused.  Two tables are
 * kept beside it for what is asked on each request: teams with their settings
 * resolved, and keys by their hash.
 *
 * Inheritance: a team's settings are those of the team above (for the first
 * level, those set for all teams, else the schema's defaults) with its own
 * laid over.  An own limit is at most that of the team above (settings_edit.c
 * sees to it), so the nearest one set is the least along the path.  A limit
 * set for all teams is only a default: a team of the first level may exceed
 * it.  The tasks of subteams count towards the limit of the team above, too.
 *
 * Everything follows from the edits in log order alone, the bounds on what is
 * remembered included: two followers of one log hold the same tree, also when
 * one began from the other's dump.
 */

#include <sodium.h>
#include <string.h>

#include "settings.h"

/* Removed paths remembered.  25,000 changes a day with one in ten a removal
 * make this more than a day. */
#define REMOVED_MAX 4096

#define VIEW_NO_LIMIT UINT64_MAX

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
	struct ogl_node_set *n = p;

	json_decref(n->value);
	g_free(n);
}

static void
audit_free(gpointer p)
{
	struct ogl_audit *a = p;

	g_free(a->who);
	g_free(a->path);
	json_decref(a->from);
	json_decref(a->to);
	g_free(a);
}

/* The table's own look-up must not tell by its time how much of a hash was
 * right either. */
static gboolean
hash_equal(gconstpointer a, gconstpointer b)
{
	return sodium_memcmp(a, b, OGL_HASH_BYTES) == 0;
}

/* A hash is even already; its first bytes serve. */
static guint
hash_of_hash(gconstpointer p)
{
	guint h;

	memcpy(&h, p, sizeof(h));
	return h;
}

json_t *
ogl_settings_get(const struct ogl_settings *s, const char *path)
{
	const struct ogl_node_set *n = g_tree_lookup(s->nodes, path);

	return n == NULL || json_is_null(n->value) ? NULL : n->value;
}

static GTreeNode *
while_prefix(GTreeNode *at, const char *prefix)
{
	if (at == NULL || !g_str_has_prefix(g_tree_node_key(at), prefix))
		return NULL;
	return at;
}

GTreeNode *
ogl_settings_below(const struct ogl_settings *s, const char *prefix)
{
	return while_prefix(g_tree_lower_bound(s->nodes, prefix), prefix);
}

GTreeNode *
ogl_settings_next(GTreeNode *at, const char *prefix)
{
	return while_prefix(g_tree_node_next(at), prefix);
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
as_limit(const json_t *v)
{
	return json_is_integer(v) ? (uint64_t)json_integer_value(v)
				  : VIEW_NO_LIMIT;
}

static void
view_set(struct ogl_team_view *view, size_t field, const json_t *v)
{
	switch (field) {
	case OGL_TEAM_SHARE:
		view->share = json_number_value(v);
		break;
	case OGL_TEAM_LIMIT_TASKS:
		view->limit_tasks = as_limit(v);
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
ogl_settings_preset(const struct ogl_setting *f)
{
	return f->preset != NULL ? json_loads(f->preset, JSON_DECODE_ANY, NULL)
				 : NULL;
}

/* Lays over a view what is set at "teams/<team>", or for all when empty. */
static void
view_own(
    const struct ogl_settings *s, const char *team, struct ogl_team_view *view)
{
	char path[OGL_PATH_MAX];

	for (size_t i = 0; i < OGL_TEAM_SETTINGS; i++) {
		const json_t *v;

		g_snprintf(path, sizeof(path), "teams/%s%s%s", team,
		    team[0] != '\0' ? "/" : "", ogl_team_settings[i].name);
		v = ogl_settings_get(s, path);
		if (v != NULL)
			view_set(view, i, v);
	}
}

static void
resolve_all(struct ogl_settings *s)
{
	memset(&s->all, 0, sizeof(s->all));
	for (size_t i = 0; i < OGL_TEAM_SETTINGS; i++) {
		json_t *v = ogl_settings_preset(&ogl_team_settings[i]);

		view_set(&s->all, i, v);
		json_decref(v);
	}
	view_own(s, "", &s->all);
}

static void
resolve_team(struct ogl_settings *s, const char *team)
{
	struct ogl_team_node *t = g_hash_table_lookup(s->teams, team);
	const struct ogl_team_node *above = NULL;
	char parent[OGL_TEAM_MAX];

	if (t == NULL)
		return;
	if (ogl_path_parent(team, parent))
		above = g_hash_table_lookup(s->teams, parent);
	t->view = above != NULL ? above->view : s->all;
	t->view.exists = true;
	view_own(s, team, &t->view);
}

void
ogl_settings_resolve(struct ogl_settings *s, const char *team)
{
	char *prefix;
	GTreeNode *at;

	if (team[0] == '\0')
		resolve_all(s);
	else
		resolve_team(s, team);
	/* Sorted paths put a team before what is below it. */
	prefix =
	    g_strdup_printf("teams/%s%s", team, team[0] != '\0' ? "/" : "");
	at = ogl_settings_below(s, prefix);
	for (; at != NULL; at = ogl_settings_next(at, prefix)) {
		const struct ogl_node_set *n = g_tree_node_value(at);

		if (json_is_object(n->value))
			resolve_team(
			    s, (char *)g_tree_node_key(at) + strlen("teams/"));
	}
	g_free(prefix);
}

/* ---- applying --------------------------------------------------------- */

/* Does nothing for a key that a dump left without its hash or team. */
static void
index_key(struct ogl_settings *s, const char *id)
{
	struct ogl_key_node *k = g_new0(struct ogl_key_node, 1);
	char path[OGL_PATH_MAX];
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
	char path[OGL_PATH_MAX];

	g_snprintf(path, sizeof(path), "keys/%s/hash", id);
	if (hash_from_hex(json_string_value(ogl_settings_get(s, path)), hash))
		g_hash_table_remove(s->keys, hash);
}

static void
index_team(struct ogl_settings *s, const char *team)
{
	g_hash_table_replace(
	    s->teams, g_strdup(team), g_new0(struct ogl_team_node, 1));
}

/* The hash tells a reader of the trail nothing, and need not be told. */
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
	struct ogl_audit *a = g_new0(struct ogl_audit, 1);
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
	struct ogl_node_set *n = g_tree_lookup(s->nodes, path);

	if (n == NULL) {
		n = g_new0(struct ogl_node_set, 1);
		g_tree_insert(s->nodes, g_strdup(path), n);
	} else {
		s->removed -= json_is_null(n->value) ? 1 : 0;
		json_decref(n->value);
	}
	s->removed += json_is_null(value) ? 1 : 0;
	n->value = json_incref(value);
	n->version = version;
}

static void
commit_one(struct ogl_settings *s, const char *path, json_t *value,
    const Ogl__Edit *e, uint64_t at_ms)
{
	audit_add(s, path, ogl_settings_get(s, path), value, e->who, at_ms);
	ogl_settings_put(s, path, value, s->version);
}

static void
take_out(struct ogl_settings *s, const char *path)
{
	struct ogl_path p;

	ogl_path_parse(path, &p);
	if (p.kind == OGL_PATH_KEY)
		unindex_key(s, p.id);
	else if (p.kind == OGL_PATH_TEAM)
		g_hash_table_remove(s->teams, p.team);
}

void
ogl_settings_put_in(struct ogl_settings *s, const char *path)
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
		ogl_settings_resolve(s, p.team);
}

static void
commit(struct ogl_settings *s, GTree *over, const Ogl__Edit *e, uint64_t at_ms)
{
	GTreeNode *first = g_tree_node_first(over);
	GTreeNode *at;

	for (at = first; at != NULL; at = g_tree_node_next(at))
		take_out(s, g_tree_node_key(at));
	for (at = first; at != NULL; at = g_tree_node_next(at))
		commit_one(
		    s, g_tree_node_key(at), g_tree_node_value(at), e, at_ms);
	for (at = first; at != NULL; at = g_tree_node_next(at))
		if (ogl_settings_get(s, g_tree_node_key(at)) != NULL)
			ogl_settings_put_in(s, g_tree_node_key(at));
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

/* Version up to which removals are forgotten, so that half of them stay. */
static uint64_t
forget_mark(const struct ogl_settings *s)
{
	GArray *v = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GTreeNode *at = g_tree_node_first(s->nodes);
	uint64_t mark;

	for (; at != NULL; at = g_tree_node_next(at)) {
		const struct ogl_node_set *n = g_tree_node_value(at);

		if (json_is_null(n->value))
			g_array_append_val(v, n->version);
	}
	g_array_sort(v, compare_versions);
	mark = g_array_index(v, uint64_t, v->len / 2);
	g_array_free(v, TRUE);
	return mark;
}

/*
 * Each withdrawn key leaves its path behind.  Without a bound the tree would
 * grow for as long as the cell lives, which shows first as ever larger
 * snapshots.  The oldest removals go, and `forgotten` refuses any edit made
 * from before them that names a path unknown by now.
 */
static void
forget_removed(struct ogl_settings *s)
{
	GPtrArray *old;
	GTreeNode *at;

	if (s->removed <= REMOVED_MAX)
		return;
	s->forgotten = forget_mark(s);
	old = g_ptr_array_new();
	for (at = g_tree_node_first(s->nodes); at != NULL;
	     at = g_tree_node_next(at)) {
		const struct ogl_node_set *n = g_tree_node_value(at);

		if (json_is_null(n->value) && n->version <= s->forgotten)
			g_ptr_array_add(old, g_tree_node_key(at));
	}
	s->removed -= old->len;
	for (guint i = 0; i < old->len; i++)
		g_tree_remove(s->nodes, g_ptr_array_index(old, i));
	g_ptr_array_free(old, TRUE);
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
	s->keys = g_hash_table_new_full(hash_of_hash, hash_equal, NULL, g_free);
	g_queue_init(&s->audit);
	resolve_all(s);
	return s;
}

static void
clear(struct ogl_settings *s)
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
	clear(s);
	g_free(s);
}

/* ---- asking ----------------------------------------------------------- */

uint64_t
ogl_settings_version(const struct ogl_settings *s)
{
	return s->version;
}

void
ogl_settings_team(
    const struct ogl_settings *s, const char *team, struct ogl_team_view *view)
{
	const struct ogl_team_node *t = g_hash_table_lookup(s->teams, team);

	*view = t != NULL ? t->view : s->all;
}

void
ogl_settings_each_team(const struct ogl_settings *s,
    void (*fn)(void *ctx, const char *team, const struct ogl_team_view *view),
    void *ctx)
{
	const char *prefix = "teams/";
	GTreeNode *at = ogl_settings_below(s, prefix);

	for (; at != NULL; at = ogl_settings_next(at, prefix)) {
		const char *team = (char *)g_tree_node_key(at) + strlen(prefix);
		const struct ogl_team_node *t =
		    g_hash_table_lookup(s->teams, team);

		if (t != NULL)
			fn(ctx, team, &t->view);
	}
}

void
ogl_settings_key(
    const struct ogl_settings *s, struct ogl_str key, struct ogl_key_view *view)
{
	const struct ogl_key_node *k = NULL;
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
