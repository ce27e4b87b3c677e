/*
 * A worker without I/O: it runs tasks under a lease as schema/ogl.proto
 * describes, on a clock of its own, and keeps a history of what it ran.
 */

#ifndef FAKE_WORKER_H
#define FAKE_WORKER_H

#include "orioleglade.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FAKE_WORKER_USAGE_LAG_MS 5000   /* before usage is first reported */
#define FAKE_WORKER_DEFAULT_RUN_MS 1000 /* of a task that names no run time */
#define FAKE_WORKER_FAIL_RUN_MS 10      /* until a broken worker fails a task */

struct fake_worker;

struct fake_worker_config {
	const char *name;
	const char *zone;
	const char *rack;
	struct ogl_res capacity;
	uint64_t boot;
	int64_t clock_offset_ms; /* its clock less the true time */
};

/* How the worker behaves; may be changed between calls. */
struct fake_worker_script {
	bool fail_all; /* fails every task soon after its start */
	bool down;     /* hears nothing; its tasks go on till they lapse */
	bool leaving;  /* says so in its reports */
	struct ogl_res capacity; /* may shrink below what is held */
};

enum fake_worker_event_type {
	FAKE_WORKER_START,
	FAKE_WORKER_END,   /* by itself or by command */
	FAKE_WORKER_LAPSE, /* its lease ran out */
	FAKE_WORKER_CRASH  /* it was running when the worker restarted */
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
/* Has hook called at each event, in the order of their times. */

const struct fake_worker_event *fake_worker_events(
    const struct fake_worker *w, size_t *n);
/* Every event so far; valid until the next call on w. */

void fake_worker_tick(struct fake_worker *w, ogl_time now);
/*
 * Ends what is due: tasks whose run time is over, and every task once the
 * lease has run out.  Events bear the time when they fell due, as if the
 * worker kept its lease to the microsecond; a paused worker's tasks are
 * paused with it.
 */

ogl_time fake_worker_next_due(const struct fake_worker *w);
/* When tick has something to do next; OGL_NEVER when nothing runs. */

bool fake_worker_sync(struct fake_worker *w, const Ogl__WorkerSync *s,
    ogl_time now, Ogl__WorkerReport **report);
/* Answers one sync, after a tick.  False, with nothing done, when the worker
 * is down.  Free the report with ogl__worker_report__free_unpacked. */

void fake_worker_restart(struct fake_worker *w, ogl_time now);
/* A crash and a new boot: tasks, lease and the highest (epoch, seq) seen are
 * lost, and the worker is up again. */

void fake_worker_held(const struct fake_worker *w, struct ogl_res *held);
/* What running and throttled tasks hold. */

size_t fake_worker_running(const struct fake_worker *w);
/* Tasks running or throttled. */

uint64_t fake_worker_no_room(const struct fake_worker *w);
/* Starts refused since they would have overfilled the worker: each is a
 * mistake of the owner's. */

#ifdef __cplusplus
}
#endif

#endif
