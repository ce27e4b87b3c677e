/*
 * Prints JSON as readable text.  The code doesn't depend on the fields of
 * answers, except for timestamps: a list of objects becomes a table whose
 * columns are their fields, so a new field needs no new code.
 */

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <time.h>

#include "print.h"

#define COLUMN_GAP 2 /* spaces between columns */

/* Fields with a time since the epoch, not a duration. */
static const char *const timestamp_fields[] = {"at_ms", "accepted_ms"};

static char *
timestamp_text(json_int_t ms)
{
	time_t sec = (time_t)(ms / 1000);
	struct tm tm;
	char text[32];

	if (gmtime_r(&sec, &tm) == NULL ||
	    strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &tm) == 0)
		return g_strdup("?");
	return g_strdup(text);
}

/* The text of one table cell.  Control characters become spaces, since they
 * could change the state of a terminal. */
static char *
cell_text(const char *field, const json_t *v)
{
	char *json;
	char *text;

	if (v == NULL || json_is_null(v))
		return g_strdup("-");
	for (size_t i = 0; i < G_N_ELEMENTS(timestamp_fields); i++)
		if (strcmp(field, timestamp_fields[i]) == 0 &&
		    json_is_integer(v))
			return timestamp_text(json_integer_value(v));
	if (json_is_string(v)) {
		text = g_strdup(json_string_value(v));
	} else {
		json = json_dumps(v, JSON_COMPACT | JSON_ENCODE_ANY);
		text = g_strdup(json);
		free(json);
	}
	for (char *c = text; *c != '\0'; c++)
		if (g_ascii_iscntrl(*c))
			*c = ' ';
	return text;
}

static bool
is_table(const json_t *v)
{
	size_t i;
	json_t *item;

	if (!json_is_array(v) || json_array_size(v) == 0)
		return false;
	json_array_foreach((json_t *)v, i, item)
	{
		if (!json_is_object(item))
			return false;
	}
	return true;
}

static GPtrArray *
find_columns(const json_t *rows)
{
	GPtrArray *columns = g_ptr_array_new();
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	size_t i;
	json_t *row;

	json_array_foreach((json_t *)rows, i, row)
	{
		const char *field;
		json_t *v;

		json_object_foreach(row, field, v)
		{
			if (g_hash_table_add(seen, (gpointer)field))
				g_ptr_array_add(columns, (gpointer)field);
		}
	}
	g_hash_table_destroy(seen);
	return columns;
}

static size_t
column_width(const json_t *rows, const char *field)
{
	size_t width = strlen(field);
	size_t i;
	json_t *row;

	json_array_foreach((json_t *)rows, i, row)
	{
		char *text = cell_text(field, json_object_get(row, field));

		width = MAX(width, (size_t)g_utf8_strlen(text, -1));
		g_free(text);
	}
	return width;
}

/* The last column is not padded, so that lines have no trailing spaces. */
static void
print_cell(FILE *out, const char *text, size_t width, bool last)
{
	size_t n = (size_t)g_utf8_strlen(text, -1);

	fputs(text, out);
	if (last)
		fputc('\n', out);
	for (; !last && n < width + COLUMN_GAP; n++)
		fputc(' ', out);
}

void
ctl_print_table(FILE *out, const json_t *rows)
{
	GPtrArray *columns = find_columns(rows);
	size_t *widths = g_new0(size_t, columns->len + 1);
	size_t i;
	json_t *row;

	for (guint c = 0; c < columns->len; c++) {
		const char *field = g_ptr_array_index(columns, c);

		widths[c] = column_width(rows, field);
		print_cell(out, field, widths[c], c + 1 == columns->len);
	}
	json_array_foreach((json_t *)rows, i, row)
	{
		for (guint c = 0; c < columns->len; c++) {
			const char *field = g_ptr_array_index(columns, c);
			char *text =
			    cell_text(field, json_object_get(row, field));

			print_cell(out, text, widths[c], c + 1 == columns->len);
			g_free(text);
		}
	}
	g_free(widths);
	g_ptr_array_free(columns, TRUE);
}

static void
print_object(FILE *out, const json_t *o)
{
	size_t width = 0;
	const char *field;
	json_t *v;

	json_object_foreach((json_t *)o, field, v)
	{
		if (!is_table(v))
			width = MAX(width, strlen(field));
	}
	json_object_foreach((json_t *)o, field, v)
	{
		char *text;

		if (is_table(v))
			continue;
		text = cell_text(field, v);
		print_cell(out, field, width, false);
		print_cell(out, text, 0, true);
		g_free(text);
	}
	json_object_foreach((json_t *)o, field, v)
	{
		if (!is_table(v))
			continue;
		fprintf(out, "%s:\n", field);
		ctl_print_table(out, v);
	}
}

void
ctl_print(FILE *out, const json_t *v)
{
	char *text;

	if (is_table(v)) {
		ctl_print_table(out, v);
	} else if (json_is_object(v)) {
		print_object(out, v);
	} else if (json_is_array(v) && json_array_size(v) == 0) {
		fputs("none\n", out);
	} else {
		text = cell_text("", v);
		print_cell(out, text, 0, true);
		g_free(text);
	}
}
