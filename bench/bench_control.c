/*
 * Cost of control per node, the input of the estimates in docs/CAPACITY.md.
 *
 * Complete nodes are stepped in one loop in virtual time.  Only processor time
 * inside ogl_node_step and the bytes of its messages are counted.  There are
 * three series: workers that run long tasks (per worker and second), tasks
 * that start and end (per start), and cells of many nodes without work
 * (membership).  Memory is what a node's steps allocated and did not free.
 */

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "fake_log.h"
#include "fake_worker.h"
#include "orioleglade.h"

enum {
	LATENCY_US = 1000, /* delay of each answer and message */
	READ_MAX_RECORDS = 64
};

/* An answer or message that is not delivered yet. */
struct delivery {
	ogl_time at;
	uint32_t node;
	enum ogl_event_type type;
	uint64_t token;
	enum ogl_io_result io;
	uint64_t offset, first, next;
	struct ogl_log_entry entries[READ_MAX_RECORDS];
	size_t n;
	char *stream;
	GBytes *data;
	Ogl__WorkerReport *report;
};

struct simulation {
	uint32_t nnodes;
	struct ogl_node **nodes;
	char (*names)[24];
	struct fake_log *log;
	struct fake_worker **workers;
	uint32_t nworkers;
	Ogl__HostList hosts;
	GQueue *deliveries;
	ogl_time now;
	bool measure_memory;     /* measure memory instead of time */
	double cpu_s;            /* in ogl_node_step */
	int64_t bytes_allocated; /* in ogl_node_step, less what was freed */
	uint64_t sync_bytes, report_bytes, syncs;
	uint64_t peer_bytes, peer_msgs;
	uint64_t appends, append_bytes, reads;
	uint64_t replies;
};

static double
cpu_time_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static int64_t
heap_bytes(const struct simulation *sim)
{
	return sim->measure_memory ? (int64_t)mallinfo2().uordblks : 0;
}

static struct delivery *
delivery_new(struct simulation *sim, uint32_t node, enum ogl_event_type type,
    uint64_t token)
{
	struct delivery *f = g_new0(struct delivery, 1);

	f->at = sim->now + LATENCY_US;
	f->node = node;
	f->type = type;
	f->token = token;
	g_queue_push_tail(sim->deliveries, f);
	return f;
}

static uint32_t
addr_index(const char *addr)
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
sync_worker(struct simulation *sim, uint32_t node, const struct ogl_action *a)
{
	struct delivery *f = delivery_new(sim, node, OGL_EV_WORKER, a->token);

	sim->syncs++;
	sim->sync_bytes += json_size(&a->sync->base);
	fake_worker_sync(
	    sim->workers[addr_index(a->addr)], a->sync, sim->now, &f->report);
	sim->report_bytes += json_size(&f->report->base);
}

static void
access_log(struct simulation *sim, uint32_t node, const struct ogl_action *a)
{
	bool append = a->type == OGL_ACT_LOG_APPEND;
	struct delivery *f = delivery_new(sim, node,
	    append ? OGL_EV_LOG_APPENDED : OGL_EV_LOG_READ, a->token);
	struct ogl_str s;

	if (append) {
		s.p = g_bytes_get_data(a->data, &s.n);
		sim->appends++;
		sim->append_bytes += s.n;
		if (fake_log_append(sim->log, a->name, s, sim->now,
			&f->offset) != FAKE_LOG_OK)
			f->io = OGL_IO_REFUSED;
		return;
	}
	sim->reads++;
	f->stream = g_strdup(a->name);
	f->offset = a->from;
}

static void
execute_action(
    struct simulation *sim, uint32_t node, const struct ogl_action *a)
{
	switch (a->type) {
	case OGL_ACT_PEER:
		sim->peer_msgs++;
		sim->peer_bytes += g_bytes_get_size(a->data);
		if (addr_index(a->addr) < sim->nnodes)
			delivery_new(sim, addr_index(a->addr), OGL_EV_PEER, 0)
			    ->data = g_bytes_ref(a->data);
		break;
	case OGL_ACT_LOG_APPEND:
	case OGL_ACT_LOG_READ:
		access_log(sim, node, a);
		break;
	case OGL_ACT_HOSTS:
		delivery_new(sim, node, OGL_EV_HOSTS, a->token);
		break;
	case OGL_ACT_WORKER:
		sync_worker(sim, node, a);
		break;
	case OGL_ACT_REPLY:
		sim->replies++;
		break;
	default:
		break;
	}
}

static void
step(struct simulation *sim, uint32_t node, const struct ogl_event *ev)
{
	struct ogl_actions out;
	struct ogl_action *a;
	int64_t heap;
	double t;

	ogl_actions_init(&out);
	heap = heap_bytes(sim);
	t = cpu_time_s();
	ogl_node_step(sim->nodes[node], ev, sim->now, &out);
	sim->cpu_s += cpu_time_s() - t;
	sim->bytes_allocated += heap_bytes(sim) - heap;
	while ((a = ogl_actions_pop(&out)) != NULL) {
		execute_action(sim, node, a);
		heap = heap_bytes(sim);
		ogl_action_free(a);
		sim->bytes_allocated += heap_bytes(sim) - heap;
	}
}

static void
deliver(struct simulation *sim, struct delivery *f)
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
		fake_log_read(sim->log, f->stream, f->offset, sim->now,
		    &ev.u.read.first, &ev.u.read.next, f->entries,
		    READ_MAX_RECORDS, &ev.u.read.n);
		ev.u.read.entries = f->entries;
		break;
	case OGL_EV_HOSTS:
		ev.u.hosts = &sim->hosts;
		break;
	case OGL_EV_WORKER:
		ev.u.worker = f->report;
		break;
	default:
		break;
	}
	step(sim, f->node, &ev);
	if (f->data != NULL)
		g_bytes_unref(f->data);
	if (f->report != NULL)
		ogl__worker_report__free_unpacked(f->report, NULL);
	g_free(f->stream);
	g_free(f);
}

static void
run_until(struct simulation *sim, ogl_time end)
{
	struct ogl_event timer = {.type = OGL_EV_TIMER};

	for (;;) {
		struct delivery *f = g_queue_peek_head(sim->deliveries);
		ogl_time t = f != NULL ? f->at : OGL_NEVER;
		uint32_t node = UINT32_MAX;

		for (uint32_t i = 0; i < sim->nnodes; i++) {
			ogl_time wake = ogl_node_next_wake(sim->nodes[i]);

			if (wake < t) {
				t = wake;
				node = i;
			}
		}
		if (t > end)
			break;
		sim->now = MAX(sim->now, t);
		if (node != UINT32_MAX)
			step(sim, node, &timer);
		else
			deliver(sim, g_queue_pop_head(sim->deliveries));
	}
	sim->now = end;
}

static void
init_hosts(struct simulation *sim)
{
	sim->workers = g_new0(struct fake_worker *, sim->nworkers + 1);
	ogl__host_list__init(&sim->hosts);
	sim->hosts.n_hosts = sim->nworkers;
	sim->hosts.hosts = g_new0(Ogl__Host *, sim->nworkers + 1);
	for (uint32_t i = 0; i < sim->nworkers; i++) {
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
		sim->workers[i] = fake_worker_init(&c);
		sim->hosts.hosts[i] = h;
	}
}

/* The first operator's key.  All nodes are configured with its hash. */
static char operator_key[80];

static void
simulation_init(struct simulation *sim, uint32_t nodes, uint32_t workers,
    uint32_t shards, bool measure_memory)
{
	uint8_t random[32] = {7};
	Ogl__Edit *e = NULL;
	char id[32], hash[65];
	static const char *const seeds[] = {"n:0", "n:1", "n:2"};

	memset(sim, 0, sizeof *sim);
	sim->nnodes = nodes;
	sim->nworkers = workers;
	sim->measure_memory = measure_memory;
	sim->now = 1000 * OGL_SEC;
	sim->log = fake_log_init();
	fake_log_script(sim->log)->appends_per_s = 1e9;
	fake_log_script(sim->log)->keep_age = 300 * OGL_SEC;
	sim->deliveries = g_queue_new();
	init_hosts(sim);
	ogl_key_make(random, "", operator_key, &e, id);
	ogl__edit__free_unpacked(e, NULL);
	ogl_key_hash(ogl_str(operator_key), hash);
	sim->nodes = g_new0(struct ogl_node *, nodes);
	sim->names = g_malloc0(nodes * sizeof *sim->names);
	for (uint32_t i = 0; i < nodes; i++) {
		struct ogl_node_config c;
		char addr[24];

		ogl_node_config_default(&c);
		g_snprintf(sim->names[i], sizeof sim->names[i], "n%03u", i);
		g_snprintf(addr, sizeof addr, "n:%u", i);
		c.name = sim->names[i];
		c.addr = addr;
		c.zone = "z0";
		c.boot = 1;
		c.seeds = seeds;
		c.nseeds = nodes > 1 ? 3 : 0;
		c.shards = shards;
		g_strlcpy(c.operator_hash, hash, sizeof c.operator_hash);
		int64_t heap = heap_bytes(sim);
		sim->nodes[i] = ogl_node_init(&c, i + 1, sim->now, NULL);
		sim->bytes_allocated += heap_bytes(sim) - heap;
	}
}

static void
simulation_end(struct simulation *sim)
{
	struct delivery *f;

	for (uint32_t i = 0; i < sim->nnodes; i++)
		ogl_node_end(sim->nodes[i]);
	while ((f = g_queue_pop_head(sim->deliveries)) != NULL) {
		if (f->data != NULL)
			g_bytes_unref(f->data);
		if (f->report != NULL)
			ogl__worker_report__free_unpacked(f->report, NULL);
		g_free(f->stream);
		g_free(f);
	}
	g_queue_free(sim->deliveries);
	for (uint32_t i = 0; i < sim->nworkers; i++) {
		fake_worker_end(sim->workers[i]);
		g_free(sim->hosts.hosts[i]->name);
		g_free(sim->hosts.hosts[i]->addr);
		g_free(sim->hosts.hosts[i]->zone);
		g_free(sim->hosts.hosts[i]->rack);
		g_free(sim->hosts.hosts[i]);
	}
	g_free(sim->hosts.hosts);
	g_free(sim->workers);
	fake_log_end(sim->log);
	g_free(sim->nodes);
	g_free(sim->names);
}

static void
call(struct simulation *sim, uint32_t node, const char *method,
    const char *path, const char *key, const char *body)
{
	static uint64_t token;
	struct ogl_event ev = {.type = OGL_EV_CALL, .token = ++token};

	ev.u.call.method = ogl_str(method);
	ev.u.call.path = ogl_str(path);
	ev.u.call.key = ogl_str(key);
	ev.u.call.body = ogl_str(body);
	step(sim, node, &ev);
}

static void
reset_counters(struct simulation *sim)
{
	sim->cpu_s = 0;
	sim->sync_bytes = sim->report_bytes = sim->syncs = 0;
	sim->peer_bytes = sim->peer_msgs = 0;
	sim->appends = sim->append_bytes = sim->reads = 0;
}

/* Creates a team and a key for it, which is returned.  The first operator can't
 * submit for a team, so the key is made here and added by an edit of the
 * settings. */
static char *
make_team(struct simulation *sim)
{
	uint8_t random[32] = {9};
	Ogl__Edit *e = NULL;
	char id[32];
	char *key = g_malloc0(80);
	char *text;

	call(sim, 0, "POST", "/v1/settings", operator_key,
	    "{\"base_version\":0,\"changes\":[{\"path\":\"teams/t\","
	    "\"value\":\"{}\"}]}");
	run_until(sim, sim->now + 2 * OGL_SEC);
	ogl_key_make(random, "t", key, &e, id);
	e->base_version = 1;
	text = ogl_json_print(&e->base, NULL);
	call(sim, 0, "POST", "/v1/settings", operator_key, text);
	run_until(sim, sim->now + 2 * OGL_SEC);
	g_free(text);
	ogl__edit__free_unpacked(e, NULL);
	return key;
}

static void
submit(struct simulation *sim, const char *key, uint32_t tasks,
    const char *payload, uint32_t node)
{
	char *body = g_strdup_printf("{\"kind\":\"batch\",\"tasks\":%u,"
				     "\"res\":{\"cpu_milli\":1000,\"mem_mb\":"
				     "1024},\"payload\":\"%s\","
				     "\"restartable\":true}",
	    tasks, payload);

	call(sim, node, "POST", "/v1/jobs", key, body);
	g_free(body);
}

/* One node that owns `workers` workers with TASKS running tasks each. */
static void
measure_running_tasks(uint32_t workers, bool measure_memory)
{
	enum {
		SECONDS = 20,
		TASKS = 8
	};
	struct simulation sim;
	uint32_t shards = MAX(1, workers / 200);
	int64_t bytes_empty, bytes_idle;
	char *key;

	simulation_init(&sim, 1, workers, shards, measure_memory);
	run_until(&sim, sim.now + 2 * OGL_SEC);
	bytes_empty = sim.bytes_allocated;
	run_until(&sim, sim.now + 8 * OGL_SEC);
	key = make_team(&sim);
	bytes_idle = sim.bytes_allocated;
	for (uint32_t i = 0; i < workers * TASKS / 400; i++) {
		submit(&sim, key, 400, "run_ms=1000000000", 0);
		if (i % 20 == 19)
			run_until(&sim, sim.now + OGL_SEC);
	}
	run_until(&sim, sim.now + 20 * OGL_SEC);
	reset_counters(&sim);
	if (measure_memory) {
		printf("ctl_bytes_worker_%u %.0f bytes\n", workers,
		    (double)(bytes_idle - bytes_empty) / workers);
		printf("ctl_bytes_task_%u %.0f bytes\n", workers,
		    (double)(sim.bytes_allocated - bytes_idle) /
			(workers * TASKS));
		printf("ctl_heap_mb_%u %.2f MB\n", workers,
		    (double)sim.bytes_allocated / 1e6);
	} else {
		run_until(&sim, sim.now + SECONDS * OGL_SEC);
		printf("ctl_cpu_pct_%u %.3f percent\n", workers,
		    sim.cpu_s / SECONDS * 100);
		printf("ctl_cpu_us_worker_s_%u %.2f us\n", workers,
		    sim.cpu_s * 1e6 / SECONDS / workers);
		printf("ctl_sync_bytes_worker_s_%u %.0f bytes/s\n", workers,
		    (double)(sim.sync_bytes + sim.report_bytes) / SECONDS /
			workers);
		printf("ctl_log_bytes_s_%u %.0f bytes/s\n", workers,
		    (double)sim.append_bytes / SECONDS);
		printf("ctl_log_reads_s_%u %.1f /s\n", workers,
		    (double)sim.reads / SECONDS);
	}
	g_free(key);
	simulation_end(&sim);
}

/* Short tasks on one node: cost of each start and end. */
static void
measure_starts(uint32_t workers, uint32_t jobs_per_s)
{
	enum {
		SECONDS = 10,
		TASKS = 50
	};
	struct simulation sim;
	double n = (double)jobs_per_s * TASKS * SECONDS;
	char *key;

	simulation_init(&sim, 1, workers, MAX(1, workers / 200), false);
	run_until(&sim, sim.now + 10 * OGL_SEC);
	key = make_team(&sim);
	reset_counters(&sim);
	run_until(&sim, sim.now + SECONDS * OGL_SEC);
	double cpu0 = sim.cpu_s;
	double bytes0 = (double)(sim.sync_bytes + sim.report_bytes);
	reset_counters(&sim);
	for (uint32_t i = 0; i < jobs_per_s * SECONDS; i++) {
		submit(&sim, key, TASKS, "run_ms=300", 0);
		run_until(&sim, sim.now + OGL_SEC / jobs_per_s);
	}
	printf("ctl_start_cpu_us_%u %.1f us\n", workers,
	    (sim.cpu_s - cpu0) * 1e6 / n);
	printf("ctl_start_sync_bytes_%u %.0f bytes\n", workers,
	    ((double)(sim.sync_bytes + sim.report_bytes) - bytes0) / n);
	printf("ctl_start_log_bytes_%u %.0f bytes\n", workers,
	    (double)sim.append_bytes / n);
	printf("ctl_start_appends_%u %.4f appends\n", workers,
	    (double)sim.appends / n);
	g_free(key);
	simulation_end(&sim);
}

/* Many nodes without workers or jobs. */
static void
measure_membership(uint32_t nodes)
{
	enum {
		SECONDS = 10
	};
	struct simulation sim;

	simulation_init(&sim, nodes, 0, nodes, false);
	run_until(&sim, sim.now + 20 * OGL_SEC);
	reset_counters(&sim);
	run_until(&sim, sim.now + SECONDS * OGL_SEC);
	printf("ctl_peer_bytes_s_%u %.0f bytes/s\n", nodes,
	    (double)sim.peer_bytes / SECONDS / nodes);
	printf("ctl_peer_msgs_s_%u %.1f /s\n", nodes,
	    (double)sim.peer_msgs / SECONDS / nodes);
	printf("ctl_member_cpu_pct_%u %.3f percent\n", nodes,
	    sim.cpu_s / SECONDS / nodes * 100);
	printf("ctl_log_reads_node_s_%u %.1f /s\n", nodes,
	    (double)sim.reads / SECONDS / nodes);
	simulation_end(&sim);
}

int
main(void)
{
	static const uint32_t worker_counts[] = {50, 200, 1000, 2750};
	static const uint32_t node_counts[] = {8, 32, 100};

	setvbuf(stdout, NULL, _IOLBF, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(worker_counts); i++) {
		measure_running_tasks(worker_counts[i], false);
		/* mallinfo2 is slow; small cells suffice for bytes per item. */
		if (worker_counts[i] <= 200)
			measure_running_tasks(worker_counts[i], true);
	}
	measure_starts(50, 2);
	measure_starts(200, 4);
	measure_starts(1000, 10);
	for (size_t i = 0; i < G_N_ELEMENTS(node_counts); i++)
		measure_membership(node_counts[i]);
	return 0;
}
