/*
 * Converts events of fake workers and executors to events of a history, so that
 * neither the fakes nor the history depend on each other.
 */

#include "fake_feed.h"

void
fake_record_worker(void *h, const struct fake_worker_event *ev)
{
	static const enum history_type types[] = {
	    [FAKE_WORKER_START] = HISTORY_START,
	    [FAKE_WORKER_END] = HISTORY_END,
	    [FAKE_WORKER_LAPSE] = HISTORY_LAPSE,
	    [FAKE_WORKER_CRASH] = HISTORY_CRASH};
	struct history_event e = {.type = types[ev->type], .at = ev->at};

	e.u.task.worker = ev->worker;
	e.u.task.task = ev->task;
	e.u.task.team = ev->team;
	e.u.task.boot = ev->boot;
	e.u.task.attempt = ev->attempt;
	e.u.task.res = ev->res;
	e.u.task.state = (uint32_t)ev->state;
	ogl_history_add(h, &e);
}

void
fake_record_capacity(struct ogl_history *h, const char *worker, uint64_t boot,
    const struct ogl_res *capacity, ogl_time now)
{
	struct history_event e = {.type = HISTORY_WORKER, .at = now};

	e.u.worker.worker = worker;
	e.u.worker.boot = boot;
	e.u.worker.capacity = *capacity;
	ogl_history_add(h, &e);
}

void
fake_record_exec(struct ogl_history *h, const char *exec, struct ogl_str body,
    const char *team, const char *kind, ogl_time now,
    const struct fake_exec_answer *a)
{
	struct history_event e = {.type = HISTORY_RUN, .at = now};
	char *text;

	if (!a->accepted)
		return;
	text = body.n > 0 ? g_utf8_make_valid(body.p, (gssize)body.n) : NULL;
	e.u.run.exec = exec;
	e.u.run.body = text;
	e.u.run.team = team;
	e.u.run.kind = kind;
	e.u.run.token = a->token;
	e.u.run.until = a->finish_at;
	e.u.run.whole = !a->lost && a->sent_bytes == a->n;
	ogl_history_add(h, &e);
	g_free(text);
}
