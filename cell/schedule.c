/*
 * Waiting stages lie in one list a rank (queue priority), oldest first.  A
 * pass looks at each in the order of
 *
 *	standing  can still end within its objective; later than that; too
 *	          late to be worth anything; each first for teams within their
 *	          rate, then for those beyond it
 *	rank      the queue's priority
 *	age       the longest waiting first
 *
 * and places its tasks on the workers that fit best: those that the queue's
 * policy allows, with room left for as little as possible after it.  A gang is
 * placed whole or not at all.
 *
 * A gang that finds no room reserves the workers that could hold it soonest
 * for the rest of the pass, against lower ranks and later work of its own
 * rank: otherwise smaller work that fits would take each place as it falls
 * free, and the gang would wait for ever.  For the same reason work with time to
 * spare asks the advice service about the fullest workers, and a gang that its
 * team's limit keeps waiting holds back lower ranks of the team.
 */

#include <string.h>

#include "ablate.h"
#include "schedule.h"

#define RANKS 4
#define STANDINGS 6   /* three, for teams within and beyond their rate */
#define TOO_LATE 2    /* the last of the three */
#define BEYOND_RATE 3 /* the first of those beyond their rate */
/* Objectives are met by work that keeps to its estimate; an estimate is often
 * off by a fifth, so work that would miss by less still goes first. */
#define HOPE 0.7
/* Work done after this many objectives is worth nothing to its caller. */
#define LATE_MAX 3
/* Gangs that may hold back others at a time; each idles what it reserves. */
#define RESERVES_MAX 2
/* A stage without room asks for further workers after this time. */
#define ASK_MORE (300 * OGL_MS)
/* The first question names as many workers as the service is done with in
 * this time; a long one would only delay the start. */
#define FIRST_ASK_MS 650.0
#define FIRST_ASK_MIN 16
/* Workers asked about for each waiting task on a thin link: an answer names a
 * ticket for each that is allowed. */
#define SPARE_ASK_A_TASK 6
/* A ticket that has run out is asked for again for this many workers. */
#define REFRESH_MAX 16
/* Between two passes: what comes free within 4 ms is given out together, and
 * a long queue does not take all of a small machine. */
#define PASS_GAP (4 * OGL_MS)
#define PASS_STAGE ((ogl_time)10)
/* Part of its limit that a team may fill with work of other ranks than 0: its
 * short urgent work would else wait for its own long tasks to end. */
#define LIMIT_PART 0.93
/* Stages in a row without room after which a pass leaves their like. */
#define MISSES_MAX 40
/* Of the stages that a team's limit keeps waiting, so many of each rank have
 * their tickets kept fresh; for the rest each question would be in vain, and
 * take a lane of the advice service from work that can be started. */
#define LIMITED_ASKS 2
/* A team's work of rank 0 that its limit keeps waiting holds back all else of
 * the team for so long after each try. */
#define URGENT_FOR (150 * OGL_MS)

/* A gang that waits for its team's limit may leave more than half of it idle for
 * so long. */
#define IDLE_MAX (1500 * OGL_MS)

/* Thousandths of a core left over on a worker that one unit of pace outweighs. */
#define PACE_COST 60e3
/* A worker this much slower than those that are well is out of order. */
#define PACE_SLOW 1.7
#define PACE_SLOW_COST 300e3
/* Work is in a hurry when the time to its objective is less than so many times
 * what it will take. */
#define HURRY 2.0

/* Room counts as spare when no stage missed it for so long. */
#define SPARE_FOR (300 * OGL_MS)

/* What passes remember of a team. */
struct team_state {
	ogl_time urgent_at;      /* last try of rank 0 that its limit refused */
	uint64_t pass;           /* that the numbers below are of */
	unsigned limited[RANKS]; /* stages that its limit refused */
	ogl_time limited_at;     /* last of them */
	/* A gang of this rank waits in this pass for what the team has running
	 * to end: lower ranks are not started; RANKS none. */
	uint32_t gang_rank;
	ogl_time idle_since; /* less than half in use for it, 0 not */
};

/* What became of one look at a stage. */
enum outcome {
	PLACED,  /* something was started, or it waits for nothing but time */
	LIMITED, /* its team's limit is reached: tells nothing of others */
	MISSED   /* no room, or no ticket for any */
};

struct cell_sched {
	struct cell_sched_parts parts;
	bool spare;
	struct cell_config *config;
	GQueue waiting[RANKS]; /* struct cell_stage */
	unsigned reserves;
	GHashTable *limits; /* team -> struct team_state */
	uint64_t pass;      /* number of the pass under way */
	ogl_time missed_at; /* last time that a stage found no room */
	uint64_t room_cpu;  /* free on open workers, when it began */
	GPtrArray *open;    /* workers that may be given work, roomiest first */
	GPtrArray *buckets[STANDINGS][RANKS]; /* struct cell_stage, this pass */
	GPtrArray *candidates;                /* scratch: struct cell_worker */
	GPtrArray *stale;  /* scratch: allowed, with room, no ticket */
	GPtrArray *chosen; /* scratch: struct cell_worker, one a task */
	bool hurry;        /* scratch: the stage looked at is in a hurry */
	bool apart; /* scratch: some allowed worker has enough of the stage */
	ogl_time pass_at; /* next pass not before */
};

struct cell_sched *
cell_sched_init(const struct cell_sched_parts *parts)
{
	struct cell_sched *s = g_new0(struct cell_sched, 1);
	int i, k;

	s->parts = *parts;
	s->missed_at = CELL_LONG_AGO;
	s->open = g_ptr_array_new();
	s->stale = g_ptr_array_new();
	for (i = 0; i < STANDINGS; i++) {
		for (k = 0; k < RANKS; k++)
			s->buckets[i][k] = g_ptr_array_new();
	}
	for (i = 0; i < RANKS; i++)
		g_queue_init(&s->waiting[i]);
	s->limits =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->candidates = g_ptr_array_new();
	s->chosen = g_ptr_array_new();
	return s;
}

void
cell_sched_end(struct cell_sched *s)
{
	int i, k;

	cell_sched_clear(s);
	for (i = 0; i < STANDINGS; i++) {
		for (k = 0; k < RANKS; k++)
			g_ptr_array_unref(s->buckets[i][k]);
	}
	cell_config_unref(s->config);
	g_hash_table_unref(s->limits);
	g_ptr_array_unref(s->open);
	g_ptr_array_unref(s->stale);
	g_ptr_array_unref(s->candidates);
	g_ptr_array_unref(s->chosen);
	g_free(s);
}

void
cell_sched_clear(struct cell_sched *s)
{
	GList *l;
	int i;

	g_hash_table_remove_all(s->limits);
	for (i = 0; i < RANKS; i++) {
		while ((l = g_queue_pop_head_link(&s->waiting[i])) != NULL)
			((struct cell_stage *)l->data)->queue = NULL;
	}
}

void
cell_sched_config(struct cell_sched *s, struct cell_config *c)
{
	cell_config_ref(c);
	cell_config_unref(s->config);
	s->config = c;
}

/* ---- the lists -------------------------------------------------------- */

/* How the job's queue treats it, looked up once a configuration. */
static const struct cell_queue *
queue_of(const struct cell_sched *s, struct cell_job *j)
{
	uint64_t version =
	    s->config != NULL ? cell_config_version(s->config) : 0;

	if (j->queue_config == NULL || j->queue_config_version != version) {
		g_free(j->queue_config);
		j->queue_config = g_new(struct cell_queue, 1);
		*j->queue_config = cell_queue_of_job(s->config, j->def);
		j->queue_config_version = version;
	}
	return j->queue_config;
}

static uint32_t
rank_of(const struct cell_sched *s, const struct cell_stage *st)
{
	return MIN(queue_of(s, st->job)->rank, RANKS - 1);
}

void
cell_sched_spare(struct cell_sched *s, bool spare)
{
	s->spare = spare;
}

void
cell_sched_add(struct cell_sched *s, struct cell_stage *st)
{
	GQueue *q;
	GList *at;

	if (st->queue != NULL)
		return;
	q = &s->waiting[rank_of(s, st)];
	st->queue = q;
	/* Nearly always the youngest, so the search begins at the tail. */
	for (at = q->tail; at != NULL; at = at->prev) {
		const struct cell_stage *o = at->data;

		if (o->job->accepted <= st->job->accepted)
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

/* ---- standing --------------------------------------------------------- */

static double
objective_for(
    const struct cell_queue *q, const struct cell_job *j, double chain_ms)
{
	double policy = q->policy.needed
			    ? q->policy.decide_ms + 30 * q->policy.worker_ms
			    : 0;

	return q->objective_ms +
	       q->slack * (chain_ms + policy * (double)j->def->n_steps);
}

static double
objective_ms(const struct cell_queue *q, const struct cell_job *j)
{
	return objective_for(q, j, j->chain_ms);
}

double
cell_sched_objective_ms(const struct cell_sched *s, struct cell_job *j)
{
	return objective_ms(queue_of(s, j), j);
}

double
cell_sched_took_objective_ms(const struct cell_sched *s, struct cell_job *j)
{
	return objective_for(queue_of(s, j), j, cell_job_took_chain_ms(j));
}

static unsigned
standing(const struct cell_queue *q, const struct cell_stage *st, ogl_time now)
{
	const struct cell_job *j = st->job;
	double objective = objective_ms(q, j);
	double end = (double)(now - j->accepted) / OGL_MS +
		     HOPE * j->chain_from_ms[st->step];
	unsigned class = 0;

	if (st->def->lasting)
		return 0;
	if (!CELL_USES_STANDING)
		class = 0;
	else if (end > LATE_MAX * objective)
		class = TOO_LATE;
	else if (end > objective)
		class = 1;
	return j->over ? class + BEYOND_RATE : class;
}

static bool
in_hurry(const struct cell_queue *q, const struct cell_stage *st, ogl_time now)
{
	const struct cell_job *j = st->job;
	double left = objective_ms(q, j) - (double)(now - j->accepted) / OGL_MS;

	return !st->def->lasting && left < HURRY * j->chain_from_ms[st->step];
}

/* ---- candidates ------------------------------------------------------- */

static bool
has_label(const struct cell_worker *w, const char *label)
{
	return *label == '\0' ||
	       (w->labels != NULL &&
		   g_strv_contains((const gchar *const *)w->labels, label));
}

/* What never changes about whether a worker could run the stage. */
static bool
suits(const struct cell_stage *st, const struct cell_worker *w)
{
	struct ogl_res need = {st->def->fills ? 0 : st->def->cpu_milli,
	    st->def->mem_mb, st->def->accel};

	return g_strcmp0(w->service, st->job->def->service) == 0 &&
	       has_label(w, st->def->label) &&
	       ogl_res_fits(&need, &w->capacity);
}

static bool
kept_from(const struct cell_worker *w, uint32_t rank)
{
	return w->reserved != 0 && rank + 1 >= w->reserved;
}

/* Tasks of the stage on a worker, those chosen in this pass included. */
static uint32_t
tasks_on(const struct cell_sched *s, const struct cell_stage *st,
    const struct cell_worker *w)
{
	GHashTableIter it;
	gpointer p;
	uint32_t n = 0;
	guint i;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		const struct cell_run *r = p;

		if (r->name.step == st->step &&
		    r->name.occurrence == st->occurrence &&
		    strcmp(r->name.id, st->job->id) == 0)
			n++;
	}
	for (i = 0; i < s->chosen->len; i++) {
		if (s->chosen->pdata[i] == w)
			n++;
	}
	return n;
}

/* Whether no more tasks of the stage may be put on the worker. */
static bool
has_enough(const struct cell_sched *s, const struct cell_stage *st,
    const struct cell_worker *w)
{
	return st->def->worker_max > 0 &&
	       tasks_on(s, st, w) >= st->def->worker_max;
}

/*
 * Sorts the workers with room for a task into those that may be given it now
 * and, where the queue has a policy, those whose ticket has run out.
 */
static void
list_allowed(struct cell_sched *s, const struct cell_stage *st, uint32_t rank,
    ogl_time now)
{
	struct ogl_res need = cell_stage_need(st);
	guint i;

	for (i = 0; i < st->approvals->len; i++) {
		const struct cell_good *g =
		    &g_array_index(st->approvals, struct cell_good, i);
		struct cell_worker *w =
		    cell_fleet_by_serial(s->parts.fleet, g->worker);

		if (w == NULL || w->open_pass != s->pass ||
		    kept_from(w, rank) || !cell_worker_fits(w, &need))
			continue;
		/* A ticket for it would be of no use to the stage. */
		if (has_enough(s, st, w)) {
			s->apart = true;
			continue;
		}
		if (g->born_ms == w->life && g->until > now)
			g_ptr_array_add(s->candidates, w);
		else
			g_ptr_array_add(s->stale, w);
	}
}

static void
list_candidates(struct cell_sched *s, const struct cell_stage *st, bool policy,
    uint32_t rank, ogl_time now)
{
	struct ogl_res need = cell_stage_need(st);
	guint i;

	g_ptr_array_set_size(s->candidates, 0);
	g_ptr_array_set_size(s->stale, 0);
	g_ptr_array_set_size(s->chosen, 0);
	s->apart = false;
	if (policy) {
		list_allowed(s, st, rank, now);
		return;
	}
	for (i = 0; i < s->open->len; i++) {
		struct cell_worker *w = s->open->pdata[i];

		if (cell_worker_fits(w, &need) && !kept_from(w, rank) &&
		    suits(st, w))
			g_ptr_array_add(s->candidates, w);
	}
}

static struct ogl_res
room_of(const struct cell_worker *w)
{
	struct ogl_res room = w->capacity;

	ogl_res_sub(&room, &w->used);
	return room;
}

/*
 * Work with little time to spare goes to fast workers.  What has time to spare
 * leaves them free, but is not given to workers that are out of order.
 */
static double
pace_cost(const struct cell_sched *s, const struct cell_worker *w)
{
	double pace = cell_fleet_pace(s->parts.fleet, w);

	if (!CELL_USES_PACE)
		return 0;
	if (pace > PACE_SLOW)
		return PACE_SLOW_COST * pace;
	return s->hurry ? PACE_COST * pace : -PACE_COST * pace;
}

/*
 * Lower is better: the data's rack, then a worker other than the one where the
 * task failed, then the least processor time left over, which keeps large
 * rooms whole for gangs.
 */
static double
cost_of(const struct cell_sched *s, const struct cell_stage *st,
    const struct cell_task *t, const struct cell_worker *w)
{
	struct ogl_res room = room_of(w);
	double cost = (double)room.cpu_milli + pace_cost(s, w);

	if (*st->def->data_rack != '\0' &&
	    strcmp(st->def->data_rack, w->rack) != 0)
		cost += 1e6;
	if (t->avoid != NULL && strcmp(t->avoid, w->id) == 0)
		cost += 1e7;
	return cost;
}

static struct cell_worker *
pick(struct cell_sched *s, const struct cell_stage *st,
    const struct cell_task *t)
{
	struct ogl_res need = cell_stage_need(st);
	struct cell_worker *best = NULL;
	double least = 0;
	guint i;

	for (i = 0; i < s->candidates->len; i++) {
		struct cell_worker *w = s->candidates->pdata[i];
		double cost;

		if (!cell_worker_fits(w, &need))
			continue;
		if (has_enough(s, st, w))
			continue;
		cost = cost_of(s, st, t, w);
		if (best == NULL || cost < least) {
			best = w;
			least = cost;
		}
	}
	return best;
}

/* ---- limits ----------------------------------------------------------- */

/* A step that alone needs more than the part may have the whole. */
static bool
below(uint32_t used, uint64_t need, uint32_t max, double part)
{
	uint64_t limit = (uint64_t)(max * part);

	if (need > limit)
		limit = max;
	return max == 0 || used + need <= limit;
}

static uint32_t
part_of(uint32_t max, uint32_t part)
{
	if (max == 0)
		return 0;
	return MAX((uint32_t)((uint64_t)max * part / CELL_PART_WHOLE), 1);
}

/* What this shard may have running of the team; 0: no limit. */
static struct ogl_res
limit_of(const struct cell_sched *s, const struct cell_team *t)
{
	uint32_t part = cell_escrow_part(s->parts.escrow, t->name);
	struct ogl_res max = {part_of(t->max.cpu_milli, part),
	    part_of(t->max.mem_mb, part), part_of(t->max.accel, part)};

	return max;
}

/* Millionths of the whole limit that would do; more than all of it where even
 * that would not do. */
static double
part_for(uint32_t used, uint64_t need, uint32_t max, double part)
{
	uint64_t limit = (uint64_t)(max * part);

	if (max == 0)
		return 0;
	if (need > limit)
		limit = max;
	return (double)(used + need) / (double)limit * CELL_PART_WHOLE;
}

static double
part_for_tasks(const struct cell_team *t, const struct ogl_res *used,
    const struct ogl_res *need, uint64_t tasks, double part)
{
	double cpu = part_for(
	    used->cpu_milli, need->cpu_milli * tasks, t->max.cpu_milli, part);
	double mem =
	    part_for(used->mem_mb, need->mem_mb * tasks, t->max.mem_mb, part);
	double accel =
	    part_for(used->accel, need->accel * tasks, t->max.accel, part);

	return MAX(cpu, MAX(mem, accel));
}

/* Asks for what all waiting tasks of the stage need, or, where that is beyond
 * the whole limit, for what the next start needs. */
static void
want_part(struct cell_sched *s, const struct cell_stage *st,
    const struct cell_team *t, const struct ogl_res *used, uint32_t tasks,
    double part, ogl_time now)
{
	struct ogl_res need = cell_stage_need(st);
	double want =
	    part_for_tasks(t, used, &need, cell_stage_waiting(st), part);

	if (want > CELL_PART_WHOLE)
		want = part_for_tasks(t, used, &need, tasks, part);
	if (want <= CELL_PART_WHOLE)
		cell_escrow_want(
		    s->parts.escrow, t->name, (uint32_t)want + 1, now);
}

static struct team_state *
state_of(struct cell_sched *s, const char *team)
{
	struct team_state *t = g_hash_table_lookup(s->limits, team);

	if (t == NULL) {
		t = g_new0(struct team_state, 1);
		t->urgent_at = CELL_LONG_AGO;
		t->limited_at = CELL_LONG_AGO;
		g_hash_table_insert(s->limits, g_strdup(team), t);
	}
	if (t->pass != s->pass) {
		t->pass = s->pass;
		memset(t->limited, 0, sizeof t->limited);
		t->gang_rank = RANKS;
	}
	return t;
}

/*
 * A team at its limit gives what falls free to its short urgent work.  Handed
 * out in order of standing alone, its long tasks would take it, and its lookups
 * would wait for seconds although the cell has room.
 */
static bool
held_back(struct cell_sched *s, const struct cell_stage *st, uint32_t rank,
    ogl_time now)
{
	return CELL_USES_URGENT && rank > 0 &&
	       now - state_of(s, st->job->def->team)->urgent_at < URGENT_FOR;
}

static bool
team_allows(struct cell_sched *s, const struct cell_stage *st, uint32_t tasks,
    uint32_t rank, ogl_time now)
{
	double part = rank == 0 || !CELL_USES_LIMIT_PART ? 1.0 : LIMIT_PART;
	const struct cell_team *t =
	    cell_config_team(s->config, st->job->def->team);
	struct ogl_res used =
	    cell_fleet_team_used(s->parts.fleet, st->job->def->team);
	struct ogl_res need = cell_stage_need(st);
	struct ogl_res max;

	if (t == NULL)
		return true;
	if (held_back(s, st, rank, now) ||
	    rank > state_of(s, st->job->def->team)->gang_rank)
		return false;
	max = limit_of(s, t);
	if (below(used.cpu_milli, (uint64_t)need.cpu_milli * tasks,
		max.cpu_milli, part) &&
	    below(
		used.mem_mb, (uint64_t)need.mem_mb * tasks, max.mem_mb, part) &&
	    below(used.accel, (uint64_t)need.accel * tasks, max.accel, part))
		return true;
	want_part(s, st, t, &used, tasks, part, now);
	return false;
}

/* ---- questions to the advice service ---------------------------------- */

static uint32_t
times_in(const struct ogl_res *room, const struct ogl_res *need)
{
	uint32_t n = UINT32_MAX;

	if (need->cpu_milli > 0)
		n = MIN(n, room->cpu_milli / need->cpu_milli);
	if (need->mem_mb > 0)
		n = MIN(n, room->mem_mb / need->mem_mb);
	if (need->accel > 0)
		n = MIN(n, room->accel / need->accel);
	return n;
}

static gint
by_room(gconstpointer a, gconstpointer b)
{
	const struct cell_worker *v = *(struct cell_worker *const *)a;
	const struct cell_worker *w = *(struct cell_worker *const *)b;
	uint32_t rv = room_of(v).cpu_milli;
	uint32_t rw = room_of(w).cpu_milli;

	return rv < rw ? 1 : rv > rw ? -1 : 0;
}

/* Times the task fits into what the worker has free. */
static uint32_t
free_times(const struct cell_worker *w, const struct ogl_res *need)
{
	struct ogl_res room = room_of(w);

	return times_in(&room, need);
}

static guint
first_ask_size(const struct cell_sched *s, const struct cell_stage *st,
    const struct cell_policy *p)
{
	double n = p->worker_ms > 0
		       ? (FIRST_ASK_MS - p->decide_ms) / p->worker_ms
		       : CELL_ADVICE_WORKERS_MAX;

	if (s->spare)
		n = MIN(n, SPARE_ASK_A_TASK * cell_stage_waiting(st));
	return (guint)CLAMP(n, FIRST_ASK_MIN, CELL_ADVICE_WORKERS_MAX);
}

static bool
not_asked_about(const struct cell_stage *st, const struct cell_worker *w)
{
	return !g_hash_table_contains(st->asked, GUINT_TO_POINTER(w->serial)) &&
	       suits(st, w);
}

/* Whether room that no gang could use will do: the stage has time, and its tasks
 * start one by one. */
static bool
can_use_leftovers(
    const struct cell_queue *q, const struct cell_stage *st, ogl_time now)
{
	return !st->def->gang && !in_hurry(q, st, now);
}

/* Workers with room for a task, the least first. */
static void
list_fullest(const struct cell_sched *s, const struct cell_stage *st, guint max,
    GPtrArray *a)
{
	struct ogl_res need = cell_stage_need(st);
	guint i;

	for (i = s->open->len; i-- > 0 && a->len < max;) {
		struct cell_worker *w = s->open->pdata[i];

		if (cell_worker_fits(w, &need) && not_asked_about(st, w))
			g_ptr_array_add(a, w);
	}
}

/* Asks for workers not asked for yet, those with the most room first. */
static bool
ask_new(struct cell_sched *s, struct cell_stage *st, const struct cell_queue *q,
    ogl_time now)
{
	const struct cell_policy *p = &q->policy;
	GPtrArray *a = g_ptr_array_new();
	guint max = first_ask_size(s, st, p);
	bool asked;
	guint i;

	if (can_use_leftovers(q, st, now))
		list_fullest(s, st, max, a);
	for (i = 0; i < s->open->len && a->len < max; i++) {
		struct cell_worker *w = s->open->pdata[i];

		if (not_asked_about(st, w) && !g_ptr_array_find(a, w, NULL))
			g_ptr_array_add(a, w);
	}
	asked = cell_advice_ask(s->parts.advice, st, p, a, rank_of(s, st), now);
	g_ptr_array_unref(a);
	return asked;
}

/* Whether a gang could be placed if all allowed workers had tickets. */
static bool
gang_would_fit(struct cell_sched *s, const struct cell_stage *st)
{
	struct ogl_res need = cell_stage_need(st);
	uint32_t n = 0;
	guint i;

	for (i = 0; i < s->candidates->len; i++)
		n += free_times(s->candidates->pdata[i], &need);
	for (i = 0; i < s->stale->len; i++)
		n += free_times(s->stale->pdata[i], &need);
	return n >= st->ntasks;
}

/*
 * Asks again for allowed workers that have room now.  A gang that would not
 * fit all the same does not ask: the answer would run out unused, and the
 * service answers one question at a time.
 */
static bool
ask_again(struct cell_sched *s, struct cell_stage *st,
    const struct cell_policy *p, ogl_time now)
{
	if (s->stale->len == 0)
		return false;
	if (st->def->gang && !gang_would_fit(s, st))
		return false;
	g_ptr_array_sort(s->stale, by_room);
	if (s->stale->len > REFRESH_MAX)
		g_ptr_array_set_size(s->stale, REFRESH_MAX);
	return cell_advice_ask(
	    s->parts.advice, st, p, s->stale, rank_of(s, st), now);
}

static void
seek_advice(struct cell_sched *s, struct cell_stage *st,
    const struct cell_queue *q, ogl_time now)
{
	const struct cell_policy *p = &q->policy;

	if (!p->needed || st->asking ||
	    !cell_advice_lane_free(s->parts.advice, rank_of(s, st), now))
		return;
	if (g_hash_table_size(st->asked) == 0) {
		ask_new(s, st, q, now);
		return;
	}
	if (ask_again(s, st, p, now))
		return;
	if (st->blocked_since != 0 && now - st->blocked_since > ASK_MORE)
		ask_new(s, st, q, now);
}

/* ---- why a stage waits ------------------------------------------------ */

static const char *
wait_name(enum cell_wait why)
{
	static const char *const names[] = {"not", "store", "settle", "limit",
	    "advice", "ticket", "room", "apart"};

	return names[why];
}

/*
 * One line each time that the reason changes.  A job that ended late is
 * explained by them: the time between two lines is lost for the first one's
 * reason.
 */
static void
note_wait(struct cell_sched *s, struct cell_stage *st, enum cell_wait why,
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
	    "job=%s task=%u.%u why=%s waiting=%u ms=%" G_GINT64_FORMAT
	    " room_cpu=%" G_GUINT64_FORMAT " used_cpu=%u max_cpu=%u",
	    st->job->id, st->occurrence, st->step, wait_name(why),
	    cell_stage_waiting(st),
	    st->wait_reason != CELL_WAIT_NONE ? (now - st->wait_since) / OGL_MS
					      : 0,
	    s->room_cpu, used.cpu_milli, t != NULL ? t->max.cpu_milli : 0);
	s->parts.ops->log(s->parts.ops->ctx, "owner", "stage_waits", text);
	st->wait_reason = why;
	st->wait_since = now;
}

/* Of a stage that was looked at and not placed whole. */
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
	if (s->stale->len > 0)
		return CELL_WAIT_TICKET;
	return s->apart ? CELL_WAIT_WORKER_MAX : CELL_WAIT_ROOM;
}

/* ---- placing ---------------------------------------------------------- */

static bool
task_waits(const struct cell_task *t, ogl_time now)
{
	return !t->done && t->active == NULL && now >= t->due;
}

static void
start_task(struct cell_sched *s, struct cell_stage *st, uint32_t index,
    struct cell_worker *w, uint64_t run, uint32_t rank, ogl_time now)
{
	const struct cell_good *g = cell_advice_approval(st, w);
	struct cell_task *t = &st->tasks[index];

	t->run = run;
	t->active = cell_fleet_start(s->parts.fleet, w, st, index, run,
	    g != NULL ? g->ticket : NULL, rank, now);
	st->nactive++;
	s->parts.started(s->parts.arg, st, index, now);
}

/* Places task by task; whether none is left waiting. */
static bool
place_tasks(
    struct cell_sched *s, struct cell_stage *st, uint32_t rank, ogl_time now)
{
	bool all = true;
	uint32_t i;

	g_ptr_array_set_size(s->chosen, 0);
	for (i = 0; i < st->ntasks; i++) {
		struct cell_task *t = &st->tasks[i];
		struct cell_worker *w;

		if (t->done || t->active != NULL)
			continue;
		if (now < t->due) {
			all = false;
			continue;
		}
		w = task_waits(t, now) && team_allows(s, st, 1, rank, now)
			? pick(s, st, t)
			: NULL;
		if (w == NULL) {
			all = false;
			break;
		}
		start_task(s, st, i, w, s->parts.next_run(s->parts.arg, st),
		    rank, now);
	}
	return all;
}

static void
unchoose(struct cell_sched *s, const struct ogl_res *need)
{
	guint i;

	for (i = 0; i < s->chosen->len; i++)
		ogl_res_sub(
		    &((struct cell_worker *)s->chosen->pdata[i])->used, need);
}

/* All of a gang at once, under one run number. */
static bool
place_gang(
    struct cell_sched *s, struct cell_stage *st, uint32_t rank, ogl_time now)
{
	struct ogl_res need = cell_stage_need(st);
	uint64_t run;
	uint32_t i;

	if (st->nactive > 0)
		return true; /* the last run is not over yet */
	if (!task_waits(&st->tasks[0], now) ||
	    !team_allows(s, st, st->ntasks, rank, now))
		return false;
	g_ptr_array_set_size(s->chosen, 0);
	for (i = 0; i < st->ntasks; i++) {
		struct cell_worker *w = pick(s, st, &st->tasks[0]);

		if (w == NULL)
			break;
		ogl_res_add(&w->used, &need);
		g_ptr_array_add(s->chosen, w);
	}
	unchoose(s, &need);
	if (i < st->ntasks)
		return false;
	run = s->parts.next_run(s->parts.arg, st);
	for (i = 0; i < st->ntasks; i++)
		start_task(s, st, i, s->chosen->pdata[i], run, rank, now);
	return true;
}

static void
reserve(struct cell_sched *s, struct cell_stage *st, uint32_t rank, bool policy)
{
	struct ogl_res need = cell_stage_need(st);
	uint32_t n = 0;
	guint i;

	if (!CELL_USES_RESERVE || s->reserves >= RESERVES_MAX)
		return;
	for (i = 0; i < s->open->len && n < st->ntasks; i++) {
		struct cell_worker *w = s->open->pdata[i];

		if (kept_from(w, rank) || !suits(st, w) ||
		    (policy && cell_advice_approval(st, w) == NULL))
			continue;
		n += times_in(&w->capacity, &need);
		w->reserved = rank + 1;
	}
	s->reserves++;
}

/* Whether the limit keeps the gang waiting although it could run alone. */
static bool
waits_for_others(uint32_t used, uint64_t need, uint32_t max)
{
	return max > 0 && need <= max && used + need > max;
}

static bool
uses_half(uint32_t used, uint32_t max)
{
	return max > 0 && used >= max / 2;
}

/* A team that has less than half of its limit in use while a gang holds back
 * lower ranks leaves it idle: only for so long. */
static bool
may_idle(struct team_state *t, const struct ogl_res *used,
    const struct ogl_res *max, ogl_time now)
{
	if (uses_half(used->cpu_milli, max->cpu_milli) ||
	    uses_half(used->mem_mb, max->mem_mb) ||
	    uses_half(used->accel, max->accel)) {
		t->idle_since = 0;
		return true;
	}
	if (t->idle_since == 0)
		t->idle_since = now;
	return now - t->idle_since < IDLE_MAX;
}

/*
 * Whether lower ranks of the team wait until the gang has room within the limit.
 * Not where other shards may run work of the team that is not known here.
 */
static bool
holds_lower_ranks(struct cell_sched *s, const struct cell_stage *st,
    struct team_state *state, ogl_time now)
{
	const char *team = st->job->def->team;
	const struct cell_team *t = cell_config_team(s->config, team);
	struct ogl_res used = cell_fleet_team_used(s->parts.fleet, team);
	struct ogl_res need = cell_stage_need(st);
	uint64_t n = st->ntasks;

	if (t == NULL ||
	    cell_escrow_part(s->parts.escrow, team) != CELL_PART_WHOLE)
		return false;
	if (!waits_for_others(
		used.cpu_milli, n * need.cpu_milli, t->max.cpu_milli) &&
	    !waits_for_others(used.mem_mb, n * need.mem_mb, t->max.mem_mb) &&
	    !waits_for_others(used.accel, n * need.accel, t->max.accel))
		return false;
	return may_idle(state, &used, &t->max, now);
}

/* The stage has to wait for its team's limit. */
static void
wait_for_limit(struct cell_sched *s, struct cell_stage *st,
    const struct cell_queue *q, uint32_t rank, unsigned stand, ogl_time now)
{
	struct team_state *t = state_of(s, st->job->def->team);

	if (now - t->limited_at > IDLE_MAX)
		t->idle_since = 0;
	t->limited_at = now;
	if (st->def->gang && stand % 3 < TOO_LATE &&
	    holds_lower_ranks(s, st, t, now))
		t->gang_rank = MIN(t->gang_rank, rank);
	if (rank == 0 && stand % 3 < TOO_LATE)
		t->urgent_at = now;
	if (t->limited[rank]++ >= LIMITED_ASKS &&
	    g_hash_table_size(st->asked) > 0)
		return;
	list_candidates(s, st, q->policy.needed, rank, now);
	seek_advice(s, st, q, now);
}

static enum outcome
place_stage(struct cell_sched *s, struct cell_stage *st,
    const struct cell_queue *q, uint32_t rank, unsigned stand, ogl_time now)
{
	bool policy = q->policy.needed;
	uint32_t tasks = st->def->gang ? st->ntasks : 1;
	uint32_t active;
	bool placed;

	if (!st->job->settled || !st->job->stored) {
		/* The answer will be there by the time it may start. */
		if (g_hash_table_size(st->asked) == 0)
			seek_advice(s, st, q, now);
		note_wait(s, st,
		    st->job->stored ? CELL_WAIT_SETTLE : CELL_WAIT_STORE, now);
		return PLACED;
	}
	if (!team_allows(s, st, tasks, rank, now)) {
		note_wait(s, st, CELL_WAIT_LIMIT, now);
		wait_for_limit(s, st, q, rank, stand, now);
		return LIMITED;
	}
	active = st->nactive;
	list_candidates(s, st, policy, rank, now);
	s->hurry = in_hurry(q, st, now);
	if (st->def->gang)
		placed = place_gang(s, st, rank, now);
	else
		placed = place_tasks(s, st, rank, now);
	if (placed) {
		st->blocked_since = 0;
		note_wait(s, st, CELL_WAIT_NONE, now);
		cell_sched_remove(st);
		return PLACED;
	}
	if (st->blocked_since == 0)
		st->blocked_since = now;
	note_wait(s, st, find_wait_reason(s, st, &q->policy), now);
	seek_advice(s, st, q, now);
	if (st->def->gang && stand == 0)
		reserve(s, st, rank, policy);
	return st->nactive > active ? PLACED : MISSED;
}

/* Placing and asking change the lists, so what is to be looked at is put down
 * first. */
static void
fill_buckets(struct cell_sched *s, ogl_time now)
{
	uint32_t rank;
	unsigned stand;
	GList *at;

	for (stand = 0; stand < STANDINGS; stand++) {
		for (rank = 0; rank < RANKS; rank++)
			g_ptr_array_set_size(s->buckets[stand][rank], 0);
	}
	for (rank = 0; rank < RANKS; rank++) {
		for (at = s->waiting[rank].head; at != NULL; at = at->next) {
			struct cell_stage *st = at->data;

			stand = standing(queue_of(s, st->job), st, now);
			g_ptr_array_add(s->buckets[stand][rank], st);
		}
	}
}

static gint
by_work(gconstpointer a, gconstpointer b)
{
	const struct cell_stage *x = *(struct cell_stage *const *)a;
	const struct cell_stage *y = *(struct cell_stage *const *)b;

	return x->job->work < y->job->work ? -1 : x->job->work > y->job->work;
}

/*
 * Of what a team sends beyond its rate not all can be in time.  Oldest first,
 * each would wait until it hardly can be any more; the smallest first, the room
 * that is left serves the most callers.
 */
static void
order_beyond_rate(struct cell_sched *s)
{
	uint32_t rank;

	if (!CELL_USES_SMALLEST)
		return;
	for (rank = 0; rank < RANKS; rank++) {
		g_ptr_array_sort(s->buckets[BEYOND_RATE][rank], by_work);
		g_ptr_array_sort(s->buckets[BEYOND_RATE + 1][rank], by_work);
	}
}

static void
list_open(struct cell_sched *s, ogl_time now)
{
	GHashTableIter it;
	gpointer p;

	s->pass++;
	s->room_cpu = 0;
	g_ptr_array_set_size(s->open, 0);
	g_hash_table_iter_init(&it, cell_fleet_workers(s->parts.fleet));
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct cell_worker *w = p;

		if (!cell_worker_open(w, now))
			continue;
		w->open_pass = s->pass;
		w->reserved = 0;
		s->room_cpu += room_of(w).cpu_milli;
		g_ptr_array_add(s->open, w);
	}
	g_ptr_array_sort(s->open, by_room);
}

/* Once many in a row found no room, those behind them hardly will; they are
 * looked at when the first ones have gone. */
static void
pass_bucket(struct cell_sched *s, uint32_t rank, unsigned stand, ogl_time now)
{
	GPtrArray *a = s->buckets[stand][rank];
	unsigned misses = 0;
	guint i;

	for (i = 0; i < a->len && misses < MISSES_MAX; i++) {
		struct cell_stage *st = a->pdata[i];

		switch (place_stage(
		    s, st, queue_of(s, st->job), rank, stand, now)) {
		case PLACED:
			misses = 0;
			break;
		case MISSED:
			if (st->wait_reason == CELL_WAIT_ROOM)
				s->missed_at = now;
			misses++;
			break;
		case LIMITED:
		default:
			break;
		}
	}
}

void
cell_sched_pass(struct cell_sched *s, ogl_time now)
{
	size_t waiting = cell_sched_waiting(s);
	unsigned stand;
	uint32_t rank;

	if (waiting == 0 || cell_fleet_wants_proof(s->parts.fleet))
		return;
	/* A new owner may have read the jobs before the configuration; without
	 * it no team's limit is known. */
	if (s->config == NULL)
		return;
	s->pass_at = now + PASS_GAP + (ogl_time)waiting * PASS_STAGE;
	s->reserves = 0;
	list_open(s, now);
	fill_buckets(s, now);
	order_beyond_rate(s);
	for (stand = 0; stand < STANDINGS; stand += 3) {
		pass_bucket(s, 0, stand, now);
		pass_bucket(s, 0, stand + 1, now);
		for (rank = 1; rank < RANKS; rank++)
			pass_bucket(s, rank, stand, now);
		for (rank = 1; rank < RANKS; rank++)
			pass_bucket(s, rank, stand + 1, now);
		for (rank = 0; rank < RANKS; rank++)
			pass_bucket(s, rank, stand + 2, now);
	}
}

static bool
is_room(const struct cell_sched *s, const struct cell_stage *st,
    const struct cell_worker *w, ogl_time now)
{
	struct ogl_res need = cell_stage_need(st);

	return cell_worker_open(w, now) && suits(st, w) &&
	       cell_worker_fits(w, &need) &&
	       cell_fleet_pace(s->parts.fleet, w) < PACE_SLOW;
}

bool
cell_sched_has_room(struct cell_sched *s, struct cell_stage *st,
    const struct cell_worker *other, ogl_time now)
{
	bool policy = queue_of(s, st->job)->policy.needed;
	const struct team_state *t = state_of(s, st->job->def->team);
	GHashTableIter it;
	gpointer p;

	if (now - s->missed_at < SPARE_FOR || now - t->limited_at < SPARE_FOR)
		return false;
	g_hash_table_iter_init(&it, cell_fleet_workers(s->parts.fleet));
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct cell_worker *w = p;

		if (w == other || !is_room(s, st, w, now))
			continue;
		if (!policy || cell_advice_approval(st, w) != NULL)
			return true;
	}
	return false;
}

bool
cell_sched_due(const struct cell_sched *s, ogl_time now)
{
	return now >= s->pass_at;
}
