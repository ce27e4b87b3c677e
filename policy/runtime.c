/*
 * Run times learned from the ends of runs.
 *
 * There are two ways to predict the run time of a job: from the run times of
 * its queue, whatever was declared, and from its declared time, corrected by
 * the usual ratio of run time to declared time.  Which is better differs by
 * queue.  Both are kept as mean and variance of logarithms, as run times and
 * errors of declarations are factors, and are combined with weights inverse to
 * the variances.
 *
 * The figures of a team are its own samples together with PRIOR_SAMPLES of its
 * queue, and those of a queue its own samples together with PRIOR_SAMPLES that
 * agree with the declared time.  So little data changes little, and a new team
 * starts with the figures of its queue.
 */

#include <math.h>
#include <string.h>

#include "runtime.h"

#define PRIOR_SAMPLES 8.0
/* Variance of ln(run time / declared time) before anything is known: declared
 * times that are off by half are common. */
#define PRIOR_VARIANCE 0.25
/* Least weight of the newest sample.  A change of run times is learned to nine
 * tenths after 150 samples. */
#define NEWEST_WEIGHT_MIN (1.0 / 64)
/* Samples after which the wider bounds apply. */
#define KNOWN_SAMPLES 8.0
/* Largest factor between the estimate and the declared time, either way. */
#define BOUND_UNKNOWN 4.0
#define BOUND_KNOWN 10.0
/* Smaller variances count as this one, a deviation of 5 in 100: two predictors
 * that are as good as exact weigh the same. */
#define VARIANCE_MIN 0.0025
#define RAN_MS_MIN 1.0
#define ENTRIES_MAX 1024
#define FNV_OFFSET 2166136261U
#define FNV_PRIME 16777619U

/* Exponentially weighted mean and variance. */
struct moments {
	double n; /* samples so far, by weight */
	double mean;
	double var;
};

struct entry {
	struct ogl_str queue;
	struct ogl_str team;   /* empty: the queue itself */
	char *text;            /* holds both */
	struct moments run;    /* ln(run time in ms) */
	struct moments ratio;  /* ln(run time / declared time) */
	struct moments failed; /* 1 for a failed run, 0 for another */
	GList link;
};

struct ogl_runtime {
	GHashTable *entries; /* set of struct entry */
	GQueue by_use;       /* struct entry, most recently used first */
};

static guint
hash_str(guint h, struct ogl_str s)
{
	size_t i;

	for (i = 0; i < s.n; i++)
		h = (h ^ (unsigned char)s.p[i]) * FNV_PRIME;
	return h;
}

static guint
entry_hash(gconstpointer p)
{
	const struct entry *e = p;

	return hash_str(hash_str(FNV_OFFSET, e->queue) * FNV_PRIME, e->team);
}

static gboolean
entry_equal(gconstpointer a, gconstpointer b)
{
	const struct entry *x = a;
	const struct entry *y = b;

	return ogl_str_eq(x->queue, y->queue) && ogl_str_eq(x->team, y->team);
}

static void
entry_free(void *p)
{
	struct entry *e = p;

	g_free(e->text);
	g_free(e);
}

struct ogl_runtime *
ogl_runtime_init(void)
{
	struct ogl_runtime *r = g_new0(struct ogl_runtime, 1);

	r->entries =
	    g_hash_table_new_full(entry_hash, entry_equal, entry_free, NULL);
	return r;
}

void
ogl_runtime_end(struct ogl_runtime *r)
{
	g_hash_table_unref(r->entries);
	g_free(r);
}

void
ogl_runtime_clear(struct ogl_runtime *r)
{
	g_queue_init(&r->by_use);
	g_hash_table_remove_all(r->entries);
}

size_t
ogl_runtime_entries(const struct ogl_runtime *r)
{
	return g_hash_table_size(r->entries);
}

/* ---- entries ---------------------------------------------------------- */

/* Returns the entry as the most recently used one, NULL if there is none. */
static struct entry *
find(struct ogl_runtime *r, struct ogl_str queue, struct ogl_str team)
{
	struct entry key = {.queue = queue, .team = team};
	struct entry *e = g_hash_table_lookup(r->entries, &key);

	if (e == NULL)
		return NULL;
	g_queue_unlink(&r->by_use, &e->link);
	g_queue_push_head_link(&r->by_use, &e->link);
	return e;
}

static struct entry *
find_or_add(struct ogl_runtime *r, struct ogl_str queue, struct ogl_str team)
{
	struct entry *e = find(r, queue, team);

	if (e != NULL)
		return e;
	if (g_hash_table_size(r->entries) >= ENTRIES_MAX) {
		GList *oldest = g_queue_pop_tail_link(&r->by_use);

		g_hash_table_remove(r->entries, oldest->data);
	}
	e = g_new0(struct entry, 1);
	e->text = g_malloc(queue.n + team.n + 1);
	if (queue.n > 0)
		memcpy(e->text, queue.p, queue.n);
	if (team.n > 0)
		memcpy(e->text + queue.n, team.p, team.n);
	e->queue = (struct ogl_str){e->text, queue.n};
	e->team = (struct ogl_str){e->text + queue.n, team.n};
	e->link.data = e;
	g_hash_table_add(r->entries, e);
	g_queue_push_head_link(&r->by_use, &e->link);
	return e;
}

/* ---- learning --------------------------------------------------------- */

static void
moments_add(struct moments *m, double value, double weight)
{
	double off = value - m->mean;
	double part;

	m->n += weight;
	part = weight * MAX(1 / m->n, NEWEST_WEIGHT_MIN);
	m->mean += part * off;
	m->var = (1 - part) * (m->var + part * off * off);
}

static void
entry_add(struct entry *e, const struct ogl_runtime_run *run)
{
	double pace = run->pace > 0 ? run->pace : 1;
	double log_ran = log(MAX(run->ran_ms / pace, RAN_MS_MIN));

	moments_add(&e->run, log_ran, run->weight);
	if (run->declared_ms > 0)
		moments_add(
		    &e->ratio, log_ran - log(run->declared_ms), run->weight);
}

void
ogl_runtime_add(struct ogl_runtime *r, struct ogl_str queue,
    struct ogl_str team, const struct ogl_runtime_run *run)
{
	if (run->weight <= 0)
		return;
	if (team.n > 0)
		entry_add(find_or_add(r, queue, team), run);
	entry_add(find_or_add(r, queue, ogl_str("")), run);
}

void
ogl_runtime_count_end(
    struct ogl_runtime *r, struct ogl_str queue, bool failed, double weight)
{
	if (weight > 0)
		moments_add(&find_or_add(r, queue, ogl_str(""))->failed,
		    failed ? 1 : 0, weight);
}

/* ---- estimates -------------------------------------------------------- */

/* Mean and variance of the samples together with PRIOR_SAMPLES of the prior. */
static struct moments
with_prior(struct moments prior, const struct moments *own)
{
	double w = own->n / (PRIOR_SAMPLES + own->n);
	double apart = own->mean - prior.mean;
	struct moments m = {.n = own->n};

	m.mean = prior.mean + w * apart;
	m.var =
	    (1 - w) * prior.var + w * own->var + w * (1 - w) * apart * apart;
	return m;
}

static double
combine(struct moments a, struct moments b)
{
	double wa = 1 / MAX(a.var, VARIANCE_MIN);
	double wb = 1 / MAX(b.var, VARIANCE_MIN);

	return (wa * a.mean + wb * b.mean) / (wa + wb);
}

/* Without a declared time only the queue's and the team's run times count. */
static double
undeclared_ms(const struct entry *queue, const struct entry *team)
{
	if (queue->run.n <= 0)
		return 0;
	return team != NULL ? exp(with_prior(queue->run, &team->run).mean)
			    : exp(queue->run.mean);
}

double
ogl_runtime_estimate_ms(struct ogl_runtime *r, struct ogl_str queue,
    struct ogl_str team, double declared_ms)
{
	const struct entry *t = team.n > 0 ? find(r, queue, team) : NULL;
	const struct entry *q = find(r, queue, ogl_str(""));
	struct moments run = {.var = PRIOR_VARIANCE};
	struct moments ratio = {.var = PRIOR_VARIANCE};
	double bound, log_declared;

	if (q == NULL)
		return declared_ms;
	if (declared_ms <= 0)
		return undeclared_ms(q, t);
	log_declared = log(declared_ms);
	run.mean = log_declared;
	run = with_prior(run, &q->run);
	ratio = with_prior(ratio, &q->ratio);
	if (t != NULL) {
		run = with_prior(run, &t->run);
		ratio = with_prior(ratio, &t->ratio);
	}
	ratio.mean += log_declared;
	bound = q->run.n < KNOWN_SAMPLES ? BOUND_UNKNOWN : BOUND_KNOWN;
	return CLAMP(
	    exp(combine(run, ratio)), declared_ms / bound, declared_ms * bound);
}

double
ogl_runtime_samples(struct ogl_runtime *r, struct ogl_str queue)
{
	const struct entry *q = find(r, queue, ogl_str(""));

	return q != NULL ? q->run.n : 0;
}

double
ogl_runtime_mean_ms(struct ogl_runtime *r, struct ogl_str queue)
{
	const struct entry *q = find(r, queue, ogl_str(""));

	return q != NULL && q->run.n > 0 ? exp(q->run.mean) : 0;
}

double
ogl_runtime_failed_share(struct ogl_runtime *r, struct ogl_str queue)
{
	const struct entry *q = find(r, queue, ogl_str(""));
	struct moments none = {0};

	return q != NULL ? with_prior(none, &q->failed).mean : 0;
}

double
ogl_runtime_runs_per_task(
    struct ogl_runtime *r, struct ogl_str queue, uint32_t attempts_max)
{
	double failed = ogl_runtime_failed_share(r, queue);
	double all_fail = attempts_max > 0 ? pow(failed, attempts_max) : 0;

	return failed < 1 ? (1 - all_fail) / (1 - failed) : attempts_max;
}
