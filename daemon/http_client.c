/*
 * Easy handles live in a pool and are set up once; a request changes only its
 * address, headers, body and timeout.
 *
 * Whether anything was sent is taken from CURLINFO_REQUEST_SIZE, which counts
 * the bytes handed to the kernel, never from the error code: a timeout may
 * come before or after the sending.
 *
 * libcurl sends a request a second time, silently, when a connection it
 * reused ends before any byte of the answer.  The first copy may have been
 * carried out by then.  The hook that libcurl calls right before each sending
 * refuses the second one unless the request says that it may go twice.
 */

#include <curl/curl.h>
#include <ev.h>
#include <string.h>
#include <unistd.h>

#include "http_client.h"

#define HOST_CONNECTIONS 48L /* a worker takes 64 from all nodes together */
#define CACHED_CONNECTIONS 2048L
#define CACHED_SHARE 4 /* of the descriptors this process may open */
#define CONNECT_MS 1000L
#define REUSE_IDLE_S 60L
#define POOL_MAX 256
#define BODY_KEEP ((size_t)64 * 1024) /* buffer a pooled handle may keep */
#define ANSWER_MAX ((size_t)16 * 1024 * 1024)
#define STATUS_NO_CONTENT 204

struct xfer {
	struct ogl_http_client *client;
	CURL *easy;
	ogl_http_done *done;
	void *arg;
	GBytes *body;
	struct curl_slist *headers;
	bool again;
	unsigned sends; /* how often libcurl began to send it */
	GByteArray *answer;
	bool overflow;
	bool framed; /* the answer tells its own length */
	GList link;  /* in busy */
};

struct sock {
	struct ogl_http_client *client;
	ev_io io;
};

struct ogl_http_client {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer timer;
	GQueue busy; /* struct xfer */
	GPtrArray *pool;
	bool kick; /* libcurl asked to be called at once */
};

/* ---- the pool of easy handles ----------------------------------------- */

static size_t
on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct xfer *x = ctx;

	n *= size;
	if (x->answer->len + n > ANSWER_MAX) {
		x->overflow = true;
		return 0;
	}
	g_byte_array_append(x->answer, (const guint8 *)data, (guint)n);
	return n;
}

static bool
is_header(const char *line, size_t n, const char *name)
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
		x->framed = false; /* an interim answer may have gone before */
	if (is_header(line, n, "Content-Length") ||
	    is_header(line, n, "Transfer-Encoding"))
		x->framed = true;
	return n;
}

/* Called by libcurl with a connection ready, right before it sends. */
static int
on_before_send(
    void *ctx, char *to_ip, char *from_ip, int to_port, int from_port)
{
	struct xfer *x = ctx;

	(void)to_ip;
	(void)from_ip;
	(void)to_port;
	(void)from_port;
	if (x->sends++ > 0 && !x->again)
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
	/* These paths would be copied for each request, though there is no
	 * TLS here. */
	curl_easy_setopt(e, CURLOPT_CAINFO, NULL);
	curl_easy_setopt(e, CURLOPT_CAPATH, NULL);
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_MS);
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, REUSE_IDLE_S);
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

/* Drops all that belongs to one request. */
static void
xfer_clear(struct xfer *x)
{
	if (x->body != NULL)
		g_bytes_unref(x->body);
	curl_slist_free_all(x->headers);
	x->body = NULL;
	x->headers = NULL;
	x->sends = 0;
	x->overflow = false;
	x->framed = false;
}

static void
xfer_release(struct xfer *x)
{
	struct ogl_http_client *h = x->client;
	bool large = x->answer->len > BODY_KEEP;

	xfer_clear(x);
	if (large || h->pool->len >= POOL_MAX) {
		xfer_free(x);
		return;
	}
	g_byte_array_set_size(x->answer, 0);
	g_ptr_array_add(h->pool, x);
}

/* ---- the end of a request --------------------------------------------- */

/*
 * An answer without a length ends where its connection ends, and so a cut one
 * looks whole; it is not believed.
 */
static void
judge(struct xfer *x, CURLcode rc, struct ogl_http_result *r)
{
	long status = 0;
	long sent = 0;

	curl_easy_getinfo(x->easy, CURLINFO_REQUEST_SIZE, &sent);
	if (rc != CURLE_OK) {
		r->io = sent == 0 ? OGL_IO_NOT_SENT : OGL_IO_LOST;
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
take_ended(struct ogl_http_client *h)
{
	struct xfer *x;
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(h->multi, &left)) != NULL) {
		struct ogl_http_result r = {.body = {"", 0}};
		CURLcode rc = m->data.result;

		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &x);
		judge(x, rc, &r);
		curl_multi_remove_handle(h->multi, x->easy);
		g_queue_unlink(&h->busy, &x->link);
		x->done(x->arg, &r);
		xfer_release(x);
	}
}

/* ---- libcurl on the loop ---------------------------------------------- */

static void
act(struct ogl_http_client *h, curl_socket_t fd, int what)
{
	int running;

	curl_multi_socket_action(h->multi, fd, what, &running);
	take_ended(h);
}

static void
on_sock(struct ev_loop *loop, ev_io *w, int events)
{
	struct ogl_http_client *h = ((struct sock *)w->data)->client;
	int what = 0;

	(void)loop;
	if (events & EV_READ)
		what |= CURL_CSELECT_IN;
	if (events & EV_WRITE)
		what |= CURL_CSELECT_OUT;
	act(h, w->fd, what);
}

static void
on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	act(w->data, CURL_SOCKET_TIMEOUT, 0);
}

static int
on_curl_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *sockp)
{
	struct ogl_http_client *h = ctx;
	struct sock *s = sockp;
	int events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (s != NULL) {
			ev_io_stop(h->loop, &s->io);
			g_free(s);
		}
		return 0;
	}
	if (s == NULL) {
		s = g_new0(struct sock, 1);
		s->client = h;
		ev_init(&s->io, on_sock);
		s->io.data = s;
		curl_multi_assign(h->multi, fd, s);
	}
	if (what & CURL_POLL_IN)
		events |= EV_READ;
	if (what & CURL_POLL_OUT)
		events |= EV_WRITE;
	ev_io_stop(h->loop, &s->io);
	ev_io_set(&s->io, fd, events);
	ev_io_start(h->loop, &s->io);
	return 0;
}

static int
on_curl_timer(CURLM *multi, long ms, void *ctx)
{
	struct ogl_http_client *h = ctx;

	(void)multi;
	ev_timer_stop(h->loop, &h->timer);
	h->kick = ms == 0;
	if (ms < 0)
		return 0;
	ev_timer_set(&h->timer, (ev_tstamp)ms / 1e3, 0.);
	ev_timer_start(h->loop, &h->timer);
	return 0;
}

bool
ogl_http_client_run(struct ogl_http_client *h)
{
	if (!h->kick)
		return false;
	h->kick = false;
	act(h, CURL_SOCKET_TIMEOUT, 0);
	return true;
}

/* ---- starting requests ------------------------------------------------ */

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
	x->again = r->again;
	for (i = 0; i < r->nheaders; i++)
		x->headers = curl_slist_append(x->headers, r->headers[i]);
	set_body(x, r->body);
	curl_easy_setopt(x->easy, CURLOPT_URL, r->url);
	curl_easy_setopt(x->easy, CURLOPT_HTTPHEADER, x->headers);
	curl_easy_setopt(x->easy, CURLOPT_TIMEOUT_MS, (long)r->timeout_ms);
	g_queue_push_tail_link(&h->busy, &x->link);
	curl_multi_add_handle(h->multi, x->easy);
}

/* ---- beginning and end ------------------------------------------------ */

static long
cached_connections(void)
{
	long open_max = sysconf(_SC_OPEN_MAX);

	if (open_max < 0)
		return CACHED_CONNECTIONS;
	return CLAMP(open_max / CACHED_SHARE, 1, CACHED_CONNECTIONS);
}

struct ogl_http_client *
ogl_http_client_init(struct ev_loop *loop)
{
	struct ogl_http_client *h = g_new0(struct ogl_http_client, 1);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	h->loop = loop;
	h->pool = g_ptr_array_new_with_free_func(xfer_free);
	g_queue_init(&h->busy);
	ev_init(&h->timer, on_timer);
	h->timer.data = h;
	h->multi = curl_multi_init();
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETFUNCTION, on_curl_socket);
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETDATA, h);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERDATA, h);
	curl_multi_setopt(
	    h->multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
	curl_multi_setopt(
	    h->multi, CURLMOPT_MAX_HOST_CONNECTIONS, HOST_CONNECTIONS);
	curl_multi_setopt(h->multi, CURLMOPT_MAXCONNECTS, cached_connections());
	return h;
}

void
ogl_http_client_end(struct ogl_http_client *h)
{
	GList *l;

	if (h == NULL)
		return;
	while ((l = g_queue_pop_head_link(&h->busy)) != NULL) {
		struct xfer *x = l->data;

		curl_multi_remove_handle(h->multi, x->easy);
		xfer_clear(x);
		xfer_free(x);
	}
	g_ptr_array_unref(h->pool);
	curl_multi_cleanup(h->multi);
	ev_timer_stop(h->loop, &h->timer);
	g_free(h);
	curl_global_cleanup();
}
