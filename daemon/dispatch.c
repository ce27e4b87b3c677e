/*
 * Passes events to the node and carries out its actions.  An event is passed
 * on at once, since the data that it points to is borrowed.  The resulting
 * actions are queued until the loop is about to block, and are then served
 * until nothing is left to do.  So no part is ever called back from within a
 * call that it made itself.
 *
 * The wall clock may be set back while the daemon runs, which would make leases
 * and timeouts last too long.  The node's time is therefore the wall clock at
 * the start plus the time elapsed on the monotonic clock since.
 */

#include <ev.h>
#include <time.h>

#include "dispatch.h"

#define LOG_PREFIX "daemon"
#define ROUNDS_MAX 16 /* then other watchers are served first */
#define STOP_TIMEOUT_S 30.
/* Time limit for sending the last replies after the node's exit. */
#define DRAIN_TIMEOUT_S 3.
#define DRAIN_POLL_INTERVAL_S 0.01

struct ogl_dispatch {
	struct ev_loop *loop;
	struct ogl_logger *log;
	struct ogl_dispatch_parts parts;
	struct ogl_actions actions;
	ogl_time start_realtime;
	ogl_time start_monotonic;
	ev_prepare prepare;
	ev_timer node_timer;
	ev_timer rerun_timer; /* runs if work is left after ROUNDS_MAX */
	ev_timer stop_timer;
	ev_timer drain_timer;
	bool stopping;
	bool exiting;
	bool complete; /* the shutdown has ended in time */
	ev_tstamp exit_since;
};

static ogl_time
read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (ogl_time)ts.tv_sec * OGL_SEC + ts.tv_nsec / 1000;
}

ogl_time
ogl_clock_real(void)
{
	return read_clock(CLOCK_REALTIME);
}

ogl_time
ogl_dispatch_now(const struct ogl_dispatch *d)
{
	return d->start_realtime +
	       (read_clock(CLOCK_MONOTONIC) - d->start_monotonic);
}

/* ---- actions ---------------------------------------------------------- */

static void
serve_reply(struct ogl_dispatch *d, const struct ogl_action *a)
{
	ogl_http_in_reply(d->parts.http_in, a);
}

static void
serve_peer(struct ogl_dispatch *d, const struct ogl_action *a)
{
	ogl_peer_send(d->parts.peer, a->addr, a->data);
}

static void
serve_append(struct ogl_dispatch *d, const struct ogl_action *a)
{
	ogl_http_out_append(d->parts.http_out, a);
}

static void
serve_read(struct ogl_dispatch *d, const struct ogl_action *a)
{
	ogl_http_out_read(d->parts.http_out, a);
}

static void
serve_hosts(struct ogl_dispatch *d, const struct ogl_action *a)
{
	ogl_http_out_hosts(d->parts.http_out, a);
}

static void
serve_worker(struct ogl_dispatch *d, const struct ogl_action *a)
{
	ogl_http_out_worker(d->parts.http_out, a);
}

static void
serve_exec(struct ogl_dispatch *d, const struct ogl_action *a)
{
	ogl_http_out_exec(d->parts.http_out, a);
}

static void
serve_log_line(struct ogl_dispatch *d, const struct ogl_action *a)
{
	gsize n = 0;
	const char *p = a->data != NULL ? g_bytes_get_data(a->data, &n) : "";

	ogl_log(d->log, a->level, a->name != NULL ? a->name : "node", "%.*s",
	    (int)n, p != NULL ? p : "");
}

static void
serve_exit(struct ogl_dispatch *d, const struct ogl_action *a)
{
	(void)a;
	if (d->exiting)
		return;
	d->exiting = true;
	d->exit_since = ev_now(d->loop);
	ogl_http_in_quiesce(d->parts.http_in);
	ev_timer_start(d->loop, &d->drain_timer);
}

typedef void (*action_handler)(
    struct ogl_dispatch *, const struct ogl_action *);

static const action_handler handlers[] = {
    [OGL_ACT_REPLY] = serve_reply,
    [OGL_ACT_PEER] = serve_peer,
    [OGL_ACT_LOG_APPEND] = serve_append,
    [OGL_ACT_LOG_READ] = serve_read,
    [OGL_ACT_HOSTS] = serve_hosts,
    [OGL_ACT_WORKER] = serve_worker,
    [OGL_ACT_EXEC] = serve_exec,
    [OGL_ACT_LOG_LINE] = serve_log_line,
    [OGL_ACT_EXIT] = serve_exit,
};

static bool
serve_all(struct ogl_dispatch *d)
{
	struct ogl_action *a;
	bool any = false;

	while ((a = ogl_actions_pop(&d->actions)) != NULL) {
		handlers[a->type](d, a);
		ogl_action_free(a);
		any = true;
	}
	return any;
}

/* ---- events ----------------------------------------------------------- */

static void
on_event(void *ctx, const struct ogl_event *ev)
{
	struct ogl_dispatch *d = ctx;

	ogl_node_step(d->parts.node, ev, ogl_dispatch_now(d), &d->actions);
}

struct ogl_sink
ogl_dispatch_sink(struct ogl_dispatch *d)
{
	struct ogl_sink s = {on_event, d};

	return s;
}

static void
on_node_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct ogl_event ev = {.type = OGL_EV_TIMER};

	(void)loop;
	(void)events;
	on_event(w->data, &ev);
}

/* The timer only wakes the loop; on_prepare does the work. */
static void
on_rerun_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)w;
	(void)events;
}

static void
set_node_timer(struct ogl_dispatch *d)
{
	ogl_time at = ogl_node_next_wake(d->parts.node);
	ogl_time now;

	ev_timer_stop(d->loop, &d->node_timer);
	if (at == OGL_NEVER)
		return;
	now = ogl_dispatch_now(d);
	ev_now_update(d->loop);
	ev_timer_set(
	    &d->node_timer, at > now ? (ev_tstamp)(at - now) / 1e6 : 0., 0.);
	ev_timer_start(d->loop, &d->node_timer);
}

/* Runs all parts once.  Returns whether any had something to do. */
static bool
run_round(struct ogl_dispatch *d)
{
	bool acted = serve_all(d);
	bool in = ogl_http_in_run(d->parts.http_in);
	bool out = ogl_http_out_run(d->parts.http_out);

	return acted || in || out;
}

static void
on_prepare(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct ogl_dispatch *d = w->data;
	int round;

	(void)events;
	for (round = 0; round < ROUNDS_MAX; round++) {
		if (!run_round(d))
			break;
	}
	if (round == ROUNDS_MAX) {
		ev_timer_set(&d->rerun_timer, 0., 0.);
		ev_timer_start(loop, &d->rerun_timer);
	}
	set_node_timer(d);
}

/* ---- callbacks of http_in --------------------------------------------- */

static bool
is_ready(void *ctx)
{
	struct ogl_dispatch *d = ctx;

	return ogl_node_ready(d->parts.node, ogl_dispatch_now(d));
}

static void
append_counter(GString *s, const char *name, uint64_t v)
{
	g_string_append_printf(s,
	    "# TYPE ogl_%s counter\nogl_%s %" G_GUINT64_FORMAT "\n", name, name,
	    v);
}

static void
append_http_counters(GString *s, const struct ogl_http_in_counts *in,
    const struct ogl_http_out_counts *out)
{
	append_counter(s, "http_in_calls_total", in->calls);
	append_counter(s, "http_in_replies_total", in->replies);
	append_counter(s, "http_in_gone_total", in->gone);
	append_counter(s, "http_in_too_big_total", in->too_big);
	append_counter(s, "http_in_no_room_total", in->no_room);
	append_counter(s, "http_in_too_slow_total", in->too_slow);
	append_counter(s, "http_in_malformed_total", in->malformed);
	append_counter(s, "http_in_late_replies_total", in->late_replies);
	append_counter(s, "http_out_requests_total", out->requests);
	append_counter(s, "http_out_ok_total", out->ok);
	append_counter(s, "http_out_not_sent_total", out->not_sent);
	append_counter(s, "http_out_refused_total", out->refused);
	append_counter(s, "http_out_lost_total", out->lost);
	append_counter(s, "http_out_crossed_total", out->crossed);
	append_counter(s, "http_out_cut_total", out->cut);
	append_counter(s, "http_out_malformed_total", out->malformed);
	append_counter(
	    s, "http_out_resends_stopped_total", out->resends_stopped);
}

static void
append_peer_counters(GString *s, const struct ogl_peer_counts *p)
{
	append_counter(s, "peer_frames_in_total", p->frames_in);
	append_counter(s, "peer_frames_out_total", p->frames_out);
	append_counter(s, "peer_dropped_total", p->dropped);
	append_counter(s, "peer_malformed_total", p->malformed);
	append_counter(s, "peer_connects_total", p->connects);
	append_counter(s, "peer_refused_total", p->refused);
}

static char *
metrics_text(void *ctx)
{
	struct ogl_dispatch *d = ctx;
	char *node = ogl_node_metrics(d->parts.node, ogl_dispatch_now(d));
	GString *s = g_string_new(node);

	append_http_counters(s, ogl_http_in_counts(d->parts.http_in),
	    ogl_http_out_counts(d->parts.http_out));
	append_peer_counters(s, ogl_peer_counts(d->parts.peer));
	g_free(node);
	return g_string_free(s, FALSE);
}

struct ogl_http_in_ops
ogl_dispatch_http_ops(struct ogl_dispatch *d)
{
	struct ogl_http_in_ops ops = {is_ready, metrics_text, d};

	return ops;
}

/* ---- shutdown --------------------------------------------------------- */

static void
on_stop_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct ogl_dispatch *d = w->data;

	(void)events;
	ogl_log(d->log, OGL_LOG_ERROR, LOG_PREFIX,
	    "The shutdown was not complete in time and was ended.");
	ev_break(loop, EVBREAK_ALL);
}

static void
on_drain_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct ogl_dispatch *d = w->data;
	bool drained = ogl_http_in_drained(d->parts.http_in);

	(void)events;
	if (!drained && ev_now(loop) - d->exit_since < DRAIN_TIMEOUT_S)
		return;
	d->complete = true;
	ogl_log(d->log, OGL_LOG_INFO, LOG_PREFIX, "The shutdown is complete.");
	ev_break(loop, EVBREAK_ALL);
}

void
ogl_dispatch_stop(struct ogl_dispatch *d)
{
	struct ogl_event ev = {.type = OGL_EV_STOP};

	if (d->stopping)
		return;
	d->stopping = true;
	ogl_log(d->log, OGL_LOG_INFO, LOG_PREFIX, "The shutdown begins.");
	ogl_http_in_set_closing(d->parts.http_in);
	ev_timer_start(d->loop, &d->stop_timer);
	on_event(d, &ev);
}

bool
ogl_dispatch_complete(const struct ogl_dispatch *d)
{
	return d->complete;
}

/* ---- init and end ----------------------------------------------------- */

struct ogl_dispatch *
ogl_dispatch_init(struct ev_loop *loop, struct ogl_logger *log)
{
	struct ogl_dispatch *d = g_new0(struct ogl_dispatch, 1);

	d->loop = loop;
	d->log = log;
	d->start_realtime = ogl_clock_real();
	d->start_monotonic = read_clock(CLOCK_MONOTONIC);
	ogl_actions_init(&d->actions);
	ev_prepare_init(&d->prepare, on_prepare);
	ev_init(&d->node_timer, on_node_timer);
	ev_init(&d->rerun_timer, on_rerun_timer);
	ev_timer_init(&d->stop_timer, on_stop_timer, STOP_TIMEOUT_S, 0.);
	ev_timer_init(&d->drain_timer, on_drain_timer, DRAIN_POLL_INTERVAL_S,
	    DRAIN_POLL_INTERVAL_S);
	d->prepare.data = d;
	d->node_timer.data = d;
	d->rerun_timer.data = d;
	d->stop_timer.data = d;
	d->drain_timer.data = d;
	return d;
}

void
ogl_dispatch_begin(
    struct ogl_dispatch *d, const struct ogl_dispatch_parts *parts)
{
	d->parts = *parts;
	ev_prepare_start(d->loop, &d->prepare);
}

void
ogl_dispatch_end(struct ogl_dispatch *d)
{
	if (d == NULL)
		return;
	ev_prepare_stop(d->loop, &d->prepare);
	ev_timer_stop(d->loop, &d->node_timer);
	ev_timer_stop(d->loop, &d->rerun_timer);
	ev_timer_stop(d->loop, &d->stop_timer);
	ev_timer_stop(d->loop, &d->drain_timer);
	ogl_actions_clear(&d->actions);
	g_free(d);
}
