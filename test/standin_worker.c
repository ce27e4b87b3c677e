/*
 * Stand-in for workers.  One process serves any number of them, each on its
 * own port.  POST /v1/sync is the worker protocol, GET /counts returns the
 * events of the tasks, and POST /ctl sets the faults named in ctl().
 * --history writes the events for orioleglade-check.
 */

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "history.h"
#include "fake_feed.h"
#include "fake_http.h"

#define WORKERS_PER_RACK 6 /* workers of one zone in a rack */

struct options {
	uint32_t count;
	uint16_t port;
	const char *name;
	const char *zone;
	const char *rack;
	struct ogl_res capacity;
	int64_t clock_offset_ms;
	const char *history;
};

struct server {
	struct fake_worker *worker;
	struct ogl_history *history; /* NULL: not written */
	uint64_t boot;
	struct ogl_res recorded_capacity; /* last one recorded in the history */
	struct fake_http *http;
	char *name;
	uint32_t lose_answers;  /* number of next syncs without an answer */
	ogl_time answer_delay;  /* delay of each answer */
	bool restart_requested; /* by /ctl */
};

static const struct argp_option argp_options[] = {
    {"count", 'c', "N", 0, "workers to serve", 0},
    {"port", 'p', "N", 0, "port of the first; 0 takes free ones", 0},
    {"base-port", 'b', "N", OPTION_ALIAS, NULL, 0},
    {"name", 'n', "NAME", 0, "name, or its beginning for several", 0},
    {"zone", 'z', "ZONE,...", 0, "zones, taken in turn", 0},
    {"rack", 'r', "RACK", 0, "rack; by default six workers a rack", 0},
    {"cpu", 'C', "MILLI", 0, "thousandths of a processor each", 0},
    {"mem", 'M', "MB", 0, "memory each", 0},
    {"accel", 'A', "N", 0, "accelerators each", 0},
    {"clock-offset-ms", 'o', "N", 0, "their clock less the true time", 0},
    {"history", 'H', "FILE", 0, "write what happens to it", 0}, {0}};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;
	long n = strtol(arg != NULL ? arg : "", NULL, 10);

	switch (key) {
	case 'c':
		o->count = (uint32_t)n;
		return 0;
	case 'p':
	case 'b':
		o->port = (uint16_t)n;
		return 0;
	case 'n':
		o->name = arg;
		return 0;
	case 'z':
		o->zone = arg;
		return 0;
	case 'r':
		o->rack = arg;
		return 0;
	case 'C':
		o->capacity.cpu_milli = (uint32_t)n;
		return 0;
	case 'M':
		o->capacity.mem_mb = (uint32_t)n;
		return 0;
	case 'A':
		o->capacity.accel = (uint32_t)n;
		return 0;
	case 'o':
		o->clock_offset_ms = n;
		return 0;
	case 'H':
		o->history = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static enum fake_http_next
refuse_sync(struct fake_http_call *c, const struct ogl_faults *f)
{
	const char *path = ogl_faults_path(f, 0);
	const char *allowed = ogl_faults_allowed(f, 0);

	return fake_http_text(c, 422,
	    g_strdup_printf("%s: %s\n", path != NULL ? path : "",
		allowed != NULL ? allowed : "malformed"));
}

/* Records the capacity if it has changed or the worker has rebooted. */
static void
record_capacity(struct server *s, bool booted, ogl_time now)
{
	const struct ogl_res *c = &fake_worker_script(s->worker)->capacity;

	if (s->history == NULL ||
	    (!booted && memcmp(c, &s->recorded_capacity, sizeof(*c)) == 0))
		return;
	s->recorded_capacity = *c;
	fake_record_capacity(s->history, s->name, s->boot, c, now);
}

static void
record_lease(struct server *s, const Ogl__WorkerSync *sync, ogl_time now)
{
	struct history_event ev = {.type = HISTORY_LEASE, .at = now};

	if (s->history == NULL)
		return;
	ev.u.lease.worker = s->name;
	ev.u.lease.owner = sync->owner;
	ev.u.lease.shard = sync->shard;
	ev.u.lease.epoch = sync->epoch;
	ev.u.lease.until =
	    ((ogl_time)sync->lease_from_ms + sync->lease_ms) * OGL_MS;
	ogl_history_add(s->history, &ev);
}

static enum fake_http_next
sync_call(struct server *s, struct fake_http_call *c, ogl_time now)
{
	struct ogl_faults *f = ogl_faults_new();
	ProtobufCMessage *m =
	    ogl_json_parse(&ogl__worker_sync__descriptor, c->body, f);
	Ogl__WorkerReport *r = NULL;
	enum fake_http_next next;

	if (m == NULL) {
		next = refuse_sync(c, f);
		goto out;
	}
	c->delay = s->answer_delay;
	next = FAKE_HTTP_ANSWER;
	if (!fake_worker_sync(s->worker, (const Ogl__WorkerSync *)m, now, &r)) {
		c->drop = true;
		goto out;
	}
	if (!r->refused)
		record_lease(s, (const Ogl__WorkerSync *)m, now);
	fake_http_set(c, "Content-Type", "application/json");
	fake_http_text(c, 200, ogl_json_print(&r->base, NULL));
	if (s->lose_answers > 0) {
		s->lose_answers--;
		c->drop = true;
	}
out:
	if (r != NULL)
		ogl__worker_report__free_unpacked(r, NULL);
	if (m != NULL)
		protobuf_c_message_free_unpacked(m, NULL);
	ogl_faults_free(f);
	return next;
}

static json_t *
event_json(const struct fake_worker_event *ev)
{
	static const char *const names[] = {"start", "end", "lapse", "crash"};
	const ProtobufCEnumValue *state = protobuf_c_enum_descriptor_get_value(
	    &ogl__task_state__descriptor, (int)ev->state);

	return json_pack("{s:s, s:s, s:i, s:s, s:I, s:s}", "event",
	    names[ev->type], "task", ev->task, "attempt", (int)ev->attempt,
	    "team", ev->team, "at_us", (json_int_t)ev->at, "state",
	    state->name);
}

static enum fake_http_next
counts(struct server *s, struct fake_http_call *c, ogl_time now)
{
	json_t *list = json_array();
	const struct fake_worker_event *ev;
	size_t n;

	fake_worker_tick(s->worker, now);
	ev = fake_worker_events(s->worker, &n);
	for (size_t i = 0; i < n; i++)
		json_array_append_new(list, event_json(&ev[i]));
	return fake_http_json(c, 200,
	    json_pack("{s:s, s:I, s:I, s:o}", "name", s->name, "running",
		(json_int_t)fake_worker_running(s->worker), "no_room",
		(json_int_t)fake_worker_no_room(s->worker), "events", list));
}

static enum fake_http_next
ctl(struct server *s, struct fake_http_call *c, ogl_time now)
{
	struct fake_worker_script *k = fake_worker_script(s->worker);
	const struct fake_ctl table[] = {
	    {"fail_all", FAKE_CTL_FLAG, &k->fail_all},
	    {"down", FAKE_CTL_FLAG, &k->unreachable},
	    {"leaving", FAKE_CTL_FLAG, &k->leaving},
	    {"cpu_milli", FAKE_CTL_COUNT, &k->capacity.cpu_milli},
	    {"mem_mb", FAKE_CTL_COUNT, &k->capacity.mem_mb},
	    {"accel", FAKE_CTL_COUNT, &k->capacity.accel},
	    {"lose", FAKE_CTL_COUNT, &s->lose_answers},
	    {"slow_ms", FAKE_CTL_MS, &s->answer_delay},
	    {"restart", FAKE_CTL_FLAG, &s->restart_requested},
	};
	enum fake_http_next next =
	    fake_ctl_answer(c, table, G_N_ELEMENTS(table));

	if (s->restart_requested) {
		fake_worker_restart(s->worker, now);
		s->boot++; /* fake_worker_restart does the same */
	}
	record_capacity(s, s->restart_requested, now);
	s->restart_requested = false;
	return next;
}

static enum fake_http_next
handle(void *ctx, struct fake_http_call *c, ogl_time now)
{
	if (strcmp(c->path, "/v1/sync") == 0)
		return sync_call(ctx, c, now);
	if (strcmp(c->path, "/counts") == 0)
		return counts(ctx, c, now);
	if (strcmp(c->path, "/ctl") == 0)
		return ctl(ctx, c, now);
	return fake_http_text(c, 404, g_strdup("no such path\n"));
}

static bool
server_start(
    struct server *s, const struct options *o, struct ev_loop *loop, uint32_t i)
{
	char **zones = g_strsplit(o->zone, ",", 0);
	uint32_t nzones = MAX(1, g_strv_length(zones));
	const char *zone = zones[0] != NULL ? zones[i % nzones] : "";
	char *rack = o->rack != NULL ? g_strdup(o->rack)
				     : g_strdup_printf("%s-r%u", zone,
					   i / nzones / WORKERS_PER_RACK + 1);
	uint16_t port = o->port == 0 ? 0 : (uint16_t)(o->port + i);
	struct fake_worker_config c = {.zone = zone,
	    .rack = rack,
	    .capacity = o->capacity,
	    .boot = (uint64_t)g_get_real_time(),
	    .clock_offset_ms = o->clock_offset_ms};

	s->name = o->count == 1 ? g_strdup(o->name)
				: g_strdup_printf("%s%04u", o->name, i + 1);
	c.name = s->name;
	s->boot = c.boot;
	s->worker = fake_worker_init(&c);
	if (s->history != NULL)
		fake_worker_hook(s->worker, fake_record_worker, s->history);
	record_capacity(s, true, (ogl_time)c.boot);
	s->http = fake_http_start(loop, port, handle, s);
	if (s->http != NULL)
		printf("port %u %s %s %s\n", fake_http_port(s->http), s->name,
		    zone, rack);
	else
		fprintf(stderr, "worker: port %u can't be had\n", port);
	g_free(rack);
	g_strfreev(zones);
	return s->http != NULL;
}

static void
server_free(void *p)
{
	struct server *s = p;

	fake_http_stop(s->http);
	if (s->worker != NULL)
		fake_worker_tick(s->worker, g_get_real_time());
	fake_worker_end(s->worker);
	g_free(s->name);
	g_free(s);
}

int
main(int argc, char **argv)
{
	struct options o = {.count = 1,
	    .name = "w",
	    .zone = "z1",
	    .capacity = {16000, 65536, 0}};
	const struct argp argp = {argp_options, parse_option, NULL,
	    "Stand-in for workers.", NULL, NULL, NULL};
	struct ev_loop *loop = ev_default_loop(0);
	GPtrArray *servers = g_ptr_array_new_with_free_func(server_free);
	struct ogl_history *history = NULL;
	bool ok = argp_parse(&argp, argc, argv, 0, NULL, &o) == 0;

	if (ok && o.history != NULL) {
		history = ogl_history_open(o.history);
		ok = history != NULL;
	}

	for (uint32_t i = 0; ok && i < o.count; i++) {
		struct server *s = g_new0(struct server, 1);

		s->history = history;
		g_ptr_array_add(servers, s);
		ok = server_start(s, &o, loop, i);
	}
	fflush(stdout);
	if (ok)
		fake_http_serve(loop);
	g_ptr_array_free(servers, TRUE);
	ogl_history_end(history);
	ev_loop_destroy(loop);
	return ok ? 0 : 1;
}
