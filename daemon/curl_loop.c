/*
 * Runs a libcurl multi handle on a libev loop.  libcurl's callbacks tell
 * which sockets to watch and when to call it again.  Each socket has a watcher
 * of its own; all share one timer.  libcurl requests a timeout of 0 ms whenever
 * a transfer is added; ogl_curl_loop_run serves it, without a turn of the event
 * loop.
 */

#include <ev.h>
#include <glib.h>
#include <unistd.h>

#include "curl_loop.h"

/* Cached connections use at most this fraction (1 / n) of the descriptors that
 * the process may open. */
#define CACHED_FD_DIVISOR 4

struct socket_watcher {
	struct ogl_curl_loop *owner;
	ev_io io;
};

struct ogl_curl_loop {
	struct ev_loop *loop;
	struct ogl_curl_loop_config config;
	CURLM *multi;
	ev_timer timer;
	bool timeout_due; /* libcurl requested a timeout of 0 ms */
};

static void
socket_action(struct ogl_curl_loop *l, curl_socket_t fd, int flags)
{
	CURLMsg *m;
	int n;

	curl_multi_socket_action(l->multi, fd, flags, &n);
	while ((m = curl_multi_info_read(l->multi, &n)) != NULL) {
		if (m->msg == CURLMSG_DONE)
			l->config.ended(
			    l->config.ctx, m->easy_handle, m->data.result);
	}
}

static void
on_socket_event(struct ev_loop *loop, ev_io *w, int events)
{
	struct socket_watcher *s = w->data;
	int flags = 0;

	(void)loop;
	if (events & EV_READ)
		flags |= CURL_CSELECT_IN;
	if (events & EV_WRITE)
		flags |= CURL_CSELECT_OUT;
	socket_action(s->owner, w->fd, flags);
}

static void
on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	socket_action(w->data, CURL_SOCKET_TIMEOUT, 0);
}

static int
on_curl_socket(
    CURL *easy, curl_socket_t fd, int flags, void *ctx, void *watcher)
{
	struct ogl_curl_loop *l = ctx;
	struct socket_watcher *s = watcher;
	int events = 0;

	(void)easy;
	if (flags == CURL_POLL_REMOVE) {
		if (s != NULL) {
			ev_io_stop(l->loop, &s->io);
			g_free(s);
		}
		return 0;
	}
	if (s == NULL) {
		s = g_new0(struct socket_watcher, 1);
		s->owner = l;
		ev_init(&s->io, on_socket_event);
		s->io.data = s;
		curl_multi_assign(l->multi, fd, s);
	}
	if (flags & CURL_POLL_IN)
		events |= EV_READ;
	if (flags & CURL_POLL_OUT)
		events |= EV_WRITE;
	ev_io_stop(l->loop, &s->io);
	ev_io_set(&s->io, fd, events);
	ev_io_start(l->loop, &s->io);
	return 0;
}

static int
on_curl_timer(CURLM *multi, long ms, void *ctx)
{
	struct ogl_curl_loop *l = ctx;

	(void)multi;
	ev_timer_stop(l->loop, &l->timer);
	l->timeout_due = ms == 0;
	if (ms < 0)
		return 0;
	ev_timer_set(&l->timer, (ev_tstamp)ms / 1e3, 0.);
	ev_timer_start(l->loop, &l->timer);
	return 0;
}

void
ogl_curl_loop_add(struct ogl_curl_loop *l, CURL *easy)
{
	curl_multi_add_handle(l->multi, easy);
}

void
ogl_curl_loop_remove(struct ogl_curl_loop *l, CURL *easy)
{
	curl_multi_remove_handle(l->multi, easy);
}

bool
ogl_curl_loop_run(struct ogl_curl_loop *l)
{
	if (!l->timeout_due)
		return false;
	l->timeout_due = false;
	socket_action(l, CURL_SOCKET_TIMEOUT, 0);
	return true;
}

/* Few of the loops use all their connections at the same time, so each may keep
 * twice its equal share. */
static long
cached_connections(const struct ogl_curl_loop_config *config)
{
	long open_max = sysconf(_SC_OPEN_MAX);
	long share = open_max / CACHED_FD_DIVISOR;

	if (open_max < 0)
		return config->cached_connections_max;
	if (config->loops > 1)
		share = 2 * share / (long)config->loops;
	return CLAMP(share, 1, config->cached_connections_max);
}

struct ogl_curl_loop *
ogl_curl_loop_init(
    struct ev_loop *loop, const struct ogl_curl_loop_config *config)
{
	struct ogl_curl_loop *l = g_new0(struct ogl_curl_loop, 1);

	/* Only plain HTTP is used; loading TLS would cost each node memory. */
	curl_global_init(CURL_GLOBAL_NOTHING);
	l->loop = loop;
	l->config = *config;
	ev_init(&l->timer, on_timer);
	l->timer.data = l;
	l->multi = curl_multi_init();
	curl_multi_setopt(l->multi, CURLMOPT_SOCKETFUNCTION, on_curl_socket);
	curl_multi_setopt(l->multi, CURLMOPT_SOCKETDATA, l);
	curl_multi_setopt(l->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
	curl_multi_setopt(l->multi, CURLMOPT_TIMERDATA, l);
	curl_multi_setopt(
	    l->multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
	curl_multi_setopt(l->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
	    config->host_connections_max);
	curl_multi_setopt(
	    l->multi, CURLMOPT_MAXCONNECTS, cached_connections(config));
	return l;
}

void
ogl_curl_loop_end(struct ogl_curl_loop *l)
{
	curl_multi_cleanup(l->multi);
	ev_timer_stop(l->loop, &l->timer);
	g_free(l);
	curl_global_cleanup();
}
