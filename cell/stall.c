/*
 * Once a second all open jobs are looked at, whether the scheduler has their
 * stages in its lists or not.  A job is idle if it has a stage whose tasks could
 * run, and no run that is known to have begun: orders that are refused or lost
 * again and again must not hide it.  Once it has been idle for STALLED_AFTER,
 * each such stage counts as stalled.
 *
 * All stalled stages are counted by what they wait for.  Lines are written for
 * LINES_MAX of them: first those that had none yet, then those whose last line
 * is oldest, so that each gets one in turn.  The workers are only looked at for
 * these lines, as that takes a pass over all of them.
 */

#include <string.h>

#include "room.h"
#include "sched_impl.h"
#include "stall.h"

#define INTERVAL OGL_SEC
#define STALLED_AFTER (2 * OGL_SEC)
#define LINES_MAX 20 /* in each interval */

#define COUNTER_PREFIX "stages_stalled_"

/* Reasons are enum cell_wait, and: */
#define STALL_START CELL_NWAITS /* all its tasks are ordered, none has begun */
/* The same, and a start has been given up that may still be carried out. */
#define STALL_GIVEN_UP (CELL_NWAITS + 1)
#define NREASONS (CELL_NWAITS + 2)

struct cell_stall {
	const struct cell_ops *ops;
	const struct cell_sched *sched;
	ogl_time next_at;
	/* Of the current look: */
	unsigned stalled[NREASONS];           /* by reason */
	struct cell_stage *chosen[LINES_MAX]; /* in the order of their lines */
	unsigned nchosen;
};

static const char *const counters[NREASONS] = {
    [CELL_WAIT_NONE] = COUNTER_PREFIX "untried",
    [CELL_WAIT_STORE] = COUNTER_PREFIX "store",
    [CELL_WAIT_SETTLE] = COUNTER_PREFIX "settle",
    [CELL_WAIT_LIMIT] = COUNTER_PREFIX "limit",
    [CELL_WAIT_ADVICE] = COUNTER_PREFIX "advice",
    [CELL_WAIT_TICKET] = COUNTER_PREFIX "ticket",
    [CELL_WAIT_ROOM] = COUNTER_PREFIX "room",
    [CELL_WAIT_WORKER_MAX] = COUNTER_PREFIX "apart",
    [STALL_START] = COUNTER_PREFIX "start",
    [STALL_GIVEN_UP] = COUNTER_PREFIX "given_up",
};

struct cell_stall *
cell_stall_init(const struct cell_ops *ops, const struct cell_sched *s)
{
	struct cell_stall *x = g_new0(struct cell_stall, 1);

	x->ops = ops;
	x->sched = s;
	return x;
}

void
cell_stall_end(struct cell_stall *x)
{
	g_free(x);
}

/* Runs of a stage that are ordered and have not begun. */
struct unbegun {
	unsigned given_up;  /* their start was given up, and may take effect */
	unsigned silent;    /* their worker leaves holds unanswered */
	unsigned restarted; /* the same, after a restart */
};

static struct unbegun
count_unbegun(const struct cell_stage *st)
{
	struct unbegun n = {0};
	uint32_t i;

	for (i = 0; i < st->ntasks && st->nactive > 0; i++) {
		const struct cell_run *r = st->tasks[i].active;

		if (r == NULL || r->running_since != 0)
			continue;
		n.given_up += r->state == CELL_RUN_STOPPING;
		n.silent += r->worker->failures > 0;
		n.restarted += r->worker->restarted;
	}
	return n;
}

static unsigned
reason_of(const struct cell_stage *st)
{
	if (cell_stage_waiting(st) > 0)
		return st->wait_reason;
	return count_unbegun(st).given_up > 0 ? STALL_GIVEN_UP : STALL_START;
}

static const char *
reason_name(unsigned why)
{
	return counters[why] + strlen(COUNTER_PREFIX);
}

/* ---- workers with room ------------------------------------------------ */

static const char *
unplaced_name(unsigned why)
{
	static const char *const names[] = {
	    [CELL_UNPLACED_RESERVED - CELL_NUNUSABLE] = "reserved",
	    [CELL_UNPLACED_WORKER_MAX - CELL_NUNUSABLE] = "worker_max",
	    [CELL_UNPLACED_REBORN - CELL_NUNUSABLE] = "reborn",
	    [CELL_UNPLACED_EXPIRED - CELL_NUNUSABLE] = "expired",
	};

	return why < CELL_NUNUSABLE
		   ? cell_unusable_name((enum cell_unusable)why)
		   : names[why - CELL_NUNUSABLE];
}

/* approval: NULL if none is needed. */
static unsigned
why_unplaced(const struct cell_sched *s, const struct cell_stage *st,
    const struct cell_worker *w, const struct cell_approval *approval,
    ogl_time now)
{
	enum cell_unusable unusable = cell_worker_unusable(w, now);

	if (unusable != CELL_USABLE)
		return unusable;
	if (!cell_health_may_start(w, st->def->gang))
		return CELL_SUSPECT;
	if (w->schedulable_pass == s->pass &&
	    cell_sched_reserved_against(w, st, cell_sched_rank_of(s, st)))
		return CELL_UNPLACED_RESERVED;
	if (st->def->worker_max > 0 &&
	    cell_worker_runs_of(w, st) >= st->def->worker_max)
		return CELL_UNPLACED_WORKER_MAX;
	if (approval != NULL && approval->incarnation != w->incarnation)
		return CELL_UNPLACED_REBORN;
	if (approval != NULL && approval->expires <= now)
		return CELL_UNPLACED_EXPIRED;
	return CELL_USABLE;
}

/* Counts a worker that has room for a task of the stage. */
static void
count_worker(struct cell_stall_room *room, const struct cell_sched *s,
    const struct cell_stage *st, bool policy_needed,
    const struct cell_worker *w, ogl_time now)
{
	const struct cell_approval *approval =
	    policy_needed ? cell_stage_approval(st, w->serial) : NULL;
	uint32_t places;
	unsigned why;

	if (policy_needed && approval == NULL) {
		if (cell_advice_knows(st, w)) {
			room->refused++;
			return;
		}
		room->unasked++;
		room->askable[cell_worker_unusable(w, now)]++;
		return;
	}
	places = MIN(cell_worker_free_slots(w, st), st->ntasks);
	why = why_unplaced(s, st, w, approval, now);
	room->allowed++;
	room->places += places;
	room->unplaced[why]++;
	if (why == CELL_USABLE)
		room->usable += places;
}

struct cell_stall_room
cell_stall_count_room(
    const struct cell_sched *s, const struct cell_stage *st, ogl_time now)
{
	bool policy_needed = cell_sched_queue_of(s, st->job)->policy.needed;
	struct ogl_res need = cell_stage_need(st);
	struct cell_stall_room room = {0};
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, cell_fleet_workers(s->parts.fleet));
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct cell_worker *w = p;

		if (cell_worker_fits(w, &need) && cell_worker_could_run(w, st))
			count_worker(&room, s, st, policy_needed, w, now);
	}
	return room;
}

/* ---- the fields of a line --------------------------------------------- */

static gint64
age_ms(ogl_time at, ogl_time now)
{
	return at != 0 ? (now - at) / OGL_MS : -1;
}

/* The waiting task that may start first; NULL if none waits. */
static const struct cell_task *
earliest_waiting(const struct cell_stage *st)
{
	const struct cell_task *earliest = NULL;
	uint32_t i;

	for (i = 0; i < st->ntasks; i++) {
		const struct cell_task *t = &st->tasks[i];

		if (!t->done && t->active == NULL &&
		    (earliest == NULL || t->not_before < earliest->not_before))
			earliest = t;
	}
	return earliest;
}

/* When the first of its runs was ordered; 0 if there is none. */
static ogl_time
first_ordered(const struct cell_stage *st)
{
	ogl_time first = 0;
	uint32_t i;

	for (i = 0; i < st->ntasks; i++) {
		const struct cell_run *r = st->tasks[i].active;

		if (r != NULL && (first == 0 || r->created_at < first))
			first = r->created_at;
	}
	return first;
}

static void
add_stage(GString *text, const struct cell_sched *s,
    const struct cell_stage *st, ogl_time now)
{
	const struct cell_job *j = st->job;
	const struct cell_queue *q = cell_sched_queue_of(s, st->job);
	const struct cell_task *t = earliest_waiting(st);
	struct unbegun unbegun = count_unbegun(st);

	g_string_append_printf(text,
	    "job=%s task=%u.%u why=%s for_ms=%" G_GINT64_FORMAT
	    " age_ms=%" G_GINT64_FORMAT " team=%s queue=%s rank=%u"
	    " precedence=%u gang=%d waiting=%u at_once=%u",
	    j->id, st->occurrence, st->step, reason_name(reason_of(st)),
	    age_ms(j->idle_since, now), (now - j->accepted) / OGL_MS,
	    j->def->team, j->def->queue, cell_sched_rank_of(s, st),
	    cell_sched_precedence_of(q, st, now), st->def->gang != 0,
	    cell_stage_waiting(st), st->def->gang ? st->ntasks : 1);
	g_string_append_printf(text,
	    " queued=%d tried=%d tried_ms=%" G_GINT64_FORMAT
	    " pass_ms=%" G_GINT64_FORMAT
	    " ordered=%u ordered_ms=%" G_GINT64_FORMAT
	    " given_up=%u silent=%u restarted=%u"
	    " settled=%d stored=%d delay_ms=%" G_GINT64_FORMAT
	    " failed=%u last_run=%" G_GUINT64_FORMAT,
	    st->queue != NULL,
	    st->tried_at != 0 && st->tried_at == s->passed_at,
	    age_ms(st->tried_at, now), age_ms(s->passed_at, now), st->nactive,
	    age_ms(first_ordered(st), now), unbegun.given_up, unbegun.silent,
	    unbegun.restarted, j->settled, j->stored,
	    t != NULL ? MAX(t->not_before - now, 0) / OGL_MS : 0,
	    t != NULL ? cell_task_failures(t) : 0, t != NULL ? t->run : 0);
}

static unsigned
valid_tickets(
    const struct cell_sched *s, const struct cell_stage *st, ogl_time now)
{
	unsigned n = 0;
	guint i;

	for (i = 0; i < st->approvals->len; i++) {
		const struct cell_approval *a =
		    &g_array_index(st->approvals, struct cell_approval, i);
		const struct cell_worker *w =
		    cell_fleet_by_serial(s->parts.fleet, a->worker);

		n += w != NULL && a->incarnation == w->incarnation &&
		     a->expires > now;
	}
	return n;
}

static void
add_advice(GString *text, const struct cell_sched *s,
    const struct cell_stage *st, ogl_time now)
{
	struct cell_advice_lanes lanes =
	    cell_advice_count_lanes(s->parts.advice, now);

	g_string_append_printf(text,
	    " policy=%d asking=%d asking_ms=%" G_GINT64_FORMAT
	    " asked=%u approved=%u valid=%u lanes=%u/%u paused=%u"
	    " lanes_rank0=%.1f",
	    cell_sched_queue_of(s, st->job)->policy.needed, st->asking,
	    age_ms(cell_advice_asked_at(s->parts.advice, st), now),
	    g_hash_table_size(st->asked), st->approvals->len,
	    valid_tickets(s, st, now), lanes.idle, lanes.known, lanes.paused,
	    lanes.rank0);
}

/* Adds how many workers can't be used for each of the n reasons. */
static void
add_reasons(GString *text, const char *key, const unsigned *workers, unsigned n)
{
	const char *sep = "";
	unsigned why;

	g_string_append_printf(text, " %s=", key);
	for (why = CELL_USABLE + 1; why < n; why++) {
		if (workers[why] == 0)
			continue;
		g_string_append_printf(
		    text, "%s%s:%u", sep, unplaced_name(why), workers[why]);
		sep = ",";
	}
}

static void
add_room(GString *text, const struct cell_sched *s, const struct cell_stage *st,
    ogl_time now)
{
	struct cell_stall_room room = cell_stall_count_room(s, st, now);

	g_string_append_printf(text,
	    " allowed_room=%u places=%" G_GUINT64_FORMAT
	    " usable=%u usable_places=%" G_GUINT64_FORMAT,
	    room.allowed, room.places, room.unplaced[CELL_USABLE], room.usable);
	add_reasons(text, "unusable", room.unplaced, CELL_NUNPLACED);
	g_string_append_printf(text,
	    " refused_room=%u unasked_room=%u askable=%u", room.refused,
	    room.unasked, room.askable[CELL_USABLE]);
	add_reasons(text, "unaskable", room.askable, CELL_NUNUSABLE);
	g_string_append_printf(
	    text, " free_cpu=%" G_GUINT64_FORMAT, s->free_cpu_milli);
}

static void
add_team(GString *text, const struct cell_sched *s, const struct cell_stage *st,
    ogl_time now)
{
	const char *name = st->job->def->team;
	const struct cell_team *t =
	    s->config != NULL ? cell_config_team(s->config, name) : NULL;
	const struct team_state *state =
	    g_hash_table_lookup(s->team_states, name);
	struct ogl_res used = cell_fleet_team_used(s->parts.fleet, name);
	const struct ogl_res none = {0};
	const struct ogl_res *max = t != NULL ? &t->max : &none;

	g_string_append_printf(text,
	    " used_cpu=%u max_cpu=%u used_mem=%u max_mem=%u used_accel=%u"
	    " max_accel=%u part_ppm=%u",
	    used.cpu_milli, max->cpu_milli, used.mem_mb, max->mem_mb,
	    used.accel, max->accel, cell_escrow_part(s->parts.escrow, name));
	if (state != NULL && state->urgent_limited_at != CELL_LONG_AGO)
		g_string_append_printf(text,
		    " urgent_limited_ms=%" G_GINT64_FORMAT,
		    age_ms(state->urgent_limited_at, now));
	if (state != NULL && state->pass == s->pass &&
	    state->waiting_gang_rank < RANKS)
		g_string_append_printf(
		    text, " limited_gang_rank=%u", state->waiting_gang_rank);
}

/* ---- lines ------------------------------------------------------------ */

static void
log_line(const struct cell_stall *x, const char *event, const char *text)
{
	if (x->ops->log_unsampled != NULL)
		x->ops->log_unsampled(x->ops->ctx, "owner", event, text);
	else
		x->ops->log(x->ops->ctx, "owner", event, text);
}

static void
log_stage(const struct cell_stall *x, struct cell_stage *st, ogl_time now)
{
	GString *text = g_string_new(NULL);

	add_stage(text, x->sched, st, now);
	add_room(text, x->sched, st, now);
	add_advice(text, x->sched, st, now);
	add_team(text, x->sched, st, now);
	log_line(x, "stage_stalled", text->str);
	g_string_free(text, TRUE);
	st->stall_logged_at = now;
}

static void
log_left_out(const struct cell_stall *x, unsigned total, ogl_time now)
{
	GString *text = g_string_new(NULL);
	const char *sep = "";
	unsigned i;

	g_string_append_printf(text,
	    "stages=%u left_out=%u pass_ms=%" G_GINT64_FORMAT " why=", total,
	    total - x->nchosen, age_ms(x->sched->passed_at, now));
	for (i = 0; i < NREASONS; i++) {
		if (x->stalled[i] == 0)
			continue;
		g_string_append_printf(
		    text, "%s%s:%u", sep, reason_name(i), x->stalled[i]);
		sep = ",";
	}
	log_line(x, "stages_stalled", text->str);
	g_string_free(text, TRUE);
}

/* ---- which stages are stalled ----------------------------------------- */

/* Whether tasks of the stage could run. */
static bool
could_run(const struct cell_stage *st)
{
	return st->ndone < st->ntasks && cell_stage_ready(st);
}

static bool
has_begun(const struct cell_run *r)
{
	return r != NULL && r->running_since != 0;
}

static bool
runs(const struct cell_stage *st)
{
	uint32_t i;

	for (i = 0; i < st->ntasks && st->nactive > 0; i++) {
		if (has_begun(st->tasks[i].active) ||
		    has_begun(st->tasks[i].copy))
			return true;
	}
	return false;
}

/* Whether something of the job could run, and nothing does. */
static bool
is_idle(const struct cell_job *j)
{
	bool some_could = false;
	guint i;
	size_t k;

	for (i = 0; i < j->occurrences->len; i++) {
		const struct cell_occurrence *oc = j->occurrences->pdata[i];

		for (k = 0; k < j->def->n_steps; k++) {
			if (runs(&oc->stages[k]))
				return false;
			some_could = some_could || could_run(&oc->stages[k]);
		}
	}
	return some_could;
}

static bool
logged_before(const struct cell_stage *a, const struct cell_stage *b)
{
	if (a->stall_logged_at != b->stall_logged_at)
		return a->stall_logged_at < b->stall_logged_at;
	return a->job->idle_since < b->job->idle_since;
}

/* Keeps the first LINES_MAX stages in the order of logged_before. */
static void
choose(struct cell_stall *x, struct cell_stage *st)
{
	unsigned i;

	if (x->nchosen == LINES_MAX &&
	    !logged_before(st, x->chosen[LINES_MAX - 1]))
		return;
	if (x->nchosen < LINES_MAX)
		x->nchosen++;
	for (i = x->nchosen - 1; i > 0 && logged_before(st, x->chosen[i - 1]);
	     i--)
		x->chosen[i] = x->chosen[i - 1];
	x->chosen[i] = st;
}

static void
count_stalled(struct cell_stall *x, struct cell_job *j)
{
	guint i;
	size_t k;

	for (i = 0; i < j->occurrences->len; i++) {
		struct cell_occurrence *oc = j->occurrences->pdata[i];

		for (k = 0; k < j->def->n_steps; k++) {
			if (!could_run(&oc->stages[k]))
				continue;
			x->stalled[reason_of(&oc->stages[k])]++;
			choose(x, &oc->stages[k]);
		}
	}
}

static void
look_at(struct cell_stall *x, struct cell_job *j, ogl_time now)
{
	if (j->def == NULL || !is_idle(j))
		j->idle_since = 0;
	else if (j->idle_since == 0)
		j->idle_since = now;
	else if (now - j->idle_since >= STALLED_AFTER)
		count_stalled(x, j);
}

void
cell_stall_step(struct cell_stall *x, GHashTable *jobs, ogl_time now)
{
	unsigned total = 0;
	unsigned i;
	GHashTableIter it;
	gpointer p;

	if (now < x->next_at)
		return;
	x->next_at = now + INTERVAL;
	x->nchosen = 0;
	memset(x->stalled, 0, sizeof x->stalled);
	g_hash_table_iter_init(&it, jobs);
	while (g_hash_table_iter_next(&it, NULL, &p))
		look_at(x, p, now);
	for (i = 0; i < NREASONS; i++) {
		total += x->stalled[i];
		if (x->stalled[i] > 0)
			x->ops->count(x->ops->ctx, counters[i], x->stalled[i]);
	}
	for (i = 0; i < x->nchosen; i++)
		log_stage(x, x->chosen[i], now);
	if (total > x->nchosen)
		log_left_out(x, total, now);
}
