/*
 * What control costs a node, for the sums of docs/CAPACITY.md.
 *
 * Whole nodes are stepped in one loop in virtual time; only the time spent
 * inside ogl_node_step counts, and only the bytes of its messages.  Three
 * series: workers that just run tasks (per worker and second), tasks started
 * and ended (per start), and cells of many nodes without work (membership).
 * Memory is what the node's own steps allocated and did not free.
 */

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "fake_log.h"
#include "fake_worker.h"
#include "orioleglade.h"

enum {
	LATE_US = 1000, /* every answer and message takes so long */
	READ_MOST = 64
};

/* An answer or message on its way. */
struct flight {
	ogl_time at;
	uint32_t node;
	enum ogl_event_type type;
	uint64_t token;
	enum ogl_io_result io;
	uint64_t offset, first, next;
	struct ogl_log_entry entries[READ_MOST];
	size_t n;
	char *stream;
	GBytes *data;
	Ogl__WorkerReport *report;
};

struct world {
	uint32_t nnodes;
	struct ogl_node **nodes;
	char (*names)[24];
	struct fake_log *log;
	struct fake_worker **workers;
	uint32_t nworkers;
	Ogl__HostList hosts;
	GQueue *flights;
	ogl_time now;
	bool weigh;         /* count memory, not time */
	double cpu_s;       /* in steps */
	int64_t bytes_kept; /* allocated in steps and not freed */
	uint64_t sync_bytes, report_bytes, syncs;
	uint64_t peer_bytes, peer_msgs;
	uint64_t appends, append_bytes, reads;
	uint64_t replies;
};

static double
cpu_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static int64_t
heap_now(const struct world *w)
{
	return w->weigh ? (int64_t)mallinfo2().uordblks : 0;
}

static struct flight *
flight_new(
    struct world *w, uint32_t node, enum ogl_event_type type, uint64_t token)
{
	struct flight *f = g_new0(struct flight, 1);

	f->at = w->now + LATE_US;
	f->node = node;
	f->type = type;
	f->token = token;
	g_queue_push_tail(w->flights, f);
	return f;
}

static uint32_t
number_of(const char *addr)
{
	return (uint32_t)g_ascii_strtoull(strchr(addr, ':') + 1, NULL, 10);
}

static size_t
json_size(const ProtobufCMessage *m)
{
	size_t n;

	g_free(ogl_json_print(m, &n));
	return n;
}

static void
serve_worker(struct world *w, uint32_t node, const struct ogl_action *a)
{
	struct flight *f = flight_new(w, node, OGL_EV_WORKER, a->token);

	w->syncs++;
	w->sync_bytes += json_size(&a->sync->base);
	fake_worker_sync(
	    w->workers[number_of(a->addr)], a->sync, w->now, &f->report);
	w->report_bytes += json_size(&f->report->base);
}

static void
serve_log(struct world *w, uint32_t node, const struct ogl_action *a)
{
	bool append = a->type == OGL_ACT_LOG_APPEND;
	struct flight *f = flight_new(
	    w, node, append ? OGL_EV_LOG_APPENDED : OGL_EV_LOG_READ, a->token);
	struct ogl_str s;

	if (append) {
		s.p = g_bytes_get_data(a->data, &s.n);
		w->appends++;
		w->append_bytes += s.n;
		if (fake_log_append(w->log, a->name, s, w->now, &f->offset) !=
		    FAKE_LOG_OK)
			f->io = OGL_IO_REFUSED;
		return;
	}
	w->reads++;
	f->stream = g_strdup(a->name);
	f->offset = a->from;
}

static void
serve(struct world *w, uint32_t node, const struct ogl_action *a)
{
	switch (a->type) {
	case OGL_ACT_PEER:
		w->peer_msgs++;
		w->peer_bytes += g_bytes_get_size(a->data);
		if (number_of(a->addr) < w->nnodes)
			flight_new(w, number_of(a->addr), OGL_EV_PEER, 0)
			    ->data = g_bytes_ref(a->data);
		break;
	case OGL_ACT_LOG_APPEND:
	case OGL_ACT_LOG_READ:
		serve_log(w, node, a);
		break;
	case OGL_ACT_HOSTS:
		flight_new(w, node, OGL_EV_HOSTS, a->token);
		break;
	case OGL_ACT_WORKER:
		serve_worker(w, node, a);
		break;
	case OGL_ACT_REPLY:
		w->replies++;
		break;
	default:
		break;
	}
}

static void
step(struct world *w, uint32_t node, const struct ogl_event *ev)
{
	struct ogl_actions out;
	struct ogl_action *a;
	int64_t heap;
	double t;

	ogl_actions_init(&out);
	heap = heap_now(w);
	t = cpu_now();
	ogl_node_step(w->nodes[node], ev, w->now, &out);
	w->cpu_s += cpu_now() - t;
	w->bytes_kept += heap_now(w) - heap;
	while ((a = ogl_actions_pop(&out)) != NULL) {
		serve(w, node, a);
		heap = heap_now(w);
		ogl_action_free(a);
		w->bytes_kept += heap_now(w) - heap;
	}
}

static void
deliver(struct world *w, struct flight *f)
{
	struct ogl_event ev = {.type = f->type, .token = f->token, .io = f->io};

	switch (f->type) {
	case OGL_EV_PEER:
		ev.u.peer.data.p = g_bytes_get_data(f->data, &ev.u.peer.data.n);
		break;
	case OGL_EV_LOG_APPENDED:
		ev.u.appended.offset = f->offset;
		break;
	case OGL_EV_LOG_READ:
		fake_log_read(w->log, f->stream, f->offset, w->now,
		    &ev.u.read.first, &ev.u.read.next, f->entries, READ_MOST,
		    &ev.u.read.n);
		ev.u.read.entries = f->entries;
		break;
	case OGL_EV_HOSTS:
		ev.u.hosts = &w->hosts;
		break;
	case OGL_EV_WORKER:
		ev.u.worker = f->report;
		break;
	default:
		break;
	}
	step(w, f->node, &ev);
	if (f->data != NULL)
		g_bytes_unref(f->data);
	if (f->report != NULL)
		ogl__worker_report__free_unpacked(f->report, NULL);
	g_free(f->stream);
	g_free(f);
}

static void
run_until(struct world *w, ogl_time end)
{
	struct ogl_event timer = {.type = OGL_EV_TIMER};

	for (;;) {
		struct flight *f = g_queue_peek_head(w->flights);
		ogl_time t = f != NULL ? f->at : OGL_NEVER;
		uint32_t who = UINT32_MAX;

		for (uint32_t i = 0; i < w->nnodes; i++) {
			ogl_time wake = ogl_node_next_wake(w->nodes[i]);

			if (wake < t) {
				t = wake;
				who = i;
			}
		}
		if (t > end)
			break;
		w->now = MAX(w->now, t);
		if (who != UINT32_MAX)
			step(w, who, &timer);
		else
			deliver(w, g_queue_pop_head(w->flights));
	}
	w->now = end;
}

static void
init_hosts(struct world *w)
{
	w->workers = g_new0(struct fake_worker *, w->nworkers + 1);
	ogl__host_list__init(&w->hosts);
	w->hosts.n_hosts = w->nworkers;
	w->hosts.hosts = g_new0(Ogl__Host *, w->nworkers + 1);
	for (uint32_t i = 0; i < w->nworkers; i++) {
		Ogl__Host *h = g_new0(Ogl__Host, 1);
		struct fake_worker_config c = {
		    .capacity = {16000, 65536, 0}, .boot = 1};

		ogl__host__init(h);
		h->name = g_strdup_printf("w%05u", i);
		h->addr = g_strdup_printf("w:%u", i);
		h->zone = g_strdup_printf("z%u", i % 12);
		h->rack = g_strdup_printf("z%u-r%u", i % 12, i / 96);
		c.name = h->name;
		c.zone = h->zone;
		c.rack = h->rack;
		w->workers[i] = fake_worker_init(&c);
		w->hosts.hosts[i] = h;
	}
}

/* A first operator's key whose hash all nodes are given. */
static char op_key[80];

static void
world_init(struct world *w, uint32_t nodes, uint32_t workers, uint32_t shards,
    bool weigh)
{
	uint8_t random[32] = {7};
	Ogl__Edit *e = NULL;
	char id[32], hash[65];
	static const char *const seeds[] = {"n:0", "n:1", "n:2"};

	memset(w, 0, sizeof *w);
	w->nnodes = nodes;
	w->nworkers = workers;
	w->weigh = weigh;
	w->now = 1000 * OGL_SEC;
	w->log = fake_log_init();
	fake_log_script(w->log)->rate = 1e9;
	fake_log_script(w->log)->keep_age = 300 * OGL_SEC;
	w->flights = g_queue_new();
	init_hosts(w);
	ogl_key_make(random, "", op_key, &e, id);
	ogl__edit__free_unpacked(e, NULL);
	ogl_key_hash(ogl_str(op_key), hash);
	w->nodes = g_new0(struct ogl_node *, nodes);
	w->names = g_malloc0(nodes * sizeof *w->names);
	for (uint32_t i = 0; i < nodes; i++) {
		struct ogl_node_config c;
		char addr[24];

		ogl_node_config_default(&c);
		g_snprintf(w->names[i], sizeof w->names[i], "n%03u", i);
		g_snprintf(addr, sizeof addr, "n:%u", i);
		c.name = w->names[i];
		c.addr = addr;
		c.zone = "z0";
		c.boot = 1;
		c.seeds = seeds;
		c.nseeds = nodes > 1 ? 3 : 0;
		c.shards = shards;
		g_strlcpy(c.operator_hash, hash, sizeof c.operator_hash);
		int64_t heap = heap_now(w);
		w->nodes[i] = ogl_node_init(&c, i + 1, w->now, NULL);
		w->bytes_kept += heap_now(w) - heap;
	}
}

static void
world_end(struct world *w)
{
	struct flight *f;

	for (uint32_t i = 0; i < w->nnodes; i++)
		ogl_node_end(w->nodes[i]);
	while ((f = g_queue_pop_head(w->flights)) != NULL) {
		if (f->data != NULL)
			g_bytes_unref(f->data);
		if (f->report != NULL)
			ogl__worker_report__free_unpacked(f->report, NULL);
		g_free(f->stream);
		g_free(f);
	}
	g_queue_free(w->flights);
	for (uint32_t i = 0; i < w->nworkers; i++) {
		fake_worker_end(w->workers[i]);
		g_free(w->hosts.hosts[i]->name);
		g_free(w->hosts.hosts[i]->addr);
		g_free(w->hosts.hosts[i]->zone);
		g_free(w->hosts.hosts[i]->rack);
		g_free(w->hosts.hosts[i]);
	}
	g_free(w->hosts.hosts);
	g_free(w->workers);
	fake_log_end(w->log);
	g_free(w->nodes);
	g_free(w->names);
}

static void
call(struct world *w, uint32_t node, const char *method, const char *path,
    const char *key, const char *body)
{
	static uint64_t token;
	struct ogl_event ev = {.type = OGL_EV_CALL, .token = ++token};

	ev.u.call.method = ogl_str(method);
	ev.u.call.path = ogl_str(path);
	ev.u.call.key = ogl_str(key);
	ev.u.call.body = ogl_str(body);
	step(w, node, &ev);
}

static void
zero(struct world *w)
{
	w->cpu_s = 0;
	w->sync_bytes = w->report_bytes = w->syncs = 0;
	w->peer_bytes = w->peer_msgs = 0;
	w->appends = w->append_bytes = w->reads = 0;
}

/* A team and its key, made as an operator would; the key's text is known
 * since the node's entropy is not asked: the first operator submits for no
 * team, so one key edit is written by hand. */
static char *
make_team(struct world *w)
{
	uint8_t random[32] = {9};
	Ogl__Edit *e = NULL;
	char id[32];
	char *key = g_malloc0(80);
	char *text;

	call(w, 0, "POST", "/v1/settings", op_key,
	    "{\"base_version\":0,\"changes\":[{\"path\":\"teams/t\","
	    "\"value\":\"{}\"}]}");
	run_until(w, w->now + 2 * OGL_SEC);
	ogl_key_make(random, "t", key, &e, id);
	e->base_version = 1;
	text = ogl_json_print(&e->base, NULL);
	call(w, 0, "POST", "/v1/settings", op_key, text);
	run_until(w, w->now + 2 * OGL_SEC);
	g_free(text);
	ogl__edit__free_unpacked(e, NULL);
	return key;
}

static void
submit(struct world *w, const char *key, uint32_t tasks, const char *payload,
    uint32_t node)
{
	char *body = g_strdup_printf("{\"kind\":\"batch\",\"tasks\":%u,"
				     "\"res\":{\"cpu_milli\":1000,\"mem_mb\":"
				     "1024},\"payload\":\"%s\","
				     "\"restartable\":true}",
	    tasks, payload);

	call(w, node, "POST", "/v1/jobs", key, body);
	g_free(body);
}

/* One node owning `workers` workers, eight tasks running on each. */
static void
steady(uint32_t workers, bool weigh)
{
	enum {
		SECONDS = 20,
		TASKS = 8
	};
	struct world w;
	uint32_t shards = MAX(1, workers / 200);
	int64_t empty, idle;
	char *key;

	world_init(&w, 1, workers, shards, weigh);
	run_until(&w, w.now + 2 * OGL_SEC);
	empty = w.bytes_kept;
	run_until(&w, w.now + 8 * OGL_SEC);
	key = make_team(&w);
	idle = w.bytes_kept;
	for (uint32_t i = 0; i < workers * TASKS / 400; i++) {
		submit(&w, key, 400, "run_ms=1000000000", 0);
		if (i % 20 == 19)
			run_until(&w, w.now + OGL_SEC);
	}
	run_until(&w, w.now + 20 * OGL_SEC);
	zero(&w);
	if (weigh) {
		printf("ctl_bytes_worker_%u %.0f bytes\n", workers,
		    (double)(idle - empty) / workers);
		printf("ctl_bytes_task_%u %.0f bytes\n", workers,
		    (double)(w.bytes_kept - idle) / (workers * TASKS));
		printf("ctl_heap_mb_%u %.2f MB\n", workers,
		    (double)w.bytes_kept / 1e6);
	} else {
		run_until(&w, w.now + SECONDS * OGL_SEC);
		printf("ctl_cpu_pct_%u %.3f percent\n", workers,
		    w.cpu_s / SECONDS * 100);
		printf("ctl_cpu_us_worker_s_%u %.2f us\n", workers,
		    w.cpu_s * 1e6 / SECONDS / workers);
		printf("ctl_sync_bytes_worker_s_%u %.0f bytes/s\n", workers,
		    (double)(w.sync_bytes + w.report_bytes) / SECONDS /
			workers);
		printf("ctl_log_bytes_s_%u %.0f bytes/s\n", workers,
		    (double)w.append_bytes / SECONDS);
		printf("ctl_log_reads_s_%u %.1f /s\n", workers,
		    (double)w.reads / SECONDS);
	}
	g_free(key);
	world_end(&w);
}

/* Short tasks through one node: what each start and end costs. */
static void
starts(uint32_t workers, uint32_t jobs_a_second)
{
	enum {
		SECONDS = 10,
		TASKS = 50
	};
	struct world w;
	double n = (double)jobs_a_second * TASKS * SECONDS;
	char *key;

	world_init(&w, 1, workers, MAX(1, workers / 200), false);
	run_until(&w, w.now + 10 * OGL_SEC);
	key = make_team(&w);
	zero(&w);
	run_until(&w, w.now + SECONDS * OGL_SEC);
	double cpu0 = w.cpu_s;
	double bytes0 = (double)(w.sync_bytes + w.report_bytes);
	zero(&w);
	for (uint32_t i = 0; i < jobs_a_second * SECONDS; i++) {
		submit(&w, key, TASKS, "run_ms=300", 0);
		run_until(&w, w.now + OGL_SEC / jobs_a_second);
	}
	printf("ctl_start_cpu_us_%u %.1f us\n", workers,
	    (w.cpu_s - cpu0) * 1e6 / n);
	printf("ctl_start_sync_bytes_%u %.0f bytes\n", workers,
	    ((double)(w.sync_bytes + w.report_bytes) - bytes0) / n);
	printf("ctl_start_log_bytes_%u %.0f bytes\n", workers,
	    (double)w.append_bytes / n);
	printf("ctl_start_appends_%u %.4f appends\n", workers,
	    (double)w.appends / n);
	g_free(key);
	world_end(&w);
}

/* Many nodes that only know each other. */
static void
membership(uint32_t nodes)
{
	enum {
		SECONDS = 10
	};
	struct world w;

	world_init(&w, nodes, 0, nodes, false);
	run_until(&w, w.now + 20 * OGL_SEC);
	zero(&w);
	run_until(&w, w.now + SECONDS * OGL_SEC);
	printf("ctl_peer_bytes_s_%u %.0f bytes/s\n", nodes,
	    (double)w.peer_bytes / SECONDS / nodes);
	printf("ctl_peer_msgs_s_%u %.1f /s\n", nodes,
	    (double)w.peer_msgs / SECONDS / nodes);
	printf("ctl_member_cpu_pct_%u %.3f percent\n", nodes,
	    w.cpu_s / SECONDS / nodes * 100);
	printf("ctl_log_reads_node_s_%u %.1f /s\n", nodes,
	    (double)w.reads / SECONDS / nodes);
	world_end(&w);
}

int
main(void)
{
	static const uint32_t sizes[] = {50, 200, 1000, 2750};
	static const uint32_t cells[] = {8, 32, 100};

	setvbuf(stdout, NULL, _IOLBF, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		steady(sizes[i], false);
		/* The heap's own count is slow; small sizes give the slope. */
		if (sizes[i] <= 200)
			steady(sizes[i], true);
	}
	starts(50, 2);
	starts(200, 4);
	starts(1000, 10);
	for (size_t i = 0; i < G_N_ELEMENTS(cells); i++)
		membership(cells[i]);
	return 0;
}
