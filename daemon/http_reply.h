/* Makes libmicrohttpd's responses with the headers of the HTTP protocol. */
#ifndef OGL_HTTP_REPLY_H
#define OGL_HTTP_REPLY_H

#include "orioleglade.h"

struct MHD_Response;

struct MHD_Response *ogl_http_reply_new(
    GBytes *body, const char *type, bool close);
/* Takes a reference of its own to body, which may be NULL; with close, the
 * connection ends after it.  NULL when there is no memory. */

void ogl_http_reply_outcome(
    struct MHD_Response *r, enum ogl_verdict v, uint64_t retry_after_ms);
/* Ogl-Verdict and, unless 0, when to come again. */

struct MHD_Response *ogl_http_reply_refusal(
    const char *why, uint64_t retry_after_ms, bool close);
/* ErrorView for a request that certainly did not run. */

#endif
