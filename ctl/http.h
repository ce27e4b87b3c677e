/*
 * HTTP requests to the first node that answers.
 */

#ifndef CTL_HTTP_H
#define CTL_HTTP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "orioleglade.h"

struct ctl_http;

struct ctl_request {
	const char *method;
	const char *path; /* escaped, with the query */
	struct ogl_str body;
	const char *headers[8]; /* "Name: value", ends with NULL */
	bool repeatable;        /* safe to send again */
};

struct ctl_answer {
	enum ogl_io_result io; /* OGL_IO_OK: status to retry_after_ms are set */
	long status;
	GString *body;
	char *verdict;           /* Ogl-Verdict, "" if absent */
	uint64_t retry_after_ms; /* 0 if absent */
	char *reason;            /* why there is no answer */
};

struct ctl_http *ctl_http_init(const char *nodes, const char *key);
/* nodes is a list of ip:port separated by commas, key is NULL or the caller's
 * key.  Returns NULL if the list is malformed. */

void ctl_http_end(struct ctl_http *h);

void ctl_http_send(
    struct ctl_http *h, const struct ctl_request *r, struct ctl_answer *a);
/* Sends the request to the nodes in turn and fills in the answer.  Goes on with
 * the next node only after a failure that makes it safe to send again. */

void ctl_answer_clear(struct ctl_answer *a);
/* Frees what the answer holds. */

#endif
