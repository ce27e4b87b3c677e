/*
 * HTTP server code shared by the stand-in programs: servers on loopback that
 * run in one libev loop, answers that may be delayed, dropped or cut short,
 * and the parsing of /ctl commands.
 */

#ifndef FAKE_HTTP_H
#define FAKE_HTTP_H

#include <ev.h>
#include <jansson.h>

#include "orioleglade.h"

#define FAKE_HTTP_MAX_HEADERS 4 /* most extra headers of an answer */

struct fake_http; /* a server on one port */

/* One request and its answer.  The handler fills in the fields from status
 * to header_value. */
struct fake_http_call {
	const char *method;
	const char *path; /* without its query */
	struct ogl_str body;
	bool wait_over; /* the wait has timed out; the handler must answer */

	uint32_t status;
	char *answer;      /* g_malloc'd; NULL is an empty body */
	size_t n;          /* declared length in bytes */
	size_t sent_bytes; /* if below n, the connection is closed */
	bool drop;         /* close the connection without an answer */
	ogl_time delay;    /* delay of the answer */
	ogl_time max_wait; /* maximum wait after FAKE_HTTP_WAIT */
	unsigned nheaders;
	const char *header_name[FAKE_HTTP_MAX_HEADERS];
	char *header_value[FAKE_HTTP_MAX_HEADERS];
	void *connection; /* for fake_http_header and fake_http_query_number */
};

enum fake_http_next {
	FAKE_HTTP_ANSWER, /* the answer is filled in */
	FAKE_HTTP_WAIT    /* call the handler again after fake_http_wake or
	                     when call->max_wait has elapsed */
};

typedef enum fake_http_next (*fake_http_handler)(
    void *ctx, struct fake_http_call *c, ogl_time now);

struct fake_http *fake_http_start(
    struct ev_loop *loop, uint16_t port, fake_http_handler fn, void *ctx);
/* Listens on 127.0.0.1; port 0 selects a free port.  NULL if the port is not
 * available. */

void fake_http_stop(struct fake_http *h);
/* Drops the calls that are not answered yet and closes the port. */

uint16_t fake_http_port(const struct fake_http *h);

size_t fake_http_pending(const struct fake_http *h);
/* Number of calls that wait or whose answer is delayed. */

void fake_http_wake(struct fake_http *h);
/* Calls the handler again for each call that waits. */

void fake_http_serve(struct ev_loop *loop);
/* Runs the loop until SIGTERM or SIGINT. */

const char *fake_http_header(const struct fake_http_call *c, const char *name);
/* A header of the request; "" if absent. */

uint64_t fake_http_query_number(
    const struct fake_http_call *c, const char *name, uint64_t fallback);
/* A number in the query; fallback if absent or malformed. */

void fake_http_set(
    struct fake_http_call *c, const char *name, const char *value);
/* Adds a header to the answer.  The value is copied, the name is not. */

enum fake_http_next fake_http_text(
    struct fake_http_call *c, uint32_t status, char *text);
/* Answers with the text and takes ownership of it. */

enum fake_http_next fake_http_json(
    struct fake_http_call *c, uint32_t status, json_t *v);
/* Answers with the value and takes ownership of it. */

/* One command that a /ctl object may contain. */
struct fake_ctl {
	const char *name;
	enum {
		FAKE_CTL_FLAG,    /* bool */
		FAKE_CTL_COUNT,   /* uint32_t */
		FAKE_CTL_COUNT64, /* uint64_t */
		FAKE_CTL_MS,      /* milliseconds, stored as ogl_time */
		FAKE_CTL_REAL     /* double */
	} type;
	void *value;
};

enum fake_http_next fake_ctl_answer(
    struct fake_http_call *c, const struct fake_ctl *table, size_t n);
/*
 * Applies a /ctl object and answers 200; if any name or type in it is wrong,
 * applies nothing and answers 422.  If a misspelt command were ignored, a test
 * of a failure would pass without the failure.
 */

#endif
