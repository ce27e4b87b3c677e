/* One stream of the platform's log, followed and written by one node. */

#ifndef OGL_STREAM_H
#define OGL_STREAM_H

#include "orioleglade.h"

struct ogl_stream;

/* What the follower of a stream does with what it reads. */
struct ogl_stream_ops {
	/* One record, in log order, each seq of a writer's boot once.
	 * `offset` is that of the append it came with. */
	void (*record)(
	    void *ctx, const Ogl__Record *r, uint64_t offset, ogl_time now);
	/* Records below `first` are gone although not read: start over. */
	void (*gap)(void *ctx, uint64_t first);
};

struct ogl_stream *ogl_stream_init(const char *name, uint64_t token_base,
    const struct ogl_node_config *c, const struct ogl_stream_ops *ops,
    void *ctx);
/* Tokens of its actions are token_base + a count below 2^32. */
void ogl_stream_end(struct ogl_stream *s);

void ogl_stream_single(struct ogl_stream *s);
/* From now on each append carries one record. */

void ogl_stream_poll(struct ogl_stream *s, uint32_t poll_ms, ogl_time now);
/* Follows the stream from now on, reading at least this often. */

void ogl_stream_read_now(struct ogl_stream *s, ogl_time now);
/* Reads as soon as no read is under way. */

void ogl_stream_add(struct ogl_stream *s, Ogl__Record *r, ogl_time now);
/* Queues a record (taken over) for the next group commit; epoch and body
 * are the caller's to set, writer, boot and seq are filled in. */

void ogl_stream_put_first(struct ogl_stream *s, Ogl__Record *r);
/* Queues a record ahead of those waiting; only while ogl_stream_idle. */

bool ogl_stream_idle(const struct ogl_stream *s);
/* No append is under way and its fate known: all applied is all written. */

size_t ogl_stream_pending(const struct ogl_stream *s);
void ogl_stream_drop(struct ogl_stream *s);
/* Forgets records not yet sent and stops settling those sent. */

void ogl_stream_tick(
    struct ogl_stream *s, ogl_time now, struct ogl_actions *out);
ogl_time ogl_stream_next(const struct ogl_stream *s);

void ogl_stream_event(
    struct ogl_stream *s, const struct ogl_event *ev, ogl_time now);
/* Takes the answer to one of its actions. */

ogl_time ogl_stream_current(const struct ogl_stream *s);
/* All records appended before this time have been applied; 0 for never. */

uint64_t ogl_stream_offset(const struct ogl_stream *s);
/* The offset to be applied next. */

uint64_t ogl_stream_appends(const struct ogl_stream *s);
/* Appends sent so far. */

#endif
