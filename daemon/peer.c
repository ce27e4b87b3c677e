/*
 * Each address has at most one outgoing connection (struct link), which
 * carries messages one way only; what peers send arrives on connections that
 * they opened (struct inlet).
 *
 * A link holds a queue of whole messages.  When the queue is over its bound
 * the oldest message not begun is dropped: new gossip supersedes old.  The
 * head is never dropped once some of its bytes were written, since the
 * receiver would then read the next message as the rest of it.  When the
 * connection breaks, a begun head is given up for the same reason.
 *
 * A link may carry one compressed stream, which a mark at its beginning tells.
 * Frames are compressed when the link takes them, so that those still queued can
 * be dropped; a new connection begins a new stream.
 *
 * A length over the limit or a body that is no PeerMsg means that the other
 * side speaks something else or has lost its place in the stream; the
 * connection is closed, since nothing after it can be trusted.
 */

#define _GNU_SOURCE /* accept4 */
#include <errno.h>
#include <ev.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/uio.h>
#include <unistd.h>

#include "addr.h"
#include "compress.h"
#include "peer.h"

#define PREFIX "peer"
#define HEAD_BYTES 4
#define READ_CHUNK ((size_t)64 * 1024)
#define READS_A_TURN 16
#define FRAMES_A_WRITE 32
#define INLETS_MAX 1024
/* Begins a compressed stream; no frame has such a length. */
#define COMPRESSED_MARK 0x4f474c5aU
/* Compressed at a time: what was is sent, however old it gets. */
#define COMPRESS_STEP ((size_t)16 * 1024)
#define BACKOFF_FIRST_S 0.05
#define BACKOFF_MAX_S 2.0
#define CONNECT_TIMEOUT_S 2.0
#define SWEEP_S 15.0
#define LINK_IDLE_S 120.0 /* an address nobody writes to any more */
#define KEEP_IDLE_S 30
#define USER_TIMEOUT_MS 10000

enum link_state {
	LINK_DOWN, /* waits for its backoff timer */
	LINK_CONNECTING,
	LINK_UP
};

/* One queued message. */
struct frame {
	uint8_t head[HEAD_BYTES];
	GBytes *body;
};

struct link {
	struct ogl_peer *peer;
	char *addr;
	enum link_state state;
	int fd;
	ev_io io;
	ev_timer timer; /* backoff or connect timeout, by state */
	double backoff;
	GQueue queue; /* struct frame */
	size_t queued_bytes;
	size_t begun; /* bytes written of the head, its length included */
	struct ogl_deflate *deflate; /* NULL: frames are sent as they are */
	GByteArray *out;             /* compressed, not sent yet */
	size_t out_sent;
	ev_tstamp used;
	bool refused; /* the last attempt to connect found nobody listening */
};

struct inlet {
	struct ogl_peer *peer;
	int fd;
	ev_io io;
	GByteArray *in;
	bool marked;                 /* it is known whether it is compressed */
	struct ogl_inflate *inflate; /* NULL: it is not */
};

struct ogl_peer {
	struct ev_loop *loop;
	struct ogl_sink sink;
	struct ogl_logger *log;
	int fd;
	ev_io accept_io;
	ev_timer sweep;
	const ProtobufCMessageDescriptor *message;
	bool compress;
	GHashTable *links;  /* addr -> struct link */
	GHashTable *inlets; /* set of struct inlet */
	struct ogl_peer_counts counts;
};

static void link_connect(struct link *k);

static void
frame_free(struct frame *f)
{
	g_bytes_unref(f->body);
	g_free(f);
}

static size_t
frame_size(const struct frame *f)
{
	return HEAD_BYTES + g_bytes_get_size(f->body);
}

static void
put_length(uint8_t head[HEAD_BYTES], uint32_t n)
{
	head[0] = (uint8_t)(n >> 24);
	head[1] = (uint8_t)(n >> 16);
	head[2] = (uint8_t)(n >> 8);
	head[3] = (uint8_t)n;
}

static uint32_t
get_length(const uint8_t head[HEAD_BYTES])
{
	return (uint32_t)head[0] << 24 | (uint32_t)head[1] << 16 |
	       (uint32_t)head[2] << 8 | head[3];
}

/* A host that vanishes sends nothing; without these options its connection
 * would count as open until the kernel's default of many minutes. */
static void
set_socket_options(int fd)
{
	int one = 1;
	int idle = KEEP_IDLE_S;
	unsigned user_ms = USER_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_ms, sizeof user_ms);
}

/* ---- outgoing --------------------------------------------------------- */

static void
link_drop_head(struct link *k)
{
	struct frame *f = g_queue_pop_head(&k->queue);

	k->queued_bytes -= frame_size(f);
	frame_free(f);
}

static void
link_close(struct link *k)
{
	ev_io_stop(k->peer->loop, &k->io);
	ev_timer_stop(k->peer->loop, &k->timer);
	if (k->fd >= 0)
		close(k->fd);
	k->fd = -1;
	g_clear_pointer(&k->deflate, ogl_deflate_end);
	g_byte_array_set_size(k->out, 0);
	k->out_sent = 0;
	if (k->begun > 0) {
		link_drop_head(k);
		k->begun = 0;
		k->peer->counts.dropped++;
	}
	k->state = LINK_DOWN;
}

static void
link_free(struct link *k)
{
	link_close(k);
	while (!g_queue_is_empty(&k->queue))
		link_drop_head(k);
	g_byte_array_unref(k->out);
	g_free(k->addr);
	g_free(k);
}

static void
link_fail(struct link *k, const char *why)
{
	ogl_log(k->peer->log, OGL_LOG_DEBUG, PREFIX,
	    "Connection to %s failed: %s.", k->addr, why);
	link_close(k);
	ev_timer_set(&k->timer, k->backoff, 0.);
	ev_timer_start(k->peer->loop, &k->timer);
	k->backoff = MIN(k->backoff * 2, BACKOFF_MAX_S);
}

static void
link_written(struct link *k, size_t n)
{
	struct frame *f;
	size_t rest;

	while (n > 0) {
		f = g_queue_peek_head(&k->queue);
		rest = frame_size(f) - k->begun;
		if (n < rest) {
			k->begun += n;
			return;
		}
		n -= rest;
		k->begun = 0;
		link_drop_head(k);
		k->peer->counts.frames_out++;
	}
}

static void
iov_add(struct iovec *iov, size_t *n, const void *p, size_t len, size_t *skip)
{
	size_t s = MIN(*skip, len);

	*skip -= s;
	if (len == s)
		return;
	iov[*n].iov_base = (uint8_t *)(uintptr_t)p + s;
	iov[*n].iov_len = len - s;
	(*n)++;
}

static size_t
link_iov(struct link *k, struct iovec iov[2 * FRAMES_A_WRITE])
{
	size_t skip = k->begun;
	size_t frames = 0;
	size_t n = 0;
	GList *at;

	for (at = k->queue.head; at != NULL && frames < FRAMES_A_WRITE;
	     at = at->next, frames++) {
		struct frame *f = at->data;
		gsize len;
		const void *p = g_bytes_get_data(f->body, &len);

		iov_add(iov, &n, f->head, HEAD_BYTES, &skip);
		iov_add(iov, &n, p, len, &skip);
	}
	return n;
}

/* Compresses some of what is queued; false when nothing is left to send. */
static bool
link_compress(struct link *k)
{
	size_t taken = 0;

	if (k->out_sent < k->out->len)
		return true;
	g_byte_array_set_size(k->out, 0);
	k->out_sent = 0;
	while (!g_queue_is_empty(&k->queue) && taken < COMPRESS_STEP) {
		struct frame *f = g_queue_peek_head(&k->queue);
		gsize n;
		const void *p = g_bytes_get_data(f->body, &n);

		ogl_deflate_add(k->deflate, f->head, HEAD_BYTES, k->out);
		ogl_deflate_add(k->deflate, p, n, k->out);
		taken += HEAD_BYTES + n;
		link_drop_head(k);
		k->peer->counts.frames_out++;
	}
	if (taken > 0)
		ogl_deflate_flush(k->deflate, k->out);
	return k->out->len > 0;
}

static bool
link_has_more(struct link *k)
{
	return k->deflate != NULL ? link_compress(k)
				  : !g_queue_is_empty(&k->queue);
}

/* What sendmsg tells of the next bytes. */
static ssize_t
link_send(struct link *k)
{
	struct iovec iov[2 * FRAMES_A_WRITE];
	struct msghdr m = {.msg_iov = iov, .msg_iovlen = 1};

	if (k->deflate == NULL) {
		m.msg_iovlen = link_iov(k, iov);
	} else {
		iov[0].iov_base = k->out->data + k->out_sent;
		iov[0].iov_len = k->out->len - k->out_sent;
	}
	return sendmsg(k->fd, &m, MSG_NOSIGNAL);
}

static void
link_flush(struct link *k)
{
	ssize_t n;

	while (link_has_more(k)) {
		n = link_send(k);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return;
		if (n < 0) {
			link_fail(k, g_strerror(errno));
			return;
		}
		k->peer->counts.bytes_out += (uint64_t)n;
		if (k->deflate != NULL)
			k->out_sent += (size_t)n;
		else
			link_written(k, (size_t)n);
	}
	ev_io_stop(k->peer->loop, &k->io);
	ev_io_set(&k->io, k->fd, EV_READ);
	ev_io_start(k->peer->loop, &k->io);
}

static void
link_begin_stream(struct link *k)
{
	uint8_t mark[HEAD_BYTES];

	put_length(mark, COMPRESSED_MARK);
	k->deflate = ogl_deflate_init();
	g_byte_array_append(k->out, mark, sizeof mark);
}

/* Nothing is ever sent back on a link: readable means that it ended. */
static bool
link_ended(struct link *k)
{
	char c[256];
	ssize_t n = recv(k->fd, c, sizeof c, MSG_DONTWAIT);

	return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

static void
link_up(struct link *k)
{
	int err = 0;
	socklen_t len = sizeof err;

	getsockopt(k->fd, SOL_SOCKET, SO_ERROR, &err, &len);
	k->refused = err == ECONNREFUSED;
	if (err != 0) {
		link_fail(k, g_strerror(err));
		return;
	}
	ev_timer_stop(k->peer->loop, &k->timer);
	k->state = LINK_UP;
	k->backoff = BACKOFF_FIRST_S;
	k->peer->counts.connects++;
	if (k->peer->compress)
		link_begin_stream(k);
	ev_io_stop(k->peer->loop, &k->io);
	ev_io_set(&k->io, k->fd, EV_READ | EV_WRITE);
	ev_io_start(k->peer->loop, &k->io);
}

static void
on_link_io(struct ev_loop *loop, ev_io *w, int events)
{
	struct link *k = w->data;

	(void)loop;
	if (k->state == LINK_CONNECTING) {
		link_up(k);
		return;
	}
	if ((events & EV_READ) && link_ended(k)) {
		link_fail(k, "closed by the peer");
		return;
	}
	if (events & EV_WRITE)
		link_flush(k);
}

static void
on_link_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct link *k = w->data;

	(void)loop;
	(void)events;
	if (k->state == LINK_CONNECTING)
		link_fail(k, "no answer");
	else if (!g_queue_is_empty(&k->queue))
		link_connect(k);
}

static void
link_connect(struct link *k)
{
	struct sockaddr_storage sa;
	socklen_t len;

	if (!ogl_addr_parse(k->addr, &sa, &len)) {
		link_fail(k, "not an address");
		return;
	}
	k->fd =
	    socket(sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (k->fd < 0) {
		link_fail(k, g_strerror(errno));
		return;
	}
	set_socket_options(k->fd);
	if (connect(k->fd, (struct sockaddr *)&sa, len) != 0 &&
	    errno != EINPROGRESS) {
		link_fail(k, g_strerror(errno));
		return;
	}
	k->state = LINK_CONNECTING;
	ev_io_set(&k->io, k->fd, EV_WRITE);
	ev_io_start(k->peer->loop, &k->io);
	ev_timer_set(&k->timer, CONNECT_TIMEOUT_S, 0.);
	ev_timer_start(k->peer->loop, &k->timer);
}

static struct link *
link_get(struct ogl_peer *p, const char *addr)
{
	struct link *k = g_hash_table_lookup(p->links, addr);

	if (k != NULL)
		return k;
	k = g_new0(struct link, 1);
	k->peer = p;
	k->addr = g_strdup(addr);
	k->fd = -1;
	k->backoff = BACKOFF_FIRST_S;
	k->out = g_byte_array_new();
	g_queue_init(&k->queue);
	ev_init(&k->io, on_link_io);
	ev_init(&k->timer, on_link_timer);
	k->io.data = k;
	k->timer.data = k;
	g_hash_table_insert(p->links, k->addr, k);
	return k;
}

/* Makes room for n more bytes; false when the begun head leaves none. */
static bool
link_make_room(struct link *k, size_t n)
{
	struct frame *f;

	while (k->queued_bytes + n > OGL_PEER_QUEUE_MAX) {
		f = g_queue_pop_nth(&k->queue, k->begun > 0 ? 1 : 0);
		if (f == NULL)
			return false;
		k->queued_bytes -= frame_size(f);
		frame_free(f);
		k->peer->counts.dropped++;
	}
	return true;
}

void
ogl_peer_send(struct ogl_peer *p, const char *addr, GBytes *msg)
{
	size_t n = g_bytes_get_size(msg);
	struct link *k;
	struct frame *f;

	if (n == 0 || n > OGL_PEER_FRAME_MAX) {
		ogl_log(p->log, OGL_LOG_ERROR, PREFIX,
		    "A message of %zu bytes was not sent.", n);
		p->counts.dropped++;
		return;
	}
	k = link_get(p, addr);
	k->used = ev_now(p->loop);
	if (!link_make_room(k, HEAD_BYTES + n)) {
		p->counts.dropped++;
		return;
	}
	f = g_new(struct frame, 1);
	put_length(f->head, (uint32_t)n);
	f->body = g_bytes_ref(msg);
	g_queue_push_tail(&k->queue, f);
	k->queued_bytes += frame_size(f);
	if (k->state == LINK_UP) {
		ev_io_stop(p->loop, &k->io);
		ev_io_set(&k->io, k->fd, EV_READ | EV_WRITE);
		ev_io_start(p->loop, &k->io);
	} else if (k->state == LINK_DOWN && !ev_is_active(&k->timer)) {
		link_connect(k);
	}
}

static gboolean
link_is_idle(gpointer key, gpointer value, gpointer ctx)
{
	struct link *k = value;
	ev_tstamp *now = ctx;

	(void)key;
	return *now - k->used > LINK_IDLE_S;
}

static void
on_sweep(struct ev_loop *loop, ev_timer *w, int events)
{
	struct ogl_peer *p = w->data;
	ev_tstamp now = ev_now(loop);

	(void)events;
	g_hash_table_foreach_remove(p->links, link_is_idle, &now);
	ev_io_start(loop, &p->accept_io);
}

/* ---- incoming --------------------------------------------------------- */

static void
inlet_free(struct inlet *i)
{
	ev_io_stop(i->peer->loop, &i->io);
	close(i->fd);
	g_byte_array_unref(i->in);
	ogl_inflate_end(i->inflate);
	g_free(i);
}

static bool
take_frame(struct ogl_peer *p, const uint8_t *body, uint32_t n)
{
	struct ogl_event ev = {.type = OGL_EV_PEER};
	ProtobufCMessage *m =
	    protobuf_c_message_unpack(p->message, NULL, n, body);

	if (m == NULL)
		return false;
	protobuf_c_message_free_unpacked(m, NULL);
	p->counts.frames_in++;
	ev.u.peer.data.p = (const char *)body;
	ev.u.peer.data.n = n;
	p->sink.event(p->sink.ctx, &ev);
	return true;
}

/* Takes every whole frame; false when the stream can't be trusted. */
static bool
inlet_take(struct inlet *i)
{
	size_t at = 0;

	while (i->in->len - at >= HEAD_BYTES) {
		uint32_t n = get_length(i->in->data + at);

		if (n == 0 || n > OGL_PEER_FRAME_MAX)
			return false;
		if (i->in->len - at - HEAD_BYTES < n)
			break;
		if (!take_frame(i->peer, i->in->data + at + HEAD_BYTES, n))
			return false;
		at += HEAD_BYTES + n;
	}
	if (at > 0)
		g_byte_array_remove_range(i->in, 0, (guint)at);
	return true;
}

static bool
inlet_take_compressed(struct inlet *i, const uint8_t *p, size_t n)
{
	uint8_t plain[READ_CHUNK];
	ssize_t got;

	do {
		got = ogl_inflate_next(i->inflate, &p, &n, plain, sizeof plain);
		if (got < 0)
			return false;
		g_byte_array_append(i->in, plain, (guint)got);
		if (!inlet_take(i))
			return false;
	} while (n > 0 || got == sizeof plain);
	return true;
}

/* Whether it is compressed is told by its first bytes. */
static bool
inlet_take_first(struct inlet *i)
{
	GByteArray *first;
	bool ok;

	if (i->in->len < HEAD_BYTES)
		return true;
	i->marked = true;
	if (get_length(i->in->data) != COMPRESSED_MARK)
		return inlet_take(i);
	first = i->in;
	i->in = g_byte_array_new();
	i->inflate = ogl_inflate_init();
	ok = inlet_take_compressed(
	    i, first->data + HEAD_BYTES, first->len - HEAD_BYTES);
	g_byte_array_unref(first);
	return ok;
}

static bool
inlet_take_bytes(struct inlet *i, const uint8_t *p, size_t n)
{
	i->peer->counts.bytes_in += n;
	if (i->inflate != NULL)
		return inlet_take_compressed(i, p, n);
	g_byte_array_append(i->in, p, (guint)n);
	return i->marked ? inlet_take(i) : inlet_take_first(i);
}

/* Bytes still unread of the next frame are at most a frame, so the buffer
 * stays below a frame and one read. */
static bool
inlet_read(struct inlet *i)
{
	uint8_t chunk[READ_CHUNK];
	int turn;
	ssize_t n;

	for (turn = 0; turn < READS_A_TURN; turn++) {
		n = recv(i->fd, chunk, sizeof chunk, 0);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return true;
		if (n <= 0)
			return false;
		if (!inlet_take_bytes(i, chunk, (size_t)n)) {
			i->peer->counts.malformed++;
			ogl_log(i->peer->log, OGL_LOG_WARN, PREFIX,
			    "A malformed frame closed its connection.");
			return false;
		}
	}
	return true;
}

static void
on_inlet_io(struct ev_loop *loop, ev_io *w, int events)
{
	struct inlet *i = w->data;

	(void)loop;
	(void)events;
	if (!inlet_read(i))
		g_hash_table_remove(i->peer->inlets, i);
}

static void
inlet_add(struct ogl_peer *p, int fd)
{
	struct inlet *i = g_new0(struct inlet, 1);

	set_socket_options(fd);
	i->peer = p;
	i->fd = fd;
	i->in = g_byte_array_new();
	ev_io_init(&i->io, on_inlet_io, fd, EV_READ);
	i->io.data = i;
	ev_io_start(p->loop, &i->io);
	g_hash_table_add(p->inlets, i);
}

/*
 * Out of descriptors, accept fails and the listening socket stays readable:
 * the loop would spin.  It rests until the next sweep.
 */
static void
rest_from_accepting(struct ogl_peer *p)
{
	ogl_log(p->log, OGL_LOG_ERROR, PREFIX, "Can't accept: %s.",
	    g_strerror(errno));
	ev_io_stop(p->loop, &p->accept_io);
}

static void
on_accept(struct ev_loop *loop, ev_io *w, int events)
{
	struct ogl_peer *p = w->data;
	int fd;

	(void)loop;
	(void)events;
	while ((fd = accept4(
		    p->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		if (g_hash_table_size(p->inlets) >= INLETS_MAX) {
			p->counts.refused++;
			close(fd);
			continue;
		}
		inlet_add(p, fd);
	}
	if (errno == EMFILE || errno == ENFILE || errno == ENOMEM)
		rest_from_accepting(p);
}

/* ---- the part --------------------------------------------------------- */

struct ogl_peer *
ogl_peer_init(struct ev_loop *loop, const char *listen, struct ogl_sink sink,
    struct ogl_logger *log, GError **error)
{
	struct ogl_peer *p;
	int fd = ogl_addr_listen(listen, error);

	if (fd < 0)
		return NULL;
	p = g_new0(struct ogl_peer, 1);
	p->loop = loop;
	p->sink = sink;
	p->log = log;
	p->fd = fd;
	p->message = &ogl__peer_msg__descriptor;
	p->links = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)link_free);
	p->inlets =
	    g_hash_table_new_full(NULL, NULL, (GDestroyNotify)inlet_free, NULL);
	ev_io_init(&p->accept_io, on_accept, fd, EV_READ);
	p->accept_io.data = p;
	ev_io_start(loop, &p->accept_io);
	ev_timer_init(&p->sweep, on_sweep, SWEEP_S, SWEEP_S);
	p->sweep.data = p;
	ev_timer_start(loop, &p->sweep);
	return p;
}

void
ogl_peer_end(struct ogl_peer *p)
{
	if (p == NULL)
		return;
	ev_io_stop(p->loop, &p->accept_io);
	ev_timer_stop(p->loop, &p->sweep);
	close(p->fd);
	g_hash_table_unref(p->links);
	g_hash_table_unref(p->inlets);
	g_free(p);
}

bool
ogl_peer_refused(const struct ogl_peer *p, const char *addr)
{
	const struct link *k = g_hash_table_lookup(p->links, addr);

	return k != NULL && k->refused;
}

void
ogl_peer_expect(struct ogl_peer *p, const ProtobufCMessageDescriptor *message)
{
	p->message = message;
}

void
ogl_peer_compress(struct ogl_peer *p)
{
	p->compress = true;
}

void
ogl_peer_reset(struct ogl_peer *p, const char *addr)
{
	g_hash_table_remove(p->links, addr);
}

uint16_t
ogl_peer_port(const struct ogl_peer *p)
{
	return ogl_addr_port(p->fd);
}

const struct ogl_peer_counts *
ogl_peer_counts(const struct ogl_peer *p)
{
	return &p->counts;
}
