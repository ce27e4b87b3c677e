/*
 * Uses only the queue and the placer in a program.
 *
 * Two teams submit more tasks than two workers can run at once.  The queue
 * selects the next task and the placer selects a worker for it.  Time is
 * simulated.  At the end all tasks have run, and as long as both teams had
 * tasks waiting, the team with twice the share ran twice as many.
 */

#include <stdio.h>
#include <stdlib.h>

#include "orioleglade.h"

#define TASKS_PER_TEAM 200
#define TIME_STEP (50 * OGL_MS)
#define STEPS_MAX 10000
#define TEAMS 2

static const char *const teams[TEAMS] = {"north", "south"};
static const double shares[TEAMS] = {2, 1};

/* A running task. */
struct task {
	uint64_t id;
	uint32_t worker;
	struct ogl_demand ask;
	ogl_time ends_at;
};

struct cell {
	struct ogl_place *place;
	struct ogl_queue *queue;
	GArray *running; /* struct task */
	unsigned done[TEAMS];
};

static void
add_workers(struct ogl_place *place)
{
	const struct ogl_res capacity = {8000, 16384, 0};

	for (int i = 0; i < 2; i++) {
		const char *name = i == 0 ? "w1" : "w2";
		uint32_t w = ogl_place_worker(
		    place, name, &capacity, i == 0 ? "z1" : "z2", "r1");

		ogl_place_set_state(place, w, OGL_PLACE_SCHEDULABLE);
	}
}

static void
add_tasks(struct ogl_queue *queue, ogl_time now)
{
	for (int t = 0; t < TEAMS; t++) {
		ogl_queue_set_share(queue, teams[t], shares[t]);
		for (uint64_t i = 0; i < TASKS_PER_TEAM; i++) {
			struct ogl_work w = {0};

			w.id = i * TEAMS + (uint64_t)t;
			w.team = teams[t];
			w.label = "step";
			w.kind = OGL__KIND__batch;
			w.tasks = 1;
			w.res.cpu_milli = 1000;
			w.res.mem_mb = 512;
			w.waiting_since = now;
			ogl_queue_push(queue, &w, now);
		}
	}
}

/* True run time, unknown to the queue: 300 to 1,000 ms. */
static ogl_time
run_time(uint64_t id)
{
	return (ogl_time)(300 + id * 97 % 700) * OGL_MS;
}

/* Starts waiting tasks as long as they fit. */
static void
start_tasks(struct cell *c, ogl_time now)
{
	struct ogl_work w;

	while (ogl_queue_pop(c->queue, now, &w)) {
		struct task t = {w.id, 0, {w.kind, w.res, w.id}, 0};

		if (!ogl_place_task(c->place, &t.ask, now, &t.worker)) {
			ogl_queue_defer(c->queue, w.id, now);
			return;
		}
		t.ends_at = now + run_time(w.id);
		ogl_queue_started(c->queue, &w, now);
		g_array_append_val(c->running, t);
	}
}

/* Ends tasks whose run time is over and makes the queue offer again the tasks
 * that did not fit. */
static void
end_tasks(struct cell *c, ogl_time now)
{
	for (guint i = c->running->len; i-- > 0;) {
		const struct task *t =
		    &g_array_index(c->running, struct task, i);

		if (t->ends_at > now)
			continue;
		ogl_place_free(c->place, t->worker, &t->ask);
		ogl_place_task_ended(
		    c->place, t->worker, t->ask.job, true, now);
		ogl_queue_ended(c->queue, t->id, true, now);
		c->done[t->id % TEAMS]++;
		g_array_remove_index_fast(c->running, i);
	}
	ogl_queue_retry_deferred(c->queue, now);
}

int
main(void)
{
	struct cell c = {.place = ogl_place_init(1),
	    .queue = ogl_queue_init(&ogl_queue_learned, 2),
	    .running = g_array_new(FALSE, FALSE, sizeof(struct task))};
	ogl_time now = 1000 * OGL_SEC;
	unsigned south_at_half = 0; /* south's count at half of north's */
	bool all;

	add_workers(c.place);
	add_tasks(c.queue, now);
	for (int i = 0; i < STEPS_MAX; i++) {
		start_tasks(&c, now);
		now += TIME_STEP;
		end_tasks(&c, now);
		if (south_at_half == 0 && c.done[0] >= TASKS_PER_TEAM / 2) {
			south_at_half = c.done[1];
			printf(
			    "north %u, south %u\n", c.done[0], south_at_half);
		}
		if (c.done[0] + c.done[1] == TEAMS * TASKS_PER_TEAM)
			break;
	}
	all = c.done[0] == TASKS_PER_TEAM && c.done[1] == TASKS_PER_TEAM;
	printf("north %u, south %u\n", c.done[0], c.done[1]);
	ogl_queue_end(c.queue);
	ogl_place_end(c.place);
	g_array_free(c.running, TRUE);
	/* With half the share, south should have a quarter done by then. */
	return all && south_at_half > TASKS_PER_TEAM / 6 &&
		       south_at_half < TASKS_PER_TEAM / 3
		   ? EXIT_SUCCESS
		   : EXIT_FAILURE;
}
