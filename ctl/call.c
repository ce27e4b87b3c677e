/*
 * Requests to a node, with error messages for the user.
 */

#include <inttypes.h>
#include <stdio.h>

#include "ctl.h"
#include "print.h"

#define STATUS_ERROR_MIN 400 /* lowest HTTP status of an error */

void
ctl_print_raw(const struct ctl_answer *a)
{
	fwrite(a->body->str, 1, a->body->len, stdout);
	if (a->body->len > 0 && a->body->str[a->body->len - 1] != '\n')
		putchar('\n');
}

static enum ctl_exit
print_unreachable(const struct ctl_answer *a)
{
	fprintf(stderr, "oriolectl: no answer: %s\n", a->reason);
	if (a->io == OGL_IO_LOST)
		fputs("oriolectl: it may have taken effect\n", stderr);
	return CTL_UNREACHABLE;
}

static void
print_refusal(const struct ctl_answer *a)
{
	json_t *o = json_loadb(a->body->str, a->body->len, 0, NULL);
	const char *error = json_string_value(json_object_get(o, "error"));
	const json_t *faults = json_object_get(o, "faults");

	fprintf(stderr, "oriolectl: refused (%ld): %s\n", a->status,
	    error != NULL ? error : "no reason given");
	if (a->verdict[0] != '\0')
		fprintf(stderr, "oriolectl: verdict: %s\n", a->verdict);
	if (a->retry_after_ms > 0)
		fprintf(stderr, "oriolectl: retry after %" PRIu64 " ms\n",
		    a->retry_after_ms);
	if (json_array_size(faults) > 0)
		ctl_print_table(stderr, faults);
	json_decref(o);
}

enum ctl_exit
ctl_call(struct ctl *c, const struct ctl_request *r, struct ctl_answer *a)
{
	ctl_http_send(c->http, r, a);
	if (a->io != OGL_IO_OK)
		return print_unreachable(a);
	if (a->status < STATUS_ERROR_MIN)
		return CTL_OK;
	if (c->json)
		ctl_print_raw(a);
	print_refusal(a);
	return CTL_REFUSED;
}

enum ctl_exit
ctl_get(struct ctl *c, const char *path, struct ctl_answer *a)
{
	struct ctl_request r = {.method = "GET", .path = path};

	r.repeatable = true;
	return ctl_call(c, &r, a);
}

enum ctl_exit
ctl_get_json(struct ctl *c, const char *path, json_t **v)
{
	struct ctl_answer a;
	enum ctl_exit rc = ctl_get(c, path, &a);

	*v = NULL;
	if (rc == CTL_OK && c->json) {
		ctl_print_raw(&a);
	} else if (rc == CTL_OK) {
		*v =
		    json_loadb(a.body->str, a.body->len, JSON_DECODE_ANY, NULL);
		if (*v == NULL) {
			fputs("oriolectl: the answer is no JSON\n", stderr);
			rc = CTL_UNREACHABLE;
		}
	}
	ctl_answer_clear(&a);
	return rc;
}
