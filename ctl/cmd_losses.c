/*
 * losses: what made jobs late, over all jobs of collected log lines.
 *
 * The owner logs each time that the reason changes for which a step's tasks do
 * not run (stage_waits), so the time between two such lines of a step is lost
 * for the first one's reason.  Runs that failed are lost time as well, and so is
 * the time until the store had taken the job.  Of each step the longest run that
 * was done counts; what these take beyond the job's declared run time is put down
 * as "long-runs": slow workers, estimates too low.  What is left is "other":
 * orders and answers on their way, and the time without an owner.
 *
 * Lines may come from several nodes but have to be in the order of time within
 * each file; after a change of owner a step's reason goes on until the next
 * owner names one.
 */

#include <stdio.h>
#include <string.h>

#include "ctl.h"
#include "logline.h"

/* After so many objectives a job is worth nothing to its caller. */
#define LATE_MAX 3
#define BUCKET_S 10.0

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
	REASONS
};

static const char *const reason_names[REASONS] = {"store", "settle", "limit",
    "advice", "ticket", "room", "apart", "failed-runs", "long-runs", "other"};

enum fate {
	IN_TIME,
	LATE,
	TOO_LATE,
	OPEN, /* no end in these lines */
	FAILED,
	CANCELLED,
	FATES
};

static const char *const fate_names[FATES] = {
    "in-time", "late", "too-late", "open", "failed", "cancelled"};

/* A step that waits. */
struct waiting {
	enum reason reason;
	double since;
};

struct job {
	char *queue;
	double accepted;
	double objective_ms;
	double chain_ms;
	bool over;
	double ended;
	char *state;         /* NULL: no end seen */
	GHashTable *waiting; /* task -> struct waiting */
	GHashTable *runs;    /* step -> double, longest run that was done, ms */
	double lost_ms[REASONS];
};

/* Jobs of a queue, within their teams' rates. */
struct queue {
	unsigned jobs[FATES];
	unsigned beyond; /* beyond the rate, and not looked at further */
	unsigned blamed[REASONS];
	double lost_ms[REASONS];
	GHashTable *moments; /* bucket -> unsigned[REASONS] */
};

struct day {
	GHashTable *jobs;   /* id -> struct job */
	GHashTable *queues; /* name -> struct queue */
	double from;        /* earliest acceptance */
};

static void
job_free(void *p)
{
	struct job *j = p;

	g_free(j->queue);
	g_free(j->state);
	g_hash_table_unref(j->waiting);
	g_hash_table_unref(j->runs);
	g_free(j);
}

static void
queue_free(void *p)
{
	struct queue *q = p;

	g_hash_table_unref(q->moments);
	g_free(q);
}

/* ---- reading ---------------------------------------------------------- */

static void
take_accepted(struct day *d, const char *id, const char *line)
{
	struct job *j;

	if (g_hash_table_contains(d->jobs, id))
		return;
	j = g_new0(struct job, 1);
	j->queue = ctl_field(line, "queue");
	j->lost_ms[STORE] = ctl_field_number(line, "store_ms");
	j->accepted = ctl_field_number(line, "ts") - j->lost_ms[STORE] / 1e3;
	j->objective_ms = ctl_field_number(line, "objective_ms");
	j->chain_ms = ctl_field_number(line, "chain_ms");
	j->over = ctl_field_number(line, "over_rate") != 0;
	j->waiting =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	j->runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(d->jobs, g_strdup(id), j);
	d->from = MIN(d->from, j->accepted);
}

static void
wait_over(struct job *j, const char *task, double ts)
{
	struct waiting *w = g_hash_table_lookup(j->waiting, task);

	if (w != NULL)
		j->lost_ms[w->reason] += MAX(ts - w->since, 0) * 1e3;
	g_hash_table_remove(j->waiting, task);
}

static void
take_waits(struct job *j, const char *line)
{
	double ts = ctl_field_number(line, "ts");
	char *task = ctl_field(line, "task");
	char *why = ctl_field(line, "why");
	struct waiting *w;
	int r;

	if (task != NULL && why != NULL) {
		wait_over(j, task, ts);
		for (r = 0; r < FAILED_RUNS; r++) {
			if (strcmp(why, reason_names[r]) != 0)
				continue;
			w = g_new(struct waiting, 1);
			w->reason = (enum reason)r;
			w->since = ts;
			g_hash_table_insert(j->waiting, g_strdup(task), w);
		}
	}
	g_free(task);
	g_free(why);
}

/* The task is named OCCURRENCE.STEP.INDEX. */
static void
take_done(struct job *j, const char *line)
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
take_run_end(struct job *j, const char *line)
{
	char *how = ctl_field(line, "how");

	if (g_strcmp0(how, "failed") == 0 || g_strcmp0(how, "lapsed") == 0)
		j->lost_ms[FAILED_RUNS] += ctl_field_number(line, "age_ms");
	else if (g_strcmp0(how, "done") == 0)
		take_done(j, line);
	g_free(how);
}

/* The end tells the objective by what the runs took; what was declared may be
 * far off. */
static void
take_measured(struct job *j, const char *line)
{
	double objective = ctl_field_number(line, "objective_ms");

	if (objective <= 0)
		return;
	j->objective_ms = objective;
	j->chain_ms = ctl_field_number(line, "chain_ms");
}

static void
take_end(struct job *j, const char *line)
{
	GHashTableIter it;
	gpointer p;

	if (j->state != NULL)
		return;
	j->state = ctl_field(line, "state");
	j->ended = ctl_field_number(line, "ts");
	take_measured(j, line);
	g_hash_table_iter_init(&it, j->waiting);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct waiting *w = p;

		j->lost_ms[w->reason] += MAX(j->ended - w->since, 0) * 1e3;
	}
}

static void
take_line(void *arg, const char *line)
{
	struct day *d = arg;
	char *event = ctl_field(line, "event");
	char *id = ctl_field(line, "job");
	struct job *j;

	if (event == NULL || id == NULL)
		goto out;
	if (strcmp(event, "job_accepted") == 0)
		take_accepted(d, id, line);
	j = g_hash_table_lookup(d->jobs, id);
	if (j == NULL)
		goto out;
	if (strcmp(event, "stage_waits") == 0)
		take_waits(j, line);
	else if (strcmp(event, "run_ended") == 0)
		take_run_end(j, line);
	else if (strcmp(event, "job_ended") == 0)
		take_end(j, line);
out:
	g_free(event);
	g_free(id);
}

/* ---- summing up ------------------------------------------------------- */

static double
age_ms(const struct job *j)
{
	return (j->ended - j->accepted) * 1e3;
}

static enum fate
fate_of(const struct job *j)
{
	if (j->state == NULL)
		return OPEN;
	if (strcmp(j->state, "cancelled") == 0)
		return CANCELLED;
	if (strcmp(j->state, "completed") != 0)
		return FAILED;
	if (age_ms(j) <= j->objective_ms)
		return IN_TIME;
	return age_ms(j) <= LATE_MAX * j->objective_ms ? LATE : TOO_LATE;
}

static struct queue *
queue_of(struct day *d, const char *name)
{
	struct queue *q = g_hash_table_lookup(d->queues, name);

	if (q != NULL)
		return q;
	q = g_new0(struct queue, 1);
	q->moments = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	g_hash_table_insert(d->queues, g_strdup(name), q);
	return q;
}

static unsigned *
moment_of(struct queue *q, int bucket)
{
	gpointer key = GINT_TO_POINTER(bucket);
	unsigned *counts = g_hash_table_lookup(q->moments, key);

	if (counts == NULL) {
		counts = g_new0(unsigned, REASONS);
		g_hash_table_insert(q->moments, key, counts);
	}
	return counts;
}

/* Steps may run beside each other, so at most what nothing else accounts for. */
static double
long_runs_ms(const struct job *j, double most)
{
	double ms = -j->chain_ms;
	GHashTableIter it;
	gpointer longest;

	g_hash_table_iter_init(&it, j->runs);
	while (g_hash_table_iter_next(&it, NULL, &longest))
		ms += *(const double *)longest;
	return CLAMP(ms, 0, most);
}

/* Puts a late job down to what took most of its time. */
static void
blame(struct day *d, struct queue *q, struct job *j)
{
	double other = age_ms(j) - j->chain_ms;
	int r, most = OTHER;

	for (r = 0; r < LONG_RUNS; r++)
		other -= j->lost_ms[r];
	other = MAX(other, 0);
	j->lost_ms[LONG_RUNS] = long_runs_ms(j, other);
	j->lost_ms[OTHER] = other - j->lost_ms[LONG_RUNS];
	for (r = 0; r < REASONS; r++) {
		q->lost_ms[r] += j->lost_ms[r];
		if (j->lost_ms[r] > j->lost_ms[most])
			most = r;
	}
	q->blamed[most]++;
	moment_of(q, (int)((j->accepted - d->from) / BUCKET_S))[most]++;
}

static void
sum_up(struct day *d)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, d->jobs);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct job *j = p;
		struct queue *q =
		    queue_of(d, j->queue != NULL ? j->queue : "?");
		enum fate f = fate_of(j);

		if (j->over) {
			q->beyond++;
			continue;
		}
		q->jobs[f]++;
		if (f == LATE || f == TOO_LATE)
			blame(d, q, j);
	}
}

/* ---- printing --------------------------------------------------------- */

static void
print_reasons(const char *head, const unsigned *counts)
{
	int r;

	printf("%s", head);
	for (r = 0; r < REASONS; r++) {
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
print_moments(const struct queue *q)
{
	GList *keys = g_list_sort(g_hash_table_get_keys(q->moments), by_number);
	GList *at;
	char head[48];

	for (at = keys; at != NULL; at = at->next) {
		g_snprintf(head, sizeof head,
		    "    from %4.0f s:", GPOINTER_TO_INT(at->data) * BUCKET_S);
		print_reasons(head, g_hash_table_lookup(q->moments, at->data));
	}
	g_list_free(keys);
}

static void
print_queue(const char *name, const struct queue *q)
{
	unsigned late = q->jobs[LATE] + q->jobs[TOO_LATE];
	int i;

	printf("queue %s:", name);
	for (i = 0; i < FATES; i++) {
		if (q->jobs[i] > 0)
			printf("  %s %u", fate_names[i], q->jobs[i]);
	}
	if (q->beyond > 0)
		printf("  beyond-rate %u", q->beyond);
	putchar('\n');
	if (late == 0)
		return;
	print_reasons("  mostly for:", q->blamed);
	printf("  ms a late job:");
	for (i = 0; i < REASONS; i++) {
		if (q->lost_ms[i] / late >= 1)
			printf(
			    "  %s %.0f", reason_names[i], q->lost_ms[i] / late);
	}
	putchar('\n');
	print_moments(q);
}

static void
print_day(struct day *d)
{
	GList *names =
	    g_list_sort(g_hash_table_get_keys(d->queues), (GCompareFunc)strcmp);
	GList *at;

	for (at = names; at != NULL; at = at->next)
		print_queue(at->data, g_hash_table_lookup(d->queues, at->data));
	g_list_free(names);
}

static enum ctl_exit
losses(struct ctl *c, char **words, size_t n)
{
	struct day d = {.from = G_MAXDOUBLE};
	enum ctl_exit rc = CTL_OK;
	size_t i;

	(void)c;
	d.jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, job_free);
	d.queues =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, queue_free);
	for (i = 0; i < n && rc == CTL_OK; i++) {
		if (!ctl_read_lines(words[i], take_line, &d))
			rc = CTL_USAGE;
	}
	if (n == 0)
		ctl_read_lines("-", take_line, &d);
	if (rc == CTL_OK) {
		sum_up(&d);
		print_day(&d);
	}
	g_hash_table_unref(d.queues);
	g_hash_table_unref(d.jobs);
	return rc;
}

const struct ctl_command ctl_losses_commands[] = {
    {"losses", NULL, 0, 60, 0, 0, true, losses, "[FILE...]",
	"tells from collected log lines what made jobs late"},
    {0},
};
