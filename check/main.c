/*
 * orioleglade-check: holds the histories of a run against what must always
 * hold.  Several files, one from each who took part, count as one history.
 */

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "check.h"

enum {
	EXIT_CLEAN,
	EXIT_FOUND,
	EXIT_UNREAD /* a file could not be read, or the options are wrong */
};

enum {
	OPT_WITHDRAWN = 256,
	OPT_LOWERED,
	OPT_LEAVING,
	OPT_IN_FORCE,
	OPT_SETTLE
};

struct options {
	struct ogl_check_times times;
	char **files;
	int nfiles;
};

static const struct argp_option argp_options[] = {
    {"withdrawn-ms", OPT_WITHDRAWN, "N", 0, "a withdrawn key may work so long",
	0},
    {"lowered-ms", OPT_LOWERED, "N", 0,
	"a team may be above a lowered limit so long", 0},
    {"leaving-ms", OPT_LEAVING, "N", 0, "a leaving target may get work so long",
	0},
    {"in-force-ms", OPT_IN_FORCE, "N", 0,
	"an accepted edit is in force after so long", 0},
    {"settle-ms", OPT_SETTLE, "N", 0,
	"a fault that is over may break calls so long", 0},
    {0}};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;
	struct ogl_check_times *t = &o->times;
	ogl_time *const to[] = {
	    &t->withdrawn, &t->lowered, &t->leaving, &t->in_force, &t->settle};
	char *end;

	switch (key) {
	case OPT_WITHDRAWN:
	case OPT_LOWERED:
	case OPT_LEAVING:
	case OPT_IN_FORCE:
	case OPT_SETTLE:
		*to[key - OPT_WITHDRAWN] = strtol(arg, &end, 10) * OGL_MS;
		if (end == arg || *end != '\0')
			argp_error(state, "%s is no number", arg);
		return 0;
	case ARGP_KEY_ARGS:
		o->files = state->argv + state->next;
		o->nfiles = state->argc - state->next;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int
check(struct ogl_history *h, const struct ogl_check_times *times)
{
	struct ogl_check *c = ogl_check_run(h, times);
	char *report = ogl_check_report(c);
	size_t found;
	size_t lines;

	ogl_check_findings(c, &found);
	ogl_history_events(h, &lines);
	fputs(report, stdout);
	if (!ogl_check_whole(c))
		printf(
		    "no end mark: what is missing at the end is not judged\n");
	if (found == 0)
		printf("no violation in %zu lines\n", lines);
	g_free(report);
	ogl_check_end(c);
	return found == 0 ? EXIT_CLEAN : EXIT_FOUND;
}

int
main(int argc, char **argv)
{
	const struct argp argp = {argp_options, parse_option, "FILE...",
	    "Checks the history of a run.\v"
	    "Exit status: 0 no violation, 1 some, 2 a file cannot be read.",
	    NULL, NULL, NULL};
	struct ogl_history *h = ogl_history_init(NULL);
	struct options o = {0};
	GError *error = NULL;
	int rc = EXIT_UNREAD;

	ogl_check_times_default(&o.times);
	argp_err_exit_status = EXIT_UNREAD;
	if (argp_parse(&argp, argc, argv, 0, NULL, &o) != 0)
		goto out;
	for (int i = 0; i < o.nfiles; i++) {
		if (!ogl_history_read(h, o.files[i], &error)) {
			fprintf(stderr, "check: %s\n", error->message);
			goto out;
		}
	}
	rc = check(h, &o.times);
out:
	g_clear_error(&error);
	ogl_history_end(h);
	return rc;
}
