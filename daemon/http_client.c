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
 *
 * Requests beyond the limits of their host (host_conns.h) wait here and not in
 * libcurl, which has one queue for all hosts of a multi handle and wakes only
 * the first of it.
 */

#include <errno.h>
#include <ev.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "curl_loop.h"
#include "host_conns.h"
#include "http_client.h"

#define CURL_LOOPS 32
#define CACHED_CONNECTIONS_PER_LOOP 128L
#define CONNECT_TIMEOUT_MS 1000L
/* The same for a host to which another connection works, so that there is time
 * left to wait for that one. */
#define FURTHER_CONNECT_TIMEOUT_MS 300L
#define REUSE_IDLE_MAX_S 60L
#define SWEEP_INTERVAL_S 1.0
#define ADDR_BYTES 64
#define POOLED_HANDLES_MAX 256
/* A handle whose answer was larger is freed instead of pooled. */
#define POOLED_BUFFER_MAX_BYTES ((size_t)64 * 1024)
#define ANSWER_MAX_BYTES ((size_t)16 * 1024 * 1024)
#define STATUS_NO_CONTENT 204

/* A worker accepts 64 connections from all nodes together, and those of nodes
 * that have lost power may count there for good. */
#define WORKER_ORDERS_MAX 4
#define WORKER_IDLE_MAX_S 10

static const struct ogl_host_limits limits[] = {
    [OGL_HTTP_SERVICE] = {48, 48, REUSE_IDLE_MAX_S *OGL_SEC},
    [OGL_HTTP_WORKER] = {WORKER_ORDERS_MAX + 1, WORKER_ORDERS_MAX,
	WORKER_IDLE_MAX_S *OGL_SEC},
};

/* A host with requests or connections. */
struct host {
	struct ogl_http_client *client;
	char addr[ADDR_BYTES]; /* ip:port */
	unsigned loop;         /* index in loops */
	struct ogl_host_conns *conns;
	GQueue waiting; /* struct xfer, in order of their arrival */
	unsigned waiting_urgent;
	ev_timer retry;
};

enum xfer_state {
	XFER_WAITING, /* for a connection to its host */
	XFER_SENDING, /* libcurl has it */
	XFER_EXPIRED  /* ends with the next turn of the event loop */
};

struct xfer {
	struct ogl_http_client *client;
	struct host *host;
	CURL *easy;
	ogl_http_done *done;
	void *arg;
	const char *kind;
	GBytes *body;
	struct curl_slist *headers;
	bool may_resend;
	bool urgent;
	enum xfer_state state;
	ogl_time deadline;
	ev_timer expiry; /* unless it is sending */
	GList wait_link; /* in the host's waiting */
	struct ogl_conn_request request;
	bool new_conn; /* a connection was opened for it */
	int fd;        /* of that connection, -1 none or it has come up */
	bool heard;    /* a byte of the answer has come */
	unsigned send_attempts;
	GByteArray *answer;
	bool overflow;
	bool framed; /* has a Content-Length or a Transfer-Encoding */
	GList link;  /* in busy */
};

struct ogl_http_client {
	struct ev_loop *loop;
	struct ogl_curl_loop *loops[CURL_LOOPS]; /* NULL until needed */
	GHashTable *hosts;                       /* addr -> struct host */
	GHashTable *conns;                       /* fd -> struct ogl_conn */
	ev_timer sweep;
	GQueue busy; /* struct xfer */
	GPtrArray *pool;
	GHashTable *bytes; /* kind -> struct ogl_http_bytes */
};

/* CLOCK_MONOTONIC doesn't advance while the machine is suspended, and a request
 * that has waited for that long must not be sent any more. */
static ogl_time
present(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (ogl_time)ts.tv_sec * OGL_SEC + ts.tv_nsec / 1000;
}

/* ---- callbacks of libcurl --------------------------------------------- */

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
	x->heard = true;
	if (n >= 5 && memcmp(line, "HTTP/", 5) == 0)
		x->framed = false; /* drops an interim answer's headers */
	if (header_has_name(line, n, "Content-Length") ||
	    header_has_name(line, n, "Transfer-Encoding"))
		x->framed = true;
	return n;
}

/* on_close is called only for connections that have come up. */
static void
add_conn(struct xfer *x, int port)
{
	g_hash_table_insert(x->client->conns, GINT_TO_POINTER(x->fd),
	    ogl_host_conns_add(x->host->conns, x->fd, port, &x->request));
	x->fd = -1;
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
	if (x->send_attempts++ > 0 && !x->may_resend)
		return CURL_PREREQFUNC_ABORT;
	if (x->fd >= 0)
		add_conn(x, from_port);
	ogl_host_conns_sending(x->host->conns, &x->request, from_port);
	return CURL_PREREQFUNC_OK;
}

static curl_socket_t
on_open(void *ctx, curlsocktype purpose, struct curl_sockaddr *a)
{
	struct xfer *x = ctx;
	int fd = socket(a->family, a->socktype | SOCK_CLOEXEC, a->protocol);

	(void)purpose;
	if (fd < 0)
		return CURL_SOCKET_BAD;
	x->new_conn = true;
	x->fd = fd;
	return fd;
}

static int
on_close(void *ctx, curl_socket_t fd)
{
	struct ogl_http_client *h = ctx;
	struct ogl_conn *c = g_hash_table_lookup(h->conns, GINT_TO_POINTER(fd));

	if (c != NULL) {
		g_hash_table_remove(h->conns, GINT_TO_POINTER(fd));
		ogl_conn_remove(c);
	}
	return close(fd);
}

/* ---- the pool of easy handles ----------------------------------------- */

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
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, REUSE_IDLE_MAX_S);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, x);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, x);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, x);
	curl_easy_setopt(e, CURLOPT_OPENSOCKETFUNCTION, on_open);
	curl_easy_setopt(e, CURLOPT_OPENSOCKETDATA, x);
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETFUNCTION, on_close);
	/* A connection may outlive the request that it was opened for. */
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETDATA, x->client);
}

static void on_expiry(struct ev_loop *loop, ev_timer *w, int events);

static struct xfer *
xfer_new(struct ogl_http_client *h)
{
	struct xfer *x;

	if (h->pool->len > 0)
		return g_ptr_array_steal_index_fast(h->pool, h->pool->len - 1);
	x = g_new0(struct xfer, 1);
	x->client = h;
	x->link.data = x;
	x->wait_link.data = x;
	x->fd = -1;
	ev_init(&x->expiry, on_expiry);
	x->expiry.data = x;
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
	x->host = NULL;
	x->state = XFER_WAITING;
	memset(&x->request, 0, sizeof x->request);
	x->new_conn = false;
	x->fd = -1;
	x->heard = false;
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

static void send_waiting(struct host *host, ogl_time now);

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

static bool
was_reset(const struct xfer *x, CURLcode rc)
{
	long os_error = 0;

	curl_easy_getinfo(x->easy, CURLINFO_OS_ERRNO, &os_error);
	return rc == CURLE_COULDNT_CONNECT && os_error == ECONNRESET;
}

static enum ogl_conn_outcome
outcome_of(const struct xfer *x, CURLcode rc)
{
	if (rc == CURLE_OK)
		return OGL_CONN_ANSWERED;
	if (x->heard || x->send_attempts > 1)
		return OGL_CONN_FAILED;
	if (x->new_conn && x->send_attempts == 0)
		return was_reset(x, rc) ? OGL_CONN_RESET : OGL_CONN_REFUSED;
	if (rc == CURLE_OPERATION_TIMEDOUT)
		return x->new_conn ? OGL_CONN_FAILED : OGL_CONN_SILENT;
	return x->new_conn ? OGL_CONN_RESET : OGL_CONN_FAILED;
}

/* No connection came up for the request; it waits for one that works. */
static void
wait_again(struct xfer *x, ogl_time now)
{
	struct host *host = x->host;

	memset(&x->request, 0, sizeof x->request);
	x->new_conn = false;
	x->fd = -1;
	x->state = XFER_WAITING;
	g_queue_push_head_link(&host->waiting, &x->wait_link);
	host->waiting_urgent += x->urgent;
	ev_timer_set(
	    &x->expiry, (ev_tstamp)MAX(x->deadline - now, 0) / OGL_SEC, 0.);
	ev_timer_start(x->client->loop, &x->expiry);
}

static void
on_ended(void *ctx, CURL *easy, CURLcode rc)
{
	struct ogl_http_client *h = ctx;
	struct ogl_http_result r = {.body = {"", 0}};
	ogl_time now = present();
	struct xfer *x;
	struct host *host;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &x);
	host = x->host;
	classify_result(x, rc, &r);
	ogl_curl_loop_remove(h->loops[host->loop], easy);
	ogl_host_conns_finish(host->conns, &x->request, outcome_of(x, rc), now);
	if (x->new_conn && x->send_attempts == 0 &&
	    ogl_host_conns_may_wait(host->conns, &x->request)) {
		wait_again(x, now);
	} else {
		count_bytes(x);
		g_queue_unlink(&h->busy, &x->link);
		x->done(x->arg, &r);
		xfer_release(x);
	}
	send_waiting(host, present());
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

/* Hashes the address with FNV-1a. */
static unsigned
loop_index(const char *addr)
{
	uint32_t hash = 2166136261u;

	for (; *addr != '\0'; addr++)
		hash = (hash ^ (uint8_t)*addr) * 16777619u;
	return (hash ^ hash >> 16) % CURL_LOOPS;
}

static struct ogl_curl_loop *
get_loop(struct ogl_http_client *h, unsigned i)
{
	struct ogl_curl_loop_config config = {
	    0, CACHED_CONNECTIONS_PER_LOOP, CURL_LOOPS, on_ended, h};

	if (h->loops[i] == NULL)
		h->loops[i] = ogl_curl_loop_init(h->loop, &config);
	return h->loops[i];
}

static void
xfer_start(struct xfer *x, ogl_time now)
{
	struct ogl_http_client *h = x->client;
	long left_ms = (long)((x->deadline - now + OGL_MS - 1) / OGL_MS);

	ev_timer_stop(h->loop, &x->expiry);
	x->state = XFER_SENDING;
	curl_easy_setopt(x->easy, CURLOPT_TIMEOUT_MS, left_ms);
	curl_easy_setopt(x->easy, CURLOPT_CONNECTTIMEOUT_MS,
	    ogl_host_conns_working(x->host->conns) ? FURTHER_CONNECT_TIMEOUT_MS
						   : CONNECT_TIMEOUT_MS);
	ogl_host_conns_begin(x->host->conns, &x->request, x->urgent);
	ogl_curl_loop_add(get_loop(h, x->host->loop), x->easy);
}

/* Ends a request that waits, with the next turn of the event loop. */
static void
xfer_expire(struct xfer *x)
{
	struct ogl_http_client *h = x->client;

	x->state = XFER_EXPIRED;
	ev_timer_stop(h->loop, &x->expiry);
	ev_timer_set(&x->expiry, 0., 0.);
	ev_timer_start(h->loop, &x->expiry);
}

static void
set_retry(struct host *host, ogl_time now)
{
	struct ev_loop *loop = host->client->loop;
	ogl_time at = ogl_host_conns_retry_at(host->conns, now);

	ev_timer_stop(loop, &host->retry);
	if (g_queue_is_empty(&host->waiting) || at == OGL_NEVER)
		return;
	ev_timer_set(&host->retry, (ev_tstamp)(at - now) / OGL_SEC, 0.);
	ev_timer_start(loop, &host->retry);
}

static void
stop_waiting(struct xfer *x)
{
	g_queue_unlink(&x->host->waiting, &x->wait_link);
	x->host->waiting_urgent -= x->urgent;
}

/* The first request that may be sent; urgent ones overtake others that may
 * not. */
static struct xfer *
next_to_send(const struct host *host, ogl_time now)
{
	GList *l;

	for (l = host->waiting.head; l != NULL; l = l->next) {
		struct xfer *x = l->data;

		if (ogl_host_conns_may_send(host->conns, x->urgent, now))
			return x;
		if (x->urgent || host->waiting_urgent == 0)
			return NULL;
	}
	return NULL;
}

static void
send_waiting(struct host *host, ogl_time now)
{
	struct xfer *x;

	while ((x = next_to_send(host, now)) != NULL) {
		stop_waiting(x);
		if (now < x->deadline)
			xfer_start(x, now);
		else
			xfer_expire(x);
	}
	set_retry(host, now);
}

static void
on_retry(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	send_waiting(w->data, present());
}

/* Nothing of the request was sent. */
static void
on_expiry(struct ev_loop *loop, ev_timer *w, int events)
{
	struct xfer *x = w->data;
	struct ogl_http_result r = {.io = OGL_IO_NOT_SENT, .body = {"", 0}};

	(void)loop;
	(void)events;
	if (x->state == XFER_WAITING)
		stop_waiting(x);
	g_queue_unlink(&x->client->busy, &x->link);
	x->done(x->arg, &r);
	xfer_release(x);
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

static void
host_free(void *p)
{
	struct host *host = p;

	ev_timer_stop(host->client->loop, &host->retry);
	ogl_host_conns_end(host->conns);
	g_free(host);
}

static gboolean
host_is_unused(gpointer key, gpointer value, gpointer ctx)
{
	const struct host *host = value;

	(void)key;
	(void)ctx;
	return host->waiting.length == 0 && ogl_host_conns_unused(host->conns);
}

static struct host *
get_host(struct ogl_http_client *h, const struct ogl_http_request *r)
{
	const char *addr = strstr(r->url, "://");
	char key[ADDR_BYTES];
	struct host *host;

	addr = addr != NULL ? addr + 3 : r->url;
	g_strlcpy(key, addr, MIN(strcspn(addr, "/") + 1, sizeof key));
	host = g_hash_table_lookup(h->hosts, key);
	if (host != NULL)
		return host;
	host = g_new0(struct host, 1);
	host->client = h;
	g_strlcpy(host->addr, key, sizeof host->addr);
	host->loop = loop_index(key);
	host->conns = ogl_host_conns_init(&limits[r->host]);
	g_queue_init(&host->waiting);
	ev_init(&host->retry, on_retry);
	host->retry.data = host;
	g_hash_table_insert(h->hosts, host->addr, host);
	if (!ev_is_active(&h->sweep))
		ev_timer_again(h->loop, &h->sweep);
	return host;
}

void
ogl_http_client_send(
    struct ogl_http_client *h, const struct ogl_http_request *r)
{
	struct xfer *x = xfer_new(h);
	ogl_time now = present();
	size_t i;

	x->host = get_host(h, r);
	x->done = r->done;
	x->arg = r->arg;
	x->may_resend = r->resend_allowed;
	x->urgent = r->urgent;
	x->deadline = now + r->timeout_ms * OGL_MS;
	x->kind = r->kind != NULL ? r->kind : "other";
	for (i = 0; i < r->nheaders; i++)
		x->headers = curl_slist_append(x->headers, r->headers[i]);
	set_body(x, r->body);
	curl_easy_setopt(x->easy, CURLOPT_URL, r->url);
	curl_easy_setopt(x->easy, CURLOPT_HTTPHEADER, x->headers);
	g_queue_push_tail_link(&h->busy, &x->link);
	g_queue_push_tail_link(&x->host->waiting, &x->wait_link);
	x->host->waiting_urgent += x->urgent;
	send_waiting(x->host, now);
	if (x->state != XFER_WAITING)
		return;
	ev_timer_set(&x->expiry, r->timeout_ms / 1e3, 0.);
	ev_timer_start(h->loop, &x->expiry);
}

/* ---- hosts ------------------------------------------------------------ */

void
ogl_http_client_release(struct ogl_http_client *h, const char *addr)
{
	struct host *host = g_hash_table_lookup(h->hosts, addr);
	struct xfer *x;

	if (host == NULL)
		return;
	while ((x = g_queue_peek_head(&host->waiting)) != NULL) {
		stop_waiting(x);
		xfer_expire(x);
	}
	ogl_host_conns_release(host->conns);
}

static void
end_loop(struct ogl_http_client *h, unsigned i)
{
	if (h->loops[i] != NULL)
		ogl_curl_loop_end(h->loops[i]);
	h->loops[i] = NULL;
}

/*
 * Closes connections that have been idle for too long.  libcurl closes those
 * that were shut down with the next request of their loop; a loop without
 * requests and other connections is ended.
 */
static void
on_sweep(struct ev_loop *loop, ev_timer *w, int events)
{
	struct ogl_http_client *h = w->data;
	bool used[CURL_LOOPS] = {false};
	ogl_time now = present();
	GHashTableIter it;
	gpointer p;
	unsigned i;

	(void)events;
	g_hash_table_iter_init(&it, h->hosts);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct host *host = p;

		ogl_host_conns_shut_old(host->conns, now);
		used[host->loop] |= ogl_host_conns_in_use(host->conns);
	}
	for (i = 0; i < CURL_LOOPS; i++) {
		if (!used[i])
			end_loop(h, i);
	}
	g_hash_table_foreach_remove(h->hosts, host_is_unused, NULL);
	if (g_hash_table_size(h->hosts) == 0)
		ev_timer_stop(loop, w);
}

/* ---- init and end ----------------------------------------------------- */

struct ogl_http_client *
ogl_http_client_init(struct ev_loop *loop)
{
	struct ogl_http_client *h = g_new0(struct ogl_http_client, 1);

	/* Only plain HTTP is used; loading TLS would cost each node memory. */
	curl_global_init(CURL_GLOBAL_NOTHING);
	h->loop = loop;
	h->hosts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, host_free);
	h->conns = g_hash_table_new(NULL, NULL);
	ev_timer_init(&h->sweep, on_sweep, 0., SWEEP_INTERVAL_S);
	h->sweep.data = h;
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

		ev_timer_stop(h->loop, &x->expiry);
		if (x->state == XFER_SENDING)
			ogl_curl_loop_remove(h->loops[x->host->loop], x->easy);
		ogl_conn_request_drop(&x->request);
		xfer_clear(x);
		xfer_free(x);
	}
	ev_timer_stop(h->loop, &h->sweep);
	for (i = 0; i < CURL_LOOPS; i++)
		end_loop(h, i);
	g_ptr_array_unref(h->pool);
	g_hash_table_unref(h->bytes);
	g_hash_table_unref(h->hosts);
	g_hash_table_unref(h->conns);
	g_free(h);
	curl_global_cleanup();
}
