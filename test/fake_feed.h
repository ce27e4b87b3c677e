/* Adds the events of fake workers and executors to a history. */

#ifndef FAKE_FEED_H
#define FAKE_FEED_H

#include "fake_exec.h"
#include "fake_worker.h"
#include "history.h"

#ifdef __cplusplus
extern "C" {
#endif

void fake_record_worker(void *h, const struct fake_worker_event *ev);
/* A hook for fake_worker_hook; h is a struct ogl_history. */

void fake_record_capacity(struct ogl_history *h, const char *worker,
    uint64_t boot, const struct ogl_res *capacity, ogl_time now);
/* Adds a HISTORY_WORKER event. */

void fake_record_exec(struct ogl_history *h, const char *exec,
    struct ogl_str body, const char *team, const char *kind, ogl_time now,
    const struct fake_exec_answer *a);
/* Adds a HISTORY_RUN event if fake_exec_run accepted the request. */

#ifdef __cplusplus
}
#endif

#endif
