/* A libcurl multi handle served by a libev loop. */
#ifndef OGL_CURL_LOOP_H
#define OGL_CURL_LOOP_H

#include <curl/curl.h>
#include <stdbool.h>

struct ev_loop;
struct ogl_curl_loop;

struct ogl_curl_loop_shape {
	long host_connections;   /* to one address at most */
	long cached_connections; /* kept open at most */
	unsigned parts; /* loops that share the process's descriptors */
	/* A transfer is over; rc is libcurl's result.  The handle is to be
	 * removed within the call. */
	void (*ended)(void *ctx, CURL *easy, CURLcode rc);
	void *ctx;
};

struct ogl_curl_loop *ogl_curl_loop_init(
    struct ev_loop *loop, const struct ogl_curl_loop_shape *shape);
void ogl_curl_loop_end(struct ogl_curl_loop *l);
/* All handles have to be removed before. */

void ogl_curl_loop_add(struct ogl_curl_loop *l, CURL *easy);
void ogl_curl_loop_remove(struct ogl_curl_loop *l, CURL *easy);

bool ogl_curl_loop_run(struct ogl_curl_loop *l);
/* Starts what was just added, without a turn of the loop; whether there was
 * anything to do. */

#endif
