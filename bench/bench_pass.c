/*
 * Processor time of the scheduler's passes over many waiting stages, and of the
 * look for stalled ones.
 *
 * The scheduler, fleet and advice modules of a shard's owner run in virtual time
 * against workers and an advice service that answer as theirs would.  New jobs
 * keep the number of waiting stages constant.  They belong to 20 teams, some of
 * which reach their limits; a fifth of them may run on one worker in a hundred
 * only.  The first passes are not measured.  Arguments: workers, stages, nodes,
 * passes.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "schedule.h"
#include "stall.h"

#define TEAMS 20
#define BUSY_TEAMS 4 /* which submit half of all jobs */
#define WORKER_CPU_MILLI 16000
/* The limits of all teams together, as a multiple of the cell's capacity. */
#define LIMITS_OF_CAPACITY 1.5
#define CLOCK_AHEAD_MS 1000 /* of a worker's clock */
#define TICKET_MS 2500
#define WARM_UP_PASSES 150
#define PASS_INTERVAL(stages) (4 * OGL_MS + 40 * (ogl_time)(stages))

enum queue {
	URGENT,
	BATCH,
	WIDE,
	NQUEUES
};

struct kind {
	enum queue queue;
	uint32_t tasks;
	uint32_t cpu_milli;
	uint32_t run_ms;
	uint32_t worker_max;
	bool gang;
};

static const struct kind urgent = {URGENT, 3, 2400, 1000, 0, false};
static const struct kind apart = {BATCH, 4, 1000, 4000, 1, false};
static const struct kind gang = {BATCH, 12, 4000, 5000, 0, true};
static const struct kind wide = {WIDE, 25, 1700, 2200, 0, false};

struct run {
	struct cell_task_name task;
	uint64_t number;
	ogl_time ends_at;
	enum cell_end how;
};

struct worker {
	char id[16];
	GArray *runs; /* struct run */
	uint64_t ends;
	cell_hold_fn *done; /* of the hold that waits; NULL none */
	void *arg;
	ogl_time answer_by;
};

struct order {
	cell_order_fn *done;
	void *arg;
};

struct question {
	uint64_t token;
	uint64_t job;
	ogl_time answer_at;
	GPtrArray *workers; /* ids, of those admitted */
};

struct bench {
	struct cell_ops ops;
	struct cell_limits limits;
	struct cell_fleet *fleet;
	struct cell_advice *advice;
	struct cell_escrow *escrow;
	struct cell_sched *sched;
	struct cell_stall *stall;
	struct worker *workers;
	unsigned nworkers;
	unsigned nodes;
	GHashTable *jobs;  /* id -> struct cell_job */
	GPtrArray *over;   /* struct cell_job, to be freed */
	GArray *orders;    /* struct order, to be answered */
	GArray *questions; /* struct question */
	uint64_t njobs;
	uint64_t last_run;
	uint64_t starts;
	uint64_t nquestions;
	ogl_time now;
};

static double
cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec * 1e-3;
}

/* ---- jobs --------------------------------------------------------------- */

static const struct kind *
kind_of(uint64_t job)
{
	return job % 20 == 0   ? &gang
	       : job % 20 == 1 ? &apart
	       : job % 8 == 2  ? &wide
			       : &urgent;
}

static unsigned
team_of(uint64_t job)
{
	uint64_t i = job / 7;

	return i % 2 == 0 ? i / 2 % BUSY_TEAMS : i / 2 % TEAMS;
}

/* Whether the service admits the worker to the job. */
static bool
admits(uint64_t job, unsigned worker)
{
	uint64_t x = (job << 32) + worker;
	uint64_t of_thousand = job % 5 == 0 ? 10 : 300;

	x = (x ^ (x >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ (x >> 27)) * UINT64_C(0x94d049bb133111eb);
	return (x ^ (x >> 31)) % 1000 < of_thousand;
}

static struct cell_stage *
stage_of(void *arg, const char *id, uint32_t occurrence, uint32_t step)
{
	struct bench *b = arg;
	struct cell_job *j = g_hash_table_lookup(b->jobs, id);

	(void)occurrence;
	(void)step;
	return j != NULL ? &cell_job_occurrence(j, 0)->stages[0] : NULL;
}

static void
submit(struct bench *b)
{
	uint64_t number = b->njobs++;
	const struct kind *k = kind_of(number);
	Ogl__CellJob *d = malloc(sizeof *d);
	struct cell_job *j;

	ogl__cell_job__init(d);
	d->id = malloc(CELL_ID_LEN + 1);
	snprintf(d->id, CELL_ID_LEN + 1, "%016" G_GINT64_MODIFIER "x", number);
	d->team = malloc(16);
	snprintf(d->team, 16, "team%u", team_of(number));
	d->queue = malloc(16);
	snprintf(d->queue, 16, "queue%d", k->queue);
	d->service = strdup("service");
	d->n_steps = 1;
	d->steps = malloc(sizeof(Ogl__CellStep *));
	d->steps[0] = malloc(sizeof(Ogl__CellStep));
	ogl__cell_step__init(d->steps[0]);
	d->steps[0]->count = k->tasks;
	d->steps[0]->cpu_milli = k->cpu_milli;
	d->steps[0]->estimate_ms = k->run_ms;
	d->steps[0]->worker_max = k->worker_max;
	d->steps[0]->gang = k->gang;
	j = cell_job_new(d, b->now);
	j->stored = true;
	j->settled = true;
	g_hash_table_insert(b->jobs, j->id, j);
	cell_sched_add(
	    b->sched, &cell_job_begin_occurrence(j, 0, b->now)->stages[0]);
}

static void
on_run_ended(void *arg, struct cell_run *r, enum cell_end how,
    const char *checkpoint, ogl_time now)
{
	struct bench *b = arg;
	struct cell_stage *st = r->stage;
	struct cell_task *t = &st->tasks[r->name.index];

	(void)checkpoint;
	cell_sched_run_ended(b->sched, r, how, now);
	t->active = NULL;
	st->nactive--;
	/* A gang that lost a member is not started again. */
	t->done = how == CELL_END_DONE || st->def->gang;
	st->ndone += t->done;
	if (st->ndone < st->ntasks) {
		if (!st->def->gang)
			cell_sched_add(b->sched, st);
		return;
	}
	cell_sched_remove(st);
	cell_sched_job_completed(b->sched, st->job, now);
	g_hash_table_remove(b->jobs, st->job->id);
	g_ptr_array_add(b->over, st->job);
}

static uint64_t
next_run(void *arg, const struct cell_stage *st)
{
	struct bench *b = arg;

	(void)st;
	return ++b->last_run;
}

static void
on_started(void *arg, struct cell_stage *st, uint32_t index, ogl_time now)
{
	struct bench *b = arg;

	(void)st;
	(void)index;
	(void)now;
	b->starts++;
}

/* ---- workers ------------------------------------------------------------ */

static struct worker *
worker_of(struct bench *b, const char *id)
{
	return &b->workers[strtoul(id + 1, NULL, 10)];
}

static void
hold(void *ctx, const struct cell_hold *h, cell_hold_fn *done, void *arg)
{
	struct bench *b = ctx;
	struct worker *w = worker_of(b, h->to.id);

	w->done = done;
	w->arg = arg;
	w->answer_by = b->now + h->wait_ms * OGL_MS;
}

static void
start(void *ctx, const struct cell_order *o, cell_order_fn *done, void *arg)
{
	struct bench *b = ctx;
	const struct kind *k = kind_of(g_ascii_strtoull(o->task.id, NULL, 16));
	struct run r = {
	    o->task, o->run, b->now + k->run_ms * OGL_MS, CELL_END_DONE};
	struct order answer = {done, arg};

	g_array_append_val(worker_of(b, o->to.id)->runs, r);
	g_array_append_val(b->orders, answer);
}

static void
stop(void *ctx, const struct cell_order *o, cell_order_fn *done, void *arg)
{
	struct bench *b = ctx;
	GArray *runs = worker_of(b, o->to.id)->runs;
	struct order answer = {done, arg};
	guint i;

	for (i = 0; i < runs->len; i++) {
		struct run *r = &g_array_index(runs, struct run, i);

		if (r->number != o->run || r->task.index != o->task.index)
			continue;
		r->ends_at = b->now;
		r->how = CELL_END_STOPPED;
	}
	g_array_append_val(b->orders, answer);
}

static void
answer_orders(struct bench *b)
{
	struct cell_order_answer a = {.io = OGL_IO_OK,
	    .clock_ms = (uint64_t)(b->now / OGL_MS) + CLOCK_AHEAD_MS};
	guint i;

	for (i = 0; i < b->orders->len; i++) {
		struct order o = g_array_index(b->orders, struct order, i);

		o.done(o.arg, &a, b->now);
	}
	g_array_set_size(b->orders, 0);
}

/* Answers a hold once a run has ended, or its time is over. */
static void
answer_hold(struct bench *b, struct worker *w)
{
	GArray *running =
	    g_array_new(FALSE, FALSE, sizeof(struct cell_run_row));
	GArray *ended = g_array_new(FALSE, FALSE, sizeof(struct cell_run_row));
	struct cell_hold_answer a = {.io = OGL_IO_OK,
	    .clock_ms = (uint64_t)(b->now / OGL_MS) + CLOCK_AHEAD_MS,
	    .born_ms = 7};
	cell_hold_fn *done = w->done;
	guint i = 0;

	for (i = 0; i < w->runs->len; i++) {
		const struct run *r = &g_array_index(w->runs, struct run, i);
		struct cell_run_row row = {.task = r->task,
		    .run = r->number,
		    .checkpoint = "",
		    .how = r->how};

		if (r->ends_at > b->now) {
			g_array_append_val(running, row);
			continue;
		}
		row.number = ++w->ends;
		g_array_append_val(ended, row);
		g_array_remove_index(w->runs, i--);
	}
	if (ended->len > 0 || b->now >= w->answer_by) {
		a.running = (const void *)running->data;
		a.nrunning = running->len;
		a.ended = (const void *)ended->data;
		a.nended = ended->len;
		w->done = NULL;
		done(w->arg, &a, b->now);
	}
	g_array_unref(running);
	g_array_unref(ended);
}

static void
answer_holds(struct bench *b)
{
	unsigned i;

	for (i = 0; i < b->nworkers; i++) {
		if (b->workers[i].done != NULL)
			answer_hold(b, &b->workers[i]);
	}
}

static void
on_ends(void *arg, struct cell_worker *w, ogl_time now)
{
	struct bench *b = arg;

	(void)now;
	cell_fleet_ends_stored(b->fleet, w, w->incarnation, w->ends_reported);
}

static void
on_worker(void *arg, struct cell_worker *w, ogl_time now)
{
	(void)arg;
	(void)w;
	(void)now;
}

static void
on_run(void *arg, struct cell_run *r, ogl_time now)
{
	(void)arg;
	(void)r;
	(void)now;
}

static void
on_room(void *arg, ogl_time now)
{
	(void)arg;
	(void)now;
}

/* ---- the advice service ------------------------------------------------- */

static void
ask(void *arg, const char *addr, const Ogl__CellAsk *m)
{
	struct bench *b = arg;
	struct question q = {.token = m->token,
	    .job = g_ascii_strtoull(m->step, NULL, 16),
	    .workers = g_ptr_array_new()};
	const struct cell_stage *st;
	char id[CELL_ID_LEN + 1];
	size_t i;

	(void)addr;
	g_strlcpy(id, m->step, sizeof id);
	st = stage_of(b, id, 0, 0);
	for (i = 0; i < m->n_workers; i++) {
		struct worker *w = worker_of(b, m->workers[i]);

		if (admits(q.job, (unsigned)(w - b->workers)))
			g_ptr_array_add(q.workers, w->id);
	}
	q.answer_at = b->now + (ogl_time)(cell_advice_question_ms(
					      &st->job->queue_config->policy,
					      (guint)m->n_workers) *
					  OGL_MS);
	g_array_append_val(b->questions, q);
	b->nquestions++;
}

static void
answer_question(struct bench *b, const struct question *q)
{
	Ogl__CellAdvice m = OGL__CELL_ADVICE__INIT;
	guint n = q->workers->len;
	Ogl__CellTicket *tickets = g_new(Ogl__CellTicket, n + 1);
	Ogl__CellTicket **list = g_new(Ogl__CellTicket *, n + 1);
	char ticket[] = "ticket";
	guint i;

	for (i = 0; i < n; i++) {
		ogl__cell_ticket__init(&tickets[i]);
		tickets[i].worker = q->workers->pdata[i];
		tickets[i].ticket = ticket;
		list[i] = &tickets[i];
	}
	m.token = q->token;
	m.ok = true;
	m.valid_ms = TICKET_MS;
	m.tickets = list;
	m.n_tickets = n;
	cell_advice_answer(b->advice, &m, b->now);
	g_free(tickets);
	g_free(list);
	g_ptr_array_unref(q->workers);
}

static void
answer_questions(struct bench *b)
{
	guint i = 0;

	while (i < b->questions->len) {
		struct question q =
		    g_array_index(b->questions, struct question, i);

		if (q.answer_at > b->now) {
			i++;
			continue;
		}
		g_array_remove_index(b->questions, i);
		answer_question(b, &q);
	}
}

static struct cell_worker *
advice_worker(void *arg, const char *id)
{
	return cell_fleet_worker(((struct bench *)arg)->fleet, id);
}

static void
on_answered(void *arg, struct cell_stage *st, ogl_time now)
{
	(void)arg;
	(void)st;
	(void)now;
}

/* ---- the cell ----------------------------------------------------------- */

static void
log_line(void *ctx, const char *prefix, const char *event, const char *text)
{
	(void)ctx;
	(void)prefix;
	(void)event;
	(void)text;
}

static void
count(void *ctx, const char *name, uint64_t by)
{
	(void)ctx;
	(void)name;
	(void)by;
}

static void
configure(struct bench *b)
{
	static const struct cell_policy policies[NQUEUES] = {
	    [URGENT] = {true, 20, 0.5, TICKET_MS},
	    [BATCH] = {true, 100, 2, TICKET_MS},
	    [WIDE] = {true, 100, 2, TICKET_MS}};
	struct cell_config *c = cell_config_new(1);
	double limit = LIMITS_OF_CAPACITY * WORKER_CPU_MILLI * b->nworkers;
	unsigned i;

	for (i = 0; i < NQUEUES; i++) {
		struct cell_queue *q = cell_config_add_queue(c);

		q->name = g_strdup_printf("queue%u", i);
		q->host = g_strdup("host");
		q->prefix = g_strdup("/");
		q->service = g_strdup("service");
		q->rank = i;
		q->attempts_max = 3;
		q->objective_ms = i == URGENT ? 3000 : 30000;
		q->slack = 3;
		q->policy = policies[i];
	}
	for (i = 0; i < TEAMS; i++) {
		struct cell_team *t = cell_config_add_team(c);

		t->name = g_strdup_printf("team%u", i);
		t->rate = 10;
		t->max.cpu_milli = (uint32_t)(limit / TEAMS);
	}
	cell_sched_set_config(b->sched, c);
	cell_config_unref(c);
}

static void
list_workers(struct bench *b)
{
	char service[] = "service", none[] = "", addr[32];
	unsigned i;

	cell_fleet_open(b->fleet, 1, b->now);
	for (i = 0; i < b->nworkers; i++) {
		struct cell_worker_entry e = {.service = service,
		    .addr = addr,
		    .zone = none,
		    .rack = none,
		    .capacity = {.cpu_milli = WORKER_CPU_MILLI}};
		struct worker *w = &b->workers[i];

		snprintf(w->id, sizeof w->id, "w%u", i);
		snprintf(addr, sizeof addr, "worker:%u", i);
		w->runs = g_array_new(FALSE, FALSE, sizeof(struct run));
		cell_fleet_update_entry(b->fleet, w->id, &e, b->now);
	}
	cell_fleet_step(b->fleet, b->now);
	answer_holds(b);
	for (i = 0; i < b->nworkers; i++)
		cell_fleet_record_stored(b->fleet, b->workers[i].id, 1);
}

static void
bench_init(struct bench *b, unsigned workers, unsigned nodes)
{
	struct cell_fleet_events fe = {.run_ended = on_run_ended,
	    .run_started = on_run,
	    .ends_processed = on_ends,
	    .answered = on_worker,
	    .room_freed = on_room,
	    .arg = b};
	struct cell_advice_events ae = {.send = ask,
	    .stage = stage_of,
	    .worker = advice_worker,
	    .answered = on_answered,
	    .arg = b};
	struct cell_escrow_events ee = {0};
	struct cell_sched_parts parts = {.ops = &b->ops,
	    .next_run = next_run,
	    .started = on_started,
	    .arg = b};

	memset(b, 0, sizeof *b);
	b->ops = (struct cell_ops){.hold = hold,
	    .start = start,
	    .stop = stop,
	    .log = log_line,
	    .count = count,
	    .observe = count,
	    .backend_ctx = b};
	b->limits.lease_max_ms = 10000;
	b->limits.stop_ms = 500;
	b->nworkers = workers;
	b->nodes = nodes;
	b->workers = g_new0(struct worker, workers);
	b->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	b->over = g_ptr_array_new_with_free_func(
	    (GDestroyNotify)(void *)cell_job_free);
	b->orders = g_array_new(FALSE, FALSE, sizeof(struct order));
	b->questions = g_array_new(FALSE, FALSE, sizeof(struct question));
	b->now = 100 * OGL_SEC;
	parts.fleet = b->fleet = cell_fleet_init(&b->ops, &b->limits, &fe);
	parts.advice = b->advice = cell_advice_init(&b->ops, &ae);
	parts.escrow = b->escrow = cell_escrow_init(0, 1, &ee);
	b->sched = cell_sched_init(&parts);
	b->stall = cell_stall_init(&b->ops, b->sched);
	cell_sched_open(b->sched, b->now);
	cell_advice_open(b->advice, 1);
	configure(b);
	list_workers(b);
}

static void
bench_end(struct bench *b)
{
	struct cell_order_answer lost = {.io = OGL_IO_LOST};
	struct cell_hold_answer none = {.io = OGL_IO_LOST};
	GHashTableIter it;
	gpointer p;
	unsigned i;

	cell_sched_clear(b->sched);
	cell_fleet_close(b->fleet);
	for (i = 0; i < b->orders->len; i++) {
		struct order o = g_array_index(b->orders, struct order, i);

		o.done(o.arg, &lost, b->now);
	}
	for (i = 0; i < b->nworkers; i++) {
		struct worker *w = &b->workers[i];

		if (w->done != NULL)
			w->done(w->arg, &none, b->now);
		g_array_unref(w->runs);
	}
	for (i = 0; i < b->questions->len; i++)
		g_ptr_array_unref(
		    g_array_index(b->questions, struct question, i).workers);
	cell_stall_end(b->stall);
	cell_sched_end(b->sched);
	cell_escrow_end(b->escrow);
	cell_advice_end(b->advice);
	g_hash_table_iter_init(&it, b->jobs);
	while (g_hash_table_iter_next(&it, NULL, &p))
		cell_job_free(p);
	cell_fleet_end(b->fleet);
	g_hash_table_unref(b->jobs);
	g_ptr_array_unref(b->over);
	g_array_unref(b->orders);
	g_array_unref(b->questions);
	g_free(b->workers);
}

/* Everything that happens between two passes. */
static void
advance(struct bench *b, unsigned stages)
{
	char addr[16];
	unsigned i;

	b->now += PASS_INTERVAL(stages);
	cell_fleet_confirm(b->fleet, b->now);
	answer_orders(b);
	answer_holds(b);
	answer_questions(b);
	for (i = 0; i < b->nodes; i++) {
		snprintf(addr, sizeof addr, "node%u", i);
		cell_advice_update_node(b->advice, addr, b->now);
	}
	cell_fleet_step(b->fleet, b->now);
	cell_advice_step(b->advice, b->now);
	g_ptr_array_set_size(b->over, 0);
	while (cell_sched_waiting(b->sched) < stages)
		submit(b);
}

static gint
by_value(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Runs a pass and the look for stalled stages; adds their times. */
static void
run_pass(struct bench *b, unsigned stages, double *pass_us, double *stall_us)
{
	double t;

	advance(b, stages);
	t = cpu_us();
	cell_sched_pass(b->sched, b->now);
	*pass_us += cpu_us() - t;
	t = cpu_us();
	cell_stall_step(b->stall, b->jobs, b->now);
	*stall_us += cpu_us() - t;
}

static void
measure(unsigned workers, unsigned stages, unsigned nodes, unsigned passes)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(double));
	double total_us = 0, stall_us = 0;
	struct bench b;
	unsigned i;

	bench_init(&b, workers, nodes);
	for (i = 0; i < WARM_UP_PASSES; i++)
		run_pass(&b, stages, &total_us, &stall_us);
	b.starts = b.nquestions = 0;
	total_us = stall_us = 0;
	for (i = 0; i < passes; i++) {
		double us = 0;

		run_pass(&b, stages, &us, &stall_us);
		total_us += us;
		g_array_append_val(times, us);
	}
	g_array_sort(times, by_value);
	printf("pass_%u_us %.0f us\n", workers, total_us / passes);
	printf("pass_%u_median_us %.0f us\n", workers,
	    g_array_index(times, double, passes / 2));
	printf("pass_%u_most_us %.0f us\n", workers,
	    g_array_index(times, double, passes - 1));
	printf(
	    "pass_%u_starts %.1f starts\n", workers, (double)b.starts / passes);
	printf("pass_%u_questions %.1f questions\n", workers,
	    (double)b.nquestions / passes);
	printf("stall_%u_us_s %.0f us\n", workers,
	    stall_us / passes * OGL_SEC / PASS_INTERVAL(stages));
	bench_end(&b);
	g_array_unref(times);
}

/* The value of an argument of the program, or a default. */
static unsigned
argument(int argc, char **argv, int i, unsigned fallback)
{
	return argc > i ? (unsigned)atoi(argv[i]) : fallback;
}

int
main(int argc, char **argv)
{
	if (argc > 1) {
		measure(argument(argc, argv, 1, 350),
		    argument(argc, argv, 2, 1000), argument(argc, argv, 3, 12),
		    argument(argc, argv, 4, 200));
		return 0;
	}
	measure(350, 1000, 12, 400);
	measure(22000, 1000, 100, 100);
	return 0;
}
