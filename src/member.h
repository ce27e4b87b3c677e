/* Membership: who the nodes of the cell are and which of them live. */

#ifndef OGL_MEMBER_H
#define OGL_MEMBER_H

#include "orioleglade.h"

struct ogl_member;

/* One node as seen from here. */
struct ogl_peer {
	Ogl__MemberFact *fact;    /* newest heard */
	ogl_time heard;           /* when the newest fact came */
	ogl_time changed;         /* when its state last changed here */
	ogl_time asked;           /* send time of the last probe it answered */
	ogl_time down_since;      /* it said it had no log contact, as of asked;
				  0 when it had */
	ogl_time current_at;      /* its settings were current then, as its
				  newest answer told */
	uint64_t current_version; /* and this was their version */
	uint32_t tell;            /* messages that shall still carry the fact */
	ogl_time probe_sent;      /* pending probe, 0 none */
	uint64_t probe_seq;
	bool relayed; /* the pending probe was asked of others too */
};

struct ogl_member *ogl_member_init(
    const struct ogl_node_config *c, uint64_t seed, ogl_time now);
void ogl_member_end(struct ogl_member *m);

void ogl_member_tick(
    struct ogl_member *m, ogl_time now, struct ogl_actions *out);
/* Sends due probes, turns unanswered ones into suspicion and death. */

ogl_time ogl_member_next(const struct ogl_member *m);
/* When the next tick is wanted. */

struct ogl_peer *ogl_member_heard(struct ogl_member *m, const Ogl__PeerMsg *msg,
    ogl_time now, struct ogl_actions *out);
/* Takes in the facts and the probe, if any, of a message; gives the sender's
 * entry, or NULL when it is an earlier boot of a node known later. */

void ogl_member_send(struct ogl_member *m, const char *addr, Ogl__PeerMsg *msg,
    struct ogl_actions *out);
/* Packs msg with our name and the facts worth telling and sends it.  The
 * message's own body stays the caller's. */

Ogl__MemberFact *ogl_member_own(struct ogl_member *m);
/* Our own fact, to be filled in; ogl_member_changed spreads it. */
void ogl_member_changed(struct ogl_member *m);

struct ogl_peer *ogl_member_find(const struct ogl_member *m, const char *name);
bool ogl_member_alive(const struct ogl_member *m, const char *name);
/* Known and neither dead nor left; a suspect still counts as alive. */

void ogl_member_probe_all(struct ogl_member *m, bool on);
/* While on, every member is probed each period, not one. */

void ogl_member_each(const struct ogl_member *m,
    void (*fn)(void *ctx, const struct ogl_peer *p), void *ctx);
/* Every node known but ourselves, in order of name. */

uint64_t ogl_member_rank(
    const struct ogl_member *m, const char *name, uint32_t shard);
/* Rendezvous weight of a node for a shard; the highest alive one should own
 * it. */

#endif
