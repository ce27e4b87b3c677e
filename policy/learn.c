/*
 * Run time estimates by class of work, for one team.
 *
 * The table has a fixed size, with WAYS entries in each bucket; a new class
 * replaces the least recently used one of its bucket.  A team that sends very
 * many labels therefore evicts only entries of its own table.
 *
 * An entry keeps a decayed mean of the logarithm of the run time: run times
 * within a class vary by orders of magnitude, and the mean of the logarithm
 * follows the typical run time rather than the few longest.
 *
 * A class never seen is expected to be short.  While its first item runs, the
 * estimate rises with the run time of that item so far, so a misjudged class is
 * demoted before any of its items has ended.  A token bucket limits how many
 * new classes may be expected to be short; without a token, a new class is
 * expected to take the mean of what the first items of earlier new classes
 * took.  Otherwise a team could have all its work treated as short by giving
 * each item a new label.  This mean is arithmetic, since it stands for the
 * expected cost of an item that nothing is known about.  With the mean of the
 * logarithm, a team could mix long work into much short work under ever new
 * labels and have the long work treated as short.
 *
 * A class counts as awaited, that is, a caller seems to wait for its items,
 * when most of them come one after the other: each is pushed soon after the
 * last has ended, and not while another one waits or runs.  Work that nobody
 * waits for usually comes in batches.  A team that sends long work one by one
 * so that it counts as awaited gains little, because it then has one item of
 * that class in the cell at a time.
 */

#include <math.h>
#include <sodium.h>
#include <string.h>

#include "learn.h"

#define BUCKETS 32
#define WAYS 4
#define RUN_WEIGHT 0.125           /* newest run time's weight in log_run */
#define NEW_CLASS_WEIGHT 0.002     /* newest class's weight in new_class_run */
#define NEW_ESTIMATE (20 * OGL_MS) /* for a new class that has a token */
#define NEW_TOKENS_MAX 16.0        /* token bucket for new classes */
#define NEW_TOKEN_INTERVAL (4 * OGL_SEC)
#define AWAITED_GAP_MAX (30 * OGL_SEC) /* from an end to the next push */
#define AWAITED_WEIGHT 0.0625 /* newest item's weight in sequential_part */
#define AWAITED_FRACTION 0.5  /* a class is awaited above this */
#define ESTIMATE_MIN (1 * OGL_MS)
#define SIZE_CLASS_BASE_MILLI 1000

struct entry {
	uint64_t work_class; /* 0 when the entry is free */
	double log_run;      /* mean of ln(run time in microseconds) */
	ogl_time estimate;   /* exp(log_run) */
	ogl_time used_at;
	ogl_time first_start; /* of the items now running */
	uint32_t ended_items;
	uint32_t running;
	uint32_t waiting;
	ogl_time last_end;
	float sequential_part; /* decayed part of items that came one by one */
	bool without_token;    /* no token was left when the class was new */
};

struct ogl_learn {
	struct entry entries[BUCKETS][WAYS];
	double tokens;
	ogl_time tokens_updated_at;
	double new_class_run; /* mean run time of first items of a class */
	uint32_t new_classes_ended;
};

struct ogl_learn *
ogl_learn_init(void)
{
	struct ogl_learn *l = g_new0(struct ogl_learn, 1);

	l->tokens = NEW_TOKENS_MAX;
	l->new_class_run = (double)NEW_ESTIMATE;
	return l;
}

void
ogl_learn_end(struct ogl_learn *l)
{
	g_free(l);
}

size_t
ogl_learn_bytes(void)
{
	return sizeof(struct ogl_learn);
}

/* Binary logarithm of the total processors requested. */
static uint32_t
size_class(const struct ogl_work *w)
{
	uint64_t size = (uint64_t)w->res.cpu_milli * MAX(w->tasks, 1);
	uint32_t class = 0;

	while (size > SIZE_CLASS_BASE_MILLI) {
		size /= 2;
		class ++;
	}
	return class;
}

uint64_t
ogl_learn_class(const struct ogl_work *w, uint64_t seed)
{
	unsigned char key[crypto_shorthash_KEYBYTES] = {0};
	unsigned char hash[crypto_shorthash_BYTES];
	uint32_t kind_and_size[2] = {(uint32_t)w->kind, size_class(w)};
	const char *label = w->label != NULL ? w->label : "";
	uint64_t work_class;

	/* Keyed, so that callers can't choose labels that share a bucket. */
	memcpy(key, &seed, sizeof(seed));
	memcpy(key + sizeof(seed), kind_and_size, sizeof(kind_and_size));
	crypto_shorthash(
	    hash, (const unsigned char *)label, strlen(label), key);
	memcpy(&work_class, hash, sizeof(work_class));
	return work_class != 0 ? work_class : 1;
}

static struct entry *
find_entry(struct ogl_learn *l, uint64_t work_class)
{
	struct entry *b = l->entries[work_class % BUCKETS];

	for (size_t i = 0; i < WAYS; i++) {
		if (b[i].work_class == work_class)
			return &b[i];
	}
	return NULL;
}

static bool
take_token(struct ogl_learn *l, ogl_time now)
{
	double earned =
	    (double)(now - l->tokens_updated_at) / NEW_TOKEN_INTERVAL;

	l->tokens = MIN(NEW_TOKENS_MAX, l->tokens + MAX(earned, 0.0));
	l->tokens_updated_at = now;
	if (l->tokens < 1.0)
		return false;
	l->tokens -= 1.0;
	return true;
}

static struct entry *
replace_entry(struct ogl_learn *l, uint64_t work_class, ogl_time now)
{
	struct entry *b = l->entries[work_class % BUCKETS];
	struct entry *e = &b[0];

	for (size_t i = 0; i < WAYS; i++) {
		if (b[i].work_class == 0) {
			e = &b[i];
			break;
		}
		if (b[i].used_at < e->used_at)
			e = &b[i];
	}
	memset(e, 0, sizeof(*e));
	e->work_class = work_class;
	e->used_at = now;
	e->without_token = !take_token(l, now);
	return e;
}

static struct entry *
find_or_replace(struct ogl_learn *l, uint64_t work_class, ogl_time now)
{
	struct entry *e = find_entry(l, work_class);

	if (e == NULL)
		e = replace_entry(l, work_class, now);
	e->used_at = now;
	return e;
}

ogl_time
ogl_learn_estimate(
    struct ogl_learn *l, uint64_t work_class, ogl_time now, bool *awaited)
{
	struct entry *e = find_or_replace(l, work_class, now);
	ogl_time estimate;

	if (e->ended_items != 0)
		estimate = e->estimate;
	else if (e->without_token)
		estimate = MAX((ogl_time)l->new_class_run, NEW_ESTIMATE);
	else
		estimate = NEW_ESTIMATE;
	if (e->ended_items == 0 && e->running != 0)
		estimate = MAX(estimate, now - e->first_start);
	*awaited = e->sequential_part > AWAITED_FRACTION;
	return MAX(estimate, ESTIMATE_MIN);
}

void
ogl_learn_pushed(struct ogl_learn *l, uint64_t work_class, ogl_time now)
{
	struct entry *e = find_or_replace(l, work_class, now);
	bool sequential = e->waiting == 0 && e->running == 0 &&
			  e->last_end != 0 &&
			  now - e->last_end < AWAITED_GAP_MAX;

	e->sequential_part +=
	    AWAITED_WEIGHT * ((sequential ? 1 : 0) - e->sequential_part);
	e->waiting++;
}

void
ogl_learn_withdrawn(struct ogl_learn *l, uint64_t work_class)
{
	struct entry *e = find_entry(l, work_class);

	if (e != NULL && e->waiting != 0)
		e->waiting--;
}

void
ogl_learn_started(struct ogl_learn *l, uint64_t work_class, ogl_time now)
{
	struct entry *e = find_or_replace(l, work_class, now);

	if (e->waiting != 0)
		e->waiting--;
	if (e->running++ == 0)
		e->first_start = now;
}

void
ogl_learn_ended(struct ogl_learn *l, uint64_t work_class, ogl_time ran, bool ok,
    ogl_time now)
{
	struct entry *e = find_or_replace(l, work_class, now);
	double log_ran = log((double)MAX(ran, ESTIMATE_MIN));
	double weight;

	if (e->running != 0)
		e->running--;
	e->last_end = now;
	/* An early failure doesn't tell how long the work would have run. */
	if (!ok && e->ended_items != 0 && log_ran < e->log_run)
		return;
	e->ended_items++;
	weight = MAX(RUN_WEIGHT, 1.0 / e->ended_items);
	e->log_run += weight * (log_ran - e->log_run);
	e->estimate = (ogl_time)exp(e->log_run);
	if (e->ended_items == 1) {
		l->new_classes_ended++;
		weight = MAX(NEW_CLASS_WEIGHT, 1.0 / l->new_classes_ended);
		l->new_class_run += weight * ((double)ran - l->new_class_run);
	}
}
