/*
 * The scheduler's state, and what its files use of each other.
 */

#ifndef OGL_CELL_SCHED_IMPL_H
#define OGL_CELL_SCHED_IMPL_H

#include "capacity.h"
#include "forecast.h"
#include "lanes.h"
#include "schedule.h"
#include "share.h"
#include "slots.h"

#define RANKS 4
/* Precedences are in time, late and too late, first for teams within their rate
 * and then for teams beyond it. */
#define PRECEDENCES 6
#define PRECEDENCE_TOO_LATE 2
#define PRECEDENCE_BEYOND_RATE 3 /* in time, but beyond the rate */
/* Fraction of the estimated remaining run time that counts for the precedence
 * of a stage.  Estimates are often off by a fifth, so a stage that would miss
 * its objective by less still counts as in time. */
#define ESTIMATE_FACTOR 0.7
/* A result later than this many times the objective is worthless. */
#define LATE_OBJECTIVES_MAX 3
/* How long the first closure of all workers is expected to last. */
#define FIRST_CLOSURE (5 * OGL_SEC)
/* A deadline is tight when the time to the objective is less than this many
 * times the estimated remaining run time. */
#define TIGHT_DEADLINE_FACTOR 2.0
/* A team whose gang waits for its limit may have more than half of the limit
 * unused for this long. */
#define UNDERUSE_TIME_MAX (1500 * OGL_MS)

/* State of a team that is kept between passes. */
struct team_state {
	ogl_time urgent_limited_at; /* last refusal of rank 0 by its limit */
	uint64_t pass;              /* pass of nlimited and waiting_gang_rank */
	unsigned nlimited[RANKS];   /* refused stages of each rank */
	ogl_time limited_at;        /* last refusal of any rank */
	/* Highest rank of a gang that waits in this pass for running tasks of
	 * the team to end.  Lower ranks are not started.  RANKS: no gang. */
	uint32_t waiting_gang_rank;
	/* Since when less than half of the limit is in use; 0: it is not. */
	ogl_time underused_since;
};

/* A usable worker and its free processors when the pass began. */
struct worker_room {
	struct cell_worker *worker;
	uint32_t cpu_milli;
};

struct cell_sched {
	struct cell_sched_parts parts;
	bool slow_link;
	struct cell_config *config;
	GQueue waiting[RANKS]; /* struct cell_stage */
	unsigned reserving_gangs;
	GHashTable *team_states; /* team -> struct team_state */
	struct cell_forecast *forecast;
	struct ogl_capacity *capacity;
	ogl_time picture_at; /* when it was last told of work and workers */
	double open_cores;   /* of all workers then */
	struct ogl_slots *slots;
	ogl_time no_lane_at;   /* last time that a question found no lane */
	ogl_time closed_since; /* no worker takes work since then; 0 some do */
	ogl_time last_closure; /* how long that lasted the last time */
	uint64_t pass;         /* number of the current pass */
	ogl_time passed_at;    /* time of the last pass; 0 none */
	ogl_time no_room_at;   /* last time that a stage found no room */
	/* Free capacity of schedulable workers when the pass began. */
	uint64_t free_cpu_milli;
	GPtrArray *schedulable; /* workers that take work, most room first */
	/* The same and those that only their health keeps from it. */
	GPtrArray *usable;
	GArray *by_room; /* scratch: struct worker_room */
	/* Overdue stages that this pass has not tried and is to try; first those
	 * whose last try is the oldest. */
	GPtrArray *skipped;
	/* Time of the advice service that overdue stages may use. */
	double overdue_credit_ms;
	/* scratch: the current stage is overdue, and may use the whole limit of
	 * its team, or any worker that it is admitted to */
	bool whole_limit;
	bool any_worker;
	GPtrArray *buckets[PRECEDENCES][RANKS]; /* struct cell_stage */
	GPtrArray *candidates; /* scratch: struct cell_worker */
	GPtrArray *expired;    /* scratch: allowed, with room, ticket expired */
	GPtrArray *chosen;     /* scratch: struct cell_worker, one per task */
	bool tight_deadline;   /* scratch: of the current stage */
	/* scratch: time to the objective of the current stage, as a multiple of
	 * its remaining run time */
	double slack;
	bool proven_only; /* scratch: the current task's last attempt */
	/* scratch: whether a proven worker may run the stage, and the stage that
	 * this was determined for in the current placement, NULL none */
	bool some_proven;
	const struct cell_stage *proven_for;
	/* scratch: an allowed worker has room, but already runs worker_max
	 * tasks of the stage */
	bool some_at_worker_max;
	ogl_time next_pass_at; /* earliest time of the next pass */
	struct ogl_lanes *lanes;
	struct ogl_share *share;
	GArray *share_items; /* scratch: struct ogl_share_item */
	ogl_time next_share_log_at;
	/* Stages with questions that wait for the end of the pass, in the order
	 * of the pass; those at the limit of their team apart. */
	GPtrArray *asking[PRECEDENCES];
	GPtrArray *asking_limited;
	struct cell_yield *yield;
};

/* ---- schedule.c ----------------------------------------------------- */

/* Result of an attempt to place a stage. */
enum cell_placing {
	CELL_PLACED,  /* a task was started, or the stage must not start yet */
	CELL_LIMITED, /* its team's limit is reached; other stages may fit */
	CELL_UNPLACED /* no room, or no valid ticket for any worker */
};

enum cell_placing cell_sched_place_stage(struct cell_sched *s,
    struct cell_stage *st, uint32_t rank, unsigned precedence, ogl_time now);

/* ---- sched_order.c -------------------------------------------------- */

const struct cell_queue *cell_sched_queue_of(
    const struct cell_sched *s, struct cell_job *j);
/* The configuration of the job's queue, looked up once per version. */
uint32_t cell_sched_rank_of(
    const struct cell_sched *s, const struct cell_stage *st);
double cell_sched_queue_objective_ms(
    const struct cell_queue *q, const struct cell_job *j);
unsigned cell_sched_precedence_of(
    const struct cell_queue *q, const struct cell_stage *st, ogl_time now);
bool cell_sched_deadline_is_tight(
    const struct cell_queue *q, const struct cell_stage *st, ogl_time now);
/* 0 in time, 1 late, PRECEDENCE_TOO_LATE; PRECEDENCE_BEYOND_RATE is added for
 * jobs beyond their team's rate. */
double cell_sched_slack(
    const struct cell_queue *q, const struct cell_stage *st, ogl_time now);
/* Time to the objective as a multiple of the estimated remaining run time. */
void cell_sched_order_beyond_rate(struct cell_sched *s);
void cell_sched_order_buckets(struct cell_sched *s, bool full, ogl_time now);
/* Orders the stages of each precedence and rank: by age or, while the cell is
 * full, by the shares of their teams. */

/* ---- sched_forecast.c ----------------------------------------------- */

void cell_sched_count_waiting_job(
    struct cell_sched *s, const struct cell_stage *st, unsigned precedence);
void cell_sched_count_first_start(
    struct cell_sched *s, struct cell_job *j, ogl_time now);

/* ---- sched_share.c -------------------------------------------------- */

void cell_sched_set_shares(struct cell_sched *s);
/* Takes the teams' weights from the configuration. */
bool cell_sched_is_full(const struct cell_sched *s, ogl_time now);
/* Whether a stage found no room, or a question no lane, lately. */
bool cell_sched_update_full(struct cell_sched *s, ogl_time now);
/* The same, and tells the shares. */
struct ogl_share_item cell_sched_share_item(
    struct cell_sched *s, struct cell_stage *st, ogl_time now);
void cell_sched_charge_starts(
    struct cell_sched *s, struct cell_stage *st, ogl_time now);
/* Charges the stage's team for the runs that were started now. */
void cell_sched_log_shares(struct cell_sched *s, ogl_time now);

/* ---- sched_limit.c -------------------------------------------------- */

struct team_state *cell_sched_team_state_of(
    struct cell_sched *s, const char *team);
bool cell_sched_team_limit_allows(struct cell_sched *s,
    const struct cell_stage *st, uint32_t tasks, uint32_t rank, ogl_time now);
bool cell_sched_blocks_lower_ranks(struct cell_sched *s,
    const struct cell_stage *st, struct team_state *state, ogl_time now);

/* ---- sched_place.c -------------------------------------------------- */

bool cell_sched_reserved_against(
    const struct cell_worker *w, const struct cell_stage *st, uint32_t rank);
/* Whether another gang of the same or a higher rank has reserved the worker. */
void cell_sched_list_candidates(struct cell_sched *s,
    const struct cell_stage *st, bool policy_needed, uint32_t rank,
    ogl_time now);
bool cell_sched_place_tasks(
    struct cell_sched *s, struct cell_stage *st, uint32_t rank, ogl_time now);
bool cell_sched_place_gang(
    struct cell_sched *s, struct cell_stage *st, uint32_t rank, ogl_time now);
void cell_sched_reserve_workers(struct cell_sched *s, struct cell_stage *st,
    uint32_t rank, bool policy_needed);

/* ---- sched_overdue.c ------------------------------------------------ */

void cell_sched_update_idle(struct cell_stage *st, ogl_time now);
/* To be called in each pass for each waiting stage. */
bool cell_sched_overdue(const struct cell_stage *st, ogl_time now);
void cell_sched_note_skipped(
    struct cell_sched *s, struct cell_stage *st, ogl_time now);
/* The pass does not try the stage. */
void cell_sched_try_skipped(struct cell_sched *s, ogl_time now);
/* Tries some overdue stages that the pass has skipped. */
bool cell_sched_place_overdue(struct cell_sched *s, struct cell_stage *st,
    bool policy_needed, uint32_t rank, ogl_time now);
/* Starts a task of the stage, or the gang, on any worker that it may run on.
 * Returns whether no task is left waiting. */
void cell_sched_charge_lane(struct cell_sched *s, double ms);
/* A question takes the advice service that long. */
void cell_sched_ask_overdue(struct cell_sched *s, ogl_time now);
/* Asks for overdue stages as far as their part of the service allows. */

/* ---- sched_ask.c ---------------------------------------------------- */

double cell_sched_ask_for_stage(
    struct cell_sched *s, struct cell_stage *st, ogl_time now);
/* Asks the question that the stage needs most; returns the time in ms that it
 * takes, 0 if none was asked. */

void cell_sched_request_advice(struct cell_sched *s, struct cell_stage *st,
    GPtrArray *asking, ogl_time now);
/* Asks about workers for the stage: at once for rank 0, otherwise at the end of
 * the pass if its turn comes among the stages in `asking`. */
void cell_sched_ask_waiting(struct cell_sched *s, ogl_time now);
/* Asks the questions of this pass for which there are lanes. */

/* ---- sched_yield.c -------------------------------------------------- */

struct cell_yield *cell_yield_init(void);
void cell_yield_end(struct cell_yield *y);
void cell_yield_open(struct cell_yield *y, ogl_time now);
/* Called when the shard has been taken over. */
void cell_sched_count_without_room(struct cell_sched *s, struct cell_stage *st,
    uint32_t rank, unsigned precedence);
/* The stage found no room in this pass. */
void cell_sched_yield(struct cell_sched *s, ogl_time now);
/* Stops runs for the stages that found no room in this pass. */

#endif
