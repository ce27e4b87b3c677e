/*
 * Keeps the jobs of one shard: accepts and stores them, starts their tasks
 * through the scheduler, applies the ends of runs and answers calls.
 *
 * Jobs are read from the store when the shard is taken over (loader.c), and
 * workers from the platform's list (roster.c).
 *
 * A job accepted by an earlier owner may have tasks running that no worker has
 * reported to this owner yet.  Its tasks are started only once the owner is
 * settled: every worker has sent its whole lists under this epoch, or can no
 * longer run anything.  Jobs accepted by this owner are started at once.
 *
 * The end of a run that a worker lists is applied at once, stored with the
 * job's progress, and only then acknowledged to the worker: until it is stored,
 * a successor must find it in the worker's list, or the task would run again.
 * For the same reason callers are told that a job is over only once its end is
 * stored.
 */

#include <string.h>

#include "owner_impl.h"
#include "straggler.h"

/* Ended jobs are kept this much longer than status_ms, which callers are
 * promised. */
#define ENDED_JOB_MARGIN_MS 20000
#define SWEEP_INTERVAL (500 * OGL_MS)
/* A gang of which only some members run is stopped if it is still incomplete
 * after this time. */
#define GANG_REPAIR_DELAY (600 * OGL_MS)
#define STRAGGLER_INTERVAL (200 * OGL_MS)
/* The refused fraction falls faster for the link than for the processor, as the
 * link's queue empties soon once nothing is added to it. */
#define LINK_REFUSAL_FALL_PER_SECOND 0.4

/* ---- events of the fleet -------------------------------------------- */

static void
on_answered(void *arg, struct cell_worker *w, ogl_time now)
{
	struct cell_owner *o = arg;

	cell_held_release(o->held, w->id, now);
	o->pass_needed = true;
}

static void
on_fleet_outranked(void *arg, ogl_time now)
{
	struct cell_owner *o = arg;

	o->events.outranked(o->events.arg, now);
}

static void
on_room_freed(void *arg, ogl_time now)
{
	struct cell_owner *o = arg;

	(void)now;
	o->pass_needed = true;
}

/* ---- callbacks of the journal --------------------------------------- */

static void
on_ownership_lost(void *arg, ogl_time now)
{
	struct cell_owner *o = arg;

	o->events.outranked(o->events.arg, now);
}

/* ---- callbacks of advice -------------------------------------------- */

static void
send_ask(void *arg, const char *addr, const Ogl__CellAsk *ask)
{
	struct cell_owner *o = arg;

	o->events.ask(o->events.arg, addr, ask);
}

static struct cell_stage *
stage_of(void *arg, const char *id, uint32_t occurrence, uint32_t step)
{
	struct cell_task_name name = {.occurrence = occurrence, .step = step};

	g_strlcpy(name.id, id, sizeof name.id);
	return cell_owner_find_stage(arg, &name);
}

static struct cell_worker *
worker_of(void *arg, const char *id)
{
	struct cell_owner *o = arg;

	return cell_fleet_worker(o->fleet, id);
}

static void
on_advice_answer(void *arg, struct cell_stage *s, ogl_time now)
{
	struct cell_owner *o = arg;

	(void)s;
	(void)now;
	o->pass_needed = true;
}

/* ---- callbacks of escrow -------------------------------------------- */

static void
send_part(void *arg, uint32_t to_shard, const Ogl__CellPart *m)
{
	struct cell_owner *o = arg;

	o->events.part(o->events.arg, to_shard, m);
}

static double
fraction(uint32_t used, uint32_t max)
{
	return max > 0 ? (double)used / max : 0;
}

static uint32_t
ppm_of_limit(
    const struct cell_owner *o, const char *team, const struct ogl_res *used)
{
	const struct cell_team *t =
	    o->config != NULL ? cell_config_team(o->config, team) : NULL;
	double largest;

	if (t == NULL)
		return 0;
	largest = fraction(used->cpu_milli, t->max.cpu_milli);
	largest = MAX(largest, fraction(used->mem_mb, t->max.mem_mb));
	largest = MAX(largest, fraction(used->accel, t->max.accel));
	return (uint32_t)(MIN(largest, 1.0) * CELL_PART_WHOLE_PPM);
}

static uint32_t
team_used_ppm(void *arg, const char *team)
{
	const struct cell_owner *o = arg;
	struct ogl_res used = cell_fleet_team_used(o->fleet, team);

	return ppm_of_limit(o, team, &used);
}

static uint32_t
team_running_ppm(void *arg, const char *team)
{
	const struct cell_owner *o = arg;
	struct ogl_res used = cell_fleet_team_running(o->fleet, team);

	return ppm_of_limit(o, team, &used);
}

static void
on_part_granted(void *arg, ogl_time now)
{
	struct cell_owner *o = arg;

	(void)now;
	o->pass_needed = true;
}

/* ---- callbacks of the relay ----------------------------------------- */

static void
send_orders(void *arg, const char *to, const Ogl__CellOrders *m)
{
	struct cell_owner *o = arg;

	o->events.orders(o->events.arg, to, m);
}

/* ---- the list of workers -------------------------------------------- */

static void
on_loader_outranked(void *arg, ogl_time now)
{
	struct cell_owner *o = arg;

	o->events.outranked(o->events.arg, now);
}

/* A worker's next incarnation may be in another rack, and so in another
 * shard. */
static void
on_worker_entry(
    void *arg, const char *id, const struct cell_worker_entry *e, ogl_time now)
{
	struct cell_owner *o = arg;
	bool ours = e != NULL && cell_shard_of_worker(e->rack, id,
				     o->params.shards) == o->params.shard;

	cell_fleet_update_entry(o->fleet, id, ours ? e : NULL, now);
}

/* Workers that are not on the complete list have been removed from it. */
static void
on_list_read(void *arg, GHashTable *listed, ogl_time now)
{
	struct cell_owner *o = arg;
	GList *ids = g_hash_table_get_keys(cell_fleet_workers(o->fleet));
	GList *at;

	for (at = ids; at != NULL; at = at->next) {
		if (!g_hash_table_contains(listed, at->data))
			cell_fleet_update_entry(o->fleet, at->data, NULL, now);
	}
	g_list_free(ids);
}

/* ---- setup and teardown --------------------------------------------- */

static void
job_free(void *p)
{
	cell_job_free(p);
}

struct cell_owner *
cell_owner_init(const struct cell_ops *ops, const struct cell_limits *limits,
    const struct cell_owner_events *events,
    const struct cell_owner_params *params)
{
	struct cell_owner *o = g_new0(struct cell_owner, 1);
	struct cell_fleet_events fleet_events = {cell_owner_run_ended,
	    cell_owner_start_refused, cell_owner_run_found,
	    cell_owner_end_found, cell_owner_run_started,
	    cell_owner_ends_processed, on_answered, on_fleet_outranked,
	    on_room_freed, o};
	struct cell_advice_events advice_events = {
	    send_ask, stage_of, worker_of, on_advice_answer, o};
	struct cell_sched_parts sched_parts = {.ops = ops,
	    .next_run = cell_owner_next_run,
	    .started = cell_owner_task_started,
	    .arg = o};
	struct cell_loader_events loader_events = {
	    on_loader_outranked, cell_owner_loaded, o};
	struct cell_roster_events roster_events = {
	    on_worker_entry, on_list_read, o};
	struct cell_escrow_events escrow_events = {
	    send_part, team_used_ppm, team_running_ppm, on_part_granted, o};
	struct cell_relay_events relay_events = {send_orders, o};

	o->ops = ops;
	o->params = *params;
	o->limits = limits;
	o->events = *events;
	o->relay = cell_relay_init(ops, params->link_kbps, &relay_events);
	o->worker_ops = *ops;
	cell_relay_set_ops(o->relay, &o->worker_ops);
	o->link_load.fall_per_second = LINK_REFUSAL_FALL_PER_SECOND;
	o->jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
	o->unreadable =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	o->admission = cell_admission_init();
	o->refusals = cell_refusals_init();
	o->account = cell_account_init(ops);
	o->journal =
	    cell_journal_init(ops, params->shard, on_ownership_lost, o);
	o->watch = cell_watch_init(&(struct cell_watch_events){
	    .answer = cell_owner_reply_state, .arg = o});
	o->fleet = cell_fleet_init(&o->worker_ops, limits, &fleet_events);
	o->held = cell_held_init(cell_owner_find_stage, o);
	o->learned = cell_learned_init(ops);
	o->advice = cell_advice_init(ops, &advice_events);
	o->loader = cell_loader_init(
	    ops, params->shard, params->link_kbps, &loader_events);
	o->roster = cell_roster_init(&o->worker_ops, &roster_events);
	o->escrow =
	    cell_escrow_init(params->shard, params->shards, &escrow_events);
	sched_parts.learned = o->learned;
	sched_parts.escrow = o->escrow;
	sched_parts.fleet = o->fleet;
	sched_parts.advice = o->advice;
	o->sched = cell_sched_init(&sched_parts);
	o->stall = cell_stall_init(ops, o->sched);
	return o;
}

void
cell_owner_end(struct cell_owner *o)
{
	cell_owner_close(o, 0);
	cell_stall_end(o->stall);
	cell_sched_end(o->sched);
	cell_escrow_end(o->escrow);
	cell_advice_end(o->advice);
	cell_learned_end(o->learned);
	cell_held_end(o->held);
	cell_relay_end(o->relay);
	cell_fleet_end(o->fleet);
	cell_roster_end(o->roster);
	cell_loader_end(o->loader);
	cell_journal_end(o->journal);
	cell_watch_end(o->watch);
	g_hash_table_unref(o->jobs);
	g_hash_table_unref(o->unreadable);
	cell_admission_end(o->admission);
	cell_refusals_end(o->refusals);
	cell_account_end(o->account);
	cell_config_unref(o->config);
	g_free(o);
}

void
cell_owner_prepare(struct cell_owner *o, ogl_time store_took, ogl_time now)
{
	if (o->phase == PHASE_CLOSED)
		cell_loader_prepare(o->loader, store_took, now);
}

bool
cell_owner_prepared(const struct cell_owner *o, ogl_time now)
{
	return cell_loader_prepared(o->loader, now);
}

void
cell_owner_open(
    struct cell_owner *o, uint64_t epoch, ogl_time store_took, ogl_time now)
{
	o->phase = PHASE_LOADING;
	o->epoch = epoch;
	o->store_took = store_took;
	o->settled = false;
	o->holds_tasks = true;
	o->opened_at = now;
	cell_loader_open(o->loader, epoch, store_took, now);
	cell_roster_open(o->roster, now);
}

/* The next owner needs the connections that the workers accept. */
static void
release_workers(struct cell_owner *o)
{
	GHashTableIter it;
	gpointer p;

	if (o->ops->release_worker == NULL)
		return;
	g_hash_table_iter_init(&it, cell_fleet_workers(o->fleet));
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct cell_worker *w = p;

		if (w->addr != NULL)
			o->ops->release_worker(o->ops->ctx, w->addr);
	}
}

void
cell_owner_close(struct cell_owner *o, ogl_time now)
{
	if (o->phase == PHASE_CLOSED)
		return;
	o->phase = PHASE_CLOSED;
	cell_loader_close(o->loader);
	cell_roster_close(o->roster);
	cell_journal_close(o->journal, now);
	cell_account_clear(o->account);
	cell_held_clear(o->held);
	release_workers(o);
	cell_fleet_close(o->fleet);
	cell_relay_close(o->relay, now);
	cell_escrow_close(o->escrow);
	cell_advice_clear(o->advice);
	cell_sched_clear(o->sched);
	cell_learned_clear(o->learned);
	cell_refusals_clear(o->refusals);
	g_hash_table_remove_all(o->jobs);
	g_hash_table_remove_all(o->unreadable);
	cell_watch_clear(o->watch);
}

void
cell_owner_set_config(struct cell_owner *o, struct cell_config *c)
{
	cell_config_ref(c);
	cell_config_unref(o->config);
	o->config = c;
	cell_sched_set_config(o->sched, c);
	o->pass_needed = true;
}

void
cell_owner_set_zones(
    struct cell_owner *o, const struct cell_zones *z, ogl_time now)
{
	cell_fleet_set_zones(o->fleet, z, now);
	o->pass_needed = true;
}

/* ---- messages from other nodes -------------------------------------- */

void
cell_owner_advice(struct cell_owner *o, const Ogl__CellAdvice *a, ogl_time now)
{
	if (o->phase == PHASE_SERVING)
		cell_advice_answer(o->advice, a, now);
}

void
cell_owner_part(struct cell_owner *o, const Ogl__CellPart *m, ogl_time now)
{
	if (o->phase == PHASE_SERVING)
		cell_escrow_receive(o->escrow, m, now);
}

void
cell_owner_advice_node(
    struct cell_owner *o, const char *addr, bool leaving, ogl_time now)
{
	if (leaving)
		cell_advice_remove_node(o->advice, addr);
	else
		cell_advice_update_node(o->advice, addr, now);
}

void
cell_owner_relay_node(
    struct cell_owner *o, const char *addr, bool leaving, ogl_time now)
{
	cell_relay_update_node(o->relay, addr, leaving, now);
}

void
cell_owner_order_answers(
    struct cell_owner *o, const Ogl__CellOrderAnswers *m, ogl_time now)
{
	size_t i;

	for (i = 0; i < m->n_answers; i++)
		cell_relay_answer(o->relay, m->answers[i], now);
}

/* ---- periodic work -------------------------------------------------- */

static void
clear_assumed_job(struct cell_owner *o, struct cell_job *j, ogl_time now)
{
	guint i;
	size_t k;

	for (i = 0; i < j->occurrences->len; i++) {
		struct cell_occurrence *oc = j->occurrences->pdata[i];

		for (k = 0; k < j->def->n_steps; k++)
			cell_owner_clear_assumed_unless_held(
			    o, &oc->stages[k], now);
	}
}

/* Whether no start of earlier owners can have an effect that is not known. */
static bool
earlier_starts_known(const struct cell_owner *o)
{
	return cell_fleet_old_leases_expired(o->fleet) &&
	       cell_fleet_settled(o->fleet);
}

/* Once the lists of every worker have been read, or it can no longer run
 * anything, tasks of jobs that an earlier owner accepted may be started. */
static void
settle(struct cell_owner *o, ogl_time now)
{
	GHashTableIter it;
	gpointer p;
	char text[64];

	if (o->holds_tasks && earlier_starts_known(o))
		cell_held_release_all(o->held, now);
	if (o->settled || !cell_roster_loaded(o->roster) ||
	    !cell_fleet_settled(o->fleet))
		return;
	o->settled = true;
	o->pass_needed = true;
	g_hash_table_iter_init(&it, o->jobs);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct cell_job *j = p;

		j->settled = true;
		clear_assumed_job(o, j, now);
		if (!j->ended_here)
			cell_owner_clear_stopping(o, j);
	}
	g_snprintf(text, sizeof text, "shard=%u epoch=%" G_GUINT64_FORMAT,
	    o->params.shard, o->epoch);
	o->ops->log(o->ops->ctx, "owner", "settled", text);
}

/* Stops the remaining members of a gang if only some were found running, or if
 * one was lost without the others noticing, so that the whole gang is started
 * again. */
static void
repair_gang(struct cell_owner *o, struct cell_stage *st, ogl_time now)
{
	uint64_t run = 0;
	bool incomplete = false;
	uint32_t i;

	if (!st->def->gang || st->nactive == 0 || st->ndone > 0)
		return;
	for (i = 0; i < st->ntasks; i++) {
		const struct cell_run *r = st->tasks[i].active;

		if (r == NULL || (run != 0 && r->number != run) ||
		    r->state == CELL_RUN_STOPPING) {
			incomplete = true;
			continue;
		}
		if (now - r->created_at < GANG_REPAIR_DELAY)
			return;
		run = r->number;
	}
	if (!incomplete)
		return;
	for (i = 0; i < st->ntasks; i++) {
		struct cell_run *r = st->tasks[i].active;

		if (r != NULL && r->state != CELL_RUN_STOPPING)
			cell_fleet_stop(o->fleet, r, now);
	}
}

static void
sweep_job(struct cell_owner *o, struct cell_job *j, ogl_time now)
{
	guint i;
	size_t k;

	if (j->def->repeats > 0)
		cell_owner_begin_due_occurrences(o, j);
	if (!j->settled)
		return;
	if (o->holds_tasks)
		clear_assumed_job(o, j, now);
	for (i = 0; i < j->occurrences->len; i++) {
		struct cell_occurrence *oc = j->occurrences->pdata[i];

		for (k = 0; k < j->def->n_steps; k++)
			repair_gang(o, &oc->stages[k], now);
	}
}

static void
on_forgotten(
    void *arg, uint64_t tag, enum cell_store_result result, ogl_time now)
{
	struct store_wait *wait = arg;

	(void)tag;
	(void)now;
	if (result == CELL_STORED) {
		struct cell_job *j = cell_owner_job(wait->owner, wait->id);

		if (j != NULL && j->drop_records) {
			cell_journal_unmark(wait->owner->journal, j);
			g_hash_table_remove(wait->owner->jobs, wait->id);
		}
	}
	g_free(wait->id);
	g_free(wait);
}

static void
forget_ended(struct cell_owner *o, struct cell_job *j, ogl_time now)
{
	uint64_t keep_ms = o->limits->status_ms + ENDED_JOB_MARGIN_MS;

	if (j->drop_records ||
	    j->ended_ms + keep_ms > (uint64_t)(o->wall / OGL_MS))
		return;
	j->drop_records = true;
	cell_owner_job_changed(o, j, false, now);
	cell_owner_call_after_store(o, j->id, on_forgotten, 0);
}

static void
sweep(struct cell_owner *o, ogl_time now)
{
	GList *all, *at;

	if (now < o->next_sweep_at)
		return;
	o->next_sweep_at = now + SWEEP_INTERVAL;
	cell_admission_sweep(o->admission, now);
	all = g_hash_table_get_values(o->jobs);
	for (at = all; at != NULL; at = at->next) {
		struct cell_job *j = at->data;

		if (!cell_job_state_ended(j->state)) {
			sweep_job(o, j, now);
			continue;
		}
		if (cell_fleet_old_leases_expired(o->fleet))
			cell_owner_clear_stopping(o, j);
		forget_ended(o, j, now);
	}
	g_list_free(all);
	if (o->settled && earlier_starts_known(o))
		o->holds_tasks = false;
	o->pass_needed = true;
}

static void
move_stragglers(struct cell_owner *o, ogl_time now)
{
	if (now < o->next_straggler_check || o->config == NULL)
		return;
	o->next_straggler_check = now + STRAGGLER_INTERVAL;
	cell_straggler_step(o->fleet, o->sched, now);
}

void
cell_owner_set_announced(struct cell_owner *o, bool announced)
{
	o->announced = announced;
}

/* The periodic work of an owner that has taken its shard over. */
static void
serve(struct cell_owner *o, ogl_time confirmed, bool may_act, ogl_time now)
{
	if (cell_roster_loaded(o->roster) &&
	    cell_fleet_record_outdated(o->fleet))
		cell_owner_store_workers(o, now);
	cell_journal_step(o->journal, now);
	cell_watch_step(o->watch, now);
	if (!may_act)
		return;
	cell_fleet_confirm(o->fleet, confirmed);
	if (!o->announced)
		return;
	cell_fleet_step(o->fleet, now);
	cell_advice_step(o->advice, now);
	cell_escrow_step(o->escrow, now);
	settle(o, now);
	sweep(o, now);
	move_stragglers(o, now);
	if (o->pass_needed && cell_sched_due(o->sched, now)) {
		o->pass_needed = false;
		cell_sched_pass(o->sched, now);
	}
}

void
cell_owner_step(struct cell_owner *o, ogl_time confirmed, bool may_act,
    ogl_time now, ogl_time wall)
{
	guint workers = g_hash_table_size(cell_fleet_workers(o->fleet));

	o->wall = wall;
	o->confirmed = confirmed;
	cell_loader_step(o->loader, now);
	cell_roster_step(o->roster, now);
	cell_relay_step(o->relay, workers, now);
	cell_journal_set_slow_link(o->journal, cell_relay_active(o->relay));
	cell_sched_set_slow_link(o->sched, cell_relay_active(o->relay));
	if (o->phase == PHASE_SERVING) {
		serve(o, confirmed, may_act, now);
		cell_stall_step(o->stall, o->jobs, now);
	}
	cell_relay_flush(o->relay, now);
}

static void
log_load(
    struct cell_owner *o, const char *resource, bool recovered, ogl_time late)
{
	char text[160];

	g_snprintf(text, sizeof text,
	    "shard=%u epoch=%" G_GUINT64_FORMAT
	    " of=%s late_ms=%" G_GINT64_FORMAT " jobs=%u",
	    o->params.shard, o->epoch, resource, late / OGL_MS,
	    g_hash_table_size(o->jobs));
	o->ops->log(o->ops->ctx, "owner",
	    recovered ? "load_carried" : "load_too_high", text);
}

static void
step_load(struct cell_owner *o, struct cell_load *l, const char *resource,
    ogl_time due, ogl_time now)
{
	bool was_refusing = cell_load_refusing(l);

	cell_load_step(l, due, now);
	if (was_refusing != cell_load_refusing(l) && o->phase == PHASE_SERVING)
		log_load(o, resource, was_refusing, now - due);
}

void
cell_owner_measure_load(struct cell_owner *o, ogl_time due, ogl_time now)
{
	ogl_time delay = cell_relay_min_delay(o->relay, now);

	step_load(o, &o->load, "processor", due, now);
	step_load(o, &o->link_load, "link", now - delay, now);
}

void
cell_owner_add_refusals(struct cell_owner *o, Ogl__CellPong *pong, ogl_time now)
{
	if (o->phase == PHASE_SERVING)
		cell_refusals_list(o->refusals, pong, now);
}

bool
cell_owner_asks_first(const struct cell_owner *o)
{
	return o->phase == PHASE_SERVING && cell_owner_overloaded(o);
}

bool
cell_owner_wants_confirmation(const struct cell_owner *o, ogl_time now)
{
	return o->phase == PHASE_SERVING &&
	       cell_fleet_wants_confirmation(o->fleet, now);
}

void
cell_owner_require_confirmation(struct cell_owner *o, ogl_time now)
{
	cell_fleet_require_confirmation(o->fleet, now);
}

ogl_time
cell_owner_wake(const struct cell_owner *o)
{
	ogl_time relay = cell_relay_wake(o->relay);

	if (o->phase != PHASE_SERVING)
		return relay;
	relay = MIN(relay, cell_watch_wake(o->watch));
	return MIN(relay, cell_journal_wake(o->journal));
}

bool
cell_owner_idle(const struct cell_owner *o)
{
	return o->phase == PHASE_CLOSED || cell_journal_idle(o->journal);
}
