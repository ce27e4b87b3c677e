/*
 * Writes structured log lines.  The lines per second of each event (part and
 * name) are limited, so that a burst of one event can't displace the rare lines
 * that explain it.  Lines of jobs are kept or left out together, as part of a
 * job's lines does not tell what happened to it (logsample.h).  Lines are buffered and written once per iteration of the
 * loop, in blocks that are small enough for a pipe that polls as writable to
 * take them whole.  If the reader stops, lines that no longer fit in the buffer
 * are left out.
 */

#include <poll.h>
#include <string.h>
#include <unistd.h>

#include "logline.h"
#include "logsample.h"

#define LINES_PER_SECOND_MAX 250 /* of one event */
#define BUFFER_MAX_BYTES ((size_t)256 * 1024)
#define WRITE_MAX_BYTES 4096 /* PIPE_BUF: writes up to this are atomic */
/* If the reader is slow, the share of jobs falls before the buffer is full. */
#define BUFFER_REDUCE_BYTES (BUFFER_MAX_BYTES / 2)
/* Time for a lower share to take effect on the buffer. */
#define REDUCE_INTERVAL (200 * OGL_MS)
#define REPORT_INTERVAL OGL_SEC

/* The lines of an event in the current second. */
struct event_budget {
	ogl_time second_start;
	unsigned used;
	struct ogl_logsample_event of_jobs;
	uint64_t left_out; /* since the last report */
};

struct ogl_logline {
	int fd;
	char *node;
	GString *buffer;
	GHashTable *budgets; /* part.event -> struct event_budget */
	struct ogl_logsample sample;
	bool begun;         /* a line was put */
	ogl_time report_at; /* when to report the lines left out */
	ogl_time reduced_at;
	ogl_time wall; /* of the last line */
	uint64_t left_out;
};

struct ogl_logline *
ogl_logline_init(int fd, const char *node)
{
	struct ogl_logline *l = g_new0(struct ogl_logline, 1);

	l->fd = fd;
	l->node = g_strdup(node);
	l->buffer = g_string_new(NULL);
	l->budgets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return l;
}

static void report_left_out(struct ogl_logline *l);

void
ogl_logline_end(struct ogl_logline *l)
{
	if (l == NULL)
		return;
	report_left_out(l);
	ogl_logline_flush(l);
	g_string_free(l->buffer, TRUE);
	g_hash_table_unref(l->budgets);
	g_free(l->node);
	g_free(l);
}

static struct event_budget *
budget_of(struct ogl_logline *l, const char *part, const char *event)
{
	char name[96];
	struct event_budget *b;

	g_snprintf(name, sizeof name, "%s.%s", part, event);
	b = g_hash_table_lookup(l->budgets, name);
	if (b == NULL) {
		b = g_new0(struct event_budget, 1);
		g_hash_table_insert(l->budgets, g_strdup(name), b);
	}
	return b;
}

static void
blank_control_chars(char *p, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if ((unsigned char)p[i] < ' ' || p[i] == 127)
			p[i] = ' ';
	}
}

static void
append_line(struct ogl_logline *l, const char *part, const char *event,
    const char *text, ogl_time wall)
{
	size_t at = l->buffer->len;

	if (at > BUFFER_MAX_BYTES) {
		l->left_out++;
		return;
	}
	g_string_append_printf(l->buffer,
	    "ts=%" G_GINT64_FORMAT ".%03d node=%s part=%s event=%s %s",
	    wall / OGL_SEC, (int)(wall / OGL_MS % 1000), l->node, part, event,
	    text);
	blank_control_chars(l->buffer->str + at, l->buffer->len - at);
	g_string_append_c(l->buffer, '\n');
}

/* Nodes may have different shares, so the lines tell the one of this node.  A
 * reader finds out from it whether a job is in the sample. */
static void
report_left_out(struct ogl_logline *l)
{
	GHashTableIter it;
	gpointer name, p;
	char fields[160];

	g_hash_table_iter_init(&it, l->budgets);
	while (g_hash_table_iter_next(&it, &name, &p)) {
		struct event_budget *b = p;

		if (b->left_out == 0)
			continue;
		g_snprintf(fields, sizeof fields,
		    "of=%s lines=%" G_GUINT64_FORMAT " jobs_share_permille=%u",
		    (char *)name, b->left_out,
		    ogl_logsample_permille(&l->sample));
		append_line(l, "log", "lines_left_out", fields, l->wall);
		b->left_out = 0;
	}
}

static void
begin_line(struct ogl_logline *l, ogl_time now, ogl_time wall)
{
	if (!l->begun) {
		l->begun = true;
		l->report_at = now + REPORT_INTERVAL;
		l->reduced_at = now;
		ogl_logsample_init(&l->sample, LINES_PER_SECOND_MAX, now);
	}
	l->wall = wall;
	if (now < l->report_at)
		return;
	l->report_at = now + REPORT_INTERVAL;
	report_left_out(l);
}

static void
put_or_leave_out(struct ogl_logline *l, struct event_budget *b, bool put,
    const char *part, const char *event, const char *text)
{
	if (put) {
		append_line(l, part, event, text, l->wall);
	} else {
		b->left_out++;
		l->left_out++;
	}
}

static bool
take_job_line(struct ogl_logline *l, struct event_budget *b, struct ogl_str id,
    ogl_time began, ogl_time now)
{
	if (l->buffer->len > BUFFER_REDUCE_BYTES &&
	    now - l->reduced_at >= REDUCE_INTERVAL) {
		l->reduced_at = now;
		ogl_logsample_reduce(&l->sample, now);
	}
	return ogl_logsample_take(&l->sample, &b->of_jobs, id, began, now);
}

static bool
take_line(struct event_budget *b, ogl_time now)
{
	if (now - b->second_start >= OGL_SEC) {
		b->second_start = now;
		b->used = 0;
	}
	if (b->used >= LINES_PER_SECOND_MAX)
		return false;
	b->used++;
	return true;
}

void
ogl_logline_put_job(struct ogl_logline *l, const char *part, const char *event,
    const char *id, ogl_time began, const char *text, ogl_time now,
    ogl_time wall)
{
	struct event_budget *b = budget_of(l, part, event);
	char *whole;

	begin_line(l, now, wall);
	if (!take_job_line(l, b, ogl_str(id), began, now)) {
		put_or_leave_out(l, b, false, part, event, text);
		return;
	}
	whole = g_strdup_printf("job=%s %s", id, text);
	put_or_leave_out(l, b, true, part, event, whole);
	g_free(whole);
}

/* The job that a line names; empty if none. */
static struct ogl_str
job_of_text(const char *text)
{
	const char *at = text;
	struct ogl_str id = {NULL, 0};

	while ((at = strstr(at, "job=")) != NULL) {
		if (at == text || at[-1] == ' ') {
			id.p = at + strlen("job=");
			id.n = strcspn(id.p, " ");
			break;
		}
		at++;
	}
	return id;
}

void
ogl_logline_put(struct ogl_logline *l, const char *part, const char *event,
    const char *text, ogl_time now, ogl_time wall)
{
	struct event_budget *b = budget_of(l, part, event);
	struct ogl_str id = job_of_text(text);

	begin_line(l, now, wall);
	put_or_leave_out(l, b,
	    id.n > 0 ? take_job_line(l, b, id, OGL_NEVER, now)
		     : take_line(b, now),
	    part, event, text);
}

void
ogl_logline_put_unsampled(struct ogl_logline *l, const char *part,
    const char *event, const char *text, ogl_time now, ogl_time wall)
{
	struct event_budget *b = budget_of(l, part, event);

	begin_line(l, now, wall);
	put_or_leave_out(l, b, take_line(b, now), part, event, text);
}

static bool
writable(int fd)
{
	struct pollfd p = {.fd = fd, .events = POLLOUT};

	return poll(&p, 1, 0) == 1 && (p.revents & POLLOUT) != 0;
}

void
ogl_logline_flush(struct ogl_logline *l)
{
	size_t written = 0;

	while (written < l->buffer->len && writable(l->fd)) {
		size_t n = MIN(l->buffer->len - written, WRITE_MAX_BYTES);
		ssize_t rc = write(l->fd, l->buffer->str + written, n);

		if (rc <= 0)
			break;
		written += (size_t)rc;
	}
	g_string_erase(l->buffer, 0, (gssize)written);
}

uint64_t
ogl_logline_left_out(const struct ogl_logline *l)
{
	return l->left_out;
}
