/*
 * One stream of the log: group commit on one side, following on the other.
 *
 * Records wait up to commit_ms and leave in one append; one append is under
 * way at a time.  Nothing takes effect when it is sent, only when it is
 * applied in log order.  When the answer's offset is the very one we expect
 * next, no other writer came between and the batch is applied at once;
 * otherwise the stream is read up to it.
 *
 * An append whose answer is lost may have taken effect, or may take effect
 * later.  It is settled by reading up to the end; if the batch is not there
 * it is sent again under the same sequence numbers.  Should both copies
 * arrive, followers apply the first and pass over the second, since its
 * numbers are not above the last applied of that writer's boot.
 */

#include <stdlib.h>
#include <string.h>

#include "stream.h"

enum {
	BATCH_RECORDS = 4096,     /* records in one append at most */
	BATCH_BYTES = 512 * 1024, /* bytes in one append, about */
	IO_TIMEOUT_MS = 1500,     /* for one append or read */
	BACKOFF_FIRST_MS = 40,    /* after a failed append or read */
	BACKOFF_MOST_MS = 1000
};

/* Last sequence applied of one writer. */
struct writer_seen {
	uint64_t boot;
	uint64_t seq;
};

struct ogl_stream {
	char *name;
	uint64_t token_base;
	uint32_t token_count;
	const struct ogl_node_config *cfg;
	const struct ogl_stream_ops *ops;
	void *ctx;
	GHashTable *seen; /* writer -> struct writer_seen */
	uint64_t offset;  /* next to apply */
	ogl_time current;

	ogl_time poll_us; /* 0: not following */
	ogl_time read_due;
	uint64_t read_token; /* 0: no read under way */
	ogl_time read_sent;
	uint32_t read_backoff;

	GQueue *waiting; /* Ogl__Record, not sent */
	GPtrArray *sent; /* Ogl__Record, fate unknown */
	GBytes *batch;   /* the sent ones, packed */
	uint64_t seq;
	uint32_t most_records; /* in one append */
	ogl_time append_due;
	uint64_t append_token; /* 0: no append under way */
	ogl_time append_sent;
	uint32_t append_backoff;
	bool settle; /* read up to the end before sending again */
	ogl_time settle_from;
	uint64_t appends;
};

static void
record_free(void *r)
{
	ogl__record__free_unpacked(r, NULL);
}

struct ogl_stream *
ogl_stream_init(const char *name, uint64_t token_base,
    const struct ogl_node_config *c, const struct ogl_stream_ops *ops,
    void *ctx)
{
	struct ogl_stream *s = g_new0(struct ogl_stream, 1);

	s->name = g_strdup(name);
	s->token_base = token_base;
	s->cfg = c;
	s->ops = ops;
	s->ctx = ctx;
	s->seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->waiting = g_queue_new();
	s->sent = g_ptr_array_new_with_free_func(record_free);
	s->read_due = OGL_NEVER;
	s->most_records = BATCH_RECORDS;
	return s;
}

void
ogl_stream_end(struct ogl_stream *s)
{
	if (s == NULL)
		return;
	ogl_stream_drop(s);
	g_queue_free(s->waiting);
	g_ptr_array_free(s->sent, TRUE);
	g_hash_table_destroy(s->seen);
	g_free(s->name);
	g_free(s);
}

void
ogl_stream_single(struct ogl_stream *s)
{
	s->most_records = 1;
}

void
ogl_stream_poll(struct ogl_stream *s, uint32_t poll_ms, ogl_time now)
{
	s->poll_us = poll_ms * OGL_MS;
	s->read_due = MIN(s->read_due, now);
}

void
ogl_stream_read_now(struct ogl_stream *s, ogl_time now)
{
	s->read_due = MIN(s->read_due, now);
}

ogl_time
ogl_stream_current(const struct ogl_stream *s)
{
	return s->current;
}

uint64_t
ogl_stream_offset(const struct ogl_stream *s)
{
	return s->offset;
}

uint64_t
ogl_stream_appends(const struct ogl_stream *s)
{
	return s->appends;
}

bool
ogl_stream_idle(const struct ogl_stream *s)
{
	return s->append_token == 0 && s->sent->len == 0;
}

size_t
ogl_stream_pending(const struct ogl_stream *s)
{
	return s->waiting->length + s->sent->len;
}

void
ogl_stream_drop(struct ogl_stream *s)
{
	Ogl__Record *r;

	while ((r = g_queue_pop_head(s->waiting)) != NULL)
		record_free(r);
	g_ptr_array_set_size(s->sent, 0);
	g_clear_pointer(&s->batch, g_bytes_unref);
	s->settle = false;
	s->append_token = 0;
}

void
ogl_stream_add(struct ogl_stream *s, Ogl__Record *r, ogl_time now)
{
	if (s->waiting->length == 0)
		s->append_due =
		    MAX(s->append_due, now + s->cfg->commit_ms * OGL_MS);
	g_queue_push_tail(s->waiting, r);
}

void
ogl_stream_put_first(struct ogl_stream *s, Ogl__Record *r)
{
	g_queue_push_head(s->waiting, r);
}

static uint64_t
new_token(struct ogl_stream *s)
{
	s->token_count++;
	if (s->token_count == 0)
		s->token_count = 1;
	return s->token_base + s->token_count;
}

/* ---- applying --------------------------------------------------------- */

/* Whether the record is new to this stream; notes it as applied. */
static bool
first_time(struct ogl_stream *s, const Ogl__Record *r)
{
	struct writer_seen *w = g_hash_table_lookup(s->seen, r->writer);

	if (w == NULL) {
		w = g_new0(struct writer_seen, 1);
		g_hash_table_insert(s->seen, g_strdup(r->writer), w);
	}
	if (r->boot < w->boot || (r->boot == w->boot && r->seq <= w->seq))
		return false;
	w->boot = r->boot;
	w->seq = r->seq;
	return true;
}

static void
apply_batch(struct ogl_stream *s, struct ogl_str data, ogl_time now)
{
	uint64_t offset = s->offset++;
	Ogl__Batch *b =
	    ogl__batch__unpack(NULL, data.n, (const uint8_t *)data.p);

	if (b == NULL)
		return; /* not ours: nothing in it can concern us */
	for (size_t i = 0; i < b->n_records; i++) {
		if (first_time(s, b->records[i]))
			s->ops->record(s->ctx, b->records[i], offset, now);
	}
	ogl__batch__free_unpacked(b, NULL);
}

/* Forgets sent records that turned up in what was applied. */
static void
settle_sent(struct ogl_stream *s)
{
	const struct writer_seen *w =
	    g_hash_table_lookup(s->seen, s->cfg->name);
	const Ogl__Record *last;

	if (s->sent->len == 0 || w == NULL || w->boot != s->cfg->boot)
		return;
	last = g_ptr_array_index(s->sent, s->sent->len - 1);
	if (w->seq < last->seq)
		return;
	g_ptr_array_set_size(s->sent, 0);
	g_clear_pointer(&s->batch, g_bytes_unref);
	s->settle = false;
}

/* ---- reading ---------------------------------------------------------- */

static uint32_t
backoff(uint32_t *ms)
{
	*ms = *ms == 0 ? BACKOFF_FIRST_MS : MIN(*ms * 2, BACKOFF_MOST_MS);
	return *ms;
}

static void
send_read(struct ogl_stream *s, ogl_time now, struct ogl_actions *out)
{
	struct ogl_action *a = ogl_actions_new(out, OGL_ACT_LOG_READ);

	a->name = g_strdup(s->name);
	a->from = s->offset;
	a->timeout_ms = IO_TIMEOUT_MS;
	a->token = new_token(s);
	s->read_token = a->token;
	s->read_sent = now;
	s->read_due = OGL_NEVER;
}

static void
take_entries(struct ogl_stream *s, const struct ogl_event *ev, ogl_time now)
{
	if (ev->u.read.first > s->offset) {
		s->offset = ev->u.read.first;
		s->ops->gap(s->ctx, s->offset);
	}
	for (size_t i = 0; i < ev->u.read.n; i++) {
		if (ev->u.read.entries[i].offset == s->offset)
			apply_batch(s, ev->u.read.entries[i].data, now);
	}
}

static void
on_read(struct ogl_stream *s, const struct ogl_event *ev, ogl_time now)
{
	ogl_time wait = s->poll_us > 0 ? s->poll_us : OGL_NEVER - now;

	s->read_token = 0;
	if (ev->io != OGL_IO_OK) {
		s->read_due = now + backoff(&s->read_backoff) * OGL_MS;
		return;
	}
	s->read_backoff = 0;
	take_entries(s, ev, now);
	settle_sent(s);
	if (s->offset < ev->u.read.next) {
		s->read_due = now;
		return;
	}
	s->current = MAX(s->current, s->read_sent);
	if (s->settle && s->read_sent >= s->settle_from)
		s->settle = false; /* not there: send it again */
	s->read_due = MIN(s->read_due, now + wait);
}

/* ---- appending -------------------------------------------------------- */

/* Numbers begin at the time of the first batch, so that a stream closed and
 * opened again within one boot goes on above its old numbers. */
static void
fill_batch(struct ogl_stream *s, ogl_time now)
{
	Ogl__Batch b = OGL__BATCH__INIT;
	size_t bytes = 0;
	uint8_t *buf;

	if (s->seq == 0)
		s->seq = (uint64_t)now;

	while (s->waiting->length > 0 && s->sent->len < s->most_records &&
	       bytes < BATCH_BYTES) {
		Ogl__Record *r = g_queue_pop_head(s->waiting);

		r->seq = ++s->seq;
		r->boot = s->cfg->boot;
		if (r->writer != NULL && r->writer != protobuf_c_empty_string)
			free(r->writer);
		r->writer = strdup(s->cfg->name);
		bytes += ogl__record__get_packed_size(r);
		g_ptr_array_add(s->sent, r);
	}
	b.n_records = s->sent->len;
	b.records = (Ogl__Record **)s->sent->pdata;
	bytes = ogl__batch__get_packed_size(&b);
	buf = g_malloc(bytes);
	ogl__batch__pack(&b, buf);
	s->batch = g_bytes_new_take(buf, bytes);
}

static void
send_append(struct ogl_stream *s, ogl_time now, struct ogl_actions *out)
{
	struct ogl_action *a = ogl_actions_new(out, OGL_ACT_LOG_APPEND);

	a->name = g_strdup(s->name);
	a->data = g_bytes_ref(s->batch);
	a->timeout_ms = IO_TIMEOUT_MS;
	a->token = new_token(s);
	s->append_token = a->token;
	s->append_sent = now;
	s->appends++;
}

static void
on_appended(struct ogl_stream *s, const struct ogl_event *ev, ogl_time now)
{
	struct ogl_str data;

	s->append_token = 0;
	if (ev->io == OGL_IO_OK && ev->u.appended.offset == s->offset &&
	    s->batch != NULL) {
		s->append_backoff = 0;
		data.p = g_bytes_get_data(s->batch, &data.n);
		apply_batch(s, data, now);
		settle_sent(s);
		s->current = MAX(s->current, s->append_sent);
		s->append_due = now + s->cfg->commit_ms * OGL_MS;
		return;
	}
	if (ev->io == OGL_IO_OK || ev->io == OGL_IO_LOST) {
		s->settle = s->sent->len > 0;
		s->settle_from = now;
		ogl_stream_read_now(s, now);
	}
	if (ev->io == OGL_IO_OK)
		s->append_due = now + s->cfg->commit_ms * OGL_MS;
	else
		s->append_due = now + backoff(&s->append_backoff) * OGL_MS;
}

void
ogl_stream_event(struct ogl_stream *s, const struct ogl_event *ev, ogl_time now)
{
	if (ev->type == OGL_EV_LOG_READ && ev->token == s->read_token)
		on_read(s, ev, now);
	else if (ev->type == OGL_EV_LOG_APPENDED &&
		 ev->token == s->append_token)
		on_appended(s, ev, now);
}

/* An adapter that never answers must not stop the stream for good. */
static void
give_up_silent(struct ogl_stream *s, ogl_time now)
{
	ogl_time most = 2 * IO_TIMEOUT_MS * OGL_MS;
	struct ogl_event ev = {.io = OGL_IO_LOST};

	if (s->read_token != 0 && now - s->read_sent >= most)
		on_read(s, &ev, now);
	if (s->append_token != 0 && now - s->append_sent >= most)
		on_appended(s, &ev, now);
}

static bool
append_wanted(const struct ogl_stream *s)
{
	return s->append_token == 0 && !s->settle &&
	       (s->sent->len > 0 || s->waiting->length > 0);
}

void
ogl_stream_tick(struct ogl_stream *s, ogl_time now, struct ogl_actions *out)
{
	give_up_silent(s, now);
	if (append_wanted(s) && now >= s->append_due) {
		if (s->sent->len == 0)
			fill_batch(s, now);
		send_append(s, now, out);
	}
	if (s->read_token == 0 && now >= s->read_due)
		send_read(s, now, out);
}

ogl_time
ogl_stream_next(const struct ogl_stream *s)
{
	ogl_time t = s->read_token == 0 ? s->read_due : OGL_NEVER;
	ogl_time most = 2 * IO_TIMEOUT_MS * OGL_MS;

	if (append_wanted(s))
		t = MIN(t, s->append_due);
	if (s->read_token != 0)
		t = MIN(t, s->read_sent + most);
	if (s->append_token != 0)
		t = MIN(t, s->append_sent + most);
	return t;
}
