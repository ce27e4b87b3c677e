/*
 * Converts orders to workers, and their outcomes, from and to messages between
 * nodes.
 */

#ifndef OGL_CELL_ORDER_MSG_H
#define OGL_CELL_ORDER_MSG_H

#include "ops.h"

char *cell_order_strdup(const char *s);
/* Copies s for a message, which frees it; NULL gives "". */

void cell_order_set_bytes(ProtobufCBinaryData *field, struct ogl_str value);
/* Copies value into an empty field of a message, which frees it. */

#define CELL_DIGEST_BYTES 32

void cell_order_digest(struct ogl_str spec, uint8_t digest[CELL_DIGEST_BYTES]);
/* The digest of a spec; different specs have different ones. */

Ogl__CellOrder *cell_order_copy(const Ogl__CellOrder *m);
/* Result: free with ogl__cell_order__free_unpacked. */

enum ogl_io_result cell_order_outcome_to_io(Ogl__CellOrderOutcome outcome);
/* An unknown outcome, sent by a later version, counts as lost. */
Ogl__CellOrderOutcome cell_order_outcome_from_io(enum ogl_io_result io);

struct cell_run_row *cell_rows_from_msg(Ogl__CellRunRow *const *list, size_t n);
/* Result: n rows that borrow from the messages; free with g_free. */
Ogl__CellRunRow **cell_rows_to_msg(const struct cell_run_row *rows, size_t n);
/* Result: n messages, owned by the message that they are put into. */

void cell_entry_from_msg(const Ogl__CellEntry *m, struct cell_record *r,
    struct cell_worker_entry *e);
/* Fills r and e, which borrow from the message except for e->labels: free that
 * with g_free. */
Ogl__CellEntry *cell_entry_to_msg(const struct cell_record *r);
/* Result: owned by the message that it is put into; its offset is not set. */

#endif
