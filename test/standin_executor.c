/*
 * Stand-in for executors.  One process serves any number of them, each on its
 * own port.  POST /run runs a request, GET /counts returns how often each body
 * ran, and POST /ctl sets the faults named in ctl().  POST /v1/requests is a
 * call of the nodes' API, answered as by a minimal node, so that the load
 * driver can be tested alone.  --history writes the runs for
 * orioleglade-check.
 *
 * On SIGTERM it refuses new requests, finishes the running ones and exits.
 */

#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "history.h"
#include "fake_feed.h"
#include "fake_http.h"

#define DRAIN_TIMEOUT_S 10.0 /* longest wait for running requests on shutdown */

struct options {
	uint32_t count;
	uint16_t port;
	uint32_t slots;
	const char *name;
	const char *history;
};

struct server {
	struct fake_exec *exec;
	struct ogl_history *history; /* NULL: not written */
	struct fake_http *http;
	char *name;
};

static const struct argp_option argp_options[] = {
    {"count", 'c', "N", 0, "executors to serve", 0},
    {"port", 'p', "N", 0, "port of the first; 0 takes free ones", 0},
    {"base-port", 'b', "N", OPTION_ALIAS, NULL, 0},
    {"slots", 's', "N", 0, "requests at a time", 0},
    {"name", 'n', "NAME", 0, "name, or its beginning for several", 0},
    {"history", 'H', "FILE", 0, "write what runs to it", 0}, {0}};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case 'c':
		o->count = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 'p':
	case 'b':
		o->port = (uint16_t)strtoul(arg, NULL, 10);
		return 0;
	case 's':
		o->slots = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 'n':
		o->name = arg;
		return 0;
	case 'H':
		o->history = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static enum fake_http_next
serve_run(struct server *s, struct fake_http_call *c, ogl_time now)
{
	const char *token = fake_http_header(c, "Ogl-Token");
	struct fake_exec_answer a;
	char text[32];

	fake_exec_run(s->exec, c->body, fake_http_header(c, "Ogl-Team"),
	    fake_http_header(c, "Ogl-Kind"), strtoull(token, NULL, 10), now,
	    &a);
	if (s->history != NULL)
		fake_record_exec(s->history, s->name, c->body,
		    fake_http_header(c, "Ogl-Team"),
		    fake_http_header(c, "Ogl-Kind"), now, &a);
	if (!a.accepted)
		fake_http_set(c, "Ogl-Verdict", "not_run");
	snprintf(text, sizeof(text), "%" PRIu64, a.token);
	fake_http_set(c, "Ogl-Token", text);
	c->status = a.status;
	c->answer = a.body;
	c->n = a.n;
	c->sent_bytes = a.sent_bytes;
	c->drop = a.lost;
	c->delay = a.answer_at - now;
	return FAKE_HTTP_ANSWER;
}

/* Acts as a node without state: it does not retry and ignores request ids. */
static enum fake_http_next
serve_node_request(struct server *s, struct fake_http_call *c, ogl_time now)
{
	serve_run(s, c, now);
	if (c->status == 200)
		fake_http_set(c, "Ogl-Verdict", "ran");
	else if (c->status == 500)
		fake_http_set(c, "Ogl-Verdict", "may_have_run");
	return FAKE_HTTP_ANSWER;
}

static void
add_count(void *ctx, struct ogl_str body, uint64_t runs)
{
	char *text = g_utf8_make_valid(body.p, (gssize)body.n);

	json_array_append_new(ctx,
	    json_pack("{s:s, s:I}", "body", text, "runs", (json_int_t)runs));
	g_free(text);
}

static enum fake_http_next
counts(struct server *s, struct fake_http_call *c)
{
	json_t *list = json_array();

	fake_exec_each_run_count(s->exec, add_count, list);
	return fake_http_json(
	    c, 200, json_pack("{s:s, s:o}", "name", s->name, "counts", list));
}

static enum fake_http_next
ctl(struct server *s, struct fake_http_call *c)
{
	struct fake_exec_script *k = fake_exec_script(s->exec);
	const struct fake_ctl table[] = {
	    {"fail_all", FAKE_CTL_FLAG, &k->fail_all},
	    {"leaving", FAKE_CTL_FLAG, &k->leaving},
	    {"lose", FAKE_CTL_COUNT, &k->lose_answers},
	    {"cut", FAKE_CTL_COUNT, &k->truncate_answers},
	    {"cross", FAKE_CTL_COUNT, &k->wrong_tokens},
	    {"late_ms", FAKE_CTL_MS, &k->answer_delay},
	};

	return fake_ctl_answer(c, table, G_N_ELEMENTS(table));
}

static enum fake_http_next
handle(void *ctx, struct fake_http_call *c, ogl_time now)
{
	if (strcmp(c->path, "/run") == 0)
		return serve_run(ctx, c, now);
	if (strcmp(c->path, "/v1/requests") == 0)
		return serve_node_request(ctx, c, now);
	if (strcmp(c->path, "/counts") == 0)
		return counts(ctx, c);
	if (strcmp(c->path, "/ctl") == 0)
		return ctl(ctx, c);
	return fake_http_text(c, 404, g_strdup("no such path\n"));
}

static bool
server_start(
    struct server *s, const struct options *o, struct ev_loop *loop, uint32_t i)
{
	uint16_t port = o->port == 0 ? 0 : (uint16_t)(o->port + i);

	s->name = o->count == 1 ? g_strdup(o->name)
				: g_strdup_printf("%s%04u", o->name, i + 1);
	s->exec = fake_exec_init(s->name, o->slots);
	s->http = fake_http_start(loop, port, handle, s);
	if (s->http == NULL) {
		fprintf(stderr, "executor: port %u can't be had\n", port);
		return false;
	}
	printf("port %u %s\n", fake_http_port(s->http), s->name);
	return true;
}

static void
check_drained(struct ev_loop *loop, ev_timer *t, int events)
{
	GPtrArray *servers = t->data;
	size_t pending = 0;

	(void)events;
	for (guint i = 0; i < servers->len; i++) {
		struct server *s = g_ptr_array_index(servers, i);

		pending += fake_http_pending(s->http);
	}
	if (pending == 0)
		ev_break(loop, EVBREAK_ALL);
}

static void
on_drain_timeout(struct ev_loop *loop, ev_timer *t, int events)
{
	(void)t;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void
drain(struct ev_loop *loop, GPtrArray *servers)
{
	ev_timer check;
	ev_timer end;

	for (guint i = 0; i < servers->len; i++) {
		struct server *s = g_ptr_array_index(servers, i);

		fake_exec_script(s->exec)->leaving = true;
	}
	ev_timer_init(&check, check_drained, 0, 0.01);
	check.data = servers;
	ev_timer_init(&end, on_drain_timeout, DRAIN_TIMEOUT_S, 0);
	ev_timer_start(loop, &check);
	ev_timer_start(loop, &end);
	ev_run(loop, 0);
	ev_timer_stop(loop, &check);
	ev_timer_stop(loop, &end);
}

static void
server_free(void *p)
{
	struct server *s = p;

	fake_http_stop(s->http);
	fake_exec_end(s->exec);
	g_free(s->name);
	g_free(s);
}

int
main(int argc, char **argv)
{
	struct options o = {1, 0, FAKE_EXEC_SLOTS, "e", NULL};
	const struct argp argp = {argp_options, parse_option, NULL,
	    "Stand-in for executors of short requests.", NULL, NULL, NULL};
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
	if (ok) {
		fake_http_serve(loop);
		drain(loop, servers);
	}
	g_ptr_array_free(servers, TRUE);
	ogl_history_end(history);
	ev_loop_destroy(loop);
	return ok ? 0 : 1;
}
