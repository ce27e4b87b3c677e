/*
 * Starts and stops of runs, and their answers.
 *
 * A start that went unanswered may be carried out seconds later.  It is sent
 * again unchanged; the worker carries it out only once.  A start that is given
 * up is followed by a stop, and the fence of the worker's later calls is raised.
 * The run can't begin any more once the stop is answered, or the worker has
 * answered a hold under the higher fence without listing the run.
 */

#include <string.h>

#include "account.h"
#include "fleet_impl.h"

#define ORDER_RETRY_DELAY (100 * OGL_MS)
#define START_TRIES_MAX 3
/* A worker gets no work for this long after a start on it was given up, and for
 * twice the last time if the next one is given up as well. */
#define GIVEN_UP_PAUSE_MIN (3 * OGL_SEC)
#define GIVEN_UP_PAUSE_MAX (16 * OGL_SEC)
/* Runs of unknown jobs on a worker that are stopped at a time.  The next answers
 * list the others, and the worker gets no work until the last one is over. */
#define ORPHANS_MAX 100
/* Stops that a worker which answers no calls has under way: they would keep the
 * others waiting. */
#define STOPS_TO_SILENT_MAX 16

static void on_start(
    void *arg, const struct cell_order_answer *a, ogl_time now);
static void on_stop(void *arg, const struct cell_order_answer *a, ogl_time now);

static struct cell_fleet_call *
order_call_new(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	struct cell_fleet_call *c = g_new0(struct cell_fleet_call, 1);

	c->fleet = f;
	c->worker = r->worker;
	c->run = r;
	c->generation = f->generation;
	c->incarnation = r->worker->incarnation;
	c->fence = cell_fleet_fence(f, r->worker);
	c->sent_at = now;
	r->worker->calls_pending++;
	r->order_pending = true;
	return c;
}

static void
send_start(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	struct cell_worker *w = r->worker;
	struct cell_order o = {
	    .to = {w->addr, w->id, cell_fleet_fence(f, w)},
	    .task = r->name,
	    .run = r->number,
	    .spec = cell_bytes_str(r->spec),
	    .until_ms =
		cell_lease_extend(&w->lease, f->limits->lease_max_ms, now),
	    .checkpoint = r->checkpoint != NULL ? r->checkpoint : "",
	    .ticket = r->ticket,
	    .timeout_ms = ORDER_TIMEOUT_MS,
	};

	r->tries++;
	f->starts_pending++;
	r->start_sent = true;
	r->start_sent_at = now;
	r->start_fence = o.to.fence;
	w->last_start_fence = o.to.fence;
	f->ops->count(f->ops->ctx, "starts", 1);
	f->ops->start(
	    f->ops->backend_ctx, &o, on_start, order_call_new(f, r, now));
}

static void
send_stop(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	struct cell_worker *w = r->worker;
	struct cell_order o = {
	    .to = {w->addr, w->id, cell_fleet_fence(f, w)},
	    .task = r->name,
	    .run = r->number,
	    .timeout_ms = ORDER_TIMEOUT_MS,
	};

	f->stops_pending++;
	w->stops_pending++;
	f->ops->count(f->ops->ctx, "stops", 1);
	f->ops->stop(
	    f->ops->backend_ctx, &o, on_stop, order_call_new(f, r, now));
}

static bool
may_send_stop(const struct cell_fleet *f, const struct cell_worker *w)
{
	return f->stops_pending < CELL_ORDERS_PENDING_MAX &&
	       (w->failures == 0 || w->stops_pending < STOPS_TO_SILENT_MAX);
}

bool
cell_fleet_may_start(struct cell_fleet *f, uint32_t count)
{
	/* What has to start at once and is larger starts by itself. */
	bool may =
	    f->starts_pending == 0 ||
	    f->starts_pending + (uint64_t)count <= CELL_ORDERS_PENDING_MAX;

	f->starts_limited |= !may;
	return may;
}

/* To be called with each answer to a start. */
static void
start_answered(struct cell_fleet *f, ogl_time now)
{
	f->starts_pending--;
	if (!f->starts_limited)
		return;
	f->starts_limited = false;
	if (f->open)
		f->events.room_freed(f->events.arg, now);
}

void
cell_fleet_stop(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	r->state = CELL_RUN_STOPPING;
	r->retry_at = now;
	if (r->start_unanswered && r->running_since == 0 &&
	    r->start_fence == cell_fleet_fence(f, r->worker))
		cell_fleet_void_calls(f, r->worker);
	if (!r->order_pending && !r->stop_answered &&
	    may_send_stop(f, r->worker))
		send_stop(f, r, now);
}

void
cell_fleet_move(
    struct cell_fleet *f, struct cell_run *r, const char *why, ogl_time now)
{
	char text[256];

	g_snprintf(text, sizeof text,
	    "task=%u.%u.%u run=%" G_GUINT64_FORMAT
	    " worker=%s why=%s percent=%u pace=%.2f",
	    r->name.occurrence, r->name.step, r->name.index, r->number,
	    r->worker->id, why, r->percent, cell_fleet_pace(f, r->worker));
	cell_log_job(f->ops, "fleet", "run_moved", r->name.id,
	    r->stage != NULL ? r->stage->job->accepted : OGL_NEVER, text);
	f->ops->count(f->ops->ctx, "runs_moved", 1);
	cell_fleet_stop(f, r, now);
}

/* Removes a run whose start was certainly not carried out. */
static void
run_refused(struct cell_fleet *f, struct cell_run *r, enum cell_refusal why,
    ogl_time now)
{
	f->events.start_refused(f->events.arg, r, why, now);
	cell_fleet_run_remove(f, r, now);
}

/* The run's only start was certainly not carried out. */
static void
not_started(struct cell_fleet *f, struct cell_run *r, enum cell_refusal why,
    ogl_time now)
{
	if (r->state == CELL_RUN_STOPPING)
		cell_fleet_run_ended(f, r, CELL_END_STOPPED, NULL, now);
	else
		run_refused(f, r, why, now);
}

static void
start_refused(struct cell_fleet *f, struct cell_run *r, enum cell_refusal why,
    ogl_time now)
{
	if (why == CELL_REFUSED_FENCE) {
		f->events.outranked(f->events.arg, now);
		return;
	}
	/* The start was sent twice, and another copy was carried out.  If this
	 * answer counted as a refusal of the run, the task would run again
	 * after it was done.  The next answer to a hold shows its state. */
	if (r->running_since != 0)
		return;
	switch (why) {
	case CELL_REFUSED_INCARNATION:
		r->worker->fenced = false;
		r->worker->next_hold_at = now;
		if (r->start_unanswered)
			break;
		run_refused(f, r, why, now);
		return;
	case CELL_REFUSED_OLD:
		if (!r->start_unanswered)
			break;
		/* An earlier copy of this start was carried out; the next
		 * answer to a hold shows the state of the run. */
		r->start_unanswered = false;
		cell_fleet_run_started(f, r, now);
		r->worker->next_hold_no_wait = true;
		return;
	default:
		break;
	}
	if (r->start_unanswered)
		cell_fleet_stop(f, r, now);
	else
		not_started(f, r, why, now);
}

/* A worker that answers holds but no starts would get the same tasks again and
 * again. */
static void
avoid_worker(struct cell_worker *w, ogl_time now)
{
	ogl_time pause = GIVEN_UP_PAUSE_MIN << MIN(w->starts_given_up, 8);

	/* Several starts may be lost at one time, and with a silent worker all
	 * are. */
	if (now < w->cooldown_until || w->failures > 0)
		return;
	w->starts_given_up++;
	w->cooldown_until = now + MIN(pause, GIVEN_UP_PAUSE_MAX);
}

static void
start_lost(struct cell_fleet *f, struct cell_run *r, enum ogl_io_result io,
    ogl_time now)
{
	if (io == OGL_IO_LOST) {
		cell_fleet_count_call(
		    f, r->worker, OGL_HEALTH_START_UNANSWERED, false, now);
		r->start_unanswered = true;
		cell_fleet_remember_unanswered_start(r, now);
	}
	if (io == OGL_IO_NOT_SENT && !r->start_unanswered &&
	    r->running_since == 0) {
		r->worker->next_hold_no_wait = true;
		cell_fleet_count_failure(r->worker, now);
		r->worker->next_hold_at = now;
		not_started(f, r, CELL_REFUSED_BUSY, now);
		return;
	}
	if (r->state == CELL_RUN_STOPPING) {
		cell_fleet_stop(f, r, now);
	} else if (r->tries >= START_TRIES_MAX) {
		avoid_worker(r->worker, now);
		cell_fleet_stop(f, r, now);
	} else {
		r->retry_at = now;
	}
}

static void
start_confirmed(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	r->start_unanswered = false;
	r->worker->starts_given_up = 0;
	cell_fleet_run_started(f, r, now);
	if (r->state == CELL_RUN_STOPPING && !r->stop_answered &&
	    may_send_stop(f, r->worker))
		send_stop(f, r, now);
}

/* Frees the call of an answered start or stop and sets *run to its run.  If the
 * run is no longer known, frees it, too, and returns false. */
static bool
order_finish(struct cell_fleet_call *c, struct cell_run **run)
{
	struct cell_run *r = c->run;
	bool current = c->generation == c->fleet->generation;

	r->order_pending = false;
	*run = r;
	cell_fleet_call_free(c);
	if (current && r->worker != NULL)
		return true;
	cell_fleet_run_free(r);
	return false;
}

/* Whether the worker refused the order because it has answered under a later
 * fence of this owner.  It has done nothing, and the order is sent again. */
static bool
fence_superseded(const struct cell_fleet *f, const struct cell_run *r,
    const struct cell_order_answer *a, uint64_t fence)
{
	return a->why == CELL_REFUSED_FENCE &&
	       fence < cell_fleet_fence(f, r->worker);
}

static void
on_start(void *arg, const struct cell_order_answer *a, ogl_time now)
{
	struct cell_fleet_call *c = arg;
	struct cell_fleet *f = c->fleet;
	ogl_time sent_at = c->sent_at;
	uint64_t fence = c->fence;
	uint64_t incarnation = c->incarnation;
	struct cell_run *r;

	start_answered(f, now);
	if (!order_finish(c, &r))
		return;
	/* The last incarnation's answer may come after the next one's. */
	if ((a->io == OGL_IO_OK || a->why != CELL_NOT_REFUSED) &&
	    incarnation == r->worker->incarnation) {
		if (cell_lease_clock_restarted(
			&r->worker->lease, a->clock_ms, sent_at))
			cell_fleet_incarnation_over(f, r->worker, now);
		else
			cell_lease_read_clock(
			    &r->worker->lease, a->clock_ms, now);
	}
	if (a->io == OGL_IO_OK || a->io == OGL_IO_REFUSED) {
		cell_fleet_count_call(
		    f, r->worker, OGL_HEALTH_START_UNANSWERED, true, now);
		cell_fleet_count_call(f, r->worker, OGL_HEALTH_START_BUSY,
		    a->why != CELL_REFUSED_BUSY, now);
	}
	if (a->io == OGL_IO_OK) {
		f->ops->observe(f->ops->ctx, "start_ms",
		    (uint64_t)((now - sent_at) / OGL_MS));
		start_confirmed(f, r, now);
	} else if (fence_superseded(f, r, a, fence)) {
		r->retry_at = now;
	} else if (a->io == OGL_IO_REFUSED) {
		start_refused(f, r, a->why, now);
	} else {
		start_lost(f, r, a->io, now);
	}
}

static void
on_stop(void *arg, const struct cell_order_answer *a, ogl_time now)
{
	struct cell_fleet_call *c = arg;
	struct cell_fleet *f = c->fleet;
	uint64_t fence = c->fence;
	struct cell_run *r;

	f->stops_pending--;
	c->worker->stops_pending--;
	if (!order_finish(c, &r))
		return;
	if (a->io == OGL_IO_OK) {
		r->stop_answered = true;
		r->stop_answered_at = now;
		r->worker->next_hold_no_wait = true;
		return;
	}
	if (a->why == CELL_REFUSED_FENCE && !fence_superseded(f, r, a, fence)) {
		f->events.outranked(f->events.arg, now);
		return;
	}
	if (a->why == CELL_REFUSED_INCARNATION) {
		cell_fleet_run_ended(f, r, CELL_END_LAPSED, NULL, now);
		return;
	}
	r->retry_at = now + ORDER_RETRY_DELAY;
}

struct cell_run *
cell_fleet_start(struct cell_fleet *f, struct cell_worker *w,
    struct cell_stage *s, uint32_t index, uint64_t number,
    const struct cell_approval *approval, uint32_t rank, ogl_time now)
{
	struct cell_task *t = cell_stage_shared_task(s, index);
	struct cell_task_name name = {
	    .occurrence = s->occurrence, .step = s->step, .index = index};
	struct ogl_res res = cell_stage_need(s);
	struct cell_run *r;

	memcpy(name.id, s->job->id, sizeof name.id);
	r = cell_fleet_run_new(f, w, &name, number, &res, s->job->def->team);
	r->stage = s;
	r->state = CELL_RUN_STARTING;
	r->spec = g_bytes_new(s->job->def->spec.data, s->job->def->spec.len);
	if (approval != NULL) {
		r->ticket = g_strdup(approval->ticket);
		r->ticket_at = approval->received_at;
		r->ticket_valid_until = approval->valid_until;
	}
	r->checkpoint = g_strdup(t->checkpoint);
	r->rank = rank;
	r->created_at = now;
	send_start(f, r, now);
	return r;
}

struct cell_run *
cell_fleet_adopt(struct cell_fleet *f, struct cell_worker *w,
    struct cell_stage *s, const struct cell_run_row *row, uint32_t rank,
    ogl_time now)
{
	struct ogl_res res = cell_stage_need(s);
	struct cell_run *r;

	r = cell_fleet_run_new(
	    f, w, &row->task, row->run, &res, s->job->def->team);
	r->stage = s;
	r->state = CELL_RUN_RUNNING;
	r->rank = rank;
	r->created_at = now;
	r->running_since = now;
	r->percent = row->percent;
	r->checkpoint = g_strdup(row->checkpoint);
	return r;
}

static struct cell_run *
add_found(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_run_row *row, const struct ogl_res *need,
    const char *team, ogl_time now)
{
	struct cell_run *r =
	    cell_fleet_run_new(f, w, &row->task, row->run, need, team);

	r->running_since = now;
	return r;
}

void
cell_fleet_stop_found(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_run_row *row, const struct ogl_res *need,
    const char *team, ogl_time now)
{
	cell_fleet_stop(f, add_found(f, w, row, need, team, now), now);
}

/*
 * What such a run uses is not known.  Its worker gets no work until the run is
 * over, as its capacity might be exceeded.
 */
void
cell_fleet_stop_orphan(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_run_row *row, ogl_time now)
{
	struct ogl_res none = {0};
	struct cell_run *r;

	if (w->norphans >= ORPHANS_MAX) {
		w->more_orphans = true;
		return;
	}
	r = add_found(f, w, row, &none, "", now);
	r->orphan = true;
	w->norphans++;
	cell_fleet_stop(f, r, now);
}

static void
step_run(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	if (r->order_pending || now < r->retry_at)
		return;
	/* Not known to be over; the start would begin it once more. */
	if (r->state == CELL_RUN_STARTING && r->former)
		return;
	if (r->state == CELL_RUN_STARTING && r->worker->evacuated) {
		cell_fleet_stop(f, r, now);
	} else if (r->state == CELL_RUN_STARTING) {
		if (r->worker->fenced && cell_fleet_may_lease(f, now) &&
		    f->starts_pending < CELL_ORDERS_PENDING_MAX)
			send_start(f, r, now);
	} else if (r->state == CELL_RUN_STOPPING && !r->stop_answered &&
		   may_send_stop(f, r->worker)) {
		send_stop(f, r, now);
	}
}

void
cell_fleet_step_runs(struct cell_fleet *f, struct cell_worker *w, ogl_time now)
{
	GPtrArray *runs;
	guint i;

	if (g_hash_table_size(w->runs) == 0)
		return;
	runs = cell_worker_runs(w);
	for (i = 0; i < runs->len; i++)
		step_run(f, runs->pdata[i], now);
	g_ptr_array_unref(runs);
}
