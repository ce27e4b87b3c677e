/*
 * Orders to the fakes hidden in payloads and bodies: "run_ms=40 fail".
 */

#ifndef FAKE_TEXT_H
#define FAKE_TEXT_H

#include "orioleglade.h"

bool fake_text_number(struct ogl_str text, const char *name, uint64_t *value);
/* Whether the text holds the name (such as "run_ms=") and digits right after
 * it; *value is left alone otherwise. */

bool fake_text_has(struct ogl_str text, const char *word);
/* Whether the text holds the word anywhere. */

#endif
