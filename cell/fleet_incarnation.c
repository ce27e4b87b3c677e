/*
 * Incarnations of workers: the fences of their calls, what the record tells of
 * them, and how long the leases of earlier owners may last.
 *
 * A worker that restarts under its id knows no fence, and may carry out calls
 * that were meant for its former incarnation.  So the fence of its calls rises
 * with each restart that this owner knows of.  An incarnation that has answered
 * under its own fence refuses all calls meant for former ones; before that
 * answer nothing is believed of it, and its lease may be longer than any that
 * was asked for by its clock (lease.h).  The record tells a successor where that
 * is so.
 */

#include "fleet_impl.h"

/* An incarnation that changes nothing but itself is recorded with this delay,
 * so that many need one record. */
#define INCARNATION_RECORDED_AFTER (1 * OGL_SEC)
/* A fence is the epoch, and below it a number that rises with restarts. */
#define FENCE_EPOCH_SHIFT 20
#define FENCE_RESTARTS_MAX ((1U << FENCE_EPOCH_SHIFT) - 1)

/* Rises over all workers: one that was forgotten and is listed again continues
 * above its former fence. */
uint32_t
cell_fleet_next_restarts(struct cell_fleet *f)
{
	f->restarts = MIN(f->restarts + 1, FENCE_RESTARTS_MAX);
	return f->restarts;
}

void
cell_fleet_void_calls(struct cell_fleet *f, struct cell_worker *w)
{
	w->restarts = cell_fleet_next_restarts(f);
}

uint64_t
cell_fleet_fence(const struct cell_fleet *f, const struct cell_worker *w)
{
	return f->epoch << FENCE_EPOCH_SHIFT | w->restarts;
}

/* A new incarnation has seen no fence, so it is called at once.  Until it has
 * answered under a fence above that of the last one's calls, it may carry these
 * out, however late they arrive.  The answer to a hold in flight no longer
 * counts, as it was sent to the last incarnation, and no more ends of that one
 * are acknowledged. */
void
cell_fleet_incarnation_over(
    struct cell_fleet *f, struct cell_worker *w, ogl_time now)
{
	w->restarts = cell_fleet_next_restarts(f);
	w->restarted = true;
	w->restarted_at = now;
	w->fenced = false;
	w->hold_pending = false;
	w->hold_number++;
	w->next_hold_at = now;
}

uint64_t
cell_worker_incarnation(const struct cell_worker *w)
{
	if (w->restarted)
		return 0;
	return w->incarnation != 0 ? w->incarnation : w->incarnation_in_record;
}

/* Whether another incarnation than the one in the last owner's record may be
 * there, to which that owner's calls may get. */
static bool
restarted_unrecorded(const struct cell_worker *w)
{
	if (w->incarnation != 0)
		return false;
	if (w->incarnation_in_record == 0)
		return w->longest_in_record;
	return w->entry_born_ms != 0 &&
	       w->entry_born_ms != w->incarnation_in_record;
}

bool
cell_fleet_may_hold_longest(
    const struct cell_fleet *f, const struct cell_worker *w, ogl_time now)
{
	ogl_time late_end = cell_lease_late_orders_expired_at(
	    w->restarted_at, f->limits->lease_max_ms);

	if (w->incarnation == 0)
		return !f->old_leases_expired &&
		       (w->longest_in_record || restarted_unrecorded(w));
	return cell_lease_is_longest(&w->lease, now) ||
	       (w->restarted && now <= late_end);
}

void
cell_fleet_record_later(struct cell_fleet *f, ogl_time now)
{
	f->record_due_at =
	    MIN(f->record_due_at, now + INCARNATION_RECORDED_AFTER);
}

/* A successor that reaches no answer of the worker takes its lease for a usual
 * one unless the record tells otherwise, so the worker gets no work before. */
void
cell_fleet_incarnation_heard(
    struct cell_fleet *f, struct cell_worker *w, ogl_time now)
{
	cell_fleet_record_later(f, now);
	if (w->longest_in_record || !cell_fleet_may_hold_longest(f, w, now))
		return;
	w->unrecorded = true;
	w->open_in_record = false;
	f->record_outdated = true;
}

/* When a lease has expired that a start by an earlier owner gives to another
 * incarnation than the one that it was meant for. */
static ogl_time
late_starts_end(const struct cell_fleet *f, ogl_time last_proof)
{
	ogl_time sent_at = last_proof + CELL_LEASE_PROOF_MAX_AGE;
	uint32_t max_ms = f->limits->lease_max_ms;
	ogl_time end = cell_lease_late_orders_expired_at(sent_at, max_ms);

	if (f->ticket_validity != 0)
		end = MIN(end, cell_lease_longest_expired_at(
				   sent_at + f->ticket_validity, max_ms));
	return end;
}

/* When a lease has expired that an earlier owner gave to a worker which has not
 * answered this one.  last_proof: as for cell_lease_all_expired_at. */
static ogl_time
unheard_lease_end(const struct cell_fleet *f, const struct cell_worker *w,
    ogl_time last_proof)
{
	uint32_t max_ms = f->limits->lease_max_ms;

	if (w->tasks_recorded && w->recorded_tasks->len == 0)
		return 0;
	if (restarted_unrecorded(w))
		return late_starts_end(f, last_proof);
	if (w->longest_in_record)
		return cell_lease_longest_expired_at(f->first_step_at, max_ms);
	return 0;
}

ogl_time
cell_fleet_old_leases_end(const struct cell_fleet *f, ogl_time now)
{
	/* The last owner may have more than half of the workers on its side. */
	ogl_time last_proof = f->first_step_at +
			      CELL_LEASE_CONFIRMATION_MAX_AGE -
			      CELL_LEASE_PROOF_MAX_AGE;
	ogl_time end;
	GHashTableIter it;
	gpointer p;

	if (f->quorum_at != 0)
		last_proof = MIN(last_proof, f->quorum_at);
	end = cell_lease_all_expired_at(last_proof);
	if (now <= end)
		return end;
	g_hash_table_iter_init(&it, f->workers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct cell_worker *w = p;

		if (w->expected && w->incarnation == 0)
			end = MAX(end, unheard_lease_end(f, w, last_proof));
	}
	return end;
}

bool
cell_fleet_awaits_late_calls(
    const struct cell_fleet *f, const struct cell_worker *w, ogl_time now)
{
	ogl_time called_at = w->lease.asked_at;

	if (w->called_before)
		called_at = MAX(called_at, f->first_step_at);
	return called_at != 0 && now <= cell_lease_late_orders_expired_at(
					    called_at, f->limits->lease_max_ms);
}

void
cell_fleet_log_lease(struct cell_fleet *f, const struct cell_worker *w,
    const char *event, ogl_time now)
{
	const struct cell_lease *l = &w->lease;
	char text[200];

	g_snprintf(text, sizeof text,
	    "worker=%s life=%" G_GUINT64_FORMAT " clock_ms=%" G_GUINT64_FORMAT
	    " lease_ms=%" G_GINT64_FORMAT " read_ms=%" G_GINT64_FORMAT,
	    w->id, w->incarnation, l->clock_ms,
	    (int64_t)(l->end_ms - l->clock_ms), (now - l->read_at) / OGL_MS);
	f->ops->log(f->ops->ctx, "fleet", event, text);
}
