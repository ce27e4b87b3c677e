/*
 * An owner's right to act, that is, to start tasks and to renew leases.
 *
 * The right ends right_ms after the last read of the log that showed no rival
 * claim.  While the log does not answer, the owner asks every named successor
 * to promise not to claim for a while, and may act as long as all of them
 * promise, up to late_claim_ms after the last read.  A promise counts from the
 * time it was asked for, because its answer may have been delayed in a buffer.
 */

#include <string.h>

#include "shard_impl.h"

enum {
	PROMISE_EVERY_MS = 500, /* time between requests for promises */
	PROMISE_AFTER_MS = 700, /* time from log contact to the first request */
	LOG_UP_MS = 1500        /* the log is up if it answered within this */
};

bool
ogl_shard_log_up(const struct ogl_shard *sh, ogl_time now)
{
	return now - ogl_stream_current_at(sh->stream) <= LOG_UP_MS * OGL_MS;
}

bool
ogl_shard_may_act(const struct ogl_shard *sh, ogl_time now)
{
	const struct ogl_node_config *c = sh->env->cfg;
	ogl_time log_contact = ogl_stream_current_at(sh->stream);
	ogl_time until = log_contact + c->right_ms * OGL_MS;

	/* A claimant that is not a named successor waits late_claim_ms, so no
	 * promise is needed when no successor is named. */
	if (sh->state->successors->len == 0)
		until = log_contact + c->late_claim_ms * OGL_MS;
	until = MAX(until,
	    MIN(sh->promise_until, log_contact + c->late_claim_ms * OGL_MS));
	return now <= until;
}

bool
ogl_right_is_successor(const struct ogl_shard *sh, const char *name)
{
	for (guint i = 0; i < sh->state->successors->len; i++) {
		const char *s = g_ptr_array_index(sh->state->successors, i);

		if (strcmp(s, name) == 0)
			return true;
	}
	return false;
}

static void
send_promise(struct ogl_shard *sh, const char *to, uint64_t epoch, uint64_t seq,
    bool given)
{
	const struct ogl_peer *p = ogl_member_find(sh->env->member, to);
	Ogl__PeerMsg msg = OGL__PEER_MSG__INIT;
	Ogl__Promise pr = OGL__PROMISE__INIT;

	if (p == NULL)
		return;
	pr.shard = sh->index;
	pr.epoch = epoch;
	pr.seq = seq;
	pr.hold_ms = OGL_PROMISE_MS;
	pr.given = given;
	msg.body_case = OGL__PEER_MSG__BODY_PROMISE;
	msg.promise = &pr;
	ogl_member_send(sh->env->member, p->fact->addr, &msg, sh->env->out);
}

void
ogl_right_ask_promises(struct ogl_shard *sh, ogl_time now)
{
	ogl_time age = now - ogl_stream_current_at(sh->stream);

	if (age < PROMISE_AFTER_MS * OGL_MS || now < sh->next_promise_ask)
		return;
	sh->next_promise_ask = now + PROMISE_EVERY_MS * OGL_MS;
	sh->promise_seq++;
	sh->promise_asked_at = now;
	for (guint i = 0; i < sh->state->successors->len; i++)
		send_promise(sh, g_ptr_array_index(sh->state->successors, i),
		    sh->state->epoch, sh->promise_seq, false);
}

static void
accept_promise(struct ogl_shard *sh, const char *from, const Ogl__Promise *p)
{
	ogl_time *until;
	ogl_time earliest = OGL_NEVER;

	if (p->epoch != sh->state->epoch || p->seq != sh->promise_seq ||
	    !ogl_right_is_successor(sh, from))
		return;
	until = g_new(ogl_time, 1);
	*until = sh->promise_asked_at + p->hold_ms * OGL_MS;
	g_hash_table_replace(sh->promises, g_strdup(from), until);
	for (guint i = 0; i < sh->state->successors->len; i++) {
		until = g_hash_table_lookup(
		    sh->promises, g_ptr_array_index(sh->state->successors, i));
		earliest = MIN(earliest, until != NULL ? *until : 0);
	}
	if (earliest != OGL_NEVER)
		sh->promise_until = earliest;
}

void
ogl_shard_promise(
    struct ogl_shard *sh, const char *from, const Ogl__Promise *p, ogl_time now)
{
	if (p->given) {
		if (sh->role == OGL_ROLE_OWNER)
			accept_promise(sh, from, p);
		return;
	}
	/* A node whose claim is already sent can't promise not to claim. */
	if (sh->role == OGL_ROLE_OWNER || sh->claim_sent)
		return;
	sh->no_claim_until = now + p->hold_ms * OGL_MS;
	send_promise(sh, from, p->epoch, p->seq, true);
}
