/* Parses answers of the platform's log: a page of records, or an offset. */
#ifndef OGL_LOGPAGE_H
#define OGL_LOGPAGE_H

#include "orioleglade.h"

struct ogl_logpage {
	uint64_t first; /* oldest offset retained */
	uint64_t next;  /* offset the next append gets */
	struct ogl_log_entry *entries;
	size_t n;
	GByteArray *bytes; /* data of all entries */
};

bool ogl_logpage_parse(struct ogl_logpage *p, struct ogl_str text);
/* Returns false if the text is no page: malformed JSON or base64, offsets that
 * don't increase or that are not below next.  The caller calls
 * ogl_logpage_end() in either case. */

void ogl_logpage_end(struct ogl_logpage *p);
/* Frees what the page holds and zeroes it. */

bool ogl_logpage_parse_offset(struct ogl_str text, uint64_t *offset);
/* Parses the offset of an appended record; false if the text has none. */

#endif
