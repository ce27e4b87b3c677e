/*
 * A stream of bytes made smaller for its way over a thin link (zlib's format).
 * Messages repeat addresses, ids and numbers of those before them, so one
 * stream a connection compresses them far better than each by itself.
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
/* Takes bytes; some of them may stay in the stream. */
void ogl_deflate_flush(struct ogl_deflate *d, GByteArray *out);
/* Appends whatever is left, so that the other side can read all. */

struct ogl_inflate *ogl_inflate_init(void);
void ogl_inflate_end(struct ogl_inflate *i);

ssize_t ogl_inflate_next(struct ogl_inflate *i, const uint8_t **data, size_t *n,
    uint8_t *out, size_t cap);
/* Takes bytes from *data, at most *n, and moves both on; the number of bytes put
 * into out, at most cap.  Full means that there may be more, also without new
 * data.  -1: no such stream. */

#endif
