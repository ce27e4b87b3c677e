#include <string.h>

#include "account.h"

/* A result later than this many times the objective is worthless. */
#define LATE_OBJECTIVES_MAX 3

/* Causes are enum cell_wait; without a waiting stage, a stored job runs. */
static const char *const cause_names[CELL_NWAITS] = {
    "run", "store", "settle", "limit", "advice", "ticket", "room", "apart"};

/* A job whose end is being stored. */
struct ending {
	char *queue;
	char *team;
	Ogl__CellJobState state;
	double objective_ms;
	ogl_time began; /* the job's time counts from then on */
	struct cell_job_clock clock;
};

struct cell_account {
	const struct cell_ops *ops;
	GHashTable *endings; /* id -> struct ending */
};

static void
ending_free(void *p)
{
	struct ending *e = p;

	g_free(e->queue);
	g_free(e->team);
	g_free(e);
}

struct cell_account *
cell_account_init(const struct cell_ops *ops)
{
	struct cell_account *a = g_new0(struct cell_account, 1);

	a->ops = ops;
	a->endings =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, ending_free);
	return a;
}

void
cell_account_end(struct cell_account *a)
{
	g_hash_table_unref(a->endings);
	g_free(a);
}

void
cell_account_clear(struct cell_account *a)
{
	g_hash_table_remove_all(a->endings);
}

/* ---- what a job waits for --------------------------------------------- */

static void
charge(struct cell_job_clock *c, enum cell_wait next, ogl_time now)
{
	c->spent[c->cause] += MAX(now - c->since, 0);
	c->since = now;
	c->cause = next;
}

/* If stages wait for different reasons, the first in the order of enum
 * cell_wait counts. */
static enum cell_wait
cause_of(const struct cell_job *j)
{
	enum cell_wait cause = CELL_NWAITS;
	guint i;
	size_t k;

	for (i = 0; i < j->occurrences->len; i++) {
		const struct cell_occurrence *oc = j->occurrences->pdata[i];

		for (k = 0; k < j->def->n_steps; k++) {
			const struct cell_stage *st = &oc->stages[k];

			if (st->queue != NULL &&
			    st->wait_reason != CELL_WAIT_NONE)
				cause = MIN(cause, st->wait_reason);
		}
	}
	if (cause < CELL_NWAITS)
		return cause;
	return j->stored ? CELL_WAIT_NONE : CELL_WAIT_STORE;
}

void
cell_account_look(struct cell_job *j, ogl_time now)
{
	if (j->def != NULL)
		charge(&j->clock, cause_of(j), now);
}

void
cell_account_resume(struct cell_job *j, ogl_time now)
{
	j->clock.since = now;
	j->clock.cause = CELL_WAIT_SETTLE;
}

/* ---- counting --------------------------------------------------------- */

static void
count(const struct cell_account *a, const char *name, const char *queue,
    const char *team, const char *label, const char *value, uint64_t by)
{
	struct cell_label labels[3] = {{"queue", queue}, {label, value}};
	size_t n = 2;

	if (team != NULL) {
		labels[n].name = "team";
		labels[n++].value = team;
	}
	if (a->ops->count_labels != NULL)
		a->ops->count_labels(a->ops->ctx, name, labels, n, by);
}

void
cell_account_refused(
    struct cell_account *a, const char *queue, const char *team)
{
	count(a, "jobs_ended", queue, team, "outcome", "refused", 1);
}

/* A job with occurrences has to end in time after the last one is due. */
static ogl_time
began(const struct cell_job *j)
{
	uint64_t due_ms;

	if (j->def->repeats == 0)
		return j->accepted;
	due_ms = j->def->first_due_ms +
		 (uint64_t)(j->def->repeats - 1) * j->def->interval_ms;
	if (due_ms <= j->def->accepted_ms)
		return j->accepted;
	return j->accepted + (ogl_time)(due_ms - j->def->accepted_ms) * OGL_MS;
}

void
cell_account_job_ends(struct cell_account *a, struct cell_job *j,
    Ogl__CellJobState state, double objective_ms, ogl_time now)
{
	struct ending *e = g_new0(struct ending, 1);

	e->queue = g_strdup(j->def->queue);
	e->team = g_strdup(j->def->team);
	e->state = state;
	e->objective_ms = objective_ms;
	e->began = began(j);
	charge(&j->clock, CELL_WAIT_STORE, now);
	e->clock = j->clock;
	g_hash_table_replace(a->endings, g_strdup(j->id), e);
}

static const char *
outcome_of(const struct ending *e, ogl_time now)
{
	double took_ms = (double)(now - e->began) / OGL_MS;

	if (e->state == OGL__CELL_JOB_STATE__cell_cancelled)
		return "cancelled";
	if (e->state != OGL__CELL_JOB_STATE__cell_completed)
		return "failed";
	if (took_ms <= e->objective_ms)
		return "in_time";
	return took_ms <= LATE_OBJECTIVES_MAX * e->objective_ms ? "late"
								: "too_late";
}

void
cell_account_end_stored(struct cell_account *a, const char *id, ogl_time now)
{
	struct ending *e = g_hash_table_lookup(a->endings, id);
	const char *outcome;
	size_t i;

	if (e == NULL)
		return;
	outcome = outcome_of(e, now);
	count(a, "jobs_ended", e->queue, e->team, "outcome", outcome, 1);
	charge(&e->clock, CELL_WAIT_STORE, now);
	if (strstr(outcome, "late") != NULL) {
		for (i = 0; i < CELL_NWAITS; i++) {
			if (e->clock.spent[i] >= OGL_MS)
				count(a, "jobs_late_ms", e->queue, NULL,
				    "cause", cause_names[i],
				    (uint64_t)(e->clock.spent[i] / OGL_MS));
		}
	}
	g_hash_table_remove(a->endings, id);
}

/* ---- log lines -------------------------------------------------------- */

void
cell_log_job(const struct cell_ops *ops, const char *part, const char *event,
    const char *id, ogl_time accepted, const char *text)
{
	char whole[400];

	if (ops->log_job != NULL) {
		ops->log_job(ops->ctx, part, event, id, accepted, text);
		return;
	}
	g_snprintf(whole, sizeof whole, "job=%s %s", id, text);
	ops->log(ops->ctx, part, event, whole);
}
