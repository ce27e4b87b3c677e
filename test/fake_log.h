/*
 * A platform log without I/O: named streams of records with offsets,
 * retention and a limited append rate, which can be told to be down, slow,
 * or to lose answers.  The present time is an argument throughout.
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
	FAKE_LOG_LOST     /* appended, but the caller hears nothing of it */
};

/* How the log behaves; may be changed between calls. */
struct fake_log_script {
	double rate;         /* appends a second over all streams */
	uint64_t keep_count; /* newest records kept a stream; 0 no bound */
	ogl_time keep_age;   /* records this old are dropped; 0 no bound */
	bool outage;         /* neither appends nor reads work */
	uint32_t lose;       /* next appends whose answers are lost */
	ogl_time slow;       /* extra delay of each answer, for the driver */
};

struct fake_log *fake_log_init(void);
void fake_log_end(struct fake_log *l);

struct fake_log_script *fake_log_script(struct fake_log *l);

enum fake_log_result fake_log_append(struct fake_log *l, const char *stream,
    struct ogl_str data, ogl_time now, uint64_t *offset);
/* Appends one record; its offset is in *offset also when the answer is lost.
 * A lost answer goes before an outage: the record is there nonetheless. */

enum fake_log_result fake_log_read(struct fake_log *l, const char *stream,
    uint64_t from, ogl_time now, uint64_t *first, uint64_t *next,
    struct ogl_log_entry *entries, size_t max, size_t *n);
/* Up to max records at and above `from`, or above *first when that is gone.
 * The entries borrow from the log until its next call. */

#ifdef __cplusplus
}
#endif

#endif
