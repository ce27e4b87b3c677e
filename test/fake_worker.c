/*
 * A fake worker without I/O.
 *
 * A task on the worker is live (running or throttled) or ended.  Ended tasks
 * are kept until the owner acknowledges them.  All live tasks share one lease,
 * measured on the worker's clock.  A sync may extend the lease but never
 * shortens it: a new owner that syncs before it has seen the worker's clock
 * sends no lease, and this must not stop running tasks.
 *
 * Reports are incremental.  An answer may be lost, so a later sync does not
 * prove that the previous report was received.  lease_from_ms proves it, as it
 * echoes clock_ms of a report that the owner has read: a task is reported
 * until the owner echoes a clock at or after the first report that contained
 * its current state.  If two reports have the same clock_ms, only the first
 * counts as this first report, because the echo cannot tell them apart.
 */

#include <string.h>

#include "fake_text.h"
#include "fake_worker.h"

static const char NO_ROOM[] = "no room";

struct task {
	char *name;
	char *team;
	char *reason;
	uint32_t attempt;
	Ogl__Kind kind;
	struct ogl_res res;
	Ogl__TaskState state;
	bool will_fail;
	bool usage_known;
	ogl_time state_since;      /* last change of state */
	ogl_time earlier_run_time; /* run time until state_since */
	ogl_time run_time;         /* total run time; OGL_NEVER: no limit */
	bool unconfirmed;         /* the owner may not know the current state */
	uint64_t first_report_ms; /* clock_ms of its first report; 0: none */
};

struct fake_worker {
	struct fake_worker_script script;
	char *name;
	char *zone;
	char *rack;
	uint64_t boot;
	int64_t clock_offset_ms;
	uint64_t epoch; /* epoch and seq are the highest pair seen */
	uint64_t seq;
	uint64_t lease_until_ms; /* on the worker's clock */
	uint64_t last_report_ms; /* on the worker's clock */
	uint64_t no_room;        /* starts refused for lack of room */
	GPtrArray *tasks;        /* of struct task, in order of start */
	GArray *events;          /* of struct fake_worker_event */
	GStringChunk *strings;   /* holds the strings of events */
	void (*hook)(void *ctx, const struct fake_worker_event *ev);
	void *hook_ctx;
};

static void
task_free(void *p)
{
	struct task *t = p;

	g_free(t->name);
	g_free(t->team);
	g_free(t->reason);
	g_free(t);
}

static bool
task_live(const struct task *t)
{
	return t->state == OGL__TASK_STATE__running ||
	       t->state == OGL__TASK_STATE__throttled;
}

/* When a task ends by itself; OGL_NEVER if it does not. */
static ogl_time
task_due(const struct task *t)
{
	if (t->state != OGL__TASK_STATE__running || t->run_time == OGL_NEVER)
		return OGL_NEVER;
	return t->state_since + (t->run_time - t->earlier_run_time);
}

/* The time that the task has run so far. */
static ogl_time
task_progress(const struct task *t, ogl_time now)
{
	if (t->state != OGL__TASK_STATE__running)
		return t->earlier_run_time;
	return t->earlier_run_time + (now - t->state_since);
}

static uint64_t
clock_ms(const struct fake_worker *w, ogl_time now)
{
	return (uint64_t)(now / OGL_MS + w->clock_offset_ms);
}

/* The end of the lease in true time. */
static ogl_time
lease_end(const struct fake_worker *w)
{
	return ((ogl_time)w->lease_until_ms - w->clock_offset_ms) * OGL_MS;
}

static void
add_event(struct fake_worker *w, enum fake_worker_event_type type,
    const struct task *t, ogl_time at)
{
	struct fake_worker_event ev = {.type = type,
	    .at = at,
	    .boot = w->boot,
	    .attempt = t->attempt,
	    .kind = t->kind,
	    .state = t->state,
	    .res = t->res,
	    .worker = w->name,
	    .task = g_string_chunk_insert_const(w->strings, t->name),
	    .team = g_string_chunk_insert_const(w->strings, t->team)};

	g_array_append_val(w->events, ev);
	if (w->hook != NULL)
		w->hook(w->hook_ctx, &ev);
}

static void
set_state(struct task *t, Ogl__TaskState state, const char *reason, ogl_time at)
{
	t->earlier_run_time = task_progress(t, at);
	t->state_since = at;
	t->state = state;
	t->unconfirmed = true;
	t->first_report_ms = 0;
	g_free(t->reason);
	t->reason = g_strdup(reason);
}

struct fake_worker *
fake_worker_init(const struct fake_worker_config *c)
{
	struct fake_worker *w = g_new0(struct fake_worker, 1);

	w->name = g_strdup(c->name);
	w->zone = g_strdup(c->zone);
	w->rack = g_strdup(c->rack);
	w->boot = c->boot;
	w->clock_offset_ms = c->clock_offset_ms;
	w->script.capacity = c->capacity;
	w->tasks = g_ptr_array_new_with_free_func(task_free);
	w->events = g_array_new(FALSE, FALSE, sizeof(struct fake_worker_event));
	w->strings = g_string_chunk_new(256);
	return w;
}

void
fake_worker_end(struct fake_worker *w)
{
	if (w == NULL)
		return;
	g_ptr_array_free(w->tasks, TRUE);
	g_array_free(w->events, TRUE);
	g_string_chunk_free(w->strings);
	g_free(w->name);
	g_free(w->zone);
	g_free(w->rack);
	g_free(w);
}

struct fake_worker_script *
fake_worker_script(struct fake_worker *w)
{
	return &w->script;
}

void
fake_worker_hook(struct fake_worker *w,
    void (*hook)(void *ctx, const struct fake_worker_event *ev), void *ctx)
{
	w->hook = hook;
	w->hook_ctx = ctx;
}

const struct fake_worker_event *
fake_worker_events(const struct fake_worker *w, size_t *n)
{
	*n = w->events->len;
	return (const struct fake_worker_event *)(void *)w->events->data;
}

void
fake_worker_held(const struct fake_worker *w, struct ogl_res *held)
{
	memset(held, 0, sizeof(*held));
	for (guint i = 0; i < w->tasks->len; i++) {
		const struct task *t = g_ptr_array_index(w->tasks, i);

		if (task_live(t))
			ogl_res_add(held, &t->res);
	}
}

size_t
fake_worker_running(const struct fake_worker *w)
{
	size_t n = 0;

	for (guint i = 0; i < w->tasks->len; i++)
		n += task_live(g_ptr_array_index(w->tasks, i));
	return n;
}

uint64_t
fake_worker_no_room(const struct fake_worker *w)
{
	return w->no_room;
}

/* The task that ends by itself first; NULL if none does. */
static struct task *
first_due(const struct fake_worker *w)
{
	struct task *first = NULL;

	for (guint i = 0; i < w->tasks->len; i++) {
		struct task *t = g_ptr_array_index(w->tasks, i);

		if (task_due(t) == OGL_NEVER)
			continue;
		if (first == NULL || task_due(t) < task_due(first))
			first = t;
	}
	return first;
}

static void
finish_task(struct fake_worker *w, struct task *t, ogl_time at)
{
	if (t->will_fail)
		set_state(t, OGL__TASK_STATE__failed, "task failed", at);
	else
		set_state(t, OGL__TASK_STATE__succeeded, "", at);
	add_event(w, FAKE_WORKER_END, t, at);
}

static void
lapse_all(struct fake_worker *w, ogl_time at)
{
	for (guint i = 0; i < w->tasks->len; i++) {
		struct task *t = g_ptr_array_index(w->tasks, i);

		if (!task_live(t))
			continue;
		set_state(t, OGL__TASK_STATE__lapsed, "lease ran out", at);
		add_event(w, FAKE_WORKER_LAPSE, t, at);
	}
}

void
fake_worker_tick(struct fake_worker *w, ogl_time now)
{
	ogl_time lease = lease_end(w);
	struct task *t;

	while ((t = first_due(w)) != NULL && task_due(t) <= MIN(now, lease))
		finish_task(w, t, task_due(t));
	if (lease <= now)
		lapse_all(w, lease);
}

ogl_time
fake_worker_next_due(const struct fake_worker *w)
{
	struct task *t = first_due(w);
	ogl_time next = t != NULL ? task_due(t) : OGL_NEVER;

	if (fake_worker_running(w) > 0)
		next = MIN(next, lease_end(w));
	return next;
}

void
fake_worker_restart(struct fake_worker *w, ogl_time now)
{
	fake_worker_tick(w, now);
	for (guint i = 0; i < w->tasks->len; i++) {
		struct task *t = g_ptr_array_index(w->tasks, i);

		if (task_live(t))
			add_event(w, FAKE_WORKER_CRASH, t, now);
	}
	g_ptr_array_set_size(w->tasks, 0);
	w->boot++;
	w->epoch = 0;
	w->seq = 0;
	w->lease_until_ms = 0;
	w->script.unreachable = false;
}

/* ---- one sync ---------------------------------------------------------- */

static struct task *
find_task(const struct fake_worker *w, const char *name, uint32_t attempt)
{
	for (guint i = 0; i < w->tasks->len; i++) {
		struct task *t = g_ptr_array_index(w->tasks, i);

		if (t->attempt == attempt && strcmp(t->name, name) == 0)
			return t;
	}
	return NULL;
}

static void
apply_ack(struct fake_worker *w, const Ogl__TaskAck *a)
{
	struct task *t = find_task(w, a->task, a->attempt);

	if (t != NULL && !task_live(t))
		g_ptr_array_remove(w->tasks, t);
}

static void
apply_stop(struct fake_worker *w, const Ogl__TaskStop *s, ogl_time now)
{
	struct task *t = find_task(w, s->task, s->attempt);

	if (t == NULL || !task_live(t))
		return;
	switch (s->mode) {
	case OGL__STOP_MODE__throttle:
		if (t->state == OGL__TASK_STATE__running)
			set_state(t, OGL__TASK_STATE__throttled, "", now);
		return;
	case OGL__STOP_MODE__resume:
		if (t->state == OGL__TASK_STATE__throttled)
			set_state(t, OGL__TASK_STATE__running, "", now);
		return;
	case OGL__STOP_MODE__checkpoint:
		set_state(t, OGL__TASK_STATE__checkpointed, "", now);
		break;
	default:
		set_state(t, OGL__TASK_STATE__stopped, "", now);
		break;
	}
	add_event(w, FAKE_WORKER_END, t, now);
}

static ogl_time
task_run_time(const struct fake_worker *w, const Ogl__TaskStart *s)
{
	uint64_t run_ms = FAKE_WORKER_DEFAULT_RUN_MS;

	if (w->script.fail_all)
		return FAKE_WORKER_FAIL_RUN_MS * OGL_MS;
	if (s->run_ms != 0)
		run_ms = s->run_ms;
	if (fake_text_number(ogl_str(s->payload), "run_ms=", &run_ms))
		return (ogl_time)run_ms * OGL_MS;
	if (s->run_ms == 0 && s->kind == OGL__KIND__service)
		return OGL_NEVER;
	return (ogl_time)MIN(run_ms, G_MAXINT32) * OGL_MS;
}

static struct ogl_res
res_from_message(const Ogl__Res *r)
{
	struct ogl_res z = {0, 0, 0};

	if (r == NULL)
		return z;
	z.cpu_milli = r->cpu_milli;
	z.mem_mb = r->mem_mb;
	z.accel = r->accel;
	return z;
}

/* Adds in 64 bits, so that a very large requirement does not overflow to a
 * small one. */
static bool
has_room(const struct fake_worker *w, const struct ogl_res *need)
{
	const struct ogl_res *cap = &w->script.capacity;
	struct ogl_res held;

	fake_worker_held(w, &held);
	return (uint64_t)held.cpu_milli + need->cpu_milli <= cap->cpu_milli &&
	       (uint64_t)held.mem_mb + need->mem_mb <= cap->mem_mb &&
	       (uint64_t)held.accel + need->accel <= cap->accel;
}

/* Why a start is refused; NULL if it is accepted. */
static const char *
refusal_reason(const struct fake_worker *w, const Ogl__TaskStart *s,
    const struct ogl_res *need, ogl_time now)
{
	uint64_t clock = clock_ms(w, now);

	if (clock > s->latest_start_ms)
		return "past its latest start";
	if (clock >= w->lease_until_ms)
		return "no lease";
	for (guint i = 0; i < w->tasks->len; i++) {
		const struct task *t = g_ptr_array_index(w->tasks, i);

		if (strcmp(t->name, s->task) != 0)
			continue;
		if (t->attempt > s->attempt)
			return "a later attempt is known";
		if (task_live(t))
			return "an earlier attempt is running";
	}
	return has_room(w, need) ? NULL : NO_ROOM;
}

static void
apply_start(struct fake_worker *w, const Ogl__TaskStart *s, ogl_time now)
{
	struct ogl_res need = res_from_message(s->res);
	const char *why;
	struct task *t;

	if (find_task(w, s->task, s->attempt) != NULL)
		return;
	why = refusal_reason(w, s, &need, now);
	w->no_room += why == NO_ROOM;
	t = g_new0(struct task, 1);
	t->name = g_strdup(s->task);
	t->team = g_strdup(s->team);
	t->attempt = s->attempt;
	t->kind = s->kind;
	t->res = need;
	t->run_time = task_run_time(w, s);
	t->will_fail =
	    w->script.fail_all || fake_text_has(ogl_str(s->payload), "fail");
	t->state_since = now;
	t->state =
	    why != NULL ? OGL__TASK_STATE__refused : OGL__TASK_STATE__running;
	t->reason = g_strdup(why != NULL ? why : "");
	t->unconfirmed = true;
	g_ptr_array_add(w->tasks, t);
	if (why == NULL)
		add_event(w, FAKE_WORKER_START, t, now);
}

/* Marks the states that the owner has read according to its echo. */
static void
confirm_states(struct fake_worker *w, uint64_t echo_ms)
{
	for (guint i = 0; i < w->tasks->len; i++) {
		struct task *t = g_ptr_array_index(w->tasks, i);

		if (t->first_report_ms != 0 && t->first_report_ms <= echo_ms)
			t->unconfirmed = false;
	}
}

/* The owner of a new epoch may not know the worker's tasks. */
static void
unconfirm_all(struct fake_worker *w)
{
	for (guint i = 0; i < w->tasks->len; i++) {
		struct task *t = g_ptr_array_index(w->tasks, i);

		t->unconfirmed = true;
		t->first_report_ms = 0;
	}
}

static Ogl__Res *
res_to_message(struct ogl_res r)
{
	Ogl__Res *m = g_new(Ogl__Res, 1);

	ogl__res__init(m);
	m->cpu_milli = r.cpu_milli;
	m->mem_mb = r.mem_mb;
	m->accel = r.accel;
	return m;
}

/* Tasks use 50 to 100 percent of their declared processors and memory,
 * depending on a hash of their name. */
static struct ogl_res
usage(const struct task *t)
{
	struct ogl_res u = {0, 0, 0};
	uint32_t percent = 50 + g_str_hash(t->name) % 51;

	if (!t->usage_known)
		return u;
	u.cpu_milli = (uint32_t)((uint64_t)t->res.cpu_milli * percent / 100);
	u.mem_mb = (uint32_t)((uint64_t)t->res.mem_mb * percent / 100);
	u.accel = t->res.accel;
	return u;
}

static void
update_usage_known(struct task *t, ogl_time now)
{
	if (t->usage_known || !task_live(t) ||
	    task_progress(t, now) < FAKE_WORKER_USAGE_LAG_MS * OGL_MS)
		return;
	t->usage_known = true;
	t->unconfirmed = true;
	t->first_report_ms = 0;
}

static Ogl__TaskReport *
task_report_new(const struct task *t, ogl_time now)
{
	Ogl__TaskReport *m = g_new(Ogl__TaskReport, 1);

	ogl__task_report__init(m);
	m->task = g_strdup(t->name);
	m->attempt = t->attempt;
	m->state = t->state;
	m->used = res_to_message(usage(t));
	m->ran_ms = (uint64_t)(task_progress(t, now) / OGL_MS);
	m->reason = g_strdup(t->reason);
	m->team = g_strdup(t->team);
	m->kind = t->kind;
	m->res = res_to_message(t->res);
	return m;
}

static void
report_tasks(
    struct fake_worker *w, Ogl__WorkerReport *r, bool full, ogl_time now)
{
	bool later = r->clock_ms > w->last_report_ms;

	r->full = full;
	r->tasks = g_new(Ogl__TaskReport *, w->tasks->len + 1);
	for (guint i = 0; i < w->tasks->len; i++) {
		struct task *t = g_ptr_array_index(w->tasks, i);

		update_usage_known(t, now);
		if (!full && !t->unconfirmed)
			continue;
		r->tasks[r->n_tasks++] = task_report_new(t, now);
		if (t->first_report_ms == 0 && later)
			t->first_report_ms = r->clock_ms;
	}
	w->last_report_ms = MAX(w->last_report_ms, r->clock_ms);
}

static Ogl__WorkerReport *
report_new(const struct fake_worker *w, uint64_t seq, ogl_time now)
{
	Ogl__WorkerReport *r = g_new(Ogl__WorkerReport, 1);

	ogl__worker_report__init(r);
	r->worker = g_strdup(w->name);
	r->boot = w->boot;
	r->clock_ms = clock_ms(w, now);
	r->epoch = w->epoch;
	r->seq = seq;
	r->capacity = res_to_message(w->script.capacity);
	r->rack = g_strdup(w->rack);
	r->zone = g_strdup(w->zone);
	r->leaving = w->script.leaving;
	return r;
}

bool
fake_worker_sync(struct fake_worker *w, const Ogl__WorkerSync *s, ogl_time now,
    Ogl__WorkerReport **report)
{
	bool same_boot = s->boot == w->boot;
	bool full = s->full || !same_boot;
	uint64_t from_ms;

	*report = NULL;
	if (w->script.unreachable)
		return false;
	fake_worker_tick(w, now);
	if (s->epoch < w->epoch || (s->epoch == w->epoch && s->seq <= w->seq)) {
		*report = report_new(w, s->seq, now);
		(*report)->refused = true;
		return true;
	}
	if (s->epoch > w->epoch) {
		unconfirm_all(w);
		full = true;
	}
	w->epoch = s->epoch;
	w->seq = s->seq;
	/* A valid echo cannot be later than the current clock. */
	from_ms = MIN(s->lease_from_ms, clock_ms(w, now));
	if (same_boot) {
		w->lease_until_ms =
		    MAX(w->lease_until_ms, from_ms + s->lease_ms);
		confirm_states(w, s->lease_from_ms);
	}
	for (size_t i = 0; i < s->n_ack; i++)
		apply_ack(w, s->ack[i]);
	for (size_t i = 0; i < s->n_stop; i++)
		apply_stop(w, s->stop[i], now);
	for (size_t i = 0; same_boot && i < s->n_start; i++)
		apply_start(w, s->start[i], now);
	*report = report_new(w, s->seq, now);
	report_tasks(w, *report, full, now);
	return true;
}
