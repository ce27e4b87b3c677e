/*
 * The operator's configuration in force: queues, teams and their keys,
 * services.  Built once from a record of the settings stream, then shared
 * unchanged.
 */

#ifndef OGL_CELL_CONFIG_H
#define OGL_CELL_CONFIG_H

#include "ops.h"

/* A queue's policy may name the workers that a step is allowed to run on. */
struct cell_policy {
	bool needed;
	double decide_ms; /* one question costs the service that much */
	double worker_ms; /* and that much for each worker in it */
	uint32_t valid_ms;
};

/* Where callers hand in jobs. */
struct cell_queue {
	char *name;
	char *host;   /* the Host header selects it, */
	char *prefix; /* with the longest prefix of the path */
	char *service;
	uint32_t rank; /* 0 goes first and may preempt others */
	uint32_t attempts_max;
	uint32_t objective_ms; /* a job's objective beside its work */
	double slack;          /* and as many times its work */
	bool open;             /* no key is asked for */
	struct cell_policy policy;
};

struct cell_team {
	char *name;
	double rate;        /* jobs a second it is owed */
	struct ogl_res max; /* most it may have running; 0: no limit */
};

struct cell_service {
	char *name;
	bool standby; /* its machines are off */
};

struct cell_config;

struct cell_config *cell_config_new(uint64_t version);
struct cell_config *cell_config_ref(struct cell_config *c);
void cell_config_unref(struct cell_config *c);
uint64_t cell_config_version(const struct cell_config *c);

struct cell_queue *cell_config_add_queue(struct cell_config *c);
struct cell_team *cell_config_add_team(struct cell_config *c);
struct cell_service *cell_config_add_service(struct cell_config *c);
/* Zeroed entries for the builder to fill with strings that c then owns. */

void cell_config_add_key(
    struct cell_config *c, const char *key, const struct cell_team *team);
/* The team must have been added to c. */

const struct cell_queue *cell_config_route(const struct cell_config *c,
    struct ogl_str host, struct ogl_str path, struct ogl_str *rest);
/* The queue a request is for, and what follows its prefix; NULL when there is
 * none. */

const struct cell_queue *cell_config_queue(
    struct cell_config *c, const char *name);
const struct cell_team *cell_config_team(
    struct cell_config *c, const char *name);
/* NULL when there is none of that name. */
const struct cell_team *cell_config_team_of_key(
    const struct cell_config *c, struct ogl_str key);
struct cell_queue cell_queue_of_job(
    struct cell_config *c, const Ogl__CellJob *def);
/* How the job's queue treats it now or, where c lacks it, when the job was
 * submitted; borrows from both. */

void cell_queue_terms(const struct cell_queue *q, Ogl__CellTerms *t);
/* What a job has to remember of its queue. */

bool cell_config_serves(const struct cell_config *c, const char *service);
/* Whether some queue sends work to the service. */

#endif
