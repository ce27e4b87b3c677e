/* Answers operators' calls: the settings tree, keys, the audit trail and
 * views of hosts, members and this node. */

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "node_impl.h"

enum {
	LOG_RETRY_MS = 1000 /* retry delay while the log is unreachable */
};

static void
refuse(struct ogl_op_reply *r, uint32_t status, uint64_t retry_ms,
    const char *error, const struct ogl_faults *faults)
{
	r->status = status;
	r->verdict = OGL_NOT_RUN;
	r->retry_after_ms = retry_ms;
	r->body = ogl_error_text(error, OGL_NOT_RUN, retry_ms, faults);
}

/* Returns the value of a parameter of the call's query, NULL if it is absent.
 * The caller frees it with g_free. */
static char *
query_value(const struct ogl_event *ev, const char *name)
{
	char *path = ogl_str_dup(ev->u.call.path);
	char *query = strchr(path, '?');
	char *value = NULL;
	char **pairs;
	size_t n = strlen(name);

	if (query == NULL) {
		g_free(path);
		return NULL;
	}
	pairs = g_strsplit(query + 1, "&", 0);
	for (char **p = pairs; *p != NULL && value == NULL; p++) {
		if (strncmp(*p, name, n) == 0 && (*p)[n] == '=')
			value = g_uri_unescape_string(*p + n + 1, NULL);
	}
	g_strfreev(pairs);
	g_free(path);
	return value;
}

/* ---- settings --------------------------------------------------------- */

void
ogl_op_settings_get(struct ogl_node *n, const struct ogl_event *ev,
    const char *arg, uint64_t waiter, struct ogl_op_reply *r)
{
	char *path = query_value(ev, "path");

	(void)arg;
	(void)waiter;
	r->body = ogl_settings_show(n->settings, path != NULL ? path : "");
	if (r->body != NULL)
		r->status = 200;
	else
		refuse(r, 404, 0, "no such path", NULL);
	g_free(path);
}

/* Checks an edit and sends it to the log.  On success r keeps status 0 and
 * ogl_calls_edit_done replies later. */
static void
send_edit(
    struct ogl_node *n, Ogl__Edit *e, uint64_t waiter, struct ogl_op_reply *r)
{
	struct ogl_faults *f = ogl_faults_new();
	GError *error = NULL;

	if (!ogl_settings_check(n->settings, e, f, &error)) {
		refuse(r,
		    g_error_matches(error, OGL_ERROR, OGL_ERROR_CONFLICT) ? 409
									  : 422,
		    0, error != NULL ? error->message : "not allowed", f);
		n->counters.bad_input++;
	} else if (!ogl_follow_edit(n->follow, e, waiter, n->now)) {
		refuse(r, 503, LOG_RETRY_MS,
		    "the log can't be reached, so nothing is changed", NULL);
	}
	g_clear_error(&error);
	ogl_faults_free(f);
}

/* Sets the author of the edit for the audit trail: the id of the caller's
 * key. */
static void
set_author(struct ogl_node *n, const struct ogl_event *ev, Ogl__Edit *e)
{
	struct ogl_key_view view = {0};

	ogl_settings_lookup_key(n->settings, ev->u.call.key, &view);
	if (e->who != protobuf_c_empty_string)
		free(e->who);
	e->who = strdup(view.known ? view.key_id : "first-operator");
}

void
ogl_op_settings_edit(struct ogl_node *n, const struct ogl_event *ev,
    const char *arg, uint64_t waiter, struct ogl_op_reply *r)
{
	struct ogl_faults *f = ogl_faults_new();
	Ogl__Edit *e = (Ogl__Edit *)ogl_json_parse(
	    &ogl__edit__descriptor, ev->u.call.body, f);

	(void)arg;
	if (e == NULL) {
		n->counters.bad_input++;
		refuse(r, 422, 0, "the edit is not valid", f);
	} else {
		set_author(n, ev, e);
		send_edit(n, e, waiter, r);
		ogl__edit__free_unpacked(e, NULL);
	}
	ogl_faults_free(f);
}

/* ---- keys ------------------------------------------------------------- */

/* Returns the team of a body like {"team":"x"}; on error fills in r and
 * returns NULL. */
static char *
team_of_body(const struct ogl_event *ev, struct ogl_op_reply *r)
{
	json_t *j = json_loadb(
	    ev->u.call.body.p, ev->u.call.body.n, JSON_REJECT_DUPLICATES, NULL);
	const char *team = json_string_value(json_object_get(j, "team"));
	char *copy = NULL;

	if (team == NULL || json_object_size(j) != 1)
		refuse(
		    r, 422, 0, "the body must be {\"team\": \"<path>\"}", NULL);
	else
		copy = g_strdup(team);
	json_decref(j);
	return copy;
}

void
ogl_op_key_create(struct ogl_node *n, const struct ogl_event *ev,
    const char *arg, uint64_t waiter, struct ogl_op_reply *r)
{
	char *team = team_of_body(ev, r);
	uint8_t random[32];
	char key[80], id[32];
	Ogl__Edit *e = NULL;
	int64_t *map_key;

	(void)arg;
	if (team == NULL)
		return;
	n->cfg.entropy(random, sizeof random);
	if (!ogl_key_make(random, team, key, &e, id)) {
		refuse(r, 422, 0, "not a team", NULL);
		goto out;
	}
	e->base_version = ogl_settings_version(n->settings);
	set_author(n, ev, e);
	send_edit(n, e, waiter, r);
	if (r->status == 0) {
		map_key = g_new(int64_t, 1);
		*map_key = (int64_t)waiter;
		g_hash_table_insert(n->key_texts, map_key,
		    g_strdup_printf("{\"key\":\"%s\",\"id\":\"%s\"}", key, id));
	}
	ogl__edit__free_unpacked(e, NULL);
out:
	memset(random, 0, sizeof random);
	g_free(team);
}

char *
ogl_op_take_key_text(struct ogl_node *n, uint64_t waiter)
{
	int64_t key = (int64_t)waiter;
	gpointer map_key = NULL, text = NULL;

	if (!g_hash_table_steal_extended(n->key_texts, &key, &map_key, &text))
		return NULL;
	g_free(map_key);
	return text;
}

void
ogl_op_key_withdraw(struct ogl_node *n, const struct ogl_event *ev,
    const char *arg, uint64_t waiter, struct ogl_op_reply *r)
{
	Ogl__Edit e = OGL__EDIT__INIT;
	Ogl__Change c = OGL__CHANGE__INIT;
	Ogl__Change *list[1] = {&c};
	char *path = g_strdup_printf("keys/%s", arg);
	char *shown = ogl_settings_show(n->settings, path);

	if (shown == NULL) {
		refuse(r, 404, 0, "no such key", NULL);
		g_free(path);
		return;
	}
	c.path = path;
	e.base_version = ogl_settings_version(n->settings);
	e.n_changes = 1;
	e.changes = list;
	set_author(n, ev, &e);
	send_edit(n, &e, waiter, r);
	free(e.who);
	g_free(shown);
	g_free(path);
}

void
ogl_op_audit(struct ogl_node *n, const struct ogl_event *ev, const char *arg,
    uint64_t waiter, struct ogl_op_reply *r)
{
	char *from = query_value(ev, "from");

	(void)arg;
	(void)waiter;
	r->status = 200;
	r->body = ogl_settings_audit(
	    n->settings, from != NULL ? g_ascii_strtoull(from, NULL, 10) : 0);
	g_free(from);
}

/* ---- views ------------------------------------------------------------ */

static void
reply_json(struct ogl_op_reply *r, json_t *top)
{
	r->status = 200;
	r->body = json_dumps(top, JSON_COMPACT);
	json_decref(top);
}

void
ogl_op_hosts(struct ogl_node *n, const struct ogl_event *ev, const char *arg,
    uint64_t waiter, struct ogl_op_reply *r)
{
	json_t *list = json_array();
	GHashTableIter it;
	void *v;

	(void)ev;
	(void)arg;
	(void)waiter;
	g_hash_table_iter_init(&it, n->hosts);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct ogl_host *h = v;

		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s,s:s,s:s,s:b,s:b}", "name", h->name,
			"role", ogl__host_role__descriptor.values[h->role].name,
			"addr", h->addr, "zone", h->zone, "rack", h->rack,
			"leaving", h->leaving, "listed", h->listed));
	}
	reply_json(r, json_pack("{s:o,s:I}", "hosts", list, "list_age_ms",
			  (json_int_t)((n->now - n->hosts_at) / OGL_MS)));
}

static void
member_row(void *ctx, const struct ogl_peer *p)
{
	json_array_append_new(ctx,
	    json_pack("{s:s,s:s,s:s,s:s,s:I,s:i,s:I}", "name", p->fact->name,
		"addr", p->fact->addr, "zone", p->fact->zone, "state",
		ogl__member_fact__state__descriptor.values[p->fact->state].name,
		"boot", (json_int_t)p->fact->boot, "shards",
		(int)p->fact->n_shards, "settings_version",
		(json_int_t)p->fact->settings_version));
}

void
ogl_op_members(struct ogl_node *n, const struct ogl_event *ev, const char *arg,
    uint64_t waiter, struct ogl_op_reply *r)
{
	json_t *list = json_array();

	(void)ev;
	(void)arg;
	(void)waiter;
	ogl_member_each(n->member, member_row, list);
	reply_json(
	    r, json_pack("{s:s,s:o}", "asked", n->name, "members", list));
}

void
ogl_op_status(struct ogl_node *n, const struct ogl_event *ev, const char *arg,
    uint64_t waiter, struct ogl_op_reply *r)
{
	json_t *owned = json_array();
	ogl_time log_age = n->now - ogl_follow_log_contact(n->follow);

	(void)ev;
	(void)arg;
	(void)waiter;
	for (uint32_t i = 0; i < n->cfg.shards; i++) {
		if (ogl_shard_role(n->shards[i]) == OGL_ROLE_OWNER)
			json_array_append_new(owned, json_integer(i));
	}
	reply_json(
	    r, json_pack("{s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:o,s:I,s:I,s:I}",
		   "name", n->name, "zone", n->zone, "version", OGL_VERSION,
		   "ready", ogl_node_ready(n, n->now), "settings_version",
		   (json_int_t)ogl_settings_version(n->settings),
		   "settings_age_ms",
		   (json_int_t)((n->now -
				    ogl_follow_fresh_as_of(n->follow, n->now)) /
				OGL_MS),
		   "log_age_ms", (json_int_t)(log_age / OGL_MS), "shards_owned",
		   owned, "requests_waiting",
		   (json_int_t)ogl_reqs_queued_count(n->reqs), "requests_live",
		   (json_int_t)ogl_reqs_open_count(n->reqs), "uptime_s",
		   (json_int_t)((n->now - n->started) / OGL_SEC)));
}
