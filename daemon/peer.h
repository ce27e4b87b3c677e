/*
 * Peer transport: packed Ogl__PeerMsg over TCP, each preceded by its length as
 * four bytes, most significant first.
 *
 * Delivery is neither reliable nor ordered: a message is lost when its
 * connection breaks or when the queue for its address is full.
 */
#ifndef OGL_PEER_H
#define OGL_PEER_H

#include "logger.h"
#include "sink.h"

#define OGL_PEER_FRAME_MAX_BYTES ((size_t)1024 * 1024)
#define OGL_PEER_QUEUE_MAX_BYTES ((size_t)4 * 1024 * 1024)

struct ev_loop;
struct ogl_peer;

struct ogl_peer_counts {
	uint64_t frames_in;
	uint64_t frames_out;
	uint64_t dropped;   /* outgoing messages not sent */
	uint64_t malformed; /* frames that closed their connection */
	uint64_t connects;
	uint64_t refused; /* incoming connections over the limit */
	uint64_t bytes_out;
	uint64_t bytes_in;
};

struct ogl_peer *ogl_peer_init(struct ev_loop *loop, const char *listen,
    struct ogl_sink sink, struct ogl_logger *log, GError **error);
/* Listens on ip:port; port 0 selects a free port.  Returns NULL and sets error
 * if it can't. */

void ogl_peer_end(struct ogl_peer *p);

void ogl_peer_set_message(
    struct ogl_peer *p, const ProtobufCMessageDescriptor *message);
/* Sets the message type of the frames, if it is not Ogl__PeerMsg; to be called
 * before the loop runs. */

void ogl_peer_enable_compression(struct ogl_peer *p);
/* Compresses outgoing messages, for connections of low bandwidth; incoming
 * messages may be compressed or not.  To be called before the first message. */

void ogl_peer_reset(struct ogl_peer *p, const char *addr);
/* Drops the connection to addr and its queue, for a peer that doesn't respond.
 * The next message opens a new connection. */

bool ogl_peer_connect_refused(const struct ogl_peer *p, const char *addr);
/* Returns whether the last attempt to connect to addr was refused because
 * nothing listens there. */

uint16_t ogl_peer_port(const struct ogl_peer *p);

void ogl_peer_send(struct ogl_peer *p, const char *addr, GBytes *msg);
/* Queues a packed message for addr; takes its own reference to msg. */

const struct ogl_peer_counts *ogl_peer_counts(const struct ogl_peer *p);

#endif
