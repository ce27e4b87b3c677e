/* Adds the events of a fake cluster to the history of its run. */

#ifndef FAKE_CLUSTER_TELL_H
#define FAKE_CLUSTER_TELL_H

#include "fake_cluster.h"
#include "history.h"

void fake_record_call(struct ogl_history *h, uint32_t number, const char *node,
    const struct fake_call *k, uint64_t timeout_ms);
void fake_record_answer(
    struct ogl_history *h, uint32_t number, const struct fake_call *k);
/* Adds the answer, and the state of a job or the result of an edit that it
 * contains. */
void fake_record_node(struct ogl_history *h, const char *node,
    enum history_node state, ogl_time now);
void fake_record_lease(struct ogl_history *h, const char *worker,
    const Ogl__WorkerSync *m, ogl_time now);
void fake_record_listed(
    struct ogl_history *h, const char *target, bool leaving, ogl_time now);
void fake_record_version(
    struct ogl_history *h, const char *node, uint64_t version, ogl_time now);
void fake_record_cut(
    struct ogl_history *h, const char *node, uint32_t call, ogl_time now);

#endif
