/*
 * JSON text shared by the message codec and the settings tree.
 */

#ifndef OGL_JSON_H
#define OGL_JSON_H

#include <jansson.h>

#include "orioleglade.h"

/* Deepest nesting of objects and lists that is read. */
#define OGL_JSON_MAX_DEPTH 16

json_t *ogl_json_load(
    struct ogl_str text, const char *path, struct ogl_faults *faults);
/* Any JSON value, strictly read; NULL with one fault at path when it is
 * malformed, too deep, or names a key twice.  json_decref it. */

char *ogl_json_brief(const json_t *v);
/* A value as short text for a fault; g_free. */

#endif
