/*
 * oriolectl: the command line client of operators and callers.
 *
 * Each command is a function in a table.  It gets the arguments after the
 * command's name, sends requests to a node over HTTP and prints the answers.
 */

#ifndef CTL_H
#define CTL_H

#include <jansson.h>

#include "http.h"
#include "orioleglade.h"

enum ctl_exit {
	CTL_OK = 0,
	CTL_REFUSED = 1,    /* refused by a node, or the job failed */
	CTL_USAGE = 2,      /* the command line is wrong */
	CTL_UNREACHABLE = 3 /* no usable answer */
};

/* Options that only some commands accept, see struct ctl_command. */
enum ctl_option {
	CTL_BASE = 1 << 0,
	CTL_KIND = 1 << 1,
	CTL_TASKS = 1 << 2,
	CTL_CPU = 1 << 3,
	CTL_MEM = 1 << 4,
	CTL_ACCEL = 1 << 5,
	CTL_RUN_MS = 1 << 6,
	CTL_RESTARTABLE = 1 << 7,
	CTL_PAYLOAD = 1 << 8,
	CTL_ID = 1 << 9,
	CTL_IDEMPOTENT = 1 << 10
};

struct ctl {
	struct ctl_http *http;  /* NULL for an offline command */
	bool json;              /* print answers without formatting */
	unsigned options_given; /* bits of enum ctl_option */
	const char *kind;
	const char *payload;
	const char *request_id;
	uint64_t base_version;
	uint64_t tasks;
	uint64_t cpu_milli;
	uint64_t mem_mb;
	uint64_t accel;
	uint64_t run_ms;
};

typedef enum ctl_exit (*ctl_fn)(struct ctl *c, char **words, size_t n);

struct ctl_command {
	const char *group; /* "team", or the whole name if sub is NULL */
	const char *sub;   /* "add", or NULL */
	size_t min_words;
	size_t max_words;
	unsigned options_allowed;  /* bits of enum ctl_option */
	unsigned options_required; /* bits of enum ctl_option */
	bool offline;              /* needs no node */
	ctl_fn run;
	const char *synopsis; /* arguments as shown in help */
	const char *help;
};

/* Each table ends with a row whose group is NULL. */
extern const struct ctl_command ctl_settings_commands[];
extern const struct ctl_command ctl_work_commands[];
extern const struct ctl_command ctl_cell_commands[];
extern const struct ctl_command ctl_explain_commands[];
extern const struct ctl_command ctl_losses_commands[];

enum ctl_exit ctl_call(
    struct ctl *c, const struct ctl_request *r, struct ctl_answer *a);
/* Sends a request and fills in the answer.  Prints an error on stderr when no
 * node answers or the request is refused.  The caller clears the answer with
 * ctl_answer_clear() in every case. */

enum ctl_exit ctl_get(struct ctl *c, const char *path, struct ctl_answer *a);
/* Sends a GET request with ctl_call(). */

enum ctl_exit ctl_get_json(struct ctl *c, const char *path, json_t **v);
/* Sets *v to the parsed answer of a GET, to be released with json_decref().
 * *v is NULL after an error, and with --json, where the answer is printed
 * without formatting instead. */

void ctl_print_raw(const struct ctl_answer *a);
/* Prints the body and a line feed, unless the body ends with one. */

#endif
