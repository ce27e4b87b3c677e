/*
 * orioleglade-cell: runs a node of a cell on the users' platform.
 *
 * Exit status: 0 after a shutdown, 1 when it could not start, 2 when the
 * settings file is wrong.
 */

#include <argp.h>
#include <ev.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>

#include "cell_host.h"

#define EXIT_SETTINGS 2

enum option_key {
	KEY_SETTINGS = 's',
	KEY_CHECK = 'c'
};

struct options {
	const char *settings;
	bool check;
};

const char *argp_program_version = "orioleglade-cell " OGL_VERSION;

static const struct argp_option option_list[] = {
    {"settings", KEY_SETTINGS, "FILE", 0, "read the settings from FILE", 0},
    {"check", KEY_CHECK, NULL, 0, "check the settings and exit", 0},
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
    .doc = "Runs one node of an orioleglade cell on the platform.",
};

static void
on_stop_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	(void)loop;
	(void)events;
	ogl_cell_host_stop(w->data);
}

static void
on_reload_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	(void)loop;
	(void)events;
	ogl_cell_host_reload(w->data);
}

static int
serve(const char *path, const struct platform_settings *s)
{
	struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
	GError *error = NULL;
	struct ogl_cell_host *h = ogl_cell_host_init(loop, path, s, &error);
	ev_signal term, intr, hup;

	if (h == NULL) {
		fprintf(stderr, "can't start: %s\n", error->message);
		g_clear_error(&error);
		return EXIT_FAILURE;
	}
	ev_signal_init(&term, on_stop_signal, SIGTERM);
	ev_signal_init(&intr, on_stop_signal, SIGINT);
	ev_signal_init(&hup, on_reload_signal, SIGHUP);
	term.data = h;
	intr.data = h;
	hup.data = h;
	ev_signal_start(loop, &term);
	ev_signal_start(loop, &intr);
	ev_signal_start(loop, &hup);
	ogl_cell_host_begin(h);
	ev_run(loop, 0);
	ogl_cell_host_end(h);
	return EXIT_SUCCESS;
}

static void
print_faults(const char *path, const struct ogl_faults *f)
{
	size_t i;

	for (i = 0; i < ogl_faults_count(f); i++)
		fprintf(stderr, "%s: %s: found %s, allowed: %s\n", path,
		    ogl_faults_path(f, i), ogl_faults_value(f, i),
		    ogl_faults_allowed(f, i));
}

int
main(int argc, char **argv)
{
	struct options o = {0};
	struct ogl_faults *faults = ogl_faults_new();
	struct platform_settings *s = NULL;
	int status = EXIT_FAILURE;

	argp_parse(&argp, argc, argv, 0, NULL, &o);
	if (sodium_init() < 0)
		goto out;
	signal(SIGPIPE, SIG_IGN);
	s = platform_settings_read(o.settings, faults);
	if (s == NULL) {
		print_faults(o.settings, faults);
		status = EXIT_SETTINGS;
		goto out;
	}
	if (o.check) {
		puts("The settings are in order.");
		status = EXIT_SUCCESS;
		goto out;
	}
	status = serve(o.settings, s);
out:
	platform_settings_free(s);
	ogl_faults_free(faults);
	return status;
}
