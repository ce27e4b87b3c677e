/* Copies of messages, and the JSON body of error replies. */

#ifndef OGL_MESSAGE_H
#define OGL_MESSAGE_H

#include "orioleglade.h"

void *ogl_message_copy(const ProtobufCMessage *m);
/* A deep copy; free it with protobuf_c_message_free_unpacked. */

char *ogl_error_text(const char *error, enum ogl_verdict v,
    uint64_t retry_after_ms, const struct ogl_faults *faults);
/* An ErrorView message as JSON text; faults may be NULL; g_free. */

GBytes *ogl_error_body(
    const char *error, enum ogl_verdict v, uint64_t retry_after_ms);
/* The same text without faults; g_bytes_unref. */

#endif
