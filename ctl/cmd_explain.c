/*
 * explain: the history of one job, from collected log lines.
 *
 * The lines may come from any number of nodes, in any order.  Those that name
 * the job are kept, and so are lines from the same period about the cell (its
 * owner and its store) and about the workers that ran the job's tasks.  They
 * are printed in order of their timestamps, which is only as accurate as the
 * nodes' clocks.  The cause of the job's end is derived from them.
 */

#include <stdio.h>
#include <string.h>

#include "ctl.h"
#include "logline.h"
#include "logsample.h"

/* Lines about cell and workers are kept from this long before the first line
 * that names the job until this long after the last one. */
#define CONTEXT_BEFORE_S 3.0
#define CONTEXT_AFTER_S 0.5

/* A log line. */
struct entry {
	double ts;   /* seconds since the epoch */
	char *text;  /* the whole line */
	char *event; /* part.event */
	char *worker;
	bool of_job; /* the line names the job */
};

/* All lines read, and the period of those that name the job. */
struct timeline {
	const char *id;
	GPtrArray *entries;       /* of struct entry */
	double first_ts;          /* first line that names the job */
	double last_ts;           /* last line that names the job */
	unsigned left_out_events; /* reports of a node that it left out lines */
	/* The first of them by which the job is not in the node's sample. */
	const struct entry *excluded;
};

static void
entry_free(void *p)
{
	struct entry *e = p;

	g_free(e->text);
	g_free(e->event);
	g_free(e->worker);
	g_free(e);
}

static bool
names_job(const char *line, const char *id)
{
	char *job = ctl_field(line, "job");
	bool named = job != NULL && strcmp(job, id) == 0;

	g_free(job);
	return named;
}

static void
add_line(void *arg, const char *line)
{
	struct timeline *t = arg;
	char *ts = ctl_field(line, "ts");
	char *part = ctl_field(line, "part");
	char *event = ctl_field(line, "event");
	struct entry *e;

	if (ts != NULL && part != NULL && event != NULL) {
		e = g_new0(struct entry, 1);
		e->ts = g_ascii_strtod(ts, NULL);
		e->text = g_strchomp(g_strdup(line));
		e->event = g_strdup_printf("%s.%s", part, event);
		e->worker = ctl_field(line, "worker");
		e->of_job = names_job(line, t->id);
		g_ptr_array_add(t->entries, e);
	}
	g_free(ts);
	g_free(part);
	g_free(event);
}

static gint
by_time(gconstpointer a, gconstpointer b)
{
	const struct entry *x = *(struct entry *const *)a;
	const struct entry *y = *(struct entry *const *)b;

	return x->ts < y->ts ? -1 : x->ts > y->ts;
}

/* Returns the set of workers in the lines that name the job, and sets the time
 * range of these lines. */
static GHashTable *
collect_workers(struct timeline *t)
{
	GHashTable *set = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	t->first_ts = G_MAXDOUBLE;
	for (i = 0; i < t->entries->len; i++) {
		struct entry *e = t->entries->pdata[i];

		if (!e->of_job)
			continue;
		t->first_ts = MIN(t->first_ts, e->ts);
		t->last_ts = MAX(t->last_ts, e->ts);
		if (e->worker != NULL)
			g_hash_table_add(set, e->worker);
	}
	return set;
}

/* Whether a line names the job or may explain what happened to it. */
static bool
is_relevant(
    const struct timeline *t, const struct entry *e, GHashTable *workers)
{
	static const char *const cell_events[] = {"lead.ownership_won",
	    "lead.ownership_lost", "lead.owner_unable", "owner.cell_taken_over",
	    "owner.settled", "owner.stages_stalled", "front.store_lost",
	    "front.store_regained", "front.zone_evacuated",
	    "front.zone_taken_back", "fleet.workers_evacuated", "host.started",
	    "host.stopping", "log.lines_left_out"};
	size_t i;

	if (e->of_job)
		return true;
	if (e->ts < t->first_ts - CONTEXT_BEFORE_S ||
	    e->ts > t->last_ts + CONTEXT_AFTER_S)
		return false;
	if (e->worker != NULL && g_str_has_prefix(e->event, "fleet."))
		return g_hash_table_contains(workers, e->worker);
	for (i = 0; i < G_N_ELEMENTS(cell_events); i++) {
		if (strcmp(e->event, cell_events[i]) == 0)
			return true;
	}
	return false;
}

/* ---- the cause -------------------------------------------------------- */

/* Events that show the cause of the job's end; NULL if not found. */
struct cause {
	const struct entry *accepted;
	const struct entry *started; /* first start of a run */
	const struct entry *ended;
	const struct entry *refused;
	const struct entry *given_up; /* the entry gave up the call */
	const struct entry *stalled;  /* last line that it is not started */
	unsigned takeovers; /* changes of the cell's owner since first_ts */
	unsigned failed_runs;
	unsigned lost_runs; /* the lease or the worker was lost */
	GString *failed_workers;
	GString *lost_workers;
};

static void
record_run_end(struct cause *c, const struct entry *e)
{
	char *how = ctl_field(e->text, "how");

	if (g_strcmp0(how, "failed") == 0) {
		c->failed_runs++;
		g_string_append_printf(c->failed_workers, " %s",
		    e->worker != NULL ? e->worker : "?");
	} else if (g_strcmp0(how, "lapsed") == 0) {
		c->lost_runs++;
		g_string_append_printf(c->lost_workers, " %s",
		    e->worker != NULL ? e->worker : "?");
	}
	g_free(how);
}

/* Records that a node left out lines.  Nodes write the lines of a share of all
 * jobs, so it may be known whether they include this one's. */
static void
record_left_out(struct timeline *t, const struct entry *e)
{
	char *share = ctl_field(e->text, "jobs_share_permille");
	double permille = ctl_field_number(e->text, "jobs_share_permille");

	if (share == NULL)
		t->left_out_events++;
	else if (t->excluded == NULL &&
		 ogl_logsample_position(ogl_str(t->id)) >= permille)
		t->excluded = e;
	g_free(share);
}

static void
print_excluded(FILE *to, const char *head, const struct timeline *t)
{
	char *node = ctl_field(t->excluded->text, "node");
	char *share = ctl_field(t->excluded->text, "jobs_share_permille");

	fprintf(to,
	    "%slines of job %s were left out: at ts=%.3f node %s wrote those "
	    "of %s in 1000 jobs\n",
	    head, t->id, t->excluded->ts, node != NULL ? node : "?", share);
	g_free(node);
	g_free(share);
}

static void
record_event(struct timeline *t, struct cause *c, const struct entry *e)
{
	if (strcmp(e->event, "owner.cell_taken_over") == 0 &&
	    e->ts >= t->first_ts)
		c->takeovers++;
	if (strcmp(e->event, "log.lines_left_out") == 0)
		record_left_out(t, e);
	if (!e->of_job)
		return;
	if (strcmp(e->event, "owner.job_accepted") == 0)
		c->accepted = e;
	else if (strcmp(e->event, "owner.run_started") == 0 &&
		 c->started == NULL)
		c->started = e;
	else if (strcmp(e->event, "owner.run_ended") == 0 ||
		 strcmp(e->event, "owner.end_found") == 0)
		record_run_end(c, e);
	else if (strcmp(e->event, "owner.job_ended") == 0)
		c->ended = e;
	else if (strcmp(e->event, "owner.job_refused") == 0)
		c->refused = e;
	else if (strcmp(e->event, "front.call_given_up") == 0)
		c->given_up = e;
	else if (strcmp(e->event, "owner.stage_stalled") == 0)
		c->stalled = e;
}

static void
print_stall(const struct entry *e)
{
	char *why = ctl_field(e->text, "why");
	char *unusable = ctl_field(e->text, "unusable");

	printf("  nothing of it ran for %.0f ms (%s); of %.0f "
	       "allowed workers with room %.0f could be used%s%s\n",
	    ctl_field_number(e->text, "for_ms"),
	    why != NULL ? why : "no reason given",
	    ctl_field_number(e->text, "allowed_room"),
	    ctl_field_number(e->text, "usable"),
	    unusable != NULL && *unusable != '\0' ? ", not " : "",
	    unusable != NULL ? unusable : "");
	g_free(why);
	g_free(unusable);
}

static void
print_details(const struct cause *c)
{
	if (c->started != NULL && c->accepted != NULL)
		printf("  first start %.0f ms after it was accepted\n",
		    (c->started->ts - c->accepted->ts) * 1e3);
	if (c->stalled != NULL)
		print_stall(c->stalled);
	if (c->takeovers > 0)
		printf("  the cell was taken over %u times meanwhile\n",
		    c->takeovers);
	if (c->failed_runs > 0)
		printf("  %u runs failed, on%s\n", c->failed_runs,
		    c->failed_workers->str);
	if (c->lost_runs > 0)
		printf("  %u runs were lost with their workers or leases,"
		       " on%s\n",
		    c->lost_runs, c->lost_workers->str);
}

static void
print_end(const struct cause *c)
{
	char *state = ctl_field(c->ended->text, "state");
	char *why = ctl_field(c->ended->text, "why");

	printf("cause: it ended as %s (%s)\n", state != NULL ? state : "?",
	    why != NULL ? why : "no reason given");
	g_free(state);
	g_free(why);
}

/* Explains the reason that the owner logs for a refusal. */
static const char *
refusal_text(const char *why)
{
	static const char *const texts[][2] = {
	    {"malformed", "its description was not sound"},
	    {"store_failing", "the store was not taking jobs"},
	    {"store_refused", "the store did not take it"},
	    {"refused_before", "it was a copy of a refused call"},
	    {"load", "the owner ran late"},
	    {"load_over_rate",
		"the owner ran late and the team was beyond its rate"}};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		if (g_strcmp0(why, texts[i][0]) == 0)
			return texts[i][1];
	}
	return "no reason known here";
}

static void
print_cause(const struct timeline *t, const struct cause *c)
{
	char *why;

	if (c->ended != NULL) {
		print_end(c);
	} else if (c->accepted != NULL) {
		puts("cause: accepted, and no end of it is in these lines");
	} else if (c->refused != NULL) {
		why = ctl_field(c->refused->text, "why");
		printf("cause: refused, %s\n", refusal_text(why));
		g_free(why);
	} else if (c->given_up != NULL) {
		why = ctl_field(c->given_up->text, "why");
		printf("cause: given up by the entry (%s)\n",
		    why != NULL ? why : "no reason given");
		g_free(why);
	} else {
		puts("cause: not to be told from these lines");
	}
	print_details(c);
	if (t->excluded != NULL)
		print_excluded(stdout, "  ", t);
	if (t->left_out_events > 0)
		puts("  nodes left lines out meanwhile: some may be "
		     "missing here");
}

static void
print_nothing_found(struct timeline *t)
{
	guint i;

	for (i = 0; i < t->entries->len; i++) {
		const struct entry *e = t->entries->pdata[i];

		if (strcmp(e->event, "log.lines_left_out") == 0)
			record_left_out(t, e);
	}
	if (t->excluded != NULL)
		print_excluded(stderr, "oriolectl: ", t);
	else
		fprintf(stderr, "oriolectl: no line names job %s\n", t->id);
}

static enum ctl_exit
print_timeline(struct timeline *t)
{
	GHashTable *workers = collect_workers(t);
	struct cause c = {0};
	unsigned job_lines = 0;
	guint i;

	c.failed_workers = g_string_new(NULL);
	c.lost_workers = g_string_new(NULL);
	g_ptr_array_sort(t->entries, by_time);
	for (i = 0; i < t->entries->len; i++) {
		struct entry *e = t->entries->pdata[i];

		if (!is_relevant(t, e, workers))
			continue;
		job_lines += e->of_job;
		record_event(t, &c, e);
		if (t->first_ts < G_MAXDOUBLE)
			printf("%+9.3f %c %s\n", e->ts - t->first_ts,
			    e->of_job ? '*' : ' ', strchr(e->text, ' ') + 1);
	}
	if (job_lines > 0)
		print_cause(t, &c);
	else
		print_nothing_found(t);
	g_string_free(c.failed_workers, TRUE);
	g_string_free(c.lost_workers, TRUE);
	g_hash_table_unref(workers);
	return job_lines > 0 ? CTL_OK : CTL_REFUSED;
}

static enum ctl_exit
explain(struct ctl *c, char **words, size_t n)
{
	struct timeline t = {.id = words[0]};
	enum ctl_exit rc = CTL_OK;
	size_t i;

	(void)c;
	t.entries = g_ptr_array_new_with_free_func(entry_free);
	for (i = 1; i < n && rc == CTL_OK; i++) {
		if (!ctl_read_lines(words[i], add_line, &t))
			rc = CTL_USAGE;
	}
	if (n == 1)
		ctl_read_lines("-", add_line, &t);
	if (rc == CTL_OK)
		rc = print_timeline(&t);
	g_ptr_array_unref(t.entries);
	return rc;
}

const struct ctl_command ctl_explain_commands[] = {
    {"explain", NULL, 1, 60, 0, 0, true, explain, "JOB [FILE...]",
	"shows a job's history from collected log lines"},
    {0},
};
