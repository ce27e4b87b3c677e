/*
 * The connections of an HTTP client to one host.  libcurl opens, reuses and
 * closes them.  This module limits the requests that are on their way at the
 * same time, and shuts idle connections down that must not be used again;
 * libcurl closes these when it next looks at them.
 */
#ifndef OGL_HOST_CONNS_H
#define OGL_HOST_CONNS_H

#include "orioleglade.h"

struct ogl_conn;
struct ogl_host_conns;

struct ogl_host_limits {
	unsigned requests_max; /* at the same time, and so connections */
	unsigned ordinary_max; /* of these, requests that are not urgent */
	ogl_time idle_max;     /* idle connections are closed after this time */
};

/* What the end of a request shows about its connection. */
enum ogl_conn_outcome {
	OGL_CONN_ANSWERED,
	OGL_CONN_SILENT,  /* reused; no byte came until the timeout */
	OGL_CONN_REFUSED, /* new; it didn't come up */
	OGL_CONN_RESET,   /* new; it failed without an answer */
	OGL_CONN_FAILED   /* anything else */
};

struct ogl_host_conns *ogl_host_conns_init(
    const struct ogl_host_limits *limits);
/* limits is referenced. */
void ogl_host_conns_end(struct ogl_host_conns *h);
/* All connections have to be removed first. */

/* A request on its way; zero before it begins. */
struct ogl_conn_request {
	struct ogl_conn *conn; /* NULL none yet, or closed */
	bool urgent;
	uint64_t sending;  /* number of its sending */
	unsigned releases; /* of its host when it began */
};

/* ---- requests --------------------------------------------------------- */

bool ogl_host_conns_may_send(
    const struct ogl_host_conns *h, bool urgent, ogl_time now);
ogl_time ogl_host_conns_retry_at(const struct ogl_host_conns *h, ogl_time now);
/* When another request may be sent although none has ended; OGL_NEVER if it
 * has to wait for one to end. */
bool ogl_host_conns_working(const struct ogl_host_conns *h);
/* Whether there is a connection that has carried an answer. */
bool ogl_host_conns_may_wait(
    const struct ogl_host_conns *h, const struct ogl_conn_request *r);
/* Whether a request that has ended, and for which no connection came up, may
 * wait for one that works. */

void ogl_host_conns_begin(
    struct ogl_host_conns *h, struct ogl_conn_request *r, bool urgent);
void ogl_host_conns_sending(
    struct ogl_host_conns *h, struct ogl_conn_request *r, int port);
/* To be called right before the request is sent on the connection with this
 * local port. */
void ogl_host_conns_finish(struct ogl_host_conns *h, struct ogl_conn_request *r,
    enum ogl_conn_outcome outcome, ogl_time now);
void ogl_conn_request_drop(struct ogl_conn_request *r);
/* Takes a request that is dropped from its connection. */

/* ---- connections ------------------------------------------------------ */

struct ogl_conn *ogl_host_conns_add(
    struct ogl_host_conns *h, int fd, int port, struct ogl_conn_request *r);
/* Adds a connection that has come up for the request, with its local port. */
void ogl_conn_remove(struct ogl_conn *c);
/* To be called when libcurl closes it. */

bool ogl_host_conns_in_use(const struct ogl_host_conns *h);
/* Whether there are requests on their way, or connections that have not been
 * shut down. */
bool ogl_host_conns_unused(const struct ogl_host_conns *h);
/* Whether there is no request and no connection, not even one shut down. */

/* ---- idle connections ------------------------------------------------- */

void ogl_host_conns_release(struct ogl_host_conns *h);
/* Shuts all connections down, those of requests on their way once these have
 * ended. */
void ogl_host_conns_shut_old(struct ogl_host_conns *h, ogl_time now);
/* Shuts down those that have been idle for too long. */

#endif
