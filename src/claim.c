/*
 * Who should own a shard, and claiming it.
 *
 * The live node of the highest rendezvous weight should.  Once gossip knows
 * of no owner that lives and means to stay, that node reads the shard's
 * stream to its end and appends a claim naming the epoch it found there.
 */

#include <stdlib.h>
#include <string.h>

#include "shard_impl.h"

enum {
	CONTESTED_MS = 30000, /* an owner that wrote after its death */
	SKEW_MS = 500,        /* of hosts' clocks, for that */
	UNAWARE_MS = 3000,    /* an owner by the log that does not say so */
};

void
ogl_shard_known_owner(
    struct ogl_shard *sh, const char *node, uint64_t epoch, bool offered)
{
	g_free(sh->known_owner);
	sh->known_owner = g_strdup(node);
	sh->known_epoch = MAX(sh->known_epoch, epoch);
	sh->known_offered = offered;
}

static void
better(void *ctx, const struct ogl_peer *p)
{
	struct ogl_best *b = ctx;
	uint64_t r = ogl_member_rank(b->m, p->fact->name, b->shard);

	if (p->fact->state != OGL__MEMBER_FACT__STATE__alive ||
	    (b->name != NULL && r <= b->rank) ||
	    (b->skip != NULL && strcmp(b->skip, p->fact->name) == 0))
		return;
	b->name = p->fact->name;
	b->rank = r;
	b->changed = p->changed;
}

/* The best placed of the other live nodes. */
struct ogl_best
ogl_claim_best_other(const struct ogl_shard *sh)
{
	struct ogl_best b = {.m = sh->env->member, .shard = sh->index};

	ogl_member_each(sh->env->member, better, &b);
	return b;
}

static bool
we_are_best(const struct ogl_shard *sh)
{
	struct ogl_best b = ogl_claim_best_other(sh);

	return b.name == NULL ||
	       ogl_member_rank(b.m, sh->env->cfg->name, sh->index) > b.rank;
}

/* The two best placed live nodes besides ourselves. */
size_t
ogl_claim_successors(const struct ogl_shard *sh, char *names[OGL_NAMED])
{
	struct ogl_best b = ogl_claim_best_other(sh);
	size_t n = 0;

	if (b.name != NULL) {
		names[n++] = strdup(b.name);
		struct ogl_best second = {
		    .m = b.m, .shard = sh->index, .skip = b.name};
		ogl_member_each(b.m, better, &second);
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
	char *names[OGL_NAMED];

	ogl__claim__init(c);
	c->prev_epoch = sh->state->epoch;
	c->late = sh->state->epoch != 0 &&
		  !ogl_right_successor(sh, sh->env->cfg->name);
	c->n_successors = ogl_claim_successors(sh, names);
	c->successors = calloc(OGL_NAMED, sizeof(char *));
	for (size_t i = 0; i < c->n_successors; i++)
		c->successors[i] = names[i];
	r->epoch = 0;
	r->body_case = OGL__RECORD__BODY_CLAIM;
	r->claim = c;
	ogl_stream_add(sh->stream, r, now);
	sh->claim_sent = true;
}

/* Whether the node that gossip names as owner is there and means to stay. */
static bool
owner_lives(const struct ogl_shard *sh)
{
	return sh->known_owner != NULL && !sh->known_offered &&
	       ogl_member_alive(sh->env->member, sh->known_owner);
}

void
ogl_claim_none_tick(struct ogl_shard *sh, ogl_time now)
{
	ogl_time grace = 3 * sh->env->cfg->probe_ms * OGL_MS;

	if (owner_lives(sh)) {
		sh->ownerless_since = 0;
		return;
	}
	if (sh->ownerless_since == 0)
		sh->ownerless_since = now;
	/* Unknown, not dead: the news may be under way. */
	if (sh->known_owner == NULL && now - sh->ownerless_since < grace)
		return;
	if (!sh->stopping && now >= sh->holding && we_are_best(sh))
		ogl_shard_start_reading(sh, now);
}

/* The owner wrote to the log after we had judged its node dead, and not long
 * ago: it lives, we are only cut off from it.  Were we to claim now, it would
 * do likewise, and the shard would go to and fro without ever doing its work
 * for as long as the two of us are apart. */
static bool
wrote_since_death(
    const struct ogl_shard *sh, const struct ogl_peer *p, ogl_time now)
{
	/* A record's time is its writer's word: it may be any number. */
	uint64_t wrote = sh->state->owner_ms;
	uint64_t at = (uint64_t)(now / OGL_MS);
	uint64_t died = (uint64_t)(p->changed / OGL_MS);

	return p->fact->state == OGL__MEMBER_FACT__STATE__dead &&
	       wrote > died + SKEW_MS && wrote < at + CONTESTED_MS &&
	       at < wrote + CONTESTED_MS;
}

/* The log names a live owner that gossip does not know as such: it may just
 * have claimed, or have a claim whose answer it never got. */
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
	return now - sh->ownerless_since < UNAWARE_MS * OGL_MS &&
	       p->fact->boot == sh->state->owner_boot &&
	       p->fact->state == OGL__MEMBER_FACT__STATE__alive &&
	       sh->state->epoch > sh->known_epoch;
}

void
ogl_claim_reader_tick(struct ogl_shard *sh, ogl_time now)
{
	/* A claim that is out may yet take effect: its fate comes first. */
	if (!sh->claim_sent && owner_lives(sh) &&
	    sh->known_epoch >= sh->state->epoch) {
		ogl_shard_leave_role(sh, now);
		return;
	}
	if (sh->claim_sent) {
		/* Rival claim read first: ours no longer names the epoch. */
		if (sh->state->epoch != 0 && !ogl_shard_still_owner(sh) &&
		    ogl_stream_idle(sh->stream) &&
		    ogl_stream_pending(sh->stream) == 0)
			ogl_shard_leave_role(sh, now);
		return;
	}
	if (!ogl_shard_log_up(sh, now) || now < sh->holding ||
	    log_owner_may_live(sh, now))
		return;
	if (!sh->state->complete && ogl_stream_offset(sh->stream) > 0) {
		ogl_shard_log(sh, OGL_LOG_ERROR,
		    "no whole snapshot is retained, starting empty");
		sh->state->complete = true;
		/* Named in the claim, so that an owner who lives after all
		 * sees that it is superseded. */
		sh->state->epoch = sh->state->guess_epoch;
	}
	send_claim(sh, now);
}
