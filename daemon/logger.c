/*
 * Writes log lines to a stream.  A line is assembled in a buffer and written
 * with one call, so that lines of several processes that share the stream do
 * not mix.  Lines longer than the buffer are cut off.
 */

#include <glib/gprintf.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>

#include "logger.h"

#define LINE_MAX_BYTES 1024

struct ogl_logger {
	FILE *out;
	enum ogl_log_level level;
};

static const char *const level_names[] = {
    [OGL_LOG_ERROR] = "error",
    [OGL_LOG_WARN] = "warn",
    [OGL_LOG_INFO] = "info",
    [OGL_LOG_DEBUG] = "debug",
};

struct ogl_logger *
ogl_logger_init(FILE *out, enum ogl_log_level level)
{
	struct ogl_logger *l = g_new0(struct ogl_logger, 1);

	l->out = out;
	l->level = level;
	return l;
}

void
ogl_logger_end(struct ogl_logger *l)
{
	g_free(l);
}

void
ogl_logger_set_level(struct ogl_logger *l, enum ogl_log_level level)
{
	l->level = level;
}

bool
ogl_log_level_parse(const char *name, enum ogl_log_level *level)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (strcmp(name, level_names[i]) == 0) {
			*level = (enum ogl_log_level)i;
			return true;
		}
	}
	return false;
}

static size_t
put_timestamp(char *line, size_t cap)
{
	struct timespec ts;
	struct tm tm;
	size_t n;

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	n = strftime(line, cap, "%Y-%m-%dT%H:%M:%S", &tm);
	n += (size_t)snprintf(
	    line + n, cap - n, ".%03ldZ ", ts.tv_nsec / 1000000);
	return n;
}

void
ogl_log(struct ogl_logger *l, enum ogl_log_level level, const char *prefix,
    const char *fmt, ...)
{
	char line[LINE_MAX_BYTES];
	va_list ap;
	size_t n, i;
	int m;

	if (level > l->level)
		return;
	n = put_timestamp(line, sizeof line);
	m = snprintf(
	    line + n, sizeof line - n, "%s %s: ", level_names[level], prefix);
	if (m > 0)
		n = MIN(n + (size_t)m, sizeof line - 1);
	va_start(ap, fmt);
	m = g_vsnprintf(line + n, sizeof line - n, fmt, ap);
	va_end(ap);
	if (m > 0)
		n = MIN(n + (size_t)m, sizeof line - 2);
	for (i = 0; i < n; i++) {
		if ((unsigned char)line[i] < ' ' || line[i] == 127)
			line[i] = ' ';
	}
	line[n++] = '\n';
	fwrite(line, 1, n, l->out);
	fflush(l->out);
}
