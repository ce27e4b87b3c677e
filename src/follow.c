/*
 * Keeps a node's copy of the settings tree up to date, appends the node's edits
 * to the log, and tells how current the copy is.
 *
 * Every node follows the stream `settings`.  If two edits are based on the same
 * version, only the first in log order takes effect.  Each append carries one
 * record, and an edit creates the version that is its append's offset plus 1.
 *
 * A read that reached the end of the stream shows that the tree was current
 * when the read was sent.  A node that cannot reach the log relies on its
 * peers: a peer's answer to a probe contains its version and how long ago that
 * version was current.  If the version is newer than its own, the node asks
 * that peer for a snapshot.
 *
 * While the log is down for all members, none of them can accept an edit, so
 * the newest version that they have is current.  A node assumes this only if
 * every member reported the outage in answer to the node's own probe; a member
 * that does not answer may still reach the log.
 *
 * A member that died while the log was up is evicted by a record in the stream.
 * Its later edits have no effect on any node, so its answer is not needed.  If
 * it was only cut off, it is readmitted by a record that another node writes,
 * never by one of its own.  So a member that reached the log after the eviction
 * knows of the readmission, and a node that relies on that member's report of a
 * log outage sees the member's newer version.
 */

#include <stdlib.h>
#include <string.h>

#include "follow.h"
#include "message.h"
#include "stream.h"

enum {
	TOKEN_PART = 2,     /* top byte of this module's tokens */
	POLL_MAX_MS = 250,  /* longest time between two reads */
	LOG_DOWN_MS = 1000, /* the log is down after this time without answer */
	SNAPSHOT_REQUEST_EVERY_MS = 300, /* minimum time between requests */
	EVICT_EVERY_MS = 1000,       /* minimum time between eviction updates */
	EVICT_MIN_CONTACT_MS = 3000, /* log contact needed before an eviction */
	READMIT_MIN_S = 2,           /* time alive before a readmission */
	SNAPSHOT_EDITS = 500,        /* most edits between two snapshots */
	/* Shard number used to rank nodes; the highest maintains the stream. */
	SETTINGS_RANK_SHARD = 0xfffffffe
};

struct ogl_follow {
	const struct ogl_node_config *cfg;
	struct ogl_settings *settings;
	struct ogl_member *member;
	struct ogl_counters *counters;
	const struct ogl_follow_ops *ops;
	void *ctx;
	struct ogl_stream *stream;
	bool complete;       /* the tree has every edit up to last_change */
	GPtrArray *deferred; /* Ogl__Record, read while not complete */
	GArray *deferred_offsets; /* offsets of the deferred records */
	GQueue *waiters;     /* uint64_t *, one per own edit, oldest first */
	GHashTable *evicted; /* set of "name/boot" */
	bool self_evicted;
	uint64_t last_change;   /* offset + 1 of the last edit or eviction */
	ogl_time last_contact;  /* when the log last answered */
	ogl_time contact_since; /* first answer since the log was last down */
	/* Like ogl_follow_fresh_as_of, but learned from peers. */
	ogl_time fresh_by_peers;
	ogl_time next_request;
	ogl_time next_evict;
	ogl_time snapshot_at; /* when the last snapshot was written */
	uint32_t edits_since_snapshot;
};

static void
record_free(void *r)
{
	ogl__record__free_unpacked(r, NULL);
}

static char *
eviction_key(const char *name, uint64_t boot)
{
	return g_strdup_printf("%s/%" G_GUINT64_FORMAT, name, boot);
}

static bool
is_evicted(const struct ogl_follow *f, const char *name, uint64_t boot)
{
	char *id = eviction_key(name, boot);
	bool found = g_hash_table_contains(f->evicted, id);

	g_free(id);
	return found;
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
		f->edits_since_snapshot++;
		f->counters->edits++;
		f->ops->changed(f->ctx, now);
	}
	f->last_change = MAX(f->last_change, offset + 1);
	if (is_ours(f, r))
		answer_waiter(f, offset + 1, error, now);
	g_clear_error(&error);
}

static void
apply_evict(struct ogl_follow *f, const Ogl__Evict *e)
{
	char *id = eviction_key(e->node, e->boot);

	if (e->boot == f->cfg->boot && strcmp(e->node, f->cfg->name) == 0)
		f->self_evicted = !e->lifted;
	if (e->lifted) {
		g_hash_table_remove(f->evicted, id);
		g_free(id);
	} else {
		g_hash_table_add(f->evicted, id);
	}
}

/* Whether the edit with this version took effect; if so, it is in the audit
 * trail. */
static bool
edit_took_effect(const struct ogl_follow *f, uint64_t version)
{
	char *trail = ogl_settings_audit(f->settings, version);
	char *version_field =
	    g_strdup_printf("\"version\":%" G_GUINT64_FORMAT ",", version);
	bool found = trail != NULL && strstr(trail, version_field) != NULL;

	g_free(version_field);
	g_free(trail);
	return found;
}

/* Answers the waiter of an own edit whose record a snapshot already covers. */
static void
answer_covered_edit(struct ogl_follow *f, uint64_t version, ogl_time now)
{
	GError *error = NULL;

	if (!edit_took_effect(f, version))
		g_set_error(&error, OGL_ERROR, OGL_ERROR_DENIED,
		    "it had no effect: this node had been evicted, or another "
		    "edit came first");
	answer_waiter(f, version, error, now);
	g_clear_error(&error);
}

/*
 * Applies an edit or an eviction, unless a snapshot already covers it.  The set
 * of evicted nodes may have changed since a covered record was written.  If the
 * record were applied again, its writer could have been evicted or readmitted
 * since, and this node's tree would permanently differ from that of all other
 * nodes.
 */
static void
apply_change(
    struct ogl_follow *f, const Ogl__Record *r, uint64_t offset, ogl_time now)
{
	bool edit = r->body_case == OGL__RECORD__BODY_EDIT;

	if (offset + 1 <= f->last_change) {
		if (edit && is_ours(f, r))
			answer_covered_edit(f, offset + 1, now);
		return;
	}
	/* Two nodes cut off from each other evict each other.  Only the first
	 * eviction in log order takes effect; if both nodes were evicted,
	 * neither could readmit the other. */
	if (edit)
		apply_edit(f, r, offset, now);
	else if (!is_evicted(f, r->writer, r->boot))
		apply_evict(f, r->evict);
	f->last_change = offset + 1;
}

static void
apply_deferred(struct ogl_follow *f, ogl_time now)
{
	for (guint i = 0; i < f->deferred->len; i++)
		apply_change(f, g_ptr_array_index(f->deferred, i),
		    g_array_index(f->deferred_offsets, uint64_t, i), now);
	g_ptr_array_set_size(f->deferred, 0);
	g_array_set_size(f->deferred_offsets, 0);
}

/* Replaces the tree and the evictions by those of a snapshot.  Returns whether
 * that succeeded. */
static bool
load_tree_and_evictions(struct ogl_follow *f, const Ogl__SettingsSnap *s)
{
	struct ogl_str tree = {(const char *)s->tree.data, s->tree.len};

	/* With the same version, at most the evictions differ. */
	if (s->version > ogl_settings_version(f->settings) &&
	    !ogl_settings_load(f->settings, tree, NULL))
		return false;
	g_hash_table_remove_all(f->evicted);
	f->self_evicted = false;
	for (size_t i = 0; i < s->n_evicted; i++)
		apply_evict(f, s->evicted[i]);
	f->last_change = s->change;
	return true;
}

static void
load_snapshot(struct ogl_follow *f, const Ogl__SettingsSnap *s, ogl_time now)
{
	/* After a gap, the log's snapshot may be older than one received from
	 * a peer.  It is then not loaded but ends the gap: the tree already
	 * has its edits, and newer ones come in the records after it. */
	if (s->change >= f->last_change && !load_tree_and_evictions(f, s))
		return;
	f->complete = true;
	apply_deferred(f, now);
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
			g_ptr_array_add(
			    f->deferred, ogl_message_copy(&r->base));
			g_array_append_val(f->deferred_offsets, offset);
		}
		break;
	case OGL__RECORD__BODY_SETTINGS_SNAP:
		/* The snapshot counts from when it was written, not read.
		 * Otherwise nodes that restart often would delay the next
		 * snapshot until log retention has deleted the last one. */
		f->edits_since_snapshot = 0;
		f->snapshot_at = now;
		if (r->at_ms < (uint64_t)(now / OGL_MS))
			f->snapshot_at = (ogl_time)r->at_ms * OGL_MS;
		if (!f->complete)
			load_snapshot(f, r->settings_snap, now);
		break;
	default:
		break;
	}
}

/* Handles records that log retention deleted before this node read them.  The
 * tree is kept until the next snapshot; an older one never replaces it. */
static void
on_gap(void *ctx, uint64_t first)
{
	struct ogl_follow *f = ctx;

	if (first > f->last_change)
		f->complete = false;
}

static const struct ogl_stream_ops stream_ops = {on_record, on_gap};

/* ---- interface -------------------------------------------------------- */

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
	ogl_stream_set_single_record(f->stream);
	ogl_stream_follow(f->stream, POLL_MAX_MS, now);
	f->deferred = g_ptr_array_new_with_free_func(record_free);
	f->deferred_offsets = g_array_new(FALSE, FALSE, sizeof(uint64_t));
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
	g_ptr_array_free(f->deferred, TRUE);
	g_array_free(f->deferred_offsets, TRUE);
	g_queue_free_full(f->waiters, g_free);
	g_hash_table_destroy(f->evicted);
	g_free(f);
}

bool
ogl_follow_is_token(uint64_t token)
{
	return token >> 56 == TOKEN_PART;
}

ogl_time
ogl_follow_log_contact(const struct ogl_follow *f)
{
	return f->last_contact;
}

uint64_t
ogl_follow_appends(const struct ogl_follow *f)
{
	return ogl_stream_appends(f->stream);
}

static bool
log_down(const struct ogl_follow *f, ogl_time now)
{
	return now - f->last_contact > LOG_DOWN_MS * OGL_MS;
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
		f->last_contact = now;
	} else {
		f->counters->log_errors++;
	}
	ogl_stream_event(f->stream, ev, now);
}

/* ---- snapshots and peers ---------------------------------------------- */

static Ogl__SettingsSnap *
make_snapshot(const struct ogl_follow *f)
{
	Ogl__SettingsSnap *s = malloc(sizeof *s);
	char *dump = ogl_settings_dump(f->settings);
	GHashTableIter it;
	void *k;

	ogl__settings_snap__init(s);
	s->version = ogl_settings_version(f->settings);
	s->change = f->last_change;
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
	uint64_t own_rank;
	bool own_is_highest;
};

static void
compare_rank(void *ctx, const struct ogl_peer *p)
{
	struct rank_ctx *c = ctx;

	if (p->fact->state == OGL__MEMBER_FACT__STATE__alive &&
	    p->fact->log_age_ms == 0 &&
	    !is_evicted(c->f, p->fact->name, p->fact->boot) &&
	    ogl_member_rank(c->f->member, p->fact->name, SETTINGS_RANK_SHARD) >
		c->own_rank)
		c->own_is_highest = false;
}

/* Whether this node maintains the settings stream, that is, writes snapshots
 * and evictions.  If two nodes do so at once the work is done twice, which is
 * harmless. */
static bool
is_maintainer(const struct ogl_follow *f)
{
	struct rank_ctx c = {f,
	    ogl_member_rank(f->member, f->cfg->name, SETTINGS_RANK_SHARD),
	    true};

	ogl_member_each(f->member, compare_rank, &c);
	return c.own_is_highest && !f->self_evicted;
}

static void
write_snapshot(struct ogl_follow *f, ogl_time now)
{
	Ogl__Record *r;

	if (!f->complete || ogl_settings_version(f->settings) == 0 ||
	    (f->edits_since_snapshot < SNAPSHOT_EDITS &&
		now - f->snapshot_at < f->cfg->snapshot_ms * OGL_MS) ||
	    log_down(f, now) || !ogl_stream_idle(f->stream) ||
	    !is_maintainer(f))
		return;
	f->snapshot_at = now;
	r = malloc(sizeof *r);
	ogl__record__init(r);
	r->at_ms = (uint64_t)(now / OGL_MS);
	r->body_case = OGL__RECORD__BODY_SETTINGS_SNAP;
	r->settings_snap = make_snapshot(f);
	ogl_stream_add(f->stream, r, now);
}

struct evict_ctx {
	struct ogl_follow *f;
	ogl_time now;
};

static void
evict_or_readmit(void *ctx, const struct ogl_peer *p)
{
	struct evict_ctx *c = ctx;
	Ogl__Record *r;

	bool evicted = is_evicted(c->f, p->fact->name, p->fact->boot);
	bool dead = p->fact->state == OGL__MEMBER_FACT__STATE__dead;
	bool readmissible =
	    p->fact->state == OGL__MEMBER_FACT__STATE__alive &&
	    c->now - p->state_changed_at >= READMIT_MIN_S * OGL_SEC;

	if (!(evicted ? readmissible : dead))
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
update_evictions(struct ogl_follow *f, ogl_time now)
{
	struct evict_ctx c = {f, now};

	/* A node that was cut off considers the others dead when it reaches
	 * the log again, so it waits until they had time to answer probes. */
	if (now < f->next_evict || !f->complete || log_down(f, now) ||
	    now - f->contact_since < EVICT_MIN_CONTACT_MS * OGL_MS ||
	    ogl_stream_pending(f->stream) > 0 || !is_maintainer(f))
		return;
	f->next_evict = now + EVICT_EVERY_MS * OGL_MS;
	ogl_member_each(f->member, evict_or_readmit, &c);
}

/* ---- how current the settings are ------------------------------------- */

struct peer_check {
	struct ogl_follow *f;
	ogl_time now;
	/* Send time of the oldest probe that a member answered with a log
	 * outage; 0 if any member did not report one. */
	ogl_time all_down_at;
	const struct ogl_peer *ahead; /* a peer with a newer version */
	bool newer_found;
};

static void
check_peer(void *ctx, const struct ogl_peer *p)
{
	struct peer_check *c = ctx;
	struct ogl_follow *f = c->f;
	uint64_t own_change = f->last_change;

	if (p->fact->state == OGL__MEMBER_FACT__STATE__left ||
	    (p->fact->state == OGL__MEMBER_FACT__STATE__dead &&
		is_evicted(f, p->fact->name, p->fact->boot)))
		return;
	c->all_down_at =
	    MIN(c->all_down_at, p->down_since != 0 ? p->acked_probe_sent : 0);
	if (MAX(p->fact->settings_version, p->current_version) > own_change)
		c->ahead = p;
	else if (p->acked_probe_sent > 0 && p->current_at > f->fresh_by_peers)
		f->fresh_by_peers = p->current_at;
}

static void
request_snapshot(struct ogl_follow *f, const struct ogl_peer *p, ogl_time now,
    struct ogl_actions *out)
{
	Ogl__PeerMsg msg = OGL__PEER_MSG__INIT;
	Ogl__SettingsNews n = OGL__SETTINGS_NEWS__INIT;

	if (now < f->next_request)
		return;
	f->next_request = now + SNAPSHOT_REQUEST_EVERY_MS * OGL_MS;
	n.version = f->last_change;
	msg.body_case = OGL__PEER_MSG__BODY_SETTINGS_NEWS;
	msg.settings_news = &n;
	ogl_member_send(f->member, p->fact->addr, &msg, out);
}

void
ogl_follow_settings_news(struct ogl_follow *f, const struct ogl_peer *from,
    const Ogl__SettingsNews *news, ogl_time now, struct ogl_actions *out)
{
	Ogl__PeerMsg msg = OGL__PEER_MSG__INIT;
	Ogl__SettingsNews n = OGL__SETTINGS_NEWS__INIT;

	if (news->snap != NULL) {
		if (news->snap->change > f->last_change)
			load_snapshot(f, news->snap, now);
		return;
	}
	if (!f->complete || f->last_change <= news->version)
		return;
	n.version = f->last_change;
	n.snap = make_snapshot(f);
	msg.body_case = OGL__PEER_MSG__BODY_SETTINGS_NEWS;
	msg.settings_news = &n;
	ogl_member_send(f->member, from->fact->addr, &msg, out);
	ogl__settings_snap__free_unpacked(n.snap, NULL);
}

static void
check_peers(struct ogl_follow *f, ogl_time now, struct ogl_actions *out)
{
	struct peer_check c = {.f = f, .now = now, .all_down_at = OGL_NEVER};
	bool down = log_down(f, now);

	ogl_member_probe_all(f->member, down);
	if (!down)
		return;
	ogl_member_each(f->member, check_peer, &c);
	/* Without any other member, all_down_at is OGL_NEVER: no other node
	 * can have accepted an edit. */
	if (c.ahead != NULL)
		request_snapshot(f, c.ahead, now, out);
	else if (f->last_contact != 0)
		f->fresh_by_peers =
		    MAX(f->fresh_by_peers, MIN(c.all_down_at, now));
}

ogl_time
ogl_follow_fresh_as_of(const struct ogl_follow *f, ogl_time now)
{
	(void)now;
	if (!f->complete)
		return 0;
	return MAX(ogl_stream_current_at(f->stream), f->fresh_by_peers);
}

/* Sets the settings and log fields in the fact on this node. */
static void
fill_fact(struct ogl_follow *f, ogl_time now)
{
	Ogl__MemberFact *own = ogl_member_own_fact(f->member);
	ogl_time age = now - ogl_follow_fresh_as_of(f, now);

	own->settings_version = f->last_change;
	own->settings_age_ms = (uint32_t)MIN(age / OGL_MS, UINT32_MAX);
	own->log_age_ms =
	    log_down(f, now)
		? (uint32_t)MIN((now - f->last_contact) / OGL_MS, UINT32_MAX)
		: 0;
}

void
ogl_follow_tick(struct ogl_follow *f, ogl_time now, struct ogl_actions *out)
{
	/* The tree of an empty stream is complete. */
	if (ogl_stream_current_at(f->stream) > 0 &&
	    ogl_stream_offset(f->stream) == 0)
		f->complete = true;
	check_peers(f, now, out);
	write_snapshot(f, now);
	update_evictions(f, now);
	ogl_stream_tick(f->stream, now, out);
	fill_fact(f, now);
}

ogl_time
ogl_follow_next(const struct ogl_follow *f)
{
	return ogl_stream_next(f->stream);
}
