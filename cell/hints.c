/*
 * An owner counts the jobs that forecasts refuse, by queue, or by queue and team
 * if the team's limit or rate is the reason.  Once REFUSALS_MIN in a row were
 * refused, the next is taken to be refused as well, whatever its size.  Such a
 * job is refused without a forecast as long as a forecast has refused one within
 * FORECAST_AGE_MAX; the next one after that is forecast again.
 *
 * A node that has been told so asks the owner with the job's id alone before it
 * sends the job.  It refuses nothing by itself: only the owner knows whether an
 * earlier copy of the call was accepted.
 */

#include <string.h>

#include "hints.h"

#define REFUSALS_MIN 3
/* Room that comes free is found at the latest after this time. */
#define FORECAST_AGE_MAX (300 * OGL_MS)

/* After a longer time without a job, refusals do not count as in a row. */
#define GAP_MAX (2 * OGL_SEC)

struct refusal {
	char *queue;
	char *team;
	unsigned in_a_row;
	uint32_t retry_ms;
	ogl_time refused_at;
};

struct cell_refusals {
	unsigned n;
	struct refusal entries[CELL_HINTS_MAX];
	/* what the last pong points at */
	Ogl__CellRefusal messages[CELL_HINTS_MAX];
	Ogl__CellRefusal *list[CELL_HINTS_MAX];
};

struct cell_refusals *
cell_refusals_init(void)
{
	return g_new0(struct cell_refusals, 1);
}

void
cell_refusals_end(struct cell_refusals *r)
{
	cell_refusals_clear(r);
	g_free(r);
}

static void
drop_entry(struct cell_refusals *r, unsigned i)
{
	g_free(r->entries[i].queue);
	g_free(r->entries[i].team);
	r->n--;
	r->entries[i] = r->entries[r->n];
}

void
cell_refusals_clear(struct cell_refusals *r)
{
	while (r->n > 0)
		drop_entry(r, 0);
}

static bool
covers(const char *hint_queue, const char *hint_team, const char *queue,
    const char *team)
{
	return strcmp(hint_queue, queue) == 0 &&
	       (hint_team[0] == '\0' || strcmp(hint_team, team) == 0);
}

static bool
in_force(const struct refusal *e, ogl_time now)
{
	return e->in_a_row >= REFUSALS_MIN &&
	       now - e->refused_at <= FORECAST_AGE_MAX;
}

static struct refusal *
find_or_add(
    struct cell_refusals *r, const char *queue, const char *team, ogl_time now)
{
	unsigned oldest = 0;
	unsigned i;

	for (i = 0; i < r->n; i++) {
		struct refusal *e = &r->entries[i];

		if (strcmp(e->queue, queue) == 0 && strcmp(e->team, team) == 0)
			return e;
		if (e->refused_at < r->entries[oldest].refused_at)
			oldest = i;
	}
	if (r->n == CELL_HINTS_MAX)
		drop_entry(r, oldest);
	r->entries[r->n] =
	    (struct refusal){g_strdup(queue), g_strdup(team), 0, 0, now};
	return &r->entries[r->n++];
}

void
cell_refusals_add(struct cell_refusals *r, const char *queue, const char *team,
    uint32_t retry_ms, ogl_time now)
{
	struct refusal *e = find_or_add(r, queue, team, now);

	if (now - e->refused_at > GAP_MAX)
		e->in_a_row = 0;
	e->in_a_row++;
	e->retry_ms = retry_ms;
	e->refused_at = now;
}

void
cell_refusals_accepted(
    struct cell_refusals *r, const char *queue, const char *team)
{
	unsigned i = 0;

	while (i < r->n) {
		const struct refusal *e = &r->entries[i];

		if (covers(e->queue, e->team, queue, team))
			drop_entry(r, i);
		else
			i++;
	}
}

bool
cell_refusals_apply(const struct cell_refusals *r, const char *queue,
    const char *team, ogl_time now)
{
	unsigned i;

	for (i = 0; i < r->n; i++) {
		const struct refusal *e = &r->entries[i];

		if (in_force(e, now) && covers(e->queue, e->team, queue, team))
			return true;
	}
	return false;
}

void
cell_refusals_list(struct cell_refusals *r, Ogl__CellPong *pong, ogl_time now)
{
	ogl_time oldest = now;
	size_t n = 0;
	unsigned i;

	for (i = 0; i < r->n; i++) {
		const struct refusal *e = &r->entries[i];

		if (!in_force(e, now))
			continue;
		ogl__cell_refusal__init(&r->messages[n]);
		r->messages[n].queue = e->queue;
		r->messages[n].team = e->team;
		r->messages[n].retry_ms = e->retry_ms;
		r->list[n] = &r->messages[n];
		oldest = MIN(oldest, e->refused_at);
		n++;
	}
	pong->refusals = r->list;
	pong->n_refusals = n;
	pong->refusals_age_ms =
	    (uint32_t)((now - oldest + OGL_MS - 1) / OGL_MS);
}

void
cell_hints_clear(struct cell_hints *h)
{
	unsigned i;

	for (i = 0; i < h->n; i++) {
		g_free(h->entries[i].queue);
		g_free(h->entries[i].team);
	}
	h->n = 0;
}

void
cell_hints_learn(struct cell_hints *h, const Ogl__CellPong *pong, ogl_time now)
{
	ogl_time as_of = (ogl_time)pong->stamp - pong->refusals_age_ms * OGL_MS;
	size_t i;

	if (pong->owns == 0 || pong->owns < h->epoch ||
	    pong->stamp > (uint64_t)now)
		return;
	if (pong->owns == h->epoch && as_of < h->as_of)
		return;
	cell_hints_clear(h);
	h->epoch = pong->owns;
	h->as_of = as_of;
	for (i = 0; i < pong->n_refusals && h->n < CELL_HINTS_MAX; i++) {
		h->entries[h->n].queue = g_strdup(pong->refusals[i]->queue);
		h->entries[h->n].team = g_strdup(pong->refusals[i]->team);
		h->n++;
	}
}

bool
cell_hints_apply(const struct cell_hints *h, uint64_t owner_epoch,
    const char *queue, const char *team, ogl_time now)
{
	unsigned i;

	if (h->epoch != owner_epoch || now - h->as_of > CELL_HINT_AGE_MAX)
		return false;
	for (i = 0; i < h->n; i++) {
		if (covers(
			h->entries[i].queue, h->entries[i].team, queue, team))
			return true;
	}
	return false;
}
