/*
 * A fake of the platform's log, without I/O.
 *
 * A stream is an array of the retained records and the offset of the oldest
 * one; the offsets of the others follow from their index.  Retention is applied
 * at each append and read.  One token bucket limits the append rate of all
 * streams together.
 */

#include "fake_log.h"

#define DEFAULT_APPENDS_PER_S 400.0
#define BUCKET_S 0.25 /* capacity of the bucket, in seconds at the rate */

struct record {
	GBytes *data;
	ogl_time at;
};

struct stream {
	GPtrArray *records;    /* of struct record, oldest first */
	uint64_t first_offset; /* offset of the oldest record */
};

struct fake_log {
	struct fake_log_script script;
	GHashTable *streams; /* name -> struct stream */
	double tokens;       /* appends allowed now */
	ogl_time filled_at;  /* last update of tokens */
	bool started;        /* tokens and filled_at are valid */
};

static void
record_free(void *p)
{
	struct record *r = p;

	g_bytes_unref(r->data);
	g_free(r);
}

static void
stream_free(void *p)
{
	struct stream *s = p;

	g_ptr_array_free(s->records, TRUE);
	g_free(s);
}

static struct stream *
stream_get(struct fake_log *l, const char *name)
{
	struct stream *s = g_hash_table_lookup(l->streams, name);

	if (s != NULL)
		return s;
	s = g_new0(struct stream, 1);
	s->records = g_ptr_array_new_with_free_func(record_free);
	g_hash_table_insert(l->streams, g_strdup(name), s);
	return s;
}

static void
stream_trim(struct fake_log *l, struct stream *s, ogl_time now)
{
	const struct fake_log_script *c = &l->script;
	guint drop = 0;

	if (c->keep_count != 0 && s->records->len > c->keep_count)
		drop = s->records->len - (guint)c->keep_count;
	while (c->keep_age != 0 && drop < s->records->len) {
		struct record *r = g_ptr_array_index(s->records, drop);

		if (now - r->at < c->keep_age)
			break;
		drop++;
	}
	if (drop > 0)
		g_ptr_array_remove_range(s->records, 0, drop);
	s->first_offset += drop;
}

static bool
take_token(struct fake_log *l, ogl_time now)
{
	double cap = MAX(1.0, l->script.appends_per_s * BUCKET_S);
	double since = (double)(now - l->filled_at) / (double)OGL_SEC;

	if (!l->started)
		l->tokens = cap;
	else if (since > 0)
		l->tokens =
		    MIN(cap, l->tokens + since * l->script.appends_per_s);
	l->started = true;
	l->filled_at = MAX(l->filled_at, now);
	if (l->tokens < 1.0)
		return false;
	l->tokens -= 1.0;
	return true;
}

struct fake_log *
fake_log_init(void)
{
	struct fake_log *l = g_new0(struct fake_log, 1);

	l->script.appends_per_s = DEFAULT_APPENDS_PER_S;
	l->streams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, stream_free);
	return l;
}

void
fake_log_end(struct fake_log *l)
{
	if (l == NULL)
		return;
	g_hash_table_destroy(l->streams);
	g_free(l);
}

struct fake_log_script *
fake_log_script(struct fake_log *l)
{
	return &l->script;
}

enum fake_log_result
fake_log_append(struct fake_log *l, const char *stream, struct ogl_str data,
    ogl_time now, uint64_t *offset)
{
	struct stream *s = stream_get(l, stream);
	bool lose = l->script.lose_answers > 0;
	struct record *r;

	if (l->script.outage && !lose)
		return FAKE_LOG_DOWN;
	if (!take_token(l, now))
		return FAKE_LOG_LIMITED;
	r = g_new(struct record, 1);
	r->data = g_bytes_new(data.p, data.n);
	r->at = now;
	*offset = s->first_offset + s->records->len;
	g_ptr_array_add(s->records, r);
	stream_trim(l, s, now);
	if (!lose)
		return FAKE_LOG_OK;
	l->script.lose_answers--;
	return FAKE_LOG_LOST;
}

enum fake_log_result
fake_log_read(struct fake_log *l, const char *stream, uint64_t from,
    ogl_time now, uint64_t *first, uint64_t *next,
    struct ogl_log_entry *entries, size_t max, size_t *n)
{
	struct stream *s = stream_get(l, stream);

	*n = 0;
	if (l->script.outage)
		return FAKE_LOG_DOWN;
	stream_trim(l, s, now);
	*first = s->first_offset;
	*next = s->first_offset + s->records->len;
	for (uint64_t o = MAX(from, s->first_offset); o < *next && *n < max;
	     o++) {
		struct record *r =
		    g_ptr_array_index(s->records, (guint)(o - s->first_offset));
		struct ogl_log_entry *e = &entries[(*n)++];

		e->offset = o;
		e->data.p = g_bytes_get_data(r->data, &e->data.n);
	}
	return FAKE_LOG_OK;
}
