/*
 * HTTP requests on the loop: one libcurl multi handle, any number of
 * requests, one answer each.
 */
#ifndef OGL_HTTP_CLIENT_H
#define OGL_HTTP_CLIENT_H

#include "logger.h"

struct ev_loop;
struct ogl_http_client;

#define OGL_HTTP_HEADERS_MAX 6

struct ogl_http_result {
	/* OGL_IO_OK: a whole answer, whatever its status.  OGL_IO_NOT_SENT is
	 * certain, OGL_IO_LOST says that the request may have been served. */
	enum ogl_io io;
	bool no_listener; /* the host answered that nothing listens there */
	unsigned status;
	struct ogl_str body;
};

/* Bytes of the requests of one kind, headers included. */
struct ogl_http_bytes {
	uint64_t requests;
	uint64_t sent;
	uint64_t received;
};

typedef void ogl_http_done(void *arg, const struct ogl_http_result *r);

struct ogl_http_request {
	const char *url;                           /* http://ip:port/path */
	const char *headers[OGL_HTTP_HEADERS_MAX]; /* "Name: value" */
	size_t nheaders;
	GBytes *body;        /* NULL: GET; else POST */
	const char *kind;    /* what its bytes are counted as; a literal */
	uint32_t timeout_ms; /* over all, connecting included */
	bool again; /* may be sent twice when a kept connection has ended */
	ogl_http_done *done;
	void *arg;
};

struct ogl_http_client *ogl_http_client_init(struct ev_loop *loop);
void ogl_http_client_end(struct ogl_http_client *h);
/* Requests under way are dropped: done is not called for them. */

void ogl_http_client_send(
    struct ogl_http_client *h, const struct ogl_http_request *r);
/* Strings and body are copied or referenced.  done is called once, never from
 * within this call. */

GHashTable *ogl_http_client_bytes(const struct ogl_http_client *h);
/* kind -> struct ogl_http_bytes, of the requests that have ended. */

bool ogl_http_client_run(struct ogl_http_client *h);
/* Starts what was just handed in, without a turn of the loop; whether there
 * was anything to do. */

#endif
