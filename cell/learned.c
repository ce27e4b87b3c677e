/*
 * Feeds ends of runs to policy/runtime.c and keeps its estimates with each job.
 *
 * Estimates are kept with the job because the scheduler asks for them for each
 * waiting stage in every pass.
 */

#include <math.h>

#include "learned.h"
#include "runtime.h"

/* Estimates are used once the queue has as many samples as its prior, as they
 * then depend on what was seen at least as much as on what was declared. */
#define SAMPLES_MIN 8.0
/* A job's estimates are renewed after this time.  A queue of the known cells
 * ends about one step in that time, which changes an estimate by 1 in 64. */
#define UPDATE_INTERVAL OGL_SEC
/* A run began at an unknown time between the decision to start it and the
 * first answer that shows it.  It is used if that is at most this part of its
 * run time. */
#define START_UNSURE_MAX 0.25
/* Least weight of the newest sample of a worker's pace, and the samples of a
 * healthy worker that it begins with. */
#define PACE_WEIGHT_MIN (1.0 / 64)
#define PACE_PRIOR_SAMPLES 8.0
#define REPORT_INTERVAL (5 * OGL_SEC)
/* Queues are the operator's and few; names that are no longer used are dropped
 * when there are this many. */
#define REPORTS_MAX 256

/* Errors of a queue's estimates since the last log line, weighted like the
 * samples. */
struct report {
	ogl_time due;
	double weight;
	double error;
	double declared_error;
};

struct cell_learned {
	const struct cell_ops *ops;
	struct ogl_runtime *runtime;
	GHashTable *reports; /* queue -> struct report */
};

struct cell_learned *
cell_learned_init(const struct cell_ops *ops)
{
	struct cell_learned *l = g_new0(struct cell_learned, 1);

	l->ops = ops;
	l->runtime = ogl_runtime_init();
	l->reports =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return l;
}

void
cell_learned_end(struct cell_learned *l)
{
	g_hash_table_unref(l->reports);
	ogl_runtime_end(l->runtime);
	g_free(l);
}

void
cell_learned_clear(struct cell_learned *l)
{
	ogl_runtime_clear(l->runtime);
	g_hash_table_remove_all(l->reports);
}

/* ---- estimates -------------------------------------------------------- */

/* As compute_chains_from in job.c. */
static void
compute_chains(const struct cell_job *j, struct cell_expected *e)
{
	size_t i, k;

	e->chain_ms = 0;
	for (i = j->def->n_steps; i-- > 0;) {
		const Ogl__CellStep *s = j->def->steps[i];
		struct cell_expected_step *x = &e->steps[i];

		x->chain_from_ms += x->run_ms;
		e->chain_ms = MAX(e->chain_ms, x->chain_from_ms);
		for (k = 0; k < s->n_after; k++) {
			double *before = &e->steps[s->after[k]].chain_from_ms;

			*before = MAX(*before, x->chain_from_ms);
		}
	}
}

static void
estimate_steps(
    struct cell_learned *l, const struct cell_job *j, struct cell_expected *e)
{
	size_t i;

	for (i = 0; i < j->def->n_steps; i++) {
		struct cell_expected_step *x = &e->steps[i];

		x->run_ms =
		    ogl_runtime_estimate_ms(l->runtime, ogl_str(j->def->queue),
			ogl_str(j->def->team), j->def->steps[i]->estimate_ms);
		x->chain_from_ms = 0;
		if (x->first_ms <= 0)
			x->first_ms = x->run_ms;
	}
	compute_chains(j, e);
}

void
cell_learned_update_job(
    struct cell_learned *l, struct cell_job *j, ogl_time now)
{
	struct cell_expected *e = j->expected;

	if (l == NULL || j->def == NULL)
		return;
	if (e == NULL) {
		e = g_malloc0(sizeof *e + j->def->n_steps * sizeof e->steps[0]);
		j->expected = e;
	} else if (now - e->updated_at < UPDATE_INTERVAL) {
		return;
	}
	e->updated_at = now;
	e->known = ogl_runtime_samples(l->runtime, ogl_str(j->def->queue)) >=
		   SAMPLES_MIN;
	if (e->known)
		estimate_steps(l, j, e);
}

static bool
known(const struct cell_job *j)
{
	return j->expected != NULL && j->expected->known;
}

double
cell_learned_run_ms(const struct cell_job *j, uint32_t step)
{
	return known(j) ? j->expected->steps[step].run_ms
			: j->def->steps[step]->estimate_ms;
}

double
cell_learned_chain_from_ms(const struct cell_job *j, uint32_t step)
{
	return known(j) ? j->expected->steps[step].chain_from_ms
			: j->chain_from_ms[step];
}

double
cell_learned_chain_ms(const struct cell_job *j)
{
	return known(j) ? j->expected->chain_ms : j->chain_ms;
}

/* ---- learning --------------------------------------------------------- */

/* The members of a gang do nothing before the last one runs. */
static ogl_time
running_since(const struct cell_run *r)
{
	const struct cell_stage *st = r->stage;
	ogl_time since = r->running_since;
	uint32_t i;

	for (i = 0; st->def->gang && i < st->ntasks; i++) {
		const struct cell_run *m = st->tasks[i].active;

		if (m != NULL)
			since = MAX(since, m->running_since);
	}
	return since;
}

/* Whether the time from `since` to now is that of the whole task.  It is not if
 * the run continued from a checkpoint, or if an earlier owner started it.  Runs
 * of filling steps get only the processor time that others leave. */
static bool
ran_whole_task(const struct cell_run *r, ogl_time since, ogl_time now)
{
	const struct cell_task *t =
	    cell_stage_shared_task(r->stage, r->name.index);

	return r->start_sent && r->running_since != 0 &&
	       !r->stage->def->fills &&
	       (t->checkpoint == NULL || *t->checkpoint == '\0') &&
	       (double)(since - r->created_at) <=
		   START_UNSURE_MAX * (double)(now - since);
}

/*
 * The fleet's pace of a worker follows its last ten samples of progress, which
 * compare with declared times.  It therefore shows the errors of the very
 * declarations that are to be learned here: a run that was declared far too
 * short makes its worker look slow.  Averaged over many runs the errors are
 * nearly the same for each worker.
 */
static void
learn_pace(struct cell_worker *w, double pace)
{
	double weight;

	if (pace <= 0)
		return;
	w->nlearned++;
	weight = MAX(PACE_WEIGHT_MIN, 1 / (PACE_PRIOR_SAMPLES + w->nlearned));
	w->log_pace += weight * (log(pace) - w->log_pace);
}

/* The pace of a gang is that of its slowest member. */
static double
mean_pace(const struct cell_run *r)
{
	const struct cell_stage *st = r->stage;
	double log_pace = r->worker->log_pace;
	uint32_t i;

	for (i = 0; st->def->gang && i < st->ntasks; i++) {
		const struct cell_run *m = st->tasks[i].active;

		if (m != NULL)
			log_pace = MAX(log_pace, m->worker->log_pace);
	}
	return exp(log_pace);
}

static struct report *
report_of(struct cell_learned *l, const char *queue, ogl_time now)
{
	struct report *p = g_hash_table_lookup(l->reports, queue);

	if (p == NULL) {
		if (g_hash_table_size(l->reports) >= REPORTS_MAX)
			g_hash_table_remove_all(l->reports);
		p = g_new0(struct report, 1);
		p->due = now + REPORT_INTERVAL;
		g_hash_table_insert(l->reports, g_strdup(queue), p);
	}
	return p;
}

static void
log_report(
    struct cell_learned *l, const char *queue, struct report *p, ogl_time now)
{
	struct ogl_str q = ogl_str(queue);
	char text[320];

	if (now < p->due || p->weight <= 0)
		return;
	g_snprintf(text, sizeof text,
	    "queue=%s samples=%.0f mean_ms=%.0f error_permille=%.0f "
	    "declared_error_permille=%.0f failed_permille=%.0f",
	    queue, ogl_runtime_samples(l->runtime, q),
	    ogl_runtime_mean_ms(l->runtime, q), 1000 * p->error / p->weight,
	    1000 * p->declared_error / p->weight,
	    1000 * ogl_runtime_failed_share(l->runtime, q));
	l->ops->log(l->ops->ctx, "owner", "runtime_learned", text);
	*p = (struct report){.due = now + REPORT_INTERVAL};
}

/* Compares the job's first estimate and the declared time with the time taken.
 * Later estimates may have been learned from other runs of the same step. */
static void
record_errors(struct cell_learned *l, const struct cell_stage *st,
    const struct ogl_runtime_run *run, ogl_time now)
{
	const struct cell_job *j = st->job;
	struct report *p;
	double actual_ms, error, declared_error;

	if (!known(j) || run->declared_ms <= 0)
		return;
	actual_ms = MAX(run->ran_ms / run->pace, 1);
	error =
	    ABS(j->expected->steps[st->step].first_ms - actual_ms) / actual_ms;
	declared_error = ABS(run->declared_ms - actual_ms) / actual_ms;
	l->ops->observe(
	    l->ops->ctx, "runtime_error_permille", (uint64_t)(1000 * error));
	l->ops->observe(l->ops->ctx, "declared_error_permille",
	    (uint64_t)(1000 * declared_error));
	p = report_of(l, j->def->queue, now);
	p->weight += run->weight;
	p->error += run->weight * error;
	p->declared_error += run->weight * declared_error;
	log_report(l, j->def->queue, p, now);
}

void
cell_learned_run_ended(struct cell_learned *l, const struct cell_run *r,
    enum cell_end how, double pace, ogl_time now)
{
	const struct cell_stage *st = r->stage;
	const Ogl__CellJob *def = st->job->def;
	ogl_time since = running_since(r);
	struct ogl_runtime_run run = {.declared_ms = st->def->estimate_ms,
	    .weight = st->def->gang ? 1 : 1.0 / MAX(st->ntasks, 1)};

	if (st->def->lasting ||
	    (how != CELL_END_DONE && how != CELL_END_FAILED))
		return;
	ogl_runtime_count_end(l->runtime, ogl_str(def->queue),
	    how == CELL_END_FAILED, run.weight);
	if (how == CELL_END_FAILED || !ran_whole_task(r, since, now))
		return;
	learn_pace(r->worker, pace);
	run.pace = mean_pace(r);
	run.ran_ms = (double)(now - since) / OGL_MS;
	record_errors(l, st, &run, now);
	ogl_runtime_add(
	    l->runtime, ogl_str(def->queue), ogl_str(def->team), &run);
}
