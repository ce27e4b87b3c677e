/*
 * Makes the jobs from the records that were read at the takeover, and stores
 * for a successor which workers it has to call.
 */

#include <string.h>

#include "owner_impl.h"

/* Makes a job from its two records, which may be read in either order. */
static void
restore_job(struct cell_owner *o, Ogl__CellJob *def, const Ogl__CellProgress *p,
    ogl_time now)
{
	ogl_time age = o->wall - (ogl_time)def->accepted_ms * OGL_MS;
	struct cell_job *j;

	if (p != NULL && cell_job_state_ended(p->state)) {
		ogl__cell_job__free_unpacked(def, NULL);
		return; /* restore_ended_jobs adds it */
	}
	j = cell_job_new(def, now - MAX(age, 0));
	j->stored = true;
	cell_account_resume(j, now);
	if (p != NULL)
		cell_job_restore_progress(j, p);
	g_hash_table_insert(o->jobs, j->id, j);
}

static void
keep_unreadable(struct cell_owner *o, const struct cell_loaded *l)
{
	GHashTableIter it;
	gpointer id;

	g_hash_table_iter_init(&it, l->unreadable);
	while (g_hash_table_iter_next(&it, &id, NULL))
		g_hash_table_add(o->unreadable, g_strdup(id));
}

static void
restore_jobs(struct cell_owner *o, const struct cell_loaded *l, ogl_time now)
{
	GHashTableIter it;
	gpointer id, def;

	g_hash_table_iter_init(&it, l->defs);
	while (g_hash_table_iter_next(&it, &id, &def)) {
		restore_job(o, def, g_hash_table_lookup(l->progress, id), now);
		g_hash_table_iter_steal(&it);
		g_free(id);
	}
}

/*
 * The platform's list may lack workers for a while: their entries expire while
 * the store is unavailable, and reappear seconds after it is back.  Tasks that
 * run on such workers must not be started elsewhere meanwhile.
 */
static void
expect_worker(void *arg, const Ogl__CellKnown *k, ogl_time now)
{
	struct cell_owner *o = arg;

	cell_fleet_expect(o->fleet, k, now);
	cell_held_add(o->held, k);
}

/* A record of the workers that is being stored. */
struct workers_record {
	struct cell_owner *owner;
	GPtrArray *ids; /* workers that may be given work once it is stored */
	uint64_t number;
};

static void
workers_record_free(struct workers_record *pending)
{
	g_ptr_array_unref(pending->ids);
	g_free(pending);
}

static void
on_workers_stored(
    void *arg, uint64_t tag, enum cell_store_result result, ogl_time now)
{
	struct workers_record *pending = arg;
	guint i;

	(void)tag;
	(void)now;
	if (result == CELL_STORED)
		cell_fleet_record_replaces(
		    pending->owner->fleet, pending->number);
	for (i = 0; result == CELL_STORED && i < pending->ids->len; i++)
		cell_fleet_record_stored(pending->owner->fleet,
		    pending->ids->pdata[i], pending->number);
	workers_record_free(pending);
}

static void
log_workers_record(
    struct cell_owner *o, const char *event, size_t bytes, unsigned left_open)
{
	char text[160];

	g_snprintf(text, sizeof text,
	    "shard=%u epoch=%" G_GUINT64_FORMAT
	    " workers=%u bytes=%zu left_open=%u",
	    o->params.shard, o->epoch,
	    g_hash_table_size(cell_fleet_workers(o->fleet)), bytes, left_open);
	o->ops->log(o->ops->ctx, "owner", event, text);
}

/*
 * Stores for a successor which workers to call.  A worker is given no work
 * before it is in a stored record: a successor that does not know of the worker
 * would assume that its tasks are not running and start them elsewhere.  So if
 * the record can't be stored, the last one remains true, and workers that it
 * does not name get no work.
 */
void
cell_owner_store_workers(struct cell_owner *o, ogl_time now)
{
	struct workers_record *pending = g_new0(struct workers_record, 1);
	unsigned left_open;
	GBytes *record;
	size_t bytes;

	pending->owner = o;
	pending->ids = g_ptr_array_new_with_free_func(g_free);
	pending->number = ++o->worker_records;
	record = cell_known_pack(
	    o->fleet, pending->number, pending->ids, &left_open, now);
	bytes = g_bytes_get_size(record);
	if (left_open > 0) {
		log_workers_record(o, "workers_left_open", bytes, left_open);
		o->ops->count(o->ops->ctx, "workers_left_open", left_open);
	}
	if (!cell_journal_put(o->journal, CELL_WORKERS_KEY, record, now)) {
		log_workers_record(o, "record_too_large", bytes, left_open);
		workers_record_free(pending);
		return;
	}
	cell_fleet_record_sent(o->fleet, pending->number);
	cell_journal_notify(o->journal, on_workers_stored, pending, 0);
}

/* Restores ended jobs, of which only the progress records are left. */
static void
restore_ended_jobs(struct cell_owner *o, GHashTable *progress)
{
	GHashTableIter it;
	gpointer id, p;

	g_hash_table_iter_init(&it, progress);
	while (g_hash_table_iter_next(&it, &id, &p)) {
		const Ogl__CellProgress *m = p;
		struct cell_job *j;

		if (!cell_job_state_ended(m->state) ||
		    cell_owner_job(o, id) != NULL)
			continue;
		j = cell_job_new_ended(id, m);
		j->end_stored = true;
		g_hash_table_insert(o->jobs, j->id, j);
		cell_owner_assume_stopping(o, j);
	}
}

/* Begins the occurrences that are due, and finishes those whose tasks were all
 * done when the previous owner was lost. */
static void
resume_job(struct cell_owner *o, struct cell_job *j, ogl_time now)
{
	guint i;
	size_t k;

	cell_owner_begin_due_occurrences(o, j);
	cell_owner_assume_stopping(o, j);
	for (i = 0; i < j->occurrences->len; i++) {
		struct cell_occurrence *oc = j->occurrences->pdata[i];

		for (k = 0; k < j->def->n_steps; k++) {
			cell_owner_assume_running(o, &oc->stages[k]);
			if (oc->stages[k].ndone == oc->stages[k].ntasks)
				oc->nstages_done++;
		}
		if (oc->nstages_done == j->def->n_steps) {
			cell_owner_occurrence_done(o, j, oc, now);
			if (cell_job_state_ended(j->state))
				return;
			i--;
		}
	}
}

/* The longest validity of the tickets that starts of open jobs carry; 0 if some
 * need none, by their terms or by the present configuration. */
static ogl_time
longest_ticket_validity(const struct cell_owner *o)
{
	uint32_t longest_ms = 0;
	GHashTableIter it;
	gpointer p;

	if (o->config == NULL)
		return 0;
	g_hash_table_iter_init(&it, o->jobs);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct cell_job *j = p;
		struct cell_queue q;

		if (cell_job_state_ended(j->state))
			continue;
		q = cell_queue_of_job(o->config, j->def);
		if (j->def->terms == NULL || !j->def->terms->policy ||
		    !q.policy.needed)
			return 0;
		longest_ms = MAX(longest_ms,
		    MAX(j->def->terms->valid_ms, q.policy.valid_ms));
	}
	return (ogl_time)longest_ms * OGL_MS;
}

void
cell_owner_loaded(void *arg, const struct cell_loaded *l, ogl_time now)
{
	struct cell_owner *o = arg;
	GList *all, *at;
	guint open;
	char text[160];

	keep_unreadable(o, l);
	restore_jobs(o, l, now);
	open = g_hash_table_size(o->jobs);
	restore_ended_jobs(o, l->progress);
	o->phase = PHASE_SERVING;
	cell_journal_open(o->journal, o->epoch, o->store_took);
	cell_relay_open(o->relay, o->epoch);
	cell_fleet_open(o->fleet, o->epoch, now);
	cell_fleet_set_ticket_validity(o->fleet, longest_ticket_validity(o));
	cell_escrow_open(o->escrow, o->epoch);
	cell_advice_open(o->advice, o->epoch);
	cell_sched_open(o->sched, now);
	all = g_hash_table_get_values(o->jobs);
	for (at = all; at != NULL; at = at->next) {
		struct cell_job *j = at->data;

		if (!cell_job_state_ended(j->state))
			resume_job(o, j, now);
	}
	g_list_free(all);
	if (!cell_known_unpack(l->workers, expect_worker, o, now)) {
		o->ops->log(o->ops->ctx, "owner", "record_unreadable",
		    CELL_WORKERS_KEY);
		cell_fleet_expect_unknown(o->fleet);
	}
	o->worker_records = CELL_FLEET_LOADED_RECORD;
	cell_fleet_record_sent(o->fleet, o->worker_records);
	g_snprintf(text, sizeof text,
	    "shard=%u epoch=%" G_GUINT64_FORMAT
	    " jobs=%u open=%u unreadable=%u took_ms=%" G_GINT64_FORMAT,
	    o->params.shard, o->epoch, g_hash_table_size(o->jobs), open,
	    g_hash_table_size(o->unreadable), (now - o->opened_at) / OGL_MS);
	o->ops->log(o->ops->ctx, "owner", "cell_taken_over", text);
}
