/*
 * orioleglade: the daemon that runs on an entry host.
 *
 * Exit status: 0 after a complete shutdown, 1 when it could not start or
 * could not end in time, 2 when the settings file is wrong.
 */

#include <argp.h>
#include <ev.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>

#include "config.h"
#include "dispatch.h"

#define LOG_PREFIX "daemon"
#define EXIT_SETTINGS 2

enum option_key {
	KEY_SETTINGS = 's',
	KEY_LOG_LEVEL = 'l',
	KEY_CHECK = 'c'
};

struct options {
	const char *settings;
	enum ogl_log_level level;
	bool has_level;
	bool check;
};

struct daemon {
	struct ev_loop *loop;
	struct ogl_logger *log;
	struct ogl_dispatch *dispatch;
	struct ogl_dispatch_parts parts;
	ev_signal term;
	ev_signal intr;
};

const char *argp_program_version = "orioleglade " OGL_VERSION;

static const struct argp_option option_list[] = {
    {"settings", KEY_SETTINGS, "FILE", 0, "read the settings from FILE", 0},
    {"check", KEY_CHECK, NULL, 0, "check the settings and exit", 0},
    {"log-level", KEY_LOG_LEVEL, "LEVEL", 0,
	"error, warn, info or debug; goes before the settings", 0},
    {0},
};

static error_t
on_option(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case KEY_SETTINGS:
		o->settings = arg;
		return 0;
	case KEY_CHECK:
		o->check = true;
		return 0;
	case KEY_LOG_LEVEL:
		o->has_level = ogl_log_level_parse(arg, &o->level);
		if (!o->has_level)
			argp_error(state, "no such log level: %s", arg);
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument: %s", arg);
		return 0;
	case ARGP_KEY_END:
		if (o->settings == NULL)
			argp_error(state, "--settings is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
    .options = option_list,
    .parser = on_option,
    .doc = "Runs one node of an orioleglade cell.",
};

static void
print_faults(const char *path, const struct ogl_faults *f)
{
	size_t i;

	for (i = 0; i < ogl_faults_count(f); i++)
		fprintf(stderr, "%s: %s: found %s, allowed: %s\n", path,
		    ogl_faults_path(f, i), ogl_faults_value(f, i),
		    ogl_faults_allowed(f, i));
}

static void
on_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	struct daemon *d = w->data;

	(void)loop;
	(void)events;
	ogl_dispatch_stop(d->dispatch);
}

static void
watch_signal(struct daemon *d, ev_signal *w, int signum)
{
	ev_signal_init(w, on_signal, signum);
	w->data = d;
	ev_signal_start(d->loop, w);
}

static bool
make_parts(struct daemon *d, const struct ogl_config *c, GError **error)
{
	struct ogl_sink sink = ogl_dispatch_sink(d->dispatch);
	struct ogl_http_in_limits limits;
	uint64_t seed;

	randombytes_buf(&seed, sizeof seed);
	d->parts.node =
	    ogl_node_init(&c->node, seed, ogl_dispatch_now(d->dispatch), error);
	if (d->parts.node == NULL)
		return false;
	d->parts.http_out =
	    ogl_http_out_init(d->loop, c->platform, sink, d->log);
	d->parts.peer =
	    ogl_peer_init(d->loop, c->listen_peer, sink, d->log, error);
	if (d->parts.peer == NULL)
		return false;
	ogl_http_in_limits_default(&limits);
	d->parts.http_in = ogl_http_in_init(d->loop, c->listen_http, &limits,
	    sink, ogl_dispatch_http_ops(d->dispatch), d->log, error);
	return d->parts.http_in != NULL;
}

static int
serve(const struct ogl_config *c, enum ogl_log_level level)
{
	struct daemon d = {0};
	GError *error = NULL;
	int status = EXIT_FAILURE;

	d.log = ogl_logger_init(stderr, level);
	d.loop = ev_default_loop(EVFLAG_AUTO);
	d.dispatch = ogl_dispatch_init(d.loop, d.log);
	if (!make_parts(&d, c, &error)) {
		ogl_log(d.log, OGL_LOG_ERROR, LOG_PREFIX, "Can't start: %s.",
		    error->message);
		goto out;
	}
	watch_signal(&d, &d.term, SIGTERM);
	watch_signal(&d, &d.intr, SIGINT);
	ogl_dispatch_begin(d.dispatch, &d.parts);
	ogl_log(d.log, OGL_LOG_INFO, LOG_PREFIX,
	    "Node %s serves callers on port %u and peers on port %u.", c->name,
	    ogl_http_in_port(d.parts.http_in), ogl_peer_port(d.parts.peer));
	ev_run(d.loop, 0);
	if (ogl_dispatch_complete(d.dispatch))
		status = EXIT_SUCCESS;
out:
	g_clear_error(&error);
	ogl_http_in_end(d.parts.http_in);
	ogl_http_out_end(d.parts.http_out);
	ogl_peer_end(d.parts.peer);
	ogl_dispatch_end(d.dispatch);
	if (d.parts.node != NULL)
		ogl_node_end(d.parts.node);
	ogl_logger_end(d.log);
	return status;
}

int
main(int argc, char **argv)
{
	struct options o = {0};
	struct ogl_faults *faults = ogl_faults_new();
	struct ogl_config *c = NULL;
	int status = EXIT_FAILURE;

	argp_parse(&argp, argc, argv, 0, NULL, &o);
	if (sodium_init() < 0)
		goto out;
	signal(SIGPIPE, SIG_IGN);
	c = ogl_config_read(o.settings, (uint64_t)ogl_clock_real(), faults);
	if (c == NULL) {
		print_faults(o.settings, faults);
		status = EXIT_SETTINGS;
		goto out;
	}
	if (o.check) {
		puts("The settings are in order.");
		status = EXIT_SUCCESS;
		goto out;
	}
	status = serve(c, o.has_level ? o.level : c->log_level);
out:
	ogl_config_free(c);
	ogl_faults_free(faults);
	return status;
}
