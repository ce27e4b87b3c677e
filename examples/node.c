/*
 * Embeds a complete node in a program.
 *
 * The node requests I/O with actions and gets the results as events.  In this
 * example the platform's log is an array, the list of hosts has one executor,
 * and time advances to the node's next wake-up, so the program does not wait.
 * An operator creates a team and a key, and a caller of that team has a request
 * run.
 */

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "orioleglade.h"

#define STEPS_MAX 10000
#define EXECUTOR "127.0.0.1:1"

struct simulation {
	struct ogl_node *node;
	struct ogl_actions out;
	ogl_time now;
	GHashTable *streams; /* name -> GPtrArray of GBytes, by offset */
	uint64_t last_token;
	/* The last reply. */
	uint64_t replied_token;
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
step(struct simulation *sim, const struct ogl_event *ev)
{
	ogl_node_step(sim->node, ev, sim->now, &sim->out);
}

/* ---- actions of the node ---------------------------------------------- */

static GPtrArray *
stream(struct simulation *sim, const char *name)
{
	GPtrArray *s = g_hash_table_lookup(sim->streams, name);

	if (s == NULL) {
		s = g_ptr_array_new_with_free_func(
		    (GDestroyNotify)g_bytes_unref);
		g_hash_table_insert(sim->streams, g_strdup(name), s);
	}
	return s;
}

static void
log_append(
    struct simulation *sim, const struct ogl_action *a, struct ogl_event *ev)
{
	GPtrArray *s = stream(sim, a->name);

	ev->type = OGL_EV_LOG_APPENDED;
	ev->u.appended.offset = s->len;
	g_ptr_array_add(s, g_bytes_ref(a->data));
	step(sim, ev);
}

static void
log_read(
    struct simulation *sim, const struct ogl_action *a, struct ogl_event *ev)
{
	GPtrArray *s = stream(sim, a->name);
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
	step(sim, ev);
	g_free(entries);
}

static void
list_hosts(struct simulation *sim, struct ogl_event *ev)
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
	step(sim, ev);
}

/* The executor; its answer is the body of the request. */
static void
execute(
    struct simulation *sim, const struct ogl_action *a, struct ogl_event *ev)
{
	printf("%s runs a request of %s\n", a->addr, a->name);
	ev->type = OGL_EV_EXEC;
	ev->u.exec.status = 200;
	ev->u.exec.body = bytes_str(a->data);
	step(sim, ev);
}

static void
reply(struct simulation *sim, const struct ogl_action *a)
{
	sim->replied_token = a->token;
	sim->status = a->status;
	sim->verdict = a->verdict;
	g_free(sim->body);
	sim->body = ogl_str_dup(bytes_str(a->data));
}

static void
serve(struct simulation *sim, const struct ogl_action *a)
{
	struct ogl_event ev = {.token = a->token, .io = OGL_IO_OK};

	switch (a->type) {
	case OGL_ACT_LOG_APPEND:
		log_append(sim, a, &ev);
		break;
	case OGL_ACT_LOG_READ:
		log_read(sim, a, &ev);
		break;
	case OGL_ACT_HOSTS:
		list_hosts(sim, &ev);
		break;
	case OGL_ACT_EXEC:
		execute(sim, a, &ev);
		break;
	case OGL_ACT_REPLY:
		reply(sim, a);
		break;
	default: /* there are no peers, workers or log lines */
		break;
	}
}

/* ---- calls ------------------------------------------------------------ */

static void
serve_all(struct simulation *sim)
{
	struct ogl_action *a;

	while ((a = ogl_actions_pop(&sim->out)) != NULL) {
		serve(sim, a);
		ogl_action_free(a);
	}
}

static void
next_step(struct simulation *sim)
{
	const struct ogl_event timer = {.type = OGL_EV_TIMER};

	sim->now = MAX(sim->now, ogl_node_next_wake(sim->node));
	step(sim, &timer);
	serve_all(sim);
}

/* Sends a call and advances time until it is answered.  Returns whether the
 * answer has the expected status. */
static bool
call(struct simulation *sim, const char *path, const char *key,
    const char *body, uint32_t status)
{
	struct ogl_event ev = {.type = OGL_EV_CALL};

	ev.token = ++sim->last_token;
	ev.u.call.method = ogl_str("POST");
	ev.u.call.path = ogl_str(path);
	ev.u.call.key = ogl_str(key);
	ev.u.call.body = ogl_str(body);
	ev.u.call.idempotent = true;
	step(sim, &ev);
	serve_all(sim);
	for (int i = 0; i < STEPS_MAX && sim->replied_token != ev.token; i++)
		next_step(sim);
	printf("POST %s: %u %s %s\n", path, sim->status,
	    ogl_verdict_name(sim->verdict), sim->body);
	return sim->replied_token == ev.token && sim->status == status;
}

/* Returns the value of "key" in the last reply.  The caller frees it with
 * g_free. */
static char *
key_of_reply(const struct simulation *sim)
{
	json_t *j = json_loads(sim->body, 0, NULL);
	char *key = g_strdup(json_string_value(json_object_get(j, "key")));

	json_decref(j);
	return key;
}

static bool
run(struct simulation *sim, const char *operator_key)
{
	bool ok = false;
	char *key = NULL;

	for (int i = 0; i < STEPS_MAX && !ogl_node_ready(sim->node, sim->now);
	     i++)
		next_step(sim);
	if (!call(sim, "/v1/settings", operator_key,
		"{\"base_version\":0,\"changes\":"
		"[{\"path\":\"teams/north\",\"value\":\"{}\"}]}",
		200) ||
	    !call(sim, "/v1/keys", operator_key, "{\"team\":\"north\"}", 201))
		goto out;
	key = key_of_reply(sim);
	ok = key != NULL && call(sim, "/v1/requests", key, "hello", 200) &&
	     sim->verdict == OGL_RAN && strcmp(sim->body, "hello") == 0;
out:
	g_free(key);
	return ok;
}

int
main(void)
{
	/* A real program has to use random bytes. */
	const uint8_t random[32] = {1, 2, 3};
	struct simulation sim = {.now = 1000 * OGL_SEC};
	struct ogl_node_config config;
	GError *error = NULL;
	Ogl__Edit *edit;
	char key[80], id[32];
	bool ok = false;

	ogl_actions_init(&sim.out);
	sim.streams = g_hash_table_new_full(
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
	sim.node = ogl_node_init(&config, 1, sim.now, &error);
	if (sim.node == NULL) {
		fprintf(stderr, "%s\n", error->message);
		goto out;
	}
	ok = run(&sim, key);
out:
	ogl_node_end(sim.node);
	g_clear_error(&error);
	ogl_actions_clear(&sim.out);
	g_hash_table_destroy(sim.streams);
	g_free(sim.body);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
