/* Membership: the nodes of the cell and which of them are alive. */

#ifndef OGL_MEMBER_H
#define OGL_MEMBER_H

#include "orioleglade.h"

struct ogl_member;

/* Another node, as known to this node. */
struct ogl_peer {
	Ogl__MemberFact *fact;     /* newest received */
	ogl_time heard;            /* time of the newest fact or message */
	ogl_time state_changed_at; /* time of the last change of its state */
	ogl_time acked_probe_sent; /* send time of the last answered probe */
	/* Its last answer to a probe: */
	ogl_time down_since;      /* start of its log outage, 0 for none */
	ogl_time current_at;      /* when its settings were current */
	uint64_t current_version; /* version of those settings */

	uint32_t sends_left; /* messages that are still to carry the fact */
	ogl_time probe_sent; /* when the pending probe was sent, 0: none */
	uint64_t probe_seq;
	bool indirect_sent; /* indirect probes were sent too */
};

struct ogl_member *ogl_member_init(
    const struct ogl_node_config *c, uint64_t seed, ogl_time now);
void ogl_member_end(struct ogl_member *m);

void ogl_member_tick(
    struct ogl_member *m, ogl_time now, struct ogl_actions *out);
/* Sends due probes and marks nodes that don't answer suspect, then dead. */

ogl_time ogl_member_next(const struct ogl_member *m);
/* Returns when the next tick is due. */

struct ogl_peer *ogl_member_receive(struct ogl_member *m,
    const Ogl__PeerMsg *msg, ogl_time now, struct ogl_actions *out);
/* Handles the facts in a message, and its probe if it has one.  Returns the
 * sender's entry, or NULL for a message of an earlier boot of a known node. */

void ogl_member_send(struct ogl_member *m, const char *addr, Ogl__PeerMsg *msg,
    struct ogl_actions *out);
/* Adds this node's name and the facts to be spread to msg, packs and sends it.
 * The caller still owns the message and its body. */

Ogl__MemberFact *ogl_member_own_fact(struct ogl_member *m);
/* Returns the fact on this node, which the caller may fill in.
 * ogl_member_changed makes a change known to the other nodes. */
void ogl_member_changed(struct ogl_member *m);

struct ogl_peer *ogl_member_find(const struct ogl_member *m, const char *name);
bool ogl_member_alive(const struct ogl_member *m, const char *name);
/* Whether the node is known and neither dead nor left.  A suspect counts as
 * alive. */

void ogl_member_probe_all(struct ogl_member *m, bool on);
/* While on, every member is probed in each period instead of one of them. */

void ogl_member_each(const struct ogl_member *m,
    void (*fn)(void *ctx, const struct ogl_peer *p), void *ctx);
/* Calls fn for every known node except this one, in order of name. */

uint64_t ogl_member_rank(
    const struct ogl_member *m, const char *name, uint32_t shard);
/* Returns the rendezvous weight of a node for a shard.  The live node with
 * the highest weight should own the shard. */

#endif
