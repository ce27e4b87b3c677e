/* Runs the transfers of a libcurl multi handle on a libev loop. */
#ifndef OGL_CURL_LOOP_H
#define OGL_CURL_LOOP_H

#include <curl/curl.h>
#include <stdbool.h>

struct ev_loop;
struct ogl_curl_loop;

struct ogl_curl_loop_config {
	long host_connections_max;   /* open connections to one address */
	long cached_connections_max; /* idle ones kept open for reuse */
	unsigned loops; /* number that share the process's descriptors */
	/* Called when a transfer has ended; rc is libcurl's result.  The
	 * function has to remove the handle. */
	void (*ended)(void *ctx, CURL *easy, CURLcode rc);
	void *ctx;
};

struct ogl_curl_loop *ogl_curl_loop_init(
    struct ev_loop *loop, const struct ogl_curl_loop_config *config);
void ogl_curl_loop_end(struct ogl_curl_loop *l);
/* All handles have to be removed first. */

void ogl_curl_loop_add(struct ogl_curl_loop *l, CURL *easy);
void ogl_curl_loop_remove(struct ogl_curl_loop *l, CURL *easy);

bool ogl_curl_loop_run(struct ogl_curl_loop *l);
/* Starts the transfers added since the last call, without a turn of the event
 * loop.  Returns whether there was anything to do. */

#endif
