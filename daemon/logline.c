/*
 * Writes structured log lines.  The lines per second of each event (part and
 * name) are limited, so that a burst of one event can't displace the rare lines
 * that explain it.  Lines are buffered and written once per iteration of the
 * loop, in blocks that are small enough for a pipe that polls as writable to
 * take them whole.  If the reader stops, lines that no longer fit in the buffer
 * are left out.
 */

#include <poll.h>
#include <string.h>
#include <unistd.h>

#include "logline.h"

#define LINES_PER_SECOND_MAX 250 /* of one event */
#define BUFFER_MAX_BYTES ((size_t)256 * 1024)
#define WRITE_MAX_BYTES 4096 /* PIPE_BUF: writes up to this are atomic */

/* The lines of an event in the current second. */
struct event_budget {
	ogl_time second_start;
	unsigned used;
	uint64_t left_out; /* in this second */
};

struct ogl_logline {
	int fd;
	char *node;
	GString *buffer;
	GHashTable *budgets; /* part.event -> struct event_budget */
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

void
ogl_logline_end(struct ogl_logline *l)
{
	if (l == NULL)
		return;
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

void
ogl_logline_put(struct ogl_logline *l, const char *part, const char *event,
    const char *text, ogl_time now, ogl_time wall)
{
	struct event_budget *b = budget_of(l, part, event);
	char fields[96];

	if (now - b->second_start >= OGL_SEC) {
		if (b->left_out > 0) {
			g_snprintf(fields, sizeof fields,
			    "of=%s.%s lines=%" G_GUINT64_FORMAT, part, event,
			    b->left_out);
			append_line(l, "log", "lines_left_out", fields, wall);
		}
		b->second_start = now;
		b->used = 0;
		b->left_out = 0;
	}
	if (b->used >= LINES_PER_SECOND_MAX) {
		b->left_out++;
		l->left_out++;
		return;
	}
	b->used++;
	append_line(l, part, event, text, wall);
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
