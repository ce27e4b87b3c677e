/* Copies of protobuf-c messages, and the JSON body of error replies. */

#include <string.h>

#include "message.h"

/* Copies by packing and unpacking, which works for every type of message. */
void *
ogl_message_copy(const ProtobufCMessage *m)
{
	size_t n = protobuf_c_message_get_packed_size(m);
	uint8_t *buf = g_malloc(n + 1);
	void *copy;

	protobuf_c_message_pack(m, buf);
	copy = protobuf_c_message_unpack(m->descriptor, NULL, n, buf);
	g_free(buf);
	return copy;
}

char *
ogl_error_text(const char *error, enum ogl_verdict v, uint64_t retry_after_ms,
    const struct ogl_faults *faults)
{
	Ogl__ErrorView e = OGL__ERROR_VIEW__INIT;
	size_t n_faults = faults != NULL ? ogl_faults_count(faults) : 0;
	Ogl__Fault *f = g_new0(Ogl__Fault, n_faults + 1);
	Ogl__Fault **list = g_new0(Ogl__Fault *, n_faults + 1);
	char *text;

	for (size_t i = 0; i < n_faults; i++) {
		ogl__fault__init(&f[i]);
		f[i].path = (char *)ogl_faults_path(faults, i);
		f[i].value = (char *)ogl_faults_value(faults, i);
		f[i].allowed = (char *)ogl_faults_allowed(faults, i);
		list[i] = &f[i];
	}
	e.error = (char *)error;
	e.verdict = (Ogl__Verdict)v;
	e.retry_after_ms = retry_after_ms;
	e.n_faults = n_faults;
	e.faults = list;
	text = ogl_json_print(&e.base, NULL);
	g_free(list);
	g_free(f);
	return text;
}

GBytes *
ogl_error_body(const char *error, enum ogl_verdict v, uint64_t retry_after_ms)
{
	char *text = ogl_error_text(error, v, retry_after_ms, NULL);

	return g_bytes_new_take(text, strlen(text));
}
