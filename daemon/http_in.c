/*
 * HTTP server for callers and operators, over libmicrohttpd.  libmicrohttpd
 * runs without a thread of its own: the event loop watches its epoll
 * descriptor, and ogl_http_in_run runs it.
 *
 * A struct conn is a connection; a struct call is a request, from the arrival
 * of its first line until the last byte of its answer is sent.  A call has
 * these states:
 *
 *	READING -> WAITING (suspended until the node replies) -> ANSWERED
 *	                  \-> ABANDONED (the caller disconnected)
 *
 * libmicrohttpd does not poll the socket of a suspended connection, so it would
 * not notice that a caller disconnects, and work would be done for nobody.  A
 * second epoll descriptor therefore watches all connections for EPOLLRDHUP
 * only.  A caller that only closes its sending side looks the same and counts
 * as disconnected.
 *
 * libmicrohttpd's own timeout restarts with each byte received, so a caller
 * that sends a byte a second would keep its connection for ever.  A periodic
 * sweep closes connections whose request is not complete within
 * request_timeout_ms.
 */

#define _GNU_SOURCE /* accept4 */
#include <errno.h>
#include <ev.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "addr.h"
#include "http_in.h"
#include "http_reply.h"

#define LOG_PREFIX "http"
#define HANGUPS_PER_WAIT 64
#define CONNECTIONS_MAX 4000
#define LISTEN_BACKLOG 1024
/* Of a body that is too large, up to this many times body_max_bytes are read
 * and discarded. */
#define DISCARD_FACTOR 8
/* A larger value of the budget header counts as malformed. */
#define BUDGET_MAX_MS ((uint64_t)24 * 3600 * 1000)
#define RETRY_AFTER_MS 1000
#define BYTES_TYPE "application/octet-stream"
#define TEXT_TYPE "text/plain; version=0.0.4"

enum call_state {
	CALL_READING,
	CALL_WAITING,
	CALL_ANSWERED,
	CALL_ABANDONED
};

struct conn {
	int fd;
	struct call *call;
	/* Time when it was opened or its latest request began or ended. */
	ev_tstamp since;
	bool peer_closed; /* the caller closed its side */
	bool read_shut;   /* its reading side was shut down here */
	GList link;       /* in conns */
};

struct call {
	struct ogl_http_in *in;
	struct MHD_Connection *mhd;
	struct conn *conn;
	enum call_state state;
	bool headers_seen;
	/* Status with which to refuse the request once it is read, or 0. */
	unsigned refusal_status;
	uint64_t token;
	char *path; /* with its query, as sent */
	GByteArray *body;
	size_t received; /* bytes of the body, including discarded ones */
	struct MHD_Response *response;
	unsigned status;
};

struct ogl_http_in {
	struct ev_loop *loop;
	struct MHD_Daemon *mhd;
	struct ogl_http_in_limits limits;
	struct ogl_sink sink;
	struct ogl_http_in_ops ops;
	struct ogl_logger *log;
	int hangup_fd;
	uint16_t port;
	ev_io mhd_io;
	ev_io hangup_io;
	ev_timer mhd_timer;
	ev_timer sweep;
	bool mhd_due;  /* libmicrohttpd may have something to do */
	bool closing;  /* each reply closes its connection */
	bool quiesced; /* requests that still arrive are refused */
	uint64_t last_token;
	GHashTable *waiting; /* token -> struct call */
	GQueue conns;        /* struct conn */
	size_t body_total;
	struct ogl_http_in_counts counts;
};

/* Half of the file descriptors are reserved for connections to targets, peers
 * and the platform. */
static unsigned
connections_max(void)
{
	long open_max = sysconf(_SC_OPEN_MAX);

	if (open_max < 0)
		return CONNECTIONS_MAX;
	return (unsigned)CLAMP(open_max / 2, 1, CONNECTIONS_MAX);
}

void
ogl_http_in_limits_default(struct ogl_http_in_limits *l)
{
	l->body_max_bytes = (size_t)1024 * 1024;
	l->body_total_max_bytes = (size_t)32 * 1024 * 1024;
	l->connections_max = connections_max();
	l->header_buffer_bytes = 8 * 1024;
	l->request_timeout_ms = 10000;
	l->idle_timeout_s = 75;
	l->budget_header = "Ogl-Timeout-Ms";
	l->ready_path = "/readyz";
	l->calls_only = false;
}

/* ---- responses -------------------------------------------------------- */

static enum MHD_Result
send_response(
    struct MHD_Connection *mhd, unsigned status, struct MHD_Response *r)
{
	enum MHD_Result ok;

	if (r == NULL)
		return MHD_NO;
	ok = MHD_queue_response(mhd, status, r);
	MHD_destroy_response(r);
	return ok;
}

/* Refuses a request that was not passed to the node. */
static enum MHD_Result
refuse(struct call *c, unsigned status, const char *why, uint64_t retry_ms)
{
	struct MHD_Response *r =
	    ogl_http_reply_refusal(why, retry_ms, c->in->closing);

	if (r != NULL && status == MHD_HTTP_METHOD_NOT_ALLOWED)
		MHD_add_response_header(
		    r, MHD_HTTP_HEADER_ALLOW, "GET, POST, DELETE");
	c->state = CALL_ANSWERED;
	return send_response(c->mhd, status, r);
}

static enum MHD_Result
refuse_by_status(struct call *c)
{
	switch (c->refusal_status) {
	case MHD_HTTP_CONTENT_TOO_LARGE:
		return refuse(c, c->refusal_status, "the body is too large", 0);
	case MHD_HTTP_METHOD_NOT_ALLOWED:
		return refuse(
		    c, c->refusal_status, "the method is not allowed", 0);
	case MHD_HTTP_SERVICE_UNAVAILABLE:
		return refuse(c, c->refusal_status, "no room for the body",
		    RETRY_AFTER_MS);
	default:
		return refuse(
		    c, MHD_HTTP_BAD_REQUEST, "a header is malformed", 0);
	}
}

/* ---- reading a request ------------------------------------------------ */

static struct ogl_str
get_header(struct call *c, const char *name)
{
	return ogl_str(
	    MHD_lookup_connection_value(c->mhd, MHD_HEADER_KIND, name));
}

static bool
known_method(const char *method)
{
	return strcmp(method, MHD_HTTP_METHOD_GET) == 0 ||
	       strcmp(method, MHD_HTTP_METHOD_POST) == 0 ||
	       strcmp(method, MHD_HTTP_METHOD_DELETE) == 0;
}

/* Returns the body's Content-Length, or 0 if it has none. */
static uint64_t
declared_length(struct call *c)
{
	struct ogl_str s = get_header(c, MHD_HTTP_HEADER_CONTENT_LENGTH);

	return s.n > 0 ? g_ascii_strtoull(s.p, NULL, 10) : 0;
}

/*
 * An answer sent while the caller is still sending is often lost: the socket is
 * closed with unread bytes, and the reset that this causes overtakes the
 * answer.  So a refusal is delayed until the end of the body, unless the caller
 * waits for "100 Continue" or the body is too large even to be discarded.
 */
static bool
refuse_at_once(struct call *c, uint64_t length)
{
	return get_header(c, MHD_HTTP_HEADER_EXPECT).n > 0 ||
	       length > DISCARD_FACTOR * c->in->limits.body_max_bytes;
}

static enum MHD_Result
begin_call(struct call *c, const char *method)
{
	uint64_t length = declared_length(c);

	c->headers_seen = true;
	if (!known_method(method))
		c->refusal_status = MHD_HTTP_METHOD_NOT_ALLOWED;
	if (length > c->in->limits.body_max_bytes) {
		c->refusal_status = MHD_HTTP_CONTENT_TOO_LARGE;
		c->in->counts.too_big++;
	}
	if (c->refusal_status != 0 && refuse_at_once(c, length))
		return refuse_by_status(c);
	return MHD_YES;
}

static void
drop_body(struct call *c)
{
	if (c->body == NULL)
		return;
	c->in->body_total -= c->body->len;
	g_byte_array_unref(c->body);
	c->body = NULL;
}

static enum MHD_Result
append_body(struct call *c, const char *data, size_t n)
{
	struct ogl_http_in *h = c->in;

	c->received += n;
	if (c->received > DISCARD_FACTOR * h->limits.body_max_bytes)
		return MHD_NO;
	if (c->refusal_status == 0 && c->received > h->limits.body_max_bytes) {
		c->refusal_status = MHD_HTTP_CONTENT_TOO_LARGE;
		h->counts.too_big++;
	}
	if (c->refusal_status == 0 &&
	    h->body_total + n > h->limits.body_total_max_bytes) {
		c->refusal_status = MHD_HTTP_SERVICE_UNAVAILABLE;
		h->counts.no_room++;
	}
	if (c->refusal_status != 0) {
		drop_body(c);
		return MHD_YES;
	}
	if (c->body == NULL)
		c->body = g_byte_array_new();
	g_byte_array_append(c->body, (const guint8 *)data, (guint)n);
	h->body_total += n;
	return MHD_YES;
}

static struct ogl_str
bearer_key(struct call *c)
{
	static const char scheme[] = "Bearer ";
	struct ogl_str s = get_header(c, MHD_HTTP_HEADER_AUTHORIZATION);

	if (s.n < sizeof scheme - 1 ||
	    g_ascii_strncasecmp(s.p, scheme, sizeof scheme - 1) != 0)
		return ogl_str("");
	s.p += sizeof scheme - 1;
	s.n -= sizeof scheme - 1;
	return s;
}

/* Fills in the event from the headers.  Returns false if one is malformed. */
static bool
read_headers(struct call *c, struct ogl_event *ev)
{
	struct ogl_str budget = get_header(c, c->in->limits.budget_header);
	struct ogl_str idem = get_header(c, "Ogl-Idempotent");
	guint64 ms = 0;

	if (budget.n > 0 && !g_ascii_string_to_unsigned(
				budget.p, 10, 1, BUDGET_MAX_MS, &ms, NULL))
		return false;
	if (idem.n > 0 && !ogl_str_eq(idem, ogl_str("1")) &&
	    !ogl_str_eq(idem, ogl_str("0")))
		return false;
	ev->u.call.budget_ms = ms;
	ev->u.call.idempotent = ogl_str_eq(idem, ogl_str("1"));
	ev->u.call.key = bearer_key(c);
	ev->u.call.host = get_header(c, MHD_HTTP_HEADER_HOST);
	ev->u.call.request_id = get_header(c, "Idempotency-Key");
	ev->u.call.work_kind = get_header(c, "Ogl-Kind");
	return true;
}

static enum MHD_Result
pass_to_node(struct call *c, const char *method)
{
	struct ogl_http_in *h = c->in;
	struct ogl_event ev = {.type = OGL_EV_CALL};

	if (!read_headers(c, &ev)) {
		h->counts.malformed++;
		return refuse(
		    c, MHD_HTTP_BAD_REQUEST, "a header is malformed", 0);
	}
	c->token = ++h->last_token;
	c->state = CALL_WAITING;
	ev.token = c->token;
	ev.u.call.method = ogl_str(method);
	ev.u.call.path = ogl_str(c->path);
	if (c->body != NULL) {
		ev.u.call.body.p = (const char *)c->body->data;
		ev.u.call.body.n = c->body->len;
	}
	g_hash_table_insert(h->waiting, &c->token, c);
	h->counts.calls++;
	MHD_suspend_connection(c->mhd);
	h->sink.event(h->sink.ctx, &ev);
	drop_body(c);
	return MHD_YES;
}

/* ---- paths answered locally ------------------------------------------- */

static enum MHD_Result
answer_text(struct call *c, unsigned status, char *text)
{
	GBytes *body = g_bytes_new_take(text, strlen(text));
	struct MHD_Response *r =
	    ogl_http_reply_new(body, TEXT_TYPE, c->in->closing);

	g_bytes_unref(body);
	c->state = CALL_ANSWERED;
	return send_response(c->mhd, status, r);
}

static enum MHD_Result
answer_healthz(struct call *c)
{
	return answer_text(c, MHD_HTTP_OK, g_strdup("ok\n"));
}

static enum MHD_Result
answer_readyz(struct call *c)
{
	struct ogl_http_in *h = c->in;

	if (!h->closing && h->ops.ready(h->ops.ctx))
		return answer_text(c, MHD_HTTP_OK, g_strdup("ready\n"));
	return answer_text(
	    c, MHD_HTTP_SERVICE_UNAVAILABLE, g_strdup("not ready\n"));
}

static enum MHD_Result
answer_metrics(struct call *c)
{
	return answer_text(c, MHD_HTTP_OK, c->in->ops.metrics(c->in->ops.ctx));
}

typedef enum MHD_Result local_handler(struct call *c);

/* Returns the local handler of a path, or NULL if the node answers it. */
static local_handler *
find_local_handler(const struct ogl_http_in *h, const char *url)
{
	if (h->limits.calls_only)
		return NULL;
	if (strcmp(url, h->limits.ready_path) == 0)
		return answer_readyz;
	if (strcmp(url, "/healthz") == 0)
		return answer_healthz;
	if (strcmp(url, "/metrics") == 0)
		return answer_metrics;
	return NULL;
}

/* ---- libmicrohttpd's callbacks ---------------------------------------- */

static struct conn *
conn_of(struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info != NULL ? info->socket_context : NULL;
}

/* Called by libmicrohttpd when the first line of a request has arrived. */
static void *
on_uri(void *cls, const char *uri, struct MHD_Connection *mhd)
{
	struct ogl_http_in *h = cls;
	struct call *c = g_new0(struct call, 1);

	c->in = h;
	c->mhd = mhd;
	c->conn = conn_of(mhd);
	c->path = g_strdup(uri);
	c->conn->call = c;
	c->conn->since = ev_now(h->loop);
	return c;
}

static enum MHD_Result
finish_reading(struct call *c, const char *method, const char *url)
{
	local_handler *handler;

	if (c->refusal_status != 0)
		return refuse_by_status(c);
	if (c->conn->peer_closed && !c->conn->read_shut) {
		c->in->counts.gone++;
		return MHD_NO;
	}
	handler = find_local_handler(c->in, url);
	if (handler != NULL)
		return handler(c);
	if (c->in->quiesced)
		return refuse(c, MHD_HTTP_SERVICE_UNAVAILABLE,
		    "the node has shut down", RETRY_AFTER_MS);
	return pass_to_node(c, method);
}

static enum MHD_Result
on_request(void *cls, struct MHD_Connection *mhd, const char *url,
    const char *method, const char *version, const char *data, size_t *n,
    void **con_cls)
{
	struct call *c = *con_cls;
	struct MHD_Response *r;
	enum MHD_Result ok;

	(void)cls;
	(void)version;
	if (c == NULL)
		return MHD_NO;
	switch (c->state) {
	case CALL_READING:
		if (!c->headers_seen)
			return begin_call(c, method);
		if (*n == 0)
			return finish_reading(c, method, url);
		ok = append_body(c, data, *n);
		*n = 0;
		return ok;
	case CALL_ANSWERED:
		if (c->response == NULL) {
			*n = 0;
			return MHD_YES;
		}
		r = c->response;
		c->response = NULL;
		return send_response(mhd, c->status, r);
	case CALL_WAITING:
		return MHD_YES;
	case CALL_ABANDONED:
	default:
		return MHD_NO;
	}
}

static void
on_completed(void *cls, struct MHD_Connection *mhd, void **con_cls,
    enum MHD_RequestTerminationCode toe)
{
	struct ogl_http_in *h = cls;
	struct call *c = *con_cls;

	(void)mhd;
	(void)toe;
	if (c == NULL)
		return;
	*con_cls = NULL;
	if (c->state == CALL_WAITING)
		g_hash_table_remove(h->waiting, &c->token);
	if (c->response != NULL)
		MHD_destroy_response(c->response);
	c->conn->call = NULL;
	c->conn->since = ev_now(h->loop);
	drop_body(c);
	g_free(c->path);
	g_free(c);
}

static void
conn_open(struct ogl_http_in *h, struct MHD_Connection *mhd, void **context)
{
	struct epoll_event want = {.events = EPOLLRDHUP | EPOLLET};
	struct conn *k = g_new0(struct conn, 1);

	k->fd = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
		    ->connect_fd;
	k->since = ev_now(h->loop);
	k->link.data = k;
	g_queue_push_tail_link(&h->conns, &k->link);
	want.data.ptr = k;
	if (epoll_ctl(h->hangup_fd, EPOLL_CTL_ADD, k->fd, &want) != 0)
		ogl_log(h->log, OGL_LOG_WARN, LOG_PREFIX,
		    "A connection can't be watched: %s.", g_strerror(errno));
	*context = k;
}

static void
conn_close(struct ogl_http_in *h, void **context)
{
	struct conn *k = *context;

	if (k == NULL)
		return;
	epoll_ctl(h->hangup_fd, EPOLL_CTL_DEL, k->fd, NULL);
	g_queue_unlink(&h->conns, &k->link);
	g_free(k);
	*context = NULL;
}

static void
on_connection(void *cls, struct MHD_Connection *mhd, void **context,
    enum MHD_ConnectionNotificationCode toe)
{
	if (toe == MHD_CONNECTION_NOTIFY_STARTED)
		conn_open(cls, mhd, context);
	else
		conn_close(cls, context);
}

/* ---- the loop's callbacks --------------------------------------------- */

/* Resumes the call's connection; on_request then acts on the call's state. */
static void
resume_call(struct call *c)
{
	g_hash_table_remove(c->in->waiting, &c->token);
	c->in->mhd_due = true;
	MHD_resume_connection(c->mhd);
}

static void
abandon_call(struct call *c)
{
	struct ogl_event ev = {.type = OGL_EV_CALLER_GONE, .token = c->token};
	struct ogl_http_in *h = c->in;

	c->state = CALL_ABANDONED;
	h->counts.gone++;
	resume_call(c);
	h->sink.event(h->sink.ctx, &ev);
}

static void
conn_hung_up(struct conn *k)
{
	k->peer_closed = true;
	if (k->call != NULL && k->call->state == CALL_WAITING)
		abandon_call(k->call);
}

static void
on_hangup(struct ev_loop *loop, ev_io *w, int events)
{
	struct ogl_http_in *h = w->data;
	struct epoll_event got[HANGUPS_PER_WAIT];
	int i, n;

	(void)loop;
	(void)events;
	n = epoll_wait(h->hangup_fd, got, HANGUPS_PER_WAIT, 0);
	for (i = 0; i < n; i++)
		conn_hung_up(got[i].data.ptr);
}

static void
on_mhd_io(struct ev_loop *loop, ev_io *w, int events)
{
	struct ogl_http_in *h = w->data;

	(void)loop;
	(void)events;
	h->mhd_due = true;
}

static void
on_mhd_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct ogl_http_in *h = w->data;

	(void)loop;
	(void)events;
	h->mhd_due = true;
}

/*
 * Shuts down the reading side only: libmicrohttpd then sees the end of the
 * stream, answers what has been received and closes the connection itself.
 *
 * Its epoll descriptor is edge triggered.  If the last bytes and the end of the
 * stream arrive together, it reads the bytes, gets no second edge and would see
 * the end only at its timeout.  Each shutdown causes another edge, so the
 * sweep repeats it until the connection has ended.
 */
static void
conn_shut_reading(struct conn *k)
{
	k->read_shut = true;
	shutdown(k->fd, SHUT_RD);
}

static bool
timed_out(const struct ogl_http_in *h, const struct conn *k, ev_tstamp now)
{
	if (k->read_shut)
		return false;
	if (k->call == NULL)
		return now - k->since > h->limits.idle_timeout_s;
	return k->call->state == CALL_READING &&
	       now - k->since > h->limits.request_timeout_ms / 1e3;
}

static void
on_sweep(struct ev_loop *loop, ev_timer *w, int events)
{
	struct ogl_http_in *h = w->data;
	GList *at;

	(void)events;
	for (at = h->conns.head; at != NULL; at = at->next) {
		struct conn *k = at->data;
		bool expired = timed_out(h, k, ev_now(loop));

		if (expired && k->call != NULL)
			h->counts.too_slow++;
		if (expired || k->read_shut || k->peer_closed)
			conn_shut_reading(k);
	}
	h->mhd_due = true;
}

bool
ogl_http_in_run(struct ogl_http_in *h)
{
	MHD_UNSIGNED_LONG_LONG ms;

	if (!h->mhd_due)
		return false;
	h->mhd_due = false;
	MHD_run(h->mhd);
	ev_timer_stop(h->loop, &h->mhd_timer);
	if (MHD_get_timeout(h->mhd, &ms) == MHD_YES) {
		ev_timer_set(&h->mhd_timer, (ev_tstamp)ms / 1e3, 0.);
		ev_timer_start(h->loop, &h->mhd_timer);
	}
	return true;
}

/* ---- the node's replies ----------------------------------------------- */

void
ogl_http_in_reply(struct ogl_http_in *h, const struct ogl_action *a)
{
	struct call *c = g_hash_table_lookup(h->waiting, &a->token);

	if (c == NULL) {
		h->counts.late_replies++;
		return;
	}
	c->response = ogl_http_reply_new(a->data,
	    a->content_type != NULL ? a->content_type : BYTES_TYPE, h->closing);
	if (c->response != NULL)
		ogl_http_reply_outcome(
		    c->response, a->verdict, a->retry_after_ms);
	c->status = a->status;
	c->state = c->response != NULL ? CALL_ANSWERED : CALL_ABANDONED;
	h->counts.replies++;
	resume_call(c);
}

/* ---- init and end ----------------------------------------------------- */

static void
start_watchers(struct ogl_http_in *h)
{
	const union MHD_DaemonInfo *info =
	    MHD_get_daemon_info(h->mhd, MHD_DAEMON_INFO_EPOLL_FD);
	ev_tstamp interval_s = MIN(h->limits.request_timeout_ms / 4e3, 1.);

	ev_io_init(&h->mhd_io, on_mhd_io, info->epoll_fd, EV_READ);
	h->mhd_io.data = h;
	ev_io_start(h->loop, &h->mhd_io);
	ev_io_init(&h->hangup_io, on_hangup, h->hangup_fd, EV_READ);
	h->hangup_io.data = h;
	ev_io_start(h->loop, &h->hangup_io);
	ev_init(&h->mhd_timer, on_mhd_timer);
	h->mhd_timer.data = h;
	ev_timer_init(&h->sweep, on_sweep, interval_s, interval_s);
	h->sweep.data = h;
	ev_timer_start(h->loop, &h->sweep);
}

static struct MHD_Daemon *
start_mhd(struct ogl_http_in *h, int fd)
{
	return MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0,
	    NULL, NULL, on_request, h, MHD_OPTION_LISTEN_SOCKET, fd,
	    MHD_OPTION_LISTEN_BACKLOG_SIZE, LISTEN_BACKLOG,
	    MHD_OPTION_CONNECTION_LIMIT, h->limits.connections_max,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT,
	    (size_t)h->limits.header_buffer_bytes,
	    MHD_OPTION_CONNECTION_TIMEOUT, h->limits.idle_timeout_s,
	    MHD_OPTION_NOTIFY_CONNECTION, on_connection, h,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, h,
	    MHD_OPTION_URI_LOG_CALLBACK, on_uri, h, MHD_OPTION_END);
}

struct ogl_http_in *
ogl_http_in_init(struct ev_loop *loop, const char *listen,
    const struct ogl_http_in_limits *limits, struct ogl_sink sink,
    struct ogl_http_in_ops ops, struct ogl_logger *log, GError **error)
{
	struct ogl_http_in *h = g_new0(struct ogl_http_in, 1);
	int fd = ogl_addr_listen(listen, error);

	h->hangup_fd = -1;
	if (fd < 0)
		goto fail;
	h->loop = loop;
	h->limits = *limits;
	h->sink = sink;
	h->ops = ops;
	h->log = log;
	h->mhd_due = true;
	h->port = ogl_addr_port(fd);
	/* The wall clock in microseconds: a later process starts above all
	 * tokens of this one, so a late answer to a call of an earlier process
	 * never matches a call of the later one. */
	h->last_token = (uint64_t)g_get_real_time();
	h->waiting = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&h->conns);
	h->hangup_fd = epoll_create1(EPOLL_CLOEXEC);
	if (h->hangup_fd >= 0)
		h->mhd = start_mhd(h, fd);
	if (h->mhd == NULL) {
		g_set_error(error, OGL_ERROR, OGL_ERROR_INPUT,
		    "can't serve HTTP on %s", listen);
		goto fail;
	}
	start_watchers(h);
	return h;
fail:
	if (h->waiting != NULL)
		g_hash_table_unref(h->waiting);
	if (h->hangup_fd >= 0)
		close(h->hangup_fd);
	if (fd >= 0)
		close(fd);
	g_free(h);
	return NULL;
}

/* libmicrohttpd must not be stopped while a connection is suspended.  Requests
 * that arrive during its last run are refused, so that no connection is
 * suspended again. */
static void
abandon_all_calls(struct ogl_http_in *h)
{
	GHashTableIter it;
	gpointer c;

	h->quiesced = true;
	g_hash_table_iter_init(&it, h->waiting);
	while (g_hash_table_iter_next(&it, NULL, &c)) {
		struct call *call = c;

		g_hash_table_iter_remove(&it);
		call->state = CALL_ABANDONED;
		MHD_resume_connection(call->mhd);
	}
	MHD_run(h->mhd);
}

void
ogl_http_in_end(struct ogl_http_in *h)
{
	if (h == NULL)
		return;
	abandon_all_calls(h);
	ev_io_stop(h->loop, &h->mhd_io);
	ev_io_stop(h->loop, &h->hangup_io);
	ev_timer_stop(h->loop, &h->mhd_timer);
	ev_timer_stop(h->loop, &h->sweep);
	MHD_stop_daemon(h->mhd);
	close(h->hangup_fd);
	g_hash_table_unref(h->waiting);
	g_free(h);
}

uint16_t
ogl_http_in_port(const struct ogl_http_in *h)
{
	return h->port;
}

void
ogl_http_in_set_closing(struct ogl_http_in *h)
{
	h->closing = true;
}

/*
 * Closing the listening socket resets the connections in its backlog, and their
 * callers would not know whether their requests were executed.  So these
 * connections are accepted first and their requests refused.
 */
void
ogl_http_in_quiesce(struct ogl_http_in *h)
{
	struct sockaddr_storage sa;
	socklen_t len = sizeof sa;
	GList *at;
	int listen, fd;

	if (h->quiesced)
		return;
	h->closing = true;
	h->quiesced = true;
	listen = MHD_quiesce_daemon(h->mhd);
	while (listen >= 0 && (fd = accept4(listen, (struct sockaddr *)&sa,
				   &len, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		MHD_add_connection(h->mhd, fd, (struct sockaddr *)&sa, len);
		len = sizeof sa;
	}
	if (listen >= 0)
		close(listen);
	for (at = h->conns.head; at != NULL; at = at->next) {
		struct conn *k = at->data;

		if (k->call == NULL)
			conn_shut_reading(k);
	}
	h->mhd_due = true;
}

bool
ogl_http_in_drained(const struct ogl_http_in *h)
{
	return h->conns.length == 0;
}

const struct ogl_http_in_counts *
ogl_http_in_counts(const struct ogl_http_in *h)
{
	return &h->counts;
}
