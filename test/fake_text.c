/*
 * Directives to the fakes inside payloads and bodies.  Values are limited to
 * MAX_VALUE, so that adding them to a time cannot overflow.
 */

#include <string.h>

#include "fake_text.h"

#define MAX_VALUE UINT64_C(1000000000000)

static const char *
find(struct ogl_str text, const char *word)
{
	return text.n == 0 ? NULL : g_strstr_len(text.p, (gssize)text.n, word);
}

bool
fake_text_has(struct ogl_str text, const char *word)
{
	return find(text, word) != NULL;
}

bool
fake_text_number(struct ogl_str text, const char *name, uint64_t *value)
{
	const char *p = find(text, name);
	const char *end = text.p + text.n;
	uint64_t v = 0;

	if (p == NULL)
		return false;
	p += strlen(name);
	if (p == end || !g_ascii_isdigit(*p))
		return false;
	for (; p < end && g_ascii_isdigit(*p); p++)
		v = MIN(v * 10 + (uint64_t)(*p - '0'), MAX_VALUE);
	*value = v;
	return true;
}
