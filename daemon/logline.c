/*
 * Each event (part and name) has a budget of lines a second; a burst of one
 * kind can't push out the rare lines that explain it.  Lines are gathered in a
 * buffer and written when the loop comes round, in pieces small enough that a
 * pipe which polls writable takes them whole; a reader that has stopped costs
 * nothing but the lines that no longer fit.
 */

#include <poll.h>
#include <string.h>
#include <unistd.h>

#include "logline.h"

#define LINES_A_SECOND 250 /* of one event */
#define BUFFER_MAX ((size_t)256 * 1024)
#define PIECE 4096 /* PIPE_BUF: written whole or not at all */

struct budget {
	ogl_time since;
	unsigned used;
	uint64_t left_out; /* in the second that began at since */
};

struct ogl_logline {
	int fd;
	char *node;
	GString *buffer;
	GHashTable *budgets; /* part.event -> struct budget */
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

static struct budget *
budget_of(struct ogl_logline *l, const char *part, const char *event)
{
	char name[96];
	struct budget *b;

	g_snprintf(name, sizeof name, "%s.%s", part, event);
	b = g_hash_table_lookup(l->budgets, name);
	if (b == NULL) {
		b = g_new0(struct budget, 1);
		g_hash_table_insert(l->budgets, g_strdup(name), b);
	}
	return b;
}

static void
clean(char *p, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if ((unsigned char)p[i] < ' ' || p[i] == 127)
			p[i] = ' ';
	}
}

static void
put(struct ogl_logline *l, const char *part, const char *event,
    const char *text, ogl_time wall)
{
	size_t at = l->buffer->len;

	if (at > BUFFER_MAX) {
		l->left_out++;
		return;
	}
	g_string_append_printf(l->buffer,
	    "ts=%" G_GINT64_FORMAT ".%03d node=%s part=%s event=%s %s",
	    wall / OGL_SEC, (int)(wall / OGL_MS % 1000), l->node, part, event,
	    text);
	clean(l->buffer->str + at, l->buffer->len - at);
	g_string_append_c(l->buffer, '\n');
}

void
ogl_logline_put(struct ogl_logline *l, const char *part, const char *event,
    const char *text, ogl_time now, ogl_time wall)
{
	struct budget *b = budget_of(l, part, event);
	char more[96];

	if (now - b->since >= OGL_SEC) {
		if (b->left_out > 0) {
			g_snprintf(more, sizeof more,
			    "of=%s.%s lines=%" G_GUINT64_FORMAT, part, event,
			    b->left_out);
			put(l, "log", "lines_left_out", more, wall);
		}
		b->since = now;
		b->used = 0;
		b->left_out = 0;
	}
	if (b->used >= LINES_A_SECOND) {
		b->left_out++;
		l->left_out++;
		return;
	}
	b->used++;
	put(l, part, event, text, wall);
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
	size_t done = 0;

	while (done < l->buffer->len && writable(l->fd)) {
		size_t n = MIN(l->buffer->len - done, PIECE);
		ssize_t put = write(l->fd, l->buffer->str + done, n);

		if (put <= 0)
			break;
		done += (size_t)put;
	}
	g_string_erase(l->buffer, 0, (gssize)done);
}

uint64_t
ogl_logline_left_out(const struct ogl_logline *l)
{
	return l->left_out;
}
