/*
 * Compressed streams over zlib.  The window is 4 KiB and the compression
 * level is the lowest, since a node has one stream for each of its peers and
 * little memory and processor time.
 */

#include <zlib.h>

#include "compress.h"

#define COMPRESSION_LEVEL 1
#define WINDOW_BITS 12
#define MEM_LEVEL 4
#define OUTPUT_CHUNK_BYTES 4096

struct ogl_deflate {
	z_stream z;
};

struct ogl_inflate {
	z_stream z;
};

struct ogl_deflate *
ogl_deflate_init(void)
{
	struct ogl_deflate *d = g_new0(struct ogl_deflate, 1);

	if (deflateInit2(&d->z, COMPRESSION_LEVEL, Z_DEFLATED, WINDOW_BITS,
		MEM_LEVEL, Z_DEFAULT_STRATEGY) != Z_OK)
		g_error("no memory for a compressed stream");
	return d;
}

void
ogl_deflate_end(struct ogl_deflate *d)
{
	if (d == NULL)
		return;
	deflateEnd(&d->z);
	g_free(d);
}

static void
deflate_input(struct ogl_deflate *d, int flush, GByteArray *out)
{
	do {
		guint at = out->len;

		g_byte_array_set_size(out, at + OUTPUT_CHUNK_BYTES);
		d->z.next_out = out->data + at;
		d->z.avail_out = OUTPUT_CHUNK_BYTES;
		deflate(&d->z, flush);
		g_byte_array_set_size(
		    out, at + OUTPUT_CHUNK_BYTES - d->z.avail_out);
	} while (d->z.avail_out == 0);
}

void
ogl_deflate_add(
    struct ogl_deflate *d, const void *data, size_t n, GByteArray *out)
{
	d->z.next_in = (Bytef *)(uintptr_t)data;
	d->z.avail_in = (uInt)n;
	deflate_input(d, Z_NO_FLUSH, out);
}

void
ogl_deflate_flush(struct ogl_deflate *d, GByteArray *out)
{
	d->z.avail_in = 0;
	deflate_input(d, Z_SYNC_FLUSH, out);
}

struct ogl_inflate *
ogl_inflate_init(void)
{
	struct ogl_inflate *i = g_new0(struct ogl_inflate, 1);

	if (inflateInit2(&i->z, WINDOW_BITS) != Z_OK)
		g_error("no memory for a compressed stream");
	return i;
}

void
ogl_inflate_end(struct ogl_inflate *i)
{
	if (i == NULL)
		return;
	inflateEnd(&i->z);
	g_free(i);
}

ssize_t
ogl_inflate_next(struct ogl_inflate *i, const uint8_t **data, size_t *n,
    uint8_t *out, size_t cap)
{
	int rc;

	i->z.next_in = (Bytef *)(uintptr_t)*data;
	i->z.avail_in = (uInt)*n;
	i->z.next_out = out;
	i->z.avail_out = (uInt)cap;
	rc = inflate(&i->z, Z_SYNC_FLUSH);
	/* Z_BUF_ERROR is not a fault: there was nothing to do, for example
	 * because all data was consumed before.  Z_STREAM_END is one: a stream
	 * never ends while its connection is open. */
	if (rc != Z_OK && rc != Z_BUF_ERROR)
		return -1;
	*data += *n - i->z.avail_in;
	*n = i->z.avail_in;
	return (ssize_t)(cap - i->z.avail_out);
}
