/*
 * Messages as JSON, driven by their protobuf-c descriptors.
 *
 * Reading has two steps: jansson parses the text into a tree of values, then
 * one walk over that tree fills in the message at the offsets given by its
 * descriptor.  The walk continues after a fault, so that one answer reports all
 * faults.  Where a field is stored:
 *
 *     singular    the value at `offset`
 *     oneof       the value at `offset`, the field's id in the int at
 *                 `quantifier_offset`, which all fields of the oneof share
 *     repeated    a pointer to the array at `offset`, its length in the
 *                 size_t at `quantifier_offset`
 *
 * All memory comes from malloc (GLib's allocator is malloc), since
 * protobuf_c_message_free_unpacked releases it with free.
 *
 * Common JSON parsers cannot hold an integer above INT64_MAX exactly.  Such a
 * uint64 is written as a string of digits, and that form is accepted for such
 * values only.
 */

#include <inttypes.h>
#include <string.h>

#include "json.h"

#define BRIEF_MAX_BYTES 60 /* longest quotation of a faulty value */
#define ROOT_PATH "$"      /* path of the whole text */

/* State of one walk. */
struct reader {
	struct ogl_faults *faults;
	GString *path;  /* path of the current value */
	unsigned depth; /* number of messages that contain it */
};

static ProtobufCMessage *read_message(
    struct reader *r, const ProtobufCMessageDescriptor *d, const json_t *v);

/* ---- text to values --------------------------------------------------- */

/*
 * Whether the nesting of brackets outside strings is within the limit.  The
 * parser recurses once per level, so a text of nothing but brackets could
 * otherwise overflow the stack.
 */
static bool
depth_ok(struct ogl_str t)
{
	bool in_string = false;
	unsigned depth = 0;

	for (size_t i = 0; i < t.n; i++) {
		char c = t.p[i];

		if (in_string && c == '\\')
			i++;
		else if (c == '"')
			in_string = !in_string;
		else if (!in_string && (c == '{' || c == '['))
			depth++;
		else if (!in_string && (c == '}' || c == ']') && depth > 0)
			depth--;
		if (depth > OGL_JSON_MAX_DEPTH)
			return false;
	}
	return true;
}

json_t *
ogl_json_load(struct ogl_str text, const char *path, struct ogl_faults *faults)
{
	json_error_t err;
	json_t *v;
	char *value;
	char *allowed;

	if (!depth_ok(text)) {
		ogl_faults_add(faults, path, "nested too deeply",
		    "at most " G_STRINGIFY(OGL_JSON_MAX_DEPTH) " levels");
		return NULL;
	}
	v = json_loadb(text.p != NULL ? text.p : "", text.n,
	    JSON_REJECT_DUPLICATES | JSON_DECODE_ANY, &err);
	if (v != NULL)
		return v;
	value = g_strdup_printf("line %d, column %d", err.line, err.column);
	allowed = g_strdup_printf("JSON: %s", err.text);
	ogl_faults_add(faults, path, value, allowed);
	g_free(allowed);
	g_free(value);
	return NULL;
}

char *
ogl_json_brief(const json_t *v)
{
	char *text = json_dumps(v, JSON_COMPACT | JSON_ENCODE_ANY);
	char *brief;
	size_t n;

	if (text == NULL)
		return g_strdup("?");
	n = strlen(text);
	if (n <= BRIEF_MAX_BYTES) {
		brief = g_strdup(text);
	} else {
		/* Don't cut inside a UTF-8 character: the text is quoted in
		 * a JSON answer. */
		n = BRIEF_MAX_BYTES;
		while (n > 0 && ((unsigned char)text[n] & 0xC0) == 0x80)
			n--;
		brief = g_strdup_printf("%.*s...", (int)n, text);
	}
	free(text);
	return brief;
}

/* ---- values to messages ----------------------------------------------- */

static void
add_fault(struct reader *r, const json_t *v, const char *allowed)
{
	char *brief = ogl_json_brief(v);

	ogl_faults_add(r->faults, r->path->len > 0 ? r->path->str : ROOT_PATH,
	    brief, allowed);
	g_free(brief);
}

/* Appends a field name to the path.  Returns the previous length, for
 * truncating the path again. */
static size_t
path_add_field(struct reader *r, const char *name)
{
	size_t old_len = r->path->len;

	if (old_len > 0)
		g_string_append_c(r->path, '.');
	g_string_append(r->path, name);
	return old_len;
}

static size_t
path_add_index(struct reader *r, size_t i)
{
	size_t old_len = r->path->len;

	g_string_append_printf(r->path, "[%zu]", i);
	return old_len;
}

static bool
read_uint32(struct reader *r, const json_t *v, uint32_t *to)
{
	json_int_t n = json_integer_value(v);

	if (!json_is_integer(v) || n < 0 || n > UINT32_MAX) {
		add_fault(r, v, "integer from 0 to 4294967295");
		return false;
	}
	*to = (uint32_t)n;
	return true;
}

/* Reads the string form of a uint64 above INT64_MAX. */
static bool
read_large_uint64(const json_t *v, uint64_t *to)
{
	const char *s = json_string_value(v);

	return s != NULL && s[0] != '0' &&
	       g_ascii_string_to_unsigned(
		   s, 10, (uint64_t)INT64_MAX + 1, UINT64_MAX, to, NULL);
}

static bool
read_uint64(struct reader *r, const json_t *v, uint64_t *to)
{
	if (json_is_integer(v) && json_integer_value(v) >= 0) {
		*to = (uint64_t)json_integer_value(v);
		return true;
	}
	if (read_large_uint64(v, to))
		return true;
	add_fault(r, v,
	    "integer from 0 to 9223372036854775807, larger ones as a string");
	return false;
}

static bool
read_bool(struct reader *r, const json_t *v, protobuf_c_boolean *to)
{
	if (!json_is_boolean(v)) {
		add_fault(r, v, "true or false");
		return false;
	}
	*to = json_is_true(v);
	return true;
}

static bool
read_enum(struct reader *r, const ProtobufCEnumDescriptor *d, const json_t *v,
    int *to)
{
	const char *name = json_string_value(v);
	const ProtobufCEnumValue *found = NULL;
	GString *names;

	if (name != NULL)
		found = protobuf_c_enum_descriptor_get_value_by_name(d, name);
	if (found != NULL) {
		*to = found->value;
		return true;
	}
	names = g_string_new("one of");
	for (unsigned i = 0; i < d->n_values; i++)
		g_string_append_printf(
		    names, "%s %s", i > 0 ? "," : "", d->values[i].name);
	add_fault(r, v, names->str);
	g_string_free(names, TRUE);
	return false;
}

static bool
read_string(struct reader *r, const json_t *v, char **to)
{
	if (!json_is_string(v)) {
		add_fault(r, v, "string");
		return false;
	}
	*to = g_strdup(json_string_value(v));
	return true;
}

/*
 * GLib's decoder skips characters that are not base64, so the result could
 * differ from what the sender meant.  Only text that encodes back to itself is
 * accepted.
 */
static bool
read_bytes(struct reader *r, const json_t *v, ProtobufCBinaryData *to)
{
	const char *text = json_string_value(v);
	guchar *data = NULL;
	gsize n = 0;
	char *encoded = NULL;
	bool ok = false;

	if (text == NULL)
		goto out;
	data = g_base64_decode(text, &n);
	encoded = g_base64_encode(data, n);
	ok = strcmp(encoded, text) == 0;
out:
	g_free(encoded);
	if (!ok) {
		g_free(data);
		add_fault(r, v, "string of padded base64");
		return false;
	}
	to->data = data;
	to->len = n;
	return true;
}

/* Reads one value of the field's type into *to. */
static bool
read_value(struct reader *r, const ProtobufCFieldDescriptor *f, const json_t *v,
    void *to)
{
	switch (f->type) {
	case PROTOBUF_C_TYPE_UINT32:
		return read_uint32(r, v, to);
	case PROTOBUF_C_TYPE_UINT64:
		return read_uint64(r, v, to);
	case PROTOBUF_C_TYPE_BOOL:
		return read_bool(r, v, to);
	case PROTOBUF_C_TYPE_ENUM:
		return read_enum(r, f->descriptor, v, to);
	case PROTOBUF_C_TYPE_STRING:
		return read_string(r, v, to);
	case PROTOBUF_C_TYPE_BYTES:
		return read_bytes(r, v, to);
	case PROTOBUF_C_TYPE_MESSAGE: {
		ProtobufCMessage *m = read_message(r, f->descriptor, v);

		*(ProtobufCMessage **)to = m;
		return m != NULL;
	}
	default:
		add_fault(r, v, "nothing: the schema's type has no JSON form");
		return false;
	}
}

static size_t
value_size(const ProtobufCFieldDescriptor *f)
{
	switch (f->type) {
	case PROTOBUF_C_TYPE_UINT64:
		return sizeof(uint64_t);
	case PROTOBUF_C_TYPE_STRING:
		return sizeof(char *);
	case PROTOBUF_C_TYPE_BYTES:
		return sizeof(ProtobufCBinaryData);
	case PROTOBUF_C_TYPE_MESSAGE:
		return sizeof(ProtobufCMessage *);
	default:
		return sizeof(uint32_t);
	}
}

/* The stored length counts only the elements read so far, so that the message
 * can be freed after a fault in the list. */
static void
read_list(struct reader *r, const ProtobufCFieldDescriptor *f, const json_t *v,
    char *base)
{
	size_t *n = (size_t *)(void *)(base + f->quantifier_offset);
	char **array = (char **)(void *)(base + f->offset);
	size_t size = value_size(f);
	size_t len = json_array_size(v);

	if (!json_is_array(v)) {
		add_fault(r, v, "list");
		return;
	}
	if (len == 0)
		return;
	*array = g_malloc0_n(len, size);
	for (size_t i = 0; i < len; i++) {
		size_t old_len = path_add_index(r, i);

		if (read_value(r, f, json_array_get(v, i), *array + *n * size))
			(*n)++;
		g_string_truncate(r->path, old_len);
	}
}

static void
read_field(struct reader *r, const ProtobufCFieldDescriptor *f, const json_t *v,
    char *base)
{
	uint32_t *oneof_case =
	    (uint32_t *)(void *)(base + f->quantifier_offset);
	bool oneof = (f->flags & PROTOBUF_C_FIELD_FLAG_ONEOF) != 0;

	if (f->label == PROTOBUF_C_LABEL_REPEATED) {
		read_list(r, f, v, base);
		return;
	}
	if (oneof && *oneof_case != 0) {
		add_fault(r, v, "only one field of its choice");
		return;
	}
	if (read_value(r, f, v, base + f->offset) && oneof)
		*oneof_case = f->id;
}

static ProtobufCMessage *
read_message(
    struct reader *r, const ProtobufCMessageDescriptor *d, const json_t *v)
{
	size_t faults_before = ogl_faults_count(r->faults);
	ProtobufCMessage *m;
	const char *key;
	json_t *value;

	if (!json_is_object(v)) {
		add_fault(r, v, "object");
		return NULL;
	}
	if (r->depth >= OGL_JSON_MAX_DEPTH) {
		add_fault(r, v, "less nesting");
		return NULL;
	}
	r->depth++;
	m = g_malloc0(d->sizeof_message);
	protobuf_c_message_init(d, m);
	json_object_foreach((json_t *)v, key, value)
	{
		const ProtobufCFieldDescriptor *f =
		    protobuf_c_message_descriptor_get_field_by_name(d, key);
		size_t old_len = path_add_field(r, key);

		if (f != NULL)
			read_field(r, f, value, (char *)m);
		else
			add_fault(r, value, "no field of this name");
		g_string_truncate(r->path, old_len);
	}
	r->depth--;
	if (ogl_faults_count(r->faults) > faults_before) {
		protobuf_c_message_free_unpacked(m, NULL);
		m = NULL;
	}
	return m;
}

ProtobufCMessage *
ogl_json_parse(const ProtobufCMessageDescriptor *d, struct ogl_str text,
    struct ogl_faults *faults)
{
	struct reader r = {faults, NULL, 0};
	ProtobufCMessage *m = NULL;
	json_t *v = ogl_json_load(text, ROOT_PATH, faults);

	if (v == NULL)
		return NULL;
	r.path = g_string_new(NULL);
	m = read_message(&r, d, v);
	g_string_free(r.path, TRUE);
	json_decref(v);
	return m;
}

/* ---- messages to text ------------------------------------------------- */

static json_t *write_message(const ProtobufCMessage *m);

static json_t *
write_uint64(uint64_t n)
{
	char digits[24];

	if (n <= INT64_MAX)
		return json_integer((json_int_t)n);
	g_snprintf(digits, sizeof(digits), "%" PRIu64, n);
	return json_string(digits);
}

static json_t *
write_enum(const ProtobufCEnumDescriptor *d, int n)
{
	const ProtobufCEnumValue *v =
	    protobuf_c_enum_descriptor_get_value(d, n);

	return v != NULL ? json_string(v->name) : json_integer(n);
}

/* jansson accepts only UTF-8.  Invalid bytes are replaced, since otherwise the
 * whole message would be lost. */
static json_t *
write_string(const char *s)
{
	json_t *v = json_string(s != NULL ? s : "");
	char *valid;

	if (v != NULL)
		return v;
	valid = g_utf8_make_valid(s, -1);
	v = json_string(valid);
	g_free(valid);
	return v;
}

static json_t *
write_bytes(const ProtobufCBinaryData *b)
{
	char *text = g_base64_encode(b->data, b->len);
	json_t *v = json_string(text);

	g_free(text);
	return v;
}

/* JSON of one value of the field's type; NULL for an unset message. */
static json_t *
write_value(const ProtobufCFieldDescriptor *f, const void *at)
{
	switch (f->type) {
	case PROTOBUF_C_TYPE_UINT32:
		return json_integer(*(const uint32_t *)at);
	case PROTOBUF_C_TYPE_UINT64:
		return write_uint64(*(const uint64_t *)at);
	case PROTOBUF_C_TYPE_BOOL:
		return json_boolean(*(const protobuf_c_boolean *)at);
	case PROTOBUF_C_TYPE_ENUM:
		return write_enum(f->descriptor, *(const int *)at);
	case PROTOBUF_C_TYPE_STRING:
		return write_string(*(char *const *)at);
	case PROTOBUF_C_TYPE_BYTES:
		return write_bytes(at);
	case PROTOBUF_C_TYPE_MESSAGE: {
		const ProtobufCMessage *m = *(ProtobufCMessage *const *)at;

		return m != NULL ? write_message(m) : NULL;
	}
	default:
		return NULL;
	}
}

static json_t *
write_list(const ProtobufCFieldDescriptor *f, const char *base)
{
	size_t n = *(const size_t *)(const void *)(base + f->quantifier_offset);
	const char *array = *(char *const *)(const void *)(base + f->offset);
	json_t *list;

	if (n == 0)
		return NULL;
	list = json_array();
	for (size_t i = 0; i < n; i++)
		json_array_append_new(
		    list, write_value(f, array + i * value_size(f)));
	return list;
}

/* JSON of the field, or NULL when it is left out. */
static json_t *
write_field(const ProtobufCFieldDescriptor *f, const char *base)
{
	const uint32_t *oneof_case =
	    (const uint32_t *)(const void *)(base + f->quantifier_offset);

	if (f->label == PROTOBUF_C_LABEL_REPEATED)
		return write_list(f, base);
	if ((f->flags & PROTOBUF_C_FIELD_FLAG_ONEOF) != 0 &&
	    *oneof_case != f->id)
		return NULL;
	return write_value(f, base + f->offset);
}

static json_t *
write_message(const ProtobufCMessage *m)
{
	json_t *o = json_object();

	for (unsigned i = 0; i < m->descriptor->n_fields; i++) {
		const ProtobufCFieldDescriptor *f = &m->descriptor->fields[i];
		json_t *v = write_field(f, (const char *)m);

		if (v != NULL)
			json_object_set_new(o, f->name, v);
	}
	return o;
}

char *
ogl_json_print(const ProtobufCMessage *m, size_t *n)
{
	json_t *o = write_message(m);
	char *text = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	if (n != NULL)
		*n = strlen(text);
	return text;
}
