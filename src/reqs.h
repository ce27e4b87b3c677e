/* Short requests in a node: admission, queueing, dispatch and answers. */

#ifndef OGL_REQS_H
#define OGL_REQS_H

#include "metrics.h"
#include "orioleglade.h"

struct ogl_reqs;

struct ogl_reqs_ops {
	/* Passes on the final answer to a request.  It is called once for each
	 * request, but not after ogl_reqs_caller_gone.  retry_after_ms is 0 if
	 * no time to retry is given.  The callee takes a reference to body if
	 * it keeps it. */
	void (*done)(void *ctx, uint64_t cookie, uint32_t status,
	    enum ogl_verdict v, uint64_t retry_after_ms, GBytes *body,
	    ogl_time now);
};

struct ogl_reqs *ogl_reqs_init(const struct ogl_node_config *c,
    const struct ogl_settings *s, struct ogl_counters *n, uint64_t seed,
    const struct ogl_reqs_ops *ops, void *ctx);
/* c, s, n and ops must outlive the result; of c, exec_slots and zone are used.
 * n counts results, seed drives the choice of targets. */
void ogl_reqs_end(struct ogl_reqs *q);

void ogl_reqs_set_target(struct ogl_reqs *q, const char *name, const char *addr,
    const char *zone, bool leaving, ogl_time now);
/* Adds or updates an executor of the host list. */
void ogl_reqs_remove_target(struct ogl_reqs *q, const char *name);
/* Removes an executor; unknown names are ignored. */

void ogl_reqs_apply_settings(struct ogl_reqs *q);
/* Applies the teams' shares from the settings to the queue. */

void ogl_reqs_submit(struct ogl_reqs *q, uint64_t cookie, const char *team,
    const char *work_kind, struct ogl_str body, bool idempotent,
    uint64_t budget_ms, ogl_time now);
/* Admits a request or refuses it at once through ops->done.  cookie must be
 * unique among the requests not yet answered; budget_ms is the time for the
 * whole request, 0: the default. */

void ogl_reqs_caller_gone(struct ogl_reqs *q, uint64_t cookie);
/* The caller no longer waits for the answer: the request is dropped if it is
 * queued, and done is not called for it. */

void ogl_reqs_tick(struct ogl_reqs *q, ogl_time now, struct ogl_actions *out);
ogl_time ogl_reqs_next(const struct ogl_reqs *q);

bool ogl_reqs_is_token(uint64_t token);
/* Whether an action with this token was made by this module. */
void ogl_reqs_event(
    struct ogl_reqs *q, const struct ogl_event *ev, ogl_time now);

size_t ogl_reqs_open_count(const struct ogl_reqs *q);
/* Returns the number of requests queued or sent. */
size_t ogl_reqs_queued_count(const struct ogl_reqs *q);
/* Returns the number of requests queued. */

#endif
