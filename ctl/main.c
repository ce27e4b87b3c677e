/*
 * oriolectl: parses the command line and runs a command of the tables.
 */

#include <argp.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define WORDS_MAX 64

/* Options without a short form. */
enum {
	OPT_FIRST = 256,
	OPT_BASE = OPT_FIRST,
	OPT_KIND,
	OPT_TASKS,
	OPT_CPU,
	OPT_MEM,
	OPT_ACCEL,
	OPT_RUN_MS,
	OPT_RESTARTABLE,
	OPT_PAYLOAD,
	OPT_ID,
	OPT_IDEMPOTENT
};

static const struct argp_option options[] = {
    {"node", 'n', "IP:PORT,...", 0,
	"nodes to ask, in turn until one answers (or environment OGL_NODE)", 0},
    {"key", 'k', "KEY", 0,
	"key to show (better: environment OGL_KEY, which others on the "
	"machine do not see)",
	0},
    {"json", 'j', NULL, 0, "print answers as they came", 0},
    {NULL, 0, NULL, 0, "For edits:", 1},
    {"base", OPT_BASE, "N", 0,
	"version the edit was made from; refused when its path changed "
	"since (default: the version now in force)",
	1},
    {NULL, 0, NULL, 0, "For job submit and request:", 2},
    {"kind", OPT_KIND, "K", 0,
	"batch, service or gang; of a request, any label", 2},
    {"tasks", OPT_TASKS, "N", 0, "number of tasks", 2},
    {"cpu", OPT_CPU, "M", 0, "thousandths of a processor a task", 2},
    {"mem", OPT_MEM, "M", 0, "megabytes a task", 2},
    {"accel", OPT_ACCEL, "N", 0, "accelerators a task", 2},
    {"run-ms", OPT_RUN_MS, "N", 0, "expected run time", 2},
    {"restartable", OPT_RESTARTABLE, NULL, 0,
	"tasks may be started again after a lost worker", 2},
    {"payload", OPT_PAYLOAD, "P", 0, "handed to each task", 2},
    {"id", OPT_ID, "ID", 0, "sent again under the same id, it runs once", 2},
    {"idempotent", OPT_IDEMPOTENT, NULL, 0, "to run twice does no harm", 2},
    {0},
};

/* The parsed command line. */
struct command_line {
	struct ctl c;
	const char *nodes;
	const char *key;
	char *words[WORDS_MAX];
	size_t n_words;
};

static const struct ctl_command *const tables[] = {ctl_settings_commands,
    ctl_work_commands, ctl_cell_commands, ctl_explain_commands,
    ctl_losses_commands};

static uint64_t
parse_number(const char *arg, uint64_t max, struct argp_state *state)
{
	uint64_t n = 0;

	if (!g_ascii_string_to_unsigned(arg, 10, 0, max, &n, NULL))
		argp_error(state,
		    "%s is no number from 0 to %" G_GUINT64_FORMAT, arg, max);
	return n;
}

static void
set_option(struct ctl *c, int opt, char *arg, struct argp_state *state)
{
	switch (opt) {
	case OPT_BASE:
		c->base_version = parse_number(arg, INT64_MAX, state);
		break;
	case OPT_KIND:
		c->kind = arg;
		break;
	case OPT_TASKS:
		c->tasks = parse_number(arg, UINT32_MAX, state);
		break;
	case OPT_CPU:
		c->cpu_milli = parse_number(arg, UINT32_MAX, state);
		break;
	case OPT_MEM:
		c->mem_mb = parse_number(arg, UINT32_MAX, state);
		break;
	case OPT_ACCEL:
		c->accel = parse_number(arg, UINT32_MAX, state);
		break;
	case OPT_RUN_MS:
		c->run_ms = parse_number(arg, INT64_MAX, state);
		break;
	case OPT_PAYLOAD:
		c->payload = arg;
		break;
	case OPT_ID:
		c->request_id = arg;
		break;
	default:
		break;
	}
}

static error_t
parse_option(int opt, char *arg, struct argp_state *state)
{
	struct command_line *l = state->input;

	if (opt >= OPT_FIRST && opt <= OPT_IDEMPOTENT) {
		/* enum ctl_option has the same order as the options. */
		l->c.options_given |= 1U << (opt - OPT_FIRST);
		set_option(&l->c, opt, arg, state);
		return 0;
	}
	switch (opt) {
	case 'n':
		l->nodes = arg;
		return 0;
	case 'k':
		l->key = arg;
		return 0;
	case 'j':
		l->c.json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (l->n_words == WORDS_MAX)
			argp_error(state, "too many words");
		l->words[l->n_words++] = arg;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "no command given");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void
list_commands(GString *text)
{
	for (size_t t = 0; t < G_N_ELEMENTS(tables); t++)
		for (const struct ctl_command *c = tables[t]; c->group != NULL;
		     c++)
			g_string_append_printf(text, "  %s%s%s %s\n      %s\n",
			    c->group, c->sub != NULL ? " " : "",
			    c->sub != NULL ? c->sub : "", c->synopsis, c->help);
}

/* Replaces the help text after the options with the list of commands. */
static char *
filter_help(int key, const char *text, void *input)
{
	GString *s;

	(void)input;
	if (key != ARGP_KEY_HELP_POST_DOC)
		return (char *)text;
	s = g_string_new("Commands:\n");
	list_commands(s);
	g_string_append(s,
	    "\nExit status: 0 done; 1 refused by the node, or the job waited "
	    "for did not end well; 2 wrong command line; 3 no usable answer.");
	return g_string_free(s, FALSE);
}

static bool
is_command(const struct ctl_command *c, const struct command_line *l)
{
	if (strcmp(c->group, l->words[0]) != 0)
		return false;
	return c->sub == NULL ||
	       (l->n_words > 1 && strcmp(c->sub, l->words[1]) == 0);
}

static const struct ctl_command *
find_command(const struct command_line *l)
{
	for (size_t t = 0; t < G_N_ELEMENTS(tables); t++)
		for (const struct ctl_command *c = tables[t]; c->group != NULL;
		     c++)
			if (is_command(c, l))
				return c;
	return NULL;
}

/* Returns NULL if words and options fit the command, else an error message. */
static const char *
usage_error(const struct command_line *l, const struct ctl_command *cmd)
{
	size_t n;

	if (cmd == NULL)
		return "no such command";
	n = l->n_words - (cmd->sub != NULL ? 2 : 1);
	if (n < cmd->min_words || n > cmd->max_words)
		return "wrong number of words";
	if ((l->c.options_given & ~cmd->options_allowed) != 0)
		return "an option that the command does not take";
	if ((cmd->options_required & ~l->c.options_given) != 0)
		return "an option is missing";
	if (!cmd->offline && l->nodes == NULL)
		return "no node: give --node or set OGL_NODE";
	return NULL;
}

static enum ctl_exit
run_command(struct command_line *l, const struct ctl_command *cmd)
{
	size_t skip = cmd->sub != NULL ? 2 : 1;
	enum ctl_exit rc;

	if (!cmd->offline) {
		l->c.http = ctl_http_init(l->nodes, l->key);
		if (l->c.http == NULL) {
			fprintf(stderr, "oriolectl: %s is no list of ip:port\n",
			    l->nodes);
			return CTL_USAGE;
		}
	}
	rc = cmd->run(&l->c, l->words + skip, l->n_words - skip);
	ctl_http_end(l->c.http);
	if (fflush(stdout) != 0 && rc == CTL_OK) {
		perror("oriolectl: output");
		rc = CTL_UNREACHABLE;
	}
	return rc;
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {options, parse_option, "COMMAND...",
	    "Asks a node of an orioleglade cell.\v", NULL, filter_help, NULL};
	const struct ctl_command *cmd;
	struct command_line l = {0};
	const char *error;

	argp_program_version = "oriolectl " OGL_VERSION;
	argp_err_exit_status = CTL_USAGE;
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
		fputs("oriolectl: cannot start\n", stderr);
		return CTL_UNREACHABLE;
	}
	l.nodes = getenv("OGL_NODE");
	l.key = getenv("OGL_KEY");
	argp_parse(&argp, argc, argv, 0, NULL, &l);
	cmd = find_command(&l);
	error = usage_error(&l, cmd);
	if (error != NULL) {
		fprintf(stderr, "oriolectl: %s; see oriolectl --help\n", error);
		return CTL_USAGE;
	}
	return (int)run_command(&l, cmd);
}
