/*
 * Orders to workers, and what comes of them, as messages between nodes.
 */

#ifndef OGL_CELL_ORDER_MSG_H
#define OGL_CELL_ORDER_MSG_H

#include "ops.h"

char *cell_order_text(const char *s);
/* A copy that a message may own; NULL as "". */

Ogl__CellOrder *cell_order_copy(const Ogl__CellOrder *m);

enum ogl_io cell_order_io(Ogl__CellOrderOutcome outcome);
/* An outcome of a later version counts as lost. */
Ogl__CellOrderOutcome cell_order_outcome(enum ogl_io io);

struct cell_row *cell_rows_read(Ogl__CellRunRow *const *list, size_t n);
/* Borrow from the messages; g_free. */
Ogl__CellRunRow **cell_rows_write(const struct cell_row *rows, size_t n);
/* Owned by the message that they are put into. */

void cell_entry_read(const Ogl__CellEntry *m, struct cell_record *r,
    struct cell_worker_entry *e);
/* Borrow from the message, but for e->labels: g_free. */
Ogl__CellEntry *cell_entry_write(const struct cell_record *r);
/* Owned by the message that it is put into; without its offset. */

#endif
