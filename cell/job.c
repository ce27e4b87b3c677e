/*
 * Creates, changes and frees jobs in memory; job_record.c has their records.
 *
 * A job's occurrences are made when they are due and freed once all their tasks
 * are done, which limits the memory of a job that is repeated many times.
 */

#include <string.h>

#include "job.h"

/* A body of 256 KiB could ask for more tasks, as a step's count is one number
 * in it. */
#define STEP_TASKS_MAX 20000
#define STEPS_MAX 1000
#define JOB_TASKS_MAX 100000
/* All starts of a gang are under way at the same time, each with a request in
 * memory. */
#define GANG_TASKS_MAX 5000
/* Its finished occurrences are listed in one record. */
#define REPEATS_MAX 40000
/* The end of the year 9999, Unix ms. */
#define DUE_MAX_MS UINT64_C(253402300799999)
/* Bytes of a submission's record for what is added to the caller's part. */
#define DEF_EXTRA_BYTES 4096
/* A record that asks for more tasks than fit into a node's memory is not one
 * that an owner has written. */
#define RECORD_TASKS_MAX 1000000

bool
cell_id_valid(struct ogl_str id)
{
	size_t i;

	if (id.n != CELL_ID_LEN)
		return false;
	for (i = 0; i < id.n; i++) {
		if (!g_ascii_isxdigit(id.p[i]))
			return false;
	}
	return true;
}

static uint64_t
count_tasks(const Ogl__CellJob *def)
{
	uint64_t n = 0;
	size_t i;

	for (i = 0; i < def->n_steps; i++)
		n += def->steps[i]->count;
	return n;
}

static bool
after_earlier_steps(const Ogl__CellJob *def, size_t number)
{
	const Ogl__CellStep *s = def->steps[number];
	size_t i;

	for (i = 0; i < s->n_after; i++) {
		if (s->after[i] >= number)
			return false;
	}
	return true;
}

static bool
times_valid(const Ogl__CellJob *def)
{
	return def->repeats == 0 ||
	       (def->first_due_ms <= DUE_MAX_MS &&
		   def->interval_ms <=
		       (DUE_MAX_MS - def->first_due_ms) / def->repeats);
}

/* Whether the job can be worked with, whatever its size.  If not, sets *why. */
static bool
def_consistent(const Ogl__CellJob *def, const char **why)
{
	size_t i;

	if (def->n_steps == 0) {
		*why = "the number of steps is out of range";
		return false;
	}
	for (i = 0; i < def->n_steps; i++) {
		if (def->steps[i]->count == 0) {
			*why = "a step's count is out of range";
			return false;
		}
		if (!after_earlier_steps(def, i)) {
			*why = "a step may only come after earlier steps";
			return false;
		}
	}
	if (!times_valid(def)) {
		*why = "first_run_ms or interval_ms is out of range";
		return false;
	}
	return true;
}

static bool
within_bounds(const Ogl__CellJob *def, const char **why)
{
	size_t i;

	if (def->n_steps > STEPS_MAX) {
		*why = "the number of steps is out of range";
		return false;
	}
	for (i = 0; i < def->n_steps; i++) {
		if (def->steps[i]->count > STEP_TASKS_MAX) {
			*why = "a step's count is out of range";
			return false;
		}
		if (def->steps[i]->gang &&
		    def->steps[i]->count > GANG_TASKS_MAX) {
			*why = "a gang has too many tasks";
			return false;
		}
	}
	if (count_tasks(def) > JOB_TASKS_MAX) {
		*why = "the job has too many tasks";
		return false;
	}
	if (def->repeats > REPEATS_MAX) {
		*why = "repeat_count is out of range";
		return false;
	}
	return true;
}

bool
cell_job_def_readable(const Ogl__CellJob *def)
{
	const char *why;

	return def_consistent(def, &why) &&
	       count_tasks(def) <= RECORD_TASKS_MAX;
}

bool
cell_job_def_valid(const Ogl__CellJob *def, const char **why)
{
	if (!def_consistent(def, why) || !within_bounds(def, why))
		return false;
	if (ogl__cell_job__get_packed_size(def) + DEF_EXTRA_BYTES >
	    CELL_RECORD_MAX_BYTES) {
		*why = "the job is too large";
		return false;
	}
	return true;
}

bool
cell_job_def_storable(const Ogl__CellJob *def, const char **why)
{
	if (!def_consistent(def, why) || !within_bounds(def, why))
		return false;
	if (cell_job_def_record_bytes(def) > CELL_RECORD_MAX_BYTES) {
		*why = "the job is too large";
		return false;
	}
	return true;
}

/* ---- making and freeing ----------------------------------------------- */

static void
approval_clear(void *p)
{
	struct cell_approval *approval = p;

	g_free(approval->ticket);
}

static void
stage_init(struct cell_stage *s, struct cell_job *j, uint32_t occurrence,
    uint32_t step)
{
	s->job = j;
	s->occurrence = occurrence;
	s->step = step;
	s->def = j->def->steps[step];
	s->ntasks = s->def->count;
	s->tasks = g_new0(struct cell_task, s->ntasks);
	s->link.data = s;
	s->approvals = g_array_new(FALSE, TRUE, sizeof(struct cell_approval));
	g_array_set_clear_func(s->approvals, approval_clear);
	s->asked = g_hash_table_new(NULL, NULL);
}

static void
failures_free(struct cell_failures *f)
{
	if (f == NULL)
		return;
	g_array_unref(f->runs);
	g_free(f);
}

static void
stage_clear(struct cell_stage *s)
{
	uint32_t i;

	for (i = 0; i < s->ntasks; i++) {
		g_free(s->tasks[i].checkpoint);
		g_free(s->tasks[i].avoid_worker);
		failures_free(s->tasks[i].failures);
	}
	g_free(s->tasks);
	g_array_unref(s->approvals);
	g_hash_table_unref(s->asked);
}

static void
occurrence_free(void *p, size_t nstages)
{
	struct cell_occurrence *o = p;
	size_t i;

	for (i = 0; i < nstages; i++)
		stage_clear(&o->stages[i]);
	g_free(o->stages);
	g_free(o);
}

/* A step depends only on earlier steps, so the longest chain that starts with
 * each step is computed from the last step backwards. */
static void
compute_chains_from(struct cell_job *j)
{
	size_t i, k;

	j->chain_from_ms = g_new0(double, j->def->n_steps);
	for (i = j->def->n_steps; i-- > 0;) {
		const Ogl__CellStep *s = j->def->steps[i];

		j->chain_from_ms[i] += s->estimate_ms;
		for (k = 0; k < s->n_after; k++) {
			double *before = &j->chain_from_ms[s->after[k]];

			*before = MAX(*before, j->chain_from_ms[i]);
		}
	}
}

static double
step_ms(const struct cell_job *j, size_t step)
{
	double took = j->measured_ms[step];

	return took > 0 ? took : j->def->steps[step]->estimate_ms;
}

static double
longest_chain_ms(const struct cell_job *j)
{
	double *end = g_new0(double, j->def->n_steps);
	double longest = 0;
	size_t i, k;

	for (i = 0; i < j->def->n_steps; i++) {
		const Ogl__CellStep *s = j->def->steps[i];
		double before = 0;

		for (k = 0; k < s->n_after; k++)
			before = MAX(before, end[s->after[k]]);
		end[i] = before + step_ms(j, i);
		longest = MAX(longest, end[i]);
	}
	g_free(end);
	return longest;
}

/* Computes the longest chain of declared run times and the declared processor
 * time of all tasks. */
static void
compute_declared_work(struct cell_job *j)
{
	size_t i;

	j->measured_ms = g_new0(double, j->def->n_steps);
	j->chain_ms = longest_chain_ms(j);
	for (i = 0; i < j->def->n_steps; i++) {
		const Ogl__CellStep *s = j->def->steps[i];

		j->cpu_seconds +=
		    s->count * (s->estimate_ms / 1e3) * (s->cpu_milli / 1e3);
	}
	compute_chains_from(j);
}

void
cell_job_record_run_ms(struct cell_job *j, uint32_t step, double ms)
{
	j->measured_ms[step] = MAX(j->measured_ms[step], ms);
}

double
cell_job_measured_chain_ms(const struct cell_job *j)
{
	return longest_chain_ms(j);
}

static struct cell_job *
job_alloc(const char *id, const char *team, const char *queue)
{
	struct cell_job *j = g_new0(struct cell_job, 1);

	g_strlcpy(j->id, id, sizeof j->id);
	j->team = g_strdup(team);
	j->queue_name = g_strdup(queue);
	j->occurrences = g_ptr_array_new();
	j->finished = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	return j;
}

bool
cell_job_def_open_ended(const Ogl__CellJob *def)
{
	size_t i;

	for (i = 0; i < def->n_steps; i++) {
		if (def->steps[i]->lasting)
			return true;
	}
	return def->repeats > 0;
}

struct cell_job *
cell_job_new(Ogl__CellJob *def, ogl_time now)
{
	struct cell_job *j = job_alloc(def->id, def->team, def->queue);

	j->def = def;
	j->accepted = now;
	j->waits_since = now;
	j->clock.since = now;
	j->clock.cause = CELL_WAIT_STORE;
	compute_declared_work(j);
	return j;
}

/* ---- runs that are no longer needed ------------------------------------- */

static struct ogl_res
step_need(const Ogl__CellStep *s)
{
	struct ogl_res need = {
	    s->fills ? 0 : s->cpu_milli, s->mem_mb, s->accel};

	return need;
}

static struct cell_stopping *
find_stopping(const struct cell_job *j, uint32_t step)
{
	guint i;

	for (i = 0; j->stopping != NULL && i < j->stopping->len; i++) {
		struct cell_stopping *s =
		    &g_array_index(j->stopping, struct cell_stopping, i);

		if (s->step == step)
			return s;
	}
	return NULL;
}

void
cell_job_add_stopping(struct cell_job *j, const struct cell_stopping *more)
{
	struct cell_stopping *s = find_stopping(j, more->step);

	if (s != NULL) {
		s->count += more->count;
		s->assumed += more->assumed;
		return;
	}
	if (j->stopping == NULL)
		j->stopping =
		    g_array_new(FALSE, FALSE, sizeof(struct cell_stopping));
	g_array_append_val(j->stopping, *more);
}

void
cell_job_stopping_over(struct cell_job *j, uint32_t step)
{
	struct cell_stopping *s = find_stopping(j, step);

	if (s != NULL && s->count > s->assumed)
		s->count--;
}

bool
cell_job_step_need(
    const struct cell_job *j, uint32_t step, struct ogl_res *need)
{
	const struct cell_stopping *s = find_stopping(j, step);

	if (s != NULL)
		*need = s->need;
	else if (j->def != NULL && step < j->def->n_steps)
		*need = step_need(j->def->steps[step]);
	else
		return false;
	return true;
}

struct cell_job *
cell_job_new_ended(const char *id, const Ogl__CellProgress *p)
{
	struct cell_job *j = job_alloc(id, p->team, "");

	j->state = p->state;
	j->ended_ms = p->ended_ms;
	j->begun = p->begun;
	j->stored = true;
	cell_job_restore_stopping(j, p);
	return j;
}

void
cell_job_clear(struct cell_job *j)
{
	guint i;

	for (i = 0; i < j->occurrences->len; i++)
		occurrence_free(j->occurrences->pdata[i], j->def->n_steps);
	g_ptr_array_set_size(j->occurrences, 0);
	if (j->def != NULL)
		ogl__cell_job__free_unpacked(j->def, NULL);
	j->def = NULL;
	g_clear_pointer(&j->queue_config, g_free);
	g_clear_pointer(&j->chain_from_ms, g_free);
	g_clear_pointer(&j->measured_ms, g_free);
	g_clear_pointer(&j->expected, g_free);
}

void
cell_job_free(struct cell_job *j)
{
	cell_job_clear(j);
	g_ptr_array_unref(j->occurrences);
	g_array_unref(j->finished);
	g_free(j->team);
	g_free(j->queue_name);
	g_clear_pointer(&j->parts, g_hash_table_unref);
	if (j->stopping != NULL)
		g_array_unref(j->stopping);
	g_free(j);
}

/* ---- occurrences and stages ------------------------------------------- */

struct cell_occurrence *
cell_job_occurrence(const struct cell_job *j, uint32_t number)
{
	guint i;

	for (i = 0; i < j->occurrences->len; i++) {
		struct cell_occurrence *o = j->occurrences->pdata[i];

		if (o->number == number)
			return o;
	}
	return NULL;
}

bool
cell_job_occurrence_finished(const struct cell_job *j, uint32_t number)
{
	guint i;

	for (i = 0; i < j->finished->len; i++) {
		if (g_array_index(j->finished, uint32_t, i) == number)
			return true;
	}
	return false;
}

struct cell_occurrence *
cell_job_begin_occurrence(struct cell_job *j, uint32_t number, ogl_time due)
{
	struct cell_occurrence *o = cell_job_occurrence(j, number);
	uint32_t i;

	if (o != NULL)
		return o;
	o = g_new0(struct cell_occurrence, 1);
	o->number = number;
	o->due = due;
	o->stages = g_new0(struct cell_stage, j->def->n_steps);
	for (i = 0; i < j->def->n_steps; i++)
		stage_init(&o->stages[i], j, number, i);
	g_ptr_array_add(j->occurrences, o);
	j->next_occurrence = MAX(j->next_occurrence, number + 1);
	return o;
}

void
cell_job_finish_occurrence(struct cell_job *j, struct cell_occurrence *o)
{
	uint32_t number = o->number;

	g_array_append_val(j->finished, number);
	g_ptr_array_remove(j->occurrences, o);
	occurrence_free(o, j->def->n_steps);
}

void
cell_stage_delay_start(struct cell_stage *s, uint32_t index, ogl_time until)
{
	struct cell_task *t = cell_stage_shared_task(s, index);

	t->not_before = MAX(t->not_before, until);
	t->silent_workers++;
}

void
cell_stage_end_delay(struct cell_stage *s, uint32_t index, ogl_time now)
{
	struct cell_task *t = cell_stage_shared_task(s, index);

	if (t->silent_workers > 0 && --t->silent_workers == 0)
		t->not_before = MIN(t->not_before, now);
}

struct cell_approval *
cell_stage_approval(const struct cell_stage *s, uint32_t worker)
{
	guint i;

	for (i = 0; i < s->approvals->len; i++) {
		struct cell_approval *approval =
		    &g_array_index(s->approvals, struct cell_approval, i);

		if (approval->worker == worker)
			return approval;
	}
	return NULL;
}

bool
cell_stage_ready(const struct cell_stage *s)
{
	const struct cell_occurrence *o =
	    cell_job_occurrence(s->job, s->occurrence);
	size_t i;

	for (i = 0; i < s->def->n_after; i++) {
		const struct cell_stage *before = &o->stages[s->def->after[i]];

		if (before->ndone < before->ntasks)
			return false;
	}
	return true;
}

struct ogl_res
cell_stage_need(const struct cell_stage *s)
{
	return step_need(s->def);
}

uint32_t
cell_stage_waiting(const struct cell_stage *s)
{
	return s->ntasks - s->ndone - s->nactive;
}

bool
cell_job_state_ended(Ogl__CellJobState s)
{
	return s == OGL__CELL_JOB_STATE__cell_completed ||
	       s == OGL__CELL_JOB_STATE__cell_failed ||
	       s == OGL__CELL_JOB_STATE__cell_cancelled;
}

struct cell_stage *
cell_job_stage(const struct cell_job *j, const struct cell_task_name *name)
{
	struct cell_occurrence *o;

	if (j->def == NULL || name->step >= j->def->n_steps)
		return NULL;
	o = cell_job_occurrence(j, name->occurrence);
	if (o == NULL || name->index >= o->stages[name->step].ntasks)
		return NULL;
	return &o->stages[name->step];
}

static struct cell_failures *
get_failures(struct cell_task *t)
{
	if (t->failures == NULL) {
		t->failures = g_new0(struct cell_failures, 1);
		t->failures->runs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	}
	return t->failures;
}

/* Index of the first kept number that is not lower. */
static guint
failure_index(const struct cell_failures *f, uint64_t run)
{
	guint i = f->runs->len;

	while (i > 0 && g_array_index(f->runs, uint64_t, i - 1) >= run)
		i--;
	return i;
}

bool
cell_task_run_failed(const struct cell_task *t, uint64_t run)
{
	const struct cell_failures *f = t->failures;
	guint i;

	if (f == NULL)
		return false;
	if (f->others > 0 && run <= f->restored_max &&
	    run < g_array_index(f->runs, uint64_t, 0))
		return true;
	i = failure_index(f, run);
	return i < f->runs->len && g_array_index(f->runs, uint64_t, i) == run;
}

bool
cell_task_record_failure(struct cell_task *t, uint64_t run)
{
	struct cell_failures *f;

	if (cell_task_run_failed(t, run))
		return false;
	f = get_failures(t);
	g_array_insert_val(f->runs, failure_index(f, run), run);
	if (f->runs->len > CELL_FAILED_RUNS_MAX) {
		g_array_remove_index(f->runs, 0);
		/* A lasting task may fail without limit. */
		f->others += f->others < G_MAXUINT32 - CELL_FAILED_RUNS_MAX;
	}
	return true;
}

void
cell_task_restore_failures(
    struct cell_task *t, const uint64_t *runs, size_t n, uint32_t others)
{
	struct cell_failures *f;
	size_t i;

	for (i = 0; i < n; i++)
		cell_task_record_failure(t, runs[i]);
	if (n == 0)
		return;
	f = get_failures(t);
	f->others +=
	    MIN(others, G_MAXUINT32 - CELL_FAILED_RUNS_MAX - f->others);
	f->restored_max = g_array_index(f->runs, uint64_t, f->runs->len - 1);
}

uint32_t
cell_task_failures(const struct cell_task *t)
{
	return t->failures != NULL
		   ? t->failures->runs->len + t->failures->others
		   : 0;
}

struct cell_task *
cell_stage_shared_task(struct cell_stage *s, uint32_t index)
{
	return &s->tasks[s->def->gang ? 0 : index];
}

void
cell_task_save_checkpoint(struct cell_task *t, const char *checkpoint)
{
	if (checkpoint == NULL || *checkpoint == '\0')
		return;
	if (t->checkpoint != NULL && strcmp(t->checkpoint, checkpoint) == 0)
		return;
	g_free(t->checkpoint);
	t->checkpoint = g_strdup(checkpoint);
}
