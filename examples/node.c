/*
 * A whole node in a program of one's own.
 *
 * The node asks for I/O by actions and hears what came of it by events.  Here
 * the platform's log is an array, the host list names one executor, and time
 * jumps to the node's next wake, so the whole run takes no real time.  An
 * operator makes a team and a key, and a caller of that team has a request
 * run.
 */

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "orioleglade.h"

#define STEPS_MAX 10000
#define EXECUTOR "127.0.0.1:1"

struct world {
	struct ogl_node *node;
	struct ogl_actions out;
	ogl_time now;
	GHashTable *streams; /* name -> GPtrArray of GBytes, by offset */
	uint64_t last_token;
	/* The last reply. */
	uint64_t replied;
	uint32_t status;
	enum ogl_verdict verdict;
	char *body;
};

static struct ogl_str
bytes_str(GBytes *b)
{
	gsize n = 0;
	const char *p = b != NULL ? g_bytes_get_data(b, &n) : NULL;

	return (struct ogl_str){p, n};
}

static void
step(struct world *w, const struct ogl_event *ev)
{
	ogl_node_step(w->node, ev, w->now, &w->out);
}

/* ---- what the node asks for ------------------------------------------- */

static GPtrArray *
stream(struct world *w, const char *name)
{
	GPtrArray *s = g_hash_table_lookup(w->streams, name);

	if (s == NULL) {
		s = g_ptr_array_new_with_free_func(
		    (GDestroyNotify)g_bytes_unref);
		g_hash_table_insert(w->streams, g_strdup(name), s);
	}
	return s;
}

static void
log_append(struct world *w, const struct ogl_action *a, struct ogl_event *ev)
{
	GPtrArray *s = stream(w, a->name);

	ev->type = OGL_EV_LOG_APPENDED;
	ev->u.appended.offset = s->len;
	g_ptr_array_add(s, g_bytes_ref(a->data));
	step(w, ev);
}

static void
log_read(struct world *w, const struct ogl_action *a, struct ogl_event *ev)
{
	GPtrArray *s = stream(w, a->name);
	struct ogl_log_entry *entries;
	size_t n = a->from < s->len ? s->len - a->from : 0;

	entries = g_new0(struct ogl_log_entry, n + 1);
	for (size_t i = 0; i < n; i++) {
		entries[i].offset = a->from + i;
		entries[i].data = bytes_str(g_ptr_array_index(s, a->from + i));
	}
	ev->type = OGL_EV_LOG_READ;
	ev->u.read.next = s->len;
	ev->u.read.entries = entries;
	ev->u.read.n = n;
	step(w, ev);
	g_free(entries);
}

static void
hosts(struct world *w, struct ogl_event *ev)
{
	Ogl__HostList list = OGL__HOST_LIST__INIT;
	Ogl__Host host = OGL__HOST__INIT;
	Ogl__Host *all[] = {&host};

	host.name = (char *)"e1";
	host.addr = (char *)EXECUTOR;
	host.role = OGL__HOST_ROLE__executor;
	host.zone = (char *)"z1";
	host.rack = (char *)"r1";
	list.n_hosts = 1;
	list.hosts = all;
	ev->type = OGL_EV_HOSTS;
	ev->u.hosts = &list;
	step(w, ev);
}

/* The executor: answers with what it was sent. */
static void
execute(struct world *w, const struct ogl_action *a, struct ogl_event *ev)
{
	printf("%s runs a request of %s\n", a->addr, a->name);
	ev->type = OGL_EV_EXEC;
	ev->u.exec.status = 200;
	ev->u.exec.body = bytes_str(a->data);
	step(w, ev);
}

static void
reply(struct world *w, const struct ogl_action *a)
{
	w->replied = a->token;
	w->status = a->status;
	w->verdict = a->verdict;
	g_free(w->body);
	w->body = ogl_str_dup(bytes_str(a->data));
}

static void
serve(struct world *w, const struct ogl_action *a)
{
	struct ogl_event ev = {.token = a->token, .io = OGL_IO_OK};

	switch (a->type) {
	case OGL_ACT_LOG_APPEND:
		log_append(w, a, &ev);
		break;
	case OGL_ACT_LOG_READ:
		log_read(w, a, &ev);
		break;
	case OGL_ACT_HOSTS:
		hosts(w, &ev);
		break;
	case OGL_ACT_EXEC:
		execute(w, a, &ev);
		break;
	case OGL_ACT_REPLY:
		reply(w, a);
		break;
	default: /* no peers, no workers, no log lines here */
		break;
	}
}

/* ---- calls ------------------------------------------------------------ */

static void
serve_all(struct world *w)
{
	struct ogl_action *a;

	while ((a = ogl_actions_pop(&w->out)) != NULL) {
		serve(w, a);
		ogl_action_free(a);
	}
}

static void
next_step(struct world *w)
{
	const struct ogl_event timer = {.type = OGL_EV_TIMER};

	w->now = MAX(w->now, ogl_node_next_wake(w->node));
	step(w, &timer);
	serve_all(w);
}

/* Sends a call and lets time pass until it is answered as expected. */
static bool
call(struct world *w, const char *path, const char *key, const char *body,
    uint32_t status)
{
	struct ogl_event ev = {.type = OGL_EV_CALL};

	ev.token = ++w->last_token;
	ev.u.call.method = ogl_str("POST");
	ev.u.call.path = ogl_str(path);
	ev.u.call.key = ogl_str(key);
	ev.u.call.body = ogl_str(body);
	ev.u.call.idempotent = true;
	step(w, &ev);
	serve_all(w);
	for (int i = 0; i < STEPS_MAX && w->replied != ev.token; i++)
		next_step(w);
	printf("POST %s: %u %s %s\n", path, w->status,
	    ogl_verdict_name(w->verdict), w->body);
	return w->replied == ev.token && w->status == status;
}

/* The text of "key" in the last reply; g_free. */
static char *
key_of_reply(const struct world *w)
{
	json_t *j = json_loads(w->body, 0, NULL);
	char *key = g_strdup(json_string_value(json_object_get(j, "key")));

	json_decref(j);
	return key;
}

static bool
run(struct world *w, const char *operator_key)
{
	bool ok = false;
	char *key = NULL;

	for (int i = 0; i < STEPS_MAX && !ogl_node_ready(w->node, w->now); i++)
		next_step(w);
	if (!call(w, "/v1/settings", operator_key,
		"{\"base_version\":0,\"changes\":"
		"[{\"path\":\"teams/north\",\"value\":\"{}\"}]}",
		200) ||
	    !call(w, "/v1/keys", operator_key, "{\"team\":\"north\"}", 201))
		goto out;
	key = key_of_reply(w);
	ok = key != NULL && call(w, "/v1/requests", key, "hello", 200) &&
	     w->verdict == OGL_RAN && strcmp(w->body, "hello") == 0;
out:
	g_free(key);
	return ok;
}

int
main(void)
{
	/* A real program takes these bytes from a random generator. */
	const uint8_t random[32] = {1, 2, 3};
	struct world w = {.now = 1000 * OGL_SEC};
	struct ogl_node_config config;
	GError *error = NULL;
	Ogl__Edit *edit;
	char key[80], id[32];
	bool ok = false;

	ogl_actions_init(&w.out);
	w.streams = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
	ogl_node_config_default(&config);
	config.name = "n1";
	config.addr = "127.0.0.1:2";
	config.zone = "z1";
	config.boot = 1;
	if (!ogl_key_make(random, "", key, &edit, id) ||
	    !ogl_key_hash(ogl_str(key), config.operator_hash))
		goto out;
	ogl__edit__free_unpacked(edit, NULL);
	w.node = ogl_node_init(&config, 1, w.now, &error);
	if (w.node == NULL) {
		fprintf(stderr, "%s\n", error->message);
		goto out;
	}
	ok = run(&w, key);
out:
	ogl_node_end(w.node);
	g_clear_error(&error);
	ogl_actions_clear(&w.out);
	g_hash_table_destroy(w.streams);
	g_free(w.body);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
