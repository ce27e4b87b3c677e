/*
 * losses: what made jobs late, over all jobs of collected log lines.
 *
 * The owner logs a line (stage_waits) whenever the reason changes why a step's
 * tasks don't run.  The time between two such lines of a step is attributed to
 * the reason in the first one; if steps of a job wait for different reasons,
 * the first in the order of enum reason counts.  Failed runs are lost time as
 * well, and so are runs that were stopped to start again, and the time that the
 * store took to accept the job.  "long-runs" is the sum of the longest
 * successful run of each step minus the job's declared run time: it is due to
 * slow workers or low estimates.  The rest is "other": messages in transit, and
 * time without an owner.
 *
 * Lines may come from several nodes but must be sorted by time within each
 * file.  After a change of owner a step's reason stays in effect until the next
 * owner logs one.
 *
 * Nodes leave out all lines of some jobs if there are too many.  Files may also
 * be metrics pages, one of each node; their counters are exact and are added
 * up.
 */

#include <stdio.h>
#include <string.h>

#include "ctl.h"
#include "logline.h"
#include "logsample.h"

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
	STOPPED_RUNS,
	LONG_RUNS,
	OTHER,
	NREASONS
};

static const char *const reason_names[NREASONS] = {"store", "settle", "limit",
    "advice", "ticket", "room", "apart", "failed-runs", "stopped-runs",
    "long-runs", "other"};

enum outcome {
	IN_TIME,
	LATE,
	TOO_LATE,
	OPEN, /* the lines don't include its end */
	FAILED,
	CANCELLED,
	REFUSED, /* in metrics only */
	NOUTCOMES
};

static const char *const outcome_names[NOUTCOMES] = {
    "in-time", "late", "too-late", "open", "failed", "cancelled", "refused"};

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
	char *state;         /* NULL until the end is read */
	double counted_s;    /* the waiting until then is in lost_ms */
	double last_s;       /* of the last line that names it */
	bool tried;          /* a step was seen waiting or running */
	GHashTable *active;  /* tasks that run */
	GHashTable *covered; /* step -> double, end of its lost runs */
	GHashTable *waits;   /* step -> struct step_wait */
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
	GPtrArray *open;       /* a text about each open job */
	bool counted;          /* the fields from here on are of metrics */
	double counted_jobs[NOUTCOMES];
	GHashTable *counted_ms; /* cause -> double, of late jobs */
};

/* A node's report that it left out lines. */
struct left_out {
	double ts;
	double permille; /* share of the jobs whose lines it writes */
};

struct report {
	GArray *left_out;   /* struct left_out */
	double end_s;       /* of the last line */
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
	g_hash_table_unref(j->active);
	g_hash_table_unref(j->covered);
	g_free(j);
}

static void
queue_free(void *p)
{
	struct queue *q = p;

	g_hash_table_unref(q->intervals);
	g_hash_table_unref(q->counted_ms);
	g_ptr_array_unref(q->open);
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
	j->active =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	j->covered =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	j->counted_s = ctl_field_number(line, "ts");
	g_hash_table_insert(rep->jobs, g_strdup(id), j);
	rep->start_s = MIN(rep->start_s, j->accepted_s);
}

/* The wait of a step that counts now; NULL if none waits. */
static const struct step_wait *
main_wait(const struct job *j)
{
	const struct step_wait *main = NULL;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, j->waits);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct step_wait *w = p;

		if (main == NULL || w->reason < main->reason)
			main = w;
	}
	return main;
}

/* Counts the waiting until ts, so that no moment counts twice. */
static void
count_wait(struct job *j, double ts)
{
	const struct step_wait *w = main_wait(j);

	if (w != NULL)
		j->lost_ms[w->reason] += MAX(ts - j->counted_s, 0) * 1e3;
	j->counted_s = MAX(j->counted_s, ts);
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
		count_wait(j, ts);
		j->tried = true;
		g_hash_table_remove(j->waits, step);
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

/* The number kept for the step of a task.  A task's name is
 * OCCURRENCE.STEP.INDEX, and that of its step is OCCURRENCE.STEP. */
static double *
number_of_step(GHashTable *numbers, const char *task)
{
	const char *index = strrchr(task, '.');
	char *step = index != NULL ? g_strndup(task, (gsize)(index - task))
				   : g_strdup(task);
	double *number = g_hash_table_lookup(numbers, step);

	if (number == NULL) {
		number = g_new0(double, 1);
		g_hash_table_insert(numbers, step, number);
	} else {
		g_free(step);
	}
	return number;
}

/* Runs of a step that are lost together, as those of a gang, count once. */
static void
record_lost_run(
    struct job *j, const char *task, double ts, double age_ms, enum reason r)
{
	double *covered = number_of_step(j->covered, task);
	double from = MAX(ts - age_ms / 1e3, *covered);

	j->lost_ms[r] += MAX(ts - from, 0) * 1e3;
	*covered = MAX(*covered, ts);
}

static void
record_run_end(struct job *j, const char *line)
{
	char *how = ctl_field(line, "how");
	char *task = ctl_field(line, "task");
	double ts = ctl_field_number(line, "ts");
	double age_ms = ctl_field_number(line, "age_ms");
	double *longest;

	if (how == NULL || task == NULL)
		goto out;
	g_hash_table_remove(j->active, task);
	if (strcmp(how, "failed") == 0 || strcmp(how, "lapsed") == 0) {
		record_lost_run(j, task, ts, age_ms, FAILED_RUNS);
	} else if (strcmp(how, "done") == 0) {
		longest = number_of_step(j->runs, task);
		*longest = MAX(*longest, age_ms);
	} else {
		record_lost_run(j, task, ts, age_ms, STOPPED_RUNS);
	}
out:
	g_free(how);
	g_free(task);
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
	if (j->state != NULL)
		return;
	j->state = ctl_field(line, "state");
	j->ended_s = ctl_field_number(line, "ts");
	record_measured_objective(j, line);
	count_wait(j, j->ended_s);
}

static void
record_start(struct job *j, const char *line)
{
	char *task = ctl_field(line, "task");

	j->tried = true;
	if (task != NULL)
		g_hash_table_add(j->active, task);
}

static void
record_refused_start(struct job *j, const char *line)
{
	char *task = ctl_field(line, "task");

	if (task != NULL)
		g_hash_table_remove(j->active, task);
	g_free(task);
}

static void
record_left_out(struct report *rep, const char *line)
{
	struct left_out l = {.ts = ctl_field_number(line, "ts"),
	    .permille = ctl_field_number(line, "jobs_share_permille")};
	char *share = ctl_field(line, "jobs_share_permille");

	if (share != NULL && l.permille < 1000)
		g_array_append_val(rep->left_out, l);
	g_free(share);
}

static struct queue *get_queue(struct report *rep, const char *name);

/* Returns the value of a label of a line of metrics; the caller frees it. */
static char *
label_value(const char *line, const char *label)
{
	char *key = g_strdup_printf("%s=\"", label);
	const char *at = strstr(line, key);
	char *value = NULL;

	if (at != NULL) {
		at += strlen(key);
		value = g_strndup(at, strcspn(at, "\""));
	}
	g_free(key);
	return value;
}

static void
add_counted_jobs(struct queue *q, const char *outcome, double n)
{
	char *name = g_strdelimit(g_strdup(outcome), "_", '-');
	int i;

	for (i = 0; i < NOUTCOMES; i++) {
		if (strcmp(name, outcome_names[i]) == 0)
			q->counted_jobs[i] += n;
	}
	g_free(name);
}

static void
add_counted_ms(struct queue *q, const char *cause, double ms)
{
	double *sum = g_hash_table_lookup(q->counted_ms, cause);

	if (sum == NULL) {
		sum = g_new0(double, 1);
		g_hash_table_insert(q->counted_ms, g_strdup(cause), sum);
	}
	*sum += ms;
}

static void
read_counter(struct report *rep, const char *line)
{
	char *queue = label_value(line, "queue");
	char *outcome = label_value(line, "outcome");
	char *cause = label_value(line, "cause");
	const char *number = strrchr(line, ' ');
	struct queue *q;

	if (queue == NULL || number == NULL)
		goto out;
	q = get_queue(rep, queue);
	q->counted = true;
	if (outcome != NULL)
		add_counted_jobs(q, outcome, g_ascii_strtod(number, NULL));
	else if (cause != NULL)
		add_counted_ms(q, cause, g_ascii_strtod(number, NULL));
out:
	g_free(queue);
	g_free(outcome);
	g_free(cause);
}

static void
read_line(void *arg, const char *line)
{
	struct report *rep = arg;
	char *event = ctl_field(line, "event");
	char *id = ctl_field(line, "job");
	struct job *j;

	if (g_str_has_prefix(line, "ogl_jobs_ended_total{") ||
	    g_str_has_prefix(line, "ogl_jobs_late_ms_total{"))
		read_counter(rep, line);
	if (event != NULL)
		rep->end_s = MAX(rep->end_s, ctl_field_number(line, "ts"));
	if (event != NULL && strcmp(event, "lines_left_out") == 0)
		record_left_out(rep, line);
	if (event == NULL || id == NULL)
		goto out;
	if (strcmp(event, "job_accepted") == 0)
		add_job(rep, id, line);
	j = g_hash_table_lookup(rep->jobs, id);
	if (j == NULL)
		goto out;
	j->last_s = MAX(j->last_s, ctl_field_number(line, "ts"));
	if (strcmp(event, "stage_waits") == 0)
		record_wait(j, line);
	else if (strcmp(event, "run_started") == 0 ||
		 strcmp(event, "run_adopted") == 0)
		record_start(j, line);
	else if (strcmp(event, "start_refused") == 0)
		record_refused_start(j, line);
	else if (strcmp(event, "run_ended") == 0 ||
		 strcmp(event, "end_found") == 0)
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
	q->open = g_ptr_array_new_with_free_func(g_free);
	q->counted_ms =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
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

/* Whether a node left out lines of the job after the last one read. */
static bool
lines_left_out(const struct report *rep, const char *id, const struct job *j)
{
	unsigned position = ogl_logsample_position(ogl_str(id));
	guint i;

	for (i = 0; i < rep->left_out->len; i++) {
		const struct left_out *l =
		    &g_array_index(rep->left_out, struct left_out, i);

		if (l->ts >= j->last_s && position >= l->permille)
			return true;
	}
	return false;
}

/* What an open job is doing at the end of the lines. */
static char *
describe_open(const struct report *rep, const char *id, const struct job *j)
{
	const struct step_wait *w = main_wait(j);

	if (lines_left_out(rep, id, j))
		return g_strdup_printf(
		    "%s: its lines were left out from %.1f s before the end on",
		    id, rep->end_s - j->last_s);
	if (w != NULL)
		return g_strdup_printf("%s: waits for %s since %.1f s", id,
		    reason_names[w->reason], rep->end_s - w->since_s);
	if (g_hash_table_size(j->active) > 0)
		return g_strdup_printf("%s: runs, %u tasks, last line %.1f s "
				       "before the end",
		    id, g_hash_table_size(j->active), rep->end_s - j->last_s);
	if (j->tried)
		return g_strdup_printf(
		    "%s: ended without a line, last run ended %.1f s before "
		    "the end",
		    id, rep->end_s - j->last_s);
	return g_strdup_printf("%s: not tried since it was accepted, %.1f s",
	    id, rep->end_s - j->accepted_s);
}

static void
summarize_jobs(struct report *rep)
{
	GHashTableIter it;
	gpointer id, p;

	g_hash_table_iter_init(&it, rep->jobs);
	while (g_hash_table_iter_next(&it, &id, &p)) {
		struct job *j = p;
		struct queue *q =
		    get_queue(rep, j->queue != NULL ? j->queue : "?");
		enum outcome o = job_outcome(j);

		if (o == OPEN)
			g_ptr_array_add(q->open, describe_open(rep, id, j));
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

static gint
by_text(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static void
print_open(struct queue *q)
{
	guint i;

	g_ptr_array_sort(q->open, by_text);
	for (i = 0; i < q->open->len; i++)
		printf("  open %s\n", (char *)q->open->pdata[i]);
}

static void
print_counted(const struct queue *q)
{
	GList *causes = g_list_sort(
	    g_hash_table_get_keys(q->counted_ms), (GCompareFunc)strcmp);
	GList *at;
	double late = q->counted_jobs[LATE] + q->counted_jobs[TOO_LATE];
	int i;

	printf("  counted by the nodes:");
	for (i = 0; i < NOUTCOMES; i++) {
		if (q->counted_jobs[i] > 0)
			printf(
			    "  %s %.0f", outcome_names[i], q->counted_jobs[i]);
	}
	if (causes != NULL && late > 0)
		printf("\n  ms a late job, counted:");
	for (at = causes; at != NULL && late > 0; at = at->next)
		printf("  %s %.0f", (char *)at->data,
		    *(double *)g_hash_table_lookup(q->counted_ms, at->data) /
			late);
	putchar('\n');
	g_list_free(causes);
}

static void
print_queue(const char *name, struct queue *q)
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
	if (q->counted)
		print_counted(q);
	print_open(q);
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

static void
print_left_out(const struct report *rep)
{
	double smallest = 1000;
	guint i;

	for (i = 0; i < rep->left_out->len; i++)
		smallest = MIN(smallest,
		    g_array_index(rep->left_out, struct left_out, i).permille);
	if (smallest < 1000)
		printf("nodes left out lines: of some jobs all, the smallest "
		       "share with lines was %.0f in 1000\n",
		    smallest);
}

static enum ctl_exit
losses(struct ctl *c, char **words, size_t n)
{
	struct report rep = {.start_s = G_MAXDOUBLE};
	enum ctl_exit rc = CTL_OK;
	size_t i;

	(void)c;
	rep.left_out = g_array_new(FALSE, FALSE, sizeof(struct left_out));
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
		print_left_out(&rep);
	}
	g_array_unref(rep.left_out);
	g_hash_table_unref(rep.queues);
	g_hash_table_unref(rep.jobs);
	return rc;
}

const struct ctl_command ctl_losses_commands[] = {
    {"losses", NULL, 0, 60, 0, 0, true, losses, "[FILE...]",
	"tells from log lines and metrics pages what made jobs late"},
    {0},
};
