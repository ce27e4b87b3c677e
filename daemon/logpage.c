/*
 * Parses answers of the platform's log.  All records are decoded into one
 * byte array.  The array may move while it grows, so the entries' pointers are
 * set after the last record.
 */

#include <jansson.h>
#include <sodium.h>
#include <string.h>

#include "json.h"
#include "logpage.h"

static json_t *
load_json(struct ogl_str text)
{
	struct ogl_faults *faults = ogl_faults_new();
	json_t *root = ogl_json_load(text, "", faults);

	ogl_faults_free(faults);
	return root;
}

static bool
get_u64(const json_t *o, const char *name, uint64_t *to)
{
	const json_t *v = json_object_get(o, name);

	if (!json_is_integer(v) || json_integer_value(v) < 0)
		return false;
	*to = (uint64_t)json_integer_value(v);
	return true;
}

static bool
append_base64(GByteArray *to, const json_t *data, size_t *n)
{
	size_t at = to->len;
	size_t len = json_string_length(data);
	size_t cap = len / 4 * 3 + 3;

	if (!json_is_string(data))
		return false;
	g_byte_array_set_size(to, (guint)(at + cap));
	if (sodium_base642bin(to->data + at, cap, json_string_value(data), len,
		NULL, n, NULL, sodium_base64_VARIANT_ORIGINAL) != 0)
		return false;
	g_byte_array_set_size(to, (guint)(at + *n));
	return true;
}

static bool
parse_entry(struct ogl_logpage *p, const json_t *v, uint64_t offset_min,
    struct ogl_log_entry *e)
{
	return get_u64(v, "offset", &e->offset) && e->offset >= offset_min &&
	       e->offset < p->next &&
	       append_base64(p->bytes, json_object_get(v, "data"), &e->data.n);
}

static bool
parse_entries(struct ogl_logpage *p, const json_t *list)
{
	size_t n = json_array_size(list);
	uint64_t offset_min = 0;
	size_t i;

	p->entries = g_new0(struct ogl_log_entry, n + 1);
	p->bytes = g_byte_array_new();
	for (i = 0; i < n; i++) {
		if (!parse_entry(
			p, json_array_get(list, i), offset_min, &p->entries[i]))
			return false;
		offset_min = p->entries[i].offset + 1;
	}
	p->n = n;
	return true;
}

static void
set_entry_pointers(struct ogl_logpage *p)
{
	const char *at = (const char *)p->bytes->data;
	size_t i;

	for (i = 0; i < p->n; i++) {
		p->entries[i].data.p = at;
		at += p->entries[i].data.n;
	}
}

bool
ogl_logpage_parse(struct ogl_logpage *p, struct ogl_str text)
{
	json_t *root = load_json(text);
	const json_t *list = json_object_get(root, "records");
	bool ok;

	memset(p, 0, sizeof *p);
	ok = json_is_array(list) && get_u64(root, "first", &p->first) &&
	     get_u64(root, "next", &p->next) && parse_entries(p, list);
	if (ok)
		set_entry_pointers(p);
	json_decref(root);
	return ok;
}

void
ogl_logpage_end(struct ogl_logpage *p)
{
	g_free(p->entries);
	if (p->bytes != NULL)
		g_byte_array_unref(p->bytes);
	memset(p, 0, sizeof *p);
}

bool
ogl_logpage_parse_offset(struct ogl_str text, uint64_t *offset)
{
	json_t *root = load_json(text);
	bool ok = get_u64(root, "offset", offset);

	json_decref(root);
	return ok;
}
