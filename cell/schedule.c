/*
 * Schedules the tasks of a shard in passes over its waiting stages.
 *
 * Waiting stages are kept in one list per rank (queue priority), oldest first.
 * A pass visits them in the order of sched_order.c.  A stage within its team's
 * limit (sched_limit.c) is placed (sched_place.c); one that is not allowed on
 * enough workers yet asks about more (sched_ask.c).
 *
 * A gang that waits for its team's limit blocks lower ranks of the team, which
 * would otherwise use up what becomes free.
 */

#include <string.h>

#include "account.h"
#include "room.h"
#include "sched_impl.h"

/* Time between two passes: capacity that becomes free within 4 ms is allocated
 * in one pass, and a long queue does not use up the processor of a small
 * machine, because each waiting stage adds to the interval. */
#define PASS_INTERVAL (4 * OGL_MS)
#define PASS_INTERVAL_PER_STAGE_US ((ogl_time)40)
/* A pass skips the rest of a bucket after this many stages in a row found no
 * place. */
#define CONSECUTIVE_UNPLACED_MAX 40
/* Of the stages that wait for a team's limit, this many of each rank renew
 * their tickets.  Questions for the others would be wasted and would take lanes
 * of the advice service from work that can be started. */
#define LIMITED_STAGES_ASKING_MAX 2

struct cell_sched *
cell_sched_init(const struct cell_sched_parts *parts)
{
	struct cell_sched *s = g_new0(struct cell_sched, 1);
	int i, k;

	s->parts = *parts;
	s->no_room_at = CELL_LONG_AGO;
	s->no_lane_at = CELL_LONG_AGO;
	s->picture_at = CELL_LONG_AGO;
	s->share = ogl_share_init();
	s->share_items =
	    g_array_new(FALSE, FALSE, sizeof(struct ogl_share_item));
	s->schedulable = g_ptr_array_new();
	s->usable = g_ptr_array_new();
	s->by_room = g_array_new(FALSE, FALSE, sizeof(struct worker_room));
	s->skipped = g_ptr_array_new();
	s->expired = g_ptr_array_new();
	for (i = 0; i < PRECEDENCES; i++) {
		for (k = 0; k < RANKS; k++)
			s->buckets[i][k] = g_ptr_array_new();
	}
	for (i = 0; i < RANKS; i++)
		g_queue_init(&s->waiting[i]);
	s->team_states =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->forecast = cell_forecast_init();
	s->capacity = ogl_capacity_init();
	s->slots = ogl_slots_init();
	s->last_closure = FIRST_CLOSURE;
	s->candidates = g_ptr_array_new();
	s->chosen = g_ptr_array_new();
	s->lanes = ogl_lanes_init();
	s->yield = cell_yield_init();
	for (i = 0; i < PRECEDENCES; i++)
		s->asking[i] = g_ptr_array_new();
	s->asking_limited = g_ptr_array_new();
	return s;
}

void
cell_sched_end(struct cell_sched *s)
{
	int i, k;

	cell_sched_clear(s);
	for (i = 0; i < PRECEDENCES; i++) {
		for (k = 0; k < RANKS; k++)
			g_ptr_array_unref(s->buckets[i][k]);
		g_ptr_array_unref(s->asking[i]);
	}
	g_ptr_array_unref(s->asking_limited);
	ogl_lanes_end(s->lanes);
	ogl_share_end(s->share);
	g_array_unref(s->share_items);
	cell_yield_end(s->yield);
	cell_config_unref(s->config);
	g_hash_table_unref(s->team_states);
	cell_forecast_end(s->forecast);
	ogl_capacity_end(s->capacity);
	ogl_slots_end(s->slots);
	g_ptr_array_unref(s->schedulable);
	g_ptr_array_unref(s->usable);
	g_array_unref(s->by_room);
	g_ptr_array_unref(s->skipped);
	g_ptr_array_unref(s->expired);
	g_ptr_array_unref(s->candidates);
	g_ptr_array_unref(s->chosen);
	g_free(s);
}

void
cell_sched_open(struct cell_sched *s, ogl_time now)
{
	cell_forecast_reset(s->forecast, now);
	ogl_capacity_reset(s->capacity);
	s->picture_at = CELL_LONG_AGO;
	ogl_slots_clear(s->slots);
	cell_yield_open(s->yield, now);
}

void
cell_sched_clear(struct cell_sched *s)
{
	GList *l;
	int i;

	g_hash_table_remove_all(s->team_states);
	ogl_share_clear(s->share);
	s->no_room_at = CELL_LONG_AGO;
	s->no_lane_at = CELL_LONG_AGO;
	s->passed_at = 0;
	for (i = 0; i < RANKS; i++) {
		while ((l = g_queue_pop_head_link(&s->waiting[i])) != NULL)
			((struct cell_stage *)l->data)->queue = NULL;
	}
}

void
cell_sched_set_config(struct cell_sched *s, struct cell_config *c)
{
	cell_config_ref(c);
	cell_config_unref(s->config);
	s->config = c;
	cell_sched_set_shares(s);
}

void
cell_sched_set_slow_link(struct cell_sched *s, bool slow_link)
{
	s->slow_link = slow_link;
}

void
cell_sched_add(struct cell_sched *s, struct cell_stage *st)
{
	GQueue *q;
	GList *at;

	if (st->queue != NULL)
		return;
	q = &s->waiting[cell_sched_rank_of(s, st)];
	st->queue = q;
	/* A new stage is nearly always the youngest, so start at the tail. */
	for (at = q->tail; at != NULL; at = at->prev) {
		const struct cell_stage *other = at->data;

		if (other->job->waits_since <= st->job->waits_since)
			break;
	}
	if (at == NULL)
		g_queue_push_head_link(q, &st->link);
	else
		g_queue_insert_after_link(q, at, &st->link);
}

void
cell_sched_remove(struct cell_stage *st)
{
	if (st->queue == NULL)
		return;
	g_queue_unlink(st->queue, &st->link);
	st->queue = NULL;
}

size_t
cell_sched_waiting(const struct cell_sched *s)
{
	size_t n = 0;
	int i;

	for (i = 0; i < RANKS; i++)
		n += s->waiting[i].length;
	return n;
}

static const char *
wait_name(enum cell_wait why)
{
	static const char *const names[] = {"not", "store", "settle", "limit",
	    "advice", "ticket", "room", "apart"};

	return names[why];
}

/*
 * Logs one line each time the reason changes.  The lines explain why a job was
 * late: between two lines it waited for the reason in the first.
 */
static void
log_wait(struct cell_sched *s, struct cell_stage *st, enum cell_wait why,
    ogl_time now)
{
	const struct cell_team *t;
	struct ogl_res used;
	char text[256];

	if (st->wait_reason == why)
		return;
	t = cell_config_team(s->config, st->job->def->team);
	used = cell_fleet_team_used(s->parts.fleet, st->job->def->team);
	g_snprintf(text, sizeof text,
	    "task=%u.%u why=%s waiting=%u ms=%" G_GINT64_FORMAT
	    " room_cpu=%" G_GUINT64_FORMAT " used_cpu=%u max_cpu=%u",
	    st->occurrence, st->step, wait_name(why), cell_stage_waiting(st),
	    st->wait_reason != CELL_WAIT_NONE ? (now - st->wait_since) / OGL_MS
					      : 0,
	    s->free_cpu_milli, used.cpu_milli,
	    t != NULL ? t->max.cpu_milli : 0);
	cell_log_job(s->parts.ops, "owner", "stage_waits", st->job->id,
	    st->job->accepted, text);
	st->wait_reason = why;
	st->wait_since = now;
	cell_account_look(st->job, now);
}

/* Why a stage still has waiting tasks after a pass tried to place it. */
static enum cell_wait
find_wait_reason(const struct cell_sched *s, const struct cell_stage *st,
    const struct cell_policy *p)
{
	struct ogl_res need = cell_stage_need(st);
	guint i;

	if (p->needed && g_hash_table_size(st->asked) == 0)
		return CELL_WAIT_ADVICE;
	for (i = 0; i < s->candidates->len; i++) {
		if (cell_worker_fits(s->candidates->pdata[i], &need))
			return st->def->worker_max > 0 ? CELL_WAIT_WORKER_MAX
						       : CELL_WAIT_ROOM;
	}
	if (s->expired->len > 0)
		return CELL_WAIT_TICKET;
	return s->some_at_worker_max ? CELL_WAIT_WORKER_MAX : CELL_WAIT_ROOM;
}

/* Records that the limit refused the stage, and keeps some tickets valid. */
static void
handle_limited(struct cell_sched *s, struct cell_stage *st, uint32_t rank,
    unsigned precedence, ogl_time now)
{
	struct team_state *t = cell_sched_team_state_of(s, st->job->def->team);

	if (now - t->limited_at > UNDERUSE_TIME_MAX)
		t->underused_since = 0;
	t->limited_at = now;
	if (st->def->gang && precedence % 3 < PRECEDENCE_TOO_LATE &&
	    cell_sched_blocks_lower_ranks(s, st, t, now))
		t->waiting_gang_rank = MIN(t->waiting_gang_rank, rank);
	if (rank == 0 && precedence % 3 < PRECEDENCE_TOO_LATE)
		t->urgent_limited_at = now;
	if (t->nlimited[rank]++ >= LIMITED_STAGES_ASKING_MAX &&
	    g_hash_table_size(st->asked) > 0)
		return;
	cell_sched_request_advice(s, st, s->asking_limited, now);
}

enum cell_placing
cell_sched_place_stage(struct cell_sched *s, struct cell_stage *st,
    uint32_t rank, unsigned precedence, ogl_time now)
{
	const struct cell_queue *q = cell_sched_queue_of(s, st->job);
	bool policy_needed = q->policy.needed;
	uint32_t tasks = st->def->gang ? st->ntasks : 1;
	uint32_t active_before;
	bool placed;

	st->tried_at = now;
	if (!st->job->settled || !st->job->stored) {
		/* The answer should have arrived when the stage may start. */
		if (g_hash_table_size(st->asked) == 0)
			cell_sched_request_advice(
			    s, st, s->asking[precedence], now);
		log_wait(s, st,
		    st->job->stored ? CELL_WAIT_SETTLE : CELL_WAIT_STORE, now);
		return CELL_PLACED;
	}
	s->whole_limit = cell_sched_overdue(st, now);
	if (!cell_sched_team_limit_allows(s, st, tasks, rank, now)) {
		log_wait(s, st, CELL_WAIT_LIMIT, now);
		handle_limited(s, st, rank, precedence, now);
		return CELL_LIMITED;
	}
	active_before = st->nactive;
	cell_sched_list_candidates(s, st, policy_needed, rank, now);
	s->tight_deadline = cell_sched_deadline_is_tight(q, st, now);
	s->slack = cell_sched_slack(q, st, now);
	s->proven_for = NULL;
	if (st->def->gang)
		placed = cell_sched_place_gang(s, st, rank, now);
	else
		placed = cell_sched_place_tasks(s, st, rank, now);
	if (st->nactive == active_before && s->whole_limit)
		placed =
		    cell_sched_place_overdue(s, st, policy_needed, rank, now);
	if (st->nactive > active_before) {
		cell_sched_charge_starts(s, st, now);
		st->idle_since = 0;
	}
	if (placed) {
		st->blocked_since = 0;
		log_wait(s, st, CELL_WAIT_NONE, now);
		cell_sched_remove(st);
		return CELL_PLACED;
	}
	if (st->blocked_since == 0)
		st->blocked_since = now;
	log_wait(s, st, find_wait_reason(s, st, &q->policy), now);
	cell_sched_request_advice(s, st, s->asking[precedence], now);
	if (st->def->gang && precedence == 0)
		cell_sched_reserve_workers(s, st, rank, policy_needed);
	return st->nactive > active_before ? CELL_PLACED : CELL_UNPLACED;
}

/* Placing and asking change the waiting lists, so a pass works on a copy of
 * them. */
static void
fill_buckets(struct cell_sched *s, ogl_time now)
{
	uint32_t rank;
	unsigned precedence;
	GList *at;

	cell_forecast_begin_count(s->forecast);
	for (precedence = 0; precedence < PRECEDENCES; precedence++) {
		for (rank = 0; rank < RANKS; rank++)
			g_ptr_array_set_size(s->buckets[precedence][rank], 0);
	}
	for (rank = 0; rank < RANKS; rank++) {
		for (at = s->waiting[rank].head; at != NULL; at = at->next) {
			struct cell_stage *st = at->data;

			cell_sched_update_idle(st, now);
			cell_learned_update_job(s->parts.learned, st->job, now);
			precedence = cell_sched_precedence_of(
			    cell_sched_queue_of(s, st->job), st, now);
			cell_sched_count_waiting_job(s, st, precedence);
			g_ptr_array_add(s->buckets[precedence][rank], st);
		}
	}
}

static gint
most_room_first(gconstpointer a, gconstpointer b)
{
	const struct worker_room *x = a;
	const struct worker_room *y = b;

	return (x->cpu_milli < y->cpu_milli) - (x->cpu_milli > y->cpu_milli);
}

static void
list_workers(struct cell_sched *s, ogl_time now)
{
	GHashTableIter it;
	gpointer p;
	guint i;

	s->pass++;
	s->free_cpu_milli = 0;
	g_array_set_size(s->by_room, 0);
	g_hash_table_iter_init(&it, cell_fleet_workers(s->parts.fleet));
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct cell_worker *w = p;
		bool schedulable = cell_worker_schedulable(w, now);
		struct worker_room x;

		if (!schedulable && !cell_worker_usable(w, now))
			continue;
		x.worker = w;
		x.cpu_milli = cell_worker_room(w).cpu_milli;
		g_array_append_val(s->by_room, x);
		w->usable_pass = s->pass;
		w->reserved_rank_plus_1 = 0;
		if (!schedulable)
			continue;
		w->schedulable_pass = s->pass;
		s->free_cpu_milli += x.cpu_milli;
	}
	g_array_sort(s->by_room, most_room_first);
	g_ptr_array_set_size(s->schedulable, 0);
	g_ptr_array_set_size(s->usable, 0);
	for (i = 0; i < s->by_room->len; i++) {
		struct cell_worker *w =
		    g_array_index(s->by_room, struct worker_room, i).worker;

		g_ptr_array_add(s->usable, w);
		if (w->schedulable_pass == s->pass)
			g_ptr_array_add(s->schedulable, w);
	}
}

/* Stages that were not tried wait for room, as those before them do. */
static void
note_untried(struct cell_sched *s, GPtrArray *stages, guint from, ogl_time now)
{
	guint i;

	for (i = from; i < stages->len; i++) {
		struct cell_stage *st = stages->pdata[i];
		enum cell_wait why = st->wait_reason;

		if (st->queue != NULL && st->job->stored && st->job->settled &&
		    why <= CELL_WAIT_SETTLE)
			log_wait(s, st, CELL_WAIT_ROOM, now);
		cell_sched_note_skipped(s, st, now);
	}
}

/* After CONSECUTIVE_UNPLACED_MAX stages without a place, the later ones are
 * unlikely to find one.  They are tried once the first ones are placed. */
static void
place_bucket(
    struct cell_sched *s, uint32_t rank, unsigned precedence, ogl_time now)
{
	GPtrArray *stages = s->buckets[precedence][rank];
	unsigned unplaced = 0;
	guint i;

	for (i = 0; i < stages->len && unplaced < CONSECUTIVE_UNPLACED_MAX &&
		    cell_fleet_may_start(s->parts.fleet, 1);
	     i++) {
		struct cell_stage *st = stages->pdata[i];

		switch (cell_sched_place_stage(s, st, rank, precedence, now)) {
		case CELL_PLACED:
			unplaced = 0;
			break;
		case CELL_UNPLACED:
			if (st->wait_reason == CELL_WAIT_ROOM) {
				s->no_room_at = now;
				cell_sched_count_without_room(
				    s, st, rank, precedence);
			}
			unplaced++;
			break;
		case CELL_LIMITED:
		default:
			break;
		}
	}
	note_untried(s, stages, i, now);
}

void
cell_sched_pass(struct cell_sched *s, ogl_time now)
{
	size_t waiting = cell_sched_waiting(s);
	unsigned precedence;
	uint32_t rank;
	bool full;

	if (waiting == 0)
		cell_forecast_begin_count(s->forecast);
	if (waiting == 0 || cell_fleet_awaits_confirmation(s->parts.fleet, now))
		return;
	/* A new owner may read the jobs before the configuration, without which
	 * no team's limit is known. */
	if (s->config == NULL)
		return;
	s->next_pass_at = now + PASS_INTERVAL +
			  (ogl_time)waiting * PASS_INTERVAL_PER_STAGE_US;
	s->passed_at = now;
	cell_advice_set_send_ahead(s->parts.advice, s->next_pass_at - now);
	s->reserving_gangs = 0;
	list_workers(s, now);
	fill_buckets(s, now);
	cell_sched_order_beyond_rate(s);
	full = cell_sched_update_full(s, now);
	cell_sched_order_buckets(s, full, now);
	for (precedence = 0; precedence < PRECEDENCES; precedence += 3) {
		place_bucket(s, 0, precedence, now);
		place_bucket(s, 0, precedence + 1, now);
		for (rank = 1; rank < RANKS; rank++)
			place_bucket(s, rank, precedence, now);
		for (rank = 1; rank < RANKS; rank++)
			place_bucket(s, rank, precedence + 1, now);
		for (rank = 0; rank < RANKS; rank++)
			place_bucket(s, rank, precedence + 2, now);
	}
	cell_sched_try_skipped(s, now);
	cell_sched_ask_waiting(s, now);
	if (full)
		cell_sched_log_shares(s, now);
	cell_sched_yield(s, now);
}

bool
cell_sched_due(const struct cell_sched *s, ogl_time now)
{
	return now >= s->next_pass_at;
}
