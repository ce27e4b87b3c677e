/*
 * Runs a cell node in an event loop, all in one thread.  Before the loop
 * waits, the node is stepped and the I/O that it requested is started, so that
 * everything that follows from an event is sent in the same iteration of the
 * loop.
 *
 * The node's clock is CLOCK_BOOTTIME.  CLOCK_MONOTONIC doesn't advance while a
 * machine is suspended, so that ownership, leases and the configuration would
 * seem more recent than they are.
 */

#include <ev.h>
#include <sodium.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "cell_host.h"
#include "http_client.h"
#include "http_in.h"
#include "logger.h"
#include "logline.h"
#include "measures.h"
#include "node.h"
#include "peer.h"

#define STEPS_PER_ITERATION_MAX 16
#define BODY_MAX_BYTES ((size_t)256 * 1024) /* limit set by the operator */
/* Limit for all bodies in memory. */
#define BODIES_MAX_BYTES ((size_t)24 * 1024 * 1024)
#define HEADERS_MAX_BYTES (20 * 1024)
/* A caller that waits longer counts as waiting this long. */
#define BUDGET_MAX_MS 600000
/* Connections to one internal port. */
#define INTERNAL_CONNECTIONS_MAX 64
/* The frontend accepts connections for this long after the node stops being
 * ready, until the load balancer has seen two failed readiness checks. */
#define NOT_READY_WAIT_S 2.4
/* The process exits this long before the platform would kill it. */
#define STOP_MARGIN_S 0.5
#define SETTINGS_POLL_S 2.0
/* On slower links it pays to spend processor time on sending fewer bytes. */
#define COMPRESS_BELOW_KBPS 20000
#define DRAIN_POLL_S 0.05

struct ogl_cell_host {
	struct ev_loop *loop;
	struct ogl_logger *log;
	struct ogl_logline *log_lines;
	struct ogl_measures *measures;
	struct ogl_http_client *http;
	struct platform *platform;
	struct ogl_http_in *frontend_in;
	struct ogl_http_in *ready_in;
	struct ogl_http_in *metrics_in; /* NULL if it can't listen */
	struct ogl_peer *peer;
	struct cell_node *node;
	struct cell_ops ops;
	char *settings_path;
	uint32_t grace_ms; /* time from SIGTERM until it is killed */
	ev_prepare prepare;
	ev_timer wake_timer;
	ev_timer settings_poll;
	ev_timer drain_timer;
	ev_tstamp stopping_since; /* 0 if not stopping */
	bool quiesced;
};

/* ---- clocks ----------------------------------------------------------- */

static ogl_time
read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (ogl_time)ts.tv_sec * OGL_SEC + ts.tv_nsec / 1000;
}

static ogl_time
boot_time(void *ctx)
{
	(void)ctx;
	return read_clock(CLOCK_BOOTTIME);
}

/* ---- callbacks of the node -------------------------------------------- */

static void
on_reply(void *ctx, uint64_t token, const struct cell_answer *a)
{
	struct ogl_cell_host *h = ctx;
	struct ogl_action act = {.type = OGL_ACT_REPLY,
	    .token = token,
	    .status = platform_http_status(a->status),
	    .verdict = a->status == CELL_OK       ? OGL_RAN
		       : a->status == CELL_UNSURE ? OGL_MAY_HAVE_RUN
						  : OGL_NOT_RUN,
	    .retry_after_ms = a->retry_ms,
	    .content_type = "application/json"};

	act.data = platform_answer_body(a);
	ogl_http_in_reply(h->frontend_in, &act);
	g_bytes_unref(act.data);
}

static void
on_peer_send(void *ctx, const char *addr, GBytes *msg)
{
	struct ogl_cell_host *h = ctx;

	ogl_peer_send(h->peer, addr, msg);
}

static void
on_peer_reset(void *ctx, const char *addr)
{
	struct ogl_cell_host *h = ctx;

	ogl_peer_reset(h->peer, addr);
}

static bool
on_peer_refused(void *ctx, const char *addr)
{
	struct ogl_cell_host *h = ctx;

	return ogl_peer_connect_refused(h->peer, addr);
}

static void
on_release_worker(void *ctx, const char *addr)
{
	struct ogl_cell_host *h = ctx;

	/* The node is ended after the client. */
	if (h->http != NULL)
		ogl_http_client_release(h->http, addr);
}

static void
on_log(void *ctx, const char *part, const char *event, const char *text)
{
	struct ogl_cell_host *h = ctx;

	ogl_logline_put(h->log_lines, part, event, text, boot_time(NULL),
	    read_clock(CLOCK_REALTIME));
}

static void
on_log_job(void *ctx, const char *part, const char *event, const char *id,
    ogl_time began, const char *text)
{
	struct ogl_cell_host *h = ctx;

	ogl_logline_put_job(h->log_lines, part, event, id, began, text,
	    boot_time(NULL), read_clock(CLOCK_REALTIME));
}

static void
on_log_unsampled(
    void *ctx, const char *part, const char *event, const char *text)
{
	struct ogl_cell_host *h = ctx;

	ogl_logline_put_unsampled(h->log_lines, part, event, text,
	    boot_time(NULL), read_clock(CLOCK_REALTIME));
}

static void
on_count(void *ctx, const char *name, uint64_t by)
{
	struct ogl_cell_host *h = ctx;

	ogl_measures_count(h->measures, name, by);
}

static void
on_count_labels(void *ctx, const char *name, const struct cell_label *labels,
    size_t n, uint64_t by)
{
	struct ogl_cell_host *h = ctx;

	ogl_measures_count_labels(h->measures, name, labels, n, by);
}

static void
on_observe(void *ctx, const char *name, uint64_t ms)
{
	struct ogl_cell_host *h = ctx;

	ogl_measures_observe(h->measures, name, ms);
}

/* ---- events of sockets ------------------------------------------------ */

static enum cell_method
method_of(struct ogl_str m)
{
	if (ogl_str_eq(m, ogl_str("GET")))
		return CELL_GET;
	if (ogl_str_eq(m, ogl_str("POST")))
		return CELL_POST;
	if (ogl_str_eq(m, ogl_str("DELETE")))
		return CELL_DELETE;
	return CELL_OTHER_METHOD;
}

static struct ogl_str
without_query(struct ogl_str path)
{
	const char *q = memchr(path.p, '?', path.n);

	if (q != NULL)
		path.n = (size_t)(q - path.p);
	return path;
}

static void
on_event(void *ctx, const struct ogl_event *ev)
{
	struct ogl_cell_host *h = ctx;
	struct cell_request r;

	switch (ev->type) {
	case OGL_EV_CALL:
		r.method = method_of(ev->u.call.method);
		r.host = ev->u.call.host;
		r.path = without_query(ev->u.call.path);
		r.key = ev->u.call.key;
		r.body = ev->u.call.body;
		r.budget_ms =
		    (uint32_t)MIN(ev->u.call.budget_ms, BUDGET_MAX_MS);
		cell_node_call(h->node, ev->token, &r, boot_time(NULL));
		break;
	case OGL_EV_CALLER_GONE:
		cell_node_caller_gone(h->node, ev->token);
		break;
	case OGL_EV_PEER:
		cell_node_receive(h->node, ev->u.peer.data, boot_time(NULL));
		break;
	default:
		break;
	}
}

/* The internal ports serve nothing but readiness and metrics.  ctx is the
 * address of the field that holds the server, since the server does not exist
 * yet when its sink is made. */
static void
on_internal_call(void *ctx, const struct ogl_event *ev)
{
	struct ogl_http_in *in = *(struct ogl_http_in **)ctx;
	struct ogl_action act = {.type = OGL_ACT_REPLY,
	    .token = ev->token,
	    .status = 404,
	    .verdict = OGL_NOT_RUN};

	if (ev->type == OGL_EV_CALL)
		ogl_http_in_reply(in, &act);
}

static bool
is_ready(void *ctx)
{
	struct ogl_cell_host *h = ctx;

	return cell_node_ready(h->node, boot_time(NULL));
}

static char *
metrics_text(void *ctx)
{
	struct ogl_cell_host *h = ctx;
	char *text = ogl_measures_text(h->measures);
	GString *s = g_string_new(text);
	GHashTableIter it;
	gpointer kind, v;

	g_free(text);
	g_string_append_printf(s,
	    "ogl_peer_sent_bytes_total %" G_GUINT64_FORMAT
	    "\nogl_peer_received_bytes_total %" G_GUINT64_FORMAT "\n",
	    ogl_peer_counts(h->peer)->bytes_out,
	    ogl_peer_counts(h->peer)->bytes_in);
	g_hash_table_iter_init(&it, ogl_http_client_bytes(h->http));
	while (g_hash_table_iter_next(&it, &kind, &v)) {
		const struct ogl_http_bytes *b = v;

		g_string_append_printf(s,
		    "ogl_http_requests_total{kind=\"%s\"} %" G_GUINT64_FORMAT
		    "\nogl_http_sent_bytes_total{kind=\"%s\"} "
		    "%" G_GUINT64_FORMAT
		    "\nogl_http_received_bytes_total{kind=\"%s\"} "
		    "%" G_GUINT64_FORMAT "\n",
		    (char *)kind, b->requests, (char *)kind, b->sent,
		    (char *)kind, b->received);
	}
	return g_string_free(s, FALSE);
}

/* ---- the loop --------------------------------------------------------- */

static bool
run_http(struct ogl_cell_host *h)
{
	bool frontend = ogl_http_in_run(h->frontend_in);
	bool ready = ogl_http_in_run(h->ready_in);
	bool metrics = h->metrics_in != NULL && ogl_http_in_run(h->metrics_in);
	bool out = ogl_http_client_run(h->http);

	return frontend || ready || metrics || out;
}

static void
set_wake(struct ogl_cell_host *h)
{
	ogl_time now = boot_time(NULL);
	ogl_time at = cell_node_wake(h->node, now);

	ev_timer_stop(h->loop, &h->wake_timer);
	ev_now_update(h->loop);
	ev_timer_set(
	    &h->wake_timer, at > now ? (ev_tstamp)(at - now) / 1e6 : 0., 0.);
	ev_timer_start(h->loop, &h->wake_timer);
}

static void
on_prepare(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct ogl_cell_host *h = w->data;
	int round;

	(void)loop;
	(void)events;
	for (round = 0; round < STEPS_PER_ITERATION_MAX; round++) {
		cell_node_step(
		    h->node, boot_time(NULL), read_clock(CLOCK_REALTIME));
		if (!run_http(h))
			break;
	}
	set_wake(h);
	ogl_logline_flush(h->log_lines);
}

/* The timer only wakes the loop; on_prepare steps the node. */
static void
on_wake(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)w;
	(void)events;
}

/* ---- reload ----------------------------------------------------------- */

void
ogl_cell_host_reload(struct ogl_cell_host *h)
{
	struct ogl_faults *faults = ogl_faults_new();
	struct platform_settings *s =
	    platform_settings_read(h->settings_path, faults);

	if (s == NULL) {
		on_log(
		    h, "host", "settings_refused", ogl_faults_path(faults, 0));
		goto out;
	}
	if (platform_update(h->platform, s))
		on_log(h, "host", "settings_changed", "");
	else
		on_log(h, "host", "settings_unchanged", "");
	h->grace_ms = s->grace_ms;
	cell_node_set_limits(h->node, &s->limits);
	platform_settings_free(s);
out:
	ogl_faults_free(faults);
}

static void
on_settings_poll(struct ev_loop *loop, ev_timer *w, int events)
{
	struct ogl_cell_host *h = w->data;

	(void)loop;
	(void)events;
	if (platform_settings_changed(h->platform, h->settings_path))
		ogl_cell_host_reload(h);
}

/* ---- shutdown --------------------------------------------------------- */

static void
on_drain(struct ev_loop *loop, ev_timer *w, int events)
{
	struct ogl_cell_host *h = w->data;
	ev_tstamp since = ev_now(loop) - h->stopping_since;
	bool timed_out = since > h->grace_ms / 1e3 - STOP_MARGIN_S;

	(void)events;
	if (since < NOT_READY_WAIT_S && !timed_out)
		return;
	if (!h->quiesced) {
		h->quiesced = true;
		ogl_http_in_quiesce(h->frontend_in);
		return;
	}
	if (!timed_out && (!cell_node_stopped(h->node) ||
			      !ogl_http_in_drained(h->frontend_in)))
		return;
	on_log(h, "host", "stopped", timed_out ? "complete=0" : "complete=1");
	ev_break(loop, EVBREAK_ALL);
}

void
ogl_cell_host_stop(struct ogl_cell_host *h)
{
	if (h->stopping_since > 0)
		return;
	h->stopping_since = ev_now(h->loop);
	on_log(h, "host", "stopping", "");
	cell_node_stop(h->node, boot_time(NULL));
	ogl_http_in_set_closing(h->frontend_in);
	ev_timer_start(h->loop, &h->drain_timer);
}

/* ---- start and end ---------------------------------------------------- */

/* self is the address of the field that gets the result. */
static struct ogl_http_in *
listen_internal(struct ogl_cell_host *h, const char *addr,
    struct ogl_http_in **self, GError **error)
{
	struct ogl_http_in_limits limits;
	struct ogl_sink sink = {on_internal_call, self};
	struct ogl_http_in_ops ops = {is_ready, metrics_text, h};

	ogl_http_in_limits_default(&limits);
	limits.ready_path = platform_ready_path;
	limits.connections_max = INTERNAL_CONNECTIONS_MAX;
	return ogl_http_in_init(
	    h->loop, addr, &limits, sink, ops, h->log, error);
}

static struct ogl_http_in *
listen_frontend(struct ogl_cell_host *h, const char *addr, GError **error)
{
	struct ogl_http_in_limits limits;
	struct ogl_sink sink = {on_event, h};
	struct ogl_http_in_ops ops = {is_ready, metrics_text, h};

	ogl_http_in_limits_default(&limits);
	limits.calls_only = true;
	limits.body_max_bytes = BODY_MAX_BYTES;
	limits.body_total_max_bytes = BODIES_MAX_BYTES;
	limits.header_buffer_bytes = HEADERS_MAX_BYTES;
	limits.budget_header = platform_deadline_header;
	return ogl_http_in_init(
	    h->loop, addr, &limits, sink, ops, h->log, error);
}

static bool
listen_all(
    struct ogl_cell_host *h, const struct platform_settings *s, GError **error)
{
	struct ogl_sink sink = {on_event, h};

	h->peer = ogl_peer_init(h->loop, s->peer, sink, h->log, error);
	if (h->peer == NULL)
		return false;
	ogl_peer_set_message(h->peer, &ogl__cell_msg__descriptor);
	if (s->link_kbps > 0 && s->link_kbps < COMPRESS_BELOW_KBPS)
		ogl_peer_enable_compression(h->peer);
	h->frontend_in = listen_frontend(h, s->frontend, error);
	if (h->frontend_in == NULL)
		return false;
	h->ready_in = listen_internal(h, s->ready, &h->ready_in, error);
	if (h->ready_in == NULL)
		return false;
	h->metrics_in = listen_internal(h, s->metrics, &h->metrics_in, NULL);
	if (h->metrics_in == NULL)
		on_log(h, "host", "metrics_unserved", s->metrics);
	return true;
}

static void
send_http(void *ctx, const struct ogl_http_request *r)
{
	ogl_http_client_send(ctx, r);
}

static void
make_node(struct ogl_cell_host *h, const struct platform_settings *s)
{
	struct cell_node_config c = {.name = s->name,
	    .addr = s->advertised,
	    .boot = (uint64_t)read_clock(CLOCK_REALTIME),
	    .strength = s->strength,
	    .link_kbps = s->link_kbps,
	    .limits = s->limits};
	struct platform_http http = {send_http, h->http};

	randombytes_buf(&c.seed, sizeof c.seed);
	h->platform = platform_init(&http, s, boot_time, NULL);
	platform_set_ops(h->platform, &h->ops);
	h->ops.reply = on_reply;
	h->ops.peer_send = on_peer_send;
	h->ops.peer_reset = on_peer_reset;
	h->ops.peer_refused = on_peer_refused;
	h->ops.release_worker = on_release_worker;
	h->ops.log = on_log;
	h->ops.log_job = on_log_job;
	h->ops.log_unsampled = on_log_unsampled;
	h->ops.count = on_count;
	h->ops.count_labels = on_count_labels;
	h->ops.observe = on_observe;
	h->ops.ctx = h;
	h->node = cell_node_init(&c, &h->ops);
}

struct ogl_cell_host *
ogl_cell_host_init(struct ev_loop *loop, const char *settings_path,
    const struct platform_settings *s, GError **error)
{
	struct ogl_cell_host *h = g_new0(struct ogl_cell_host, 1);

	h->loop = loop;
	h->settings_path = g_strdup(settings_path);
	h->grace_ms = s->grace_ms;
	h->log = ogl_logger_init(stderr, OGL_LOG_WARN);
	h->log_lines = ogl_logline_init(STDOUT_FILENO, s->name);
	h->measures = ogl_measures_init();
	h->http = ogl_http_client_init(loop);
	make_node(h, s);
	if (!listen_all(h, s, error)) {
		ogl_cell_host_end(h);
		return NULL;
	}
	ev_prepare_init(&h->prepare, on_prepare);
	ev_init(&h->wake_timer, on_wake);
	ev_timer_init(&h->settings_poll, on_settings_poll, SETTINGS_POLL_S,
	    SETTINGS_POLL_S);
	ev_timer_init(&h->drain_timer, on_drain, DRAIN_POLL_S, DRAIN_POLL_S);
	h->prepare.data = h;
	h->wake_timer.data = h;
	h->settings_poll.data = h;
	h->drain_timer.data = h;
	return h;
}

void
ogl_cell_host_begin(struct ogl_cell_host *h)
{
	on_log(h, "host", "started", "version=" OGL_VERSION);
	ev_prepare_start(h->loop, &h->prepare);
	ev_timer_start(h->loop, &h->settings_poll);
}

void
ogl_cell_host_end(struct ogl_cell_host *h)
{
	if (h == NULL)
		return;
	ev_prepare_stop(h->loop, &h->prepare);
	ev_timer_stop(h->loop, &h->wake_timer);
	ev_timer_stop(h->loop, &h->settings_poll);
	ev_timer_stop(h->loop, &h->drain_timer);
	g_clear_pointer(&h->http, ogl_http_client_end);
	ogl_http_in_end(h->frontend_in);
	ogl_http_in_end(h->ready_in);
	ogl_http_in_end(h->metrics_in);
	ogl_peer_end(h->peer);
	cell_node_end(h->node);
	platform_end(h->platform);
	ogl_measures_end(h->measures);
	ogl_logline_end(h->log_lines);
	ogl_logger_end(h->log);
	g_free(h->settings_path);
	g_free(h);
}
