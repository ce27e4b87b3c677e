/*
 * libcurl says which sockets to watch and when to be called; each socket gets
 * a watcher, all share one timer.  A timeout of 0 ms, asked for whenever a
 * transfer is added, is served by run and needs no turn of the loop.
 */

#include <ev.h>
#include <glib.h>
#include <unistd.h>

#include "curl_loop.h"

#define CACHED_SHARE 4 /* of the descriptors this process may open */

struct sock {
	struct ogl_curl_loop *owner;
	ev_io io;
};

struct ogl_curl_loop {
	struct ev_loop *loop;
	struct ogl_curl_loop_shape shape;
	CURLM *multi;
	ev_timer timer;
	bool kick; /* libcurl asked to be called at once */
};

static void
act(struct ogl_curl_loop *l, curl_socket_t fd, int what)
{
	CURLMsg *m;
	int n;

	curl_multi_socket_action(l->multi, fd, what, &n);
	while ((m = curl_multi_info_read(l->multi, &n)) != NULL) {
		if (m->msg == CURLMSG_DONE)
			l->shape.ended(
			    l->shape.ctx, m->easy_handle, m->data.result);
	}
}

static void
on_sock(struct ev_loop *loop, ev_io *w, int events)
{
	struct sock *s = w->data;
	int what = 0;

	(void)loop;
	if (events & EV_READ)
		what |= CURL_CSELECT_IN;
	if (events & EV_WRITE)
		what |= CURL_CSELECT_OUT;
	act(s->owner, w->fd, what);
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
	struct ogl_curl_loop *l = ctx;
	struct sock *s = sockp;
	int events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (s != NULL) {
			ev_io_stop(l->loop, &s->io);
			g_free(s);
		}
		return 0;
	}
	if (s == NULL) {
		s = g_new0(struct sock, 1);
		s->owner = l;
		ev_init(&s->io, on_sock);
		s->io.data = s;
		curl_multi_assign(l->multi, fd, s);
	}
	if (what & CURL_POLL_IN)
		events |= EV_READ;
	if (what & CURL_POLL_OUT)
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
	l->kick = ms == 0;
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
	if (!l->kick)
		return false;
	l->kick = false;
	act(l, CURL_SOCKET_TIMEOUT, 0);
	return true;
}

/* Of several loops few are full at a time, so each may keep twice its part. */
static long
cached_connections(const struct ogl_curl_loop_shape *shape)
{
	long open_max = sysconf(_SC_OPEN_MAX);
	long share = open_max / CACHED_SHARE;

	if (open_max < 0)
		return shape->cached_connections;
	if (shape->parts > 1)
		share = 2 * share / (long)shape->parts;
	return CLAMP(share, 1, shape->cached_connections);
}

struct ogl_curl_loop *
ogl_curl_loop_init(
    struct ev_loop *loop, const struct ogl_curl_loop_shape *shape)
{
	struct ogl_curl_loop *l = g_new0(struct ogl_curl_loop, 1);

	/* Only plain HTTP is spoken: TLS would cost each node memory. */
	curl_global_init(CURL_GLOBAL_NOTHING);
	l->loop = loop;
	l->shape = *shape;
	ev_init(&l->timer, on_timer);
	l->timer.data = l;
	l->multi = curl_multi_init();
	curl_multi_setopt(l->multi, CURLMOPT_SOCKETFUNCTION, on_curl_socket);
	curl_multi_setopt(l->multi, CURLMOPT_SOCKETDATA, l);
	curl_multi_setopt(l->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
	curl_multi_setopt(l->multi, CURLMOPT_TIMERDATA, l);
	curl_multi_setopt(
	    l->multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
	curl_multi_setopt(
	    l->multi, CURLMOPT_MAX_HOST_CONNECTIONS, shape->host_connections);
	curl_multi_setopt(
	    l->multi, CURLMOPT_MAXCONNECTS, cached_connections(shape));
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
