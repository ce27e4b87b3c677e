/*
 * HTTP requests on the event loop, any number at a time.  Each request ends in
 * one call of its done function.
 */
#ifndef OGL_HTTP_CLIENT_H
#define OGL_HTTP_CLIENT_H

#include "logger.h"

struct ev_loop;
struct ogl_http_client;

#define OGL_HTTP_HEADERS_MAX 6

struct ogl_http_result {
	/* OGL_IO_OK: a complete answer of any status.  OGL_IO_NOT_SENT: the
	 * request was certainly not sent.  OGL_IO_LOST: the request may have
	 * been executed. */
	enum ogl_io_result io;
	bool no_listener; /* the host refused the connection */
	unsigned status;
	struct ogl_str body;
};

/* Traffic of the requests of one kind, in bytes with headers. */
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
	const char *kind;    /* its traffic is counted under it; a literal */
	uint32_t timeout_ms; /* for the whole request, connecting included */
	bool resend_allowed; /* may be sent again if a reused connection ends */
	ogl_http_done *done;
	void *arg;
};

struct ogl_http_client *ogl_http_client_init(struct ev_loop *loop);
void ogl_http_client_end(struct ogl_http_client *h);
/* Drops the requests in progress; their done functions are not called. */

void ogl_http_client_send(
    struct ogl_http_client *h, const struct ogl_http_request *r);
/* Starts a request.  Strings are copied, except kind; the body is referenced.
 * done is called once, never from within this call. */

GHashTable *ogl_http_client_bytes(const struct ogl_http_client *h);
/* Returns the traffic of the requests that have ended:
 * kind -> struct ogl_http_bytes. */

bool ogl_http_client_run(struct ogl_http_client *h);
/* Starts the requests added since the last call, without a turn of the event
 * loop.  Returns whether there was anything to do. */

#endif
