/*
 * The list of faults found in some input.  Faults stay in the order in which
 * they were found, so that equal input gives an equal list.
 */

#include "orioleglade.h"

struct fault {
	char *path;
	char *value;
	char *allowed;
};

struct ogl_faults {
	GPtrArray *list; /* struct fault */
};

static void
fault_free(void *p)
{
	struct fault *f = p;

	g_free(f->path);
	g_free(f->value);
	g_free(f->allowed);
	g_free(f);
}

struct ogl_faults *
ogl_faults_new(void)
{
	struct ogl_faults *f = g_new0(struct ogl_faults, 1);

	f->list = g_ptr_array_new_with_free_func(fault_free);
	return f;
}

void
ogl_faults_free(struct ogl_faults *f)
{
	if (f == NULL)
		return;
	g_ptr_array_free(f->list, TRUE);
	g_free(f);
}

void
ogl_faults_add(struct ogl_faults *f, const char *path, const char *value,
    const char *allowed)
{
	struct fault *entry = g_new0(struct fault, 1);

	entry->path = g_strdup(path != NULL ? path : "");
	entry->value = g_strdup(value != NULL ? value : "");
	entry->allowed = g_strdup(allowed != NULL ? allowed : "");
	g_ptr_array_add(f->list, entry);
}

size_t
ogl_faults_count(const struct ogl_faults *f)
{
	return f->list->len;
}

static const struct fault *
fault_at(const struct ogl_faults *f, size_t i)
{
	return i < f->list->len ? g_ptr_array_index(f->list, i) : NULL;
}

const char *
ogl_faults_path(const struct ogl_faults *f, size_t i)
{
	const struct fault *entry = fault_at(f, i);

	return entry != NULL ? entry->path : NULL;
}

const char *
ogl_faults_value(const struct ogl_faults *f, size_t i)
{
	const struct fault *entry = fault_at(f, i);

	return entry != NULL ? entry->value : NULL;
}

const char *
ogl_faults_allowed(const struct ogl_faults *f, size_t i)
{
	const struct fault *entry = fault_at(f, i);

	return entry != NULL ? entry->allowed : NULL;
}
