/*
 * Failure records of workers and jobs.
 *
 * A worker is suspect when its failures are improbable.  The failure of a task
 * is improbable if its job succeeds elsewhere, and not if the job fails
 * everywhere: each failure since the worker's last successful tasks adds its
 * surprisal of -log2(p) bits, where p is how often that job fails on other
 * workers.  A sum of twenty bits, which has a chance of about one in a million,
 * from several jobs makes the worker suspect.  At most two failures of one job
 * count against a worker, so many failures of a single job make no worker
 * suspect.  In the record of a job, repeated failures on one worker count once,
 * so a worker that fails its tasks at once, and is therefore given many, does
 * not distort the records of their jobs.
 *
 * Without this, a broken worker would be given a large part of all new tasks,
 * because its tasks end at once and it always has room.  Many jobs would fail
 * on that one worker.
 *
 * The records of jobs are kept in a two-way set-associative table sized by the
 * number of workers, where a new job replaces the least recently used of two.
 */

#include <math.h>

#include "health_impl.h"

#define MIN_JOB_SETS 64    /* sets in the smallest table, two records each */
#define WORKERS_PER_SET 4  /* the table is enlarged above this ratio */
#define MAX_JOB_RESULTS 64 /* above this, a job's counts are halved */
#define MAX_FAILED_JOBS 8  /* jobs remembered per worker */
#define MAX_SURPRISAL_BITS 4.0   /* most that one failure can add */
#define MIN_SURPRISAL_BITS 0.5   /* a failure below this adds nothing */
#define SUSPECT_BITS 20.0        /* least sum for a suspect worker */
#define SUSPECT_MIN_JOBS 3       /* least number of jobs in that sum */
#define REPEAT_SUSPECT_BITS 10.0 /* least sum if quarantined before */
#define REPEAT_SUSPECT_MIN_JOBS 2
#define MIN_COOLDOWN (30 * OGL_SEC)
#define MAX_COOLDOWN_DOUBLINGS 6
#define CLEARING_SUCCESSES 32  /* successes that delete a worker's record */
#define MAX_FAILURES_PER_JOB 2 /* failures of one job that count */

struct worker_record {
	uint64_t jobs[MAX_FAILED_JOBS];    /* jobs that failed here recently */
	uint8_t failures[MAX_FAILED_JOBS]; /* failures of each of these jobs */
	uint8_t njobs, next; /* next: index for the next failed job */
	uint8_t quarantines; /* since the record was made */
	uint8_t successes;   /* since the last quarantine */
};

struct ogl_health *
ogl_health_init(void)
{
	struct ogl_health *h = g_new0(struct ogl_health, 1);

	h->sets = MIN_JOB_SETS;
	h->jobs = g_malloc0(h->sets * sizeof(*h->jobs));
	h->workers = g_ptr_array_new_with_free_func(g_free);
	return h;
}

void
ogl_health_end(struct ogl_health *h)
{
	if (h->states != NULL)
		ogl_health_states_end(h->states);
	g_ptr_array_free(h->workers, TRUE);
	g_free(h->jobs);
	g_free(h);
}

static struct ogl_job_record *
job_set(const struct ogl_health *h, uint64_t job)
{
	uint64_t hash = job * 0x9e3779b97f4a7c15u;

	return h->jobs[(hash >> 32) & (h->sets - 1)];
}

struct ogl_job_record *
ogl_health_job(struct ogl_health *h, uint64_t job, ogl_time now)
{
	struct ogl_job_record *set = job_set(h, job);
	struct ogl_job_record *r;

	if (set[0].job == job || set[1].job == job) {
		r = set[0].job == job ? &set[0] : &set[1];
	} else {
		r = set[0].used_at <= set[1].used_at ? &set[0] : &set[1];
		memset(r, 0, sizeof(*r));
		r->job = job;
	}
	r->used_at = now;
	return r;
}

const struct ogl_job_record *
ogl_health_find_job(const struct ogl_health *h, uint64_t job)
{
	const struct ogl_job_record *set = job_set(h, job);

	if (set[0].job == job)
		return &set[0];
	return set[1].job == job ? &set[1] : NULL;
}

void
ogl_health_job_result(struct ogl_job_record *r, bool ok)
{
	if (ok)
		r->ok++;
	else
		r->failed++;
	if (r->ok + r->failed > MAX_JOB_RESULTS) {
		r->ok /= 2;
		r->failed /= 2;
	}
}

/* Surprisal, in bits, of one failure of this job on a worker. */
static double
surprisal(const struct ogl_job_record *r)
{
	unsigned other_failures = r->failed > 0 ? r->failed - 1u : 0;
	double bits;

	if (r->ok == 0)
		return 0;
	bits = -log2((other_failures + 1.0) / (r->ok + other_failures + 2.0));
	return bits < MIN_SURPRISAL_BITS ? 0 : MIN(bits, MAX_SURPRISAL_BITS);
}

static struct worker_record *
worker_record(struct ogl_health *h, uint32_t w, bool create)
{
	if (w >= h->workers->len) {
		if (!create)
			return NULL;
		g_ptr_array_set_size(h->workers, (int)w + 1);
	}
	if (h->workers->pdata[w] == NULL && create)
		h->workers->pdata[w] = g_new0(struct worker_record, 1);
	return h->workers->pdata[w];
}

/* A success removes half of the failed jobs from the worker's record. */
static void
worker_succeeded(struct ogl_health *h, uint32_t w)
{
	struct worker_record *r = worker_record(h, w, false);

	if (r == NULL)
		return;
	r->njobs /= 2;
	r->next = r->njobs;
	if (++r->successes < CLEARING_SUCCESSES)
		return;
	g_free(r);
	h->workers->pdata[w] = NULL;
}

/* Counts a failure of the job; false when the job had failed here before. */
static bool
add_failed_job(struct worker_record *r, uint64_t job)
{
	unsigned i;

	for (i = 0; i < r->njobs; i++) {
		if (r->jobs[i] != job)
			continue;
		r->failures[i] = MIN(r->failures[i] + 1, MAX_FAILURES_PER_JOB);
		return false;
	}
	r->next %= MAX_FAILED_JOBS;
	r->failures[r->next] = 1;
	r->jobs[r->next++] = job;
	if (r->njobs < MAX_FAILED_JOBS)
		r->njobs++;
	return true;
}

static bool
is_suspect(struct ogl_health *h, const struct worker_record *r, ogl_time now)
{
	double bits, sum = 0;
	unsigned i, significant = 0;

	for (i = 0; i < r->njobs; i++) {
		bits = surprisal(ogl_health_job(h, r->jobs[i], now));
		sum += bits * r->failures[i];
		significant += bits > 0;
	}
	if (r->quarantines > 0)
		return sum >= REPEAT_SUSPECT_BITS &&
		       significant >= REPEAT_SUSPECT_MIN_JOBS;
	return sum >= SUSPECT_BITS && significant >= SUSPECT_MIN_JOBS;
}

bool
ogl_health_result(
    struct ogl_health *h, uint32_t w, uint64_t job, bool ok, ogl_time now)
{
	struct ogl_job_record *j = ogl_health_job(h, job, now);
	struct worker_record *r;

	if (ok) {
		ogl_health_job_result(j, true);
		worker_succeeded(h, w);
		return false;
	}
	r = worker_record(h, w, true);
	if (add_failed_job(r, job))
		ogl_health_job_result(j, false);
	return is_suspect(h, r, now);
}

ogl_time
ogl_health_start_quarantine(struct ogl_health *h, uint32_t w, ogl_time now)
{
	struct worker_record *r = worker_record(h, w, true);
	unsigned doublings = MIN(r->quarantines, MAX_COOLDOWN_DOUBLINGS);

	if (r->quarantines <= MAX_COOLDOWN_DOUBLINGS)
		r->quarantines++;
	r->njobs = 0;
	r->next = 0;
	r->successes = 0;
	return now + MIN_COOLDOWN * ((ogl_time)1 << doublings);
}

void
ogl_health_resize(struct ogl_health *h, uint32_t workers)
{
	struct ogl_job_record(*old)[2] = h->jobs, *r;
	uint32_t i, n = h->sets;

	if (workers <= n * WORKERS_PER_SET)
		return;
	while (workers > h->sets * WORKERS_PER_SET)
		h->sets *= 2;
	h->jobs = g_malloc0(h->sets * sizeof(*h->jobs));
	for (i = 0; i < 2 * n; i++) {
		r = &old[i / 2][i % 2];
		if (r->used_at != 0)
			*ogl_health_job(h, r->job, r->used_at) = *r;
	}
	g_free(old);
}

size_t
ogl_health_bytes(const struct ogl_health *h)
{
	size_t n = sizeof(*h) + h->sets * sizeof(*h->jobs);
	uint32_t i;

	n += h->workers->len * sizeof(gpointer);
	for (i = 0; i < h->workers->len; i++) {
		if (h->workers->pdata[i] != NULL)
			n += sizeof(struct worker_record);
	}
	return n;
}

void
ogl_health_remove_worker(struct ogl_health *h, uint32_t w)
{
	if (w >= h->workers->len)
		return;
	g_free(h->workers->pdata[w]);
	h->workers->pdata[w] = NULL;
}
