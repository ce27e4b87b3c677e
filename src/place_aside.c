/*
 * Quarantine of failing workers: cooldowns and probes.
 *
 * A worker that health.c finds suspect gets no tasks during a cooldown,
 * which doubles each time, and then one task as a probe.  The quarantine ends
 * when the probe task succeeds or has run for long enough; it starts again with
 * the next cooldown when the task fails.
 */

#include "place.h"

#define WORKERS_PER_QUARANTINE 10 /* at most one worker in this many */
#define QUARANTINE_MIN_WORKERS 3  /* no quarantine in smaller cells */
#define PROBE_SUCCESS_AFTER (120 * OGL_SEC) /* run time counted as success */
#define PROBE_CANDIDATES 4 /* quarantined workers examined for a task */

static void
quarantine(struct ogl_place *p, uint32_t w, ogl_time now)
{
	struct ogl_place_worker *k = &p->workers[w];

	if (k->quarantine_state == OGL_QUARANTINE_NONE)
		g_array_append_val(p->quarantined, w);
	if (k->quarantine_state == OGL_QUARANTINE_PROBE_DUE)
		p->probes_due--;
	k->quarantine_state = OGL_QUARANTINE_COOLDOWN;
	k->quarantine_until = ogl_health_start_quarantine(p->health, w, now);
	p->next_quarantine_update =
	    MIN(p->next_quarantine_update, k->quarantine_until);
	ogl_place_unreserve_worker(p, w);
	ogl_place_reindex(p, w);
}

void
ogl_place_end_quarantine(struct ogl_place *p, uint32_t w)
{
	uint32_t i;

	if (p->workers[w].quarantine_state == OGL_QUARANTINE_NONE)
		return;
	if (p->workers[w].quarantine_state == OGL_QUARANTINE_PROBE_DUE)
		p->probes_due--;
	p->workers[w].quarantine_state = OGL_QUARANTINE_NONE;
	for (i = 0; g_array_index(p->quarantined, uint32_t, i) != w; i++)
		;
	g_array_remove_index_fast(p->quarantined, i);
	ogl_place_reindex(p, w);
}

void
ogl_place_update_quarantine(struct ogl_place *p, ogl_time now)
{
	struct ogl_place_worker *k;
	uint32_t i, w;

	if (now < p->next_quarantine_update)
		return;
	p->next_quarantine_update = OGL_NEVER;
	for (i = p->quarantined->len; i-- > 0;) {
		w = g_array_index(p->quarantined, uint32_t, i);
		k = &p->workers[w];
		if (k->quarantine_state == OGL_QUARANTINE_PROBE_DUE)
			continue;
		if (now < k->quarantine_until) {
			p->next_quarantine_update =
			    MIN(p->next_quarantine_update, k->quarantine_until);
		} else if (k->quarantine_state == OGL_QUARANTINE_COOLDOWN) {
			k->quarantine_state = OGL_QUARANTINE_PROBE_DUE;
			p->probes_due++;
		} else {
			ogl_place_end_quarantine(p, w);
		}
	}
}

/* Gangs are not used as probes: one failed task would cost the whole gang. */
bool
ogl_place_pick_probe(struct ogl_place *p, const struct ogl_demand *demand,
    ogl_time now, uint32_t *w)
{
	struct ogl_place_worker *k;
	struct ogl_res room;
	uint32_t i, start;

	if (p->probes_due == 0 || demand->kind == OGL__KIND__gang)
		return false;
	start = ogl_place_random(p);
	for (i = 0; i < MIN(PROBE_CANDIDATES, p->quarantined->len); i++) {
		*w = g_array_index(p->quarantined, uint32_t,
		    (start + i) % p->quarantined->len);
		k = &p->workers[*w];
		room = ogl_place_free_room(k);
		if (k->quarantine_state != OGL_QUARANTINE_PROBE_DUE ||
		    !k->schedulable || !ogl_res_fits(&k->held, &k->capacity) ||
		    !ogl_res_fits(&demand->res, &room))
			continue;
		k->quarantine_state = OGL_QUARANTINE_PROBING;
		k->quarantine_until = now + PROBE_SUCCESS_AFTER;
		p->next_quarantine_update =
		    MIN(p->next_quarantine_update, k->quarantine_until);
		p->probes_due--;
		return true;
	}
	return false;
}

/*
 * At most a small part of the cell is quarantined at once.  A common cause,
 * such as a broken image or store, can make many workers suspect; without this
 * limit the cell would also lose most of its workers during such a failure.
 */
static bool
may_quarantine(const struct ogl_place *p)
{
	uint32_t n = g_hash_table_size(p->worker_by_name);

	if (n < QUARANTINE_MIN_WORKERS)
		return false;
	return p->quarantined->len < MAX(n / WORKERS_PER_QUARANTINE, 1);
}

void
ogl_place_task_ended(
    struct ogl_place *p, uint32_t w, uint64_t job, bool ok, ogl_time now)
{
	bool suspect;

	if (!ogl_place_known(p, w))
		return;
	suspect = ogl_health_result(p->health, w, job, ok, now);
	if (p->workers[w].quarantine_state == OGL_QUARANTINE_PROBING) {
		if (ok)
			ogl_place_end_quarantine(p, w);
		else
			quarantine(p, w, now);
	} else if (suspect &&
		   p->workers[w].quarantine_state == OGL_QUARANTINE_NONE &&
		   may_quarantine(p)) {
		quarantine(p, w, now);
	}
}
