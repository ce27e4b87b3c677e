/*
 * The HTTP side that all stand-in programs share: servers on loopback over
 * one libev loop, answers that may be delayed, dropped or cut short, and the
 * reading of /ctl orders.
 */

#ifndef FAKE_HTTP_H
#define FAKE_HTTP_H

#include <ev.h>
#include <jansson.h>

#include "orioleglade.h"

#define FAKE_HTTP_MAX_HEADERS 4 /* most headers an answer may be given */

struct fake_http; /* one port */

/* One request and its answer.  The handler fills in the second half. */
struct fake_http_call {
	const char *method;
	const char *path; /* without its query */
	struct ogl_str body;
	bool wait_over; /* its wait is over: answer now */

	uint32_t status;
	char *answer;      /* g_malloc'd; NULL is an empty body */
	size_t n;          /* length declared */
	size_t sent_bytes; /* bytes sent; below n the connection breaks */
	bool drop;         /* close the connection without an answer */
	ogl_time delay;    /* before the answer */
	ogl_time max_wait; /* longest wait after FAKE_HTTP_WAIT */
	unsigned nheaders;
	const char *header_name[FAKE_HTTP_MAX_HEADERS];
	char *header_value[FAKE_HTTP_MAX_HEADERS];
	void *connection; /* for fake_http_header and fake_http_query_number */
};

enum fake_http_next {
	FAKE_HTTP_ANSWER, /* the answer is filled in */
	FAKE_HTTP_WAIT    /* call the handler again after fake_http_wake or
	                     when call->max_wait has passed */
};

typedef enum fake_http_next (*fake_http_handler)(
    void *ctx, struct fake_http_call *c, ogl_time now);

struct fake_http *fake_http_start(
    struct ev_loop *loop, uint16_t port, fake_http_handler fn, void *ctx);
/* Listens on 127.0.0.1; port 0 takes a free one.  NULL when it cannot. */

void fake_http_stop(struct fake_http *h);
/* Drops what is unanswered and closes the port. */

uint16_t fake_http_port(const struct fake_http *h);
size_t fake_http_pending(const struct fake_http *h);
/* Calls that wait or are delayed. */

void fake_http_wake(struct fake_http *h);
/* Asks the handler again about each call that waits. */

void fake_http_serve(struct ev_loop *loop);
/* Runs the loop until SIGTERM or SIGINT. */

const char *fake_http_header(const struct fake_http_call *c, const char *name);
/* A header of the request; "" when absent. */

uint64_t fake_http_query_number(
    const struct fake_http_call *c, const char *name, uint64_t fallback);
/* A number in the query. */

void fake_http_set(
    struct fake_http_call *c, const char *name, const char *value);
/* Adds a header to the answer; name is borrowed. */

enum fake_http_next fake_http_text(
    struct fake_http_call *c, uint32_t status, char *text);
/* Answers with the text, which it takes over. */

enum fake_http_next fake_http_json(
    struct fake_http_call *c, uint32_t status, json_t *v);
/* Answers with the value, which it takes over. */

/* One order that a /ctl object may hold. */
struct fake_ctl {
	const char *name;
	enum {
		FAKE_CTL_FLAG,    /* bool */
		FAKE_CTL_COUNT,   /* uint32_t */
		FAKE_CTL_COUNT64, /* uint64_t */
		FAKE_CTL_MS,      /* milliseconds into an ogl_time */
		FAKE_CTL_REAL     /* double */
	} type;
	void *value;
};

enum fake_http_next fake_ctl_answer(
    struct fake_http_call *c, const struct fake_ctl *table, size_t n);
/*
 * Takes a /ctl object whole or, when a name or a type is wrong, not at all,
 * and answers 200 or 422.  A mistyped order that did nothing would make a
 * trial of a failure pass without the failure.
 */

#endif
