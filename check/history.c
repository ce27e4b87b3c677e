/*
 * History of a run.
 *
 * One table names the fields of each type of event and their offsets in struct
 * history_event.  Printing, reading and copying all use it, so that a new field
 * needs one line.  A string chunk stores each distinct string once.
 */

#include <errno.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "history.h"

enum field_type {
	STR,
	U32,
	U64, /* a signed number in JSON, so that UINT64_MAX is -1 */
	BOOL,
	RESOURCES,
	ENUM /* a uint32_t, in JSON one of the names */
};

#define MAX_FIELDS 11 /* for one type, with the terminator */

struct field {
	const char *name; /* NULL ends a list */
	enum field_type type;
	size_t offset;            /* in struct history_event */
	const char *const *names; /* of ENUM, with a NULL at the end */
};

struct event_format {
	const char *name;
	struct field fields[MAX_FIELDS];
};

static const char *const verdict_names[] = {
    "not_run", "ran", "may_have_run", "broken", NULL};
static const char *const job_state_names[] = {
    "queued", "active", "done", "broken", "cancelled", "unknown", NULL};
static const char *const task_state_names[] = {"running", "throttled",
    "succeeded", "failed", "stopped", "checkpointed", "lapsed", "refused",
    NULL};
static const char *const node_state_names[] = {
    "up", "down", "paused", "resumed", "stopping", "exited", NULL};
static const char *const edit_type_names[] = {
    "limit", "key_created", "key_withdrawn", "other", NULL};

#define OFFSET(part, field) offsetof(struct history_event, u.part.field)
#define FIELD(part, field, type)                                               \
	{                                                                      \
#field, type, OFFSET(part, field), NULL                        \
	}
#define ENUM_FIELD(part, field, names)                                         \
	{                                                                      \
#field, ENUM, OFFSET(part, field), names                       \
	}
#define TASK_FIELDS                                                            \
	{                                                                      \
		FIELD(task, worker, STR), FIELD(task, task, STR),              \
		    FIELD(task, attempt, U32), FIELD(task, team, STR),         \
		    FIELD(task, boot, U64), FIELD(task, res, RESOURCES),       \
		    ENUM_FIELD(task, state, task_state_names),                 \
	}

static const struct event_format event_formats[HISTORY_NTYPES] = {
    [HISTORY_CALL] = {"call",
	{FIELD(call, call, STR), FIELD(call, node, STR), FIELD(call, team, STR),
	    FIELD(call, key, STR), FIELD(call, request_id, STR),
	    FIELD(call, kind, STR), FIELD(call, body, STR),
	    FIELD(call, timeout_ms, U64), FIELD(call, idempotent, BOOL),
	    FIELD(call, job, BOOL)}},
    [HISTORY_ANSWER] = {"answer",
	{FIELD(answer, call, STR), ENUM_FIELD(answer, verdict, verdict_names),
	    FIELD(answer, status, U32), FIELD(answer, retry_after_ms, U64),
	    FIELD(answer, body, STR)}},
    [HISTORY_JOB] = {"job", {FIELD(job, call, STR), FIELD(job, job, STR),
				ENUM_FIELD(job, state, job_state_names),
				ENUM_FIELD(job, verdict, verdict_names)}},
    [HISTORY_RUN] = {"run",
	{FIELD(run, exec, STR), FIELD(run, body, STR), FIELD(run, team, STR),
	    FIELD(run, kind, STR), FIELD(run, token, U64),
	    FIELD(run, until, U64), FIELD(run, whole, BOOL)}},
    [HISTORY_WORKER] = {"worker",
	{FIELD(worker, worker, STR), FIELD(worker, boot, U64),
	    FIELD(worker, capacity, RESOURCES)}},
    [HISTORY_LEASE] = {"lease",
	{FIELD(lease, worker, STR), FIELD(lease, owner, STR),
	    FIELD(lease, shard, U32), FIELD(lease, epoch, U64),
	    FIELD(lease, until, U64)}},
    [HISTORY_START] = {"start", TASK_FIELDS},
    [HISTORY_END] = {"end", TASK_FIELDS},
    [HISTORY_LAPSE] = {"lapse", TASK_FIELDS},
    [HISTORY_CRASH] = {"crash", TASK_FIELDS},
    [HISTORY_LISTED] = {"listed",
	{FIELD(listed, target, STR), FIELD(listed, leaving, BOOL)}},
    [HISTORY_EDIT] = {"edit",
	{ENUM_FIELD(edit, what, edit_type_names), FIELD(edit, accepted, BOOL),
	    FIELD(edit, asked, U64), FIELD(edit, version, U64),
	    FIELD(edit, team, STR), FIELD(edit, key, STR),
	    FIELD(edit, limit, U64)}},
    [HISTORY_IN_FORCE] = {"in_force",
	{FIELD(in_force, node, STR), FIELD(in_force, version, U64)}},
    [HISTORY_NODE] = {"node",
	{FIELD(node, node, STR), ENUM_FIELD(node, state, node_state_names)}},
    [HISTORY_CUT] = {"cut", {FIELD(cut, node, STR), FIELD(cut, call, STR)}},
    [HISTORY_FAULT] = {"fault",
	{FIELD(fault, what, STR), FIELD(fault, who, STR),
	    FIELD(fault, on, BOOL)}},
    [HISTORY_OVER] = {"over", {{0}}},
};

struct ogl_history {
	FILE *out;
	bool owns_out;
	GArray *events; /* of struct history_event */
	GPtrArray *files;
	GStringChunk *strings;
	uint32_t nadded; /* events added by ogl_history_add() */
};

struct ogl_history *
ogl_history_init(FILE *out)
{
	struct ogl_history *h = g_new0(struct ogl_history, 1);

	h->out = out;
	h->events = g_array_new(FALSE, FALSE, sizeof(struct history_event));
	h->files = g_ptr_array_new_with_free_func(g_free);
	h->strings = g_string_chunk_new(1 << 16);
	g_ptr_array_add(h->files, g_strdup("")); /* file of added events */
	return h;
}

struct ogl_history *
ogl_history_open(const char *file)
{
	FILE *out = fopen(file, "w");
	struct ogl_history *h;

	if (out == NULL) {
		fprintf(stderr, "history: %s: %s\n", file, g_strerror(errno));
		return NULL;
	}
	h = ogl_history_init(out);
	h->owns_out = true;
	return h;
}

void
ogl_history_end(struct ogl_history *h)
{
	if (h == NULL)
		return;
	if (h->owns_out)
		fclose(h->out);
	g_array_free(h->events, TRUE);
	g_ptr_array_free(h->files, TRUE);
	g_string_chunk_free(h->strings);
	g_free(h);
}

const struct history_event *
ogl_history_events(const struct ogl_history *h, size_t *n)
{
	*n = h->events->len;
	return (const struct history_event *)(void *)h->events->data;
}

const char *
ogl_history_file(const struct ogl_history *h, uint32_t file)
{
	return g_ptr_array_index(h->files, file);
}

/* ---- printing ---------------------------------------------------------- */

static json_t *
field_print(const struct field *f, const struct history_event *ev)
{
	const char *base = (const char *)ev + f->offset;
	const void *p = base;

	switch (f->type) {
	case STR: {
		const char *s = *(const char *const *)p;

		return json_string(s != NULL ? s : "");
	}
	case U32:
		return json_integer(*(const uint32_t *)p);
	case U64:
		return json_integer((json_int_t)(*(const uint64_t *)p));
	case BOOL:
		return json_boolean(*(const bool *)p);
	case RESOURCES: {
		const struct ogl_res *r = p;

		return json_pack("[I, I, I]", (json_int_t)r->cpu_milli,
		    (json_int_t)r->mem_mb, (json_int_t)r->accel);
	}
	default:
		return json_string(f->names[*(const uint32_t *)p]);
	}
}

char *
ogl_history_print(const struct history_event *ev)
{
	const struct event_format *format = &event_formats[ev->type];
	json_t *o = json_pack(
	    "{s:I, s:s}", "at", (json_int_t)ev->at, "event", format->name);
	char *text;
	char *line;

	for (const struct field *f = format->fields; f->name != NULL; f++)
		json_object_set_new(o, f->name, field_print(f, ev));
	text = json_dumps(o, JSON_COMPACT);
	line = g_strdup(text);
	free(text);
	json_decref(o);
	return line;
}

/* ---- adding ------------------------------------------------------------ */

/* Appends the event after replacing its strings by copies in the history. */
static void
append(struct ogl_history *h, struct history_event *ev)
{
	for (const struct field *f = event_formats[ev->type].fields;
	     f->name != NULL; f++) {
		const char **s =
		    (const char **)(void *)((char *)ev + f->offset);

		if (f->type == STR)
			*s = g_string_chunk_insert_const(
			    h->strings, *s != NULL ? *s : "");
	}
	g_array_append_val(h->events, *ev);
}

void
ogl_history_add(struct ogl_history *h, const struct history_event *ev)
{
	struct history_event copy = *ev;
	char *line;

	copy.file = 0;
	copy.line = ++h->nadded;
	append(h, &copy);
	if (h->out == NULL)
		return;
	line = ogl_history_print(ev);
	fprintf(h->out, "%s\n", line);
	fflush(h->out);
	g_free(line);
}

/* ---- reading ----------------------------------------------------------- */

static bool
read_resources(struct ogl_res *r, json_t *v)
{
	json_int_t n[3];

	if (json_unpack(v, "[I, I, I!]", &n[0], &n[1], &n[2]) != 0)
		return false;
	r->cpu_milli = (uint32_t)n[0];
	r->mem_mb = (uint32_t)n[1];
	r->accel = (uint32_t)n[2];
	return true;
}

static bool
read_enum(uint32_t *to, const char *const *names, json_t *v)
{
	const char *s = json_string_value(v);

	for (uint32_t i = 0; s != NULL && names[i] != NULL; i++) {
		if (strcmp(names[i], s) == 0) {
			*to = i;
			return true;
		}
	}
	return false;
}

/* An absent field stays zero or empty.  Returns false if the value has another
 * type. */
static bool
read_field(const struct field *f, struct history_event *ev, json_t *v)
{
	void *p = (char *)ev + f->offset;

	if (v == NULL)
		return true;
	switch (f->type) {
	case STR:
		*(const char **)p = json_string_value(v);
		return json_is_string(v);
	case U32:
		*(uint32_t *)p = (uint32_t)json_integer_value(v);
		return json_is_integer(v);
	case U64:
		*(uint64_t *)p = (uint64_t)json_integer_value(v);
		return json_is_integer(v);
	case BOOL:
		*(bool *)p = json_is_true(v);
		return json_is_boolean(v);
	case RESOURCES:
		return read_resources(p, v);
	default:
		return read_enum(p, f->names, v);
	}
}

static const struct field *
find_field(const struct event_format *format, const char *name)
{
	for (const struct field *f = format->fields; f->name != NULL; f++) {
		if (strcmp(f->name, name) == 0)
			return f;
	}
	return NULL;
}

/* Reads an event whose strings belong to o.  Returns NULL, or an error message
 * to be freed with g_free(). */
static char *
read_event(struct history_event *ev, json_t *o)
{
	const char *type = json_string_value(json_object_get(o, "event"));
	json_t *at = json_object_get(o, "at");
	const char *name;
	json_t *v;

	memset(ev, 0, sizeof(*ev));
	while (ev->type < HISTORY_NTYPES && type != NULL &&
	       strcmp(event_formats[ev->type].name, type) != 0)
		ev->type++;
	if (type == NULL || ev->type == HISTORY_NTYPES)
		return g_strdup_printf(
		    "unknown event \"%s\"", type != NULL ? type : "");
	if (!json_is_integer(at))
		return g_strdup("no time \"at\"");
	ev->at = json_integer_value(at);
	json_object_foreach(o, name, v)
	{
		const struct field *f =
		    find_field(&event_formats[ev->type], name);

		if (strcmp(name, "at") == 0 || strcmp(name, "event") == 0)
			continue;
		if (f == NULL)
			return g_strdup_printf("unknown field \"%s\"", name);
		if (!read_field(f, ev, v))
			return g_strdup_printf("wrong value of \"%s\"", name);
	}
	return NULL;
}

static bool
read_line(
    struct ogl_history *h, uint32_t line, const char *text, GError **error)
{
	json_error_t e;
	json_t *o = json_loads(text, 0, &e);
	struct history_event ev = {0};
	char *message = o != NULL ? read_event(&ev, o) : g_strdup(e.text);
	bool ok = message == NULL;

	if (ok) {
		ev.file = h->files->len - 1;
		ev.line = line;
		append(h, &ev);
	} else
		g_set_error(error, OGL_ERROR, OGL_ERROR_INPUT, "%s:%u: %s",
		    ogl_history_file(h, h->files->len - 1), line, message);
	g_free(message);
	json_decref(o);
	return ok;
}

bool
ogl_history_read(struct ogl_history *h, const char *file, GError **error)
{
	FILE *in = fopen(file, "r");
	char *text = NULL;
	size_t size = 0;
	bool ok = true;

	if (in == NULL) {
		g_set_error(error, OGL_ERROR, OGL_ERROR_INPUT, "%s: %s", file,
		    g_strerror(errno));
		return false;
	}
	g_ptr_array_add(h->files, g_strdup(file));
	for (uint32_t line = 1; ok && getline(&text, &size, in) >= 0; line++) {
		if (text[0] != '#')
			ok = read_line(h, line, text, error);
	}
	free(text);
	fclose(in);
	return ok;
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
	const struct history_event *x = a;
	const struct history_event *y = b;

	return (x->at > y->at) - (x->at < y->at);
}

void
ogl_history_sort(struct ogl_history *h)
{
	g_array_sort(
	    h->events, compare_times); /* GLib documents it as stable */
}
