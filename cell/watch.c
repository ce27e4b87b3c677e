/*
 * A caller asks for the state of its job when it expects the job to have ended,
 * and asks again only after a pause of its own.  Its question often arrives
 * while the end is on its way to the store, which takes a few milliseconds.  If
 * it were told then that the job runs, the caller would learn of the end a
 * whole pause later.  Such a question therefore waits for the end.
 */

#include <glib.h>
#include <string.h>

#include "watch.h"

struct question {
	char job[CELL_ID_LEN + 1];
	char *to;
	uint64_t token;
	ogl_time until;
};

struct cell_watch {
	struct cell_watch_events events;
	GQueue questions; /* struct question */
};

struct cell_watch *
cell_watch_init(const struct cell_watch_events *events)
{
	struct cell_watch *w = g_new0(struct cell_watch, 1);

	w->events = *events;
	g_queue_init(&w->questions);
	return w;
}

static void
question_free(void *p)
{
	struct question *q = p;

	g_free(q->to);
	g_free(q);
}

void
cell_watch_end(struct cell_watch *w)
{
	g_queue_clear_full(&w->questions, question_free);
	g_free(w);
}

void
cell_watch_add(struct cell_watch *w, const char *job, const char *to,
    uint64_t token, ogl_time until)
{
	struct question *q = g_new0(struct question, 1);

	g_strlcpy(q->job, job, sizeof q->job);
	q->to = g_strdup(to);
	q->token = token;
	q->until = until;
	g_queue_push_tail(&w->questions, q);
}

static void
answer(struct cell_watch *w, GList *at)
{
	struct question *q = at->data;

	g_queue_delete_link(&w->questions, at);
	w->events.answer(w->events.arg, q->to, q->token, q->job);
	question_free(q);
}

void
cell_watch_job_ended(struct cell_watch *w, const char *job)
{
	GList *at, *next;

	for (at = w->questions.head; at != NULL; at = next) {
		next = at->next;
		if (strcmp(((struct question *)at->data)->job, job) == 0)
			answer(w, at);
	}
}

void
cell_watch_step(struct cell_watch *w, ogl_time now)
{
	GList *at, *next;

	for (at = w->questions.head; at != NULL; at = next) {
		next = at->next;
		if (now >= ((struct question *)at->data)->until)
			answer(w, at);
	}
}

ogl_time
cell_watch_wake(const struct cell_watch *w)
{
	ogl_time wake = OGL_NEVER;
	const GList *at;

	for (at = w->questions.head; at != NULL; at = at->next)
		wake = MIN(wake, ((struct question *)at->data)->until);
	return wake;
}

void
cell_watch_clear(struct cell_watch *w)
{
	while (w->questions.head != NULL)
		answer(w, w->questions.head);
}
