/*
 * Peer transport: packed Ogl__PeerMsg over TCP, each behind its length in
 * four bytes, most significant first.
 *
 * Delivery is unreliable and unordered by contract: a message is lost when
 * its connection breaks or when the queue towards its address is full.
 */
#ifndef OGL_PEER_H
#define OGL_PEER_H

#include "logger.h"
#include "sink.h"

#define OGL_PEER_FRAME_MAX ((size_t)1024 * 1024)
#define OGL_PEER_QUEUE_MAX ((size_t)4 * 1024 * 1024)

struct ev_loop;
struct ogl_peer;

struct ogl_peer_counts {
	uint64_t frames_in;
	uint64_t frames_out;
	uint64_t dropped;   /* outgoing messages given up */
	uint64_t malformed; /* frames that closed their connection */
	uint64_t connects;
	uint64_t refused; /* connections beyond the limit */
	uint64_t bytes_out;
	uint64_t bytes_in;
};

struct ogl_peer *ogl_peer_init(struct ev_loop *loop, const char *listen,
    struct ogl_sink sink, struct ogl_logger *log, GError **error);
/* Listens on ip:port; port 0 takes a free one. */

void ogl_peer_end(struct ogl_peer *p);

void ogl_peer_expect(
    struct ogl_peer *p, const ProtobufCMessageDescriptor *message);
/* What the frames hold, if not Ogl__PeerMsg; to be said before the loop runs. */

void ogl_peer_compress(struct ogl_peer *p);
/* Messages are sent compressed, for a link that is thin; what arrives may be
 * compressed or not.  To be said before the first message. */

void ogl_peer_reset(struct ogl_peer *p, const char *addr);
/* Drops the connection to addr, and what is queued for it: it has gone
 * silent.  The next message opens a new one. */

bool ogl_peer_refused(const struct ogl_peer *p, const char *addr);
/* Whether the last attempt to connect to addr found nobody listening. */

uint16_t ogl_peer_port(const struct ogl_peer *p);

void ogl_peer_send(struct ogl_peer *p, const char *addr, GBytes *msg);
/* Queues one packed message; takes a reference of its own. */

const struct ogl_peer_counts *ogl_peer_counts(const struct ogl_peer *p);

#endif
