/*
 * HTTP requests to the first node that answers, over libcurl's easy interface.
 *
 * The next node is tried only if the request has had no effect so far: the last
 * node was not reached, or its verdict says that nothing was run.  After a lost
 * answer the request may have taken effect, and repeating it at another node
 * could create a second key or start a second job.  Only repeatable requests
 * are sent again then; for others the caller is told that the request may have
 * taken effect.
 */

#include <curl/curl.h>
#include <string.h>

#include "http.h"

#define CONNECT_TIMEOUT_MS 3000L
#define REQUEST_TIMEOUT_MS 60000L
#define ANSWER_MAX_BYTES ((size_t)64 * 1024 * 1024)
#define STATUS_UNAVAILABLE 503

struct ctl_http {
	CURL *curl;
	char **nodes;
	char *auth; /* Authorization header, NULL without a key */
};

static bool
is_node_addr(const char *addr)
{
	const char *colon = strrchr(addr, ':');
	uint64_t port;

	return colon != NULL && colon != addr && strpbrk(addr, "/@ ") == NULL &&
	       g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL);
}

struct ctl_http *
ctl_http_init(const char *nodes, const char *key)
{
	char **list = g_strsplit(nodes, ",", -1);
	struct ctl_http *h;

	for (size_t i = 0; list[i] != NULL; i++) {
		if (is_node_addr(list[i]))
			continue;
		g_strfreev(list);
		return NULL;
	}
	h = g_new0(struct ctl_http, 1);
	h->nodes = list;
	if (key != NULL)
		h->auth = g_strdup_printf("Authorization: Bearer %s", key);
	h->curl = curl_easy_init();
	return h;
}

void
ctl_http_end(struct ctl_http *h)
{
	if (h == NULL)
		return;
	curl_easy_cleanup(h->curl);
	g_strfreev(h->nodes);
	g_free(h->auth);
	g_free(h);
}

void
ctl_answer_clear(struct ctl_answer *a)
{
	if (a->body != NULL)
		g_string_free(a->body, TRUE);
	g_free(a->verdict);
	g_free(a->reason);
	memset(a, 0, sizeof(*a));
}

static size_t
append_body(char *data, size_t size, size_t n, void *arg)
{
	GString *body = arg;

	if (body->len + size * n > ANSWER_MAX_BYTES)
		return 0;
	g_string_append_len(body, data, (gssize)(size * n));
	return size * n;
}

static const char *
answer_header(CURL *curl, const char *name)
{
	struct curl_header *h;

	if (curl_easy_header(curl, name, 0, CURLH_HEADER, -1, &h) != CURLHE_OK)
		return "";
	return h->value;
}

static struct curl_slist *
make_headers(const struct ctl_http *h, const struct ctl_request *r)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");

	if (h->auth != NULL)
		list = curl_slist_append(list, h->auth);
	for (size_t i = 0; r->headers[i] != NULL; i++)
		list = curl_slist_append(list, r->headers[i]);
	return list;
}

static void
set_method_and_body(CURL *curl, const struct ctl_request *r)
{
	if (strcmp(r->method, "GET") == 0)
		return;
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, r->method);
	if (strcmp(r->method, "POST") != 0)
		return;
	curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, (long)r->body.n);
	curl_easy_setopt(
	    curl, CURLOPT_POSTFIELDS, r->body.p != NULL ? r->body.p : "");
}

/* Classifies a failed transfer by whether the node may have got the request. */
static enum ogl_io_result
io_result(CURLcode code)
{
	switch (code) {
	case CURLE_OK:
		return OGL_IO_OK;
	case CURLE_COULDNT_RESOLVE_HOST:
	case CURLE_COULDNT_CONNECT:
	case CURLE_URL_MALFORMAT:
		return OGL_IO_NOT_SENT;
	default:
		return OGL_IO_LOST;
	}
}

static void
send_to_node(struct ctl_http *h, const char *node, const struct ctl_request *r,
    struct ctl_answer *a)
{
	struct curl_slist *headers = make_headers(h, r);
	char *url = g_strdup_printf("http://%s%s", node, r->path);
	CURLcode code;

	a->body = g_string_new(NULL);
	curl_easy_reset(h->curl);
	curl_easy_setopt(h->curl, CURLOPT_URL, url);
	curl_easy_setopt(h->curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(h->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(
	    h->curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(h->curl, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
	curl_easy_setopt(h->curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(h->curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(h->curl, CURLOPT_WRITEDATA, a->body);
	set_method_and_body(h->curl, r);
	code = curl_easy_perform(h->curl);
	a->io = io_result(code);
	if (code != CURLE_OK) {
		a->reason =
		    g_strdup_printf("%s: %s", node, curl_easy_strerror(code));
	} else {
		curl_easy_getinfo(h->curl, CURLINFO_RESPONSE_CODE, &a->status);
		a->verdict = g_strdup(answer_header(h->curl, "Ogl-Verdict"));
		a->retry_after_ms = g_ascii_strtoull(
		    answer_header(h->curl, "Ogl-Retry-After-Ms"), NULL, 10);
	}
	g_free(url);
	curl_slist_free_all(headers);
}

/* Whether the request may be sent to the next node. */
static bool
may_try_next(const struct ctl_request *r, const struct ctl_answer *a)
{
	if (a->io == OGL_IO_NOT_SENT)
		return true;
	if (a->io != OGL_IO_OK)
		return r->repeatable;
	return a->status == STATUS_UNAVAILABLE &&
	       (r->repeatable ||
		   strcmp(a->verdict, ogl_verdict_name(OGL_NOT_RUN)) == 0);
}

void
ctl_http_send(
    struct ctl_http *h, const struct ctl_request *r, struct ctl_answer *a)
{
	memset(a, 0, sizeof(*a));
	for (size_t i = 0; h->nodes[i] != NULL; i++) {
		ctl_answer_clear(a);
		send_to_node(h, h->nodes[i], r, a);
		if (!may_try_next(r, a))
			return;
	}
}
