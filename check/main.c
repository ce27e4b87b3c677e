/*
 * orioleglade-check: checks the history of a run against the invariants of
 * the system.  Several files, one from each participant, are merged into one
 * history.
 */

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "check.h"

enum {
	EXIT_NO_VIOLATION,
	EXIT_VIOLATION,
	EXIT_ERROR /* a file could not be read, or the options are wrong */
};

enum {
	OPT_WITHDRAWN = 256,
	OPT_LOWERED,
	OPT_LEAVING,
	OPT_IN_FORCE,
	OPT_FAULT_ENDED
};

struct options {
	struct ogl_check_grace grace;
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
    {"settle-ms", OPT_FAULT_ENDED, "N", 0,
	"a fault that is over may break calls so long", 0},
    {0}};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;
	struct ogl_check_grace *grace = &o->grace;
	ogl_time *const periods[] = {&grace->key_withdrawn,
	    &grace->limit_lowered, &grace->leaving, &grace->in_force,
	    &grace->fault_ended};
	char *end;

	switch (key) {
	case OPT_WITHDRAWN:
	case OPT_LOWERED:
	case OPT_LEAVING:
	case OPT_IN_FORCE:
	case OPT_FAULT_ENDED:
		*periods[key - OPT_WITHDRAWN] = strtol(arg, &end, 10) * OGL_MS;
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
check_history(struct ogl_history *h, const struct ogl_check_grace *grace)
{
	struct ogl_check *c = ogl_check_run(h, grace);
	char *report = ogl_check_report(c);
	size_t nfindings;
	size_t nevents;

	ogl_check_findings(c, &nfindings);
	ogl_history_events(h, &nevents);
	fputs(report, stdout);
	if (!ogl_check_is_complete(c))
		printf(
		    "no end mark: what is missing at the end is not judged\n");
	if (nfindings == 0)
		printf("no violation in %zu lines\n", nevents);
	g_free(report);
	ogl_check_end(c);
	return nfindings == 0 ? EXIT_NO_VIOLATION : EXIT_VIOLATION;
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
	int rc = EXIT_ERROR;

	ogl_check_grace_default(&o.grace);
	argp_err_exit_status = EXIT_ERROR;
	if (argp_parse(&argp, argc, argv, 0, NULL, &o) != 0)
		goto out;
	for (int i = 0; i < o.nfiles; i++) {
		if (!ogl_history_read(h, o.files[i], &error)) {
			fprintf(stderr, "check: %s\n", error->message);
			goto out;
		}
	}
	rc = check_history(h, &o.grace);
out:
	g_clear_error(&error);
	ogl_history_end(h);
	return rc;
}
