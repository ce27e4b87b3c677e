/*
 * Keeps teams within their limits, and asks for larger parts of them.
 */

#include <string.h>

#include "ablate.h"
#include "sched_impl.h"

/* Fraction of its limit that a team may use for ranks other than 0; otherwise
 * its short urgent work would wait for its own long tasks to end. */
#define LOWER_RANK_LIMIT_SHARE 0.93
/* When a team's limit refuses a stage of rank 0, other ranks of the team are
 * not started for this long. */
#define LOWER_RANKS_PAUSE (150 * OGL_MS)

/* Whether the need fits into the share of the limit.  A step that alone needs
 * more than the share may use the whole limit. */
static bool
within_limit(uint32_t used, uint64_t need, uint32_t max, double share)
{
	uint64_t limit = (uint64_t)(max * share);

	if (need > limit)
		limit = max;
	return max == 0 || used + need <= limit;
}

static uint32_t
scale_limit(uint32_t max, uint32_t part_ppm)
{
	if (max == 0)
		return 0;
	return MAX(
	    (uint32_t)((uint64_t)max * part_ppm / CELL_PART_WHOLE_PPM), 1);
}

/* Resources that the team may use in this shard; 0: no limit. */
static struct ogl_res
shard_limit(const struct cell_sched *s, const struct cell_team *t)
{
	uint32_t part_ppm = cell_escrow_part(s->parts.escrow, t->name);
	struct ogl_res max = {scale_limit(t->max.cpu_milli, part_ppm),
	    scale_limit(t->max.mem_mb, part_ppm),
	    scale_limit(t->max.accel, part_ppm)};

	return max;
}

/* Millionths of the whole limit that are needed; more than CELL_PART_WHOLE_PPM
 * if the whole limit is not enough. */
static double
ppm_needed(uint32_t used, uint64_t need, uint32_t max, double share)
{
	uint64_t limit = (uint64_t)(max * share);

	if (max == 0)
		return 0;
	if (need > limit)
		limit = max;
	return (double)(used + need) / (double)limit * CELL_PART_WHOLE_PPM;
}

static double
ppm_needed_for_tasks(const struct cell_team *t, const struct ogl_res *used,
    const struct ogl_res *need, uint64_t tasks, double share)
{
	double cpu = ppm_needed(
	    used->cpu_milli, need->cpu_milli * tasks, t->max.cpu_milli, share);
	double mem = ppm_needed(
	    used->mem_mb, need->mem_mb * tasks, t->max.mem_mb, share);
	double accel =
	    ppm_needed(used->accel, need->accel * tasks, t->max.accel, share);

	return MAX(cpu, MAX(mem, accel));
}

/* Asks for what all waiting tasks of the stage need or, if that exceeds the
 * whole limit, for what the next start needs. */
static void
request_part(struct cell_sched *s, const struct cell_stage *st,
    const struct cell_team *t, const struct ogl_res *used, uint32_t tasks,
    uint32_t rank, double share, ogl_time now)
{
	struct ogl_res need = cell_stage_need(st);
	double least_ppm = ppm_needed_for_tasks(t, used, &need, tasks, share);
	double want_ppm =
	    ppm_needed_for_tasks(t, used, &need, cell_stage_waiting(st), share);
	struct cell_part_need part = {.rank = rank};

	if (least_ppm > CELL_PART_WHOLE_PPM)
		return;
	if (want_ppm > CELL_PART_WHOLE_PPM)
		want_ppm = least_ppm;
	part.least = (uint32_t)least_ppm + 1;
	part.wanted = (uint32_t)want_ppm + 1;
	cell_escrow_request(s->parts.escrow, t->name, &part, now);
}

struct team_state *
cell_sched_team_state_of(struct cell_sched *s, const char *team)
{
	struct team_state *t = g_hash_table_lookup(s->team_states, team);

	if (t == NULL) {
		t = g_new0(struct team_state, 1);
		t->urgent_limited_at = CELL_LONG_AGO;
		t->limited_at = CELL_LONG_AGO;
		g_hash_table_insert(s->team_states, g_strdup(team), t);
	}
	if (t->pass != s->pass) {
		t->pass = s->pass;
		memset(t->nlimited, 0, sizeof t->nlimited);
		t->waiting_gang_rank = RANKS;
	}
	return t;
}

/*
 * Whether other ranks wait because the team's limit refused its urgent work
 * (rank 0).  Otherwise the team's long tasks would use any part of the limit
 * that becomes free, and its short urgent tasks would wait for seconds although
 * the cell has room.
 */
static bool
waits_for_urgent(struct cell_sched *s, const struct cell_stage *st,
    uint32_t rank, ogl_time now)
{
	return CELL_USES_URGENT && rank > 0 &&
	       now - cell_sched_team_state_of(s, st->job->def->team)
			   ->urgent_limited_at <
		   LOWER_RANKS_PAUSE;
}

static bool
uses_half(uint32_t used, uint32_t max)
{
	return max > 0 && used >= max / 2;
}

static bool
team_uses_half(const struct ogl_res *used, const struct ogl_res *max)
{
	return uses_half(used->cpu_milli, max->cpu_milli) ||
	       uses_half(used->mem_mb, max->mem_mb) ||
	       uses_half(used->accel, max->accel);
}

bool
cell_sched_team_limit_allows(struct cell_sched *s, const struct cell_stage *st,
    uint32_t tasks, uint32_t rank, ogl_time now)
{
	const struct cell_team *t =
	    cell_config_team(s->config, st->job->def->team);
	struct ogl_res used =
	    cell_fleet_team_used(s->parts.fleet, st->job->def->team);
	struct ogl_res need = cell_stage_need(st);
	bool ranks_equal;
	double share;
	struct ogl_res max;

	if (t == NULL)
		return true;
	ranks_equal = s->whole_limit && !team_uses_half(&used, &t->max);
	share = rank == 0 || ranks_equal || !CELL_USES_LIMIT_PART
		    ? 1.0
		    : LOWER_RANK_LIMIT_SHARE;
	if ((!ranks_equal && waits_for_urgent(s, st, rank, now)) ||
	    rank > cell_sched_team_state_of(s, st->job->def->team)
		       ->waiting_gang_rank)
		return false;
	max = shard_limit(s, t);
	if (within_limit(used.cpu_milli, (uint64_t)need.cpu_milli * tasks,
		max.cpu_milli, share) &&
	    within_limit(used.mem_mb, (uint64_t)need.mem_mb * tasks, max.mem_mb,
		share) &&
	    within_limit(
		used.accel, (uint64_t)need.accel * tasks, max.accel, share))
		return true;
	request_part(s, st, t, &used, tasks, rank, share, now);
	return false;
}

/* Whether the gang waits only because the team has other tasks running. */
static bool
limited_by_others(uint32_t used, uint64_t need, uint32_t max)
{
	return max > 0 && need <= max && used + need > max;
}

/* A team whose gang blocks lower ranks may have less than half of its limit in
 * use only for UNDERUSE_TIME_MAX. */
static bool
may_underuse(struct team_state *t, const struct ogl_res *used,
    const struct ogl_res *max, ogl_time now)
{
	if (team_uses_half(used, max)) {
		t->underused_since = 0;
		return true;
	}
	if (t->underused_since == 0)
		t->underused_since = now;
	return now - t->underused_since < UNDERUSE_TIME_MAX;
}

/*
 * Whether lower ranks of the team wait until the gang fits into the limit.
 * They don't if this shard has only a part of the limit: work of the team in
 * other shards is not known here.
 */
bool
cell_sched_blocks_lower_ranks(struct cell_sched *s, const struct cell_stage *st,
    struct team_state *state, ogl_time now)
{
	const char *team = st->job->def->team;
	const struct cell_team *t = cell_config_team(s->config, team);
	struct ogl_res used = cell_fleet_team_used(s->parts.fleet, team);
	struct ogl_res need = cell_stage_need(st);
	uint64_t n = st->ntasks;

	if (t == NULL ||
	    cell_escrow_part(s->parts.escrow, team) != CELL_PART_WHOLE_PPM)
		return false;
	if (!limited_by_others(
		used.cpu_milli, n * need.cpu_milli, t->max.cpu_milli) &&
	    !limited_by_others(used.mem_mb, n * need.mem_mb, t->max.mem_mb) &&
	    !limited_by_others(used.accel, n * need.accel, t->max.accel))
		return false;
	return may_underuse(state, &used, &t->max, now);
}
