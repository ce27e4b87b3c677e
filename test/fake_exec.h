/*
 * An executor of short requests without I/O: a fixed number of slots, an
 * answer that echoes the request, and scripted faults.  It counts how often
 * each distinct body ran, which is how doubled requests are found.
 */

#ifndef FAKE_EXEC_H
#define FAKE_EXEC_H

#include "orioleglade.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FAKE_EXEC_SLOTS 8
#define FAKE_EXEC_DEFAULT_RUN_MS 5 /* when the body names no run time */

struct fake_exec;

/* How the executor misbehaves; may be changed between calls. */
struct fake_exec_script {
	bool fail_all;  /* every request runs and ends with status 500 */
	bool leaving;   /* refuses everything new */
	uint32_t lose;  /* next requests that run but are not answered */
	uint32_t cut;   /* next answers that break off half way */
	uint32_t cross; /* next answers that carry another's token */
	ogl_time late;  /* extra delay of each answer after the run */
};

/* What becomes of one request; `body` is freed by fake_exec_answer_clear. */
struct fake_exec_answer {
	bool accepted;      /* it runs; otherwise refused, certainly not run */
	bool lost;          /* no answer is sent */
	uint32_t status;    /* HTTP */
	uint64_t token;     /* that the answer carries */
	ogl_time finish_at; /* end of the run, when its slot falls free */
	ogl_time answer_at; /* when the answer is sent */
	char *body;
	size_t n;          /* bytes of the whole body */
	size_t sent_bytes; /* bytes really sent; less than n when cut short */
};

/* One run, for a history checker. */
struct fake_exec_event {
	const char *exec;
	struct ogl_str body;
	const char *team;
	const char *kind;
	ogl_time from;
	ogl_time to;
};

struct fake_exec *fake_exec_init(const char *name, uint32_t slots);
void fake_exec_end(struct fake_exec *e);

struct fake_exec_script *fake_exec_script(struct fake_exec *e);

void fake_exec_hook(struct fake_exec *e,
    void (*hook)(void *ctx, const struct fake_exec_event *ev), void *ctx);
/* Has hook called at each accepted request. */

void fake_exec_run(struct fake_exec *e, struct ogl_str body, const char *team,
    const char *kind, uint64_t token, ogl_time now, struct fake_exec_answer *a);
/* Takes or refuses one request and fills in what becomes of it. */

void fake_exec_answer_clear(struct fake_exec_answer *a);

uint32_t fake_exec_busy_slots(struct fake_exec *e, ogl_time now);
/* Slots taken. */

uint64_t fake_exec_run_count(const struct fake_exec *e, struct ogl_str body);
/* How often this body ran here. */

void fake_exec_each_run_count(const struct fake_exec *e,
    void (*fn)(void *ctx, struct ogl_str body, uint64_t runs), void *ctx);
/* Calls fn for each distinct body, in no certain order. */

#ifdef __cplusplus
}
#endif

#endif
