/* One stream of the platform's log, read and written by one node. */

#ifndef OGL_STREAM_H
#define OGL_STREAM_H

#include "orioleglade.h"

struct ogl_stream;

/* Called for records that are read from the stream, or applied from an append
 * of this node. */
struct ogl_stream_ops {
	/* One record, in log order; each seq of a writer's boot comes once.
	 * `offset` is that of the append which held the record. */
	void (*record)(
	    void *ctx, const Ogl__Record *r, uint64_t offset, ogl_time now);
	/* Records before offset `first` were deleted before they were read:
	 * the state built so far can't be continued. */
	void (*gap)(void *ctx, uint64_t first);
};

struct ogl_stream *ogl_stream_init(const char *name, uint64_t token_base,
    const struct ogl_node_config *c, const struct ogl_stream_ops *ops,
    void *ctx);
/* c and ops must outlive the stream.  The tokens of its actions are token_base
 * plus a count below 2^32. */
void ogl_stream_end(struct ogl_stream *s);

void ogl_stream_set_single_record(struct ogl_stream *s);
/* From now on each append holds a single record. */

void ogl_stream_follow(struct ogl_stream *s, uint32_t poll_ms, ogl_time now);
/* Follows the stream from now on: reads every poll_ms, or sooner. */

void ogl_stream_read_now(struct ogl_stream *s, ogl_time now);
/* Reads at the next tick, or once the read under way has ended. */

void ogl_stream_add(struct ogl_stream *s, Ogl__Record *r, ogl_time now);
/* Queues a record for the next group commit and takes it over.  The caller
 * sets epoch and body; writer, boot and seq are filled in. */

void ogl_stream_add_first(struct ogl_stream *s, Ogl__Record *r);
/* Queues a record before those waiting and takes it over; only to be called
 * while ogl_stream_idle. */

bool ogl_stream_idle(const struct ogl_stream *s);
/* Whether no append is under way or of unknown outcome: all that was sent has
 * been applied. */

size_t ogl_stream_pending(const struct ogl_stream *s);
/* Returns the number of records that are queued or sent and not yet applied. */

void ogl_stream_drop(struct ogl_stream *s);
/* Drops queued records, and no longer retries those sent. */

void ogl_stream_tick(
    struct ogl_stream *s, ogl_time now, struct ogl_actions *out);
ogl_time ogl_stream_next(const struct ogl_stream *s);

void ogl_stream_event(
    struct ogl_stream *s, const struct ogl_event *ev, ogl_time now);
/* Handles the answer to one of the stream's actions; ignores others. */

ogl_time ogl_stream_current_at(const struct ogl_stream *s);
/* Returns a time such that all records appended before it have been applied,
 * or 0 if none is known yet. */

uint64_t ogl_stream_offset(const struct ogl_stream *s);
/* Returns the offset that will be applied next. */

uint64_t ogl_stream_appends(const struct ogl_stream *s);
/* Returns the number of appends sent so far. */

#endif
