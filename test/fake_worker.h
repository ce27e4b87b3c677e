/*
 * A fake worker without I/O: it runs tasks under a lease as described in
 * schema/ogl.proto, has its own clock, and records the events of its tasks.
 */

#ifndef FAKE_WORKER_H
#define FAKE_WORKER_H

#include "orioleglade.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FAKE_WORKER_USAGE_LAG_MS 5000   /* run time before usage is reported */
#define FAKE_WORKER_DEFAULT_RUN_MS 1000 /* of a task without a run time */
#define FAKE_WORKER_FAIL_RUN_MS 10      /* run time of a task under fail_all */

struct fake_worker;

struct fake_worker_config {
	const char *name;
	const char *zone;
	const char *rack;
	struct ogl_res capacity;
	uint64_t boot;
	int64_t clock_offset_ms; /* its clock minus the true time */
};

/* Capacity and faults of the worker; may be changed between calls. */
struct fake_worker_script {
	bool fail_all;           /* every new task fails soon after its start */
	bool unreachable;        /* tasks run on until the lease expires */
	bool leaving;            /* set in its reports */
	struct ogl_res capacity; /* may be less than what tasks hold */
};

enum fake_worker_event_type {
	FAKE_WORKER_START,
	FAKE_WORKER_END,   /* it finished or was stopped by a command */
	FAKE_WORKER_LAPSE, /* the worker's lease expired */
	FAKE_WORKER_CRASH  /* the worker restarted while it ran */
};

struct fake_worker_event {
	enum fake_worker_event_type type;
	ogl_time at;
	uint64_t boot;
	uint32_t attempt;
	Ogl__Kind kind;
	Ogl__TaskState state; /* after the event */
	struct ogl_res res;
	const char *worker;
	const char *task;
	const char *team;
};

struct fake_worker *fake_worker_init(const struct fake_worker_config *c);
void fake_worker_end(struct fake_worker *w);

struct fake_worker_script *fake_worker_script(struct fake_worker *w);

void fake_worker_hook(struct fake_worker *w,
    void (*hook)(void *ctx, const struct fake_worker_event *ev), void *ctx);
/* Sets the function that is called for each event, in order of time. */

const struct fake_worker_event *fake_worker_events(
    const struct fake_worker *w, size_t *n);
/* All events so far; valid until the next call on w. */

void fake_worker_tick(struct fake_worker *w, ogl_time now);
/*
 * Ends the tasks whose run time is over, and all tasks if the lease has
 * expired.  Events carry the time at which they were due, not `now`, as if
 * the worker checked its lease every microsecond.  This holds for a paused
 * worker too, because its tasks are paused with it.
 */

ogl_time fake_worker_next_due(const struct fake_worker *w);
/* The time at which fake_worker_tick is next needed; OGL_NEVER if no task
 * runs. */

bool fake_worker_sync(struct fake_worker *w, const Ogl__WorkerSync *s,
    ogl_time now, Ogl__WorkerReport **report);
/* Calls fake_worker_tick and answers one sync.  Does nothing and returns false
 * if the worker is down.  Free the report with
 * ogl__worker_report__free_unpacked. */

void fake_worker_restart(struct fake_worker *w, ogl_time now);
/* Crashes and reboots the worker: tasks, lease and the highest (epoch, seq)
 * seen are lost, and the worker is no longer down. */

void fake_worker_held(const struct fake_worker *w, struct ogl_res *held);
/* The sum of the resources of running and throttled tasks. */

size_t fake_worker_running(const struct fake_worker *w);
/* Number of running and throttled tasks. */

uint64_t fake_worker_no_room(const struct fake_worker *w);
/* Number of starts refused because they would have exceeded the capacity.
 * Each of them is an error of the owner. */

#ifdef __cplusplus
}
#endif

#endif
