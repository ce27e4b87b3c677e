/*
 * Parses the settings file.  One table lists every field: its place in the
 * file, its type, its range and where its value is stored.  A second one lists
 * the relations that timings must satisfy.  Both tables are always checked to
 * the end, so that an operator sees all faults of a file at once.
 */

#include <jansson.h>
#include <string.h>

#include "addr.h"
#include "config.h"
#include "json.h"

#define NAME_MAX_BYTES 120
#define SEEDS_MAX 1024
#define HASH_HEX_BYTES 64
#define FILE_MAX_BYTES ((size_t)1024 * 1024)
#define HOUR_MS 3600000
#define DAY_MS 86400000

enum field_type {
	FIELD_NAME,  /* 1 to 120 letters, digits, - . _ */
	FIELD_ADDR,  /* ip:port */
	FIELD_HASH,  /* 64 hex digits */
	FIELD_LEVEL, /* log level */
	FIELD_SEEDS, /* list of ip:port */
	FIELD_U32
};

struct field {
	const char *section; /* NULL at the top of the file */
	const char *name;
	enum field_type type;
	bool required;
	size_t offset; /* in struct ogl_config */
	uint32_t min;  /* least number, or least port of an address */
	uint32_t max;
};

#define AT(member) offsetof(struct ogl_config, member)
#define TIMING(member, lo, hi)                                                 \
	{                                                                      \
		"timings", #member, FIELD_U32, false, AT(node.member), lo, hi  \
	}

static const struct field fields[] = {
    {"node", "name", FIELD_NAME, true, AT(name), 0, 0},
    {"node", "addr", FIELD_ADDR, true, AT(addr), 1, 0},
    {"node", "zone", FIELD_NAME, true, AT(zone), 0, 0},
    {"listen", "http", FIELD_ADDR, true, AT(listen_http), 0, 0},
    {"listen", "peer", FIELD_ADDR, true, AT(listen_peer), 0, 0},
    {NULL, "platform", FIELD_ADDR, true, AT(platform), 1, 0},
    {NULL, "seeds", FIELD_SEEDS, false, AT(seeds), 1, 0},
    {NULL, "shards", FIELD_U32, false, AT(node.shards), 1, 4096},
    {NULL, "operator_key_hash", FIELD_HASH, true, AT(node.operator_hash), 0, 0},
    {NULL, "log_level", FIELD_LEVEL, false, AT(log_level), 0, 0},
    TIMING(lease_ms, 100, HOUR_MS),
    TIMING(sync_ms, 10, HOUR_MS),
    TIMING(probe_ms, 10, HOUR_MS),
    TIMING(suspect_ms, 10, HOUR_MS),
    TIMING(commit_ms, 0, 10000),
    TIMING(right_ms, 10, HOUR_MS),
    TIMING(stale_ms, 100, DAY_MS),
    TIMING(late_claim_ms, 100, DAY_MS),
    TIMING(snapshot_records, 1, 100000000),
    TIMING(snapshot_ms, 100, DAY_MS),
    TIMING(id_keep_ms, 1000, DAY_MS),
    TIMING(exec_slots, 1, 100000),
};

/* value * factor must be at most the limit, or below it if strict. */
struct timing_rule {
	const char *value;
	uint32_t factor;
	bool strict;
	const char *limit;
};

static const struct timing_rule timing_rules[] = {
    /* A lease must not expire after two lost renewals. */
    {"sync_ms", 3, false, "lease_ms"},
    /* An owner cut off from the log must stop starting work while the leases
     * it granted are valid, well before a non-successor claims its shard. */
    {"right_ms", 1, true, "lease_ms"},
    {"lease_ms", 1, true, "late_claim_ms"},
    /* A suspected member is probed at least once before it is declared dead. */
    {"probe_ms", 1, true, "suspect_ms"},
};

static void
add_fault(struct ogl_faults *faults, const char *path, const json_t *v,
    const char *allowed)
{
	char *text = v != NULL ? ogl_json_brief(v) : g_strdup("absent");

	ogl_faults_add(faults, path, text, allowed);
	g_free(text);
}

static char *
field_path(const char *section, const char *name)
{
	if (section == NULL)
		return g_strdup(name);
	return g_strdup_printf("%s.%s", section, name);
}

/* ---- readers of the types; they return NULL or what is allowed -------- */

static bool
is_name(const char *s)
{
	size_t n = strlen(s);

	return n > 0 && n <= NAME_MAX_BYTES &&
	       strspn(s, "abcdefghijklmnopqrstuvwxyz"
			 "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._") == n;
}

static bool
is_addr(const char *s, uint32_t min_port)
{
	struct sockaddr_storage sa;
	socklen_t len;
	const char *port = strrchr(s, ':');

	if (!ogl_addr_parse(s, &sa, &len))
		return false;
	return min_port == 0 || g_ascii_strtoull(port + 1, NULL, 10) != 0;
}

static char *
read_name(const struct field *f, const json_t *v, void *value)
{
	char **s = value;

	(void)f;
	if (!json_is_string(v) || !is_name(json_string_value(v)))
		return g_strdup("1 to 120 of letters, digits, '-', '.', '_'");
	g_free(*s);
	*s = g_strdup(json_string_value(v));
	return NULL;
}

static char *
read_addr(const struct field *f, const json_t *v, void *value)
{
	char **s = value;

	if (!json_is_string(v) || !is_addr(json_string_value(v), f->min))
		return g_strdup(
		    f->min > 0 ? "ip:port with port 1 to 65535" : "ip:port");
	g_free(*s);
	*s = g_strdup(json_string_value(v));
	return NULL;
}

static char *
read_hash(const struct field *f, const json_t *v, void *value)
{
	const char *s = json_string_value(v);

	(void)f;
	if (s == NULL || strlen(s) != HASH_HEX_BYTES ||
	    strspn(s, "0123456789abcdef") != HASH_HEX_BYTES)
		return g_strdup("64 hex digits in lower case");
	memcpy(value, s, HASH_HEX_BYTES + 1);
	return NULL;
}

static char *
read_level(const struct field *f, const json_t *v, void *value)
{
	(void)f;
	if (!json_is_string(v) ||
	    !ogl_log_level_parse(json_string_value(v), value))
		return g_strdup("error, warn, info or debug");
	return NULL;
}

static char *
read_seeds(const struct field *f, const json_t *v, void *value)
{
	char ***seeds = value;
	GPtrArray *list;
	size_t i;

	if (!json_is_array(v) || json_array_size(v) > SEEDS_MAX)
		return g_strdup("list of at most 1024 ip:port");
	list = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < json_array_size(v); i++) {
		const char *s = json_string_value(json_array_get(v, i));

		if (s == NULL || !is_addr(s, f->min)) {
			g_ptr_array_unref(list);
			return g_strdup_printf(
			    "ip:port with port 1 to 65535 at [%zu]", i);
		}
		g_ptr_array_add(list, g_strdup(s));
	}
	g_ptr_array_add(list, NULL);
	g_strfreev(*seeds);
	*seeds = (char **)g_ptr_array_free(list, FALSE);
	return NULL;
}

static char *
read_u32(const struct field *f, const json_t *v, void *value)
{
	json_int_t n = json_integer_value(v);

	if (!json_is_integer(v) || n < f->min || n > f->max)
		return g_strdup_printf("integer from %u to %u", f->min, f->max);
	*(uint32_t *)value = (uint32_t)n;
	return NULL;
}

typedef char *(*field_reader)(const struct field *, const json_t *, void *);

static const field_reader readers[] = {
    [FIELD_NAME] = read_name,
    [FIELD_ADDR] = read_addr,
    [FIELD_HASH] = read_hash,
    [FIELD_LEVEL] = read_level,
    [FIELD_SEEDS] = read_seeds,
    [FIELD_U32] = read_u32,
};

/* ---- the check of a file ---------------------------------------------- */

static bool
is_section(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fields); i++) {
		if (g_strcmp0(fields[i].section, name) == 0)
			return true;
	}
	return false;
}

static bool
is_field(const char *section, const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fields); i++) {
		if (g_strcmp0(fields[i].section, section) == 0 &&
		    strcmp(fields[i].name, name) == 0)
			return true;
	}
	return false;
}

static void
check_names(
    const json_t *object, const char *section, struct ogl_faults *faults)
{
	const char *name;
	json_t *v;

	json_object_foreach((json_t *)(uintptr_t)object, name, v)
	{
		char *path = field_path(section, name);

		if (section == NULL && is_section(name)) {
			if (json_is_object(v))
				check_names(v, name, faults);
			else
				add_fault(faults, path, v, "object");
		} else if (!is_field(section, name)) {
			add_fault(faults, path, v, "no such field");
		}
		g_free(path);
	}
}

static void
read_field(const struct field *f, const json_t *root, struct ogl_config *c,
    struct ogl_faults *faults)
{
	const json_t *section =
	    f->section != NULL ? json_object_get(root, f->section) : root;
	const json_t *v = json_object_get(section, f->name);
	char *path = field_path(f->section, f->name);
	char *allowed = NULL;

	if (v != NULL)
		allowed = readers[f->type](f, v, (char *)c + f->offset);
	else if (f->required)
		allowed = g_strdup("required");
	if (allowed != NULL)
		add_fault(faults, path, v, allowed);
	g_free(allowed);
	g_free(path);
}

static uint32_t
timing(const struct ogl_config *c, const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fields); i++) {
		if (strcmp(fields[i].name, name) == 0)
			return *(const uint32_t *)((const char *)c +
						   fields[i].offset);
	}
	g_assert_not_reached();
}

static void
check_timing_rule(const struct timing_rule *r, const struct ogl_config *c,
    struct ogl_faults *faults)
{
	uint64_t value = timing(c, r->value);
	uint64_t limit = timing(c, r->limit);
	char *path, *text, *allowed;

	if (value * r->factor + (r->strict ? 1 : 0) <= limit)
		return;
	path = field_path("timings", r->value);
	text = g_strdup_printf("%" G_GUINT64_FORMAT, value);
	allowed = g_strdup_printf("at most %" G_GUINT64_FORMAT
				  " beside %s of %" G_GUINT64_FORMAT,
	    (limit - (r->strict ? 1 : 0)) / r->factor, r->limit, limit);
	ogl_faults_add(faults, path, text, allowed);
	g_free(path);
	g_free(text);
	g_free(allowed);
}

static void
check_all(const json_t *root, struct ogl_config *c, struct ogl_faults *faults)
{
	size_t i;

	check_names(root, NULL, faults);
	for (i = 0; i < G_N_ELEMENTS(fields); i++)
		read_field(&fields[i], root, c, faults);
	for (i = 0; i < G_N_ELEMENTS(timing_rules); i++)
		check_timing_rule(&timing_rules[i], c, faults);
}

static void
fill_node(struct ogl_config *c, uint64_t boot)
{
	c->node.name = c->name;
	c->node.addr = c->addr;
	c->node.zone = c->zone;
	c->node.boot = boot;
	c->node.seeds = (const char *const *)c->seeds;
	c->node.nseeds = c->seeds != NULL ? g_strv_length(c->seeds) : 0;
}

struct ogl_config *
ogl_config_parse(struct ogl_str text, uint64_t boot, struct ogl_faults *faults)
{
	struct ogl_config *c = g_new0(struct ogl_config, 1);
	size_t before = ogl_faults_count(faults);
	json_t *root;

	ogl_node_config_default(&c->node);
	c->log_level = OGL_LOG_INFO;
	root = ogl_json_load(text, "", faults);
	if (root != NULL && !json_is_object(root))
		add_fault(faults, "", root, "a JSON object");
	else if (root != NULL)
		check_all(root, c, faults);
	json_decref(root);
	if (ogl_faults_count(faults) > before) {
		ogl_config_free(c);
		return NULL;
	}
	fill_node(c, boot);
	return c;
}

struct ogl_config *
ogl_config_read(const char *path, uint64_t boot, struct ogl_faults *faults)
{
	struct ogl_config *c = NULL;
	GError *error = NULL;
	char *text = NULL;
	gsize n = 0;

	if (!g_file_get_contents(path, &text, &n, &error)) {
		ogl_faults_add(faults, "", error->message, "a readable file");
		goto out;
	}
	if (n > FILE_MAX_BYTES) {
		ogl_faults_add(faults, "", path, "a file of at most 1 MiB");
		goto out;
	}
	c = ogl_config_parse((struct ogl_str){text, n}, boot, faults);
out:
	g_clear_error(&error);
	g_free(text);
	return c;
}

void
ogl_config_free(struct ogl_config *c)
{
	if (c == NULL)
		return;
	g_free(c->name);
	g_free(c->addr);
	g_free(c->zone);
	g_free(c->listen_http);
	g_free(c->listen_peer);
	g_free(c->platform);
	g_strfreev(c->seeds);
	g_free(c);
}
