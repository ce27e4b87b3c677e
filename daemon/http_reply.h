/* Creates libmicrohttpd responses with the protocol's headers. */
#ifndef OGL_HTTP_REPLY_H
#define OGL_HTTP_REPLY_H

#include "orioleglade.h"

struct MHD_Response;

struct MHD_Response *ogl_http_reply_new(
    GBytes *body, const char *type, bool close);
/* Takes its own reference to body, which may be NULL.  If close is set, the
 * connection is closed after the response.  Returns NULL if out of memory. */

void ogl_http_reply_outcome(
    struct MHD_Response *r, enum ogl_verdict v, uint64_t retry_after_ms);
/* Adds Ogl-Verdict and, unless retry_after_ms is 0, the headers that tell when
 * to retry. */

struct MHD_Response *ogl_http_reply_refusal(
    const char *why, uint64_t retry_after_ms, bool close);
/* Creates the response to a request that was certainly not executed, with an
 * ErrorView as its body.  Returns NULL if out of memory. */

#endif
