/* Short requests in a node: admit, queue, send to executors, answer. */

#ifndef OGL_REQS_H
#define OGL_REQS_H

#include "metrics.h"
#include "orioleglade.h"

struct ogl_reqs;

struct ogl_reqs_ops {
	/* The final answer to the request, exactly once; body is the
	 * callee's to reference. */
	void (*done)(void *ctx, uint64_t cookie, uint32_t status,
	    enum ogl_verdict v, uint64_t retry_after_ms, GBytes *body,
	    ogl_time now);
};

struct ogl_reqs *ogl_reqs_init(const struct ogl_node_config *c,
    const struct ogl_settings *s, struct ogl_counters *n, uint64_t seed,
    const struct ogl_reqs_ops *ops, void *ctx);
void ogl_reqs_end(struct ogl_reqs *q);

void ogl_reqs_target(struct ogl_reqs *q, const char *name, const char *addr,
    const char *zone, bool leaving, ogl_time now);
/* Adds or updates an executor of the host list. */
void ogl_reqs_target_gone(struct ogl_reqs *q, const char *name);

void ogl_reqs_settings(struct ogl_reqs *q);

void ogl_reqs_submit(struct ogl_reqs *q, uint64_t cookie, const char *team,
    const char *label, struct ogl_str body, bool idempotent, uint64_t budget_ms,
    ogl_time now);
/* Takes a request; cookies are unique among those not yet answered. */

void ogl_reqs_gone(struct ogl_reqs *q, uint64_t cookie);
/* Nobody waits for the answer any more. */

void ogl_reqs_tick(struct ogl_reqs *q, ogl_time now, struct ogl_actions *out);
ogl_time ogl_reqs_next(const struct ogl_reqs *q);

bool ogl_reqs_token(uint64_t token);
void ogl_reqs_event(
    struct ogl_reqs *q, const struct ogl_event *ev, ogl_time now);

size_t ogl_reqs_live(const struct ogl_reqs *q);
size_t ogl_reqs_waiting(const struct ogl_reqs *q);

#endif
