/*
 * Commands that show the state of the cell, as known to a node.
 */

#include "ctl.h"
#include "print.h"

static enum ctl_exit
show(struct ctl *c, const char *path)
{
	json_t *v;
	enum ctl_exit rc = ctl_get_json(c, path, &v);

	if (v != NULL)
		ctl_print(stdout, v);
	json_decref(v);
	return rc;
}

static enum ctl_exit
run_hosts(struct ctl *c, char **words, size_t n)
{
	(void)words;
	(void)n;
	return show(c, "/v1/hosts");
}

static enum ctl_exit
run_shards(struct ctl *c, char **words, size_t n)
{
	(void)words;
	(void)n;
	return show(c, "/v1/shards");
}

static enum ctl_exit
run_queues(struct ctl *c, char **words, size_t n)
{
	(void)words;
	(void)n;
	return show(c, "/v1/queues");
}

static enum ctl_exit
run_status(struct ctl *c, char **words, size_t n)
{
	(void)words;
	(void)n;
	return show(c, "/v1/status");
}

static enum ctl_exit
run_members(struct ctl *c, char **words, size_t n)
{
	(void)words;
	(void)n;
	return show(c, "/v1/members");
}

const struct ctl_command ctl_cell_commands[] = {
    {"hosts", NULL, 0, 0, 0, 0, false, run_hosts, "",
	"hosts as the platform lists them"},
    {"shards", NULL, 0, 0, 0, 0, false, run_shards, "",
	"shards and their owners"},
    {"queues", NULL, 0, 0, 0, 0, false, run_queues, "", "waiting work"},
    {"status", NULL, 0, 0, 0, 0, false, run_status, "",
	"state of the node that answers"},
    {"members", NULL, 0, 0, 0, 0, false, run_members, "", "nodes of the cell"},
    {0},
};
