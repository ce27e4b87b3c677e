/*
 * One stream of the log: appends this node's records in batches, and reads and
 * applies the records of all nodes.
 *
 * Records wait up to commit_ms and are sent as one batch in one append; one
 * append is under way at a time.  A record takes effect when it is applied in
 * log order, not when it is sent.  If the answer to an append gives the offset
 * after the last one applied, no other writer appended since then, and the
 * batch is applied at once; otherwise it is applied when the stream is read.
 *
 * An append whose answer is lost may have taken effect, or may take effect
 * later.  To find out, the stream is read up to its end; if the batch is not
 * there, it is sent again with the same sequence numbers.  If both copies
 * arrive, followers apply the first and ignore the second: a record whose
 * sequence number is not above the last one applied from the same boot of its
 * writer is ignored.
 */

#include <stdlib.h>
#include <string.h>

#include "stream.h"

enum {
	MAX_BATCH_RECORDS = 4096,
	MAX_BATCH_BYTES = 512 * 1024, /* the last record may exceed it */
	IO_TIMEOUT_MS = 1500,         /* timeout of an append or a read */
	BACKOFF_MIN_MS = 40, /* first delay after a failure, then doubled */
	BACKOFF_MAX_MS = 1000
};

/* Identifies the last record applied from a writer. */
struct last_applied {
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
	GHashTable *last_applied; /* writer -> struct last_applied */
	uint64_t offset;          /* of the next append to apply */
	ogl_time current_at;      /* see ogl_stream_current_at */

	ogl_time poll_interval; /* 0: not following */
	ogl_time read_due;
	uint64_t read_token; /* 0: no read is under way */
	ogl_time read_sent;
	uint32_t read_backoff_ms;

	GQueue *waiting; /* Ogl__Record, not sent yet */
	GPtrArray *sent; /* Ogl__Record, sent in `batch`, not applied yet */
	GBytes *batch;   /* the sent records, packed */
	uint64_t seq;    /* last sequence number assigned */
	uint32_t max_records; /* limit for each append */
	ogl_time append_due;
	uint64_t append_token; /* 0: no append is under way */
	ogl_time append_sent;
	uint32_t append_backoff_ms;
	bool outcome_unknown; /* read to the end before sending again */
	ogl_time outcome_unknown_since;
	uint64_t appends; /* number sent so far */
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
	s->last_applied =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->waiting = g_queue_new();
	s->sent = g_ptr_array_new_with_free_func(record_free);
	s->read_due = OGL_NEVER;
	s->max_records = MAX_BATCH_RECORDS;
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
	g_hash_table_destroy(s->last_applied);
	g_free(s->name);
	g_free(s);
}

void
ogl_stream_set_single_record(struct ogl_stream *s)
{
	s->max_records = 1;
}

void
ogl_stream_follow(struct ogl_stream *s, uint32_t poll_ms, ogl_time now)
{
	s->poll_interval = poll_ms * OGL_MS;
	s->read_due = MIN(s->read_due, now);
}

void
ogl_stream_read_now(struct ogl_stream *s, ogl_time now)
{
	s->read_due = MIN(s->read_due, now);
}

ogl_time
ogl_stream_current_at(const struct ogl_stream *s)
{
	return s->current_at;
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
	s->outcome_unknown = false;
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
ogl_stream_add_first(struct ogl_stream *s, Ogl__Record *r)
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

/* Marks the record as applied; false if it or a later one already was. */
static bool
mark_applied(struct ogl_stream *s, const Ogl__Record *r)
{
	struct last_applied *applied =
	    g_hash_table_lookup(s->last_applied, r->writer);

	if (applied == NULL) {
		applied = g_new0(struct last_applied, 1);
		g_hash_table_insert(
		    s->last_applied, g_strdup(r->writer), applied);
	}
	if (r->boot < applied->boot ||
	    (r->boot == applied->boot && r->seq <= applied->seq))
		return false;
	applied->boot = r->boot;
	applied->seq = r->seq;
	return true;
}

static void
apply_batch(struct ogl_stream *s, struct ogl_str data, ogl_time now)
{
	uint64_t offset = s->offset++;
	Ogl__Batch *b =
	    ogl__batch__unpack(NULL, data.n, (const uint8_t *)data.p);

	if (b == NULL)
		return; /* ignored: nodes write only valid batches */
	for (size_t i = 0; i < b->n_records; i++) {
		if (mark_applied(s, b->records[i]))
			s->ops->record(s->ctx, b->records[i], offset, now);
	}
	ogl__batch__free_unpacked(b, NULL);
}

/* Removes the sent records once they have been applied. */
static void
remove_applied(struct ogl_stream *s)
{
	const struct last_applied *applied =
	    g_hash_table_lookup(s->last_applied, s->cfg->name);
	const Ogl__Record *last;

	if (s->sent->len == 0 || applied == NULL ||
	    applied->boot != s->cfg->boot)
		return;
	last = g_ptr_array_index(s->sent, s->sent->len - 1);
	if (applied->seq < last->seq)
		return;
	g_ptr_array_set_size(s->sent, 0);
	g_clear_pointer(&s->batch, g_bytes_unref);
	s->outcome_unknown = false;
}

/* ---- reading ---------------------------------------------------------- */

static uint32_t
increase_backoff(uint32_t *ms)
{
	*ms = *ms == 0 ? BACKOFF_MIN_MS : MIN(*ms * 2, BACKOFF_MAX_MS);
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
apply_entries(struct ogl_stream *s, const struct ogl_event *ev, ogl_time now)
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
	ogl_time interval =
	    s->poll_interval > 0 ? s->poll_interval : OGL_NEVER - now;

	s->read_token = 0;
	if (ev->io != OGL_IO_OK) {
		s->read_due =
		    now + increase_backoff(&s->read_backoff_ms) * OGL_MS;
		return;
	}
	s->read_backoff_ms = 0;
	apply_entries(s, ev, now);
	remove_applied(s);
	if (s->offset < ev->u.read.next) {
		s->read_due = now;
		return;
	}
	s->current_at = MAX(s->current_at, s->read_sent);
	if (s->outcome_unknown && s->read_sent >= s->outcome_unknown_since)
		s->outcome_unknown = false; /* batch not found: resend it */
	s->read_due = MIN(s->read_due, now + interval);
}

/* ---- appending -------------------------------------------------------- */

/* Sequence numbers begin at the time of the first batch, so that a stream
 * closed and opened again within one boot continues above its old numbers. */
static void
fill_batch(struct ogl_stream *s, ogl_time now)
{
	Ogl__Batch b = OGL__BATCH__INIT;
	size_t bytes = 0;
	uint8_t *buf;

	if (s->seq == 0)
		s->seq = (uint64_t)now;

	while (s->waiting->length > 0 && s->sent->len < s->max_records &&
	       bytes < MAX_BATCH_BYTES) {
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
		s->append_backoff_ms = 0;
		data.p = g_bytes_get_data(s->batch, &data.n);
		apply_batch(s, data, now);
		remove_applied(s);
		s->current_at = MAX(s->current_at, s->append_sent);
		s->append_due = now + s->cfg->commit_ms * OGL_MS;
		return;
	}
	if (ev->io == OGL_IO_OK || ev->io == OGL_IO_LOST) {
		s->outcome_unknown = s->sent->len > 0;
		s->outcome_unknown_since = now;
		ogl_stream_read_now(s, now);
	}
	if (ev->io == OGL_IO_OK)
		s->append_due = now + s->cfg->commit_ms * OGL_MS;
	else
		s->append_due =
		    now + increase_backoff(&s->append_backoff_ms) * OGL_MS;
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

/* If the platform's adapter does not answer, the append or read counts as lost,
 * so that the stream does not stop permanently. */
static void
time_out(struct ogl_stream *s, ogl_time now)
{
	ogl_time timeout = 2 * IO_TIMEOUT_MS * OGL_MS;
	struct ogl_event ev = {.io = OGL_IO_LOST};

	if (s->read_token != 0 && now - s->read_sent >= timeout)
		on_read(s, &ev, now);
	if (s->append_token != 0 && now - s->append_sent >= timeout)
		on_appended(s, &ev, now);
}

static bool
append_ready(const struct ogl_stream *s)
{
	return s->append_token == 0 && !s->outcome_unknown &&
	       (s->sent->len > 0 || s->waiting->length > 0);
}

void
ogl_stream_tick(struct ogl_stream *s, ogl_time now, struct ogl_actions *out)
{
	time_out(s, now);
	if (append_ready(s) && now >= s->append_due) {
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
	ogl_time timeout = 2 * IO_TIMEOUT_MS * OGL_MS;

	if (append_ready(s))
		t = MIN(t, s->append_due);
	if (s->read_token != 0)
		t = MIN(t, s->read_sent + timeout);
	if (s->append_token != 0)
		t = MIN(t, s->append_sent + timeout);
	return t;
}
