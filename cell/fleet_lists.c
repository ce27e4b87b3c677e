/*
 * How far the lists of the workers have been read, and what waits for that.
 *
 * A worker lists all runs that go on, but only the first ends of those that no
 * owner has acknowledged.  A new owner stores these and acknowledges them, and
 * the next answer lists further ones, until one is not cut.  Before, a run that
 * is in neither list may have ended as done, so that no task of an earlier
 * owner's job may be started and no record may call the worker's tasks known.
 *
 * The worker gets no work meanwhile, so that the ends to come are no more than
 * the runs that go on, and reading them comes to an end.  What a silent worker
 * has not listed counts until its lease has expired.
 */

#include "fleet_impl.h"

void
cell_fleet_set_lists(
    struct cell_fleet *f, struct cell_worker *w, enum cell_lists lists)
{
	if (w->lists == lists)
		return;
	f->ncut += lists == CELL_LISTS_CUT;
	f->ncut -= w->lists == CELL_LISTS_CUT;
	if (lists == CELL_LISTS_CUT)
		cell_fleet_log_worker(f, w, "worker_lists_cut");
	else if (w->lists == CELL_LISTS_CUT && lists == CELL_LISTS_WHOLE)
		cell_fleet_log_worker(f, w, "worker_lists_read");
	w->lists = lists;
}

void
cell_fleet_lists_lapsed(
    struct cell_fleet *f, struct cell_worker *w, ogl_time now)
{
	cell_fleet_set_lists(f, w, CELL_LISTS_WHOLE);
	f->events.answered(f->events.arg, w, now);
}

bool
cell_worker_tasks_known(const struct cell_worker *w)
{
	return w->lists == CELL_LISTS_WHOLE || w->gone || w->tasks_recorded ||
	       (w->lists == CELL_LISTS_UNREAD && !w->called_before);
}

bool
cell_fleet_settled(const struct cell_fleet *f)
{
	GHashTableIter it;
	gpointer p;

	if (f->ncut > 0)
		return false;
	if (f->old_leases_expired)
		return true;
	g_hash_table_iter_init(&it, f->workers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct cell_worker *w = p;

		if ((w->listed || w->expected) &&
		    w->lists == CELL_LISTS_UNREAD && !w->gone &&
		    !w->tasks_recorded)
			return false;
	}
	return true;
}
