/*
 * HTTP requests over libcurl.  Easy handles are kept in a pool and set up once;
 * a request changes only the address, headers, body and timeout.
 *
 * Whether anything was sent is decided by CURLINFO_REQUEST_SIZE, which counts
 * the bytes passed to the kernel, and not by the error code: a timeout may
 * occur before or after the sending.
 *
 * libcurl silently sends a request again when a reused connection ends before
 * any byte of the answer has arrived.  The server may have executed the first
 * copy by then.  So the hook that libcurl calls right before each sending
 * refuses the second one, unless the request says that it may be sent twice.
 *
 * A hash of the address distributes the requests over several multi handles,
 * because libcurl walks over all connections of a multi handle at the end of
 * each of its transfers, and the owner of a shard keeps some thousand
 * connections to its workers.
 */

#include <string.h>

#include "curl_loop.h"
#include "http_client.h"

/* A worker accepts 64 connections from all nodes together. */
#define HOST_CONNECTIONS_MAX 48L
#define CURL_LOOPS 32
#define CACHED_CONNECTIONS_PER_LOOP 128L
#define CONNECT_TIMEOUT_MS 1000L
#define REUSE_IDLE_MAX_S 60L
#define POOLED_HANDLES_MAX 256
/* A handle whose answer was larger is freed instead of pooled. */
#define POOLED_BUFFER_MAX_BYTES ((size_t)64 * 1024)
#define ANSWER_MAX_BYTES ((size_t)16 * 1024 * 1024)
#define STATUS_NO_CONTENT 204

struct xfer {
	struct ogl_http_client *client;
	struct ogl_curl_loop *curl; /* loop that runs the transfer */
	CURL *easy;
	ogl_http_done *done;
	void *arg;
	const char *kind;
	GBytes *body;
	struct curl_slist *headers;
	bool may_resend;
	unsigned send_attempts;
	GByteArray *answer;
	bool overflow;
	bool framed; /* has a Content-Length or a Transfer-Encoding */
	GList link;  /* in busy */
};

struct ogl_http_client {
	struct ev_loop *loop;
	struct ogl_curl_loop *loops[CURL_LOOPS]; /* NULL until needed */
	GQueue busy;                             /* struct xfer */
	GPtrArray *pool;
	GHashTable *bytes; /* kind -> struct ogl_http_bytes */
};

/* ---- the pool of easy handles ----------------------------------------- */

static size_t
on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct xfer *x = ctx;

	n *= size;
	if (x->answer->len + n > ANSWER_MAX_BYTES) {
		x->overflow = true;
		return 0;
	}
	g_byte_array_append(x->answer, (const guint8 *)data, (guint)n);
	return n;
}

static bool
header_has_name(const char *line, size_t n, const char *name)
{
	size_t len = strlen(name);

	return n > len && line[len] == ':' &&
	       g_ascii_strncasecmp(line, name, len) == 0;
}

static size_t
on_header(char *line, size_t size, size_t n, void *ctx)
{
	struct xfer *x = ctx;

	n *= size;
	if (n >= 5 && memcmp(line, "HTTP/", 5) == 0)
		x->framed = false; /* drops an interim answer's headers */
	if (header_has_name(line, n, "Content-Length") ||
	    header_has_name(line, n, "Transfer-Encoding"))
		x->framed = true;
	return n;
}

/* Called by libcurl once a connection is ready, right before each sending. */
static int
on_before_send(
    void *ctx, char *to_ip, char *from_ip, int to_port, int from_port)
{
	struct xfer *x = ctx;

	(void)to_ip;
	(void)from_ip;
	(void)to_port;
	(void)from_port;
	if (x->send_attempts++ > 0 && !x->may_resend)
		return CURL_PREREQFUNC_ABORT;
	return CURL_PREREQFUNC_OK;
}

static void
setup_easy(struct xfer *x)
{
	CURL *e = x->easy;

	curl_easy_setopt(e, CURLOPT_PRIVATE, x);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	/* TLS is not used.  libcurl would copy these paths for each
	 * request. */
	curl_easy_setopt(e, CURLOPT_CAINFO, NULL);
	curl_easy_setopt(e, CURLOPT_CAPATH, NULL);
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, REUSE_IDLE_MAX_S);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, x);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, x);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, x);
}

static struct xfer *
xfer_new(struct ogl_http_client *h)
{
	struct xfer *x;

	if (h->pool->len > 0)
		return g_ptr_array_steal_index_fast(h->pool, h->pool->len - 1);
	x = g_new0(struct xfer, 1);
	x->client = h;
	x->link.data = x;
	x->answer = g_byte_array_new();
	x->easy = curl_easy_init();
	if (x->easy == NULL)
		g_error("no memory for a request");
	setup_easy(x);
	return x;
}

static void
xfer_free(void *p)
{
	struct xfer *x = p;

	curl_easy_cleanup(x->easy);
	g_byte_array_unref(x->answer);
	g_free(x);
}

/* Frees what belongs to one request; the handle stays. */
static void
xfer_clear(struct xfer *x)
{
	if (x->body != NULL)
		g_bytes_unref(x->body);
	curl_slist_free_all(x->headers);
	x->body = NULL;
	x->headers = NULL;
	x->send_attempts = 0;
	x->overflow = false;
	x->framed = false;
}

static void
xfer_release(struct xfer *x)
{
	struct ogl_http_client *h = x->client;
	bool large = x->answer->len > POOLED_BUFFER_MAX_BYTES;

	xfer_clear(x);
	if (large || h->pool->len >= POOLED_HANDLES_MAX) {
		xfer_free(x);
		return;
	}
	g_byte_array_set_size(x->answer, 0);
	g_ptr_array_add(h->pool, x);
}

/* ---- the end of a request --------------------------------------------- */

/*
 * An answer without a length ends where its connection ends, so a truncated one
 * looks complete.  It counts as lost.
 */
static void
classify_result(struct xfer *x, CURLcode rc, struct ogl_http_result *r)
{
	long status = 0;
	long sent = 0;
	long os_error = 0;

	curl_easy_getinfo(x->easy, CURLINFO_REQUEST_SIZE, &sent);
	if (rc != CURLE_OK) {
		r->io = sent == 0 ? OGL_IO_NOT_SENT : OGL_IO_LOST;
		curl_easy_getinfo(x->easy, CURLINFO_OS_ERRNO, &os_error);
		r->no_listener =
		    rc == CURLE_COULDNT_CONNECT && os_error == ECONNREFUSED;
		return;
	}
	curl_easy_getinfo(x->easy, CURLINFO_RESPONSE_CODE, &status);
	r->io =
	    x->framed || status == STATUS_NO_CONTENT ? OGL_IO_OK : OGL_IO_LOST;
	r->status = (unsigned)status;
	r->body.p = (const char *)x->answer->data;
	r->body.n = x->answer->len;
}

static void
count_bytes(const struct xfer *x)
{
	GHashTable *bytes = x->client->bytes;
	struct ogl_http_bytes *b = g_hash_table_lookup(bytes, x->kind);
	curl_off_t up = 0, down = 0;
	long request = 0, header = 0;

	if (b == NULL) {
		b = g_new0(struct ogl_http_bytes, 1);
		g_hash_table_insert(bytes, (char *)(uintptr_t)x->kind, b);
	}
	curl_easy_getinfo(x->easy, CURLINFO_REQUEST_SIZE, &request);
	curl_easy_getinfo(x->easy, CURLINFO_SIZE_UPLOAD_T, &up);
	curl_easy_getinfo(x->easy, CURLINFO_HEADER_SIZE, &header);
	curl_easy_getinfo(x->easy, CURLINFO_SIZE_DOWNLOAD_T, &down);
	b->requests++;
	/* A body sent together with the headers is included in request. */
	b->sent += (uint64_t)MAX(request, up);
	b->received += (uint64_t)(header + down);
}

static void
on_ended(void *ctx, CURL *easy, CURLcode rc)
{
	struct ogl_http_client *h = ctx;
	struct ogl_http_result r = {.body = {"", 0}};
	struct xfer *x;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &x);
	classify_result(x, rc, &r);
	count_bytes(x);
	ogl_curl_loop_remove(x->curl, easy);
	g_queue_unlink(&h->busy, &x->link);
	x->done(x->arg, &r);
	xfer_release(x);
}

GHashTable *
ogl_http_client_bytes(const struct ogl_http_client *h)
{
	return h->bytes;
}

bool
ogl_http_client_run(struct ogl_http_client *h)
{
	bool ran = false;
	unsigned i;

	for (i = 0; i < CURL_LOOPS; i++) {
		if (h->loops[i] != NULL && ogl_curl_loop_run(h->loops[i]))
			ran = true;
	}
	return ran;
}

/* ---- starting requests ------------------------------------------------ */

/* Hashes the host and port of the URL with FNV-1a. */
static unsigned
loop_index(const char *url)
{
	const char *p = strstr(url, "://");
	uint32_t hash = 2166136261u;

	for (p = p != NULL ? p + 3 : url; *p != '\0' && *p != '/'; p++)
		hash = (hash ^ (uint8_t)*p) * 16777619u;
	return (hash ^ hash >> 16) % CURL_LOOPS;
}

static struct ogl_curl_loop *
get_loop(struct ogl_http_client *h, const char *url)
{
	struct ogl_curl_loop **curl = &h->loops[loop_index(url)];
	struct ogl_curl_loop_config config = {HOST_CONNECTIONS_MAX,
	    CACHED_CONNECTIONS_PER_LOOP, CURL_LOOPS, on_ended, h};

	if (*curl == NULL)
		*curl = ogl_curl_loop_init(h->loop, &config);
	return *curl;
}

static void
set_body(struct xfer *x, GBytes *body)
{
	gsize n;
	const void *p;

	if (body == NULL) {
		curl_easy_setopt(x->easy, CURLOPT_HTTPGET, 1L);
		return;
	}
	x->body = g_bytes_ref(body);
	p = g_bytes_get_data(body, &n);
	curl_easy_setopt(x->easy, CURLOPT_POST, 1L);
	curl_easy_setopt(x->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)n);
	curl_easy_setopt(x->easy, CURLOPT_POSTFIELDS, p != NULL ? p : "");
	x->headers = curl_slist_append(x->headers, "Expect:");
}

void
ogl_http_client_send(
    struct ogl_http_client *h, const struct ogl_http_request *r)
{
	struct xfer *x = xfer_new(h);
	size_t i;

	x->done = r->done;
	x->arg = r->arg;
	x->may_resend = r->resend_allowed;
	x->kind = r->kind != NULL ? r->kind : "other";
	for (i = 0; i < r->nheaders; i++)
		x->headers = curl_slist_append(x->headers, r->headers[i]);
	set_body(x, r->body);
	curl_easy_setopt(x->easy, CURLOPT_URL, r->url);
	curl_easy_setopt(x->easy, CURLOPT_HTTPHEADER, x->headers);
	curl_easy_setopt(x->easy, CURLOPT_TIMEOUT_MS, (long)r->timeout_ms);
	g_queue_push_tail_link(&h->busy, &x->link);
	x->curl = get_loop(h, r->url);
	ogl_curl_loop_add(x->curl, x->easy);
}

/* ---- init and end ----------------------------------------------------- */

struct ogl_http_client *
ogl_http_client_init(struct ev_loop *loop)
{
	struct ogl_http_client *h = g_new0(struct ogl_http_client, 1);

	h->loop = loop;
	h->pool = g_ptr_array_new_with_free_func(xfer_free);
	h->bytes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	g_queue_init(&h->busy);
	return h;
}

void
ogl_http_client_end(struct ogl_http_client *h)
{
	GList *l;
	unsigned i;

	if (h == NULL)
		return;
	while ((l = g_queue_pop_head_link(&h->busy)) != NULL) {
		struct xfer *x = l->data;

		ogl_curl_loop_remove(x->curl, x->easy);
		xfer_clear(x);
		xfer_free(x);
	}
	g_ptr_array_unref(h->pool);
	g_hash_table_unref(h->bytes);
	for (i = 0; i < CURL_LOOPS; i++) {
		if (h->loops[i] != NULL)
			ogl_curl_loop_end(h->loops[i]);
	}
	g_free(h);
}
