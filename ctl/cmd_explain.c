/*
 * explain: the story of one job from collected log lines.
 *
 * Lines of any number of nodes are read, in any order.  Those that name the
 * job are kept, and beside them what happened meanwhile to the cell (who owned
 * it, the store) and to the workers that its tasks ran on.  They are printed by
 * time, which is only as good as the nodes' clocks, and a cause is drawn from
 * what they say.
 */

#include <stdio.h>
#include <string.h>

#include "ctl.h"
#include "logline.h"

#define BEFORE_S 3.0 /* of the cell, before the job is first named */
#define AFTER_S 0.5

struct entry {
	double ts;
	char *text;  /* the whole line */
	char *event; /* part.event */
	char *worker;
	bool of_job;
};

struct story {
	const char *id;
	GPtrArray *entries; /* struct entry */
	double from;
	double to;
	unsigned left_out; /* lines that a node says it left out */
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
take_line(void *arg, const char *line)
{
	struct story *s = arg;
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
		e->of_job = names_job(line, s->id);
		g_ptr_array_add(s->entries, e);
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

/* Workers that the job's lines name. */
static GHashTable *
workers_of(struct story *s)
{
	GHashTable *set = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	s->from = G_MAXDOUBLE;
	for (i = 0; i < s->entries->len; i++) {
		struct entry *e = s->entries->pdata[i];

		if (!e->of_job)
			continue;
		s->from = MIN(s->from, e->ts);
		s->to = MAX(s->to, e->ts);
		if (e->worker != NULL)
			g_hash_table_add(set, e->worker);
	}
	return set;
}

/* What else bears on a job while it was under way. */
static bool
bears_on(const struct story *s, const struct entry *e, GHashTable *workers)
{
	static const char *const cell[] = {"lead.ownership_won",
	    "lead.ownership_lost", "lead.owner_unable", "owner.cell_taken_over",
	    "owner.settled", "front.store_lost", "front.store_regained",
	    "front.zone_evacuated", "front.zone_taken_back",
	    "fleet.workers_evacuated", "host.started", "host.stopping",
	    "log.lines_left_out"};
	size_t i;

	if (e->of_job)
		return true;
	if (e->ts < s->from - BEFORE_S || e->ts > s->to + AFTER_S)
		return false;
	if (e->worker != NULL && g_str_has_prefix(e->event, "fleet."))
		return g_hash_table_contains(workers, e->worker);
	for (i = 0; i < G_N_ELEMENTS(cell); i++) {
		if (strcmp(e->event, cell[i]) == 0)
			return true;
	}
	return false;
}

/* ---- the cause -------------------------------------------------------- */

struct cause {
	const struct entry *accepted;
	const struct entry *started;
	const struct entry *ended;
	const struct entry *refused;
	const struct entry *given_up;
	unsigned takeovers; /* while the job was under way */
	unsigned failed;
	unsigned lost;
	GString *failed_on;
	GString *lost_on;
};

static void
note_end(struct cause *c, const struct entry *e)
{
	char *how = ctl_field(e->text, "how");

	if (g_strcmp0(how, "failed") == 0) {
		c->failed++;
		g_string_append_printf(
		    c->failed_on, " %s", e->worker != NULL ? e->worker : "?");
	} else if (g_strcmp0(how, "lapsed") == 0) {
		c->lost++;
		g_string_append_printf(
		    c->lost_on, " %s", e->worker != NULL ? e->worker : "?");
	}
	g_free(how);
}

static void
note(struct story *s, struct cause *c, const struct entry *e)
{
	if (strcmp(e->event, "owner.cell_taken_over") == 0 && e->ts >= s->from)
		c->takeovers++;
	if (strcmp(e->event, "log.lines_left_out") == 0)
		s->left_out++;
	if (!e->of_job)
		return;
	if (strcmp(e->event, "owner.job_accepted") == 0)
		c->accepted = e;
	else if (strcmp(e->event, "owner.run_started") == 0 &&
		 c->started == NULL)
		c->started = e;
	else if (strcmp(e->event, "owner.run_ended") == 0 ||
		 strcmp(e->event, "owner.end_found") == 0)
		note_end(c, e);
	else if (strcmp(e->event, "owner.job_ended") == 0)
		c->ended = e;
	else if (strcmp(e->event, "owner.job_refused") == 0)
		c->refused = e;
	else if (strcmp(e->event, "front.call_given_up") == 0)
		c->given_up = e;
}

static void
tell_details(const struct cause *c)
{
	if (c->started != NULL && c->accepted != NULL)
		printf("  first start %.0f ms after it was accepted\n",
		    (c->started->ts - c->accepted->ts) * 1e3);
	if (c->takeovers > 0)
		printf("  the cell was taken over %u times meanwhile\n",
		    c->takeovers);
	if (c->failed > 0)
		printf(
		    "  %u runs failed, on%s\n", c->failed, c->failed_on->str);
	if (c->lost > 0)
		printf("  %u runs were lost with their workers or leases,"
		       " on%s\n",
		    c->lost, c->lost_on->str);
}

static void
tell_end(const struct cause *c)
{
	char *state = ctl_field(c->ended->text, "state");
	char *why = ctl_field(c->ended->text, "why");

	printf("cause: it ended as %s (%s)\n", state != NULL ? state : "?",
	    why != NULL ? why : "no reason given");
	g_free(state);
	g_free(why);
}

/* What the owner's words for a refusal mean. */
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
tell_cause(const struct story *s, const struct cause *c)
{
	char *why;

	if (c->ended != NULL) {
		tell_end(c);
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
	tell_details(c);
	if (s->left_out > 0)
		puts("  nodes left lines out meanwhile: the story may lack "
		     "some");
}

static enum ctl_exit
tell(struct story *s)
{
	GHashTable *workers = workers_of(s);
	struct cause c = {0};
	unsigned named = 0;
	guint i;

	c.failed_on = g_string_new(NULL);
	c.lost_on = g_string_new(NULL);
	g_ptr_array_sort(s->entries, by_time);
	for (i = 0; i < s->entries->len; i++) {
		struct entry *e = s->entries->pdata[i];

		if (!bears_on(s, e, workers))
			continue;
		named += e->of_job;
		note(s, &c, e);
		if (s->from < G_MAXDOUBLE)
			printf("%+9.3f %c %s\n", e->ts - s->from,
			    e->of_job ? '*' : ' ', strchr(e->text, ' ') + 1);
	}
	if (named > 0)
		tell_cause(s, &c);
	else
		fprintf(stderr, "oriolectl: no line names job %s\n", s->id);
	g_string_free(c.failed_on, TRUE);
	g_string_free(c.lost_on, TRUE);
	g_hash_table_unref(workers);
	return named > 0 ? CTL_OK : CTL_REFUSED;
}

static enum ctl_exit
explain(struct ctl *c, char **words, size_t n)
{
	struct story s = {.id = words[0]};
	enum ctl_exit rc = CTL_OK;
	size_t i;

	(void)c;
	s.entries = g_ptr_array_new_with_free_func(entry_free);
	for (i = 1; i < n && rc == CTL_OK; i++) {
		if (!ctl_read_lines(words[i], take_line, &s))
			rc = CTL_USAGE;
	}
	if (n == 1)
		ctl_read_lines("-", take_line, &s);
	if (rc == CTL_OK)
		rc = tell(&s);
	g_ptr_array_unref(s.entries);
	return rc;
}

const struct ctl_command ctl_explain_commands[] = {
    {"explain", NULL, 1, 60, 0, 0, true, explain, "JOB [FILE...]",
	"tells a job's story from collected log lines"},
    {0},
};
