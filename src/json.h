/*
 * JSON text shared by the message codec and the settings tree.
 */

#ifndef OGL_JSON_H
#define OGL_JSON_H

#include <jansson.h>

#include "orioleglade.h"

/* Maximum nesting of objects and lists that the parser accepts. */
#define OGL_JSON_MAX_DEPTH 16

json_t *ogl_json_load(
    struct ogl_str text, const char *path, struct ogl_faults *faults);
/* Parses any JSON value strictly.  NULL with one fault at path when the text is
 * malformed, nested too deeply, or has a duplicate key.  json_decref it. */

char *ogl_json_brief(const json_t *v);
/* JSON text of a value for a fault, shortened when it is long; g_free. */

#endif
