/*
 * Asks the advice service, through the nodes, which workers may run a step.
 *
 * The service takes one question at a time from each machine, so questions are
 * spread over all nodes, each to the one that is expected to answer first.
 */

#ifndef OGL_CELL_ADVICE_H
#define OGL_CELL_ADVICE_H

#include "cell_config.h"
#include "job.h"

struct cell_advice;

struct cell_advice_events {
	void (*send)(void *arg, const char *addr, const Ogl__CellAsk *ask);
	struct cell_stage *(*stage)(
	    void *arg, const char *id, uint32_t occurrence, uint32_t step);
	/* The stage asked for, if its job still wants it. */
	struct cell_worker *(*worker)(void *arg, const char *id);
	void (*answered)(void *arg, struct cell_stage *s, ogl_time now);
	void *arg;
};

struct cell_advice *cell_advice_init(
    const struct cell_ops *ops, const struct cell_advice_events *events);
void cell_advice_end(struct cell_advice *a);

void cell_advice_open(struct cell_advice *a, uint64_t epoch);
/* Forgets all questions and numbers new ones by the epoch: a late answer to an
 * earlier owner, or to an earlier process of this node, meets none of them. */
void cell_advice_clear(struct cell_advice *a);
/* Forgets all questions. */

void cell_advice_node(struct cell_advice *a, const char *addr, ogl_time now);
/* A node is there to ask through; to be said again at least each second. */
void cell_advice_no_node(struct cell_advice *a, const char *addr);

bool cell_advice_lane_free(struct cell_advice *a, uint32_t rank, ogl_time now);
/* Whether a question of that rank could be asked now. */

bool cell_advice_ask(struct cell_advice *a, struct cell_stage *s,
    const struct cell_policy *p, GPtrArray *workers, uint32_t rank,
    ogl_time now);
/* Asks for up to CELL_ADVICE_WORKERS_MAX workers (struct cell_worker); false when no
 * node is free to ask through.  Some lanes are kept for rank 0. */

#define CELL_ADVICE_WORKERS_MAX 100

void cell_advice_answer(
    struct cell_advice *a, const Ogl__CellAdvice *m, ogl_time now);

void cell_advice_step(struct cell_advice *a, ogl_time now);
/* Gives up questions that got no answer. */

const struct cell_good *cell_advice_approval(
    const struct cell_stage *s, const struct cell_worker *w);
/* What the service said of a worker in its present life; NULL: not allowed,
 * or not asked. */

#endif
