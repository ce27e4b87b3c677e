/*
 * Creates libmicrohttpd responses.  Bodies are passed by reference, so that a
 * reply of a megabyte is not copied.  Retry-After holds whole seconds only; it
 * is rounded up, so that no caller retries too early.  Ogl-Retry-After-Ms holds
 * the exact time.
 */

#include <microhttpd.h>

#include "http_reply.h"

#define JSON_TYPE "application/json"

static void
unref_bytes(void *bytes)
{
	g_bytes_unref(bytes);
}

struct MHD_Response *
ogl_http_reply_new(GBytes *body, const char *type, bool close)
{
	struct MHD_Response *r;
	gsize n = 0;
	void *p = NULL;

	if (body != NULL) {
		p = (void *)(uintptr_t)g_bytes_get_data(body, &n);
		g_bytes_ref(body);
	}
	r = MHD_create_response_from_buffer_with_free_callback_cls(
	    n, p, body != NULL ? unref_bytes : NULL, body);
	if (r == NULL) {
		if (body != NULL)
			g_bytes_unref(body);
		return NULL;
	}
	MHD_add_response_header(r, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	if (close)
		MHD_add_response_header(r, MHD_HTTP_HEADER_CONNECTION, "close");
	return r;
}

static void
add_number_header(struct MHD_Response *r, const char *name, uint64_t v)
{
	char text[24];

	g_snprintf(text, sizeof text, "%" G_GUINT64_FORMAT, v);
	MHD_add_response_header(r, name, text);
}

void
ogl_http_reply_outcome(
    struct MHD_Response *r, enum ogl_verdict v, uint64_t retry_after_ms)
{
	MHD_add_response_header(r, "Ogl-Verdict", ogl_verdict_name(v));
	if (retry_after_ms == 0)
		return;
	add_number_header(r, MHD_HTTP_HEADER_RETRY_AFTER,
	    retry_after_ms / 1000 + (retry_after_ms % 1000 != 0));
	add_number_header(r, "Ogl-Retry-After-Ms", retry_after_ms);
}

struct MHD_Response *
ogl_http_reply_refusal(const char *why, uint64_t retry_after_ms, bool close)
{
	Ogl__ErrorView view = OGL__ERROR_VIEW__INIT;
	struct MHD_Response *r;
	GBytes *body;
	char *json;
	size_t n;

	view.error = (char *)(uintptr_t)why;
	view.verdict = OGL__VERDICT__not_run;
	view.retry_after_ms = retry_after_ms;
	json = ogl_json_print(&view.base, &n);
	body = g_bytes_new_take(json, n);
	r = ogl_http_reply_new(body, JSON_TYPE, close);
	g_bytes_unref(body);
	if (r != NULL)
		ogl_http_reply_outcome(r, OGL_NOT_RUN, retry_after_ms);
	return r;
}
