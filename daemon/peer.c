/*
 * Sends messages to peers and receives theirs.  There is at most one outgoing
 * connection per address (struct outbound); it carries messages in one
 * direction only.  Messages from peers arrive on the connections that they
 * opened (struct inbound).
 *
 * An outbound connection has a queue of messages.  When the queue is full, the
 * oldest message that is not partly written is dropped, since newer gossip
 * supersedes older.  A partly written message is never dropped while its
 * connection is open: the receiver would read the next message as the rest of
 * it.  When the connection breaks, the partly written message is dropped, since
 * its rest would not be a frame on the next connection.
 *
 * An outbound connection may carry a compressed stream, which begins with a
 * magic number.  Frames are compressed only when they are about to be sent, so
 * that those still queued can be dropped.  Each connection begins a new stream.
 *
 * A length over the limit or a body that is not a valid message means that the
 * peer speaks another protocol or that the framing is lost.  The connection is
 * then closed, since nothing after that can be trusted.
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

#define LOG_PREFIX "peer"
#define LENGTH_BYTES 4
#define READ_CHUNK_BYTES ((size_t)64 * 1024)
#define READS_PER_EVENT 16
#define FRAMES_PER_WRITE 32
#define INBOUND_CONNECTIONS_MAX 1024
/* Begins a compressed stream; no frame has this length. */
#define COMPRESSED_MAGIC 0x4f474c5aU
/* Only this much is compressed at a time, since compressed frames can no longer
 * be dropped, however old they get. */
#define COMPRESS_STEP_BYTES ((size_t)16 * 1024)
#define BACKOFF_FIRST_S 0.05
#define BACKOFF_MAX_S 2.0
#define CONNECT_TIMEOUT_S 2.0
#define SWEEP_INTERVAL_S 15.0
/* An outbound connection is closed if no message is queued for this long. */
#define OUTBOUND_IDLE_MAX_S 120.0
#define KEEPALIVE_IDLE_S 30
#define UNACKED_TIMEOUT_MS 10000

enum outbound_state {
	OUTBOUND_DOWN, /* waits for its backoff timer, or for a message */
	OUTBOUND_CONNECTING,
	OUTBOUND_UP
};

/* A queued message. */
struct frame {
	uint8_t length[LENGTH_BYTES];
	GBytes *body;
};

struct outbound {
	struct ogl_peer *peer;
	char *addr;
	enum outbound_state state;
	int fd;
	ev_io io;
	ev_timer timer; /* backoff or connect timeout, depending on state */
	double backoff_s;
	GQueue queue; /* struct frame */
	size_t queued_bytes;
	/* Bytes written of the queue's first frame, its length included. */
	size_t written;
	struct ogl_deflate *deflate; /* NULL: not compressed */
	GByteArray *out;             /* compressed bytes to send */
	size_t out_sent;
	ev_tstamp last_used;
	bool refused; /* the last attempt to connect was refused */
};

struct inbound {
	struct ogl_peer *peer;
	int fd;
	ev_io io;
	GByteArray *in;              /* received and not yet delivered */
	bool format_known;           /* the stream's first bytes have arrived */
	struct ogl_inflate *inflate; /* NULL: not compressed */
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
	GHashTable *outbound; /* addr -> struct outbound */
	GHashTable *inbound;  /* set of struct inbound */
	struct ogl_peer_counts counts;
};

static void outbound_connect(struct outbound *k);

static void
frame_free(struct frame *f)
{
	g_bytes_unref(f->body);
	g_free(f);
}

static size_t
frame_size(const struct frame *f)
{
	return LENGTH_BYTES + g_bytes_get_size(f->body);
}

static void
put_length(uint8_t length[LENGTH_BYTES], uint32_t n)
{
	length[0] = (uint8_t)(n >> 24);
	length[1] = (uint8_t)(n >> 16);
	length[2] = (uint8_t)(n >> 8);
	length[3] = (uint8_t)n;
}

static uint32_t
get_length(const uint8_t length[LENGTH_BYTES])
{
	return (uint32_t)length[0] << 24 | (uint32_t)length[1] << 16 |
	       (uint32_t)length[2] << 8 | length[3];
}

/* A host that fails or is cut off sends no FIN or RST.  Without these options
 * its connection would stay open for the kernel's default of many minutes. */
static void
set_socket_options(int fd)
{
	int one = 1;
	int idle = KEEPALIVE_IDLE_S;
	unsigned user_ms = UNACKED_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_ms, sizeof user_ms);
}

/* ---- outgoing --------------------------------------------------------- */

static void
outbound_drop_head(struct outbound *k)
{
	struct frame *f = g_queue_pop_head(&k->queue);

	k->queued_bytes -= frame_size(f);
	frame_free(f);
}

static void
outbound_close(struct outbound *k)
{
	ev_io_stop(k->peer->loop, &k->io);
	ev_timer_stop(k->peer->loop, &k->timer);
	if (k->fd >= 0)
		close(k->fd);
	k->fd = -1;
	g_clear_pointer(&k->deflate, ogl_deflate_end);
	g_byte_array_set_size(k->out, 0);
	k->out_sent = 0;
	if (k->written > 0) {
		outbound_drop_head(k);
		k->written = 0;
		k->peer->counts.dropped++;
	}
	k->state = OUTBOUND_DOWN;
}

static void
outbound_free(struct outbound *k)
{
	outbound_close(k);
	while (!g_queue_is_empty(&k->queue))
		outbound_drop_head(k);
	g_byte_array_unref(k->out);
	g_free(k->addr);
	g_free(k);
}

static void
outbound_fail(struct outbound *k, const char *why)
{
	ogl_log(k->peer->log, OGL_LOG_DEBUG, LOG_PREFIX,
	    "Connection to %s failed: %s.", k->addr, why);
	outbound_close(k);
	ev_timer_set(&k->timer, k->backoff_s, 0.);
	ev_timer_start(k->peer->loop, &k->timer);
	k->backoff_s = MIN(k->backoff_s * 2, BACKOFF_MAX_S);
}

static void
outbound_written(struct outbound *k, size_t n)
{
	struct frame *f;
	size_t rest;

	while (n > 0) {
		f = g_queue_peek_head(&k->queue);
		rest = frame_size(f) - k->written;
		if (n < rest) {
			k->written += n;
			return;
		}
		n -= rest;
		k->written = 0;
		outbound_drop_head(k);
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
outbound_fill_iov(struct outbound *k, struct iovec iov[2 * FRAMES_PER_WRITE])
{
	size_t skip = k->written;
	size_t frames = 0;
	size_t n = 0;
	GList *at;

	for (at = k->queue.head; at != NULL && frames < FRAMES_PER_WRITE;
	     at = at->next, frames++) {
		struct frame *f = at->data;
		gsize len;
		const void *p = g_bytes_get_data(f->body, &len);

		iov_add(iov, &n, f->length, LENGTH_BYTES, &skip);
		iov_add(iov, &n, p, len, &skip);
	}
	return n;
}

/* Compresses some of the queued frames if all earlier output is sent.  Returns
 * false if nothing is left to send. */
static bool
outbound_compress(struct outbound *k)
{
	size_t taken = 0;

	if (k->out_sent < k->out->len)
		return true;
	g_byte_array_set_size(k->out, 0);
	k->out_sent = 0;
	while (!g_queue_is_empty(&k->queue) && taken < COMPRESS_STEP_BYTES) {
		struct frame *f = g_queue_peek_head(&k->queue);
		gsize n;
		const void *p = g_bytes_get_data(f->body, &n);

		ogl_deflate_add(k->deflate, f->length, LENGTH_BYTES, k->out);
		ogl_deflate_add(k->deflate, p, n, k->out);
		taken += LENGTH_BYTES + n;
		outbound_drop_head(k);
		k->peer->counts.frames_out++;
	}
	if (taken > 0)
		ogl_deflate_flush(k->deflate, k->out);
	return k->out->len > 0;
}

static bool
outbound_has_more(struct outbound *k)
{
	return k->deflate != NULL ? outbound_compress(k)
				  : !g_queue_is_empty(&k->queue);
}

/* Sends the next bytes.  Returns the result of sendmsg. */
static ssize_t
outbound_send(struct outbound *k)
{
	struct iovec iov[2 * FRAMES_PER_WRITE];
	struct msghdr m = {.msg_iov = iov, .msg_iovlen = 1};

	if (k->deflate == NULL) {
		m.msg_iovlen = outbound_fill_iov(k, iov);
	} else {
		iov[0].iov_base = k->out->data + k->out_sent;
		iov[0].iov_len = k->out->len - k->out_sent;
	}
	return sendmsg(k->fd, &m, MSG_NOSIGNAL);
}

static void
outbound_flush(struct outbound *k)
{
	ssize_t n;

	while (outbound_has_more(k)) {
		n = outbound_send(k);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return;
		if (n < 0) {
			outbound_fail(k, g_strerror(errno));
			return;
		}
		k->peer->counts.bytes_out += (uint64_t)n;
		if (k->deflate != NULL)
			k->out_sent += (size_t)n;
		else
			outbound_written(k, (size_t)n);
	}
	ev_io_stop(k->peer->loop, &k->io);
	ev_io_set(&k->io, k->fd, EV_READ);
	ev_io_start(k->peer->loop, &k->io);
}

static void
outbound_begin_stream(struct outbound *k)
{
	uint8_t magic[LENGTH_BYTES];

	put_length(magic, COMPRESSED_MAGIC);
	k->deflate = ogl_deflate_init();
	g_byte_array_append(k->out, magic, sizeof magic);
}

/* The peer never sends anything on this connection, so it is readable only when
 * it has ended. */
static bool
outbound_closed(struct outbound *k)
{
	char c[256];
	ssize_t n = recv(k->fd, c, sizeof c, MSG_DONTWAIT);

	return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

static void
outbound_connected(struct outbound *k)
{
	int err = 0;
	socklen_t len = sizeof err;

	getsockopt(k->fd, SOL_SOCKET, SO_ERROR, &err, &len);
	k->refused = err == ECONNREFUSED;
	if (err != 0) {
		outbound_fail(k, g_strerror(err));
		return;
	}
	ev_timer_stop(k->peer->loop, &k->timer);
	k->state = OUTBOUND_UP;
	k->backoff_s = BACKOFF_FIRST_S;
	k->peer->counts.connects++;
	if (k->peer->compress)
		outbound_begin_stream(k);
	ev_io_stop(k->peer->loop, &k->io);
	ev_io_set(&k->io, k->fd, EV_READ | EV_WRITE);
	ev_io_start(k->peer->loop, &k->io);
}

static void
on_outbound_io(struct ev_loop *loop, ev_io *w, int events)
{
	struct outbound *k = w->data;

	(void)loop;
	if (k->state == OUTBOUND_CONNECTING) {
		outbound_connected(k);
		return;
	}
	if ((events & EV_READ) && outbound_closed(k)) {
		outbound_fail(k, "closed by the peer");
		return;
	}
	if (events & EV_WRITE)
		outbound_flush(k);
}

static void
on_outbound_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct outbound *k = w->data;

	(void)loop;
	(void)events;
	if (k->state == OUTBOUND_CONNECTING)
		outbound_fail(k, "no answer");
	else if (!g_queue_is_empty(&k->queue))
		outbound_connect(k);
}

static void
outbound_connect(struct outbound *k)
{
	struct sockaddr_storage sa;
	socklen_t len;

	if (!ogl_addr_parse(k->addr, &sa, &len)) {
		outbound_fail(k, "not an address");
		return;
	}
	k->fd =
	    socket(sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (k->fd < 0) {
		outbound_fail(k, g_strerror(errno));
		return;
	}
	set_socket_options(k->fd);
	if (connect(k->fd, (struct sockaddr *)&sa, len) != 0 &&
	    errno != EINPROGRESS) {
		outbound_fail(k, g_strerror(errno));
		return;
	}
	k->state = OUTBOUND_CONNECTING;
	ev_io_set(&k->io, k->fd, EV_WRITE);
	ev_io_start(k->peer->loop, &k->io);
	ev_timer_set(&k->timer, CONNECT_TIMEOUT_S, 0.);
	ev_timer_start(k->peer->loop, &k->timer);
}

static struct outbound *
outbound_get(struct ogl_peer *p, const char *addr)
{
	struct outbound *k = g_hash_table_lookup(p->outbound, addr);

	if (k != NULL)
		return k;
	k = g_new0(struct outbound, 1);
	k->peer = p;
	k->addr = g_strdup(addr);
	k->fd = -1;
	k->backoff_s = BACKOFF_FIRST_S;
	k->out = g_byte_array_new();
	g_queue_init(&k->queue);
	ev_init(&k->io, on_outbound_io);
	ev_init(&k->timer, on_outbound_timer);
	k->io.data = k;
	k->timer.data = k;
	g_hash_table_insert(p->outbound, k->addr, k);
	return k;
}

/* Drops old frames until n more bytes fit.  Returns false if a partly written
 * frame leaves no room. */
static bool
outbound_make_room(struct outbound *k, size_t n)
{
	struct frame *f;

	while (k->queued_bytes + n > OGL_PEER_QUEUE_MAX_BYTES) {
		f = g_queue_pop_nth(&k->queue, k->written > 0 ? 1 : 0);
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
	struct outbound *k;
	struct frame *f;

	if (n == 0 || n > OGL_PEER_FRAME_MAX_BYTES) {
		ogl_log(p->log, OGL_LOG_ERROR, LOG_PREFIX,
		    "A message of %zu bytes was not sent.", n);
		p->counts.dropped++;
		return;
	}
	k = outbound_get(p, addr);
	k->last_used = ev_now(p->loop);
	if (!outbound_make_room(k, LENGTH_BYTES + n)) {
		p->counts.dropped++;
		return;
	}
	f = g_new(struct frame, 1);
	put_length(f->length, (uint32_t)n);
	f->body = g_bytes_ref(msg);
	g_queue_push_tail(&k->queue, f);
	k->queued_bytes += frame_size(f);
	if (k->state == OUTBOUND_UP) {
		ev_io_stop(p->loop, &k->io);
		ev_io_set(&k->io, k->fd, EV_READ | EV_WRITE);
		ev_io_start(p->loop, &k->io);
	} else if (k->state == OUTBOUND_DOWN && !ev_is_active(&k->timer)) {
		outbound_connect(k);
	}
}

static gboolean
outbound_is_idle(gpointer key, gpointer value, gpointer ctx)
{
	struct outbound *k = value;
	ev_tstamp *now = ctx;

	(void)key;
	return *now - k->last_used > OUTBOUND_IDLE_MAX_S;
}

static void
on_sweep(struct ev_loop *loop, ev_timer *w, int events)
{
	struct ogl_peer *p = w->data;
	ev_tstamp now = ev_now(loop);

	(void)events;
	g_hash_table_foreach_remove(p->outbound, outbound_is_idle, &now);
	ev_io_start(loop, &p->accept_io);
}

/* ---- incoming --------------------------------------------------------- */

static void
inbound_free(struct inbound *i)
{
	ev_io_stop(i->peer->loop, &i->io);
	close(i->fd);
	g_byte_array_unref(i->in);
	ogl_inflate_end(i->inflate);
	g_free(i);
}

static bool
deliver_frame(struct ogl_peer *p, const uint8_t *body, uint32_t n)
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

/* Delivers all complete frames.  Returns false if the stream is malformed. */
static bool
inbound_take_frames(struct inbound *i)
{
	size_t at = 0;

	while (i->in->len - at >= LENGTH_BYTES) {
		uint32_t n = get_length(i->in->data + at);

		if (n == 0 || n > OGL_PEER_FRAME_MAX_BYTES)
			return false;
		if (i->in->len - at - LENGTH_BYTES < n)
			break;
		if (!deliver_frame(i->peer, i->in->data + at + LENGTH_BYTES, n))
			return false;
		at += LENGTH_BYTES + n;
	}
	if (at > 0)
		g_byte_array_remove_range(i->in, 0, (guint)at);
	return true;
}

static bool
inbound_take_compressed(struct inbound *i, const uint8_t *p, size_t n)
{
	uint8_t plain[READ_CHUNK_BYTES];
	ssize_t got;

	do {
		got = ogl_inflate_next(i->inflate, &p, &n, plain, sizeof plain);
		if (got < 0)
			return false;
		g_byte_array_append(i->in, plain, (guint)got);
		if (!inbound_take_frames(i))
			return false;
	} while (n > 0 || got == sizeof plain);
	return true;
}

/* The first bytes of a stream tell whether it is compressed. */
static bool
inbound_take_first(struct inbound *i)
{
	GByteArray *first;
	bool ok;

	if (i->in->len < LENGTH_BYTES)
		return true;
	i->format_known = true;
	if (get_length(i->in->data) != COMPRESSED_MAGIC)
		return inbound_take_frames(i);
	first = i->in;
	i->in = g_byte_array_new();
	i->inflate = ogl_inflate_init();
	ok = inbound_take_compressed(
	    i, first->data + LENGTH_BYTES, first->len - LENGTH_BYTES);
	g_byte_array_unref(first);
	return ok;
}

static bool
inbound_take_bytes(struct inbound *i, const uint8_t *p, size_t n)
{
	i->peer->counts.bytes_in += n;
	if (i->inflate != NULL)
		return inbound_take_compressed(i, p, n);
	g_byte_array_append(i->in, p, (guint)n);
	return i->format_known ? inbound_take_frames(i) : inbound_take_first(i);
}

/* Complete frames are removed after each read, so the buffer holds less than
 * one frame and one read. */
static bool
inbound_read(struct inbound *i)
{
	uint8_t chunk[READ_CHUNK_BYTES];
	int reads;
	ssize_t n;

	for (reads = 0; reads < READS_PER_EVENT; reads++) {
		n = recv(i->fd, chunk, sizeof chunk, 0);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return true;
		if (n <= 0)
			return false;
		if (!inbound_take_bytes(i, chunk, (size_t)n)) {
			i->peer->counts.malformed++;
			ogl_log(i->peer->log, OGL_LOG_WARN, LOG_PREFIX,
			    "A malformed frame closed its connection.");
			return false;
		}
	}
	return true;
}

static void
on_inbound_io(struct ev_loop *loop, ev_io *w, int events)
{
	struct inbound *i = w->data;

	(void)loop;
	(void)events;
	if (!inbound_read(i))
		g_hash_table_remove(i->peer->inbound, i);
}

static void
inbound_add(struct ogl_peer *p, int fd)
{
	struct inbound *i = g_new0(struct inbound, 1);

	set_socket_options(fd);
	i->peer = p;
	i->fd = fd;
	i->in = g_byte_array_new();
	ev_io_init(&i->io, on_inbound_io, fd, EV_READ);
	i->io.data = i;
	ev_io_start(p->loop, &i->io);
	g_hash_table_add(p->inbound, i);
}

/*
 * If the process is out of file descriptors or memory, accept fails while the
 * listening socket stays readable, and the loop would spin.  So accepting is
 * paused until the next sweep.
 */
static void
pause_accepting(struct ogl_peer *p)
{
	ogl_log(p->log, OGL_LOG_ERROR, LOG_PREFIX, "Can't accept: %s.",
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
		if (g_hash_table_size(p->inbound) >= INBOUND_CONNECTIONS_MAX) {
			p->counts.refused++;
			close(fd);
			continue;
		}
		inbound_add(p, fd);
	}
	if (errno == EMFILE || errno == ENFILE || errno == ENOMEM)
		pause_accepting(p);
}

/* ---- init and end ----------------------------------------------------- */

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
	p->outbound = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)outbound_free);
	p->inbound = g_hash_table_new_full(
	    NULL, NULL, (GDestroyNotify)inbound_free, NULL);
	ev_io_init(&p->accept_io, on_accept, fd, EV_READ);
	p->accept_io.data = p;
	ev_io_start(loop, &p->accept_io);
	ev_timer_init(&p->sweep, on_sweep, SWEEP_INTERVAL_S, SWEEP_INTERVAL_S);
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
	g_hash_table_unref(p->outbound);
	g_hash_table_unref(p->inbound);
	g_free(p);
}

bool
ogl_peer_connect_refused(const struct ogl_peer *p, const char *addr)
{
	const struct outbound *k = g_hash_table_lookup(p->outbound, addr);

	return k != NULL && k->refused;
}

void
ogl_peer_set_message(
    struct ogl_peer *p, const ProtobufCMessageDescriptor *message)
{
	p->message = message;
}

void
ogl_peer_enable_compression(struct ogl_peer *p)
{
	p->compress = true;
}

void
ogl_peer_reset(struct ogl_peer *p, const char *addr)
{
	g_hash_table_remove(p->outbound, addr);
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
