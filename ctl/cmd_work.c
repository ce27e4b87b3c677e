/*
 * Commands of callers: jobs and short requests.
 */

#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "ctl.h"
#include "print.h"

#define JOB_POLL_US 500000 /* interval of reading a job's state */
#define REQUEST_ID_BYTES 12
#define JSON_TYPE "Content-Type: application/json"
#define STDIN_MAX_BYTES ((size_t)64 * 1024 * 1024)

static char *
job_path(const char *id)
{
	char *escaped = g_uri_escape_string(id, NULL, FALSE);
	char *path = g_strconcat("/v1/jobs/", escaped, NULL);

	g_free(escaped);
	return path;
}

/* ---- submit ----------------------------------------------------------- */

static bool
kind_from_name(const char *name, Ogl__Kind *kind)
{
	const ProtobufCEnumValue *v =
	    protobuf_c_enum_descriptor_get_value_by_name(
		&ogl__kind__descriptor, name);

	if (v == NULL || v->value == OGL__KIND__request) {
		fprintf(stderr,
		    "oriolectl: --kind: %s; allowed: batch, service, gang\n",
		    name);
		return false;
	}
	*kind = (Ogl__Kind)v->value;
	return true;
}

/*
 * After a lost answer it is unknown whether the job was accepted.  A request
 * id, generated unless one is given, makes it safe to repeat the submission at
 * the next node: it still creates only one job.
 */
static char *
make_request_id(const struct ctl *c)
{
	unsigned char random[REQUEST_ID_BYTES];
	char hex[2 * REQUEST_ID_BYTES + 1];

	if (c->request_id != NULL)
		return g_strdup(c->request_id);
	randombytes_buf(random, sizeof(random));
	return g_strdup(
	    sodium_bin2hex(hex, sizeof(hex), random, sizeof(random)));
}

static enum ctl_exit
print_answer(struct ctl *c, const struct ctl_answer *a)
{
	json_t *v;

	if (c->json) {
		ctl_print_raw(a);
		return CTL_OK;
	}
	v = json_loadb(a->body->str, a->body->len, JSON_DECODE_ANY, NULL);
	if (v != NULL)
		ctl_print(stdout, v);
	json_decref(v);
	return CTL_OK;
}

static enum ctl_exit
send_submit(struct ctl *c, Ogl__Submit *s)
{
	struct ctl_request r = {.method = "POST", .path = "/v1/jobs"};
	struct ctl_answer a;
	enum ctl_exit rc;
	size_t n;
	char *body = ogl_json_print(&s->base, &n);
	char *id = g_strconcat("Idempotency-Key: ", s->request_id, NULL);

	r.body = (struct ogl_str){body, n};
	r.headers[0] = JSON_TYPE;
	r.headers[1] = id;
	r.repeatable = true;
	rc = ctl_call(c, &r, &a);
	if (rc == CTL_OK)
		rc = print_answer(c, &a);
	else if (rc == CTL_UNREACHABLE)
		fprintf(stderr, "oriolectl: to ask again: --id %s\n",
		    s->request_id);
	ctl_answer_clear(&a);
	g_free(id);
	g_free(body);
	return rc;
}

static enum ctl_exit
run_submit(struct ctl *c, char **words, size_t n)
{
	Ogl__Submit s = OGL__SUBMIT__INIT;
	Ogl__Res res = OGL__RES__INIT;
	enum ctl_exit rc;
	char *id;

	(void)words;
	(void)n;
	if (!kind_from_name(c->kind, &s.kind))
		return CTL_USAGE;
	id = make_request_id(c);
	res.cpu_milli = (uint32_t)c->cpu_milli;
	res.mem_mb = (uint32_t)c->mem_mb;
	res.accel = (uint32_t)c->accel;
	s.res = &res;
	s.tasks = (uint32_t)c->tasks;
	s.run_ms = c->run_ms;
	s.restartable = (c->options_given & CTL_RESTARTABLE) != 0;
	if (c->payload != NULL)
		s.payload = (char *)c->payload;
	s.request_id = id;
	rc = send_submit(c, &s);
	g_free(id);
	return rc;
}

/* ---- show, cancel, wait ----------------------------------------------- */

static enum ctl_exit
run_show(struct ctl *c, char **words, size_t n)
{
	char *path = job_path(words[0]);
	json_t *v;
	enum ctl_exit rc = ctl_get_json(c, path, &v);

	(void)n;
	if (v != NULL)
		ctl_print(stdout, v);
	json_decref(v);
	g_free(path);
	return rc;
}

static enum ctl_exit
run_list(struct ctl *c, char **words, size_t n)
{
	json_t *v;
	enum ctl_exit rc = ctl_get_json(c, "/v1/jobs", &v);
	json_t *jobs = json_object_get(v, "jobs");

	(void)words;
	(void)n;
	if (jobs != NULL)
		ctl_print(stdout, jobs);
	else if (v != NULL)
		fputs("none\n", stdout);
	json_decref(v);
	return rc;
}

static enum ctl_exit
run_cancel(struct ctl *c, char **words, size_t n)
{
	char *path = job_path(words[0]);
	struct ctl_request r = {.method = "DELETE", .path = path};
	struct ctl_answer a;
	enum ctl_exit rc;

	(void)n;
	r.repeatable = true;
	rc = ctl_call(c, &r, &a);
	if (rc == CTL_OK)
		rc = print_answer(c, &a);
	ctl_answer_clear(&a);
	g_free(path);
	return rc;
}

static bool
has_ended(const char *state)
{
	return state != NULL &&
	       (strcmp(state, "done") == 0 || strcmp(state, "broken") == 0 ||
		   strcmp(state, "cancelled") == 0);
}

static enum ctl_exit
run_wait(struct ctl *c, char **words, size_t n)
{
	char *path = job_path(words[0]);
	enum ctl_exit rc;

	(void)n;
	for (;;) {
		struct ctl_answer a;
		const char *state;
		json_t *v = NULL;
		bool stop;

		rc = ctl_get(c, path, &a);
		if (rc == CTL_OK)
			v = json_loadb(a.body->str, a.body->len, 0, NULL);
		state = json_string_value(json_object_get(v, "state"));
		stop = rc != CTL_OK || has_ended(state);
		if (rc == CTL_OK && stop) {
			print_answer(c, &a);
			if (strcmp(state, "done") != 0)
				rc = CTL_REFUSED;
		}
		json_decref(v);
		ctl_answer_clear(&a);
		if (stop)
			break;
		usleep(JOB_POLL_US);
	}
	g_free(path);
	return rc;
}

/* ---- short requests --------------------------------------------------- */

static GString *
read_stdin(void)
{
	GString *s = g_string_new(NULL);
	char chunk[4096];
	size_t n;

	while (s->len < STDIN_MAX_BYTES &&
	       (n = fread(chunk, 1, sizeof(chunk), stdin)) > 0)
		g_string_append_len(s, chunk, (gssize)n);
	return s;
}

static enum ctl_exit
run_request(struct ctl *c, char **words, size_t n)
{
	struct ctl_request r = {.method = "POST", .path = "/v1/requests"};
	bool idempotent = (c->options_given & CTL_IDEMPOTENT) != 0;
	GString *body =
	    strcmp(words[0], "-") == 0 ? read_stdin() : g_string_new(words[0]);
	char *kind = g_strconcat("Ogl-Kind: ", c->kind, NULL);
	char *id = NULL;
	size_t n_headers = 0;
	struct ctl_answer a;
	enum ctl_exit rc;

	(void)n;
	r.body = (struct ogl_str){body->str, body->len};
	r.repeatable = idempotent || c->request_id != NULL;
	r.headers[n_headers++] = "Content-Type: application/octet-stream";
	r.headers[n_headers++] = kind;
	if (idempotent)
		r.headers[n_headers++] = "Ogl-Idempotent: 1";
	if (c->request_id != NULL) {
		id = g_strconcat("Idempotency-Key: ", c->request_id, NULL);
		r.headers[n_headers++] = id;
	}
	rc = ctl_call(c, &r, &a);
	if (rc == CTL_OK)
		ctl_print_raw(&a);
	ctl_answer_clear(&a);
	g_string_free(body, TRUE);
	g_free(id);
	g_free(kind);
	return rc;
}

const struct ctl_command ctl_work_commands[] = {
    {"job", "submit", 0, 0,
	CTL_KIND | CTL_TASKS | CTL_CPU | CTL_MEM | CTL_ACCEL | CTL_RUN_MS |
	    CTL_RESTARTABLE | CTL_PAYLOAD | CTL_ID,
	CTL_KIND | CTL_TASKS | CTL_CPU | CTL_MEM, false, run_submit,
	"--kind K --tasks N --cpu M --mem M", "hand in a job"},
    {"job", "show", 1, 1, 0, 0, false, run_show, "ID", "one job"},
    {"job", "list", 0, 0, 0, 0, false, run_list, "", "jobs of the key's team"},
    {"job", "cancel", 1, 1, 0, 0, false, run_cancel, "ID", "cancel a job"},
    {"job", "wait", 1, 1, 0, 0, false, run_wait, "ID",
	"wait for a job's end; exit 0 only when it is done"},
    {"request", NULL, 1, 1, CTL_KIND | CTL_ID | CTL_IDEMPOTENT, CTL_KIND, false,
	run_request, "--kind LABEL BODY",
	"send a short request; BODY - reads standard input"},
    {0},
};
