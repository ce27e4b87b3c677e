/*
 * Converts jobs to and from their stored records.
 *
 * A job has a record of its submission and one of its progress, with a mark for
 * each started task.  The store takes records up to a size, so the progress of a
 * large job is split: its marks are in parts, records of their own, each with
 * those of BLOCK_TASKS tasks of a step.  All about a task is in one part, so the
 * parts may be written by different appends.  Only changed parts are written.
 */

#include <stdlib.h>
#include <string.h>

#include "job.h"

#define BLOCK_TASKS 128
/* A larger progress is split.  What is split stays so until the job ends. */
#define WHOLE_MAX_BYTES ((size_t)64 * 1024)
/* Upper bound of a mark without its checkpoint: numbers of up to 10 bytes. */
#define MARK_MAX_BYTES (64 + 10 * CELL_FAILED_RUNS_MAX)
G_STATIC_ASSERT(BLOCK_TASKS *(MARK_MAX_BYTES + CELL_CHECKPOINT_MAX_BYTES) <
		CELL_RECORD_MAX_BYTES);
/* The number of a part is its occurrence, step and block. */
#define PART_STEP_SHIFT 16
#define PART_OCCURRENCE_SHIFT 32
#define PART_KEY_LEN (1 + CELL_ID_LEN + 1 + 16)

size_t
cell_job_def_record_bytes(const Ogl__CellJob *def)
{
	return CELL_KEY_LEN_BYTES + 1 + CELL_ID_LEN +
	       ogl__cell_job__get_packed_size(def);
}

GBytes *
cell_job_pack_def(const struct cell_job *j)
{
	size_t n = ogl__cell_job__get_packed_size(j->def);
	uint8_t *p = g_malloc(n);

	ogl__cell_job__pack(j->def, p);
	return g_bytes_new_take(p, n);
}

/* ---- marks ------------------------------------------------------------ */

/* A mark stores the runs and checkpoint of a task.  A task that was never
 * started needs none, nor does a done task, which is listed in CellDone. */
static bool
needs_mark(const struct cell_task *t)
{
	return !t->done && (t->failures != NULL || t->run > 0);
}

/* The failed runs of a mark are their numbers.  If there are others, a 0, which
 * no run has, and the number of these come first.  Nodes that don't know this
 * drop both, as they keep only the last CELL_FAILED_RUNS_MAX. */
static void
set_failures(Ogl__CellMark *m, const struct cell_failures *f)
{
	size_t n = 0;

	m->failed_runs = g_new(uint64_t, f->runs->len + 2);
	if (f->others > 0) {
		m->failed_runs[n++] = 0;
		m->failed_runs[n++] = f->others;
	}
	if (f->runs->len > 0)
		memcpy(m->failed_runs + n, f->runs->data,
		    f->runs->len * sizeof(uint64_t));
	m->n_failed_runs = n + f->runs->len;
}

static void
restore_failures(struct cell_task *t, const Ogl__CellMark *m)
{
	const uint64_t *runs = m->failed_runs;
	size_t n = m->n_failed_runs;

	if (n >= 2 && runs[0] == 0)
		cell_task_restore_failures(
		    t, runs + 2, n - 2, (uint32_t)MIN(runs[1], G_MAXUINT32));
	else
		cell_task_restore_failures(t, runs, n, 0);
}

static void
mark_free(void *p)
{
	Ogl__CellMark *m = p;

	g_free(m->failed_runs);
	g_free(m);
}

static Ogl__CellMark *
mark_new(const struct cell_stage *s, uint32_t index)
{
	struct cell_task *t = &s->tasks[index];
	Ogl__CellMark *m = g_new(Ogl__CellMark, 1);

	ogl__cell_mark__init(m);
	m->occurrence = s->occurrence;
	m->step = s->step;
	m->index = index;
	m->run = t->run;
	if (t->failures != NULL)
		set_failures(m, t->failures);
	if (t->checkpoint != NULL)
		m->checkpoint = t->checkpoint;
	return m;
}

static void
done_free(void *p)
{
	Ogl__CellDone *d = p;

	g_free(d->indexes);
	g_free(d);
}

/* What is stored of some tasks. */
struct contents {
	GPtrArray *marks; /* Ogl__CellMark */
	GPtrArray *done;  /* Ogl__CellDone */
};

static struct contents
contents_new(void)
{
	struct contents c = {g_ptr_array_new_with_free_func(mark_free),
	    g_ptr_array_new_with_free_func(done_free)};

	return c;
}

/* Adds the tasks of the stage from one index to another, exclusive. */
static void
add_tasks(
    struct contents *c, const struct cell_stage *s, uint32_t from, uint32_t to)
{
	Ogl__CellDone *d = NULL;
	uint32_t i;

	for (i = from; i < to; i++) {
		if (needs_mark(&s->tasks[i]))
			g_ptr_array_add(c->marks, mark_new(s, i));
		if (!s->tasks[i].done)
			continue;
		if (d == NULL) {
			d = g_new(Ogl__CellDone, 1);
			ogl__cell_done__init(d);
			d->occurrence = s->occurrence;
			d->step = s->step;
			d->indexes = g_new(uint32_t, to - from);
			g_ptr_array_add(c->done, d);
		}
		d->indexes[d->n_indexes++] = i;
	}
}

/* Packs the message with these contents and frees them. */
static GBytes *
pack_with(Ogl__CellProgress *p, struct contents *c)
{
	uint8_t *out;
	size_t n;

	p->marks = (Ogl__CellMark **)c->marks->pdata;
	p->n_marks = c->marks->len;
	p->done = (Ogl__CellDone **)c->done->pdata;
	p->n_done = c->done->len;
	n = ogl__cell_progress__get_packed_size(p);
	out = g_malloc(n);
	ogl__cell_progress__pack(p, out);
	g_ptr_array_unref(c->marks);
	g_ptr_array_unref(c->done);
	return g_bytes_new_take(out, n);
}

static void
pack_stopping(const struct cell_job *j, GPtrArray *out)
{
	guint i;

	for (i = 0; j->stopping != NULL && i < j->stopping->len; i++) {
		const struct cell_stopping *s =
		    &g_array_index(j->stopping, struct cell_stopping, i);
		Ogl__CellStopping *m;

		if (s->count == 0)
			continue;
		m = g_new(Ogl__CellStopping, 1);
		ogl__cell_stopping__init(m);
		m->step = s->step;
		m->count = s->count;
		m->cpu_milli = s->need.cpu_milli;
		m->mem_mb = s->need.mem_mb;
		m->accel = s->need.accel;
		g_ptr_array_add(out, m);
	}
}

/* ---- whole progress --------------------------------------------------- */

static bool
has_tasks(const struct cell_job *j)
{
	return !cell_job_state_ended(j->state) && j->def != NULL;
}

/* Without the tasks if they are split off. */
static GBytes *
pack_progress(const struct cell_job *j, bool split)
{
	Ogl__CellProgress p = OGL__CELL_PROGRESS__INIT;
	GPtrArray *stopping = g_ptr_array_new_with_free_func(g_free);
	struct contents c = contents_new();
	GBytes *packed;
	guint i, k;

	p.state = j->state;
	p.ended_ms = j->ended_ms;
	p.begun = j->begun;
	p.split = split;
	if (has_tasks(j)) {
		p.finished = (uint32_t *)(void *)j->finished->data;
		p.n_finished = j->finished->len;
	}
	for (i = 0; has_tasks(j) && !split && i < j->occurrences->len; i++) {
		struct cell_occurrence *o = j->occurrences->pdata[i];

		for (k = 0; k < j->def->n_steps; k++)
			add_tasks(&c, &o->stages[k], 0, o->stages[k].ntasks);
	}
	pack_stopping(j, stopping);
	p.stopping = (Ogl__CellStopping **)stopping->pdata;
	p.n_stopping = stopping->len;
	if (cell_job_state_ended(j->state))
		p.team = j->team;
	packed = pack_with(&p, &c);
	g_ptr_array_unref(stopping);
	return packed;
}

GBytes *
cell_job_pack_progress(const struct cell_job *j)
{
	return pack_progress(j, false);
}

/* ---- parts ------------------------------------------------------------ */

static void
part_free(void *p)
{
	if (p != NULL)
		g_bytes_unref(p);
}

/* The parts that the store may have: number -> GBytes, the last value written;
 * NULL if it is not known. */
static void
init_parts(struct cell_job *j)
{
	if (j->parts == NULL)
		j->parts = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, g_free, part_free);
}

static void
set_part(struct cell_job *j, uint64_t number, GBytes *value)
{
	uint64_t *key = g_new(uint64_t, 1);

	*key = number;
	g_hash_table_replace(j->parts, key, value);
}

static char *
part_key(const struct cell_job *j, uint64_t number)
{
	return g_strdup_printf("p%s.%016" G_GINT64_MODIFIER "x", j->id, number);
}

bool
cell_job_part_key_parse(
    const char *key, char id[CELL_ID_LEN + 1], uint64_t *number)
{
	if (strlen(key) != PART_KEY_LEN || key[0] != 'p' ||
	    key[1 + CELL_ID_LEN] != '.')
		return false;
	g_strlcpy(id, key + 1, CELL_ID_LEN + 1);
	return g_ascii_string_to_unsigned(
	    key + 1 + CELL_ID_LEN + 1, 16, 0, G_MAXUINT64, number, NULL);
}

/* Packs a block of tasks; NULL if nothing is to be stored of them. */
static GBytes *
pack_block(const struct cell_stage *s, uint32_t block)
{
	Ogl__CellProgress p = OGL__CELL_PROGRESS__INIT;
	uint32_t from = block * BLOCK_TASKS;
	struct contents c = contents_new();

	add_tasks(&c, s, from, MIN(from + BLOCK_TASKS, s->ntasks));
	if (c.marks->len + c.done->len > 0)
		return pack_with(&p, &c);
	g_ptr_array_unref(c.marks);
	g_ptr_array_unref(c.done);
	return NULL;
}

/* Records of a job that go into an append. */
struct writing {
	struct cell_job *job;
	GArray *puts;
	size_t bytes;
	size_t room;      /* for bytes */
	GHashTable *live; /* set of the numbers of parts that are not empty */
	bool complete;
};

/* Takes the reference to value; NULL deletes the record. */
static void
add_put(struct writing *w, char *key, GBytes *value)
{
	struct cell_put u = {key, value};

	w->bytes += cell_put_bytes(&u);
	g_array_append_val(w->puts, u);
}

static bool
has_room(struct writing *w, size_t bytes)
{
	if (w->bytes + bytes <= w->room)
		return true;
	w->complete = false;
	return false;
}

static void
write_block(struct writing *w, const struct cell_stage *s, uint32_t block)
{
	uint64_t number = (uint64_t)s->occurrence << PART_OCCURRENCE_SHIFT |
			  (uint64_t)s->step << PART_STEP_SHIFT | block;
	GBytes *before = g_hash_table_lookup(w->job->parts, &number);
	GBytes *value = pack_block(s, block);
	uint64_t *live;

	if (value == NULL)
		return;
	live = g_new(uint64_t, 1);
	*live = number;
	g_hash_table_add(w->live, live);
	if ((before != NULL && g_bytes_equal(before, value)) ||
	    !has_room(w, g_bytes_get_size(value))) {
		g_bytes_unref(value);
		return;
	}
	add_put(w, part_key(w->job, number), g_bytes_ref(value));
	set_part(w->job, number, value);
}

static void
write_blocks(struct writing *w)
{
	struct cell_job *j = w->job;
	uint32_t block;
	guint i, k;

	for (i = 0; has_tasks(j) && i < j->occurrences->len; i++) {
		struct cell_occurrence *o = j->occurrences->pdata[i];

		for (k = 0; k < j->def->n_steps; k++) {
			struct cell_stage *s = &o->stages[k];

			for (block = 0; block * BLOCK_TASKS < s->ntasks;
			     block++)
				write_block(w, s, block);
		}
	}
}

/* Deletes the parts of finished occurrences and of ended jobs. */
static void
delete_dead_parts(struct writing *w)
{
	GHashTableIter it;
	gpointer k;

	g_hash_table_iter_init(&it, w->job->parts);
	while (g_hash_table_iter_next(&it, &k, NULL)) {
		if (g_hash_table_contains(w->live, k) || !has_room(w, 0))
			continue;
		add_put(w, part_key(w->job, *(uint64_t *)k), NULL);
		g_hash_table_iter_remove(&it);
	}
}

/* Adds the progress without its parts, if any; NULL deletes it. */
static bool
write_records(struct cell_job *j, GBytes *progress, GArray *puts, size_t *bytes,
    size_t room)
{
	struct writing w = {.job = j,
	    .puts = puts,
	    .bytes = *bytes,
	    .room = room,
	    .live = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL),
	    .complete = true};

	add_put(&w, g_strdup_printf("p%s", j->id), progress);
	if (j->parts != NULL) {
		if (progress != NULL)
			write_blocks(&w);
		delete_dead_parts(&w);
	}
	g_hash_table_unref(w.live);
	*bytes = w.bytes;
	return w.complete;
}

bool
cell_job_write_progress(
    struct cell_job *j, GArray *puts, size_t *bytes, size_t room)
{
	GBytes *packed = pack_progress(j, j->parts != NULL && has_tasks(j));

	if (j->parts == NULL && g_bytes_get_size(packed) > WHOLE_MAX_BYTES &&
	    has_tasks(j)) {
		g_bytes_unref(packed);
		init_parts(j);
		packed = pack_progress(j, true);
	}
	return write_records(j, packed, puts, bytes, room);
}

bool
cell_job_drop_progress(
    struct cell_job *j, GArray *puts, size_t *bytes, size_t room)
{
	return write_records(j, NULL, puts, bytes, room);
}

void
cell_job_forget_part(struct cell_job *j, uint64_t number)
{
	if (j->parts != NULL)
		set_part(j, number, NULL);
}

void
cell_progress_add_part(
    Ogl__CellProgress *p, uint64_t number, Ogl__CellProgress *part)
{
	p->parts = realloc(p->parts, (p->n_parts + 1) * sizeof *p->parts);
	p->parts[p->n_parts++] = number;
	if (!p->split)
		return;
	p->marks = realloc(p->marks,
	    (p->n_marks + part->n_marks + 1) * sizeof(Ogl__CellMark *));
	p->done = realloc(
	    p->done, (p->n_done + part->n_done + 1) * sizeof(Ogl__CellDone *));
	if (part->n_marks > 0)
		memcpy(p->marks + p->n_marks, part->marks,
		    part->n_marks * sizeof(Ogl__CellMark *));
	if (part->n_done > 0)
		memcpy(p->done + p->n_done, part->done,
		    part->n_done * sizeof(Ogl__CellDone *));
	p->n_marks += part->n_marks;
	p->n_done += part->n_done;
	part->n_marks = 0;
	part->n_done = 0;
}

/* ---- reading ---------------------------------------------------------- */

static ogl_time
occurrence_due(const struct cell_job *j, uint32_t number)
{
	return (ogl_time)(j->def->first_due_ms + number * j->def->interval_ms) *
	       OGL_MS;
}

/* Returns the stage of a task, and begins its occurrence first if necessary.
 * Returns NULL if the occurrence is finished or there is no such task. */
static struct cell_stage *
begun_stage(struct cell_job *j, const struct cell_task_name *name)
{
	if (cell_job_occurrence_finished(j, name->occurrence))
		return NULL;
	cell_job_begin_occurrence(
	    j, name->occurrence, occurrence_due(j, name->occurrence));
	return cell_job_stage(j, name);
}

static void
apply_done(struct cell_job *j, const Ogl__CellDone *d)
{
	struct cell_task_name name = {
	    .occurrence = d->occurrence, .step = d->step};
	size_t i;

	for (i = 0; i < d->n_indexes; i++) {
		struct cell_stage *s;

		name.index = d->indexes[i];
		s = begun_stage(j, &name);
		if (s == NULL || s->tasks[name.index].done)
			continue;
		s->tasks[name.index].done = true;
		s->ndone++;
	}
}

static void
apply_mark(struct cell_job *j, const Ogl__CellMark *m)
{
	struct cell_task_name name = {
	    .occurrence = m->occurrence, .step = m->step, .index = m->index};
	struct cell_stage *s = begun_stage(j, &name);
	struct cell_task *t;

	if (s == NULL)
		return;
	t = &s->tasks[m->index];
	restore_failures(t, m);
	t->run = m->run;
	cell_task_save_checkpoint(t, m->checkpoint);
}

void
cell_job_restore_stopping(struct cell_job *j, const Ogl__CellProgress *p)
{
	size_t i;

	for (i = 0; i < p->n_stopping; i++) {
		const Ogl__CellStopping *m = p->stopping[i];
		struct cell_stopping s = {.step = m->step,
		    .count = m->count,
		    .need = {m->cpu_milli, m->mem_mb, m->accel}};

		cell_job_add_stopping(j, &s);
	}
}

void
cell_job_restore_progress(struct cell_job *j, const Ogl__CellProgress *p)
{
	size_t i;

	j->state = p->state;
	j->begun = p->begun;
	j->ended_ms = p->ended_ms;
	for (i = 0; i < p->n_finished; i++) {
		g_array_append_val(j->finished, p->finished[i]);
		j->next_occurrence =
		    MAX(j->next_occurrence, p->finished[i] + 1);
	}
	if (p->split || p->n_parts > 0)
		init_parts(j);
	for (i = 0; i < p->n_parts; i++)
		set_part(j, p->parts[i], NULL);
	for (i = 0; i < p->n_marks; i++)
		apply_mark(j, p->marks[i]);
	for (i = 0; i < p->n_done; i++)
		apply_done(j, p->done[i]);
	cell_job_restore_stopping(j, p);
}
