/*
 * Membership by probes and gossip, after the SWIM protocol.
 *
 * In each probe period one member is probed, in an order shuffled per round.
 * So every member is probed once in a round, and the cost for a node does not
 * grow with the cell.  A probe unanswered after one period is repeated through
 * a few other members.  A member that has not answered after two periods
 * becomes a suspect, and after suspect_ms it is dead.  A suspect that learns
 * of the suspicion raises its incarnation number, which overrules the
 * suspicion.
 *
 * A fact describes one node: its address, state, settings version and shards.
 * Facts are piggybacked on messages.  A changed fact is sent a number of times
 * that grows with the logarithm of the cell's size; the sender's own fact is
 * in every message.  Of two facts about one node, the one with the larger boot
 * wins.  If the boots are equal, the larger incarnation wins, then the worse
 * state, then the larger beat.  However, a report of death makes a live node
 * only a suspect at first, so that it has time to refute the report.  The
 * reporter may have been cut off itself and consider the whole cell dead.  If
 * such reports were accepted at once, all shards would be claimed again and
 * all nodes evicted.
 *
 * What a member reports about its log contact and the age of its settings
 * counts only if it comes in an answer to a probe of this node, and is dated
 * to the time when the probe was sent.  A message may be delayed in a buffer,
 * and an old report must not be taken for a new one.
 */

#include <string.h>

#include "member.h"
#include "message.h"
#include "random.h"

enum {
	MAX_EXTRA_FACTS = 8,    /* facts on other nodes in one message */
	INDIRECT_PROBES = 3,    /* members asked to repeat a probe */
	SEED_EVERY_PERIODS = 4, /* probe periods between probes of the seeds */
	MAX_SENDS = 1000,       /* above any result of retransmit_count() */
	FORGET_DEAD_S = 3600 /* a dead or left member is forgotten after this */
};

struct ogl_member {
	const struct ogl_node_config *cfg;
	struct ogl_random rnd;
	Ogl__MemberFact *own;
	GHashTable *peers; /* name -> struct ogl_peer */
	GPtrArray *round;  /* names not yet probed in this round */
	GPtrArray *sorted; /* struct ogl_peer by name */
	ogl_time next_tick;
	uint64_t seq;
	uint32_t period_count;
	bool probe_all;
};

static void
peer_free(void *v)
{
	struct ogl_peer *p = v;

	ogl__member_fact__free_unpacked(p->fact, NULL);
	g_free(p);
}

struct ogl_member *
ogl_member_init(const struct ogl_node_config *c, uint64_t seed, ogl_time now)
{
	struct ogl_member *m = g_new0(struct ogl_member, 1);
	Ogl__MemberFact f = OGL__MEMBER_FACT__INIT;

	m->cfg = c;
	ogl_random_init(&m->rnd, seed);
	f.name = (char *)c->name;
	f.addr = (char *)c->addr;
	f.zone = (char *)c->zone;
	f.boot = c->boot;
	m->own = ogl_message_copy(&f.base);
	m->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, peer_free);
	m->round = g_ptr_array_new_with_free_func(g_free);
	m->sorted = g_ptr_array_new();
	m->next_tick = now;
	return m;
}

void
ogl_member_end(struct ogl_member *m)
{
	if (m == NULL)
		return;
	g_ptr_array_free(m->round, TRUE);
	g_ptr_array_free(m->sorted, TRUE);
	g_hash_table_destroy(m->peers);
	ogl__member_fact__free_unpacked(m->own, NULL);
	g_free(m);
}

Ogl__MemberFact *
ogl_member_own_fact(struct ogl_member *m)
{
	return m->own;
}

void
ogl_member_changed(struct ogl_member *m)
{
	m->own->beat++;
}

struct ogl_peer *
ogl_member_find(const struct ogl_member *m, const char *name)
{
	return g_hash_table_lookup(m->peers, name);
}

static bool
state_alive(Ogl__MemberFact__State st)
{
	return st == OGL__MEMBER_FACT__STATE__alive ||
	       st == OGL__MEMBER_FACT__STATE__suspect;
}

bool
ogl_member_alive(const struct ogl_member *m, const char *name)
{
	const struct ogl_peer *p;

	if (strcmp(name, m->own->name) == 0)
		return state_alive(m->own->state);
	p = ogl_member_find(m, name);
	return p != NULL && state_alive(p->fact->state);
}

void
ogl_member_each(const struct ogl_member *m,
    void (*fn)(void *ctx, const struct ogl_peer *p), void *ctx)
{
	for (guint i = 0; i < m->sorted->len; i++)
		fn(ctx, g_ptr_array_index(m->sorted, i));
}

uint64_t
ogl_member_rank(const struct ogl_member *m, const char *name, uint32_t shard)
{
	(void)m;
	return ogl_random_mix(
	    ogl_random_hash(name, strlen(name)) ^ ogl_random_mix(shard + 1));
}

/* Returns how many times a changed fact is sent: three times the binary
 * logarithm of the cell's size. */
static uint32_t
retransmit_count(const struct ogl_member *m)
{
	uint32_t log2_size = 1;

	for (guint n = m->sorted->len; n > 0; n >>= 1)
		log2_size++;
	return 3 * log2_size;
}

/* ---- sending ---------------------------------------------------------- */

static gint
by_sends_left(gconstpointer a, gconstpointer b)
{
	const struct ogl_peer *pa = *(struct ogl_peer *const *)a;
	const struct ogl_peer *pb = *(struct ogl_peer *const *)b;

	if (pa->sends_left != pb->sends_left)
		return pa->sends_left > pb->sends_left ? -1 : 1;
	return strcmp(pa->fact->name, pb->fact->name);
}

/* Returns the facts to send next, those with the most sends left first. */
static GPtrArray *
facts_to_send(struct ogl_member *m)
{
	GPtrArray *pick = g_ptr_array_new();

	for (guint i = 0; i < m->sorted->len; i++) {
		struct ogl_peer *p = g_ptr_array_index(m->sorted, i);

		if (p->sends_left > 0)
			g_ptr_array_add(pick, p);
	}
	g_ptr_array_sort(pick, by_sends_left);
	if (pick->len > MAX_EXTRA_FACTS)
		g_ptr_array_set_size(pick, MAX_EXTRA_FACTS);
	return pick;
}

void
ogl_member_send(struct ogl_member *m, const char *addr, Ogl__PeerMsg *msg,
    struct ogl_actions *out)
{
	GPtrArray *pick = facts_to_send(m);
	Ogl__MemberFact *facts[MAX_EXTRA_FACTS + 1];
	struct ogl_action *a;
	uint8_t *buf;
	size_t n;

	facts[0] = m->own;
	msg->n_facts = 1;
	for (guint i = 0; i < pick->len; i++) {
		struct ogl_peer *p = g_ptr_array_index(pick, i);

		p->sends_left--;
		facts[msg->n_facts++] = p->fact;
	}
	msg->facts = facts;
	msg->from = m->own->name;
	msg->boot = m->own->boot;
	n = ogl__peer_msg__get_packed_size(msg);
	buf = g_malloc(n);
	ogl__peer_msg__pack(msg, buf);
	msg->facts = NULL;
	msg->n_facts = 0;
	a = ogl_actions_new(out, OGL_ACT_PEER);
	a->addr = g_strdup(addr);
	a->data = g_bytes_new_take(buf, n);
	g_ptr_array_free(pick, TRUE);
}

static void
send_probe(struct ogl_member *m, const char *addr, uint64_t seq,
    const char *target, bool ack, struct ogl_actions *out)
{
	Ogl__PeerMsg msg = OGL__PEER_MSG__INIT;
	Ogl__Probe pr = OGL__PROBE__INIT;

	pr.seq = seq;
	pr.target = (char *)target;
	pr.ack = ack;
	msg.body_case = OGL__PEER_MSG__BODY_PROBE;
	msg.probe = &pr;
	ogl_member_send(m, addr, &msg, out);
}

/* ---- receiving facts -------------------------------------------------- */

static int
cmp_u64(uint64_t a, uint64_t b)
{
	return a < b ? -1 : a > b;
}

static void
set_state(struct ogl_member *m, struct ogl_peer *p, Ogl__MemberFact__State st,
    ogl_time now)
{
	p->fact->state = st;
	p->state_changed_at = now;
	p->sends_left = retransmit_count(m);
}

/* Returns a value above zero when a overrules b. */
static int
fact_cmp(const Ogl__MemberFact *a, const Ogl__MemberFact *b)
{
	int c = cmp_u64(a->boot, b->boot);

	if (c == 0)
		c = cmp_u64(a->incarnation, b->incarnation);
	if (c == 0)
		c = cmp_u64(a->state, b->state);
	if (c == 0)
		c = cmp_u64(a->beat, b->beat);
	return c;
}

static gint
by_name(gconstpointer a, gconstpointer b)
{
	const struct ogl_peer *pa = *(struct ogl_peer *const *)a;
	const struct ogl_peer *pb = *(struct ogl_peer *const *)b;

	return strcmp(pa->fact->name, pb->fact->name);
}

static struct ogl_peer *
peer_new(struct ogl_member *m, const Ogl__MemberFact *f, ogl_time now)
{
	struct ogl_peer *p = g_new0(struct ogl_peer, 1);

	p->fact = ogl_message_copy(&f->base);
	p->heard = now;
	p->state_changed_at = now;
	g_hash_table_insert(m->peers, g_strdup(f->name), p);
	g_ptr_array_add(m->sorted, p);
	g_ptr_array_sort(m->sorted, by_name);
	p->sends_left = retransmit_count(m);
	return p;
}

static void
peer_update(struct ogl_member *m, struct ogl_peer *p, const Ogl__MemberFact *f,
    ogl_time now)
{
	if (p->fact->state != f->state || p->fact->boot != f->boot)
		p->state_changed_at = now;
	if (p->fact->boot != f->boot) {
		p->acked_probe_sent = 0;
		p->probe_sent = 0;
	}
	ogl__member_fact__free_unpacked(p->fact, NULL);
	p->fact = ogl_message_copy(&f->base);
	p->heard = now;
	p->sends_left = retransmit_count(m);
}

/* Refutes a fact that this node is suspect or dead, by a higher
 * incarnation. */
static void
refute(struct ogl_member *m, const Ogl__MemberFact *f)
{
	if (f->boot != m->own->boot || f->incarnation < m->own->incarnation)
		return;
	if (f->state == m->own->state ||
	    m->own->state == OGL__MEMBER_FACT__STATE__left)
		return;
	m->own->incarnation = f->incarnation + 1;
	m->own->beat++;
}

/* Whether the fact reports the death of a node that is alive here, or that
 * became a suspect less than half of suspect_ms ago. */
static bool
premature_death(const struct ogl_member *m, const struct ogl_peer *p,
    const Ogl__MemberFact *f, ogl_time now)
{
	if (f->state != OGL__MEMBER_FACT__STATE__dead ||
	    f->boot != p->fact->boot || f->incarnation != p->fact->incarnation)
		return false;
	return p->fact->state == OGL__MEMBER_FACT__STATE__alive ||
	       (p->fact->state == OGL__MEMBER_FACT__STATE__suspect &&
		   now - p->state_changed_at < m->cfg->suspect_ms * OGL_MS / 2);
}

static struct ogl_peer *
merge_fact(struct ogl_member *m, const Ogl__MemberFact *f, ogl_time now)
{
	struct ogl_peer *p;

	if (f->name[0] == '\0' || f->state > OGL__MEMBER_FACT__STATE__left)
		return NULL; /* no name, or an unknown state */
	if (strcmp(f->name, m->own->name) == 0) {
		refute(m, f);
		return NULL;
	}
	p = ogl_member_find(m, f->name);
	if (p == NULL)
		return peer_new(m, f, now);
	if (premature_death(m, p, f, now)) {
		if (p->fact->state == OGL__MEMBER_FACT__STATE__alive)
			set_state(m, p, OGL__MEMBER_FACT__STATE__suspect, now);
	} else if (fact_cmp(f, p->fact) > 0) {
		peer_update(m, p, f, now);
	}
	return p;
}

/* Updates a node's fact from a message of that node itself.  Load and ages in
 * it change all the time and are not worth spreading through other nodes. */
static void
update_from_itself(struct ogl_peer *p, const Ogl__MemberFact *sender_fact)
{
	if (fact_cmp(sender_fact, p->fact) != 0)
		return;
	ogl__member_fact__free_unpacked(p->fact, NULL);
	p->fact = ogl_message_copy(&sender_fact->base);
}

static void
handle_ack(struct ogl_peer *p, const Ogl__MemberFact *sender_fact, uint64_t seq)
{
	if (p->probe_sent == 0 || seq != p->probe_seq)
		return;
	p->acked_probe_sent = p->probe_sent;
	p->probe_sent = 0;
	p->current_at =
	    p->acked_probe_sent - sender_fact->settings_age_ms * OGL_MS;
	p->current_version = sender_fact->settings_version;
	p->down_since =
	    sender_fact->log_age_ms == 0
		? 0
		: p->acked_probe_sent - sender_fact->log_age_ms * OGL_MS;
}

/* Answers a probe, or forwards an indirect probe to its target. */
static void
handle_probe(struct ogl_member *m, struct ogl_peer *from, const Ogl__Probe *pr,
    struct ogl_actions *out)
{
	const struct ogl_peer *t;

	if (pr->target[0] == '\0' || strcmp(pr->target, m->own->name) == 0) {
		send_probe(m, from->fact->addr, pr->seq, "", true, out);
		return;
	}
	t = ogl_member_find(m, pr->target);
	if (t != NULL)
		send_probe(m, t->fact->addr, pr->seq, "", false, out);
}

/* Tells a node that just sent a message that it is suspect or dead here, so
 * that it can refute this.  While sends_left is raised, the fact on that node
 * is put first in the message. */
static void
notify_presumed_dead(
    struct ogl_member *m, struct ogl_peer *p, struct ogl_actions *out)
{
	p->sends_left += 2 * MAX_SENDS;
	send_probe(m, p->fact->addr, 0, "", true, out);
	p->sends_left -= 2 * MAX_SENDS;
}

struct ogl_peer *
ogl_member_receive(struct ogl_member *m, const Ogl__PeerMsg *msg, ogl_time now,
    struct ogl_actions *out)
{
	struct ogl_peer *from = NULL;
	const Ogl__MemberFact *sender_fact = NULL;

	for (size_t i = 0; i < msg->n_facts; i++) {
		struct ogl_peer *p = merge_fact(m, msg->facts[i], now);

		if (i == 0 && p != NULL) {
			from = p;
			sender_fact = msg->facts[0];
			update_from_itself(p, sender_fact);
		}
	}
	if (from == NULL || from->fact->boot != msg->boot)
		return NULL;
	from->heard = now;
	if (from->fact->state != OGL__MEMBER_FACT__STATE__alive &&
	    from->fact->state != OGL__MEMBER_FACT__STATE__left)
		notify_presumed_dead(m, from, out);
	if (msg->body_case == OGL__PEER_MSG__BODY_PROBE) {
		if (msg->probe->ack)
			handle_ack(from, sender_fact, msg->probe->seq);
		else
			handle_probe(m, from, msg->probe, out);
	}
	return from;
}

/* ---- probing ---------------------------------------------------------- */

static void
send_indirect_probes(
    struct ogl_member *m, struct ogl_peer *p, struct ogl_actions *out)
{
	guint n = m->sorted->len;

	for (int i = 0; i < INDIRECT_PROBES && n > 1; i++) {
		guint k = (guint)(ogl_random_next(&m->rnd) % n);
		struct ogl_peer *r = g_ptr_array_index(m->sorted, k);

		if (r == p || !state_alive(r->fact->state))
			continue;
		send_probe(
		    m, r->fact->addr, p->probe_seq, p->fact->name, false, out);
	}
	p->indirect_sent = true;
}

static void
check_pending(struct ogl_member *m, struct ogl_peer *p, ogl_time now,
    struct ogl_actions *out)
{
	ogl_time period = m->cfg->probe_ms * OGL_MS;

	if (p->fact->state == OGL__MEMBER_FACT__STATE__suspect) {
		if (now - p->state_changed_at >= m->cfg->suspect_ms * OGL_MS)
			set_state(m, p, OGL__MEMBER_FACT__STATE__dead, now);
		return;
	}
	if (p->probe_sent == 0 || !state_alive(p->fact->state))
		return;
	/* Any message since the probe was sent proves that it is alive. */
	if (now - p->probe_sent >= 2 * period && p->heard < p->probe_sent) {
		set_state(m, p, OGL__MEMBER_FACT__STATE__suspect, now);
		p->probe_sent = 0;
	} else if (now - p->probe_sent >= period && !p->indirect_sent) {
		send_indirect_probes(m, p, out);
	}
}

/* Returns the next member to probe, or NULL.  Each live member comes once in
 * a round, in random order. */
static struct ogl_peer *
next_in_round(struct ogl_member *m)
{
	struct ogl_peer *p;
	char *name;

	if (m->round->len == 0) {
		for (guint i = 0; i < m->sorted->len; i++) {
			p = g_ptr_array_index(m->sorted, i);
			if (state_alive(p->fact->state))
				g_ptr_array_add(
				    m->round, g_strdup(p->fact->name));
		}
	}
	if (m->round->len == 0)
		return NULL;
	name = g_ptr_array_steal_index_fast(
	    m->round, (guint)(ogl_random_next(&m->rnd) % m->round->len));
	p = ogl_member_find(m, name);
	g_free(name);
	return p;
}

void
ogl_member_probe_all(struct ogl_member *m, bool on)
{
	m->probe_all = on;
}

static void
probe_one(struct ogl_member *m, struct ogl_peer *p, ogl_time now,
    struct ogl_actions *out)
{
	if (p == NULL || !state_alive(p->fact->state))
		return;
	if (p->probe_sent != 0 &&
	    now - p->probe_sent < 2 * m->cfg->probe_ms * OGL_MS)
		return;
	p->probe_sent = now;
	p->probe_seq = ++m->seq;
	p->indirect_sent = false;
	send_probe(m, p->fact->addr, p->probe_seq, "", false, out);
}

/* Probes the seeds.  This is repeated forever, so that the two sides of a
 * network partition find each other again although each considers the other
 * dead. */
static void
probe_seeds(struct ogl_member *m, struct ogl_actions *out)
{
	const struct ogl_node_config *c = m->cfg;

	for (size_t i = 0; i < c->nseeds; i++) {
		if (strcmp(c->seeds[i], c->addr) != 0)
			send_probe(m, c->seeds[i], 0, "", false, out);
	}
}

static void
forget_dead(struct ogl_member *m, ogl_time now)
{
	for (guint i = m->sorted->len; i > 0; i--) {
		struct ogl_peer *p = g_ptr_array_index(m->sorted, i - 1);

		if (state_alive(p->fact->state) ||
		    now - p->state_changed_at < FORGET_DEAD_S * OGL_SEC)
			continue;
		g_ptr_array_remove_index(m->sorted, i - 1);
		g_hash_table_remove(m->peers, p->fact->name);
	}
}

void
ogl_member_tick(struct ogl_member *m, ogl_time now, struct ogl_actions *out)
{
	if (now < m->next_tick)
		return;
	m->next_tick = now + m->cfg->probe_ms * OGL_MS;
	for (guint i = 0; i < m->sorted->len; i++)
		check_pending(m, g_ptr_array_index(m->sorted, i), now, out);
	if (!m->probe_all)
		probe_one(m, next_in_round(m), now, out);
	for (guint i = 0; m->probe_all && i < m->sorted->len; i++)
		probe_one(m, g_ptr_array_index(m->sorted, i), now, out);
	if (m->period_count++ % SEED_EVERY_PERIODS == 0)
		probe_seeds(m, out);
	forget_dead(m, now);
}

ogl_time
ogl_member_next(const struct ogl_member *m)
{
	return m->next_tick;
}
