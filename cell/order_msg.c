/*
 * Converts orders for workers, their outcomes, and entries of the list of
 * workers to and from messages between nodes.
 *
 * libprotobuf-c frees the contents of a message with the C library's free, so
 * messages are allocated with malloc here instead of with GLib.
 */

#include <string.h>

#include "order_msg.h"

char *
cell_order_strdup(const char *s)
{
	return strdup(s != NULL ? s : "");
}

void
cell_order_set_bytes(ProtobufCBinaryData *field, struct ogl_str value)
{
	field->data = malloc(MAX(value.n, 1));
	field->len = value.n;
	if (value.n > 0)
		memcpy(field->data, value.p, value.n);
}

void
cell_order_digest(struct ogl_str spec, uint8_t digest[CELL_DIGEST_BYTES])
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize n = CELL_DIGEST_BYTES;

	g_checksum_update(sum, (const guchar *)spec.p, (gssize)spec.n);
	g_checksum_get_digest(sum, digest, &n);
	g_checksum_free(sum);
}

Ogl__CellOrder *
cell_order_copy(const Ogl__CellOrder *m)
{
	size_t n = ogl__cell_order__get_packed_size(m);
	uint8_t *packed = g_malloc(n);
	Ogl__CellOrder *copy;

	ogl__cell_order__pack(m, packed);
	copy = ogl__cell_order__unpack(NULL, n, packed);
	g_free(packed);
	return copy;
}

enum ogl_io_result
cell_order_outcome_to_io(Ogl__CellOrderOutcome outcome)
{
	switch (outcome) {
	case OGL__CELL_ORDER_OUTCOME__cell_order_done:
		return OGL_IO_OK;
	case OGL__CELL_ORDER_OUTCOME__cell_order_refused:
		return OGL_IO_REFUSED;
	case OGL__CELL_ORDER_OUTCOME__cell_order_not_sent:
	case OGL__CELL_ORDER_OUTCOME__cell_order_lacks_spec:
		return OGL_IO_NOT_SENT;
	case OGL__CELL_ORDER_OUTCOME__cell_order_lost:
	default:
		return OGL_IO_LOST;
	}
}

Ogl__CellOrderOutcome
cell_order_outcome_from_io(enum ogl_io_result io)
{
	switch (io) {
	case OGL_IO_OK:
		return OGL__CELL_ORDER_OUTCOME__cell_order_done;
	case OGL_IO_REFUSED:
		return OGL__CELL_ORDER_OUTCOME__cell_order_refused;
	case OGL_IO_NOT_SENT:
		return OGL__CELL_ORDER_OUTCOME__cell_order_not_sent;
	default:
		return OGL__CELL_ORDER_OUTCOME__cell_order_lost;
	}
}

struct cell_run_row *
cell_rows_from_msg(Ogl__CellRunRow *const *list, size_t n)
{
	struct cell_run_row *rows = g_new0(struct cell_run_row, n);
	size_t i;

	for (i = 0; i < n; i++) {
		const Ogl__CellRunRow *m = list[i];
		struct cell_run_row *row = &rows[i];

		g_strlcpy(row->task.id, m->job, sizeof row->task.id);
		row->task.occurrence = m->occurrence;
		row->task.step = m->step;
		row->task.index = m->index;
		row->run = m->run;
		row->checkpoint = m->checkpoint;
		row->percent = m->percent;
		row->gauge = m->gauge;
		row->number = m->number;
		row->how = m->how <= CELL_END_ALONE ? (enum cell_end)m->how
						    : CELL_END_LAPSED;
	}
	return rows;
}

Ogl__CellRunRow **
cell_rows_to_msg(const struct cell_run_row *rows, size_t n)
{
	Ogl__CellRunRow **list = malloc(n * sizeof(Ogl__CellRunRow *));
	size_t i;

	for (i = 0; i < n; i++) {
		Ogl__CellRunRow *m = malloc(sizeof *m);

		ogl__cell_run_row__init(m);
		m->job = cell_order_strdup(rows[i].task.id);
		m->occurrence = rows[i].task.occurrence;
		m->step = rows[i].task.step;
		m->index = rows[i].task.index;
		m->run = rows[i].run;
		m->checkpoint = cell_order_strdup(rows[i].checkpoint);
		m->percent = rows[i].percent;
		m->gauge = rows[i].gauge;
		m->number = rows[i].number;
		m->how = rows[i].how;
		list[i] = m;
	}
	return list;
}

void
cell_entry_from_msg(
    const Ogl__CellEntry *m, struct cell_record *r, struct cell_worker_entry *e)
{
	r->offset = m->offset;
	r->key = m->worker;
	r->dropped = m->dropped;
	r->worker = m->readable ? e : NULL;
	e->service = m->service;
	e->addr = m->addr;
	e->zone = m->zone;
	e->rack = m->rack;
	e->labels = g_new0(char *, m->n_labels + 1);
	if (m->n_labels > 0)
		memcpy(e->labels, m->labels, m->n_labels * sizeof(char *));
	e->draining = m->draining;
	e->born_ms = m->born_ms;
	e->capacity.cpu_milli = m->cpu_milli;
	e->capacity.mem_mb = m->mem_mb;
	e->capacity.accel = m->accel;
	e->cold_ms = m->cold_ms;
	e->leaves_ms = m->leaves_ms;
}

Ogl__CellEntry *
cell_entry_to_msg(const struct cell_record *r)
{
	const struct cell_worker_entry *e = r->worker;
	Ogl__CellEntry *m = malloc(sizeof *m);
	guint i;

	ogl__cell_entry__init(m);
	m->worker = cell_order_strdup(r->key);
	m->dropped = r->dropped;
	m->readable = e != NULL;
	if (e == NULL)
		return m;
	m->service = cell_order_strdup(e->service);
	m->addr = cell_order_strdup(e->addr);
	m->zone = cell_order_strdup(e->zone);
	m->rack = cell_order_strdup(e->rack);
	m->n_labels = e->labels != NULL ? g_strv_length(e->labels) : 0;
	m->labels = malloc((m->n_labels + 1) * sizeof(char *));
	for (i = 0; i < m->n_labels; i++)
		m->labels[i] = cell_order_strdup(e->labels[i]);
	m->draining = e->draining;
	m->born_ms = e->born_ms;
	m->cpu_milli = e->capacity.cpu_milli;
	m->mem_mb = e->capacity.mem_mb;
	m->accel = e->capacity.accel;
	m->cold_ms = e->cold_ms;
	m->leaves_ms = e->leaves_ms;
	return m;
}
