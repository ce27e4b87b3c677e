/* Answers of the platform's log: one page of records, or an offset. */
#ifndef OGL_LOGPAGE_H
#define OGL_LOGPAGE_H

#include "orioleglade.h"

struct ogl_logpage {
	uint64_t first; /* oldest offset retained */
	uint64_t next;  /* offset the next append gets */
	struct ogl_log_entry *entries;
	size_t n;
	GByteArray *bytes; /* of all entries */
};

bool ogl_logpage_parse(struct ogl_logpage *p, struct ogl_str text);
/* False when the text is no page: malformed JSON or base64, offsets that do
 * not rise or reach beyond next.  End it in either case. */

void ogl_logpage_end(struct ogl_logpage *p);
/* Frees what it holds and zeroes it. */

bool ogl_logpage_appended(struct ogl_str text, uint64_t *offset);
/* The offset that an append was given. */

#endif
