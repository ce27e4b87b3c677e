/*
 * Stand-in for the platform's services: log streams and the list of hosts.
 * POST /ctl takes the faults named in ctl() and "hosts", a complete new list.
 * A new list is shown after a lag, because the platform's list also lags
 * behind real changes.  GET /counts returns the number of appends.  --history
 * writes the targets of each list for orioleglade-check.
 */

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "history.h"
#include "fake_http.h"
#include "fake_log.h"

#define MAX_READ_RECORDS 4096 /* records in one answer */
#define DEFAULT_HOSTS_LAG_MS 2000
#define STREAMS_PATH "/v1/streams/"

struct options {
	uint16_t port;
	const char *name;
	const char *hosts;
	uint32_t lag_ms;
	const char *history;
};

/* A host list and the time from which it is shown. */
struct host_list {
	ogl_time from;
	json_t *hosts;
};

struct platform {
	struct fake_log *log;
	struct fake_http *http;
	struct ogl_history *history; /* NULL: not written */
	GQueue lists; /* of struct host_list; the first is shown now */
	ogl_time hosts_lag;
	bool hosts_down;
	uint64_t appends;      /* records appended, over all streams */
	uint64_t rate_limited; /* appends refused by the rate limit */
};

static const struct argp_option argp_options[] = {
    {"port", 'p', "N", 0, "port; 0 takes a free one", 0},
    {"name", 'n', "NAME", 0, "name shown with the port", 0},
    {"hosts", 'h', "FILE", 0, "list of hosts (HostList JSON) at the start", 0},
    {"lag-ms", 'l', "N", 0, "age at which a new host list is shown", 0},
    {"history", 'H', "FILE", 0, "write what is listed to it", 0}, {0}};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case 'p':
		o->port = (uint16_t)strtoul(arg, NULL, 10);
		return 0;
	case 'n':
		o->name = arg;
		return 0;
	case 'h':
		o->hosts = arg;
		return 0;
	case 'l':
		o->lag_ms = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 'H':
		o->history = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void
list_free(void *p)
{
	struct host_list *l = p;

	json_decref(l->hosts);
	g_free(l);
}

static void
record_list(struct ogl_history *h, const json_t *hosts, ogl_time from)
{
	json_t *host;
	size_t i;

	json_array_foreach(hosts, i, host)
	{
		struct history_event ev = {.type = HISTORY_LISTED, .at = from};

		ev.u.listed.target =
		    json_string_value(json_object_get(host, "name"));
		ev.u.listed.leaving =
		    json_is_true(json_object_get(host, "leaving"));
		ogl_history_add(h, &ev);
	}
}

/* Queues a list to be shown from a time on; takes ownership of the list. */
static void
list_add(struct platform *p, json_t *hosts, ogl_time from)
{
	struct host_list *l = g_new(struct host_list, 1);

	l->from = from;
	l->hosts = hosts;
	g_queue_push_tail(&p->lists, l);
	if (p->history != NULL)
		record_list(p->history, hosts, from);
}

/* The list shown now; a borrowed reference. */
static json_t *
list_now(struct platform *p, ogl_time now)
{
	struct host_list *next;
	struct host_list *l;

	while ((next = g_queue_peek_nth(&p->lists, 1)) != NULL &&
	       next->from <= now)
		list_free(g_queue_pop_head(&p->lists));
	l = g_queue_peek_head(&p->lists);
	return l->hosts;
}

static enum fake_http_next
serve_hosts(struct platform *p, struct fake_http_call *c, ogl_time now)
{
	c->delay = fake_log_script(p->log)->answer_delay;
	if (p->hosts_down)
		return fake_http_text(c, 503, g_strdup("outage\n"));
	return fake_http_json(
	    c, 200, json_pack("{s:O}", "hosts", list_now(p, now)));
}

static enum fake_http_next
serve_append(struct platform *p, const char *stream, struct fake_http_call *c,
    ogl_time now)
{
	struct fake_log_script *k = fake_log_script(p->log);
	enum fake_log_result r;
	uint64_t at = 0;

	c->delay = k->answer_delay;
	r = fake_log_append(p->log, stream, c->body, now, &at);
	if (r == FAKE_LOG_OK || r == FAKE_LOG_LOST)
		fake_http_wake(p->http);
	p->appends += r == FAKE_LOG_OK || r == FAKE_LOG_LOST;
	p->rate_limited += r == FAKE_LOG_LIMITED;
	switch (r) {
	case FAKE_LOG_LIMITED:
		return fake_http_text(c, 429, g_strdup("too many appends\n"));
	case FAKE_LOG_DOWN:
		return fake_http_text(c, 503, g_strdup("outage\n"));
	case FAKE_LOG_LOST:
		/* During an outage the caller gets an error instead. */
		c->drop = !k->outage;
		return fake_http_text(c, 503, g_strdup("outage\n"));
	default:
		return fake_http_json(
		    c, 200, json_pack("{s:I}", "offset", (json_int_t)at));
	}
}

static json_t *
entries_json(const struct ogl_log_entry *entries, size_t n)
{
	json_t *list = json_array();

	for (size_t i = 0; i < n; i++) {
		char *data = g_base64_encode(
		    (const guchar *)entries[i].data.p, entries[i].data.n);

		json_array_append_new(
		    list, json_pack("{s:I, s:s}", "offset",
			      (json_int_t)entries[i].offset, "data", data));
		g_free(data);
	}
	return list;
}

static enum fake_http_next
serve_records(struct platform *p, const char *stream, struct fake_http_call *c,
    ogl_time now)
{
	struct ogl_log_entry entries[MAX_READ_RECORDS];
	uint64_t from = fake_http_query_number(c, "from", 0);
	uint64_t max = fake_http_query_number(c, "max", MAX_READ_RECORDS);
	uint64_t wait_ms = fake_http_query_number(c, "wait_ms", 0);
	uint64_t first;
	uint64_t next;
	size_t n;

	c->delay = fake_log_script(p->log)->answer_delay;
	if (fake_log_read(p->log, stream, from, now, &first, &next, entries,
		MIN(max, MAX_READ_RECORDS), &n) != FAKE_LOG_OK)
		return fake_http_text(c, 503, g_strdup("outage\n"));
	if (n == 0 && wait_ms > 0 && !c->wait_over) {
		if (c->max_wait == 0)
			c->max_wait = (ogl_time)MIN(wait_ms, 60000) * OGL_MS;
		return FAKE_HTTP_WAIT;
	}
	return fake_http_json(c, 200,
	    json_pack("{s:I, s:I, s:o}", "first", (json_int_t)first, "next",
		(json_int_t)next, "records", entries_json(entries, n)));
}

static enum fake_http_next
stream_call(struct platform *p, struct fake_http_call *c, ogl_time now)
{
	const char *name = c->path + strlen(STREAMS_PATH);
	const char *slash = strrchr(name, '/');
	enum fake_http_next next;
	char *stream;

	if (slash == NULL || slash == name)
		return fake_http_text(c, 404, g_strdup("no such path\n"));
	stream = g_strndup(name, (gsize)(slash - name));
	if (strcmp(slash, "/append") == 0 && strcmp(c->method, "POST") == 0)
		next = serve_append(p, stream, c, now);
	else if (strcmp(slash, "/records") == 0)
		next = serve_records(p, stream, c, now);
	else
		next = fake_http_text(c, 404, g_strdup("no such path\n"));
	g_free(stream);
	return next;
}

/* Handles "hosts" here and passes the other commands to fake_ctl_answer. */
static enum fake_http_next
ctl(struct platform *p, struct fake_http_call *c, ogl_time now)
{
	struct fake_log_script *k = fake_log_script(p->log);
	const struct fake_ctl table[] = {
	    {"outage", FAKE_CTL_FLAG, &k->outage},
	    {"hosts_down", FAKE_CTL_FLAG, &p->hosts_down},
	    {"lose", FAKE_CTL_COUNT, &k->lose_answers},
	    {"slow_ms", FAKE_CTL_MS, &k->answer_delay},
	    {"rate", FAKE_CTL_REAL, &k->appends_per_s},
	    {"keep_count", FAKE_CTL_COUNT64, &k->keep_count},
	    {"keep_age_ms", FAKE_CTL_MS, &k->keep_age},
	    {"lag_ms", FAKE_CTL_MS, &p->hosts_lag},
	};
	json_t *o = json_loadb(c->body.p, c->body.n, 0, NULL);
	json_t *list = json_incref(json_object_get(o, "hosts"));
	enum fake_http_next next;
	char *rest;

	if (list != NULL && !json_is_array(list)) {
		json_decref(list);
		json_decref(o);
		return fake_http_text(c, 422, g_strdup("hosts: no list\n"));
	}
	json_object_del(o, "hosts");
	rest = json_dumps(o, JSON_COMPACT | JSON_ENCODE_ANY);
	c->body = ogl_str(rest);
	next = fake_ctl_answer(c, table, G_N_ELEMENTS(table));
	if (list != NULL && c->status == 200)
		list_add(p, json_incref(list), now + p->hosts_lag);
	fake_http_wake(p->http);
	free(rest);
	json_decref(list);
	json_decref(o);
	return next;
}

static enum fake_http_next
counts(const struct platform *p, struct fake_http_call *c)
{
	return fake_http_json(c, 200,
	    json_pack("{s:I, s:I}", "appends", (json_int_t)p->appends,
		"limited", (json_int_t)p->rate_limited));
}

static enum fake_http_next
handle(void *ctx, struct fake_http_call *c, ogl_time now)
{
	if (g_str_has_prefix(c->path, STREAMS_PATH))
		return stream_call(ctx, c, now);
	if (strcmp(c->path, "/v1/hosts") == 0)
		return serve_hosts(ctx, c, now);
	if (strcmp(c->path, "/ctl") == 0)
		return ctl(ctx, c, now);
	if (strcmp(c->path, "/counts") == 0)
		return counts(ctx, c);
	return fake_http_text(c, 404, g_strdup("no such path\n"));
}

/* Reads the "hosts" list of a file; the list is empty if file is NULL.  Prints
 * a message and returns NULL if the file has no such list. */
static json_t *
hosts_load(const char *file)
{
	json_error_t e;
	json_t *list;
	json_t *o;

	if (file == NULL)
		return json_array();
	o = json_load_file(file, 0, &e);
	list = json_incref(json_object_get(o, "hosts"));
	json_decref(o);
	if (json_is_array(list))
		return list;
	fprintf(stderr, "platform: %s holds no list of hosts\n", file);
	json_decref(list);
	return NULL;
}

int
main(int argc, char **argv)
{
	struct options o = {0, "platform", NULL, DEFAULT_HOSTS_LAG_MS, NULL};
	const struct argp argp = {argp_options, parse_option, NULL,
	    "Stand-in for the platform: log and host list.", NULL, NULL, NULL};
	struct ev_loop *loop = ev_default_loop(0);
	struct platform p = {.log = fake_log_init(), .lists = G_QUEUE_INIT};
	json_t *list = NULL;
	int rc = 1;

	if (argp_parse(&argp, argc, argv, 0, NULL, &o) != 0)
		goto out;
	list = hosts_load(o.hosts);
	if (list == NULL)
		goto out;
	if (o.history != NULL) {
		p.history = ogl_history_open(o.history);
		if (p.history == NULL)
			goto out;
	}
	list_add(&p, list, 0);
	p.hosts_lag = (ogl_time)o.lag_ms * OGL_MS;
	p.http = fake_http_start(loop, o.port, handle, &p);
	if (p.http == NULL) {
		fprintf(stderr, "platform: port %u can't be had\n", o.port);
		goto out;
	}
	printf("port %u %s\n", fake_http_port(p.http), o.name);
	fflush(stdout);
	fake_http_serve(loop);
	rc = 0;
out:
	fake_http_stop(p.http);
	fake_log_end(p.log);
	ogl_history_end(p.history);
	g_queue_clear_full(&p.lists, list_free);
	ev_loop_destroy(loop);
	return rc;
}
