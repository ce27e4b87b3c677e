/*
 * Following the settings.
 *
 * Every node tails the stream `settings`; log order decides which of two
 * edits made from one version counts.  One append carries one record, so
 * that an append's offset + 1 is the version its edit makes.
 *
 * How current the tree is.  A read that reached the end shows it as of the
 * time the read was sent.  A node cut off from the log learns from peers:
 * the answer to a probe of ours tells the peer's version and how long ago it
 * knew to be current.  When it is newer than ours we ask for a snapshot.
 *
 * When the log is down for all, nobody can have accepted an edit.  That is
 * known only if every member says so, each in answer to a probe of ours; a
 * member that does not answer may be the one that still reaches the log.  A
 * member that died while the log was up is evicted by a record: what it
 * writes later counts for nobody, so it need not be heard.  One that was
 * only cut off is readmitted by a record of another node, not its own: so a
 * node that reached the log after the eviction knows of the readmission, and
 * who relies on its word that the log is down learns that it knows more.
 */

#include <stdlib.h>
#include <string.h>

#include "follow.h"
#include "message.h"
#include "stream.h"

enum {
	TOKEN_PART = 2,
	POLL_MS = 250,
	DOWN_MS = 1000, /* without an answer so long: the log is down */
	PULL_EVERY_MS = 300,
	EVICT_EVERY_MS = 1000,
	EVICT_AFTER_MS = 3000, /* of log contact: probes were answered by now */
	READMIT_S = 2,         /* an evicted node must live so long */
	SNAP_EDITS = 500,      /* edits between two snapshots at most */
	SETTINGS_RANK = 0xfffffffe /* rank for the writer of snapshots */
};

struct ogl_follow {
	const struct ogl_node_config *cfg;
	struct ogl_settings *settings;
	struct ogl_member *member;
	struct ogl_counters *counters;
	const struct ogl_follow_ops *ops;
	void *ctx;
	struct ogl_stream *stream;
	bool complete;       /* the tree is whole, not just its later edits */
	GPtrArray *early;    /* Ogl__Record, edits read before any snapshot */
	GArray *early_at;    /* their offsets */
	GQueue *waiters;     /* uint64_t *, of our edits in order */
	GHashTable *evicted; /* "name/boot" */
	bool self_evicted;
	uint64_t change; /* offset + 1 of the last edit or eviction */
	ogl_time contact;
	ogl_time contact_since; /* unbroken */
	ogl_time fresh_peers;
	ogl_time next_pull;
	ogl_time next_evict;
	ogl_time snap_at;
	uint32_t edits_since;
};

static void
record_free(void *r)
{
	ogl__record__free_unpacked(r, NULL);
}

static char *
identity(const char *name, uint64_t boot)
{
	return g_strdup_printf("%s/%" G_GUINT64_FORMAT, name, boot);
}

static bool
is_evicted(const struct ogl_follow *f, const char *name, uint64_t boot)
{
	char *id = identity(name, boot);
	bool yes = g_hash_table_contains(f->evicted, id);

	g_free(id);
	return yes;
}

/* ---- records ---------------------------------------------------------- */

static bool
is_ours(const struct ogl_follow *f, const Ogl__Record *r)
{
	return r->boot == f->cfg->boot && strcmp(r->writer, f->cfg->name) == 0;
}

static void
answer_waiter(
    struct ogl_follow *f, uint64_t version, const GError *error, ogl_time now)
{
	uint64_t *w = g_queue_pop_head(f->waiters);

	if (w == NULL)
		return;
	f->ops->edited(f->ctx, *w, version, error, now);
	g_free(w);
}

static void
apply_edit(
    struct ogl_follow *f, const Ogl__Record *r, uint64_t offset, ogl_time now)
{
	GError *error = NULL;

	if (is_evicted(f, r->writer, r->boot))
		g_set_error(&error, OGL_ERROR, OGL_ERROR_DENIED,
		    "the node that wrote it had been evicted");
	else
		ogl_settings_apply(
		    f->settings, offset + 1, r->edit, r->at_ms, &error);
	if (error == NULL) {
		f->edits_since++;
		f->counters->edits++;
		f->ops->changed(f->ctx, now);
	}
	f->change = MAX(f->change, offset + 1);
	if (is_ours(f, r))
		answer_waiter(f, offset + 1, error, now);
	g_clear_error(&error);
}

static void
apply_evict(struct ogl_follow *f, const Ogl__Evict *e)
{
	char *id = identity(e->node, e->boot);

	if (e->boot == f->cfg->boot && strcmp(e->node, f->cfg->name) == 0)
		f->self_evicted = !e->lifted;
	if (e->lifted) {
		g_hash_table_remove(f->evicted, id);
		g_free(id);
	} else {
		g_hash_table_add(f->evicted, id);
	}
}

/* Whether the edit that makes this version counted, by the audit trail. */
static bool
counted(const struct ogl_follow *f, uint64_t version)
{
	char *trail = ogl_settings_audit(f->settings, version);
	char *word =
	    g_strdup_printf("\"version\":%" G_GUINT64_FORMAT ",", version);
	bool yes = trail != NULL && strstr(trail, word) != NULL;

	g_free(word);
	g_free(trail);
	return yes;
}

/* An edit of our own that a snapshot got here before. */
static void
answer_known(struct ogl_follow *f, uint64_t version, ogl_time now)
{
	GError *error = NULL;

	if (!counted(f, version))
		g_set_error(&error, OGL_ERROR, OGL_ERROR_DENIED,
		    "it had no effect: this node had been evicted, or another "
		    "edit came first");
	answer_waiter(f, version, error, now);
	g_clear_error(&error);
}

/*
 * An edit or an eviction not yet known by way of a snapshot.  One that a
 * snapshot has covered must not be looked at again: whether its writer was
 * evicted then can't be told from who is now, and the tree would come to
 * differ from everybody else's, for good.
 */
static void
apply_change(
    struct ogl_follow *f, const Ogl__Record *r, uint64_t offset, ogl_time now)
{
	bool edit = r->body_case == OGL__RECORD__BODY_EDIT;

	if (offset + 1 <= f->change) {
		if (edit && is_ours(f, r))
			answer_known(f, offset + 1, now);
		return;
	}
	/* Two nodes cut off from each other evict one another.  The first in
	 * log order counts; were both out, none could readmit any. */
	if (edit)
		apply_edit(f, r, offset, now);
	else if (!is_evicted(f, r->writer, r->boot))
		apply_evict(f, r->evict);
	f->change = offset + 1;
}

static void
apply_early(struct ogl_follow *f, ogl_time now)
{
	for (guint i = 0; i < f->early->len; i++)
		apply_change(f, g_ptr_array_index(f->early, i),
		    g_array_index(f->early_at, uint64_t, i), now);
	g_ptr_array_set_size(f->early, 0);
	g_array_set_size(f->early_at, 0);
}

/* Takes a snapshot's tree and evictions in place of ours. */
static bool
replace_by(struct ogl_follow *f, const Ogl__SettingsSnap *s)
{
	struct ogl_str tree = {(const char *)s->tree.data, s->tree.len};

	/* A tree no newer than ours is no reason to take it. */
	if (s->version > ogl_settings_version(f->settings) &&
	    !ogl_settings_load(f->settings, tree, NULL))
		return false;
	g_hash_table_remove_all(f->evicted);
	f->self_evicted = false;
	for (size_t i = 0; i < s->n_evicted; i++)
		apply_evict(f, s->evicted[i]);
	f->change = s->change;
	return true;
}

static void
load_snap(struct ogl_follow *f, const Ogl__SettingsSnap *s, ogl_time now)
{
	/* After a gap the log's snapshot may be older than what a peer gave
	 * us.  It then only closes the gap: what it lacks we have, and what
	 * is newer than ours comes from the records after it. */
	if (s->change >= f->change && !replace_by(f, s))
		return;
	f->complete = true;
	apply_early(f, now);
	f->ops->changed(f->ctx, now);
}

static void
on_record(void *ctx, const Ogl__Record *r, uint64_t offset, ogl_time now)
{
	struct ogl_follow *f = ctx;

	if (offset == 0)
		f->complete = true;
	switch (r->body_case) {
	case OGL__RECORD__BODY_EDIT:
	case OGL__RECORD__BODY_EVICT:
		if (f->complete) {
			apply_change(f, r, offset, now);
		} else {
			g_ptr_array_add(f->early, ogl_message_copy(&r->base));
			g_array_append_val(f->early_at, offset);
		}
		break;
	case OGL__RECORD__BODY_SETTINGS_SNAP:
		/* Its own age counts, not when we came to read it: nodes
		 * that restart often would otherwise put the next one off
		 * until retention has passed the last. */
		f->edits_since = 0;
		f->snap_at = MIN(now, (ogl_time)(r->at_ms * OGL_MS));
		if (!f->complete)
			load_snap(f, r->settings_snap, now);
		break;
	default:
		break;
	}
}

/* Retention passed edits we had not read: our tree is old until the next
 * snapshot, but it is never taken back to an older one. */
static void
on_gap(void *ctx, uint64_t first)
{
	struct ogl_follow *f = ctx;

	if (first > f->change)
		f->complete = false;
}

static const struct ogl_stream_ops stream_ops = {on_record, on_gap};

/* ---- life ------------------------------------------------------------- */

struct ogl_follow *
ogl_follow_init(const struct ogl_node_config *c, struct ogl_settings *s,
    struct ogl_member *m, struct ogl_counters *n,
    const struct ogl_follow_ops *ops, void *ctx, ogl_time now)
{
	struct ogl_follow *f = g_new0(struct ogl_follow, 1);

	f->cfg = c;
	f->settings = s;
	f->member = m;
	f->counters = n;
	f->ops = ops;
	f->ctx = ctx;
	f->stream = ogl_stream_init(
	    "settings", (uint64_t)TOKEN_PART << 56, c, &stream_ops, f);
	ogl_stream_single(f->stream);
	ogl_stream_poll(f->stream, POLL_MS, now);
	f->early = g_ptr_array_new_with_free_func(record_free);
	f->early_at = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	f->waiters = g_queue_new();
	f->evicted =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return f;
}

void
ogl_follow_end(struct ogl_follow *f)
{
	if (f == NULL)
		return;
	ogl_stream_end(f->stream);
	g_ptr_array_free(f->early, TRUE);
	g_array_free(f->early_at, TRUE);
	g_queue_free_full(f->waiters, g_free);
	g_hash_table_destroy(f->evicted);
	g_free(f);
}

bool
ogl_follow_token(uint64_t token)
{
	return token >> 56 == TOKEN_PART;
}

ogl_time
ogl_follow_contact(const struct ogl_follow *f)
{
	return f->contact;
}

uint64_t
ogl_follow_appends(const struct ogl_follow *f)
{
	return ogl_stream_appends(f->stream);
}

static bool
log_down(const struct ogl_follow *f, ogl_time now)
{
	return now - f->contact > DOWN_MS * OGL_MS;
}

bool
ogl_follow_edit(
    struct ogl_follow *f, const Ogl__Edit *e, uint64_t waiter, ogl_time now)
{
	Ogl__Record *r;
	uint64_t *w;
	size_t n;
	uint8_t *buf;

	if (f->self_evicted || !f->complete || log_down(f, now))
		return false;
	n = ogl__edit__get_packed_size(e);
	buf = g_malloc(n + 1);
	ogl__edit__pack(e, buf);
	r = malloc(sizeof *r);
	ogl__record__init(r);
	r->at_ms = (uint64_t)(now / OGL_MS);
	r->body_case = OGL__RECORD__BODY_EDIT;
	r->edit = ogl__edit__unpack(NULL, n, buf);
	g_free(buf);
	w = g_new(uint64_t, 1);
	*w = waiter;
	g_queue_push_tail(f->waiters, w);
	ogl_stream_add(f->stream, r, now);
	return true;
}

void
ogl_follow_event(struct ogl_follow *f, const struct ogl_event *ev, ogl_time now)
{
	if (ev->io == OGL_IO_OK) {
		if (log_down(f, now))
			f->contact_since = now;
		f->contact = now;
	} else {
		f->counters->log_errors++;
	}
	ogl_stream_event(f->stream, ev, now);
}

/* ---- snapshots and peers ---------------------------------------------- */

static Ogl__SettingsSnap *
make_snap(const struct ogl_follow *f)
{
	Ogl__SettingsSnap *s = malloc(sizeof *s);
	char *dump = ogl_settings_dump(f->settings);
	GHashTableIter it;
	void *k;

	ogl__settings_snap__init(s);
	s->version = ogl_settings_version(f->settings);
	s->change = f->change;
	s->tree.len = strlen(dump);
	s->tree.data = malloc(s->tree.len + 1);
	memcpy(s->tree.data, dump, s->tree.len + 1);
	g_free(dump);
	s->evicted = calloc(g_hash_table_size(f->evicted) + 1, sizeof(void *));
	g_hash_table_iter_init(&it, f->evicted);
	while (g_hash_table_iter_next(&it, &k, NULL)) {
		Ogl__Evict *e = malloc(sizeof *e);
		const char *slash = strrchr(k, '/');

		ogl__evict__init(e);
		e->node = strndup(k, (size_t)(slash - (char *)k));
		e->boot = g_ascii_strtoull(slash + 1, NULL, 10);
		s->evicted[s->n_evicted++] = e;
	}
	return s;
}

struct rank_ctx {
	const struct ogl_follow *f;
	uint64_t own;
	bool best;
};

static void
rank_one(void *ctx, const struct ogl_peer *p)
{
	struct rank_ctx *c = ctx;

	if (p->fact->state == OGL__MEMBER_FACT__STATE__alive &&
	    p->fact->log_age_ms == 0 &&
	    !is_evicted(c->f, p->fact->name, p->fact->boot) &&
	    ogl_member_rank(c->f->member, p->fact->name, SETTINGS_RANK) >
		c->own)
		c->best = false;
}

/* Whether this node looks after the settings stream: snapshots, evictions.
 * Two that both think so do no harm, the work is then done twice. */
static bool
is_keeper(const struct ogl_follow *f)
{
	struct rank_ctx c = {
	    f, ogl_member_rank(f->member, f->cfg->name, SETTINGS_RANK), true};

	ogl_member_each(f->member, rank_one, &c);
	return c.best && !f->self_evicted;
}

static void
write_snapshot(struct ogl_follow *f, ogl_time now)
{
	Ogl__Record *r;

	if (!f->complete || ogl_settings_version(f->settings) == 0 ||
	    (f->edits_since < SNAP_EDITS &&
		now - f->snap_at < f->cfg->snapshot_ms * OGL_MS) ||
	    log_down(f, now) || !ogl_stream_idle(f->stream) || !is_keeper(f))
		return;
	f->snap_at = now;
	r = malloc(sizeof *r);
	ogl__record__init(r);
	r->at_ms = (uint64_t)(now / OGL_MS);
	r->body_case = OGL__RECORD__BODY_SETTINGS_SNAP;
	r->settings_snap = make_snap(f);
	ogl_stream_add(f->stream, r, now);
}

struct evict_ctx {
	struct ogl_follow *f;
	ogl_time now;
};

static void
evict_one(void *ctx, const struct ogl_peer *p)
{
	struct evict_ctx *c = ctx;
	Ogl__Record *r;

	bool evicted = is_evicted(c->f, p->fact->name, p->fact->boot);
	bool dead = p->fact->state == OGL__MEMBER_FACT__STATE__dead;
	bool lives = p->fact->state == OGL__MEMBER_FACT__STATE__alive &&
		     c->now - p->changed >= READMIT_S * OGL_SEC;

	if (!(evicted ? lives : dead))
		return;
	r = malloc(sizeof *r);
	ogl__record__init(r);
	r->at_ms = (uint64_t)(c->now / OGL_MS);
	r->body_case = OGL__RECORD__BODY_EVICT;
	r->evict = malloc(sizeof *r->evict);
	ogl__evict__init(r->evict);
	r->evict->node = strdup(p->fact->name);
	r->evict->boot = p->fact->boot;
	r->evict->lifted = evicted;
	ogl_stream_add(c->f->stream, r, c->now);
}

static void
evict_dead(struct ogl_follow *f, ogl_time now)
{
	struct evict_ctx c = {f, now};

	/* A node that was itself cut off thinks the others dead when it
	 * reaches the log again; it must have had the time to hear them. */
	if (now < f->next_evict || !f->complete || log_down(f, now) ||
	    now - f->contact_since < EVICT_AFTER_MS * OGL_MS ||
	    ogl_stream_pending(f->stream) > 0 || !is_keeper(f))
		return;
	f->next_evict = now + EVICT_EVERY_MS * OGL_MS;
	ogl_member_each(f->member, evict_one, &c);
}

/* ---- being current ---------------------------------------------------- */

struct fresh_ctx {
	struct ogl_follow *f;
	ogl_time now;
	ogl_time all_down;            /* as of when all say the log is down */
	const struct ogl_peer *ahead; /* a peer with a newer version */
	bool newer_found;
};

static void
fresh_one(void *ctx, const struct ogl_peer *p)
{
	struct fresh_ctx *c = ctx;
	struct ogl_follow *f = c->f;
	uint64_t ours = f->change;

	if (p->fact->state == OGL__MEMBER_FACT__STATE__left ||
	    (p->fact->state == OGL__MEMBER_FACT__STATE__dead &&
		is_evicted(f, p->fact->name, p->fact->boot)))
		return;
	c->all_down = MIN(c->all_down, p->down_since != 0 ? p->asked : 0);
	if (MAX(p->fact->settings_version, p->current_version) > ours)
		c->ahead = p;
	else if (p->asked > 0 && p->current_at > f->fresh_peers)
		f->fresh_peers = p->current_at;
}

static void
pull(struct ogl_follow *f, const struct ogl_peer *p, ogl_time now,
    struct ogl_actions *out)
{
	Ogl__PeerMsg msg = OGL__PEER_MSG__INIT;
	Ogl__SettingsNews n = OGL__SETTINGS_NEWS__INIT;

	if (now < f->next_pull)
		return;
	f->next_pull = now + PULL_EVERY_MS * OGL_MS;
	n.version = f->change;
	msg.body_case = OGL__PEER_MSG__BODY_SETTINGS_NEWS;
	msg.settings_news = &n;
	ogl_member_send(f->member, p->fact->addr, &msg, out);
}

void
ogl_follow_news(struct ogl_follow *f, const struct ogl_peer *from,
    const Ogl__SettingsNews *news, ogl_time now, struct ogl_actions *out)
{
	Ogl__PeerMsg msg = OGL__PEER_MSG__INIT;
	Ogl__SettingsNews n = OGL__SETTINGS_NEWS__INIT;

	if (news->snap != NULL) {
		if (news->snap->change > f->change)
			load_snap(f, news->snap, now);
		return;
	}
	if (!f->complete || f->change <= news->version)
		return;
	n.version = f->change;
	n.snap = make_snap(f);
	msg.body_case = OGL__PEER_MSG__BODY_SETTINGS_NEWS;
	msg.settings_news = &n;
	ogl_member_send(f->member, from->fact->addr, &msg, out);
	ogl__settings_snap__free_unpacked(n.snap, NULL);
}

static void
look_at_peers(struct ogl_follow *f, ogl_time now, struct ogl_actions *out)
{
	struct fresh_ctx c = {.f = f, .now = now, .all_down = OGL_NEVER};
	bool down = log_down(f, now);

	ogl_member_probe_all(f->member, down);
	if (!down)
		return;
	ogl_member_each(f->member, fresh_one, &c);
	/* With no other member left there is nobody who could have accepted
	 * anything. */
	if (c.ahead != NULL)
		pull(f, c.ahead, now, out);
	else if (f->contact != 0)
		f->fresh_peers = MAX(f->fresh_peers, MIN(c.all_down, now));
}

ogl_time
ogl_follow_fresh(const struct ogl_follow *f, ogl_time now)
{
	(void)now;
	if (!f->complete)
		return 0;
	return MAX(ogl_stream_current(f->stream), f->fresh_peers);
}

/* What we tell others of ourselves. */
static void
fill_fact(struct ogl_follow *f, ogl_time now)
{
	Ogl__MemberFact *own = ogl_member_own(f->member);
	ogl_time age = now - ogl_follow_fresh(f, now);

	own->settings_version = f->change;
	own->settings_age_ms = (uint32_t)MIN(age / OGL_MS, UINT32_MAX);
	own->log_age_ms =
	    log_down(f, now)
		? (uint32_t)MIN((now - f->contact) / OGL_MS, UINT32_MAX)
		: 0;
}

void
ogl_follow_tick(struct ogl_follow *f, ogl_time now, struct ogl_actions *out)
{
	/* A stream that nobody has written to yet is whole as it is. */
	if (ogl_stream_current(f->stream) > 0 &&
	    ogl_stream_offset(f->stream) == 0)
		f->complete = true;
	look_at_peers(f, now, out);
	write_snapshot(f, now);
	evict_dead(f, now);
	ogl_stream_tick(f->stream, now, out);
	fill_fact(f, now);
}

ogl_time
ogl_follow_next(const struct ogl_follow *f)
{
	return ogl_stream_next(f->stream);
}
