/*
 * Stream compression in zlib's format, for connections of low bandwidth.
 * Messages repeat addresses, ids and numbers of earlier messages, so one stream
 * per connection compresses them far better than each message by itself.
 */
#ifndef OGL_COMPRESS_H
#define OGL_COMPRESS_H

#include "orioleglade.h"

struct ogl_deflate;
struct ogl_inflate;

struct ogl_deflate *ogl_deflate_init(void);
void ogl_deflate_end(struct ogl_deflate *d);

void ogl_deflate_add(
    struct ogl_deflate *d, const void *data, size_t n, GByteArray *out);
/* Compresses n bytes and appends the output to out.  Part of the output may
 * stay in the stream until ogl_deflate_flush. */
void ogl_deflate_flush(struct ogl_deflate *d, GByteArray *out);
/* Appends all output that is still in the stream to out, so that the receiver
 * can decompress everything added so far. */

struct ogl_inflate *ogl_inflate_init(void);
void ogl_inflate_end(struct ogl_inflate *i);

ssize_t ogl_inflate_next(struct ogl_inflate *i, const uint8_t **data, size_t *n,
    uint8_t *out, size_t cap);
/* Decompresses at most *n bytes from *data and advances both.  Returns the
 * number of bytes written to out, at most cap, or -1 if the data is malformed.
 * If cap bytes were written there may be more, even without new data. */

#endif
