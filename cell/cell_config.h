/*
 * A configuration of the operator: queues, teams and their keys, services.  It
 * is built once from a record of the settings stream, then shared and no longer
 * changed.
 */

#ifndef OGL_CELL_CONFIG_H
#define OGL_CELL_CONFIG_H

#include "ops.h"

/* Whether the steps of a queue's jobs may run only on workers that the advice
 * service approves, and how long its answers take. */
struct cell_policy {
	bool needed;
	double decide_ms;  /* time that the service takes for a question */
	double worker_ms;  /* additional time for each worker named in it */
	uint32_t valid_ms; /* how long its tickets are valid */
};

/* A queue, to which callers submit jobs. */
struct cell_queue {
	char *name;
	char *host;   /* Host header of its requests */
	char *prefix; /* path prefix; a request goes to its longest match */
	char *service;
	uint32_t rank; /* priority; 0 is the highest and may preempt others */
	uint32_t attempts_max;
	/* A job's objective is objective_ms plus slack times its run time. */
	uint32_t objective_ms;
	double slack;
	bool is_public; /* submitting needs no key */
	struct cell_policy policy;
};

struct cell_team {
	char *name;
	double rate;        /* jobs a second that it is entitled to */
	struct ogl_res max; /* limit of what its runs use; 0: no limit */
};

struct cell_service {
	char *name;
	bool standby; /* its machines are switched off */
};

struct cell_config;

struct cell_config *cell_config_new(uint64_t version);
struct cell_config *cell_config_ref(struct cell_config *c);
void cell_config_unref(struct cell_config *c);
uint64_t cell_config_version(const struct cell_config *c);

struct cell_queue *cell_config_add_queue(struct cell_config *c);
struct cell_team *cell_config_add_team(struct cell_config *c);
struct cell_service *cell_config_add_service(struct cell_config *c);
/* Add a zeroed entry, which the caller fills in.  Its strings are freed with
 * c. */

void cell_config_add_key(
    struct cell_config *c, const char *key, const struct cell_team *team);
/* The key is copied; the team must have been added to c. */

const struct cell_queue *cell_config_route(const struct cell_config *c,
    struct ogl_str host, struct ogl_str path, struct ogl_str *rest);
/* The queue that a request is for, NULL if there is none.  If there is one,
 * *rest is set to the part of path after the queue's prefix. */

const struct cell_queue *cell_config_queue(
    struct cell_config *c, const char *name);
const struct cell_team *cell_config_team(
    struct cell_config *c, const char *name);
/* The queue or team with that name, NULL if there is none. */
const struct cell_team *cell_config_team_at(
    const struct cell_config *c, size_t i);
/* The i-th team, NULL if there are no more. */
const struct cell_team *cell_config_team_of_key(
    const struct cell_config *c, struct ogl_str key);
/* The team that the key belongs to, NULL if the key is unknown. */
struct cell_queue cell_queue_of_job(
    struct cell_config *c, const Ogl__CellJob *def);
/* The job's queue in c or, if c is NULL or has no such queue, as saved in the
 * job when it was submitted.  Its strings are borrowed from c or def. */

void cell_queue_save_terms(const struct cell_queue *q, Ogl__CellTerms *t);
/* Fills t with the fields of the queue that are saved in a job. */

bool cell_config_serves(const struct cell_config *c, const char *service);
/* Whether any queue's jobs run on the service's workers. */

#endif
