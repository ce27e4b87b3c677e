/*
 * Choice of a shard's owner, and the claim.
 *
 * The live node with the highest rendezvous weight should own the shard.  When
 * gossip knows of no live owner, or only of one that offers the shard, that
 * node reads the shard's stream to its end and appends a claim that names the
 * epoch it found there.
 */

#include <stdlib.h>
#include <string.h>

#include "shard_impl.h"

enum {
	RECENT_WRITE_MS = 30000, /* an owner that wrote within it is alive */
	CLOCK_SKEW_MS = 500,     /* most that two hosts' clocks differ */
	GOSSIP_WAIT_MS = 3000,   /* time for gossip to confirm the owner */
};

void
ogl_shard_set_known_owner(
    struct ogl_shard *sh, const char *node, uint64_t epoch, bool offered)
{
	g_free(sh->known_owner);
	sh->known_owner = g_strdup(node);
	sh->known_epoch = MAX(sh->known_epoch, epoch);
	sh->known_offered = offered;
}

/* Makes the node the candidate if it is alive and ranks above the present
 * candidate. */
static void
consider_candidate(void *ctx, const struct ogl_peer *p)
{
	struct ogl_candidate *top = ctx;
	uint64_t r = ogl_member_rank(top->m, p->fact->name, top->shard);

	if (p->fact->state != OGL__MEMBER_FACT__STATE__alive ||
	    (top->name != NULL && r <= top->rank) ||
	    (top->skip != NULL && strcmp(top->skip, p->fact->name) == 0))
		return;
	top->name = p->fact->name;
	top->rank = r;
	top->state_changed_at = p->state_changed_at;
}

struct ogl_candidate
ogl_claim_top_candidate(const struct ogl_shard *sh)
{
	struct ogl_candidate top = {.m = sh->env->member, .shard = sh->index};

	ogl_member_each(sh->env->member, consider_candidate, &top);
	return top;
}

static bool
ranks_first(const struct ogl_shard *sh)
{
	struct ogl_candidate top = ogl_claim_top_candidate(sh);

	return top.name == NULL ||
	       ogl_member_rank(top.m, sh->env->cfg->name, sh->index) > top.rank;
}

size_t
ogl_claim_successors(
    const struct ogl_shard *sh, char *names[OGL_MAX_SUCCESSORS])
{
	struct ogl_candidate top = ogl_claim_top_candidate(sh);
	size_t n = 0;

	if (top.name != NULL) {
		names[n++] = strdup(top.name);
		struct ogl_candidate second = {
		    .m = top.m, .shard = sh->index, .skip = top.name};
		ogl_member_each(top.m, consider_candidate, &second);
		if (second.name != NULL)
			names[n++] = strdup(second.name);
	}
	return n;
}

static void
send_claim(struct ogl_shard *sh, ogl_time now)
{
	Ogl__Record *r = ogl_shard_record(sh, now);
	Ogl__Claim *c = malloc(sizeof *c);
	char *names[OGL_MAX_SUCCESSORS];

	ogl__claim__init(c);
	c->prev_epoch = sh->state->epoch;
	c->late = sh->state->epoch != 0 &&
		  !ogl_right_is_successor(sh, sh->env->cfg->name);
	c->n_successors = ogl_claim_successors(sh, names);
	c->successors = calloc(OGL_MAX_SUCCESSORS, sizeof(char *));
	for (size_t i = 0; i < c->n_successors; i++)
		c->successors[i] = names[i];
	r->epoch = 0;
	r->body_case = OGL__RECORD__BODY_CLAIM;
	r->claim = c;
	ogl_stream_add(sh->stream, r, now);
	sh->claim_sent = true;
}

/* Whether the owner named by gossip is alive and does not offer the shard. */
static bool
owner_stays(const struct ogl_shard *sh)
{
	return sh->known_owner != NULL && !sh->known_offered &&
	       ogl_member_alive(sh->env->member, sh->known_owner);
}

void
ogl_claim_none_tick(struct ogl_shard *sh, ogl_time now)
{
	ogl_time grace = 3 * sh->env->cfg->probe_ms * OGL_MS;

	if (owner_stays(sh)) {
		sh->ownerless_since = 0;
		return;
	}
	if (sh->ownerless_since == 0)
		sh->ownerless_since = now;
	/* The owner is unknown, not dead: gossip may not have arrived yet. */
	if (sh->known_owner == NULL && now - sh->ownerless_since < grace)
		return;
	if (!sh->stopping && now >= sh->no_claim_until && ranks_first(sh))
		ogl_shard_start_reading(sh, now);
}

/* Whether the owner wrote to the log recently, after this node marked it as
 * dead.  It is then alive and only unreachable from here.  If this node claimed
 * the shard, the owner would claim it back, and the shard would change owners
 * without doing any work for as long as the two cannot reach each other. */
static bool
wrote_since_death(
    const struct ogl_shard *sh, const struct ogl_peer *p, ogl_time now)
{
	/* The time in a record is set by its writer and may have any value. */
	uint64_t wrote_ms = sh->state->owner_ms;
	uint64_t now_ms = (uint64_t)(now / OGL_MS);
	uint64_t died_ms = (uint64_t)(p->state_changed_at / OGL_MS);

	return p->fact->state == OGL__MEMBER_FACT__STATE__dead &&
	       wrote_ms > died_ms + CLOCK_SKEW_MS &&
	       wrote_ms < now_ms + RECENT_WRITE_MS &&
	       now_ms < wrote_ms + RECENT_WRITE_MS;
}

/* Whether the owner named by the log may be alive although gossip does not
 * know it as the owner.  It may have claimed a moment ago, or have lost the
 * answer to its claim. */
static bool
log_owner_may_live(const struct ogl_shard *sh, ogl_time now)
{
	const struct ogl_peer *p;

	if (sh->state->owner[0] == '\0')
		return false;
	p = ogl_member_find(sh->env->member, sh->state->owner);
	if (p == NULL)
		return false;
	if (wrote_since_death(sh, p, now))
		return true;
	return now - sh->ownerless_since < GOSSIP_WAIT_MS * OGL_MS &&
	       p->fact->boot == sh->state->owner_boot &&
	       p->fact->state == OGL__MEMBER_FACT__STATE__alive &&
	       sh->state->epoch > sh->known_epoch;
}

void
ogl_claim_reader_tick(struct ogl_shard *sh, ogl_time now)
{
	/* A claim that was sent may still take effect, so the role is kept
	 * until its outcome is known. */
	if (!sh->claim_sent && owner_stays(sh) &&
	    sh->known_epoch >= sh->state->epoch) {
		ogl_shard_leave_role(sh, now);
		return;
	}
	if (sh->claim_sent) {
		/* A rival claim came first, so ours names an old epoch. */
		if (sh->state->epoch != 0 && !ogl_shard_still_owner(sh) &&
		    ogl_stream_idle(sh->stream) &&
		    ogl_stream_pending(sh->stream) == 0)
			ogl_shard_leave_role(sh, now);
		return;
	}
	if (!ogl_shard_log_up(sh, now) || now < sh->no_claim_until ||
	    log_owner_may_live(sh, now))
		return;
	if (!sh->state->complete && ogl_stream_offset(sh->stream) > 0) {
		ogl_shard_log(sh, OGL_LOG_ERROR,
		    "no whole snapshot is retained, starting empty");
		sh->state->complete = true;
		/* The claim names this epoch, so that an owner that is still
		 * alive sees that it is superseded. */
		sh->state->epoch = sh->state->likely_epoch;
	}
	send_claim(sh, now);
}
