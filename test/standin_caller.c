/*
 * Load driver and checker: sends requests or jobs to the nodes, as callers
 * do, and compares the answers with what executors and workers ran.
 *
 * Each item (a request or a job) passes through several steps, each of them
 * one HTTP exchange; up to `concurrency` items are in progress at a time on
 * one curl multi handle.  A step is retried only if this cannot run anything
 * twice: the verdict was not_run, no connection was made, the item is
 * idempotent, or it has an id by which the nodes detect duplicates.
 *
 * An item is lost if it never got a final answer, or if the answer says that
 * it ran and it did not.  It is doubled if it ran twice without being
 * idempotent, and a false not_run if it ran although the answer was not_run.
 * --history writes each sending of an item as a call, for orioleglade-check.
 */

#include <argp.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "history.h"
#include "fake_text.h"

#define JOB_POLL_INTERVAL (100 * OGL_MS) /* between polls of a job */
#define RETRY_DELAY (100 * OGL_MS)       /* if the answer gives no time */
#define MAX_RETRY_DELAY (2 * OGL_SEC)    /* also if an answer asks for more */
#define MAX_ANSWER_BYTES ((guint)64 << 20)

enum mode {
	REQUESTS,
	JOBS
};

struct options {
	char **nodes;
	char **executors;
	char **workers;
	const char *key;
	const char *label;
	const char *team;
	const char *history;
	const char *key_id;
	enum mode mode;
	char **kinds; /* of jobs, in turn */
	uint32_t count;
	uint32_t concurrency;
	uint32_t tasks;
	uint32_t cpu_milli;
	uint32_t run_ms;
	uint32_t deadline_s;
	uint32_t timeout_ms;
	uint64_t seed;
	bool idempotent;
	bool ids;
	bool direct; /* `nodes` are executors; for comparison */
	uint32_t want_ran;
};

enum step {
	SEND,
	POLL_JOB,
	CANCEL,
	SETTLED
};

/* The result of an item according to its answers. */
enum outcome {
	NO_ANSWER, /* no final answer yet */
	RAN,
	NOT_RUN,
	MAY_HAVE_RUN,
	BROKEN,       /* the connection broke and it may not be sent again */
	WRONG_ANSWER, /* the answer is incomplete or not of this request */
	NOUTCOMES
};

static const char *const outcome_names[NOUTCOMES] = {
    "no answer", "ran", "not_run", "may_have_run", "broken", "wrong answer"};

struct item {
	uint32_t number;
	enum step step;
	enum outcome outcome;
	ogl_time first_at;
	ogl_time ended_at;
	ogl_time due_at; /* when the next exchange starts */
	char *body;
	char *job;  /* the job's id once accepted */
	char *call; /* id of its last SEND in the history */
	uint32_t send_count;
	json_int_t recorded; /* state and verdict last written to the history */
	bool sent;
	uint64_t runs;
};

/* A curl handle and the item that uses it. */
struct slot {
	CURL *curl;
	struct curl_slist *headers;
	struct item *item;
	GByteArray *answer;
	char verdict[32];
	uint64_t retry_ms;
	bool busy;
};

struct driver {
	struct options o;
	CURLM *multi;
	struct slot *slots;
	struct item *items;
	struct ogl_history *history; /* NULL: not written */
	uint32_t started;
	uint32_t settled;
	uint32_t next_node;
	uint64_t retries;
	ogl_time began;
};

/* ---- command line ------------------------------------------------------ */

enum {
	OPT_IDS = 256,
	OPT_DIRECT,
	OPT_RAN,
	OPT_TEAM,
	OPT_LABEL,
	OPT_TASKS,
	OPT_CPU,
	OPT_RUN,
	OPT_KINDS,
	OPT_DEADLINE,
	OPT_TIMEOUT,
	OPT_KEY_ID
};

static const struct argp_option argp_options[] = {
    {"nodes", 'n', "ADDR,...", 0, "nodes, taken in turn", 0},
    {"key", 'k', "KEY", 0, "key of the caller's team", 0},
    {"mode", 'm', "requests|jobs", 0, "what to send", 0},
    {"count", 'c', "N", 0, "how many", 0},
    {"concurrency", 'C', "N", 0, "at a time", 0},
    {"idempotent", 'i', NULL, 0, "requests may run twice", 0},
    {"ids", OPT_IDS, NULL, 0, "requests bear ids, and are sent again", 0},
    {"direct", OPT_DIRECT, NULL, 0, "the nodes are executors", 0},
    {"seed", 's', "N", 0, "makes bodies and run times", 0},
    {"executors", 'e', "ADDR,...", 0, "whose counts to compare", 0},
    {"workers", 'w', "ADDR,...", 0, "whose histories to compare", 0},
    {"want-ran", OPT_RAN, "N", 0, "fail unless so many items ran", 0},
    {"team", OPT_TEAM, "TEAM", 0, "team that answers must name", 0},
    {"label", OPT_LABEL, "LABEL", 0, "Ogl-Kind of requests", 0},
    {"kinds", OPT_KINDS, "KIND,...", 0, "kinds of jobs, in turn", 0},
    {"tasks", OPT_TASKS, "N", 0, "tasks a job", 0},
    {"cpu", OPT_CPU, "MILLI", 0, "processors a task", 0},
    {"run-ms", OPT_RUN, "N", 0, "mean run time", 0},
    {"deadline-s", OPT_DEADLINE, "N", 0, "give up after", 0},
    {"timeout-ms", OPT_TIMEOUT, "N", 0, "of one exchange", 0},
    {"history", 'H', "FILE", 0, "write what is asked and told to it", 0},
    {"key-id", OPT_KEY_ID, "ID", 0, "of the key, for the history", 0}, {0}};

static error_t
parse_number(int key, uint32_t n, struct options *o)
{
	switch (key) {
	case 'c':
		o->count = n;
		return 0;
	case 'C':
		o->concurrency = MAX(1, n);
		return 0;
	case OPT_RAN:
		o->want_ran = n;
		return 0;
	case OPT_TASKS:
		o->tasks = n;
		return 0;
	case OPT_CPU:
		o->cpu_milli = n;
		return 0;
	case OPT_RUN:
		o->run_ms = n;
		return 0;
	case OPT_DEADLINE:
		o->deadline_s = n;
		return 0;
	case OPT_TIMEOUT:
		o->timeout_ms = n;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void
set_list(char ***list, const char *arg)
{
	g_strfreev(*list);
	*list = g_strsplit(arg, ",", 0);
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case 'n':
		set_list(&o->nodes, arg);
		return 0;
	case 'e':
		set_list(&o->executors, arg);
		return 0;
	case 'w':
		set_list(&o->workers, arg);
		return 0;
	case OPT_KINDS:
		set_list(&o->kinds, arg);
		return 0;
	case 'k':
		o->key = arg;
		return 0;
	case 'm':
		o->mode = strcmp(arg, "jobs") == 0 ? JOBS : REQUESTS;
		return 0;
	case 's':
		o->seed = strtoull(arg, NULL, 10);
		return 0;
	case 'i':
		o->idempotent = true;
		return 0;
	case OPT_IDS:
		o->ids = true;
		return 0;
	case OPT_DIRECT:
		o->direct = true;
		return 0;
	case OPT_TEAM:
		o->team = arg;
		return 0;
	case OPT_LABEL:
		o->label = arg;
		return 0;
	case OPT_KEY_ID:
		o->key_id = arg;
		return 0;
	case 'H':
		o->history = arg;
		return 0;
	case ARGP_KEY_END:
		if (o->nodes == NULL || o->nodes[0] == NULL)
			argp_error(state, "--nodes is needed");
		return 0;
	default:
		if (arg == NULL)
			return ARGP_ERR_UNKNOWN;
		return parse_number(key, (uint32_t)strtoul(arg, NULL, 10), o);
	}
}

/* ---- one exchange ------------------------------------------------------ */

static size_t
on_body(char *p, size_t size, size_t n, void *ctx)
{
	GByteArray *to = ctx;

	if (to->len + size * n > MAX_ANSWER_BYTES)
		return 0;
	g_byte_array_append(to, (const guint8 *)p, (guint)(size * n));
	return size * n;
}

/* The value of a header line if it has this name; NULL otherwise. */
static const char *
header_value(const char *line, const char *name)
{
	size_t n = strlen(name);

	if (g_ascii_strncasecmp(line, name, n) != 0 || line[n] != ':')
		return NULL;
	return line + n + 1 + strspn(line + n + 1, " ");
}

static size_t
on_header(char *p, size_t size, size_t n, void *ctx)
{
	struct slot *s = ctx;
	char *line = g_strstrip(g_strndup(p, size * n));
	const char *v;

	if ((v = header_value(line, "Ogl-Verdict")) != NULL)
		g_strlcpy(s->verdict, v, sizeof(s->verdict));
	if ((v = header_value(line, "Ogl-Retry-After-Ms")) != NULL)
		s->retry_ms = strtoull(v, NULL, 10);
	else if ((v = header_value(line, "Retry-After")) != NULL &&
		 s->retry_ms == 0)
		s->retry_ms = strtoull(v, NULL, 10) * 1000;
	g_free(line);
	return size * n;
}

static void G_GNUC_PRINTF(2, 3)
    add_header(struct slot *s, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	s->headers = curl_slist_append(s->headers, text);
	g_free(text);
}

/* Whether an item may be sent again although it may have run. */
static bool
may_repeat(const struct driver *d)
{
	return d->o.idempotent || d->o.ids || d->o.mode == JOBS;
}

static void
set_headers(const struct driver *d, struct slot *s)
{
	curl_slist_free_all(s->headers);
	s->headers = NULL;
	add_header(s, "Authorization: Bearer %s", d->o.key);
	add_header(s, "Expect:");
	if (d->o.mode == JOBS)
		return;
	add_header(s, "Ogl-Kind: %s", d->o.label);
	add_header(s, "Content-Type: text/plain");
	if (d->o.direct) {
		add_header(s, "Ogl-Token: %u", s->item->number);
		add_header(s, "Ogl-Team: %s", d->o.team);
	}
	if (d->o.idempotent)
		add_header(s, "Ogl-Idempotent: 1");
	if (d->o.ids)
		add_header(s, "Idempotency-Key: %" PRIu64 "-%u", d->o.seed,
		    s->item->number);
}

/* Sets the options that all exchanges have in common. */
static void
set_options(const struct driver *d, struct slot *s)
{
	CURL *c = s->curl;

	curl_easy_reset(c);
	curl_easy_setopt(c, CURLOPT_PRIVATE, s);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, (long)d->o.timeout_ms);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, s->answer);
	curl_easy_setopt(c, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(c, CURLOPT_HEADERDATA, s);
	/*
	 * If a reused connection closes before the first byte of the answer,
	 * curl itself sends the request again, even a POST.  If a node is
	 * killed during a request, the request would then run twice without a
	 * fault of the nodes.  On a new connection curl reports the failure.
	 */
	curl_easy_setopt(c, CURLOPT_FRESH_CONNECT, may_repeat(d) ? 0L : 1L);
}

static void
set_target(const struct driver *d, struct slot *s, const char *node)
{
	const struct item *it = s->item;
	const char *what = d->o.mode == JOBS ? "/v1/jobs" : "/v1/requests";
	char *url;

	if (it->step == SEND) {
		url = g_strdup_printf(
		    "http://%s%s", node, d->o.direct ? "/run" : what);
		curl_easy_setopt(s->curl, CURLOPT_POSTFIELDS, it->body);
		curl_easy_setopt(
		    s->curl, CURLOPT_POSTFIELDSIZE, (long)strlen(it->body));
	} else
		url = g_strdup_printf("http://%s/v1/jobs/%s", node, it->job);
	if (it->step == CANCEL)
		curl_easy_setopt(s->curl, CURLOPT_CUSTOMREQUEST, "DELETE");
	curl_easy_setopt(s->curl, CURLOPT_URL, url);
	g_free(url);
}

/* ---- history ----------------------------------------------------------- */

/* The request id of the item; g_free. */
static char *
request_id(const struct driver *d, const struct item *it)
{
	return g_strdup_printf("%" PRIu64 "-%u", d->o.seed, it->number);
}

static void
record_call(struct driver *d, struct item *it, const char *node)
{
	struct history_event ev = {
	    .type = HISTORY_CALL, .at = g_get_real_time()};
	bool job = d->o.mode == JOBS;
	char *id = request_id(d, it);

	if (d->history == NULL || it->step != SEND)
		goto out;
	g_free(it->call);
	it->call = g_strdup_printf("%s.%u", id, ++it->send_count);
	ev.u.call.call = it->call;
	ev.u.call.node = node;
	ev.u.call.team = d->o.team;
	ev.u.call.key = d->o.key_id;
	ev.u.call.request_id = job || d->o.ids ? id : NULL;
	ev.u.call.kind = job ? NULL : d->o.label;
	ev.u.call.body = it->body;
	ev.u.call.timeout_ms = d->o.timeout_ms;
	ev.u.call.idempotent = !job && d->o.idempotent;
	ev.u.call.job = job;
	ogl_history_add(d->history, &ev);
out:
	g_free(id);
}

static bool connect_failed(CURLcode rc);
static enum outcome answer_outcome(const struct slot *s);

/*
 * Whether a failed exchange certainly did not reach a node.  If a killed node
 * closes a reused connection, curl sends the request again on a new one.  If
 * that connection is refused, the first sending still counts, because the node
 * may have forwarded the request.  CURLINFO_REQUEST_SIZE counts its bytes.
 */
static bool
never_sent(const struct slot *s, CURLcode rc)
{
	long bytes = 0;

	curl_easy_getinfo(s->curl, CURLINFO_REQUEST_SIZE, &bytes);
	return connect_failed(rc) && bytes == 0;
}

static void
record_answer(struct driver *d, const struct slot *s, CURLcode rc, long status)
{
	static const enum history_verdict verdicts[NOUTCOMES] = {
	    [RAN] = HISTORY_RAN,
	    [NOT_RUN] = HISTORY_NOT_RUN,
	    [MAY_HAVE_RUN] = HISTORY_MAY_HAVE_RUN};
	struct history_event ev = {
	    .type = HISTORY_ANSWER, .at = g_get_real_time()};
	char *body;

	if (d->history == NULL || s->item->step != SEND)
		return;
	g_byte_array_append(s->answer, (const guint8 *)"", 1); /* never NULL */
	g_byte_array_set_size(s->answer, s->answer->len - 1);
	body = g_utf8_make_valid((const char *)s->answer->data, s->answer->len);
	ev.u.answer.call = s->item->call;
	ev.u.answer.status = rc == CURLE_OK ? (uint32_t)status : 0;
	ev.u.answer.retry_after_ms = s->retry_ms;
	ev.u.answer.body = body;
	if (rc != CURLE_OK)
		ev.u.answer.verdict =
		    never_sent(s, rc) ? HISTORY_NOT_RUN : HISTORY_BROKEN;
	else if (d->o.mode == JOBS && status / 100 == 2)
		ev.u.answer.verdict = HISTORY_RAN;
	else
		ev.u.answer.verdict = verdicts[answer_outcome(s)];
	ogl_history_add(d->history, &ev);
	g_free(body);
}

/* Records the state of a job if it has changed. */
static void
record_job(struct driver *d, struct item *it, uint32_t state, uint32_t verdict)
{
	struct history_event ev = {
	    .type = HISTORY_JOB, .at = g_get_real_time()};
	json_int_t recorded = 1 + (json_int_t)state * 8 + verdict;

	if (d->history == NULL || recorded == it->recorded)
		return;
	ev.u.job.call = it->recorded == 0 ? it->call : NULL;
	ev.u.job.job = it->job;
	ev.u.job.state = state;
	ev.u.job.verdict = verdict;
	ogl_history_add(d->history, &ev);
	it->recorded = recorded;
}

/* ---- exchanges --------------------------------------------------------- */

static void
start_exchange(struct driver *d, struct slot *s)
{
	const char *node = d->o.nodes[d->next_node];

	d->next_node = (d->next_node + 1) % g_strv_length(d->o.nodes);
	record_call(d, s->item, node);
	set_options(d, s);
	set_target(d, s, node);
	set_headers(d, s);
	curl_easy_setopt(s->curl, CURLOPT_HTTPHEADER, s->headers);
	g_byte_array_set_size(s->answer, 0);
	s->verdict[0] = '\0';
	s->retry_ms = 0;
	s->busy = true;
	curl_multi_add_handle(d->multi, s->curl);
}

/* ---- handling of answers ----------------------------------------------- */

static void
settle(struct driver *d, struct item *it, enum outcome outcome, ogl_time now)
{
	it->outcome = outcome;
	it->step = SETTLED;
	it->ended_at = now;
	d->settled++;
}

static void
schedule_retry(struct driver *d, struct slot *s, ogl_time now)
{
	ogl_time in = RETRY_DELAY;

	if (s->retry_ms > 0)
		in = (ogl_time)MIN(s->retry_ms, 3600000) * OGL_MS;
	s->item->due_at = now + MIN(in, MAX_RETRY_DELAY);
	d->retries++;
}

/* Whether the last attempt made no connection. */
static bool
connect_failed(CURLcode rc)
{
	return rc == CURLE_COULDNT_CONNECT || rc == CURLE_COULDNT_RESOLVE_HOST;
}

static enum outcome
answer_outcome(const struct slot *s)
{
	if (strcmp(s->verdict, "ran") == 0)
		return RAN;
	if (strcmp(s->verdict, "not_run") == 0)
		return NOT_RUN;
	return MAY_HAVE_RUN;
}

/* Whether the answer is that of this request: "team|label|body". */
static bool
is_own_answer(const struct driver *d, const struct slot *s)
{
	char *tail = g_strdup_printf("|%s|%s", d->o.label, s->item->body);
	struct ogl_str a = {(const char *)s->answer->data, s->answer->len};
	size_t n = strlen(tail);
	bool own = a.n >= n && memcmp(a.p + a.n - n, tail, n) == 0;

	if (own && d->o.team != NULL)
		own = a.n - n == strlen(d->o.team) &&
		      memcmp(a.p, d->o.team, a.n - n) == 0;
	g_free(tail);
	return own;
}

static void
handle_request_answer(
    struct driver *d, struct slot *s, long status, ogl_time now)
{
	enum outcome out = answer_outcome(s);
	bool busy = status == 429 || status == 503;

	if (status == 200 && (out == RAN || d->o.direct))
		settle(
		    d, s->item, is_own_answer(d, s) ? RAN : WRONG_ANSWER, now);
	else if (busy && (out == NOT_RUN || may_repeat(d)))
		schedule_retry(d, s, now);
	else
		settle(d, s->item, out, now);
}

static const char *
json_text(const json_t *o, const char *name)
{
	const char *t = json_string_value(json_object_get(o, name));

	return t != NULL ? t : "";
}

static uint32_t
enum_value(const ProtobufCEnumDescriptor *names, const char *name)
{
	const ProtobufCEnumValue *v =
	    protobuf_c_enum_descriptor_get_value_by_name(names, name);

	return v != NULL ? (uint32_t)v->value : 0;
}

/* A service counts as successful once all its tasks run.  It is then cancelled
 * and polled until it has ended. */
static void
handle_job_view(
    struct driver *d, struct item *it, const json_t *o, ogl_time now)
{
	const char *state = json_text(o, "state");
	bool service = strcmp(json_text(o, "kind"), "service") == 0;
	json_int_t running = json_integer_value(json_object_get(o, "running"));

	if (it->job == NULL)
		it->job = g_strdup(json_text(o, "job"));
	record_job(d, it, enum_value(&ogl__job_state__descriptor, state),
	    enum_value(&ogl__verdict__descriptor, json_text(o, "verdict")));
	if (strcmp(state, "done") == 0)
		settle(d, it, RAN, now);
	else if (strcmp(state, "cancelled") == 0)
		settle(d, it, service ? RAN : NOT_RUN, now);
	else if (strcmp(state, "broken") == 0)
		settle(d, it,
		    strcmp(json_text(o, "verdict"), "not_run") == 0
			? NOT_RUN
			: MAY_HAVE_RUN,
		    now);
	else if (service && it->step == POLL_JOB && running == d->o.tasks)
		it->step = CANCEL;
	else
		it->step = POLL_JOB;
	if (it->step == POLL_JOB)
		it->due_at = now + JOB_POLL_INTERVAL;
}

static void
handle_job_answer(struct driver *d, struct slot *s, long status, ogl_time now)
{
	struct item *it = s->item;
	json_t *o =
	    json_loadb((const char *)s->answer->data, s->answer->len, 0, NULL);
	bool refused = status >= 400 && status < 500 && status != 429;

	if (status / 100 == 2 && json_is_object(o) &&
	    (it->job != NULL || json_text(o, "job")[0] != '\0'))
		handle_job_view(d, it, o, now);
	else if (status / 100 == 2 && it->step == CANCEL)
		it->step = POLL_JOB;
	else if (refused && it->step == SEND)
		settle(d, it, answer_outcome(s), now);
	else {
		if (status == 404 && it->step == POLL_JOB)
			record_job(d, it, HISTORY_JOB_UNKNOWN, HISTORY_NOT_RUN);
		schedule_retry(d, s, now);
	}
	json_decref(o);
}

static void
handle_answer(struct driver *d, struct slot *s, CURLcode rc, ogl_time now)
{
	long status = 0;

	curl_easy_getinfo(s->curl, CURLINFO_RESPONSE_CODE, &status);
	record_answer(d, s, rc, status);
	if (rc != CURLE_OK && (connect_failed(rc) || may_repeat(d)))
		schedule_retry(d, s, now);
	else if (rc == CURLE_PARTIAL_FILE)
		settle(d, s->item, WRONG_ANSWER, now);
	else if (rc != CURLE_OK)
		settle(d, s->item, BROKEN, now);
	else if (d->o.mode == JOBS)
		handle_job_answer(d, s, status, now);
	else
		handle_request_answer(d, s, status, now);
}

/* ---- main loop --------------------------------------------------------- */

static char *
job_body(const struct options *o, uint32_t i, uint32_t run_ms)
{
	const char *kind = o->kinds[i % g_strv_length(o->kinds)];
	bool service = strcmp(kind, "service") == 0;
	char *payload = service ? g_strdup("service")
				: g_strdup_printf("run_ms=%u", run_ms);
	char *id = g_strdup_printf("%" PRIu64 "-%u", o->seed, i);
	json_t *v =
	    json_pack("{s:s, s:I, s:{s:I, s:i, s:i}, s:I, s:s, s:b, s:s}",
		"kind", kind, "tasks", (json_int_t)o->tasks, "res", "cpu_milli",
		(json_int_t)o->cpu_milli, "mem_mb", 256, "accel", 0, "run_ms",
		(json_int_t)(service ? 0 : run_ms), "payload", payload,
		"restartable", 1, "request_id", id);
	char *text = json_dumps(v, JSON_COMPACT);
	char *body = g_strdup(text);

	free(text);
	json_decref(v);
	g_free(id);
	g_free(payload);
	return body;
}

static void
make_items(struct driver *d)
{
	GRand *rand = g_rand_new_with_seed((guint32)d->o.seed);

	d->items = g_new0(struct item, d->o.count);
	for (uint32_t i = 0; i < d->o.count; i++) {
		uint32_t run_ms = (uint32_t)g_rand_int_range(
		    rand, 1, (gint32)MAX(1, d->o.run_ms) * 2);

		d->items[i].number = i;
		if (d->o.mode == JOBS)
			d->items[i].body = job_body(&d->o, i, run_ms);
		else
			d->items[i].body = g_strdup_printf(
			    "r%" PRIu64 "-%u run_ms=%u", d->o.seed, i, run_ms);
	}
	g_rand_free(rand);
}

/* Starts the slot's next exchange if it is due. */
static void
fill_slot(struct driver *d, struct slot *s, ogl_time now)
{
	if (s->item != NULL && s->item->step == SETTLED)
		s->item = NULL;
	if (s->item == NULL && d->started < d->o.count) {
		s->item = &d->items[d->started++];
		s->item->first_at = now;
		s->item->due_at = now;
	}
	if (s->item != NULL && s->item->due_at <= now)
		start_exchange(d, s);
}

static void
collect_answers(struct driver *d, ogl_time now)
{
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(d->multi, &left)) != NULL) {
		CURLcode rc = m->data.result;
		CURL *curl = m->easy_handle;
		char *p = NULL;
		struct slot *s;

		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(curl, CURLINFO_PRIVATE, &p);
		s = (struct slot *)(void *)p;
		curl_multi_remove_handle(d->multi, curl);
		s->busy = false;
		handle_answer(d, s, rc, now);
	}
}

static void
run(struct driver *d)
{
	ogl_time end;
	int live;

	d->began = g_get_monotonic_time();
	end = d->began + (ogl_time)d->o.deadline_s * OGL_SEC;
	while (d->settled < d->o.count && g_get_monotonic_time() < end) {
		for (uint32_t i = 0; i < d->o.concurrency; i++) {
			if (!d->slots[i].busy)
				fill_slot(
				    d, &d->slots[i], g_get_monotonic_time());
		}
		curl_multi_perform(d->multi, &live);
		collect_answers(d, g_get_monotonic_time());
		curl_multi_poll(d->multi, NULL, 0, 5, NULL);
	}
}

/* ---- comparison with executors and workers ----------------------------- */

/* Result of the comparison. */
struct comparison {
	uint64_t lost;
	uint64_t doubled;
	uint64_t false_not_run; /* answered not_run but ran */
	uint64_t no_room; /* starts that workers refused for lack of room */
	bool incomplete;  /* an executor or worker did not answer */
};

/* A start or end of a task on a worker. */
struct task_event {
	char *task;
	ogl_time at;
	bool start;
	bool succeeded;
};

/* The answer of a stand-in to GET /counts.  On failure prints a message and
 * returns NULL. */
static json_t *
fetch_counts(const char *addr)
{
	char *url = g_strdup_printf("http://%s/counts", addr);
	GByteArray *text = g_byte_array_new();
	CURL *curl = curl_easy_init();
	json_t *v = NULL;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 10000L);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, text);
	if (curl_easy_perform(curl) == CURLE_OK)
		v = json_loadb((const char *)text->data, text->len, 0, NULL);
	if (v == NULL)
		fprintf(stderr, "caller: no counts from %s\n", addr);
	curl_easy_cleanup(curl);
	g_byte_array_unref(text);
	g_free(url);
	return v;
}

static void
add_run_counts(struct driver *d, struct comparison *v)
{
	GHashTable *by_body = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < d->o.count; i++)
		g_hash_table_insert(by_body, d->items[i].body, &d->items[i]);
	for (char **e = d->o.executors; *e != NULL; e++) {
		json_t *o = fetch_counts(*e);
		json_t *one;
		size_t i;

		v->incomplete = v->incomplete || o == NULL;
		json_array_foreach(json_object_get(o, "counts"), i, one)
		{
			struct item *it = g_hash_table_lookup(
			    by_body, json_text(one, "body"));

			if (it != NULL)
				it->runs += (uint64_t)json_integer_value(
				    json_object_get(one, "runs"));
		}
		json_decref(o);
	}
	g_hash_table_destroy(by_body);
}

static void
check_requests(struct driver *d, struct comparison *v)
{
	bool counted = d->o.executors != NULL;

	if (counted)
		add_run_counts(d, v);
	for (uint32_t i = 0; i < d->o.count; i++) {
		const struct item *it = &d->items[i];

		v->lost += it->outcome == NO_ANSWER || it->outcome == BROKEN ||
			   it->outcome == WRONG_ANSWER ||
			   (counted && it->outcome == RAN && it->runs == 0);
		v->doubled += !d->o.idempotent && it->runs > 1;
		v->false_not_run += it->outcome == NOT_RUN && it->runs > 0;
	}
}

static int
compare_events(const void *a, const void *b)
{
	const struct task_event *x = a;
	const struct task_event *y = b;
	int c = strcmp(x->task, y->task);

	if (c != 0)
		return c;
	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return (int)x->start - (int)y->start;
}

/* Adds the task events of one worker. */
static void
add_task_events(GArray *events, const json_t *o)
{
	json_t *one;
	size_t i;

	json_array_foreach(json_object_get(o, "events"), i, one)
	{
		struct task_event m = {.task = g_strdup(json_text(one, "task")),
		    .at = json_integer_value(json_object_get(one, "at_us")),
		    .start = strcmp(json_text(one, "event"), "start") == 0,
		    .succeeded =
			strcmp(json_text(one, "state"), "succeeded") == 0};

		g_array_append_val(events, m);
	}
}

/* The id of the job that a task belongs to; g_free. */
static char *
task_job_id(const char *task)
{
	const char *dot = strrchr(task, '.');

	return dot != NULL ? g_strndup(task, (gsize)(dot - task))
			   : g_strdup(task);
}

/* Whether a task ran in two places at the same time or succeeded twice.
 * Expects the events of this one task in order of time; *succeeded tells
 * whether the task succeeded. */
static bool
task_doubled(const struct task_event *m, size_t n, bool *succeeded)
{
	int running = 0;
	int ends = 0;
	bool doubled = false;

	for (size_t i = 0; i < n; i++) {
		running += m[i].start ? 1 : -1;
		ends += m[i].succeeded;
		doubled = doubled || running > 1;
	}
	*succeeded = ends > 0;
	return doubled || ends > 1;
}

static void
check_tasks(struct driver *d, GArray *events, struct comparison *v)
{
	GHashTable *by_job = g_hash_table_new(g_str_hash, g_str_equal);
	const struct task_event *m =
	    (const struct task_event *)(void *)events->data;

	for (uint32_t i = 0; i < d->o.count; i++) {
		if (d->items[i].job != NULL)
			g_hash_table_insert(
			    by_job, d->items[i].job, &d->items[i]);
	}
	for (size_t i = 0, n; i < events->len; i += n) {
		char *job = task_job_id(m[i].task);
		struct item *it = g_hash_table_lookup(by_job, job);
		bool ok;

		n = 1;
		while (i + n < events->len &&
		       strcmp(m[i + n].task, m[i].task) == 0)
			n++;
		if (it != NULL && task_doubled(&m[i], n, &ok))
			v->doubled++;
		if (it != NULL)
			it->runs += ok;
		g_free(job);
	}
	g_hash_table_destroy(by_job);
}

static bool
is_service(const struct driver *d, const struct item *it)
{
	uint32_t n = g_strv_length(d->o.kinds);

	return strcmp(d->o.kinds[it->number % n], "service") == 0;
}

static void
check_jobs(struct driver *d, struct comparison *v)
{
	GArray *events = g_array_new(FALSE, FALSE, sizeof(struct task_event));
	bool counted = d->o.workers != NULL;

	for (char **w = d->o.workers; counted && *w != NULL; w++) {
		json_t *o = fetch_counts(*w);

		v->incomplete = v->incomplete || o == NULL;
		v->no_room +=
		    (uint64_t)json_integer_value(json_object_get(o, "no_room"));
		add_task_events(events, o);
		json_decref(o);
	}
	qsort(events->data, events->len, sizeof(struct task_event),
	    compare_events);
	check_tasks(d, events, v);
	for (uint32_t i = 0; i < d->o.count; i++) {
		const struct item *it = &d->items[i];

		v->lost += it->outcome == NO_ANSWER ||
			   (counted && it->outcome == RAN &&
			       !is_service(d, it) && it->runs < d->o.tasks);
		v->false_not_run += it->outcome == NOT_RUN && it->runs > 0;
	}
	for (guint i = 0; i < events->len; i++)
		g_free(g_array_index(events, struct task_event, i).task);
	g_array_free(events, TRUE);
}

/* ---- output ------------------------------------------------------------ */

static int
compare_times(const void *a, const void *b)
{
	ogl_time x = *(const ogl_time *)a;
	ogl_time y = *(const ogl_time *)b;

	return (x > y) - (x < y);
}

static void
print_times(const struct driver *d)
{
	ogl_time *took = g_new0(ogl_time, d->o.count + 1);
	ogl_time last = d->began;
	uint32_t n = 0;

	for (uint32_t i = 0; i < d->o.count; i++) {
		const struct item *it = &d->items[i];

		if (it->outcome != RAN)
			continue;
		took[n++] = it->ended_at - it->first_at;
		last = MAX(last, it->ended_at);
	}
	qsort(took, n, sizeof(*took), compare_times);
	printf("p50 %" PRId64 " us\n", n > 0 ? took[n / 2] : 0);
	printf("p99 %" PRId64 " us\n", n > 0 ? took[(n - 1) * 99 / 100] : 0);
	printf("rate %.1f /s\n", last > d->began ? (double)n * (double)OGL_SEC /
						       (double)(last - d->began)
						 : 0.0);
	g_free(took);
}

/* Prints the results.  Returns whether nothing was lost or doubled, no not_run
 * was false, all counts were read and want_ran items ran. */
static bool
print_results(const struct driver *d, const struct comparison *v)
{
	uint32_t by[NOUTCOMES] = {0};
	bool good;

	for (uint32_t i = 0; i < d->o.count; i++)
		by[d->items[i].outcome]++;
	printf("%s sent %u\n", d->o.mode == JOBS ? "jobs" : "requests",
	    d->started);
	printf("answered %u\n", d->settled - by[BROKEN]);
	for (int i = 0; i < NOUTCOMES; i++)
		printf("%s %u\n", outcome_names[i], by[i]);
	printf("sent again %" PRIu64 "\n", d->retries);
	printf("lost %" PRIu64 "\n", v->lost);
	printf("doubled %" PRIu64 "\n", v->doubled);
	printf("false not_run %" PRIu64 "\n", v->false_not_run);
	if (d->o.mode == JOBS)
		printf("starts beyond room %" PRIu64 "\n", v->no_room);
	print_times(d);
	good = v->lost == 0 && v->doubled == 0 && v->false_not_run == 0 &&
	       !v->incomplete;
	return good && by[RAN] >= d->o.want_ran;
}

static void
driver_free(struct driver *d)
{
	for (uint32_t i = 0; d->slots != NULL && i < d->o.concurrency; i++) {
		struct slot *s = &d->slots[i];

		if (s->busy)
			curl_multi_remove_handle(d->multi, s->curl);
		curl_easy_cleanup(s->curl);
		curl_slist_free_all(s->headers);
		g_byte_array_unref(s->answer);
	}
	for (uint32_t i = 0; d->items != NULL && i < d->o.count; i++) {
		g_free(d->items[i].body);
		g_free(d->items[i].job);
		g_free(d->items[i].call);
	}
	g_free(d->slots);
	g_free(d->items);
	curl_multi_cleanup(d->multi);
	ogl_history_end(d->history);
	g_strfreev(d->o.nodes);
	g_strfreev(d->o.executors);
	g_strfreev(d->o.workers);
	g_strfreev(d->o.kinds);
}

int
main(int argc, char **argv)
{
	struct driver d = {.o = {.key = "",
			       .label = "order",
			       .count = 100,
			       .concurrency = 8,
			       .tasks = 1,
			       .cpu_milli = 500,
			       .run_ms = 20,
			       .deadline_s = 60,
			       .timeout_ms = 30000,
			       .seed = 1}};
	const struct argp argp = {argp_options, parse_option, NULL,
	    "Sends requests or jobs and checks what came of them.", NULL, NULL,
	    NULL};
	struct comparison v = {0};
	bool good = false;

	d.o.kinds = g_strsplit("batch", ",", 0);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	d.multi = curl_multi_init();
	if (argp_parse(&argp, argc, argv, 0, NULL, &d.o) != 0)
		goto out;
	d.slots = g_new0(struct slot, d.o.concurrency);
	for (uint32_t i = 0; i < d.o.concurrency; i++) {
		d.slots[i].curl = curl_easy_init();
		d.slots[i].answer = g_byte_array_new();
	}
	make_items(&d);
	if (d.o.history != NULL) {
		d.history = ogl_history_open(d.o.history);
		if (d.history == NULL)
			goto out;
	}
	run(&d);
	if (d.history != NULL)
		ogl_history_add(
		    d.history, &(struct history_event){.type = HISTORY_OVER,
				   .at = g_get_real_time()});
	if (d.o.mode == JOBS)
		check_jobs(&d, &v);
	else
		check_requests(&d, &v);
	good = print_results(&d, &v);
out:
	driver_free(&d);
	curl_global_cleanup();
	return good ? 0 : 1;
}
