/*
 * A fake of the platform's log, without I/O: named streams of records with
 * offsets, retention and a limited append rate.  It can simulate outages, slow
 * answers and lost answers.  The current time is always an argument.
 */

#ifndef FAKE_LOG_H
#define FAKE_LOG_H

#include "orioleglade.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fake_log;

enum fake_log_result {
	FAKE_LOG_OK,
	FAKE_LOG_LIMITED, /* append rate exceeded; not appended */
	FAKE_LOG_DOWN,    /* outage; not appended */
	FAKE_LOG_LOST     /* appended, but the answer is lost */
};

/* Limits and faults of the log; may be changed between calls. */
struct fake_log_script {
	double appends_per_s;  /* over all streams */
	uint64_t keep_count;   /* records kept per stream; 0: no limit */
	ogl_time keep_age;     /* records this old are dropped; 0: no limit */
	bool outage;           /* appends and reads fail */
	uint32_t lose_answers; /* number of next appends without an answer */
	ogl_time answer_delay; /* of each answer; the caller applies it */
};

struct fake_log *fake_log_init(void);
void fake_log_end(struct fake_log *l);

struct fake_log_script *fake_log_script(struct fake_log *l);

enum fake_log_result fake_log_append(struct fake_log *l, const char *stream,
    struct ogl_str data, ogl_time now, uint64_t *offset);
/* Appends one record.  Its offset is stored in *offset, also when the answer is
 * lost.  `lose_answers` takes precedence over `outage`: such a record is
 * appended even during an outage. */

enum fake_log_result fake_log_read(struct fake_log *l, const char *stream,
    uint64_t from, ogl_time now, uint64_t *first, uint64_t *next,
    struct ogl_log_entry *entries, size_t max, size_t *n);
/* Reads up to max records from offset `from` on, or from *first on if the
 * records before it were dropped.  *first and *next are the offsets of the
 * oldest record and of the next append.  The entries point into the log and
 * are valid until its next call. */

#ifdef __cplusplus
}
#endif

#endif
