/*
 * HTTP servers of the stand-in programs.
 *
 * Each port is one libmicrohttpd daemon without threads, whose epoll
 * descriptor is watched by the shared loop.  A call goes through the phases
 *
 *     READING -> (WAITING ->) (DELAYED ->) READY
 *
 * and its connection is suspended while it is WAITING or DELAYED.  Resuming a
 * connection does not signal that descriptor, so each resume also starts a
 * timer of zero length.  MHD_run is called only from watchers, never from a
 * handler, and thus never recursively.
 */

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>

#include "fake_http.h"

#define MAX_BODY_BYTES ((guint)16 << 20)
#define MAX_CONSECUTIVE_RUNS 16 /* MHD_run calls before serving other ports */

enum phase {
	READING,
	WAITING,
	DELAYED,
	READY
};

struct exchange {
	struct fake_http_call call;
	struct fake_http *http;
	struct MHD_Connection *conn;
	GByteArray *body;
	enum phase phase;
	ev_timer timer;
};

struct fake_http {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	fake_http_handler fn;
	void *ctx;
	ev_io io;
	ev_timer run_timer;  /* runs the daemon at the next iteration */
	GHashTable *pending; /* of struct exchange, WAITING or DELAYED */
};

static void
call_handler(struct exchange *x)
{
	struct fake_http *h = x->http;
	struct fake_http_call *c = &x->call;

	if (h->fn(h->ctx, c, g_get_real_time()) == FAKE_HTTP_WAIT)
		x->phase = WAITING;
	else
		x->phase = c->delay > 0 ? DELAYED : READY;
}

static void
set_timer(struct exchange *x)
{
	ogl_time in = x->phase == WAITING ? x->call.max_wait : x->call.delay;

	ev_now_update(x->http->loop);
	ev_timer_stop(x->http->loop, &x->timer);
	ev_timer_set(&x->timer, (double)MAX(in, 0) / (double)OGL_SEC, 0);
	ev_timer_start(x->http->loop, &x->timer);
}

/* Schedules MHD_run for the next iteration of the loop. */
static void
schedule_run(struct fake_http *h)
{
	ev_timer_stop(h->loop, &h->run_timer);
	ev_timer_set(&h->run_timer, 0, 0);
	ev_timer_start(h->loop, &h->run_timer);
}

static void
resume(struct exchange *x)
{
	ev_timer_stop(x->http->loop, &x->timer);
	g_hash_table_remove(x->http->pending, x);
	x->phase = READY;
	MHD_resume_connection(x->conn);
	schedule_run(x->http);
}

/* Acts on the new phase that the handler gave to a suspended call. */
static void
advance(struct exchange *x)
{
	if (x->phase == READY)
		resume(x);
	else if (x->phase == DELAYED)
		set_timer(x);
}

static void
on_timer(struct ev_loop *loop, ev_timer *t, int events)
{
	struct exchange *x = t->data;

	(void)loop;
	(void)events;
	if (x->phase == DELAYED) {
		resume(x);
		return;
	}
	x->call.wait_over = true;
	call_handler(x);
	if (x->phase == WAITING) {
		x->call.drop = true;
		x->phase = READY;
	}
	advance(x);
}

static struct exchange *
exchange_new(
    struct fake_http *h, struct MHD_Connection *conn, const char *method)
{
	struct exchange *x = g_new0(struct exchange, 1);

	x->http = h;
	x->conn = conn;
	x->body = g_byte_array_new();
	x->call.method = method;
	x->call.connection = conn;
	ev_init(&x->timer, on_timer);
	x->timer.data = x;
	return x;
}

static void
on_completed(void *ctx, struct MHD_Connection *conn, void **slot,
    enum MHD_RequestTerminationCode code)
{
	struct exchange *x = *slot;

	(void)ctx;
	(void)conn;
	(void)code;
	if (x == NULL)
		return;
	ev_timer_stop(x->http->loop, &x->timer);
	g_hash_table_remove(x->http->pending, x);
	for (unsigned i = 0; i < x->call.nheaders; i++)
		g_free(x->call.header_value[i]);
	g_free(x->call.answer);
	g_byte_array_unref(x->body);
	g_free(x);
	*slot = NULL;
}

/* Content reader of a truncated answer: supplies sent_bytes, fewer than
 * the declared length, and then fails. */
static ssize_t
read_truncated(void *ctx, uint64_t at, char *buf, size_t max)
{
	const struct fake_http_call *c = ctx;
	size_t left = c->sent_bytes > at ? c->sent_bytes - (size_t)at : 0;

	if (left == 0)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	left = MIN(left, max);
	memcpy(buf, c->answer + at, left);
	return (ssize_t)left;
}

static enum MHD_Result
send_answer(struct exchange *x)
{
	struct fake_http_call *c = &x->call;
	struct MHD_Response *r;
	enum MHD_Result rc;

	if (c->drop)
		return MHD_NO;
	if (c->sent_bytes < c->n)
		r = MHD_create_response_from_callback(
		    c->n, 1024, read_truncated, c, NULL);
	else
		r = MHD_create_response_from_buffer(
		    c->n, c->answer, MHD_RESPMEM_PERSISTENT);
	for (unsigned i = 0; i < c->nheaders; i++)
		MHD_add_response_header(
		    r, c->header_name[i], c->header_value[i]);
	rc = MHD_queue_response(x->conn, c->status, r);
	MHD_destroy_response(r);
	return rc;
}

static enum MHD_Result
on_access(void *ctx, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *n,
    void **slot)
{
	struct exchange *x = *slot;

	(void)version;
	if (x == NULL) {
		*slot = exchange_new(ctx, conn, method);
		return MHD_YES;
	}
	if (*n > 0) {
		if (x->body->len + *n > MAX_BODY_BYTES)
			return MHD_NO;
		g_byte_array_append(x->body, (const guint8 *)data, (guint)*n);
		*n = 0;
		return MHD_YES;
	}
	if (x->phase == READING) {
		x->call.path = url;
		x->call.body.p = (const char *)x->body->data;
		x->call.body.n = x->body->len;
		call_handler(x);
		if (x->phase != READY) {
			g_hash_table_add(x->http->pending, x);
			MHD_suspend_connection(conn);
			set_timer(x);
			return MHD_YES;
		}
	}
	return send_answer(x);
}

static void
run_daemon(struct fake_http *h)
{
	MHD_UNSIGNED_LONG_LONG left = 0;
	int i = 0;

	do {
		MHD_run(h->daemon);
		if (MHD_get_timeout(h->daemon, &left) != MHD_YES)
			return;
	} while (left == 0 && ++i < MAX_CONSECUTIVE_RUNS);
	if (left == 0)
		schedule_run(h);
}

static void
on_io(struct ev_loop *loop, ev_io *io, int events)
{
	(void)loop;
	(void)events;
	run_daemon(io->data);
}

static void
on_run_timer(struct ev_loop *loop, ev_timer *t, int events)
{
	(void)loop;
	(void)events;
	run_daemon(t->data);
}

struct fake_http *
fake_http_start(
    struct ev_loop *loop, uint16_t port, fake_http_handler fn, void *ctx)
{
	struct fake_http *h = g_new0(struct fake_http, 1);
	struct sockaddr_in sa = {0};
	const union MHD_DaemonInfo *info;

	sa.sin_family = AF_INET;
	sa.sin_port = htons(port);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	h->loop = loop;
	h->fn = fn;
	h->ctx = ctx;
	h->pending = g_hash_table_new(NULL, NULL);
	h->daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
	    port, NULL, NULL, on_access, h, MHD_OPTION_SOCK_ADDR, &sa,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
	if (h->daemon == NULL) {
		g_hash_table_destroy(h->pending);
		g_free(h);
		return NULL;
	}
	info = MHD_get_daemon_info(h->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	ev_io_init(&h->io, on_io, info->epoll_fd, EV_READ);
	h->io.data = h;
	ev_io_start(loop, &h->io);
	ev_timer_init(&h->run_timer, on_run_timer, 0, 0);
	h->run_timer.data = h;
	return h;
}

void
fake_http_stop(struct fake_http *h)
{
	GList *all;

	if (h == NULL)
		return;
	all = g_hash_table_get_keys(h->pending);
	for (GList *i = all; i != NULL; i = i->next) {
		struct exchange *x = i->data;

		x->call.drop = true;
		resume(x);
	}
	g_list_free(all);
	MHD_run(h->daemon);
	ev_io_stop(h->loop, &h->io);
	ev_timer_stop(h->loop, &h->run_timer);
	MHD_stop_daemon(h->daemon);
	g_hash_table_destroy(h->pending);
	g_free(h);
}

uint16_t
fake_http_port(const struct fake_http *h)
{
	const union MHD_DaemonInfo *info =
	    MHD_get_daemon_info(h->daemon, MHD_DAEMON_INFO_BIND_PORT);

	return info->port;
}

size_t
fake_http_pending(const struct fake_http *h)
{
	return g_hash_table_size(h->pending);
}

void
fake_http_wake(struct fake_http *h)
{
	GList *all = g_hash_table_get_keys(h->pending);

	for (GList *i = all; i != NULL; i = i->next) {
		struct exchange *x = i->data;

		if (x->phase != WAITING)
			continue;
		call_handler(x);
		advance(x);
	}
	g_list_free(all);
}

static void
on_signal(struct ev_loop *loop, ev_signal *s, int events)
{
	(void)s;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

void
fake_http_serve(struct ev_loop *loop)
{
	ev_signal term;
	ev_signal intr;

	ev_signal_init(&term, on_signal, SIGTERM);
	ev_signal_init(&intr, on_signal, SIGINT);
	ev_signal_start(loop, &term);
	ev_signal_start(loop, &intr);
	ev_run(loop, 0);
	ev_signal_stop(loop, &term);
	ev_signal_stop(loop, &intr);
}

/* ---- requests and answers ---------------------------------------------- */

const char *
fake_http_header(const struct fake_http_call *c, const char *name)
{
	const char *v =
	    MHD_lookup_connection_value(c->connection, MHD_HEADER_KIND, name);

	return v != NULL ? v : "";
}

uint64_t
fake_http_query_number(
    const struct fake_http_call *c, const char *name, uint64_t fallback)
{
	const char *v = MHD_lookup_connection_value(
	    c->connection, MHD_GET_ARGUMENT_KIND, name);
	guint64 n;

	if (v == NULL ||
	    !g_ascii_string_to_unsigned(v, 10, 0, UINT64_MAX, &n, NULL))
		return fallback;
	return n;
}

void
fake_http_set(struct fake_http_call *c, const char *name, const char *value)
{
	g_assert(c->nheaders < FAKE_HTTP_MAX_HEADERS);
	c->header_name[c->nheaders] = name;
	c->header_value[c->nheaders++] = g_strdup(value);
}

enum fake_http_next
fake_http_text(struct fake_http_call *c, uint32_t status, char *text)
{
	c->status = status;
	c->answer = text;
	c->n = strlen(text);
	c->sent_bytes = c->n;
	return FAKE_HTTP_ANSWER;
}

enum fake_http_next
fake_http_json(struct fake_http_call *c, uint32_t status, json_t *v)
{
	char *text = json_dumps(v, JSON_COMPACT);

	json_decref(v);
	fake_http_set(c, "Content-Type", "application/json");
	fake_http_text(c, status, g_strdup(text));
	free(text);
	return FAKE_HTTP_ANSWER;
}

/* ---- /ctl -------------------------------------------------------------- */

static const struct fake_ctl *
ctl_find(const struct fake_ctl *table, size_t n, const char *name)
{
	for (size_t i = 0; i < n; i++) {
		if (strcmp(table[i].name, name) == 0)
			return &table[i];
	}
	return NULL;
}

static bool
ctl_valid(const struct fake_ctl *t, const json_t *v)
{
	json_int_t i = json_integer_value(v);

	switch (t->type) {
	case FAKE_CTL_FLAG:
		return json_is_boolean(v);
	case FAKE_CTL_REAL:
		return json_is_number(v) && json_number_value(v) >= 0;
	case FAKE_CTL_COUNT:
		return json_is_integer(v) && i >= 0 && i <= UINT32_MAX;
	default:
		return json_is_integer(v) && i >= 0 && i <= INT64_MAX / OGL_MS;
	}
}

static void
ctl_apply(const struct fake_ctl *t, const json_t *v)
{
	switch (t->type) {
	case FAKE_CTL_FLAG:
		*(bool *)t->value = json_is_true(v);
		break;
	case FAKE_CTL_REAL:
		*(double *)t->value = json_number_value(v);
		break;
	case FAKE_CTL_COUNT:
		*(uint32_t *)t->value = (uint32_t)json_integer_value(v);
		break;
	case FAKE_CTL_COUNT64:
		*(uint64_t *)t->value = (uint64_t)json_integer_value(v);
		break;
	case FAKE_CTL_MS:
		*(ogl_time *)t->value = json_integer_value(v) * OGL_MS;
		break;
	}
}

enum fake_http_next
fake_ctl_answer(
    struct fake_http_call *c, const struct fake_ctl *table, size_t n)
{
	json_t *o = json_loadb(c->body.p, c->body.n, 0, NULL);
	const char *name;
	json_t *v;

	if (!json_is_object(o)) {
		json_decref(o);
		return fake_http_text(c, 422, g_strdup("not an object\n"));
	}
	json_object_foreach(o, name, v)
	{
		const struct fake_ctl *t = ctl_find(table, n, name);

		if (t == NULL || !ctl_valid(t, v)) {
			char *why = g_strdup_printf("%s: wrong order\n", name);

			json_decref(o);
			return fake_http_text(c, 422, why);
		}
	}
	json_object_foreach(o, name, v) ctl_apply(ctl_find(table, n, name), v);
	json_decref(o);
	return fake_http_text(c, 200, g_strdup("done\n"));
}
