/*
 * HTTP requests to the platform, workers and executors, over libcurl.  Easy
 * handles are kept in a pool and set up once; a request changes only the
 * address, headers, body and timeout.  The elements of the header list are part
 * of struct xfer, so that no request allocates one.
 *
 * Each kind of request has a struct request_kind, which defines how its answer
 * is handled and which event it becomes.
 *
 * Whether anything was sent is decided by CURLINFO_REQUEST_SIZE, which counts
 * the bytes passed to the kernel, and not by the error code: a timeout may
 * occur before or after the sending.
 *
 * libcurl silently sends a request again when a reused connection ends before
 * any byte of the answer has arrived.  The server may have executed the first
 * copy by then, so the request would run twice and nobody would know.  The
 * remedy in libcurl's manual, a body that can't be rewound, does not work for
 * requests without a body.  So the hook that libcurl calls right before each
 * sending refuses the second one.  The request then ends as lost, or as not
 * sent if the kernel took no byte of it.  Only GET may be sent twice.
 */

#include <string.h>

#include "addr.h"
#include "curl_loop.h"
#include "http_out.h"
#include "logpage.h"

#define LOG_PREFIX "out"
#define HOST_CONNECTIONS_MAX 60L
#define CACHED_CONNECTIONS_MAX 4096L
#define CONNECT_TIMEOUT_MS 2000L
/* Servers commonly close idle connections after 30 s or more. */
#define REUSE_IDLE_MAX_S 20L
#define POOLED_HANDLES_MAX 1024
#define URL_BYTES 256
#define HEADER_BYTES 192
#define HEADERS_MAX 6
/* A handle whose answer was larger is freed instead of pooled. */
#define POOLED_BUFFER_MAX_BYTES ((size_t)64 * 1024)
#define ANSWER_MAX_BYTES ((size_t)16 * 1024 * 1024)
#define PAGE_MAX_RECORDS 256u
#define READ_WAIT_MAX_MS 200
/* The platform ends the wait of a log read this long before its timeout. */
#define READ_WAIT_MARGIN_MS 500
#define DEFAULT_TIMEOUT_MS 5000
#define STATUS_NO_CONTENT 204

struct xfer;

struct request_kind {
	enum ogl_event_type event_type;
	bool no_resend; /* must never be sent twice */
	/* Fills in the event from a complete answer; false if it does not
	 * parse. */
	bool (*parse)(struct xfer *x, struct ogl_event *ev);
	bool any_status;  /* each status is an answer, not only 200 */
	bool check_token; /* the answer has to echo Ogl-Token */
};

struct xfer {
	struct ogl_http_out *out;
	CURL *easy;
	const struct request_kind *kind;
	uint64_t token;
	GBytes *body;
	char url[URL_BYTES];
	char header_lines[HEADERS_MAX][HEADER_BYTES];
	struct curl_slist headers[HEADERS_MAX];
	size_t nheaders;
	unsigned send_attempts;
	GByteArray *answer;
	bool overflow;
	bool has_token;
	uint64_t echoed_token;
	bool framed; /* has a Content-Length or a Transfer-Encoding */
	bool not_run;
	ProtobufCMessage *parsed; /* parsed answer, borrowed by the event */
	struct ogl_logpage page;  /* parsed answer of a log read, likewise */
	GList link;               /* in busy */
};

struct ogl_http_out {
	char *platform;
	struct ogl_sink sink;
	struct ogl_logger *log;
	struct ogl_curl_loop *curl;
	GQueue busy; /* struct xfer */
	GPtrArray *pool;
	unsigned page_records; /* requested with the next log read */
	struct ogl_http_out_counts counts;
};

/* ---- parsing answers -------------------------------------------------- */

static struct ogl_str
answer_text(const struct xfer *x)
{
	struct ogl_str s = {(const char *)x->answer->data, x->answer->len};

	return s;
}

static bool
parse_appended(struct xfer *x, struct ogl_event *ev)
{
	return ogl_logpage_parse_offset(answer_text(x), &ev->u.appended.offset);
}

static bool
parse_read(struct xfer *x, struct ogl_event *ev)
{
	if (!ogl_logpage_parse(&x->page, answer_text(x)))
		return false;
	ev->u.read.first = x->page.first;
	ev->u.read.next = x->page.next;
	ev->u.read.entries = x->page.entries;
	ev->u.read.n = x->page.n;
	return true;
}

static void *
parse_message(struct xfer *x, const ProtobufCMessageDescriptor *d)
{
	struct ogl_faults *faults = ogl_faults_new();

	x->parsed = ogl_json_parse(d, answer_text(x), faults);
	if (x->parsed == NULL)
		ogl_log(x->out->log, OGL_LOG_WARN, LOG_PREFIX,
		    "An answer from %s does not parse at '%s'.", x->url,
		    ogl_faults_count(faults) > 0 ? ogl_faults_path(faults, 0)
						 : "");
	ogl_faults_free(faults);
	return x->parsed;
}

static bool
parse_hosts(struct xfer *x, struct ogl_event *ev)
{
	ev->u.hosts = parse_message(x, &ogl__host_list__descriptor);
	return ev->u.hosts != NULL;
}

static bool
parse_worker(struct xfer *x, struct ogl_event *ev)
{
	ev->u.worker = parse_message(x, &ogl__worker_report__descriptor);
	return ev->u.worker != NULL;
}

static bool
parse_exec(struct xfer *x, struct ogl_event *ev)
{
	ev->u.exec.body = answer_text(x);
	return true;
}

static const struct request_kind kind_append = {
    .event_type = OGL_EV_LOG_APPENDED,
    .no_resend = true,
    .parse = parse_appended};
static const struct request_kind kind_read = {
    .event_type = OGL_EV_LOG_READ, .parse = parse_read};
static const struct request_kind kind_hosts = {
    .event_type = OGL_EV_HOSTS, .parse = parse_hosts};
static const struct request_kind kind_worker = {
    .event_type = OGL_EV_WORKER, .no_resend = true, .parse = parse_worker};
static const struct request_kind kind_exec = {.event_type = OGL_EV_EXEC,
    .no_resend = true,
    .parse = parse_exec,
    .any_status = true,
    .check_token = true};

/* ---- the pool of easy handles ----------------------------------------- */

static size_t
on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct xfer *x = ctx;

	n *= size;
	if (x->answer->len + n > ANSWER_MAX_BYTES) {
		x->overflow = true;
		return 0;
	}
	g_byte_array_append(x->answer, (const guint8 *)data, (guint)n);
	return n;
}

/* Copies the value of a header line to buf, without white space around it, if
 * the header has the given name. */
static bool
header_value(
    const char *line, size_t n, const char *name, char *buf, size_t cap)
{
	size_t len = strlen(name);

	if (n <= len || line[len] != ':' ||
	    g_ascii_strncasecmp(line, name, len) != 0)
		return false;
	line += len + 1;
	n = MIN(n - len - 1, cap - 1);
	memcpy(buf, line, n);
	buf[n] = '\0';
	g_strstrip(buf);
	return true;
}

static void
reset_answer(struct xfer *x)
{
	x->has_token = false;
	x->echoed_token = 0;
	x->not_run = false;
	x->framed = false;
}

static size_t
on_header(char *line, size_t size, size_t n, void *ctx)
{
	struct xfer *x = ctx;
	char value[64];
	guint64 token;

	n *= size;
	if (n >= 5 && memcmp(line, "HTTP/", 5) == 0)
		reset_answer(x); /* drops an interim answer's headers */
	if (header_value(line, n, "Ogl-Token", value, sizeof value)) {
		x->has_token = g_ascii_string_to_unsigned(
		    value, 10, 0, G_MAXUINT64, &token, NULL);
		x->echoed_token = x->has_token ? token : 0;
	} else if (header_value(line, n, "Ogl-Verdict", value, sizeof value)) {
		x->not_run = strcmp(value, "not_run") == 0;
	} else if (header_value(
		       line, n, "Content-Length", value, sizeof value) ||
		   header_value(
		       line, n, "Transfer-Encoding", value, sizeof value)) {
		x->framed = true;
	}
	return n;
}

/* Called by libcurl once a connection is ready, right before each sending. */
static int
on_before_send(
    void *ctx, char *to_ip, char *from_ip, int to_port, int from_port)
{
	struct xfer *x = ctx;

	(void)to_ip;
	(void)from_ip;
	(void)to_port;
	(void)from_port;
	if (x->send_attempts++ > 0 && x->kind->no_resend) {
		x->out->counts.resends_stopped++;
		return CURL_PREREQFUNC_ABORT;
	}
	return CURL_PREREQFUNC_OK;
}

static void
setup_easy(struct xfer *x)
{
	CURL *e = x->easy;

	curl_easy_setopt(e, CURLOPT_PRIVATE, x);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	/* TLS is not used.  libcurl would copy these paths for each
	 * request. */
	curl_easy_setopt(e, CURLOPT_CAINFO, NULL);
	curl_easy_setopt(e, CURLOPT_CAPATH, NULL);
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, REUSE_IDLE_MAX_S);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, x);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, x);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, x);
}

static struct xfer *
xfer_new(struct ogl_http_out *h)
{
	struct xfer *x;

	if (h->pool->len > 0)
		return g_ptr_array_steal_index_fast(h->pool, h->pool->len - 1);
	x = g_new0(struct xfer, 1);
	x->out = h;
	x->link.data = x;
	x->answer = g_byte_array_new();
	x->easy = curl_easy_init();
	if (x->easy == NULL)
		g_error("%s: no memory for a request", LOG_PREFIX);
	setup_easy(x);
	return x;
}

static void
xfer_free(void *p)
{
	struct xfer *x = p;

	curl_easy_cleanup(x->easy);
	g_byte_array_unref(x->answer);
	g_free(x);
}

/* Frees what belongs to one request; the handle stays. */
static void
xfer_clear(struct xfer *x)
{
	if (x->body != NULL)
		g_bytes_unref(x->body);
	if (x->parsed != NULL)
		protobuf_c_message_free_unpacked(x->parsed, NULL);
	ogl_logpage_end(&x->page);
	x->body = NULL;
	x->parsed = NULL;
	x->nheaders = 0;
	x->send_attempts = 0;
	x->overflow = false;
	reset_answer(x);
}

static void
xfer_release(struct xfer *x)
{
	struct ogl_http_out *h = x->out;
	bool large = x->answer->len > POOLED_BUFFER_MAX_BYTES;

	xfer_clear(x);
	if (large || h->pool->len >= POOLED_HANDLES_MAX) {
		xfer_free(x);
		return;
	}
	g_byte_array_set_size(x->answer, 0);
	g_ptr_array_add(h->pool, x);
}

/* ---- the end of a request --------------------------------------------- */

/* Whether the status says that the request was not executed.  A plain 503 does
 * not: a gateway may send it after it has forwarded the request. */
static bool
is_refusal(const struct xfer *x, long status)
{
	if (status == 429 || status == 409)
		return !x->kind->any_status || x->not_run;
	return status >= 400 && x->not_run;
}

/*
 * Records vary in size, so a page of many large ones may exceed the limit of an
 * answer.  If the same page were requested again, the reader would never get
 * past it.  So the next read requests fewer records, and later ones more again
 * once pages are received.
 */
static void
adapt_page_records(struct ogl_http_out *h, bool overflow)
{
	if (overflow)
		h->page_records = MAX(h->page_records / 4, 1);
	else
		h->page_records = MIN(h->page_records * 2, PAGE_MAX_RECORDS);
}

static enum ogl_io_result
classify_failure(struct xfer *x, CURLcode rc)
{
	struct ogl_http_out *h = x->out;
	long sent = 0;

	if (rc == CURLE_PARTIAL_FILE)
		h->counts.cut++;
	if (x->overflow)
		h->counts.malformed++;
	curl_easy_getinfo(x->easy, CURLINFO_REQUEST_SIZE, &sent);
	return sent == 0 ? OGL_IO_NOT_SENT : OGL_IO_LOST;
}

/*
 * An answer without a length ends where its connection ends, so a truncated one
 * looks complete.  It counts as lost.
 */
static enum ogl_io_result
classify_answer(struct xfer *x, struct ogl_event *ev)
{
	struct ogl_http_out *h = x->out;
	long status = 0;

	curl_easy_getinfo(x->easy, CURLINFO_RESPONSE_CODE, &status);
	if (!x->framed && status != STATUS_NO_CONTENT) {
		h->counts.cut++;
		return OGL_IO_LOST;
	}
	if (x->kind->check_token &&
	    (!x->has_token || x->echoed_token != x->token)) {
		h->counts.crossed++;
		ogl_log(h->log, OGL_LOG_WARN, LOG_PREFIX,
		    "An answer from %s was not for request %" G_GUINT64_FORMAT
		    "; it was dropped.",
		    x->url, x->token);
		return OGL_IO_LOST;
	}
	if (x->kind->any_status) {
		ev->u.exec.status = (uint32_t)status;
		ev->u.exec.not_run = x->not_run;
	}
	if (is_refusal(x, status)) {
		if (x->kind->any_status)
			x->kind->parse(x, ev);
		return OGL_IO_REFUSED;
	}
	if (status != 200 && !x->kind->any_status)
		return OGL_IO_LOST;
	if (!x->kind->parse(x, ev)) {
		h->counts.malformed++;
		return OGL_IO_LOST;
	}
	return OGL_IO_OK;
}

static void
count_io(struct ogl_http_out *h, enum ogl_io_result io)
{
	uint64_t *const counts[] = {
	    [OGL_IO_OK] = &h->counts.ok,
	    [OGL_IO_NOT_SENT] = &h->counts.not_sent,
	    [OGL_IO_REFUSED] = &h->counts.refused,
	    [OGL_IO_LOST] = &h->counts.lost,
	};

	(*counts[io])++;
}

static void
xfer_done(struct xfer *x, CURLcode rc)
{
	struct ogl_http_out *h = x->out;
	struct ogl_event ev = {.type = x->kind->event_type, .token = x->token};

	if (rc == CURLE_OK)
		ev.io = classify_answer(x, &ev);
	else
		ev.io = classify_failure(x, rc);
	if (x->kind == &kind_read && (x->overflow || ev.io == OGL_IO_OK))
		adapt_page_records(h, x->overflow);
	if (ev.io != OGL_IO_OK && x->kind != &kind_exec)
		memset(&ev.u, 0, sizeof ev.u);
	count_io(h, ev.io);
	if (rc != CURLE_OK)
		ogl_log(h->log, OGL_LOG_DEBUG, LOG_PREFIX, "%s: %s.", x->url,
		    curl_easy_strerror(rc));
	h->sink.event(h->sink.ctx, &ev);
}

static void
on_ended(void *ctx, CURL *easy, CURLcode rc)
{
	struct ogl_http_out *h = ctx;
	struct xfer *x;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &x);
	xfer_done(x, rc);
	ogl_curl_loop_remove(h->curl, easy);
	g_queue_unlink(&h->busy, &x->link);
	xfer_release(x);
}

bool
ogl_http_out_run(struct ogl_http_out *h)
{
	return ogl_curl_loop_run(h->curl);
}

/* ---- starting requests ------------------------------------------------ */

/*
 * Adds a header, unless its value contains a control character: that could end
 * the line and let a caller inject headers.
 */
static void
add_header(struct xfer *x, const char *name, const char *value)
{
	size_t i = x->nheaders;
	const char *p;

	for (p = value; *p != '\0'; p++) {
		if ((unsigned char)*p < ' ' || *p == 127)
			return;
	}
	g_snprintf(x->header_lines[i], HEADER_BYTES, "%s: %s", name, value);
	x->headers[i].data = x->header_lines[i];
	x->headers[i].next = NULL;
	if (i > 0)
		x->headers[i - 1].next = &x->headers[i];
	x->nheaders++;
}

static struct xfer *
xfer_begin(struct ogl_http_out *h, const struct request_kind *kind,
    const struct ogl_action *a)
{
	struct xfer *x = xfer_new(h);

	x->kind = kind;
	x->token = a->token;
	h->counts.requests++;
	return x;
}

static void
set_post(struct xfer *x, GBytes *body)
{
	gsize n;
	const void *p;

	x->body = body;
	p = g_bytes_get_data(body, &n);
	curl_easy_setopt(x->easy, CURLOPT_POST, 1L);
	curl_easy_setopt(x->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)n);
	curl_easy_setopt(x->easy, CURLOPT_POSTFIELDS, p != NULL ? p : "");
	add_header(x, "Expect", "");
}

static void
xfer_start(struct xfer *x, const struct ogl_action *a)
{
	struct ogl_http_out *h = x->out;
	uint32_t ms = a->timeout_ms > 0 ? a->timeout_ms : DEFAULT_TIMEOUT_MS;

	if (x->body == NULL)
		curl_easy_setopt(x->easy, CURLOPT_HTTPGET, 1L);
	curl_easy_setopt(x->easy, CURLOPT_URL, x->url);
	curl_easy_setopt(x->easy, CURLOPT_HTTPHEADER,
	    x->nheaders > 0 ? &x->headers[0] : NULL);
	curl_easy_setopt(x->easy, CURLOPT_TIMEOUT_MS, (long)ms);
	g_queue_push_tail_link(&h->busy, &x->link);
	ogl_curl_loop_add(h->curl, x->easy);
}

static GBytes *
body_of(const struct ogl_action *a)
{
	return a->data != NULL ? g_bytes_ref(a->data) : g_bytes_new(NULL, 0);
}

void
ogl_http_out_append(struct ogl_http_out *h, const struct ogl_action *a)
{
	struct xfer *x = xfer_begin(h, &kind_append, a);

	g_snprintf(x->url, URL_BYTES, "http://%s/v1/streams/%s/append",
	    h->platform, a->name);
	add_header(x, "Content-Type", "application/octet-stream");
	set_post(x, body_of(a));
	xfer_start(x, a);
}

/* The platform delays its answer until there is a record or the wait is over;
 * the wait ends well before the request's timeout.  It is short, since an
 * answer shows the state of the log only as of the time when the read was sent:
 * with a wait of one second a node considered a healthy log to be down, refused
 * edits of the settings, and its owners' rights to start work expired. */
static uint32_t
read_wait_ms(const struct ogl_action *a)
{
	if (a->timeout_ms <= READ_WAIT_MARGIN_MS)
		return 0;
	return MIN(a->timeout_ms - READ_WAIT_MARGIN_MS, READ_WAIT_MAX_MS);
}

void
ogl_http_out_read(struct ogl_http_out *h, const struct ogl_action *a)
{
	struct xfer *x = xfer_begin(h, &kind_read, a);

	g_snprintf(x->url, URL_BYTES,
	    "http://%s/v1/streams/%s/records?from=%" G_GUINT64_FORMAT
	    "&max=%u&wait_ms=%u",
	    h->platform, a->name, a->from, h->page_records, read_wait_ms(a));
	xfer_start(x, a);
}

void
ogl_http_out_hosts(struct ogl_http_out *h, const struct ogl_action *a)
{
	struct xfer *x = xfer_begin(h, &kind_hosts, a);

	g_snprintf(x->url, URL_BYTES, "http://%s/v1/hosts", h->platform);
	xfer_start(x, a);
}

/*
 * For an address that is not ip:port libcurl would call the resolver, which
 * blocks.  Such a request ends as not sent.
 */
static bool
check_addr(struct xfer *x, const char *addr)
{
	struct ogl_event ev = {.type = x->kind->event_type,
	    .token = x->token,
	    .io = OGL_IO_NOT_SENT};
	struct ogl_http_out *h = x->out;
	struct sockaddr_storage sa;
	socklen_t len;

	if (ogl_addr_parse(addr, &sa, &len))
		return true;
	count_io(h, ev.io);
	xfer_release(x);
	h->sink.event(h->sink.ctx, &ev);
	return false;
}

void
ogl_http_out_worker(struct ogl_http_out *h, const struct ogl_action *a)
{
	struct xfer *x = xfer_begin(h, &kind_worker, a);
	char *json;
	size_t n;

	if (!check_addr(x, a->addr))
		return;
	json = ogl_json_print(&a->sync->base, &n);
	g_snprintf(x->url, URL_BYTES, "http://%s/v1/sync", a->addr);
	add_header(x, "Content-Type", "application/json");
	set_post(x, g_bytes_new_take(json, n));
	xfer_start(x, a);
}

void
ogl_http_out_exec(struct ogl_http_out *h, const struct ogl_action *a)
{
	struct xfer *x = xfer_begin(h, &kind_exec, a);
	char token[24];

	if (!check_addr(x, a->addr))
		return;
	g_snprintf(x->url, URL_BYTES, "http://%s/run", a->addr);
	g_snprintf(token, sizeof token, "%" G_GUINT64_FORMAT, a->token);
	add_header(x, "Ogl-Token", token);
	add_header(x, "Ogl-Team", a->name != NULL ? a->name : "");
	add_header(x, "Ogl-Kind", a->work_kind != NULL ? a->work_kind : "");
	add_header(x, "Content-Type", "application/octet-stream");
	set_post(x, body_of(a));
	xfer_start(x, a);
}

/* ---- init and end ----------------------------------------------------- */

struct ogl_http_out *
ogl_http_out_init(struct ev_loop *loop, const char *platform,
    struct ogl_sink sink, struct ogl_logger *log)
{
	struct ogl_http_out *h = g_new0(struct ogl_http_out, 1);
	struct ogl_curl_loop_config config = {
	    HOST_CONNECTIONS_MAX, CACHED_CONNECTIONS_MAX, 1, on_ended, h};

	h->page_records = PAGE_MAX_RECORDS;
	h->platform = g_strdup(platform);
	h->sink = sink;
	h->log = log;
	h->pool = g_ptr_array_new_with_free_func(xfer_free);
	g_queue_init(&h->busy);
	h->curl = ogl_curl_loop_init(loop, &config);
	return h;
}

void
ogl_http_out_end(struct ogl_http_out *h)
{
	GList *l;

	if (h == NULL)
		return;
	while ((l = g_queue_pop_head_link(&h->busy)) != NULL) {
		struct xfer *x = l->data;

		ogl_curl_loop_remove(h->curl, x->easy);
		xfer_clear(x);
		xfer_free(x);
	}
	g_ptr_array_unref(h->pool);
	ogl_curl_loop_end(h->curl);
	g_free(h->platform);
	g_free(h);
}

const struct ogl_http_out_counts *
ogl_http_out_counts(const struct ogl_http_out *h)
{
	return &h->counts;
}
