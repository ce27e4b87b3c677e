#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "logline.h"

char *
ctl_field(const char *line, const char *key)
{
	size_t n = strlen(key);
	const char *at = line;

	while ((at = strstr(at, key)) != NULL) {
		if ((at == line || at[-1] == ' ') && at[n] == '=') {
			at += n + 1;
			return g_strndup(at, strcspn(at, " \n"));
		}
		at += n;
	}
	return NULL;
}

double
ctl_field_number(const char *line, const char *key)
{
	char *text = ctl_field(line, key);
	double v = text != NULL ? g_ascii_strtod(text, NULL) : 0;

	g_free(text);
	return v;
}

bool
ctl_read_lines(const char *path, ctl_line_fn *on_line, void *arg)
{
	FILE *f = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
	char *line = NULL;
	size_t cap = 0;

	if (f == NULL) {
		fprintf(stderr, "oriolectl: %s: cannot be read\n", path);
		return false;
	}
	while (getline(&line, &cap, f) >= 0)
		on_line(arg, line);
	free(line);
	if (f != stdin)
		fclose(f);
	return true;
}
