/*
 * oriolectl: the command line of operators and callers.
 *
 * A command is a function in a table; it is given the words after its name,
 * asks a node over HTTP and prints what the node answers.
 */

#ifndef CTL_H
#define CTL_H

#include <jansson.h>

#include "http.h"
#include "orioleglade.h"

enum ctl_exit {
	CTL_OK = 0,
	CTL_REFUSED = 1,    /* a node said no, or a job ended badly */
	CTL_USAGE = 2,      /* the command line is wrong */
	CTL_UNREACHABLE = 3 /* no node answered */
};

/* Options that only some commands take; a command names its own. */
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
	struct ctl_http *http; /* NULL for a command that needs no node */
	bool json;             /* print answers as they came */
	unsigned given;        /* enum ctl_option */
	const char *kind;
	const char *payload;
	const char *id;
	uint64_t base;
	uint64_t tasks;
	uint64_t cpu;
	uint64_t mem;
	uint64_t accel;
	uint64_t run_ms;
};

typedef enum ctl_exit (*ctl_fn)(struct ctl *c, char **words, size_t n);

struct ctl_command {
	const char *group; /* "team"; the whole name where sub is NULL */
	const char *sub;   /* "add" */
	size_t min_words;
	size_t max_words;
	unsigned takes; /* enum ctl_option */
	unsigned needs;
	bool offline;
	ctl_fn run;
	const char *words; /* as shown in help */
	const char *help;
};

extern const struct ctl_command ctl_settings_commands[];
extern const struct ctl_command ctl_work_commands[];
extern const struct ctl_command ctl_cell_commands[];
extern const struct ctl_command ctl_explain_commands[];
extern const struct ctl_command ctl_losses_commands[];
/* Each ends with a row whose group is NULL. */

enum ctl_exit ctl_call(
    struct ctl *c, const struct ctl_request *r, struct ctl_answer *a);
/* Asks a node; says on stderr why there is no good answer.  The answer is to
 * be cleared in any case. */

enum ctl_exit ctl_get(struct ctl *c, const char *path, struct ctl_answer *a);

enum ctl_exit ctl_get_json(struct ctl *c, const char *path, json_t **v);
/* The answer as JSON, or NULL with --json, when it was printed raw. */

void ctl_print_raw(const struct ctl_answer *a);

#endif
