/*
 * losses: what made jobs late, over all jobs of collected log lines.
 *
 * The owner logs a line (stage_waits) whenever the reason changes why a step's
 * tasks don't run.  The time between two such lines of a step is attributed to
 * the reason in the first one.  Failed runs are lost time as well, and so is
 * the time that the store took to accept the job.  "long-runs" is the sum of
 * the longest successful run of each step minus the job's declared run time:
 * it is due to slow workers or low estimates.  The rest is "other": messages in
 * transit, and time without an owner.
 *
 * Lines may come from several nodes but must be sorted by time within each
 * file.  After a change of owner a step's reason stays in effect until the next
 * owner logs one.
 */

#include <stdio.h>
#include <string.h>

#include "ctl.h"
#include "logline.h"

/* A job that takes longer than this multiple of its objective is too late: the
 * result has no value to the caller any more. */
#define TOO_LATE_OBJECTIVES 3
#define INTERVAL_S 10.0 /* late jobs are counted per interval */

/* The ones before FAILED_RUNS are the reasons that stage_waits lines give. */
enum reason {
	STORE,
	SETTLE,
	LIMIT,
	ADVICE,
	TICKET,
	ROOM,
	APART,
	FAILED_RUNS,
	LONG_RUNS,
	OTHER,
	NREASONS
};

static const char *const reason_names[NREASONS] = {"store", "settle", "limit",
    "advice", "ticket", "room", "apart", "failed-runs", "long-runs", "other"};

enum outcome {
	IN_TIME,
	LATE,
	TOO_LATE,
	OPEN, /* the lines don't include its end */
	FAILED,
	CANCELLED,
	NOUTCOMES
};

static const char *const outcome_names[NOUTCOMES] = {
    "in-time", "late", "too-late", "open", "failed", "cancelled"};

/* Why a step waits.  Times with suffix _s are seconds since the epoch. */
struct step_wait {
	enum reason reason;
	double since_s;
};

struct job {
	char *queue;
	double accepted_s; /* when the owner received it, before storing */
	double objective_ms;
	double chain_ms; /* longest chain of run times, declared or measured */
	bool over_rate;  /* the team was beyond its rate */
	double ended_s;
	char *state;       /* NULL until the end is read */
	GHashTable *waits; /* step -> struct step_wait */
	GHashTable *runs; /* step -> double, its longest successful run in ms */
	double lost_ms[NREASONS];
};

/* Sums over the jobs of a queue.  Jobs beyond their team's rate are counted in
 * beyond_rate only. */
struct queue {
	unsigned jobs[NOUTCOMES];
	unsigned beyond_rate;
	unsigned late_jobs[NREASONS]; /* by the main reason */
	double lost_ms[NREASONS];     /* of the late jobs */
	GHashTable *intervals; /* index -> unsigned[NREASONS], like late_jobs */
};

struct report {
	GHashTable *jobs;   /* id -> struct job */
	GHashTable *queues; /* name -> struct queue */
	double start_s;     /* earliest accepted_s */
};

static void
job_free(void *p)
{
	struct job *j = p;

	g_free(j->queue);
	g_free(j->state);
	g_hash_table_unref(j->waits);
	g_hash_table_unref(j->runs);
	g_free(j);
}

static void
queue_free(void *p)
{
	struct queue *q = p;

	g_hash_table_unref(q->intervals);
	g_free(q);
}

/* ---- reading ---------------------------------------------------------- */

static void
add_job(struct report *rep, const char *id, const char *line)
{
	struct job *j;

	if (g_hash_table_contains(rep->jobs, id))
		return;
	j = g_new0(struct job, 1);
	j->queue = ctl_field(line, "queue");
	j->lost_ms[STORE] = ctl_field_number(line, "store_ms");
	j->accepted_s = ctl_field_number(line, "ts") - j->lost_ms[STORE] / 1e3;
	j->objective_ms = ctl_field_number(line, "objective_ms");
	j->chain_ms = ctl_field_number(line, "chain_ms");
	j->over_rate = ctl_field_number(line, "over_rate") != 0;
	j->waits =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	j->runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(rep->jobs, g_strdup(id), j);
	rep->start_s = MIN(rep->start_s, j->accepted_s);
}

static void
end_wait(struct job *j, const char *step, double ts)
{
	struct step_wait *w = g_hash_table_lookup(j->waits, step);

	if (w != NULL)
		j->lost_ms[w->reason] += MAX(ts - w->since_s, 0) * 1e3;
	g_hash_table_remove(j->waits, step);
}

/* The task in a stage_waits line has no index, so it names a step. */
static void
record_wait(struct job *j, const char *line)
{
	double ts = ctl_field_number(line, "ts");
	char *step = ctl_field(line, "task");
	char *why = ctl_field(line, "why");
	struct step_wait *w;
	int r;

	if (step != NULL && why != NULL) {
		end_wait(j, step, ts);
		for (r = 0; r < FAILED_RUNS; r++) {
			if (strcmp(why, reason_names[r]) != 0)
				continue;
			w = g_new(struct step_wait, 1);
			w->reason = (enum reason)r;
			w->since_s = ts;
			g_hash_table_insert(j->waits, g_strdup(step), w);
		}
	}
	g_free(step);
	g_free(why);
}

/* A task's name is OCCURRENCE.STEP.INDEX, and that of its step is
 * OCCURRENCE.STEP. */
static void
record_successful_run(struct job *j, const char *line)
{
	char *step = ctl_field(line, "task");
	char *index = step != NULL ? strrchr(step, '.') : NULL;
	double ms = ctl_field_number(line, "age_ms");
	double *longest;

	if (index == NULL)
		goto out;
	*index = '\0';
	longest = g_hash_table_lookup(j->runs, step);
	if (longest == NULL) {
		longest = g_new0(double, 1);
		g_hash_table_insert(j->runs, g_strdup(step), longest);
	}
	*longest = MAX(*longest, ms);
out:
	g_free(step);
}

static void
record_run_end(struct job *j, const char *line)
{
	char *how = ctl_field(line, "how");

	if (g_strcmp0(how, "failed") == 0 || g_strcmp0(how, "lapsed") == 0)
		j->lost_ms[FAILED_RUNS] += ctl_field_number(line, "age_ms");
	else if (g_strcmp0(how, "done") == 0)
		record_successful_run(j, line);
	g_free(how);
}

/* The line of the job's end has the objective computed from measured run times;
 * the declared ones may be far off. */
static void
record_measured_objective(struct job *j, const char *line)
{
	double objective = ctl_field_number(line, "objective_ms");

	if (objective <= 0)
		return;
	j->objective_ms = objective;
	j->chain_ms = ctl_field_number(line, "chain_ms");
}

static void
record_job_end(struct job *j, const char *line)
{
	GHashTableIter it;
	gpointer p;

	if (j->state != NULL)
		return;
	j->state = ctl_field(line, "state");
	j->ended_s = ctl_field_number(line, "ts");
	record_measured_objective(j, line);
	g_hash_table_iter_init(&it, j->waits);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct step_wait *w = p;

		j->lost_ms[w->reason] += MAX(j->ended_s - w->since_s, 0) * 1e3;
	}
}

static void
read_line(void *arg, const char *line)
{
	struct report *rep = arg;
	char *event = ctl_field(line, "event");
	char *id = ctl_field(line, "job");
	struct job *j;

	if (event == NULL || id == NULL)
		goto out;
	if (strcmp(event, "job_accepted") == 0)
		add_job(rep, id, line);
	j = g_hash_table_lookup(rep->jobs, id);
	if (j == NULL)
		goto out;
	if (strcmp(event, "stage_waits") == 0)
		record_wait(j, line);
	else if (strcmp(event, "run_ended") == 0)
		record_run_end(j, line);
	else if (strcmp(event, "job_ended") == 0)
		record_job_end(j, line);
out:
	g_free(event);
	g_free(id);
}

/* ---- summing up ------------------------------------------------------- */

static double
job_ms(const struct job *j)
{
	return (j->ended_s - j->accepted_s) * 1e3;
}

static enum outcome
job_outcome(const struct job *j)
{
	if (j->state == NULL)
		return OPEN;
	if (strcmp(j->state, "cancelled") == 0)
		return CANCELLED;
	if (strcmp(j->state, "completed") != 0)
		return FAILED;
	if (job_ms(j) <= j->objective_ms)
		return IN_TIME;
	return job_ms(j) <= TOO_LATE_OBJECTIVES * j->objective_ms ? LATE
								  : TOO_LATE;
}

static struct queue *
get_queue(struct report *rep, const char *name)
{
	struct queue *q = g_hash_table_lookup(rep->queues, name);

	if (q != NULL)
		return q;
	q = g_new0(struct queue, 1);
	q->intervals = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	g_hash_table_insert(rep->queues, g_strdup(name), q);
	return q;
}

static unsigned *
interval_counts(struct queue *q, int index)
{
	gpointer key = GINT_TO_POINTER(index);
	unsigned *counts = g_hash_table_lookup(q->intervals, key);

	if (counts == NULL) {
		counts = g_new0(unsigned, NREASONS);
		g_hash_table_insert(q->intervals, key, counts);
	}
	return counts;
}

/* Returns the run time beyond the declared one.  The sum over the steps is too
 * high if steps run at the same time, so it is limited to the time that has no
 * other reason. */
static double
long_runs_ms(const struct job *j, double limit_ms)
{
	double ms = -j->chain_ms;
	GHashTableIter it;
	gpointer longest;

	g_hash_table_iter_init(&it, j->runs);
	while (g_hash_table_iter_next(&it, NULL, &longest))
		ms += *(const double *)longest;
	return CLAMP(ms, 0, limit_ms);
}

/* Counts a late job under the reason that took most of its time. */
static void
attribute_delay(struct report *rep, struct queue *q, struct job *j)
{
	double other_ms = job_ms(j) - j->chain_ms;
	int r, main_reason = OTHER;

	for (r = 0; r < LONG_RUNS; r++)
		other_ms -= j->lost_ms[r];
	other_ms = MAX(other_ms, 0);
	j->lost_ms[LONG_RUNS] = long_runs_ms(j, other_ms);
	j->lost_ms[OTHER] = other_ms - j->lost_ms[LONG_RUNS];
	for (r = 0; r < NREASONS; r++) {
		q->lost_ms[r] += j->lost_ms[r];
		if (j->lost_ms[r] > j->lost_ms[main_reason])
			main_reason = r;
	}
	q->late_jobs[main_reason]++;
	interval_counts(q,
	    (int)((j->accepted_s - rep->start_s) / INTERVAL_S))[main_reason]++;
}

static void
summarize_jobs(struct report *rep)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, rep->jobs);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct job *j = p;
		struct queue *q =
		    get_queue(rep, j->queue != NULL ? j->queue : "?");
		enum outcome o = job_outcome(j);

		if (j->over_rate) {
			q->beyond_rate++;
			continue;
		}
		q->jobs[o]++;
		if (o == LATE || o == TOO_LATE)
			attribute_delay(rep, q, j);
	}
}

/* ---- printing --------------------------------------------------------- */

static void
print_reasons(const char *head, const unsigned *counts)
{
	int r;

	printf("%s", head);
	for (r = 0; r < NREASONS; r++) {
		if (counts[r] > 0)
			printf("  %s %u", reason_names[r], counts[r]);
	}
	putchar('\n');
}

static gint
by_number(gconstpointer a, gconstpointer b)
{
	return GPOINTER_TO_INT(a) - GPOINTER_TO_INT(b);
}

static void
print_intervals(const struct queue *q)
{
	GList *keys =
	    g_list_sort(g_hash_table_get_keys(q->intervals), by_number);
	GList *at;
	char head[48];

	for (at = keys; at != NULL; at = at->next) {
		g_snprintf(head, sizeof head, "    from %4.0f s:",
		    GPOINTER_TO_INT(at->data) * INTERVAL_S);
		print_reasons(
		    head, g_hash_table_lookup(q->intervals, at->data));
	}
	g_list_free(keys);
}

static void
print_queue(const char *name, const struct queue *q)
{
	unsigned late = q->jobs[LATE] + q->jobs[TOO_LATE];
	int i;

	printf("queue %s:", name);
	for (i = 0; i < NOUTCOMES; i++) {
		if (q->jobs[i] > 0)
			printf("  %s %u", outcome_names[i], q->jobs[i]);
	}
	if (q->beyond_rate > 0)
		printf("  beyond-rate %u", q->beyond_rate);
	putchar('\n');
	if (late == 0)
		return;
	print_reasons("  mostly for:", q->late_jobs);
	printf("  ms a late job:");
	for (i = 0; i < NREASONS; i++) {
		if (q->lost_ms[i] / late >= 1)
			printf(
			    "  %s %.0f", reason_names[i], q->lost_ms[i] / late);
	}
	putchar('\n');
	print_intervals(q);
}

static void
print_report(struct report *rep)
{
	GList *names = g_list_sort(
	    g_hash_table_get_keys(rep->queues), (GCompareFunc)strcmp);
	GList *at;

	for (at = names; at != NULL; at = at->next)
		print_queue(
		    at->data, g_hash_table_lookup(rep->queues, at->data));
	g_list_free(names);
}

static enum ctl_exit
losses(struct ctl *c, char **words, size_t n)
{
	struct report rep = {.start_s = G_MAXDOUBLE};
	enum ctl_exit rc = CTL_OK;
	size_t i;

	(void)c;
	rep.jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, job_free);
	rep.queues =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, queue_free);
	for (i = 0; i < n && rc == CTL_OK; i++) {
		if (!ctl_read_lines(words[i], read_line, &rep))
			rc = CTL_USAGE;
	}
	if (n == 0)
		ctl_read_lines("-", read_line, &rep);
	if (rc == CTL_OK) {
		summarize_jobs(&rep);
		print_report(&rep);
	}
	g_hash_table_unref(rep.queues);
	g_hash_table_unref(rep.jobs);
	return rc;
}

const struct ctl_command ctl_losses_commands[] = {
    {"losses", NULL, 0, 60, 0, 0, true, losses, "[FILE...]",
	"tells from collected log lines what made jobs late"},
    {0},
};
