/*
 * Directives to the fakes inside payloads and bodies, such as "run_ms=40 fail".
 */

#ifndef FAKE_TEXT_H
#define FAKE_TEXT_H

#include "orioleglade.h"

bool fake_text_number(struct ogl_str text, const char *name, uint64_t *value);
/* Whether the text contains the name (such as "run_ms=") followed by digits;
 * their value is stored in *value, which is unchanged otherwise. */

bool fake_text_has(struct ogl_str text, const char *word);
/* Whether the text contains the word anywhere. */

#endif
