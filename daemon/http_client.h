/*
 * HTTP requests on the event loop, any number at a time.  Each request ends in
 * one call of its done function.
 */
#ifndef OGL_HTTP_CLIENT_H
#define OGL_HTTP_CLIENT_H

#include "http_request.h"

struct ev_loop;
struct ogl_http_client;

/* Traffic of the requests of one kind, in bytes with headers. */
struct ogl_http_bytes {
	uint64_t requests;
	uint64_t sent;
	uint64_t received;
};

struct ogl_http_client *ogl_http_client_init(struct ev_loop *loop);
void ogl_http_client_end(struct ogl_http_client *h);
/* Drops the requests in progress; their done functions are not called. */

void ogl_http_client_send(
    struct ogl_http_client *h, const struct ogl_http_request *r);
/* Starts a request.  Strings are copied, except kind; the body is referenced.
 * done is called once, never from within this call. */

void ogl_http_client_release(struct ogl_http_client *h, const char *addr);
/* Closes the connections to ip:port, those in use once their request has ended,
 * and ends the requests that wait for one as not sent. */

GHashTable *ogl_http_client_bytes(const struct ogl_http_client *h);
/* Returns the traffic of the requests that have ended:
 * kind -> struct ogl_http_bytes. */

bool ogl_http_client_run(struct ogl_http_client *h);
/* Starts the requests added since the last call, without a turn of the event
 * loop.  Returns whether there was anything to do. */

#endif
