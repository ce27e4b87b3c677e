/*
 * A simulated cluster in one thread.
 *
 * A binary heap holds all pending items, ordered by (time, sequence number):
 * wakes of nodes, events in transit to a node, actions in transit to the log,
 * a worker, an executor or the host list, and callbacks of the test.  Removing
 * the first item advances the virtual time to it.  An action takes effect when
 * it arrives, and its answer becomes an event after another delay, so either
 * of the two messages may be lost.  An answer that would arrive after the
 * action's timeout becomes OGL_IO_LOST at the timeout, as in the daemon.
 *
 * Items that are due for a paused node are pushed again with the end of the
 * pause as their time, in the same order.
 */

#include <jansson.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "fake_cluster.h"
#include "fake_feed.h"
#include "fake_cluster_tell.h"
#include "node_impl.h"

enum {
	START_TIME_S = 1000000,  /* start of the virtual time */
	MAX_READ_RECORDS = 256,  /* log records in one answer */
	NET_MIN_DELAY_US = 500,  /* minimum delay of a message */
	NET_JITTER_US = 1500,    /* random addition */
	LOG_MIN_DELAY_US = 4000, /* minimum delay of the log's answers */
	LOG_JITTER_US = 8000,    /* random addition */
	MIN_WAKE_DELAY_US = 5000 /* delay of a wake that is due now */
};

enum item_type {
	ITEM_WAKE,
	ITEM_EVENT,
	ITEM_ACTION,
	ITEM_CALLBACK
};

/* An event and the data it points to. */
struct delivery {
	struct ogl_event ev;
	GBytes *data;       /* peer message or answer of an executor */
	GPtrArray *records; /* GBytes; the result of a log read */
	struct ogl_log_entry *entries;
	Ogl__HostList *hosts;
	Ogl__WorkerReport *report;
	uint32_t call; /* of OGL_EV_CALL */
	char *key;
	uint64_t budget_ms;
};

/* An entry of the heap. */
struct item {
	ogl_time at;
	uint64_t seq;
	enum item_type type;
	uint32_t node;
	uint64_t boot; /* of the process; 0: any process at that address */
	ogl_time sent;
	struct delivery *d;
	struct ogl_action *act;
	void (*fn)(struct fake_cluster *c, void *ctx);
	void *ctx;
};

/* A node's address and the process that runs there. */
struct node_slot {
	struct ogl_node *node; /* NULL: no process runs */
	char *name;
	char *addr;
	char *zone;
	uint64_t boot;
	ogl_time wake_at;      /* when the next ITEM_WAKE is due */
	ogl_time paused_until; /* end of the pause */
	bool pause_armed;      /* pauses at the next action of pause_type */
	enum ogl_action_type pause_type;
	ogl_time pause_length;
	bool cut_node[FAKE_CLUSTER_MAX_EACH];
	bool cut_worker[FAKE_CLUSTER_MAX_EACH];
	bool cut_exec[FAKE_CLUSTER_MAX_EACH];
	bool cut_log;
	bool cut_hosts;
	uint64_t settings_version; /* last one in the history */
};

/* A worker or executor on the host list. */
struct host_listing {
	bool leaving;
	ogl_time changed_at; /* last change of `leaving` */
	bool last_shown;     /* `leaving` as last shown by the list */
};

/* What happened to one task, over all workers. */
struct task_stats {
	uint32_t starts;
	uint32_t running;
	uint32_t reruns; /* starts after the first, except from a checkpoint */
	bool succeeded;
	bool checkpointed; /* the next start resumes the task */
	char *worker;
};

/* Running tasks of one team, including the teams below it. */
struct team_stats {
	uint32_t running;
	uint32_t peak;  /* highest `running` since fake_cluster_team_peak */
	uint32_t limit; /* set by fake_cluster_expect_limit */
};

struct fake_cluster {
	struct fake_cluster_config cfg;
	struct fake_net net;
	struct fake_disabled_guards disabled_guards;
	uint64_t unchecked_seq; /* of syncs while epoch_check is disabled */
	struct ogl_random rnd;
	ogl_time now;
	uint64_t seq;
	GPtrArray *heap; /* struct item */
	struct node_slot slots[FAKE_CLUSTER_MAX_EACH];
	char *seeds[FAKE_CLUSTER_MAX_EACH];
	char operator_key[80];
	char operator_hash[65];
	struct fake_log *log;
	struct fake_worker *workers[FAKE_CLUSTER_MAX_EACH];
	uint64_t worker_restarts[FAKE_CLUSTER_MAX_EACH];
	struct host_listing worker_listed[FAKE_CLUSTER_MAX_EACH];
	struct fake_exec *execs[FAKE_CLUSTER_MAX_EACH];
	struct host_listing exec_listed[FAKE_CLUSTER_MAX_EACH];
	GPtrArray *calls;   /* struct fake_call */
	GHashTable *tasks;  /* name -> struct task_stats */
	GHashTable *teams;  /* path -> struct team_stats */
	GHashTable *bodies; /* body -> number of runs */
	GString *trace;
	GString *faults;
	struct ogl_history *history;
};

/* ---- helpers ---------------------------------------------------------- */

/* A random number below n; 0 if n is 0. */
static uint64_t
random_below(struct fake_cluster *c, uint64_t n)
{
	return n == 0 ? 0 : ogl_random_next(&c->rnd) % n;
}

static bool
random_chance(struct fake_cluster *c, uint32_t per_mille)
{
	return per_mille > 0 && random_below(c, 1000) < per_mille;
}

static ogl_time
net_delay(struct fake_cluster *c)
{
	return NET_MIN_DELAY_US + (ogl_time)random_below(c, NET_JITTER_US);
}

static void G_GNUC_PRINTF(2, 3)
    note(struct fake_cluster *c, const char *fmt, ...)
{
	ogl_time t = c->now - START_TIME_S * OGL_SEC;
	va_list ap;

	g_string_append_printf(c->trace,
	    "%" G_GINT64_FORMAT ".%06" G_GINT64_FORMAT " ", t / OGL_SEC,
	    t % OGL_SEC);
	va_start(ap, fmt);
	g_string_append_vprintf(c->trace, fmt, ap);
	va_end(ap);
	g_string_append_c(c->trace, '\n');
}

void
fake_cluster_report_violation(struct fake_cluster *c, const char *fmt, ...)
{
	char *line;
	va_list ap;

	va_start(ap, fmt);
	line = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	note(c, "FAULT %s", line);
	g_string_append_printf(c->faults, "%s\n", line);
	g_free(line);
}

static void
delivery_free(struct delivery *d)
{
	if (d == NULL)
		return;
	g_clear_pointer(&d->data, g_bytes_unref);
	g_clear_pointer(&d->records, g_ptr_array_unref);
	g_free(d->entries);
	if (d->hosts != NULL)
		ogl__host_list__free_unpacked(d->hosts, NULL);
	if (d->report != NULL)
		ogl__worker_report__free_unpacked(d->report, NULL);
	g_free(d->key);
	g_free(d);
}

static void
item_free(void *v)
{
	struct item *i = v;

	delivery_free(i->d);
	if (i->act != NULL)
		ogl_action_free(i->act);
	g_free(i);
}

/* ---- the heap --------------------------------------------------------- */

static bool
item_before(const struct item *a, const struct item *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

static void
heap_swap(GPtrArray *h, guint a, guint b)
{
	void *v = h->pdata[a];

	h->pdata[a] = h->pdata[b];
	h->pdata[b] = v;
}

static void
heap_push(struct fake_cluster *c, struct item *it)
{
	GPtrArray *h = c->heap;
	guint i = h->len;

	it->seq = ++c->seq;
	g_ptr_array_add(h, it);
	while (i > 0 && item_before(h->pdata[i], h->pdata[(i - 1) / 2])) {
		heap_swap(h, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static struct item *
heap_pop(struct fake_cluster *c)
{
	GPtrArray *h = c->heap;
	struct item *least = h->pdata[0];
	guint i = 0;

	h->pdata[0] = h->pdata[h->len - 1];
	h->len--;
	for (;;) {
		guint k = 2 * i + 1;

		if (k >= h->len)
			break;
		if (k + 1 < h->len && item_before(h->pdata[k + 1], h->pdata[k]))
			k++;
		if (!item_before(h->pdata[k], h->pdata[i]))
			break;
		heap_swap(h, i, k);
		i = k;
	}
	return least;
}

static struct item *
item_new(enum item_type type, uint32_t node, ogl_time at)
{
	struct item *i = g_new0(struct item, 1);

	i->type = type;
	i->node = node;
	i->at = at;
	return i;
}

static struct delivery *
delivery_new(enum ogl_event_type type, uint64_t token, enum ogl_io_result io)
{
	struct delivery *d = g_new0(struct delivery, 1);

	d->ev.type = type;
	d->ev.token = token;
	d->ev.io = io;
	return d;
}

static void
push_event(struct fake_cluster *c, uint32_t node, uint64_t boot, ogl_time at,
    struct delivery *d)
{
	struct item *i = item_new(ITEM_EVENT, node, at);

	i->boot = boot;
	i->d = d;
	heap_push(c, i);
}

/* ---- events of workers and executors ---------------------------------- */

static struct task_stats *
task_stats_get(const struct fake_cluster *c, const char *name)
{
	struct task_stats *s = g_hash_table_lookup(c->tasks, name);

	if (s == NULL) {
		s = g_new0(struct task_stats, 1);
		g_hash_table_insert(c->tasks, g_strdup(name), s);
	}
	return s;
}

static void
task_stats_free(void *v)
{
	struct task_stats *s = v;

	g_free(s->worker);
	g_free(s);
}

static struct team_stats *
team_stats_get(const struct fake_cluster *c, const char *team)
{
	struct team_stats *t = g_hash_table_lookup(c->teams, team);

	if (t == NULL) {
		t = g_new0(struct team_stats, 1);
		t->limit = UINT32_MAX;
		g_hash_table_insert(c->teams, g_strdup(team), t);
	}
	return t;
}

/* Adds `by` to the running tasks of the team and of all teams above it. */
static void
count_team(struct fake_cluster *c, const char *team, int by)
{
	char *path = g_strdup(team);
	char *slash;

	for (;;) {
		struct team_stats *t = team_stats_get(c, path);

		t->running = (uint32_t)((int)t->running + by);
		t->peak = MAX(t->peak, t->running);
		if (by > 0 && t->running > t->limit)
			fake_cluster_report_violation(c,
			    "team %s runs %u, its limit is %u", path,
			    t->running, t->limit);
		slash = strrchr(path, '/');
		if (slash == NULL)
			break;
		*slash = '\0';
	}
	g_free(path);
}

static const char *const worker_event_names[] = {
    [FAKE_WORKER_START] = "start",
    [FAKE_WORKER_END] = "end",
    [FAKE_WORKER_LAPSE] = "lapse",
    [FAKE_WORKER_CRASH] = "crash",
};

static void
on_worker_event(void *ctx, const struct fake_worker_event *ev)
{
	struct fake_cluster *c = ctx;
	struct task_stats *s = task_stats_get(c, ev->task);

	fake_record_worker(c->history, ev);
	note(c, "%s %s %s attempt %u %s", ev->worker,
	    worker_event_names[ev->type], ev->task, ev->attempt,
	    ogl__task_state__descriptor.values[ev->state].name);
	if (ev->type != FAKE_WORKER_START) {
		s->running--;
		s->checkpointed = ev->state == OGL__TASK_STATE__checkpointed;
		s->succeeded |= ev->state == OGL__TASK_STATE__succeeded;
		count_team(c, ev->team, -1);
		return;
	}
	if (s->running > 0)
		fake_cluster_report_violation(c, "task %s runs on %s and on %s",
		    ev->task, s->worker, ev->worker);
	s->reruns += s->starts > 0 && !s->checkpointed;
	s->running++;
	s->starts++;
	g_free(s->worker);
	s->worker = g_strdup(ev->worker);
	count_team(c, ev->team, 1);
}

static void
on_exec_run(void *ctx, const struct fake_exec_event *ev)
{
	struct fake_cluster *c = ctx;
	char *body = ogl_str_dup(ev->body);
	gsize runs = GPOINTER_TO_SIZE(g_hash_table_lookup(c->bodies, body));

	note(c, "%s runs \"%s\" for %s", ev->exec, body, ev->team);
	g_hash_table_replace(c->bodies, body, GSIZE_TO_POINTER(runs + 1));
}

/* ---- creation and destruction ----------------------------------------- */

/* Keys must be distinct but need not be secret.  The entropy callback has no
 * context argument for this state; it is per thread because each run has its
 * own thread. */
static _Thread_local uint64_t entropy_state;

static void
entropy(void *out, size_t n)
{
	uint8_t *p = out;

	for (size_t i = 0; i < n; i++)
		p[i] = (uint8_t)ogl_random_mix(++entropy_state);
}

static void
call_free(void *v)
{
	struct fake_call *k = v;

	g_free(k->method);
	g_free(k->path);
	g_free(k->id);
	g_free(k->body);
	g_free(k->team);
	g_free(k->answer);
	g_free(k);
}

static void
make_workers(struct fake_cluster *c)
{
	for (uint32_t i = 0; i < c->cfg.workers; i++) {
		char *name = g_strdup_printf("w%u", i);
		char *zone = g_strdup_printf("z%u", i % c->cfg.zones);
		char *rack = g_strdup_printf("r%u", i / 2);
		struct fake_worker_config w = {.name = name,
		    .zone = zone,
		    .rack = rack,
		    .capacity = c->cfg.capacity,
		    .boot = 1,
		    .clock_offset_ms = (int64_t)random_below(c, 2000) - 1000};

		c->workers[i] = fake_worker_init(&w);
		fake_worker_hook(c->workers[i], on_worker_event, c);
		fake_record_capacity(
		    c->history, name, 1, &c->cfg.capacity, c->now);
		g_free(name);
		g_free(zone);
		g_free(rack);
	}
}

static void
make_execs(struct fake_cluster *c)
{
	for (uint32_t i = 0; i < c->cfg.execs; i++) {
		char *name = g_strdup_printf("e%u", i);

		c->execs[i] = fake_exec_init(name, FAKE_EXEC_SLOTS);
		fake_exec_hook(c->execs[i], on_exec_run, c);
		g_free(name);
	}
}

static void
make_operator(struct fake_cluster *c)
{
	uint8_t random[32];
	Ogl__Edit *e = NULL;
	char id[32];

	entropy(random, sizeof random);
	ogl_key_make(random, "", c->operator_key, &e, id);
	ogl__edit__free_unpacked(e, NULL);
	ogl_key_hash(ogl_str(c->operator_key), c->operator_hash);
}

struct fake_cluster *
fake_cluster_init(const struct fake_cluster_config *cfg)
{
	struct fake_cluster *c = g_new0(struct fake_cluster, 1);

	c->cfg = *cfg;
	c->now = START_TIME_S * OGL_SEC;
	ogl_random_init(&c->rnd, cfg->seed);
	entropy_state = cfg->seed << 20;
	c->heap = g_ptr_array_new();
	c->calls = g_ptr_array_new_with_free_func(call_free);
	c->tasks = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, task_stats_free);
	c->teams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->bodies =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->trace = g_string_new(NULL);
	c->faults = g_string_new(NULL);
	c->history = ogl_history_init(NULL);
	c->log = fake_log_init();
	c->net.hosts_lag = 2 * OGL_SEC;
	make_operator(c);
	make_workers(c);
	make_execs(c);
	for (uint32_t i = 0; i < cfg->nodes; i++)
		c->seeds[i] = g_strdup_printf("node:%u", i);
	for (uint32_t i = 0; i < cfg->nodes; i++) {
		char *name = g_strdup_printf("n%u", i);

		c->slots[i].addr = g_strdup(c->seeds[i]);
		c->slots[i].zone = g_strdup_printf("z%u", i % cfg->zones);
		fake_cluster_start(c, i, name);
		g_free(name);
	}
	return c;
}

void
fake_cluster_end(struct fake_cluster *c)
{
	if (c == NULL)
		return;
	for (uint32_t i = 0; i < FAKE_CLUSTER_MAX_EACH; i++) {
		ogl_node_end(c->slots[i].node);
		g_free(c->slots[i].name);
		g_free(c->slots[i].addr);
		g_free(c->slots[i].zone);
		g_free(c->seeds[i]);
		fake_worker_end(c->workers[i]);
		fake_exec_end(c->execs[i]);
	}
	g_ptr_array_set_free_func(c->heap, item_free);
	g_ptr_array_free(c->heap, TRUE);
	g_ptr_array_free(c->calls, TRUE);
	g_hash_table_destroy(c->tasks);
	g_hash_table_destroy(c->teams);
	g_hash_table_destroy(c->bodies);
	g_string_free(c->trace, TRUE);
	g_string_free(c->faults, TRUE);
	fake_log_end(c->log);
	ogl_history_end(c->history);
	g_free(c);
}

/* ---- answers of log, workers, executors and host list ----------------- */

/* The type of the event that answers an action. */
static enum ogl_event_type
answer_type(enum ogl_action_type t)
{
	switch (t) {
	case OGL_ACT_LOG_APPEND:
		return OGL_EV_LOG_APPENDED;
	case OGL_ACT_LOG_READ:
		return OGL_EV_LOG_READ;
	case OGL_ACT_HOSTS:
		return OGL_EV_HOSTS;
	case OGL_ACT_WORKER:
		return OGL_EV_WORKER;
	case OGL_ACT_EXEC:
	default:
		return OGL_EV_EXEC;
	}
}

/* Queues the answer to an action: at its time, or OGL_IO_LOST at the timeout if
 * that is earlier. */
static void
deliver_answer(struct fake_cluster *c, const struct item *i, struct delivery *d,
    ogl_time at)
{
	ogl_time timeout = i->sent + i->act->timeout_ms * OGL_MS;

	if (i->act->timeout_ms > 0 && at > timeout) {
		delivery_free(d);
		d = delivery_new(
		    answer_type(i->act->type), i->act->token, OGL_IO_LOST);
		at = MAX(timeout, c->now);
	}
	push_event(c, i->node, i->boot, at, d);
}

static void
deliver_lost(struct fake_cluster *c, const struct item *i)
{
	deliver_answer(c, i,
	    delivery_new(answer_type(i->act->type), i->act->token, OGL_IO_LOST),
	    OGL_NEVER);
}

static uint32_t
addr_index(const char *addr)
{
	const char *colon = strchr(addr, ':');

	return colon == NULL ? 0 : (uint32_t)strtoul(colon + 1, NULL, 10);
}

/* Whether the connection from the node to the action's destination is cut. */
static bool
path_cut(
    const struct fake_cluster *c, uint32_t node, const struct ogl_action *a)
{
	const struct node_slot *s = &c->slots[node];

	switch (a->type) {
	case OGL_ACT_LOG_APPEND:
	case OGL_ACT_LOG_READ:
		return s->cut_log;
	case OGL_ACT_HOSTS:
		return s->cut_hosts;
	case OGL_ACT_WORKER:
		return s->cut_worker[addr_index(a->addr)];
	case OGL_ACT_EXEC:
		return s->cut_exec[addr_index(a->addr)];
	case OGL_ACT_PEER:
		return s->cut_node[addr_index(a->addr)];
	default:
		return false;
	}
}

static ogl_time
log_delay(struct fake_cluster *c)
{
	return LOG_MIN_DELAY_US + (ogl_time)random_below(c, LOG_JITTER_US) +
	       fake_log_script(c->log)->answer_delay;
}

static void
perform_append(struct fake_cluster *c, const struct item *i)
{
	struct ogl_str data;
	uint64_t offset = 0;
	enum fake_log_result r;
	struct delivery *d;

	data.p = g_bytes_get_data(i->act->data, &data.n);
	r = fake_log_append(c->log, i->act->name, data, c->now, &offset);
	if (r == FAKE_LOG_OK && random_chance(c, c->net.append_lost_per_mille))
		r = FAKE_LOG_LOST;
	note(c, "log %s append by %s: %s %" G_GUINT64_FORMAT, i->act->name,
	    c->slots[i->node].name,
	    r == FAKE_LOG_OK     ? "at"
	    : r == FAKE_LOG_LOST ? "answer lost, at"
				 : "refused",
	    offset);
	if (r == FAKE_LOG_LOST) {
		deliver_lost(c, i);
		return;
	}
	d = delivery_new(OGL_EV_LOG_APPENDED, i->act->token,
	    r == FAKE_LOG_OK ? OGL_IO_OK : OGL_IO_REFUSED);
	d->ev.u.appended.offset = offset;
	deliver_answer(c, i, d, c->now + log_delay(c));
}

static void
perform_read(struct fake_cluster *c, const struct item *i)
{
	struct ogl_log_entry got[MAX_READ_RECORDS];
	struct delivery *d =
	    delivery_new(OGL_EV_LOG_READ, i->act->token, OGL_IO_OK);
	size_t n = 0;

	if (fake_log_read(c->log, i->act->name, i->act->from, c->now,
		&d->ev.u.read.first, &d->ev.u.read.next, got, MAX_READ_RECORDS,
		&n) != FAKE_LOG_OK) {
		d->ev.io = OGL_IO_REFUSED;
		deliver_answer(c, i, d, c->now + log_delay(c));
		return;
	}
	d->records =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	d->entries = g_new0(struct ogl_log_entry, n + 1);
	for (size_t k = 0; k < n; k++) {
		GBytes *b = g_bytes_new(got[k].data.p, got[k].data.n);

		g_ptr_array_add(d->records, b);
		d->entries[k].offset = got[k].offset;
		d->entries[k].data.p =
		    g_bytes_get_data(b, &d->entries[k].data.n);
	}
	d->ev.u.read.entries = d->entries;
	d->ev.u.read.n = n;
	deliver_answer(c, i, d, c->now + log_delay(c));
}

/* Whether the host list, which lags by hosts_lag, shows the host as leaving. */
static bool
shown_leaving(const struct fake_cluster *c, const struct host_listing *l)
{
	bool recent = c->now - l->changed_at < c->net.hosts_lag;

	return recent ? !l->leaving && l->changed_at > 0 : l->leaving;
}

static Ogl__Host *
list_host(struct fake_cluster *c, Ogl__HostRole role, uint32_t index,
    struct host_listing *l)
{
	Ogl__Host *h = malloc(sizeof *h);
	const char *word = role == OGL__HOST_ROLE__worker ? "w" : "e";
	char text[64];

	ogl__host__init(h);
	g_snprintf(text, sizeof text, "%s%u", word, index);
	h->name = strdup(text);
	g_snprintf(text, sizeof text, "%s:%u", word, index);
	h->addr = strdup(text);
	g_snprintf(text, sizeof text, "z%u", index % c->cfg.zones);
	h->zone = strdup(text);
	g_snprintf(text, sizeof text, "r%u", index / 2);
	h->rack = strdup(text);
	h->role = role;
	h->leaving = shown_leaving(c, l);
	if (l->last_shown != (h->leaving != 0))
		fake_record_listed(c->history, h->name, h->leaving, c->now);
	l->last_shown = h->leaving != 0;
	return h;
}

static void
perform_hosts(struct fake_cluster *c, const struct item *i)
{
	Ogl__HostList *l = malloc(sizeof *l);
	struct delivery *d =
	    delivery_new(OGL_EV_HOSTS, i->act->token, OGL_IO_OK);

	ogl__host_list__init(l);
	l->hosts = calloc(c->cfg.workers + c->cfg.execs + 1, sizeof(void *));
	for (uint32_t k = 0; k < c->cfg.workers; k++)
		l->hosts[l->n_hosts++] = list_host(
		    c, OGL__HOST_ROLE__worker, k, &c->worker_listed[k]);
	for (uint32_t k = 0; k < c->cfg.execs; k++)
		l->hosts[l->n_hosts++] = list_host(
		    c, OGL__HOST_ROLE__executor, k, &c->exec_listed[k]);
	d->hosts = l;
	d->ev.u.hosts = l;
	deliver_answer(c, i, d, c->now + net_delay(c));
}

static void
tick_workers(struct fake_cluster *c)
{
	for (uint32_t i = 0; i < c->cfg.workers; i++)
		fake_worker_tick(c->workers[i], c->now);
}

/* Changes the fields of a sync that the disabled guards check, so that these
 * guards accept it. */
static void
disable_guards(struct fake_cluster *c, Ogl__WorkerSync *m)
{
	if (c->disabled_guards.epoch_check) {
		m->epoch = UINT64_MAX;
		m->seq = ++c->unchecked_seq;
	}
	if (c->disabled_guards.lease_expiry)
		m->lease_ms *= 100;
	for (size_t i = 0; c->disabled_guards.start_expiry && i < m->n_start;
	     i++)
		m->start[i]->latest_start_ms = UINT64_MAX;
}

static void
perform_worker(struct fake_cluster *c, const struct item *i)
{
	struct fake_worker *w = c->workers[addr_index(i->act->addr)];
	struct delivery *d =
	    delivery_new(OGL_EV_WORKER, i->act->token, OGL_IO_OK);
	uint64_t no_room = fake_worker_no_room(w);
	uint64_t epoch = i->act->sync->epoch;
	uint64_t seq = i->act->sync->seq;

	/* Tasks that end earlier on other workers must be recorded first. */
	tick_workers(c);
	disable_guards(c, i->act->sync);
	if (random_chance(c, c->net.sync_lost_per_mille) ||
	    !fake_worker_sync(w, i->act->sync, c->now, &d->report)) {
		delivery_free(d);
		deliver_lost(c, i);
		return;
	}
	fake_record_lease(c->history, i->act->name, i->act->sync, c->now);
	if (fake_worker_no_room(w) != no_room)
		fake_cluster_report_violation(c,
		    "worker %s was given more than it holds by %s",
		    i->act->name, c->slots[i->node].name);
	if (random_chance(c, c->net.report_lost_per_mille)) {
		delivery_free(d);
		deliver_lost(c, i);
		return;
	}
	d->report->epoch =
	    c->disabled_guards.epoch_check ? epoch : d->report->epoch;
	d->report->seq = c->disabled_guards.epoch_check ? seq : d->report->seq;
	d->ev.u.worker = d->report;
	deliver_answer(c, i, d, c->now + net_delay(c));
}

static void
perform_exec(struct fake_cluster *c, const struct item *i)
{
	struct fake_exec *e = c->execs[addr_index(i->act->addr)];
	struct fake_exec_answer a;
	struct delivery *d;
	struct ogl_str body;
	char name[16];

	g_snprintf(name, sizeof name, "e%u", addr_index(i->act->addr));
	body.p = g_bytes_get_data(i->act->data, &body.n);
	fake_exec_run(e, body, i->act->name, i->act->work_kind, i->act->token,
	    c->now, &a);
	a.lost = a.lost || (a.accepted &&
			       random_chance(c, c->net.request_lost_per_mille));
	if (a.accepted)
		fake_record_exec(c->history, name, body, i->act->name,
		    i->act->work_kind, c->now, &a);
	/* The daemon's adapter rejects answers that are cut or have the token
	 * of another request. */
	if (a.lost || a.sent_bytes < a.n || a.token != i->act->token) {
		deliver_lost(c, i);
	} else {
		d = delivery_new(OGL_EV_EXEC, i->act->token,
		    a.accepted ? OGL_IO_OK : OGL_IO_REFUSED);
		d->data = g_bytes_new(a.body, a.n);
		d->ev.u.exec.status = a.status;
		d->ev.u.exec.not_run = !a.accepted;
		d->ev.u.exec.body.p =
		    g_bytes_get_data(d->data, &d->ev.u.exec.body.n);
		deliver_answer(c, i, d, a.answer_at + net_delay(c));
	}
	fake_exec_answer_clear(&a);
}

static void
perform_peer(struct fake_cluster *c, const struct item *i)
{
	struct delivery *d = delivery_new(OGL_EV_PEER, 0, OGL_IO_OK);
	uint32_t to = addr_index(i->act->addr);

	d->data = g_bytes_ref(i->act->data);
	d->ev.u.peer.data.p = g_bytes_get_data(d->data, &d->ev.u.peer.data.n);
	push_event(c, to, 0, c->now, d);
}

static void
perform_action(struct fake_cluster *c, const struct item *i)
{
	bool cut = path_cut(c, i->node, i->act);

	if (i->act->type == OGL_ACT_PEER) {
		if (!cut)
			perform_peer(c, i);
		return;
	}
	if (cut) {
		deliver_lost(c, i);
		return;
	}
	switch (i->act->type) {
	case OGL_ACT_LOG_APPEND:
		perform_append(c, i);
		break;
	case OGL_ACT_LOG_READ:
		perform_read(c, i);
		break;
	case OGL_ACT_HOSTS:
		perform_hosts(c, i);
		break;
	case OGL_ACT_WORKER:
		perform_worker(c, i);
		break;
	case OGL_ACT_EXEC:
	default:
		perform_exec(c, i);
		break;
	}
}

/* ---- stepping a node -------------------------------------------------- */

static void
finish_call(struct fake_cluster *c, uint32_t number, bool disconnected,
    const struct ogl_action *a)
{
	struct fake_call *k;
	gsize n;
	const char *p;

	if (number >= c->calls->len) {
		fake_cluster_report_violation(
		    c, "an answer to a call nobody made: %u", number);
		return;
	}
	k = g_ptr_array_index(c->calls, number);
	if (k->done) {
		fake_cluster_report_violation(
		    c, "call %u was answered twice", number);
		return;
	}
	k->done = true;
	k->disconnected = disconnected;
	k->answered_at = c->now;
	if (disconnected) {
		note(c, "call %u cut", number);
		k->verdict = k->arrived ? OGL_MAY_HAVE_RUN : OGL_NOT_RUN;
		k->answer = g_strdup("");
		fake_record_answer(c->history, number, k);
		return;
	}
	p = g_bytes_get_data(a->data, &n);
	k->status = a->status;
	k->verdict = a->verdict;
	k->retry_after_ms = a->retry_after_ms;
	k->answer = n > 0 ? g_strndup(p, n) : g_strdup("");
	note(c, "call %u answered %u %s after %" G_GINT64_FORMAT " ms: %s",
	    number, k->status, ogl_verdict_name(k->verdict),
	    (k->answered_at - k->asked_at) / OGL_MS, k->answer);
	fake_record_answer(c->history, number, k);
}

static void
send_action(struct fake_cluster *c, uint32_t node, uint64_t boot,
    struct ogl_action *a, ogl_time at)
{
	struct item *i = item_new(ITEM_ACTION, node, at + net_delay(c));

	i->boot = boot;
	i->sent = at;
	i->act = a;
	if (a->type == OGL_ACT_PEER) {
		if (random_chance(c, c->net.peer_lost_per_mille)) {
			item_free(i);
			return;
		}
		if (random_chance(c, c->net.peer_late_per_mille))
			i->at += (ogl_time)random_below(
			    c, (uint64_t)c->net.peer_delay_max);
		if (random_chance(c, c->net.peer_doubled_per_mille)) {
			struct item *j =
			    item_new(ITEM_ACTION, node, i->at + net_delay(c));
			struct ogl_actions q;

			ogl_actions_init(&q);
			ogl_actions_new(&q, OGL_ACT_PEER);
			j->act = ogl_actions_pop(&q);
			j->act->addr = g_strdup(a->addr);
			j->act->data = g_bytes_ref(a->data);
			j->boot = boot;
			j->sent = at;
			heap_push(c, j);
		}
	}
	heap_push(c, i);
}

static void
process_ended(struct fake_cluster *c, uint32_t node, bool exited)
{
	struct node_slot *s = &c->slots[node];

	fake_record_node(c->history, s->name,
	    exited ? HISTORY_NODE_EXITED : HISTORY_NODE_DOWN, c->now);
	ogl_node_end(s->node);
	s->node = NULL;
	s->paused_until = 0;
	s->pause_armed = false;
	s->wake_at = OGL_NEVER;
	for (guint i = 0; i < c->calls->len; i++) {
		struct fake_call *k = g_ptr_array_index(c->calls, i);

		if (k->node != node || k->done)
			continue;
		if (exited && k->arrived)
			fake_record_cut(c->history, s->name, i, c->now);
		if (exited && k->arrived)
			fake_cluster_report_violation(
			    c, "shutdown of %s cut call %u", s->name, i);
		finish_call(c, i, true, NULL);
	}
}

/* Records the end of a pause, unless the pause was extended meanwhile. */
static void
record_resumed(struct fake_cluster *c, void *ctx)
{
	const struct node_slot *s = ctx;

	if (s->node != NULL && s->paused_until == c->now)
		fake_record_node(
		    c->history, s->name, HISTORY_NODE_RESUMED, c->now);
}

static void
record_pause(struct fake_cluster *c, uint32_t node)
{
	struct node_slot *s = &c->slots[node];

	fake_record_node(c->history, s->name, HISTORY_NODE_PAUSED, c->now);
	fake_cluster_schedule_at(c, s->paused_until, record_resumed, s);
}

/* Carries out the actions of a step; returns whether the process exited. */
static bool
perform_actions(struct fake_cluster *c, uint32_t node, struct ogl_actions *out)
{
	struct node_slot *s = &c->slots[node];
	ogl_time at = c->now;
	bool exited = false;
	struct ogl_action *a;

	while ((a = ogl_actions_pop(out)) != NULL) {
		if (s->pause_armed && a->type == s->pause_type &&
		    (a->type != OGL_ACT_WORKER || a->sync->n_start > 0)) {
			s->pause_armed = false;
			s->paused_until = c->now + s->pause_length;
			at = s->paused_until;
			note(c, "%s paused before it sends", s->name);
			record_pause(c, node);
		}
		switch (a->type) {
		case OGL_ACT_REPLY:
			finish_call(c, (uint32_t)a->token, false, a);
			ogl_action_free(a);
			break;
		case OGL_ACT_LOG_LINE:
			note(c, "%s %s: %.*s", s->name, a->name,
			    (int)g_bytes_get_size(a->data),
			    (const char *)g_bytes_get_data(a->data, NULL));
			ogl_action_free(a);
			break;
		case OGL_ACT_EXIT:
			exited = true;
			ogl_action_free(a);
			break;
		default:
			send_action(c, node, s->boot, a, at);
			break;
		}
	}
	return exited;
}

static void
schedule_wake(struct fake_cluster *c, uint32_t node)
{
	struct node_slot *s = &c->slots[node];
	ogl_time at = ogl_node_next_wake(s->node);
	struct item *i;

	if (at <= c->now)
		at = c->now + MIN_WAKE_DELAY_US;
	if (at >= s->wake_at && s->wake_at > c->now)
		return;
	s->wake_at = at;
	i = item_new(ITEM_WAKE, node, at);
	i->boot = s->boot;
	heap_push(c, i);
}

static void
step_node(struct fake_cluster *c, uint32_t node, const struct ogl_event *ev)
{
	struct node_slot *s = &c->slots[node];
	struct ogl_actions out;

	ogl_actions_init(&out);
	ogl_node_step(s->node, ev, c->now, &out);
	if (perform_actions(c, node, &out)) {
		note(c, "%s exits", s->name);
		process_ended(c, node, true);
		return;
	}
	if (ogl_settings_version(s->node->settings) != s->settings_version) {
		s->settings_version = ogl_settings_version(s->node->settings);
		note(c, "%s goes by settings %" G_GUINT64_FORMAT, s->name,
		    s->settings_version);
		fake_record_version(
		    c->history, s->name, s->settings_version, c->now);
	}
	schedule_wake(c, node);
}

/* Fills in the event of a call that arrives at its node. */
static void
fill_call(struct fake_cluster *c, struct delivery *d)
{
	struct fake_call *k = g_ptr_array_index(c->calls, d->call);

	k->arrived = true;
	d->ev.u.call.method = ogl_str(k->method);
	d->ev.u.call.path = ogl_str(k->path);
	d->ev.u.call.key = ogl_str(d->key);
	d->ev.u.call.request_id = ogl_str(k->id);
	d->ev.u.call.work_kind = ogl_str("check");
	d->ev.u.call.body = ogl_str(k->body);
	d->ev.u.call.idempotent = k->idempotent;
	d->ev.u.call.budget_ms = d->budget_ms;
}

static void
deliver_to_node(struct fake_cluster *c, struct item *i)
{
	struct node_slot *s = &c->slots[i->node];
	struct ogl_event timer = {.type = OGL_EV_TIMER};

	if (s->node == NULL || (i->boot != 0 && i->boot != s->boot)) {
		if (i->type == ITEM_EVENT && i->d->ev.type == OGL_EV_CALL &&
		    !fake_cluster_get_call(c, i->d->call)->done)
			finish_call(c, i->d->call, true, NULL);
		return;
	}
	if (i->type == ITEM_WAKE) {
		if (i->at == s->wake_at)
			step_node(c, i->node, &timer);
		return;
	}
	if (i->d->ev.type == OGL_EV_CALL)
		fill_call(c, i->d);
	step_node(c, i->node, &i->d->ev);
}

static bool
defer_if_paused(struct fake_cluster *c, struct item *i)
{
	struct node_slot *s = &c->slots[i->node];

	if (i->type != ITEM_WAKE && i->type != ITEM_EVENT)
		return false;
	if (s->node == NULL || s->paused_until <= c->now)
		return false;
	if (i->type == ITEM_WAKE && i->boot == s->boot && i->at == s->wake_at)
		s->wake_at = s->paused_until;
	i->at = s->paused_until;
	heap_push(c, i);
	return true;
}

static void
run_next_item(struct fake_cluster *c)
{
	struct item *i = heap_pop(c);

	c->now = MAX(c->now, i->at);
	if (defer_if_paused(c, i))
		return;
	switch (i->type) {
	case ITEM_ACTION:
		perform_action(c, i);
		break;
	case ITEM_CALLBACK:
		i->fn(c, i->ctx);
		break;
	default:
		deliver_to_node(c, i);
		break;
	}
	item_free(i);
}

void
fake_cluster_run(struct fake_cluster *c, ogl_time length)
{
	ogl_time end = c->now + length;

	while (
	    c->heap->len > 0 && ((struct item *)c->heap->pdata[0])->at <= end)
		run_next_item(c);
	c->now = end;
	tick_workers(c);
}

bool
fake_cluster_run_until(struct fake_cluster *c,
    bool (*fn)(struct fake_cluster *c, void *ctx), void *ctx, ogl_time limit)
{
	ogl_time end = c->now + limit;

	while (!fn(c, ctx)) {
		if (c->now >= end)
			return false;
		fake_cluster_run(c, 10 * OGL_MS);
	}
	return true;
}

void
fake_cluster_schedule_at(struct fake_cluster *c, ogl_time at,
    void (*fn)(struct fake_cluster *c, void *ctx), void *ctx)
{
	struct item *i = item_new(ITEM_CALLBACK, 0, at);

	i->fn = fn;
	i->ctx = ctx;
	heap_push(c, i);
}

ogl_time
fake_cluster_now(const struct fake_cluster *c)
{
	return c->now;
}

/* ---- nodes ------------------------------------------------------------ */

bool
fake_cluster_alive(const struct fake_cluster *c, uint32_t node)
{
	return c->slots[node].node != NULL;
}

struct ogl_node *
fake_cluster_node(struct fake_cluster *c, uint32_t node)
{
	return c->slots[node].node;
}

void
fake_cluster_kill(struct fake_cluster *c, uint32_t node)
{
	if (c->slots[node].node == NULL)
		return;
	note(c, "%s killed", c->slots[node].name);
	process_ended(c, node, false);
}

void
fake_cluster_start(struct fake_cluster *c, uint32_t node, const char *name)
{
	struct node_slot *s = &c->slots[node];
	struct ogl_node_config n;
	const char *const *seeds = (const char *const *)c->seeds;

	if (s->node != NULL)
		return;
	if (name != NULL) {
		g_free(s->name);
		s->name = g_strdup(name);
	}
	ogl_node_config_default(&n);
	n.name = s->name;
	n.addr = s->addr;
	n.zone = s->zone;
	n.boot = (uint64_t)(c->now / OGL_MS) * 2;
	if (n.boot <= s->boot)
		n.boot = s->boot + 1;
	n.seeds = seeds;
	n.nseeds = c->cfg.nodes;
	n.shards = c->cfg.shards;
	n.entropy = entropy;
	memcpy(n.operator_hash, c->operator_hash, sizeof n.operator_hash);
	if (c->cfg.tune != NULL)
		c->cfg.tune(&n);
	s->boot = n.boot;
	s->paused_until = 0;
	s->wake_at = OGL_NEVER;
	s->node = ogl_node_init(&n, ogl_random_next(&c->rnd), c->now, NULL);
	s->settings_version = 0;
	note(c, "%s starts", s->name);
	fake_record_node(c->history, s->name, HISTORY_NODE_UP, c->now);
	schedule_wake(c, node);
}

void
fake_cluster_stop(struct fake_cluster *c, uint32_t node)
{
	if (c->slots[node].node == NULL)
		return;
	note(c, "%s told to stop", c->slots[node].name);
	fake_record_node(
	    c->history, c->slots[node].name, HISTORY_NODE_STOPPING, c->now);
	push_event(c, node, c->slots[node].boot, c->now,
	    delivery_new(OGL_EV_STOP, 0, OGL_IO_OK));
}

void
fake_cluster_pause(struct fake_cluster *c, uint32_t node, ogl_time length)
{
	struct node_slot *s = &c->slots[node];

	if (s->node == NULL)
		return;
	note(c, "%s paused", s->name);
	s->paused_until = MAX(s->paused_until, c->now + length);
	record_pause(c, node);
}

void
fake_cluster_pause_at_action(struct fake_cluster *c, uint32_t node,
    enum ogl_action_type type, ogl_time length)
{
	struct node_slot *s = &c->slots[node];

	s->pause_armed = true;
	s->pause_type = type;
	s->pause_length = length;
}

char *
fake_cluster_metric(struct fake_cluster *c, uint32_t node, const char *name)
{
	char *all, *value = NULL;
	char **lines;
	size_t n = strlen(name);

	if (c->slots[node].node == NULL)
		return NULL;
	all = ogl_node_metrics(c->slots[node].node, c->now);
	lines = g_strsplit(all, "\n", 0);
	for (char **l = lines; *l != NULL && value == NULL; l++) {
		char *sp = strchr(*l, ' ');

		if (**l != '#' && sp != NULL && (size_t)(sp - *l) >= n &&
		    strncmp(sp - n, name, n) == 0)
			value = g_strdup(sp + 1);
	}
	g_strfreev(lines);
	g_free(all);
	return value;
}

/* ---- workers, executors, log, network --------------------------------- */

struct fake_net *
fake_cluster_net(struct fake_cluster *c)
{
	return &c->net;
}

struct fake_disabled_guards *
fake_cluster_disabled_guards(struct fake_cluster *c)
{
	return &c->disabled_guards;
}

struct ogl_history *
fake_cluster_history(struct fake_cluster *c)
{
	return c->history;
}

void
fake_cluster_restart_worker(struct fake_cluster *c, uint32_t w)
{
	char name[16];

	g_snprintf(name, sizeof name, "w%u", w);
	fake_worker_restart(c->workers[w], c->now);
	fake_record_capacity(c->history, name, ++c->worker_restarts[w] + 1,
	    &c->cfg.capacity, c->now);
}

struct fake_log *
fake_cluster_log(struct fake_cluster *c)
{
	return c->log;
}

struct fake_worker *
fake_cluster_worker(struct fake_cluster *c, uint32_t w)
{
	return c->workers[w];
}

struct fake_exec *
fake_cluster_exec(struct fake_cluster *c, uint32_t e)
{
	return c->execs[e];
}

struct ogl_random *
fake_cluster_random(struct fake_cluster *c)
{
	return &c->rnd;
}

void
fake_cluster_cut(struct fake_cluster *c, uint32_t node, enum fake_endpoint side,
    uint32_t index, bool cut)
{
	struct node_slot *s = &c->slots[node];

	note(c, "%s %s %u %u", s->name, cut ? "cut off from" : "healed with",
	    (unsigned)side, index);
	switch (side) {
	case FAKE_NODE:
		s->cut_node[index] = cut;
		c->slots[index].cut_node[node] = cut;
		break;
	case FAKE_LOG:
		s->cut_log = cut;
		break;
	case FAKE_HOSTS:
		s->cut_hosts = cut;
		break;
	case FAKE_WORKER:
		s->cut_worker[index] = cut;
		break;
	case FAKE_EXEC:
	default:
		s->cut_exec[index] = cut;
		break;
	}
}

void
fake_cluster_heal(struct fake_cluster *c)
{
	struct fake_log_script *l = fake_log_script(c->log);

	note(c, "all healed");
	memset(&c->net, 0, sizeof c->net);
	c->net.hosts_lag = 2 * OGL_SEC;
	l->outage = false;
	l->lose_answers = 0;
	l->answer_delay = 0;
	for (uint32_t i = 0; i < FAKE_CLUSTER_MAX_EACH; i++) {
		struct node_slot *s = &c->slots[i];

		memset(s->cut_node, 0, sizeof s->cut_node);
		memset(s->cut_worker, 0, sizeof s->cut_worker);
		memset(s->cut_exec, 0, sizeof s->cut_exec);
		s->cut_log = false;
		s->cut_hosts = false;
		s->pause_armed = false;
	}
	for (uint32_t i = 0; i < c->cfg.workers; i++) {
		struct fake_worker_script *w =
		    fake_worker_script(c->workers[i]);

		w->unreachable = false;
		w->fail_all = false;
		w->leaving = false;
		if (c->worker_listed[i].leaving)
			fake_cluster_set_leaving(c, FAKE_WORKER, i, false);
	}
	for (uint32_t i = 0; i < c->cfg.execs; i++) {
		struct fake_exec_script *e = fake_exec_script(c->execs[i]);

		memset(e, 0, sizeof *e);
		if (c->exec_listed[i].leaving)
			fake_cluster_set_leaving(c, FAKE_EXEC, i, false);
	}
}

void
fake_cluster_set_leaving(struct fake_cluster *c, enum fake_endpoint side,
    uint32_t index, bool leaving)
{
	struct host_listing *l = side == FAKE_WORKER ? &c->worker_listed[index]
						     : &c->exec_listed[index];

	if (l->leaving == leaving)
		return;
	note(c, "%s%u %s", side == FAKE_WORKER ? "w" : "e", index,
	    leaving ? "leaves" : "stays");
	l->leaving = leaving;
	l->changed_at = c->now;
}

/* ---- callers ---------------------------------------------------------- */

uint32_t
fake_cluster_call(
    struct fake_cluster *c, uint32_t node, const struct fake_call_spec *ask)
{
	struct fake_call *k = g_new0(struct fake_call, 1);
	uint32_t number = c->calls->len;
	struct delivery *d = delivery_new(OGL_EV_CALL, number, OGL_IO_OK);

	k->node = node;
	k->method = g_strdup(ask->method);
	k->path = g_strdup(ask->path);
	k->team = g_strdup(ask->team != NULL ? ask->team : "");
	k->id = g_strdup(ask->id != NULL ? ask->id : "");
	k->body = g_strdup(ask->body != NULL ? ask->body : "");
	k->idempotent = ask->idempotent;
	k->asked_at = c->now;
	g_ptr_array_add(c->calls, k);
	note(c, "call %u at %s: %s %s id \"%s\" %s", number,
	    c->slots[node].name, k->method, k->path, k->id, k->body);
	fake_record_call(
	    c->history, number, c->slots[node].name, k, ask->budget_ms);
	d->call = number;
	d->key = g_strdup(ask->key);
	d->budget_ms = ask->budget_ms;
	/* A connection belongs to one process and ends with it. */
	push_event(c, node, c->slots[node].boot, c->now + 3 * net_delay(c), d);
	return number;
}

const struct fake_call *
fake_cluster_get_call(const struct fake_cluster *c, uint32_t call)
{
	return g_ptr_array_index(c->calls, call);
}

uint32_t
fake_cluster_call_count(const struct fake_cluster *c)
{
	return c->calls->len;
}

static bool
call_done(struct fake_cluster *c, void *ctx)
{
	return fake_cluster_get_call(c, *(uint32_t *)ctx)->done;
}

const struct fake_call *
fake_cluster_call_wait(
    struct fake_cluster *c, uint32_t node, const struct fake_call_spec *ask)
{
	uint32_t k = fake_cluster_call(c, node, ask);

	fake_cluster_run_until(c, call_done, &k, 30 * OGL_SEC);
	return fake_cluster_get_call(c, k);
}

const char *
fake_cluster_operator_key(const struct fake_cluster *c)
{
	return c->operator_key;
}

char *
fake_cluster_field(const char *json, const char *name)
{
	json_t *j = json_loads(json, 0, NULL);
	json_t *f = json_object_get(j, name);
	char *text = NULL;

	if (json_is_string(f))
		text = g_strdup(json_string_value(f));
	else if (f != NULL)
		text = json_dumps(f, JSON_ENCODE_ANY | JSON_COMPACT);
	json_decref(j);
	return text;
}

bool
fake_cluster_edit_setting(
    struct fake_cluster *c, uint32_t node, const char *path, const char *value)
{
	struct fake_call_spec see = {
	    .method = "GET", .path = "/v1/settings", .key = c->operator_key};
	struct fake_call_spec set = {
	    .method = "POST", .path = "/v1/settings", .key = c->operator_key};
	char *version, *body;
	json_t *edit;
	bool ok;

	version = fake_cluster_field(
	    fake_cluster_call_wait(c, node, &see)->answer, "version");
	edit = json_pack("{s:I,s:s,s:[{s:s,s:s}]}", "base_version",
	    version != NULL ? (json_int_t)g_ascii_strtoll(version, NULL, 10)
			    : (json_int_t)0,
	    "who", "", "changes", "path", path, "value", value);
	body = json_dumps(edit, JSON_COMPACT);
	set.body = body;
	ok = fake_cluster_call_wait(c, node, &set)->status == 200;
	json_decref(edit);
	free(body);
	g_free(version);
	return ok;
}

char *
fake_cluster_create_key(
    struct fake_cluster *c, uint32_t node, const char *team, char **id)
{
	char *body = g_strdup_printf("{\"team\":\"%s\"}", team);
	struct fake_call_spec ask = {.method = "POST",
	    .path = "/v1/keys",
	    .key = c->operator_key,
	    .body = body};
	const struct fake_call *k = fake_cluster_call_wait(c, node, &ask);

	if (id != NULL)
		*id = fake_cluster_field(k->answer, "id");
	g_free(body);
	return fake_cluster_field(k->answer, "key");
}

/* ---- observations ----------------------------------------------------- */

int32_t
fake_cluster_owner(const struct fake_cluster *c, uint32_t shard)
{
	uint64_t best = 0;
	int32_t owner = -1;

	for (uint32_t i = 0; i < c->cfg.nodes; i++) {
		uint64_t epoch;

		if (c->slots[i].node == NULL)
			continue;
		epoch = ogl_shard_epoch(c->slots[i].node->shards[shard]);
		if (epoch > best) {
			best = epoch;
			owner = (int32_t)i;
		}
	}
	return owner;
}

uint64_t
fake_cluster_run_count(const struct fake_cluster *c, const char *body)
{
	return GPOINTER_TO_SIZE(g_hash_table_lookup(c->bodies, body));
}

uint32_t
fake_cluster_start_count(const struct fake_cluster *c, const char *task)
{
	return task_stats_get(c, task)->starts;
}

uint32_t
fake_cluster_reruns(const struct fake_cluster *c, const char *task)
{
	return task_stats_get(c, task)->reruns;
}

bool
fake_cluster_succeeded(const struct fake_cluster *c, const char *task)
{
	return task_stats_get(c, task)->succeeded;
}

uint32_t
fake_cluster_running(const struct fake_cluster *c, const char *task)
{
	return task_stats_get(c, task)->running;
}

uint32_t
fake_cluster_team_running(const struct fake_cluster *c, const char *team)
{
	return team_stats_get(c, team)->running;
}

uint32_t
fake_cluster_team_peak(struct fake_cluster *c, const char *team)
{
	struct team_stats *t = team_stats_get(c, team);
	uint32_t peak = t->peak;

	t->peak = t->running;
	return peak;
}

void
fake_cluster_expect_limit(
    struct fake_cluster *c, const char *team, uint32_t limit)
{
	struct team_stats *t = team_stats_get(c, team);

	t->limit = limit;
	if (t->running > limit)
		fake_cluster_report_violation(c,
		    "team %s runs %u, its new limit is %u", team, t->running,
		    limit);
}

/* Compares the answer to a request with the number of runs of its body.  No
 * other request has the same body unless it repeats this one with the same
 * request id. */
static void
check_request(struct fake_cluster *c, uint32_t number)
{
	const struct fake_call *k = fake_cluster_get_call(c, number);
	uint64_t runs = fake_cluster_run_count(c, k->body);
	char *whole;

	if (!k->idempotent && runs > 1)
		fake_cluster_report_violation(c, "call %u: \"%s\" ran %u times",
		    number, k->body, (unsigned)runs);
	if (k->verdict == OGL_NOT_RUN && runs > 0 && k->id[0] == '\0')
		fake_cluster_report_violation(
		    c, "call %u: not_run, but \"%s\" ran", number, k->body);
	if (k->disconnected || k->verdict != OGL_RAN)
		return;
	whole = g_strdup_printf("%s|check|%s", k->team, k->body);
	if (runs == 0)
		fake_cluster_report_violation(
		    c, "call %u: ran, but \"%s\" never did", number, k->body);
	else if (strcmp(whole, k->answer) != 0)
		fake_cluster_report_violation(c,
		    "call %u: answer \"%s\" is not its own", number, k->answer);
	g_free(whole);
}

void
fake_cluster_check_answers(struct fake_cluster *c)
{
	for (uint32_t i = 0; i < c->calls->len; i++) {
		const struct fake_call *k = fake_cluster_get_call(c, i);

		if (!k->done)
			fake_cluster_report_violation(
			    c, "call %u was never answered", i);
		else if (strcmp(k->path, "/v1/requests") == 0)
			check_request(c, i);
	}
}

void
fake_cluster_note(struct fake_cluster *c, const char *what)
{
	note(c, "%s", what);
}

const char *
fake_cluster_violations(const struct fake_cluster *c)
{
	return c->faults->str;
}

const char *
fake_cluster_trace(const struct fake_cluster *c)
{
	return c->trace->str;
}

char *
fake_cluster_trace_tail(const struct fake_cluster *c, size_t lines)
{
	const char *p = c->trace->str + c->trace->len;

	while (p > c->trace->str) {
		if (p[-1] == '\n' && lines-- == 0)
			break;
		p--;
	}
	return g_strdup(p);
}
