/*
 * Asks the advice service, through the nodes, which workers may run a step.
 *
 * The service handles one question at a time from each machine.  Questions are
 * therefore spread over all nodes, and each is sent through the node that is
 * expected to answer first.  Each node has a lane, which holds one question at
 * a time.
 */

#ifndef OGL_CELL_ADVICE_H
#define OGL_CELL_ADVICE_H

#include "capacity.h"
#include "cell_config.h"
#include "job.h"

struct cell_advice;

struct cell_advice_events {
	void (*send)(void *arg, const char *addr, const Ogl__CellAsk *ask);
	struct cell_stage *(*stage)(
	    void *arg, const char *id, uint32_t occurrence, uint32_t step);
	/* The stage with that job id, occurrence and step; NULL when it is no
	 * longer needed. */
	struct cell_worker *(*worker)(void *arg, const char *id);
	/* The worker with that id; NULL if it is not listed. */
	void (*answered)(void *arg, struct cell_stage *s, ogl_time now);
	/* A question for the stage was answered, or failed. */
	void *arg;
};

struct cell_advice *cell_advice_init(
    const struct cell_ops *ops, const struct cell_advice_events *events);
void cell_advice_end(struct cell_advice *a);

void cell_advice_open(struct cell_advice *a, uint64_t epoch);
/* Drops all questions and nodes.  Tokens of new questions contain the epoch, so
 * a late answer to an earlier owner, or to an earlier process of this node,
 * matches none of them. */
void cell_advice_clear(struct cell_advice *a);
/* Drops all questions and nodes. */

void cell_advice_set_send_ahead(struct cell_advice *a, ogl_time ahead);
/* Questions are sent to a lane that becomes free within this time.  To be set to
 * the time until the next questions can be asked, for which a lane would be idle
 * otherwise. */

void cell_advice_update_node(
    struct cell_advice *a, const char *addr, ogl_time now);
/* The node is alive and can relay questions; to be called for each node at
 * least once a second. */
void cell_advice_remove_node(struct cell_advice *a, const char *addr);

bool cell_advice_has_free_lane(
    struct cell_advice *a, uint32_t rank, ogl_time now);
/* Whether a lane is free now for a question of that rank (queue priority). */

void cell_advice_add_lanes(
    const struct cell_advice *a, struct ogl_capacity *c, ogl_time now);
/* Adds the lanes of nodes that are alive to a forecast's picture. */

bool cell_advice_ask(struct cell_advice *a, struct cell_stage *s,
    const struct cell_policy *p, GPtrArray *workers, uint32_t rank,
    ogl_time now);
/* Asks about the first CELL_ADVICE_WORKERS_MAX workers (struct cell_worker).
 * Returns false if no lane is free, no worker is given or a question for the
 * stage is already pending.  Some lanes are reserved for rank 0. */

#define CELL_ADVICE_WORKERS_MAX 100

double cell_advice_question_ms(const struct cell_policy *p, guint workers);
/* How long the service takes for a question that names so many workers. */

void cell_advice_answer(
    struct cell_advice *a, const Ogl__CellAdvice *m, ogl_time now);

void cell_advice_step(struct cell_advice *a, ogl_time now);
/* Drops questions whose answer is overdue. */

double cell_advice_approved_share(
    const struct cell_advice *a, const char *queue);
/* The fraction of workers that the queue's policy approves, as learned from
 * earlier answers. */

bool cell_advice_knows(const struct cell_stage *s, const struct cell_worker *w);
/* Whether the service has answered about the worker in its present appearance.
 */

const struct cell_approval *cell_advice_approval(
    const struct cell_stage *s, const struct cell_worker *w);
/* The service's approval of a worker in its present incarnation.  NULL if the
 * service did not approve the worker or was not asked.  The ticket may have
 * expired. */

/* Lanes of the nodes that are alive. */
struct cell_advice_lanes {
	unsigned known;
	unsigned paused; /* after a question that failed */
	unsigned idle;   /* of those not paused */
	double rank0;    /* idle ones that are kept free for rank 0 */
};

struct cell_advice_lanes cell_advice_count_lanes(
    const struct cell_advice *a, ogl_time now);

ogl_time cell_advice_asked_at(
    const struct cell_advice *a, const struct cell_stage *s);
/* When the question for the stage that awaits its answer was sent; 0 if there
 * is none. */

#endif
