/*
 * Requests to whichever node answers.
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
	const char *path; /* with its query, escaped */
	struct ogl_str body;
	const char *headers[8]; /* "Name: value", NULL-ended */
	bool repeatable;        /* to ask twice does no harm */
};

struct ctl_answer {
	enum ogl_io io; /* only OGL_IO_OK has what follows */
	long status;
	GString *body;
	char *verdict;           /* Ogl-Verdict, "" without one */
	uint64_t retry_after_ms; /* 0 none */
	char *reason;            /* why there is no answer */
};

struct ctl_http *ctl_http_init(const char *nodes, const char *key);
/* Nodes are ip:port, with commas between; NULL when the list is no such. */

void ctl_http_end(struct ctl_http *h);

void ctl_http_ask(
    struct ctl_http *h, const struct ctl_request *r, struct ctl_answer *a);
/* Asks the nodes in turn until one answers; fills the answer in. */

void ctl_answer_clear(struct ctl_answer *a);

#endif
