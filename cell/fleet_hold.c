/*
 * Holds: what is sent to a worker to renew the lease of its runs and to learn
 * what runs there and what has ended.
 *
 * One hold is kept in flight to each worker that has runs, that has not
 * answered yet, or whose ended runs are still to be acknowledged.  A hold
 * renews the lease of all runs there and acknowledges the ends that are stored;
 * the worker delays its answer until the next run ends, up to a time limit.
 * The answer lists running and ended runs, which are compared with those known
 * here:
 *
 *	listed as running, known       it is running; its checkpoint is kept
 *	listed as running, unknown     reported to the owner (run_found)
 *	listed as ended                the run is over
 *	known to run, in neither list  it was lost
 *	stopped, in neither list       it has not begun and no longer can
 *	given up, in neither list      the same, if the hold's fence is above
 *	                               that of its starts
 *
 * A worker lists all that it runs, but at most ENDS_PER_ANSWER_MAX ends; the next
 * ones follow once these are acknowledged.  So only an answer with fewer ends is
 * whole, and only a whole one shows by what it leaves out that a run is over.
 * Until the first whole one of a worker's incarnation (enum cell_lists), its ends
 * are read without delay, and it gets no work.
 *
 * A worker that does not answer may keep running its tasks until the last lease
 * asked for ends by its own clock (lease.h).  Until then its runs count as
 * running.  Refused or reset connections show nothing more: the network may
 * refuse them for a worker that runs on.  Only when another incarnation or
 * worker answers at its address has the worker ended, and its runs with it.
 */

#include <string.h>

#include "ablate.h"
#include "fleet_impl.h"

/* The timeout is short, because after a lost answer the ends at its worker stay
 * unknown until then.  A worker whose runs end often answers long before the
 * timeout. */
#define HOLD_WAIT_MS 450
#define HOLD_TIMEOUT_MS 800
/* After a lost answer, the holds to that worker are short for this time.  With
 * the usual holds, each further lost answer would delay the ends there by up to
 * 0.8 s. */
#define LOSSY_PERIOD (2 * OGL_SEC)
#define LOSSY_HOLD_WAIT_MS 100
#define LOSSY_HOLD_TIMEOUT_MS 250
/* While the store does not confirm the ownership, each worker shows within
 * these times whether it has been called by a successor. */
#define QUORUM_HOLD_WAIT_MS 200
#define QUORUM_HOLD_INTERVAL (300 * OGL_MS)
/* A new owner starts no task of earlier owners' jobs before the first answer of
 * each worker.  The first hold may be repeated safely, so it has a short
 * timeout, which doubles with each failure. */
#define FIRST_HOLD_TIMEOUT_MS 150
/* Delay of the next hold after one that brought ends, so that ends in short
 * succession are fetched with one hold. */
#define ENDS_BATCH_DELAY (20 * OGL_MS)
/* While ends are not stored, a hold would be answered at once with the same
 * ends.  The next hold is therefore delayed, but by no more than this, as it
 * has to renew the lease. */
#define LEASE_RENEW_AFTER (700 * OGL_MS)
#define HOLD_RETRY_DELAY (150 * OGL_MS)
/* A worker whose answer is overdue by this gets no new work. */
#define HOLD_OVERDUE_AFTER (250 * OGL_MS)
/* Ends are acknowledged within this time of the worker's last answer. */
#define ACK_AGE_MAX (100 * OGL_MS)
#define ENDS_PER_ANSWER_MAX 500 /* a list this long may be incomplete */

/* ---- ends of runs ----------------------------------------------------- */

static bool
same_task(const struct cell_task_name *a, const struct cell_task_name *b)
{
	return a->index == b->index && a->step == b->step &&
	       a->occurrence == b->occurrence && strcmp(a->id, b->id) == 0;
}

/* A row without a run number shows that a run of the task is there, but not
 * which one. */
static bool
row_matches(const struct cell_run *r, const struct cell_run_row *row)
{
	return (row->run == 0 || r->number == row->run) &&
	       same_task(&r->name, &row->task);
}

static struct cell_run *
find_run(const struct cell_worker *w, const struct cell_run_row *row)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		struct cell_run *r = p;

		if (row_matches(r, row))
			return r;
	}
	return NULL;
}

/* Whether either list of the answer contains the run. */
static bool
answer_lists(const struct cell_hold_answer *a, const struct cell_run *r)
{
	size_t i;

	for (i = 0; i < a->nrunning; i++) {
		if (row_matches(r, &a->running[i]))
			return true;
	}
	for (i = 0; i < a->nended; i++) {
		if (row_matches(r, &a->ended[i]))
			return true;
	}
	return false;
}

void
cell_fleet_remember_unanswered_start(const struct cell_run *r, ogl_time now)
{
	GArray *a = r->worker->unanswered_starts;
	struct cell_unanswered_start start = {r->name, r->number, now};

	while (
	    a->len > 0 &&
	    cell_lease_order_is_late(
		g_array_index(a, struct cell_unanswered_start, 0).sent_at, now))
		g_array_remove_index(a, 0);
	g_array_append_val(a, start);
}

/* Whether a start on the worker that was left unanswered may still be carried
 * out. */
static bool
has_late_start(const struct cell_worker *w, ogl_time now)
{
	const GArray *a = w->unanswered_starts;

	return a->len > 0 &&
	       !cell_lease_order_is_late(
		   g_array_index(a, struct cell_unanswered_start, a->len - 1)
		       .sent_at,
		   now);
}

/* Whether a start of the run was left unanswered. */
static bool
start_was_unanswered(const struct cell_run *r)
{
	const GArray *a = r->worker->unanswered_starts;
	guint i;

	for (i = 0; i < a->len; i++) {
		const struct cell_unanswered_start *start =
		    &g_array_index(a, struct cell_unanswered_start, i);

		if (start->run == r->number &&
		    same_task(&start->task, &r->name))
			return true;
	}
	return false;
}

/* Whether the ticket of the run's start was issued during the worker's former
 * incarnation, which has accepted a call sent after its arrival.  The next
 * incarnation refuses it. */
static bool
ticket_is_for_former(const struct cell_run *r)
{
	return r->ticket != NULL && r->worker->accepted_at > r->ticket_at;
}

/*
 * Whether the run may be one of the worker's next incarnation, of which nothing
 * but its existence is known.  A run that was listed is over with the
 * incarnation that listed it, unless another copy of its start is on its way.
 */
static bool
may_run_in_next(
    const struct cell_fleet *f, const struct cell_run *r, ogl_time now)
{
	uint32_t max_ms = f->limits->lease_max_ms;
	ogl_time end;

	if (!r->worker->restarted || ticket_is_for_former(r) ||
	    (r->listed && !start_was_unanswered(r)))
		return false;
	end = cell_lease_late_orders_expired_at(r->start_sent_at, max_ms);
	if (r->ticket != NULL)
		end = MIN(end, cell_lease_longest_expired_at(
				   r->ticket_valid_until, max_ms));
	return now <= end;
}

bool
cell_fleet_has_lapsed(
    const struct cell_fleet *f, const struct cell_worker *w, ogl_time now)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		if (!may_run_in_next(f, p, now))
			return true;
	}
	return false;
}

void
cell_fleet_lose_runs(struct cell_fleet *f, struct cell_worker *w, ogl_time now)
{
	GPtrArray *runs = cell_worker_runs(w);
	guint i;

	for (i = 0; i < runs->len; i++) {
		struct cell_run *r = runs->pdata[i];

		if (may_run_in_next(f, r, now))
			continue;
		/* A start in flight may reach the worker's next incarnation. */
		if (r->order_pending && r->state == CELL_RUN_STARTING)
			cell_fleet_remember_unanswered_start(r, now);
		cell_fleet_run_ended(f, r, CELL_END_LAPSED, NULL, now);
	}
	g_ptr_array_unref(runs);
}

/* Whether the answer lists each run on the worker, and each that has ended there
 * and is not acknowledged. */
static bool
answer_is_whole(const struct cell_hold_answer *a)
{
	return a->nended < ENDS_PER_ANSWER_MAX;
}

/* Ends the runs of former incarnations that this one does not have: it has
 * answered under its fence, so none of their starts can reach it any more. */
static void
lose_former_runs(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_hold_answer *a, ogl_time now)
{
	GPtrArray *runs = cell_worker_runs(w);
	guint i;

	for (i = 0; i < runs->len; i++) {
		struct cell_run *r = runs->pdata[i];

		if (!r->former)
			continue;
		if (answer_lists(a, r))
			r->former = false;
		else if (answer_is_whole(a))
			cell_fleet_run_ended(f, r, CELL_END_LAPSED, NULL, now);
	}
	g_ptr_array_unref(runs);
}

/* A stop that the last incarnation has answered is sent again to this one. */
static void
set_runs_former(struct cell_worker *w)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		struct cell_run *r = p;

		r->former = true;
		r->stop_answered = false;
		memset(&r->progress, 0, sizeof r->progress);
	}
	g_array_set_size(w->unanswered_starts, 0);
}

static void
worker_restarted(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_hold_answer *a, ogl_time now)
{
	cell_fleet_log_worker(f, w, "worker_reborn");
	w->ends_acked = 0;
	w->ends_stored = 0;
	w->ends_reported = 0;
	cell_lease_next_incarnation(
	    &w->lease, a->clock_ms, f->limits->lease_max_ms, now);
	memset(&w->pace, 0, sizeof w->pace);
	w->proven = false;
	set_runs_former(w);
}

/* What earlier owners may have asked of a worker that answers for the first
 * time. */
static enum cell_lease_earlier
asked_by_earlier(const struct cell_worker *w, uint64_t born_ms)
{
	if (!w->called_before)
		return CELL_LEASE_NONE;
	return w->incarnation_in_record == born_ms && !w->longest_in_record
		   ? CELL_LEASE_OF_THIS
		   : CELL_LEASE_OF_ANY;
}

/* ---- the answer to a hold --------------------------------------------- */

void
cell_fleet_run_started(struct cell_fleet *f, struct cell_run *r, ogl_time now)
{
	if (r->running_since != 0)
		return;
	r->running_since = now;
	if (r->state == CELL_RUN_STARTING)
		r->state = CELL_RUN_RUNNING;
	f->events.run_started(f->events.arg, r, now);
}

/* The progress of a gang is that of its slowest member, and a lasting task
 * makes none, so neither shows the pace of a worker. */
static void
observe_pace(struct cell_fleet *f, struct cell_worker *w, struct cell_run *r,
    uint64_t clock_ms)
{
	const Ogl__CellStep *step = r->stage != NULL ? r->stage->def : NULL;

	if (step == NULL || step->gang || step->lasting)
		return;
	cell_pace_observe(&w->pace, f->baseline_pace, &r->progress, clock_ms,
	    r->percent, step->estimate_ms);
}

static void
process_running(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_hold_answer *a, GHashTable *seen, ogl_time now)
{
	size_t i;

	w->more_orphans = false;
	for (i = 0; i < a->nrunning; i++) {
		const struct cell_run_row *row = &a->running[i];
		struct cell_run *r = find_run(w, row);

		if (r == NULL) {
			/* A run without a number can be named in no order. */
			if (row->run == 0)
				continue;
			f->events.run_found(f->events.arg, w, row, now);
			r = find_run(w, row);
			if (r == NULL)
				continue;
		}
		g_hash_table_add(seen, r);
		r->start_unanswered = false;
		r->listed = true;
		cell_fleet_run_started(f, r, now);
		r->percent = row->percent;
		observe_pace(f, w, r, a->clock_ms);
		if (*row->checkpoint != '\0' &&
		    g_strcmp0(r->checkpoint, row->checkpoint) != 0) {
			g_free(r->checkpoint);
			r->checkpoint = g_strdup(row->checkpoint);
			r->checkpoint_at = now;
		}
	}
}

static void
process_ended(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_hold_answer *a, ogl_time now)
{
	uint64_t before = w->ends_reported;
	size_t i;

	for (i = 0; i < a->nended; i++) {
		const struct cell_run_row *row = &a->ended[i];
		struct cell_run *r;

		if (row->number <= before)
			continue;
		w->ends_reported = MAX(w->ends_reported, row->number);
		if (row->run == 0)
			continue;
		r = find_run(w, row);
		/* A run that is being stopped as unknown may have been of use: a
		 * start that went unanswered and was given up. */
		if (r == NULL || r->orphan)
			f->events.end_found(f->events.arg, w, row, now);
		if (r != NULL)
			cell_fleet_run_ended(
			    f, r, row->how, row->checkpoint, now);
	}
}

/* Whether the run was given up and the worker, which has accepted a call under
 * that fence, refuses its starts from now on. */
static bool
starts_are_void(const struct cell_run *r, uint64_t fence)
{
	return r->state == CELL_RUN_STOPPING && r->running_since == 0 &&
	       r->start_sent && r->start_fence < fence;
}

/* Ends the runs that the answer to the hold c would list if they were not
 * over. */
static void
process_missing(struct cell_fleet *f, struct cell_worker *w, GHashTable *seen,
    const struct cell_fleet_call *c, ogl_time now)
{
	GPtrArray *runs = cell_worker_runs(w);
	guint i;

	for (i = 0; i < runs->len; i++) {
		struct cell_run *r = runs->pdata[i];

		if (g_hash_table_contains(seen, r))
			continue;
		if ((r->stop_answered && r->stop_answered_at <= c->sent_at) ||
		    starts_are_void(r, c->fence))
			cell_fleet_run_ended(f, r, CELL_END_STOPPED, NULL, now);
		else if (r->state == CELL_RUN_RUNNING && !r->order_pending &&
			 r->running_since <= c->sent_at)
			cell_fleet_run_ended(f, r, CELL_END_LAPSED, NULL, now);
	}
	g_ptr_array_unref(runs);
}

/* Takes the clock of the answering incarnation, which may be another one than
 * answered last.  Returns whether it is. */
static bool
process_incarnation(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_hold_answer *a, ogl_time now)
{
	uint64_t last = w->incarnation;

	w->restarted = false;
	if (last == a->born_ms) {
		cell_lease_read_clock(&w->lease, a->clock_ms, now);
		return false;
	}
	if (last != 0)
		worker_restarted(f, w, a, now);
	else
		cell_lease_first_answer(&w->lease, a->clock_ms,
		    f->limits->lease_max_ms, asked_by_earlier(w, a->born_ms),
		    now);
	if (last == 0 && w->first_record == CELL_FLEET_LOADED_RECORD)
		f->nexpected_answered++;
	cell_fleet_set_lists(f, w, CELL_LISTS_UNREAD);
	w->incarnation = a->born_ms;
	w->incarnation_since = now;
	w->appearance++;
	cell_fleet_incarnation_heard(f, w, now);
	if (last != 0)
		cell_fleet_log_lease(f, w, "incarnation_lease", now);
	return true;
}

static void
process_hold(struct cell_fleet *f, struct cell_fleet_call *c,
    const struct cell_hold_answer *a, ogl_time now)
{
	struct cell_worker *w = c->worker;
	uint64_t ends_before = w->ends_reported;
	bool first_answer = !w->fenced;
	bool read_before = w->fenced && w->lists == CELL_LISTS_WHOLE;
	GHashTable *seen;

	/* The next incarnation may still carry out calls under this fence, so
	 * that its lists say little. */
	if (w->incarnation != 0 && w->incarnation != a->born_ms &&
	    !w->restarted) {
		cell_fleet_incarnation_over(f, w, now);
		return;
	}
	if (w->failures > 0)
		cell_fleet_log_worker(f, w, "worker_regained");
	f->record_outdated |= w->silent_in_record;
	if (w->gone && w->incarnation == a->born_ms)
		cell_fleet_log_worker(f, w, "worker_was_not_gone");
	w->gone = false;
	w->failures = 0;
	w->last_answer_at = now;
	cell_fleet_count_call(f, w, OGL_HEALTH_HOLD_UNANSWERED, true, now);
	cell_fleet_count_call(f, w, OGL_HEALTH_CONN_REFUSED, true, now);
	if (process_incarnation(f, w, a, now))
		ends_before = 0;
	else
		w->ends_acked = MAX(w->ends_acked, c->ends_acked);
	w->accepted_at = MAX(w->accepted_at, c->sent_at);
	w->fenced = true;
	w->expected = false;
	if (w->lists != CELL_LISTS_WHOLE)
		lose_former_runs(f, w, a, now);
	seen = g_hash_table_new(NULL, NULL);
	process_running(f, w, a, seen, now);
	process_ended(f, w, a, now);
	if (answer_is_whole(a))
		process_missing(f, w, seen, c, now);
	g_hash_table_unref(seen);
	if (answer_is_whole(a))
		cell_fleet_set_lists(f, w, CELL_LISTS_WHOLE);
	else if (w->lists == CELL_LISTS_UNREAD)
		cell_fleet_set_lists(f, w, CELL_LISTS_CUT);
	w->next_hold_at = now;
	if (w->ends_stored > w->ends_acked && g_hash_table_size(w->runs) == 0)
		w->next_hold_no_wait = true;
	if (w->ends_reported != ends_before) {
		if (answer_is_whole(a))
			w->next_hold_at = now + ENDS_BATCH_DELAY;
		f->events.ends_processed(f->events.arg, w, now);
	}
	if (first_answer)
		f->confirmation_from = now;
	if (w->lists != CELL_LISTS_WHOLE)
		return;
	w->tasks_recorded = false;
	if (read_before)
		return;
	f->record_outdated |= w->draining && w->open_in_record;
	f->events.answered(f->events.arg, w, now);
}

static void
set_gone(struct cell_fleet *f, struct cell_worker *w, ogl_time now)
{
	w->gone = true;
	w->expected = false;
	if (w->lists == CELL_LISTS_CUT)
		cell_fleet_set_lists(f, w, CELL_LISTS_UNREAD);
	cell_fleet_log_worker(f, w, "worker_gone");
	cell_fleet_lose_runs(f, w, now);
	f->events.answered(f->events.arg, w, now);
}

static const char *
failure_name(const struct cell_hold_answer *a)
{
	if (a->no_listener)
		return "no_listener";
	if (a->why == CELL_REFUSED_INCARNATION)
		return "other_life";
	return a->io == OGL_IO_LOST ? "unanswered" : "refused";
}

void
cell_fleet_count_failure(struct cell_worker *w, ogl_time now)
{
	if (w->failures++ == 0)
		w->silent_since = now;
}

static void
hold_failed(struct cell_fleet *f, struct cell_worker *w,
    const struct cell_hold_answer *a, ogl_time now)
{
	w->next_hold_at = w->failures == 0 ? now : now + HOLD_RETRY_DELAY;
	if (a->why == CELL_REFUSED_FENCE) {
		f->events.outranked(f->events.arg, now);
		return;
	}
	if (a->io == OGL_IO_LOST)
		w->lossy_until = now + LOSSY_PERIOD;
	if (a->no_listener)
		cell_fleet_count_call(
		    f, w, OGL_HEALTH_CONN_REFUSED, false, now);
	else if (a->io == OGL_IO_LOST)
		cell_fleet_count_call(
		    f, w, OGL_HEALTH_HOLD_UNANSWERED, false, now);
	if (w->failures == 0)
		cell_fleet_log_worker_why(
		    f, w, "worker_silent", failure_name(a));
	cell_fleet_count_failure(w, now);
	/* The next incarnation may answer the next hold, and refuses then what
	 * was sent before. */
	if (has_late_start(w, now) &&
	    w->last_start_fence == cell_fleet_fence(f, w))
		cell_fleet_void_calls(f, w);
	/* Another incarnation answers: the last one has ended, and the new one
	 * refuses calls meant for the last one. */
	if (a->why != CELL_REFUSED_INCARNATION)
		return;
	if (w->gone)
		cell_fleet_lose_runs(f, w, now);
	else
		set_gone(f, w, now);
}

void
cell_fleet_call_free(struct cell_fleet_call *c)
{
	c->worker->calls_pending--;
	g_free(c);
}

static void
on_hold(void *arg, const struct cell_hold_answer *a, ogl_time now)
{
	struct cell_fleet_call *c = arg;
	struct cell_fleet *f = c->fleet;
	struct cell_worker *w = c->worker;

	if (c->generation == f->generation &&
	    c->hold_number == w->hold_number) {
		w->hold_pending = false;
		w->hold_duration = now - c->sent_at;
		if (a->io == OGL_IO_OK)
			process_hold(f, c, a, now);
		else if (a->why == CELL_REFUSED_FENCE &&
			 c->fence < cell_fleet_fence(f, w))
			w->next_hold_at = now;
		else
			hold_failed(f, w, a, now);
	}
	cell_fleet_call_free(c);
}

/* ---- sending holds ---------------------------------------------------- */

bool
cell_fleet_hold_overdue(const struct cell_worker *w, ogl_time now)
{
	return w->hold_pending &&
	       now - w->hold_sent_at >
		   HOLD_WAIT_MS * OGL_MS + HOLD_OVERDUE_AFTER;
}

/*
 * Whether a hold may extend the worker's lease.  A hold to a worker that does
 * not answer must not: it may reach the worker nevertheless, so each one would
 * postpone the time from which the worker's tasks are certainly over, and they
 * would never be started elsewhere.
 */
static bool
may_renew(const struct cell_fleet *f, const struct cell_worker *w, ogl_time now)
{
	return w->fenced && w->failures == 0 && cell_fleet_may_lease(f, now);
}

/*
 * Returns the number up to which ends are acknowledged, 0 for none.  When a
 * worker restarts under its id, its ends count from 1 again, so an old number
 * would acknowledge ends of the new incarnation that no owner has seen.  Hence
 * a number is sent only once, right after an answer of the incarnation whose
 * ends they are, and not while answers are missing: the next answer may be that
 * of a new incarnation.
 */
static uint64_t
ends_to_acknowledge(const struct cell_worker *w, ogl_time now)
{
	if (!w->fenced || w->failures > 0 ||
	    now - w->last_answer_at > ACK_AGE_MAX)
		return 0;
	return w->ends_stored > w->ends_acked ? w->ends_stored : 0;
}

/* Sets how long the worker may delay its answer and how long we wait for it. */
static void
set_hold_times(const struct cell_fleet *f, const struct cell_worker *w,
    struct cell_hold *h, bool wait, ogl_time now)
{
	bool lossy = CELL_USES_LOSSY && now < w->lossy_until;

	if (!w->fenced) {
		h->timeout_ms =
		    MIN(FIRST_HOLD_TIMEOUT_MS << MIN(w->failures, 4),
			ORDER_TIMEOUT_MS);
	} else if (!wait || w->next_hold_no_wait ||
		   w->lists == CELL_LISTS_CUT) {
		h->timeout_ms =
		    lossy ? LOSSY_HOLD_TIMEOUT_MS : ORDER_TIMEOUT_MS;
	} else {
		h->wait_ms = lossy ? LOSSY_HOLD_WAIT_MS
			     : cell_fleet_needs_quorum(f, now)
				 ? QUORUM_HOLD_WAIT_MS
				 : HOLD_WAIT_MS;
		h->timeout_ms = lossy ? LOSSY_HOLD_TIMEOUT_MS : HOLD_TIMEOUT_MS;
	}
}

void
cell_fleet_send_hold(struct cell_fleet *f, struct cell_worker *w, ogl_time now)
{
	struct cell_fleet_call *c = g_new0(struct cell_fleet_call, 1);
	bool renew = g_hash_table_size(w->runs) > 0;
	bool wait = renew || has_late_start(w, now);
	struct cell_hold h = {
	    .to = {w->addr, w->id, cell_fleet_fence(f, w)},
	    .last_seen = ends_to_acknowledge(w, now),
	    .until_ms =
		renew && may_renew(f, w, now)
		    ? cell_lease_extend(&w->lease, f->limits->lease_max_ms, now)
		    : 0,
	};

	set_hold_times(f, w, &h, wait, now);
	c->fleet = f;
	c->worker = w;
	c->generation = f->generation;
	c->sent_at = now;
	c->fence = h.to.fence;
	c->ends_acked = h.last_seen;
	c->hold_number = ++w->hold_number;
	w->calls_pending++;
	w->hold_pending = true;
	w->hold_sent_at = now;
	w->next_hold_no_wait = false;
	f->ops->count(f->ops->ctx, "holds", 1);
	f->ops->hold(f->ops->backend_ctx, &h, on_hold, c);
}

bool
cell_fleet_wants_hold(
    const struct cell_fleet *f, const struct cell_worker *w, ogl_time now)
{
	if (w->hold_pending || now < w->next_hold_at || w->addr == NULL)
		return false;
	if (!w->listed && !w->expected && w->lists != CELL_LISTS_CUT &&
	    g_hash_table_size(w->runs) == 0)
		return false;
	/* A silent worker is called until it answers, even if nothing runs
	 * there; otherwise it would never get work again. */
	if (!w->fenced || w->failures > 0)
		return true;
	/* Until the reported ends are stored, the worker would only list them
	 * again. */
	if (w->ends_reported > w->ends_stored &&
	    ends_to_acknowledge(w, now) == 0 &&
	    now - w->hold_sent_at < LEASE_RENEW_AFTER)
		return false;
	/* Its next incarnation is to be reached before a late start is. */
	if (has_late_start(w, now))
		return true;
	/* The clock of a worker without runs is read again from time to time,
	 * so that its next start gets a lease of use. */
	if (g_hash_table_size(w->runs) > 0 || w->next_hold_no_wait ||
	    w->lists == CELL_LISTS_CUT || cell_lease_clock_old(&w->lease, now))
		return true;
	return cell_fleet_needs_quorum(f, now) &&
	       now - w->accepted_at > QUORUM_HOLD_INTERVAL;
}

void
cell_fleet_ends_stored(struct cell_fleet *f, struct cell_worker *w,
    uint64_t incarnation, uint64_t number)
{
	(void)f;
	if (incarnation != w->incarnation || !w->fenced)
		return;
	if (number <= w->ends_stored || number > w->ends_reported)
		return;
	w->ends_stored = number;
	w->next_hold_no_wait = g_hash_table_size(w->runs) == 0;
}
