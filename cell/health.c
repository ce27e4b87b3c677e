/*
 * Weighs failed runs and unanswered calls of workers, and says what a worker in
 * each state may be given.
 */

#include "ablate.h"
#include "fleet.h"
#include "health.h"

/* Interval at which cooldowns and faded evidence are looked at. */
#define REVIEW_INTERVAL (200 * OGL_MS)

/*
 * A failed run counts 3.1 to 6.6 bits, depending on how often runs fail in the
 * cell.  At 18 bits, a worker that fails all is found after 3 to 5 runs and one
 * that fails two in five after 10 to 20, while 5% of failed runs make one sound
 * worker suspect in about a million runs.  Six successes more than failures
 * take 4.4 bits away, after which a suspect worker is sound.
 *
 * The evidence of calls is limited: holds and connections alone, which fail at
 * every restart of a worker, make no worker suspect; starts do, but do not set
 * it aside.
 */
const struct ogl_health_params cell_health_params = {
    .suspect_bits = 18,
    .aside_bits = 24,
    .aside_again_bits = 19,
    .sound_bits = 13.6,
    .call_bits_max = 20,
    .cooldown = 2 * OGL_SEC,
    .doublings_max = 3,
    .half_life = 30 * OGL_SEC,
    .forget_after = 60 * OGL_SEC,
    .workers_per_aside = 10,
    .workers_per_suspect = 3,
    .weights =
	{
	    [OGL_HEALTH_RUN_FAILED] = {1, 40, 0.01},
	    [OGL_HEALTH_NO_PROGRESS] = {1, 40, 0.01},
	    [OGL_HEALTH_START_UNANSWERED] = {1, 20, 0.02},
	    [OGL_HEALTH_START_BUSY] = {1, 20, 0.02},
	    [OGL_HEALTH_HOLD_UNANSWERED] = {0.5, 12, 0.02},
	    [OGL_HEALTH_CONN_REFUSED] = {0.5, 12, 0.02},
	},
};

static const char *const evidence_names[] = {
    [OGL_HEALTH_RUN_FAILED] = "run_failed",
    [OGL_HEALTH_NO_PROGRESS] = "no_progress",
    [OGL_HEALTH_START_UNANSWERED] = "start_unanswered",
    [OGL_HEALTH_START_BUSY] = "start_busy",
    [OGL_HEALTH_HOLD_UNANSWERED] = "hold_unanswered",
    [OGL_HEALTH_CONN_REFUSED] = "connection_refused",
};

static bool
start_any(const struct cell_worker *w, bool gang)
{
	(void)w;
	(void)gang;
	return true;
}

/* One failed member restarts the whole gang. */
static bool
start_probe(const struct cell_worker *w, bool gang)
{
	return !gang && g_hash_table_size(w->runs) == 0;
}

static bool
start_none(const struct cell_worker *w, bool gang)
{
	(void)w;
	(void)gang;
	return false;
}

/* What differs between the states. */
static const struct {
	const char *event; /* log line and counter */
	bool (*may_start)(const struct cell_worker *w, bool gang);
} states[] = {
    [OGL_HEALTH_SOUND] = {"worker_sound", start_any},
    [OGL_HEALTH_SUSPECT] = {"worker_suspect", start_probe},
    [OGL_HEALTH_ASIDE] = {"worker_aside", start_none},
};

struct cell_health {
	const struct cell_ops *ops;
	GHashTable *by_serial;
	struct ogl_health *policy;
	ogl_time next_review_at;
};

static void
on_changed(void *arg, const struct ogl_health_change *c, ogl_time now)
{
	struct cell_health *h = arg;
	struct cell_worker *w =
	    g_hash_table_lookup(h->by_serial, GUINT_TO_POINTER(c->worker));
	const char *event = states[c->state].event;
	char text[256];

	if (w == NULL)
		return;
	w->health = c->state;
	w->aside_until = c->until;
	w->proven = false;
	g_snprintf(text, sizeof text,
	    "worker=%s bits=%.1f why=%s runs=%u for_ms=%" G_GINT64_FORMAT,
	    w->id, c->bits, evidence_names[c->why], g_hash_table_size(w->runs),
	    c->until > now ? (c->until - now) / OGL_MS : 0);
	h->ops->log(h->ops->ctx, "fleet", event, text);
	h->ops->count(h->ops->ctx, event, 1);
}

struct cell_health *
cell_health_init(const struct cell_ops *ops, GHashTable *by_serial)
{
	struct cell_health *h = g_new0(struct cell_health, 1);

	h->ops = ops;
	h->by_serial = by_serial;
	h->policy = ogl_health_init_with(&cell_health_params, on_changed, h);
	return h;
}

void
cell_health_end(struct cell_health *h)
{
	ogl_health_end(h->policy);
	g_free(h);
}

void
cell_health_reset(struct cell_health *h)
{
	GHashTableIter it;
	gpointer p;

	ogl_health_end(h->policy);
	h->policy = ogl_health_init_with(&cell_health_params, on_changed, h);
	h->next_review_at = 0;
	g_hash_table_iter_init(&it, h->by_serial);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct cell_worker *w = p;

		w->health = OGL_HEALTH_SOUND;
		w->aside_until = 0;
		w->proven = false;
	}
}

void
cell_health_count(struct cell_health *h, struct cell_worker *w,
    enum ogl_health_evidence kind, const char *job, bool ok, ogl_time now)
{
	uint64_t number = job != NULL ? g_ascii_strtoull(job, NULL, 16) : 0;

	if (!CELL_USES_HEALTH)
		return;
	ogl_health_count(h->policy, w->serial, kind, number, ok, now);
	if (ok && job != NULL)
		w->proven = w->health == OGL_HEALTH_SOUND;
}

void
cell_health_step(struct cell_health *h, ogl_time now)
{
	if (now < h->next_review_at)
		return;
	h->next_review_at = now + REVIEW_INTERVAL;
	ogl_health_review(h->policy, g_hash_table_size(h->by_serial), now);
}

void
cell_health_forget(struct cell_health *h, const struct cell_worker *w)
{
	ogl_health_forget(h->policy, w->serial);
}

bool
cell_health_may_start(const struct cell_worker *w, bool gang)
{
	return states[w->health].may_start(w, gang);
}

bool
cell_health_proven(const struct cell_worker *w)
{
	return w->proven;
}
