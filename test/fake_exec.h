/*
 * A fake executor of short requests, without I/O: it has a fixed number of
 * slots, answers with an echo of the request, and injects scripted faults.
 * It counts how often each distinct body ran, by which tests find requests
 * that ran twice.
 */

#ifndef FAKE_EXEC_H
#define FAKE_EXEC_H

#include "orioleglade.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FAKE_EXEC_SLOTS 8
#define FAKE_EXEC_DEFAULT_RUN_MS 5 /* when the body gives no run time */

struct fake_exec;

/* Faults of the executor; may be changed between calls. */
struct fake_exec_script {
	bool fail_all; /* requests run but are answered with status 500 */
	bool leaving;  /* refuses new requests */
	uint32_t lose_answers;     /* number of next answers that are lost */
	uint32_t truncate_answers; /* number of next answers that end halfway */
	uint32_t wrong_tokens; /* number of next answers with a wrong token */
	ogl_time answer_delay; /* extra delay of each answer after the run */
};

/* The result of one request; `body` is freed by fake_exec_answer_clear. */
struct fake_exec_answer {
	bool accepted;   /* it runs; if false, it was refused and never runs */
	bool lost;       /* no answer is sent */
	uint32_t status; /* HTTP */
	uint64_t token;  /* of the answer */
	ogl_time finish_at; /* end of the run, when its slot becomes free */
	ogl_time answer_at; /* when the answer is sent */
	char *body;
	size_t n;          /* bytes of the complete body */
	size_t sent_bytes; /* less than n if truncated */
};

/* One run of a request, for a hook. */
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
/* Sets the function that is called for each accepted request. */

void fake_exec_run(struct fake_exec *e, struct ogl_str body, const char *team,
    const char *kind, uint64_t token, ogl_time now, struct fake_exec_answer *a);
/* Accepts or refuses one request and fills in its result. */

void fake_exec_answer_clear(struct fake_exec_answer *a);

uint32_t fake_exec_busy_slots(struct fake_exec *e, ogl_time now);
/* Number of slots in use. */

uint64_t fake_exec_run_count(const struct fake_exec *e, struct ogl_str body);
/* How often this executor ran the body. */

void fake_exec_each_run_count(const struct fake_exec *e,
    void (*fn)(void *ctx, struct ogl_str body, uint64_t runs), void *ctx);
/* Calls fn for each distinct body, in no particular order. */

#ifdef __cplusplus
}
#endif

#endif
