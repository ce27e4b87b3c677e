/*
 * The largest job: time to write its progress, to write the end of one of its
 * tasks and to read it as a new owner, and the memory that it takes.  All tasks
 * are started and have saved a checkpoint, once a usual one and once the longest.
 */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "job.h"

#define TASKS 20000
#define SPEC_BYTES 4000

static double
now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e3 + (double)t.tv_nsec * 1e-6;
}

static double
heap_mb(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)(m.uordblks + m.hblkhd) / 1048576;
}

static void
put_clear(void *p)
{
	struct cell_put *u = p;

	g_free(u->key);
	if (u->value != NULL)
		g_bytes_unref(u->value);
}

static GArray *
puts_new(void)
{
	GArray *puts = g_array_new(FALSE, FALSE, sizeof(struct cell_put));

	g_array_set_clear_func(puts, put_clear);
	return puts;
}

static struct cell_job *
job_new(void)
{
	Ogl__CellJob *d = malloc(sizeof *d);
	struct cell_job *j;

	ogl__cell_job__init(d);
	d->id = strdup("0123456789abcdef");
	d->spec.len = SPEC_BYTES;
	d->spec.data = calloc(1, SPEC_BYTES);
	d->n_steps = 1;
	d->steps = malloc(sizeof(Ogl__CellStep *));
	d->steps[0] = malloc(sizeof(Ogl__CellStep));
	ogl__cell_step__init(d->steps[0]);
	d->steps[0]->count = TASKS;
	d->steps[0]->checkpoints = true;
	j = cell_job_new(d, 0);
	cell_job_begin_occurrence(j, 0, 0);
	j->state = OGL__CELL_JOB_STATE__cell_running;
	return j;
}

static void
start_all(struct cell_job *j, size_t checkpoint)
{
	struct cell_stage *s = &cell_job_occurrence(j, 0)->stages[0];
	char *text = g_strnfill(checkpoint, 'c');
	uint32_t i;

	for (i = 0; i < s->ntasks; i++) {
		s->tasks[i].run = UINT32_MAX;
		cell_task_save_checkpoint(&s->tasks[i], text);
	}
	g_free(text);
}

/* Writes the progress in as many appends as it takes, and returns their
 * number. */
static unsigned
write_all(struct cell_job *j, GArray *puts, size_t *total)
{
	unsigned appends = 0;
	bool complete;
	size_t bytes;

	*total = 0;
	do {
		bytes = 0;
		complete = cell_job_write_progress(
		    j, puts, &bytes, CELL_APPEND_MAX_BYTES * 5 / 8);
		*total += bytes;
		appends++;
	} while (!complete);
	return appends;
}

/* Reads the records as a new owner does. */
static struct cell_job *
read_all(const GArray *puts)
{
	struct cell_job *j = job_new();
	Ogl__CellProgress *all = NULL;
	char id[CELL_ID_LEN + 1];
	uint64_t number;
	guint i;

	for (i = 0; i < puts->len; i++) {
		const struct cell_put *u =
		    &g_array_index(puts, struct cell_put, i);
		struct ogl_str s = cell_bytes_str(u->value);
		Ogl__CellProgress *p =
		    ogl__cell_progress__unpack(NULL, s.n, (const uint8_t *)s.p);

		if (all == NULL) {
			all = p;
			continue;
		}
		if (cell_job_part_key_parse(u->key, id, &number))
			cell_progress_add_part(all, number, p);
		ogl__cell_progress__free_unpacked(p, NULL);
	}
	cell_job_restore_progress(j, all);
	ogl__cell_progress__free_unpacked(all, NULL);
	return j;
}

static void
measure(size_t checkpoint)
{
	double heap = heap_mb();
	struct cell_job *j = job_new();
	GArray *puts = puts_new();
	struct cell_job *next;
	unsigned appends;
	size_t bytes;
	double t;

	start_all(j, checkpoint);
	t = now_ms();
	appends = write_all(j, puts, &bytes);
	printf("large_job_%zu_write_ms %.1f ms\n", checkpoint, now_ms() - t);
	printf("large_job_%zu_write_bytes %zu bytes\n", checkpoint, bytes);
	printf("large_job_%zu_write_appends %u appends\n", checkpoint, appends);
	t = now_ms();
	next = read_all(puts);
	printf("large_job_%zu_read_ms %.1f ms\n", checkpoint, now_ms() - t);
	cell_job_free(next);
	g_array_set_size(puts, 0);
	cell_job_occurrence(j, 0)->stages[0].tasks[0].done = true;
	t = now_ms();
	write_all(j, puts, &bytes);
	printf("large_job_%zu_change_ms %.1f ms\n", checkpoint, now_ms() - t);
	printf("large_job_%zu_change_bytes %zu bytes\n", checkpoint, bytes);
	g_array_unref(puts);
	printf(
	    "large_job_%zu_memory_mb %.1f MB\n", checkpoint, heap_mb() - heap);
	cell_job_free(j);
}

int
main(void)
{
	measure(16);
	measure(CELL_CHECKPOINT_MAX_BYTES);
	return 0;
}
